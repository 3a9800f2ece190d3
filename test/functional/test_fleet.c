#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edges.h"
#include "fleet.h"

/* Functional tests of the real programs on one demo fleet.  The tests run in
 * the order of the table in main, since later ones stop processes for good.
 *
 * The demo's service "rounds" writes rows of its table "booking" with the
 * statement "book" and reads them with "find" (from the primary) and
 * "find-stale" (also from replicas).  Tests tell their rows apart by the text
 * column "green". */

static Fleet *fleet;

enum { kMaxWaitMs = 30000 }; /* for the fleet to recover */

/* Writes one booking through an entry instance; idempotency_key may be
 * NULL. */
static HttpResponse
book(size_t entry, const char *idempotency_key, const char *green)
{
    char *body = g_strdup_printf(
        "{\"args\":{\"green\":\"%s\",\"day\":\"2026-12-07\",\"note\":null}}",
        green);
    HttpResponse a =
        fleet_post(fleet_entry_address(fleet, entry), "/v1/rounds/book",
                   fleet->key, idempotency_key, NULL, body);
    g_free(body);
    return a;
}

/* Reads the bookings with a value of "green" through a read statement; the
 * session token may be NULL. */
static HttpResponse
find(size_t entry, const char *statement, const char *token, const char *green)
{
    char *path = g_strdup_printf("/v1/rounds/%s", statement);
    char *body = g_strdup_printf("{\"args\":{\"green\":\"%s\"}}", green);
    HttpResponse a = fleet_post(fleet_entry_address(fleet, entry), path,
                                fleet->key, NULL, token, body);
    g_free(path);
    g_free(body);
    return a;
}

/* Returns the number of bookings with a value of "green" on the primary, -1
 * when the read fails. */
static int
booking_count(const char *green)
{
    HttpResponse a = find(0, "find", NULL, green);
    int count = -1;
    json_t *body = json_loads(a.body, 0, NULL);
    if (a.status == 200) {
        count = (int)json_integer_value(json_object_get(body, "row_count"));
    }
    json_decref(body);
    response_clear(&a);
    return count;
}

/* Returns whether a write through the entry instance with index ctx works. */
static gboolean
write_succeeds(void *ctx)
{
    HttpResponse a = book(GPOINTER_TO_SIZE(ctx), NULL, "probe");
    gboolean ok = a.status == 200;
    response_clear(&a);
    return ok;
}

/* Returns whether there is one primary and both replicas receive its log. */
static gboolean
replicas_receive(void *ctx)
{
    static const char *const members[] = {"m1", "m2", "m3"};
    uint32_t primaries = 0;
    uint32_t followers = 0;
    (void)ctx;
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        json_t *s = fleet_member_state(fleet, members[i]);
        gboolean recovery = json_is_true(json_object_get(s, "in_recovery"));
        gboolean receiving = json_is_true(json_object_get(s, "receiving"));
        primaries += s != NULL && !recovery ? 1 : 0;
        followers += recovery && receiving ? 1 : 0;
        json_decref(s);
    }
    return primaries == 1 && followers == 2;
}

/* Returns the name of the member that is primary, "m1" when none is. */
static const char *
primary_name(void)
{
    static const char *const members[] = {"m1", "m2", "m3"};
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        json_t *s = fleet_member_state(fleet, members[i]);
        gboolean primary =
            s != NULL && json_is_false(json_object_get(s, "in_recovery"));
        json_decref(s);
        if (primary) {
            return members[i];
        }
    }
    return "m1";
}

/* Waits until replication runs and each entry instance accepts writes. */
static void
wait_until_healthy(void)
{
    CU_ASSERT(fleet_wait(replicas_receive, NULL, kMaxWaitMs));
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        CU_ASSERT(fleet_wait(write_succeeds, GSIZE_TO_POINTER(i), kMaxWaitMs));
    }
}

/* ---- tests ---- */

/* With the token of a write, a read that a replica may serve shows the write
 * through each entry instance. */
static void
write_is_read_through_any_instance(void)
{
    HttpResponse w = book(0, "call-1", "Nasova");
    CU_ASSERT_EQUAL(w.status, 200);
    CU_ASSERT_PTR_NOT_NULL(w.session_token);
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        HttpResponse r = find(i, "find-stale", w.session_token, "Nasova");
        CU_ASSERT_EQUAL(r.status, 200);
        CU_ASSERT(body_has(&r, "Nasova"));
        response_clear(&r);
    }
    response_clear(&w);
}

