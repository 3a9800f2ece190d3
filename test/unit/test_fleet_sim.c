#include <string.h>

#include "../support/fleet_sim.h"
#include "suite.h"

/* The simulated fleet under faults.  No fault may violate a guarantee that
 * FleetSimReport counts, and a minimum share of the operations must be
 * served. */

/* Runs the simulation through one sequence of faults. */
typedef void (*Fault)(FleetSim *sim);

static void
no_fault(FleetSim *sim)
{
    fleet_sim_run(sim, 6000);
}

/* The process of the primary ends: connections are refused. */
static void
primary_crashes(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    fleet_sim_set_primary_running(sim, 0, FALSE, FALSE);
    fleet_sim_run(sim, 5000);
    fleet_sim_set_primary_running(sim, 0, TRUE, FALSE);
    fleet_sim_run(sim, 4000);
}

/* The host of the primary fails: connections get no reply at all. */
static void
primary_unreachable(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    fleet_sim_set_primary_running(sim, 1, FALSE, TRUE);
    fleet_sim_run(sim, 6000);
    fleet_sim_set_primary_running(sim, 1, TRUE, FALSE);
    fleet_sim_run(sim, 4000);
}

static void
primary_drains(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    fleet_sim_drain_primary(sim, 0);
    fleet_sim_run(sim, 5000);
}

static void
domain_partitioned(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    fleet_sim_partition_domain(sim, 0, TRUE);
    fleet_sim_run(sim, 6000);
    fleet_sim_partition_domain(sim, 0, FALSE);
    fleet_sim_run(sim, 5000);
}

static void
control_leader_crashes(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    int leader = fleet_sim_control_leader(sim);
    fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
    fleet_sim_run(sim, 3000);
    fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
    fleet_sim_run(sim, 4000);
}

/* The control leader crashes 600 ms after the primary becomes unreachable. */
static void
control_leader_and_primary_crash(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    int leader = fleet_sim_control_leader(sim);
    fleet_sim_set_primary_running(sim, 0, FALSE, TRUE);
    fleet_sim_run(sim, 600);
    fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
    fleet_sim_run(sim, 5000);
    fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
    fleet_sim_set_primary_running(sim, 0, TRUE, FALSE);
    fleet_sim_run(sim, 5000);
}

/* A control instance restarts with an empty disk and must have recovered its
 * state when another one crashes. */
static void
control_disk_lost(FleetSim *sim)
{
    fleet_sim_run(sim, 1000);
    fleet_sim_set_control_running(sim, 1, FALSE);
    fleet_sim_wipe_control_disk(sim, 1);
    fleet_sim_set_control_running(sim, 1, TRUE);
    fleet_sim_run(sim, 3000);
    fleet_sim_set_control_running(sim, 2, FALSE);
    fleet_sim_run(sim, 4000);
    fleet_sim_set_control_running(sim, 2, TRUE);
    fleet_sim_run(sim, 3000);
}

static void
all_control_instances_crash(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, FALSE);
    }
    fleet_sim_run(sim, 400);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, TRUE);
    }
    fleet_sim_run(sim, 5000);
}

/* Replicas lag by 3 s, longer than the maximum staleness of reads. */
static void
replicas_lag(FleetSim *sim)
{
    fleet_sim_run(sim, 1000);
    fleet_sim_set_replica_lag(sim, 3000);
    fleet_sim_run(sim, 5000);
    fleet_sim_set_replica_lag(sim, 60);
    fleet_sim_run(sim, 3000);
}

/* 4 % of the answers are lost together with their connections. */
static void
answers_lost(FleetSim *sim)
{
    fleet_sim_set_reply_loss(sim, 4);
    fleet_sim_run(sim, 6000);
    fleet_sim_set_reply_loss(sim, 0);
    fleet_sim_run(sim, 1000);
}

/* The current primary becomes unreachable 1.5 s after the start of a planned
 * change. */
static void
two_primary_changes(FleetSim *sim)
{
    fleet_sim_run(sim, 1500);
    fleet_sim_drain_primary(sim, 0);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_primary_running(sim, 0, FALSE, TRUE);
    fleet_sim_run(sim, 5000);
    fleet_sim_set_primary_running(sim, 0, TRUE, FALSE);
    fleet_sim_run(sim, 4000);
}

/* A primary that was replaced while it was partitioned still reports itself as
 * primary when it is the only server left to promote. */
static void
old_primary_is_promoted_again(FleetSim *sim)
{
    uint32_t old = (uint32_t)fleet_sim_primary(sim, 0);

    fleet_sim_run(sim, 1000);
    fleet_sim_partition_domain(sim, old, TRUE);
    fleet_sim_run(sim, 4000);
    uint32_t next = (uint32_t)fleet_sim_primary(sim, 0);
    fleet_sim_set_server_running(sim, 0, 3 - old - next, FALSE, FALSE);
    fleet_sim_run(sim, 300);
    fleet_sim_set_server_running(sim, 0, next, FALSE, TRUE);
    fleet_sim_partition_domain(sim, old, FALSE);
    fleet_sim_run(sim, 6000);
}

/* A control instance is down during a change of the configuration, then all
 * control and entry instances restart, that control instance 0.8 s before the
 * others.  It has an older configuration in a snapshot. */
static void
restart_with_outdated_control_instance(FleetSim *sim)
{
    for (uint32_t i = 0; i < 20; i++) {
        fleet_sim_configure(sim, 980 + i, TRUE);
        fleet_sim_run(sim, 50);
    }
    fleet_sim_set_control_running(sim, 2, FALSE);
    fleet_sim_configure(sim, 900, TRUE);
    fleet_sim_run(sim, 3500);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, FALSE);
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
    fleet_sim_set_control_running(sim, 2, TRUE);
    fleet_sim_run(sim, 800);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, TRUE);
    }
    fleet_sim_run(sim, 5000);
}

/* All control and entry instances restart while the backend servers send no
 * reports. */
static void
restart_with_late_reports(FleetSim *sim)
{
    fleet_sim_run(sim, 1000);
    fleet_sim_pause_server_reports(sim, TRUE);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, FALSE);
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, TRUE);
    }
    fleet_sim_run(sim, 3000);
    fleet_sim_pause_server_reports(sim, FALSE);
    fleet_sim_run(sim, 1000);
}

/* The control leader restarts while the primary's failure domain is
 * partitioned, so that no request to release the primary reaches the entry
 * instances there. */
static void
leader_restarts_during_partition(FleetSim *sim)
{
    fleet_sim_run(sim, 1500);
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 1);
    fleet_sim_partition_domain(sim, primary, TRUE);
    fleet_sim_run(sim, 900);
    int leader = fleet_sim_control_leader(sim);
    fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
    fleet_sim_run(sim, 200);
    fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
    fleet_sim_run(sim, 6000);
    fleet_sim_partition_domain(sim, primary, FALSE);
    fleet_sim_run(sim, 4000);
}

/* Entry instances are partitioned together with the old primary, so that no
 * request to release it reaches them, and a promotion takes only 30 ms. */
static void
domain_partitioned_fast_promotion(FleetSim *sim)
{
    fleet_sim_set_promotion_delay(sim, 30);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 2000);
    /* A primary that is not in the leader's failure domain. */
    int leader = fleet_sim_control_leader(sim);
    int primary = fleet_sim_primary(sim, 0);
    uint32_t domain =
        (uint32_t)(primary == leader ? fleet_sim_primary(sim, 1) : primary);
    fleet_sim_partition_domain(sim, domain, TRUE);
    fleet_sim_run(sim, 6000);
    fleet_sim_partition_domain(sim, domain, FALSE);
    fleet_sim_run(sim, 5000);
}

/* The control leader is partitioned together with a primary and the entry
 * instances there, which hold leases of that leader until long after another
 * one is elected.  A promotion takes only 30 ms. */
static void
leader_and_primary_partitioned(FleetSim *sim)
{
    fleet_sim_set_promotion_delay(sim, 30);
    fleet_sim_set_caller_pause(sim, 40);
    fleet_sim_run(sim, 2000);
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 0);
    /* Moves the leadership into the primary's failure domain. */
    for (int tries = 0;
         tries < 10 && fleet_sim_control_leader(sim) != (int)primary;
         tries++) {
        uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
        fleet_sim_set_control_running(sim, leader, FALSE);
        fleet_sim_run(sim, 1200);
        fleet_sim_set_control_running(sim, leader, TRUE);
        fleet_sim_run(sim, 1500);
    }
    fleet_sim_partition_domain(sim, primary, TRUE);
    fleet_sim_run(sim, 6000);
    fleet_sim_partition_domain(sim, primary, FALSE);
    fleet_sim_run(sim, 5000);
}

