#include <string.h>

#include "core/message.h"
#include "gateway/serverpool_internal.h"
#include "gateway/slow_start_gate.h"
#include "policy/connection_share.h"

/* The connections that the owner of a backend server lends to all entry
 * instances.  Statements wait in one queue, ordered by their latency
 * objectives.  Only about as many are sent as the server runs at the same
 * time, so that its own queue stays short.  A statement that cannot run in
 * time is rejected at once, before it is sent. */

enum {
    kExtraStatements = 1, /* above the slots, to cover a round trip */
    /* Queued work is rejected once its server has been failing for so long. */
    kFailingMaxWaitUs = 60000,
    kBusyPauseUs = 12000, /* before a retry at a server with a full queue */
    /* Idle time limit of a former owner's connections, about two statements;
     * then the new owner needs them. */
    kFormerOwnerIdleUs = 40000,
    kLentIdleUs = 8000000,       /* minimum idle limit of a loan */
    kLentIdleMarginUs = 2000000, /* above the limit of a transaction */
};

/* ---- connections ---- */

static void pool_pump(ServerPool *pool, uint64_t now_us);
static void setup_rejected(PooledJob *j, uint64_t now_us, AnswerCode code);
static void on_down(void *owner, uint64_t now_us, AnswerCode code);

static void
pooled_free(void *connection)
{
    PooledConnection *c = connection;
    server_session_clear(&c->server_session);
    g_free(c->team);
    g_free(c);
}

/* Detaches the jobs that wait for this connection to open. */
static void
detach_opening(const PooledConnection *c)
{
    for (GList *l = c->pool->waiting.head; l != NULL; l = l->next) {
        PooledJob *j = l->data;
        if (j->opening == c) {
            j->opening = NULL;
        }
    }
}

/* Counts the commands that a connection has sent: with a statement, BEGIN or
 * ROLLBACK as one of the server's, else as setting up a session's state. */
static void
pooled_count(PooledConnection *c, gboolean statement)
{
    c->awaiting = TRUE;
    c->counted = statement;
    if (statement) {
        c->pool->open++;
    }
    else {
        c->pool->setups++;
    }
}

/* Ends the count of the commands that a connection awaits answers to. */
static void
pooled_uncount(PooledConnection *c)
{
    if (!c->awaiting) {
        return;
    }
    c->awaiting = FALSE;
    if (c->counted) {
        c->pool->open--;
    }
    else {
        c->pool->setups--;
    }
}

/* Closes a connection and detaches its job; its memory is freed in the next
 * tick. */
void
pooled_close(PooledConnection *c)
{
    ServerPool *pool = c->pool;
    Gateway *g = pool->gateway;

    if (c->link == NULL) {
        return;
    }
    if (c->state == kPooledOpening) {
        pool->open--;
    }
    pooled_uncount(c);
    pooled_ahead_ends(c, FALSE);
    slow_start_gate_lost(pool->server, &c->permit);
    g->port.server_close(g->port.ctx, c->link);
    c->link = NULL;
    detach_opening(c);
    if (c->job != NULL) {
        c->job->connection = NULL;
        c->job = NULL;
    }
    g_ptr_array_remove_fast(pool->connections, c);
    g_ptr_array_add(pool->closed, c);
}

/* Ends the loan of a connection, and rolls back a transaction that is open on
 * it. */
void
pooled_end_loan(PooledConnection *c, uint64_t now_us)
{
    static const ServerCommand rollback = {.kind = kCommandRollback};
    Gateway *g = c->pool->gateway;

    c->job = NULL;
    c->state = kPooledIdle;
    c->state_since_us = now_us;
    server_session_trim(&c->server_session);
    if (c->session_state == kSessionIdle) {
        return;
    }
    if (slow_start_gate_wait_us(c->pool->server, now_us, TRUE, 1) != 0) {
        /* Closing rolls back without a request to a cold server. */
        pooled_close(c);
        return;
    }
    slow_start_gate_take(c->pool->server, now_us, TRUE, 1, &c->permit);
    /* It is unspecified whether values survive a rollback. */
    server_session_forget(&c->server_session);
    c->state = kPooledRollingBack;
    c->answers_left = 1;
    c->sent_us = now_us;
    pooled_count(c, TRUE);
    g->port.server_send(g->port.ctx, c->link, &rollback, 1);
}

