#include "fleet/director_internal.h"

#include <string.h>

/* The core of the director: the replicated state, start and stop, and the
 * handling of incoming events. */

static void
primary_state_free(void *data)
{
    PrimaryState *p = data;
    g_free(p->database);
    g_free(p->primary);
    g_free(p);
}

/* ---- the replicated state ---- */

/* Applies a committed document version; older versions are ignored. */
static void
apply_document(Director *d, uint64_t now_us, const Sw__DocumentUpdate *m)
{
    if (m->version <= d->document_version) {
        return;
    }
    d->document_version = m->version;
    g_clear_pointer(&d->document, g_bytes_unref);
    d->document = g_bytes_new(m->text.data, m->text.len);
    documents_add_applied(d, now_us);
}

/* Fills in a record from a database's primary.  The record borrows the
 * state's strings. */
static void
primary_fill(const PrimaryState *p, Sw__PrimaryRecord *out)
{
    sw__primary_record__init(out);
    out->database = p->database;
    out->primary = p->primary;
    out->epoch = p->epoch;
    out->log_term = p->log_term;
    out->changing = p->changing;
    out->planned = p->planned;
    out->acknowledged_term = p->acknowledged.term;
    out->acknowledged_number = p->acknowledged.number;
}

/* Applies the committed primary of a database; older epochs are ignored. */
static void
apply_primary(Director *d, uint64_t now_us, const Sw__PrimaryRecord *m)
{
    PrimaryState *p = director_primary(d, m->database);

    if (p != NULL && m->epoch < p->epoch) {
        return;
    }
    if (p == NULL) {
        p = g_new0(PrimaryState, 1);
        p->database = g_strdup(m->database);
        g_hash_table_insert(d->primaries, p->database, p);
    }
    gboolean new_epoch = m->epoch > p->epoch;
    d->grant_lists.primaries_valid = FALSE;
    g_free(p->primary);
    p->primary = g_strdup(m->primary);
    p->epoch = m->epoch;
    p->log_term = m->log_term;
    p->changing = m->changing;
    p->planned = m->planned;
    p->acknowledged = (Position){m->acknowledged_term, m->acknowledged_number};
    if (new_epoch) {
        p->epoch_learned_us = now_us;
        handover_finish(d, p->database);
    }
}

/* Applies a committed log entry.  A leader with current state also sends the
 * changes to the entry instances. */
static void
port_apply(void *ctx, uint64_t now_us, uint64_t index, uint64_t term,
           GBytes *command)
{
    Director *d = ctx;
    size_t size;
    const uint8_t *data = g_bytes_get_data(command, &size);
    Sw__FleetCommand *m = sw__fleet_command__unpack(NULL, size, data);
    uint64_t old_version = d->document_version;
    gboolean primary_changed = m != NULL && m->primary != NULL;
    EventLine line;

    if (m == NULL) {
        g_critical("cannot decode log entry %" G_GUINT64_FORMAT, index);
        return;
    }
    if (m->document != NULL) {
        apply_document(d, now_us, m->document);
    }
    if (m->primary != NULL) {
        apply_primary(d, now_us, m->primary);
    }
    if (m->evacuation != NULL) {
        director_apply_evacuation(d, now_us, index, m->evacuation);
    }
    servers_apply(d, m->servers, m->n_servers);
    sw__fleet_command__free_unpacked(m, NULL);
    requests_handle_applied(d, index, term);
    if (director_is_leader(d) && consensus_is_current(d->consensus)) {
        if (d->document_version != old_version) {
            entries_push_document(d, now_us);
            event_begin(&line, d->config.events, now_us, kEventDocument);
            event_number(&line, "version", d->document_version);
            event_number(&line, "index", index);
            event_end(&line);
        }
        if (primary_changed) {
            entries_push_primaries(d);
        }
    }
}