/* The control leader crashes between the request of a promotion and its
 * effect, while the old primary still serves. */
static void
leader_crashes_in_planned_change(FleetSim *sim)
{
    fleet_sim_set_promotion_delay(sim, 1500);
    fleet_sim_run(sim, 1500);
    fleet_sim_drain_primary(sim, 0);
    fleet_sim_run(sim, 1100);
    int leader = fleet_sim_control_leader(sim);
    fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
    fleet_sim_run(sim, 6000);
    fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
    fleet_sim_run(sim, 3000);
}

/* A planned change of the primary waits for lagging replicas. */
static void
primary_drains_replicas_lag(FleetSim *sim)
{
    fleet_sim_set_replica_lag(sim, 450);
    fleet_sim_set_promotion_delay(sim, 30);
    fleet_sim_set_caller_pause(sim, 60);
    primary_drains(sim);
}

/* The primary drains while its replicas are unreachable, so it must not be
 * replaced. */
static void
primary_drains_without_replicas(FleetSim *sim)
{
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 0);

    fleet_sim_run(sim, 1000);
    for (uint32_t i = 0; i < kFleetSimServersPerDatabase; i++) {
        if (i != primary) {
            fleet_sim_set_server_running(sim, 0, i, FALSE, TRUE);
        }
    }
    fleet_sim_run(sim, 500);
    fleet_sim_drain_primary(sim, 0);
    fleet_sim_run(sim, 9000);
}

/* The replica that stores each commit is down when the primary crashes, and
 * the other one has received no log entries for 1.5 s.  The primary is not
 * replaced before the first replica is back. */
static void
synchronous_replica_down(FleetSim *sim)
{
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 0);
    uint32_t lagging = (primary + 1) % kFleetSimServersPerDatabase;
    uint32_t synced = (primary + 2) % kFleetSimServersPerDatabase;

    fleet_sim_enable_sync_replication(sim);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 1000);
    fleet_sim_pause_replication(sim, 0, lagging, TRUE);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_server_running(sim, 0, synced, FALSE, FALSE);
    fleet_sim_run(sim, 50);
    fleet_sim_set_server_running(sim, 0, primary, FALSE, TRUE);
    fleet_sim_run(sim, 2000);
    fleet_sim_set_server_running(sim, 0, synced, TRUE, FALSE);
    fleet_sim_run(sim, 4000);
    fleet_sim_pause_replication(sim, 0, lagging, FALSE);
    fleet_sim_set_server_running(sim, 0, primary, TRUE, FALSE);
    fleet_sim_run(sim, 3000);
}

/* The replica that stores each commit stays down, but the primary returns.
 * The primary keeps its role, since the other replica lacks acknowledged
 * commits. */
static void
synchronous_replica_and_primary_crash(FleetSim *sim)
{
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 0);
    uint32_t lagging = (primary + 1) % kFleetSimServersPerDatabase;
    uint32_t synced = (primary + 2) % kFleetSimServersPerDatabase;

    fleet_sim_enable_sync_replication(sim);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 1000);
    fleet_sim_pause_replication(sim, 0, lagging, TRUE);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_server_running(sim, 0, synced, FALSE, TRUE);
    fleet_sim_set_server_running(sim, 0, primary, FALSE, TRUE);
    fleet_sim_run(sim, 3000);
    fleet_sim_pause_replication(sim, 0, lagging, FALSE);
    fleet_sim_set_server_running(sim, 0, primary, TRUE, FALSE);
    fleet_sim_run(sim, 9000);
}

/* Two successive primaries crash and stay down.  The last server may be
 * promoted, since the newest acknowledged commit is known to be in its log. */
static void
two_primaries_crash(FleetSim *sim)
{
    fleet_sim_enable_sync_replication(sim);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_primary_running(sim, 0, FALSE, FALSE);
    fleet_sim_run(sim, 4000);
    uint32_t next = (uint32_t)fleet_sim_primary(sim, 0);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_server_running(sim, 0, next, FALSE, FALSE);
    fleet_sim_run(sim, 6000);
}

/* What restarts between the two changes of replica_misses_two_changes. */
typedef enum {
    kRestartNothing,
    kRestartControlLeader,
    kRestartEntries,
    kRestartControls,
} Restart;

/* One replica receives nothing while commits are acknowledged by the other
 * one.  The primary crashes; the other replica follows it and crashes before
 * it has acknowledged a commit of its own.  The first replica lacks the
 * commits of the epoch before last, and must not be promoted. */
static void
replica_misses_two_changes(FleetSim *sim, Restart restart)
{
    uint32_t primary = (uint32_t)fleet_sim_primary(sim, 0);
    uint32_t lagging = (primary + 1) % kFleetSimServersPerDatabase;
    uint32_t synced = (primary + 2) % kFleetSimServersPerDatabase;
    uint32_t leader;

    fleet_sim_enable_sync_replication(sim);
    fleet_sim_set_caller_pause(sim, 60);
    fleet_sim_run(sim, 1000);
    fleet_sim_pause_replication(sim, 0, lagging, TRUE);
    fleet_sim_run(sim, 1500);
    fleet_sim_set_server_running(sim, 0, primary, FALSE, FALSE);
    fleet_sim_run(sim, 2500);
    leader = (uint32_t)fleet_sim_control_leader(sim);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        if (restart == kRestartControls ||
            (restart == kRestartControlLeader && i == leader)) {
            fleet_sim_set_control_running(sim, i, FALSE);
            fleet_sim_set_control_running(sim, i, TRUE);
        }
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        if (restart == kRestartEntries) {
            fleet_sim_restart_entry(sim, i);
        }
    }
    fleet_sim_run(sim, restart == kRestartNothing ? 0 : 1500);
    fleet_sim_set_server_running(sim, 0, synced, FALSE, FALSE);
    fleet_sim_run(sim, 2500);
    fleet_sim_pause_replication(sim, 0, lagging, FALSE);
    fleet_sim_set_server_running(sim, 0, primary, TRUE, FALSE);
    fleet_sim_run(sim, 500);
    fleet_sim_set_server_running(sim, 0, synced, TRUE, FALSE);
    fleet_sim_run(sim, 5000);
}

static void
replica_misses_two_changes_alone(FleetSim *sim)
{
    replica_misses_two_changes(sim, kRestartNothing);
}

static void
replica_misses_two_changes_leader_restarts(FleetSim *sim)
{
    replica_misses_two_changes(sim, kRestartControlLeader);
}

static void
replica_misses_two_changes_entries_restart(FleetSim *sim)
{
    replica_misses_two_changes(sim, kRestartEntries);
}

static void
replica_misses_two_changes_controls_restart(FleetSim *sim)
{
    replica_misses_two_changes(sim, kRestartControls);
}

/* A draining primary is replaced, and then all instances restart while no
 * backend server reports: what is known of the draining server comes from the
 * log alone. */
static void
draining_server_and_restart(FleetSim *sim)
{
    fleet_sim_run(sim, 1000);
    fleet_sim_drain_primary(sim, 0);
    fleet_sim_run(sim, 2500);
    fleet_sim_pause_server_reports(sim, TRUE);
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, FALSE);
    }
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_set_control_running(sim, i, TRUE);
    }
    fleet_sim_run(sim, 8000);
    fleet_sim_pause_server_reports(sim, FALSE);
    fleet_sim_run(sim, 1000);
}

/* The frames of all control instances to two entry instances are lost for a
 * second, in which a replica reports that it is leaving. */
static void
directory_updates_lost(FleetSim *sim)
{
    fleet_sim_run(sim, 2000);
    fleet_sim_lose_control_frames(sim, 1, TRUE);
    fleet_sim_lose_control_frames(sim, 2, TRUE);
    fleet_sim_run(sim, 100);
    fleet_sim_drain_replica(sim, 0);
    fleet_sim_run(sim, 900);
    fleet_sim_lose_control_frames(sim, 1, FALSE);
    fleet_sim_lose_control_frames(sim, 2, FALSE);
    fleet_sim_run(sim, 9000);
}

/* Runs each fault with four seeds.  min_served_percent is the share of all
 * operations that must be served; a deployment requires 44 % on its worst day,
 * and the bound is higher where the fault leaves an alternative.  max_gap_ms
 * is the maximum time without an acknowledged write to a database; a
 * deployment requires 7 s for a change of the primary, and the bound is a
 * tenth of that where no change is needed. */
