#include <string.h>

#include "core/control_defs.h"
#include "core/schema.h"

/* Control leases, membership of entry instances, distribution of the state
 * and announcements of backend servers.
 *
 * An entry instance counts its lease from the moment it sent the request,
 * and the leader answers only after a round that began later confirmed it.
 * So a lease proves, without comparing clocks, that the state up to
 * confirmed_index was the latest accepted one at that moment. */

static InstanceTrack *
instance_track(ControlCore *k, const char *id)
{
    InstanceTrack *t = g_hash_table_lookup(k->instances, id);
    if (t == NULL) {
        t = g_new0(InstanceTrack, 1);
        t->id = g_strdup(id);
        g_hash_table_insert(k->instances, t->id, t);
    }
    return t;
}

/* Returns the leader's record of a group member, made when missing. */
MemberTrack *
control_member_track(ControlCore *k, const char *database, const char *member)
{
    char *name = g_strdup_printf("%s/%s", database, member);
    MemberTrack *t = g_hash_table_lookup(k->members, name);
    if (t != NULL) {
        g_free(name);
        return t;
    }
    t = g_new0(MemberTrack, 1);
    g_hash_table_insert(k->members, name, t);
    return t;
}

static uint64_t
present_promotion(const ControlCore *k, const char *database)
{
    char *key = g_strdup_printf("primary/%s", database);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    return r == NULL ? 0 : (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

static void
take_health(ControlCore *k, uint64_t now_us, const Sw__MemberHealth *h)
{
    MemberTrack *t = control_member_track(k, h->database, h->member);
    t->heard_us = now_us;
    t->reachable = h->reachable;
    t->stream_alive = h->stream_alive;
    t->in_recovery = h->in_recovery;
    t->timeline = h->timeline;
    t->position = h->position;
    gboolean fine = h->reachable && (h->stream_alive || !h->in_recovery);
    t->seen_fine = t->seen_fine || fine;
    if (fine) {
        t->failing_since_us = 0;
        return;
    }
    if (t->failing_since_us == 0) {
        promotion_attend(k, h->database);
    }
    /* A new leader need not wait for what the owner has seen already, if
     * the owner knows of the last promotion. */
    uint64_t since_us = now_us;
    if (t->failing_since_us != 0) {
        since_us = t->failing_since_us;
    }
    if (h->promotion == present_promotion(k, h->database)) {
        since_us = MIN(since_us, now_us - MIN(h->failing_us, now_us));
        t->seen_fine = t->seen_fine || h->seen_fine;
    }
    t->failing_since_us = MAX(MAX(since_us, t->forgiven_us), 1);
}

static json_t *
instance_spec(const Sw__LeaseRequest *r)
{
    return json_pack("{s:s, s:s, s:s, s:I, s:b}", "failure_domain",
                     r->failure_domain, "peer_address", r->peer_address,
                     "http_address", r->http_address, "incarnation",
                     (json_int_t)r->incarnation, "draining", r->draining);
}

static gboolean
instance_recorded(const ControlCore *k, const Sw__LeaseRequest *r)
{
    const InstanceInfo *i = instance_view_find(&k->view, r->instance_id);
    return i != NULL && i->incarnation == r->incarnation &&
           i->draining == (r->draining != 0) &&
           strcmp(i->peer_address, r->peer_address) == 0;
}

static void
instance_register(ControlCore *k, uint64_t now_us, InstanceTrack *t,
                  const Sw__LeaseRequest *r)
{
    if (t->proposed_us != 0 && now_us - t->proposed_us < kUpdateResendUs) {
        return;
    }
    char *key = g_strdup_printf("instance/%s", r->instance_id);
    json_t *spec = r->leaving ? NULL : instance_spec(r);
    t->proposed_us = now_us;
    control_propose_quiet(k, now_us, k->id, key, spec, FALSE);
    g_free(key);
}

static void
lease_at_leader(ControlCore *k, uint64_t now_us, const char *from,
                uint64_t request_id, const Sw__LeaseRequest *r)
{
    InstanceTrack *t = instance_track(k, r->instance_id);
    gboolean gone =
        r->leaving && instance_view_find(&k->view, r->instance_id) == NULL;

    if (t->incarnation != r->incarnation) {
        t->incarnation = r->incarnation;
        t->proposed_us = 0;
    }
    t->heard_us = now_us;
    t->applied_index = r->applied_index;
    for (size_t i = 0; i < r->n_health; i++) {
        take_health(k, now_us, r->health[i]);
    }
    if (!gone && (r->leaving || !instance_recorded(k, r))) {
        instance_register(k, now_us, t, r);
    }
    control_wait_read(k, now_us, from, request_id, r, NULL);
}

static void
subscribe(ControlCore *k, uint64_t now_us, const char *id,
          uint64_t applied_index)
{
    Subscriber *s = g_hash_table_lookup(k->subscribers, id);
    if (s == NULL) {
        s = g_new0(Subscriber, 1);
        s->sent_index = applied_index;
        g_hash_table_insert(k->subscribers, g_strdup(id), s);
    }
    s->heard_us = now_us;
    /* What was sent and not applied after a while was lost with a link. */
    if (applied_index < s->sent_index &&
        now_us - s->sent_us > kUpdateResendUs) {
        s->sent_index = applied_index;
    }
    s->sent_index = MAX(s->sent_index, applied_index);
}

/* Takes in a lease request of an entry instance, or passes it on to the
 * leader.  Whoever asks here directly also gets the state from here. */
void
control_lease_request(ControlCore *k, uint64_t now_us, const char *from,
                      uint64_t request_id, const Sw__LeaseRequest *r)
{
    if (!r->forwarded) {
        subscribe(k, now_us, from, r->applied_index);
    }
    if (control_core_leads(k)) {
        lease_at_leader(k, now_us, from, request_id, r);
        return;
    }
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest passed = *r;
    passed.forwarded = TRUE;
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &passed;
    if (!r->forwarded) {
        control_forward(k, now_us, from, &frame);
    }
}

/* Answers a lease request after a round confirmed the leader. */
void
control_lease_confirmed(ControlCore *k, uint64_t now_us, const char *to,
                        uint64_t request_id, const Sw__LeaseRequest *r)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseReply reply = SW__LEASE_REPLY__INIT;
    const InstanceInfo *i = instance_view_find(&k->view, r->instance_id);

    (void)now_us;
    reply.sequence = r->sequence;
    reply.granted = i != NULL && i->incarnation == r->incarnation;
    if (r->leaving) {
        reply.granted = i == NULL;
    }
    reply.confirmed_index = state_index(k->state);
    reply.valid_for_ms =
        (uint32_t)(k->config.lease_us / kMicrosPerMillisecond);
    reply.reason = reply.granted ? (char *)"" : (char *)"joining";
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_LEASE_REPLY;
    frame.lease_reply = &reply;
    k->port.send(k->port.ctx, to, &frame);
}

static void
expire_instances(ControlCore *k, uint64_t now_us, uint64_t silence_us)
{
    GHashTableIter it;
    void *value;
    GPtrArray *expired = g_ptr_array_new();

    g_hash_table_iter_init(&it, k->view.instances);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        InstanceInfo *i = value;
        InstanceTrack *t = instance_track(k, i->id);
        uint64_t heard_us = MAX(t->heard_us, k->led_since_us);
        if (now_us - heard_us > silence_us &&
            now_us - t->proposed_us > kUpdateResendUs) {
            t->proposed_us = now_us;
            g_ptr_array_add(expired, i);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        InstanceInfo *gone = g_ptr_array_index(expired, i);
        char *key = g_strdup_printf("instance/%s", gone->id);
        g_message("instance %s is silent, its lease has run out", gone->id);
        metrics_count(&k->metrics, kMetricMembersExpired);
        control_propose_quiet(k, now_us, k->id, key, NULL, FALSE);
        g_free(key);
    }
    g_ptr_array_unref(expired);
}

/* ---- announcements ---- */

static void
propose_server(ControlCore *k, uint64_t now_us, const char *key,
               const char *address, const char *failure_domain,
               gboolean leaving, gboolean missing)
{
    json_t *spec =
        json_pack("{s:s, s:s, s:b, s:b}", "address", address, "failure_domain",
                  failure_domain, "leaving", leaving, "missing", missing);
    control_propose_quiet(k, now_us, k->id, key, spec, TRUE);
}

static gboolean
server_recorded(const Resource *r, const Sw__Announcement *a)
{
    return r != NULL &&
           strcmp(json_text_or(r->spec, "address", ""), a->address) == 0 &&
           json_flag(r->spec, "leaving") == (a->leaving != 0) &&
           !json_flag(r->spec, "missing");
}

static gboolean
member_declared(const ControlCore *k, const Sw__Announcement *a)
{
    char *key = g_strdup_printf("database/%s", a->database);
    const Resource *r = state_lookup(k->state, key);
    size_t i;
    json_t *member;
    gboolean found = FALSE;

    g_free(key);
    if (r == NULL) {
        return FALSE;
    }
    json_array_foreach(json_object_get(r->spec, "members"), i, member)
    {
        found =
            found || strcmp(json_text_or(member, "id", ""), a->member) == 0;
    }
    return found;
}

/* Takes in an announcement at the leader.  Only a change of what the log
 * has becomes a log entry; members that are not declared are ignored. */
void
control_announcement(ControlCore *k, uint64_t now_us,
                     const Sw__Announcement *a)
{
    if (!member_declared(k, a)) {
        return;
    }
    MemberTrack *t = control_member_track(k, a->database, a->member);
    gboolean repeated = t->announced_us != 0 &&
                        now_us - t->announced_us < kUpdateResendUs / 10;
    char *key = g_strdup_printf("server/%s/%s", a->database, a->member);

    if (!server_recorded(state_lookup(k->state, key), a) && !repeated) {
        propose_server(k, now_us, key, a->address, a->failure_domain,
                       a->leaving, FALSE);
    }
    t->announced_us = now_us;
    g_free(key);
}

static gboolean
server_is_silent(ControlCore *k, uint64_t now_us, const Resource *r)
{
    if (json_flag(r->spec, "missing")) {
        return FALSE;
    }
    MemberTrack *t = g_hash_table_lookup(k->members, resource_name_of(r->key));
    uint64_t heard_us = t == NULL ? 0 : t->announced_us;
    heard_us = MAX(heard_us, k->led_since_us);
    return now_us - heard_us > k->config.announce_silence_us;
}

static void
expire_servers(ControlCore *k, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        if (r->kind != kResourceServer || !server_is_silent(k, now_us, r)) {
            continue;
        }
        char **parts = g_strsplit(resource_name_of(r->key), "/", 2);
        MemberTrack *t = control_member_track(k, parts[0], parts[1]);
        t->announced_us = now_us;
        g_strfreev(parts);
        propose_server(k, now_us, r->key, json_text_or(r->spec, "address", ""),
                       json_text_or(r->spec, "failure_domain", ""),
                       json_flag(r->spec, "leaving"), TRUE);
    }
}

