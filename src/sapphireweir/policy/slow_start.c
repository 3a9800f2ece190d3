#include "policy/slow_start.h"

/* Slow start of a backend server whose caches are empty.  Addresses the load
 * of a failure domain that returns: all its servers start at once, look idle
 * and would get all work.  The operators' bound counts the requests that
 * arrive at a server within any second.  A pace of sending does not keep it,
 * since a queue on a link or a stalled process turns a second's requests into
 * a burst.  So a request counts from its sending until a second after its
 * answer.  Of requests that arrive within one second, the last one was then
 * sent while all others counted, however long each was under way. */

enum {
    kSecondUs = 1000000,
    kMilli = 1000,
    /* Of the limit: for the owner of the server's connections, and for all
     * instances together that connect to it directly. */
    kOwnerPercent = 70,
    kDirectPercent = 30,
    /* A single batch may exceed the budget by so much, and blocks the sender
     * for longer then; else a server with a low limit could not run a
     * statement with session values at all. */
    kOwnerOversize = 3,
    kDirectOversize = 1,
    kSlottedOversize = 2,
    /* Time in which a slotted sender may send: a few ticks.  With whole
     * seconds twice as many senders could send within one. */
    kSendingUs = 150000,
    kSlotUs = kSecondUs / 32,
    /* Slots that count: those of a second, and the present one. */
    kSlotsCounted = 33,
    /* A report's time left is from when the report was sent; the server stays
     * limited for the delay of a report on a slow link. */
    kReportMarginUs = 250000,
    kMaxDoublings = 16,
    kLongestWaitUs = 10000000, /* longer ones are of no use to callers */
    /* After a connection broke: time until a report of a new run must have
     * arrived, of about a second between reports and their way. */
    kMayBeNewUs = 1500000,
    /* A server that answered so recently has not stopped, started and lost its
     * connections since. */
    kContactUs = 1000000,
};

/* Returns when a server ceases to be cold, zero for never cold.  A run counts
 * as cold from when it is first seen; a report that states the time left
 * replaces that.  After its failure domain was restored, the server is cold
 * again until a later report. */
uint64_t
slow_start_cold_until_us(const SlowStartRun *run, uint64_t cold_start_us)
{
    uint64_t until_us = cold_start_us == 0 ? 0 : run->seen_us + cold_start_us;

    if (run->reported) {
        until_us = run->reported_until_us == 0
                       ? 0
                       : run->reported_until_us + kReportMarginUs;
    }
    if (run->restored_us != 0 && cold_start_us != 0 &&
        (!run->reported || run->reported_us <= run->restored_us)) {
        until_us = MAX(until_us, run->restored_us + cold_start_us);
    }
    return until_us;
}

/* Tells whether an event was so recent that a run that began before it may not
 * have reported yet; zero: there was none. */
static gboolean
is_unreported(uint64_t event_us, uint64_t now_us)
{
    return event_us != 0 && now_us - event_us < kMayBeNewUs;
}

/* Tells whether a server may have restarted without having reported yet, since
 * a connection to it broke lately, or since the first one was opened and the
 * run that it leads to is not confirmed. */
gboolean
slow_start_may_be_new(const SlowStartRun *run, const SlowStartContact *contact,
                      uint64_t now_us, uint64_t cold_start_us)
{
    return cold_start_us != 0 && (is_unreported(run->broken_us, now_us) ||
                                  is_unreported(contact->unproven_us, now_us));
}

/* Records that a connection is opened while there is no open one, which would
 * have broken in a restart.  Only contact of this instance counts: another one
 * that lends its connections may have got its last answer before a restart.
 * Tells whether the run that it leads to must be confirmed, by a report that
 * is requested only once the server has accepted the connection. */
gboolean
slow_start_opened(SlowStartContact *contact, uint64_t now_us)
{
    if (now_us - contact->answered_us <= kContactUs) {
        return FALSE;
    }
    contact->unproven_us = now_us;
    contact->asked = FALSE;
    return TRUE;
}

/* Records that the server accepted or answered on a connection of this
 * instance.  Tells whether a report must be requested to learn which run it
 * is. */
gboolean
slow_start_contact(SlowStartContact *contact, uint64_t now_us)
{
    contact->answered_us = now_us;
    return !contact->asked && is_unreported(contact->unproven_us, now_us);
}

/* Tells whether what a control instance knows of a server answers a request
 * for a later report than the asked one: such a report, or one that the run is
 * cold, gone or replaced.  A report of an earlier run does not, as the newer
 * one may have been replaced as well. */
