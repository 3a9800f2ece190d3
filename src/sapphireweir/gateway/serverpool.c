#include <string.h>

#include "core/message.h"
#include "gateway/connection_share.h"
#include "gateway/serverpool_internal.h"

/* The connections that this instance holds to a backend server for all
 * others.  Statements wait in one queue, in the order of their latency
 * objectives, and only as many are sent as the server works on at a time, so
 * that its own queue stays short.  What cannot run in time is given back at
 * once, before anything was sent. */

enum {
    kExtraStatements = 1,       /* keeps the slots busy over a round trip */
    kFailingPatienceUs = 60000, /* then queued work may go elsewhere */
    kBusyPauseUs = 12000,       /* a server whose queue was full */
    kFormerOwnerUs = 40000, /* two statements' time, for the next in line */
    kLentIdleUs = 8000000,  /* above any limit of an idle transaction */
    kCommandsMax = 160,
};

/* ---- connections ---- */

static void pool_pump(ServerPool *pool, uint64_t now_us);

static void
pooled_free(void *connection)
{
    PooledConnection *c = connection;
    g_free(c->team);
    g_free(c);
}

/* No job waits for this connection to open any more. */
static void
forget_opening(const PooledConnection *c)
{
    for (GList *l = c->pool->waiting.head; l != NULL; l = l->next) {
        PooledJob *j = l->data;
        if (j->opening == c) {
            j->opening = NULL;
        }
    }
}

/* Closes a connection; its memory goes with the next tick. */
static void
pooled_close(PooledConnection *c)
{
    ServerPool *pool = c->pool;
    Gateway *g = pool->gateway;

    if (c->link == NULL) {
        return;
    }
    if (c->state == kPooledOpening || c->awaiting) {
        pool->open--;
    }
    g->port.server_close(g->port.ctx, c->link);
    c->link = NULL;
    c->awaiting = FALSE;
    forget_opening(c);
    if (c->job != NULL) {
        c->job->connection = NULL;
        c->job = NULL;
    }
    g_ptr_array_remove_fast(pool->connections, c);
    g_ptr_array_add(pool->closed, c);
}

/* Ends the loan of a connection. */
static void
pooled_take_back(PooledConnection *c, uint64_t now_us)
{
    static const ServerCommand rollback = {.kind = kCommandRollback};
    Gateway *g = c->pool->gateway;

    c->job = NULL;
    c->state = kPooledIdle;
    c->state_since_us = now_us;
    c->dirty = TRUE;
    if (c->session_state == kSessionIdle) {
        return;
    }
    c->state = kPooledRollingBack;
    c->awaiting = TRUE;
    c->answers_ahead = 0;
    c->sent_us = now_us;
    c->pool->open++;
    g->port.server_send(g->port.ctx, c->link, &rollback, 1);
}

/* Sends a job's commands, behind a RESET after another borrower. */
static void
pooled_run(PooledConnection *c, PooledJob *j, uint64_t now_us)
{
    static ServerCommand commands[kCommandsMax + 1];
    Gateway *g = c->pool->gateway;
    const Sw__RelayRun *m = j->run;
    size_t count = 0;

    if (c->dirty) {
        commands[count++] = (ServerCommand){.kind = kCommandReset};
        c->dirty = FALSE;
    }
    for (size_t i = 0; i < MIN(m->n_commands, (size_t)kCommandsMax); i++) {
        const Sw__RelayCommand *r = m->commands[i];
        commands[count++] =
            (ServerCommand){.kind = (CommandKind)r->kind,
                            .id = r->id,
                            .text = r->text,
                            .name = r->name,
                            .value = r->value,
                            .writes = r->writes,
                            .after = {r->after_term, r->after_number}};
    }
    histogram_observe(&g->counters.queue, now_us - j->arrived_us);
    pooled_job_dequeue(j);
    j->connection = c;
    j->opening = NULL;
    c->job = j;
    c->state = kPooledLent;
    c->state_since_us = now_us;
    c->sent_us = now_us;
    c->awaiting = TRUE;
    c->answers_ahead = (uint32_t)count - 1;
    c->pool->open++;
    g->port.server_send(g->port.ctx, c->link, commands, count);
}