/* Appends a borrower's commands, except those that set up the session's
 * state. */
static void
add_commands(Sw__RelayCommand *const *list, size_t count, CommandBatch *batch)
{
    for (size_t i = 0; i < count; i++) {
        ServerCommand command = pooled_command(list[i]);
        if (!server_session_changes(command.kind)) {
            command_batch_add(batch, command);
        }
    }
}

/* Sends commands; the connection awaits the answers to all of them. */
static void
pooled_send(PooledConnection *c, const CommandBatch *batch, uint64_t now_us)
{
    Gateway *g = c->pool->gateway;

    c->sent_us = now_us;
    c->answers_left = (uint32_t)batch->count;
    pooled_count(c, !server_session_is_open(&c->server_session));
    g->port.server_send(g->port.ctx, c->link, batch->commands, batch->count);
}

/* Sends what follows the session's state, or the BEGIN, of a job. */
void
pooled_send_rest(PooledConnection *c, PooledJob *j, uint64_t now_us)
{
    static CommandBatch batch;
    const Sw__RelayRun *m = j->run;

    command_batch_clear(&batch);
    j->setting_up = FALSE;
    if (j->begun) {
        add_commands(m->after_begin, m->n_after_begin, &batch);
    }
    else {
        add_commands(m->commands, m->n_commands, &batch);
    }
    pooled_send(c, &batch, now_us);
}

/* Runs a job in the same steps as connection_run does: the session's state,
 * unless the connection has it, together with the BEGIN, if there is one; then
 * the statement. */
void
pooled_run(PooledConnection *c, PooledJob *j, uint64_t now_us)
{
    static CommandBatch batch;
    Gateway *g = c->pool->gateway;

    histogram_observe(&g->counters.queue, now_us - j->arrived_us);
    pooled_job_dequeue(j);
    pooled_unhold(j);
    pooled_unready(j);
    pooled_ahead_ends(c, TRUE);
    j->connection = c;
    j->opening = NULL;
    c->job = j;
    c->state = kPooledLent;
    c->state_since_us = now_us;
    j->begin_open = j->run->n_after_begin > 0;
    slow_start_gate_take(c->pool->server, now_us, TRUE, pooled_cost(c, j),
                         &c->permit);
    command_batch_clear(&batch);
    if (!server_session_add(&c->server_session, pooled_job_needed(j),
                            j->run->continues, &batch)) {
        slow_start_gate_return(c->pool->server, now_us, &c->permit);
        setup_rejected(j, now_us, kCodeOther);
        return;
    }
    j->setting_up = batch.count > 0;
    g->counters.session_setups += j->setting_up;
    if (!j->setting_up) {
        pooled_send_rest(c, j, now_us);
        return;
    }
    if (j->begin_open) {
        add_commands(j->run->commands, j->run->n_commands, &batch);
    }
    pooled_send(c, &batch, now_us);
}

/* Tells whether connection a is better used than b for a session whose state
 * neither has.  Connections without values are kept for sessions that need
 * none, then the one that has been idle longest is used. */
static gboolean
is_better(const PooledConnection *a, const PooledConnection *b)
{
    gboolean a_clean = server_session_is_clean(&a->server_session);
    gboolean b_clean = server_session_is_clean(&b->server_session);

    return a_clean == b_clean ? a->state_since_us < b->state_since_us
                              : b_clean;
}

/* Returns the idle connection that a job would use, or NULL: one that has the
 * session's state already, else the one that has been idle longest. */
