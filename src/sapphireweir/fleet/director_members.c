#include <string.h>

#include "core/hash.h"
#include "fleet/director_internal.h"

/* Automatic membership of control instances.  An instance without contact with
 * a leader sends join requests; the leader adds it as a learner, and it
 * becomes a voter once it has the log.  A member that is unresponsive for
 * kUnresponsiveUs is removed, a voter only if enough other voters remain.  An
 * instance that lost its disk joins again with a new disk identity; its old
 * membership is removed first. */

enum {
    kJoinAfterUs = 600000, /* without contact with a leader */
    kJoinIntervalUs = 300000,
    kRemovalIntervalUs = 500000,
    kUnresponsiveUs = 4500000, /* longer than a restart takes */
    kMinVoters = 3,
};

/* Sends a join request to every known control instance. */
static void
send_join_requests(Director *d)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__JoinRequest m = SW__JOIN_REQUEST__INIT;
    GHashTableIter it;
    void *peer;

    m.disk = (char *)d->config.disk;
    m.failure_domain = d->failure_domain;
    frame.body_case = SW__FRAME__BODY_JOIN_REQUEST;
    frame.join_request = &m;
    g_hash_table_iter_init(&it, d->peers);
    while (g_hash_table_iter_next(&it, &peer, NULL)) {
        d->port.send(d->port.ctx, peer, &frame);
    }
}

/* Returns a hash of the list of control instances, whatever its order. */
static uint64_t
members_hash(const GPtrArray *members)
{
    uint64_t hash = 0;

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *each = g_ptr_array_index(members, i);
        hash += hash_text(each->id, 1);
    }
    return hash;
}

/* Replies to the report of an entry instance: with the list of control
 * instances if it has another one, else, unless this instance leads and sends
 * a grant, with an empty message that only shows the contact. */
void
members_reply(Director *d, const EntryState *entry)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;

    if (entry->controls_hash !=
        members_hash(consensus_members(d->consensus))) {
        members_send(d, entry->id);
        return;
    }
    if (!director_is_leader(d)) {
        frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
        frame.entry_grant = &m;
        d->port.send(d->port.ctx, entry->id, &frame);
    }
}

/* Sends the list of control instances to another instance, as a grant without
 * a lease. */
void
members_send(Director *d, const char *to)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    const GPtrArray *members = consensus_members(d->consensus);
    GPtrArray *list = g_ptr_array_new();

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *each = g_ptr_array_index(members, i);
        g_ptr_array_add(list, each->id);
    }
    m.n_controls = list->len;
    m.controls = (char **)list->pdata;
    m.controls_hash = members_hash(members);
    m.document_version = d->document_version;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    d->port.send(d->port.ctx, to, &frame);
    g_ptr_array_unref(list);
}

/* Writes a membership event to the event log. */
static void
log_member(const Director *d, uint64_t now_us, const char *id,
           const char *event)
{
    EventLine line;

    event_begin(&line, d->config.events, now_us, kEventMember);
    event_text(&line, "member", id);
    event_text(&line, "what", event);
    event_number(&line, "voters", consensus_voter_count(d->consensus));
    event_end(&line);
}

/* Returns a member of the consensus group, or NULL. */
static const ConsensusMember *
member_by_id(const Director *d, const char *id)
{
    const GPtrArray *members = consensus_members(d->consensus);
    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        if (strcmp(m->id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Handles another control instance's join request.  The leader starts the
 * change of membership; any other instance replies with the list of members,
 * one of which leads. */
void
members_handle_join(Director *d, uint64_t now_us, const char *from,
                    const Sw__JoinRequest *m)
{
    GError *error = NULL;
    gboolean ok;

    director_add_peer(d, from);
    if (!director_is_leader(d)) {
        members_send(d, from);
        return;
    }
    const ConsensusMember *known = member_by_id(d, from);
    if (known != NULL && strcmp(known->disk, m->disk) == 0) {
        return;
    }
    if (known != NULL) {
        log_member(d, now_us, from, "lost its disk, is removed");
        ok = consensus_member_remove(d->consensus, now_us, from, &error);
    }
    else {
        log_member(d, now_us, from, "joins");
        ConsensusMember *member = consensus_member_new(
            from, m->disk, from, m->failure_domain, FALSE);
        ok = consensus_member_add(d->consensus, now_us, member, &error);
        consensus_member_free(member);
    }
    if (!ok) {
        log_member(d, now_us, from, error->message);
        g_error_free(error);
    }
}

/* Removes at most one unresponsive member.  A voter is removed only if more
 * voters exist than max_control_failures requires. */
static void
remove_unresponsive_member(Director *d, uint64_t now_us)
{
    const GPtrArray *members = consensus_members(d->consensus);
    uint32_t required_voters =
        MAX(kMinVoters, 2 * d->config.max_control_failures + 1);
    GError *error = NULL;

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        uint64_t last_seen_us =
            consensus_member_last_seen_us(d->consensus, m->id);
        if (strcmp(m->id, d->id) == 0 || last_seen_us == 0 ||
            now_us - last_seen_us < kUnresponsiveUs) {
            continue;
        }
        if (m->voter &&
            consensus_voter_count(d->consensus) <= required_voters) {
            continue;
        }
        log_member(d, now_us, m->id, "is silent, is removed");
        if (!consensus_member_remove(d->consensus, now_us, m->id, &error)) {
            log_member(d, now_us, d->id, error->message);
            g_error_free(error);
        }
        return;
    }
}

/* Runs the timers of the membership: the leader removes unresponsive members,
 * any other instance sends join requests after kJoinAfterUs without contact
 * with a leader, unless its storage has no room. */
void
members_tick(Director *d, uint64_t now_us)
{
    if (d->led_since_us != 0) {
        if (now_us >= d->next_removal_us) {
            d->next_removal_us = now_us + kRemovalIntervalUs;
            remove_unresponsive_member(d, now_us);
        }
        return;
    }
    if (now_us - d->leader_seen_us < kJoinAfterUs || d->stopping ||
        consensus_no_room(d->consensus) || now_us < d->next_join_us) {
        return;
    }
    d->next_join_us = now_us + kJoinIntervalUs;
    send_join_requests(d);
}