/* Returns the number of reads that replicas have served. */
static int64_t
replica_reads(void)
{
    int64_t sum = 0;

    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        sum += fleet_metric(fleet, i, "reads_replica_total");
    }
    return sum;
}

/* Returns whether a replica serves a read through the entry instance with
 * index ctx. */
static gboolean
replica_serves(void *ctx)
{
    int64_t before = replica_reads();
    HttpResponse r = find(GPOINTER_TO_SIZE(ctx), "find-stale", NULL, "Nasova");

    response_clear(&r);
    return replica_reads() > before;
}

/* With the token of a write, a read on another entry instance shows the
 * write although all replicas lag by 500 ms.  In the first second of the fleet
 * the age of the replicas' data is not known yet, and all reads go to the
 * primary. */
static void
session_reads_its_writes_despite_lag(void)
{
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        CU_ASSERT(fleet_wait(replica_serves, GSIZE_TO_POINTER(i), kMaxWaitMs));
    }
    fleet_set_fault(fleet, "m2", "{\"lag_ms\":500}");
    fleet_set_fault(fleet, "m3", "{\"lag_ms\":500}");
    int64_t before = replica_reads();
    for (int i = 0; i < 12; i++) {
        char green[16];
        g_snprintf(green, sizeof(green), "lag-%d", i);
        HttpResponse w = book((size_t)i % 3, NULL, green);
        HttpResponse r =
            find((size_t)(i + 1) % 3, "find-stale", w.session_token, green);
        CU_ASSERT(body_has(&r, green));
        response_clear(&r);
        /* Without a token, a replica within the statement's
         * max_staleness_ms may serve the read. */
        r = find((size_t)(i + 1) % 3, "find-stale", NULL, green);
        CU_ASSERT_EQUAL(r.status, 200);
        response_clear(&r);
        response_clear(&w);
    }
    CU_ASSERT(replica_reads() - before >= 12);
    fleet_set_fault(fleet, "m2", "{\"lag_ms\":0}");
    fleet_set_fault(fleet, "m3", "{\"lag_ms\":0}");
}

/* A request with a known idempotency key gets the first response on another
 * entry instance too and runs once; with other arguments it is refused. */
static void
repeated_key_gets_the_first_response(void)
{
    HttpResponse first = book(0, "once-1", "Toorak");
    HttpResponse again = book(1, "once-1", "Toorak");
    HttpResponse other = book(2, "once-1", "Elsewhere");
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(again.status, 200);
    CU_ASSERT_STRING_EQUAL(first.body, again.body);
    CU_ASSERT_EQUAL(other.status, 409);
    CU_ASSERT(body_has(&other, "idempotency-key-reused"));
    CU_ASSERT_EQUAL(booking_count("Toorak"), 1);
    response_clear(&first);
    response_clear(&again);
    response_clear(&other);
}

/* Each invalid request is answered with its status and reason, and with the
 * outcome "not_run". */
