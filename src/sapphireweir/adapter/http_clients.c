#define _GNU_SOURCE /* POLLRDHUP */

#include "adapter/http_clients.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>

#include "adapter/clock.h"
#include "adapter/header_lines.h"
#include "core/elapsed.h"
#include "policy/memory_budget.h"

/* Limits what the clients of an HTTP server make the process hold.  The bytes
 * of each connection, counted at its buffers, go into a memory budget, which
 * decides whose reading pauses and which connection is closed.  30 clients
 * that pipelined requests without reading made a process hold 1 GB in 3 s.
 *
 * Reading pauses by the read watermark of the bufferevent, since evhttp itself
 * enables and disables reading.  Connections are closed by reporting an error
 * to evhttp, which then frees everything as if the client had gone. */

enum {
    kSweepMs = 100,
    /* Input that is buffered while a request or its response is under way. */
    kPipelinedBytes = 64 << 10,
    kPausedBytes = 1, /* watermark at which nothing is read */
    /* Descriptors that are not for clients: peers, backend servers, files. */
    kReservedDescriptors = 200,
    kLogIntervalUs = 10000000,
    kMicrosPerSecond = 1000000,
};

/* Bytes on their way in one direction. */
typedef struct {
    uint64_t since_us;    /* when the first of them came; zero: none */
    uint64_t progress_us; /* when the last ones were received or sent */
    uint64_t bytes;       /* received or sent since since_us */
} Transfer;

/* Why a connection is closed. */
typedef enum {
    kCloseReplaced,
    kCloseNoRequest,
    kCloseSlowRequest,
    kCloseUnreadResponse,
    kCloseTooLarge,
    kClosePressure,
    kCloseReasons, /* their number; also: not at all */
} CloseReason;

/* Names of the reasons, in the log and in the metrics. */
static const struct {
    const char *text;
    const char *label;
} close_names[kCloseReasons] = {
    [kCloseReplaced] = {"too many connections", "made-room"},
    [kCloseNoRequest] = {"no request after connecting", "no-request"},
    [kCloseSlowRequest] = {"a request arrives too slowly", "slow-request"},
    [kCloseUnreadResponse] = {"a response is not read", "unread-output"},
    [kCloseTooLarge] = {"it holds too much memory", "over-limit"},
    [kClosePressure] = {"callers hold too much memory", "memory-pressure"},
};

/* How much is read from a connection before evhttp takes it. */
typedef enum {
    kReadUnlimited, /* none set yet; a watermark costs a buffer callback */
    kReadMessage,   /* one request of the largest size */
    kReadPipelined, /* kPipelinedBytes */
    kReadPaused,    /* nothing */
} ReadLimit;

/* What a connection needs only while a request or its response is under
 * way. */
typedef struct {
    struct evbuffer_cb_entry *output_cb;
    uint64_t consumed_bytes; /* input that is part of the present request */
    HeaderLines headers;     /* of the present request */
    Transfer in;
    Transfer out;
} Exchange;

/* Small, since thousands of idle connections have one. */
typedef struct {
    HttpClients *clients;
    struct evhttp_connection *connection;
    MemoryAccount *account;
    Exchange *exchange; /* NULL: idle */
    uint64_t opened_us : 55;
    uint64_t request_open : 1; /* complete, and not responded to */
    uint64_t responded : 1;    /* the response has begun */
    uint64_t admitted : 1;     /* has sent a complete request */
    uint64_t closing : 1;      /* is about to be closed */
    uint64_t queued : 1;       /* is in HttpClients.changed */
    uint64_t read_limit : 2;   /* ReadLimit, as set */
    uint64_t verdict : 2;      /* MemoryVerdict */
} HttpClient;

struct HttpClients {
    HttpClientLimits limits;
    HttpClientClosed closed;
    void *ctx;
    MemoryBudget *budget;
    struct evconnlistener *listener;
    GHashTable *open;        /* set of HttpClient by connection, owned */
    GPtrArray *accepted;     /* bufferevents that have no HttpClient yet */
    gboolean limits_sources; /* an address may not use all connections */
    GQueue changed;          /* HttpClient whose limits must be applied */
    struct event *apply;     /* runs on_apply in this iteration */
    struct event *sweep;     /* runs on_sweep every kSweepMs */
    uint64_t logged_us;      /* last log line */
    uint64_t close_counts[kCloseReasons]; /* connections closed by a limit */
    uint64_t rejected;                    /* while all were in use */
};

/* ---- limits of one connection ---- */

