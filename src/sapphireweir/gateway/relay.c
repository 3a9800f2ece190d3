#include <string.h>

#include "gateway/crossing_gate.h"
#include "gateway/slow_start_gate.h"

/* Connections borrowed from the entry instance that owns a backend server.
 * Designed for many instances that share few connections: the owner's
 * connections stay open, and its single queue holds all work that waits for
 * the server.  No message is sent for a borrowed connection before its first
 * statement.  If the owner cannot be reached, statements go to the server over
 * a direct connection. */

enum {
    kPingAfterUs = 120000,     /* without a message, the owner is pinged */
    kUnresponsiveUs = 400000,  /* three pings and the delay of a busy host */
    kAvoidOwnerUs = 1000000,   /* after an owner was lost or unresponsive */
    kAvoidRelayUs = 300000,    /* after a server failed at its owner */
    kFirstAttemptPercent = 25, /* of the wait limit, while others may serve */
    kFullWaitAttempts = 2,     /* attempts until the full wait limit applies */
    /* The deadline for the owner is earlier than that of the statement by a
     * tick and the delay of a slow link, so that a rejection arrives in
     * time. */
    kRejectMarginUs = 60000,
    /* Between two results that state the time spent at the owner, which takes
     * bytes. */
    kTimedAfterUs = 100000,
};

/* ---- owners ---- */

/* Frees an OwnerContact. */
void
owner_contact_free(void *contact)
{
    OwnerContact *o = contact;
    g_free(o->id);
    g_free(o);
}

/* Returns the contact of an owner, creating it if needed. */
static OwnerContact *
owner_contact(Gateway *g, const char *id)
{
    OwnerContact *o = g_hash_table_lookup(g->owners, id);

    if (o == NULL) {
        o = g_new0(OwnerContact, 1);
        o->id = g_strdup(id);
        g_hash_table_insert(g->owners, o->id, o);
    }
    return o;
}

/* Replaces the list of entry instances if the grant has a different one. */
void
relay_update_entries(Gateway *g, const Sw__EntryGrant *m)
{
    if (m->n_entries == 0 ||
        (g->entries != NULL && g->entries->hash == m->entries_hash)) {
        return;
    }
    entry_list_free(g->entries);
    g->entries = entry_list_new();
    for (size_t i = 0; i < m->n_entries; i++) {
        const Sw__EntryRecord *r = m->entries[i];
        entry_list_add(g->entries, r->id, r->failure_domain);
    }
    g->owners_stale = TRUE;
}

/* Assigns an owner to each server and keeps a link to each owner. */
static void
owners_refresh(Gateway *g, uint64_t now_us)
{
    guint capacity = g_hash_table_size(g->servers);
    OwnedServer *list = g_new0(OwnedServer, capacity + 1);
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g->owners_stale = FALSE;
    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Server *s = value;
        if (!s->gone) {
            list[count++] = (OwnedServer){s->id, s->failure_domain, NULL};
        }
    }
    owners_assign(g->entries, list, count);
    for (size_t i = 0; i < count; i++) {
        Server *s = g_hash_table_lookup(g->servers, list[i].id);
        g_free(s->owner);
        s->owner = g_strdup(list[i].owner);
        slow_start_gate_set_owner(s, now_us, g_strcmp0(s->owner, g->id) == 0);
        if (s->owner != NULL) {
            g->port.add_peer(g->port.ctx, s->owner);
        }
    }
    g_free(list);
}

/* Tells whether statements for a server can be sent to its owner now. */
gboolean
relay_usable(const Server *s, uint64_t now_us)
{
    Gateway *g = s->database->gateway;

    if (s->owner == NULL || now_us < s->relay_avoid_until_us) {
        return FALSE;
    }
    return now_us >= owner_contact(g, s->owner)->avoid_until_us &&
           g->port.peer_ready(g->port.ctx, s->owner);
}

