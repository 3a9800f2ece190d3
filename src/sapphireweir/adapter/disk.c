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
 *   lock       held while a process uses the folder
 *   identity   JSON: whose folder it is; made once
 *   log        records, appended and synced
 *   snapshot   one record, written aside and renamed
 *
 * A record is its length, the CRC-32 of what follows, a type and the
 * payload.  An incomplete or damaged record at the very end is a torn tail
 * and is cut; one with a valid record behind it is damage, and the folder
 * is refused. */

enum {
    kRecordHeaderBytes = 9, /* length, checksum, type */
    kRecordMaxBytes = 256 << 20,
    kIdentityBytes = 8,
};

typedef enum {
    kRecordVote = 1,
    kRecordEntry = 2,
    kRecordTruncate = 3,
    kRecordSnapshot = 4,
} RecordType;

struct Disk {
    char *folder;
    char *identity;
    int lock_fd;
    int log_fd;
    gboolean is_new;
    GByteArray *pending; /* records not yet handed to the kernel */
    ConsensusSaved saved;
    uint64_t syncs;
    uint64_t vote_term;
    char *voted_for;
};

static gboolean
set_io_error(GError **error, const char *what, const char *path)
{
    g_set_error(error, CORE_ERROR, kCoreErrorIo, "cannot %s %s: %s", what,
                path, g_strerror(errno));
    return FALSE;
}

static char *
path_in(const Disk *d, const char *name)
{
    return g_build_filename(d->folder, name, NULL);
}

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

static gboolean
write_all(int fd, const void *data, size_t size)
{
    const uint8_t *at = data;
    while (size > 0) {
        ssize_t written = write(fd, at, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return FALSE;
        }
        at += written;
        size -= (size_t)written;
    }
    return TRUE;
}

