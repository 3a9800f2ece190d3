#include <string.h>

#include "core/message.h"
#include "core/pool_defs.h"
#include "core/schema.h"

/* Executes a work request as a sequence of queries on one connection, its
 * steps.
 *
 * A write with an idempotency key commits its request record in the same
 * transaction.  A write is reported as done only when a majority of the
 * members holds its log position in the primary's current term.  Work is
 * reported as not run only if the commit was certainly never sent or was
 * rolled back. */

static const char kCreateRecordsSql[] =
    "CREATE TABLE IF NOT EXISTS " RECORD_TABLE
    " (team TEXT NOT NULL, idempotency_key TEXT NOT NULL,"
    " args_hash TEXT NOT NULL, answer TEXT, created_ms BIGINT NOT NULL,"
    " PRIMARY KEY (team, idempotency_key))";
static const char kIndexRecordsSql[] =
    "CREATE INDEX IF NOT EXISTS " RECORD_TABLE "_created ON " RECORD_TABLE
    " (created_ms)";
static const char kInsertRecordSql[] =
    "INSERT INTO " RECORD_TABLE
    " (team, idempotency_key, args_hash, created_ms)"
    " VALUES ($1, $2, $3, $4) ON CONFLICT DO NOTHING";
static const char kLookupRecordSql[] =
    "SELECT args_hash, answer FROM " RECORD_TABLE
    " WHERE team = $1 AND idempotency_key = $2";
static const char kStoreResultsSql[] =
    "UPDATE " RECORD_TABLE
    " SET answer = $1 WHERE team = $2 AND idempotency_key = $3";

/* How long a committed write waits for a majority of the members to hold
 * it. */
enum { kMajorityTimeoutUs = 1500000 };

/* Creates a job with a copy of the request.  origin is the instance to reply
 * to, NULL for this one. */
Job *
job_new(Pool *p, uint64_t now_us, const char *origin, uint64_t frame_id,
        const Sw__WorkRequest *r)
{
    Job *j = g_new0(Job, 1);

    j->request = message_copy(r);
    j->pool = p;
    j->origin = g_strdup(origin);
    j->frame_id = frame_id;
    j->queued_us = now_us;
    j->deadline_us = now_us + r->deadline_us;
    j->results = json_array();
    j->failed_status = SW__WORK_STATUS__WORK_DONE;
    return j;
}

/* Frees a job without sending a reply. */
void
job_free(Job *j)
{
    if (j->transaction != NULL) {
        j->transaction->job = NULL;
    }
    sw__work_request__free_unpacked(j->request, NULL);
    json_decref(j->results);
    json_decref(j->recorded_results);
    g_free(j->failed_reason);
    g_free(j->failed_detail);
    g_free(j->origin);
    g_free(j);
}

/* Returns whether the job's request has a request record: it is a write with
 * an idempotency key. */
static gboolean
has_record(const Job *j)
{
    return j->request->kind == SW__WORK_KIND__WORK_WRITE &&
           j->request->idempotency_key[0] != '\0';
}

/* Sends the reply of a job to its origin and frees the job, which must not
 * have a connection any more. */
void
job_finish(Job *j, uint64_t now_us, Sw__WorkStatus status, const char *reason,
           const char *detail)
{
    EntryCore *e = j->pool->core;
    Sw__WorkReply reply = SW__WORK_REPLY__INIT;
    char *rows = NULL;

    reply.status = status;
    reply.reason = (char *)reason;
    reply.detail = (char *)detail;
    reply.chosen = j->request->chosen;
    if (status == SW__WORK_STATUS__WORK_DONE) {
        rows = json_dumps(j->recorded_results != NULL ? j->recorded_results
                                                      : j->results,
                          JSON_COMPACT);
        reply.rows.data = (uint8_t *)rows;
        reply.rows.len = strlen(rows);
        reply.term = j->position.term;
        reply.position = j->position.position;
        reply.replayed = j->recorded_results != NULL;
        reply.transaction_id =
            j->transaction == NULL ? (char *)"" : j->transaction->id;
    }
    if (j->started_us != 0) {
        metrics_observe(&e->metrics, kHistogramQueueTime,
                        j->started_us - j->queued_us);
    }
    char *origin = g_strdup(j->origin);
    uint64_t frame_id = j->frame_id;
    job_free(j);
    entry_work_reply(e, now_us, origin, frame_id, &reply);
    g_free(origin);
    free(rows);
}

