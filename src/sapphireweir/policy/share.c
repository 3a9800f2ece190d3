#include "policy/share.h"

/* Division of a team's rate limit among entry instances.  Callers are
 * distributed unevenly, so most of the limit is divided by demand.  The rest
 * is divided equally, so that each instance can serve the first requests of a
 * team whose callers have just moved to it. */

enum { kFloorPercent = 25 }; /* of the limit, divided equally */

/* Computes each instance's share from its demand, in millionths of the limit.
 * The sum is at most kShareTotalMicro.  Without any demand all shares are
 * equal. */
void
share_divide(const uint64_t *demand, size_t count, uint32_t *shares)
{
    uint64_t total = 0;
    uint64_t floor_micro = count == 0 ? 0 : kShareTotalMicro / count;
    uint64_t demand_micro = kShareTotalMicro;

    for (size_t i = 0; i < count; i++) {
        total += demand[i];
    }
    if (total > 0) {
        floor_micro = floor_micro * kFloorPercent / 100;
        demand_micro =
            (uint64_t)kShareTotalMicro * (100 - kFloorPercent) / 100;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t by_demand = total == 0 ? 0 : demand_micro * demand[i] / total;
        shares[i] = (uint32_t)(floor_micro + by_demand);
    }
}
