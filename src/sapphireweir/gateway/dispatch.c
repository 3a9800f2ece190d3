#include <string.h>

#include "gateway/crossing_gate.h"
#include "gateway/region_access.h"
#include "gateway/slow_start_gate.h"
#include "policy/connection_share.h"
#include "policy/placement.h"

/* Decides which connection runs a session's statement, which statements wait
 * and which are refused.  Work waits here rather than in a server's own queue,
 * because deadlines are known here.  A statement that cannot be served in time
 * is refused at once, so that the caller can try another instance. */

enum {
    kAttemptsMax = 4,
    kWaitPercent = 90, /* of the latency objective: limit of the wait */
    /* Of server_drain_us: time in which new work may start.  The rest is left
     * for late reports and for work that is already queued. */
    kDrainServedPercent = 60,
    kThroughputWindowUs = 300000, /* window of the throughput measurement */
    kReplacementUs = 900000,      /* from losing a primary to using the next */
    kSuspectAfterUs = 500000, /* a primary failing so long counts as lost */
    kUnresponsiveUs = 250000, /* time without an answer from a server */
    kRetryUs = 200000,        /* default of the retry hint to callers */
    /* Work that has waited so long may take over the connection of a team that
     * has used up its turn. */
    kOverdueUs = 150000,
    kTurnStatements = 8, /* statements of a team's turn on a connection */
    /* Minimum time between two connections opened for the same statement, if
     * another one used the first: about three mean statements. */
    kReopenIntervalUs = 60000,
    kSurplusIdleUs = 400000, /* idle time of connections above the share */
};

/* Returns this instance's share of the connections that a server accepts. */
static ConnectionShare
server_share(const Server *s)
{
    uint32_t limit = server_connection_limit(s);
    uint32_t instances = s->database->gateway->entry_count;

    return s->owner == NULL ? connection_share(limit, instances)
                            : connection_share_beside_owner(limit, instances);
}

/* Returns how many connections this instance may hold at one server: its
 * share, and one less for a while after the server refused a connection. */
static uint32_t
connection_cap(const Server *s, uint64_t now_us)
{
    uint32_t share = server_share(s).max_open;
    return now_us < s->full_until_us ? MAX(share - 1, 1) : share;
}

/* Tells whether a connection to the server can be opened, if need be in place
 * of an idle one. */
static gboolean
server_may_connect(const Server *s, uint64_t now_us)
{
    if (s->failing_since_us != 0 && s->opening > 0) {
        return FALSE;
    }
    return s->connections->len < connection_cap(s, now_us) ||
           server_oldest_idle(s, now_us) != NULL;
}

/* Tells whether a server has been draining for so long that it may get no new
 * work.  A draining primary is used until it is replaced, but not beyond this
 * limit, since work queued for it at other instances needs time as well. */
static gboolean
drain_has_expired(const Server *s, uint64_t now_us)
{
    uint64_t served_us =
        s->database->gateway->server_drain_us * kDrainServedPercent / 100;
    return s->draining && now_us - s->draining_us > served_us;
}

/* Tells whether a server may serve the session's open statement. */
gboolean
dispatch_may_serve(const Session *s, const Server *server, uint64_t now_us)
{
    const Database *d = s->database;
    Position after;

    if (server->gone || server == s->job.avoid_server ||
        region_access_of(s, server) == kRegionNone ||
        !evacuation_may_start(server, now_us)) {
        return FALSE;
    }
    if (server == database_primary(d, now_us)) {
        return !d->quiescing && !drain_has_expired(server, now_us);
    }
    if (server->draining || s->job.needs_primary) {
        return FALSE;
    }
    if (g_strcmp0(server->id, d->primary) == 0) {
        return FALSE;
    }
    return freshness_required(&d->freshness, now_us,
                              s->route->max_staleness_us, s->last_commit,
                              &after);
}

/* Returns the queueing delay that the owner reported, less the time since that
 * report. */
static uint64_t
owner_wait_left_us(const Server *s, uint64_t now_us)
{
    uint64_t age_us = now_us - s->owner_wait_updated_us;
    return s->owner_wait_us > age_us ? s->owner_wait_us - age_us : 0;
}

/* Returns the properties of a server that decide whether the session's
 * statement runs there. */
