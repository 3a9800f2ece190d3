#include <string.h>

#include "fleet/director_internal.h"
#include "fleet/owners.h"

/* What entry instances get from control: documents and backend servers from
 * any control instance, leases, rights to primaries and rate shares from the
 * leader alone, after a majority has confirmed it. */

enum {
    kEntryGoneUs = 2500000, /* an entry that says nothing */
    kEntryForgottenUs = 30000000,
    kSharesEveryUs = 500000,
    kDemandWeight = 3, /* of the old value in the smoothed demand */
};

/* Frees what is known of an entry instance. */
void
entry_track_free(void *track)
{
    EntryTrack *t = track;
    g_hash_table_destroy(t->evidence);
    g_hash_table_destroy(t->demand);
    g_hash_table_destroy(t->shares);
    g_free(t->failure_domain);
    g_free(t->id);
    g_free(t);
}

static EntryTrack *
entry_track(Director *d, uint64_t now_us, const char *id, uint64_t incarnation)
{
    EntryTrack *t = g_hash_table_lookup(d->entries, id);

    if (t != NULL && t->incarnation == incarnation) {
        return t;
    }
    if (t == NULL) {
        t = g_new0(EntryTrack, 1);
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
        d->forgot_us = now_us;
    }
    /* A new run knows nothing; leases of the former one may still count. */
    g_hash_table_remove_all(t->evidence);
    g_hash_table_remove_all(t->demand);
    t->incarnation = incarnation;
    t->sequence = 0;
    t->granted_sequence = 0;
    t->granted_us = now_us;
    t->told_revision = 0;
    t->document_sent_us = 0;
    t->document_sent = 0;
    t->behind_since_us = 0;
    return t;
}

/* Tells whether an entry instance takes part at present. */
gboolean
entry_present(const EntryTrack *t, uint64_t now_us)
{
    return t->heard_us != 0 && now_us - t->heard_us < kEntryGoneUs &&
           !t->leaving;
}

/* Returns how many entry instances take part at present. */
uint32_t
entries_count(const Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += entry_present(value, now_us);
    }
    return count;
}

/* ---- backend servers ---- */

static void
send_directory(Director *d, EntryTrack *t)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate m = SW__DIRECTORY_UPDATE__INIT;
    GPtrArray *list = servers_since(d, t->told_revision);

    m.run = d->run;
    m.revision = d->directory.revision;
    m.full = t->told_revision == 0;
    m.n_servers = list->len;
    m.servers = (Sw__ServerRecord **)list->pdata;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &m;
    d->port.send(d->port.ctx, t->id, &frame);
    t->told_revision = d->directory.revision;
    g_ptr_array_unref(list);
}

typedef void (*EntryVisit)(Director *d, uint64_t now_us, EntryTrack *t);

static void
visit_present(Director *d, uint64_t now_us, EntryVisit visit)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryTrack *t = value;
        if (t->heard_us != 0 && now_us - t->heard_us < kEntryGoneUs) {
            visit(d, now_us, t);
        }
    }
}

static void
visit_directory(Director *d, uint64_t now_us, EntryTrack *t)
{
    (void)now_us;
    send_directory(d, t);
}

/* Tells every entry instance which backend servers changed. */
void
entries_push_directory(Director *d, uint64_t now_us)
{
    visit_present(d, now_us, visit_directory);
}

/* Tells every entry instance the present document. */
void
entries_push_document(Director *d, uint64_t now_us)
{
    visit_present(d, now_us, documents_send);
}

/* ---- grants ---- */

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
        each->closing = p->changing || handover_closes(d, p->database);
        each->quiescing = handover_quiesces(d, p->database);
        g_ptr_array_add(list, each);
    }
    m->n_primaries = list->len;
    m->primaries = (Sw__PrimaryGrant **)list->pdata;
}

/* Lists the entry instances that take part, for one that works with another
 * list; the records are the list's. */
