#ifndef SAPPHIREWEIR_CORE_CONTROL_CORE_H
#define SAPPHIREWEIR_CORE_CONTROL_CORE_H

#include "core/consensus_defs.h"
#include "core/metrics.h"
#include "core/state.h"
#include "port/control.h"

/* The whole decision logic of a control instance.  A driver hands it the
 * time and events and carries out what it asks through its ControlPort;
 * docs/design/core.md tells how.  Nothing in it reads a clock, does I/O or
 * draws random numbers of its own. */
typedef struct ControlCore ControlCore;

typedef struct {
    const char *id;
    const char *disk; /* identity of the data folder */
    const char *cluster;
    const char *failure_domain;
    ConsensusTiming timing;
    uint64_t lease_us;            /* control lease of entry instances */
    uint64_t announce_silence_us; /* a backend server counts as missing */
    uint64_t suspect_us;          /* a primary is unreachable this long */
    int64_t wall_offset_us;       /* wall clock minus now, for the audit */
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
void control_core_flush(ControlCore *k, uint64_t now_us);
void control_core_stop(ControlCore *k, uint64_t now_us);

gboolean control_core_failed(const ControlCore *k);
gboolean control_core_leads(const ControlCore *k);
uint64_t control_core_term(const ControlCore *k);
uint32_t control_core_voter_count(const ControlCore *k);
const char *control_core_leader(const ControlCore *k);
uint64_t control_core_commit_index(const ControlCore *k);
State *control_core_state(ControlCore *k);
Metrics *control_core_metrics(ControlCore *k);

#endif
