#include <string.h>

#include "core/pool_defs.h"

/* The connection pool of one member of a database group, at the entry instance
 * that owns the pool: its connections, slots (the limit on concurrent jobs)
 * and a fair queue of jobs.  A connection runs one transaction at a time and
 * serves another only after that one has ended. */

/* Removes a connection from its pool, which frees it. */
static void
connection_remove(PoolConnection *c)
{
    Pool *p = c->pool;
    if (c->state == kConnectionConnecting && !c->monitor) {
        p->connecting_count--;
    }
    g_hash_table_remove(p->core->connections, &c->id);
    if (p->monitor == c) {
        p->monitor = NULL;
        g_free(c);
        return;
    }
    g_ptr_array_remove(p->connections, c);
}

/* Returns the database of the pool, or NULL if it was removed. */
const DatabaseInfo *
pool_database(Pool *p)
{
    return catalog_database(p->core->catalog, p->database);
}

/* Returns whether the replicated state names this member as the primary, and
 * the primary isn't being replaced. */
gboolean
pool_is_primary(Pool *p)
{
    const DatabaseInfo *d = pool_database(p);
    return d != NULL && d->stable && d->primary >= 0 &&
           strcmp(d->members[d->primary].id, p->member) == 0;
}

/* Applies a change of the member's address: closes all connections to the old
 * address, busy ones after their job or transaction. */
static void
pool_update_address(Pool *p, uint64_t now_us)
{
    const DatabaseInfo *d = pool_database(p);
    int32_t i = d == NULL ? -1 : catalog_member_index(d, p->member);
    const char *address = i < 0 ? NULL : d->members[i].address;

    if (g_strcmp0(address, p->address) == 0) {
        return;
    }
    g_free(p->address);
    p->address = g_strdup(address);
    for (guint k = p->connections->len; k > 0; k--) {
        PoolConnection *c = g_ptr_array_index(p->connections, k - 1);
        c->closing = TRUE;
        if (c->state != kConnectionBusy) {
            pool_connection_drop(c, now_us);
        }
    }
    if (p->monitor != NULL) {
        monitor_lost(p, now_us);
    }
}

/* Returns the pool of a member, creating it if necessary. */
Pool *
pool_get(EntryCore *e, uint64_t now_us, const char *database,
         const char *member)
{
    char *name = g_strdup_printf("%s/%s", database, member);
    Pool *p = g_hash_table_lookup(e->pools, name);

    if (p != NULL) {
        g_free(name);
        return p;
    }
    p = g_new0(Pool, 1);
    p->core = e;
    p->name = name;
    p->database = g_strdup(database);
    p->member = g_strdup(member);
    p->queue = fair_queue_new(kMaxTeamQueue);
    p->connections = g_ptr_array_new_with_free_func(g_free);
    p->transactions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
    p->awaiting_majority = g_ptr_array_new();
    p->service_us = kInitialServiceUs;
    g_queue_init(&p->commands);
    g_queue_init(&p->primary_samples);
    g_hash_table_insert(e->pools, p->name, p);
    pool_update_address(p, now_us);
    return p;
}

/* Frees all jobs and transactions of a pool. */
static void
free_jobs(Pool *p)
{
    Job *queued;
    while ((queued = fair_queue_pop(p->queue)) != NULL) {
        job_free(queued);
    }
    for (guint i = 0; i < p->awaiting_majority->len; i++) {
        job_free(g_ptr_array_index(p->awaiting_majority, i));
    }
    for (guint i = 0; i < p->connections->len; i++) {
        PoolConnection *c = g_ptr_array_index(p->connections, i);
        if (c->job != NULL) {
            job_free(c->job);
        }
        if (c->transaction != NULL) {
            pool_transaction_free(c->transaction);
        }
    }
}

/* Frees a pool; its jobs get no reply. */
void
pool_free(void *pool)
{
    Pool *p = pool;
    free_jobs(p);
    g_free(p->monitor);
    monitor_clear(p);
    fair_queue_free(p->queue);
    g_ptr_array_unref(p->connections);
    g_hash_table_destroy(p->transactions);
    g_ptr_array_unref(p->awaiting_majority);
    g_free(p->status.stream_last_receipt);
    g_free(p->address);
    g_free(p->database);
    g_free(p->member);
    g_free(p->name);
    g_free(p);
}

/* ---- connections ---- */

/* Returns the maximum number of a pool's connections for jobs.  The database's
 * connection limit is shared equally among its members.  A pool owner uses at
 * most half of a member's share, so that it and its successor together stay
 * within the share, and reserves one connection for the monitor. */
