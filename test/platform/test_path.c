#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "emulator.h"

/* The real programs on an emulated platform, end to end. */

static Emulator *world;

static EmulatorCaller *
session(uint32_t entry)
{
    EmulatorCaller *c = caller_connect(world, entry);
    CU_ASSERT(
        g_str_has_prefix(caller_ask(c, "STARTUP shop key-1"), "READY I"));
    return c;
}

/* Asks until the answer has a text; at most for some time. */
static gboolean
ask_until(EmulatorCaller **c, uint32_t entry, const char *text,
          const char *wanted, uint32_t patience_ms)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)patience_ms * 1000;

    while (g_get_monotonic_time() < until_us) {
        if (caller_closed(*c)) {
            caller_leave(*c);
            *c = caller_connect(world, entry);
            caller_ask(*c, "STARTUP shop key-1");
        }
        if (strstr(caller_ask(*c, text), wanted) != NULL) {
            return TRUE;
        }
        emulator_pump(world, 50);
    }
    return FALSE;
}

static void
a_configuration_is_accepted_and_read_back(void)
{
    HttpReply put = emulator_put_document(world, 7, TRUE);
    CU_ASSERT_EQUAL(put.status, 200);
    HttpReply got = {0};
    for (int i = 0; i < 20 && got.status != 200; i++) {
        got = emulator_http(world, emulator_control(world, 1), "GET",
                            "/config", NULL);
    }
    CU_ASSERT_EQUAL(got.status, 200);
    CU_ASSERT_STRING_EQUAL(got.body, put.body);
    g_free(put.body);
    g_free(got.body);
}

static void
bad_configurations_are_refused(void)
{
    static const struct {
        const char *body;
        int status;
    } cases[] = {
        {"{\"version\":9,\"routes\":[", 400},
        {"{\"version\":9,\"routes\":[],\"services\":7}", 400},
        {"", 400},
        /* Older and equal ones are acknowledged and change nothing. */
        {"{\"version\":3,\"routes\":[],\"services\":[]}", 200},
        {"{\"version\":7,\"routes\":[],\"services\":[]}", 200},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpReply r = emulator_http(world, emulator_control(world, i % 3),
                                    "PUT", "/config", cases[i].body);
        CU_ASSERT_EQUAL(r.status, cases[i].status);
        g_free(r.body);
    }
    HttpReply got = emulator_http(world, emulator_control(world, 0), "GET",
                                  "/config", NULL);
    CU_ASSERT_PTR_NOT_NULL(strstr(got.body == NULL ? "" : got.body, "shop"));
    g_free(got.body);
}

static void
instances_become_ready(void)
{
    HttpReply r = {0};
    for (int i = 0; i < 60 && r.status != 200; i++) {
        g_free(r.body);
        emulator_pump(world, 100);
        r = emulator_http(world, emulator_probe(world, 0), "GET", "/readyz",
                          NULL);
    }
    CU_ASSERT_EQUAL(r.status, 200);
    g_free(r.body);
}

static void
statements_are_answered(void)
{
    static const struct {
        const char *ask;
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
    EmulatorCaller *c = session(0);

    CU_ASSERT(ask_until(&c, 0, "QUERY a0 WRITE 1a4 warm", "COMPLETE", 5000));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *got = caller_ask(c, cases[i].ask);
        if (strstr(got, cases[i].answer) == NULL) {
            printf("\n    %s: %s", cases[i].ask, got);
        }
        CU_ASSERT_PTR_NOT_NULL(strstr(got, cases[i].answer));
    }
    CU_ASSERT_EQUAL(emulator_written(world, "first"), 1);
    CU_ASSERT_EQUAL(emulator_written(world, "second"), 1);
    CU_ASSERT_EQUAL(emulator_written(world, "third"), 1);
    CU_ASSERT_EQUAL(emulator_written(world, "undone"), 0);
    caller_leave(c);
}