static gboolean
subscriber_gone(void *key, void *value, void *ctx)
{
    (void)key;
    return *(uint64_t *)ctx - ((Subscriber *)value)->heard_us >
           kSubscriberExpiryUs;
}

/* Removes entry instances whose lease has certainly run out, and marks
 * backend servers that stopped announcing themselves.  Leader only. */
void
control_lease_expire(ControlCore *k, uint64_t now_us)
{
    uint64_t silence_us = k->config.lease_us + kTrackMarginUs;

    g_hash_table_foreach_remove(k->subscribers, subscriber_gone, &now_us);
    expire_instances(k, now_us, silence_us);
    expire_servers(k, now_us);
}

/* ---- distribution ---- */

static Sw__Change *
wire_change(const char *key, uint64_t index, uint64_t version,
            const json_t *spec)
{
    Sw__Change *w = g_new(Sw__Change, 1);
    sw__change__init(w);
    w->index = index;
    w->version = version;
    w->key = (char *)key;
    if (spec != NULL) {
        char *text = json_dumps(spec, JSON_COMPACT);
        w->spec.data = (uint8_t *)text;
        w->spec.len = strlen(text);
    }
    return w;
}

static void
fill_full(ControlCore *k, Sw__StateUpdate *u, GPtrArray *changes)
{
    GHashTableIter it;
    void *value;

    u->full = TRUE;
    u->to_index = state_index(k->state);
    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        g_ptr_array_add(changes,
                        wire_change(r->key, r->index, r->version, r->spec));
    }
}