uint32_t
pool_connection_budget(uint32_t connections, uint32_t members)
{
    uint32_t half = connections / members / 2;
    return half > 2 ? half - 1 : 1;
}

/* Returns the same for a pool of a database. */
static uint32_t
connection_budget(const DatabaseInfo *d)
{
    return pool_connection_budget(d->connections, d->member_count);
}

/* Starts to open a connection, which the pool owns; pool_connected receives
 * the outcome.  Returns NULL if the member's address is unknown. */
PoolConnection *
pool_connection_open(Pool *p, uint64_t now_us, gboolean monitor)
{
    EntryCore *e = p->core;
    if (p->address == NULL || p->address[0] == '\0') {
        return NULL;
    }
    PoolConnection *c = g_new0(PoolConnection, 1);
    c->id = ++e->last_connection_id;
    c->pool = p;
    c->monitor = monitor;
    c->opened_us = now_us;
    c->deadline_us = now_us + kConnectTimeoutUs;
    g_hash_table_insert(e->connections, &c->id, c);
    if (!monitor) {
        g_ptr_array_add(p->connections, c);
        p->connecting_count++;
    }
    metrics_count(&e->metrics, kMetricPoolConnects);
    e->port.backend_connect(e->port.ctx, c->id, p->address, p->database);
    return c;
}

/* Closes and frees a connection.  Frees its interactive transaction, which the
 * backend server rolls back, and reports the loss to its job. */
void
pool_connection_drop(PoolConnection *c, uint64_t now_us)
{
    EntryCore *e = c->pool->core;
    Job *job = c->job;
    PoolTransaction *t = c->transaction;

    e->port.backend_close(e->port.ctx, c->id);
    c->job = NULL;
    c->transaction = NULL;
    connection_remove(c);
    if (t != NULL) {
        slot_hold_record(&t->pool->hold, now_us - t->opened_us);
        pool_transaction_free(t);
    }
    if (job != NULL) {
        job->connection = NULL;
        job_connection_lost(job, now_us, kLossClosed);
    }
}

/* Makes a connection idle after its transaction has ended, or closes it if its
 * closing flag is set. */
void
pool_connection_release(PoolConnection *c, uint64_t now_us)
{
    c->job = NULL;
    c->transaction = NULL;
    c->state = kConnectionIdle;
    if (c->closing) {
        pool_connection_drop(c, now_us);
    }
}

/* Sends one query.  If no result arrives within timeout_us, the connection is
 * dropped. */
void
pool_send(PoolConnection *c, uint64_t now_us, uint64_t timeout_us,
          const char *sql, size_t count, const char *const *parameters)
{
    EntryCore *e = c->pool->core;
    c->in_query = TRUE;
    c->query_sent_us = now_us;
    c->deadline_us = now_us + timeout_us;
    e->port.backend_query(e->port.ctx, c->id, sql, count, parameters);
}

/* Returns the idle connection that received a response last, or NULL if none
 * is idle. */
static PoolConnection *
idle_connection(Pool *p)
{
    PoolConnection *best = NULL;
    for (guint i = 0; i < p->connections->len; i++) {
        PoolConnection *c = g_ptr_array_index(p->connections, i);
        if (c->state == kConnectionIdle && !c->closing &&
            (best == NULL || c->last_response_us > best->last_response_us)) {
            best = c;
        }
    }
    return best;
}

/* Returns the number of connections that execute a job or hold an open
 * transaction. */
static uint32_t
busy_count(const Pool *p)
{
    uint32_t busy = 0;
    for (guint i = 0; i < p->connections->len; i++) {
        PoolConnection *c = g_ptr_array_index(p->connections, i);
        busy += c->state == kConnectionBusy ? 1 : 0;
    }
    return busy;
}

/* Opens connections in advance: one per slot while the pool has work,
 * otherwise one. */
static void
open_spare_connections(Pool *p, uint64_t now_us, const DatabaseInfo *d)
{
    gboolean active =
        p->last_work_us != 0 && now_us - p->last_work_us < kPoolIdleTimeoutUs;
    uint32_t wanted = active ? MIN(d->slots, connection_budget(d)) : 1;

    while (p->connections->len < wanted && now_us >= p->next_connect_us) {
        if (pool_connection_open(p, now_us, FALSE) == NULL) {
            return;
        }
    }
}

/* ---- permission and admission ---- */

/* Returns whether a team's work may start or continue: the control lease is
 * valid or within the team's grace time, and the API key that the work came
 * with is valid.  Always TRUE for work of an open route. */
