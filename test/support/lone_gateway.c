#include "lone_gateway.h"

#include <string.h>

enum {
    kUsPerMs = 1000,
    kTickMs = 20,
    kLeaseMs = 1000,
};

/* The document for the decoder, which gets no context. */
static Document *next_document;

static Document *
decode(const uint8_t *text, size_t bytes)
{
    (void)text;
    (void)bytes;
    return document_ref(next_document);
}

/* Passes a frame of another instance to the gateway. */
static void
deliver(LoneGateway *l, const char *from, const Sw__Frame *frame)
{
    gateway_frame(l->gateway, l->now_us, from, frame);
}

/* Answers the last report with a lease and the list of entry instances. */
static void
send_grant(LoneGateway *l)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    Sw__EntryRecord records[8];
    Sw__EntryRecord *list[8];

    for (; l->entries[m.n_entries] != NULL; m.n_entries++) {
        char **parts = g_strsplit(l->entries[m.n_entries], " ", 2);
        Sw__EntryRecord *r = &records[m.n_entries];
        sw__entry_record__init(r);
        r->id = parts[0];
        r->failure_domain = parts[1];
        list[m.n_entries] = r;
        g_free(parts);
    }
    m.entries = list;
    m.entry_count = (uint32_t)m.n_entries;
    m.sequence = l->report;
    m.lease_us = kLeaseMs * kUsPerMs;
    m.term = 1;
    m.revision = ++l->revision;
    m.document_version = 1;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    deliver(l, "c0", &frame);
    for (size_t i = 0; i < m.n_entries; i++) {
        g_free(records[i].id);
        g_free(records[i].failure_domain);
    }
}

static void
link_free(void *data)
{
    LoneLink *link = data;
    g_free(link->team);
    g_free(link->server);
    g_free(link);
}

/* ---- port ---- */

static void
port_caller_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    LoneGateway *l = ctx;
    if (l->hooks != NULL) {
        l->hooks->answer(l->ctx, caller, a);
        return;
    }
    l->answer = *a;
    g_free(l->detail);
    l->detail = g_strdup(a->detail);
    l->answers++;
}

static gboolean
port_caller_close(void *ctx, void *caller)
{
    LoneGateway *l = ctx;
    return l->hooks != NULL && l->hooks->close(l->ctx, caller);
}

static void *
port_server_open(void *ctx, const ServerEvents *events, void *owner,
                 const char *address, const char *database, const char *team,
                 const char *server_id)
{
    LoneGateway *l = ctx;
    LoneLink *link = g_new0(LoneLink, 1);

    (void)address;
    (void)database;
    link->team = g_strdup(team);
    link->server = g_strdup(server_id);
    link->events = events;
    link->owner = owner;
    g_ptr_array_add(l->links, link);
    return link;
}

static void
port_server_send(void *ctx, void *link_ptr, const ServerCommand *commands,
                 size_t count)
{
    LoneGateway *l = ctx;
    LoneLink *link = link_ptr;

    for (size_t i = 0; i < count; i++) {
        CommandKind kind = commands[i].kind;
        g_array_append_val(l->sent_us, l->now_us);
        if (l->hooks != NULL) {
            l->hooks->command(l->ctx, link, &commands[i]);
            continue;
        }
        if (kind == kCommandBegin || kind == kCommandBeginRead) {
            link->in_transaction = TRUE;
        }
        if (kind == kCommandRollback ||
            g_strcmp0(commands[i].text, "COMMIT") == 0) {
            link->in_transaction = FALSE;
        }
    }
    link->unanswered += l->hooks == NULL ? (uint32_t)count : 0;
}

static void
port_server_close(void *ctx, void *link)
{
    LoneGateway *l = ctx;
    ((LoneLink *)link)->owner = NULL;
    if (l->hooks != NULL) {
        l->hooks->closed(l->ctx, link);
    }
}

static void
port_peer_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    LoneGateway *l = ctx;

    if (l->hooks != NULL) {
        l->hooks->frame(l->ctx, to, frame);
    }
    switch (frame->body_case) {
    case SW__FRAME__BODY_ENTRY_REPORT:
        l->report = frame->entry_report->sequence;
        break;
    case SW__FRAME__BODY_TOKEN_REQUEST:
        l->token_request = frame->request_id;
        break;
    case SW__FRAME__BODY_SERVER_QUERY:
        l->server_queries++;
        l->server_query = frame->request_id;
        break;
    case SW__FRAME__BODY_RELAY_RUN:
        l->relayed++;
        break;
    case SW__FRAME__BODY_RELAY_RESULT:
        l->not_run +=
            frame->relay_result->outcome == SW__RELAY_OUTCOME__RELAY_NOT_RUN;
        l->answered +=
            frame->relay_result->outcome == SW__RELAY_OUTCOME__RELAY_ANSWERED;
        break;
    default:
        break;
    }
}

