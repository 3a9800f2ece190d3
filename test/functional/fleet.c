#include "fleet.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    kMaxStartS = 60,
    kMaxStopS = 60,
    kRequestTimeoutMs = 8000,
    kPollIntervalUs = 20000,
};

/* ---- the demo ---- */

/* Returns the path of a built program; the caller frees it. */
char *
fleet_program_path(const char *name)
{
    return g_build_filename(SAPPHIREWEIR_BUILD, name, NULL);
}

/* Runs the demo script in a process group of its own, so that a signal to
 * the group reaches all of its processes; arguments is NULL or ends with
 * NULL. */
static pid_t
spawn_demo(const char *script, const char *dir, const char *const *arguments)
{
    const char *argv[32] = {script,  "--quiet", "--build", SAPPHIREWEIR_BUILD,
                            "--dir", dir};
    size_t count = 6;
    for (; arguments != NULL && *arguments != NULL && count < 30;
         arguments++) {
        argv[count++] = *arguments;
    }
    pid_t pid = fork();
    if (pid == 0) {
        setpgid(0, 0);
        /* A shell that starts with SIGINT ignored, as under nohup, cannot
         * trap it. */
        signal(SIGINT, SIG_DFL);
        execv(script, (char *const *)argv);
        _exit(127);
    }
    return pid;
}

/* Starts a demo in a folder of the build tree and waits until it serves.
 * The arguments are passed to the script; NULL for none.  Returns NULL when
 * it does not serve within kMaxStartS; fleet_stop or fleet_interrupt frees
 * the fleet otherwise. */
Fleet *
fleet_start(const char *dir_name, const char *const *arguments)
{
    char *script =
        g_build_filename(SAPPHIREWEIR_SOURCE, "scripts", "demo.sh", NULL);
    Fleet *f = g_new0(Fleet, 1);

    f->dir =
        g_build_filename(SAPPHIREWEIR_BUILD, "functional", dir_name, NULL);
    g_mkdir_with_parents(f->dir, 0700);
    char *file = g_build_filename(f->dir, "endpoints.json", NULL);
    unlink(file);
    f->pid = spawn_demo(script, f->dir, arguments);
    g_free(script);
    for (int i = 0; i < kMaxStartS * 10 && f->endpoints == NULL; i++) {
        usleep(100000);
        f->endpoints = json_load_file(file, 0, NULL);
        if (waitpid(f->pid, NULL, WNOHANG) == f->pid) {
            break;
        }
    }
    g_free(file);
    if (f->endpoints == NULL) {
        kill(f->pid, SIGTERM);
        g_free(f->dir);
        g_free(f);
        return NULL;
    }
    f->key = json_string_value(json_object_get(f->endpoints, "key"));
    return f;
}

/* Stops the demo with SIGTERM to the script, which stops its processes in
 * order, and frees the fleet.  Returns FALSE when the script was killed
 * after kMaxStopS or ended with another code than 0. */