/* Returns a snapshot of the replicated state. */
static GBytes *
port_dump(void *ctx)
{
    Director *d = ctx;
    Sw__FleetSnapshot m = SW__FLEET_SNAPSHOT__INIT;
    Sw__DocumentUpdate document = SW__DOCUMENT_UPDATE__INIT;
    guint count = g_hash_table_size(d->primaries);
    Sw__PrimaryRecord *records = g_new0(Sw__PrimaryRecord, count + 1);
    GPtrArray *list = g_ptr_array_new();
    GPtrArray *servers = servers_since(d, 0, 0);
    GPtrArray *evacuations = evacuations_records(&d->evacuations);
    GHashTableIter it;
    void *value;

    if (d->document != NULL) {
        document.version = d->document_version;
        document.text.data =
            (uint8_t *)g_bytes_get_data(d->document, &document.text.len);
        m.document = &document;
    }
    g_hash_table_iter_init(&it, d->primaries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PrimaryState *p = value;
        Sw__PrimaryRecord *r = &records[list->len];
        primary_fill(p, r);
        g_ptr_array_add(list, r);
    }
    m.n_primaries = list->len;
    m.primaries = (Sw__PrimaryRecord **)list->pdata;
    m.n_servers = servers->len;
    m.servers = (Sw__ServerRecord **)servers->pdata;
    m.n_evacuations = evacuations->len;
    m.evacuations = (Sw__EvacuationRecord **)evacuations->pdata;
    size_t size = sw__fleet_snapshot__get_packed_size(&m);
    uint8_t *packed = g_malloc(size + 1);
    sw__fleet_snapshot__pack(&m, packed);
    g_ptr_array_unref(evacuations);
    g_ptr_array_unref(servers);
    g_ptr_array_unref(list);
    g_free(records);
    return g_bytes_new_take(packed, size);
}

/* Applies a snapshot of the replicated state.  Fails if it cannot be
 * decoded. */
static gboolean
port_restore(void *ctx, uint64_t now_us, GBytes *state, GError **error)
{
    Director *d = ctx;
    size_t size;
    const uint8_t *data = g_bytes_get_data(state, &size);
    Sw__FleetSnapshot *m = sw__fleet_snapshot__unpack(NULL, size, data);

    if (m == NULL) {
        g_set_error_literal(error, g_quark_from_static_string("director"), 0,
                            "the snapshot cannot be read");
        return FALSE;
    }
    if (m->document != NULL) {
        apply_document(d, now_us, m->document);
    }
    for (size_t i = 0; i < m->n_primaries; i++) {
        apply_primary(d, now_us, m->primaries[i]);
    }
    evacuations_restore(&d->evacuations, m->evacuations, m->n_evacuations);
    servers_apply(d, m->servers, m->n_servers);
    sw__fleet_snapshot__free_unpacked(m, NULL);
    return TRUE;
}

/* Sends a consensus message to another control instance. */
static void
port_send(void *ctx, const char *to, const Sw__ConsensusMessage *m)
{
    Director *d = ctx;
    Sw__Frame frame = SW__FRAME__INIT;

    frame.body_case = SW__FRAME__BODY_CONSENSUS;
    frame.consensus = (Sw__ConsensusMessage *)m;
    d->port.send(d->port.ctx, to, &frame);
}

static uint64_t
port_random(void *ctx)
{
    Director *d = ctx;
    return d->port.random(d->port.ctx);
}

/* Adds the new members of the consensus group as peers. */
static void
port_members_changed(void *ctx, const GPtrArray *members)
{
    Director *d = ctx;
    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        director_add_peer(d, m->id);
    }
}

/* ---- start, stop and state ---- */

/* Returns a new control instance that does nothing before director_start.
 * id and failure_domain are copied; the other pointers of config must stay
 * valid. */
Director *
director_new(const DirectorConfig *config, const DirectorPort *port)
{
    Director *d = g_new0(Director, 1);
    ConsensusPort consensus_port = {
        .ctx = d,
        .send = port_send,
        .apply = port_apply,
        .dump = port_dump,
        .restore = port_restore,
        .random = port_random,
        .members_changed = port_members_changed,
        .storage = port->storage,
    };

    d->id = g_strdup(config->id);
    d->failure_domain = g_strdup(config->failure_domain);
    d->config = *config;
    d->port = *port;
    d->run_id = port->random(port->ctx) | 1;
    d->last_transfer = d->run_id;
    /* A reply to a former process of this instance has another number. */
    d->last_forward_id = d->run_id;
    d->consensus = consensus_new(config->id, config->disk, &config->timing,
                                 &consensus_port);
    consensus_keep_odd_voters(d->consensus);
    directory_init(&d->directory);
    queries_init(d);
    d->collected = g_ptr_array_new_with_free_func(g_free);
    evacuations_init(&d->evacuations);
    d->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->primaries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         primary_state_free);
    d->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_state_free);
    d->suspect_watches =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->grant_lists.primaries = g_ptr_array_new_with_free_func(g_free);
    d->grant_lists.entries = g_ptr_array_new_with_free_func(g_free);
    d->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       primary_change_free);
    d->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    d->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_hash_table_destroy);
    d->reservations = g_ptr_array_new();
    d->entries_by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    d->rate_windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&d->requests);
    return d;
}