static void
port_add_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

static gboolean
port_peer_ready(void *ctx, const char *address)
{
    const LoneGateway *l = ctx;
    (void)address;
    return !l->peers_down;
}

/* ---- time ---- */

/* Accepts connections and answers commands, one millisecond after them. */
static void
step_links(LoneGateway *l)
{
    for (guint i = 0; i < l->links->len; i++) {
        LoneLink *link = g_ptr_array_index(l->links, i);
        if (link->owner != NULL && !link->accepted) {
            link->accepted = TRUE;
            link->events->ready(link->owner, l->now_us);
        }
        for (uint32_t n = link->unanswered; n > 0 && link->owner != NULL;
             n--) {
            ServerAnswer a = {.code_text = "",
                              .tag = "DONE",
                              .state = link->in_transaction
                                           ? kSessionInTransaction
                                           : kSessionIdle,
                              .position = {1, 1},
                              .position_text = "1.1"};
            link->unanswered--;
            link->events->answer(link->owner, l->now_us, &a);
        }
    }
}

/* Grants all tokens that the gateway asked for. */
static void
answer_token_request(LoneGateway *l)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__TokenReply reply = SW__TOKEN_REPLY__INIT;

    reply.granted = 4;
    reply.owner = TRUE;
    frame.request_id = l->token_request;
    frame.body_case = SW__FRAME__BODY_TOKEN_REPLY;
    frame.token_reply = &reply;
    l->token_request = 0;
    deliver(l, "c0", &frame);
}

/* Runs for_ms milliseconds of virtual time; reports are answered while grants
 * is set. */
void
lone_gateway_run(LoneGateway *l, uint64_t for_ms)
{
    for (uint64_t ms = 0; ms < for_ms; ms++) {
        uint64_t report = l->report;
        l->now_us += kUsPerMs;
        step_links(l);
        if (l->hooks != NULL) {
            l->hooks->step(l->ctx);
        }
        if (l->token_request != 0) {
            answer_token_request(l);
        }
        if (l->now_us / kUsPerMs % kTickMs == 0) {
            gateway_tick(l->gateway, l->now_us);
        }
        if (l->grants && l->report != report) {
            send_grant(l);
        }
    }
}

/* Puts a document in force; takes over the reference. */
void
lone_gateway_configure(LoneGateway *l, Document *document)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate m = SW__DOCUMENT_UPDATE__INIT;

    document_unref(l->document);
    l->document = document;
    next_document = document;
    m.version = document->version;
    m.text.data = (uint8_t *)"x";
    m.text.len = 1;
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = &m;
    deliver(l, "c0", &frame);
}

/* Returns the record of a server of the database "db"; see
 * lone_gateway_server. */
static Sw__ServerRecord
server_record(const char *id, const char *domain, int64_t born_ms,
              uint64_t cold_left_ms)
{
    Sw__ServerRecord r = SW__SERVER_RECORD__INIT;

    r.id = (char *)id;
    r.database = (char *)"db";
    r.address = (char *)id;
    r.failure_domain = (char *)domain;
    r.born_ms = born_ms;
    r.slots = 4;
    if (cold_left_ms != UINT64_MAX) {
        r.cold_case = SW__SERVER_RECORD__COLD_COLD_LEFT_MS;
        r.cold_left_ms = cold_left_ms;
    }
    return r;
}

/* Answers a ServerQuery. */
void
lone_gateway_server_answer(LoneGateway *l, uint64_t query, const char *id,
                           const char *domain, int64_t born_ms,
                           uint64_t cold_left_ms)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__ServerAnswer m = SW__SERVER_ANSWER__INIT;
    Sw__ServerRecord r = server_record(id, domain, born_ms, cold_left_ms);

    m.record = &r;
    frame.request_id = query;
    frame.body_case = SW__FRAME__BODY_SERVER_ANSWER;
    frame.server_answer = &m;
    deliver(l, "c0", &frame);
}

/* Reports a backend server of the database "db"; cold_left_ms UINT64_MAX: its
 * report does not state it. */
