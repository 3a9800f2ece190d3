#ifndef SAPPHIREWEIR_CORE_CONSENSUS_DEFS_H
#define SAPPHIREWEIR_CORE_CONSENSUS_DEFS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "port/storage.h"
#include "proto/sapphireweir.pb-c.h"

/* Role of an instance in the current term. */
typedef enum {
    kConsensusFollower,
    kConsensusCandidate,
    kConsensusLeader,
} ConsensusRole;

/* A control instance in the replicated member list.  A member that is not a
 * voter is a learner: it receives the log but counts toward no majority. */
typedef struct {
    char *id;
    char *disk; /* identity of its data folder */
    char *peer_address;
    char *failure_domain;
    gboolean voter;
} ConsensusMember;

/* An entry of the replicated log. */
typedef struct {
    uint64_t index;
    uint64_t term;
    GBytes *command; /* packed entry: an EntryKind byte, then the data */
} ConsensusEntry;

/* The persistent state, as the storage loads it when the process starts. */
typedef struct {
    uint64_t term;
    char *voted_for;         /* vote in this term; NULL or "": none */
    uint64_t snapshot_index; /* last log index that the snapshot includes */
    uint64_t snapshot_term;  /* term of that entry */
    GBytes *snapshot;        /* NULL: none */
    GPtrArray *entries;      /* of ConsensusEntry, by rising index */
} ConsensusSaved;

/* The functions through which a consensus instance uses its network,
 * storage and state machine.
 *
 * send             sends a message to a member; the caller keeps ownership.
 * apply            applies a committed command to the state machine.
 * dump             returns the contents of the state machine for a snapshot;
 *                  the caller owns the reference.
 * restore          replaces the contents of the state machine by such a dump;
 *                  returns FALSE and sets error if the dump is damaged.
 * random           returns a random number.
 * members_changed  reports a new list of ConsensusMember; the list is valid
 *                  during the call.
 * storage          saves the vote, the log and the snapshots. */
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

/* Messages of other instances that were dropped, by reason. */
typedef struct {
    uint64_t to_other_disk;   /* addressed to another disk of this instance */
    uint64_t from_other_disk; /* the member list has another disk for it */
    uint64_t from_unknown;    /* the sender is not in the member list */
} ConsensusDrops;

typedef struct {
    uint64_t heartbeat_us;    /* interval of a leader's heartbeats */
    uint64_t election_min_us; /* range of the random election timeout */
    uint64_t election_max_us;
    /* Number of applied entries between two snapshots. */
    uint32_t snapshot_interval_entries;
} ConsensusTiming;

#endif
