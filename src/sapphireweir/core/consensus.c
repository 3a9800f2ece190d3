#include "core/consensus.h"

#include <jansson.h>
#include <string.h>

#include "core/error.h"
#include "core/schema.h"

/* Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, reads
 * confirmed by a round of the leader, one-at-a-time membership changes
 * through a learner, and leadership transfer.  Messages leave only in
 * consensus_flush, after everything they depend on was synced. */

enum {
    kAppendEntriesMax = 256,
    kAppendBytesMax = 1 << 20,
    kEntriesKeptBehindSnapshot = 512,
    kSnapshotResendUs = 2000000,
};

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
    uint64_t elected_us;
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

/* Makes a member record; free it with consensus_member_free. */
ConsensusMember *
consensus_member_new(const char *id, const char *disk,
                     const char *peer_address, const char *failure_domain,
                     gboolean voter)
{
    ConsensusMember *m = g_new0(ConsensusMember, 1);
    m->id = g_strdup(id);
    m->disk = g_strdup(disk);
    m->peer_address = g_strdup(peer_address);
    m->failure_domain = g_strdup(failure_domain);
    m->voter = voter;
    return m;
}

/* Frees a member record. */
void
consensus_member_free(void *member)
{
    ConsensusMember *m = member;
    g_free(m->id);
    g_free(m->disk);
    g_free(m->peer_address);
    g_free(m->failure_domain);
    g_free(m);
}

/* Makes a log entry; takes over the caller's reference to command. */
ConsensusEntry *
consensus_entry_new(uint64_t index, uint64_t term, GBytes *command)
{
    ConsensusEntry *e = g_new(ConsensusEntry, 1);
    *e = (ConsensusEntry){index, term, command};
    return e;
}

/* Frees a log entry. */
void
consensus_entry_free(void *entry)
{
    ConsensusEntry *e = entry;
    g_bytes_unref(e->command);
    g_free(e);
}

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

/* ---- log access ---- */

/* Returns the index of the last entry of the log. */
uint64_t
consensus_last_index(const Consensus *c)
{
    return c->offset + c->entries->len;
}

static ConsensusEntry *
entry_at(const Consensus *c, uint64_t index)
{
    if (index <= c->offset || index > consensus_last_index(c)) {
        return NULL;
    }
    return g_ptr_array_index(c->entries, index - c->offset - 1);
}

/* Returns the term of the entry at an index; FALSE when it is not kept. */
static gboolean
term_at(const Consensus *c, uint64_t index, uint64_t *term)
{
    if (index == c->offset) {
        *term = c->offset_term;
        return TRUE;
    }
    ConsensusEntry *e = entry_at(c, index);
    if (e == NULL) {
        return FALSE;
    }
    *term = e->term;
    return TRUE;
}

static uint64_t
last_term(const Consensus *c)
{
    uint64_t term = 0;
    term_at(c, consensus_last_index(c), &term);
    return term;
}

static EntryKind
entry_kind(const ConsensusEntry *e)
{
    size_t size;
    const char *data = g_bytes_get_data(e->command, &size);
    return size == 0 ? kEntryNoop : (EntryKind)data[0];
}

static GBytes *
entry_pack(EntryKind kind, const void *data, size_t size)
{
    GByteArray *packed = g_byte_array_sized_new((guint)size + 1);
    guint8 tag = (guint8)kind;
    g_byte_array_append(packed, &tag, 1);
    if (size > 0) {
        g_byte_array_append(packed, data, (guint)size);
    }
    return g_byte_array_free_to_bytes(packed);
}

/* ---- members ---- */

/* Returns the members in force, learners included. */
const GPtrArray *
consensus_members(const Consensus *c)
{
    return c->members;
}

