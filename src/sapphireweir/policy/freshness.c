#include "policy/freshness.h"

/* Finds the log position that a replica must have reached to serve a read
 * with bounded staleness, from positions in the answers of the primary. */

enum {
    kSampleSpacingUs = 40000, /* kFreshnessSlots of them cover 2.5 s */
    /* Subtracted from the maximum age, which a caller measures from the first
     * byte that it sends. */
    kAgeMarginUs = 60000,
};

/* Returns sample i, counted from the oldest. */
static const FreshnessSample *
sample_at(const Freshness *f, uint32_t i)
{
    return &f->samples[(f->first + i) % kFreshnessSlots];
}

/* Removes all samples, for example after a change of the primary. */
void
freshness_clear(Freshness *f)
{
    *f = (Freshness){0};
}

/* Adds a position that the primary returned for a command sent at sent_us.
 * Samples closer together than kSampleSpacingUs are dropped. */
void
freshness_add(Freshness *f, uint64_t sent_us, Position position)
{
    if (position.term == 0) {
        return;
    }
    if (f->oldest_of_term.term < position.term) {
        freshness_clear(f);
        f->oldest_of_term = position;
    }
    else if (f->oldest_of_term.term > position.term) {
        return;
    }
    if (f->count > 0) {
        const FreshnessSample *last = sample_at(f, f->count - 1);
        if (sent_us < last->sent_us + kSampleSpacingUs) {
            return;
        }
    }
    if (f->count == kFreshnessSlots) {
        f->first = (f->first + 1) % kFreshnessSlots;
        f->count--;
    }
    f->samples[(f->first + f->count) % kFreshnessSlots] =
        (FreshnessSample){sent_us, position};
    f->count++;
}

/* Finds the position that a replica must have reached for a read that accepts
 * data up to max_age_us old and must see its session's commit at position own
 * (a zero term: none).  Returns FALSE if no recent enough position is known;
 * then only the primary may serve the read. */
gboolean
freshness_required(const Freshness *f, uint64_t now_us, uint64_t max_age_us,
                   Position own, Position *out)
{
    uint64_t age_us =
        max_age_us > kAgeMarginUs ? max_age_us - kAgeMarginUs : 0;
    uint64_t since_us = now_us > age_us ? now_us - age_us : 0;

    for (uint32_t i = 0; i < f->count; i++) {
        const FreshnessSample *s = sample_at(f, i);
        if (s->sent_us < since_us) {
            continue;
        }
        *out = s->position;
        if (own.term != 0 && own.term < s->position.term) {
            own = f->oldest_of_term;
        }
        if (position_compare(own, *out) > 0) {
            *out = own;
        }
        return TRUE;
    }
    return FALSE;
}

/* Returns sent_us of the newest sample, zero when there is none. */
uint64_t
freshness_newest_us(const Freshness *f)
{
    return f->count == 0 ? 0 : sample_at(f, f->count - 1)->sent_us;
}
