#ifndef SAPPHIREWEIR_ADAPTER_DISK_H
#define SAPPHIREWEIR_ADAPTER_DISK_H

#include <glib.h>
#include <stdint.h>

#include "core/consensus_defs.h"
#include "port/storage.h"

typedef struct Disk Disk;

typedef struct {
    const char *folder;
    const char *instance_id;
    const char *cluster;
    /* Writes may be torn anywhere when power is lost, but what was synced
     * never is: damage is always an unfinished write, also with whole
     * records behind it, and is cut instead of refused. */
    gboolean cut_damage;
    gboolean bootstrap; /* this folder is one of the first voters' */
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
