#include <string.h>

#include "fleet/director_internal.h"

/* Operators' orders to evacuate or restore a failure domain, and the messages
 * that tell entry instances of the evacuated domains.
 *
 * The control instance that receives an order notes the revision of the domain
 * at that time.  The order takes effect only at that revision, so a delayed or
 * repeated one changes nothing after a later one took effect.  An order whose
 * effect is in force already is acknowledged, after a majority has confirmed
 * that this leader still leads, and makes no log entry.  It must not be undone
 * by an earlier order either, so each order also needs a ticket of the leader
 * that is newer than the last acknowledgement for the domain. */

enum {
    kHttpOk = 200,
    /* Reply of the leader to a forwarded order.  It differs from kHttpOk,
     * which a leader of an earlier release sends: it takes an unknown request
     * for a read of the document. */
    kHttpNoContent = 204,
    kHttpConflict = 409, /* between control instances: it was overtaken */
    kHttpUnavailable = 503,
    /* An order is held for so long before it is passed on, so that the end of
     * its operator's connection, which may follow it closely, is noticed.  The
     * operator then has repeated the order elsewhere, or given a later one. */
    kOrderHoldUs = 15000,
    kDecimal = 10,
};

static const char kEvacuateVerb[] = "evacuate";
static const char kRestoreVerb[] = "restore";
static const char kTicketVerb[] = "evacuation-ticket";

/* ---- the replicated state ---- */

/* Writes the audit event of an effective order.  Each control instance writes
 * one for each log entry that it applies. */
static void
log_order(const Director *d, uint64_t now_us, uint64_t index,
          const Sw__EvacuationOrder *order)
{
    EventLine line;

    event_begin(&line, d->config.events, now_us, kEventEvacuation);
    event_text(&line, "domain", order->domain);
    event_text(&line, "action", order->evacuated ? "evacuate" : "restore");
    event_number(&line, "index", index);
    event_number(&line, "revision",
                 evacuations_domain_revision(&d->evacuations, order->domain));
    event_end(&line);
}

/* Applies a committed order.  The leader also tells the entry instances. */
void
director_apply_evacuation(Director *d, uint64_t now_us, uint64_t index,
                          const Sw__EvacuationOrder *order)
{
    gboolean replayed = index <= d->replayed_index;

    if (!evacuations_apply(&d->evacuations, replayed ? 0 : now_us, index,
                           order)) {
        return;
    }
    d->evacuation_changes++;
    log_order(d, now_us, index, order);
    if (director_is_leader(d) && consensus_is_current(d->consensus)) {
        entries_push_evacuations(d, now_us);
    }
}

/* ---- messages to entry instances ---- */

/* Fills in the hash and the revision of the evacuated domains, and the domains
 * themselves unless the receiver reported the same hash.  Unreference the
 * returned list, which the message borrows, after the message was sent. */
GPtrArray *
director_grant_evacuations(const Director *d, uint64_t now_us,
                           uint64_t known_hash, Sw__EntryGrant *m)
{
    GPtrArray *list = evacuations_list(&d->evacuations, now_us);

    m->evacuations_hash = evacuations_hash(&d->evacuations);
    m->evacuations_revision = d->evacuations.revision;
    if (m->evacuations_hash != known_hash) {
        m->n_evacuated = list->len;
        m->evacuated = (Sw__EvacuatedDomain **)list->pdata;
    }
    return list;
}

/* Sends an entry instance the evacuated domains, without a lease.  A control
 * instance whose state may be outdated sends nothing: after its start an entry
 * instance trusts the first list that it gets. */
void
director_send_evacuations(Director *d, uint64_t now_us, EntryState *entry)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;

    if (!consensus_is_current(d->consensus)) {
        return;
    }
    GPtrArray *list = director_grant_evacuations(d, now_us, 0, &m);
    m.document_version = d->document_version;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    d->port.send(d->port.ctx, entry->id, &frame);
    g_ptr_array_unref(list);
}

/* Handles the hash in an entry instance's report: sends the list if the
 * instance has another one.  Any control instance does so, since an instance
 * may be in contact with followers only. */
