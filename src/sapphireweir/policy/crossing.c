#include "policy/crossing.h"

#include <string.h>

#include "policy/link_time.h"

/* Sends work to the backend servers of another failure domain.  Designed for
 * domains whose load is unequal: waves in opposite phase, a domain with few
 * servers, a burst of one domain's callers.  The expected times at home and
 * elsewhere decide.  Many instances decide from reports that are up to a
 * second old, so that only a share of the work goes, as far as the other
 * domain has free capacity; if all of it went, the load would swing between
 * the domains.  A gain within the noise of the estimates does not
 * count, so that two equally busy domains do not exchange load. */

enum {
    kPermille = 1000,
    /* Margin by which the time elsewhere must be lower: a part for the noise
     * of smoothed times, and one that rises with the time itself. */
    kMarginUs = 4000,
    kMarginDivisor = 4,
    /* The constant part for a server that is worse without any load, too. */
    kUnloadedMarginUs = 1500,
    kActiveDivisor = 2,  /* of the margin, while work is crossing */
    kActiveUs = 1000000, /* the validity of reported loads */
    kRampUs = 2000,      /* gain above the margin for the whole share */
    /* A team's connections are left for a faster link only if that saves more
     * than a handshake takes; else the load of a host, which lengthens the
     * measured times a little, would cause new connections. */
    kHandshakeUs = 12000,
    /* Age of a report from which on its owner is asked for its load, and least
     * time between two such requests.  Without them, instances with few reads
     * decide from reports that are up to a second old. */
    kAskAfterUs = 100000,
    kAskIntervalUs = 50000,
    /* Of its capacity: a server that works as much mostly keeps its queue. */
    kBusyPermille = 900,
    kBusyAgeDivisor = 4, /* of the age, which shortens the queue of such */
    /* A statement without a wait may take as much of the mean time. */
    kUsualPercent = 150,
    kWaitPerWaited = 2, /* see wait_at_us */
    /* In this time, the share grows by the part of the load for which there is
     * room, or shrinks to zero.  Longer times count as more up to the second
     * one: instances with few reads decide rarely. */
    kShareUs = 40000,
    kShareStepUs = 400000,
    kLongWaitPermille = 600, /* of the wait at home: a wait that is too long */
};

/* The servers at home or those elsewhere. */
typedef struct {
    gboolean usable;  /* one may serve the work */
    gboolean able;    /* and does not fail */
    uint64_t cost_us; /* the lowest, without price */
    uint64_t price_us;
    uint64_t wait_us;          /* part of cost_us */
    uint64_t service_us;       /* part of cost_us */
    gboolean asked;            /* a result is awaited */
    gboolean reported;         /* of free_milli_per_s */
    uint64_t free_milli_per_s; /* statements */
    uint64_t load_milli_per_s; /* statements that arrive */
} Side;

/* Returns what a server can finish, in thousandths of a statement per
 * second. */
static uint64_t
capacity_milli_per_s(const PlacementCandidate *c)
{
    return (uint64_t)MAX(c->slots, 1) * 1000000000 / MAX(c->service_us, 1);
}

/* Returns the expected wait for a server as its owner last reported it.
 * placement subtracts the time since the report, but the queue of a server
 * without free capacity becomes shorter more slowly, if at all. */
static uint64_t
reported_wait_us(const PlacementCandidate *c)
{
    uint64_t busy = capacity_milli_per_s(c) * kBusyPermille / kPermille;
    uint64_t less_us = c->report_age_us / kBusyAgeDivisor;

    return c->drain_milli_per_s < busy
               ? c->expected_queue_us
               : c->reported_wait_us - MIN(c->reported_wait_us, less_us);
}

/* Returns the expected wait for a server.  A report contains the statements of
 * this instance, but it may be old: an instance with few reads learns of a
 * longer queue first from a statement that is not answered yet.  At a random
 * moment, such a statement has half of its wait before it. */
static uint64_t
wait_at_us(const PlacementCandidate *c)
{
    uint64_t wait_us =
        c->reported ? reported_wait_us(c) : placement_wait_us(c);
    uint64_t usual_us = c->service_us * kUsualPercent / 100 +
                        (c->same_domain ? 0 : c->link_us);
    uint64_t waited_us = c->unanswered_us - MIN(c->unanswered_us, usual_us);

    return MAX(wait_us, waited_us * kWaitPerWaited);
}

/* Adds the capacity and load of a usable server, as its owner reported. */
static void
add_load(Side *side, const PlacementCandidate *c)
{
    if (!c->reported) {
        return;
    }
    side->reported = TRUE;
    side->load_milli_per_s += c->drain_milli_per_s + c->shed_milli_per_s;
    if (c->failing || c->cold || !c->admits_all) {
        return;
    }
    uint64_t capacity = capacity_milli_per_s(c);
    if (capacity > c->drain_milli_per_s) {
        side->free_milli_per_s += capacity - c->drain_milli_per_s;
    }
}

