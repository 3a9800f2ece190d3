#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edges.h"
#include "fleet.h"

/* The programs as a user meets them: one demo fleet, used by all tests in
 * turn; each leaves it healthy. */

static Fleet *fleet;

enum { kPatienceMs = 30000 };

static Answer
book(size_t entry, const char *idempotency_key, const char *green)
{
    char *body = g_strdup_printf(
        "{\"args\":{\"green\":\"%s\",\"day\":\"2026-12-07\",\"note\":null}}",
        green);
    Answer a = fleet_post(fleet_entry(fleet, entry), "/v1/rounds/book",
                          fleet->key, idempotency_key, NULL, body);
    g_free(body);
    return a;
}

static Answer
find(size_t entry, const char *statement, const char *token, const char *green)
{
    char *path = g_strdup_printf("/v1/rounds/%s", statement);
    char *body = g_strdup_printf("{\"args\":{\"green\":\"%s\"}}", green);
    Answer a = fleet_post(fleet_entry(fleet, entry), path, fleet->key, NULL,
                          token, body);
    g_free(path);
    g_free(body);
    return a;
}

/* Returns how many bookings of a green the primary shows, -1 when it cannot
 * be asked. */
static int
count_bookings(const char *green)
{
    Answer a = find(0, "find", NULL, green);
    int count = -1;
    json_t *body = json_loads(a.body, 0, NULL);
    if (a.status == 200) {
        count = (int)json_integer_value(json_object_get(body, "row_count"));
    }
    json_decref(body);
    answer_clear(&a);
    return count;
}

static gboolean
writes_work(void *ctx)
{
    Answer a = book(GPOINTER_TO_SIZE(ctx), NULL, "probe");
    gboolean ok = a.status == 200;
    answer_clear(&a);
    return ok;
}

static gboolean
all_follow(void *ctx)
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

static void
settle(void)
{
    CU_ASSERT(fleet_wait(all_follow, NULL, kPatienceMs));
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        CU_ASSERT(fleet_wait(writes_work, GSIZE_TO_POINTER(i), kPatienceMs));
    }
}

/* ---- tests ---- */

static void
a_write_is_read_through_any_instance(void)
{
    Answer w = book(0, "call-1", "Nasova");
    CU_ASSERT_EQUAL(w.status, 200);
    CU_ASSERT_PTR_NOT_NULL(w.session_token);
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        Answer r = find(i, "find-stale", w.session_token, "Nasova");
        CU_ASSERT_EQUAL(r.status, 200);
        CU_ASSERT(answer_has(&r, "Nasova"));
        answer_clear(&r);
    }
    answer_clear(&w);
}

static void
lagging_replicas_never_hide_a_session_its_writes(void)
{
    fleet_fault(fleet, "m2", "{\"lag_ms\":500}");
    fleet_fault(fleet, "m3", "{\"lag_ms\":500}");
    int64_t before = 0;
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        before += fleet_metric(fleet, i, "reads_replica_total");
    }
    for (int i = 0; i < 12; i++) {
        char green[16];
        g_snprintf(green, sizeof(green), "lag-%d", i);
        Answer w = book((size_t)i % 3, NULL, green);
        Answer r =
            find((size_t)(i + 1) % 3, "find-stale", w.session_token, green);
        CU_ASSERT(answer_has(&r, green));
        answer_clear(&r);
        /* Without the token a replica serves it within its staleness. */
        r = find((size_t)(i + 1) % 3, "find-stale", NULL, green);
        CU_ASSERT_EQUAL(r.status, 200);
        answer_clear(&r);
        answer_clear(&w);
    }
    int64_t after = 0;
    for (size_t i = 0; i < fleet_entry_count(fleet); i++) {
        after += fleet_metric(fleet, i, "reads_replica_total");
    }
    CU_ASSERT(after - before >= 12);
    fleet_fault(fleet, "m2", "{\"lag_ms\":0}");
    fleet_fault(fleet, "m3", "{\"lag_ms\":0}");
}

