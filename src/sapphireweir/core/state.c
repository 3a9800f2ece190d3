#include "core/state.h"

#include <string.h>

#include "core/error.h"
#include "core/schema.h"

/* The replicated state of the control instances.  A command is a JSON object:
 *
 *   {"operation": ID, "actor": WHO, "time_ms": T, "quiet": bool,
 *    "changes": [{"key": K, "if_match": V, "spec": OBJECT or null}, ...]}
 *
 * Either all changes of a command are applied or none.  A change with an
 * "if_match" is rejected if the resource has another version.  "quiet" keeps
 * the command out of the audit trail.  The outcome is stored under the
 * operation id, so that a command that is sent again gets the same outcome.
 * The state depends on the log alone, never on clocks or random numbers, so
 * that it is the same on all control instances. */

enum {
    kMaxStoredOperations = 20000, /* stored outcomes */
    kMaxAuditLines = 20000,       /* lines of the audit trail */
    kMaxStoredChanges = 8192,     /* changes available for deltas */
};

struct State {
    char *cluster;
    uint64_t index;         /* log index of the last command applied */
    GHashTable *resources;  /* key -> Resource, owned */
    GHashTable *operations; /* operation id -> JSON outcome, owned */
    GQueue operation_order; /* ids, oldest first; owned by operations */
    GQueue audit;           /* JSON objects, owned, oldest first */
    GQueue changes;         /* StateChange, owned, oldest first */
    uint64_t changes_from;  /* changes has all changes after this index */
};

static void
json_release(void *value)
{
    json_decref(value);
}

static void
state_change_free(void *data)
{
    StateChange *c = data;
    json_decref(c->spec);
    g_free(c->key);
    g_free(c);
}

/* Creates an empty state of a cluster; free it with state_free. */
State *
state_new(const char *cluster)
{
    State *s = g_new0(State, 1);
    s->cluster = g_strdup(cluster);
    s->resources =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, resource_free);
    s->operations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, json_release);
    g_queue_init(&s->operation_order);
    g_queue_init(&s->audit);
    g_queue_init(&s->changes);
    return s;
}

/* Frees the state and everything that it owns. */
void
state_free(State *s)
{
    g_queue_clear(&s->operation_order);
    g_queue_clear_full(&s->audit, json_release);
    g_queue_clear_full(&s->changes, state_change_free);
    g_hash_table_destroy(s->operations);
    g_hash_table_destroy(s->resources);
    g_free(s->cluster);
    g_free(s);
}

/* Returns a resource by its key, or NULL; the state owns it. */
const Resource *
state_lookup(const State *s, const char *key)
{
    return g_hash_table_lookup(s->resources, key);
}

/* Returns all resources by key; the state owns the table. */
GHashTable *
state_resources(State *s)
{
    return s->resources;
}

/* Returns the log index of the last command applied. */
uint64_t
state_index(const State *s)
{
    return s->index;
}

/* Returns the name of the cluster. */
const char *
state_cluster(const State *s)
{
    return s->cluster;
}

/* Returns the audit trail as a queue of json_t, oldest first; the state owns
 * it. */
const GQueue *
state_audit(const State *s)
{
    return &s->audit;
}

/* Returns the stored outcome of an operation, or NULL; the state owns it. */
const json_t *
state_operation(const State *s, const char *operation_id)
{
    return g_hash_table_lookup(s->operations, operation_id);
}

static StateOutcome
outcome_make(uint32_t status, json_t *body)
{
    return (StateOutcome){status, body};
}

/* The state as changed by the earlier changes of the command that is being
 * applied. */
typedef struct {
    const State *state;
    GHashTable *staged; /* key -> Resource, owned; NULL: deleted */
} StagedView;

/* Returns a resource with the staged changes applied, or NULL if it does not
 * exist.  Is a ResourceLookup; ctx is the StagedView. */
static const Resource *
staged_lookup(void *ctx, const char *key)
{
    StagedView *v = ctx;
    void *found = NULL;
    if (g_hash_table_lookup_extended(v->staged, key, NULL, &found)) {
        return found;
    }
    return state_lookup(v->state, key);
}

/* Returns the version of a resource with the staged changes applied, zero if
 * it does not exist. */
static uint64_t
staged_version(StagedView *v, const char *key)
{
    const Resource *r = staged_lookup(v, key);
    return r == NULL ? 0 : r->version;
}

/* Returns the key of a resource that refers to the one with this key, or NULL
 * if there is none.  A withdrawn access key does not count. */