gboolean
pool_work_allowed(Pool *p, uint64_t now_us, const char *team,
                  const char *key_id, gboolean open_route)
{
    EntryCore *e = p->core;
    if (open_route) {
        return TRUE;
    }
    const TeamInfo *t = catalog_team(e->catalog, team);
    const KeyInfo *k = catalog_key(e->catalog, key_id);
    return t != NULL && k != NULL &&
           lease_valid_with_grace(e, now_us, t->parameters.lease_grace_us) &&
           strcmp(k->team, team) == 0 &&
           catalog_key_valid(k, entry_wall_ms(e, now_us));
}

/* Returns whether a job would probably miss its deadline.  For
 * fair_queue_find: item is a Job, ctx points to the earliest time in
 * microseconds at which it can start. */
static gboolean
job_is_late(const void *item, const void *ctx)
{
    const Job *j = item;
    const uint64_t *start_us = ctx;
    return *start_us + j->pool->service_us >= j->deadline_us;
}

/* Returns whether a job may start now; otherwise finishes it with a
 * refusal. */
static gboolean
job_may_run(Job *j, uint64_t now_us)
{
    Sw__WorkRequest *r = j->request;
    if (job_is_late(j, &now_us)) {
        metrics_count(&j->pool->core->metrics, kMetricRefusedQueue);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "deadline",
                   "it could not end before its deadline any more");
        return FALSE;
    }
    if (!pool_work_allowed(j->pool, now_us, r->team, r->key_id,
                           r->open_route)) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "key",
                   "the key was withdrawn or the control lease ran out");
        return FALSE;
    }
    return TRUE;
}

/* Returns what new work may do at the pool's member, in view of the evacuated
 * failure domains.  d is NULL if the database was removed. */
static DomainAccess
pool_access(const Pool *p, uint64_t now_us, const DatabaseInfo *d)
{
    int32_t i = d == NULL ? -1 : catalog_member_index(d, p->member);
    return i < 0 ? kDomainServed : router_domain_access(d, i, now_us);
}

/* Starts queued jobs while there are free slots and idle connections.  Opens
 * a connection if none is idle. */
void
pool_dispatch(Pool *p, uint64_t now_us)
{
    const DatabaseInfo *d = pool_database(p);
    if (d == NULL || pool_access(p, now_us, d) != kDomainServed) {
        return;
    }
    while (fair_queue_length(p->queue) > 0 && busy_count(p) < d->slots) {
        PoolConnection *c = idle_connection(p);
        if (c == NULL) {
            if (p->connecting_count == 0 && now_us >= p->next_connect_us &&
                p->connections->len < connection_budget(d)) {
                pool_connection_open(p, now_us, FALSE);
            }
            return;
        }
        Job *j = fair_queue_pop(p->queue);
        if (job_may_run(j, now_us)) {
            job_start(j, now_us, c);
        }
    }
}

/* Sends the reply that a work request did not run. */
static void
refuse(EntryCore *e, uint64_t now_us, const char *origin, uint64_t frame_id,
       const Sw__WorkRequest *r, const char *reason, const char *detail)
{
    Sw__WorkReply reply = SW__WORK_REPLY__INIT;
    reply.status = SW__WORK_STATUS__WORK_NOT_RUN;
    reply.reason = (char *)reason;
    reply.detail = (char *)detail;
    reply.chosen = r->chosen;
    entry_work_reply(e, now_us, origin, frame_id, &reply);
}

/* Records the lowest staleness limit of recent reads, which determines how
 * often the monitor queries the primary's position. */
static void
record_staleness_demand(Pool *p, uint64_t now_us, uint64_t staleness_us)
{
    gboolean stopped = now_us - p->last_stale_read_us > kStalenessDemandUs;
    if (stopped || staleness_us < p->min_staleness_us ||
        now_us >= p->min_staleness_until_us) {
        p->min_staleness_us = staleness_us;
        p->min_staleness_until_us = now_us + kStalenessDemandUs;
        p->next_primary_sample_us =
            MIN(p->next_primary_sample_us, now_us + kMillisecondUs);
    }
    p->last_stale_read_us = now_us;
}

/* Returns the reason of a refusal due to an evacuation.  The origin waits for
 * the next primary if the reason is "not-primary". */
static const char *
access_reason(DomainAccess access)
{
    return access == kDomainWait ? "not-primary" : "evacuated";
}

/* Returns the reason of the refusal if the member can't serve a work request
 * now, or NULL if it can. */
