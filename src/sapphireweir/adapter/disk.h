#ifndef SAPPHIREWEIR_ADAPTER_DISK_H
#define SAPPHIREWEIR_ADAPTER_DISK_H

#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

#include "core/consensus_defs.h"
#include "port/storage.h"

typedef struct Disk Disk;

/* Replaces system calls, so that a test can limit the room.  The members work
 * as write(2) and fdatasync(2), which are used for those that are NULL. */
typedef struct {
    void *ctx;
    ssize_t (*write)(void *ctx, int fd, const void *data, size_t size);
    int (*sync)(void *ctx, int fd);
} DiskIo;

/* The strings are borrowed for the call of disk_open. */
typedef struct {
    const char *folder;
    const char *instance_id;
    const char *cluster;
    /* Truncates the log at the first damaged record instead of refusing to
     * open the folder, also if valid records follow.  For storage where a
     * power loss may corrupt any unsynced write but never synced data, so
     * that damage is always in a write that was never acknowledged. */
    gboolean truncate_at_damage;
    gboolean bootstrap; /* create a new folder as an initial voter's */
    DiskIo io;          /* for tests; zero: the system calls */
} DiskSettings;

Disk *disk_open(const DiskSettings *settings, GError **error);
void disk_close(Disk *d);
const char *disk_identity(const Disk *d);
const char *disk_bootstrap_identity(const char *cluster,
                                    const char *instance_id, char *out,
                                    size_t out_bytes);
gboolean disk_is_new(const Disk *d);
const ConsensusSaved *disk_saved(const Disk *d);
StoragePort disk_port(Disk *d);
uint64_t disk_syncs(const Disk *d);

#endif
