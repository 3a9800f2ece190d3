#include <string.h>

#include "fleet/directory.h"
#include "gateway/gateway.h"
#include "suite.h"

/* Sessions with one backend server that keeps the state of each connection.
 * The tests guard against statements that run in a transaction of another
 * session, outside of their own, or not at all although the caller is told
 * that they were done. */

enum { kMaxLinks = 8, kMaxAnswers = 4096, kTickUs = 20000 };

typedef struct FakeServer FakeServer;

/* A connection to the server. */
typedef struct {
    FakeServer *server;
    const ServerEvents *events;
    void *owner;
    gboolean closed;
    SessionState state;
    uint32_t values;      /* set since the last RESET */
    uint32_t uncommitted; /* writes of the open transaction */
} FakeLink;

/* An answer on its way to the gateway. */
typedef struct {
    FakeLink *link;
    gboolean ready; /* the server has accepted the connection */
    AnswerCode code;
    SessionState state;
    gboolean tagged; /* a statement of a caller ran */
} FakeAnswer;

/* The server, and what callers were told. */
struct FakeServer {
    FakeLink links[kMaxLinks];
    uint32_t n_links;
    FakeAnswer answers[kMaxAnswers];
    uint32_t first;
    uint32_t last;
    uint32_t committed;   /* writes */
    uint32_t rolled_back; /* writes */
    uint32_t values;      /* that the last statement saw */
    uint32_t nested;      /* BEGIN inside a transaction */
    uint32_t answered;
    CallerAnswer answer; /* the last one, without its texts */
};

static void
queue_answer(FakeLink *l, AnswerCode code, gboolean tagged)
{
    FakeServer *f = l->server;
    f->answers[f->last++ % kMaxAnswers] =
        (FakeAnswer){l, FALSE, code, l->state, tagged};
}

static void *
server_open(void *ctx, const ServerEvents *events, void *owner,
            const char *address, const char *database, const char *team,
            const char *server_id)
{
    FakeServer *f = ctx;
    FakeLink *l = &f->links[f->n_links++ % kMaxLinks];

    (void)address;
    (void)database;
    (void)team;
    (void)server_id;
    *l = (FakeLink){.server = f, .events = events, .owner = owner};
    f->answers[f->last++ % kMaxAnswers] = (FakeAnswer){l, .ready = TRUE};
    return l;
}

/* Runs one command and queues its answer. */
static void
run_command(FakeLink *l, const ServerCommand *c)
{
    FakeServer *f = l->server;
    gboolean commit = g_strcmp0(c->text, "COMMIT") == 0;

    switch (c->kind) {
    case kCommandReset:
        l->values = 0;
        break;
    case kCommandSet:
        l->values++;
        break;
    case kCommandBegin:
    case kCommandBeginRead:
        f->nested += l->state != kSessionIdle;
        l->state = kSessionInTransaction;
        break;
    case kCommandRollback:
        f->rolled_back += l->uncommitted;
        l->uncommitted = 0;
        l->state = kSessionIdle;
        break;
    case kCommandStatement:
        f->values = l->values;
        if (g_str_has_prefix(c->text, "FAIL")) {
            l->state = l->state == kSessionIdle ? l->state : kSessionFailed;
            queue_answer(l, kCodeFailed, FALSE);
            return;
        }
        if (g_str_has_prefix(c->text, "WRITE")) {
            l->uncommitted++;
        }
        if (commit || l->state == kSessionIdle) {
            f->committed += l->uncommitted;
            l->uncommitted = 0;
            l->state = kSessionIdle;
        }
        queue_answer(l, kCodeNone, TRUE);
        return;
    default:
        break;
    }
    queue_answer(l, kCodeNone, FALSE);
}

static void
server_send(void *ctx, void *link, const ServerCommand *commands, size_t count)
{
    (void)ctx;
    for (size_t i = 0; i < count; i++) {
        run_command(link, &commands[i]);
    }
}

static void
server_close(void *ctx, void *link)
{
    FakeLink *l = link;
    (void)ctx;
    l->server->rolled_back += l->uncommitted;
    l->uncommitted = 0;
    l->closed = TRUE;
}

static void
caller_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    FakeServer *f = ctx;
    (void)caller;
    f->answered++;
    f->answer = (CallerAnswer){.code = a->code, .state = a->state};
}

static void
ignore_frame(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)ctx;
    (void)to;
    (void)frame;
}

static void
ignore_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

