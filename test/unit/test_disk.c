#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "adapter/disk.h"
#include "core/consensus.h"
#include "suite.h"

/* Creates a temporary folder and returns its path; the caller frees it. */
static char *
new_folder(void)
{
    return g_dir_make_tmp("sapphireweir-disk-XXXXXX", NULL);
}

/* Deletes the folder with its files and frees the path. */
static void
remove_folder(char *folder)
{
    static const char *const names[] = {"lock",     "identity",     "log",
                                        "snapshot", "snapshot.new", "log.new"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(folder, names[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_rmdir(folder);
    g_free(folder);
}

/* Opens the folder as the disk of instance control-1. */
static Disk *
open_folder(const char *folder, GError **error)
{
    DiskSettings s = {.folder = folder,
                      .instance_id = "control-1",
                      .cluster = "test",
                      .bootstrap = TRUE};
    return disk_open(&s, error);
}

/* Writes log entries of term 3 and a vote in term 7, and syncs them. */
static void
write_entries(Disk *d, uint64_t first, uint64_t count)
{
    StoragePort p = disk_port(d);
    for (uint64_t i = first; i < first + count; i++) {
        char text[32];
        g_snprintf(text, sizeof(text), "Dcommand-%u", (unsigned)i);
        GBytes *command = g_bytes_new(text, strlen(text));
        CU_ASSERT(p.save_entry(p.ctx, i, 3, command));
        g_bytes_unref(command);
    }
    CU_ASSERT(p.save_vote(p.ctx, 7, "control-2"));
    CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageOk);
}

static void
synced_data_survives_a_reopen(void)
{
    char *folder = new_folder();
    Disk *d = open_folder(folder, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    CU_ASSERT(disk_is_new(d));
    write_entries(d, 1, 5);
    StoragePort p = disk_port(d);
    p.save_truncate(p.ctx, 4);
    p.sync(p.ctx);
    disk_close(d);
    d = open_folder(folder, NULL);
    CU_ASSERT(!disk_is_new(d));
    CU_ASSERT_EQUAL(disk_saved(d)->entries->len, 3);
    CU_ASSERT_EQUAL(disk_saved(d)->term, 7);
    CU_ASSERT_STRING_EQUAL(disk_saved(d)->voted_for, "control-2");
    disk_close(d);
    remove_folder(folder);
}

static void
a_folder_belongs_to_one_process_and_one_instance(void)
{
    char *folder = new_folder();
    Disk *d = open_folder(folder, NULL);
    GError *error = NULL;
    CU_ASSERT_PTR_NULL(open_folder(folder, &error));
    CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "in use"));
    g_clear_error(&error);
    disk_close(d);
    DiskSettings other = {
        .folder = folder, .instance_id = "control-9", .cluster = "test"};
    CU_ASSERT_PTR_NULL(disk_open(&other, &error));
    CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "control-1"));
    g_clear_error(&error);
    remove_folder(folder);
}

static void
a_snapshot_replaces_the_log(void)
{
    char *folder = new_folder();
    Disk *d = open_folder(folder, NULL);
    write_entries(d, 1, 10);
    StoragePort p = disk_port(d);
    GBytes *snapshot = g_bytes_new("state", 5);
    GPtrArray *remaining_entries =
        g_ptr_array_new_with_free_func(consensus_entry_free);
    g_ptr_array_add(remaining_entries,
                    consensus_entry_new(10, 3, g_bytes_new("Dx", 2)));
    CU_ASSERT_EQUAL(p.save_snapshot(p.ctx, 9, 3, snapshot, remaining_entries),
                    kStorageOk);
    write_entries(d, 11, 2);
    disk_close(d);
    d = open_folder(folder, NULL);
    CU_ASSERT_EQUAL(disk_saved(d)->snapshot_index, 9);
    CU_ASSERT_EQUAL(disk_saved(d)->entries->len, 3);
    CU_ASSERT_EQUAL(disk_saved(d)->term, 7);
    disk_close(d);
    g_ptr_array_unref(remaining_entries);
    g_bytes_unref(snapshot);
    remove_folder(folder);
}

/* Inverts one bit of the byte at the given offset of a file. */
static void
flip_bit(const char *folder, const char *name, size_t offset)
{
    char *path = g_build_filename(folder, name, NULL);
    int fd = open(path, O_RDWR);
    uint8_t byte = 0;
    CU_ASSERT(pread(fd, &byte, 1, (off_t)offset) == 1);
    byte ^= 0x40;
    CU_ASSERT(pwrite(fd, &byte, 1, (off_t)offset) == 1);
    close(fd);
    g_free(path);
}

static size_t
file_size(const char *folder, const char *name)
{
    char *path = g_build_filename(folder, name, NULL);
    GStatBuf st;
    g_stat(path, &st);
    g_free(path);
    return (size_t)st.st_size;
}

