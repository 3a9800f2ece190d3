#include "fleet_sim.h"

#include <stdio.h>
#include <string.h>

#include "core/message.h"

enum {
    kUsPerMs = 1000,
    kOneWayDelayUs = 1500,      /* of a network packet */
    kHandshakeUs = 12000,       /* server time to open a connection */
    kStatementUs = 9000,        /* server time to run a statement */
    kTickUs = 20000,            /* interval between ticks of all instances */
    kReportIntervalUs = 400000, /* of a backend server to control */
    kRouteTimeoutMs = 800,
    kDefaultMaxConnections = 24, /* per backend server */
    kDefaultSlots = 3,           /* concurrent statements per server */
    kMaxSlots = 8,
    kRateWindowMs = 5000,
    kRateSlack = 20, /* not used */
    kMaxStalenessMs = 1500,
    kFrameOverheadBytes = 60, /* of packets, length and authentication */
    /* Bandwidth that entry instances report while it is unlimited. */
    kUnlimitedBytesPerS = 125000000,
    /* From a promotion to the first step-down attempt of the old primary. */
    kStepDownDelayUs = 1000000,
    /* From the acknowledgement of a document to its use by all entry
     * instances. */
    kMaxConfigDelayMs = 3000,
    kEvacuateMs = 5000, /* time limit of an evacuation */
    kDrainMs = 7000,    /* how long a draining server still gets statements */
    /* Longer than the time to suspect a primary, so that a promotion must wait
     * for the lease to expire. */
    kLeaseMs = 2000,
    kStatementsMax = 64, /* not used */
    /* Longer than all statements of a transaction at their time limits. */
    kQuiesceMs = 4000,
    kProbeIntervalUs = 1000000, /* of the load balancer */
    /* Of a stopping entry instance's grace: its process ends then. */
    kMaxDrainPercent = 95,
    kForwardId = 1 << 30, /* of requests of fleet_sim_forward */
};

/* A committed write in the log of a backend server. */
typedef struct {
    uint64_t term;
    uint64_t write_id;
} LogEntry;

/* A simulated backend server: the primary or a replica of a database. */
typedef struct {
    char *id;
    char *address;
    uint32_t database;
    uint32_t domain;
    gboolean up;
    gboolean unreachable; /* while down: connections hang, none is refused */
    gboolean primary;     /* as it reports; still set when just replaced */
    gboolean draining;
    uint64_t draining_us; /* when draining was set */
    gboolean replication_paused;
    uint64_t term;
    uint64_t sequence; /* number of reports sent */
    GArray *log;       /* LogEntry */
    uint32_t open_connections;
    uint64_t slot_free_us[kMaxSlots]; /* when each slot becomes free */
    uint64_t replaced_us;   /* when another server was promoted; zero: never */
    int64_t born_ms;        /* start time of its run */
    uint64_t cold_until_us; /* of its run */
    GArray *cold_arrivals_us; /* uint64_t: commands that arrived while cold */
} BackendServer;

/* A connection of an entry instance to a backend server. */
typedef struct {
    uint32_t entry;
    uint64_t generation; /* not used */
    const ServerEvents *events;
    void *owner; /* passed to events; NULL: closed */
    BackendServer *server;
    char *team;
    uint64_t busy_until_us; /* when the last command sent has run */
    gboolean in_transaction;
    uint32_t statements; /* of the open transaction */
    /* Closed during a transaction; commands still in transit are dropped. */
    gboolean closed_in_transaction;
    gboolean failed;    /* not used */
    GArray *writes;     /* uint64_t: write ids of the open transaction */
    GHashTable *values; /* session variables, name -> value */
} ServerConnection;

/* A write that a caller has sent. */
typedef struct {
    uint64_t id;
    uint64_t acked_us; /* zero: not acknowledged */
    /* The caller received an error that rules out a commit. */
    gboolean no_effect_reported;
    uint32_t database;
    uint64_t rollbacks; /* promotions that discarded it */
} Write;

/* A caller with at most one session, whose operations follow one another. */
typedef struct {
    FleetSim *sim;
    uint32_t index;
    uint32_t entry; /* index of the entry instance of its session */
    Session *session;
    char *value;    /* of its session variable "who" */
    uint32_t step;  /* index of the current statement */
    uint32_t steps; /* statements of the operation, with BEGIN and COMMIT */
    gboolean transaction;
    gboolean writes;
    gboolean active;          /* an operation is in progress */
    gboolean step_scheduled;  /* an event continues the operation */
    gboolean opening;         /* sends the first statement of its session */
    gboolean closing;         /* its last answer closes its session */
    uint32_t attempts;        /* rejected attempts of this operation */
    uint64_t started_us;      /* start of the operation */
    uint64_t read_started_us; /* start of the statement or transaction */
    uint64_t write_id;        /* of the current attempt */
    uint64_t own_number;      /* not used */
    uint64_t own_term;        /* not used */
    CallerAnswer answer; /* only code and state; the pointers are invalid */
} Caller;

typedef struct {
    FleetSim *sim;
    uint32_t index;
    char *id;
    char *disk;         /* identity of the disk */
    Director *director; /* NULL: not running */
    ConsensusSaved saved;
    uint64_t wipes;          /* number of times the disk was emptied */
    uint64_t extra_delay_us; /* of frames to it */
    gboolean disk_full;
} ControlInstance;

typedef struct {
    FleetSim *sim;
    uint32_t index;
    char *id;
    Gateway *gateway;
    uint64_t contact_since_us; /* when it started or a partition ended */
    gboolean loses_frames;     /* of control instances */
    uint32_t cut_controls;     /* bits: it exchanges no frames with them */
    uint64_t stopping_us;      /* when its planned stop began, zero: never */
    uint64_t grace_us;         /* of that stop */
    uint64_t probed_us;        /* last probe of the load balancer */
    uint64_t inbound_free_us;  /* when its link can take the next frame */
    uint64_t outbound_free_us; /* the same for frames that it sends */
} EntryInstance;

/* An acknowledged document that some entry instance may not use yet. */
typedef struct {
    uint64_t version;
    uint64_t acked_us;
} AckedDocument;

typedef void (*EventCallback)(FleetSim *sim, void *data);

typedef struct {
    uint64_t run_at_us;
    uint64_t sequence; /* orders events of the same time */
    EventCallback callback;
    void *data;
    GDestroyNotify free_data; /* for an event that never runs; or NULL */
} Event;

struct FleetSim {
    uint64_t now_us;
    uint64_t last_sequence; /* of events and write ids */
    GRand *rand;
    GSequence *events;
    ControlInstance controls[kFleetSimControls];
    EntryInstance entries[kFleetSimEntries];
    BackendServer servers[kFleetSimDatabases][kFleetSimServersPerDatabase];
    Caller callers[kFleetSimCallers];
    GPtrArray *connections; /* ServerConnection, owned, also closed ones */
    GHashTable *writes;     /* id -> Write, owned */
    GArray *run_times_us;   /* uint64_t: when operations started to run */
    gboolean partitioned[kFleetSimDomains];
    /* Control instances with their bit set and the others are partitioned from
     * each other; all reach everything else. */
    uint32_t control_half_mask;
    uint64_t replica_lag_us;
    uint64_t promotion_delay_us; /* from the request to its effect */
    uint32_t reply_loss_percent; /* of successful replies of servers */
    uint64_t max_unconfirmed_us; /* see GatewayConfig */
    gboolean reports_paused;     /* backend servers send no reports */
    /* Connections between entry instances are reported as down. */
    gboolean entries_partitioned;
    uint32_t teams;
    uint32_t max_connections;  /* per backend server */
    uint32_t slots;            /* concurrent statements per server */
    gboolean quiescing;        /* callers start no operations */
    gboolean sync_replication; /* commits wait for one replica */
    uint64_t mean_pause_us;    /* of a caller between operations */
    uint64_t extra_work_us;    /* of each statement at a server */
    /* Bandwidth of each entry instance's link, zero: unlimited. */
    uint64_t link_bytes_per_s;
    GBytes *last_read;       /* by fleet_sim_read_document, NULL: no reply */
    uint32_t forward_status; /* of the last fleet_sim_forward, or zero */
    uint32_t padding_routes; /* further routes in the document's text */
    Traffic traffic;         /* between all instances */
    uint64_t version;        /* of the last document sent */
    uint64_t acked_version;
    GArray *acked_documents; /* AckedDocument, by rising version */
    GBytes *document;
    uint32_t rate;            /* of each team, operations per second */
    uint32_t least_rate;      /* not used */
    gboolean with_key;        /* whether the document contains the keys */
    uint32_t cold_ms;         /* how long servers are cold after a restart */
    uint32_t cold_per_s;      /* commands to a cold server, zero: no limit */
    gboolean cold_unreported; /* reports do not state the time left */
    uint32_t key_moves; /* how often each key was given to the next team */
    uint64_t keys_moved_version; /* that moved them last, zero: none */
    uint64_t step_pause_us;      /* between the statements of a transaction */
    GPtrArray *orders;           /* FleetSimOrder, owned */
    /* The last order for each domain that is repeated until it is
     * acknowledged, and when its evacuation was, zero: it is not in force. */
    struct {
        gboolean evacuated;
        const FleetSimOrder *sent;
        gboolean acked;
        uint64_t evacuated_us;
    } wanted[kFleetSimDomains];
    uint64_t statements[kFleetSimDomains][kFleetSimEntries];
    uint64_t outcomes[2][2]; /* operations by priority and success */
    /* Of the entry instances that callers use; kFleetSimDomains: any. */
    uint32_t callers_domain;
    uint64_t last_write_us[kFleetSimDatabases]; /* last acknowledgement */
    FleetSimReport report;
};

static const char *const kDatabaseNames[kFleetSimDatabases] = {"orders",
                                                               "stock"};
static const char *const kDomainNames[kFleetSimDomains] = {"0", "1", "2"};
static const char kTeamPrefix[] = "crew";
static const char kKeyPrefix[] = "key-of-crew";

/* ---- events ---- */

/* Orders events by time, and by sequence at the same time. */
static int
event_compare(const void *a, const void *b, void *ctx)
{
    const Event *x = a;
    const Event *y = b;
    (void)ctx;
    if (x->run_at_us != y->run_at_us) {
        return x->run_at_us < y->run_at_us ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Schedules an event; data is freed by free_data when the event never runs,
 * and belongs to the callback when it does. */
static void
schedule_owned(FleetSim *sim, uint64_t delay_us, EventCallback callback,
               void *data, GDestroyNotify free_data)
{
    Event *e = g_new(Event, 1);
    *e = (Event){sim->now_us + delay_us, ++sim->last_sequence, callback, data,
                 free_data};
    g_sequence_insert_sorted(sim->events, e, event_compare, NULL);
}

/* Schedules an event whose data belongs to the simulation. */
static void
schedule(FleetSim *sim, uint64_t delay_us, EventCallback callback, void *data)
{
    schedule_owned(sim, delay_us, callback, data, NULL);
}

/* Frees the data of an event that never ran. */
static void
free_event_data(void *event, void *ctx)
{
    Event *e = event;
    (void)ctx;
    if (e->free_data != NULL) {
        e->free_data(e->data);
    }
}

/* Returns TRUE when packets pass between two failure domains. */
static gboolean
reachable(const FleetSim *sim, uint32_t a, uint32_t b)
{
    return a == b || (!sim->partitioned[a] && !sim->partitioned[b]);
}

/* Returns a random number from 0 to 99. */
static uint32_t
random_percent(FleetSim *sim)
{
    return (uint32_t)g_rand_int_range(sim->rand, 0, 100);
}

/* ---- backend servers ---- */

static uint64_t
log_length(const BackendServer *srv)
{
    return srv->log->len;
}

static const LogEntry *
log_entry(const BackendServer *srv, uint64_t i)
{
    return &g_array_index(srv->log, LogEntry, i);
}

/* Returns the primary with the highest term: a replaced one may not have
 * stepped down yet. */
static BackendServer *
current_primary(FleetSim *sim, uint32_t database)
{
    BackendServer *best = NULL;
    for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
        BackendServer *srv = &sim->servers[database][i];
        if (srv->primary && (best == NULL || srv->term > best->term)) {
            best = srv;
        }
    }
    return best;
}

/* The log of a primary, up to a length, in transit to a replica. */
typedef struct {
    BackendServer *from;
    BackendServer *to;
    uint64_t length;
    uint64_t term;
} Replication;

/* Replaces the log of a replica by the primary's, up to the length that was
 * sent, unless a fault or a newer primary prevents it. */
static void
apply_replication(FleetSim *sim, void *data)
{
    Replication *r = data;
    gboolean passes = r->from->up && r->to->up && !r->to->replication_paused &&
                      r->from->primary && !r->to->primary &&
                      r->from->term == r->term && r->to->term <= r->term &&
                      reachable(sim, r->from->domain, r->to->domain) &&
                      current_primary(sim, r->from->database) == r->from;

    if (passes && (r->to->term < r->term || log_length(r->to) < r->length)) {
        r->to->term = r->term;
        g_array_set_size(r->to->log, 0);
        g_array_append_vals(r->to->log, r->from->log->data, (guint)r->length);
    }
    g_free(r);
}

/* Sends the log of a primary to its replicas. */
static void
schedule_replication(FleetSim *sim, BackendServer *from)
{
    for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
        BackendServer *to = &sim->servers[from->database][i];
        if (to != from) {
            Replication *r = g_new(Replication, 1);
            *r = (Replication){from, to, log_length(from), from->term};
            schedule_owned(sim, kOneWayDelayUs + sim->replica_lag_us,
                           apply_replication, r, g_free);
        }
    }
}

