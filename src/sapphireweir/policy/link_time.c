#include "policy/link_time.h"

#include <glib.h>

#include "core/elapsed.h"

/* The round-trip time to an instance of another failure domain.  Designed for
 * a link that becomes slow, loses answers or is cut and later heals, while
 * most links are rarely used: an estimate without measurements returns to the
 * default, so that a link that was slow is tried again. */

enum {
    kHalfLifeUs = 10000000, /* of the difference from the default */
    /* Of the share of lost answers.  With 10 s, a domain kept its overload for
     * half a minute after a cut of 4 s. */
    kLostHalfLifeUs = 1000000,
    kHalvingsMax = 20,
    /* Weights of a new measurement.  Delays of a busy host lengthen single
     * measurements and shorten none, so that longer ones count less. */
    kShorterWeight = 4,
    kLongerWeight = 16,
    /* A measurement beyond this multiple of the estimate has the larger weight
     * all the same: the link itself has become slow. */
    kSlowFactor = 3,
    kMaxUs = 2000000, /* a longer measurement counts as this */
    kPermille = 1000,
    kLostWeight = 4,     /* of a lost answer */
    kAnsweredWeight = 8, /* of an answer that came */
    /* Until an owner that does not answer counts as lost, see relay.c. */
    kLossUs = 400000,
};

/* Returns a value after its decay towards a default for age_us. */
static uint64_t
decayed(uint64_t value, uint64_t default_value, uint64_t age_us,
        uint64_t half_life_us)
{
    uint64_t halvings = MIN(age_us / half_life_us, (uint64_t)kHalvingsMax);
    uint64_t above = MAX(value, default_value);
    uint64_t difference = (above - MIN(value, default_value)) >> halvings;
    /* Linear between two halvings. */
    uint64_t part_us = age_us % half_life_us;

    difference -= difference / 2 * part_us / half_life_us;
    return value > default_value ? default_value + difference
                                 : default_value - difference;
}

/* Applies the decay up to now_us. */
static void
age(LinkTime *l, uint64_t now_us)
{
    uint64_t age_us = elapsed_us(now_us, l->updated_us);

    if (l->updated_us == 0) {
        l->round_trip_us = kLinkTimeDefaultUs;
    }
    l->round_trip_us =
        decayed(l->round_trip_us, kLinkTimeDefaultUs, age_us, kHalfLifeUs);
    l->lost_permille =
        (uint32_t)decayed(l->lost_permille, 0, age_us, kLostHalfLifeUs);
    l->updated_us = now_us;
}

/* Records that an answer came took_us after the request was sent, of which the
 * instance states that it spent spent_us. */
void
link_time_measured(LinkTime *l, uint64_t now_us, uint64_t took_us,
                   uint64_t spent_us)
{
    uint64_t sample_us =
        MIN(took_us - MIN(took_us, spent_us), (uint64_t)kMaxUs);

    age(l, now_us);
    uint64_t estimate_us = l->round_trip_us;
    if (sample_us < estimate_us) {
        l->round_trip_us -= (estimate_us - sample_us) / kShorterWeight;
    }
    else {
        uint64_t weight = sample_us > estimate_us * kSlowFactor
                              ? kShorterWeight
                              : kLongerWeight;
        l->round_trip_us += (sample_us - estimate_us) / weight;
    }
    l->lost_permille -=
        (l->lost_permille + kAnsweredWeight - 1) / kAnsweredWeight;
}

/* Records that an answer did not come. */
void
link_time_lost(LinkTime *l, uint64_t now_us)
{
    age(l, now_us);
    l->lost_permille += (kPermille - l->lost_permille) / kLostWeight;
}

/* Returns the expected round-trip time in microseconds, kLinkTimeDefaultUs if
 * nothing is known.  A lost answer counts as kLossUs. */
uint64_t
link_time_us(const LinkTime *l, uint64_t now_us)
{
    LinkTime aged = *l;

    age(&aged, now_us);
    return aged.round_trip_us +
           (uint64_t)aged.lost_permille * kLossUs / kPermille;
}
