#include "adapter/backend.h"

#include <jansson.h>
#include <libpq-fe.h>
#include <string.h>

/* Connections to backend servers through libpq in non-blocking mode. */

/* Type OIDs of PostgreSQL's system catalog (pg_type). */
enum {
    kOidBool = 16,
    kOidInt8 = 20,
    kOidInt2 = 21,
    kOidInt4 = 23,
    kOidFloat4 = 700,
    kOidFloat8 = 701,
};

/* A connection to a backend server. */
typedef struct {
    Backend *backend;
    uint64_t id; /* chosen by the caller of backend_connect */
    PGconn *pg;
    struct event *event; /* on the socket, or the timer of a failure */
    gboolean connected;
    gboolean failed;      /* on_deferred_failure is scheduled */
    BackendResult result; /* of the current query, if has_result is set */
    gboolean has_result;
    char *sqlstate; /* owned copy for result */
    char *message;  /* owned copy for result */
} Connection;

struct Backend {
    struct event_base *base;
    char *application;
    char *user;
    char *password;
    BackendEvents events;
    GHashTable *connections; /* id -> Connection */
};

static void on_socket(evutil_socket_t fd, short events, void *ctx);

/* Frees the stored result, if there is one, and resets it. */
static void
result_clear(Connection *c)
{
    json_decref(c->result.rows);
    g_clear_pointer(&c->sqlstate, g_free);
    g_clear_pointer(&c->message, g_free);
    c->result = (BackendResult){0};
    c->has_result = FALSE;
}

/* Closes and frees a connection; the table's destroy function. */
static void
connection_free(void *data)
{
    Connection *c = data;
    if (c->event != NULL) {
        event_free(c->event);
    }
    result_clear(c);
    PQfinish(c->pg);
    g_free(c);
}

/* Creates the adapter.  application is the application_name that the backend
 * servers see; password may be NULL.  All strings are copied; the caller frees
 * the adapter with backend_free. */
Backend *
backend_new(struct event_base *base, const char *application, const char *user,
            const char *password, const BackendEvents *events)
{
    Backend *b = g_new0(Backend, 1);
    b->base = base;
    b->application = g_strdup(application);
    b->user = g_strdup(user);
    b->password = g_strdup(password);
    b->events = *events;
    b->connections = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           connection_free);
    return b;
}

/* Closes all connections and frees the adapter; no callback is called. */
void
backend_free(Backend *b)
{
    g_hash_table_destroy(b->connections);
    g_free(b->application);
    g_free(b->user);
    g_free(b->password);
    g_free(b);
}

/* Replaces the socket event: libpq may change the socket while it connects.
 * events is EV_READ, EV_WRITE or both. */
static void
watch_socket(Connection *c, short events)
{
    if (c->event != NULL) {
        event_free(c->event);
    }
    c->event = event_new(c->backend->base, PQsocket(c->pg),
                         events | EV_PERSIST, on_socket, c);
    event_add(c->event, NULL);
}

/* Timer callback: removes a failed connection and reports its loss, or the
 * failure of the connection attempt. */
static void
on_deferred_failure(evutil_socket_t fd, short events, void *ctx)
{
    Connection *c = ctx;
    Backend *b = c->backend;
    uint64_t id = c->id;
    gboolean connected = c->connected;
    BackendResult lost = {.status = kBackendLost, .message = "lost"};

    (void)fd;
    (void)events;
    g_hash_table_remove(b->connections, &id);
    if (connected) {
        b->events.result(b->events.ctx, id, &lost);
    }
    else {
        b->events.connected(b->events.ctx, id, FALSE);
    }
}

/* Schedules the report that a connection failed.  The callback is called from
 * the event loop, never from within backend_connect or another function of
 * this interface, whose caller may not be ready for it. */
