#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "busy_caller.h"
#include "emulator.h"
#include "test_evacuation.h"
#include "test_placement.h"

/* End-to-end tests of the platform programs: two entry and three control
 * instances as real processes, everything around them emulated.  The tests
 * run in order on one emulator and build on each other. */

static Emulator *emulator;

/* Connects a caller with a valid key; the caller closes the connection. */
static EmulatorCaller *
open_session(uint32_t entry)
{
    EmulatorCaller *c = caller_connect(emulator, entry);
    CU_ASSERT(
        g_str_has_prefix(caller_request(c, "STARTUP shop key-1"), "READY I"));
    return c;
}

/* Repeats a message every 50 ms until its answer contains the wanted text;
 * reconnects when the connection was closed.  Returns FALSE after
 * max_wait_ms. */
static gboolean
request_until(EmulatorCaller **c, uint32_t entry, const char *text,
              const char *wanted, uint32_t max_wait_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)max_wait_ms * 1000;

    while (g_get_monotonic_time() < end_us) {
        if (caller_is_closed(*c)) {
            caller_close(*c);
            *c = caller_connect(emulator, entry);
            caller_request(*c, "STARTUP shop key-1");
        }
        if (strstr(caller_request(*c, text), wanted) != NULL) {
            return TRUE;
        }
        emulator_run_for(emulator, 50);
    }
    return FALSE;
}

/* A configuration that one control instance accepts can be read from another
 * one. */
static void
accepted_configuration_is_read_back(void)
{
    HttpResponse put = emulator_put_document(emulator, 7, TRUE);
    CU_ASSERT_EQUAL(put.status, 200);
    HttpResponse got = {0};
    for (int i = 0; i < 20 && got.status != 200; i++) {
        got = emulator_http_request(emulator,
                                    emulator_control_address(emulator, 1),
                                    "GET", "/config", NULL);
    }
    CU_ASSERT_EQUAL(got.status, 200);
    CU_ASSERT_STRING_EQUAL(got.body, put.body);
    g_free(put.body);
    g_free(got.body);
}

static void
invalid_and_old_configurations_change_nothing(void)
{
    static const struct {
        const char *body;
        int status;
    } cases[] = {
        {"{\"version\":9,\"routes\":[", 400},
        {"{\"version\":9,\"routes\":[],\"services\":7}", 400},
        {"", 400},
        /* Versions up to the stored one (7) are acknowledged without
         * effect. */
        {"{\"version\":3,\"routes\":[],\"services\":[]}", 200},
        {"{\"version\":7,\"routes\":[],\"services\":[]}", 200},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpResponse r = emulator_http_request(
            emulator, emulator_control_address(emulator, i % 3), "PUT",
            "/config", cases[i].body);
        CU_ASSERT_EQUAL(r.status, cases[i].status);
        g_free(r.body);
    }
    HttpResponse got =
        emulator_http_request(emulator, emulator_control_address(emulator, 0),
                              "GET", "/config", NULL);
    CU_ASSERT_PTR_NOT_NULL(strstr(got.body == NULL ? "" : got.body, "shop"));
    g_free(got.body);
}

static void
entry_instance_becomes_ready(void)
{
    HttpResponse r = {0};
    for (int i = 0; i < 60 && r.status != 200; i++) {
        g_free(r.body);
        emulator_run_for(emulator, 100);
        r = emulator_http_request(emulator,
                                  emulator_probe_address(emulator, 0), "GET",
                                  "/readyz", NULL);
    }
    CU_ASSERT_EQUAL(r.status, 200);
    g_free(r.body);
}

