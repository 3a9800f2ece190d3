#include "ctl/check.h"

#include <string.h>

#include "core/entry_defs.h"
#include "core/resource.h"
#include "core/schema.h"

/* Describes resources, those of files together with those in force, for the
 * rules of config_check.  What is wrong with a single resource is added as a
 * finding here. */

enum { kMicrosPerMilli = 1000, kMilliPerOne = 1000 };

static const ConfigNames names = {.database = "database",
                                  .staleness = "max_staleness_ms",
                                  .rate = "rate",
                                  .burst = "burst",
                                  .keys = "keys",
                                  .connections = "connections",
                                  .slots = "slots"};

/* The resources as they would be after the files were applied. */
typedef struct {
    ConfigCheck *check;
    const CheckBase *base;
    GPtrArray *resources;  /* of Resource, owned; those of the files first */
    GHashTable *by_key;    /* key -> Resource */
    GHashTable *invalid;   /* keys of resources with errors, a set */
    GHashTable *in_force;  /* keys that are in force, a set */
    GHashTable *used;      /* keys of the templates that are used, a set */
    GHashTable *team_keys; /* team -> json array of key ids, owned */
    uint32_t domains;      /* number of failure domains */
} Merged;

static const Resource *
find_resource(void *ctx, const char *key)
{
    const Merged *m = ctx;
    return g_hash_table_lookup(m->by_key, key);
}

/* Returns the resource of a kind with a name, or NULL. */
static const Resource *
find_named(const Merged *m, const char *kind, const char *name)
{
    char *key = g_strconcat(kind, "/", name, NULL);
    const Resource *r = g_hash_table_lookup(m->by_key, key);
    g_free(key);
    return r;
}

/* Adds resources, of those in force without the ones that instances write
 * themselves or that a newer version knows.  Reports keys that the wanted ones
 * have twice. */
static void
add_resources(Merged *m, const json_t *list, gboolean wanted)
{
    size_t i;
    json_t *each;

    json_array_foreach((json_t *)list, i, each)
    {
        const char *key = json_text_or(each, "key", "");
        ResourceKind kind;
        if (!wanted &&
            (!resource_kind_of(key, &kind) || kind >= kResourceInstance)) {
            continue;
        }
        if (!wanted) {
            g_hash_table_add(m->in_force, (void *)key);
        }
        if (g_hash_table_contains(m->by_key, key)) {
            if (wanted) {
                config_check_add(m->check, kFindingError, key,
                                 "is defined twice");
            }
            continue;
        }
        Resource *r = resource_new(key, 0, 0,
                                   json_incref(json_object_get(each, "spec")));
        g_ptr_array_add(m->resources, r);
        g_hash_table_insert(m->by_key, r->key, r);
    }
}

/* Adds a line of a SchemaErrors as a finding.  Lines of the resource itself
 * begin with its key and the place in it. */
static void
add_schema_error(ConfigCheck *c, const char *key, const char *line)
{
    size_t length = strlen(key);
    const char *end = strstr(line, ": ");

    if (end == NULL || strncmp(line, key, length) != 0) {
        config_check_add(c, kFindingError, key, "%s", line);
        return;
    }
    const char *place = line + length;
    const char *path =
        place[0] == ' '
            ? config_check_string(c, "%s.%.*s", key, (int)(end - place - 1),
                                  place + 1)
            : key;
    config_check_add(c, kFindingError, path, "%s", end + 2);
}

/* Adds what is wrong with one resource. */
static void
check_resource(Merged *m, const Resource *r)
{
    GError *error = NULL;

    if (resource_check(r->key, r->spec, find_resource, m, &error)) {
        return;
    }
    g_hash_table_add(m->invalid, r->key);
    char **lines = g_strsplit(error->message, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        add_schema_error(m->check, r->key, *line);
    }
    g_strfreev(lines);
    g_error_free(error);
}

/* Adds the finding that a list names a resource that does not exist. */
static void
check_reference(Merged *m, const Resource *r, const char *field, size_t i,
                const char *kind, const char *name)
{
    if (name != NULL && find_named(m, kind, name) == NULL) {
        config_check_add(
            m->check, kFindingError,
            config_check_string(m->check, "%s.%s[%zu]", r->key, field, i),
            "%s \"%s\" does not exist", kind, name);
    }
}

/* ---- kinds of resources ---- */

/* Describes the statements of a service's template.  Sets whether one needs
 * no key, and whether a replica may serve one. */
