#ifndef SAPPHIREWEIR_CORE_CONSENSUS_DEFS_H
#define SAPPHIREWEIR_CORE_CONSENSUS_DEFS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "port/storage.h"
#include "proto/sapphireweir.pb-c.h"

typedef enum {
    kConsensusFollower,
    kConsensusCandidate,
    kConsensusLeader,
} ConsensusRole;

/* A control instance as the replicated log knows it.  A learner receives
 * the log and counts toward no majority. */
typedef struct {
    char *id;
    char *disk; /* identity of its data folder */
    char *peer_address;
    char *failure_domain;
    gboolean voter;
} ConsensusMember;

typedef struct {
    uint64_t index;
    uint64_t term;
    GBytes *command;
} ConsensusEntry;

/* What survives a restart, as the storage hands it over. */
typedef struct {
    uint64_t term;
    char *voted_for;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    GBytes *snapshot;   /* NULL: none */
    GPtrArray *entries; /* of ConsensusEntry, by rising index */
} ConsensusSaved;

/* Network, storage and state machine of one consensus instance. */
typedef struct {
    void *ctx;
    void (*send)(void *ctx, const char *to, const Sw__ConsensusMessage *m);
    void (*apply)(void *ctx, uint64_t now_us, uint64_t index, uint64_t term,
                  GBytes *command);
    GBytes *(*dump)(void *ctx);
    gboolean (*restore)(void *ctx, uint64_t now_us, GBytes *state,
                        GError **error);
    uint64_t (*random)(void *ctx);
    void (*members_changed)(void *ctx, const GPtrArray *members);
    StoragePort storage;
} ConsensusPort;

typedef struct {
    uint64_t heartbeat_us;
    uint64_t election_min_us;
    uint64_t election_max_us;
    uint32_t snapshot_every;
} ConsensusTiming;

#endif
