#include <string.h>

#include "../support/lone_gateway.h"
#include "core/message.h"
#include "gateway/server_session.h"
#include "suite.h"

/* Session values and prepared statements on the connections to a backend
 * server, which keeps what each connection was told.  The tests guard against
 * statements that run with other values than the caller's, or as another
 * prepared statement than the caller's. */

enum { kUsPerMs = 1000, kUsers = 3, kAnswerMs = 500 };

/* How an instance reaches the server's connections. */
typedef enum {
    kPathDirect,   /* the owner cannot be reached */
    kPathOwned,    /* it owns them */
    kPathBorrowed, /* another instance owns them */
    kPaths,
} Path;

static const char *const kPathNames[kPaths] = {"direct", "owned", "borrowed"};

/* A connection at the server. */
typedef struct {
    GQueue commands; /* CommandCopy, owned */
    GHashTable *values;
    GHashTable *prepared; /* name -> text */
    SessionState state;
    char *user; /* id prefix of the transaction's statements, NULL: none */
} Side;

typedef struct {
    CommandKind kind;
    char *id;
    char *text;
    char *name;
    char *value;
} CommandCopy;

/* What the server does with the next commands of a kind. */
typedef struct {
    CommandKind kind;
    AnswerCode code;    /* kCodeNone: answered as done */
    gboolean runs;      /* it takes effect all the same */
    gboolean lost;      /* the connection is lost instead of the answer */
    SessionState state; /* that the answer names in place of kSessionIdle */
} Fault;

/* A caller, and what was acknowledged to it. */
typedef struct {
    char name; /* first letter of the ids of its statements */
    Session *session;
    GHashTable *values;
    GHashTable *prepared; /* name -> text */
    gboolean in_transaction;
    const char *shape; /* that the open EXECUTE names, NULL: none */
    uint32_t ran;      /* times that the open statement ran */
    uint32_t answers;
    AnswerCode code; /* of the last answer */
} User;

typedef struct {
    LoneGateway *l;
    const char *owner;
    User users[kUsers];
    GPtrArray *sides; /* Side, owned */
    GQueue packets;   /* Sw__Frame, owned */
    Fault fault;
    uint32_t faults;   /* left */
    uint32_t commands; /* that the server got */
    uint32_t ran;      /* statements of callers */
    uint32_t wrong;    /* those with another state than the caller's */
    uint32_t number;   /* of the last statement */
} World;

static GHashTable *
strings_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
strings_put(GHashTable *h, const char *name, const char *value)
{
    g_hash_table_replace(h, g_strdup(name), g_strdup(value));
}

static gboolean
strings_equal(GHashTable *a, GHashTable *b)
{
    GHashTableIter it;
    void *name;
    void *value;

    g_hash_table_iter_init(&it, a);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        if (g_strcmp0(g_hash_table_lookup(b, name), value) != 0) {
            return FALSE;
        }
    }
    return g_hash_table_size(a) == g_hash_table_size(b);
}

/* ---- the server ---- */

