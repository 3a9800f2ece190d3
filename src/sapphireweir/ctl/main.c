#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "adapter/program.h"
#include "adapter/toml.h"
#include "client.h"
#include "core/error.h"
#include "core/schema.h"
#include "ctl/check.h"
#include "explain.h"

/* sapphireweirctl: the operators' command line program. */

enum {
    kMaxWaitMs = 20000, /* for a change to be applied by all instances */
    kWaitPollIntervalMs = 50,
    kKeyBytes = 32, /* random part of a team's key */
    kKiB = 1 << 10,
    kMaxTextBytes = 256, /* buffer for a key as text */
};

/* Command line options and the client that uses them. */
typedef struct {
    char **entries; /* base URLs, NULL-terminated */
    char *token_file;
    char *ca_file;
    char *operation; /* operation id of a retried change; NULL: a new one */
    char *actor;     /* name for the audit trail */
    gboolean json;
    gboolean wait;     /* until a change is applied everywhere */
    gint64 expires_ms; /* of a new key, Unix time */
    char *against;     /* file with the version in force, for check */
    double service_ms; /* usual service time, for check; zero: not known */
    double lag_ms;     /* usual lag of replicas, for check; zero: not known */
    Client client;
} Ctl;

/* A command of the program. */
typedef struct {
    const char *name;
    const char *arguments; /* for --help */
    const char *help;
    int min_arguments;
    ExitCode (*run)(Ctl *c, char **arguments);
} Command;

/* ---- output ---- */

static void
print_json(const json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS);
    printf("%s\n", text == NULL ? "null" : text);
    free(text);
}

/* Maps the HTTP status of a reply to an exit code. */
static ExitCode
exit_code_of(const Reply *r)
{
    if (r->status >= 200 && r->status < 300) {
        return kExitOk;
    }
    if (r->status == 409) {
        return kExitConflict;
    }
    return r->status == 400 || r->status == 422 ? kExitUsage : kExitFailure;
}

/* Prints the reason of a failed reply to stderr; returns its exit code. */
static ExitCode
report_failure(const Reply *r)
{
    if (r->status == 0) {
        fprintf(stderr, "no entry instance answered\n");
        return kExitFailure;
    }
    fprintf(stderr, "refused (%u): %s\n", r->status,
            json_text_or(r->body, "detail", "no reason given"));
    if (r->status == 409) {
        fprintf(stderr, "the current version is %" G_GINT64_FORMAT "\n",
                json_integer_or(r->body, "current_version", 0));
    }
    return exit_code_of(r);
}

/* Prints the reason of a failed reply, or with --json the body of a successful
 * one.  Sets code.  Returns FALSE if the caller has to print the reply. */
static gboolean
print_reply(Ctl *c, const Reply *r, ExitCode *code)
{
    *code = exit_code_of(r);
    if (*code != kExitOk) {
        *code = report_failure(r);
        return TRUE;
    }
    if (c->json) {
        print_json(r->body);
        return TRUE;
    }
    return FALSE;
}

/* ---- resources in files ---- */

/* The kinds of resources that a file may contain, in sections [KIND.NAME]. */
static const char *const file_kinds[] = {"fleet", "template", "database",
                                         "service", "team"};

/* Appends the resources of a parsed file to out, as objects with key and
 * spec. */
static void
collect_resources(const json_t *root, json_t *out)
{
    const char *name;
    json_t *spec;

    for (size_t i = 0; i < G_N_ELEMENTS(file_kinds); i++) {
        json_object_foreach(json_object_get(root, file_kinds[i]), name, spec)
        {
            char *key = g_strdup_printf("%s/%s", file_kinds[i], name);
            json_array_append_new(
                out, json_pack("{s:s, s:O}", "key", key, "spec", spec));
            g_free(key);
        }
    }
}

/* Returns whether a file has only known kinds of resources; prints the unknown
 * ones. */
static gboolean
check_kinds(const json_t *root, const char *path)
{
    const char *kind;
    json_t *value;
    gboolean ok = TRUE;

    json_object_foreach((json_t *)root, kind, value)
    {
        gboolean known = FALSE;
        for (size_t i = 0; i < G_N_ELEMENTS(file_kinds); i++) {
            known = known || strcmp(kind, file_kinds[i]) == 0;
        }
        if (!known) {
            fprintf(stderr,
                    "%s: [%s.*] is not known; allowed are fleet, "
                    "template, database, service and team\n",
                    path, kind);
            ok = FALSE;
        }
    }
    return ok;
}

