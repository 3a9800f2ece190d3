#include <stdlib.h>
#include <string.h>

#include "../support/fleet_sim.h"
#include "../support/lone_gateway.h"
#include "core/hash.h"
#include "core/message.h"
#include "suite.h"

/* Random orders of statements, lost connections and answers, changes of keys
 * and of the primary, and stops, against a reference model of the rules: what
 * may run where and for whom, which commit is in whose log, and which answer
 * may be given.  Guards against an answer that is mistaken for that of
 * another command, a connection that is reused with a transaction open or
 * with other values, also where a server rejects some, work for a team that
 * no longer holds the key, and work that a stop cuts off.  The owner of the
 * servers' connections is this instance, another one, or cannot be reached.
 *
 * SAPPHIREWEIR_MODEL_SEED and _ORDERS select the orders; the order with seed
 * n is the same in each run. */

enum {
    kOrders = 10000,
    kSteps = 50, /* of an order */
    kCallers = 4,
    kKeys = 2,
    kTeams = 2,
    kUsPerMs = 1000,
    kManyValues = 170,
    kRejectedSetup = 200, /* one of so many commands that set up a session */
    kTimeoutMs = 300,
    kGraceMs = 200, /* of a stop; ends before the time limit of statements */
    kGraceUsedMs = kGraceMs * 95 / 100,
    kEndMs = 2500,
    kFailuresPrinted = 3,
    kPromotionSteps = 8,
    /* An order in the simulated fleet takes a thousand times as long. */
    kOrdersPerPromotions = 500,
};

/* A caller's statement. */
typedef struct {
    StatementKind kind;
    uint32_t caller;
    uint32_t transaction; /* zero: none */
    gboolean writes;
    uint64_t values;    /* hash of the session's values */
    const char *shape;  /* text of the prepared statement that it executes */
    gboolean relayed;   /* sent to the owner for the team that may run it */
    uint32_t committed; /* times */
    uint32_t server;    /* that committed it */
    gboolean never;     /* the caller was told that it is not committed */
} Record;

typedef struct {
    Session *session; /* NULL: closed */
    uint32_t number;
    uint32_t open; /* index of the record, zero: none */
    uint32_t transaction;
    SessionState state;
    GHashTable *values;
    GArray *writes;       /* uint32_t: acknowledged in the transaction */
    const char *prepared; /* text of the statement "p", NULL: none */
    AnswerCode code;      /* of the last answer */
    gboolean closes;      /* it ends the session */
} Caller;

/* A command on its way to a server. */
typedef struct {
    CommandKind kind;
    char *text;
    char *name;
    char *value;
} Command;

/* A connection at the server. */
typedef struct {
    GQueue commands; /* Command, owned */
    GHashTable *values;
    GHashTable *former_values; /* before BEGIN */
    GHashTable *prepared;      /* name -> text */
    SessionState state;
    uint32_t transaction; /* zero: no statement ran in it yet */
    GArray *writes;       /* uint32_t: of the open transaction */
} ServerSide;

/* A frame between this instance and the owner of the connections. */
typedef struct {
    uint64_t at_us;
    char *to;
    Sw__Frame *frame;
} Packet;

typedef struct {
    LoneGateway *l;
    GRand *rand;
    uint32_t seed;
    GString *steps;
    char *failure; /* the first one, NULL: none */
    Caller callers[kCallers];
    GArray *records;      /* Record; the first one is not used */
    GArray *transactions; /* gboolean: it must not be committed */
    GQueue packets;       /* Packet, owned */
    GPtrArray *sides;     /* ServerSide, owned */
    const char *owner;
    uint32_t primary;
    uint64_t version;
    int holders[kKeys]; /* team of each key, -1: none */
    uint64_t paused_until_us;
    uint64_t commits;
} Model;

static const char *const kServerIds[] = {"s0", "s1"};
static const char *const kTeamNames[] = {"crew", "office"};
static const char *const kKeyNames[] = {"k0", "k1"};

static uint32_t
draw(Model *m, uint32_t below)
{
    return g_rand_int(m->rand) % below;
}

/* Records a violation of a rule, of which the first counts. */
static void
violated(Model *m, const char *rule, uint32_t record)
{
    if (m->failure == NULL) {
        m->failure = g_strdup_printf("%s (statement %u)", rule, record);
    }
}

static Record *
record_at(Model *m, uint32_t index)
{
    CU_ASSERT_FATAL(index < m->records->len);
    return &g_array_index(m->records, Record, index);
}