void
lone_gateway_server(LoneGateway *l, const char *id, const char *domain,
                    int64_t born_ms, uint64_t cold_left_ms)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate m = SW__DIRECTORY_UPDATE__INIT;
    Sw__ServerRecord r = server_record(id, domain, born_ms, cold_left_ms);
    Sw__ServerRecord *list[1] = {&r};

    m.run = 1;
    m.revision = ++l->directory;
    m.full = l->directory == 1;
    m.n_servers = 1;
    m.servers = list;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &m;
    deliver(l, "c0", &frame);
}

/* Grants the use of a database's primary; with quiescing set, no new work may
 * start there. */
void
lone_gateway_primary(LoneGateway *l, const char *database, const char *server,
                     gboolean quiescing)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    Sw__PrimaryGrant primary = SW__PRIMARY_GRANT__INIT;
    Sw__PrimaryGrant *list[1] = {&primary};

    primary.database = (char *)database;
    primary.primary = (char *)server;
    primary.epoch = l->epoch;
    primary.quiescing = quiescing;
    m.term = 1;
    m.revision = ++l->revision;
    m.n_primaries = 1;
    m.primaries = list;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    deliver(l, "c0", &frame);
}

/* Sends a borrower's command to the gateway as the owner of a server. */
void
lone_gateway_relay(LoneGateway *l, const char *server, uint64_t relay,
                   CommandKind kind, const char *text, gboolean continues)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayRun m = SW__RELAY_RUN__INIT;
    Sw__RelayCommand command = SW__RELAY_COMMAND__INIT;
    Sw__RelayCommand *list[1] = {&command};

    command.kind = kind;
    command.text = (char *)text;
    m.relay = relay;
    m.server = (char *)server;
    m.team = (char *)"team";
    m.n_commands = 1;
    m.commands = list;
    m.target_us = 400 * kUsPerMs;
    m.due_us = 900 * kUsPerMs;
    m.patience_us = 900 * kUsPerMs;
    m.single = kind == kCommandStatement && !continues;
    m.continues = continues;
    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &m;
    deliver(l, "b0", &frame);
}

/* Passes a caller's statement to a session. */
void
lone_gateway_statement(LoneGateway *l, Session *s, StatementKind kind,
                       const char *text)
{
    Statement st = {.kind = kind,
                    .id = "1",
                    .text = text,
                    .name = "n",
                    .value = "v",
                    .prepared_text = "",
                    .arguments = ""};
    session_statement(s, l->now_us, &st);
}

/* Returns the highest number of commands sent within a second. */
uint32_t
lone_gateway_most_in_a_second(const LoneGateway *l)
{
    uint32_t most = 0;
    guint first = 0;

    for (guint i = 0; i < l->sent_us->len; i++) {
        while (g_array_index(l->sent_us, uint64_t, first) + G_USEC_PER_SEC <=
               g_array_index(l->sent_us, uint64_t, i)) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

/* Creates an instance with a lease and a document, of which the reference is
 * taken over.  Without entries it gets no lease.  Id, port and decoder of the
 * config are set here. */
LoneGateway *
lone_gateway_new(const GatewayConfig *config, const char *const *entries,
                 Document *document)
{
    LoneGateway *l = g_new0(LoneGateway, 1);
    GatewayPort port = {.ctx = l,
                        .caller_answer = port_caller_answer,
                        .caller_close = port_caller_close,
                        .server_open = port_server_open,
                        .server_send = port_server_send,
                        .server_close = port_server_close,
                        .peer_send = port_peer_send,
                        .add_peer = port_add_peer,
                        .peer_ready = port_peer_ready};
    GatewayConfig own = *config;

    own.id = "e0";
    own.incarnation = 1;
    own.link_bytes_per_s = 1000000;
    own.server_drain_us = 7000000;
    own.decode = decode;
    l->now_us = 5000000;
    l->grants = entries != NULL;
    l->entries = entries;
    l->epoch = 1;
    l->links = g_ptr_array_new_with_free_func(link_free);
    l->sent_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l->gateway = gateway_new(&own, &port);
    gateway_control_add(l->gateway, l->now_us, "c0");
    lone_gateway_configure(l, document);
    lone_gateway_run(l, 300);
    return l;
}

/* Frees the instance. */
void
lone_gateway_free(LoneGateway *l)
{
    gateway_free(l->gateway);
    document_unref(l->document);
    g_ptr_array_unref(l->links);
    g_array_unref(l->sent_us);
    g_free(l->detail);
    g_free(l);
}
