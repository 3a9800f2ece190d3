#include "test_placement.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "busy_caller.h"
#include "emulator.h"

/* Where the real platform programs send statements: slow start of a cold
 * server and limits by region.  Member i is in domain zi; the entry instances
 * are in z0 and z1.  The tests run in order on one emulator and leave all
 * members running. */

enum {
    kColdMs = 6000,
    kColdPerS = 20,
    /* Operators allow one and a half times the limit and five more in any
     * second. */
    kColdBound = kColdPerS * 3 / 2 + 5,
    kCallers = 12,          /* at each entry instance */
    kStatementDelayMs = 20, /* at a member */
    kSettleMs = 1200,       /* until a configuration is used everywhere */
    kReads = 20,
    kPromotionMs = 10000, /* until a failed primary is replaced */
    kPromptMs = 300,      /* of a refusal at once; the route allows 800 */
};

/* z2 has no entry instance, so that an instance of the other region owns the
 * connections of its server. */
static const char kZones[] =
    "{\"z0\":\"north\",\"z1\":\"middle\",\"z2\":\"south\"}";
static const char kNorth[] = ",\"regions-allowed\":[\"north\"]";
static const char kInside[] = ",\"regions-allowed\":[\"middle\",\"north\"]";
static const char kSouth[] = ",\"regions-allowed\":[\"south\"]";

static Emulator *emulator;
static uint32_t version;

/* Puts a configuration with further fields of the route, the team and the
 * service, and waits until it is in use.  Returns whether it was accepted. */
static gboolean
try_configure(const char *route, const char *team, const char *service)
{
    char *body = g_strdup_printf(
        "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"shop\","
        "\"path-prefix\":\"/\",\"kind\":\"read_your_writes\","
        "\"timeout-ms\":800,\"target-latency-ms\":250,\"priority\":1,"
        "\"service\":\"orders\",\"max-staleness-ms\":60000,"
        "\"public\":false%s}],\"services\":[{\"name\":\"orders\","
        "\"max-conns\":40,\"sync-replicas\":0%s}],"
        "\"limits\":{\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\","
        "\"api-keys\":[\"key-1\"],\"rate-per-s\":5000,\"burst\":5000%s}]}",
        ++version, route, service, team);

    gboolean accepted = emulator_put_text(emulator, body) == 200;
    g_free(body);
    emulator_run_for(emulator, kSettleMs);
    return accepted;
}

/* As try_configure, and checks that the configuration is accepted. */
static void
configure(const char *route, const char *team, const char *service)
{
    CU_ASSERT(try_configure(route, team, service));
}

static int
start(void)
{
    emulator = emulator_start_with_settings(
        SAPPHIREWEIR_BUILD "/platform-placement", kZones, "{}");
    emulator_run_for(emulator, 1500);
    return !try_configure("", "", "");
}

static int
stop(void)
{
    emulator_free(emulator);
    return 0;
}

/* Keeps readers busy at both entry instances.  Returns how many statements
 * were answered. */
static uint64_t
run_readers(uint32_t for_ms)
{
    static const char *const script[] = {"READ 1", NULL};
    BusyCaller *callers[kEmulatorEntries * kCallers];
    gint64 end_us = g_get_monotonic_time() + (gint64)for_ms * 1000;
    uint64_t answered = 0;

    for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        callers[i] =
            busy_caller_new(emulator, i % kEmulatorEntries, script, 1);
        CU_ASSERT_PTR_NOT_NULL_FATAL(callers[i]);
    }
    while (g_get_monotonic_time() < end_us) {
        emulator_run_for(emulator, 50);
    }
    for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        answered += busy_caller_answered(callers[i]);
        busy_caller_free(callers[i]);
    }
    return answered;
}

