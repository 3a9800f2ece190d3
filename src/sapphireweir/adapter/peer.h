#ifndef SAPPHIREWEIR_ADAPTER_PEER_H
#define SAPPHIREWEIR_ADAPTER_PEER_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* The links of this process to all other processes of the cluster. */
typedef struct Peer Peer;

/* Callbacks of the links.  frame delivers a received frame, which is valid
 * during the call only; up and down report that a link to a peer was
 * established or closed; link_rejected reports that a link was closed because
 * of invalid data.  All but frame may be NULL. */
typedef struct {
    void *ctx;
    void (*frame)(void *ctx, const char *from, const Sw__Frame *frame);
    void (*up)(void *ctx, const char *peer);
    void (*down)(void *ctx, const char *peer);
    void (*link_rejected)(void *ctx);
} PeerEvents;

Peer *peer_new(struct event_base *base, const char *id, uint64_t incarnation,
               const uint8_t *secret, const char *listen_address,
               const PeerEvents *events, GError **error);
void peer_free(Peer *p);
void peer_set_failure_domain(Peer *p, const char *domain);
void peer_set_limits(Peer *p, uint64_t memory_bytes, uint32_t max_handshakes);
void peer_limits_write(const Peer *p, GString *out);
uint64_t peer_rejected_links(const Peer *p);
void peer_traffic_write(const Peer *p, GString *out);
void peer_set_address(Peer *p, const char *id, const char *address);
gboolean peer_ready(Peer *p, const char *to);
gboolean peer_send(Peer *p, const char *to, const Sw__Frame *frame);

#endif
