#ifndef SAPPHIREWEIR_TEST_FLEET_WORLD_H
#define SAPPHIREWEIR_TEST_FLEET_WORLD_H

#include "fleet/director.h"
#include "gateway/gateway.h"

/* A whole fleet in one process and in virtual time: control and entry
 * instances, backend servers that replicate with a lag, callers and an
 * operator.  It checks from the callers' side what must always hold. */

enum {
    kWorldDomains = 3,
    kWorldEntries = 6,
    kWorldDatabases = 2,
    kWorldMembers = 3,
    kWorldCallers = 36,
};

typedef struct World World;

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
    uint64_t lost;        /* acknowledged, not rolled back, and gone */
    uint64_t doubled;     /* committed twice for one try */
    uint64_t untrue;      /* said to be not kept, and committed */
    uint64_t stale;       /* read a log that lacks what it must hold */
    uint64_t fenced;      /* acknowledged by a primary that was replaced */
    uint64_t foreign;     /* ran for another team than the key's */
    uint64_t wrong_state; /* a session's values were not the server's */
    uint64_t after_drain; /* began at a server that had left */
    uint64_t reverted;    /* configuration older than an old acknowledgement */
} WorldReport;

World *world_new(uint32_t seed);
void world_free(World *w);
void world_run(World *w, uint64_t for_ms);
void world_settle(World *w);
const WorldReport *world_end(World *w);

void world_configure(World *w, uint32_t rate, gboolean with_key);
uint64_t world_version(const World *w);
void world_cut_domain(World *w, uint32_t domain, gboolean cut);
void world_control_power(World *w, uint32_t index, gboolean on);
void world_control_wipe(World *w, uint32_t index);
int world_control_leader(const World *w);
void world_primary_power(World *w, uint32_t database, gboolean on,
                         gboolean dark);
void world_entry_restart(World *w, uint32_t index);
int world_primary(const World *w, uint32_t database);
void world_member_power(World *w, uint32_t database, uint32_t index,
                        gboolean on, gboolean dark);
void world_member_deaf(World *w, uint32_t database, uint32_t index,
                       gboolean deaf);
void world_acknowledge_by_replica(World *w);
void world_primary_drain(World *w, uint32_t database);
void world_replicas_lag(World *w, uint64_t lag_ms);
void world_lose_answers(World *w, uint32_t percent);
void world_promotions_take(World *w, uint64_t promote_ms);
uint32_t world_most_in_window(const World *w);
void world_forget_runs(World *w);
void world_entries_strict(World *w, uint64_t max_unconfirmed_ms);
void world_teams(World *w, uint32_t teams, uint32_t max_connections,
                 uint32_t slots);
void world_entries_apart(World *w, gboolean apart);
uint32_t world_connections_opened(const World *w);
void world_members_mute(World *w, gboolean mute);
void world_load(World *w, uint64_t gap_ms);

#endif
