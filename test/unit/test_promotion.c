#include <string.h>

#include "../support/system.h"
#include "core/schema.h"
#include "suite.h"

/* Writes under random failures of members, entry and control instances.
 * Every value is written by one request; in the end the primary's log must
 * hold acknowledged values once, refused ones never, others at most once. */

static const char team_key[] = "key-of-crews-0001";

typedef struct {
    uint64_t id;
    char value[24];
    char idempotency[24];
    gboolean with_key;
} Write;

static System *
start_system(uint32_t seed)
{
    System *s = system_new(6, 1, seed);
    system_add_team(s, "crews", 100000, 100000, team_key);
    system_run(s, 6000000);
    return s;
}

static void
send_write(System *s, GArray *writes, uint32_t entry)
{
    Write w = {0};
    g_snprintf(w.value, sizeof(w.value), "v%u", writes->len);
    g_snprintf(w.idempotency, sizeof(w.idempotency), "k%u", writes->len);
    w.with_key = writes->len % 4 != 0;
    char *body = g_strdup_printf("{\"args\":{\"v\":\"%s\"}}", w.value);
    w.id = system_call(s, entry, "/v1/s0/put", team_key,
                       w.with_key ? w.idempotency : NULL, NULL, body);
    g_free(body);
    g_array_append_val(writes, w);
}

static const FakeMember *
final_primary(System *s)
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

static uint64_t
promotions(System *s)
{
    const Resource *r = state_lookup(
        control_core_state(control_fleet_leader(s->control)->core),
        "primary/db0");
    return r == NULL ? 0 : (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

static uint32_t
check_writes(System *s, GArray *writes, gboolean settled)
{
    const FakeMember *primary = final_primary(s);
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

static void
random_fault(System *s)
{
    GRand *rand = s->control->rand;
    uint32_t which = (uint32_t)g_rand_int_range(rand, 0, 3);
    FakeMember *m = &s->groups[0]->members[which];

    switch (g_rand_int_range(rand, 0, 9)) {
    case 0:
        m->partitioned = !m->partitioned;
        break;
    case 1:
        fake_member_kill(m);
        break;
    case 8:
        fake_member_kill((FakeMember *)final_primary(s));
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
        s->control->nodes[which].partitioned ^= TRUE;
        break;
    default:
        /* A moment of peace, for control too: without a majority of it
         * nothing of interest happens. */
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
            /* In the middle of the writes' statements and commits. */
            system_run(s, (uint64_t)g_rand_int_range(rand, 2, 14) * 1000);
            random_fault(s);
        }
        system_run(s, 100000);
    }
    heal_all(s);
    uint32_t acknowledged = check_writes(s, writes, FALSE);
    CU_ASSERT(acknowledged > 20);
    /* It serves again. */
    guint before = writes->len;
    send_write(s, writes, 0);
    system_run(s, 1000000);
    const SystemAnswer *a =
        system_answer(s, g_array_index(writes, Write, before).id);
    CU_ASSERT(a != NULL && a->status == 200);
    g_array_unref(writes);
    system_free(s);
}

static void
no_write_is_lost_or_doubled_under_random_failures(void)
{
    const char *soak = g_getenv("SAPPHIREWEIR_SOAK_SEED");
    uint32_t first =
        soak == NULL ? 1 : (uint32_t)g_ascii_strtoull(soak, NULL, 10);
    uint32_t runs = soak == NULL ? 6 : 100;
    for (uint32_t i = 0; i < runs; i++) {
        run_schedule(first + i);
    }
}

/* Returns how long, in microseconds, writes could not be made after the
 * primary was lost in the given way. */
static uint64_t
failover_gap(System *s, GArray *writes, uint64_t patience_us)
{
    uint64_t began_us = system_now(s);
    uint64_t first_us = 0;
    while (system_now(s) - began_us < patience_us && first_us == 0) {
        guint index = writes->len;
        send_write(s, writes, 4);
        system_run(s, 20000);
        for (guint i = index > 100 ? index - 100 : 0; i <= index; i++) {
            const SystemAnswer *a =
                system_answer(s, g_array_index(writes, Write, i).id);
            if (a != NULL && a->status == 200 &&
                a->answered_us > began_us + 20000) {
                first_us = a->answered_us;
                break;
            }
        }
    }
    return first_us == 0 ? patience_us : first_us - began_us;
}

static void
a_lost_primary_is_replaced_within_a_second(void)
{
    static const struct {
        const char *what;
        gboolean kill;
        gboolean partitioned;
        gboolean leader_too;
    } cases[] = {{"killed", TRUE, FALSE, FALSE},
                 {"cut off", FALSE, TRUE, FALSE},
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
        FakeMember *old = &s->groups[0]->members[0];
        old->partitioned = cases[i].partitioned;
        if (cases[i].kill) {
            fake_member_kill(old);
        }
        if (cases[i].leader_too) {
            control_fleet_crash(s->control,
                                control_fleet_leader(s->control)->index);
        }
        CU_ASSERT(failover_gap(s, writes, 8000000) < 1000000);
        CU_ASSERT_EQUAL(promotions(s), 1);
        system_run(s, 3000000);
        check_writes(s, writes, TRUE);
        /* The old primary comes back and follows. */
        old->partitioned = FALSE;
        old->down = FALSE;
        system_run(s, 5000000);
        CU_ASSERT(old->in_recovery);
        CU_ASSERT(old->streaming);
        check_writes(s, writes, TRUE);
        g_array_unref(writes);
        system_free(s);
    }
}

static void
a_side_without_majority_acknowledges_nothing(void)
{
    System *s = start_system(30);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    /* The primary keeps its owner but loses both replicas. */
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
a_lagging_replica_is_not_promoted_alone(void)
{
    System *s = start_system(33);
    GArray *writes = g_array_new(FALSE, FALSE, sizeof(Write));
    FakeMember *m = s->groups[0]->members;
    /* The third member misses what the first two acknowledge. */
    m[2].partitioned = TRUE;
    for (int i = 0; i < 30; i++) {
        send_write(s, writes, (uint32_t)i % 6);
        system_run(s, 30000);
    }
    CU_ASSERT_EQUAL(check_writes(s, writes, TRUE), 30);
    /* Then the others go, and it is back alone. */
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
    s->groups[0]->lag_steps = 250; /* replays twice a second */
    system_run(s, 1000000);
    uint32_t wrong = 0;
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
        wrong += read == NULL || strstr(read->body, "\"found\":1") == NULL;
        g_free(token);
        g_free(body);
    }
    CU_ASSERT_EQUAL(wrong, 0);
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
a_withdrawn_key_stops_everywhere(void)
{
    System *s = start_system(32);
    /* Two cannot hear of it: one is partitioned off, the other gets leases but no
     * state.  The lease of neither holds. */
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
    CU_add_test(s, "no write is lost or doubled under random failures",
                no_write_is_lost_or_doubled_under_random_failures);
    CU_add_test(s, "a lost primary is replaced within a second",
                a_lost_primary_is_replaced_within_a_second);
    CU_add_test(s, "a side without majority acknowledges nothing",
                a_side_without_majority_acknowledges_nothing);
    CU_add_test(s, "a lagging replica is not promoted alone",
                a_lagging_replica_is_not_promoted_alone);
    CU_add_test(s, "a session reads its writes on lagging replicas",
                a_session_reads_its_writes_on_lagging_replicas);
    CU_add_test(s, "old request records are pruned",
                old_request_records_are_pruned);
    CU_add_test(s, "a withdrawn key stops everywhere",
                a_withdrawn_key_stops_everywhere);
}
