#include "gateway/gateway_internal.h"

#include <string.h>

/* What an entry instance learns from the control instances: the
 * configuration, the backend servers, and the right to use each database's
 * primary, which lasts for a short lease and is counted from the sending of
 * the report that it answers. */

enum {
    kReportEveryUs = 250000,
    kContactLostUs = 900000,      /* a control instance that says nothing */
    kForeignLostUs = 900000,      /* no answer from another failure domain */
    kContactDroppedUs = 10000000, /* one that is no member any more */
    kStartPatienceUs = 3000000,
    kAnsweredRecentlyUs = 700000,
    kDefaultServiceUs = 15000, /* before the first answer */
    kLeaseGuardUs = 40000,     /* statements in flight at the lease's end */
};

static void
server_free(void *data)
{
    Server *s = data;
    for (guint i = s->connections->len; i > 0; i--) {
        connection_close(g_ptr_array_index(s->connections, i - 1));
    }
    g_ptr_array_unref(s->connections);
    g_free(s->id);
    g_free(s->address);
    g_free(s->failure_domain);
    g_free(s);
}

static void
database_free(void *data)
{
    Database *d = data;
    g_ptr_array_unref(d->servers);
    g_queue_clear(&d->waiting);
    g_free(d->primary);
    g_free(d->name);
    g_free(d);
}

static void
contact_free(void *data)
{
    ControlContact *c = data;
    g_free(c->address);
    g_free(c);
}

/* Makes a gateway without callers; the strings of config are copied. */
Gateway *
gateway_new(const GatewayConfig *config, const GatewayPort *port)
{
    Gateway *g = g_new0(Gateway, 1);

    g->failure_domain = g_strdup(config->failure_domain);
    g->incarnation = config->incarnation;
    g->decode = config->decode;
    g->events = config->events;
    g->port = *port;
    g->databases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, database_free);
    g->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, server_free);
    g->controls =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, contact_free);
    g->rates =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_rate_free);
    g->closed = g_ptr_array_new_with_free_func(connection_free);
    g_queue_init(&g->sessions);
    g_queue_init(&g->active);
    g->entry_count = 1;
    return g;
}

/* Frees the gateway and whatever is still open in it. */
void
gateway_free(Gateway *g)
{
    while (g->sessions.length > 0) {
        session_close(g_queue_peek_head(&g->sessions), 0);
    }
    g_hash_table_destroy(g->servers);
    g_hash_table_destroy(g->databases);
    g_hash_table_destroy(g->controls);
    g_hash_table_destroy(g->rates);
    g_ptr_array_unref(g->closed);
    document_unref(g->document);
    g_free(g->leader);
    g_free(g->failure_domain);
    g_free(g);
}

/* Returns what was counted since the start. */
const GatewayCounters *
gateway_counters(const Gateway *g)
{
    return &g->counters;
}

/* Returns the version of the configuration in force, zero for none. */
uint64_t
gateway_version(const Gateway *g)
{
    return g->document == NULL ? 0 : g->document->version;
}

/* Returns a database, made when it is new. */
Database *
gateway_database(Gateway *g, const char *name)
{
    Database *d = g_hash_table_lookup(g->databases, name);
    if (d == NULL) {
        d = g_new0(Database, 1);
        d->name = g_strdup(name);
        d->gateway = g;
        d->servers = g_ptr_array_new();
        g_queue_init(&d->waiting);
        g_hash_table_insert(g->databases, d->name, d);
    }
    return d;
}

/* Returns the primary while this instance has the right to use it. */
Server *
database_primary(const Database *d, uint64_t now_us)
{
    const Gateway *g = d->gateway;
    if (d->primary == NULL || d->closing ||
        now_us + kLeaseGuardUs >= g->lease_until_us) {
        return NULL;
    }
    Server *s = g_hash_table_lookup(g->servers, d->primary);
    return s == NULL || s->gone || s->database != d ? NULL : s;
}