/* Frees the instance; its storage is kept. */
void
director_free(Director *d)
{
    g_queue_clear_full(&d->requests, operator_request_free);
    g_hash_table_destroy(d->rate_windows);
    g_ptr_array_unref(d->reservations);
    g_hash_table_destroy(d->entries_by_hash);
    g_hash_table_destroy(d->shares);
    document_unref(d->decoded_document);
    documents_clear(d);
    g_hash_table_destroy(d->peers);
    g_hash_table_destroy(d->suspect_watches);
    g_ptr_array_unref(d->grant_lists.entries);
    g_ptr_array_unref(d->grant_lists.primaries);
    g_hash_table_destroy(d->changes);
    g_hash_table_destroy(d->entries);
    g_hash_table_destroy(d->primaries);
    g_hash_table_destroy(d->orders);
    evacuations_clear(&d->evacuations);
    g_hash_table_destroy(d->queries);
    g_ptr_array_unref(d->collected);
    directory_clear(&d->directory);
    consensus_free(d->consensus);
    g_clear_pointer(&d->document, g_bytes_unref);
    g_free(d->failure_domain);
    g_free(d->id);
    g_free(d);
}

/* Starts from the saved state.  bootstrap lists the first voters of a new
 * fleet, as ConsensusMember, and may be NULL.  Returns FALSE with an error if
 * the saved state is corrupt; see consensus_start. */
gboolean
director_start(Director *d, uint64_t now_us, const ConsensusSaved *saved,
               const GPtrArray *bootstrap, GError **error)
{
    d->leader_seen_us = now_us;
    gboolean ok =
        consensus_start(d->consensus, now_us, saved, bootstrap, error);
    d->replayed_index = consensus_last_index(d->consensus);
    return ok;
}

/* Adds the address of another control instance.  Has no effect for a known
 * address or the instance's own. */
void
director_add_peer(Director *d, const char *address)
{
    if (strcmp(address, d->id) == 0 ||
        g_hash_table_contains(d->peers, address)) {
        return;
    }
    g_hash_table_add(d->peers, g_strdup(address));
    d->port.add_peer(d->port.ctx, address);
}

/* Returns whether this instance leads the consensus group. */
gboolean
director_is_leader(const Director *d)
{
    return consensus_role(d->consensus) == kConsensusLeader;
}

/* Returns whether storage failed, after which the instance takes no further
 * part in the consensus group. */
gboolean
director_failed(const Director *d)
{
    return consensus_failed(d->consensus);
}

/* Starts a planned stop: transfers leadership to another voter, sends no more
 * join requests and rejects operators' further requests. */
void
director_stop(Director *d, uint64_t now_us)
{
    d->stopping = TRUE;
    consensus_transfer(d->consensus, now_us);
}

/* Returns whether a planned stop has begun, another instance may lead and no
 * operator waits for an answer. */
gboolean
director_stopped(const Director *d)
{
    return d->stopping && !director_is_leader(d) && !requests_pending(d);
}

/* Returns the committed primary of a database, or NULL.  The director owns
 * it. */
PrimaryState *
director_primary(const Director *d, const char *database)
{
    return g_hash_table_lookup(d->primaries, database);
}

/* Proposes a command to the replicated log and sets *index, unless index is
 * NULL, to its log index.  Returns FALSE when this instance does not lead or
 * is transferring leadership; the index is zero then. */
