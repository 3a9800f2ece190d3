#include "core/config_check.h"

#include <stdarg.h>
#include <string.h>

#include "core/schema.h"

/* Finds entries of a configuration that have no effect and values that
 * contradict each other, before the configuration is sent.  A rule that needs
 * a number which is not known finds nothing. */

enum { kMicrosPerSecond = 1000000 };

static const double kMicrosPerMilli = 1000;
static const double kMilliPerOne = 1000;

/* How reports name each FindingSeverity. */
static const char *const severity_names[] = {"error", "warning"};

static void
finding_free(void *data)
{
    ConfigFinding *f = data;
    g_free(f->path);
    g_free(f->message);
    g_free(f);
}

/* Creates an empty description for a format with these names; free it with
 * config_check_free. */
ConfigCheck *
config_check_new(const ConfigNames *names)
{
    ConfigCheck *c = g_new0(ConfigCheck, 1);
    c->names = *names;
    c->routes = g_array_new(FALSE, TRUE, sizeof(CheckedRoute));
    c->reads = g_array_new(FALSE, TRUE, sizeof(CheckedRead));
    c->teams = g_array_new(FALSE, TRUE, sizeof(CheckedTeam));
    c->databases = g_array_new(FALSE, TRUE, sizeof(CheckedDatabase));
    c->servers = g_array_new(FALSE, TRUE, sizeof(CheckedServer));
    c->findings = g_ptr_array_new_with_free_func(finding_free);
    c->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->strings = g_string_chunk_new(4096);
    c->lists = g_ptr_array_new_with_free_func(g_free);
    return c;
}

/* Frees a description with its findings and strings. */
void
config_check_free(ConfigCheck *c)
{
    g_array_unref(c->routes);
    g_array_unref(c->reads);
    g_array_unref(c->teams);
    g_array_unref(c->databases);
    g_array_unref(c->servers);
    g_clear_pointer(&c->regions, g_hash_table_unref);
    g_ptr_array_unref(c->findings);
    g_hash_table_unref(c->known);
    g_ptr_array_unref(c->lists);
    g_string_chunk_free(c->strings);
    g_free(c);
}

/* Returns a formatted string that the description owns. */
const char *
config_check_string(ConfigCheck *c, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    const char *stored = g_string_chunk_insert(c->strings, text);
    g_free(text);
    return stored;
}

/* Returns the texts of a JSON array as a NULL-terminated list that the
 * description owns.  An element that is not a text becomes an empty text, so
 * that positions are kept.  Returns NULL if it is not an array. */
const char *const *
config_check_list(ConfigCheck *c, const json_t *list)
{
    size_t count = json_array_size(list);

    if (!json_is_array(list)) {
        return NULL;
    }
    const char **out = g_new0(const char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        const char *text = json_string_value(json_array_get(list, i));
        out[i] = g_string_chunk_insert(c->strings, text == NULL ? "" : text);
    }
    g_ptr_array_add(c->lists, out);
    return out;
}

/* Adds a finding, unless the same one is known: entries that share a template
 * share its faults. */
void
config_check_add(ConfigCheck *c, FindingSeverity severity, const char *path,
                 const char *format, ...)
{
    va_list args;

    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    /* A value may have been cut within a character. */
    char *message = g_utf8_make_valid(text, -1);
    g_free(text);
    if (g_hash_table_add(c->known, g_strdup_printf("%s: %s", path, message))) {
        ConfigFinding *f = g_new(ConfigFinding, 1);
        *f = (ConfigFinding){severity, g_strdup(path), message};
        g_ptr_array_add(c->findings, f);
        return;
    }
    g_free(message);
}

/* Returns the path of a field of an entry. */
static const char *
field_path(ConfigCheck *c, const char *entry, const char *field)
{
    return config_check_string(c, "%s.%s", entry, field);
}

/* ---- references between entries ---- */

/* Slots of the servers of a database. */
typedef struct {
    gboolean unknown; /* those of a server are not known */
    uint64_t sum;
    uint64_t most; /* of one server */
} DatabaseSlots;

