#include <string.h>

#include "gateway/prepared_name.h"
#include "gateway/slow_start_gate.h"

/* A caller's session: its values, its prepared statements and at most one open
 * transaction.  Statements that need no backend server are answered at once.
 * A BEGIN is sent to a server only with the first statement behind it, so that
 * an idle transaction without statements holds no connection. */

enum {
    /* Of the drain grace: end of open transactions and of new statements. */
    kDrainPercent = 50,
    /* Of the drain grace: end of the wait for answers of servers.  The rest is
     * left for sending answers to callers. */
    kDrainLimitPercent = 85,
    /* Idle sessions are closed once the load balancer has noticed that this
     * instance is not ready.  It needs two failed probes; the time is for a
     * balancer whose probes do not arrive. */
    kIdleCloseAfterUs = 2400000,
    kUnreadyProbesNoticed = 2,
    kMaxRateRetryUs = 5000000, /* upper limit of the retry hint to callers */
    /* Retry hint; another instance may be in contact with the leader. */
    kUnconfirmedRetryUs = 1000000,
    /* Retry hint after a server stopped answering; by then it answers again or
     * is avoided. */
    kSetupRetryUs = 1000000,
    /* Memory of a kept value or prepared statement beside its texts. */
    kKeptOverheadBytes = 96,
};

/* Returns the team's name as sent to backend servers, "-" for no team. */
const char *
session_team_name(const Session *s)
{
    return s->team == NULL ? "-" : s->team->name;
}

/* ---- planned shutdown ---- */

/* Tells whether a planned shutdown has used up a part of its grace. */
static gboolean
drain_has_used(const Gateway *g, uint64_t now_us, uint32_t percent)
{
    return g->drain_started_us != 0 &&
           now_us - g->drain_started_us > g->drain_grace_us * percent / 100;
}

/* Tells whether the load balancer has noticed, or has had time to notice, that
 * this instance has not been ready since since_us. */
static gboolean
balancer_noticed(const Gateway *g, uint64_t now_us, uint64_t since_us)
{
    return g->unready_probe_count >= kUnreadyProbesNoticed ||
           now_us - since_us > kIdleCloseAfterUs;
}

/* Tells whether a planned shutdown has begun and the load balancer sends no
 * new callers. */
static gboolean
drain_is_noticed(const Gateway *g, uint64_t now_us)
{
    return g->drain_started_us != 0 &&
           balancer_noticed(g, now_us, g->drain_started_us);
}

/* Tells whether idle sessions must be closed, so that their callers connect to
 * other instances: this instance is draining or partitioned, and the load
 * balancer has noticed. */
static gboolean
must_close(const Gateway *g, uint64_t now_us)
{
    if (g->partitioned_since_us != 0) {
        return balancer_noticed(g, now_us, g->partitioned_since_us);
    }
    return drain_is_noticed(g, now_us);
}

/* Tells whether a planned shutdown has begun and no session is left.  Until
 * the wait for answers of servers has ended, the load balancer must also send
 * no new callers, and no connection may be lent. */
gboolean
gateway_drained(const Gateway *g, uint64_t now_us)
{
    if (g->sessions.length > 0) {
        return FALSE;
    }
    return drain_has_used(g, now_us, kDrainLimitPercent) ||
           (drain_is_noticed(g, now_us) &&
            g_hash_table_size(g->pooled_jobs) == 0);
}

/* ---- route and team ---- */

/* Looks up route and team in the current document.  Returns kCodeNone, or the
 * code of the error to answer the caller with. */
static AnswerCode
session_resolve(Session *s)
{
    Gateway *g = s->gateway;
    const DocumentRoute *route = document_route(g->document, s->host);

    if (route == NULL) {
        return kCodeNoDatabase;
    }
    const DocumentTeam *team = document_team_by_key(g->document, s->key);
    if (team == NULL && !route->is_public) {
        return kCodeNoAuth;
    }
    if (s->document != g->document) {
        document_unref(s->document);
        s->document = document_ref(g->document);
    }
    s->route = route;
    s->team = team;
    s->database = gateway_database(g, route->database);
    return kCodeNone;
}