static void
schedule_failure(Connection *c)
{
    struct timeval now = {0, 0};
    if (c->failed) {
        return;
    }
    c->failed = TRUE;
    if (c->event != NULL) {
        event_free(c->event);
    }
    c->event = evtimer_new(c->backend->base, on_deferred_failure, c);
    event_add(c->event, &now);
}

/* Starts to open a connection to "IP:PORT" (port 5432 if none is given).  The
 * caller chooses the connection id.  The outcome, also a failure at once, is
 * reported by the connected callback. */
void
backend_connect(Backend *b, uint64_t connection, const char *address,
                const char *database)
{
    const char *colon = strrchr(address, ':');
    char *host = g_strndup(address, colon == NULL ? strlen(address)
                                                  : (size_t)(colon - address));
    const char *const keys[] = {
        "hostaddr",         "port",
        "dbname",           "user",
        "password",         "application_name",
        "sslmode",          "gssencmode",
        "tcp_user_timeout", "keepalives",
        "keepalives_idle",  "keepalives_interval",
        "keepalives_count", NULL,
    };
    /* Close the connection to an unreachable server: tcp_user_timeout, in
     * milliseconds, while sent data is unacknowledged; keepalive probes, with
     * times in seconds, while the connection is idle. */
    const char *const values[] = {
        host,        colon == NULL ? "5432" : colon + 1,
        database,    b->user,
        b->password, b->application,
        "prefer",    "disable",
        "3000",      "1",
        "5",         "2",
        "3",         NULL,
    };
    Connection *c = g_new0(Connection, 1);

    c->backend = b;
    c->id = connection;
    c->pg = PQconnectStartParams(keys, values, 0);
    g_free(host);
    g_hash_table_insert(b->connections, &c->id, c);
    if (PQstatus(c->pg) == CONNECTION_BAD) {
        schedule_failure(c);
        return;
    }
    watch_socket(c, EV_WRITE);
}

/* Continues the connection attempt when its socket is ready. */
static void
poll_connect(Connection *c)
{
    Backend *b = c->backend;
    switch (PQconnectPoll(c->pg)) {
    case PGRES_POLLING_READING:
        watch_socket(c, EV_READ);
        break;
    case PGRES_POLLING_WRITING:
        watch_socket(c, EV_WRITE);
        break;
    case PGRES_POLLING_OK:
        PQsetnonblocking(c->pg, 1);
        c->connected = TRUE;
        watch_socket(c, EV_READ);
        b->events.connected(b->events.ctx, c->id, TRUE);
        break;
    default:
        schedule_failure(c);
        break;
    }
}

/* ---- results ---- */

/* Converts one value of a result: SQL null, booleans, integers and floats to
 * their JSON types, all others to a string (null if not valid UTF-8). */
static json_t *
cell_to_json(const PGresult *r, int row, int column)
{
    if (PQgetisnull(r, row, column)) {
        return json_null();
    }
    const char *text = PQgetvalue(r, row, column);
    switch (PQftype(r, column)) {
    case kOidBool:
        return json_boolean(text[0] == 't');
    case kOidInt2:
    case kOidInt4:
    case kOidInt8:
        return json_integer(g_ascii_strtoll(text, NULL, 10));
    case kOidFloat4:
    case kOidFloat8:
        return json_real(g_ascii_strtod(text, NULL));
    default:
        break;
    }
    json_t *value = json_string(text);
    return value == NULL ? json_null() : value;
}

/* Converts the rows to an array of objects, keyed by column name. */
static json_t *
rows_to_json(const PGresult *r)
{
    json_t *rows = json_array();
    for (int i = 0; i < PQntuples(r); i++) {
        json_t *row = json_object();
        for (int k = 0; k < PQnfields(r); k++) {
            json_object_set_new(row, PQfname(r, k), cell_to_json(r, i, k));
        }
        json_array_append_new(rows, row);
    }
    return rows;
}