/* Adds a usable server with its cost, which includes the price. */
static void
add_server(Side *side, const PlacementCandidate *c, uint64_t cost_us)
{
    uint64_t price_us = c->same_domain ? 0 : c->price_us;
    uint64_t wait_us = wait_at_us(c);

    cost_us = cost_us - MIN(cost_us, placement_wait_us(c)) + wait_us;
    if (!side->usable || cost_us < side->cost_us + side->price_us) {
        side->cost_us = cost_us - price_us;
        side->price_us = price_us;
        side->wait_us = wait_us;
        side->service_us = c->service_us;
    }
    side->usable = TRUE;
    side->able = side->able || !c->failing;
    side->asked = side->asked || c->open_statements > 0;
    add_load(side, c);
}

/* Returns a difference, zero if it is negative. */
static uint64_t
above(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

/* Returns the margin by which the time elsewhere must be lower than that at
 * home.  Urgent work has a larger one: it keeps the servers of its domain, and
 * less urgent work leaves first. */
static uint64_t
margin_us(const Crossing *state, uint64_t now_us, const Side *here,
          uint32_t level)
{
    uint64_t margin = kMarginUs + here->cost_us / kMarginDivisor;

    margin += margin * (kAdmissionLevels - 1 - level) / kAdmissionLevels / 2;
    return now_us < state->until_us[level] ? margin / kActiveDivisor : margin;
}

/* Returns the share of the work for which the other domain has room, in
 * thousandths.  Its reported free capacity is beside the work that crosses
 * already, so that the share grows by it. */
static uint64_t
room_permille(Crossing *state, uint64_t now_us, const Side *here,
              const Side *there)
{
    uint64_t step_us = MIN(now_us - state->share_us, (uint64_t)kShareStepUs);
    uint64_t share = state->share_permille;

    if (now_us - state->share_us > kActiveUs) {
        share = 0;
    }
    if (!there->reported) {
        if (there->asked) {
            return share;
        }
        return kPermille;
    }
    uint64_t room = MIN(there->free_milli_per_s * kPermille /
                            MAX(here->load_milli_per_s, 1),
                        (uint64_t)kPermille);
    if (there->wait_us * kPermille > here->wait_us * kLongWaitPermille) {
        share -= MIN(share * step_us / kShareUs, share);
    }
    else {
        share = MIN(share + room * step_us / kShareUs, (uint64_t)kPermille);
    }
    state->share_permille = (uint32_t)share;
    state->share_us = now_us;
    return share;
}

/* Returns the share for a gain above a margin, in thousandths. */
static uint64_t
ramp_permille(uint64_t gain_us, uint64_t margin)
{
    return MIN(above(gain_us, margin) * kPermille / kRampUs,
               (uint64_t)kPermille);
}

/* Returns the share of the work that crosses, in thousandths, and sets the
 * reason why the rest does not. */
static uint64_t
share_permille(Crossing *state, uint64_t now_us, const Side *here,
               const Side *there, const CrossingWork *work,
               CrossingReason *reason)
{
    uint64_t margin = margin_us(state, now_us, here, work->level);
    uint64_t price_us = here->wait_us > work->limit_us ? 0 : there->price_us;
    uint64_t gain_us =
        above(here->cost_us + here->price_us, there->cost_us + price_us);

    if (here->cost_us <= there->cost_us) {
        *reason = kCrossingNotBetter;
        return 0;
    }
    /* Elsewhere is better without any load at home, too: a slow or lagging
     * server, or a primary that is left to other work. */
    uint64_t unloaded_margin =
        kUnloadedMarginUs + here->service_us / kMarginDivisor;
    uint64_t unloaded =
        ramp_permille(above(gain_us, here->wait_us), unloaded_margin);
    uint64_t unpriced_us =
        above(here->cost_us + here->price_us, there->cost_us);
    if (unloaded > 0) {
        *reason = kCrossingHysteresis;
        return unloaded;
    }
    if (gain_us <= margin) {
        gboolean pays = unpriced_us > margin ||
                        unpriced_us > here->wait_us + unloaded_margin;
        *reason = price_us > 0 && pays ? kCrossingPrice : kCrossingHysteresis;
        return 0;
    }
    *reason = kCrossingShare;
    state->until_us[work->level] = now_us + kActiveUs;
    return MIN(ramp_permille(gain_us, margin),
               room_permille(state, now_us, here, there));
}

/* Returns the candidate elsewhere whose owner is to be asked for its load, or
 * kPlacementNone: the cheapest one without its wait, if work would cross as
 * far as that goes and the owner's last report is old. */
static int
owner_to_ask(Crossing *state, uint64_t now_us,
             const PlacementCandidate *candidates, size_t count,
             const uint64_t *costs_us, const Side *here, int preferred)
{
    int found = kPlacementNone;
    uint64_t least_us = here->cost_us - MIN(here->cost_us, kMarginUs);

    if (now_us - state->asked_us < kAskIntervalUs || here->wait_us == 0) {
        return kPlacementNone;
    }
    for (size_t i = 0; i < count; i++) {
        const PlacementCandidate *c = &candidates[i];
        uint64_t cost_us = above(costs_us[i], placement_wait_us(c));
        if (c->usable && !c->same_domain && (int)i != preferred &&
            cost_us < least_us &&
            (!c->reported || c->report_age_us > kAskAfterUs)) {
            found = (int)i;
            least_us = cost_us;
        }
    }
    if (found != kPlacementNone) {
        state->asked_us = now_us;
    }
    return found;
}

/* Limits the candidates to the servers of the side on which the work runs. */
static void
keep_side(PlacementCandidate *candidates, size_t count, int preferred,
          gboolean foreign_only, gboolean leaves)
{
    for (size_t i = 0; i < count; i++) {
        PlacementCandidate *c = &candidates[i];
        gboolean elsewhere = !c->same_domain && (int)i != preferred;
        c->usable = c->usable &&
                    (foreign_only ? !c->same_domain : elsewhere == leaves);
    }
}

/* See crossing_choose; chosen is a copy of the candidates, which it changes,
 * and costs_us has room for as many. */
static int
choose(Crossing *state, uint64_t now_us, const PlacementCandidate *candidates,
       PlacementCandidate *chosen, uint64_t *costs_us, size_t count,
       const CrossingWork *work, CrossingDecision *out)
{
    Side home = {0};  /* servers of the own domain */
    Side here = {0};  /* and that with the team's connections */
    Side there = {0}; /* all others */

    int preferred = placement_preferred(chosen, count);
    if (preferred != kPlacementNone &&
        chosen[preferred].link_us <= kHandshakeUs) {
        chosen[preferred].link_us =
            MIN(chosen[preferred].link_us, (uint64_t)kLinkTimeDefaultUs);
    }
    placement_costs(chosen, count, costs_us);
    for (size_t i = 0; i < count; i++) {
        const PlacementCandidate *c = &chosen[i];
        if (!c->usable) {
            continue;
        }
        if (c->same_domain) {
            add_server(&home, c, costs_us[i]);
        }
        add_server(c->same_domain || (int)i == preferred ? &here : &there, c,
                   costs_us[i]);
    }
    *out = (CrossingDecision){FALSE, kCrossingNotBetter, home.cost_us,
                              there.cost_us, kPlacementNone};
    gboolean stranded = !home.able && (there.able || here.able);
    gboolean leaves = FALSE;
    if (!stranded && there.usable) {
        uint64_t share =
            share_permille(state, now_us, &here, &there, work, &out->reason);
        out->ask = owner_to_ask(state, now_us, chosen, count, costs_us, &here,
                                preferred);
        leaves = work->random % kPermille < share;
    }
    if (stranded || (there.usable && here.usable)) {
        /* The price never keeps work from the only servers. */
        keep_side(chosen, count, preferred, stranded, leaves);
    }
    int index =
        placement_choose_spread(chosen, count, work->random / kPermille);
    if (index == kPlacementNone || candidates[index].same_domain) {
        return index;
    }
    out->crossed = TRUE;
    out->reason = stranded             ? kCrossingNoServer
                  : leaves             ? kCrossingWait
                  : index == preferred ? kCrossingConnection
                                       : kCrossingNoServer;
    if (index == preferred) {
        out->there_us = costs_us[index] - candidates[index].price_us;
    }
    return index;
}

/* Returns the index of the server for work that several servers may run, or
 * kPlacementNone, and sets why. */
int
crossing_choose(Crossing *state, uint64_t now_us,
                const PlacementCandidate *candidates, size_t count,
                const CrossingWork *work, CrossingDecision *out)
{
    PlacementCandidate *chosen =
        g_memdup2(candidates, count * sizeof(*candidates));
    uint64_t *costs_us = g_new(uint64_t, count);
    int index =
        choose(state, now_us, candidates, chosen, costs_us, count, work, out);

    g_free(costs_us);
    g_free(chosen);
    return index;
}

/* Returns the name of a reason as in log lines and metrics. */
const char *
crossing_reason_name(CrossingReason reason)
{
    static const char *const names[kCrossingReasons] = {
        "not_better", "hysteresis", "share",     "price",
        "wait",       "connection", "no_server", "only_server"};
    return names[reason];
}
