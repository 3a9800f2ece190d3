#ifndef SAPPHIREWEIR_POLICY_PLACEMENT_H
#define SAPPHIREWEIR_POLICY_PLACEMENT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* A backend server that is considered for a statement. */
typedef struct {
    gboolean usable; /* may serve the statement */
    gboolean primary;
    gboolean same_domain;
    gboolean matching_connection; /* idle, of the right team */
    gboolean may_connect;         /* one can be opened now */
    uint32_t open_statements;     /* sent by this instance, unanswered */
    uint32_t slots;               /* statements that it can run at once */
    uint64_t service_us;        /* smoothed time from sending to the answer */
    uint64_t expected_queue_us; /* expected wait in the owner's queue */
    uint64_t expected_lag_us; /* expected time until the replica catches up */
    uint64_t service_age_us;  /* since service_us was measured */
    uint64_t affinity; /* rendezvous score of the team, zero: not used */
    /* Of a server in another failure domain: round-trip time as far as
     * service_us does not contain it, and price of the bytes. */
    uint64_t link_us;
    uint64_t price_us;
    gboolean failing; /* it has not answered since a failure */
    gboolean cold;    /* its rate is limited after its start */
    /* Its owner's report is recent: load in thousandths of a statement per
     * second, and whether all work is admitted. */
    gboolean reported;
    gboolean admits_all;
    uint64_t report_age_us;    /* since then */
    uint64_t reported_wait_us; /* expected_queue_us at the time of report */
    uint64_t drain_milli_per_s;
    uint64_t shed_milli_per_s;
    /* Since the oldest statement of at least the same urgency was sent that
     * has no answer and that the last report does not contain; zero: none. */
    uint64_t unanswered_us;
} PlacementCandidate;

enum { kPlacementNone = -1 };

uint64_t placement_cost_us(const PlacementCandidate *c);
uint64_t placement_wait_us(const PlacementCandidate *c);
int placement_preferred(const PlacementCandidate *candidates, size_t count);
void placement_costs(const PlacementCandidate *candidates, size_t count,
                     uint64_t *costs_us);
int placement_choose(const PlacementCandidate *candidates, size_t count);
int placement_choose_spread(const PlacementCandidate *candidates, size_t count,
                            uint32_t random);

#endif
