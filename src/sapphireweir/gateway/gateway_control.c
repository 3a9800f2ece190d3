#include <string.h>

#include "fleet/document_delta.h"
#include "gateway/slow_start_gate.h"

/* Messages from control instances to an entry instance: the directory of
 * backend servers, the configuration, and grants to use primaries.  Also
 * dispatches messages between entry instances. */

enum {
    /* A control instance that is no longer listed is dropped after so long
     * without a message. */
    kContactDroppedUs = 10000000,
    kDefaultServiceUs = 15000, /* service time before the first answer */
};

/* ---- backend servers ---- */

/* Closes all own and borrowed connections to a server whose run or address has
 * changed, or whose failure domain is evacuated. */
void
gateway_server_close_all(Server *s, uint64_t now_us)
{
    while (s->connections->len + s->relays->len > 0) {
        Connection *c = s->connections->len > 0
                            ? g_ptr_array_index(s->connections, 0)
                            : g_ptr_array_index(s->relays, 0);
        Session *session = c->session;
        connection_close(c);
        if (session != NULL) {
            session_connection_lost(session, now_us);
        }
    }
}

/* Marks older servers with the same address as gone: an address belongs to
 * the newest run that reports it. */
static void
mark_replaced_servers(Gateway *g, uint64_t now_us, const Server *newest)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Server *s = value;
        if (s != newest && s->born_ms < newest->born_ms &&
            strcmp(s->address, newest->address) == 0) {
            server_set_gone(s, now_us, TRUE);
        }
    }
}

/* Returns whether a record is older than what is known of its server, by the
 * rule of the control instances' directories.  A control instance that was
 * isolated or has restarted may send one. */
static gboolean
record_is_older(const Server *s, const Sw__ServerRecord *r)
{
    if (s->born_ms != r->born_ms) {
        return r->born_ms < s->born_ms;
    }
    if (s->gone) {
        return r->sequence <= s->sequence;
    }
    return r->sequence < s->sequence && !r->gone;
}

/* Applies a directory record to a server, creating it if needed.  Older
 * records are ignored. */
static void
server_update(Gateway *g, uint64_t now_us, const Sw__ServerRecord *r)
{
    Server *s = g_hash_table_lookup(g->servers, r->id);

    if (s == NULL) {
        if (r->gone) {
            return;
        }
        s = g_new0(Server, 1);
        s->id = g_strdup(r->id);
        s->connections = g_ptr_array_new();
        s->relays = g_ptr_array_new();
        s->service_us = kDefaultServiceUs;
        s->slow_start.run.seen_us = now_us;
        concurrency_init(&s->concurrency);
        g_hash_table_insert(g->servers, s->id, s);
    }
    else if (record_is_older(s, r)) {
        g->counters.server_records_older++;
        return;
    }
    gboolean moved =
        s->born_ms != r->born_ms || g_strcmp0(s->address, r->address) != 0;
    g->owners_stale |= moved || s->gone != (gboolean)r->gone ||
                       g_strcmp0(s->failure_domain, r->failure_domain) != 0;
    if (s->address != NULL && moved) {
        gateway_server_close_all(s, now_us);
        serverpool_close_all(s->pool, now_us);
        s->avoid_until_us = 0;
        s->failing_since_us = 0;
        s->lagging_step_us = 0;
        s->lagging_until_us = 0;
    }
    g_free(s->address);
    g_free(s->failure_domain);
    s->address = g_strdup(r->address);
    s->failure_domain = g_strdup(r->failure_domain);
    slow_start_gate_record(s, now_us, r, s->born_ms != r->born_ms);
    s->sequence =
        s->born_ms == r->born_ms ? MAX(s->sequence, r->sequence) : r->sequence;
    s->born_ms = r->born_ms;
    s->slots = r->slots;
    if (r->draining && !s->draining) {
        s->draining_us = now_us;
    }
    s->draining = r->draining;
    server_set_database(s, gateway_database(g, r->database));
    server_set_gone(s, now_us, r->gone);
    if (!s->gone) {
        mark_replaced_servers(g, now_us, s);
    }
}

/* Applies a directory update.  An incremental one is ignored if it belongs to
 * another run of the control instance than the last full one. */
static void
handle_directory(Gateway *g, uint64_t now_us, ControlContact *from,
                 const Sw__DirectoryUpdate *m)
{
    if (m->run != from->run && !m->full) {
        return;
    }
    from->run = m->run;
    from->revision = m->revision;
    for (size_t i = 0; i < m->n_servers; i++) {
        server_update(g, now_us, m->servers[i]);
    }
}