/* Appends a write to the log of a server, and counts a violation when the log
 * holds it already. */
static void
commit(FleetSim *sim, ServerConnection *conn, uint64_t write_id)
{
    BackendServer *srv = conn->server;
    LogEntry e = {srv->term, write_id};

    for (uint64_t i = 0; i < log_length(srv); i++) {
        sim->report.duplicated += log_entry(srv, i)->write_id == write_id;
    }
    g_array_append_val(srv->log, e);
    schedule_replication(sim, srv);
}

/* Counts a violation for each write that a read must see and that is not in
 * the server's log: writes that were acknowledged longer than the maximum
 * staleness before the read started.  The caller is identified by the session
 * variable "who"; when it names no active caller, that is a violation too. */
static void
check_read(FleetSim *sim, ServerConnection *conn)
{
    const Caller *c = NULL;
    BackendServer *srv = conn->server;
    GHashTableIter it;
    void *value;

    if (conn->owner == NULL) {
        /* The connection was closed, so that the result is discarded. */
        return;
    }
    for (uint32_t i = 0; i < kFleetSimCallers; i++) {
        if (sim->callers[i].active &&
            g_strcmp0(sim->callers[i].value,
                      g_hash_table_lookup(conn->values, "who")) == 0) {
            c = &sim->callers[i];
        }
    }
    if (c == NULL) {
        sim->report.wrong_state++;
        return;
    }
    g_hash_table_iter_init(&it, sim->writes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Write *wr = value;
        if (wr->database != srv->database || wr->acked_us == 0 ||
            wr->rollbacks > 0 ||
            wr->acked_us + kMaxStalenessMs * kUsPerMs >= c->read_started_us) {
            continue;
        }
        gboolean found = FALSE;
        for (uint64_t i = log_length(srv); i > 0 && !found; i--) {
            found = log_entry(srv, i - 1)->write_id == wr->id;
        }
        sim->report.stale += !found;
    }
}

static uint64_t required_version(const FleetSim *sim);

/* ---- running commands ---- */

/* A command in transit to a backend server. */
typedef struct {
    ServerConnection *connection;
    CommandKind kind;
    char *text;
    char *name;
    char *value;
    Position after; /* minimum log position of the server */
    uint64_t term;  /* not used */
} Command;

/* A reply in transit to an entry instance. */
typedef struct {
    ServerConnection *connection;
    AnswerCode code;
    SessionState state;
    Position position;   /* of the server after the command */
    gboolean has_commit; /* the command has appended to the log */
} Reply;