static void
statements_are_answered(void)
{
    static const struct {
        const char *request;
        const char *answer;
    } cases[] = {
        {"QUERY a1 WRITE 1a4 first", "COMPLETE 7.proof\nREADY I"},
        {"QUERY a2 READ 1a4", "ROW value\nCOMPLETE 7.proof\nREADY I"},
        {"QUERY a3 SET zone a b", "COMPLETE -\nREADY I"},
        {"QUERY a4 PREPARE s1 WRITE q2c", "COMPLETE -\nREADY I"},
        {"QUERY a5 EXECUTE s1 1a4 second", "COMPLETE 7.proof\nREADY I"},
        {"QUERY a6 EXECUTE s9 1a4 x", "ERROR NOSTMT"},
        {"QUERY a7 DEALLOCATE s1", "COMPLETE -\nREADY I"},
        {"QUERY a8 EXECUTE s1 1a4 x", "ERROR NOSTMT"},
        {"QUERY b1 BEGIN", "COMPLETE -\nREADY T"},
        {"QUERY b2 WRITE 1a4 third", "COMPLETE 7.proof\nREADY T"},
        {"QUERY b3 READ 1a4", "ROW value\nCOMPLETE 7.proof\nREADY T"},
        {"QUERY b4 COMMIT", "COMPLETE 7.proof\nREADY I"},
        {"QUERY c1 BEGIN READ", "COMPLETE -\nREADY T"},
        {"QUERY c2 READ 1a4", "ROW value\nCOMPLETE 7.proof\nREADY T"},
        {"QUERY c3 COMMIT", "COMPLETE 7.proof\nREADY I"},
        {"QUERY d1 BEGIN", "COMPLETE -\nREADY T"},
        {"QUERY d2 WRITE 1a4 undone", "COMPLETE 7.proof\nREADY T"},
        {"QUERY d3 ROLLBACK", "COMPLETE -\nREADY I"},
        {"QUERY e1 JUMP", "ERROR MALFORMED"},
        {"QUERY f1 COMMIT", "ERROR MALFORMED"},
        {"QUERY f2 ROLLBACK", "ERROR MALFORMED"},
        {"QUERY g1 BEGIN", "COMPLETE -\nREADY T"},
        {"QUERY g2 BEGIN", "ERROR MALFORMED"},
        {"QUERY g3 READ 1a4", "ERROR MALFORMED"},
        {"QUERY g4 COMMIT", "ERROR ABORTED"},
        {"QUERY h1 READ 1a4", "ROW value\nCOMPLETE 7.proof\nREADY I"},
    };
    EmulatorCaller *c = open_session(0);

    CU_ASSERT(
        request_until(&c, 0, "QUERY a0 WRITE 1a4 warm", "COMPLETE", 5000));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *got = caller_request(c, cases[i].request);
        if (strstr(got, cases[i].answer) == NULL) {
            printf("\n    %s: %s", cases[i].request, got);
        }
        CU_ASSERT_PTR_NOT_NULL(strstr(got, cases[i].answer));
    }
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "first"), 1);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "second"), 1);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "third"), 1);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "undone"), 0);
    caller_close(c);
}

static void
invalid_startups_are_refused(void)
{
    static const struct {
        const char *request;
        const char *answer;
    } cases[] = {
        {"STARTUP shop nobody", "ERROR NOAUTH"},
        {"STARTUP nowhere key-1", "ERROR NODB"},
        {"STARTUP", "ERROR MALFORMED"},
        {"QUERY 1 READ 2", "ERROR MALFORMED"},
        {"GET / HTTP/1.1", "ERROR MALFORMED"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EmulatorCaller *c = caller_connect(emulator, 0);
        CU_ASSERT(g_str_has_prefix(caller_request(c, cases[i].request),
                                   cases[i].answer));
        emulator_run_for(emulator, 50);
        CU_ASSERT(caller_is_closed(c));
        caller_close(c);
    }
}

/* Guards against state left behind by a caller that sends messages before the
 * earlier ones are answered, disconnects inside a transaction, or sends a line
 * without end. */
static void
faulty_callers_harm_no_others(void)
{
    EmulatorCaller *c = open_session(0);
    char *long_line = g_strnfill((2 << 20) + 10, 'x');

    /* Several messages in one write are answered in order. */
    caller_send(c, "QUERY p1 READ 1\r\nQUERY p2 READ 2\r\n");
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(c, "QUERY p3 READ 3"), "READY I"));
    /* Disconnecting inside a transaction rolls it back. */
    caller_request(c, "QUERY q1 BEGIN");
    caller_request(c, "QUERY q2 WRITE 1 halfway");
    caller_close(c);
    emulator_run_for(emulator, 300);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "halfway"), 0);
    CU_ASSERT_EQUAL(emulator_open_transaction_count(emulator), 0);
    /* A line longer than the limit closes the connection. */
    c = open_session(0);
    caller_send(c, long_line);
    for (int i = 0; i < 40 && !caller_is_closed(c); i++) {
        emulator_run_for(emulator, 50);
    }
    CU_ASSERT(caller_is_closed(c));
    caller_close(c);
    g_free(long_line);
    c = open_session(0);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(c, "QUERY r1 READ 1"), "COMPLETE"));
    caller_close(c);
}

