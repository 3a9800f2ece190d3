#include <string.h>

#include "core/consensus_internal.h"
#include "core/error.h"
#include "core/schema.h"

/* The log of one control instance: its entries, their storage, snapshots, and
 * the application of committed entries. */

enum {
    /* Entries that stay in the log although the snapshot includes them, so
     * that a member that is slightly behind gets entries instead of the
     * snapshot: at most so many, and at most so many bytes.  The log is
     * rewritten with each snapshot while the leader waits for the disk. */
    kEntriesKeptBeforeSnapshot = 512,
    kBytesKeptBeforeSnapshot = 2 << 20,
    /* Size of the entries after which a snapshot is written, even if they are
     * fewer than snapshot_interval_entries. */
    kSnapshotIntervalBytes = 8 << 20,
    /* Until a snapshot is tried again for which there was no room.  Each try
     * copies the whole state. */
    kSnapshotRetryIntervalUs = 1000000,
};

/* Creates a log entry; takes ownership of the reference to command. */
ConsensusEntry *
consensus_entry_new(uint64_t index, uint64_t term, GBytes *command)
{
    ConsensusEntry *e = g_new(ConsensusEntry, 1);
    *e = (ConsensusEntry){index, term, command};
    return e;
}

/* Frees a log entry. */
void
consensus_entry_free(void *entry)
{
    ConsensusEntry *e = entry;
    g_bytes_unref(e->command);
    g_free(e);
}

/* Returns the index of the last entry of the log. */
uint64_t
consensus_last_index(const Consensus *c)
{
    return c->offset + c->entries->len;
}

/* Returns the entry at an index, or NULL if the log does not hold it. */
ConsensusEntry *
consensus_log_entry(const Consensus *c, uint64_t index)
{
    if (index <= c->offset || index > consensus_last_index(c)) {
        return NULL;
    }
    return g_ptr_array_index(c->entries, index - c->offset - 1);
}

/* Stores the term of the entry at an index in term; this includes the last
 * discarded entry.  Returns FALSE if the term is not known. */
gboolean
consensus_log_term(const Consensus *c, uint64_t index, uint64_t *term)
{
    if (index == c->offset) {
        *term = c->offset_term;
        return TRUE;
    }
    ConsensusEntry *e = consensus_log_entry(c, index);
    if (e == NULL) {
        return FALSE;
    }
    *term = e->term;
    return TRUE;
}

/* Returns the term of the last entry, zero if the log is empty. */
uint64_t
consensus_log_last_term(const Consensus *c)
{
    uint64_t term = 0;
    consensus_log_term(c, consensus_last_index(c), &term);
    return term;
}

/* Returns the kind of a packed entry; kEntryNoop if the entry is empty. */
EntryKind
consensus_entry_kind(const ConsensusEntry *e)
{
    size_t size;
    const char *data = g_bytes_get_data(e->command, &size);
    return size == 0 ? kEntryNoop : (EntryKind)data[0];
}

/* Returns a packed entry: its kind as one byte, then a copy of the data.  The
 * caller owns the reference. */
GBytes *
consensus_entry_pack(EntryKind kind, const void *data, size_t size)
{
    GByteArray *packed = g_byte_array_sized_new((guint)size + 1);
    guint8 tag = (guint8)kind;
    g_byte_array_append(packed, &tag, 1);
    if (size > 0) {
        g_byte_array_append(packed, data, (guint)size);
    }
    return g_byte_array_free_to_bytes(packed);
}

/* Marks the instance as failed unless ok, the result of a storage operation,
 * is TRUE. */
void
consensus_fail_unless(Consensus *c, gboolean ok)
{
    if (!ok) {
        c->failed = TRUE;
    }
}

/* Writes the current term and vote; they are durable after the next sync. */
void
consensus_save_vote(Consensus *c)
{
    c->dirty = TRUE;
    consensus_fail_unless(c, c->port.storage.save_vote(
                                 c->port.storage.ctx, c->term,
                                 c->voted_for == NULL ? "" : c->voted_for));
}

/* Appends an entry to the log and takes ownership of the entry; it is durable
 * after the next sync.  A member list takes effect at once. */
void
consensus_log_append(Consensus *c, uint64_t now_us, ConsensusEntry *e)
{
    g_ptr_array_add(c->entries, e);
    c->dirty = TRUE;
    consensus_fail_unless(c, c->port.storage.save_entry(c->port.storage.ctx,
                                                        e->index, e->term,
                                                        e->command));
    if (consensus_entry_kind(e) == kEntryMembers) {
        consensus_members_apply(c, now_us, e);
    }
}