/* Hash function of HttpClients.open. */
static guint
client_hash(gconstpointer client)
{
    return g_direct_hash(((const HttpClient *)client)->connection);
}

/* Comparison of HttpClients.open. */
static gboolean
client_equal(gconstpointer a, gconstpointer b)
{
    return ((const HttpClient *)a)->connection ==
           ((const HttpClient *)b)->connection;
}

/* Returns the client of a connection, or NULL. */
static HttpClient *
client_find(const HttpClients *h, struct evhttp_connection *connection)
{
    HttpClient key = {.connection = connection};
    return g_hash_table_lookup(h->open, &key);
}

static void
client_free(void *data)
{
    HttpClient *c = data;
    g_free(c->exchange);
    g_free(c);
}

static struct bufferevent *
client_bev(const HttpClient *c)
{
    return evhttp_connection_get_bufferevent(c->connection);
}

static size_t
input_bytes(const HttpClient *c)
{
    return evbuffer_get_length(bufferevent_get_input(client_bev(c)));
}

static size_t
output_bytes(const HttpClient *c)
{
    return evbuffer_get_length(bufferevent_get_output(client_bev(c)));
}

/* Returns whether bytes of a request are awaited. */
static gboolean
is_receiving(const HttpClient *c)
{
    return c->exchange != NULL && c->exchange->in.since_us != 0;
}

/* Returns whether bytes of a response are unsent. */
static gboolean
is_sending(const HttpClient *c)
{
    return c->exchange != NULL && c->exchange->out.since_us != 0;
}

/* Queues a connection for on_apply, since watermarks and callbacks must not be
 * changed from within the callbacks of a buffer. */
static void
queue_change(HttpClient *c)
{
    if (!c->queued) {
        c->queued = 1;
        g_queue_push_tail(&c->clients->changed, c);
        event_active(c->clients->apply, EV_TIMEOUT, 0);
    }
}

/* Records the transfer of bytes; none are left if left_bytes is zero. */
static void
transfer_progress(Transfer *t, uint64_t now_us, uint64_t bytes,
                  uint64_t left_bytes)
{
    if (left_bytes == 0) {
        *t = (Transfer){0};
        return;
    }
    if (t->since_us == 0) {
        *t = (Transfer){.since_us = now_us, .progress_us = now_us};
    }
    if (bytes > 0) {
        t->progress_us = now_us;
        t->bytes += bytes;
    }
}

/* Returns the bytes that a connection makes the process hold. */
static uint64_t
held_bytes(const HttpClient *c)
{
    uint64_t bytes = input_bytes(c) + output_bytes(c);

    if (c->exchange != NULL) {
        bytes += c->exchange->consumed_bytes +
                 header_lines_cost(&c->exchange->headers,
                                   c->clients->limits.header_bytes);
    }
    return bytes;
}

/* Updates the account of a connection. */
static void
update_account(HttpClient *c, uint64_t now_us)
{
    MemoryVerdict verdict =
        memory_account_set(c->account, now_us, held_bytes(c));
    if (verdict != (MemoryVerdict)c->verdict) {
        c->verdict = (uint64_t)verdict;
        queue_change(c);
    }
}

/* Buffer callback of a connection's output, while it has an Exchange. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    HttpClient *c = ctx;
    Exchange *x = c->exchange;
    uint64_t now_us = clock_now_us();
    size_t length = evbuffer_get_length(buffer);

    transfer_progress(&x->out, now_us, info->n_deleted, length);
    /* An interim response, "100 Continue", does not end the request. */
    if (length == 0 && c->responded) {
        /* The response is sent, and evhttp frees the request. */
        c->responded = 0;
        x->consumed_bytes = 0;
        x->headers = (HeaderLines){0};
        header_lines_add(&x->headers, bufferevent_get_input(client_bev(c)),
                         input_bytes(c));
        transfer_progress(&x->in, now_us, 0, input_bytes(c));
        queue_change(c);
    }
    update_account(c, now_us);
}

