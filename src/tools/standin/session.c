#include <arpa/inet.h>
#include <ctype.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "member.h"

/* Sessions of a stand-in: PostgreSQL's wire protocol 3.0 towards libpq, and
 * the stand-in's own log shipping towards replicas on the same port. */

enum {
    kProtocol3 = 196608,
    kSslRequest = 80877103,
    kGssRequest = 80877104,
    kCancelRequest = 80877102,
    kFollowRequest = 0x53574652,
    kTypeInt8 = 20,
    kTypeText = 25,
    kTypeFloat8 = 701,
    kMessageMax = 16 << 20,
    kParametersMax = 64,
    kShipWindow = 200,
};

typedef enum {
    kSessionStartup,
    kSessionConnecting, /* start-up takes its time */
    kSessionReady,
    kSessionFollower,
} SessionState;

struct Session {
    Member *member;
    struct bufferevent *bev;
    struct event *timer;
    SessionState state;
    sqlite3 *db;
    gboolean silent; /* lost by the network: nothing passes */
    gboolean in_transaction;
    gboolean failed; /* until the transaction ends */
    gboolean read_only;
    gboolean has_slot;
    gboolean delayed; /* a statement takes its service time */
    gboolean served;  /* that time is over, it may run */
    gboolean waiting;
    json_t *writes; /* statements of the open transaction */
    char *sql;
    char *parameters[kParametersMax];
    int parameter_count;
    gboolean skip_to_sync;
    /* of a follower */
    char *name;
    uint64_t shipped;
    uint64_t flushed;
};

static void session_process(Session *s);

/* ---- writing messages ---- */

static void
put_message(Session *s, char type, const GByteArray *body)
{
    struct evbuffer *out = bufferevent_get_output(s->bev);
    uint32_t length = htonl(body->len + 4);
    evbuffer_add(out, &type, 1);
    evbuffer_add(out, &length, sizeof(length));
    evbuffer_add(out, body->data, body->len);
}

static void
put_empty(Session *s, char type)
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

static void
add_text(GByteArray *b, const char *text)
{
    g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text) + 1);
}

static void
put_error(Session *s, const char *severity, const char *state,
          const char *message)
{
    GByteArray *b = g_byte_array_new();
    const char codes[] = {'S', 'C', 'M'};
    const char *const values[] = {severity, state, message};
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

static void
put_ready(Session *s)
{
    GByteArray *b = g_byte_array_new();
    const char *status = !s->in_transaction ? "I" : s->failed ? "E" : "T";
    g_byte_array_append(b, (const guint8 *)status, 1);
    put_message(s, 'Z', b);
    g_byte_array_unref(b);
}

static void
put_complete(Session *s, const char *tag)
{
    GByteArray *b = g_byte_array_new();
    add_text(b, tag);
    put_message(s, 'C', b);
    g_byte_array_unref(b);
}

/* ---- slots and the one writer ---- */

static void
wake_waiting(Member *m)
{
    GQueue woken = m->waiting;
    g_queue_init(&m->waiting);
    while (woken.length > 0) {
        Session *s = g_queue_pop_head(&woken);
        s->waiting = FALSE;
        session_process(s);
    }
}

static void
wait_turn(Session *s)
{
    s->waiting = TRUE;
    g_queue_push_tail(&s->member->waiting, s);
}

static gboolean
take_slot(Session *s)
{
    Member *m = s->member;
    if (s->has_slot) {
        return TRUE;
    }
    if (m->slots_used >= m->settings.slots) {
        wait_turn(s);
        return FALSE;
    }
    m->slots_used++;
    s->has_slot = TRUE;
    return TRUE;
}

static gboolean
take_writer(Session *s)
{
    Member *m = s->member;
    if (m->writer != NULL && m->writer != s) {
        wait_turn(s);
        return FALSE;
    }
    m->writer = s;
    return TRUE;
}

static void
release_all(Session *s)
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
        wake_waiting(m);
    }
}

/* ---- transactions ---- */

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

static gboolean
starts_with(const char *sql, const char *word)
{
    while (isspace((unsigned char)*sql)) {
        sql++;
    }
    return g_ascii_strncasecmp(sql, word, strlen(word)) == 0;
}

static gboolean
is_administrative(const char *sql)
{
    return strstr(sql, "pg_") != NULL || starts_with(sql, "SHOW") ||
           starts_with(sql, "ALTER SYSTEM");
}

/* Result rows, kept until their column types are known. */
typedef struct {
    GPtrArray *cells; /* char *, NULL is SQL NULL */
    int columns;
    int rows;
    int *types;       /* zero: no value seen */
    GPtrArray *names; /* char * */
} Rows;

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

