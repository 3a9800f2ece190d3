#include "replay.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "core/entry_core.h"
#include "core/error.h"
#include "core/schema.h"

/* Feeds the events of a recorded trace to a new entry core.  The recorded
 * actions are the expected result: each action of the core must equal the
 * next one in the trace. */

enum { kMaxControls = 32 };

/* State of one replay. */
typedef struct {
    FILE *file;
    uint64_t line; /* number of the last line that was read */
    json_t *next;  /* line read ahead, or NULL */
    EntryCore *core;
    EntryControl controls[kMaxControls]; /* further ones are ignored */
    json_t *start; /* first line; owns the strings of the configuration */
    ReplayResult *result;
} Replay;

/* ---- the trace ---- */

static void record_difference(Replay *r, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Returns the next line without consuming it, or NULL at the end of the trace.
 * The replay owns the line. */
static json_t *
peek_line(Replay *r)
{
    char *text = NULL;
    size_t size = 0;

    if (r->next == NULL && getline(&text, &size, r->file) > 0) {
        r->next = json_loads(text, 0, NULL);
        r->line++;
        if (r->next == NULL) {
            record_difference(r, "the line is no JSON");
        }
    }
    free(text);
    return r->next;
}

/* Consumes and returns the next line, or NULL at the end of the trace.  The
 * caller owns it. */
static json_t *
next_line(Replay *r)
{
    json_t *line = peek_line(r);
    r->next = NULL;
    return line;
}

/* Counts a difference and keeps the description of the first one. */
static void
record_difference(Replay *r, const char *format, ...)
{
    va_list args;
    r->result->differences++;
    if (r->result->first_difference != NULL) {
        return;
    }
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    r->result->first_difference =
        g_strdup_printf("line %" G_GUINT64_FORMAT ": %s", r->line, text);
    g_free(text);
}

/* Consumes the next line of the trace, which must record an action of this
 * name.  Returns NULL and records a difference when it does not; otherwise the
 * caller owns the line. */
static json_t *
expect_action(Replay *r, const char *name)
{
    json_t *line = peek_line(r);
    const char *recorded = json_text_or(line, "a", "nothing");

    r->result->actions++;
    if (strcmp(recorded, name) != 0) {
        record_difference(r, "the core does \"%s\", recorded is \"%s\"", name,
                          recorded);
        return NULL;
    }
    return next_line(r);
}

/* Records a difference when a number of the recorded action is not value; line
 * is NULL when the action itself differs. */
static void
expect_number(Replay *r, const json_t *line, const char *name, uint64_t value)
{
    uint64_t recorded = (uint64_t)json_integer_or(line, name, 0);
    if (line != NULL && recorded != value) {
        record_difference(
            r, "%s is %" G_GUINT64_FORMAT ", recorded is %" G_GUINT64_FORMAT,
            name, value, recorded);
    }
}

/* Records a difference when a text of the recorded action is not value; line
 * is NULL when the action itself differs. */
static void
expect_text(Replay *r, const json_t *line, const char *name, const char *value)
{
    const char *recorded = json_text_or(line, name, "");
    if (line != NULL && strcmp(recorded, value) != 0) {
        record_difference(r, "%s is \"%s\", recorded is \"%s\"", name, value,
                          recorded);
    }
}

/* ---- actions of the core, called through its port ---- */

static void
on_respond(void *ctx, uint64_t request_id, const CallerResponse *response)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "respond");
    expect_number(r, line, "id", request_id);
    expect_number(r, line, "status", response->status);
    r->result->answers++;
    json_decref(line);
}

/* Checks a sent frame.  Returns the recorded result of the send. */
static gboolean
on_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "send");
    expect_text(r, line, "to", to);
    expect_number(r, line, "kind", frame->body_case);
    gboolean sent = line == NULL || json_flag(line, "ok");
    json_decref(line);
    return sent;
}

/* Does nothing: traces do not record peer addresses. */
static void
on_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

static void
on_connect(void *ctx, uint64_t connection, const char *address,
           const char *database)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "connect");
    (void)database;
    expect_number(r, line, "c", connection);
    expect_text(r, line, "to", address);
    json_decref(line);
}