static void
invariants_hold_under_faults(void)
{
    static const struct {
        const char *name;
        Fault fault;
        uint32_t min_served_percent;
        uint32_t max_gap_ms;
        uint32_t min_promotions;
        uint32_t max_promotions;
        gboolean no_rollback; /* of an acknowledged commit */
    } cases[] = {
        {"no fault", no_fault, 99, 700, 0, 0, FALSE},
        {"primary crashes", primary_crashes, 75, 7000, 1, 1, FALSE},
        {"primary unreachable", primary_unreachable, 75, 7000, 1, 1, FALSE},
        {"primary drains", primary_drains, 90, 7000, 1, 1, TRUE},
        {"domain partitioned", domain_partitioned, 50, 7000, 1, 2, FALSE},
        {"leader crashes", control_leader_crashes, 95, 1400, 0, 0, FALSE},
        {"leader and primary crash", control_leader_and_primary_crash, 60,
         7000, 1, 1, FALSE},
        {"control disk lost", control_disk_lost, 95, 1400, 0, 0, FALSE},
        {"all control instances crash", all_control_instances_crash, 80, 2500,
         0, 0, FALSE},
        {"replicas lag", replicas_lag, 90, 700, 0, 0, FALSE},
        {"directory updates lost", directory_updates_lost, 75, 7000, 0, 0,
         TRUE},
        {"answers lost", answers_lost, 90, 1400, 0, 0, FALSE},
        {"old primary promoted again", old_primary_is_promoted_again, 40, 7000,
         2, 2, FALSE},
        {"one control instance outdated",
         restart_with_outdated_control_instance, 60, 7000, 0, 0, FALSE},
        {"late server reports", restart_with_late_reports, 75, 2000, 0, 0,
         FALSE},
        {"leader restart in partition", leader_restarts_during_partition, 50,
         7000, 1, 2, FALSE},
        {"partition, fast promotion", domain_partitioned_fast_promotion, 40,
         7000, 1, 2, FALSE},
        {"leader and primary partitioned", leader_and_primary_partitioned, 40,
         7000, 1, 2, FALSE},
        {"leader crashes during change", leader_crashes_in_planned_change, 60,
         7000, 1, 2, FALSE},
        {"primary drains, replicas lag", primary_drains_replicas_lag, 80, 7000,
         1, 1, TRUE},
        {"two primary changes", two_primary_changes, 60, 7000, 2, 3, FALSE},
        {"primary drains, no replica", primary_drains_without_replicas, 40,
         7000, 0, 0, TRUE},
        {"synchronous replica down", synchronous_replica_down, 40, 7000, 1, 1,
         TRUE},
        /* The primary is down for 3 s, then the limit of 7 s applies. */
        {"replica and primary crash", synchronous_replica_and_primary_crash,
         60, 10000, 0, 0, TRUE},
        {"two primaries crash", two_primaries_crash, 40, 7000, 2, 2, TRUE},
        {"draining server and restart", draining_server_and_restart, 75, 7000,
         1, 1, TRUE},
        /* The servers with all commits are down for up to 6.5 s, then the
         * limit of 7 s applies. */
        {"replica misses two changes", replica_misses_two_changes_alone, 30,
         13500, 1, 2, TRUE},
        {"same, leader restarts", replica_misses_two_changes_leader_restarts,
         30, 13500, 1, 2, TRUE},
        {"same, entry instances restart",
         replica_misses_two_changes_entries_restart, 30, 13500, 1, 2, TRUE},
        {"same, all control instances restart",
         replica_misses_two_changes_controls_restart, 30, 13500, 1, 2, TRUE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint32_t seed = 1; seed <= 4; seed++) {
            FleetSim *sim = fleet_sim_new(seed);
            cases[i].fault(sim);
            fleet_sim_quiesce(sim);
            const FleetSimReport *r = fleet_sim_check(sim);
            gboolean invariants_hold =
                r->lost == 0 && r->duplicated == 0 &&
                r->false_rejections == 0 && r->stale == 0 &&
                r->acked_by_old_primary == 0 && r->wrong_team == 0 &&
                r->wrong_state == 0 && r->outside_transaction == 0 &&
                r->outdated_version == 0 && r->run_after_drain == 0 &&
                (r->rolled_back == 0 || !cases[i].no_rollback);
            gboolean bounds_met =
                r->served * 100 >=
                    r->operations * cases[i].min_served_percent &&
                r->longest_write_gap_us <=
                    (uint64_t)cases[i].max_gap_ms * 1000 &&
                r->promotions >= cases[i].min_promotions &&
                r->promotions <= cases[i].max_promotions;
            if (!invariants_hold || !bounds_met) {
                g_print("\n%s, seed %u: %lu (%lu refused) of %lu served, gap "
                        "%lu ms, "
                        "%lu promotions, in doubt %lu; lost %lu duplicated "
                        "%lu false rejections %lu stale %lu acked by old "
                        "primary %lu wrong team %lu wrong state %lu outside "
                        "transaction %lu outdated version %lu rolled back %lu "
                        "after drain %lu\n",
                        cases[i].name, seed, r->served, r->refused,
                        r->operations, r->longest_write_gap_us / 1000,
                        r->promotions, r->in_doubt, r->lost, r->duplicated,
                        r->false_rejections, r->stale, r->acked_by_old_primary,
                        r->wrong_team, r->wrong_state, r->outside_transaction,
                        r->outdated_version, r->rolled_back,
                        r->run_after_drain);
            }
            CU_ASSERT(invariants_hold);
            CU_ASSERT(bounds_met);
            fleet_sim_free(sim);
        }
    }
}

static void
a_withdrawn_key_is_rejected(void)
{
    FleetSim *sim = fleet_sim_new(7);
    fleet_sim_run(sim, 2000);
    fleet_sim_configure(sim, 1000, FALSE);
    fleet_sim_run(sim, 500);
    /* The second document; fleet_sim_configure adds 3 to the version. */
    CU_ASSERT_EQUAL(fleet_sim_acked_version(sim), 6);
    uint64_t served = fleet_sim_check(sim)->served;
    fleet_sim_run(sim, 2000);
    const FleetSimReport *r = fleet_sim_check(sim);
    CU_ASSERT_EQUAL(r->served, served);
    CU_ASSERT(r->no_auth > 0);
    fleet_sim_free(sim);
}

/* A configuration gives the key of an open transaction to another team.  The
 * transaction must not go on for the former one, and the key is valid all the
 * time: no caller is told otherwise. */
static void
a_moved_key_ends_transactions_of_its_former_team(void)
{
    enum { kTeams = 4, kConnections = 40, kSlots = 8, kStepPauseMs = 1500 };
    static const uint32_t moves[] = {1, 2, 3};

    for (size_t i = 0; i < G_N_ELEMENTS(moves); i++) {
        FleetSim *sim = fleet_sim_new((uint32_t)i + 1);
        fleet_sim_set_teams(sim, kTeams, kConnections, kSlots);
        fleet_sim_set_step_pause(sim, kStepPauseMs);
        fleet_sim_set_caller_pause(sim, 100);
        fleet_sim_run(sim, 3000);
        /* Instances that have just started may not know all teams yet. */
        uint64_t no_auth = fleet_sim_check(sim)->no_auth;
        for (uint32_t k = 0; k < moves[i]; k++) {
            fleet_sim_move_keys(sim);
            fleet_sim_run(sim, 8000);
        }
        const FleetSimReport *r = fleet_sim_check(sim);
        gboolean holds = r->wrong_team == 0 && r->no_auth == no_auth &&
                         r->outside_transaction == 0 &&
                         r->false_rejections == 0 &&
                         r->served * 100 >= r->operations * 80;
        if (!holds) {
            g_print("\n%u moves: wrong team %lu, no auth %lu, outside "
                    "transaction %lu, false rejections %lu, %lu of %lu "
                    "served\n",
                    moves[i], r->wrong_team, r->no_auth - no_auth,
                    r->outside_transaction, r->false_rejections, r->served,
                    r->operations);
        }
        CU_ASSERT(holds);
        fleet_sim_free(sim);
    }
}

/* A withdrawn key stays withdrawn when each control instance, one after the
 * other and then all of them, and all entry instances restart. */
static void
a_withdrawn_key_stays_withdrawn(void)
{
    FleetSim *sim = fleet_sim_new(12);

    fleet_sim_configure(sim, 1000, FALSE);
    fleet_sim_run(sim, 1000);
    uint64_t served = fleet_sim_check(sim)->served;
    for (uint32_t i = 0; i <= kFleetSimDomains; i++) {
        for (uint32_t k = 0; k < kFleetSimDomains; k++) {
            if (i == k || i == kFleetSimDomains) {
                fleet_sim_set_control_running(sim, k, FALSE);
            }
        }
        fleet_sim_restart_entry(sim, i);
        fleet_sim_run(sim, 500);
        for (uint32_t k = 0; k < kFleetSimDomains; k++) {
            fleet_sim_set_control_running(sim, k, TRUE);
        }
        fleet_sim_run(sim, 1500);
    }
    CU_ASSERT_EQUAL(fleet_sim_check(sim)->served, served);
    fleet_sim_free(sim);
}