/* Buffer callback of a connection's input. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *ctx)
{
    HttpClient *c = ctx;
    uint64_t now_us = clock_now_us();
    size_t length = evbuffer_get_length(buffer);

    if (c->exchange == NULL) {
        struct evbuffer *out = bufferevent_get_output(client_bev(c));
        c->exchange = g_new0(Exchange, 1);
        c->exchange->output_cb = evbuffer_add_cb(out, on_output, c);
    }
    Exchange *x = c->exchange;
    x->consumed_bytes += info->n_deleted;
    header_lines_add(&x->headers, buffer, info->n_added);
    gboolean idle = c->request_open || length + x->consumed_bytes == 0;
    transfer_progress(&x->in, now_us, info->n_added, idle ? 0 : 1);
    update_account(c, now_us);
    if (length >= kPipelinedBytes) {
        queue_change(c);
    }
}

/* Frees the Exchange of a connection that is idle again. */
static void
release_exchange(HttpClient *c)
{
    if (c->exchange == NULL || c->request_open || is_receiving(c) ||
        is_sending(c) || held_bytes(c) > 0) {
        return;
    }
    evbuffer_remove_cb_entry(bufferevent_get_output(client_bev(c)),
                             c->exchange->output_cb);
    g_free(c->exchange);
    c->exchange = NULL;
}

/* Returns the number of connections that a limit closed or rejected. */
static uint64_t
closed_count(const HttpClients *h)
{
    uint64_t count = h->rejected;
    for (size_t i = 0; i < kCloseReasons; i++) {
        count += h->close_counts[i];
    }
    return count;
}

/* Returns the number of connections that were closed as too slow. */
static uint64_t
timeout_count(const HttpClients *h)
{
    return h->close_counts[kCloseNoRequest] +
           h->close_counts[kCloseSlowRequest] +
           h->close_counts[kCloseUnreadResponse];
}

/* Logs that a limit closed or rejected a connection, at most once in
 * kLogIntervalUs. */
static void
log_limit(HttpClients *h, uint64_t now_us, CloseReason reason,
          struct evhttp_connection *connection)
{
    if (h->logged_us == 0 ||
        elapsed_us(now_us, h->logged_us) >= kLogIntervalUs) {
        MemoryStats s = memory_budget_stats(h->budget);
        char *address = NULL;
        uint16_t port = 0;
        evhttp_connection_get_peer(connection, &address, &port);
        h->logged_us = now_us;
        g_message("closed a caller's connection: %s; %u connections hold "
                  "%" G_GUINT64_FORMAT " bytes, %" G_GUINT64_FORMAT
                  " closed so far; client %s:%u",
                  close_names[reason].text, s.connections, s.held_bytes,
                  closed_count(h), address == NULL ? "unknown" : address,
                  port);
    }
}

/* Makes evhttp close the connection of a bufferevent.  An end of file instead
 * of an error would complete a request whose length is not given. */
static void
close_bufferevent(struct bufferevent *bev)
{
    bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
}

/* Closes a connection.  Must not be called from a callback of evhttp. */
static void
client_close(HttpClient *c, uint64_t now_us, CloseReason reason)
{
    HttpClients *h = c->clients;

    if (c->closing) {
        return;
    }
    c->closing = 1;
    h->close_counts[reason]++;
    log_limit(h, now_us, reason, c->connection);
    close_bufferevent(client_bev(c));
}

/* Sets how much is read from a connection.  No limit is set before one has an
 * effect: evhttp takes the input of a request as it arrives, and the callback
 * of a watermark costs 48 bytes while the connection is open. */
static void
apply_read_limit(HttpClient *c)
{
    const size_t limit_bytes[] = {
        [kReadUnlimited] = 0,
        [kReadMessage] = c->clients->limits.message_bytes,
        [kReadPipelined] = kPipelinedBytes,
        [kReadPaused] = kPausedBytes,
    };
    ReadLimit limit = kReadMessage;

    if (c->request_open || is_sending(c)) {
        limit = kReadPipelined;
    }
    if (c->verdict == kMemoryPause) {
        limit = kReadPaused;
    }
    else if (c->read_limit == kReadUnlimited &&
             input_bytes(c) < kPipelinedBytes) {
        return;
    }
    if (limit != (ReadLimit)c->read_limit) {
        c->read_limit = (uint64_t)limit;
        bufferevent_setwatermark(client_bev(c), EV_READ, 0,
                                 limit_bytes[limit]);
    }
}

/* Returns whether a transfer has stalled or is too slow. */
static gboolean
transfer_late(const Transfer *t, uint64_t now_us, uint64_t timeout_us,
              uint64_t min_bytes_per_s)
{
    uint64_t allowed_us =
        timeout_us + t->bytes * kMicrosPerSecond / MAX(min_bytes_per_s, 1);

    return t->since_us != 0 &&
           (elapsed_us(now_us, t->progress_us) > timeout_us ||
            elapsed_us(now_us, t->since_us) > allowed_us);
}

/* Returns the reason for which a connection has to be closed now, or
 * kCloseReasons. */
