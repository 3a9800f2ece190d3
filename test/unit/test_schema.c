#include <string.h>

#include "core/resource.h"
#include "core/schema.h"
#include "suite.h"

/* Returns the resource of a key, NULL if there is none. */
static const Resource *
find_in_table(void *ctx, const char *key)
{
    return g_hash_table_lookup(ctx, key);
}

static void
add_resource(GHashTable *table, const char *key, const char *spec)
{
    Resource *r = resource_new(key, 1, 1, json_loads(spec, 0, NULL));
    g_hash_table_insert(table, r->key, r);
}

/* Returns the resources that the checked ones may refer to. */
static GHashTable *
known_resources(void)
{
    GHashTable *t =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, resource_free);
    add_resource(t, "template/t",
                 "{\"for\":\"team\",\"limits\":{\"rate\":100},"
                 "\"defaults\":{\"rate\":5}}");
    add_resource(t, "template/s", "{\"for\":\"service\",\"statements\":{}}");
    add_resource(t, "database/d", "{}");
    add_resource(t, "team/crews", "{\"template\":\"t\"}");
    return t;
}

static void
resources_are_checked_as_a_whole(void)
{
    static const struct {
        const char *key;
        const char *spec;
        const char *expected_error; /* part of its text; NULL: valid */
    } cases[] = {
        {"team/a", "{\"template\":\"t\",\"parameters\":{\"rate\":100}}", NULL},
        {"team/a", "{\"template\":\"t\",\"parameters\":{\"rate\":101}}",
         "at most 100"},
        {"team/a", "{\"template\":\"t\",\"parameters\":{\"rate\":0}}",
         "1 to 1000000"},
        {"team/a", "{\"template\":\"nope\"}", "does not exist"},
        {"team/a", "{\"template\":\"s\"}", "does not exist"},
        {"team/a", "{\"template\":\"t\",\"colour\":1}", "not known"},
        {"team/..", "{\"template\":\"t\"}", "KIND/NAME"},
        {"horse/a", "{}", "KIND/NAME"},
        {"service/x", "{\"template\":\"s\",\"database\":\"d\"}", NULL},
        {"service/x", "{\"template\":\"s\",\"database\":\"e\"}",
         "does not exist"},
        {"template/x",
         "{\"for\":\"service\",\"statements\":{\"w\":{\"kind\":\"write\","
         "\"sql\":\"x\",\"open\":true}}}",
         "cannot be open"},
        {"template/x",
         "{\"for\":\"service\",\"statements\":{\"w\":{\"kind\":\"grab\","
         "\"sql\":5}}}",
         "must be one of read|write"},
        {"database/x",
         "{\"members\":[{\"id\":\"m\",\"failure_domain\":\"f\"},"
         "{\"id\":\"m\",\"failure_domain\":\"f\"}],\"primary\":\"m\","
         "\"slots\":1,\"connections\":5}",
         "stands twice"},
        {"database/x",
         "{\"members\":[{\"id\":\"m\",\"failure_domain\":\"f\"}],"
         "\"primary\":\"n\",\"slots\":1,\"connections\":5}",
         "not one of the members"},
        {"key/x", "{\"team\":\"crews\",\"hash\":\"00\"}", NULL},
        {"key/x", "{\"team\":\"ghost\",\"hash\":\"00\"}", "does not exist"},
    };
    GHashTable *known = known_resources();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        json_t *spec = json_loads(cases[i].spec, 0, NULL);
        gboolean ok =
            resource_check(cases[i].key, spec, find_in_table, known, &error);
        CU_ASSERT_EQUAL(ok, cases[i].expected_error == NULL);
        if (!ok && cases[i].expected_error != NULL) {
            CU_ASSERT_PTR_NOT_NULL(
                strstr(error->message, cases[i].expected_error));
        }
        g_clear_error(&error);
        json_decref(spec);
    }
    g_hash_table_destroy(known);
}

static void
all_errors_are_reported(void)
{
    GHashTable *known = known_resources();
    GError *error = NULL;
    json_t *spec = json_loads("{\"template\":\"t\",\"x\":1,\"y\":2,"
                              "\"parameters\":{\"burst\":-1}}",
                              0, NULL);
    CU_ASSERT(!resource_check("team/a", spec, find_in_table, known, &error));
    CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "x is not known"));
    CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "y is not known"));
    CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "burst must be"));
    g_error_free(error);
    json_decref(spec);
    g_hash_table_destroy(known);
}

void
add_schema_suite(void)
{
    CU_pSuite s = CU_add_suite("schema", NULL, NULL);
    CU_add_test(s, "resources are checked as a whole",
                resources_are_checked_as_a_whole);
    CU_add_test(s, "all errors are reported", all_errors_are_reported);
}