static PooledConnection *
idle_of_team(const ServerPool *pool, const char *team)
{
    for (guint i = 0; i < pool->connections->len; i++) {
        PooledConnection *c = g_ptr_array_index(pool->connections, i);
        if (c->state == kPooledIdle && strcmp(c->team, team) == 0) {
            return c;
        }
    }
    return NULL;
}

static PooledConnection *
longest_idle(const ServerPool *pool)
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

static void
on_ready(void *owner, uint64_t now_us)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;

    pool->open--;
    server_answered(pool->server, now_us);
    pool->server->avoid_until_us = 0;
    c->state = kPooledIdle;
    c->state_since_us = now_us;
    forget_opening(c);
    pool_pump(pool, now_us);
}

/* The server was too busy to run a job: it waits here again. */
static void
run_again(PooledJob *j, uint64_t now_us)
{
    PooledConnection *c = j->connection;

    j->connection = NULL;
    pooled_take_back(c, now_us);
    j->retry_at_us = now_us + kBusyPauseUs;
    pooled_job_enqueue(j);
}

static void
on_answer(void *owner, uint64_t now_us, const ServerAnswer *a)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;
    PooledJob *j = c->job;

    server_answered(pool->server, now_us);
    c->session_state = a->state;
    if (!c->awaiting || (j == NULL && c->state != kPooledRollingBack)) {
        pooled_close(c);
        return;
    }
    if (c->answers_ahead > 0) {
        c->answers_ahead--;
        if (a->code != kCodeNone) {
            g_warning("server %s refused a session's state: %s",
                      pool->server->id, a->code_text);
            c->dirty = TRUE;
        }
        return;
    }
    c->awaiting = FALSE;
    pool->open--;
    if (c->state == kPooledRollingBack) {
        c->state = kPooledIdle;
        pool_pump(pool, now_us);
        return;
    }
    j->last_answer_us = now_us;
    if (a->code == kCodeBusy && !j->run->continues) {
        run_again(j, now_us);
        pool_pump(pool, now_us);
        return;
    }
    if (a->code == kCodeNone) {
        server_record_service_time(pool->server, now_us - c->sent_us);
    }
    gboolean single = j->run->single;
    sw__relay_run__free_unpacked(j->run, NULL);
    j->run = NULL;
    pooled_job_answer(j, now_us, a);
    if (single && a->state == kSessionIdle) {
        pooled_job_remove(j);
        pooled_take_back(c, now_us);
    }
    pool_pump(pool, now_us);
}

static void
on_down(void *owner, uint64_t now_us, AnswerCode code)
{
    PooledConnection *c = owner;
    ServerPool *pool = c->pool;
    PooledJob *j = c->job;
    gboolean opening = c->state == kPooledOpening;

    pool->gateway->counters.connections_lost++;
    if (code == kCodeTooMany || code == kCodeBusy) {
        server_refused_connection(pool->server, now_us);
    }
    else if (opening || c->awaiting) {
        server_failed(pool->server, now_us, opening);
    }
    pooled_close(c);
    if (j != NULL) {
        pooled_job_lost(j, now_us);
    }
    pool_pump(pool, now_us);
}

static void
pooled_open(ServerPool *pool, PooledJob *j, uint64_t now_us)
{
    static const ServerEvents events = {on_ready, on_answer, on_down};
    Gateway *g = pool->gateway;
    const Server *s = pool->server;
    PooledConnection *c = g_new0(PooledConnection, 1);

    c->pool = pool;
    c->team = g_strdup(j->team);
    c->state = kPooledOpening;
    c->state_since_us = now_us;
    g_ptr_array_add(pool->connections, c);
    pool->open++;
    g->counters.connections_opened++;
    j->opening = c;
    c->link = g->port.server_open(g->port.ctx, &events, c, s->address,
                                  s->database->name, j->team, s->id);
}

/* ---- the queue ---- */

static gboolean
has_room(const ServerPool *pool)
{
    return pool->open < MAX(pool->server->slots, 1) + kExtraStatements;
}

