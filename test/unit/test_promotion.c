#include <string.h>

#include "../support/system.h"
#include "core/schema.h"
#include "suite.h"

/* Writes under failures of database members, entry instances and control
 * instances.  Each request writes a value of its own.  In the end the
 * primary's log must contain the value of an acknowledged request once, that
 * of a request answered with not_run never, and any other at most once. */

static const char team_key[] = "key-of-crews-0001";

/* A request that writes a value. */
typedef struct {
    uint64_t id;
    char value[24];
    char idempotency_key[24];
    gboolean with_key; /* it was sent with idempotency_key */
} Write;

/* Starts six entry instances, the control instances and one database. */
static System *
start_system(uint32_t seed)
{
    System *s = system_new(6, 1, seed);
    system_add_team(s, "crews", 100000, 100000, team_key);
    system_run(s, 6000000);
    return s;
}

/* Sends a write with a new value to an entry instance.  Three of four have an
 * idempotency key. */
static void
send_write(System *s, GArray *writes, uint32_t entry)
{
    Write w = {0};
    g_snprintf(w.value, sizeof(w.value), "v%u", writes->len);
    g_snprintf(w.idempotency_key, sizeof(w.idempotency_key), "k%u",
               writes->len);
    w.with_key = writes->len % 4 != 0;
    char *body = g_strdup_printf("{\"args\":{\"v\":\"%s\"}}", w.value);
    w.id = system_call(s, entry, "/v1/s0/put", team_key,
                       w.with_key ? w.idempotency_key : NULL, NULL, body);
    g_free(body);
    g_array_append_val(writes, w);
}

/* Returns the member that the replicated state names as primary; the initial
 * one, m1, if it names none. */
static const FakeMember *
current_primary(System *s)
{
    FleetNode *leader = control_fleet_leader(s->control);
    const Resource *r =
        leader == NULL
            ? NULL
            : state_lookup(control_core_state(leader->core), "primary/db0");
    const char *name =
        r == NULL ? "m1" : json_text_or(r->spec, "member", "m1");
    return &s->groups[0]->members[name[1] - '1'];
}