/* Delivers all answers of the server. */
static void
deliver_answers(FakeServer *f, uint64_t now_us)
{
    while (f->first != f->last) {
        FakeAnswer a = f->answers[f->first++ % kMaxAnswers];
        ServerAnswer answer = {.code = a.code,
                               .code_text = "",
                               .detail = "",
                               .tag = a.tagged ? "tag" : NULL,
                               .state = a.state};
        if (a.link->closed) {
            continue;
        }
        if (a.ready) {
            a.link->events->ready(a.link->owner, now_us);
        }
        else {
            a.link->events->answer(a.link->owner, now_us, &answer);
        }
    }
}

/* One open route to a database on which a statement has ten seconds. */
static Document *
decode_open_route(const uint8_t *text, size_t bytes)
{
    Document *d = document_new(1);
    DocumentRoute *r = g_new0(DocumentRoute, 1);
    DocumentDatabase *db = g_new0(DocumentDatabase, 1);

    (void)text;
    (void)bytes;
    r->host = g_strdup("host");
    r->database = g_strdup("orders");
    r->timeout_us = 10000000;
    r->target_latency_us = 1000000;
    r->is_public = TRUE;
    g_hash_table_insert(d->routes, r->host, r);
    db->name = g_strdup("orders");
    db->max_connections = 1;
    g_hash_table_insert(d->databases, db->name, db);
    d->transaction_idle_us = 3000000;
    return d;
}

/* Delivers the record of a server of the database. */
static void
deliver_record(Gateway *g, uint64_t now_us, char *id, uint64_t sequence,
               gboolean draining, gboolean gone)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate directory = SW__DIRECTORY_UPDATE__INIT;
    Sw__ServerRecord server = SW__SERVER_RECORD__INIT;
    Sw__ServerRecord *servers[1] = {&server};
    char *address = g_strconcat("127.0.0.1:", id, NULL);

    server.id = id;
    server.database = "orders";
    server.address = address;
    server.failure_domain = "0";
    server.primary = TRUE;
    server.slots = 3;
    server.sequence = sequence;
    server.draining = draining;
    server.gone = gone;
    directory.run = 1;
    directory.revision = 1;
    directory.full = TRUE;
    directory.n_servers = 1;
    directory.servers = servers;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &directory;
    gateway_frame(g, now_us, "c0", &frame);
    g_free(address);
}

static void
deliver_server(Gateway *g, uint64_t now_us, char *id, gboolean gone)
{
    deliver_record(g, now_us, id, gone ? 2 : 1, FALSE, gone);
}

/* Delivers the configuration, the primary p0 and the lease to use it. */
static void
make_usable(Gateway *g, uint64_t now_us)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate document = SW__DOCUMENT_UPDATE__INIT;
    Sw__EntryGrant grant = SW__ENTRY_GRANT__INIT;
    Sw__PrimaryGrant primary = SW__PRIMARY_GRANT__INIT;
    Sw__PrimaryGrant *primaries[1] = {&primary};

    gateway_control_add(g, now_us, "c0");
    document.version = 1;
    document.text.data = (uint8_t *)"x";
    document.text.len = 1;
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = &document;
    gateway_frame(g, now_us, "c0", &frame);
    deliver_server(g, now_us, "p0", FALSE);
    gateway_tick(g, now_us + kTickUs);
    primary.database = "orders";
    primary.primary = "p0";
    primary.epoch = 1;
    grant.sequence = 1;
    grant.lease_us = 60000000;
    grant.n_primaries = 1;
    grant.primaries = primaries;
    grant.primaries_hash = 1;
    grant.term = 1;
    grant.revision = 1;
    grant.document_version = 1;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &grant;
    gateway_frame(g, now_us + kTickUs, "c0", &frame);
}

/* Returns an instance to which other servers, which have left if gone is set,
 * were announced before the one that is the primary. */
static Gateway *
gateway_after(FakeServer *f, uint32_t others, gboolean gone)
{
    GatewayPort port = {.ctx = f,
                        .caller_answer = caller_answer,
                        .server_open = server_open,
                        .server_send = server_send,
                        .server_close = server_close,
                        .peer_send = ignore_frame,
                        .add_peer = ignore_peer};
    GatewayConfig config = {.id = "e0",
                            .failure_domain = "0",
                            .link_bytes_per_s = 1,
                            .server_drain_us = 7000000,
                            .decode = decode_open_route};
    Gateway *g = gateway_new(&config, &port);
    char id[16];

    gateway_control_add(g, 0, "c0");
    for (uint32_t i = 0; i < others; i++) {
        g_snprintf(id, sizeof(id), "r%u", i);
        deliver_server(g, 0, id, FALSE);
        if (gone) {
            deliver_server(g, 0, id, TRUE);
        }
    }
    make_usable(g, 1000000);
    return g;
}

