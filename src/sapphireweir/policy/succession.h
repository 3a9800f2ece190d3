#ifndef SAPPHIREWEIR_POLICY_SUCCESSION_H
#define SAPPHIREWEIR_POLICY_SUCCESSION_H

#include <glib.h>
#include <stddef.h>

#include "core/position.h"

/* Decides which replica becomes the next primary of a database, or that none
 * may be promoted yet. */

/* A replica that might become primary. */
typedef struct {
    gboolean answered; /* log is set */
    /* The log was requested after the old primary's last acknowledgement. */
    gboolean log_is_final;
    gboolean excluded; /* must not be promoted at present */
    Position log;      /* newest position of its log */
} SuccessionReplica;

/* What the log of the next primary must contain. */
typedef struct {
    /* Replicas that store each commit before it is acknowledged. */
    uint32_t sync_replicas;
    gboolean acknowledged_known; /* no newer commit can be acknowledged */
    Position acknowledged; /* newest acknowledged commit; term zero: none */
    /* No commit beyond it was acknowledged before the old primary led; term
     * zero: none was. */
    Position acknowledged_earlier;
} SuccessionRequirement;

enum { kSuccessionWait = -1 }; /* no replica may be promoted yet */

int succession_choose(const SuccessionReplica *replicas, size_t count,
                      const SuccessionRequirement *required);

#endif
