#include "policy/slot_wait.h"

/* The expected wait for a slot of a server while interactive transactions
 * hold slots between their statements.  The load: callers open a transaction,
 * think, and commit seconds later.  Counted as free, the held slots make a
 * request wait until its deadline that could have been rejected at once. */

enum {
    kAverageOver = 8, /* the latest transaction has the weight 1/8 */
    /* A transaction counts with at most so many times the average.  One that
     * was left idle until its deadline, up to 20 s, would otherwise make work
     * be rejected that short transactions leave room for. */
    kLongestFactor = 2,
};

/* Adds the time for which a transaction held its slot to the moving
 * average. */
void
slot_hold_record(SlotHold *h, uint64_t held_us)
{
    if (h->average_us == 0) {
        h->average_us = held_us;
        return;
    }
    uint64_t counted_us = MIN(held_us, h->average_us * kLongestFactor);
    h->average_us =
        (h->average_us * (kAverageOver - 1) + counted_us) / kAverageOver;
}

/* Returns for how much longer a transaction that has held its slot for held_us
 * is expected to hold it, at most longest_us: the rest of the average, zero if
 * that has passed. */
uint64_t
slot_hold_left_us(const SlotHold *h, uint64_t held_us, uint64_t longest_us)
{
    uint64_t left_us = h->average_us > held_us ? h->average_us - held_us : 0;
    return MIN(left_us, longest_us);
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y ? 1 : 0;
}

/* Returns after how long a slot is expected for a request, behind queued_us
 * of work.  held_left_us (uint64_t) has an element for each slot that is held:
 * the time until it is free; the other slots are free now.  A slot serves from
 * when it is free: with n slots free until then, the work ends at the time t
 * for which n * t less the sum of their times is queued_us. */
uint64_t
slot_wait_us(const GArray *held_left_us, uint32_t slots, uint64_t queued_us)
{
    uint32_t held = MIN(held_left_us->len, slots);
    uint64_t count = slots - held; /* slots that serve */
    uint64_t sum_us = 0;           /* of the times from which they serve */
    GArray *sorted = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), held);

    g_array_append_vals(sorted, held_left_us->data, held_left_us->len);
    g_array_sort(sorted, compare_times);
    for (uint32_t i = 0; i < held; i++) {
        uint64_t free_us = g_array_index(sorted, uint64_t, i);
        if (count > 0 && (queued_us + sum_us) / count <= free_us) {
            break;
        }
        count++;
        sum_us += free_us;
    }
    g_array_unref(sorted);
    return (queued_us + sum_us) / MAX(count, 1);
}