static void
grant_entries(const Director *d, uint64_t now_us, const EntryTrack *t,
              Sw__EntryGrant *m, GPtrArray *list)
{
    GHashTableIter it;
    void *value;
    EntryList *all = entry_list_new();

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryTrack *each = value;
        if (entry_present(each, now_us)) {
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

/* Sends a grant; without a sequence it renews no lease and only tells who
 * leads the databases. */
static void
send_grant(Director *d, uint64_t now_us, EntryTrack *t, uint64_t sequence)
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
        rates_fill_shares(d, t, shares);
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
visit_push(Director *d, uint64_t now_us, EntryTrack *t)
{
    send_grant(d, now_us, t, 0);
}

/* Tells every entry instance at once who leads the databases. */
void
entries_push(Director *d, uint64_t now_us)
{
    visit_present(d, now_us, visit_push);
}

static void
visit_renew(Director *d, uint64_t now_us, EntryTrack *t)
{
    /* The lease counts from the report that this instance heard last. */
    t->pending_us = t->heard_us;
    t->pending_round = consensus_read_begin(d->consensus, now_us);
}

/* Grants leases to all entry instances without waiting for their next
 * reports, once a round confirms the leader. */
void
entries_renew(Director *d, uint64_t now_us)
{
    visit_present(d, now_us, visit_renew);
}

/* ---- reports ---- */

static void
note_evidence(EntryTrack *t, uint64_t now_us, const Sw__EntryReport *m)
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
            .heard_us = now_us,
            .answered = e->answered,
            .failing_us = e->failing_us,
            .released_epoch = e->released_epoch,
            .open_work = e->open_work,
            .acknowledged = {e->acknowledged_term, e->acknowledged_number},
        };
    }
}

static void
note_demand(EntryTrack *t, const Sw__EntryReport *m)
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

/* Takes in an entry instance's report. */
void
entries_report(Director *d, uint64_t now_us, const char *from,
               const Sw__EntryReport *m)
{
    EntryTrack *t = entry_track(d, now_us, from, m->incarnation);

    t->heard_us = now_us;
    t->leaving = m->leaving;
    t->entries_hash = m->entries_hash;
    if (m->granted_sequence > t->granted_sequence) {
        t->granted_sequence = m->granted_sequence;
        t->granted_us = now_us;
    }
    if (g_strcmp0(t->failure_domain, m->failure_domain) != 0) {
        g_free(t->failure_domain);
        t->failure_domain = g_strdup(m->failure_domain);
    }
    t->document_version = m->document_version;
    if (m->directory_run != d->run) {
        t->told_revision = 0;
    }
    if (t->told_revision < d->directory.revision) {
        send_directory(d, t);
    }
    documents_report(d, now_us, t);
    members_tell(d, t->id);
    if (m->sequence <= t->sequence) {
        return;
    }
    t->sequence = m->sequence;
    note_evidence(t, now_us, m);
    note_demand(t, m);
    if (director_is_leader(d)) {
        t->pending_us = now_us;
        t->pending_round = consensus_read_begin(d->consensus, now_us);
    }
}

/* Grants leases to the reports that came before a confirmed round. */
void
entries_confirm(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (!director_is_leader(d)) {
        return;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryTrack *t = value;
        if (t->pending_round == 0 ||
            !consensus_read_ready(d->consensus, t->pending_round)) {
            continue;
        }
        t->pending_round = 0;
        t->lease_end_us =
            MAX(t->lease_end_us, t->pending_us + d->config.lease_us);
        send_grant(d, now_us, t, t->sequence);
    }
}

static gboolean
entry_forgotten(void *key, void *value, void *ctx)
{
    const EntryTrack *t = value;
    uint64_t now_us = *(uint64_t *)ctx;
    (void)key;
    return now_us - t->heard_us > kEntryForgottenUs;
}

/* Lets time pass for the entry instances. */
void
entries_tick(Director *d, uint64_t now_us)
{
    if (now_us < d->shares_due_us) {
        return;
    }
    d->shares_due_us = now_us + kSharesEveryUs;
    if (g_hash_table_foreach_remove(d->entries, entry_forgotten, &now_us) >
        0) {
        d->forgot_us = now_us;
    }
    if (d->led_since_us != 0) {
        rates_tick(d, now_us);
    }
}
