#include <string.h>

#include "fleet/director_internal.h"

/* Operators' requests to replace or read the configuration document.  A new
 * document is acknowledged once it is committed.  A read is answered once a
 * majority has confirmed that this leader still leads.  Other control
 * instances forward requests to the leader. */

enum {
    /* Operators give up after about a second, and later if they send much. */
    kReadTimeoutUs = 900000,
    kChangeTimeoutUs = 1500000,
    kHttpOk = 200,
    kHttpNotModified = 304, /* the origin has the newest document */
    kHttpBadRequest = 400,
    kHttpUnavailable = 503,
};

/* Verbs of forwarded requests. */
static const char kPutVerb[] = "document-put";
static const char kGetVerb[] = "document-get";

/* Frees an OperatorRequest; usable as a GDestroyNotify. */
void
operator_request_free(void *request)
{
    OperatorRequest *r = request;
    g_clear_pointer(&r->text, g_bytes_unref);
    g_free(r->domain);
    g_free(r->origin);
    g_free(r->forwarded_to);
    g_free(r);
}

/* Replies to a request, through the driver or to its origin, and frees it. */
void
operator_request_reply(Director *d, OperatorRequest *r, uint32_t status,
                       const void *text, size_t bytes)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminReply reply = SW__ADMIN_REPLY__INIT;

    if (r->handle != NULL) {
        d->port.operator_reply(d->port.ctx, r->handle, status, text, bytes);
    }
    else if (r->origin != NULL) {
        reply.status = status;
        reply.body.data = (uint8_t *)text;
        reply.body.len = bytes;
        frame.request_id = r->origin_id;
        frame.body_case = SW__FRAME__BODY_ADMIN_REPLY;
        frame.admin_reply = &reply;
        d->port.send(d->port.ctx, r->origin, &frame);
    }
    g_queue_remove(&d->requests, r);
    operator_request_free(r);
}

static const char *const kRefusalReasons[kOperatorRefusals] = {
    [kRefusedNoLeader] = "no leader is known",
    [kRefusedDeadline] = "the leader did not answer in time",
    [kRefusedLostLead] = "this instance does not lead any more",
    [kRefusedNoDocument] = "there is no configuration",
    [kRefusedStopping] = "this instance stops",
    [kRefusedNoRoom] = "the disk of this instance is full",
};

/* Counts and logs that a request is not carried out. */
static void
count_refusal(Director *d, uint64_t now_us, const OperatorRequest *r,
              OperatorRefusal refusal)
{
    static const char *const kinds[] = {[kRequestGet] = "read",
                                        [kRequestPut] = "change",
                                        [kRequestOrder] = "order"};
    EventLine line;

    d->refusals[refusal]++;
    event_begin(&line, d->config.events, now_us, kEventOperatorRefused);
    event_text(&line, "request", kinds[r->kind]);
    event_text(&line, "reason", kRefusalReasons[refusal]);
    event_text(&line, "from", r->origin == NULL ? "operator" : r->origin);
    event_text(&line, "leader", consensus_leader(d->consensus));
    event_number(&line, "version", r->version);
    event_number(&line, "waited_us", now_us - r->received_us);
    event_end(&line);
}

/* Replies that a request is not carried out, for a reason that is counted and
 * logged, and frees it.  The control instance that forwarded a request gets a
 * text only if it is not to forward it again. */
static void
refuse_request(Director *d, uint64_t now_us, OperatorRequest *r,
               OperatorRefusal refusal)
{
    const char *reason = kRefusalReasons[refusal];
    gboolean tell = r->origin == NULL || refusal == kRefusedNoDocument;

    count_refusal(d, now_us, r, refusal);
    operator_request_reply(d, r,
                           refusal == kRefusedNoRoom ? kDirectorReplyNoRoom
                                                     : kHttpUnavailable,
                           tell ? reason : NULL, tell ? strlen(reason) : 0);
}

