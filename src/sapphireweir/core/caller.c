#include <sodium.h>
#include <string.h>

#include "core/call_defs.h"
#include "core/schema.h"

/* Handles caller requests: admission by the rate limiter, routing to a
 * member, execution by its pool owner, and retries.  Each request gets
 * exactly one response, unless its caller closes the connection. */

enum {
    kMaxAttempts = 5, /* no retry after an unknown outcome beyond these */
    kReadAttemptTimeoutUs = 700000,
    kWriteAttemptTimeoutUs = 1800000,
    kParkedRetryUs = 20000, /* until a parked call is routed again */
    kReplyGraceUs = 100000, /* for the reply after the attempt's deadline */
    /* Each request adds a tenth of a retry to the budget, so in the long run
     * budgeted retries can't exceed a tenth of the requests. */
    kRetryBudgetPerRequestMilli = 100,
    kMaxRetryBudgetMilli = 20000,
    kRetryCostMilli = 1000,
    kRoundUpToSecondUs = 999999, /* added before dividing by kSecondUs */
};

static void call_route(EntryCore *e, uint64_t now_us, Call *c);

/* ---- responses ---- */

/* Responds to a request with an RFC 9457 problem.  outcome states whether
 * the request was executed: "not_run", "unknown" or "completed".
 * retry_after_s of zero sends no Retry-After header. */
void
caller_respond_problem(EntryCore *e, uint64_t request_id, uint32_t status,
                       const char *type, const char *outcome,
                       const char *detail, uint32_t retry_after_s)
{
    /* The detail may quote invalid UTF-8 from a caller or a database. */
    char *valid = g_utf8_make_valid(detail == NULL ? "" : detail, -1);
    json_t *body = json_pack("{s:s+, s:i, s:s, s:s}", "type",
                             "urn:sapphireweir:problem:", type, "status",
                             (int)status, "outcome", outcome, "detail", valid);
    char *text = json_dumps(body, JSON_COMPACT);
    CallerResponse response = {
        .status = status,
        .content_type = "application/problem+json",
        .body = text,
        .body_bytes = strlen(text),
        .retry_after_s = retry_after_s,
        .close = e->draining,
    };
    metrics_count(&e->metrics, strcmp(outcome, "unknown") == 0
                                   ? kMetricRefusedUnknown
                                   : kMetricRefusedNotRun);
    e->port.respond(e->port.ctx, request_id, &response);
    free(text);
    json_decref(body);
    g_free(valid);
}

/* Removes a call from the tables of attempts and calls, which frees it. */
static void
call_remove(EntryCore *e, Call *c)
{
    if (c->state == kCallWorking) {
        g_hash_table_remove(e->attempts, &c->frame_id);
    }
    g_hash_table_remove(e->calls, &c->id);
}

/* Responds to a call with a problem and frees it.  The outcome becomes
 * "unknown" if an earlier attempt may have run. */
static void
call_refuse(EntryCore *e, Call *c, uint32_t status, const char *type,
            const char *outcome, const char *detail, uint32_t retry_after_s)
{
    uint64_t id = c->id;
    char *type_copy = g_strdup(type);
    char *detail_copy = g_strdup(detail);
    const char *final_outcome = c->outcome_unknown ? "unknown" : outcome;

    call_remove(e, c);
    caller_respond_problem(e, id, status, type_copy, final_outcome,
                           detail_copy, retry_after_s);
    g_free(type_copy);
    g_free(detail_copy);
}

/* Returns the JSON body of a successful response and sets its length; the
 * caller frees it. */
static char *
response_body(const Call *c, const Sw__WorkReply *r, size_t *length)
{
    GString *out = g_string_new(NULL);
    const char *rows = (const char *)r->rows.data;
    size_t bytes = r->rows.len;

    switch (c->kind) {
    case kCallStatement:
    case kCallRun:
        /* rows is an array with the result of one statement; the response
         * is that result without the brackets. */
        g_string_append_len(out, rows + 1, (gssize)bytes - 2);
        break;
    case kCallTransaction:
        g_string_append(out, "{\"results\":");
        g_string_append_len(out, rows, (gssize)bytes);
        g_string_append_c(out, '}');
        break;
    case kCallOpen:
        g_string_append_printf(out, "{\"transaction\":\"%s\"}",
                               r->transaction_id);
        break;
    case kCallCommit:
    case kCallRollback:
        g_string_append_printf(out, "{\"outcome\":\"%s\"}",
                               c->kind == kCallCommit ? "committed"
                                                      : "rolled_back");
        break;
    }
    *length = out->len;
    return g_string_free(out, FALSE);
}

