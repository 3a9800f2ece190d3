#include "fleet/succession.h"

/* Which replica follows a primary.  Answers the pattern in which a primary
 * dies while one of its replicas is behind and the other cannot be asked:
 * where the primary acknowledges alone, the one that answers is taken; where
 * replicas had each commit first, a log may be taken only if it is certain
 * to hold all that was acknowledged. */

/* Returns the replica whose log reaches most_advanced_replica, kSuccessionWait if none
 * has answered. */
static int
most_advanced_replica(const SuccessionReplica *replicas, size_t count,
                      gboolean final_only)
{
    int best = kSuccessionWait;

    for (size_t i = 0; i < count; i++) {
        const SuccessionReplica *r = &replicas[i];
        if (!r->answered || r->excluded || (final_only && !r->log_is_final)) {
            continue;
        }
        if (best == kSuccessionWait ||
            position_compare(r->log, replicas[best].log) > 0) {
            best = (int)i;
        }
    }
    return best;
}

/* Tells whether so many replicas were asked that at least one of them had
 * every commit that counted. */
static gboolean
covers_every_commit(const SuccessionReplica *replicas, size_t count,
                    uint32_t sync_replicas)
{
    size_t asked = 0;

    for (size_t i = 0; i < count; i++) {
        asked += replicas[i].answered && replicas[i].log_is_final;
    }
    return asked + sync_replicas > count;
}

/* Chooses the next primary; kSuccessionWait while none may be taken. */
int
succession_choose(const SuccessionReplica *replicas, size_t count,
                  const SuccessionRequirement *required)
{
    if (required->sync_replicas == 0) {
        return most_advanced_replica(replicas, count, FALSE);
    }
    int best = most_advanced_replica(replicas, count, TRUE);
    if (best == kSuccessionWait) {
        return kSuccessionWait;
    }
    if (required->acknowledged_known &&
        position_compare(replicas[best].log, required->acknowledged) >= 0) {
        return best;
    }
    /* A excluded replica may hold more than the best of the others. */
    for (size_t i = 0; i < count; i++) {
        if (replicas[i].excluded && replicas[i].answered &&
            position_compare(replicas[i].log, replicas[best].log) > 0) {
            return kSuccessionWait;
        }
    }
    return covers_every_commit(replicas, count, required->sync_replicas)
               ? best
               : kSuccessionWait;
}