/* ---- steps ---- */

/* Returns the time until the job's deadline, zero if it has passed. */
static uint64_t
time_left_us(const Job *j, uint64_t now_us)
{
    return MAX(j->deadline_us, now_us) - now_us;
}

/* Returns the timeout of the current statement.  A read that takes far longer
 * than the average is restarted once on another connection, since its
 * connection may be dead.  Only the job's deadline applies to a restarted
 * read, to writes and to interactive transactions. */
static uint64_t
statement_timeout_us(const Job *j, uint64_t now_us)
{
    uint64_t left_us = time_left_us(j, now_us);
    uint64_t limit_us =
        MAX(j->pool->service_us * kDropAfterServiceTimes, kQueryTimeoutUs);
    if (!j->read_only || j->requeues > 0 || j->transaction != NULL) {
        return left_us;
    }
    return MIN(left_us, limit_us);
}

/* Sends the job's current statement. */
static void
send_statement(Job *j, uint64_t now_us)
{
    const Sw__Statement *s = j->request->statements[j->statement];
    const char *parameters[64] = {NULL};
    size_t count = MIN(s->n_args, G_N_ELEMENTS(parameters));

    for (size_t i = 0; i < count; i++) {
        gboolean null = i < 64 && ((s->null_mask >> i) & 1) != 0;
        parameters[i] = null ? NULL : s->args[i];
    }
    pool_send(j->connection, now_us, statement_timeout_us(j, now_us), s->sql,
              count, parameters);
}

/* Inserts the request record, unless an earlier execution has done so. */
static void
send_record_insert(Job *j, uint64_t now_us)
{
    char created[24];
    const char *parameters[] = {j->request->team, j->request->idempotency_key,
                                j->request->args_hash, created};

    g_snprintf(created, sizeof(created), "%" G_GUINT64_FORMAT,
               entry_wall_ms(j->pool->core, now_us));
    pool_send(j->connection, now_us, time_left_us(j, now_us), kInsertRecordSql,
              G_N_ELEMENTS(parameters), parameters);
}

/* Queries the request record of an earlier execution. */
static void
send_record_lookup(Job *j, uint64_t now_us)
{
    const char *parameters[] = {j->request->team, j->request->idempotency_key};
    pool_send(j->connection, now_us, kQueryTimeoutUs, kLookupRecordSql,
              G_N_ELEMENTS(parameters), parameters);
}

/* Stores the results of the statements in the request record. */
static void
send_record_results(Job *j, uint64_t now_us)
{
    char *results = json_dumps(j->results, JSON_COMPACT);
    const char *parameters[] = {results, j->request->team,
                                j->request->idempotency_key};
    pool_send(j->connection, now_us, kQueryTimeoutUs, kStoreResultsSql,
              G_N_ELEMENTS(parameters), parameters);
    free(results);
}

/* Sends COMMIT.  Its timeout ends a little after the job's deadline, since the
 * outcome is unknown without a result. */
static void
send_commit(Job *j, uint64_t now_us)
{
    j->commit_sent = TRUE;
    pool_send(j->connection, now_us, time_left_us(j, now_us) + kQueryTimeoutUs,
              "COMMIT", 0, NULL);
}

/* Enters a step and sends its query, if it has one. */
static void
run_step(Job *j, uint64_t now_us, JobStep step)
{
    PoolConnection *c = j->connection;
    j->step = step;
    switch (step) {
    case kStepPing:
        pool_send(c, now_us, kQueryTimeoutUs, "SELECT 1", 0, NULL);
        break;
    case kStepPositionBefore:
    case kStepPositionAfter:
        pool_send(c, now_us, kQueryTimeoutUs, kStatusSql, 0, NULL);
        break;
    case kStepCreateRecordTable:
        pool_send(c, now_us, kSecondUs, kCreateRecordsSql, 0, NULL);
        break;
    case kStepCreateRecordIndex:
        pool_send(c, now_us, kSecondUs, kIndexRecordsSql, 0, NULL);
        break;
    case kStepBegin:
        pool_send(c, now_us, kQueryTimeoutUs,
                  j->read_only ? "BEGIN READ ONLY" : "BEGIN", 0, NULL);
        break;
    case kStepRecordInsert:
        send_record_insert(j, now_us);
        break;
    case kStepRecordLookup:
        send_record_lookup(j, now_us);
        break;
    case kStepStatement:
        send_statement(j, now_us);
        break;
    case kStepStoreResults:
        send_record_results(j, now_us);
        break;
    case kStepCommit:
        send_commit(j, now_us);
        break;
    case kStepRollback:
        pool_send(c, now_us, kQueryTimeoutUs, "ROLLBACK", 0, NULL);
        break;
    case kStepMajority:
        break;
    }
}