/* Handles the answer to a request for a server's report. */
static void
handle_server_answer(Gateway *g, uint64_t now_us, uint64_t query,
                     const Sw__ServerAnswer *m)
{
    if (m->record == NULL) {
        return;
    }
    server_update(g, now_us, m->record);
    slow_start_gate_answered(g, query, m->record);
}

/* ---- configuration ---- */

/* Returns the encoded document of an update, to be unreferenced by the caller.
 * Returns NULL if the update is a delta to a version that this instance does
 * not have; the control instance then sends the whole document after the next
 * report. */
static GBytes *
update_text(const Gateway *g, const Sw__DocumentUpdate *m)
{
    if (m->base_version == 0) {
        return g_bytes_new(m->text.data, m->text.len);
    }
    if (g->document == NULL || g->document->version != m->base_version) {
        return NULL;
    }
    return document_delta_apply(g->document_text, m);
}

/* Logs and counts an update that is a delta to another version than the one in
 * force. */
static void
log_unusable(Gateway *g, uint64_t now_us, const char *from,
             const Sw__DocumentUpdate *m)
{
    EventLine line;

    g->counters.documents_unusable++;
    event_begin(&line, g->events, now_us, kEventUnusable);
    event_text(&line, "from", from);
    event_number(&line, "version", m->version);
    event_number(&line, "base", m->base_version);
    event_number(&line, "in_force", gateway_version(g));
    event_end(&line);
}

/* Puts a newer configuration into force. */
static void
handle_document(Gateway *g, uint64_t now_us, const char *from,
                const Sw__DocumentUpdate *m)
{
    EventLine line;
    size_t bytes;

    if (m->version <= gateway_version(g)) {
        g->counters.documents_repeated++;
        return;
    }
    GBytes *text = update_text(g, m);
    if (text == NULL) {
        log_unusable(g, now_us, from, m);
        return;
    }
    const uint8_t *data = g_bytes_get_data(text, &bytes);
    Document *d = g->decode(data, bytes);
    if (d == NULL || d->version != m->version) {
        g_warning("configuration version %" G_GUINT64_FORMAT
                  " from control instance cannot be decoded",
                  m->version);
        document_unref(d);
        g_bytes_unref(text);
        return;
    }
    document_unref(g->document);
    g->document = d;
    g->prioritized = document_has_priorities(d);
    serverpool_forget_teams(g);
    g_clear_pointer(&g->document_text, g_bytes_unref);
    g->document_text = text;
    g->counters.documents_applied++;
    event_begin(&line, g->events, now_us, kEventConfiguration);
    event_number(&line, "version", d->version);
    event_number(&line, "routes", g_hash_table_size(d->routes));
    event_end(&line);
    session_document_changed(g, now_us);
}

/* Answers a transfer of the configuration: it was applied, or cannot be
 * used. */
static void
send_receipt(Gateway *g, uint64_t now_us, const char *to, uint64_t transfer)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentReceipt m = SW__DOCUMENT_RECEIPT__INIT;

    m.transfer = transfer;
    m.version = gateway_version(g);
    m.incoming_version = document_receiver_version(&g->receiver, now_us);
    frame.body_case = SW__FRAME__BODY_DOCUMENT_RECEIPT;
    frame.document_receipt = &m;
    g->port.peer_send(g->port.ctx, to, &frame);
}

/* Adds a chunk of a configuration that arrives in chunks.  The sender gets an
 * answer unless further chunks are awaited. */
static void
handle_document_chunk(Gateway *g, uint64_t now_us, const char *from,
                      const Sw__DocumentChunk *m)
{
    Sw__DocumentUpdate *update = NULL;
    ChunkResult result = kChunkUnusable;

    if (m->version <= gateway_version(g)) {
        g->counters.documents_repeated += m->offset == 0;
    }
    else {
        result = document_receiver_add(&g->receiver, now_us, from, m, &update);
    }
    if (result == kChunkCompletes) {
        handle_document(g, now_us, from, update);
        sw__document_update__free_unpacked(update, NULL);
    }
    if (result != kChunkAwaitsMore) {
        send_receipt(g, now_us, from, m->transfer);
    }
}

/* ---- rights to primaries ---- */

/* Aborts all work of this instance at a database's primary. */
void
gateway_primary_release(Database *d, uint64_t now_us)
{
    Gateway *g = d->gateway;
    GPtrArray *affected = g_ptr_array_new();

    for (GList *l = g->sessions.head; l != NULL; l = l->next) {
        Session *s = l->data;
        if (s->database == d && s->connection != NULL && s->at_primary) {
            g_ptr_array_add(affected, s);
        }
    }
    for (guint i = 0; i < affected->len; i++) {
        session_abort_at_primary(g_ptr_array_index(affected, i), now_us);
    }
    g_ptr_array_unref(affected);
}

