#ifndef SAPPHIREWEIR_TEST_PLACEMENT_H
#define SAPPHIREWEIR_TEST_PLACEMENT_H

/* Adds the suite of cold servers and regions to the CUnit registry. */
void add_placement_tests(void);

#endif