void
director_evacuations_report(Director *d, uint64_t now_us, EntryState *entry)
{
    if (entry->evacuations_hash != evacuations_hash(&d->evacuations)) {
        director_send_evacuations(d, now_us, entry);
    }
}

/* ---- orders ---- */

/* Returns the orders for a failure domain, created if needed. */
static DomainOrders *
orders_of(Director *d, const char *domain)
{
    DomainOrders *o = g_hash_table_lookup(d->orders, domain);

    if (o == NULL) {
        o = g_new0(DomainOrders, 1);
        g_hash_table_insert(d->orders, g_strdup(domain), o);
    }
    return o;
}

/* Proposes an order, unless the same one was proposed at this revision in this
 * term.  Retries of an order therefore make one log entry. */
static void
propose_order(Director *d, uint64_t now_us, OperatorRequest *r)
{
    Sw__FleetCommand command = SW__FLEET_COMMAND__INIT;
    Sw__EvacuationOrder order = SW__EVACUATION_ORDER__INIT;
    uint64_t term = consensus_term(d->consensus);
    DomainOrders *o = orders_of(d, r->domain);

    if (o->term == term && o->base_revision == r->base_revision &&
        o->evacuated == r->evacuated) {
        r->index = o->index;
        r->term = term;
        return;
    }
    order.domain = r->domain;
    order.evacuated = r->evacuated;
    order.base_revision = r->base_revision;
    command.evacuation = &order;
    if (!director_propose(d, now_us, &command, &r->index)) {
        return;
    }
    r->term = term;
    o->index = r->index;
    o->term = term;
    o->base_revision = r->base_revision;
    o->evacuated = r->evacuated;
}

typedef enum {
    kOrderDone,
    kOrderOvertaken, /* another order for the domain took effect first */
    kOrderUnavailable,
} OrderOutcome;

/* Replies to an order and frees it.  An operator gets 503 for an overtaken
 * one, and repeats it if it is still wanted. */
static void
order_reply(Director *d, OperatorRequest *r, OrderOutcome outcome)
{
    uint32_t status = outcome == kOrderDone        ? kHttpNoContent
                      : outcome == kOrderOvertaken ? kHttpConflict
                                                   : kHttpUnavailable;

    if (outcome == kOrderDone) {
        orders_of(d, r->domain)->ticket++;
    }
    if (r->origin == NULL) {
        status = outcome == kOrderDone ? kHttpOk : kHttpUnavailable;
    }
    operator_request_reply(d, r, status, NULL, 0);
}

/* Returns whether an order that this instance received may be passed on: its
 * operator still waits for the answer.  Drops it otherwise. */
static gboolean
operator_waits(Director *d, OperatorRequest *r)
{
    if (r->origin != NULL ||
        (r->handle != NULL &&
         (d->port.operator_waits == NULL ||
          d->port.operator_waits(d->port.ctx, r->handle)))) {
        return TRUE;
    }
    order_reply(d, r, kOrderUnavailable);
    return FALSE;
}

/* Sends a message about an order to the leader that it is forwarded to. */
static void
send_to_leader(Director *d, OperatorRequest *r, const char *verb,
               const char *body)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminRequest m = SW__ADMIN_REQUEST__INIT;

    m.verb = (char *)verb;
    m.key = r->domain;
    m.body.data = (uint8_t *)body;
    m.body.len = strlen(body);
    r->forward_id = ++d->last_forward_id;
    frame.request_id = r->forward_id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REQUEST;
    frame.admin_request = &m;
    d->port.send(d->port.ctx, r->forwarded_to, &frame);
}

/* Forwards an order with its ticket and the revision at its receipt. */
static void
forward_order(Director *d, OperatorRequest *r)
{
    char *body = g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
                                 " %" G_GUINT64_FORMAT,
                                 r->ticket_term, r->ticket, r->base_revision);

    send_to_leader(d, r, r->evacuated ? kEvacuateVerb : kRestoreVerb, body);
    g_free(body);
}