static Gateway *
gateway_of(FakeServer *f)
{
    return gateway_after(f, 0, TRUE);
}

/* Sends a statement of a session and delivers what follows from it. */
static void
say(FakeServer *f, Session *s, uint64_t now_us, StatementKind kind,
    const char *text, const char *name)
{
    Statement st = {.kind = kind,
                    .id = "1",
                    .text = text,
                    .name = name,
                    .value = "v",
                    .prepared_text = "",
                    .arguments = ""};
    uint32_t before = f->answered;

    session_statement(s, now_us, &st);
    deliver_answers(f, now_us);
    CU_ASSERT_EQUAL(f->answered, before + 1);
}

/* A transaction that fails at the gateway itself leaves one open at the
 * server.  The next statement on that connection, of the same or another
 * session, must not run inside of it. */
static void
a_failed_transaction_leaves_no_open_one(void)
{
    static const struct {
        const char *name;
        StatementKind fails;
        const char *text;
        StatementKind ends;
        gboolean same; /* the same session goes on */
    } cases[] = {
        {"unknown prepared statement, COMMIT", kStatementExecute, "EXECUTE p",
         kStatementCommit, TRUE},
        {"unknown prepared statement, ROLLBACK", kStatementExecute,
         "EXECUTE p", kStatementRollback, FALSE},
        {"unknown DEALLOCATE, COMMIT", kStatementDeallocate, "DEALLOCATE p",
         kStatementCommit, TRUE},
        {"unknown DEALLOCATE, ROLLBACK", kStatementDeallocate, "DEALLOCATE p",
         kStatementRollback, FALSE},
        {"BEGIN twice, COMMIT", kStatementBegin, "BEGIN", kStatementCommit,
         TRUE},
        {"BEGIN twice, ROLLBACK", kStatementBegin, "BEGIN", kStatementRollback,
         FALSE},
        {"error of the server, COMMIT", kStatementWrite, "FAIL",
         kStatementCommit, TRUE},
        {"malformed, ROLLBACK", kStatementMalformed, "?", kStatementRollback,
         FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_of(f);
        AnswerCode code;
        uint64_t now_us = 1100000;
        Session *a = session_open(g, now_us, f, "host", "", &code);
        Session *b = session_open(g, now_us, f, "host", "", &code);
        CU_ASSERT_PTR_NOT_NULL_FATAL(a);
        CU_ASSERT_PTR_NOT_NULL_FATAL(b);

        say(f, a, now_us, kStatementBegin, "BEGIN", "");
        say(f, a, now_us, kStatementWrite, "WRITE 1 x", "");
        CU_ASSERT_EQUAL(f->answer.code, kCodeNone);
        say(f, a, now_us, cases[i].fails, cases[i].text, "p");
        CU_ASSERT_NOT_EQUAL(f->answer.code, kCodeNone);
        say(f, a, now_us, cases[i].ends, "", "");
        say(f, cases[i].same ? a : b, now_us, kStatementWrite, "WRITE 2 x",
            "");
        if (f->answer.code != kCodeNone || f->committed != 1) {
            g_print("\n%s: code %d, %u committed\n", cases[i].name,
                    f->answer.code, f->committed);
        }
        CU_ASSERT_EQUAL(f->answer.code, kCodeNone);
        CU_ASSERT_EQUAL(f->committed, 1);
        CU_ASSERT_EQUAL(f->rolled_back, 1);
        CU_ASSERT_EQUAL(f->nested, 0);
        session_close(a, now_us);
        session_close(b, now_us);
        gateway_free(g);
        g_free(f);
    }
}

/* Commands that set up a session's values must not push the statement out of
 * what is sent: the answer to a SET was taken for that to the write. */
static void
any_number_of_values_reaches_the_server(void)
{
    static const uint32_t counts[] = {0, 1, 159, 160, 161, 400, 1500};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_of(f);
        AnswerCode code;
        uint64_t now_us = 1100000;
        Session *s = session_open(g, now_us, f, "host", "", &code);
        char name[16];

        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        for (uint32_t n = 0; n < counts[i]; n++) {
            g_snprintf(name, sizeof(name), "n%u", n);
            say(f, s, now_us, kStatementSet, "SET", name);
        }
        say(f, s, now_us, kStatementWrite, "WRITE 1 x", "");
        CU_ASSERT_EQUAL(f->answer.code, kCodeNone);
        CU_ASSERT_EQUAL(f->committed, 1);
        CU_ASSERT_EQUAL(f->values, counts[i]);
        say(f, s, now_us, kStatementBegin, "BEGIN", "");
        say(f, s, now_us, kStatementWrite, "WRITE 2 x", "");
        say(f, s, now_us, kStatementRollback, "ROLLBACK", "");
        CU_ASSERT_EQUAL(f->committed, 1);
        CU_ASSERT_EQUAL(f->rolled_back, 1);
        session_close(s, now_us);
        gateway_free(g);
        g_free(f);
    }
}

