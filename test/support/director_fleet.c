#include "director_fleet.h"

#include <string.h>

#include "fleet/director_internal.h"

enum {
    kStepUs = 1000,  /* resolution of the virtual clock */
    kTickUs = 10000, /* interval between ticks of a control instance */
    kDelayUs = 1400, /* of a frame, one way */
    kDelaySpreadUs = 600,
    kDialUs = 5000, /* until a new link is up */
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

static void
call_free(void *data)
{
    DirectorCall *call = data;
    g_free(call->text);
    g_free(call);
}

/* ---- links ---- */

/* Returns the index of a control instance, -1 if the id is not one. */
static int
node_index(const DirectorFleet *f, const char *id)
{
    for (uint32_t i = 0; i < f->count; i++) {
        if (strcmp(f->nodes[i].id, id) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static gboolean
can_reach(const DirectorFleet *f, uint32_t a, uint32_t b)
{
    return f->nodes[a].director != NULL && f->nodes[b].director != NULL &&
           f->nodes[a].group == f->nodes[b].group;
}

/* Closes the links between two instances and drops the frames on them. */
static void
link_reset(DirectorFleet *f, uint32_t a, uint32_t b)
{
    GSequenceIter *it = g_sequence_get_begin_iter(f->messages);

    f->link_up_us[a][b] = 0;
    f->link_up_us[b][a] = 0;
    while (!g_sequence_iter_is_end(it)) {
        const Message *m = g_sequence_get(it);
        GSequenceIter *next = g_sequence_iter_next(it);
        if ((m->from == a && m->to == b) || (m->from == b && m->to == a)) {
            g_sequence_remove(it);
        }
        it = next;
    }
}

/* Returns whether a link is up.  If none is, it is dialed, and will be up
 * after kDialUs. */
static gboolean
link_is_up(DirectorFleet *f, uint32_t from, uint32_t to)
{
    if (f->link_up_us[from][to] != 0) {
        return f->now_us >= f->link_up_us[from][to];
    }
    if (f->known[from][to] && can_reach(f, from, to) && !f->nodes[to].frozen) {
        f->link_up_us[from][to] = f->now_us + kDialUs;
        f->link_up_us[to][from] = f->now_us + kDialUs;
    }
    return FALSE;
}

static void
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    DirectorNode *n = ctx;
    DirectorFleet *f = n->fleet;
    int target = node_index(f, to);

    if (target < 0 || !link_is_up(f, n->index, (uint32_t)target)) {
        return;
    }
    uint64_t *last_us = &f->last_delivery_us[n->index][target];
    Message *m = g_new0(Message, 1);
    m->from = n->index;
    m->to = (uint32_t)target;
    m->size = sw__frame__get_packed_size(frame);
    m->packed = g_malloc(m->size + 1);
    sw__frame__pack(frame, m->packed);
    m->deliver_at_us = f->now_us + kDelayUs +
                       (uint64_t)g_rand_int_range(f->rand, 0, kDelaySpreadUs);
    m->deliver_at_us = MAX(m->deliver_at_us, *last_us + 1);
    *last_us = m->deliver_at_us;
    g_sequence_insert_sorted(f->messages, m, message_compare, NULL);
}

static void
port_add_peer(void *ctx, const char *address)
{
    DirectorNode *n = ctx;
    int target = node_index(n->fleet, address);

    if (target >= 0) {
        n->fleet->known[n->index][target] = TRUE;
    }
}

static uint64_t
port_random(void *ctx)
{
    DirectorNode *n = ctx;
    return ((uint64_t)g_rand_int(n->fleet->rand) << 32) |
           g_rand_int(n->fleet->rand);
}

static void
port_operator_reply(void *ctx, void *request, uint32_t status,
                    const void *text, size_t bytes)
{
    DirectorNode *n = ctx;
    DirectorCall *call = request;

    call->status = status;
    call->answered_us = n->fleet->now_us;
    call->text = g_strndup(text == NULL ? "" : text, bytes);
}

static Document *
decode(const uint8_t *text, size_t bytes)
{
    char *copy = g_strndup((const char *)text, bytes);
    Document *d = document_new(g_ascii_strtoull(copy, NULL, 10));

    g_free(copy);
    return d;
}

/* ---- instances ---- */

/* Creates a fleet of count control instances, none of which is started.  All
 * random decisions derive from the seed. */
DirectorFleet *
director_fleet_new(uint32_t count, uint32_t max_failures, uint32_t seed)
{
    DirectorFleet *f = g_new0(DirectorFleet, 1);

    f->count = count;
    f->max_failures = max_failures;
    f->now_us = G_USEC_PER_SEC;
    f->rand = g_rand_new_with_seed(seed);
    f->messages = g_sequence_new(message_free);
    f->calls = g_ptr_array_new_with_free_func(call_free);
    f->leaders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        DirectorNode *n = &f->nodes[i];
        n->fleet = f;
        n->index = i;
        n->id = g_strdup_printf("control-%u", i);
        n->disk_identity = g_strdup_printf("disk-%u", i);
        fake_disk_init(&n->disk);
    }
    for (uint32_t i = 0; i < kDirectorSeeds; i++) {
        f->seeds[i] = i;
    }
    return f;
}

/* Frees the fleet and all its instances. */
void
director_fleet_free(DirectorFleet *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        DirectorNode *n = &f->nodes[i];
        if (n->director != NULL) {
            director_free(n->director);
        }
        fake_disk_clear(&n->disk);
        g_free(n->id);
        g_free(n->disk_identity);
    }
    g_sequence_free(f->messages);
    g_ptr_array_unref(f->calls);
    g_hash_table_destroy(f->leaders);
    g_rand_free(f->rand);
    g_free(f);
}

/* Starts an instance from what its disk holds.  With bootstrap the seeds form
 * a new group. */
void
director_fleet_start(DirectorFleet *f, uint32_t node, gboolean bootstrap)
{
    DirectorNode *n = &f->nodes[node];
    DirectorConfig config = {
        .id = n->id,
        .disk = n->disk_identity,
        .failure_domain = "d",
        /* heartbeat_us, election_min_us, election_max_us,
         * snapshot_interval_entries */
        .timing = {80000, 300000, 550000, 64},
        .lease_us = G_USEC_PER_SEC,
        .rate_window_us = 5 * G_USEC_PER_SEC,
        .decode = decode,
        .max_control_failures = f->max_failures,
    };
    DirectorPort port = {.ctx = n,
                         .send = port_send,
                         .add_peer = port_add_peer,
                         .random = port_random,
                         .operator_reply = port_operator_reply,
                         .storage = fake_disk_port(&n->disk)};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    gboolean is_seed = FALSE;
    GError *error = NULL;

    n->director = director_new(&config, &port);
    for (uint32_t i = 0; i < kDirectorSeeds; i++) {
        const DirectorNode *seed = &f->nodes[f->seeds[i]];
        director_add_peer(n->director, seed->id);
        g_ptr_array_add(members,
                        consensus_member_new(seed->id, seed->disk_identity,
                                             seed->id, "", TRUE));
        is_seed = is_seed || seed == n;
    }
    gboolean first = bootstrap && is_seed;
    if (!director_start(n->director, f->now_us, &n->disk.written,
                        first ? members : NULL, &error)) {
        g_error("start: %s", error->message);
    }
    g_ptr_array_unref(members);
}

/* Ends the process of an instance; with power, writes that were not synced are
 * lost. */
void
director_fleet_kill(DirectorFleet *f, uint32_t node, gboolean power)
{
    DirectorNode *n = &f->nodes[node];

    if (n->director == NULL) {
        return;
    }
    for (uint32_t i = 0; i < f->count; i++) {
        link_reset(f, node, i);
        f->known[node][i] = FALSE;
    }
    director_free(n->director);
    n->director = NULL;
    n->frozen = FALSE;
    if (power) {
        fake_disk_lose_power(&n->disk);
    }
}

/* Replaces the disk of an instance that does not run by an empty one with a
 * new identity. */
void
director_fleet_lose_disk(DirectorFleet *f, uint32_t node)
{
    DirectorNode *n = &f->nodes[node];

    g_free(n->disk_identity);
    n->disk_identity = g_strdup_printf("disk-%u-%u", node, ++n->disks);
    fake_disk_clear(&n->disk);
    fake_disk_init(&n->disk);
}

/* Moves an instance to a group; it reaches only instances of this group. */
void
director_fleet_partition(DirectorFleet *f, uint32_t node, uint32_t group)
{
    f->nodes[node].group = group;
    for (uint32_t i = 0; i < f->count; i++) {
        if (f->nodes[i].group != group) {
            link_reset(f, node, i);
        }
    }
}

/* ---- time ---- */

/* Delivers all messages whose time has come. */
static void
deliver_messages(DirectorFleet *f)
{
    GSequenceIter *it = g_sequence_get_begin_iter(f->messages);

    while (!g_sequence_iter_is_end(it)) {
        const Message *m = g_sequence_get(it);
        GSequenceIter *next = g_sequence_iter_next(it);
        if (m->deliver_at_us > f->now_us) {
            return;
        }
        DirectorNode *to = &f->nodes[m->to];
        if (!to->frozen) {
            Sw__Frame *frame = sw__frame__unpack(NULL, m->size, m->packed);
            director_handle_frame(to->director, f->now_us,
                                  f->nodes[m->from].id, frame);
            sw__frame__free_unpacked(frame, NULL);
            g_sequence_remove(it);
        }
        it = next;
    }
}

/* Records which instance leads in a term, and sets two_leaders if another one
 * led in the same term. */
static void
record_leader(DirectorFleet *f, const DirectorNode *n)
{
    uint64_t term = consensus_term(n->director->consensus);

    if (!director_is_leader(n->director)) {
        return;
    }
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(f->leaders, &term));
    if (known == 0) {
        g_hash_table_insert(f->leaders, g_memdup2(&term, sizeof(term)),
                            GUINT_TO_POINTER(n->index + 1));
    }
    f->two_leaders = f->two_leaders || (known != 0 && known != n->index + 1);
}

