#include <string.h>

#include "core/hash.h"
#include "fleet/evacuations.h"
#include "gateway/gateway_internal.h"
#include "policy/evacuation.h"

/* The evacuated failure domains as an entry instance knows them.  The lists
 * come with grants of any control instance, and the one with the highest
 * revision is kept, also while the instance is partitioned.  Before it knows a
 * list, the instance starts no work at any server. */

enum {
    kPermille = 1000,
    kSampleUs = 100000, /* interval between samples of the open statements */
    kBusyWeight = 8,    /* a sample has 1/8 of the smoothed value */
};

/* An evacuated failure domain. */
typedef struct {
    char *domain;
    EvacuationTimes times;
    gboolean ended; /* all work there was ended */
} EvacuatedDomain;

struct EvacuationView {
    uint64_t limit_us; /* see GatewayConfig.evacuate_us */
    gboolean known;
    uint64_t hash;
    uint64_t revision;
    GHashTable *domains;  /* name -> EvacuatedDomain, owned */
    GHashTable *restored; /* name -> uint64_t: time of the restore, owned */
    uint64_t sampled_us;  /* last sample of the open statements */
    /* Highest expected load of a database's remaining servers, in thousandths
     * of their slots, when a domain was last evacuated; zero: none is. */
    uint32_t load_permille;
};

static void
domain_free(void *data)
{
    EvacuatedDomain *e = data;
    g_free(e->domain);
    g_free(e);
}

/* Returns a view without a list.  Free it with evacuation_view_free. */
EvacuationView *
evacuation_view_new(uint64_t evacuate_us)
{
    EvacuationView *v = g_new0(EvacuationView, 1);

    v->limit_us = evacuate_us;
    v->domains =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, domain_free);
    v->restored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return v;
}

/* Frees a view. */
void
evacuation_view_free(EvacuationView *v)
{
    g_hash_table_destroy(v->restored);
    g_hash_table_destroy(v->domains);
    g_free(v);
}

/* Returns the hash of the list that is known, zero for none. */
uint64_t
evacuation_hash(const Gateway *g)
{
    return g->evacuation->hash;
}

/* Returns when this instance learned that a failure domain was restored, zero
 * if it has not learned of a restore since its start. */
uint64_t
gateway_domain_restored_us(const Gateway *g, const char *domain)
{
    const uint64_t *at_us =
        g_hash_table_lookup(g->evacuation->restored, domain);
    return at_us == NULL ? 0 : *at_us;
}

/* ---- use of servers ---- */

/* Returns the evacuation of a server's failure domain or NULL. */
static const EvacuatedDomain *
evacuation_of(const Server *s)
{
    const EvacuationView *v = s->database->gateway->evacuation;

    return g_hash_table_size(v->domains) == 0
               ? NULL
               : g_hash_table_lookup(v->domains, s->failure_domain);
}

/* Tells whether a server is in an evacuated failure domain. */
gboolean
evacuation_affects(const Server *s)
{
    return evacuation_of(s) != NULL;
}

/* Tells whether new work may start at a server, of this instance or of one
 * that borrows its connections. */
gboolean
evacuation_may_start(const Server *s, uint64_t now_us)
{
    const EvacuatedDomain *e = evacuation_of(s);

    if (!s->database->gateway->evacuation->known) {
        return FALSE;
    }
    return e == NULL ||
           evacuation_allows(&e->times, now_us,
                             g_strcmp0(s->id, s->database->primary) == 0);
}

/* Tells whether a statement for which no server is usable must be refused
 * because of an evacuation: it needs a primary in the domain that is not being
 * replaced, or each server of its database is in such a domain. */
gboolean
evacuation_refuses(const Session *s, uint64_t now_us)
{
    const Database *d = s->database;
    guint evacuated = 0;

    if (s->job.needs_primary) {
        const Server *primary =
            d->primary == NULL
                ? NULL
                : g_hash_table_lookup(s->gateway->servers, d->primary);
        return primary != NULL && !d->closing && !d->quiescing &&
               evacuation_affects(primary) &&
               !evacuation_may_start(primary, now_us);
    }
    for (guint i = 0; i < d->servers->len; i++) {
        const Server *server = g_ptr_array_index(d->servers, i);
        if (server->gone) {
            continue;
        }
        if (!evacuation_affects(server) ||
            evacuation_may_start(server, now_us)) {
            return FALSE;
        }
        evacuated++;
    }
    return evacuated > 0;
}

