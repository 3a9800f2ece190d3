#include <sodium.h>
#include <string.h>

#include "core/call_defs.h"
#include "core/json_bounds.h"
#include "core/schema.h"

/* Parses and authenticates a caller's HTTP request.  The result is a Call, or
 * a CallRefusal with the reason.  A function here that gets a CallRefusal and
 * returns FALSE or NULL has filled it in. */

enum {
    kMaxPathParts = 6, /* with the empty part before the first slash */
    kMaxStatements = 64,
    kMaxArgs = 63, /* one bit each in Sw__Statement.null_mask */
    kMaxIdempotencyKeyChars = 128,
    kArgsHashBytes = 16, /* of Call.args_hash before conversion to text */
};

/* Name of the statement parameter that is bound to the caller's team.  Callers
 * can't pass an argument of this name. */
static const char kTeamArg[] = "$team";

static Call *refuse(CallRefusal *refusal, uint32_t status, const char *type,
                    const char *format, ...) G_GNUC_PRINTF(4, 5);

/* Fills in a refusal.  Returns NULL, so that callers can return the
 * result. */
static Call *
refuse(CallRefusal *refusal, uint32_t status, const char *type,
       const char *format, ...)
{
    va_list args;
    va_start(args, format);
    refusal->status = status;
    refusal->type = type;
    refusal->detail = g_strdup_vprintf(format, args);
    va_end(args);
    return NULL;
}

/* Frees a Call. */
void
call_free(void *call)
{
    Call *c = call;
    session_clear(&c->session);
    if (c->statements != NULL) {
        g_ptr_array_unref(c->statements);
    }
    g_free(c->service);
    g_free(c->database);
    g_free(c->team);
    g_free(c->key_id);
    g_free(c->transaction_id);
    g_free(c->idempotency_key);
    g_free(c->args_hash);
    g_free(c->sent_to);
    g_free(c->last_reason);
    g_free(c->last_detail);
    g_free(c);
}

static void
statement_free(void *data)
{
    sw__statement__free_unpacked(data, NULL);
}

/* ---- keys ---- */

/* Computes the keyed hash under which an API key is stored.  secret has
 * kEntrySecretBytes, hash receives kKeyHashBytes. */
void
entry_key_hash(const uint8_t *secret, const char *key, uint8_t *hash)
{
    static const char purpose[] = "sapphireweir key hash";
    uint8_t hash_key[kEntrySecretBytes];

    crypto_generichash(hash_key, sizeof(hash_key), (const uint8_t *)purpose,
                       sizeof(purpose) - 1, secret, kEntrySecretBytes);
    crypto_generichash(hash, kKeyHashBytes, (const uint8_t *)key, strlen(key),
                       hash_key, sizeof(hash_key));
}

/* Returns the valid API key that an Authorization header holds, or NULL. */
static const KeyInfo *
find_key(EntryCore *e, uint64_t now_us, const char *authorization)
{
    enum { kKeyIdBytes = 8 }; /* prefix of the hash that is the key's id */
    static const char scheme[] = "Bearer ";
    uint8_t hash[kKeyHashBytes];
    char id[kKeyIdBytes * 2 + 1];

    if (authorization == NULL || !g_str_has_prefix(authorization, scheme)) {
        return NULL;
    }
    entry_key_hash(e->config.secret, authorization + sizeof(scheme) - 1, hash);
    sodium_bin2hex(id, sizeof(id), hash, kKeyIdBytes);
    const KeyInfo *k = catalog_key(e->catalog, id);
    if (k == NULL || sodium_memcmp(k->hash, hash, sizeof(hash)) != 0 ||
        !catalog_key_valid(k, entry_wall_ms(e, now_us))) {
        return NULL;
    }
    return k;
}

/* Checks the API key of a request and that its team may use the service.
 * Sets the call's team and key_id, and limits its staleness to the team's
 * maximum. */
