#include "policy/placement.h"

/* Chooses the backend server of a read that more than one server may serve.
 * Designed for many short reads on servers with few slots: when a server
 * becomes slow or busy, its smoothed service time rises and reads go to the
 * others.  A penalty keeps primaries free for work that only they can do. */

enum {
    kConnectCostUs = 15000, /* a new connection's handshake */
    kPrimaryCostUs = 12000, /* delay of a write by a read of mean size */
    kBusyCostUs = 40000,    /* every connection is in use */
    /* Candidates whose costs differ by less count as equal: less than the
     * round trip between failure domains, more where there are queues. */
    kNearUs = 2000,
    kNearQueueDivisor = 4,
    /* Half of a handshake: what work of a team costs where it is not usually
     * sent, while there are more teams than connections. */
    kAffinityUs = 6000,
    /* Without a new measurement, a service time above that of other servers
     * loses half of the difference in this time. */
    kServiceHalfLifeUs = 400000,
    kHalvingsMax = 20,
};

/* Returns the part of the cost that the load causes, in microseconds. */
uint64_t
placement_wait_us(const PlacementCandidate *c)
{
    return c->service_us * c->open_statements / MAX(c->slots, 1) +
           c->expected_queue_us;
}

/* Returns the expected time to the answer in microseconds, with penalties. */
uint64_t
placement_cost_us(const PlacementCandidate *c)
{
    uint64_t cost_us = c->service_us + placement_wait_us(c);

    if (!c->matching_connection) {
        cost_us += c->may_connect ? kConnectCostUs : kBusyCostUs;
    }
    if (!c->same_domain) {
        cost_us += c->link_us + c->price_us;
    }
    if (c->primary) {
        cost_us += kPrimaryCostUs;
    }
    return cost_us + c->expected_lag_us;
}

/* Returns the index of the usable candidate with the lowest cost, or
 * kPlacementNone. */
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

/* ---- many instances that choose at once ---- */

/* Returns the shortest service time of the usable candidates. */
static uint64_t
shortest_service_us(const PlacementCandidate *candidates, size_t count)
{
    uint64_t shortest_us = UINT64_MAX;

    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable) {
            shortest_us = MIN(shortest_us, candidates[i].service_us);
        }
    }
    return shortest_us;
}

/* Returns the candidate with its service time adjusted for its age.  A server
 * that was slow and gets no work is not measured; without the adjustment it
 * would not be used again. */
static PlacementCandidate
aged(const PlacementCandidate *c, uint64_t shortest_us)
{
    PlacementCandidate adjusted = *c;
    uint64_t halvings = c->service_age_us / kServiceHalfLifeUs;

    adjusted.service_us =
        shortest_us + ((c->service_us - shortest_us) >>
                       MIN(halvings, (uint64_t)kHalvingsMax));
    return adjusted;
}

/* Returns the usable candidate to which the team's work usually goes, or
 * kPlacementNone. */
int
placement_preferred(const PlacementCandidate *candidates, size_t count)
{
    int preferred = kPlacementNone;

    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable && candidates[i].affinity != 0 &&
            (preferred == kPlacementNone ||
             candidates[i].affinity > candidates[preferred].affinity)) {
            preferred = (int)i;
        }
    }
    return preferred;
}

/* Sets the cost of each candidate, UINT64_MAX of one that is not usable. */
void
placement_costs(const PlacementCandidate *candidates, size_t count,
                uint64_t *costs_us)
{
    uint64_t shortest_us = shortest_service_us(candidates, count);
    int preferred = placement_preferred(candidates, count);

    for (size_t i = 0; i < count; i++) {
        if (!candidates[i].usable) {
            costs_us[i] = UINT64_MAX;
            continue;
        }
        PlacementCandidate c = aged(&candidates[i], shortest_us);
        costs_us[i] = placement_cost_us(&c);
        if (preferred != kPlacementNone && (int)i != preferred) {
            costs_us[i] += kAffinityUs;
        }
    }
}

/* Returns the index of a usable candidate, or kPlacementNone: of two random
 * ones whose costs are close to the lowest, the one with the lower cost.  With
 * the lowest cost alone, all instances that have seen the same reports choose
 * the same server.  random is any number. */
int
placement_choose_spread(const PlacementCandidate *candidates, size_t count,
                        uint32_t random)
{
    uint64_t *costs_us = g_new(uint64_t, count);
    int *near = g_new(int, count);
    uint32_t near_count = 0;
    int chosen = kPlacementNone;
    uint64_t best_us = UINT64_MAX;
    uint64_t limit_us = 0;

    placement_costs(candidates, count, costs_us);
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable && costs_us[i] < best_us) {
            best_us = costs_us[i];
            limit_us = best_us + kNearUs +
                       candidates[i].expected_queue_us / kNearQueueDivisor;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable && costs_us[i] <= limit_us) {
            near[near_count++] = (int)i;
        }
    }
    if (near_count > 0) {
        int first = near[random % near_count];
        int second = near[(random / near_count) % near_count];
        chosen = costs_us[second] < costs_us[first] ? second : first;
    }
    g_free(near);
    g_free(costs_us);
    return chosen;
}
