#ifndef SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H
#define SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H

#include "fleet/director.h"

/* Internal to the director: shared by its source files. */

/* The primary of a database, as committed in the replicated log. */
typedef struct {
    char *database;
    char *primary; /* server id */
    uint64_t epoch;
    uint64_t log_term; /* term that the primary led, zero: not known */
    gboolean changing; /* a change of this primary has been committed */
    uint64_t epoch_learned_us; /* when this instance learned of the epoch */
} PrimaryState;

/* What one entry instance last reported of a primary. */
typedef struct {
    uint64_t epoch;
    uint64_t received_us;
    gboolean answered;       /* the primary answered recently */
    uint64_t failing_us;     /* how long it has not answered, zero: it does */
    uint64_t released_epoch; /* it uses no primary up to this epoch any more */
    uint32_t open_work;      /* sessions that hold a connection to it */
    Position acknowledged;   /* newest commit acknowledged to a caller */
} EntryEvidence;

/* What a control instance knows of an entry instance. */
typedef struct {
    char *id;
    char *failure_domain;
    uint64_t incarnation;
    uint64_t entries_hash; /* of the entry list that the instance has */
    uint64_t last_seen_us;
    uint64_t sequence;          /* of its newest report */
    uint64_t granted_sequence;  /* of the newest grant that it received */
    uint64_t grant_reported_us; /* when it first reported that grant */
    uint64_t document_version;  /* that it has */
    uint64_t document_sent_us;
    uint64_t last_sent_version; /* of the document */
    uint64_t behind_since_us;   /* zero: it has the current document */
    uint64_t sent_revision;     /* of the directory; zero: none in this run */
    gboolean leaving;
    uint64_t lease_end_us;  /* latest end of any lease granted to it */
    uint64_t pending_round; /* round that its next grant needs, zero: none */
    uint64_t pending_received_us; /* when the report to be granted arrived */
    GHashTable *evidence;         /* database -> EntryEvidence, owned */
    /* team -> smoothed demand in thousandths of an operation per second, as
     * uint64_t; owned. */
    GHashTable *demand;
    GHashTable *shares; /* team -> last granted share, in millionths */
} EntryState;

typedef enum {
    kChangeProbing,   /* requests the replicas' status, revokes nothing yet */
    kChangeQuiescing, /* planned only: no new work starts, open work ends */
    kChangeClosing,   /* access to the old primary is revoked or expires */
    kChangePromoting,
} ChangePhase;

/* The last status of a server that may become primary. */
typedef struct {
    gboolean answered;
    Position log;
    uint64_t requested_us; /* when that status was requested */
} Candidate;

/* A document version that entry instances may still have. */
typedef struct {
    uint64_t version;
    GBytes *text;
    /* Delta to the current version, NULL: not computed yet. */
    Sw__DocumentUpdate *delta;
} PastDocument;

/* A change of primary that the leader carries out. */
typedef struct {
    char *database;
    uint64_t epoch; /* of the old primary */
    ChangePhase phase;
    gboolean planned;         /* the old primary is draining */
    gboolean intent_proposed; /* to the log: the primary is changing */
    uint64_t target_term;     /* term that the target leads */
    /* When the new primary was proposed to the log, zero: not yet. */
    uint64_t completion_proposed_us;
    gboolean promotion_unanswered; /* the last promotion got no reply */
    uint64_t phase_started_us;
    uint64_t started_us;
    uint64_t status_requested_us; /* last status request to servers */
    /* Since when no entry instance has access, zero: some may have it. */
    uint64_t access_ended_us;
    gboolean waiting_for_replica;    /* that may have the newest commits */
    uint64_t primary_responded_us;   /* old primary's last reply, zero: none */
    uint64_t promotion_requested_us; /* last request, zero: none */
    char *target;                    /* server id */
    /* Last status of the old primary; answered is TRUE only if the server
     * still reports itself as primary. */
    Candidate old_primary;
    char *refused_server;   /* whose promotion failed last, or NULL */
    GHashTable *candidates; /* server -> Candidate, owned */
} PrimaryChange;

typedef enum {
    kRequestPut,
    kRequestGet,
} RequestKind;

/* A pending operator's request, received by this instance or forwarded to
 * this leader by another control instance. */
typedef struct {
    RequestKind kind;
    void *handle;       /* of the driver, NULL: forwarded, or cancelled */
    char *origin;       /* control instance that forwarded it, or NULL */
    uint64_t origin_id; /* request id at the origin */
    uint64_t version;
    GBytes *text;
    uint64_t deadline_us;
    uint64_t index;      /* put: log index of the proposal, zero: none */
    uint64_t term;       /* put: term of the proposal */
    uint64_t round;      /* get: consensus round to confirm, zero: none */
    uint64_t forward_id; /* request id at the leader, zero: not forwarded */
    char *forwarded_to;  /* leader, or NULL */
} OperatorRequest;

/* Consecutive stages of an unplanned change of primary. */
typedef enum {
    kStageSuspicion, /* from the first failure to the start of the change */
    kStageProbing,   /* until access to the old primary is revoked */
    kStageClosing,   /* until no entry instance has access */
    kStageChoosing,  /* until a replica may be promoted */
    kStagePromotion, /* until that replica leads */
    kFailoverStageCount,
} FailoverStage;

