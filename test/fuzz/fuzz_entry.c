#include <sodium.h>
#include <string.h>

#include "core/entry_core.h"
#include "fuzz.h"

/* Fuzzes what an entry instance receives: frames of authenticated peers and
 * requests of callers.  The entry core has a small configuration. */

/* ---- ports that discard everything ---- */

static void
sink_respond(void *ctx, uint64_t id, const CallerResponse *response)
{
    (void)ctx;
    (void)id;
    (void)response;
}

static gboolean
sink_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)ctx;
    (void)to;
    (void)frame;
    return TRUE;
}

static void
sink_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

static void
sink_connect(void *ctx, uint64_t connection, const char *address,
             const char *database)
{
    (void)ctx;
    (void)connection;
    (void)address;
    (void)database;
}

static void
sink_query(void *ctx, uint64_t connection, const char *sql, size_t count,
           const char *const *parameters)
{
    (void)ctx;
    (void)connection;
    (void)sql;
    (void)count;
    (void)parameters;
}

static void
sink_close(void *ctx, uint64_t connection)
{
    (void)ctx;
    (void)connection;
}

/* Returns the same number on each call, so that runs are repeatable. */
static uint64_t
sink_random(void *ctx)
{
    (void)ctx;
    return 7;
}

/* ---- inputs ---- */

/* Delivers a configuration with one database and one read statement that needs
 * no API key ("open"). */
static void
configure(EntryCore *e)
{
    static const char *const resources[][2] = {
        {"fleet/main", "{\"failure_domains\":[\"d\"]}"},
        {"template/s", "{\"for\":\"service\",\"statements\":{\"get\":{"
                       "\"kind\":\"read\",\"sql\":\"x\",\"args\":[\"v\"],"
                       "\"open\":true}}}"},
        {"database/db", "{\"members\":[{\"id\":\"m1\",\"failure_domain\":"
                        "\"d\"}],\"primary\":\"m1\",\"slots\":1,"
                        "\"connections\":9}"},
        {"service/s", "{\"template\":\"s\",\"database\":\"db\"}"},
        {"instance/fuzz", "{\"failure_domain\":\"d\",\"incarnation\":1}"},
    };
    Sw__Change changes[G_N_ELEMENTS(resources)];
    Sw__Change *list[G_N_ELEMENTS(resources)];
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__StateUpdate update = SW__STATE_UPDATE__INIT;

    for (size_t i = 0; i < G_N_ELEMENTS(resources); i++) {
        sw__change__init(&changes[i]);
        changes[i].key = (char *)resources[i][0];
        changes[i].spec.data = (uint8_t *)resources[i][1];
        changes[i].spec.len = strlen(resources[i][1]);
        changes[i].index = i + 1;
        list[i] = &changes[i];
    }
    update.cluster = (char *)"fuzz";
    update.full = TRUE;
    update.to_index = G_N_ELEMENTS(resources);
    update.n_changes = G_N_ELEMENTS(resources);
    update.changes = list;
    frame.body_case = SW__FRAME__BODY_STATE_UPDATE;
    frame.state_update = &update;
    entry_core_frame(e, 1000, "control", &frame);
}

/* Delivers an input as a request.  Its lines are the path, the session token,
 * the max staleness and the body; a second request with the same token uses a
 * path that exists. */
static void
send_request(EntryCore *e, const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    char **parts = g_strsplit(text, "\n", 4);
    guint count = g_strv_length(parts);
    const char *body = count > 3 ? parts[3] : "{\"args\":{\"v\":1}}";
    CallerRequest r = {
        .id = 1,
        .method = "POST",
        .path = count > 0 ? parts[0] : "/",
        .session_token = count > 1 ? parts[1] : NULL,
        .max_staleness_ms = count > 2 ? parts[2] : NULL,
        .body = body,
        .body_bytes = strlen(body),
    };
    entry_core_request(e, 2000, &r);
    r.id = 2;
    r.path = "/v1/s/get";
    entry_core_request(e, 2000, &r);
    g_strfreev(parts);
    g_free(text);
}

/* The first byte selects between a request and a frame. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const EntryControl control = {"control", "d"};
    const EntryPort port = {
        NULL,       sink_respond, sink_send,  sink_peer_address, sink_connect,
        sink_query, sink_close,   sink_close, sink_random,       NULL};
    EntryConfig config = {.id = "fuzz",
                          .failure_domain = "d",
                          .peer_address = "",
                          .http_address = "",
                          .incarnation = 1,
                          .controls = &control,
                          .control_count = 1,
                          .read_replicas = TRUE};
    if (size < 1 || sodium_init() < 0) {
        return 0;
    }
    EntryCore *e = entry_core_new(&config, &port, 0);
    configure(e);
    if ((data[0] & 1) != 0) {
        send_request(e, data + 1, size - 1);
    }
    else {
        Sw__Frame *frame = sw__frame__unpack(NULL, size - 1, data + 1);
        if (frame != NULL) {
            entry_core_frame(e, 2000, "peer", frame);
            sw__frame__free_unpacked(frame, NULL);
        }
    }
    entry_core_tick(e, 3000);
    entry_core_tick(e, 9000000);
    entry_core_free(e);
    return 0;
}
