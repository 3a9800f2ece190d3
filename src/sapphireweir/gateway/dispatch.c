#include <string.h>

#include "gateway/gateway_internal.h"
#include "gateway/placement.h"

/* Which connection runs a session's statement, who waits for one and who is
 * refused.  Work waits here rather than in a server's own queue, because
 * here deadlines are known.  What cannot be served in time is refused at
 * once, so that the caller can try another instance. */

enum {
    kCandidatesMax = 32,
    kAttemptsMax = 4,
    kQueueAgeMaxUs = 250000,  /* older heads mean that nothing drains */
    kReplacementUs = 1300000, /* a primary's usual absence */
    kHoldPercent = 70, /* of a statement's time limit, at most, for that */
    kFailingHoldUs = 700000, /* a silent primary is suspected after this */
    kSilentUs = 350000, /* an answer that is overdue */
    kRetryUs = 200000,  /* when to come back, without better knowledge */
    kConnectPatienceUs = 400000, /* for a server's welcome */
    kOtherTeamPatienceUs = 20000, /* before a connection changes its team */
    kSurplusIdleUs = 400000, /* beyond the fair part of connections */
};

/* Returns this instance's part of the connections that a server takes. */
uint32_t
server_fair_part(const Server *s)
{
    const Gateway *g = s->database->gateway;
    const DocumentDatabase *d =
        g->document == NULL
            ? NULL
            : document_database(g->document, s->database->name);
    uint32_t most = d == NULL ? 1 : d->max_connections;

    return MAX(most / MAX(g->entry_count, 1), 1);
}

/* Returns how many connections this instance may hold at one server: its
 * fair part, or more while the server has not refused any. */
static uint32_t
connection_cap(const Server *s, uint64_t now_us)
{
    uint32_t fair = server_fair_part(s);
    return now_us < s->full_until_us ? fair : 2 * fair + 1;
}

static gboolean
server_usable(const Server *s, uint64_t now_us)
{
    return !s->gone && !s->draining && now_us >= s->avoid_until_us;
}

static gboolean
server_may_connect(const Server *s, uint64_t now_us)
{
    if (s->failing_since_us != 0 && s->opening > 0) {
        return FALSE;
    }
    return s->connections->len < connection_cap(s, now_us) ||
           server_oldest_idle(s) != NULL;
}

/* Tells whether a server may serve the session's open statement. */
static gboolean
server_may_serve(const Session *s, const Server *server, uint64_t now_us)
{
    const Database *d = s->database;
    Position after;

    if (server->gone || server == s->job.avoid) {
        return FALSE;
    }
    if (server == database_primary(d, now_us)) {
        return !d->quiescing;
    }
    if (server->draining || s->job.needs_primary) {
        return FALSE;
    }
    if (g_strcmp0(server->id, d->primary) == 0) {
        return FALSE;
    }
    return freshness_required(&d->freshness, now_us,
                              s->route->max_staleness_us, s->own, &after);
}

static PlacementCandidate
candidate_of(const Session *s, const Server *server, uint64_t now_us)
{
    const Database *d = s->database;
    Gateway *g = s->gateway;
    gboolean primary = server == database_primary(d, now_us);
    PlacementCandidate c = {
        .usable = server_may_serve(s, server, now_us) &&
                  now_us >= server->avoid_until_us,
        .primary = primary,
        .same_domain =
            strcmp(server->failure_domain, g->failure_domain) == 0,
        .matching_connection =
            server_idle_connection(server, session_team_name(s)) != NULL,
        .may_connect = server_may_connect(server, now_us),
        .open_statements = server->open_statements,
        .slots = server->slots,
        .service_us = server->service_us,
    };

    if (!primary && server->lagging_until_us > now_us) {
        c.lagging_for_us = server->lagging_until_us - now_us;
    }
    if (server->failing_since_us != 0) {
        c.lagging_for_us += kSilentUs;
    }
    return c;
}

static Server *
choose_server(const Session *s, uint64_t now_us)
{
    PlacementCandidate candidates[kCandidatesMax];
    const GPtrArray *servers = s->database->servers;
    size_t count = MIN(servers->len, (guint)kCandidatesMax);

    for (size_t i = 0; i < count; i++) {
        candidates[i] =
            candidate_of(s, g_ptr_array_index(servers, i), now_us);
    }
    int best = placement_choose(candidates, count);
    return best == kPlacementNone
               ? NULL
               : g_ptr_array_index(servers, (guint)best);
}

/* ---- waiting ---- */

/* Takes a session out of its queue. */
void
dispatch_leave(Session *s)
{
    if (s->waiting_link != NULL) {
        g_queue_delete_link(&s->database->waiting, s->waiting_link);
        s->waiting_link = NULL;
    }
}

