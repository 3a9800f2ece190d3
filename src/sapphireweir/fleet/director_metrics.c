#include "fleet/director_internal.h"

/* The metrics of a control instance in the text exposition format. */

/* Appends all counters, gauges and histograms to out. */
void
director_metrics_write(const Director *d, uint64_t now_us, GString *out)
{
    static const char *const names[kFailoverStageCount] = {
        [kStageSuspicion] = "failover_suspicion_us",
        [kStageProbing] = "failover_probing_us",
        [kStageClosing] = "failover_closing_us",
        [kStageChoosing] = "failover_choosing_us",
        [kStagePromotion] = "failover_promotion_us",
    };
    uint64_t last_index = consensus_last_index(d->consensus);
    uint64_t commit_index = consensus_commit_index(d->consensus);
    uint64_t longest_lag_us;
    uint32_t outdated = documents_outdated_count(d, now_us, &longest_lag_us);

    counter_write_text("leads", director_is_leader(d), out);
    counter_write_text("log_index", commit_index, out);
    counter_write_text("log_uncommitted",
                       last_index - MIN(commit_index, last_index), out);
    counter_write_text("configuration_version", d->document_version, out);
    counter_write_text("entries_outdated", outdated, out);
    counter_write_text("configuration_lag_us", longest_lag_us, out);
    counter_write_text("disk_full", consensus_no_room(d->consensus), out);
    counter_write_text("disk_full_total", consensus_suspensions(d->consensus),
                       out);
    counter_write_text("snapshots_postponed_total",
                       consensus_snapshots_postponed(d->consensus), out);
    counter_write_text("changes_refused_disk_full_total",
                       d->changes_without_room, out);
    counter_write_text("control_voters", consensus_voter_count(d->consensus),
                       out);
    counter_write_text("entries", g_hash_table_size(d->entries), out);
    counter_write_text("servers", g_hash_table_size(d->directory.servers),
                       out);
    counter_write_text("server_queries_total", d->queries_received, out);
    counter_write_text("server_queries_answered_total", d->queries_answered,
                       out);
    counter_write_text("server_records_sent_total", d->server_counters.records,
                       out);
    counter_write_text("server_reports_confirmed_total",
                       d->server_counters.confirmed, out);
    counter_write_text("directory_resends_total", d->server_counters.resends,
                       out);
    counter_write_text("evidence_requests_total", d->evidence_requests, out);
    counter_write_text("domains_evacuated", evacuations_count(&d->evacuations),
                       out);
    counter_write_text("evacuation_changes_total", d->evacuation_changes, out);
    counter_write_text("forwards_refused_total", d->forwards_refused, out);
    counter_write_text("changes_under_way", g_hash_table_size(d->changes),
                       out);
    counter_write_text("rate_tokens_granted_total", d->rate_counters.granted,
                       out);
    counter_write_text("rate_tokens_delayed_total", d->rate_counters.delayed,
                       out);
    counter_write_text("rate_tokens_returned_total", d->rate_counters.returned,
                       out);
    counter_write_text("rate_tokens_refused_total", d->rate_counters.refused,
                       out);
    counter_write_text("rate_usage_reports_total",
                       d->rate_counters.usage_reports, out);
    counter_write_text("rate_reserved_entries",
                       director_is_leader(d) ? d->reservations->len : 0, out);
    counter_write_text("rate_lent_reports_total",
                       d->rate_counters.lent_reports, out);
    counter_write_text("rate_share_bounds", d->share_bounds.count, out);
    counter_write_text("rate_share_bound_changes_total",
                       d->rate_counters.bound_changes, out);
    for (int i = 0; i < kFailoverStageCount; i++) {
        histogram_write_text(&d->stage_times[i], names[i], out);
    }
    histogram_write_text(&d->planned_times, "planned_change_us", out);
}
