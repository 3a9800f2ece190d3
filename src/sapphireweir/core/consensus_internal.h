#ifndef SAPPHIREWEIR_CORE_CONSENSUS_INTERNAL_H
#define SAPPHIREWEIR_CORE_CONSENSUS_INTERNAL_H

#include <jansson.h>

#include "core/consensus.h"

/* Private to the consensus module: shared by consensus.c, consensus_log.c
 * and consensus_members.c. */

/* The first byte of a packed log entry: the type of the data after it.  The
 * values are stored and sent, so they must not change. */
typedef enum {
    kEntryNoop = 'N',    /* empty; a leader's first entry of its term */
    kEntryCommand = 'D', /* command of the state machine */
    kEntryMembers = 'M', /* member list, as JSON */
} EntryKind;

/* The leader's replication state of one member. */
typedef struct {
    uint64_t next_index;  /* next entry to send */
    uint64_t match_index; /* last entry that the member confirmed */
    uint64_t acked_round; /* latest round that the member confirmed */
    uint64_t acked_us;    /* time of its last reply */
    /* The last snapshot that was sent: its index and when, zero: none, or it
     * was confirmed. */
    uint64_t snapshot_sent_index;
    uint64_t snapshot_sent_us;
    /* The last append with entries: index of its last entry, size of their
     * commands, and when it was sent. */
    uint64_t sent_index;
    size_t sent_bytes;
    uint64_t sent_us;
} Progress;

/* A message that waits for the next flush. */
typedef struct {
    char *to;
    Sw__ConsensusMessage *message;
} Outgoing;

struct Consensus {
    char *id;
    char *disk;
    ConsensusTiming timing;
    gboolean odd_voters; /* see consensus_keep_odd_voters */
    ConsensusPort port;

    uint64_t term;
    char *voted_for;
    ConsensusRole role;
    char *leader;        /* NULL: none known */
    gboolean pre_voting; /* collecting the votes before an election */
    gboolean failed;     /* storage failed; the instance does nothing more */
    gboolean dirty;      /* storage has writes that are not synced */
    uint64_t saved_term; /* the term is durable up to this one */

    /* The storage has no room for what was written.  Until it has, this
     * instance sends no messages and handles none; see suspend. */
    gboolean no_room;
    gboolean snapshot_unsaved;    /* the latest snapshot is a leader's and is
                                   * not durable */
    uint64_t storage_retry_us;    /* when to try again to write */
    uint64_t snapshot_retry_us;   /* when to try again to write a snapshot */
    uint64_t suspensions;         /* how often there was no room */
    uint64_t snapshots;           /* own snapshots written */
    uint64_t snapshots_postponed; /* own snapshots without room */

    GPtrArray *entries;    /* ConsensusEntry, from offset + 1 on */
    uint64_t offset;       /* index of the last discarded entry */
    uint64_t offset_term;  /* term of that entry */
    uint64_t synced_index; /* own entries up to this one are durable */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    GBytes *snapshot;
    size_t bytes_after_snapshot; /* size of the entries applied since it */

    GPtrArray *members;              /* ConsensusMember, current list */
    uint64_t members_index;          /* log index of that list */
    GPtrArray *snapshot_members;     /* list at the latest snapshot */
    uint64_t snapshot_members_index; /* log index of that list */

    uint64_t election_deadline_us;
    uint64_t leader_last_seen_us;
    uint64_t next_heartbeat_us;
    GHashTable *votes;        /* ids that granted the vote or pre-vote */
    GHashTable *progress;     /* id -> Progress, leader only */
    uint64_t round;           /* number of the last broadcast */
    uint64_t confirmed_round; /* latest round that a majority confirmed */
    uint64_t requested_round; /* next round, if a read waits for it */
    uint64_t transfer_deadline_us;
    uint64_t term_start_index; /* a leader's first entry of its term */
    /* Leadership transfer: on the leader, the voter that is to take over; on
     * that voter, its own id during its election; otherwise NULL. */
    char *transfer_to;
    uint64_t elections; /* elections started, for the metrics */
    ConsensusDrops drops;

    GQueue outbox; /* Outgoing, owned */
};

/* consensus_log.c */
ConsensusEntry *consensus_log_entry(const Consensus *c, uint64_t index);
gboolean consensus_log_term(const Consensus *c, uint64_t index,
                            uint64_t *term);
uint64_t consensus_log_last_term(const Consensus *c);
EntryKind consensus_entry_kind(const ConsensusEntry *e);
GBytes *consensus_entry_pack(EntryKind kind, const void *data, size_t size);
void consensus_fail_unless(Consensus *c, gboolean ok);
void consensus_save_vote(Consensus *c);
void consensus_log_append(Consensus *c, uint64_t now_us, ConsensusEntry *e);
void consensus_log_truncate(Consensus *c, uint64_t now_us,
                            uint64_t from_index);
gboolean consensus_snapshot_unpack(Consensus *c, uint64_t now_us,
                                   GBytes *snapshot, GError **error);
void consensus_snapshot_set(Consensus *c, GBytes *snapshot, uint64_t index,
                            uint64_t term);
void consensus_log_apply(Consensus *c, uint64_t now_us);
void consensus_snapshot_if_needed(Consensus *c, uint64_t now_us);
gboolean consensus_log_load(Consensus *c, uint64_t now_us,
                            const ConsensusSaved *saved, GError **error);

/* consensus_members.c */
ConsensusMember *consensus_member_find(const Consensus *c, const char *id);
uint32_t consensus_majority(const Consensus *c);
json_t *consensus_members_to_json(const GPtrArray *members);
void consensus_members_from_json(const json_t *list, GPtrArray *out);
void consensus_members_copy(const GPtrArray *from, GPtrArray *to);
GBytes *consensus_members_entry(const GPtrArray *members);
Progress *consensus_progress_of(Consensus *c, const char *id);
void consensus_progress_add_missing(Consensus *c, uint64_t now_us);
void consensus_members_apply(Consensus *c, uint64_t now_us,
                             const ConsensusEntry *e);
uint64_t consensus_members_at(const Consensus *c, uint64_t index,
                              GPtrArray *out);
void consensus_members_recompute(Consensus *c, uint64_t now_us);
void consensus_promote_learner(Consensus *c, uint64_t now_us, const char *from,
                               const Progress *p);

/* consensus.c */
void consensus_replicate_idle(Consensus *c, uint64_t now_us);

#endif