/* While all control instances are down, entry instances can't learn that a key
 * was withdrawn.  They accept keys for at most max_unconfirmed_ms without a
 * confirmation that their configuration is current; zero: without limit. */
static void
an_unconfirmed_key_is_rejected_after_its_limit(void)
{
    static const struct {
        uint64_t max_unconfirmed_ms;
        gboolean serves;
    } cases[] = {{0, TRUE}, {700, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FleetSim *sim = fleet_sim_new(11);
        fleet_sim_set_max_unconfirmed(sim, cases[i].max_unconfirmed_ms);
        fleet_sim_run(sim, 3000);
        CU_ASSERT(fleet_sim_check(sim)->served > 100);
        for (uint32_t k = 0; k < kFleetSimDomains; k++) {
            fleet_sim_set_control_running(sim, k, FALSE);
        }
        fleet_sim_run(sim, 900);
        uint64_t before = fleet_sim_check(sim)->served;
        fleet_sim_run(sim, 500);
        CU_ASSERT_EQUAL(fleet_sim_check(sim)->served > before,
                        cases[i].serves);
        for (uint32_t k = 0; k < kFleetSimDomains; k++) {
            fleet_sim_set_control_running(sim, k, TRUE);
        }
        fleet_sim_run(sim, 3000);
        CU_ASSERT(fleet_sim_check(sim)->served > before + 100);
        fleet_sim_free(sim);
    }
}

/* Four teams and six entry instances use backend servers that accept six
 * connections and run one statement at a time.  Compares connections that
 * their owner lends to the other instances with the case in which the
 * instances are partitioned from each other and each opens its own.  A
 * handshake occupies a server for 12 ms, a statement for 9 ms, so fewer
 * handshakes must lead to more served operations. */
static void
lent_connections_serve_more_with_fewer_handshakes(void)
{
    enum { kTeams = 4, kConnections = 6, kSlots = 1 };
    for (uint32_t seed = 1; seed <= 4; seed++) {
        uint32_t opened[2];
        uint64_t served[2];
        for (int partitioned = 0; partitioned < 2; partitioned++) {
            FleetSim *sim = fleet_sim_new(seed);
            fleet_sim_partition_entries(sim, partitioned != 0);
            fleet_sim_set_caller_pause(sim, 40);
            fleet_sim_set_teams(sim, kTeams, kConnections, kSlots);
            fleet_sim_run(sim, 2000);
            uint32_t before = fleet_sim_connections_opened(sim);
            uint64_t served_before = fleet_sim_check(sim)->served;
            fleet_sim_run(sim, 8000);
            opened[partitioned] = fleet_sim_connections_opened(sim) - before;
            served[partitioned] = fleet_sim_check(sim)->served - served_before;
            CU_ASSERT_EQUAL(fleet_sim_check(sim)->wrong_team, 0);
            CU_ASSERT_EQUAL(fleet_sim_check(sim)->wrong_state, 0);
            fleet_sim_free(sim);
        }
        if (served[0] <= served[1] || opened[0] >= opened[1]) {
            g_print("\nseed %u: %lu served with %u connections opened, %lu "
                    "with %u\n",
                    seed, served[0], opened[0], served[1], opened[1]);
        }
        CU_ASSERT(served[0] > served[1]);
        CU_ASSERT(opened[0] < opened[1]);
    }
}

/* Guards against work that is lost, repeated or run for the wrong team where
 * priorities decide its order, and against more handshakes than without
 * owners. */
static void
guarantees_hold_with_priorities(void)
{
    fleet_sim_use_priorities(TRUE);
    invariants_hold_under_faults();
    lent_connections_serve_more_with_fewer_handshakes();
    fleet_sim_use_priorities(FALSE);
}

static void
a_team_gets_its_rate_and_no_more(void)
{
    enum { kRate = 20, kSeconds = 10 };
    FleetSim *sim = fleet_sim_new(8);
    fleet_sim_run(sim, 1000);
    fleet_sim_configure(sim, kRate, TRUE);
    fleet_sim_run(sim, 6000);
    uint64_t before = fleet_sim_check(sim)->served;
    fleet_sim_run(sim, (uint64_t)kSeconds * 1000);
    uint64_t served = fleet_sim_check(sim)->served - before;
    /* Two windows of 5 s, each with the rate times its length plus the burst,
     * and a tolerance of a tenth and 20 operations.  Up to a tenth may be
     * missing, since callers abandon operations after refusals. */
    CU_ASSERT(served <= (kRate * 5 + kRate) * 2 * 11 / 10 + 20);
    CU_ASSERT(served >= kRate * kSeconds * 9 / 10);
    fleet_sim_free(sim);
}

/* A team requests more than its rate while the instances of a partitioned
 * failure domain use their shares of the rate without coordination. */
static void
rates_hold_while_instances_are_partitioned(void)
{
    enum { kRate = 100, kMaxInWindow = (kRate * 5 + kRate) * 11 / 10 + 20 };
    for (uint32_t seed = 1; seed <= 6; seed++) {
        FleetSim *sim = fleet_sim_new(seed);
        fleet_sim_configure(sim, kRate, TRUE);
        fleet_sim_set_caller_pause(sim, 40);
        fleet_sim_run(sim, 8000);
        fleet_sim_clear_run_times(sim);
        fleet_sim_partition_domain(sim, seed % kFleetSimDomains, TRUE);
        fleet_sim_run(sim, 7000);
        fleet_sim_partition_domain(sim, seed % kFleetSimDomains, FALSE);
        fleet_sim_run(sim, 6000);
        uint32_t in_window = fleet_sim_max_in_rate_window(sim);
        if (in_window > kMaxInWindow) {
            g_print("\nseed %u: %u in a window\n", seed, in_window);
        }
        CU_ASSERT(in_window <= kMaxInWindow);
        /* The two instances of the domain pool their shares. */
        CU_ASSERT(fleet_sim_metric(sim, "rate_pool_taken_total") > 0);
        fleet_sim_free(sim);
    }
}

/* A team is near its limit, and wants several times its rate once all
 * instances but two are isolated from the control instances.
 * Guards against instances that use their whole shares before the leader has
 * noticed, while it still grants the whole rate to the others: up to 737
 * operations in a window.  A team that is above its limit before does not show
 * this, since its instances then refuse for a while without asking. */
static void
rates_hold_while_most_instances_are_isolated(void)
{
    enum { kRate = 100, kMaxInWindow = (kRate * 5 + kRate) * 11 / 10 + 20 };
    enum { kConnected = 2 };

    for (uint32_t seed = 1; seed <= 6; seed++) {
        FleetSim *sim = fleet_sim_new(seed);
        fleet_sim_configure(sim, kRate, TRUE);
        fleet_sim_set_caller_pause(sim, 320);
        fleet_sim_run(sim, 9000);
        for (uint32_t i = kConnected; i < kFleetSimEntries; i++) {
            fleet_sim_set_isolated(sim, (seed + i) % kFleetSimEntries, TRUE);
        }
        fleet_sim_set_caller_pause(sim, 5);
        fleet_sim_run(sim, 7000);
        for (uint32_t i = 0; i < kFleetSimEntries; i++) {
            fleet_sim_set_isolated(sim, i, FALSE);
        }
        fleet_sim_run(sim, 6000);
        uint32_t in_window = fleet_sim_max_in_rate_window(sim);
        if (in_window > kMaxInWindow) {
            g_print("\nseed %u: %u in a window\n", seed, in_window);
        }
        CU_ASSERT(in_window <= kMaxInWindow);
        fleet_sim_free(sim);
    }
}

/* Runs a simulation for steps of 250 ms and records after each of them how
 * many operations pooled shares have admitted. */
static void
run_recorded(FleetSim *sim, uint32_t steps, GArray *taken)
{
    for (uint32_t i = 0; i < steps; i++) {
        fleet_sim_run(sim, 250);
        uint64_t now = fleet_sim_metric(sim, "rate_pool_taken_total");
        g_array_append_val(taken, now);
    }
}

/* All control instances are down, so that all entry instances pool their
 * shares; then one failure domain is partitioned from the others, so that they
 * form two pools, and joins them again.  Guards against a share that both
 * pools spend, and against shares that nobody pools. */
static void
pooled_rates_hold_while_pools_split_and_join(void)
{
    enum { kRate = 60, kLimit = kRate * 5 + kRate, kWindowSteps = 20 };
    for (uint32_t seed = 1; seed <= 3; seed++) {
        FleetSim *sim = fleet_sim_new(seed);
        GArray *taken = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        uint64_t worst = 0;
        fleet_sim_configure(sim, kRate, TRUE);
        fleet_sim_set_caller_pause(sim, 40);
        fleet_sim_run(sim, 8000);
        for (uint32_t i = 0; i < kFleetSimDomains; i++) {
            fleet_sim_set_control_running(sim, i, FALSE);
        }
        run_recorded(sim, 32, taken);
        fleet_sim_partition_domain(sim, seed % kFleetSimDomains, TRUE);
        run_recorded(sim, 16, taken);
        fleet_sim_partition_domain(sim, seed % kFleetSimDomains, FALSE);
        run_recorded(sim, 24, taken);
        for (guint i = kWindowSteps; i < taken->len; i++) {
            worst = MAX(worst,
                        g_array_index(taken, uint64_t, i) -
                            g_array_index(taken, uint64_t, i - kWindowSteps));
        }
        if (worst > kLimit || worst < kLimit / 2) {
            g_print("\nseed %u: %lu pooled in a window\n", seed, worst);
        }
        CU_ASSERT(worst <= kLimit);
        CU_ASSERT(worst >= kLimit / 2);
        g_array_unref(taken);
        fleet_sim_free(sim);
    }
}

/* Two of six instances lose the control instances and pool their shares; the
 * one that has lent its share returns.  Guards against a leader that no longer
 * counts that share, although the other one may still use it, and against one
 * that counts it for ever. */
static void
lent_shares_count_at_the_leader(void)
{
    enum { kRate = 100, kMaxInWindow = (kRate * 5 + kRate) * 11 / 10 + 20 };
    static const char gauge[] = "rate_reserved_entries";

    for (uint32_t seed = 1; seed <= 6; seed++) {
        FleetSim *sim = fleet_sim_new(seed);
        uint32_t pair[] = {seed % kFleetSimEntries,
                           (seed + 1) % kFleetSimEntries};
        fleet_sim_configure(sim, kRate, TRUE);
        fleet_sim_set_caller_pause(sim, 5);
        fleet_sim_run(sim, 8000);
        fleet_sim_clear_run_times(sim);
        fleet_sim_set_isolated(sim, pair[0], TRUE);
        fleet_sim_set_isolated(sim, pair[1], TRUE);
        fleet_sim_run(sim, 8000);
        uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
        CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, leader, gauge), 2);
        uint32_t lender = fleet_sim_entry_metric(
                              sim, pair[0], "rate_pool_shares_lent_total") > 0
                              ? 0
                              : 1;
        CU_ASSERT(fleet_sim_entry_metric(sim, pair[lender],
                                         "rate_pool_shares_lent_total") > 0);
        fleet_sim_set_isolated(sim, pair[lender], FALSE);
        fleet_sim_run(sim, 2000);
        CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, leader, gauge), 2);
        /* Also after the instance has been replaced by its next one. */
        fleet_sim_restart_entry(sim, pair[lender]);
        fleet_sim_run(sim, 1500);
        CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, leader, gauge), 2);
        fleet_sim_run(sim, 6500);
        CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, leader, gauge), 1);
        fleet_sim_set_isolated(sim, pair[1 - lender], FALSE);
        fleet_sim_run(sim, 3000);
        CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, leader, gauge), 0);
        CU_ASSERT(fleet_sim_max_in_rate_window(sim) <= kMaxInWindow);
        fleet_sim_free(sim);
    }
}

