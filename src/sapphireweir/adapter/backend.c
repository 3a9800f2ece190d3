#include "adapter/backend.h"

#include <jansson.h>
#include <libpq-fe.h>
#include <string.h>

/* Connections to backend servers through libpq in non-blocking mode. */

/* Type identifiers of PostgreSQL's catalog (pg_type). */
enum {
    kTypeBool = 16,
    kTypeInt8 = 20,
    kTypeInt2 = 21,
    kTypeInt4 = 23,
    kTypeFloat4 = 700,
    kTypeFloat8 = 701,
};

typedef struct {
    Backend *backend;
    uint64_t id;
    PGconn *pg;
    struct event *event;
    gboolean connected;
    gboolean failed; /* told by the deferred event */
    BackendResult result;
    gboolean has_result;
    char *sqlstate;
    char *message;
} Connection;

struct Backend {
    struct event_base *base;
    char *application;
    char *user;
    char *password;
    BackendEvents events;
    GHashTable *connections; /* id -> Connection */
};

static void on_socket(evutil_socket_t fd, short what, void *ctx);

static void
result_clear(Connection *c)
{
    json_decref(c->result.rows);
    g_clear_pointer(&c->sqlstate, g_free);
    g_clear_pointer(&c->message, g_free);
    c->result = (BackendResult){0};
    c->has_result = FALSE;
}

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

/* Makes the adapter.  application names this instance to the servers. */
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

/* Closes all connections. */
void
backend_free(Backend *b)
{
    g_hash_table_destroy(b->connections);
    g_free(b->application);
    g_free(b->user);
    g_free(b->password);
    g_free(b);
}

static void
watch(Connection *c, short what)
{
    if (c->event != NULL) {
        event_free(c->event);
    }
    c->event = event_new(c->backend->base, PQsocket(c->pg), what | EV_PERSIST,
                         on_socket, c);
    event_add(c->event, NULL);
}

static void
on_deferred_failure(evutil_socket_t fd, short what, void *ctx)
{
    Connection *c = ctx;
    Backend *b = c->backend;
    uint64_t id = c->id;
    gboolean connected = c->connected;
    BackendResult lost = {.status = kBackendLost, .message = "lost"};

    (void)fd;
    (void)what;
    g_hash_table_remove(b->connections, &id);
    if (connected) {
        b->events.result(b->events.ctx, id, &lost);
    }
    else {
        b->events.connected(b->events.ctx, id, FALSE);
    }
}

/* Reports the loss of a connection from the loop, never from within a
 * call of the core. */
static void
fail_later(Connection *c)
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

/* Begins to open a connection to "IP:PORT". */
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
        fail_later(c);
        return;
    }
    watch(c, EV_WRITE);
}

static void
poll_connect(Connection *c)
{
    Backend *b = c->backend;
    switch (PQconnectPoll(c->pg)) {
    case PGRES_POLLING_READING:
        watch(c, EV_READ);
        break;
    case PGRES_POLLING_WRITING:
        watch(c, EV_WRITE);
        break;
    case PGRES_POLLING_OK:
        PQsetnonblocking(c->pg, 1);
        c->connected = TRUE;
        watch(c, EV_READ);
        b->events.connected(b->events.ctx, c->id, TRUE);
        break;
    default:
        fail_later(c);
        break;
    }
}

/* ---- results ---- */

static json_t *
cell_to_json(const PGresult *r, int row, int column)
{
    if (PQgetisnull(r, row, column)) {
        return json_null();
    }
    const char *text = PQgetvalue(r, row, column);
    switch (PQftype(r, column)) {
    case kTypeBool:
        return json_boolean(text[0] == 't');
    case kTypeInt2:
    case kTypeInt4:
    case kTypeInt8:
        return json_integer(g_ascii_strtoll(text, NULL, 10));
    case kTypeFloat4:
    case kTypeFloat8:
        return json_real(g_ascii_strtod(text, NULL));
    default:
        break;
    }
    json_t *value = json_string(text);
    return value == NULL ? json_null() : value;
}

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

static void
take_result(Connection *c, PGresult *r)
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

static void
deliver(Connection *c)
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

static void
read_results(Connection *c)
{
    if (PQconsumeInput(c->pg) == 0) {
        fail_later(c);
        return;
    }
    while (PQisBusy(c->pg) == 0) {
        PGresult *r = PQgetResult(c->pg);
        if (r == NULL) {
            if (c->has_result) {
                deliver(c);
            }
            return;
        }
        take_result(c, r);
        PQclear(r);
        if (PQstatus(c->pg) == CONNECTION_BAD) {
            fail_later(c);
            return;
        }
    }
}

static void
flush(Connection *c)
{
    int left = PQflush(c->pg);
    if (left < 0) {
        fail_later(c);
        return;
    }
    watch(c, left > 0 ? EV_READ | EV_WRITE : EV_READ);
}

static void
on_socket(evutil_socket_t fd, short what, void *ctx)
{
    Connection *c = ctx;
    (void)fd;
    if (!c->connected) {
        poll_connect(c);
        return;
    }
    if ((what & EV_WRITE) != 0) {
        flush(c);
    }
    if ((what & EV_READ) != 0 && !c->failed) {
        read_results(c);
    }
}

/* Sends one query with text parameters. */
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
        fail_later(c);
        return;
    }
    int left = PQflush(c->pg);
    if (left < 0) {
        fail_later(c);
    }
    else if (left > 0) {
        watch(c, EV_READ | EV_WRITE);
    }
}

/* Closes a connection; nothing is reported of it any more. */
void
backend_close(Backend *b, uint64_t connection)
{
    g_hash_table_remove(b->connections, &connection);
}

/* Gives up the statement under way.  This version of libpq can only cancel
 * by a call that waits for a new connection, so the connection is closed
 * instead and reported as lost; the server undoes what it held. */
void
backend_cancel(Backend *b, uint64_t connection)
{
    Connection *c = g_hash_table_lookup(b->connections, &connection);
    if (c != NULL) {
        fail_later(c);
    }
}
