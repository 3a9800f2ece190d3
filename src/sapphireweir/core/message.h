#ifndef SAPPHIREWEIR_CORE_MESSAGE_H
#define SAPPHIREWEIR_CORE_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

void *message_copy(const void *message);

#endif
