#include <arpa/inet.h>
#include <ctype.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "member.h"

/* Sessions of a stand-in: PostgreSQL's wire protocol 3.0 with clients, and the
 * stand-in's own log shipping with replicas on the same port.  A statement
 * runs when its session has a slot, of which the settings limit the number;
 * for a writing statement the session must also be the member's only writer.
 * Until then the session waits in a queue. */

/* Codes of start-up packets, type OIDs of PostgreSQL, and limits. */
enum {
    kProtocol3 = 196608,
    kSslRequest = 80877103,
    kGssRequest = 80877104,
    kCancelRequest = 80877102,
    kFollowRequest = 0x53574652, /* "SWFR", as in follower.c */
    kTypeInt8 = 20,
    kTypeText = 25,
    kTypeFloat8 = 701,
    kMaxMessageBytes = 16 << 20,
    kMaxParameters = 64,
    kMaxEntriesPerShip = 200, /* to one follower in one call */
};

/* State of a connection; the kind is known after the start-up packet. */
typedef enum {
    kSessionStartup,
    kSessionConnecting, /* a client, within the connect delay */
    kSessionReady,      /* a client */
    kSessionFollower,   /* a replica */
} SessionState;

/* A connection of a client or of a follower. */
struct Session {
    Member *member;
    struct bufferevent *bev;
    struct event *timer; /* fires at the end of a delay */
    SessionState state;
    sqlite3 *db;           /* of a client, opened at the end of start-up */
    gboolean unresponsive; /* open, but nothing is read or answered */
    gboolean in_transaction;
    gboolean failed; /* the open transaction has failed */
    gboolean read_only;
    gboolean has_slot;
    gboolean delayed;         /* the timer runs */
    gboolean service_elapsed; /* service time has elapsed; may run now */
    gboolean waiting;         /* in the member's queue */
    json_t *writes;           /* writing statements of the open transaction */
    char *sql;                /* last parsed statement */
    char *parameters[kMaxParameters];
    int parameter_count;
    gboolean skip_to_sync; /* after an error, as the protocol requires */
    /* of a follower */
    char *name;       /* member id, NULL before the follow request */
    uint64_t shipped; /* position up to which the log was sent */
    uint64_t flushed; /* position that the follower acknowledged */
};

static void session_process(Session *s);

/* ---- writing messages ---- */

/* Sends a message of the protocol with its type and length. */
static void
put_message(Session *s, char type, const GByteArray *body)
{
    struct evbuffer *out = bufferevent_get_output(s->bev);
    uint32_t length = htonl(body->len + 4);
    evbuffer_add(out, &type, 1);
    evbuffer_add(out, &length, sizeof(length));
    evbuffer_add(out, body->data, body->len);
}

/* Sends a message without a body. */
static void
put_empty_message(Session *s, char type)
{
    GByteArray *body = g_byte_array_new();
    put_message(s, type, body);
    g_byte_array_unref(body);
}

static void
add_u32(GByteArray *b, uint32_t value)
{
    uint32_t wire = htonl(value);
    g_byte_array_append(b, (const guint8 *)&wire, sizeof(wire));
}

static void
add_u16(GByteArray *b, uint16_t value)
{
    uint16_t wire = htons(value);
    g_byte_array_append(b, (const guint8 *)&wire, sizeof(wire));
}

/* Appends a text with its terminating NUL. */
static void
add_text(GByteArray *b, const char *text)
{
    g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text) + 1);
}

/* Sends an ErrorResponse.  An open transaction fails. */
static void
put_error(Session *s, const char *severity, const char *sqlstate,
          const char *message)
{
    GByteArray *b = g_byte_array_new();
    const char codes[] = {'S', 'C', 'M'};
    const char *const values[] = {severity, sqlstate, message};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        g_byte_array_append(b, (const guint8 *)&codes[i], 1);
        add_text(b, values[i]);
    }
    g_byte_array_append(b, (const guint8 *)"", 1);
    put_message(s, 'E', b);
    g_byte_array_unref(b);
    if (s->in_transaction) {
        s->failed = TRUE;
    }
}

/* Sends ReadyForQuery with the transaction status. */
static void
put_ready(Session *s)
{
    GByteArray *b = g_byte_array_new();
    const char *status = !s->in_transaction ? "I" : s->failed ? "E" : "T";
    g_byte_array_append(b, (const guint8 *)status, 1);
    put_message(s, 'Z', b);
    g_byte_array_unref(b);
}

