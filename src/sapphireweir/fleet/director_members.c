#include <string.h>

#include "fleet/director_internal.h"

/* Control instances that come and go by themselves.  An instance that hears
 * of no leader and is no member asks to join; it becomes a voter once it
 * holds the log.  A voter that is silent for long is removed as soon as
 * enough others vote.  One that lost its disk comes back under a new disk
 * identity and replaces its former self. */

enum {
    kJoinAfterUs = 600000, /* without news of a leader */
    kJoinEveryUs = 300000,
    kTrimEveryUs = 500000,
    kSilentUs = 4500000, /* longer than a restart */
    kVotersMin = 3,
};

static void
join_ask(Director *d)
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

/* Tells another instance which control instances there are. */
void
members_tell(Director *d, const char *to)
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
    m.document_version = d->document_version;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    d->port.send(d->port.ctx, to, &frame);
    g_ptr_array_unref(list);
}

static void
log_member(const Director *d, uint64_t now_us, const char *id,
           const char *what)
{
    EventLine line;

    event_begin(&line, d->config.events, now_us, kEventMember);
    event_text(&line, "member", id);
    event_text(&line, "what", what);
    event_number(&line, "voters", consensus_voter_count(d->consensus));
    event_end(&line);
}

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

/* Takes in another control instance's wish to join. */
void
members_join(Director *d, uint64_t now_us, const char *from,
             const Sw__JoinRequest *m)
{
    GError *error = NULL;
    gboolean ok;

    director_seed(d, from);
    if (!director_leads(d)) {
        members_tell(d, from);
        return;
    }
    const ConsensusMember *present = member_by_id(d, from);
    if (present != NULL && strcmp(present->disk, m->disk) == 0) {
        return;
    }
    if (present != NULL) {
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

/* Removes one member that has been silent for long, if enough are left. */
static void
trim(Director *d, uint64_t now_us)
{
    const GPtrArray *members = consensus_members(d->consensus);
    uint32_t wanted = MAX(kVotersMin, 2 * d->config.losses + 1);
    GError *error = NULL;

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        uint64_t heard_us = consensus_member_last_seen_us(d->consensus, m->id);
        if (strcmp(m->id, d->id) == 0 || heard_us == 0 ||
            now_us - heard_us < kSilentUs) {
            continue;
        }
        if (m->voter && consensus_voter_count(d->consensus) <= wanted) {
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

/* Lets time pass for the membership. */
void
members_tick(Director *d, uint64_t now_us)
{
    if (d->led_since_us != 0) {
        if (now_us >= d->trim_due_us) {
            d->trim_due_us = now_us + kTrimEveryUs;
            trim(d, now_us);
        }
        return;
    }
    if (now_us - d->leader_heard_us < kJoinAfterUs || d->stopping ||
        now_us < d->join_due_us) {
        return;
    }
    d->join_due_us = now_us + kJoinEveryUs;
    join_ask(d);
}