/* The owner of a server's connections must send all commands of a borrower,
 * too: those beyond a fixed number were dropped there as well. */
static void
an_owner_sends_all_commands(void)
{
    static const uint32_t counts[] = {0, 160, 161, 1500};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_of(f);
        uint64_t now_us = 1100000;
        Sw__Frame frame = SW__FRAME__INIT;
        Sw__RelayRun run = SW__RELAY_RUN__INIT;
        uint32_t count = counts[i] + 1;
        Sw__RelayCommand *list = g_new(Sw__RelayCommand, count);
        Sw__RelayCommand **commands = g_new(Sw__RelayCommand *, count);

        for (uint32_t n = 0; n < count; n++) {
            sw__relay_command__init(&list[n]);
            list[n].kind = kCommandSet;
            list[n].name = "n";
            list[n].value = "v";
            commands[n] = &list[n];
        }
        list[count - 1].kind = kCommandStatement;
        list[count - 1].id = "1";
        list[count - 1].text = "WRITE 1 x";
        run.relay = 1;
        run.server = "p0";
        run.team = "team";
        run.commands = commands;
        run.n_commands = count;
        run.target_us = 1000000;
        run.due_us = 2000000;
        run.patience_us = 1000000;
        run.single = TRUE;
        frame.body_case = SW__FRAME__BODY_RELAY_RUN;
        frame.relay_run = &run;
        gateway_frame(g, now_us, "e1", &frame);
        deliver_answers(f, now_us);
        CU_ASSERT_EQUAL(f->committed, 1);
        CU_ASSERT_EQUAL(f->values, counts[i]);
        gateway_free(g);
        g_free(commands);
        g_free(list);
        g_free(f);
    }
}

/* Returns the value of a counter on the metrics page. */
static uint64_t
metric(const Gateway *g, const char *name)
{
    GString *text = g_string_new(NULL);
    uint64_t value = UINT64_MAX;

    gateway_metrics_write(g, text);
    char **lines = g_strsplit(text->str, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        if (g_str_has_prefix(lines[i], name) &&
            lines[i][strlen(name)] == ' ') {
            value = g_ascii_strtoull(lines[i] + strlen(name), NULL, 10);
        }
    }
    g_strfreev(lines);
    g_string_free(text, TRUE);
    return value;
}

/* Servers that were replaced must neither hide the one in use nor stay in
 * memory: after 32 of them a database was refused for good. */
static void
replaced_servers_are_forgotten(void)
{
    static const uint32_t counts[] = {0, 31, 32, 500};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_after(f, counts[i], TRUE);
        uint64_t now_us = 1100000;
        AnswerCode code;
        Session *s = session_open(g, now_us, f, "host", "", &code);

        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        say(f, s, now_us, kStatementWrite, "WRITE 1 x", "");
        CU_ASSERT_EQUAL(f->answer.code, kCodeNone);
        CU_ASSERT_EQUAL(f->committed, 1);
        gateway_tick(g, now_us + 70000000);
        CU_ASSERT_EQUAL(metric(g, "sapphireweir_servers"), 1);
        session_close(s, now_us);
        gateway_free(g);
        g_free(f);
    }
}

static gboolean
is_not_needed(const void *ctx, const char *id)
{
    (void)ctx;
    (void)id;
    return FALSE;
}

/* The directory forgets servers that have left, but not before a report that
 * a partition delayed can no longer bring them back. */