/* Adds the size of a call and its response to that of its service, which only
 * a price needs. */
static void
observe_bytes(EntryCore *e, const Call *c, const Sw__WorkReply *r)
{
    uint64_t bytes = r->rows.len;

    if (e->config.cross_domain_us_per_kb == 0) {
        return;
    }
    for (guint i = 0; i < c->statements->len; i++) {
        bytes += sw__statement__get_packed_size(
            g_ptr_array_index(c->statements, i));
    }
    router_observe_bytes(e, c->service, bytes);
}

/* Updates the counters for a successful response to a call. */
static void
count_response(EntryCore *e, const Call *c, const Sw__WorkReply *r)
{
    Metrics *m = &e->metrics;
    metrics_count(m, kMetricAnswered);
    if (c->write) {
        metrics_count(m, kMetricWrites);
    }
    else if (c->on_primary) {
        metrics_count(m, kMetricReadsPrimary);
        metrics_count(m, c->primary_reason);
    }
    else {
        metrics_count(m, kMetricReadsReplica);
    }
    if (c->replica_eligible) {
        metrics_count(m, kMetricReadsEligible);
    }
    (void)r;
}

/* Responds to a call with the results of its work and the advanced session
 * token, and frees the call. */
static void
call_respond(EntryCore *e, uint64_t now_us, Call *c, const Sw__WorkReply *r)
{
    uint8_t nonce[kSessionTokenNonceBytes];
    size_t length;
    char *body = response_body(c, r, &length);

    if (r->term != 0) {
        session_advance(&c->session, c->database,
                        (LogPosition){r->term, r->position});
    }
    for (size_t i = 0; i < sizeof(nonce); i += sizeof(uint64_t)) {
        uint64_t random = e->port.random(e->port.ctx);
        memcpy(nonce + i, &random, sizeof(random));
    }
    char *token = session_token_seal(&c->session, e->keys.token, nonce);
    CallerResponse response = {
        .status = 200,
        .content_type = "application/json",
        .body = body,
        .body_bytes = length,
        .session_token = token,
        .close = e->draining,
    };
    count_response(e, c, r);
    observe_bytes(e, c, r);
    metrics_observe(&e->metrics, kHistogramRequestTime,
                    now_us - c->started_us);
    uint64_t id = c->id;
    call_remove(e, c);
    e->port.respond(e->port.ctx, id, &response);
    g_free(token);
    g_free(body);
}

/* ---- sending work ---- */

/* Returns the kind of work to request for a call. */
static Sw__WorkKind
work_kind(const Call *c)
{
    switch (c->kind) {
    case kCallOpen:
        return SW__WORK_KIND__WORK_OPEN;
    case kCallRun:
        return SW__WORK_KIND__WORK_RUN;
    case kCallCommit:
        return SW__WORK_KIND__WORK_COMMIT;
    case kCallRollback:
        return SW__WORK_KIND__WORK_ROLLBACK;
    case kCallStatement:
    case kCallTransaction:
        break;
    }
    return c->write ? SW__WORK_KIND__WORK_WRITE : SW__WORK_KIND__WORK_READ;
}

/* Returns how long one attempt may take. */
static uint64_t
attempt_timeout_us(const Call *c)
{
    return c->write ? kWriteAttemptTimeoutUs : kReadAttemptTimeoutUs;
}

/* Fills in the work request of a call's next attempt.  The request borrows
 * its strings from the call and the catalog. */
