#include <string.h>

#include "core/hash.h"
#include "fleet/director_internal.h"
#include "fleet/owners.h"

/* Messages to entry instances and the handling of their reports.  Documents
 * and backend servers come from any control instance.  Leases and rate shares
 * come from the leader alone, after a majority has confirmed that it still
 * leads. */

enum {
    kEntryInactiveUs = 2500000, /* without a report: counts as inactive */
    kEntryExpiryUs = 30000000,  /* without a report: its state is freed */
    /* An update of the directory that no report has confirmed for so long is
     * sent again: two short reports and a round trip.  The time doubles up to
     * the limit while the instance confirms nothing, since a slow link or a
     * slow control instance gets more work by each copy. */
    kDirectoryResendUs = 1200000,
    kMaxDirectoryResendUs = 4800000,
    /* An instance that has nothing of this run cannot serve without it: the
     * interval of short reports and a round trip. */
    kFirstDirectoryResendUs = 600000,
    kSharesIntervalUs = 500000,
    kPushWindowUs = 1000000,
    /* So many changes of servers that end no use are sent at once in a second.
     * Further ones share a frame for kDirectoryShareUs, which is too long for
     * the first records of a fleet that starts: statements queue for them. */
    kDirectoryPushesPerS = 16,
    kDirectoryShareUs = 20000,
    kDemandWeight = 3, /* of the old average; a new value has weight 1 */
};

/* Frees an EntryState; usable as a GDestroyNotify. */
void
entry_state_free(void *state)
{
    EntryState *entry = state;
    document_transfer_reset(&entry->transfer);
    g_hash_table_destroy(entry->evidence);
    g_hash_table_destroy(entry->demand);
    g_hash_table_destroy(entry->shares);
    g_hash_table_destroy(entry->usage);
    g_hash_table_destroy(entry->lent);
    g_free(entry->failure_domain);
    g_free(entry->id);
    g_free(entry);
}

/* Returns the state of an entry instance, created if needed and reset for a
 * new incarnation. */
static EntryState *
entry_state_ensure(Director *d, uint64_t now_us, const char *id,
                   uint64_t incarnation)
{
    EntryState *entry = g_hash_table_lookup(d->entries, id);

    if (entry != NULL && entry->incarnation == incarnation) {
        return entry;
    }
    if (entry == NULL) {
        entry = g_new0(EntryState, 1);
        entry->id = g_strdup(id);
        entry->evidence =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        entry->demand =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        entry->shares =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        entry->usage = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)g_array_unref);
        entry->lent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            lent_share_free);
        entry->hash = hash_text(id, 0);
        g_hash_table_insert(d->entries, entry->id, entry);
    }
    else {
        d->evidence_lost_us = now_us;
    }
    /* lease_end_us is kept: the leases of the former incarnation may still be
     * valid. */
    g_hash_table_remove_all(entry->evidence);
    entry->evidence_hash = 0;
    entry->evidence_wanted = FALSE;
    g_hash_table_remove_all(entry->demand);
    /* What the former incarnation reported stays in the rate windows. */
    g_hash_table_remove_all(entry->usage);
    entry->usage_version = 0;
    /* What the former incarnation lent stays lent. */
    entry->lent_version = 0;
    entry->incarnation = incarnation;
    entry->sequence = 0;
    entry->granted_sequence = 0;
    entry->grant_reported_us = now_us;
    entry->sent_revision = 0;
    entry->confirmed_revision = 0;
    entry->unconfirmed_since_us = 0;
    document_transfer_reset(&entry->transfer);
    rates_entry_restarted(entry);
    entry->document_version = 0;
    entry->incoming_version = 0;
    entry->stuck_since_us = 0;
    return entry;
}

/* Returns whether an entry instance has reported recently. */
static gboolean
entry_is_connected(const EntryState *entry, uint64_t now_us)
{
    return entry->last_seen_us != 0 &&
           now_us - entry->last_seen_us < kEntryInactiveUs;
}

/* Returns whether an entry instance has reported recently and is not
 * leaving. */
gboolean
entry_is_active(const EntryState *entry, uint64_t now_us)
{
    return entry_is_connected(entry, now_us) && !entry->leaving;
}

/* ---- backend servers ---- */

/* Sends an entry instance the records of the backend servers that changed
 * since the last update. */