static void
describe_statements(Merged *m, const Resource *template, CheckedRoute *route,
                    guint index)
{
    const char *name;
    json_t *each;

    route->needs_primary = TRUE;
    json_object_foreach(json_object_get(template->spec, "statements"), name,
                        each)
    {
        uint64_t staleness_us =
            (uint64_t)MAX(json_integer_or(each, "max_staleness_ms", 0), 0) *
            kMicrosPerMilli;
        gboolean read = strcmp(json_text_or(each, "kind", ""), "read") == 0;
        route->statements++;
        route->is_public = route->is_public || json_flag(each, "open");
        if (read && staleness_us > 0) {
            CheckedRead r = {.path = config_check_string(m->check,
                                                         "%s.statements.%s",
                                                         template->key, name),
                             .route = index,
                             .max_staleness_us = staleness_us};
            g_array_append_val(m->check->reads, r);
            route->needs_primary = FALSE;
        }
    }
}

/* Describes a service as one route. */
static void
describe_service(Merged *m, const Resource *r)
{
    const char *database = json_text_or(r->spec, "database", "");
    const json_t *teams = json_object_get(r->spec, "teams");
    CheckedRoute route = {.path = r->key,
                          .statements = 1,
                          .is_public = TRUE,
                          .teams = config_check_list(m->check, teams)};
    const Resource *template =
        find_named(m, "template", json_text_or(r->spec, "template", ""));
    size_t i;
    json_t *team;

    /* resource_check reports a database or template that does not exist. */
    if (find_named(m, "database", database) != NULL) {
        route.database = database;
    }
    if (template != NULL) {
        route.statements = 0;
        route.is_public = FALSE;
        describe_statements(m, template, &route, m->check->routes->len);
        g_hash_table_add(m->used, template->key);
    }
    json_array_foreach((json_t *)teams, i, team)
    {
        check_reference(m, r, "teams", i, "team", json_string_value(team));
    }
    g_array_append_val(m->check->routes, route);
}

/* Returns the ids of a team's valid keys. */
static const char *const *
team_keys(const Merged *m, const char *team)
{
    json_t *ids = g_hash_table_lookup(m->team_keys, team);
    return ids == NULL ? NULL : config_check_list(m->check, ids);
}

/* Describes a team.  A team that is not in force yet cannot have keys. */
static void
describe_team(Merged *m, const Resource *r)
{
    const Resource *template =
        find_named(m, "template", json_text_or(r->spec, "template", ""));
    TeamParameters p;

    resource_team_parameters(template == NULL ? NULL : template->spec, r->spec,
                             &p);
    CheckedTeam t = {
        .path = r->key,
        .name = resource_name_of(r->key),
        .keys_known =
            m->base->has_keys && g_hash_table_contains(m->in_force, r->key),
        .keys = team_keys(m, resource_name_of(r->key)),
    };
    if (template != NULL) {
        g_hash_table_add(m->used, template->key);
    }
    if (template != NULL && !g_hash_table_contains(m->invalid, r->key) &&
        !g_hash_table_contains(m->invalid, template->key)) {
        t.rate_milli_per_s = (uint64_t)p.rate_per_s * kMilliPerOne;
        t.burst_milli = (uint64_t)p.burst * kMilliPerOne;
        t.least_burst_milli =
            (uint64_t)limiter_least_burst(p.rate_per_s, m->domains) *
            kMilliPerOne;
        t.max_staleness_us = p.max_staleness_us;
    }
    g_array_append_val(m->check->teams, t);
}

/* Describes a database and its members.  They share its connections evenly;
 * an owner opens at least one for work and one to watch the member. */
static void
describe_database(Merged *m, const Resource *r)
{
    enum { kLeastConnections = 2 };
    const json_t *members = json_object_get(r->spec, "members");
    CheckedDatabase d = {.path = r->key, .name = resource_name_of(r->key)};
    uint32_t connections =
        (uint32_t)json_integer_or(r->spec, "connections", 0);
    gboolean domains_known = find_resource(m, "fleet/main") != NULL;
    uint32_t count = (uint32_t)json_array_size(members);
    size_t i;
    json_t *member;

    g_array_append_val(m->check->databases, d);
    if (g_hash_table_contains(m->invalid, r->key)) {
        return;
    }
    json_array_foreach((json_t *)members, i, member)
    {
        const char *domain = json_text_or(member, "failure_domain", "");
        CheckedServer s = {
            .path = r->key,
            .database = d.name,
            .slots = (uint32_t)json_integer_or(r->spec, "slots", 0),
            .accepted_connections = connections / count,
            .needed_connections = kLeastConnections,
            .work_connections = pool_connection_budget(connections, count)};
        g_array_append_val(m->check->servers, s);
        if (domains_known &&
            !resource_domain_known(domain, find_resource, m)) {
            config_check_add(
                m->check, kFindingError,
                config_check_string(m->check, "%s.members[%zu].failure_domain",
                                    r->key, i),
                "fleet/main has no failure domain \"%s\"", domain);
        }
    }
}

