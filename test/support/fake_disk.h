#ifndef SAPPHIREWEIR_TEST_FAKE_DISK_H
#define SAPPHIREWEIR_TEST_FAKE_DISK_H

#include <glib.h>
#include <stdint.h>

#include "core/consensus.h"

/* A simulated disk of a control instance.  When the instance loses power, only
 * synced data stays. */
typedef struct {
    ConsensusSaved synced;
    ConsensusSaved written; /* the next sync makes this durable */
    uint64_t syncs;
    gboolean fail_syncs; /* until the next crash */
    /* Without room nothing that was written becomes durable. */
    gboolean full;
    gboolean refuse_snapshots; /* only these have no room */
    uint64_t refused_syncs;
    uint64_t refused_snapshots;
    /* Log entries are not stored.  Saves memory in runs without restarts. */
    gboolean discard_writes;
} FakeDisk;

void fake_disk_init(FakeDisk *d);
void fake_disk_clear(FakeDisk *d);
void fake_disk_lose_power(FakeDisk *d);
StoragePort fake_disk_port(FakeDisk *d);

#endif