/* Opens a session for a caller that names a host and presents a key.  caller
 * is passed to the GatewayPort calls.  Returns NULL and sets code if the
 * session is refused.  The gateway owns the result until session_close. */
Session *
session_open(Gateway *g, uint64_t now_us, void *caller, const char *host,
             const char *key, AnswerCode *code)
{
    *code = kCodeBusy;
    if (g->document == NULL || drain_is_noticed(g, now_us)) {
        return NULL;
    }
    Session *s = g_new0(Session, 1);
    s->gateway = g;
    s->number = ++g->next_session;
    s->caller = caller;
    s->host = g_strdup(host);
    s->key = g_strdup(key);
    s->idle_since_us = now_us;
    *code = session_resolve(s);
    if (*code != kCodeNone) {
        g_free(s->host);
        g_free(s->key);
        g_free(s);
        return NULL;
    }
    g_queue_push_tail(&g->sessions, s);
    s->all_link = g->sessions.tail;
    return s;
}

/* Frees the open statement and removes the session from Gateway.active. */
static void
job_clear(Session *s)
{
    Job *job = &s->job;
    g_free(job->id);
    g_free(job->text);
    g_free(job->prepared);
    g_free(job->prepared_text);
    *job = (Job){0};
    if (s->active_link != NULL) {
        g_queue_delete_link(&s->gateway->active, s->active_link);
        s->active_link = NULL;
    }
}

static void
session_free(Session *s)
{
    Gateway *g = s->gateway;
    dispatch_dequeue(s);
    team_rates_cancel_wait(s);
    job_clear(s);
    g_queue_delete_link(&g->sessions, s->all_link);
    g_clear_pointer(&s->values, g_hash_table_destroy);
    g_clear_pointer(&s->prepared, g_hash_table_destroy);
    document_unref(s->document);
    g_free(s->host);
    g_free(s->key);
    g_free(s);
}

/* Closes and frees the session of a caller that has disconnected.  Rolls back
 * an open transaction; the connection of a statement in progress is closed. */
void
session_close(Session *s, uint64_t now_us)
{
    Connection *c = s->connection;
    s->caller = NULL;
    if (c != NULL && c->awaiting) {
        connection_close(c);
    }
    else if (c != NULL) {
        connection_release(c, now_us);
    }
    session_free(s);
}

/* Tells whether a statement is open, that is, not yet answered. */
gboolean
session_busy(const Session *s)
{
    return s->job.open;
}

/* Tells whether a transaction is open. */
gboolean
session_in_transaction(const Session *s)
{
    return s->state != kSessionIdle;
}

/* Returns the approximate memory of the values and prepared statements that
 * the caller has set. */
uint64_t
session_held_bytes(const Session *s)
{
    return s->held_bytes;
}

/* Records that the session keeps a text under a name (sign 1) or no longer
 * does (-1).  An unknown text, NULL, is not recorded. */
static void
record_kept(Session *s, int sign, const char *name, const char *text)
{
    if (text != NULL) {
        s->held_bytes += (uint64_t)sign *
                         (strlen(name) + strlen(text) + kKeptOverheadBytes);
    }
}

/* Returns the text of a prepared statement, NULL if there is none. */
static const char *
prepared_text(const Session *s, const char *name)
{
    const Prepared *p =
        s->prepared == NULL ? NULL : g_hash_table_lookup(s->prepared, name);
    return p == NULL ? NULL : p->text;
}

/* ---- answers to the caller ---- */

/* Records the time since arrival, unless arrived_us is zero: statements that
 * need no server have no arrival time. */
static void
record_time(Histogram *h, uint64_t now_us, uint64_t arrived_us)
{
    if (arrived_us != 0) {
        histogram_observe(h, now_us - arrived_us);
    }
}

