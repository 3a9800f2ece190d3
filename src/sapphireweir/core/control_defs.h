#ifndef SAPPHIREWEIR_CORE_CONTROL_DEFS_H
#define SAPPHIREWEIR_CORE_CONTROL_DEFS_H

#include "core/consensus.h"
#include "core/control_core.h"
#include "core/ownership.h"
#include "core/state.h"

/* Private to the control core: shared by control_core.c, control_admin.c,
 * control_lease.c and promotion.c. */

enum {
    kMicrosPerMillisecond = 1000,
    /* Time from the expiry of a lease to the removal of its instance. */
    kLeaseExpiryMarginUs = 500000,
    kPendingRequestTimeoutUs = 3000000,
    kSubscriberTimeoutUs = 5000000, /* after its last lease request */
    kResendIntervalUs = 500000,     /* of updates and of proposals */
    kDistributeIntervalUs = 10000,  /* changes in this time share an update */
    kDistributeIdleIntervalUs = 50000, /* while the state is unchanged */
    kUpdateChangesMax = 2000,          /* with more, the full state is sent */
    kExpiryScanIntervalUs = 250000,
    kClientsReportIntervalUs = 1000000, /* to the leader */
    kClientsReportMaxAgeUs = 5000000,   /* older ones are not shown */
    kGroupScanIntervalUs = 250000,      /* time to check every group once */
};

/* Data of the leader about an entry instance; not replicated. */
typedef struct {
    char *id;
    uint64_t incarnation;
    uint64_t last_seen_us;
    uint64_t applied_index;     /* log index of its copy of the state */
    uint64_t proposed_us;       /* last proposal of its resource; zero: none */
    Sw__ClientPressure clients; /* as it reported last */
} InstanceTracker;

/* Data of the leader about the clients of another control instance; not
 * replicated. */
typedef struct {
    uint64_t last_seen_us;
    Sw__ClientPressure clients;
} ControlTracker;

/* Data of the leader about a member of a database group; not replicated. */
typedef struct {
    uint64_t last_seen_us; /* last health report */
    gboolean reachable;
    gboolean stream_alive;
    gboolean in_recovery;
    uint64_t timeline;
    uint64_t position;
    uint64_t failing_since_us; /* zero: healthy */
    gboolean was_healthy;      /* at some time since the last promotion */
    /* Lower bound of failing_since_us: the time of the last promotion. */
    uint64_t faults_counted_from_us;
    uint64_t last_announced_us;      /* zero: never */
    uint64_t next_follow_command_us; /* earliest time of the next one */
} MemberTracker;

/* An entry instance that receives state updates from this control
 * instance. */
typedef struct {
    uint64_t sent_index;    /* state index of the last update sent */
    uint64_t applied_index; /* as it last reported */
    /* When it last reported progress, or when the first update after that was
     * sent. */
    uint64_t progress_us;
    uint64_t last_seen_us; /* last lease request */
} Subscriber;

/* A request whose reply waits until a consensus round has confirmed that
 * this instance still leads. */
typedef struct {
    uint64_t round; /* number of that round */
    uint64_t deadline_us;
    char *to; /* instance that receives the reply */
    uint64_t request_id;
    Sw__LeaseRequest *lease; /* NULL in an admin request */
    Sw__AdminRequest *admin; /* NULL in a lease request */
} PendingRead;

/* An operator's change that waits until it is committed and applied. */
typedef struct {
    uint64_t index; /* log index of the change */
    uint64_t term;  /* term of its log entry */
    uint64_t deadline_us;
    char *to; /* instance that receives the reply */
    uint64_t request_id;
} PendingChange;

/* A request that was forwarded to the leader and has no reply yet. */
typedef struct {
    char *origin;        /* instance that receives the reply */
    uint64_t request_id; /* as numbered by the origin */
    uint64_t deadline_us;
} Forward;

/* Data of the leader about the running or last promotion of a database; not
 * replicated. */
typedef struct {
    uint64_t number;    /* of the promotion */
    GHashTable *fenced; /* member -> FencedPosition, owned */
    uint64_t next_resend_us;
    uint64_t resends;            /* of commands, the first send included */
    uint64_t proposed_us;        /* last proposal of a phase; zero: none */
    uint64_t candidate_since_us; /* start of the phase "promoting" */
} PromotionTracker;

