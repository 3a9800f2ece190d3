#include "gateway/slow_start_gate.h"

#include <string.h>

#include "core/hash.h"
#include "gateway/region_access.h"

/* Asks policy/slow_start.c before requests go to a cold backend server, and
 * records what was sent and answered.  The owner of a server's connections
 * counts for all that borrow from it; sessions of this instance that use a
 * direct connection have a share of their own.  An instance counts as owner
 * only while it holds a lease: the leader names another one later than that
 * lease ends. */

enum {
    kSecondUs = 1000000,
    kCostWeight = 8,           /* the newest batch has 1/8 of the mean cost */
    kFirstCostMilli = 2000,    /* a session value and a statement */
    kLongestWaitUs = 10000000, /* limit of costs in placement */
};

/* ---- state of a server ---- */

/* Returns the database's settings, or NULL while there is no limit on its cold
 * servers. */
static const DocumentDatabase *
limited_database(const Server *s)
{
    const Document *document = s->database->gateway->document;

    if (document == NULL || !document->limits_cold_servers) {
        return NULL;
    }
    const DocumentDatabase *d = document_database(document, s->database->name);
    return d == NULL || d->cold_milli_per_s == 0 ? NULL : d;
}

/* Returns when the server ceases to be cold. */
static uint64_t
cold_until_us(const Server *s, const DocumentDatabase *d)
{
    SlowStartRun run = s->slow_start.run;

    run.restored_us =
        gateway_domain_restored_us(s->database->gateway, s->failure_domain);
    return slow_start_cold_until_us(&run, d->cold_start_us);
}

/* Returns how many statements the server can run, in thousandths per
 * second. */
static uint64_t
capacity_milli(const Server *s)
{
    return (uint64_t)MAX(s->slots, 1) * kSecondUs * 1000 /
           MAX(s->service_us, 1);
}

/* Returns what all instances may send to the server, in thousandths of a
 * request per second, SLOW_START_UNLIMITED if it is warm. */
static uint64_t
allowed_milli(const Server *s, uint64_t now_us)
{
    const DocumentDatabase *d = limited_database(s);

    if (d == NULL) {
        return SLOW_START_UNLIMITED;
    }
    if (slow_start_may_be_new(&s->slow_start.run, &s->slow_start.contact,
                              now_us, d->cold_start_us)) {
        return d->cold_milli_per_s;
    }
    return slow_start_allowed_milli(d->cold_milli_per_s, cold_until_us(s, d),
                                    now_us, capacity_milli(s));
}

/* Returns what this instance knows of who owns the server's connections. */
static SlowStartOwner
owner_of(const Server *s)
{
    const Gateway *g = s->database->gateway;

    return (SlowStartOwner){s->slow_start.owner_since_us, g->leased_since_us,
                            g->lease_until_us};
}

/* Tells whether this instance surely owns the server's connections. */
static gboolean
is_owner(const Server *s, uint64_t now_us)
{
    SlowStartOwner owner = owner_of(s);
    return slow_start_is_owner(&owner, now_us);
}

/* Returns the share of this instance in the server's requests. */
static SlowStartShare
share_of(const Server *s, uint64_t now_us, gboolean as_owner)
{
    const Gateway *g = s->database->gateway;
    uint64_t milli = allowed_milli(s, now_us);

    return as_owner ? slow_start_owner_share(milli)
                    : slow_start_direct_share(
                          milli, g->entry_count,
                          hash_text(g->id, hash_text(s->id, 3)));
}

/* Tells whether the server is cold or was so lately, so that it gets less than
 * others. */
gboolean
slow_start_gate_is_limited(const Server *s, uint64_t now_us)
{
    return allowed_milli(s, now_us) != SLOW_START_UNLIMITED;
}

/* Applies a record of the directory.  new_run: the record is the first one of
 * its run. */
