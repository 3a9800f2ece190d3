#include "core/consensus.h"

#include <string.h>

#include "core/consensus_internal.h"
#include "core/message.h"

/* Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, reads
 * confirmed by a round of heartbeats (ReadIndex), membership changes of one
 * member at a time that start as a learner, and leadership transfer.
 * Messages are sent only in consensus_flush, after all writes that they
 * depend on have been synced.
 *
 * While the storage has no room, the instance is suspended: it behaves like
 * one whose sync takes long and whose messages are lost meanwhile.  What it
 * has in memory, votes and entries included, stays as it is and is known to
 * nobody until the sync has succeeded. */

enum {
    kAppendEntriesMax = 256,
    kAppendBytesMax = 1 << 20, /* no further entry once this is reached */
    kSnapshotResendIntervalUs = 2000000,
    /* A larger append takes its receiver a while, so it is sent again only
     * after kLargeResendIntervalUs without a confirmation.  A smaller one is
     * sent again with the next heartbeat. */
    kLargeAppendBytes = 64 << 10,
    kLargeResendIntervalUs = 1000000,
    kFirstElectionDivisor = 3, /* of election_min_us; see consensus_start */
    kStorageRetryIntervalUs = 100000, /* between tries to write without room */
};

static void
outgoing_free(void *data)
{
    Outgoing *o = data;
    sw__consensus_message__free_unpacked(o->message, NULL);
    g_free(o->to);
    g_free(o);
}

/* Creates an instance, which is inactive until consensus_start.  Copies the
 * strings, the timing and the port. */
Consensus *
consensus_new(const char *id, const char *disk, const ConsensusTiming *timing,
              const ConsensusPort *port)
{
    Consensus *c = g_new0(Consensus, 1);
    c->id = g_strdup(id);
    c->disk = g_strdup(disk);
    c->timing = *timing;
    c->port = *port;
    c->entries = g_ptr_array_new_with_free_func(consensus_entry_free);
    c->members = g_ptr_array_new_with_free_func(consensus_member_free);
    c->snapshot_members =
        g_ptr_array_new_with_free_func(consensus_member_free);
    c->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->progress =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&c->outbox);
    return c;
}

/* Frees the instance; its persistent state remains in the storage. */
void
consensus_free(Consensus *c)
{
    g_queue_clear_full(&c->outbox, outgoing_free);
    g_hash_table_destroy(c->progress);
    g_hash_table_destroy(c->votes);
    g_ptr_array_unref(c->snapshot_members);
    g_ptr_array_unref(c->members);
    g_ptr_array_unref(c->entries);
    if (c->snapshot != NULL) {
        g_bytes_unref(c->snapshot);
    }
    g_free(c->transfer_to);
    g_free(c->leader);
    g_free(c->voted_for);
    g_free(c->disk);
    g_free(c->id);
    g_free(c);
}

/* ---- messages ---- */

/* Queues a copy of a message for the next flush.  Sets its sender, and its
 * term and receiver disk unless the caller has set them. */
static void
queue_message(Consensus *c, const char *to, Sw__ConsensusMessage *m)
{
    ConsensusMember *member = consensus_member_find(c, to);
    m->term = m->term == 0 ? c->term : m->term;
    m->from_disk = c->disk;
    if (m->to_disk == NULL || m->to_disk[0] == '\0') {
        m->to_disk = member == NULL ? (char *)"" : member->disk;
    }
    Outgoing *o = g_new(Outgoing, 1);
    *o = (Outgoing){g_strdup(to), message_copy(m)};
    g_queue_push_tail(&c->outbox, o);
}

static Sw__ConsensusMessage
message_init(Sw__ConsensusKind kind)
{
    Sw__ConsensusMessage m = SW__CONSENSUS_MESSAGE__INIT;
    m.kind = kind;
    return m;
}

/* ---- roles ---- */

/* Sets a new random election deadline. */
static void
election_reset(Consensus *c, uint64_t now_us)
{
    uint64_t spread = c->timing.election_max_us - c->timing.election_min_us;
    uint64_t extra = spread == 0 ? 0 : c->port.random(c->port.ctx) % spread;
    c->election_deadline_us = now_us + c->timing.election_min_us + extra;
}

/* Sets the known leader; NULL if none is known. */
static void
set_leader(Consensus *c, const char *id)
{
    if (g_strcmp0(c->leader, id) != 0) {
        g_free(c->leader);
        c->leader = g_strdup(id);
    }
}

/* Becomes a follower in a term that is not below the current one. */
static void
become_follower(Consensus *c, uint64_t now_us, uint64_t term)
{
    if (term > c->term) {
        c->term = term;
        g_clear_pointer(&c->voted_for, g_free);
        consensus_save_vote(c);
        set_leader(c, NULL);
    }
    if (c->role == kConsensusLeader) {
        set_leader(c, NULL);
    }
    c->role = kConsensusFollower;
    c->pre_voting = FALSE;
    g_clear_pointer(&c->transfer_to, g_free);
    g_hash_table_remove_all(c->progress);
    election_reset(c, now_us);
}