/* Indexes of the description, for the rules. */
typedef struct {
    GHashTable *paths; /* name of a database -> path of the last one with it */
    GHashTable *slots; /* name of a database -> DatabaseSlots, owned */
} Index;

static void
index_init(Index *x, const ConfigCheck *c)
{
    x->paths = g_hash_table_new(g_str_hash, g_str_equal);
    x->slots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < c->databases->len; i++) {
        const CheckedDatabase *d =
            &g_array_index(c->databases, CheckedDatabase, i);
        g_hash_table_insert(x->paths, (void *)d->name, (void *)d->path);
    }
    for (guint i = 0; i < c->servers->len; i++) {
        const CheckedServer *s = &g_array_index(c->servers, CheckedServer, i);
        DatabaseSlots *d = g_hash_table_lookup(x->slots, s->database);
        if (d == NULL) {
            d = g_new0(DatabaseSlots, 1);
            g_hash_table_insert(x->slots, (void *)s->database, d);
        }
        d->unknown = d->unknown || s->slots == 0;
        d->sum += s->slots;
        d->most = MAX(d->most, s->slots);
    }
}

static void
index_clear(Index *x)
{
    g_hash_table_unref(x->paths);
    g_hash_table_unref(x->slots);
}

/* Returns whether two lists of regions allow a common one; NULL allows
 * all. */
