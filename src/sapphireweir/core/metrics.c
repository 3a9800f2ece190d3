#include "core/metrics.h"

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

static const double exposed_quantiles[] = {0.5, 0.9, 0.99, 0.999};

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

/* Records one duration in microseconds. */
void
metrics_observe(Metrics *m, HistogramId id, uint64_t value_us)
{
    histogram_observe(&m->histograms[id], value_us);
}

/* Returns the bucket of a value: exact below four, then four buckets for
 * each power of two. */
static uint32_t
bucket_of(uint64_t value)
{
    if (value < 4) {
        return (uint32_t)value;
    }
    uint32_t log = 63 - (uint32_t)__builtin_clzll(value);
    uint32_t quarter = (uint32_t)(value >> (log - 2)) & 3;
    uint32_t bucket = (log - 1) * 4 + quarter;
    return MIN(bucket, kHistogramBuckets - 1);
}

/* Returns the largest value that falls into a bucket. */
static uint64_t
bucket_limit(uint32_t bucket)
{
    if (bucket < 4) {
        return bucket;
    }
    uint32_t log = bucket / 4 + 1;
    uint64_t quarter = bucket % 4;
    return ((5 + quarter) << (log - 2)) - 1;
}

/* Records one value in microseconds. */
void
histogram_observe(Histogram *h, uint64_t value_us)
{
    h->buckets[bucket_of(value_us)]++;
    h->count++;
    h->sum_us += value_us;
}

/* Returns the upper limit, in microseconds, of the bucket that holds the
 * quantile (0 to 1); zero when nothing was recorded. */
uint64_t
histogram_quantile(const Histogram *h, double quantile)
{
    uint64_t rank = (uint64_t)(quantile * (double)h->count);
    uint64_t seen = 0;

    for (uint32_t i = 0; i < kHistogramBuckets; i++) {
        seen += h->buckets[i];
        if (seen > rank) {
            return bucket_limit(i);
        }
    }
    return h->count == 0 ? 0 : bucket_limit(kHistogramBuckets - 1);
}

/* Appends all counters and histograms in the text exposition format. */
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
        const Histogram *h = &m->histograms[i];
        g_string_append_printf(out, "# HELP sapphireweir_%s %s\n", t->name,
                               t->help);
        g_string_append_printf(out, "# TYPE sapphireweir_%s summary\n",
                               t->name);
        for (size_t q = 0; q < G_N_ELEMENTS(exposed_quantiles); q++) {
            g_string_append_printf(
                out,
                "sapphireweir_%s{quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
                t->name, exposed_quantiles[q],
                histogram_quantile(h, exposed_quantiles[q]));
        }
        g_string_append_printf(out,
                               "sapphireweir_%s_sum %" G_GUINT64_FORMAT "\n",
                               t->name, h->sum_us);
        g_string_append_printf(out,
                               "sapphireweir_%s_count %" G_GUINT64_FORMAT "\n",
                               t->name, h->count);
    }
}
