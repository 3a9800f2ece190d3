#ifndef SAPPHIREWEIR_CORE_HISTOGRAM_H
#define SAPPHIREWEIR_CORE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* One bucket for each value below 4 us, then four for each power of two below
 * 2^41 us (25 days).  The last bucket also counts all larger values. */
enum { kHistogramBuckets = 160 };

typedef struct {
    uint64_t buckets[kHistogramBuckets];
    uint64_t count;
    uint64_t sum_us;
} Histogram;

void histogram_observe(Histogram *h, uint64_t value_us);
uint64_t histogram_quantile(const Histogram *h, double quantile);
void counter_write_text(const char *name, uint64_t value, GString *out);
void histogram_write_text(const Histogram *h, const char *name, GString *out);

#endif