static gboolean
regions_overlap(const char *const *a, const char *const *b)
{
    if (a == NULL || b == NULL) {
        return TRUE;
    }
    for (; *a != NULL; a++) {
        if (g_strv_contains(b, *a)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether a route serves a team, as far as the configuration says. */
static gboolean
serves(const CheckedRoute *r, const CheckedTeam *t)
{
    return (r->teams == NULL || g_strv_contains(r->teams, t->name)) &&
           regions_overlap(r->regions, t->regions);
}

/* Returns whether a route serves any of the teams. */
static gboolean
serves_any(const ConfigCheck *c, const CheckedRoute *r)
{
    for (guint i = 0; i < c->teams->len; i++) {
        if (serves(r, &g_array_index(c->teams, CheckedTeam, i))) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Finds routes and databases that a later one with the same name replaces. */
static void
find_replaced(ConfigCheck *c, const Index *x)
{
    GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        if (r->selector != NULL) {
            g_hash_table_insert(last, (void *)r->selector, (void *)r->path);
        }
    }
    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        const char *other = r->selector == NULL
                                ? NULL
                                : g_hash_table_lookup(last, r->selector);
        if (other != NULL && strcmp(other, r->path) != 0) {
            config_check_add(c, kFindingWarning, r->path,
                             "gets no request: all for \"%s\" go to %s",
                             r->selector, other);
        }
    }
    g_hash_table_unref(last);
    for (guint i = 0; i < c->databases->len; i++) {
        const CheckedDatabase *d =
            &g_array_index(c->databases, CheckedDatabase, i);
        const char *other = g_hash_table_lookup(x->paths, d->name);
        if (strcmp(other, d->path) != 0) {
            config_check_add(c, kFindingWarning, d->path,
                             "has no effect: %s has the same name, \"%s\"",
                             other, d->name);
        }
    }
}

/* Finds a reference of a route to a database that does not exist, and a route
 * that nobody can use. */
static void
check_route_use(ConfigCheck *c, const Index *x, const CheckedRoute *r)
{
    if (r->database != NULL && !g_hash_table_contains(x->paths, r->database)) {
        config_check_add(c, kFindingError,
                         field_path(c, r->path, c->names.database),
                         "\"%s\" does not exist", r->database);
    }
    if (r->statements == 0) {
        config_check_add(c, kFindingWarning, r->path,
                         "has no statement that callers could name");
    }
    if (r->is_public || r->statements == 0) {
        return;
    }
    if (r->teams != NULL && r->teams[0] == NULL) {
        config_check_add(c, kFindingWarning, r->path,
                         "needs a key, and its list of teams is empty");
    }
    else if (c->teams_complete && !serves_any(c, r)) {
        config_check_add(c, kFindingWarning, r->path,
                         "needs a key, and none of %u teams may use it",
                         c->teams->len);
    }
}

/* Finds teams without keys or routes. */
static void
check_team_use(ConfigCheck *c, const CheckedTeam *t)
{
    gboolean served = FALSE;

    for (guint i = 0; i < c->routes->len; i++) {
        served =
            served || serves(&g_array_index(c->routes, CheckedRoute, i), t);
    }
    if (c->routes_complete && !served) {
        config_check_add(c, kFindingWarning, t->path,
                         "none of %u routes serves the team", c->routes->len);
    }
    if (t->keys_known && (t->keys == NULL || t->keys[0] == NULL)) {
        config_check_add(c, kFindingWarning, t->path,
                         "has no valid key, so no request counts as its");
    }
}

/* Finds keys that two teams have.  Findings name the places, not the keys,
 * which are secret. */
static void
find_shared_keys(ConfigCheck *c)
{
    GHashTable *holders = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < c->teams->len; i++) {
        const CheckedTeam *t = &g_array_index(c->teams, CheckedTeam, i);
        for (guint k = 0; t->keys != NULL && t->keys[k] != NULL; k++) {
            if (t->keys[k][0] == '\0') {
                continue; /* it is not a text */
            }
            const CheckedTeam *other =
                g_hash_table_lookup(holders, t->keys[k]);
            if (other != NULL && other != t) {
                config_check_add(c, kFindingError,
                                 config_check_string(c, "%s.%s[%u]", t->path,
                                                     c->names.keys, k),
                                 "%s has the same key", other->path);
            }
            g_hash_table_insert(holders, (void *)t->keys[k], (void *)t);
        }
    }
    g_hash_table_unref(holders);
}

/* ---- limits ---- */

/* Finds a timeout that ends requests too early. */
static void
check_timeout(ConfigCheck *c, const CheckedRoute *r)
{
    if (r->timeout_us == 0) {
        return;
    }
    const char *path = field_path(c, r->path, c->names.timeout);
    if (r->timeout_us < c->service_us) {
        config_check_add(c, kFindingError, path,
                         "%g ms is below the usual service time, %g ms",
                         (double)r->timeout_us / kMicrosPerMilli,
                         (double)c->service_us / kMicrosPerMilli);
    }
    if (r->timeout_us < r->objective_us) {
        config_check_add(c, kFindingWarning, path,
                         "%g ms is below the latency objective, %g ms",
                         (double)r->timeout_us / kMicrosPerMilli,
                         (double)r->objective_us / kMicrosPerMilli);
    }
}

/* Adds the finding that replicas with the usual lag do not meet a
 * staleness. */
static void
add_staleness(ConfigCheck *c, const char *entry, uint64_t max_staleness_us)
{
    config_check_add(c, kFindingWarning,
                     field_path(c, entry, c->names.staleness),
                     "%g ms is below the usual lag, %g ms: the primary serves "
                     "these reads",
                     (double)max_staleness_us / kMicrosPerMilli,
                     (double)c->lag_us / kMicrosPerMilli);
}

/* Finds reads whose staleness is below the usual lag, and teams whose cap
 * makes it so. */
static void
check_staleness(ConfigCheck *c)
{
    for (guint i = 0; i < c->reads->len; i++) {
        const CheckedRead *r = &g_array_index(c->reads, CheckedRead, i);
        const CheckedRoute *route =
            &g_array_index(c->routes, CheckedRoute, r->route);
        if (r->max_staleness_us == 0) {
            continue;
        }
        if (r->max_staleness_us < c->lag_us) {
            add_staleness(c, r->path, r->max_staleness_us);
            continue;
        }
        for (guint k = 0; k < c->teams->len; k++) {
            const CheckedTeam *t = &g_array_index(c->teams, CheckedTeam, k);
            if (t->max_staleness_us != 0 && t->max_staleness_us < c->lag_us &&
                serves(route, t)) {
                add_staleness(c, t->path, t->max_staleness_us);
            }
        }
    }
}

/* Returns how many requests run at once at the servers that a team's routes
 * reach, at most; zero if that is not known.  A primary alone serves a
 * database whose routes all need it. */
static uint64_t
team_slots(const ConfigCheck *c, const Index *x, const CheckedTeam *t)
{
    GHashTable *replicas = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    void *name;
    void *value;
    uint64_t slots = 0;
    gboolean known = TRUE;

    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        if (!serves(r, t)) {
            continue;
        }
        known = known && r->database != NULL;
        if (r->database != NULL &&
            (!r->needs_primary ||
             !g_hash_table_contains(replicas, r->database))) {
            g_hash_table_insert(replicas, (void *)r->database,
                                GINT_TO_POINTER(!r->needs_primary));
        }
    }
    g_hash_table_iter_init(&it, replicas);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        const DatabaseSlots *d = g_hash_table_lookup(x->slots, name);
        known = known && d != NULL && !d->unknown;
        if (d != NULL) {
            slots += GPOINTER_TO_INT(value) ? d->sum : d->most;
        }
    }
    g_hash_table_unref(replicas);
    return known ? slots : 0;
}

