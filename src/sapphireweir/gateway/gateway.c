#include "gateway/slow_start_gate.h"

#include <string.h>

/* The state of an entry instance, its timers and its readiness.  The right to
 * use the primaries is a short lease granted by the control leader; it counts
 * from when the report that the grant answers was sent. */

enum {
    kReportEveryUs = 250000,
    /* Limits without a message from a control instance and without an answer
     * from a server of another failure domain. */
    kContactLostUs = 700000,
    kForeignLostUs = 700000,
    kStartupUs = 3000000, /* never counts as partitioned so soon after start */
    /* The use of primaries ends earlier than the lease by this, for statements
     * in flight. */
    kLeaseGuardUs = 40000,
    /* Fewer instances have shares large enough to be used alone.  With three
     * of six instances cut off, pooling refused twice as much. */
    kRatePoolMinEntries = 24,
};

static void
server_free(void *data)
{
    Server *s = data;
    for (guint i = s->connections->len; i > 0; i--) {
        connection_close(g_ptr_array_index(s->connections, i - 1));
    }
    while (s->relays->len > 0) {
        connection_close(g_ptr_array_index(s->relays, 0));
    }
    serverpool_free(s->pool);
    admission_view_clear(&s->admission);
    g_ptr_array_unref(s->relays);
    g_ptr_array_unref(s->connections);
    g_free(s->owner);
    g_free(s->id);
    g_free(s->address);
    g_free(s->failure_domain);
    g_free(s);
}

static void
database_free(void *data)
{
    Database *d = data;
    g_ptr_array_unref(d->servers);
    g_queue_clear(&d->waiting);
    g_free(d->primary);
    g_free(d->name);
    g_free(d);
}

static void
contact_free(void *data)
{
    ControlContact *c = data;
    g_free(c->address);
    g_free(c);
}

/* Creates a gateway without callers.  The strings of config are copied; free
 * the result with gateway_free. */
Gateway *
gateway_new(const GatewayConfig *config, const GatewayPort *port)
{
    Gateway *g = g_new0(Gateway, 1);

    g->id = g_strdup(config->id);
    g->failure_domain = g_strdup(config->failure_domain);
    g->region = g_strdup(config->region);
    g->domain_regions = config->domain_regions == NULL
                            ? NULL
                            : g_hash_table_ref(config->domain_regions);
    g->incarnation = config->incarnation;
    /* An owner must not confuse relay numbers with those of an earlier run. */
    g->next_relay = config->incarnation;
    g->max_unconfirmed_us = config->max_unconfirmed_us;
    g->server_drain_us = config->server_drain_us;
    g->evacuation = evacuation_view_new(config->evacuate_us);
    g->link_bytes_per_s = config->link_bytes_per_s;
    g->cross_domain_us_per_kb = config->cross_domain_us_per_kb;
    g->route_bytes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->decode = config->decode;
    g->events = config->events;
    g->port = *port;
    g->databases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, database_free);
    g->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, server_free);
    g->controls =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, contact_free);
    g->rates =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_rate_free);
    g->rate_pool = rate_pool_new(g->id, g->incarnation, &g->port, g->events);
    rate_pool_set_min_entries(g->rate_pool,
                              config->rate_pool_min_entries == 0
                                  ? kRatePoolMinEntries
                                  : config->rate_pool_min_entries);
    g->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                      owner_contact_free);
    g->relays = g_hash_table_new(g_int64_hash, g_int64_equal);
    g->pooled_jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pooled_job_free);
    g->teams_used =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->closed = g_ptr_array_new_with_free_func(connection_free);
    g_queue_init(&g->sessions);
    g_queue_init(&g->active);
    g->entry_count = 1;
    return g;
}