static const char *
find_dependent(StagedView *v, const char *key)
{
    const char *name = resource_name_of(key);
    GHashTableIter it;
    void *value;
    ResourceKind kind;

    if (!resource_kind_of(key, &kind)) {
        return NULL;
    }
    g_hash_table_iter_init(&it, v->state->resources);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = staged_lookup(v, ((Resource *)value)->key);
        if (r == NULL) {
            continue;
        }
        const char *field = NULL;
        if (kind == kResourceTemplate) {
            field = "template";
        }
        if (kind == kResourceDatabase && r->kind == kResourceService) {
            field = "database";
        }
        if (kind == kResourceTeam && r->kind == kResourceKey &&
            !json_flag(r->spec, "withdrawn")) {
            field = "team";
        }
        if (field != NULL &&
            strcmp(json_text_or(r->spec, field, ""), name) == 0) {
            return r->key;
        }
    }
    return NULL;
}

/* Stages the deletion of a resource.  Returns FALSE and sets error if the
 * resource does not exist or another one refers to it. */
static gboolean
stage_delete(StagedView *v, const char *key, GError **error)
{
    if (staged_lookup(v, key) == NULL) {
        ResourceKind kind;
        gboolean evacuation =
            resource_kind_of(key, &kind) && kind == kResourceEvacuation;
        g_set_error(error, CORE_ERROR, kCoreErrorNotFound, "%s: %s", key,
                    evacuation ? "fleet/main has no such failure domain"
                               : "does not exist");
        return FALSE;
    }
    const char *dependent = find_dependent(v, key);
    if (dependent != NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorInvalid,
                    "%s: still used by %s", key, dependent);
        return FALSE;
    }
    g_hash_table_insert(v->staged, g_strdup(key), NULL);
    return TRUE;
}

/* Returns whether the start or end (spec is NULL or JSON null) of an
 * evacuation changes nothing: the domain is known and already evacuated or
 * not.  Such a change is accepted, so that an operator who repeats it under a
 * new operation id gets an acknowledgement, and leaves no audit line. */
static gboolean
evacuation_in_force(StagedView *v, const char *key, const json_t *spec)
{
    gboolean wanted = spec != NULL && !json_is_null(spec);
    gboolean exists = staged_lookup(v, key) != NULL;

    return wanted == exists &&
           (exists ? json_is_object(spec) && json_object_size(spec) == 0
                   : resource_domain_known(resource_name_of(key),
                                           staged_lookup, v));
}

/* Checks a change against the state and the changes staged before it, and
 * stages it.  Returns FALSE and sets error if the change is rejected. */
static gboolean
stage_change(StagedView *v, uint64_t index, const json_t *change,
             GError **error)
{
    const char *key = json_text_or(change, "key", "");
    json_t *spec = json_object_get(change, "spec");
    json_t *if_match = json_object_get(change, "if_match");
    uint64_t version = staged_version(v, key);

    if (json_is_integer(if_match) &&
        (uint64_t)json_integer_value(if_match) != version) {
        g_set_error(error, CORE_ERROR, kCoreErrorConflict,
                    "%s: the change builds on version %" G_GINT64_FORMAT
                    ", the current one is %" G_GUINT64_FORMAT,
                    key, (int64_t)json_integer_value(if_match), version);
        return FALSE;
    }
    ResourceKind kind;
    if (resource_kind_of(key, &kind) && kind == kResourceEvacuation &&
        evacuation_in_force(v, key, spec)) {
        return TRUE;
    }
    if (spec == NULL || json_is_null(spec)) {
        return stage_delete(v, key, error);
    }
    if (!resource_check(key, spec, staged_lookup, v, error)) {
        return FALSE;
    }
    Resource *r = resource_new(key, index, index, json_incref(spec));
    g_hash_table_insert(v->staged, g_strdup(key), r);
    return TRUE;
}

static void
staged_free(void *resource)
{
    if (resource != NULL) {
        resource_free(resource);
    }
}

/* Records a change for later deltas; discards the oldest changes beyond
 * kMaxStoredChanges. */
static void
record_change(State *s, uint64_t index, const char *key, json_t *spec)
{
    StateChange *c = g_new0(StateChange, 1);
    c->index = index;
    c->version = index;
    c->key = g_strdup(key);
    c->spec = spec == NULL ? NULL : json_incref(spec);
    g_queue_push_tail(&s->changes, c);
    while (s->changes.length > kMaxStoredChanges) {
        StateChange *oldest = g_queue_pop_head(&s->changes);
        s->changes_from = oldest->index;
        state_change_free(oldest);
    }
}