/* Adds a control instance that the settings name. */
void
gateway_control_add(Gateway *g, uint64_t now_us, const char *address)
{
    if (g_hash_table_contains(g->controls, address)) {
        return;
    }
    ControlContact *c = g_new0(ControlContact, 1);
    c->address = g_strdup(address);
    c->known_us = now_us;
    g_hash_table_insert(g->controls, c->address, c);
    g->port.control_known(g->port.ctx, address);
}

/* ---- backend servers ---- */

static void
server_move(Server *s, Database *d)
{
    if (s->database == d) {
        return;
    }
    if (s->database != NULL) {
        g_ptr_array_remove_fast(s->database->servers, s);
    }
    s->database = d;
    g_ptr_array_add(d->servers, s);
}

/* Closes what this instance holds at a server that is another one now. */
static void
server_close_all(Server *s, uint64_t now_us)
{
    while (s->connections->len > 0) {
        Connection *c = g_ptr_array_index(s->connections, 0);
        Session *session = c->session;
        connection_close(c);
        if (session != NULL) {
            session_connection_lost(session, now_us);
        }
    }
}

/* An address belongs to the newest run that reports it. */
static void
address_claim(Gateway *g, const Server *owner)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Server *s = value;
        if (s != owner && s->born_ms < owner->born_ms &&
            strcmp(s->address, owner->address) == 0) {
            s->gone = TRUE;
        }
    }
}

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
        s->service_us = kDefaultServiceUs;
        concurrency_init(&s->concurrency);
        g_hash_table_insert(g->servers, s->id, s);
    }
    else if (r->born_ms < s->born_ms) {
        return;
    }
    gboolean moved =
        s->born_ms != r->born_ms || g_strcmp0(s->address, r->address) != 0;
    if (s->address != NULL && moved) {
        server_close_all(s, now_us);
        s->avoid_until_us = 0;
        s->failing_since_us = 0;
        s->lagging_step_us = 0;
        s->lagging_until_us = 0;
    }
    g_free(s->address);
    g_free(s->failure_domain);
    s->address = g_strdup(r->address);
    s->failure_domain = g_strdup(r->failure_domain);
    s->born_ms = r->born_ms;
    s->slots = r->slots;
    s->draining = r->draining;
    s->gone = r->gone;
    server_move(s, gateway_database(g, r->database));
    if (!s->gone) {
        address_claim(g, s);
    }
}

static void
on_directory(Gateway *g, uint64_t now_us, ControlContact *from,
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

/* ---- configuration ---- */

static void
on_document(Gateway *g, uint64_t now_us, const Sw__DocumentUpdate *m)
{
    EventLine line;

    if (g->document != NULL && m->version <= g->document->version) {
        return;
    }
    Document *d = g->decode(m->text.data, m->text.len);
    if (d == NULL) {
        g_warning("configuration %" G_GUINT64_FORMAT
                  " from control cannot be read",
                  m->version);
        return;
    }
    document_unref(g->document);
    g->document = d;
    event_begin(&line, g->events, now_us, kEventConfiguration);
    event_number(&line, "version", d->version);
    event_number(&line, "routes", g_hash_table_size(d->routes));
    event_end(&line);
}

/* ---- rights to primaries ---- */

/* Ends every use of a database's primary. */
static void
primary_release(Database *d, uint64_t now_us)
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
        session_abort_at(g_ptr_array_index(affected, i), now_us);
    }
    g_ptr_array_unref(affected);
}

/* What a server did before it became primary says nothing about it. */
static void
forget_failures(Gateway *g, const char *id)
{
    Server *s = g_hash_table_lookup(g->servers, id);
    if (s != NULL) {
        s->failing_since_us = 0;
        s->failure_told = FALSE;
        s->avoid_until_us = 0;
    }
}

/* Tells what this instance believes of a database's primary. */
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