/* Returns a pending request that already proposed the same document in this
 * term, or NULL.  Prevents a repeated request from entering the log twice. */
static const OperatorRequest *
find_same_proposal(const Director *d, const OperatorRequest *r)
{
    for (GList *l = d->requests.head; l != NULL; l = l->next) {
        const OperatorRequest *other = l->data;
        if (other != r && other->kind == kRequestPut && other->index != 0 &&
            other->version == r->version &&
            other->term == consensus_term(d->consensus) &&
            g_bytes_equal(other->text, r->text)) {
            return other;
        }
    }
    return NULL;
}

/* Proposes a request's document, unless a pending request has done so. */
static void
propose_document(Director *d, uint64_t now_us, OperatorRequest *r)
{
    Sw__FleetCommand command = SW__FLEET_COMMAND__INIT;
    Sw__DocumentUpdate document = SW__DOCUMENT_UPDATE__INIT;
    const OperatorRequest *same = find_same_proposal(d, r);

    if (same != NULL) {
        r->index = same->index;
        r->term = same->term;
        return;
    }
    document.version = r->version;
    document.text.data =
        (uint8_t *)g_bytes_get_data(r->text, &document.text.len);
    command.document = &document;
    if (director_propose(d, now_us, &command, &r->index)) {
        r->term = consensus_term(d->consensus);
    }
}

/* Forwards a request to the leader.  A read names the version that this
 * instance has, so that the leader need not send the same text back. */
static void
forward_request(Director *d, OperatorRequest *r, const char *leader)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminRequest m = SW__ADMIN_REQUEST__INIT;
    char version[24];

    if (r->kind == kRequestGet) {
        r->version = d->document_version;
    }
    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, r->version);
    m.verb = (char *)(r->kind == kRequestPut ? kPutVerb : kGetVerb);
    m.key = version;
    if (r->text != NULL) {
        m.body.data = (uint8_t *)g_bytes_get_data(r->text, &m.body.len);
    }
    r->forward_id = ++d->last_forward_id;
    g_free(r->forwarded_to);
    r->forwarded_to = g_strdup(leader);
    frame.request_id = r->forward_id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REQUEST;
    frame.admin_request = &m;
    d->port.send(d->port.ctx, leader, &frame);
}

/* Answers a read after a majority has confirmed that this leader still
 * leads. */
static void
reply_document(Director *d, uint64_t now_us, OperatorRequest *r)
{
    size_t size = 0;
    const void *text =
        d->document == NULL ? NULL : g_bytes_get_data(d->document, &size);

    if (text == NULL) {
        refuse_request(d, now_us, r, kRefusedNoDocument);
    }
    else if (r->origin != NULL && r->version == d->document_version) {
        operator_request_reply(d, r, kHttpNotModified, NULL, 0);
    }
    else {
        operator_request_reply(d, r, kHttpOk, text, size);
    }
}

/* Returns whether a request of an operator is a change that this instance has
 * to refuse, as its storage has no room.  Not so if it was proposed or
 * forwarded, since it may have had an effect. */
static gboolean
is_refused_without_room(const Director *d, const OperatorRequest *r)
{
    return consensus_no_room(d->consensus) && r->kind != kRequestGet &&
           r->handle != NULL && r->index == 0 && r->forward_id == 0;
}

/* Returns whether a request cannot be answered in time: no leader has been
 * known for longer than an election takes, and none has the request. */
static gboolean
is_without_leader(const Director *d, uint64_t now_us, const OperatorRequest *r)
{
    return consensus_leader(d->consensus) == NULL &&
           now_us - d->leader_seen_us >= kLeaderUnknownUs &&
           (r->kind == kRequestGet || (r->forward_id == 0 && r->index == 0));
}

/* Proposes, confirms, forwards or answers a request, whichever can be done
 * next.  An answer frees the request. */