/* Answers the open statement: logs the outcome, updates the session's state
 * and the counters, and sends the answer to the caller.  If idle sessions must
 * be closed, so is this one once it is idle: a caller that sends the next
 * statement at once would otherwise never be found idle. */
void
session_reply(Session *s, uint64_t now_us, const CallerAnswer *a)
{
    Gateway *g = s->gateway;
    uint64_t arrived_us = s->job.arrived_us;
    CallerAnswer answer = *a;

    session_log(s, now_us, a);
    dispatch_dequeue(s);
    team_rates_cancel_wait(s);
    job_clear(s);
    s->idle_since_us = now_us;
    s->state = a->state;
    if (a->state != kSessionInTransaction) {
        s->begun = FALSE;
        if (s->connection != NULL) {
            connection_release(s->connection, now_us);
        }
    }
    if (a->state == kSessionIdle) {
        s->wrote = FALSE;
        s->read_only = FALSE;
    }
    if (a->code == kCodeInDoubt) {
        g->counters.in_doubt++;
    }
    else if (a->code == kCodeNone) {
        g->counters.answered++;
        record_time(&g->counters.operation, now_us, arrived_us);
    }
    else {
        g->counters.refused++;
        record_time(&g->counters.refusal, now_us, arrived_us);
    }
    if (s->caller != NULL) {
        answer.closes = a->state == kSessionIdle && must_close(g, now_us);
        g->port.caller_answer(g->port.ctx, s->caller, &answer);
    }
}

/* Answers the open statement as completed without a server. */
static void
reply_done(Session *s, uint64_t now_us, SessionState state)
{
    session_reply(s, now_us, &(CallerAnswer){.state = state});
}

/* Answers the open statement with an error of the gateway itself.  state is
 * that of the session from then on; an open transaction in any other state
 * than kSessionInTransaction is rolled back. */
static void
reply_error(Session *s, uint64_t now_us, AnswerCode code, SessionState state,
            const char *detail)
{
    session_reply(
        s, now_us,
        &(CallerAnswer){.code = code, .state = state, .detail = detail});
}

/* Answers the open statement with an error of the gateway itself, and rolls
 * back an open transaction.  A connection that awaits an answer is closed. */
void
session_finish(Session *s, uint64_t now_us, AnswerCode code,
               const char *detail)
{
    Connection *c = s->connection;
    StatementKind kind = s->job.kind;
    SessionState state =
        s->state == kSessionInTransaction && kind != kStatementCommit
            ? kSessionFailed
            : kSessionIdle;

    if (c != NULL && c->awaiting) {
        connection_close(c);
    }
    else if (c != NULL) {
        connection_release(c, now_us);
    }
    reply_error(s, now_us, code, state, detail);
}

/* Refuses a statement that did not run, with a hint to retry after
 * retry_after_us, and returns its rate token to the team. */
void
session_refuse(Session *s, uint64_t now_us, RefusalReason reason,
               uint64_t retry_after_us)
{
    static const char *const reasons[kRefusalReasons] = {
        [kRefusedOverRate] = "over its rate",
        [kRefusedQueue] = "too much is waiting",
        [kRefusedNoServer] = "no server can be used",
        [kRefusedAttempts] = "every server turned it away",
        [kRefusedDeadline] = "no connection came free",
        [kRefusedUnconfirmed] = "its key cannot be confirmed",
        [kRefusedDraining] = "the instance is shutting down",
        [kRefusedRegion] = "no server in an allowed region",
        [kRefusedCold] = "the server is still cold",
        [kRefusedEvacuated] = "failure domain is evacuated",
        [kRefusedLevel] = "more urgent work fills the servers",
        [kRefusedSetup] = "the server did not take over the session's values",
    };
    char detail[96];

    s->gateway->counters.refusals[reason]++;
    g_snprintf(detail, sizeof(detail), "not run: %s, retry after %u ms",
               reasons[reason], (unsigned)(retry_after_us / kMicrosPerMilli));
    if (s->job.charged && s->team != NULL) {
        team_rates_return(s);
    }
    session_finish(s, now_us, s->begun ? kCodeAborted : kCodeBusy, detail);
}