static void
command_free(void *data)
{
    CommandCopy *c = data;
    g_free(c->id);
    g_free(c->text);
    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

static void
side_free(void *data)
{
    Side *s = data;
    g_queue_clear_full(&s->commands, command_free);
    g_hash_table_destroy(s->values);
    g_hash_table_destroy(s->prepared);
    g_free(s->user);
    g_free(s);
}

static Side *
side_of(World *w, LoneLink *link)
{
    if (link->model == NULL) {
        Side *s = g_new0(Side, 1);
        s->values = strings_new();
        s->prepared = strings_new();
        link->model = s;
        g_ptr_array_add(w->sides, s);
    }
    return link->model;
}

static void
on_command(void *ctx, LoneLink *link, const ServerCommand *c)
{
    CommandCopy *copy = g_new0(CommandCopy, 1);

    copy->kind = c->kind;
    copy->id = g_strdup(c->id);
    copy->text = g_strdup(c->text);
    copy->name = g_strdup(c->name);
    copy->value = g_strdup(c->value);
    g_queue_push_tail(&side_of(ctx, link)->commands, copy);
}

static void
on_closed(void *ctx, LoneLink *link)
{
    Side *s = side_of(ctx, link);
    g_queue_clear_full(&s->commands, command_free);
    s->state = kSessionIdle;
}

/* Records a statement that runs with another state than its caller's. */
static void
check_statement(World *w, const Side *s, const CommandCopy *c,
                const char *shape)
{
    User *u = &w->users[c->id[0] - 'a'];

    u->ran++;
    w->ran++;
    w->wrong += !strings_equal(s->values, u->values) ||
                g_strcmp0(shape, u->shape) != 0 ||
                (s->state == kSessionInTransaction) != u->in_transaction;
}

/* Runs a caller's statement. */
static void
run_statement(World *w, Side *s, const CommandCopy *c, ServerAnswer *a)
{
    const char *shape = NULL;

    if (g_str_has_prefix(c->text, "EXECUTE ")) {
        char **words = g_strsplit(c->text, " ", 3);
        shape = g_hash_table_lookup(s->prepared, words[1]);
        g_strfreev(words);
        if (shape == NULL) {
            a->code = kCodeNoStatement;
            return;
        }
    }
    check_statement(w, s, c, shape);
    a->tag = "DONE";
    if (strcmp(c->text, "COMMIT") == 0) {
        s->state = kSessionIdle;
    }
}

static void
run_command(World *w, Side *s, const CommandCopy *c, ServerAnswer *a)
{
    switch (c->kind) {
    case kCommandReset:
        g_hash_table_remove_all(s->values);
        g_hash_table_remove_all(s->prepared);
        break;
    case kCommandSet:
        strings_put(s->values, c->name, c->value);
        break;
    case kCommandPrepare:
        strings_put(s->prepared, c->name, c->value);
        break;
    case kCommandBegin:
    case kCommandBeginRead:
        s->state = kSessionInTransaction;
        break;
    case kCommandRollback:
        s->state = kSessionIdle;
        break;
    case kCommandStatement:
        run_statement(w, s, c, a);
        break;
    default:
        break;
    }
}

/* Runs a command, or does what the fault of its kind says.  Returns FALSE if
 * the connection was lost. */
static gboolean
handle_command(World *w, LoneLink *link, const CommandCopy *c)
{
    Side *s = link->model;
    gboolean faulty = w->faults > 0 && w->fault.kind == c->kind;
    ServerAnswer a = {.code_text = "",
                      .detail = "",
                      .position = {1, 1},
                      .position_text = "1.1"};

    w->commands++;
    if (!faulty || w->fault.runs) {
        run_command(w, s, c, &a);
    }
    a.state = s->state;
    if (faulty) {
        w->faults--;
        a.code = w->fault.code;
        a.state = w->fault.state == kSessionIdle ? s->state : w->fault.state;
    }
    if (faulty && w->fault.lost) {
        void *owner = link->owner;
        g_queue_clear_full(&s->commands, command_free);
        s->state = kSessionIdle;
        link->events->down(owner, w->l->now_us, kCodeOther);
        return FALSE;
    }
    link->events->answer(link->owner, w->l->now_us, &a);
    return link->owner != NULL;
}

/* Answers the commands of a connection in order. */
static void
answer_commands(World *w, LoneLink *link)
{
    gboolean open = link->owner != NULL && link->accepted;
    CommandCopy *c;

    while (open &&
           (c = g_queue_pop_head(&side_of(w, link)->commands)) != NULL) {
        open = handle_command(w, link, c);
        command_free(c);
    }
}

/* ---- between instances ---- */

static void
on_frame(void *ctx, const char *to, const Sw__Frame *frame)
{
    World *w = ctx;

    (void)to;
    if (frame->body_case == SW__FRAME__BODY_RELAY_RUN ||
        frame->body_case == SW__FRAME__BODY_RELAY_END ||
        frame->body_case == SW__FRAME__BODY_RELAY_RESULT) {
        g_queue_push_tail(&w->packets, message_copy(frame));
    }
}

static void
frame_free(void *frame)
{
    sw__frame__free_unpacked(frame, NULL);
}

/* Passes frames on.  The instance also plays the owner: results come from it,
 * other frames from the borrower "e0". */
static void
deliver_packets(World *w)
{
    Sw__Frame *f;

    while ((f = g_queue_pop_head(&w->packets)) != NULL) {
        gboolean from_owner = f->body_case == SW__FRAME__BODY_RELAY_RESULT;
        gateway_frame(w->l->gateway, w->l->now_us,
                      from_owner ? w->owner : "e0", f);
        frame_free(f);
    }
}

static void
on_step(void *ctx)
{
    World *w = ctx;

    deliver_packets(w);
    for (guint i = 0; i < w->l->links->len; i++) {
        answer_commands(w, g_ptr_array_index(w->l->links, i));
    }
}

/* ---- callers ---- */

static void
on_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    User *u = caller;

    (void)ctx;
    u->answers++;
    u->code = a->code;
    u->in_transaction = a->state == kSessionInTransaction;
}

