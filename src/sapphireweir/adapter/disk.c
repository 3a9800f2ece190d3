#include "adapter/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include "core/consensus.h"
#include "core/error.h"
#include "core/schema.h"

/* The data folder of a control instance:
 *
 *   lock       locked (flock) while a process uses the folder
 *   identity   JSON: identity of the folder, id of its instance, name of the
 *              cluster; written once
 *   log        records, appended and synced
 *   snapshot   one record; replaced through a temporary file and a rename
 *
 * A record consists of the payload length (u32), the CRC-32 of type and
 * payload (u32), the type (one byte) and the payload; integers are
 * little-endian.  An incomplete or damaged record at the end of the log is an
 * interrupted write and is truncated.  If a valid record follows it, the log
 * is corrupt and the folder is refused, unless truncate_at_damage is set.
 *
 * A write that fails for lack of room is undone: the log is cut back to its
 * durable length, and the pending records are written again by the next sync.
 * Any other error is final, since after a failed sync it is unknown what the
 * page cache holds. */

enum {
    kRecordHeaderBytes = 9,      /* length, checksum and type */
    kRecordMaxBytes = 256 << 20, /* of the payload */
    kIdentityBytes = 8,          /* random, written as hexadecimal digits */
};

/* Types as stored; each record starts with the fields in parentheses, of 64
 * bits each. */
typedef enum {
    kRecordVote = 1,     /* (term) id of the instance voted for */
    kRecordEntry = 2,    /* (index, term) command of a log entry */
    kRecordTruncate = 3, /* (index) of the first entry to remove */
    kRecordSnapshot = 4, /* (index, term) state; in the file snapshot */
} RecordType;

struct Disk {
    char *folder;
    char *identity;
    int lock_fd;
    int log_fd;
    uint64_t log_bytes; /* durable length of the log */
    gboolean is_new;
    DiskIo io;
    GByteArray *pending;  /* encoded records not yet written to the log */
    ConsensusSaved saved; /* state as loaded by disk_open */
    uint64_t syncs;
    uint64_t vote_term; /* term of the last saved vote */
    char *voted_for;    /* "" if none in that term */
};

/* Sets a kCoreErrorIo from errno; operation is a verb ("open").  Returns
 * FALSE. */
static gboolean
set_io_error(GError **error, const char *operation, const char *path)
{
    g_set_error(error, CORE_ERROR, kCoreErrorIo, "cannot %s %s: %s", operation,
                path, g_strerror(errno));
    return FALSE;
}

/* Returns the path of a file in the folder; the caller frees it. */
static char *
build_path(const Disk *d, const char *name)
{
    return g_build_filename(d->folder, name, NULL);
}

/* Syncs the folder itself, which makes a rename in it durable. */
static gboolean
sync_folder(const Disk *d)
{
    int fd = open(d->folder, O_RDONLY | O_DIRECTORY);
    gboolean ok = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return ok;
}

/* Returns what a failed open or write means for the storage.  EFBIG is the
 * limit of a file's size; as with a full disk, the file stays as it was. */
static StorageResult
result_of_error(int error)
{
    return error == ENOSPC || error == EDQUOT || error == EFBIG
               ? kStorageNoRoom
               : kStorageFailed;
}

/* Writes all bytes, and stores in written how many were.  On FALSE errno has
 * the reason. */
static gboolean
write_all(const Disk *d, int fd, const void *data, size_t size,
          size_t *written)
{
    *written = 0;
    while (*written < size) {
        const uint8_t *next = (const uint8_t *)data + *written;
        ssize_t bytes = d->io.write == NULL ? write(fd, next, size - *written)
                                            : d->io.write(d->io.ctx, fd, next,
                                                          size - *written);
        if (bytes < 0 && errno == EINTR) {
            continue;
        }
        if (bytes <= 0) {
            errno = bytes == 0 ? EIO : errno;
            return FALSE;
        }
        *written += (size_t)bytes;
    }
    return TRUE;
}

/* Makes what was written to a file durable.  On FALSE errno has the reason. */
static gboolean
sync_file(const Disk *d, int fd)
{
    return (d->io.sync == NULL ? fdatasync(fd) : d->io.sync(d->io.ctx, fd)) ==
           0;
}

