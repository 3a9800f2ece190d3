#include <sodium.h>
#include <string.h>

#include "core/entry_defs.h"
#include "core/json_bounds.h"
#include "core/schema.h"

/* The operators' HTTP interface of an entry instance.  Each request is
 * forwarded to the control instance that this entry instance follows, whose
 * reply is returned to the operator.  A request without a reply is resent
 * under the same operation id, to the control instance that this entry
 * instance follows by then. */

enum {
    kAdminResendIntervalUs = 1200000, /* while no reply arrives */
    kAdminTimeoutUs = 6000000,        /* of an operator's request */
    kKeyIdBytes = 8, /* prefix of the key's hash that is the key's id */
};

static const char kAdminPrefix[] = "/admin/v1/";

/* An operator's request that waits for a control instance's reply. */
typedef struct {
    uint64_t frame_id;
    uint64_t request_id; /* of the CallerRequest */
    uint64_t resend_at_us;
    uint64_t deadline_us;
    char *verb; /* kind of the Sw__AdminRequest */
    char *key;  /* what a read verb refers to; "" for changes */
    char *body;
    char *operation; /* idempotency id of a change; "" if none was sent */
    char *actor;     /* recorded in the audit log */
} AdminCall;

/* Frees an AdminCall. */
void
admin_call_free(void *call)
{
    AdminCall *a = call;
    g_free(a->verb);
    g_free(a->key);
    g_free(a->body);
    g_free(a->operation);
    g_free(a->actor);
    g_free(a);
}

/* Returns whether an Authorization header holds the expected bearer token.
 * Compares hashes in constant time.  Either argument may be NULL, which
 * never matches. */
gboolean
bearer_matches(const char *authorization, const char *expected)
{
    static const char scheme[] = "Bearer ";
    uint8_t given_hash[crypto_generichash_BYTES];
    uint8_t expected_hash[crypto_generichash_BYTES];

    if (authorization == NULL || expected == NULL ||
        !g_str_has_prefix(authorization, scheme)) {
        return FALSE;
    }
    const char *given = authorization + sizeof(scheme) - 1;
    crypto_generichash(given_hash, sizeof(given_hash), (const uint8_t *)given,
                       strlen(given), NULL, 0);
    crypto_generichash(expected_hash, sizeof(expected_hash),
                       (const uint8_t *)expected, strlen(expected), NULL, 0);
    return sodium_memcmp(given_hash, expected_hash, sizeof(given_hash)) == 0;
}

/* Sends a request to the followed control instance, if one is configured, and
 * schedules the next resend. */
static void
send_call(EntryCore *e, uint64_t now_us, AdminCall *a)
{
    Sw__AdminRequest r = SW__ADMIN_REQUEST__INIT;
    const char *control = lease_control(e);

    r.verb = a->verb;
    r.key = a->key;
    r.operation_id = a->operation;
    r.actor = a->actor;
    r.body.data = (uint8_t *)a->body;
    r.body.len = strlen(a->body);
    a->resend_at_us = now_us + kAdminResendIntervalUs;
    if (control != NULL) {
        entry_send(e, control, a->frame_id, SW__FRAME__BODY_ADMIN_REQUEST, &r);
    }
}

/* Creates an AdminCall for a request and sends it.  Takes ownership of
 * body. */
static void
start_call(EntryCore *e, uint64_t now_us, const CallerRequest *r,
           const char *verb, const char *key, char *body, const char *actor)
{
    AdminCall *a = g_new0(AdminCall, 1);

    a->frame_id = entry_next_frame_id(e);
    a->request_id = r->id;
    a->deadline_us = now_us + kAdminTimeoutUs;
    a->verb = g_strdup(verb);
    a->key = g_strdup(key);
    a->body = body;
    a->actor = g_strdup(actor);
    a->operation = g_strdup(r->operation_id == NULL ? "" : r->operation_id);
    g_hash_table_insert(e->admin_calls, &a->frame_id, a);
    send_call(e, now_us, a);
}

/* Responds with status 400. */
static void
bad_request(EntryCore *e, const CallerRequest *r, const char *detail)
{
    caller_respond_problem(e, r->id, 400, "admin", "not_run", detail, 0);
}

/* ---- changes ---- */

