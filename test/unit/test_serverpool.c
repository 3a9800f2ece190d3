#include <string.h>

#include "gateway/gateway.h"
#include "policy/admission.h"
#include "suite.h"

/* The owner of a backend server, driven by messages of borrowers. */

enum { kBase = 1000000, kMs = 1000, kLinks = 16 };

/* A gateway whose server and peers are arrays. */
typedef struct {
    Gateway *gateway;
    const ServerEvents *events;
    void *owners[kLinks]; /* of the links, by number; NULL: closed */
    uint32_t links, accepted;
    GString *sent; /* ids of the statements in the order of sending */
    GQueue busy;   /* numbers of links with an unanswered statement */
    uint32_t rejected, admitted;
    uint32_t setups; /* commands that set up a session's state */
} Owner;

static uint32_t route_priority; /* of the decoded document */
static uint64_t idle_us;

/* Decodes a document with two routes, of which one may have a priority. */
static Document *
decode(const uint8_t *text, size_t bytes)
{
    (void)bytes;
    Document *d = document_new(text[0]);
    DocumentDatabase *database = g_new0(DocumentDatabase, 1);
    DocumentRoute *route = g_new0(DocumentRoute, 1);

    d->transaction_idle_us = idle_us;
    database->name = g_strdup("d");
    database->max_connections = 10;
    g_hash_table_insert(d->databases, database->name, database);
    route->host = g_strdup("host");
    route->database = g_strdup("d");
    route->priority = route_priority;
    g_hash_table_insert(d->routes, route->host, route);
    return d;
}

static void *
server_open(void *ctx, const ServerEvents *events, void *owner,
            const char *address, const char *database, const char *team,
            const char *server_id)
{
    Owner *o = ctx;
    (void)address, (void)database, (void)team, (void)server_id;
    o->events = events;
    o->owners[++o->links] = owner;
    return GUINT_TO_POINTER(o->links);
}

static void
server_send(void *ctx, void *link, const ServerCommand *commands, size_t count)
{
    Owner *o = ctx;
    const ServerCommand *last = &commands[count - 1];
    g_string_append(o->sent, last->id == NULL ? "" : last->id);
    for (size_t i = 0; i < count; i++) {
        g_queue_push_tail(&o->busy, link);
        o->setups += commands[i].kind == kCommandSet;
    }
}

static void
server_close(void *ctx, void *link)
{
    ((Owner *)ctx)->owners[GPOINTER_TO_UINT(link)] = NULL;
}

static void
peer_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Owner *o = ctx;
    (void)to;
    if (frame->body_case == SW__FRAME__BODY_RELAY_RESULT) {
        o->rejected +=
            frame->relay_result->outcome == SW__RELAY_OUTCOME__RELAY_NOT_RUN;
        o->admitted = frame->relay_result->admitted;
    }
}

static void
add_peer(void *ctx, const char *address)
{
    (void)ctx, (void)address;
}

/* Reports the server with a number of slots. */
static void
report_server(Owner *o, uint32_t slots, uint64_t sequence)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate directory = SW__DIRECTORY_UPDATE__INIT;
    Sw__ServerRecord server = SW__SERVER_RECORD__INIT;
    Sw__ServerRecord *servers[] = {&server};

    server.id = "s";
    server.database = "d";
    server.address = "a";
    server.failure_domain = "0";
    server.slots = slots;
    server.sequence = sequence;
    directory.full = TRUE;
    directory.n_servers = 1;
    directory.servers = servers;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &directory;
    gateway_frame(o->gateway, kBase, "c0", &frame);
}

static Owner *
owner_new(uint32_t priority, uint32_t slots)
{
    Owner *o = g_new0(Owner, 1);
    GatewayPort port = {o,           NULL,        NULL,
                        server_open, server_send, server_close,
                        peer_send,   add_peer,    NULL};
    GatewayConfig config = {.id = "e0",
                            .failure_domain = "0",
                            .link_bytes_per_s = 1,
                            .decode = decode};
    uint8_t version = 1;
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate document = SW__DOCUMENT_UPDATE__INIT;
    Sw__EntryGrant grant = SW__ENTRY_GRANT__INIT;

    route_priority = priority;
    o->sent = g_string_new(NULL);
    o->gateway = gateway_new(&config, &port);
    gateway_control_add(o->gateway, kBase, "c0");
    document.version = version;
    document.text = (ProtobufCBinaryData){1, &version};
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = &document;
    gateway_frame(o->gateway, kBase, "c0", &frame);
    report_server(o, slots, 0);
    /* No work starts before a list of evacuated domains is known. */
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    grant.term = 1;
    grant.lease_us = 1000000;
    grant.revision = 1;
    frame.entry_grant = &grant;
    gateway_frame(o->gateway, kBase, "c0", &frame);
    return o;
}

