#include "gateway/slow_start_gate.h"

/* Handles a backend server's answer to a session, or the loss of the session's
 * connection.  A statement that did not run may be sent to another server.  A
 * write that may have run is never repeated, and is answered as done only if
 * that is certain. */

enum {
    kBusyRetryUs = 12000, /* after a server with a full queue */
    /* First and longest time for which a lagging replica is avoided; the time
     * doubles on each repetition. */
    kLaggingFirstUs = 40000,
    kLaggingMaxUs = 640000,
    kLaggingTriesMax = 3,    /* then the primary serves the read */
    kQueuedRetryUs = 200000, /* minimum retry hint when a queue is too long */
    kReadRetriesMax = 1,     /* of a read that ran and failed */
};

/* Tells whether the code means that the statement did not run. */
static gboolean
did_not_run(AnswerCode code)
{
    return code == kCodeBusy || code == kCodeLagging ||
           code == kCodeReadOnly || code == kCodeMisrouted ||
           code == kCodeTooMany || code == kCodeNoStatement;
}

/* Records that a replica is behind, with exponential backoff. */
static void
record_lagging(Session *s, Server *server, uint64_t now_us)
{
    uint64_t step_us = server->lagging_step_us * 2;

    server->lagging_step_us =
        CLAMP(step_us, (uint64_t)kLaggingFirstUs, (uint64_t)kLaggingMaxUs);
    server->lagging_until_us = now_us + server->lagging_step_us;
    s->gateway->counters.lagging++;
}

/* Refuses the open statement because the owner of the server expects too long
 * a wait.  The retry hint is at least the queueing delay that the owner
 * reported. */
static void
refuse_queued(Session *s, uint64_t now_us, const Server *server)
{
    gboolean cold = slow_start_gate_is_limited(server, now_us);

    if (!cold && s->gateway->prioritized) {
        dispatch_refuse_overload(s, now_us, server);
        return;
    }
    session_refuse(s, now_us, cold ? kRefusedCold : kRefusedQueue,
                   MAX(server->owner_wait_us, (uint64_t)kQueuedRetryUs));
}

/* Handles a statement, or the BEGIN before it, that did not run.  It is
 * retried at another server unless part of its transaction has run. */
static void
answer_not_run(Session *s, uint64_t now_us, const ServerAnswer *a)
{
    Connection *c = s->connection;
    Server *server = c->server;
    uint64_t delay_us = 0;

    if (a->code == kCodeNoStatement) {
        /* The server has dropped what it had acknowledged. */
        server_session_forget(&c->server_session);
    }
    if (s->begun) {
        if (a->state == kSessionInTransaction &&
            (a->code == kCodeNoStatement) && s->job.attempts++ == 0) {
            if (!session_check_key(s, now_us)) {
                slow_start_gate_run(c, s, now_us);
            }
            return;
        }
        session_finish(s, now_us, kCodeAborted, a->code_text);
        return;
    }
    if (a->code == kCodeBusy && c->relay != 0) {
        if (s->job.full_wait || !dispatch_may_repeat(s)) {
            refuse_queued(s, now_us, server);
            return;
        }
    }
    else if (a->code == kCodeBusy) {
        if (!dispatch_may_repeat(s)) {
            refuse_queued(s, now_us, server);
            return;
        }
        delay_us = kBusyRetryUs;
    }
    if (a->code == kCodeLagging) {
        record_lagging(s, server, now_us);
        s->job.lagging++;
        s->job.attempts -= s->job.attempts > 0 ? 1 : 0;
        if (s->job.lagging >= kLaggingTriesMax) {
            s->job.needs_primary = TRUE;
        }
    }
    if (a->code == kCodeReadOnly || a->code == kCodeMisrouted) {
        server->avoid_until_us = now_us + kLaggingMaxUs / 4;
    }
    s->job.sent = FALSE;
    s->job.avoid_server = a->code == kCodeNoStatement ? NULL : server;
    if (server == database_primary(s->database, now_us) &&
        s->job.needs_primary) {
        s->job.avoid_server = NULL;
    }
    s->connection = NULL;
    c->session = NULL;
    connection_release(c, now_us);
    dispatch_retry(s, now_us, delay_us);
}

/* Tells whether the answer to a commit can be trusted.  That of a primary can
 * be only while this instance has the right to use it. */
static gboolean
answer_is_trusted(const Session *s, uint64_t now_us)
{
    const Connection *c = s->connection;
    return !s->at_primary ||
           c->server == database_primary(s->database, now_us);
}

/* Tells whether the open statement may make data permanent. */
gboolean
session_may_change(const Session *s)
{
    return s->job.kind == kStatementCommit ? s->wrote : s->job.writes;
}

/* Handles a statement that ran and completed. */
static void
answer_complete(Session *s, uint64_t now_us, const ServerAnswer *a)
{
    Connection *c = s->connection;
    gboolean ends =
        s->state == kSessionIdle || s->job.kind == kStatementCommit;
    gboolean commits = ends && session_may_change(s);
    SessionState state = ends ? kSessionIdle : kSessionInTransaction;
    GatewayCounters *n = &s->gateway->counters;

    dispatch_succeeded(s);
    if (commits && !answer_is_trusted(s, now_us)) {
        session_finish(s, now_us, kCodeInDoubt,
                       "the primary was replaced meanwhile");
        return;
    }
    if (commits && a->state != kSessionIdle) {
        /* The change is part of a transaction that nobody will commit. */
        session_finish(s, now_us, kCodeInDoubt,
                       "the server reports an open transaction");
        return;
    }
    if (commits && position_compare(a->position, s->last_commit) > 0) {
        s->last_commit = a->position;
    }
    if (commits &&
        position_compare(a->position, s->database->acknowledged) > 0) {
        s->database->acknowledged = a->position;
    }
    if (!ends) {
        s->wrote |= s->job.writes;
    }
    if (!s->at_primary) {
        c->server->lagging_step_us = 0;
        n->replica_reads++;
    }
    else if (!s->job.writes) {
        n->primary_reads++;
    }
    CallerAnswer answer = {.rows = a->rows,
                           .rows_bytes = a->rows_bytes,
                           .tag = a->tag,
                           .state = state,
                           .position_text = a->position_text};
    if (ends) {
        s->connection = NULL;
        c->session = NULL;
    }
    session_reply(s, now_us, &answer);
    if (ends) {
        connection_release(c, now_us);
    }
}

