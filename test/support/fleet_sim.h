#ifndef SAPPHIREWEIR_TEST_FLEET_SIM_H
#define SAPPHIREWEIR_TEST_FLEET_SIM_H

#include "core/traffic.h"
#include "fleet/director.h"
#include "gateway/gateway.h"

/* A simulated fleet in one process and in virtual time: control and entry
 * instances, a network, backend servers that replicate with a lag, callers and
 * an operator.  The simulation checks the guarantees that callers have. */

enum {
    kFleetSimDomains = 3,  /* failure domains, one control instance in each */
    kFleetSimControls = 4, /* the last one only after fleet_sim_add_control */
    kFleetSimEntries = 6,  /* distributed over the failure domains */
    kFleetSimDatabases = 2,
    kFleetSimServersPerDatabase = 3, /* one in each failure domain */
    kFleetSimCallers = 36,
};

typedef struct FleetSim FleetSim;

/* Counters of a run. */
typedef struct {
    uint64_t operations; /* started */
    uint64_t served;
    uint64_t refused;  /* failed after all attempts */
    uint64_t in_doubt; /* answers that leave open whether a commit happened */
    uint64_t no_auth;  /* rejections of a caller's key */
    uint64_t promotions;
    /* Longest time without an acknowledged write to a database. */
    uint64_t longest_write_gap_us;
    uint64_t replica_reads;
    uint64_t rolled_back; /* acknowledged, then discarded by a promotion */
    uint64_t stops; /* planned stops of entry instances that have ended */
    uint64_t refused_by_stop;  /* statements that came too late in a stop */
    uint64_t in_doubt_by_stop; /* those in doubt at stopping instances */
    /* Longest time that a frame waited for the network link of an entry
     * instance. */
    uint64_t longest_link_wait_us;

    /* Violations of guarantees; all must be zero. */

    /* Acknowledged, not rolled back, and not in the primary's log. */
    uint64_t lost;
    uint64_t duplicated; /* committed twice for one attempt */
    /* Answered with an error that rules out a commit, but committed. */
    uint64_t false_rejections;
    uint64_t stale; /* reads of a log that lacks a required write */
    /* Acknowledged by a primary that had been replaced. */
    uint64_t acked_by_old_primary;
    uint64_t wrong_team;          /* ran on a connection of another team */
    uint64_t wrong_state;         /* ran without the session's variables */
    uint64_t outside_transaction; /* ran outside the caller's transaction */
    /* Started at a draining server after the time it may serve. */
    uint64_t run_after_drain;
    /* Statements that reached an evacuated failure domain after the time limit
     * of an evacuation, from entry instances in contact for as long. */
    uint64_t run_after_evacuation;
    /* Statements without an answer at the end of an entry instance that was
     * stopped in order. */
    uint64_t cut_off_by_stop;
    /* Longest time between the acknowledgement of a document and its use, or
     * that of a newer one, by an entry instance in contact. */
    uint64_t longest_version_lag_us;
    /* Frames that reached an entry instance whose configuration was older than
     * one acknowledged more than 3 s before, and ticks of one that was in
     * contact for as long. */
    uint64_t outdated_version;
} FleetSimReport;

FleetSim *fleet_sim_new(uint32_t seed);
void fleet_sim_free(FleetSim *sim);
void fleet_sim_run(FleetSim *sim, uint64_t for_ms);
void fleet_sim_quiesce(FleetSim *sim);
const FleetSimReport *fleet_sim_check(FleetSim *sim);

void fleet_sim_configure(FleetSim *sim, uint32_t rate, gboolean with_key);
uint64_t fleet_sim_acked_version(const FleetSim *sim);
void fleet_sim_partition_domain(FleetSim *sim, uint32_t domain,
                                gboolean partitioned);
void fleet_sim_set_control_running(FleetSim *sim, uint32_t index,
                                   gboolean running);
void fleet_sim_wipe_control_disk(FleetSim *sim, uint32_t index);
void fleet_sim_fill_control_disk(FleetSim *sim, uint32_t index, gboolean full);
void fleet_sim_add_control(FleetSim *sim);
void fleet_sim_delay_control(FleetSim *sim, uint32_t index, uint64_t delay_ms);
void fleet_sim_split_controls(FleetSim *sim, uint32_t half_mask);
int fleet_sim_control_leader(const FleetSim *sim);
void fleet_sim_set_primary_running(FleetSim *sim, uint32_t database,
                                   gboolean running, gboolean unreachable);
void fleet_sim_lose_control_frames(FleetSim *sim, uint32_t entry,
                                   gboolean lose);
void fleet_sim_restart_entry(FleetSim *sim, uint32_t index);
int fleet_sim_primary(const FleetSim *sim, uint32_t database);
void fleet_sim_set_server_running(FleetSim *sim, uint32_t database,
                                  uint32_t index, gboolean running,
                                  gboolean unreachable);
