#ifndef SAPPHIREWEIR_PORT_ENTRY_H
#define SAPPHIREWEIR_PORT_ENTRY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A caller's or operator's request as the HTTP side hands it over.  The
 * strings stay the driver's and are NULL where a header is absent. */
typedef struct {
    uint64_t id; /* chosen by the driver, unique while it is open */
    const char *method;
    const char *path;
    const char *body;
    size_t body_bytes;
    const char *authorization;
    const char *session_token;
    const char *idempotency_key;
    const char *max_staleness_ms;
    const char *request_timeout_ms;
    const char *operation_id;
} CallerRequest;

/* The answer to a request; the driver copies what it keeps. */
typedef struct {
    uint32_t status;
    const char *content_type;
    const char *body;
    size_t body_bytes;
    const char *session_token; /* NULL: no header */
    uint32_t retry_after_s;    /* zero: no header */
    gboolean close;            /* the caller should reconnect elsewhere */
} CallerResponse;

typedef enum {
    kBackendOk,
    kBackendError, /* the server answered with an error */
    kBackendLost,  /* the connection is gone, its fate unknown */
} BackendStatus;

/* The answer to one query. */
typedef struct {
    BackendStatus status;
    json_t *rows; /* array of objects; the core takes its own reference */
    uint64_t affected;
    const char *sqlstate;
    const char *message;
} BackendResult;

/* What an entry instance's decisions need of the world. */
typedef struct {
    void *ctx;
    void (*respond)(void *ctx, uint64_t request_id,
                    const CallerResponse *response);
    /* Sends a frame to another instance.  FALSE: no link is up. */
    gboolean (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    void (*peer_address)(void *ctx, const char *id, const char *address);
    /* Opens a connection; entry_core_backend_connected tells the outcome. */
    void (*backend_connect)(void *ctx, uint64_t connection,
                            const char *address, const char *database);
    /* Runs one query; entry_core_backend_result brings the answer.  A NULL
     * parameter is SQL NULL. */
    void (*backend_query)(void *ctx, uint64_t connection, const char *sql,
                          size_t count, const char *const *parameters);
    void (*backend_cancel)(void *ctx, uint64_t connection);
    /* Closes a connection; nothing is reported of it any more. */
    void (*backend_close)(void *ctx, uint64_t connection);
    uint64_t (*random)(void *ctx);
} EntryPort;

#endif