static const char *
unfit_reason(Pool *p, uint64_t now_us, const Sw__WorkRequest *r)
{
    const DatabaseInfo *d = pool_database(p);
    int32_t i = d == NULL ? -1 : catalog_member_index(d, p->member);
    gboolean read = r->kind == SW__WORK_KIND__WORK_READ;

    if (i < 0 || d->members[i].address == NULL) {
        return "unknown-member";
    }
    if (!d->members[i].usable) {
        return "leaving";
    }
    DomainAccess access = pool_access(p, now_us, d);
    if (access != kDomainServed) {
        return access_reason(access);
    }
    if (p->unreachable_since_us != 0 &&
        now_us - p->unreachable_since_us > kQueryTimeoutUs) {
        return "unreachable";
    }
    if (!read && (!pool_is_primary(p) ||
                  (r->database_term != 0 && r->database_term != d->term))) {
        return "not-primary";
    }
    if (read && i != d->primary && r->max_staleness_us > 0) {
        record_staleness_demand(p, now_us, r->max_staleness_us);
    }
    if (read && i != d->primary &&
        (p->data_as_of_us == 0 ||
         now_us - p->data_as_of_us > r->max_staleness_us)) {
        return "stale";
    }
    if (read && i == d->primary && !d->stable) {
        return "not-primary";
    }
    return NULL;
}

/* Returns after how long a slot is expected for a request, behind queued_us of
 * work and beside the interactive transactions. */
static uint64_t
expected_wait_us(Pool *p, uint64_t now_us, uint32_t slots, uint64_t queued_us)
{
    GHashTableIter it;
    void *value;

    if (g_hash_table_size(p->transactions) == 0) {
        return queued_us / MAX(slots, 1);
    }
    GArray *left_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_iter_init(&it, p->transactions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PoolTransaction *t = value;
        uint64_t end_us = t->job == NULL
                              ? MIN(t->idle_deadline_us, t->end_deadline_us)
                              : t->end_deadline_us;
        uint64_t each_us = slot_hold_left_us(&p->hold, now_us - t->opened_us,
                                             MAX(end_us, now_us) - now_us);
        g_array_append_val(left_us, each_us);
    }
    uint64_t wait_us = slot_wait_us(left_us, slots, queued_us);
    g_array_unref(left_us);
    return wait_us;
}

/* Returns whether a request can probably be completed before its deadline,
 * after the queued jobs that would be served before it. */
static gboolean
deadline_can_be_met(Pool *p, uint64_t now_us, const Sw__WorkRequest *r,
                    uint32_t weight)
{
    const DatabaseInfo *d = pool_database(p);
    uint64_t wait_us = expected_wait_us(
        p, now_us, d->slots,
        fair_queue_wait_us(p->queue, r->team, weight, r->worth));
    return wait_us + p->service_us < r->deadline_us;
}

/* Starts a request of an interactive transaction on the transaction's
 * connection, or refuses it. */
static void
transaction_submit(Pool *p, uint64_t now_us, Job *j)
{
    PoolTransaction *t =
        g_hash_table_lookup(p->transactions, j->request->transaction_id);
    if (t == NULL && g_hash_table_contains(p->core->evacuated_transactions,
                                           j->request->transaction_id)) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "evacuated",
                   "the transaction was rolled back, its failure domain is "
                   "evacuated");
        return;
    }
    if (t == NULL || t->connection == NULL ||
        strcmp(t->team, j->request->team) != 0) {
        gboolean run = j->request->kind == SW__WORK_KIND__WORK_RUN;
        job_finish(j, now_us,
                   run ? SW__WORK_STATUS__WORK_NOT_RUN
                       : SW__WORK_STATUS__WORK_UNKNOWN,
                   "no-transaction",
                   "there is no such transaction here, or it has ended");
        return;
    }
    if (t->job != NULL) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "busy",
                   "the transaction is running another request");
        return;
    }
    if (!pool_work_allowed(p, now_us, t->team, j->request->key_id, FALSE)) {
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "key",
                   "the key was withdrawn or the control lease ran out");
        pool_transaction_end(t, now_us);
        return;
    }
    t->job = j;
    j->transaction = t;
    job_start(j, now_us, t->connection);
}

/* Handles a work request for a member whose pool this instance owns or
 * serves as a successor: queues it, or refuses it at once if it can't be
 * served now or before its deadline.  origin is the instance to reply to, NULL
 * for this one. */
