#ifndef SAPPHIREWEIR_TEST_CONTROL_FLEET_H
#define SAPPHIREWEIR_TEST_CONTROL_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "core/consensus.h"
#include "core/control_core.h"

/* Several control cores in one process, with fakes for the network, the
 * disks and the operators.  Time and chance come from the test. */

enum { kFleetNodesMax = 9 };

/* A disk that keeps what was synced when its instance crashes. */
typedef struct {
    ConsensusSaved synced;
    ConsensusSaved written; /* what a sync would make durable */
    uint64_t syncs;
    gboolean fail_next_sync;
} FakeDisk;

typedef struct ControlFleet ControlFleet;

typedef struct {
    ControlFleet *fleet;
    uint32_t index;
    char *id;
    char *disk_identity;
    FakeDisk disk;
    ControlCore *core; /* NULL: crashed */
    gboolean cut;      /* nothing passes in or out */
} FleetNode;

struct ControlFleet {
    FleetNode nodes[kFleetNodesMax];
    uint32_t count;
    uint64_t now_us;
    GRand *rand;
    GSequence *messages; /* by due time */
    uint32_t loss_percent;
    uint32_t duplicate_percent;
    uint64_t delay_max_us;
    /* Answers to operators, by request id. */
    GHashTable *replies; /* request id -> status */
    GHashTable *leases;  /* request id -> confirmed index + 1 */
    uint64_t messages_sent;
    uint64_t bytes_sent;
    uint32_t snapshot_interval_entries;
    GHashTable *leaders; /* term -> node index + 1 */
    gboolean two_leaders;
    /* Frames to anyone who is no control instance; may be NULL. */
    void (*outside)(void *ctx, const char *from, const char *to,
                    const Sw__Frame *frame);
    void *outside_ctx;
    uint64_t suspect_after_us;
    gboolean disks_keep_nothing; /* for measurements without restarts */
};

ControlFleet *control_fleet_new(uint32_t count, uint32_t seed);
void control_fleet_free(ControlFleet *f);
void control_fleet_start(ControlFleet *f, uint32_t node, gboolean bootstrap);
void control_fleet_crash(ControlFleet *f, uint32_t node);
void control_fleet_lose_disk(ControlFleet *f, uint32_t node);
void control_fleet_run(ControlFleet *f, uint64_t us);
FleetNode *control_fleet_leader(ControlFleet *f);
void control_fleet_admin(ControlFleet *f, uint32_t node, uint64_t request_id,
                         const char *verb, const char *operation,
                         const char *body);
uint32_t control_fleet_status(ControlFleet *f, uint64_t request_id);
void control_fleet_frame(ControlFleet *f, uint32_t node, const char *from,
                         const Sw__Frame *frame);

#endif
