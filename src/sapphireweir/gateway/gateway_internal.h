#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_INTERNAL_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_INTERNAL_H

#include "core/token_bucket.h"
#include "fleet/document_transfer.h"
#include "fleet/owners.h"
#include "gateway/command_batch.h"
#include "gateway/gateway.h"
#include "gateway/rate_pool.h"
#include "gateway/server_session.h"
#include "policy/admission_view.h"
#include "policy/concurrency.h"
#include "policy/connection_warmup.h"
#include "policy/crossing.h"
#include "policy/freshness.h"
#include "policy/link_time.h"
#include "policy/rate_stock.h"
#include "policy/slow_start.h"

/* Declarations shared by the gateway's source files only. */

enum {
    kMicrosPerMilli = 1000,
    /* Minimum wait before a statement may replace another team's idle
     * connection. */
    kTeamSwitchMinWaitUs = 20000,
    kConnectTimeoutUs = 400000, /* until the server accepts a connection */
    /* Added to the deadline of work that has missed its latency objective, to
     * queue it behind work that can still meet its own. */
    kDemotionPenaltyUs = 1000000,
};

typedef struct Database Database;
typedef struct Connection Connection;
typedef struct ServerPool ServerPool;
typedef struct EvacuationView EvacuationView;

/* Slow start of a backend server, see slow_start_gate.c. */
typedef struct {
    SlowStartRun run;
    SlowStartContact contact;
    SlowStartWindow owner;  /* requests on connections that are lent */
    SlowStartWindow direct; /* requests of own sessions */
    uint32_t lost_owner;    /* behind which a connection was closed */
    uint32_t lost_direct;
    uint64_t owner_since_us; /* zero: another instance is the owner */
    uint64_t query;          /* open request for a report, zero: none */
    uint64_t cost_milli;     /* smoothed requests of a batch, thousandths */
    uint64_t now_us;         /* time of the last tick */
    gboolean cold;           /* as last logged */
} ServerSlowStart;

/* Requests that count at a cold server until their answer. */
typedef struct {
    uint32_t cost; /* zero: none */
    gboolean as_owner;
} SlowStartPermit;

/* A backend server as this instance knows it. */
typedef struct {
    char *id;
    char *address;
    char *failure_domain;
    Database *database;
    int64_t born_ms;   /* start time of its run; a larger one is newer */
    uint64_t sequence; /* in that run, of the newest report received */
    uint32_t slots;    /* statements that it runs at the same time */
    gboolean draining;
    uint64_t draining_us; /* when this instance learned of the drain */
    gboolean gone;
    uint64_t gone_us;       /* when this instance learned of that */
    GPtrArray *connections; /* Connection, owned; opened by this instance */
    GPtrArray *relays;      /* Connection, owned; borrowed from owner */
    ServerPool *pool;       /* connections to lend, NULL before first use */
    char *owner;            /* entry instance that lends, NULL: none */
    uint64_t relay_avoid_until_us; /* no statement goes to owner before */
    uint64_t owner_wait_us;        /* queueing delay that the owner reported */
    uint64_t owner_wait_updated_us;
    uint64_t busy_milli;        /* smoothed open_statements, in thousandths */
    AdmissionView admission;    /* at the owner */
    uint64_t drain_milli_per_s; /* at the owner */
    uint64_t shed_milli_per_s;  /* at the owner */
    uint32_t opening;           /* own connections being opened */
    uint32_t open_statements;   /* sent by this instance, not yet answered */
    Concurrency concurrency;
    uint64_t service_us; /* smoothed time of a statement */
    /* service_us was last measured here, with the round-trip time, and not by
     * the owner. */
    gboolean service_direct;
    uint32_t completed;            /* statements in the current window */
    uint64_t throughput_window_us; /* when that window began */
    /* Statements per 1000 s in the last window; zero if none were waiting. */
    uint64_t throughput_milli_per_s;
    uint64_t last_answer_us;
    uint64_t failing_since_us; /* zero: no failure since its last answer */
    uint64_t last_failure_us;
    gboolean failure_reported; /* an early report was requested for it */
    uint64_t avoid_until_us;   /* after a failure to connect */
    /* After it refused a connection, as it had too many: end of the reduced
     * connection limit, and earliest time of the next connection. */
    uint64_t full_until_us;
    uint64_t connect_after_us;
    uint64_t lagging_until_us; /* replica expected to be behind until then */
    uint64_t lagging_step_us;  /* current delay of the exponential backoff */
    ServerSlowStart slow_start;
    ConnectionWarmup warmup; /* if this instance is the owner */
} Server;