static PlacementCandidate
candidate_of(const Session *s, const Server *server, uint64_t now_us)
{
    const Database *d = s->database;
    Gateway *g = s->gateway;
    gboolean primary = server == database_primary(d, now_us);
    gboolean relayed = region_access_relays(s, server, now_us);
    PlacementCandidate c = {
        .usable = dispatch_may_serve(s, server, now_us) &&
                  now_us >= server->avoid_until_us &&
                  (!relayed || dispatch_is_admitted(s, server, now_us)),
        .primary = primary,
        .same_domain =
            evacuation_spreads(d)
                ? server == evacuation_preferred(s)
                : strcmp(server->failure_domain, g->failure_domain) == 0,
        .matching_connection =
            relayed ||
            server_idle_connection(server, session_team_name(s)) != NULL,
        .may_connect = server_may_connect(server, now_us),
        .open_statements = server->open_statements,
        .slots = server->slots,
        .service_us = server->service_us,
    };

    if (relayed) {
        c.expected_queue_us = s->gateway->prioritized
                                  ? dispatch_wait_us(s, server, now_us)
                                  : owner_wait_left_us(server, now_us);
        c.service_age_us = now_us - server->owner_wait_updated_us;
        c.affinity = dispatch_affinity(s, server);
    }
    if (!primary && server->lagging_until_us > now_us) {
        c.expected_lag_us = server->lagging_until_us - now_us;
    }
    if (server->failing_since_us != 0) {
        c.expected_lag_us += kUnresponsiveUs;
    }
    slow_start_gate_weigh(server, now_us, relayed, &c);
    c.cold = slow_start_gate_is_limited(server, now_us);
    crossing_gate_fill(s, server, now_us, relayed, &c);
    return c;
}

/* Returns the best server for the session's open statement or NULL. */
static Server *
choose_server(Session *s, uint64_t now_us)
{
    const GPtrArray *servers = s->database->servers;
    PlacementCandidate *candidates = g_new(PlacementCandidate, servers->len);

    for (guint i = 0; i < servers->len; i++) {
        candidates[i] = candidate_of(s, g_ptr_array_index(servers, i), now_us);
    }
    int best = crossing_gate_choose(s, now_us, candidates, servers->len);
    g_free(candidates);
    return best == kPlacementNone ? NULL
                                  : g_ptr_array_index(servers, (guint)best);
}

/* Returns a server that may serve the open statement, but whose owner does not
 * admit it at present, or NULL. */
static const Server *
rejecting_server(const Session *s, uint64_t now_us)
{
    const GPtrArray *servers = s->database->servers;

    for (guint i = 0; i < servers->len; i++) {
        const Server *server = g_ptr_array_index(servers, i);
        if (dispatch_may_serve(s, server, now_us) &&
            now_us >= server->avoid_until_us && relay_usable(server, now_us) &&
            !dispatch_is_admitted(s, server, now_us)) {
            return server;
        }
    }
    return NULL;
}

/* ---- waiting ---- */

/* Removes a session from the queue of its database, if it is in it. */
void
dispatch_dequeue(Session *s)
{
    if (s->waiting_link != NULL) {
        g_queue_delete_link(&s->database->waiting, s->waiting_link);
        s->waiting_link = NULL;
    }
}

/* Inserts a session into the queue of its database by order_us. */
static void
enqueue(Session *s)
{
    Database *d = s->database;
    GList *after = d->waiting.tail;

    if (s->waiting_link != NULL) {
        return;
    }
    while (after != NULL &&
           ((Session *)after->data)->job.order_us > s->job.order_us) {
        after = after->prev;
    }
    if (after == NULL) {
        g_queue_push_head(&d->waiting, s);
        s->waiting_link = d->waiting.head;
        return;
    }
    g_queue_insert_after(&d->waiting, after, s);
    s->waiting_link = after->next;
}

/* Returns the throughput of this instance at a server, in thousandths of a
 * statement per second: as measured while work waited, else what the limit on
 * open statements allows. */
static uint64_t
server_throughput_milli_per_s(const Server *s)
{
    if (s->throughput_milli_per_s != 0) {
        return s->throughput_milli_per_s;
    }
    return (uint64_t)concurrency_limit(&s->concurrency) * 1000000000 /
           MAX(s->service_us, 1);
}

/* Returns the expected wait for a connection: the work ahead in the queue
 * divided by the throughput of the servers that may serve the session. */