/* Adds many routes and then changes the configuration every 60 ms. */
static void
many_routes_then_a_storm(FleetSim *sim)
{
    fleet_sim_add_routes(sim, 808);
    for (uint32_t i = 0; i < 25; i++) {
        fleet_sim_run(sim, 60);
        fleet_sim_configure(sim, 1000 + i, TRUE);
    }
}

/* The control leader is killed while it sends many routes. */
static void
many_routes_leader_killed(FleetSim *sim)
{
    fleet_sim_add_routes(sim, 808);
    fleet_sim_run(sim, 250);
    int leader = fleet_sim_control_leader(sim);
    fleet_sim_set_control_running(sim, (uint32_t)leader, FALSE);
    fleet_sim_run(sim, 1250);
    fleet_sim_set_control_running(sim, (uint32_t)leader, TRUE);
}

/* Restarts an instance, which then needs the whole document. */
static void
many_routes_entry_restarts(FleetSim *sim)
{
    fleet_sim_add_routes(sim, 1400);
    fleet_sim_run(sim, 2000);
    fleet_sim_restart_entry(sim, 2);
    fleet_sim_run(sim, 500);
}

/* Large configurations over links of 2 Mbit/s, as the smallest instances have.
 * Leases and callers' statements use the same links: no lease may expire, no
 * healthy primary may be replaced, and no frame may wait longer than a quarter
 * of the shortest latency objective of a deployment, 150 ms.  Every instance
 * must have the last version in time. */
static void
large_configurations_leave_links_to_callers(void)
{
    enum { kLinkBytesPerS = 250000, kMaxLinkWaitUs = 37500 };
    static const struct {
        const char *name;
        Fault fault;
    } cases[] = {
        {"storm", many_routes_then_a_storm},
        {"leader killed", many_routes_leader_killed},
        {"instance restarts", many_routes_entry_restarts},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint32_t seed = 1; seed <= 4; seed++) {
            FleetSim *sim = fleet_sim_new(seed);
            fleet_sim_set_link_bandwidth(sim, kLinkBytesPerS);
            fleet_sim_set_caller_pause(sim, 100);
            fleet_sim_run(sim, 2000);
            uint64_t leases_lost = fleet_sim_leases_lost(sim);
            cases[i].fault(sim);
            fleet_sim_run(sim, 3000);
            gboolean in_time =
                fleet_sim_oldest_version(sim) == fleet_sim_acked_version(sim);
            leases_lost = fleet_sim_leases_lost(sim) - leases_lost;
            fleet_sim_quiesce(sim);
            const FleetSimReport *r = fleet_sim_check(sim);
            gboolean holds = leases_lost == 0 && r->promotions == 0 &&
                             r->outdated_version == 0 && in_time &&
                             r->longest_link_wait_us <= kMaxLinkWaitUs;
            if (!holds) {
                g_print(
                    "\n%s, seed %u: frames waited %lu us, %lu leases lost, "
                    "%lu promotions, outdated %lu, version %lu of %lu\n",
                    cases[i].name, seed, r->longest_link_wait_us, leases_lost,
                    r->promotions, r->outdated_version,
                    fleet_sim_oldest_version(sim),
                    fleet_sim_acked_version(sim));
            }
            CU_ASSERT(holds);
            fleet_sim_free(sim);
        }
    }
}

/* Changes of a large configuration follow each other for 10 s, faster than one
 * of them is transferred to an instance.  Each version that was acknowledged
 * must be in force everywhere within 3 s, or one after it. */
static void
a_storm_of_versions_reaches_every_instance_in_time(void)
{
    enum { kLinkBytesPerS = 250000, kStormMs = 10000, kMaxLagMs = 3000 };
    static const struct {
        const char *name;
        uint32_t routes;
        uint32_t gap_ms;
        gboolean leader_crashes;
        gboolean entry_restarts;
    } cases[] = {
        {"large configuration", 800, 60, FALSE, FALSE},
        {"largest configuration", 5000, 60, FALSE, FALSE},
        {"leader crashes", 800, 40, TRUE, FALSE},
        {"entry instance restarts", 800, 330, FALSE, TRUE},
        {"small configuration, leader crashes", 0, 40, TRUE, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint32_t seed = 1; seed <= 4; seed++) {
            FleetSim *sim = fleet_sim_new(seed);
            fleet_sim_set_link_bandwidth(sim, kLinkBytesPerS);
            fleet_sim_add_routes(sim, cases[i].routes);
            fleet_sim_run(sim, 6500);
            uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
            for (uint32_t ms = 0; ms < kStormMs; ms += cases[i].gap_ms) {
                gboolean now =
                    ms / 1000 != (ms + cases[i].gap_ms) / 1000 && ms < 1000;
                if (now && cases[i].leader_crashes) {
                    fleet_sim_set_control_running(sim, leader, FALSE);
                }
                if (now && cases[i].entry_restarts) {
                    fleet_sim_restart_entry(sim, 2);
                }
                fleet_sim_configure(sim, 1000 + ms, TRUE);
                fleet_sim_run(sim, cases[i].gap_ms);
            }
            const FleetSimReport *r = fleet_sim_check(sim);
            uint64_t lag_ms = r->longest_version_lag_us / 1000;
            if (lag_ms > kMaxLagMs) {
                g_print("\n%s, seed %u: %lu ms behind\n", cases[i].name, seed,
                        lag_ms);
            }
            CU_ASSERT(lag_ms <= kMaxLagMs);
            fleet_sim_free(sim);
        }
    }
}

