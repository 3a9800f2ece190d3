#ifndef SAPPHIREWEIR_ADAPTER_BACKEND_H
#define SAPPHIREWEIR_ADAPTER_BACKEND_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

#include "port/entry.h"

typedef struct Backend Backend;

/* Callbacks of the adapter.  connected reports the outcome of a connection
 * attempt; result delivers one query result, or kBackendLost when an open
 * connection failed.  The result is valid during the call only. */
typedef struct {
    void *ctx;
    void (*connected)(void *ctx, uint64_t connection, gboolean ok);
    void (*result)(void *ctx, uint64_t connection,
                   const BackendResult *result);
} BackendEvents;

Backend *backend_new(struct event_base *base, const char *application,
                     const char *user, const char *password,
                     const BackendEvents *events);
void backend_free(Backend *b);
void backend_connect(Backend *b, uint64_t connection, const char *address,
                     const char *database);
void backend_query(Backend *b, uint64_t connection, const char *sql,
                   size_t count, const char *const *parameters);
void backend_close(Backend *b, uint64_t connection);
void backend_cancel(Backend *b, uint64_t connection);

#endif