/* Returns TRUE when a replica has the log up to the reply's position. */
static gboolean
replica_has_position(FleetSim *sim, const Reply *r)
{
    for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
        const BackendServer *srv =
            &sim->servers[r->connection->server->database][i];
        if (srv != r->connection->server && srv->term >= r->position.term &&
            log_length(srv) >= r->position.number) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Passes a reply to the gateway.  With synchronous replication, the reply to a
 * commit is delayed until a replica has it.  A successful reply is lost at
 * random: the connection times out instead. */
static void
deliver_reply(FleetSim *sim, void *data)
{
    Reply *r = data;
    char position[48];
    gboolean lost = r->code == kCodeNone && sim->reply_loss_percent > 0 &&
                    random_percent(sim) < sim->reply_loss_percent;

    if (sim->sync_replication && r->has_commit && r->connection->server->up &&
        !replica_has_position(sim, r)) {
        schedule_owned(sim, kOneWayDelayUs, deliver_reply, r, g_free);
        return;
    }
    if (r->connection->owner != NULL && r->connection->server->up &&
        reachable(sim, r->connection->server->domain,
                  r->connection->entry % kFleetSimDomains)) {
        g_snprintf(position, sizeof(position),
                   "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                   r->position.term, r->position.number);
        ServerAnswer a = {.code = r->code,
                          .code_text = "",
                          .detail = "",
                          .tag = "proof",
                          .state = r->state,
                          .position = r->position,
                          .position_text = position};
        if (lost) {
            r->connection->events->down(r->connection->owner, sim->now_us,
                                        kCodeTimeout);
        }
        else {
            r->connection->events->answer(r->connection->owner, sim->now_us,
                                          &a);
        }
    }
    g_free(r);
}

/* Runs a write: commits it, or adds it to the open transaction. */
static AnswerCode
run_write(FleetSim *sim, ServerConnection *conn, const char *text)
{
    uint64_t id = g_ascii_strtoull(text + strlen("WRITE item "), NULL, 10);

    if (!conn->server->primary) {
        return kCodeReadOnly;
    }
    if (conn->in_transaction) {
        g_array_append_val(conn->writes, id);
        return kCodeNone;
    }
    commit(sim, conn, id);
    return kCodeNone;
}

/* Returns whether a team is the one that holds a caller's key, or held it
 * before the keys moved last. */
static gboolean
holds_key(const FleetSim *sim, const char *team, unsigned caller,
          uint32_t moves)
{
    char holder[24];

    g_snprintf(holder, sizeof(holder), "%s-%u", kTeamPrefix,
               (caller + moves) % sim->teams);
    return strcmp(team, holder) == 0;
}

/* Counts a violation when a statement runs on a connection of another team
 * than the one that holds its caller's key.  The former holder counts until
 * the configuration that moved the keys must be in use. */
static void
check_team(FleetSim *sim, const ServerConnection *conn)
{
    const char *who = g_hash_table_lookup(conn->values, "who");
    gboolean moved = sim->keys_moved_version != 0 &&
                     required_version(sim) >= sim->keys_moved_version;
    unsigned index;

    if (conn->owner == NULL || who == NULL ||
        sscanf(who, "caller-%u", &index) != 1) {
        return;
    }
    sim->report.wrong_team +=
        !holds_key(sim, conn->team, index, sim->key_moves) &&
        (moved || sim->key_moves == 0 ||
         !holds_key(sim, conn->team, index, sim->key_moves - 1));
}

/* Counts a violation when a statement of a caller's transaction runs outside
 * one. */
static void
check_transaction(FleetSim *sim, const ServerConnection *conn)
{
    const char *who = g_hash_table_lookup(conn->values, "who");
    unsigned index;

    if (conn->owner == NULL || who == NULL || conn->in_transaction ||
        sscanf(who, "caller-%u", &index) != 1 || index >= kFleetSimCallers) {
        return;
    }
    const Caller *c = &sim->callers[index];
    sim->report.outside_transaction += c->active && c->transaction;
}

/* Runs a write, a read or a commit, and checks what must hold when it runs. */
static AnswerCode
run_statement(FleetSim *sim, ServerConnection *conn, const char *text)
{
    check_team(sim, conn);
    check_transaction(sim, conn);
    if (!conn->in_transaction || conn->statements++ == 0) {
        g_array_append_val(sim->run_times_us, sim->now_us);
    }
    sim->report.run_after_drain +=
        conn->server->draining && !conn->in_transaction &&
        sim->now_us >
            conn->server->draining_us + (uint64_t)kDrainMs * kUsPerMs;
    if (strcmp(text, "COMMIT") == 0) {
        AnswerCode code = kCodeNone;
        if (conn->writes->len > 0 && !conn->server->primary) {
            code = kCodeReadOnly;
        }
        for (guint i = 0; code == kCodeNone && i < conn->writes->len; i++) {
            commit(sim, conn, g_array_index(conn->writes, uint64_t, i));
        }
        g_array_set_size(conn->writes, 0);
        conn->in_transaction = FALSE;
        return code;
    }
    if (g_str_has_prefix(text, "WRITE")) {
        return run_write(sim, conn, text);
    }
    check_read(sim, conn);
    sim->report.replica_reads += !conn->server->primary;
    return kCodeNone;
}

/* Runs a command, unless the server's log lacks the position that the command
 * requires. */
static AnswerCode
run_command(FleetSim *sim, ServerConnection *conn, const Command *c)
{
    BackendServer *srv = conn->server;

    if (c->after.term > srv->term || c->after.number > log_length(srv)) {
        return kCodeLagging;
    }
    switch (c->kind) {
    case kCommandReset:
        g_hash_table_remove_all(conn->values);
        return kCodeNone;
    case kCommandSet:
        g_hash_table_replace(conn->values, g_strdup(c->name),
                             g_strdup(c->value));
        return kCodeNone;
    case kCommandBegin:
        if (!srv->primary) {
            return kCodeReadOnly;
        }
        conn->in_transaction = TRUE;
        conn->statements = 0;
        return kCodeNone;
    case kCommandBeginRead:
        conn->in_transaction = TRUE;
        conn->statements = 0;
        return kCodeNone;
    case kCommandRollback:
        conn->in_transaction = FALSE;
        g_array_set_size(conn->writes, 0);
        return kCodeNone;
    case kCommandStatement:
        return run_statement(sim, conn, c->text);
    case kCommandPrepare:
    case kCommandStatus:
    case kCommandStepDown:
        break;
    }
    return kCodeNone;
}

static void
command_free(void *data)
{
    Command *c = data;
    g_free(c->text);
    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

/* Counts a statement that reaches a server, and a violation if the server's
 * failure domain has been evacuated for longer than the limit and the sender
 * has been in contact for as long. */
static void
count_statement(FleetSim *sim, const ServerConnection *conn, const Command *c)
{
    uint32_t domain = conn->server->domain;
    uint64_t since_us = sim->wanted[domain].evacuated_us;
    uint64_t limit_us = (uint64_t)kEvacuateMs * kUsPerMs;

    if (c->kind != kCommandStatement) {
        return;
    }
    sim->statements[domain][conn->entry]++;
    since_us = MAX(since_us, sim->entries[conn->entry].contact_since_us);
    sim->report.run_after_evacuation +=
        sim->wanted[domain].evacuated_us != 0 &&
        sim->now_us - since_us > limit_us;
}

/* Runs a command that has arrived and sends the reply.  An error ends the open
 * transaction. */
static void
command_arrive(FleetSim *sim, void *data)
{
    Command *c = data;
    ServerConnection *conn = c->connection;

    if (conn->server->up && !conn->closed_in_transaction) {
        count_statement(sim, conn, c);
        Reply *r = g_new0(Reply, 1);
        uint64_t before = log_length(conn->server);
        r->connection = conn;
        r->code = run_command(sim, conn, c);
        if (r->code != kCodeNone && conn->in_transaction) {
            conn->in_transaction = FALSE;
            g_array_set_size(conn->writes, 0);
            r->state = kSessionFailed;
        }
        else {
            r->state =
                conn->in_transaction ? kSessionInTransaction : kSessionIdle;
        }
        r->position = (Position){conn->server->term, log_length(conn->server)};
        r->has_commit = r->position.number > before;
        schedule_owned(sim, kOneWayDelayUs, deliver_reply, r, g_free);
    }
    command_free(c);
}

/* Reserves the slot that becomes free first for work_us of server time, not
 * before from_us.  Returns the time at which the work is done. */
static uint64_t
reserve_slot(const FleetSim *sim, BackendServer *srv, uint64_t from_us,
             uint64_t work_us)
{
    uint32_t best = 0;

    for (uint32_t i = 1; i < sim->slots; i++) {
        if (srv->slot_free_us[i] < srv->slot_free_us[best]) {
            best = i;
        }
    }
    srv->slot_free_us[best] = MAX(srv->slot_free_us[best], from_us) + work_us;
    return srv->slot_free_us[best];
}

/* ---- the gateway's port to backend servers ---- */

/* Reports to the gateway whether a connection was opened.  Nothing is reported
 * when packets to the server are lost. */
static void
connection_opened(FleetSim *sim, void *data)
{
    ServerConnection *conn = data;
    gboolean passes =
        reachable(sim, conn->server->domain, conn->entry % kFleetSimDomains);

    if (conn->owner == NULL) {
        return;
    }
    if (!passes || (!conn->server->up && conn->server->unreachable)) {
        return;
    }
    if (!conn->server->up) {
        conn->events->down(conn->owner, sim->now_us, kCodeTimeout);
        return;
    }
    if (conn->server->open_connections > sim->max_connections) {
        conn->events->down(conn->owner, sim->now_us, kCodeTooMany);
        return;
    }
    conn->events->ready(conn->owner, sim->now_us);
}

/* Returns the backend server with an id, NULL when there is none. */
static BackendServer *
find_server(FleetSim *sim, const char *id)
{
    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
            if (strcmp(sim->servers[d][i].id, id) == 0) {
                return &sim->servers[d][i];
            }
        }
    }
    return NULL;
}

/* Opens a connection to a backend server.  connection_opened reports the
 * outcome after the handshake, which occupies a slot of the server. */
static void *
port_server_open(void *ctx, const ServerEvents *events, void *owner,
                 const char *address, const char *database, const char *team,
                 const char *server_id)
{
    EntryInstance *e = ctx;
    ServerConnection *conn = g_new0(ServerConnection, 1);

    (void)address;
    (void)database;
    conn->entry = e->index;
    conn->events = events;
    conn->owner = owner;
    conn->server = find_server(e->sim, server_id);
    conn->team = g_strdup(team);
    conn->writes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    conn->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    conn->server->open_connections++;
    g_ptr_array_add(e->sim->connections, conn);
    uint64_t opened_us = reserve_slot(
        e->sim, conn->server, e->sim->now_us + kOneWayDelayUs, kHandshakeUs);
    schedule(e->sim, opened_us - e->sim->now_us, connection_opened, conn);
    return conn;
}

/* Records the arrival of commands at a server that is cold. */
static void
record_cold_arrivals(const FleetSim *sim, BackendServer *srv, size_t count)
{
    uint64_t at_us = sim->now_us + kOneWayDelayUs;

    for (size_t i = 0; i < count && srv->up && at_us < srv->cold_until_us;
         i++) {
        g_array_append_val(srv->cold_arrivals_us, at_us);
    }
}

/* Sends commands, which run in this order; a statement occupies a slot of the
 * server.  A partition drops them without an error. */
static void
port_server_send(void *ctx, void *connection, const ServerCommand *commands,
                 size_t count)
{
    EntryInstance *e = ctx;
    FleetSim *sim = e->sim;
    ServerConnection *conn = connection;

    if (!reachable(sim, conn->server->domain, e->index % kFleetSimDomains)) {
        return;
    }
    record_cold_arrivals(sim, conn->server, count);
    for (size_t i = 0; i < count; i++) {
        Command *c = g_new0(Command, 1);
        conn->busy_until_us =
            MAX(conn->busy_until_us, sim->now_us + kOneWayDelayUs);
        if (commands[i].kind == kCommandStatement) {
            conn->busy_until_us =
                reserve_slot(sim, conn->server, conn->busy_until_us,
                             kStatementUs + sim->extra_work_us);
        }
        *c = (Command){.connection = conn,
                       .kind = commands[i].kind,
                       .text = g_strdup(commands[i].text),
                       .name = g_strdup(commands[i].name),
                       .value = g_strdup(commands[i].value),
                       .after = commands[i].after};
        schedule_owned(sim, conn->busy_until_us - sim->now_us, command_arrive,
                       c, command_free);
    }
}

/* Closes a connection and rolls back its open transaction. */
static void
port_server_close(void *ctx, void *connection)
{
    ServerConnection *conn = connection;
    (void)ctx;
    conn->owner = NULL;
    conn->server->open_connections--;
    conn->closed_in_transaction = conn->in_transaction;
    conn->in_transaction = FALSE;
    g_array_set_size(conn->writes, 0);
}

/* ---- versions in use ---- */

/* Returns the newest version that was acknowledged more than kMaxConfigDelayMs
 * ago. */
static uint64_t
required_version(const FleetSim *sim)
{
    uint64_t limit_us = (uint64_t)kMaxConfigDelayMs * kUsPerMs;

    for (guint i = sim->acked_documents->len; i > 0; i--) {
        const AckedDocument *each =
            &g_array_index(sim->acked_documents, AckedDocument, i - 1);
        if (sim->now_us - each->acked_us > limit_us) {
            return each->version;
        }
    }
    return 0;
}

/* Counts a violation when an entry instance that got a frame uses a document
 * older than required.  One that has just started may have none, but not an
 * old one. */
static void
check_version_in_use(FleetSim *sim, const EntryInstance *e)
{
    uint64_t version = gateway_version(e->gateway);

    sim->report.outdated_version +=
        version != 0 && version < required_version(sim);
}

/* Returns how long ago the oldest document that an entry instance lacks was
 * acknowledged, zero if it lacks none. */
static uint64_t
version_lag_us(const FleetSim *sim, const EntryInstance *e)
{
    uint64_t version = gateway_version(e->gateway);

    for (guint i = 0; i < sim->acked_documents->len; i++) {
        const AckedDocument *each =
            &g_array_index(sim->acked_documents, AckedDocument, i);
        if (each->version > version) {
            return sim->now_us - each->acked_us;
        }
    }
    return 0;
}

/* Returns how long ago the oldest acknowledged document that an entry instance
 * lacks was acknowledged, in microseconds; zero if it lacks none.  Unlike
 * longest_version_lag_us, also for an instance that is not in contact. */
uint64_t
fleet_sim_version_lag_us(const FleetSim *sim, uint32_t entry)
{
    return version_lag_us(sim, &sim->entries[entry]);
}

/* Counts a violation when an entry instance lacks a document that was
 * acknowledged more than kMaxConfigDelayMs ago, and has been in contact for as
 * long. */
static void
check_version_lag(FleetSim *sim, EntryInstance *e)
{
    uint64_t limit_us = (uint64_t)kMaxConfigDelayMs * kUsPerMs;

    if (sim->partitioned[e->index % kFleetSimDomains]) {
        e->contact_since_us = sim->now_us;
    }
    if (sim->now_us - e->contact_since_us < limit_us) {
        return;
    }
    uint64_t lag_us = version_lag_us(sim, e);
    sim->report.longest_version_lag_us =
        MAX(sim->report.longest_version_lag_us, lag_us);
    sim->report.outdated_version += lag_us > limit_us;
}

/* ---- frames ---- */

/* A frame in transit between two instances. */
typedef struct {
    uint32_t from_domain;
    uint32_t to_domain;
    char *from;
    char *to;
    Sw__Frame *frame;
} Packet;

static void
packet_free(void *data)
{
    Packet *packet = data;
    sw__frame__free_unpacked(packet->frame, NULL);
    g_free(packet->from);
    g_free(packet->to);
    g_free(packet);
}

/* Returns TRUE when two instances are control instances in different halves;
 * their ids are a letter and a digit. */
static gboolean
is_split(const FleetSim *sim, const char *a, const char *b)
{
    uint32_t mask = sim->control_half_mask;

    return a[0] == 'c' && b[0] == 'c' &&
           ((mask >> (a[1] - '0')) & 1) != ((mask >> (b[1] - '0')) & 1);
}

/* Returns TRUE when one of two instances is an entry instance that is cut off
 * from the other, a control instance. */
static gboolean
is_cut(const FleetSim *sim, const char *a, const char *b)
{
    const char *entry = a[0] == 'e' ? a : b;
    const char *control = a[0] == 'e' ? b : a;

    return entry[0] == 'e' && control[0] == 'c' &&
           ((sim->entries[entry[1] - '0'].cut_controls >> (control[1] - '0')) &
            1) != 0;
}

/* Records the reply to fleet_sim_forward. */
static void
record_reply(FleetSim *sim, const Sw__Frame *f)
{
    if (f->body_case == SW__FRAME__BODY_ADMIN_REPLY &&
        f->request_id == kForwardId) {
        sim->forward_status = f->admin_reply->status;
    }
}

/* Passes a frame to its recipient, unless a partition drops it. */
static void
packet_arrive(FleetSim *sim, void *data)
{
    Packet *packet = data;

    if (reachable(sim, packet->from_domain, packet->to_domain) &&
        !is_split(sim, packet->from, packet->to) &&
        !is_cut(sim, packet->from, packet->to)) {
        record_reply(sim, packet->frame);
        for (uint32_t i = 0; i < kFleetSimControls; i++) {
            ControlInstance *c = &sim->controls[i];
            if (c->director != NULL && strcmp(c->id, packet->to) == 0) {
                director_handle_frame(c->director, sim->now_us, packet->from,
                                      packet->frame);
                director_flush(c->director, sim->now_us);
            }
        }
        for (uint32_t i = 0; i < kFleetSimEntries; i++) {
            if (strcmp(sim->entries[i].id, packet->to) == 0 &&
                !(sim->entries[i].loses_frames && packet->from[0] == 'c')) {
                gateway_frame(sim->entries[i].gateway, sim->now_us,
                              packet->from, packet->frame);
                check_version_in_use(sim, &sim->entries[i]);
            }
        }
    }
    packet_free(packet);
}

/* Returns the failure domain of an instance; ids are a letter and a digit. */
static uint32_t
domain_of(const char *id)
{
    return (uint32_t)(id[1] - '0') % kFleetSimDomains;
}

/* Returns the entry instance with an id, NULL when there is none. */
static EntryInstance *
find_entry(FleetSim *sim, const char *id)
{
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        if (strcmp(sim->entries[i].id, id) == 0) {
            return &sim->entries[i];
        }
    }
    return NULL;
}

/* Returns when one direction of a link, which is free at *free_us, has taken
 * bytes that arrive at at_us, and occupies it until then. */
static uint64_t
link_pass(FleetSim *sim, uint64_t *free_us, uint64_t at_us, size_t bytes)
{
    uint64_t start_us = MAX(*free_us, at_us);

    sim->report.longest_link_wait_us =
        MAX(sim->report.longest_link_wait_us, start_us - at_us);
    *free_us = start_us + bytes * 1000 * kUsPerMs / sim->link_bytes_per_s;
    return *free_us;
}

/* Returns the extra delay of frames to an instance. */
static uint64_t
extra_delay_us(const FleetSim *sim, const char *to)
{
    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        if (strcmp(sim->controls[i].id, to) == 0) {
            return sim->controls[i].extra_delay_us;
        }
    }
    return 0;
}

/* Returns when a frame arrives.  The links of the sending and the receiving
 * entry instance pass frames one after the other. */