/* Tells whether the reads of a database are spread over its remaining servers
 * by their slots instead of preferring the nearest: a server of it is in an
 * evacuated domain, and its callers would all prefer the same other one. */
gboolean
evacuation_spreads(const Database *d)
{
    if (g_hash_table_size(d->gateway->evacuation->domains) == 0) {
        return FALSE;
    }
    for (guint i = 0; i < d->servers->len; i++) {
        if (evacuation_affects(g_ptr_array_index(d->servers, i))) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the server that a session's open statement prefers while the reads
 * of its database are spread, the same in each attempt; NULL for none.
 * Primaries are left to the work that only they can do. */
const Server *
evacuation_preferred(const Session *s)
{
    const Database *d = s->database;
    EvacuationServer *list = g_new(EvacuationServer, d->servers->len);

    for (guint i = 0; i < d->servers->len; i++) {
        const Server *server = g_ptr_array_index(d->servers, i);
        list[i] = (EvacuationServer){
            .slots = server->slots,
            .leaving = server->gone || server->draining ||
                       evacuation_affects(server) ||
                       g_strcmp0(server->id, d->primary) == 0};
    }
    int picked = evacuation_pick(
        list, d->servers->len,
        hash_number(s->job.arrived_us, hash_number(s->number, 1)));
    g_free(list);
    return picked == kEvacuationNoServer
               ? NULL
               : g_ptr_array_index(d->servers, (guint)picked);
}

/* ---- load ---- */

/* Samples how many statements of this instance are open at each server. */
static void
sample_load(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us - g->evacuation->sampled_us < kSampleUs) {
        return;
    }
    g->evacuation->sampled_us = now_us;
    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Server *s = value;
        s->busy_milli = (s->busy_milli * (kBusyWeight - 1) +
                         (uint64_t)s->open_statements * kPermille) /
                        kBusyWeight;
    }
}

/* Returns the expected utilisation of a database's servers outside the
 * evacuated domains, in thousandths of their slots.  Assumes that all entry
 * instances have as many open statements as this one. */
static uint32_t
database_load_permille(const Database *d)
{
    EvacuationServer *list = g_new0(EvacuationServer, d->servers->len + 1);

    for (guint i = 0; i < d->servers->len; i++) {
        const Server *s = g_ptr_array_index(d->servers, i);
        list[i] = (EvacuationServer){
            .slots = s->slots,
            .busy_milli = s->busy_milli * d->gateway->entry_count,
            .leaving = s->gone || evacuation_affects(s)};
    }
    uint32_t load = evacuation_load_permille(list, d->servers->len);
    g_free(list);
    return load;
}

/* Computes the load that an evacuation moves to the other domains, before it
 * moves, and logs each database whose remaining servers lack slots for it. */
static void
check_load(Gateway *g, uint64_t now_us)
{
    EvacuationView *v = g->evacuation;
    GHashTableIter it;
    void *value;
    EventLine line;

    v->load_permille = 0;
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Database *d = value;
        uint32_t load = evacuation_spreads(d) ? database_load_permille(d) : 0;
        v->load_permille = MAX(v->load_permille, load);
        if (load <= kPermille) {
            continue;
        }
        event_begin(&line, g->events, now_us, kEventEvacuation);
        event_text(&line, "action", "overload");
        event_text(&line, "database", d->name);
        event_number(&line, "load_permille", load);
        event_number(&line, "index", v->revision);
        event_end(&line);
    }
}

/* ---- the list ---- */

/* Logs a change of a failure domain's state at this instance. */
static void
log_domain(const Gateway *g, uint64_t now_us, const char *domain,
           const char *action)
{
    EventLine line;

    event_begin(&line, g->events, now_us, kEventEvacuation);
    event_text(&line, "domain", domain);
    event_text(&line, "action", action);
    event_number(&line, "index", g->evacuation->revision);
    event_end(&line);
}

