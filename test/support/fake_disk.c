#include "fake_disk.h"

/* Releases the contents, but not the structure itself. */
static void
saved_clear(ConsensusSaved *s)
{
    g_free(s->voted_for);
    if (s->snapshot != NULL) {
        g_bytes_unref(s->snapshot);
    }
    if (s->entries != NULL) {
        g_ptr_array_unref(s->entries);
    }
    *s = (ConsensusSaved){0};
}

static void
saved_init(ConsensusSaved *s)
{
    *s = (ConsensusSaved){0};
    s->entries = g_ptr_array_new_with_free_func(consensus_entry_free);
}

/* Replaces the contents of to by a deep copy of from. */
static void
saved_copy(const ConsensusSaved *from, ConsensusSaved *to)
{
    saved_clear(to);
    saved_init(to);
    to->term = from->term;
    to->voted_for = g_strdup(from->voted_for);
    to->snapshot_index = from->snapshot_index;
    to->snapshot_term = from->snapshot_term;
    to->snapshot = from->snapshot == NULL ? NULL : g_bytes_ref(from->snapshot);
    for (guint i = 0; i < from->entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(from->entries, i);
        g_ptr_array_add(
            to->entries,
            consensus_entry_new(e->index, e->term, g_bytes_ref(e->command)));
    }
}

static gboolean
disk_save_vote(void *ctx, uint64_t term, const char *voted_for)
{
    FakeDisk *d = ctx;
    g_free(d->written.voted_for);
    d->written.voted_for = g_strdup(voted_for);
    d->written.term = term;
    return TRUE;
}

/* Removes all entries whose log index is index or higher. */
static void
truncate_entries(GPtrArray *entries, uint64_t index)
{
    while (entries->len > 0) {
        const ConsensusEntry *last =
            g_ptr_array_index(entries, entries->len - 1);
        if (last->index < index) {
            return;
        }
        g_ptr_array_set_size(entries, (gint)entries->len - 1);
    }
}

/* Writes an entry, replacing all entries from its log index on. */
static gboolean
disk_save_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    FakeDisk *d = ctx;
    if (d->discard_writes) {
        return TRUE;
    }
    truncate_entries(d->written.entries, index);
    g_ptr_array_add(d->written.entries,
                    consensus_entry_new(index, term, g_bytes_ref(command)));
    return TRUE;
}

static gboolean
disk_save_truncate(void *ctx, uint64_t from_index)
{
    FakeDisk *d = ctx;
    truncate_entries(d->written.entries, from_index);
    return TRUE;
}

/* Makes all that was written durable. */
static StorageResult
disk_sync(void *ctx)
{
    FakeDisk *d = ctx;
    if (d->fail_syncs) {
        return kStorageFailed;
    }
    if (d->full) {
        d->refused_syncs++;
        return kStorageNoRoom;
    }
    d->syncs++;
    if (d->discard_writes) {
        return kStorageOk;
    }
    saved_copy(&d->written, &d->synced);
    return kStorageOk;
}

/* Replaces the log by a snapshot and the entries after it, and syncs. */
static StorageResult
disk_save_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
                   const GPtrArray *entries)
{
    FakeDisk *d = ctx;
    ConsensusSaved *w = &d->written;
    if (d->full || d->refuse_snapshots) {
        d->refused_snapshots++;
        return kStorageNoRoom;
    }
    if (w->snapshot != NULL) {
        g_bytes_unref(w->snapshot);
    }
    w->snapshot = g_bytes_ref(snapshot);
    w->snapshot_index = index;
    w->snapshot_term = term;
    g_ptr_array_set_size(w->entries, 0);
    for (guint i = 0; i < entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(entries, i);
        g_ptr_array_add(
            w->entries,
            consensus_entry_new(e->index, e->term, g_bytes_ref(e->command)));
    }
    return disk_sync(d);
}

/* Initializes an empty disk. */
void
fake_disk_init(FakeDisk *d)
{
    saved_init(&d->synced);
    saved_init(&d->written);
}

/* Releases the contents; fake_disk_init must follow before the disk is used
 * again. */
void
fake_disk_clear(FakeDisk *d)
{
    saved_clear(&d->synced);
    saved_clear(&d->written);
}

/* Discards what was written and not synced. */
void
fake_disk_lose_power(FakeDisk *d)
{
    saved_copy(&d->synced, &d->written);
}

/* Returns the storage port of the disk; valid as long as the disk. */
StoragePort
fake_disk_port(FakeDisk *d)
{
    return (StoragePort){.ctx = d,
                         .save_vote = disk_save_vote,
                         .save_entry = disk_save_entry,
                         .save_truncate = disk_save_truncate,
                         .save_snapshot = disk_save_snapshot,
                         .sync = disk_sync};
}
