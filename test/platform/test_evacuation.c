#include "test_evacuation.h"

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "emulator.h"

/* Evacuating failure domains with the real platform programs.  Member i is in
 * domain zi.  The tests run in order on one emulator. */

enum {
    kEvacuateMs = 5000, /* the default of the settings */
    kWatchMs = 1500,    /* in which nothing may reach a domain */
};

static Emulator *emulator;

static int
start(void)
{
    emulator = emulator_start(SAPPHIREWEIR_BUILD "/platform-evacuation");
    HttpResponse put = emulator_put_document(emulator, 1, TRUE);
    g_free(put.body);
    emulator_run_for(emulator, 2500);
    return put.status != 200;
}

static int
stop(void)
{
    emulator_free(emulator);
    return 0;
}

/* Sends reads and writes at both entry instances for some time.  Returns how
 * many were completed. */
static uint32_t
run_callers(uint32_t for_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)for_ms * 1000;
    EmulatorCaller *callers[kEmulatorEntries];
    uint32_t completed = 0;

    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        callers[i] = caller_connect(emulator, i);
        caller_request(callers[i], "STARTUP shop key-1");
    }
    while (g_get_monotonic_time() < end_us) {
        for (uint32_t i = 0; i < kEmulatorEntries; i++) {
            if (caller_is_closed(callers[i])) {
                caller_close(callers[i]);
                callers[i] = caller_connect(emulator, i);
                caller_request(callers[i], "STARTUP shop key-1");
            }
            completed += strstr(caller_request(callers[i], "QUERY r1 READ 1"),
                                "COMPLETE") != NULL;
            completed +=
                strstr(caller_request(callers[i], "QUERY w1 WRITE 1 x"),
                       "COMPLETE") != NULL;
        }
        emulator_run_for(emulator, 5);
    }
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        caller_close(callers[i]);
    }
    return completed;
}

/* Checks that a member gets no statement and has no connection, while callers
 * are served. */
static void
check_evacuated(uint32_t member)
{
    uint32_t before = emulator_member_statements(emulator, member);

    CU_ASSERT(run_callers(kWatchMs) > 20);
    CU_ASSERT_EQUAL(emulator_member_statements(emulator, member), before);
    CU_ASSERT_EQUAL(emulator_open_links(emulator, member), 0);
    CU_ASSERT_NOT_EQUAL(emulator_primary(emulator), (int)member);
}

/* Malformed input and unknown domains get an error and have no effect. */
static void
bad_orders_have_no_effect(void)
{
    static const struct {
        const char *method;
        const char *path;
        int status;
    } cases[] = {
        {"POST", "/evacuations/", 400},
        {"DELETE", "/evacuations/", 400},
        {"POST", "/evacuations/%00", 400},
        {"POST", "/evacuations/z0%0a", 400},
        {"POST", "/evacuations/%ff%fe", 400},
        {"POST", "/evacuations/nowhere", 404},
        {"DELETE", "/evacuations/nowhere", 404},
        {"POST", "/evacuations/z0/more", 404},
        {"POST", "/evacuations", 404},
        {"PUT", "/evacuations/z0", 404},
        {"GET", "/evacuations/z0", 404},
        {"POST", "/config", 404},
        {"DELETE", "/evacuations/z0", 200}, /* it is not evacuated */
    };
    char *name = g_strnfill(256, 'z');
    char *path = g_strconcat("/evacuations/", name, NULL);

    for (size_t i = 0; i <= G_N_ELEMENTS(cases); i++) {
        gboolean last = i == G_N_ELEMENTS(cases);
        int wanted = last ? 400 : cases[i].status;
        gint64 sent_us = g_get_monotonic_time();
        HttpResponse r = emulator_http_request(
            emulator, emulator_control_address(emulator, i % 3),
            last ? "POST" : cases[i].method, last ? path : cases[i].path,
            NULL);
        if (r.status != wanted) {
            /* Without a status, the time tells a closed connection from a
             * control instance that stands still. */
            printf("\n    case %zu: status %d after %" G_GINT64_FORMAT " ms\n",
                   i, r.status, (g_get_monotonic_time() - sent_us) / 1000);
        }
        CU_ASSERT_EQUAL(r.status, wanted);
        g_free(r.body);
    }
    HttpResponse metrics =
        emulator_http_request(emulator, emulator_control_address(emulator, 0),
                              "GET", "/metrics", NULL);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(metrics.body == NULL ? "" : metrics.body,
               "sapphireweir_evacuation_changes_total 0\n"));
    g_free(metrics.body);
    g_free(path);
    g_free(name);
}

