#include <string.h>

#include "core/consensus_internal.h"
#include "core/error.h"
#include "core/schema.h"
#include "core/voter_policy.h"

/* The member list of the consensus, which changes by one member at a time.  A
 * new list takes effect as soon as it is in the log, before it is
 * committed. */

enum {
    /* A voter without replies for so long is to be replaced: longer than a
     * restart takes. */
    kVoterUnresponsiveUs = 4500000,
};

/* Creates a member record with copies of the strings; free it with
 * consensus_member_free. */
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

/* Returns the current list of ConsensusMember, learners included; the
 * instance owns it. */
const GPtrArray *
consensus_members(const Consensus *c)
{
    return c->members;
}

/* Returns a member by its id, or NULL. */
ConsensusMember *
consensus_member_find(const Consensus *c, const char *id)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (strcmp(m->id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Returns whether this instance, with this disk, is a voter. */
gboolean
consensus_is_voter(const Consensus *c)
{
    ConsensusMember *m = consensus_member_find(c, c->id);
    return m != NULL && m->voter && strcmp(m->disk, c->disk) == 0;
}

/* Returns whether this instance, with this disk, is in the member list. */
gboolean
consensus_is_member(const Consensus *c)
{
    ConsensusMember *m = consensus_member_find(c, c->id);
    return m != NULL && strcmp(m->disk, c->disk) == 0;
}

/* Returns the time of the leader's last contact with a member, in
 * microseconds; zero if this instance does not lead or the member is
 * unknown.  A member that has not replied yet counts as seen at the time at
 * which the leader began to track it. */
uint64_t
consensus_member_last_seen_us(Consensus *c, const char *id)
{
    const Progress *p = consensus_progress_of(c, id);
    return p == NULL ? 0 : p->acked_us;
}

/* Returns the number of voters in the current member list. */
uint32_t
consensus_voter_count(const Consensus *c)
{
    uint32_t count = 0;
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        count += m->voter ? 1 : 0;
    }
    return count;
}

/* Returns the number of votes that form a majority. */
uint32_t
consensus_majority(const Consensus *c)
{
    return consensus_voter_count(c) / 2 + 1;
}

/* Returns a member list as JSON; the caller owns it. */
json_t *
consensus_members_to_json(const GPtrArray *members)
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

/* Replaces the content of out by a member list in JSON. */
void
consensus_members_from_json(const json_t *list, GPtrArray *out)
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

/* Replaces the content of to by a copy of from. */
void
consensus_members_copy(const GPtrArray *from, GPtrArray *to)
{
    json_t *list = consensus_members_to_json(from);
    consensus_members_from_json(list, to);
    json_decref(list);
}

/* Returns the packed log entry of a member list; the caller owns it. */
GBytes *
consensus_members_entry(const GPtrArray *members)
{
    json_t *list = consensus_members_to_json(members);
    char *text = json_dumps(list, JSON_COMPACT);
    GBytes *packed = consensus_entry_pack(kEntryMembers, text, strlen(text));
    free(text);
    json_decref(list);
    return packed;
}

/* Replaces the content of out by the member list of a log entry. */
static void
members_read_entry(const ConsensusEntry *e, GPtrArray *out)
{
    size_t size;
    const char *data = g_bytes_get_data(e->command, &size);
    json_t *list = json_loadb(data + 1, size - 1, 0, NULL);
    consensus_members_from_json(list, out);
    json_decref(list);
}

/* Returns the leader's replication state of a member, or NULL if this instance
 * does not lead or the member is unknown. */
Progress *
consensus_progress_of(Consensus *c, const char *id)
{
    return g_hash_table_lookup(c->progress, id);
}

/* Creates the replication state of members that have none yet. */
void
consensus_progress_add_missing(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        ConsensusMember *m = g_ptr_array_index(c->members, i);
        if (consensus_progress_of(c, m->id) != NULL) {
            continue;
        }
        Progress *p = g_new0(Progress, 1);
        p->next_index = consensus_last_index(c) + 1;
        p->acked_us = now_us;
        g_hash_table_insert(c->progress, g_strdup(m->id), p);
    }
}

/* Applies the member list of a log entry; called as soon as the entry is in
 * the log. */
void
consensus_members_apply(Consensus *c, uint64_t now_us, const ConsensusEntry *e)
{
    members_read_entry(e, c->members);
    c->members_index = e->index;
    if (c->role == kConsensusLeader) {
        consensus_progress_add_missing(c, now_us);
    }
    c->port.members_changed(c->port.ctx, c->members);
}

/* Replaces the content of out by the member list in force at a log index that
 * is not below the snapshot's.  Returns the index of that list. */
uint64_t
consensus_members_at(const Consensus *c, uint64_t index, GPtrArray *out)
{
    for (uint64_t i = index; i > c->offset; i--) {
        const ConsensusEntry *e = consensus_log_entry(c, i);
        if (consensus_entry_kind(e) == kEntryMembers) {
            members_read_entry(e, out);
            return i;
        }
    }
    consensus_members_copy(c->snapshot_members, out);
    return c->snapshot_members_index;
}

/* Applies the last member list in the log, or the list of the snapshot if the
 * log has none.  Must be called after a truncation and after loading the
 * log. */
void
consensus_members_recompute(Consensus *c, uint64_t now_us)
{
    c->members_index =
        consensus_members_at(c, consensus_last_index(c), c->members);
    if (c->role == kConsensusLeader) {
        consensus_progress_add_missing(c, now_us);
    }
    c->port.members_changed(c->port.ctx, c->members);
}

