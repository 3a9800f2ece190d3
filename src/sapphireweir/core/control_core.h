#ifndef SAPPHIREWEIR_CORE_CONTROL_CORE_H
#define SAPPHIREWEIR_CORE_CONTROL_CORE_H

#include "core/consensus_defs.h"
#include "core/metrics.h"
#include "core/state.h"
#include "port/control.h"

/* The decision logic of a control instance.  A driver passes in the time and
 * all events, and performs the I/O that this module requests through its
 * ControlPort; see docs/design/core.md.  The module itself reads no clock,
 * does no I/O and creates no random numbers, so that tests can repeat a run
 * exactly. */
typedef struct ControlCore ControlCore;

typedef struct {
    const char *id;
    const char *disk; /* identity of the data folder */
    const char *cluster;
    const char *failure_domain;
    ConsensusTiming timing;
    /* Duration of the control lease of an entry instance. */
    uint64_t lease_us;
    /* A backend server without an announcement for longer is marked as
     * missing. */
    uint64_t announcement_timeout_us;
    /* A member that has been failing for this long counts toward the
     * suspicion of the primary. */
    uint64_t suspect_after_us;
    /* Wall clock minus now_us, in microseconds, for the timestamps of the
     * audit trail. */
    int64_t wall_offset_us;
} ControlConfig;

ControlCore *control_core_new(const ControlConfig *config,
                              const ControlPort *port);
void control_core_free(ControlCore *k);
gboolean control_core_start(ControlCore *k, uint64_t now_us,
                            const ConsensusSaved *saved,
                            const GPtrArray *bootstrap, GError **error);

void control_core_frame(ControlCore *k, uint64_t now_us, const char *from,
                        const Sw__Frame *frame);
void control_core_tick(ControlCore *k, uint64_t now_us);
void control_core_set_clients(ControlCore *k,
                              const Sw__ClientPressure *clients);
void control_core_flush(ControlCore *k, uint64_t now_us);
void control_core_stop(ControlCore *k, uint64_t now_us);

gboolean control_core_failed(const ControlCore *k);
gboolean control_core_no_room(const ControlCore *k);
gboolean control_core_leads(const ControlCore *k);
uint64_t control_core_term(const ControlCore *k);
uint32_t control_core_voter_count(const ControlCore *k);
const char *control_core_leader(const ControlCore *k);
uint64_t control_core_commit_index(const ControlCore *k);
State *control_core_state(ControlCore *k);
Metrics *control_core_metrics(ControlCore *k);

#endif