PooledConnection *
pooled_idle_for(ServerPool *pool, const PooledJob *j)
{
    const CommandBatch *needed = pooled_job_needed(j);
    PooledConnection *best = NULL;

    for (guint i = 0; i < pool->connections->len; i++) {
        PooledConnection *c = g_ptr_array_index(pool->connections, i);
        if (c->state != kPooledIdle || strcmp(c->team, j->team) != 0) {
            continue;
        }
        if (server_session_matches(&c->server_session, needed, FALSE)) {
            return c;
        }
        if (best == NULL || is_better(c, best)) {
            best = c;
        }
    }
    return best;
}

/* Returns the connection that has been idle longest or NULL. */
PooledConnection *
pooled_longest_idle(const ServerPool *pool)
{
    PooledConnection *oldest = NULL;

    for (guint i = 0; i < pool->connections->len; i++) {
        PooledConnection *c = g_ptr_array_index(pool->connections, i);
        if (c->state == kPooledIdle &&
            (oldest == NULL || c->state_since_us < oldest->state_since_us)) {
            oldest = c;
        }
    }
    return oldest;
}

/* ---- events of links ---- */

/* Handles the server's acceptance of a connection. */
static void
on_ready(void *owner, uint64_t now_us)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;

    pool->open--;
    server_answered(pool->server, now_us);
    slow_start_gate_contact(pool->server, now_us);
    pool->server->avoid_until_us = 0;
    c->state = kPooledIdle;
    c->state_since_us = now_us;
    detach_opening(c);
    pool_pump(pool, now_us);
}

/* Puts a job that the server rejected as too busy back into the queue, and
 * releases its connection. */
static void
requeue_job(PooledJob *j, uint64_t now_us)
{
    PooledConnection *c = j->connection;

    j->connection = NULL;
    pooled_end_loan(c, now_us);
    j->retry_at_us = now_us + kBusyPauseUs;
    pooled_job_enqueue(j);
}

/* Handles a part of the session's state that the server rejected with a code.
 * The job's statement has not been sent.  A rejection other than BUSY leaves
 * it open what the connection is good for, so that it is closed. */
static void
setup_rejected(PooledJob *j, uint64_t now_us, AnswerCode code)
{
    PooledConnection *c = j->connection;
    ServerAnswer a = {.code = code == kCodeMalformed ? code : kCodeBusy,
                      .detail = "not run: the server rejected a session "
                                "value or prepared statement",
                      .state = c->session_state};

    j->begin_open = FALSE;
    j->setting_up = FALSE;
    if (j->run->continues) {
        /* The borrower ends the transaction. */
        sw__relay_run__free_unpacked(j->run, NULL);
        j->run = NULL;
        pooled_job_answer(j, now_us, &a);
    }
    else if (code == kCodeBusy) {
        requeue_job(j, now_us);
    }
    else if (code == kCodeMalformed) {
        /* Other servers would reject it as well. */
        pooled_job_answer(j, now_us, &a);
        pooled_job_remove(j);
        pooled_end_loan(c, now_us);
    }
    else {
        pooled_job_reject(j, now_us);
        pooled_close(c);
    }
}

/* Handles the answer to a command that sets up the state of a job's
 * session. */
static void
setup_answered(PooledConnection *c, const PooledJob *j, const ServerAnswer *a)
{
    SessionState expected =
        j->run->continues ? kSessionInTransaction : kSessionIdle;

    if (!server_session_answered(&c->server_session, a, expected)) {
        server_rejected_setup(c->pool->server, a);
    }
}

/* Handles the answer to a ROLLBACK. */
static void
rollback_answered(PooledConnection *c, uint64_t now_us, const ServerAnswer *a)
{
    slow_start_gate_return(c->pool->server, now_us, &c->permit);
    if (a->state == kSessionIdle) {
        c->state = kPooledIdle;
    }
    else {
        pooled_close(c);
    }
}

