#ifndef SAPPHIREWEIR_CORE_MESSAGE_H
#define SAPPHIREWEIR_CORE_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

void *message_copy(const void *message);
void *message_unpack_bounded(const ProtobufCMessageDescriptor *type,
                             const uint8_t *packed, size_t bytes,
                             size_t max_bytes);

#endif
