#include "policy/rate_window.h"

#include <glib.h>
#include <string.h>

/* A team's rate limit in the form that operators state it: within any window
 * at most the team's rate times the window's length, plus its burst.  A token
 * bucket of the same rate would refuse operations of a team that keeps this
 * limit but whose operations arrive unevenly.
 *
 * Load pattern: a team near its limit whose callers are spread over more than
 * a hundred entry instances and arrive in clusters.  A token that is not free
 * now but will be soon is reserved, in the order of the requests, rather than
 * refused.  Tokens that no operation used are returned to their slot.
 *
 * Load pattern: a team stays above its limit.  Then tokens are reserved for a
 * short time only, so that those who get one are served in time. */

enum {
    kMilli = 1000,
    /* Spare tokens are given only below this part of the limit, so that
     * tokens held without a use never cause a refusal. */
    kSparePercent = 75,
    kPercent = 100,
    /* The longest delay for a team above its limit.  It keeps its queue full:
     * with long delays all its operations are late, and no more are served. */
    kSaturatedDelayUs = 20000,
};

/* Returns the length of a slot in microseconds. */
static uint64_t
slot_us(const RateWindow *w)
{
    return MAX(w->window_us / kRateWindowSlots, 1);
}

/* Returns the ring's entry of a slot. */
static RateSlot *
slot_at(RateWindow *w, uint64_t slot)
{
    return &w->slots[slot % kRateRingSlots];
}

/* Returns what a slot's tokens count, in thousandths of a token.  Tokens taken
 * under a higher limit than the present one count in proportion, otherwise a
 * team whose limit is lowered could be refused everything for a whole window.
 * The tokens themselves are kept, so that a limit that is raised again counts
 * them in full. */
static uint64_t
slot_weight(const RateWindow *w, const RateSlot *slot)
{
    uint64_t full = (uint64_t)slot->taken * kMilli;

    if (slot->limit <= w->limit) {
        return full;
    }
    return (full * w->limit + slot->limit - 1) / slot->limit;
}

/* Returns the weight of a slot by its number; slots outside the ring have
 * none. */
static uint64_t
weight_of(RateWindow *w, uint64_t slot)
{
    if (slot + kRateCountedSlots < w->newest_slot ||
        slot > w->newest_slot + kRateAheadSlots) {
        return 0;
    }
    return slot_weight(w, slot_at(w, slot));
}

/* Adds a change of a slot's weight to the sum that the slot belongs to. */
static void
adjust_sums(RateWindow *w, uint64_t slot, uint64_t before, uint64_t after)
{
    uint64_t *sum = slot <= w->newest_slot ? &w->used_milli : &w->ahead_milli;

    *sum = *sum + after - before;
}

/* Recomputes the weight of the window that ends with the newest slot, and that
 * of the later slots.  The window has more slots than its length, so that no
 * token leaves it early. */
static void
sum_window(RateWindow *w)
{
    uint64_t first =
        w->newest_slot - MIN(w->newest_slot, (uint64_t)kRateCountedSlots);

    w->used_milli = 0;
    w->ahead_milli = 0;
    for (uint64_t i = first; i <= w->newest_slot + kRateAheadSlots; i++) {
        adjust_sums(w, i, 0, weight_of(w, i));
    }
}

/* Discards the slots that are older than the window. */
static void
advance_window(RateWindow *w, uint64_t now_us)
{
    uint64_t slot = now_us / slot_us(w);

    if (slot > w->newest_slot + kRateRingSlots) {
        memset(w->slots, 0, sizeof(w->slots));
        w->used_milli = 0;
        w->ahead_milli = 0;
        w->newest_slot = slot;
    }
    while (w->newest_slot < slot) {
        uint64_t next = w->newest_slot + 1;
        if (next > kRateCountedSlots) {
            w->used_milli -= weight_of(w, next - kRateCountedSlots - 1);
        }
        w->used_milli += weight_of(w, next);
        w->ahead_milli -= weight_of(w, next);
        w->newest_slot = next;
        *slot_at(w, next + kRateAheadSlots) = (RateSlot){0};
    }
}

/* Accounts tokens for a slot.  If older ones of the slot were taken under a
 * higher limit, they count in full from now on: a slot has one limit. */
static void
slot_add(RateWindow *w, uint64_t slot, uint32_t count)
{
    RateSlot *s = slot_at(w, slot);
    uint64_t before = slot_weight(w, s);

    s->limit =
        (uint32_t)MIN(s->taken == 0 ? w->limit : MIN(s->limit, w->limit),
                      (uint64_t)UINT32_MAX);
    s->taken += MIN(count, UINT32_MAX - s->taken);
    adjust_sums(w, slot, before, slot_weight(w, s));
}