/* ---- statements that need no server ---- */

/* Tells whether a key may have been revoked without this instance knowing,
 * since its configuration has not been confirmed for too long. */
static gboolean
key_is_unconfirmed(const Gateway *g, uint64_t now_us)
{
    return g->max_unconfirmed_us != 0 &&
           now_us - g->confirmed_us > g->max_unconfirmed_us;
}

/* Takes an operation from the team's rate.  Returns FALSE if the statement was
 * refused, or waits for a token until session_admitted is called. */
static gboolean
admit_operation(Session *s, uint64_t now_us)
{
    uint64_t wait_us = 0;

    if (s->team == NULL) {
        return TRUE;
    }
    if (key_is_unconfirmed(s->gateway, now_us)) {
        session_refuse(s, now_us, kRefusedUnconfirmed, kUnconfirmedRetryUs);
        return FALSE;
    }
    switch (team_rates_take(s, now_us, &wait_us)) {
    case kRateTaken:
        s->job.charged = TRUE;
        return TRUE;
    case kRateRefused:
        session_refuse(s, now_us, kRefusedOverRate,
                       MIN(wait_us, (uint64_t)kMaxRateRetryUs));
        return FALSE;
    case kRateWaiting:
        break;
    }
    return FALSE;
}

/* Begins a transaction of the session; no server is involved yet. */
static void
begin_transaction(Session *s, uint64_t now_us)
{
    s->read_only = s->job.kind == kStatementBeginRead;
    s->wrote = FALSE;
    s->begun = FALSE;
    reply_done(s, now_us, kSessionInTransaction);
}

/* Handles BEGIN, which counts as an operation of the team's rate. */
static void
statement_begin(Session *s, uint64_t now_us)
{
    AnswerCode code;

    if (s->state != kSessionIdle) {
        reply_error(s, now_us, kCodeMalformed, kSessionFailed,
                    "a transaction is open");
        return;
    }
    code = session_resolve(s);
    if (code != kCodeNone) {
        reply_error(s, now_us, code, kSessionIdle, "");
        return;
    }
    if (admit_operation(s, now_us)) {
        begin_transaction(s, now_us);
    }
}

/* Handles ROLLBACK: releases the connection, and rolls back on it if a server
 * has begun the transaction. */
static void
statement_rollback(Session *s, uint64_t now_us)
{
    if (s->state == kSessionIdle) {
        reply_error(s, now_us, kCodeMalformed, kSessionIdle,
                    "no transaction is open");
        return;
    }
    if (s->connection != NULL) {
        connection_release(s->connection, now_us);
    }
    reply_done(s, now_us, kSessionIdle);
}

/* Handles SET: stores the value, which servers get with later statements. */
static void
statement_set(Session *s, uint64_t now_us, const Statement *st)
{
    if (s->values == NULL) {
        s->values =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    record_kept(s, -1, st->name, g_hash_table_lookup(s->values, st->name));
    record_kept(s, 1, st->name, st->value);
    g_hash_table_replace(s->values, g_strdup(st->name), g_strdup(st->value));
    reply_done(s, now_us, s->state);
}

static void
prepared_free(void *data)
{
    Prepared *p = data;
    g_free(p->text);
    g_free(p);
}

/* Handles PREPARE: stores the statement, which is prepared at a server by the
 * first EXECUTE there. */
static void
statement_prepare(Session *s, uint64_t now_us, const Statement *st)
{
    Prepared *p = g_new(Prepared, 1);

    if (s->prepared == NULL) {
        s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            prepared_free);
    }
    record_kept(s, -1, st->name, prepared_text(s, st->name));
    record_kept(s, 1, st->name, st->prepared_text);
    *p = (Prepared){g_strdup(st->prepared_text), st->writes};
    g_hash_table_replace(s->prepared, g_strdup(st->name), p);
    reply_done(s, now_us, s->state);
}

