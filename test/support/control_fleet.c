#include "control_fleet.h"

#include <string.h>

enum {
    kStepUs = 1000,  /* resolution of the virtual clock */
    kTickUs = 10000, /* interval between ticks of a control core */
};

/* A frame in transit between two control instances. */
typedef struct {
    uint64_t deliver_at_us;
    uint32_t from; /* node index */
    uint32_t to;   /* node index */
    uint8_t *packed;
    size_t size;
} Message;

static void
message_free(void *data)
{
    Message *m = data;
    g_free(m->packed);
    g_free(m);
}

/* Orders messages by time of delivery. */
static int
message_compare(const void *a, const void *b, void *ctx)
{
    const Message *x = a;
    const Message *y = b;
    (void)ctx;
    return x->deliver_at_us < y->deliver_at_us   ? -1
           : x->deliver_at_us > y->deliver_at_us ? 1
                                                 : 0;
}

/* ---- fake network ---- */

/* Returns the index of a control instance, -1 when the id is not one. */
static int
node_index(ControlFleet *f, const char *id)
{
    for (uint32_t i = 0; i < f->count; i++) {
        if (strcmp(f->nodes[i].id, id) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Queues a frame for delivery after a random delay of at most
 * max_delay_us. */
static void
enqueue(ControlFleet *f, uint32_t from, uint32_t to, const Sw__Frame *frame)
{
    Message *m = g_new0(Message, 1);
    m->from = from;
    m->to = to;
    m->size = sw__frame__get_packed_size(frame);
    m->packed = g_malloc(m->size + 1);
    sw__frame__pack(frame, m->packed);
    m->deliver_at_us =
        f->now_us + 1 +
        (uint64_t)g_rand_int_range(f->rand, 0, (gint)f->max_delay_us + 1);
    g_sequence_insert_sorted(f->messages, m, message_compare, NULL);
}

/* Records a reply to an operator or an entry instance. */
static void
record_reply(ControlFleet *f, const Sw__Frame *frame)
{
    uint64_t *key = g_new(uint64_t, 1);
    *key = frame->request_id;
    if (frame->body_case == SW__FRAME__BODY_ADMIN_REPLY) {
        g_hash_table_replace(f->replies, key,
                             GUINT_TO_POINTER(frame->admin_reply->status));
        return;
    }
    if (frame->body_case == SW__FRAME__BODY_LEASE_REPLY &&
        frame->lease_reply->granted) {
        g_hash_table_replace(
            f->leases, key,
            GSIZE_TO_POINTER(frame->lease_reply->confirmed_index + 1));
        return;
    }
    g_free(key);
}

/* Sends a frame between control instances with random loss and duplication,
 * or passes it to handle_external_frame when the recipient is not one. */
static void
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    FleetNode *n = ctx;
    ControlFleet *f = n->fleet;
    int target = node_index(f, to);

    f->messages_sent++;
    f->bytes_sent += sw__frame__get_packed_size(frame);
    if (target < 0) {
        record_reply(f, frame);
        if (f->handle_external_frame != NULL && !n->partitioned) {
            f->handle_external_frame(f->external_ctx, n->id, to, frame);
        }
        return;
    }
    if ((uint32_t)g_rand_int_range(f->rand, 0, 100) < f->loss_percent) {
        return;
    }
    enqueue(f, n->index, (uint32_t)target, frame);
    if ((uint32_t)g_rand_int_range(f->rand, 0, 100) < f->duplicate_percent) {
        enqueue(f, n->index, (uint32_t)target, frame);
    }
}

static void
port_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

static uint64_t
port_random(void *ctx)
{
    FleetNode *n = ctx;
    return ((uint64_t)g_rand_int(n->fleet->rand) << 32) |
           g_rand_int(n->fleet->rand);
}

/* ---- life cycle ---- */

/* Creates a fleet of count control instances, at most kFleetNodesMax, none of
 * which is started.  All random decisions derive from the seed. */
ControlFleet *
control_fleet_new(uint32_t count, uint32_t seed)
{
    ControlFleet *f = g_new0(ControlFleet, 1);
    f->count = count;
    f->now_us = 1000000;
    f->rand = g_rand_new_with_seed(seed);
    f->messages = g_sequence_new(message_free);
    f->max_delay_us = 2000;
    f->snapshot_interval_entries = 50;
    f->suspect_after_us = 300000;
    f->replies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    f->leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    f->leaders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        FleetNode *n = &f->nodes[i];
        n->fleet = f;
        n->index = i;
        n->id = g_strdup_printf("control-%u", i);
        n->disk_identity = g_strdup_printf("disk-%u", i);
        fake_disk_init(&n->disk);
    }
    return f;
}

/* Frees the fleet and all its instances. */
void
control_fleet_free(ControlFleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        FleetNode *n = &f->nodes[i];
        if (n->core != NULL) {
            control_core_free(n->core);
        }
        fake_disk_clear(&n->disk);
        g_free(n->id);
        g_free(n->disk_identity);
    }
    g_sequence_free(f->messages);
    g_hash_table_destroy(f->replies);
    g_hash_table_destroy(f->leases);
    g_hash_table_destroy(f->leaders);
    g_rand_free(f->rand);
    g_free(f);
}