static void
owner_free(Owner *o)
{
    gateway_free(o->gateway);
    g_string_free(o->sent, TRUE);
    g_queue_clear(&o->busy);
    g_free(o);
}

/* Delivers a borrower's statement, named by a letter, for a session with a
 * value or none, NULL.  level: of the work, or kAdmissionNone for an older
 * sender. */
static void
run_with(Owner *o, uint64_t now_us, char name, int level, uint64_t target_ms,
         gboolean transaction, char *value)
{
    char id[2] = {name, '\0'};
    Sw__RelayCommand set = SW__RELAY_COMMAND__INIT;
    Sw__RelayCommand command = SW__RELAY_COMMAND__INIT;
    Sw__RelayCommand *commands[] = {&set, &command};
    Sw__RelayRun m = SW__RELAY_RUN__INIT;
    Sw__Frame frame = SW__FRAME__INIT;

    set.kind = kCommandSet;
    set.name = "zone";
    set.value = value;
    command.kind = kCommandStatement;
    command.id = id;
    m.relay = (uint64_t)name;
    m.server = "s";
    m.team = "t";
    m.n_commands = value == NULL ? 1 : 2;
    m.commands = value == NULL ? &commands[1] : commands;
    m.target_us = target_ms * kMs;
    m.due_us = 5000 * kMs;
    m.patience_us = 5000 * kMs;
    m.single = !transaction;
    m.step =
        level == kAdmissionNone ? 0 : 1 + (uint32_t)level * kAdmissionSteps;
    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &m;
    gateway_frame(o->gateway, now_us, "e1", &frame);
}

static void
run(Owner *o, uint64_t now_us, char name, int level, uint64_t target_ms,
    gboolean transaction)
{
    run_with(o, now_us, name, level, target_ms, transaction, NULL);
}

/* Accepts all connections and answers the oldest open command. */
static void
answer(Owner *o, uint64_t now_us, SessionState state)
{
    static const ServerAnswer done = {.tag = "READ"};
    ServerAnswer a = done;
    gpointer link = g_queue_pop_head(&o->busy);

    a.state = state;
    if (link != NULL && o->owners[GPOINTER_TO_UINT(link)] != NULL) {
        o->events->answer(o->owners[GPOINTER_TO_UINT(link)], now_us, &a);
    }
}

static void
accept_links(Owner *o, uint64_t now_us)
{
    while (o->accepted < o->links) {
        o->accepted++;
        if (o->owners[o->accepted] != NULL) {
            o->events->ready(o->owners[o->accepted], now_us);
        }
    }
}

/* Guards against work that is sent in the order of objectives only, and
 * against a change for configurations without priorities. */
static void
urgent_work_of_borrowers_goes_first(void)
{
    static const struct {
        uint32_t priority; /* in the configuration */
        const char *sent;
    } cases[] = {
        {0, "abcdef"}, /* by objective */
        {2, "efabcd"}, /* e of level 0, f of an older sender, others level 4 */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Owner *o = owner_new(cases[i].priority, 1);
        uint64_t now_us = kBase + kMs;
        run(o, now_us, 'a', 4, 400, FALSE);
        run(o, now_us, 'b', 4, 410, FALSE);
        run(o, now_us, 'c', 4, 420, FALSE);
        run(o, now_us, 'd', 4, 430, FALSE);
        run(o, now_us, 'e', 0, 500, FALSE);
        run(o, now_us, 'f', kAdmissionNone, 510, FALSE);
        for (uint32_t k = 0; k < 16; k++) {
            now_us += 5 * kMs;
            accept_links(o, now_us);
            answer(o, now_us, kSessionIdle);
        }
        CU_ASSERT_STRING_EQUAL(o->sent->str, cases[i].sent);
        CU_ASSERT_EQUAL(o->rejected, 0);
        CU_ASSERT_EQUAL(o->admitted,
                        cases[i].priority == 0 ? 0 : kAdmissionAll);
        owner_free(o);
    }
}

