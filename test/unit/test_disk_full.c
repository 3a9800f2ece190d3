#include <stdlib.h>
#include <string.h>

#include "../support/control_fleet.h"
#include "core/schema.h"
#include "suite.h"

/* Control instances whose disk is full for a while.  None of them may fail,
 * none may acknowledge what its disk does not hold, and changes must go on as
 * soon as a majority can write. */

enum {
    kNodes = 3,
    kSetupId = 1,
    kChangeMs = 100,      /* between the changes of a test */
    kHandoverUs = 200000, /* the minimum election timeout */
    kBackUs = 2000000,    /* time to go on after the last disk has room */
    kRetriesPerS = 10,    /* bound of the tries to write */
};

/* Which disks are full, as seen from the leader at that time. */
typedef enum {
    kFullFollower,
    kFullLeader,
    kFullFollowers,
    kFullLeaderAndFollower,
    kFullAll,
} FullDisks;

/* Sends a change of the resource team/tNUMBER to an instance, under the
 * number as its request id. */
static void
send_change(ControlFleet *f, uint32_t node, uint32_t number)
{
    char operation[32];
    char *body = g_strdup_printf(
        "[{\"key\":\"template/t%u\",\"spec\":{\"for\":\"team\"}}]", number);

    g_snprintf(operation, sizeof(operation), "op-%u", number);
    control_fleet_admin(f, node, number, "apply", operation, body);
    g_free(body);
}

/* Sends a change to the instances in turn until it is accepted, for at most
 * limit_us.  Returns whether it was. */
static gboolean
change_accepted(ControlFleet *f, uint32_t number, uint64_t limit_us)
{
    uint64_t end_us = f->now_us + limit_us;

    for (uint32_t i = 0; f->now_us < end_us; i++) {
        send_change(f, i % f->count, number);
        control_fleet_run(f, kChangeMs * 1000);
        if (control_fleet_status(f, number) == 200) {
            return TRUE;
        }
    }
    return FALSE;
}

static ControlFleet *
start_fleet(uint32_t seed)
{
    ControlFleet *f = control_fleet_new(kNodes, seed);
    for (uint32_t i = 0; i < kNodes; i++) {
        control_fleet_start(f, i, TRUE);
    }
    control_fleet_run(f, 1000000);
    CU_ASSERT(change_accepted(f, kSetupId, kBackUs));
    return f;
}

static gboolean
holds_change(FleetNode *n, uint32_t number)
{
    char *key = g_strdup_printf("template/t%u", number);
    gboolean found = state_lookup(control_core_state(n->core), key) != NULL;
    g_free(key);
    return found;
}

/* Checks that all instances run, hold the changes from first to last, and have
 * equal states. */
static void
check_all_hold(ControlFleet *f, uint32_t first, uint32_t last)
{
    char *expected = state_dump(control_core_state(f->nodes[0].core));

    for (uint32_t i = 0; i < f->count; i++) {
        char *actual = state_dump(control_core_state(f->nodes[i].core));
        CU_ASSERT(!control_core_failed(f->nodes[i].core));
        CU_ASSERT(!control_core_no_room(f->nodes[i].core));
        CU_ASSERT_STRING_EQUAL(expected, actual);
        for (uint32_t n = first; n <= last; n++) {
            CU_ASSERT(holds_change(&f->nodes[i], n));
        }
        free(actual);
    }
    free(expected);
    CU_ASSERT(!f->two_leaders);
}

static void
set_full(ControlFleet *f, FullDisks disks, gboolean full)
{
    const FleetNode *leader = control_fleet_leader(f);
    gboolean follower_done = FALSE;

    for (uint32_t i = 0; i < f->count; i++) {
        FleetNode *n = &f->nodes[i];
        gboolean leads = n == leader;
        gboolean one = !leads && !follower_done;
        follower_done = follower_done || !leads;
        n->disk.full =
            full && (disks == kFullAll || (disks == kFullFollower && one) ||
                     (disks == kFullFollowers && !leads) ||
                     (disks == kFullLeader && leads) ||
                     (disks == kFullLeaderAndFollower && (leads || one)));
    }
}

/* Guards against an instance that fails, acknowledges what is not durable, or
 * does not take part again. */
