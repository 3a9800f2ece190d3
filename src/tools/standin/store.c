#include "store.h"

#include <string.h>
#include <unistd.h>

/* The data of a stand-in.  One SQLite file holds the tables, the log of
 * committed transactions and the member's role, so that they change in one
 * transaction and survive a kill of the process. */

enum {
    kEntryOverheadBytes = 48, /* added to each entry's size in the position */
    kBusyTimeoutMs = 2000,
};

struct Store {
    char *path;
    StoreEvents events;
    sqlite3 *db; /* for the log, replay and the role */
    uint64_t timeline;
    uint64_t received; /* position up to which the log is stored */
    uint64_t replayed; /* position up to which it is applied to the tables */
    gboolean in_recovery;
    char *conninfo; /* primary_conninfo of PostgreSQL */
};

/* ---- SQL functions that emulate PostgreSQL's ---- */

/* Sets a position as result, in the text form of PostgreSQL's pg_lsn. */
static void
result_lsn(sqlite3_context *c, uint64_t position)
{
    char text[32];
    g_snprintf(text, sizeof(text), "%X/%X", (unsigned)(position >> 32),
               (unsigned)position);
    sqlite3_result_text(c, text, -1, SQLITE_TRANSIENT);
}

static void
fn_in_recovery(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    sqlite3_result_int(c, s->in_recovery);
}

static void
fn_received(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    result_lsn(c, s->received);
}

static void
fn_replayed(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    result_lsn(c, s->replayed);
}

static void
fn_timeline(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    sqlite3_result_int64(c, (sqlite3_int64)s->timeline);
}

static void
fn_receiving(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    sqlite3_result_int(c, s->events.receiving(s->events.ctx));
}

static void
fn_last_seen(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    sqlite3_result_text(c, s->events.last_seen(s->events.ctx), -1,
                        SQLITE_TRANSIENT);
}

static void
fn_replicas(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    sqlite3_result_text(c, s->events.replicas(s->events.ctx), -1, free);
}

static void
fn_reload(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    s->events.reload(s->events.ctx);
    sqlite3_result_text(c, "t", 1, SQLITE_STATIC);
}

static void
fn_promote(sqlite3_context *c, int n, sqlite3_value **v)
{
    Store *s = sqlite3_user_data(c);
    (void)n;
    (void)v;
    s->events.promote(s->events.ctx);
    sqlite3_result_text(c, "t", 1, SQLITE_STATIC);
}

/* An SQL function to register with each connection. */
typedef struct {
    const char *name;
    int arguments; /* number */
    void (*function)(sqlite3_context *c, int n, sqlite3_value **v);
} SqlFunction;

static const SqlFunction functions[] = {
    {"pg_is_in_recovery", 0, fn_in_recovery},
    {"pg_current_wal_lsn", 0, fn_received},
    {"pg_last_wal_receive_lsn", 0, fn_received},
    {"pg_last_wal_replay_lsn", 0, fn_replayed},
    {"standin_timeline", 0, fn_timeline},
    {"standin_receiving", 0, fn_receiving},
    {"standin_heard", 0, fn_last_seen},
    {"standin_replicas", 0, fn_replicas},
    {"pg_reload_conf", 0, fn_reload},
    {"pg_promote", 2, fn_promote},
};

/* Views and set-returning functions of PostgreSQL that an SQLite function
 * cannot replace, with the SQL to put in their place. */
static const struct {
    const char *from;
    const char *to;
} catalog_views[] = {
    {"pg_control_checkpoint()", "(SELECT standin_timeline() AS timeline_id)"},
    {"pg_stat_wal_receiver",
     "(SELECT standin_heard() AS last_msg_receipt_time, 'streaming' AS status"
     " WHERE standin_receiving())"},
    {"pg_stat_replication",
     "(SELECT json_extract(value, '$.name') AS application_name,"
     " json_extract(value, '$.flushed') AS flush_lsn, 'streaming' AS state"
     " FROM json_each(standin_replicas()))"},
};

/* Returns the SQL with the names of catalog_views replaced.  The caller frees
 * it with g_free(). */
