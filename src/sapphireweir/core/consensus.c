#include "core/consensus.h"

#include <string.h>

#include "core/consensus_internal.h"
#include "core/message.h"

/* Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, reads
 * confirmed by a round of the leader, one-at-a-time membership changes
 * through a learner, and leadership transfer.  Messages leave only in
 * consensus_flush, after everything they depend on was synced. */

enum {
    kAppendEntriesMax = 256,
    kAppendBytesMax = 1 << 20,
    kSnapshotResendUs = 2000000,
    kFirstElectionParts = 3, /* of the least election timeout */
};

static void
outgoing_free(void *data)
{
    Outgoing *o = data;
    sw__consensus_message__free_unpacked(o->message, NULL);
    g_free(o->to);
    g_free(o);
}

/* Makes an instance that does nothing before consensus_start. */
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

/* Frees the instance; what it saved stays. */
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

/* Queues a message for the next flush. */
static void
send_later(Consensus *c, const char *to, Sw__ConsensusMessage *m)
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

static void
election_reset(Consensus *c, uint64_t now_us)
{
    uint64_t spread = c->timing.election_max_us - c->timing.election_min_us;
    uint64_t extra = spread == 0 ? 0 : c->port.random(c->port.ctx) % spread;
    c->election_due_us = now_us + c->timing.election_min_us + extra;
}

static void
set_leader(Consensus *c, const char *id)
{
    if (g_strcmp0(c->leader, id) != 0) {
        g_free(c->leader);
        c->leader = g_strdup(id);
    }
}

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

static void
request_votes(Consensus *c, gboolean pre_vote)
{
    Sw__ConsensusMessage m =
        message_init(pre_vote ? SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE
                              : SW__CONSENSUS_KIND__CONSENSUS_VOTE);
    m.term = pre_vote ? c->term + 1 : c->term;
    m.prev_index = consensus_last_index(c);
    m.prev_term = consensus_log_last_term(c);
    /* A vote after a transfer may pass over a leader that still lives. */
    m.granted = !pre_vote && c->transfer_to != NULL;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *v = g_ptr_array_index(c->members, i);
        if (v->voter && strcmp(v->id, c->id) != 0) {
            m.to_disk = NULL;
            send_later(c, v->id, &m);
        }
    }
}

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

static void
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
}

static void
send_append(Consensus *c, const char *to, Progress *p)
{
    Sw__ConsensusMessage m =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_APPEND);

    m.prev_index = p->next_index - 1;
    consensus_log_term(c, m.prev_index, &m.prev_term);
    m.commit_index = c->commit_index;
    m.round = c->round;
    append_fill(c, p, &m);
    p->waiting = m.n_entries > 0;
    send_later(c, to, &m);
    for (size_t i = 0; i < m.n_entries; i++) {
        g_free(m.entries[i]);
    }
    g_free(m.entries);
}

static void
send_snapshot(Consensus *c, uint64_t now_us, const char *to, Progress *p)
{
    Sw__ConsensusMessage m =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT);

    if (p->snapshot_sent_us != 0 &&
        now_us - p->snapshot_sent_us < kSnapshotResendUs) {
        return;
    }
    p->snapshot_sent_us = now_us;
    m.prev_index = c->snapshot_index;
    m.prev_term = c->snapshot_term;
    m.round = c->round;
    m.snapshot.data =
        (uint8_t *)g_bytes_get_data(c->snapshot, &m.snapshot.len);
    send_later(c, to, &m);
}

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
    send_append(c, to, p);
}

/* Starts a round: every member gets an append or heartbeat with its
 * number; once a majority echoed it, the leader was leader when the round
 * began. */
static void
broadcast(Consensus *c, uint64_t now_us)
{
    c->round++;
    c->heartbeat_due_us = now_us + c->timing.heartbeat_us;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (strcmp(m->id, c->id) != 0) {
            replicate_to(c, now_us, m->id);
        }
    }
    if (consensus_self_votes(c) && consensus_majority(c) == 1) {
        c->confirmed_round = c->round;
    }
}