static void
grant_apply(Gateway *g, uint64_t now_us, const Sw__PrimaryGrant *m)
{
    Database *d = gateway_database(g, m->database);

    if (m->epoch < d->epoch) {
        return;
    }
    if (m->epoch > d->epoch) {
        primary_release(d, now_us);
        freshness_clear(&d->freshness);
        g_free(d->primary);
        d->primary = g_strdup(m->primary);
        d->epoch = m->epoch;
        d->closing = FALSE;
        d->closed_us = 0;
        forget_failures(g, m->primary);
        log_primary(d, now_us, kEventPrimary);
    }
    if (m->quiescing != d->quiescing) {
        d->quiescing = m->quiescing;
        g->report_due_us = now_us;
    }
    if (m->closing && !d->closing) {
        d->closing = TRUE;
        d->closed_us = now_us;
        log_primary(d, now_us, kEventPrimaryClosing);
        primary_release(d, now_us);
        g->report_due_us = now_us;
    }
    else if (!m->closing && d->closing) {
        d->closing = FALSE;
        d->closed_us = 0;
    }
    if (m->closing) {
        d->released_epoch = m->epoch;
    }
}

/* Tells whether a grant is newer than all before.  Links come and go, and a
 * former leader's word may arrive late: an older grant must not give back a
 * primary that a newer one took away. */
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

