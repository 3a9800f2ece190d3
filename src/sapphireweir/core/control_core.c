#include "core/control_core.h"

#include <string.h>

#include "core/control_defs.h"
#include "core/error.h"
#include "core/message.h"
#include "core/schema.h"

static void
instance_track_free(void *data)
{
    InstanceTrack *t = data;
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
waiting_read_free(void *data)
{
    WaitingRead *w = data;
    if (w->lease != NULL) {
        sw__lease_request__free_unpacked(w->lease, NULL);
    }
    if (w->admin != NULL) {
        sw__admin_request__free_unpacked(w->admin, NULL);
    }
    g_free(w->to);
    g_free(w);
}

static void
waiting_change_free(void *data)
{
    WaitingChange *w = data;
    g_free(w->to);
    g_free(w);
}

/* ---- what the consensus asks of this instance ---- */

static void
port_send_consensus(void *ctx, const char *to, const Sw__ConsensusMessage *m)
{
    ControlCore *k = ctx;
    Sw__Frame frame = SW__FRAME__INIT;

    frame.body_case = SW__FRAME__BODY_CONSENSUS;
    frame.consensus = (Sw__ConsensusMessage *)m;
    k->port.send(k->port.ctx, to, &frame);
}

static void
view_follow(ControlCore *k, const char *key, const json_t *spec)
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
        promotion_attend(k, database);
        g_free(database);
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

static void
view_follow_since(ControlCore *k, uint64_t index)
{
    GPtrArray *changes = g_ptr_array_new();
    state_changes_since(k->state, index, changes);
    for (guint i = 0; i < changes->len; i++) {
        StateChange *c = g_ptr_array_index(changes, i);
        view_follow(k, c->key, c->spec);
    }
    g_ptr_array_unref(changes);
}

static void
port_apply(void *ctx, uint64_t now_us, uint64_t index, uint64_t term,
           GBytes *command)
{
    ControlCore *k = ctx;
    size_t size;
    const char *text = g_bytes_get_data(command, &size);
    json_t *parsed = json_loadb(text, size, 0, NULL);
    uint64_t before = state_index(k->state);

    (void)now_us;
    StateOutcome outcome = state_apply(k->state, index, parsed);
    metrics_count(&k->metrics, kMetricCommits);
    view_follow_since(k, before);
    control_admin_applied(k, index, term, &outcome);
    json_decref(outcome.body);
    json_decref(parsed);
}

static GBytes *
port_dump(void *ctx)
{
    ControlCore *k = ctx;
    char *text = state_dump(k->state);
    metrics_count(&k->metrics, kMetricSnapshots);
    return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static void
view_rebuild(ControlCore *k)
{
    GHashTableIter it;
    void *value;

    g_hash_table_remove_all(k->view.instances);
    g_clear_pointer(&k->databases, g_ptr_array_unref);
    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        view_follow(k, r->key, r->spec);
    }
}

static gboolean
port_restore(void *ctx, uint64_t now_us, GBytes *state, GError **error)
{
    ControlCore *k = ctx;
    size_t size;
    const char *text = g_bytes_get_data(state, &size);

    (void)now_us;
    if (!state_load(k->state, text, size, error)) {
        return FALSE;
    }
    view_rebuild(k);
    return TRUE;
}

static uint64_t
port_random(void *ctx)
{
    ControlCore *k = ctx;
    return k->port.random(k->port.ctx);
}

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

/* Makes a control instance; config strings are copied. */
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
    k->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         instance_track_free);
    k->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    k->subscribers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    k->promotions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          promotion_track_free);
    k->attention =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    k->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        forward_free);
    g_queue_init(&k->waiting_reads);
    g_queue_init(&k->waiting_changes);
    return k;
}