static void
rows_clear(Rows *r)
{
    g_ptr_array_unref(r->cells);
    g_ptr_array_unref(r->names);
    g_free(r->types);
}

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

static void
rows_send(Session *s, const Rows *r)
{
    GByteArray *b = g_byte_array_new();
    add_u16(b, (uint16_t)r->columns);
    for (int i = 0; i < r->columns; i++) {
        add_text(b, g_ptr_array_index(r->names, i));
        add_u32(b, 0);
        add_u16(b, 0);
        add_u32(b, r->types[i] == 0 ? kTypeText : (uint32_t)r->types[i]);
        add_u16(b, (uint16_t)-1);
        add_u32(b, (uint32_t)-1);
        add_u16(b, 0);
    }
    put_message(s, 'T', b);
    for (int row = 0; row < r->rows; row++) {
        g_byte_array_set_size(b, 0);
        add_u16(b, (uint16_t)r->columns);
        for (int i = 0; i < r->columns; i++) {
            const char *cell =
                g_ptr_array_index(r->cells, row * r->columns + i);
            if (cell == NULL) {
                add_u32(b, (uint32_t)-1);
                continue;
            }
            add_u32(b, (uint32_t)strlen(cell));
            g_byte_array_append(b, (const guint8 *)cell, (guint)strlen(cell));
        }
        put_message(s, 'D', b);
    }
    g_byte_array_unref(b);
}

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

static const char *
state_of_error(sqlite3 *db)
{
    switch (sqlite3_errcode(db)) {
    case SQLITE_CONSTRAINT:
        return "23505";
    case SQLITE_BUSY:
        return "40001";
    default:
        return "42601";
    }
}

static void
finish_statement(Session *s, sqlite3_stmt *stmt, Rows *rows, int result,
                 gboolean write)
{
    char tag[64];
    if (result != SQLITE_DONE) {
        put_error(s, "ERROR", state_of_error(s->db), sqlite3_errmsg(s->db));
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
        put_empty(s, 'n');
    }
    g_snprintf(tag, sizeof(tag), write ? "UPDATE %d" : "SELECT %d",
               write ? sqlite3_changes(s->db) : rows->rows);
    put_complete(s, tag);
}

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

