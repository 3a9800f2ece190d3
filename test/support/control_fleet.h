#ifndef SAPPHIREWEIR_TEST_CONTROL_FLEET_H
#define SAPPHIREWEIR_TEST_CONTROL_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "core/consensus.h"
#include "core/control_core.h"
#include "fake_disk.h"

/* Several control cores in one process, with a simulated network, simulated
 * disks and operators.  The test sets the virtual time and the random seed;
 * times are in microseconds. */

enum { kFleetNodesMax = 9 };

typedef struct ControlFleet ControlFleet;

typedef struct {
    ControlFleet *fleet;
    uint32_t index;
    char *id;
    char *disk_identity;
    FakeDisk disk;
    ControlCore *core;    /* NULL: not running */
    gboolean partitioned; /* frames to and from it are dropped */
} FleetNode;

struct ControlFleet {
    FleetNode nodes[kFleetNodesMax];
    uint32_t count;
    uint64_t now_us;
    GRand *rand;
    GSequence *messages; /* in transit, by time of delivery */
    /* Faults of the network between control instances. */
    uint32_t loss_percent;
    uint32_t duplicate_percent;
    uint64_t max_delay_us;
    /* Replies to operators and granted leases, both by request id. */
    GHashTable *replies; /* uint64_t -> HTTP status */
    GHashTable *leases;  /* uint64_t -> confirmed index + 1 */
    /* Frames that control instances sent, including lost ones. */
    uint64_t messages_sent;
    uint64_t bytes_sent;
    uint32_t snapshot_interval_entries; /* log entries between snapshots */
    GHashTable *leaders;                /* term -> node index + 1 */
    gboolean two_leaders; /* two led in the same term: a violation */
    /* Receives the frames whose recipient is not a control instance; may be
     * NULL. */
    void (*handle_external_frame)(void *ctx, const char *from, const char *to,
                                  const Sw__Frame *frame);
    void *external_ctx;
    uint64_t suspect_after_us; /* see ControlConfig; set before the start */
    /* Log entries are not stored.  Saves memory in runs without restarts. */
    gboolean discard_disk_writes;
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
