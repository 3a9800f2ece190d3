#include "fleet/share.h"

/* How a team's rate is dealt out over entry instances.  Callers are spread
 * unevenly, so most of it follows demand; a floor lets an instance serve the
 * first requests of a team that has just moved to it. */

enum { kFloorPercent = 25 }; /* of the whole, in equal parts */

/* Writes each instance's share in millionths; they add up to at most the
 * whole. */
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
        uint64_t part = total == 0 ? 0 : demand_micro * demand[i] / total;
        shares[i] = (uint32_t)(floor_micro + part);
    }
}
