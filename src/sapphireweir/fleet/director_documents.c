#include "fleet/director_internal.h"
#include "fleet/document_delta.h"

/* Distribution of the configuration document to entry instances.  The leader
 * sends each version at once, as a delta from the version that the instance
 * has.  The other control instances send it only to an instance that stays
 * behind, since the leader may be unreachable from there. */

enum {
    kResendIntervalUs = 500000, /* until then it counts as in transit */
    /* A third of the time in which a change must reach every instance. */
    kHelpDelayUs = 1000000,
    kMaxRecentDocuments = 8, /* more than are applied between reports */
};

static void
past_document_free(void *past)
{
    PastDocument *p = past;
    if (p->delta != NULL) {
        sw__document_update__free_unpacked(p->delta, NULL);
    }
    g_bytes_unref(p->text);
    g_free(p);
}

/* Keeps the version that was just applied as a base for later deltas and
 * discards the deltas to the former version. */
void
documents_add_applied(Director *d)
{
    PastDocument *p = g_new0(PastDocument, 1);

    if (d->recent_documents == NULL) {
        d->recent_documents =
            g_ptr_array_new_with_free_func(past_document_free);
    }
    for (guint i = 0; i < d->recent_documents->len; i++) {
        PastDocument *older = g_ptr_array_index(d->recent_documents, i);
        if (older->delta != NULL) {
            sw__document_update__free_unpacked(older->delta, NULL);
            older->delta = NULL;
        }
    }
    p->version = d->document_version;
    p->text = g_bytes_ref(d->document);
    g_ptr_array_add(d->recent_documents, p);
    if (d->recent_documents->len > kMaxRecentDocuments) {
        g_ptr_array_remove_index(d->recent_documents, 0);
    }
}

/* Frees all kept versions. */
void
documents_clear(Director *d)
{
    g_clear_pointer(&d->recent_documents, g_ptr_array_unref);
}

/* Returns the delta from a version to the current one, or NULL if that
 * version is not kept.  The director owns the delta. */
static Sw__DocumentUpdate *
delta_from(Director *d, uint64_t version)
{
    for (guint i = 0;
         d->recent_documents != NULL && i < d->recent_documents->len; i++) {
        PastDocument *p = g_ptr_array_index(d->recent_documents, i);
        if (p->version != version) {
            continue;
        }
        if (p->delta == NULL) {
            p->delta = document_delta(p->text, p->version, d->document,
                                      d->document_version);
        }
        return p->delta;
    }
    return NULL;
}

/* Sends the current document to an entry instance, unless the instance has
 * that version or it is in transit.  A version in transit also serves as the
 * base of the delta. */
void
documents_send(Director *d, uint64_t now_us, EntryState *entry)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate whole = SW__DOCUMENT_UPDATE__INIT;
    gboolean in_transit =
        now_us - entry->document_sent_us <= kResendIntervalUs;
    uint64_t base_version =
        MAX(entry->document_version,
            in_transit ? entry->last_sent_version : (uint64_t)0);

    if (d->document == NULL || base_version >= d->document_version ||
        !consensus_is_current(d->consensus)) {
        return;
    }
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = delta_from(d, base_version);
    if (frame.document_update == NULL) {
        whole.version = d->document_version;
        whole.text.data =
            (uint8_t *)g_bytes_get_data(d->document, &whole.text.len);
        frame.document_update = &whole;
    }
    entry->document_sent_us = now_us;
    entry->last_sent_version = d->document_version;
    d->port.send(d->port.ctx, entry->id, &frame);
}

/* Handles the document version in an entry instance's report.  If the
 * instance is behind, sends the current one, provided that this control
 * instance leads, or that the entry instance has been behind for kHelpDelayUs
 * or has no document at all. */
void
documents_handle_report(Director *d, uint64_t now_us, EntryState *entry)
{
    if (entry->document_version >= d->document_version) {
        entry->behind_since_us = 0;
        return;
    }
    if (entry->behind_since_us == 0) {
        entry->behind_since_us = now_us;
    }
    gboolean may_send = director_is_leader(d) ||
                        now_us - entry->behind_since_us > kHelpDelayUs ||
                        entry->document_version == 0;
    if (may_send && now_us - entry->document_sent_us > kResendIntervalUs) {
        documents_send(d, now_us, entry);
    }
}