static uint64_t
arrival_us(FleetSim *sim, const char *from, const char *to, size_t bytes)
{
    EntryInstance *sender = find_entry(sim, from);
    EntryInstance *receiver = find_entry(sim, to);
    uint64_t at_us = sim->now_us;

    if (sim->link_bytes_per_s != 0 && sender != NULL) {
        at_us = link_pass(sim, &sender->outbound_free_us, at_us, bytes);
    }
    at_us += kOneWayDelayUs + extra_delay_us(sim, to);
    if (sim->link_bytes_per_s != 0 && receiver != NULL) {
        at_us = link_pass(sim, &receiver->inbound_free_us, at_us, bytes);
    }
    return at_us;
}

/* Sends a copy of a frame. */
static void
packet_send(FleetSim *sim, const char *from, const char *to,
            const Sw__Frame *f)
{
    size_t bytes = sw__frame__get_packed_size(f) + kFrameOverheadBytes;
    Packet *packet = g_new(Packet, 1);

    *packet = (Packet){domain_of(from), domain_of(to), g_strdup(from),
                       g_strdup(to), message_copy(f)};
    traffic_count(&sim->traffic, f, bytes);
    schedule_owned(sim, arrival_us(sim, from, to, bytes) - sim->now_us,
                   packet_arrive, packet, packet_free);
}

static void
port_peer_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    EntryInstance *e = ctx;
    packet_send(e->sim, e->id, to, frame);
}

static void
port_director_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    ControlInstance *c = ctx;
    packet_send(c->sim, c->id, to, frame);
}

static void
port_peer_known(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

/* Returns TRUE when a peer counts as connected. */
static gboolean
port_peer_ready(void *ctx, const char *address)
{
    const EntryInstance *e = ctx;
    if (e->sim->entries_partitioned && address[0] == 'e') {
        return FALSE;
    }
    return reachable(e->sim, e->index % kFleetSimDomains, domain_of(address));
}

/* Returns a random number of up to 52 bits. */
static uint64_t
random_number(FleetSim *sim)
{
    return (uint64_t)g_rand_int(sim->rand) << 20 | g_rand_int(sim->rand);
}

static uint64_t
port_control_random(void *ctx)
{
    return random_number(((ControlInstance *)ctx)->sim);
}

/* ---- control instances ---- */

static gboolean
store_vote(void *ctx, uint64_t term, const char *voted_for)
{
    ControlInstance *c = ctx;
    g_free(c->saved.voted_for);
    c->saved.voted_for = g_strdup(voted_for);
    c->saved.term = term;
    return TRUE;
}

/* Removes all entries whose log index is from_index or higher. */
static gboolean
store_truncate(void *ctx, uint64_t from_index)
{
    ControlInstance *c = ctx;
    GPtrArray *entries = c->saved.entries;
    while (entries->len > 0 &&
           ((ConsensusEntry *)g_ptr_array_index(entries, entries->len - 1))
                   ->index >= from_index) {
        g_ptr_array_set_size(entries, (gint)entries->len - 1);
    }
    return TRUE;
}

/* Stores an entry, replacing all entries from its log index on. */
static gboolean
store_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    ControlInstance *c = ctx;
    store_truncate(c, index);
    g_ptr_array_add(c->saved.entries,
                    consensus_entry_new(index, term, g_bytes_ref(command)));
    return TRUE;
}

/* Replaces the log by a snapshot and the entries after it. */
static StorageResult
store_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
               const GPtrArray *entries)
{
    ControlInstance *c = ctx;
    GPtrArray *kept;

    if (c->disk_full) {
        return kStorageNoRoom;
    }
    kept = g_ptr_array_new_with_free_func(consensus_entry_free);
    for (guint i = 0; i < entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(entries, i);
        g_ptr_array_add(kept, consensus_entry_new(e->index, e->term,
                                                  g_bytes_ref(e->command)));
    }
    g_ptr_array_unref(c->saved.entries);
    c->saved.entries = kept;
    g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
    c->saved.snapshot = g_bytes_ref(snapshot);
    c->saved.snapshot_index = index;
    c->saved.snapshot_term = term;
    return kStorageOk;
}

/* Fails while the disk is full.  All that was written survives a restart. */
static StorageResult
store_sync(void *ctx)
{
    const ControlInstance *c = ctx;
    return c->disk_full ? kStorageNoRoom : kStorageOk;
}

/* Records the acknowledgement of a document; request is its version. */
static void
port_operator_reply(void *ctx, void *request, uint32_t status,
                    const void *text, size_t bytes)
{
    ControlInstance *c = ctx;
    uint64_t version = GPOINTER_TO_SIZE(request);
    if (g_ptr_array_find(c->sim->orders, request, NULL)) {
        ((FleetSimOrder *)request)->status = status;
        return;
    }
    if (request == c) {
        g_clear_pointer(&c->sim->last_read, g_bytes_unref);
        c->sim->last_read = status == 200 ? g_bytes_new(text, bytes) : NULL;
        return;
    }
    if (status == 200 && version > c->sim->acked_version) {
        AckedDocument acked = {version, c->sim->now_us};
        c->sim->acked_version = version;
        g_array_append_val(c->sim->acked_documents, acked);
    }
}

/* Returns whether the operator of an order still waits. */
static gboolean
port_operator_waits(void *ctx, void *request)
{
    const ControlInstance *c = ctx;

    return !g_ptr_array_find(c->sim->orders, request, NULL) ||
           !((FleetSimOrder *)request)->gave_up;
}

/* A status or promotion request of a control instance in transit. */
typedef struct {
    ControlInstance *control;
    BackendServer *server;
    uint64_t requested_us;
} ServerRequest;

/* Passes the result of a status request to the director.  When the server is
 * down or unreachable, the result has responded unset. */
static void
deliver_status(FleetSim *sim, void *data)
{
    ServerRequest *req = data;
    BackendServer *srv = req->server;
    DirectorStatus s = {0};

    if (req->control->director != NULL) {
        if (srv->up && reachable(sim, req->control->index, srv->domain)) {
            s = (DirectorStatus){.responded = TRUE,
                                 .log_valid = TRUE,
                                 .primary = srv->primary,
                                 .log = {srv->term, log_length(srv)},
                                 .term = srv->term};
        }
        s.requested_us = req->requested_us;
        director_handle_status(req->control->director, sim->now_us, srv->id,
                               &s);
        director_flush(req->control->director, sim->now_us);
    }
    g_free(req);
}

/* Requests the status of a server; deliver_status passes on the result after a
 * handshake and a round trip. */
static void
port_request_status(void *ctx, const char *server, const char *database,
                    const char *address)
{
    ControlInstance *c = ctx;
    ServerRequest *req = g_new(ServerRequest, 1);
    (void)database;
    (void)address;
    *req = (ServerRequest){c, find_server(c->sim, server), c->sim->now_us};
    schedule_owned(c->sim, kHandshakeUs + 2 * kOneWayDelayUs, deliver_status,
                   req, g_free);
}

/* Makes a replaced primary a replica once it reaches the current primary;
 * retries until then. */
static void
step_down_old_primary(FleetSim *sim, void *data)
{
    BackendServer *srv = data;
    BackendServer *p = current_primary(sim, srv->database);
    if (srv->up && p != srv && p->up &&
        reachable(sim, srv->domain, p->domain)) {
        srv->primary = FALSE;
        schedule_replication(sim, p);
        return;
    }
    if (srv->primary && p != srv) {
        schedule(sim, kStepDownDelayUs / 4, step_down_old_primary, srv);
    }
}

/* Requests the step-down of a server whose term is older than term.  The
 * request is lost when the server can't be reached. */
static void
port_step_down(void *ctx, const char *server, const char *database,
               const char *address, uint64_t term)
{
    ControlInstance *c = ctx;
    BackendServer *srv = find_server(c->sim, server);

    (void)database;
    (void)address;
    if (srv->up && srv->term < term &&
        reachable(c->sim, c->index, srv->domain)) {
        schedule(c->sim, kHandshakeUs + kOneWayDelayUs, step_down_old_primary,
                 srv);
    }
}

/* Counts the writes that a promotion discards: those in the log of the old
 * primary and not in the log of the promoted server. */
static void
count_rolled_back(FleetSim *sim, const BackendServer *old,
                  const BackendServer *promoted)
{
    for (uint64_t i = 0; i < log_length(old); i++) {
        uint64_t id = log_entry(old, i)->write_id;
        Write *wr = g_hash_table_lookup(sim->writes, &id);
        gboolean found = FALSE;
        for (uint64_t k = 0; k < log_length(promoted) && !found; k++) {
            found = log_entry(promoted, k)->write_id == id;
        }
        if (!found && wr != NULL) {
            wr->rollbacks++;
            sim->report.rolled_back += wr->acked_us != 0;
        }
    }
}

/* Makes a server the primary, in a new term. */
static void
complete_promotion(FleetSim *sim, void *data)
{
    ServerRequest *req = data;
    BackendServer *srv = req->server;
    BackendServer *old = current_primary(sim, srv->database);

    if (srv->up && old != srv) {
        count_rolled_back(sim, old, srv);
        srv->term = old->term + 1;
        srv->primary = TRUE;
        old->replaced_us = sim->now_us;
        sim->report.promotions++;
        schedule_replication(sim, srv);
        schedule(sim, kStepDownDelayUs, step_down_old_primary, old);
    }
    g_free(req);
}

/* Accepts a promotion request at once; the promotion takes effect after
 * promotion_delay_us. */
static void
port_promote(void *ctx, const char *database, const char *server,
             uint64_t fence)
{
    ControlInstance *c = ctx;
    ServerRequest *req = g_new(ServerRequest, 1);
    (void)fence;
    *req = (ServerRequest){c, find_server(c->sim, server), c->sim->now_us};
    schedule_owned(c->sim, c->sim->promotion_delay_us, complete_promotion, req,
                   g_free);
    director_handle_promotion(c->director, c->sim->now_us, database, server,
                              200);
}

/* Whether decoded documents have priorities.  A global, since the decoder gets
 * no context. */
static gboolean priorities;

/* Sets whether the documents of all simulations have priorities. */
void
fleet_sim_use_priorities(gboolean use)
{
    priorities = use;
}

/* Decodes a document of the simulation: the numbers "version rate with_key
 * sync_replicas teams max_connections key_moves cold_ms cold_per_s", separated
 * by spaces. */
static Document *
decode(const uint8_t *text, size_t bytes)
{
    unsigned long version;
    unsigned rate;
    unsigned with_key;
    unsigned sync;
    unsigned teams;
    unsigned connections;
    unsigned moves;
    unsigned cold_ms;
    unsigned cold_per_s;
    char copy[96];

    g_strlcpy(copy, (const char *)text, MIN(bytes + 1, sizeof(copy)));
    if (sscanf(copy, "%lu %u %u %u %u %u %u %u %u", &version, &rate, &with_key,
               &sync, &teams, &connections, &moves, &cold_ms,
               &cold_per_s) != 9) {
        return NULL;
    }
    Document *d = document_new(version);
    d->transaction_idle_us = 3000 * kUsPerMs;
    for (unsigned i = 0; i < teams; i++) {
        DocumentTeam *t = g_new0(DocumentTeam, 1);
        t->name = g_strdup_printf("%s-%u", kTeamPrefix, i);
        t->priority = priorities ? i % 2 : 0;
        t->rate_milli_per_s = (uint64_t)rate * 1000;
        t->burst_milli = (uint64_t)rate * 1000;
        g_hash_table_insert(d->teams, t->name, t);
        if (with_key != 0) {
            /* Teams follow each other, so that this is the key that the
             * team got after all moves. */
            unsigned key = (i + teams - moves % teams) % teams;
            g_hash_table_insert(d->keys,
                                g_strdup_printf("%s-%u", kKeyPrefix, key), t);
        }
    }
    for (uint32_t i = 0; i < kFleetSimDatabases; i++) {
        DocumentDatabase *b = g_new0(DocumentDatabase, 1);
        b->name = g_strdup(kDatabaseNames[i]);
        b->max_connections = connections;
        b->sync_replicas = sync;
        b->cold_start_us = (uint64_t)cold_ms * kUsPerMs;
        b->cold_milli_per_s = (uint64_t)cold_per_s * 1000;
        d->limits_cold_servers = cold_per_s > 0;
        g_hash_table_insert(d->databases, b->name, b);
        DocumentRoute *r = g_new0(DocumentRoute, 1);
        r->host = g_strdup(kDatabaseNames[i]);
        r->path_prefix = g_strdup("/");
        r->database = g_strdup(kDatabaseNames[i]);
        r->consistency = kConsistencyReadYourWrites;
        r->timeout_us = (uint64_t)kRouteTimeoutMs * kUsPerMs;
        r->target_latency_us = 250 * kUsPerMs;
        r->priority = priorities ? 1 + i : 0;
        r->max_staleness_us = (uint64_t)kMaxStalenessMs * kUsPerMs;
        g_hash_table_insert(d->routes, r->host, r);
    }
    return d;
}

