#include <string.h>

#include "fleet/director_internal.h"
#include "fleet/owners.h"

/* Messages to entry instances and the handling of their reports.  Documents
 * and backend servers come from any control instance.  Leases and rate shares
 * come from the leader alone, after a majority has confirmed that it still
 * leads. */

enum {
    kEntryInactiveUs = 2500000, /* without a report: it does not count */
    kEntryExpiryUs = 30000000,  /* without a report: its state is freed */
    kSharesIntervalUs = 500000,
    kDemandWeight = 3, /* of the old average; a new value counts as 1 */
};

/* Frees an EntryState; usable as a GDestroyNotify. */
void
entry_state_free(void *state)
{
    EntryState *t = state;
    g_hash_table_destroy(t->evidence);
    g_hash_table_destroy(t->demand);
    g_hash_table_destroy(t->shares);
    g_free(t->failure_domain);
    g_free(t->id);
    g_free(t);
}

/* Returns the state of an entry instance, created if needed and reset for a
 * new incarnation. */
static EntryState *
entry_state_ensure(Director *d, uint64_t now_us, const char *id,
                   uint64_t incarnation)
{
    EntryState *t = g_hash_table_lookup(d->entries, id);

    if (t != NULL && t->incarnation == incarnation) {
        return t;
    }
    if (t == NULL) {
        t = g_new0(EntryState, 1);
        t->id = g_strdup(id);
        t->evidence =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        t->demand =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        t->shares =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(d->entries, t->id, t);
    }
    else {
        d->evidence_lost_us = now_us;
    }
    /* A new incarnation has no evidence, but the leases of the former one may
     * still be valid. */
    g_hash_table_remove_all(t->evidence);
    g_hash_table_remove_all(t->demand);
    t->incarnation = incarnation;
    t->sequence = 0;
    t->granted_sequence = 0;
    t->grant_reported_us = now_us;
    t->sent_revision = 0;
    t->document_sent_us = 0;
    t->last_sent_version = 0;
    t->behind_since_us = 0;
    return t;
}

/* Returns whether an entry instance has reported recently and is not
 * leaving. */
gboolean
entry_is_active(const EntryState *t, uint64_t now_us)
{
    return t->last_seen_us != 0 &&
           now_us - t->last_seen_us < kEntryInactiveUs && !t->leaving;
}

/* Returns the number of active entry instances. */
uint32_t
entries_count(const Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += entry_is_active(value, now_us);
    }
    return count;
}

/* ---- backend servers ---- */

/* Sends the backend servers that changed since the last update sent to an
 * entry instance, or all of them if it has none of this run. */
static void
send_directory(Director *d, EntryState *t)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate m = SW__DIRECTORY_UPDATE__INIT;
    GPtrArray *list = servers_since(d, t->sent_revision);

    m.run = d->run_id;
    m.revision = d->directory.revision;
    m.full = t->sent_revision == 0;
    m.n_servers = list->len;
    m.servers = (Sw__ServerRecord **)list->pdata;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &m;
    d->port.send(d->port.ctx, t->id, &frame);
    t->sent_revision = d->directory.revision;
    g_ptr_array_unref(list);
}

typedef void (*EntryFunc)(Director *d, uint64_t now_us, EntryState *t);

/* Calls a function for each entry instance that has reported recently,
 * including those that are leaving. */
static void
for_each_connected_entry(Director *d, uint64_t now_us, EntryFunc func)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *t = value;
        if (t->last_seen_us != 0 &&
            now_us - t->last_seen_us < kEntryInactiveUs) {
            func(d, now_us, t);
        }
    }
}

static void
push_directory_to(Director *d, uint64_t now_us, EntryState *t)
{
    (void)now_us;
    send_directory(d, t);
}

/* Sends the changed backend servers to all connected entry instances. */
void
entries_push_directory(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, push_directory_to);
}

/* Sends the current document to all connected entry instances. */
void
entries_push_document(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, documents_send);
}

/* ---- grants ---- */

/* Fills in the primaries of a grant.  The list owns the records, which borrow
 * the director's strings. */
static void
grant_primaries(const Director *d, Sw__EntryGrant *m, GPtrArray *list)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->primaries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PrimaryState *p = value;
        Sw__PrimaryGrant *each = g_new(Sw__PrimaryGrant, 1);
        sw__primary_grant__init(each);
        each->database = p->database;
        each->primary = p->primary;
        each->epoch = p->epoch;
        each->closing = p->changing || handover_is_closing(d, p->database);
        each->quiescing = handover_is_quiescing(d, p->database);
        g_ptr_array_add(list, each);
    }
    m->n_primaries = list->len;
    m->primaries = (Sw__PrimaryGrant **)list->pdata;
}

/* Fills in the hash of the active entry instances, and the instances too if
 * the receiver's hash differs.  The list owns the records. */
static void
grant_entries(const Director *d, uint64_t now_us, const EntryState *t,
              Sw__EntryGrant *m, GPtrArray *list)
{
    GHashTableIter it;
    void *value;
    EntryList *all = entry_list_new();

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *each = value;
        if (entry_is_active(each, now_us)) {
            Sw__EntryRecord *r = g_new(Sw__EntryRecord, 1);
            sw__entry_record__init(r);
            r->id = each->id;
            r->failure_domain = each->failure_domain;
            g_ptr_array_add(list, r);
            entry_list_add(all, each->id, each->failure_domain);
        }
    }
    m->entries_hash = all->hash;
    entry_list_free(all);
    if (m->entries_hash != t->entries_hash) {
        m->n_entries = list->len;
        m->entries = (Sw__EntryRecord **)list->pdata;
    }
}

