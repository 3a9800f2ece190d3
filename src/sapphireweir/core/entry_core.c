#include "core/entry_core.h"

#include <sodium.h>
#include <string.h>

#include "core/entry_defs.h"

/* ---- creation ---- */

/* Derives the key for a purpose from the cluster secret.  secret and key
 * have kEntrySecretBytes. */
static void
derive_key(const uint8_t *secret, const char *purpose, uint8_t *key)
{
    crypto_generichash(key, kEntrySecretBytes, (const uint8_t *)purpose,
                       strlen(purpose), secret, kEntrySecretBytes);
}

/* Creates an entry core, which the caller frees with entry_core_free.  The
 * strings and controls of config must remain valid until then. */
EntryCore *
entry_core_new(const EntryConfig *config, const EntryPort *port,
               uint64_t now_us)
{
    EntryCore *e = g_new0(EntryCore, 1);

    (void)now_us;
    e->config = *config;
    e->port = *port;
    derive_key(config->secret, "sapphireweir session token", e->keys.token);
    e->catalog = catalog_new();
    e->lease = lease_client_new(e);
    sw__client_pressure__init(&e->clients);
    e->limiter = limiter_new(e, caller_admission_result, e);
    e->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
    e->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
    e->owners = router_cache_new();
    e->avoided = router_cache_new();
    e->service_bytes = router_cache_new();
    e->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
    e->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
    e->admin_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           admin_call_free);
    e->position_queries = position_queries_new();
    e->evacuated_transactions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    /* Frame ids must differ from those of earlier incarnations, so that late
     * replies to frames of an earlier process match no request. */
    e->last_frame_id = config->incarnation << 32;
    return e;
}

/* Frees the core; open requests get no response. */
void
entry_core_free(EntryCore *e)
{
    g_hash_table_destroy(e->admin_calls);
    g_hash_table_destroy(e->attempts);
    g_hash_table_destroy(e->calls);
    g_hash_table_destroy(e->position_queries);
    g_hash_table_destroy(e->evacuated_transactions);
    g_hash_table_destroy(e->owners);
    g_hash_table_destroy(e->avoided);
    g_hash_table_destroy(e->service_bytes);
    g_hash_table_destroy(e->pools);
    g_hash_table_destroy(e->connections);
    limiter_free(e->limiter);
    lease_client_free(e->lease);
    catalog_free(e->catalog);
    g_free(e);
}

/* ---- helpers of the modules ---- */

/* Returns a new frame id, which differs from those of earlier incarnations. */
uint64_t
entry_next_frame_id(EntryCore *e)
{
    return ++e->last_frame_id;
}

/* Returns the wall clock time in milliseconds since 1970. */
uint64_t
entry_wall_ms(const EntryCore *e, uint64_t now_us)
{
    return (uint64_t)((int64_t)now_us + e->config.wall_offset_us) /
           kMillisecondUs;
}

/* Sends one message to an instance.  body points to the message type that
 * body_case names; the caller keeps its ownership.  Returns FALSE if there is
 * no link to the instance, in which case the message was certainly not
 * sent. */
gboolean
entry_send(EntryCore *e, const char *to, uint64_t frame_id,
           Sw__Frame__BodyCase body_case, void *body)
{
    Sw__Frame frame = SW__FRAME__INIT;
    frame.request_id = frame_id;
    frame.body_case = body_case;
    /* All members of the union are pointers: this sets the one that body_case
     * selects. */
    frame.hello = body;
    return e->port.send(e->port.ctx, to, &frame);
}

/* Sends the reply to a work request to the instance it came from; an origin
 * of NULL is this instance. */
void
entry_work_reply(EntryCore *e, uint64_t now_us, const char *origin,
                 uint64_t frame_id, const Sw__WorkReply *r)
{
    if (origin == NULL) {
        caller_work_reply(e, now_us, frame_id, r);
        return;
    }
    entry_send(e, origin, frame_id, SW__FRAME__BODY_WORK_REPLY, (void *)r);
}

/* ---- requests ---- */

/* Responds with a text body of the given content type. */
static void
respond_text(EntryCore *e, uint64_t request_id, uint32_t status,
             const char *type, const char *text)
{
    CallerResponse response = {
        .status = status,
        .content_type = type,
        .body = text,
        .body_bytes = strlen(text),
    };
    e->port.respond(e->port.ctx, request_id, &response);
}