/* The last log position that a fenced member received. */
typedef struct {
    uint64_t timeline;
    uint64_t position;
} FencedPosition;

struct ControlCore {
    char *id;
    char *failure_domain;
    ControlConfig config;
    ControlPort port;
    Consensus *consensus;
    State *state;
    Metrics metrics;
    InstanceView view; /* entry instances in the replicated state */

    GHashTable *instances;   /* id -> InstanceTracker */
    GHashTable *controls;    /* id -> ControlTracker */
    GHashTable *members;     /* "db/member" -> MemberTracker */
    GHashTable *subscribers; /* id -> Subscriber */
    GHashTable *promotions;  /* database -> PromotionTracker */
    /* Evacuated failure domain -> when this instance learned of it in
     * microseconds (uint64_t), owned. */
    GHashTable *evacuated;
    GQueue pending_reads;   /* PendingRead, owned */
    GQueue pending_changes; /* PendingChange, owned, by rising index */
    GHashTable *forwards;   /* id of the forwarded request -> Forward */
    uint64_t last_forward_id;
    uint64_t leader_since_us; /* zero: does not lead */
    gboolean no_room;         /* as last logged; see consensus_no_room */
    gboolean stopping;
    uint64_t next_expiry_scan_us;
    Sw__ClientPressure clients; /* of the own HTTP port */
    uint64_t clients_report_at_us;
    uint64_t last_distributed_us;
    uint64_t distributed_index;   /* state index at that time */
    GHashTable *urgent_databases; /* names to check in every tick */
    GPtrArray *databases; /* names of all; NULL: must be listed again */
    uint32_t scan_index;  /* index in databases of the last one scanned */
    uint64_t last_scan_us;
};

/* control_core.c */
void control_reply_admin(ControlCore *k, const char *to, uint64_t request_id,
                         uint32_t status, json_t *body);
uint64_t control_propose(ControlCore *k, uint64_t now_us, json_t *command);
gboolean control_propose_change(ControlCore *k, uint64_t now_us,
                                const char *actor, const char *key,
                                json_t *spec, gboolean audited);
gboolean control_forward(ControlCore *k, uint64_t now_us, const char *from,
                         const Sw__Frame *frame);
void control_queue_read(ControlCore *k, uint64_t now_us, const char *to,
                        uint64_t request_id, const Sw__LeaseRequest *lease,
                        const Sw__AdminRequest *admin);

/* control_admin.c */
void control_handle_admin_request(ControlCore *k, uint64_t now_us,
                                  const char *from, uint64_t request_id,
                                  const Sw__AdminRequest *r);
void control_reply_admin_read(ControlCore *k, uint64_t now_us, const char *to,
                              uint64_t request_id, const Sw__AdminRequest *r);
void control_reply_admin_change(ControlCore *k, uint64_t index, uint64_t term,
                                const StateOutcome *outcome);
void control_expire_admin_changes(ControlCore *k, uint64_t now_us);

/* control_lease.c */
void control_handle_lease_request(ControlCore *k, uint64_t now_us,
                                  const char *from, uint64_t request_id,
                                  const Sw__LeaseRequest *r);
void control_reply_lease(ControlCore *k, uint64_t now_us, const char *to,
                         uint64_t request_id, const Sw__LeaseRequest *r);
void control_expire_leases(ControlCore *k, uint64_t now_us);
void control_distribute(ControlCore *k, uint64_t now_us);
void control_handle_announcement(ControlCore *k, uint64_t now_us,
                                 const Sw__Announcement *a);
MemberTracker *control_member_tracker(ControlCore *k, const char *database,
                                      const char *member);

/* promotion.c */
void promotion_tick(ControlCore *k, uint64_t now_us);
void promotion_mark_urgent(ControlCore *k, const char *database);
void promotion_handle_result(ControlCore *k, uint64_t now_us,
                             const Sw__MemberResult *r);
void promotion_tracker_free(void *tracker);

#endif
