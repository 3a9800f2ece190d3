#include <string.h>
#include <unistd.h>

#include "../support/system.h"
#include "suite.h"
#include "tools/replay/replay.h"

/* A trace for each failure of the brief: an entry instance is recorded
 * while it happens, and the record is decided the same way again.  The
 * traces in test/traces were recorded once and are replayed as they are;
 * SAPPHIREWEIR_RECORD=1 records them anew after a decision was changed on
 * purpose. */

enum { kRecorded = 1, kEntries = 3 };

static const char team_key[] = "key-of-crews-0001";

static void
primary_cut(System *s)
{
    s->groups[0]->members[0].cut = TRUE;
}

static void
replica_behind(System *s)
{
    s->groups[0]->lag_steps = 400;
}

static void
proxy_dies(System *s)
{
    system_entry_crash(s, 0);
}

static void
key_withdrawn(System *s)
{
    system_withdraw_key(s, "crews", team_key);
}

static void
control_isolated(System *s)
{
    s->control->nodes[1].cut = TRUE;
}

static void
all_control_lost(System *s)
{
    for (uint32_t i = 0; i < s->control->count; i++) {
        s->control->nodes[i].cut = TRUE;
    }
}

static void
connections_silent(System *s)
{
    /* Nothing answers for a while, then new connections work. */
    s->groups[0]->members[1].cut = TRUE;
    system_run(s, 350000);
    s->groups[0]->members[1].cut = FALSE;
}

static void
primary_and_proxy(System *s)
{
    fake_member_kill(&s->groups[0]->members[0]);
    system_entry_crash(s, 0);
}

static void
primary_and_control_leader(System *s)
{
    FleetNode *leader = control_fleet_leader(s->control);
    fake_member_kill(&s->groups[0]->members[0]);
    leader->cut = TRUE;
}

typedef struct {
    const char *name;
    void (*fault)(System *s);
    uint32_t least_done; /* of 40 requests through the instance */
    uint32_t least_refused;
} Scenario;

static const Scenario scenarios[] = {
    {"primary-cut", primary_cut, 38, 0},
    {"replica-behind", replica_behind, 40, 0},
    {"proxy-dies", proxy_dies, 38, 0},
    {"key-withdrawn", key_withdrawn, 8, 20},
    {"control-isolated", control_isolated, 40, 0},
    {"all-control-lost", all_control_lost, 8, 1},
    {"connections-silent", connections_silent, 36, 0},
    {"primary-and-proxy", primary_and_proxy, 36, 0},
    {"primary-and-control-leader", primary_and_control_leader, 34, 0},
};

static void
record(const Scenario *c, const char *path)
{
    System *s = system_new(kEntries, 1, 77);
    uint64_t ids[40];
    uint32_t done = 0;
    uint32_t refused = 0;

    system_add_team(s, "crews", 1000, 2000, team_key);
    system_run(s, 5000000);
    system_entry_crash(s, kRecorded);
    s->trace_path = path;
    system_entry_start(s, kRecorded);
    system_run(s, 1500000);
    for (uint32_t i = 0; i < G_N_ELEMENTS(ids); i++) {
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
        done += a != NULL && a->status == 200 ? 1 : 0;
        refused += a != NULL && a->status != 200 ? 1 : 0;
    }
    CU_ASSERT(done >= c->least_done);
    CU_ASSERT(refused >= c->least_refused);
    CU_ASSERT_EQUAL(done + refused, 40);
    system_free(s);
}

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

static char *
kept_path(const Scenario *c)
{
    char *name = g_strconcat(c->name, ".jsonl", NULL);
    char *path =
        g_build_filename(SAPPHIREWEIR_SOURCE, "test", "traces", name, NULL);
    g_free(name);
    return path;
}

static void
fresh_records_are_decided_alike(void)
{
    char *folder = g_dir_make_tmp("sapphireweir-trace-XXXXXX", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        char *path = g_build_filename(folder, scenarios[i].name, NULL);
        record(&scenarios[i], path);
        check_trace(path);
        unlink(path);
        g_free(path);
    }
    rmdir(folder);
    g_free(folder);
}

static void
kept_traces_are_decided_alike(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        char *path = kept_path(&scenarios[i]);
        if (g_getenv("SAPPHIREWEIR_RECORD") != NULL) {
            record(&scenarios[i], path);
        }
        check_trace(path);
        g_free(path);
    }
}

static void
a_changed_trace_is_noticed(void)
{
    char *path = kept_path(&scenarios[0]);
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
    CU_add_test(s, "fresh records are decided alike",
                fresh_records_are_decided_alike);
    CU_add_test(s, "kept traces are decided alike",
                kept_traces_are_decided_alike);
    CU_add_test(s, "a changed trace is noticed", a_changed_trace_is_noticed);
}
