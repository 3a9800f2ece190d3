#include "policy/rate_stock.h"

#include <string.h>

#include "policy/rate_window.h"

/* What an entry instance does with a team's tokens: how many it requests, how
 * long it keeps them, and what it reports of their use.
 *
 * Load pattern: a team near its limit, with few operations of it at each of
 * more than a hundred instances, and several at once where they arrive.  With
 * a token in stock for the next operation at each instance, a tenth of the
 * team's limit was held unused.  So an instance requests a token for each
 * operation that waits, and more only where it runs several a second; the
 * leader gives those only far from the limit, and what is not used soon goes
 * back to it.
 *
 * Fault: the leader is replaced.  The new one does not know when the former
 * one's tokens were used, so each instance reports it. */

enum {
    kMicro = 1000000,
    kMilli = 1000,
    kSpareSpanUs = 250000, /* spare tokens cover the demand of this time */
    kLowSpanUs = 80000,    /* more are requested if they last for less */
    kUsageBinUs = 500000,
    /* Time of the work itself, with a new connection to a server and the
     * messages between instances. */
    kWorkCostUs = 50000,
    kMaxBudgetUs = 1000000, /* a longer queue for tokens helps nobody */
};

/* Returns how many operations are expected within a time span. */
static uint32_t
demand_within(uint64_t demand_milli, uint64_t span_us)
{
    return (uint32_t)(demand_milli * span_us / kMicro / kMilli);
}

static void
batch_remove(RateStock *s, uint32_t index)
{
    memmove(&s->batches[index], &s->batches[index + 1],
            (s->batch_count - index - 1) * sizeof(s->batches[0]));
    s->batch_count--;
}

/* Adds tokens that may be used after a delay.  Those accounted for the same
 * time are usable together.  Returns the tokens that are lost as there is no
 * room, which is safe: they count as used. */
uint32_t
rate_stock_add(RateStock *s, uint64_t now_us, uint64_t delay_us,
               uint64_t taken_us, uint32_t count)
{
    uint32_t at = s->batch_count;
    uint64_t ready_us = now_us + delay_us;

    for (uint32_t i = 0; i < s->batch_count; i++) {
        if (s->batches[i].taken_us == taken_us &&
            s->batches[i].expiry_us > now_us) {
            s->batches[i].count += count;
            s->total += count;
            return 0;
        }
    }
    if (count == 0 || s->batch_count == kRateStockBatches) {
        return count;
    }
    while (at > 0 && s->batches[at - 1].ready_us > ready_us) {
        at--;
    }
    memmove(&s->batches[at + 1], &s->batches[at],
            (s->batch_count - at) * sizeof(s->batches[0]));
    s->batches[at] =
        (RateBatch){ready_us, ready_us + kRateTokenKeptUs, taken_us, count};
    s->batch_count++;
    s->total += count;
    return 0;
}

/* Adds the token of an operation that did not run, only to be returned to the
 * leader: another operation would run too long after the time for which the
 * token is accounted.  Returns the tokens that are lost; see
 * rate_stock_add. */
uint32_t
rate_stock_give_back(RateStock *s, uint64_t taken_us)
{
    if (s->batch_count == kRateStockBatches) {
        return 1;
    }
    memmove(&s->batches[1], &s->batches[0],
            s->batch_count * sizeof(s->batches[0]));
    s->batches[0] = (RateBatch){0, 0, taken_us, 1};
    s->batch_count++;
    s->total++;
    return 0;
}

/* Takes a token that may be used now; sets the time for which the leader
 * accounts it.  Returns FALSE if there is none. */
gboolean
rate_stock_take(RateStock *s, uint64_t now_us, uint64_t *taken_us)
{
    for (uint32_t i = 0; i < s->batch_count; i++) {
        RateBatch *b = &s->batches[i];
        if (b->ready_us > now_us) {
            return FALSE;
        }
        if (b->expiry_us <= now_us) {
            continue;
        }
        *taken_us = b->taken_us;
        s->total--;
        if (--b->count == 0) {
            batch_remove(s, i);
        }
        return TRUE;
    }
    return FALSE;
}

/* Returns when the token with this index, in the order of their use, may be
 * used; UINT64_MAX if there are fewer. */
uint64_t
rate_stock_ready_us(const RateStock *s, uint32_t index)
{
    for (uint32_t i = 0; i < s->batch_count; i++) {
        if (index < s->batches[i].count) {
            return s->batches[i].ready_us;
        }
        index -= s->batches[i].count;
    }
    return UINT64_MAX;
}

