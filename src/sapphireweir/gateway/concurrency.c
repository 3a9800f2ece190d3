#include "gateway/concurrency.h"

/* How much work an instance puts into one backend server's own queue.
 * Answers the load pattern in which a server falls behind, as when its
 * replicas cannot take their reads: its queue fills, it rejects work, and
 * retries of rejected work and of connections keep it full after the cause
 * has gone.  The limit rises slowly while answers come fast and falls at
 * once when they are late or work is rejected; the rest waits here, where
 * deadlines are known. */

enum {
    kMilli = 1000,
    kStartMilli = 3000,
    kLeastMilli = 1000,
    kMostMilli = 12000,
    kRaiseMilli = 120, /* an answer at the limit, divided by the limit */
    kSlowUs = 110000,  /* several times a statement's usual work */
    kSlowKeepPercent = 85,
    kRejectedKeepPercent = 60,
    kCutEveryUs = 40000, /* one queue's worth of news at a time */
};

/* Makes a limit for a server of which nothing is known. */
void
concurrency_init(Concurrency *c)
{
    *c = (Concurrency){.limit_milli = kStartMilli};
}

/* Returns how many statements may be open, one at least. */
uint32_t
concurrency_limit(const Concurrency *c)
{
    return c->limit_milli / kMilli;
}

static void
lower(Concurrency *c, uint64_t now_us, uint32_t keep_percent)
{
    if (now_us - c->lowered_us < kCutEveryUs) {
        return;
    }
    c->lowered_us = now_us;
    c->limit_milli =
        MAX(c->limit_milli * keep_percent / 100, (uint32_t)kLeastMilli);
}

/* Takes in an answer after took_us, with so many statements open when it
 * came; max_open is what connections allow. */
void
concurrency_answered(Concurrency *c, uint64_t now_us, uint64_t took_us,
                     uint32_t open, uint32_t max_open)
{
    uint32_t ceiling = MIN(MAX(max_open, 1) * kMilli, (uint32_t)kMostMilli);

    if (took_us > kSlowUs) {
        lower(c, now_us, kSlowKeepPercent);
        return;
    }
    if (open + 1 >= concurrency_limit(c)) {
        c->limit_milli += kRaiseMilli * kMilli / c->limit_milli;
    }
    c->limit_milli = MIN(c->limit_milli, ceiling);
}

/* The server rejected work because its own queue is full. */
void
concurrency_rejected(Concurrency *c, uint64_t now_us)
{
    lower(c, now_us, kRejectedKeepPercent);
}
