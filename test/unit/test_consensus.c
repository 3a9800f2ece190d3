#include <stdlib.h>
#include <string.h>

#include "../support/control_fleet.h"
#include "core/schema.h"
#include "suite.h"

/* Control instances under failures.  When all faults have ended, every
 * instance must hold the same state.  The state must contain each accepted
 * change, and no change may have been applied twice. */

enum {
    kChangesPerRun = 150, /* accepted changes after which a run ends */
    kOperators = 3,
    kMaxAttempts = 60, /* of a request that must be accepted */
    kInvalidRequests = 8,
};

/* An operator that resends a change under the same operation id until it is
 * accepted. */
typedef struct {
    uint32_t number; /* of the change; it sets this rate for team/tNUMBER */
    char operation[32];
    char *body;
    uint64_t request_id; /* of the last request */
    uint32_t status;     /* HTTP status of its reply; zero: none yet */
    uint32_t attempts;   /* requests sent for this change */
} Operator;

/* One run with random faults. */
typedef struct {
    ControlFleet *f;
    Operator operators[kOperators];
    uint32_t last_number; /* of the newest change */
    uint64_t last_request_id;
    GHashTable *accepted; /* team key -> number of the accepted change */
    uint32_t accepted_count;
    uint32_t lost_node; /* unused */
} Run;

/* Assigns the next change to the operator. */
static void
operator_next(Run *r, Operator *o)
{
    o->number = ++r->last_number;
    o->attempts = 0;
    o->status = 0;
    g_snprintf(o->operation, sizeof(o->operation), "op-%u", o->number);
    g_free(o->body);
    o->body = g_strdup_printf(
        "[{\"key\":\"team/t%u\",\"spec\":{\"template\":\"t\",\"parameters\":"
        "{\"rate\":%u}}}]",
        o->number, o->number);
}

/* Sends the operator's change to a random instance under a new request id. */
static void
operator_send(Run *r, Operator *o)
{
    o->request_id = ++r->last_request_id;
    o->attempts++;
    control_fleet_admin(
        r->f, (uint32_t)g_rand_int_range(r->f->rand, 0, (gint)r->f->count),
        o->request_id, "apply", o->operation, o->body);
}

/* Resends the operator's change, or sends the next one if it was accepted. */
static void
operator_step(Run *r, Operator *o)
{
    o->status = control_fleet_status(r->f, o->request_id);
    if (o->status == 200) {
        char *key = g_strdup_printf("team/t%u", o->number);
        g_hash_table_insert(r->accepted, key, GUINT_TO_POINTER(o->number));
        r->accepted_count++;
        operator_next(r, o);
    }
    operator_send(r, o);
}

/* Applies a random fault or starts all crashed instances.  At most half of the
 * instances, rounded down, are crashed at a time. */
static void
random_fault(Run *r)
{
    ControlFleet *f = r->f;
    uint32_t node = (uint32_t)g_rand_int_range(f->rand, 0, (gint)f->count);
    uint32_t down = 0;

    for (uint32_t i = 0; i < f->count; i++) {
        down += f->nodes[i].core == NULL ? 1 : 0;
    }
    switch (g_rand_int_range(f->rand, 0, 8)) {
    case 0:
        f->nodes[node].partitioned = !f->nodes[node].partitioned;
        break;
    case 1:
        f->loss_percent = (uint32_t)g_rand_int_range(f->rand, 0, 30);
        break;
    case 2:
        f->max_delay_us = (uint64_t)g_rand_int_range(f->rand, 500, 60000);
        break;
    case 3:
        f->duplicate_percent = (uint32_t)g_rand_int_range(f->rand, 0, 20);
        break;
    case 4:
        if (f->nodes[node].core != NULL && down < f->count / 2) {
            control_fleet_crash(f, node);
        }
        break;
    case 5:
        f->nodes[node].disk.full = !f->nodes[node].disk.full;
        break;
    default:
        for (uint32_t i = 0; i < f->count; i++) {
            if (f->nodes[i].core == NULL) {
                control_fleet_start(f, i, TRUE);
            }
        }
        break;
    }
}

/* Ends all faults and waits until every instance has caught up. */
static void
heal(ControlFleet *f)
{
    f->loss_percent = 0;
    f->duplicate_percent = 0;
    f->max_delay_us = 2000;
    for (uint32_t i = 0; i < f->count; i++) {
        f->nodes[i].partitioned = FALSE;
        f->nodes[i].disk.full = FALSE;
        if (f->nodes[i].core == NULL) {
            control_fleet_start(f, i, TRUE);
        }
    }
    control_fleet_run(f, 4000000);
}

