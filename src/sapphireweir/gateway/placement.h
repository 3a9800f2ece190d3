#ifndef SAPPHIREWEIR_GATEWAY_PLACEMENT_H
#define SAPPHIREWEIR_GATEWAY_PLACEMENT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* A backend server as the choice of where to read sees it. */
typedef struct {
    gboolean usable; /* may serve this read at all */
    gboolean primary;
    gboolean same_domain;
    gboolean matching_connection; /* idle, of the right team */
    gboolean may_connect;         /* a connection can be opened or made free */
    uint32_t open_statements;
    uint32_t slots;
    uint64_t service_us;        /* smoothed time from sending to the answer */
    uint64_t expected_queue_us; /* expected wait of work that was sent there */
    uint64_t expected_lag_us;   /* expected wait before it has caught up */
} PlacementCandidate;

enum { kPlacementNone = -1 };

uint64_t placement_cost_us(const PlacementCandidate *c);
int placement_choose(const PlacementCandidate *candidates, size_t count);

#endif