static void
fill_work(const Call *c, uint64_t now_us, const DatabaseInfo *d,
          Sw__WorkRequest *r)
{
    LogPosition needed = session_get(&c->session, c->database);

    sw__work_request__init(r);
    r->kind = work_kind(c);
    r->database = c->database;
    r->member = c->member < 0 ? (char *)"" : d->members[c->member].id;
    r->team = c->team;
    r->key_id = c->key_id;
    r->worth = c->priority;
    r->n_statements = c->statements->len;
    r->statements = (Sw__Statement **)c->statements->pdata;
    r->idempotency_key =
        c->idempotency_key == NULL ? (char *)"" : c->idempotency_key;
    r->args_hash = c->args_hash;
    r->min_term = needed.term;
    r->min_position = needed.position;
    r->max_staleness_us = c->max_staleness_us;
    /* The deadline is that of this attempt, so that the pool owner refuses
     * at once a request that it cannot finish in time. */
    r->deadline_us = MIN(c->deadline_us - now_us, attempt_timeout_us(c));
    r->transaction_id =
        c->transaction_id == NULL ? (char *)"" : c->transaction_id;
    r->repeatable = c->repeatable;
    r->open_route = c->open_route;
    r->database_term = c->write ? d->term : 0;
    r->chosen = c->crossing == kCrossingWait;
}

/* Puts a call into state kCallWorking for an attempt that is sent to an
 * instance. */
static void
record_attempt(EntryCore *e, uint64_t now_us, Call *c, const char *to)
{
    c->state = kCallWorking;
    c->frame_id = entry_next_frame_id(e);
    c->attempts++;
    g_free(c->sent_to);
    c->sent_to = g_strdup(to);
    c->attempt_deadline_us =
        MIN(now_us + attempt_timeout_us(c), c->deadline_us) + kReplyGraceUs;
    g_hash_table_insert(e->attempts, &c->frame_id, c);
}

/* Sends the work to an instance.  Returns FALSE if there is no link to the
 * instance, in which case the work was certainly not sent. */
static gboolean
call_send(EntryCore *e, uint64_t now_us, Call *c, const DatabaseInfo *d,
          const char *to)
{
    Sw__WorkRequest r;

    fill_work(c, now_us, d, &r);
    record_attempt(e, now_us, c, to);
    if (strcmp(to, e->config.id) == 0) {
        pool_submit(e, now_us, NULL, c->frame_id, &r);
        return TRUE;
    }
    if (entry_send(e, to, c->frame_id, SW__FRAME__BODY_WORK_REQUEST, &r)) {
        metrics_count(&e->metrics, kMetricRelayed);
        return TRUE;
    }
    g_hash_table_remove(e->attempts, &c->frame_id);
    c->state = kCallParked;
    return FALSE;
}

/* Delays a call until its next routing attempt. */
static void
call_park(Call *c, uint64_t now_us)
{
    c->state = kCallParked;
    c->retry_at_us = now_us + kParkedRetryUs;
}

/* Sets why the last attempt failed.  The arguments may be the call's present
 * last_reason and last_detail. */
static void
set_reason(Call *c, const char *reason, const char *detail)
{
    char *r = g_strdup(reason);
    char *d = g_strdup(detail);
    g_free(c->last_reason);
    g_free(c->last_detail);
    c->last_reason = r;
    c->last_detail = d;
}

/* Sends a request of an interactive transaction to the instance that holds
 * the transaction, which the transaction id "INSTANCE.NUMBER" names. */
static void
route_to_transaction(EntryCore *e, uint64_t now_us, Call *c,
                     const DatabaseInfo *d)
{
    const char *dot = strrchr(c->transaction_id, '.');
    char *owner = dot == NULL ? g_strdup("")
                              : g_strndup(c->transaction_id,
                                          (gsize)(dot - c->transaction_id));
    gboolean sent = FALSE;

    c->member = d->primary;
    if (c->member >= 0 && dot != NULL) {
        sent = call_send(e, now_us, c, d, owner);
    }
    g_free(owner);
    if (!sent) {
        call_refuse(e, c, 409, "no-transaction",
                    c->kind == kCallRun ? "not_run" : "unknown",
                    "the instance that holds the transaction is not there", 0);
    }
}

/* Refuses a call whose only members are in evacuated failure domains.  Logs at
 * most one of these calls in a second. */
