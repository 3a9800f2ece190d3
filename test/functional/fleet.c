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
    kStartPatienceS = 60,
    kStopPatienceS = 60,
    kCallTimeoutMs = 8000,
    kPollUs = 20000,
};

/* ---- the demo ---- */

/* Returns the path of a built program; the caller frees it. */
char *
fleet_program(const char *name)
{
    return g_build_filename(SAPPHIREWEIR_BUILD, name, NULL);
}

static pid_t
launch(const char *script, const char *dir, const char *const *arguments)
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
        execv(script, (char *const *)argv);
        _exit(127);
    }
    return pid;
}

/* Starts a demo in a folder of the build tree and waits until it serves.
 * Arguments go to the script; NULL for none.  Returns NULL on failure. */
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
    f->pid = launch(script, f->dir, arguments);
    g_free(script);
    for (int i = 0; i < kStartPatienceS * 10 && f->endpoints == NULL; i++) {
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

/* Stops the demo as Ctrl-C does.  FALSE: it did not end cleanly. */
gboolean
fleet_stop(Fleet *f)
{
    int status = 0;
    gboolean ended = FALSE;

    kill(f->pid, SIGTERM);
    for (int i = 0; i < kStopPatienceS * 10 && !ended; i++) {
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

/* Sends what Ctrl-C sends: an interrupt to the whole process group of the
 * demo.  Returns how long it took to end, UINT32_MAX when it did not. */
uint32_t
fleet_interrupt(Fleet *f)
{
    gint64 began_us = g_get_monotonic_time();
    uint32_t took_ms = UINT32_MAX;

    kill(-f->pid, SIGINT);
    for (int i = 0; i < kStopPatienceS * 10; i++) {
        if (waitpid(f->pid, NULL, WNOHANG) == f->pid) {
            took_ms = (uint32_t)((g_get_monotonic_time() - began_us) / 1000);
            break;
        }
        usleep(100000);
    }
    if (took_ms == UINT32_MAX) {
        kill(f->pid, SIGKILL);
        waitpid(f->pid, NULL, 0);
    }
    json_decref(f->endpoints);
    g_free(f->dir);
    g_free(f);
    return took_ms;
}

/* Returns the address of an entry instance. */
const char *
fleet_entry(const Fleet *f, size_t i)
{
    json_t *e = json_array_get(json_object_get(f->endpoints, "entries"), i);
    return json_string_value(json_object_get(e, "address"));
}

/* Returns how many entry instances there are. */
size_t
fleet_entry_count(const Fleet *f)
{
    return json_array_size(json_object_get(f->endpoints, "entries"));
}

/* Returns the pid of a process of the demo by its name. */
pid_t
fleet_pid(const Fleet *f, const char *name)
{
    const json_t *pids = json_object_get(f->endpoints, "pids");
    return (pid_t)json_integer_value(json_object_get(pids, name));
}

/* ---- HTTP ---- */

static size_t
collect_body(char *data, size_t size, size_t count, void *ctx)
{
    g_string_append_len(ctx, data, (gssize)(size * count));
    return size * count;
}

static void
take_header(const char *line, const char *name, char **out)
{
    size_t length = strlen(name);
    if (g_ascii_strncasecmp(line, name, length) == 0 && line[length] == ':') {
        g_free(*out);
        *out = g_strstrip(g_strdup(line + length + 1));
    }
}

static size_t
collect_header(char *data, size_t size, size_t count, void *ctx)
{
    Answer *a = ctx;
    char *line = g_strndup(data, size * count);
    take_header(line, "Session-Token", &a->session_token);
    take_header(line, "Retry-After", &a->retry_after);
    take_header(line, "Connection", &a->connection);
    g_free(line);
    return size * count;
}

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

static Answer
exchange(const char *address, const char *path, struct curl_slist *headers,
         const char *body)
{
    Answer a = {0};
    CURL *curl = curl_easy_init();
    GString *text = g_string_new(NULL);
    char *url = g_strdup_printf("http://%s%s", address, path);

    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)kCallTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, collect_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &a);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &a.status);
    }
    a.body = g_string_free(text, FALSE);
    if (g_getenv("SAPPHIREWEIR_SHOW") != NULL && a.status != 200) {
        fprintf(stderr, "%s%s: %ld %s\n", address, path, a.status, a.body);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
    return a;
}

