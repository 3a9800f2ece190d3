#include "fleet/document_transfer.h"

#include <string.h>
#include <zlib.h>

/* Transfers of document updates to entry instances: compressed, in chunks, and
 * paced to a part of the receiver's network link.
 *
 * Designed for a change that adds hundreds of routes while the links of 2
 * Mbit/s also carry callers' answers, leases and reports.  Sent in one frame
 * to each instance, such a document fills every link for seconds; leases then
 * expire, and healthy primaries seem to be down.  At most one transfer to an
 * instance is open.  Versions that arrive meanwhile are sent together
 * afterwards, as one update.
 *
 * An update changes a version that the receiver has reported to have in force,
 * never one that was sent and is not confirmed: otherwise the loss of one
 * update makes all later ones unusable as well. */

enum {
    kChunkBytes = 4096,
    kLinkParts = 4, /* a transfer uses 1 / parts of the receiver's link */
    kMinBytesPerS = 16384,
    /* Minimum time between the starts of two transfers, and what each byte of
     * the document adds to it: the receiver decodes all of them, at 0.04 us a
     * byte on a whole core, and the smallest instances have 0.12 of one. */
    kMinIntervalUs = 100000,
    kIntervalUsPerByte = 2,
    kMaxIntervalUs = 1000000,
    /* Wait for the receiver's answer before an update is sent again; doubles
     * on each repetition. */
    kResendFirstUs = 500000,
    kResendMaxUs = 4000000,
    kReceiverStalledUs = 1000000, /* then another transfer may replace it */
    kMaxUpdateBytes = 64 << 20,
    kMicro = 1000000,
};

/* ---- encoding ---- */

/* Compresses an update.  Free the result with encoded_update_free. */
EncodedUpdate *
encoded_update_new(const Sw__DocumentUpdate *m)
{
    EncodedUpdate *update = g_new(EncodedUpdate, 1);
    size_t bytes = sw__document_update__get_packed_size(m);
    uint8_t *plain = g_malloc(bytes + 1);
    uLongf packed_bytes = compressBound(bytes);
    uint8_t *packed = g_malloc(packed_bytes);

    sw__document_update__pack(m, plain);
    int result = compress(packed, &packed_bytes, plain, bytes);
    g_assert(result == Z_OK);
    g_free(plain);
    update->version = m->version;
    update->base_version = m->base_version;
    update->update_bytes = (uint32_t)bytes;
    update->packed =
        g_bytes_new_take(g_realloc(packed, packed_bytes), packed_bytes);
    return update;
}

/* Frees an encoded update; NULL is allowed.  Transfers of it continue. */
void
encoded_update_free(EncodedUpdate *update)
{
    if (update != NULL) {
        g_bytes_unref(update->packed);
        g_free(update);
    }
}

/* Uncompresses an update.  Returns NULL if it is invalid. */
static Sw__DocumentUpdate *
decode_update(const uint8_t *packed, size_t packed_bytes, uint32_t bytes)
{
    uint8_t *plain = g_malloc(bytes);
    uLongf plain_bytes = bytes;
    Sw__DocumentUpdate *m = NULL;

    if (uncompress(plain, &plain_bytes, packed, packed_bytes) == Z_OK &&
        plain_bytes == bytes) {
        m = sw__document_update__unpack(NULL, bytes, plain);
    }
    g_free(plain);
    return m;
}

/* ---- sending ---- */

/* Tells whether a transfer may begin: none is open, or the answer to the open
 * one is overdue, and the minimum interval since the last one has passed. */
gboolean
document_transfer_may_begin(const DocumentTransfer *t, uint64_t now_us)
{
    gboolean overdue =
        t->packed == NULL && now_us - t->sent_us > t->resend_wait_us;
    return (!t->open || overdue) && now_us >= t->next_begin_us;
}

/* Returns the minimum time between two transfers of a document of this size,
 * between 0.1 and 1 s. */
uint64_t
document_transfer_interval_us(size_t document_bytes)
{
    uint64_t interval_us =
        kMinIntervalUs + (uint64_t)document_bytes * kIntervalUsPerByte;
    return MIN(interval_us, (uint64_t)kMaxIntervalUs);
}

/* Begins the transfer of an update to a document of this size.  id must differ
 * from those of all other transfers of this process. */
void
document_transfer_begin(DocumentTransfer *t, uint64_t now_us, uint64_t id,
                        const EncodedUpdate *update, size_t document_bytes)
{
    gboolean repeated = t->version == update->version;

    t->resend_wait_us =
        repeated ? MIN(t->resend_wait_us * 2, (uint64_t)kResendMaxUs)
                 : kResendFirstUs;
    t->id = id;
    t->version = update->version;
    t->base_version = update->base_version;
    t->open = TRUE;
    t->packed = g_bytes_ref(update->packed);
    t->update_bytes = update->update_bytes;
    t->offset = 0;
    t->next_due_us = now_us;
    t->next_begin_us = now_us + document_transfer_interval_us(document_bytes);
}

/* Fills in the next chunk, if one is due now, for a receiver with a link of
 * the given bandwidth.  The data belongs to the transfer and stays valid until
 * its next call. */