static uint32_t
most_connections(const ServerPool *pool, uint64_t now_us)
{
    const Server *s = pool->server;
    uint32_t most = connection_share_owner(server_connection_limit(s));

    return now_us < s->full_until_us ? MIN(most, pool->connections->len)
                                     : most;
}

/* Opens a connection for a job, in place of one of another team where
 * there may be no more. */
static void
open_for(ServerPool *pool, PooledJob *j, uint64_t now_us)
{
    const Server *s = pool->server;
    uint32_t most = most_connections(pool, now_us);
    gboolean waited = now_us - j->arrived_us >= kTeamSwitchMinWaitUs;

    if (j->opening != NULL || now_us < s->avoid_until_us ||
        now_us < s->connect_after_us) {
        return;
    }
    if (pool->connections->len >= most) {
        PooledConnection *c = longest_idle(pool);
        if (c == NULL || !waited) {
            return;
        }
        pooled_close(c);
    }
    pooled_open(pool, j, now_us);
}

/* Lets the server work on what waits: first what finds a connection of its
 * team, since each change of a team costs a handshake in a slot. */
static void
pool_pump(ServerPool *pool, uint64_t now_us)
{
    GList *next;

    for (GList *l = pool->waiting.head; l != NULL && has_room(pool);
         l = next) {
        PooledJob *j = l->data;
        PooledConnection *c = idle_of_team(pool, j->team);
        next = l->next;
        if (c != NULL && now_us >= j->retry_at_us) {
            pooled_run(c, j, now_us);
        }
    }
    for (GList *l = pool->waiting.head; l != NULL && has_room(pool);
         l = l->next) {
        PooledJob *j = l->data;
        if (now_us >= j->retry_at_us) {
            open_for(pool, j, now_us);
        }
    }
}

/* ---- borrowers ---- */

static ServerPool *
pool_of(Gateway *g, const char *server_id)
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
    }
    return s->pool;
}

/* A borrower whose connection is not known here any more, or names a server
 * that is not. */
static void
refuse_unknown(Gateway *g, const char *to, const Sw__RelayRun *run,
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

/* Goes on with a transaction on the connection that it has. */
static void
run_on(PooledJob *j, uint64_t now_us)
{
    if (j->connection == NULL || j->connection->awaiting) {
        pooled_job_lost(j, now_us);
        return;
    }
    pooled_run(j->connection, j, now_us);
}

/* Takes in commands of a borrower. */
void
serverpool_run(Gateway *g, uint64_t now_us, const char *from,
               const Sw__RelayRun *m)
{
    char *key = pooled_job_key(from, m->relay);
    PooledJob *j = g_hash_table_lookup(g->pooled, key);
    ServerPool *pool = pool_of(g, m->server);

    if (m->n_commands == 0 || pool == NULL || (j == NULL) != !m->continues) {
        g_free(key);
        refuse_unknown(g, from, m,
                       m->continues ? SW__RELAY_OUTCOME__RELAY_LOST
                                    : SW__RELAY_OUTCOME__RELAY_NOT_RUN);
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
    j->arrived_us = now_us;
    j->order_us = now_us + m->target_us;
    j->deadline_us = now_us + m->due_us;
    if (m->continues) {
        run_on(j, now_us);
        return;
    }
    if (serverpool_wait_us(pool, j->order_us) > m->patience_us) {
        pooled_job_reject(j, now_us);
        return;
    }
    pooled_job_enqueue(j);
    pool_pump(pool, now_us);
}

/* A borrower gives its connection back. */
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
        pooled_take_back(c, now_us);
    }
    pool_pump(pool, now_us);
}

/* Takes in that a borrower is done with a connection. */
void
serverpool_end(Gateway *g, uint64_t now_us, const char *from, uint64_t relay)
{
    char *key = pooled_job_key(from, relay);
    PooledJob *j = g_hash_table_lookup(g->pooled, key);

    g_free(key);
    if (j != NULL) {
        job_end(j, now_us);
    }
}

typedef gboolean (*JobMatch)(const PooledJob *j, uint64_t now_us,
                             const void *what);

