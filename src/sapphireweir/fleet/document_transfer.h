#ifndef SAPPHIREWEIR_FLEET_DOCUMENT_TRANSFER_H
#define SAPPHIREWEIR_FLEET_DOCUMENT_TRANSFER_H

#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A compressed DocumentUpdate, shared by all transfers of it. */
typedef struct {
    uint64_t version;
    uint64_t base_version; /* that it changes, zero: it is a whole document */
    uint32_t update_bytes; /* before compression */
    GBytes *packed;
} EncodedUpdate;

EncodedUpdate *encoded_update_new(const Sw__DocumentUpdate *m);
void encoded_update_free(EncodedUpdate *update);

/* The sending side of one instance's transfers, of which at most one is
 * open: it is being sent, or the receiver's answer is awaited. */
typedef struct {
    uint64_t id;
    uint64_t version; /* of the last transfer that was begun, zero: none */
    uint64_t base_version; /* see EncodedUpdate */
    gboolean open;
    GBytes *packed; /* NULL: all of it was sent */
    uint32_t update_bytes;
    size_t offset;          /* bytes sent */
    uint64_t next_due_us;   /* when the next chunk may be sent */
    uint64_t next_begin_us; /* when the next transfer may begin */
    uint64_t sent_us;       /* when the last transfer was sent in full */
    uint64_t resend_wait_us;
} DocumentTransfer;

gboolean document_transfer_may_begin(const DocumentTransfer *t,
                                     uint64_t now_us);
uint64_t document_transfer_interval_us(size_t document_bytes);
void document_transfer_begin(DocumentTransfer *t, uint64_t now_us, uint64_t id,
                             const EncodedUpdate *update,
                             size_t document_bytes);
gboolean document_transfer_next(DocumentTransfer *t, uint64_t now_us,
                                uint64_t link_bytes_per_s,
                                Sw__DocumentChunk *out);
void document_transfer_receipt(DocumentTransfer *t, uint64_t id,
                               uint64_t version);
void document_transfer_report(DocumentTransfer *t, uint64_t version);
void document_transfer_skip(DocumentTransfer *t);
void document_transfer_reset(DocumentTransfer *t);

/* The receiving side: the chunks of one transfer. */
typedef struct {
    char *from; /* sending instance, NULL: no transfer is in progress */
    uint64_t transfer;
    uint64_t version;
    uint32_t total_bytes;
    uint32_t update_bytes;
    GByteArray *packed;
    uint64_t received_us; /* when the last chunk arrived */
} DocumentReceiver;

typedef enum {
    kChunkAwaitsMore, /* the transfer is not complete */
    kChunkCompletes,  /* the update was decoded */
    kChunkUnusable,   /* it continues no transfer, or the update is invalid */
} ChunkResult;

ChunkResult document_receiver_add(DocumentReceiver *r, uint64_t now_us,
                                  const char *from, const Sw__DocumentChunk *m,
                                  Sw__DocumentUpdate **update);
uint64_t document_receiver_version(const DocumentReceiver *r, uint64_t now_us);
void document_receiver_clear(DocumentReceiver *r);

#endif