/* Sends CommandComplete. */
static void
put_complete(Session *s, const char *tag)
{
    GByteArray *b = g_byte_array_new();
    add_text(b, tag);
    put_message(s, 'C', b);
    g_byte_array_unref(b);
}

/* ---- slots and the single writer ---- */

/* Processes all waiting sessions again; those that still cannot run return to
 * the queue. */
static void
resume_waiting(Member *m)
{
    GQueue woken = m->waiting;
    g_queue_init(&m->waiting);
    while (woken.length > 0) {
        Session *s = g_queue_pop_head(&woken);
        s->waiting = FALSE;
        session_process(s);
    }
}

/* Puts the session at the end of the queue. */
static void
wait_in_queue(Session *s)
{
    s->waiting = TRUE;
    g_queue_push_tail(&s->member->waiting, s);
}

/* Acquires a transaction slot for the session, unless it has one.  Returns
 * FALSE when none is free; the session then waits in the queue. */
static gboolean
acquire_slot(Session *s)
{
    Member *m = s->member;
    if (s->has_slot) {
        return TRUE;
    }
    if (m->slots_used >= m->settings.slots) {
        wait_in_queue(s);
        return FALSE;
    }
    m->slots_used++;
    s->has_slot = TRUE;
    return TRUE;
}

/* Makes the session the writer.  Returns FALSE when another session is; the
 * session then waits in the queue. */
static gboolean
acquire_writer(Session *s)
{
    Member *m = s->member;
    if (m->writer != NULL && m->writer != s) {
        wait_in_queue(s);
        return FALSE;
    }
    m->writer = s;
    return TRUE;
}

/* Releases the session's transaction slot and its lock for writes, if held,
 * and resumes the waiting sessions. */
static void
release_slot_and_writer(Session *s)
{
    Member *m = s->member;
    gboolean freed = s->has_slot || m->writer == s;
    if (s->has_slot) {
        s->has_slot = FALSE;
        m->slots_used--;
    }
    if (m->writer == s) {
        m->writer = NULL;
    }
    if (freed) {
        resume_waiting(m);
    }
}

/* ---- transactions ---- */

/* Ends the open transaction, sends the result, and simulates the crash faults
 * around the commit of a writing transaction: the process exits with the code
 * that a shell reports after SIGKILL. */
static void
transaction_end(Session *s, gboolean commit, const char *tag)
{
    Member *m = s->member;
    gboolean ok = commit && !s->failed;
    gboolean wrote = json_array_size(s->writes) > 0;

    if (ok && wrote && m->faults.crash_before_commit) {
        _exit(137);
    }
    if (ok && wrote) {
        ok = !store_in_recovery(m->store) &&
             store_append(m->store, s->db, s->writes);
        if (ok && m->faults.crash_after_commit) {
            _exit(137);
        }
    }
    else {
        sqlite3_exec(s->db, ok ? "COMMIT" : "ROLLBACK", NULL, NULL, NULL);
    }
    if (sqlite3_get_autocommit(s->db) == 0) {
        sqlite3_exec(s->db, "ROLLBACK", NULL, NULL, NULL);
    }
    json_array_clear(s->writes);
    gboolean refused = commit && !ok && !s->failed;
    s->in_transaction = FALSE;
    s->failed = FALSE;
    s->read_only = FALSE;
    if (refused) {
        put_error(s, "ERROR", "40001", "the transaction was undone");
    }
    else {
        put_complete(s, commit && ok ? tag : "ROLLBACK");
    }
}

/* ---- running statements ---- */

/* Returns TRUE when the SQL begins with a word, ignoring case and leading
 * white space. */
static gboolean
starts_with(const char *sql, const char *word)
{
    while (isspace((unsigned char)*sql)) {
        sql++;
    }
    return g_ascii_strncasecmp(sql, word, strlen(word)) == 0;
}

/* Returns TRUE for statements that the proxy sends of its own accord, such as
 * probes, rather than for callers; they need neither a slot nor service
 * time. */
static gboolean
is_administrative(const char *sql)
{
    return strstr(sql, "pg_") != NULL || starts_with(sql, "SHOW") ||
           starts_with(sql, "ALTER SYSTEM");
}

/* Result rows, buffered until the types of all columns are known. */
typedef struct {
    GPtrArray *cells; /* char *, row by row, NULL for SQL NULL */
    int columns;
    int rows;
    int *types;       /* type OIDs; zero: only NULL so far */
    GPtrArray *names; /* char * */
} Rows;

/* Initializes an empty result with the column names of a statement; freed with
 * rows_clear. */
