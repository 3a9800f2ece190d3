#include <string.h>

#include "core/control_clients.h"
#include "core/control_defs.h"
#include "core/error.h"
#include "core/schema.h"
#include "core/team_check.h"

/* Requests of operators.  The reply to a change is sent when its log entry is
 * applied.  The reply to a read is sent after a consensus round has confirmed
 * the leader, so that it includes every change accepted before the read. */

enum {
    kAuditLinesMax = 1000, /* lines in one reply */
    /* Hint to operators whose change met a full disk; longer than a transfer
     * of leadership takes. */
    kNoRoomRetryMs = 1000,
};

/* Sends an operator an error reply. */
static void
reply_error(ControlCore *k, const char *to, uint64_t request_id,
            uint32_t status, const char *detail)
{
    control_reply_admin(k, to, request_id, status,
                        json_pack("{s:s}", "detail", detail));
}

static gboolean
verb_is(const Sw__AdminRequest *r, const char *verb)
{
    return strcmp(r->verb, verb) == 0;
}

/* ---- changes ---- */

/* Returns FALSE, with the key in refused, if a change concerns a kind of
 * resource that only the control instances write. */
static gboolean
changes_allowed(const json_t *changes, const char **refused)
{
    size_t i;
    json_t *change;

    json_array_foreach((json_t *)changes, i, change)
    {
        ResourceKind kind;
        const char *key = json_text_or(change, "key", "");
        if (resource_kind_of(key, &kind) && kind >= kResourceInstance) {
            *refused = key;
            return FALSE;
        }
    }
    return TRUE;
}

/* Queues the reply to a change until the log entry at index is applied. */
static void
queue_change_reply(ControlCore *k, uint64_t now_us, const char *to,
                   uint64_t request_id, uint64_t index)
{
    PendingChange *p = g_new(PendingChange, 1);
    *p = (PendingChange){index, consensus_term(k->consensus),
                         now_us + kPendingRequestTimeoutUs, g_strdup(to),
                         request_id};
    g_queue_push_tail(&k->pending_changes, p);
}

/* Replies that a change would leave a team without any service, if so.  A
 * repeat of an applied operation gets the stored outcome instead.  Returns
 * whether it has replied. */
static gboolean
reject_unserved_team(ControlCore *k, const char *from, uint64_t request_id,
                     const char *operation_id, const json_t *changes)
{
    if (state_operation(k->state, operation_id) != NULL) {
        return FALSE;
    }
    char *reason = team_check_bursts(k->state, changes);
    if (reason == NULL) {
        return FALSE;
    }
    reply_error(k, from, request_id, 422, reason);
    g_free(reason);
    return TRUE;
}

/* Proposes an operator's change.  Replies at once only if the change is
 * rejected here or cannot be proposed. */
static void
admin_apply(ControlCore *k, uint64_t now_us, const char *from,
            uint64_t request_id, const Sw__AdminRequest *r)
{
    json_error_t json_error;
    json_t *changes =
        json_loadb((const char *)r->body.data, r->body.len, 0, &json_error);
    const char *refused = NULL;

    if (!json_is_array(changes) || r->operation_id[0] == '\0') {
        json_decref(changes);
        reply_error(k, from, request_id, 400,
                    "a change needs an operation id and a list of changes");
        return;
    }
    if (!changes_allowed(changes, &refused)) {
        json_decref(changes);
        reply_error(k, from, request_id, 422,
                    "instance, server and primary are the system's own");
        return;
    }
    if (reject_unserved_team(k, from, request_id, r->operation_id, changes)) {
        json_decref(changes);
        return;
    }
    int64_t wall_us = (int64_t)now_us + k->config.wall_offset_us;
    json_t *command = json_pack("{s:s, s:s, s:I, s:o}", "operation",
                                r->operation_id, "actor", r->actor, "time_ms",
                                (json_int_t)(wall_us / kMicrosPerMillisecond),
                                "changes", changes);
    uint64_t index = control_propose(k, now_us, command);
    if (index == 0) {
        reply_error(k, from, request_id, 503, "no leader; send it again");
        return;
    }
    queue_change_reply(k, now_us, from, request_id, index);
}

/* Replies to the operator whose change was applied at an index.  If the
 * entry at the index of a change has another term, a new leader has replaced
 * the change, and the operator must send it again. */
void
control_reply_admin_change(ControlCore *k, uint64_t index, uint64_t term,
                           const StateOutcome *outcome)
{
    while (k->pending_changes.length > 0) {
        PendingChange *p = g_queue_peek_head(&k->pending_changes);
        if (p->index > index) {
            return;
        }
        g_queue_pop_head(&k->pending_changes);
        if (p->index == index && p->term == term) {
            control_reply_admin(k, p->to, p->request_id, outcome->status,
                                json_incref(outcome->body));
        }
        else {
            reply_error(k, p->to, p->request_id, 503,
                        "the leader changed; send the operation again");
        }
        g_free(p->to);
        g_free(p);
    }
}