/* Frees the gateway, its open sessions and its connections. */
void
gateway_free(Gateway *g)
{
    while (g->sessions.length > 0) {
        session_close(g_queue_peek_head(&g->sessions), 0);
    }
    g_hash_table_destroy(g->servers);
    g_hash_table_destroy(g->pooled_jobs);
    g_hash_table_destroy(g->relays);
    g_hash_table_destroy(g->owners);
    entry_list_free(g->entries);
    g_hash_table_destroy(g->databases);
    g_hash_table_destroy(g->controls);
    g_hash_table_destroy(g->rates);
    g_hash_table_destroy(g->retry_budgets);
    g_hash_table_destroy(g->route_bytes);
    g_hash_table_destroy(g->teams_used);
    rate_pool_free(g->rate_pool);
    g_ptr_array_unref(g->closed);
    document_unref(g->document);
    document_receiver_clear(&g->receiver);
    g_clear_pointer(&g->document_text, g_bytes_unref);
    evacuation_view_free(g->evacuation);
    g_free(g->evidence_leader);
    g_free(g->leader);
    g_clear_pointer(&g->domain_regions, g_hash_table_unref);
    g_free(g->region);
    g_free(g->failure_domain);
    g_free(g->id);
    g_free(g);
}

/* Returns the counters since the start, owned by the gateway. */
const GatewayCounters *
gateway_counters(const Gateway *g)
{
    return &g->counters;
}

/* Returns the version of the configuration in force, zero for none. */
uint64_t
gateway_version(const Gateway *g)
{
    return g->document == NULL ? 0 : g->document->version;
}

/* Returns the database of that name, creating it if needed. */
Database *
gateway_database(Gateway *g, const char *name)
{
    Database *d = g_hash_table_lookup(g->databases, name);
    if (d == NULL) {
        d = g_new0(Database, 1);
        d->name = g_strdup(name);
        d->gateway = g;
        d->servers = g_ptr_array_new();
        g_queue_init(&d->waiting);
        g_hash_table_insert(g->databases, d->name, d);
    }
    return d;
}

/* Returns the primary of a database, or NULL if it is unknown or this instance
 * has no right to use it now. */
Server *
database_primary(const Database *d, uint64_t now_us)
{
    const Gateway *g = d->gateway;
    if (d->primary == NULL || d->closing ||
        now_us + kLeaseGuardUs >= g->lease_until_us) {
        return NULL;
    }
    Server *s = g_hash_table_lookup(g->servers, d->primary);
    return s == NULL || s->gone || s->database != d ? NULL : s;
}

/* Adds a control instance, given by its peer address, that reports are sent
 * to. */
void
gateway_control_add(Gateway *g, uint64_t now_us, const char *address)
{
    if (g_hash_table_contains(g->controls, address)) {
        return;
    }
    ControlContact *c = g_new0(ControlContact, 1);
    c->address = g_strdup(address);
    c->added_us = now_us;
    g_hash_table_insert(g->controls, c->address, c);
    g->port.add_peer(g->port.ctx, address);
}

/* ---- time and readiness ---- */

/* Tells whether this instance is partitioned from most of the system: fewer
 * than half of the control instances are in contact, and no backend server of
 * another failure domain answers.  The second condition excludes the case that
 * the control instances are merely down. */
static gboolean
is_partitioned(const Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    guint reached = 0;
    guint known = g_hash_table_size(g->controls);

    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ControlContact *c = value;
        reached +=
            c->last_seen_us != 0 && now_us - c->last_seen_us < kContactLostUs;
    }
    return reached * 2 < known && now_us - g->started_us > kStartupUs &&
           now_us - g->foreign_answer_us > kForeignLostUs;
}

/* Logs that the lease was lost or regained. */
static void
log_lease(const Gateway *g, uint64_t now_us, EventKind kind)
{
    EventLine line;

    event_begin(&line, g->events, now_us, kind);
    event_text(&line, "leader", g->leader);
    event_number(&line, "granted_sequence", g->granted_sequence);
    event_number(&line, "sequence", g->sequence);
    event_end(&line);
}

/* Ends the use of all primaries when the lease expires. */
static void
lease_check_expired(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us + kLeaseGuardUs < g->lease_until_us) {
        return;
    }
    if (g->leased) {
        g->leased = FALSE;
        g->counters.leases_lost++;
        log_lease(g, now_us, kEventLeaseLost);
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        if (d->unusable_since_us == 0) {
            d->unusable_since_us = now_us;
        }
        gateway_primary_release(d, now_us);
    }
}