static void
on_query(void *ctx, uint64_t connection, const char *sql, size_t count,
         const char *const *parameters)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "query");
    (void)count;
    (void)parameters;
    expect_number(r, line, "c", connection);
    expect_text(r, line, "sql", sql);
    json_decref(line);
}

/* Compares the cancellation of a query with the recorded action. */
static void
on_cancel(void *ctx, uint64_t connection)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "cancel");
    expect_number(r, line, "c", connection);
    json_decref(line);
}

/* Compares the closing of a server connection with the recorded action. */
static void
on_close(void *ctx, uint64_t connection)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "close");
    expect_number(r, line, "c", connection);
    json_decref(line);
}

/* Returns the recorded random number, so that the core repeats its random
 * choices. */
static uint64_t
on_random(void *ctx)
{
    Replay *r = ctx;
    json_t *line = expect_action(r, "random");
    uint64_t value = (uint64_t)json_integer_or(line, "v", 0);
    json_decref(line);
    return value;
}

/* ---- events of the trace ---- */

/* Starts the core with the configuration in the first line of the trace.
 * Takes ownership of the line.  Fails when it is not a start event. */
static gboolean
start_core(Replay *r, json_t *line, GError **error)
{
    EntryPort port = {
        .ctx = r,
        .respond = on_respond,
        .send = on_send,
        .peer_address = on_peer_address,
        .backend_connect = on_connect,
        .backend_query = on_query,
        .backend_cancel = on_cancel,
        .backend_close = on_close,
        .random = on_random,
    };
    size_t i;
    json_t *control;
    size_t secret_bytes = 0;
    const char *secret = json_text_or(line, "secret", "");

    r->start = line;
    json_array_foreach(json_object_get(line, "controls"), i, control)
    {
        if (i < kMaxControls) {
            r->controls[i] =
                (EntryControl){json_text_or(control, "id", ""),
                               json_text_or(control, "failure_domain", "")};
        }
    }
    EntryConfig config = {
        .id = json_text_or(line, "id", ""),
        .failure_domain = json_text_or(line, "failure_domain", ""),
        .peer_address = json_text_or(line, "peer", ""),
        .http_address = json_text_or(line, "http", ""),
        .incarnation = (uint64_t)json_integer_or(line, "incarnation", 0),
        .controls = r->controls,
        .control_count = MIN(i, kMaxControls),
        .operator_token = json_text_or(line, "operator_token", NULL),
        .platform_key = json_text_or(line, "platform_key", NULL),
        .wall_offset_us = json_integer_or(line, "wall_offset", 0),
        .read_replicas = TRUE,
    };
    if (strcmp(json_text_or(line, "e", ""), "start") != 0 ||
        sodium_hex2bin(config.secret, sizeof(config.secret), secret,
                       strlen(secret), NULL, &secret_bytes, NULL) != 0 ||
        secret_bytes != sizeof(config.secret)) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            "the first line is not a valid start event");
        return FALSE;
    }
    r->core = entry_core_new(&config, &port,
                             (uint64_t)json_integer_or(line, "t", 0));
    return TRUE;
}

/* Feeds a caller's request to the core. */
static void
apply_request(Replay *r, uint64_t now_us, const json_t *line)
{
    gsize body_bytes;
    gsize path_bytes;
    guchar *body =
        g_base64_decode(json_text_or(line, "body64", ""), &body_bytes);
    guchar *raw =
        g_base64_decode(json_text_or(line, "path64", ""), &path_bytes);
    char *path = g_strndup((const char *)raw, path_bytes);
    CallerRequest request = {
        .id = (uint64_t)json_integer_or(line, "id", 0),
        .method = json_text_or(line, "method", ""),
        .path = path,
        .body = (const char *)body,
        .body_bytes = body_bytes,
        .authorization = json_text_or(line, "authorization", NULL),
        .session_token = json_text_or(line, "session_token", NULL),
        .idempotency_key = json_text_or(line, "idempotency_key", NULL),
        .max_staleness_ms = json_text_or(line, "max_staleness_ms", NULL),
        .request_timeout_ms = json_text_or(line, "request_timeout_ms", NULL),
        .operation_id = json_text_or(line, "operation_id", NULL),
    };
    entry_core_request(r->core, now_us, &request);
    g_free(path);
    g_free(raw);
    g_free(body);
}