static void
leader_start(Consensus *c, uint64_t now_us)
{
    c->role = kConsensusLeader;
    set_leader(c, c->id);
    g_clear_pointer(&c->transfer_to, g_free);
    g_hash_table_remove_all(c->progress);
    consensus_progress_refresh(c, now_us);
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
progress_heard(const Consensus *c, const Progress *p)
{
    (void)c;
    return p->acked_us;
}

/* Returns the highest value that a majority of the voters has reached. */
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

/* Commits what a majority holds durably; only entries of the own term
 * commit by count. */
static void
advance_commit(Consensus *c)
{
    uint64_t held = majority_value(c, progress_match, c->synced_index);
    uint64_t term = 0;

    if (held > c->commit_index && consensus_log_term(c, held, &term) &&
        term == c->term) {
        c->commit_index = held;
    }
}

/* ---- receiving ---- */

static gboolean
log_up_to_date(const Consensus *c, const Sw__ConsensusMessage *m)
{
    uint64_t own_term = consensus_log_last_term(c);
    if (m->prev_term != own_term) {
        return m->prev_term > own_term;
    }
    return m->prev_index >= consensus_last_index(c);
}

static gboolean
leader_is_fresh(const Consensus *c, uint64_t now_us)
{
    if (c->role == kConsensusLeader) {
        return TRUE;
    }
    return c->leader != NULL &&
           now_us - c->leader_heard_us < c->timing.election_min_us;
}

static void
on_pre_vote(Consensus *c, uint64_t now_us, const char *from,
            const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY);
    reply.granted = m->term > c->term && log_up_to_date(c, m) &&
                    !leader_is_fresh(c, now_us);
    reply.term = reply.granted ? m->term : c->term;
    reply.to_disk = m->from_disk;
    send_later(c, from, &reply);
}

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
    send_later(c, from, &reply);
}

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

static void
follow_leader(Consensus *c, uint64_t now_us, const char *from)
{
    if (c->role != kConsensusFollower || c->pre_voting) {
        become_follower(c, now_us, c->term);
    }
    set_leader(c, from);
    c->leader_heard_us = now_us;
    election_reset(c, now_us);
}

/* Puts the leader's entries into the log: an entry that differs in term
 * and all behind it give way. */
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
        send_later(c, from, &reply);
        return;
    }
    follow_leader(c, now_us, from);
    gboolean matches =
        m->prev_index < c->offset ||
        (consensus_log_term(c, m->prev_index, &term) && term == m->prev_term);
    reply.granted = matches;
    if (!matches) {
        reply.match_index = MIN(consensus_last_index(c), m->prev_index - 1);
        send_later(c, from, &reply);
        return;
    }
    merge_entries(c, now_us, m);
    reply.match_index = m->prev_index + m->n_entries;
    uint64_t known = MIN(m->commit_index, reply.match_index);
    c->commit_index = MAX(c->commit_index, known);
    send_later(c, from, &reply);
}

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
    p->waiting = FALSE;
    p->snapshot_sent_us = 0;
    if (m->granted) {
        p->match_index = MAX(p->match_index, m->match_index);
        p->next_index = MAX(p->next_index, p->match_index + 1);
    }
    else {
        p->next_index = MAX(p->match_index, m->match_index) + 1;
    }
    c->confirmed_round =
        MAX(c->confirmed_round, majority_value(c, progress_round, c->round));
    if (c->wanted_round > c->round && c->confirmed_round == c->round) {
        broadcast(c, now_us);
    }
    if (!m->granted || p->next_index <= consensus_last_index(c)) {
        replicate_to(c, now_us, from);
    }
    consensus_promote_caught_up(c, now_us, from, p);
    if (c->transfer_to != NULL && strcmp(c->transfer_to, from) == 0 &&
        p->match_index == consensus_last_index(c)) {
        Sw__ConsensusMessage now =
            message_init(SW__CONSENSUS_KIND__CONSENSUS_TIMEOUT_NOW);
        send_later(c, from, &now);
    }
}