static void leader_start(Consensus *c, uint64_t now_us);

/* Requests votes, or pre-votes for the next term, from all other voters. */
static void
request_votes(Consensus *c, gboolean pre_vote)
{
    Sw__ConsensusMessage m =
        message_init(pre_vote ? SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE
                              : SW__CONSENSUS_KIND__CONSENSUS_VOTE);
    m.term = pre_vote ? c->term + 1 : c->term;
    m.prev_index = consensus_last_index(c);
    m.prev_term = consensus_log_last_term(c);
    /* Marks a leadership transfer: the receivers handle the request even
     * though they have seen the leader recently, as the leader itself started
     * this election. */
    m.granted = !pre_vote && c->transfer_to != NULL;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *v = g_ptr_array_index(c->members, i);
        if (v->voter && strcmp(v->id, c->id) != 0) {
            m.to_disk = NULL;
            queue_message(c, v->id, &m);
        }
    }
}

/* Starts an election in a new term. */
static void
campaign(Consensus *c, uint64_t now_us)
{
    c->role = kConsensusCandidate;
    c->pre_voting = FALSE;
    c->term++;
    c->elections++;
    g_free(c->voted_for);
    c->voted_for = g_strdup(c->id);
    consensus_save_vote(c);
    set_leader(c, NULL);
    g_hash_table_remove_all(c->votes);
    g_hash_table_add(c->votes, g_strdup(c->id));
    election_reset(c, now_us);
    request_votes(c, FALSE);
    if (consensus_majority(c) == 1) {
        leader_start(c, now_us);
    }
}

/* Starts a pre-vote, which finds out whether an election could succeed
 * without raising the term. */
static void
pre_campaign(Consensus *c, uint64_t now_us)
{
    c->role = kConsensusFollower;
    set_leader(c, NULL);
    c->pre_voting = TRUE;
    g_hash_table_remove_all(c->votes);
    g_hash_table_add(c->votes, g_strdup(c->id));
    election_reset(c, now_us);
    request_votes(c, TRUE);
    if (consensus_majority(c) == 1) {
        campaign(c, now_us);
    }
}

/* ---- leader ---- */

/* Adds the next entries for a member to an append message, up to the limits
 * of count and bytes.  Returns the size of their commands.  The caller frees
 * the entries of the message, but not their commands, which belong to the
 * log. */
static size_t
append_fill(Consensus *c, Progress *p, Sw__ConsensusMessage *m)
{
    size_t bytes = 0;
    uint64_t last = consensus_last_index(c);
    uint64_t count = last >= p->next_index ? last - p->next_index + 1 : 0;

    count = MIN(count, kAppendEntriesMax);
    m->entries = g_new0(Sw__LogEntry *, count + 1);
    for (uint64_t i = 0; i < count && bytes < kAppendBytesMax; i++) {
        ConsensusEntry *e = consensus_log_entry(c, p->next_index + i);
        Sw__LogEntry *wire = g_new(Sw__LogEntry, 1);
        sw__log_entry__init(wire);
        wire->index = e->index;
        wire->term = e->term;
        wire->command.data =
            (uint8_t *)g_bytes_get_data(e->command, &wire->command.len);
        bytes += wire->command.len;
        m->entries[m->n_entries++] = wire;
    }
    return bytes;
}

/* Tells whether entries were sent to a member so recently that its
 * confirmation is awaited.  Each heartbeat and each round of a read would
 * otherwise send them again: a member that is behind by some large entries
 * would get them faster than it can take them, and never catch up. */
static gboolean
entries_in_flight(const Consensus *c, const Progress *p, uint64_t now_us)
{
    uint64_t resend_us = p->sent_bytes > kLargeAppendBytes
                             ? (uint64_t)kLargeResendIntervalUs
                             : c->timing.heartbeat_us;

    return p->sent_index > p->match_index && now_us - p->sent_us < resend_us;
}

/* Queues an append with the next entries, or a heartbeat without any if there
 * are none or the last ones are not confirmed yet. */
static void
send_append(Consensus *c, uint64_t now_us, const char *to, Progress *p)
{
    Sw__ConsensusMessage m =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_APPEND);

    m.prev_index = p->next_index - 1;
    consensus_log_term(c, m.prev_index, &m.prev_term);
    m.commit_index = c->commit_index;
    m.round = c->round;
    if (!entries_in_flight(c, p, now_us)) {
        p->sent_bytes = append_fill(c, p, &m);
        p->sent_index = m.prev_index + m.n_entries;
        p->sent_us = now_us;
    }
    queue_message(c, to, &m);
    for (size_t i = 0; i < m.n_entries; i++) {
        g_free(m.entries[i]);
    }
    g_free(m.entries);
}

/* Queues the latest snapshot, unless one was sent within
 * kSnapshotResendIntervalUs and is not confirmed yet. */