/* Feeds a frame from a peer to the core; a frame that cannot be unpacked is
 * skipped. */
static void
apply_frame(Replay *r, uint64_t now_us, const json_t *line)
{
    gsize size;
    guchar *packed = g_base64_decode(json_text_or(line, "data", ""), &size);
    Sw__Frame *frame = sw__frame__unpack(NULL, size, packed);
    if (frame != NULL) {
        entry_core_frame(r->core, now_us, json_text_or(line, "from", ""),
                         frame);
        sw__frame__free_unpacked(frame, NULL);
    }
    g_free(packed);
}

/* Feeds the result of a backend query to the core. */
static void
apply_result(Replay *r, uint64_t now_us, const json_t *line)
{
    json_t *rows = json_object_get(line, "rows");
    BackendResult result = {
        .status = (BackendStatus)json_integer_or(line, "status", 0),
        .rows = rows == NULL ? json_array() : json_incref(rows),
        .affected = (uint64_t)json_integer_or(line, "affected", 0),
        .sqlstate = json_text_or(line, "sqlstate", NULL),
        .message = json_text_or(line, "message", NULL),
    };
    entry_core_backend_result(
        r->core, now_us, (uint64_t)json_integer_or(line, "c", 0), &result);
    json_decref(result.rows);
}

/* Feeds one event to the core; an unknown event is counted and otherwise
 * ignored. */
static void
apply_event(Replay *r, const json_t *line)
{
    const char *name = json_text_or(line, "e", "");
    uint64_t now_us = (uint64_t)json_integer_or(line, "t", 0);

    r->result->events++;
    if (strcmp(name, "tick") == 0) {
        entry_core_tick(r->core, now_us);
    }
    else if (strcmp(name, "request") == 0) {
        apply_request(r, now_us, line);
    }
    else if (strcmp(name, "frame") == 0) {
        apply_frame(r, now_us, line);
    }
    else if (strcmp(name, "result") == 0) {
        apply_result(r, now_us, line);
    }
    else if (strcmp(name, "connected") == 0) {
        entry_core_backend_connected(r->core, now_us,
                                     (uint64_t)json_integer_or(line, "c", 0),
                                     json_flag(line, "ok"));
    }
    else if (strcmp(name, "down") == 0) {
        entry_core_peer_down(r->core, now_us, json_text_or(line, "peer", ""));
    }
    else if (strcmp(name, "abandon") == 0) {
        entry_core_abandon(r->core, now_us,
                           (uint64_t)json_integer_or(line, "id", 0));
    }
    else if (strcmp(name, "leave") == 0) {
        entry_core_leave(r->core, now_us);
    }
    else if (strcmp(name, "drain") == 0) {
        entry_core_drain(r->core, now_us);
    }
}

/* Replays the trace up to its end or the first difference.  A recorded action
 * in the place of an event is one that the core did not take. */
static void
replay_events(Replay *r)
{
    json_t *line;
    while ((line = next_line(r)) != NULL && r->result->differences == 0) {
        if (json_object_get(line, "e") == NULL) {
            record_difference(r, "recorded \"%s\" did not happen",
                              json_text_or(line, "a", "?"));
        }
        else {
            apply_event(r, line);
        }
        json_decref(line);
    }
    json_decref(line);
}

/* Replays a trace up to its end or the first difference.  Returns FALSE when
 * the file cannot be read or does not begin with a valid start event.  The
 * caller must call replay_result_clear. */
gboolean
replay_file(const char *path, ReplayResult *out, GError **error)
{
    Replay r = {.result = out};

    *out = (ReplayResult){0};
    r.file = fopen(path, "r");
    if (r.file == NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo, "cannot read %s", path);
        return FALSE;
    }
    gboolean ok = start_core(&r, next_line(&r), error);
    if (ok) {
        replay_events(&r);
        entry_core_free(r.core);
    }
    json_decref(r.start);
    fclose(r.file);
    return ok;
}

/* Frees everything that the result owns, but not the result itself. */
void
replay_result_clear(ReplayResult *r)
{
    g_free(r->first_difference);
}