/* Returns the number of promotions in the replicated state. */
static uint64_t
promotions(System *s)
{
    const Resource *r = state_lookup(
        control_core_state(control_fleet_leader(s->control)->core),
        "primary/db0");
    return r == NULL ? 0 : (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

/* Checks the primary's log against the answers and returns the number of
 * acknowledged writes.  With settled, each request that has an idempotency key
 * must have been answered. */
static uint32_t
check_writes(System *s, GArray *writes, gboolean settled)
{
    const FakeMember *primary = current_primary(s);
    uint32_t acknowledged = 0;
    for (guint i = 0; i < writes->len; i++) {
        Write *w = &g_array_index(writes, Write, i);
        const SystemAnswer *a = system_answer(s, w->id);
        uint32_t found = fake_member_count(primary, w->value);
        CU_ASSERT(found <= 1);
        if (a == NULL) {
            CU_ASSERT(!settled || !w->with_key);
            continue;
        }
        if (a->status == 200) {
            acknowledged++;
            CU_ASSERT_EQUAL(found, 1);
        }
        else if (strstr(a->body, "\"outcome\":\"not_run\"") != NULL) {
            CU_ASSERT_EQUAL(found, 0);
        }
    }
    return acknowledged;
}

/* Ends all faults and lets the system recover. */
static void
heal_all(System *s)
{
    for (uint32_t i = 0; i < kFakeMembers; i++) {
        s->groups[0]->members[i].partitioned = FALSE;
        s->groups[0]->members[i].down = FALSE;
    }
    s->groups[0]->replication_stopped = FALSE;
    for (uint32_t i = 0; i < s->entry_count; i++) {
        s->entries[i].partitioned = FALSE;
        if (s->entries[i].core == NULL) {
            system_entry_start(s, i);
        }
    }
    for (uint32_t i = 0; i < s->control->count; i++) {
        s->control->nodes[i].partitioned = FALSE;
        if (s->control->nodes[i].core == NULL) {
            control_fleet_start(s->control, i, TRUE);
        }
    }
    system_run(s, 15000000);
}

/* Starts or ends a random fault. */
static void
random_fault(System *s)
{
    GRand *rand = s->control->rand;
    /* Index of a member or of a control instance. */
    uint32_t index = (uint32_t)g_rand_int_range(rand, 0, 3);
    FakeMember *m = &s->groups[0]->members[index];

    switch (g_rand_int_range(rand, 0, 9)) {
    case 0:
        m->partitioned = !m->partitioned;
        break;
    case 1:
        fake_member_kill(m);
        break;
    case 8:
        fake_member_kill((FakeMember *)current_primary(s));
        break;
    case 2:
        m->down = FALSE;
        break;
    case 3:
        s->groups[0]->replication_stopped = !s->groups[0]->replication_stopped;
        break;
    case 4: {
        uint32_t entry = (uint32_t)g_rand_int_range(rand, 0, 6);
        if (s->entries[entry].core == NULL) {
            system_entry_start(s, entry);
        }
        else {
            system_entry_crash(s, entry);
        }
        break;
    }
    case 5:
        s->entries[g_rand_int_range(rand, 0, 6)].partitioned ^= TRUE;
        break;
    case 6:
        s->control->nodes[index].partitioned ^= TRUE;
        break;
    default:
        /* Heals the database and the control instances: without a majority of
         * the latter no primary is replaced. */
        s->groups[0]->replication_stopped = FALSE;
        for (uint32_t i = 0; i < s->control->count; i++) {
            s->control->nodes[i].partitioned = FALSE;
        }
        for (uint32_t i = 0; i < kFakeMembers; i++) {
            s->groups[0]->members[i].partitioned = FALSE;
            s->groups[0]->members[i].down = FALSE;
        }
        break;
    }
}

/* Sends writes under random faults, then checks that each was executed at most
 * once and that the healed system accepts writes. */
static void
run_schedule(uint32_t seed)
{
    System *s = start_system(seed);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    GRand *rand = s->control->rand;

    for (uint32_t step = 0; step < 250; step++) {
        for (int i = 0; i < 3; i++) {
            uint32_t entry = (uint32_t)g_rand_int_range(rand, 0, 6);
            if (s->entries[entry].core != NULL &&
                !s->entries[entry].partitioned) {
                send_write(s, writes, entry);
            }
        }
        if (step % 6 == 5) {
            /* The fault occurs while statements and commits are executed. */
            system_run(s, (uint64_t)g_rand_int_range(rand, 2, 14) * 1000);
            random_fault(s);
        }
        system_run(s, 100000);
    }
    heal_all(s);
    uint32_t acknowledged = check_writes(s, writes, FALSE);
    CU_ASSERT(acknowledged > 20);
    /* The healed system accepts a write. */
    guint before = writes->len;
    send_write(s, writes, 0);
    system_run(s, 1000000);
    const SystemAnswer *a =
        system_answer(s, g_array_index(writes, Write, before).id);
    CU_ASSERT(a != NULL && a->status == 200);
    g_array_unref(writes);
    system_free(s);
}

/* Runs six seeds, or 100 from SAPPHIREWEIR_SOAK_SEED on if that is set. */
static void
no_write_is_lost_or_duplicated_under_random_failures(void)
{
    const char *soak_seed = g_getenv("SAPPHIREWEIR_SOAK_SEED");
    uint32_t first_seed =
        soak_seed == NULL ? 1
                          : (uint32_t)g_ascii_strtoull(soak_seed, NULL, 10);
    uint32_t runs = soak_seed == NULL ? 6 : 100;
    for (uint32_t i = 0; i < runs; i++) {
        run_schedule(first_seed + i);
    }
}

/* Sends a write every 20 ms and returns the time in microseconds until one is
 * acknowledged, max_wait_us if none is by then.  Answers in the first 20 ms
 * don't count: their writes may have been committed before the failure. */
static uint64_t
failover_gap(System *s, GArray *writes, uint64_t max_wait_us)
{
    uint64_t started_us = system_now(s);
    uint64_t acknowledged_us = 0;
    while (system_now(s) - started_us < max_wait_us && acknowledged_us == 0) {
        guint index = writes->len;
        send_write(s, writes, 4);
        system_run(s, 20000);
        for (guint i = index > 100 ? index - 100 : 0; i <= index; i++) {
            const SystemAnswer *a =
                system_answer(s, g_array_index(writes, Write, i).id);
            if (a != NULL && a->status == 200 &&
                a->answered_us > started_us + 20000) {
                acknowledged_us = a->answered_us;
                break;
            }
        }
    }
    return acknowledged_us == 0 ? max_wait_us : acknowledged_us - started_us;
}

static void
a_failed_primary_is_replaced_within_a_second(void)
{
    static const struct {
        const char *name;
        gboolean kill;
        gboolean partition;
        gboolean crash_leader; /* the control leader, too */
    } cases[] = {{"killed", TRUE, FALSE, FALSE},
                 {"partitioned", FALSE, TRUE, FALSE},
                 {"killed with the control leader", TRUE, FALSE, TRUE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        System *s = start_system(20 + (uint32_t)i);
        GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
        for (int k = 0; k < 20; k++) {
            send_write(s, writes, (uint32_t)k % 6);
            system_run(s, 10000);
        }
        system_run(s, 200000);
        CU_ASSERT_EQUAL(check_writes(s, writes, TRUE), 20);
        FakeMember *old_primary = &s->groups[0]->members[0];
        old_primary->partitioned = cases[i].partition;
        if (cases[i].kill) {
            fake_member_kill(old_primary);
        }
        if (cases[i].crash_leader) {
            control_fleet_crash(s->control,
                                control_fleet_leader(s->control)->index);
        }
        CU_ASSERT(failover_gap(s, writes, 8000000) < 1000000);
        CU_ASSERT_EQUAL(promotions(s), 1);
        system_run(s, 3000000);
        check_writes(s, writes, TRUE);
        /* The old primary returns as a replica. */
        old_primary->partitioned = FALSE;
        old_primary->down = FALSE;
        system_run(s, 5000000);
        CU_ASSERT(old_primary->in_recovery);
        CU_ASSERT(old_primary->streaming);
        check_writes(s, writes, TRUE);
        g_array_unref(writes);
        system_free(s);
    }
}

static void
a_primary_without_a_majority_acknowledges_no_write(void)
{
    System *s = start_system(30);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    /* Entry instances still reach the primary, but its replicas don't. */
    s->groups[0]->members[1].partitioned = TRUE;
    s->groups[0]->members[2].partitioned = TRUE;
    for (int i = 0; i < 20; i++) {
        send_write(s, writes, 0);
        system_run(s, 50000);
    }
    system_run(s, 5000000);
    for (guint i = 0; i < writes->len; i++) {
        const SystemAnswer *a =
            system_answer(s, g_array_index(writes, Write, i).id);
        CU_ASSERT(a != NULL && a->status != 200);
    }
    g_array_unref(writes);
    system_free(s);
}

static void
a_lone_lagging_replica_is_not_promoted(void)
{
    System *s = start_system(33);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    FakeMember *m = s->groups[0]->members;
    /* The third member misses writes that the other two store. */
    m[2].partitioned = TRUE;
    for (int i = 0; i < 30; i++) {
        send_write(s, writes, (uint32_t)i % 6);
        system_run(s, 30000);
    }
    CU_ASSERT_EQUAL(check_writes(s, writes, TRUE), 30);
    /* Then the third member alone is reachable. */
    m[0].partitioned = TRUE;
    m[1].partitioned = TRUE;
    m[2].partitioned = FALSE;
    system_run(s, 5000000);
    send_write(s, writes, 2);
    system_run(s, 5000000);
    const SystemAnswer *a =
        system_answer(s, g_array_index(writes, Write, 30).id);
    CU_ASSERT(a != NULL && a->status != 200);
    heal_all(s);
    CU_ASSERT(check_writes(s, writes, TRUE) >= 30);
    g_array_unref(writes);
    system_free(s);
}

static void
a_session_reads_its_writes_on_lagging_replicas(void)
{
    System *s = start_system(31);
    s->groups[0]->lag_steps = 250; /* replicas replay twice a second */
    system_run(s, 1000000);
    uint32_t stale = 0;
    for (uint32_t i = 0; i < 40; i++) {
        char *body = g_strdup_printf("{\"args\":{\"v\":\"w%u\"}}", i);
        uint64_t w =
            system_call(s, i % 6, "/v1/s0/put", team_key, NULL, NULL, body);
        system_run(s, 60000);
        const SystemAnswer *wrote = system_answer(s, w);
        CU_ASSERT(wrote != NULL && wrote->status == 200);
        if (wrote == NULL || wrote->status != 200) {
            g_free(body);
            continue;
        }
        char *token = g_strdup(wrote->session_token);
        uint64_t r = system_call(s, (i + 1) % 6, "/v1/s0/list", team_key, NULL,
                                 token, body);
        system_run(s, 60000);
        const SystemAnswer *read = system_answer(s, r);
        stale += read == NULL || strstr(read->body, "\"found\":1") == NULL;
        g_free(token);
        g_free(body);
    }
    CU_ASSERT_EQUAL(stale, 0);
    system_free(s);
}

static void
old_request_records_are_pruned(void)
{
    System *s = start_system(34);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    system_apply(s, "[{\"key\":\"database/db0\",\"spec\":{\"members\":["
                    "{\"id\":\"m1\",\"failure_domain\":\"d0\"},"
                    "{\"id\":\"m2\",\"failure_domain\":\"d1\"},"
                    "{\"id\":\"m3\",\"failure_domain\":\"d2\"}],"
                    "\"primary\":\"m1\",\"slots\":3,\"connections\":25,"
                    "\"record_retention_s\":60}}]");
    for (int i = 0; i < 8; i++) {
        send_write(s, writes, (uint32_t)i % 6);
        system_run(s, 50000);
    }
    system_run(s, 50000000);
    CU_ASSERT(s->groups[0]->prunes >= 2);
    CU_ASSERT(s->groups[0]->prunes <= 4);
    CU_ASSERT_EQUAL(check_writes(s, writes, TRUE), 8);
    g_array_unref(writes);
    system_free(s);
}

static void
a_withdrawn_key_is_rejected_by_every_instance(void)
{
    System *s = start_system(32);
    /* Two instances don't learn of the withdrawal: instance 3 is partitioned,
     * instance 4 gets leases but no state updates.  Neither lease is valid, so
     * both refuse requests with a key. */
    s->entries[3].partitioned = TRUE;
    s->entries[4].drops_state_updates = TRUE;
    system_withdraw_key(s, "crews", team_key);
    system_run(s, 3000000);
    for (uint32_t i = 0; i < 6; i++) {
        uint64_t id = system_call(s, i, "/v1/s0/list", team_key, NULL, NULL,
                                  "{\"args\":{\"v\":\"x\"}}");
        uint64_t open = system_call(s, i, "/v1/s0/free", NULL, NULL, NULL,
                                    "{\"args\":{\"v\":\"x\"}}");
        system_run(s, 50000);
        const SystemAnswer *a = system_answer(s, id);
        CU_ASSERT(a != NULL && a->status == (i == 3 || i == 4 ? 503u : 401u));
        const SystemAnswer *b = system_answer(s, open);
        CU_ASSERT(i == 3 || (b != NULL && b->status == 200));
    }
    system_free(s);
}

void
add_promotion_suite(void)
{
    CU_pSuite s = CU_add_suite("promotion", NULL, NULL);
    CU_add_test(s, "no write is lost or duplicated under random failures",
                no_write_is_lost_or_duplicated_under_random_failures);
    CU_add_test(s, "a failed primary is replaced within a second",
                a_failed_primary_is_replaced_within_a_second);
    CU_add_test(s, "a primary without a majority acknowledges no write",
                a_primary_without_a_majority_acknowledges_no_write);
    CU_add_test(s, "a lone lagging replica is not promoted",
                a_lone_lagging_replica_is_not_promoted);
    CU_add_test(s, "a session reads its writes on lagging replicas",
                a_session_reads_its_writes_on_lagging_replicas);
    CU_add_test(s, "old request records are pruned",
                old_request_records_are_pruned);
    CU_add_test(s, "a withdrawn key is rejected by every instance",
                a_withdrawn_key_is_rejected_by_every_instance);
}
