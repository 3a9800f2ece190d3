#include <curl/curl.h>
#include <jansson.h>
#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/metrics.h"
#include "core/schema.h"

/* Compares reads through the proxy with reads through libpq directly from the
 * stand-in: the latency of one caller and the throughput of several, as a
 * Markdown table with ratios.  Usage: path ENDPOINTS.json, the file of a
 * running demo. */

enum {
    kRequests = 1500, /* per path, for the latency */
    kCallers = 8,     /* processes, for the throughput */
    kLoadDurationS = 3,
};

/* Addresses and key for both paths.  The endpoints object owns the strings
 * entry and key. */
typedef struct {
    const char *entry; /* host:port of an entry instance */
    const char *key;   /* API key of the demo's team */
    char host[64];     /* of the stand-in's SQL port */
    char port[16];
} Target;

static uint64_t
now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

/* ---- the two paths ---- */

/* A connection on each of the two paths. */
typedef struct {
    CURL *curl;
    struct curl_slist *headers;
    PGconn *pg;
} Caller;

/* Discards the body of a response. */
static size_t
discard_body(char *data, size_t size, size_t count, void *ctx)
{
    (void)data;
    (void)ctx;
    return size * count;
}

/* Prepares the request to the proxy and connects to the stand-in. */
static void
caller_open(Caller *c, const Target *t)
{
    char *url = g_strdup_printf("http://%s/v1/rounds/find-stale", t->entry);
    char *bearer = g_strconcat("Authorization: Bearer ", t->key, NULL);
    char *conninfo = g_strdup_printf(
        "hostaddr=%s port=%s dbname=rounds1 user=bench sslmode=disable "
        "gssencmode=disable",
        t->host, t->port);

    c->curl = curl_easy_init();
    c->headers = curl_slist_append(NULL, bearer);
    c->headers = curl_slist_append(c->headers, "Expect:");
    curl_easy_setopt(c->curl, CURLOPT_URL, url);
    curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(c->curl, CURLOPT_COPYPOSTFIELDS,
                     "{\"args\":{\"green\":\"none\"}}");
    c->pg = PQconnectdb(conninfo);
    g_free(conninfo);
    g_free(bearer);
    g_free(url);
}

static void
caller_close(Caller *c)
{
    curl_slist_free_all(c->headers);
    curl_easy_cleanup(c->curl);
    PQfinish(c->pg);
}

/* Sends one read through the proxy.  Returns TRUE on success. */
static gboolean
call_proxy(Caller *c)
{
    long status = 0;
    if (curl_easy_perform(c->curl) != CURLE_OK) {
        return FALSE;
    }
    curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
    return status == 200;
}

/* Sends the same read to the stand-in through libpq.  Returns TRUE on
 * success. */
static gboolean
call_direct(Caller *c)
{
    static const char sql[] =
        "SELECT id, green, day, note FROM booking WHERE team = $1 AND "
        "green = $2 ORDER BY id";
    const char *const values[] = {"parish", "none"};
    PGresult *r = PQexecParams(c->pg, sql, 2, NULL, values, NULL, NULL, 0);
    gboolean ok = PQresultStatus(r) == PGRES_TUPLES_OK;
    PQclear(r);
    return ok;
}

typedef gboolean (*CallPath)(Caller *c);

/* ---- measurements ---- */

/* Records the latency of kRequests calls in microseconds, one after another.
 * Returns the number of failed calls. */
static uint64_t
measure_latency(Caller *c, CallPath path, Histogram *h)
{
    uint64_t failed = 0;
    for (int i = 0; i < kRequests; i++) {
        uint64_t started_us = now_us();
        failed += path(c) ? 0 : 1;
        histogram_observe(h, now_us() - started_us);
    }
    return failed;
}

/* Calls for kLoadDurationS and returns the number of successful calls. */
static uint32_t
run_load(const Target *t, CallPath path)
{
    Caller c;
    uint32_t done = 0;
    caller_open(&c, t);
    uint64_t end_us = now_us() + (uint64_t)kLoadDurationS * 1000000;
    while (now_us() < end_us) {
        done += path(&c) ? 1 : 0;
    }
    caller_close(&c);
    return done;
}

/* Returns the successful calls per second of kCallers processes in
 * parallel. */
static double
measure_throughput(const Target *t, CallPath path)
{
    int fds[2];
    uint64_t sum = 0;

    if (pipe(fds) != 0) {
        return 0;
    }
    for (int i = 0; i < kCallers; i++) {
        if (fork() == 0) {
            uint32_t done = run_load(t, path);
            ssize_t written = write(fds[1], &done, sizeof(done));
            _exit(written == sizeof(done) ? 0 : 1);
        }
    }
    close(fds[1]);
    uint32_t done;
    while (read(fds[0], &done, sizeof(done)) == sizeof(done)) {
        sum += done;
    }
    close(fds[0]);
    while (wait(NULL) > 0) {
    }
    return (double)sum / kLoadDurationS;
}

/* Prints a table row with both values and their ratio, proxied / direct. */
static void
print_row(const char *name, double direct, double proxied)
{
    printf("| %s | %.0f | %.0f | %.2f |\n", name, direct, proxied,
           proxied / direct);
}

/* Fills in the target from the endpoints file: the second entry instance and
 * the second stand-in, which starts as a replica.  Returns FALSE when there is
 * none.  The caller owns root, which must outlive the target. */
static gboolean
find_target(const char *path, json_t **root, Target *t)
{
    *root = json_load_file(path, 0, NULL);
    const json_t *entry = json_array_get(json_object_get(*root, "entries"), 1);
    const json_t *member =
        json_array_get(json_object_get(*root, "standins"), 1);
    const char *sql = json_text_or(member, "sql", "");
    const char *colon = strrchr(sql, ':');

    t->entry = json_text_or(entry, "address", "");
    t->key = json_text_or(*root, "key", "");
    if (colon == NULL) {
        return FALSE;
    }
    g_snprintf(t->host, sizeof(t->host), "%.*s", (int)(colon - sql), sql);
    g_snprintf(t->port, sizeof(t->port), "%s", colon + 1);
    return TRUE;
}

int
main(int argc, char **argv)
{
    json_t *root = NULL;
    Target t;
    Caller c;
    Histogram direct = {0};
    Histogram proxied = {0};

    if (argc != 2 || !find_target(argv[1], &root, &t)) {
        fprintf(stderr, "usage: path ENDPOINTS.json\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    caller_open(&c, &t);
    uint64_t failed = measure_latency(&c, call_direct, &direct) +
                      measure_latency(&c, call_proxy, &proxied);
    caller_close(&c);
    double direct_rate = measure_throughput(&t, call_direct);
    double proxied_rate = measure_throughput(&t, call_proxy);
    printf("| read on a replica | libpq direct | proxied | ratio |\n"
           "|---|---|---|---|\n");
    print_row("p50, us", (double)histogram_quantile(&direct, 0.5),
              (double)histogram_quantile(&proxied, 0.5));
    print_row("p99, us", (double)histogram_quantile(&direct, 0.99),
              (double)histogram_quantile(&proxied, 0.99));
    print_row("8 callers, requests a second", direct_rate, proxied_rate);
    printf("\n%u of %d requests failed\n", (unsigned)failed, 2 * kRequests);
    json_decref(root);
    return failed == 0 ? 0 : 1;
}