static void
send_snapshot(Consensus *c, uint64_t now_us, const char *to, Progress *p)
{
    Sw__ConsensusMessage m =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT);

    if (p->snapshot_sent_us != 0 &&
        now_us - p->snapshot_sent_us < kSnapshotResendIntervalUs) {
        return;
    }
    p->snapshot_sent_us = now_us;
    p->snapshot_sent_index = c->snapshot_index;
    m.prev_index = c->snapshot_index;
    m.prev_term = c->snapshot_term;
    m.round = c->round;
    m.snapshot.data =
        (uint8_t *)g_bytes_get_data(c->snapshot, &m.snapshot.len);
    queue_message(c, to, &m);
}

/* Queues the next entries for a member, or the snapshot if the log no longer
 * has the entry before them, whose term the append must contain. */
static void
replicate_to(Consensus *c, uint64_t now_us, const char *to)
{
    Progress *p = consensus_progress_of(c, to);
    uint64_t ignored;

    if (!consensus_log_term(c, p->next_index - 1, &ignored) &&
        c->snapshot != NULL) {
        send_snapshot(c, now_us, to, p);
        return;
    }
    send_append(c, now_us, to, p);
}

/* Starts a round: queues an append or heartbeat with the number of the round
 * for every other member.  A majority of replies with this number proves that
 * this instance was still the leader when the round started. */
static void
broadcast(Consensus *c, uint64_t now_us)
{
    c->round++;
    c->next_heartbeat_us = now_us + c->timing.heartbeat_us;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (strcmp(m->id, c->id) != 0) {
            replicate_to(c, now_us, m->id);
        }
    }
    if (consensus_is_voter(c) && consensus_majority(c) == 1) {
        c->confirmed_round = c->round;
    }
}

/* Becomes the leader of the current term.  Appends an empty entry, since
 * older entries commit only together with one of this term. */
static void
leader_start(Consensus *c, uint64_t now_us)
{
    c->role = kConsensusLeader;
    set_leader(c, c->id);
    g_clear_pointer(&c->transfer_to, g_free);
    g_hash_table_remove_all(c->progress);
    consensus_progress_add_missing(c, now_us);
    c->confirmed_round = c->round;
    c->term_start_index = consensus_last_index(c) + 1;
    consensus_log_append(
        c, now_us,
        consensus_entry_new(c->term_start_index, c->term,
                            consensus_entry_pack(kEntryNoop, NULL, 0)));
    broadcast(c, now_us);
}

static int
compare_descending(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? 1 : x > y ? -1 : 0;
}

/* Selects one value of a member's replication state. */
typedef uint64_t (*ProgressValue)(const Consensus *c, const Progress *p);

static uint64_t
progress_match(const Consensus *c, const Progress *p)
{
    (void)c;
    return p->match_index;
}

static uint64_t
progress_round(const Consensus *c, const Progress *p)
{
    (void)c;
    return p->acked_round;
}

static uint64_t
progress_acked_us(const Consensus *c, const Progress *p)
{
    (void)c;
    return p->acked_us;
}

/* Returns the highest value that a majority of the voters has reached; own
 * is the value of this instance. */
static uint64_t
majority_value(Consensus *c, ProgressValue value, uint64_t own)
{
    uint64_t *values = g_new0(uint64_t, consensus_voter_count(c) + 1);
    uint32_t count = 0;

    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (!m->voter) {
            continue;
        }
        gboolean self = strcmp(m->id, c->id) == 0;
        values[count++] =
            self ? own : value(c, consensus_progress_of(c, m->id));
    }
    qsort(values, count, sizeof(values[0]), compare_descending);
    uint64_t reached = count == 0 ? 0 : values[consensus_majority(c) - 1];
    g_free(values);
    return reached;
}

/* Advances the commit index to the last entry that a majority has synced, if
 * that entry is of the current term.  An entry of an earlier term is committed
 * only together with one of the current term: a new leader could still replace
 * it although a majority has it. */
static void
advance_commit(Consensus *c)
{
    uint64_t synced = majority_value(c, progress_match, c->synced_index);
    uint64_t term = 0;

    if (synced > c->commit_index && consensus_log_term(c, synced, &term) &&
        term == c->term) {
        c->commit_index = synced;
    }
}

/* ---- storage without room ---- */

/* Sends the queued messages. */
static void
send_queued(Consensus *c)
{
    while (c->outbox.length > 0) {
        Outgoing *o = g_queue_pop_head(&c->outbox);
        c->port.send(c->port.ctx, o->to, o->message);
        outgoing_free(o);
    }
}

/* Returns the voter that is to lead next: of those that replied within the
 * minimum election timeout the one with the longest confirmed log, since a
 * voter whose storage has no room replies nothing.  NULL: there is none. */
