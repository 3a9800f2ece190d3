#include "gateway/crossing_gate.h"
#include "gateway/slow_start_gate.h"

/* Writes the counters of an entry instance in the metrics text format. */

static uint64_t
waiting_statements(const Gateway *g)
{
    GHashTableIter it;
    void *value;
    uint64_t count = 0;

    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += ((Database *)value)->waiting.length;
    }
    return count;
}

static uint64_t
own_connections(const Gateway *g)
{
    GHashTableIter it;
    void *value;
    uint64_t count = 0;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += ((Server *)value)->connections->len;
    }
    return count;
}

/* Appends all counters and histograms to out.  None has a label whose values
 * grow with the number of teams, databases or servers. */
void
gateway_metrics_write(const Gateway *g, GString *out)
{
    const GatewayCounters *n = &g->counters;
    const RatePoolCounters *r = rate_pool_counters(g->rate_pool);
    const struct {
        const char *name;
        uint64_t value;
    } numbers[] = {
        {"answered_total", n->answered},
        {"refused_total", n->refused},
        {"refused_over_rate_total", n->refusals[kRefusedOverRate]},
        {"refused_queue_total", n->refusals[kRefusedQueue]},
        {"refused_no_server_total", n->refusals[kRefusedNoServer]},
        {"refused_attempts_total", n->refusals[kRefusedAttempts]},
        {"refused_deadline_total", n->refusals[kRefusedDeadline]},
        {"refused_unconfirmed_total", n->refusals[kRefusedUnconfirmed]},
        {"refused_draining_total", n->refusals[kRefusedDraining]},
        {"refused_region_total", n->refusals[kRefusedRegion]},
        {"refused_cold_total", n->refusals[kRefusedCold]},
        {"cold_waits_total", n->cold_waits},
        {"server_queries_total", n->server_queries},
        {"server_runs_confirmed_total", n->runs_confirmed},
        {"servers_cold", slow_start_gate_cold_servers(g)},
        {"refused_evacuated_total", n->refusals[kRefusedEvacuated]},
        {"refused_level_total", n->refusals[kRefusedLevel]},
        {"refused_setup_total", n->refusals[kRefusedSetup]},
        {"in_doubt_total", n->in_doubt},
        {"timeouts_total", n->timeouts},
        {"leases_lost_total", n->leases_lost},
        {"replica_reads_total", n->replica_reads},
        {"primary_reads_total", n->primary_reads},
        {"lagging_total", n->lagging},
        {"relayed_total", n->relayed},
        {"session_setups_total", n->session_setups},
        {"session_setups_rejected_total", n->session_setups_rejected},
        {"given_back_total", n->relays_rejected},
        {"rate_tokens_delayed_total", n->tokens_delayed},
        {"rate_tokens_returned_total", n->tokens_returned},
        {"rate_tokens_lost_total", n->tokens_lost},
        {"owner_kept_late_total", n->relays_kept_late},
        {"connections_opened_total", n->connections_opened},
        {"connections_ahead_total", n->connections_ahead},
        {"connections_ahead_used_total", n->connections_ahead_used},
        {"connections_ahead_unused_total", n->connections_ahead_unused},
        {"servers", g_hash_table_size(g->servers)},
        {"connections_lost_total", n->connections_lost},
        {"connections", own_connections(g)},
        {"connections_borrowed", g_hash_table_size(g->relays)},
        {"connections_lent", g_hash_table_size(g->pooled_jobs)},
        {"sessions", g->sessions.length},
        {"statements_waiting", waiting_statements(g)},
        {"leased", g->leased},
        {"configuration_version", gateway_version(g)},
        {"configuration_applied_total", n->documents_applied},
        {"configuration_unusable_total", n->documents_unusable},
        {"server_records_older_total", n->server_records_older},
        {"configuration_repeated_total", n->documents_repeated},
        {"rate_pool_begun_total", r->begun},
        {"rate_pool_taken_total", r->taken},
        {"rate_pool_tokens_granted_total", r->tokens_granted},
        {"rate_pool_tokens_received_total", r->tokens_received},
        {"rate_pool_shares_lent_total", r->shares_lent},
        {"rate_pool_requests_total", r->requests},
        {"rate_pool_timeouts_total", r->timeouts},
        {"rate_pool_ignored_total", r->ignored},
        {"rate_pool_dropped_total", r->dropped},
    };
    const struct {
        const char *name;
        const Histogram *histogram;
    } times[] = {
        {"statement_time_us", &n->operation},
        {"refusal_time_us", &n->refusal},
        {"queue_time_us", &n->queue},
        {"service_time_us", &n->service},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        counter_write_text(numbers[i].name, numbers[i].value, out);
    }
    evacuation_metrics_write(g, out);
    serverpool_metrics_write(g, out);
    crossing_gate_metrics_write(g, out);
    for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
        histogram_write_text(times[i].histogram, times[i].name, out);
    }
}