/* Finds a burst with which no request is served, and a rate that all servers
 * together cannot serve. */
static void
check_rate(ConfigCheck *c, const Index *x, const CheckedTeam *t)
{
    double rate = (double)t->rate_milli_per_s / kMilliPerOne;

    if (t->rate_milli_per_s != 0 && t->burst_milli < t->least_burst_milli) {
        config_check_add(c, kFindingError,
                         field_path(c, t->path, c->names.burst),
                         "with %g and a rate of %g a second, no request is "
                         "ever served; at least %g is needed",
                         (double)t->burst_milli / kMilliPerOne, rate,
                         (double)t->least_burst_milli / kMilliPerOne);
    }
    uint64_t slots = c->service_us == 0 ? 0 : team_slots(c, x, t);
    double capacity = c->service_us == 0 ? 0
                                         : (double)slots * kMicrosPerSecond /
                                               (double)c->service_us;
    if (slots != 0 && rate > capacity) {
        config_check_add(
            c, kFindingWarning, field_path(c, t->path, c->names.rate),
            "%g a second is above the %g that %" G_GUINT64_FORMAT
            " slots can serve with a service time of %g ms",
            rate, capacity, slots, (double)c->service_us / kMicrosPerMilli);
    }
}

/* Finds limits of a server's connections that are exceeded, and slots that
 * its connections cannot fill. */
static void
check_server(ConfigCheck *c, const CheckedServer *s)
{
    if (s->accepted_connections != 0 &&
        s->needed_connections > s->accepted_connections) {
        config_check_add(c, kFindingError,
                         field_path(c, s->path, c->names.connections),
                         "leaves a server %u connections, and its owner opens "
                         "at least %u",
                         s->accepted_connections, s->needed_connections);
    }
    else if (s->work_connections != 0 && s->slots > s->work_connections) {
        config_check_add(c, kFindingWarning,
                         field_path(c, s->path, c->names.slots),
                         "%u slots of a server cannot be filled: its owner "
                         "has %u connections for work",
                         s->slots, s->work_connections);
    }
}

/* Finds allowed regions that hold no server. */
static void
check_regions(ConfigCheck *c, const char *entry, const char *const *regions)
{
    guint count = 0;
    guint held = 0;

    if (c->regions == NULL || regions == NULL) {
        return;
    }
    for (; regions[count] != NULL; count++) {
        held += g_hash_table_contains(c->regions, regions[count]);
    }
    const char *path = field_path(c, entry, c->names.regions);
    if (count > 0 && held == 0) {
        char *all = g_strjoinv(", ", (char **)regions);
        config_check_add(c, kFindingError, path,
                         "no failure domain is in %s: all its work is refused",
                         all);
        g_free(all);
        return;
    }
    for (guint i = 0; i < count; i++) {
        if (!g_hash_table_contains(c->regions, regions[i])) {
            config_check_add(c, kFindingWarning,
                             config_check_string(c, "%s[%u]", path, i),
                             "no failure domain is in \"%s\"", regions[i]);
        }
    }
}

