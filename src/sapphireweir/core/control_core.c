#include "core/control_core.h"

#include <string.h>

#include "core/control_clients.h"
#include "core/control_defs.h"
#include "core/error.h"
#include "core/message.h"
#include "core/schema.h"

static void
instance_tracker_free(void *data)
{
    InstanceTracker *t = data;
    g_free(t->id);
    g_free(t);
}

static void
forward_free(void *data)
{
    Forward *f = data;
    g_free(f->origin);
    g_free(f);
}

static void
pending_read_free(void *data)
{
    PendingRead *p = data;
    if (p->lease != NULL) {
        sw__lease_request__free_unpacked(p->lease, NULL);
    }
    if (p->admin != NULL) {
        sw__admin_request__free_unpacked(p->admin, NULL);
    }
    g_free(p->to);
    g_free(p);
}

static void
pending_change_free(void *data)
{
    PendingChange *p = data;
    g_free(p->to);
    g_free(p);
}

/* ---- callbacks of ConsensusPort ---- */

/* Sends a consensus message to another control instance. */
static void
port_send_consensus(void *ctx, const char *to, const Sw__ConsensusMessage *m)
{
    ControlCore *k = ctx;
    Sw__Frame frame = SW__FRAME__INIT;

    frame.body_case = SW__FRAME__BODY_CONSENSUS;
    frame.consensus = (Sw__ConsensusMessage *)m;
    k->port.send(k->port.ctx, to, &frame);
}

/* Records the start, or with ended the end, of an evacuation. */
static void
update_evacuation(ControlCore *k, uint64_t now_us, const char *domain,
                  gboolean ended)
{
    if (ended) {
        g_hash_table_remove(k->evacuated, domain);
        g_message("failure domain %s is restored", domain);
        return;
    }
    if (!g_hash_table_contains(k->evacuated, domain)) {
        uint64_t *since_us = g_new(uint64_t, 1);
        *since_us = MAX(now_us, 1);
        g_hash_table_insert(k->evacuated, g_strdup(domain), since_us);
        g_message("failure domain %s is evacuated", domain);
    }
}

/* Updates the data derived from the state after a resource has changed to
 * spec; NULL if it was deleted. */
static void
update_derived(ControlCore *k, uint64_t now_us, const char *key,
               const json_t *spec)
{
    ResourceKind kind;
    if (!resource_kind_of(key, &kind)) {
        return;
    }
    if (kind == kResourceDatabase) {
        g_clear_pointer(&k->databases, g_ptr_array_unref);
    }
    if (kind == kResourceServer || kind == kResourcePrimary) {
        char *database = g_strndup(resource_name_of(key),
                                   strcspn(resource_name_of(key), "/"));
        promotion_mark_urgent(k, database);
        g_free(database);
    }
    if (kind == kResourceEvacuation) {
        update_evacuation(k, now_us, resource_name_of(key), spec == NULL);
    }
    if (kind != kResourceInstance) {
        return;
    }
    instance_view_set(&k->view, resource_name_of(key), spec);
    if (spec != NULL) {
        k->port.peer_address(k->port.ctx, resource_name_of(key),
                             json_text_or(spec, "peer_address", ""));
    }
}

/* Updates the data derived from the state for all changes after a log
 * index. */
static void
update_derived_since(ControlCore *k, uint64_t now_us, uint64_t index)
{
    GPtrArray *changes = g_ptr_array_new();
    state_changes_since(k->state, index, changes);
    for (guint i = 0; i < changes->len; i++) {
        StateChange *c = g_ptr_array_index(changes, i);
        update_derived(k, now_us, c->key, c->spec);
    }
    g_ptr_array_unref(changes);
}

/* Applies a committed command to the state, and replies to the operator who
 * waits for it. */
