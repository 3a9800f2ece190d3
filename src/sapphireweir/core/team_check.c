#include "core/team_check.h"

#include <string.h>

#include "core/entry_defs.h"
#include "core/schema.h"

/* Finds teams that a change would leave without any service, since their burst
 * never holds one token.  The control leader asks before it proposes a change:
 * state_apply must decide alike on every version of the programs and on old
 * log entries, so it can't reject what it used to accept. */

/* The state as it would be after a change. */
typedef struct {
    State *state;
    const json_t *changes;
} ChangedView;

/* Returns whether the changes concern a resource.  Stores its new spec, NULL
 * if it is deleted; the last change of a resource counts. */
static gboolean
find_change(const json_t *changes, const char *key, const json_t **spec)
{
    gboolean found = FALSE;
    size_t i;
    json_t *change;

    json_array_foreach((json_t *)changes, i, change)
    {
        if (strcmp(json_text_or(change, "key", ""), key) == 0) {
            const json_t *wanted = json_object_get(change, "spec");
            *spec = json_is_object(wanted) ? wanted : NULL;
            found = TRUE;
        }
    }
    return found;
}

/* Returns the spec that a resource would have, or NULL. */
static const json_t *
changed_spec(const ChangedView *v, const char *key)
{
    const json_t *spec = NULL;

    if (find_change(v->changes, key, &spec)) {
        return spec;
    }
    const Resource *r = state_lookup(v->state, key);
    return r == NULL ? NULL : r->spec;
}

/* Returns the number of failure domains, 1 without a list. */
static uint32_t
count_domains(const ChangedView *v)
{
    const json_t *fleet = changed_spec(v, "fleet/main");
    size_t count = json_array_size(json_object_get(fleet, "failure_domains"));
    return (uint32_t)MAX(count, 1);
}

/* Returns whether a parameter of a team is missing or one that
 * resource_check accepts, so that its value can be used here. */
static gboolean
parameter_usable(const json_t *parameters, const char *name)
{
    enum { kParameterMax = 1000000 };
    const json_t *value = json_object_get(parameters, name);
    return value == NULL ||
           (json_is_integer(value) && json_integer_value(value) >= 1 &&
            json_integer_value(value) <= kParameterMax);
}

/* Returns why a team would never be served, or NULL.  Leaves an invalid team
 * to resource_check. */
static char *
check_team(const ChangedView *v, const char *key)
{
    const json_t *team = changed_spec(v, key);
    char *template_key =
        g_strdup_printf("template/%s", json_text_or(team, "template", ""));
    const json_t *template = changed_spec(v, template_key);
    const json_t *sources[] = {json_object_get(template, "defaults"),
                               json_object_get(team, "parameters")};
    TeamParameters p;

    g_free(template_key);
    if (team == NULL || template == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sources); i++) {
        if (!parameter_usable(sources[i], "rate") ||
            !parameter_usable(sources[i], "burst")) {
            return NULL;
        }
    }
    resource_team_parameters(template, team, &p);
    uint32_t least = limiter_least_burst(p.rate_per_s, count_domains(v));
    if (p.burst >= least) {
        return NULL;
    }
    return g_strdup_printf("%s: with a burst of %u and a rate of %u a second, "
                           "no request is ever served; a burst of at least "
                           "%u is needed",
                           key, p.burst, p.rate_per_s, least);
}

/* Returns whether a team, its template or the list of failure domains is among
 * the changes.  Other teams are not checked, since an older version may have
 * accepted them. */
static gboolean
team_changes(const ChangedView *v, const char *key)
{
    const json_t *spec;
    char *template_key = g_strdup_printf(
        "template/%s", json_text_or(changed_spec(v, key), "template", ""));
    gboolean changes = find_change(v->changes, key, &spec) ||
                       find_change(v->changes, template_key, &spec) ||
                       find_change(v->changes, "fleet/main", &spec);
    g_free(template_key);
    return changes;
}

/* Returns why a change must be rejected: it would leave a team with a burst
 * that never holds one token.  Returns NULL if there is no such team; the
 * caller frees the result.  changes is a list of objects with "key" and
 * "spec". */
char *
team_check_bursts(State *s, const json_t *changes)
{
    const ChangedView v = {s, changes};
    char *reason = NULL;
    GHashTableIter it;
    void *value;
    size_t i;
    json_t *change;

    json_array_foreach((json_t *)changes, i, change)
    {
        ResourceKind kind;
        const char *key = json_text_or(change, "key", "");
        if (reason == NULL && resource_kind_of(key, &kind) &&
            kind == kResourceTeam) {
            reason = check_team(&v, key);
        }
    }
    g_hash_table_iter_init(&it, state_resources(s));
    while (reason == NULL && g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        if (r->kind == kResourceTeam && team_changes(&v, r->key)) {
            reason = check_team(&v, r->key);
        }
    }
    return reason;
}
