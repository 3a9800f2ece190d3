#ifndef SAPPHIREWEIR_FLEET_DOCUMENT_H
#define SAPPHIREWEIR_FLEET_DOCUMENT_H

#include <glib.h>
#include <stdint.h>

/* Which commits a read must see. */
typedef enum {
    kConsistencyPrimary,          /* reads see every acknowledged commit */
    kConsistencyBoundedStaleness, /* data is at most max_staleness_us old */
    kConsistencyReadYourWrites,   /* bounded, and has its session's commits */
} Consistency;

/* Settings of the statements that are sent to a host name. */
typedef struct {
    char *host;
    char *path_prefix;
    char *database;
    Consistency consistency;
    uint64_t timeout_us;        /* for one statement */
    uint64_t target_latency_us; /* target latency of an operation */
    uint64_t max_staleness_us;
    uint32_t priority;  /* 0 is the most urgent */
    gboolean is_public; /* callers need no API key */
    char **regions;     /* in which its statements may run, NULL: anywhere */
} DocumentRoute;

typedef struct {
    char *name;
    uint32_t max_connections; /* to one backend server, from all instances */
    /* Replicas that must store a commit before it is acknowledged. */
    uint32_t sync_replicas;
    uint64_t cold_start_us; /* how long a server is cold after its start */
    /* Requests to a cold server from all instances, in thousandths per
     * second; zero: no limit. */
    uint64_t cold_milli_per_s;
} DocumentDatabase;

/* A team of callers and its rate limit. */
typedef struct {
    char *name;
    uint32_t priority;         /* 0 is the most urgent */
    uint64_t rate_milli_per_s; /* thousandths of an operation per second */
    uint64_t burst_milli;      /* thousandths of an operation */
    char **regions; /* in which its statements may run, NULL: anywhere */
} DocumentTeam;

/* One version of the whole configuration; immutable after the codec has
 * filled it in. */
typedef struct {
    uint32_t ref_count;
    uint64_t version;
    uint64_t transaction_idle_us; /* idle limit of an open transaction */
    gboolean limits_cold_servers; /* a database has cold_milli_per_s */
    GHashTable *routes;           /* host -> DocumentRoute, owned */
    GHashTable *databases;        /* name -> DocumentDatabase, owned */
    GHashTable *teams;            /* name -> DocumentTeam, owned */
    GHashTable *keys;             /* API key -> DocumentTeam, owned by teams */
} Document;

Document *document_new(uint64_t version);
Document *document_ref(Document *d);
void document_unref(Document *d);
void document_route_free(void *route);
const DocumentRoute *document_route(const Document *d, const char *host);
const DocumentDatabase *document_database(const Document *d, const char *name);
const DocumentTeam *document_team_by_key(const Document *d, const char *key);
gboolean document_has_priorities(const Document *d);
uint64_t document_window_milli(uint64_t rate_milli_per_s, uint64_t burst_milli,
                               uint64_t window_us);

#endif