/* Returns a metric of an entry instance. */
static uint64_t
metric(uint32_t entry, const char *name)
{
    char *line = g_strdup_printf("\nsapphireweir_%s ", name);
    HttpResponse r = emulator_http_request(
        emulator, emulator_probe_address(emulator, entry), "GET", "/metrics",
        NULL);
    const char *at = r.body == NULL ? NULL : strstr(r.body, line);
    uint64_t value = at == NULL ? 0 : strtoull(at + strlen(line), NULL, 10);

    CU_ASSERT_PTR_NOT_NULL(at);
    g_free(r.body);
    g_free(line);
    return value;
}

/* Opens a session. */
static EmulatorCaller *
open_session(uint32_t entry)
{
    EmulatorCaller *c = caller_connect(emulator, entry);

    CU_ASSERT(
        g_str_has_prefix(caller_request(c, "STARTUP shop key-1"), "READY I"));
    return c;
}

/* Sends reads one after the other.  Returns how many were served. */
static uint32_t
read_at(uint32_t entry)
{
    EmulatorCaller *c = open_session(entry);
    uint32_t served = 0;

    for (uint32_t i = 0; i < kReads; i++) {
        const char *answer = caller_request(c, "QUERY r READ 1");
        if (strstr(answer, "COMPLETE") == NULL) {
            printf("\n    entry %u: %s", entry, answer);
            continue;
        }
        served++;
    }
    caller_close(c);
    return served;
}

/* Checks that a statement is refused at once, since its region has no server
 * for it. */
static void
check_refused(uint32_t entry, const char *text)
{
    EmulatorCaller *c = open_session(entry);
    gint64 sent_us = g_get_monotonic_time();
    const char *answer = caller_request(c, text);
    gint64 took_us = g_get_monotonic_time() - sent_us;

    if (strstr(answer, "not run: no server in an allowed region") == NULL) {
        printf("\n    %s: %s", text, answer);
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(answer, "ERROR BUSY"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(answer, "not run: no server in an allowed region"));
    CU_ASSERT(took_us < (gint64)kPromptMs * 1000);
    caller_close(c);
}

/* Guards against entry instances that together send a cold server more than
 * its limit within any second, and against one that gets nothing. */
static void
a_cold_server_gets_its_limit_at_most(void)
{
    char *cold = g_strdup_printf(",\"cold-start-s\":%d,\"cold-per-s\":%d",
                                 kColdMs / 1000, kColdPerS);

    configure("", "", cold);
    emulator_set_statement_delay(emulator, kStatementDelayMs);
    run_readers(2000);
    emulator_clear_arrivals(emulator, 1);
    run_readers(2000);
    /* The load suffices to exceed the limit. */
    CU_ASSERT(emulator_max_arrivals(emulator, 1) > 2 * kColdBound);
    emulator_restart_member(emulator, 1, kColdMs);
    uint64_t answered = run_readers(kColdMs - 500);
    uint32_t most = emulator_max_arrivals(emulator, 1);
    printf("\n    %u in a second, %u allowed; %lu answered ", most,
           (unsigned)kColdBound, answered);
    CU_ASSERT(most <= kColdBound);
    CU_ASSERT(most > 0);
    CU_ASSERT(answered > 200);
    emulator_set_statement_delay(emulator, 0);
    g_free(cold);
}

/* Guards against reads that load sends to an idle server of another region. */
static void
limited_statements_stay_inside(void)
{
    const char *const cases[][2] = {{kInside, ""}, {"", kInside}};

    configure("", "", "");
    emulator_set_statement_delay(emulator, kStatementDelayMs);
    run_readers(2000);
    uint32_t outside = emulator_member_statements(emulator, 2);
    run_readers(1000);
    /* Without a limit, the load reaches it. */
    CU_ASSERT(emulator_member_statements(emulator, 2) > outside);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        configure(cases[i][0], cases[i][1], "");
        outside = emulator_member_statements(emulator, 2);
        CU_ASSERT(run_readers(1000) > 50);
        CU_ASSERT_EQUAL(emulator_member_statements(emulator, 2), outside);
    }
    emulator_set_statement_delay(emulator, 0);
}

