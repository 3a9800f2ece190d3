#include <event2/event.h>
#include <signal.h>
#include <string.h>

#include "adapter/backend.h"
#include "adapter/clock.h"
#include "adapter/http.h"
#include "adapter/peer.h"
#include "adapter/program.h"
#include "adapter/settings.h"
#include "adapter/trace.h"
#include "core/entry_core.h"

/* sapphireweir-entry: connects the entry core to the HTTP server, the peer
 * links, the backend servers and the clock. */

enum {
    kTickMs = 10,
    /* Time for load balancers to see /healthz fail before the port closes. */
    kDrainNoticeUs = 1000000,
    kDrainIdleUs = 300000,  /* idle time before leaving the membership */
    kMaxDrainUs = 40000000, /* limit for the whole planned stop */
};

/* Content type of the metrics, as the core sets it. */
static const char kMetricsType[] = "text/plain; version=0.0.4";

/* The state of the process. */
typedef struct {
    Settings settings;
    struct event_base *base;
    struct event *tick;
    struct event *signals[3]; /* SIGTERM, SIGINT, SIGHUP */
    Peer *peer;
    Http *http;
    Backend *backend;
    EntryCore *core;
    EntryControl *controls;
    Trace *trace;              /* NULL: no trace is recorded */
    const char *trace_path;    /* NULL: no trace is requested */
    uint64_t drain_started_us; /* zero: not draining */
    uint64_t last_busy_us;     /* last time that the core was not idle */
} Entry;

/* ---- time and signals ---- */

/* Continues a planned stop: closes the HTTP port after kDrainNoticeUs, leaves
 * the membership after kDrainIdleUs of idle time, and leaves the event loop
 * once the instance is no longer a member or after kMaxDrainUs. */
static void
drain_step(Entry *e, uint64_t now_us)
{
    if (now_us - e->drain_started_us < kDrainNoticeUs) {
        e->last_busy_us = now_us;
        return;
    }
    http_stop_listening(e->http);
    if (!entry_core_status(e->core, now_us).idle) {
        e->last_busy_us = now_us;
    }
    if (now_us - e->last_busy_us > kDrainIdleUs) {
        trace_leave(e->trace, now_us);
        entry_core_leave(e->core, now_us);
    }
    if (entry_core_has_left(e->core) ||
        now_us - e->drain_started_us > kMaxDrainUs) {
        event_base_loopbreak(e->base);
    }
}

/* Timer callback: runs the periodic work of the core and continues a planned
 * stop. */
static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    (void)fd;
    (void)events;
    Sw__ClientPressure clients;
    http_client_pressure(e->http, &clients);
    entry_core_set_clients(e->core, &clients);
    trace_tick(e->trace, now_us);
    entry_core_tick(e->core, now_us);
    if (e->drain_started_us != 0) {
        drain_step(e, now_us);
    }
}

/* Signal callback (SIGTERM, SIGINT): starts a planned stop.  A second signal
 * is ignored. */
static void
on_stop_signal(evutil_socket_t fd, short events, void *ctx)
{
    Entry *e = ctx;
    (void)fd;
    (void)events;
    if (e->drain_started_us == 0) {
        g_message("draining; requests in progress will finish");
        e->drain_started_us = clock_now_us();
        trace_drain(e->trace, e->drain_started_us);
        entry_core_drain(e->core, e->drain_started_us);
    }
}

/* Signal callback (SIGHUP): reloads the TLS certificate and key. */
static void
on_reload_signal(evutil_socket_t fd, short events, void *ctx)
{
    Entry *e = ctx;
    GError *error = NULL;
    (void)fd;
    (void)events;
    if (http_reload_tls(e->http, &error)) {
        g_message("reloaded TLS certificate and key");
        return;
    }
    g_warning("%s; keeping old certificate", error->message);
    g_error_free(error);
}

/* ---- callbacks of the core ---- */

/* Responds with the core's metrics and those of the HTTP server. */
static void
respond_metrics(Entry *e, uint64_t request_id, const CallerResponse *response)
{
    GString *text =
        g_string_new_len(response->body, (gssize)response->body_bytes);
    CallerResponse whole = *response;

    http_write_metrics(e->http, text);
    peer_limits_write(e->peer, text);
    peer_traffic_write(e->peer, text);
    whole.body = text->str;
    whole.body_bytes = text->len;
    http_respond(e->http, request_id, &whole);
    g_string_free(text, TRUE);
}