gboolean
fleet_stop(Fleet *f)
{
    int status = 0;
    gboolean ended = FALSE;

    kill(f->pid, SIGTERM);
    for (int i = 0; i < kMaxStopS * 10 && !ended; i++) {
        ended = waitpid(f->pid, &status, WNOHANG) == f->pid;
        if (!ended) {
            usleep(100000);
        }
    }
    if (!ended) {
        kill(f->pid, SIGKILL);
        waitpid(f->pid, &status, 0);
    }
    json_decref(f->endpoints);
    g_free(f->dir);
    g_free(f);
    return ended && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/* Sends SIGINT to the process group of the demo, as a terminal does on
 * Ctrl-C, and frees the fleet.  Returns how many milliseconds the script
 * took to end, UINT32_MAX when it was killed after kMaxStopS. */
uint32_t
fleet_interrupt(Fleet *f)
{
    gint64 started_us = g_get_monotonic_time();
    uint32_t elapsed_ms = UINT32_MAX;

    kill(-f->pid, SIGINT);
    for (int i = 0; i < kMaxStopS * 10; i++) {
        if (waitpid(f->pid, NULL, WNOHANG) == f->pid) {
            elapsed_ms =
                (uint32_t)((g_get_monotonic_time() - started_us) / 1000);
            break;
        }
        usleep(100000);
    }
    if (elapsed_ms == UINT32_MAX) {
        kill(f->pid, SIGKILL);
        waitpid(f->pid, NULL, 0);
    }
    json_decref(f->endpoints);
    g_free(f->dir);
    g_free(f);
    return elapsed_ms;
}

/* Returns the address of an entry instance, HOST:PORT. */
const char *
fleet_entry_address(const Fleet *f, size_t i)
{
    json_t *e = json_array_get(json_object_get(f->endpoints, "entries"), i);
    return json_string_value(json_object_get(e, "address"));
}

/* Returns the number of entry instances. */
size_t
fleet_entry_count(const Fleet *f)
{
    return json_array_size(json_object_get(f->endpoints, "entries"));
}

/* Returns the process id of a process of the demo by its name, zero for an
 * unknown name. */
pid_t
fleet_pid(const Fleet *f, const char *name)
{
    const json_t *pids = json_object_get(f->endpoints, "pids");
    return (pid_t)json_integer_value(json_object_get(pids, name));
}

/* ---- HTTP ---- */

/* Appends received bytes of the body to the GString ctx. */
static size_t
collect_body(char *data, size_t size, size_t count, void *ctx)
{
    g_string_append_len(ctx, data, (gssize)(size * count));
    return size * count;
}

/* Copies the value of a header line into out if the line has that name. */
static void
copy_header(const char *line, const char *name, char **out)
{
    size_t length = strlen(name);
    if (g_ascii_strncasecmp(line, name, length) == 0 && line[length] == ':') {
        g_free(*out);
        *out = g_strstrip(g_strdup(line + length + 1));
    }
}

/* Stores the header line in the HttpResponse ctx if it has a field for it. */
static size_t
collect_header(char *data, size_t size, size_t count, void *ctx)
{
    HttpResponse *r = ctx;
    char *line = g_strndup(data, size * count);
    copy_header(line, "Session-Token", &r->session_token);
    copy_header(line, "Retry-After", &r->retry_after);
    copy_header(line, "Connection", &r->connection);
    g_free(line);
    return size * count;
}

/* Appends a header to the list unless its value is NULL. */
static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    if (value == NULL) {
        return list;
    }
    char *line = g_strdup_printf("%s: %s", name, value);
    list = curl_slist_append(list, line);
    g_free(line);
    return list;
}

/* Sends a request, POST with a body and GET without, and waits for the
 * response.  Frees the headers.  With the environment variable
 * SAPPHIREWEIR_SHOW set, responses other than 200 are printed on stderr. */
static HttpResponse
perform_request(const char *address, const char *path,
                struct curl_slist *headers, const char *body)
{
    HttpResponse r = {0};
    CURL *curl = curl_easy_init();
    GString *text = g_string_new(NULL);
    char *url = g_strdup_printf("http://%s%s", address, path);

    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)kRequestTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, collect_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &r);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &r.status);
    }
    r.body = g_string_free(text, FALSE);
    if (g_getenv("SAPPHIREWEIR_SHOW") != NULL && r.status != 200) {
        fprintf(stderr, "%s%s: %ld %s\n", address, path, r.status, r.body);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    return r;
}

/* Sends a caller's POST request.  All arguments but address and path may be
 * NULL.  The result is freed with response_clear. */
HttpResponse
fleet_post(const char *address, const char *path, const char *key,
           const char *idempotency_key, const char *session_token,
           const char *body)
{
    char *bearer = key == NULL ? NULL : g_strconcat("Bearer ", key, NULL);
    struct curl_slist *headers = add_header(NULL, "Authorization", bearer);

    headers = add_header(headers, "Idempotency-Key", idempotency_key);
    headers = add_header(headers, "Session-Token", session_token);
    g_free(bearer);
    return perform_request(address, path, headers, body == NULL ? "" : body);
}

/* Sends a GET request; the bearer token may be NULL.  The result is freed
 * with response_clear. */