/* Handles DEALLOCATE of a prepared statement. */
static void
statement_deallocate(Session *s, uint64_t now_us, const Statement *st)
{
    record_kept(s, -1, st->name, prepared_text(s, st->name));
    if (s->prepared == NULL || !g_hash_table_remove(s->prepared, st->name)) {
        reply_error(s, now_us, kCodeNoStatement,
                    s->state == kSessionIdle ? kSessionIdle : kSessionFailed,
                    st->name);
        return;
    }
    reply_done(s, now_us, s->state);
}

/* ---- statements for a server ---- */

/* Fills in what the job sends to a server.  Returns FALSE for an EXECUTE of an
 * unknown prepared statement. */
static gboolean
job_fill(Session *s, const Statement *st)
{
    Job *job = &s->job;
    Prepared *p;

    if (st->kind != kStatementExecute) {
        job->text = g_strdup(st->text);
        job->writes = st->kind == kStatementWrite;
        return TRUE;
    }
    p = s->prepared == NULL ? NULL
                            : g_hash_table_lookup(s->prepared, st->name);
    if (p == NULL) {
        return FALSE;
    }
    job->prepared = prepared_name(p->text, p->writes);
    job->prepared_text = g_strdup(p->text);
    job->writes = p->writes;
    job->text =
        g_strdup_printf("EXECUTE %s%s%s", job->prepared,
                        st->arguments[0] == '\0' ? "" : " ", st->arguments);
    return TRUE;
}

/* Whether the open statement may still run for the session's team. */
typedef enum {
    kKeyValid,
    kKeyRevoked,
    kKeyMoved, /* another team holds it now, or none did before */
    kKeyUnconfirmed,
} KeyStatus;

/* Compares the team for which the session's work began with the one that holds
 * its key now. */
static KeyStatus
key_status(const Session *s, uint64_t now_us)
{
    const Document *current = s->gateway->document;

    if (s->team != NULL && key_is_unconfirmed(s->gateway, now_us)) {
        return kKeyUnconfirmed;
    }
    if (s->document == current) {
        return kKeyValid;
    }
    const DocumentTeam *holder = document_team_by_key(current, s->key);
    if (holder == NULL) {
        return s->team == NULL ? kKeyValid : kKeyRevoked;
    }
    return s->team != NULL && strcmp(holder->name, s->team->name) == 0
               ? kKeyValid
               : kKeyMoved;
}

/* Ends the open statement, and the transaction that it belongs to, if the key
 * is not valid for the session's team any more.  Returns whether it did.  A
 * key that another team holds is not reported as invalid: with the next
 * operation the caller continues as that team. */
gboolean
session_check_key(Session *s, uint64_t now_us)
{
    gboolean in_transaction = s->state == kSessionInTransaction;

    switch (key_status(s, now_us)) {
    case kKeyValid:
        return FALSE;
    case kKeyUnconfirmed:
        if (!in_transaction) {
            session_refuse(s, now_us, kRefusedUnconfirmed,
                           kUnconfirmedRetryUs);
            break;
        }
        session_finish(s, now_us, kCodeNoAuth, "");
        break;
    case kKeyRevoked:
        session_finish(s, now_us, kCodeNoAuth, "");
        break;
    case kKeyMoved:
        session_finish(s, now_us, in_transaction ? kCodeAborted : kCodeBusy,
                       "not run: the key belongs to another team now");
        break;
    }
    return TRUE;
}

/* Applies a new configuration to the statements that wait for a token or a
 * server. */
void
session_document_changed(Gateway *g, uint64_t now_us)
{
    GPtrArray *waiting = g_ptr_array_new();

    for (GList *l = g->active.head; l != NULL; l = l->next) {
        const Session *s = l->data;
        if (!s->job.sent) {
            g_ptr_array_add(waiting, l->data);
        }
    }
    for (guint i = 0; i < waiting->len; i++) {
        Session *s = g_ptr_array_index(waiting, i);
        if (s->job.open && !s->job.sent) {
            session_check_key(s, now_us);
        }
    }
    g_ptr_array_unref(waiting);
}