/* Bytes of documents that the entry instances, and that the control instances
 * of all simulations decoded.  Globals, since the decoder gets no context. */
static uint64_t entry_decoded_bytes;
static uint64_t control_decoded_bytes;

/* Decodes a document for an entry instance. */
static Document *
entry_decode(const uint8_t *text, size_t bytes)
{
    entry_decoded_bytes += bytes;
    return decode(text, bytes);
}

/* Decodes a document for a control instance. */
static Document *
control_decode(const uint8_t *text, size_t bytes)
{
    control_decoded_bytes += bytes;
    return decode(text, bytes);
}

/* Returns the bytes of documents that entry instances have decoded so far. */
uint64_t
fleet_sim_decoded_bytes(void)
{
    return entry_decoded_bytes;
}

/* Returns the same of control instances. */
uint64_t
fleet_sim_control_decoded_bytes(void)
{
    return control_decoded_bytes;
}

/* Starts a control instance; on the first start, all control instances are the
 * initial members of the consensus group. */
static void
start_control(ControlInstance *c, gboolean first)
{
    FleetSim *sim = c->sim;
    DirectorConfig config = {
        .id = c->id,
        .disk = c->disk,
        .failure_domain = "",
        /* heartbeat_us, election_min_us, election_max_us,
         * snapshot_interval_entries */
        .timing = {80 * kUsPerMs, 300 * kUsPerMs, 550 * kUsPerMs, 16},
        .lease_us = kLeaseMs * kUsPerMs,
        .rate_window_us = kRateWindowMs * kUsPerMs,
        .decode = control_decode,
        .max_control_failures = 1};
    DirectorPort port = {.ctx = c,
                         .send = port_director_send,
                         .add_peer = port_peer_known,
                         .random = port_control_random,
                         .operator_reply = port_operator_reply,
                         .operator_waits = port_operator_waits,
                         .request_status = port_request_status,
                         .step_down = port_step_down,
                         .promote = port_promote,
                         .storage = {c, store_vote, store_entry,
                                     store_truncate, store_snapshot,
                                     store_sync}};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);

    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        const ControlInstance *each = &sim->controls[i];
        g_ptr_array_add(members, consensus_member_new(each->id, each->disk,
                                                      each->id, "", TRUE));
    }
    c->director = director_new(&config, &port);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        director_add_peer(c->director, sim->controls[i].id);
    }
    g_assert(director_start(c->director, sim->now_us, &c->saved,
                            first ? members : NULL, NULL));
    g_ptr_array_unref(members);
}

/* ---- callers ---- */

static void start_operation(FleetSim *sim, void *data);

/* Sends a statement to the gateway; a SET sets the session variable "who". */
static void
send_statement(Caller *c, StatementKind kind, const char *text)
{
    char id[24];
    g_snprintf(id, sizeof(id), "%u", c->index);
    Statement st = {.kind = kind,
                    .id = id,
                    .text = text,
                    .name = "who",
                    .value = c->value,
                    .prepared_text = "",
                    .arguments = ""};
    session_statement(c->session, c->sim->now_us, &st);
}

/* Returns the priority of the team that holds a caller's key, where documents
 * have priorities: zero is the more urgent one. */
static uint32_t
priority_of(const Caller *c)
{
    return (c->index + c->sim->key_moves) % c->sim->teams % 2;
}

/* Ends an operation and schedules the caller's next one. */
static void
finish_operation(Caller *c, gboolean served)
{
    FleetSim *sim = c->sim;

    c->active = FALSE;
    sim->report.served += served;
    sim->report.refused += !served;
    sim->outcomes[priority_of(c)][served]++;
    schedule(sim,
             sim->mean_pause_us / 2 +
                 random_number(sim) % (sim->mean_pause_us + 1),
             start_operation, c);
}

/* Creates the write of a caller's current attempt. */
static Write *
write_new(Caller *c)
{
    FleetSim *sim = c->sim;
    Write *wr = g_new0(Write, 1);
    wr->id = ++sim->last_sequence;
    wr->database = c->index % kFleetSimDatabases;
    c->write_id = wr->id;
    g_hash_table_insert(sim->writes, &wr->id, wr);
    return wr;
}

/* Schedules the next event of a caller's operation. */
static void
continue_operation(Caller *c, uint64_t delay_us, EventCallback callback)
{
    c->step_scheduled = TRUE;
    schedule(c->sim, delay_us, callback, c);
}

/* Sends the statement of the current step. */
static void
send_step(FleetSim *sim, void *data)
{
    Caller *c = data;
    char text[64];
    gboolean last = c->step + 1 == c->steps;

    c->step_scheduled = FALSE;
    if (c->session == NULL) {
        finish_operation(c, FALSE);
        return;
    }
    if (c->transaction && c->step == 0) {
        c->read_started_us = sim->now_us;
        send_statement(c, c->writes ? kStatementBegin : kStatementBeginRead,
                       "BEGIN");
        return;
    }
    if (c->transaction && last) {
        send_statement(c, kStatementCommit, "COMMIT");
        return;
    }
    if (!c->transaction) {
        c->read_started_us = sim->now_us;
    }
    if (c->writes && c->step + 1 >= c->steps - c->transaction) {
        write_new(c);
        g_snprintf(text, sizeof(text), "WRITE item %" G_GUINT64_FORMAT,
                   c->write_id);
        send_statement(c, kStatementWrite, text);
        return;
    }
    send_statement(c, kStatementRead, "READ item");
}

static void open_session(FleetSim *sim, Caller *c);

/* Sends the first statement of an operation, also after a rejection.  A caller
 * whose session was closed meanwhile opens a new one. */
static void
start_attempt(FleetSim *sim, void *data)
{
    Caller *c = data;
    c->step = 0;
    c->write_id = 0;
    if (c->session == NULL) {
        open_session(sim, c);
    }
    send_step(sim, c);
}

/* Returns TRUE when an error code guarantees that the statement had no effect,
 * so that it can be retried. */
static gboolean
guarantees_no_effect(AnswerCode code)
{
    return code == kCodeBusy || code == kCodeAborted || code == kCodeLagging ||
           code == kCodeReadOnly || code == kCodeMisrouted ||
           code == kCodeTooMany;
}

/* Updates the longest time that a database has been without an acknowledged
 * write. */
static void
record_write_gap(FleetSim *sim, uint32_t database)
{
    if (sim->last_write_us[database] != 0) {
        sim->report.longest_write_gap_us =
            MAX(sim->report.longest_write_gap_us,
                sim->now_us - sim->last_write_us[database]);
    }
}

/* Records that a write was acknowledged, and counts a violation when the
 * acknowledging primary had been replaced before. */
static void
record_acknowledged(Caller *c)
{
    FleetSim *sim = c->sim;
    Write *wr = g_hash_table_lookup(sim->writes, &c->write_id);
    BackendServer *p = current_primary(sim, c->index % kFleetSimDatabases);
    gboolean found = FALSE;

    wr->acked_us = sim->now_us;
    for (uint64_t i = log_length(p); i > 0 && !found; i--) {
        found = log_entry(p, i - 1)->write_id == wr->id;
    }
    /* The write is not in the log of the current primary, and no promotion
     * after the commit discarded it. */
    sim->report.acked_by_old_primary += !found && wr->rollbacks == 0;
    record_write_gap(sim, c->index % kFleetSimDatabases);
    sim->last_write_us[c->index % kFleetSimDatabases] = sim->now_us;
}

/* Handles the answer to the current step: continues, retries or finishes the
 * operation. */
static void
handle_answer(FleetSim *sim, void *data)
{
    Caller *c = data;
    AnswerCode code = c->answer.code;
    gboolean last = c->step + 1 == c->steps;

    c->step_scheduled = FALSE;
    if (code == kCodeNone && !last) {
        c->step++;
        continue_operation(c, c->transaction ? sim->step_pause_us : 0,
                           send_step);
        return;
    }
    if (code == kCodeNone) {
        if (c->writes) {
            record_acknowledged(c);
        }
        finish_operation(c, TRUE);
        return;
    }
    if (guarantees_no_effect(code) && c->write_id != 0) {
        ((Write *)g_hash_table_lookup(sim->writes, &c->write_id))
            ->no_effect_reported = TRUE;
    }
    sim->report.in_doubt += code == kCodeInDoubt;
    sim->report.no_auth += code == kCodeNoAuth;
    if (c->answer.state == kSessionFailed && c->session != NULL) {
        /* Answered at once; the next attempt starts a new transaction. */
        send_statement(c, kStatementRollback, "ROLLBACK");
    }
    if (guarantees_no_effect(code) && ++c->attempts <= 2) {
        continue_operation(c, 50 * kUsPerMs, start_attempt);
        return;
    }
    finish_operation(c, FALSE);
}

/* Closes the session of a caller behind its last answer, unless the caller has
 * sent a further statement or opened another session. */
static void
close_session(FleetSim *sim, void *data)
{
    Caller *c = data;

    if (c->closing && c->session != NULL && !session_busy(c->session)) {
        session_close(c->session, sim->now_us);
        c->session = NULL;
    }
    c->closing = FALSE;
}

/* Records the answer to a statement and schedules its handling.  The answer to
 * a ROLLBACK after a failed transaction is only recorded. */
static void
port_caller_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    Caller *c = caller;

    const EntryInstance *e = ctx;
    if (e->stopping_us != 0 && a->code == kCodeInDoubt) {
        c->sim->report.in_doubt_by_stop++;
    }
    if (a->closes) {
        c->closing = TRUE;
        schedule(c->sim, 0, close_session, c);
    }
    if (!c->active || c->opening) {
        return;
    }
    if (c->answer.state == kSessionFailed && c->answer.code != kCodeNone &&
        a->code == kCodeNone && a->tag == NULL && a->state == kSessionIdle) {
        c->answer = *a;
        return;
    }
    c->answer = *a;
    continue_operation(c, 2 * kOneWayDelayUs, handle_answer);
}

/* Records that the gateway ended the caller's session. */
static gboolean
port_caller_close(void *ctx, void *caller)
{
    (void)ctx;
    ((Caller *)caller)->session = NULL;
    return TRUE;
}

/* Opens a session of a caller at the next entry instance. */
static void
open_session(FleetSim *sim, Caller *c)
{
    AnswerCode code;
    char key[32];

    g_snprintf(key, sizeof(key), "%s-%u", kKeyPrefix, c->index % sim->teams);
    do {
        c->entry = (c->entry + 1) % kFleetSimEntries;
    } while (sim->entries[c->entry].stopping_us != 0 ||
             (sim->callers_domain != kFleetSimDomains &&
              c->entry % kFleetSimDomains != sim->callers_domain));
    c->closing = FALSE;
    c->session = session_open(sim->entries[c->entry].gateway, sim->now_us, c,
                              kDatabaseNames[c->index % kFleetSimDatabases],
                              key, &code);
    sim->report.no_auth += code == kCodeNoAuth;
    if (c->session != NULL) {
        c->opening = TRUE;
        send_statement(c, kStatementSet, "SET");
        c->opening = FALSE;
    }
}

/* Starts an operation of a caller.  At random, 30 % of the operations write,
 * and a quarter are transactions of four statements, BEGIN and COMMIT
 * included.  One in 20 first closes the caller's session; without a session,
 * the caller opens one at the next entry instance. */
