#include <event2/event.h>
#include <signal.h>
#include <string.h>

#include "adapter/clock.h"
#include "adapter/disk.h"
#include "adapter/http.h"
#include "adapter/peer.h"
#include "adapter/program.h"
#include "adapter/settings.h"
#include "core/consensus.h"
#include "core/control_core.h"

/* sapphireweir-control: connects the control core to the data folder, the peer
 * links, the HTTP server and the clock. */

enum {
    kTickMs = 10,
    kHandoverWaitUs = 2000000, /* limit for handing over the leadership */
};

/* The state of the process. */
typedef struct {
    Settings settings;
    struct event_base *base;
    struct event *tick;
    struct event *flush;      /* timer that runs control_core_flush */
    struct event *signals[2]; /* SIGTERM, SIGINT */
    Disk *disk;
    Peer *peer;
    Http *http;
    ControlCore *core;
    uint64_t stop_deadline_us; /* zero: not stopping */
    int exit_code;
} Control;

/* Schedules a control_core_flush for the next iteration of the event loop, so
 * that events handled in this one share a sync. */
static void
schedule_flush(Control *c)
{
    struct timeval now = {0, 0};
    if (!event_pending(c->flush, EV_TIMEOUT, NULL)) {
        event_add(c->flush, &now);
    }
}

/* Timer callback: lets the core sync its log; leaves the event loop when the
 * storage has failed. */
static void
on_flush(evutil_socket_t fd, short events, void *ctx)
{
    Control *c = ctx;
    (void)fd;
    (void)events;
    control_core_flush(c->core, clock_now_us());
    control_core_metrics(c->core)->counters[kMetricSyncs] =
        disk_syncs(c->disk);
    if (control_core_failed(c->core)) {
        g_critical("storage failed; stopping this instance");
        c->exit_code = kExitStorage;
        event_base_loopbreak(c->base);
    }
}

/* Timer callback: runs the periodic work of the core; when stopping, leaves
 * the event loop once this instance no longer leads or the deadline has
 * passed. */
static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    Control *c = ctx;
    uint64_t now_us = clock_now_us();
    (void)fd;
    (void)events;
    Sw__ClientPressure clients;
    http_client_pressure(c->http, &clients);
    control_core_set_clients(c->core, &clients);
    control_core_tick(c->core, now_us);
    schedule_flush(c);
    if (c->stop_deadline_us != 0 &&
        (!control_core_leads(c->core) || now_us >= c->stop_deadline_us)) {
        event_base_loopbreak(c->base);
    }
}

/* Signal callback (SIGTERM, SIGINT): starts to hand over the leadership before
 * the process stops.  A second signal is ignored. */
static void
on_stop_signal(evutil_socket_t fd, short events, void *ctx)
{
    Control *c = ctx;
    uint64_t now_us = clock_now_us();
    (void)fd;
    (void)events;
    if (c->stop_deadline_us == 0) {
        g_message("stopping; handing over leadership");
        c->stop_deadline_us = now_us + kHandoverWaitUs;
        control_core_stop(c->core, now_us);
        schedule_flush(c);
    }
}

/* ---- callbacks of the core ---- */

static void
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Control *c = ctx;
    peer_send(c->peer, to, frame);
}

static void
port_peer_address(void *ctx, const char *id, const char *address)
{
    Control *c = ctx;
    peer_set_address(c->peer, id, address);
}

/* ---- events ---- */

static void
on_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    Control *c = ctx;
    control_core_frame(c->core, clock_now_us(), from, frame);
    schedule_flush(c);
}

static void
on_peer_down(void *ctx, const char *peer)
{
    (void)ctx;
    g_debug("link to %s is down", peer);
}

static void
on_link_rejected(void *ctx)
{
    Control *c = ctx;
    control_core_metrics(c->core)->counters[kMetricPeerGarbage]++;
}

/* Responds with plain text, in the content type of the metrics format. */
static void
respond_text(Control *c, uint64_t id, uint32_t status, const char *text)
{
    CallerResponse r = {.status = status,
                        .content_type = "text/plain; version=0.0.4",
                        .body = text,
                        .body_bytes = strlen(text)};
    http_respond(c->http, id, &r);
}

/* Serves /healthz and /metrics. */
static void
on_request(void *ctx, const CallerRequest *r)
{
    Control *c = ctx;
    if (strcmp(r->path, "/healthz") == 0) {
        gboolean has_leader = control_core_leader(c->core) != NULL;
        respond_text(c, r->id, has_leader ? 200 : 503,
                     has_leader ? "follows a leader\n" : "no leader\n");
        return;
    }
    if (strcmp(r->path, "/metrics") == 0) {
        GString *text = g_string_new(NULL);
        metrics_write_text(control_core_metrics(c->core), text);
        g_string_append_printf(
            text,
            "# TYPE sapphireweir_leads gauge\nsapphireweir_leads %d\n"
            "# TYPE sapphireweir_disk_full gauge\nsapphireweir_disk_full %d\n"
            "# TYPE sapphireweir_commit_index gauge\n"
            "sapphireweir_commit_index %" G_GUINT64_FORMAT "\n",
            control_core_leads(c->core), control_core_no_room(c->core),
            control_core_commit_index(c->core));
        http_write_metrics(c->http, text);
        peer_limits_write(c->peer, text);
        peer_traffic_write(c->peer, text);
        respond_text(c, r->id, 200, text->str);
        g_string_free(text, TRUE);
        return;
    }
    respond_text(c, r->id, 404, "there is nothing at this path\n");
}