static void
send_records(Director *d, uint64_t now_us, EntryState *entry,
             const GPtrArray *list)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate m = SW__DIRECTORY_UPDATE__INIT;

    m.run = d->run_id;
    m.revision = d->directory.revision;
    m.full = entry->sent_revision == 0;
    m.n_servers = list->len;
    m.servers = (Sw__ServerRecord **)list->pdata;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &m;
    d->port.send(d->port.ctx, entry->id, &frame);
    entry->sent_revision = d->directory.revision;
    if (entry->unconfirmed_since_us == 0) {
        entry->unconfirmed_since_us = now_us;
    }
}

/* Sends an entry instance the backend servers that changed since the last
 * update, or all of them if it has received none in this run. */
static void
send_directory(Director *d, uint64_t now_us, EntryState *entry)
{
    GPtrArray *list = servers_since(d, now_us, entry->sent_revision);

    send_records(d, now_us, entry, list);
    g_ptr_array_unref(list);
}

/* Handles the directory revision in an entry instance's report: sends what the
 * instance lacks, also if that was sent before and was lost.  An instance that
 * has not confirmed anything may just be receiving it, so its reports alone
 * cause no copy; one that states less than before has lost what it had. */
static void
directory_handle_report(Director *d, uint64_t now_us, EntryState *entry,
                        const Sw__EntryReport *m)
{
    uint64_t confirmed =
        m->directory_run == d->run_id ? m->directory_revision : 0;

    if (confirmed >= entry->sent_revision) {
        entry->unconfirmed_since_us = 0;
        entry->resend_after_us =
            confirmed == 0 ? kFirstDirectoryResendUs : kDirectoryResendUs;
    }
    else if (confirmed < entry->confirmed_revision) {
        entry->sent_revision = confirmed;
        entry->unconfirmed_since_us = now_us;
    }
    else if (confirmed > entry->confirmed_revision) {
        entry->unconfirmed_since_us = now_us;
    }
    else if (now_us - entry->unconfirmed_since_us > entry->resend_after_us) {
        entry->sent_revision = confirmed;
        entry->unconfirmed_since_us = now_us;
        entry->resend_after_us =
            MIN(entry->resend_after_us * 2, (uint64_t)kMaxDirectoryResendUs);
        d->server_counters.resends++;
    }
    entry->confirmed_revision = confirmed;
    if (entry->sent_revision < d->directory.revision) {
        send_directory(d, now_us, entry);
    }
}

typedef void (*EntryFunc)(Director *d, uint64_t now_us, EntryState *entry);

/* Calls a function for each entry instance that has reported recently,
 * including those that are leaving. */
static void
for_each_connected_entry(Director *d, uint64_t now_us, EntryFunc func)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        if (entry_is_connected(entry, now_us)) {
            func(d, now_us, entry);
        }
    }
}

/* Sends the changed backend servers to all connected entry instances that lack
 * some.  Most lack the same ones. */
static void
push_directory(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    GPtrArray *list = NULL;
    uint64_t since = 0;

    d->directory_push_us = 0;
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        if (!entry_is_connected(entry, now_us) ||
            entry->sent_revision >= d->directory.revision) {
            continue;
        }
        if (list == NULL || since != entry->sent_revision) {
            g_clear_pointer(&list, g_ptr_array_unref);
            since = entry->sent_revision;
            list = servers_since(d, now_us, since);
        }
        send_records(d, now_us, entry, list);
    }
    g_clear_pointer(&list, g_ptr_array_unref);
}

/* Sends the backend servers that changed after a revision to all connected
 * entry instances: at once if the use of one has ended or few were sent in
 * this second, otherwise after kDirectoryShareUs, together with what changes
 * until then. */
void
entries_directory_changed(Director *d, uint64_t now_us, uint64_t old_revision)
{
    if (d->directory.revision == old_revision) {
        return;
    }
    if (now_us - d->push_second_us >= kPushWindowUs) {
        d->push_second_us = now_us;
        d->pushes_at_once = 0;
    }
    if (d->directory.ended_revision > old_revision) {
        push_directory(d, now_us);
    }
    else if (d->pushes_at_once < kDirectoryPushesPerS) {
        d->pushes_at_once++;
        push_directory(d, now_us);
    }
    else if (d->directory_push_us == 0) {
        d->directory_push_us = now_us + kDirectoryShareUs;
    }
}

/* Sends the current document to all connected entry instances. */
void
entries_push_document(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, documents_send);
}

/* Sends the evacuated failure domains to all connected entry instances. */
void
entries_push_evacuations(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, director_send_evacuations);
}

/* ---- grants ---- */

/* Fills in the grant for one primary, which borrows the director's
 * strings. */