static void
on_snapshot(Consensus *c, uint64_t now_us, const char *from,
            const Sw__ConsensusMessage *m)
{
    Sw__ConsensusMessage reply =
        message_init(SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY);
    reply.to_disk = m->from_disk;
    reply.round = m->round;
    if (m->term < c->term) {
        send_later(c, from, &reply);
        return;
    }
    follow_leader(c, now_us, from);
    reply.granted = TRUE;
    reply.match_index = m->prev_index;
    if (m->prev_index <= c->commit_index) {
        reply.match_index = c->commit_index;
        send_later(c, from, &reply);
        return;
    }
    GBytes *snapshot = g_bytes_new(m->snapshot.data, m->snapshot.len);
    GError *error = NULL;
    if (!consensus_snapshot_unpack(c, now_us, snapshot, &error)) {
        g_warning("snapshot from %s refused: %s", from, error->message);
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
    consensus_snapshot_adopt(c, snapshot, m->prev_index, m->prev_term);
    consensus_members_copy(c->snapshot_members, c->members);
    c->members_index = c->snapshot_members_index;
    c->port.members_changed(c->port.ctx, c->members);
    c->dirty = TRUE;
    consensus_fail_if(
        c, c->port.storage.save_snapshot(c->port.storage.ctx, m->prev_index,
                                         m->prev_term, snapshot, c->entries));
    g_bytes_unref(snapshot);
    send_later(c, from, &reply);
}

static gboolean
message_is_request(Sw__ConsensusKind kind)
{
    return kind == SW__CONSENSUS_KIND__CONSENSUS_VOTE ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_APPEND ||
           kind == SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT;
}

/* Tells whether a message may raise the own term.  A vote request does
 * not while a leader is heard, unless that leader handed over. */
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
        return m->granted || !leader_is_fresh(c, now_us);
    }
    return TRUE;
}

static gboolean
sender_is_member(const Consensus *c, const char *from,
                 const Sw__ConsensusMessage *m)
{
    ConsensusMember *member = consensus_member_find(c, from);
    if (member == NULL) {
        /* A learner without a log does not know the members yet. */
        return m->kind == SW__CONSENSUS_KIND__CONSENSUS_APPEND ||
               m->kind == SW__CONSENSUS_KIND__CONSENSUS_SNAPSHOT;
    }
    return strcmp(member->disk, m->from_disk) == 0;
}

/* Takes in one message of another control instance.  Messages for another
 * disk, or from a disk that is no member's, are dropped. */
