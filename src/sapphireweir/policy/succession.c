#include "policy/succession.h"

/* Choice of the replica that becomes the next primary.  Handles the failures
 * in which a primary dies while one replica lags behind and another one is
 * unreachable, and in which two primaries die one after the other.  If the
 * primary acknowledges commits alone, the most advanced reachable replica is
 * chosen.  If replicas store each commit before it is acknowledged, a replica
 * is chosen only if its log is certain to contain all acknowledged commits. */

/* Returns the index of the replica with the newest log position, or
 * kSuccessionWait if none is eligible.  With final_only, only logs requested
 * after the last acknowledgement count. */
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

/* Returns whether enough replicas have a final log that at least one of them
 * has every commit that the old primary acknowledged.  This says nothing of
 * what its predecessors acknowledged: the replicas that stored that may be
 * primaries now, or gone. */
static gboolean
covers_every_commit(const SuccessionReplica *replicas, size_t count,
                    uint32_t sync_replicas)
{
    size_t final_count = 0;

    for (size_t i = 0; i < count; i++) {
        final_count += replicas[i].answered && replicas[i].log_is_final;
    }
    return final_count + sync_replicas > count;
}

/* Returns the index of the replica to promote, or kSuccessionWait if none may
 * be promoted yet. */
int
succession_choose(const SuccessionReplica *replicas, size_t count,
                  const SuccessionRequirement *required)
{
    if (required->sync_replicas == 0) {
        return most_advanced_replica(replicas, count, FALSE);
    }
    int best = most_advanced_replica(replicas, count, TRUE);
    if (best == kSuccessionWait ||
        position_compare(replicas[best].log, required->acknowledged_earlier) <
            0) {
        return kSuccessionWait;
    }
    if (required->acknowledged_known &&
        position_compare(replicas[best].log, required->acknowledged) >= 0) {
        return best;
    }
    /* An excluded replica may have more commits than the others. */
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
