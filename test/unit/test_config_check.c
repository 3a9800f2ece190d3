#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "adapter/toml.h"
#include "core/schema.h"
#include "ctl/check.h"
#include "platform/api.h"
#include "platform/document_check.h"
#include "suite.h"

/* The check of a configuration before it is sent: each rule finds its fault,
 * at the expected path and with the expected severity, and nothing is found in
 * correct configurations. */

enum { kNowMs = 1700000000 };

/* Returns the resources of a parsed file as objects with key and spec. */
static json_t *
resources_of(json_t *root)
{
    json_t *out = json_array();
    const char *kind;
    const char *name;
    json_t *group;
    json_t *spec;

    json_object_foreach(root, kind, group)
    {
        json_object_foreach(group, name, spec)
        {
            char *key = g_strconcat(kind, "/", name, NULL);
            json_array_append_new(
                out, json_pack("{s:s, s:O}", "key", key, "spec", spec));
            g_free(key);
        }
    }
    return out;
}

/* Returns the resources of a TOML text. */
static json_t *
resources_of_text(const char *text)
{
    char *path = NULL;
    char *error = NULL;
    int fd = g_file_open_tmp("sapphireweir-check-XXXXXX", &path, NULL);

    CU_ASSERT_FATAL(fd >= 0 && g_file_set_contents(path, text, -1, NULL));
    close(fd);
    json_t *root = toml_read_file(path, &error);
    if (root == NULL) {
        g_print("\n%s\n%s\n", error, text);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(root);
    json_t *out = resources_of(root);
    json_decref(root);
    unlink(path);
    g_free(path);
    return out;
}

/* Checks that there are count findings, one of them with this path and
 * severity and a message that contains a text; with a path of NULL, that there
 * is none. */
static void
expect_finding(const ConfigCheck *c, const char *of, const char *path,
               FindingSeverity severity, const char *text, guint count)
{
    gboolean ok = path == NULL && count == 0;

    for (guint i = 0; path != NULL && i < c->findings->len; i++) {
        const ConfigFinding *f = g_ptr_array_index(c->findings, i);
        ok = ok || (strcmp(f->path, path) == 0 && f->severity == severity &&
                    strstr(f->message, text) != NULL);
    }
    ok = ok && c->findings->len == count;

    if (!ok) {
        char *report = config_check_report(c, NULL, FALSE);
        g_print("\n%s\nexpected %s, found:\n%s", of,
                path == NULL ? "nothing" : path, report);
        g_free(report);
    }
    CU_ASSERT(ok);
}

/* A small correct configuration.  Rows add to it or replace a part. */
#define FLEET "[fleet.main]\nfailure_domains = [\"a\", \"b\", \"c\"]\n"
#define DATABASE(slots, connections)                                          \
    "[database.d]\nmembers = [{id = \"m1\", failure_domain = \"a\"},"         \
    "{id = \"m2\", failure_domain = \"b\"}]\nprimary = \"m1\"\n"              \
    "slots = " slots "\nconnections = " connections "\n"
#define TEMPLATES                                                             \
    "[template.t]\nfor = \"team\"\n[template.s]\nfor = \"service\"\n"         \
    "[template.s.statements.find]\nkind = \"read\"\nsql = \"SELECT 1\"\n"     \
    "max_staleness_ms = 500\n"
#define SERVICE "[service.v]\ntemplate = \"s\"\ndatabase = \"d\"\n"
#define TEAM(parameters)                                                      \
    "[team.x]\ntemplate = \"t\"\nparameters = { " parameters " }\n"
#define REST FLEET DATABASE("3", "16") TEMPLATES

/* Guards against rules that miss their fault, or that find several things in
 * one. */
static void
each_fault_of_resources_is_found_once(void)
{
    static const struct {
        const char *text;
        const char *path; /* NULL: correct */
        const char *message;
        FindingSeverity severity;
        double service_ms, lag_ms;
    } cases[] = {
        {REST SERVICE TEAM(""), NULL, "", 0, 0, 0},
        {REST SERVICE TEAM("rate = 500, burst = 100"), NULL, "", 0, 12, 500},
        /* Parts of a configuration, in files of their own. */
        {FLEET DATABASE("3", "16"), NULL, "", 0, 0, 0},
        {TEMPLATES, NULL, "", 0, 0, 0},
        /* A service of an open statement needs no teams. */
        {REST SERVICE
         "teams = []\n" TEAM("") "[service.w]\n"
                                 "template = \"s\"\ndatabase = \"d\"\n",
         "service/v", "list of teams is empty", kFindingWarning, 0, 0},
        {REST SERVICE "teams = []\n[template.s.statements.count]\n"
                      "kind = \"read\"\nsql = \"SELECT 1\"\nopen = true\n"
                      "[template.t2]\nfor = \"team\"\n",
         NULL, "", 0, 0, 0},
        {REST SERVICE TEAM("") "[template.s2]\nfor = \"service\"\n"
                               "statements = {}\n[service.w]\n"
                               "template = \"s2\"\ndatabase = \"d\"\n",
         "service/w", "no statement", kFindingWarning, 0, 0},
        {REST SERVICE "teams = [\"x\"]\n" TEAM("") "[team.y]\n"
                                                   "template = \"t\"\n",
         "team/y", "none of 1 routes", kFindingWarning, 0, 0},
        {REST SERVICE TEAM("") "[template.u]\nfor = \"team\"\n", "template/u",
         "no team is made", kFindingWarning, 0, 0},
        {REST SERVICE TEAM("") "[template.u]\nfor = \"service\"\n"
                               "[template.u.statements.f]\nkind = \"read\"\n"
                               "sql = \"SELECT 1\"\n",
         "template/u", "no service is made", kFindingWarning, 0, 0},
        {REST SERVICE TEAM("") "[template.u]\nfor = \"team\"\n"
                               "defaults = { rate = 9 }\n"
                               "limits = { rate = 5 }\n"
                               "[team.y]\ntemplate = \"u\"\n",
         "template/u.defaults.rate", "9 is above the limit, 5",
         kFindingWarning, 0, 0},
        /* References. */
        {REST SERVICE "teams = [\"x\", \"no\"]\n" TEAM(""),
         "service/v.teams[1]", "team \"no\" does not exist", kFindingError, 0,
         0},
        {FLEET TEMPLATES SERVICE TEAM(""), "service/v",
         "database \"d\" does not exist", kFindingError, 0, 0},
        {REST SERVICE "[team.x]\ntemplate = \"no\"\n[team.y]\n"
                      "template = \"t\"\n",
         "team/x", "template \"no\" for a team", kFindingError, 0, 0},
        {"[fleet.main]\nfailure_domains = [\"a\"]\n" DATABASE("3", "16")
             TEMPLATES SERVICE TEAM(""),
         "database/d.members[1].failure_domain", "no failure domain \"b\"",
         kFindingError, 0, 0},
        /* Ranges and types are those of resource_check. */
        {REST SERVICE TEAM("weight = 1001"), "team/x", "1 to 1000",
         kFindingError, 0, 0},
        {REST SERVICE TEAM("") "[template.s.statements.g]\nkind = \"read\"\n"
                               "sql = \"SELECT 1\"\nworth = 1001\n",
         "template/s.statements.g", "0 to 1000", kFindingError, 0, 0},
        {REST SERVICE TEAM("") "[template.u]\nfor = \"team\"\n"
                               "defaults = { rate = 0 }\n"
                               "[team.y]\ntemplate = \"u\"\n",
         "template/u", "defaults: rate must be", kFindingError, 0, 0},
        {REST SERVICE TEAM("rate = \"5\""), "team/x", "must be an integer",
         kFindingError, 0, 0},
        {REST SERVICE TEAM("rate = 0"), "team/x", "1 to 1000000",
         kFindingError, 0, 0},
        /* A shard must hold a whole token beside what it withholds. */
        {REST SERVICE TEAM("rate = 10, burst = 1"), "team/x.burst",
         "at least 2 is needed", kFindingError, 0, 0},
        {REST SERVICE TEAM("rate = 10, burst = 2"), NULL, "", 0, 0, 0},
        {REST SERVICE TEAM("rate = 5000, burst = 12"), "team/x.burst",
         "at least 13 is needed", kFindingError, 0, 0},
        {REST SERVICE TEAM("rate = 5000, burst = 13"), NULL, "", 0, 0, 0},
        {REST SERVICE TEAM("rate = 501, burst = 100"), "team/x.rate",
         "6 slots", kFindingWarning, 12, 0},
        {REST SERVICE TEAM("rate = 501, burst = 100"), NULL, "", 0, 0, 0},
        {REST SERVICE TEAM("") "[template.s.statements.g]\nkind = \"read\"\n"
                               "sql = \"SELECT 1\"\nmax_staleness_ms = 499\n",
         "template/s.statements.g.max_staleness_ms", "499 ms", kFindingWarning,
         0, 500},
        {REST SERVICE TEAM("max_staleness_ms = 100"),
         "team/x.max_staleness_ms", "100 ms", kFindingWarning, 0, 500},
        /* Zero asks for the primary. */
        {REST SERVICE TEAM("max_staleness_ms = 0"), NULL, "", 0, 0, 500},
        {FLEET DATABASE("3", "3") TEMPLATES SERVICE TEAM(""),
         "database/d.connections", "opens at least 2", kFindingError, 0, 0},
        {FLEET DATABASE("4", "16") TEMPLATES SERVICE TEAM(""),
         "database/d.slots", "3 connections for work", kFindingWarning, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CheckBase base = {.now_ms = kNowMs};
        json_t *wanted = resources_of_text(cases[i].text);
        ConfigCheck *c = check_resources(wanted, &base,
                                         (uint64_t)cases[i].service_ms * 1000,
                                         (uint64_t)cases[i].lag_ms * 1000);
        expect_finding(c, cases[i].text, cases[i].path, cases[i].severity,
                       cases[i].message, cases[i].path == NULL ? 0 : 1);
        config_check_free(c);
        json_decref(wanted);
    }
}

/* Guards against false findings in the configurations that users begin
 * with. */
static void
the_examples_have_no_finding(void)
{
    static const char *const examples[] = {"demo", "vanua", "etnaforte"};

    for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
        CheckBase base = {.now_ms = kNowMs};
        char *error = NULL;
        char *path = g_build_filename(SAPPHIREWEIR_SOURCE, "examples",
                                      examples[i], "fleet.toml", NULL);
        json_t *root = toml_read_file(path, &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(root);
        json_t *wanted = resources_of(root);
        /* Service time and lag of the demo's stand-ins. */
        ConfigCheck *c = check_resources(wanted, &base, 500, 20000);
        expect_finding(c, path, NULL, 0, "", 0);
        config_check_free(c);
        json_decref(wanted);
        json_decref(root);
        g_free(path);
    }
}

/* Returns a key of a team as the fleet stores it. */
static json_t *
stored_key(const char *key, const char *team, int64_t expires_ms,
           gboolean withdrawn)
{
    return json_pack("{s:s, s:{s:s, s:s, s:I, s:b}}", "key", key, "spec",
                     "team", team, "hash", "00", "expires_ms",
                     (json_int_t)expires_ms, "withdrawn", withdrawn);
}

/* Adds to or replaces a part of a small correct document. */
#define DOCUMENT(routes, services, limits, tenants)                           \
    "{\"version\":7,\"routes\":[" routes "],\"services\":[" services          \
    "],\"limits\":{" limits "},\"tenants\":[" tenants "]}"
#define ROUTE(host, more)                                                     \
    "{\"host\":\"" host "\",\"service\":\"s\",\"timeout-ms\":800" more "}"
#define STORE(name, more) "{\"name\":\"" name "\",\"max-conns\":23" more "}"
#define TENANT(name, key, more)                                               \
    "{\"name\":\"" name "\",\"api-keys\":[" key "]" more "}"
#define ONE_STORE STORE("s", "")
#define ONE_TENANT TENANT("t", "\"k\"", ",\"rate-per-s\":9,\"burst\":9")

/* As above, for the platform's documents.  The settings have the regions "n"
 * and "e", and windows of 5 s. */
static void
each_fault_of_a_document_is_found(void)
{
    static const struct {
        const char *text;
        const char *path; /* NULL: correct */
        const char *message;
        FindingSeverity severity;
        guint count; /* of findings; the codec may refuse the same fault */
        uint32_t service_ms, lag_ms;
        gboolean without_settings;
    } cases[] = {
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "", ONE_TENANT), .path = NULL},
        {"{\"version\":1,\"routes\":[],\"services\":[]}", .path = NULL},
        {DOCUMENT(ROUTE("h", ",\"public\":true"), ONE_STORE, "", ""),
         .path = NULL},
        {DOCUMENT(ROUTE("h", ",\"path-prefix\":\"/a\"") "," ROUTE(
                      "h", ",\"path-prefix\":\"/b\""),
                  ONE_STORE, "", ONE_TENANT),
         "routes[0]", "all for \"h\" go to routes[1]", kFindingWarning,
         .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE "," ONE_STORE, "", ONE_TENANT),
         "services[0]", "services[1] has the same name", kFindingWarning,
         .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "", ""), "routes[0]",
         "none of 0 teams", kFindingWarning, .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "", TENANT("t", "", "")),
         "tenants[0]", "no valid key", kFindingWarning, .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  ONE_TENANT "," TENANT("u", "\"m\",\"k\"", "")),
         "tenants[1].api-keys[1]", "tenants[0] has the same key",
         kFindingError, .count = 2},
        /* A key that is listed twice does no harm. */
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  TENANT("t", "\"k\",\"k\"", "")),
         .path = NULL},
        {DOCUMENT(ROUTE("h", ""), STORE("x", ""), "", ONE_TENANT),
         "routes[0].service", "\"s\" does not exist", kFindingError,
         .count = 2},
        /* Regions of routes and teams: a pair without a common region is
         * right as long as each has another partner. */
        {DOCUMENT(
             ROUTE("h", ",\"regions-allowed\":[\"n\"]") "," ROUTE(
                 "i", ",\"regions-allowed\":[\"e\"]"),
             ONE_STORE, "",
             TENANT("t", "\"k\"", ",\"regions-allowed\":[\"n\"]") "," TENANT(
                 "u", "\"m\"", ",\"regions-allowed\":[\"e\"]")),
         .path = NULL},
        {DOCUMENT(ROUTE("h", ",\"regions-allowed\":[\"n\"]"), ONE_STORE, "",
                  ONE_TENANT
                  "," TENANT("u", "\"m\"", ",\"regions-allowed\":[\"e\"]")),
         "tenants[1]", "none of 1 routes", kFindingWarning, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"regions-allowed\":[\"e\"]"), ONE_STORE, "",
                  TENANT("t", "\"k\"", ",\"regions-allowed\":[\"n\"]")),
         "routes[0]", "none of 1 teams", kFindingWarning, .count = 2},
        {DOCUMENT(ROUTE("h", ",\"regions-allowed\":[\"x\",\"y\"]"), ONE_STORE,
                  "", ONE_TENANT),
         "routes[0].regions-allowed", "is in x, y", kFindingError, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"regions-allowed\":[\"n\",\"y\"]"), ONE_STORE,
                  "", ONE_TENANT),
         "routes[0].regions-allowed[1]", "is in \"y\"", kFindingWarning,
         .count = 1},
        {DOCUMENT(ROUTE("h", ",\"regions-allowed\":[\"x\"]"), ONE_STORE, "",
                  ONE_TENANT),
         .path = NULL, .without_settings = TRUE},
        {DOCUMENT(ROUTE("h", ",\"target-latency-ms\":801"), ONE_STORE, "",
                  ONE_TENANT),
         "routes[0].timeout-ms", "latency objective, 801", kFindingWarning,
         .count = 1},
        {DOCUMENT(ROUTE("h", ",\"target-latency-ms\":800"), ONE_STORE, "",
                  ONE_TENANT),
         .path = NULL, .service_ms = 800},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "", ONE_TENANT),
         "routes[0].timeout-ms", "usual service time, 801", kFindingError,
         .count = 1, .service_ms = 801},
        {DOCUMENT(ROUTE("h", ",\"kind\":\"bounded_staleness\","
                             "\"max-staleness-ms\":99"),
                  ONE_STORE, "", ONE_TENANT),
         "routes[0].max-staleness-ms", "usual lag, 100", kFindingWarning,
         .count = 1, .lag_ms = 100},
        {DOCUMENT(ROUTE("h", ",\"kind\":\"primary\","
                             "\"max-staleness-ms\":99"),
                  ONE_STORE, "", ONE_TENANT),
         .path = NULL, .lag_ms = 100},
        /* A window of 5 s has 0.95 operations. */
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  TENANT("t", "\"k\"", ",\"rate-per-s\":0.19")),
         "tenants[0].burst", "at least 0.05", kFindingError, .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  TENANT("t", "\"k\"", ",\"rate-per-s\":0.19,\"burst\":0.05")),
         .path = NULL},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  TENANT("t", "\"k\"", ",\"rate-per-s\":0.19")),
         .path = NULL, .without_settings = TRUE},
        /* A rate of zero suspends a team. */
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "", TENANT("t", "\"k\"", "")),
         .path = NULL},
        /* Priorities of routes differ up to 3, those of teams up to 1. */
        {DOCUMENT(
             ROUTE("h", ",\"priority\":5") "," ROUTE(
                 "i", ",\"priority\":3") "," ROUTE("j", ",\"priority\":5"),
             ONE_STORE, "", ONE_TENANT),
         "routes[0].priority", "5 has the same effect at a server as 3",
         kFindingWarning, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"priority\":9") "," ROUTE(
                      "i", ",\"priority\":2") "," ROUTE("j", ""),
                  ONE_STORE, "", ONE_TENANT),
         .path = NULL},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "",
                  TENANT("t", "\"k\"", ",\"priority\":1") "," TENANT(
                      "u", "\"m\"", ",\"priority\":2")),
         "tenants[1].priority", "2 has the same effect at a server as 1",
         kFindingWarning, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"priority\":-1"), ONE_STORE, "", ONE_TENANT),
         "routes[0].priority", "must be 0 to 2147483647", kFindingError,
         .count = 1},
        /* Values that the codec replaces without a word. */
        {DOCUMENT(ROUTE("h", ",\"target-latency-ms\":150.5"), ONE_STORE, "",
                  ONE_TENANT),
         "routes[0].target-latency-ms", "is not an integer", kFindingError,
         .count = 1},
        {DOCUMENT(ROUTE("h", ""), "{\"name\":\"s\",\"max-conns\":0}", "",
                  ONE_TENANT),
         "services[0].max-conns", "0 is not used", kFindingError, .count = 1},
        {DOCUMENT(ROUTE("h", ""), ONE_STORE, "\"tx-idle-ms\":\"3\"",
                  ONE_TENANT),
         "limits.tx-idle-ms", "is not an integer", kFindingError, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"public\":1"), ONE_STORE, "", ONE_TENANT),
         "routes[0].public", "true or false", kFindingError, .count = 1},
        {DOCUMENT(ROUTE("h", ",\"kind\":\"bounded\""), ONE_STORE, "",
                  ONE_TENANT),
         "routes[0].kind", "counts as \"primary\"", kFindingWarning,
         .count = 1},
        {DOCUMENT(ROUTE("h", ",\"priority\":null"), ONE_STORE, "", ONE_TENANT),
         .path = NULL},
        /* What the codec refuses beyond that. */
        {DOCUMENT("7", ONE_STORE, "", ONE_TENANT), "document",
         "lacks \"host\"", kFindingError, .count = 2},
        {"{\"version\":0,\"routes\":7,\"services\":{}}", "document",
         "version > 0", kFindingError, .count = 1},
    };
    Boot boot = {.rate_window_us = 5 * G_USEC_PER_SEC};
    boot.domain_regions = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(boot.domain_regions, "d1", "n");
    g_hash_table_insert(boot.domain_regions, "d2", "e");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const Boot *settings = cases[i].without_settings ? NULL : &boot;
        ConfigCheck *c =
            document_check(cases[i].text, strlen(cases[i].text), settings,
                           (uint64_t)cases[i].service_ms * 1000,
                           (uint64_t)cases[i].lag_ms * 1000);
        expect_finding(c, cases[i].text, cases[i].path, cases[i].severity,
                       cases[i].message, cases[i].count);
        config_check_free(c);
    }
    g_hash_table_unref(boot.domain_regions);
}