static void
start_operation(FleetSim *sim, void *data)
{
    Caller *c = data;
    uint32_t percent = random_percent(sim);

    if (sim->quiescing) {
        return;
    }
    if (c->session != NULL && random_percent(sim) < 5) {
        session_close(c->session, sim->now_us);
        c->session = NULL;
    }
    if (c->session == NULL) {
        open_session(sim, c);
    }
    sim->report.operations++;
    c->active = TRUE;
    c->attempts = 0;
    c->started_us = sim->now_us;
    c->writes = percent < 30;
    c->transaction = percent % 4 == 0;
    c->steps = c->transaction ? 4 : 1;
    c->answer = (CallerAnswer){0};
    start_attempt(sim, c);
}

/* ---- periodic events ---- */

/* Probes a stopping entry instance as the load balancer does, and ends its
 * process when it has drained or its time is over.  Statements without an
 * answer are cut off. */
static void
tick_stop(FleetSim *sim, uint32_t index)
{
    EntryInstance *e = &sim->entries[index];
    uint64_t since_us = sim->now_us - e->stopping_us;

    if (e->stopping_us == 0) {
        return;
    }
    if (sim->now_us - e->probed_us >= kProbeIntervalUs) {
        e->probed_us = sim->now_us;
        gateway_probe(e->gateway);
    }
    if (!gateway_drained(e->gateway, sim->now_us) &&
        since_us < e->grace_us * kMaxDrainPercent / 100) {
        return;
    }
    for (uint32_t i = 0; i < kFleetSimCallers; i++) {
        const Caller *c = &sim->callers[i];
        sim->report.cut_off_by_stop += c->entry == index &&
                                       c->session != NULL &&
                                       session_busy(c->session);
    }
    sim->report.stops++;
    sim->report.refused_by_stop +=
        gateway_counters(e->gateway)->refusals[kRefusedDraining];
    fleet_sim_restart_entry(sim, index);
}

/* Ticks all instances. */
static void
tick(FleetSim *sim, void *data)
{
    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        if (sim->controls[i].director != NULL) {
            director_tick(sim->controls[i].director, sim->now_us);
            director_flush(sim->controls[i].director, sim->now_us);
        }
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        gateway_tick(sim->entries[i].gateway, sim->now_us);
        check_version_lag(sim, &sim->entries[i]);
        tick_stop(sim, i);
    }
    schedule(sim, kTickUs, tick, data);
}

/* Sends the report of a backend server to one control instance that it can
 * reach, a different one first each time. */
static void
send_server_report(FleetSim *sim, void *data)
{
    BackendServer *srv = data;
    char id[64];

    if (srv->up && !sim->reports_paused) {
        Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
        g_strlcpy(id, srv->id, sizeof(id));
        r.id = id;
        r.database = (char *)kDatabaseNames[srv->database];
        r.address = srv->address;
        r.failure_domain = (char *)kDomainNames[srv->domain];
        r.draining = srv->draining;
        r.primary = srv->primary;
        r.born_ms = srv->born_ms;
        if (sim->cold_ms != 0 && !sim->cold_unreported) {
            r.cold_case = SW__SERVER_RECORD__COLD_COLD_LEFT_MS;
            r.cold_left_ms =
                srv->cold_until_us > sim->now_us
                    ? (srv->cold_until_us - sim->now_us) / kUsPerMs
                    : 0;
        }
        r.sequence = ++srv->sequence;
        r.slots = sim->slots;
        for (uint32_t i = 0; i < kFleetSimDomains; i++) {
            ControlInstance *c =
                &sim->controls[(i + srv->sequence) % kFleetSimDomains];
            if (c->director != NULL && reachable(sim, c->index, srv->domain)) {
                director_handle_server_report(c->director, sim->now_us, &r);
                director_flush(c->director, sim->now_us);
                break;
            }
        }
    }
    schedule(sim, kReportIntervalUs, send_server_report, srv);
}

/* Sends the operator's document to a random control instance, and again every
 * 200 ms until it is acknowledged. */
static void
send_document(FleetSim *sim, void *data)
{
    size_t size;
    const void *text = g_bytes_get_data(sim->document, &size);

    if (sim->acked_version < sim->version) {
        ControlInstance *c =
            &sim->controls[random_number(sim) % kFleetSimDomains];
        if (c->director != NULL) {
            director_put_document(c->director, sim->now_us,
                                  GSIZE_TO_POINTER(sim->version), sim->version,
                                  text, size);
            director_flush(c->director, sim->now_us);
        }
        schedule(sim, 200 * kUsPerMs, send_document, data);
    }
}

/* Appends the text of routes that no caller uses.  Like an operator's, they
 * have random names and otherwise repeat each other. */
static void
append_padding_routes(const FleetSim *sim, GString *text)
{
    GRand *names = g_rand_new_with_seed(1);

    for (uint32_t i = 0; i < sim->padding_routes; i++) {
        g_string_append_printf(
            text,
            " {\"name\":\"r-%08x\",\"host\":\"h%08x%08x\","
            "\"path-prefix\":\"/\",\"kind\":\"bounded_staleness\","
            "\"timeout-ms\":2000,\"target-latency-ms\":500,"
            "\"priority\":2,\"service\":\"orders\","
            "\"max-staleness-ms\":1500,\"public\":false}",
            g_rand_int(names), g_rand_int(names), g_rand_int(names));
    }
    g_rand_free(names);
}

/* Sends a new document as an operator; rate is in operations per second for
 * each team, and without with_key the teams' keys are invalid. */
void
fleet_sim_configure(FleetSim *sim, uint32_t rate, gboolean with_key)
{
    GString *text = g_string_new(NULL);

    sim->version += 3;
    sim->rate = rate;
    sim->with_key = with_key;
    g_string_append_printf(
        text, "%" G_GUINT64_FORMAT " %u %d %d %u %u %u %u %u", sim->version,
        rate, with_key, sim->sync_replication, sim->teams,
        sim->max_connections, sim->key_moves, sim->cold_ms, sim->cold_per_s);
    append_padding_routes(sim, text);
    if (sim->document != NULL) {
        g_bytes_unref(sim->document);
    }
    sim->document = g_bytes_new(text->str, text->len + 1);
    g_string_free(text, TRUE);
    send_document(sim, NULL);
}

/* Sends a new document that gives each team's key to the next team. */
void
fleet_sim_move_keys(FleetSim *sim)
{
    sim->key_moves++;
    fleet_sim_configure(sim, sim->rate, sim->with_key);
    sim->keys_moved_version = sim->version;
}

/* Sends a new document with further routes, which stay in later ones. */
void
fleet_sim_add_routes(FleetSim *sim, uint32_t count)
{
    sim->padding_routes += count;
    fleet_sim_configure(sim, sim->rate, sim->with_key);
}

/* Reads the document as an operator from a control instance; see
 * fleet_sim_last_read. */
void
fleet_sim_read_document(FleetSim *sim, uint32_t control)
{
    ControlInstance *c = &sim->controls[control];
    director_get_document(c->director, sim->now_us, c);
    director_flush(c->director, sim->now_us);
}

/* Sends the control leader a request as another control instance forwards it,
 * and runs until the reply.  Returns its status, zero if there is none within
 * two seconds. */
uint32_t
fleet_sim_forward(FleetSim *sim, const char *verb, const char *key)
{
    uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminRequest m = SW__ADMIN_REQUEST__INIT;

    m.verb = (char *)verb;
    m.key = (char *)key;
    frame.request_id = kForwardId;
    frame.body_case = SW__FRAME__BODY_ADMIN_REQUEST;
    frame.admin_request = &m;
    sim->forward_status = 0;
    packet_send(sim, sim->controls[(leader + 1) % kFleetSimDomains].id,
                sim->controls[leader].id, &frame);
    for (uint32_t ms = 0; ms < 2000 && sim->forward_status == 0; ms += 20) {
        fleet_sim_run(sim, 20);
    }
    return sim->forward_status;
}

/* Returns the text of the last successful read, NULL if there is none. */
const char *
fleet_sim_last_read(const FleetSim *sim)
{
    return sim->last_read == NULL ? NULL
                                  : g_bytes_get_data(sim->last_read, NULL);
}

/* Returns the text of the document that the operator sent last. */
const char *
fleet_sim_sent_document(const FleetSim *sim)
{
    return g_bytes_get_data(sim->document, NULL);
}

/* Returns the lowest document version that an entry instance uses. */
uint64_t
fleet_sim_oldest_version(const FleetSim *sim)
{
    uint64_t oldest = G_MAXUINT64;

    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        oldest = MIN(oldest, gateway_version(sim->entries[i].gateway));
    }
    return oldest;
}

/* Returns the size of the largest log of a control instance, without its
 * snapshot. */
uint64_t
fleet_sim_largest_log(const FleetSim *sim)
{
    uint64_t largest = 0;

    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        const GPtrArray *entries = sim->controls[i].saved.entries;
        uint64_t bytes = 0;
        for (guint k = 0; k < entries->len; k++) {
            const ConsensusEntry *e = g_ptr_array_index(entries, k);
            bytes += g_bytes_get_size(e->command);
        }
        largest = MAX(largest, bytes);
    }
    return largest;
}

/* Returns the sum of a metric over the entry instances' current runs; zero if
 * there is none of that name. */
uint64_t
fleet_sim_metric(const FleetSim *sim, const char *name)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        GString *text = g_string_new("\n");
        gateway_metrics_write(sim->entries[i].gateway, text);
        char *key = g_strdup_printf("\nsapphireweir_%s ", name);
        const char *at = strstr(text->str, key);
        if (at != NULL) {
            sum += g_ascii_strtoull(at + strlen(key), NULL, 10);
        }
        g_free(key);
        g_string_free(text, TRUE);
    }
    return sum;
}

/* Returns how many times the entry instances' current runs have lost their
 * lease. */
uint64_t
fleet_sim_leases_lost(const FleetSim *sim)
{
    uint64_t lost = 0;

    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        lost += gateway_counters(sim->entries[i].gateway)->leases_lost;
    }
    return lost;
}

/* Returns the counters of all frames between instances. */
const Traffic *
fleet_sim_traffic(const FleetSim *sim)
{
    return &sim->traffic;
}

/* Returns the highest document version that was acknowledged. */
uint64_t
fleet_sim_acked_version(const FleetSim *sim)
{
    return sim->acked_version;
}

/* Starts an entry instance in a new incarnation. */
static void
start_entry(FleetSim *sim, uint32_t i)
{
    EntryInstance *e = &sim->entries[i];
    char *id = g_strdup_printf("e%u", i);
    GatewayConfig config = {
        .rate_pool_min_entries = 1,

        .id = id,
        .failure_domain = kDomainNames[i % kFleetSimDomains],
        .incarnation = random_number(sim),
        .max_unconfirmed_us = sim->max_unconfirmed_us,
        .server_drain_us = kDrainMs * kUsPerMs,
        .evacuate_us = kEvacuateMs * kUsPerMs,
        .link_bytes_per_s = sim->link_bytes_per_s != 0 ? sim->link_bytes_per_s
                                                       : kUnlimitedBytesPerS,
        .decode = entry_decode};
    GatewayPort port = {.ctx = e,
                        .caller_answer = port_caller_answer,
                        .caller_close = port_caller_close,
                        .server_open = port_server_open,
                        .server_send = port_server_send,
                        .server_close = port_server_close,
                        .peer_send = port_peer_send,
                        .add_peer = port_peer_known,
                        .peer_ready = port_peer_ready};
    e->sim = sim;
    e->index = i;
    e->id = id;
    e->contact_since_us = sim->now_us;
    e->stopping_us = 0;
    e->gateway = gateway_new(&config, &port);
    for (uint32_t k = 0; k < kFleetSimDomains; k++) {
        gateway_control_add(e->gateway, 0, sim->controls[k].id);
    }
}