/* What this instance observed of a database's primary. */
typedef struct {
    uint64_t epoch;
    uint64_t failing_us; /* zero: statements do not fail */
    gboolean answered;
    uint64_t last_answer_us; /* if answered is set */
    uint64_t released_epoch;
    uint32_t open_work;
    Position acknowledged;
} PrimaryEvidence;

/* A database: its backend servers, the right to use its primary, and the
 * sessions that wait for one of its servers. */
struct Database {
    char *name;
    Gateway *gateway;
    GPtrArray *servers; /* Server, owned by the gateway; none that is gone */
    char *primary;      /* id, NULL: not known */
    uint64_t epoch;
    gboolean closing;   /* the primary must not be used any more */
    gboolean quiescing; /* no new work may start at the primary */
    gboolean quiesced;  /* quiescing, and no work is open at the primary */
    uint64_t unusable_since_us; /* zero: the primary can be used */
    uint64_t released_epoch;    /* last epoch whose primary was released */
    /* Newest commit in this epoch that was acknowledged to a caller. */
    Position acknowledged;
    PrimaryEvidence reported; /* last evidence in a report to the leader */
    uint64_t evidence_mark;   /* its part of evidence_hash */
    Freshness freshness;
    Crossing crossing; /* of reads to other failure domains */
    GQueue waiting;    /* Session, by Job.order_us */
};

typedef enum {
    kConnectionOpening,
    kConnectionIdle,
    kConnectionBound,       /* in use by a session */
    kConnectionRollingBack, /* after its session was unbound */
} ConnectionState;

struct Connection {
    Gateway *gateway;
    Server *server;
    void *link;              /* NULL for a borrowed connection */
    uint64_t relay;          /* number of a borrowed one, zero: not borrowed */
    char *owner;             /* instance that lends it, NULL: not borrowed */
    gboolean ended_by_owner; /* the owner has ended the loan */
    char *team;
    ConnectionState state;
    Session *session;
    uint64_t state_since_us;
    uint32_t served;  /* statements run on it */
    uint64_t sent_us; /* when the open statement was sent */
    /* Of a borrowed connection: what its owner was told to set up. */
    ServerSession server_session;
    uint32_t answers_left; /* to the commands that were sent */
    gboolean awaiting;     /* answers are awaited */
    gboolean begin_open;   /* the awaited answer belongs to a BEGIN */
    gboolean timed;        /* the awaited result states held_us */
    gboolean chosen;       /* see RelayRun.chosen */
    /* Of the connection at the server, by the last answer. */
    SessionState server_state;
    SlowStartPermit permit; /* of the commands without an answer */
};

/* A statement that a session has prepared. */
typedef struct {
    char *text; /* of the statement to prepare */
    gboolean writes;
} Prepared;