static void
a_torn_tail_is_discarded_at_any_length(void)
{
    for (size_t cut_bytes = 1; cut_bytes < 30; cut_bytes++) {
        char *folder = new_folder();
        Disk *d = open_folder(folder, NULL);
        write_entries(d, 1, 4);
        disk_close(d);
        char *path = g_build_filename(folder, "log", NULL);
        CU_ASSERT(truncate(path, (off_t)(file_size(folder, "log") -
                                         cut_bytes)) == 0);
        g_free(path);
        d = open_folder(folder, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(d);
        /* The vote is the last record; at most the last entry is lost too. */
        CU_ASSERT(disk_saved(d)->entries->len >= 3);
        write_entries(d, disk_saved(d)->entries->len + 1, 1);
        disk_close(d);
        d = open_folder(folder, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(d);
        CU_ASSERT_EQUAL(disk_saved(d)->term, 7);
        disk_close(d);
        remove_folder(folder);
    }
}

static void
damage_before_the_tail_is_reported_with_its_offset(void)
{
    static const struct {
        const char *file;
        size_t offset;
    } cases[] = {{"log", 12}, {"log", 40}, {"log", 5}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *folder = new_folder();
        Disk *d = open_folder(folder, NULL);
        GError *error = NULL;
        write_entries(d, 1, 6);
        disk_close(d);
        flip_bit(folder, cases[i].file, cases[i].offset);
        CU_ASSERT_PTR_NULL(open_folder(folder, &error));
        CU_ASSERT_PTR_NOT_NULL_FATAL(error);
        CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "damaged at byte"));
        CU_ASSERT_PTR_NOT_NULL(strstr(error->message, folder));
        g_error_free(error);
        remove_folder(folder);
    }
}

/* ---- a disk with little room ---- */

/* A file system with room for so many bytes more. */
typedef struct {
    size_t room_bytes;
    int error; /* of a write without room */
    gboolean fail_syncs;
} Limit;

/* As write(2), up to the limit: the last write is a short one. */
static ssize_t
limited_write(void *ctx, int fd, const void *data, size_t size)
{
    Limit *limit = ctx;
    size_t bytes = MIN(size, limit->room_bytes);

    if (bytes == 0) {
        errno = limit->error;
        return -1;
    }
    limit->room_bytes -= bytes;
    return write(fd, data, bytes);
}

static int
limited_sync(void *ctx, int fd)
{
    const Limit *limit = ctx;
    if (limit->fail_syncs) {
        errno = EIO;
        return -1;
    }
    return fdatasync(fd);
}

static Disk *
open_limited(const char *folder, Limit *limit)
{
    DiskSettings s = {.folder = folder,
                      .instance_id = "control-1",
                      .cluster = "test",
                      .bootstrap = TRUE,
                      .io = {limit, limited_write, limited_sync}};
    return disk_open(&s, NULL);
}

/* Adds a vote in a term and an entry, without a sync. */
static void
add_vote_and_entry(const StoragePort *p, uint64_t term, uint64_t index)
{
    GBytes *command = g_bytes_new("Dcommand", 8);
    CU_ASSERT(p->save_vote(p->ctx, term, "control-3"));
    CU_ASSERT(p->save_entry(p->ctx, index, term, command));
    g_bytes_unref(command);
}

/* Checks the term, the vote and the number of entries after a restart. */
static void
check_reopened(const char *folder, uint64_t term, const char *voted_for,
               guint entries)
{
    Disk *d = open_folder(folder, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    CU_ASSERT_EQUAL(disk_saved(d)->term, term);
    CU_ASSERT_STRING_EQUAL(disk_saved(d)->voted_for, voted_for);
    CU_ASSERT_EQUAL(disk_saved(d)->entries->len, entries);
    disk_close(d);
}

/* Size of the records of add_vote_and_entry. */
enum { kPendingBytes = (9 + 8 + 9) + (9 + 16 + 8) };

/* Guards against a part of a failed write that stays in the log: a vote or an
 * entry that was not durable would be found after a restart, or a later record
 * would follow a partial one. */
static void
a_write_without_room_leaves_nothing_behind(void)
{
    static const int errors[] = {ENOSPC, EDQUOT, EFBIG};

    for (size_t room = 0; room < kPendingBytes; room++) {
        char *folder = new_folder();
        Limit limit = {SIZE_MAX, errors[room % G_N_ELEMENTS(errors)], FALSE};
        Disk *d = open_limited(folder, &limit);
        CU_ASSERT_PTR_NOT_NULL_FATAL(d);
        write_entries(d, 1, 3);
        StoragePort p = disk_port(d);
        size_t durable_bytes = file_size(folder, "log");
        limit.room_bytes = room;
        add_vote_and_entry(&p, 8, 4);
        for (int i = 0; i < 3; i++) {
            CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageNoRoom);
            CU_ASSERT_EQUAL(file_size(folder, "log"), durable_bytes);
            limit.room_bytes = room;
        }
        if (room % 2 == 0) {
            /* A restart finds what was durable. */
            disk_close(d);
            check_reopened(folder, 7, "control-2", 3);
        }
        else {
            /* With room all of it is written, once. */
            limit.room_bytes = SIZE_MAX;
            CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageOk);
            disk_close(d);
            check_reopened(folder, 8, "control-3", 4);
        }
        remove_folder(folder);
    }
}

