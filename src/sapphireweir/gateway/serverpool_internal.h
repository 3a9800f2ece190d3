#ifndef SAPPHIREWEIR_GATEWAY_SERVERPOOL_INTERNAL_H
#define SAPPHIREWEIR_GATEWAY_SERVERPOOL_INTERNAL_H

#include "gateway/gateway_internal.h"
#include "policy/admission.h"

/* Declarations shared by the serverpool*.c files only. */

typedef struct PooledJob PooledJob;

typedef enum {
    kPooledOpening,
    kPooledIdle,
    kPooledLent,
    kPooledRollingBack, /* the transaction of its last borrower */
} PooledState;

/* A connection to a backend server that is lent to borrowers. */
typedef struct {
    ServerPool *pool;
    void *link; /* NULL: closed */
    char *team;
    PooledState state;
    PooledJob *job; /* the loan, NULL: not lent */
    uint64_t state_since_us;
    uint64_t sent_us;      /* when the open commands were sent */
    gboolean awaiting;     /* answers are awaited */
    gboolean counted;      /* in ServerPool.open */
    uint32_t answers_left; /* to the commands that were sent */
    gboolean ahead;        /* opened before work asked for it, not used */
    ServerSession server_session;
    SessionState session_state;
    SlowStartPermit permit; /* of the commands without an answer */
} PooledConnection;

/* A loan to a borrower, and its open commands. */
struct PooledJob {
    char *key; /* in Gateway.pooled_jobs, see pooled_job_key */
    ServerPool *pool;
    char *borrower; /* entry instance that sent the commands */
    uint64_t relay; /* the borrower's number of the connection */
    char *team;
    Sw__RelayRun *run;   /* commands without a result yet, NULL: none */
    gboolean begin_open; /* the awaited answer is that to run's BEGIN */
    gboolean begun;      /* that BEGIN has succeeded */
    gboolean setting_up; /* only the session's state was sent for it so far */
    gboolean held;       /* in ServerPool.held */
    gboolean ready;      /* in ServerPool.ready */
    gboolean timed;      /* its result states held_us */
    gboolean chosen;     /* see RelayRun.chosen */
    uint64_t arrived_us;
    uint64_t order_us; /* queue position; the smallest runs first */
    uint64_t deadline_us;
    uint64_t retry_at_us; /* earliest time of the next attempt */
    uint64_t last_answer_us;
    PooledConnection *connection;
    PooledConnection *opening; /* being opened for it */
    GList *waiting_link;
    AdmissionWork work;
};

struct ServerPool {
    Gateway *gateway;
    Server *server;
    GPtrArray *connections; /* PooledConnection, owned */
    GPtrArray *closed;      /* PooledConnection, freed in the next tick */
    GQueue waiting;         /* PooledJob, by order_us */
    GQueue ready;         /* PooledJob, set up; its statement waits for room */
    GQueue held;          /* PooledJob, with a connection, for a cold server */
    Admission admission;  /* of the work in waiting */
    uint64_t shed_due_us; /* when waiting work is looked at next */
    uint64_t limited_us;  /* admission was last limited, zero: it is not */
    uint32_t open;        /* statements and handshakes in progress */
    uint32_t setups;      /* of sessions' state in progress */
};

enum { kHandshakeUs = 12000 }; /* of a slot, for a new connection */

/* serverpool.c */
ServerPool *serverpool_of(Gateway *g, const char *server_id);
PooledConnection *pooled_idle_for(ServerPool *pool, const PooledJob *j);
void pooled_run(PooledConnection *c, PooledJob *j, uint64_t now_us);
void pooled_send_rest(PooledConnection *c, PooledJob *j, uint64_t now_us);
void pooled_end_loan(PooledConnection *c, uint64_t now_us);

/* serverpool_setup.c */
gboolean serverpool_may_set_up(const ServerPool *pool, uint64_t now_us);
void pooled_ready(PooledJob *j);
void pooled_unready(PooledJob *j);
void pooled_ready_pump(ServerPool *pool, uint64_t now_us);
void pooled_ready_tick(ServerPool *pool, uint64_t now_us);

/* serverpool_cold.c */
uint32_t pooled_cost(PooledConnection *c, const PooledJob *j);
gboolean pooled_may_send(PooledConnection *c, const PooledJob *j,
                         uint64_t now_us);
void pooled_hold(PooledJob *j);
void pooled_unhold(PooledJob *j);
gboolean pooled_run_held(ServerPool *pool, uint64_t now_us);
void pooled_held_tick(ServerPool *pool, uint64_t now_us);

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
ServerCommand pooled_command(const Sw__RelayCommand *c);
const CommandBatch *pooled_job_needed(const PooledJob *j);

/* serverpool.c */
void pooled_close(PooledConnection *c);
PooledConnection *pooled_open(ServerPool *pool, const char *team,
                              uint64_t now_us);
PooledConnection *pooled_longest_idle(const ServerPool *pool);
gboolean serverpool_has_room(const ServerPool *pool);
gboolean pooled_may_wait(const PooledJob *j, uint64_t now_us);
gboolean pooled_may_start(PooledConnection *c, const PooledJob *j,
                          uint64_t now_us);
uint32_t serverpool_max_connections(const ServerPool *pool, uint64_t now_us);

/* serverpool_warmup.c */
void pooled_ahead_ends(PooledConnection *c, gboolean used);

/* serverpool_queue.c */
void serverpool_queue_init(ServerPool *pool);
void serverpool_queue_arrived(PooledJob *j, uint64_t now_us,
                              const Sw__RelayRun *m);
gboolean serverpool_queue_is_too_long(PooledJob *j, uint64_t patience_us);
void serverpool_queue_pump(ServerPool *pool, uint64_t now_us);
void serverpool_queue_tick(ServerPool *pool, uint64_t now_us);
void serverpool_queue_report(const PooledJob *j, Sw__RelayResult *m);

#endif