/* Returns whether the work runs between BEGIN and COMMIT: all writes, reads
 * on the primary, and reads of several statements. */
static gboolean
in_transaction_block(const Job *j)
{
    return !j->read_only || pool_is_primary(j->pool) ||
           j->request->n_statements > 1;
}

/* Starts the first step that the request needs, after the ping. */
static void
run_first_step(Job *j, uint64_t now_us)
{
    const Sw__WorkRequest *r = j->request;
    LogPosition needed = {r->min_term, r->min_position};

    switch (r->kind) {
    case SW__WORK_KIND__WORK_RUN:
        run_step(j, now_us, kStepStatement);
        return;
    case SW__WORK_KIND__WORK_COMMIT:
        run_step(j, now_us, kStepCommit);
        return;
    case SW__WORK_KIND__WORK_ROLLBACK:
        run_step(j, now_us, kStepRollback);
        return;
    default:
        break;
    }
    if (j->read_only && !pool_is_primary(j->pool) &&
        log_position_compare(j->pool->status.replayed, needed) < 0) {
        run_step(j, now_us, kStepPositionBefore);
        return;
    }
    if (has_record(j) && !j->pool->records_ready) {
        run_step(j, now_us, kStepCreateRecordTable);
        return;
    }
    run_step(j, now_us, in_transaction_block(j) ? kStepBegin : kStepStatement);
}

/* Starts a job on an idle connection; a request of an interactive transaction
 * must be given the transaction's connection. */
void
job_start(Job *j, uint64_t now_us, PoolConnection *c)
{
    j->connection = c;
    j->started_us = now_us;
    j->read_only = j->request->kind == SW__WORK_KIND__WORK_READ;
    c->job = j;
    c->state = kConnectionBusy;
    if (j->transaction == NULL &&
        now_us - c->last_response_us > kPingAfterIdleUs) {
        run_step(j, now_us, kStepPing);
        return;
    }
    run_first_step(j, now_us);
}

/* ---- completion ---- */

/* Adds the job's service time to the pool's moving average. */
static void
record_service_time(Job *j, uint64_t now_us)
{
    enum { kAverageOver = 8 }; /* the latest job has the weight 1/8 */
    Pool *p = j->pool;
    uint64_t took_us = now_us - j->started_us;
    p->service_us =
        (p->service_us * (kAverageOver - 1) + took_us) / kAverageOver;
    p->service_us = MAX(p->service_us, 1);
    metrics_observe(&p->core->metrics, kHistogramServiceTime, took_us);
}

/* Releases the job's connection and frees its interactive transaction, which
 * has ended. */
static void
detach_connection(Job *j, uint64_t now_us)
{
    PoolConnection *c = j->connection;
    j->connection = NULL;
    if (c == NULL) {
        return;
    }
    if (c->transaction != NULL) {
        PoolTransaction *t = c->transaction;
        c->transaction = NULL;
        j->transaction = NULL;
        t->job = NULL;
        slot_hold_record(&t->pool->hold, now_us - t->opened_us);
        pool_transaction_free(t);
    }
    pool_connection_release(c, now_us);
}

/* Releases the connection and finishes the job successfully. */
static void
finish_done(Job *j, uint64_t now_us)
{
    record_service_time(j, now_us);
    detach_connection(j, now_us);
    job_finish(j, now_us, SW__WORK_STATUS__WORK_DONE, "", "");
}

/* Rolls the transaction back, after which the job finishes with the given
 * status. */
static void
roll_back(Job *j, uint64_t now_us, Sw__WorkStatus status, const char *reason,
          const char *detail)
{
    j->failed_status = status;
    g_free(j->failed_reason);
    g_free(j->failed_detail);
    j->failed_reason = g_strdup(reason);
    j->failed_detail = g_strdup(detail);
    run_step(j, now_us, kStepRollback);
}

