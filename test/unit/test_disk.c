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
    static const char *const names[] = {"lock", "identity", "log", "snapshot"};
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
    CU_ASSERT(p.sync(p.ctx));
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
    CU_ASSERT(p.save_snapshot(p.ctx, 9, 3, snapshot, remaining_entries));
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
}