void
consensus_receive(Consensus *c, uint64_t now_us, const char *from,
                  const Sw__ConsensusMessage *m)
{
    if (c->failed || strcmp(m->to_disk, c->disk) != 0 ||
        !sender_is_member(c, from, m)) {
        return;
    }
    if (may_raise_term(c, now_us, m)) {
        become_follower(c, now_us, m->term);
    }
    if (message_is_request(m->kind) && m->term > c->term) {
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
        if (m->term == c->term && consensus_self_votes(c)) {
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

/* Lets time pass: elections, heartbeats, and the step-down of a leader
 * that no majority has answered for an election timeout. */
void
consensus_tick(Consensus *c, uint64_t now_us)
{
    if (c->failed) {
        return;
    }
    if (c->role == kConsensusLeader) {
        uint64_t heard = majority_value(c, progress_heard, now_us);
        if (now_us > heard && now_us - heard > c->timing.election_max_us) {
            become_follower(c, now_us, c->term);
            return;
        }
        if (c->transfer_to != NULL && now_us >= c->transfer_due_us) {
            g_clear_pointer(&c->transfer_to, g_free);
        }
        if (now_us >= c->heartbeat_due_us) {
            broadcast(c, now_us);
        }
        return;
    }
    if (!consensus_self_votes(c)) {
        if (now_us >= c->election_due_us) {
            set_leader(c, NULL);
        }
        return;
    }
    if (now_us >= c->election_due_us) {
        g_clear_pointer(&c->transfer_to, g_free);
        pre_campaign(c, now_us);
    }
}

static gboolean
sync_if_dirty(Consensus *c)
{
    if (c->dirty && !c->failed) {
        consensus_fail_if(c, c->port.storage.sync(c->port.storage.ctx));
    }
    if (c->failed) {
        g_queue_clear_full(&c->outbox, outgoing_free);
        c->role = kConsensusFollower;
        set_leader(c, NULL);
        return FALSE;
    }
    c->dirty = FALSE;
    c->synced_index = consensus_last_index(c);
    return TRUE;
}

/* Ends a batch of events: syncs once what they wrote, lets the messages
 * go that waited for it, and applies what is committed.  Call it after
 * each batch, before waiting for the next. */
void
consensus_flush(Consensus *c, uint64_t now_us)
{
    if (!sync_if_dirty(c)) {
        return;
    }
    if (c->role == kConsensusLeader) {
        advance_commit(c);
    }
    while (c->outbox.length > 0) {
        Outgoing *o = g_queue_pop_head(&c->outbox);
        c->port.send(c->port.ctx, o->to, o->message);
        outgoing_free(o);
    }
    consensus_log_apply(c, now_us);
    consensus_snapshot_when_due(c);
    if (c->dirty) {
        sync_if_dirty(c);
    }
    if (c->role == kConsensusLeader && !consensus_self_votes(c) &&
        c->members_index <= c->commit_index) {
        become_follower(c, now_us, c->term);
    }
}

/* ---- proposals, members, reads ---- */

void
consensus_replicate_idle(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        Progress *p = consensus_progress_of(c, m->id);
        if (strcmp(m->id, c->id) != 0 && p != NULL && !p->waiting) {
            replicate_to(c, now_us, m->id);
        }
    }
}

/* Adds a command to the leader's log.  Returns its index, or zero when
 * this instance does not lead or is handing over. */
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

/* Hands leadership to the voter whose log is longest; nothing is proposed
 * meanwhile.  The attempt ends after an election timeout. */
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
        c->transfer_due_us = now_us + c->timing.election_max_us;
        broadcast(c, now_us);
    }
}

/* Asks whether this instance still leads.  Returns the round that must be
 * confirmed before the read may use the state, zero when it cannot be. */
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
    /* A round under way began before this read; the next one serves it. */
    c->wanted_round = c->round + 1;
    return c->wanted_round;
}

/* Tells whether a read's round was confirmed by a majority. */
gboolean
consensus_read_ready(const Consensus *c, uint64_t round)
{
    return c->role == kConsensusLeader && c->confirmed_round >= round;
}

/* Returns the present role. */
ConsensusRole
consensus_role(const Consensus *c)
{
    return c->role;
}

/* Returns the known leader's id, NULL when there is none. */
const char *
consensus_leader(const Consensus *c)
{
    return c->leader;
}

/* Returns the present term. */
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

/* Returns how many elections this instance started. */
uint64_t
consensus_elections(const Consensus *c)
{
    return c->elections;
}

/* Tells whether an entry of the present leader's term was applied here.
 * Before that, as after a start, the state may be older than what has been
 * acknowledged and even than what this instance held before. */
gboolean
consensus_is_current(const Consensus *c)
{
    uint64_t term = 0;
    return c->leader != NULL &&
           consensus_log_term(c, c->applied_index, &term) && term == c->term;
}

/* Tells whether storage failed, which ends the instance's part. */
gboolean
consensus_failed(const Consensus *c)
{
    return c->failed;
}

/* Starts from what was saved.  An instance without any log takes the
 * bootstrap members (may be NULL) as the first voters; without them it
 * waits to be added as a learner.  Fails with kCoreErrorCorrupt. */
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
    /* After a start of all instances nobody leads; where somebody does, the
     * votes before the election refuse. */
    uint64_t least_us = c->timing.election_min_us / kFirstElectionParts;
    c->election_due_us =
        now_us + least_us + c->port.random(c->port.ctx) % (least_us + 1);
    return TRUE;
}