/* Keeps the number of voters odd: learners become voters only as
 * voter_policy.h allows.  Without this call every learner becomes one. */
void
consensus_keep_odd_voters(Consensus *c)
{
    c->odd_voters = TRUE;
}

/* Returns whether a voter has not replied to this leader for
 * kVoterUnresponsiveUs. */
static gboolean
has_unresponsive_voter(Consensus *c, uint64_t now_us)
{
    for (guint i = 0; i < c->members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(c->members, i);
        const Progress *p = consensus_progress_of(c, m->id);
        if (m->voter && strcmp(m->id, c->id) != 0 && p != NULL &&
            now_us - p->acked_us > kVoterUnresponsiveUs) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether another voter is wanted. */
static gboolean
may_promote(Consensus *c, uint64_t now_us)
{
    return !c->odd_voters ||
           voter_policy_promote(consensus_voter_count(c), c->members->len,
                                has_unresponsive_voter(c, now_us));
}

/* Returns whether a change of the member list is not committed yet, or the
 * leader has not committed an entry of its own term: an earlier leader's
 * change may still be in the log of some members, and then two lists, each of
 * one change, could have majorities that do not overlap. */
static gboolean
membership_change_pending(const Consensus *c)
{
    return c->members_index > c->commit_index ||
           c->commit_index < c->term_start_index;
}

/* Proposes to make the member from a voter, if it is a learner that has all
 * committed entries, another voter is wanted and no other membership change is
 * pending.  p is its replication state. */
void
consensus_promote_learner(Consensus *c, uint64_t now_us, const char *from,
                          const Progress *p)
{
    ConsensusMember *m = consensus_member_find(c, from);
    if (m == NULL || m->voter || p->match_index < c->commit_index ||
        membership_change_pending(c) || !may_promote(c, now_us)) {
        return;
    }
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    consensus_members_copy(c->members, changed);
    for (guint i = 0; i < changed->len; i++) {
        ConsensusMember *n = g_ptr_array_index(changed, i);
        n->voter = n->voter || strcmp(n->id, from) == 0;
    }
    consensus_log_append(
        c, now_us,
        consensus_entry_new(consensus_last_index(c) + 1, c->term,
                            consensus_members_entry(changed)));
    g_ptr_array_unref(changed);
}

/* Returns whether the member list may change now; otherwise sets error.  This
 * instance must lead and must have committed an entry of its term, and the
 * last change must be committed. */
static gboolean
members_may_change(const Consensus *c, GError **error)
{
    if (c->role != kConsensusLeader) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            "this control instance does not lead");
        return FALSE;
    }
    if (membership_change_pending(c)) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorConflict,
                            "an earlier membership change is under way");
        return FALSE;
    }
    return TRUE;
}

/* Appends a member list to the leader's log and replicates it. */
static void
propose_members(Consensus *c, uint64_t now_us, const GPtrArray *changed)
{
    consensus_log_append(
        c, now_us,
        consensus_entry_new(consensus_last_index(c) + 1, c->term,
                            consensus_members_entry(changed)));
    consensus_replicate_idle(c, now_us);
}

/* Adds a control instance as a learner; it becomes a voter automatically
 * once it has all committed entries.  Returns FALSE with kCoreErrorInvalid
 * if this instance does not lead, and with kCoreErrorConflict while another
 * change is pending or if the id is already a member. */
gboolean
consensus_member_add(Consensus *c, uint64_t now_us,
                     const ConsensusMember *member, GError **error)
{
    if (!members_may_change(c, error)) {
        return FALSE;
    }
    if (consensus_member_find(c, member->id) != NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorConflict,
                    "%s is a member; remove it first", member->id);
        return FALSE;
    }
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    consensus_members_copy(c->members, changed);
    g_ptr_array_add(changed,
                    consensus_member_new(member->id, member->disk,
                                         member->peer_address,
                                         member->failure_domain, FALSE));
    propose_members(c, now_us, changed);
    g_ptr_array_unref(changed);
    return TRUE;
}

/* Removes a control instance.  Returns FALSE with kCoreErrorInvalid if this
 * instance does not lead, with kCoreErrorConflict while another change is
 * pending, and with kCoreErrorNotFound if id is not a member or is the last
 * voter. */
gboolean
consensus_member_remove(Consensus *c, uint64_t now_us, const char *id,
                        GError **error)
{
    ConsensusMember *m = consensus_member_find(c, id);
    if (!members_may_change(c, error)) {
        return FALSE;
    }
    if (m == NULL || (m->voter && consensus_voter_count(c) == 1)) {
        g_set_error(error, CORE_ERROR, kCoreErrorNotFound,
                    "%s is not a member that can be removed", id);
        return FALSE;
    }
    /* id may point into the current member list, which the change frees. */
    char *removed = g_strdup(id);
    GPtrArray *changed = g_ptr_array_new_with_free_func(consensus_member_free);
    consensus_members_copy(c->members, changed);
    for (guint i = 0; i < changed->len; i++) {
        ConsensusMember *each = g_ptr_array_index(changed, i);
        if (strcmp(each->id, removed) == 0) {
            g_ptr_array_remove_index(changed, i);
            break;
        }
    }
    propose_members(c, now_us, changed);
    g_ptr_array_unref(changed);
    g_hash_table_remove(c->progress, removed);
    g_free(removed);
    return TRUE;
}