/* The lowest priority that was found of each level, and the priorities that
 * were reported. */
typedef struct {
    GHashTable *lowest;   /* level -> priority */
    GHashTable *reported; /* set of priorities */
} Priorities;

static void
note_priority(Priorities *p, uint32_t priority, uint32_t level)
{
    void *key = GUINT_TO_POINTER(level);
    void *lowest;

    if (!g_hash_table_lookup_extended(p->lowest, key, NULL, &lowest) ||
        priority < GPOINTER_TO_UINT(lowest)) {
        g_hash_table_insert(p->lowest, key, GUINT_TO_POINTER(priority));
    }
}

/* Finds a priority that has the same effect as a lower one in use; the first
 * entry with it stands for all. */
static void
check_priority(ConfigCheck *c, Priorities *p, const char *entry,
               uint32_t priority, uint32_t level)
{
    uint32_t lowest = GPOINTER_TO_UINT(
        g_hash_table_lookup(p->lowest, GUINT_TO_POINTER(level)));

    if (priority != lowest &&
        g_hash_table_add(p->reported, GUINT_TO_POINTER(priority))) {
        config_check_add(c, kFindingWarning,
                         field_path(c, entry, c->names.priority),
                         "%u has the same effect at a server as %u, which "
                         "others have",
                         priority, lowest);
    }
}

/* Finds priorities of routes, and of teams, that are beyond the range in which
 * they differ in effect. */
static void
check_priorities(ConfigCheck *c)
{
    Priorities p = {g_hash_table_new(NULL, NULL),
                    g_hash_table_new(NULL, NULL)};

    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        note_priority(&p, r->priority, r->level);
    }
    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        check_priority(c, &p, r->path, r->priority, r->level);
    }
    g_hash_table_remove_all(p.lowest);
    g_hash_table_remove_all(p.reported);
    for (guint i = 0; i < c->teams->len; i++) {
        const CheckedTeam *t = &g_array_index(c->teams, CheckedTeam, i);
        note_priority(&p, t->priority, t->level);
    }
    for (guint i = 0; i < c->teams->len; i++) {
        const CheckedTeam *t = &g_array_index(c->teams, CheckedTeam, i);
        check_priority(c, &p, t->path, t->priority, t->level);
    }
    g_hash_table_unref(p.lowest);
    g_hash_table_unref(p.reported);
}

/* Applies all rules to the description and adds what they find. */
void
config_check_run(ConfigCheck *c)
{
    Index x;

    index_init(&x, c);
    find_replaced(c, &x);
    for (guint i = 0; i < c->routes->len; i++) {
        const CheckedRoute *r = &g_array_index(c->routes, CheckedRoute, i);
        check_route_use(c, &x, r);
        check_timeout(c, r);
        check_regions(c, r->path, r->regions);
    }
    for (guint i = 0; i < c->teams->len; i++) {
        const CheckedTeam *t = &g_array_index(c->teams, CheckedTeam, i);
        check_team_use(c, t);
        check_rate(c, &x, t);
        check_regions(c, t->path, t->regions);
    }
    check_staleness(c);
    find_shared_keys(c);
    for (guint i = 0; i < c->servers->len; i++) {
        check_server(c, &g_array_index(c->servers, CheckedServer, i));
    }
    check_priorities(c);
    index_clear(&x);
}

/* Returns whether a usual service time or lag can be used; zero stands for one
 * that is not known.  FALSE for a time that is not a number, too. */
gboolean
config_check_time_valid(double ms)
{
    return ms >= 0 && ms <= kConfigCheckMaxTimeMs;
}

/* ---- differences and reports ---- */

/* Returns a table from the keys of entries, which are objects with "key" and
 * "spec", to the specs. */