static uint64_t
expected_wait_us(const Session *s, uint64_t now_us)
{
    const Database *d = s->database;
    uint64_t ahead = 0; /* statements */
    uint64_t throughput_milli_per_s = 0;

    for (GList *l = d->waiting.head; l != NULL; l = l->next) {
        ahead += ((Session *)l->data)->job.order_us <= s->job.order_us;
    }
    for (guint i = 0; i < d->servers->len; i++) {
        const Server *server = g_ptr_array_index(d->servers, i);
        if (dispatch_may_serve(s, server, now_us)) {
            throughput_milli_per_s += server_throughput_milli_per_s(server);
        }
    }
    return ahead * 1000000000 / MAX(throughput_milli_per_s, 1);
}

/* Moves a statement that has missed its latency objective behind those that
 * can still meet theirs, or refuses it if it would then miss its deadline. */
static void
demote_when_late(Session *s, uint64_t now_us)
{
    Job *job = &s->job;

    if (now_us < job->order_us || job->order_us >= job->deadline_us) {
        return;
    }
    dispatch_dequeue(s);
    job->order_us = job->deadline_us + kDemotionPenaltyUs;
    enqueue(s);
    if (now_us + expected_wait_us(s, now_us) > job->deadline_us) {
        session_refuse(s, now_us, kRefusedQueue, kRetryUs);
    }
}

/* Returns when the primary of a database, or its successor, is expected to be
 * usable. */
static uint64_t
primary_expected_us(const Database *d, uint64_t now_us)
{
    const Server *primary =
        d->primary == NULL
            ? NULL
            : g_hash_table_lookup(d->gateway->servers, d->primary);
    uint64_t since_us = now_us;

    if (d->unusable_since_us != 0) {
        since_us = d->unusable_since_us;
    }
    else if (primary != NULL && primary->failing_since_us != 0) {
        since_us = primary->failing_since_us + kSuspectAfterUs;
    }
    return MAX(since_us + kReplacementUs, now_us);
}

/* Tells whether the primary failed so recently that the next connection to it
 * may still succeed. */
static gboolean
failure_is_recent(const Database *d, uint64_t now_us)
{
    const Server *primary = database_primary(d, now_us);
    return primary != NULL && primary->failing_since_us != 0 &&
           now_us - primary->failing_since_us < kUnresponsiveUs;
}

/* Handles a statement for which no server is usable now.  It waits during
 * a planned change of the primary, after a recent failure of the primary, or
 * if a primary is expected before the deadline; else it is refused. */
static void
wait_or_refuse(Session *s, uint64_t now_us)
{
    const Database *d = s->database;
    uint64_t expected_us = primary_expected_us(d, now_us);

    if (evacuation_refuses(s, now_us)) {
        session_refuse(s, now_us, kRefusedEvacuated, kRetryUs);
        return;
    }
    if ((d->quiescing && !d->closing) || failure_is_recent(d, now_us) ||
        expected_us < s->job.deadline_us) {
        enqueue(s);
        return;
    }
    session_refuse(s, now_us, kRefusedNoServer,
                   MAX(expected_us - now_us, (uint64_t)kRetryUs));
}

/* Tells whether the limit on open statements allows another one. */
static gboolean
server_has_room(const Server *s)
{
    return s->open_statements + s->opening <
           concurrency_limit(&s->concurrency);
}

/* Runs the session's statement at a server, or opens a connection for it.
 * Returns FALSE if neither is possible now. */
static gboolean
start_at(Session *s, Server *server, uint64_t now_us)
{
    Connection *c = server_connection_for(server, s);

    if (region_access_relays(s, server, now_us)) {
        dispatch_dequeue(s);
        crossing_gate_started(s, server);
        connection_run(relay_open(server, session_team_name(s), now_us), s,
                       now_us);
        return TRUE;
    }
    if (!server_has_room(server) ||
        slow_start_gate_wait_us(server, now_us, FALSE,
                                c == NULL ? 1 : connection_commands(c, s)) !=
            0) {
        return FALSE;
    }
    if (c != NULL) {
        dispatch_dequeue(s);
        crossing_gate_started(s, server);
        connection_run(c, s, now_us);
        return TRUE;
    }
    if (s->job.opening != NULL || now_us < server->avoid_until_us ||
        now_us < s->job.connect_requested_us + kReopenIntervalUs ||
        now_us < server->connect_after_us ||
        (server->failing_since_us != 0 && server->opening > 0)) {
        return FALSE;
    }
    if (server->connections->len >= connection_cap(server, now_us)) {
        c = server_oldest_idle(server, now_us);
        if (c == NULL) {
            return FALSE;
        }
        connection_close(c);
    }
    s->job.opening = connection_open(server, session_team_name(s), now_us);
    s->job.connect_requested_us = now_us;
    return TRUE;
}

