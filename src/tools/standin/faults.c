#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "member.h"

/* The command port of a stand-in: POST with a JSON object sets faults, GET
 * returns the member's state; both reply with the state as JSON. */

/* Sends a JSON reply.  Takes ownership of the body. */
static void
reply_json(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    evhttp_send_reply(request, status, status == 200 ? "OK" : "Bad Request",
                      NULL);
    free(text);
    json_decref(body);
}

/* Returns the member's state; the caller owns it. */
static json_t *
state_json(Member *m)
{
    return json_pack(
        "{s:s, s:b, s:I, s:I, s:I, s:b, s:s, s:i, s:I}", "name",
        m->settings.name, "in_recovery", store_in_recovery(m->store),
        "timeline", (json_int_t)store_timeline(m->store), "received",
        (json_int_t)store_received(m->store), "replayed",
        (json_int_t)store_replayed(m->store), "receiving",
        follower_receiving(m), "conninfo", store_conninfo(m->store),
        "sessions", (int)m->sessions->len, "statements",
        (json_int_t)m->statements);
}

/* Starts or ends a simulated network partition.  Open sessions stop responding
 * at its start and are closed at its end; a replica then connects again. */
static void
set_partitioned(Member *m, gboolean partitioned)
{
    if (partitioned == m->faults.partitioned) {
        return;
    }
    m->faults.partitioned = partitioned;
    if (partitioned) {
        sessions_stop_responding(m);
        return;
    }
    sessions_close_all(m);
    follower_start(m);
}

/* Sets one fault or the simulated duration of a statement.  Returns FALSE for
 * an unknown name or a duration that is no integer. */
static gboolean
apply_fault(Member *m, const char *name, const json_t *value)
{
    gboolean on = json_is_true(value);
    if (strcmp(name, "cut") == 0) {
        set_partitioned(m, on);
    }
    else if (strcmp(name, "freeze") == 0) {
        m->faults.frozen = on;
        if (!on) {
            sessions_resume(m);
        }
    }
    else if (strcmp(name, "silence") == 0) {
        sessions_stop_responding(m);
    }
    else if (strcmp(name, "leaving") == 0) {
        m->faults.leaving = on;
    }
    else if (strcmp(name, "mute") == 0) {
        m->faults.no_announcements = on;
    }
    else if (strcmp(name, "lag_ms") == 0 && json_is_integer(value)) {
        m->faults.lag_us = (uint64_t)json_integer_value(value) * 1000;
    }
    else if (strcmp(name, "service_us") == 0 && json_is_integer(value)) {
        m->settings.service_us = (uint64_t)json_integer_value(value);
    }
    else if (strcmp(name, "crash_before_commit") == 0) {
        m->faults.crash_before_commit = on;
    }
    else if (strcmp(name, "crash_after_commit") == 0) {
        m->faults.crash_after_commit = on;
    }
    else {
        return FALSE;
    }
    return TRUE;
}

/* Sets the faults of a POST in order, up to the first unknown one, which is
 * reported with status 400. */
static void
on_request(struct evhttp_request *request, void *ctx)
{
    Member *m = ctx;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    const char *name;
    json_t *value;

    if (evhttp_request_get_command(request) == EVHTTP_REQ_GET) {
        reply_json(request, 200, state_json(m));
        return;
    }
    json_t *body =
        json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);
    json_object_foreach(body, name, value)
    {
        if (!apply_fault(m, name, value)) {
            reply_json(request, 400, json_pack("{s:s}", "unknown", name));
            json_decref(body);
            return;
        }
    }
    json_decref(body);
    reply_json(request, 200, state_json(m));
}

/* Opens the command port at IP:PORT.  Returns FALSE and sets error when the
 * address cannot be bound. */
gboolean
faults_listen(Member *m, const char *address, GError **error)
{
    char **parts = g_strsplit(address, ":", 2);
    struct evhttp *server = evhttp_new(m->base);
    guint64 port = parts[1] == NULL ? 0 : g_ascii_strtoull(parts[1], NULL, 10);
    gboolean ok = evhttp_bind_socket(server, parts[0], (uint16_t)port) == 0;

    g_strfreev(parts);
    evhttp_set_gencb(server, on_request, m);
    if (!ok) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "cannot listen at %s", address);
    }
    return ok;
}
