#include <string.h>

#include "gateway/slow_start_gate.h"

/* Connections to backend servers.  A connection belongs to one team and is
 * bound to one session at a time, for a statement or a whole transaction.
 * The session's values and prepared statements are set up on the connection
 * just before use; the connection records which ones it already has. */

enum {
    kPreparedMax = 64, /* per connection; more cause a RESET */
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
    if (c->values != NULL) {
        g_hash_table_destroy(c->values);
    }
    if (c->prepared != NULL) {
        g_hash_table_destroy(c->prepared);
    }
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

/* ---- setting up a session's state ---- */

/* Tells whether the connection needs a RESET before it serves the session:
 * its values are not known, it has a value that the session does not set, or
 * it has too many prepared statements. */
static gboolean
needs_reset(const Connection *c, const Session *s)
{
    GHashTableIter it;
    void *name;

    if (c->values_unknown) {
        return TRUE;
    }
    if (c->prepared != NULL &&
        g_hash_table_size(c->prepared) >= kPreparedMax) {
        return TRUE;
    }
    if (c->values == NULL) {
        return FALSE;
    }
    g_hash_table_iter_init(&it, c->values);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        if (s->values == NULL || !g_hash_table_contains(s->values, name)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Adds the commands that give the connection the session's values, after a
 * RESET if one is needed. */
static void
add_values(Connection *c, const Session *s, CommandBatch *batch)
{
    GHashTableIter it;
    void *name;
    void *value;

    if (!s->begun && needs_reset(c, s)) {
        command_batch_add(batch, (ServerCommand){.kind = kCommandReset});
        g_clear_pointer(&c->values, g_hash_table_destroy);
        g_clear_pointer(&c->prepared, g_hash_table_destroy);
        c->values_unknown = FALSE;
    }
    if (s->values == NULL) {
        return;
    }
    if (c->values == NULL) {
        c->values =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_iter_init(&it, s->values);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        const char *current = g_hash_table_lookup(c->values, name);
        if (current != NULL && strcmp(current, value) == 0) {
            continue;
        }
        command_batch_add(batch, (ServerCommand){.kind = kCommandSet,
                                                 .name = name,
                                                 .value = value});
        g_hash_table_replace(c->values, g_strdup(name), g_strdup(value));
    }
}

/* Adds the command that prepares the job's prepared statement, unless the
 * connection has it already. */
static void
add_prepared(Connection *c, const Job *job, CommandBatch *batch)
{
    if (job->prepared == NULL) {
        return;
    }
    if (c->prepared == NULL) {
        c->prepared =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    if (g_hash_table_contains(c->prepared, job->prepared)) {
        return;
    }
    command_batch_add(batch, (ServerCommand){.kind = kCommandPrepare,
                                             .name = job->prepared,
                                             .value = job->prepared_text,
                                             .writes = job->writes});
    g_hash_table_add(c->prepared, g_strdup(job->prepared));
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

/* Sends the commands; the awaited answer is that to the last command.  The
 * owner of a borrowed connection also gets the commands that follow a
 * BEGIN. */
static void
batch_send(Connection *c, const CommandBatch *batch,
           const CommandBatch *after_begin, uint64_t now_us)
{
    Gateway *g = c->gateway;
    c->answers_ahead = (uint32_t)batch->count - 1;
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

/* Returns how many commands connection_run sends for the session's open
 * statement, with those behind a BEGIN; it may return a few too many. */
uint32_t
connection_commands(const Connection *c, const Session *s)
{
    gboolean resets = !s->begun && needs_reset(c, s);
    uint32_t count = 1;
    GHashTableIter it;
    void *name;
    void *value;

    count += resets;
    count += s->state == kSessionInTransaction && !s->begun;
    count += s->job.prepared != NULL &&
             (resets || c->prepared == NULL ||
              !g_hash_table_contains(c->prepared, s->job.prepared));
    if (s->values == NULL) {
        return count;
    }
    g_hash_table_iter_init(&it, s->values);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        const char *current =
            c->values == NULL ? NULL : g_hash_table_lookup(c->values, name);
        count += resets || g_strcmp0(current, value) != 0;
    }
    return count;
}

/* Adds the session's open statement, preceded by its PREPARE if needed. */
static void
add_statement(Connection *c, const Job *job, Position after,
              CommandBatch *batch)
{
    add_prepared(c, job, batch);
    command_batch_add(batch, (ServerCommand){.kind = kCommandStatement,
                                             .id = job->id,
                                             .text = job->text,
                                             .after = after});
}

/* Binds the connection to a session and sends the session's open statement.
 * No statement is sent to a server behind an unanswered BEGIN: if the server
 * rejected that, a read behind it would run outside the transaction.  The
 * owner of a borrowed connection gets both and waits for the answer to the
 * BEGIN, which saves a round trip between the instances. */
void
connection_run(Connection *c, Session *s, uint64_t now_us)
{
    static CommandBatch batch;
    static CommandBatch after_begin;
    Job *job = &s->job;
    Position after = {0};
    gboolean begins = s->state == kSessionInTransaction && !s->begun;

    command_batch_clear(&batch);
    command_batch_clear(&after_begin);
    c->state = kConnectionBound;
    c->state_since_us = now_us;
    c->session = s;
    c->served++;
    s->connection = c;
    job->sent = TRUE;
    job->server = c->server;
    job->opening = NULL;
    job->with_begin = begins && c->relay != 0;
    add_values(c, s, &batch);
    if (begins) {
        after = s->read_only ? required_position(s, c->server, now_us) : after;
        command_batch_add(
            &batch, (ServerCommand){.kind = s->read_only ? kCommandBeginRead
                                                         : kCommandBegin,
                                    .after = after});
        c->begin_open = TRUE;
        s->at_primary = !s->read_only || after.term == 0;
        if (job->with_begin) {
            add_statement(c, job, (Position){0}, &after_begin);
        }
    }
    else {
        if (!s->begun && !job->writes) {
            after = required_position(s, c->server, now_us);
        }
        if (!s->begun) {
            s->at_primary = after.term == 0;
        }
        add_statement(c, job, after, &batch);
        c->begin_open = FALSE;
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
    c->values_unknown = TRUE;
    c->state = kConnectionRollingBack;
    c->answers_ahead = 0;
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

/* Handles one answer of the server. */
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
    if (c->answers_ahead > 0) {
        c->answers_ahead--;
        if (a->code != kCodeNone) {
            /* A value or prepared statement was rejected, so the statement
             * may run with a different state from the caller's. */
            g_warning(
                "server %s rejected a session value or prepared statement: %s",
                s->id, a->code_text);
            c->values_unknown = TRUE;
        }
        return;
    }
    c->awaiting = FALSE;
    s->open_statements--;
    slow_start_gate_return(s, now_us, &c->permit);
    if (a->code == kCodeNone && !c->begin_open) {
        record_service_time(c, now_us);
    }
    if (a->code == kCodeBusy) {
        concurrency_rejected(&s->concurrency, now_us);
    }
    record_position(c, a, now_us);
    if (c->state == kConnectionRollingBack) {
        if (c->server_state != kSessionIdle) {
            connection_close(c);
            return;
        }
        connection_release(c, now_us);
        return;
    }
    if (c->session != NULL) {
        session_answer(c->session, now_us, a);
    }
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