static void
refuse_evacuated(EntryCore *e, uint64_t now_us, Call *c)
{
    if (e->evacuation_logged_us == 0 ||
        now_us - e->evacuation_logged_us >= kSecondUs) {
        e->evacuation_logged_us = now_us;
        g_message("%s: work is rejected as not run, failure domain is "
                  "evacuated",
                  c->database);
    }
    metrics_count(&e->metrics, kMetricRefusedEvacuated);
    call_refuse(e, c, 503, "evacuated", "not_run",
                "failure domain is evacuated", 1);
}

/* Chooses a member for a call and sends the work to the owner of the
 * member's pool, or to a successor if there is no link to the owner.  Parks
 * the call if no member or no owner is available. */
static void
call_route(EntryCore *e, uint64_t now_us, Call *c)
{
    const DatabaseInfo *d = catalog_database(e->catalog, c->database);
    const InstanceInfo *owners[kOwnerRanksMax];

    if (d == NULL) {
        call_refuse(e, c, 503, "route", "not_run", "no such database", 1);
        return;
    }
    if (c->transaction_id != NULL) {
        route_to_transaction(e, now_us, c, d);
        return;
    }
    RouteChoice choice = router_choose(e, now_us, d, c->service, c->write,
                                       c->max_staleness_us, c->tried_members);
    c->replica_eligible = choice.eligible;
    c->crossing = choice.crossing;
    c->kept_by_price =
        choice.member >= 0 && choice.reason == kMetricPrimaryPrice;
    if (choice.evacuated && choice.member < 0) {
        refuse_evacuated(e, now_us, c);
        return;
    }
    if (choice.member < 0) {
        set_reason(c, "no-primary", "the primary is being replaced");
        call_park(c, now_us);
        return;
    }
    c->member = choice.member;
    c->on_primary = choice.member == d->primary;
    if (c->on_primary && !(choice.eligible && c->tried_members != 0)) {
        c->primary_reason = choice.reason;
    }
    uint32_t count = router_owners(e, d, c->member, owners);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t rank = (c->owner_rank + i) % count;
        if (call_send(e, now_us, c, d, owners[rank]->id)) {
            router_count_crossed(e, d, choice.member, choice.crossing);
            return;
        }
    }
    c->tried_members |= 1u << c->member;
    set_reason(c, "no-owner", "no instance near the member can be reached");
    call_park(c, now_us);
}

/* ---- requests ---- */

/* Handles a caller's request: parses it and requests its admission, or routes
 * it at once if it needs no rate token. */
void
caller_request(EntryCore *e, uint64_t now_us, const CallerRequest *r)
{
    CallRefusal refusal;
    Call *c = call_parse(e, now_us, r, &refusal);

    metrics_count(&e->metrics, kMetricRequests);
    if (c == NULL) {
        if (refusal.status == 400 || refusal.status == 404) {
            metrics_count(&e->metrics, kMetricRefusedInput);
        }
        caller_respond_problem(e, r->id, refusal.status, refusal.type,
                               "not_run", refusal.detail,
                               refusal.status == 503 ? 1 : 0);
        g_free(refusal.detail);
        return;
    }
    e->retry_budget_milli =
        MIN(e->retry_budget_milli + kRetryBudgetPerRequestMilli,
            kMaxRetryBudgetMilli);
    g_hash_table_insert(e->calls, &c->id, c);
    if (e->port.caller_team != NULL) {
        e->port.caller_team(e->port.ctx, c->id,
                            c->open_route ? NULL : c->team);
    }
    /* Ending a transaction needs no rate token. */
    gboolean ends_transaction =
        c->kind == kCallCommit || c->kind == kCallRollback;
    if (c->open_route || ends_transaction) {
        call_route(e, now_us, c);
        return;
    }
    c->state = kCallAdmission;
    limiter_admit(e, now_us, c->team, c->id);
}

/* Handles the limiter's decision on a call: routes an admitted call, refuses
 * any other.  ctx is the EntryCore. */
