#include "fleet/director_internal.h"

/* The counters of a control instance in the text format of metrics. */

static void
write_number(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "sapphireweir_%s %" G_GUINT64_FORMAT "\n",
                           name, value);
}

/* Appends all numbers and histograms. */
void
director_metrics_write(const Director *d, GString *out)
{
    static const char *const parts[kGapParts] = {
        [kGapSuspicion] = "failover_suspicion_us",
        [kGapProbing] = "failover_probing_us",
        [kGapClosing] = "failover_closing_us",
        [kGapChoosing] = "failover_choosing_us",
        [kGapPromotion] = "failover_promotion_us",
    };
    uint64_t last = consensus_last_index(d->consensus);
    uint64_t committed = consensus_commit_index(d->consensus);

    write_number(out, "leads", director_leads(d));
    write_number(out, "log_index", committed);
    write_number(out, "log_uncommitted", last - MIN(committed, last));
    write_number(out, "configuration_version", d->document_version);
    write_number(out, "control_voters", consensus_voter_count(d->consensus));
    write_number(out, "entries", g_hash_table_size(d->entries));
    write_number(out, "servers", g_hash_table_size(d->directory.servers));
    write_number(out, "changes_under_way", g_hash_table_size(d->changes));
    for (int i = 0; i < kGapParts; i++) {
        histogram_write_text(&d->gaps[i], parts[i], out);
    }
    histogram_write_text(&d->planned, "planned_change_us", out);
}