static gboolean
authenticate(EntryCore *e, uint64_t now_us, const CallerRequest *r, Call *c,
             const ServiceInfo *s, CallRefusal *refusal)
{
    if (c->open_route) {
        c->team = g_strdup("");
        c->key_id = g_strdup("");
        return TRUE;
    }
    const KeyInfo *k = find_key(e, now_us, r->authorization);
    const TeamInfo *t = k == NULL ? NULL : catalog_team(e->catalog, k->team);
    uint64_t grace_us = t == NULL ? 0 : t->parameters.lease_grace_us;

    /* Without a control lease this instance may have missed that a key was
     * added or withdrawn. */
    if (!lease_valid_with_grace(e, now_us, grace_us)) {
        metrics_count(&e->metrics, kMetricRefusedLease);
        refuse(refusal, 503, "control-lease",
               "this instance lacks a control lease and cannot check keys");
        return FALSE;
    }
    if (t == NULL) {
        metrics_count(&e->metrics, kMetricRefusedKey);
        refuse(refusal, 401, "key",
               "the key is missing, unknown or no "
               "longer valid");
        return FALSE;
    }
    if (!catalog_service_serves(s, k->team)) {
        metrics_count(&e->metrics, kMetricRefusedKey);
        refuse(refusal, 403, "team", "this service does not serve the team");
        return FALSE;
    }
    c->team = g_strdup(k->team);
    c->key_id = g_strdup(k->id);
    c->max_staleness_us =
        MIN(c->max_staleness_us, t->parameters.max_staleness_us);
    return TRUE;
}

/* ---- arguments ---- */

/* Returns the text form of a JSON scalar; the caller frees it.  Returns NULL
 * for JSON null. */
static char *
value_to_text(const json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_STRING:
        return g_strdup(json_string_value(value));
    case JSON_TRUE:
        return g_strdup("true");
    case JSON_FALSE:
        return g_strdup("false");
    case JSON_INTEGER:
    case JSON_REAL: {
        char *dumped = json_dumps(value, JSON_ENCODE_ANY);
        char *text = g_strdup(dumped);
        free(dumped);
        return text;
    }
    default:
        return NULL;
    }
}

/* Checks that all arguments are parameters of the statement and scalars. */
static gboolean
check_args(const StatementInfo *info, const json_t *args, CallRefusal *refusal)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)args, name, value)
    {
        gboolean known = FALSE;
        for (guint i = 0; i < info->args->len; i++) {
            known =
                known || strcmp(g_ptr_array_index(info->args, i), name) == 0;
        }
        if (!known || name[0] == '$') {
            refuse(refusal, 400, "args", "%s has no argument \"%.64s\"",
                   info->name, name);
            return FALSE;
        }
        if (json_is_array(value) || json_is_object(value)) {
            refuse(refusal, 400, "args",
                   "argument \"%.64s\" must be a plain "
                   "value",
                   name);
            return FALSE;
        }
    }
    return TRUE;
}

/* Binds the named arguments to a statement's parameters.  Arguments are sent
 * as query parameters and never become part of the SQL text.  The caller frees
 * the statement. */
static Sw__Statement *
bind_statement(const StatementInfo *info, const json_t *args, const char *team,
               CallRefusal *refusal)
{
    if (info->args->len > kMaxArgs || !check_args(info, args, refusal)) {
        return NULL;
    }
    Sw__Statement *s = g_new(Sw__Statement, 1);
    sw__statement__init(s);
    s->sql = g_strdup(info->sql);
    s->args = g_new0(char *, info->args->len + 1);
    for (guint i = 0; i < info->args->len; i++) {
        const char *name = g_ptr_array_index(info->args, i);
        const json_t *value = json_object_get(args, name);
        char *text = NULL;
        if (strcmp(name, kTeamArg) == 0) {
            text = g_strdup(team);
        }
        else if (value == NULL) {
            refuse(refusal, 400, "args", "argument \"%s\" is missing", name);
            statement_free(s);
            return NULL;
        }
        else {
            text = value_to_text(value);
        }
        if (text == NULL) {
            s->null_mask |= (uint64_t)1 << i;
        }
        s->args[s->n_args++] = text == NULL ? g_strdup("") : text;
    }
    return s;
}

