#include "core/resource.h"

#include <string.h>

#include "core/error.h"
#include "core/schema.h"

enum {
    kRateMax = 1000000,  /* requests per second */
    kBurstMax = 1000000, /* requests */
    kWeightMax = 1000,
    kStalenessMaxMs = 86400000,
    kLeaseGraceMaxMs = 3600000,
    kWorthMax = 1000,
    kMembersMax = 9, /* members of a database */
    kFailureDomainsMax = 16,
    kSlotsMax = 1000,        /* transactions per member */
    kConnectionsMax = 10000, /* connections to all members of a database */
    kMicrosPerMilli = 1000,
};

/* The first part of the keys of each ResourceKind. */
static const char *const kind_names[kResourceKindCount] = {
    "template", "service",    "team",     "database", "key",
    "fleet",    "evacuation", "instance", "server",   "primary",
};

static const Field team_template_fields[] = {
    {"for", kFieldText, TRUE, 0, 0, "team", "what it describes"},
    {"defaults", kFieldObject, FALSE, 0, 0, NULL, "parameters by default"},
    {"limits", kFieldObject, FALSE, 0, 0, NULL, "highest allowed values"},
};

static const Field team_parameter_fields[] = {
    {"rate", kFieldInteger, FALSE, 1, kRateMax, NULL, "requests a second"},
    {"burst", kFieldInteger, FALSE, 1, kBurstMax, NULL, "requests at once"},
    {"weight", kFieldInteger, FALSE, 1, kWeightMax, NULL, "share of slots"},
    {"max_staleness_ms", kFieldInteger, FALSE, 0, kStalenessMaxMs, NULL,
     "age of data that reads accept"},
    {"lease_grace_ms", kFieldInteger, FALSE, 0, kLeaseGraceMaxMs, NULL,
     "keyed service without a control lease"},
};

static const Field team_fields[] = {
    {"template", kFieldText, TRUE, 0, 0, NULL, "template of the team"},
    {"parameters", kFieldObject, FALSE, 0, 0, NULL, "the team's own values"},
};

static const Field service_template_fields[] = {
    {"for", kFieldText, TRUE, 0, 0, "service", "what it describes"},
    {"statements", kFieldObject, TRUE, 0, 0, NULL, "statements by name"},
};

static const Field statement_fields[] = {
    {"kind", kFieldText, TRUE, 0, 0, "read|write", "what it does"},
    {"sql", kFieldText, TRUE, 0, 0, NULL, "SQL with $1, $2, ..."},
    {"args", kFieldArray, FALSE, 0, 0, NULL, "names of $1, $2, ..."},
    {"open", kFieldBoolean, FALSE, 0, 0, NULL, "needs no key"},
    {"repeatable", kFieldBoolean, FALSE, 0, 0, NULL, "may run twice"},
    {"max_staleness_ms", kFieldInteger, FALSE, 0, kStalenessMaxMs, NULL,
     "age of data that the read accepts"},
    {"worth", kFieldInteger, FALSE, 0, kWorthMax, NULL,
     "precedence within a team"},
};

static const Field service_fields[] = {
    {"template", kFieldText, TRUE, 0, 0, NULL, "template of the service"},
    {"database", kFieldText, TRUE, 0, 0, NULL, "database it runs on"},
    {"teams", kFieldArray, FALSE, 0, 0, NULL,
     "teams it serves; all if absent"},
};

static const Field database_fields[] = {
    {"members", kFieldArray, TRUE, 0, 0, NULL, "members of the group"},
    {"primary", kFieldText, TRUE, 0, 0, NULL, "primary at the start"},
    {"slots", kFieldInteger, TRUE, 1, kSlotsMax, NULL,
     "transactions a member runs at once"},
    {"connections", kFieldInteger, TRUE, 1, kConnectionsMax, NULL,
     "connections of the whole database"},
    {"record_retention_s", kFieldInteger, FALSE, 60, 31536000, NULL,
     "how long a repeat is known, default 86400"},
};

static const Field member_fields[] = {
    {"id", kFieldText, TRUE, 0, 0, NULL, "name of the member"},
    {"failure_domain", kFieldText, TRUE, 0, 0, NULL, "where it runs"},
};

static const Field fleet_fields[] = {
    {"failure_domains", kFieldArray, TRUE, 0, 0, NULL, "names, in order"},
};

