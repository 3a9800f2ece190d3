#ifndef SAPPHIREWEIR_CORE_CATALOG_DEFS_H
#define SAPPHIREWEIR_CORE_CATALOG_DEFS_H

#include <glib.h>
#include <stdint.h>

#include "core/resource_defs.h"

enum {
    kCatalogMembersMax = 9,
    kCatalogDomainsMax = 16,
    kKeyHashBytes = 32,
};

typedef struct {
    char *name;
    char *sql;
    gboolean write;
    gboolean open;
    gboolean repeatable;
    uint64_t max_staleness_us;
    uint32_t worth;
    GPtrArray *args; /* names of $1, $2, ... */
} StatementInfo;

typedef struct {
    char *name;
    char *database;
    char **teams; /* NULL: all */
    GHashTable *statements;
} ServiceInfo;

typedef struct {
    char *name;
    uint64_t version;
    TeamParameters parameters;
} TeamInfo;

typedef struct {
    char *id;
    char *team;
    uint8_t hash[kKeyHashBytes];
    uint64_t expires_ms; /* zero: never */
    gboolean withdrawn;
} KeyInfo;

typedef struct {
    char *id;
    char *failure_domain;
    char *address;   /* NULL: never announced */
    gboolean usable; /* announced, neither leaving nor missing */
} MemberInfo;

typedef struct {
    char *name;
    MemberInfo members[kCatalogMembersMax];
    uint32_t member_count;
    uint32_t slots;
    uint32_t connections;
    uint64_t record_retention_us;
    int32_t primary; /* -1: not known yet */
    gboolean stable; /* FALSE while the primary is being replaced */
    uint64_t term;
    uint64_t promotion;
} DatabaseInfo;

#endif