static void
request_advance(Director *d, uint64_t now_us, OperatorRequest *r)
{
    const char *leader = consensus_leader(d->consensus);

    if (now_us >= r->deadline_us) {
        refuse_request(d, now_us, r,
                       leader == NULL ? kRefusedNoLeader : kRefusedDeadline);
        return;
    }
    if (is_without_leader(d, now_us, r)) {
        refuse_request(d, now_us, r, kRefusedNoLeader);
        return;
    }
    if (is_refused_without_room(d, r)) {
        refuse_request(d, now_us, r, kRefusedNoRoom);
        return;
    }
    if (r->kind == kRequestOrder) {
        director_order_advance(d, now_us, r);
        return;
    }
    if (!director_is_leader(d)) {
        if (r->index != 0 || r->round != 0 || r->origin != NULL) {
            refuse_request(d, now_us, r, kRefusedLostLead);
            return;
        }
        if (leader != NULL && g_strcmp0(r->forwarded_to, leader) != 0) {
            forward_request(d, r, leader);
        }
        return;
    }
    if (r->kind == kRequestPut) {
        if (r->index == 0 && r->version <= d->document_version) {
            operator_request_reply(d, r, kHttpOk, NULL, 0);
        }
        else if (r->index == 0) {
            propose_document(d, now_us, r);
        }
        return;
    }
    if (r->round == 0) {
        r->round = consensus_read_begin(d->consensus, now_us);
    }
    else if (consensus_read_ready(d->consensus, r->round)) {
        reply_document(d, now_us, r);
    }
}

/* Advances every pending request and answers those past their deadline. */
void
requests_tick(Director *d, uint64_t now_us)
{
    GList *next;
    for (GList *l = d->requests.head; l != NULL; l = next) {
        next = l->next;
        request_advance(d, now_us, l->data);
    }
}

/* Replies to the requests whose proposal has this log index, after the log
 * entry was applied: with 503 if the entry is of another term, so that the
 * proposal was lost. */
void
requests_handle_applied(Director *d, uint64_t index, uint64_t term)
{
    GList *next;
    for (GList *l = d->requests.head; l != NULL; l = next) {
        OperatorRequest *r = l->data;
        next = l->next;
        if (r->index == index && r->kind == kRequestOrder) {
            director_order_applied(d, r, term);
        }
        else if (r->index == index) {
            operator_request_reply(
                d, r, r->term == term ? kHttpOk : kHttpUnavailable, NULL, 0);
        }
    }
}