static gboolean
on_close(void *ctx, void *caller)
{
    (void)ctx;
    (void)caller;
    return FALSE;
}

/* Sends a statement and returns the code of its answer, which must arrive. */
static AnswerCode
say(World *w, User *u, StatementKind kind, const char *name, const char *value)
{
    static const char *const texts[] = {[kStatementRead] = "READ i",
                                        [kStatementWrite] = "WRITE i d",
                                        [kStatementCommit] = "COMMIT"};
    char id[16];
    uint32_t before = u->answers;

    g_snprintf(id, sizeof(id), "%c%u", u->name, ++w->number);
    Statement st = {.kind = kind,
                    .id = id,
                    .text = kind < G_N_ELEMENTS(texts) && texts[kind] != NULL
                                ? texts[kind]
                                : "",
                    .name = name,
                    .value = value,
                    .prepared_text = value,
                    .arguments = "i"};
    u->shape = kind == kStatementExecute
                   ? g_hash_table_lookup(u->prepared, name)
                   : NULL;
    u->ran = 0;
    session_statement(u->session, w->l->now_us, &st);
    for (uint32_t ms = 0; ms < kAnswerMs && u->answers == before; ms++) {
        lone_gateway_run(w->l, 1);
    }
    CU_ASSERT_EQUAL(u->answers, before + 1);
    if (u->code == kCodeNone && kind == kStatementSet) {
        strings_put(u->values, name, value);
    }
    if (u->code == kCodeNone && kind == kStatementPrepare) {
        strings_put(u->prepared, name, value);
    }
    return u->code;
}

/* Returns a configuration with an open route to the database. */
static Document *
open_route(void)
{
    Document *d = document_new(1);
    DocumentRoute *r = g_new0(DocumentRoute, 1);
    DocumentDatabase *db = g_new0(DocumentDatabase, 1);

    r->host = g_strdup("h");
    r->database = g_strdup("db");
    r->timeout_us = 400 * kUsPerMs;
    r->target_latency_us = 200 * kUsPerMs;
    r->is_public = TRUE;
    g_hash_table_insert(d->routes, r->host, r);
    db->name = g_strdup("db");
    db->max_connections = 4;
    g_hash_table_insert(d->databases, db->name, db);
    d->transaction_idle_us = 1000 * kUsPerMs;
    return d;
}

static World *
world_new(Path path)
{
    static const char *const own[] = {"e0 a", NULL};
    static const char *const other[] = {"b0 b", "e0 a", NULL};
    static const LoneHooks hooks = {on_command, on_closed, on_frame,
                                    on_answer,  on_close,  on_step};
    GatewayConfig config = {.failure_domain = "a"};
    gboolean borrowed = path == kPathBorrowed;
    World *w = g_new0(World, 1);
    AnswerCode code;

    w->owner = borrowed ? "b0" : "e0";
    w->sides = g_ptr_array_new_with_free_func(side_free);
    w->l = lone_gateway_new(&config, borrowed ? other : own, open_route());
    w->l->hooks = &hooks;
    w->l->ctx = w;
    w->l->peers_down = path == kPathDirect;
    lone_gateway_server(w->l, "s0", borrowed ? "b" : "a", 1, UINT64_MAX);
    lone_gateway_primary(w->l, "db", "s0", FALSE);
    lone_gateway_run(w->l, 40);
    for (uint32_t i = 0; i < kUsers; i++) {
        User *u = &w->users[i];
        u->name = (char)('a' + i);
        u->values = strings_new();
        u->prepared = strings_new();
        u->session =
            session_open(w->l->gateway, w->l->now_us, u, "h", "", &code);
        CU_ASSERT_PTR_NOT_NULL_FATAL(u->session);
    }
    return w;
}

