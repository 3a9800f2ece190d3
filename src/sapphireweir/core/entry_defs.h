#ifndef SAPPHIREWEIR_CORE_ENTRY_DEFS_H
#define SAPPHIREWEIR_CORE_ENTRY_DEFS_H

#include "core/catalog.h"
#include "core/entry_core.h"
#include "core/fair_queue.h"
#include "core/session_token.h"
#include "core/token_bucket.h"
#include "policy/crossing.h"
#include "policy/domain_access.h"

/* Internal to the entry core; shared by its modules. */

enum {
    kMillisecondUs = 1000,
    kSecondUs = 1000000,
    kRequestTimeoutUs = 3000000, /* without a Request-Timeout-Ms header */
    kRequestTimeoutMaxUs = 30000000,
};

typedef struct Pool Pool;
typedef struct Limiter Limiter;
typedef struct LeaseClient LeaseClient;

/* Encryption keys derived from the cluster secret. */
typedef struct {
    uint8_t token[kSessionTokenKeyBytes]; /* seals session tokens */
} EntryKeys;

struct EntryCore {
    EntryConfig config;
    EntryPort port;
    EntryKeys keys;
    Metrics metrics;
    Catalog *catalog;
    LeaseClient *lease;
    Sw__ClientPressure clients; /* of the HTTP port, for lease requests */
    Limiter *limiter;
    GHashTable *pools;            /* "db/member" -> Pool, owned */
    GHashTable *connections;      /* id -> PoolConnection, owned by its pool */
    GHashTable *owners;           /* "pool/db/member" -> OwnerEntry, owned */
    GHashTable *avoided;          /* database -> Avoidance, owned */
    GHashTable *service_bytes;    /* service -> uint64_t, owned; smoothed */
    GHashTable *calls;            /* CallerRequest id -> Call, owned */
    GHashTable *attempts;         /* frame id -> Call in state kCallWorking */
    GHashTable *admin_calls;      /* frame id -> AdminCall, owned */
    GHashTable *position_queries; /* frame id -> PositionQuery, owned */
    /* Transactions that an evacuation has rolled back: id -> when, in
     * microseconds (uint64_t), owned.  Their next requests are rejected with
     * that reason. */
    GHashTable *evacuated_transactions;
    uint64_t evacuation_logged_us; /* last log line of rejected work */
    uint64_t last_connection_id;
    uint64_t last_frame_id;
    uint64_t crossed[kCrossingReasons]; /* work to other failure domains */
    uint64_t retry_budget_milli; /* retries left, in thousandths of one */
    gboolean draining;
    /* Version of the instance view and index of the state for which the owned
     * pools were last created. */
    uint64_t pools_checked_version;
    uint64_t pools_checked_index;
};

/* ---- lease.c ---- */
LeaseClient *lease_client_new(EntryCore *e);
void lease_client_free(LeaseClient *l);
void lease_tick(EntryCore *e, uint64_t now_us);
void lease_reply(EntryCore *e, uint64_t now_us, const Sw__LeaseReply *r);
void lease_state_applied(EntryCore *e, uint64_t now_us);
void lease_health_changed(EntryCore *e);
gboolean lease_valid(const EntryCore *e, uint64_t now_us);
gboolean lease_valid_with_grace(const EntryCore *e, uint64_t now_us,
                                uint64_t grace_us);
const char *lease_control(const EntryCore *e);
void lease_leave(EntryCore *e, uint64_t now_us);
gboolean lease_has_left(const EntryCore *e);

/* ---- limiter.c ---- */
/* Receives the admission decision on a call; call is the Call's id.  If
 * admitted is FALSE, a token may be available after retry_after_us; UINT64_MAX
 * means never. */
typedef void (*LimiterCallback)(void *ctx, uint64_t now_us, uint64_t call,
                                gboolean admitted, uint64_t retry_after_us);

Limiter *limiter_new(EntryCore *e, LimiterCallback callback, void *ctx);
void limiter_free(Limiter *l);
void limiter_admit(EntryCore *e, uint64_t now_us, const char *team,
                   uint64_t call);
void limiter_cancel(EntryCore *e, uint64_t call);
void limiter_request(EntryCore *e, uint64_t now_us, const char *from,
                     uint64_t frame_id, const Sw__TokenRequest *r);
void limiter_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
                   const Sw__TokenReply *r);
void limiter_tick(EntryCore *e, uint64_t now_us);
uint64_t limiter_token_lifetime_us(const TeamParameters *p);
uint32_t limiter_least_burst(uint32_t rate_per_s, uint32_t domains);