/* The member commits a write and closes the connection before it answers.  A
 * retry would commit the write twice, so the caller gets the error INDOUBT. */
static void
lost_answer_is_in_doubt_only_for_a_write(void)
{
    EmulatorCaller *c = open_session(0);

    emulator_lose_next_answer(emulator);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        caller_request(c, "QUERY l1 WRITE 1 doubtful"), "ERROR INDOUBT"));
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "doubtful"), 1);
    /* A read is retried. */
    emulator_lose_next_answer(emulator);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(c, "QUERY l2 READ 1"), "COMPLETE"));
    /* An open transaction is aborted and none of its writes is committed. */
    caller_request(c, "QUERY l3 BEGIN");
    emulator_lose_next_answer(emulator);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        caller_request(c, "QUERY l4 WRITE 1 dropped"), "ERROR ABORTED"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(c, "QUERY l5 ROLLBACK"), "READY I"));
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "dropped"), 0);
    caller_close(c);
}

static void
crashed_primary_is_replaced(void)
{
    EmulatorCaller *c = open_session(0);
    uint32_t before = emulator_promotion_count(emulator);
    int old = emulator_primary(emulator);

    emulator_set_member_running(emulator, (uint32_t)old, FALSE);
    /* Users require a change of primary within 7 s. */
    CU_ASSERT(request_until(&c, 0, "QUERY n1 WRITE 1 after-crash", "COMPLETE",
                            7000));
    CU_ASSERT(emulator_promotion_count(emulator) > before);
    CU_ASSERT_NOT_EQUAL(emulator_primary(emulator), old);
    emulator_set_member_running(emulator, (uint32_t)old, TRUE);
    emulator_run_for(emulator, 500);
    caller_close(c);
}

/* Returns whether all programs run. */
static gboolean
all_programs_run(void)
{
    int exit_code;

    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        pid_t pid = emulator_program_pid(emulator, i);
        if (pid == 0 || emulator_reap(emulator, pid, &exit_code)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Guards against status reports of another writer that end the instances which
 * read them, one after the other and again after a restart, or that put a
 * server out of use: under a server's id with a sequence that no later report
 * exceeds, or at its address with a later start. */
static void
odd_reports_harm_nobody(void)
{
    /* %s: address of a member */
    static const struct {
        const char *id;
        const char *format;
    } reports[] = {
        {"i-1", "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z1\","
                "\"slots\":3,\"state\":\"ready\",\"db-role\":\"replica\","
                "\"sequence\":9223372036854775807,\"born\":1000}"},
        {"i-2", "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z2\","
                "\"slots\":3,\"state\":\"ready\",\"db-role\":\"replica\","
                "\"sequence\":4,\"born\":9007199254740992}"},
        {"i-2", "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z2\","
                "\"slots\":3,\"state\":\"ready\",\"db-role\":\"replica\","
                "\"sequence\":-1,\"born\":1000}"},
        {"odd-1", "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z0\","
                  "\"slots\":3,\"state\":\"ready\",\"db-role\":\"replica\","
                  "\"sequence\":4,\"born\":9007199254740992}"},
        {"odd-2", "{\"service\":\"orders\",\"addr\":\"127.0.0.1:99999\","
                  "\"zone\":\"z0\",\"slots\":3,\"state\":\"ready\","
                  "\"db-role\":\"replica\",\"sequence\":4,\"born\":1000}"},
        {"odd-3", "{\"service\":\"orders\",\"addr\":\"127.0.0.1:0\","
                  "\"zone\":\"z0\",\"slots\":3,\"state\":\"ready\","
                  "\"db-role\":\"primary\",\"sequence\":4,\"born\":1000}"},
        {"odd-4", "{\"service\":\"orders\",\"addr\":\":\",\"zone\":\"z0\","
                  "\"slots\":4294967295,\"state\":\"ready\","
                  "\"db-role\":\"replica\",\"sequence\":4,\"born\":1000}"},
        {"odd-5", "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z0\","
                  "\"slots\":1e400,\"state\":\"ready\",\"db-role\":"
                  "\"replica\",\"sequence\":4,\"born\":1000}"},
        {"odd-6", "{\"service\":\"orders\\r\\nQUERY - STEPDOWN 99\","
                  "\"addr\":\"%s\",\"zone\":\"z0\",\"slots\":3,"
                  "\"state\":\"ready\",\"db-role\":\"primary\","
                  "\"sequence\":4,\"born\":1000}"},
        {"odd-%ff\xff", "{\"service\":\"orders\",\"addr\":\"%s\","
                        "\"zone\":\"z0\",\"slots\":3,\"state\":\"ready\","
                        "\"db-role\":\"replica\",\"sequence\":4,"
                        "\"born\":1000}"},
    };
    enum { kNesting = 200000 };
    EmulatorCaller *c = open_session(0);
    int primary = emulator_primary(emulator);
    uint32_t replica = primary == 1 ? 2 : 1;

    for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
        uint32_t at = strcmp(reports[i].id, "i-1") == 0   ? 1
                      : strcmp(reports[i].id, "i-2") == 0 ? 2
                                                          : replica;
        char *path = g_strdup_printf("/instances/%s", reports[i].id);
        char *body = g_strdup_printf(reports[i].format,
                                     emulator_member_address(emulator, at));
        HttpResponse r = emulator_http_request(
            emulator, emulator_control_address(emulator, i % 3), "PUT", path,
            body);
        if (r.status != 400) {
            printf("\n    %s %s: status %d\n", path, body, r.status);
        }
        CU_ASSERT_EQUAL(r.status, 400);
        CU_ASSERT(all_programs_run());
        g_free(r.body);
        g_free(body);
        g_free(path);
    }
    char *nested = g_strnfill(kNesting, '[');
    HttpResponse r =
        emulator_http_request(emulator, emulator_control_address(emulator, 0),
                              "PUT", "/instances/odd-7", nested);
    CU_ASSERT_EQUAL(r.status, 400);
    g_free(r.body);
    g_free(nested);
    emulator_run_for(emulator, 500);
    CU_ASSERT(all_programs_run());
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_PTR_NOT_NULL(
            strstr(caller_request(c, "QUERY m1 READ 1"), "COMPLETE"));
    }
    caller_close(c);
    /* The reports of the server itself are still followed. */
    emulator_drain_member(emulator, replica);
    emulator_run_for(emulator, 1500);
    emulator_drain_member(emulator, replica);
    c = open_session(0);
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_PTR_NOT_NULL(
            strstr(caller_request(c, "QUERY m2 READ 1"), "COMPLETE"));
    }
    CU_ASSERT_EQUAL(emulator_statements_after_drain(emulator), 0);
    emulator_undrain_member(emulator, replica);
    caller_close(c);
}