/* Adds a line to the audit trail; discards the oldest lines beyond
 * kMaxAuditLines. */
static void
record_audit(State *s, uint64_t index, const json_t *command, const char *key,
             const json_t *before, const json_t *after)
{
    json_t *line = json_pack(
        "{s:I, s:s, s:s, s:I, s:s, s:O?, s:O?}", "index", (json_int_t)index,
        "actor", json_text_or(command, "actor", ""), "operation",
        json_text_or(command, "operation", ""), "time_ms",
        (json_int_t)json_integer_or(command, "time_ms", 0), "key", key,
        "before", before, "after", after);
    g_queue_push_tail(&s->audit, line);
    while (s->audit.length > kMaxAuditLines) {
        json_decref(g_queue_pop_head(&s->audit));
    }
}

/* Applies one staged change to the state, and records it in the audit trail
 * unless the command is quiet. */
static void
commit_change(State *s, uint64_t index, const json_t *command, const char *key,
              StagedView *v)
{
    Resource *staged = g_hash_table_lookup(v->staged, key);
    const Resource *old = state_lookup(s, key);
    json_t *after = staged == NULL ? NULL : staged->spec;

    if (!json_flag(command, "quiet")) {
        record_audit(s, index, command, key, old == NULL ? NULL : old->spec,
                     after);
    }
    record_change(s, index, key, after);
    if (staged == NULL) {
        g_hash_table_remove(s->resources, key);
        return;
    }
    Resource *r = resource_new(key, index, index, json_incref(after));
    g_hash_table_replace(s->resources, r->key, r);
}

/* Stores the outcome of an operation; discards the oldest outcomes beyond
 * kMaxStoredOperations.  Does nothing for a command without an operation
 * id. */
static void
record_operation(State *s, const char *operation, StateOutcome outcome)
{
    if (operation[0] == '\0') {
        return;
    }
    char *id = g_strdup(operation);
    json_t *stored = json_pack("{s:i, s:O}", "status", (int)outcome.status,
                               "body", outcome.body);
    g_hash_table_insert(s->operations, id, stored);
    g_queue_push_tail(&s->operation_order, id);
    while (s->operation_order.length > kMaxStoredOperations) {
        g_hash_table_remove(s->operations,
                            g_queue_pop_head(&s->operation_order));
    }
}

/* Returns the outcome of a rejected change, with the current version and spec
 * of the resource. */
static StateOutcome
outcome_of_error(const State *s, const char *key, const GError *error)
{
    uint32_t status = 422;
    if (error->code == kCoreErrorConflict) {
        status = 409;
    }
    if (error->code == kCoreErrorNotFound) {
        status = 404;
    }
    const Resource *current = state_lookup(s, key);
    json_t *body = json_pack(
        "{s:s, s:I, s:O?}", "detail", error->message, "current_version",
        (json_int_t)(current == NULL ? 0 : current->version), "current",
        current == NULL ? NULL : current->spec);
    return outcome_make(status, body);
}

/* Applies all changes of a command, or none if one of them is rejected. */
static StateOutcome
apply_changes(State *s, uint64_t index, const json_t *command)
{
    StagedView v = {s, g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             staged_free)};
    const json_t *changes = json_object_get(command, "changes");
    GError *error = NULL;
    size_t i;
    json_t *change;
    StateOutcome outcome = {0, NULL};

    json_array_foreach((json_t *)changes, i, change)
    {
        if (!stage_change(&v, index, change, &error)) {
            outcome =
                outcome_of_error(s, json_text_or(change, "key", ""), error);
            g_error_free(error);
            break;
        }
    }
    if (outcome.body == NULL) {
        GHashTableIter it;
        void *key;
        g_hash_table_iter_init(&it, v.staged);
        while (g_hash_table_iter_next(&it, &key, NULL)) {
            commit_change(s, index, command, key, &v);
        }
        outcome = outcome_make(
            200, json_pack("{s:I, s:I, s:b}", "version", (json_int_t)index,
                           "index", (json_int_t)index, "unchanged",
                           g_hash_table_size(v.staged) == 0));
    }
    g_hash_table_destroy(v.staged);
    return outcome;
}

/* Applies the command at a log index, which becomes the version of the
 * changed resources.  If the operation id is known, changes nothing and
 * returns the stored outcome.  The caller owns the body of the outcome. */
