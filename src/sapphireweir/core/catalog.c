#include "core/catalog.h"

#include <sodium.h>
#include <string.h>

#include "core/error.h"
#include "core/resource.h"
#include "core/schema.h"

/* An entry instance's copy of the replicated state.  Typed records are
 * parsed from the JSON on first use and cached until a resource that they
 * were built from changes. */

struct Catalog {
    char *cluster;              /* NULL: no state received yet */
    uint64_t index;             /* log index of the last applied update */
    GHashTable *resources;      /* key -> Resource, owned */
    InstanceView view;          /* live entry instances */
    uint64_t known_since_us;    /* departures has none before this time */
    uint64_t known_since_index; /* log index at that time */
    GQueue departures;          /* of Departure, owned, oldest first */
    GHashTable *services;       /* name -> ServiceInfo */
    GHashTable *teams;          /* name -> TeamInfo */
    GHashTable *keys;           /* id -> KeyInfo */
    GHashTable *databases;      /* name -> DatabaseInfo */
    GHashTable *evacuations;    /* failure domain -> Evacuation, owned */
    /* Team -> log index of its creation, owned; only teams whose creation this
     * catalog has seen. */
    GHashTable *creations;
};

/* An evacuated failure domain. */
typedef struct {
    uint64_t version;  /* of the resource */
    uint64_t since_us; /* when this catalog learned of it */
} Evacuation;

/* An instance that was removed or began to drain, which ends its ownership
 * of all resources. */
typedef struct {
    InstanceInfo *instance; /* as before the departure, owned */
    uint64_t at_us;         /* when this catalog learned of it */
    uint64_t index;         /* its log index */
} Departure;

enum { kMaxDepartures = 1024 };

static void
departure_free(void *data)
{
    Departure *d = data;
    instance_info_free(d->instance);
    g_free(d);
}

static void
statement_free(void *data)
{
    StatementInfo *s = data;
    g_ptr_array_unref(s->args);
    g_free(s->name);
    g_free(s->sql);
    g_free(s);
}

static void
service_free(void *data)
{
    ServiceInfo *s = data;
    g_hash_table_destroy(s->statements);
    g_strfreev(s->teams);
    g_free(s->database);
    g_free(s->name);
    g_free(s);
}

static void
team_free(void *data)
{
    TeamInfo *t = data;
    g_free(t->name);
    g_free(t);
}

static void
key_free(void *data)
{
    KeyInfo *k = data;
    g_free(k->id);
    g_free(k->team);
    g_free(k);
}

static void
database_free(void *data)
{
    DatabaseInfo *d = data;
    for (uint32_t i = 0; i < d->member_count; i++) {
        g_free(d->members[i].id);
        g_free(d->members[i].failure_domain);
        g_free(d->members[i].address);
    }
    g_free(d->name);
    g_free(d);
}

/* Creates an empty catalog; free it with catalog_free. */
Catalog *
catalog_new(void)
{
    Catalog *c = g_new0(Catalog, 1);
    c->resources =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, resource_free);
    c->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    c->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
    c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, key_free);
    c->databases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, database_free);
    c->creations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->evacuations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    instance_view_init(&c->view);
    g_queue_init(&c->departures);
    return c;
}

/* Frees the catalog and all records that it returned. */
void
catalog_free(Catalog *c)
{
    g_queue_clear_full(&c->departures, departure_free);
    instance_view_clear(&c->view);
    g_hash_table_destroy(c->creations);
    g_hash_table_destroy(c->evacuations);
    g_hash_table_destroy(c->databases);
    g_hash_table_destroy(c->keys);
    g_hash_table_destroy(c->teams);
    g_hash_table_destroy(c->services);
    g_hash_table_destroy(c->resources);
    g_free(c->cluster);
    g_free(c);
}

/* Returns the log index of the last applied update, zero if none. */
uint64_t
catalog_index(const Catalog *c)
{
    return c->index;
}

/* Returns the last departure of an instance that ranked above a live instance
 * for a resource, or NULL if none is recorded. */
static const Departure *
last_outranking(const Catalog *c, const char *resource,
                const char *failure_domain, const InstanceInfo *current)
{
    for (GList *l = c->departures.tail; l != NULL; l = l->prev) {
        const Departure *d = l->data;
        if (ownership_outranks(resource, failure_domain, d->instance,
                               current)) {
            return d;
        }
    }
    return NULL;
}