static gboolean
names_control(const Sw__EntryGrant *m, const char *address)
{
    for (size_t i = 0; i < m->n_controls; i++) {
        if (strcmp(m->controls[i], address) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Turns to the control instances that there are, and away from those that
 * are silent and no members any more. */
static void
follow_controls(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    GHashTableIter it;
    void *value;

    for (size_t i = 0; i < m->n_controls; i++) {
        gateway_control_add(g, now_us, m->controls[i]);
    }
    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ControlContact *c = value;
        if (now_us - MAX(c->heard_us, c->known_us) > kContactDroppedUs &&
            !names_control(m, c->address)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
on_grant(Gateway *g, uint64_t now_us, const ControlContact *from,
         const Sw__EntryGrant *m)
{
    if (m->n_controls > 0) {
        follow_controls(g, now_us, m);
    }
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
    for (size_t i = 0; i < m->n_primaries; i++) {
        grant_apply(g, now_us, m->primaries[i]);
    }
    if (m->sequence == 0) {
        return;
    }
    if (g_strcmp0(g->leader, from->address) != 0) {
        g_free(g->leader);
        g->leader = g_strdup(from->address);
    }
    g->granted_sequence = m->sequence;
    g->entry_count = MAX(m->entry_count, 1);
    uint64_t until_us = g->sent_us[m->sequence % kReportsKept] + m->lease_us;
    g->lease_until_us = MAX(g->lease_until_us, until_us);
    team_rates_grant(g, m);
}

/* Takes in a frame of a control instance. */
void
gateway_frame(Gateway *g, uint64_t now_us, const char *from,
              const Sw__Frame *frame)
{
    ControlContact *c = g_hash_table_lookup(g->controls, from);
    if (c == NULL) {
        gateway_control_add(g, now_us, from);
        c = g_hash_table_lookup(g->controls, from);
    }
    c->heard_us = now_us;
    switch (frame->body_case) {
    case SW__FRAME__BODY_ENTRY_GRANT:
        on_grant(g, now_us, c, frame->entry_grant);
        break;
    case SW__FRAME__BODY_DIRECTORY_UPDATE:
        on_directory(g, now_us, c, frame->directory_update);
        break;
    case SW__FRAME__BODY_TOKEN_REPLY:
        team_rates_reply(g, now_us, frame->request_id, frame->token_reply);
        break;
    case SW__FRAME__BODY_DOCUMENT_UPDATE:
        on_document(g, now_us, frame->document_update);
        break;
    default:
        break;
    }
}

/* ---- reports ---- */

/* Returns how many sessions hold a connection to a database's primary. */
static uint32_t
primary_open_work(const Database *d)
{
    const Server *s =
        d->primary == NULL
            ? NULL
            : g_hash_table_lookup(d->gateway->servers, d->primary);
    uint32_t open = 0;

    for (guint i = 0; s != NULL && i < s->connections->len; i++) {
        const Connection *c = g_ptr_array_index(s->connections, i);
        open += c->state == kConnectionBound;
    }
    return open;
}

/* Fills in what was seen of a database's primary. */
static void
evidence_fill(const Database *d, uint64_t now_us, Sw__PrimaryEvidence *e)
{
    const Gateway *g = d->gateway;
    const Server *s = d->primary == NULL
                          ? NULL
                          : g_hash_table_lookup(g->servers, d->primary);

    sw__primary_evidence__init(e);
    e->database = d->name;
    e->primary = d->primary == NULL ? (char *)"" : d->primary;
    e->epoch = d->epoch;
    e->released_epoch = d->closing ? d->released_epoch : 0;
    e->open_work = primary_open_work(d);
    if (s == NULL) {
        return;
    }
    if (s->failing_since_us != 0) {
        e->failing_us = now_us - s->failing_since_us;
    }
    if (s->answered_us != 0 && now_us - s->answered_us < kAnsweredRecentlyUs) {
        e->answered = TRUE;
        e->answered_ago_us = now_us - s->answered_us;
    }
}

static void
report_send(Gateway *g, Sw__EntryReport *report)
{
    GHashTableIter it;
    void *value;
    Sw__Frame frame = SW__FRAME__INIT;

    frame.body_case = SW__FRAME__BODY_ENTRY_REPORT;
    frame.entry_report = report;
    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ControlContact *c = value;
        report->directory_revision = c->revision;
        report->directory_run = c->run;
        g->port.control_send(g->port.ctx, c->address, &frame);
    }
}

/* Tells every control instance what this one saw and asks for rights. */
void
gateway_report(Gateway *g, uint64_t now_us)
{
    guint databases = g_hash_table_size(g->databases);
    Sw__PrimaryEvidence *evidence = g_new0(Sw__PrimaryEvidence, databases + 1);
    Sw__TeamDemand *demands =
        g_new0(Sw__TeamDemand, g_hash_table_size(g->rates) + 1);
    Sw__EntryReport report = SW__ENTRY_REPORT__INIT;
    GPtrArray *evidence_list = g_ptr_array_new();
    GPtrArray *demand_list = g_ptr_array_new();
    GHashTableIter it;
    void *value;
    guint n = 0;

    g->sequence++;
    g->sent_us[g->sequence % kReportsKept] = now_us;
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        evidence_fill(value, now_us, &evidence[n]);
        g_ptr_array_add(evidence_list, &evidence[n++]);
    }
    size_t count = team_rates_demand(g, now_us, demands);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(demand_list, &demands[i]);
    }
    report.failure_domain = g->failure_domain;
    report.incarnation = g->incarnation;
    report.sequence = g->sequence;
    report.document_version = g->document == NULL ? 0 : g->document->version;
    report.leaving = g->drain_us != 0;
    report.n_evidence = evidence_list->len;
    report.evidence = (Sw__PrimaryEvidence **)evidence_list->pdata;
    report.n_demand = demand_list->len;
    report.demand = (Sw__TeamDemand **)demand_list->pdata;
    report_send(g, &report);
    g_ptr_array_unref(demand_list);
    g_ptr_array_unref(evidence_list);
    g_free(demands);
    g_free(evidence);
}

/* ---- time and readiness ---- */

/* Tells whether this instance is partitioned from most of the system: it
 * hears fewer than half of the control instances, and no backend server of
 * another failure domain.  Control instances that are merely down leave the
 * servers reachable. */
static gboolean
is_cut_off(const Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    guint heard = 0;
    guint known = g_hash_table_size(g->controls);

    g_hash_table_iter_init(&it, g->controls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ControlContact *c = value;
        heard += c->heard_us != 0 && now_us - c->heard_us < kContactLostUs;
    }
    return heard * 2 < known && now_us - g->started_us > kStartPatienceUs &&
           now_us - g->foreign_answer_us > kForeignLostUs;
}

static void
log_lease(const Gateway *g, uint64_t now_us, EventKind kind)
{
    EventLine line;

    event_begin(&line, g->events, now_us, kind);
    event_text(&line, "leader", g->leader);
    event_number(&line, "granted_sequence", g->granted_sequence);
    event_number(&line, "sequence", g->sequence);
    event_end(&line);
}

static void
lease_watch(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us + kLeaseGuardUs < g->lease_until_us) {
        return;
    }
    if (g->leased) {
        g->leased = FALSE;
        log_lease(g, now_us, kEventLeaseLost);
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        if (d->closed_us == 0) {
            d->closed_us = now_us;
        }
        primary_release(d, now_us);
    }
}

static void
lease_regained(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us + kLeaseGuardUs >= g->lease_until_us) {
        return;
    }
    if (!g->leased) {
        g->leased = TRUE;
        log_lease(g, now_us, kEventLeaseRegained);
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        if (!d->closing) {
            d->closed_us = 0;
        }
    }
}