/* A file that holds a part is checked with the rest of what is in force.  Only
 * the fleet's state tells which teams have keys, and a new team has none
 * yet. */
static void
files_are_checked_with_the_version_in_force(void)
{
    static const struct {
        int64_t expires_ms;
        gboolean withdrawn;
        gboolean has_keys;
        const char *path;
    } cases[] = {
        {0, FALSE, TRUE, NULL},          {kNowMs + 1, FALSE, TRUE, NULL},
        {kNowMs, FALSE, TRUE, "team/x"}, {0, TRUE, TRUE, "team/x"},
        {0, TRUE, FALSE, NULL},
    };
    json_t *wanted = resources_of_text("[team.new]\ntemplate = \"t\"\n");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        json_t *in_force = resources_of_text(REST SERVICE TEAM(""));
        CheckBase base = {in_force, cases[i].has_keys, kNowMs};
        /* Of an instance, and of a newer version. */
        json_array_append_new(
            in_force, json_pack("{s:s, s:{}}", "key", "server/d/m1", "spec"));
        json_array_append_new(
            in_force, json_pack("{s:s, s:{}}", "key", "later/x", "spec"));
        json_array_append_new(
            in_force,
            stored_key("key/1", "x", cases[i].expires_ms, cases[i].withdrawn));
        ConfigCheck *c = check_resources(wanted, &base, 0, 0);
        expect_finding(c, "keys", cases[i].path, kFindingWarning,
                       "no valid key", cases[i].path == NULL ? 0 : 1);
        config_check_free(c);
        json_decref(in_force);
    }
    CheckBase none = {.now_ms = kNowMs};
    ConfigCheck *c = check_resources(wanted, &none, 0, 0);
    expect_finding(c, "alone", "team/new", kFindingError, "does not exist", 1);
    config_check_free(c);
    json_decref(wanted);
}