void
pool_submit(EntryCore *e, uint64_t now_us, const char *origin,
            uint64_t frame_id, const Sw__WorkRequest *r)
{
    Pool *p = pool_get(e, now_us, r->database, r->member);
    gboolean in_transaction = r->kind == SW__WORK_KIND__WORK_RUN ||
                              r->kind == SW__WORK_KIND__WORK_COMMIT ||
                              r->kind == SW__WORK_KIND__WORK_ROLLBACK;
    p->last_work_us = now_us;
    if (in_transaction) {
        transaction_submit(p, now_us, job_new(p, now_us, origin, frame_id, r));
        return;
    }
    const char *unfit = unfit_reason(p, now_us, r);
    if (unfit != NULL) {
        refuse(e, now_us, origin, frame_id, r, unfit,
               "this member cannot serve it now");
        return;
    }
    const TeamInfo *t = catalog_team(e->catalog, r->team);
    uint32_t weight = t == NULL ? 1 : t->parameters.weight;
    if (!deadline_can_be_met(p, now_us, r, weight)) {
        metrics_count(&e->metrics, kMetricRefusedQueue);
        refuse(e, now_us, origin, frame_id, r, "overload",
               "the deadline cannot be met");
        return;
    }
    Job *j = job_new(p, now_us, origin, frame_id, r);
    if (!fair_queue_push(p->queue, r->team, weight, r->worth, p->service_us,
                         j)) {
        metrics_count(&e->metrics, kMetricRefusedQueue);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "overload",
                   "the team's queue is full");
        return;
    }
    pool_dispatch(p, now_us);
}

/* ---- interactive transactions ---- */

/* Frees a transaction and removes it from its pool.  The caller must clear
 * PoolConnection.transaction. */
void
pool_transaction_free(PoolTransaction *t)
{
    g_hash_table_remove(t->pool->transactions, t->id);
    if (t->job != NULL) {
        t->job->transaction = NULL;
    }
    g_free(t->id);
    g_free(t->team);
    g_free(t->key_id);
    g_free(t);
}

/* Aborts a transaction that has no request running.  Closing its connection
 * makes the backend server roll it back. */
void
pool_transaction_end(PoolTransaction *t, uint64_t now_us)
{
    PoolConnection *c = t->connection;
    slot_hold_record(&t->pool->hold, now_us - t->opened_us);
    pool_transaction_free(t);
    if (c != NULL) {
        c->transaction = NULL;
        pool_connection_drop(c, now_us);
    }
}

/* Aborts the transactions without a running request that have passed a
 * deadline, or whose API key or control lease is no longer valid. */