/* Releases the connection and waits until a majority of the members holds
 * the job's position. */
static void
await_majority(Job *j, uint64_t now_us)
{
    Pool *p = j->pool;
    record_service_time(j, now_us);
    detach_connection(j, now_us);
    j->step = kStepMajority;
    j->majority_wait_since_us = now_us;
    metrics_count(&p->core->metrics, kMetricCommitWaits);
    g_ptr_array_add(p->awaiting_majority, j);
    monitor_poll_majority(p, now_us);
    job_majority_check(p, now_us);
}

/* Finishes the jobs whose commit a majority of the members now holds. */
void
job_majority_check(Pool *p, uint64_t now_us)
{
    for (guint i = p->awaiting_majority->len; i > 0; i--) {
        Job *j = g_ptr_array_index(p->awaiting_majority, i - 1);
        if (j->position.term != p->majority_term ||
            j->position.position > p->majority_position) {
            continue;
        }
        g_ptr_array_remove_index(p->awaiting_majority, i - 1);
        metrics_observe(&p->core->metrics, kHistogramCommitTime,
                        now_us - j->majority_wait_since_us);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_DONE, "", "");
    }
}

/* Finishes, with an unknown outcome, the jobs that have waited too long for a
 * majority or whose primary was replaced. */
void
job_majority_tick(Pool *p, uint64_t now_us)
{
    for (guint i = p->awaiting_majority->len; i > 0; i--) {
        Job *j = g_ptr_array_index(p->awaiting_majority, i - 1);
        gboolean replaced = !pool_is_primary(p);
        if (!replaced && now_us < j->deadline_us &&
            now_us - j->majority_wait_since_us < kMajorityTimeoutUs) {
            continue;
        }
        g_ptr_array_remove_index(p->awaiting_majority, i - 1);
        metrics_count(&p->core->metrics, kMetricCommitUnconfirmed);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_UNKNOWN, "not-held",
                   "committed, but no majority of members confirmed it");
    }
}

/* ---- results ---- */

/* Handles the status row of a replica, queried before a read: starts the read
 * if the replica has replayed the session's position, otherwise refuses it. */
static void
on_position_before(Job *j, uint64_t now_us, const BackendResult *result)
{
    LogPosition needed = {j->request->min_term, j->request->min_position};
    Pool *p = j->pool;

    monitor_record_status(p, now_us, j->connection->query_sent_us,
                          json_array_get(result->rows, 0));
    if (log_position_compare(p->status.replayed, needed) >= 0) {
        run_step(j, now_us,
                 in_transaction_block(j) ? kStepBegin : kStepStatement);
        return;
    }
    detach_connection(j, now_us);
    job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "behind",
               "the replica has not replayed what the session knows");
}

/* Handles the result of BEGIN: a request to open an interactive transaction
 * is done, any other continues with its record or first statement. */
static void
on_begin(Job *j, uint64_t now_us)
{
    if (j->request->kind == SW__WORK_KIND__WORK_OPEN) {
        PoolTransaction *t = g_new0(PoolTransaction, 1);
        EntryCore *e = j->pool->core;
        t->pool = j->pool;
        t->id = g_strdup_printf("%s.%016" G_GINT64_MODIFIER "x", e->config.id,
                                e->port.random(e->port.ctx));
        t->team = g_strdup(j->request->team);
        t->key_id = g_strdup(j->request->key_id);
        t->connection = j->connection;
        t->idle_deadline_us = now_us + kTransactionIdleTimeoutUs;
        t->opened_us = j->started_us;
        t->end_deadline_us = now_us + kMaxTransactionUs;
        j->connection->transaction = t;
        j->connection->job = NULL;
        j->connection = NULL;
        j->transaction = t;
        g_hash_table_insert(j->pool->transactions, t->id, t);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_DONE, "", "");
        return;
    }
    run_step(j, now_us, has_record(j) ? kStepRecordInsert : kStepStatement);
}

/* Handles the record of an earlier execution under the same idempotency key.
 * Returns the recorded results if the request is the same; otherwise the
 * request fails. */