static void
differences_are_listed(void)
{
    static const char old[] = "[team.a]\nv = 1\n[team.b]\nv = 1\n"
                              "[team.c]\nv = 1\n";
    static const char new[] = "[team.a]\nv = 1\n[team.b]\nv = 2\n"
                              "[team.d]\nv = 1\n";
    json_t *current = resources_of_text(old);
    json_t *wanted = resources_of_text(new);
    json_t *part = config_check_differences(wanted, current, FALSE);
    json_t *whole = config_check_differences(wanted, current, TRUE);
    char *text = config_check_differences_text(whole);

    CU_ASSERT_EQUAL(json_array_size(part), 2);
    CU_ASSERT_STRING_EQUAL(text, "change team/b\nadd    team/d\n"
                                 "remove team/c\n");
    g_free(text);
    json_decref(whole);
    json_decref(part);
    json_decref(wanted);
    json_decref(current);
}

/* A finding that quotes a value cut within a character must not make the
 * report invalid. */
static void
a_report_is_one_json_object(void)
{
    static const ConfigNames names = {.rate = "rate"};
    ConfigCheck *c = config_check_new(&names);

    config_check_add(c, kFindingError, "team/x", "found \"\xc3");
    config_check_add(c, kFindingError, "team/x", "found \"\xc3");
    char *text = config_check_report(c, NULL, TRUE);
    json_t *report = json_loads(text, 0, NULL);
    const json_t *findings = json_object_get(report, "findings");
    CU_ASSERT_EQUAL(json_array_size(findings), 1);
    CU_ASSERT_STRING_EQUAL(
        json_text_or(json_array_get(findings, 0), "severity", ""), "error");
    json_decref(report);
    g_free(text);
    config_check_free(c);
}

void
add_config_check_suite(void)
{
    CU_pSuite s = CU_add_suite("config check", NULL, NULL);
    CU_add_test(s, "each fault of resources is found once",
                each_fault_of_resources_is_found_once);
    CU_add_test(s, "each fault of a document is found",
                each_fault_of_a_document_is_found);
    CU_add_test(s, "the examples have no finding",
                the_examples_have_no_finding);
    CU_add_test(s, "files are checked with the version in force",
                files_are_checked_with_the_version_in_force);
    CU_add_test(s, "differences are listed", differences_are_listed);
    CU_add_test(s, "a report is one JSON object", a_report_is_one_json_object);
}