static void
transactions_tick(Pool *p, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    GPtrArray *expired = g_ptr_array_new();

    g_hash_table_iter_init(&it, p->transactions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        PoolTransaction *t = value;
        gboolean late = now_us >= t->end_deadline_us ||
                        (t->job == NULL && now_us >= t->idle_deadline_us);
        if (t->job == NULL && (late || !pool_work_allowed(p, now_us, t->team,
                                                          t->key_id, FALSE))) {
            g_ptr_array_add(expired, t);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        pool_transaction_end(g_ptr_array_index(expired, i), now_us);
    }
    g_ptr_array_unref(expired);
}

/* ---- evacuation ---- */

/* Rolls back the transactions without a running request because their failure
 * domain is evacuated. */
static void
transactions_evacuate(Pool *p, uint64_t now_us)
{
    GList *open = g_hash_table_get_values(p->transactions);

    for (GList *l = open; l != NULL; l = l->next) {
        PoolTransaction *t = l->data;
        if (t->job == NULL) {
            uint64_t *at_us = g_new(uint64_t, 1);
            *at_us = now_us;
            g_hash_table_replace(p->core->evacuated_transactions,
                                 g_strdup(t->id), at_us);
            metrics_count(&p->core->metrics, kMetricEvacuationRollbacks);
            pool_transaction_end(t, now_us);
        }
    }
    g_list_free(open);
}

/* Closes the connections that run nothing, or all with busy.  The others are
 * closed when their job or transaction ends. */
static void
connections_evacuate(Pool *p, uint64_t now_us, gboolean busy)
{
    for (guint i = p->connections->len; i > 0; i--) {
        if (i > p->connections->len) {
            continue; /* a drop has removed more than one connection */
        }
        PoolConnection *c = g_ptr_array_index(p->connections, i - 1);
        c->closing = TRUE;
        if (busy || c->state != kConnectionBusy) {
            pool_connection_drop(c, now_us);
        }
    }
}

/* Ends the work at a member whose failure domain is evacuated, as far as it is
 * due: refuses queued jobs, rolls back transactions, closes connections.  The
 * monitor's connection stays: it runs no work of callers, and the control
 * leader needs it to change the primary. */
static void
pool_evacuate(Pool *p, uint64_t now_us, const DatabaseInfo *d)
{
    int32_t i = d == NULL ? -1 : catalog_member_index(d, p->member);
    uint64_t evacuated_us = i < 0 ? 0 : d->members[i].evacuated_us;
    DomainAccess access = pool_access(p, now_us, d);

    if (evacuated_us == 0) {
        return;
    }
    if (domain_access_ends_transactions(evacuated_us, now_us)) {
        transactions_evacuate(p, now_us);
    }
    if (access == kDomainServed) {
        return;
    }
    while (fair_queue_length(p->queue) > 0) {
        job_finish(fair_queue_pop(p->queue), now_us,
                   SW__WORK_STATUS__WORK_NOT_RUN, access_reason(access),
                   "failure domain is evacuated");
    }
    connections_evacuate(p, now_us,
                         domain_access_ends_connections(evacuated_us, now_us));
}

/* Returns whether a transaction was rolled back so long ago that its caller
 * can no longer use it. */
static gboolean
evacuated_transaction_expired(void *id, void *at_us, void *ctx)
{
    (void)id;
    return *(uint64_t *)ctx - *(uint64_t *)at_us > kMaxTransactionUs;
}

/* ---- events ---- */

/* Handles the outcome of a connection attempt. */
void
pool_connected(EntryCore *e, uint64_t now_us, uint64_t connection, gboolean ok)
{
    PoolConnection *c = g_hash_table_lookup(e->connections, &connection);
    if (c == NULL) {
        return;
    }
    Pool *p = c->pool;
    if (c->monitor) {
        c->last_response_us = now_us;
        monitor_connected(p, now_us, ok);
        return;
    }
    if (!ok) {
        p->next_connect_us = now_us + kReconnectDelayUs;
        pool_connection_drop(c, now_us);
        return;
    }
    p->connecting_count--;
    c->state = kConnectionIdle;
    c->last_response_us = now_us;
    pool_dispatch(p, now_us);
}

/* Handles the result of a query, or the loss of a connection. */
void
pool_result(EntryCore *e, uint64_t now_us, uint64_t connection,
            const BackendResult *result)
{
    PoolConnection *c = g_hash_table_lookup(e->connections, &connection);
    if (c == NULL) {
        return;
    }
    Pool *p = c->pool;
    if (result->status == kBackendLost) {
        metrics_count(&e->metrics, kMetricPoolLost);
        if (c->monitor) {
            monitor_lost(p, now_us);
            return;
        }
        pool_connection_drop(c, now_us);
        pool_dispatch(p, now_us);
        return;
    }
    c->in_query = FALSE;
    c->last_response_us = now_us;
    if (c->monitor) {
        monitor_result(p, now_us, result);
        return;
    }
    if (c->job != NULL) {
        job_result(c->job, now_us, result);
    }
    pool_dispatch(p, now_us);
}

/* Drops a connection whose query timed out and lets its job restart on another
 * one.  A query that ran for a short time only and timed out because its job
 * has reached the deadline says nothing about the connections. */
static void
drop_timed_out(Pool *p, uint64_t now_us, PoolConnection *c)
{
    Job *job = c->job;
    gboolean deadline = job != NULL && now_us >= job->deadline_us &&
                        now_us - c->query_sent_us < kQueryTimeoutUs;

    metrics_count(&p->core->metrics,
                  deadline ? kMetricPoolDeadline : kMetricPoolUnresponsive);
    if (!deadline) {
        /* A middlebox (NAT or firewall) that has lost the state of this
         * connection has probably lost that of all older ones, so idle ones
         * are dropped. */
        p->suspect_before_us = MAX(p->suspect_before_us, c->opened_us + 1);
    }
    c->job = NULL;
    pool_connection_drop(c, now_us);
    if (job != NULL) {
        job->connection = NULL;
        job_connection_lost(job, now_us,
                            deadline ? kLossDeadline : kLossUnresponsive);
    }
}

/* Drops idle connections that are suspected to be dead, and connections whose
 * query or connection attempt timed out. */
static void
connections_tick(Pool *p, uint64_t now_us)
{
    for (guint i = p->connections->len; i > 0; i--) {
        if (i > p->connections->len) {
            continue; /* a drop has removed more than one connection */
        }
        PoolConnection *c = g_ptr_array_index(p->connections, i - 1);
        gboolean suspect =
            c->state == kConnectionIdle && c->opened_us < p->suspect_before_us;
        if (suspect) {
            pool_connection_drop(c, now_us);
            continue;
        }
        gboolean waiting = c->in_query || c->state == kConnectionConnecting;
        if (!waiting || now_us < c->deadline_us) {
            continue;
        }
        if (c->state == kConnectionConnecting) {
            p->next_connect_us = now_us + kReconnectDelayUs;
            pool_connection_drop(c, now_us);
            continue;
        }
        drop_timed_out(p, now_us, c);
    }
}

/* Refuses queued jobs as soon as they can no longer meet their deadline, so
 * that the refusal arrives while the origin still waits for a reply. */
static void
queue_refuse_late(Pool *p, uint64_t now_us)
{
    const DatabaseInfo *d = pool_database(p);
    uint64_t start_us = now_us;
    Job *late;

    if (fair_queue_length(p->queue) > 0 && d != NULL) {
        start_us += expected_wait_us(p, now_us, d->slots, 0);
    }
    while ((late = fair_queue_find(p->queue, job_is_late, &start_us)) !=
           NULL) {
        fair_queue_remove(p->queue, late);
        metrics_count(&p->core->metrics, kMetricRefusedQueue);
        job_finish(late, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "deadline",
                   "it could not end before its deadline any more");
    }
}

/* Refuses queued jobs that can't be executed in time. */
static void
queue_expire(Pool *p, uint64_t now_us)
{
    queue_refuse_late(p, now_us);
    /* Jobs for an unreachable member are refused at once, so that the origin
     * can retry with another member in time. */
    if (p->unreachable_since_us == 0 ||
        now_us - p->unreachable_since_us <= kQueryTimeoutUs) {
        return;
    }
    while (fair_queue_length(p->queue) > 0) {
        Job *j = fair_queue_pop(p->queue);
        job_finish(j, now_us, SW__WORK_STATUS__WORK_NOT_RUN, "unreachable",
                   "the member cannot be reached");
    }
}

/* Creates the pools of all members that this instance owns, so that these
 * members are monitored even without work. */
static void
pools_create_owned(EntryCore *e, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (e->pools_checked_version == catalog_view(e->catalog)->version &&
        e->pools_checked_index == catalog_index(e->catalog)) {
        return;
    }
    e->pools_checked_version = catalog_view(e->catalog)->version;
    e->pools_checked_index = catalog_index(e->catalog);
    g_hash_table_iter_init(&it, (GHashTable *)catalog_databases(e->catalog));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DatabaseInfo *d = value;
        for (uint32_t i = 0; i < d->member_count; i++) {
            const InstanceInfo *owners[kOwnerRanksMax];
            if (router_owners(e, d, (int32_t)i, owners) > 0 &&
                strcmp(owners[0]->id, e->config.id) == 0) {
                pool_get(e, now_us, d->name, d->members[i].id);
            }
        }
    }
}