gboolean
director_propose(Director *d, uint64_t now_us, const Sw__FleetCommand *command,
                 uint64_t *index)
{
    size_t size = sw__fleet_command__get_packed_size(command);
    uint8_t *packed = g_malloc(size + 1);

    sw__fleet_command__pack(command, packed);
    GBytes *bytes = g_bytes_new_take(packed, size);
    uint64_t log_index = consensus_propose(d->consensus, now_us, bytes);
    g_bytes_unref(bytes);
    if (index != NULL) {
        *index = log_index;
    }
    return log_index != 0;
}

/* Proposes the primary of a database; see director_propose. */
gboolean
director_propose_primary(Director *d, uint64_t now_us,
                         const PrimaryState *state)
{
    Sw__FleetCommand command = SW__FLEET_COMMAND__INIT;
    Sw__PrimaryRecord record;

    primary_fill(state, &record);
    command.primary = &record;
    return director_propose(d, now_us, &command, NULL);
}

/* ---- events ---- */

/* Handles a frame from another instance. */
void
director_handle_frame(Director *d, uint64_t now_us, const char *from,
                      const Sw__Frame *frame)
{
    switch (frame->body_case) {
    case SW__FRAME__BODY_CONSENSUS:
        /* An instance that lost its disk may know no other one. */
        director_add_peer(d, from);
        consensus_receive(d->consensus, now_us, from, frame->consensus);
        break;
    case SW__FRAME__BODY_ENTRY_REPORT:
        entries_handle_report(d, now_us, from, frame->entry_report);
        break;
    case SW__FRAME__BODY_DOCUMENT_RECEIPT:
        documents_handle_receipt(d, now_us, from, frame->document_receipt);
        break;
    case SW__FRAME__BODY_DIRECTORY_UPDATE:
        servers_handle_update(d, now_us, frame->directory_update);
        break;
    case SW__FRAME__BODY_SERVER_QUERY:
        queries_handle(d, now_us, from, frame->request_id,
                       frame->server_query);
        break;
    case SW__FRAME__BODY_TOKEN_REQUEST:
        rates_handle_request(d, now_us, from, frame->request_id,
                             frame->token_request);
        break;
    case SW__FRAME__BODY_JOIN_REQUEST:
        members_handle_join(d, now_us, from, frame->join_request);
        break;
    case SW__FRAME__BODY_ENTRY_GRANT:
        /* Carries the list of control instances; see members_send. */
        for (size_t i = 0; i < frame->entry_grant->n_controls; i++) {
            director_add_peer(d, frame->entry_grant->controls[i]);
        }
        break;
    case SW__FRAME__BODY_ADMIN_REQUEST:
    case SW__FRAME__BODY_ADMIN_REPLY:
        requests_handle_frame(d, now_us, from, frame);
        break;
    default:
        break;
    }
    entries_event_end(d, now_us);
}

/* Handles a backend server's reply to request_status. */
void
director_handle_status(Director *d, uint64_t now_us, const char *server,
                       const DirectorStatus *status)
{
    handover_handle_status(d, now_us, server, status);
}

/* Handles the platform's reply to a promotion request.  status is an HTTP
 * status, zero if no reply arrived. */
void
director_handle_promotion(Director *d, uint64_t now_us, const char *database,
                          const char *server, uint32_t status)
{
    handover_handle_promotion(d, now_us, database, server, status);
}

/* Logs when no leader has been known for longer than an election takes, with
 * what an election depends on, and when one is known again. */
static void
log_known_leader(Director *d, uint64_t now_us)
{
    const char *leader = consensus_leader(d->consensus);
    const ConsensusDrops *drops = consensus_drops(d->consensus);
    EventLine line;

    if (leader != NULL && d->leader_unknown_us != 0) {
        event_begin(&line, d->config.events, now_us, kEventLeaderKnown);
        event_text(&line, "leader", leader);
        event_number(&line, "term", consensus_term(d->consensus));
        event_number(&line, "unknown_us", now_us - d->leader_unknown_us);
        event_end(&line);
        d->leader_unknown_us = 0;
    }
    if (leader != NULL || d->leader_unknown_us != 0 ||
        now_us - d->leader_seen_us < kLeaderUnknownUs) {
        return;
    }
    d->leader_unknown_us = d->leader_seen_us;
    event_begin(&line, d->config.events, now_us, kEventLeaderUnknown);
    event_number(&line, "term", consensus_term(d->consensus));
    event_number(&line, "index", consensus_last_index(d->consensus));
    event_number(&line, "version", d->document_version);
    event_number(&line, "voters", consensus_voter_count(d->consensus));
    event_number(&line, "votes", consensus_is_voter(d->consensus));
    event_number(&line, "elections", consensus_elections(d->consensus));
    event_number(&line, "dropped_to_other_disk", drops->to_other_disk);
    event_number(&line, "dropped_from_other_disk", drops->from_other_disk);
    event_number(&line, "dropped_from_unknown", drops->from_unknown);
    event_end(&line);
}