static void
world_free(World *w)
{
    for (uint32_t i = 0; i < kUsers; i++) {
        session_close(w->users[i].session, w->l->now_us);
        g_hash_table_destroy(w->users[i].values);
        g_hash_table_destroy(w->users[i].prepared);
    }
    w->l->hooks = NULL;
    g_queue_clear_full(&w->packets, frame_free);
    lone_gateway_free(w->l);
    g_ptr_array_unref(w->sides);
    g_free(w);
}

/* ---- prepared statements ---- */

/* Two statements that two callers, or one, prepare are never one statement at
 * the server: the names there were a 64-bit FNV-1a hash, which these texts
 * share, and the second text ran as the first. */
static void
prepared_statements_keep_their_text(void)
{
    static const char *const texts[] = {"8yn0iYCKYHlIj4-BwPqk",
                                        "GReLUrM4wMqfg9yzV3KQ"};
    static const struct {
        const char *name;
        gboolean transaction;
        gboolean two_sessions;
    } cases[] = {
        {"statements of a session", FALSE, FALSE},
        {"a transaction", TRUE, FALSE},
        {"two sessions", FALSE, TRUE},
        {"transactions of two sessions", TRUE, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases) * kPaths; i++) {
        Path path = (Path)(i % kPaths);
        World *w = world_new(path);
        gboolean transaction = cases[i / kPaths].transaction;

        for (uint32_t k = 0; k < 2; k++) {
            User *u = &w->users[cases[i / kPaths].two_sessions ? k : 0];
            char name[] = {'p', (char)('0' + k), '\0'};
            say(w, u, kStatementPrepare, name, texts[k]);
            if (transaction && !u->in_transaction) {
                say(w, u, kStatementBegin, "", "");
            }
            CU_ASSERT_EQUAL(say(w, u, kStatementExecute, name, ""), kCodeNone);
            if (transaction && (k == 1 || cases[i / kPaths].two_sessions)) {
                CU_ASSERT_EQUAL(say(w, u, kStatementCommit, "", ""),
                                kCodeNone);
            }
        }
        if (w->wrong > 0) {
            g_print("\n%s, %s: %u of %u statements\n", cases[i / kPaths].name,
                    kPathNames[path], w->wrong, w->ran);
        }
        CU_ASSERT_EQUAL(w->wrong, 0);
        world_free(w);
    }
}

/* A name that is known for another text does not count as the needed
 * statement: outside of a transaction all is dropped first, inside of one the
 * statement cannot run. */
static void
names_alone_are_not_trusted(void)
{
    static const ServerAnswer done = {.code = kCodeNone};
    ServerSession s = {0};
    CommandBatch needed = {0};
    CommandBatch batch = {0};
    ServerCommand prepare = {
        .kind = kCommandPrepare, .name = "p", .value = "x"};

    command_batch_add(&needed, prepare);
    CU_ASSERT(server_session_add(&s, &needed, FALSE, &batch));
    CU_ASSERT(server_session_answered(&s, &done, kSessionIdle));
    CU_ASSERT(server_session_matches(&s, &needed, FALSE));
    needed.commands[0].value = "y";
    CU_ASSERT_FALSE(server_session_matches(&s, &needed, FALSE));
    CU_ASSERT_FALSE(server_session_matches(&s, &needed, TRUE));
    command_batch_clear(&batch);
    CU_ASSERT_FALSE(server_session_add(&s, &needed, TRUE, &batch));
    CU_ASSERT_EQUAL(batch.count, 0);
    CU_ASSERT(server_session_add(&s, &needed, FALSE, &batch));
    CU_ASSERT_EQUAL_FATAL(batch.count, 2);
    CU_ASSERT_EQUAL(batch.commands[0].kind, kCommandReset);
    CU_ASSERT_EQUAL(batch.commands[1].kind, kCommandPrepare);
    server_session_clear(&s);
    g_free(needed.commands);
    g_free(batch.commands);
}