static CloseReason
late_reason(const HttpClient *c, uint64_t now_us)
{
    const HttpClientLimits *l = &c->clients->limits;

    if (!c->admitted &&
        elapsed_us(now_us, c->opened_us) > l->message_timeout_us &&
        !is_receiving(c) && !is_sending(c)) {
        return kCloseNoRequest;
    }
    if (c->exchange == NULL) {
        return kCloseReasons;
    }
    if (transfer_late(&c->exchange->in, now_us, l->message_timeout_us,
                      l->min_bytes_per_s)) {
        return kCloseSlowRequest;
    }
    if (transfer_late(&c->exchange->out, now_us, l->send_timeout_us,
                      l->min_bytes_per_s)) {
        return kCloseUnreadResponse;
    }
    return kCloseReasons;
}

/* ---- accepting ---- */

/* Close callback of evhttp: frees what is known of the connection. */
static void
on_closed(struct evhttp_connection *connection, void *ctx)
{
    HttpClients *h = ctx;
    HttpClient *c = client_find(h, connection);

    h->closed(h->ctx, connection);
    if (c != NULL) {
        if (c->queued) {
            g_queue_remove(&h->changed, c);
        }
        memory_account_close(c->account);
        g_hash_table_remove(h->open, c);
    }
}

/* Returns the connection that has been idle longest between two requests, of
 * one source address unless that is NULL, or NULL. */
static HttpClient *
longest_idle(const HttpClients *h, const char *source)
{
    HttpClient *best = NULL;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, h->open);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        HttpClient *c = value;
        if (!c->request_open && !c->closing && !is_receiving(c) &&
            !is_sending(c) &&
            (source == NULL ||
             strcmp(memory_account_source(c->account), source) == 0) &&
            (best == NULL || c->opened_us < best->opened_us)) {
            best = c;
        }
    }
    return best;
}

/* Opens the account of a new connection; when all are in use, closes one that
 * has sent no request, or an idle one, in its favour; one of the same source
 * address when that uses all that it may.  Returns NULL if none is. */
static MemoryAccount *
open_account(HttpClients *h, uint64_t now_us, const char *source)
{
    MemoryAccount *a = memory_account_open(h->budget, now_us, source);
    if (a != NULL) {
        return a;
    }
    const char *only =
        memory_budget_source_is_full(h->budget, source) ? source : NULL;
    MemoryAccount *stalled = memory_budget_stalled(h->budget, source);
    HttpClient *victim = stalled == NULL ? longest_idle(h, only)
                                         : memory_account_owner(stalled);
    if (victim == NULL) {
        return NULL;
    }
    client_close(victim, now_us, kCloseReplaced);
    return memory_account_open(h->budget, now_us, source);
}

/* Begins to watch an accepted connection.  evhttp, which has no callback for
 * new connections, is the context of the bufferevent's callbacks with its
 * evhttp_connection. */
static void
adopt(HttpClients *h, uint64_t now_us, struct bufferevent *bev)
{
    void *connection = NULL;
    char *address = NULL;
    uint16_t port = 0;

    bufferevent_getcb(bev, NULL, NULL, NULL, &connection);
    if (connection == NULL ||
        evhttp_connection_get_bufferevent(connection) != bev) {
        return;
    }
    evhttp_connection_get_peer(connection, &address, &port);
    MemoryAccount *a = open_account(h, now_us, address == NULL ? "" : address);
    if (a == NULL) {
        h->rejected++;
        log_limit(h, now_us, kCloseReplaced, connection);
        close_bufferevent(bev);
        return;
    }
    HttpClient *c = g_new0(HttpClient, 1);
    c->clients = h;
    c->connection = connection;
    c->account = a;
    c->opened_us = now_us;
    memory_account_set_owner(a, c);
    g_hash_table_add(h->open, c);
    evhttp_connection_set_closecb(connection, on_closed, h);
    evbuffer_add_cb(bufferevent_get_input(bev), on_input, c);
}

/* Event callback: adopts accepted connections, applies changed limits and
 * closes connections under pressure. */