/* Initializes a window in which some tokens count as used just now. */
void
rate_window_init(RateWindow *w, uint64_t now_us, uint64_t window_us,
                 uint64_t limit, uint64_t used)
{
    memset(w, 0, sizeof(*w));
    w->window_us = window_us;
    w->limit = limit;
    w->newest_slot = now_us / slot_us(w);
    slot_add(w, w->newest_slot, (uint32_t)used);
}

/* Changes the limit.  If it is lower, the tokens taken before count in
 * proportion from now on. */
void
rate_window_set_limit(RateWindow *w, uint64_t limit)
{
    if (limit == w->limit) {
        return;
    }
    w->limit = limit;
    sum_window(w);
}

/* Returns the thousandths of a token that may be in use with a reservation for
 * others. */
static uint64_t
usable_milli(const RateWindow *w, uint64_t reserved)
{
    return w->limit > reserved ? (w->limit - reserved) * kMilli : 0;
}

/* Finds the first slot, not after a last one, in which one more token is free.
 * Sets how much of the window that ends with it is used.  Returns FALSE if
 * there is none.  Tokens of later slots count in full: spare ones may be used
 * at once, and reserved ones belong to earlier requests.  So no later window
 * becomes too full, and a later request gets an earlier slot only if returned
 * tokens or a raised limit leave more than all who wait need. */
static gboolean
find_slot(RateWindow *w, uint64_t usable, uint64_t last, uint64_t *slot,
          uint64_t *used)
{
    uint64_t at = w->newest_slot;
    uint64_t weight = w->used_milli + w->ahead_milli;

    while (weight + kMilli > usable) {
        if (at >= last) {
            return FALSE;
        }
        at++;
        if (at > kRateCountedSlots) {
            weight -= weight_of(w, at - kRateCountedSlots - 1);
        }
    }
    *slot = at;
    *used = weight;
    return TRUE;
}

/* Takes spare tokens if the team is far from its limit.
 * They may be used at once or until kRateTokenKeptUs later, and are accounted
 * for the end of that time. */
static void
take_spare(RateWindow *w, uint64_t now_us, uint64_t usable, uint32_t spare,
           RateGrant *grant)
{
    uint64_t threshold = usable * kSparePercent / kPercent;
    uint64_t used = w->used_milli + w->ahead_milli;
    uint64_t slot = (now_us + kRateTokenKeptUs) / slot_us(w);

    if (used >= threshold) {
        return;
    }
    slot = MIN(slot, w->newest_slot + kRateAheadSlots);
    grant->spare = (uint32_t)MIN((uint64_t)spare, (threshold - used) / kMilli);
    grant->spare_us = slot * slot_us(w);
    slot_add(w, slot, grant->spare);
}

/* Returns the longest delay of a token: that of the request, or a short one
 * for a team that was above its limit within the last window. */
static uint64_t
longest_delay_us(const RateWindow *w, uint64_t now_us, uint64_t max_delay_us)
{
    gboolean saturated =
        w->exceeded_us != 0 && now_us - w->exceeded_us < w->window_us;

    return saturated ? MIN(max_delay_us, (uint64_t)kSaturatedDelayUs)
                     : MIN(max_delay_us, w->window_us);
}

/* Records that a team is above its limit if not even the request's own longest
 * delay leads to a token. */
static void
check_exceeded(RateWindow *w, uint64_t now_us, uint64_t usable,
               uint64_t max_delay_us)
{
    uint64_t last = (now_us + MIN(max_delay_us, w->window_us)) / slot_us(w);
    uint64_t slot;
    uint64_t used;

    if (!find_slot(w, usable, MIN(last, w->newest_slot + kRateAheadSlots),
                   &slot, &used)) {
        w->exceeded_us = MAX(now_us, 1);
    }
}

/* Takes up to the wanted number of tokens, some of which may only be used
 * after a delay, and then spare ones.  Sets the delay of each wanted token;
 * delays_us must have room for them and is in ascending order.  Requests
 * get the next free tokens in the order in which they arrive. */