static void
a_repeat_gets_the_first_answer(void)
{
    Answer first = book(0, "once-1", "Toorak");
    Answer again = book(1, "once-1", "Toorak");
    Answer other = book(2, "once-1", "Elsewhere");
    CU_ASSERT_EQUAL(first.status, 200);
    CU_ASSERT_EQUAL(again.status, 200);
    CU_ASSERT_STRING_EQUAL(first.body, again.body);
    CU_ASSERT_EQUAL(other.status, 409);
    CU_ASSERT(answer_has(&other, "idempotency-key-reused"));
    CU_ASSERT_EQUAL(count_bookings("Toorak"), 1);
    answer_clear(&first);
    answer_clear(&again);
    answer_clear(&other);
}

static void
bad_input_is_refused_clearly(void)
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
        Answer a = fleet_post(fleet_entry(fleet, 0), cases[i].path, fleet->key,
                              NULL, cases[i].token, cases[i].body);
        CU_ASSERT_EQUAL(a.status, cases[i].status);
        CU_ASSERT(answer_has(&a, cases[i].text));
        CU_ASSERT(answer_has(&a, "\"outcome\":\"not_run\""));
        answer_clear(&a);
    }
    char *huge = g_strnfill(3 << 20, ' ');
    Answer a = fleet_post(fleet_entry(fleet, 0), "/v1/rounds/find", fleet->key,
                          NULL, NULL, huge);
    CU_ASSERT(a.status == 413 || a.status == 400 || a.status == 0);
    answer_clear(&a);
    g_free(huge);
    a = fleet_post(fleet_entry(fleet, 0), "/v1/rounds/find", "sw_wrong", NULL,
                   NULL, "{\"args\":{\"green\":\"a\"}}");
    CU_ASSERT_EQUAL(a.status, 401);
    answer_clear(&a);
    CU_ASSERT_EQUAL(count_bookings("never"), 0);
}

static void
sql_in_an_argument_stays_data(void)
{
    static const char evil[] = "x'); DROP TABLE booking; --";
    Answer w = book(1, NULL, evil);
    CU_ASSERT_EQUAL(w.status, 200);
    CU_ASSERT_EQUAL(count_bookings(evil), 1);
    answer_clear(&w);
}