/* Removes the entry at an index and all entries after it. */
void
consensus_log_truncate(Consensus *c, uint64_t now_us, uint64_t from_index)
{
    g_ptr_array_set_size(c->entries, (gint)(from_index - c->offset - 1));
    c->synced_index = MIN(c->synced_index, from_index - 1);
    c->dirty = TRUE;
    consensus_fail_unless(
        c, c->port.storage.save_truncate(c->port.storage.ctx, from_index));
    if (c->members_index >= from_index) {
        consensus_members_recompute(c, now_us);
    }
}

/* Returns a snapshot as it is stored and sent: one line of JSON with the
 * member list, then the state.  The caller owns the reference. */
static GBytes *
snapshot_pack(const GPtrArray *members, uint64_t members_index, GBytes *state)
{
    json_t *header =
        json_pack("{s:I, s:o}", "members_index", (json_int_t)members_index,
                  "members", consensus_members_to_json(members));
    char *text = json_dumps(header, JSON_COMPACT);
    GByteArray *packed = g_byte_array_new();
    size_t size;
    const void *data = g_bytes_get_data(state, &size);

    g_byte_array_append(packed, (const guint8 *)text, (guint)strlen(text));
    g_byte_array_append(packed, (const guint8 *)"\n", 1);
    g_byte_array_append(packed, data, (guint)size);
    free(text);
    json_decref(header);
    return g_byte_array_free_to_bytes(packed);
}

/* Restores the state machine and the member list from a snapshot.  Returns
 * FALSE with kCoreErrorCorrupt if the snapshot is damaged. */
gboolean
consensus_snapshot_unpack(Consensus *c, uint64_t now_us, GBytes *snapshot,
                          GError **error)
{
    size_t size;
    const char *data = g_bytes_get_data(snapshot, &size);
    const char *end = data == NULL ? NULL : memchr(data, '\n', size);
    json_t *header =
        end == NULL ? NULL : json_loadb(data, (size_t)(end - data), 0, NULL);

    if (header == NULL) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorCorrupt,
                            "snapshot has no member list");
        return FALSE;
    }
    GBytes *state = g_bytes_new_from_bytes(snapshot, (size_t)(end + 1 - data),
                                           size - (size_t)(end + 1 - data));
    gboolean ok = c->port.restore(c->port.ctx, now_us, state, error);
    g_bytes_unref(state);
    if (ok) {
        consensus_members_from_json(json_object_get(header, "members"),
                                    c->snapshot_members);
        c->snapshot_members_index =
            (uint64_t)json_integer_or(header, "members_index", 0);
    }
    json_decref(header);
    return ok;
}

/* Sets the latest snapshot and adds a reference to it.  index and term are
 * those of the last entry that the snapshot includes. */
void
consensus_snapshot_set(Consensus *c, GBytes *snapshot, uint64_t index,
                       uint64_t term)
{
    if (c->snapshot != NULL) {
        g_bytes_unref(c->snapshot);
    }
    c->snapshot = g_bytes_ref(snapshot);
    c->snapshot_index = index;
    c->snapshot_term = term;
    c->bytes_after_snapshot = 0;
}

/* Applies all committed entries that are not applied yet. */
void
consensus_log_apply(Consensus *c, uint64_t now_us)
{
    while (c->applied_index < c->commit_index) {
        ConsensusEntry *e = consensus_log_entry(c, c->applied_index + 1);
        if (e == NULL) {
            return;
        }
        c->applied_index++;
        if (consensus_entry_kind(e) != kEntryCommand) {
            continue;
        }
        size_t size = g_bytes_get_size(e->command);
        c->bytes_after_snapshot += size;
        GBytes *body = g_bytes_new_from_bytes(e->command, 1, size - 1);
        c->port.apply(c->port.ctx, now_us, e->index, e->term, body);
        g_bytes_unref(body);
    }
}

/* Returns the index after which entries stay in the log although a snapshot
 * up to snapshot_index includes them. */
static uint64_t
keep_entries_after(const Consensus *c, uint64_t snapshot_index)
{
    uint64_t index = snapshot_index;
    size_t bytes = 0;

    while (index > c->offset &&
           snapshot_index - index < kEntriesKeptBeforeSnapshot) {
        bytes += g_bytes_get_size(consensus_log_entry(c, index)->command);
        if (bytes > kBytesKeptBeforeSnapshot) {
            break;
        }
        index--;
    }
    return index;
}

