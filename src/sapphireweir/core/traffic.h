#ifndef SAPPHIREWEIR_CORE_TRAFFIC_H
#define SAPPHIREWEIR_CORE_TRAFFIC_H

#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

enum { kTrafficKinds = 40 }; /* above the highest field number of Frame */

/* Frames and their bytes by kind, indexed by the Frame's body case. */
typedef struct {
    uint64_t frames[kTrafficKinds];
    uint64_t bytes[kTrafficKinds];
} Traffic;

/* Why bytes cross between failure domains. */
typedef enum {
    kTrafficPlacement, /* a decision sent work there */
    kTrafficOwner,     /* the only server is there, or its owner */
    kTrafficReport,
    kTrafficDirectory,
    kTrafficDocument,
    kTrafficOther,
    kTrafficReasons,
} TrafficReason;

/* Bytes between failure domains by kind and reason. */
typedef struct {
    uint64_t bytes[kTrafficKinds][kTrafficReasons];
} DomainTraffic;

void domain_traffic_count(DomainTraffic *t, const Sw__Frame *frame,
                          size_t bytes);
void domain_traffic_write_text(const DomainTraffic *t, const char *direction,
                               GString *out);
void traffic_count(Traffic *t, const Sw__Frame *frame, size_t bytes);
const char *traffic_kind_name(uint32_t kind);
uint64_t traffic_bytes(const Traffic *t);
void traffic_write_text(const Traffic *t, const char *direction, GString *out);

#endif