StateOutcome
state_apply(State *s, uint64_t index, const json_t *command)
{
    const char *operation = json_text_or(command, "operation", "");
    const json_t *stored = state_operation(s, operation);

    s->index = index;
    if (stored != NULL) {
        return outcome_make((uint32_t)json_integer_or(stored, "status", 0),
                            json_incref(json_object_get(stored, "body")));
    }
    StateOutcome outcome = apply_changes(s, index, command);
    record_operation(s, operation, outcome);
    return outcome;
}

/* Appends all changes after a log index to out, in the order of their indexes,
 * as StateChange that the state owns.  Returns FALSE if some of them are no
 * longer available; the full state must be sent then. */
gboolean
state_changes_since(State *s, uint64_t index, GPtrArray *out)
{
    if (index < s->changes_from) {
        return FALSE;
    }
    GList *l = s->changes.tail;
    while (l != NULL && ((StateChange *)l->data)->index > index) {
        l = l->prev;
    }
    for (l = l == NULL ? s->changes.head : l->next; l != NULL; l = l->next) {
        g_ptr_array_add(out, l->data);
    }
    return TRUE;
}

/* Returns the state as JSON text with sorted keys, so that equal states have
 * equal texts.  The caller frees the text with free(). */
char *
state_dump(const State *s)
{
    json_t *resources = json_object();
    json_t *operations = json_array();
    json_t *audit = json_array();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, s->resources);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Resource *r = value;
        json_object_set_new(resources, r->key,
                            json_pack("{s:I, s:O}", "version",
                                      (json_int_t)r->version, "spec",
                                      r->spec));
    }
    for (GList *l = s->operation_order.head; l != NULL; l = l->next) {
        json_array_append_new(
            operations,
            json_pack("{s:s, s:O}", "id", (const char *)l->data, "outcome",
                      g_hash_table_lookup(s->operations, l->data)));
    }
    for (GList *l = s->audit.head; l != NULL; l = l->next) {
        json_array_append(audit, l->data);
    }
    json_t *root =
        json_pack("{s:s, s:I, s:o, s:o, s:o}", "cluster", s->cluster, "index",
                  (json_int_t)s->index, "resources", resources, "operations",
                  operations, "audit", audit);
    char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(root);
    return text;
}

/* Loads resources, operations and audit trail of a dump into an empty
 * state. */
static void
load_parts(State *s, json_t *root)
{
    const char *key;
    json_t *value;
    size_t i;

    json_object_foreach(json_object_get(root, "resources"), key, value)
    {
        uint64_t version = (uint64_t)json_integer_or(value, "version", 0);
        Resource *r =
            resource_new(key, version, version,
                         json_incref(json_object_get(value, "spec")));
        g_hash_table_replace(s->resources, r->key, r);
    }
    json_array_foreach(json_object_get(root, "operations"), i, value)
    {
        char *id = g_strdup(json_text_or(value, "id", ""));
        g_hash_table_insert(s->operations, id,
                            json_incref(json_object_get(value, "outcome")));
        g_queue_push_tail(&s->operation_order, id);
    }
    json_array_foreach(json_object_get(root, "audit"), i, value)
    {
        g_queue_push_tail(&s->audit, json_incref(value));
    }
}

/* Replaces the state by a dump.  Returns FALSE with kCoreErrorCorrupt, and
 * changes nothing, if the text is not JSON or is a dump of another
 * cluster. */
gboolean
state_load(State *s, const char *text, size_t length, GError **error)
{
    json_error_t json_error;
    json_t *root = json_loadb(text, length, 0, &json_error);
    if (root == NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "snapshot is not valid: %s at byte %d", json_error.text,
                    json_error.position);
        return FALSE;
    }
    if (strcmp(json_text_or(root, "cluster", ""), s->cluster) != 0) {
        g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                    "snapshot is of cluster \"%s\", this one is \"%s\"",
                    json_text_or(root, "cluster", ""), s->cluster);
        json_decref(root);
        return FALSE;
    }
    g_hash_table_remove_all(s->resources);
    g_queue_clear(&s->operation_order);
    g_hash_table_remove_all(s->operations);
    g_queue_clear_full(&s->audit, json_release);
    g_queue_clear_full(&s->changes, state_change_free);
    s->index = (uint64_t)json_integer_or(root, "index", 0);
    s->changes_from = s->index;
    load_parts(s, root);
    json_decref(root);
    return TRUE;
}
