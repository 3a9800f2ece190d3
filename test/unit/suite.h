#ifndef SAPPHIREWEIR_TEST_SUITE_H
#define SAPPHIREWEIR_TEST_SUITE_H

#include <CUnit/Basic.h>

/* Declares the add_NAME_suite function of each suite in suites.def.  It
 * registers the suite and its tests with CUnit. */
#define X(name) void add_##name##_suite(void);
#include "suites.def"
#undef X

#endif