/* Returns a hash of values that does not depend on their order. */
static uint64_t
values_hash(GHashTable *values)
{
    GHashTableIter it;
    void *name;
    void *value;
    uint64_t hash = 0;

    g_hash_table_iter_init(&it, values);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        hash += hash_text(value, hash_text(name, 1));
    }
    return hash;
}

static GHashTable *
values_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
values_copy(GHashTable *from, GHashTable *to)
{
    GHashTableIter it;
    void *name;
    void *value;

    g_hash_table_remove_all(to);
    g_hash_table_iter_init(&it, from);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        g_hash_table_replace(to, g_strdup(name), g_strdup(value));
    }
}

/* ---- the servers ---- */

static void
command_free(void *data)
{
    Command *c = data;
    g_free(c->text);
    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

static void
side_free(void *data)
{
    ServerSide *s = data;
    g_queue_clear_full(&s->commands, command_free);
    g_hash_table_destroy(s->values);
    g_hash_table_destroy(s->former_values);
    g_hash_table_destroy(s->prepared);
    g_array_unref(s->writes);
    g_free(s);
}

static ServerSide *
side_of(Model *m, LoneLink *link)
{
    if (link->model == NULL) {
        ServerSide *s = g_new0(ServerSide, 1);
        s->values = values_new();
        s->former_values = values_new();
        s->prepared = values_new();
        s->writes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        link->model = s;
        g_ptr_array_add(m->sides, s);
    }
    return link->model;
}

static void
commit(Model *m, const LoneLink *link, uint32_t index)
{
    Record *r = record_at(m, index);

    r->server = strcmp(link->server, kServerIds[0]) == 0 ? 0 : 1;
    m->commits++;
    if (r->committed++ > 0) {
        violated(m, "a write is committed twice", index);
    }
    if (r->never || g_array_index(m->transactions, gboolean, r->transaction)) {
        violated(m, "a write is committed that was said not to be", index);
    }
}

/* Ends the transaction of a connection.  It is not specified whether values
 * that were set in it survive a rollback. */
static void
end_transaction(Model *m, LoneLink *link, gboolean commits)
{
    ServerSide *s = side_of(m, link);

    for (guint i = 0; commits && i < s->writes->len; i++) {
        commit(m, link, g_array_index(s->writes, uint32_t, i));
    }
    if (!commits && s->state != kSessionIdle && draw(m, 2) == 0) {
        values_copy(s->former_values, s->values);
    }
    g_array_set_size(s->writes, 0);
    s->state = kSessionIdle;
    s->transaction = 0;
}

/* Runs a caller's statement; sets the code of its answer. */
static void
run_statement(Model *m, LoneLink *link, const Command *c, ServerAnswer *a)
{
    ServerSide *s = side_of(m, link);
    const char *number = strrchr(c->text, ' ');
    uint32_t index = (uint32_t)strtoul(number + 1, NULL, 10);
    Record *r = record_at(m, index);
    uint32_t chance = draw(m, 24);
    gboolean commits = r->kind == kStatementCommit;

    if (s->state == kSessionFailed ||
        (chance == 0 && s->state == kSessionInTransaction && !commits)) {
        s->state = kSessionFailed;
        a->code = kCodeFailed;
        return;
    }
    if (chance < 2 && s->state == kSessionIdle) {
        a->code = chance == 0 ? kCodeFailed : kCodeBusy;
        return;
    }
    if (r->kind == kStatementExecute &&
        !g_hash_table_contains(s->prepared, c->name)) {
        a->code = kCodeNoStatement;
        return;
    }
    if (values_hash(s->values) != r->values) {
        violated(m, "a statement runs with other values", index);
    }
    if (r->kind == kStatementExecute &&
        g_strcmp0(g_hash_table_lookup(s->prepared, c->name), r->shape) != 0) {
        violated(m, "another prepared statement runs", index);
    }
    if (r->transaction == 0 ? s->state != kSessionIdle
                            : s->state != kSessionInTransaction) {
        violated(m, "a statement runs outside of its transaction, or in one",
                 index);
    }
    if (s->transaction != 0 && s->transaction != r->transaction) {
        violated(m, "a statement runs in another transaction", index);
    }
    s->transaction = r->transaction;
    if (r->writes) {
        g_array_append_val(s->writes, index);
    }
    if (commits || r->transaction == 0) {
        end_transaction(m, link, TRUE);
    }
    a->tag = number + 1;
}

/* Runs one command at the server and fills in its answer. */
static void
run_command(Model *m, LoneLink *link, const Command *c, ServerAnswer *a)
{
    ServerSide *s = side_of(m, link);
    gboolean setup = c->kind == kCommandReset || c->kind == kCommandSet ||
                     c->kind == kCommandPrepare;

    if (setup && draw(m, kRejectedSetup) == 0) {
        a->code = draw(m, 2) == 0 ? kCodeBusy : kCodeFailed;
        a->state = s->state;
        return;
    }
    switch (c->kind) {
    case kCommandReset:
        g_hash_table_remove_all(s->values);
        g_hash_table_remove_all(s->prepared);
        break;
    case kCommandSet:
        g_hash_table_replace(s->values, g_strdup(c->name), g_strdup(c->value));
        break;
    case kCommandPrepare:
        g_hash_table_replace(s->prepared, g_strdup(c->name),
                             g_strdup(c->value));
        break;
    case kCommandBegin:
    case kCommandBeginRead:
        if (s->state != kSessionIdle) {
            violated(m, "BEGIN inside of a transaction", 0);
        }
        values_copy(s->values, s->former_values);
        s->state = kSessionInTransaction;
        break;
    case kCommandRollback:
        end_transaction(m, link, FALSE);
        break;
    case kCommandStatement:
        run_statement(m, link, c, a);
        break;
    default:
        break;
    }
    a->state = s->state;
    a->position = (Position){1, m->commits + 1};
}

/* Handles the end of a connection, of which the server may have received the
 * commands on their way. */
static void
connection_ends(Model *m, LoneLink *link)
{
    ServerSide *s = side_of(m, link);
    Command *c;

    gboolean received = draw(m, 2) == 0;
    while ((c = g_queue_pop_head(&s->commands)) != NULL) {
        ServerAnswer a = {0};
        if (received) {
            run_command(m, link, c, &a);
        }
        command_free(c);
    }
    end_transaction(m, link, FALSE);
}

/* Returns whether a statement may be sent for a team to a server. */
static void
check_sent(Model *m, uint32_t index, const char *team, const char *server)
{
    const Record *r = record_at(m, index);
    int holder = m->holders[r->caller % kKeys];

    if (holder < 0 || strcmp(kTeamNames[holder], team) != 0) {
        violated(m, "a statement is sent for a team without the key", index);
    }
    if (r->writes && strcmp(server, kServerIds[m->primary]) != 0) {
        violated(m, "a write is sent to another server than the primary",
                 index);
    }
}

static void
on_command(void *ctx, LoneLink *link, const ServerCommand *c)
{
    Model *m = ctx;
    Command *copy = g_new0(Command, 1);

    copy->kind = c->kind;
    copy->text = g_strdup(c->text);
    copy->name = g_strdup(c->name);
    copy->value = g_strdup(c->value);
    g_queue_push_tail(&side_of(m, link)->commands, copy);
    if (c->kind == kCommandStatement) {
        const char *number = strrchr(c->text, ' ') + 1;
        uint32_t index = (uint32_t)strtoul(number, NULL, 10);
        if (g_str_has_prefix(c->text, "EXECUTE ")) {
            g_free(copy->name);
            copy->name =
                g_strndup(c->text + strlen("EXECUTE "),
                          (size_t)(number - 1 - c->text) - strlen("EXECUTE "));
        }
        if (!record_at(m, index)->relayed) {
            check_sent(m, index, link->team, link->server);
        }
    }
}

static void
on_closed(void *ctx, LoneLink *link)
{
    connection_ends(ctx, link);
}

/* Answers commands, most of them at once. */
static void
answer_commands(Model *m, LoneLink *link)
{
    Command *c;

    while (link->owner != NULL && link->accepted && draw(m, 4) > 0 &&
           (c = g_queue_pop_head(&side_of(m, link)->commands)) != NULL) {
        ServerAnswer a = {.code_text = "", .detail = "", .position_text = ""};
        run_command(m, link, c, &a);
        link->events->answer(link->owner, m->l->now_us, &a);
        command_free(c);
    }
}

/* ---- between instances ---- */

static void
packet_free(void *data)
{
    Packet *p = data;
    sw__frame__free_unpacked(p->frame, NULL);
    g_free(p->to);
    g_free(p);
}

static void
on_frame(void *ctx, const char *to, const Sw__Frame *frame)
{
    Model *m = ctx;

    if (frame->body_case == SW__FRAME__BODY_RELAY_RUN) {
        const Sw__RelayRun *run = frame->relay_run;
        for (size_t i = 0; i < run->n_commands + run->n_after_begin; i++) {
            const Sw__RelayCommand *c =
                i < run->n_commands ? run->commands[i]
                                    : run->after_begin[i - run->n_commands];
            if (c->kind == kCommandStatement) {
                uint32_t index =
                    (uint32_t)strtoul(strrchr(c->text, ' ') + 1, NULL, 10);
                record_at(m, index)->relayed = TRUE;
                check_sent(m, index, run->team, run->server);
            }
        }
    }
    if (frame->body_case == SW__FRAME__BODY_RELAY_RUN ||
        frame->body_case == SW__FRAME__BODY_RELAY_END ||
        frame->body_case == SW__FRAME__BODY_RELAY_RESULT ||
        frame->body_case == SW__FRAME__BODY_RELAY_PING) {
        Packet *p = g_new(Packet, 1);
        *p = (Packet){m->l->now_us + kUsPerMs, g_strdup(to),
                      message_copy(frame)};
        g_queue_push_tail(&m->packets, p);
    }
}

/* Passes frames on.  The instance also plays the owner: results and answers
 * to pings come from it, other frames from the borrower "e0". */
static void
deliver_packets(Model *m)
{
    Packet *p;

    while ((p = g_queue_peek_head(&m->packets)) != NULL &&
           p->at_us <= m->l->now_us) {
        const Sw__Frame *f = p->frame;
        gboolean from_owner = f->body_case == SW__FRAME__BODY_RELAY_RESULT ||
                              (f->body_case == SW__FRAME__BODY_RELAY_PING &&
                               f->relay_ping->answer);
        g_queue_pop_head(&m->packets);
        gateway_frame(m->l->gateway, m->l->now_us,
                      from_owner ? m->owner : "e0", f);
        packet_free(p);
    }
}

/* ---- callers ---- */

/* Checks the answer to a statement that a server ran. */
static void
check_done(Model *m, Caller *c, uint32_t index, const CallerAnswer *a)
{
    Record *r = record_at(m, index);

    if (a->tag == NULL ? r->kind != kStatementCommit
                       : strtoul(a->tag, NULL, 10) != index) {
        violated(m, "the answer is that to another command", index);
    }
    if (r->kind == kStatementCommit) {
        for (guint i = 0; i < c->writes->len; i++) {
            uint32_t write = g_array_index(c->writes, uint32_t, i);
            const Record *w = record_at(m, write);
            if (w->committed != 1 || w->server != m->primary) {
                violated(m, "an acknowledged commit is not in the log", write);
            }
        }
        return;
    }
    if (r->writes && r->transaction != 0) {
        g_array_append_val(c->writes, index);
    }
    if (r->writes && r->transaction == 0 &&
        (r->committed != 1 || r->server != m->primary)) {
        violated(m, "an acknowledged write is not in the log", index);
    }
}

/* Records that a transaction must not be committed. */
static void
never_commits(Model *m, uint32_t transaction)
{
    if (transaction == 0) {
        return;
    }
    g_array_index(m->transactions, gboolean, transaction) = TRUE;
    for (uint32_t i = 1; i < m->records->len; i++) {
        const Record *r = record_at(m, i);
        if (r->transaction == transaction && r->committed > 0) {
            violated(m, "a transaction is committed that was said not to be",
                     i);
        }
    }
}

static void
on_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    Model *m = ctx;
    Caller *c = caller;
    uint32_t index = c->open;
    Record *r = record_at(m, index);
    gboolean done = a->code == kCodeNone;
    gboolean begins =
        r->kind == kStatementBegin || r->kind == kStatementBeginRead;

    if (index == 0) {
        violated(m, "an answer without a statement", 0);
        return;
    }
    if (r->kind != kStatementSet) {
        g_string_append_printf(m->steps, "  %u: code %d, state %d\n", index,
                               a->code, a->state);
    }
    c->open = 0;
    c->code = a->code;
    c->closes = a->closes;
    if (done &&
        (r->kind == kStatementRead || r->kind == kStatementWrite ||
         r->kind == kStatementExecute || r->kind == kStatementCommit)) {
        check_done(m, c, index, a);
    }
    if (!done && r->writes && r->transaction == 0 && a->code != kCodeInDoubt) {
        r->never = TRUE;
        if (r->committed > 0) {
            violated(m, "a write is committed that was said not to be", index);
        }
    }
    if (r->transaction != 0 && a->state != kSessionInTransaction &&
        !(r->kind == kStatementCommit && (done || a->code == kCodeInDoubt))) {
        never_commits(m, r->transaction);
    }
    if (begins && done) {
        gboolean never = FALSE;
        c->transaction = m->transactions->len;
        g_array_append_val(m->transactions, never);
        g_array_set_size(c->writes, 0);
    }
    c->state = a->state;
    if (a->state == kSessionIdle) {
        c->transaction = 0;
    }
}