void
slow_start_gate_record(Server *s, uint64_t now_us, const Sw__ServerRecord *r,
                       gboolean new_run)
{
    SlowStartRun *run = &s->slow_start.run;

    if (new_run) {
        *run = (SlowStartRun){.seen_us = now_us};
        s->slow_start.contact.unproven_us = 0;
    }
    if (r->cold_case != SW__SERVER_RECORD__COLD_COLD_LEFT_MS) {
        return;
    }
    run->reported = TRUE;
    run->reported_us = now_us;
    run->reported_until_us =
        r->cold_left_ms == 0 ? 0 : now_us + r->cold_left_ms * kMicrosPerMilli;
}

/* Records that a connection to the server broke or could not be opened, here
 * or at the server's owner: it may have restarted. */
void
slow_start_gate_broken(Server *s, uint64_t now_us)
{
    s->slow_start.run.broken_us = now_us;
}

/* Records that a connection is being opened beside so many open ones.  The
 * first one leads to a server that may have restarted unnoticed. */
void
slow_start_gate_opening(Server *s, uint64_t now_us, guint open)
{
    if (open == 0 && slow_start_opened(&s->slow_start.contact, now_us)) {
        /* An earlier request proves nothing for this connection. */
        s->slow_start.query = 0;
    }
}

/* Returns the control instance that was in contact last, NULL if there is
 * none. */
static const ControlContact *
control_to_ask(const Gateway *g)
{
    const ControlContact *best = NULL;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ControlContact *c = value;
        if (best == NULL || c->last_seen_us > best->last_seen_us) {
            best = c;
        }
    }
    return best;
}

/* Requests the next report of the server's run. */
static void
ask_for_report(Server *s)
{
    Gateway *g = s->database->gateway;
    const ControlContact *c = control_to_ask(g);
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__ServerQuery m = SW__SERVER_QUERY__INIT;

    if (c == NULL) {
        return;
    }
    s->slow_start.contact.asked = TRUE;
    s->slow_start.query = ++g->last_query;
    g->counters.server_queries++;
    m.server = s->id;
    m.born_ms = s->born_ms;
    m.sequence = s->sequence;
    frame.request_id = s->slow_start.query;
    frame.body_case = SW__FRAME__BODY_SERVER_QUERY;
    frame.server_query = &m;
    g->port.peer_send(g->port.ctx, c->address, &frame);
}

/* Records that the server accepted or answered on a connection that this
 * instance opened. */
void
slow_start_gate_contact(Server *s, uint64_t now_us)
{
    const DocumentDatabase *d = limited_database(s);

    if (slow_start_contact(&s->slow_start.contact, now_us) && d != NULL &&
        d->cold_start_us != 0) {
        ask_for_report(s);
    }
}

/* Handles the answer to a request for a report; its record was applied.
 * Answers to former requests, or of another run than the known one, are
 * ignored.  A server's runs follow one another, so a report of the known run
 * that was made after the connections were opened shows that they lead to
 * it. */
void
slow_start_gate_answered(Gateway *g, uint64_t query, const Sw__ServerRecord *r)
{
    Server *s = g_hash_table_lookup(g->servers, r->id);

    if (s == NULL || query == 0 || s->slow_start.query != query) {
        return;
    }
    s->slow_start.query = 0;
    if (r->born_ms == s->born_ms && !r->gone) {
        g->counters.runs_confirmed++;
        s->slow_start.contact.unproven_us = 0;
    }
}

/* Records whether this instance owns the server's connections by the present
 * list of entry instances. */
void
slow_start_gate_set_owner(Server *s, uint64_t now_us, gboolean owner)
{
    if (!owner) {
        s->slow_start.owner_since_us = 0;
    }
    else if (s->slow_start.owner_since_us == 0) {
        s->slow_start.owner_since_us = now_us;
    }
}

/* Logs that a server became cold, or warm. */
static void
log_change(const Server *s, uint64_t now_us, gboolean cold)
{
    const DocumentDatabase *d = limited_database(s);
    EventLine line;

    event_begin(&line, s->database->gateway->events, now_us,
                cold ? kEventServerCold : kEventServerWarm);
    event_text(&line, "server", s->id);
    event_text(&line, "database", s->database->name);
    if (cold) {
        uint64_t until_us = cold_until_us(s, d);
        event_number(&line, "reported", s->slow_start.run.reported);
        event_number(&line, "left_us",
                     until_us > now_us ? until_us - now_us : 0);
        event_number(&line, "limit_milli_per_s", d->cold_milli_per_s);
    }
    event_end(&line);
}