/* ---- session values ---- */

/* Runs a single statement and checks that its answer is true. */
static void
run_single(World *w, User *u, StatementKind kind, const char *name)
{
    AnswerCode code = say(w, u, kind, name, "");

    CU_ASSERT_EQUAL(u->ran, code == kCodeNone);
    CU_ASSERT_NOT_EQUAL(code, kCodeInDoubt);
    CU_ASSERT_FALSE(u->in_transaction);
}

/* Runs a transaction in which a value is set, unless the caller is the last
 * one, which sets none. */
static void
run_transaction(World *w, User *u, const char *name)
{
    say(w, u, kStatementBegin, "", "");
    say(w, u, kStatementWrite, "", "");
    if (u->in_transaction && u != &w->users[kUsers - 1]) {
        say(w, u, kStatementSet, "zone", u->name == 'a' ? "east" : "west");
        say(w, u, kStatementExecute, name, "");
    }
    if (u->in_transaction) {
        say(w, u, kStatementCommit, "", "");
    }
    if (u->code != kCodeNone) {
        CU_ASSERT_NOT_EQUAL(u->code, kCodeInDoubt);
        say(w, u, kStatementRollback, "", "");
    }
}

/* Lets all callers run statements, with faults of the server. */
static void
run_all(World *w, const Fault *fault, uint32_t faults)
{
    static const StatementKind kinds[] = {kStatementRead, kStatementWrite,
                                          kStatementExecute};

    for (uint32_t i = 0; i < kUsers * G_N_ELEMENTS(kinds); i++) {
        User *u = &w->users[i % kUsers];
        w->fault = *fault;
        w->faults = faults;
        run_single(w, u, kinds[i / kUsers], "p");
    }
    for (uint32_t i = 0; i < kUsers; i++) {
        w->faults = faults;
        run_transaction(w, &w->users[i], "p");
    }
    w->faults = 0;
}

/* A statement ran with another caller's values, or without its own, if the
 * server had rejected the RESET or SET sent ahead of it.  No rejection or lost
 * answer may do that, on any path, and the callers learn the truth. */
static void
rejected_setups_stop_the_statement(void)
{
    static const CommandKind kinds[] = {kCommandReset, kCommandSet,
                                        kCommandPrepare, kCommandBegin,
                                        kCommandRollback};
    static const Fault faults[] = {
        {.code = kCodeBusy},
        {.code = kCodeFailed},
        {.code = kCodeFailed, .runs = TRUE},
        {.code = kCodeTimeout, .runs = TRUE},
        {.code = kCodeMalformed},
        {.code = kCodeOther},
        {.code = kCodeNoStatement},
        {.runs = TRUE, .state = kSessionInTransaction},
        {.code = kCodeMalformed, .state = kSessionFailed},
        {.lost = TRUE},
        {.lost = TRUE, .runs = TRUE},
    };
    static const uint32_t counts[] = {1, 2, 1000};
    static const uint32_t cases =
        G_N_ELEMENTS(kinds) * G_N_ELEMENTS(faults) * G_N_ELEMENTS(counts);

    for (uint32_t i = 0; i < cases * kPaths; i++) {
        Path path = (Path)(i / cases);
        uint32_t count = counts[i % cases % G_N_ELEMENTS(counts)];
        uint32_t k = i % cases / G_N_ELEMENTS(counts);
        Fault fault = faults[k % G_N_ELEMENTS(faults)];
        World *w = world_new(path);

        fault.kind = kinds[k / G_N_ELEMENTS(faults)];
        for (uint32_t u = 0; u < kUsers; u++) {
            say(w, &w->users[u], kStatementPrepare, "p", u == 0 ? "x" : "y");
        }
        say(w, &w->users[0], kStatementSet, "zone", "north");
        say(w, &w->users[1], kStatementSet, "zone", "south");
        run_all(w, &fault, 0);
        run_all(w, &fault, count);
        lone_gateway_run(w->l, 1000);
        CU_ASSERT_EQUAL(w->wrong, 0);
        if (w->wrong > 0) {
            g_print("%s, kind %d, fault %u, %u times: %u of %u\n",
                    kPathNames[path], fault.kind,
                    k % (uint32_t)G_N_ELEMENTS(faults), count, w->wrong,
                    w->ran);
        }
        /* Once the server works again, so do the sessions. */
        for (uint32_t u = 0; u < kUsers; u++) {
            CU_ASSERT_EQUAL(say(w, &w->users[u], kStatementWrite, "", ""),
                            kCodeNone);
        }
        CU_ASSERT_EQUAL(w->wrong, 0);
        world_free(w);
    }
}