char *
store_translate(const char *sql)
{
    GString *text = g_string_new(sql);
    for (size_t i = 0; i < G_N_ELEMENTS(catalog_views); i++) {
        g_string_replace(text, catalog_views[i].from, catalog_views[i].to, 0);
    }
    return g_string_free(text, FALSE);
}

/* ---- opening ---- */

/* Opens another connection to the file.  Returns NULL on failure; otherwise
 * the caller closes the connection. */
sqlite3 *
store_connect(Store *s)
{
    sqlite3 *db = NULL;
    if (sqlite3_open(s->path, &db) != SQLITE_OK) {
        sqlite3_close(db);
        return NULL;
    }
    sqlite3_busy_timeout(db, kBusyTimeoutMs);
    sqlite3_exec(db, "PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF",
                 NULL, NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(functions); i++) {
        sqlite3_create_function(db, functions[i].name, functions[i].arguments,
                                SQLITE_UTF8 | SQLITE_DIRECTONLY, s,
                                functions[i].function, NULL, NULL);
    }
    return db;
}

/* Returns the number in the first column of the first row, or zero. */
static uint64_t
query_number(Store *s, const char *sql)
{
    sqlite3_stmt *stmt = NULL;
    uint64_t number = 0;
    if (sqlite3_prepare_v2(s->db, sql, -1, &stmt, NULL) == SQLITE_OK &&
        sqlite3_step(stmt) == SQLITE_ROW) {
        number = (uint64_t)sqlite3_column_int64(stmt, 0);
    }
    sqlite3_finalize(stmt);
    return number;
}

/* Loads the positions and the role from the file. */
static void
load_state(Store *s)
{
    sqlite3_stmt *stmt = NULL;

    s->received =
        query_number(s, "SELECT coalesce(max(position), 0) FROM standin_log");
    s->replayed = query_number(s, "SELECT replayed FROM standin_state");
    s->timeline = query_number(s, "SELECT timeline FROM standin_state");
    s->in_recovery =
        query_number(s, "SELECT in_recovery FROM standin_state") != 0;
    if (sqlite3_prepare_v2(s->db, "SELECT conninfo FROM standin_state", -1,
                           &stmt, NULL) == SQLITE_OK &&
        sqlite3_step(stmt) == SQLITE_ROW) {
        g_free(s->conninfo);
        s->conninfo = g_strdup((const char *)sqlite3_column_text(stmt, 0));
    }
    sqlite3_finalize(stmt);
}

/* Opens the file, makes its tables when they are missing and loads the
 * state. */
static gboolean
open_file(Store *s, GError **error)
{
    static const char schema[] =
        "CREATE TABLE IF NOT EXISTS standin_log"
        " (position INTEGER PRIMARY KEY, term INTEGER, sql TEXT);"
        "CREATE TABLE IF NOT EXISTS standin_state"
        " (one INTEGER PRIMARY KEY CHECK (one = 1), replayed INTEGER,"
        "  timeline INTEGER, in_recovery INTEGER, conninfo TEXT);"
        "INSERT OR IGNORE INTO standin_state VALUES (1, 0, 1, 1, '');";
    char *why = NULL;

    s->db = store_connect(s);
    if (s->db == NULL ||
        sqlite3_exec(s->db, schema, NULL, NULL, &why) != SQLITE_OK) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "cannot open %s: %s", s->path, why == NULL ? "" : why);
        sqlite3_free(why);
        return FALSE;
    }
    load_state(s);
    return TRUE;
}

/* Opens the data in a folder, and makes both when they are missing.  A new
 * member is a replica without a primary.  Returns NULL and sets error when the
 * file cannot be opened.  The caller calls store_close. */
Store *
store_open(const char *folder, const StoreEvents *events, GError **error)
{
    Store *s = g_new0(Store, 1);
    s->path = g_build_filename(folder, "standin.db", NULL);
    s->events = *events;
    if (g_mkdir_with_parents(folder, 0700) != 0 || !open_file(s, error)) {
        store_close(s);
        return NULL;
    }
    return s;
}

