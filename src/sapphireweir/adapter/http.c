#include "adapter/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <string.h>

#include "adapter/http_clients.h"
#include "core/error.h"

/* The HTTP server of an instance, on libevent's evhttp; TLS uses OpenSSL
 * bufferevents if a certificate is set. */

/* A request that has no response yet. */
typedef struct {
    Http *http;
    uint64_t id;
    struct evhttp_request *request;
    struct evhttp_connection *connection;
} OpenRequest;

struct Http {
    struct event_base *base;
    HttpSettings settings;
    HttpEvents events;
    struct evhttp *server;
    HttpClients *clients;
    struct evhttp_bound_socket *socket;
    SSL_CTX *tls;
    GHashTable *open_requests; /* id -> OpenRequest */
    GHashTable *connections;   /* evhttp_connection -> id of its request */
    uint64_t next_id;
    uint64_t rejected_requests; /* while max_requests were open */
};

enum {
    kIdleTimeoutS = 120,       /* for each read and write of a connection */
    kReadSlackBytes = 4 << 10, /* of chunk sizes and the like */
};

/* ---- TLS ---- */

/* Loads certificate and key into a new TLS context.  Fails with
 * kCoreErrorIo. */
static SSL_CTX *
load_tls(const HttpSettings *s, GError **error)
{
    SSL_CTX *tls = SSL_CTX_new(TLS_server_method());
    SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(tls, s->tls_certificate) != 1 ||
        SSL_CTX_use_PrivateKey_file(tls, s->tls_key, SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(tls) != 1) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo,
                    "cannot use certificate %s with key %s: %s",
                    s->tls_certificate, s->tls_key,
                    ERR_reason_error_string(ERR_peek_last_error()));
        ERR_clear_error();
        SSL_CTX_free(tls);
        return NULL;
    }
    return tls;
}

/* Reloads certificate and key.  Open connections keep the old ones; after an
 * error (kCoreErrorIo) new connections keep using the old ones too. */
gboolean
http_reload_tls(Http *h, GError **error)
{
    if (h->settings.tls_certificate == NULL) {
        return TRUE;
    }
    SSL_CTX *tls = load_tls(&h->settings, error);
    if (tls == NULL) {
        return FALSE;
    }
    if (h->tls != NULL) {
        SSL_CTX_free(h->tls);
    }
    h->tls = tls;
    return TRUE;
}

/* Creates the bufferevent of an accepted connection, for evhttp. */
static struct bufferevent *
make_bufferevent(struct event_base *base, void *ctx)
{
    Http *h = ctx;
    struct bufferevent *bev;

    if (h->tls == NULL) {
        bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    }
    else {
        bev = bufferevent_openssl_socket_new(base, -1, SSL_new(h->tls),
                                             BUFFEREVENT_SSL_ACCEPTING,
                                             BEV_OPT_CLOSE_ON_FREE);
        bufferevent_openssl_set_allow_dirty_shutdown(bev, 1);
    }
    http_clients_accept(h->clients, bev);
    return bev;
}

/* ---- requests ---- */

/* Frees the request of an OpenRequest whose connection is closed.  evhttp
 * detaches a request that waits for its response from the connection and
 * leaves it to the owner; it frees all others itself. */
static void
free_detached(const OpenRequest *o)
{
    if (evhttp_request_get_connection(o->request) == NULL) {
        evhttp_request_free(o->request);
    }
}

/* Callback of HttpClients: drops the connection's open request, if any, and
 * reports the request as abandoned. */
static void
on_connection_closed(void *ctx, struct evhttp_connection *connection)
{
    Http *h = ctx;
    uint64_t *id = g_hash_table_lookup(h->connections, connection);

    if (id == NULL) {
        return;
    }
    uint64_t request_id = *id;
    g_hash_table_remove(h->connections, connection);
    OpenRequest *o = g_hash_table_lookup(h->open_requests, &request_id);
    if (o != NULL) {
        free_detached(o);
        g_hash_table_remove(h->open_requests, &request_id);
        h->events.abandoned(h->events.ctx, request_id);
    }
}

