#ifndef SAPPHIREWEIR_FLEET_SUSPECT_H
#define SAPPHIREWEIR_FLEET_SUSPECT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* What one entry instance last said of a primary. */
typedef struct {
    gboolean answered;   /* it answered within the last reports */
    uint64_t failing_us; /* since when nothing was answered, zero: fine */
} SuspectEvidence;

typedef enum {
    kSuspectNone,
    kSuspectDead,        /* nobody gets an answer */
    kSuspectPartitioned, /* most do not */
} SuspectVerdict;

SuspectVerdict suspect_evaluate(const SuspectEvidence *evidence, size_t count);

#endif