/* Binds the arguments of the service's statement of the given name, and
 * appends the statement to a call. */
static gboolean
add_statement(EntryCore *e, Call *c, const ServiceInfo *s, const char *name,
              const json_t *args, CallRefusal *refusal)
{
    const StatementInfo *info = catalog_statement(s, name);
    (void)e;
    if (info == NULL) {
        refuse(refusal, 404, "statement", "%s has no statement \"%.64s\"",
               s->name, name);
        return FALSE;
    }
    if (args != NULL && !json_is_object(args)) {
        refuse(refusal, 400, "args", "args must be an object");
        return FALSE;
    }
    Sw__Statement *bound = bind_statement(info, args, c->team, refusal);
    if (bound == NULL) {
        return FALSE;
    }
    g_ptr_array_add(c->statements, bound);
    return TRUE;
}

/* Merges the settings of one statement into those of the call, for which the
 * strictest limits and the highest priority of its statements apply. */
static gboolean
merge_statement_settings(Call *c, const ServiceInfo *s, const char *name,
                         CallRefusal *refusal)
{
    const StatementInfo *info = catalog_statement(s, name);
    if (info == NULL) {
        refuse(refusal, 404, "statement", "%s has no statement \"%.64s\"",
               s->name, name);
        return FALSE;
    }
    c->write = c->write || info->write;
    c->open_route = c->open_route && info->open;
    c->repeatable = c->repeatable && (info->repeatable || !info->write);
    c->priority = MAX(c->priority, info->worth);
    c->max_staleness_us = MIN(c->max_staleness_us, info->max_staleness_us);
    return TRUE;
}

/* ---- headers ---- */

/* Parses a decimal number.  Returns FALSE if it is malformed or exceeds
 * max. */
static gboolean
parse_number(const char *text, uint64_t max, uint64_t *out)
{
    char *end = NULL;
    if (text == NULL || !g_ascii_isdigit(text[0])) {
        return FALSE;
    }
    *out = g_ascii_strtoull(text, &end, 10);
    return *end == '\0' && *out <= max;
}

/* Parses the request headers into the call: timeout, staleness limit,
 * idempotency key and session token. */
static gboolean
read_headers(EntryCore *e, uint64_t now_us, const CallerRequest *r, Call *c,
             CallRefusal *refusal)
{
    uint64_t timeout_us = kRequestTimeoutUs;
    uint64_t number;
    GError *error = NULL;

    if (r->request_timeout_ms != NULL) {
        if (!parse_number(r->request_timeout_ms,
                          kRequestTimeoutMaxUs / kMillisecondUs, &number) ||
            number == 0) {
            refuse(refusal, 400, "header",
                   "Request-Timeout-Ms must be 1 to "
                   "%d",
                   kRequestTimeoutMaxUs / kMillisecondUs);
            return FALSE;
        }
        timeout_us = number * kMillisecondUs;
    }
    c->deadline_us = now_us + timeout_us;
    if (r->max_staleness_ms != NULL) {
        if (!parse_number(r->max_staleness_ms, G_MAXINT32, &number)) {
            refuse(refusal, 400, "header",
                   "Max-Staleness-Ms must be a whole number");
            return FALSE;
        }
        c->max_staleness_us =
            MIN(c->max_staleness_us, number * kMillisecondUs);
    }
    if (r->idempotency_key != NULL) {
        size_t length = strlen(r->idempotency_key);
        if (length == 0 || length > kMaxIdempotencyKeyChars) {
            refuse(refusal, 400, "header",
                   "Idempotency-Key must have 1 to %d characters",
                   kMaxIdempotencyKeyChars);
            return FALSE;
        }
        c->idempotency_key = g_strdup(r->idempotency_key);
    }
    if (r->session_token != NULL && r->session_token[0] != '\0' &&
        !session_token_open(r->session_token, e->keys.token, &c->session,
                            &error)) {
        metrics_count(&e->metrics, kMetricSessionTokensInvalid);
        refuse(refusal, 400, "session-token", "%s", error->message);
        g_error_free(error);
        return FALSE;
    }
    return TRUE;
}