/* Frees the instance. */
void
control_core_free(ControlCore *k)
{
    g_queue_clear_full(&k->waiting_reads, waiting_read_free);
    g_queue_clear_full(&k->waiting_changes, waiting_change_free);
    g_hash_table_destroy(k->forwards);
    g_hash_table_destroy(k->attention);
    g_clear_pointer(&k->databases, g_ptr_array_unref);
    g_hash_table_destroy(k->promotions);
    g_hash_table_destroy(k->subscribers);
    g_hash_table_destroy(k->members);
    g_hash_table_destroy(k->instances);
    instance_view_clear(&k->view);
    consensus_free(k->consensus);
    state_free(k->state);
    g_free(k->failure_domain);
    g_free(k->id);
    g_free(k);
}

/* Starts from what storage kept; see consensus_start. */
gboolean
control_core_start(ControlCore *k, uint64_t now_us,
                   const ConsensusSaved *saved, const GPtrArray *bootstrap,
                   GError **error)
{
    return consensus_start(k->consensus, now_us, saved, bootstrap, error);
}

/* ---- proposals and answers ---- */

/* Sends an operator's answer; takes over the body. */
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

/* Proposes a command; takes it over.  Returns its index or zero. */
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

/* Proposes the system's own change of one resource; takes over spec, NULL
 * deletes.  Only audited ones enter the audit trail. */
gboolean
control_propose_quiet(ControlCore *k, uint64_t now_us, const char *actor,
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

/* Passes a request on to the leader.  FALSE: there is none, or the request
 * was passed on once already. */
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
    *id = ++k->next_forward;
    *f = (Forward){g_strdup(from), frame->request_id,
                   now_us + kForwardExpiryUs};
    g_hash_table_insert(k->forwards, id, f);

    Sw__Frame passed = *frame;
    passed.request_id = *id;
    k->port.send(k->port.ctx, leader, &passed);
    return TRUE;
}

static void
forward_answer(ControlCore *k, const Sw__Frame *frame)
{
    int64_t id = (int64_t)frame->request_id;
    Forward *f = g_hash_table_lookup(k->forwards, &id);
    if (f == NULL) {
        return;
    }
    Sw__Frame passed = *frame;
    passed.request_id = f->request_id;
    k->port.send(k->port.ctx, f->origin, &passed);
    g_hash_table_remove(k->forwards, &id);
}

/* Keeps a lease or admin request until a round confirms the leader. */
void
control_wait_read(ControlCore *k, uint64_t now_us, const char *to,
                  uint64_t request_id, const Sw__LeaseRequest *lease,
                  const Sw__AdminRequest *admin)
{
    uint64_t round = consensus_read_begin(k->consensus, now_us);
    if (round == 0) {
        return;
    }
    WaitingRead *w = g_new0(WaitingRead, 1);
    w->round = round;
    w->due_us = now_us + kForwardExpiryUs;
    w->to = g_strdup(to);
    w->request_id = request_id;
    w->lease = lease == NULL ? NULL : message_copy(lease);
    w->admin = admin == NULL ? NULL : message_copy(admin);
    g_queue_push_tail(&k->waiting_reads, w);
}

static void
serve_confirmed_reads(ControlCore *k, uint64_t now_us)
{
    while (k->waiting_reads.length > 0) {
        WaitingRead *w = g_queue_peek_head(&k->waiting_reads);
        gboolean ready = consensus_read_ready(k->consensus, w->round);
        if (!ready && now_us < w->due_us && control_core_leads(k)) {
            return;
        }
        g_queue_pop_head(&k->waiting_reads);
        if (ready && w->lease != NULL) {
            control_lease_confirmed(k, now_us, w->to, w->request_id, w->lease);
        }
        if (ready && w->admin != NULL) {
            control_admin_read(k, now_us, w->to, w->request_id, w->admin);
        }
        waiting_read_free(w);
    }
}

/* ---- events ---- */