/* Guards against statements that still reach a draining primary after another
 * member has become primary. */
static void
draining_primary_gets_no_new_statements(void)
{
    EmulatorCaller *c = open_session(1);
    int old = emulator_primary(emulator);

    emulator_drain_member(emulator, (uint32_t)old);
    for (int i = 0; i < 120 && emulator_primary(emulator) == old; i++) {
        caller_request(c, "QUERY o1 READ 1");
        emulator_run_for(emulator, 50);
    }
    CU_ASSERT_NOT_EQUAL(emulator_primary(emulator), old);
    CU_ASSERT(request_until(&c, 1, "QUERY o2 WRITE 1 after-drain", "COMPLETE",
                            7000));
    uint32_t before = emulator_statements_after_drain(emulator);
    for (int i = 0; i < 40; i++) {
        caller_request(c, "QUERY o3 READ 1");
    }
    CU_ASSERT_EQUAL(emulator_statements_after_drain(emulator), before);
    caller_close(c);
}

/* Once a configuration lacks a caller's key, requests on a connection that was
 * opened with the key are refused. */
static void
withdrawn_key_is_refused_on_open_connections(void)
{
    EmulatorCaller *c = open_session(1);

    CU_ASSERT_EQUAL(emulator_put_document(emulator, 12, FALSE).status, 200);
    CU_ASSERT(request_until(&c, 1, "QUERY k1 READ 1", "ERROR NOAUTH", 3000));
    CU_ASSERT_EQUAL(emulator_put_document(emulator, 15, TRUE).status, 200);
    CU_ASSERT(request_until(&c, 1, "QUERY k2 READ 1", "COMPLETE", 3000));
    caller_close(c);
}

/* After SIGTERM an entry instance is no longer ready, but an open
 * transaction can still commit before the process ends with code 0. */
