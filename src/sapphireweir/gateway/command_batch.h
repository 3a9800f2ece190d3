#ifndef SAPPHIREWEIR_GATEWAY_COMMAND_BATCH_H
#define SAPPHIREWEIR_GATEWAY_COMMAND_BATCH_H

#include "gateway/gateway_defs.h"

/* Commands that are sent together, in order.  The strings of the commands
 * belong to others and must stay valid until they are sent. */
typedef struct {
    ServerCommand *commands; /* owned */
    size_t count;
    size_t capacity;
} CommandBatch;

void command_batch_clear(CommandBatch *b);
void command_batch_add(CommandBatch *b, ServerCommand command);

#endif