/* The statement that a session has open. */
typedef struct {
    gboolean open;
    StatementKind kind;
    char *id;
    char *text;          /* as sent to a backend server */
    char *prepared;      /* canonical name of its prepared statement or NULL */
    char *prepared_text; /* text of that prepared statement */
    gboolean writes;
    gboolean needs_primary;
    gboolean sent;       /* it, or what must precede it, to a server */
    gboolean setting_up; /* only the session's state was sent for it so far */
    gboolean with_begin; /* sent together with the transaction's BEGIN */
    Server *server;      /* last server that the statement was sent to */
    gboolean charged;    /* a rate token was taken for it */
    uint64_t token_us;   /* see RateBatch.taken_us; zero: of no leader */
    uint64_t token_term; /* of the leader that granted it */
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t order_us;    /* queue position; the smallest runs first */
    uint64_t retry_at_us; /* earliest time of the next attempt */
    uint32_t attempts;
    uint32_t lagging;    /* attempts that a lagging replica rejected */
    Connection *opening; /* connection being opened for it */
    uint64_t connect_requested_us; /* when the last one was requested */
    Server *avoid_server;          /* server that failed the last attempt */
    gboolean full_wait; /* the owner was allowed the whole wait limit */
    gboolean held;      /* waits on its connection for a cold server */
    uint32_t step;      /* admission step, see policy/admission.h */
    CrossingDecision crossing;
    gboolean crossing_decided; /* a server was chosen for it */
} Job;

/* The part of a team's rate that this instance may use. */
typedef struct {
    char *team;
    RateStock stock;             /* granted by the control leader, unused */
    RateUsage usage;             /* operations admitted in the last window */
    uint64_t requested_us;       /* time of the open request, zero: none */
    uint64_t request_id;         /* of the open request */
    uint32_t requested;          /* tokens that it wants */
    uint64_t late_request_id;    /* of a request that timed out, zero: none */
    uint64_t exhausted_until_us; /* the leader has no tokens before */
    uint64_t retry_at_us;        /* that the last retry hint named */
    GQueue waiting;       /* Session, waiting for a token, most urgent first */
    TokenBucket fallback; /* used while the leader does not answer */
    gboolean falling_back;
    uint64_t share_micro;     /* this instance's part, in millionths */
    gboolean near_limit;      /* the team's use is close to its limit */
    uint64_t demand_count;    /* operations since demand_since_us */
    uint64_t demand_since_us; /* when the demand was last reported */
    uint64_t demand_milli;    /* smoothed operations per 1000 s */
    uint64_t rate_milli;      /* the team's limit, operations per 1000 s */
    uint64_t burst_milli;     /* thousandths of an operation */
} TeamRate;

struct Session {
    Gateway *gateway;
    uint64_t number; /* identifies the session in the log */
    void *caller;    /* NULL: the caller has disconnected */
    char *host;
    char *key;
    Document *document; /* holds route and team, referenced */
    const DocumentRoute *route;
    const DocumentTeam *team; /* NULL on an open route without a key */
    GHashTable *values;       /* name -> value, NULL: none */
    GHashTable *prepared;     /* name -> Prepared, NULL: none */
    uint64_t held_bytes;      /* of values and prepared */
    SessionState state;
    gboolean read_only;  /* the open transaction is read-only */
    gboolean wrote;      /* the open transaction has run a write */
    gboolean begun;      /* a server has begun the transaction */
    gboolean at_primary; /* statement or transaction runs at the primary */
    uint64_t idle_since_us;
    Position last_commit; /* of this session */
    Connection *connection;
    Database *database;
    Job job;
    TeamRate *rate;         /* whose queue it waits in for a token, or NULL */
    uint64_t rate_since_us; /* since when it waits there */
    GList *waiting_link;    /* in the queue of its database, or NULL */
    GList *active_link;     /* in Gateway.active, or NULL */
    GList *all_link;        /* in Gateway.sessions */
};

/* A control instance that this instance exchanges messages with. */
typedef struct {
    char *address;
    uint64_t added_us;
    uint64_t last_seen_us; /* last message from it, zero: none yet */
    uint64_t run;          /* number of the instance's run */
    uint64_t revision;     /* last directory revision from that run */
} ControlContact;

/* An entry instance that connections are borrowed from. */
typedef struct {
    char *id;
    uint32_t pending_answers;
    /* Last message from it, or when pending_answers last became nonzero. */
    uint64_t last_seen_us;
    uint64_t ping_sent_us;
    uint64_t avoid_until_us;
    LinkTime link;     /* without the time that the owner spends */
    uint64_t timed_us; /* last RelayRun whose result is timed */
} OwnerContact;

