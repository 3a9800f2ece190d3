#include <string.h>

#include "../fuzz/discard_storage.h"
#include "core/consensus.h"
#include "suite.h"

/* Changes of the member list, driven message by message. */

enum {
    kElectionUs = 400000,
    kVoters = 3,
};

static void
port_send(void *ctx, const char *to, const Sw__ConsensusMessage *m)
{
    (void)ctx;
    (void)to;
    (void)m;
}

static void
port_apply(void *ctx, uint64_t now_us, uint64_t index, uint64_t term,
           GBytes *command)
{
    (void)ctx;
    (void)now_us;
    (void)index;
    (void)term;
    (void)command;
}

static GBytes *
port_dump(void *ctx)
{
    (void)ctx;
    return g_bytes_new("", 0);
}

static gboolean
port_restore(void *ctx, uint64_t now_us, GBytes *state, GError **error)
{
    (void)ctx;
    (void)now_us;
    (void)state;
    (void)error;
    return TRUE;
}

static uint64_t
port_random(void *ctx)
{
    (void)ctx;
    return 0;
}

static void
port_members_changed(void *ctx, const GPtrArray *members)
{
    (void)ctx;
    (void)members;
}

/* The last snapshot that an instance saved. */
typedef struct {
    uint64_t index;
    uint64_t term;
    GBytes *bytes;
} SavedSnapshot;

static StorageResult
keep_snapshot(void *ctx, uint64_t index, uint64_t term, GBytes *snapshot,
              const GPtrArray *entries)
{
    SavedSnapshot *saved = ctx;

    (void)entries;
    g_clear_pointer(&saved->bytes, g_bytes_unref);
    *saved = (SavedSnapshot){index, term, g_bytes_ref(snapshot)};
    return kStorageOk;
}

/* Starts instance a from a saved state.  With kept, snapshots are kept
 * there. */
static Consensus *
start_saved(const ConsensusSaved *saved, SavedSnapshot *kept)
{
    ConsensusTiming timing = {50000, kElectionUs / 2, kElectionUs, 64};
    ConsensusPort port = {.send = port_send,
                          .apply = port_apply,
                          .dump = port_dump,
                          .restore = port_restore,
                          .random = port_random,
                          .members_changed = port_members_changed,
                          .storage = kDiscardStorage};

    if (kept != NULL) {
        port.storage.ctx = kept;
        port.storage.save_snapshot = keep_snapshot;
    }
    Consensus *c = consensus_new("a", "A", &timing, &port);
    CU_ASSERT(consensus_start(c, 0, saved, NULL, NULL));
    return c;
}

/* Starts instance a of a group of the voters a, b and c and the learner d; the
 * list of members is in its snapshot, at index 1.  With kept, snapshots are
 * kept there. */
static Consensus *
start_instance_on(SavedSnapshot *kept)
{
    static const char snapshot[] =
        "{\"members_index\":1,\"members\":["
        "{\"id\":\"a\",\"disk\":\"A\",\"peer_address\":\"a\","
        "\"failure_domain\":\"\",\"voter\":true},"
        "{\"id\":\"b\",\"disk\":\"B\",\"peer_address\":\"b\","
        "\"failure_domain\":\"\",\"voter\":true},"
        "{\"id\":\"c\",\"disk\":\"C\",\"peer_address\":\"c\","
        "\"failure_domain\":\"\",\"voter\":true},"
        "{\"id\":\"d\",\"disk\":\"D\",\"peer_address\":\"d\","
        "\"failure_domain\":\"\",\"voter\":false}]}\n";
    GBytes *bytes = g_bytes_new_static(snapshot, strlen(snapshot));
    ConsensusSaved saved = {
        .term = 1,
        .snapshot_index = 1,
        .snapshot_term = 1,
        .snapshot = bytes,
        .entries = g_ptr_array_new(),
    };
    Consensus *c = start_saved(&saved, kept);

    g_ptr_array_unref(saved.entries);
    g_bytes_unref(bytes);
    return c;
}

/* Delivers a reply of another member. */
static void
reply_from(Consensus *c, uint64_t now_us, const char *from, const char *disk,
           Sw__ConsensusKind kind, uint64_t term, uint64_t match_index)
{
    Sw__ConsensusMessage m = SW__CONSENSUS_MESSAGE__INIT;

    m.kind = kind;
    m.term = term;
    m.from_disk = (char *)disk;
    m.to_disk = (char *)"A";
    m.granted = TRUE;
    m.match_index = match_index;
    consensus_receive(c, now_us, from, &m);
    consensus_flush(c, now_us);
}

/* A new leader may not change the voters before an entry of its own term is
 * committed: a former leader may have left another change in the log of some
 * members, and the majorities of the two lists need not overlap, so that both
 * could commit. */