/* Creates and starts all backend servers. */
static void
start_servers(FleetSim *sim)
{
    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
            BackendServer *srv = &sim->servers[d][i];
            srv->id = g_strdup_printf("%s-%u", kDatabaseNames[d], i);
            srv->address = g_strdup_printf("10.0.%u.%u:1", d, i);
            srv->database = d;
            srv->domain = i;
            srv->up = TRUE;
            srv->primary = i == d % kFleetSimServersPerDatabase;
            srv->term = 1;
            srv->born_ms = 1;
            srv->cold_arrivals_us =
                g_array_new(FALSE, FALSE, sizeof(uint64_t));
            srv->log = g_array_new(FALSE, FALSE, sizeof(LogEntry));
            schedule(sim, (i + 1) * 10 * kUsPerMs, send_server_report, srv);
        }
    }
}

/* Creates a fleet, runs it for 3 s and starts its callers.  All random
 * decisions derive from the seed. */
FleetSim *
fleet_sim_new(uint32_t seed)
{
    FleetSim *sim = g_new0(FleetSim, 1);

    sim->now_us = 1000000;
    sim->rand = g_rand_new_with_seed(seed);
    sim->events = g_sequence_new(g_free);
    sim->connections = g_ptr_array_new();
    sim->orders = g_ptr_array_new_with_free_func(g_free);
    sim->run_times_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    sim->acked_documents = g_array_new(FALSE, FALSE, sizeof(AckedDocument));
    sim->writes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sim->teams = 1;
    sim->callers_domain = kFleetSimDomains;
    sim->max_connections = kDefaultMaxConnections;
    sim->slots = kDefaultSlots;
    sim->replica_lag_us = 60 * kUsPerMs;
    sim->mean_pause_us = 400 * kUsPerMs;
    sim->step_pause_us = 20 * kUsPerMs;
    sim->promotion_delay_us = 600 * kUsPerMs;
    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        ControlInstance *c = &sim->controls[i];
        c->sim = sim;
        c->index = i;
        c->id = g_strdup_printf("c%u", i);
        c->disk = g_strdup_printf("disk-%u", i);
        c->saved.entries =
            g_ptr_array_new_with_free_func(consensus_entry_free);
    }
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        start_control(&sim->controls[i], TRUE);
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        start_entry(sim, i);
    }
    start_servers(sim);
    schedule(sim, 0, tick, NULL);
    fleet_sim_configure(sim, 1000, TRUE);
    fleet_sim_run(sim, 3000);
    for (uint32_t i = 0; i < kFleetSimCallers; i++) {
        Caller *c = &sim->callers[i];
        c->sim = sim;
        c->index = i;
        c->entry = i % kFleetSimEntries;
        c->value = g_strdup_printf("caller-%u", i);
        schedule(sim, random_number(sim) % (400 * kUsPerMs), start_operation,
                 c);
    }
    return sim;
}

/* Runs all events of the next for_ms milliseconds of virtual time. */
void
fleet_sim_run(FleetSim *sim, uint64_t for_ms)
{
    uint64_t until_us = sim->now_us + for_ms * kUsPerMs;

    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
        if (g_sequence_iter_is_end(first)) {
            break;
        }
        Event *e = g_sequence_get(first);
        if (e->run_at_us > until_us) {
            break;
        }
        Event next = *e;
        g_sequence_remove(first);
        sim->now_us = MAX(sim->now_us, next.run_at_us);
        next.callback(sim, next.data);
    }
    sim->now_us = until_us;
}

/* Returns the maximum number of operations that started to run within one
 * window of the rate limits. */
uint32_t
fleet_sim_max_in_rate_window(const FleetSim *sim)
{
    uint32_t max = 0;
    guint first = 0;

    for (guint i = 0; i < sim->run_times_us->len; i++) {
        uint64_t at_us = g_array_index(sim->run_times_us, uint64_t, i);
        while (g_array_index(sim->run_times_us, uint64_t, first) +
                   (uint64_t)kRateWindowMs * kUsPerMs <
               at_us) {
            first++;
        }
        max = MAX(max, i - first + 1);
    }
    return max;
}

/* Discards the recorded times, so that fleet_sim_max_in_rate_window counts
 * only later operations. */
void
fleet_sim_clear_run_times(FleetSim *sim)
{
    g_array_set_size(sim->run_times_us, 0);
}

/* Starts no more operations and runs until the active ones have ended. */
void
fleet_sim_quiesce(FleetSim *sim)
{
    for (uint32_t i = 0; i < kFleetSimDatabases; i++) {
        record_write_gap(sim, i);
    }
    sim->quiescing = TRUE;
    fleet_sim_run(sim, kQuiesceMs);
}

/* Compares the logs with the answers to callers.  Returns the report, which
 * belongs to the simulation; lost and false_rejections grow with each call. */
const FleetSimReport *
fleet_sim_check(FleetSim *sim)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, sim->writes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Write *wr = value;
        const BackendServer *p = current_primary(sim, wr->database);
        uint32_t copies = 0;
        for (uint64_t i = 0; i < log_length(p); i++) {
            copies += log_entry(p, i)->write_id == wr->id;
        }
        sim->report.lost +=
            wr->acked_us != 0 && copies == 0 && wr->rollbacks == 0;
        sim->report.false_rejections += wr->no_effect_reported && copies > 0;
    }
    return &sim->report;
}

/* ---- faults ---- */

/* Partitions a failure domain from the others, or ends the partition. */
void
fleet_sim_partition_domain(FleetSim *sim, uint32_t domain,
                           gboolean partitioned)
{
    sim->partitioned[domain] = partitioned;
}

/* Kills a control instance, or starts it from its disk. */
void
fleet_sim_set_control_running(FleetSim *sim, uint32_t index, gboolean running)
{
    ControlInstance *c = &sim->controls[index];
    if (!running && c->director != NULL) {
        director_free(c->director);
        c->director = NULL;
    }
    if (running && c->director == NULL) {
        start_control(c, FALSE);
    }
}

/* Replaces the disk of a control instance that is not running by an empty one
 * with a new identity. */
void
fleet_sim_wipe_control_disk(FleetSim *sim, uint32_t index)
{
    ControlInstance *c = &sim->controls[index];

    g_free(c->disk);
    c->disk = g_strdup_printf("disk-%u-%" G_GUINT64_FORMAT, index, ++c->wipes);
    g_ptr_array_set_size(c->saved.entries, 0);
    g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
    g_clear_pointer(&c->saved.voted_for, g_free);
    c->saved.term = 0;
    c->saved.snapshot_index = 0;
    c->saved.snapshot_term = 0;
}

/* Lets the disk of a control instance take no more writes, or ends this. */
void
fleet_sim_fill_control_disk(FleetSim *sim, uint32_t index, gboolean full)
{
    sim->controls[index].disk_full = full;
}

/* Starts a further control instance with an empty disk.  It knows the others'
 * addresses and joins by itself. */
void
fleet_sim_add_control(FleetSim *sim)
{
    start_control(&sim->controls[kFleetSimControls - 1], FALSE);
}

/* Delays all frames to a control instance, as if it were slow to take them. */
void
fleet_sim_delay_control(FleetSim *sim, uint32_t index, uint64_t delay_ms)
{
    sim->controls[index].extra_delay_us = delay_ms * kUsPerMs;
}

/* Partitions the control instances whose bit is set from the others; zero ends
 * the partition. */
void
fleet_sim_split_controls(FleetSim *sim, uint32_t half_mask)
{
    sim->control_half_mask = half_mask;
}

/* Returns the index of the control instance that leads, -1 when none does. */
int
fleet_sim_control_leader(const FleetSim *sim)
{
    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        if (sim->controls[i].director != NULL &&
            director_is_leader(sim->controls[i].director)) {
            return (int)i;
        }
    }
    return -1;
}

/* Loses the frames that control instances send to an entry instance, as a
 * connection that was reset does, or ends this. */
void
fleet_sim_lose_control_frames(FleetSim *sim, uint32_t entry, gboolean lose)
{
    sim->entries[entry].loses_frames = lose;
}

/* Begins the planned stop of an entry instance, which starts again once it has
 * ended. */
void
fleet_sim_stop_entry(FleetSim *sim, uint32_t index, uint64_t grace_ms)
{
    EntryInstance *e = &sim->entries[index];

    e->stopping_us = sim->now_us;
    e->grace_us = grace_ms * kUsPerMs;
    gateway_drain(e->gateway, sim->now_us, e->grace_us);
}

/* Makes each statement take longer at backend servers by statement_ms. */
void
fleet_sim_set_extra_work(FleetSim *sim, uint64_t statement_ms)
{
    sim->extra_work_us = statement_ms * kUsPerMs;
}

/* Kills an entry instance and starts a new incarnation of it. */
void
fleet_sim_restart_entry(FleetSim *sim, uint32_t index)
{
    EntryInstance *e = &sim->entries[index];

    for (uint32_t i = 0; i < kFleetSimCallers; i++) {
        Caller *c = &sim->callers[i];
        if (c->session != NULL && c->entry == index) {
            /* The session ends, and so does an operation without answer. */
            session_close(c->session, sim->now_us);
            c->session = NULL;
            if (c->active && !c->step_scheduled) {
                finish_operation(c, FALSE);
            }
        }
    }
    gateway_free(e->gateway);
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        if (i != index) {
            gateway_peer_down(sim->entries[i].gateway, sim->now_us, e->id);
        }
    }
    g_free(e->id);
    start_entry(sim, index);
}

/* Returns the index of the primary of a database, the one with the highest
 * term when several servers act as primary. */
int
fleet_sim_primary(const FleetSim *sim, uint32_t database)
{
    int best = 0;
    for (int i = 1; i < kFleetSimServersPerDatabase; i++) {
        const BackendServer *srv = &sim->servers[database][i];
        const BackendServer *b = &sim->servers[database][best];
        if (srv->primary && (!b->primary || srv->term > b->term)) {
            best = i;
        }
    }
    return best;
}

/* Crashes or starts a backend server.  When it crashes, its connections fail
 * at once; if unreachable is set, they hang instead, and attempts to open new
 * ones hang too. */
void
fleet_sim_set_server_running(FleetSim *sim, uint32_t database, uint32_t index,
                             gboolean running, gboolean unreachable)
{
    BackendServer *srv = &sim->servers[database][index];

    srv->up = running;
    srv->unreachable = unreachable;
    for (guint i = 0; !running && i < sim->connections->len; i++) {
        ServerConnection *conn = g_ptr_array_index(sim->connections, i);
        if (conn->server == srv && conn->owner != NULL && !unreachable) {
            conn->events->down(conn->owner, sim->now_us, kCodeTimeout);
        }
    }
}

/* Crashes the primary of a database, or starts all servers of the database.
 * unreachable is as for fleet_sim_set_server_running. */
void
fleet_sim_set_primary_running(FleetSim *sim, uint32_t database,
                              gboolean running, gboolean unreachable)
{
    for (uint32_t i = 0; running && i < kFleetSimServersPerDatabase; i++) {
        fleet_sim_set_server_running(sim, database, i, TRUE, FALSE);
    }
    if (!running) {
        fleet_sim_set_server_running(
            sim, database, (uint32_t)fleet_sim_primary(sim, database), FALSE,
            unreachable);
    }
}

/* Sets the primary of a database to draining, which its reports announce. */
void
fleet_sim_drain_primary(FleetSim *sim, uint32_t database)
{
    BackendServer *srv = current_primary(sim, database);

    srv->draining = TRUE;
    srv->draining_us = sim->now_us;
}

/* Sets a replica of a database to draining. */
void
fleet_sim_drain_replica(FleetSim *sim, uint32_t database)
{
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, database);
    BackendServer *srv =
        &sim->servers[database][(primary + 1) % kFleetSimServersPerDatabase];

    srv->draining = TRUE;
    srv->draining_us = sim->now_us;
}

/* Restarts all entry instances with a maximum time without confirmation of the
 * configuration, after which they refuse operations with a key. */
void
fleet_sim_set_max_unconfirmed(FleetSim *sim, uint64_t max_unconfirmed_ms)
{
    sim->max_unconfirmed_us = max_unconfirmed_ms * kUsPerMs;
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
}

/* Sets the number of teams and each server's limits of connections and slots,
 * and restarts all entry instances. */