/* Handles the answer to a job's statement, or to a BEGIN that failed. */
static void
job_answered(PooledJob *j, uint64_t now_us, const ServerAnswer *a)
{
    ServerPool *pool = j->pool;
    PooledConnection *c = j->connection;
    gboolean single = j->run->single;

    if (a->code == kCodeNoStatement) {
        /* The server has dropped what it had acknowledged. */
        server_session_forget(&c->server_session);
    }
    if (a->code == kCodeBusy && !j->run->continues && !j->begun) {
        requeue_job(j, now_us);
        return;
    }
    if (a->code == kCodeNone) {
        server_record_service_time(pool->server, now_us - c->sent_us);
        admission_finished(&pool->admission, &j->work, now_us - c->sent_us);
    }
    sw__relay_run__free_unpacked(j->run, NULL);
    j->run = NULL;
    pooled_job_answer(j, now_us, a);
    if (single && a->state == kSessionIdle) {
        pooled_job_remove(j);
        pooled_end_loan(c, now_us);
    }
}

/* Tells whether a job whose session state is set up may send its statement: if
 * the server has room, or the job waits no longer, as it continues a
 * transaction or has been counted by the limit of a cold server. */
static gboolean
may_send_now(const PooledJob *j, uint64_t now_us)
{
    const ServerPool *pool = j->pool;

    return serverpool_has_room(pool) || !j->setting_up || j->run->continues ||
           slow_start_gate_is_limited(pool->server, now_us);
}

/* Handles the last answer to the commands that were sent for a job.
 * answers_setup: it is that to a command that sets up the session's state. */
static void
job_continue(PooledJob *j, uint64_t now_us, const ServerAnswer *a,
             gboolean answers_setup)
{
    PooledConnection *c = j->connection;
    gboolean accepted = c->server_session.rejection == kCodeNone;
    gboolean begins = j->begin_open && a->code == kCodeNone;

    if (accepted && begins) {
        j->begin_open = FALSE;
        j->begun = TRUE;
    }
    if (accepted && (begins || answers_setup)) {
        if (may_send_now(j, now_us)) {
            pooled_send_rest(c, j, now_us);
        }
        else {
            pooled_ready(j);
        }
        return;
    }
    slow_start_gate_return(j->pool->server, now_us, &c->permit);
    if (!accepted) {
        setup_rejected(j, now_us, c->server_session.rejection);
        return;
    }
    job_answered(j, now_us, a);
}

/* Handles one answer of the server. */
static void
on_answer(void *owner, uint64_t now_us, const ServerAnswer *a)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;
    PooledJob *j = c->job;

    server_answered(pool->server, now_us);
    slow_start_gate_contact(pool->server, now_us);
    c->session_state = a->state;
    if (!c->awaiting) {
        on_down(c, now_us, kCodeOther);
        return;
    }
    if (j == NULL && c->state != kPooledRollingBack) {
        pooled_close(c);
        return;
    }
    gboolean setup = j != NULL && server_session_is_open(&c->server_session);
    if (setup) {
        setup_answered(c, j, a);
    }
    if (--c->answers_left > 0) {
        return;
    }
    pooled_uncount(c);
    if (c->state == kPooledRollingBack) {
        rollback_answered(c, now_us, a);
    }
    else {
        j->last_answer_us = now_us;
        job_continue(j, now_us, a, setup);
    }
    pool_pump(pool, now_us);
}

/* Handles the loss of a connection, or its refusal with a code. */
static void
on_down(void *owner, uint64_t now_us, AnswerCode code)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;
    PooledJob *j = c->job;
    gboolean opening = c->state == kPooledOpening;

    pool->gateway->counters.connections_lost++;
    if (opening) {
        connection_warmup_failed(&pool->server->warmup, now_us);
    }
    if (code == kCodeTooMany || code == kCodeBusy) {
        server_refused_connection(pool->server, now_us);
    }
    else {
        slow_start_gate_broken(pool->server, now_us);
        if (opening || c->awaiting) {
            server_failed(pool->server, now_us,
                          opening ? c->state_since_us : c->sent_us, opening);
        }
    }
    pooled_close(c);
    if (j != NULL) {
        pooled_job_lost(j, now_us);
    }
    pool_pump(pool, now_us);
}

