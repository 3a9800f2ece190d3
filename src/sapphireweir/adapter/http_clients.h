#ifndef SAPPHIREWEIR_ADAPTER_HTTP_CLIENTS_H
#define SAPPHIREWEIR_ADAPTER_HTTP_CLIENTS_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* The connections of an HTTP server whose clients are not trusted. */
typedef struct HttpClients HttpClients;

typedef struct {
    uint64_t memory_bytes;    /* for all clients; zero: no limit */
    uint32_t max_connections; /* at the same time; zero: no limit */
    /* Of one source address, which also gets this part of the memory; zero or
     * max_connections: no limit. */
    uint32_t max_source_connections;
    uint64_t message_bytes;      /* of one request, with its headers */
    uint64_t header_bytes;       /* of its headers, without line ends */
    uint64_t message_timeout_us; /* without a byte of a request that began */
    uint64_t send_timeout_us;    /* without the client reading a byte */
    uint64_t min_bytes_per_s;    /* of both, beyond the time-outs */
} HttpClientLimits;

/* Called when a connection is closed, for whatever reason. */
typedef void (*HttpClientClosed)(void *ctx,
                                 struct evhttp_connection *connection);

HttpClients *http_clients_new(struct event_base *base,
                              const HttpClientLimits *limits,
                              HttpClientClosed closed, void *ctx);
void http_clients_free(HttpClients *h);
void http_clients_set_listener(HttpClients *h,
                               struct evconnlistener *listener);
void http_clients_accept(HttpClients *h, struct bufferevent *bev);
void http_clients_request(HttpClients *h,
                          struct evhttp_connection *connection);
void http_clients_respond(HttpClients *h,
                          struct evhttp_connection *connection);
void http_clients_set_team(HttpClients *h,
                           struct evhttp_connection *connection,
                           const char *team);
void http_clients_pressure(const HttpClients *h, Sw__ClientPressure *out);
void http_clients_write_metrics(const HttpClients *h, GString *out);

#endif