static gboolean
on_close(void *ctx, void *caller)
{
    (void)ctx;
    ((Caller *)caller)->session = NULL;
    return TRUE;
}

static void
open_session(Model *m, Caller *c)
{
    AnswerCode code;

    c->session = session_open(m->l->gateway, m->l->now_us, c, "h",
                              kKeyNames[c->number % kKeys], &code);
    c->state = kSessionIdle;
    c->transaction = 0;
    c->prepared = NULL;
    c->closes = FALSE;
    g_hash_table_remove_all(c->values);
}

/* Closes a caller's connection; an open statement gets no answer. */
static void
close_session(Model *m, Caller *c)
{
    Session *s = c->session;

    c->session = NULL;
    c->open = 0;
    if (s != NULL) {
        session_close(s, m->l->now_us);
    }
}

/* Sends a statement of a caller without an open one. */
static void
say(Model *m, Caller *c, StatementKind kind, const char *name,
    const char *value)
{
    char id[16];
    char text[32];
    char arguments[32];
    Record r = {.kind = kind,
                .caller = c->number,
                .transaction = c->transaction,
                .writes = kind == kStatementWrite ||
                          (kind == kStatementExecute && c->prepared != NULL &&
                           c->prepared[0] == 'w'),
                .values = values_hash(c->values),
                .shape = kind == kStatementExecute ? c->prepared : NULL};
    uint32_t index = m->records->len;

    g_array_append_val(m->records, r);
    g_snprintf(id, sizeof(id), "%u", index);
    g_snprintf(text, sizeof(text), "S %u", index);
    g_snprintf(arguments, sizeof(arguments), "%u", index);
    Statement st = {.kind = kind,
                    .id = id,
                    .text = text,
                    .name = name,
                    .value = value,
                    .prepared_text = value,
                    .arguments = arguments,
                    .writes = value[0] == 'w'};
    if (name[0] != 'm') {
        g_string_append_printf(m->steps, "caller %u: %u, kind %d %s %s\n",
                               c->number, index, kind, name, value);
    }
    c->open = index;
    session_statement(c->session, m->l->now_us, &st);
    if (c->open != 0 || c->code != kCodeNone) {
        return;
    }
    if (kind == kStatementSet) {
        g_hash_table_replace(c->values, g_strdup(name), g_strdup(value));
    }
    if (kind == kStatementPrepare) {
        c->prepared = value;
    }
}