/* Marks the primaries as usable again while a lease is held. */
static void
lease_check_regained(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us + kLeaseGuardUs >= g->lease_until_us) {
        return;
    }
    if (!g->leased) {
        g->leased = TRUE;
        g->leased_since_us = now_us;
        log_lease(g, now_us, kEventLeaseRegained);
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        if (!d->closing) {
            d->unusable_since_us = 0;
        }
    }
}

/* Triggers a report as soon as no work is open at a quiescing primary. */
static void
quiesce_check(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        gboolean idle = d->quiescing && gateway_open_work(d) == 0;
        if (idle && !d->quiesced) {
            g->report_due_us = now_us;
        }
        d->quiesced = idle;
    }
}

/* Updates whether this instance is partitioned, and logs a change. */
static void
partition_check(Gateway *g, uint64_t now_us)
{
    gboolean partitioned = is_partitioned(g, now_us);
    EventLine line;

    if (partitioned == (g->partitioned_since_us != 0)) {
        return;
    }
    g->partitioned_since_us = partitioned ? now_us : 0;
    event_begin(&line, g->events, now_us,
                partitioned ? kEventPartitioned : kEventPartitionHealed);
    event_number(&line, "foreign_answer_ago_us",
                 now_us - g->foreign_answer_us);
    event_number(&line, "controls", g_hash_table_size(g->controls));
    event_end(&line);
}

/* Handles timeouts and sends periodic reports.  Must be called every few tens
 * of milliseconds. */
void
gateway_tick(Gateway *g, uint64_t now_us)
{
    if (g->started_us == 0) {
        g->started_us = now_us;
        g->foreign_answer_us = now_us;
    }
    g_ptr_array_set_size(g->closed, 0);
    lease_check_expired(g, now_us);
    lease_check_regained(g, now_us);
    rate_pool_tick(g->rate_pool, now_us, g->granted_report_us);
    team_rates_tick(g, now_us);
    relay_tick(g, now_us);
    slow_start_gate_tick(g, now_us);
    evacuation_tick(g, now_us);
    dispatch_tick(g, now_us);
    serverpool_warmup_tick(g, now_us);
    session_tick(g, now_us);
    servers_tick_gone(g, now_us);
    quiesce_check(g, now_us);
    if (now_us >= g->report_due_us) {
        g->report_due_us = now_us + kReportEveryUs;
        gateway_report(g, now_us);
    }
    partition_check(g, now_us);
}

/* Handles a new link to another instance.  Without a lease, a report goes to
 * the control instances at the next tick. */
void
gateway_peer_up(Gateway *g, uint64_t now_us, const char *peer)
{
    if (!g->leased && g_hash_table_contains(g->controls, peer)) {
        g->report_due_us = now_us;
    }
}

/* Handles the loss of a link to another instance; messages sent on it may be
 * lost. */
void
gateway_peer_down(Gateway *g, uint64_t now_us, const char *peer)
{
    relay_owner_lost(g, now_us, peer);
    serverpool_borrower_lost(g, now_us, peer);
}

/* Answers a probe of the load balancer: returns whether callers should be sent
 * to this instance. */
gboolean
gateway_probe(Gateway *g)
{
    gboolean ready = g->document != NULL && g->drain_started_us == 0 &&
                     g->partitioned_since_us == 0;

    g->unready_probe_count = ready ? 0 : g->unready_probe_count + 1;
    return ready;
}

/* Begins a planned shutdown.  Probes report this instance as not ready, open
 * transactions may run for a part of grace_us, and idle sessions are closed
 * once the load balancer sends no new callers. */
void
gateway_drain(Gateway *g, uint64_t now_us, uint64_t grace_us)
{
    if (g->drain_started_us == 0) {
        g->drain_started_us = now_us;
        g->drain_grace_us = grace_us;
    }
}