/* Opens a connection for a team. */
PooledConnection *
pooled_open(ServerPool *pool, const char *team, uint64_t now_us)
{
    static const ServerEvents events = {on_ready, on_answer, on_down};
    Gateway *g = pool->gateway;
    const Server *s = pool->server;
    PooledConnection *c = g_new0(PooledConnection, 1);

    c->pool = pool;
    c->team = g_strdup(team);
    c->state = kPooledOpening;
    c->state_since_us = now_us;
    slow_start_gate_opening(pool->server, now_us, pool->connections->len);
    g_ptr_array_add(pool->connections, c);
    pool->open++;
    g->counters.connections_opened++;
    c->link = g->port.server_open(g->port.ctx, &events, c, s->address,
                                  s->database->name, team, s->id);
    return c;
}

/* ---- the queue ---- */

/* Tells whether another statement or handshake may be sent to the server. */
gboolean
serverpool_has_room(const ServerPool *pool)
{
    return pool->open < MAX(pool->server->slots, 1) + kExtraStatements;
}

/* Tells whether a job may be started on an idle connection: its statement may
 * be sent, or the session's state set up for it. */
gboolean
pooled_may_start(PooledConnection *c, const PooledJob *j, uint64_t now_us)
{
    return server_session_matches(&c->server_session, pooled_job_needed(j),
                                  FALSE)
               ? serverpool_has_room(c->pool)
               : serverpool_may_set_up(c->pool, now_us);
}

/* Returns how many connections may be open.  For a while after the server
 * refused one, none may be added. */
uint32_t
serverpool_max_connections(const ServerPool *pool, uint64_t now_us)
{
    const Server *s = pool->server;
    uint32_t max_open = connection_share_owner(server_connection_limit(s));

    return now_us < s->full_until_us ? MIN(max_open, pool->connections->len)
                                     : max_open;
}

/* Opens a connection for a job, in place of another team's idle one if the
 * limit is reached and the job has waited for kTeamSwitchMinWaitUs. */
static void
open_for(ServerPool *pool, PooledJob *j, uint64_t now_us)
{
    const Server *s = pool->server;
    uint32_t max_open = serverpool_max_connections(pool, now_us);
    gboolean waited = now_us - j->arrived_us >= kTeamSwitchMinWaitUs;

    if (j->opening != NULL || now_us < s->avoid_until_us ||
        now_us < s->connect_after_us) {
        return;
    }
    if (pool->connections->len >= max_open) {
        PooledConnection *c = pooled_longest_idle(pool);
        if (c == NULL || !waited) {
            return;
        }
        pooled_close(c);
    }
    j->opening = pooled_open(pool, j->team, now_us);
}

/* Starts waiting jobs: first those with an idle connection of their team,
 * since changing a connection's team costs a handshake, which takes a slot. */
static void
pool_pump(ServerPool *pool, uint64_t now_us)
{
    GList *next;

    pooled_ready_pump(pool, now_us);
    if (!pooled_run_held(pool, now_us)) {
        return;
    }
    if (pool->gateway->prioritized) {
        serverpool_queue_pump(pool, now_us);
        return;
    }
    for (GList *l = pool->waiting.head; l != NULL; l = next) {
        PooledJob *j = l->data;
        PooledConnection *c = pooled_idle_for(pool, j);
        next = l->next;
        if (c == NULL || now_us < j->retry_at_us ||
            !pooled_may_send(c, j, now_us)) {
            continue;
        }
        if (!pooled_may_start(c, j, now_us)) {
            /* Later jobs must not go before this one. */
            break;
        }
        pooled_run(c, j, now_us);
    }
    for (GList *l = pool->waiting.head; l != NULL && serverpool_has_room(pool);
         l = l->next) {
        PooledJob *j = l->data;
        if (now_us >= j->retry_at_us) {
            open_for(pool, j, now_us);
        }
    }
}

/* ---- borrowers ---- */

/* Returns the pool of a server, creating it if needed; NULL if the server is
 * not known or gone. */