static void
stop_waits_for_transactions(void)
{
    EmulatorCaller *idle = open_session(1);
    EmulatorCaller *busy = open_session(1);
    pid_t pid = emulator_entry_pid(emulator, 1);
    int exit_code = -1;

    caller_request(busy, "QUERY s1 BEGIN");
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(busy, "QUERY s2 WRITE 1 last"), "COMPLETE"));
    kill(pid, SIGTERM);
    emulator_run_for(emulator, 300);
    HttpResponse r = emulator_http_request(
        emulator, emulator_probe_address(emulator, 1), "GET", "/readyz", NULL);
    CU_ASSERT_EQUAL(r.status, 503);
    g_free(r.body);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(busy, "QUERY s3 COMMIT"), "COMPLETE"));
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "last"), 1);
    for (int i = 0; i < 60 && !emulator_reap(emulator, pid, &exit_code); i++) {
        emulator_run_for(emulator, 100);
    }
    CU_ASSERT_EQUAL(exit_code, 0);
    CU_ASSERT(caller_is_closed(idle));
    CU_ASSERT(caller_is_closed(busy));
    caller_close(idle);
    caller_close(busy);
}

enum {
    kStopDelayMs = 40,    /* of each statement at a member */
    kStopGraceMs = 6000,  /* as in the emulator's settings */
    kStopLimitMs = 20000, /* of the test */
};

/* Waits until an entry instance is ready. */
static void
wait_until_ready(uint32_t entry)
{
    HttpResponse r = {0};

    for (int i = 0; i < 60 && r.status != 200; i++) {
        g_free(r.body);
        emulator_run_for(emulator, 100);
        r = emulator_http_request(emulator,
                                  emulator_probe_address(emulator, entry),
                                  "GET", "/readyz", NULL);
    }
    CU_ASSERT_EQUAL(r.status, 200);
    g_free(r.body);
}

/* Guards against a planned stop that cuts off statements of callers that send
 * one statement after the other: such a session is never found idle, and was
 * cut off when the process ended. */
static void
stop_answers_busy_callers(void)
{
    static const char *const reads[] = {"READ 1", NULL};
    static const char *const writes[] = {"WRITE 1 busy", "READ 1", NULL};
    static const char *const transactions[] = {"BEGIN", "WRITE 1 busy",
                                               "READ 1", "COMMIT", NULL};
    static const char *const endless[] = {
        "BEGIN",  "READ 1", "READ 1", "READ 1", "READ 1", "READ 1", "READ 1",
        "READ 1", "READ 1", "READ 1", "READ 1", "READ 1", "COMMIT", NULL};
    static const struct {
        const char *const *script;
        uint32_t batch;
    } cases[] = {{reads, 1},  {reads, 3},        {writes, 1},
                 {writes, 4}, {transactions, 1}, {endless, 1}};
    BusyCaller *callers[G_N_ELEMENTS(cases)];
    int exit_code = -1;
    gboolean ended = FALSE;

    emulator_start_program(emulator, 1);
    wait_until_ready(1);
    pid_t pid = emulator_entry_pid(emulator, 1);
    emulator_set_statement_delay(emulator, kStopDelayMs);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        callers[i] =
            busy_caller_new(emulator, 1, cases[i].script, cases[i].batch);
        CU_ASSERT_PTR_NOT_NULL_FATAL(callers[i]);
    }
    gint64 stopped_us = g_get_monotonic_time() + G_USEC_PER_SEC;
    while (g_get_monotonic_time() < stopped_us) {
        emulator_run_for(emulator, 20);
    }
    kill(pid, SIGTERM);
    stopped_us = g_get_monotonic_time();
    while (!ended &&
           g_get_monotonic_time() - stopped_us < (gint64)kStopLimitMs * 1000) {
        ended = emulator_reap(emulator, pid, &exit_code);
        emulator_run_for(emulator, 20);
    }
    CU_ASSERT_EQUAL(exit_code, 0);
    CU_ASSERT(g_get_monotonic_time() - stopped_us <
              (gint64)kStopGraceMs * 1000);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT(busy_caller_is_closed(callers[i]));
        CU_ASSERT_EQUAL(busy_caller_cut_count(callers[i]), 0);
        CU_ASSERT(busy_caller_answered(callers[i]) > 10);
        busy_caller_free(callers[i]);
    }
    emulator_set_statement_delay(emulator, 0);
}