static void
rows_start(Rows *r, sqlite3_stmt *stmt)
{
    r->columns = sqlite3_column_count(stmt);
    r->rows = 0;
    r->cells = g_ptr_array_new_with_free_func(g_free);
    r->types = g_new0(int, (gsize)r->columns + 1);
    r->names = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < r->columns; i++) {
        g_ptr_array_add(r->names, g_strdup(sqlite3_column_name(stmt, i)));
    }
}

/* Frees everything that the result owns, but not the result itself. */
static void
rows_clear(Rows *r)
{
    g_ptr_array_unref(r->cells);
    g_ptr_array_unref(r->names);
    g_free(r->types);
}

/* Returns the PostgreSQL type OID for the value in a column. */
static int
type_of(sqlite3_stmt *stmt, int column)
{
    switch (sqlite3_column_type(stmt, column)) {
    case SQLITE_INTEGER:
        return kTypeInt8;
    case SQLITE_FLOAT:
        return kTypeFloat8;
    default:
        return kTypeText;
    }
}

/* Adds the current row of a statement.  A column with values of different
 * types becomes text. */
static void
rows_add(Rows *r, sqlite3_stmt *stmt)
{
    for (int i = 0; i < r->columns; i++) {
        if (sqlite3_column_type(stmt, i) == SQLITE_NULL) {
            g_ptr_array_add(r->cells, NULL);
            continue;
        }
        int type = type_of(stmt, i);
        r->types[i] =
            r->types[i] == 0 || r->types[i] == type ? type : kTypeText;
        g_ptr_array_add(r->cells,
                        g_strdup((const char *)sqlite3_column_text(stmt, i)));
    }
    r->rows++;
}

/* Sends the RowDescription and all rows. */
static void
rows_send(Session *s, const Rows *r)
{
    GByteArray *b = g_byte_array_new();
    add_u16(b, (uint16_t)r->columns);
    for (int i = 0; i < r->columns; i++) {
        add_text(b, g_ptr_array_index(r->names, i));
        add_u32(b, 0); /* no table */
        add_u16(b, 0); /* no column number */
        add_u32(b, r->types[i] == 0 ? kTypeText : (uint32_t)r->types[i]);
        add_u16(b, (uint16_t)-1); /* variable size */
        add_u32(b, (uint32_t)-1); /* no type modifier */
        add_u16(b, 0);            /* text format */
    }
    put_message(s, 'T', b);
    for (int row = 0; row < r->rows; row++) {
        g_byte_array_set_size(b, 0);
        add_u16(b, (uint16_t)r->columns);
        for (int i = 0; i < r->columns; i++) {
            const char *cell =
                g_ptr_array_index(r->cells, row * r->columns + i);
            if (cell == NULL) {
                add_u32(b, (uint32_t)-1); /* NULL */
                continue;
            }
            add_u32(b, (uint32_t)strlen(cell));
            g_byte_array_append(b, (const guint8 *)cell, (guint)strlen(cell));
        }
        put_message(s, 'D', b);
    }
    g_byte_array_unref(b);
}

/* Binds the parameters of the last Bind message; those that the statement does
 * not use are skipped. */
static void
bind_parameters(Session *s, sqlite3_stmt *stmt)
{
    for (int i = 0; i < s->parameter_count; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "$%d", i + 1);
        int at = sqlite3_bind_parameter_index(stmt, name);
        if (at > 0 && s->parameters[i] != NULL) {
            sqlite3_bind_text(stmt, at, s->parameters[i], -1,
                              SQLITE_TRANSIENT);
        }
    }
}

/* Returns the SQLSTATE for the last SQLite error of a connection. */
static const char *
sqlstate_of_error(sqlite3 *db)
{
    switch (sqlite3_errcode(db)) {
    case SQLITE_CONSTRAINT:
        return "23505"; /* unique_violation */
    case SQLITE_BUSY:
        return "40001"; /* serialization_failure */
    default:
        return "42601"; /* syntax_error */
    }
}

/* Sends the result of a statement.  For a writing one, also records its SQL,
 * with the values of the parameters, for the log. */
static void
finish_statement(Session *s, sqlite3_stmt *stmt, Rows *rows, int result,
                 gboolean write)
{
    char tag[64];
    if (result != SQLITE_DONE) {
        put_error(s, "ERROR", sqlstate_of_error(s->db), sqlite3_errmsg(s->db));
        return;
    }
    if (write) {
        char *expanded = sqlite3_expanded_sql(stmt);
        json_array_append_new(s->writes, json_string(expanded));
        sqlite3_free(expanded);
    }
    if (rows->columns > 0) {
        rows_send(s, rows);
    }
    else {
        put_empty_message(s, 'n'); /* NoData */
    }
    g_snprintf(tag, sizeof(tag), write ? "UPDATE %d" : "SELECT %d",
               write ? sqlite3_changes(s->db) : rows->rows);
    put_complete(s, tag);
}