/* Returns the path of the file that is to replace a file in the folder; the
 * caller frees it. */
static char *
build_new_path(const Disk *d, const char *name)
{
    char *path = build_path(d, name);
    char *new_path = g_strconcat(path, ".new", NULL);
    g_free(path);
    return new_path;
}

/* Removes the file that was to replace a file, and keeps errno. */
static void
remove_new_file(const Disk *d, const char *name)
{
    int error = errno;
    char *path = build_new_path(d, name);
    unlink(path);
    g_free(path);
    errno = error;
}

/* Writes and syncs the file that is to replace a file; on failure removes it.
 * errno then has the reason. */
static StorageResult
write_new_file(const Disk *d, const char *name, const void *data, size_t size)
{
    char *path = build_new_path(d, name);
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    size_t written = 0;
    StorageResult result = kStorageOk;

    if (fd < 0 || !write_all(d, fd, data, size, &written)) {
        result = result_of_error(errno);
    }
    else if (!sync_file(d, fd)) {
        result = kStorageFailed;
    }
    int error = errno;
    if (fd >= 0) {
        close(fd);
    }
    errno = error;
    if (result != kStorageOk) {
        remove_new_file(d, name);
    }
    g_free(path);
    return result;
}

/* Renames the new file into the place of the old one, durably.  On FALSE errno
 * has the reason. */
static gboolean
commit_new_file(const Disk *d, const char *name)
{
    char *path = build_path(d, name);
    char *new_path = build_new_path(d, name);
    gboolean ok = rename(new_path, path) == 0 && sync_folder(d);
    g_free(new_path);
    g_free(path);
    return ok;
}

/* ---- records ---- */

/* Writes a number to out in little-endian byte order. */
static void
put_u32(uint8_t *out, uint32_t value)
{
    uint32_t wire = GUINT32_TO_LE(value);
    memcpy(out, &wire, sizeof(wire));
}

/* Reads a number in little-endian byte order. */
static uint32_t
get_u32(const uint8_t *in)
{
    uint32_t wire;
    memcpy(&wire, in, sizeof(wire));
    return GUINT32_FROM_LE(wire);
}

/* Appends a number in little-endian byte order. */
static void
append_u64(GByteArray *out, uint64_t value)
{
    uint64_t wire = GUINT64_TO_LE(value);
    g_byte_array_append(out, (const guint8 *)&wire, sizeof(wire));
}

/* Reads a number in little-endian byte order. */
static uint64_t
get_u64(const uint8_t *in)
{
    uint64_t wire;
    memcpy(&wire, in, sizeof(wire));
    return GUINT64_FROM_LE(wire);
}

/* Returns the CRC-32 of a record's type and payload. */
static uint32_t
record_checksum(uint8_t type, const uint8_t *payload, size_t size)
{
    uLong sum = crc32(0, &type, 1);
    return (uint32_t)crc32_z(sum, payload, size);
}

/* Encodes a record and appends it to out. */
static void
append_record(GByteArray *out, RecordType type, const GByteArray *payload)
{
    uint8_t header[kRecordHeaderBytes];
    put_u32(header, payload->len);
    put_u32(header + 4,
            record_checksum((uint8_t)type, payload->data, payload->len));
    header[8] = (uint8_t)type;
    g_byte_array_append(out, header, sizeof(header));
    g_byte_array_append(out, payload->data, payload->len);
}

/* A decoded record. */
typedef struct {
    RecordType type;
    const uint8_t *payload;
    size_t size; /* of the payload, in bytes */
} Record;

/* Reads the record at an offset; its payload points into data.  Returns FALSE
 * if there is no complete, valid record. */
static gboolean
read_record(const uint8_t *data, size_t size, size_t offset, Record *r)
{
    if (size - offset < kRecordHeaderBytes) {
        return FALSE;
    }
    r->size = get_u32(data + offset);
    r->type = (RecordType)data[offset + 8];
    r->payload = data + offset + kRecordHeaderBytes;
    if (r->size > kRecordMaxBytes ||
        r->size > size - offset - kRecordHeaderBytes ||
        r->type < kRecordVote || r->type > kRecordSnapshot) {
        return FALSE;
    }
    return get_u32(data + offset + 4) ==
           record_checksum((uint8_t)r->type, r->payload, r->size);
}