/* Sets so many values that they exceeded a former limit of the commands that
 * are sent together. */
static void
set_many(Model *m, Caller *c)
{
    char name[16];

    g_string_append_printf(m->steps, "caller %u sets many values\n",
                           c->number);
    for (uint32_t i = 0; i < kManyValues && c->state != kSessionFailed &&
                         c->session != NULL && !c->closes;
         i++) {
        g_snprintf(name, sizeof(name), "m%u", i);
        say(m, c, kStatementSet, name, "1");
    }
}

/* Lets a caller send a random statement, or open or close its session. */
static void
caller_step(Model *m, Caller *c)
{
    static const char *const values[] = {"1", "2", "3"};
    static const char *const names[] = {"a", "b", "c"};
    /* The last two have the same 64-bit FNV-1a hash. */
    static const char *const shapes[] = {"w x", "r x", "8yn0iYCKYHlIj4-BwPqk",
                                         "GReLUrM4wMqfg9yzV3KQ"};
    static const StatementKind ends[] = {kStatementCommit, kStatementCommit,
                                         kStatementRollback};
    uint32_t chance = draw(m, 64);

    if (c->session == NULL) {
        open_session(m, c);
        return;
    }
    if (chance == 0 || (c->closes && c->open == 0)) {
        g_string_append_printf(m->steps, "caller %u closes\n", c->number);
        close_session(m, c);
        return;
    }
    if (c->open != 0) {
        return;
    }
    if (c->state == kSessionFailed) {
        say(m, c, chance < 8 ? kStatementRead : ends[draw(m, 3)], "", "");
    }
    else if (chance < 2) {
        set_many(m, c);
    }
    else if (chance < 8) {
        say(m, c, kStatementSet, names[draw(m, 3)], values[draw(m, 3)]);
    }
    else if (chance < 11) {
        say(m, c, kStatementPrepare, "p", shapes[draw(m, 4)]);
    }
    else if (chance < 18) {
        say(m, c, kStatementExecute, c->prepared != NULL ? "p" : "q", "");
    }
    else if (chance < 20) {
        say(m, c, kStatementDeallocate, "q", "");
    }
    else if (c->state == kSessionInTransaction && chance < 36) {
        say(m, c, ends[draw(m, 3)], "", "");
    }
    else if (chance < 34) {
        say(m, c, chance < 32 ? kStatementBegin : kStatementBeginRead, "", "");
    }
    else {
        say(m, c, chance < 46 ? kStatementRead : kStatementWrite, "", "");
    }
}