static void
primary_grant_fill(const Director *d, const PrimaryState *p,
                   Sw__PrimaryGrant *out)
{
    sw__primary_grant__init(out);
    out->database = p->database;
    out->primary = p->primary;
    out->epoch = p->epoch;
    out->closing = p->changing || handover_is_closing(d, p->database);
    out->quiescing = handover_is_quiescing(d, p->database);
}

/* Builds the list of primaries and its hash, whatever their order; zero if
 * there are none.  Everything that a grant states of a primary follows from
 * the committed primaries and the phases of their changes, whose writers
 * invalidate the list. */
static void
primaries_build(Director *d)
{
    GrantLists *lists = &d->grant_lists;
    GHashTableIter it;
    void *value;

    g_ptr_array_set_size(lists->primaries, 0);
    lists->primaries_hash = 0;
    lists->primaries_valid = TRUE;
    g_hash_table_iter_init(&it, d->primaries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Sw__PrimaryGrant *each = g_new(Sw__PrimaryGrant, 1);
        primary_grant_fill(d, value, each);
        g_ptr_array_add(lists->primaries, each);
        uint64_t state = each->epoch * 4 + (each->closing ? 2 : 0) +
                         (each->quiescing ? 1 : 0);
        lists->primaries_hash += hash_text(
            each->database, hash_text(each->primary, hash_number(state, 1)));
    }
}

/* Fills in the hash of the primaries, and the primaries themselves unless the
 * receiver reported the same hash.  The director owns the list. */
static void
grant_primaries(Director *d, uint64_t known_hash, Sw__EntryGrant *m)
{
    GrantLists *lists = &d->grant_lists;

    if (!lists->primaries_valid) {
        primaries_build(d);
    }
    m->primaries_hash = lists->primaries_hash;
    if (m->primaries_hash != known_hash) {
        m->n_primaries = lists->primaries->len;
        m->primaries = (Sw__PrimaryGrant **)lists->primaries->pdata;
    }
}

/* Builds the list of active entry instances and its hash.  It is valid until
 * the first of them would be inactive without a further report, or until a
 * report makes one active or inactive or changes its failure domain. */
static void
entries_build(Director *d, uint64_t now_us)
{
    GrantLists *lists = &d->grant_lists;
    GHashTableIter it;
    void *value;
    EntryList *all = entry_list_new();

    g_ptr_array_set_size(lists->entries, 0);
    lists->entries_valid_until_us = now_us + kEntryInactiveUs;
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *each = value;
        if (entry_is_active(each, now_us)) {
            Sw__EntryRecord *r = g_new(Sw__EntryRecord, 1);
            sw__entry_record__init(r);
            r->id = each->id;
            r->failure_domain = each->failure_domain;
            g_ptr_array_add(lists->entries, r);
            entry_list_add(all, each->id, each->failure_domain);
            lists->entries_valid_until_us =
                MIN(lists->entries_valid_until_us,
                    each->last_seen_us + kEntryInactiveUs);
        }
    }
    lists->entries_hash = all->hash;
    entry_list_free(all);
}

/* Fills in the number and the hash of the active entry instances, and the
 * instances themselves if the receiver reported another hash.  The director
 * owns the list. */
static void
grant_entries(Director *d, uint64_t now_us, const EntryState *entry,
              Sw__EntryGrant *m)
{
    GrantLists *lists = &d->grant_lists;

    if (now_us >= lists->entries_valid_until_us) {
        entries_build(d, now_us);
    }
    m->entry_count = lists->entries->len;
    m->entries_hash = lists->entries_hash;
    if (m->entries_hash != entry->entries_hash) {
        m->n_entries = lists->entries->len;
        m->entries = (Sw__EntryRecord **)lists->entries->pdata;
    }
}

/* Sends a grant in reply to the report with this sequence.  With sequence
 * zero the grant renews no lease and carries the primaries only. */
static void
send_grant(Director *d, uint64_t now_us, EntryState *entry, uint64_t sequence)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    GPtrArray *shares = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *evacuated =
        director_grant_evacuations(d, now_us, entry->evacuations_hash, &m);

    m.sequence = sequence;
    m.term = consensus_term(d->consensus);
    m.revision = ++d->grant_revision;
    m.document_version = d->document_version;
    grant_primaries(d, sequence == 0 ? 0 : entry->primaries_hash, &m);
    if (sequence != 0) {
        m.lease_us = d->config.lease_us;
        grant_entries(d, now_us, entry, &m);
        rates_append_shares(d, now_us, entry, sequence, shares);
        m.usage_version =
            entry->usage_term == m.term ? entry->usage_version : 0;
        m.lent_version = entry->lent_version;
        m.evidence_checked = TRUE;
        m.evidence_wanted = entry->evidence_wanted;
        m.n_shares = shares->len;
        m.shares = (Sw__TeamShare **)shares->pdata;
    }
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    d->port.send(d->port.ctx, entry->id, &frame);
    g_ptr_array_unref(evacuated);
    g_ptr_array_unref(shares);
}

