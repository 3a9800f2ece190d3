#ifndef SAPPHIREWEIR_ADAPTER_HTTP_H
#define SAPPHIREWEIR_ADAPTER_HTTP_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

#include "port/entry.h"

typedef struct Http Http;

/* Callbacks of the server.  The request is valid during the call only;
 * abandoned reports that the caller closed the connection before the
 * response. */
typedef struct {
    void *ctx;
    void (*request)(void *ctx, const CallerRequest *request);
    void (*abandoned)(void *ctx, uint64_t request_id);
} HttpEvents;

typedef struct {
    const char *address;         /* to listen at, "IP:PORT" */
    const char *tls_certificate; /* NULL: plain HTTP */
    const char *tls_key;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_requests; /* open at the same time; above: status 503 */
    uint64_t memory_bytes; /* that clients may make the process hold */
    uint32_t max_connections;
    uint32_t max_source_connections; /* of one source address */
    uint64_t message_timeout_us;     /* of a request that began to arrive */
    uint64_t send_timeout_us;        /* of a response that is not read */
    uint64_t min_bytes_per_s;        /* of both */
} HttpSettings;

Http *http_new(struct event_base *base, const HttpSettings *settings,
               const HttpEvents *events, GError **error);
void http_free(Http *h);
gboolean http_reload_tls(Http *h, GError **error);
void http_respond(Http *h, uint64_t request_id,
                  const CallerResponse *response);
void http_set_team(Http *h, uint64_t request_id, const char *team);
void http_stop_listening(Http *h);
void http_client_pressure(const Http *h, Sw__ClientPressure *out);
void http_write_metrics(const Http *h, GString *out);

#endif
