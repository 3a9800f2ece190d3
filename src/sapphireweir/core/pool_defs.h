#ifndef SAPPHIREWEIR_CORE_POOL_DEFS_H
#define SAPPHIREWEIR_CORE_POOL_DEFS_H

#include "core/entry_defs.h"
#include "policy/slot_wait.h"

/* Internal to the pool owner; shared by pool.c, job.c and monitor.c.  The pool
 * owner of a member (a backend server of a database group) is the entry
 * instance that holds the connections to it and runs the requests of all
 * entry instances on them. */

enum {
    kQueryTimeoutUs = 300000, /* for queries that need no execution time */
    kConnectTimeoutUs = 800000,
    kReconnectDelayUs = 100000,
    /* A connection that was idle for longer is checked before its next job. */
    kPingAfterIdleUs = 1000000,
    /* A pool without work for longer opens only one connection in advance. */
    kPoolIdleTimeoutUs = 60000000,
    kTransactionIdleTimeoutUs = 5000000, /* between two requests */
    kMaxTransactionUs = 20000000,        /* of an interactive transaction */
    kMaxTeamQueue = 512,                 /* jobs queued per team */
    kMaxAnswerBytes = 8 << 20,
    kInitialServiceUs = 2000, /* service_us before any job ran */
    kMaxJobRequeues = 2,
    /* Multiples of the average service time: after the first, an abandoned
     * statement is cancelled; after the second, a read's connection is taken
     * as unresponsive. */
    kCancelAfterServiceTimes = 4,
    kDropAfterServiceTimes = 8,
    kMaxPrimarySamples = 128,     /* per pool */
    kStalenessDemandUs = 5000000, /* how long min_staleness_us is kept */
    /* Request records are pruned kPrunesPerRetention times per retention time,
     * and at least every kMaxPruneIntervalUs. */
    kMaxPruneIntervalUs = 600000000,
    kPrunesPerRetention = 4,
};

/* Table in the served database that holds one request record for each
 * (team, idempotency key): the hash of a request, and its results, which a
 * repeat of the request returns instead of running it again. */
#define RECORD_TABLE "sapphireweir_request"

typedef struct Job Job;
typedef struct PoolTransaction PoolTransaction;

typedef enum {
    kConnectionConnecting,
    kConnectionIdle,
    kConnectionBusy, /* runs a job or holds an interactive transaction */
} ConnectionState;

/* Why a job lost its connection. */
typedef enum {
    kLossClosed,
    kLossUnresponsive, /* a query had no result for too long */
    kLossDeadline,     /* the job reached its deadline during a short query */
} ConnectionLoss;

/* One connection to a backend server. */
typedef struct {
    uint64_t id;
    Pool *pool;
    ConnectionState state;
    gboolean monitor;  /* serves the monitor instead of jobs */
    gboolean in_query; /* a query was sent and has no result yet */
    gboolean closing;  /* is closed when its job or transaction ends */
    uint64_t opened_us;
    uint64_t last_response_us;
    uint64_t query_sent_us; /* of the last query */
    uint64_t deadline_us;   /* of the pending query or connection attempt */
    Job *job;               /* NULL: none is running */
    PoolTransaction *transaction; /* NULL: none is open */
} PoolConnection;

/* An open interactive transaction.  It occupies its connection between its
 * requests, too. */
struct PoolTransaction {
    Pool *pool;
    char *id;
    char *team;
    char *key_id;
    PoolConnection *connection;
    Job *job;                  /* its running request, NULL between requests */
    uint64_t opened_us;        /* when it took its slot */
    uint64_t idle_deadline_us; /* by which the next request must arrive */
    uint64_t end_deadline_us;  /* by which the transaction must end */
    gboolean wrote;            /* unused */
};