/* Sends an error reply for each change that was not applied before its
 * deadline.  The change may still be committed later; the operator gets the
 * outcome by sending the same operation id again. */
void
control_expire_admin_changes(ControlCore *k, uint64_t now_us)
{
    while (k->pending_changes.length > 0) {
        PendingChange *p = g_queue_peek_head(&k->pending_changes);
        if (p->deadline_us > now_us) {
            return;
        }
        g_queue_pop_head(&k->pending_changes);
        reply_error(k, p->to, p->request_id, 504,
                    "not committed in time; send the operation again");
        g_free(p->to);
        g_free(p);
    }
}

/* Adds or removes a control instance.  The reply 202 is sent when the change
 * is proposed, before it is committed. */
static void
admin_member_change(ControlCore *k, uint64_t now_us, const char *from,
                    uint64_t request_id, const Sw__AdminRequest *r)
{
    json_t *body =
        json_loadb((const char *)r->body.data, r->body.len, 0, NULL);
    GError *error = NULL;
    gboolean ok;

    if (verb_is(r, "member-add")) {
        ConsensusMember *m = consensus_member_new(
            json_text_or(body, "id", ""), json_text_or(body, "disk", ""),
            json_text_or(body, "peer_address", ""),
            json_text_or(body, "failure_domain", ""), FALSE);
        ok = consensus_member_add(k->consensus, now_us, m, &error);
        consensus_member_free(m);
    }
    else {
        ok = consensus_member_remove(k->consensus, now_us,
                                     json_text_or(body, "id", ""), &error);
    }
    json_decref(body);
    if (!ok) {
        uint32_t status = error->code == kCoreErrorConflict ? 409 : 422;
        reply_error(k, from, request_id, status, error->message);
        g_error_free(error);
        return;
    }
    control_reply_admin(k, from, request_id, 202,
                        json_pack("{s:s}", "detail", "under way"));
}

static gboolean
is_change(const Sw__AdminRequest *r)
{
    return verb_is(r, "apply") || verb_is(r, "member-add") ||
           verb_is(r, "member-remove");
}

/* Refuses a change, which has had no effect, as the data folder has no
 * room. */
static void
refuse_without_room(ControlCore *k, const char *to, uint64_t request_id)
{
    char *detail = g_strdup_printf(
        "the disk of control instance %s is full; nothing was changed", k->id);
    control_reply_admin(k, to, request_id, 503,
                        json_pack("{s:s, s:i}", "detail", detail,
                                  "retry_after_ms", kNoRoomRetryMs));
    g_free(detail);
}

/* Handles an operator's request, or forwards it if this instance does not
 * lead. */
void
control_handle_admin_request(ControlCore *k, uint64_t now_us, const char *from,
                             uint64_t request_id, const Sw__AdminRequest *r)
{
    if (consensus_no_room(k->consensus) && is_change(r)) {
        refuse_without_room(k, from, request_id);
        return;
    }
    if (!control_core_leads(k)) {
        Sw__Frame frame = SW__FRAME__INIT;
        Sw__AdminRequest copy = *r;
        copy.forwarded = TRUE;
        frame.request_id = request_id;
        frame.body_case = SW__FRAME__BODY_ADMIN_REQUEST;
        frame.admin_request = &copy;
        if (r->forwarded || !control_forward(k, now_us, from, &frame)) {
            reply_error(k, from, request_id, 503, "no leader; send it again");
        }
        return;
    }
    if (verb_is(r, "apply")) {
        admin_apply(k, now_us, from, request_id, r);
        return;
    }
    if (verb_is(r, "member-add") || verb_is(r, "member-remove")) {
        admin_member_change(k, now_us, from, request_id, r);
        return;
    }
    control_queue_read(k, now_us, from, request_id, NULL, r);
}

/* ---- reads ---- */

static json_t *
resource_to_json(const Resource *r)
{
    return json_pack("{s:s, s:I, s:O}", "key", r->key, "version",
                     (json_int_t)r->version, "spec", r->spec);
}

/* Replies with the resource whose key was requested. */
static void
admin_get(ControlCore *k, const char *to, uint64_t request_id,
          const Sw__AdminRequest *r)
{
    const Resource *found = state_lookup(k->state, r->key);
    if (found == NULL) {
        reply_error(k, to, request_id, 404, "there is no such resource");
        return;
    }
    control_reply_admin(k, to, request_id, 200, resource_to_json(found));
}

static int
compare_keys(const void *a, const void *b)
{
    const Resource *x = *(const Resource *const *)a;
    const Resource *y = *(const Resource *const *)b;
    return strcmp(x->key, y->key);
}

/* Replies with all resources whose key begins with the requested prefix, in
 * the order of their keys. */