/* Reports whose sending times are kept until a grant answers them. */
enum { kReportsKept = 32 };

struct Gateway {
    char *id;
    char *failure_domain;
    char *region;               /* see GatewayConfig */
    GHashTable *domain_regions; /* see GatewayConfig; referenced */
    uint64_t incarnation;
    EventLog *events;
    uint64_t next_session;
    GatewayPort port;
    Document *(*decode)(const uint8_t *text, size_t bytes);
    Document *document;
    gboolean prioritized;            /* the document has priorities */
    GBytes *document_text;           /* the encoded form of document */
    DocumentReceiver receiver;       /* of a newer document */
    uint64_t link_bytes_per_s;       /* see GatewayConfig */
    uint64_t cross_domain_us_per_kb; /* see GatewayConfig */
    GHashTable *route_bytes;         /* host -> uint64_t, owned */
    GHashTable *databases;           /* name -> Database, owned */
    GHashTable *servers;             /* id -> Server, owned */
    GHashTable *controls;            /* address -> ControlContact, owned */
    GHashTable *rates;               /* team -> TeamRate, owned */
    uint64_t rates_term;             /* of the leader that grants tokens */
    /* Changes with the operations that this leader does not know of; the one
     * whose report it has. */
    uint64_t usage_version;
    uint64_t usage_acked;
    uint64_t lent_acked;   /* lent_version that the present leader has */
    RatePool *rate_pool;   /* shares of rates, without a leader */
    EntryList *entries;    /* entry instances that may lend connections */
    gboolean owners_stale; /* servers or entries changed */
    GHashTable *owners;    /* id -> OwnerContact, owned */
    GHashTable *relays;    /* number -> borrowed Connection, not owned */
    uint64_t next_relay;
    uint64_t last_query;     /* number of the last request for a report */
    GHashTable *pooled_jobs; /* key (see pooled_job_key) -> PooledJob, owned */
    GQueue sessions;
    GQueue active;           /* sessions with an open job */
    GPtrArray *closed;       /* connections to be freed in the next tick */
    uint64_t next_expiry_us; /* of backend servers that are gone */
    uint64_t report_due_us;
    uint64_t sequence;                     /* of the last report */
    uint64_t report_sent_us[kReportsKept]; /* by sequence modulo the size */
    uint64_t granted_sequence;  /* report that the last grant answers */
    uint64_t granted_report_us; /* when that report was sent */
    uint64_t grant_term;        /* of the newest grant on primaries */
    uint64_t grant_revision;    /* within that term */
    uint64_t controls_hash;     /* of the last list of control instances */
    uint64_t primaries_hash;    /* of the last list of primaries */
    char *evidence_leader;      /* that has all evidence, or NULL */
    uint64_t evidence_hash;     /* see EntryReport */
    gboolean evidence_checked;  /* the leader compares it */
    gboolean evidence_wanted;   /* and asks for all evidence */
    uint64_t lease_until_us;
    gboolean leased;          /* holds a lease, as last logged */
    uint64_t leased_since_us; /* when it got a lease, after none */
    char *leader;             /* control instance that granted the lease */
    uint64_t next_request;
    uint64_t started_us;
    uint64_t foreign_answer_us;    /* last answer from another domain */
    uint64_t partitioned_since_us; /* zero: not partitioned */
    uint32_t unready_probe_count;  /* consecutive probes answered unready */
    uint32_t entry_count;          /* entry instances of the system */
    uint64_t max_unconfirmed_us;   /* see GatewayConfig */
    uint64_t confirmed_us;    /* when the configuration was last confirmed */
    uint64_t server_drain_us; /* see GatewayConfig */
    EvacuationView *evacuation;
    uint64_t drain_started_us; /* of this instance, zero: not draining */
    uint64_t drain_grace_us;
    GHashTable *retry_budgets; /* host -> RetryBudget, owned */
    /* Name -> uint64_t, owned: when a team last sent work to this instance,
     * as a caller's or as a borrower's. */
    GHashTable *teams_used;
    GatewayCounters counters;
};

