#include <string.h>

#include "core/hash.h"
#include "fleet/director_internal.h"
#include "fleet/document_delta.h"

/* Distribution of the configuration document to entry instances.  The leader
 * sends each version as a delta from the version that the instance has.  The
 * other control instances send it, one after the other, only to an instance
 * that makes no progress and receives it from nobody, since the leader may be
 * unreachable from there, or there may be none. */

enum {
    /* How long an instance is stuck before the first control instance other
     * than the leader helps, and how much later each further one does: all
     * within the time in which a change must reach every instance. */
    kHelpDelayUs = 1000000,
    kHelpStepUs = 150000,
    kFirstHelpDelayUs = 300000, /* for an instance without any document */
    /* An instance that gets a document from another sender is left alone for
     * so long after it said so; four of its reports. */
    kIncomingUs = 1000000,
    /* Versions that are kept as the base of deltas: the last ones, and those
     * that entry instances have, together at most so many bytes. */
    kRecentDocuments = 8,
    kMaxRecentBytes = 16 << 20,
    kMaxAppliedDocuments = 256,
    /* An instance without a document for so long is logged: a third of the
     * time in which a change must reach every instance. */
    kOutdatedUs = 1000000,
};

static void
past_document_free(void *past)
{
    PastDocument *p = past;
    encoded_update_free(p->delta);
    g_bytes_unref(p->text);
    g_free(p);
}

/* Returns the set of versions that entry instances have; the caller destroys
 * it. */
static GHashTable *
versions_in_use(const Director *d)
{
    GHashTable *versions = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        g_hash_table_add(versions, &((EntryState *)value)->document_version);
    }
    return versions;
}

/* Discards versions that are neither recent nor in use, and the oldest ones if
 * all of them together are too large. */
static void
discard_documents(Director *d)
{
    GPtrArray *kept = d->recent_documents;
    GHashTable *in_use = versions_in_use(d);
    guint recent_from =
        kept->len > kRecentDocuments ? kept->len - kRecentDocuments : 0;
    size_t bytes = 0;

    for (guint i = kept->len; i > 0; i--) {
        const PastDocument *p = g_ptr_array_index(kept, i - 1);
        size_t size = g_bytes_get_size(p->text);
        if ((i <= recent_from &&
             !g_hash_table_contains(in_use, &p->version)) ||
            bytes + size > kMaxRecentBytes) {
            g_ptr_array_remove_index(kept, i - 1);
            continue;
        }
        bytes += size;
    }
    g_hash_table_destroy(in_use);
}

/* Keeps the version that was just applied as a base for later deltas and
 * discards the updates to the former version. */
void
documents_add_applied(Director *d, uint64_t now_us)
{
    PastDocument *p = g_new0(PastDocument, 1);
    AppliedDocument applied = {d->document_version, now_us};

    if (d->recent_documents == NULL) {
        d->recent_documents =
            g_ptr_array_new_with_free_func(past_document_free);
        d->applied_documents =
            g_array_new(FALSE, FALSE, sizeof(AppliedDocument));
    }
    g_array_append_val(d->applied_documents, applied);
    if (d->applied_documents->len > kMaxAppliedDocuments) {
        g_array_remove_index(d->applied_documents, 0);
    }
    for (guint i = 0; i < d->recent_documents->len; i++) {
        PastDocument *older = g_ptr_array_index(d->recent_documents, i);
        g_clear_pointer(&older->delta, encoded_update_free);
    }
    g_clear_pointer(&d->whole_document, encoded_update_free);
    p->version = d->document_version;
    p->text = g_bytes_ref(d->document);
    g_ptr_array_add(d->recent_documents, p);
    discard_documents(d);
}

/* ---- the document in parsed form ---- */

/* Returns the current document in parsed form, or NULL if there is none or it
 * cannot be decoded.  The director owns it; it stays valid until the next call
 * of this or of documents_decoded. */
const Document *
documents_current(Director *d)
{
    size_t bytes;

    if (d->decoded_version != d->document_version && d->document != NULL) {
        const uint8_t *text = g_bytes_get_data(d->document, &bytes);
        document_unref(d->decoded_document);
        d->decoded_document = d->config.decode(text, bytes);
        d->decoded_version = d->document_version;
    }
    return d->decoded_document;
}

/* Returns the document in parsed form as documents_current does, but during a
 * storm of versions possibly an earlier one: decoding each would take a large
 * part of the processor.  An earlier one is at most as old as the interval
 * between two transfers of a document of its size. */
const Document *
documents_decoded(Director *d, uint64_t now_us)
{
    if (d->document == NULL ||
        (d->decoded_document != NULL && now_us < d->next_decode_us)) {
        return d->decoded_document;
    }
    if (d->decoded_version != d->document_version) {
        d->next_decode_us = now_us + document_transfer_interval_us(
                                         g_bytes_get_size(d->document));
    }
    return documents_current(d);
}