/* An instance decodes about 25 MB of a document a second on a whole core.
 * Versions of a large configuration may take at most a quarter of the smallest
 * instances' shares of a core: 0.12 of an entry instance, and 0.3 of a control
 * instance, of which all but the leader need not decode any. */
static void
a_storm_of_versions_leaves_processor_time_to_callers(void)
{
    enum {
        kRoutes = 800,
        kSeconds = 8,
        kMaxBytesPerS = 750000,
        kMaxControlBytesPerS = 1875000,
    };
    FleetSim *sim = fleet_sim_new(2);

    fleet_sim_add_routes(sim, kRoutes);
    fleet_sim_run(sim, 3000);
    uint64_t before = fleet_sim_decoded_bytes();
    uint64_t control_before = fleet_sim_control_decoded_bytes();
    for (uint32_t ms = 0; ms < kSeconds * 1000; ms += 60) {
        fleet_sim_configure(sim, 1000 + ms, TRUE);
        fleet_sim_run(sim, 60);
    }
    uint64_t bytes_per_s =
        (fleet_sim_decoded_bytes() - before) / kSeconds / kFleetSimEntries;
    uint64_t control_bytes_per_s =
        (fleet_sim_control_decoded_bytes() - control_before) / kSeconds;
    gboolean holds = bytes_per_s <= kMaxBytesPerS &&
                     control_bytes_per_s <= kMaxControlBytesPerS;
    if (!holds) {
        g_print("\n%lu and %lu bytes a second\n", bytes_per_s,
                control_bytes_per_s);
    }
    CU_ASSERT(holds);
    fleet_sim_free(sim);
}

/* An entry instance restarts while versions of a large configuration follow
 * each other faster than one is transferred.  Several control instances may
 * send it one; it must have its first one within 3 s. */
static void
an_instance_that_starts_in_a_storm_gets_a_configuration(void)
{
    enum { kLinkBytesPerS = 250000, kRoutes = 2500, kMaxWaitMs = 3000 };
    static const uint32_t gaps_ms[] = {60, 150, 330};

    for (size_t i = 0; i < G_N_ELEMENTS(gaps_ms); i++) {
        FleetSim *sim = fleet_sim_new((uint32_t)i + 1);
        fleet_sim_set_link_bandwidth(sim, kLinkBytesPerS);
        fleet_sim_add_routes(sim, kRoutes);
        fleet_sim_run(sim, 6000);
        uint32_t waited_ms = 0;
        for (uint32_t ms = 0; ms < 6000; ms += gaps_ms[i]) {
            if (ms < 1000 && ms + gaps_ms[i] >= 1000) {
                fleet_sim_restart_entry(sim, 2);
            }
            fleet_sim_configure(sim, 1000 + ms, TRUE);
            fleet_sim_run(sim, gaps_ms[i]);
            waited_ms += fleet_sim_oldest_version(sim) == 0 ? gaps_ms[i] : 0;
        }
        if (waited_ms > kMaxWaitMs) {
            g_print("\nnone after %u ms, a version each %u ms\n", waited_ms,
                    gaps_ms[i]);
        }
        CU_ASSERT(waited_ms <= kMaxWaitMs);
        fleet_sim_free(sim);
    }
}

/* A control instance joins that takes 0.2 s for each frame, while the log has
 * 14 large documents and the leader starts a round for each report.  The
 * instance gets each entry once; half as much again is allowed for the
 * others' messages. */
static void
a_slow_instance_gets_the_log_once(void)
{
    enum { kVersions = 14, kRoutes = 400 };
    FleetSim *sim = fleet_sim_new(4);

    fleet_sim_add_routes(sim, kRoutes);
    for (uint32_t i = 0; i < kVersions; i++) {
        fleet_sim_run(sim, 300);
        fleet_sim_configure(sim, 1000 + i, TRUE);
    }
    fleet_sim_run(sim, 500);
    const Traffic *t = fleet_sim_traffic(sim);
    uint64_t before = t->bytes[SW__FRAME__BODY_CONSENSUS];
    uint64_t log_bytes =
        (uint64_t)(kVersions + 1) * (strlen(fleet_sim_sent_document(sim)) + 1);
    fleet_sim_delay_control(sim, kFleetSimControls - 1, 200);
    fleet_sim_add_control(sim);
    fleet_sim_run(sim, 6000);
    uint64_t sent = t->bytes[SW__FRAME__BODY_CONSENSUS] - before;
    if (sent > log_bytes * 3 / 2) {
        g_print("\n%lu bytes for a log of %lu\n", sent, log_bytes);
    }
    CU_ASSERT(sent <= log_bytes * 3 / 2);
    /* It has the newest document and answers a read by itself. */
    fleet_sim_read_document(sim, kFleetSimControls - 1);
    fleet_sim_run(sim, 1000);
    CU_ASSERT_PTR_NOT_NULL(fleet_sim_last_read(sim));
    fleet_sim_free(sim);
}

/* Guards against a request of another release that is answered as a read, so
 * that its origin takes it for done. */
static void
unknown_forwarded_requests_are_refused(void)
{
    static const struct {
        const char *verb;
        const char *key;
        uint32_t status;
    } cases[] = {
        {"document-get", "0", 200},  {"document-drop", "0", 400},
        {"document-get ", "0", 400}, {"", "", 400},
        {"member-add", "c9", 400},   {"document-put", "0", 200},
    };
    FleetSim *sim = fleet_sim_new(3);
    uint64_t refused = 0;

    fleet_sim_run(sim, 2000);
    uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
    uint64_t version = fleet_sim_acked_version(sim);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint32_t status = fleet_sim_forward(sim, cases[i].verb, cases[i].key);
        CU_ASSERT_EQUAL(status, cases[i].status);
        refused += cases[i].status == 400;
    }
    CU_ASSERT_EQUAL(
        fleet_sim_control_metric(sim, leader, "forwards_refused_total"),
        refused);
    CU_ASSERT_EQUAL(fleet_sim_acked_version(sim), version);
    fleet_sim_free(sim);
}

/* A control instance forwards an order and restarts before the leader has it.
 * The answer to the order must not be taken for that to a read which the new
 * process has forwarded: both numbered their requests from 1. */
static void
answers_to_a_former_process_are_ignored(void)
{
    enum { kLeaderDelayMs = 200 };

    for (uint32_t seed = 1; seed <= 4; seed++) {
        FleetSim *sim = fleet_sim_new(seed);
        fleet_sim_run(sim, 2000);
        uint32_t leader = (uint32_t)fleet_sim_control_leader(sim);
        uint32_t follower = (leader + 1) % kFleetSimDomains;

        fleet_sim_delay_control(sim, leader, kLeaderDelayMs);
        fleet_sim_order_once(sim, follower, 0, TRUE);
        fleet_sim_run(sim, 40);
        fleet_sim_set_control_running(sim, follower, FALSE);
        fleet_sim_set_control_running(sim, follower, TRUE);
        fleet_sim_run(sim, 100);
        fleet_sim_read_document(sim, follower);
        for (uint32_t ms = 0; ms < 1500 && fleet_sim_last_read(sim) == NULL;
             ms += 10) {
            fleet_sim_run(sim, 10);
        }
        CU_ASSERT_PTR_NOT_NULL_FATAL(fleet_sim_last_read(sim));
        CU_ASSERT_STRING_EQUAL(fleet_sim_last_read(sim),
                               fleet_sim_sent_document(sim));
        fleet_sim_free(sim);
    }
}

/* A control instance joins that takes 0.4 s for each frame, and the others no
 * longer have the first entries of the log.  It gets the snapshot once, though
 * it answers earlier rounds meanwhile; as much again is allowed for the
 * entries after the snapshot and the others' messages. */
