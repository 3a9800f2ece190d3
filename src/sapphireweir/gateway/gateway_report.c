#include <string.h>

#include "core/hash.h"
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
    /* A leader that does not compare evidence_hash gets all evidence with
     * every fourth report, in case that one was lost. */
    kFullEvidenceReports = 4,
    /* Control instances that do not lead get every second report; a contact
     * is lost after three to four intervals. */
    kFollowerReports = 2,
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

/* Returns what this instance observed of a database's primary. */
static PrimaryEvidence
evidence_of(const Database *d, uint64_t now_us)
{
    const Gateway *g = d->gateway;
    const Server *s = d->primary == NULL
                          ? NULL
                          : g_hash_table_lookup(g->servers, d->primary);
    PrimaryEvidence e = {.epoch = d->epoch,
                         .released_epoch = d->closing ? d->released_epoch : 0,
                         .open_work = gateway_open_work(d),
                         .acknowledged = d->acknowledged};

    if (s == NULL) {
        return e;
    }
    if (s->failing_since_us != 0 &&
        now_us - s->last_failure_us < kFailureReportedUs) {
        e.failing_us = now_us - s->failing_since_us;
    }
    e.answered = s->last_answer_us != 0 &&
                 now_us - s->last_answer_us < kAnsweredRecentlyUs;
    e.last_answer_us = s->last_answer_us;
    return e;
}

/* Tells whether evidence must be in a report although the leader has the last
 * one: it differs, or decides about a change of the primary. */
static gboolean
must_report(const PrimaryEvidence *e, const PrimaryEvidence *last)
{
    return e->failing_us != 0 || last->failing_us != 0 ||
           e->released_epoch != 0 || e->open_work != 0 ||
           e->open_work != last->open_work || e->epoch != last->epoch ||
           e->answered != last->answered ||
           e->last_answer_us != last->last_answer_us ||
           e->released_epoch != last->released_epoch ||
           position_compare(e->acknowledged, last->acknowledged) != 0;
}

/* Fills in a record of the evidence on a database's primary. */
static void
evidence_fill(const Database *d, uint64_t now_us, const PrimaryEvidence *e,
              Sw__PrimaryEvidence *out)
{
    sw__primary_evidence__init(out);
    out->database = d->name;
    out->primary = d->primary == NULL ? (char *)"" : d->primary;
    out->epoch = e->epoch;
    out->failing_us = e->failing_us;
    out->answered = e->answered;
    out->answered_ago_us = e->answered ? now_us - e->last_answer_us : 0;
    out->released_epoch = e->released_epoch;
    out->open_work = e->open_work;
    out->acknowledged_term = e->acknowledged.term;
    out->acknowledged_number = e->acknowledged.number;
}

/* Adds the evidence of all databases to a list, or with partial set only that
 * which the leader lacks.  records must have room for all databases. */
static void
evidence_collect(Gateway *g, uint64_t now_us, gboolean partial,
                 Sw__PrimaryEvidence *records, GPtrArray *list)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        PrimaryEvidence e = evidence_of(d, now_us);
        if (!partial || must_report(&e, &d->reported)) {
            evidence_fill(d, now_us, &e, &records[list->len]);
            g_ptr_array_add(list, &records[list->len]);
            uint64_t mark = hash_text(d->name, hash_number(g->sequence, 1));
            g->evidence_hash += mark - d->evidence_mark;
            d->evidence_mark = mark;
        }
        d->reported = e;
    }
}

/* Tells whether this report may omit evidence that the leader has.  All of it
 * is sent to a new leader, to one that asks for it, and every
 * kFullEvidenceReports reports to one that cannot tell what it lacks. */
static gboolean
evidence_may_be_partial(Gateway *g, gboolean leader_known)
{
    if (leader_known && g_strcmp0(g->evidence_leader, g->leader) == 0) {
        gboolean wanted = g->evidence_wanted;
        g->evidence_wanted = FALSE;
        return !wanted && (g->evidence_checked ||
                           g->sequence % kFullEvidenceReports != 0);
    }
    g->evidence_wanted = FALSE;
    g_free(g->evidence_leader);
    g->evidence_leader = leader_known ? g_strdup(g->leader) : NULL;
    return FALSE;
}

/* Tells whether the leader is known and in contact. */
static gboolean
leader_is_known(const Gateway *g, uint64_t now_us)
{
    return g->leader != NULL &&
           now_us - g->granted_report_us < kLeaderContactUs;
}

/* Sends the full report to the control leader and, with every second report, a
 * short one, which serves as a heartbeat, to the other control instances.
 * While no leader is known, all of them get the full report. */
static void
report_send(Gateway *g, gboolean leader_known, Sw__EntryReport *report)
{
    GHashTableIter it;
    void *value;
    Sw__Frame frame = SW__FRAME__INIT;
    size_t evidence = report->n_evidence;
    size_t demand = report->n_demand;
    gboolean partial = report->evidence_partial;
    uint64_t evidence_hash = report->evidence_hash;
    Sw__RateUsage *usage = report->rate_usage;
    size_t lent = report->n_lent_shares;

    frame.body_case = SW__FRAME__BODY_ENTRY_REPORT;
    frame.entry_report = report;
    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ControlContact *c = value;
        report->directory_revision = c->revision;
        report->directory_run = c->run;
        gboolean full = !leader_known || strcmp(c->address, g->leader) == 0;
        if (!full && g->sequence % kFollowerReports != 0) {
            continue;
        }
        report->n_evidence = full ? evidence : 0;
        report->evidence_partial = full && partial;
        report->evidence_hash = full ? evidence_hash : 0;
        report->n_demand = full ? demand : 0;
        report->rate_usage = full ? usage : NULL;
        report->n_lent_shares = full ? lent : 0;
        g->port.peer_send(g->port.ctx, c->address, &frame);
    }
    report->rate_usage = usage;
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
    GPtrArray *lent_list = g_ptr_array_new_with_free_func(g_free);
    gboolean leader_known = leader_is_known(g, now_us);

    g->sequence++;
    g->report_sent_us[g->sequence % kReportsKept] = now_us;
    report.evidence_partial = evidence_may_be_partial(g, leader_known);
    evidence_collect(g, now_us, report.evidence_partial, evidence,
                     evidence_list);
    report.evidence_hash = report.evidence_partial ? g->evidence_hash | 1 : 0;
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
    report.controls_hash = g->controls_hash;
    report.primaries_hash = g->primaries_hash;
    report.evacuations_hash = evacuation_hash(g);
    report.usage_version = g->usage_version;
    if (leader_known && g->usage_acked != g->usage_version) {
        report.rate_usage = team_rates_usage(g, now_us);
    }
    report.lent_version = rate_pool_lent_version(g->rate_pool);
    if (report.lent_version != g->lent_acked) {
        rate_pool_append_lent(g->rate_pool, now_us, lent_list);
    }
    report.n_lent_shares = lent_list->len;
    report.lent_shares = (Sw__LentShare **)lent_list->pdata;
    report.n_evidence = evidence_list->len;
    report.evidence = (Sw__PrimaryEvidence **)evidence_list->pdata;
    report.n_demand = demand_list->len;
    report.demand = (Sw__TeamDemand **)demand_list->pdata;
    report_send(g, leader_known, &report);
    team_rates_usage_free(report.rate_usage);
    g_ptr_array_unref(lent_list);
    g_ptr_array_unref(demand_list);
    g_ptr_array_unref(evidence_list);
    g_free(demands);
    g_free(evidence);
}
