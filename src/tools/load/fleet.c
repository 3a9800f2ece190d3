#include "core/schema.h"
#include "run.h"

/* Checks that a fleet has what an experiment needs. */

/* Checks that the fleet has the failure domain of every wave. */
static gboolean
check_domains(const Run *r, GError **error)
{
    for (guint i = 0; i < r->experiment->waves->len; i++) {
        const Wave *w = g_ptr_array_index(r->experiment->waves, i);
        if (!g_ptr_array_find_with_equal_func(r->domains, w->failure_domain,
                                              g_str_equal, NULL)) {
            g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                        "wave[%u]: no entry instance of the fleet is in "
                        "failure_domain \"%s\"",
                        i, w->failure_domain);
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns the spec of a resource of the fleet, NULL if there is none.  The
 * caller owns it. */
static json_t *
resource_spec(Run *r, const char *kind, const char *name)
{
    char *path = g_strdup_printf("/admin/v1/resources/%s/%s", kind, name);
    Reply reply = client_get(&r->client, path);
    json_t *spec = json_incref(json_object_get(reply.body, "spec"));
    json_decref(reply.body);
    g_free(path);
    return spec;
}

/* Checks that a service of the fleet has the statement of every kind, with the
 * kind's worth. */
static gboolean
check_service(Run *r, const char *service, GError **error)
{
    json_t *spec = resource_spec(r, "service", service);
    json_t *template =
        resource_spec(r, "template", json_text_or(spec, "template", ""));
    const json_t *statements = json_object_get(template, "statements");
    gboolean ok = statements != NULL;

    if (!ok) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "experiment.services: the fleet has no service %s",
                    service);
    }
    for (guint i = 0; i < r->experiment->kinds->len && ok; i++) {
        const Kind *k = g_ptr_array_index(r->experiment->kinds, i);
        const json_t *s = json_object_get(statements, k->statement);
        int64_t worth = json_integer_or(s, "worth", 1);
        if (s == NULL) {
            g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                        "kind %s: service %s of the fleet has no statement %s",
                        k->name, service, k->statement);
            ok = FALSE;
        }
        else if (k->worth >= 0 && k->worth != worth) {
            g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                        "kind %s: worth is %d here, but %" G_GINT64_FORMAT
                        " of statement %s of service %s in the fleet",
                        k->name, k->worth, worth, k->statement, service);
            ok = FALSE;
        }
    }
    json_decref(template);
    json_decref(spec);
    return ok;
}

/* Checks that the fleet has the failure domains of the waves and the
 * statements of the kinds.  Returns FALSE and sets error if it lacks one. */
gboolean
fleet_check(Run *r, GError **error)
{
    if (!check_domains(r, error)) {
        return FALSE;
    }
    for (char **s = r->experiment->services; *s != NULL; s++) {
        if (!check_service(r, *s, error)) {
            return FALSE;
        }
    }
    return TRUE;
}