/* Returns whether this instance is the owner of a pool, not a successor. */
static gboolean
pool_is_owned(Pool *p)
{
    const DatabaseInfo *d = pool_database(p);
    const InstanceInfo *owners[kOwnerRanksMax];
    int32_t i = d == NULL ? -1 : catalog_member_index(d, p->member);

    return i >= 0 && router_owners(p->core, d, i, owners) > 0 &&
           strcmp(owners[0]->id, p->core->config.id) == 0;
}

/* Returns whether a pool has no job, open transaction or pending command. */
static gboolean
pool_is_idle(const Pool *p)
{
    return fair_queue_length(p->queue) == 0 && busy_count(p) == 0 &&
           p->awaiting_majority->len == 0 && p->commands.length == 0;
}

/* Closes all connections of a pool that this instance doesn't own, once the
 * pool has been idle for a second. */
static void
pool_close_if_idle(Pool *p, uint64_t now_us)
{
    if (!pool_is_idle(p) ||
        (p->last_work_us != 0 && now_us - p->last_work_us < kSecondUs)) {
        return;
    }
    for (guint i = p->connections->len; i > 0; i--) {
        pool_connection_drop(g_ptr_array_index(p->connections, i - 1), now_us);
    }
    if (p->monitor != NULL) {
        monitor_lost(p, now_us);
    }
}

/* Submits a job that deletes the request records older than the retention
 * time, if that is due. */
static void
records_prune(Pool *p, uint64_t now_us, const DatabaseInfo *d)
{
    static char sql[] = "DELETE FROM " RECORD_TABLE " WHERE created_ms < $1";
    uint64_t every_us =
        MIN(d->record_retention_us / kPrunesPerRetention, kMaxPruneIntervalUs);
    uint64_t wall_ms = entry_wall_ms(p->core, now_us);
    uint64_t kept_ms = d->record_retention_us / kMillisecondUs;
    char before[24];
    char *arguments[] = {before};
    Sw__Statement statement = SW__STATEMENT__INIT;
    Sw__Statement *statements[] = {&statement};
    Sw__WorkRequest r = SW__WORK_REQUEST__INIT;

    if (!p->records_ready || !pool_is_primary(p) ||
        now_us - p->records_pruned_us < every_us) {
        return;
    }
    p->records_pruned_us = now_us;
    g_snprintf(before, sizeof(before), "%" G_GUINT64_FORMAT,
               wall_ms - MIN(kept_ms, wall_ms));
    statement.sql = sql;
    statement.n_args = G_N_ELEMENTS(arguments);
    statement.args = arguments;
    r.kind = SW__WORK_KIND__WORK_WRITE;
    r.database = p->database;
    r.member = p->member;
    r.n_statements = G_N_ELEMENTS(statements);
    r.statements = statements;
    r.deadline_us = kRequestTimeoutMaxUs;
    r.repeatable = TRUE;
    r.open_route = TRUE;
    pool_submit(p->core, now_us, NULL, entry_next_frame_id(p->core), &r);
}

