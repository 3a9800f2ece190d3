#ifndef SAPPHIREWEIR_POLICY_SUSPECT_H
#define SAPPHIREWEIR_POLICY_SUSPECT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Decides from the entry instances' reports whether a primary is suspected to
 * have failed and is to be replaced. */

/* What one entry instance last reported of a primary. */
typedef struct {
    gboolean answered;   /* the primary answered recently */
    uint64_t failing_us; /* how long statements have failed, zero: none do */
    /* Time from the last answer, and from the first failed statement, to the
     * evaluation. */
    uint64_t answered_age_us;
    uint64_t failing_age_us;
} SuspectEvidence;

typedef enum {
    kSuspectNone,        /* no reason for a replacement */
    kSuspectDead,        /* no instance gets an answer */
    kSuspectPartitioned, /* more instances get no answer than get one */
} SuspectVerdict;

/* When an instance last stated a failure of a primary, with evidence that it
 * may confirm later.  Zero: none did. */
typedef struct {
    uint64_t failure_us;
} SuspectWatch;

SuspectVerdict suspect_evaluate(const SuspectEvidence *evidence, size_t count);
void suspect_watch_record(SuspectWatch *w, uint64_t now_us,
                          uint64_t failing_us);
gboolean suspect_watch_due(const SuspectWatch *w, uint64_t now_us,
                           uint64_t max_age_us);

#endif