/* Handles POST /admin/v1/changes: forwards a list of resource changes. */
static void
post_changes(EntryCore *e, uint64_t now_us, const CallerRequest *r,
             const json_t *body)
{
    const json_t *changes = json_object_get(body, "changes");
    if (!json_is_array(changes) || r->operation_id == NULL) {
        bad_request(e, r, "send {\"changes\": [...]} with an Operation-Id");
        return;
    }
    char *text = json_dumps(changes, JSON_COMPACT);
    start_call(e, now_us, r, "apply", "", g_strdup(text),
               json_text_or(body, "actor", "operator"));
    free(text);
}

/* Forwards a change of one resource.  Takes ownership of spec.  if_match is
 * the version that the resource must have, zero for a new resource. */
static void
apply_one(EntryCore *e, uint64_t now_us, const CallerRequest *r,
          const json_t *body, const char *key, json_t *spec, uint64_t if_match)
{
    json_t *changes = json_pack("[{s:s, s:o, s:I}]", "key", key, "spec", spec,
                                "if_match", (json_int_t)if_match);
    char *text = json_dumps(changes, JSON_COMPACT);

    start_call(e, now_us, r, "apply", "", g_strdup(text),
               json_text_or(body, "actor", "operator"));
    free(text);
    json_decref(changes);
}

/* Handles POST /admin/v1/keys: registers an API key.  The key itself is
 * neither stored nor forwarded, only its keyed hash. */
static void
post_key(EntryCore *e, uint64_t now_us, const CallerRequest *r,
         const json_t *body)
{
    enum { kMinKeyChars = 24 };
    const char *key = json_text_or(body, "key", "");
    uint8_t hash[kKeyHashBytes];
    char hex[kKeyHashBytes * 2 + 1];

    if (strlen(key) < kMinKeyChars || r->operation_id == NULL) {
        bad_request(e, r,
                    "send team and key, of 24 characters at least, "
                    "with an Operation-Id");
        return;
    }
    entry_key_hash(e->config.secret, key, hash);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    char *name = g_strdup_printf("key/%.*s", kKeyIdBytes * 2, hex);
    json_t *spec = json_pack(
        "{s:s, s:s, s:I, s:b}", "team", json_text_or(body, "team", ""), "hash",
        hex, "expires_ms", (json_int_t)json_integer_or(body, "expires_ms", 0),
        "withdrawn", 0);
    apply_one(e, now_us, r, body, name, spec, 0);
    g_free(name);
}

/* Handles POST /admin/v1/keys/ID/withdraw: marks an API key as withdrawn. */
static void
post_key_withdraw(EntryCore *e, uint64_t now_us, const CallerRequest *r,
                  const json_t *body, const char *id)
{
    char *key = g_strdup_printf("key/%s", id);
    const Resource *known = catalog_resource(e->catalog, key);

    if (known == NULL || r->operation_id == NULL) {
        caller_respond_problem(e, r->id, 404, "admin", "not_run",
                               "there is no such key, or no Operation-Id", 0);
        g_free(key);
        return;
    }
    json_t *spec = json_deep_copy(known->spec);
    json_object_set_new(spec, "withdrawn", json_true());
    apply_one(e, now_us, r, body, key, spec, known->version);
    g_free(key);
}

/* Handles POST /admin/v1/evacuations/DOMAIN, which starts the evacuation of a
 * failure domain, and POST /admin/v1/evacuations/DOMAIN/restore, which ends
 * it.  path is relative to evacuations/. */
static void
post_evacuation(EntryCore *e, uint64_t now_us, const CallerRequest *r,
                const json_t *body, const char *path)
{
    static const char restore[] = "/restore";
    gboolean ends = g_str_has_suffix(path, restore);
    char *domain = g_strndup(
        path, strlen(path) - (ends ? sizeof(restore) - 1 : (size_t)0));

    if (!schema_name_valid(domain) || r->operation_id == NULL) {
        bad_request(e, r,
                    "send the name of a failure domain, 1 to 63 letters, "
                    "digits, '-', '_' or '.', with an Operation-Id");
        g_free(domain);
        return;
    }
    char *key = g_strconcat("evacuation/", domain, NULL);
    json_t *changes = json_pack("[{s:s, s:o}]", "key", key, "spec",
                                ends ? json_null() : json_object());
    char *text = json_dumps(changes, JSON_COMPACT);
    start_call(e, now_us, r, "apply", "", g_strdup(text),
               json_text_or(body, "actor", "operator"));
    free(text);
    json_decref(changes);
    g_free(key);
    g_free(domain);
}