/* Runs the time-dependent work of a pool. */
static void
pool_tick(Pool *p, uint64_t now_us)
{
    const DatabaseInfo *d = pool_database(p);
    gboolean owned = pool_is_owned(p);

    pool_update_address(p, now_us);
    pool_evacuate(p, now_us, d);
    if (d != NULL && (owned || !pool_is_idle(p))) {
        monitor_tick(p, now_us);
        if (pool_access(p, now_us, d) == kDomainServed) {
            open_spare_connections(p, now_us, d);
        }
    }
    connections_tick(p, now_us);
    transactions_tick(p, now_us);
    job_majority_tick(p, now_us);
    queue_expire(p, now_us);
    pool_dispatch(p, now_us);
    if (!owned || d == NULL) {
        pool_close_if_idle(p, now_us);
        return;
    }
    records_prune(p, now_us, d);
}

/* Runs the time-dependent work of all pools. */
void
pool_tick_all(EntryCore *e, uint64_t now_us)
{
    GList *pools;

    pools_create_owned(e, now_us);
    g_hash_table_foreach_remove(e->evacuated_transactions,
                                evacuated_transaction_expired, &now_us);
    pools = g_hash_table_get_values(e->pools);
    for (GList *l = pools; l != NULL; l = l->next) {
        pool_tick(l->data, now_us);
    }
    g_list_free(pools);
}

/* Returns whether no pool has work or an open transaction. */
gboolean
pools_idle(const EntryCore *e)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->pools);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (!pool_is_idle(value)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Identifies a job by the instance and frame id of its request. */
typedef struct {
    const char *origin;
    uint64_t frame_id;
} JobSource;

/* Returns whether a job came from a source.  For fair_queue_find: item is a
 * Job, ctx a JobSource. */
static gboolean
job_is_from(const void *item, const void *ctx)
{
    const Job *j = item;
    const JobSource *s = ctx;
    return j->frame_id == s->frame_id && g_strcmp0(j->origin, s->origin) == 0;
}

/* Returns the running job of a source, or NULL. */
static Job *
find_running(Pool *p, const JobSource *source)
{
    for (guint i = 0; i < p->connections->len; i++) {
        PoolConnection *c = g_ptr_array_index(p->connections, i);
        if (c->job != NULL && job_is_from(c->job, source)) {
            return c->job;
        }
    }
    return NULL;
}

/* Marks a running job as abandoned.  Cancels its query only if the job has
 * been running for much longer than the average, since waiting for a short
 * one costs less than a new connection.  A job whose commit was sent or that
 * belongs to an interactive transaction isn't cancelled. */
static void
cancel_running(EntryCore *e, uint64_t now_us, Job *j)
{
    uint64_t limit_us =
        MAX(j->pool->service_us * kCancelAfterServiceTimes, kQueryTimeoutUs);
    j->abandoned = TRUE;
    if (!j->commit_sent && j->transaction == NULL && j->connection->in_query &&
        now_us - j->started_us > limit_us) {
        e->port.backend_cancel(e->port.ctx, j->connection->id);
    }
}

/* Cancels a work request whose reply the origin no longer waits for: drops a
 * queued job, and cancels a running one under the conditions of
 * cancel_running. */
void
pool_cancel(EntryCore *e, uint64_t now_us, const char *origin,
            uint64_t frame_id)
{
    const JobSource source = {origin, frame_id};
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->pools);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Pool *p = value;
        Job *queued = fair_queue_find(p->queue, job_is_from, &source);
        if (queued != NULL) {
            fair_queue_remove(p->queue, queued);
            job_finish(queued, now_us, SW__WORK_STATUS__WORK_NOT_RUN,
                       "abandoned", "nobody waits for it any more");
            return;
        }
        Job *running = find_running(p, &source);
        if (running != NULL) {
            cancel_running(e, now_us, running);
            return;
        }
    }
}
