#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_INTERNAL_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_INTERNAL_H

#include "core/token_bucket.h"
#include "fleet/owners.h"
#include "gateway/concurrency.h"
#include "gateway/freshness.h"
#include "gateway/gateway.h"

/* Internal to the gateway: shared by its source files. */

enum {
    kMicrosPerMilli = 1000,
    kTeamSwitchMinWaitUs = 20000, /* before a connection changes its team */
    kConnectTimeoutUs = 400000,   /* for a server's welcome */
    kDemotionPenaltyUs =
        1000000, /* late work's place behind all that is not */
};

typedef struct Database Database;
typedef struct Connection Connection;
typedef struct ServerPool ServerPool;

/* A backend server as this instance knows it. */
typedef struct {
    char *id;
    char *address;
    char *failure_domain;
    Database *database;
    int64_t born_ms;
    uint32_t slots;
    gboolean draining;
    uint64_t draining_us; /* when this instance learned of it */
    gboolean gone;
    GPtrArray *connections; /* Connection, owned; links of this instance */
    GPtrArray *relays;      /* Connection, owned; borrowed from owner */
    ServerPool *pool;       /* what this instance lends, NULL: nothing yet */
    char *owner;            /* entry instance that lends, NULL: none */
    uint64_t relay_avoid_until_us;
    uint64_t owner_wait_us; /* expected wait there, as the owner said */
    uint64_t owner_wait_updated_us;
    uint32_t opening;
    uint32_t open_statements;
    Concurrency concurrency;
    uint64_t service_us;             /* smoothed */
    uint32_t completed;              /* answers in the present window */
    uint64_t throughput_window_us;   /* when that window began */
    uint64_t throughput_milli_per_s; /* while work waited; zero: none did */
    uint64_t last_answer_us;         /* when it last answered anything */
    uint64_t failing_since_us; /* zero: no failure since its last answer */
    uint64_t last_failure_us;  /* when it failed last */
    gboolean failure_reported; /* that failure was reported at once */
    uint64_t avoid_until_us;   /* after a failure to connect */
    uint64_t full_until_us;    /* it refused a connection as one too many */
    uint64_t connect_after_us; /* and is not to be asked again before */
    uint64_t lagging_until_us;
    uint64_t lagging_step_us;
} Server;

/* A database: its backend servers, the right to use its primary, and the
 * sessions that wait for one of them. */
struct Database {
    char *name;
    Gateway *gateway;
    GPtrArray *servers; /* Server, owned by the gateway */
    char *primary;      /* id, NULL: not known */
    uint64_t epoch;
    gboolean closing;
    gboolean quiescing;
    gboolean quiesced; /* quiescing, and no work is left at the primary */
    uint64_t unusable_since_us; /* since when the primary cannot be used */
    uint64_t released_epoch;
    Position acknowledged; /* newest commit of this epoch told to a caller */
    Freshness freshness;
    GQueue waiting; /* Session, by arrival */
};

typedef enum {
    kConnectionOpening,
    kConnectionIdle,
    kConnectionBound,       /* to a session */
    kConnectionRollingBack, /* back, with no session any more */
} ConnectionState;

struct Connection {
    Gateway *gateway;
    Server *server;
    void *link;              /* NULL for a borrowed one */
    uint64_t relay;          /* its number, zero: an own link */
    char *owner;             /* that it is borrowed from */
    gboolean ended_by_owner; /* the owner has taken it back */
    char *team;
    ConnectionState state;
    Session *session;
    uint64_t state_since_us; /* of the present state */
    uint32_t served;         /* statements */
    uint64_t sent_us;        /* of the open statement */
    gboolean values_unknown;
    GHashTable *values;     /* name -> value that the server holds */
    GHashTable *prepared;   /* canonical names that the server knows */
    uint32_t answers_ahead; /* answers to come before the awaited one */
    gboolean awaiting;      /* an answer for the session */
    gboolean begin_open;    /* the awaited answer is that of a BEGIN */
};

typedef struct {
    char *shape;
    gboolean writes;
} Prepared;

/* The statement that a session has open. */
typedef struct {
    gboolean open;
    StatementKind kind;
    char *id;
    char *text;     /* as it goes to a server */
    char *prepared; /* canonical name it needs, or NULL */
    char *prepared_shape;
    gboolean writes;
    gboolean needs_primary;
    gboolean sent;
    Server *server;   /* that it was sent to last */
    gboolean charged; /* a rate token was taken for it */
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t order_us;    /* place in the queue: earlier ones first */
    uint64_t retry_at_us; /* not to be tried again before */
    uint32_t attempts;
    uint32_t lagging;
    Connection *opening;           /* connection that is opened for it */
    uint64_t connect_requested_us; /* when the last one was asked for */
    Server *avoid_server;          /* that failed it last */
    gboolean full_wait; /* the owner was told to let it wait for long */
} Job;