static void
port_apply(void *ctx, uint64_t now_us, uint64_t index, uint64_t term,
           GBytes *command)
{
    ControlCore *k = ctx;
    size_t size;
    const char *text = g_bytes_get_data(command, &size);
    json_t *parsed = json_loadb(text, size, 0, NULL);
    uint64_t before = state_index(k->state);

    StateOutcome outcome = state_apply(k->state, index, parsed);
    metrics_count(&k->metrics, kMetricCommits);
    update_derived_since(k, now_us, before);
    control_reply_admin_change(k, index, term, &outcome);
    json_decref(outcome.body);
    json_decref(parsed);
}

/* Returns the state as text for a snapshot. */
static GBytes *
port_dump(void *ctx)
{
    ControlCore *k = ctx;
    char *text = state_dump(k->state);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

/* Returns whether the state has no evacuation of a domain. */
static gboolean
evacuation_ended(void *domain, void *since_us, void *ctx)
{
    ControlCore *k = ctx;
    char *key = g_strconcat("evacuation/", (char *)domain, NULL);
    gboolean ended = state_lookup(k->state, key) == NULL;

    (void)since_us;
    g_free(key);
    return ended;
}

/* Rebuilds all data derived from the state. */
static void
rebuild_derived(ControlCore *k, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_remove_all(k->view.instances);
    g_clear_pointer(&k->databases, g_ptr_array_unref);
    g_hash_table_foreach_remove(k->evacuated, evacuation_ended, k);
    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        update_derived(k, now_us, r->key, r->spec);
    }
}

/* Replaces the state by the text of a snapshot. */
static gboolean
port_restore(void *ctx, uint64_t now_us, GBytes *state, GError **error)
{
    ControlCore *k = ctx;
    size_t size;
    const char *text = g_bytes_get_data(state, &size);

    if (!state_load(k->state, text, size, error)) {
        return FALSE;
    }
    rebuild_derived(k, now_us);
    return TRUE;
}

static uint64_t
port_random(void *ctx)
{
    ControlCore *k = ctx;
    return k->port.random(k->port.ctx);
}

/* Passes the addresses of the other control instances to the driver. */
static void
port_members_changed(void *ctx, const GPtrArray *members)
{
    ControlCore *k = ctx;
    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        if (strcmp(m->id, k->id) != 0) {
            k->port.peer_address(k->port.ctx, m->id, m->peer_address);
        }
    }
}

/* Creates a control instance with copies of the strings of config; free it
 * with control_core_free. */
ControlCore *
control_core_new(const ControlConfig *config, const ControlPort *port)
{
    ControlCore *k = g_new0(ControlCore, 1);
    ConsensusPort consensus_port = {
        .ctx = k,
        .send = port_send_consensus,
        .apply = port_apply,
        .dump = port_dump,
        .restore = port_restore,
        .random = port_random,
        .members_changed = port_members_changed,
        .storage = port->storage,
    };

    k->id = g_strdup(config->id);
    k->failure_domain = g_strdup(config->failure_domain);
    k->config = *config;
    k->port = *port;
    k->state = state_new(config->cluster);
    k->consensus = consensus_new(config->id, config->disk, &config->timing,
                                 &consensus_port);
    instance_view_init(&k->view);
    k->controls =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sw__client_pressure__init(&k->clients);
    k->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         instance_tracker_free);
    k->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    k->subscribers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    k->promotions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          promotion_tracker_free);
    k->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    k->urgent_databases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    k->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        forward_free);
    g_queue_init(&k->pending_reads);
    g_queue_init(&k->pending_changes);
    return k;
}

/* Frees the instance; its persistent state remains in the storage. */
void
control_core_free(ControlCore *k)
{
    g_queue_clear_full(&k->pending_reads, pending_read_free);
    g_queue_clear_full(&k->pending_changes, pending_change_free);
    g_hash_table_destroy(k->forwards);
    g_hash_table_destroy(k->urgent_databases);
    g_clear_pointer(&k->databases, g_ptr_array_unref);
    g_hash_table_destroy(k->promotions);
    g_hash_table_destroy(k->evacuated);
    g_hash_table_destroy(k->subscribers);
    g_hash_table_destroy(k->members);
    g_hash_table_destroy(k->instances);
    g_hash_table_destroy(k->controls);
    instance_view_clear(&k->view);
    consensus_free(k->consensus);
    state_free(k->state);
    g_free(k->failure_domain);
    g_free(k->id);
    g_free(k);
}