/* Guards against a planned stop of a control instance that leaves an operator
 * without an answer: the change was received, and the others cannot confirm it
 * before the signal, as they stand still. */
static void
control_stop_answers_operators(void)
{
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        uint32_t program = kEmulatorEntries + i;
        pid_t pid = emulator_program_pid(emulator, program);
        int exit_code = -1;

        for (uint32_t k = 0; k < kEmulatorControls; k++) {
            if (k != i) {
                kill(emulator_program_pid(emulator, kEmulatorEntries + k),
                     SIGSTOP);
            }
        }
        EmulatorHttpCall *call = emulator_http_start(
            emulator, emulator_control_address(emulator, i), "GET", "/config",
            NULL);
        emulator_run_for(emulator, 50);
        emulator_run_for(emulator, 50);
        kill(pid, SIGTERM);
        emulator_run_for(emulator, 50);
        emulator_run_for(emulator, 50);
        for (uint32_t k = 0; k < kEmulatorControls; k++) {
            if (k != i) {
                kill(emulator_program_pid(emulator, kEmulatorEntries + k),
                     SIGCONT);
            }
        }
        HttpResponse r = emulator_http_finish(call);
        CU_ASSERT(r.status == 200 || r.status == 503);
        g_free(r.body);
        for (int n = 0; n < 60 && !emulator_reap(emulator, pid, &exit_code);
             n++) {
            emulator_run_for(emulator, 100);
        }
        CU_ASSERT_EQUAL(exit_code, 0);
        emulator_start_program(emulator, program);
        emulator_run_for(emulator, 1000);
    }
}

/* Runs the emulator, and starts programs again that have ended, as the
 * platform does.  Returns how many had ended. */
static uint32_t
run_with_restarts(uint32_t duration_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;
    uint32_t exits = 0;
    int exit_code;

    while (g_get_monotonic_time() < end_us) {
        for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
            pid_t pid = emulator_program_pid(emulator, i);
            if (pid != 0 && emulator_reap(emulator, pid, &exit_code)) {
                emulator_start_program(emulator, i);
                exits++;
            }
        }
        emulator_run_for(emulator, 50);
    }
    return exits;
}

/* Checks what an instance with a full disk answers, once it has met that: a
 * change is refused with the reason, a read has the newest version, and the
 * metrics show the state. */
static void
check_answers_without_room(uint32_t control, uint32_t version,
                           const char *document)
{
    const char *address = emulator_control_address(emulator, control);
    char *newest = g_strdup_printf("\"version\":%u,", version);
    HttpResponse put =
        emulator_http_request(emulator, address, "PUT", "/config", document);
    HttpResponse got =
        emulator_http_request(emulator, address, "GET", "/config", NULL);
    HttpResponse metrics =
        emulator_http_request(emulator, address, "GET", "/metrics", NULL);

    CU_ASSERT_EQUAL(put.status, 503);
    CU_ASSERT_PTR_NOT_NULL(strstr(put.body, "disk of this control instance"));
    CU_ASSERT_PTR_NOT_NULL(strstr(put.body, "\"retry-after-ms\":1000"));
    CU_ASSERT_EQUAL(got.status, 200);
    CU_ASSERT_PTR_NOT_NULL(strstr(got.body, newest));
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "disk_full 1\n"));
    g_free(metrics.body);
    g_free(got.body);
    g_free(put.body);
    g_free(newest);
}

/* Guards against changes of the configuration that are refused, or stay
 * without an answer, long after the disks of control instances had room again.
 * They were full for some seconds each, one after the other, with changes
 * going on.  Guards also against a process that ends meanwhile. */
