#include <string.h>

#include "gateway/gateway_internal.h"

/* Reports of an entry instance to the control instances: failures and answers
 * of primaries, the demand of its teams, and the versions that it has. */

enum {
    /* A primary is reported as answering for this long after an answer. */
    kAnsweredRecentlyUs = 700000,
    /* A failure is reported for this long after the last attempt: a connect
     * timeout, a pause and another report. */
    kFailureReportedUs = 900000,
    /* A leader counts as known for this long after the report that its last
     * grant answers: two report intervals and an answer. */
    kLeaderContactUs = 600000,
};

/* Returns how many connections to a database's primary are in use: those of
 * this instance that are bound to a session, and all borrowed ones. */
uint32_t
gateway_open_work(const Database *d)
{
    const Server *s =
        d->primary == NULL
            ? NULL
            : g_hash_table_lookup(d->gateway->servers, d->primary);
    uint32_t open = 0;

    for (guint i = 0; s != NULL && i < s->connections->len; i++) {
        const Connection *c = g_ptr_array_index(s->connections, i);
        open += c->state == kConnectionBound;
    }
    return s == NULL ? 0 : open + s->relays->len;
}

/* Fills in what this instance observed of a database's primary. */
static void
evidence_fill(const Database *d, uint64_t now_us, Sw__PrimaryEvidence *e)
{
    const Gateway *g = d->gateway;
    const Server *s = d->primary == NULL
                          ? NULL
                          : g_hash_table_lookup(g->servers, d->primary);

    sw__primary_evidence__init(e);
    e->database = d->name;
    e->primary = d->primary == NULL ? (char *)"" : d->primary;
    e->epoch = d->epoch;
    e->released_epoch = d->closing ? d->released_epoch : 0;
    e->open_work = gateway_open_work(d);
    e->acknowledged_term = d->acknowledged.term;
    e->acknowledged_number = d->acknowledged.number;
    if (s == NULL) {
        return;
    }
    if (s->failing_since_us != 0 &&
        now_us - s->last_failure_us < kFailureReportedUs) {
        e->failing_us = now_us - s->failing_since_us;
    }
    if (s->last_answer_us != 0 &&
        now_us - s->last_answer_us < kAnsweredRecentlyUs) {
        e->answered = TRUE;
    }
}

/* Sends the full report to the control leader and a short one, which serves as
 * a heartbeat, to the other control instances.  While no leader is known, all
 * of them get the full report. */
static void
report_send(Gateway *g, uint64_t now_us, Sw__EntryReport *report)
{
    GHashTableIter it;
    void *value;
    Sw__Frame frame = SW__FRAME__INIT;
    size_t evidence = report->n_evidence;
    size_t demand = report->n_demand;
    gboolean leader_known =
        g->leader != NULL && now_us - g->granted_report_us < kLeaderContactUs;

    frame.body_case = SW__FRAME__BODY_ENTRY_REPORT;
    frame.entry_report = report;
    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ControlContact *c = value;
        report->directory_revision = c->revision;
        report->directory_run = c->run;
        gboolean full = !leader_known || strcmp(c->address, g->leader) == 0;
        report->n_evidence = full ? evidence : 0;
        report->n_demand = full ? demand : 0;
        g->port.peer_send(g->port.ctx, c->address, &frame);
    }
}

/* Sends a report to every control instance, which also requests a lease. */
void
gateway_report(Gateway *g, uint64_t now_us)
{
    guint databases = g_hash_table_size(g->databases);
    Sw__PrimaryEvidence *evidence = g_new0(Sw__PrimaryEvidence, databases + 1);
    Sw__TeamDemand *demands =
        g_new0(Sw__TeamDemand, g_hash_table_size(g->rates) + 1);
    Sw__EntryReport report = SW__ENTRY_REPORT__INIT;
    GPtrArray *evidence_list = g_ptr_array_new();
    GPtrArray *demand_list = g_ptr_array_new();
    GHashTableIter it;
    void *value;
    guint n = 0;

    g->sequence++;
    g->report_sent_us[g->sequence % kReportsKept] = now_us;
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        evidence_fill(value, now_us, &evidence[n]);
        g_ptr_array_add(evidence_list, &evidence[n++]);
    }
    size_t count = team_rates_demand(g, now_us, demands);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(demand_list, &demands[i]);
    }
    report.failure_domain = g->failure_domain;
    report.incarnation = g->incarnation;
    report.sequence = g->sequence;
    report.document_version = g->document == NULL ? 0 : g->document->version;
    report.leaving = g->drain_started_us != 0;
    report.granted_sequence = g->granted_sequence;
    report.link_bytes_per_s = g->link_bytes_per_s;
    report.incoming_version = document_receiver_version(&g->receiver, now_us);
    report.entries_hash = g->entries == NULL ? 0 : g->entries->hash;
    report.n_evidence = evidence_list->len;
    report.evidence = (Sw__PrimaryEvidence **)evidence_list->pdata;
    report.n_demand = demand_list->len;
    report.demand = (Sw__TeamDemand **)demand_list->pdata;
    report_send(g, now_us, &report);
    g_ptr_array_unref(demand_list);
    g_ptr_array_unref(evidence_list);
    g_free(demands);
    g_free(evidence);
}