RateGrant
rate_window_reserve(RateWindow *w, uint64_t now_us, const RateRequest *request,
                    uint64_t *delays_us)
{
    uint64_t usable = usable_milli(w, request->reserved);
    uint64_t max_delay_us = longest_delay_us(w, now_us, request->max_delay_us);
    uint64_t last = (now_us + max_delay_us) / slot_us(w);
    RateGrant grant = {0};
    uint64_t slot;
    uint64_t used;

    advance_window(w, now_us);
    last = MIN(last, w->newest_slot + kRateAheadSlots);
    while (grant.wanted < request->wanted &&
           find_slot(w, usable, last, &slot, &used)) {
        uint32_t count =
            (uint32_t)MIN((usable - used) / kMilli,
                          (uint64_t)request->wanted - grant.wanted);
        uint64_t delay_us =
            slot == w->newest_slot ? 0 : slot * slot_us(w) - now_us;
        slot_add(w, slot, count);
        for (uint32_t i = 0; i < count; i++) {
            delays_us[grant.wanted++] = delay_us;
        }
    }
    if (grant.wanted < request->wanted) {
        check_exceeded(w, now_us, usable, request->max_delay_us);
        return grant;
    }
    take_spare(w, now_us, usable, request->spare, &grant);
    return grant;
}

/* Takes up to the wanted number of tokens that may be used now and returns how
 * many it took.  The reserved number of tokens stays available to entry
 * instances that cannot request them. */
uint32_t
rate_window_take(RateWindow *w, uint64_t now_us, uint32_t wanted,
                 uint64_t reserved)
{
    uint64_t usable = usable_milli(w, reserved);

    advance_window(w, now_us);
    uint64_t used = w->used_milli + w->ahead_milli;
    if (used >= usable) {
        return 0;
    }
    uint32_t taken = (uint32_t)MIN((uint64_t)wanted, (usable - used) / kMilli);
    slot_add(w, w->newest_slot, taken);
    return taken;
}

/* Returns tokens that no operation used to the slot that they were taken for;
 * taken_us is the time for which they were accounted.  Returns how many were
 * credited: none if the slot has left the window. */
uint32_t
rate_window_return(RateWindow *w, uint64_t now_us, uint64_t taken_us,
                   uint32_t count)
{
    uint64_t slot = taken_us / slot_us(w);

    advance_window(w, now_us);
    if (slot + kRateCountedSlots < w->newest_slot ||
        slot > w->newest_slot + kRateAheadSlots) {
        return 0;
    }
    RateSlot *s = slot_at(w, slot);
    uint64_t before = slot_weight(w, s);
    uint32_t credited = MIN(count, s->taken);
    s->taken -= credited;
    adjust_sums(w, slot, before, slot_weight(w, s));
    return credited;
}

/* Accounts operations that ran without this window's tokens, at the time they
 * ran, or now if that is in the future. */
void
rate_window_add(RateWindow *w, uint64_t now_us, uint64_t used_us,
                uint32_t count)
{
    uint64_t slot = MIN(used_us, now_us) / slot_us(w);

    advance_window(w, now_us);
    if (slot + kRateCountedSlots >= w->newest_slot) {
        slot_add(w, slot, count);
    }
}

/* Returns the tokens in use in the present window, rounded up. */
uint64_t
rate_window_used(RateWindow *w, uint64_t now_us)
{
    advance_window(w, now_us);
    return (w->used_milli + kMilli - 1) / kMilli;
}

/* Returns the microseconds until a token is free that no reservation takes,
 * and that leaves the reserved tokens: at most the window's length.  */
static uint64_t
wait_us(RateWindow *w, uint64_t now_us, uint64_t reserved)
{
    uint64_t slot;
    uint64_t used;
    uint64_t last = w->newest_slot + kRateAheadSlots + kRateCountedSlots + 1;

    if (!find_slot(w, usable_milli(w, reserved), last, &slot, &used)) {
        return w->window_us;
    }
    return slot == w->newest_slot
               ? 0
               : MIN(slot * slot_us(w) - now_us, w->window_us);
}

/* Returns the microseconds until a token is free, without any for instances
 * that cannot request them: zero if one is free now, UINT64_MAX if the limit
 * is zero. */
uint64_t
rate_window_wait_us(RateWindow *w, uint64_t now_us)
{
    advance_window(w, now_us);
    return w->limit == 0 ? UINT64_MAX : wait_us(w, now_us, 0);
}

/* Returns the retry hint for a request that got no token: the microseconds
 * until one is free for it, never zero and at most the window's length.  Each
 * hint claims the time of one token at the team's rate, so that callers who
 * are refused together come back one after the other. */
uint64_t
rate_window_hint_us(RateWindow *w, uint64_t now_us, uint64_t reserved)
{
    advance_window(w, now_us);
    uint64_t free_us = now_us + MAX(wait_us(w, now_us, reserved), slot_us(w));
    uint64_t at_us = MAX(free_us, w->hinted_us);

    w->hinted_us =
        MIN(at_us + w->window_us / MAX(w->limit, 1), now_us + w->window_us);
    return MIN(at_us - now_us, w->window_us);
}