/* Runs a prepared statement and sends its result. */
static void
run_prepared(Session *s, sqlite3_stmt *stmt, gboolean write)
{
    Rows rows;
    int result;

    bind_parameters(s, stmt);
    rows_start(&rows, stmt);
    while ((result = sqlite3_step(stmt)) == SQLITE_ROW) {
        rows_add(&rows, stmt);
    }
    finish_statement(s, stmt, &rows, result, write);
    rows_clear(&rows);
}

/* Runs one statement, in a transaction of its own if it writes outside one.
 * Returns FALSE when the session has to wait to become the writer; the
 * statement must be run again then. */
static gboolean
run_sqlite(Session *s, const char *sql)
{
    Member *m = s->member;
    char *translated = store_translate(sql);
    sqlite3_stmt *stmt = NULL;
    gboolean own_transaction = FALSE;

    if (sqlite3_prepare_v2(s->db, translated, -1, &stmt, NULL) != SQLITE_OK ||
        stmt == NULL) {
        put_error(s, "ERROR", "42601", sqlite3_errmsg(s->db));
        g_free(translated);
        return TRUE;
    }
    g_free(translated);
    gboolean write = sqlite3_stmt_readonly(stmt) == 0;
    if (write && (store_in_recovery(m->store) || s->read_only)) {
        put_error(s, "ERROR", "25006",
                  "cannot write in a read-only "
                  "transaction");
        sqlite3_finalize(stmt);
        return TRUE;
    }
    if (write && !acquire_writer(s)) {
        sqlite3_finalize(stmt);
        return FALSE;
    }
    if (write && !s->in_transaction) {
        sqlite3_exec(s->db, "BEGIN", NULL, NULL, NULL);
        own_transaction = TRUE;
    }
    run_prepared(s, stmt, write);
    sqlite3_finalize(stmt);
    if (own_transaction && !store_append(m->store, s->db, s->writes)) {
        put_error(s, "ERROR", "40001", "the statement was undone");
    }
    if (own_transaction) {
        json_array_clear(s->writes);
    }
    return TRUE;
}

/* Stores the quoted value of an ALTER SYSTEM statement as primary_conninfo,
 * the only setting there is. */
static void
set_conninfo(Session *s, const char *sql)
{
    const char *first = strchr(sql, '\'');
    const char *last = strrchr(sql, '\'');
    if (first == NULL || first == last) {
        put_error(s, "ERROR", "42601", "a quoted value is needed");
        return;
    }
    char *value = g_strndup(first + 1, (gsize)(last - first - 1));
    store_set_conninfo(s->member->store, value);
    g_free(value);
    put_complete(s, "ALTER SYSTEM");
}

/* Sends primary_conninfo as a result row. */
static void
show_conninfo(Session *s)
{
    int type = kTypeText;
    Rows rows = {g_ptr_array_new(), 1, 1, &type, g_ptr_array_new()};
    g_ptr_array_add(rows.names, (char *)"primary_conninfo");
    g_ptr_array_add(rows.cells, (char *)store_conninfo(s->member->store));
    rows_send(s, &rows);
    put_complete(s, "SHOW");
    g_ptr_array_unref(rows.names);
    g_ptr_array_unref(rows.cells);
}

/* Runs a statement of a client.  Returns FALSE when the session waits; the
 * statement must be run again then. */
static gboolean
run_statement(Session *s, const char *sql)
{
    if (!is_administrative(sql) && !acquire_slot(s)) {
        return FALSE;
    }
    if (s->failed && !starts_with(sql, "ROLLBACK") &&
        !starts_with(sql, "COMMIT")) {
        put_error(s, "ERROR", "25P02", "the transaction has failed");
    }
    else if (starts_with(sql, "BEGIN")) {
        sqlite3_exec(s->db, "BEGIN", NULL, NULL, NULL);
        s->in_transaction = TRUE;
        s->read_only = strstr(sql, "READ ONLY") != NULL;
        put_complete(s, "BEGIN");
    }
    else if (starts_with(sql, "COMMIT")) {
        transaction_end(s, TRUE, "COMMIT");
    }
    else if (starts_with(sql, "ROLLBACK")) {
        transaction_end(s, FALSE, "ROLLBACK");
    }
    else if (starts_with(sql, "ALTER SYSTEM")) {
        set_conninfo(s, sql);
    }
    else if (starts_with(sql, "SHOW primary_conninfo")) {
        show_conninfo(s);
    }
    else {
        return run_sqlite(s, sql);
    }
    return TRUE;
}