/* Returns the method; the server allows only these two. */
static const char *
method_name(enum evhttp_cmd_type type)
{
    return type == EVHTTP_REQ_GET ? "GET" : "POST";
}

/* Sets the fields that come from request headers, to NULL if the header is
 * absent. */
static void
fill_headers(struct evhttp_request *request, CallerRequest *r)
{
    struct evkeyvalq *in = evhttp_request_get_input_headers(request);
    r->authorization = evhttp_find_header(in, "Authorization");
    r->session_token = evhttp_find_header(in, "Session-Token");
    r->idempotency_key = evhttp_find_header(in, "Idempotency-Key");
    r->max_staleness_ms = evhttp_find_header(in, "Max-Staleness-Ms");
    r->request_timeout_ms = evhttp_find_header(in, "Request-Timeout-Ms");
    r->operation_id = evhttp_find_header(in, "Operation-Id");
}

/* Rejects a request because max_requests are open already. */
static void
reject_busy(struct evhttp_request *request)
{
    static const char body[] =
        "{\"type\":\"urn:sapphireweir:problem:busy\",\"status\":503,"
        "\"outcome\":\"not_run\",\"detail\":\"too many open requests\"}";
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);

    evhttp_add_header(out, "Content-Type", "application/problem+json");
    evhttp_add_header(out, "Retry-After", "1");
    evbuffer_add(evhttp_request_get_output_buffer(request), body,
                 sizeof(body) - 1);
    evhttp_send_reply(request, 503, "Service Unavailable", NULL);
}

/* Request callback of evhttp: registers the request as open and passes it to
 * the owner's request callback, without the query part of the path. */
static void
on_request(struct evhttp_request *request, void *ctx)
{
    Http *h = ctx;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    size_t bytes = evbuffer_get_length(in);
    char *path = g_strdup(evhttp_request_get_uri(request));

    http_clients_request(h->clients, evhttp_request_get_connection(request));
    if (g_hash_table_size(h->open_requests) >= h->settings.max_requests) {
        http_clients_respond(h->clients,
                             evhttp_request_get_connection(request));
        h->rejected_requests++;
        reject_busy(request);
        g_free(path);
        return;
    }
    OpenRequest *o = g_new(OpenRequest, 1);
    *o = (OpenRequest){h, ++h->next_id, request,
                       evhttp_request_get_connection(request)};
    g_hash_table_insert(h->open_requests, &o->id, o);
    uint64_t *id = g_new(uint64_t, 1);
    *id = o->id;
    g_hash_table_insert(h->connections, o->connection, id);

    path[strcspn(path, "?")] = '\0';
    CallerRequest r = {
        .id = o->id,
        .method = method_name(evhttp_request_get_command(request)),
        .path = path,
        .body = bytes == 0 ? "" : (const char *)evbuffer_pullup(in, -1),
        .body_bytes = bytes,
    };
    fill_headers(request, &r);
    h->events.request(h->events.ctx, &r);
    g_free(path);
}

/* Returns the reason phrase of an HTTP status. */
static const char *
status_text(uint32_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/* Sends the response to an open request.  The id of a request that is no
 * longer open is ignored. */
void
http_respond(Http *h, uint64_t request_id, const CallerResponse *response)
{
    OpenRequest *o = g_hash_table_lookup(h->open_requests, &request_id);
    char retry_after[16];

    if (o == NULL) {
        return;
    }
    struct evhttp_request *request = o->request;
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    http_clients_respond(h->clients, o->connection);
    g_hash_table_remove(h->connections, o->connection);
    g_hash_table_remove(h->open_requests, &request_id);

    evhttp_add_header(out, "Content-Type", response->content_type);
    if (response->session_token != NULL) {
        evhttp_add_header(out, "Session-Token", response->session_token);
    }
    if (response->retry_after_s > 0) {
        g_snprintf(retry_after, sizeof(retry_after), "%u",
                   response->retry_after_s);
        evhttp_add_header(out, "Retry-After", retry_after);
    }
    if (response->close) {
        evhttp_add_header(out, "Connection", "close");
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), response->body,
                 response->body_bytes);
    evhttp_send_reply(request, (int)response->status,
                      status_text(response->status), NULL);
}