HttpResponse
fleet_get(const char *address, const char *path, const char *token)
{
    char *bearer = token == NULL ? NULL : g_strconcat("Bearer ", token, NULL);
    struct curl_slist *headers = add_header(NULL, "Authorization", bearer);
    g_free(bearer);
    return perform_request(address, path, headers, NULL);
}

/* Frees the contents of a response. */
void
response_clear(HttpResponse *r)
{
    g_free(r->body);
    g_free(r->session_token);
    g_free(r->retry_after);
    g_free(r->connection);
    *r = (HttpResponse){0};
}

/* Returns whether a response's body contains a text. */
gboolean
body_has(const HttpResponse *r, const char *text)
{
    return r->body != NULL && strstr(r->body, text) != NULL;
}

/* ---- faults, metrics, sapphireweirctl ---- */

/* Returns the address of the command port of a member's stand-in, "" for an
 * unknown member. */
static const char *
command_address(const Fleet *f, const char *member)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(f->endpoints, "standins"), i, s)
    {
        const char *name = json_string_value(json_object_get(s, "member"));
        if (strcmp(name, member) == 0) {
            return json_string_value(json_object_get(s, "faults"));
        }
    }
    return "";
}

/* Sets faults of a member's stand-in, given as a JSON object. */
void
fleet_set_fault(const Fleet *f, const char *member, const char *fault)
{
    HttpResponse r = fleet_post(command_address(f, member), "/fault", NULL,
                                NULL, NULL, fault);
    response_clear(&r);
}

/* Returns the state that a member's stand-in reports, NULL when the stand-in
 * does not run.  The caller owns the object. */
json_t *
fleet_member_state(const Fleet *f, const char *member)
{
    HttpResponse r = fleet_get(command_address(f, member), "/state", NULL);
    json_t *state = json_loads(r.body, 0, NULL);
    response_clear(&r);
    return state;
}

/* Returns the value of a metric without labels of an entry instance, -1 when
 * there is none with that name. */
int64_t
fleet_metric(const Fleet *f, size_t entry, const char *name)
{
    HttpResponse r =
        fleet_get(fleet_entry_address(f, entry), "/metrics", NULL);
    char *prefix = g_strdup_printf("\nsapphireweir_%s ", name);
    const char *at = strstr(r.body, prefix);
    int64_t value =
        at == NULL ? -1 : g_ascii_strtoll(at + strlen(prefix), NULL, 10);
    g_free(prefix);
    response_clear(&r);
    return value;
}

/* Runs sapphireweirctl against the fleet with the given arguments.  Returns
 * its exit code, -1 when it did not end by itself.  The caller frees output,
 * which is what it wrote to stdout. */
int
fleet_ctl(const Fleet *f, char **output, ...)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    va_list args;
    const char *argument;
    int status = 0;

    g_ptr_array_add(argv, fleet_program_path("sapphireweirctl"));
    g_ptr_array_add(argv, g_strdup("--token-file"));
    g_ptr_array_add(argv, g_build_filename(f->dir, "operator.token", NULL));
    for (size_t i = 0; i < fleet_entry_count(f); i++) {
        g_ptr_array_add(argv, g_strdup("--entry"));
        g_ptr_array_add(
            argv, g_strdup_printf("http://%s", fleet_entry_address(f, i)));
    }
    va_start(args, output);
    while ((argument = va_arg(args, const char *)) != NULL) {
        g_ptr_array_add(argv, g_strdup(argument));
    }
    va_end(args);
    g_ptr_array_add(argv, NULL);
    gboolean ran =
        g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL,
                     NULL, output, NULL, &status, NULL);
    g_ptr_array_unref(argv);
    return ran && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Waits until a condition holds.  Returns FALSE when it still does not after
 * max_wait_ms. */
gboolean
fleet_wait(gboolean (*condition)(void *ctx), void *ctx, uint32_t max_wait_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)max_wait_ms * 1000;
    while (g_get_monotonic_time() < end_us) {
        if (condition(ctx)) {
            return TRUE;
        }
        usleep(kPollIntervalUs);
    }
    return condition(ctx);
}