/* Returns how long the open statement may wait in a queue from which it can
 * still be refused, in microseconds. */
uint64_t
dispatch_max_wait_us(const Session *s)
{
    uint64_t limit_us = s->job.deadline_us - s->job.arrived_us;

    return MIN(s->route->target_latency_us, limit_us / 2) * kWaitPercent / 100;
}

/* Tells whether the expected wait exceeds the wait limit. */
static gboolean
queue_is_too_long(const Session *s, uint64_t now_us)
{
    return expected_wait_us(s, now_us) > dispatch_max_wait_us(s);
}

/* Sends the session's open statement on a free connection, or queues or
 * refuses it. */
void
dispatch_submit(Session *s, uint64_t now_us)
{
    Job *job = &s->job;

    if (job->order_us == 0) {
        job->order_us = job->arrived_us + s->route->target_latency_us;
        dispatch_assign_step(s);
    }
    if (now_us < job->retry_at_us) {
        enqueue(s);
        return;
    }
    Server *server = choose_server(s, now_us);
    if (server == NULL && job->avoid_server != NULL) {
        job->avoid_server = NULL;
        server = choose_server(s, now_us);
    }
    if (server == NULL && region_access_refuse(s, now_us)) {
        return;
    }
    const Server *rejecting =
        server == NULL ? rejecting_server(s, now_us) : NULL;
    if (rejecting != NULL) {
        dispatch_refuse_level(s, now_us, rejecting);
        return;
    }
    if (server == NULL) {
        wait_or_refuse(s, now_us);
        return;
    }
    if (slow_start_gate_refuse(s, server, now_us)) {
        return;
    }
    if (region_access_relays(s, server, now_us)) {
        start_at(s, server, now_us);
        return;
    }
    if (s->waiting_link == NULL && queue_is_too_long(s, now_us)) {
        session_refuse(s, now_us, kRefusedQueue, kRetryUs);
        return;
    }
    if (s->waiting_link == NULL && s->database->waiting.length == 0 &&
        start_at(s, server, now_us) && s->job.sent) {
        return;
    }
    enqueue(s);
    dispatch_pump(server, now_us);
}

/* Schedules another attempt of a statement after delay_us.  Refuses it when
 * it has used up its attempts or would miss its deadline. */
void
dispatch_retry(Session *s, uint64_t now_us, uint64_t delay_us)
{
    Job *job = &s->job;

    job->sent = FALSE;
    job->setting_up = FALSE;
    job->held = FALSE;
    job->attempts++;
    job->retry_at_us = now_us + delay_us;
    if (job->attempts >= kAttemptsMax ||
        job->retry_at_us >= job->deadline_us) {
        session_refuse(s, now_us, kRefusedAttempts, kRetryUs);
        return;
    }
    /* The configuration may have changed while the statement was sent. */
    if (!session_check_key(s, now_us)) {
        dispatch_submit(s, now_us);
    }
}

/* Tells whether the open statement may be sent to a server now. */
static gboolean
may_start_at(const Session *s, const Server *server, uint64_t now_us)
{
    return now_us >= s->job.retry_at_us &&
           dispatch_may_serve(s, server, now_us);
}

/* Tells whether a statement may open a connection: below the connection limit
 * at once, else in place of another team's connection once the statement has
 * waited for min_wait_us. */
static gboolean
may_displace(const Session *s, const Server *server, uint64_t now_us,
             uint64_t min_wait_us)
{
    if (server_idle_connection(server, session_team_name(s)) != NULL) {
        return FALSE;
    }
    return server->connections->len < connection_cap(server, now_us) ||
           now_us - s->job.arrived_us >= min_wait_us;
}

/* Tells whether a connection's team has used up its turn while overdue work
 * waits for a connection of its own. */