/* Returns the latest time, in microseconds, at which the current owner of a
 * resource can have become its owner: the last departure of an instance that
 * ranked above the owner, or known_since_us if no such departure is recorded.
 * Returns UINT64_MAX if the owner is not a live instance. */
uint64_t
catalog_owner_since_us(const Catalog *c, const char *resource,
                       const char *failure_domain, const char *owner)
{
    const InstanceInfo *current = instance_view_find(&c->view, owner);
    if (current == NULL) {
        return UINT64_MAX;
    }
    const Departure *d = last_outranking(c, resource, failure_domain, current);
    return d == NULL ? c->known_since_us : MAX(d->at_us, c->known_since_us);
}

/* Returns the log index of the last change of a resource, zero if it does not
 * exist. */
static uint64_t
changed_index(const Catalog *c, const char *key)
{
    const Resource *r = g_hash_table_lookup(c->resources, key);
    return r == NULL ? 0 : r->index;
}

/* Returns whether the live instance owner has owned a resource of a team ever
 * since the team was created, whatever state the other instances have: nothing
 * that determines the owner has changed since.  An instance whose state lacks
 * the team acts for it in nothing. */
gboolean
catalog_owner_since_creation(const Catalog *c, const char *team,
                             const char *resource, const char *failure_domain,
                             const char *owner)
{
    const InstanceInfo *current = instance_view_find(&c->view, owner);
    const uint64_t *created = g_hash_table_lookup(c->creations, team);

    if (current == NULL || created == NULL ||
        c->known_since_index > *created) {
        return FALSE;
    }
    char *key = g_strdup_printf("team/%s", team);
    char *owner_key = g_strdup_printf("instance/%s", owner);
    const Resource *r = g_hash_table_lookup(c->resources, key);
    char *template_key = g_strdup_printf(
        "template/%s", r == NULL ? "" : json_text_or(r->spec, "template", ""));
    gboolean unchanged = r != NULL && r->index <= *created &&
                         changed_index(c, owner_key) <= *created &&
                         changed_index(c, template_key) <= *created &&
                         changed_index(c, "fleet/main") <= *created;
    g_free(template_key);
    g_free(owner_key);
    g_free(key);
    const Departure *d = last_outranking(c, resource, failure_domain, current);
    return unchanged && (d == NULL || d->index <= *created);
}

/* Returns the live entry instances; the view remains owned by c. */
const InstanceView *
catalog_view(const Catalog *c)
{
    return &c->view;
}

/* Returns a resource by its key, or NULL; the catalog owns it. */
const Resource *
catalog_resource(const Catalog *c, const char *key)
{
    return g_hash_table_lookup(c->resources, key);
}

/* ---- updates ---- */

/* Records the departure of an instance that is removed (spec is NULL) or
 * begins to drain; does nothing for other changes of an instance. */
static void
record_departure(Catalog *c, uint64_t now_us, uint64_t index, const char *id,
                 const json_t *spec)
{
    const InstanceInfo *old = instance_view_find(&c->view, id);
    if (old == NULL || old->draining ||
        (spec != NULL && !json_flag(spec, "draining"))) {
        return;
    }
    Departure *d = g_new(Departure, 1);
    *d = (Departure){instance_info_copy(old), now_us, index};
    g_queue_push_tail(&c->departures, d);
    if (c->departures.length > kMaxDepartures) {
        Departure *oldest = g_queue_pop_head(&c->departures);
        c->known_since_us = MAX(c->known_since_us, oldest->at_us);
        c->known_since_index = MAX(c->known_since_index, oldest->index);
        departure_free(oldest);
    }
}

/* Records the creation of a team, or forgets it when the team is deleted. */
static void
record_creation(Catalog *c, uint64_t index, const char *key,
                const json_t *spec)
{
    const char *team = resource_name_of(key);

    if (spec == NULL) {
        g_hash_table_remove(c->creations, team);
        return;
    }
    if (g_hash_table_contains(c->resources, key)) {
        return;
    }
    uint64_t *created = g_new(uint64_t, 1);
    *created = index;
    g_hash_table_replace(c->creations, g_strdup(team), created);
}