void
caller_admission_result(void *ctx, uint64_t now_us, uint64_t call,
                        gboolean admitted, uint64_t retry_after_us)
{
    EntryCore *e = ctx;
    Call *c = g_hash_table_lookup(e->calls, &call);

    if (c == NULL) {
        return;
    }
    if (admitted) {
        metrics_count(&e->metrics, kMetricAdmitted);
        call_route(e, now_us, c);
        return;
    }
    metrics_count(&e->metrics, kMetricRefusedRate);
    uint64_t wait_us = MIN(retry_after_us, (uint64_t)60 * kSecondUs);
    call_refuse(e, c, 429, "rate", "not_run",
                "the team's rate and burst are used up",
                (uint32_t)((wait_us + kRoundUpToSecondUs) / kSecondUs));
}

/* Cancels the current attempt of a call at its pool owner; see
 * pool_cancel. */
static void
cancel_work(EntryCore *e, uint64_t now_us, const Call *c)
{
    Sw__CancelWork cancel = SW__CANCEL_WORK__INIT;

    /* A reply to the cancelled attempt must be ignored. */
    g_hash_table_remove(e->attempts, &c->frame_id);
    if (strcmp(c->sent_to, e->config.id) == 0) {
        pool_cancel(e, now_us, NULL, c->frame_id);
        return;
    }
    entry_send(e, c->sent_to, c->frame_id, SW__FRAME__BODY_CANCEL_WORK,
               &cancel);
}

/* Drops a request whose caller closed the connection.  A read in progress is
 * cancelled; a write continues. */
void
caller_abandon(EntryCore *e, uint64_t now_us, uint64_t request_id)
{
    Call *c = g_hash_table_lookup(e->calls, &request_id);
    if (c == NULL) {
        return;
    }
    if (c->state == kCallAdmission) {
        limiter_cancel(e, c->id);
    }
    if (c->state == kCallWorking && !c->write) {
        if (strcmp(c->sent_to, e->config.id) == 0) {
            pool_cancel(e, now_us, NULL, c->frame_id);
        }
        else {
            Sw__CancelWork cancel = SW__CANCEL_WORK__INIT;
            entry_send(e, c->sent_to, c->frame_id, SW__FRAME__BODY_CANCEL_WORK,
                       &cancel);
        }
    }
    call_remove(e, c);
}

/* ---- replies and retries ---- */

/* Returns whether a call whose outcome is unknown may be sent again. */
static gboolean
safe_to_repeat(const Call *c)
{
    return !c->write || c->repeatable || c->idempotency_key != NULL;
}

/* Takes one retry from the budget; returns FALSE if the budget is empty. */
static gboolean
take_retry_budget(EntryCore *e)
{
    if (e->retry_budget_milli < kRetryCostMilli) {
        metrics_count(&e->metrics, kMetricRetryBudgetEmpty);
        return FALSE;
    }
    e->retry_budget_milli -= kRetryCostMilli;
    return TRUE;
}

/* Refuses a call that certainly did not run, for the reason of a reply. */
static void
refuse_not_run(EntryCore *e, uint64_t now_us, Call *c, const Sw__WorkReply *r)
{
    if (strcmp(r->reason, "evacuated") == 0) {
        refuse_evacuated(e, now_us, c);
        return;
    }
    if (strcmp(r->reason, "key") == 0) {
        metrics_count(&e->metrics, kMetricRefusedKey);
        call_refuse(e, c, 401, "key", "not_run", r->detail, 0);
        return;
    }
    if (strcmp(r->reason, "no-transaction") == 0 ||
        strcmp(r->reason, "busy") == 0) {
        call_refuse(e, c, 409, r->reason, "not_run", r->detail, 0);
        return;
    }
    metrics_count(&e->metrics, kMetricRefusedRoute);
    call_refuse(e, c, 503, r->reason, "not_run", r->detail, 1);
}

/* Returns whether the reason of a reply is in a NULL-terminated list. */
static gboolean
reason_is(const Sw__WorkReply *r, const char *const *reasons)
{
    return g_strv_contains(reasons, r->reason);
}

/* Sets the counter for a read that the primary will serve because a replica
 * has refused it. */
