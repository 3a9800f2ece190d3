#include <string.h>

#include "gateway/slow_start_gate.h"

/* Connections to backend servers.  A connection belongs to one team and is
 * bound to one session at a time, for a statement or a whole transaction.
 * Where its state is not that of the session, the session's values and
 * prepared statements are set up on it first, and the statement is sent once
 * the server has acknowledged all of them: sent along, it would run also
 * where the server rejected one. */

enum {
    /* A new connection is reserved for so long for the work that it was opened
     * for. */
    kUnservedKeptUs = 100000,
};

static const ServerEvents kEvents = {connection_ready, connection_answer,
                                     connection_down};

/* Opens a connection for a team.  The result is never NULL and is owned by
 * the server. */
Connection *
connection_open(Server *server, const char *team, uint64_t now_us)
{
    Gateway *g = server->database->gateway;
    Connection *c = g_new0(Connection, 1);

    c->gateway = g;
    c->server = server;
    c->team = g_strdup(team);
    c->state = kConnectionOpening;
    c->state_since_us = now_us;
    slow_start_gate_opening(server, now_us, server->connections->len);
    g_ptr_array_add(server->connections, c);
    server->opening++;
    g->counters.connections_opened++;
    c->link = g->port.server_open(g->port.ctx, &kEvents, c, server->address,
                                  server->database->name, team, server->id);
    return c;
}

/* Frees a closed connection. */
void
connection_free(void *connection)
{
    Connection *c = connection;
    server_session_clear(&c->server_session);
    g_free(c->team);
    g_free(c->owner);
    g_free(c);
}

/* Detaches the jobs that wait for this connection to open. */
static void
detach_opening(Connection *c)
{
    for (GList *l = c->gateway->active.head; l != NULL; l = l->next) {
        Session *waiting = l->data;
        if (waiting->job.opening == c) {
            waiting->job.opening = NULL;
        }
    }
}

/* Closes a connection; its memory is freed in the next tick.  The caller must
 * handle the session that the connection was bound to. */
void
connection_close(Connection *c)
{
    Gateway *g = c->gateway;
    Server *s = c->server;

    if (c->state == kConnectionOpening) {
        s->opening--;
    }
    gboolean awaited = c->awaiting;
    slow_start_gate_lost(s, &c->permit);
    if (awaited) {
        s->open_statements--;
        c->awaiting = FALSE;
    }
    if (c->link != NULL) {
        g->port.server_close(g->port.ctx, c->link);
        c->link = NULL;
    }
    if (c->relay != 0) {
        relay_close(c, awaited);
    }
    else {
        g_ptr_array_remove_fast(s->connections, c);
    }
    detach_opening(c);
    if (c->session != NULL && c->session->connection == c) {
        c->session->connection = NULL;
    }
    c->session = NULL;
    g_ptr_array_add(g->closed, c);
}

/* ---- setting up a session's state ---- */

/* Returns the commands that set up what a session's open statement needs.
 * They are valid until the next call. */
static const CommandBatch *
needed_state(const Session *s)
{
    static CommandBatch needed;
    const Job *job = &s->job;
    GHashTableIter it;
    void *name;
    void *value;

    command_batch_clear(&needed);
    if (s->values != NULL) {
        g_hash_table_iter_init(&it, s->values);
        while (g_hash_table_iter_next(&it, &name, &value)) {
            command_batch_add(&needed, (ServerCommand){.kind = kCommandSet,
                                                       .name = name,
                                                       .value = value});
        }
    }
    if (job->prepared != NULL) {
        command_batch_add(&needed, (ServerCommand){.kind = kCommandPrepare,
                                                   .name = job->prepared,
                                                   .value = job->prepared_text,
                                                   .writes = job->writes});
    }
    return &needed;
}

/* ---- idle connections ---- */