/* ---- bodies ---- */

/* Parses the JSON body; an empty one yields an empty object.  Returns a new
 * reference. */
static json_t *
parse_body(const CallerRequest *r, CallRefusal *refusal)
{
    json_error_t error;
    json_t *body;

    if (r->body_bytes == 0) {
        return json_object();
    }
    if (!json_bounds_hold(r->body, r->body_bytes)) {
        refuse(refusal, 400, "json",
               "the body has too many values or is nested too deep");
        return NULL;
    }
    body = json_loadb(r->body, r->body_bytes, JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(body)) {
        refuse(refusal, 400, "json",
               "the body must be a JSON object: %s, "
               "byte %d",
               body == NULL ? error.text : "it is something else",
               body == NULL ? error.position : 0);
        json_decref(body);
        return NULL;
    }
    return body;
}

/* Sets the call's args_hash, by which a repeat under the same idempotency
 * key is recognized as the same request. */
static void
hash_request(Call *c, const char *path, const json_t *body)
{
    uint8_t hash[kArgsHashBytes];
    char hex[kArgsHashBytes * 2 + 1];
    char *canonical = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    char *text = g_strdup_printf("%s\n%s", path, canonical);

    crypto_generichash(hash, sizeof(hash), (const uint8_t *)text, strlen(text),
                       NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    c->args_hash = g_strdup(hex);
    g_free(text);
    free(canonical);
}

/* Checks the form of a transaction's list of statements. */
static gboolean
check_statement_list(const json_t *list, CallRefusal *refusal)
{
    size_t i;
    json_t *item;

    if (!json_is_array(list) || json_array_size(list) == 0 ||
        json_array_size(list) > kMaxStatements) {
        refuse(refusal, 400, "statements",
               "statements must be a list of 1 "
               "to %d",
               kMaxStatements);
        return FALSE;
    }
    json_array_foreach((json_t *)list, i, item)
    {
        if (json_text_or(item, "statement", NULL) == NULL) {
            refuse(refusal, 400, "statements",
                   "each item needs \"statement\" and \"args\"");
            return FALSE;
        }
    }
    return TRUE;
}

/* ---- requests ---- */

/* Authenticates the request and adds its statements to the call.  name is the
 * statement of a kCallStatement or kCallRun, NULL for all others. */
static gboolean
fill_statements(EntryCore *e, uint64_t now_us, const CallerRequest *r, Call *c,
                const ServiceInfo *s, const char *name, const json_t *body,
                CallRefusal *refusal)
{
    json_t *list = NULL;
    gboolean ok = TRUE;
    size_t i;
    json_t *item;

    if (c->kind == kCallTransaction) {
        list = json_incref(json_object_get(body, "statements"));
        ok = check_statement_list(list, refusal);
    }
    else if (name != NULL) {
        list = json_pack("[{s:s, s:O?}]", "statement", name, "args",
                         json_object_get(body, "args"));
    }
    c->open_route = c->kind == kCallStatement || c->kind == kCallTransaction;
    for (i = 0; ok && i < json_array_size(list); i++) {
        item = json_array_get(list, i);
        ok = merge_statement_settings(
            c, s, json_text_or(item, "statement", ""), refusal);
    }
    ok = ok && authenticate(e, now_us, r, c, s, refusal);
    for (i = 0; ok && i < json_array_size(list); i++) {
        item = json_array_get(list, i);
        json_t *args = json_object_get(item, "args");
        ok = add_statement(e, c, s, json_text_or(item, "statement", ""),
                           json_is_null(args) ? NULL : args, refusal);
    }
    json_decref(list);
    return ok;
}

/* Sets the kind, the statement or transaction id, and for an interactive
 * transaction also write, from the path.  Returns FALSE unless the path is
 * one of these:
 *   /v1/SERVICE/STATEMENT
 *   /v1/SERVICE/transactions
 *   /v1/SERVICE/transactions/open
 *   /v1/SERVICE/transactions/ID/run|commit|rollback */
static gboolean
parse_path(char **parts, guint count, Call *c, const char **statement)
{
    gboolean in_transactions =
        count >= 4 && strcmp(parts[3], "transactions") == 0;

    *statement = NULL;
    if (count == 4 && !in_transactions) {
        c->kind = kCallStatement;
        *statement = parts[3];
        return TRUE;
    }
    if (count == 4) {
        c->kind = kCallTransaction;
        return TRUE;
    }
    if (count == 5 && in_transactions && strcmp(parts[4], "open") == 0) {
        c->kind = kCallOpen;
        c->write = TRUE;
        return TRUE;
    }
    if (count != 6 || !in_transactions) {
        return FALSE;
    }
    static const char *const verbs[] = {"run", "commit", "rollback"};
    static const CallKind kinds[] = {kCallRun, kCallCommit, kCallRollback};
    for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
        if (strcmp(parts[5], verbs[i]) == 0) {
            c->kind = kinds[i];
            c->transaction_id = g_strdup(parts[4]);
            c->write = TRUE;
            return TRUE;
        }
    }
    return FALSE;
}