/* Checks that all instances hold the same state. */
static void
check_equal_states(ControlFleet *f)
{
    char *expected = state_dump(control_core_state(f->nodes[0].core));
    for (uint32_t i = 1; i < f->count; i++) {
        char *actual = state_dump(control_core_state(f->nodes[i].core));
        CU_ASSERT_STRING_EQUAL(expected, actual);
        free(actual);
    }
    free(expected);
}

/* Checks that the state contains every accepted change. */
static void
check_accepted_present(Run *r)
{
    State *s = control_core_state(r->f->nodes[0].core);
    GHashTableIter it;
    void *key;
    void *number;

    g_hash_table_iter_init(&it, r->accepted);
    while (g_hash_table_iter_next(&it, &key, &number)) {
        const Resource *found = state_lookup(s, key);
        CU_ASSERT_PTR_NOT_NULL(found);
        if (found != NULL) {
            const json_t *p = json_object_get(found->spec, "parameters");
            CU_ASSERT_EQUAL(json_integer_or(p, "rate", 0),
                            GPOINTER_TO_UINT(number));
        }
    }
}

/* Returns how many audit entries an operation id has. */
static uint32_t
count_audit_entries(State *s, const char *operation)
{
    uint32_t times = 0;
    for (const GList *l = state_audit(s)->head; l != NULL; l = l->next) {
        times +=
            strcmp(json_text_or(l->data, "operation", ""), operation) == 0;
    }
    return times;
}

/* Checks that no change was applied more than once. */
static void
check_applied_once(Run *r)
{
    State *s = control_core_state(r->f->nodes[0].core);
    for (uint32_t n = 1; n <= r->last_number; n++) {
        char operation[32];
        g_snprintf(operation, sizeof(operation), "op-%u", n);
        CU_ASSERT(count_audit_entries(s, operation) <= 1);
    }
}

/* Starts all instances and adds a template, which the teams need. */
static void
start_all(ControlFleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        control_fleet_start(f, i, TRUE);
    }
    control_fleet_run(f, 2000000);
    for (uint32_t i = 0; i < kMaxAttempts; i++) {
        control_fleet_admin(
            f, 0, 1000000 + i, "apply", "setup",
            "[{\"key\":\"template/t\",\"spec\":{\"for\":\"team\"}}]");
        control_fleet_run(f, 200000);
        if (control_fleet_status(f, 1000000 + i) == 200) {
            return;
        }
    }
    CU_FAIL("the first change was not accepted");
}

/* Runs operators and random faults on a cluster of the given size, ends the
 * faults and checks the resulting state. */