/* ---- dispatch ---- */

/* Handles GET /admin/v1/local: responds with this instance's own status. */
static void
respond_local(EntryCore *e, uint64_t now_us, const CallerRequest *r)
{
    EntryStatus s = entry_core_status(e, now_us);
    json_t *body = json_pack(
        "{s:s, s:s, s:b, s:b, s:I, s:i, s:s}", "id", e->config.id,
        "failure_domain", e->config.failure_domain, "lease", s.lease_valid,
        "draining", s.draining, "applied_index", (json_int_t)s.applied_index,
        "requests_open", (int)s.requests_open, "control",
        lease_control(e) == NULL ? "" : lease_control(e));
    char *text = json_dumps(body, JSON_COMPACT);
    CallerResponse response = {
        200, "application/json", text, strlen(text), NULL, 0, FALSE};
    e->port.respond(e->port.ctx, r->id, &response);
    free(text);
    json_decref(body);
}

/* Handles a GET request; path is relative to kAdminPrefix. */
static void
dispatch_get(EntryCore *e, uint64_t now_us, const CallerRequest *r,
             const char *path)
{
    static const struct {
        const char *prefix;
        const char *verb;
    } reads[] = {
        {"resources/", "get"},
        {"list/", "list"},
        {"audit/", "audit"},
        {"status", "status"},
    };

    if (strcmp(path, "local") == 0) {
        respond_local(e, now_us, r);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        if (g_str_has_prefix(path, reads[i].prefix)) {
            start_call(e, now_us, r, reads[i].verb,
                       path + strlen(reads[i].prefix), g_strdup(""),
                       "operator");
            return;
        }
    }
    caller_respond_problem(e, r->id, 404, "admin", "not_run",
                           "there is nothing at this path", 0);
}

/* Handles a POST request; path is relative to kAdminPrefix. */
static void
dispatch_post(EntryCore *e, uint64_t now_us, const CallerRequest *r,
              const char *path, const json_t *body)
{
    static const char withdraw[] = "/withdraw";

    if (strcmp(path, "changes") == 0) {
        post_changes(e, now_us, r, body);
        return;
    }
    if (strcmp(path, "keys") == 0) {
        post_key(e, now_us, r, body);
        return;
    }
    if (g_str_has_prefix(path, "keys/") && g_str_has_suffix(path, withdraw)) {
        const char *id = path + strlen("keys/");
        char *name = g_strndup(id, strlen(id) - strlen(withdraw));
        post_key_withdraw(e, now_us, r, body, name);
        g_free(name);
        return;
    }
    if (g_str_has_prefix(path, "evacuations/")) {
        post_evacuation(e, now_us, r, body, path + strlen("evacuations/"));
        return;
    }
    if (strcmp(path, "control-members/add") == 0 ||
        strcmp(path, "control-members/remove") == 0) {
        gboolean add = g_str_has_suffix(path, "add");
        start_call(e, now_us, r, add ? "member-add" : "member-remove", "",
                   g_strndup(r->body, r->body_bytes), "operator");
        return;
    }
    caller_respond_problem(e, r->id, 404, "admin", "not_run",
                           "there is nothing at this path", 0);
}

/* Handles an operator's request under kAdminPrefix after checking the
 * operator token. */
void
admin_request(EntryCore *e, uint64_t now_us, const CallerRequest *r)
{
    if (!bearer_matches(r->authorization, e->config.operator_token)) {
        caller_respond_problem(e, r->id, 401, "operator", "not_run",
                               "this needs the operator's token", 0);
        return;
    }
    const char *path = r->path + strlen(kAdminPrefix);
    if (strcmp(r->method, "GET") == 0) {
        dispatch_get(e, now_us, r, path);
        return;
    }
    if (!json_bounds_hold(r->body, r->body_bytes)) {
        bad_request(e, r,
                    "the body has too many values or is nested too deep");
        return;
    }
    json_error_t error;
    json_t *body = json_loadb(r->body_bytes == 0 ? "{}" : r->body,
                              r->body_bytes == 0 ? 2 : r->body_bytes,
                              JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(body)) {
        bad_request(e, r, "the body must be a JSON object");
        json_decref(body);
        return;
    }
    dispatch_post(e, now_us, r, path, body);
    json_decref(body);
}

