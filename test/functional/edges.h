#ifndef SAPPHIREWEIR_TEST_EDGES_H
#define SAPPHIREWEIR_TEST_EDGES_H

#include "fleet.h"

/* Tests of edge cases, defined in test_edges.c, test_evacuation.c and
 * test_check.c and run by test_fleet.c. */

void invalid_peer_bytes_are_counted(const Fleet *f);
void ctrl_c_stops_the_demo(void);
void certificate_is_reloaded(void);
void all_setting_errors_are_reported(void);
void evacuated_domain_serves_no_caller(const Fleet *f);
void commands_of_the_operations_page_work(const Fleet *f);
void checks_end_with_their_exit_codes(const Fleet *f);

#endif