/* Discards the entries up to an index. */
static void
drop_entries_to(Consensus *c, uint64_t keep_after)
{
    uint64_t term = 0;

    if (keep_after <= c->offset) {
        return;
    }
    consensus_log_term(c, keep_after, &term);
    g_ptr_array_remove_range(c->entries, 0, (guint)(keep_after - c->offset));
    c->offset = keep_after;
    c->offset_term = term;
}

/* Saves a snapshot up to the last applied entry, together with the entries
 * after keep_after. */
static StorageResult
save_snapshot(Consensus *c, uint64_t term, GBytes *snapshot,
              uint64_t keep_after)
{
    GPtrArray *kept = g_ptr_array_new();

    for (uint64_t i = keep_after + 1; i <= consensus_last_index(c); i++) {
        g_ptr_array_add(kept, consensus_log_entry(c, i));
    }
    StorageResult result = c->port.storage.save_snapshot(
        c->port.storage.ctx, c->applied_index, term, snapshot, kept);
    g_ptr_array_unref(kept);
    return result;
}

/* Writes a snapshot if snapshot_interval_entries entries, or entries of
 * kSnapshotIntervalBytes, have been applied since the last one.  Without room
 * the last snapshot and the log stay in force, and it is tried again after
 * kSnapshotRetryIntervalUs. */
void
consensus_snapshot_if_needed(Consensus *c, uint64_t now_us)
{
    uint64_t term = 0;
    gboolean due = c->applied_index - c->snapshot_index >=
                       c->timing.snapshot_interval_entries ||
                   c->bytes_after_snapshot >= kSnapshotIntervalBytes;

    if (!due || now_us < c->snapshot_retry_us ||
        !consensus_log_term(c, c->applied_index, &term)) {
        return;
    }
    /* A later list is not committed and may be truncated. */
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    uint64_t members_index =
        consensus_members_at(c, c->applied_index, members);
    GBytes *state = c->port.dump(c->port.ctx);
    GBytes *snapshot = snapshot_pack(members, members_index, state);
    uint64_t keep_after = keep_entries_after(c, c->applied_index);
    switch (save_snapshot(c, term, snapshot, keep_after)) {
    case kStorageOk:
        consensus_members_copy(members, c->snapshot_members);
        c->snapshot_members_index = members_index;
        consensus_snapshot_set(c, snapshot, c->applied_index, term);
        drop_entries_to(c, keep_after);
        c->snapshots++;
        break;
    case kStorageNoRoom:
        c->snapshot_retry_us = now_us + kSnapshotRetryIntervalUs;
        c->snapshots_postponed++;
        break;
    case kStorageFailed:
        consensus_fail_unless(c, FALSE);
        break;
    }
    g_bytes_unref(snapshot);
    g_bytes_unref(state);
    g_ptr_array_unref(members);
}

/* Loads the saved term, vote, snapshot and entries.  Returns FALSE with
 * kCoreErrorCorrupt if the snapshot is damaged or entries are missing. */
gboolean
consensus_log_load(Consensus *c, uint64_t now_us, const ConsensusSaved *saved,
                   GError **error)
{
    c->term = saved->term;
    if (saved->voted_for != NULL && saved->voted_for[0] != '\0') {
        c->voted_for = g_strdup(saved->voted_for);
    }
    if (saved->snapshot != NULL) {
        if (!consensus_snapshot_unpack(c, now_us, saved->snapshot, error)) {
            return FALSE;
        }
        consensus_snapshot_set(c, saved->snapshot, saved->snapshot_index,
                               saved->snapshot_term);
        c->offset = saved->snapshot_index;
        c->offset_term = saved->snapshot_term;
        c->commit_index = saved->snapshot_index;
        c->applied_index = saved->snapshot_index;
    }
    for (guint i = 0; i < saved->entries->len; i++) {
        ConsensusEntry *e = g_ptr_array_index(saved->entries, i);
        if (e->index <= c->offset) {
            continue;
        }
        if (e->index != consensus_last_index(c) + 1) {
            g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                        "log entry %" G_GUINT64_FORMAT
                        " follows %" G_GUINT64_FORMAT,
                        e->index, consensus_last_index(c));
            return FALSE;
        }
        g_ptr_array_add(
            c->entries,
            consensus_entry_new(e->index, e->term, g_bytes_ref(e->command)));
    }
    c->synced_index = consensus_last_index(c);
    c->saved_term = c->term;
    consensus_members_recompute(c, now_us);
    return TRUE;
}