static void
push_primaries_to(Director *d, uint64_t now_us, EntryState *entry)
{
    send_grant(d, now_us, entry, 0);
}

/* Sends the primaries to all connected entry instances, without a lease, at
 * the end of the event that is handled: it may change many of them, and each
 * grant lists all. */
void
entries_push_primaries(Director *d)
{
    d->primaries_push = TRUE;
}

/* Ends the handling of an event; see entries_push_primaries. */
void
entries_event_end(Director *d, uint64_t now_us)
{
    if (d->primaries_push) {
        d->primaries_push = FALSE;
        for_each_connected_entry(d, now_us, push_primaries_to);
    }
}

/* Begins the consensus round after which an entry instance's lease is
 * renewed. */
static void
renew_lease_of(Director *d, uint64_t now_us, EntryState *entry)
{
    /* The lease counts from the last report received here. */
    entry->pending_received_us = entry->last_seen_us;
    entry->pending_round = consensus_read_begin(d->consensus, now_us);
}

/* Renews the leases of all connected entry instances without waiting for their
 * next reports.  The grants are sent once a consensus round has confirmed that
 * this instance leads. */
void
entries_renew_leases(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, renew_lease_of);
}

/* ---- reports ---- */

/* Records when the evidence on a primary last stated a failure. */
static void
watch_failure(Director *d, uint64_t now_us, const char *database,
              uint64_t failing_us)
{
    SuspectWatch *watch;

    if (failing_us == 0) {
        return;
    }
    watch = g_hash_table_lookup(d->suspect_watches, database);
    if (watch == NULL) {
        watch = g_new0(SuspectWatch, 1);
        g_hash_table_insert(d->suspect_watches, g_strdup(database), watch);
    }
    suspect_watch_record(watch, now_us, failing_us);
}

/* Removes the evidence from the hash, when a report lists all of it. */
static void
evidence_hash_reset(EntryState *entry)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, entry->evidence);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((EntryEvidence *)value)->mark = 0;
    }
    entry->evidence_hash = 0;
}

/* Stores a report's evidence on each primary.  That of a database which the
 * report omits as unchanged counts as received again.  All evidence is asked
 * for when a report that listed some was lost. */
static void
record_evidence(Director *d, EntryState *entry, uint64_t now_us,
                const Sw__EntryReport *m)
{
    GHashTableIter it;
    void *key;
    void *value;

    g_hash_table_iter_init(&it, entry->evidence);
    while (m->evidence_partial && g_hash_table_iter_next(&it, &key, &value)) {
        EntryEvidence *kept = value;
        kept->received_us = now_us;
        watch_failure(d, now_us, key, kept->failing_us);
    }
    if (!m->evidence_partial && m->n_evidence > 0) {
        evidence_hash_reset(entry);
    }
    for (size_t i = 0; i < m->n_evidence; i++) {
        const Sw__PrimaryEvidence *e = m->evidence[i];
        EntryEvidence *kept =
            g_hash_table_lookup(entry->evidence, e->database);
        if (kept == NULL) {
            kept = g_new0(EntryEvidence, 1);
            g_hash_table_insert(entry->evidence, g_strdup(e->database), kept);
        }
        watch_failure(d, now_us, e->database, e->failing_us);
        uint64_t mark = hash_text(e->database, hash_number(m->sequence, 1));
        entry->evidence_hash += mark - kept->mark;
        *kept = (EntryEvidence){
            .epoch = e->epoch,
            .recorded_us = now_us,
            .received_us = now_us,
            .answered = e->answered,
            .answered_us = now_us - MIN(e->answered_ago_us, now_us),
            .failing_us = e->failing_us,
            .released_epoch = e->released_epoch,
            .open_work = e->open_work,
            .acknowledged = {e->acknowledged_term, e->acknowledged_number},
            .mark = mark,
        };
    }
    entry->evidence_wanted = m->evidence_hash != 0 &&
                             m->evidence_hash != (entry->evidence_hash | 1);
    d->evidence_requests += entry->evidence_wanted;
}