static const Field key_fields[] = {
    {"team", kFieldText, TRUE, 0, 0, NULL, "team that holds it"},
    {"hash", kFieldText, TRUE, 0, 0, NULL, "keyed hash"},
    {"expires_ms", kFieldInteger, FALSE, 0, G_MAXINT64, NULL,
     "end, ms since 1970"},
    {"withdrawn", kFieldBoolean, FALSE, 0, 0, NULL, "no longer valid"},
};

/* Creates a resource; takes ownership of the reference to spec. */
Resource *
resource_new(const char *key, uint64_t version, uint64_t index, json_t *spec)
{
    Resource *r = g_new0(Resource, 1);
    r->key = g_strdup(key);
    r->version = version;
    r->index = index;
    r->spec = spec;
    resource_kind_of(key, &r->kind);
    return r;
}

/* Frees a resource. */
void
resource_free(void *resource)
{
    Resource *r = resource;
    json_decref(r->spec);
    g_free(r->key);
    g_free(r);
}

/* Returns the name of a kind as used in keys. */
const char *
resource_kind_name(ResourceKind kind)
{
    return kind_names[kind];
}

/* Stores the kind of a key in kind.  Returns FALSE if the key does not begin
 * with a known kind. */
gboolean
resource_kind_of(const char *key, ResourceKind *kind)
{
    for (int i = 0; i < kResourceKindCount; i++) {
        size_t length = strlen(kind_names[i]);
        if (strncmp(key, kind_names[i], length) == 0 && key[length] == '/') {
            *kind = (ResourceKind)i;
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the part of a key after its kind, as a pointer into the key. */
const char *
resource_name_of(const char *key)
{
    const char *slash = strchr(key, '/');
    return slash == NULL ? key : slash + 1;
}

/* Returns whether all parts of a name, separated by '/', are valid names. */
static gboolean
name_parts_valid(const char *name)
{
    char **parts = g_strsplit(name, "/", -1);
    gboolean ok = g_strv_length(parts) >= 1;
    for (char **p = parts; *p != NULL; p++) {
        ok = ok && schema_name_valid(*p);
    }
    g_strfreev(parts);
    return ok;
}

/* Checks a statement of a service template. */
static void
check_statement(const char *name, const json_t *statement, const char *where,
                SchemaErrors *e)
{
    char *at = g_strdup_printf("%s statements.%s", where, name);
    size_t i;
    json_t *arg;

    if (!schema_name_valid(name)) {
        schema_errors_add(e, at, "is not a valid name");
    }
    schema_check_object(statement, statement_fields,
                        G_N_ELEMENTS(statement_fields), at, e);
    json_array_foreach(json_object_get(statement, "args"), i, arg)
    {
        if (!json_is_string(arg)) {
            schema_errors_add(e, at, "args must hold names");
        }
    }
    if (json_flag(statement, "open") &&
        strcmp(json_text_or(statement, "kind", ""), "write") == 0) {
        schema_errors_add(e, at, "a write cannot be open");
    }
    g_free(at);
}

/* Checks a template: for a service if its field "for" says so, otherwise for a
 * team. */
static void
check_template(const json_t *spec, const char *where, SchemaErrors *e)
{
    const char *name;
    json_t *statement;

    if (strcmp(json_text_or(spec, "for", ""), "service") != 0) {
        schema_check_object(spec, team_template_fields,
                            G_N_ELEMENTS(team_template_fields), where, e);
        const char *const parts[] = {"defaults", "limits"};
        for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
            const json_t *part = json_object_get(spec, parts[i]);
            if (part != NULL) {
                schema_check_object(part, team_parameter_fields,
                                    G_N_ELEMENTS(team_parameter_fields),
                                    parts[i], e);
            }
        }
        return;
    }
    schema_check_object(spec, service_template_fields,
                        G_N_ELEMENTS(service_template_fields), where, e);
    json_object_foreach(json_object_get(spec, "statements"), name, statement)
    {
        check_statement(name, statement, where, e);
    }
}

/* Returns the template that a spec refers to; adds an error and returns NULL
 * if it does not exist or is for another purpose. */
static const Resource *
lookup_template(const json_t *spec, const char *purpose, const char *where,
                ResourceLookup lookup, void *ctx, SchemaErrors *e)
{
    const char *name = json_text_or(spec, "template", "");
    char *key = g_strdup_printf("template/%s", name);
    const Resource *r = lookup(ctx, key);

    g_free(key);
    if (r == NULL || strcmp(json_text_or(r->spec, "for", ""), purpose) != 0) {
        schema_errors_add(e, where, "template \"%s\" for a %s does not exist",
                          name, purpose);
        return NULL;
    }
    return r;
}

/* Checks a team, and its parameters against the limits of its template. */
static void
check_team(const json_t *spec, const char *where, ResourceLookup lookup,
           void *ctx, SchemaErrors *e)
{
    schema_check_object(spec, team_fields, G_N_ELEMENTS(team_fields), where,
                        e);
    const Resource *t = lookup_template(spec, "team", where, lookup, ctx, e);
    const json_t *parameters = json_object_get(spec, "parameters");
    if (parameters == NULL) {
        return;
    }
    schema_check_object(parameters, team_parameter_fields,
                        G_N_ELEMENTS(team_parameter_fields), where, e);
    if (t == NULL) {
        return;
    }
    const char *name;
    json_t *limit;
    json_object_foreach(json_object_get(t->spec, "limits"), name, limit)
    {
        int64_t value = json_integer_or(parameters, name, 0);
        if (value > json_integer_value(limit)) {
            schema_errors_add(
                e, where,
                "%s is %" G_GINT64_FORMAT
                ", the template allows at most %" G_GINT64_FORMAT,
                name, value, (int64_t)json_integer_value(limit));
        }
    }
}

/* Checks a service, and that its template and database exist. */
static void
check_service(const json_t *spec, const char *where, ResourceLookup lookup,
              void *ctx, SchemaErrors *e)
{
    size_t i;
    json_t *team;

    schema_check_object(spec, service_fields, G_N_ELEMENTS(service_fields),
                        where, e);
    lookup_template(spec, "service", where, lookup, ctx, e);
    const char *database = json_text_or(spec, "database", "");
    char *key = g_strdup_printf("database/%s", database);
    if (lookup(ctx, key) == NULL) {
        schema_errors_add(e, where, "database \"%s\" does not exist",
                          database);
    }
    g_free(key);
    json_array_foreach(json_object_get(spec, "teams"), i, team)
    {
        if (!json_is_string(team)) {
            schema_errors_add(e, where, "teams must hold names");
        }
    }
}

/* Checks a database, its members, and that its primary is one of them. */
static void
check_database(const json_t *spec, const char *where, SchemaErrors *e)
{
    size_t i;
    json_t *member;
    gboolean primary_found = FALSE;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    schema_check_object(spec, database_fields, G_N_ELEMENTS(database_fields),
                        where, e);
    const json_t *members = json_object_get(spec, "members");
    size_t count = json_array_size(members);
    if (count < 1 || count > kMembersMax) {
        schema_errors_add(e, where, "members must be 1 to %d, found %zu",
                          kMembersMax, count);
    }
    json_array_foreach(members, i, member)
    {
        schema_check_object(member, member_fields, G_N_ELEMENTS(member_fields),
                            where, e);
        const char *id = json_text_or(member, "id", "");
        if (!schema_name_valid(id) || !g_hash_table_add(seen, (void *)id)) {
            schema_errors_add(e, where,
                              "member id \"%s\" is not a valid name "
                              "or stands twice",
                              id);
        }
        primary_found = primary_found ||
                        strcmp(id, json_text_or(spec, "primary", "")) == 0;
    }
    if (!primary_found) {
        schema_errors_add(e, where, "primary is not one of the members");
    }
    g_hash_table_destroy(seen);
}

/* Checks an access key, and that its team exists. */
static void
check_key(const json_t *spec, const char *where, ResourceLookup lookup,
          void *ctx, SchemaErrors *e)
{
    schema_check_object(spec, key_fields, G_N_ELEMENTS(key_fields), where, e);
    char *team = g_strdup_printf("team/%s", json_text_or(spec, "team", ""));
    if (lookup(ctx, team) == NULL) {
        schema_errors_add(e, where, "%s does not exist", team);
    }
    g_free(team);
}

/* Checks the list of failure domains. */
static void
check_fleet(const json_t *spec, const char *where, SchemaErrors *e)
{
    size_t i;
    json_t *domain;
    const json_t *domains = json_object_get(spec, "failure_domains");

    schema_check_object(spec, fleet_fields, G_N_ELEMENTS(fleet_fields), where,
                        e);
    if (json_array_size(domains) < 1 ||
        json_array_size(domains) > kFailureDomainsMax) {
        schema_errors_add(e, where, "failure_domains must be 1 to %d",
                          kFailureDomainsMax);
    }
    json_array_foreach((json_t *)domains, i, domain)
    {
        if (!json_is_string(domain) ||
            !schema_name_valid(json_string_value(domain))) {
            schema_errors_add(e, where, "failure_domains must hold names");
        }
    }
}

/* Returns whether "fleet/main" lists a failure domain. */
gboolean
resource_domain_known(const char *domain, ResourceLookup lookup, void *ctx)
{
    const Resource *fleet = lookup(ctx, "fleet/main");
    size_t i;
    json_t *known;

    if (fleet == NULL) {
        return FALSE;
    }
    json_array_foreach(json_object_get(fleet->spec, "failure_domains"), i,
                       known)
    {
        if (g_strcmp0(json_string_value(known), domain) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Checks a resource, and that the resources it refers to exist; finds these
 * with lookup, which gets ctx.  On errors returns FALSE with
 * kCoreErrorInvalid, whose message has one line for each error, or with
 * kCoreErrorNotFound for the evacuation of an unknown failure domain. */
gboolean
resource_check(const char *key, const json_t *spec, ResourceLookup lookup,
               void *ctx, GError **error)
{
    ResourceKind kind;
    SchemaErrors e;

    schema_errors_init(&e);
    if (!resource_kind_of(key, &kind) ||
        !name_parts_valid(resource_name_of(key))) {
        schema_errors_add(&e, key, "is not KIND/NAME with a known kind");
        return schema_errors_raise(&e, error);
    }
    switch (kind) {
    case kResourceTemplate:
        check_template(spec, key, &e);
        break;
    case kResourceTeam:
        check_team(spec, key, lookup, ctx, &e);
        break;
    case kResourceService:
        check_service(spec, key, lookup, ctx, &e);
        break;
    case kResourceDatabase:
        check_database(spec, key, &e);
        break;
    case kResourceKey:
        check_key(spec, key, lookup, ctx, &e);
        break;
    case kResourceFleet:
        check_fleet(spec, key, &e);
        break;
    case kResourceEvacuation:
        schema_check_object(spec, NULL, 0, key, &e);
        if (e.count == 0 &&
            !resource_domain_known(resource_name_of(key), lookup, ctx)) {
            schema_errors_clear(&e);
            g_set_error(error, CORE_ERROR, kCoreErrorNotFound,
                        "%s: fleet/main has no such failure domain", key);
            return FALSE;
        }
        break;
    case kResourceInstance:
    case kResourceServer:
    case kResourcePrimary:
    case kResourceKindCount:
        if (!json_is_object(spec)) {
            schema_errors_add(&e, key, "must be a table");
        }
        break;
    }
    return schema_errors_raise(&e, error);
}

/* Returns a parameter of a team: the team's own value, else the default of the
 * template, else fallback. */
static int64_t
team_parameter(const json_t *template, const json_t *team, const char *name,
               int64_t fallback)
{
    const json_t *defaults = json_object_get(template, "defaults");
    const json_t *own = json_object_get(team, "parameters");
    return json_integer_or(own, name,
                           json_integer_or(defaults, name, fallback));
}

/* Fills the parameters of a team, each with the team's own value, else the
 * default of the template, else a built-in default.  Both specs may be
 * NULL. */
void
resource_team_parameters(const json_t *template, const json_t *team,
                         TeamParameters *out)
{
    enum { kDefaultRate = 10, kDefaultBurst = 20 };

    out->rate_per_s =
        (uint32_t)team_parameter(template, team, "rate", kDefaultRate);
    out->burst =
        (uint32_t)team_parameter(template, team, "burst", kDefaultBurst);
    out->weight = (uint32_t)team_parameter(template, team, "weight", 1);
    out->max_staleness_us =
        (uint64_t)team_parameter(template, team, "max_staleness_ms",
                                 kStalenessMaxMs) *
        kMicrosPerMilli;
    out->lease_grace_us =
        (uint64_t)team_parameter(template, team, "lease_grace_ms", 0) *
        kMicrosPerMilli;
}
