#ifndef SAPPHIREWEIR_TEST_EDGES_H
#define SAPPHIREWEIR_TEST_EDGES_H

#include "fleet.h"

void garbage_on_the_peer_port_is_counted(const Fleet *f);
void ctrl_c_stops_in_order(void);
void a_certificate_is_reloaded(void);
void wrong_settings_are_told_at_once(void);

#endif