/* ---- orders ---- */

/* Returns the configuration: the keys' teams, one closed route. */
static Document *
document_of(Model *m)
{
    Document *d = document_new(++m->version);
    DocumentRoute *r = g_new0(DocumentRoute, 1);
    DocumentDatabase *db = g_new0(DocumentDatabase, 1);

    r->host = g_strdup("h");
    r->database = g_strdup("db");
    r->timeout_us = kTimeoutMs * kUsPerMs;
    r->target_latency_us = kTimeoutMs * kUsPerMs;
    r->max_staleness_us = 1000 * kUsPerMs;
    g_hash_table_insert(d->routes, r->host, r);
    db->name = g_strdup("db");
    db->max_connections = 4;
    g_hash_table_insert(d->databases, db->name, db);
    d->transaction_idle_us = 150 * kUsPerMs;
    for (int i = 0; i < kTeams; i++) {
        DocumentTeam *t = g_new0(DocumentTeam, 1);
        t->name = g_strdup(kTeamNames[i]);
        t->rate_milli_per_s = t->burst_milli = 1000000;
        g_hash_table_insert(d->teams, t->name, t);
        for (int k = 0; k < kKeys; k++) {
            if (m->holders[k] == i) {
                g_hash_table_insert(d->keys, g_strdup(kKeyNames[k]), t);
            }
        }
    }
    return d;
}