/* Returns whether a valid record starts at any later offset. */
static gboolean
valid_record_follows(const uint8_t *data, size_t size, size_t offset)
{
    Record r;
    for (size_t i = offset + 1; i + kRecordHeaderBytes <= size; i++) {
        if (read_record(data, size, i, &r) && r.size > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Appends a record with a log entry to out. */
static void
encode_entry(GByteArray *out, uint64_t index, uint64_t term, GBytes *command)
{
    size_t size;
    const void *data = g_bytes_get_data(command, &size);
    GByteArray *payload = g_byte_array_new();

    append_u64(payload, index);
    append_u64(payload, term);
    if (size > 0) {
        g_byte_array_append(payload, data, (guint)size);
    }
    append_record(out, kRecordEntry, payload);
    g_byte_array_unref(payload);
}

/* Appends a record with the current term and vote to out. */
static void
encode_vote(GByteArray *out, uint64_t term, const char *voted_for)
{
    GByteArray *payload = g_byte_array_new();
    append_u64(payload, term);
    g_byte_array_append(payload, (const guint8 *)voted_for,
                        (guint)strlen(voted_for));
    append_record(out, kRecordVote, payload);
    g_byte_array_unref(payload);
}

/* ---- loading ---- */

/* Removes the entries from index on. */
static void
drop_entries_from(ConsensusSaved *s, uint64_t index)
{
    while (s->entries->len > 0) {
        ConsensusEntry *last =
            g_ptr_array_index(s->entries, s->entries->len - 1);
        if (last->index < index) {
            return;
        }
        g_ptr_array_set_size(s->entries, (gint)s->entries->len - 1);
    }
}

/* Applies a record of the log to the saved state.  An entry replaces all
 * entries from its index on. */
static void
apply_record(Disk *d, const Record *r)
{
    ConsensusSaved *s = &d->saved;
    switch (r->type) {
    case kRecordVote:
        s->term = get_u64(r->payload);
        g_free(s->voted_for);
        s->voted_for = g_strndup((const char *)r->payload + 8, r->size - 8);
        break;
    case kRecordEntry: {
        uint64_t index = get_u64(r->payload);
        drop_entries_from(s, index);
        g_ptr_array_add(
            s->entries,
            consensus_entry_new(index, get_u64(r->payload + 8),
                                g_bytes_new(r->payload + 16, r->size - 16)));
        break;
    }
    case kRecordTruncate:
        drop_entries_from(s, get_u64(r->payload));
        break;
    case kRecordSnapshot:
        break;
    }
}

/* Returns whether a record is long enough for the fixed part of its type. */
static gboolean
record_size_valid(const Record *r)
{
    size_t min_bytes = r->type == kRecordEntry || r->type == kRecordSnapshot
                           ? 2 * sizeof(uint64_t)
                           : sizeof(uint64_t);
    return r->size >= min_bytes;
}

/* Truncates the log from size bytes to offset bytes and syncs it. */
static gboolean
truncate_log(Disk *d, const char *path, size_t offset, size_t size,
             GError **error)
{
    g_message("%s: truncated %zu bytes of an incomplete write at the end",
              path, size - offset);
    if (ftruncate(d->log_fd, (off_t)offset) != 0 || fsync(d->log_fd) != 0) {
        return set_io_error(error, "truncate", path);
    }
    return TRUE;
}

/* Opens the log, creates it if missing, and applies its records.  Fails with
 * kCoreErrorIo or kCoreErrorCorrupt. */
static gboolean
load_log(Disk *d, gboolean truncate_at_damage, GError **error)
{
    char *path = build_path(d, "log");
    char *data = NULL;
    size_t size = 0;
    size_t offset = 0;
    Record r;
    gboolean ok = TRUE;

    d->log_fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (d->log_fd < 0 || !g_file_get_contents(path, &data, &size, NULL)) {
        set_io_error(error, "open", path);
        g_free(path);
        return FALSE;
    }
    const uint8_t *bytes = (const uint8_t *)data;
    while (offset < size && read_record(bytes, size, offset, &r) &&
           record_size_valid(&r)) {
        apply_record(d, &r);
        offset += kRecordHeaderBytes + r.size;
    }
    if (offset < size && !truncate_at_damage &&
        valid_record_follows(bytes, size, offset)) {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "%s is damaged at byte %zu of %zu: valid records follow, "
                    "so this is not an incomplete write. Remove this instance "
                    "from the cluster, empty the folder and add it again",
                    path, offset, size);
        ok = FALSE;
    }
    else if (offset < size) {
        ok = truncate_log(d, path, offset, size, error);
    }
    else if (fdatasync(d->log_fd) != 0) {
        /* A previous process may have been killed between write and sync;
         * its records must be durable before this one relies on them. */
        ok = set_io_error(error, "sync", path);
    }
    d->log_bytes = offset;
    g_free(data);
    g_free(path);
    return ok;
}

/* Loads the snapshot if there is one.  Fails with kCoreErrorCorrupt if it is
 * damaged, or with the error of reading the file. */
static gboolean
load_snapshot(Disk *d, GError **error)
{
    char *path = build_path(d, "snapshot");
    char *data = NULL;
    size_t size = 0;
    Record r;
    gboolean ok = TRUE;

    if (g_file_test(path, G_FILE_TEST_EXISTS)) {
        ok = g_file_get_contents(path, &data, &size, error);
        if (ok && (!read_record((const uint8_t *)data, size, 0, &r) ||
                   r.type != kRecordSnapshot || !record_size_valid(&r))) {
            g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                        "%s is damaged at byte 0 of %zu. Remove this "
                        "instance from the cluster, empty the folder and add "
                        "it again",
                        path, size);
            ok = FALSE;
        }
        if (ok) {
            d->saved.snapshot_index = get_u64(r.payload);
            d->saved.snapshot_term = get_u64(r.payload + 8);
            d->saved.snapshot = g_bytes_new(r.payload + 16, r.size - 16);
        }
    }
    g_free(data);
    g_free(path);
    return ok;
}

/* ---- identity and lock ---- */

/* Writes to out the identity that an initial voter's data folder gets, and
 * returns out.  The identity is derived from the names, since the initial
 * voters must know each other's identities before they can exchange
 * messages. */
const char *
disk_bootstrap_identity(const char *cluster, const char *instance_id,
                        char *out, size_t out_bytes)
{
    g_snprintf(out, (gulong)out_bytes, "first-%s-%s", cluster, instance_id);
    return out;
}

/* Creates the identity file, with a derived identity for an initial voter,
 * else a random one. */
static gboolean
create_identity(Disk *d, const DiskSettings *s, GError **error)
{
    char identity[256];
    if (s->bootstrap) {
        disk_bootstrap_identity(s->cluster, s->instance_id, identity,
                                sizeof(identity));
    }
    else {
        uint8_t random[kIdentityBytes];
        randombytes_buf(random, sizeof(random));
        sodium_bin2hex(identity, sizeof(identity), random, sizeof(random));
    }
    json_t *all = json_pack("{s:s, s:s, s:s}", "identity", identity,
                            "instance", s->instance_id, "cluster", s->cluster);
    char *text = json_dumps(all, JSON_INDENT(2));
    gboolean ok =
        write_new_file(d, "identity", text, strlen(text)) == kStorageOk &&
        commit_new_file(d, "identity");
    free(text);
    json_decref(all);
    if (!ok) {
        return set_io_error(error, "write the identity file in", d->folder);
    }
    d->identity = g_strdup(identity);
    d->is_new = TRUE;
    return TRUE;
}

/* Loads the identity file, or creates it in a new folder.  Fails with
 * kCoreErrorCorrupt if the folder belongs to another instance or cluster. */
static gboolean
load_identity(Disk *d, const DiskSettings *s, GError **error)
{
    char *path = build_path(d, "identity");
    json_error_t parse_error;

    if (!g_file_test(path, G_FILE_TEST_EXISTS)) {
        g_free(path);
        return create_identity(d, s, error);
    }
    json_t *all = json_load_file(path, 0, &parse_error);
    gboolean ok =
        strcmp(json_text_or(all, "instance", ""), s->instance_id) == 0 &&
        strcmp(json_text_or(all, "cluster", ""), s->cluster) == 0;
    if (ok) {
        d->identity = g_strdup(json_text_or(all, "identity", ""));
    }
    else {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "%s belongs to instance \"%s\" in cluster \"%s\"", path,
                    json_text_or(all, "instance", "?"),
                    json_text_or(all, "cluster", "?"));
    }
    json_decref(all);
    g_free(path);
    return ok;
}