/* Frees all kept versions. */
void
documents_clear(Director *d)
{
    g_clear_pointer(&d->recent_documents, g_ptr_array_unref);
    g_clear_pointer(&d->applied_documents, g_array_unref);
    g_clear_pointer(&d->whole_document, encoded_update_free);
}

/* Returns a kept version, or NULL. */
static PastDocument *
past_document(const Director *d, uint64_t version)
{
    for (guint i = 0;
         d->recent_documents != NULL && i < d->recent_documents->len; i++) {
        PastDocument *p = g_ptr_array_index(d->recent_documents, i);
        if (p->version == version) {
            return p;
        }
    }
    return NULL;
}

/* Fills in an update with the current document's whole text, which it
 * borrows. */
static void
whole_update_fill(const Director *d, Sw__DocumentUpdate *m)
{
    sw__document_update__init(m);
    m->version = d->document_version;
    m->text.data = (uint8_t *)g_bytes_get_data(d->document, &m->text.len);
}

/* Returns the encoded update from a version to the current one: a delta, or
 * the whole document if that version is not kept.  The director owns it. */
static const EncodedUpdate *
encoded_update_from(Director *d, uint64_t version)
{
    PastDocument *base = past_document(d, version);

    if (base == NULL) {
        if (d->whole_document == NULL) {
            Sw__DocumentUpdate whole;
            whole_update_fill(d, &whole);
            d->whole_document = encoded_update_new(&whole);
        }
        return d->whole_document;
    }
    if (base->delta == NULL) {
        Sw__DocumentUpdate *delta = document_delta(
            base->text, version, d->document, d->document_version);
        base->delta = encoded_update_new(delta);
        sw__document_update__free_unpacked(delta, NULL);
    }
    return base->delta;
}

/* Sends the chunks of a transfer that are due. */
static void
send_chunks(Director *d, uint64_t now_us, EntryState *entry)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentChunk chunk;

    frame.body_case = SW__FRAME__BODY_DOCUMENT_CHUNK;
    frame.document_chunk = &chunk;
    while (document_transfer_next(&entry->transfer, now_us,
                                  entry->link_bytes_per_s, &chunk)) {
        d->port.send(d->port.ctx, entry->id, &frame);
    }
}

/* Sends the whole document in one frame to an entry instance of an earlier
 * release, which does not take chunks. */
static void
send_single_frame(Director *d, EntryState *entry)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate whole;

    whole_update_fill(d, &whole);
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = &whole;
    d->port.send(d->port.ctx, entry->id, &frame);
    document_transfer_skip(&entry->transfer);
}

/* Returns whether an entry instance receives a document, and not from here. */
static gboolean
gets_from_another(const EntryState *entry, uint64_t now_us)
{
    return !entry->transfer.open && entry->incoming_version != 0 &&
           now_us - entry->incoming_seen_us < kIncomingUs;
}

/* Returns whether an entry instance may get the document of this control
 * instance although that is not current.  The document is committed, so it is
 * better than an older one; while no leader is known, no other instance may be
 * able to send it.  An entry instance without any would begin to serve by an
 * outdated one, and waits for a current control instance. */
static gboolean
takes_outdated(const Director *d, const EntryState *entry)
{
    return consensus_leader(d->consensus) == NULL &&
           entry->document_version != 0;
}

/* Starts to send the current document to an entry instance, unless the
 * instance has that version, receives one from another control instance or has
 * not answered an earlier transfer. */
void
documents_send(Director *d, uint64_t now_us, EntryState *entry)
{
    DocumentTransfer *t = &entry->transfer;

    if (d->document == NULL ||
        entry->document_version >= d->document_version ||
        gets_from_another(entry, now_us) ||
        !document_transfer_may_begin(t, now_us) ||
        (!consensus_is_current(d->consensus) && !takes_outdated(d, entry))) {
        return;
    }
    d->document_counters.begun++;
    d->document_counters.repeated += t->version == d->document_version;
    d->document_counters.helped += !director_is_leader(d);
    document_transfer_begin(t, now_us, ++d->last_transfer,
                            encoded_update_from(d, entry->document_version),
                            g_bytes_get_size(d->document));
    if (entry->link_bytes_per_s == 0) {
        send_single_frame(d, entry);
        return;
    }
    send_chunks(d, now_us, entry);
}

/* Continues the transfer to an entry instance.  On the leader, also starts one
 * as soon as the instance has answered the last one. */
void
documents_tick(Director *d, uint64_t now_us, EntryState *entry)
{
    send_chunks(d, now_us, entry);
    if (director_is_leader(d)) {
        documents_send(d, now_us, entry);
    }
}

/* Returns how many other control instances, the leader excepted, help an entry
 * instance before this one does. */
static uint32_t
help_rank(const Director *d, const EntryState *entry)
{
    const GPtrArray *members = consensus_members(d->consensus);
    const char *leader = consensus_leader(d->consensus);
    uint64_t seed = hash_text(entry->id, 1);
    uint64_t own = hash_text(d->id, seed);
    uint32_t rank = 0;

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        rank += g_strcmp0(m->id, leader) != 0 && strcmp(m->id, d->id) != 0 &&
                hash_text(m->id, seed) > own;
    }
    return rank;
}