/* Stores a result of the current query; a later one replaces it. */
static void
store_result(Connection *c, PGresult *r)
{
    ExecStatusType status = PQresultStatus(r);
    result_clear(c);
    c->has_result = TRUE;
    if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK) {
        c->result.status = kBackendOk;
        c->result.rows = rows_to_json(r);
        c->result.affected = g_ascii_strtoull(PQcmdTuples(r), NULL, 10);
        return;
    }
    const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
    const char *text = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
    c->sqlstate = g_strdup(state == NULL ? "XX000" : state);
    c->message = g_strdup(text == NULL ? "unknown error" : text);
    c->result.status = kBackendError;
    c->result.rows = json_array();
    c->result.sqlstate = c->sqlstate;
    c->result.message = c->message;
}

/* Reports the stored result.  The callback may close the connection, so the
 * result is moved out of it before the call. */
static void
report_result(Connection *c)
{
    Backend *b = c->backend;
    BackendResult result = c->result;
    char *sqlstate = g_steal_pointer(&c->sqlstate);
    char *message = g_steal_pointer(&c->message);

    c->result.rows = NULL;
    c->has_result = FALSE;
    b->events.result(b->events.ctx, c->id, &result);
    json_decref(result.rows);
    g_free(sqlstate);
    g_free(message);
}

/* Reads what the server sent, and reports the result once libpq has returned
 * all results of the query. */
static void
read_results(Connection *c)
{
    if (PQconsumeInput(c->pg) == 0) {
        schedule_failure(c);
        return;
    }
    while (PQisBusy(c->pg) == 0) {
        PGresult *r = PQgetResult(c->pg);
        if (r == NULL) {
            if (c->has_result) {
                report_result(c);
            }
            return;
        }
        store_result(c, r);
        PQclear(r);
        if (PQstatus(c->pg) == CONNECTION_BAD) {
            schedule_failure(c);
            return;
        }
    }
}

/* Sends buffered output and waits for writability while some remains. */
static void
flush(Connection *c)
{
    int unsent = PQflush(c->pg);
    if (unsent < 0) {
        schedule_failure(c);
        return;
    }
    watch_socket(c, unsent > 0 ? EV_READ | EV_WRITE : EV_READ);
}

/* Socket callback: continues the connection attempt, or sends and reads. */
static void
on_socket(evutil_socket_t fd, short events, void *ctx)
{
    Connection *c = ctx;
    (void)fd;
    if (!c->connected) {
        poll_connect(c);
        return;
    }
    if ((events & EV_WRITE) != 0) {
        flush(c);
    }
    if ((events & EV_READ) != 0 && !c->failed) {
        read_results(c);
    }
}

/* Sends one query with count text parameters (NULL: SQL null).  A failure is
 * reported by the result callback as kBackendLost; an unknown or failed
 * connection is ignored. */
void
backend_query(Backend *b, uint64_t connection, const char *sql, size_t count,
              const char *const *parameters)
{
    Connection *c = g_hash_table_lookup(b->connections, &connection);
    if (c == NULL || c->failed) {
        return;
    }
    if (PQsendQueryParams(c->pg, sql, (int)count, NULL, parameters, NULL, NULL,
                          0) == 0) {
        schedule_failure(c);
        return;
    }
    int unsent = PQflush(c->pg);
    if (unsent < 0) {
        schedule_failure(c);
    }
    else if (unsent > 0) {
        watch_socket(c, EV_READ | EV_WRITE);
    }
}

/* Closes a connection; no further callback is called for it. */
void
backend_close(Backend *b, uint64_t connection)
{
    g_hash_table_remove(b->connections, &connection);
}

/* Cancels the running query.  This version of libpq can only cancel by a
 * blocking call that opens another connection, so the connection is closed
 * instead and reported as lost; the server rolls back its transaction. */
void
backend_cancel(Backend *b, uint64_t connection)
{
    Connection *c = g_hash_table_lookup(b->connections, &connection);
    if (c != NULL) {
        schedule_failure(c);
    }
}