void
fleet_sim_set_teams(FleetSim *sim, uint32_t teams, uint32_t max_connections,
                    uint32_t slots)
{
    sim->teams = teams;
    sim->slots = MIN(slots, (uint32_t)kMaxSlots);
    sim->max_connections = max_connections;
    fleet_sim_configure(sim, sim->rate, sim->with_key);
    fleet_sim_run(sim, 500);
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
}

/* Reports to each entry instance that its connections to all other entry
 * instances are down, or ends this.  Control instances and backend servers
 * stay connected. */
void
fleet_sim_partition_entries(FleetSim *sim, gboolean partitioned)
{
    sim->entries_partitioned = partitioned;
}

/* Returns the number of connections to backend servers opened so far. */
uint32_t
fleet_sim_connections_opened(const FleetSim *sim)
{
    return sim->connections->len;
}

/* Pauses the reports of backend servers, or resumes them. */
void
fleet_sim_pause_server_reports(FleetSim *sim, gboolean paused)
{
    sim->reports_paused = paused;
}

/* Makes commits wait until one replica has them. */
void
fleet_sim_enable_sync_replication(FleetSim *sim)
{
    sim->sync_replication = TRUE;
    fleet_sim_configure(sim, sim->rate, sim->with_key);
}

/* Pauses the replication to a backend server, or resumes it. */
void
fleet_sim_pause_replication(FleetSim *sim, uint32_t database, uint32_t index,
                            gboolean paused)
{
    sim->servers[database][index].replication_paused = paused;
    if (!paused) {
        /* The replica requests what it lacks without waiting for a commit. */
        schedule_replication(sim, current_primary(sim, database));
    }
}

/* Sets the delay after which replicas apply commits. */
void
fleet_sim_set_replica_lag(FleetSim *sim, uint64_t lag_ms)
{
    sim->replica_lag_us = lag_ms * kUsPerMs;
}

/* Sets the share of successful replies of backend servers that are lost; their
 * connections time out. */
void
fleet_sim_set_reply_loss(FleetSim *sim, uint32_t loss_percent)
{
    sim->reply_loss_percent = loss_percent;
}

/* Sets the time from a promotion request to its effect. */
void
fleet_sim_set_promotion_delay(FleetSim *sim, uint64_t delay_ms)
{
    sim->promotion_delay_us = delay_ms * kUsPerMs;
}

/* Limits the bandwidth of each entry instance's network link in each
 * direction, and restarts all entry instances. */
void
fleet_sim_set_link_bandwidth(FleetSim *sim, uint64_t bytes_per_s)
{
    sim->link_bytes_per_s = bytes_per_s;
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
}

/* Sets the mean pause of each caller between operations. */
void
fleet_sim_set_caller_pause(FleetSim *sim, uint64_t pause_ms)
{
    sim->mean_pause_us = pause_ms * kUsPerMs;
}

/* Sets the pause between the statements of a transaction. */
void
fleet_sim_set_step_pause(FleetSim *sim, uint64_t pause_ms)
{
    sim->step_pause_us = pause_ms * kUsPerMs;
}

/* Sets how long servers are cold after a restart and how many commands a cold
 * one may get, and whether reports state the time left. */
void
fleet_sim_set_slow_start(FleetSim *sim, uint32_t cold_ms, uint32_t limit_per_s,
                         gboolean reported)
{
    sim->cold_ms = cold_ms;
    sim->cold_per_s = limit_per_s;
    sim->cold_unreported = !reported;
    fleet_sim_configure(sim, sim->rate, sim->with_key);
}

/* Starts a new run of a backend server, which is cold.  Its connections
 * fail. */
void
fleet_sim_restart_server(FleetSim *sim, uint32_t database, uint32_t index)
{
    BackendServer *srv = &sim->servers[database][index];

    fleet_sim_set_server_running(sim, database, index, FALSE, FALSE);
    fleet_sim_set_server_running(sim, database, index, TRUE, FALSE);
    srv->born_ms++;
    srv->cold_until_us = sim->now_us + (uint64_t)sim->cold_ms * kUsPerMs;
}

/* Returns the highest number of commands that arrived at one cold server
 * within a second. */
uint32_t
fleet_sim_max_cold_arrivals(const FleetSim *sim)
{
    uint32_t most = 0;

    for (uint32_t i = 0; i < kFleetSimDatabases * kFleetSimServersPerDatabase;
         i++) {
        const GArray *times_us = sim->servers[i / kFleetSimServersPerDatabase]
                                             [i % kFleetSimServersPerDatabase]
                                                 .cold_arrivals_us;
        guint first = 0;
        for (guint k = 0; k < times_us->len; k++) {
            while (g_array_index(times_us, uint64_t, first) +
                       1000 * kUsPerMs <=
                   g_array_index(times_us, uint64_t, k)) {
                first++;
            }
            most = MAX(most, k - first + 1);
        }
    }
    return most;
}

/* Returns how many commands arrived at cold servers. */
uint64_t
fleet_sim_cold_arrivals(const FleetSim *sim)
{
    uint64_t count = 0;

    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
            count += sim->servers[d][i].cold_arrivals_us->len;
        }
    }
    return count;
}

/* Returns how many statements the entry instances' present runs refused for a
 * reason. */
uint64_t
fleet_sim_refusals(const FleetSim *sim, RefusalReason reason)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        count += gateway_counters(sim->entries[i].gateway)->refusals[reason];
    }
    return count;
}

/* Isolates an entry instance from all control instances, or ends this. */
void
fleet_sim_set_isolated(FleetSim *sim, uint32_t entry, gboolean isolated)
{
    sim->entries[entry].cut_controls =
        isolated ? (1U << kFleetSimControls) - 1 : 0;
}

/* Drops all frames between an entry instance and a control instance. */
void
fleet_sim_cut_from_control(FleetSim *sim, uint32_t entry, uint32_t control)
{
    sim->entries[entry].cut_controls |= 1U << control;
}

/* Sends an order to a control instance once.  Returns it; the simulation owns
 * it.  Its status is 503 if the control instance is down. */
const FleetSimOrder *
fleet_sim_order_once(FleetSim *sim, uint32_t control, uint32_t domain,
                     gboolean evacuated)
{
    FleetSimOrder *order = g_new0(FleetSimOrder, 1);
    Director *director = sim->controls[control].director;

    g_ptr_array_add(sim->orders, order);
    if (director == NULL) {
        order->status = 503;
        return order;
    }
    director_evacuate(director, sim->now_us, order, kDomainNames[domain],
                      evacuated);
    director_flush(director, sim->now_us);
    return order;
}

/* Closes the connection of an order's operator. */
void
fleet_sim_order_give_up(const FleetSimOrder *order)
{
    ((FleetSimOrder *)order)->gave_up = TRUE;
}

/* Repeats the wanted order of a domain at random control instances, each time
 * after an answer or 400 ms, until it is acknowledged. */
static void
repeat_order(FleetSim *sim, void *data)
{
    uint32_t domain = GPOINTER_TO_UINT(data);
    gboolean acked = sim->wanted[domain].sent != NULL &&
                     sim->wanted[domain].sent->status == 200;

    if (acked) {
        sim->wanted[domain].acked = TRUE;
        sim->wanted[domain].evacuated_us =
            sim->wanted[domain].evacuated ? sim->now_us : 0;
        return;
    }
    sim->wanted[domain].sent = fleet_sim_order_once(
        sim, (uint32_t)(random_number(sim) % kFleetSimDomains), domain,
        sim->wanted[domain].evacuated);
    schedule(sim, 400 * kUsPerMs, repeat_order, data);
}

/* Evacuates or restores a failure domain as an operator. */
void
fleet_sim_order(FleetSim *sim, uint32_t domain, gboolean evacuated)
{
    sim->wanted[domain].evacuated = evacuated;
    sim->wanted[domain].sent = NULL;
    sim->wanted[domain].acked = FALSE;
    if (!evacuated) {
        sim->wanted[domain].evacuated_us = 0;
    }
    repeat_order(sim, GUINT_TO_POINTER(domain));
}

/* Returns whether the last order for a domain was acknowledged. */
gboolean
fleet_sim_order_acked(const FleetSim *sim, uint32_t domain)
{
    return sim->wanted[domain].acked;
}

/* Returns how many statements of an entry instance have reached the servers of
 * a failure domain. */
uint64_t
fleet_sim_statements_in_domain(const FleetSim *sim, uint32_t domain,
                               uint32_t entry)
{
    return sim->statements[domain][entry];
}

/* Makes callers open new sessions in one failure domain only. */
void
fleet_sim_gather_callers(FleetSim *sim, uint32_t domain)
{
    sim->callers_domain = domain;
}

/* Returns how many operations of the callers with a priority, 0 or 1, have
 * ended, served or not. */
uint64_t
fleet_sim_outcomes(const FleetSim *sim, uint32_t priority, gboolean served)
{
    return sim->outcomes[priority][served];
}

/* Returns the value of a metric, G_MAXUINT64 if there is none. */
static uint64_t
metric_value(const GString *text, const char *name)
{
    char *start = g_strdup_printf("\nsapphireweir_%s ", name);
    const char *found = strstr(text->str, start);
    uint64_t value = found == NULL
                         ? G_MAXUINT64
                         : g_ascii_strtoull(found + strlen(start), NULL, 10);

    g_free(start);
    return value;
}

/* Returns the value of a metric of a running control instance; the name lacks
 * its prefix. */
uint64_t
fleet_sim_control_metric(const FleetSim *sim, uint32_t control,
                         const char *name)
{
    GString *text = g_string_new(NULL);

    director_metrics_write(sim->controls[control].director, sim->now_us, text);
    uint64_t value = metric_value(text, name);
    g_string_free(text, TRUE);
    return value;
}

/* Returns the value of a metric of an entry instance; the name lacks its
 * prefix. */
uint64_t
fleet_sim_entry_metric(const FleetSim *sim, uint32_t entry, const char *name)
{
    GString *text = g_string_new(NULL);

    gateway_metrics_write(sim->entries[entry].gateway, text);
    uint64_t value = metric_value(text, name);
    g_string_free(text, TRUE);
    return value;
}

/* Returns when an entry instance learned that a domain was restored. */
uint64_t
fleet_sim_domain_restored_us(const FleetSim *sim, uint32_t entry,
                             uint32_t domain)
{
    return gateway_domain_restored_us(sim->entries[entry].gateway,
                                      kDomainNames[domain]);
}

/* Frees the simulation. */
void
fleet_sim_free(FleetSim *sim)
{
    /* A gateway ends its loans with frames to the others. */
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        gateway_free(sim->entries[i].gateway);
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        g_free(sim->entries[i].id);
    }
    for (uint32_t i = 0; i < kFleetSimControls; i++) {
        ControlInstance *c = &sim->controls[i];
        if (c->director != NULL) {
            director_free(c->director);
        }
        g_ptr_array_unref(c->saved.entries);
        g_clear_pointer(&c->saved.snapshot, g_bytes_unref);
        g_free(c->saved.voted_for);
        g_free(c->disk);
        g_free(c->id);
    }
    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
            BackendServer *srv = &sim->servers[d][i];
            g_array_unref(srv->log);
            g_array_unref(srv->cold_arrivals_us);
            g_free(srv->address);
            g_free(srv->id);
        }
    }
    for (guint i = 0; i < sim->connections->len; i++) {
        ServerConnection *conn = g_ptr_array_index(sim->connections, i);
        g_array_unref(conn->writes);
        g_hash_table_destroy(conn->values);
        g_free(conn->team);
        g_free(conn);
    }
    for (uint32_t i = 0; i < kFleetSimCallers; i++) {
        g_free(sim->callers[i].value);
    }
    g_ptr_array_unref(sim->orders);
    g_array_unref(sim->acked_documents);
    g_array_unref(sim->run_times_us);
    g_ptr_array_unref(sim->connections);
    g_hash_table_destroy(sim->writes);
    g_sequence_foreach(sim->events, free_event_data, NULL);
    g_sequence_free(sim->events);
    g_bytes_unref(sim->document);
    g_clear_pointer(&sim->last_read, g_bytes_unref);
    g_rand_free(sim->rand);
    g_free(sim);
}