/* Drops the typed records that were built from a resource, and updates the
 * view of live instances.  Must be called before the resource changes to
 * spec. */
static void
invalidate_records(Catalog *c, uint64_t now_us, uint64_t index,
                   ResourceKind kind, const char *key, const json_t *spec)
{
    const char *name = resource_name_of(key);
    switch (kind) {
    case kResourceTemplate:
        g_hash_table_remove_all(c->services);
        g_hash_table_remove_all(c->teams);
        break;
    case kResourceService:
        g_hash_table_remove(c->services, name);
        break;
    case kResourceTeam:
        g_hash_table_remove(c->teams, name);
        record_creation(c, index, key, spec);
        break;
    case kResourceKey:
        g_hash_table_remove(c->keys, name);
        break;
    case kResourceDatabase:
    case kResourcePrimary:
    case kResourceServer: {
        char *database = g_strndup(name, strcspn(name, "/"));
        g_hash_table_remove(c->databases, database);
        g_free(database);
        break;
    }
    case kResourceInstance:
        record_departure(c, now_us, index, name, spec);
        instance_view_set(&c->view, name, spec);
        break;
    case kResourceFleet:
        c->view.version++;
        c->known_since_us = now_us;
        c->known_since_index = index;
        break;
    case kResourceEvacuation:
        g_hash_table_remove_all(c->databases);
        break;
    case kResourceKindCount:
        break;
    }
}

/* Records the start of an evacuation, unless it is known, or with ended its
 * end. */
static void
record_evacuation(Catalog *c, uint64_t now_us, const char *domain,
                  uint64_t version, gboolean ended)
{
    const Evacuation *known = g_hash_table_lookup(c->evacuations, domain);

    if (ended) {
        g_hash_table_remove(c->evacuations, domain);
        g_message("failure domain %s is restored", domain);
        return;
    }
    if (known != NULL && known->version == version) {
        return;
    }
    Evacuation *e = g_new(Evacuation, 1);
    *e = (Evacuation){version, MAX(now_us, 1)};
    g_hash_table_replace(c->evacuations, g_strdup(domain), e);
    g_message("failure domain %s is evacuated", domain);
}

/* Applies one change and takes ownership of spec; NULL deletes the resource.
 * Ignores a resource of an unknown kind, which control instances of a newer
 * version may send. */
static void
apply_change(Catalog *c, uint64_t now_us, const Sw__Change *w, json_t *spec)
{
    ResourceKind kind;

    if (!resource_kind_of(w->key, &kind)) {
        json_decref(spec);
        return;
    }
    invalidate_records(c, now_us, w->index, kind, w->key, spec);
    if (kind == kResourceEvacuation) {
        record_evacuation(c, now_us, resource_name_of(w->key), w->version,
                          spec == NULL);
    }
    if (spec == NULL) {
        g_hash_table_remove(c->resources, w->key);
        return;
    }
    Resource *r = resource_new(w->key, w->version, w->index, spec);
    g_hash_table_replace(c->resources, r->key, r);
}

static void
spec_release(void *spec)
{
    json_decref(spec);
}

/* Parses the specs of all changes before any of them is applied, so that a
 * malformed update changes nothing.  Returns an array of json_t, with NULL for
 * a deletion, which the caller owns.  Returns NULL and sets error (with
 * kCoreErrorInvalid) if a spec is not a JSON object. */
static GPtrArray *
parse_specs(const Sw__StateUpdate *update, GError **error)
{
    GPtrArray *specs = g_ptr_array_new_with_free_func(spec_release);

    for (size_t i = 0; i < update->n_changes; i++) {
        const Sw__Change *w = update->changes[i];
        json_t *spec = NULL;
        if (w->spec.len > 0) {
            spec =
                json_loadb((const char *)w->spec.data, w->spec.len, 0, NULL);
        }
        if (w->spec.len > 0 && !json_is_object(spec)) {
            g_set_error(error, CORE_ERROR, kCoreErrorInvalid,
                        "%s is not a JSON object", w->key);
            json_decref(spec);
            g_ptr_array_unref(specs);
            return NULL;
        }
        g_ptr_array_add(specs, spec);
    }
    return specs;
}