/* Clears the failures of a new primary, since those from before its promotion
 * do not show how it works as the primary. */
static void
clear_failures(Gateway *g, const char *id)
{
    Server *s = g_hash_table_lookup(g->servers, id);
    if (s != NULL) {
        s->failing_since_us = 0;
        s->failure_reported = FALSE;
        s->avoid_until_us = 0;
    }
}

/* Logs the primary of a database as known to this instance. */
static void
log_primary(const Database *d, uint64_t now_us, EventKind kind)
{
    const Gateway *g = d->gateway;
    EventLine line;

    event_begin(&line, g->events, now_us, kind);
    event_text(&line, "database", d->name);
    event_text(&line, "primary", d->primary);
    event_number(&line, "epoch", d->epoch);
    event_number(&line, "grant_term", g->grant_term);
    event_number(&line, "grant_revision", g->grant_revision);
    event_end(&line);
}

/* Applies the grant for one database's primary; one of an older epoch is
 * ignored. */
static void
grant_apply(Gateway *g, uint64_t now_us, const Sw__PrimaryGrant *m)
{
    Database *d = gateway_database(g, m->database);

    if (m->epoch < d->epoch) {
        return;
    }
    if (m->epoch > d->epoch) {
        freshness_clear(&d->freshness);
        d->acknowledged = (Position){0};
        g_free(d->primary);
        d->primary = g_strdup(m->primary);
        d->epoch = m->epoch;
        d->closing = FALSE;
        d->unusable_since_us = 0;
        clear_failures(g, m->primary);
        log_primary(d, now_us, kEventPrimary);
        /* Last, since work that has not run is dispatched again. */
        gateway_primary_release(d, now_us);
    }
    if (m->quiescing != d->quiescing) {
        d->quiescing = m->quiescing;
        g->report_due_us = now_us;
    }
    if (m->closing && !d->closing) {
        d->closing = TRUE;
        d->unusable_since_us = now_us;
        log_primary(d, now_us, kEventPrimaryClosing);
        gateway_primary_release(d, now_us);
        g->report_due_us = now_us;
    }
    else if (!m->closing && d->closing) {
        d->closing = FALSE;
        d->unusable_since_us = 0;
    }
    if (m->closing) {
        d->released_epoch = m->epoch;
    }
}

/* Tells whether a grant is newer than all previous ones, and records its term
 * and revision if so.  Messages of a former leader or an earlier link may
 * arrive late, and an older grant must not restore the use of a primary that a
 * newer one revoked. */
static gboolean
grant_is_newer(Gateway *g, const Sw__EntryGrant *m)
{
    if (m->term < g->grant_term ||
        (m->term == g->grant_term && m->revision <= g->grant_revision)) {
        return FALSE;
    }
    g->grant_term = m->term;
    g->grant_revision = m->revision;
    return TRUE;
}