/* Handles a statement that ran and failed, or may have run.  A read outside a
 * transaction is retried at another server. */
static void
answer_error(Session *s, uint64_t now_us, const ServerAnswer *a)
{
    Connection *c = s->connection;
    Job *job = &s->job;
    gboolean in_transaction = s->state == kSessionInTransaction;
    gboolean commit = job->kind == kStatementCommit;
    CallerAnswer answer = {.code = a->code,
                           .code_text = a->code_text,
                           .detail = a->detail,
                           .position_text = a->position_text};

    if (!in_transaction && !job->writes && a->code == kCodeFailed &&
        job->attempts < kReadRetriesMax) {
        job->avoid_server = c->server;
        s->connection = NULL;
        c->session = NULL;
        connection_release(c, now_us);
        dispatch_retry(s, now_us, 0);
        return;
    }
    answer.state = in_transaction && !commit ? kSessionFailed : kSessionIdle;
    s->connection = NULL;
    c->session = NULL;
    session_reply(s, now_us, &answer);
    connection_release(c, now_us);
}

/* Handles the server's answer to the session's BEGIN or statement. */
void
session_answer(Session *s, uint64_t now_us, const ServerAnswer *a)
{
    Connection *c = s->connection;

    if (c->begin_open && a->code == kCodeNone) {
        c->begin_open = FALSE;
        s->begun = TRUE;
        /* The configuration may have changed since the BEGIN was sent. */
        if (!session_check_key(s, now_us)) {
            slow_start_gate_run(c, s, now_us);
        }
        return;
    }
    if (a->code == kCodeNone) {
        answer_complete(s, now_us, a);
        return;
    }
    if (did_not_run(a->code) || c->begin_open) {
        answer_not_run(s, now_us, a);
        return;
    }
    answer_error(s, now_us, a);
}

/* Continues with the open statement once the server has acknowledged the
 * session's state.  Meanwhile the configuration may have changed, and the
 * server may not be used any more. */
void
session_set_up(Session *s, uint64_t now_us)
{
    Connection *c = s->connection;

    if (session_check_key(s, now_us)) {
        return;
    }
    if (!s->begun && !dispatch_may_serve(s, c->server, now_us)) {
        s->connection = NULL;
        c->session = NULL;
        connection_release(c, now_us);
        dispatch_retry(s, now_us, 0);
        return;
    }
    slow_start_gate_run(c, s, now_us);
}

/* Handles a value or prepared statement of the session that the server
 * rejected with a code.  The open statement has not been sent.  A rejection
 * other than BUSY leaves it open what the connection is good for, so that it
 * is closed. */
void
session_setup_rejected(Session *s, uint64_t now_us, AnswerCode code)
{
    static const char detail[] = "not run: the server rejected a session "
                                 "value or prepared statement";
    static const ServerAnswer busy = {.code = kCodeBusy};
    Connection *c = s->connection;

    if (s->begun) {
        session_finish(s, now_us, kCodeAborted, detail);
        return;
    }
    if (code == kCodeMalformed) {
        /* Other servers would reject it as well. */
        session_finish(s, now_us, kCodeMalformed, detail);
        return;
    }
    if (code != kCodeBusy) {
        connection_close(c);
        dispatch_retry(s, now_us, kBusyRetryUs);
        return;
    }
    answer_not_run(s, now_us, &busy);
}

/* Handles the loss of the session's connection, which is already closed.  A
 * statement that was sent with the transaction's BEGIN may have run and is not
 * repeated. */
void
session_connection_lost(Session *s, uint64_t now_us)
{
    Job *job = &s->job;
    gboolean begun = s->begun || job->with_begin;

    s->connection = NULL;
    if (!job->open) {
        /* No statement is open; the server rolls back the transaction. */
        s->state = kSessionFailed;
        s->begun = FALSE;
        return;
    }
    if (job->setting_up && !begun) {
        dispatch_retry(s, now_us, 0);
        return;
    }
    if (begun &&
        (job->kind != kStatementCommit || job->held || job->setting_up)) {
        session_finish(s, now_us, kCodeAborted, "the connection was lost");
        return;
    }
    if (s->state == kSessionInTransaction && !begun) {
        dispatch_retry(s, now_us, 0);
        return;
    }
    if (session_may_change(s)) {
        session_finish(s, now_us, kCodeInDoubt, "the answer was lost");
        return;
    }
    if (job->kind == kStatementCommit) {
        session_finish(s, now_us, kCodeAborted, "the connection was lost");
        return;
    }
    dispatch_retry(s, now_us, 0);
}

/* Aborts the session's work at the primary, which must not be used any
 * more. */
void
session_abort_at_primary(Session *s, uint64_t now_us)
{
    Connection *c = s->connection;

    if (c == NULL || !s->at_primary) {
        return;
    }
    s->connection = NULL;
    connection_close(c);
    session_connection_lost(s, now_us);
}
