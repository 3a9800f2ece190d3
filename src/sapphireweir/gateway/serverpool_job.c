#include "core/message.h"
#include "gateway/serverpool_internal.h"
#include "gateway/slow_start_gate.h"

/* The jobs of borrowers at a pool: their queue, its expected waits, and the
 * results sent to borrowers. */

/* ---- jobs ---- */

/* Returns the key of a borrower's connection in Gateway.pooled_jobs, to be
 * freed by the caller. */
char *
pooled_job_key(const char *from, uint64_t relay)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT, from, relay);
}

/* Frees a job that is neither queued nor bound to a connection. */
void
pooled_job_free(void *job)
{
    PooledJob *j = job;
    if (j->run != NULL) {
        sw__relay_run__free_unpacked(j->run, NULL);
    }
    g_free(j->borrower);
    g_free(j->team);
    g_free(j->key);
    g_free(j);
}

/* Removes a job from the queue, if it is in it. */
void
pooled_job_dequeue(PooledJob *j)
{
    if (j->waiting_link != NULL) {
        g_queue_delete_link(&j->pool->waiting, j->waiting_link);
        admission_leave(&j->pool->admission, &j->work);
        j->waiting_link = NULL;
    }
}

/* Inserts a job into the queue by order_us. */
void
pooled_job_enqueue(PooledJob *j)
{
    GQueue *queue = &j->pool->waiting;
    GList *after = queue->tail;

    admission_enter(&j->pool->admission, &j->work, j->team);
    while (after != NULL &&
           ((PooledJob *)after->data)->order_us > j->order_us) {
        after = after->prev;
    }
    if (after == NULL) {
        g_queue_push_head(queue, j);
        j->waiting_link = queue->head;
        return;
    }
    g_queue_insert_after(queue, after, j);
    j->waiting_link = after->next;
}

/* Removes and frees a job.  Its connection, if any, is detached and otherwise
 * left unchanged. */
void
pooled_job_remove(PooledJob *j)
{
    pooled_job_dequeue(j);
    pooled_unhold(j);
    pooled_unready(j);
    if (j->connection != NULL) {
        j->connection->job = NULL;
    }
    g_hash_table_remove(j->pool->gateway->pooled_jobs, j->key);
}

/* Returns a borrower's command, which borrows its strings. */
ServerCommand
pooled_command(const Sw__RelayCommand *c)
{
    return (ServerCommand){.kind = (CommandKind)c->kind,
                           .id = c->id,
                           .text = c->text,
                           .name = c->name,
                           .value = c->value,
                           .writes = c->writes,
                           .after = {c->after_term, c->after_number}};
}

/* Returns the commands of a job that set up its session's state.  They are
 * valid until the next call. */
const CommandBatch *
pooled_job_needed(const PooledJob *j)
{
    static CommandBatch needed;
    const Sw__RelayRun *m = j->run;

    command_batch_clear(&needed);
    for (size_t i = 0; i < m->n_commands + m->n_after_begin; i++) {
        ServerCommand c = pooled_command(
            i < m->n_commands ? m->commands[i]
                              : m->after_begin[i - m->n_commands]);
        if (server_session_changes(c.kind)) {
            command_batch_add(&needed, c);
        }
    }
    return &needed;
}

/* ---- expected waits ---- */

/* Returns the throughput of a server, in thousandths of a statement per
 * second: as measured while work waited, but at least half of what its slots
 * allow.  After a restart the slots are busy with handshakes for a while, so
 * the measured throughput is too low then. */
static uint64_t
throughput_milli_per_s(const Server *s)
{
    uint64_t allowed =
        (uint64_t)MAX(s->slots, 1) * 1000000000 / MAX(s->service_us, 1);

    return s->throughput_milli_per_s == 0
               ? allowed
               : MAX(s->throughput_milli_per_s, allowed / 2);
}

/* Returns the expected wait of a job with the given order_us, in
 * microseconds. */