/* The queries that a job sends one after the other. */
typedef enum {
    kStepPing,           /* checks an idle connection */
    kStepPositionBefore, /* checks that a replica has replayed the
                          * session's position */
    kStepCreateRecordTable,
    kStepCreateRecordIndex,
    kStepBegin,
    kStepRecordInsert, /* inserts no row if the request ran before */
    kStepRecordLookup, /* reads the record of an earlier execution */
    kStepStatement,
    kStepStoreResults, /* stores the results in the request record */
    kStepCommit,
    kStepPositionAfter, /* gets the position that the reply reports */
    kStepRollback,
    kStepMajority, /* waits, without a connection, until a majority of the
                   * members holds the commit */
} JobStep;

/* A work request at its pool owner. */
struct Job {
    Pool *pool;
    Sw__WorkRequest *request;
    char *origin; /* instance that sent the request; NULL: this one */
    uint64_t frame_id;
    uint64_t queued_us;
    uint64_t started_us; /* zero: not started */
    uint64_t deadline_us;
    uint32_t requeues; /* times that the job was queued again */
    PoolConnection *connection;
    PoolTransaction *transaction; /* interactive transaction or NULL */
    JobStep step;                 /* current step */
    uint32_t statement;           /* index of the current or next statement */
    json_t *results;              /* results of the statements so far */
    json_t *recorded_results;     /* results of the first execution if this
                                   * request is a repeat, else NULL */
    gboolean read_only;
    gboolean commit_sent;
    gboolean already_ran; /* a record of an earlier execution exists */
    gboolean abandoned;   /* the caller no longer waits for the reply */
    Sw__WorkStatus failed_status; /* to report after the rollback */
    char *failed_reason;
    char *failed_detail;
    LogPosition position; /* reported in the reply */
    uint64_t majority_wait_since_us;
};

/* A log position of the primary and a time at which the primary had not
 * exceeded it.  A replica that has replayed the position holds all data that
 * was committed up to that time. */
typedef struct {
    LogPosition position;
    uint64_t as_of_us;
} PrimarySample;

typedef enum {
    kMonitorOff,
    kMonitorConnecting,
    kMonitorIdle,
    kMonitorStatus,      /* queries the member's status */
    kMonitorReplication, /* queries the replicas' positions at the primary */
    kMonitorCommand,     /* executes a member command */
} MonitorState;

/* The steps of a member command, by the query that is running. */
typedef enum {
    kCommandCheckPromotion, /* checks that no later promotion has changed the
                             * member */
    kCommandSetConninfo,    /* sets primary_conninfo */
    kCommandReload,         /* makes the setting effective */
    kCommandPromote,        /* makes the member the primary */
    kCommandStatus,         /* polls until the command has taken effect */
} CommandStep;

/* A queued or running command of the control leader to the pool's member. */
typedef struct {
    char *from; /* instance id to reply to */
    Sw__MemberCommand *command;
    CommandStep step;
    uint32_t polls; /* status queries since the command was executed */
} PendingCommand;

/* Status of a member according to its last status row. */
typedef struct {
    gboolean known; /* a status row was received */
    gboolean in_recovery;
    gboolean stream_alive; /* it receives its primary's replication stream */
    uint64_t timeline;
    LogPosition received;         /* on a primary, its own position */
    LogPosition replayed;         /* on a primary, its own position */
    uint32_t receivers;           /* running WAL receivers */
    uint64_t query_sent_us;       /* when the query for the row was sent */
    uint64_t last_seen_us;        /* when the row arrived */
    uint64_t stream_last_seen_us; /* last change of stream_last_receipt */
    char *stream_last_receipt;    /* when the WAL receiver last got a message,
                                   * as JSON text */
} MemberStatus;

/* The pool of one member of a database group.  Its monitor queries the
 * member's status over a connection of its own. */
