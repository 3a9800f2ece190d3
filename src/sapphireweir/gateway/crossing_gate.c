#include "gateway/crossing_gate.h"

#include <string.h>

/* Carries out what policy/crossing.c decides about statements that more than
 * one server may run.  Without priorities the lowest cost decides, as
 * admission levels and loads are not reported then. */

enum {
    kReportValidUs = 1000000, /* of a load, as in policy/admission_view.c */
    kBytesPerKb = 1000,
    kFrameBytes = 200, /* of a request and its answer, without their texts */
    kBytesWeight = 8,  /* the newest value has 1/8 of the smoothed size */
    /* Part of the wait limit that the first attempt may wait at an owner (see
     * relay.c): from there on, the price must not keep work at home. */
    kPriceWaitPercent = 25,
};

/* Tells whether a server is in another failure domain. */
static gboolean
is_foreign(const Gateway *g, const Server *server)
{
    return strcmp(server->failure_domain, g->failure_domain) != 0;
}

/* Returns what the bytes of the open statement cost between domains. */
static uint64_t
price_us(const Session *s)
{
    const Gateway *g = s->gateway;

    if (g->cross_domain_us_per_kb == 0) {
        return 0;
    }
    const uint64_t *bytes = g_hash_table_lookup(g->route_bytes, s->host);
    return g->cross_domain_us_per_kb *
           (bytes == NULL ? (uint64_t)kBytesPerKb : *bytes) / kBytesPerKb;
}

/* Returns the time since the oldest statement was sent to the owner of a
 * server that waits there for a connection as the open one would, zero if
 * there is none.  Less urgent statements wait longer, those of a transaction
 * that has begun do not wait, and a report contains those sent before. */
static uint64_t
unanswered_us(const Session *s, const Server *server, uint64_t now_us)
{
    uint64_t oldest_us = now_us;

    if (server->open_statements == 0) {
        return 0;
    }
    for (guint i = 0; i < server->relays->len; i++) {
        const Connection *c = g_ptr_array_index(server->relays, i);
        if (c->awaiting && c->session != NULL && !c->session->begun &&
            c->sent_us > server->owner_wait_updated_us &&
            dispatch_level(c->session) <= dispatch_level(s)) {
            oldest_us = MIN(oldest_us, c->sent_us);
        }
    }
    return now_us - oldest_us;
}

/* Sets the round-trip time, price and load of a candidate. */
void
crossing_gate_fill(const Session *s, const Server *server, uint64_t now_us,
                   gboolean relayed, PlacementCandidate *c)
{
    const Gateway *g = s->gateway;

    c->failing = server->failing_since_us != 0;
    if (!c->same_domain) {
        c->link_us = evacuation_spreads(s->database)
                         ? (uint64_t)kLinkTimeDefaultUs
                     : relayed                ? relay_link_us(server, now_us)
                     : server->service_direct ? 0
                                              : (uint64_t)kLinkTimeDefaultUs;
        c->price_us = is_foreign(g, server) ? price_us(s) : 0;
    }
    c->report_age_us = now_us - server->owner_wait_updated_us;
    c->reported = relayed && g->prioritized &&
                  server->owner_wait_updated_us != 0 &&
                  c->report_age_us < kReportValidUs;
    if (c->reported) {
        c->admits_all = server->admission.admitted == 0 ||
                        server->admission.admitted >= kAdmissionAll;
        c->reported_wait_us = admission_view_reported_wait_us(
            &server->admission, now_us, dispatch_level(s));
        c->unanswered_us = unanswered_us(s, server, now_us);
        c->drain_milli_per_s = server->drain_milli_per_s;
        c->shed_milli_per_s = server->shed_milli_per_s;
    }
}

/* Tells whether a server of the own domain may serve the open statement. */
static gboolean
home_may_serve(const Session *s, const PlacementCandidate *candidates,
               size_t count)
{
    const GPtrArray *servers = s->database->servers;

    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable &&
            !is_foreign(s->gateway, g_ptr_array_index(servers, i))) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the index of the candidate for the open statement, or
 * kPlacementNone, and records the decision in the job. */