/* Advances the virtual time, delivers messages and runs the instances. */
void
director_fleet_run(DirectorFleet *f, uint64_t us)
{
    uint64_t end_us = f->now_us + us;

    while (f->now_us < end_us) {
        f->now_us += kStepUs;
        deliver_messages(f);
        for (uint32_t i = 0; i < f->count; i++) {
            DirectorNode *n = &f->nodes[i];
            if (n->director == NULL || n->frozen) {
                continue;
            }
            if (f->now_us % kTickUs == 0) {
                director_tick(n->director, f->now_us);
            }
            director_flush(n->director, f->now_us);
            record_leader(f, n);
        }
    }
}

/* Returns the leader of the highest term, NULL if none leads. */
DirectorNode *
director_fleet_leader(DirectorFleet *f)
{
    DirectorNode *best = NULL;

    for (uint32_t i = 0; i < f->count; i++) {
        DirectorNode *n = &f->nodes[i];
        if (n->director == NULL || !director_is_leader(n->director)) {
            continue;
        }
        if (best == NULL || consensus_term(n->director->consensus) >
                                consensus_term(best->director->consensus)) {
            best = n;
        }
    }
    return best;
}

/* Returns the number of voters in the leader's member list, zero without a
 * leader. */
uint32_t
director_fleet_voters(DirectorFleet *f)
{
    const DirectorNode *leader = director_fleet_leader(f);

    return leader == NULL ? 0
                          : consensus_voter_count(leader->director->consensus);
}

/* ---- operators ---- */

static DirectorCall *
call_new(DirectorFleet *f)
{
    DirectorCall *call = g_new0(DirectorCall, 1);

    call->sent_us = f->now_us;
    g_ptr_array_add(f->calls, call);
    return call;
}

/* Sends a configuration of a version to a running instance.  The fleet owns
 * the returned call. */
const DirectorCall *
director_fleet_put(DirectorFleet *f, uint32_t node, uint64_t version)
{
    DirectorCall *call = call_new(f);
    char text[32];
    int bytes = g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);

    director_put_document(f->nodes[node].director, f->now_us, call, version,
                          text, (size_t)bytes);
    return call;
}

/* Reads the configuration from a running instance.  The fleet owns the
 * returned call. */
const DirectorCall *
director_fleet_get(DirectorFleet *f, uint32_t node)
{
    DirectorCall *call = call_new(f);

    director_get_document(f->nodes[node].director, f->now_us, call);
    return call;
}

/* Returns the version that the answer to a read has, zero without one. */
uint64_t
director_fleet_version(const DirectorCall *call)
{
    return call->status == 200 ? g_ascii_strtoull(call->text, NULL, 10) : 0;
}