static void
on_record_lookup(Job *j, uint64_t now_us, const BackendResult *result)
{
    const json_t *row = json_array_get(result->rows, 0);
    const char *hash = json_text_or(row, "args_hash", "");
    const char *results = json_text_or(row, "answer", "");

    if (strcmp(hash, j->request->args_hash) != 0) {
        roll_back(j, now_us, SW__WORK_STATUS__WORK_FAILED,
                  "idempotency-key-reused",
                  "the idempotency key was used with another request");
        return;
    }
    j->recorded_results = json_loads(results, 0, NULL);
    if (j->recorded_results == NULL) {
        roll_back(j, now_us, SW__WORK_STATUS__WORK_UNKNOWN, "record-damaged",
                  "the request ran; its record cannot be read");
        return;
    }
    metrics_count(&j->pool->core->metrics, kMetricReplayed);
    run_step(j, now_us, kStepRollback);
}

/* Handles the result of a statement and enters the next step. */
static void
on_statement(Job *j, uint64_t now_us, const BackendResult *result)
{
    json_t *rows = result->rows;
    size_t count = json_array_size(rows);
    gboolean changed = count == 0 && result->affected > 0;

    json_array_append_new(
        j->results,
        json_pack("{s:O, s:I}", "rows", rows, "row_count",
                  (json_int_t)(changed ? result->affected : count)));
    j->statement++;
    if (j->request->kind == SW__WORK_KIND__WORK_RUN) {
        PoolTransaction *t = j->transaction;
        t->idle_deadline_us = now_us + kTransactionIdleTimeoutUs;
        j->connection->job = NULL;
        j->connection = NULL;
        job_finish(j, now_us, SW__WORK_STATUS__WORK_DONE, "", "");
        return;
    }
    if (j->statement < j->request->n_statements) {
        run_step(j, now_us, kStepStatement);
        return;
    }
    if (j->read_only) {
        run_step(j, now_us, kStepPositionAfter);
        return;
    }
    run_step(j, now_us, has_record(j) ? kStepStoreResults : kStepCommit);
}

/* Returns whether the pool's member is still the primary in the current
 * term. */
static gboolean
primary_in_current_term(const Job *j)
{
    const DatabaseInfo *d = pool_database(j->pool);
    return d != NULL && !j->pool->status.in_recovery &&
           j->pool->status.timeline == d->term && pool_is_primary(j->pool);
}

/* Handles the status row that gives the position after the work.  A write then
 * waits for a majority, or finishes with an unknown outcome if the primary was
 * replaced meanwhile. */
static void
on_position_after(Job *j, uint64_t now_us, const BackendResult *result)
{
    Pool *p = j->pool;
    gboolean recorded =
        monitor_record_status(p, now_us, j->connection->query_sent_us,
                              json_array_get(result->rows, 0));
    j->position = p->status.replayed;
    if (j->read_only && in_transaction_block(j)) {
        run_step(j, now_us, kStepCommit);
        return;
    }
    if (j->read_only) {
        finish_done(j, now_us);
        return;
    }
    if (!recorded || !primary_in_current_term(j)) {
        detach_connection(j, now_us);
        metrics_count(&p->core->metrics, kMetricCommitUnconfirmed);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_UNKNOWN, "term-changed",
                   "the primary was replaced while the write committed");
        return;
    }
    await_majority(j, now_us);
}

/* Handles the result of ROLLBACK: finishes the job, or continues with a repeat
 * whose results were found in the request record. */
static void
on_rollback(Job *j, uint64_t now_us)
{
    if (j->recorded_results != NULL) {
        /* A majority must hold the commit of the first execution before its
         * results are returned. */
        run_step(j, now_us, kStepPositionAfter);
        return;
    }
    Sw__WorkStatus status = j->failed_status;
    char *reason = g_steal_pointer(&j->failed_reason);
    char *detail = g_steal_pointer(&j->failed_detail);
    detach_connection(j, now_us);
    job_finish(j, now_us, status, reason == NULL ? "" : reason,
               detail == NULL ? "" : detail);
    g_free(reason);
    g_free(detail);
}