/* Starts the consensus from the saved state; see consensus_start for
 * bootstrap and errors. */
gboolean
control_core_start(ControlCore *k, uint64_t now_us,
                   const ConsensusSaved *saved, const GPtrArray *bootstrap,
                   GError **error)
{
    /* A former process forwarded fewer requests than microseconds passed, so
     * that a reply to one of these has another number. */
    k->last_forward_id = now_us;
    return consensus_start(k->consensus, now_us, saved, bootstrap, error);
}

/* ---- proposals and replies ---- */

/* Sends a reply to an operator; takes ownership of body.  status is an HTTP
 * status. */
void
control_reply_admin(ControlCore *k, const char *to, uint64_t request_id,
                    uint32_t status, json_t *body)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminReply reply = SW__ADMIN_REPLY__INIT;
    char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);

    reply.status = status;
    reply.body.data = (uint8_t *)text;
    reply.body.len = strlen(text);
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REPLY;
    frame.admin_reply = &reply;
    k->port.send(k->port.ctx, to, &frame);
    free(text);
    json_decref(body);
}

/* Proposes a command and takes ownership of it.  Returns its log index, or
 * zero if this instance cannot propose now. */
uint64_t
control_propose(ControlCore *k, uint64_t now_us, json_t *command)
{
    char *text = json_dumps(command, JSON_COMPACT);
    GBytes *bytes = g_bytes_new_with_free_func(text, strlen(text), free, text);
    uint64_t index = consensus_propose(k->consensus, now_us, bytes);

    g_bytes_unref(bytes);
    json_decref(command);
    return index;
}

/* Proposes a change of one resource on behalf of the control instance itself.
 * Takes ownership of spec; NULL deletes the resource.  The change is entered
 * in the audit trail only if audited is TRUE.  Returns FALSE if this instance
 * cannot propose now. */
gboolean
control_propose_change(ControlCore *k, uint64_t now_us, const char *actor,
                       const char *key, json_t *spec, gboolean audited)
{
    json_t *change = json_pack("{s:s, s:o?}", "key", key, "spec", spec);
    int64_t wall_us = (int64_t)now_us + k->config.wall_offset_us;
    json_t *command = json_pack("{s:s, s:s, s:I, s:b, s:[o]}", "operation", "",
                                "actor", actor, "time_ms",
                                (json_int_t)(wall_us / kMicrosPerMillisecond),
                                "quiet", !audited, "changes", change);
    return control_propose(k, now_us, command) != 0;
}

/* Forwards a request to the leader, and records its origin so that
 * forward_reply can send the reply there.  Returns FALSE if no leader is known
 * or this instance is the leader. */
gboolean
control_forward(ControlCore *k, uint64_t now_us, const char *from,
                const Sw__Frame *frame)
{
    const char *leader = consensus_leader(k->consensus);
    if (leader == NULL || strcmp(leader, k->id) == 0) {
        return FALSE;
    }
    Forward *f = g_new(Forward, 1);
    uint64_t *id = g_new(uint64_t, 1);
    *id = ++k->last_forward_id;
    *f = (Forward){g_strdup(from), frame->request_id,
                   now_us + kPendingRequestTimeoutUs};
    g_hash_table_insert(k->forwards, id, f);

    Sw__Frame copy = *frame;
    copy.request_id = *id;
    k->port.send(k->port.ctx, leader, &copy);
    return TRUE;
}

/* Sends the leader's reply to the origin of the forwarded request.  Drops a
 * reply whose request is unknown or has expired. */
static void
forward_reply(ControlCore *k, const Sw__Frame *frame)
{
    int64_t id = (int64_t)frame->request_id;
    Forward *f = g_hash_table_lookup(k->forwards, &id);
    if (f == NULL) {
        return;
    }
    Sw__Frame copy = *frame;
    copy.request_id = f->request_id;
    k->port.send(k->port.ctx, f->origin, &copy);
    g_hash_table_remove(k->forwards, &id);
}

