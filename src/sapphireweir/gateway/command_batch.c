#include "gateway/command_batch.h"

/* A list of commands that grows as needed.  With a fixed size, the commands of
 * a session with many values were dropped from the end, which has the caller's
 * statement, and the answer to a SET was taken for the statement's. */

enum { kInitialCommands = 16 };

/* Removes all commands, and keeps the memory for the next ones. */
void
command_batch_clear(CommandBatch *b)
{
    b->count = 0;
}

/* Appends a command. */
void
command_batch_add(CommandBatch *b, ServerCommand command)
{
    if (b->count == b->capacity) {
        b->capacity = MAX(b->capacity * 2, (size_t)kInitialCommands);
        b->commands = g_renew(ServerCommand, b->commands, b->capacity);
    }
    b->commands[b->count++] = command;
}