/* What this instance may run of a team's rate. */
typedef struct {
    char *team;
    uint32_t tokens; /* tokens that the control leader handed out */
    uint64_t tokens_received_us; /* when it did */
    uint64_t requested_us;       /* a request is open since, zero: none is */
    uint64_t request;            /* its number */
    uint64_t exhausted_until_us; /* the leader has none before */
    GQueue waiting;              /* Session, for a token */
    TokenBucket fallback;        /* while the leader does not answer */
    gboolean falling_back;
    uint64_t share_micro;
    gboolean crowded;      /* the team was near its limit */
    uint64_t demand_count; /* operations since the last report */
    uint64_t demand_since_us;
    uint64_t demand_milli; /* smoothed, a second */
    uint64_t rate_milli;
    uint64_t burst_milli;
} TeamRate;

struct Session {
    Gateway *gateway;
    uint64_t number; /* in the log */
    void *caller;    /* NULL: the caller has gone */
    char *host;
    char *key;
    Document *document; /* that route and team belong to */
    const DocumentRoute *route;
    const DocumentTeam *team; /* NULL on an open route without a key */
    GHashTable *values;       /* NULL: none */
    GHashTable *prepared;     /* name -> Prepared, NULL: none */
    SessionState state;
    gboolean read_only;
    gboolean wrote;
    gboolean begun; /* a server has begun the transaction */
    gboolean at_primary;
    uint64_t idle_since_us;
    Position last_commit; /* of its last commit */
    Connection *connection;
    Database *database;
    Job job;
    TeamRate *rate;      /* that it waits for, or NULL */
    GList *waiting_link; /* in its database's queue, or NULL */
    GList *active_link;
    GList *all_link;
};

/* A control instance as this instance hears it. */
typedef struct {
    char *address;
    uint64_t added_us;
    uint64_t last_seen_us;
    uint64_t run; /* of the directory revision */
    uint64_t revision;
} ControlContact;

/* An entry instance that connections are borrowed from. */
typedef struct {
    char *id;
    uint32_t pending_answers; /* answers that it owes */
    uint64_t last_seen_us;    /* or since when it owes any */
    uint64_t ping_sent_us;    /* for a sign of life */
    uint64_t avoid_until_us;
} OwnerContact;

enum { kReportsKept = 32 };

struct Gateway {
    char *id;
    char *failure_domain;
    uint64_t incarnation;
    EventLog *events;
    uint64_t next_session;
    GatewayPort port;
    Document *(*decode)(const uint8_t *text, size_t bytes);
    Document *document;
    GBytes *document_text;
    GHashTable *databases; /* name -> Database, owned */
    GHashTable *servers;   /* id -> Server, owned */
    GHashTable *controls;  /* address -> ControlContact, owned */
    GHashTable *rates;     /* team -> TeamRate, owned */
    EntryList *entries;    /* that may lend connections */
    gboolean owners_stale; /* servers or entries changed */
    GHashTable *owners;    /* id -> OwnerContact, owned */
    GHashTable *relays;    /* number -> Connection */
    uint64_t next_relay;
    GHashTable *pooled; /* "borrower number" -> PooledJob, owned */
    GQueue sessions;
    GQueue active;     /* sessions with an open job */
    GPtrArray *closed; /* connections to be freed in the next tick */
    uint64_t report_due_us;
    uint64_t sequence;
    uint64_t report_sent_us[kReportsKept]; /* by sequence */
    uint64_t granted_sequence;
    uint64_t granted_report_us; /* when the report was sent that it answers */
    uint64_t grant_term;        /* of the newest word on primaries */
    uint64_t grant_revision;    /* within that term */
    uint64_t lease_until_us;
    gboolean leased; /* as it was told last */
    char *leader;    /* that granted it */
    uint64_t next_request;
    uint64_t started_us;
    uint64_t foreign_answer_us;    /* a server of another domain answered */
    uint64_t partitioned_since_us; /* zero: not cut off */
    uint32_t unready_probe_count;  /* in a row that were answered so */
    uint32_t entry_count;
    uint64_t unconfirmed_most_us; /* zero: no limit */
    uint64_t confirmed_us; /* when the configuration was known to be current */
    uint64_t server_drain_us;  /* from a server's leaving to its last work */
    uint64_t drain_started_us; /* zero: not draining */
    uint64_t drain_grace_us;
    GatewayCounters counters;
};

