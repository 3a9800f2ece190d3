#ifndef SAPPHIREWEIR_CORE_HISTOGRAM_H
#define SAPPHIREWEIR_CORE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Four buckets for each power of two up to 2^40 us. */
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
