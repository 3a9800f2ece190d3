#ifndef SAPPHIREWEIR_POLICY_CONNECTION_SHARE_H
#define SAPPHIREWEIR_POLICY_CONNECTION_SHARE_H

#include <glib.h>
#include <stdint.h>

/* The connections that one instance may hold at one backend server. */
typedef struct {
    uint32_t max_open;    /* connections at the same time */
    uint64_t max_idle_us; /* an idle one is closed after it; zero: never */
} ConnectionShare;

ConnectionShare connection_share(uint32_t limit, uint32_t instances);
uint32_t connection_share_owner(uint32_t limit);
ConnectionShare connection_share_beside_owner(uint32_t limit,
                                              uint32_t instances);

#endif
