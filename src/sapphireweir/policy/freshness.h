#ifndef SAPPHIREWEIR_POLICY_FRESHNESS_H
#define SAPPHIREWEIR_POLICY_FRESHNESS_H

#include <glib.h>
#include <stdint.h>

#include "core/position.h"

enum { kFreshnessSlots = 64 };

/* A position returned by the primary.  It covers every commit that was
 * acknowledged before the command was sent to the primary. */
typedef struct {
    uint64_t sent_us; /* when the command was sent */
    Position position;
} FreshnessSample;

/* Recent samples of one database. */
typedef struct {
    FreshnessSample samples[kFreshnessSlots]; /* ring buffer by sent_us */
    uint32_t first;
    uint32_t count;
    Position oldest_of_term; /* first known position of the current term */
} Freshness;

void freshness_add(Freshness *f, uint64_t sent_us, Position position);
void freshness_clear(Freshness *f);
gboolean freshness_required(const Freshness *f, uint64_t now_us,
                            uint64_t max_age_us, Position own, Position *out);
uint64_t freshness_newest_us(const Freshness *f);

#endif