int
crossing_gate_choose(Session *s, uint64_t now_us,
                     const PlacementCandidate *candidates, size_t count)
{
    CrossingDecision *decision = &s->job.crossing;
    *decision = (CrossingDecision){.reason = kCrossingNotBetter};
    CrossingWork work = {
        .level = dispatch_level(s),
        .limit_us = dispatch_max_wait_us(s) * kPriceWaitPercent / 100,
        .random = dispatch_random(s),
    };

    if (s->job.needs_primary || !s->gateway->prioritized ||
        evacuation_spreads(s->database)) {
        decision->reason = s->job.needs_primary ? kCrossingOnlyServer
                           : home_may_serve(s, candidates, count)
                               ? kCrossingWait
                               : kCrossingNoServer;
        return s->gateway->prioritized
                   ? placement_choose_spread(candidates, count, work.random)
                   : placement_choose(candidates, count);
    }
    int chosen = crossing_choose(&s->database->crossing, now_us, candidates,
                                 count, &work, decision);
    if (decision->ask != kPlacementNone) {
        relay_ask_load(
            s, g_ptr_array_index(s->database->servers, (guint)decision->ask),
            now_us);
    }
    return chosen;
}

/* Records that the open statement is sent to a server, as the first one of its
 * session or transaction there. */
void
crossing_gate_started(Session *s, const Server *server)
{
    Gateway *g = s->gateway;
    CrossingDecision *decision = &s->job.crossing;

    decision->crossed = is_foreign(g, server);
    s->job.crossing_decided = TRUE;
    if (decision->crossed) {
        if (decision->reason < kCrossingWait) {
            decision->reason = kCrossingWait;
        }
        g->counters.crossed[decision->reason]++;
        return;
    }
    if (decision->reason >= kCrossingWait) {
        decision->reason = kCrossingNotBetter;
    }
    g->counters.kept_home[decision->reason]++;
}

/* Adds the size of the open statement and its answer to that of its route,
 * which only a price needs. */
void
crossing_gate_observe(const Session *s, const ServerAnswer *a)
{
    const Gateway *g = s->gateway;

    if (g->cross_domain_us_per_kb == 0 || s->job.text == NULL) {
        return;
    }
    uint64_t size = kFrameBytes + strlen(s->job.text) + a->rows_bytes;
    uint64_t *bytes = g_hash_table_lookup(g->route_bytes, s->host);
    if (bytes == NULL) {
        bytes = g_new(uint64_t, 1);
        *bytes = size;
        g_hash_table_insert(g->route_bytes, g_strdup(s->host), bytes);
        return;
    }
    *bytes = (*bytes * (kBytesWeight - 1) + size) / kBytesWeight;
}

/* Adds to a log line whether the statement crossed, why, and the expected
 * times at home and elsewhere. */
void
crossing_gate_log(const Session *s, EventLine *line)
{
    const CrossingDecision *decision = &s->job.crossing;

    if (!s->job.crossing_decided) {
        return;
    }
    event_number(line, "crossed", decision->crossed);
    event_text(line, "crossing", crossing_reason_name(decision->reason));
    event_number(line, "here_us", decision->here_us);
    event_number(line, "there_us", decision->there_us);
}

/* Returns the longest round-trip time to an owner, as each was measured last.
 */
static uint64_t
slowest_link_us(const Gateway *g)
{
    GHashTableIter it;
    void *value;
    uint64_t slowest_us = 0;

    g_hash_table_iter_init(&it, g->owners);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const OwnerContact *o = value;
        if (o->link.updated_us != 0) {
            slowest_us =
                MAX(slowest_us, link_time_us(&o->link, o->link.updated_us));
        }
    }
    return slowest_us;
}

/* Appends the counters of statements that crossed, or stayed although another
 * domain was expected to be faster. */
void
crossing_gate_metrics_write(const Gateway *g, GString *out)
{
    counter_write_text("owner_link_slowest_us", slowest_link_us(g), out);
    counter_write_text("loads_asked_total", g->counters.loads_asked, out);
    for (uint32_t i = kCrossingHysteresis; i < kCrossingReasons; i++) {
        gboolean goes = i >= kCrossingWait;
        char name[64];
        g_snprintf(name, sizeof(name), "%s{reason=\"%s\"}",
                   goes ? "crossed_total" : "kept_home_total",
                   crossing_reason_name((CrossingReason)i));
        counter_write_text(
            name, goes ? g->counters.crossed[i] : g->counters.kept_home[i],
            out);
    }
}
