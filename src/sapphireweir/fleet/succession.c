#include "fleet/succession.h"

/* Which replica follows a primary.  Answers the pattern in which a primary
 * dies while one of its replicas is behind and the other cannot be asked:
 * where the primary acknowledges alone, the one that answers is taken; where
 * replicas had each commit first, a log may be taken only if it is certain
 * to hold all that was acknowledged. */

/* Returns the replica whose log reaches furthest, kSuccessionWait if none
 * has answered. */
static int
furthest(const SuccessionReplica *replicas, size_t count, gboolean final)
{
    int best = kSuccessionWait;

    for (size_t i = 0; i < count; i++) {
        const SuccessionReplica *r = &replicas[i];
        if (!r->answered || r->barred || (final && !r->final)) {
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
enough_were_asked(const SuccessionReplica *replicas, size_t count,
                  uint32_t sync_replicas)
{
    size_t asked = 0;

    for (size_t i = 0; i < count; i++) {
        asked += replicas[i].answered && replicas[i].final;
    }
    return asked + sync_replicas > count;
}

/* Chooses the next primary; kSuccessionWait while none may be taken. */
int
succession_choose(const SuccessionReplica *replicas, size_t count,
                  const SuccessionRequirement *need)
{
    if (need->sync_replicas == 0) {
        return furthest(replicas, count, FALSE);
    }
    int best = furthest(replicas, count, TRUE);
    if (best == kSuccessionWait) {
        return kSuccessionWait;
    }
    if (need->known &&
        position_compare(replicas[best].log, need->acknowledged) >= 0) {
        return best;
    }
    /* A barred replica may hold more than the best of the others. */
    for (size_t i = 0; i < count; i++) {
        if (replicas[i].barred && replicas[i].answered &&
            position_compare(replicas[i].log, replicas[best].log) > 0) {
            return kSuccessionWait;
        }
    }
    return enough_were_asked(replicas, count, need->sync_replicas)
               ? best
               : kSuccessionWait;
}
