#include "fleet/suspect.h"

/* Whether a primary is to be replaced, from what the entry instances met
 * while they used it.  One instance that cannot reach it proves nothing
 * while others can; a primary that most instances cannot reach costs more
 * than the second that its replacement takes. */

enum {
    kDeadUs = 350000,             /* nobody was answered for so long */
    kDeadSoleReporterUs = 700000, /* the same, on one instance's word */
    kPartitionedUs = 700000,      /* most were not answered for so long */
};

/* Judges the evidence of all entry instances that have any. */
SuspectVerdict
suspect_evaluate(const SuspectEvidence *evidence, size_t count)
{
    size_t healthy = 0;
    size_t failing = 0;
    size_t failing_long = 0;
    uint64_t longest_us = 0;

    for (size_t i = 0; i < count; i++) {
        const SuspectEvidence *e = &evidence[i];
        healthy += e->failing_us == 0 && e->answered;
        failing += e->failing_us >= kDeadUs;
        failing_long += e->failing_us >= kPartitionedUs;
        longest_us = MAX(longest_us, e->failing_us);
    }
    if (healthy == 0 && (failing >= 2 || longest_us >= kDeadSoleReporterUs)) {
        return kSuspectDead;
    }
    if (failing_long >= 2 && failing_long > healthy) {
        return kSuspectPartitioned;
    }
    return kSuspectNone;
}
