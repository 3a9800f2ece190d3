#include "policy/suspect.h"

/* Failure detection of primaries, from the success and failure that entry
 * instances report of their own operations.  A single instance that cannot
 * reach a primary is no proof of failure while other instances reach it.  A
 * primary that most instances cannot reach is replaced even so, since their
 * failed operations cost more than the second that its replacement takes.
 *
 * An instance with little work may not have noticed yet that a primary is
 * dead.  Its last answer therefore proves that the primary works only if it is
 * newer than the failures of others.
 *
 * The load that SuspectWatch addresses: the evidence of each instance on each
 * primary, every 10 ms, was half of a leader's work with 92 instances and 80
 * databases, while nearly all of it stated no failure. */

enum {
    /* Time without an answer after which a primary is suspected. */
    kDeadUs = 350000,        /* two instances fail, none gets an answer */
    kDeadSingleUs = 700000,  /* one instance fails, none gets an answer */
    kPartitionedUs = 700000, /* most instances fail, some get answers */
    /* A statement may be on its way for so long when the primary dies, while
     * others still get answers. */
    kAnswerMarginUs = 150000,
};

/* Returns the age of the oldest failure of an instance that has failed for
 * kDeadUs, zero if there is none. */
static uint64_t
oldest_failure_us(const SuspectEvidence *evidence, size_t count)
{
    uint64_t oldest_us = 0;

    for (size_t i = 0; i < count; i++) {
        if (evidence[i].failing_us >= kDeadUs) {
            oldest_us = MAX(oldest_us, evidence[i].failing_age_us);
        }
    }
    return oldest_us;
}

/* Tells whether an instance's evidence shows that the primary works although
 * other instances have failed for oldest_us. */
static gboolean
is_healthy(const SuspectEvidence *e, uint64_t oldest_us)
{
    return e->failing_us == 0 && e->answered &&
           (oldest_us == 0 ||
            e->answered_age_us + kAnswerMarginUs < oldest_us);
}

/* Evaluates the evidence of all entry instances that have any. */
SuspectVerdict
suspect_evaluate(const SuspectEvidence *evidence, size_t count)
{
    size_t healthy = 0;
    size_t failing = 0;
    size_t failing_long = 0;
    uint64_t longest_us = 0;
    uint64_t oldest_us = oldest_failure_us(evidence, count);

    for (size_t i = 0; i < count; i++) {
        const SuspectEvidence *e = &evidence[i];
        healthy += is_healthy(e, oldest_us);
        failing += e->failing_us >= kDeadUs;
        failing_long += e->failing_us >= kPartitionedUs;
        longest_us = MAX(longest_us, e->failing_us);
    }
    if (healthy == 0 && (failing >= 2 || longest_us >= kDeadSingleUs)) {
        return kSuspectDead;
    }
    if (failing_long >= 2 && failing_long > healthy) {
        return kSuspectPartitioned;
    }
    return kSuspectNone;
}

/* Records evidence of any instance, when it arrives and when it is
 * confirmed. */
void
suspect_watch_record(SuspectWatch *w, uint64_t now_us, uint64_t failing_us)
{
    if (failing_us > 0) {
        w->failure_us = MAX(now_us, 1);
    }
}

/* Returns whether evidence that is not older than max_age_us may state a
 * failure.  If none does, suspect_evaluate returns kSuspectNone, whatever else
 * the evidence states and however much of it is missing or too old: it counts
 * failing instances, and each other verdict needs one. */
gboolean
suspect_watch_due(const SuspectWatch *w, uint64_t now_us, uint64_t max_age_us)
{
    return w->failure_us != 0 && now_us - w->failure_us <= max_age_us;
}