static void
full_disks_end_no_instance(void)
{
    static const struct {
        FullDisks disks;
        gboolean majority; /* can write */
    } cases[] = {
        {kFullFollower, TRUE},   {kFullLeader, TRUE},
        {kFullFollowers, FALSE}, {kFullLeaderAndFollower, FALSE},
        {kFullAll, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ControlFleet *f = start_fleet(20 + (uint32_t)i);
        set_full(f, cases[i].disks, TRUE);
        gboolean accepted = change_accepted(f, 10, kBackUs);
        CU_ASSERT_EQUAL(accepted, cases[i].majority);
        control_fleet_run(f, kBackUs);
        for (uint32_t n = 0; n < f->count; n++) {
            const FleetNode *each = &f->nodes[n];
            CU_ASSERT(!control_core_failed(each->core));
            CU_ASSERT(each->disk.refused_syncs <=
                      kRetriesPerS * (2 * kBackUs / 1000000) + 1);
        }
        set_full(f, cases[i].disks, FALSE);
        CU_ASSERT(change_accepted(f, 11, kBackUs));
        control_fleet_run(f, kBackUs);
        check_all_hold(f, accepted ? 10 : 11, 11);
        control_fleet_free(f);
    }
}

/* Guards against a leader that keeps the leadership, or leaves the others to
 * their election timeout, although it cannot write, and against one that goes
 * on adding to what it has to write. */
static void
a_leader_without_room_hands_over(void)
{
    for (uint32_t seed = 30; seed < 36; seed++) {
        ControlFleet *f = start_fleet(seed);
        FleetNode *old = control_fleet_leader(f);
        old->disk.full = TRUE;
        send_change(f, old->index, 10);
        control_fleet_run(f, kHandoverUs / 2);
        FleetNode *leader = control_fleet_leader(f);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leader);
        CU_ASSERT(leader != old);
        CU_ASSERT(control_core_no_room(old->core));
        CU_ASSERT_NOT_EQUAL(control_fleet_status(f, 10), 200);
        guint waiting = old->disk.written.entries->len;
        /* It refuses changes at once and forwards reads. */
        send_change(f, old->index, 11);
        CU_ASSERT_EQUAL(control_fleet_status(f, 11), 503);
        control_fleet_run(f, 100000);
        control_fleet_admin(f, old->index, 12, "status", "", "");
        control_fleet_run(f, 200000);
        CU_ASSERT_EQUAL(control_fleet_status(f, 12), 200);
        CU_ASSERT(change_accepted(f, 13, kBackUs));
        CU_ASSERT_EQUAL(old->disk.written.entries->len, waiting);
        old->disk.full = FALSE;
        control_fleet_run(f, kBackUs);
        check_all_hold(f, 13, 13);
        control_fleet_free(f);
    }
}

/* Guards against a vote, or an election, in a term that the disk does not
 * hold: with two full disks nobody can be elected, and after a crash of all
 * instances no term is known that was used for a vote. */
static void
no_vote_is_given_without_room(void)
{
    ControlFleet *f = start_fleet(40);
    FleetNode *old = control_fleet_leader(f);
    uint64_t term = control_core_term(old->core);

    for (uint32_t i = 0; i < f->count; i++) {
        f->nodes[i].disk.full = &f->nodes[i] != old;
    }
    control_fleet_crash(f, old->index);
    control_fleet_run(f, kBackUs);
    CU_ASSERT_PTR_NULL(control_fleet_leader(f));
    for (uint32_t i = 0; i < f->count; i++) {
        CU_ASSERT(f->nodes[i].disk.synced.term <= term);
    }
    control_fleet_start(f, old->index, TRUE);
    control_fleet_run(f, kBackUs);
    CU_ASSERT_PTR_NULL(control_fleet_leader(f));
    for (uint32_t i = 0; i < f->count; i++) {
        control_fleet_crash(f, i);
        f->nodes[i].disk.full = FALSE;
        control_fleet_start(f, i, TRUE);
    }
    CU_ASSERT(change_accepted(f, 10, kBackUs));
    control_fleet_run(f, kBackUs);
    check_all_hold(f, 10, 10);
    control_fleet_free(f);
}

/* Guards against a snapshot that takes the old one and the log out of force
 * although it does not fit, or is tried with each change. */