/* Releases the session's transaction slot and its lock for writes unless a
 * transaction is open, and applies a promotion or reload that the statement
 * requested. */
static void
after_statement(Session *s)
{
    if (!s->in_transaction) {
        release_slot_and_writer(s);
    }
    member_apply_requests(s->member);
}

/* ---- reading messages ---- */

/* Reads a NUL-terminated text and advances the read position.  Returns FALSE
 * when no NUL remains in the message. */
static gboolean
read_text(const uint8_t **at, const uint8_t *end, const char **out)
{
    const uint8_t *nul = memchr(*at, 0, (size_t)(end - *at));
    if (nul == NULL) {
        return FALSE;
    }
    *out = (const char *)*at;
    *at = nul + 1;
    return TRUE;
}

/* Reads a number and advances the read position.  Returns FALSE when the
 * message is too short. */
static gboolean
read_u16(const uint8_t **at, const uint8_t *end, uint16_t *out)
{
    uint16_t wire;
    if (end - *at < (ptrdiff_t)sizeof(wire)) {
        return FALSE;
    }
    memcpy(&wire, *at, sizeof(wire));
    *at += sizeof(wire);
    *out = ntohs(wire);
    return TRUE;
}

/* Reads a number as read_u16 does. */
static gboolean
read_u32(const uint8_t **at, const uint8_t *end, uint32_t *out)
{
    uint32_t wire;
    if (end - *at < (ptrdiff_t)sizeof(wire)) {
        return FALSE;
    }
    memcpy(&wire, *at, sizeof(wire));
    *at += sizeof(wire);
    *out = ntohl(wire);
    return TRUE;
}

static void
clear_parameters(Session *s)
{
    for (int i = 0; i < s->parameter_count; i++) {
        g_free(s->parameters[i]);
        s->parameters[i] = NULL;
    }
    s->parameter_count = 0;
}

/* Handles a Parse message: stores the statement.  Returns FALSE when the
 * message is malformed.  Statement names are ignored. */
static gboolean
on_parse(Session *s, const uint8_t *at, const uint8_t *end)
{
    const char *name;
    const char *sql;
    if (!read_text(&at, end, &name) || !read_text(&at, end, &sql)) {
        return FALSE;
    }
    g_free(s->sql);
    s->sql = g_strdup(sql);
    put_empty_message(s, '1'); /* ParseComplete */
    return TRUE;
}

/* Handles a Bind message: stores the parameters, all as text.  Returns FALSE
 * when the message is malformed. */
static gboolean
on_bind(Session *s, const uint8_t *at, const uint8_t *end)
{
    const char *portal;
    const char *name;
    uint16_t formats;
    uint16_t count;

    if (!read_text(&at, end, &portal) || !read_text(&at, end, &name) ||
        !read_u16(&at, end, &formats) || end - at < formats * 2) {
        return FALSE;
    }
    at += formats * 2;
    if (!read_u16(&at, end, &count) || count > kMaxParameters) {
        return FALSE;
    }
    clear_parameters(s);
    for (uint16_t i = 0; i < count; i++) {
        uint32_t length;
        if (!read_u32(&at, end, &length)) {
            return FALSE;
        }
        s->parameter_count = i + 1;
        if (length == (uint32_t)-1) {
            continue;
        }
        if (end - at < (ptrdiff_t)length) {
            return FALSE;
        }
        s->parameters[i] = g_strndup((const char *)at, length);
        at += length;
    }
    put_empty_message(s, '2'); /* BindComplete */
    return TRUE;
}

/* Ends a delay and processes the input that has arrived. */
static void
on_delay_elapsed(evutil_socket_t fd, short what, void *ctx)
{
    Session *s = ctx;
    (void)fd;
    (void)what;
    s->delayed = FALSE;
    session_process(s);
}

/* Suspends the processing of the session's input for a time in
 * microseconds. */
static void
delay(Session *s, uint64_t us)
{
    struct timeval later = {(time_t)(us / 1000000),
                            (suseconds_t)(us % 1000000)};
    s->delayed = TRUE;
    event_add(s->timer, &later);
}

/* Returns TRUE when the service time has to elapse before the statement runs.
 * A writing transaction spends it at its BEGIN, before the session becomes the
 * writer, so that writers do not wait for each other's service time; a read
 * spends it at each statement. */
