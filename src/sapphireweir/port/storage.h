#ifndef SAPPHIREWEIR_PORT_STORAGE_H
#define SAPPHIREWEIR_PORT_STORAGE_H

#include <glib.h>
#include <stdint.h>

/* Durable storage of one control instance.  The save callbacks write without
 * syncing; sync makes everything written so far durable.  All return FALSE on
 * failure, after which the instance no longer takes part in the consensus. */
typedef struct {
    void *ctx;
    /* Saves the current term and the vote given in it. */
    gboolean (*save_vote)(void *ctx, uint64_t term, const char *voted_for);
    /* Appends an entry to the log. */
    gboolean (*save_entry)(void *ctx, uint64_t index, uint64_t term,
                           GBytes *command);
    /* Removes the log entries from from_index on. */
    gboolean (*save_truncate)(void *ctx, uint64_t from_index);
    /* Replaces the snapshot and the log.  The snapshot includes all entries up
     * to index; the new log is the entries, an array of ConsensusEntry. */
    gboolean (*save_snapshot)(void *ctx, uint64_t index, uint64_t term,
                              GBytes *snapshot, const GPtrArray *entries);
    gboolean (*sync)(void *ctx);
} StoragePort;

#endif