static void
on_apply(evutil_socket_t fd, short events, void *ctx)
{
    HttpClients *h = ctx;
    uint64_t now_us = clock_now_us();
    MemoryAccount *victim;
    HttpClient *c;

    (void)fd;
    (void)events;
    for (guint i = 0; i < h->accepted->len; i++) {
        adopt(h, now_us, g_ptr_array_index(h->accepted, i));
    }
    g_ptr_array_set_size(h->accepted, 0);
    if (h->listener != NULL) {
        evconnlistener_enable(h->listener);
    }
    while ((c = g_queue_pop_head(&h->changed)) != NULL) {
        c->queued = 0;
        if (c->verdict == kMemoryClose) {
            /* Those closed just now may have been enough for its team or
             * source. */
            update_account(c, now_us);
        }
        if (c->verdict == kMemoryClose) {
            client_close(c, now_us, kCloseTooLarge);
            continue;
        }
        apply_read_limit(c);
        release_exchange(c);
    }
    while ((victim = memory_budget_victim(h->budget, now_us)) != NULL) {
        client_close(memory_account_owner(victim), now_us, kClosePressure);
    }
}

/* Closes the connections whose client has gone while its request is open.
 * evhttp reads nothing then, so it would notice only at the response. */
static void
close_abandoned(HttpClients *h)
{
    GPtrArray *clients = g_ptr_array_new();
    GArray *polled = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, h->open);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        HttpClient *c = value;
        if (c->request_open) {
            struct pollfd p = {bufferevent_getfd(client_bev(c)), POLLRDHUP, 0};
            g_ptr_array_add(clients, c);
            g_array_append_val(polled, p);
        }
    }
    if (poll((struct pollfd *)polled->data, polled->len, 0) > 0) {
        for (guint i = 0; i < polled->len; i++) {
            HttpClient *c = g_ptr_array_index(clients, i);
            if (g_array_index(polled, struct pollfd, i).revents != 0 &&
                !c->closing) {
                c->closing = 1;
                close_bufferevent(client_bev(c));
            }
        }
    }
    g_array_unref(polled);
    g_ptr_array_unref(clients);
}

/* Timer callback: closes connections that are too slow or abandoned, and lets
 * paused ones go on. */
static void
on_sweep(evutil_socket_t fd, short events, void *ctx)
{
    HttpClients *h = ctx;
    uint64_t now_us = clock_now_us();

    (void)fd;
    (void)events;
    close_abandoned(h);
    GPtrArray *late = g_ptr_array_new();
    GHashTableIter it;
    void *value;
    g_hash_table_iter_init(&it, h->open);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        HttpClient *c = value;
        if (late_reason(c, now_us) != kCloseReasons) {
            g_ptr_array_add(late, c);
            continue;
        }
        update_account(c, now_us);
        if (c->verdict != kMemoryClose) {
            apply_read_limit(c);
        }
    }
    /* A close frees the client that it concerns only. */
    for (guint i = 0; i < late->len; i++) {
        HttpClient *c = g_ptr_array_index(late, i);
        CloseReason reason = late_reason(c, now_us);
        if (reason != kCloseReasons) {
            client_close(c, now_us, reason);
        }
    }
    g_ptr_array_unref(late);
    event_active(h->apply, EV_TIMEOUT, 0);
}

/* ---- interface ---- */

/* Returns the number of connections that descriptors are left for, at most
 * wanted; zero: no limit is wanted. */
static uint32_t
limit_by_descriptors(uint32_t wanted)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY || limit.rlim_cur > G_MAXUINT32) {
        return wanted;
    }
    uint32_t all = (uint32_t)limit.rlim_cur;
    uint32_t left =
        all > 2 * kReservedDescriptors ? all - kReservedDescriptors : all / 2;
    return wanted == 0 ? left : MIN(wanted, left);
}

/* Creates the watch over a server's connections; free it with
 * http_clients_free after the server. */
HttpClients *
http_clients_new(struct event_base *base, const HttpClientLimits *limits,
                 HttpClientClosed closed, void *ctx)
{
    HttpClients *h = g_new0(HttpClients, 1);
    struct timeval interval = {0, kSweepMs * 1000};

    h->limits = *limits;
    h->limits.max_connections = limit_by_descriptors(limits->max_connections);
    MemoryLimits memory = {.total_bytes = limits->memory_bytes,
                           .max_connections = h->limits.max_connections,
                           .team_bytes = limits->memory_bytes / 4 * 3};
    uint32_t source = limits->max_source_connections;
    /* All callers may come from the address of a load balancer, so an address
     * has a limit of its own only if the settings give it one. */
    if (source != 0 && source < h->limits.max_connections) {
        h->limits_sources = TRUE;
        memory.max_source_connections = source;
        memory.source_bytes =
            limits->memory_bytes / h->limits.max_connections * source;
    }
    h->closed = closed;
    h->ctx = ctx;
    h->budget = memory_budget_new(&memory);
    h->open =
        g_hash_table_new_full(client_hash, client_equal, client_free, NULL);
    h->accepted = g_ptr_array_new();
    g_queue_init(&h->changed);
    h->apply = event_new(base, -1, 0, on_apply, h);
    h->sweep = event_new(base, -1, EV_PERSIST, on_sweep, h);
    event_add(h->sweep, &interval);
    return h;
}