static gboolean
needs_service_time(const Session *s)
{
    if (s->member->settings.service_us == 0 || s->service_elapsed ||
        s->sql == NULL || is_administrative(s->sql)) {
        return FALSE;
    }
    if (starts_with(s->sql, "BEGIN")) {
        return strstr(s->sql, "READ ONLY") == NULL;
    }
    gboolean ends =
        starts_with(s->sql, "COMMIT") || starts_with(s->sql, "ROLLBACK");
    return !ends && (!s->in_transaction || s->read_only);
}

/* Handles one message of a client.  Returns FALSE when the session waits for a
 * slot, the writer or the service time; the message must be handled again
 * then. */
static gboolean
handle_message(Session *s, char type, const uint8_t *body, size_t size)
{
    const uint8_t *end = body + size;
    gboolean ok = TRUE;

    if (s->skip_to_sync && type != 'S') {
        return TRUE;
    }
    switch (type) {
    case 'Q': /* Query */
        clear_parameters(s);
        if (!run_statement(s, (const char *)body)) {
            return FALSE;
        }
        after_statement(s);
        put_ready(s);
        break;
    case 'P': /* Parse */
        ok = on_parse(s, body, end);
        break;
    case 'B': /* Bind */
        ok = on_bind(s, body, end);
        break;
    case 'E': /* Execute */
        if (needs_service_time(s)) {
            if (acquire_slot(s)) {
                s->service_elapsed = TRUE;
                delay(s, s->member->settings.service_us);
            }
            return FALSE;
        }
        if (!run_statement(s, s->sql == NULL ? "" : s->sql)) {
            return FALSE;
        }
        s->service_elapsed = FALSE;
        s->skip_to_sync = s->failed;
        s->member->statements++;
        after_statement(s);
        break;
    case 'S': /* Sync */
        s->skip_to_sync = FALSE;
        put_ready(s);
        break;
    default:
        break;
    }
    if (!ok) {
        put_error(s, "ERROR", "08P01", "malformed message");
        s->skip_to_sync = TRUE;
    }
    return TRUE;
}

/* Closes a session, rolls back its transaction and releases what it holds. */
static void
session_free(Session *s)
{
    Member *m = s->member;

    g_ptr_array_remove(m->sessions, s);
    g_queue_remove(&m->waiting, s);
    if (s->db != NULL) {
        sqlite3_exec(s->db, "ROLLBACK", NULL, NULL, NULL);
    }
    release_slot_and_writer(s);
    if (s->db != NULL) {
        sqlite3_close(s->db);
    }
    event_free(s->timer);
    bufferevent_free(s->bev);
    clear_parameters(s);
    json_decref(s->writes);
    g_free(s->sql);
    g_free(s->name);
    g_free(s);
}

/* Handles the complete messages in the input until the session has to wait.
 * May free the session. */
static void
process_messages(Session *s)
{
    struct evbuffer *in = bufferevent_get_input(s->bev);
    uint8_t header[5];

    while (!s->delayed && !s->waiting &&
           evbuffer_copyout(in, header, sizeof(header)) == sizeof(header)) {
        uint32_t wire;
        memcpy(&wire, header + 1, sizeof(wire));
        size_t length = ntohl(wire);
        if (length < 4 || length > kMaxMessageBytes) {
            session_free(s);
            return;
        }
        if (evbuffer_get_length(in) < length + 1) {
            return;
        }
        if (header[0] == 'X') { /* Terminate */
            session_free(s);
            return;
        }
        uint8_t *message = evbuffer_pullup(in, (ssize_t)length + 1);
        uint8_t *body = g_memdup2(message + 5, length - 4 + 1);
        body[length - 4] = 0;
        gboolean done = handle_message(s, (char)header[0], body, length - 4);
        g_free(body);
        if (!done) {
            return;
        }
        evbuffer_drain(in, length + 1);
    }
}

/* ---- start-up ---- */

/* Completes the start-up of a client: accepts it without authentication and
 * sends the server's parameters. */
static void
send_startup_response(Session *s)
{
    static const char *const settings[][2] = {
        {"server_version", "15.0"},
        {"client_encoding", "UTF8"},
        {"standard_conforming_strings", "on"},
        {"integer_datetimes", "on"},
    };
    GByteArray *b = g_byte_array_new();

    s->state = kSessionReady;
    s->db = store_connect(s->member->store);
    add_u32(b, 0);
    put_message(s, 'R', b); /* AuthenticationOk */
    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        g_byte_array_set_size(b, 0);
        add_text(b, settings[i][0]);
        add_text(b, settings[i][1]);
        put_message(s, 'S', b); /* ParameterStatus */
    }
    g_byte_array_set_size(b, 0);
    add_u32(b, (uint32_t)getpid());
    add_u32(b, 0);
    put_message(s, 'K', b); /* BackendKeyData */
    g_byte_array_unref(b);
    put_ready(s);
}

