#include "core/metrics.h"

/* The exposed name of a metric, without its prefix, and its help text. */
typedef struct {
    const char *name;
    const char *help;
} MetricText;

static const MetricText counter_texts[kMetricCount] = {
#define X(id, name, help) {name, help},
    METRICS_COUNTERS(X)
#undef X
};

static const MetricText histogram_texts[kHistogramCount] = {
#define X(id, name, help) {name, help},
    METRICS_HISTOGRAMS(X)
#undef X
};

/* Adds one to a counter. */
void
metrics_count(Metrics *m, MetricId id)
{
    m->counters[id]++;
}

/* Adds an amount to a counter. */
void
metrics_add(Metrics *m, MetricId id, uint64_t amount)
{
    m->counters[id] += amount;
}

/* Records a duration in microseconds in a histogram. */
void
metrics_observe(Metrics *m, HistogramId id, uint64_t value_us)
{
    histogram_observe(&m->histograms[id], value_us);
}

/* Appends all counters and histograms in the Prometheus text exposition
 * format. */
void
metrics_write_text(const Metrics *m, GString *out)
{
    for (int i = 0; i < kMetricCount; i++) {
        const MetricText *t = &counter_texts[i];
        g_string_append_printf(out, "# HELP sapphireweir_%s %s\n", t->name,
                               t->help);
        g_string_append_printf(out, "# TYPE sapphireweir_%s counter\n",
                               t->name);
        g_string_append_printf(out, "sapphireweir_%s %" G_GUINT64_FORMAT "\n",
                               t->name, m->counters[i]);
    }
    for (int i = 0; i < kHistogramCount; i++) {
        const MetricText *t = &histogram_texts[i];
        g_string_append_printf(out, "# HELP sapphireweir_%s %s\n", t->name,
                               t->help);
        histogram_write_text(&m->histograms[i], t->name, out);
    }
}
