#ifndef SAPPHIREWEIR_FLEET_SUCCESSION_H
#define SAPPHIREWEIR_FLEET_SUCCESSION_H

#include <glib.h>
#include <stddef.h>

#include "core/position.h"

/* A replica that might become primary. */
typedef struct {
    gboolean answered;     /* log is set */
    gboolean log_is_final; /* requested after the last acknowledgement */
    gboolean excluded;     /* must not be promoted at present */
    Position log;
} SuccessionReplica;

/* What the log of the next primary must contain. */
typedef struct {
    /* Replicas that store each commit before it is acknowledged. */
    uint32_t sync_replicas;
    gboolean acknowledged_known; /* acknowledged is reliable */
    Position acknowledged; /* newest acknowledged commit; term zero: none */
} SuccessionRequirement;

enum { kSuccessionWait = -1 }; /* no replica may be promoted yet */

int succession_choose(const SuccessionReplica *replicas, size_t count,
                      const SuccessionRequirement *required);

#endif
