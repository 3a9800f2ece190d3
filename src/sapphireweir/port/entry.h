#ifndef SAPPHIREWEIR_PORT_ENTRY_H
#define SAPPHIREWEIR_PORT_ENTRY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A caller's or operator's HTTP request.  The strings are owned by the driver
 * and valid during the call; those of absent headers are NULL. */
typedef struct {
    uint64_t id; /* chosen by the driver, unique among open requests */
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

/* The response to a request.  The strings are valid during the call to
 * respond; the driver copies them. */
typedef struct {
    uint32_t status; /* HTTP status code */
    const char *content_type;
    const char *body;
    size_t body_bytes;
    const char *session_token; /* NULL: header omitted */
    uint32_t retry_after_s;    /* zero: header omitted */
    /* Close the connection after the response, so that the caller connects to
     * another instance. */
    gboolean close;
} CallerResponse;

/* Outcome of a query to a backend server. */
typedef enum {
    kBackendOk,
    kBackendError, /* the server answered with an error */
    kBackendLost,  /* connection lost; the query may or may not have run */
} BackendStatus;

/* The result of one query.  Strings are valid during the call. */
typedef struct {
    BackendStatus status;
    json_t *rows;      /* array of objects; the core takes its own reference */
    uint64_t affected; /* number of rows that the query affected */
    const char *sqlstate; /* of kBackendError */
    const char *message;  /* of kBackendError */
} BackendResult;

/* Callbacks by which an entry instance's core does I/O.  The driver provides
 * them; all get ctx.  The core numbers its backend connections. */
typedef struct {
    void *ctx;
    /* Responds to a caller's request; called at most once for each request. */
    void (*respond)(void *ctx, uint64_t request_id,
                    const CallerResponse *response);
    /* Sends a frame to another instance.  Returns FALSE when no link to it is
     * up. */
    gboolean (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    /* Sets the address at which an instance accepts peer links. */
    void (*peer_address)(void *ctx, const char *id, const char *address);
    /* Opens a connection; the driver reports the result to
     * entry_core_backend_connected. */
    void (*backend_connect)(void *ctx, uint64_t connection,
                            const char *address, const char *database);
    /* Runs one query; the driver reports the result to
     * entry_core_backend_result.  A NULL parameter is SQL NULL. */
    void (*backend_query)(void *ctx, uint64_t connection, const char *sql,
                          size_t count, const char *const *parameters);
    /* Abandons the running query.  The driver may close the connection to do
     * so, and then reports the query as kBackendLost. */
    void (*backend_cancel)(void *ctx, uint64_t connection);
    /* Closes a connection; the driver reports nothing for it afterwards. */
    void (*backend_close)(void *ctx, uint64_t connection);
    /* Returns a random number. */
    uint64_t (*random)(void *ctx);
    /* Reports the team that an open request was authenticated for, NULL if it
     * needs no key.  May be NULL. */
    void (*caller_team)(void *ctx, uint64_t request_id, const char *team);
} EntryPort;

#endif
