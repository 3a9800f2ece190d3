#ifndef SAPPHIREWEIR_FLEET_SUCCESSION_H
#define SAPPHIREWEIR_FLEET_SUCCESSION_H

#include <glib.h>
#include <stddef.h>

#include "core/position.h"

/* A replica that might become primary. */
typedef struct {
    gboolean answered;     /* it has told its log */
    gboolean log_is_final; /* asked after the last acknowledged commit */
    gboolean excluded;     /* a promotion of it was refused just now */
    Position log;
} SuccessionReplica;

/* What must be in the log of the next primary. */
typedef struct {
    uint32_t sync_replicas;      /* that had each commit before it counted */
    gboolean acknowledged_known; /* every acknowledgement was reported */
    Position acknowledged;       /* the newest one; a zero term: none */
} SuccessionRequirement;

enum { kSuccessionWait = -1 };

int succession_choose(const SuccessionReplica *replicas, size_t count,
                      const SuccessionRequirement *required);

#endif