static void
changes_go_on_after_full_disks(void)
{
    enum { kFullMs = 2000, kChangeMs = 250, kAckMs = 5000, kFirst = 100 };
    uint32_t version = kFirst;
    uint32_t exits = 0;

    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        emulator_set_disk_full(emulator, kEmulatorEntries + i, TRUE);
        char *document = NULL;
        for (uint32_t ms = 0; ms < kFullMs; ms += kChangeMs) {
            g_free(document);
            document = emulator_put_document(emulator, ++version, TRUE).body;
            exits += run_with_restarts(kChangeMs);
        }
        check_answers_without_room(i, version, document);
        g_free(document);
        emulator_set_disk_full(emulator, kEmulatorEntries + i, FALSE);
        exits += run_with_restarts(500);
    }
    gint64 room_us = g_get_monotonic_time();
    for (uint32_t i = 0; i < 2 * kEmulatorControls; i++) {
        HttpResponse put = emulator_put_document(emulator, ++version, TRUE);
        CU_ASSERT_EQUAL(put.status, 200);
        g_free(put.body);
        exits += run_with_restarts(kChangeMs);
    }
    CU_ASSERT_EQUAL(exits, 0);
    CU_ASSERT(g_get_monotonic_time() - room_us < (gint64)kAckMs * 1000);
    char *expected = g_strdup_printf("\"version\":%u,", version);
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        HttpResponse got = {0};
        for (int k = 0; k < 20 && got.status != 200; k++) {
            g_free(got.body);
            got = emulator_http_request(emulator,
                                        emulator_control_address(emulator, i),
                                        "GET", "/config", NULL);
        }
        CU_ASSERT_EQUAL(got.status, 200);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(got.body == NULL ? "" : got.body, expected));
        g_free(got.body);
    }
    g_free(expected);
}

/* Guards against changes that are acknowledged while no majority can write,
 * and against instances that end then or do not take part again. */
static void
changes_go_on_after_all_disks_were_full(void)
{
    enum { kAckMs = 6000, kFirst = 200 };

    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        emulator_set_disk_full(emulator, kEmulatorEntries + i, TRUE);
    }
    HttpResponse put = emulator_put_document(emulator, kFirst, TRUE);
    CU_ASSERT_EQUAL(put.status, 503);
    g_free(put.body);
    uint32_t exits = run_with_restarts(100);
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        emulator_set_disk_full(emulator, kEmulatorEntries + i, FALSE);
    }
    gint64 room_us = g_get_monotonic_time();
    put = emulator_put_document(emulator, kFirst + 1, TRUE);
    CU_ASSERT_EQUAL(put.status, 200);
    CU_ASSERT(g_get_monotonic_time() - room_us < (gint64)kAckMs * 1000);
    g_free(put.body);
    exits += run_with_restarts(100);
    CU_ASSERT_EQUAL(exits, 0);
}

/* Starts the emulator for the suite.  Returns nonzero on failure. */
static int
start_emulator(void)
{
    emulator = emulator_start(SAPPHIREWEIR_BUILD "/platform-path");
    return emulator == NULL;
}

static int
stop_emulator(void)
{
    emulator_free(emulator);
    return 0;
}

/* Runs all suites, or the one that is named. */
int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"an accepted configuration is read back",
         accepted_configuration_is_read_back},
        {"invalid and old configurations change nothing",
         invalid_and_old_configurations_change_nothing},
        {"entry instance becomes ready", entry_instance_becomes_ready},
        {"statements are answered", statements_are_answered},
        {"invalid startups are refused", invalid_startups_are_refused},
        {"faulty callers harm no others", faulty_callers_harm_no_others},
        {"a lost answer is in doubt only for a write",
         lost_answer_is_in_doubt_only_for_a_write},
        {"a crashed primary is replaced", crashed_primary_is_replaced},
        {"odd reports harm nobody", odd_reports_harm_nobody},
        {"a draining primary gets no new statements",
         draining_primary_gets_no_new_statements},
        {"a withdrawn key is refused on open connections",
         withdrawn_key_is_refused_on_open_connections},
        {"a stop waits for transactions", stop_waits_for_transactions},
        {"a stop answers busy callers", stop_answers_busy_callers},
        {"a stop of a control instance answers operators",
         control_stop_answers_operators},
        {"changes go on after full disks", changes_go_on_after_full_disks},
        {"changes go on after all disks were full",
         changes_go_on_after_all_disks_were_full},
    };

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    CU_pSuite s = CU_add_suite("platform path", start_emulator, stop_emulator);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        CU_add_test(s, tests[i].name, tests[i].test);
    }
    add_evacuation_tests();
    add_placement_tests();
    CU_basic_set_mode(CU_BRM_VERBOSE);
    if (argc < 2) {
        CU_basic_run_tests();
    }
    else if (CU_get_suite(argv[1]) != NULL) {
        CU_basic_run_suite(CU_get_suite(argv[1]));
    }
    else {
        printf("no suite %s\n", argv[1]);
        return 1;
    }
    unsigned failed = CU_get_number_of_failures();
    printf("%u passed, %u failed\n",
           CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
           CU_get_number_of_tests_failed());
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