/* Sends a caller's request; arguments but the address and path may be
 * NULL.  The caller clears the answer. */
Answer
fleet_post(const char *address, const char *path, const char *key,
           const char *idempotency_key, const char *session_token,
           const char *body)
{
    char *bearer = key == NULL ? NULL : g_strconcat("Bearer ", key, NULL);
    struct curl_slist *headers = add_header(NULL, "Authorization", bearer);

    headers = add_header(headers, "Idempotency-Key", idempotency_key);
    headers = add_header(headers, "Session-Token", session_token);
    g_free(bearer);
    return exchange(address, path, headers, body == NULL ? "" : body);
}

/* Reads a path, with a bearer token or NULL. */
Answer
fleet_get(const char *address, const char *path, const char *token)
{
    char *bearer = token == NULL ? NULL : g_strconcat("Bearer ", token, NULL);
    struct curl_slist *headers = add_header(NULL, "Authorization", bearer);
    g_free(bearer);
    return exchange(address, path, headers, NULL);
}

/* Frees what an answer holds. */
void
answer_clear(Answer *a)
{
    g_free(a->body);
    g_free(a->session_token);
    g_free(a->retry_after);
    g_free(a->connection);
    *a = (Answer){0};
}

/* Tells whether an answer's body contains a text. */
gboolean
answer_has(const Answer *a, const char *text)
{
    return a->body != NULL && strstr(a->body, text) != NULL;
}

/* ---- faults, metrics, operators ---- */

static const char *
member_faults(const Fleet *f, const char *member)
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

/* Sets faults of a stand-in, given as a JSON object. */
void
fleet_fault(const Fleet *f, const char *member, const char *fault)
{
    Answer a = fleet_post(member_faults(f, member), "/fault", NULL, NULL, NULL,
                          fault);
    answer_clear(&a);
}

/* Returns the state a stand-in tells of itself; NULL when it is gone. */
json_t *
fleet_member_state(const Fleet *f, const char *member)
{
    Answer a = fleet_get(member_faults(f, member), "/state", NULL);
    json_t *state = json_loads(a.body, 0, NULL);
    answer_clear(&a);
    return state;
}

/* Returns a counter of an entry instance, -1 when there is none. */
int64_t
fleet_metric(const Fleet *f, size_t entry, const char *name)
{
    Answer a = fleet_get(fleet_entry(f, entry), "/metrics", NULL);
    char *wanted = g_strdup_printf("\nsapphireweir_%s ", name);
    const char *at = strstr(a.body, wanted);
    int64_t value =
        at == NULL ? -1 : g_ascii_strtoll(at + strlen(wanted), NULL, 10);
    g_free(wanted);
    answer_clear(&a);
    return value;
}

/* Runs sapphireweirctl against the fleet; returns its exit code.  The
 * caller frees the output. */
int
fleet_ctl(const Fleet *f, char **output, ...)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    va_list args;
    const char *argument;
    int status = 0;

    g_ptr_array_add(argv, fleet_program("sapphireweirctl"));
    g_ptr_array_add(argv, g_strdup("--token-file"));
    g_ptr_array_add(argv, g_build_filename(f->dir, "operator.token", NULL));
    for (size_t i = 0; i < fleet_entry_count(f); i++) {
        g_ptr_array_add(argv, g_strdup("--entry"));
        g_ptr_array_add(argv, g_strdup_printf("http://%s", fleet_entry(f, i)));
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

/* Waits until a condition holds; FALSE when it does not in time. */
gboolean
fleet_wait(gboolean (*condition)(void *ctx), void *ctx, uint32_t patience_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)patience_ms * 1000;
    while (g_get_monotonic_time() < end_us) {
        if (condition(ctx)) {
            return TRUE;
        }
        usleep(kPollUs);
    }
    return condition(ctx);
}