/* Returns an idle connection of a team or NULL. */
Connection *
server_idle_connection(const Server *s, const char *team)
{
    for (guint i = 0; i < s->connections->len; i++) {
        Connection *c = g_ptr_array_index(s->connections, i);
        if (c->state == kConnectionIdle && strcmp(c->team, team) == 0) {
            return c;
        }
    }
    return NULL;
}

/* Returns the idle connection that a session's open statement would use, or
 * NULL: one that has the session's state already, else the one that has been
 * idle longest. */
Connection *
server_connection_for(const Server *server, Session *s)
{
    const char *team = session_team_name(s);
    const CommandBatch *needed = needed_state(s);
    Connection *best = NULL;

    for (guint i = 0; i < server->connections->len; i++) {
        Connection *c = g_ptr_array_index(server->connections, i);
        if (c->state != kConnectionIdle || strcmp(c->team, team) != 0) {
            continue;
        }
        if (server_session_matches(&c->server_session, needed, FALSE)) {
            return c;
        }
        if (best == NULL || c->state_since_us < best->state_since_us) {
            best = c;
        }
    }
    return best;
}

/* Returns the connection that has been idle longest or NULL.  A connection
 * that has served nothing yet is skipped for kUnservedKeptUs. */
Connection *
server_oldest_idle(const Server *s, uint64_t now_us)
{
    Connection *oldest = NULL;
    for (guint i = 0; i < s->connections->len; i++) {
        Connection *c = g_ptr_array_index(s->connections, i);
        gboolean kept =
            c->served == 0 && now_us - c->state_since_us < kUnservedKeptUs;
        if (c->state == kConnectionIdle && !kept &&
            (oldest == NULL || c->state_since_us < oldest->state_since_us)) {
            oldest = c;
        }
    }
    return oldest;
}

/* ---- running ---- */

/* Returns the position that the server must have reached to serve the
 * session's job.  For the primary its term is zero: none is required. */
static Position
required_position(const Session *s, const Server *server, uint64_t now_us)
{
    Position after = {0};
    if (server == database_primary(s->database, now_us)) {
        return after;
    }
    freshness_required(&s->database->freshness, now_us,
                       s->route->max_staleness_us, s->last_commit, &after);
    return after;
}

/* Sends the commands.  The owner of a borrowed connection also gets those that
 * follow a BEGIN, and sends one result for all. */
static void
batch_send(Connection *c, const CommandBatch *batch,
           const CommandBatch *after_begin, uint64_t now_us)
{
    Gateway *g = c->gateway;

    c->answers_left = c->relay != 0 ? 1 : (uint32_t)batch->count;
    c->awaiting = TRUE;
    c->sent_us = now_us;
    c->server->open_statements++;
    if (c->relay != 0) {
        relay_send(c, batch, after_begin, now_us);
        return;
    }
    slow_start_gate_take(c->server, now_us, FALSE, (uint32_t)batch->count,
                         &c->permit);
    g->port.server_send(g->port.ctx, c->link, batch->commands, batch->count);
}

/* Returns how many commands connection_run and what follows it send for the
 * session's open statement. */
uint32_t
connection_commands(Connection *c, const Session *s)
{
    gboolean begins = s->state == kSessionInTransaction && !s->begun;

    return server_session_count(&c->server_session, needed_state(s),
                                s->begun) +
           begins + 1;
}

/* Adds the session's open statement. */
static void
add_statement(const Job *job, Position after, CommandBatch *batch)
{
    command_batch_add(batch, (ServerCommand){.kind = kCommandStatement,
                                             .id = job->id,
                                             .text = job->text,
                                             .after = after});
}

/* Adds the session's BEGIN. */
static void
add_begin(Connection *c, Session *s, uint64_t now_us, CommandBatch *batch)
{
    Position after = {0};

    if (s->read_only) {
        after = required_position(s, c->server, now_us);
    }
    command_batch_add(batch,
                      (ServerCommand){.kind = s->read_only ? kCommandBeginRead
                                                           : kCommandBegin,
                                      .after = after});
    c->begin_open = TRUE;
    s->at_primary = !s->read_only || after.term == 0;
}