/* Responds to the load balancer's health check: 200 while the instance holds a
 * valid control lease and isn't draining, otherwise 503. */
static void
respond_health(EntryCore *e, uint64_t now_us, uint64_t request_id)
{
    gboolean ready = lease_valid(e, now_us);
    if (e->draining) {
        respond_text(e, request_id, 503, "text/plain", "draining\n");
        return;
    }
    respond_text(e, request_id, ready ? 200 : 503, "text/plain",
                 ready ? "ready\n" : "no control lease\n");
}

/* Responds with all metrics in the Prometheus text format. */
static void
respond_metrics(EntryCore *e, uint64_t now_us, uint64_t request_id)
{
    GString *text = g_string_new(NULL);
    metrics_write_text(&e->metrics, text);
    for (uint32_t i = kCrossingWait; i < kCrossingReasons; i++) {
        g_string_append_printf(
            text,
            "sapphireweir_crossed_total{reason=\"%s\"} %" G_GUINT64_FORMAT
            "\n",
            crossing_reason_name((CrossingReason)i), e->crossed[i]);
    }
    g_string_append_printf(text,
                           "# TYPE sapphireweir_lease_valid gauge\n"
                           "sapphireweir_lease_valid %d\n"
                           "# TYPE sapphireweir_applied_index gauge\n"
                           "sapphireweir_applied_index %" G_GUINT64_FORMAT "\n"
                           "# TYPE sapphireweir_requests_open gauge\n"
                           "sapphireweir_requests_open %u\n"
                           "# TYPE sapphireweir_evacuated_domains gauge\n"
                           "sapphireweir_evacuated_domains %u\n",
                           lease_valid(e, now_us), catalog_index(e->catalog),
                           g_hash_table_size(e->calls),
                           catalog_evacuation_count(e->catalog));
    respond_text(e, request_id, 200, "text/plain; version=0.0.4", text->str);
    g_string_free(text, TRUE);
}

/* Handles an HTTP request.  Exactly one response follows through the port's
 * respond, possibly within this call, unless entry_core_abandon is called
 * before. */
void
entry_core_request(EntryCore *e, uint64_t now_us, const CallerRequest *request)
{
    if (strcmp(request->path, "/healthz") == 0) {
        respond_health(e, now_us, request->id);
    }
    else if (strcmp(request->path, "/metrics") == 0) {
        respond_metrics(e, now_us, request->id);
    }
    else if (strcmp(request->path, "/v1/announcements") == 0) {
        admin_announcement(e, now_us, request);
    }
    else if (g_str_has_prefix(request->path, "/admin/v1/")) {
        admin_request(e, now_us, request);
    }
    else {
        caller_request(e, now_us, request);
    }
}

/* Drops a request whose caller closed the connection; it gets no
 * response. */
void
entry_core_abandon(EntryCore *e, uint64_t now_us, uint64_t request_id)
{
    caller_abandon(e, now_us, request_id);
    admin_abandon(e, request_id);
}

/* ---- frames ---- */

/* Applies an update of the replicated state; ignores one that does not advance
 * the state's index. */
static void
apply_state_update(EntryCore *e, uint64_t now_us, const Sw__StateUpdate *u)
{
    GError *error = NULL;
    uint64_t before = catalog_index(e->catalog);

    if (!catalog_update(e->catalog, now_us, u, &error)) {
        metrics_count(&e->metrics, kMetricPeerGarbage);
        g_debug("state update refused: %s", error->message);
        g_error_free(error);
        return;
    }
    if (catalog_index(e->catalog) == before) {
        return;
    }
    metrics_count(&e->metrics, kMetricStateUpdates);
    GHashTableIter it;
    void *value;
    g_hash_table_iter_init(&it, catalog_view(e->catalog)->instances);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const InstanceInfo *i = value;
        e->port.peer_address(e->port.ctx, i->id, i->peer_address);
    }
    lease_state_applied(e, now_us);
    caller_state_applied(e, now_us);
}