/* Delivers a borrower's message that a loan has ended. */
static void
end_loan(Owner *o, uint64_t now_us, char name)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayEnd end = SW__RELAY_END__INIT;

    end.relay = (uint64_t)name;
    frame.body_case = SW__FRAME__BODY_RELAY_END;
    frame.relay_end = &end;
    gateway_frame(o->gateway, now_us, "e1", &frame);
}

/* Guards against work that is run for a caller that has gone. */
static void
work_of_a_gone_caller_leaves_the_queue(void)
{
    Owner *o = owner_new(2, 1);
    uint64_t now_us = kBase + kMs;

    run(o, now_us, 'a', 4, 400, FALSE);
    run(o, now_us, 'b', 4, 410, FALSE);
    run(o, now_us, 'c', 4, 420, FALSE);
    end_loan(o, now_us, 'b');
    for (uint32_t k = 0; k < 8; k++) {
        now_us += 5 * kMs;
        accept_links(o, now_us);
        answer(o, now_us, kSessionIdle);
    }
    CU_ASSERT_STRING_EQUAL(o->sent->str, "ac");
    owner_free(o);
}

/* Guards against idle transactions that hold all connections (4 of 7 may be
 * held), and against an owner that ends one before the configured limit. */
static void
idle_transactions_leave_connections_to_others(void)
{
    Owner *o;
    uint64_t now_us = kBase + kMs;

    idle_us = 12000 * kMs;
    o = owner_new(2, 8);
    for (char name = 'a'; name <= 'f'; name++) {
        run(o, now_us, name, 4, 4000, TRUE);
        now_us += kMs;
        accept_links(o, now_us);
        answer(o, now_us, kSessionInTransaction);
    }
    run(o, now_us, 'x', 4, 4000, FALSE);
    accept_links(o, now_us + kMs);
    CU_ASSERT_STRING_EQUAL(o->sent->str, "abcdx");
    answer(o, now_us + kMs, kSessionIdle);
    /* The loans are still open shortly before the limit. */
    gateway_tick(o->gateway, now_us + idle_us);
    for (uint32_t i = 1; i <= 4; i++) {
        CU_ASSERT_PTR_NOT_NULL(o->owners[i]);
    }
    CU_ASSERT_EQUAL(o->busy.length, 0);
    idle_us = 0;
    owner_free(o);
}

/* Guards against setups of sessions' state that count as statements: a server
 * with one slot has room for two of these beside one of those. */
static void
setups_leave_room_for_statements(void)
{
    Owner *o = owner_new(2, 3);
    uint64_t now_us = kBase + kMs;

    for (char name = 'a'; name <= 'c'; name++) {
        run(o, now_us, name, 4, 400, FALSE);
    }
    accept_links(o, now_us);
    for (uint32_t k = 0; k < 3; k++) {
        answer(o, now_us, kSessionIdle);
    }
    report_server(o, 1, 1);
    run_with(o, now_us, 'f', 4, 400, FALSE, "north");
    CU_ASSERT_EQUAL(o->setups, 1);
    run(o, now_us, 'd', 4, 400, FALSE);
    run(o, now_us, 'e', 4, 400, FALSE);
    CU_ASSERT_STRING_EQUAL(o->sent->str, "abcde");
    owner_free(o);
}

/* A borrower that continues a loan whose statement still waits for room must
 * not make the owner send it twice. */
static void
a_ready_statement_that_is_replaced_runs_once(void)
{
    Owner *o = owner_new(2, 3);
    uint64_t now_us = kBase + kMs;
    static const ServerAnswer done = {.state = kSessionIdle};
    Sw__RelayCommand command = SW__RELAY_COMMAND__INIT;
    Sw__RelayCommand *commands[] = {&command};
    Sw__RelayRun m = SW__RELAY_RUN__INIT;
    Sw__Frame frame = SW__FRAME__INIT;

    for (char name = 'a'; name <= 'c'; name++) {
        run(o, now_us, name, 4, 400, FALSE);
    }
    accept_links(o, now_us);
    for (uint32_t k = 0; k < 3; k++) {
        answer(o, now_us, kSessionIdle);
    }
    report_server(o, 1, 1);
    run(o, now_us, 'd', 4, 400, FALSE);
    run(o, now_us, 'e', 4, 400, FALSE);
    run_with(o, now_us, 'f', 4, 400, FALSE, "north");
    guint link = GPOINTER_TO_UINT(g_queue_pop_tail(&o->busy));
    o->events->answer(o->owners[link], now_us, &done);
    command.kind = kCommandStatement;
    command.id = "g";
    m.relay = 'f';
    m.server = "s";
    m.team = "t";
    m.n_commands = 1;
    m.commands = commands;
    m.due_us = 5000 * kMs;
    m.continues = TRUE;
    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &m;
    gateway_frame(o->gateway, now_us, "e1", &frame);
    for (uint32_t k = 0; k < 4; k++) {
        now_us += kMs;
        gateway_tick(o->gateway, now_us);
        answer(o, now_us, kSessionIdle);
    }
    CU_ASSERT_STRING_EQUAL(o->sent->str, "abcdeg");
    owner_free(o);
}

