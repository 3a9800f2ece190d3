#ifndef SAPPHIREWEIR_CORE_ENTRY_CORE_H
#define SAPPHIREWEIR_CORE_ENTRY_CORE_H

#include <glib.h>
#include <stdint.h>

#include "core/metrics.h"
#include "port/entry.h"

/* The decision logic of an entry instance, the process that callers send
 * their requests to.  A driver passes in the time and all events, and does
 * the I/O that the core requests through its EntryPort; see
 * docs/design/core.md.  The core itself reads no clock, does no I/O and
 * generates no random numbers.
 *
 * now_us is a monotonic time in microseconds in all functions. */
typedef struct EntryCore EntryCore;

enum { kEntrySecretBytes = 32 };

/* A control instance.  An entry instance follows one of them at a time: it
 * gets its control lease and the replicated state from that one. */
typedef struct {
    const char *id;
    const char *failure_domain;
} EntryControl;

/* The configuration of an entry instance. */
typedef struct {
    const char *id;
    const char *failure_domain;
    const char *peer_address; /* reported to control for other instances */
    const char *http_address; /* reported to control */
    uint64_t incarnation;     /* random, chosen at each process start */
    const EntryControl *controls;
    size_t control_count;
    uint8_t secret[kEntrySecretBytes]; /* shared by the cluster */
    const char *operator_token; /* NULL: refuses all operator requests */
    const char *platform_key;   /* NULL: refuses all announcements */
    int64_t wall_offset_us;     /* wall clock minus now_us */
    gboolean read_replicas;     /* FALSE: all reads go to the primary */
    /* Microseconds of waiting that a kilobyte between failure domains is
     * worth; zero: only times decide. */
    uint64_t cross_domain_us_per_kb;
    /* Baselines for performance comparisons only. */
    gboolean per_instance_pools; /* no shared pools: each instance connects to
                                  * every member itself */
    gboolean per_instance_rates; /* no shared rates: each instance enforces an
                                  * equal part of a team's rate */
} EntryConfig;

/* The status of an entry instance, as entry_core_status returns it. */
typedef struct {
    gboolean lease_valid;
    gboolean draining;
    gboolean idle; /* no request, job or transaction is open */
    uint64_t applied_index;
    uint32_t requests_open;
} EntryStatus;

EntryCore *entry_core_new(const EntryConfig *config, const EntryPort *port,
                          uint64_t now_us);
void entry_core_free(EntryCore *e);

void entry_core_request(EntryCore *e, uint64_t now_us,
                        const CallerRequest *request);
void entry_core_abandon(EntryCore *e, uint64_t now_us, uint64_t request_id);
void entry_core_frame(EntryCore *e, uint64_t now_us, const char *from,
                      const Sw__Frame *frame);
void entry_core_peer_down(EntryCore *e, uint64_t now_us, const char *peer);
void entry_core_backend_connected(EntryCore *e, uint64_t now_us,
                                  uint64_t connection, gboolean ok);
void entry_core_backend_result(EntryCore *e, uint64_t now_us,
                               uint64_t connection,
                               const BackendResult *result);
void entry_core_tick(EntryCore *e, uint64_t now_us);
void entry_core_drain(EntryCore *e, uint64_t now_us);
void entry_core_leave(EntryCore *e, uint64_t now_us);

void entry_core_set_clients(EntryCore *e, const Sw__ClientPressure *clients);
EntryStatus entry_core_status(const EntryCore *e, uint64_t now_us);
gboolean entry_core_has_left(const EntryCore *e);
Metrics *entry_core_metrics(EntryCore *e);
void entry_key_hash(const uint8_t *secret, const char *key, uint8_t *hash);

#endif