gboolean
document_transfer_next(DocumentTransfer *t, uint64_t now_us,
                       uint64_t link_bytes_per_s, Sw__DocumentChunk *out)
{
    size_t total;
    uint64_t bytes_per_s =
        MAX(link_bytes_per_s / kLinkParts, (uint64_t)kMinBytesPerS);

    if (t->packed == NULL || now_us < t->next_due_us) {
        return FALSE;
    }
    const uint8_t *data = g_bytes_get_data(t->packed, &total);
    if (t->offset == total) {
        g_clear_pointer(&t->packed, g_bytes_unref);
        t->sent_us = now_us;
        return FALSE;
    }
    sw__document_chunk__init(out);
    out->transfer = t->id;
    out->version = t->version;
    out->total_bytes = (uint32_t)total;
    out->update_bytes = t->update_bytes;
    out->offset = (uint32_t)t->offset;
    out->data.data = (uint8_t *)data + t->offset;
    out->data.len = MIN(total - t->offset, (size_t)kChunkBytes);
    t->offset += out->data.len;
    t->next_due_us = t->offset == total
                         ? now_us
                         : now_us + out->data.len * kMicro / bytes_per_s;
    return TRUE;
}

/* Ends the open transfer. */
static void
transfer_close(DocumentTransfer *t, uint64_t version)
{
    g_clear_pointer(&t->packed, g_bytes_unref);
    t->open = FALSE;
    if (version >= t->version) {
        t->resend_wait_us = kResendFirstUs;
    }
}

/* Handles the receiver's answer to a transfer; version is the one that it has
 * in force now. */
void
document_transfer_receipt(DocumentTransfer *t, uint64_t id, uint64_t version)
{
    if (t->open && t->id == id) {
        transfer_close(t, version);
    }
}

/* Handles a report of the version that the receiver has in force.  Ends the
 * open transfer if the receiver has its version, or another one than its
 * update changes: it got that from another sender and cannot use the
 * update. */
void
document_transfer_report(DocumentTransfer *t, uint64_t version)
{
    gboolean unusable = t->base_version != 0 && version != t->base_version;

    if (t->open && (version >= t->version || unusable)) {
        transfer_close(t, version);
    }
}

/* Ends the sending of an update that was sent in another way; the receiver's
 * answer is awaited. */
void
document_transfer_skip(DocumentTransfer *t)
{
    g_clear_pointer(&t->packed, g_bytes_unref);
    t->sent_us = t->next_due_us;
}

/* Ends an open transfer and forgets the earlier ones. */
void
document_transfer_reset(DocumentTransfer *t)
{
    g_clear_pointer(&t->packed, g_bytes_unref);
    *t = (DocumentTransfer){0};
}

/* ---- receiving ---- */

/* Forgets a transfer that is in progress. */
void
document_receiver_clear(DocumentReceiver *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->packed, g_byte_array_unref);
}

/* Returns the version that is being received, zero for none. */
uint64_t
document_receiver_version(const DocumentReceiver *r, uint64_t now_us)
{
    return r->from != NULL && now_us - r->received_us < kReceiverStalledUs
               ? r->version
               : 0;
}

/* Starts to receive the transfer of a first chunk, unless a transfer from
 * another instance is in progress.  One of a newer version must not replace
 * it: two senders that follow a storm of versions would replace each other's
 * transfers, and none would end. */
static void
receiver_begin(DocumentReceiver *r, uint64_t now_us, const char *from,
               const Sw__DocumentChunk *m)
{
    gboolean same_sender = g_strcmp0(r->from, from) == 0;

    if (!same_sender && document_receiver_version(r, now_us) != 0) {
        return;
    }
    document_receiver_clear(r);
    r->from = g_strdup(from);
    r->transfer = m->transfer;
    r->version = m->version;
    r->total_bytes = m->total_bytes;
    r->update_bytes = m->update_bytes;
    r->packed = g_byte_array_new();
}

/* Tells whether a chunk continues the transfer in progress. */
static gboolean
chunk_fits(const DocumentReceiver *r, const char *from,
           const Sw__DocumentChunk *m)
{
    return g_strcmp0(r->from, from) == 0 && m->transfer == r->transfer &&
           m->total_bytes == r->total_bytes && m->offset == r->packed->len &&
           m->data.len <= r->total_bytes - r->packed->len;
}

/* Adds a chunk.  If it completes the transfer, sets *update, to be freed by
 * the caller with sw__document_update__free_unpacked.  A chunk that does not
 * continue the transfer in progress is ignored. */
ChunkResult
document_receiver_add(DocumentReceiver *r, uint64_t now_us, const char *from,
                      const Sw__DocumentChunk *m, Sw__DocumentUpdate **update)
{
    if (m->update_bytes > kMaxUpdateBytes ||
        m->total_bytes > kMaxUpdateBytes) {
        return kChunkUnusable;
    }
    if (m->offset == 0) {
        receiver_begin(r, now_us, from, m);
    }
    if (!chunk_fits(r, from, m)) {
        return kChunkUnusable;
    }
    r->received_us = now_us;
    g_byte_array_append(r->packed, m->data.data, (guint)m->data.len);
    if (r->packed->len < r->total_bytes) {
        return kChunkAwaitsMore;
    }
    *update = decode_update(r->packed->data, r->packed->len, r->update_bytes);
    document_receiver_clear(r);
    return *update == NULL ? kChunkUnusable : kChunkCompletes;
}
