#ifndef SAPPHIREWEIR_TEST_FLEET_SIM_H
#define SAPPHIREWEIR_TEST_FLEET_SIM_H

#include "fleet/director.h"
#include "gateway/gateway.h"

/* A whole fleet in one process and in virtual time: control and entry
 * instances, backend servers that replicate with a lag, callers and an
 * operator.  It checks from the callers' side what must always hold. */

enum {
    kFleetSimDomains = 3,
    kFleetSimEntries = 6,
    kFleetSimDatabases = 2,
    kFleetSimServersPerDatabase = 3,
    kFleetSimCallers = 36,
};

typedef struct FleetSim FleetSim;

/* What a run has shown. */
typedef struct {
    uint64_t operations;
    uint64_t served;
    uint64_t refused; /* after all tries */
    uint64_t in_doubt;
    uint64_t no_auth;
    uint64_t promotions;
    uint64_t longest_write_gap_us; /* of a database, to the end of a run */
    uint64_t replica_reads;
    uint64_t rolled_back; /* acknowledged, and undone by a promotion */
    /* Broken promises; all must be zero. */
    uint64_t lost;             /* acknowledged, not rolled back, and gone */
    uint64_t duplicated;       /* committed twice for one try */
    uint64_t false_rejections; /* said to be not kept, and committed */
    uint64_t stale;            /* read a log that lacks what it must hold */
    uint64_t
        acked_by_old_primary; /* acknowledged by a primary that was replaced */
    uint64_t wrong_team;      /* ran for another team than the key's */
    uint64_t wrong_state;     /* a session's values were not the server's */
    uint64_t run_after_drain; /* began at a server that had left */
    uint64_t
        outdated_version; /* configuration older than an old acknowledgement */
} FleetSimReport;

FleetSim *fleet_sim_new(uint32_t seed);
void fleet_sim_free(FleetSim *w);
void fleet_sim_run(FleetSim *w, uint64_t for_ms);
void fleet_sim_quiesce(FleetSim *w);
const FleetSimReport *fleet_sim_check(FleetSim *w);

void fleet_sim_configure(FleetSim *w, uint32_t rate, gboolean with_key);
uint64_t fleet_sim_acked_version(const FleetSim *w);
void fleet_sim_partition_domain(FleetSim *w, uint32_t domain, gboolean cut);
void fleet_sim_set_control_running(FleetSim *w, uint32_t index, gboolean on);
void fleet_sim_wipe_control_disk(FleetSim *w, uint32_t index);
int fleet_sim_control_leader(const FleetSim *w);
void fleet_sim_set_primary_running(FleetSim *w, uint32_t database, gboolean on,
                                   gboolean dark);
void fleet_sim_restart_entry(FleetSim *w, uint32_t index);
int fleet_sim_primary(const FleetSim *w, uint32_t database);
void fleet_sim_set_server_running(FleetSim *w, uint32_t database,
                                  uint32_t index, gboolean on, gboolean dark);
void fleet_sim_pause_replication(FleetSim *w, uint32_t database,
                                 uint32_t index, gboolean deaf);
void fleet_sim_enable_sync_replication(FleetSim *w);
void fleet_sim_drain_primary(FleetSim *w, uint32_t database);
void fleet_sim_set_replica_lag(FleetSim *w, uint64_t lag_ms);
void fleet_sim_set_reply_loss(FleetSim *w, uint32_t percent);
void fleet_sim_set_promotion_delay(FleetSim *w, uint64_t promote_ms);
uint32_t fleet_sim_max_in_rate_window(const FleetSim *w);
void fleet_sim_clear_run_times(FleetSim *w);
void fleet_sim_set_max_unconfirmed(FleetSim *w, uint64_t unconfirmed_most_ms);
void fleet_sim_set_teams(FleetSim *w, uint32_t teams, uint32_t max_connections,
                         uint32_t slots);
void fleet_sim_partition_entries(FleetSim *w, gboolean apart);
uint32_t fleet_sim_connections_opened(const FleetSim *w);
void fleet_sim_pause_server_reports(FleetSim *w, gboolean mute);
void fleet_sim_set_caller_pause(FleetSim *w, uint64_t gap_ms);

#endif