/* Queues a copy of a lease or admin request (the other one is NULL) until a
 * consensus round has confirmed the leader.  Drops the request if this
 * instance cannot serve reads. */
void
control_queue_read(ControlCore *k, uint64_t now_us, const char *to,
                   uint64_t request_id, const Sw__LeaseRequest *lease,
                   const Sw__AdminRequest *admin)
{
    uint64_t round = consensus_read_begin(k->consensus, now_us);
    if (round == 0) {
        return;
    }
    PendingRead *p = g_new0(PendingRead, 1);
    p->round = round;
    p->deadline_us = now_us + kPendingRequestTimeoutUs;
    p->to = g_strdup(to);
    p->request_id = request_id;
    p->lease = lease == NULL ? NULL : message_copy(lease);
    p->admin = admin == NULL ? NULL : message_copy(admin);
    g_queue_push_tail(&k->pending_reads, p);
}

/* Replies to the requests whose round is confirmed.  Drops requests that have
 * expired and, if this instance no longer leads, all requests. */
static void
serve_confirmed_reads(ControlCore *k, uint64_t now_us)
{
    while (k->pending_reads.length > 0) {
        PendingRead *p = g_queue_peek_head(&k->pending_reads);
        gboolean ready = consensus_read_ready(k->consensus, p->round);
        if (!ready && now_us < p->deadline_us && control_core_leads(k)) {
            return;
        }
        g_queue_pop_head(&k->pending_reads);
        if (ready && p->lease != NULL) {
            control_reply_lease(k, now_us, p->to, p->request_id, p->lease);
        }
        if (ready && p->admin != NULL) {
            control_reply_admin_read(k, now_us, p->to, p->request_id,
                                     p->admin);
        }
        pending_read_free(p);
    }
}

/* ---- events ---- */

/* Handles a frame of another instance. */
void
control_core_frame(ControlCore *k, uint64_t now_us, const char *from,
                   const Sw__Frame *frame)
{
    switch (frame->body_case) {
    case SW__FRAME__BODY_CONSENSUS:
        consensus_receive(k->consensus, now_us, from, frame->consensus);
        break;
    case SW__FRAME__BODY_LEASE_REQUEST:
        control_handle_lease_request(k, now_us, from, frame->request_id,
                                     frame->lease_request);
        break;
    case SW__FRAME__BODY_ADMIN_REQUEST:
        control_handle_admin_request(k, now_us, from, frame->request_id,
                                     frame->admin_request);
        break;
    case SW__FRAME__BODY_LEASE_REPLY:
    case SW__FRAME__BODY_ADMIN_REPLY:
        forward_reply(k, frame);
        break;
    case SW__FRAME__BODY_ANNOUNCEMENT:
        if (control_core_leads(k)) {
            control_handle_announcement(k, now_us, frame->announcement);
        }
        else if (consensus_leader(k->consensus) != NULL) {
            k->port.send(k->port.ctx, consensus_leader(k->consensus), frame);
        }
        break;
    case SW__FRAME__BODY_CLIENT_PRESSURE:
        control_clients_record(k, now_us, from, frame->client_pressure);
        break;
    case SW__FRAME__BODY_MEMBER_RESULT:
        promotion_handle_result(k, now_us, frame->member_result);
        break;
    default:
        metrics_count(&k->metrics, kMetricPeerGarbage);
        break;
    }
}

static gboolean
forward_expired(void *key, void *value, void *ctx)
{
    (void)key;
    return ((Forward *)value)->deadline_us <= *(uint64_t *)ctx;
}

/* Clears the data that only a leader has, and updates leader_since_us, when
 * this instance begins or ceases to lead. */
