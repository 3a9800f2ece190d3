#ifndef SAPPHIREWEIR_GATEWAY_CROSSING_GATE_H
#define SAPPHIREWEIR_GATEWAY_CROSSING_GATE_H

#include "gateway/gateway_internal.h"

/* Statements that run in another failure domain. */

void crossing_gate_fill(const Session *s, const Server *server,
                        uint64_t now_us, gboolean relayed,
                        PlacementCandidate *c);
int crossing_gate_choose(Session *s, uint64_t now_us,
                         const PlacementCandidate *candidates, size_t count);
void crossing_gate_started(Session *s, const Server *server);
void crossing_gate_observe(const Session *s, const ServerAnswer *a);
void crossing_gate_log(const Session *s, EventLine *line);
void crossing_gate_metrics_write(const Gateway *g, GString *out);

#endif