/* Guards against an instance that has to end when it is started while its disk
 * is full.  Only a new folder needs room. */
static void
an_existing_folder_opens_without_room(void)
{
    char *folder = new_folder();
    Limit limit = {0, ENOSPC, FALSE};
    CU_ASSERT_PTR_NULL(open_limited(folder, &limit));
    limit.room_bytes = SIZE_MAX;
    Disk *d = open_limited(folder, &limit);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    write_entries(d, 1, 3);
    disk_close(d);
    limit.room_bytes = 0;
    d = open_limited(folder, &limit);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    StoragePort p = disk_port(d);
    add_vote_and_entry(&p, 8, 4);
    CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageNoRoom);
    disk_close(d);
    check_reopened(folder, 7, "control-2", 3);
    remove_folder(folder);
}

/* Guards against an instance that goes on after an error which leaves the page
 * cache unknown, and against records that are read back after such an
 * error. */
static void
other_errors_are_final(void)
{
    static const struct {
        size_t room_bytes;
        gboolean fail_syncs;
    } cases[] = {{0, FALSE}, {20, FALSE}, {SIZE_MAX, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *folder = new_folder();
        Limit limit = {SIZE_MAX, EIO, FALSE};
        Disk *d = open_limited(folder, &limit);
        write_entries(d, 1, 3);
        StoragePort p = disk_port(d);
        limit.room_bytes = cases[i].room_bytes;
        limit.fail_syncs = cases[i].fail_syncs;
        add_vote_and_entry(&p, 8, 4);
        CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageFailed);
        disk_close(d);
        check_reopened(folder, 7, "control-2", 3);
        remove_folder(folder);
    }
}

/* Guards against a new snapshot without its log, or a half of either, in
 * force: every room that is too small leaves both as they were. */
static void
a_snapshot_without_room_changes_nothing(void)
{
    GBytes *snapshot = g_bytes_new("a later state", 13);
    GPtrArray *kept = g_ptr_array_new_with_free_func(consensus_entry_free);
    size_t room = 0;
    StorageResult result = kStorageNoRoom;

    g_ptr_array_add(kept, consensus_entry_new(3, 3, g_bytes_new("Dx", 2)));
    for (; result == kStorageNoRoom && room < 1000; room++) {
        char *folder = new_folder();
        Limit limit = {SIZE_MAX, ENOSPC, FALSE};
        Disk *d = open_limited(folder, &limit);
        write_entries(d, 1, 3);
        StoragePort p = disk_port(d);
        limit.room_bytes = room;
        result = p.save_snapshot(p.ctx, 2, 3, snapshot, kept);
        limit.room_bytes = SIZE_MAX;
        add_vote_and_entry(&p, 8, 4);
        CU_ASSERT_EQUAL(p.sync(p.ctx), kStorageOk);
        disk_close(d);
        for (size_t i = 0; i < 2; i++) {
            char *path = g_build_filename(
                folder, i == 0 ? "snapshot.new" : "log.new", NULL);
            CU_ASSERT(!g_file_test(path, G_FILE_TEST_EXISTS));
            g_free(path);
        }
        d = open_folder(folder, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(d);
        CU_ASSERT_EQUAL(disk_saved(d)->snapshot_index,
                        result == kStorageOk ? 2 : 0);
        disk_close(d);
        check_reopened(folder, 8, "control-3", result == kStorageOk ? 2 : 4);
        remove_folder(folder);
    }
    CU_ASSERT_EQUAL(result, kStorageOk);
    CU_ASSERT(room > 50);
    g_ptr_array_unref(kept);
    g_bytes_unref(snapshot);
}

void
add_disk_suite(void)
{
    CU_pSuite s = CU_add_suite("disk", NULL, NULL);
    CU_add_test(s, "synced data survives a reopen",
                synced_data_survives_a_reopen);
    CU_add_test(s, "a folder belongs to one process and one instance",
                a_folder_belongs_to_one_process_and_one_instance);
    CU_add_test(s, "a snapshot replaces the log", a_snapshot_replaces_the_log);
    CU_add_test(s, "a torn tail is discarded at any length",
                a_torn_tail_is_discarded_at_any_length);
    CU_add_test(s, "damage before the tail is reported with its offset",
                damage_before_the_tail_is_reported_with_its_offset);
    CU_add_test(s, "a write without room leaves nothing behind",
                a_write_without_room_leaves_nothing_behind);
    CU_add_test(s, "an existing folder opens without room",
                an_existing_folder_opens_without_room);
    CU_add_test(s, "other errors are final", other_errors_are_final);
    CU_add_test(s, "a snapshot without room changes nothing",
                a_snapshot_without_room_changes_nothing);
}