/* gateway.c */
Database *gateway_database(Gateway *g, const char *name);
Server *database_primary(const Database *d, uint64_t now_us);

/* gateway_control.c */
void gateway_primary_release(Database *d, uint64_t now_us);

/* gateway_report.c */
uint32_t gateway_open_work(const Database *d);
void gateway_report(Gateway *g, uint64_t now_us);

/* dispatch.c */
uint64_t dispatch_max_wait_us(const Session *s);
void dispatch_submit(Session *s, uint64_t now_us);
void dispatch_dequeue(Session *s);
void dispatch_pump(Server *server, uint64_t now_us);
void dispatch_tick(Gateway *g, uint64_t now_us);
void dispatch_retry(Session *s, uint64_t now_us, uint64_t delay_us);

/* server.c */
uint32_t server_connection_limit(const Server *s);
void server_answered(Server *s, uint64_t now_us);
void server_failed(Server *s, uint64_t now_us, gboolean opening);
void server_refused_connection(Server *s, uint64_t now_us);
void server_check_unresponsive(Server *s, uint64_t now_us, uint64_t sent_us);
void server_record_service_time(Server *s, uint64_t took_us);

/* relay.c */
gboolean relay_usable(const Server *s, uint64_t now_us);
Connection *relay_open(Server *s, const char *team, uint64_t now_us);
void relay_send(Connection *c, const ServerCommand *commands, size_t count,
                uint64_t now_us);
void relay_close(Connection *c, gboolean awaited);
void relay_result(Gateway *g, uint64_t now_us, const char *from,
                  const Sw__RelayResult *m);
void relay_ping(Gateway *g, uint64_t now_us, const char *from,
                const Sw__RelayPing *m);
void relay_owner_lost(Gateway *g, uint64_t now_us, const char *owner);
void relay_entries(Gateway *g, const Sw__EntryGrant *m);
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
void serverpool_free(ServerPool *pool);
void pooled_job_free(void *job);

/* connection.c */
void connection_ready(void *connection, uint64_t now_us);
void connection_answer(void *connection, uint64_t now_us,
                       const ServerAnswer *a);
void connection_down(void *connection, uint64_t now_us, AnswerCode code);
Connection *connection_open(Server *server, const char *team, uint64_t now_us);
void connection_close(Connection *c);
void connection_run(Connection *c, Session *s, uint64_t now_us);
void connection_release(Connection *c, uint64_t now_us, gboolean rollback);
void connection_free(void *connection);
Connection *server_idle_connection(const Server *s, const char *team);
Connection *server_oldest_idle(const Server *s, uint64_t now_us);

/* session.c */
void session_reply(Session *s, uint64_t now_us, const CallerAnswer *a);
void session_finish(Session *s, uint64_t now_us, AnswerCode code,
                    const char *detail);
void session_refuse(Session *s, uint64_t now_us, RefusalReason reason,
                    uint64_t retry_after_us);
void session_admitted(Session *s, uint64_t now_us);
void session_tick(Gateway *g, uint64_t now_us);
const char *session_team_name(const Session *s);

/* session_answer.c */
void session_answer(Session *s, uint64_t now_us, const ServerAnswer *a);
void session_connection_lost(Session *s, uint64_t now_us);
void session_abort_at_primary(Session *s, uint64_t now_us);
gboolean session_may_change(const Session *s);

/* session_log.c */
void session_log(const Session *s, uint64_t now_us, const CallerAnswer *a);

/* Whether a session's operation may begin. */
typedef enum {
    kRateTaken,
    kRateRefused,
    kRateWaiting, /* session_admitted or session_refuse follows */
} RateResult;

/* team_rates.c */
RateResult team_rates_take(Session *s, uint64_t now_us, uint64_t *wait_us);
void team_rates_return(Gateway *g, const DocumentTeam *team);
void team_rates_cancel_wait(Session *s);
void team_rates_reply(Gateway *g, uint64_t now_us, uint64_t request,
                      const Sw__TokenReply *m);
void team_rates_tick(Gateway *g, uint64_t now_us);
void team_rates_grant(Gateway *g, const Sw__EntryGrant *m);
size_t team_rates_demand(Gateway *g, uint64_t now_us, Sw__TeamDemand *out);
void team_rate_free(void *rate);

#endif
