#ifndef SAPPHIREWEIR_TEST_SYSTEM_H
#define SAPPHIREWEIR_TEST_SYSTEM_H

#include "adapter/trace.h"
#include "control_fleet.h"
#include "core/entry_core.h"
#include "fake_group.h"

/* A complete system in one process and in virtual time: control cores, entry
 * cores and simulated database groups.  The cores are driven only through
 * their public functions and ports.  Times are in microseconds. */

enum {
    kSystemEntriesMax = 64,
    kSystemGroupsMax = 128,
};

typedef struct System System;

typedef struct {
    System *system;
    uint32_t index;
    char *id;
    char *domain;
    char last_team[64];            /* that its core reported; "-": none */
    EntryCore *core;               /* NULL: not running */
    uint64_t incarnation;          /* number of starts */
    gboolean partitioned;          /* nothing passes in or out */
    gboolean drops_control_frames; /* all frames of control instances */
    gboolean drops_state_updates;  /* state updates of control instances */
    GHashTable *connections;       /* id -> connection to a FakeMember */
    Trace *trace; /* of this incarnation; NULL: not recorded */
} SystemEntry;

/* The answer that a caller received. */
typedef struct {
    uint32_t status;
    char *body;
    char *session_token;
    uint64_t answered_us;
} SystemAnswer;

struct System {
    ControlFleet *control;
    SystemEntry entries[kSystemEntriesMax];
    uint32_t entry_count;
    FakeGroup *groups[kSystemGroupsMax];
    uint32_t group_count;
    GSequence *events;   /* scheduled ones, by time */
    uint64_t delay_us;   /* of a frame to an entry instance */
    uint64_t jitter_us;  /* random extra delay, less than this */
    uint64_t service_us; /* of a query, from sending to its execution */
    GHashTable *answers; /* request id -> SystemAnswer */
    uint64_t last_request_id;
    uint8_t secret[kEntrySecretBytes];
    EntryControl controls[kFleetNodesMax];
    gboolean announcements_paused; /* of all members */
    /* File in which the next entry instance that starts records a trace; NULL:
     * none. */
    const char *trace_path;
};

System *system_new(uint32_t entries, uint32_t groups, uint32_t seed);
void system_free(System *s);
void system_run(System *s, uint64_t us);
void system_entry_start(System *s, uint32_t entry);
void system_entry_crash(System *s, uint32_t entry);
void system_apply(System *s, const char *changes);
uint64_t system_call(System *s, uint32_t entry, const char *path,
                     const char *key, const char *idempotency_key,
                     const char *session_token, const char *body);
const SystemAnswer *system_answer(System *s, uint64_t request);
void system_add_team(System *s, const char *team, uint32_t rate,
                     uint32_t burst, const char *key);
void system_withdraw_key(System *s, const char *team, const char *key);
uint64_t system_now(const System *s);

#endif