static void
update_leadership(ControlCore *k, uint64_t now_us)
{
    gboolean leads = control_core_leads(k);
    if (leads == (k->leader_since_us != 0)) {
        return;
    }
    k->leader_since_us = leads ? MAX(now_us, 1) : 0;
    g_hash_table_remove_all(k->instances);
    g_hash_table_remove_all(k->members);
    g_hash_table_remove_all(k->promotions);
    g_message("%s in term %" G_GUINT64_FORMAT,
              leads ? "leads" : "no longer leads",
              consensus_term(k->consensus));
}

/* Updates the metrics of the storage, and logs when its room runs out and
 * when it has room again. */
static void
update_storage(ControlCore *k)
{
    uint64_t *counters = k->metrics.counters;
    gboolean no_room = consensus_no_room(k->consensus);

    counters[kMetricDiskFull] = consensus_suspensions(k->consensus);
    counters[kMetricSnapshots] = consensus_snapshots(k->consensus);
    counters[kMetricSnapshotsPostponed] =
        consensus_snapshots_postponed(k->consensus);
    if (no_room == k->no_room) {
        return;
    }
    k->no_room = no_room;
    if (no_room) {
        g_warning("the data folder has no room; this instance takes no part "
                  "in the consensus until it has");
        return;
    }
    g_message("the data folder has room; this instance takes part in the "
              "consensus again");
}

/* Runs the timers; must be called every few milliseconds. */
void
control_core_tick(ControlCore *k, uint64_t now_us)
{
    consensus_tick(k->consensus, now_us);
    k->metrics.counters[kMetricElections] = consensus_elections(k->consensus);
    update_leadership(k, now_us);
    control_expire_admin_changes(k, now_us);
    control_clients_report(k, now_us);
    if (now_us >= k->next_expiry_scan_us) {
        k->next_expiry_scan_us = now_us + kExpiryScanIntervalUs;
        g_hash_table_foreach_remove(k->forwards, forward_expired, &now_us);
        if (control_core_leads(k)) {
            control_expire_leases(k, now_us);
        }
    }
    if (control_core_leads(k)) {
        promotion_tick(k, now_us);
    }
}

/* Ends a batch of events: syncs the storage once, then sends replies and
 * state updates.  Must be called after each batch. */
void
control_core_flush(ControlCore *k, uint64_t now_us)
{
    consensus_flush(k->consensus, now_us);
    update_leadership(k, now_us);
    serve_confirmed_reads(k, now_us);
    control_distribute(k, now_us);
    consensus_flush(k->consensus, now_us);
    update_storage(k);
}

/* Starts a planned stop by transferring leadership to another voter. */
void
control_core_stop(ControlCore *k, uint64_t now_us)
{
    k->stopping = TRUE;
    consensus_transfer(k->consensus, now_us);
}

/* Returns whether the storage has failed; the process should then exit. */
gboolean
control_core_failed(const ControlCore *k)
{
    return consensus_failed(k->consensus);
}

/* Returns whether the data folder has no room for what was written.  The
 * instance then takes no part in the consensus and refuses changes. */
gboolean
control_core_no_room(const ControlCore *k)
{
    return consensus_no_room(k->consensus);
}

/* Returns whether this instance is the leader. */
gboolean
control_core_leads(const ControlCore *k)
{
    return consensus_role(k->consensus) == kConsensusLeader;
}

/* Returns the current term. */
uint64_t
control_core_term(const ControlCore *k)
{
    return consensus_term(k->consensus);
}

/* Returns the number of control instances that are voters. */
uint32_t
control_core_voter_count(const ControlCore *k)
{
    return consensus_voter_count(k->consensus);
}

/* Returns the id of the leader, or NULL if none is known. */
const char *
control_core_leader(const ControlCore *k)
{
    return consensus_leader(k->consensus);
}

/* Returns the highest log index known to be committed. */
uint64_t
control_core_commit_index(const ControlCore *k)
{
    return consensus_commit_index(k->consensus);
}

/* Returns the replicated state as applied on this instance, which owns it. */
State *
control_core_state(ControlCore *k)
{
    return k->state;
}

/* Returns the metrics of this instance, which owns them. */
Metrics *
control_core_metrics(ControlCore *k)
{
    return &k->metrics;
}