/* Returns whether an operator waits for an answer of this instance. */
gboolean
requests_pending(const Director *d)
{
    for (GList *l = d->requests.head; l != NULL; l = l->next) {
        const OperatorRequest *r = l->data;
        if (r->handle != NULL) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns a new pending request; the director owns it. */
OperatorRequest *
operator_request_add(Director *d, uint64_t now_us, RequestKind kind)
{
    OperatorRequest *r = g_new0(OperatorRequest, 1);
    r->kind = kind;
    r->received_us = now_us;
    r->deadline_us =
        now_us + (kind == kRequestGet ? kReadTimeoutUs : kChangeTimeoutUs);
    g_queue_push_tail(&d->requests, r);
    return r;
}

/* Begins to handle a request of an operator of this instance, unless it
 * stops. */
static void
request_begin(Director *d, uint64_t now_us, OperatorRequest *r)
{
    if (d->stopping) {
        refuse_request(d, now_us, r, kRefusedStopping);
        return;
    }
    request_advance(d, now_us, r);
}

/* Proposes a document that the caller has validated; the text is copied.
 * Calls operator_reply with request, possibly before it returns: with 200 once
 * this or a higher version is committed, with 503 if that could not be
 * confirmed in time. */
void
director_put_document(Director *d, uint64_t now_us, void *request,
                      uint64_t version, const void *text, size_t bytes)
{
    OperatorRequest *r = operator_request_add(d, now_us, kRequestPut);
    r->handle = request;
    r->version = version;
    r->text = g_bytes_new(text, bytes);
    request_begin(d, now_us, r);
}

/* Reads the newest document.  Calls operator_reply with request later: with
 * 200 and the text, or with 503 if there is no document or this instance's
 * document could not be confirmed in time to be the newest. */
void
director_get_document(Director *d, uint64_t now_us, void *request)
{
    OperatorRequest *r = operator_request_add(d, now_us, kRequestGet);
    r->handle = request;
    request_begin(d, now_us, r);
}

/* Discards the reply to a request whose client has disconnected; the request
 * itself continues. */
void
director_cancel_request(Director *d, const void *request)
{
    for (GList *l = d->requests.head; l != NULL; l = l->next) {
        OperatorRequest *r = l->data;
        if (r->handle == request) {
            r->handle = NULL;
        }
    }
}

/* Refuses a forwarded request whose verb this release does not know, such as
 * one of a later release.  Its origin must not take an answer to something
 * else for its own. */
static void
refuse_forwarded(Director *d, const char *from, uint64_t id)
{
    static const char text[] = "unknown request";
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__AdminReply reply = SW__ADMIN_REPLY__INIT;

    d->forwards_refused++;
    reply.status = kHttpBadRequest;
    reply.body.data = (uint8_t *)text;
    reply.body.len = strlen(text);
    frame.request_id = id;
    frame.body_case = SW__FRAME__BODY_ADMIN_REPLY;
    frame.admin_reply = &reply;
    d->port.send(d->port.ctx, from, &frame);
}

/* Handles a request that another control instance forwarded. */
static void
handle_forwarded(Director *d, uint64_t now_us, const char *from, uint64_t id,
                 const Sw__AdminRequest *m)
{
    gboolean put = strcmp(m->verb, kPutVerb) == 0;

    if (director_order_handle(d, now_us, from, id, m)) {
        return;
    }
    if (!put && strcmp(m->verb, kGetVerb) != 0) {
        refuse_forwarded(d, from, id);
        return;
    }
    OperatorRequest *r =
        operator_request_add(d, now_us, put ? kRequestPut : kRequestGet);
    r->origin = g_strdup(from);
    r->origin_id = id;
    r->version = g_ascii_strtoull(m->key, NULL, 10);
    if (put) {
        r->text = g_bytes_new(m->body.data, m->body.len);
    }
    request_advance(d, now_us, r);
}

/* Handles a forwarded request, or the leader's reply to one. */
void
requests_handle_frame(Director *d, uint64_t now_us, const char *from,
                      const Sw__Frame *frame)
{
    if (frame->body_case == SW__FRAME__BODY_ADMIN_REQUEST) {
        handle_forwarded(d, now_us, from, frame->request_id,
                         frame->admin_request);
        return;
    }
    for (GList *l = d->requests.head; l != NULL; l = l->next) {
        OperatorRequest *r = l->data;
        const Sw__AdminReply *m = frame->admin_reply;
        if (r->forward_id != frame->request_id || r->forward_id == 0) {
            continue;
        }
        if (r->kind == kRequestOrder) {
            director_order_reply_received(d, now_us, r, m);
            return;
        }
        if (m->status == kHttpUnavailable && m->body.len > 0) {
            refuse_request(d, now_us, r, kRefusedNoDocument);
            return;
        }
        if (m->status == kHttpUnavailable && now_us < r->deadline_us) {
            /* requests_tick retries it, possibly with a new leader. */
            g_clear_pointer(&r->forwarded_to, g_free);
            return;
        }
        if (m->status == kHttpNotModified && d->document != NULL) {
            size_t size;
            const void *text = g_bytes_get_data(d->document, &size);
            operator_request_reply(d, r, kHttpOk, text, size);
            return;
        }
        operator_request_reply(d, r, m->status, m->body.data, m->body.len);
        return;
    }
}