static ConsensusMember *
member_find(const Consensus *c, const char *id)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (strcmp(m->id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

static gboolean
self_votes(const Consensus *c)
{
    ConsensusMember *m = member_find(c, c->id);
    return m != NULL && m->voter && strcmp(m->disk, c->disk) == 0;
}

static uint32_t
voter_count(const Consensus *c)
{
    uint32_t count = 0;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        count += m->voter ? 1 : 0;
    }
    return count;
}

static uint32_t
majority(const Consensus *c)
{
    return voter_count(c) / 2 + 1;
}

static json_t *
members_to_json(const GPtrArray *members)
{
    json_t *list = json_array();
    for (guint i = 0; i < members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(members, i);
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:s, s:s, s:b}", "id",
                                        m->id, "disk", m->disk, "peer_address",
                                        m->peer_address, "failure_domain",
                                        m->failure_domain, "voter", m->voter));
    }
    return list;
}

static void
members_from_json(const json_t *list, GPtrArray *out)
{
    size_t i;
    json_t *m;

    g_ptr_array_set_size(out, 0);
    json_array_foreach(list, i, m)
    {
        g_ptr_array_add(
            out, consensus_member_new(json_text_or(m, "id", ""),
                                      json_text_or(m, "disk", ""),
                                      json_text_or(m, "peer_address", ""),
                                      json_text_or(m, "failure_domain", ""),
                                      json_flag(m, "voter")));
    }
}

static void
members_copy(const GPtrArray *from, GPtrArray *to)
{
    json_t *list = members_to_json(from);
    members_from_json(list, to);
    json_decref(list);
}

static GBytes *
members_entry(const GPtrArray *members)
{
    json_t *list = members_to_json(members);
    char *text = json_dumps(list, JSON_COMPACT);
    GBytes *packed = entry_pack(kEntryMembers, text, strlen(text));
    free(text);
    json_decref(list);
    return packed;
}

static void
members_read_entry(const ConsensusEntry *e, GPtrArray *out)
{
    size_t size;
    const char *data = g_bytes_get_data(e->command, &size);
    json_t *list = json_loadb(data + 1, size - 1, 0, NULL);
    members_from_json(list, out);
    json_decref(list);
}

static Progress *
progress_of(Consensus *c, const char *id)
{
    return g_hash_table_lookup(c->progress, id);
}

static void
progress_refresh(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (progress_of(c, m->id) != NULL) {
            continue;
        }
        Progress *p = g_new0(Progress, 1);
        p->next_index = consensus_last_index(c) + 1;
        p->acked_us = now_us;
        g_hash_table_insert(c->progress, g_strdup(m->id), p);
    }
}

/* A member list takes effect as soon as it is in the log. */
static void
members_take_effect(Consensus *c, uint64_t now_us, const ConsensusEntry *e)
{
    members_read_entry(e, c->members);
    c->members_index = e->index;
    if (c->role == kConsensusLeader) {
        progress_refresh(c, now_us);
    }
    c->port.members_changed(c->port.ctx, c->members);
}

/* After a truncation: the last member list still in the log, else the one
 * of the snapshot. */
static void
members_recompute(Consensus *c, uint64_t now_us)
{
    for (guint i = c->entries->len; i > 0; i--) {
        ConsensusEntry *e = g_ptr_array_index(c->entries, i - 1);
        if (entry_kind(e) == kEntryMembers) {
            members_take_effect(c, now_us, e);
            return;
        }
    }
    members_copy(c->snapshot_members, c->members);
    c->members_index = c->snapshot_members_index;
    c->port.members_changed(c->port.ctx, c->members);
}

/* ---- durable writes ---- */

static void
fail_if(Consensus *c, gboolean ok)
{
    if (!ok) {
        c->failed = TRUE;
    }
}

static void
save_vote(Consensus *c)
{
    c->dirty = TRUE;
    fail_if(c, c->port.storage.save_vote(c->port.storage.ctx, c->term,
                                         c->voted_for == NULL ? ""
                                                              : c->voted_for));
}