ServerPool *
serverpool_of(Gateway *g, const char *server_id)
{
    Server *s = g_hash_table_lookup(g->servers, server_id);

    if (s == NULL || s->gone) {
        return NULL;
    }
    if (s->pool == NULL) {
        s->pool = g_new0(ServerPool, 1);
        s->pool->gateway = g;
        s->pool->server = s;
        s->pool->connections = g_ptr_array_new();
        s->pool->closed = g_ptr_array_new_with_free_func(pooled_free);
        serverpool_queue_init(s->pool);
    }
    return s->pool;
}

/* Rejects a message that names no known loan or server, or has no command. */
static void
reject_unknown(Gateway *g, const char *to, const Sw__RelayRun *run,
               Sw__RelayOutcome outcome)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayResult m = SW__RELAY_RESULT__INIT;

    m.relay = run->relay;
    m.outcome = outcome;
    m.code = kCodeMisrouted;
    m.server_failing = TRUE;
    frame.body_case = SW__FRAME__BODY_RELAY_RESULT;
    frame.relay_result = &m;
    g->port.peer_send(g->port.ctx, to, &frame);
}

/* Rejects commands for a server of an evacuated failure domain, of which the
 * borrower has not learned yet; it tries another server. */
static void
reject_evacuated(Gateway *g, const char *to, const Sw__RelayRun *run)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayResult m = SW__RELAY_RESULT__INIT;

    g->counters.relays_rejected++;
    m.relay = run->relay;
    m.outcome = SW__RELAY_OUTCOME__RELAY_NOT_RUN;
    m.code = kCodeMisrouted;
    frame.body_case = SW__FRAME__BODY_RELAY_RESULT;
    frame.relay_result = &m;
    g->port.peer_send(g->port.ctx, to, &frame);
}

/* Sends further commands of a transaction on the job's connection.  If it
 * has none, or an answer is awaited on it, the job is reported as lost. */
static void
run_continuation(PooledJob *j, uint64_t now_us)
{
    if (j->connection == NULL || j->connection->awaiting) {
        pooled_job_lost(j, now_us);
        return;
    }
    if (j->pool->held.length > 0 ||
        !pooled_may_send(j->connection, j, now_us)) {
        pooled_hold(j);
        return;
    }
    pooled_run(j->connection, j, now_us);
}

/* Handles commands of a borrower: runs, queues or rejects them. */
void
serverpool_run(Gateway *g, uint64_t now_us, const char *from,
               const Sw__RelayRun *m)
{
    char *key = pooled_job_key(from, m->relay);
    PooledJob *j = g_hash_table_lookup(g->pooled_jobs, key);
    ServerPool *pool = serverpool_of(g, m->server);

    if (m->n_commands == 0 || pool == NULL || (j == NULL) != !m->continues) {
        g_free(key);
        reject_unknown(g, from, m,
                       m->continues ? SW__RELAY_OUTCOME__RELAY_LOST
                                    : SW__RELAY_OUTCOME__RELAY_NOT_RUN);
        return;
    }
    if (!m->continues && !evacuation_may_start(pool->server, now_us)) {
        g_free(key);
        reject_evacuated(g, from, m);
        return;
    }
    if (j == NULL) {
        j = pooled_job_new(pool, from, key, m);
    }
    else {
        g_free(key);
    }
    if (j->run != NULL) {
        sw__relay_run__free_unpacked(j->run, NULL);
    }
    j->run = message_copy(m);
    j->begun = FALSE;
    j->arrived_us = now_us;
    j->timed = m->timed;
    j->chosen = m->chosen;
    j->order_us = now_us + m->target_us;
    j->deadline_us = now_us + m->due_us;
    serverpool_queue_arrived(j, now_us, m);
    if (m->continues) {
        run_continuation(j, now_us);
        return;
    }
    if (serverpool_queue_is_too_long(j, m->patience_us)) {
        pooled_job_reject(j, now_us);
        return;
    }
    pooled_job_enqueue(j);
    pool_pump(pool, now_us);
}

/* Ends a loan: rolls back an open transaction, or closes the connection while
 * an answer is awaited on it. */