static void
invalid_input_is_refused(void)
{
    static const struct {
        const char *path;
        const char *body;
        const char *token;
        long status;
        const char *text;
    } cases[] = {
        {"/v1/rounds/find", "{", NULL, 400, "JSON"},
        {"/v1/rounds/find", "[]", NULL, 400, "JSON object"},
        {"/v1/rounds/find", "{\"args\":5}", NULL, 400, "args"},
        {"/v1/rounds/find", "{\"args\":{}}", NULL, 400, "missing"},
        {"/v1/rounds/find", "{\"args\":{\"green\":[1]}}", NULL, 400, "plain"},
        {"/v1/rounds/find", "{\"args\":{\"green\":\"a\",\"x\":1}}", NULL, 400,
         "no argument"},
        {"/v1/rounds/nothing", "{}", NULL, 404, "no statement"},
        {"/v1/rounds/\xff\xfe\x80", "{}", NULL, 404, "no statement"},
        {"/v1/rounds/find", "{\"args\":{\"\xff\":1}}", NULL, 400, "JSON"},
        {"/v1/nothing/find", "{}", NULL, 404, "no service"},
        {"/v1/rounds", "{}", NULL, 404, "nothing at this path"},
        {"/v1/rounds/a/b/c/d", "{}", NULL, 404, "nothing at this path"},
        {"/v1/rounds/find", "{\"args\":{\"green\":\"a\"}}", "forged", 400,
         "not issued here"},
        {"/v1/rounds/transactions", "{\"statements\":[]}", NULL, 400,
         "statements"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpResponse a =
            fleet_post(fleet_entry_address(fleet, 0), cases[i].path,
                       fleet->key, NULL, cases[i].token, cases[i].body);
        CU_ASSERT_EQUAL(a.status, cases[i].status);
        CU_ASSERT(body_has(&a, cases[i].text));
        CU_ASSERT(body_has(&a, "\"outcome\":\"not_run\""));
        response_clear(&a);
    }
    char *huge = g_strnfill(3 << 20, ' ');
    HttpResponse a =
        fleet_post(fleet_entry_address(fleet, 0), "/v1/rounds/find",
                   fleet->key, NULL, NULL, huge);
    CU_ASSERT(a.status == 413 || a.status == 400 || a.status == 0);
    response_clear(&a);
    g_free(huge);
    a = fleet_post(fleet_entry_address(fleet, 0), "/v1/rounds/find",
                   "sw_wrong", NULL, NULL, "{\"args\":{\"green\":\"a\"}}");
    CU_ASSERT_EQUAL(a.status, 401);
    response_clear(&a);
    CU_ASSERT_EQUAL(booking_count("never"), 0);
}

static void
sql_in_an_argument_is_not_run(void)
{
    static const char injection[] = "x'); DROP TABLE booking; --";
    HttpResponse w = book(1, NULL, injection);
    CU_ASSERT_EQUAL(w.status, 200);
    CU_ASSERT_EQUAL(booking_count(injection), 1);
    response_clear(&w);
}

/* Runs each shell example of docs/callers.md unchanged. */
static void
examples_of_the_callers_page_work(void)
{
    char *path =
        g_build_filename(SAPPHIREWEIR_SOURCE, "docs", "callers.md", NULL);
    char *page = NULL;
    uint32_t blocks = 0;

    CU_ASSERT_FATAL(g_file_get_contents(path, &page, NULL, NULL));
    g_setenv("ENTRY", fleet_entry_address(fleet, 0), TRUE);
    g_setenv("KEY", fleet->key, TRUE);
    for (char *at = strstr(page, "```sh\n"); at != NULL;
         at = strstr(at, "```sh\n")) {
        char *begin = at + strlen("```sh\n");
        char *end = strstr(begin, "```");
        char *block = g_strndup(begin, (gsize)(end - begin));
        char *argv[] = {(char *)"/bin/bash", (char *)"-c", block, NULL};
        char *output = NULL;
        int status = -1;
        g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output,
                     NULL, &status, NULL);
        CU_ASSERT_EQUAL(status, 0);
        CU_ASSERT(strstr(output, "rows") != NULL ||
                  strstr(output, "\"transaction\"") != NULL);
        CU_ASSERT_PTR_NULL(strstr(output, "problem"));
        g_free(output);
        g_free(block);
        at = end;
        blocks++;
    }
    CU_ASSERT(blocks >= 3);
    g_free(page);
    g_free(path);
}

/* Returns the path of a request of a transaction; the caller frees it. */
static char *
transaction_path(const char *id, const char *verb)
{
    return g_strdup_printf("/v1/rounds/transactions/%s/%s", id, verb);
}

/* Opens a transaction.  Returns its id, "none" on failure; the caller frees
 * it. */
static char *
open_transaction(size_t entry)
{
    HttpResponse a = fleet_post(fleet_entry_address(fleet, entry),
                                "/v1/rounds/transactions/open", fleet->key,
                                NULL, NULL, "{}");
    json_t *body = json_loads(a.body, 0, NULL);
    char *id =
        g_strdup(json_string_value(json_object_get(body, "transaction")));
    json_decref(body);
    response_clear(&a);
    return id == NULL ? g_strdup("none") : id;
}

/* Sends "run", "commit" or "rollback" for a transaction and checks that the
 * response contains the expected text.  Returns the HTTP status. */
static long
transaction_step(size_t entry, const char *id, const char *verb,
                 const char *body, const char *expected)
{
    char *path = transaction_path(id, verb);
    HttpResponse a = fleet_post(fleet_entry_address(fleet, entry), path,
                                fleet->key, NULL, NULL, body);
    long status = a.status;
    CU_ASSERT(body_has(&a, expected));
    response_clear(&a);
    g_free(path);
    return status;
}