static void
log_append(Consensus *c, uint64_t now_us, ConsensusEntry *e)
{
    g_ptr_array_add(c->entries, e);
    c->dirty = TRUE;
    fail_if(c, c->port.storage.save_entry(c->port.storage.ctx, e->index,
                                          e->term, e->command));
    if (entry_kind(e) == kEntryMembers) {
        members_take_effect(c, now_us, e);
    }
}

static void
log_truncate(Consensus *c, uint64_t now_us, uint64_t from_index)
{
    g_ptr_array_set_size(c->entries, (gint)(from_index - c->offset - 1));
    c->synced_index = MIN(c->synced_index, from_index - 1);
    c->dirty = TRUE;
    fail_if(c, c->port.storage.save_truncate(c->port.storage.ctx, from_index));
    if (c->members_index >= from_index) {
        members_recompute(c, now_us);
    }
}

/* ---- messages ---- */

static Sw__ConsensusMessage *
message_copy(const Sw__ConsensusMessage *m)
{
    size_t size = sw__consensus_message__get_packed_size(m);
    uint8_t *packed = g_malloc(size);
    sw__consensus_message__pack(m, packed);
    Sw__ConsensusMessage *copy =
        sw__consensus_message__unpack(NULL, size, packed);
    g_free(packed);
    return copy;
}

