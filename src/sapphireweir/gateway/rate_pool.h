#ifndef SAPPHIREWEIR_GATEWAY_RATE_POOL_H
#define SAPPHIREWEIR_GATEWAY_RATE_POOL_H

#include "core/event_log.h"
#include "fleet/document.h"
#include "fleet/owners.h"
#include "gateway/gateway_defs.h"

/* The shares of the teams' rates that this entry instance lends to others and
 * borrows from them while it has lost the control leader. */
typedef struct RatePool RatePool;

typedef enum {
    kRatePoolInactive, /* the leader was lost too recently, or never known */
    kRatePoolTaken,
    kRatePoolEmpty, /* no token now */
} RatePoolResult;

typedef struct {
    uint64_t taken;           /* operations served */
    uint64_t tokens_granted;  /* to other instances */
    uint64_t tokens_received; /* from other instances */
    uint64_t shares_lent;     /* loans, without those prolonged */
    uint64_t requests;        /* sent */
    uint64_t timeouts;        /* requests without a reply in time */
    uint64_t ignored;         /* invalid, late or unexpected messages */
    uint64_t dropped;         /* requests over the limit of replies */
    uint64_t begun;           /* times that the pool was used */
} RatePoolCounters;

RatePool *rate_pool_new(const char *id, uint64_t incarnation,
                        const GatewayPort *port, EventLog *events);
void rate_pool_set_min_entries(RatePool *p, uint32_t min_entries);
void rate_pool_free(RatePool *p);
void rate_pool_set_entries(RatePool *p, const EntryList *entries);
void rate_pool_set_share(RatePool *p, uint64_t now_us, const char *team,
                         uint32_t share_micro);
void rate_pool_set_contact(RatePool *p, uint64_t now_us, uint64_t contact_us);
void rate_pool_tick(RatePool *p, uint64_t now_us, uint64_t contact_us);
RatePoolResult rate_pool_take(RatePool *p, uint64_t now_us,
                              const DocumentTeam *team, uint32_t wanted,
                              uint64_t *wait_us);
void rate_pool_taken_alone(RatePool *p, uint64_t now_us, const char *team);
void rate_pool_request(RatePool *p, uint64_t now_us, const char *from,
                       uint64_t request_id, const Sw__RateShareRequest *m,
                       const Document *document);
void rate_pool_reply(RatePool *p, uint64_t now_us, const char *from,
                     uint64_t request_id, const Sw__RateShareReply *m);
uint32_t rate_pool_members(const RatePool *p, uint64_t now_us);
uint64_t rate_pool_lent_version(const RatePool *p);
void rate_pool_append_lent(const RatePool *p, uint64_t now_us,
                           GPtrArray *list);
const RatePoolCounters *rate_pool_counters(const RatePool *p);

#endif