static void
a_new_leader_does_not_change_voters_at_once(void)
{
    Consensus *c = start_instance_on(NULL);
    uint64_t now_us = kElectionUs;

    consensus_tick(c, now_us);
    reply_from(c, now_us, "b", "B",
               SW__CONSENSUS_KIND__CONSENSUS_PRE_VOTE_REPLY, 2, 0);
    reply_from(c, now_us, "b", "B", SW__CONSENSUS_KIND__CONSENSUS_VOTE_REPLY,
               2, 0);
    CU_ASSERT_EQUAL(consensus_role(c), kConsensusLeader);
    CU_ASSERT_EQUAL(consensus_last_index(c), 2);
    reply_from(c, now_us, "d", "D", SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY,
               2, 2);
    CU_ASSERT_EQUAL(consensus_voter_count(c), kVoters);
    CU_ASSERT_EQUAL(consensus_last_index(c), 2);
    reply_from(c, now_us, "b", "B", SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY,
               2, 2);
    CU_ASSERT_EQUAL(consensus_commit_index(c), 2);
    reply_from(c, now_us, "d", "D", SW__CONSENSUS_KIND__CONSENSUS_APPEND_REPLY,
               2, 2);
    CU_ASSERT_EQUAL(consensus_voter_count(c), kVoters + 1);
    consensus_free(c);
}

/* ---- a snapshot while a change is pending ---- */

enum {
    kSnapshotAt = 65, /* the interval after the snapshot at index 1 */
    kFirstChangeAt = 10,
};

/* Delivers one entry of the leader b; text is a member list as JSON, or NULL
 * for an empty entry. */
static void
append_from_b(Consensus *c, uint64_t now_us, uint64_t term, uint64_t index,
              uint64_t prev_term, const char *text)
{
    Sw__ConsensusMessage m = SW__CONSENSUS_MESSAGE__INIT;
    Sw__LogEntry entry = SW__LOG_ENTRY__INIT;
    Sw__LogEntry *entries[] = {&entry};
    char *packed = text == NULL ? g_strdup("N") : g_strconcat("M", text, NULL);

    m.kind = SW__CONSENSUS_KIND__CONSENSUS_APPEND;
    m.term = term;
    m.from_disk = (char *)"B";
    m.to_disk = (char *)"A";
    m.prev_index = index - 1;
    m.prev_term = prev_term;
    m.commit_index = index - 1;
    m.n_entries = 1;
    m.entries = entries;
    entry.index = index;
    entry.term = term;
    entry.command.data = (uint8_t *)packed;
    entry.command.len = strlen(packed);
    consensus_receive(c, now_us, "b", &m);
    consensus_flush(c, now_us);
    g_free(packed);
}

/* Returns a member list of the voters whose ids are the letters of ids. */
static char *
member_list(const char *ids)
{
    GString *text = g_string_new("[");

    for (const char *id = ids; *id != '\0'; id++) {
        g_string_append_printf(
            text,
            "%s{\"id\":\"%c\",\"disk\":\"%c\",\"peer_address\":\"%c\","
            "\"failure_domain\":\"\",\"voter\":true}",
            id == ids ? "" : ",", *id, g_ascii_toupper(*id), *id);
    }
    g_string_append_c(text, ']');
    return g_string_free(text, FALSE);
}

/* A snapshot holds the last member list among the entries that it replaces,
 * also while a later change is pending.  Otherwise an instance that loads it
 * falls back to an older list if the pending change is truncated: a list that
 * lacks two or more changes has majorities that do not overlap with those of
 * the list in force, so that two leaders can commit. */
static void
a_snapshot_keeps_the_list_before_a_pending_change(void)
{
    SavedSnapshot kept = {0};
    Consensus *c = start_instance_on(&kept);
    char *committed = member_list("abcef");
    char *pending = member_list("abce");

    for (uint64_t i = 2; i <= kSnapshotAt; i++) {
        append_from_b(c, kElectionUs, 1, i, 1,
                      i == kFirstChangeAt ? committed : NULL);
    }
    CU_ASSERT_EQUAL(consensus_voter_count(c), 5);
    append_from_b(c, kElectionUs, 1, kSnapshotAt + 1, 1, pending);
    CU_ASSERT_EQUAL(consensus_voter_count(c), 4);
    CU_ASSERT_EQUAL(kept.index, kSnapshotAt);
    consensus_free(c);

    /* After a restart a later leader replaces the pending change. */
    ConsensusSaved saved = {
        .term = 1,
        .snapshot_index = kept.index,
        .snapshot_term = kept.term,
        .snapshot = kept.bytes,
        .entries = g_ptr_array_new_with_free_func(consensus_entry_free),
    };
    char *packed = g_strconcat("M", pending, NULL);
    g_ptr_array_add(saved.entries,
                    consensus_entry_new(kSnapshotAt + 1, 1,
                                        g_bytes_new(packed, strlen(packed))));
    c = start_saved(&saved, &kept);
    CU_ASSERT_EQUAL(consensus_voter_count(c), 4);
    append_from_b(c, kElectionUs, 2, kSnapshotAt + 1, 1, NULL);
    CU_ASSERT_EQUAL(consensus_voter_count(c), 5);
    consensus_free(c);
    g_clear_pointer(&kept.bytes, g_bytes_unref);
    g_ptr_array_unref(saved.entries);
    g_free(packed);
    g_free(pending);
    g_free(committed);
}

void
add_consensus_members_suite(void)
{
    CU_pSuite s = CU_add_suite("consensus members", NULL, NULL);
    CU_add_test(s, "a new leader does not change voters at once",
                a_new_leader_does_not_change_voters_at_once);
    CU_add_test(s, "a snapshot keeps the list before a pending change",
                a_snapshot_keeps_the_list_before_a_pending_change);
}
