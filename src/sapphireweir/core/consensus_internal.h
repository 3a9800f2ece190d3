#ifndef SAPPHIREWEIR_CORE_CONSENSUS_INTERNAL_H
#define SAPPHIREWEIR_CORE_CONSENSUS_INTERNAL_H

#include <jansson.h>

#include "core/consensus.h"

/* Internal to the consensus: shared by consensus.c, consensus_log.c and
 * consensus_members.c. */

/* First byte of a log entry: what the rest is. */
typedef enum {
    kEntryNoop = 'N',
    kEntryCommand = 'D',
    kEntryMembers = 'M',
} EntryKind;

/* The leader's view of one member. */
typedef struct {
    uint64_t next_index;
    uint64_t match_index;
    uint64_t acked_round;
    uint64_t acked_us;
    uint64_t snapshot_sent_us;
    gboolean waiting; /* an append with entries is under way */
} Progress;

typedef struct {
    char *to;
    Sw__ConsensusMessage *message;
} Outgoing;

struct Consensus {
    char *id;
    char *disk;
    ConsensusTiming timing;
    ConsensusPort port;

    uint64_t term;
    char *voted_for;
    ConsensusRole role;
    char *leader;
    gboolean pre_voting;
    gboolean failed;
    gboolean dirty; /* something written is not yet synced */

    GPtrArray *entries;    /* ConsensusEntry after offset */
    uint64_t offset;       /* index before the first kept entry */
    uint64_t offset_term;  /* its term */
    uint64_t synced_index; /* own entries up to here are durable */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    GBytes *snapshot;

    GPtrArray *members; /* ConsensusMember in force */
    uint64_t members_index;
    GPtrArray *snapshot_members;
    uint64_t snapshot_members_index;

    uint64_t election_due_us;
    uint64_t leader_heard_us;
    uint64_t heartbeat_due_us;
    GHashTable *votes;    /* ids that granted, this ballot */
    GHashTable *progress; /* id -> Progress, leader only */
    uint64_t round;
    uint64_t confirmed_round;
    uint64_t wanted_round; /* a read waits for a round not yet begun */
    uint64_t transfer_due_us;
    uint64_t term_start_index;
    char *transfer_to;
    uint64_t elections;

    GQueue outbox; /* Outgoing */
};

/* consensus_log.c */
ConsensusEntry *consensus_log_entry(const Consensus *c, uint64_t index);
gboolean consensus_log_term(const Consensus *c, uint64_t index,
                            uint64_t *term);
uint64_t consensus_log_last_term(const Consensus *c);
EntryKind consensus_entry_kind(const ConsensusEntry *e);
GBytes *consensus_entry_pack(EntryKind kind, const void *data, size_t size);
void consensus_fail_if(Consensus *c, gboolean ok);
void consensus_save_vote(Consensus *c);
void consensus_log_append(Consensus *c, uint64_t now_us, ConsensusEntry *e);
void consensus_log_truncate(Consensus *c, uint64_t now_us,
                            uint64_t from_index);
gboolean consensus_snapshot_unpack(Consensus *c, uint64_t now_us,
                                   GBytes *snapshot, GError **error);
void consensus_snapshot_adopt(Consensus *c, GBytes *snapshot, uint64_t index,
                              uint64_t term);
void consensus_log_apply(Consensus *c, uint64_t now_us);
void consensus_snapshot_when_due(Consensus *c);
gboolean consensus_log_load(Consensus *c, uint64_t now_us,
                            const ConsensusSaved *saved, GError **error);

/* consensus_members.c */
ConsensusMember *consensus_member_find(const Consensus *c, const char *id);
gboolean consensus_self_votes(const Consensus *c);
uint32_t consensus_majority(const Consensus *c);
json_t *consensus_members_to_json(const GPtrArray *members);
void consensus_members_from_json(const json_t *list, GPtrArray *out);
void consensus_members_copy(const GPtrArray *from, GPtrArray *to);
GBytes *consensus_members_entry(const GPtrArray *members);
Progress *consensus_progress_of(Consensus *c, const char *id);
void consensus_progress_refresh(Consensus *c, uint64_t now_us);
void consensus_members_take_effect(Consensus *c, uint64_t now_us,
                                   const ConsensusEntry *e);
void consensus_members_recompute(Consensus *c, uint64_t now_us);
void consensus_promote_caught_up(Consensus *c, uint64_t now_us,
                                 const char *from, const Progress *p);

/* consensus.c */
void consensus_replicate_idle(Consensus *c, uint64_t now_us);

#endif