/* The requests of one transaction may go to different entry instances. */
static void
interactive_transactions_cross_instances(void)
{
    static const char run[] =
        "{\"statement\":\"book\",\"args\":{\"green\":\"inter\",\"day\":\"d\","
        "\"note\":null}}";
    char *id = open_transaction(0);
    CU_ASSERT_EQUAL(transaction_step(1, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(booking_count("inter"), 0);
    CU_ASSERT_EQUAL(transaction_step(2, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(transaction_step(0, id, "commit", "{}", "committed"), 200);
    CU_ASSERT_EQUAL(booking_count("inter"), 2);
    /* A second commit is answered with the outcome "unknown": the transaction
     * has ended, and it must not be reported as rolled back. */
    CU_ASSERT_EQUAL(transaction_step(0, id, "commit", "{}", "unknown"), 504);
    g_free(id);
    id = open_transaction(2);
    CU_ASSERT_EQUAL(transaction_step(2, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(transaction_step(1, id, "rollback", "{}", "rolled_back"),
                    200);
    CU_ASSERT_EQUAL(booking_count("inter"), 2);
    g_free(id);
}

/* A transaction that is sent as one request commits all of its statements or,
 * when one fails, none. */
static void
one_request_transactions_are_all_or_nothing(void)
{
    static const char good[] =
        "{\"statements\":[{\"statement\":\"book\",\"args\":{\"green\":\"both\""
        ",\"day\":\"d\",\"note\":null}},{\"statement\":\"find\",\"args\":{"
        "\"green\":\"both\"}}]}";
    static const char bad[] =
        "{\"statements\":[{\"statement\":\"book\",\"args\":{\"green\":\"half\""
        ",\"day\":\"d\",\"note\":null}},{\"statement\":\"book\",\"args\":{"
        "\"green\":null,\"day\":\"d\",\"note\":null}}]}";
    HttpResponse a =
        fleet_post(fleet_entry_address(fleet, 0), "/v1/rounds/transactions",
                   fleet->key, "both-1", NULL, good);
    CU_ASSERT_EQUAL(a.status, 200);
    CU_ASSERT(body_has(&a, "results"));
    response_clear(&a);
    a = fleet_post(fleet_entry_address(fleet, 1), "/v1/rounds/transactions",
                   fleet->key, NULL, NULL, bad);
    CU_ASSERT_EQUAL(a.status, 422);
    CU_ASSERT(body_has(&a, "not_run"));
    response_clear(&a);
    CU_ASSERT_EQUAL(booking_count("both"), 1);
    CU_ASSERT_EQUAL(booking_count("half"), 0);
}

/* After "key withdraw --wait" has returned, every entry instance refuses the
 * key. */
static void
withdrawn_key_is_refused_everywhere(void)
{
    char *output = NULL;
    CU_ASSERT_EQUAL(
        fleet_ctl(fleet, &output, "--wait", "key", "issue", "schools", NULL),
        0);
    char *key = g_strdup(strstr(output, "key sw_") + strlen("key "));
    g_strchomp(key);
    g_free(output);
    static const char body[] = "{\"args\":{\"green\":\"a\"}}";
    HttpResponse a = fleet_post(fleet_entry_address(fleet, 2),
                                "/v1/rounds/find", key, NULL, NULL, body);
    CU_ASSERT_EQUAL(a.status, 200);
    response_clear(&a);
    fleet_ctl(fleet, &output, "key", "list", NULL);
    char *line = strstr(output, " schools");
    while (line != output && line[-1] != '\n') {
        line--;
    }
    char *id = g_strndup(line, strcspn(line, " "));
    g_free(output);
    CU_ASSERT_EQUAL(
        fleet_ctl(fleet, &output, "--wait", "key", "withdraw", id, NULL), 0);
    g_free(output);
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        a = fleet_post(fleet_entry_address(fleet, i), "/v1/rounds/find", key,
                       NULL, NULL, body);
        CU_ASSERT_EQUAL(a.status, 401);
        response_clear(&a);
    }
    g_free(id);
    g_free(key);
}

/* A change with an operation id is applied and audited; one without an
 * operation id or with a wrong token is refused. */
static void
operator_changes_are_checked_and_audited(void)
{
    char *path = g_build_filename(fleet->dir, "race.toml", NULL);
    char *output = NULL;
    g_file_set_contents(path,
                        "[team.council]\ntemplate = \"standard-team\"\n"
                        "parameters = { weight = 3 }\n",
                        -1, NULL);
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "apply", path, "--operation",
                              "race-op-1", NULL),
                    0);
    g_free(output);
    /* The change can be read back. */
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "get", "team/council", NULL), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "\"weight\": 3"));
    g_free(output);
    char *token_file = g_build_filename(fleet->dir, "operator.token", NULL);
    char *token = NULL;
    g_file_get_contents(token_file, &token, NULL, NULL);
    g_strchomp(token);
    HttpResponse a = fleet_post(
        fleet_entry_address(fleet, 1), "/admin/v1/changes", token, NULL, NULL,
        "{\"changes\":[{\"key\":\"team/council\",\"if_match\":1,\"spec\":{"
        "\"template\":\"standard-team\"}}]}");
    CU_ASSERT_EQUAL(a.status, 400); /* the operation id is missing */
    response_clear(&a);
    a = fleet_post(fleet_entry_address(fleet, 1), "/admin/v1/changes", "wrong",
                   NULL, NULL, "{}");
    CU_ASSERT_EQUAL(a.status, 401);
    response_clear(&a);
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "audit", NULL), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "team/council"));
    g_free(output);
    g_free(token);
    g_free(token_file);
    g_free(path);
}