static void
run_schedule(uint32_t nodes, uint32_t seed)
{
    Run r = {.f = control_fleet_new(nodes, seed),
             .accepted =
                 g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
    start_all(r.f);
    for (uint32_t i = 0; i < kOperators; i++) {
        operator_next(&r, &r.operators[i]);
        operator_send(&r, &r.operators[i]);
    }
    for (uint32_t step = 0; step < 400 && r.accepted_count < kChangesPerRun;
         step++) {
        if (g_rand_int_range(r.f->rand, 0, 4) == 0) {
            random_fault(&r);
        }
        control_fleet_run(r.f, 120000);
        for (uint32_t i = 0; i < kOperators; i++) {
            operator_step(&r, &r.operators[i]);
        }
    }
    heal(r.f);
    CU_ASSERT(!r.f->two_leaders);
    CU_ASSERT(r.accepted_count > 10);
    check_equal_states(r.f);
    check_accepted_present(&r);
    check_applied_once(&r);
    for (uint32_t i = 0; i < kOperators; i++) {
        g_free(r.operators[i].body);
    }
    g_hash_table_destroy(r.accepted);
    control_fleet_free(r.f);
}

/* Runs eight seeds, or 200 from SAPPHIREWEIR_SOAK_SEED on if that is set. */
static void
accepted_changes_survive_random_failures(void)
{
    const char *soak_seed = g_getenv("SAPPHIREWEIR_SOAK_SEED");
    uint32_t first_seed =
        soak_seed == NULL ? 1
                          : (uint32_t)g_ascii_strtoull(soak_seed, NULL, 10);
    uint32_t runs = soak_seed == NULL ? 8 : 200;
    for (uint32_t i = 0; i < runs; i++) {
        run_schedule(i % 2 == 0 ? 3 : 5, first_seed + i);
    }
}

static void
a_partitioned_leader_steps_down_and_grants_no_lease(void)
{
    ControlFleet *f = control_fleet_new(3, 5);
    start_all(f);
    FleetNode *old = control_fleet_leader(f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(old);
    old->partitioned = TRUE;
    control_fleet_run(f, 1500000);
    CU_ASSERT(!control_core_leads(old->core));
    FleetNode *new_leader = control_fleet_leader(f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(new_leader);
    CU_ASSERT(new_leader != old);
    control_fleet_admin(
        f, new_leader->index, 77, "apply", "later",
        "[{\"key\":\"team/z\",\"spec\":{\"template\":\"t\"}}]");
    control_fleet_run(f, 300000);
    CU_ASSERT_EQUAL(control_fleet_status(f, 77), 200);
    /* A lease request reaches the old leader, which is partitioned again
     * before it can confirm that it still leads: it grants no lease. */
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest lease = SW__LEASE_REQUEST__INIT;
    lease.instance_id = (char *)"entry";
    lease.sequence = 1;
    frame.request_id = 88;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &lease;
    old->partitioned = FALSE;
    control_fleet_frame(f, old->index, "entry", &frame);
    old->partitioned = TRUE;
    control_fleet_run(f, 1000000);
    uint64_t id = 88;
    CU_ASSERT_PTR_NULL(g_hash_table_lookup(f->leases, &id));
    heal(f);
    check_equal_states(f);
    control_fleet_free(f);
}

static void
a_failed_sync_stops_the_instance_without_a_reply(void)
{
    ControlFleet *f = control_fleet_new(3, 6);
    start_all(f);
    FleetNode *leader = control_fleet_leader(f);
    leader->disk.fail_syncs = TRUE;
    control_fleet_admin(
        f, leader->index, 5, "apply", "never",
        "[{\"key\":\"team/z\",\"spec\":{\"template\":\"t\"}}]");
    control_fleet_run(f, 100000);
    CU_ASSERT(control_core_failed(leader->core));
    CU_ASSERT_NOT_EQUAL(control_fleet_status(f, 5), 200);
    control_fleet_run(f, 1500000);
    CU_ASSERT_PTR_NOT_NULL(control_fleet_leader(f));
    control_fleet_free(f);
}

/* Returns the number of voters in the configuration of an instance. */
static uint32_t
voter_count(FleetNode *n)
{
    return control_core_voter_count(n->core);
}

/* Repeats a membership change until it is accepted, then waits for it to take
 * effect. */
static void
change_member(ControlFleet *f, const char *verb, const char *body)
{
    for (uint64_t i = 0; i < kMaxAttempts; i++) {
        FleetNode *leader = control_fleet_leader(f);
        if (leader != NULL) {
            control_fleet_admin(f, leader->index, 9000 + i, verb, "", body);
        }
        control_fleet_run(f, 300000);
        if (control_fleet_status(f, 9000 + i) == 202) {
            g_hash_table_remove_all(f->replies);
            control_fleet_run(f, 2000000);
            return;
        }
    }
    CU_FAIL("membership change was not accepted");
}

static void
an_instance_with_a_new_disk_joins_as_a_new_member(void)
{
    ControlFleet *f = control_fleet_new(3, 7);
    start_all(f);
    uint32_t lost = (control_fleet_leader(f)->index + 1) % 3;
    control_fleet_crash(f, lost);
    control_fleet_lose_disk(f, lost);
    control_fleet_start(f, lost, FALSE);
    control_fleet_run(f, 2000000);
    /* An instance with another disk is not accepted under its old id, so it
     * has received no entry and no term. */
    CU_ASSERT_EQUAL(f->nodes[lost].disk.synced.entries->len, 0);
    CU_ASSERT_EQUAL(f->nodes[lost].disk.synced.term, 0);
    char *remove = g_strdup_printf("{\"id\":\"%s\"}", f->nodes[lost].id);
    char *add = g_strdup_printf(
        "{\"id\":\"%s\",\"disk\":\"%s\",\"peer_address\":\"127.0.0.1:1\","
        "\"failure_domain\":\"d\"}",
        f->nodes[lost].id, f->nodes[lost].disk_identity);
    change_member(f, "member-remove", remove);
    CU_ASSERT_EQUAL(voter_count(control_fleet_leader(f)), 2);
    change_member(f, "member-add", add);
    CU_ASSERT_EQUAL(voter_count(control_fleet_leader(f)), 3);
    /* The crash of another instance right after the repair loses no change. */
    uint32_t crashed = control_fleet_leader(f)->index;
    control_fleet_crash(f, crashed);
    control_fleet_run(f, 2000000);
    FleetNode *leader = control_fleet_leader(f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leader);
    CU_ASSERT_PTR_NOT_NULL(
        state_lookup(control_core_state(leader->core), "template/t"));
    g_free(remove);
    g_free(add);
    control_fleet_free(f);
}

static void
a_planned_stop_transfers_leadership(void)
{
    ControlFleet *f = control_fleet_new(3, 8);
    start_all(f);
    FleetNode *old = control_fleet_leader(f);
    uint64_t term = control_core_term(old->core);
    control_core_stop(old->core, f->now_us);
    control_fleet_run(f, 150000);
    FleetNode *new_leader = control_fleet_leader(f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(new_leader);
    CU_ASSERT(new_leader != old);
    CU_ASSERT_EQUAL(control_core_term(new_leader->core), term + 1);
    control_fleet_free(f);
}

static void
a_restart_of_all_instances_loses_no_change(void)
{
    ControlFleet *f = control_fleet_new(3, 9);
    start_all(f);
    for (uint64_t i = 0; i < 300; i++) {
        char operation[32];
        char *body = g_strdup_printf(
            "[{\"key\":\"team/t%u\",\"spec\":{\"template\":\"t\"}}]",
            (unsigned)i);
        g_snprintf(operation, sizeof(operation), "o%u", (unsigned)i);
        control_fleet_admin(f, control_fleet_leader(f)->index, 100 + i,
                            "apply", operation, body);
        control_fleet_run(f, 10000);
        g_free(body);
    }
    control_fleet_run(f, 500000);
    char *before = state_dump(control_core_state(f->nodes[0].core));
    for (uint32_t i = 0; i < 3; i++) {
        control_fleet_crash(f, i);
    }
    for (uint32_t i = 0; i < 3; i++) {
        control_fleet_start(f, i, TRUE);
    }
    control_fleet_run(f, 3000000);
    check_equal_states(f);
    char *after = state_dump(control_core_state(f->nodes[0].core));
    CU_ASSERT_STRING_EQUAL(before, after);
    free(before);
    free(after);
    control_fleet_free(f);
}

/* A reply to a request that the former process of an instance forwarded
 * arrives after the restart.  It must not answer one of another operator's
 * requests, which here are invalid. */
static void
a_reply_to_a_former_process_answers_no_other_request(void)
{
    ControlFleet *f = control_fleet_new(3, 10);
    start_all(f);
    uint32_t leader = control_fleet_leader(f)->index;
    uint32_t restarted = (leader + 1) % 3;
    uint32_t other = (leader + 2) % 3;

    /* The leader cannot commit the change before the restart. */
    f->nodes[other].partitioned = TRUE;
    control_fleet_admin(
        f, restarted, 501, "apply", "valid",
        "[{\"key\":\"team/z\",\"spec\":{\"template\":\"t\"}}]");
    control_fleet_crash(f, restarted);
    control_fleet_run(f, 10000);
    control_fleet_start(f, restarted, FALSE);
    while (control_core_leader(f->nodes[restarted].core) == NULL) {
        control_fleet_run(f, 1000);
    }
    for (uint64_t id = 502; id < 502 + kInvalidRequests; id++) {
        control_fleet_admin(f, restarted, id, "apply", "invalid",
                            "[{\"key\":\"nothing/z\",\"spec\":{}}]");
    }
    control_fleet_run(f, 200000);
    CU_ASSERT_EQUAL(control_fleet_leader(f)->index, leader);
    for (uint64_t id = 502; id < 502 + kInvalidRequests; id++) {
        CU_ASSERT_NOT_EQUAL(control_fleet_status(f, id), 200);
    }
    control_fleet_free(f);
}

void
add_consensus_suite(void)
{
    CU_pSuite s = CU_add_suite("consensus", NULL, NULL);
    CU_add_test(s, "accepted changes survive random failures",
                accepted_changes_survive_random_failures);
    CU_add_test(s, "a partitioned leader steps down and grants no lease",
                a_partitioned_leader_steps_down_and_grants_no_lease);
    CU_add_test(s, "a failed sync stops the instance without a reply",
                a_failed_sync_stops_the_instance_without_a_reply);
    CU_add_test(s, "an instance with a new disk joins as a new member",
                an_instance_with_a_new_disk_joins_as_a_new_member);
    CU_add_test(s, "a planned stop transfers leadership",
                a_planned_stop_transfers_leadership);
    CU_add_test(s, "a restart of all instances loses no change",
                a_restart_of_all_instances_loses_no_change);
    CU_add_test(s, "a reply to a former process answers no other request",
                a_reply_to_a_former_process_answers_no_other_request);
}