/* Runs each shell block of the callers' page as it stands there. */
static void
the_callers_page_works_as_written(void)
{
    char *path =
        g_build_filename(SAPPHIREWEIR_SOURCE, "docs", "callers.md", NULL);
    char *page = NULL;
    uint32_t blocks = 0;

    CU_ASSERT_FATAL(g_file_get_contents(path, &page, NULL, NULL));
    g_setenv("ENTRY", fleet_entry(fleet, 0), TRUE);
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

static char *
transaction_path(const char *id, const char *verb)
{
    return g_strdup_printf("/v1/rounds/transactions/%s/%s", id, verb);
}

static char *
open_transaction(size_t entry)
{
    Answer a =
        fleet_post(fleet_entry(fleet, entry), "/v1/rounds/transactions/open",
                   fleet->key, NULL, NULL, "{}");
    json_t *body = json_loads(a.body, 0, NULL);
    char *id =
        g_strdup(json_string_value(json_object_get(body, "transaction")));
    json_decref(body);
    answer_clear(&a);
    return id == NULL ? g_strdup("none") : id;
}

static long
transaction_step(size_t entry, const char *id, const char *verb,
                 const char *body, const char *expected)
{
    char *path = transaction_path(id, verb);
    Answer a = fleet_post(fleet_entry(fleet, entry), path, fleet->key, NULL,
                          NULL, body);
    long status = a.status;
    CU_ASSERT(answer_has(&a, expected));
    answer_clear(&a);
    g_free(path);
    return status;
}

static void
interactive_transactions_cross_instances(void)
{
    static const char run[] =
        "{\"statement\":\"book\",\"args\":{\"green\":\"inter\",\"day\":\"d\","
        "\"note\":null}}";
    char *id = open_transaction(0);
    CU_ASSERT_EQUAL(transaction_step(1, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(count_bookings("inter"), 0);
    CU_ASSERT_EQUAL(transaction_step(2, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(transaction_step(0, id, "commit", "{}", "committed"), 200);
    CU_ASSERT_EQUAL(count_bookings("inter"), 2);
    /* What is over cannot be committed again, and nobody claims it was
     * undone. */
    CU_ASSERT_EQUAL(transaction_step(0, id, "commit", "{}", "unknown"), 504);
    g_free(id);
    id = open_transaction(2);
    CU_ASSERT_EQUAL(transaction_step(2, id, "run", run, "rows"), 200);
    CU_ASSERT_EQUAL(transaction_step(1, id, "rollback", "{}", "rolled_back"),
                    200);
    CU_ASSERT_EQUAL(count_bookings("inter"), 2);
    g_free(id);
}

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
    Answer a = fleet_post(fleet_entry(fleet, 0), "/v1/rounds/transactions",
                          fleet->key, "both-1", NULL, good);
    CU_ASSERT_EQUAL(a.status, 200);
    CU_ASSERT(answer_has(&a, "results"));
    answer_clear(&a);
    a = fleet_post(fleet_entry(fleet, 1), "/v1/rounds/transactions",
                   fleet->key, NULL, NULL, bad);
    CU_ASSERT_EQUAL(a.status, 422);
    CU_ASSERT(answer_has(&a, "not_run"));
    answer_clear(&a);
    CU_ASSERT_EQUAL(count_bookings("both"), 1);
    CU_ASSERT_EQUAL(count_bookings("half"), 0);
}

static void
a_withdrawn_key_stops_on_an_open_connection(void)
{
    char *output = NULL;
    CU_ASSERT_EQUAL(
        fleet_ctl(fleet, &output, "--wait", "key", "issue", "schools", NULL),
        0);
    char *key = g_strdup(strstr(output, "key sw_") + strlen("key "));
    g_strchomp(key);
    g_free(output);
    static const char body[] = "{\"args\":{\"green\":\"a\"}}";
    Answer a = fleet_post(fleet_entry(fleet, 2), "/v1/rounds/find", key, NULL,
                          NULL, body);
    CU_ASSERT_EQUAL(a.status, 200);
    answer_clear(&a);
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
        a = fleet_post(fleet_entry(fleet, i), "/v1/rounds/find", key, NULL,
                       NULL, body);
        CU_ASSERT_EQUAL(a.status, 401);
        answer_clear(&a);
    }
    g_free(id);
    g_free(key);
}

static void
racing_operators_have_one_winner(void)
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
    /* The same operation again gets the first answer. */
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "get", "team/council", NULL), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "\"weight\": 3"));
    g_free(output);
    char *token_file = g_build_filename(fleet->dir, "operator.token", NULL);
    char *token = NULL;
    g_file_get_contents(token_file, &token, NULL, NULL);
    g_strchomp(token);
    Answer a = fleet_post(
        fleet_entry(fleet, 1), "/admin/v1/changes", token, NULL, NULL,
        "{\"changes\":[{\"key\":\"team/council\",\"if_match\":1,\"spec\":{"
        "\"template\":\"standard-team\"}}]}");
    CU_ASSERT_EQUAL(a.status, 400); /* no operation id */
    answer_clear(&a);
    a = fleet_post(fleet_entry(fleet, 1), "/admin/v1/changes", "wrong", NULL,
                   NULL, "{}");
    CU_ASSERT_EQUAL(a.status, 401);
    answer_clear(&a);
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "audit", NULL), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "team/council"));
    g_free(output);
    g_free(token);
    g_free(token_file);
    g_free(path);
}

static void
a_lost_commit_answer_is_resolved(void)
{
    /* The primary commits, then dies before it can say so. */
    settle();
    fleet_fault(fleet, primary_name(), "{\"crash_after_commit\":true}");
    Answer a = book(1, "crash-1", "crash-green");
    for (int n = 0; n < 20 && a.status != 200; n++) {
        answer_clear(&a);
        a = book((size_t)n % 3, "crash-1", "crash-green");
    }
    CU_ASSERT_EQUAL(a.status, 200);
    answer_clear(&a);
    CU_ASSERT_EQUAL(count_bookings("crash-green"), 1);
}