/* Locks the folder against other processes until it is closed. */
static gboolean
acquire_lock(Disk *d, GError **error)
{
    char *path = build_path(d, "lock");
    gboolean ok = TRUE;

    d->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (d->lock_fd < 0 || flock(d->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo,
                    "%s is in use by another process", path);
        ok = FALSE;
    }
    g_free(path);
    return ok;
}

/* Opens a data folder and creates it if missing.  Fails with kCoreErrorIo, or
 * with kCoreErrorCorrupt if the folder is damaged or belongs to another
 * instance.  The caller closes it with disk_close. */
Disk *
disk_open(const DiskSettings *settings, GError **error)
{
    Disk *d = g_new0(Disk, 1);

    d->folder = g_strdup(settings->folder);
    d->lock_fd = -1;
    d->log_fd = -1;
    d->io = settings->io;
    d->pending = g_byte_array_new();
    d->saved.entries = g_ptr_array_new_with_free_func(consensus_entry_free);
    if (g_mkdir_with_parents(d->folder, 0700) != 0) {
        set_io_error(error, "create", d->folder);
        disk_close(d);
        return NULL;
    }
    if (!acquire_lock(d, error)) {
        disk_close(d);
        return NULL;
    }
    /* A process that was killed while it wrote them may have left these; on a
     * full disk their room is needed. */
    remove_new_file(d, "snapshot");
    remove_new_file(d, "log");
    if (!load_identity(d, settings, error) || !load_snapshot(d, error) ||
        !load_log(d, settings->truncate_at_damage, error)) {
        disk_close(d);
        return NULL;
    }
    d->vote_term = d->saved.term;
    d->voted_for =
        g_strdup(d->saved.voted_for == NULL ? "" : d->saved.voted_for);
    return d;
}