/* Handles a control instance's reply: passes it on to the operator whose
 * request has this frame id. */
void
admin_reply(EntryCore *e, uint64_t frame_id, const Sw__AdminReply *r)
{
    enum { kUnavailable = 503 };
    AdminCall *a = g_hash_table_lookup(e->admin_calls, &frame_id);

    if (a == NULL) {
        return;
    }
    if (r->status == kUnavailable) {
        return; /* there is no leader yet; the request will be resent */
    }
    CallerResponse response = {
        .status = r->status,
        .content_type = "application/json",
        .body = (const char *)r->body.data,
        .body_bytes = r->body.len,
    };
    e->port.respond(e->port.ctx, a->request_id, &response);
    g_hash_table_remove(e->admin_calls, &frame_id);
}

/* Drops the waiting request of an operator who closed the connection. */
void
admin_abandon(EntryCore *e, uint64_t request_id)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->admin_calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((AdminCall *)value)->request_id == request_id) {
            g_hash_table_iter_remove(&it);
            return;
        }
    }
}

/* Resends requests that got no reply and refuses those past their
 * deadline. */
void
admin_tick(EntryCore *e, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->admin_calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        AdminCall *a = value;
        if (now_us >= a->deadline_us) {
            caller_respond_problem(
                e, a->request_id, 504, "control", "unknown",
                "control did not answer; send it again with the same "
                "Operation-Id",
                1);
            g_hash_table_iter_remove(&it);
            continue;
        }
        if (now_us >= a->resend_at_us) {
            send_call(e, now_us, a);
        }
    }
}

/* ---- announcements ---- */

static const Field announcement_fields[] = {
    {"database", kFieldText, TRUE, 0, 0, NULL, "its group"},
    {"member", kFieldText, TRUE, 0, 0, NULL, "its id in the group"},
    {"address", kFieldText, TRUE, 0, 0, NULL, "IP:PORT"},
    {"failure_domain", kFieldText, TRUE, 0, 0, NULL, "where it runs"},
    {"leaving", kFieldBoolean, FALSE, 0, 0, NULL, "takes no new work"},
};

/* Handles a backend server's announcement: checks the platform key and the
 * fields, and forwards the announcement to the followed control instance.
 * Delivery isn't confirmed; backend servers repeat their announcements. */
void
admin_announcement(EntryCore *e, uint64_t now_us, const CallerRequest *r)
{
    (void)now_us;
    if (!bearer_matches(r->authorization, e->config.platform_key)) {
        caller_respond_problem(e, r->id, 401, "platform", "not_run",
                               "this needs the platform's key", 0);
        return;
    }
    SchemaErrors errors;
    GError *error = NULL;
    json_t *body = json_bounds_hold(r->body, r->body_bytes)
                       ? json_loadb(r->body, r->body_bytes, 0, NULL)
                       : NULL;
    schema_errors_init(&errors);
    schema_check_object(body, announcement_fields,
                        G_N_ELEMENTS(announcement_fields), "announcement",
                        &errors);
    if (!schema_errors_raise(&errors, &error)) {
        bad_request(e, r, error->message);
        g_error_free(error);
        json_decref(body);
        return;
    }
    Sw__Announcement a = SW__ANNOUNCEMENT__INIT;
    a.database = (char *)json_text_or(body, "database", "");
    a.member = (char *)json_text_or(body, "member", "");
    a.address = (char *)json_text_or(body, "address", "");
    a.failure_domain = (char *)json_text_or(body, "failure_domain", "");
    a.leaving = json_flag(body, "leaving");
    if (lease_control(e) != NULL) {
        entry_send(e, lease_control(e), 0, SW__FRAME__BODY_ANNOUNCEMENT, &a);
    }
    static const char accepted[] = "{\"detail\":\"passed to control\"}";
    CallerResponse response = {
        202,  "application/json", accepted, sizeof(accepted) - 1, NULL, 0,
        FALSE};
    e->port.respond(e->port.ctx, r->id, &response);
    json_decref(body);
}