/* The primary crashes after the commit, before its response.  Retries with
 * the same idempotency key succeed, and the booking exists once. */
static void
lost_commit_response_is_resolved(void)
{
    wait_until_healthy();
    fleet_set_fault(fleet, primary_name(), "{\"crash_after_commit\":true}");
    HttpResponse a = book(1, "crash-1", "crash-green");
    for (int n = 0; n < 20 && a.status != 200; n++) {
        response_clear(&a);
        a = book((size_t)n % 3, "crash-1", "crash-green");
    }
    CU_ASSERT_EQUAL(a.status, 200);
    response_clear(&a);
    CU_ASSERT_EQUAL(booking_count("crash-green"), 1);
}

/* An entry instance that gets SIGTERM serves all requests until it closes its
 * port. */
static void
planned_stop_fails_no_request(void)
{
    pid_t pid = fleet_pid(fleet, "entry-lautoka-1");
    CU_ASSERT(pid > 0);
    long failed = 0;
    kill(pid, SIGTERM);
    for (int i = 0; i < 60; i++) {
        HttpResponse a = find(2, "find-stale", NULL, "Nasova");
        /* Status zero: the port is closed. */
        if (a.status != 200 && a.status != 0) {
            failed++;
        }
        response_clear(&a);
        usleep(20000);
    }
    CU_ASSERT_EQUAL(failed, 0);
    HttpResponse w = book(0, NULL, "after-stop");
    CU_ASSERT_EQUAL(w.status, 200);
    response_clear(&w);
}

/* Replays the trace of the first entry instance.  Returns whether every
 * recorded event leads to the same decisions again. */
static gboolean
trace_replays_identically(void)
{
    char *program = fleet_program_path("sapphireweir-replay");
    char *path = g_build_filename(SAPPHIREWEIR_BUILD, "functional", "fleet",
                                  "entry.trace", NULL);
    char *argv[] = {program, path, NULL};
    char *output = NULL;
    int status = -1;
    g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &output, NULL,
                 &status, NULL);
    printf("%s", output == NULL ? "" : output);
    g_free(output);
    g_free(program);
    g_free(path);
    return status == 0;
}

/* Returns whether "sapphireweirctl status" succeeds. */
static gboolean
status_succeeds(void *ctx)
{
    char *output = NULL;
    int code = fleet_ctl(fleet, &output, "status", NULL);
    (void)ctx;
    g_free(output);
    return code == 0;
}

/* Returns whether the status has the use of the limits by the clients of all
 * control and entry instances. */
static gboolean
status_has_all_clients(void *ctx)
{
    static const char *const lists[] = {"control", "instances"};
    char *output = NULL;
    int code = fleet_ctl(fleet, &output, "--json", "status", NULL);
    json_t *status = output == NULL ? NULL : json_loads(output, 0, NULL);
    gboolean all = code == 0;

    (void)ctx;
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        const json_t *list = json_object_get(status, lists[i]);
        all = all && json_array_size(list) > 0;
        for (size_t k = 0; k < json_array_size(list); k++) {
            const json_t *c =
                json_object_get(json_array_get(list, k), "clients");
            all = all &&
                  json_integer_value(json_object_get(c, "max_connections")) >
                      0 &&
                  json_integer_value(json_object_get(c, "max_bytes")) > 0;
        }
    }
    json_decref(status);
    g_free(output);
    return all;
}