/* The primary's domain is evacuated under load and restored again. */
static void
a_domain_is_evacuated_and_restored(void)
{
    uint32_t domain = (uint32_t)emulator_primary(emulator);

    run_callers(500);
    CU_ASSERT(emulator_order(emulator, domain, TRUE));
    CU_ASSERT(run_callers(kEvacuateMs) > 100);
    check_evacuated(domain);
    CU_ASSERT(emulator_order(emulator, domain, TRUE));
    CU_ASSERT(emulator_order(emulator, domain, FALSE));
    CU_ASSERT(emulator_order(emulator, domain, FALSE));
    uint32_t before = emulator_member_statements(emulator, domain);
    run_callers(2000);
    CU_ASSERT(emulator_member_statements(emulator, domain) > before);
}

/* An order is acknowledged while a control instance is killed; it is in force
 * after all control instances are killed at once, and an entry instance that
 * starts during the evacuation follows it. */
static void
an_evacuation_survives_kills(void)
{
    uint32_t domain = (uint32_t)emulator_primary(emulator);

    emulator_kill_program(emulator, kEmulatorEntries);
    CU_ASSERT(emulator_order(emulator, domain, TRUE));
    for (uint32_t i = 1; i < kEmulatorControls; i++) {
        emulator_kill_program(emulator, kEmulatorEntries + i);
    }
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        emulator_start_program(emulator, kEmulatorEntries + i);
    }
    run_callers(kEvacuateMs + 2000);
    emulator_kill_program(emulator, 0);
    emulator_start_program(emulator, 0);
    run_callers(1500);
    check_evacuated(domain);
    CU_ASSERT(emulator_order(emulator, domain, FALSE));
}

/* Every domain is evacuated: what cannot be served is refused with the reason,
 * and nothing is sent. */
static void
the_last_domain_is_evacuated(void)
{
    uint32_t before[kEmulatorMembers];

    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        CU_ASSERT(emulator_order(emulator, i, TRUE));
    }
    run_callers(kEvacuateMs);
    EmulatorCaller *c = caller_connect(emulator, 1);
    caller_request(c, "STARTUP shop key-1");
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        before[i] = emulator_member_statements(emulator, i);
    }
    const char *answer = caller_request(c, "QUERY x1 READ 1");
    CU_ASSERT_PTR_NOT_NULL(strstr(answer, "ERROR BUSY"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(answer, "not run: failure domain is evacuated"));
    caller_close(c);
    CU_ASSERT_EQUAL(run_callers(500), 0);
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        CU_ASSERT_EQUAL(emulator_member_statements(emulator, i), before[i]);
        CU_ASSERT(emulator_order(emulator, i, FALSE));
    }
    CU_ASSERT(run_callers(2000) > 100);
}

/* Registers the suite; see the header. */
void
add_evacuation_tests(void)
{
    CU_pSuite s = CU_add_suite("evacuation", start, stop);

    CU_add_test(s, "bad orders have no effect", bad_orders_have_no_effect);
    CU_add_test(s, "a domain is evacuated and restored",
                a_domain_is_evacuated_and_restored);
    CU_add_test(s, "an evacuation survives kills",
                an_evacuation_survives_kills);
    CU_add_test(s, "the last domain is evacuated",
                the_last_domain_is_evacuated);
}