static GHashTable *
specs_by_key(const json_t *entries)
{
    GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
    json_t *each;
    size_t i;

    json_array_foreach((json_t *)entries, i, each)
    {
        g_hash_table_insert(out, (void *)json_text_or(each, "key", ""),
                            json_object_get(each, "spec"));
    }
    return out;
}

static void
add_difference(json_t *out, const char *change, const char *key)
{
    json_array_append_new(
        out, json_pack("{s:s, s:s}", "change", change, "key", key));
}

/* Returns how wanted entries differ from the current ones, as objects with
 * "change" (add, change, remove) and "key".  Entries are objects with "key"
 * and "spec".  Current entries that are not wanted count as removed only if
 * the wanted ones are the whole configuration.  The caller owns the result. */
json_t *
config_check_differences(const json_t *wanted, const json_t *current,
                         gboolean whole)
{
    GHashTable *old = specs_by_key(current);
    GHashTable *new = specs_by_key(wanted);
    json_t *out = json_array();
    json_t *each;
    size_t i;

    json_array_foreach((json_t *)wanted, i, each)
    {
        const char *key = json_text_or(each, "key", "");
        if (!g_hash_table_contains(old, key)) {
            add_difference(out, "add", key);
        }
        else if (!json_equal(g_hash_table_lookup(old, key),
                             json_object_get(each, "spec"))) {
            add_difference(out, "change", key);
        }
    }
    json_array_foreach((json_t *)current, i, each)
    {
        const char *key = json_text_or(each, "key", "");
        if (whole && !g_hash_table_contains(new, key)) {
            add_difference(out, "remove", key);
        }
    }
    g_hash_table_unref(new);
    g_hash_table_unref(old);
    return out;
}

/* Returns the differences as lines of text, which the caller frees. */
char *
config_check_differences_text(const json_t *differences)
{
    GString *out = g_string_new(NULL);
    json_t *each;
    size_t i;

    json_array_foreach((json_t *)differences, i, each)
    {
        g_string_append_printf(out, "%-7s%s\n",
                               json_text_or(each, "change", ""),
                               json_text_or(each, "key", ""));
    }
    if (out->len == 0) {
        g_string_append(out, "nothing differs\n");
    }
    return g_string_free(out, FALSE);
}

/* Returns the report as a JSON object. */
static json_t *
report_json(const ConfigCheck *c, const json_t *differences)
{
    json_t *findings = json_array();

    for (guint i = 0; i < c->findings->len; i++) {
        const ConfigFinding *f = g_ptr_array_index(c->findings, i);
        json_array_append_new(findings,
                              json_pack("{s:s, s:s, s:s}", "severity",
                                        severity_names[f->severity], "path",
                                        f->path, "message", f->message));
    }
    json_t *report = json_pack("{s:o}", "findings", findings);
    if (differences != NULL) {
        json_object_set(report, "differences", (json_t *)differences);
    }
    return report;
}

/* Returns the findings, and the differences unless they are NULL, as text or
 * as one JSON object; the caller frees it. */
char *
config_check_report(const ConfigCheck *c, const json_t *differences,
                    gboolean json)
{
    GString *out = g_string_new(NULL);

    if (json) {
        json_t *report = report_json(c, differences);
        char *text = json_dumps(report, JSON_INDENT(2) | JSON_SORT_KEYS);
        g_string_append_printf(out, "%s\n", text);
        free(text);
        json_decref(report);
        return g_string_free(out, FALSE);
    }
    for (guint i = 0; i < c->findings->len; i++) {
        const ConfigFinding *f = g_ptr_array_index(c->findings, i);
        g_string_append_printf(out, "%-8s%s: %s\n",
                               severity_names[f->severity], f->path,
                               f->message);
    }
    if (differences != NULL) {
        char *text = config_check_differences_text(differences);
        g_string_append(out, text);
        g_free(text);
    }
    g_string_append_printf(out, "%u findings\n", c->findings->len);
    return g_string_free(out, FALSE);
}
