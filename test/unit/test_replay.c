#include <string.h>
#include <unistd.h>

#include "../support/system.h"
#include "suite.h"
#include "tools/replay/replay.h"

/* Traces of an entry instance, one for each failure that the system must
 * handle.  A replay of the recorded events must lead to the recorded actions
 * and answers.  The stored traces in test/traces are replayed as they are;
 * SAPPHIREWEIR_RECORD=1 records them again, which is needed after a deliberate
 * change of a decision. */

enum {
    kRecorded = 1, /* index of the entry instance that writes the trace */
    kEntries = 3,
};

static const char team_key[] = "key-of-crews-0001";

static void
partition_primary(System *s)
{
    s->groups[0]->members[0].partitioned = TRUE;
}

/* Makes replicas replay only in every 400th step, once in 0.8 s. */
static void
delay_replicas(System *s)
{
    s->groups[0]->lag_steps = 400;
}

/* Crashes an entry instance other than the recorded one. */
static void
crash_entry(System *s)
{
    system_entry_crash(s, 0);
}

static void
withdraw_key(System *s)
{
    system_withdraw_key(s, "crews", team_key);
}

static void
partition_control_instance(System *s)
{
    s->control->nodes[1].partitioned = TRUE;
}

static void
partition_all_control(System *s)
{
    for (uint32_t i = 0; i < s->control->count; i++) {
        s->control->nodes[i].partitioned = TRUE;
    }
}

static void
suspend_replica(System *s)
{
    /* The replica is unresponsive for 350 ms, then accepts connections. */
    s->groups[0]->members[1].partitioned = TRUE;
    system_run(s, 350000);
    s->groups[0]->members[1].partitioned = FALSE;
}

/* Crashes a primary and an entry instance other than the recorded one. */
static void
crash_primary_and_entry(System *s)
{
    fake_member_kill(&s->groups[0]->members[0]);
    system_entry_crash(s, 0);
}

static void
crash_primary_and_partition_leader(System *s)
{
    FleetNode *leader = control_fleet_leader(s->control);
    fake_member_kill(&s->groups[0]->members[0]);
    leader->partitioned = TRUE;
}

/* A failure and the outcome of 40 requests through the recorded instance. */
typedef struct {
    const char *name; /* of the trace file, without its suffix */
    void (*fault)(System *s);
    uint32_t min_served;
    uint32_t min_refused;
} Scenario;

static const Scenario scenarios[] = {
    {"primary-cut", partition_primary, 38, 0},
    {"replica-behind", delay_replicas, 40, 0},
    {"proxy-dies", crash_entry, 38, 0},
    {"key-withdrawn", withdraw_key, 8, 20},
    {"control-isolated", partition_control_instance, 40, 0},
    {"all-control-lost", partition_all_control, 8, 1},
    {"connections-silent", suspend_replica, 36, 0},
    {"primary-and-proxy", crash_primary_and_entry, 36, 0},
    {"primary-and-control-leader", crash_primary_and_partition_leader, 34, 0},
};

/* Records the trace of a scenario to a file and checks its outcome.  Sends one
 * request every 100 ms, every fourth a write; the failure starts before the
 * ninth. */
static void
record_trace(const Scenario *c, const char *path)
{
    System *s = system_new(kEntries, 1, 77);
    uint64_t ids[40];
    uint32_t served = 0;
    uint32_t refused = 0;

    system_add_team(s, "crews", 1000, 2000, team_key);
    system_run(s, 5000000);
    system_entry_crash(s, kRecorded);
    s->trace_path = path;
    system_entry_start(s, kRecorded);
    system_run(s, 1500000);
    for (uint32_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        /* The body without its first ten bytes is unique as well and serves as
         * the idempotency key of a write. */
        char body[64];
        if (i == 8) {
            c->fault(s);
        }
        g_snprintf(body, sizeof(body), "{\"args\":{\"v\":\"r%u\"}}", i);
        ids[i] = system_call(
            s, kRecorded, i % 4 == 0 ? "/v1/s0/put" : "/v1/s0/list", team_key,
            i % 4 == 0 ? body + 10 : NULL, NULL, body);
        system_run(s, 100000);
    }
    system_run(s, 3500000);
    for (uint32_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        const SystemAnswer *a = system_answer(s, ids[i]);
        served += a != NULL && a->status == 200 ? 1 : 0;
        refused += a != NULL && a->status != 200 ? 1 : 0;
    }
    CU_ASSERT(served >= c->min_served);
    CU_ASSERT(refused >= c->min_refused);
    CU_ASSERT_EQUAL(served + refused, 40);
    system_free(s);
}

/* Replays a trace, which must show no difference. */
static void
check_trace(const char *path)
{
    ReplayResult r;
    GError *error = NULL;
    gboolean ok = replay_file(path, &r, &error);
    CU_ASSERT(ok);
    if (!ok) {
        g_clear_error(&error);
        return;
    }
    CU_ASSERT_EQUAL(r.differences, 0);
    CU_ASSERT(r.answers >= 40);
    CU_ASSERT(r.events > 300);
    if (r.first_difference != NULL) {
        printf("\n    %s: %s\n", path, r.first_difference);
    }
    replay_result_clear(&r);
}

/* Returns the path of the stored trace of a scenario; the caller frees it. */
static char *
stored_trace_path(const Scenario *c)
{
    char *name = g_strconcat(c->name, ".jsonl", NULL);
    char *path =
        g_build_filename(SAPPHIREWEIR_SOURCE, "test", "traces", name, NULL);
    g_free(name);
    return path;
}

static void
new_traces_replay_without_differences(void)
{
    char *folder = g_dir_make_tmp("sapphireweir-trace-XXXXXX", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        char *path = g_build_filename(folder, scenarios[i].name, NULL);
        record_trace(&scenarios[i], path);
        check_trace(path);
        unlink(path);
        g_free(path);
    }
    rmdir(folder);
    g_free(folder);
}

static void
stored_traces_replay_the_same(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        char *path = stored_trace_path(&scenarios[i]);
        if (g_getenv("SAPPHIREWEIR_RECORD") != NULL) {
            record_trace(&scenarios[i], path);
        }
        check_trace(path);
        g_free(path);
    }
}

static void
a_changed_trace_is_detected(void)
{
    char *path = stored_trace_path(&scenarios[0]);
    char *copy = g_build_filename(g_get_tmp_dir(), "changed.jsonl", NULL);
    char *text = NULL;
    ReplayResult r;

    CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
    char *at = strstr(text, "\"status\":200");
    CU_ASSERT_PTR_NOT_NULL_FATAL(at);
    memcpy(at, "\"status\":503", strlen("\"status\":503"));
    g_file_set_contents(copy, text, -1, NULL);
    CU_ASSERT(replay_file(copy, &r, NULL));
    CU_ASSERT(r.differences > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(r.first_difference, "status is 200"));
    replay_result_clear(&r);
    unlink(copy);
    g_free(text);
    g_free(copy);
    g_free(path);
}

void
add_replay_suite(void)
{
    CU_pSuite s = CU_add_suite("replay", NULL, NULL);
    CU_add_test(s, "new traces replay without differences",
                new_traces_replay_without_differences);
    CU_add_test(s, "stored traces replay the same",
                stored_traces_replay_the_same);
    CU_add_test(s, "a changed trace is detected", a_changed_trace_is_detected);
}