/* Returns the expected round-trip time to the owner of a server. */
uint64_t
relay_link_us(const Server *s, uint64_t now_us)
{
    const OwnerContact *o =
        s->owner == NULL
            ? NULL
            : g_hash_table_lookup(s->database->gateway->owners, s->owner);

    return o == NULL ? kLinkTimeDefaultUs : link_time_us(&o->link, now_us);
}

/* ---- borrowed connections ---- */

/* Returns a new connection that is borrowed from the owner of the server when
 * its first statement is sent.  It is owned by the server. */
Connection *
relay_open(Server *s, const char *team, uint64_t now_us)
{
    Gateway *g = s->database->gateway;
    Connection *c = g_new0(Connection, 1);

    c->gateway = g;
    c->server = s;
    c->team = g_strdup(team);
    c->owner = g_strdup(s->owner);
    c->relay = ++g->next_relay;
    c->state = kConnectionIdle;
    c->state_since_us = now_us;
    g_ptr_array_add(s->relays, c);
    g_hash_table_insert(g->relays, &c->relay, c);
    return c;
}

static void
send_frame(Gateway *g, const char *to, Sw__Frame *frame)
{
    g->port.peer_send(g->port.ctx, to, frame);
}

/* Returns the time from now_us to until_us, zero if until_us has passed. */
static uint64_t
time_left(uint64_t until_us, uint64_t now_us)
{
    return until_us > now_us ? until_us - now_us : 0;
}

/* Returns how long the owner may let the open statement wait, in microseconds.
 * The limit is shorter while another server may serve the statement, so that
 * it goes there if the queue is long. */
static uint64_t
max_wait_us(Connection *c, uint64_t now_us)
{
    Session *s = c->session;
    uint64_t limit_us = dispatch_max_wait_us(s);

    s->job.full_wait = s->job.needs_primary ||
                       s->job.attempts >= kFullWaitAttempts ||
                       !dispatch_has_repeat(s);
    if (s->begun) {
        return time_left(s->job.deadline_us, now_us);
    }
    return s->job.full_wait ? limit_us : limit_us * kFirstAttemptPercent / 100;
}

/* Tells whether an answer in the idle state ends the loan, since no further
 * statement of the session follows on the connection. */
static gboolean
loan_ends_with_answer(const Session *s)
{
    return s->state == kSessionIdle || s->job.kind == kStatementCommit;
}

/* Fills in a command of a RelayRun message; the strings are not copied. */
static void
command_fill(const ServerCommand *command, Sw__RelayCommand *out)
{
    sw__relay_command__init(out);
    out->kind = command->kind;
    out->id = (char *)(command->id == NULL ? "" : command->id);
    out->text = (char *)(command->text == NULL ? "" : command->text);
    out->name = (char *)(command->name == NULL ? "" : command->name);
    out->value = (char *)(command->value == NULL ? "" : command->value);
    out->writes = command->writes;
    out->after_term = command->after.term;
    out->after_number = command->after.number;
}

/* Returns the commands as messages that borrow their strings.  The caller
 * frees the array and the messages, which are one block. */
static Sw__RelayCommand **
commands_fill(const CommandBatch *batch)
{
    Sw__RelayCommand *list = g_new(Sw__RelayCommand, batch->count + 1);
    Sw__RelayCommand **pointers = g_new(Sw__RelayCommand *, batch->count + 1);

    pointers[0] = list;
    for (size_t i = 0; i < batch->count; i++) {
        command_fill(&batch->commands[i], &list[i]);
        pointers[i] = &list[i];
    }
    return pointers;
}

static void
commands_free(Sw__RelayCommand **commands)
{
    g_free(commands[0]);
    g_free(commands);
}

/* Tells whether the next result of a server in another failure domain is to
 * state how long the owner had the commands. */
