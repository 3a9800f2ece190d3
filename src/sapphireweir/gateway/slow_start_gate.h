#ifndef SAPPHIREWEIR_GATEWAY_SLOW_START_GATE_H
#define SAPPHIREWEIR_GATEWAY_SLOW_START_GATE_H

#include "gateway/gateway_internal.h"
#include "policy/placement.h"

/* Limits on requests to cold backend servers.  Functions with an argument
 * pooled decide for connections that this instance lends if it is set, else
 * for those that its own sessions use. */

void slow_start_gate_record(Server *s, uint64_t now_us,
                            const Sw__ServerRecord *r, gboolean new_run);
void slow_start_gate_broken(Server *s, uint64_t now_us);
void slow_start_gate_opening(Server *s, uint64_t now_us, guint open);
void slow_start_gate_contact(Server *s, uint64_t now_us);
void slow_start_gate_answered(Gateway *g, uint64_t query,
                              const Sw__ServerRecord *r);
void slow_start_gate_set_owner(Server *s, uint64_t now_us, gboolean is_owner);
void slow_start_gate_tick(Gateway *g, uint64_t now_us);
uint64_t slow_start_gate_cold_servers(const Gateway *g);

gboolean slow_start_gate_is_limited(const Server *s, uint64_t now_us);
uint64_t slow_start_gate_wait_us(const Server *s, uint64_t now_us,
                                 gboolean pooled, uint32_t cost);
void slow_start_gate_take(Server *s, uint64_t now_us, gboolean pooled,
                          uint32_t cost, SlowStartPermit *permit);
void slow_start_gate_return(Server *s, uint64_t now_us,
                            SlowStartPermit *permit);
void slow_start_gate_lost(Server *s, SlowStartPermit *permit);

uint64_t slow_start_gate_queue_wait_us(const Server *s, uint64_t ahead,
                                       gboolean pooled);
void slow_start_gate_weigh(const Server *s, uint64_t now_us, gboolean relayed,
                           PlacementCandidate *c);
gboolean slow_start_gate_refuse(Session *s, const Server *server,
                                uint64_t now_us);
void slow_start_gate_run(Connection *c, Session *s, uint64_t now_us);

#endif
