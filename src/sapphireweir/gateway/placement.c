#include "gateway/placement.h"

/* Where a read goes that more than one backend server may serve.  Answers
 * the load pattern of many short reads over few slots: a server that turns
 * slow or fills up shows in its smoothed service time and loses reads to
 * the others, and primaries are kept free for what only they can do. */

enum {
    kConnectCostUs = 15000,    /* a new connection's handshake */
    kCrossDomainCostUs = 3000, /* a round trip between failure domains */
    kPrimaryCostUs = 12000,    /* one read of mean size in a write's way */
    kBusyCostUs = 40000,       /* every connection is in use */
};

/* Returns the expected time to the answer, with penalties. */
uint64_t
placement_cost_us(const PlacementCandidate *c)
{
    uint32_t slots = MAX(c->slots, 1);
    uint64_t cost_us =
        c->service_us + c->service_us * c->open_statements / slots;

    if (!c->matching_connection) {
        cost_us += c->may_connect ? kConnectCostUs : kBusyCostUs;
    }
    if (!c->same_domain) {
        cost_us += kCrossDomainCostUs;
    }
    if (c->primary) {
        cost_us += kPrimaryCostUs;
    }
    return cost_us + c->expected_queue_us + c->expected_lag_us;
}

/* Chooses the cheapest usable candidate; kPlacementNone when none is. */
int
placement_choose(const PlacementCandidate *candidates, size_t count)
{
    int best = kPlacementNone;
    uint64_t best_us = 0;

    for (size_t i = 0; i < count; i++) {
        if (!candidates[i].usable) {
            continue;
        }
        uint64_t cost_us = placement_cost_us(&candidates[i]);
        if (best == kPlacementNone || cost_us < best_us) {
            best = (int)i;
            best_us = cost_us;
        }
    }
    return best;
}