/* A server that says that a prepared statement is not known has dropped what
 * it acknowledged: values as well as prepared statements are set up again. */
static void
dropped_state_is_set_up_again(void)
{
    for (uint32_t i = 0; i < kPaths * 2; i++) {
        World *w = world_new((Path)(i / 2));
        gboolean transaction = i % 2 == 1;
        User *u = &w->users[0];

        say(w, u, kStatementSet, "zone", "north");
        say(w, u, kStatementPrepare, "p", "x");
        if (transaction) {
            say(w, u, kStatementBegin, "", "");
        }
        CU_ASSERT_EQUAL(say(w, u, kStatementExecute, "p", ""), kCodeNone);
        for (guint k = 0; k < w->sides->len; k++) {
            Side *s = g_ptr_array_index(w->sides, k);
            g_hash_table_remove_all(s->values);
            g_hash_table_remove_all(s->prepared);
        }
        CU_ASSERT_EQUAL(say(w, u, kStatementExecute, "p", ""), kCodeNone);
        CU_ASSERT_EQUAL(w->wrong, 0);
        CU_ASSERT_EQUAL(u->in_transaction, transaction);
        world_free(w);
    }
}

/* A connection that has the session's state gets the statement at once. */
static void
known_state_is_not_set_up_again(void)
{
    for (uint32_t path = 0; path < kPaths; path++) {
        World *w = world_new((Path)path);
        User *u = &w->users[0];

        say(w, u, kStatementSet, "zone", "north");
        say(w, u, kStatementPrepare, "p", "x");
        CU_ASSERT_EQUAL(say(w, u, kStatementExecute, "p", ""), kCodeNone);
        CU_ASSERT_EQUAL(w->commands, 3);
        CU_ASSERT_EQUAL(say(w, u, kStatementExecute, "p", ""), kCodeNone);
        CU_ASSERT_EQUAL(say(w, u, kStatementWrite, "", ""), kCodeNone);
        CU_ASSERT_EQUAL(w->commands, 5);
        say(w, u, kStatementBegin, "", "");
        CU_ASSERT_EQUAL(say(w, u, kStatementExecute, "p", ""), kCodeNone);
        CU_ASSERT_EQUAL(say(w, u, kStatementCommit, "", ""), kCodeNone);
        CU_ASSERT_EQUAL(w->commands, 8);
        CU_ASSERT_EQUAL(w->wrong, 0);
        world_free(w);
    }
}

void
add_session_setup_suite(void)
{
    CU_pSuite s = CU_add_suite("session setup", NULL, NULL);
    CU_add_test(s, "prepared statements keep their text",
                prepared_statements_keep_their_text);
    CU_add_test(s, "names alone are not trusted", names_alone_are_not_trusted);
    CU_add_test(s, "rejected setups stop the statement",
                rejected_setups_stop_the_statement);
    CU_add_test(s, "dropped state is set up again",
                dropped_state_is_set_up_again);
    CU_add_test(s, "known state is not set up again",
                known_state_is_not_set_up_again);
}
