#ifndef SAPPHIREWEIR_PORT_STORAGE_H
#define SAPPHIREWEIR_PORT_STORAGE_H

#include <glib.h>
#include <stdint.h>

/* Outcome of making writes durable. */
typedef enum {
    kStorageOk,
    /* There was no room.  What was durable before is unchanged, and nothing
     * that was written since will be found after a restart.  The storage keeps
     * those writes; the same call may be repeated. */
    kStorageNoRoom,
    /* The instance must end: what is durable is unknown. */
    kStorageFailed,
} StorageResult;

/* Durable storage of one control instance.  The save callbacks write without
 * syncing; sync makes everything written so far durable.  Those that return a
 * gboolean return FALSE on failure, after which the instance must end. */
typedef struct {
    void *ctx;
    /* Saves the current term and the vote given in it. */
    gboolean (*save_vote)(void *ctx, uint64_t term, const char *voted_for);
    /* Appends an entry to the log. */
    gboolean (*save_entry)(void *ctx, uint64_t index, uint64_t term,
                           GBytes *command);
    /* Removes the log entries from from_index on. */
    gboolean (*save_truncate)(void *ctx, uint64_t from_index);
    /* Replaces the snapshot and the log, and makes both durable.  The snapshot
     * includes all entries up to index; the new log is the entries, an array
     * of ConsensusEntry.  Without room the old snapshot and log stay. */
    StorageResult (*save_snapshot)(void *ctx, uint64_t index, uint64_t term,
                                   GBytes *snapshot, const GPtrArray *entries);
    StorageResult (*sync)(void *ctx);
} StoragePort;

#endif