static gboolean
must_yield(const Connection *c, uint64_t now_us)
{
    const Database *d = c->server->database;

    if (c->served < kTurnStatements) {
        return FALSE;
    }
    for (GList *l = d->waiting.head; l != NULL; l = l->next) {
        const Session *s = l->data;
        if (now_us - s->job.arrived_us >= kOverdueUs &&
            s->job.opening == NULL && may_start_at(s, c->server, now_us) &&
            may_displace(s, c->server, now_us, kOverdueUs)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Tells whether an idle connection of the session's team may be used. */
static gboolean
has_own_connection(const Session *s, const Server *server, uint64_t now_us)
{
    const Connection *c = server_idle_connection(server, session_team_name(s));
    return c != NULL && !must_yield(c, now_us);
}

/* Starts waiting statements at a server, in queue order, as far as its limit
 * allows.  Designed for many teams on few connections: a change of a
 * connection's team costs a handshake, which takes a slot like a statement.
 * Therefore a first pass uses idle connections of the right team, and only a
 * second pass lets work that has waited replace another team's connection. */
void
dispatch_pump(Server *server, uint64_t now_us)
{
    const Database *d = server->database;
    GList *next;

    for (int matching = 1; matching >= 0; matching--) {
        for (GList *l = d->waiting.head; l != NULL; l = next) {
            Session *s = l->data;
            next = l->next;
            if (server->gone || !server_has_room(server)) {
                return;
            }
            if (!may_start_at(s, server, now_us)) {
                continue;
            }
            if (matching
                    ? has_own_connection(s, server, now_us)
                    : may_displace(s, server, now_us, kTeamSwitchMinWaitUs)) {
                start_at(s, server, now_us);
            }
        }
    }
}

/* ---- time ---- */

/* Refuses, demotes or resubmits the statements that wait at a database. */
static void
waiting_tick(Database *d, uint64_t now_us)
{
    GPtrArray *sessions = g_ptr_array_new();

    for (GList *l = d->waiting.head; l != NULL; l = l->next) {
        g_ptr_array_add(sessions, l->data);
    }
    for (guint i = 0; i < sessions->len; i++) {
        Session *s = g_ptr_array_index(sessions, i);
        if (s->waiting_link == NULL) {
            continue;
        }
        if (now_us >= s->job.deadline_us) {
            session_refuse(s, now_us, kRefusedDeadline, kRetryUs);
            continue;
        }
        demote_when_late(s, now_us);
        if (s->waiting_link != NULL && s->job.opening == NULL) {
            dispatch_submit(s, now_us);
        }
    }
    g_ptr_array_unref(sessions);
}

/* Applies timeouts to a connection and closes it if it may not stay idle. */
static void
connection_tick(Connection *c, uint64_t now_us, const ConnectionShare *share)
{
    Server *server = c->server;
    uint64_t age_us = now_us - c->state_since_us;

    if (c->state == kConnectionOpening && age_us > kConnectTimeoutUs) {
        connection_down(c, now_us, kCodeTimeout);
        return;
    }
    server_check_unresponsive(server, now_us,
                              c->awaiting ? c->sent_us
                              : c->state == kConnectionOpening
                                  ? c->state_since_us
                                  : 0);
    if (c->state == kConnectionRollingBack &&
        now_us - c->sent_us > kConnectTimeoutUs) {
        connection_down(c, now_us, kCodeTimeout);
        return;
    }
    if (c->state == kConnectionIdle &&
        (server->gone || server->draining ||
         (share->max_idle_us != 0 && age_us > share->max_idle_us) ||
         (server->connections->len > share->max_open &&
          age_us > kSurplusIdleUs))) {
        connection_close(c);
    }
}

/* Updates the throughput of a server at the end of each window.  It is zero if
 * no work waits then, since the window does not show the server's capacity. */
static void
update_throughput(Server *s, uint64_t now_us)
{
    uint64_t span_us = now_us - s->throughput_window_us;

    if (span_us < kThroughputWindowUs) {
        return;
    }
    gboolean work_waits =
        s->database->waiting.length > 0 || serverpool_has_waiting(s->pool);
    s->throughput_milli_per_s =
        work_waits ? (uint64_t)s->completed * 1000000000 / span_us : 0;
    s->completed = 0;
    s->throughput_window_us = now_us;
}

/* Updates the throughput of a server and applies timeouts to its
 * connections. */
static void
server_tick(Server *s, uint64_t now_us)
{
    ConnectionShare share = server_share(s);

    update_throughput(s, now_us);
    if (s->pool != NULL) {
        serverpool_tick(s->pool, now_us);
    }
    for (guint i = s->connections->len; i > 0; i--) {
        if (i <= s->connections->len) {
            connection_tick(g_ptr_array_index(s->connections, i - 1), now_us,
                            &share);
        }
    }
}

/* Handles timeouts of connections and of waiting statements. */
void
dispatch_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        server_tick(value, now_us);
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        waiting_tick(value, now_us);
    }
}