static void
end_jobs(Gateway *g, uint64_t now_us, JobMatch match, const void *what)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->pooled);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (match(value, now_us, what)) {
            g_ptr_array_add(found, value);
        }
    }
    for (guint i = 0; i < found->len; i++) {
        job_end(g_ptr_array_index(found, i), now_us);
    }
    g_ptr_array_unref(found);
}

static gboolean
is_from(const PooledJob *j, uint64_t now_us, const void *from)
{
    (void)now_us;
    return strcmp(j->from, from) == 0;
}

/* A borrower has gone: its transactions are rolled back. */
void
serverpool_borrower_lost(Gateway *g, uint64_t now_us, const char *from)
{
    end_jobs(g, now_us, is_from, from);
}

static gboolean
is_forgotten(const PooledJob *j, uint64_t now_us, const void *pool)
{
    return j->pool == pool && j->connection != NULL &&
           !j->connection->awaiting &&
           now_us - j->last_answer_us > kLentIdleUs;
}

/* ---- time ---- */

/* Tells whether an idle connection may stay open.  Another owner needs the
 * room that the former one has. */
static gboolean
may_rest(const ServerPool *pool, uint64_t now_us, const PooledConnection *c)
{
    const Server *s = pool->server;
    const Gateway *g = pool->gateway;

    if (s->gone || s->draining || g->drain_started_us != 0) {
        return FALSE;
    }
    return g_strcmp0(s->owner, g->id) == 0 ||
           now_us - c->state_since_us < kFormerOwnerUs;
}

static void
connections_tick(ServerPool *pool, uint64_t now_us)
{
    uint64_t oldest_us = 0;

    for (guint i = pool->connections->len; i > 0; i--) {
        if (i > pool->connections->len) {
            continue;
        }
        PooledConnection *c = g_ptr_array_index(pool->connections, i - 1);
        if (c->awaiting && (oldest_us == 0 || c->sent_us < oldest_us)) {
            oldest_us = c->sent_us;
        }
        if (c->state == kPooledOpening &&
            now_us - c->state_since_us > kConnectTimeoutUs) {
            on_down(c, now_us, kCodeTimeout);
        }
        else if (c->state == kPooledIdle && !may_rest(pool, now_us, c)) {
            pooled_close(c);
        }
    }
    server_check_unresponsive(pool->server, now_us, oldest_us);
}

/* Late work lets pass what can still meet its objective; work that cannot
 * run in time, or waits for a server that fails, is given back. */
static void
waiting_tick(ServerPool *pool, uint64_t now_us)
{
    const Server *s = pool->server;
    gboolean failing = s->failing_since_us != 0 &&
                       now_us - s->failing_since_us > kFailingPatienceUs;
    GPtrArray *jobs = g_ptr_array_new();

    for (GList *l = pool->waiting.head; l != NULL; l = l->next) {
        g_ptr_array_add(jobs, l->data);
    }
    for (guint i = 0; i < jobs->len; i++) {
        PooledJob *j = g_ptr_array_index(jobs, i);
        if (failing || s->gone || now_us >= j->deadline_us) {
            pooled_job_reject(j, now_us);
            continue;
        }
        if (now_us < j->order_us || j->order_us >= j->deadline_us) {
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

/* Lets time pass. */
void
serverpool_tick(ServerPool *pool, uint64_t now_us)
{
    g_ptr_array_set_size(pool->closed, 0);
    connections_tick(pool, now_us);
    end_jobs(pool->gateway, now_us, is_forgotten, pool);
    waiting_tick(pool, now_us);
    pool_pump(pool, now_us);
}

/* The server is another one now: what was sent to it is lost.  NULL is
 * allowed. */
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

/* Tells whether work waits for the server; NULL is allowed. */
gboolean
serverpool_has_waiting(const ServerPool *pool)
{
    return pool != NULL && pool->waiting.length > 0;
}

/* Closes all connections; NULL is allowed. */
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
    g_ptr_array_unref(pool->connections);
    g_ptr_array_unref(pool->closed);
    g_free(pool);
}