static void
on_step(void *ctx)
{
    Model *m = ctx;
    GPtrArray *links = m->l->links;

    deliver_packets(m);
    for (guint i = 0; i < links->len && m->l->now_us >= m->paused_until_us;
         i++) {
        answer_commands(m, g_ptr_array_index(links, i));
    }
}

/* Breaks a random connection to a server, or the link to the owner. */
static void
break_something(Model *m)
{
    GPtrArray *links = m->l->links;

    if (draw(m, 4) == 0) {
        g_string_append(m->steps, "the link to the owner breaks\n");
        g_queue_clear_full(&m->packets, packet_free);
        gateway_peer_down(m->l->gateway, m->l->now_us, m->owner);
        gateway_peer_down(m->l->gateway, m->l->now_us, "e0");
        return;
    }
    if (links->len == 0) {
        return;
    }
    LoneLink *link = g_ptr_array_index(links, draw(m, links->len));
    if (link->owner != NULL) {
        g_string_append(m->steps, "a connection breaks\n");
        connection_ends(m, link);
        link->events->down(link->owner, m->l->now_us, kCodeOther);
    }
}

static void
random_step(Model *m)
{
    uint32_t chance = draw(m, 100);

    if (chance < 60) {
        caller_step(m, &m->callers[draw(m, kCallers)]);
    }
    else if (chance < 85) {
        uint32_t ms = 1 + draw(m, 12);
        g_string_append_printf(m->steps, "run %u ms\n", ms);
        lone_gateway_run(m->l, ms);
    }
    else if (chance < 90) {
        break_something(m);
    }
    else if (chance < 94) {
        int key = (int)draw(m, kKeys);
        m->holders[key] = (int)draw(m, kTeams + 1) - 1;
        g_string_append_printf(m->steps, "key %d: team %d\n", key,
                               m->holders[key]);
        lone_gateway_configure(m->l, document_of(m));
    }
    else if (chance < 96) {
        m->primary = 1 - m->primary;
        g_string_append_printf(m->steps, "primary %u\n", m->primary);
        m->l->epoch++;
        lone_gateway_primary(m->l, "db", kServerIds[m->primary], FALSE);
    }
    else {
        m->paused_until_us = m->l->now_us + draw(m, 200) * kUsPerMs;
        g_string_append(m->steps, "the servers pause\n");
    }
}

/* Ends the process in order: each statement is answered in time. */
static void
stop(Model *m)
{
    Gateway *g = m->l->gateway;

    g_string_append(m->steps, "stop\n");
    gateway_drain(g, m->l->now_us, kGraceMs * kUsPerMs);
    for (uint32_t ms = 0;
         ms < kGraceUsedMs && !gateway_drained(g, m->l->now_us); ms++) {
        if (draw(m, 4) == 0) {
            caller_step(m, &m->callers[draw(m, kCallers)]);
        }
        lone_gateway_run(m->l, 1);
    }
    for (uint32_t i = 0; i < kCallers; i++) {
        if (m->callers[i].open != 0) {
            violated(m, "a stop leaves a statement without an answer",
                     m->callers[i].open);
        }
    }
}