/* Reads the resources of files into a list that the caller owns.  Returns NULL
 * after an error was printed. */
static json_t *
load_resources(char **paths)
{
    json_t *list = json_array();
    for (char **p = paths; *p != NULL; p++) {
        char *parse_error = NULL;
        json_t *root = toml_read_file(*p, &parse_error);
        if (root == NULL || !check_kinds(root, *p)) {
            if (parse_error != NULL) {
                fprintf(stderr, "%s\n", parse_error);
            }
            free(parse_error);
            json_decref(root);
            json_decref(list);
            return NULL;
        }
        collect_resources(root, list);
        json_decref(root);
    }
    return list;
}

/* Requests the current resources whose key starts with prefix.  Returns the
 * list, which the reply owns, or NULL if the request failed; the caller owns
 * the reply's body in both cases. */
static json_t *
list_current(Ctl *c, const char *prefix, Reply *reply)
{
    char *path = g_strconcat("/admin/v1/list/", prefix, NULL);
    *reply = client_get(&c->client, path);
    g_free(path);
    return exit_code_of(reply) == kExitOk
               ? json_object_get(reply->body, "resources")
               : NULL;
}

/* Returns the resource with the key, or NULL. */
static const json_t *
find_key(const json_t *list, const char *key)
{
    size_t i;
    json_t *item;
    json_array_foreach((json_t *)list, i, item)
    {
        if (strcmp(json_text_or(item, "key", ""), key) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Returns the wanted resources that differ from the current ones, each with
 * the current version as its precondition (if_match; zero: a new resource).
 * The caller owns the list. */
static json_t *
make_changes(const json_t *wanted, const json_t *current)
{
    json_t *changes = json_array();
    size_t i;
    json_t *item;

    json_array_foreach((json_t *)wanted, i, item)
    {
        const char *key = json_text_or(item, "key", "");
        const json_t *known = find_key(current, key);
        json_t *spec = json_object_get(item, "spec");
        if (known != NULL &&
            json_equal(json_object_get(known, "spec"), spec)) {
            continue;
        }
        json_array_append_new(
            changes,
            json_pack("{s:s, s:O, s:I}", "key", key, "spec", spec, "if_match",
                      (json_int_t)json_integer_or(known, "version", 0)));
    }
    return changes;
}

/* ---- sending changes ---- */

/* Returns whether all entry instances have applied the log up to index; sets
 * pending to the ids of those that have not. */
static gboolean
applied_everywhere(Ctl *c, int64_t index, GString *pending)
{
    Reply r = client_get(&c->client, "/admin/v1/status");
    const json_t *instances = json_object_get(r.body, "instances");
    size_t i;
    json_t *item;

    g_string_truncate(pending, 0);
    json_array_foreach((json_t *)instances, i, item)
    {
        if (json_integer_or(item, "applied_index", 0) < index) {
            g_string_append_printf(pending, " %s",
                                   json_text_or(item, "id", "?"));
        }
    }
    gboolean ok = exit_code_of(&r) == kExitOk && pending->len == 0 &&
                  json_array_size(instances) > 0;
    json_decref(r.body);
    return ok;
}

/* Polls until all entry instances have applied the log up to index, for at
 * most kMaxWaitMs. */
static ExitCode
wait_until_applied(Ctl *c, int64_t index)
{
    GString *pending = g_string_new(NULL);
    gint64 started_us = g_get_monotonic_time();
    ExitCode code = kExitFailure;

    while (g_get_monotonic_time() - started_us < kMaxWaitMs * 1000) {
        if (applied_everywhere(c, index, pending)) {
            printf("in force everywhere after %" G_GINT64_FORMAT " ms\n",
                   (g_get_monotonic_time() - started_us) / 1000);
            code = kExitOk;
            break;
        }
        usleep(kWaitPollIntervalMs * 1000);
    }
    if (code != kExitOk) {
        fprintf(stderr, "accepted, but still pending at:%s\n", pending->str);
    }
    g_string_free(pending, TRUE);
    return code;
}

/* Sends a change and prints the outcome; with --wait also waits until all
 * entry instances have applied it.  Takes ownership of body. */
static ExitCode
send_change(Ctl *c, const char *path, json_t *body)
{
    char *operation = c->operation != NULL ? g_strdup(c->operation)
                                           : client_new_operation_id();
    ExitCode code;

    json_object_set_new(body, "actor", json_string(c->actor));
    Reply r = client_post(&c->client, path, body, operation);
    if (!print_reply(c, &r, &code)) {
        printf("%s version %" G_GINT64_FORMAT ", operation %s\n",
               json_flag(r.body, "unchanged") ? "already in force at"
                                              : "accepted as",
               json_integer_or(r.body, "version", 0), operation);
    }
    else if (r.status == 0 || r.status == 504) {
        fprintf(stderr, "retry the change with --operation %s\n", operation);
    }
    if (code == kExitOk && c->wait) {
        code = wait_until_applied(c, json_integer_or(r.body, "index", 0));
    }
    json_decref(r.body);
    json_decref(body);
    g_free(operation);
    return code;
}

/* ---- commands ---- */

/* The run_ functions below implement one command each; arguments is
 * NULL-terminated and starts after the name of the command. */

/* Reads the version in force from a file: resources as TOML, or as the JSON
 * that get prints.  Sets whether keys are among them.  Returns NULL after an
 * error was printed; the caller owns the result. */
static json_t *
load_base(char *path, gboolean *has_keys)
{
    char *paths[] = {path, NULL};
    json_error_t error;

    *has_keys = g_str_has_suffix(path, ".json");
    if (!*has_keys) {
        return load_resources(paths);
    }
    json_t *root = json_load_file(path, 0, &error);
    json_t *list = json_incref(json_object_get(root, "resources"));
    if (!json_is_array(list)) {
        fprintf(stderr, "%s: %s\n", path,
                root == NULL ? error.text : "has no list of resources");
        g_clear_pointer(&list, json_decref);
    }
    json_decref(root);
    return list;
}

/* Gets the version in force that files are checked with, from a file or the
 * fleet; there may be none.  Returns FALSE after an error was printed.  The
 * caller frees the resources. */
static gboolean
get_base(Ctl *c, CheckBase *base, json_t **resources)
{
    Reply current = {0, NULL};

    if (c->against != NULL) {
        *resources = load_base(c->against, &base->has_keys);
    }
    else if (c->entries != NULL) {
        *resources = json_incref(list_current(c, "", &current));
        base->has_keys = TRUE;
        if (*resources == NULL) {
            report_failure(&current);
        }
        json_decref(current.body);
    }
    else {
        return TRUE;
    }
    base->resources = *resources;
    return *resources != NULL;
}

/* Checks resource files without sending them, and compares them with the
 * version in force if there is one. */
static ExitCode
run_check(Ctl *c, char **arguments)
{
    CheckBase base = {.now_ms = (uint64_t)g_get_real_time() / 1000};
    json_t *wanted = load_resources(arguments);
    json_t *resources = NULL;

    if (wanted == NULL || !get_base(c, &base, &resources)) {
        json_decref(wanted);
        return kExitUsage;
    }
    ConfigCheck *check =
        check_resources(wanted, &base, (uint64_t)(c->service_ms * 1000),
                        (uint64_t)(c->lag_ms * 1000));
    json_t *differences =
        resources == NULL ? NULL
                          : config_check_differences(wanted, resources, FALSE);
    char *report = config_check_report(check, differences, c->json);
    ExitCode code = check->findings->len == 0 ? kExitOk : kExitFailure;
    if (!c->json) {
        printf("%zu resources read\n", json_array_size(wanted));
    }
    fputs(report, stdout);
    g_free(report);
    config_check_free(check);
    json_decref(differences);
    json_decref(resources);
    json_decref(wanted);
    return code;
}

/* Prints how the files differ from the current resources and, if send is set,
 * sends the changes. */
static ExitCode
compare_files(Ctl *c, char **arguments, gboolean send)
{
    json_t *wanted = load_resources(arguments);
    Reply current = {0, NULL};
    ExitCode code = kExitOk;

    if (wanted == NULL) {
        return kExitUsage;
    }
    const json_t *list = list_current(c, "", &current);
    if (list == NULL) {
        code = report_failure(&current);
        json_decref(current.body);
        json_decref(wanted);
        return code;
    }
    json_t *changes = make_changes(wanted, list);
    json_t *differences = config_check_differences(wanted, list, FALSE);
    char *text = config_check_differences_text(differences);
    fputs(text, stdout);
    if (send && json_array_size(changes) > 0) {
        code = send_change(c, "/admin/v1/changes",
                           json_pack("{s:O}", "changes", changes));
    }
    g_free(text);
    json_decref(differences);
    json_decref(changes);
    json_decref(current.body);
    json_decref(wanted);
    return code;
}

/* Creates or updates the resources in the files. */
static ExitCode
run_apply(Ctl *c, char **arguments)
{
    return compare_files(c, arguments, TRUE);
}

/* Prints what run_apply would change. */
static ExitCode
run_diff(Ctl *c, char **arguments)
{
    return compare_files(c, arguments, FALSE);
}

/* Deletes one resource (KIND/NAME), by a change without a spec. */
static ExitCode
run_delete(Ctl *c, char **arguments)
{
    return send_change(
        c, "/admin/v1/changes",
        json_pack("{s:[{s:s, s:n}]}", "changes", "key", arguments[0], "spec"));
}

/* Prints one resource (KIND/NAME), those whose key starts with a prefix, or
 * all. */
static ExitCode
run_get(Ctl *c, char **arguments)
{
    Reply r;
    if (arguments[0] == NULL) {
        list_current(c, "", &r);
    }
    else if (strchr(arguments[0], '/') != NULL) {
        char *path = g_strconcat("/admin/v1/resources/", arguments[0], NULL);
        r = client_get(&c->client, path);
        g_free(path);
    }
    else {
        list_current(c, arguments[0], &r);
    }
    ExitCode code;
    const json_t *list = json_object_get(r.body, "resources");
    if (!print_reply(c, &r, &code)) {
        size_t i;
        json_t *item;
        if (list == NULL) {
            print_json(r.body);
        }
        json_array_foreach((json_t *)list, i, item)
        {
            char *spec = json_dumps(json_object_get(item, "spec"),
                                    JSON_COMPACT | JSON_SORT_KEYS);
            printf("%-32s %8" G_GINT64_FORMAT "  %.100s\n",
                   json_text_or(item, "key", ""),
                   json_integer_or(item, "version", 0), spec);
            free(spec);
        }
    }
    json_decref(r.body);
    return code;
}

/* Generates a key for a team, registers it and prints it. */
static ExitCode
key_issue(Ctl *c, const char *team)
{
    uint8_t random[kKeyBytes];
    char text[kMaxTextBytes];
    char key[kMaxTextBytes];

    randombytes_buf(random, sizeof(random));
    sodium_bin2base64(text, sizeof(text), random, sizeof(random),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    g_snprintf(key, sizeof(key), "sw_%s", text);
    ExitCode code =
        send_change(c, "/admin/v1/keys",
                    json_pack("{s:s, s:s, s:I}", "team", team, "key", key,
                              "expires_ms", (json_int_t)c->expires_ms));
    if (code == kExitOk) {
        printf("key %s\n", key);
    }
    sodium_memzero(key, sizeof(key));
    sodium_memzero(text, sizeof(text));
    return code;
}

/* Prints the id, team and validity of each registered key. */
static ExitCode
key_list(Ctl *c)
{
    Reply r;
    ExitCode code;
    list_current(c, "key/", &r);
    if (!print_reply(c, &r, &code)) {
        size_t i;
        json_t *item;
        json_array_foreach(json_object_get(r.body, "resources"), i, item)
        {
            const json_t *spec = json_object_get(item, "spec");
            printf("%-18s %-24s %s\n",
                   json_text_or(item, "key", "key/") + strlen("key/"),
                   json_text_or(spec, "team", ""),
                   json_flag(spec, "withdrawn") ? "withdrawn" : "valid");
        }
    }
    json_decref(r.body);
    return code;
}

/* Issues, withdraws or lists keys of teams. */
static ExitCode
run_key(Ctl *c, char **arguments)
{
    if (strcmp(arguments[0], "list") == 0) {
        return key_list(c);
    }
    if (arguments[1] != NULL && strcmp(arguments[0], "issue") == 0) {
        return key_issue(c, arguments[1]);
    }
    if (arguments[1] != NULL && strcmp(arguments[0], "withdraw") == 0) {
        char *path =
            g_strdup_printf("/admin/v1/keys/%s/withdraw", arguments[1]);
        ExitCode code = send_change(c, path, json_object());
        g_free(path);
        return code;
    }
    fprintf(stderr, "key issue TEAM, key withdraw ID or key list\n");
    return kExitUsage;
}

/* Starts or ends the evacuation of a failure domain.  Rejects a name that
 * would change the path of the request. */
static ExitCode
send_evacuation(Ctl *c, const char *domain, const char *suffix)
{
    if (!schema_name_valid(domain)) {
        fprintf(stderr, "not a name of a failure domain\n");
        return kExitUsage;
    }
    char *path = g_strconcat("/admin/v1/evacuations/", domain, suffix, NULL);
    ExitCode code = send_change(c, path, json_object());
    g_free(path);
    return code;
}

/* Sends no more work to the backend servers of a failure domain. */
static ExitCode
run_evacuate(Ctl *c, char **arguments)
{
    return send_evacuation(c, arguments[0], "");
}

/* Ends the evacuation of a failure domain. */
static ExitCode
run_restore(Ctl *c, char **arguments)
{
    return send_evacuation(c, arguments[0], "/restore");
}

/* Adds a control instance to the cluster or removes one. */
static ExitCode
run_member(Ctl *c, char **arguments)
{
    guint count = g_strv_length(arguments);
    json_t *body;
    const char *path;

    if (count == 5 && strcmp(arguments[0], "add") == 0) {
        path = "/admin/v1/control-members/add";
        body = json_pack("{s:s, s:s, s:s, s:s}", "id", arguments[1], "disk",
                         arguments[2], "peer_address", arguments[3],
                         "failure_domain", arguments[4]);
    }
    else if (count == 2 && strcmp(arguments[0], "remove") == 0) {
        path = "/admin/v1/control-members/remove";
        body = json_pack("{s:s}", "id", arguments[1]);
    }
    else {
        fprintf(stderr, "member add ID DISK IP:PORT FAILURE_DOMAIN or "
                        "member remove ID\n");
        return kExitUsage;
    }
    Reply r = client_post(&c->client, path, body, NULL);
    ExitCode code;
    if (!print_reply(c, &r, &code)) {
        printf("under way; see status\n");
    }
    json_decref(r.body);
    json_decref(body);
    return code;
}

/* Prints the evacuated failure domains of a status reply, if any. */
static void
print_evacuations(const json_t *status)
{
    size_t i;
    json_t *item;

    json_array_foreach(json_object_get(status, "evacuations"), i, item)
    {
        printf("%sEVACUATED %s, version %" G_GINT64_FORMAT "\n",
               i == 0 ? "\n" : "", json_text_or(item, "failure_domain", ""),
               json_integer_or(item, "version", 0));
    }
}

/* Prints what the HTTP clients of instances use of the limits, and how many
 * connections and requests were rejected or closed since their start. */
static void
print_clients(const json_t *instances)
{
    size_t i;
    json_t *item;

    json_array_foreach(instances, i, item)
    {
        const json_t *c = json_object_get(item, "clients");
        const json_t *rejected = json_object_get(c, "rejected");
        const json_t *closed = json_object_get(c, "closed");
        if (!json_is_object(c)) {
            printf("%-20s not reported\n", json_text_or(item, "id", ""));
            continue;
        }
        char *connections =
            g_strdup_printf("%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
                            json_integer_or(c, "connections", 0),
                            json_integer_or(c, "max_connections", 0));
        char *kib = g_strdup_printf("%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
                                    json_integer_or(c, "held_bytes", 0) / kKiB,
                                    json_integer_or(c, "max_bytes", 0) / kKiB);
        printf("%-20s %12s %14s %10" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
               " %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
               " %8" G_GINT64_FORMAT "\n",
               json_text_or(item, "id", ""), connections, kib,
               json_integer_or(rejected, "connections", 0),
               json_integer_or(rejected, "requests", 0),
               json_integer_or(closed, "replaced", 0),
               json_integer_or(closed, "too_slow", 0),
               json_integer_or(closed, "too_much_memory", 0));
        g_free(connections);
        g_free(kib);
    }
}

/* Prints the consensus leader, all control and entry instances with the use of
 * their limits for clients, and the evacuated failure domains. */
static ExitCode
run_status(Ctl *c, char **arguments)
{
    Reply r = client_get(&c->client, "/admin/v1/status");
    ExitCode code;
    size_t i;
    json_t *item;

    (void)arguments;
    if (!print_reply(c, &r, &code)) {
        printf("leader %s, term %" G_GINT64_FORMAT ", commit %" G_GINT64_FORMAT
               "\n\n",
               json_text_or(r.body, "leader", "?"),
               json_integer_or(r.body, "term", 0),
               json_integer_or(r.body, "commit_index", 0));
        printf("%-20s %-16s %s\n", "CONTROL", "FAILURE DOMAIN", "ROLE");
        json_array_foreach(json_object_get(r.body, "control"), i, item)
        {
            printf("%-20s %-16s %s\n", json_text_or(item, "id", ""),
                   json_text_or(item, "failure_domain", ""),
                   json_flag(item, "voter") ? "voter" : "learner");
        }
        printf("\n%-20s %-16s %10s %10s\n", "ENTRY", "FAILURE DOMAIN",
               "APPLIED", "SILENT MS");
        json_array_foreach(json_object_get(r.body, "instances"), i, item)
        {
            printf("%-20s %-16s %10" G_GINT64_FORMAT " %10" G_GINT64_FORMAT
                   "%s\n",
                   json_text_or(item, "id", ""),
                   json_text_or(item, "failure_domain", ""),
                   json_integer_or(item, "applied_index", 0),
                   json_integer_or(item, "silent_ms", 0),
                   json_flag(item, "draining") ? "  draining" : "");
        }
        printf("\n%-20s %12s %14s %19s %26s\n%-20s %12s %14s %10s %8s %8s "
               "%8s %8s\n",
               "", "", "", "REJECTED", "CLOSED", "CLIENTS OF", "CONNECTIONS",
               "MEMORY KIB", "CONNECTS", "REQUESTS", "REPLACED", "TOO SLOW",
               "MEMORY");
        print_clients(json_object_get(r.body, "control"));
        print_clients(json_object_get(r.body, "instances"));
        print_evacuations(r.body);
    }
    json_decref(r.body);
    return code;
}

/* Prints one change of the audit trail, with the values before and after. */
static void
print_audit_line(const json_t *line)
{
    GDateTime *changed_at = g_date_time_new_from_unix_utc(
        json_integer_or(line, "time_ms", 0) / 1000);
    char *time = g_date_time_format(changed_at, "%Y-%m-%dT%H:%M:%SZ");
    json_t *before = json_object_get(line, "before");
    json_t *after = json_object_get(line, "after");
    char *before_text = json_dumps(before, JSON_COMPACT | JSON_ENCODE_ANY);
    char *after_text = json_dumps(after, JSON_COMPACT | JSON_ENCODE_ANY);

    printf("%6" G_GINT64_FORMAT " %s %-12s %s\n       before %s\n"
           "       after  %s\n",
           json_integer_or(line, "index", 0), time,
           json_text_or(line, "actor", ""), json_text_or(line, "key", ""),
           before_text == NULL ? "null" : before_text,
           after_text == NULL ? "null" : after_text);
    free(before_text);
    free(after_text);
    g_free(time);
    g_date_time_unref(changed_at);
}

/* Prints the audit trail after an index, given as text; only the changes of
 * one resource unless key is NULL. */
static ExitCode
print_audit(Ctl *c, const char *after, const char *key)
{
    char *path = g_strconcat("/admin/v1/audit/", after, NULL);
    Reply r = client_get(&c->client, path);
    ExitCode code;
    size_t i;
    json_t *line;

    g_free(path);
    if (!print_reply(c, &r, &code)) {
        json_array_foreach(json_object_get(r.body, "audit"), i, line)
        {
            if (key == NULL ||
                strcmp(json_text_or(line, "key", ""), key) == 0) {
                print_audit_line(line);
            }
        }
    }
    json_decref(r.body);
    return code;
}

/* Prints the audit trail after an index, or all of it. */
static ExitCode
run_audit(Ctl *c, char **arguments)
{
    return print_audit(c, arguments[0] == NULL ? "0" : arguments[0], NULL);
}

/* Returns whether a list of evacuations has a failure domain. */
static gboolean
is_evacuated(const json_t *evacuations, const char *domain)
{
    char *key = g_strconcat("evacuation/", domain, NULL);
    gboolean found = find_key(evacuations, key) != NULL;
    g_free(key);
    return found;
}

/* Prints the announced backend servers of a database, and whether its primary
 * is in an evacuated failure domain. */
static void
print_backend_servers(Ctl *c, const char *database, const char *primary)
{
    char *prefix = g_strdup_printf("server/%s/", database);
    Reply r;
    Reply evacuation_reply;
    const json_t *list = list_current(c, prefix, &r);
    const json_t *evacuations =
        list_current(c, "evacuation/", &evacuation_reply);
    gboolean primary_evacuated = FALSE;
    size_t i;
    json_t *item;

    json_array_foreach((json_t *)list, i, item)
    {
        const json_t *spec = json_object_get(item, "spec");
        const char *member = json_text_or(item, "key", "") + strlen(prefix);
        const char *domain = json_text_or(spec, "failure_domain", "");
        gboolean evacuated = is_evacuated(evacuations, domain);
        printf("  %-24s %-22s %s%s%s%s\n", member,
               json_text_or(spec, "address", ""), domain,
               json_flag(spec, "leaving") ? ", leaving" : "",
               json_flag(spec, "missing") ? ", missing" : "",
               evacuated ? ", evacuated" : "");
        primary_evacuated =
            primary_evacuated || (evacuated && strcmp(member, primary) == 0);
    }
    if (primary_evacuated) {
        printf("the primary's failure domain is evacuated: a member elsewhere "
               "replaces it,\nor its work is rejected as not run\n");
    }
    json_decref(evacuation_reply.body);
    json_decref(r.body);
    g_free(prefix);
}

/* Explains an id, the first argument, from the log files that follow. */
static ExitCode
explain_from_files(char **arguments)
{
    GString *out = g_string_new(NULL);
    GError *error = NULL;
    gboolean ok = explain_files(arguments[0], arguments + 1, out, &error);

    fputs(out->str, stdout);
    if (!ok) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
    g_string_free(out, TRUE);
    return ok ? kExitOk : kExitFailure;
}

/* Prints the current primary of a database and its history, or, if log
 * files are given, explains an id from them. */
static ExitCode
run_explain(Ctl *c, char **arguments)
{
    if (arguments[1] != NULL) {
        return explain_from_files(arguments);
    }
    char *key = g_strdup_printf("primary/%s", arguments[0]);
    char *path = g_strconcat("/admin/v1/resources/", key, NULL);
    Reply r = client_get(&c->client, path);
    ExitCode code;

    if (!print_reply(c, &r, &code)) {
        const json_t *spec = json_object_get(r.body, "spec");
        printf("%s: primary %s on term %" G_GINT64_FORMAT ", %s, %" //
               G_GINT64_FORMAT " promotions\n",
               arguments[0], json_text_or(spec, "member", "?"),
               json_integer_or(spec, "term", 0),
               json_text_or(spec, "phase", "?"),
               json_integer_or(spec, "promotion", 0));
        printf("members announced:\n");
        print_backend_servers(c, arguments[0],
                              json_text_or(spec, "member", ""));
        printf("what was done to it:\n");
        print_audit(c, "0", key);
    }
    json_decref(r.body);
    g_free(path);
    g_free(key);
    return code;
}

static const Command commands[] = {
    {"check", "FILE...", "find faults in resource files without sending them",
     1, run_check},
    {"diff", "FILE...", "show what apply would change", 1, run_diff},
    {"apply", "FILE...", "create or update the resources in the files", 1,
     run_apply},
    {"get", "[KIND/NAME|PREFIX]", "show resources", 0, run_get},
    {"delete", "KIND/NAME", "delete a resource", 1, run_delete},
    {"key", "issue TEAM | withdraw ID | list", "keys of teams", 1, run_key},
    {"member", "add ID DISK IP:PORT DOMAIN | remove ID", "control instances",
     1, run_member},
    {"evacuate", "DOMAIN",
     "send no work to the backend servers of a failure domain", 1,
     run_evacuate},
    {"restore", "DOMAIN", "end the evacuation of a failure domain", 1,
     run_restore},
    {"status", "",
     "leader, control and entry instances, evacuated failure domains", 0,
     run_status},
    {"audit", "[AFTER]", "the audit trail after an index", 0, run_audit},
    {"explain", "DATABASE | ID FILE...",
     "current primary, or a request explained from logs", 1, run_explain},
};

/* ---- command line ---- */

/* Returns the description for --help; the caller frees it. */
static char *
command_summary(void)
{
    GString *text =
        g_string_new("Administers a sapphireweir fleet.\n\nCommands:");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(text, "\n  %-8s %-40s %s", commands[i].name,
                               commands[i].arguments, commands[i].help);
    }
    g_string_append(text, "\n\nExit codes: 0 done, 1 failed, 2 wrong input, "
                          "3 conflict with another change.\n"
                          "check: 0 no finding, 1 findings, 2 not readable");
    return g_string_free(text, FALSE);
}

/* Parses the command line options into c.  Fails with a message for the
 * user. */
static gboolean
parse_options(Ctl *c, int *argc, char ***argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &c->entries,
         "Entry instance; may be given several times", "URL"},
        {"token-file", 't', 0, G_OPTION_ARG_FILENAME, &c->token_file,
         "File with the operator's token", "FILE"},
        {"ca-file", 0, 0, G_OPTION_ARG_FILENAME, &c->ca_file,
         "Trusted CA certificates (PEM)", "FILE"},
        {"operation", 0, 0, G_OPTION_ARG_STRING, &c->operation,
         "Operation id of a change that is retried", "ID"},
        {"actor", 0, 0, G_OPTION_ARG_STRING, &c->actor,
         "Name for the audit trail", "NAME"},
        {"wait", 'w', 0, G_OPTION_ARG_NONE, &c->wait,
         "Wait until all entry instances applied the change", NULL},
        {"expires-ms", 0, 0, G_OPTION_ARG_INT64, &c->expires_ms,
         "Expiry of a new key, Unix time in ms", "MS"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &c->json, "Print JSON", NULL},
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &c->against,
         "check: the version in force, TOML, or JSON of get", "FILE"},
        {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &c->service_ms,
         "check: usual service time", "MS"},
        {"lag-ms", 0, 0, G_OPTION_ARG_DOUBLE, &c->lag_ms,
         "check: usual lag of replicas", "MS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    char *summary = command_summary();
    GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, argc, argv, error);
    g_option_context_free(context);
    g_free(summary);
    return ok;
}

/* Returns the command with this name, or NULL if there is none or it needs
 * more than count arguments. */
static const Command *
find_command(const char *name, int count)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0 &&
            count >= commands[i].min_arguments) {
            return &commands[i];
        }
    }
    return NULL;
}