static void
port_respond(void *ctx, uint64_t request_id, const CallerResponse *response)
{
    Entry *e = ctx;
    if (strcmp(response->content_type, kMetricsType) == 0) {
        respond_metrics(e, request_id, response);
        return;
    }
    http_respond(e->http, request_id, response);
}

static void
port_caller_team(void *ctx, uint64_t request_id, const char *team)
{
    Entry *e = ctx;
    http_set_team(e->http, request_id, team);
}

static gboolean
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Entry *e = ctx;
    return peer_send(e->peer, to, frame);
}

static void
port_peer_address(void *ctx, const char *id, const char *address)
{
    Entry *e = ctx;
    peer_set_address(e->peer, id, address);
}

static void
port_backend_connect(void *ctx, uint64_t connection, const char *address,
                     const char *database)
{
    Entry *e = ctx;
    backend_connect(e->backend, connection, address, database);
}

static void
port_backend_query(void *ctx, uint64_t connection, const char *sql,
                   size_t count, const char *const *parameters)
{
    Entry *e = ctx;
    backend_query(e->backend, connection, sql, count, parameters);
}

static void
port_backend_cancel(void *ctx, uint64_t connection)
{
    Entry *e = ctx;
    backend_cancel(e->backend, connection);
}

static void
port_backend_close(void *ctx, uint64_t connection)
{
    Entry *e = ctx;
    backend_close(e->backend, connection);
}

/* ---- events ---- */

static void
on_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_frame(e->trace, now_us, from, frame);
    entry_core_frame(e->core, now_us, from, frame);
}

static void
on_peer_down(void *ctx, const char *peer)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_peer_down(e->trace, now_us, peer);
    entry_core_peer_down(e->core, now_us, peer);
}

static void
on_link_rejected(void *ctx)
{
    Entry *e = ctx;
    entry_core_metrics(e->core)->counters[kMetricPeerGarbage]++;
}

static void
on_connected(void *ctx, uint64_t connection, gboolean ok)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_connected(e->trace, now_us, connection, ok);
    entry_core_backend_connected(e->core, now_us, connection, ok);
}

static void
on_result(void *ctx, uint64_t connection, const BackendResult *result)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_result(e->trace, now_us, connection, result);
    entry_core_backend_result(e->core, now_us, connection, result);
}

static void
on_request(void *ctx, const CallerRequest *request)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_request(e->trace, now_us, request);
    entry_core_request(e->core, now_us, request);
}

static void
on_abandoned(void *ctx, uint64_t request_id)
{
    Entry *e = ctx;
    uint64_t now_us = clock_now_us();
    trace_abandon(e->trace, now_us, request_id);
    entry_core_abandon(e->core, now_us, request_id);
}

/* ---- startup and shutdown ---- */

/* Creates the entry core, with a trace if one is requested.  Fails with
 * kCoreErrorIo if the trace cannot be written. */
static gboolean
create_core(Entry *e, uint64_t incarnation, GError **error)
{
    const Settings *s = &e->settings;
    EntryPort port = {
        .ctx = e,
        .respond = port_respond,
        .send = port_send,
        .peer_address = port_peer_address,
        .backend_connect = port_backend_connect,
        .backend_query = port_backend_query,
        .backend_cancel = port_backend_cancel,
        .backend_close = port_backend_close,
        .random = program_random,
        .caller_team = port_caller_team,
    };
    EntryConfig config = {
        .id = s->id,
        .failure_domain = s->failure_domain,
        .peer_address = s->advertise_peer,
        .http_address = s->advertise_http,
        .incarnation = incarnation,
        .control_count = s->controls->len,
        .operator_token = s->operator_token,
        .platform_key = s->platform_key,
        .wall_offset_us = clock_wall_offset_us(),
        .read_replicas = s->read_replicas,
        .cross_domain_us_per_kb = s->cross_domain_us_per_kb,
        .per_instance_pools = !s->pool_owners,
        .per_instance_rates = !s->shared_rates,
    };

    e->controls = g_new0(EntryControl, s->controls->len);
    for (guint i = 0; i < s->controls->len; i++) {
        SettingsControlInstance *c =
            &g_array_index(s->controls, SettingsControlInstance, i);
        e->controls[i] = (EntryControl){c->id, c->failure_domain};
        peer_set_address(e->peer, c->id, c->address);
    }
    config.controls = e->controls;
    memcpy(config.secret, s->secret, sizeof(config.secret));
    uint64_t now_us = clock_now_us();
    if (e->trace_path != NULL) {
        e->trace = trace_open(e->trace_path, &config, now_us, error);
        if (e->trace == NULL) {
            return FALSE;
        }
        port = trace_port(e->trace, &port);
    }
    e->core = entry_core_new(&config, &port, now_us);
    return TRUE;
}

