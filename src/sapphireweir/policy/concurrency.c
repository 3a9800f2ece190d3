#include "policy/concurrency.h"

/* Limits how many statements an instance has open at one backend server, by
 * additive increase and multiplicative decrease.  Without the limit, a server
 * that falls behind (for example when its replicas cannot take their reads)
 * stays overloaded: its queue fills, it rejects work, and retries of rejected
 * statements and connections keep the queue full after the cause has gone.
 * The limit rises slowly while answers are fast and is lowered at once when
 * they are slow or work is rejected.  Work above the limit waits in the
 * instance's own queue, where deadlines are known. */

enum {
    kMilli = 1000,
    kStartMilli = 3000,
    kMinMilli = 1000,
    kMaxMilli = 12000,
    kRaiseMilli = 120,     /* per answer at the limit, divided by the limit */
    kSlowUs = 110000,      /* several times the usual service time */
    kSlowKeepPercent = 85, /* of the limit, after a slow answer */
    kRejectedKeepPercent = 60, /* of the limit, after a rejection */
    /* Minimum time between two reductions, so that the late answers of one
     * full queue reduce the limit only once. */
    kLowerIntervalUs = 40000,
};

/* Initializes the limit for a server that has not answered yet. */
void
concurrency_init(Concurrency *c)
{
    *c = (Concurrency){.limit_milli = kStartMilli};
}

/* Returns how many statements may be open, at least one. */
uint32_t
concurrency_limit(const Concurrency *c)
{
    return c->limit_milli / kMilli;
}

/* Lowers the limit to keep_percent of its value, unless it was lowered within
 * the last kLowerIntervalUs. */
static void
lower_limit(Concurrency *c, uint64_t now_us, uint32_t keep_percent)
{
    if (now_us - c->lowered_us < kLowerIntervalUs) {
        return;
    }
    c->lowered_us = now_us;
    c->limit_milli =
        MAX(c->limit_milli * keep_percent / 100, (uint32_t)kMinMilli);
}

/* Adapts the limit to an answer that arrived took_us after its statement was
 * sent.  open is the number of other statements that are still open, max_open
 * the number that the connections allow. */
void
concurrency_answered(Concurrency *c, uint64_t now_us, uint64_t took_us,
                     uint32_t open, uint32_t max_open)
{
    uint32_t ceiling = MIN(MAX(max_open, 1) * kMilli, (uint32_t)kMaxMilli);

    if (took_us > kSlowUs) {
        lower_limit(c, now_us, kSlowKeepPercent);
        return;
    }
    if (open + 1 >= concurrency_limit(c)) {
        c->limit_milli += kRaiseMilli * kMilli / c->limit_milli;
    }
    c->limit_milli = MIN(c->limit_milli, ceiling);
}

/* Lowers the limit after the server rejected work because its queue is
 * full. */
void
concurrency_rejected(Concurrency *c, uint64_t now_us)
{
    lower_limit(c, now_us, kRejectedKeepPercent);
}