/* Updates the smoothed demand of each team with a report's demand. */
static void
record_demand(EntryState *entry, const Sw__EntryReport *m)
{
    for (size_t i = 0; i < m->n_demand; i++) {
        const Sw__TeamDemand *demand = m->demand[i];
        uint64_t *kept = g_hash_table_lookup(entry->demand, demand->team);
        if (kept == NULL) {
            kept = g_new0(uint64_t, 1);
            g_hash_table_insert(entry->demand, g_strdup(demand->team), kept);
        }
        *kept = (*kept * kDemandWeight + demand->wanted_milli) /
                (kDemandWeight + 1);
    }
}

/* Handles an entry instance's report: sends what the instance lacks, stores
 * its evidence and demand and, on the leader, begins the renewal of its lease.
 * Evidence and demand of a report that arrives out of order are ignored, and
 * it renews no lease. */
void
entries_handle_report(Director *d, uint64_t now_us, const char *from,
                      const Sw__EntryReport *m)
{
    EntryState *entry = entry_state_ensure(d, now_us, from, m->incarnation);
    gboolean was_active = entry_is_active(entry, now_us);

    if (entry->last_seen_us == 0 && m->granted_sequence > 0) {
        d->former_grant_seen = TRUE;
    }
    entry->last_seen_us = now_us;
    entry->leaving = m->leaving;
    entry->entries_hash = m->entries_hash;
    entry->controls_hash = m->controls_hash;
    entry->primaries_hash = m->primaries_hash;
    entry->evacuations_hash = m->evacuations_hash;
    if (m->granted_sequence > entry->granted_sequence) {
        entry->granted_sequence = m->granted_sequence;
        entry->grant_reported_us = now_us;
        rates_handle_receipt(entry);
    }
    if (g_strcmp0(entry->failure_domain, m->failure_domain) != 0) {
        g_free(entry->failure_domain);
        entry->failure_domain = g_strdup(m->failure_domain);
        d->grant_lists.entries_valid_until_us = 0;
    }
    if (entry_is_active(entry, now_us) != was_active) {
        d->grant_lists.entries_valid_until_us = 0;
    }
    entry->link_bytes_per_s = m->link_bytes_per_s;
    directory_handle_report(d, now_us, entry, m);
    documents_handle_report(d, now_us, entry, m);
    members_reply(d, entry);
    director_evacuations_report(d, now_us, entry);
    if (m->sequence <= entry->sequence) {
        return;
    }
    entry->sequence = m->sequence;
    record_evidence(d, entry, now_us, m);
    record_demand(entry, m);
    rates_handle_usage(d, now_us, entry, m);
    rates_handle_lent(d, now_us, entry, m);
    if (director_is_leader(d)) {
        entry->pending_received_us = now_us;
        entry->pending_round = consensus_read_begin(d->consensus, now_us);
    }
}

/* Sends grants with a lease for all pending reports whose consensus round is
 * confirmed. */
void
entries_grant_confirmed(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (!director_is_leader(d)) {
        return;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        if (entry->pending_round == 0 ||
            !consensus_read_ready(d->consensus, entry->pending_round)) {
            continue;
        }
        entry->pending_round = 0;
        entry->lease_end_us =
            MAX(entry->lease_end_us,
                entry->pending_received_us + d->config.lease_us);
        send_grant(d, now_us, entry, entry->sequence);
    }
}

/* Returns whether an entry instance has not reported for kEntryExpiryUs; a
 * GHRFunc. */
static gboolean
entry_has_expired(void *key, void *value, void *ctx)
{
    const EntryState *entry = value;
    uint64_t now_us = *(uint64_t *)ctx;
    (void)key;
    return now_us - entry->last_seen_us > kEntryExpiryUs;
}

/* Continues document transfers and sends changed servers.  Every
 * kSharesIntervalUs, frees the state of expired entry instances and, on the
 * leader, recomputes the rate shares. */
void
entries_tick(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, documents_tick);
    if (d->directory_push_us != 0 && now_us >= d->directory_push_us) {
        push_directory(d, now_us);
    }
    if (now_us < d->next_shares_us) {
        return;
    }
    d->next_shares_us = now_us + kSharesIntervalUs;
    if (g_hash_table_foreach_remove(d->entries, entry_has_expired, &now_us) >
        0) {
        d->evidence_lost_us = now_us;
        g_ptr_array_set_size(d->reservations, 0); /* borrows entries */
        g_hash_table_remove_all(d->entries_by_hash);
        d->next_reservations_us = 0;
    }
    if (d->led_since_us != 0) {
        rates_tick(d, now_us);
    }
}