/* gateway.c */
Database *gateway_database(Gateway *g, const char *name);
Server *database_primary(const Database *d, uint64_t now_us);

/* gateway_control.c */
void gateway_server_close_all(Server *s, uint64_t now_us);
void gateway_primary_release(Database *d, uint64_t now_us);

/* gateway_report.c */
uint32_t gateway_open_work(const Database *d);
void gateway_report(Gateway *g, uint64_t now_us);

/* dispatch.c */
uint64_t dispatch_max_wait_us(const Session *s);
gboolean dispatch_may_serve(const Session *s, const Server *server,
                            uint64_t now_us);
void dispatch_submit(Session *s, uint64_t now_us);
void dispatch_dequeue(Session *s);
void dispatch_pump(Server *server, uint64_t now_us);
void dispatch_tick(Gateway *g, uint64_t now_us);
void dispatch_retry(Session *s, uint64_t now_us, uint64_t delay_us);

/* dispatch_load.c */
void dispatch_assign_step(Session *s);
gboolean dispatch_is_admitted(const Session *s, const Server *server,
                              uint64_t now_us);
void dispatch_refuse_overload(Session *s, uint64_t now_us,
                              const Server *server);
void dispatch_refuse_level(Session *s, uint64_t now_us, const Server *server);
uint32_t dispatch_level(const Session *s);
uint32_t dispatch_random(const Session *s);
uint64_t dispatch_affinity(const Session *s, const Server *server);
uint64_t dispatch_team_affinity(const Document *document, const char *team,
                                const Server *server);
uint64_t dispatch_wait_us(const Session *s, const Server *server,
                          uint64_t now_us);
gboolean dispatch_has_repeat(const Session *s);
gboolean dispatch_may_repeat(const Session *s);
void dispatch_succeeded(const Session *s);

/* server.c */
uint32_t server_connection_limit(const Server *s);
void server_answered(Server *s, uint64_t now_us);
void server_failed(Server *s, uint64_t now_us, uint64_t since_us,
                   gboolean opening);
void server_refused_connection(Server *s, uint64_t now_us);
void server_rejected_setup(const Server *s, const ServerAnswer *a);
void server_check_unresponsive(Server *s, uint64_t now_us, uint64_t sent_us);
void server_record_service_time(Server *s, uint64_t took_us);

/* relay.c */
gboolean relay_usable(const Server *s, uint64_t now_us);
uint64_t relay_link_us(const Server *s, uint64_t now_us);
Connection *relay_open(Server *s, const char *team, uint64_t now_us);
void relay_send(Connection *c, const CommandBatch *batch,
                const CommandBatch *after_begin, uint64_t now_us);
void relay_close(Connection *c, gboolean awaited);
void relay_result(Gateway *g, uint64_t now_us, const char *from,
                  const Sw__RelayResult *m);
void relay_ping(Gateway *g, uint64_t now_us, const char *from,
                const Sw__RelayPing *m);
void relay_ask_load(const Session *s, const Server *server, uint64_t now_us);
void relay_owner_lost(Gateway *g, uint64_t now_us, const char *owner);
void relay_update_entries(Gateway *g, const Sw__EntryGrant *m);
void relay_tick(Gateway *g, uint64_t now_us);
void owner_contact_free(void *contact);

/* serverpool.c */
void serverpool_run(Gateway *g, uint64_t now_us, const char *from,
                    const Sw__RelayRun *m);
void serverpool_end(Gateway *g, uint64_t now_us, const char *from,
                    uint64_t relay);
void serverpool_borrower_lost(Gateway *g, uint64_t now_us, const char *from);
void serverpool_tick(ServerPool *pool, uint64_t now_us);
void serverpool_close_all(ServerPool *pool, uint64_t now_us);
gboolean serverpool_has_waiting(const ServerPool *pool);
gboolean serverpool_is_empty(const ServerPool *pool);
void serverpool_free(ServerPool *pool);
gboolean serverpool_load(Gateway *g, const char *server, uint32_t level,
                         const char *team, Sw__RelayLoad *out);