/* Tells whether a message lists a failure domain. */
static gboolean
lists_domain(const Sw__EntryGrant *m, const char *domain)
{
    for (size_t i = 0; i < m->n_evacuated; i++) {
        if (strcmp(m->evacuated[i]->domain, domain) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Removes the domains that a message does not list any more. */
static void
remove_restored(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    EvacuationView *v = g->evacuation;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, v->domains);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EvacuatedDomain *e = value;
        if (lists_domain(m, e->domain)) {
            continue;
        }
        uint64_t *at_us = g_new(uint64_t, 1);
        *at_us = now_us;
        g_hash_table_replace(v->restored, g_strdup(e->domain), at_us);
        log_domain(g, now_us, e->domain, "restored");
        g_hash_table_iter_remove(&it);
    }
}

/* Adds the domains that a message lists.  One that is known already keeps its
 * times. */
static void
add_evacuated(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    EvacuationView *v = g->evacuation;

    for (size_t i = 0; i < m->n_evacuated; i++) {
        const Sw__EvacuatedDomain *r = m->evacuated[i];
        if (g_hash_table_contains(v->domains, r->domain)) {
            continue;
        }
        EvacuatedDomain *e = g_new0(EvacuatedDomain, 1);
        e->domain = g_strdup(r->domain);
        e->times = evacuation_times(now_us, r->age_us, v->limit_us);
        g_hash_table_insert(v->domains, e->domain, e);
        log_domain(g, now_us, e->domain, "evacuated");
    }
}

/* Adopts the list of a grant if it is the first one or has a higher revision
 * than the known one.  The hash of a list that the sender left out does not
 * match; that happens when the grant was meant for an earlier run of this
 * instance.  A leader of an earlier release, which sends no hash, cannot have
 * evacuated anything. */
void
evacuation_handle_grant(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    EvacuationView *v = g->evacuation;

    if (m->evacuations_hash == 0) {
        v->known |= m->lease_us != 0;
        return;
    }
    if (m->evacuations_hash !=
            evacuations_list_hash(m->evacuated, m->n_evacuated,
                                  m->evacuations_revision) ||
        (v->hash != 0 && m->evacuations_revision <= v->revision)) {
        return;
    }
    v->known = TRUE;
    v->hash = m->evacuations_hash;
    v->revision = m->evacuations_revision;
    g->counters.evacuation_lists++;
    remove_restored(g, now_us, m);
    add_evacuated(g, now_us, m);
    check_load(g, now_us);
    g->report_due_us = MIN(g->report_due_us, now_us);
}

/* ---- time ---- */

/* Ends all work at a server and closes all connections to it.  A statement
 * that was sent and not answered is in doubt if it may have changed data. */
static void
end_work(Gateway *g, uint64_t now_us, Server *s)
{
    g->counters.evacuation_closed += s->connections->len + s->relays->len;
    gateway_server_close_all(s, now_us);
    serverpool_close_all(s->pool, now_us);
}

/* Ends the work in each domain whose time for open work is over, in each tick:
 * a connection may have been opened for work that has not started. */
void
evacuation_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    sample_load(g, now_us);
    if (g_hash_table_size(g->evacuation->domains) == 0) {
        return;
    }
    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EvacuatedDomain *e = evacuation_of(value);
        if (e != NULL && now_us >= e->times.end_us) {
            end_work(g, now_us, value);
        }
    }
    g_hash_table_iter_init(&it, g->evacuation->domains);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EvacuatedDomain *e = value;
        if (!e->ended && now_us >= e->times.end_us) {
            e->ended = TRUE;
            log_domain(g, now_us, e->domain, "work ended");
        }
    }
}

/* ---- metrics ---- */

/* Appends the counters and gauges of evacuations to out. */
void
evacuation_metrics_write(const Gateway *g, GString *out)
{
    const EvacuationView *v = g->evacuation;

    counter_write_text("domains_evacuated", g_hash_table_size(v->domains),
                       out);
    counter_write_text("evacuation_known", v->known, out);
    counter_write_text("evacuation_revision", v->revision, out);
    counter_write_text("evacuation_lists_total", g->counters.evacuation_lists,
                       out);
    counter_write_text("evacuation_closed_total",
                       g->counters.evacuation_closed, out);
    counter_write_text("evacuation_load_permille", v->load_permille, out);
}