static void
a_snapshot_without_room_is_postponed(void)
{
    ControlFleet *f = start_fleet(50);
    FleetNode *n = control_fleet_leader(f);
    const uint32_t last = 10 + f->snapshot_interval_entries * 2;
    uint64_t started_us = f->now_us;

    n->disk.refuse_snapshots = TRUE;
    for (uint32_t i = 10; i <= last; i++) {
        CU_ASSERT(change_accepted(f, i, kBackUs));
    }
    uint64_t seconds = (f->now_us - started_us) / 1000000;
    CU_ASSERT(control_core_leads(n->core));
    CU_ASSERT(n->disk.refused_snapshots > 0);
    CU_ASSERT(n->disk.refused_snapshots <= seconds + 1);
    CU_ASSERT_EQUAL(n->disk.synced.snapshot_index, 0);
    control_fleet_crash(f, n->index);
    control_fleet_start(f, n->index, TRUE);
    control_fleet_run(f, kBackUs);
    n->disk.refuse_snapshots = FALSE;
    control_fleet_run(f, kBackUs);
    CU_ASSERT(n->disk.synced.snapshot_index > 0);
    check_all_hold(f, 10, last);
    control_fleet_free(f);
}

/* Guards against a leader's snapshot that is confirmed although it did not fit
 * on the receiver's disk. */
static void
a_received_snapshot_without_room_is_not_confirmed(void)
{
    ControlFleet *f = start_fleet(60);
    FleetNode *behind = &f->nodes[0];
    uint32_t last = 10;

    f->nodes[0].partitioned = TRUE;
    control_fleet_run(f, kBackUs);
    for (; last < 10 + 700; last++) {
        send_change(f, control_fleet_leader(f)->index, last);
        control_fleet_run(f, 10000);
        CU_ASSERT_EQUAL(control_fleet_status(f, last), 200);
    }
    uint64_t synced = behind->disk.synced.snapshot_index;
    behind->disk.refuse_snapshots = TRUE;
    behind->partitioned = FALSE;
    control_fleet_run(f, 2 * kBackUs);
    CU_ASSERT(behind->disk.refused_snapshots > 0);
    CU_ASSERT(behind->disk.refused_snapshots <=
              kRetriesPerS * (2 * kBackUs / 1000000));
    CU_ASSERT(control_core_no_room(behind->core));
    CU_ASSERT_EQUAL(behind->disk.synced.snapshot_index, synced);
    /* The leader must not count it: a change needs the third instance. */
    FleetNode *leader = control_fleet_leader(f);
    f->nodes[1].partitioned = &f->nodes[1] != leader;
    f->nodes[2].partitioned = &f->nodes[2] != leader;
    send_change(f, leader->index, last);
    control_fleet_run(f, 300000);
    CU_ASSERT_NOT_EQUAL(control_fleet_status(f, last), 200);
    f->nodes[1].partitioned = FALSE;
    f->nodes[2].partitioned = FALSE;
    behind->disk.refuse_snapshots = FALSE;
    CU_ASSERT(change_accepted(f, last, 2 * kBackUs));
    control_fleet_run(f, 2 * kBackUs);
    CU_ASSERT(behind->disk.synced.snapshot_index > synced);
    check_all_hold(f, 10, last);
    control_fleet_free(f);
}

/* Guards against entry instances that wait for the state updates of an
 * instance which gets none. */
static void
no_lease_goes_through_an_instance_without_room(void)
{
    ControlFleet *f = start_fleet(70);
    FleetNode *old = control_fleet_leader(f);
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest lease = SW__LEASE_REQUEST__INIT;
    uint64_t id = 500;

    old->disk.full = TRUE;
    send_change(f, old->index, 10);
    control_fleet_run(f, 1000000);
    CU_ASSERT(control_core_no_room(old->core));
    lease.instance_id = (char *)"entry";
    lease.sequence = 1;
    frame.request_id = id;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &lease;
    control_fleet_frame(f, old->index, "entry", &frame);
    control_fleet_run(f, 500000);
    CU_ASSERT_PTR_NULL(g_hash_table_lookup(f->leases, &id));
    control_fleet_free(f);
}

void
add_disk_full_suite(void)
{
    CU_pSuite s = CU_add_suite("disk full", NULL, NULL);
    CU_add_test(s, "full disks end no instance", full_disks_end_no_instance);
    CU_add_test(s, "a leader without room hands over",
                a_leader_without_room_hands_over);
    CU_add_test(s, "no vote is given without room",
                no_vote_is_given_without_room);
    CU_add_test(s, "a snapshot without room is postponed",
                a_snapshot_without_room_is_postponed);
    CU_add_test(s, "a received snapshot without room is not confirmed",
                a_received_snapshot_without_room_is_not_confirmed);
    CU_add_test(s, "no lease goes through an instance without room",
                no_lease_goes_through_an_instance_without_room);
}
