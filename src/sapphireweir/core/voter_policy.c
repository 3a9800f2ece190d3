#include "core/voter_policy.h"

/* Decides how many members of a consensus group vote.
 *
 * Designed for a group that a partition divides into two halves: with an even
 * number of voters neither half may have a majority, and no leader is left
 * until the partition ends.  An even voter adds no tolerance of failures
 * either: four voters tolerate one failure, like three.  Therefore one member
 * of an even group stays a learner, which has the log and replaces a voter
 * that fails. */

/* Tells whether a learner that has the log may become a voter.  members counts
 * voters and learners.  While a voter is unresponsive its replacement is
 * promoted first, so that the voter can be removed without loss of
 * tolerance. */
gboolean
voter_policy_promote(uint32_t voters, uint32_t members,
                     gboolean voter_unresponsive)
{
    uint32_t wanted = members % 2 == 0 ? members - 1 : members;

    if (members == 0 || voters >= members) {
        return FALSE;
    }
    return voters < wanted || voter_unresponsive;
}