/* Handles an error that the backend server returned for the job's query. */
static void
on_error(Job *j, uint64_t now_us, const BackendResult *result)
{
    char *detail =
        g_strdup_printf("%s: %s", result->sqlstate, result->message);

    if (j->step == kStepRollback || j->step == kStepPing ||
        j->step == kStepPositionBefore || j->step == kStepPositionAfter) {
        /* The connection is unusable.  job_connection_lost determines the
         * outcome by whether the commit was sent. */
        pool_connection_drop(j->connection, now_us);
        g_free(detail);
        return;
    }
    if (j->step == kStepCommit) {
        /* An error returned by COMMIT means that the transaction was rolled
         * back. */
        detach_connection(j, now_us);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_FAILED, "statement-failed",
                   detail);
        g_free(detail);
        return;
    }
    roll_back(j, now_us,
              j->abandoned ? SW__WORK_STATUS__WORK_NOT_RUN
                           : SW__WORK_STATUS__WORK_FAILED,
              j->abandoned ? "abandoned" : "statement-failed", detail);
    g_free(detail);
}

/* Handles a successful COMMIT. */
static void
on_commit(Job *j, uint64_t now_us)
{
    if (j->read_only) {
        finish_done(j, now_us);
        return;
    }
    run_step(j, now_us, kStepPositionAfter);
}

/* Handles the result of the job's query and enters the next step. */
void
job_result(Job *j, uint64_t now_us, const BackendResult *result)
{
    if (result->status == kBackendError) {
        on_error(j, now_us, result);
        return;
    }
    switch (j->step) {
    case kStepPing:
        run_first_step(j, now_us);
        break;
    case kStepPositionBefore:
        on_position_before(j, now_us, result);
        break;
    case kStepCreateRecordTable:
        run_step(j, now_us, kStepCreateRecordIndex);
        break;
    case kStepCreateRecordIndex:
        j->pool->records_ready = TRUE;
        run_step(j, now_us, kStepBegin);
        break;
    case kStepBegin:
        on_begin(j, now_us);
        break;
    case kStepRecordInsert:
        j->already_ran = result->affected == 0;
        run_step(j, now_us,
                 j->already_ran ? kStepRecordLookup : kStepStatement);
        break;
    case kStepRecordLookup:
        on_record_lookup(j, now_us, result);
        break;
    case kStepStatement:
        on_statement(j, now_us, result);
        break;
    case kStepStoreResults:
        run_step(j, now_us, kStepCommit);
        break;
    case kStepCommit:
        on_commit(j, now_us);
        break;
    case kStepPositionAfter:
        on_position_after(j, now_us, result);
        break;
    case kStepRollback:
        on_rollback(j, now_us);
        break;
    case kStepMajority:
        break;
    }
}

/* Queues a job again, to restart it on another connection. */
static void
requeue(Job *j, uint64_t now_us)
{
    Pool *p = j->pool;
    const TeamInfo *t = catalog_team(p->core->catalog, j->request->team);

    j->requeues++;
    j->statement = 0;
    json_array_clear(j->results);
    if (!fair_queue_push(p->queue, j->request->team,
                         t == NULL ? 1 : t->parameters.weight,
                         j->request->worth, p->service_us, j)) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "overload",
                   "the team's queue is full");
        return;
    }
    pool_dispatch(p, now_us);
}

/* Handles the loss of the job's connection.  The outcome is unknown if
 * the commit of a write was sent, now or in an earlier execution.  Otherwise
 * nothing has been committed, and a job whose connection was unresponsive may
 * be restarted on another connection, unless it belongs to an interactive
 * transaction. */
void
job_connection_lost(Job *j, uint64_t now_us, ConnectionLoss loss)
{
    gboolean in_transaction = j->request->kind == SW__WORK_KIND__WORK_RUN ||
                              j->request->kind == SW__WORK_KIND__WORK_COMMIT ||
                              j->request->kind == SW__WORK_KIND__WORK_ROLLBACK;

    if ((j->commit_sent && !j->read_only) || j->already_ran) {
        metrics_count(&j->pool->core->metrics, kMetricCommitUnconfirmed);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_UNKNOWN, "connection-lost",
                   "the connection was lost while the write committed");
        return;
    }
    if (in_transaction) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "no-transaction",
                   "the connection was lost and the transaction undone");
        return;
    }
    if (loss == kLossDeadline) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "deadline",
                   "it did not end before its deadline and was undone");
        return;
    }
    gboolean restart = loss == kLossUnresponsive &&
                       j->requeues < kMaxJobRequeues &&
                       now_us + j->pool->service_us < j->deadline_us;
    if (restart) {
        requeue(j, now_us);
        return;
    }
    job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "connection-lost",
               "the connection was lost before the commit was sent");
}