struct Director {
    char *id;
    char *failure_domain;
    DirectorConfig config;
    DirectorPort port;
    Consensus *consensus;
    Directory directory;
    uint64_t run_id; /* random; directory revisions are valid within a run */

    uint64_t document_version;
    GBytes *document;            /* text of the current version, or NULL */
    Document *decoded_document;  /* the document in parsed form, or NULL */
    GPtrArray *recent_documents; /* PastDocument, owned, oldest first */
    GHashTable *rate_windows;    /* team -> RateWindow, owned, leader only */
    GHashTable *primaries;       /* database -> PrimaryState, owned */

    GHashTable *entries; /* id -> EntryState, owned */
    GHashTable *changes; /* database -> PrimaryChange, owned */
    GHashTable *peers;   /* addresses of control instances, owned */
    /* team -> (entry id -> share in millionths), owned */
    GHashTable *shares;
    GQueue requests; /* OperatorRequest, owned */
    uint64_t last_forward_id;
    uint64_t grant_revision; /* of the newest grant that was sent */
    gboolean announced;      /* this leader has notified entry instances */
    uint64_t led_since_us;   /* zero: this instance does not lead */
    /* When acknowledgements may last have been missed: an entry instance was
     * lost with those that it had not reported yet, or this instance started
     * or stopped leading. */
    uint64_t evidence_lost_us;
    uint64_t leader_seen_us;
    uint64_t next_join_us;
    uint64_t next_removal_us;
    uint64_t next_server_log_us;
    uint64_t logged_revision; /* directory revision proposed to the log */
    uint64_t next_shares_us;
    gboolean stopping;
    Histogram stage_times[kFailoverStageCount]; /* of unplanned changes, us */
    Histogram planned_times;                    /* whole planned changes, us */
};

/* director.c */
gboolean director_propose(Director *d, uint64_t now_us,
                          const Sw__FleetCommand *command, uint64_t *index);
PrimaryState *director_primary(const Director *d, const char *database);
gboolean director_propose_primary(Director *d, uint64_t now_us,
                                  const PrimaryState *state);

/* director_servers.c */
void servers_apply(Director *d, Sw__ServerRecord *const *records,
                   size_t count);
GPtrArray *servers_since(const Director *d, uint64_t revision);
void servers_tick(Director *d, uint64_t now_us);
void servers_handle_update(Director *d, uint64_t now_us,
                           const Sw__DirectoryUpdate *m);

/* director_documents.c */
void documents_add_applied(Director *d);
void documents_clear(Director *d);
void documents_send(Director *d, uint64_t now_us, EntryState *t);
void documents_handle_report(Director *d, uint64_t now_us, EntryState *t);

/* director_requests.c */
void requests_tick(Director *d, uint64_t now_us);
void requests_handle_frame(Director *d, uint64_t now_us, const char *from,
                           const Sw__Frame *frame);
void requests_handle_applied(Director *d, uint64_t index, uint64_t term);
void operator_request_free(void *request);

/* director_entries.c */
void entry_state_free(void *state);
void entries_handle_report(Director *d, uint64_t now_us, const char *from,
                           const Sw__EntryReport *m);
void entries_grant_confirmed(Director *d, uint64_t now_us);
void entries_renew_leases(Director *d, uint64_t now_us);
void entries_push_primaries(Director *d, uint64_t now_us);
void entries_push_document(Director *d, uint64_t now_us);
void entries_push_directory(Director *d, uint64_t now_us);
void entries_tick(Director *d, uint64_t now_us);
uint32_t entries_count(const Director *d, uint64_t now_us);

/* director_rates.c */
void rates_handle_request(Director *d, uint64_t now_us, const char *from,
                          uint64_t request, const Sw__TokenRequest *m);
void rates_tick(Director *d, uint64_t now_us);
void rates_append_shares(const Director *d, EntryState *t, GPtrArray *list);
gboolean entry_is_active(const EntryState *t, uint64_t now_us);

/* director_members.c */
void members_send(Director *d, const char *to);
void members_tick(Director *d, uint64_t now_us);
void members_handle_join(Director *d, uint64_t now_us, const char *from,
                         const Sw__JoinRequest *m);

/* handover_choice.c */
uint32_t handover_sync_replicas(const Director *d, const char *database);
gboolean handover_is_replica(const PrimaryChange *h, const DirectoryServer *s,
                             const PrimaryState *p);
const char *handover_next_primary(const Director *d, uint64_t now_us,
                                  const PrimaryChange *h);

/* handover.c */
void primary_change_free(void *change);
void handover_tick(Director *d, uint64_t now_us);
void handover_handle_status(Director *d, uint64_t now_us, const char *server,
                            const DirectorStatus *status);
void handover_handle_promotion(Director *d, uint64_t now_us,
                               const char *database, const char *server,
                               uint32_t status);
gboolean handover_is_closing(const Director *d, const char *database);
gboolean handover_is_quiescing(const Director *d, const char *database);
void handover_finish(Director *d, const char *database);

#endif
