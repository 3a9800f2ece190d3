#include <string.h>

#include "core/entry_defs.h"

/* The client side of the control lease at an entry instance.  While the lease
 * is valid, the instance may run work under API keys.  The instance requests
 * the lease from the control instance that it follows: preferably one of its
 * own failure domain, the next one if that doesn't reply.  A lease runs from
 * the time at which its request was sent, and becomes valid only once this
 * instance has applied the state index that the reply confirms. */

enum {
    kRenewIntervalUs = 300000,
    kInitialRetryUs = 40000, /* first request interval without a lease */
    kMaxRetryDoublings = 4,  /* up to 640 ms */
    kReplyTimeoutUs = 500000,
    kPreferredRetryUs = 10000000, /* until the preferred control instance is
                                   * tried again */
    kSentTimesKept = 32,          /* replies to older requests are ignored */
};

struct LeaseClient {
    uint32_t *order;   /* indexes of controls, own failure domain first */
    uint32_t current;  /* index in order of the followed control */
    uint64_t sequence; /* of the last request */
    uint64_t sent_us[kSentTimesKept]; /* by sequence, modulo the size */
    uint64_t request_at_us;           /* when the next request is due */
    uint64_t waiting_since_us;        /* first request without a reply; zero:
                                       * none */
    uint32_t requests_without_lease;
    uint64_t preferred_retry_at_us; /* when to return to order[0] */
    uint64_t valid_until_us;        /* zero: no lease was held yet */
    uint64_t pending_until_us;      /* valid once pending_index is applied */
    uint64_t pending_index;
    gboolean was_valid; /* at the last call of record_validity */
    gboolean leaving;   /* lease requests have the leaving flag set */
    gboolean left;      /* a control instance has confirmed leaving */
};

/* Creates the lease client of an entry instance, which first follows a control
 * instance of its own failure domain if there is one. */
LeaseClient *
lease_client_new(EntryCore *e)
{
    LeaseClient *l = g_new0(LeaseClient, 1);
    const EntryConfig *c = &e->config;
    uint32_t count = 0;

    l->order = g_new0(uint32_t, c->control_count + 1);
    for (int wanted = TRUE; wanted >= FALSE; wanted--) {
        for (uint32_t i = 0; i < c->control_count; i++) {
            gboolean same_domain =
                strcmp(c->controls[i].failure_domain, c->failure_domain) == 0;
            if (same_domain == wanted) {
                l->order[count++] = i;
            }
        }
    }
    return l;
}

/* Frees the client. */
void
lease_client_free(LeaseClient *l)
{
    g_free(l->order);
    g_free(l);
}

/* Returns the id of the control instance that is followed now, or NULL if
 * none is configured.  The string belongs to the configuration. */
const char *
lease_control(const EntryCore *e)
{
    const LeaseClient *l = e->lease;
    if (e->config.control_count == 0) {
        return NULL;
    }
    return e->config.controls[l->order[l->current]].id;
}

/* Returns whether the control lease is valid, so that work under an API key
 * may start and continue. */
gboolean
lease_valid(const EntryCore *e, uint64_t now_us)
{
    return now_us < e->lease->valid_until_us;
}

/* Returns whether the control lease is valid or expired less than grace_us
 * ago.  A team with a grace accepts the risk that a key withdrawn in the
 * meantime is still honored. */
gboolean
lease_valid_with_grace(const EntryCore *e, uint64_t now_us, uint64_t grace_us)
{
    return e->lease->valid_until_us != 0 &&
           now_us < e->lease->valid_until_us + grace_us;
}

/* Returns the time until the next request.  Without a lease the interval
 * doubles with every request and is randomized, so that after a failure of the
 * control instances the entry instances don't all send requests at once. */
static uint64_t
request_interval_us(EntryCore *e, uint64_t now_us)
{
    LeaseClient *l = e->lease;
    if (lease_valid(e, now_us) && !l->leaving) {
        l->requests_without_lease = 0;
        return kRenewIntervalUs;
    }
    uint64_t wait_us = (uint64_t)kInitialRetryUs
                       << MIN(l->requests_without_lease, kMaxRetryDoublings);
    l->requests_without_lease++;
    return wait_us + e->port.random(e->port.ctx) % (wait_us / 2);
}

/* Sends a lease request, which also reports the health of the members that
 * this instance monitors. */