gboolean
slow_start_answers(const SlowStartKnown *known, const SlowStartKnown *asked)
{
    if (known->born_ms != asked->born_ms) {
        return known->born_ms > asked->born_ms;
    }
    return known->gone || known->cold || known->sequence > asked->sequence;
}

/* Returns how many requests a server may get from all instances together, in
 * thousandths of a request per second: the limit while it is cold, which
 * afterwards doubles each second until it exceeds twice the capacity. */
uint64_t
slow_start_allowed_milli(uint64_t limit_milli, uint64_t cold_until_us,
                         uint64_t now_us, uint64_t capacity_milli)
{
    if (limit_milli == 0 || cold_until_us == 0) {
        return SLOW_START_UNLIMITED;
    }
    if (now_us < cold_until_us) {
        return limit_milli;
    }
    uint64_t warm_us = now_us - cold_until_us;
    uint64_t doublings = warm_us / kSecondUs;
    if (doublings >= kMaxDoublings) {
        return SLOW_START_UNLIMITED;
    }
    uint64_t base_milli = limit_milli << doublings;
    uint64_t allowed_milli =
        base_milli + base_milli * (warm_us % kSecondUs) / kSecondUs;
    /* The owner's share alone must not limit a server at its capacity. */
    return allowed_milli > 2 * capacity_milli ? SLOW_START_UNLIMITED
                                              : allowed_milli;
}

/* Returns the part of a server's slots that it counts with in placement, in
 * thousandths, at least one. */
uint32_t
slow_start_weight_milli(uint64_t allowed_milli, uint64_t capacity_milli)
{
    if (allowed_milli >= capacity_milli) {
        return kMilli;
    }
    return (uint32_t)MAX(allowed_milli * kMilli / capacity_milli, 1);
}

/* Returns the share of a sender that may send milli thousandths of a request
 * per second, below one request a second as one in several seconds. */
static SlowStartShare
share_of(uint64_t milli, uint32_t oversize)
{
    if (milli >= kMilli) {
        return (SlowStartShare){.limited = TRUE,
                                .budget =
                                    (uint32_t)MIN(milli / kMilli, UINT32_MAX),
                                .oversize = oversize,
                                .window_us = kSecondUs};
    }
    return (SlowStartShare){.limited = TRUE,
                            .budget = 1,
                            .oversize = oversize,
                            .window_us =
                                (uint64_t)kSecondUs * kMilli / MAX(milli, 1)};
}

/* Tells whether an instance is surely the owner.  The leader names another one
 * only later than the lease ends. */
gboolean
slow_start_is_owner(const SlowStartOwner *owner, uint64_t now_us)
{
    return owner->named_us != 0 && now_us < owner->lease_until_us;
}

/* Returns how long an owner sends nothing yet, since requests of the former
 * one may count in the present second. */
uint64_t
slow_start_owner_pause_us(const SlowStartOwner *owner, uint64_t now_us)
{
    uint64_t from_us =
        MAX(owner->named_us, owner->leased_us) + kSlowStartOwnerPauseUs;

    return now_us < from_us ? from_us - now_us : 0;
}

/* Returns the share of the instance that owns the server's connections. */
SlowStartShare
slow_start_owner_share(uint64_t allowed_milli)
{
    if (allowed_milli == SLOW_START_UNLIMITED) {
        return (SlowStartShare){0};
    }
    return share_of(allowed_milli * kOwnerPercent / 100, kOwnerOversize);
}

/* Returns the share of one of so many instances that connect to the server
 * directly.  When an owner is lost, all of them have work at once.  Below a
 * request a second each has therefore its own time, chosen by seed, so that
 * not all of them send within the same second. */
SlowStartShare
slow_start_direct_share(uint64_t allowed_milli, uint32_t instances,
                        uint64_t seed)
{
    if (allowed_milli == SLOW_START_UNLIMITED) {
        return (SlowStartShare){0};
    }
    SlowStartShare share =
        share_of(allowed_milli * kDirectPercent / 100 / MAX(instances, 1),
                 kDirectOversize);
    if (share.window_us > kSecondUs) {
        share.slotted = TRUE;
        share.oversize = kSlottedOversize;
        share.seed = seed;
    }
    return share;
}

/* Returns the requests answered in the counted slots. */
static uint64_t
answered_count(const SlowStartWindow *w, uint64_t now_us)
{
    uint64_t slot = now_us / kSlotUs;
    uint64_t count = 0;

    for (uint64_t i = 0; i < kSlowStartSlots && i <= w->newest_slot; i++) {
        uint64_t each = w->newest_slot - i;
        if (each + kSlotsCounted > slot) {
            count += w->answered[each % kSlowStartSlots];
        }
    }
    return count;
}