/* Starts an instance from what its disk holds.  With bootstrap, all instances
 * of the fleet are the initial members of the consensus group; without, the
 * instance knows only the members that its disk names. */
void
control_fleet_start(ControlFleet *f, uint32_t node, gboolean bootstrap)
{
    FleetNode *n = &f->nodes[node];
    ControlConfig config = {
        .id = n->id,
        .disk = n->disk_identity,
        .cluster = "test",
        .failure_domain = "d",
        /* heartbeat_us, election_min_us, election_max_us,
         * snapshot_interval_entries */
        .timing = {50000, 200000, 400000, f->snapshot_interval_entries},
        .lease_us = 3000000,
        .announcement_timeout_us = 3000000,
        .suspect_after_us = f->suspect_after_us,
    };
    ControlPort port = {
        .ctx = n,
        .send = port_send,
        .peer_address = port_peer_address,
        .random = port_random,
        .storage = fake_disk_port(&n->disk),
    };
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    GError *error = NULL;

    for (uint32_t i = 0; i < f->count; i++) {
        g_ptr_array_add(members, consensus_member_new(
                                     f->nodes[i].id, f->nodes[i].disk_identity,
                                     "127.0.0.1:1", "d", TRUE));
    }
    n->core = control_core_new(&config, &port);
    n->disk.discard_writes = f->discard_disk_writes;
    fake_disk_lose_power(&n->disk);
    if (!control_core_start(n->core, f->now_us, &n->disk.synced,
                            bootstrap ? members : NULL, &error)) {
        g_error("start: %s", error->message);
    }
    g_ptr_array_unref(members);
}

/* Crashes an instance; writes that were not synced are lost. */
void
control_fleet_crash(ControlFleet *f, uint32_t node)
{
    FleetNode *n = &f->nodes[node];
    if (n->core != NULL) {
        control_core_free(n->core);
        n->core = NULL;
    }
    n->disk.fail_syncs = FALSE;
}

/* Replaces the disk of a crashed instance by an empty one with a new
 * identity. */
void
control_fleet_lose_disk(ControlFleet *f, uint32_t node)
{
    FleetNode *n = &f->nodes[node];
    char *identity = g_strconcat(n->disk_identity, "+", NULL);
    g_free(n->disk_identity);
    n->disk_identity = identity;
    fake_disk_clear(&n->disk);
    fake_disk_init(&n->disk);
}

/* Returns TRUE when the recipient runs and neither side is partitioned. */
static gboolean
can_deliver(const ControlFleet *f, const Message *m)
{
    return f->nodes[m->to].core != NULL && !f->nodes[m->to].partitioned &&
           !f->nodes[m->from].partitioned;
}