/* Creates the adapters and the core.  After a failure stop frees what was
 * created. */
static gboolean
start(Entry *e, GError **error)
{
    /* The incarnation is the upper half of a 64-bit frame id, and is written
     * as a signed JSON integer. */
    enum { kIncarnationBits = 31 };
    const Settings *s = &e->settings;
    PeerEvents peer_events = {e, on_frame, NULL, on_peer_down,
                              on_link_rejected};
    HttpEvents http_events = {e, on_request, on_abandoned};
    BackendEvents backend_events = {e, on_connected, on_result};
    HttpSettings http = {
        .address = s->http_address,
        .tls_certificate = s->tls_certificate,
        .tls_key = s->tls_key,
        .max_body_bytes = s->max_body_bytes,
        .max_header_bytes = s->max_header_bytes,
        .max_requests = s->max_requests,
        .memory_bytes = s->client_memory_bytes,
        .max_connections = s->max_connections,
        .max_source_connections = s->max_source_connections,
        .message_timeout_us = s->message_timeout_us,
        .send_timeout_us = s->send_timeout_us,
        .min_bytes_per_s = s->min_bytes_per_s,
    };
    uint64_t incarnation = program_random(NULL) >> (64 - kIncarnationBits);
    char *application = g_strdup_printf("sapphireweir/%s", s->id);

    e->base = event_base_new();
    e->peer = peer_new(e->base, s->id, incarnation, s->secret, s->peer_address,
                       &peer_events, error);
    e->backend = backend_new(e->base, application, s->backend_user,
                             s->backend_password, &backend_events);
    g_free(application);
    if (e->peer == NULL) {
        return FALSE;
    }
    peer_set_limits(e->peer, s->peer_memory_bytes, s->max_peer_handshakes);
    peer_set_failure_domain(e->peer, s->failure_domain);
    if (!create_core(e, incarnation, error)) {
        return FALSE;
    }
    e->http = http_new(e->base, &http, &http_events, error);
    return e->http != NULL;
}

/* Sets the callback of a signal; slot is an index into e->signals. */
static void
add_signal(Entry *e, size_t slot, int number, event_callback_fn callback)
{
    e->signals[slot] = evsignal_new(e->base, number, callback, e);
    event_add(e->signals[slot], NULL);
}

/* Runs the event loop until a signal stops the instance. */
static void
run(Entry *e)
{
    struct timeval interval = {0, kTickMs * 1000};

    signal(SIGPIPE, SIG_IGN);
    add_signal(e, 0, SIGTERM, on_stop_signal);
    add_signal(e, 1, SIGINT, on_stop_signal);
    add_signal(e, 2, SIGHUP, on_reload_signal);
    e->tick = event_new(e->base, -1, EV_PERSIST, on_tick, e);
    event_add(e->tick, &interval);
    g_message("serving; callers at %s, peers at %s", e->settings.http_address,
              e->settings.peer_address);
    event_base_dispatch(e->base);
    g_message("exiting");
}

/* Frees everything that start and run created, and the settings. */
static void
stop(Entry *e)
{
    if (e->http != NULL) {
        http_free(e->http);
    }
    if (e->core != NULL) {
        entry_core_free(e->core);
    }
    if (e->trace != NULL) {
        trace_close(e->trace);
    }
    if (e->backend != NULL) {
        backend_free(e->backend);
    }
    if (e->peer != NULL) {
        peer_free(e->peer);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(e->signals); i++) {
        if (e->signals[i] != NULL) {
            event_free(e->signals[i]);
        }
    }
    if (e->tick != NULL) {
        event_free(e->tick);
    }
    if (e->base != NULL) {
        event_base_free(e->base);
    }
    g_free(e->controls);
    settings_clear(&e->settings);
}

int
main(int argc, char **argv)
{
    ProgramOptions options = {0};
    Entry e = {0};
    GError *error = NULL;
    ExitCode code;

    if (!program_begin(&argc, &argv, "sapphireweir-entry",
                       "An entry instance of sapphireweir: serves callers.",
                       kSettingsEntry, &options, &e.settings, &code)) {
        return (int)code;
    }
    e.trace_path = options.trace_path;
    if (start(&e, &error)) {
        run(&e);
    }
    else {
        g_critical("%s", error->message);
        g_error_free(error);
        code = kExitFailure;
    }
    stop(&e);
    g_free(options.settings_path);
    g_free(options.trace_path);
    return (int)code;
}
