#ifndef SAPPHIREWEIR_FLEET_DOCUMENT_H
#define SAPPHIREWEIR_FLEET_DOCUMENT_H

#include <glib.h>
#include <stdint.h>

typedef enum {
    kConsistencyPrimary,          /* sees every acknowledged commit */
    kConsistencyBoundedStaleness, /* may be max_staleness_us old */
    kConsistencyReadYourWrites,   /* besides, sees its session's commits */
} Consistency;

typedef struct {
    char *host;
    char *path_prefix;
    char *database;
    Consistency consistency;
    uint64_t timeout_us; /* of one statement */
    uint64_t target_us;  /* latency objective of an operation */
    uint64_t max_staleness_us;
    uint32_t priority;
    gboolean open; /* needs no key */
} DocumentRoute;

typedef struct {
    char *name;
    uint32_t max_connections; /* of one backend server, from everybody */
    uint32_t sync_replicas;
} DocumentDatabase;

typedef struct {
    char *name;
    uint32_t priority;
    uint64_t rate_milli_per_s;
    uint64_t burst_milli;
} DocumentTeam;

/* One version of the whole configuration, immutable once it is built. */
typedef struct {
    uint32_t references;
    uint64_t version;
    uint64_t transaction_idle_us;
    GHashTable *routes;    /* host -> DocumentRoute, owned */
    GHashTable *databases; /* name -> DocumentDatabase, owned */
    GHashTable *teams;     /* name -> DocumentTeam, owned */
    GHashTable *keys;      /* key -> DocumentTeam of teams */
} Document;

Document *document_new(uint64_t version);
Document *document_ref(Document *d);
void document_unref(Document *d);
void document_route_free(void *route);
const DocumentRoute *document_route(const Document *d, const char *host);
const DocumentDatabase *document_database(const Document *d, const char *name);
const DocumentTeam *document_team_of_key(const Document *d, const char *key);

#endif