/* Records when a leader was last known, and resets the leader's state when
 * this instance starts or stops leading. */
static void
update_leadership(Director *d, uint64_t now_us)
{
    gboolean leads = director_is_leader(d);
    EventLine line;

    if (consensus_leader(d->consensus) != NULL) {
        d->leader_seen_us = now_us;
    }
    log_known_leader(d, now_us);
    if (leads == (d->led_since_us != 0)) {
        return;
    }
    d->led_since_us = leads ? MAX(now_us, 1) : 0;
    d->led_term = leads ? consensus_term(d->consensus) : d->led_term;
    d->evidence_lost_us = now_us;
    d->announced = FALSE;
    d->logged_revision = 0;
    g_hash_table_remove_all(d->changes);
    d->grant_lists.primaries_valid = FALSE;
    g_hash_table_remove_all(d->shares);
    g_hash_table_remove_all(d->rate_windows);
    d->next_reservations_us = 0;
    d->reported_entries = 0;
    d->rates_known = FALSE;
    event_begin(&line, d->config.events, now_us,
                leads ? kEventLeads : kEventFollows);
    event_number(&line, "term", consensus_term(d->consensus));
    event_number(&line, "version", d->document_version);
    event_number(&line, "index", consensus_commit_index(d->consensus));
    event_end(&line);
}

/* Logs when the storage has no room any more, and when it has again. */
static void
update_storage(Director *d, uint64_t now_us)
{
    gboolean no_room = consensus_no_room(d->consensus);
    EventLine line;

    if (no_room == d->no_room) {
        return;
    }
    d->no_room = no_room;
    event_begin(&line, d->config.events, now_us,
                no_room ? kEventDiskFull : kEventDiskRoom);
    event_number(&line, "term", consensus_term(d->consensus));
    event_number(&line, "index", consensus_commit_index(d->consensus));
    event_end(&line);
}

/* Runs all timers; must be called every few milliseconds. */
void
director_tick(Director *d, uint64_t now_us)
{
    consensus_tick(d->consensus, now_us);
    update_leadership(d, now_us);
    members_tick(d, now_us);
    requests_tick(d, now_us);
    entries_tick(d, now_us);
    servers_exchange_tick(d, now_us);
    servers_expire(d, now_us);
    queries_tick(d, now_us);
    if (d->led_since_us != 0) {
        servers_tick(d, now_us);
        handover_tick(d, now_us);
    }
    entries_event_end(d, now_us);
}

/* Sends the document and grants to all entry instances as soon as a new
 * leader has applied an entry of its own term.  Earlier its state may be
 * outdated: an older log entry may name a primary that a later entry
 * replaces. */
static void
announce_leadership(Director *d, uint64_t now_us)
{
    if (d->led_since_us == 0 || d->announced ||
        !consensus_is_current(d->consensus)) {
        return;
    }
    d->announced = TRUE;
    entries_push_document(d, now_us);
    entries_renew_leases(d, now_us);
}

/* Ends a batch of events: syncs storage once, then sends the messages and
 * replies that depend on the synced data.  Must be called after each batch. */
void
director_flush(Director *d, uint64_t now_us)
{
    consensus_flush(d->consensus, now_us);
    entries_event_end(d, now_us);
    update_leadership(d, now_us);
    announce_leadership(d, now_us);
    entries_grant_confirmed(d, now_us);
    requests_tick(d, now_us);
    consensus_flush(d->consensus, now_us);
    entries_event_end(d, now_us);
    update_storage(d, now_us);
}