/* Begins to forward an order to the leader: requests a ticket. */
static void
request_ticket(Director *d, OperatorRequest *r, const char *leader)
{
    r->ticket_term = 0;
    g_free(r->forwarded_to);
    r->forwarded_to = g_strdup(leader);
    send_to_leader(d, r, kTicketVerb, "");
}

/* Returns whether an order may still take effect: no order for the domain took
 * effect, or was acknowledged, after it was received. */
static gboolean
order_is_newest(Director *d, const OperatorRequest *r)
{
    return evacuations_domain_revision(&d->evacuations, r->domain) ==
               r->base_revision &&
           r->ticket_term == consensus_term(d->consensus) &&
           r->ticket == orders_of(d, r->domain)->ticket;
}

/* Returns whether the opposite order was proposed and is not committed. */
static gboolean
opposite_is_pending(Director *d, const OperatorRequest *r)
{
    const DomainOrders *o = orders_of(d, r->domain);

    return o->term == consensus_term(d->consensus) &&
           o->evacuated != r->evacuated &&
           o->index > consensus_commit_index(d->consensus);
}

/* Runs an order on the leader: confirms that it still leads, then answers an
 * order whose effect is in force, refuses one that was overtaken by another,
 * and proposes any other. */
static void
lead_order(Director *d, uint64_t now_us, OperatorRequest *r)
{
    if (r->index != 0) {
        return;
    }
    if (r->origin == NULL && r->ticket_term != consensus_term(d->consensus)) {
        r->ticket_term = consensus_term(d->consensus);
        r->ticket = orders_of(d, r->domain)->ticket;
    }
    if (r->round == 0) {
        r->round = consensus_read_begin(d->consensus, now_us);
        return;
    }
    if (!consensus_read_ready(d->consensus, r->round) ||
        now_us < r->held_until_us || opposite_is_pending(d, r)) {
        return;
    }
    if (evacuations_contain(&d->evacuations, r->domain) == r->evacuated) {
        order_reply(d, r, kOrderDone);
        return;
    }
    if (!order_is_newest(d, r)) {
        order_reply(d, r, kOrderOvertaken);
        return;
    }
    if (operator_waits(d, r)) {
        propose_order(d, now_us, r);
    }
}

/* Proposes, confirms, forwards or answers an order, whichever can be done
 * next; its deadline has not passed.  An answer frees the request. */
void
director_order_advance(Director *d, uint64_t now_us, OperatorRequest *r)
{
    const char *leader = consensus_leader(d->consensus);

    if (!r->base_known) {
        if (!consensus_is_current(d->consensus)) {
            return;
        }
        r->base_known = TRUE;
        r->base_revision =
            evacuations_domain_revision(&d->evacuations, r->domain);
    }
    if (director_is_leader(d)) {
        lead_order(d, now_us, r);
        return;
    }
    if (r->index != 0 || r->origin != NULL) {
        order_reply(d, r, kOrderUnavailable);
        return;
    }
    r->round = 0;
    if (leader != NULL && now_us >= r->held_until_us &&
        g_strcmp0(r->forwarded_to, leader) != 0 && operator_waits(d, r)) {
        request_ticket(d, r, leader);
    }
}

/* Replies to an order whose proposal was applied, unless that was lost: done
 * if the domain is in the wanted state now. */
void
director_order_applied(Director *d, OperatorRequest *r, uint64_t term)
{
    if (r->term != term) {
        order_reply(d, r, kOrderUnavailable);
        return;
    }
    gboolean done =
        evacuations_contain(&d->evacuations, r->domain) == r->evacuated;
    order_reply(d, r, done ? kOrderDone : kOrderOvertaken);
}

/* Returns the next number of a message's body, and advances *at. */
static uint64_t
next_number(char **at)
{
    return g_ascii_strtoull(*at, at, kDecimal);
}

/* Returns a copy of a message's body as text, to be freed by the caller. */
static char *
body_text(const ProtobufCBinaryData *body)
{
    return g_strndup((const char *)body->data,
                     body->data == NULL ? 0 : body->len);
}

/* Handles the leader's reply to a message about an order: a ticket, with which
 * the order follows, or the outcome.  An instance that does not lead replies
 * with 503; the order is then forwarded again, at the same revision. */
