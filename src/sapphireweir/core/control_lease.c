#include <string.h>

#include "core/control_clients.h"
#include "core/control_defs.h"
#include "core/schema.h"

/* Control leases, membership of entry instances, distribution of the state,
 * and announcements of backend servers.
 *
 * An entry instance counts its lease from the time at which it sent the
 * request.  The leader replies only after a consensus round that started
 * later has confirmed its leadership.  A lease therefore proves, without
 * comparing clocks, that the state up to confirmed_index was the latest
 * accepted one when the request was sent. */

/* Returns the tracker of an entry instance; creates it if missing. */
static InstanceTracker *
instance_tracker(ControlCore *k, const char *id)
{
    InstanceTracker *t = g_hash_table_lookup(k->instances, id);
    if (t == NULL) {
        t = g_new0(InstanceTracker, 1);
        t->id = g_strdup(id);
        g_hash_table_insert(k->instances, t->id, t);
    }
    return t;
}

/* Returns the tracker of a group member; creates it if missing. */
MemberTracker *
control_member_tracker(ControlCore *k, const char *database,
                       const char *member)
{
    char *name = g_strdup_printf("%s/%s", database, member);
    MemberTracker *t = g_hash_table_lookup(k->members, name);
    if (t != NULL) {
        g_free(name);
        return t;
    }
    t = g_new0(MemberTracker, 1);
    g_hash_table_insert(k->members, name, t);
    return t;
}