/* Returns the lower of the increases of relayed_total at both entry instances,
 * and takes the present values.  The owner of a server's connections counts
 * its own statements, too. */
static uint64_t
least_relayed(uint64_t *before)
{
    uint64_t least = UINT64_MAX;

    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        uint64_t value = metric(i, "relayed_total");
        least = MIN(least, value - before[i]);
        before[i] = value;
    }
    return least;
}

/* The server of the south belongs to an entry instance of another region.
 * Guards against statements that are sent through it. */
static void
an_owner_outside_is_not_used(void)
{
    const char *const cases[][2] = {{kSouth, ""}, {"", kSouth}};
    uint64_t relayed[kEmulatorEntries] = {0};

    /* Without a limit, the owner is used, and the instances learn the position
     * of the primary, which reads of a replica need. */
    configure("", "", "");
    least_relayed(relayed);
    emulator_set_statement_delay(emulator, kStatementDelayMs);
    run_readers(1000);
    emulator_set_statement_delay(emulator, 0);
    CU_ASSERT(least_relayed(relayed) > 0);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        configure(cases[i][0], cases[i][1], "");
        uint32_t before = emulator_member_statements(emulator, 2);
        least_relayed(relayed);
        for (uint32_t k = 0; k < kEmulatorEntries; k++) {
            CU_ASSERT_EQUAL(read_at(k), kReads);
        }
        CU_ASSERT_EQUAL(emulator_member_statements(emulator, 2),
                        before + kEmulatorEntries * kReads);
        CU_ASSERT_EQUAL(least_relayed(relayed), 0);
    }
}

/* Guards against statements that wait for their time limit, or run outside,
 * when no server inside can run them: lists without a common region, and a
 * primary that moved outside as the server inside was lost. */
static void
nothing_inside_is_refused_at_once(void)
{
    configure(kNorth, kSouth, "");
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        check_refused(i, "QUERY n1 READ 1");
        check_refused(i, "QUERY n2 WRITE 1 nowhere");
    }
    configure(kNorth, "", "");
    CU_ASSERT_EQUAL(read_at(0), kReads);
    CU_ASSERT_EQUAL(read_at(1), kReads);
    emulator_set_member_running(emulator, 0, FALSE);
    gint64 end_us = g_get_monotonic_time() + (gint64)kPromotionMs * 1000;
    EmulatorCaller *c = open_session(0);
    /* Writes that fail are the evidence that the primary has failed. */
    while (emulator_primary(emulator) == 0 &&
           g_get_monotonic_time() < end_us) {
        caller_request(c, "QUERY n3 WRITE 1 lost");
        emulator_run_for(emulator, 100);
    }
    caller_close(c);
    CU_ASSERT_NOT_EQUAL_FATAL(emulator_primary(emulator), 0);
    emulator_run_for(emulator, kSettleMs);
    uint32_t outside = emulator_member_statements(emulator, 1) +
                       emulator_member_statements(emulator, 2);
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        check_refused(i, "QUERY n4 WRITE 1 outside");
    }
    CU_ASSERT_EQUAL(emulator_member_statements(emulator, 1) +
                        emulator_member_statements(emulator, 2),
                    outside);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "outside"), 0);
    CU_ASSERT_EQUAL(emulator_commit_count(emulator, "nowhere"), 0);
    emulator_set_member_running(emulator, 0, TRUE);
    CU_ASSERT(metric(0, "refused_region_total") > 0);
}

/* Registers the suite; see the header. */
void
add_placement_tests(void)
{
    CU_pSuite s = CU_add_suite("cold servers and regions", start, stop);

    CU_add_test(s, "a cold server gets its limit at most",
                a_cold_server_gets_its_limit_at_most);
    CU_add_test(s, "limited statements stay inside",
                limited_statements_stay_inside);
    CU_add_test(s, "an owner outside is not used",
                an_owner_outside_is_not_used);
    CU_add_test(s, "nothing inside is refused at once",
                nothing_inside_is_refused_at_once);
}