/* Tells at once when the last work at a primary that is to be replaced has
 * ended. */
static void
quiesce_watch(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Database *d = value;
        gboolean idle = d->quiescing && primary_open_work(d) == 0;
        if (idle && !d->quiet) {
            g->report_due_us = now_us;
        }
        d->quiet = idle;
    }
}

static void
cut_watch(Gateway *g, uint64_t now_us)
{
    gboolean cut = is_cut_off(g, now_us);
    EventLine line;

    if (cut == (g->cut_since_us != 0)) {
        return;
    }
    g->cut_since_us = cut ? now_us : 0;
    event_begin(&line, g->events, now_us,
                cut ? kEventCutOff : kEventCutHealed);
    event_number(&line, "foreign_answer_ago_us",
                 now_us - g->foreign_answer_us);
    event_number(&line, "controls", g_hash_table_size(g->controls));
    event_end(&line);
}

/* Lets time pass; call it every few tens of milliseconds. */
void
gateway_tick(Gateway *g, uint64_t now_us)
{
    if (g->started_us == 0) {
        g->started_us = now_us;
        g->foreign_answer_us = now_us;
    }
    g_ptr_array_set_size(g->closed, 0);
    lease_watch(g, now_us);
    lease_regained(g, now_us);
    team_rates_tick(g, now_us);
    dispatch_tick(g, now_us);
    session_tick(g, now_us);
    quiesce_watch(g, now_us);
    if (now_us >= g->report_due_us) {
        g->report_due_us = now_us + kReportEveryUs;
        gateway_report(g, now_us);
    }
    cut_watch(g, now_us);
}

/* Answers the balancer's probe: whether callers should be sent here. */
gboolean
gateway_probe(Gateway *g)
{
    gboolean ready =
        g->document != NULL && g->drain_us == 0 && g->cut_since_us == 0;

    g->unready_probes = ready ? 0 : g->unready_probes + 1;
    return ready;
}

/* Begins a planned stop: no new callers are wanted, open transactions get
 * part of the grace, idle sessions are closed once the balancer knows. */
void
gateway_drain(Gateway *g, uint64_t now_us, uint64_t grace_us)
{
    if (g->drain_us == 0) {
        g->drain_us = now_us;
        g->grace_us = grace_us;
    }
}

/* Tells whether a planned stop has nothing left to wait for. */
gboolean
gateway_drained(const Gateway *g, uint64_t now_us)
{
    (void)now_us;
    return g->drain_us != 0 && g->sessions.length == 0;
}