/* Waits until all statements are answered. */
static void
wait_for_answers(Model *m)
{
    uint32_t open = 1;

    m->paused_until_us = 0;
    for (uint32_t ms = 0; ms < kEndMs && open != 0; ms += 20) {
        lone_gateway_run(m->l, 20);
        open = 0;
        for (uint32_t i = 0; i < kCallers; i++) {
            open = MAX(open, m->callers[i].open);
        }
    }
    if (open != 0) {
        violated(m, "a statement has no answer", open);
    }
}

static void
model_start(Model *m, uint32_t seed)
{
    static const char *const own[] = {"e0 a", NULL};
    static const char *const other[] = {"b0 b", "e0 a", NULL};
    static const LoneHooks hooks = {on_command, on_closed, on_frame,
                                    on_answer,  on_close,  on_step};
    GatewayConfig config = {.failure_domain = "a"};
    Record unused = {0};
    gboolean never = FALSE;

    m->seed = seed;
    m->rand = g_rand_new_with_seed(seed);
    m->steps = g_string_new(NULL);
    m->sides = g_ptr_array_new_with_free_func(side_free);
    m->records = g_array_new(FALSE, FALSE, sizeof(Record));
    m->transactions = g_array_new(FALSE, FALSE, sizeof(gboolean));
    g_array_append_val(m->records, unused);
    g_array_append_val(m->transactions, never);
    uint32_t mode = draw(m, 3);
    m->owner = mode == 1 ? "b0" : "e0";
    m->l = lone_gateway_new(&config, mode == 1 ? other : own, document_of(m));
    m->l->hooks = &hooks;
    m->l->ctx = m;
    m->l->peers_down = mode == 2;
    for (size_t i = 0; i < G_N_ELEMENTS(kServerIds); i++) {
        lone_gateway_server(m->l, kServerIds[i], mode == 1 ? "b" : "a", 1, 0);
    }
    lone_gateway_primary(m->l, "db", kServerIds[0], FALSE);
    lone_gateway_run(m->l, 40);
    for (uint32_t i = 0; i < kCallers; i++) {
        Caller *c = &m->callers[i];
        c->number = i;
        c->values = values_new();
        c->writes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        open_session(m, c);
    }
}

static void
model_end(Model *m)
{
    for (uint32_t i = 0; i < kCallers; i++) {
        close_session(m, &m->callers[i]);
        g_hash_table_destroy(m->callers[i].values);
        g_array_unref(m->callers[i].writes);
    }
    m->l->hooks = NULL;
    lone_gateway_free(m->l);
    g_ptr_array_unref(m->sides);
    g_queue_clear_full(&m->packets, packet_free);
    g_array_unref(m->records);
    g_array_unref(m->transactions);
    g_string_free(m->steps, TRUE);
    g_rand_free(m->rand);
    g_free(m->failure);
}

/* What the orders of a run have in them. */
typedef struct {
    uint64_t statements;
    uint64_t commits;
} Totals;

/* Plays one order.  Returns whether it kept all rules; the steps of one that
 * did not are printed. */
static gboolean
play(uint32_t seed, Totals *totals)
{
    Model *m = g_new0(Model, 1);
    uint32_t steps = 0;

    model_start(m, seed);
    while (steps < kSteps && m->failure == NULL) {
        random_step(m);
        steps++;
    }
    if (m->failure == NULL && draw(m, 2) == 0) {
        stop(m);
    }
    else if (m->failure == NULL) {
        wait_for_answers(m);
    }
    gboolean kept = m->failure == NULL;
    if (!kept) {
        g_print("\norder %u, step %u: %s\n%s", seed, steps, m->failure,
                m->steps->str);
    }
    totals->statements += m->records->len - 1;
    totals->commits += m->commits;
    model_end(m);
    g_free(m);
    return kept;
}

/* Returns a number of the environment, or the default. */
static uint32_t
number_of(const char *name, uint32_t otherwise)
{
    const char *text = g_getenv(name);
    return text == NULL || text[0] == '\0' ? otherwise
                                           : (uint32_t)strtoul(text, NULL, 10);
}