/* Takes in one frame of another instance. */
void
control_core_frame(ControlCore *k, uint64_t now_us, const char *from,
                   const Sw__Frame *frame)
{
    switch (frame->body_case) {
    case SW__FRAME__BODY_CONSENSUS:
        consensus_receive(k->consensus, now_us, from, frame->consensus);
        break;
    case SW__FRAME__BODY_LEASE_REQUEST:
        control_lease_request(k, now_us, from, frame->request_id,
                              frame->lease_request);
        break;
    case SW__FRAME__BODY_ADMIN_REQUEST:
        control_admin_request(k, now_us, from, frame->request_id,
                              frame->admin_request);
        break;
    case SW__FRAME__BODY_LEASE_REPLY:
    case SW__FRAME__BODY_ADMIN_REPLY:
        forward_answer(k, frame);
        break;
    case SW__FRAME__BODY_ANNOUNCEMENT:
        if (control_core_leads(k)) {
            control_announcement(k, now_us, frame->announcement);
        }
        else if (consensus_leader(k->consensus) != NULL) {
            k->port.send(k->port.ctx, consensus_leader(k->consensus), frame);
        }
        break;
    case SW__FRAME__BODY_MEMBER_RESULT:
        promotion_result(k, now_us, frame->member_result);
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
    return ((Forward *)value)->due_us <= *(uint64_t *)ctx;
}

static void
leadership_follow(ControlCore *k, uint64_t now_us)
{
    gboolean leads = control_core_leads(k);
    if (leads == (k->led_since_us != 0)) {
        return;
    }
    k->led_since_us = leads ? MAX(now_us, 1) : 0;
    g_hash_table_remove_all(k->instances);
    g_hash_table_remove_all(k->members);
    g_hash_table_remove_all(k->promotions);
    g_message("%s in term %" G_GUINT64_FORMAT,
              leads ? "leads" : "no longer leads",
              consensus_term(k->consensus));
}

/* Lets time pass; call it every few milliseconds. */
void
control_core_tick(ControlCore *k, uint64_t now_us)
{
    consensus_tick(k->consensus, now_us);
    k->metrics.counters[kMetricElections] = consensus_elections(k->consensus);
    leadership_follow(k, now_us);
    control_admin_expire(k, now_us);
    if (now_us >= k->slow_tick_due_us) {
        k->slow_tick_due_us = now_us + kSlowTickUs;
        g_hash_table_foreach_remove(k->forwards, forward_expired, &now_us);
        if (control_core_leads(k)) {
            control_lease_expire(k, now_us);
        }
    }
    if (control_core_leads(k)) {
        promotion_tick(k, now_us);
    }
}

/* Ends a batch of events: one sync, then answers, then state updates. */
void
control_core_flush(ControlCore *k, uint64_t now_us)
{
    consensus_flush(k->consensus, now_us);
    leadership_follow(k, now_us);
    serve_confirmed_reads(k, now_us);
    control_distribute(k, now_us);
    consensus_flush(k->consensus, now_us);
}

/* Begins a planned stop: leadership goes to another voter. */
void
control_core_stop(ControlCore *k, uint64_t now_us)
{
    k->stopping = TRUE;
    consensus_transfer(k->consensus, now_us);
}

/* Tells whether storage failed; the process should then end. */
gboolean
control_core_failed(const ControlCore *k)
{
    return consensus_failed(k->consensus);
}

/* Tells whether this instance leads. */
gboolean
control_core_leads(const ControlCore *k)
{
    return consensus_role(k->consensus) == kConsensusLeader;
}

/* Returns the present term. */
uint64_t
control_core_term(const ControlCore *k)
{
    return consensus_term(k->consensus);
}

/* Returns how many control instances vote. */
uint32_t
control_core_voter_count(const ControlCore *k)
{
    return consensus_voter_count(k->consensus);
}

/* Returns the known leader's id or NULL. */
const char *
control_core_leader(const ControlCore *k)
{
    return consensus_leader(k->consensus);
}

/* Returns the highest committed index. */
uint64_t
control_core_commit_index(const ControlCore *k)
{
    return consensus_commit_index(k->consensus);
}

/* Returns the replicated state as this instance has applied it. */
State *
control_core_state(ControlCore *k)
{
    return k->state;
}

/* Returns the instance's counters. */
Metrics *
control_core_metrics(ControlCore *k)
{
    return &k->metrics;
}
