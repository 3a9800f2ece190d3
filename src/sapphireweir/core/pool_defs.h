#ifndef SAPPHIREWEIR_CORE_POOL_DEFS_H
#define SAPPHIREWEIR_CORE_POOL_DEFS_H

#include "core/entry_defs.h"

/* Internal to the pool owner: shared by pool.c, job.c and monitor.c. */

enum {
    kQueryTimeoutUs = 300000, /* a trivial query takes no longer */
    kConnectTimeoutUs = 800000,
    kReconnectDelayUs = 100000,
    kPingAfterIdleUs = 1000000, /* a connection that answered since is live */
    kPoolIdleTimeoutUs = 60000000, /* without work: one spare connection */
    kTransactionIdleTimeoutUs = 5000000,
    kMaxTransactionUs = 20000000,
    kMaxTeamQueue = 512,
    kMaxAnswerBytes = 8 << 20,
    kInitialServiceUs = 2000,
    kMaxJobRequeues = 2,
    kCancelAfterServiceTimes = 4, /* times the usual service time */
    kDropAfterServiceTimes = 8,   /* likewise, for reads */
    kMaxPositionSamples = 128,
    kStalenessDemandUs = 5000000,
    kMaxPruneIntervalUs = 600000000, /* request records are pruned so often */
    kPrunesPerRetention = 4,
};

#define RECORD_TABLE "sapphireweir_request"

typedef struct Job Job;
typedef struct PoolTransaction PoolTransaction;

typedef enum {
    kConnectionConnecting,
    kConnectionIdle,
    kConnectionBusy,
} ConnectionState;

/* One connection to a backend server. */
typedef struct {
    uint64_t id;
    Pool *pool;
    ConnectionState state;
    gboolean monitor;
    gboolean in_query;
    gboolean closing; /* to be closed when its job ends */
    uint64_t opened_us;
    uint64_t last_response_us; /* last answer */
    uint64_t query_sent_us;    /* when the query under way was sent */
    uint64_t deadline_us;      /* of the query under way */
    Job *job;
    PoolTransaction *transaction;
} PoolConnection;

/* An interactive transaction between its requests. */
struct PoolTransaction {
    Pool *pool;
    char *id;
    char *team;
    char *key_id;
    PoolConnection *connection;
    Job *job; /* request under way or NULL */
    uint64_t idle_deadline_us;
    uint64_t end_deadline_us;
    gboolean wrote;
};

typedef enum {
    kStepPing,
    kStepPositionBefore,
    kStepCreateRecordTable, /* the table of request records */
    kStepCreateRecordIndex,
    kStepBegin,
    kStepRecordInsert,
    kStepRecordLookup,
    kStepStatement,
    kStepRecordAnswer,
    kStepCommit,
    kStepPositionAfter,
    kStepRollback,
    kStepMajority, /* off the connection */
} JobStep;

/* One piece of work at its pool owner. */
struct Job {
    Pool *pool;
    Sw__WorkRequest *request;
    char *origin; /* NULL: this instance */
    uint64_t frame_id;
    uint64_t queued_us;
    uint64_t started_us;
    uint64_t deadline_us;
    uint32_t requeues;
    PoolConnection *connection;
    PoolTransaction *transaction;
    JobStep step;
    uint32_t statement;
    json_t *answers;
    json_t *recorded_answers; /* answer of the first run of a repeat */
    gboolean read_only;
    gboolean commit_sent;
    gboolean already_ran; /* its record was there already */
    gboolean abandoned;
    Sw__WorkStatus failed_status; /* what a rollback ends in */
    char *failed_reason;
    char *failed_detail;
    LogPosition position;
    uint64_t majority_wait_since_us;
};

typedef struct {
    LogPosition at;
    uint64_t as_of_us;
} PositionSample;

typedef enum {
    kMonitorOff,
    kMonitorConnecting,
    kMonitorIdle,
    kMonitorStatus,
    kMonitorReplication,
    kMonitorCommand,
} MonitorState;

typedef enum {
    kCommandCheckPromotion,
    kCommandSetConninfo,
    kCommandReload,
    kCommandPromote,
    kCommandStatus,
} CommandStep;

typedef struct {
    char *from;
    Sw__MemberCommand *command;
    CommandStep step;
    uint32_t polls;
} PendingCommand;

/* Status of a member as its last answers told. */
typedef struct {
    gboolean known;
    gboolean in_recovery;
    gboolean stream_alive;
    uint64_t timeline;
    LogPosition received;
    LogPosition replayed;
    uint32_t receivers;
    uint64_t query_sent_us; /* when the answered question was sent */
    uint64_t last_seen_us;
    uint64_t stream_last_seen_us;
    char *stream_last_receipt; /* the replica's last word of its primary */
} MemberStatus;

struct Pool {
    EntryCore *core;
    char *database;
    char *member;
    char *name;    /* "db/member" */
    char *address; /* NULL: unknown */
    FairQueue *queue;
    GPtrArray *connections;   /* PoolConnection, owned; not the monitor */
    GHashTable *transactions; /* id -> PoolTransaction */
    GPtrArray *majority;      /* Job waiting for its commit position */
    uint32_t connecting_count;
    uint64_t service_us; /* moving average */
    uint64_t last_work_us;
    uint64_t next_connect_us;
    uint64_t suspect_before_us; /* older connections may have gone silent */
    gboolean records_ready;
    uint64_t records_pruned_us;

    PoolConnection *monitor;
    MonitorState monitor_state;
    uint64_t monitor_next_us;
    uint64_t unreachable_since_us; /* zero: reachable */
    gboolean ever_reached;
    gboolean seen_fine;        /* since the promotion below */
    uint64_t failing_since_us; /* zero: fine */
    uint64_t promotion;
    uint64_t last_stale_read_us;
    uint64_t min_staleness_us; /* staleness asked for lately */
    uint64_t min_staleness_until_us;
    MemberStatus status;
    uint64_t majority_position; /* by a majority, on majority_term */
    uint64_t majority_term;
    GQueue commands; /* PendingCommand */
    GQueue samples;  /* PositionSample, oldest first */
    uint64_t next_sample_us;
    uint64_t data_as_of_us; /* replayed all the primary had then */
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
void job_connection_lost(Job *j, uint64_t now_us, gboolean silent);
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
