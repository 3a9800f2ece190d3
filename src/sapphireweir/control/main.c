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

/* sapphireweir-control: wires the control core to disk, peers and time. */

enum {
    kTickMs = 10,
    kStopPatienceUs = 2000000,
};

typedef struct {
    Settings settings;
    struct event_base *base;
    struct event *tick;
    struct event *flush;
    struct event *signals[2];
    Disk *disk;
    Peer *peer;
    Http *http;
    ControlCore *core;
    uint64_t stop_due_us; /* zero: not stopping */
    int exit_code;
} Control;

static void
flush_soon(Control *c)
{
    struct timeval now = {0, 0};
    if (!event_pending(c->flush, EV_TIMEOUT, NULL)) {
        event_add(c->flush, &now);
    }
}

static void
on_flush(evutil_socket_t fd, short what, void *ctx)
{
    Control *c = ctx;
    (void)fd;
    (void)what;
    control_core_flush(c->core, clock_now_us());
    control_core_metrics(c->core)->counters[kMetricSyncs] =
        disk_syncs(c->disk);
    if (control_core_failed(c->core)) {
        g_critical("storage failed, this instance ends");
        c->exit_code = kExitStorage;
        event_base_loopbreak(c->base);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    Control *c = ctx;
    uint64_t now_us = clock_now_us();
    (void)fd;
    (void)what;
    control_core_tick(c->core, now_us);
    flush_soon(c);
    if (c->stop_due_us != 0 &&
        (!control_core_leads(c->core) || now_us >= c->stop_due_us)) {
        event_base_loopbreak(c->base);
    }
}

static void
on_stop_signal(evutil_socket_t fd, short what, void *ctx)
{
    Control *c = ctx;
    uint64_t now_us = clock_now_us();
    (void)fd;
    (void)what;
    if (c->stop_due_us == 0) {
        g_message("stops; leadership is handed over");
        c->stop_due_us = now_us + kStopPatienceUs;
        control_core_stop(c->core, now_us);
        flush_soon(c);
    }
}

/* ---- ports ---- */

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

static void
on_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    Control *c = ctx;
    control_core_frame(c->core, clock_now_us(), from, frame);
    flush_soon(c);
}

static void
on_peer_down(void *ctx, const char *peer)
{
    (void)ctx;
    g_debug("link to %s is down", peer);
}

static void
on_garbage(void *ctx)
{
    Control *c = ctx;
    control_core_metrics(c->core)->counters[kMetricPeerGarbage]++;
}

static void
respond_text(Control *c, uint64_t id, uint32_t status, const char *text)
{
    CallerResponse r = {.status = status,
                        .content_type = "text/plain; version=0.0.4",
                        .body = text,
                        .body_bytes = strlen(text)};
    http_respond(c->http, id, &r);
}

static void
on_request(void *ctx, const CallerRequest *r)
{
    Control *c = ctx;
    if (strcmp(r->path, "/healthz") == 0) {
        gboolean led = control_core_leader(c->core) != NULL;
        respond_text(c, r->id, led ? 200 : 503,
                     led ? "follows a leader\n" : "no leader\n");
        return;
    }
    if (strcmp(r->path, "/metrics") == 0) {
        GString *text = g_string_new(NULL);
        metrics_write_text(control_core_metrics(c->core), text);
        g_string_append_printf(
            text,
            "# TYPE sapphireweir_leads gauge\nsapphireweir_leads %d\n"
            "# TYPE sapphireweir_commit_index gauge\n"
            "sapphireweir_commit_index %" G_GUINT64_FORMAT "\n",
            control_core_leads(c->core), control_core_commit_index(c->core));
        respond_text(c, r->id, 200, text->str);
        g_string_free(text, TRUE);
        return;
    }
    respond_text(c, r->id, 404, "there is nothing at this path\n");
}

static void
on_abandoned(void *ctx, uint64_t id)
{
    (void)ctx;
    (void)id;
}

/* ---- start ---- */

static GPtrArray *
bootstrap_members(const Settings *s)
{
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    char disk[256];

    for (guint i = 0; i < s->controls->len; i++) {
        SettingsControlInstance *each =
            &g_array_index(s->controls, SettingsControlInstance, i);
        disk_bootstrap_identity(s->cluster, each->id, disk, sizeof(disk));
        g_ptr_array_add(members,
                        consensus_member_new(each->id, disk, each->address,
                                             each->failure_domain, TRUE));
    }
    return members;
}

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

static gboolean
start(Control *c, gboolean bootstrap, GError **error)
{
    const Settings *s = &c->settings;
    DiskSettings disk = {.folder = s->data_folder,
                         .instance_id = s->id,
                         .cluster = s->cluster,
                         .bootstrap = bootstrap};
    PeerEvents peer_events = {c, on_frame, NULL, on_peer_down, on_garbage};
    HttpEvents http_events = {c, on_request, on_abandoned};
    HttpSettings http = {s->http_address,     s->tls_certificate,
                         s->tls_key,          s->max_body_bytes,
                         s->max_header_bytes, s->max_requests};

    c->disk = disk_open(&disk, error);
    if (c->disk == NULL) {
        c->exit_code = kExitStorage;
        return FALSE;
    }
    if (disk_is_new(c->disk) && !bootstrap) {
        g_message("new data folder with identity %s: waits to be added",
                  disk_identity(c->disk));
    }
    c->base = event_base_new();
    c->flush = evtimer_new(c->base, on_flush, c);
    c->peer = peer_new(c->base, s->id, program_random(NULL), s->secret,
                       s->peer_address, &peer_events, error);
    if (c->peer == NULL || !start_core(c, bootstrap, error)) {
        return FALSE;
    }
    c->http = http_new(c->base, &http, &http_events, error);
    return c->http != NULL;
}

static void
run(Control *c)
{
    struct timeval every = {0, kTickMs * 1000};
    const int numbers[] = {SIGTERM, SIGINT};

    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        c->signals[i] = evsignal_new(c->base, numbers[i], on_stop_signal, c);
        event_add(c->signals[i], NULL);
    }
    c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
    event_add(c->tick, &every);
    g_message("serves; peers at %s, http at %s", c->settings.peer_address,
              c->settings.http_address);
    event_base_dispatch(c->base);
    g_message("ended");
}

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