/* Sends the open statement on the session's connection, or submits it to
 * dispatch if the session has none. */
static void
forward_job(Session *s, uint64_t now_us)
{
    Job *job = &s->job;

    job->deadline_us = job->arrived_us + s->route->timeout_us;
    job->needs_primary =
        s->route->consistency == kConsistencyPrimary ||
        (s->state == kSessionInTransaction ? !s->read_only : job->writes);
    if (s->connection != NULL) {
        slow_start_gate_run(s->connection, s, now_us);
        return;
    }
    dispatch_submit(s, now_us);
}

/* Continues with the open statement after its rate token was granted. */
void
session_admitted(Session *s, uint64_t now_us)
{
    StatementKind kind = s->job.kind;

    s->job.charged = TRUE;
    if (kind == kStatementBegin || kind == kStatementBeginRead) {
        begin_transaction(s, now_us);
        return;
    }
    forward_job(s, now_us);
}

/* Handles a statement that a server must run. */
static void
statement_forward(Session *s, uint64_t now_us, const Statement *st)
{
    gboolean begins = s->state == kSessionIdle;
    AnswerCode code;

    if (st->kind == kStatementCommit && begins) {
        reply_error(s, now_us, kCodeMalformed, kSessionIdle,
                    "no transaction is open");
        return;
    }
    if (!job_fill(s, st)) {
        reply_error(s, now_us, kCodeNoStatement,
                    begins ? kSessionIdle : kSessionFailed, st->name);
        return;
    }
    s->job.arrived_us = now_us;
    if (begins) {
        code = session_resolve(s);
        if (code != kCodeNone) {
            reply_error(s, now_us, code, kSessionIdle, "");
            return;
        }
        if (!admit_operation(s, now_us)) {
            return;
        }
    }
    else if (session_check_key(s, now_us)) {
        return;
    }
    forward_job(s, now_us);
}

/* Refuses a statement that would start work, or continue a transaction, when
 * a planned shutdown leaves no more time for it.  Returns whether it did. */
static gboolean
refuse_draining(Session *s, uint64_t now_us)
{
    StatementKind kind = s->job.kind;
    gboolean starts = kind == kStatementBegin || kind == kStatementBeginRead ||
                      kind == kStatementRead || kind == kStatementWrite ||
                      kind == kStatementExecute;
    gboolean continues =
        s->state == kSessionInTransaction && kind != kStatementRollback;

    if (!drain_has_used(s->gateway, now_us, kDrainPercent) ||
        (!continues && !starts)) {
        return FALSE;
    }
    s->gateway->counters.refusals[kRefusedDraining]++;
    session_finish(s, now_us, continues ? kCodeAborted : kCodeBusy,
                   "not run: the instance is shutting down");
    return TRUE;
}

/* Handles a statement of the caller.  Exactly one answer follows, during the
 * call or later; the driver must not pass the next statement before it. */
void
session_statement(Session *s, uint64_t now_us, const Statement *st)
{
    Gateway *g = s->gateway;

    s->job = (Job){.open = TRUE, .kind = st->kind, .id = g_strdup(st->id)};
    g_queue_push_tail(&g->active, s);
    s->active_link = g->active.tail;
    if (s->state == kSessionFailed && st->kind == kStatementCommit) {
        reply_error(s, now_us, kCodeAborted, kSessionIdle, "rolled back");
        return;
    }
    if (s->state == kSessionFailed && st->kind != kStatementRollback) {
        reply_error(s, now_us, kCodeMalformed, kSessionFailed,
                    "the transaction has failed");
        return;
    }
    if (refuse_draining(s, now_us)) {
        return;
    }
    switch (st->kind) {
    case kStatementBegin:
    case kStatementBeginRead:
        statement_begin(s, now_us);
        break;
    case kStatementRollback:
        statement_rollback(s, now_us);
        break;
    case kStatementSet:
        statement_set(s, now_us, st);
        break;
    case kStatementPrepare:
        statement_prepare(s, now_us, st);
        break;
    case kStatementDeallocate:
        statement_deallocate(s, now_us, st);
        break;
    case kStatementCommit:
    case kStatementRead:
    case kStatementWrite:
    case kStatementExecute:
        statement_forward(s, now_us, st);
        break;
    case kStatementMalformed:
        session_finish(s, now_us, kCodeMalformed, "");
        break;
    }
}