/* Closes the folder, releases its lock and frees the disk.  Records that were
 * not synced are discarded. */
void
disk_close(Disk *d)
{
    if (d->log_fd >= 0) {
        close(d->log_fd);
    }
    if (d->lock_fd >= 0) {
        close(d->lock_fd);
    }
    if (d->saved.snapshot != NULL) {
        g_bytes_unref(d->saved.snapshot);
    }
    g_ptr_array_unref(d->saved.entries);
    g_byte_array_unref(d->pending);
    g_free(d->saved.voted_for);
    g_free(d->voted_for);
    g_free(d->identity);
    g_free(d->folder);
    g_free(d);
}

/* Returns the identity of the folder, by which it differs from an earlier
 * folder of the same instance.  The disk owns the string. */
const char *
disk_identity(const Disk *d)
{
    return d->identity;
}

/* Returns whether disk_open created the folder's identity. */
gboolean
disk_is_new(const Disk *d)
{
    return d->is_new;
}

/* Returns the state that the folder held when it was opened; the disk owns
 * it. */
const ConsensusSaved *
disk_saved(const Disk *d)
{
    return &d->saved;
}

/* Returns the number of log syncs since the folder was opened. */
uint64_t
disk_syncs(const Disk *d)
{
    return d->syncs;
}

/* ---- writing ---- */

/* Adds a vote to the pending records, which port_sync makes durable. */
static gboolean
port_save_vote(void *ctx, uint64_t term, const char *voted_for)
{
    Disk *d = ctx;
    char *copy = g_strdup(voted_for);
    g_free(d->voted_for);
    d->voted_for = copy;
    d->vote_term = term;
    encode_vote(d->pending, term, voted_for);
    return TRUE;
}

/* Adds a log entry to the pending records. */
static gboolean
port_save_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    Disk *d = ctx;
    encode_entry(d->pending, index, term, command);
    return TRUE;
}

/* Adds the removal of the entries from an index on to the pending records. */
static gboolean
port_save_truncate(void *ctx, uint64_t from_index)
{
    Disk *d = ctx;
    GByteArray *payload = g_byte_array_new();
    append_u64(payload, from_index);
    append_record(d->pending, kRecordTruncate, payload);
    g_byte_array_unref(payload);
    return TRUE;
}

