#ifndef SAPPHIREWEIR_GATEWAY_SERVERPOOL_INTERNAL_H
#define SAPPHIREWEIR_GATEWAY_SERVERPOOL_INTERNAL_H

#include "gateway/gateway_internal.h"

/* Internal to the pool of a server's connections. */

typedef struct PooledJob PooledJob;

typedef enum {
    kPooledOpening,
    kPooledIdle,
    kPooledLent,
    kPooledRollingBack, /* rolls back what its last borrower left open */
} PooledState;

typedef struct {
    ServerPool *pool;
    void *link; /* NULL: closed */
    char *team;
    PooledState state;
    PooledJob *job;
    uint64_t state_since_us; /* of the present state */
    uint64_t sent_us;
    gboolean awaiting;
    uint32_t answers_ahead; /* answers before the awaited one */
    gboolean dirty;         /* holds the values of the last borrower */
    SessionState session_state;
} PooledConnection;

/* What a borrower has open. */
struct PooledJob {
    char *key;
    ServerPool *pool;
    char *from;
    uint64_t relay;
    char *team;
    Sw__RelayRun *run; /* to be sent, NULL: nothing */
    uint64_t arrived_us;
    uint64_t order_us;
    uint64_t deadline_us;
    uint64_t retry_at_us;
    uint64_t last_answer_us; /* of the last answer */
    PooledConnection *connection;
    PooledConnection *opening;
    GList *waiting_link;
};

struct ServerPool {
    Gateway *gateway;
    Server *server;
    GPtrArray *connections; /* PooledConnection, owned */
    GPtrArray *closed;      /* to be freed in the next tick */
    GQueue waiting;         /* PooledJob, by order */
    uint32_t open;          /* statements and handshakes at the server */
};

/* serverpool_job.c */
PooledJob *pooled_job_new(ServerPool *pool, const char *from, char *key,
                          const Sw__RelayRun *m);
char *pooled_job_key(const char *from, uint64_t relay);
void pooled_job_enqueue(PooledJob *j);
void pooled_job_dequeue(PooledJob *j);
void pooled_job_remove(PooledJob *j);
uint64_t serverpool_wait_us(const ServerPool *pool, uint64_t order_us);
void pooled_job_answer(PooledJob *j, uint64_t now_us, const ServerAnswer *a);
void pooled_job_reject(PooledJob *j, uint64_t now_us);
void pooled_job_lost(PooledJob *j, uint64_t now_us);

#endif