/* Guards against a wait for the session's state behind the wait in the queue,
 * and against statements beyond what the server has room for (two, of one
 * slot) once that state is set up. */
static void
state_is_set_up_ahead_of_the_statement(void)
{
    static const struct {
        const char *name;
        gboolean ends;   /* the borrower ends the loan before there is room */
        gboolean breaks; /* the connection is lost before there is room */
        gboolean late;   /* there is no room before the deadline */
        const char *sent;
        uint32_t rejected;
    } cases[] = {
        {"room", FALSE, FALSE, FALSE, "abcdef", 0},
        {"loan ended", TRUE, FALSE, FALSE, "abcde", 0},
        {"connection lost", FALSE, TRUE, FALSE, "abcde", 1},
        {"deadline", FALSE, FALSE, TRUE, "abcde", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases) * 2; i++) {
        /* With and without priorities. */
        Owner *o = owner_new(i % 2 == 0 ? 2 : 0, 3);
        uint64_t now_us = kBase + kMs;

        for (char name = 'a'; name <= 'c'; name++) {
            run(o, now_us, name, 4, 400, FALSE);
        }
        accept_links(o, now_us);
        CU_ASSERT_EQUAL(o->busy.length, 3);
        for (uint32_t k = 0; k < 3; k++) {
            answer(o, now_us, kSessionIdle);
        }
        report_server(o, 1, 1);
        run(o, now_us, 'd', 4, 400, FALSE);
        run(o, now_us, 'e', 4, 400, FALSE);
        run_with(o, now_us, 'f', 4, 400, FALSE, "north");
        CU_ASSERT_EQUAL(o->setups, 1);
        CU_ASSERT_EQUAL_FATAL(o->busy.length, 3);
        guint link = GPOINTER_TO_UINT(g_queue_pop_tail(&o->busy));
        static const ServerAnswer done = {.state = kSessionIdle};
        o->events->answer(o->owners[link], now_us, &done);
        CU_ASSERT_STRING_EQUAL(o->sent->str, "abcde");
        if (cases[i / 2].ends) {
            end_loan(o, now_us, 'f');
        }
        if (cases[i / 2].breaks) {
            o->events->down(o->owners[link], now_us, kCodeOther);
        }
        if (cases[i / 2].late) {
            now_us += 5000 * kMs;
            gateway_tick(o->gateway, now_us);
        }
        answer(o, now_us, kSessionIdle);
        answer(o, now_us, kSessionIdle);
        if (strcmp(o->sent->str, cases[i / 2].sent) != 0) {
            g_print("\n%s: sent %s\n", cases[i / 2].name, o->sent->str);
        }
        CU_ASSERT_STRING_EQUAL(o->sent->str, cases[i / 2].sent);
        CU_ASSERT_EQUAL(o->rejected, cases[i / 2].rejected);
        owner_free(o);
    }
}

void
add_serverpool_suite(void)
{
    CU_pSuite s = CU_add_suite("server pool", NULL, NULL);
    CU_add_test(s, "urgent work of borrowers goes first",
                urgent_work_of_borrowers_goes_first);
    CU_add_test(s, "work of a gone caller leaves the queue",
                work_of_a_gone_caller_leaves_the_queue);
    CU_add_test(s, "idle transactions leave connections to others",
                idle_transactions_leave_connections_to_others);
    CU_add_test(s, "setups leave room for statements",
                setups_leave_room_for_statements);
    CU_add_test(s, "a ready statement that is replaced runs once",
                a_ready_statement_that_is_replaced_runs_once);
    CU_add_test(s, "state is set up ahead of the statement",
                state_is_set_up_ahead_of_the_statement);
}
