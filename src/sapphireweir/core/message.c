#include "core/message.h"

#include <stdlib.h>

/* Overhead of an allocation of the usual allocators. */
enum { kAllocationBytes = 16 };

/* Bytes that an unpacked message may still take. */
typedef struct {
    size_t left_bytes;
} UnpackBudget;

/* Returns a deep copy of a protobuf-c message of any type; the caller frees it
 * with the free_unpacked function of the type. */
void *
message_copy(const void *message)
{
    const ProtobufCMessage *m = message;
    size_t size = protobuf_c_message_get_packed_size(m);
    uint8_t *packed = g_malloc(size + 1);

    protobuf_c_message_pack(m, packed);
    void *copy = protobuf_c_message_unpack(m->descriptor, NULL, size, packed);
    g_free(packed);
    return copy;
}

/* Allocator callback: fails beyond the budget.  The message is freed with the
 * default allocator, which is malloc too. */
static void *
allocate_bounded(void *ctx, size_t bytes)
{
    UnpackBudget *b = ctx;

    if (b->left_bytes < kAllocationBytes ||
        bytes > b->left_bytes - kAllocationBytes) {
        return NULL;
    }
    b->left_bytes -= bytes + kAllocationBytes;
    return malloc(bytes);
}

static void
free_bounded(void *ctx, void *data)
{
    (void)ctx;
    free(data);
}

/* Unpacks a message that may take max_bytes of memory: 2 bytes of a message
 * can become a submessage of more than 50.  Returns NULL if it is invalid or
 * larger; the caller frees it with the free_unpacked function of the type. */
void *
message_unpack_bounded(const ProtobufCMessageDescriptor *type,
                       const uint8_t *packed, size_t bytes, size_t max_bytes)
{
    UnpackBudget budget = {max_bytes};
    ProtobufCAllocator allocator = {allocate_bounded, free_bounded, &budget};

    return protobuf_c_message_unpack(type, &allocator, bytes, packed);
}
