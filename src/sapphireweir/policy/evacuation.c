#include "policy/evacuation.h"

/* The use of an evacuated failure domain, and the load that moves to the
 * others.  Addresses an operator's order to clear a domain within a time limit
 * while callers hold transactions there and the primaries of some databases
 * must move first: replicas get no new work at once, a primary serves until it
 * is replaced but not beyond a part of the limit, and what is left at the end
 * of a larger part is ended, so that nothing reaches the domain after the
 * limit although instances learn of the evacuation at different times. */

enum {
    /* Of the time limit: a primary may get new work.  It usually is replaced
     * within a third; see kDrainServedPercent in gateway/dispatch.c. */
    kServedPercent = 60,
    /* Of the time limit: open transactions may run.  The rest is left for
     * messages that are late and statements that already run. */
    kOpenPercent = 80,
    kPermille = 1000,
    kLoadUnlimited = 1000000, /* load of no server at all */
};

/* Returns the time when a part of the limit has passed, now_us if it has. */
static uint64_t
part_ends_us(uint64_t now_us, uint64_t age_us, uint64_t limit_us,
             uint32_t percent)
{
    uint64_t part_us = limit_us * percent / 100;
    return now_us + (part_us > age_us ? part_us - age_us : 0);
}

/* Returns the times of an evacuation that was committed age_us ago and must
 * have taken effect limit_us after that. */
EvacuationTimes
evacuation_times(uint64_t now_us, uint64_t age_us, uint64_t limit_us)
{
    return (EvacuationTimes){
        .serve_until_us =
            part_ends_us(now_us, age_us, limit_us, kServedPercent),
        .end_us = part_ends_us(now_us, age_us, limit_us, kOpenPercent)};
}

/* Tells whether new work may start at a server of the domain. */
gboolean
evacuation_allows(const EvacuationTimes *times, uint64_t now_us,
                  gboolean primary)
{
    return primary && now_us < times->serve_until_us;
}

/* Returns the expected utilisation of the servers that remain, in thousandths
 * of their slots, when the work of the leaving ones is spread over them by
 * slots. */
uint32_t
evacuation_load_permille(const EvacuationServer *servers, size_t count)
{
    uint64_t busy_milli = 0;
    uint64_t slots = 0;

    for (size_t i = 0; i < count; i++) {
        busy_milli += servers[i].busy_milli;
        slots += servers[i].leaving ? 0 : MAX(servers[i].slots, 1);
    }
    if (slots == 0) {
        return busy_milli == 0 ? 0 : kLoadUnlimited;
    }
    return (uint32_t)MIN(busy_milli * kPermille / (slots * kPermille),
                         (uint64_t)kLoadUnlimited);
}

/* Returns the index of one of the servers that remain, in proportion to their
 * slots when random is evenly distributed; kEvacuationNoServer if none
 * remains. */
int
evacuation_pick(const EvacuationServer *servers, size_t count, uint64_t random)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < count; i++) {
        slots += servers[i].leaving ? 0 : MAX(servers[i].slots, 1);
    }
    if (slots == 0) {
        return kEvacuationNoServer;
    }
    uint64_t left = random % slots;
    for (size_t i = 0; i < count; i++) {
        uint32_t own = servers[i].leaving ? 0 : MAX(servers[i].slots, 1);
        if (left < own) {
            return (int)i;
        }
        left -= own;
    }
    return kEvacuationNoServer;
}