void
director_order_reply_received(Director *d, uint64_t now_us, OperatorRequest *r,
                              const Sw__AdminReply *m)
{
    if (m->status == kHttpUnavailable && now_us < r->deadline_us) {
        g_clear_pointer(&r->forwarded_to, g_free);
        return;
    }
    if (m->status != kHttpNoContent || r->ticket_term != 0) {
        order_reply(
            d, r, m->status == kHttpNoContent ? kOrderDone : kOrderOvertaken);
        return;
    }
    char *text = body_text(&m->body);
    char *at = text;
    r->ticket_term = next_number(&at);
    r->ticket = next_number(&at);
    g_free(text);
    if (r->forwarded_to != NULL && operator_waits(d, r)) {
        forward_order(d, r);
    }
}

/* Sends another control instance a ticket for an order, or 503 if this
 * instance does not lead. */
static void
send_ticket(Director *d, const char *to, uint64_t id, const char *domain)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminReply reply = SW__ADMIN_REPLY__INIT;
    char text[48];

    reply.status = kHttpUnavailable;
    if (director_is_leader(d)) {
        reply.status = kHttpNoContent;
        reply.body.len = (size_t)g_snprintf(
            text, sizeof(text), "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
            consensus_term(d->consensus), orders_of(d, domain)->ticket);
        reply.body.data = (uint8_t *)text;
    }
    frame.request_id = id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REPLY;
    frame.admin_reply = &reply;
    d->port.send(d->port.ctx, to, &frame);
}

/* Handles a message about an order that another control instance received.
 * Returns FALSE if the message is of another kind. */
gboolean
director_order_handle(Director *d, uint64_t now_us, const char *from,
                      uint64_t id, const Sw__AdminRequest *m)
{
    gboolean evacuated = strcmp(m->verb, kEvacuateVerb) == 0;

    if (strcmp(m->verb, kTicketVerb) == 0) {
        send_ticket(d, from, id, m->key);
        return TRUE;
    }
    if (!evacuated && strcmp(m->verb, kRestoreVerb) != 0) {
        return FALSE;
    }
    OperatorRequest *r = operator_request_add(d, now_us, kRequestOrder);
    char *text = body_text(&m->body);
    char *at = text;
    r->origin = g_strdup(from);
    r->origin_id = id;
    r->domain = g_strdup(m->key);
    r->evacuated = evacuated;
    r->base_known = TRUE;
    r->ticket_term = next_number(&at);
    r->ticket = next_number(&at);
    r->base_revision = next_number(&at);
    g_free(text);
    director_order_advance(d, now_us, r);
    return TRUE;
}

/* Evacuates a failure domain, or restores it.  The caller has checked that the
 * domain exists.  Calls operator_reply with request later: with 200 once the
 * order, or one with the same effect, is committed, and with 503 if that could
 * not be confirmed in time or another order overtook this one. */
void
director_evacuate(Director *d, uint64_t now_us, void *request,
                  const char *domain, gboolean evacuated)
{
    if (d->stopping) {
        d->port.operator_reply(d->port.ctx, request, kHttpUnavailable, NULL,
                               0);
        return;
    }
    OperatorRequest *r = operator_request_add(d, now_us, kRequestOrder);
    r->handle = request;
    r->domain = g_strdup(domain);
    r->evacuated = evacuated;
    r->held_until_us = now_us + kOrderHoldUs;
    director_order_advance(d, now_us, r);
}

/* Returns whether a failure domain is known from the log or has a backend
 * server that is not gone. */
gboolean
director_knows_domain(const Director *d, const char *domain)
{
    GHashTableIter it;
    void *value;

    if (g_hash_table_contains(d->evacuations.domains, domain)) {
        return TRUE;
    }
    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        if (!s->gone && strcmp(s->failure_domain, domain) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether a backend server is in an evacuated failure domain. */
gboolean
director_server_evacuated(const Director *d, const DirectoryServer *s)
{
    return evacuations_contain(&d->evacuations, s->failure_domain);
}