struct Pool {
    EntryCore *core;
    char *database;
    char *member;
    char *name;    /* "db/member" */
    char *address; /* of the member; NULL: unknown */
    FairQueue *queue;
    GPtrArray *connections;       /* PoolConnection, owned; not the monitor */
    GHashTable *transactions;     /* id -> PoolTransaction */
    GPtrArray *awaiting_majority; /* Job whose commit waits for a majority */
    uint32_t connecting_count;
    uint64_t service_us;        /* moving average of the jobs' service time */
    SlotHold hold;              /* of interactive transactions */
    uint64_t last_work_us;      /* last work request; zero: none yet */
    uint64_t next_connect_us;   /* no connection attempt before */
    uint64_t suspect_before_us; /* idle connections opened earlier are
                                 * suspected to be dead and are dropped */
    gboolean records_ready;     /* the table of request records exists */
    uint64_t records_pruned_us; /* when old records were last deleted */

    PoolConnection *monitor;
    MonitorState monitor_state;
    uint64_t monitor_next_us; /* next connection attempt or status query */
    uint64_t unreachable_since_us; /* zero: reachable */
    gboolean ever_reached;         /* a status row was ever received */
    gboolean seen_healthy;       /* was healthy at some time since promotion */
    uint64_t failing_since_us;   /* zero: healthy */
    uint64_t promotion;          /* number of the latest promotion */
    uint64_t last_stale_read_us; /* last read that accepts stale data; on a
                                  * primary, last query of its position */
    uint64_t min_staleness_us;   /* lowest staleness limit of recent reads */
    uint64_t min_staleness_until_us; /* when a higher limit may replace it */
    MemberStatus status;
    uint64_t majority_position;      /* flushed by a majority of the members */
    uint64_t majority_term;          /* term of majority_position */
    GQueue commands;                 /* PendingCommand */
    GQueue primary_samples;          /* PrimarySample not replayed yet, oldest
                                      * first */
    uint64_t next_primary_sample_us; /* next query of the primary's position */
    uint64_t data_as_of_us; /* time up to which a replica's data is known to
                             * be complete; zero: unknown */
};

/* pool.c */
void pool_send(PoolConnection *c, uint64_t now_us, uint64_t timeout_us,
               const char *sql, size_t count, const char *const *parameters);
void pool_dispatch(Pool *p, uint64_t now_us);
void pool_connection_drop(PoolConnection *c, uint64_t now_us);
void pool_connection_release(PoolConnection *c, uint64_t now_us);
PoolConnection *pool_connection_open(Pool *p, uint64_t now_us,
                                     gboolean monitor);
const DatabaseInfo *pool_database(Pool *p);
gboolean pool_is_primary(Pool *p);
gboolean pool_work_allowed(Pool *p, uint64_t now_us, const char *team,
                           const char *key_id, gboolean open_route);
void pool_transaction_end(PoolTransaction *t, uint64_t now_us);
void pool_transaction_free(PoolTransaction *t);

/* job.c */
Job *job_new(Pool *p, uint64_t now_us, const char *origin, uint64_t frame_id,
             const Sw__WorkRequest *r);
void job_free(Job *j);
void job_start(Job *j, uint64_t now_us, PoolConnection *c);
void job_result(Job *j, uint64_t now_us, const BackendResult *result);
void job_connection_lost(Job *j, uint64_t now_us, ConnectionLoss loss);
void job_finish(Job *j, uint64_t now_us, Sw__WorkStatus status,
                const char *reason, const char *detail);
void job_majority_check(Pool *p, uint64_t now_us);
void job_majority_tick(Pool *p, uint64_t now_us);

/* monitor.c */
extern const char kStatusSql[];
void monitor_tick(Pool *p, uint64_t now_us);
void monitor_connected(Pool *p, uint64_t now_us, gboolean ok);
void monitor_result(Pool *p, uint64_t now_us, const BackendResult *result);
void monitor_lost(Pool *p, uint64_t now_us);
gboolean monitor_record_status(Pool *p, uint64_t now_us,
                               uint64_t query_sent_us, const json_t *row);
void monitor_poll_majority(Pool *p, uint64_t now_us);
void monitor_clear(Pool *p);
gboolean log_position_parse(const char *text, uint64_t *position);

#endif