/* Returns the number of client connections. */
static uint32_t
client_count(const Member *m)
{
    uint32_t count = 0;
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        count += s->state == kSessionReady || s->state == kSessionConnecting;
    }
    return count;
}

/* Handles a start-up packet: refuses encryption, and starts a follower or a
 * client session.  May free the session. */
static void
process_startup(Session *s)
{
    struct evbuffer *in = bufferevent_get_input(s->bev);
    uint32_t head[2];

    if (evbuffer_copyout(in, head, sizeof(head)) != sizeof(head)) {
        return;
    }
    size_t length = ntohl(head[0]);
    uint32_t code = ntohl(head[1]);
    if (length < sizeof(head) || length > kMaxMessageBytes) {
        session_free(s);
        return;
    }
    if (evbuffer_get_length(in) < length) {
        return;
    }
    evbuffer_drain(in, length);
    if (code == kSslRequest || code == kGssRequest) {
        bufferevent_write(s->bev, "N", 1);
        process_startup(s);
        return;
    }
    if (code == kFollowRequest) {
        s->state = kSessionFollower;
        session_process(s);
        return;
    }
    if (code != kProtocol3) {
        session_free(s);
        return;
    }
    if (client_count(s->member) >= s->member->settings.connections) {
        put_error(s, "FATAL", "53300", "too many connections");
        bufferevent_flush(s->bev, EV_WRITE, BEV_FINISHED);
        /* The delay gives the error time to be sent; session_process then
         * closes the session. */
        s->unresponsive = TRUE;
        delay(s, 100000);
        return;
    }
    s->state = kSessionConnecting;
    delay(s, s->member->settings.connect_us);
}

/* ---- shipping to followers ---- */

/* Sends a JSON line to a follower.  Takes ownership of the line. */
static void
send_line(Session *s, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);
    bufferevent_write(s->bev, text, strlen(text));
    bufferevent_write(s->bev, "\n", 1);
    free(text);
    json_decref(line);
}

/* Sends a follower the log entries that it lacks, at most
 * kMaxEntriesPerShip. */
static void
ship_entries(Session *s)
{
    StoreEntry entry;
    Store *store = s->member->store;

    for (int i = 0;
         i < kMaxEntriesPerShip && s->name != NULL && !s->unresponsive; i++) {
        if (s->shipped >= store_received(store) ||
            !store_entry_after(store, s->shipped, &entry)) {
            return;
        }
        send_line(s, json_pack("{s:I, s:I, s:s}", "position",
                               (json_int_t)entry.position, "term",
                               (json_int_t)entry.term, "sql", entry.sql));
        s->shipped = entry.position;
        store_entry_clear(&entry);
    }
}

/* Accepts a follow request and ships the log entries after the follower's
 * position.  When the local log has no entry of that position and term, the
 * follower must delete its data and gets the whole log.  A member that is
 * itself a replica closes the session instead. */
static void
accept_follower(Session *s, const json_t *line)
{
    Store *store = s->member->store;
    uint64_t position =
        (uint64_t)json_integer_value(json_object_get(line, "position"));
    uint64_t term =
        (uint64_t)json_integer_value(json_object_get(line, "term"));

    if (store_in_recovery(store)) {
        session_free(s);
        return;
    }
    gboolean known = store_has(store, position, term);
    s->name = g_strdup(json_string_value(json_object_get(line, "follow")));
    s->shipped = known ? position : 0;
    s->flushed = known ? position : 0;
    send_line(s,
              json_pack("{s:I, s:b}", "timeline",
                        (json_int_t)store_timeline(store), "reset", !known));
    ship_entries(s);
}

/* Handles the lines of a follower: its follow request and its acknowledged
 * positions.  May free the session. */
static void
process_follower(Session *s)
{
    struct evbuffer *in = bufferevent_get_input(s->bev);
    char *text;

    while ((text = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF)) != NULL) {
        json_t *line = json_loads(text, 0, NULL);
        free(text);
        json_t *flushed = json_object_get(line, "flushed");
        if (json_object_get(line, "follow") != NULL) {
            accept_follower(s, line);
            json_decref(line);
            return;
        }
        if (json_is_integer(flushed)) {
            s->flushed = (uint64_t)json_integer_value(flushed);
        }
        json_decref(line);
    }
    ship_entries(s);
}