/* Handles a frame from another instance. */
void
entry_core_frame(EntryCore *e, uint64_t now_us, const char *from,
                 const Sw__Frame *frame)
{
    uint64_t id = frame->request_id;
    switch (frame->body_case) {
    case SW__FRAME__BODY_LEASE_REPLY:
        lease_reply(e, now_us, frame->lease_reply);
        break;
    case SW__FRAME__BODY_STATE_UPDATE:
        apply_state_update(e, now_us, frame->state_update);
        break;
    case SW__FRAME__BODY_ADMIN_REPLY:
        admin_reply(e, id, frame->admin_reply);
        break;
    case SW__FRAME__BODY_WORK_REQUEST:
        pool_submit(e, now_us, from, id, frame->work_request);
        break;
    case SW__FRAME__BODY_WORK_REPLY:
        caller_work_reply(e, now_us, id, frame->work_reply);
        break;
    case SW__FRAME__BODY_CANCEL_WORK:
        pool_cancel(e, now_us, from, id);
        break;
    case SW__FRAME__BODY_TOKEN_REQUEST:
        limiter_request(e, now_us, from, id, frame->token_request);
        break;
    case SW__FRAME__BODY_TOKEN_REPLY:
        limiter_reply(e, now_us, id, frame->token_reply);
        break;
    case SW__FRAME__BODY_POSITION_REQUEST:
        pool_position_request(e, now_us, from, id, frame->position_request);
        break;
    case SW__FRAME__BODY_POSITION_REPLY:
        pool_position_reply(e, now_us, id, frame->position_reply);
        break;
    case SW__FRAME__BODY_MEMBER_COMMAND:
        pool_member_command(e, now_us, from, frame->member_command);
        break;
    default:
        metrics_count(&e->metrics, kMetricPeerGarbage);
        break;
    }
}

/* Handles the loss of the link to a peer. */
void
entry_core_peer_down(EntryCore *e, uint64_t now_us, const char *peer)
{
    caller_peer_down(e, now_us, peer);
}

/* Handles the outcome of a connection attempt to a backend server. */
void
entry_core_backend_connected(EntryCore *e, uint64_t now_us,
                             uint64_t connection, gboolean ok)
{
    pool_connected(e, now_us, connection, ok);
}

/* Handles the result of a query, or the loss of a backend connection. */
void
entry_core_backend_result(EntryCore *e, uint64_t now_us, uint64_t connection,
                          const BackendResult *result)
{
    pool_result(e, now_us, connection, result);
}

/* ---- time ---- */

/* Runs all time-dependent work.  Must be called every few milliseconds. */
void
entry_core_tick(EntryCore *e, uint64_t now_us)
{
    lease_tick(e, now_us);
    limiter_tick(e, now_us);
    pool_tick_all(e, now_us);
    caller_tick(e, now_us);
    admin_tick(e, now_us);
}

/* Begins a planned shutdown: /healthz reports "draining" to the load
 * balancer, ownership of pools and shards passes to other instances, and open
 * requests are completed. */
void
entry_core_drain(EntryCore *e, uint64_t now_us)
{
    (void)now_us;
    e->draining = TRUE;
    lease_health_changed(e);
}

/* Leaves the membership of entry instances after a drain.  Must be called only
 * when the driver accepts no more requests and the status is idle.
 * entry_core_has_left returns TRUE once a control instance has confirmed
 * it. */
void
entry_core_leave(EntryCore *e, uint64_t now_us)
{
    lease_leave(e, now_us);
}

/* Sets what the clients of the HTTP port use, for the next lease request. */
void
entry_core_set_clients(EntryCore *e, const Sw__ClientPressure *clients)
{
    e->clients = *clients;
}

/* Returns the status that a driver needs for a planned shutdown. */
EntryStatus
entry_core_status(const EntryCore *e, uint64_t now_us)
{
    EntryStatus s = {
        .lease_valid = lease_valid(e, now_us),
        .draining = e->draining,
        .applied_index = catalog_index(e->catalog),
        .requests_open = g_hash_table_size(e->calls),
    };
    s.idle = s.requests_open == 0 && pools_idle(e) &&
             g_hash_table_size(e->admin_calls) == 0;
    return s;
}

/* Returns whether a drained instance has left the membership, so that its
 * process may exit. */
gboolean
entry_core_has_left(const EntryCore *e)
{
    return lease_has_left(e);
}

/* Returns the instance's metrics, which the core owns. */
Metrics *
entry_core_metrics(EntryCore *e)
{
    return &e->metrics;
}