static void
job_end(PooledJob *j, uint64_t now_us)
{
    ServerPool *pool = j->pool;
    PooledConnection *c = j->connection;

    pooled_job_remove(j);
    if (c == NULL) {
        return;
    }
    if (c->awaiting) {
        pooled_close(c);
    }
    else {
        pooled_end_loan(c, now_us);
    }
    pool_pump(pool, now_us);
}

/* Handles a borrower's message that a loan has ended. */
void
serverpool_end(Gateway *g, uint64_t now_us, const char *from, uint64_t relay)
{
    char *key = pooled_job_key(from, relay);
    PooledJob *j = g_hash_table_lookup(g->pooled_jobs, key);

    g_free(key);
    if (j != NULL) {
        job_end(j, now_us);
    }
}

/* Tells whether end_jobs ends a job; arg is passed on from end_jobs. */
typedef gboolean (*JobMatch)(const PooledJob *j, uint64_t now_us,
                             const void *arg);

/* Ends all jobs for which match returns TRUE. */
static void
end_jobs(Gateway *g, uint64_t now_us, JobMatch match, const void *arg)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->pooled_jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (match(value, now_us, arg)) {
            g_ptr_array_add(found, value);
        }
    }
    for (guint i = 0; i < found->len; i++) {
        job_end(g_ptr_array_index(found, i), now_us);
    }
    g_ptr_array_unref(found);
}

static gboolean
is_of_borrower(const PooledJob *j, uint64_t now_us, const void *from)
{
    (void)now_us;
    return strcmp(j->borrower, from) == 0;
}

/* Handles the loss of a borrower: all its loans end. */
void
serverpool_borrower_lost(Gateway *g, uint64_t now_us, const char *from)
{
    end_jobs(g, now_us, is_of_borrower, from);
}

/* Returns the idle limit of a loan, which is above the configured one of a
 * transaction, so that borrowers end idle transactions first. */
static uint64_t
lent_idle_limit_us(const Gateway *g)
{
    uint64_t configured_us =
        g->document == NULL ? 0 : g->document->transaction_idle_us;
    return MAX((uint64_t)kLentIdleUs, configured_us + kLentIdleMarginUs);
}

/* Tells whether a loan of this pool has been idle for longer than any
 * transaction may be. */
static gboolean
is_idle_too_long(const PooledJob *j, uint64_t now_us, const void *pool)
{
    return j->pool == pool && j->connection != NULL &&
           !j->connection->awaiting &&
           now_us - j->last_answer_us > lent_idle_limit_us(j->pool->gateway);
}

/* ---- time ---- */

/* Tells whether an idle connection may stay open.  A former owner closes its
 * connections soon, because the new owner needs them. */
static gboolean
may_stay_idle(const ServerPool *pool, uint64_t now_us,
              const PooledConnection *c)
{
    const Server *s = pool->server;
    const Gateway *g = pool->gateway;

    if (s->gone || s->draining || g->drain_started_us != 0) {
        return FALSE;
    }
    return g_strcmp0(s->owner, g->id) == 0 ||
           now_us - c->state_since_us < kFormerOwnerIdleUs;
}

/* Applies timeouts to the connections, and closes idle ones that may not stay
 * open. */
static void
connections_tick(ServerPool *pool, uint64_t now_us)
{
    uint64_t oldest_us = 0;

    for (guint i = pool->connections->len; i > 0; i--) {
        if (i > pool->connections->len) {
            continue;
        }
        PooledConnection *c = g_ptr_array_index(pool->connections, i - 1);
        uint64_t waits_since_us = c->awaiting ? c->sent_us
                                  : c->state == kPooledOpening
                                      ? c->state_since_us
                                      : 0;
        if (waits_since_us != 0 &&
            (oldest_us == 0 || waits_since_us < oldest_us)) {
            oldest_us = waits_since_us;
        }
        if (c->state == kPooledOpening &&
            now_us - c->state_since_us > kConnectTimeoutUs) {
            on_down(c, now_us, kCodeTimeout);
        }
        else if (c->state == kPooledIdle && !may_stay_idle(pool, now_us, c)) {
            pooled_close(c);
        }
    }
    server_check_unresponsive(pool->server, now_us, oldest_us);
}