static void
a_slow_instance_gets_the_snapshot_once(void)
{
    enum { kVersions = 1000, kRoutes = 800 };
    FleetSim *sim = fleet_sim_new(4);

    for (uint32_t i = 0; i < kVersions; i++) {
        fleet_sim_configure(sim, 1000 + i, TRUE);
        fleet_sim_run(sim, 10);
    }
    fleet_sim_add_routes(sim, kRoutes);
    fleet_sim_run(sim, 4000);
    const Traffic *t = fleet_sim_traffic(sim);
    uint64_t before = t->bytes[SW__FRAME__BODY_CONSENSUS];
    uint64_t snapshot_bytes = strlen(fleet_sim_sent_document(sim)) + 1;
    fleet_sim_delay_control(sim, kFleetSimControls - 1, 400);
    fleet_sim_add_control(sim);
    fleet_sim_run(sim, 6000);
    uint64_t sent = t->bytes[SW__FRAME__BODY_CONSENSUS] - before;
    if (sent > snapshot_bytes * 2) {
        g_print("\n%lu bytes for a snapshot of %lu\n", sent, snapshot_bytes);
    }
    CU_ASSERT(sent <= snapshot_bytes * 2);
    fleet_sim_read_document(sim, kFleetSimControls - 1);
    fleet_sim_run(sim, 1000);
    CU_ASSERT_PTR_NOT_NULL(fleet_sim_last_read(sim));
    fleet_sim_free(sim);
}

/* Hundreds of versions of a large configuration.  The smallest disk of a
 * control instance has 128 MB, which must hold the log, its next version while
 * it is rewritten, and two snapshots; and rewriting the log must not take
 * longer than a follower waits for the leader, 0.3 s at 120 MB a second. */
static void
the_log_of_many_large_versions_stays_small(void)
{
    enum { kVersions = 300, kRoutes = 800, kMaxBytes = 32 << 20 };
    FleetSim *sim = fleet_sim_new(9);
    uint64_t largest = 0;

    fleet_sim_add_routes(sim, kRoutes);
    for (uint32_t i = 0; i < kVersions; i++) {
        fleet_sim_configure(sim, 1000 + i, TRUE);
        fleet_sim_run(sim, 60);
        largest = MAX(largest, fleet_sim_largest_log(sim));
    }
    if (largest > kMaxBytes) {
        g_print("\n%lu bytes\n", largest);
    }
    CU_ASSERT(largest <= kMaxBytes);
    fleet_sim_free(sim);
}

/* Four control instances are divided into halves of two for five seconds, in
 * each of the three ways; everything else reaches both halves.  One half must
 * go on leading: the longest time without an acknowledged write is bounded as
 * for the loss of a leader. */
static void
one_half_of_an_even_group_leads(void)
{
    static const uint32_t halves[] = {0x3, 0x5, 0x9};
    enum { kMaxGapMs = 1400 };

    for (size_t i = 0; i < G_N_ELEMENTS(halves); i++) {
        FleetSim *sim = fleet_sim_new((uint32_t)i + 1);
        fleet_sim_add_control(sim);
        fleet_sim_run(sim, 4000);
        fleet_sim_split_controls(sim, halves[i]);
        fleet_sim_run(sim, 5000);
        fleet_sim_split_controls(sim, 0);
        fleet_sim_run(sim, 3000);
        fleet_sim_quiesce(sim);
        const FleetSimReport *r = fleet_sim_check(sim);
        gboolean holds =
            r->longest_write_gap_us <= (uint64_t)kMaxGapMs * 1000 &&
            r->served * 100 >= r->operations * 95 && r->stale == 0 &&
            r->lost == 0 && r->acked_by_old_primary == 0;
        if (!holds) {
            g_print("\nhalf %x: gap %lu ms, %lu of %lu served\n", halves[i],
                    r->longest_write_gap_us / 1000, r->served, r->operations);
        }
        CU_ASSERT(holds);
        fleet_sim_free(sim);
    }
}

/* Guards against a record of each server, about 100 bytes, in a frame to each
 * other control instance for each report.  Six servers report every 400 ms to
 * one of three control instances. */
static void
reports_without_a_change_send_no_records(void)
{
    enum { kSeconds = 10, kBytesPerReport = 60 };
    FleetSim *sim = fleet_sim_new(5);

    fleet_sim_run(sim, 5000);
    const Traffic *t = fleet_sim_traffic(sim);
    uint64_t before = t->bytes[SW__FRAME__BODY_DIRECTORY_UPDATE];
    fleet_sim_run(sim, kSeconds * 1000);
    uint64_t sent = t->bytes[SW__FRAME__BODY_DIRECTORY_UPDATE] - before;
    uint64_t reports = kFleetSimDatabases * kFleetSimServersPerDatabase *
                       kSeconds * 1000 / 400;
    if (sent > reports * (kFleetSimDomains - 1) * kBytesPerReport) {
        g_print("\n%lu bytes for %lu reports\n", sent, reports);
    }
    CU_ASSERT(sent <= reports * (kFleetSimDomains - 1) * kBytesPerReport);
    fleet_sim_free(sim);
}

/* Guards against a leader that keeps evidence of a report before one that was
 * lost: it must ask for all evidence until it has it, and never otherwise.
 * The reports that are lost tell that primaries no longer answer anything, as
 * the callers pause; nothing changes after them, so that only a full report
 * can replace them. */
static void
lost_evidence_is_asked_for(void)
{
    static const char kRequests[] = "evidence_requests_total";
    FleetSim *sim = fleet_sim_new(9);

    fleet_sim_run(sim, 4000);
    int leader = fleet_sim_control_leader(sim);
    CU_ASSERT_FATAL(leader >= 0);
    uint32_t index = (uint32_t)leader;
    uint64_t before = fleet_sim_control_metric(sim, index, kRequests);
    fleet_sim_run(sim, 3000);
    CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, index, kRequests), before);
    fleet_sim_set_caller_pause(sim, 60000);
    fleet_sim_run(sim, 1000);
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_set_isolated(sim, i, TRUE);
    }
    fleet_sim_run(sim, 300);
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_set_isolated(sim, i, FALSE);
    }
    fleet_sim_run(sim, 1000);
    uint64_t asked = fleet_sim_control_metric(sim, index, kRequests);
    CU_ASSERT(asked > before);
    fleet_sim_run(sim, 3000);
    CU_ASSERT_EQUAL(fleet_sim_control_metric(sim, index, kRequests), asked);
    CU_ASSERT_EQUAL(fleet_sim_control_leader(sim), leader);
    fleet_sim_free(sim);
}

/* Guards against work that a slow control instance gets because it is slow:
 * reports reach it 2.5 s late, so that a restarted entry instance seems to
 * lack the directory for as long.  It needs one copy; the others in the bound
 * are what the control instances send each other at rest. */
static void
a_slow_instance_sends_few_copies_of_its_directory(void)
{
    enum { kMaxFrames = 70 };
    FleetSim *sim = fleet_sim_new(8);

    fleet_sim_run(sim, 3000);
    fleet_sim_delay_control(sim, 1, 2500);
    const Traffic *t = fleet_sim_traffic(sim);
    uint64_t before = t->frames[SW__FRAME__BODY_DIRECTORY_UPDATE];
    for (uint32_t i = 0; i < kFleetSimEntries; i++) {
        fleet_sim_restart_entry(sim, i);
    }
    fleet_sim_run(sim, 6000);
    uint64_t sent = t->frames[SW__FRAME__BODY_DIRECTORY_UPDATE] - before;
    if (sent > kMaxFrames) {
        g_print("\n%lu frames\n", sent);
    }
    CU_ASSERT(sent <= kMaxFrames);
    fleet_sim_free(sim);
}

/* An operator reads a large document from each control instance.  Those that
 * have the newest version need not get its text from the leader. */
static void
reads_of_the_document_stay_local(void)
{
    FleetSim *sim = fleet_sim_new(6);

    fleet_sim_add_routes(sim, 200);
    fleet_sim_run(sim, 1000);
    const Traffic *t = fleet_sim_traffic(sim);
    uint64_t before = t->bytes[SW__FRAME__BODY_ADMIN_REPLY];
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        fleet_sim_read_document(sim, i);
        fleet_sim_run(sim, 500);
        CU_ASSERT_PTR_NOT_NULL_FATAL(fleet_sim_last_read(sim));
        CU_ASSERT_STRING_EQUAL(fleet_sim_last_read(sim),
                               fleet_sim_sent_document(sim));
    }
    CU_ASSERT(t->bytes[SW__FRAME__BODY_ADMIN_REPLY] - before < 1000);
    fleet_sim_free(sim);
}

/* A transaction of two statements crosses to the owner of the server three
 * times: with BEGIN and the first statement, the second one, and COMMIT.  A
 * quarter of the operations are such transactions, the others are single
 * statements, so that an operation takes one and a half round trips, and a
 * tenth more where a lagging replica sends it elsewhere. */