static const char *
find_successor(Consensus *c, uint64_t now_us)
{
    const char *best = NULL;
    uint64_t best_match = 0;

    for (guint i = 0; i < c->members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(c->members, i);
        const Progress *p = consensus_progress_of(c, m->id);
        if (!m->voter || strcmp(m->id, c->id) == 0 || p == NULL ||
            now_us - p->acked_us > c->timing.election_min_us) {
            continue;
        }
        if (best == NULL || p->match_index > best_match) {
            best = m->id;
            best_match = p->match_index;
        }
    }
    return best;
}

/* Commands another voter to start an election.  The command does not depend on
 * this instance's log or vote, so it may be sent although the storage has no
 * room; the term in it must be durable, however. */
static void
hand_over(Consensus *c, uint64_t now_us)
{
    const char *to = find_successor(c, now_us);
    Sw__ConsensusMessage m =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_TIMEOUT_NOW);

    if (to != NULL && c->term <= c->saved_term) {
        queue_message(c, to, &m);
        send_queued(c);
    }
}

/* Stops taking part in the consensus until the storage has room: drops the
 * queued messages, which depend on what is not durable, and hands over the
 * leadership if this instance leads.  Until resume no message is handled
 * (consensus_receive) and no election started (consensus_tick), so nothing
 * more is written. */
static void
suspend(Consensus *c, uint64_t now_us)
{
    g_queue_clear_full(&c->outbox, outgoing_free);
    c->storage_retry_us = now_us + kStorageRetryIntervalUs;
    if (c->no_room) {
        return;
    }
    c->no_room = TRUE;
    c->suspensions++;
    if (c->role == kConsensusLeader) {
        hand_over(c, now_us);
    }
    become_follower(c, now_us, c->term);
}

/* Takes part again after all writes have become durable.  The leader is
 * forgotten: its term may be higher than the own one. */
static void
resume(Consensus *c, uint64_t now_us)
{
    c->no_room = FALSE;
    set_leader(c, NULL);
    election_reset(c, now_us);
}

/* Notes the leader that a message shows while this instance is suspended, so
 * that requests can be forwarded.  Nothing of the message is stored or
 * answered. */
static void
observe_leader(Consensus *c, uint64_t now_us, const char *from,
               const Sw__ConsensusMessage *m)
{
    if ((m->kind == SW__CONSENSUS_KIND__CONSENSUS_APPEND ||
         m->kind == SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT) &&
        m->term >= c->term) {
        set_leader(c, from);
        c->leader_last_seen_us = now_us;
    }
}

/* Handles the result of making the writes durable. */
static void
handle_storage_result(Consensus *c, uint64_t now_us, StorageResult result)
{
    if (result == kStorageNoRoom) {
        suspend(c, now_us);
        return;
    }
    consensus_fail_unless(c, result == kStorageOk);
    if (result == kStorageOk && c->no_room) {
        resume(c, now_us);
    }
}

/* Saves the latest snapshot, which is a leader's, with the log. */
static void
save_received_snapshot(Consensus *c, uint64_t now_us)
{
    StorageResult result = c->port.storage.save_snapshot(
        c->port.storage.ctx, c->snapshot_index, c->snapshot_term, c->snapshot,
        c->entries);

    c->snapshot_unsaved = result != kStorageOk;
    handle_storage_result(c, now_us, result);
}

/* ---- receiving ---- */

/* Returns whether a candidate's log is at least as complete as the log of
 * this instance. */
static gboolean
log_up_to_date(const Consensus *c, const Sw__ConsensusMessage *m)
{
    uint64_t own_term = consensus_log_last_term(c);
    if (m->prev_term != own_term) {
        return m->prev_term > own_term;
    }
    return m->prev_index >= consensus_last_index(c);
}

/* Returns whether this instance leads, or the leader sent a message within
 * the minimum election timeout. */
static gboolean
leader_recently_seen(const Consensus *c, uint64_t now_us)
{
    if (c->role == kConsensusLeader) {
        return TRUE;
    }
    return c->leader != NULL &&
           now_us - c->leader_last_seen_us < c->timing.election_min_us;
}

/* Handles a pre-vote request. */
static void
on_pre_vote(Consensus *c, uint64_t now_us, const char *from,
            const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY);
    reply.granted = m->term > c->term && log_up_to_date(c, m) &&
                    !leader_recently_seen(c, now_us);
    reply.term = reply.granted ? m->term : c->term;
    reply.to_disk = m->from_disk;
    queue_message(c, from, &reply);
}

/* Counts a pre-vote; starts the election once a majority granted it. */
static void
on_pre_vote_reply(Consensus *c, uint64_t now_us, const char *from,
                  const Sw__ConsensusMessage *m)
{
    if (!c->pre_voting || !m->granted || m->term != c->term + 1) {
        return;
    }
    g_hash_table_add(c->votes, g_strdup(from));
    if (g_hash_table_size(c->votes) >= consensus_majority(c)) {
        campaign(c, now_us);
    }
}