/* ---- time ---- */

/* Tells whether the open statement may have committed a change if it gets no
 * answer. */
static gboolean
ends_in_doubt(const Session *s)
{
    gboolean single = s->state == kSessionIdle;
    return session_may_change(s) &&
           (single || s->job.kind == kStatementCommit);
}

/* Ends the wait for the answer to a sent statement. */
static void
give_up_answer(Session *s, uint64_t now_us, const char *detail)
{
    session_finish(s, now_us,
                   ends_in_doubt(s)                    ? kCodeInDoubt
                   : s->state == kSessionInTransaction ? kCodeAborted
                                                       : kCodeTimeout,
                   detail);
}

/* Ends a sent statement when its deadline passes, and any open statement at
 * the end of a planned shutdown. */
static void
job_tick(Session *s, uint64_t now_us)
{
    gboolean sent = s->job.sent && !s->job.setting_up;

    if (s->job.sent && now_us >= s->job.deadline_us) {
        s->gateway->counters.timeouts++;
        if (!sent) {
            session_refuse(s, now_us, kRefusedSetup, kSetupRetryUs);
            return;
        }
        give_up_answer(s, now_us, "no answer within the time limit");
        return;
    }
    if (!drain_has_used(s->gateway, now_us, kDrainLimitPercent)) {
        return;
    }
    if (sent) {
        give_up_answer(s, now_us, "no answer before the end of the shutdown");
        return;
    }
    session_refuse(s, now_us, kRefusedDraining, 0);
}

/* Drops the configuration of an idle session's last statement, once there is a
 * newer one; session_resolve looks up route and team anew. */
static void
drop_former_document(Session *s)
{
    if (s->document != s->gateway->document) {
        g_clear_pointer(&s->document, document_unref);
        s->route = NULL;
        s->team = NULL;
    }
}

/* Ends a transaction that is idle for too long, and closes an idle session if
 * required. */
static void
idle_tick(Session *s, uint64_t now_us)
{
    Gateway *g = s->gateway;
    gboolean in_transaction = s->state == kSessionInTransaction;
    uint64_t idle_us = now_us - s->idle_since_us;

    if (in_transaction && s->connection != NULL &&
        (idle_us > s->document->transaction_idle_us ||
         drain_has_used(g, now_us, kDrainPercent))) {
        connection_release(s->connection, now_us);
        s->state = kSessionFailed;
        s->begun = FALSE;
    }
    if (s->state == kSessionIdle) {
        drop_former_document(s);
    }
    gboolean closes = drain_has_used(g, now_us, kDrainLimitPercent) ||
                      (s->state == kSessionIdle && must_close(g, now_us));
    if (closes && g->port.caller_close(g->port.ctx, s->caller)) {
        session_close(s, now_us);
    }
}

/* Handles timeouts of open statements and of idle sessions. */
void
session_tick(Gateway *g, uint64_t now_us)
{
    GList *next;

    for (GList *l = g->active.head; l != NULL; l = next) {
        next = l->next;
        job_tick(l->data, now_us);
    }
    for (GList *l = g->sessions.head; l != NULL; l = next) {
        Session *s = l->data;
        next = l->next;
        if (!s->job.open) {
            idle_tick(s, now_us);
        }
    }
}