static void
send_request(EntryCore *e, uint64_t now_us)
{
    LeaseClient *l = e->lease;
    Sw__LeaseRequest r = SW__LEASE_REQUEST__INIT;
    GPtrArray *health = g_ptr_array_new_with_free_func(g_free);

    r.sequence = ++l->sequence;
    l->sent_us[r.sequence % kSentTimesKept] = now_us;
    r.instance_id = (char *)e->config.id;
    r.failure_domain = (char *)e->config.failure_domain;
    r.peer_address = (char *)e->config.peer_address;
    r.http_address = (char *)e->config.http_address;
    r.incarnation = e->config.incarnation;
    r.applied_index = catalog_index(e->catalog);
    r.draining = e->draining;
    r.leaving = l->leaving;
    r.clients = &e->clients;
    r.n_health = pool_health(e, now_us, health);
    r.health = (Sw__MemberHealth **)health->pdata;
    entry_send(e, lease_control(e), entry_next_frame_id(e),
               SW__FRAME__BODY_LEASE_REQUEST, &r);
    g_ptr_array_unref(health);
    if (l->waiting_since_us == 0) {
        l->waiting_since_us = now_us;
    }
    l->request_at_us = now_us + request_interval_us(e, now_us);
}

/* Follows the next control instance if the current one doesn't reply within
 * kReplyTimeoutUs, and returns to the preferred one (the first in order) after
 * kPreferredRetryUs. */
static void
choose_control(EntryCore *e, uint64_t now_us)
{
    LeaseClient *l = e->lease;
    gboolean unresponsive = l->waiting_since_us != 0 &&
                            now_us - l->waiting_since_us > kReplyTimeoutUs;

    if (unresponsive) {
        l->current = (l->current + 1) % (uint32_t)e->config.control_count;
        l->waiting_since_us = 0;
        l->request_at_us = now_us;
        l->preferred_retry_at_us = now_us + kPreferredRetryUs;
        return;
    }
    if (l->current != 0 && now_us >= l->preferred_retry_at_us) {
        l->current = 0;
        l->waiting_since_us = 0;
    }
}

/* Logs and counts a change of the lease's validity. */
static void
record_validity(EntryCore *e, uint64_t now_us)
{
    LeaseClient *l = e->lease;
    gboolean valid = lease_valid(e, now_us);
    if (valid == l->was_valid) {
        return;
    }
    l->was_valid = valid;
    if (!valid) {
        metrics_count(&e->metrics, kMetricLeaseLosses);
    }
    g_message("control lease %s", valid ? "held" : "lost");
}

/* Sends a lease request when one is due, and follows another control instance
 * if the current one is unresponsive. */
void
lease_tick(EntryCore *e, uint64_t now_us)
{
    LeaseClient *l = e->lease;

    if (e->config.control_count == 0 || l->left) {
        return;
    }
    record_validity(e, now_us);
    choose_control(e, now_us);
    if (now_us >= l->request_at_us) {
        send_request(e, now_us);
    }
}

/* Extends the lease to that of the latest reply, if the state index that the
 * reply confirmed has been applied. */
static void
apply_pending_lease(EntryCore *e)
{
    LeaseClient *l = e->lease;
    if (l->pending_until_us > l->valid_until_us &&
        catalog_index(e->catalog) >= l->pending_index &&
        catalog_index(e->catalog) > 0) {
        l->valid_until_us = l->pending_until_us;
        metrics_count(&e->metrics, kMetricLeaseRenewals);
    }
}

/* Handles the reply to a lease request.  A granted reply to an instance that
 * leaves the membership confirms that it has left. */
void
lease_reply(EntryCore *e, uint64_t now_us, const Sw__LeaseReply *r)
{
    LeaseClient *l = e->lease;

    l->waiting_since_us = 0;
    if (r->sequence > l->sequence ||
        l->sequence - r->sequence >= kSentTimesKept) {
        return;
    }
    uint64_t sent_us = l->sent_us[r->sequence % kSentTimesKept];
    metrics_observe(&e->metrics, kHistogramLeaseTime, now_us - sent_us);
    if (!r->granted) {
        return;
    }
    if (l->leaving) {
        l->left = TRUE;
        l->valid_until_us = MIN(l->valid_until_us, now_us);
        return;
    }
    uint64_t until_us = sent_us + (uint64_t)r->valid_for_ms * kMillisecondUs;
    if (until_us > l->pending_until_us) {
        l->pending_until_us = until_us;
        l->pending_index = r->confirmed_index;
    }
    apply_pending_lease(e);
    record_validity(e, now_us);
}

/* Must be called when newer state was applied: a pending lease may become
 * valid. */
void
lease_state_applied(EntryCore *e, uint64_t now_us)
{
    apply_pending_lease(e);
    record_validity(e, now_us);
}

/* Makes the next tick send a lease request, which reports the members'
 * health. */
void
lease_health_changed(EntryCore *e)
{
    e->lease->request_at_us = 0;
}

/* Begins to leave the membership at the end of a planned shutdown. */
void
lease_leave(EntryCore *e, uint64_t now_us)
{
    if (!e->lease->leaving) {
        e->lease->leaving = TRUE;
        e->lease->request_at_us = now_us;
    }
}

/* Returns whether a control instance has confirmed that this instance left
 * the membership. */
gboolean
lease_has_left(const EntryCore *e)
{
    return e->lease->left;
}