/* Handles a vote request; saves a vote that is granted. */
static void
on_vote(Consensus *c, uint64_t now_us, const char *from,
        const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_VOTE_REPLY);
    gboolean free_to_vote =
        c->voted_for == NULL || strcmp(c->voted_for, from) == 0;

    reply.granted = m->term == c->term && free_to_vote && log_up_to_date(c, m);
    if (reply.granted) {
        g_free(c->voted_for);
        c->voted_for = g_strdup(from);
        consensus_save_vote(c);
        election_reset(c, now_us);
    }
    reply.to_disk = m->from_disk;
    queue_message(c, from, &reply);
}

/* Counts a vote; becomes the leader once a majority granted it. */
static void
on_vote_reply(Consensus *c, uint64_t now_us, const char *from,
              const Sw__ConsensusMessage *m)
{
    if (c->role != kConsensusCandidate || !m->granted || m->term != c->term) {
        return;
    }
    g_hash_table_add(c->votes, g_strdup(from));
    if (g_hash_table_size(c->votes) >= consensus_majority(c)) {
        leader_start(c, now_us);
    }
}

/* Records a message of the leader of the current term. */
static void
follow_leader(Consensus *c, uint64_t now_us, const char *from)
{
    if (c->role != kConsensusFollower || c->pre_voting) {
        become_follower(c, now_us, c->term);
    }
    set_leader(c, from);
    c->leader_last_seen_us = now_us;
    election_reset(c, now_us);
}

/* Adds the leader's entries to the log.  An own entry of another term at the
 * same index is removed first, together with all entries after it. */
static void
merge_entries(Consensus *c, uint64_t now_us, const Sw__ConsensusMessage *m)
{
    for (size_t i = 0; i < m->n_entries; i++) {
        const Sw__LogEntry *wire = m->entries[i];
        uint64_t term;
        if (wire->index <= c->offset) {
            continue;
        }
        if (consensus_log_term(c, wire->index, &term)) {
            if (term == wire->term) {
                continue;
            }
            consensus_log_truncate(c, now_us, wire->index);
        }
        if (wire->index != consensus_last_index(c) + 1) {
            return;
        }
        consensus_log_append(
            c, now_us,
            consensus_entry_new(
                wire->index, wire->term,
                g_bytes_new(wire->command.data, wire->command.len)));
    }
}

/* Handles an append or heartbeat.  If the entry before the new ones does not
 * match, the reply is not granted, and the leader continues after the
 * match_index in the reply. */
static void
on_append(Consensus *c, uint64_t now_us, const char *from,
          const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY);
    uint64_t term;

    reply.to_disk = m->from_disk;
    reply.round = m->round;
    if (m->term < c->term) {
        queue_message(c, from, &reply);
        return;
    }
    follow_leader(c, now_us, from);
    gboolean matches =
        m->prev_index < c->offset ||
        (consensus_log_term(c, m->prev_index, &term) && term == m->prev_term);
    reply.granted = matches;
    if (!matches) {
        reply.match_index = MIN(consensus_last_index(c), m->prev_index - 1);
        queue_message(c, from, &reply);
        return;
    }
    merge_entries(c, now_us, m);
    reply.match_index = m->prev_index + m->n_entries;
    uint64_t committed = MIN(m->commit_index, reply.match_index);
    c->commit_index = MAX(c->commit_index, committed);
    queue_message(c, from, &reply);
}

/* Records what a member confirmed, and sends the entries that the member
 * lacks.  If leadership is being transferred to this member, commands it to
 * start an election once its log is complete. */
static void
on_append_reply(Consensus *c, uint64_t now_us, const char *from,
                const Sw__ConsensusMessage *m)
{
    Progress *p = consensus_progress_of(c, from);
    if (c->role != kConsensusLeader || p == NULL || m->term != c->term) {
        return;
    }
    p->acked_us = now_us;
    p->acked_round = MAX(p->acked_round, m->round);
    /* Replies to earlier rounds arrive while the snapshot is in transit. */
    if (m->granted && m->match_index >= p->snapshot_sent_index) {
        p->snapshot_sent_us = 0;
    }
    if (m->granted) {
        p->match_index = MAX(p->match_index, m->match_index);
        p->next_index = MAX(p->next_index, p->match_index + 1);
    }
    else if (!entries_in_flight(c, p, now_us) ||
             m->match_index + 1 < p->next_index) {
        p->next_index = MAX(p->match_index, m->match_index) + 1;
        p->sent_index = 0;
    }
    /* Else it answers a heartbeat that was sent before the entries in
     * flight. */
    c->confirmed_round =
        MAX(c->confirmed_round, majority_value(c, progress_round, c->round));
    if (c->requested_round > c->round && c->confirmed_round == c->round) {
        broadcast(c, now_us);
    }
    if ((!m->granted || p->next_index <= consensus_last_index(c)) &&
        !entries_in_flight(c, p, now_us)) {
        replicate_to(c, now_us, from);
    }
    consensus_promote_learner(c, now_us, from, p);
    if (c->transfer_to != NULL && strcmp(c->transfer_to, from) == 0 &&
        p->match_index == consensus_last_index(c)) {
        Sw__ConsensusMessage now =
            message_init(SW__CONSENSUS_KIND__CONSENSUS_TIMEOUT_NOW);
        queue_message(c, from, &now);
    }
}