/* Sends a grant in reply to the report with this sequence.  With sequence
 * zero the grant renews no lease and carries the primaries only. */
static void
send_grant(Director *d, uint64_t now_us, EntryState *t, uint64_t sequence)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    GPtrArray *primaries = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *shares = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);

    m.sequence = sequence;
    m.term = consensus_term(d->consensus);
    m.revision = ++d->grant_revision;
    m.document_version = d->document_version;
    grant_primaries(d, &m, primaries);
    if (sequence != 0) {
        m.lease_us = d->config.lease_us;
        m.entry_count = entries_count(d, now_us);
        grant_entries(d, now_us, t, &m, entries);
        rates_append_shares(d, t, shares);
        m.n_shares = shares->len;
        m.shares = (Sw__TeamShare **)shares->pdata;
    }
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    d->port.send(d->port.ctx, t->id, &frame);
    g_ptr_array_unref(entries);
    g_ptr_array_unref(shares);
    g_ptr_array_unref(primaries);
}

static void
push_primaries_to(Director *d, uint64_t now_us, EntryState *t)
{
    send_grant(d, now_us, t, 0);
}

/* Sends the primaries to all connected entry instances, without a lease. */
void
entries_push_primaries(Director *d, uint64_t now_us)
{
    for_each_connected_entry(d, now_us, push_primaries_to);
}

static void
renew_lease_of(Director *d, uint64_t now_us, EntryState *t)
{
    /* The lease counts from the last report received here. */
    t->pending_received_us = t->last_seen_us;
    t->pending_round = consensus_read_begin(d->consensus, now_us);
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

/* Records what a report says of each primary. */
static void
record_evidence(EntryState *t, uint64_t now_us, const Sw__EntryReport *m)
{
    for (size_t i = 0; i < m->n_evidence; i++) {
        const Sw__PrimaryEvidence *e = m->evidence[i];
        EntryEvidence *kept = g_hash_table_lookup(t->evidence, e->database);
        if (kept == NULL) {
            kept = g_new0(EntryEvidence, 1);
            g_hash_table_insert(t->evidence, g_strdup(e->database), kept);
        }
        *kept = (EntryEvidence){
            .epoch = e->epoch,
            .received_us = now_us,
            .answered = e->answered,
            .failing_us = e->failing_us,
            .released_epoch = e->released_epoch,
            .open_work = e->open_work,
            .acknowledged = {e->acknowledged_term, e->acknowledged_number},
        };
    }
}

/* Adds a report's demand of each team to the smoothed demand. */
static void
record_demand(EntryState *t, const Sw__EntryReport *m)
{
    for (size_t i = 0; i < m->n_demand; i++) {
        const Sw__TeamDemand *demand = m->demand[i];
        uint64_t *kept = g_hash_table_lookup(t->demand, demand->team);
        if (kept == NULL) {
            kept = g_new0(uint64_t, 1);
            g_hash_table_insert(t->demand, g_strdup(demand->team), kept);
        }
        *kept = (*kept * kDemandWeight + demand->wanted_milli) /
                (kDemandWeight + 1);
    }
}

/* Handles an entry instance's report.  Evidence and demand of a report that
 * arrives out of order are ignored. */
void
entries_handle_report(Director *d, uint64_t now_us, const char *from,
                      const Sw__EntryReport *m)
{
    EntryState *t = entry_state_ensure(d, now_us, from, m->incarnation);

    t->last_seen_us = now_us;
    t->leaving = m->leaving;
    t->entries_hash = m->entries_hash;
    if (m->granted_sequence > t->granted_sequence) {
        t->granted_sequence = m->granted_sequence;
        t->grant_reported_us = now_us;
    }
    if (g_strcmp0(t->failure_domain, m->failure_domain) != 0) {
        g_free(t->failure_domain);
        t->failure_domain = g_strdup(m->failure_domain);
    }
    t->document_version = m->document_version;
    if (m->directory_run != d->run_id) {
        t->sent_revision = 0;
    }
    if (t->sent_revision < d->directory.revision) {
        send_directory(d, t);
    }
    documents_handle_report(d, now_us, t);
    members_send(d, t->id);
    if (m->sequence <= t->sequence) {
        return;
    }
    t->sequence = m->sequence;
    record_evidence(t, now_us, m);
    record_demand(t, m);
    if (director_is_leader(d)) {
        t->pending_received_us = now_us;
        t->pending_round = consensus_read_begin(d->consensus, now_us);
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
        EntryState *t = value;
        if (t->pending_round == 0 ||
            !consensus_read_ready(d->consensus, t->pending_round)) {
            continue;
        }
        t->pending_round = 0;
        t->lease_end_us =
            MAX(t->lease_end_us, t->pending_received_us + d->config.lease_us);
        send_grant(d, now_us, t, t->sequence);
    }
}

static gboolean
entry_has_expired(void *key, void *value, void *ctx)
{
    const EntryState *t = value;
    uint64_t now_us = *(uint64_t *)ctx;
    (void)key;
    return now_us - t->last_seen_us > kEntryExpiryUs;
}

/* Runs the timers of the entry instances' state and shares. */
void
entries_tick(Director *d, uint64_t now_us)
{
    if (now_us < d->next_shares_us) {
        return;
    }
    d->next_shares_us = now_us + kSharesIntervalUs;
    if (g_hash_table_foreach_remove(d->entries, entry_has_expired, &now_us) >
        0) {
        d->evidence_lost_us = now_us;
    }
    if (d->led_since_us != 0) {
        rates_tick(d, now_us);
    }
}