/* Guards against a status without the pressure at some instance, such as a
 * control instance that does not lead. */
static void
status_shows_pressure(void)
{
    char *output = NULL;

    CU_ASSERT(fleet_wait(status_has_all_clients, NULL, kMaxWaitMs));
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "status", NULL), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "CLIENTS OF"));
    CU_ASSERT_PTR_NULL(strstr(output, "not reported"));
    printf("\n%s", output);
    g_free(output);
}

/* After SIGKILL to the leader of the control instances, another one leads;
 * changes and writes succeed again. */
static void
killed_control_leader_is_replaced(void)
{
    char *output = NULL;
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "--json", "status", NULL), 0);
    json_t *status = json_loads(output, 0, NULL);
    const char *leader = json_string_value(json_object_get(status, "leader"));
    g_free(output);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leader);
    kill(fleet_pid(fleet, leader), SIGKILL);
    CU_ASSERT(fleet_wait(status_succeeds, NULL, kMaxWaitMs));
    char *path = g_build_filename(fleet->dir, "after.toml", NULL);
    g_file_set_contents(path,
                        "[team.council]\ntemplate = \"standard-team\"\n"
                        "parameters = { weight = 4 }\n",
                        -1, NULL);
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "--wait", "apply", path, NULL),
                    0);
    g_free(output);
    HttpResponse w = book(0, NULL, "after-leader");
    CU_ASSERT_EQUAL(w.status, 200);
    response_clear(&w);
    g_free(path);
    json_decref(status);
}

/* Passes the fleet to a test of test_edges.c. */
static void
invalid_peer_bytes(void)
{
    invalid_peer_bytes_are_counted(fleet);
}

/* Passes the fleet to a test of test_evacuation.c. */
static void
evacuated_domain(void)
{
    wait_until_healthy();
    evacuated_domain_serves_no_caller(fleet);
    wait_until_healthy();
}

static void
checks_of_a_configuration(void)
{
    commands_of_the_operations_page_work(fleet);
    checks_end_with_their_exit_codes(fleet);
}

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    static const char *const arguments[] = {"--trace", NULL};
    fleet = fleet_start("fleet", arguments);
    if (fleet == NULL || CU_initialize_registry() != CUE_SUCCESS) {
        fprintf(stderr, "the demo fleet did not start\n");
        return 1;
    }
    CU_pSuite s = CU_add_suite("fleet", NULL, NULL);
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"the status shows the pressure of clients", status_shows_pressure},
        {"a write is read through any entry instance",
         write_is_read_through_any_instance},
        {"a session reads its writes despite replica lag",
         session_reads_its_writes_despite_lag},
        {"a repeated idempotency key gets the first response",
         repeated_key_gets_the_first_response},
        {"the examples of docs/callers.md work",
         examples_of_the_callers_page_work},
        {"checks of a configuration work as docs/OPERATIONS.md says",
         checks_of_a_configuration},
        {"invalid input is refused", invalid_input_is_refused},
        {"invalid bytes on the peer port are counted", invalid_peer_bytes},
        {"a certificate is reloaded", certificate_is_reloaded},
        {"all errors of a settings file are reported",
         all_setting_errors_are_reported},
        {"SQL in an argument is not run", sql_in_an_argument_is_not_run},
        {"interactive transactions span entry instances",
         interactive_transactions_cross_instances},
        {"one-request transactions are all or nothing",
         one_request_transactions_are_all_or_nothing},
        {"a withdrawn key is refused by every entry instance",
         withdrawn_key_is_refused_everywhere},
        {"operator changes are checked and audited",
         operator_changes_are_checked_and_audited},
        {"an evacuated failure domain serves no caller", evacuated_domain},
        {"a killed control leader is replaced",
         killed_control_leader_is_replaced},
        {"a lost commit response is resolved",
         lost_commit_response_is_resolved},
        {"Ctrl-C stops the demo in time", ctrl_c_stops_the_demo},
        {"a planned stop fails no request", planned_stop_fails_no_request},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        CU_add_test(s, tests[i].name, tests[i].test);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_tests_failed();
    unsigned run = CU_get_number_of_tests_run();
    gboolean clean = fleet_stop(fleet);
    if (!clean) {
        fprintf(stderr, "the demo fleet did not stop cleanly\n");
    }
    gboolean replays = trace_replays_identically();
    failed += (clean ? 0 : 1) + (replays ? 0 : 1);
    printf("%u passed, %u failed\n", run + 2 - failed, failed);
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