static void
wait_in_queue(Session *s)
{
    Database *d = s->database;
    GList *after = d->waiting.tail;
    uint64_t due_us = s->job.arrived_us + s->route->target_us;

    if (s->waiting_link != NULL) {
        return;
    }
    while (after != NULL) {
        const Session *other = after->data;
        if (other->job.arrived_us + other->route->target_us <= due_us) {
            break;
        }
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

static uint64_t
oldest_wait_us(const Database *d, uint64_t now_us)
{
    uint64_t oldest_us = 0;
    for (GList *l = d->waiting.head; l != NULL; l = l->next) {
        const Session *s = l->data;
        oldest_us = MAX(oldest_us, now_us - s->job.arrived_us);
    }
    return oldest_us;
}

/* When the primary of a database is expected to be of use again. */
static uint64_t
primary_expected_us(const Database *d, uint64_t now_us)
{
    uint64_t since_us = d->closed_us == 0 ? now_us : d->closed_us;
    return MAX(since_us + kReplacementUs, now_us);
}

/* Decides about a statement for which no server can be used now: it waits
 * where a replacement is under way that should end in time. */
static void
hold_or_refuse(Session *s, uint64_t now_us)
{
    const Database *d = s->database;
    uint64_t limit_us = s->job.due_us - s->job.arrived_us;
    uint64_t hold_until_us =
        s->job.arrived_us + limit_us * kHoldPercent / 100;
    uint64_t expected_us = primary_expected_us(d, now_us);

    if (d->primary != NULL && d->quiescing && !d->closing) {
        wait_in_queue(s);
        return;
    }
    if (d->closed_us != 0 && expected_us <= hold_until_us) {
        wait_in_queue(s);
        return;
    }
    uint64_t wait_us = expected_us - now_us;
    session_refuse(s, now_us, kRefusedNoServer,
                   MAX(wait_us, (uint64_t)kRetryUs));
}

static Connection *
connect_for(Session *s, Server *server, uint64_t now_us)
{
    if (!server_may_connect(server, now_us)) {
        return NULL;
    }
    if (server->connections->len >= connection_cap(server, now_us)) {
        connection_close(server_oldest_idle(server));
    }
    return connection_open(server, session_team_name(s), now_us);
}

/* Finds a connection for the session's open statement, or queues or
 * refuses it. */
void
dispatch_submit(Session *s, uint64_t now_us)
{
    Job *job = &s->job;

    if (now_us < job->retry_us) {
        wait_in_queue(s);
        return;
    }
    Server *server = choose_server(s, now_us);
    if (server == NULL && job->avoid != NULL) {
        job->avoid = NULL;
        server = choose_server(s, now_us);
    }
    if (server == NULL) {
        hold_or_refuse(s, now_us);
        return;
    }
    Connection *c = server_idle_connection(server, session_team_name(s));
    if (c != NULL) {
        dispatch_leave(s);
        connection_run(c, s, now_us);
        return;
    }
    if (s->waiting_link == NULL &&
        oldest_wait_us(s->database, now_us) > kQueueAgeMaxUs) {
        session_refuse(s, now_us, kRefusedQueue, kRetryUs);
        return;
    }
    wait_in_queue(s);
    if (job->opening == NULL) {
        job->opening = connect_for(s, server, now_us);
    }
}

/* Lets a statement try again after a while; too many attempts refuse it. */
void
dispatch_retry(Session *s, uint64_t now_us, uint64_t delay_us)
{
    Job *job = &s->job;

    job->sent = FALSE;
    job->attempts++;
    job->retry_us = now_us + delay_us;
    if (job->attempts >= kAttemptsMax || job->retry_us >= job->due_us) {
        session_refuse(s, now_us, kRefusedAttempts, kRetryUs);
        return;
    }
    dispatch_submit(s, now_us);
}

static Session *
waiting_for(const Connection *c, uint64_t now_us, gboolean same_team)
{
    const Database *d = c->server->database;

    for (GList *l = d->waiting.head; l != NULL; l = l->next) {
        Session *s = l->data;
        gboolean same = strcmp(session_team_name(s), c->team) == 0;
        if (same != same_team || now_us < s->job.retry_us ||
            !server_may_serve(s, c->server, now_us)) {
            continue;
        }
        if (!same && (s->job.opening != NULL ||
                      now_us - s->job.arrived_us < kOtherTeamPatienceUs)) {
            continue;
        }
        return s;
    }
    return NULL;
}

/* A connection has become idle: the first waiting statement of its team
 * takes it; else it gives way to a team that has waited for long. */
void
dispatch_connection_free(Connection *c, uint64_t now_us)
{
    Server *server = c->server;
    Session *s;

    if (server->gone || server->draining) {
        connection_close(c);
        return;
    }
    s = waiting_for(c, now_us, TRUE);
    if (s != NULL) {
        dispatch_leave(s);
        connection_run(c, s, now_us);
        return;
    }
    s = waiting_for(c, now_us, FALSE);
    if (s != NULL && server_usable(server, now_us)) {
        connection_close(c);
        s->job.opening =
            connection_open(server, session_team_name(s), now_us);
    }
}

/* ---- time ---- */

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
        if (now_us >= s->job.due_us) {
            session_refuse(s, now_us, kRefusedDeadline, kRetryUs);
            continue;
        }
        if (s->job.opening == NULL) {
            dispatch_submit(s, now_us);
        }
    }
    g_ptr_array_unref(sessions);
}

static void
connection_tick(Connection *c, uint64_t now_us, uint32_t fair)
{
    Server *server = c->server;
    uint64_t age_us = now_us - c->since_us;

    if (c->state == kConnectionOpening && age_us > kConnectPatienceUs) {
        connection_down(c, now_us, kCodeTimeout);
        return;
    }
    if (c->awaiting && now_us - c->sent_us > kSilentUs &&
        server->answered_us < c->sent_us && server->failing_since_us == 0) {
        server->failing_since_us = c->sent_us;
    }
    if (c->state == kConnectionRolling &&
        now_us - c->sent_us > kConnectPatienceUs) {
        connection_down(c, now_us, kCodeTimeout);
        return;
    }
    if (c->state == kConnectionIdle &&
        (server->gone || server->draining ||
         (server->connections->len > fair && age_us > kSurplusIdleUs))) {
        connection_close(c);
    }
}

static void
server_tick(Server *s, uint64_t now_us)
{
    uint32_t fair = server_fair_part(s);

    for (guint i = s->connections->len; i > 0; i--) {
        if (i <= s->connections->len) {
            connection_tick(g_ptr_array_index(s->connections, i - 1), now_us,
                            fair);
        }
    }
}

/* Lets time pass for everything that waits. */
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
