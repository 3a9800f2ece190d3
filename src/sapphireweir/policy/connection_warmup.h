#ifndef SAPPHIREWEIR_POLICY_CONNECTION_WARMUP_H
#define SAPPHIREWEIR_POLICY_CONNECTION_WARMUP_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Decides which connections the owner of a backend server opens before work
 * asks for them. */

enum { kConnectionWarmupNone = -1 };

/* What the owner's use of a server depends on. */
typedef struct {
    gboolean owner; /* this instance is the owner */
    uint64_t epoch; /* of the database's primary */
    int64_t born;   /* run of the server */
} ConnectionWarmupView;

/* State of one server. */
typedef struct {
    ConnectionWarmupView view; /* as last seen */
    uint64_t until_us;         /* connections are opened ahead before */
    uint64_t paused_until_us;  /* after a failed opening */
    /* It is not known whose work to expect, so that all teams count. */
    gboolean everyone;
} ConnectionWarmup;

/* The use of the server at present. */
typedef struct {
    /* The server takes new connections: it is not cold, draining, evacuated
     * or failing. */
    gboolean usable;
    uint32_t slots; /* statements that it runs at the same time */
    uint32_t busy;  /* statements and handshakes in progress */
    uint32_t ahead; /* of these, handshakes of connections opened ahead */
    uint32_t connections;
    uint32_t limit; /* of the owner's connections */
} ConnectionWarmupLoad;

/* A team whose work may come. */
typedef struct {
    gboolean admitted;    /* it has a key, and a rate above zero */
    uint64_t used_ago_us; /* its last work here, UINT64_MAX: none */
    gboolean prefers;     /* this server among those of its database */
    uint64_t affinity;    /* to this server; the largest goes first */
    uint32_t connections; /* that the owner has for it */
} ConnectionWarmupTeam;

void connection_warmup_observe(ConnectionWarmup *w, uint64_t now_us,
                               const ConnectionWarmupView *view,
                               uint64_t instance_age_us);
void connection_warmup_failed(ConnectionWarmup *w, uint64_t now_us);
void connection_warmup_done(ConnectionWarmup *w);
gboolean connection_warmup_is_active(const ConnectionWarmup *w,
                                     uint64_t now_us);
gboolean connection_warmup_may_open(const ConnectionWarmup *w, uint64_t now_us,
                                    const ConnectionWarmupLoad *load);
int connection_warmup_choose(const ConnectionWarmup *w,
                             const ConnectionWarmupTeam *teams, size_t count);

#endif