/* Removes all resources, typed records and instances. */
static void
catalog_clear(Catalog *c)
{
    g_hash_table_remove_all(c->resources);
    g_hash_table_remove_all(c->services);
    g_hash_table_remove_all(c->teams);
    g_hash_table_remove_all(c->keys);
    g_hash_table_remove_all(c->databases);
    g_hash_table_remove_all(c->view.instances);
}

/* Returns whether no resource says that a domain is evacuated. */
static gboolean
evacuation_ended(void *domain, void *evacuation, void *ctx)
{
    const Catalog *c = ctx;
    char *key = g_strconcat("evacuation/", (char *)domain, NULL);
    gboolean ended = g_hash_table_lookup(c->resources, key) == NULL;

    (void)evacuation;
    g_free(key);
    return ended;
}

/* Applies a delta or a full state.  Ignores an update that is not newer than
 * the catalog.  Returns FALSE and changes nothing if the update belongs to
 * another cluster or begins after the catalog's index (kCoreErrorConflict), or
 * if a spec is malformed (kCoreErrorInvalid). */
gboolean
catalog_update(Catalog *c, uint64_t now_us, const Sw__StateUpdate *update,
               GError **error)
{
    if (c->cluster != NULL && strcmp(c->cluster, update->cluster) != 0) {
        g_set_error(error, CORE_ERROR, kCoreErrorConflict,
                    "state of cluster \"%s\", this one is \"%s\"",
                    update->cluster, c->cluster);
        return FALSE;
    }
    if (update->to_index <= c->index) {
        return TRUE;
    }
    if (!update->full && update->from_index > c->index) {
        g_set_error(error, CORE_ERROR, kCoreErrorConflict,
                    "delta begins at %" G_GUINT64_FORMAT
                    ", the state is at %" G_GUINT64_FORMAT,
                    update->from_index, c->index);
        return FALSE;
    }
    GPtrArray *specs = parse_specs(update, error);
    if (specs == NULL) {
        return FALSE;
    }
    if (update->full) {
        catalog_clear(c);
        c->view.version++;
        c->known_since_us = now_us;
    }
    for (size_t i = 0; i < update->n_changes; i++) {
        const Sw__Change *w = update->changes[i];
        if (update->full || w->index > c->index) {
            json_t *spec = g_ptr_array_index(specs, i);
            apply_change(c, now_us, w,
                         spec == NULL ? NULL : json_incref(spec));
        }
    }
    if (update->full) {
        /* It does not say whether a team existed before. */
        g_hash_table_remove_all(c->creations);
        c->known_since_index = update->to_index;
    }
    /* A full state has no change for an evacuation that ended. */
    g_hash_table_foreach_remove(c->evacuations, evacuation_ended, c);
    g_ptr_array_unref(specs);
    if (c->cluster == NULL) {
        c->cluster = g_strdup(update->cluster);
    }
    c->index = update->to_index;
    return TRUE;
}

/* ---- typed records ---- */

/* Returns a resource by its kind and name, or NULL. */
static const Resource *
find_resource(const Catalog *c, ResourceKind kind, const char *name)
{
    char *key = g_strdup_printf("%s/%s", resource_kind_name(kind), name);
    const Resource *r = g_hash_table_lookup(c->resources, key);
    g_free(key);
    return r;
}

/* Returns a statement record built from its JSON spec. */
static StatementInfo *
statement_make(const char *name, const json_t *spec)
{
    enum { kDefaultWorth = 1, kMicrosPerMilli = 1000 };
    StatementInfo *s = g_new0(StatementInfo, 1);
    size_t i;
    json_t *arg;

    s->name = g_strdup(name);
    s->sql = g_strdup(json_text_or(spec, "sql", ""));
    s->write = strcmp(json_text_or(spec, "kind", ""), "write") == 0;
    s->open = json_flag(spec, "open");
    s->repeatable = json_flag(spec, "repeatable");
    s->max_staleness_us =
        (uint64_t)json_integer_or(spec, "max_staleness_ms", 0) *
        kMicrosPerMilli;
    s->worth = (uint32_t)json_integer_or(spec, "worth", kDefaultWorth);
    s->args = g_ptr_array_new_with_free_func(g_free);
    json_array_foreach(json_object_get(spec, "args"), i, arg)
    {
        g_ptr_array_add(s->args, g_strdup(json_string_value(arg)));
    }
    return s;
}

