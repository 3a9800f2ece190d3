#include "adapter/trace.h"

#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>

#include "core/error.h"

/* A trace contains the cluster's secret and the callers' requests with their
 * keys, so only the owner of the file may read it.  Lines with "e" are events;
 * lines with "a" are the actions with which the core responded, in order. */

struct Trace {
    FILE *file;
    EntryPort target;      /* performs the recorded actions */
    uint64_t last_tick_us; /* unused */
};

/* Writes a JSON value as one line and releases the caller's reference. */
static void
write_line(Trace *t, json_t *line)
{
    json_dumpf(line, t->file, JSON_COMPACT);
    fputc('\n', t->file);
    json_decref(line);
}

/* Creates a trace file, replacing an existing one, and records the
 * configuration.  Fails with kCoreErrorIo.  The caller closes the trace. */
Trace *
trace_open(const char *path, const EntryConfig *config, uint64_t now_us,
           GError **error)
{
    mode_t mask = umask(0077);
    FILE *file = fopen(path, "w");

    umask(mask);
    if (file == NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo, "cannot write %s: %s",
                    path, g_strerror(errno));
        return NULL;
    }
    Trace *t = g_new0(Trace, 1);
    t->file = file;
    json_t *controls = json_array();
    for (size_t i = 0; i < config->control_count; i++) {
        json_array_append_new(
            controls,
            json_pack("{s:s, s:s}", "id", config->controls[i].id,
                      "failure_domain", config->controls[i].failure_domain));
    }
    char secret[kEntrySecretBytes * 2 + 1];
    sodium_bin2hex(secret, sizeof(secret), config->secret,
                   sizeof(config->secret));
    write_line(
        t,
        json_pack("{s:s, s:I, s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:s?, "
                  "s:s?, s:o}",
                  "e", "start", "t", (json_int_t)now_us, "id", config->id,
                  "failure_domain", config->failure_domain, "peer",
                  config->peer_address, "http", config->http_address,
                  "incarnation", (json_int_t)config->incarnation,
                  "wall_offset", (json_int_t)config->wall_offset_us, "secret",
                  secret, "operator_token", config->operator_token,
                  "platform_key", config->platform_key, "controls", controls));
    return t;
}

/* Closes the file and frees the trace. */
void
trace_close(Trace *t)
{
    fclose(t->file);
    g_free(t);
}

/* ---- events ---- */

/* Returns a new line for an event, with its time; the caller owns it. */
static json_t *
event_line(const char *name, uint64_t now_us)
{
    return json_pack("{s:s, s:I}", "e", name, "t", (json_int_t)now_us);
}

/* Sets a field, unless text is NULL. */
static void
set_text(json_t *line, const char *name, const char *text)
{
    if (text != NULL) {
        json_object_set_new(line, name, json_string(text));
    }
}

/* Sets a field to data in Base64: callers may send any bytes, and JSON strings
 * hold only valid UTF-8. */
static void
set_bytes(json_t *line, const char *name, const char *data, size_t size)
{
    char *text = g_base64_encode((const guchar *)data, size);
    set_text(line, name, text);
    g_free(text);
}

/* Records a caller's request. */
void
trace_request(Trace *t, uint64_t now_us, const CallerRequest *r)
{
    if (t == NULL) {
        return;
    }
    json_t *line = event_line("request", now_us);
    json_object_set_new(line, "id", json_integer((json_int_t)r->id));
    set_text(line, "method", r->method);
    set_bytes(line, "path64", r->path, strlen(r->path));
    set_bytes(line, "body64", r->body, r->body_bytes);
    set_text(line, "authorization", r->authorization);
    set_text(line, "session_token", r->session_token);
    set_text(line, "idempotency_key", r->idempotency_key);
    set_text(line, "max_staleness_ms", r->max_staleness_ms);
    set_text(line, "request_timeout_ms", r->request_timeout_ms);
    set_text(line, "operation_id", r->operation_id);
    write_line(t, line);
}

/* Records that a caller closed the connection before the response. */
void
trace_abandon(Trace *t, uint64_t now_us, uint64_t request_id)
{
    if (t == NULL) {
        return;
    }
    json_t *line = event_line("abandon", now_us);
    json_object_set_new(line, "id", json_integer((json_int_t)request_id));
    write_line(t, line);
}

/* Records a frame received from a peer. */
void
trace_frame(Trace *t, uint64_t now_us, const char *from,
            const Sw__Frame *frame)
{
    if (t == NULL) {
        return;
    }
    size_t size = sw__frame__get_packed_size(frame);
    uint8_t *packed = g_malloc(size + 1);
    json_t *line = event_line("frame", now_us);

    sw__frame__pack(frame, packed);
    char *text = g_base64_encode(packed, size);
    set_text(line, "from", from);
    set_text(line, "data", text);
    write_line(t, line);
    g_free(text);
    g_free(packed);
}

/* Records that the link to a peer went down. */
void
trace_peer_down(Trace *t, uint64_t now_us, const char *peer)
{
    if (t == NULL) {
        return;
    }
    json_t *line = event_line("down", now_us);
    set_text(line, "peer", peer);
    write_line(t, line);
}