static void
random_orders_keep_the_rules(void)
{
    uint32_t first = number_of("SAPPHIREWEIR_MODEL_SEED", 1);
    uint32_t orders = number_of("SAPPHIREWEIR_MODEL_ORDERS", kOrders);
    uint32_t failures = 0;
    Totals totals = {0};

    for (uint32_t i = 0; i < orders && failures < kFailuresPrinted; i++) {
        failures += !play(first + i, &totals);
    }
    CU_ASSERT_EQUAL(failures, 0);
    /* Guards against a model in which nothing happens. */
    CU_ASSERT(failures > 0 || (totals.statements > (uint64_t)orders * 10 &&
                               totals.commits > (uint64_t)orders));
}

/* ---- promotions ---- */

/* Causes a random fault at the servers of the first database or at the
 * instances, or ends one. */
static void
promotion_step(FleetSim *sim, GRand *rand, GString *steps)
{
    uint32_t chance = g_rand_int(rand) % 12;
    uint32_t any = g_rand_int(rand) % kFleetSimServersPerDatabase;
    int primary = fleet_sim_primary(sim, 0);
    int leader = fleet_sim_control_leader(sim);
    uint32_t run_ms = 300 + g_rand_int(rand) % 2700;

    g_string_append_printf(steps, "step %u, server %u, primary %d, %u ms\n",
                           chance, any, primary, run_ms);
    if (chance < 3) {
        fleet_sim_pause_replication(sim, 0, any, TRUE);
    }
    else if (chance < 4) {
        fleet_sim_pause_replication(sim, 0, any, FALSE);
    }
    else if (chance < 8 && primary >= 0) {
        fleet_sim_set_server_running(sim, 0, (uint32_t)primary, FALSE, FALSE);
    }
    else if (chance < 10) {
        fleet_sim_set_server_running(sim, 0, any, TRUE, FALSE);
    }
    else if (chance < 11 && leader >= 0) {
        fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
        fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
    }
    else {
        fleet_sim_restart_entry(sim, any);
    }
    fleet_sim_run(sim, run_ms);
}

/* Plays one order in the simulated fleet with synchronous replication, after
 * which all servers run. */
static gboolean
play_promotions(uint32_t seed)
{
    FleetSim *sim = fleet_sim_new(seed);
    GRand *rand = g_rand_new_with_seed(seed);
    GString *steps = g_string_new(NULL);

    fleet_sim_enable_sync_replication(sim);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 1000);
    for (uint32_t i = 0; i < kPromotionSteps; i++) {
        promotion_step(sim, rand, steps);
    }
    for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
        fleet_sim_pause_replication(sim, 0, i, FALSE);
        fleet_sim_set_server_running(sim, 0, i, TRUE, FALSE);
    }
    fleet_sim_run(sim, 5000);
    fleet_sim_quiesce(sim);
    const FleetSimReport *r = fleet_sim_check(sim);
    gboolean kept = r->lost + r->duplicated + r->false_rejections + r->stale +
                        r->acked_by_old_primary + r->wrong_team +
                        r->wrong_state + r->outside_transaction +
                        r->rolled_back ==
                    0;
    if (!kept) {
        g_print("\npromotions, order %u: lost %" G_GUINT64_FORMAT
                ", rolled back %" G_GUINT64_FORMAT
                ", acknowledged by an old primary %" G_GUINT64_FORMAT
                ", false rejections %" G_GUINT64_FORMAT "\n%s",
                seed, r->lost, r->rolled_back, r->acked_by_old_primary,
                r->false_rejections, steps->str);
    }
    g_string_free(steps, TRUE);
    g_rand_free(rand);
    fleet_sim_free(sim);
    return kept;
}

/* Random crashes of primaries, replicas that fall behind and restarts of
 * instances: no acknowledged commit is forgotten by any number of changes. */
static void
random_promotions_keep_commits(void)
{
    uint32_t first = number_of("SAPPHIREWEIR_MODEL_SEED", 1);
    uint32_t orders = number_of("SAPPHIREWEIR_MODEL_ORDERS", kOrders);
    uint32_t failures = 0;

    orders = (orders + kOrdersPerPromotions - 1) / kOrdersPerPromotions;
    for (uint32_t i = 0; i < orders && failures < kFailuresPrinted; i++) {
        failures += !play_promotions(first + i);
    }
    CU_ASSERT_EQUAL(failures, 0);
}

void
add_model_suite(void)
{
    CU_pSuite s = CU_add_suite("model", NULL, NULL);
    CU_add_test(s, "random orders keep the rules",
                random_orders_keep_the_rules);
    CU_add_test(s, "random promotions keep commits",
                random_promotions_keep_commits);
}