/* Closes and frees the store.  All other connections must be closed before. */
void
store_close(Store *s)
{
    sqlite3_close(s->db);
    g_free(s->conninfo);
    g_free(s->path);
    g_free(s);
}

/* Deletes all data and the log but keeps primary_conninfo, to copy the data
 * again from the primary.  All other connections must be closed before. */
gboolean
store_reset(Store *s, GError **error)
{
    static const char *const suffixes[] = {"", "-wal", "-shm"};
    char *conninfo = g_strdup(s->conninfo);

    sqlite3_close(s->db);
    s->db = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(suffixes); i++) {
        char *path = g_strconcat(s->path, suffixes[i], NULL);
        unlink(path);
        g_free(path);
    }
    gboolean ok = open_file(s, error);
    if (ok) {
        store_set_conninfo(s, conninfo);
    }
    g_free(conninfo);
    return ok;
}

/* ---- role ---- */

/* Writes the replayed position and the role to the file. */
static void
save_state(Store *s)
{
    char *sql = sqlite3_mprintf(
        "UPDATE standin_state SET replayed = %lld, timeline = %lld,"
        " in_recovery = %d, conninfo = %Q",
        (long long)s->replayed, (long long)s->timeline, s->in_recovery,
        s->conninfo);
    sqlite3_exec(s->db, sql, NULL, NULL, NULL);
    sqlite3_free(sql);
}

/* Returns the current timeline. */
uint64_t
store_timeline(const Store *s)
{
    return s->timeline;
}

/* Returns TRUE when the member is a replica. */
gboolean
store_in_recovery(const Store *s)
{
    return s->in_recovery;
}

/* Returns the position up to which the log is stored here. */
uint64_t
store_received(const Store *s)
{
    return s->received;
}

/* Returns the position up to which the log is applied to the tables. */
uint64_t
store_replayed(const Store *s)
{
    return s->replayed;
}

/* Returns the stored primary_conninfo, empty when there is none.  The store
 * owns it. */
const char *
store_conninfo(const Store *s)
{
    return s->conninfo == NULL ? "" : s->conninfo;
}

/* Stores primary_conninfo; it is kept across restarts. */
void
store_set_conninfo(Store *s, const char *conninfo)
{
    char *copy = g_strdup(conninfo);
    g_free(s->conninfo);
    s->conninfo = copy;
    save_state(s);
}

/* Stores the role and the timeline; they are kept across restarts. */
void
store_set_role(Store *s, gboolean in_recovery, uint64_t timeline)
{
    s->in_recovery = in_recovery;
    s->timeline = timeline;
    save_state(s);
}

/* ---- log ---- */

/* Inserts an entry into the log table. */
static gboolean
insert_entry(sqlite3 *db, const StoreEntry *entry)
{
    char *sql = sqlite3_mprintf(
        "INSERT INTO standin_log VALUES (%lld, %lld, %Q)",
        (long long)entry->position, (long long)entry->term, entry->sql);
    gboolean ok = sqlite3_exec(db, sql, NULL, NULL, NULL) == SQLITE_OK;
    sqlite3_free(sql);
    return ok;
}

/* Commits the open transaction of a connection together with a log entry of
 * its statements.  Returns FALSE when the transaction was rolled back
 * instead. */
gboolean
store_append(Store *s, sqlite3 *db, json_t *statements)
{
    char *text = json_dumps(statements, JSON_COMPACT);
    StoreEntry entry = {s->received + kEntryOverheadBytes + strlen(text),
                        s->timeline, text};
    char *update = sqlite3_mprintf("UPDATE standin_state SET replayed = %lld",
                                   (long long)entry.position);
    gboolean ok = insert_entry(db, &entry) &&
                  sqlite3_exec(db, update, NULL, NULL, NULL) == SQLITE_OK &&
                  sqlite3_exec(db, "COMMIT", NULL, NULL, NULL) == SQLITE_OK;

    sqlite3_free(update);
    free(text);
    if (!ok) {
        sqlite3_exec(db, "ROLLBACK", NULL, NULL, NULL);
        return FALSE;
    }
    s->received = entry.position;
    s->replayed = entry.position;
    s->events.committed(s->events.ctx);
    return TRUE;
}