void fleet_sim_pause_replication(FleetSim *sim, uint32_t database,
                                 uint32_t index, gboolean paused);
void fleet_sim_enable_sync_replication(FleetSim *sim);
void fleet_sim_drain_primary(FleetSim *sim, uint32_t database);
void fleet_sim_drain_replica(FleetSim *sim, uint32_t database);
void fleet_sim_set_replica_lag(FleetSim *sim, uint64_t lag_ms);
void fleet_sim_set_reply_loss(FleetSim *sim, uint32_t loss_percent);
void fleet_sim_set_promotion_delay(FleetSim *sim, uint64_t delay_ms);
uint32_t fleet_sim_max_in_rate_window(const FleetSim *sim);
void fleet_sim_clear_run_times(FleetSim *sim);
void fleet_sim_set_max_unconfirmed(FleetSim *sim, uint64_t max_unconfirmed_ms);
void fleet_sim_set_teams(FleetSim *sim, uint32_t teams,
                         uint32_t max_connections, uint32_t slots);
void fleet_sim_partition_entries(FleetSim *sim, gboolean partitioned);
uint32_t fleet_sim_connections_opened(const FleetSim *sim);
void fleet_sim_pause_server_reports(FleetSim *sim, gboolean paused);
void fleet_sim_set_link_bandwidth(FleetSim *sim, uint64_t bytes_per_s);
void fleet_sim_add_routes(FleetSim *sim, uint32_t count);
void fleet_sim_read_document(FleetSim *sim, uint32_t control);
uint32_t fleet_sim_forward(FleetSim *sim, const char *verb, const char *key);
const char *fleet_sim_last_read(const FleetSim *sim);
const char *fleet_sim_sent_document(const FleetSim *sim);
uint64_t fleet_sim_oldest_version(const FleetSim *sim);
uint64_t fleet_sim_version_lag_us(const FleetSim *sim, uint32_t entry);
uint64_t fleet_sim_decoded_bytes(void);
uint64_t fleet_sim_control_decoded_bytes(void);
uint64_t fleet_sim_largest_log(const FleetSim *sim);
uint64_t fleet_sim_metric(const FleetSim *sim, const char *name);
uint64_t fleet_sim_leases_lost(const FleetSim *sim);
const Traffic *fleet_sim_traffic(const FleetSim *sim);
void fleet_sim_stop_entry(FleetSim *sim, uint32_t index, uint64_t grace_ms);
void fleet_sim_set_extra_work(FleetSim *sim, uint64_t statement_ms);
void fleet_sim_move_keys(FleetSim *sim);
void fleet_sim_use_priorities(gboolean use);
void fleet_sim_set_step_pause(FleetSim *sim, uint64_t pause_ms);
void fleet_sim_set_caller_pause(FleetSim *sim, uint64_t pause_ms);
void fleet_sim_set_slow_start(FleetSim *sim, uint32_t cold_ms,
                              uint32_t limit_per_s, gboolean reported);
void fleet_sim_restart_server(FleetSim *sim, uint32_t database,
                              uint32_t index);
uint32_t fleet_sim_max_cold_arrivals(const FleetSim *sim);
uint64_t fleet_sim_cold_arrivals(const FleetSim *sim);
uint64_t fleet_sim_refusals(const FleetSim *sim, RefusalReason reason);

/* An operator's order to evacuate or restore a failure domain, sent once. */
typedef struct {
    uint32_t status;  /* HTTP status of the answer, zero: none yet */
    gboolean gave_up; /* its operator has closed the connection */
} FleetSimOrder;

const FleetSimOrder *fleet_sim_order_once(FleetSim *sim, uint32_t control,
                                          uint32_t domain, gboolean evacuated);
void fleet_sim_order_give_up(const FleetSimOrder *order);
void fleet_sim_cut_from_control(FleetSim *sim, uint32_t entry,
                                uint32_t control);
void fleet_sim_set_isolated(FleetSim *sim, uint32_t entry, gboolean isolated);
void fleet_sim_order(FleetSim *sim, uint32_t domain, gboolean evacuated);
gboolean fleet_sim_order_acked(const FleetSim *sim, uint32_t domain);
uint64_t fleet_sim_statements_in_domain(const FleetSim *sim, uint32_t domain,
                                        uint32_t entry);
void fleet_sim_gather_callers(FleetSim *sim, uint32_t domain);
uint64_t fleet_sim_outcomes(const FleetSim *sim, uint32_t priority,
                            gboolean served);
uint64_t fleet_sim_control_metric(const FleetSim *sim, uint32_t control,
                                  const char *name);
uint64_t fleet_sim_entry_metric(const FleetSim *sim, uint32_t entry,
                                const char *name);
uint64_t fleet_sim_domain_restored_us(const FleetSim *sim, uint32_t entry,
                                      uint32_t domain);

#endif