/* ---- pool.c, job.c, monitor.c ---- */
Pool *pool_get(EntryCore *e, uint64_t now_us, const char *database,
               const char *member);
void pool_submit(EntryCore *e, uint64_t now_us, const char *origin,
                 uint64_t frame_id, const Sw__WorkRequest *r);
void pool_cancel(EntryCore *e, uint64_t now_us, const char *origin,
                 uint64_t frame_id);
void pool_origin_down(EntryCore *e, uint64_t now_us, const char *origin);
void pool_tick_all(EntryCore *e, uint64_t now_us);
void pool_free(void *pool);
gboolean pools_idle(const EntryCore *e);
void pool_connected(EntryCore *e, uint64_t now_us, uint64_t connection,
                    gboolean ok);
void pool_result(EntryCore *e, uint64_t now_us, uint64_t connection,
                 const BackendResult *result);
size_t pool_health(EntryCore *e, uint64_t now_us, GPtrArray *out);
void pool_position_request(EntryCore *e, uint64_t now_us, const char *from,
                           uint64_t frame_id, const Sw__PositionRequest *r);
void pool_position_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
                         const Sw__PositionReply *r);
GHashTable *position_queries_new(void);
void pool_member_command(EntryCore *e, uint64_t now_us, const char *from,
                         const Sw__MemberCommand *c);
uint32_t pool_connection_budget(uint32_t connections, uint32_t members);

/* ---- router.c ---- */
/* The member that router_choose selected. */
typedef struct {
    int32_t member;     /* index in the database; -1: none can serve */
    gboolean eligible;  /* a replica was allowed to serve */
    gboolean evacuated; /* there is no member because the primary's failure
                         * domain is evacuated */
    MetricId reason;    /* counter of reads that the primary serves for the
                         * same reason; unused if a replica was chosen */
    CrossingReason crossing; /* why the work leaves the failure domain, if
                              * the member is in another one */
} RouteChoice;

RouteChoice router_choose(EntryCore *e, uint64_t now_us, const DatabaseInfo *d,
                          const char *service, gboolean write,
                          uint64_t max_staleness_us, uint32_t tried_members);
void router_count_crossed(EntryCore *e, const DatabaseInfo *d, int32_t member,
                          CrossingReason reason);
void router_observe_bytes(EntryCore *e, const char *service, uint64_t bytes);
DomainAccess router_domain_access(const DatabaseInfo *d, int32_t member,
                                  uint64_t now_us);
void router_avoid(EntryCore *e, uint64_t now_us, const char *database,
                  int32_t member);
GHashTable *router_cache_new(void);
uint32_t router_owners(EntryCore *e, const DatabaseInfo *d, int32_t member,
                       const InstanceInfo **out);

/* ---- caller.c ---- */
void caller_request(EntryCore *e, uint64_t now_us, const CallerRequest *r);
void caller_abandon(EntryCore *e, uint64_t now_us, uint64_t request_id);
void caller_admission_result(void *ctx, uint64_t now_us, uint64_t call,
                             gboolean admitted, uint64_t retry_after_us);
void caller_work_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
                       const Sw__WorkReply *r);
void caller_peer_down(EntryCore *e, uint64_t now_us, const char *peer);
void caller_state_applied(EntryCore *e, uint64_t now_us);
void caller_tick(EntryCore *e, uint64_t now_us);
void call_free(void *call);
void caller_respond_problem(EntryCore *e, uint64_t request_id, uint32_t status,
                            const char *type, const char *outcome,
                            const char *detail, uint32_t retry_after_s);

/* ---- admin.c ---- */
void admin_request(EntryCore *e, uint64_t now_us, const CallerRequest *r);
void admin_reply(EntryCore *e, uint64_t frame_id, const Sw__AdminReply *r);
void admin_announcement(EntryCore *e, uint64_t now_us, const CallerRequest *r);
void admin_abandon(EntryCore *e, uint64_t request_id);
void admin_tick(EntryCore *e, uint64_t now_us);
void admin_call_free(void *call);
gboolean bearer_matches(const char *authorization, const char *expected);

/* ---- entry_core.c ---- */
uint64_t entry_next_frame_id(EntryCore *e);
void entry_work_reply(EntryCore *e, uint64_t now_us, const char *origin,
                      uint64_t frame_id, const Sw__WorkReply *r);
gboolean entry_send(EntryCore *e, const char *to, uint64_t frame_id,
                    Sw__Frame__BodyCase body_case, void *body);
uint64_t entry_wall_ms(const EntryCore *e, uint64_t now_us);

#endif