/* Finds defaults of a team template that its own limits forbid to teams. */
static void
check_team_template(ConfigCheck *c, const Resource *r)
{
    const json_t *defaults = json_object_get(r->spec, "defaults");
    const char *name;
    json_t *limit;

    json_object_foreach(json_object_get(r->spec, "limits"), name, limit)
    {
        int64_t value = json_integer_or(defaults, name, 0);
        if (value > json_integer_value(limit)) {
            config_check_add(
                c, kFindingWarning,
                config_check_string(c, "%s.defaults.%s", r->key, name),
                "%" G_GINT64_FORMAT " is above the limit, %" //
                G_GINT64_FORMAT ", that teams may set",
                value, (int64_t)json_integer_value(limit));
        }
    }
}

/* Finds templates that no service or team is made from.  Where there are no
 * services or teams at all, they are kept elsewhere. */
static void
check_templates(Merged *m)
{
    for (guint i = 0; i < m->resources->len; i++) {
        const Resource *r = g_ptr_array_index(m->resources, i);
        gboolean of_service =
            strcmp(json_text_or(r->spec, "for", ""), "service") == 0;
        if (r->kind != kResourceTemplate) {
            continue;
        }
        if (!of_service) {
            check_team_template(m->check, r);
        }
        if (!g_hash_table_contains(m->used, r->key) &&
            (of_service ? m->check->routes_complete
                        : m->check->teams_complete)) {
            config_check_add(m->check, kFindingWarning, r->key,
                             "no %s is made from it",
                             of_service ? "service" : "team");
        }
    }
}

/* Collects the ids of the valid keys of each team. */
static void
collect_keys(Merged *m)
{
    for (guint i = 0; i < m->resources->len; i++) {
        const Resource *r = g_ptr_array_index(m->resources, i);
        if (r->kind != kResourceKey) {
            continue;
        }
        uint64_t expires_ms =
            (uint64_t)MAX(json_integer_or(r->spec, "expires_ms", 0), 0);
        const char *team = json_text_or(r->spec, "team", "");
        if (json_flag(r->spec, "withdrawn") ||
            (expires_ms != 0 && expires_ms <= m->base->now_ms)) {
            continue;
        }
        json_t *ids = g_hash_table_lookup(m->team_keys, team);
        if (ids == NULL) {
            ids = json_array();
            g_hash_table_insert(m->team_keys, (void *)team, ids);
        }
        json_array_append_new(ids, json_string(resource_name_of(r->key)));
    }
}

/* Describes and checks each resource. */
static void
describe_resources(Merged *m)
{
    const Resource *fleet = find_resource(m, "fleet/main");

    m->domains = fleet == NULL ? 1
                               : (uint32_t)json_array_size(json_object_get(
                                     fleet->spec, "failure_domains"));
    collect_keys(m);
    for (guint i = 0; i < m->resources->len; i++) {
        check_resource(m, g_ptr_array_index(m->resources, i));
    }
    for (guint i = 0; i < m->resources->len; i++) {
        const Resource *r = g_ptr_array_index(m->resources, i);
        if (r->kind == kResourceService) {
            describe_service(m, r);
        }
        if (r->kind == kResourceTeam) {
            describe_team(m, r);
        }
        if (r->kind == kResourceDatabase) {
            describe_database(m, r);
        }
    }
}

static void
json_release(void *value)
{
    json_decref(value);
}

/* Checks the wanted resources, objects with "key" and "spec", together with
 * those in force that they leave as they are.  The usual service time and lag
 * are zero if they are not known.  The caller uses the findings of the result
 * only, and frees it with config_check_free. */
ConfigCheck *
check_resources(const json_t *wanted, const CheckBase *base,
                uint64_t service_us, uint64_t lag_us)
{
    ConfigCheck *c = config_check_new(&names);
    Merged m = {
        .check = c,
        .base = base,
        .resources = g_ptr_array_new_with_free_func(resource_free),
        .by_key = g_hash_table_new(g_str_hash, g_str_equal),
        .invalid = g_hash_table_new(g_str_hash, g_str_equal),
        .in_force = g_hash_table_new(g_str_hash, g_str_equal),
        .used = g_hash_table_new(g_str_hash, g_str_equal),
        .team_keys =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, json_release),
    };

    c->service_us = service_us;
    c->lag_us = lag_us;
    add_resources(&m, wanted, TRUE);
    add_resources(&m, base->resources, FALSE);
    describe_resources(&m);
    /* Files may hold a part of the configuration only. */
    c->routes_complete = base->resources != NULL || c->routes->len > 0;
    c->teams_complete = base->resources != NULL || c->teams->len > 0;
    check_templates(&m);
    config_check_run(c);
    g_hash_table_unref(m.team_keys);
    g_hash_table_unref(m.used);
    g_hash_table_unref(m.in_force);
    g_hash_table_unref(m.invalid);
    g_hash_table_unref(m.by_key);
    g_ptr_array_unref(m.resources);
    return c;
}