/* Tells whether a job may go on waiting: it can run in time, and the server
 * works and may be used. */
gboolean
pooled_may_wait(const PooledJob *j, uint64_t now_us)
{
    const Server *s = j->pool->server;
    gboolean failing = s->failing_since_us != 0 &&
                       now_us - s->failing_since_us > kFailingMaxWaitUs;

    return !failing && !s->gone && now_us < j->deadline_us &&
           evacuation_may_start(s, now_us);
}

/* Moves jobs that have missed their latency objective behind those that can
 * still meet theirs.  Rejects jobs that must not wait any longer. */
static void
waiting_tick(ServerPool *pool, uint64_t now_us)
{
    GPtrArray *jobs = g_ptr_array_new();

    for (GList *l = pool->waiting.head; l != NULL; l = l->next) {
        g_ptr_array_add(jobs, l->data);
    }
    for (guint i = 0; i < jobs->len; i++) {
        PooledJob *j = g_ptr_array_index(jobs, i);
        if (!pooled_may_wait(j, now_us)) {
            pooled_job_reject(j, now_us);
            continue;
        }
        if (pool->gateway->prioritized || now_us < j->order_us ||
            j->order_us >= j->deadline_us) {
            continue;
        }
        pooled_job_dequeue(j);
        j->order_us = j->deadline_us + kDemotionPenaltyUs;
        if (now_us + serverpool_wait_us(pool, j->order_us) > j->deadline_us) {
            pooled_job_reject(j, now_us);
            continue;
        }
        pooled_job_enqueue(j);
    }
    g_ptr_array_unref(jobs);
}

/* Handles timeouts of a pool and starts waiting jobs. */
void
serverpool_tick(ServerPool *pool, uint64_t now_us)
{
    g_ptr_array_set_size(pool->closed, 0);
    connections_tick(pool, now_us);
    end_jobs(pool->gateway, now_us, is_idle_too_long, pool);
    waiting_tick(pool, now_us);
    pooled_held_tick(pool, now_us);
    pooled_ready_tick(pool, now_us);
    serverpool_queue_tick(pool, now_us);
    pool_pump(pool, now_us);
}

/* Closes all connections after the server was replaced; jobs that have one are
 * reported as lost.  pool may be NULL. */
void
serverpool_close_all(ServerPool *pool, uint64_t now_us)
{
    while (pool != NULL && pool->connections->len > 0) {
        PooledConnection *c = g_ptr_array_index(pool->connections, 0);
        PooledJob *j = c->job;

        pooled_close(c);
        if (j != NULL) {
            pooled_job_lost(j, now_us);
        }
    }
}

/* Tells whether jobs wait for the server; pool may be NULL. */
gboolean
serverpool_has_waiting(const ServerPool *pool)
{
    return pool != NULL && pool->waiting.length > 0;
}

/* Tells whether a pool has no connection and no job. */
gboolean
serverpool_is_empty(const ServerPool *pool)
{
    GHashTableIter it;
    void *value;

    if (pool->connections->len > 0 || pool->waiting.length > 0) {
        return FALSE;
    }
    g_hash_table_iter_init(&it, pool->gateway->pooled_jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const PooledJob *)value)->pool == pool) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Frees a pool after closing its connections; pool may be NULL. */
void
serverpool_free(ServerPool *pool)
{
    if (pool == NULL) {
        return;
    }
    while (pool->connections->len > 0) {
        pooled_close(g_ptr_array_index(pool->connections, 0));
    }
    g_queue_clear(&pool->waiting);
    g_queue_clear(&pool->held);
    g_queue_clear(&pool->ready);
    admission_clear(&pool->admission);
    g_ptr_array_unref(pool->connections);
    g_ptr_array_unref(pool->closed);
    g_free(pool);
}