/* Returns the position that the open statement needs, which is part of a
 * transaction that a server has begun, or of none. */
static Position
statement_position(Session *s, const Server *server, uint64_t now_us)
{
    Position after = {0};

    if (s->begun) {
        return after;
    }
    if (!s->job.writes) {
        after = required_position(s, server, now_us);
    }
    s->at_primary = after.term == 0;
    return after;
}

/* Binds the connection to a session and sends the session's open statement.
 * On a direct connection this takes a round trip for each step: the session's
 * state, unless the connection has it, together with the BEGIN, if there is
 * one; then the statement.  No statement is sent behind an unanswered BEGIN:
 * if the server rejected that, a read behind it would run outside the
 * transaction.  The owner of a borrowed connection gets everything at once,
 * takes the same steps and sends one result. */
void
connection_run(Connection *c, Session *s, uint64_t now_us)
{
    static CommandBatch batch;
    static CommandBatch after_begin;
    Job *job = &s->job;
    gboolean begins = s->state == kSessionInTransaction && !s->begun;

    command_batch_clear(&batch);
    command_batch_clear(&after_begin);
    c->state = kConnectionBound;
    c->state_since_us = now_us;
    c->session = s;
    c->begin_open = FALSE;
    s->connection = c;
    job->sent = TRUE;
    job->server = c->server;
    job->opening = NULL;
    job->with_begin = begins && c->relay != 0;
    if (!server_session_add(&c->server_session, needed_state(s), s->begun,
                            &batch)) {
        session_setup_rejected(s, now_us, kCodeOther);
        return;
    }
    job->setting_up = c->relay == 0 && batch.count > 0;
    c->gateway->counters.session_setups += job->setting_up;
    c->served += begins || !job->setting_up;
    if (begins) {
        add_begin(c, s, now_us, &batch);
    }
    if (job->with_begin) {
        add_statement(job, (Position){0}, &after_begin);
    }
    else if (!begins) {
        Position after = statement_position(s, c->server, now_us);
        if (!job->setting_up) {
            add_statement(job, after, &batch);
        }
    }
    batch_send(c, &batch, &after_begin, now_us);
}

/* Unbinds the connection from its session.  It may serve another session only
 * if the server reported that no transaction is open on it: otherwise it is
 * rolled back first, or closed if an answer is awaited.  A borrowed connection
 * is closed, and its owner does the same. */
void
connection_release(Connection *c, uint64_t now_us)
{
    Gateway *g = c->gateway;
    ServerCommand command = {.kind = kCommandRollback};

    if (c->session != NULL && c->session->connection == c) {
        c->session->connection = NULL;
    }
    c->session = NULL;
    c->state_since_us = now_us;
    if (c->relay != 0 || c->awaiting) {
        connection_close(c);
        return;
    }
    server_session_trim(&c->server_session);
    if (c->server_state == kSessionIdle) {
        c->state = kConnectionIdle;
        dispatch_pump(c->server, now_us);
        return;
    }
    if (slow_start_gate_wait_us(c->server, now_us, FALSE, 1) != 0) {
        /* Closing rolls back without a request to a cold server. */
        connection_close(c);
        return;
    }
    slow_start_gate_take(c->server, now_us, FALSE, 1, &c->permit);
    /* It is unspecified whether values survive a rollback. */
    server_session_forget(&c->server_session);
    c->state = kConnectionRollingBack;
    c->answers_left = 1;
    c->awaiting = TRUE;
    c->sent_us = now_us;
    c->server->open_statements++;
    g->port.server_send(g->port.ctx, c->link, &command, 1);
}

/* ---- events ---- */

/* Handles the server's acceptance of the connection. */
void
connection_ready(void *connection, uint64_t now_us)
{
    Connection *c = connection;
    Server *s = c->server;
    if (c->state != kConnectionOpening) {
        return;
    }
    s->opening--;
    server_answered(s, now_us);
    slow_start_gate_contact(s, now_us);
    s->avoid_until_us = 0;
    c->state = kConnectionIdle;
    c->state_since_us = now_us;
    /* Another session of the team may use it first. */
    detach_opening(c);
    dispatch_pump(c->server, now_us);
}