static gboolean
is_timed(const Server *s, OwnerContact *o, uint64_t now_us)
{
    if (now_us - o->timed_us < kTimedAfterUs ||
        strcmp(s->failure_domain, s->database->gateway->failure_domain) == 0) {
        return FALSE;
    }
    o->timed_us = now_us;
    return TRUE;
}

/* Sends the commands of the session that uses the connection to the owner,
 * which returns one result for all of them.  after_begin has the commands to
 * be run once the last of batch, a BEGIN, has succeeded; it may be empty. */
void
relay_send(Connection *c, const CommandBatch *batch,
           const CommandBatch *after_begin, uint64_t now_us)
{
    Gateway *g = c->gateway;
    const Session *s = c->session;
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayRun m = SW__RELAY_RUN__INIT;
    OwnerContact *o = owner_contact(g, c->owner);

    m.relay = c->relay;
    m.server = c->server->id;
    m.team = c->team;
    m.n_commands = batch->count;
    m.commands = commands_fill(batch);
    m.n_after_begin = after_begin->count;
    m.after_begin = commands_fill(after_begin);
    m.target_us = time_left(s->job.order_us, now_us);
    m.due_us = time_left(s->job.deadline_us, now_us + kRejectMarginUs);
    m.patience_us = max_wait_us(c, now_us);
    m.step = s->job.step + 1;
    m.single = loan_ends_with_answer(s);
    m.continues = s->begun;
    c->timed = is_timed(c->server, o, now_us);
    m.timed = c->timed;
    if (s->job.crossing_decided) {
        c->chosen = s->job.crossing.reason == kCrossingWait ||
                    s->job.crossing.reason == kCrossingConnection;
    }
    m.chosen = c->chosen;
    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &m;
    g->counters.relayed++;
    if (o->pending_answers++ == 0) {
        o->last_seen_us = now_us;
    }
    send_frame(g, c->owner, &frame);
    commands_free(m.commands);
    commands_free(m.after_begin);
}

/* Ends the loan of a connection and notifies the owner, unless the owner has
 * ended it; called by connection_close.  awaited tells whether a result was
 * pending. */
void
relay_close(Connection *c, gboolean awaited)
{
    Gateway *g = c->gateway;
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayEnd m = SW__RELAY_END__INIT;
    OwnerContact *o = owner_contact(g, c->owner);

    g_ptr_array_remove_fast(c->server->relays, c);
    g_hash_table_remove(g->relays, &c->relay);
    if (awaited && o->pending_answers > 0) {
        o->pending_answers--;
    }
    if (c->ended_by_owner) {
        return;
    }
    m.relay = c->relay;
    frame.body_case = SW__FRAME__BODY_RELAY_END;
    frame.relay_end = &m;
    send_frame(g, c->owner, &frame);
}

/* ---- results from owners ---- */

/* Converts a result to an answer; the strings are not copied. */
static ServerAnswer
answer_of(const Sw__RelayResult *m)
{
    return (ServerAnswer){.code = (AnswerCode)m->code,
                          .code_text = m->code_text,
                          .detail = m->detail,
                          .rows = (const char *)m->rows.data,
                          .rows_bytes = m->rows.len,
                          .tag = m->tag,
                          .state = (SessionState)m->state,
                          .position = {m->term, m->number},
                          .position_text = m->position};
}

/* Handles a statement that the owner rejected before it ran, and which may be
 * retried at another server. */
static void
handle_not_run(Connection *c, uint64_t now_us, const Sw__RelayResult *m)
{
    ServerAnswer a = answer_of(m);

    c->awaiting = FALSE;
    c->ended_by_owner = TRUE;
    c->server->open_statements--;
    if (m->server_failing) {
        slow_start_gate_broken(c->server, now_us);
        c->server->relay_avoid_until_us = now_us + kAvoidRelayUs;
    }
    if (c->session == NULL) {
        connection_close(c);
        return;
    }
    session_answer(c->session, now_us, &a);
}

/* Handles the result of a statement.  Results for connections that were closed
 * in the meantime are ignored. */
