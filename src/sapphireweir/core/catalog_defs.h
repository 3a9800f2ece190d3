#ifndef SAPPHIREWEIR_CORE_CATALOG_DEFS_H
#define SAPPHIREWEIR_CORE_CATALOG_DEFS_H

#include <glib.h>
#include <stdint.h>

#include "core/resource_defs.h"

enum {
    kCatalogMembersMax = 9,  /* max. members of a database */
    kCatalogDomainsMax = 16, /* max. failure domains of the fleet */
    kKeyHashBytes = 32,      /* size of an access key's hash */
};

/* One SQL statement of a service template. */
typedef struct {
    char *name;
    char *sql;
    gboolean write;            /* changes data */
    gboolean open;             /* may be called without a key */
    gboolean repeatable;       /* a second execution does no harm */
    uint64_t max_staleness_us; /* maximum age of the data read */
    uint32_t worth;            /* precedence among the team's statements */
    GPtrArray *args;           /* char *: parameter names of $1, $2, ... */
} StatementInfo;

/* A service: the statements of its template, run on one database. */
typedef struct {
    char *name;
    char *database;
    char **teams;           /* teams that may call it; NULL: all */
    GHashTable *statements; /* name -> StatementInfo, owned */
} ServiceInfo;

/* A team with its parameters. */
typedef struct {
    char *name;
    uint64_t version; /* of the team or its template, whichever is higher */
    TeamParameters parameters;
} TeamInfo;

/* An access key of a team, stored as a hash. */
typedef struct {
    char *id;
    char *team;
    uint8_t hash[kKeyHashBytes];
    uint64_t expires_ms; /* wall clock, since 1970; zero: never */
    gboolean withdrawn;  /* revoked, or its stored hash is malformed */
} KeyInfo;

/* A backend server of a database. */
typedef struct {
    char *id;
    char *failure_domain;
    char *address;   /* NULL: no announcement is recorded */
    gboolean usable; /* is announced, and neither leaving nor missing */
    /* When this instance learned that the failure domain is evacuated, in
     * microseconds; zero: it is not. */
    uint64_t evacuated_us;
} MemberInfo;

/* A database: a group of backend servers with one primary. */
typedef struct {
    char *name;
    MemberInfo members[kCatalogMembersMax];
    uint32_t member_count;
    uint32_t slots;       /* max. concurrent transactions per member */
    uint32_t connections; /* max. connections to all members together */
    uint64_t record_retention_us; /* lifetime of a request record */
    int32_t primary;              /* index in members; -1: unknown */
    gboolean stable;    /* FALSE while the primary is being replaced */
    uint64_t term;      /* timeline of the primary */
    uint64_t promotion; /* number of the latest promotion */
} DatabaseInfo;

#endif