/* Writes a file aside, syncs it and renames it into place. */
static gboolean
replace_file(const Disk *d, const char *name, const void *data, size_t size)
{
    char *path = path_in(d, name);
    char *aside = g_strconcat(path, ".new", NULL);
    int fd = open(aside, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    gboolean ok = fd >= 0 && write_all(fd, data, size) && fsync(fd) == 0;

    if (fd >= 0) {
        close(fd);
    }
    ok = ok && rename(aside, path) == 0 && sync_folder(d);
    g_free(aside);
    g_free(path);
    return ok;
}

/* ---- records ---- */

static void
put_u32(uint8_t *at, uint32_t value)
{
    uint32_t wire = GUINT32_TO_LE(value);
    memcpy(at, &wire, sizeof(wire));
}

static uint32_t
get_u32(const uint8_t *at)
{
    uint32_t wire;
    memcpy(&wire, at, sizeof(wire));
    return GUINT32_FROM_LE(wire);
}

static void
append_u64(GByteArray *out, uint64_t value)
{
    uint64_t wire = GUINT64_TO_LE(value);
    g_byte_array_append(out, (const guint8 *)&wire, sizeof(wire));
}

static uint64_t
get_u64(const uint8_t *at)
{
    uint64_t wire;
    memcpy(&wire, at, sizeof(wire));
    return GUINT64_FROM_LE(wire);
}

static uint32_t
record_checksum(uint8_t type, const uint8_t *payload, size_t size)
{
    uLong sum = crc32(0, &type, 1);
    return (uint32_t)crc32_z(sum, payload, size);
}

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

typedef struct {
    RecordType type;
    const uint8_t *payload;
    size_t size;
} Record;

/* Reads the record at an offset; FALSE when there is no whole, valid one. */
static gboolean
read_record(const uint8_t *data, size_t size, size_t at, Record *r)
{
    if (size - at < kRecordHeaderBytes) {
        return FALSE;
    }
    r->size = get_u32(data + at);
    r->type = (RecordType)data[at + 8];
    r->payload = data + at + kRecordHeaderBytes;
    if (r->size > kRecordMaxBytes ||
        r->size > size - at - kRecordHeaderBytes || r->type < kRecordVote ||
        r->type > kRecordSnapshot) {
        return FALSE;
    }
    return get_u32(data + at + 4) ==
           record_checksum((uint8_t)r->type, r->payload, r->size);
}

/* Tells whether a valid record follows anywhere behind an offset. */
static gboolean
valid_record_behind(const uint8_t *data, size_t size, size_t at)
{
    Record r;
    for (size_t i = at + 1; i + kRecordHeaderBytes <= size; i++) {
        if (read_record(data, size, i, &r) && r.size > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

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

static void
take_record(Disk *d, const Record *r)
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

static gboolean
record_size_sane(const Record *r)
{
    size_t least = r->type == kRecordEntry || r->type == kRecordSnapshot
                       ? 2 * sizeof(uint64_t)
                       : sizeof(uint64_t);
    return r->size >= least;
}

static gboolean
cut_log(Disk *d, const char *path, size_t at, size_t size, GError **error)
{
    g_message("%s: %zu bytes of an unfinished write at its end are cut", path,
              size - at);
    if (ftruncate(d->log_fd, (off_t)at) != 0 || fsync(d->log_fd) != 0) {
        return set_io_error(error, "cut", path);
    }
    return TRUE;
}

static gboolean
load_log(Disk *d, gboolean cut_damage, GError **error)
{
    char *path = path_in(d, "log");
    char *data = NULL;
    size_t size = 0;
    size_t at = 0;
    Record r;
    gboolean ok = TRUE;

    d->log_fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (d->log_fd < 0 || !g_file_get_contents(path, &data, &size, NULL)) {
        set_io_error(error, "open", path);
        g_free(path);
        return FALSE;
    }
    const uint8_t *bytes = (const uint8_t *)data;
    while (at < size && read_record(bytes, size, at, &r) &&
           record_size_sane(&r)) {
        take_record(d, &r);
        at += kRecordHeaderBytes + r.size;
    }
    if (at < size && !cut_damage && valid_record_behind(bytes, size, at)) {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "%s is damaged at byte %zu of %zu: valid records follow, "
                    "so this is no unfinished write. Remove this instance "
                    "from the cluster, empty the folder and add it anew",
                    path, at, size);
        ok = FALSE;
    }
    else if (at < size) {
        ok = cut_log(d, path, at, size, error);
    }
    else if (fdatasync(d->log_fd) != 0) {
        /* What a killed process had written must be durable before this
         * one counts it as held. */
        ok = set_io_error(error, "sync", path);
    }
    g_free(data);
    g_free(path);
    return ok;
}

static gboolean
load_snapshot(Disk *d, GError **error)
{
    char *path = path_in(d, "snapshot");
    char *data = NULL;
    size_t size = 0;
    Record r;
    gboolean ok = TRUE;

    if (g_file_test(path, G_FILE_TEST_EXISTS)) {
        ok = g_file_get_contents(path, &data, &size, error);
        if (ok && (!read_record((const uint8_t *)data, size, 0, &r) ||
                   r.type != kRecordSnapshot || !record_size_sane(&r))) {
            g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                        "%s is damaged at byte 0 of %zu. Remove this "
                        "instance from the cluster, empty the folder and add "
                        "it anew",
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

/* Writes the identity that a bootstrap folder of an instance has; the first
 * voters must know each other's before they meet.  Returns out. */
const char *
disk_bootstrap_identity(const char *cluster, const char *instance_id,
                        char *out, size_t out_bytes)
{
    g_snprintf(out, (gulong)out_bytes, "first-%s-%s", cluster, instance_id);
    return out;
}

static gboolean
make_identity(Disk *d, const DiskSettings *s, GError **error)
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
    gboolean ok = replace_file(d, "identity", text, strlen(text));
    free(text);
    json_decref(all);
    if (!ok) {
        return set_io_error(error, "write identity in", d->folder);
    }
    d->identity = g_strdup(identity);
    d->is_new = TRUE;
    return TRUE;
}

static gboolean
load_identity(Disk *d, const DiskSettings *s, GError **error)
{
    char *path = path_in(d, "identity");
    json_error_t why;

    if (!g_file_test(path, G_FILE_TEST_EXISTS)) {
        g_free(path);
        return make_identity(d, s, error);
    }
    json_t *all = json_load_file(path, 0, &why);
    gboolean ok =
        strcmp(json_text_or(all, "instance", ""), s->instance_id) == 0 &&
        strcmp(json_text_or(all, "cluster", ""), s->cluster) == 0;
    if (ok) {
        d->identity = g_strdup(json_text_or(all, "identity", ""));
    }
    else {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "%s is of instance \"%s\" in cluster \"%s\"", path,
                    json_text_or(all, "instance", "?"),
                    json_text_or(all, "cluster", "?"));
    }
    json_decref(all);
    g_free(path);
    return ok;
}

static gboolean
take_lock(Disk *d, GError **error)
{
    char *path = path_in(d, "lock");
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

/* Opens a data folder, made when missing.  Fails with kCoreErrorIo, or with
 * kCoreErrorCorrupt for a folder that is damaged or another's. */
Disk *
disk_open(const DiskSettings *settings, GError **error)
{
    Disk *d = g_new0(Disk, 1);

    d->folder = g_strdup(settings->folder);
    d->lock_fd = -1;
    d->log_fd = -1;
    d->pending = g_byte_array_new();
    d->saved.entries = g_ptr_array_new_with_free_func(consensus_entry_free);
    if (g_mkdir_with_parents(d->folder, 0700) != 0) {
        set_io_error(error, "make", d->folder);
        disk_close(d);
        return NULL;
    }
    if (!take_lock(d, error) || !load_identity(d, settings, error) ||
        !load_snapshot(d, error) ||
        !load_log(d, settings->cut_damage, error)) {
        disk_close(d);
        return NULL;
    }
    d->vote_term = d->saved.term;
    d->voted_for =
        g_strdup(d->saved.voted_for == NULL ? "" : d->saved.voted_for);
    return d;
}

/* Closes the folder. */
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

/* Returns the identity of the folder. */
const char *
disk_identity(const Disk *d)
{
    return d->identity;
}

/* Tells whether the folder was made just now. */
gboolean
disk_is_new(const Disk *d)
{
    return d->is_new;
}

/* Returns what the folder held when it was opened. */
const ConsensusSaved *
disk_saved(const Disk *d)
{
    return &d->saved;
}

/* Returns how many syncs there were. */
uint64_t
disk_syncs(const Disk *d)
{
    return d->syncs;
}

/* ---- writing ---- */

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

static gboolean
port_save_entry(void *ctx, uint64_t index, uint64_t term, GBytes *command)
{
    Disk *d = ctx;
    encode_entry(d->pending, index, term, command);
    return TRUE;
}

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

static gboolean
port_sync(void *ctx)
{
    Disk *d = ctx;
    gboolean ok = write_all(d->log_fd, d->pending->data, d->pending->len) &&
                  fdatasync(d->log_fd) == 0;
    if (!ok) {
        g_critical("cannot write the log in %s: %s", d->folder,
                   g_strerror(errno));
    }
    g_byte_array_set_size(d->pending, 0);
    d->syncs++;
    return ok;
}

static gboolean
port_save_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
                   const GPtrArray *entries)
{
    Disk *d = ctx;
    size_t size;
    const void *data = g_bytes_get_data(snapshot, &size);
    GByteArray *payload = g_byte_array_new();
    GByteArray *out = g_byte_array_new();

    append_u64(payload, index);
    append_u64(payload, term);
    g_byte_array_append(payload, data, (guint)size);
    append_record(out, kRecordSnapshot, payload);
    gboolean ok = replace_file(d, "snapshot", out->data, out->len);

    /* The new log holds the vote and the kept entries, with those that
     * were still pending. */
    g_byte_array_set_size(out, 0);
    encode_vote(out, d->vote_term, d->voted_for);
    for (guint i = 0; i < entries->len; i++) {
        const ConsensusEntry *e = g_ptr_array_index(entries, i);
        encode_entry(out, e->index, e->term, e->command);
    }
    ok = ok && replace_file(d, "log", out->data, out->len);
    g_byte_array_unref(out);
    g_byte_array_unref(payload);
    if (!ok) {
        g_critical("cannot write a snapshot in %s: %s", d->folder,
                   g_strerror(errno));
        return FALSE;
    }
    g_byte_array_set_size(d->pending, 0);
    close(d->log_fd);
    char *path = path_in(d, "log");
    d->log_fd = open(path, O_RDWR | O_APPEND | O_CLOEXEC);
    g_free(path);
    return d->log_fd >= 0;
}

/* Returns the storage port of the folder. */
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