/* Updates one server. */
static void
server_tick(Server *s, uint64_t now_us)
{
    ServerSlowStart *state = &s->slow_start;
    gboolean cold = slow_start_gate_is_limited(s, now_us);
    SlowStartPermit lost_owner = {state->lost_owner, TRUE};
    SlowStartPermit lost_direct = {state->lost_direct, FALSE};

    state->now_us = now_us;
    if (s->failing_since_us != 0) {
        /* It may restart until it answers again. */
        slow_start_gate_broken(s, now_us);
    }
    state->lost_owner = 0;
    state->lost_direct = 0;
    slow_start_gate_return(s, now_us, &lost_owner);
    slow_start_gate_return(s, now_us, &lost_direct);
    if (cold != state->cold) {
        state->cold = cold;
        log_change(s, now_us, cold);
    }
}

/* Runs or refuses the held statements of sessions. */
static void
held_tick(Gateway *g, uint64_t now_us)
{
    GPtrArray *held = g_ptr_array_new();

    for (GList *l = g->active.head; l != NULL; l = l->next) {
        if (((Session *)l->data)->job.held) {
            g_ptr_array_add(held, l->data);
        }
    }
    for (guint i = 0; i < held->len; i++) {
        Session *s = g_ptr_array_index(held, i);
        if (!s->job.held || s->connection == NULL) {
            continue;
        }
        if (now_us >= s->job.deadline_us) {
            session_refuse(s, now_us, kRefusedCold, kSecondUs);
            continue;
        }
        slow_start_gate_run(s->connection, s, now_us);
    }
    g_ptr_array_unref(held);
}

/* Updates all servers and starts held statements.  Must run before other work
 * of the tick, so that they precede it. */
void
slow_start_gate_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        server_tick(value, now_us);
    }
    held_tick(g, now_us);
}

/* Returns the number of servers that get less than others because they are or
 * were cold. */
uint64_t
slow_start_gate_cold_servers(const Gateway *g)
{
    GHashTableIter it;
    void *value;
    uint64_t count = 0;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += ((Server *)value)->slow_start.cold;
    }
    return count;
}

/* ---- requests ---- */

/* Returns the time until a batch of cost requests may be sent to the server,
 * zero if it may be sent now, UINT64_MAX if not while the server is cold. */
uint64_t
slow_start_gate_wait_us(const Server *s, uint64_t now_us, gboolean pooled,
                        uint32_t cost)
{
    const ServerSlowStart *state = &s->slow_start;

    if (limited_database(s) == NULL) {
        return 0;
    }
    gboolean as_owner = pooled && is_owner(s, now_us);
    SlowStartShare share = share_of(s, now_us, as_owner);
    if (!share.limited) {
        return 0;
    }
    if (!as_owner && s->database->gateway->granted_sequence == 0) {
        /* The number of instances is not known before the first grant. */
        return kSecondUs;
    }
    uint64_t wait_us = slow_start_wait_us(
        as_owner ? &state->owner : &state->direct, now_us, &share, cost);
    SlowStartOwner owner = owner_of(s);
    return as_owner ? MAX(wait_us, slow_start_owner_pause_us(&owner, now_us))
                    : wait_us;
}

/* Records that a batch of cost requests is sent to the server. */
void
slow_start_gate_take(Server *s, uint64_t now_us, gboolean pooled,
                     uint32_t cost, SlowStartPermit *permit)
{
    ServerSlowStart *state = &s->slow_start;

    *permit = (SlowStartPermit){0};
    if (limited_database(s) == NULL) {
        return;
    }
    permit->cost = cost;
    permit->as_owner = pooled && is_owner(s, now_us);
    SlowStartShare share = share_of(s, now_us, permit->as_owner);
    slow_start_sent(permit->as_owner ? &state->owner : &state->direct, now_us,
                    &share, cost);
    state->cost_milli =
        (state->cost_milli * (kCostWeight - 1) + cost * 1000) / kCostWeight;
}