/* Sets the team of an open request, whose share of the memory then counts for
 * its connection; NULL: none. */
void
http_set_team(Http *h, uint64_t request_id, const char *team)
{
    const OpenRequest *o = g_hash_table_lookup(h->open_requests, &request_id);
    if (o != NULL) {
        http_clients_set_team(h->clients, o->connection, team);
    }
}

/* ---- setup and shutdown ---- */

/* Creates the server and opens its port.  Fails with kCoreErrorIo if the port
 * or the certificate cannot be used.  The strings of settings must outlive the
 * server; the caller frees it with http_free. */
Http *
http_new(struct event_base *base, const HttpSettings *settings,
         const HttpEvents *events, GError **error)
{
    Http *h = g_new0(Http, 1);
    char *host =
        g_strndup(settings->address, (gsize)(strrchr(settings->address, ':') -
                                             settings->address));
    guint64 port =
        g_ascii_strtoull(strrchr(settings->address, ':') + 1, NULL, 10);

    h->base = base;
    h->settings = *settings;
    h->events = *events;
    h->open_requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    h->connections =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    HttpClientLimits limits = {
        .memory_bytes = settings->memory_bytes,
        .max_connections = settings->max_connections,
        .max_source_connections = settings->max_source_connections,
        .message_bytes = (uint64_t)settings->max_header_bytes +
                         settings->max_body_bytes + kReadSlackBytes,
        .header_bytes = settings->max_header_bytes,
        .message_timeout_us = settings->message_timeout_us,
        .send_timeout_us = settings->send_timeout_us,
        .min_bytes_per_s = settings->min_bytes_per_s,
    };
    h->clients = http_clients_new(base, &limits, on_connection_closed, h);
    h->server = evhttp_new(base);
    evhttp_set_gencb(h->server, on_request, h);
    evhttp_set_bevcb(h->server, make_bufferevent, h);
    evhttp_set_allowed_methods(h->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_max_body_size(h->server, settings->max_body_bytes);
    evhttp_set_max_headers_size(h->server, settings->max_header_bytes);
    evhttp_set_timeout(h->server, kIdleTimeoutS);
    if (!http_reload_tls(h, error)) {
        g_free(host);
        http_free(h);
        return NULL;
    }
    h->socket =
        evhttp_bind_socket_with_handle(h->server, host, (uint16_t)port);
    g_free(host);
    if (h->socket == NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo,
                    "cannot listen for callers at %s", settings->address);
        http_free(h);
        return NULL;
    }
    http_clients_set_listener(h->clients,
                              evhttp_bound_socket_get_listener(h->socket));
    return h;
}

/* Closes the port and all connections and frees the server; open requests are
 * dropped without a callback. */
void
http_free(Http *h)
{
    g_hash_table_remove_all(h->open_requests);
    g_hash_table_remove_all(h->connections);
    evhttp_free(h->server);
    http_clients_free(h->clients);
    if (h->tls != NULL) {
        SSL_CTX_free(h->tls);
    }
    g_hash_table_destroy(h->connections);
    g_hash_table_destroy(h->open_requests);
    g_free(h);
}

/* Stops accepting connections; open ones continue. */
void
http_stop_listening(Http *h)
{
    if (h->socket != NULL) {
        http_clients_set_listener(h->clients, NULL);
        evhttp_del_accept_socket(h->server, h->socket);
        h->socket = NULL;
    }
}

/* Sets what the clients use of the limits, and how many were rejected or
 * closed, and why. */
void
http_client_pressure(const Http *h, Sw__ClientPressure *out)
{
    http_clients_pressure(h->clients, out);
    out->rejected_requests = h->rejected_requests;
}

/* Appends the counters of the server's connections in the metrics text
 * format. */
void
http_write_metrics(const Http *h, GString *out)
{
    http_clients_write_metrics(h->clients, out);
}
