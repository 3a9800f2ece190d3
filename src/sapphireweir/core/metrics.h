#ifndef SAPPHIREWEIR_CORE_METRICS_H
#define SAPPHIREWEIR_CORE_METRICS_H

#include <glib.h>

#include "core/metrics_defs.h"

void metrics_count(Metrics *m, MetricId id);
void metrics_add(Metrics *m, MetricId id, uint64_t amount);
void metrics_observe(Metrics *m, HistogramId id, uint64_t value_us);
void metrics_write_text(const Metrics *m, GString *out);

#endif