/* Records the answer to a batch, or the end of its connection. */
void
slow_start_gate_return(Server *s, uint64_t now_us, SlowStartPermit *permit)
{
    ServerSlowStart *state = &s->slow_start;

    if (permit->cost == 0) {
        return;
    }
    SlowStartShare share = share_of(s, now_us, permit->as_owner);
    slow_start_answered(permit->as_owner ? &state->owner : &state->direct,
                        now_us, &share, permit->cost);
    permit->cost = 0;
}

/* Records that a connection was closed behind a batch; the batch may have
 * arrived until now and counts as answered in the next tick. */
void
slow_start_gate_lost(Server *s, SlowStartPermit *permit)
{
    if (permit->as_owner) {
        s->slow_start.lost_owner += permit->cost;
    }
    else {
        s->slow_start.lost_direct += permit->cost;
    }
    permit->cost = 0;
}

/* ---- placement and waiting ---- */

/* Returns the time until a statement behind ahead others may be sent, zero
 * when the server is not limited.  The time is that of the last tick. */
uint64_t
slow_start_gate_queue_wait_us(const Server *s, uint64_t ahead, gboolean pooled)
{
    const ServerSlowStart *state = &s->slow_start;
    uint64_t now_us = state->now_us;
    SlowStartShare share;

    if (limited_database(s) == NULL) {
        return 0;
    }
    share = share_of(s, now_us, pooled && is_owner(s, now_us));
    if (!share.limited) {
        return 0;
    }
    uint64_t cost_milli = MAX(state->cost_milli, 1000);
    uint64_t wait_us = slow_start_gate_wait_us(s, now_us, pooled,
                                               (uint32_t)(cost_milli / 1000));
    return slow_start_queue_wait_us(&share, wait_us, ahead, cost_milli);
}

/* Adapts a placement candidate to the server's limit: it counts with a part of
 * its slots, and a direct connection with the wait for its share. */
void
slow_start_gate_weigh(const Server *s, uint64_t now_us, gboolean relayed,
                      PlacementCandidate *c)
{
    uint64_t milli = allowed_milli(s, now_us);

    if (milli == SLOW_START_UNLIMITED) {
        return;
    }
    c->open_statements = c->open_statements * 1000 /
                         slow_start_weight_milli(milli, capacity_milli(s));
    if (!relayed) {
        c->expected_queue_us +=
            MIN(slow_start_gate_wait_us(s, now_us, FALSE, 1),
                (uint64_t)kLongestWaitUs);
    }
}

/* Refuses a statement that only a cold server may run, over a direct
 * connection, if it cannot start in time.  Returns whether it did. */
gboolean
slow_start_gate_refuse(Session *s, const Server *server, uint64_t now_us)
{
    uint64_t ahead = 0;

    if (!slow_start_gate_is_limited(server, now_us) ||
        region_access_relays(s, server, now_us)) {
        return FALSE;
    }
    for (GList *l = s->database->waiting.head; l != NULL && l->data != s;
         l = l->next) {
        ahead++;
    }
    uint64_t wait_us = slow_start_gate_queue_wait_us(server, ahead, FALSE);
    if (now_us + wait_us <= s->job.deadline_us) {
        return FALSE;
    }
    session_refuse(s, now_us, kRefusedCold, wait_us);
    return TRUE;
}

/* Sends the session's open statement on a connection that it holds, or holds
 * the statement until the server's limit allows it: a transaction cannot
 * continue elsewhere.  The owner of a borrowed connection decides itself. */
void
slow_start_gate_run(Connection *c, Session *s, uint64_t now_us)
{
    if (c->relay == 0 &&
        slow_start_gate_wait_us(c->server, now_us, FALSE,
                                connection_commands(c, s)) != 0) {
        c->gateway->counters.cold_waits += !s->job.held;
        s->job.held = TRUE;
        s->job.sent = FALSE;
        return;
    }
    s->job.held = FALSE;
    connection_run(c, s, now_us);
}