/* Delivers all messages whose time has come. */
static void
deliver_messages(ControlFleet *f)
{
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(f->messages);
        if (g_sequence_iter_is_end(first)) {
            return;
        }
        Message *m = g_sequence_get(first);
        if (m->deliver_at_us > f->now_us) {
            return;
        }
        if (can_deliver(f, m)) {
            Sw__Frame *frame = sw__frame__unpack(NULL, m->size, m->packed);
            control_core_frame(f->nodes[m->to].core, f->now_us,
                               f->nodes[m->from].id, frame);
            sw__frame__free_unpacked(frame, NULL);
        }
        g_sequence_remove(first);
    }
}

/* Records which instance leads in a term, and sets two_leaders when another
 * one led in the same term. */
static void
record_leader(ControlFleet *f, FleetNode *n)
{
    uint64_t term = control_core_term(n->core);
    if (!control_core_leads(n->core)) {
        return;
    }
    void *known = g_hash_table_lookup(f->leaders, &term);
    if (known == NULL) {
        uint64_t *key = g_new(uint64_t, 1);
        *key = term;
        g_hash_table_insert(f->leaders, key, GUINT_TO_POINTER(n->index + 1));
        return;
    }
    f->two_leaders = f->two_leaders || GPOINTER_TO_UINT(known) != n->index + 1;
}

/* Advances the virtual time by us microseconds, delivering messages and
 * running the cores. */
void
control_fleet_run(ControlFleet *f, uint64_t us)
{
    uint64_t end_us = f->now_us + us;
    while (f->now_us < end_us) {
        f->now_us += kStepUs;
        deliver_messages(f);
        for (uint32_t i = 0; i < f->count; i++) {
            FleetNode *n = &f->nodes[i];
            if (n->core == NULL) {
                continue;
            }
            if (f->now_us % kTickUs == 0) {
                control_core_tick(n->core, f->now_us);
            }
            control_core_flush(n->core, f->now_us);
            record_leader(f, n);
        }
    }
}

/* Returns the leader with the highest term, NULL when there is none. */
FleetNode *
control_fleet_leader(ControlFleet *f)
{
    FleetNode *best = NULL;
    for (uint32_t i = 0; i < f->count; i++) {
        FleetNode *n = &f->nodes[i];
        if (n->core == NULL || !control_core_leads(n->core)) {
            continue;
        }
        if (best == NULL ||
            control_core_term(n->core) > control_core_term(best->core)) {
            best = n;
        }
    }
    return best;
}

/* Delivers a frame from a sender that is not a control instance, without
 * delay.  The frame is dropped when the instance is down or partitioned. */
void
control_fleet_frame(ControlFleet *f, uint32_t node, const char *from,
                    const Sw__Frame *frame)
{
    FleetNode *n = &f->nodes[node];
    if (n->core != NULL && !n->partitioned) {
        control_core_frame(n->core, f->now_us, from, frame);
    }
}

/* Sends an operator's request to an instance; operation is the operation id,
 * which identifies a change when it is resent.  control_fleet_status returns
 * the status of the reply. */
void
control_fleet_admin(ControlFleet *f, uint32_t node, uint64_t request_id,
                    const char *verb, const char *operation, const char *body)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminRequest r = SW__ADMIN_REQUEST__INIT;

    r.verb = (char *)verb;
    r.operation_id = (char *)operation;
    r.actor = (char *)"tester";
    r.body.data = (uint8_t *)body;
    r.body.len = strlen(body);
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REQUEST;
    frame.admin_request = &r;
    control_fleet_frame(f, node, "operator", &frame);
}

/* Returns the HTTP status of the reply to an operator's request, zero when
 * none has arrived. */
uint32_t
control_fleet_status(ControlFleet *f, uint64_t request_id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(f->replies, &request_id));
}