/* Parses a request whose path is split into parts. */
static Call *
parse_parts(EntryCore *e, uint64_t now_us, const CallerRequest *r,
            char **parts, CallRefusal *refusal)
{
    guint count = g_strv_length(parts);
    const char *statement;
    Call *c = g_new0(Call, 1);

    c->id = r->id;
    c->started_us = now_us;
    c->member = -1;
    c->repeatable = TRUE;
    c->max_staleness_us = UINT64_MAX;
    c->statements = g_ptr_array_new_with_free_func(statement_free);
    session_init(&c->session);
    if (count < 4 || !parse_path(parts, count, c, &statement)) {
        call_free(c);
        return refuse(refusal, 404, "path", "there is nothing at this path");
    }
    const ServiceInfo *s = catalog_service(e->catalog, parts[2]);
    if (s == NULL) {
        call_free(c);
        return refuse(refusal, 404, "service",
                      "there is no service "
                      "\"%.64s\"",
                      parts[2]);
    }
    c->service = g_strdup(s->name);
    c->database = g_strdup(s->database);
    json_t *body = parse_body(r, refusal);
    if (body == NULL) {
        call_free(c);
        return NULL;
    }
    if (c->kind == kCallRun) {
        statement = json_text_or(body, "statement", "");
    }
    hash_request(c, r->path, body);
    gboolean ok =
        read_headers(e, now_us, r, c, refusal) &&
        fill_statements(e, now_us, r, c, s, statement, body, refusal);
    json_decref(body);
    if (!ok) {
        call_free(c);
        return NULL;
    }
    return c;
}

/* Parses a request into a new Call, which the caller frees with call_free.
 * If the request is refused, fills in refusal, whose detail the caller frees,
 * and returns NULL. */
Call *
call_parse(EntryCore *e, uint64_t now_us, const CallerRequest *r,
           CallRefusal *refusal)
{
    *refusal = (CallRefusal){0};
    if (strcmp(r->method, "POST") != 0) {
        return refuse(refusal, 405, "method", "statements are sent by POST");
    }
    if (catalog_index(e->catalog) == 0) {
        return refuse(refusal, 503, "starting",
                      "this instance has no configuration yet");
    }
    char **parts = g_strsplit(r->path, "/", kMaxPathParts + 1);
    Call *c = parse_parts(e, now_us, r, parts, refusal);
    g_strfreev(parts);
    return c;
}