void
relay_result(Gateway *g, uint64_t now_us, const char *from,
             const Sw__RelayResult *m)
{
    Connection *c = g_hash_table_lookup(g->relays, &m->relay);
    OwnerContact *o = owner_contact(g, from);

    o->last_seen_us = now_us;
    if (c == NULL || !c->awaiting || strcmp(c->owner, from) != 0) {
        return;
    }
    if (m->outcome != SW__RELAY_OUTCOME__RELAY_LOST &&
        o->pending_answers > 0) {
        o->pending_answers--;
    }
    if (c->timed && m->held_us != 0) {
        link_time_measured(&o->link, now_us, now_us - c->sent_us, m->held_us);
    }
    c->server->owner_wait_us = m->wait_us;
    c->server->owner_wait_updated_us = now_us;
    c->server->drain_milli_per_s = m->drain_milli_per_s;
    c->server->shed_milli_per_s = m->shed_milli_per_s;
    if (c->session != NULL) {
        admission_view_set_wait(&c->server->admission, now_us,
                                dispatch_level(c->session), m->wait_us);
    }
    admission_view_update(&c->server->admission, now_us, c->team, m->admitted,
                          m->team_admitted);
    if (m->service_us != 0) {
        c->server->service_us = m->service_us;
        c->server->service_direct = FALSE;
    }
    switch (m->outcome) {
    case SW__RELAY_OUTCOME__RELAY_NOT_RUN:
        handle_not_run(c, now_us, m);
        return;
    case SW__RELAY_OUTCOME__RELAY_LOST:
        c->ended_by_owner = TRUE;
        slow_start_gate_broken(c->server, now_us);
        c->server->relay_avoid_until_us = now_us + kAvoidRelayUs;
        connection_down(c, now_us, kCodeTimeout);
        return;
    default:
        break;
    }
    ServerAnswer a = answer_of(m);
    server_session_all_done(&c->server_session);
    if (c->session != NULL) {
        crossing_gate_observe(c->session, &a);
    }
    if (m->begun && c->session != NULL) {
        c->session->begun = TRUE;
        c->begin_open = FALSE;
    }
    c->ended_by_owner = c->session != NULL && a.state == kSessionIdle &&
                        loan_ends_with_answer(c->session);
    connection_answer(c, now_us, &a);
}

/* Asks the owner of a server for its load, for work like the session's. */
void
relay_ask_load(const Session *s, const Server *server, uint64_t now_us)
{
    Gateway *g = s->gateway;
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayPing ping = SW__RELAY_PING__INIT;
    Sw__RelayLoad load = SW__RELAY_LOAD__INIT;

    if (!relay_usable(server, now_us)) {
        return;
    }
    load.level = dispatch_level(s);
    load.team = (char *)session_team_name(s);
    ping.server = server->id;
    ping.load = &load;
    ping.sent_us = now_us;
    owner_contact(g, server->owner)->ping_sent_us = now_us;
    g->counters.loads_asked++;
    frame.body_case = SW__FRAME__BODY_RELAY_PING;
    frame.relay_ping = &ping;
    send_frame(g, server->owner, &frame);
}

/* Takes over the load of a server from its owner's answer to a ping. */
static void
load_answered(Gateway *g, uint64_t now_us, const char *from,
              const Sw__RelayPing *m)
{
    Server *s = g_hash_table_lookup(g->servers, m->server);
    const Sw__RelayLoad *load = m->load;

    if (s == NULL || load == NULL || load->level >= kAdmissionLevels ||
        g_strcmp0(s->owner, from) != 0) {
        return;
    }
    s->owner_wait_updated_us = now_us;
    s->drain_milli_per_s = load->drain_milli_per_s;
    s->shed_milli_per_s = load->shed_milli_per_s;
    admission_view_set_wait(&s->admission, now_us, load->level, load->wait_us);
    s->admission.admitted = load->admitted;
    s->admission.updated_us = now_us;
    if (load->service_us != 0) {
        s->service_us = load->service_us;
        s->service_direct = FALSE;
    }
}

