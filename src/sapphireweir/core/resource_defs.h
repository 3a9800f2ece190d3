#ifndef SAPPHIREWEIR_CORE_RESOURCE_DEFS_H
#define SAPPHIREWEIR_CORE_RESOURCE_DEFS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Kinds of resource; the first part of a key such as "team/crews". */
typedef enum {
    kResourceTemplate,
    kResourceService,
    kResourceTeam,
    kResourceDatabase,
    kResourceKey,
    kResourceFleet,    /* "fleet/main": the failure domains */
    kResourceInstance, /* live entry instance, written by control */
    kResourceServer,   /* announced backend server, written by control */
    kResourcePrimary,  /* term and primary of a database */
    kResourceKindCount,
} ResourceKind;

typedef struct {
    char *key;
    ResourceKind kind;
    uint64_t version;
    uint64_t index; /* log index of the last change */
    json_t *spec;
} Resource;

/* Parameters of a team after its template's defaults. */
typedef struct {
    uint32_t rate_per_s;
    uint32_t burst;
    uint32_t weight;
    uint64_t max_staleness_us;
    uint64_t lease_grace_us;
} TeamParameters;

#endif