/* Removes what was written beyond the durable length of the log, so that
 * neither this process nor the next one takes it as durable.  Returns FALSE if
 * that is not certain. */
static gboolean
cut_back_log(const Disk *d)
{
    return ftruncate(d->log_fd, (off_t)d->log_bytes) == 0 &&
           fsync(d->log_fd) == 0;
}

/* Writes the pending records to the log and makes them durable.  Without room
 * they stay pending. */
static StorageResult
port_sync(void *ctx)
{
    Disk *d = ctx;
    size_t written;
    StorageResult result = kStorageOk;

    if (!write_all(d, d->log_fd, d->pending->data, d->pending->len,
                   &written)) {
        result = result_of_error(errno);
    }
    else if (!sync_file(d, d->log_fd)) {
        result = kStorageFailed;
    }
    if (result == kStorageOk) {
        d->log_bytes += written;
        g_byte_array_set_size(d->pending, 0);
        d->syncs++;
        return kStorageOk;
    }
    int error = errno;
    if (written > 0 && !cut_back_log(d)) {
        result = kStorageFailed;
    }
    if (result == kStorageFailed) {
        g_critical("cannot write the log in %s: %s", d->folder,
                   g_strerror(error));
        g_byte_array_set_size(d->pending, 0);
    }
    return result;
}

/* Writes the files that are to replace the snapshot and the log.  Leaves none
 * behind unless both are complete, so that an old log is not kept beside a new
 * snapshot for lack of room. */
static StorageResult
write_new_files(const Disk *d, const GByteArray *snapshot,
                const GByteArray *log)
{
    StorageResult result =
        write_new_file(d, "snapshot", snapshot->data, snapshot->len);
    if (result != kStorageOk) {
        return result;
    }
    result = write_new_file(d, "log", log->data, log->len);
    if (result != kStorageOk) {
        remove_new_file(d, "snapshot");
    }
    return result;
}

/* Opens the log after it was replaced by one of so many bytes, which includes
 * all pending records. */
static gboolean
reopen_log(Disk *d, uint64_t bytes)
{
    char *path = build_path(d, "log");
    close(d->log_fd);
    d->log_fd = open(path, O_RDWR | O_APPEND | O_CLOEXEC);
    d->log_bytes = bytes;
    g_byte_array_set_size(d->pending, 0);
    g_free(path);
    return d->log_fd >= 0;
}

/* Replaces the snapshot, then the log by one with the current vote and the
 * given entries. */
static StorageResult
port_save_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
                   const GPtrArray *entries)
{
    Disk *d = ctx;
    size_t size;
    const void *data = g_bytes_get_data(snapshot, &size);
    GByteArray *payload = g_byte_array_new();
    GByteArray *new_snapshot = g_byte_array_new();
    GByteArray *new_log = g_byte_array_new();

    append_u64(payload, index);
    append_u64(payload, term);
    g_byte_array_append(payload, data, (guint)size);
    append_record(new_snapshot, kRecordSnapshot, payload);
    /* The vote and the given entries include all pending records, which need
     * not be written again. */
    encode_vote(new_log, d->vote_term, d->voted_for);
    for (guint i = 0; i < entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(entries, i);
        encode_entry(new_log, e->index, e->term, e->command);
    }
    StorageResult result = write_new_files(d, new_snapshot, new_log);
    if (result == kStorageOk &&
        (!commit_new_file(d, "snapshot") || !commit_new_file(d, "log") ||
         !reopen_log(d, new_log->len))) {
        result = kStorageFailed;
    }
    if (result == kStorageFailed) {
        g_critical("cannot write a snapshot in %s: %s", d->folder,
                   g_strerror(errno));
    }
    g_byte_array_unref(new_log);
    g_byte_array_unref(new_snapshot);
    g_byte_array_unref(payload);
    return result;
}

/* Returns the storage port of the folder; valid until disk_close. */
StoragePort
disk_port(Disk *d)
{
    return (StoragePort){
        .ctx = d,
        .save_vote = port_save_vote,
        .save_entry = port_save_entry,
        .save_truncate = port_save_truncate,
        .save_snapshot = port_save_snapshot,
        .sync = port_sync,
    };
}