/* Replaces the state machine and the log by a snapshot of the leader, unless
 * this instance has committed at least as much already. */
static void
on_snapshot(Consensus *c, uint64_t now_us, const char *from,
            const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY);
    reply.to_disk = m->from_disk;
    reply.round = m->round;
    if (m->term < c->term) {
        queue_message(c, from, &reply);
        return;
    }
    follow_leader(c, now_us, from);
    reply.granted = TRUE;
    reply.match_index = m->prev_index;
    if (m->prev_index <= c->commit_index) {
        reply.match_index = c->commit_index;
        queue_message(c, from, &reply);
        return;
    }
    GBytes *snapshot = g_bytes_new(m->snapshot.data, m->snapshot.len);
    GError *error = NULL;
    if (!consensus_snapshot_unpack(c, now_us, snapshot, &error)) {
        g_warning("invalid snapshot from %s: %s", from, error->message);
        g_error_free(error);
        g_bytes_unref(snapshot);
        return;
    }
    g_ptr_array_set_size(c->entries, 0);
    c->offset = m->prev_index;
    c->offset_term = m->prev_term;
    c->commit_index = m->prev_index;
    c->applied_index = m->prev_index;
    c->synced_index = m->prev_index;
    consensus_snapshot_set(c, snapshot, m->prev_index, m->prev_term);
    consensus_members_copy(c->snapshot_members, c->members);
    c->members_index = c->snapshot_members_index;
    c->port.members_changed(c->port.ctx, c->members);
    c->dirty = TRUE;
    g_bytes_unref(snapshot);
    queue_message(c, from, &reply);
    save_received_snapshot(c, now_us);
}

/* Returns whether a kind of message is dropped if its term is still higher
 * than the term of this instance, as may_raise_term did not accept it. */
static gboolean
requires_current_term(Sw__ConsensusKind kind)
{
    return kind == SW__CONSENSUS_KIND__CONSENSUS_VOTE ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_APPEND ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT;
}

/* Returns whether a message raises the term of this instance.  A vote request
 * does not if the leader was seen recently, unless the request is part of a
 * leadership transfer. */
static gboolean
may_raise_term(const Consensus *c, uint64_t now_us,
               const Sw__ConsensusMessage *m)
{
    if (m->term <= c->term ||
        m->kind == SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE) {
        return FALSE;
    }
    if (m->kind == SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY) {
        return !m->granted;
    }
    if (m->kind == SW__CONSENSUS_KIND__CONSENSUS_VOTE) {
        return m->granted || !leader_recently_seen(c, now_us);
    }
    return TRUE;
}

/* Returns whether a kind of message confirms something that the sender's disk
 * holds: a vote or entries. */
static gboolean
is_reply(Sw__ConsensusKind kind)
{
    return kind == SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_VOTE_REPLY ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT_REPLY;
}

/* Returns whether a message of this sender is handled.  A reply must come from
 * a member and from the disk that the member list has for it: a replaced disk
 * has lost the votes and entries that it confirmed.  Anybody may send
 * requests.  A leader and its voters may have a later member list than this
 * instance, which gets that list only by following the leader. */
static gboolean
sender_is_accepted(const Consensus *c, const char *from,
                   const Sw__ConsensusMessage *m)
{
    const ConsensusMember *member = consensus_member_find(c, from);

    return !is_reply(m->kind) ||
           (member != NULL && strcmp(member->disk, m->from_disk) == 0);
}

/* Counts a message that is dropped because of its sender. */
static void
count_sender_drop(Consensus *c, const char *from)
{
    if (consensus_member_find(c, from) == NULL) {
        c->drops.from_unknown++;
    }
    else {
        c->drops.from_other_disk++;
    }
}

/* Handles a message of another control instance.  Drops a message that is
 * addressed to another disk, and a reply of a disk that is not in the member
 * list. */