/* Answers a ping of a borrower, or records an owner's answer to a ping. */
void
relay_ping(Gateway *g, uint64_t now_us, const char *from,
           const Sw__RelayPing *m)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayPing answer = SW__RELAY_PING__INIT;
    Sw__RelayLoad load = SW__RELAY_LOAD__INIT;

    if (m->answer) {
        OwnerContact *o = owner_contact(g, from);
        o->last_seen_us = now_us;
        /* Only the last ping's time is certain to be an own one. */
        if (m->sent_us != 0 && m->sent_us == o->ping_sent_us) {
            link_time_measured(&o->link, now_us, now_us - m->sent_us, 0);
        }
        load_answered(g, now_us, from, m);
        return;
    }
    if (m->load != NULL &&
        serverpool_load(g, m->server, m->load->level, m->load->team, &load)) {
        load.level = m->load->level;
        answer.server = m->server;
        answer.load = &load;
    }
    answer.answer = TRUE;
    answer.sent_us = m->sent_us;
    frame.body_case = SW__FRAME__BODY_RELAY_PING;
    frame.relay_ping = &answer;
    send_frame(g, from, &frame);
}

/* ---- lost owners ---- */

/* Handles an owner that was lost or is unresponsive.  Closes all connections
 * borrowed from it; statements without a result may have run. */
void
relay_owner_lost(Gateway *g, uint64_t now_us, const char *owner)
{
    OwnerContact *o = g_hash_table_lookup(g->owners, owner);
    GPtrArray *lost = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    if (o == NULL) {
        g_ptr_array_unref(lost);
        return;
    }
    o->avoid_until_us = now_us + kAvoidOwnerUs;
    link_time_lost(&o->link, now_us);
    o->pending_answers = 0;
    g_hash_table_iter_init(&it, g->relays);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (strcmp(((Connection *)value)->owner, owner) == 0) {
            g_ptr_array_add(lost, value);
        }
    }
    for (guint i = 0; i < lost->len; i++) {
        Connection *c = g_ptr_array_index(lost, i);
        Session *s = c->session;
        if (!g_hash_table_contains(g->relays, &c->relay)) {
            continue;
        }
        connection_close(c);
        if (s != NULL) {
            session_connection_lost(s, now_us);
        }
    }
    g_ptr_array_unref(lost);
}

/* Pings an owner that has sent nothing for kPingAfterUs. */
static void
owner_tick(Gateway *g, uint64_t now_us, OwnerContact *o)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayPing ping = SW__RELAY_PING__INIT;

    if (now_us - MAX(o->last_seen_us, o->ping_sent_us) < kPingAfterUs) {
        return;
    }
    o->ping_sent_us = now_us;
    ping.sent_us = now_us;
    frame.body_case = SW__FRAME__BODY_RELAY_PING;
    frame.relay_ping = &ping;
    send_frame(g, o->id, &frame);
}

/* Updates the owners of servers if needed.  Pings owners with pending answers,
 * and handles an unresponsive one as lost. */
void
relay_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    char *unresponsive = NULL;

    if (g->owners_stale && g->entries != NULL) {
        owners_refresh(g, now_us);
    }
    g_hash_table_iter_init(&it, g->owners);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        OwnerContact *o = value;
        if (o->pending_answers == 0) {
            continue;
        }
        if (now_us - o->last_seen_us > kUnresponsiveUs) {
            g_free(unresponsive);
            unresponsive = g_strdup(o->id);
            continue;
        }
        owner_tick(g, now_us, o);
    }
    if (unresponsive != NULL) {
        /* Only after the loop, since the call may change the table; another
         * unresponsive owner is handled in a later tick. */
        relay_owner_lost(g, now_us, unresponsive);
        g_free(unresponsive);
    }
}