/* Runs one statement.  FALSE: it waits for a slot or the writer's place and
 * is to be run again. */
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
    if (write && !take_writer(s)) {
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

/* Runs what a client sent; FALSE: it waits and is to be run again. */
static gboolean
run_statement(Session *s, const char *sql)
{
    if (!is_administrative(sql) && !take_slot(s)) {
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

static void
after_statement(Session *s)
{
    if (!s->in_transaction) {
        release_all(s);
    }
    member_act(s->member);
}

/* ---- reading messages ---- */

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
    put_empty(s, '1');
    return TRUE;
}

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
    if (!read_u16(&at, end, &count) || count > kParametersMax) {
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
    put_empty(s, '2');
    return TRUE;
}

static void
on_delay_over(evutil_socket_t fd, short what, void *ctx)
{
    Session *s = ctx;
    (void)fd;
    (void)what;
    s->delayed = FALSE;
    session_process(s);
}

static void
delay(Session *s, uint64_t us)
{
    struct timeval later = {(time_t)(us / 1000000),
                            (suseconds_t)(us % 1000000)};
    s->delayed = TRUE;
    event_add(s->timer, &later);
}

/* Tells whether a statement must take its service time first.  A writing
 * transaction takes it as it begins, before it has the one writer's place,
 * so that writers do not queue for each other's time; a read takes it for
 * itself. */
static gboolean
needs_service_time(const Session *s)
{
    if (s->member->settings.service_us == 0 || s->served || s->sql == NULL ||
        is_administrative(s->sql)) {
        return FALSE;
    }
    if (starts_with(s->sql, "BEGIN")) {
        return strstr(s->sql, "READ ONLY") == NULL;
    }
    gboolean ends =
        starts_with(s->sql, "COMMIT") || starts_with(s->sql, "ROLLBACK");
    return !ends && (!s->in_transaction || s->read_only);
}

/* Handles one message.  FALSE: it must be handled again later. */
static gboolean
handle_message(Session *s, char type, const uint8_t *body, size_t size)
{
    const uint8_t *end = body + size;
    gboolean ok = TRUE;

    if (s->skip_to_sync && type != 'S') {
        return TRUE;
    }
    switch (type) {
    case 'Q':
        clear_parameters(s);
        if (!run_statement(s, (const char *)body)) {
            return FALSE;
        }
        after_statement(s);
        put_ready(s);
        break;
    case 'P':
        ok = on_parse(s, body, end);
        break;
    case 'B':
        ok = on_bind(s, body, end);
        break;
    case 'E':
        if (needs_service_time(s)) {
            if (take_slot(s)) {
                s->served = TRUE;
                delay(s, s->member->settings.service_us);
            }
            return FALSE;
        }
        if (!run_statement(s, s->sql == NULL ? "" : s->sql)) {
            return FALSE;
        }
        s->served = FALSE;
        s->skip_to_sync = s->failed;
        s->member->statements++;
        after_statement(s);
        break;
    case 'S':
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

static void
session_free(Session *s)
{
    Member *m = s->member;

    g_ptr_array_remove(m->sessions, s);
    g_queue_remove(&m->waiting, s);
    if (s->db != NULL) {
        sqlite3_exec(s->db, "ROLLBACK", NULL, NULL, NULL);
    }
    release_all(s);
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
        if (length < 4 || length > kMessageMax) {
            session_free(s);
            return;
        }
        if (evbuffer_get_length(in) < length + 1) {
            return;
        }
        if (header[0] == 'X') {
            session_free(s);
            return;
        }
        uint8_t *all = evbuffer_pullup(in, (ssize_t)length + 1);
        uint8_t *body = g_memdup2(all + 5, length - 4 + 1);
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

static void
welcome(Session *s)
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
    put_message(s, 'R', b);
    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        g_byte_array_set_size(b, 0);
        add_text(b, settings[i][0]);
        add_text(b, settings[i][1]);
        put_message(s, 'S', b);
    }
    g_byte_array_set_size(b, 0);
    add_u32(b, (uint32_t)getpid());
    add_u32(b, 0);
    put_message(s, 'K', b);
    g_byte_array_unref(b);
    put_ready(s);
}

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
    if (length < sizeof(head) || length > kMessageMax) {
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
        s->silent = TRUE;
        delay(s, 100000);
        return;
    }
    s->state = kSessionConnecting;
    delay(s, s->member->settings.connect_us);
}

/* ---- shipping to followers ---- */

static void
put_line(Session *s, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);
    bufferevent_write(s->bev, text, strlen(text));
    bufferevent_write(s->bev, "\n", 1);
    free(text);
    json_decref(line);
}

static void
ship(Session *s)
{
    StoreEntry entry;
    Store *store = s->member->store;

    for (int i = 0; i < kShipWindow && s->name != NULL && !s->silent; i++) {
        if (s->shipped >= store_received(store) ||
            !store_entry_after(store, s->shipped, &entry)) {
            return;
        }
        put_line(s, json_pack("{s:I, s:I, s:s}", "position",
                              (json_int_t)entry.position, "term",
                              (json_int_t)entry.term, "sql", entry.sql));
        s->shipped = entry.position;
        store_entry_clear(&entry);
    }
}

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
    put_line(s, json_pack("{s:I, s:b}", "timeline",
                          (json_int_t)store_timeline(store), "reset", !known));
    ship(s);
}

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
    ship(s);
}

/* Ships what was committed to all followers. */
void
sessions_ship(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        if (s->state == kSessionFollower) {
            ship(s);
        }
    }
}

/* Tells all followers that the primary lives. */
void
sessions_heartbeat(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        if (s->state == kSessionFollower && s->name != NULL && !s->silent) {
            put_line(s, json_pack("{s:b}", "alive", 1));
        }
    }
}

/* Returns the followers and what they hold, as JSON; freed with free(). */
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

static void
session_process(Session *s)
{
    if (s->silent || s->delayed || s->waiting || s->member->faults.frozen) {
        if (s->silent && !s->delayed && s->state == kSessionStartup &&
            s->bev != NULL && !s->member->faults.cut) {
            session_free(s);
        }
        return;
    }
    switch (s->state) {
    case kSessionStartup:
        process_startup(s);
        break;
    case kSessionConnecting:
        welcome(s);
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
    s->silent = m->faults.cut;
    s->writes = json_array();
    s->timer = evtimer_new(m->base, on_delay_over, s);
    s->bev = bufferevent_socket_new(m->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(s->bev, on_read, NULL, on_event, s);
    bufferevent_enable(s->bev, EV_READ | EV_WRITE);
    g_ptr_array_add(m->sessions, s);
}

/* Opens the port for clients and followers. */
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

/* Lets the open sessions go silent for good; new ones work. */
void
sessions_silence(Member *m)
{
    for (guint i = 0; i < m->sessions->len; i++) {
        Session *s = g_ptr_array_index(m->sessions, i);
        s->silent = TRUE;
        bufferevent_disable(s->bev, EV_READ);
    }
}

/* Goes on with what waited while the member was frozen. */
void
sessions_thaw(Member *m)
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