static void
admin_list(ControlCore *k, const char *to, uint64_t request_id,
           const Sw__AdminRequest *r)
{
    GPtrArray *found = g_ptr_array_new();
    json_t *list = json_array();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *each = value;
        if (g_str_has_prefix(each->key, r->key)) {
            g_ptr_array_add(found, value);
        }
    }
    g_ptr_array_sort(found, compare_keys);
    for (guint i = 0; i < found->len; i++) {
        json_array_append_new(list,
                              resource_to_json(g_ptr_array_index(found, i)));
    }
    g_ptr_array_unref(found);
    control_reply_admin(k, to, request_id, 200,
                        json_pack("{s:o, s:I}", "resources", list, "index",
                                  (json_int_t)state_index(k->state)));
}

/* Replies with the lines of the audit trail after a log index, which the key
 * of the request contains; at most kAuditLinesMax lines. */
static void
admin_audit(ControlCore *k, const char *to, uint64_t request_id,
            const Sw__AdminRequest *r)
{
    json_t *lines = json_array();
    uint64_t after = g_ascii_strtoull(r->key, NULL, 10);
    const GList *l = state_audit(k->state)->head;

    for (; l != NULL && json_array_size(lines) < kAuditLinesMax; l = l->next) {
        if ((uint64_t)json_integer_or(l->data, "index", 0) > after) {
            json_array_append(lines, l->data);
        }
    }
    control_reply_admin(k, to, request_id, 200,
                        json_pack("{s:o}", "audit", lines));
}

/* Returns the entry instances as JSON; silent_ms is -1 if the leader has had
 * no contact with an instance. */
static json_t *
status_instances(const ControlCore *k, uint64_t now_us)
{
    json_t *list = json_array();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, k->view.instances);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const InstanceInfo *i = value;
        const InstanceTracker *t = g_hash_table_lookup(k->instances, i->id);
        json_array_append_new(
            list,
            json_pack(
                "{s:s, s:s, s:b, s:I, s:I, s:o}", "id", i->id,
                "failure_domain", i->failure_domain, "draining", i->draining,
                "applied_index",
                (json_int_t)(t == NULL ? 0 : t->applied_index), "silent_ms",
                (json_int_t)(t == NULL ? -1
                                       : (int64_t)((now_us - t->last_seen_us) /
                                                   1000)),
                "clients",
                control_clients_to_json(t == NULL ? NULL : &t->clients)));
    }
    return list;
}

/* Returns the control instances as JSON. */
static json_t *
status_members(const ControlCore *k, uint64_t now_us)
{
    json_t *list = json_array();
    const GPtrArray *members = consensus_members(k->consensus);
    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:b, s:o}", "id", m->id, "disk",
                            m->disk, "failure_domain", m->failure_domain,
                            "voter", m->voter, "clients",
                            control_clients_of_control(k, now_us, m->id)));
    }
    return list;
}

/* Returns the evacuated failure domains as JSON, with the log index from which
 * each is evacuated. */
static json_t *
status_evacuations(const ControlCore *k)
{
    json_t *list = json_array();
    GList *domains =
        g_list_sort(g_hash_table_get_keys(k->evacuated), (GCompareFunc)strcmp);

    for (GList *l = domains; l != NULL; l = l->next) {
        char *key = g_strconcat("evacuation/", (char *)l->data, NULL);
        const Resource *r = state_lookup(k->state, key);
        json_array_append_new(
            list, json_pack("{s:s, s:I}", "failure_domain", l->data, "version",
                            (json_int_t)(r == NULL ? 0 : r->version)));
        g_free(key);
    }
    g_list_free(domains);
    return list;
}

/* Replies with the term, the commit index, all instances and the evacuated
 * failure domains. */
static void
admin_status(ControlCore *k, uint64_t now_us, const char *to,
             uint64_t request_id)
{
    json_t *body = json_pack(
        "{s:s, s:I, s:I, s:o, s:o, s:o}", "leader", k->id, "term",
        (json_int_t)consensus_term(k->consensus), "commit_index",
        (json_int_t)consensus_commit_index(k->consensus), "control",
        status_members(k, now_us), "instances", status_instances(k, now_us),
        "evacuations", status_evacuations(k));
    control_reply_admin(k, to, request_id, 200, body);
}

/* Replies to a read; called after a consensus round has confirmed that this
 * instance leads. */
void
control_reply_admin_read(ControlCore *k, uint64_t now_us, const char *to,
                         uint64_t request_id, const Sw__AdminRequest *r)
{
    if (verb_is(r, "get")) {
        admin_get(k, to, request_id, r);
    }
    else if (verb_is(r, "list")) {
        admin_list(k, to, request_id, r);
    }
    else if (verb_is(r, "audit")) {
        admin_audit(k, to, request_id, r);
    }
    else if (verb_is(r, "status")) {
        admin_status(k, now_us, to, request_id);
    }
    else {
        reply_error(k, to, request_id, 400, "unknown request");
    }
}