void serverpool_team_used(Gateway *g, uint64_t now_us, const char *team);
void serverpool_forget_teams(Gateway *g);
void serverpool_warmup_tick(Gateway *g, uint64_t now_us);
void serverpool_metrics_write(const Gateway *g, GString *out);
void pooled_job_free(void *job);

/* gateway_servers.c */
void server_set_database(Server *s, Database *d);
void server_set_gone(Server *s, uint64_t now_us, gboolean gone);
void servers_tick_gone(Gateway *g, uint64_t now_us);
/* evacuation.c */
EvacuationView *evacuation_view_new(uint64_t evacuate_us);
void evacuation_view_free(EvacuationView *v);
uint64_t evacuation_hash(const Gateway *g);
void evacuation_handle_grant(Gateway *g, uint64_t now_us,
                             const Sw__EntryGrant *m);
gboolean evacuation_may_start(const Server *s, uint64_t now_us);
gboolean evacuation_affects(const Server *s);
gboolean evacuation_refuses(const Session *s, uint64_t now_us);
gboolean evacuation_spreads(const Database *d);
const Server *evacuation_preferred(const Session *s);
void evacuation_tick(Gateway *g, uint64_t now_us);
void evacuation_metrics_write(const Gateway *g, GString *out);

/* connection.c */
void connection_ready(void *connection, uint64_t now_us);
void connection_answer(void *connection, uint64_t now_us,
                       const ServerAnswer *a);
void connection_down(void *connection, uint64_t now_us, AnswerCode code);
Connection *connection_open(Server *server, const char *team, uint64_t now_us);
void connection_close(Connection *c);
void connection_run(Connection *c, Session *s, uint64_t now_us);
void connection_release(Connection *c, uint64_t now_us);
void connection_free(void *connection);
uint32_t connection_commands(Connection *c, const Session *s);
Connection *server_idle_connection(const Server *s, const char *team);
Connection *server_connection_for(const Server *server, Session *s);
Connection *server_oldest_idle(const Server *s, uint64_t now_us);

/* session.c */
void session_reply(Session *s, uint64_t now_us, const CallerAnswer *a);
void session_finish(Session *s, uint64_t now_us, AnswerCode code,
                    const char *detail);
void session_refuse(Session *s, uint64_t now_us, RefusalReason reason,
                    uint64_t retry_after_us);
void session_admitted(Session *s, uint64_t now_us);
gboolean session_check_key(Session *s, uint64_t now_us);
void session_document_changed(Gateway *g, uint64_t now_us);
void session_tick(Gateway *g, uint64_t now_us);

/* session_answer.c */
void session_answer(Session *s, uint64_t now_us, const ServerAnswer *a);
void session_set_up(Session *s, uint64_t now_us);
void session_setup_rejected(Session *s, uint64_t now_us, AnswerCode code);
void session_connection_lost(Session *s, uint64_t now_us);
void session_abort_at_primary(Session *s, uint64_t now_us);
gboolean session_may_change(const Session *s);

/* session_log.c */
void session_log(const Session *s, uint64_t now_us, const CallerAnswer *a);

/* Result of taking an operation from a team's rate. */
typedef enum {
    kRateTaken,
    kRateRefused,
    kRateWaiting, /* session_admitted or session_refuse is called later */
} RateResult;

/* team_rates.c */
RateResult team_rates_take(Session *s, uint64_t now_us, uint64_t *wait_us);
void team_rates_return(Session *s);
void team_rates_cancel_wait(Session *s);
void team_rates_reply(Gateway *g, uint64_t now_us, uint64_t request_id,
                      const Sw__TokenReply *m);
void team_rates_tick(Gateway *g, uint64_t now_us);
void team_rates_grant(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m);
Sw__RateUsage *team_rates_usage(Gateway *g, uint64_t now_us);
void team_rates_usage_free(Sw__RateUsage *m);
size_t team_rates_demand(Gateway *g, uint64_t now_us, Sw__TeamDemand *out);
void team_rate_free(void *rate);

#endif
