#ifndef SAPPHIREWEIR_PORT_STORAGE_H
#define SAPPHIREWEIR_PORT_STORAGE_H

#include <glib.h>
#include <stdint.h>

/* Durable storage of one control instance.  The save callbacks only write;
 * sync makes all that was written durable.  A FALSE from any of them ends
 * the instance's part in the consensus. */
typedef struct {
    void *ctx;
    gboolean (*save_vote)(void *ctx, uint64_t term, const char *voted_for);
    gboolean (*save_entry)(void *ctx, uint64_t index, uint64_t term,
                           GBytes *command);
    gboolean (*save_truncate)(void *ctx, uint64_t from_index);
    /* Replaces snapshot and log; entries are ConsensusEntry. */
    gboolean (*save_snapshot)(void *ctx, uint64_t index, uint64_t term,
                              GBytes *snapshot, const GPtrArray *entries);
    gboolean (*sync)(void *ctx);
} StoragePort;

#endif
