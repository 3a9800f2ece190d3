#ifndef SAPPHIREWEIR_POLICY_EVACUATION_H
#define SAPPHIREWEIR_POLICY_EVACUATION_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Decides what work may use the backend servers of an evacuated failure
 * domain, and how loaded the servers of the other domains will be. */

/* The times of one evacuation at an instance. */
typedef struct {
    uint64_t serve_until_us; /* new work may start at primaries before */
    uint64_t end_us;         /* then all work there ends */
} EvacuationTimes;

/* A backend server of a database. */
typedef struct {
    uint32_t slots;      /* statements that it runs at the same time */
    uint64_t busy_milli; /* mean statements in progress, in thousandths */
    gboolean leaving;    /* it is in an evacuated domain */
} EvacuationServer;

EvacuationTimes evacuation_times(uint64_t now_us, uint64_t age_us,
                                 uint64_t limit_us);
gboolean evacuation_allows(const EvacuationTimes *times, uint64_t now_us,
                           gboolean primary);
enum { kEvacuationNoServer = -1 };

int evacuation_pick(const EvacuationServer *servers, size_t count,
                    uint64_t random);
uint32_t evacuation_load_permille(const EvacuationServer *servers,
                                  size_t count);

#endif