/* Tells whether the grant lists a control instance. */
static gboolean
lists_control(const Sw__EntryGrant *m, const char *address)
{
    for (size_t i = 0; i < m->n_controls; i++) {
        if (strcmp(m->controls[i], address) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Adds the control instances that the grant lists, and removes those that it
 * does not list and that have been out of contact for kContactDroppedUs. */
static void
update_controls(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    GHashTableIter it;
    void *value;

    for (size_t i = 0; i < m->n_controls; i++) {
        gateway_control_add(g, now_us, m->controls[i]);
    }
    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ControlContact *c = value;
        if (now_us - MAX(c->last_seen_us, c->added_us) > kContactDroppedUs &&
            !lists_control(m, c->address)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Applies a grant: members, primaries, rate shares and the lease.  A grant
 * that does not answer a recent report of this instance is ignored, except for
 * sequence 0, which only changes primaries.  One that omits the primaries is
 * ignored unless this instance has the list that it refers to; the next report
 * then requests the list.  One that refers to another list of evacuated
 * failure domains renews no lease. */
static void
handle_grant(Gateway *g, uint64_t now_us, const ControlContact *from,
             const Sw__EntryGrant *m)
{
    if (m->n_controls > 0) {
        update_controls(g, now_us, m);
        g->controls_hash = m->controls_hash;
    }
    relay_update_entries(g, m);
    evacuation_handle_grant(g, now_us, m);
    rate_pool_set_entries(g->rate_pool, g->entries);
    if (m->lease_us == 0 && m->n_primaries == 0) {
        return;
    }
    if (!grant_is_newer(g, m)) {
        return;
    }
    if (m->sequence != 0 &&
        (m->sequence <= g->granted_sequence || m->sequence > g->sequence ||
         m->sequence + kReportsKept <= g->sequence)) {
        return;
    }
    if (m->n_primaries == 0 && m->primaries_hash != g->primaries_hash) {
        g->report_due_us = now_us;
        return;
    }
    for (size_t i = 0; i < m->n_primaries; i++) {
        grant_apply(g, now_us, m->primaries[i]);
    }
    g->primaries_hash = m->primaries_hash;
    if (m->sequence == 0) {
        return;
    }
    if (m->evacuations_hash != evacuation_hash(g)) {
        /* A later grant has the list; an early report would be answered by the
         * same one if the control instances had lost their logs. */
        return;
    }
    if (g_strcmp0(g->leader, from->address) != 0) {
        g_free(g->leader);
        g->leader = g_strdup(from->address);
    }
    g->evidence_checked = m->evidence_checked;
    g->evidence_wanted |= m->evidence_wanted;
    g->granted_sequence = m->sequence;
    g->entry_count = MAX(m->entry_count, 1);
    g->granted_report_us = g->report_sent_us[m->sequence % kReportsKept];
    if (g->document != NULL && g->document->version >= m->document_version) {
        g->confirmed_us = g->granted_report_us;
    }
    uint64_t until_us = g->granted_report_us + m->lease_us;
    g->lease_until_us = MAX(g->lease_until_us, until_us);
    rate_pool_set_contact(g->rate_pool, now_us, g->granted_report_us);
    team_rates_grant(g, now_us, m);
}

/* Handles a message from another entry instance.  Returns FALSE if the frame
 * is of another kind. */
static gboolean
handle_entry_frame(Gateway *g, uint64_t now_us, const char *from,
                   const Sw__Frame *frame)
{
    switch (frame->body_case) {
    case SW__FRAME__BODY_RELAY_RUN:
        serverpool_run(g, now_us, from, frame->relay_run);
        return TRUE;
    case SW__FRAME__BODY_RELAY_END:
        serverpool_end(g, now_us, from, frame->relay_end->relay);
        return TRUE;
    case SW__FRAME__BODY_RELAY_RESULT:
        relay_result(g, now_us, from, frame->relay_result);
        return TRUE;
    case SW__FRAME__BODY_RELAY_PING:
        relay_ping(g, now_us, from, frame->relay_ping);
        return TRUE;
    case SW__FRAME__BODY_RATE_SHARE_REQUEST:
        rate_pool_request(g->rate_pool, now_us, from, frame->request_id,
                          frame->rate_share_request, g->document);
        return TRUE;
    case SW__FRAME__BODY_RATE_SHARE_REPLY:
        rate_pool_reply(g->rate_pool, now_us, from, frame->request_id,
                        frame->rate_share_reply);
        return TRUE;
    default:
        return FALSE;
    }
}

/* Handles a message from another instance.  Unless it is one that entry
 * instances exchange, the sender is added as a control instance. */
void
gateway_frame(Gateway *g, uint64_t now_us, const char *from,
              const Sw__Frame *frame)
{
    ControlContact *c;

    if (handle_entry_frame(g, now_us, from, frame)) {
        return;
    }
    c = g_hash_table_lookup(g->controls, from);
    if (c == NULL) {
        gateway_control_add(g, now_us, from);
        c = g_hash_table_lookup(g->controls, from);
    }
    c->last_seen_us = now_us;
    switch (frame->body_case) {
    case SW__FRAME__BODY_ENTRY_GRANT:
        handle_grant(g, now_us, c, frame->entry_grant);
        break;
    case SW__FRAME__BODY_DIRECTORY_UPDATE:
        handle_directory(g, now_us, c, frame->directory_update);
        break;
    case SW__FRAME__BODY_SERVER_ANSWER:
        handle_server_answer(g, now_us, frame->request_id,
                             frame->server_answer);
        break;
    case SW__FRAME__BODY_TOKEN_REPLY:
        team_rates_reply(g, now_us, frame->request_id, frame->token_reply);
        break;
    case SW__FRAME__BODY_DOCUMENT_UPDATE:
        handle_document(g, now_us, from, frame->document_update);
        break;
    case SW__FRAME__BODY_DOCUMENT_CHUNK:
        handle_document_chunk(g, now_us, from, frame->document_chunk);
        break;
    default:
        break;
    }
}