/* Checks the options of check; prints an error and returns FALSE if they are
 * wrong. */
static gboolean
check_options_valid(const Ctl *c)
{
    if (c->against != NULL && c->entries != NULL) {
        fprintf(stderr, "--against and --entry exclude each other\n");
        return FALSE;
    }
    if (!config_check_time_valid(c->service_ms) ||
        !config_check_time_valid(c->lag_ms)) {
        fprintf(stderr, "--service-ms and --lag-ms must be 0 to %d\n",
                kConfigCheckMaxTimeMs);
        return FALSE;
    }
    return TRUE;
}

/* Sets up the client from the options.  Prints an error and returns FALSE if
 * an option is missing or the token file cannot be read. */
static gboolean
prepare_client(Ctl *c)
{
    GError *error = NULL;
    if (c->entries == NULL || c->token_file == NULL) {
        fprintf(stderr, "--entry and --token-file are needed\n");
        return FALSE;
    }
    if (!g_file_get_contents(c->token_file, &c->client.token, NULL, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return FALSE;
    }
    g_strstrip(c->client.token);
    c->client.entries = c->entries;
    c->client.ca_file = c->ca_file;
    return TRUE;
}

int
main(int argc, char **argv)
{
    Ctl c = {0};
    GError *error = NULL;

    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0 ||
        !parse_options(&c, &argc, &argv, &error)) {
        fprintf(stderr, "%s\n",
                error == NULL ? "cannot start" : error->message);
        return kExitUsage;
    }
    const Command *command = argc < 2 ? NULL : find_command(argv[1], argc - 2);
    if (command == NULL) {
        fprintf(stderr, "no such command, or arguments are missing; see "
                        "--help\n");
        return kExitUsage;
    }
    if (c.actor == NULL) {
        c.actor = g_strdup(g_get_user_name());
    }
    gboolean check = command->run == run_check;
    if ((check && !check_options_valid(&c)) ||
        ((!check || c.entries != NULL) && !prepare_client(&c))) {
        return kExitUsage;
    }
    ExitCode code = command->run(&c, argv + 2);
    g_strfreev(c.entries);
    g_free(c.client.token);
    g_free(c.token_file);
    g_free(c.against);
    g_free(c.actor);
    curl_global_cleanup();
    return (int)code;
}