static void
begin_and_first_statement_share_a_round_trip(void)
{
    enum { kMaxRoundTripsPercent = 165 };
    FleetSim *sim = fleet_sim_new(5);

    fleet_sim_run(sim, 10000);
    fleet_sim_quiesce(sim);
    const FleetSimReport *r = fleet_sim_check(sim);
    uint64_t round_trips =
        fleet_sim_traffic(sim)->frames[SW__FRAME__BODY_RELAY_RUN];
    uint64_t percent = round_trips * 100 / r->operations;
    if (percent > kMaxRoundTripsPercent) {
        g_print("\n%lu percent\n", percent);
    }
    CU_ASSERT(r->operations > 500);
    CU_ASSERT(percent <= kMaxRoundTripsPercent);
    fleet_sim_free(sim);
}

/* Returns the bytes between control and entry instances, without the tokens
 * that callers' operations cost. */
static uint64_t
control_bytes(const FleetSim *sim)
{
    const Traffic *t = fleet_sim_traffic(sim);

    return t->bytes[SW__FRAME__BODY_ENTRY_REPORT] +
           t->bytes[SW__FRAME__BODY_ENTRY_GRANT] +
           t->bytes[SW__FRAME__BODY_DOCUMENT_CHUNK] +
           t->bytes[SW__FRAME__BODY_DOCUMENT_UPDATE];
}

/* A planned stop of an entry instance must not cut off a statement that it has
 * received: callers whose next statement follows at once are never found idle,
 * and servers may answer more slowly than the stop allows. */
static void
a_planned_stop_answers_every_statement(void)
{
    static const struct {
        const char *name;
        uint64_t pause_ms;
        uint64_t grace_ms;
        uint64_t extra_work_ms;
        uint32_t stops;   /* one after the other, or all at once */
        uint32_t at_once; /* instances that stop at the same time */
        /* The balancer notices before half of the grace has passed, so that
         * sessions are closed and no statement is refused. */
        gboolean none_refused;
        /* Half of the grace suffices for the statements that are open then. */
        gboolean none_in_doubt;
    } cases[] = {
        {"callers with pauses", 400, 6000, 0, 6, 1, TRUE, TRUE},
        {"callers without pauses", 0, 2400, 0, 2, 1, TRUE, TRUE},
        {"half of the instances", 0, 2400, 0, 3, 3, TRUE, TRUE},
        /* It ends before the balancer has noticed. */
        {"short grace", 0, 1000, 0, 3, 3, FALSE, TRUE},
        /* Statements reach their time limit at the other instances. */
        {"slow servers", 0, 6000, 60, 1, 1, TRUE, TRUE},
        {"answers later than the grace", 0, 500, 250, 2, 1, FALSE, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint32_t seed = 1; seed <= 3; seed++) {
            FleetSim *sim = fleet_sim_new(seed);
            fleet_sim_set_caller_pause(sim, cases[i].pause_ms);
            fleet_sim_set_extra_work(sim, cases[i].extra_work_ms);
            fleet_sim_run(sim, 500);
            for (uint32_t k = 0; k < cases[i].stops; k++) {
                fleet_sim_stop_entry(sim, k, cases[i].grace_ms);
                if ((k + 1) % cases[i].at_once == 0) {
                    fleet_sim_run(sim, cases[i].grace_ms + 1000);
                }
            }
            fleet_sim_quiesce(sim);
            const FleetSimReport *r = fleet_sim_check(sim);
            gboolean holds =
                r->cut_off_by_stop == 0 && r->lost == 0 &&
                r->duplicated == 0 && r->false_rejections == 0 &&
                r->stale == 0 && r->outside_transaction == 0 &&
                r->stops == cases[i].stops &&
                (r->refused_by_stop == 0 || !cases[i].none_refused) &&
                (r->in_doubt == 0 || cases[i].extra_work_ms != 0) &&
                (r->in_doubt_by_stop == 0 || !cases[i].none_in_doubt);
            if (!holds) {
                g_print("\n%s, seed %u: cut off %lu in %lu stops, refused "
                        "%lu, in doubt %lu, lost %lu, duplicated %lu, false "
                        "rejections %lu\n",
                        cases[i].name, seed, r->cut_off_by_stop, r->stops,
                        r->refused_by_stop, r->in_doubt_by_stop, r->lost,
                        r->duplicated, r->false_rejections);
            }
            CU_ASSERT(holds);
            fleet_sim_free(sim);
        }
    }
}

/* Every caller is a team of its own, and each team uses every instance.  An
 * entry instance and the control instances may exchange 4 KB a second while
 * nothing changes. */
static void
control_traffic_is_small_at_rest(void)
{
    enum { kSeconds = 8, kMaxBytesPerS = 4096 };
    FleetSim *sim = fleet_sim_new(3);

    fleet_sim_set_teams(sim, kFleetSimCallers, kFleetSimCallers, 3);
    fleet_sim_run(sim, 4000);
    uint64_t before = control_bytes(sim);
    fleet_sim_run(sim, kSeconds * 1000);
    uint64_t bytes_per_s =
        (control_bytes(sim) - before) / kSeconds / kFleetSimEntries;
    if (bytes_per_s > kMaxBytesPerS) {
        g_print("\n%lu bytes a second\n", bytes_per_s);
    }
    CU_ASSERT(bytes_per_s <= kMaxBytesPerS);
    fleet_sim_free(sim);
}

void
add_fleet_sim_suite(void)
{
    CU_pSuite s = CU_add_suite("fleet simulation", NULL, NULL);
    CU_add_test(s, "invariants hold under faults",
                invariants_hold_under_faults);
    CU_add_test(s, "large configurations leave links to callers",
                large_configurations_leave_links_to_callers);
    CU_add_test(s, "a storm of versions reaches every instance in time",
                a_storm_of_versions_reaches_every_instance_in_time);
    CU_add_test(s, "a storm of versions leaves processor time to callers",
                a_storm_of_versions_leaves_processor_time_to_callers);
    CU_add_test(s, "an instance that starts in a storm gets a configuration",
                an_instance_that_starts_in_a_storm_gets_a_configuration);
    CU_add_test(s, "a slow instance gets the log once",
                a_slow_instance_gets_the_log_once);
    CU_add_test(s, "unknown forwarded requests are refused",
                unknown_forwarded_requests_are_refused);
    CU_add_test(s, "answers to a former process are ignored",
                answers_to_a_former_process_are_ignored);
    CU_add_test(s, "a slow instance gets the snapshot once",
                a_slow_instance_gets_the_snapshot_once);
    CU_add_test(s, "the log of many large versions stays small",
                the_log_of_many_large_versions_stays_small);
    CU_add_test(s, "one half of an even group leads",
                one_half_of_an_even_group_leads);
    CU_add_test(s, "reads of the document stay local",
                reads_of_the_document_stay_local);
    CU_add_test(s, "lost evidence is asked for", lost_evidence_is_asked_for);
    CU_add_test(s, "a slow instance sends few copies of its directory",
                a_slow_instance_sends_few_copies_of_its_directory);
    CU_add_test(s, "reports without a change send no records",
                reports_without_a_change_send_no_records);
    CU_add_test(s, "begin and first statement share a round trip",
                begin_and_first_statement_share_a_round_trip);
    CU_add_test(s, "a planned stop answers every statement",
                a_planned_stop_answers_every_statement);
    CU_add_test(s, "control traffic is small at rest",
                control_traffic_is_small_at_rest);
    CU_add_test(s, "a withdrawn key is rejected", a_withdrawn_key_is_rejected);
    CU_add_test(s, "a moved key ends transactions of its former team",
                a_moved_key_ends_transactions_of_its_former_team);
    CU_add_test(s, "a withdrawn key stays withdrawn",
                a_withdrawn_key_stays_withdrawn);
    CU_add_test(s, "an unconfirmed key is rejected after its limit",
                an_unconfirmed_key_is_rejected_after_its_limit);
    CU_add_test(s, "lent connections serve more with fewer handshakes",
                lent_connections_serve_more_with_fewer_handshakes);
    CU_add_test(s, "guarantees hold with priorities",
                guarantees_hold_with_priorities);
    CU_add_test(s, "rates hold while instances are partitioned",
                rates_hold_while_instances_are_partitioned);
    CU_add_test(s, "rates hold while most instances are isolated",
                rates_hold_while_most_instances_are_isolated);
    CU_add_test(s, "lent shares count at the leader",
                lent_shares_count_at_the_leader);
    CU_add_test(s, "pooled rates hold while pools split and join",
                pooled_rates_hold_while_pools_split_and_join);
    CU_add_test(s, "a team gets its rate and no more",
                a_team_gets_its_rate_and_no_more);
}
