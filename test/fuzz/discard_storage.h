#ifndef SAPPHIREWEIR_TEST_DISCARD_STORAGE_H
#define SAPPHIREWEIR_TEST_DISCARD_STORAGE_H

#include "core/consensus.h"

/* A storage of control instances that keeps nothing, for fuzz targets. */

static gboolean
save_vote(void *ctx, uint64_t term, const char *voted_for)
{
    (void)ctx;
    (void)term;
    (void)voted_for;
    return TRUE;
}

static gboolean
save_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    (void)ctx;
    (void)index;
    (void)term;
    (void)command;
    return TRUE;
}

static gboolean
save_truncate(void *ctx, uint64_t from_index)
{
    (void)ctx;
    (void)from_index;
    return TRUE;
}

static StorageResult
save_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
              const GPtrArray *entries)
{
    (void)ctx;
    (void)index;
    (void)term;
    (void)snapshot;
    (void)entries;
    return kStorageOk;
}

static StorageResult
sync_nothing(void *ctx)
{
    (void)ctx;
    return kStorageOk;
}

static const StoragePort kDiscardStorage = {
    NULL, save_vote, save_entry, save_truncate, save_snapshot, sync_nothing,
};

#endif
