#ifndef SAPPHIREWEIR_LOAD_OFFERED_H
#define SAPPHIREWEIR_LOAD_OFFERED_H

#include "experiment.h"

double offered_per_s(const Experiment *x, const TeamLoad *t,
                     const GPtrArray *domains, int32_t domain, double at_s);
double offered_peak_per_s(const Experiment *x, const TeamLoad *t,
                          const GPtrArray *domains, int32_t domain);
uint32_t offered_pick_domain(const Experiment *x, const GPtrArray *domains,
                             double at_s, double draw);

#endif
