#include "fleet/rate_window.h"

#include <glib.h>
#include <string.h>

/* A team's limit as operators state it: in any window no more operations
 * than its rate times the window, plus its burst.  A token bucket of the
 * same rate would refuse a team that keeps to that limit with uneven
 * arrivals. */

static uint64_t
slot_us(const RateWindow *w)
{
    return MAX(w->window_us / kRateWindowSlots, 1);
}

/* Drops the slots that have left the window. */
static void
advance_window(RateWindow *w, uint64_t now_us)
{
    uint64_t slot = now_us / slot_us(w);

    if (slot >= w->newest_slot + kRateWindowSlots) {
        memset(w->slots, 0, sizeof(w->slots));
        w->used = 0;
        w->newest_slot = slot;
    }
    while (w->newest_slot < slot) {
        w->newest_slot++;
        uint32_t *oldest = &w->slots[w->newest_slot % kRateWindowSlots];
        w->used -= *oldest;
        *oldest = 0;
    }
}

/* Makes a window of which some was used already, spread evenly. */
void
rate_window_init(RateWindow *w, uint64_t now_us, uint64_t window_us,
                 uint64_t limit, uint64_t used)
{
    memset(w, 0, sizeof(*w));
    w->window_us = window_us;
    w->limit = limit;
    w->newest_slot = now_us / slot_us(w);
    for (uint32_t i = 0; i < kRateWindowSlots; i++) {
        uint64_t used_until = used * (i + 1) / kRateWindowSlots;
        w->slots[i] = (uint32_t)(used_until - used * i / kRateWindowSlots);
    }
    w->used = used;
}

/* Changes the limit.  What was used under a higher one counts in
 * proportion, so that a team is not refused everything for a window. */
void
rate_window_set_limit(RateWindow *w, uint64_t limit)
{
    uint64_t before = w->limit;

    w->limit = limit;
    if (limit >= before || before == 0) {
        return;
    }
    w->used = 0;
    for (uint32_t i = 0; i < kRateWindowSlots; i++) {
        w->slots[i] = (uint32_t)(w->slots[i] * limit / before);
        w->used += w->slots[i];
    }
}

/* Takes up to the wanted number of tokens, of which so many are reserved for
 * those who cannot ask; returns how many. */
uint32_t
rate_window_take(RateWindow *w, uint64_t now_us, uint32_t wanted,
                 uint64_t reserved)
{
    advance_window(w, now_us);
    uint64_t unavailable = w->used + reserved;
    uint64_t left = w->limit > unavailable ? w->limit - unavailable : 0;
    uint32_t taken = (uint32_t)MIN((uint64_t)wanted, left);

    w->slots[w->newest_slot % kRateWindowSlots] += taken;
    w->used += taken;
    return taken;
}

/* Returns the microseconds until a token is there: zero when it is now,
 * UINT64_MAX when it never will be. */
uint64_t
rate_window_wait_us(RateWindow *w, uint64_t now_us)
{
    uint64_t freed = 0;

    advance_window(w, now_us);
    if (w->used < w->limit) {
        return 0;
    }
    if (w->limit == 0) {
        return UINT64_MAX;
    }
    for (uint64_t i = 1; i <= kRateWindowSlots; i++) {
        freed += w->slots[(w->newest_slot + i) % kRateWindowSlots];
        if (w->used - freed < w->limit) {
            return (w->newest_slot + i) * slot_us(w) - now_us;
        }
    }
    return w->window_us;
}