static void
a_planned_stop_cuts_off_no_request(void)
{
    pid_t pid = fleet_pid(fleet, "entry-lautoka-1");
    CU_ASSERT(pid > 0);
    long failed = 0;
    kill(pid, SIGTERM);
    for (int i = 0; i < 60; i++) {
        Answer a = find(2, "find-stale", NULL, "Nasova");
        /* Once it has ended the port is closed; before that all is well. */
        if (a.status != 200 && a.status != 0) {
            failed++;
        }
        answer_clear(&a);
        usleep(20000);
    }
    CU_ASSERT_EQUAL(failed, 0);
    Answer w = book(0, NULL, "after-stop");
    CU_ASSERT_EQUAL(w.status, 200);
    answer_clear(&w);
}

/* What the first entry instance did is decided the same way again. */
static gboolean
trace_replays(void)
{
    char *program = fleet_program("sapphireweir-replay");
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

static gboolean
has_leader(void *ctx)
{
    char *output = NULL;
    int code = fleet_ctl(fleet, &output, "status", NULL);
    (void)ctx;
    g_free(output);
    return code == 0;
}

static void
a_killed_control_leader_is_replaced(void)
{
    char *output = NULL;
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "--json", "status", NULL), 0);
    json_t *status = json_loads(output, 0, NULL);
    const char *leader = json_string_value(json_object_get(status, "leader"));
    g_free(output);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leader);
    kill(fleet_pid(fleet, leader), SIGKILL);
    CU_ASSERT(fleet_wait(has_leader, NULL, kPatienceMs));
    char *path = g_build_filename(fleet->dir, "after.toml", NULL);
    g_file_set_contents(path,
                        "[team.council]\ntemplate = \"standard-team\"\n"
                        "parameters = { weight = 4 }\n",
                        -1, NULL);
    CU_ASSERT_EQUAL(fleet_ctl(fleet, &output, "--wait", "apply", path, NULL),
                    0);
    g_free(output);
    Answer w = book(0, NULL, "after-leader");
    CU_ASSERT_EQUAL(w.status, 200);
    answer_clear(&w);
    g_free(path);
    json_decref(status);
}

static void
garbage_is_counted(void)
{
    garbage_on_the_peer_port_is_counted(fleet);
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
        {"a write is read through any instance",
         a_write_is_read_through_any_instance},
        {"lagging replicas never hide a session its writes",
         lagging_replicas_never_hide_a_session_its_writes},
        {"a repeat gets the first answer", a_repeat_gets_the_first_answer},
        {"the callers' page works as written",
         the_callers_page_works_as_written},
        {"bad input is refused clearly", bad_input_is_refused_clearly},
        {"garbage on the peer port is counted", garbage_is_counted},
        {"a certificate is reloaded", a_certificate_is_reloaded},
        {"wrong settings are told at once", wrong_settings_are_told_at_once},
        {"SQL in an argument stays data", sql_in_an_argument_stays_data},
        {"interactive transactions cross instances",
         interactive_transactions_cross_instances},
        {"one-request transactions are all or nothing",
         one_request_transactions_are_all_or_nothing},
        {"a withdrawn key stops on an open connection",
         a_withdrawn_key_stops_on_an_open_connection},
        {"racing operators have one winner", racing_operators_have_one_winner},
        {"a killed control leader is replaced",
         a_killed_control_leader_is_replaced},
        {"a lost commit answer is resolved", a_lost_commit_answer_is_resolved},
        {"Ctrl-C stops in order", ctrl_c_stops_in_order},
        {"a planned stop cuts off no request",
         a_planned_stop_cuts_off_no_request},
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
    gboolean replays = trace_replays();
    failed += (clean ? 0 : 1) + (replays ? 0 : 1);
    printf("%u passed, %u failed\n", run + 2 - failed, failed);
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