/* Returns a service record built from its resource.  The record has no
 * statements if the template does not exist. */
static ServiceInfo *
service_make(const Catalog *c, const Resource *r)
{
    ServiceInfo *s = g_new0(ServiceInfo, 1);
    const Resource *t = find_resource(c, kResourceTemplate,
                                      json_text_or(r->spec, "template", ""));
    const json_t *teams = json_object_get(r->spec, "teams");
    const char *name;
    json_t *statement;

    s->name = g_strdup(resource_name_of(r->key));
    s->database = g_strdup(json_text_or(r->spec, "database", ""));
    s->statements =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, statement_free);
    if (teams != NULL) {
        s->teams = g_new0(char *, json_array_size(teams) + 1);
        for (size_t i = 0; i < json_array_size(teams); i++) {
            s->teams[i] =
                g_strdup(json_string_value(json_array_get(teams, i)));
        }
    }
    if (t == NULL) {
        return s;
    }
    json_object_foreach(json_object_get(t->spec, "statements"), name,
                        statement)
    {
        StatementInfo *info = statement_make(name, statement);
        g_hash_table_insert(s->statements, info->name, info);
    }
    return s;
}

/* Returns a service by its name, or NULL. */
const ServiceInfo *
catalog_service(Catalog *c, const char *name)
{
    ServiceInfo *s = g_hash_table_lookup(c->services, name);
    if (s != NULL) {
        return s;
    }
    const Resource *r = find_resource(c, kResourceService, name);
    if (r == NULL) {
        return NULL;
    }
    s = service_make(c, r);
    g_hash_table_insert(c->services, s->name, s);
    return s;
}

/* Returns a statement of a service by its name, or NULL. */
const StatementInfo *
catalog_statement(const ServiceInfo *s, const char *name)
{
    return g_hash_table_lookup(s->statements, name);
}

/* Returns whether a team may call a service. */
gboolean
catalog_service_serves(const ServiceInfo *s, const char *team)
{
    return s->teams == NULL ||
           g_strv_contains((const char *const *)s->teams, team);
}

/* Returns a team by its name, or NULL. */
const TeamInfo *
catalog_team(Catalog *c, const char *name)
{
    TeamInfo *t = g_hash_table_lookup(c->teams, name);
    if (t != NULL) {
        return t;
    }
    const Resource *r = find_resource(c, kResourceTeam, name);
    if (r == NULL) {
        return NULL;
    }
    const Resource *template = find_resource(
        c, kResourceTemplate, json_text_or(r->spec, "template", ""));
    t = g_new0(TeamInfo, 1);
    t->name = g_strdup(name);
    t->version = MAX(r->version, template == NULL ? 0 : template->version);
    resource_team_parameters(template == NULL ? NULL : template->spec, r->spec,
                             &t->parameters);
    g_hash_table_insert(c->teams, t->name, t);
    return t;
}

/* Returns an access key by its id, or NULL.  A key whose stored hash is
 * malformed counts as withdrawn. */
const KeyInfo *
catalog_key(Catalog *c, const char *id)
{
    KeyInfo *k = g_hash_table_lookup(c->keys, id);
    if (k != NULL) {
        return k;
    }
    const Resource *r = find_resource(c, kResourceKey, id);
    if (r == NULL) {
        return NULL;
    }
    const char *hash = json_text_or(r->spec, "hash", "");
    size_t hash_bytes = 0;
    k = g_new0(KeyInfo, 1);
    k->id = g_strdup(id);
    k->team = g_strdup(json_text_or(r->spec, "team", ""));
    k->expires_ms = (uint64_t)json_integer_or(r->spec, "expires_ms", 0);
    k->withdrawn = json_flag(r->spec, "withdrawn");
    if (sodium_hex2bin(k->hash, sizeof(k->hash), hash, strlen(hash), NULL,
                       &hash_bytes, NULL) != 0 ||
        hash_bytes != sizeof(k->hash)) {
        k->withdrawn = TRUE;
    }
    g_hash_table_insert(c->keys, k->id, k);
    return k;
}

/* Returns whether a key is valid at a wall-clock time, in milliseconds
 * since 1970. */
