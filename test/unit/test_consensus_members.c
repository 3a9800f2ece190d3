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

/* Starts instance a of a group of the voters a, b and c and the learner d; the
 * list of members is in its snapshot, at index 1. */
static Consensus *
start_instance(void)
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
    ConsensusTiming timing = {50000, kElectionUs / 2, kElectionUs, 64};
    ConsensusPort port = {.send = port_send,
                          .apply = port_apply,
                          .dump = port_dump,
                          .restore = port_restore,
                          .random = port_random,
                          .members_changed = port_members_changed,
                          .storage = kDiscardStorage};
    GBytes *bytes = g_bytes_new_static(snapshot, strlen(snapshot));
    ConsensusSaved saved = {
        .term = 1,
        .snapshot_index = 1,
        .snapshot_term = 1,
        .snapshot = bytes,
        .entries = g_ptr_array_new(),
    };
    Consensus *c = consensus_new("a", "A", &timing, &port);

    CU_ASSERT(consensus_start(c, 0, &saved, NULL, NULL));
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
    Consensus *c = start_instance();
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

void
add_consensus_members_suite(void)
{
    CU_pSuite s = CU_add_suite("consensus members", NULL, NULL);
    CU_add_test(s, "a new leader does not change voters at once",
                a_new_leader_does_not_change_voters_at_once);
}
