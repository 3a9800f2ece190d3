#ifndef SAPPHIREWEIR_CORE_CONTROL_CLIENTS_H
#define SAPPHIREWEIR_CORE_CONTROL_CLIENTS_H

#include <jansson.h>

#include "core/control_defs.h"

void control_clients_copy(Sw__ClientPressure *to,
                          const Sw__ClientPressure *from);
void control_clients_report(ControlCore *k, uint64_t now_us);
void control_clients_record(ControlCore *k, uint64_t now_us, const char *from,
                            const Sw__ClientPressure *clients);
json_t *control_clients_to_json(const Sw__ClientPressure *c);
json_t *control_clients_of_control(const ControlCore *k, uint64_t now_us,
                                   const char *id);

#endif
