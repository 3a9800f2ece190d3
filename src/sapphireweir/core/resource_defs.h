#ifndef SAPPHIREWEIR_CORE_RESOURCE_DEFS_H
#define SAPPHIREWEIR_CORE_RESOURCE_DEFS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Kinds of resource.  The name of the kind is the first part of a key, as in
 * "team/crews". */
typedef enum {
    kResourceTemplate,
    kResourceService,
    kResourceTeam,
    kResourceDatabase,
    kResourceKey,
    kResourceFleet, /* "fleet/main": the failure domains */
    /* "evacuation/DOMAIN": exists while no work may be sent to the domain's
     * backend servers. */
    kResourceEvacuation,
    /* Only control instances write the kinds from here on. */
    kResourceInstance, /* live entry instance */
    kResourceServer,   /* backend server that was announced */
    kResourcePrimary,  /* term and primary of a database */
    kResourceKindCount,
} ResourceKind;

/* An object of the replicated state. */
typedef struct {
    char *key; /* "KIND/NAME" */
    ResourceKind kind;
    uint64_t version; /* increases with every change */
    uint64_t index;   /* log index of the last change */
    json_t *spec;     /* content, owned */
} Resource;

/* Parameters of a team, with defaults applied. */
typedef struct {
    uint32_t rate_per_s;       /* requests per second */
    uint32_t burst;            /* requests that may come at once */
    uint32_t weight;           /* share of slots, relative to other teams */
    uint64_t max_staleness_us; /* maximum age of the data that reads get */
    /* How long an entry instance still serves requests with an access key
     * after its control lease has expired. */
    uint64_t lease_grace_us;
} TeamParameters;

#endif