void
consensus_receive(Consensus *c, uint64_t now_us, const char *from,
                  const Sw__ConsensusMessage *m)
{
    if (c->failed) {
        return;
    }
    if (strcmp(m->to_disk, c->disk) != 0) {
        c->drops.to_other_disk++;
        return;
    }
    if (!sender_is_accepted(c, from, m)) {
        count_sender_drop(c, from);
        return;
    }
    if (c->no_room) {
        observe_leader(c, now_us, from, m);
        return;
    }
    if (may_raise_term(c, now_us, m)) {
        become_follower(c, now_us, m->term);
    }
    if (requires_current_term(m->kind) && m->term > c->term) {
        return;
    }
    switch (m->kind) {
    case SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE:
        on_pre_vote(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY:
        on_pre_vote_reply(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_VOTE:
        on_vote(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_VOTE_REPLY:
        on_vote_reply(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_APPEND:
        on_append(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY:
    case SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT_REPLY:
        on_append_reply(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT:
        on_snapshot(c, now_us, from, m);
        break;
    case SW__CONSENSUS_KIND__CONSENSUS_TIMEOUT_NOW:
        if (m->term == c->term && consensus_is_voter(c)) {
            /* Makes request_votes mark the requests as part of a transfer. */
            g_free(c->transfer_to);
            c->transfer_to = g_strdup(c->id);
            campaign(c, now_us);
        }
        break;
    default:
        break;
    }
}

/* ---- time and flush ---- */

/* Runs the timers: starts elections and heartbeats, and ends a leadership
 * transfer that timed out.  A leader without replies from a majority for
 * election_max_us steps down.  A learner starts no election; at its deadline
 * it only forgets the leader, and so does an instance without room. */
void
consensus_tick(Consensus *c, uint64_t now_us)
{
    if (c->failed) {
        return;
    }
    if (c->no_room) {
        if (now_us - c->leader_last_seen_us > c->timing.election_max_us) {
            set_leader(c, NULL);
        }
        return;
    }
    if (c->role == kConsensusLeader) {
        uint64_t acked_us = majority_value(c, progress_acked_us, now_us);
        if (now_us > acked_us &&
            now_us - acked_us > c->timing.election_max_us) {
            become_follower(c, now_us, c->term);
            return;
        }
        if (c->transfer_to != NULL && now_us >= c->transfer_deadline_us) {
            g_clear_pointer(&c->transfer_to, g_free);
        }
        if (now_us >= c->next_heartbeat_us) {
            broadcast(c, now_us);
        }
        return;
    }
    if (!consensus_is_voter(c)) {
        if (now_us >= c->election_deadline_us) {
            set_leader(c, NULL);
        }
        return;
    }
    if (now_us >= c->election_deadline_us) {
        g_clear_pointer(&c->transfer_to, g_free);
        pre_campaign(c, now_us);
    }
}

/* Makes all writes durable; without room it tries again only after
 * kStorageRetryIntervalUs. */
static void
sync_storage(Consensus *c, uint64_t now_us)
{
    if (c->no_room && now_us < c->storage_retry_us) {
        return;
    }
    if (c->snapshot_unsaved) {
        save_received_snapshot(c, now_us);
        return;
    }
    handle_storage_result(c, now_us,
                          c->port.storage.sync(c->port.storage.ctx));
}

/* Syncs the storage if anything was written.  Returns FALSE if the storage
 * has failed or has no room; the queued messages are then dropped. */
static gboolean
sync_if_dirty(Consensus *c, uint64_t now_us)
{
    if (c->dirty && !c->failed) {
        sync_storage(c, now_us);
    }
    if (c->no_room && !c->failed) {
        return FALSE;
    }
    if (c->failed) {
        g_queue_clear_full(&c->outbox, outgoing_free);
        c->role = kConsensusFollower;
        set_leader(c, NULL);
        return FALSE;
    }
    c->dirty = FALSE;
    c->synced_index = consensus_last_index(c);
    c->saved_term = c->term;
    return TRUE;
}

/* Ends a batch of events: syncs all their writes at once, sends the queued
 * messages, and applies the committed entries.  Must be called after each
 * batch, before waiting for the next one. */
void
consensus_flush(Consensus *c, uint64_t now_us)
{
    if (!sync_if_dirty(c, now_us)) {
        return;
    }
    if (c->role == kConsensusLeader) {
        advance_commit(c);
    }
    send_queued(c);
    consensus_log_apply(c, now_us);
    consensus_snapshot_if_needed(c, now_us);
    if (c->dirty) {
        sync_if_dirty(c, now_us);
    }
    /* A leader that was removed steps down once its removal is committed. */
    if (c->role == kConsensusLeader && !consensus_is_voter(c) &&
        c->members_index <= c->commit_index) {
        become_follower(c, now_us, c->term);
    }
}

/* ---- proposals, members, reads ---- */

/* Queues new entries for all members without an append in flight; the other
 * members get them after their next reply. */
void
consensus_replicate_idle(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        Progress *p = consensus_progress_of(c, m->id);
        if (strcmp(m->id, c->id) != 0 && p != NULL &&
            !entries_in_flight(c, p, now_us)) {
            replicate_to(c, now_us, m->id);
        }
    }
}

/* Appends a command to the leader's log.  Returns its index, or zero if this
 * instance does not lead, transfers its leadership, or has failed. */
uint64_t
consensus_propose(Consensus *c, uint64_t now_us, GBytes *command)
{
    size_t size;
    const void *data = g_bytes_get_data(command, &size);

    if (c->role != kConsensusLeader || c->failed || c->transfer_to != NULL) {
        return 0;
    }
    uint64_t index = consensus_last_index(c) + 1;
    consensus_log_append(
        c, now_us,
        consensus_entry_new(index, c->term,
                            consensus_entry_pack(kEntryCommand, data, size)));
    consensus_replicate_idle(c, now_us);
    return index;
}

/* Starts a transfer of the leadership to the voter with the longest confirmed
 * log.  Does nothing if this instance does not lead, or if there is no other
 * voter.  No command is accepted until the transfer ends or times out after
 * election_max_us. */
void
consensus_transfer(Consensus *c, uint64_t now_us)
{
    const char *best = NULL;
    uint64_t best_match = 0;

    if (c->role != kConsensusLeader || c->transfer_to != NULL) {
        return;
    }
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        Progress *p = consensus_progress_of(c, m->id);
        if (!m->voter || strcmp(m->id, c->id) == 0 || p == NULL) {
            continue;
        }
        if (best == NULL || p->match_index > best_match) {
            best = m->id;
            best_match = p->match_index;
        }
    }
    if (best != NULL) {
        c->transfer_to = g_strdup(best);
        c->transfer_deadline_us = now_us + c->timing.election_max_us;
        broadcast(c, now_us);
    }
}

/* Starts a linearizable read.  Returns the number of the round that must be
 * confirmed before the state may be read, or zero if this instance does not
 * lead or has not committed an entry of its term yet. */
uint64_t
consensus_read_begin(Consensus *c, uint64_t now_us)
{
    if (c->role != kConsensusLeader || c->commit_index < c->term_start_index) {
        return 0;
    }
    if (c->confirmed_round == c->round) {
        broadcast(c, now_us);
        return c->round;
    }
    /* The current round started before this read, so its confirmation says
     * nothing about the read; the next round does. */
    c->requested_round = c->round + 1;
    return c->requested_round;
}

/* Returns whether a majority confirmed the round of a read. */
gboolean
consensus_read_ready(const Consensus *c, uint64_t round)
{
    return c->role == kConsensusLeader && c->confirmed_round >= round;
}

/* Returns the current role. */
ConsensusRole
consensus_role(const Consensus *c)
{
    return c->role;
}

/* Returns the id of the leader, or NULL if none is known. */
const char *
consensus_leader(const Consensus *c)
{
    return c->leader;
}

/* Returns the current term. */
uint64_t
consensus_term(const Consensus *c)
{
    return c->term;
}

/* Returns the highest index known to be committed. */
uint64_t
consensus_commit_index(const Consensus *c)
{
    return c->commit_index;
}

/* Returns the number of elections that this instance has started. */
uint64_t
consensus_elections(const Consensus *c)
{
    return c->elections;
}

/* Returns how many messages were dropped, by reason; the instance owns it. */
const ConsensusDrops *
consensus_drops(const Consensus *c)
{
    return &c->drops;
}

/* Returns whether this instance has applied an entry of the current leader's
 * term.  Before that, such as after a restart, its state can lack changes that
 * were acknowledged, and even changes that it had applied before the
 * restart.  So can that of an instance whose storage has no room. */
gboolean
consensus_is_current(const Consensus *c)
{
    uint64_t term = 0;
    return c->leader != NULL && !c->no_room &&
           consensus_log_term(c, c->applied_index, &term) && term == c->term;
}

/* Returns whether the storage has failed; the instance then takes no further
 * part in the consensus. */
gboolean
consensus_failed(const Consensus *c)
{
    return c->failed;
}

/* Returns whether the storage has no room for what was written; the instance
 * takes no part in the consensus until it has. */
gboolean
consensus_no_room(const Consensus *c)
{
    return c->no_room;
}

/* Returns how often the storage had no room, each time until it had again. */
uint64_t
consensus_suspensions(const Consensus *c)
{
    return c->suspensions;
}

/* Returns the number of snapshots of the own state that were written. */
uint64_t
consensus_snapshots(const Consensus *c)
{
    return c->snapshots;
}

/* Returns the number of tries to write a snapshot that had no room. */
uint64_t
consensus_snapshots_postponed(const Consensus *c)
{
    return c->snapshots_postponed;
}

/* Starts from the saved state.  If the log is empty, the members of
 * bootstrap become the first voters; if bootstrap is NULL, the instance waits
 * until it is added as a learner.  Returns FALSE with kCoreErrorCorrupt if
 * the saved state is damaged. */
gboolean
consensus_start(Consensus *c, uint64_t now_us, const ConsensusSaved *saved,
                const GPtrArray *bootstrap, GError **error)
{
    if (!consensus_log_load(c, now_us, saved, error)) {
        return FALSE;
    }
    if (bootstrap != NULL && consensus_last_index(c) == 0) {
        consensus_log_append(
            c, now_us,
            consensus_entry_new(1, 0, consensus_members_entry(bootstrap)));
    }
    /* The first election starts earlier than later ones: if all instances
     * start together, there is no leader to wait for.  If there is a leader,
     * the pre-vote fails and nothing changes. */
    uint64_t min_us = c->timing.election_min_us / kFirstElectionDivisor;
    c->election_deadline_us =
        now_us + min_us + c->port.random(c->port.ctx) % (min_us + 1);
    return TRUE;
}
