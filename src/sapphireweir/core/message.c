#include "core/message.h"

#include <glib.h>

/* Returns a deep copy of any protobuf-c message; free it with the
 * message's free_unpacked function. */
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