static void
the_directory_forgets_servers_that_left(void)
{
    static const struct {
        uint64_t age_s; /* since the server left */
        gboolean known;
    } cases[] = {{1, TRUE}, {599, TRUE}, {600, FALSE}, {3600, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
        uint64_t now_us = 5000000;
        char id[16];
        Directory d;

        directory_init(&d);
        for (uint32_t n = 0; n < 500; n++) {
            g_snprintf(id, sizeof(id), "r%u", n);
            r.id = id;
            r.database = "orders";
            r.address = id;
            r.failure_domain = "0";
            r.sequence = 2;
            r.gone = FALSE;
            CU_ASSERT(directory_apply_report(&d, now_us, &r));
            r.gone = TRUE;
            CU_ASSERT(directory_apply_report(&d, now_us, &r));
        }
        directory_expire(&d, now_us, is_not_needed, NULL);
        now_us += cases[i].age_s * 1000000;
        directory_expire(&d, now_us, is_not_needed, NULL);
        CU_ASSERT_EQUAL(g_hash_table_size(d.servers),
                        cases[i].known ? 500 : 0);
        r.gone = FALSE;
        r.sequence = 1;
        CU_ASSERT_EQUAL(directory_apply_report(&d, now_us, &r),
                        !cases[i].known);
        directory_clear(&d);
    }
}

/* Only the first 32 servers of a database were considered: with a primary
 * behind them its writes were refused. */
static void
a_primary_among_many_servers_is_found(void)
{
    static const uint32_t counts[] = {0, 31, 32, 63, 64, 200};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_after(f, counts[i], FALSE);
        uint64_t now_us = 1100000;
        AnswerCode code;
        Session *s = session_open(g, now_us, f, "host", "", &code);

        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        say(f, s, now_us, kStatementWrite, "WRITE 1 x", "");
        CU_ASSERT_EQUAL(f->answer.code, kCodeNone);
        CU_ASSERT_EQUAL(f->committed, 1);
        session_close(s, now_us);
        gateway_free(g);
        g_free(f);
    }
}

/* A control instance that restarts sends the servers as its log has them,
 * which may be older than what the others have sent: a draining server, or
 * one that left, was used again. */
static void
older_records_of_a_server_are_ignored(void)
{
    typedef struct {
        uint64_t sequence;
        gboolean draining;
        gboolean gone;
    } Record;
    static const struct {
        const char *name;
        Record records[2];
        gboolean used; /* the server gets statements afterwards */
    } cases[] = {
        {"drains, older record", {{5, TRUE, FALSE}, {3, FALSE, FALSE}}, FALSE},
        {"drains, then not", {{5, TRUE, FALSE}, {6, FALSE, FALSE}}, TRUE},
        {"left, older record", {{5, FALSE, TRUE}, {3, FALSE, FALSE}}, FALSE},
        {"left, record of the same report",
         {{5, FALSE, TRUE}, {5, FALSE, FALSE}},
         FALSE},
        {"left, then reports", {{5, FALSE, TRUE}, {6, FALSE, FALSE}}, TRUE},
        {"older record that it left",
         {{5, FALSE, FALSE}, {3, FALSE, TRUE}},
         FALSE},
    };
    static const Statement write = {.kind = kStatementWrite,
                                    .id = "1",
                                    .text = "WRITE 1 x",
                                    .prepared_text = "",
                                    .arguments = ""};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeServer *f = g_new0(FakeServer, 1);
        Gateway *g = gateway_of(f);
        uint64_t now_us = 1100000;
        AnswerCode code;
        Session *s = session_open(g, now_us, f, "host", "", &code);

        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        for (size_t n = 0; n < 2; n++) {
            const Record *r = &cases[i].records[n];
            deliver_record(g, now_us, "p0", r->sequence, r->draining, r->gone);
        }
        now_us += 8000000; /* longer than a draining server is used */
        session_statement(s, now_us, &write);
        deliver_answers(f, now_us);
        if ((f->committed == 1) != cases[i].used) {
            g_print("\n%s: %u committed\n", cases[i].name, f->committed);
        }
        CU_ASSERT_EQUAL(f->committed == 1, cases[i].used);
        session_close(s, now_us);
        gateway_free(g);
        g_free(f);
    }
}

void
add_session_suite(void)
{
    CU_pSuite s = CU_add_suite("session", NULL, NULL);
    CU_add_test(s, "a failed transaction leaves no open one",
                a_failed_transaction_leaves_no_open_one);
    CU_add_test(s, "any number of values reaches the server",
                any_number_of_values_reaches_the_server);
    CU_add_test(s, "an owner sends all commands", an_owner_sends_all_commands);
    CU_add_test(s, "replaced servers are forgotten",
                replaced_servers_are_forgotten);
    CU_add_test(s, "the directory forgets servers that left",
                the_directory_forgets_servers_that_left);
    CU_add_test(s, "a primary among many servers is found",
                a_primary_among_many_servers_is_found);
    CU_add_test(s, "older records of a server are ignored",
                older_records_of_a_server_are_ignored);
}
