#ifndef SAPPHIREWEIR_TEST_SUITE_H
#define SAPPHIREWEIR_TEST_SUITE_H

#include <CUnit/Basic.h>

/* Each test file adds its suite; all of them are in suites.def. */
#define X(name) void add_##name##_suite(void);
#include "suites.def"
#undef X

#endif