/* Returns how long an entry instance must be stuck before this control
 * instance, which does not lead, helps it. */
static uint64_t
help_delay_us(const Director *d, const EntryState *entry)
{
    uint64_t delay_us = entry->document_version == 0
                            ? (uint64_t)kFirstHelpDelayUs
                            : (uint64_t)kHelpDelayUs;

    if (consensus_leader(d->consensus) == NULL && d->led_term != 0 &&
        d->led_term == consensus_term(d->consensus)) {
        /* The last leader has every version that was acknowledged.  Another
         * instance may send an older one, and a second transfer would
         * follow. */
        return kFirstHelpDelayUs;
    }
    return delay_us + help_rank(d, entry) * kHelpStepUs;
}

/* Returns whether this control instance should send the document to an entry
 * instance that lacks it. */
static gboolean
may_send(const Director *d, uint64_t now_us, const EntryState *entry)
{
    if (director_is_leader(d)) {
        return TRUE;
    }
    return entry->stuck_since_us != 0 &&
           now_us - entry->stuck_since_us > help_delay_us(d, entry);
}

/* ---- how far entry instances are behind ---- */

/* Returns how long ago the oldest document that an entry instance lacks was
 * applied here, zero if it lacks none. */
uint64_t
documents_lag_us(const Director *d, uint64_t now_us, const EntryState *entry)
{
    for (guint i = 0;
         d->applied_documents != NULL && i < d->applied_documents->len; i++) {
        const AppliedDocument *each =
            &g_array_index(d->applied_documents, AppliedDocument, i);
        if (each->version > entry->document_version) {
            return now_us - each->applied_us;
        }
    }
    return 0;
}

/* Returns the number of active entry instances that lack a document, and sets
 * the longest time since one that they lack was applied here. */
uint32_t
documents_outdated_count(const Director *d, uint64_t now_us,
                         uint64_t *longest_lag_us)
{
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    *longest_lag_us = 0;
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        if (entry_is_active(entry, now_us) &&
            entry->document_version < d->document_version) {
            uint64_t lag_us = documents_lag_us(d, now_us, entry);
            *longest_lag_us = MAX(*longest_lag_us, lag_us);
            count++;
        }
    }
    return count;
}

/* Logs when an entry instance has lacked a document for longer than
 * kOutdatedUs, and when that has ended.  Only the leader does, or each control
 * instance that knows no leader. */
static void
log_outdated(Director *d, uint64_t now_us, EntryState *entry)
{
    uint64_t lag_us = documents_lag_us(d, now_us, entry);
    gboolean outdated = lag_us > kOutdatedUs;
    EventLine line;

    if ((!director_is_leader(d) && consensus_leader(d->consensus) != NULL) ||
        outdated == entry->outdated) {
        return;
    }
    entry->outdated = outdated;
    event_begin(&line, d->config.events, now_us,
                outdated ? kEventOutdated : kEventCurrent);
    event_text(&line, "entry", entry->id);
    event_number(&line, "has", entry->document_version);
    event_number(&line, "receives", entry->incoming_version);
    event_number(&line, "sent", entry->transfer.version);
    event_number(&line, "version", d->document_version);
    event_number(&line, "lag_us", lag_us);
    event_end(&line);
}

/* Records the versions that an entry instance has and receives. */
static void
record_versions(Director *d, uint64_t now_us, EntryState *entry,
                uint64_t version, uint64_t incoming_version)
{
    gboolean progress = version != entry->document_version;

    entry->document_version = version;
    entry->incoming_version = incoming_version;
    entry->incoming_seen_us = now_us;
    if (version >= d->document_version || incoming_version != 0 || progress) {
        entry->stuck_since_us = 0;
    }
    else if (entry->stuck_since_us == 0) {
        entry->stuck_since_us = now_us;
    }
}

/* Handles the versions in an entry instance's report; sends the current
 * document if the instance lacks it. */
void
documents_handle_report(Director *d, uint64_t now_us, EntryState *entry,
                        const Sw__EntryReport *m)
{
    record_versions(d, now_us, entry, m->document_version,
                    m->incoming_version);
    document_transfer_report(&entry->transfer, entry->document_version);
    log_outdated(d, now_us, entry);
    if (may_send(d, now_us, entry)) {
        documents_send(d, now_us, entry);
    }
}

/* Handles an entry instance's answer to a transfer. */
void
documents_handle_receipt(Director *d, uint64_t now_us, const char *from,
                         const Sw__DocumentReceipt *m)
{
    EntryState *entry = g_hash_table_lookup(d->entries, from);

    if (entry == NULL) {
        return;
    }
    record_versions(d, now_us, entry, m->version, m->incoming_version);
    document_transfer_receipt(&entry->transfer, m->transfer, m->version);
    if (director_is_leader(d)) {
        documents_send(d, now_us, entry);
    }
}