/* Tells whether there are tokens that were not used in time. */
gboolean
rate_stock_has_expired(const RateStock *s, uint64_t now_us)
{
    return s->batch_count > 0 && s->batches[0].expiry_us <= now_us;
}

/* Removes and returns tokens that were not used in time, to be returned to the
 * leader; a count of zero if there are none. */
RateBatch
rate_stock_release(RateStock *s, uint64_t now_us)
{
    for (uint32_t i = 0; i < s->batch_count; i++) {
        if (s->batches[i].expiry_us <= now_us) {
            RateBatch b = s->batches[i];
            batch_remove(s, i);
            s->total -= b.count;
            return b;
        }
    }
    return (RateBatch){0};
}

/* Returns how many tokens to request for operations that wait. */
uint32_t
rate_stock_wanted(const RateStock *s, uint32_t waiting)
{
    uint32_t missing = waiting > s->total ? waiting - s->total : 0;

    return MIN(missing, (uint32_t)kRateTokensMax);
}

/* Returns how many tokens to request beyond those for operations that wait;
 * demand_milli is in operations per 1000 s. */
uint32_t
rate_stock_spare(const RateStock *s, uint32_t waiting, uint64_t demand_milli)
{
    uint32_t expected = waiting + demand_within(demand_milli, kSpareSpanUs);

    expected -= MIN(expected, MAX(s->total, waiting));
    return expected;
}

/* Tells whether more tokens should be requested although none is missing. */
gboolean
rate_stock_is_low(const RateStock *s, uint64_t demand_milli)
{
    return demand_within(demand_milli, kSpareSpanUs) > 0 &&
           s->total <= demand_within(demand_milli, kLowSpanUs);
}

/* Returns how long an operation may wait for a token: its latency objective
 * less the time of the work, at most half of its timeout and one second. */
uint64_t
rate_wait_budget_us(uint64_t objective_us, uint64_t timeout_us)
{
    uint64_t budget_us =
        objective_us > kWorkCostUs ? objective_us - kWorkCostUs : 0;
    return MIN(MIN(budget_us, timeout_us / 2), (uint64_t)kMaxBudgetUs);
}

/* ---- usage ---- */

/* Discards the bins that are older than the window. */
static void
usage_advance(RateUsage *u, uint64_t now_us)
{
    uint64_t bin = now_us / kUsageBinUs;

    if (bin >= u->newest_bin + kRateUsageBins) {
        memset(u, 0, sizeof(*u));
        u->newest_bin = bin;
    }
    while (u->newest_bin < bin) {
        u->newest_bin++;
        u->granted[u->newest_bin % kRateUsageBins] = 0;
        u->other[u->newest_bin % kRateUsageBins] = 0;
    }
}

/* Counts an operation that was admitted with a token of the present leader, or
 * otherwise without its knowledge. */
void
rate_usage_count(RateUsage *u, uint64_t now_us, gboolean granted)
{
    usage_advance(u, now_us);
    (granted ? u->granted : u->other)[u->newest_bin % kRateUsageBins]++;
}

/* Notes that the present leader knows of no operation so far. */
void
rate_usage_leader_changed(RateUsage *u, uint64_t now_us)
{
    usage_advance(u, now_us);
    for (int i = 0; i < kRateUsageBins; i++) {
        u->other[i] += u->granted[i];
        u->granted[i] = 0;
    }
}

/* Sets the operations of each bin that the present leader lacks; the first bin
 * is the newest.  Returns the number of bins up to the last with any. */
size_t
rate_usage_report(RateUsage *u, uint64_t now_us, uint32_t *bins)
{
    size_t count = 0;

    usage_advance(u, now_us);
    for (size_t i = 0; i < kRateUsageBins; i++) {
        bins[i] = i > u->newest_bin
                      ? 0
                      : u->other[(u->newest_bin - i) % kRateUsageBins];
        count = bins[i] > 0 ? i + 1 : count;
    }
    return count;
}

/* Returns the time since the newest bin began. */
uint64_t
rate_usage_phase_us(uint64_t now_us)
{
    return now_us % kUsageBinUs;
}

/* Returns how long ago a bin of a report ended, zero for the newest: the
 * latest time at which its operations may have run. */
uint64_t
rate_usage_age_us(size_t bin, uint64_t phase_us)
{
    return bin == 0 ? 0 : phase_us + (bin - 1) * kUsageBinUs;
}