static void
strangers_are_refused(void)
{
    static const struct {
        const char *ask;
        const char *answer;
    } cases[] = {
        {"STARTUP shop nobody", "ERROR NOAUTH"},
        {"STARTUP nowhere key-1", "ERROR NODB"},
        {"STARTUP", "ERROR MALFORMED"},
        {"QUERY 1 READ 2", "ERROR MALFORMED"},
        {"GET / HTTP/1.1", "ERROR MALFORMED"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EmulatorCaller *c = caller_connect(world, 0);
        CU_ASSERT(
            g_str_has_prefix(caller_ask(c, cases[i].ask), cases[i].answer));
        emulator_pump(world, 50);
        CU_ASSERT(caller_closed(c));
        caller_leave(c);
    }
}

static void
rude_callers_harm_nobody(void)
{
    EmulatorCaller *c = session(0);
    char *long_line = g_strnfill((2 << 20) + 10, 'x');

    /* Several statements in one write are answered in order. */
    caller_send(c, "QUERY p1 READ 1\r\nQUERY p2 READ 2\r\n");
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY p3 READ 3"), "READY I"));
    /* Leaving in a transaction rolls it back. */
    caller_ask(c, "QUERY q1 BEGIN");
    caller_ask(c, "QUERY q2 WRITE 1 halfway");
    caller_leave(c);
    emulator_pump(world, 300);
    CU_ASSERT_EQUAL(emulator_written(world, "halfway"), 0);
    CU_ASSERT_EQUAL(emulator_open_transactions(world), 0);
    /* A message without end is refused. */
    c = session(0);
    caller_send(c, long_line);
    for (int i = 0; i < 40 && !caller_closed(c); i++) {
        emulator_pump(world, 50);
    }
    CU_ASSERT(caller_closed(c));
    caller_leave(c);
    g_free(long_line);
    c = session(0);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY r1 READ 1"), "COMPLETE"));
    caller_leave(c);
}

static void
a_lost_answer_leaves_doubt_once(void)
{
    EmulatorCaller *c = session(0);

    emulator_lose_next_answer(world);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY l1 WRITE 1 doubtful"), "ERROR INDOUBT"));
    CU_ASSERT_EQUAL(emulator_written(world, "doubtful"), 1);
    /* A read is simply asked again. */
    emulator_lose_next_answer(world);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY l2 READ 1"), "COMPLETE"));
    /* In a transaction nothing is kept. */
    caller_ask(c, "QUERY l3 BEGIN");
    emulator_lose_next_answer(world);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY l4 WRITE 1 dropped"), "ERROR ABORTED"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(c, "QUERY l5 ROLLBACK"), "READY I"));
    CU_ASSERT_EQUAL(emulator_written(world, "dropped"), 0);
    caller_leave(c);
}

static void
a_crashed_primary_is_replaced(void)
{
    EmulatorCaller *c = session(0);
    uint32_t before = emulator_promotions(world);
    int old = emulator_primary(world);

    emulator_member_power(world, (uint32_t)old, FALSE);
    /* The users' bound for a change of primary. */
    CU_ASSERT(
        ask_until(&c, 0, "QUERY n1 WRITE 1 after-crash", "COMPLETE", 7000));
    CU_ASSERT(emulator_promotions(world) > before);
    CU_ASSERT_NOT_EQUAL(emulator_primary(world), old);
    emulator_member_power(world, (uint32_t)old, TRUE);
    emulator_pump(world, 500);
    caller_leave(c);
}

static void
a_leaving_primary_gets_no_new_work(void)
{
    EmulatorCaller *c = session(1);
    int old = emulator_primary(world);

    emulator_member_drain(world, (uint32_t)old);
    for (int i = 0; i < 120 && emulator_primary(world) == old; i++) {
        caller_ask(c, "QUERY o1 READ 1");
        emulator_pump(world, 50);
    }
    CU_ASSERT_NOT_EQUAL(emulator_primary(world), old);
    CU_ASSERT(
        ask_until(&c, 1, "QUERY o2 WRITE 1 after-drain", "COMPLETE", 7000));
    uint32_t late = emulator_after_drain(world);
    for (int i = 0; i < 40; i++) {
        caller_ask(c, "QUERY o3 READ 1");
    }
    CU_ASSERT_EQUAL(emulator_after_drain(world), late);
    caller_leave(c);
}

static void
a_withdrawn_key_stops_on_open_connections(void)
{
    EmulatorCaller *c = session(1);

    CU_ASSERT_EQUAL(emulator_put_document(world, 12, FALSE).status, 200);
    CU_ASSERT(ask_until(&c, 1, "QUERY k1 READ 1", "ERROR NOAUTH", 3000));
    CU_ASSERT_EQUAL(emulator_put_document(world, 15, TRUE).status, 200);
    CU_ASSERT(ask_until(&c, 1, "QUERY k2 READ 1", "COMPLETE", 3000));
    caller_leave(c);
}

static void
a_stop_cuts_nothing_off(void)
{
    EmulatorCaller *idle = session(1);
    EmulatorCaller *busy = session(1);
    pid_t pid = emulator_entry_pid(world, 1);
    int exit_code = -1;

    caller_ask(busy, "QUERY s1 BEGIN");
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(busy, "QUERY s2 WRITE 1 last"), "COMPLETE"));
    kill(pid, SIGTERM);
    emulator_pump(world, 300);
    HttpReply r =
        emulator_http(world, emulator_probe(world, 1), "GET", "/readyz", NULL);
    CU_ASSERT_EQUAL(r.status, 503);
    g_free(r.body);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_ask(busy, "QUERY s3 COMMIT"), "COMPLETE"));
    CU_ASSERT_EQUAL(emulator_written(world, "last"), 1);
    for (int i = 0; i < 60 && !emulator_ended(world, pid, &exit_code); i++) {
        emulator_pump(world, 100);
    }
    CU_ASSERT_EQUAL(exit_code, 0);
    CU_ASSERT(caller_closed(idle));
    CU_ASSERT(caller_closed(busy));
    caller_leave(idle);
    caller_leave(busy);
}

static int
start_world(void)
{
    world = emulator_start(SAPPHIREWEIR_BUILD "/platform-path");
    return world == NULL;
}

static int
end_world(void)
{
    emulator_free(world);
    return 0;
}

int
main(void)
{
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"a configuration is accepted and read back",
         a_configuration_is_accepted_and_read_back},
        {"bad configurations are refused", bad_configurations_are_refused},
        {"instances become ready", instances_become_ready},
        {"statements are answered", statements_are_answered},
        {"strangers are refused", strangers_are_refused},
        {"rude callers harm nobody", rude_callers_harm_nobody},
        {"a lost answer leaves doubt once", a_lost_answer_leaves_doubt_once},
        {"a crashed primary is replaced", a_crashed_primary_is_replaced},
        {"a leaving primary gets no new work",
         a_leaving_primary_gets_no_new_work},
        {"a withdrawn key stops on open connections",
         a_withdrawn_key_stops_on_open_connections},
        {"a stop cuts nothing off", a_stop_cuts_nothing_off},
    };

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    CU_pSuite s = CU_add_suite("platform path", start_world, end_world);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        CU_add_test(s, tests[i].name, tests[i].test);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    printf("%u passed, %u failed\n",
           CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
           CU_get_number_of_tests_failed());
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