/* Records the outcome of a connection attempt to a backend server. */
void
trace_connected(Trace *t, uint64_t now_us, uint64_t connection, gboolean ok)
{
    if (t == NULL) {
        return;
    }
    json_t *line = event_line("connected", now_us);
    json_object_set_new(line, "c", json_integer((json_int_t)connection));
    json_object_set_new(line, "ok", json_boolean(ok));
    write_line(t, line);
}

/* Records the result of a query. */
void
trace_result(Trace *t, uint64_t now_us, uint64_t connection,
             const BackendResult *result)
{
    if (t == NULL) {
        return;
    }
    json_t *line = event_line("result", now_us);
    json_object_set_new(line, "c", json_integer((json_int_t)connection));
    json_object_set_new(line, "status", json_integer(result->status));
    json_object_set_new(line, "affected",
                        json_integer((json_int_t)result->affected));
    if (result->rows != NULL) {
        json_object_set(line, "rows", result->rows);
    }
    set_text(line, "sqlstate", result->sqlstate);
    set_text(line, "message", result->message);
    write_line(t, line);
}

/* Records a timer tick. */
void
trace_tick(Trace *t, uint64_t now_us)
{
    if (t == NULL) {
        return;
    }
    write_line(t, event_line("tick", now_us));
}

/* Records the start of draining, which begins a planned stop. */
void
trace_drain(Trace *t, uint64_t now_us)
{
    if (t == NULL) {
        return;
    }
    write_line(t, event_line("drain", now_us));
}

/* Records that the drained instance leaves the membership. */
void
trace_leave(Trace *t, uint64_t now_us)
{
    if (t == NULL) {
        return;
    }
    write_line(t, event_line("leave", now_us));
}

/* ---- actions ---- */

/* The callbacks of the port that trace_port returns.  Each records an action
 * and forwards it to the target port. */

static void
on_respond(void *ctx, uint64_t request_id, const CallerResponse *response)
{
    Trace *t = ctx;
    write_line(t, json_pack("{s:s, s:I, s:I}", "a", "respond", "id",
                            (json_int_t)request_id, "status",
                            (json_int_t)response->status));
    t->target.respond(t->target.ctx, request_id, response);
}

static gboolean
on_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Trace *t = ctx;
    gboolean sent = t->target.send(t->target.ctx, to, frame);
    write_line(t, json_pack("{s:s, s:s, s:I, s:b}", "a", "send", "to", to,
                            "kind", (json_int_t)frame->body_case, "ok", sent));
    return sent;
}

static void
on_peer_address(void *ctx, const char *id, const char *address)
{
    Trace *t = ctx;
    t->target.peer_address(t->target.ctx, id, address);
}

static void
on_connect(void *ctx, uint64_t connection, const char *address,
           const char *database)
{
    Trace *t = ctx;
    write_line(t, json_pack("{s:s, s:I, s:s}", "a", "connect", "c",
                            (json_int_t)connection, "to", address));
    t->target.backend_connect(t->target.ctx, connection, address, database);
}

static void
on_query(void *ctx, uint64_t connection, const char *sql, size_t count,
         const char *const *parameters)
{
    Trace *t = ctx;
    write_line(t, json_pack("{s:s, s:I, s:s}", "a", "query", "c",
                            (json_int_t)connection, "sql", sql));
    t->target.backend_query(t->target.ctx, connection, sql, count, parameters);
}

static void
on_cancel(void *ctx, uint64_t connection)
{
    Trace *t = ctx;
    write_line(t, json_pack("{s:s, s:I}", "a", "cancel", "c",
                            (json_int_t)connection));
    t->target.backend_cancel(t->target.ctx, connection);
}

static void
on_close(void *ctx, uint64_t connection)
{
    Trace *t = ctx;
    write_line(
        t, json_pack("{s:s, s:I}", "a", "close", "c", (json_int_t)connection));
    t->target.backend_close(t->target.ctx, connection);
}

static uint64_t
on_random(void *ctx)
{
    Trace *t = ctx;
    uint64_t value = t->target.random(t->target.ctx);
    write_line(t,
               json_pack("{s:s, s:I}", "a", "random", "v", (json_int_t)value));
    return value;
}

/* Forwards a request's team.  It is not recorded, since it follows from the
 * events and changes no decision of the core. */
static void
on_caller_team(void *ctx, uint64_t request_id, const char *team)
{
    Trace *t = ctx;
    t->target.caller_team(t->target.ctx, request_id, team);
}

/* Returns a port that records each action, except peer addresses and teams,
 * and forwards it to target.  The trace must outlive the port. */
EntryPort
trace_port(Trace *t, const EntryPort *target)
{
    t->target = *target;
    return (EntryPort){
        .ctx = t,
        .respond = on_respond,
        .send = on_send,
        .peer_address = on_peer_address,
        .backend_connect = on_connect,
        .backend_query = on_query,
        .backend_cancel = on_cancel,
        .backend_close = on_close,
        .random = on_random,
        .caller_team = target->caller_team == NULL ? NULL : on_caller_team,
    };
}