/* Ships new log entries to all followers. */
void
sessions_ship(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        if (s->state == kSessionFollower) {
            ship_entries(s);
        }
    }
}

/* Sends a heartbeat to all followers. */
void
sessions_heartbeat(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        if (s->state == kSessionFollower && s->name != NULL &&
            !s->unresponsive) {
            send_line(s, json_pack("{s:b}", "alive", 1));
        }
    }
}

/* Returns the followers and their acknowledged positions as a JSON list; freed
 * with free(). */
char *
sessions_replicas(Member *m)
{
    json_t *list = json_array();
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        if (s->state != kSessionFollower || s->name == NULL) {
            continue;
        }
        char lsn[32];
        g_snprintf(lsn, sizeof(lsn), "%X/%X", (unsigned)(s->flushed >> 32),
                   (unsigned)s->flushed);
        json_array_append_new(
            list, json_pack("{s:s, s:s}", "name", s->name, "flushed", lsn));
    }
    char *text = json_dumps(list, JSON_COMPACT);
    json_decref(list);
    return text;
}

/* ---- events ---- */

/* Processes the input of a session according to its state, unless a fault, a
 * delay or the queue prevents it.  May free the session. */
static void
session_process(Session *s)
{
    if (s->unresponsive || s->delayed || s->waiting ||
        s->member->faults.frozen) {
        /* A client that was refused for too many connections is closed when
         * its delay has elapsed. */
        if (s->unresponsive && !s->delayed && s->state == kSessionStartup &&
            s->bev != NULL && !s->member->faults.partitioned) {
            session_free(s);
        }
        return;
    }
    switch (s->state) {
    case kSessionStartup:
        process_startup(s);
        break;
    case kSessionConnecting:
        send_startup_response(s);
        process_messages(s);
        break;
    case kSessionReady:
        process_messages(s);
        break;
    case kSessionFollower:
        process_follower(s);
        break;
    }
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    (void)bev;
    session_process(ctx);
}

static void
on_event(struct bufferevent *bev, short what, void *ctx)
{
    (void)bev;
    (void)what;
    session_free(ctx);
}

/* Makes a session for a new connection.  It is unresponsive from the start
 * while the member is partitioned. */
static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *ctx)
{
    Member *m = ctx;
    int on = 1;
    Session *s = g_new0(Session, 1);

    (void)listener;
    (void)address;
    (void)length;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    s->member = m;
    s->unresponsive = m->faults.partitioned;
    s->writes = json_array();
    s->timer = evtimer_new(m->base, on_delay_elapsed, s);
    s->bev = bufferevent_socket_new(m->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(s->bev, on_read, NULL, on_event, s);
    bufferevent_enable(s->bev, EV_READ | EV_WRITE);
    g_ptr_array_add(m->sessions, s);
}

/* Opens the port for clients and followers at IP:PORT.  Returns FALSE and sets
 * error when the address cannot be bound. */
gboolean
sessions_listen(Member *m, const char *address, GError **error)
{
    struct sockaddr_storage parsed;
    int length = sizeof(parsed);
    struct evconnlistener *listener = NULL;

    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&parsed,
                                   &length) == 0) {
        listener = evconnlistener_new_bind(
            m->base, on_accept, m, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            -1, (struct sockaddr *)&parsed, length);
    }
    if (listener == NULL) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "cannot listen at %s", address);
        return FALSE;
    }
    return TRUE;
}

/* Closes all sessions. */
void
sessions_close_all(Member *m)
{
    for (guint i = m->sessions->len; i > 0; i--) {
        session_free(g_ptr_array_index(m->sessions, i - 1));
    }
}

/* Makes the open sessions unresponsive without closing them, as behind a
 * network that drops all packets.  New sessions work, unless the member is
 * partitioned. */
void
sessions_stop_responding(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        s->unresponsive = TRUE;
        bufferevent_disable(s->bev, EV_READ);
    }
}

/* Processes the input that arrived while the member was frozen. */
void
sessions_resume(Member *m)
{
    GPtrArray *all = g_ptr_array_copy(m->sessions, NULL, NULL);
    for (guint i = 0; i < all->len; i++) {
        Session *s = g_ptr_array_index(all, i);
        if (g_ptr_array_find(m->sessions, s, NULL)) {
            session_process(s);
        }
    }
    g_ptr_array_unref(all);
}