/* Appends an entry that the primary shipped to the log, without replaying it.
 * An entry that is already there is ignored.  Returns FALSE when it cannot be
 * stored. */
gboolean
store_receive(Store *s, const StoreEntry *entry)
{
    if (entry->position <= s->received) {
        return TRUE;
    }
    if (!insert_entry(s->db, entry)) {
        return FALSE;
    }
    s->received = entry->position;
    return TRUE;
}

/* Finds the first log entry after a position.  Returns FALSE when there is
 * none; otherwise the caller calls store_entry_clear. */
gboolean
store_entry_after(Store *s, uint64_t position, StoreEntry *out)
{
    sqlite3_stmt *stmt = NULL;
    gboolean found = FALSE;

    sqlite3_prepare_v2(s->db,
                       "SELECT position, term, sql FROM standin_log"
                       " WHERE position > ?1 ORDER BY position LIMIT 1",
                       -1, &stmt, NULL);
    sqlite3_bind_int64(stmt, 1, (sqlite3_int64)position);
    if (sqlite3_step(stmt) == SQLITE_ROW) {
        out->position = (uint64_t)sqlite3_column_int64(stmt, 0);
        out->term = (uint64_t)sqlite3_column_int64(stmt, 1);
        out->sql = g_strdup((const char *)sqlite3_column_text(stmt, 2));
        found = TRUE;
    }
    sqlite3_finalize(stmt);
    return found;
}

/* Frees the SQL of an entry. */
void
store_entry_clear(StoreEntry *entry)
{
    g_free(entry->sql);
    entry->sql = NULL;
}

/* Executes a JSON list of statements.  Returns FALSE when one fails. */
static gboolean
replay_statements(sqlite3 *db, const char *text)
{
    json_t *list = json_loads(text, 0, NULL);
    gboolean ok = list != NULL;
    size_t i;
    json_t *sql;

    json_array_foreach(list, i, sql)
    {
        ok = ok && sqlite3_exec(db, json_string_value(sql), NULL, NULL,
                                NULL) == SQLITE_OK;
    }
    json_decref(list);
    return ok;
}

/* Applies the next received entry to the tables, in one transaction.  Returns
 * FALSE when there is none or it fails. */
gboolean
store_replay_next(Store *s)
{
    StoreEntry entry;
    if (s->replayed >= s->received ||
        !store_entry_after(s, s->replayed, &entry)) {
        return FALSE;
    }
    char *update = sqlite3_mprintf("UPDATE standin_state SET replayed = %lld",
                                   (long long)entry.position);
    sqlite3_exec(s->db, "BEGIN IMMEDIATE", NULL, NULL, NULL);
    gboolean ok = replay_statements(s->db, entry.sql) &&
                  sqlite3_exec(s->db, update, NULL, NULL, NULL) == SQLITE_OK;
    sqlite3_exec(s->db, ok ? "COMMIT" : "ROLLBACK", NULL, NULL, NULL);
    if (ok) {
        s->replayed = entry.position;
    }
    else {
        g_critical("replay of %" G_GUINT64_FORMAT " failed: %s",
                   entry.position, sqlite3_errmsg(s->db));
    }
    sqlite3_free(update);
    store_entry_clear(&entry);
    return ok;
}

/* Returns TRUE when the log holds an entry of the term that ends at the
 * position; position zero is always held. */
gboolean
store_has(Store *s, uint64_t position, uint64_t term)
{
    StoreEntry entry;
    if (position == 0) {
        return TRUE;
    }
    if (!store_entry_after(s, position - 1, &entry)) {
        return FALSE;
    }
    gboolean same = entry.position == position && entry.term == term;
    store_entry_clear(&entry);
    return same;
}

/* Returns the term of the last log entry, zero for an empty log. */
uint64_t
store_last_term(Store *s)
{
    StoreEntry entry;
    if (s->received == 0 || !store_entry_after(s, s->received - 1, &entry)) {
        return 0;
    }
    uint64_t term = entry.term;
    store_entry_clear(&entry);
    return term;
}