/* Queues a message for the next flush. */
static void
send_later(Consensus *c, const char *to, Sw__ConsensusMessage *m)
{
    ConsensusMember *member = member_find(c, to);
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
        save_vote(c);
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
    m.prev_term = last_term(c);
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
    save_vote(c);
    set_leader(c, NULL);
    g_hash_table_remove_all(c->votes);
    g_hash_table_add(c->votes, g_strdup(c->id));
    election_reset(c, now_us);
    request_votes(c, FALSE);
    if (majority(c) == 1) {
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
    if (majority(c) == 1) {
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
        ConsensusEntry *e = entry_at(c, p->next_index + i);
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
    term_at(c, m.prev_index, &m.prev_term);
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
    Progress *p = progress_of(c, to);
    uint64_t ignored;

    if (!term_at(c, p->next_index - 1, &ignored) && c->snapshot != NULL) {
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
    if (self_votes(c) && majority(c) == 1) {
        c->confirmed_round = c->round;
    }
}

static void
leader_start(Consensus *c, uint64_t now_us)
{
    c->role = kConsensusLeader;
    c->elected_us = now_us;
    set_leader(c, c->id);
    g_clear_pointer(&c->transfer_to, g_free);
    g_hash_table_remove_all(c->progress);
    progress_refresh(c, now_us);
    c->confirmed_round = c->round;
    c->term_start_index = consensus_last_index(c) + 1;
    log_append(c, now_us,
               consensus_entry_new(c->term_start_index, c->term,
                                   entry_pack(kEntryNoop, NULL, 0)));
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
    uint64_t *values = g_new0(uint64_t, voter_count(c) + 1);
    uint32_t count = 0;

    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (!m->voter) {
            continue;
        }
        gboolean self = strcmp(m->id, c->id) == 0;
        values[count++] = self ? own : value(c, progress_of(c, m->id));
    }
    qsort(values, count, sizeof(values[0]), compare_descending);
    uint64_t reached = count == 0 ? 0 : values[majority(c) - 1];
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

    if (held > c->commit_index && term_at(c, held, &term) && term == c->term) {
        c->commit_index = held;
    }
}

/* ---- receiving ---- */

static gboolean
log_up_to_date(const Consensus *c, const Sw__ConsensusMessage *m)
{
    uint64_t own_term = last_term(c);
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
    if (g_hash_table_size(c->votes) >= majority(c)) {
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
        save_vote(c);
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
    if (g_hash_table_size(c->votes) >= majority(c)) {
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
        if (term_at(c, wire->index, &term)) {
            if (term == wire->term) {
                continue;
            }
            log_truncate(c, now_us, wire->index);
        }
        if (wire->index != consensus_last_index(c) + 1) {
            return;
        }
        log_append(c, now_us,
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
        (term_at(c, m->prev_index, &term) && term == m->prev_term);
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
promote_caught_up(Consensus *c, uint64_t now_us, const char *from,
                  const Progress *p)
{
    ConsensusMember *m = member_find(c, from);
    if (m == NULL || m->voter || p->match_index < c->commit_index ||
        c->members_index > c->commit_index) {
        return;
    }
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    members_copy(c->members, changed);
    for (guint i = 0; i < changed->len; i++) {
        ConsensusMember *n = g_ptr_array_index(changed, i);
        n->voter = n->voter || strcmp(n->id, from) == 0;
    }
    log_append(c, now_us,
               consensus_entry_new(consensus_last_index(c) + 1, c->term,
                                   members_entry(changed)));
    g_ptr_array_unref(changed);
}

static void
on_append_reply(Consensus *c, uint64_t now_us, const char *from,
                const Sw__ConsensusMessage *m)
{
    Progress *p = progress_of(c, from);
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
    promote_caught_up(c, now_us, from, p);
    if (c->transfer_to != NULL && strcmp(c->transfer_to, from) == 0 &&
        p->match_index == consensus_last_index(c)) {
        Sw__ConsensusMessage now =
            message_init(SW__CONSENSUS_KIND__CONSENSUS_TIMEOUT_NOW);
        send_later(c, from, &now);
    }
}

/* A snapshot as it is stored and sent: member list and state. */
static GBytes *
snapshot_pack(const GPtrArray *members, uint64_t members_index, GBytes *state)
{
    json_t *head =
        json_pack("{s:I, s:o}", "members_index", (json_int_t)members_index,
                  "members", members_to_json(members));
    char *text = json_dumps(head, JSON_COMPACT);
    GByteArray *packed = g_byte_array_new();
    size_t size;
    const void *data = g_bytes_get_data(state, &size);

    g_byte_array_append(packed, (const guint8 *)text, (guint)strlen(text));
    g_byte_array_append(packed, (const guint8 *)"\n", 1);
    g_byte_array_append(packed, data, (guint)size);
    free(text);
    json_decref(head);
    return g_byte_array_free_to_bytes(packed);
}

static gboolean
snapshot_unpack(Consensus *c, uint64_t now_us, GBytes *snapshot,
                GError **error)
{
    size_t size;
    const char *data = g_bytes_get_data(snapshot, &size);
    const char *end = data == NULL ? NULL : memchr(data, '\n', size);
    json_t *head =
        end == NULL ? NULL : json_loadb(data, (size_t)(end - data), 0, NULL);

    if (head == NULL) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorCorrupt,
                            "snapshot has no member list");
        return FALSE;
    }
    GBytes *state = g_bytes_new_from_bytes(snapshot, (size_t)(end + 1 - data),
                                           size - (size_t)(end + 1 - data));
    gboolean ok = c->port.restore(c->port.ctx, now_us, state, error);
    g_bytes_unref(state);
    if (ok) {
        members_from_json(json_object_get(head, "members"),
                          c->snapshot_members);
        c->snapshot_members_index =
            (uint64_t)json_integer_or(head, "members_index", 0);
    }
    json_decref(head);
    return ok;
}

static void
snapshot_adopt(Consensus *c, GBytes *snapshot, uint64_t index, uint64_t term)
{
    if (c->snapshot != NULL) {
        g_bytes_unref(c->snapshot);
    }
    c->snapshot = g_bytes_ref(snapshot);
    c->snapshot_index = index;
    c->snapshot_term = term;
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
    if (!snapshot_unpack(c, now_us, snapshot, &error)) {
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
    snapshot_adopt(c, snapshot, m->prev_index, m->prev_term);
    members_copy(c->snapshot_members, c->members);
    c->members_index = c->snapshot_members_index;
    c->port.members_changed(c->port.ctx, c->members);
    c->dirty = TRUE;
    fail_if(c,
            c->port.storage.save_snapshot(c->port.storage.ctx, m->prev_index,
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
    ConsensusMember *member = member_find(c, from);
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
        if (m->term == c->term && self_votes(c)) {
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
    if (self_votes(c) && now_us >= c->election_due_us) {
        g_clear_pointer(&c->transfer_to, g_free);
        pre_campaign(c, now_us);
    }
}

static void
apply_committed(Consensus *c, uint64_t now_us)
{
    while (c->applied_index < c->commit_index) {
        ConsensusEntry *e = entry_at(c, c->applied_index + 1);
        if (e == NULL) {
            return;
        }
        c->applied_index++;
        if (entry_kind(e) != kEntryCommand) {
            continue;
        }
        size_t size = g_bytes_get_size(e->command);
        GBytes *body = g_bytes_new_from_bytes(e->command, 1, size - 1);
        c->port.apply(c->port.ctx, now_us, e->index, e->term, body);
        g_bytes_unref(body);
    }
}

static void
drop_entries_before_snapshot(Consensus *c)
{
    if (c->snapshot_index <= c->offset + kEntriesKeptBehindSnapshot) {
        return;
    }
    uint64_t keep_after = c->snapshot_index - kEntriesKeptBehindSnapshot;
    uint64_t term = 0;
    term_at(c, keep_after, &term);
    g_ptr_array_remove_range(c->entries, 0, (guint)(keep_after - c->offset));
    c->offset = keep_after;
    c->offset_term = term;
}

static void
snapshot_when_due(Consensus *c)
{
    uint64_t term = 0;
    if (c->applied_index - c->snapshot_index < c->timing.snapshot_every ||
        !term_at(c, c->applied_index, &term)) {
        return;
    }
    if (c->members_index <= c->applied_index) {
        members_copy(c->members, c->snapshot_members);
        c->snapshot_members_index = c->members_index;
    }
    GBytes *state = c->port.dump(c->port.ctx);
    GBytes *snapshot =
        snapshot_pack(c->snapshot_members, c->snapshot_members_index, state);
    snapshot_adopt(c, snapshot, c->applied_index, term);
    drop_entries_before_snapshot(c);
    fail_if(c, c->port.storage.save_snapshot(c->port.storage.ctx,
                                             c->snapshot_index, term, snapshot,
                                             c->entries));
    g_bytes_unref(snapshot);
    g_bytes_unref(state);
}

static gboolean
sync_if_dirty(Consensus *c)
{
    if (c->dirty && !c->failed) {
        fail_if(c, c->port.storage.sync(c->port.storage.ctx));
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
    apply_committed(c, now_us);
    snapshot_when_due(c);
    if (c->dirty) {
        sync_if_dirty(c);
    }
    if (c->role == kConsensusLeader && !self_votes(c) &&
        c->members_index <= c->commit_index) {
        become_follower(c, now_us, c->term);
    }
}

/* ---- proposals, members, reads ---- */

static void
replicate_idle(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        Progress *p = progress_of(c, m->id);
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
    log_append(c, now_us,
               consensus_entry_new(index, c->term,
                                   entry_pack(kEntryCommand, data, size)));
    replicate_idle(c, now_us);
    return index;
}

static gboolean
members_may_change(const Consensus *c, GError **error)
{
    if (c->role != kConsensusLeader) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            "this control instance does not lead");
        return FALSE;
    }
    if (c->members_index > c->commit_index ||
        c->commit_index < c->term_start_index) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorConflict,
                            "an earlier membership change is under way");
        return FALSE;
    }
    return TRUE;
}

static void
propose_members(Consensus *c, uint64_t now_us, const GPtrArray *changed)
{
    log_append(c, now_us,
               consensus_entry_new(consensus_last_index(c) + 1, c->term,
                                   members_entry(changed)));
    replicate_idle(c, now_us);
}

/* Adds a control instance as a learner; it becomes a voter by itself once
 * it holds the whole log on its disk.  Fails with kCoreErrorConflict while
 * another change is under way or when the id is taken. */
gboolean
consensus_member_add(Consensus *c, uint64_t now_us,
                     const ConsensusMember *member, GError **error)
{
    if (!members_may_change(c, error)) {
        return FALSE;
    }
    if (member_find(c, member->id) != NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorConflict,
                    "%s is a member; remove it first", member->id);
        return FALSE;
    }
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    members_copy(c->members, changed);
    g_ptr_array_add(changed,
                    consensus_member_new(member->id, member->disk,
                                         member->peer_address,
                                         member->failure_domain, FALSE));
    propose_members(c, now_us, changed);
    g_ptr_array_unref(changed);
    return TRUE;
}

/* Removes a control instance.  Fails when it is not a member, is the last
 * voter, or while another change is under way. */
gboolean
consensus_member_remove(Consensus *c, uint64_t now_us, const char *id,
                        GError **error)
{
    ConsensusMember *m = member_find(c, id);
    if (!members_may_change(c, error)) {
        return FALSE;
    }
    if (m == NULL || (m->voter && voter_count(c) == 1)) {
        g_set_error(error, CORE_ERROR, kCoreErrorNotFound,
                    "%s is not a member that can be removed", id);
        return FALSE;
    }
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    members_copy(c->members, changed);
    for (guint i = 0; i < changed->len; i++) {
        ConsensusMember *each = g_ptr_array_index(changed, i);
        if (strcmp(each->id, id) == 0) {
            g_ptr_array_remove_index(changed, i);
            break;
        }
    }
    propose_members(c, now_us, changed);
    g_ptr_array_unref(changed);
    g_hash_table_remove(c->progress, id);
    return TRUE;
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
        Progress *p = progress_of(c, m->id);
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

/* Tells whether storage failed, which ends the instance's part. */
gboolean
consensus_failed(const Consensus *c)
{
    return c->failed;
}

/* ---- start ---- */

static gboolean
start_from_saved(Consensus *c, uint64_t now_us, const ConsensusSaved *saved,
                 GError **error)
{
    c->term = saved->term;
    if (saved->voted_for != NULL && saved->voted_for[0] != '\0') {
        c->voted_for = g_strdup(saved->voted_for);
    }
    if (saved->snapshot != NULL) {
        if (!snapshot_unpack(c, now_us, saved->snapshot, error)) {
            return FALSE;
        }
        snapshot_adopt(c, saved->snapshot, saved->snapshot_index,
                       saved->snapshot_term);
        c->offset = saved->snapshot_index;
        c->offset_term = saved->snapshot_term;
        c->commit_index = saved->snapshot_index;
        c->applied_index = saved->snapshot_index;
    }
    for (guint i = 0; i < saved->entries->len; i++) {
        ConsensusEntry *e = g_ptr_array_index(saved->entries, i);
        if (e->index <= c->offset) {
            continue;
        }
        if (e->index != consensus_last_index(c) + 1) {
            g_set_error(error, CORE_ERROR, kCoreErrorCorrupt,
                        "log entry %" G_GUINT64_FORMAT
                        " follows %" G_GUINT64_FORMAT,
                        e->index, consensus_last_index(c));
            return FALSE;
        }
        g_ptr_array_add(
            c->entries,
            consensus_entry_new(e->index, e->term, g_bytes_ref(e->command)));
    }
    c->synced_index = consensus_last_index(c);
    members_recompute(c, now_us);
    return TRUE;
}

/* Starts from what was saved.  An instance without any log takes the
 * bootstrap members (may be NULL) as the first voters; without them it
 * waits to be added as a learner.  Fails with kCoreErrorCorrupt. */
gboolean
consensus_start(Consensus *c, uint64_t now_us, const ConsensusSaved *saved,
                const GPtrArray *bootstrap, GError **error)
{
    if (!start_from_saved(c, now_us, saved, error)) {
        return FALSE;
    }
    if (bootstrap != NULL && consensus_last_index(c) == 0) {
        log_append(c, now_us,
                   consensus_entry_new(1, 0, members_entry(bootstrap)));
    }
    election_reset(c, now_us);
    return TRUE;
}
