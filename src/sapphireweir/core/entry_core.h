#ifndef SAPPHIREWEIR_CORE_ENTRY_CORE_H
#define SAPPHIREWEIR_CORE_ENTRY_CORE_H

#include <glib.h>
#include <stdint.h>

#include "core/metrics.h"
#include "port/entry.h"

/* The whole decision logic of an entry instance.  A driver hands it the
 * time and events and carries out what it asks through its EntryPort;
 * docs/design/core.md tells how.  Nothing in it reads a clock, does I/O or
 * draws random numbers of its own. */
typedef struct EntryCore EntryCore;

enum { kEntrySecretBytes = 32 };

/* A control instance an entry instance may follow. */
typedef struct {
    const char *id;
    const char *failure_domain;
} EntryControl;

typedef struct {
    const char *id;
    const char *failure_domain;
    const char *peer_address;
    const char *http_address;
    uint64_t incarnation;
    const EntryControl *controls;
    size_t control_count;
    uint8_t secret[kEntrySecretBytes]; /* of the cluster */
    const char *operator_token;        /* NULL: no operators' interface */
    const char *platform_key;          /* NULL: no announcements */
    int64_t wall_offset_us;            /* wall clock minus now */
    gboolean read_replicas;            /* FALSE: all reads go to the primary */
    gboolean own_pools;   /* comparison: every instance has its pools */
    gboolean equal_rates; /* comparison: rates split equally, no sharing */
} EntryConfig;

typedef struct {
    gboolean lease_valid;
    gboolean draining;
    gboolean idle; /* no request, work or transaction under way */
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

EntryStatus entry_core_status(const EntryCore *e, uint64_t now_us);
gboolean entry_core_has_left(const EntryCore *e);
Metrics *entry_core_metrics(EntryCore *e);
void entry_key_hash(const uint8_t *secret, const char *key, uint8_t *hash);

#endif
