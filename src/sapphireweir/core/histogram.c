#include "core/histogram.h"

/* Histograms of durations, with buckets of exponentially growing width, and
 * the output of metrics as text. */

static const double kExposedQuantiles[] = {0.5, 0.9, 0.99, 0.999};

/* Returns the bucket of a value: one bucket for each value below four, then
 * four buckets for each power of two. */
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

/* Returns the largest value of a bucket. */
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

/* Records a value in microseconds. */
void
histogram_observe(Histogram *h, uint64_t value_us)
{
    h->buckets[bucket_of(value_us)]++;
    h->count++;
    h->sum_us += value_us;
}

/* Returns the largest value, in microseconds, of the bucket that contains a
 * quantile (0 to 1); zero if nothing was recorded. */
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

/* Appends a counter in the text exposition format to out. */
void
counter_write_text(const char *name, uint64_t value, GString *out)
{
    g_string_append_printf(out, "sapphireweir_%s %" G_GUINT64_FORMAT "\n",
                           name, value);
}

/* Appends a histogram, as a summary with quantiles, in the text exposition
 * format to out. */
void
histogram_write_text(const Histogram *h, const char *name, GString *out)
{
    g_string_append_printf(out, "# TYPE sapphireweir_%s summary\n", name);
    for (size_t q = 0; q < G_N_ELEMENTS(kExposedQuantiles); q++) {
        g_string_append_printf(
            out, "sapphireweir_%s{quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
            name, kExposedQuantiles[q],
            histogram_quantile(h, kExposedQuantiles[q]));
    }
    g_string_append_printf(out, "sapphireweir_%s_sum %" G_GUINT64_FORMAT "\n",
                           name, h->sum_us);
    g_string_append_printf(
        out, "sapphireweir_%s_count %" G_GUINT64_FORMAT "\n", name, h->count);
}