static void
record_primary_reason(Call *c, const Sw__WorkReply *r)
{
    if (strcmp(r->reason, "behind") == 0) {
        c->primary_reason = kMetricPrimaryToken;
    }
    else if (strcmp(r->reason, "stale") == 0) {
        c->primary_reason = kMetricPrimaryStale;
    }
    else {
        c->primary_reason = kMetricPrimaryNoReplica;
    }
}

/* Returns whether there is a replica whose bit isn't set in tried_members. */
static gboolean
replica_left(EntryCore *e, uint64_t now_us, const Call *c)
{
    const DatabaseInfo *d = catalog_database(e->catalog, c->database);
    if (d == NULL) {
        return FALSE;
    }
    /* The price does not count for a call that was refused already. */
    uint32_t tried =
        c->tried_members | (d->primary >= 0 ? 1u << d->primary : 0);
    RouteChoice choice = router_choose(e, now_us, d, c->service, c->write,
                                       c->max_staleness_us, tried);
    return choice.member >= 0 && choice.member != d->primary;
}

/* Handles the reply that the work did not run: routes the call to another
 * member, parks it until the primary can serve it, or refuses it.  A read that
 * a replica refused for another reason than those in unfit takes a retry from
 * the budget. */
static void
on_not_run(EntryCore *e, uint64_t now_us, Call *c, const Sw__WorkReply *r)
{
    /* No other member could serve the call either. */
    static const char *const final[] = {"key", "no-transaction", "busy", NULL};
    static const char *const overload[] = {"overload", "deadline", NULL};
    /* The replica can't serve the read, but another member may. */
    static const char *const unfit[] = {
        "behind",      "stale",     "leaving", "unknown-member",
        "unreachable", "evacuated", NULL};
    /* The primary can't serve the call now, but may be able to later. */
    static const char *const waiting[] = {"not-primary", "unreachable",
                                          "connection-lost", NULL};

    set_reason(c, r->reason, r->detail);
    if (c->transaction_id != NULL || reason_is(r, final) ||
        now_us >= c->deadline_us) {
        refuse_not_run(e, now_us, c, r);
        return;
    }
    metrics_count(&e->metrics, kMetricRetries);
    if (!c->on_primary) {
        /* This call doesn't try the same replica again. */
        c->tried_members |= 1u << c->member;
        record_primary_reason(c, r);
        if (strcmp(r->reason, "unreachable") == 0) {
            router_avoid(e, now_us, c->database, c->member);
        }
        /* Overload of the replicas must not spread to the primary: without
         * another replica, an overload is reported to the caller. */
        gboolean shed = reason_is(r, overload) && !replica_left(e, now_us, c);
        if (!shed && (reason_is(r, unfit) || take_retry_budget(e))) {
            call_route(e, now_us, c);
            return;
        }
        refuse_not_run(e, now_us, c, r);
        return;
    }
    if (c->kept_by_price) {
        /* The price must not make a call fail that a replica can serve. */
        c->tried_members |= 1u << c->member;
        call_route(e, now_us, c);
        return;
    }
    if (reason_is(r, waiting)) {
        c->owner_rank++;
        call_park(c, now_us);
        return;
    }
    refuse_not_run(e, now_us, c, r);
}

/* Handles an attempt with unknown outcome: retries the call if repeating it
 * is safe and the limits permit, otherwise refuses it.  A repeat under an
 * idempotency key returns the result of the first execution, if there was
 * one. */
static void
on_unknown(EntryCore *e, uint64_t now_us, Call *c, const char *reason,
           const char *detail)
{
    set_reason(c, reason, detail);
    c->outcome_unknown = c->outcome_unknown || c->write;
    if (c->transaction_id == NULL && safe_to_repeat(c) &&
        c->attempts < kMaxAttempts && now_us < c->deadline_us &&
        take_retry_budget(e)) {
        metrics_count(&e->metrics, kMetricRetries);
        c->owner_rank++;
        if (!c->on_primary && c->member >= 0) {
            c->tried_members |= 1u << c->member;
        }
        call_park(c, now_us);
        return;
    }
    call_refuse(e, c, 504, reason, "unknown", detail, 0);
}

