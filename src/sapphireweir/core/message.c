#include "core/message.h"

#include <glib.h>

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
