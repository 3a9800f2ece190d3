#ifndef SAPPHIREWEIR_TEST_DIRECTOR_FLEET_H
#define SAPPHIREWEIR_TEST_DIRECTOR_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "fake_disk.h"
#include "fleet/director.h"

/* The control instances of a fleet in one process and in virtual time, with
 * simulated disks, links and operators.  Times are in microseconds. */

enum { kDirectorNodesMax = 9, kDirectorSeeds = 3 };

typedef struct DirectorFleet DirectorFleet;

typedef struct {
    DirectorFleet *fleet;
    uint32_t index;
    char *id;
    char *disk_identity;
    uint32_t disks; /* that this instance has had */
    FakeDisk disk;
    Director *director; /* NULL: not running */
    gboolean frozen;    /* does nothing, and its frames wait */
    uint32_t group;     /* instances of different groups are partitioned */
} DirectorNode;

/* An operator's request; one that is not answered stays at status zero. */
typedef struct {
    uint32_t status;
    uint64_t sent_us;
    uint64_t answered_us;
    char *text; /* of the answer */
} DirectorCall;

struct DirectorFleet {
    DirectorNode nodes[kDirectorNodesMax];
    uint32_t count;
    uint64_t now_us;
    GRand *rand;
    GSequence *messages; /* in transit, by time of delivery */
    GPtrArray *calls;    /* DirectorCall */
    /* Instances that one knows, and links; by the indices of both sides. */
    gboolean known[kDirectorNodesMax][kDirectorNodesMax];
    uint64_t link_up_us[kDirectorNodesMax][kDirectorNodesMax];
    /* Delivery of the last frame from one to the other. */
    uint64_t last_delivery_us[kDirectorNodesMax][kDirectorNodesMax];
    uint32_t max_failures; /* that the instances tolerate */
    /* Instances that the settings name; the first ones unless a test changes
     * them.  An instance reads them when it starts. */
    uint32_t seeds[kDirectorSeeds];
    GHashTable *leaders;  /* term -> node index + 1 */
    gboolean two_leaders; /* two led in the same term: a violation */
};

DirectorFleet *director_fleet_new(uint32_t count, uint32_t max_failures,
                                  uint32_t seed);
void director_fleet_free(DirectorFleet *f);
void director_fleet_start(DirectorFleet *f, uint32_t node, gboolean bootstrap);
void director_fleet_kill(DirectorFleet *f, uint32_t node, gboolean power);
void director_fleet_lose_disk(DirectorFleet *f, uint32_t node);
void director_fleet_partition(DirectorFleet *f, uint32_t node, uint32_t group);
void director_fleet_run(DirectorFleet *f, uint64_t us);
DirectorNode *director_fleet_leader(DirectorFleet *f);
const DirectorCall *director_fleet_put(DirectorFleet *f, uint32_t node,
                                       uint64_t version);
const DirectorCall *director_fleet_get(DirectorFleet *f, uint32_t node);
uint32_t director_fleet_voters(DirectorFleet *f);
uint64_t director_fleet_version(const DirectorCall *call);

#endif