static gboolean
fill_delta(ControlCore *k, uint64_t from, Sw__StateUpdate *u,
           GPtrArray *changes)
{
    GPtrArray *since = g_ptr_array_new();
    gboolean kept = from > 0 && state_changes_since(k->state, from, since) &&
                    since->len <= kUpdateChangesMax;

    u->from_index = from;
    u->to_index = state_index(k->state);
    for (guint i = 0; kept && i < since->len; i++) {
        const StateChange *c = g_ptr_array_index(since, i);
        g_ptr_array_add(changes,
                        wire_change(c->key, c->index, c->version, c->spec));
    }
    g_ptr_array_unref(since);
    return kept;
}

static void
wire_change_free(void *data)
{
    Sw__Change *w = data;
    free(w->spec.data);
    g_free(w);
}

/* A state update in the making; one serves all followers that lack the
 * same changes. */
typedef struct {
    Sw__StateUpdate update;
    GPtrArray *changes; /* Sw__Change, owned */
    uint64_t from;
    gboolean made;
} PreparedUpdate;

static void
prepared_clear(PreparedUpdate *p)
{
    if (p->made) {
        g_ptr_array_unref(p->changes);
        p->made = FALSE;
    }
}

static void
prepare_update(ControlCore *k, PreparedUpdate *p, uint64_t from)
{
    if (p->made && p->from == from) {
        return;
    }
    prepared_clear(p);
    p->changes = g_ptr_array_new_with_free_func(wire_change_free);
    p->from = from;
    p->made = TRUE;
    sw__state_update__init(&p->update);
    if (!fill_delta(k, from, &p->update, p->changes)) {
        fill_full(k, &p->update, p->changes);
    }
    p->update.cluster = (char *)state_cluster(k->state);
    p->update.n_changes = p->changes->len;
    p->update.changes = (Sw__Change **)p->changes->pdata;
}

/* Sends each follower of this instance what it lacks.  Changes that come
 * close together go out together. */
void
control_distribute(ControlCore *k, uint64_t now_us)
{
    uint64_t index = state_index(k->state);
    PreparedUpdate prepared = {.made = FALSE};
    GHashTableIter it;
    void *id;
    void *value;

    /* Without a change, followers are looked at for lost updates only. */
    uint64_t pause_us =
        k->distributed_index == index ? kDistributeIdleUs : kDistributeUs;
    if (now_us - k->distributed_us < pause_us) {
        return;
    }
    k->distributed_us = now_us;
    k->distributed_index = index;
    g_hash_table_iter_init(&it, k->subscribers);
    while (g_hash_table_iter_next(&it, &id, &value)) {
        Subscriber *s = value;
        if (s->sent_index >= index) {
            continue;
        }
        Sw__Frame frame = SW__FRAME__INIT;
        prepare_update(k, &prepared, s->sent_index);
        frame.body_case = SW__FRAME__BODY_STATE_UPDATE;
        frame.state_update = &prepared.update;
        k->port.send(k->port.ctx, id, &frame);
        s->sent_index = index;
        s->sent_us = now_us;
    }
    prepared_clear(&prepared);
}