/* Does nothing: on_request responds at once and leaves no open requests. */
static void
on_abandoned(void *ctx, uint64_t id)
{
    (void)ctx;
    (void)id;
}

/* ---- startup and shutdown ---- */

/* Returns the initial voters: the control instances listed in the settings.
 * The caller frees the array. */
static GPtrArray *
bootstrap_members(const Settings *s)
{
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    char disk[256];

    for (guint i = 0; i < s->controls->len; i++) {
        SettingsControlInstance *control =
            &g_array_index(s->controls, SettingsControlInstance, i);
        disk_bootstrap_identity(s->cluster, control->id, disk, sizeof(disk));
        g_ptr_array_add(
            members, consensus_member_new(control->id, disk, control->address,
                                          control->failure_domain, TRUE));
    }
    return members;
}

/* Creates the control core and starts it from the data folder, or with the
 * initial voters. */
static gboolean
start_core(Control *c, gboolean bootstrap, GError **error)
{
    const Settings *s = &c->settings;
    ControlConfig config = {
        .id = s->id,
        .disk = disk_identity(c->disk),
        .cluster = s->cluster,
        .failure_domain = s->failure_domain,
        .timing = {s->heartbeat_us, s->election_min_us, s->election_max_us,
                   s->snapshot_interval_entries},
        .lease_us = s->lease_us,
        .announcement_timeout_us = s->announcement_timeout_us,
        .suspect_after_us = s->suspect_after_us,
        .wall_offset_us = clock_wall_offset_us(),
    };
    ControlPort port = {
        .ctx = c,
        .send = port_send,
        .peer_address = port_peer_address,
        .random = program_random,
        .storage = disk_port(c->disk),
    };
    c->core = control_core_new(&config, &port);
    GPtrArray *members = bootstrap ? bootstrap_members(s) : NULL;
    gboolean ok = control_core_start(c->core, clock_now_us(),
                                     disk_saved(c->disk), members, error);
    if (members != NULL) {
        g_ptr_array_unref(members);
    }
    return ok;
}

/* Opens the data folder and creates the adapters and the core.  After a
 * failure stop frees what was created. */
static gboolean
start(Control *c, gboolean bootstrap, GError **error)
{
    const Settings *s = &c->settings;
    DiskSettings disk = {.folder = s->data_folder,
                         .instance_id = s->id,
                         .cluster = s->cluster,
                         .bootstrap = bootstrap};
    PeerEvents peer_events = {c, on_frame, NULL, on_peer_down,
                              on_link_rejected};
    HttpEvents http_events = {c, on_request, on_abandoned};
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

    c->disk = disk_open(&disk, error);
    if (c->disk == NULL) {
        c->exit_code = kExitStorage;
        return FALSE;
    }
    if (disk_is_new(c->disk) && !bootstrap) {
        g_message("new data folder with identity %s: waiting to be added to "
                  "the cluster",
                  disk_identity(c->disk));
    }
    c->base = event_base_new();
    c->flush = evtimer_new(c->base, on_flush, c);
    c->peer = peer_new(c->base, s->id, program_random(NULL), s->secret,
                       s->peer_address, &peer_events, error);
    if (c->peer == NULL) {
        return FALSE;
    }
    peer_set_limits(c->peer, s->peer_memory_bytes, s->max_peer_handshakes);
    peer_set_failure_domain(c->peer, s->failure_domain);
    if (!start_core(c, bootstrap, error)) {
        return FALSE;
    }
    c->http = http_new(c->base, &http, &http_events, error);
    return c->http != NULL;
}

/* Runs the event loop until a signal stops the instance or its storage
 * fails. */
static void
run(Control *c)
{
    struct timeval interval = {0, kTickMs * 1000};
    const int signal_numbers[] = {SIGTERM, SIGINT};

    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < G_N_ELEMENTS(signal_numbers); i++) {
        c->signals[i] =
            evsignal_new(c->base, signal_numbers[i], on_stop_signal, c);
        event_add(c->signals[i], NULL);
    }
    c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
    event_add(c->tick, &interval);
    g_message("serving; peers at %s, HTTP at %s", c->settings.peer_address,
              c->settings.http_address);
    event_base_dispatch(c->base);
    g_message("exiting");
}

/* Frees everything that start and run created, and the settings. */
static void
stop(Control *c)
{
    if (c->core != NULL) {
        control_core_free(c->core);
    }
    if (c->http != NULL) {
        http_free(c->http);
    }
    if (c->peer != NULL) {
        peer_free(c->peer);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(c->signals); i++) {
        if (c->signals[i] != NULL) {
            event_free(c->signals[i]);
        }
    }
    if (c->tick != NULL) {
        event_free(c->tick);
    }
    if (c->flush != NULL) {
        event_free(c->flush);
    }
    if (c->base != NULL) {
        event_base_free(c->base);
    }
    if (c->disk != NULL) {
        disk_close(c->disk);
    }
    settings_clear(&c->settings);
}

int
main(int argc, char **argv)
{
    ProgramOptions options = {0};
    Control c = {0};
    GError *error = NULL;
    ExitCode code;

    if (!program_begin(
            &argc, &argv, "sapphireweir-control",
            "A control instance of sapphireweir: keeps the replicated log.",
            kSettingsControl, &options, &c.settings, &code)) {
        return (int)code;
    }
    c.exit_code = kExitOk;
    if (start(&c, options.bootstrap, &error)) {
        run(&c);
    }
    else {
        g_critical("%s", error->message);
        g_error_free(error);
        if (c.exit_code == kExitOk) {
            c.exit_code = kExitFailure;
        }
    }
    stop(&c);
    g_free(options.settings_path);
    return c.exit_code;
}