/* Returns the time until enough answered requests cease to count. */
static uint64_t
window_wait_us(const SlowStartWindow *w, uint64_t now_us, uint64_t excess)
{
    uint64_t oldest = w->newest_slot >= kSlowStartSlots
                          ? w->newest_slot - kSlowStartSlots + 1
                          : 0;
    uint64_t freed = 0;

    for (uint64_t each = oldest; each <= w->newest_slot; each++) {
        uint64_t free_us = (each + kSlotsCounted) * kSlotUs;
        if (free_us <= now_us) {
            continue;
        }
        freed += w->answered[each % kSlowStartSlots];
        if (freed >= excess) {
            return free_us - now_us;
        }
    }
    return kSecondUs; /* requests without an answer must be answered first */
}

/* Returns the start of the sender's present or next slot for a batch of cost
 * requests.  Such a batch has one slot in as many windows, so that the first
 * seconds after an owner was lost get no more than later ones. */
static uint64_t
slot_start_us(const SlowStartShare *share, uint64_t at_us, uint32_t cost)
{
    uint64_t cycle_us = share->window_us * MAX(cost, 1);
    uint64_t phase_us = share->seed % cycle_us;
    uint64_t since_us = (at_us % cycle_us + cycle_us - phase_us) % cycle_us;

    return since_us < kSendingUs ? at_us - MIN(since_us, at_us)
                                 : at_us + (cycle_us - since_us);
}

/* Returns the time until a batch of cost requests may be sent, zero if it may
 * be sent now.  UINT64_MAX: never, with this share. */
uint64_t
slow_start_wait_us(const SlowStartWindow *w, uint64_t now_us,
                   const SlowStartShare *share, uint32_t cost)
{
    uint64_t used;

    if (!share->limited) {
        return 0;
    }
    if (cost > share->budget + share->oversize) {
        return UINT64_MAX;
    }
    if (share->slotted) {
        uint64_t start_us =
            slot_start_us(share, MAX(now_us, w->blocked_until_us), cost);
        if (start_us > now_us) {
            return start_us - now_us;
        }
        return w->open > 0 ? kSecondUs : 0;
    }
    if (now_us < w->blocked_until_us) {
        return w->blocked_until_us - now_us;
    }
    used = w->open + answered_count(w, now_us);
    if (used + cost <= share->budget || used == 0) {
        return 0;
    }
    uint64_t excess =
        cost > share->budget ? used : used + cost - share->budget;
    return window_wait_us(w, now_us, excess);
}

/* Returns the time until a batch of cost_milli thousandths of a request may be
 * sent that has so many others of that cost ahead of it; wait_us is the time
 * for the first of them. */
uint64_t
slow_start_queue_wait_us(const SlowStartShare *share, uint64_t wait_us,
                         uint64_t ahead, uint64_t cost_milli)
{
    uint64_t each_us = share->window_us * cost_milli / kMilli / share->budget;

    return MIN(wait_us, (uint64_t)kLongestWaitUs) +
           MIN(ahead * each_us, (uint64_t)kLongestWaitUs);
}

/* Records that a batch of requests was sent, whether the share allowed it or
 * not. */
void
slow_start_sent(SlowStartWindow *w, uint64_t now_us,
                const SlowStartShare *share, uint32_t cost)
{
    w->open += cost;
    if (share->limited && share->slotted) {
        uint64_t start_us = slot_start_us(share, now_us, cost);
        w->blocked_until_us = MAX(w->blocked_until_us,
                                  start_us + share->window_us * MAX(cost, 1));
    }
}

/* Records the answer to all requests of a batch, or the end of its
 * connection. */
void
slow_start_answered(SlowStartWindow *w, uint64_t now_us,
                    const SlowStartShare *share, uint32_t cost)
{
    uint64_t slot = now_us / kSlotUs;

    w->open -= MIN(cost, w->open);
    if (slot > w->newest_slot + kSlowStartSlots) {
        w->newest_slot = slot - kSlowStartSlots;
    }
    while (w->newest_slot < slot) {
        w->newest_slot++;
        w->answered[w->newest_slot % kSlowStartSlots] = 0;
    }
    w->answered[w->newest_slot % kSlowStartSlots] += cost;
    if (share->limited && !share->slotted &&
        (cost > share->budget || share->window_us > kSecondUs)) {
        uint64_t hold_us =
            share->window_us * MAX(cost, share->budget) / share->budget;
        w->blocked_until_us = MAX(w->blocked_until_us, now_us + hold_us);
    }
}