/* Frees the watch.  The server's connections must be closed. */
void
http_clients_free(HttpClients *h)
{
    event_free(h->sweep);
    event_free(h->apply);
    g_queue_clear(&h->changed);
    g_ptr_array_unref(h->accepted);
    g_hash_table_destroy(h->open);
    memory_budget_free(h->budget);
    g_free(h);
}

/* Sets the listener of the server, NULL when it is closed. */
void
http_clients_set_listener(HttpClients *h, struct evconnlistener *listener)
{
    h->listener = listener;
}

/* Notes a connection that evhttp is accepting.  Accepting pauses until it is
 * adopted, when all connections are in use or one source address may not use
 * all: evhttp accepts a whole backlog in one go, and the address of a
 * connection is known only afterwards. */
void
http_clients_accept(HttpClients *h, struct bufferevent *bev)
{
    g_ptr_array_add(h->accepted, bev);
    event_active(h->apply, EV_TIMEOUT, 0);
    if (h->listener != NULL &&
        (h->limits_sources || g_hash_table_size(h->open) + h->accepted->len >=
                                  h->limits.max_connections)) {
        evconnlistener_disable(h->listener);
    }
}

/* Notes that a connection has sent a complete request. */
void
http_clients_request(HttpClients *h, struct evhttp_connection *connection)
{
    HttpClient *c = client_find(h, connection);
    if (c == NULL) {
        return;
    }
    c->request_open = 1;
    c->admitted = 1;
    if (c->exchange != NULL) {
        c->exchange->in = (Transfer){0};
    }
    memory_account_admit(c->account);
    memory_account_busy(c->account, TRUE);
}

/* Notes that the request of a connection gets its response now. */
void
http_clients_respond(HttpClients *h, struct evhttp_connection *connection)
{
    HttpClient *c = client_find(h, connection);
    if (c == NULL) {
        return;
    }
    c->request_open = 0;
    c->responded = 1;
    memory_account_busy(c->account, FALSE);
}

/* Sets the team of a connection's present request, whose limit counts for the
 * connection until the next one; NULL: none. */
void
http_clients_set_team(HttpClients *h, struct evhttp_connection *connection,
                      const char *team)
{
    HttpClient *c = client_find(h, connection);
    if (c != NULL) {
        memory_account_set_team(c->account, team);
    }
}

/* Sets what the clients use of the limits, and how many were rejected or
 * closed, and why. */
void
http_clients_pressure(const HttpClients *h, Sw__ClientPressure *out)
{
    MemoryStats s = memory_budget_stats(h->budget);

    sw__client_pressure__init(out);
    out->connections = s.connections;
    out->max_connections = h->limits.max_connections;
    out->held_bytes = s.held_bytes;
    out->max_bytes = h->limits.memory_bytes;
    out->rejected_connections = h->rejected;
    out->closed_replaced = h->close_counts[kCloseReplaced];
    out->closed_slow = timeout_count(h);
    out->closed_memory =
        h->close_counts[kCloseTooLarge] + h->close_counts[kClosePressure];
}

/* Appends how many connections a limit has closed or rejected. */
static void
write_limit_count(const char *label, uint64_t count, GString *out)
{
    g_string_append_printf(out,
                           "sapphireweir_client_limits_total{listener="
                           "\"http\",limit=\"%s\"} %" G_GUINT64_FORMAT "\n",
                           label, count);
}

/* Appends the counters in the metrics text format. */
void
http_clients_write_metrics(const HttpClients *h, GString *out)
{
    MemoryStats s = memory_budget_stats(h->budget);

    memory_stats_write(&s, "http", out);
    g_string_append_printf(
        out,
        "sapphireweir_client_closed_total{listener=\"http\"} "
        "%" G_GUINT64_FORMAT "\n"
        "sapphireweir_client_timeouts_total{listener=\"http\"} "
        "%" G_GUINT64_FORMAT "\n",
        closed_count(h), timeout_count(h));
    for (size_t i = 0; i < kCloseReasons; i++) {
        write_limit_count(close_names[i].label, h->close_counts[i], out);
    }
    write_limit_count("refused", h->rejected, out);
}