uint64_t
serverpool_wait_us(const ServerPool *pool, uint64_t order_us)
{
    uint64_t ahead = 0;

    for (GList *l = pool->waiting.head; l != NULL; l = l->next) {
        ahead += ((PooledJob *)l->data)->order_us <= order_us;
    }
    return MAX(ahead * 1000000000 /
                   MAX(throughput_milli_per_s(pool->server), 1),
               slow_start_gate_queue_wait_us(pool->server, ahead, TRUE));
}

/* ---- results ---- */

/* Sends a result to the borrower, with the current queueing delay and service
 * time of the server. */
static void
send_result(PooledJob *j, uint64_t now_us, Sw__RelayResult *m)
{
    const ServerPool *pool = j->pool;
    Gateway *g = pool->gateway;
    Sw__Frame frame = SW__FRAME__INIT;

    m->relay = j->relay;
    m->wait_us = serverpool_wait_us(pool, now_us);
    m->service_us = pool->server->service_us;
    m->server_failing = pool->server->failing_since_us != 0;
    serverpool_queue_report(j, m);
    m->chosen = j->chosen;
    m->held_us = j->timed ? MAX(now_us - j->arrived_us, (uint64_t)1) : 0;
    frame.body_case = SW__FRAME__BODY_RELAY_RESULT;
    frame.relay_result = m;
    g->port.peer_send(g->port.ctx, j->borrower, &frame);
}

/* Sends the result of a job without an answer of the server. */
static void
send_without_answer(PooledJob *j, uint64_t now_us, Sw__RelayOutcome outcome,
                    AnswerCode code)
{
    Sw__RelayResult m = SW__RELAY_RESULT__INIT;

    m.outcome = outcome;
    m.code = code;
    m.code_text = "BUSY";
    send_result(j, now_us, &m);
}

/* Rejects and removes a job before any of its commands was sent to the
 * server. */
void
pooled_job_reject(PooledJob *j, uint64_t now_us)
{
    j->pool->gateway->counters.relays_rejected++;
    j->pool->gateway->counters.levels[j->work.level].rejected++;
    send_without_answer(j, now_us, SW__RELAY_OUTCOME__RELAY_NOT_RUN,
                        kCodeBusy);
    pooled_job_remove(j);
}

/* Sends the server's answer to the borrower. */
void
pooled_job_answer(PooledJob *j, uint64_t now_us, const ServerAnswer *a)
{
    Sw__RelayResult m = SW__RELAY_RESULT__INIT;

    m.outcome = SW__RELAY_OUTCOME__RELAY_ANSWERED;
    m.code = a->code;
    m.code_text = (char *)(a->code_text == NULL ? "" : a->code_text);
    m.detail = (char *)(a->detail == NULL ? "" : a->detail);
    m.rows.data = (uint8_t *)a->rows;
    m.rows.len = a->rows_bytes;
    m.tag = (char *)(a->tag == NULL ? "" : a->tag);
    m.state = a->state;
    m.term = a->position.term;
    m.number = a->position.number;
    m.begun = j->begun;
    m.position = (char *)(a->position_text == NULL ? "" : a->position_text);
    send_result(j, now_us, &m);
}

/* Reports a job as lost, whose commands may have run, and removes it.  Held
 * commands have not run, nor has a statement whose session was still being set
 * up. */
void
pooled_job_lost(PooledJob *j, uint64_t now_us)
{
    if (j->held || j->setting_up) {
        pooled_job_reject(j, now_us);
        return;
    }
    send_without_answer(j, now_us, SW__RELAY_OUTCOME__RELAY_LOST,
                        kCodeTimeout);
    pooled_job_remove(j);
}

/* Returns a new job for a borrower's first commands.  It takes ownership of
 * key and is owned by Gateway.pooled_jobs. */
PooledJob *
pooled_job_new(ServerPool *pool, const char *from, char *key,
               const Sw__RelayRun *m)
{
    PooledJob *j = g_new0(PooledJob, 1);

    j->key = key;
    j->pool = pool;
    j->borrower = g_strdup(from);
    j->relay = m->relay;
    j->team = g_strdup(m->team);
    g_hash_table_insert(pool->gateway->pooled_jobs, j->key, j);
    return j;
}