/* Handles the reply to a work request that this instance sent. */
void
caller_work_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
                  const Sw__WorkReply *r)
{
    Call *c = g_hash_table_lookup(e->attempts, &frame_id);
    if (c == NULL) {
        return; /* the attempt has timed out or was cancelled */
    }
    g_hash_table_remove(e->attempts, &frame_id);
    c->state = kCallParked;
    switch (r->status) {
    case SW__WORK_STATUS__WORK_DONE:
        call_respond(e, now_us, c, r);
        break;
    case SW__WORK_STATUS__WORK_NOT_RUN:
        on_not_run(e, now_us, c, r);
        break;
    case SW__WORK_STATUS__WORK_FAILED:
        call_refuse(
            e, c, strcmp(r->reason, "idempotency-key-reused") == 0 ? 409 : 422,
            r->reason, "not_run", r->detail, 0);
        break;
    default:
        on_unknown(e, now_us, c, r->reason, r->detail);
        break;
    }
}

/* Handles a lost link to a peer: the outcome of the work sent to the peer is
 * unknown. */
void
caller_peer_down(EntryCore *e, uint64_t now_us, const char *peer)
{
    GHashTableIter it;
    void *value;
    GPtrArray *lost = g_ptr_array_new();

    g_hash_table_iter_init(&it, e->attempts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (strcmp(((Call *)value)->sent_to, peer) == 0) {
            g_ptr_array_add(lost, value);
        }
    }
    for (guint i = 0; i < lost->len; i++) {
        Call *c = g_ptr_array_index(lost, i);
        g_hash_table_remove(e->attempts, &c->frame_id);
        c->state = kCallParked;
        on_unknown(e, now_us, c, "peer-lost",
                   "the link to the pool owner broke");
    }
    g_ptr_array_unref(lost);
}

/* ---- time ---- */

/* Handles a call that has passed the deadline of its current attempt or its
 * own. */
static void
call_timed_out(EntryCore *e, uint64_t now_us, Call *c)
{
    if (c->state == kCallWorking) {
        cancel_work(e, now_us, c);
        c->state = kCallParked;
        on_unknown(e, now_us, c, "timeout",
                   "no answer came before the deadline");
        return;
    }
    if (c->state == kCallAdmission) {
        limiter_cancel(e, c->id);
    }
    metrics_count(&e->metrics, kMetricRefusedRoute);
    call_refuse(e, c, 503, c->last_reason == NULL ? "timeout" : c->last_reason,
                "not_run", c->last_detail, 1);
}

/* Checks a call's deadlines, and routes a parked call whose retry is due. */
static void
call_tick(EntryCore *e, uint64_t now_us, Call *c)
{
    switch (c->state) {
    case kCallWorking:
        if (now_us >= c->attempt_deadline_us) {
            call_timed_out(e, now_us, c);
        }
        break;
    case kCallParked:
        if (now_us >= c->deadline_us) {
            call_timed_out(e, now_us, c);
        }
        else if (now_us >= c->retry_at_us) {
            call_route(e, now_us, c);
        }
        break;
    case kCallAdmission:
        if (now_us >= c->deadline_us) {
            call_timed_out(e, now_us, c);
        }
        break;
    }
}

/* Checks the deadlines of all calls and routes the parked ones whose retry is
 * due. */
void
caller_tick(EntryCore *e, uint64_t now_us)
{
    GList *ids = g_hash_table_get_values(e->calls);
    GArray *open = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (GList *l = ids; l != NULL; l = l->next) {
        g_array_append_val(open, ((Call *)l->data)->id);
    }
    g_list_free(ids);
    for (guint i = 0; i < open->len; i++) {
        Call *c =
            g_hash_table_lookup(e->calls, &g_array_index(open, uint64_t, i));
        if (c != NULL) {
            call_tick(e, now_us, c);
        }
    }
    g_array_unref(open);
}

/* Schedules all parked calls for the next tick.  Must be called after newer
 * state was applied, since a member may now be available to them. */
void
caller_state_applied(EntryCore *e, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Call *c = value;
        if (c->state == kCallParked) {
            c->retry_at_us = now_us;
        }
    }
}