/* Returns the number of the latest promotion of a database, zero if none. */
static uint64_t
current_promotion(const ControlCore *k, const char *database)
{
    char *key = g_strdup_printf("primary/%s", database);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    return r == NULL ? 0 : (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

/* Records the health of a group member as reported by the owner of its
 * connections. */
static void
record_health(ControlCore *k, uint64_t now_us, const Sw__MemberHealth *h)
{
    MemberTracker *t = control_member_tracker(k, h->database, h->member);
    t->last_seen_us = now_us;
    t->reachable = h->reachable;
    t->stream_alive = h->stream_alive;
    t->in_recovery = h->in_recovery;
    t->timeline = h->timeline;
    t->position = h->position;
    gboolean healthy = h->reachable && (h->stream_alive || !h->in_recovery);
    t->was_healthy = t->was_healthy || healthy;
    if (healthy) {
        t->failing_since_us = 0;
        return;
    }
    if (t->failing_since_us == 0) {
        promotion_mark_urgent(k, h->database);
    }
    /* If the report refers to the latest promotion, the time for which the
     * owner has seen the member fail is included, so that a new leader does
     * not wait for suspect_after_us again. */
    uint64_t since_us = now_us;
    if (t->failing_since_us != 0) {
        since_us = t->failing_since_us;
    }
    if (h->promotion == current_promotion(k, h->database)) {
        since_us = MIN(since_us, now_us - MIN(h->failing_us, now_us));
        t->was_healthy = t->was_healthy || h->seen_fine;
    }
    t->failing_since_us = MAX(MAX(since_us, t->faults_counted_from_us), 1);
}

/* Returns the spec of an entry instance for the replicated state; the caller
 * owns it. */
static json_t *
instance_spec(const Sw__LeaseRequest *r)
{
    return json_pack("{s:s, s:s, s:s, s:I, s:b}", "failure_domain",
                     r->failure_domain, "peer_address", r->peer_address,
                     "http_address", r->http_address, "incarnation",
                     (json_int_t)r->incarnation, "draining", r->draining);
}

/* Returns whether the replicated state agrees with the data of a lease
 * request. */
static gboolean
instance_recorded(const ControlCore *k, const Sw__LeaseRequest *r)
{
    const InstanceInfo *i = instance_view_find(&k->view, r->instance_id);
    return i != NULL && i->incarnation == r->incarnation &&
           i->draining == (r->draining != 0) &&
           strcmp(i->peer_address, r->peer_address) == 0;
}

/* Proposes the resource of an entry instance, or its removal if the instance
 * leaves.  Does nothing within kResendIntervalUs of the last proposal. */
static void
propose_instance(ControlCore *k, uint64_t now_us, InstanceTracker *t,
                 const Sw__LeaseRequest *r)
{
    if (t->proposed_us != 0 && now_us - t->proposed_us < kResendIntervalUs) {
        return;
    }
    char *key = g_strdup_printf("instance/%s", r->instance_id);
    json_t *spec = r->leaving ? NULL : instance_spec(r);
    t->proposed_us = now_us;
    control_propose_change(k, now_us, k->id, key, spec, FALSE);
    g_free(key);
}

/* Handles a lease request on the leader.  The reply is sent by
 * control_reply_lease after a consensus round. */
static void
handle_lease_as_leader(ControlCore *k, uint64_t now_us, const char *from,
                       uint64_t request_id, const Sw__LeaseRequest *r)
{
    InstanceTracker *t = instance_tracker(k, r->instance_id);
    gboolean removed =
        r->leaving && instance_view_find(&k->view, r->instance_id) == NULL;

    if (t->incarnation != r->incarnation) {
        t->incarnation = r->incarnation;
        t->proposed_us = 0;
    }
    t->last_seen_us = now_us;
    t->applied_index = r->applied_index;
    if (r->clients != NULL) {
        control_clients_copy(&t->clients, r->clients);
    }
    for (size_t i = 0; i < r->n_health; i++) {
        record_health(k, now_us, r->health[i]);
    }
    if (!removed && (r->leaving || !instance_recorded(k, r))) {
        propose_instance(k, now_us, t, r);
    }
    control_queue_read(k, now_us, from, request_id, r, NULL);
}

/* Adds or updates a subscriber whose copy of the state is at
 * applied_index. */
static void
subscribe(ControlCore *k, uint64_t now_us, const char *id,
          uint64_t applied_index)
{
    Subscriber *s = g_hash_table_lookup(k->subscribers, id);
    if (s == NULL) {
        s = g_new0(Subscriber, 1);
        s->sent_index = applied_index;
        s->progress_us = now_us;
        g_hash_table_insert(k->subscribers, g_strdup(id), s);
    }
    s->last_seen_us = now_us;
    if (applied_index != s->applied_index || applied_index >= s->sent_index) {
        s->progress_us = now_us;
    }
    s->applied_index = applied_index;
    /* Without progress for kResendIntervalUs an update counts as lost together
     * with its connection, and so do those behind it, which the subscriber
     * cannot apply. */
    if (applied_index < s->sent_index &&
        now_us - s->progress_us > kResendIntervalUs) {
        s->sent_index = applied_index;
        s->progress_us = now_us;
    }
    s->sent_index = MAX(s->sent_index, applied_index);
}

/* Handles a lease request of an entry instance, or forwards it if this
 * instance does not lead.  An entry instance that sends its requests to this
 * instance directly also receives its state updates from here.  Without room
 * in the storage there are none, so its requests get no reply and it follows
 * another control instance. */
void
control_handle_lease_request(ControlCore *k, uint64_t now_us, const char *from,
                             uint64_t request_id, const Sw__LeaseRequest *r)
{
    if (consensus_no_room(k->consensus)) {
        return;
    }
    if (!r->forwarded) {
        subscribe(k, now_us, from, r->applied_index);
    }
    if (control_core_leads(k)) {
        handle_lease_as_leader(k, now_us, from, request_id, r);
        return;
    }
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest copy = *r;
    copy.forwarded = TRUE;
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &copy;
    if (!r->forwarded) {
        control_forward(k, now_us, from, &frame);
    }
}

/* Replies to a lease request; called after a consensus round has confirmed
 * that this instance leads.  Grants the lease once the replicated state has
 * the instance with its incarnation; for an instance that leaves, once the
 * state no longer has it. */
void
control_reply_lease(ControlCore *k, uint64_t now_us, const char *to,
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

/* Removes entry instances without contact for longer than timeout_us. */
static void
expire_instances(ControlCore *k, uint64_t now_us, uint64_t timeout_us)
{
    GHashTableIter it;
    void *value;
    GPtrArray *expired = g_ptr_array_new();

    g_hash_table_iter_init(&it, k->view.instances);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        InstanceInfo *i = value;
        InstanceTracker *t = instance_tracker(k, i->id);
        uint64_t last_seen_us = MAX(t->last_seen_us, k->leader_since_us);
        if (now_us - last_seen_us > timeout_us &&
            now_us - t->proposed_us > kResendIntervalUs) {
            t->proposed_us = now_us;
            g_ptr_array_add(expired, i);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        InstanceInfo *instance = g_ptr_array_index(expired, i);
        char *key = g_strdup_printf("instance/%s", instance->id);
        g_message("instance %s sent no lease request; its lease has expired",
                  instance->id);
        metrics_count(&k->metrics, kMetricInstancesExpired);
        control_propose_change(k, now_us, k->id, key, NULL, FALSE);
        g_free(key);
    }
    g_ptr_array_unref(expired);
}

/* ---- announcements ---- */

/* Proposes the resource of a backend server. */
static void
propose_server(ControlCore *k, uint64_t now_us, const char *key,
               const char *address, const char *failure_domain,
               gboolean leaving, gboolean missing)
{
    json_t *spec =
        json_pack("{s:s, s:s, s:b, s:b}", "address", address, "failure_domain",
                  failure_domain, "leaving", leaving, "missing", missing);
    control_propose_change(k, now_us, k->id, key, spec, TRUE);
}

/* Returns whether the resource r of a backend server agrees with an
 * announcement; r may be NULL. */
static gboolean
server_recorded(const Resource *r, const Sw__Announcement *a)
{
    return r != NULL &&
           strcmp(json_text_or(r->spec, "address", ""), a->address) == 0 &&
           json_flag(r->spec, "leaving") == (a->leaving != 0) &&
           !json_flag(r->spec, "missing");
}

/* Returns whether the database of an announcement lists its member. */
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

/* Handles an announcement of a backend server; must be called on the leader
 * only.  Proposes a change only if the announcement differs from the
 * replicated state.  Ignores a member that the database does not list. */
void
control_handle_announcement(ControlCore *k, uint64_t now_us,
                            const Sw__Announcement *a)
{
    if (!member_declared(k, a)) {
        return;
    }
    MemberTracker *t = control_member_tracker(k, a->database, a->member);
    gboolean repeated = t->last_announced_us != 0 &&
                        now_us - t->last_announced_us < kResendIntervalUs / 10;
    char *key = g_strdup_printf("server/%s/%s", a->database, a->member);

    if (!server_recorded(state_lookup(k->state, key), a) && !repeated) {
        propose_server(k, now_us, key, a->address, a->failure_domain,
                       a->leaving, FALSE);
    }
    t->last_announced_us = now_us;
    g_free(key);
}

/* Returns whether a backend server is not marked as missing yet and has sent
 * no announcement for announcement_timeout_us. */
static gboolean
server_expired(ControlCore *k, uint64_t now_us, const Resource *r)
{
    if (json_flag(r->spec, "missing")) {
        return FALSE;
    }
    MemberTracker *t =
        g_hash_table_lookup(k->members, resource_name_of(r->key));
    uint64_t last_seen_us = t == NULL ? 0 : t->last_announced_us;
    last_seen_us = MAX(last_seen_us, k->leader_since_us);
    return now_us - last_seen_us > k->config.announcement_timeout_us;
}

/* Marks expired backend servers as missing. */
static void
expire_servers(ControlCore *k, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        if (r->kind != kResourceServer || !server_expired(k, now_us, r)) {
            continue;
        }
        char **parts = g_strsplit(resource_name_of(r->key), "/", 2);
        MemberTracker *t = control_member_tracker(k, parts[0], parts[1]);
        t->last_announced_us = now_us;
        g_strfreev(parts);
        propose_server(k, now_us, r->key, json_text_or(r->spec, "address", ""),
                       json_text_or(r->spec, "failure_domain", ""),
                       json_flag(r->spec, "leaving"), TRUE);
    }
}

static gboolean
subscriber_expired(void *key, void *value, void *ctx)
{
    (void)key;
    return *(uint64_t *)ctx - ((Subscriber *)value)->last_seen_us >
           kSubscriberTimeoutUs;
}

/* Removes entry instances whose lease expired more than kLeaseExpiryMarginUs
 * ago, and subscribers without contact; marks backend servers without
 * announcements as missing.  Must be called on the leader only. */
void
control_expire_leases(ControlCore *k, uint64_t now_us)
{
    uint64_t timeout_us = k->config.lease_us + kLeaseExpiryMarginUs;

    g_hash_table_foreach_remove(k->subscribers, subscriber_expired, &now_us);
    expire_instances(k, now_us, timeout_us);
    expire_servers(k, now_us);
}

/* ---- distribution ---- */

/* Returns a change as a message that refers to key and owns its spec; free it
 * with wire_change_free. */
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

/* Fills an update with the full state. */
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

/* Fills an update with the changes after an index.  Returns FALSE if there are
 * too many changes or some are no longer available. */
static gboolean
fill_delta(ControlCore *k, uint64_t from, Sw__StateUpdate *u,
           GPtrArray *changes)
{
    GPtrArray *since = g_ptr_array_new();
    gboolean usable = from > 0 && state_changes_since(k->state, from, since) &&
                      since->len <= kUpdateChangesMax;

    u->from_index = from;
    u->to_index = state_index(k->state);
    for (guint i = 0; usable && i < since->len; i++) {
        const StateChange *c = g_ptr_array_index(since, i);
        g_ptr_array_add(changes,
                        wire_change(c->key, c->index, c->version, c->spec));
    }
    g_ptr_array_unref(since);
    return usable;
}

static void
wire_change_free(void *data)
{
    Sw__Change *w = data;
    free(w->spec.data);
    g_free(w);
}

/* A state update, shared by all subscribers that lack the same changes. */
typedef struct {
    Sw__StateUpdate update;
    GPtrArray *changes; /* Sw__Change, owned */
    uint64_t from;      /* log index after which the changes begin */
    gboolean built;     /* update and changes are filled */
} PreparedUpdate;

static void
prepared_clear(PreparedUpdate *p)
{
    if (p->built) {
        g_ptr_array_unref(p->changes);
        p->built = FALSE;
    }
}

/* Builds the update with the changes after an index, unless p already holds
 * it. */
static void
prepare_update(ControlCore *k, PreparedUpdate *p, uint64_t from)
{
    if (p->built && p->from == from) {
        return;
    }
    prepared_clear(p);
    p->changes = g_ptr_array_new_with_free_func(wire_change_free);
    p->from = from;
    p->built = TRUE;
    sw__state_update__init(&p->update);
    if (!fill_delta(k, from, &p->update, p->changes)) {
        fill_full(k, &p->update, p->changes);
    }
    p->update.cluster = (char *)state_cluster(k->state);
    p->update.n_changes = p->changes->len;
    p->update.changes = (Sw__Change **)p->changes->pdata;
}

/* Sends each subscriber the changes that it lacks, at most once in
 * kDistributeIntervalUs, so that changes close together share an update. */
void
control_distribute(ControlCore *k, uint64_t now_us)
{
    uint64_t index = state_index(k->state);
    PreparedUpdate prepared = {.built = FALSE};
    GHashTableIter it;
    void *id;
    void *value;

    /* Without a new change, only lost updates and new subscribers need an
     * update. */
    uint64_t interval_us = k->distributed_index == index
                               ? kDistributeIdleIntervalUs
                               : kDistributeIntervalUs;
    if (now_us - k->last_distributed_us < interval_us) {
        return;
    }
    k->last_distributed_us = now_us;
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
        if (s->sent_index == s->applied_index) {
            s->progress_us = now_us;
        }
        s->sent_index = index;
    }
    prepared_clear(&prepared);
}