gboolean
catalog_key_valid(const KeyInfo *k, uint64_t wall_ms)
{
    return !k->withdrawn && (k->expires_ms == 0 || wall_ms < k->expires_ms);
}

/* Fills a member record from spec, the declaration in the database, and from
 * the announcement of the backend server, if there is one. */
static void
member_fill(const Catalog *c, const char *database, const json_t *spec,
            MemberInfo *m)
{
    m->id = g_strdup(json_text_or(spec, "id", ""));
    m->failure_domain = g_strdup(json_text_or(spec, "failure_domain", ""));
    const Evacuation *evacuation =
        g_hash_table_lookup(c->evacuations, m->failure_domain);
    m->evacuated_us = evacuation == NULL ? 0 : evacuation->since_us;
    char *name = g_strdup_printf("%s/%s", database, m->id);
    const Resource *server = find_resource(c, kResourceServer, name);
    g_free(name);
    if (server == NULL) {
        return;
    }
    m->address = g_strdup(json_text_or(server->spec, "address", ""));
    m->usable = !json_flag(server->spec, "leaving") &&
                !json_flag(server->spec, "missing");
}

/* Returns a database by its name, or NULL. */
const DatabaseInfo *
catalog_database(Catalog *c, const char *name)
{
    DatabaseInfo *d = g_hash_table_lookup(c->databases, name);
    if (d != NULL) {
        return d;
    }
    const Resource *r = find_resource(c, kResourceDatabase, name);
    if (r == NULL) {
        return NULL;
    }
    enum { kDefaultRetentionS = 86400 };
    size_t i;
    json_t *member;
    d = g_new0(DatabaseInfo, 1);
    d->name = g_strdup(name);
    d->record_retention_us =
        (uint64_t)json_integer_or(r->spec, "record_retention_s",
                                  kDefaultRetentionS) *
        G_USEC_PER_SEC;
    d->slots = (uint32_t)json_integer_or(r->spec, "slots", 1);
    d->connections = (uint32_t)json_integer_or(r->spec, "connections", 1);
    json_array_foreach(json_object_get(r->spec, "members"), i, member)
    {
        if (d->member_count < kCatalogMembersMax) {
            member_fill(c, name, member, &d->members[d->member_count++]);
        }
    }
    d->primary = -1;
    const Resource *p = find_resource(c, kResourcePrimary, name);
    if (p != NULL) {
        d->primary =
            catalog_member_index(d, json_text_or(p->spec, "member", ""));
        d->term = (uint64_t)json_integer_or(p->spec, "term", 0);
        d->promotion = (uint64_t)json_integer_or(p->spec, "promotion", 0);
        d->stable = strcmp(json_text_or(p->spec, "phase", ""), "stable") == 0;
    }
    g_hash_table_insert(c->databases, d->name, d);
    return d;
}

/* Returns the index of a member in the member list of a database, or -1 if
 * it is not a member. */
int32_t
catalog_member_index(const DatabaseInfo *d, const char *member)
{
    for (uint32_t i = 0; i < d->member_count; i++) {
        if (strcmp(d->members[i].id, member) == 0) {
            return (int32_t)i;
        }
    }
    return -1;
}

/* Returns the number of evacuated failure domains. */
uint32_t
catalog_evacuation_count(const Catalog *c)
{
    return g_hash_table_size(c->evacuations);
}

/* Returns all databases as a table from name to DatabaseInfo; the catalog
 * owns the table. */
const GHashTable *
catalog_databases(Catalog *c)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, c->resources);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        if (r->kind == kResourceDatabase) {
            catalog_database(c, resource_name_of(r->key));
        }
    }
    return c->databases;
}

/* Stores the names of the failure domains in out, in their configured
 * order, and returns their count.  out must have room for
 * kCatalogDomainsMax pointers; the catalog owns the names. */
uint32_t
catalog_failure_domains(const Catalog *c, const char **out)
{
    const Resource *r = g_hash_table_lookup(c->resources, "fleet/main");
    const json_t *list =
        r == NULL ? NULL : json_object_get(r->spec, "failure_domains");
    uint32_t count = (uint32_t)MIN(json_array_size(list), kCatalogDomainsMax);

    for (uint32_t i = 0; i < count; i++) {
        out[i] = json_string_value(json_array_get(list, i));
    }
    return count;
}
