#include "policy/domain_access.h"

#include "core/elapsed.h"

/* Evacuation of a failure domain: an operator takes the backend servers of a
 * domain out of service while callers write to a primary there and hold open
 * transactions.  Replicas of the domain get no new work at once.  A primary
 * serves until its transactions had time to end and is then replaced, because
 * fencing its replicas earlier would leave their commits without a majority,
 * that is, with an unknown outcome. */

enum {
    /* The primary serves, and open transactions may go on.  60 % of the 5 s
     * after which no statement may reach an evacuated domain. */
    kServedUs = 3000000,
    /* The change of the primary begins later than kServedUs, so that commits
     * sent before it reach their majority before the replicas are fenced. */
    kMoveUs = 3200000,
    /* Every connection for callers' work is closed. */
    kConnectionsUs = 4000000,
    /* New work no longer waits for the change of the primary. */
    kWaitUs = 5000000,
};

/* Returns whether a planned change can replace the primary by a member outside
 * the evacuated domains: one of these is usable, and the usable replicas
 * include the majority of the members that must be fenced.  Without that
 * majority the change could not end.  primary is an index in members, or -1 if
 * it is unknown. */
gboolean
domain_access_can_move(const DomainMember *members, uint32_t count,
                       int32_t primary)
{
    uint32_t usable = 0;
    gboolean outside = FALSE;

    for (uint32_t i = 0; i < count; i++) {
        if ((int32_t)i != primary && members[i].usable) {
            usable++;
            outside = outside || members[i].evacuated_us == 0;
        }
    }
    return outside && usable >= count / 2 + 1;
}

/* Returns whether the change of an evacuated primary must begin now. */
gboolean
domain_access_move_due(const DomainMember *members, uint32_t count,
                       int32_t primary, uint64_t now_us)
{
    return primary >= 0 && members[primary].evacuated_us != 0 &&
           elapsed_us(now_us, members[primary].evacuated_us) >= kMoveUs &&
           domain_access_can_move(members, count, primary);
}

/* Returns what new work may do at a member. */
DomainAccess
domain_access(const DomainMember *members, uint32_t count, int32_t member,
              int32_t primary, uint64_t now_us)
{
    uint64_t evacuated_us = members[member].evacuated_us;

    if (evacuated_us == 0) {
        return kDomainServed;
    }
    if (member != primary ||
        !domain_access_can_move(members, count, primary)) {
        return kDomainClosed;
    }
    uint64_t us = elapsed_us(now_us, evacuated_us);
    if (us < kServedUs) {
        return kDomainServed;
    }
    return us < kWaitUs ? kDomainWait : kDomainClosed;
}

/* Returns whether an open transaction at a member of a domain that was
 * evacuated at evacuated_us (zero: it is not) must be rolled back unless one
 * of its statements is running. */
gboolean
domain_access_ends_transactions(uint64_t evacuated_us, uint64_t now_us)
{
    return evacuated_us != 0 && elapsed_us(now_us, evacuated_us) >= kServedUs;
}

/* Returns whether connections to such a member must be closed although a
 * statement is running. */
gboolean
domain_access_ends_connections(uint64_t evacuated_us, uint64_t now_us)
{
    return evacuated_us != 0 &&
           elapsed_us(now_us, evacuated_us) >= kConnectionsUs;
}