/* Records the service time of the awaited answer.  That of a borrowed
 * connection is recorded by its owner. */
static void
record_service_time(Connection *c, uint64_t now_us)
{
    Server *s = c->server;
    uint64_t took_us = now_us - c->sent_us;

    if (c->relay != 0) {
        return;
    }
    server_record_service_time(s, took_us);
    s->service_direct = TRUE;
    concurrency_answered(&s->concurrency, now_us, took_us, s->open_statements,
                         s->connections->len + 1);
}

/* Adds the position of a primary's answer to the freshness samples. */
static void
record_position(Connection *c, const ServerAnswer *a, uint64_t now_us)
{
    Server *s = c->server;
    Database *d = s->database;
    if (a->position.term == 0 || s != database_primary(d, now_us)) {
        return;
    }
    freshness_add(&d->freshness, c->sent_us, a->position);
}

/* Handles the answer to a command that sets up the session's state. */
static void
setup_answered(Connection *c, const ServerAnswer *a)
{
    const Session *s = c->session;
    SessionState expected =
        s != NULL && s->begun ? kSessionInTransaction : kSessionIdle;

    if (!server_session_answered(&c->server_session, a, expected)) {
        server_rejected_setup(c->server, a);
    }
}

/* Handles the answer to a ROLLBACK. */
static void
rollback_answered(Connection *c, uint64_t now_us)
{
    if (c->server_state != kSessionIdle) {
        connection_close(c);
        return;
    }
    connection_release(c, now_us);
}

/* Handles one answer of the server, or the result of an owner. */
void
connection_answer(void *connection, uint64_t now_us, const ServerAnswer *a)
{
    Connection *c = connection;
    Server *s = c->server;

    server_answered(s, now_us);
    if (c->relay == 0) {
        slow_start_gate_contact(s, now_us);
    }
    c->server_state = a->state;
    if (!c->awaiting) {
        connection_down(c, now_us, kCodeOther);
        return;
    }
    gboolean setup =
        c->relay == 0 && server_session_is_open(&c->server_session);
    if (setup) {
        setup_answered(c, a);
    }
    if (--c->answers_left > 0) {
        return;
    }
    c->awaiting = FALSE;
    s->open_statements--;
    slow_start_gate_return(s, now_us, &c->permit);
    if (a->code == kCodeNone && !c->begin_open && !setup) {
        record_service_time(c, now_us);
    }
    if (a->code == kCodeBusy) {
        concurrency_rejected(&s->concurrency, now_us);
    }
    record_position(c, a, now_us);
    if (c->state == kConnectionRollingBack) {
        rollback_answered(c, now_us);
        return;
    }
    if (c->session == NULL) {
        return;
    }
    if (c->server_session.rejection != kCodeNone) {
        session_setup_rejected(c->session, now_us,
                               c->server_session.rejection);
        return;
    }
    if (setup) {
        session_set_up(c->session, now_us);
        return;
    }
    session_answer(c->session, now_us, a);
}

/* Handles the loss of the connection, or its refusal with a code. */
void
connection_down(void *connection, uint64_t now_us, AnswerCode code)
{
    Connection *c = connection;
    Server *server = c->server;
    Session *s = c->session;
    gboolean opening = c->state == kConnectionOpening;

    c->gateway->counters.connections_lost++;
    if (code == kCodeTooMany || code == kCodeBusy) {
        server_refused_connection(server, now_us);
    }
    else {
        slow_start_gate_broken(server, now_us);
        if (opening || c->awaiting) {
            server_failed(server, now_us,
                          opening ? c->state_since_us : c->sent_us, opening);
        }
    }
    connection_close(c);
    if (s != NULL) {
        session_connection_lost(s, now_us);
    }
}
