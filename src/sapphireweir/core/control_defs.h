#ifndef SAPPHIREWEIR_CORE_CONTROL_DEFS_H
#define SAPPHIREWEIR_CORE_CONTROL_DEFS_H

#include "core/consensus.h"
#include "core/control_core.h"
#include "core/ownership.h"
#include "core/state.h"

/* Internal to the control core: shared by control_core.c, control_admin.c,
 * control_lease.c and promotion.c. */

enum {
    kMicrosPerMillisecond = 1000,
    kTrackMarginUs = 500000,
    kForwardExpiryUs = 3000000,
    kSubscriberExpiryUs = 5000000,
    kUpdateResendUs = 500000,
    kDistributeUs = 10000, /* state updates go out no more often */
    kDistributeIdleUs = 50000,
    kUpdateChangesMax = 2000,
    kSlowTickUs = 250000,  /* scans over everything the leader knows */
    kGroupScanUs = 250000, /* each healthy group is looked at so often */
};

/* What the leader knows of an entry instance beyond the log. */
typedef struct {
    char *id;
    uint64_t incarnation;
    uint64_t heard_us;
    uint64_t applied_index;
    uint64_t proposed_us; /* membership change under way since */
} InstanceTrack;

/* What the leader knows of a member of a database group. */
typedef struct {
    uint64_t heard_us; /* last health report */
    gboolean reachable;
    gboolean stream_alive;
    gboolean in_recovery;
    uint64_t timeline;
    uint64_t position;
    uint64_t failing_since_us; /* zero: fine */
    gboolean seen_fine;        /* was fine since the last promotion */
    uint64_t forgiven_us;      /* faults count from here on */
    uint64_t announced_us;
    uint64_t refollow_due_us;
} MemberTrack;

/* An entry instance that follows this control instance's state. */
typedef struct {
    uint64_t sent_index;
    uint64_t sent_us;
    uint64_t heard_us;
} Subscriber;

/* An answer that waits until the leader is confirmed as such. */
typedef struct {
    uint64_t round;
    uint64_t due_us;
    char *to;
    uint64_t request_id;
    Sw__LeaseRequest *lease; /* one of these two */
    Sw__AdminRequest *admin;
} WaitingRead;

/* An operator's change that waits for its commit. */
typedef struct {
    uint64_t index;
    uint64_t term;
    uint64_t due_us;
    char *to;
    uint64_t request_id;
} WaitingChange;

/* A request passed on to the leader. */
typedef struct {
    char *origin;
    uint64_t request_id;
    uint64_t due_us;
} Forward;

typedef struct {
    uint64_t number;    /* promotion number in the log */
    GHashTable *fenced; /* member -> FencedAt, owned */
    uint64_t resend_due_us;
    uint64_t resends;
    uint64_t proposed_us; /* change of the phase under way since */
    uint64_t candidate_since_us;
} PromotionTrack;

typedef struct {
    uint64_t timeline;
    uint64_t position;
} FencedAt;

struct ControlCore {
    char *id;
    char *failure_domain;
    ControlConfig config;
    ControlPort port;
    Consensus *consensus;
    State *state;
    Metrics metrics;
    InstanceView view;

    GHashTable *instances;   /* id -> InstanceTrack */
    GHashTable *members;     /* "db/member" -> MemberTrack */
    GHashTable *subscribers; /* id -> Subscriber */
    GHashTable *promotions;  /* database -> PromotionTrack */
    GQueue waiting_reads;
    GQueue waiting_changes;
    GHashTable *forwards; /* id -> Forward */
    uint64_t next_forward;
    uint64_t led_since_us; /* zero: does not lead */
    gboolean stopping;
    uint64_t slow_tick_due_us;
    uint64_t distributed_us;
    uint64_t distributed_index;
    GHashTable *attention; /* databases to look at in every tick */
    GPtrArray *databases;  /* names of all, NULL: to be listed anew */
    uint32_t scan_at;      /* next of them to look at */
    uint64_t scanned_us;
};

/* control_core.c */
void control_reply_admin(ControlCore *k, const char *to, uint64_t request_id,
                         uint32_t status, json_t *body);
uint64_t control_propose(ControlCore *k, uint64_t now_us, json_t *command);
gboolean control_propose_quiet(ControlCore *k, uint64_t now_us,
                               const char *actor, const char *key,
                               json_t *spec, gboolean audited);
gboolean control_forward(ControlCore *k, uint64_t now_us, const char *from,
                         const Sw__Frame *frame);
void control_wait_read(ControlCore *k, uint64_t now_us, const char *to,
                       uint64_t request_id, const Sw__LeaseRequest *lease,
                       const Sw__AdminRequest *admin);

/* control_admin.c */
void control_admin_request(ControlCore *k, uint64_t now_us, const char *from,
                           uint64_t request_id, const Sw__AdminRequest *r);
void control_admin_read(ControlCore *k, uint64_t now_us, const char *to,
                        uint64_t request_id, const Sw__AdminRequest *r);
void control_admin_applied(ControlCore *k, uint64_t index, uint64_t term,
                           const StateOutcome *outcome);
void control_admin_expire(ControlCore *k, uint64_t now_us);

/* control_lease.c */
void control_lease_request(ControlCore *k, uint64_t now_us, const char *from,
                           uint64_t request_id, const Sw__LeaseRequest *r);
void control_lease_confirmed(ControlCore *k, uint64_t now_us, const char *to,
                             uint64_t request_id, const Sw__LeaseRequest *r);
void control_lease_expire(ControlCore *k, uint64_t now_us);
void control_distribute(ControlCore *k, uint64_t now_us);
void control_announcement(ControlCore *k, uint64_t now_us,
                          const Sw__Announcement *a);
MemberTrack *control_member_track(ControlCore *k, const char *database,
                                  const char *member);

/* promotion.c */
void promotion_tick(ControlCore *k, uint64_t now_us);
void promotion_attend(ControlCore *k, const char *database);
void promotion_result(ControlCore *k, uint64_t now_us,
                      const Sw__MemberResult *r);
void promotion_track_free(void *track);

#endif
