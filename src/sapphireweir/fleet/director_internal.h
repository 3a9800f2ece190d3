#ifndef SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H
#define SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H

#include "fleet/director.h"
#include "fleet/document_transfer.h"
#include "fleet/evacuations.h"
#include "fleet/share_records.h"
#include "policy/slow_start.h"
#include "policy/suspect.h"

/* Types and functions that the director's source files share. */

/* The primary of a database, as committed in the replicated log. */
typedef struct {
    char *database;
    char *primary; /* server id */
    uint64_t epoch;
    uint64_t log_term;         /* term in which it leads, zero: not known */
    gboolean changing;         /* this primary is being replaced */
    gboolean planned;          /* with changing: it works */
    Position acknowledged;     /* no commit of earlier epochs beyond it was */
    uint64_t epoch_learned_us; /* when this instance learned of the epoch */
} PrimaryState;

/* What one entry instance last reported of a primary. */
typedef struct {
    uint64_t epoch;
    uint64_t recorded_us; /* when a report contained it */
    uint64_t received_us; /* when a report last contained or confirmed it */
    gboolean answered;    /* the primary answered recently */
    uint64_t answered_us; /* when it answered last, if answered is set */
    /* How long statements have failed, zero: they succeed, or there were
     * none. */
    uint64_t failing_us;
    /* The instance uses no primary of this or an earlier epoch any more. */
    uint64_t released_epoch;
    uint32_t open_work;    /* sessions that hold a connection to the primary */
    Position acknowledged; /* newest commit acknowledged to a caller */
    uint64_t mark;         /* its part of evidence_hash */
} EntryEvidence;

/* State of an entry instance, from its reports and the messages to it. */
typedef struct {
    char *id;
    char *failure_domain;
    uint64_t incarnation;
    /* Of the lists that it has: of entry instances, control instances and
     * primaries. */
    uint64_t entries_hash;
    uint64_t controls_hash;
    uint64_t primaries_hash;
    uint64_t evacuations_hash; /* of the evacuated domains that it knows */
    uint64_t last_seen_us;
    uint64_t sequence;          /* of its newest report */
    uint64_t granted_sequence;  /* of the newest grant that it received */
    uint64_t grant_reported_us; /* when it first reported that grant */
    uint64_t document_version;  /* version that the instance has */
    uint64_t incoming_version;  /* that it receives, zero: none */
    uint64_t incoming_seen_us;  /* when a report or receipt named that */
    uint64_t link_bytes_per_s;  /* zero: it takes no documents in chunks */
    DocumentTransfer transfer;  /* of a document to it */
    /* Since when it lacks a document, gets none and makes no progress; zero:
     * this is not so. */
    uint64_t stuck_since_us;
    gboolean outdated; /* it was logged that a document is late */
    /* Directory revision that was last sent, zero: the instance has none of
     * this run. */
    uint64_t sent_revision;
    uint64_t confirmed_revision; /* that its last report stated */
    /* Since when it has confirmed nothing of what was sent, zero: it has all;
     * and how long that may last before it is sent again. */
    uint64_t unconfirmed_since_us;
    uint64_t resend_after_us;
    gboolean leaving;      /* it reported that it is stopping */
    uint64_t lease_end_us; /* latest end of any lease granted to it */
    /* Consensus round that must be confirmed before the next grant is sent,
     * zero: no grant is pending. */
    uint64_t pending_round;
    uint64_t pending_received_us; /* when the report to be granted arrived */
    GHashTable *evidence;         /* database -> EntryEvidence, owned */
    uint64_t evidence_hash;       /* see EntryReport, without the bit */
    gboolean evidence_wanted;     /* some of it was lost */
    /* team -> smoothed demand in thousandths of an operation per second, as
     * uint64_t; owned. */
    GHashTable *demand;
    GHashTable *shares;      /* team -> ShareHold of this leader, owned */
    uint64_t shares_sent_us; /* when all shares were last sent */
    /* Of the report that was answered with them; zero: its receipt would not
     * show that the instance has them. */
    uint64_t shares_sequence;
    /* Operations that it admitted without this leader's tokens: team -> GArray
     * of UsedTokens; owned. */
    GHashTable *usage;
    uint64_t usage_term;    /* of the leader that they were reported to */
    uint64_t usage_version; /* of that report */
    GHashTable *lent;       /* team -> LentShare, owned */
    uint64_t lent_version;  /* of the report that they are from */
    uint64_t hash;          /* of its id, as other instances name it */
    gboolean reserved;      /* its shares are, by the last search */
} EntryState;

/* A share that an entry instance gave to others while it had no leader. */
typedef struct {
    uint32_t share_micro;
    uint64_t until_us; /* operations of others may count until then */
    GArray *takers;    /* uint64_t: hashes of their ids; empty: not known */
} LentShare;

/* Operations that an entry instance admitted at about the same time. */
typedef struct {
    uint64_t used_us;
    uint32_t count;
} UsedTokens;

/* A request of an entry instance for the next report of a server's run. */
typedef struct {
    char *entry;
    uint64_t request_id;
    SlowStartKnown asked;
    uint64_t received_us;
} ServerQuery;

/* Counters of the rate limits at this instance. */
typedef struct {
    uint64_t granted;
    uint64_t delayed;  /* of these, in replies with a token valid later */
    uint64_t returned; /* unused and credited */
    uint64_t refused;
    uint64_t usage_reports;
    uint64_t lent_reports;  /* of shares that others may still use */
    uint64_t bound_changes; /* proposed, of the bounds of shares */
} RateCounters;

/* The lists of grants, until what they are made of changes.  The records
 * borrow the director's strings. */
typedef struct {
    gboolean primaries_valid;
    uint64_t primaries_hash;
    GPtrArray *primaries;            /* Sw__PrimaryGrant, owned */
    uint64_t entries_valid_until_us; /* zero: not valid */
    uint64_t entries_hash;
    GPtrArray *entries; /* Sw__EntryRecord of the active instances, owned */
} GrantLists;

/* Counters of what this instance sent the others of backend servers. */
typedef struct {
    uint64_t records;   /* whole ones */
    uint64_t confirmed; /* reports that changed nothing, without a record */
    uint64_t resends;   /* updates that an entry instance did not confirm */
} ServerCounters;

typedef enum {
    kChangeProbing,   /* requests the servers' status, revokes nothing yet */
    kChangeQuiescing, /* planned only: no new work starts, open work ends */
    kChangeClosing,   /* access to the old primary is revoked or expires */
    kChangePromoting, /* until the target leads and this is committed */
} ChangePhase;

/* The last status of a server that may become primary. */
typedef struct {
    gboolean valid; /* the status counts in the choice */
    Position log;
    uint64_t requested_us; /* when that status was requested */
} Candidate;

/* When a document version was applied. */
typedef struct {
    uint64_t version;
    uint64_t applied_us;
} AppliedDocument;

/* A document version that entry instances may still have. */
typedef struct {
    uint64_t version;
    GBytes *text;
    /* Delta to the current version, NULL: not computed yet. */
    EncodedUpdate *delta;
} PastDocument;

/* A change of primary that the leader carries out. */
typedef struct {
    char *database;
    uint64_t epoch; /* of the old primary */
    ChangePhase phase;
    gboolean planned; /* the old primary is draining, not failing */
    /* Planned, since its failure domain is evacuated: while the old primary
     * works, it is replaced only by a replica that has all its commits. */
    gboolean evacuating;
    Position probe_log;         /* the old primary's first reported log */
    gboolean changing_proposed; /* changing was proposed to the log */
    uint64_t target_term;       /* term in which the target leads */
    /* When the new primary was proposed to the log, zero: not yet. */
    uint64_t completion_proposed_us;
    /* The last promotion request got no reply, or an error other than 409. */
    gboolean promotion_unconfirmed;
    uint64_t phase_started_us;
    uint64_t started_us;
    uint64_t status_requested_us; /* last status request to servers */
    /* Since when no entry instance has access, zero: some may have it. */
    uint64_t access_ended_us;
    /* It was logged that no replica may be promoted until more of them
     * reply. */
    gboolean waiting_for_replica;
    uint64_t primary_responded_us; /* old primary's last reply, zero: none */
    /* Last promotion request or error reply to one, zero: none. */
    uint64_t promotion_requested_us;
    char *target; /* id of the server to be promoted, or NULL */
    /* No commit beyond it was acknowledged before the target leads. */
    Position acknowledged;
    /* Last status of the old primary; valid only if the server still reports
     * itself as primary. */
    Candidate old_primary;
    char *refused_server;   /* server whose promotion failed last, or NULL */
    GHashTable *candidates; /* server -> Candidate, owned */
} PrimaryChange;

typedef enum {
    kRequestPut,
    kRequestGet,
    kRequestOrder, /* to evacuate or restore a failure domain */
} RequestKind;

/* A pending operator's request, received by this instance or forwarded to
 * this leader by another control instance. */
typedef struct {
    RequestKind kind;
    void *handle;       /* of the driver, NULL: forwarded, or cancelled */
    char *origin;       /* control instance that forwarded it, or NULL */
    uint64_t origin_id; /* request id at the origin */
    uint64_t version;   /* put: version of the new document */
    GBytes *text;       /* put: its text; get: NULL */
    uint64_t deadline_us;
    uint64_t index;      /* put: log index of the proposal, zero: none */
    uint64_t term;       /* put: term of the proposal */
    uint64_t round;      /* get: consensus round to confirm, zero: none */
    uint64_t forward_id; /* request id at the leader, zero: not forwarded */
    char *forwarded_to;  /* leader at that time, or NULL */
    /* Order: the failure domain, the wanted state, and the domain's revision
     * at the receipt of the order. */
    char *domain;
    gboolean evacuated;
    gboolean base_known;
    uint64_t base_revision;
    uint64_t held_until_us; /* it is not passed on earlier */
    /* Order: ticket of the leader, in a term; term zero: none. */
    uint64_t ticket;
    uint64_t ticket_term;
} OperatorRequest;

/* The orders for a failure domain at this leader. */
typedef struct {
    uint64_t ticket; /* rises with each acknowledged order */
    /* The last proposal. */
    uint64_t index;
    uint64_t term;
    uint64_t base_revision;
    gboolean evacuated;
} DomainOrders;

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
    /* Ids of servers whose last report changed nothing and is not sent to the
     * other control instances yet; owned. */
    GPtrArray *collected;
    uint64_t collect_until_us;
    ServerCounters server_counters;
    uint64_t evidence_requests; /* reports after which all was asked for */
    /* When changed servers are sent to the entry instances, zero: none are to
     * be. */
    uint64_t directory_push_us;
    /* Changes that ended no use and were sent at once since push_second_us. */
    uint32_t pushes_at_once;
    uint64_t push_second_us;
    uint64_t run_id; /* random; directory revisions restart with each run */

    uint64_t document_version;
    GBytes *document; /* text of the current version, or NULL */
    /* The document in parsed form, of the current version or an earlier one;
     * NULL: not needed yet, or it cannot be decoded.  See
     * documents_decoded. */
    Document *decoded_document;
    uint64_t decoded_version;      /* of the document that was decoded last */
    uint64_t next_decode_us;       /* until then an earlier version suffices */
    GPtrArray *recent_documents;   /* PastDocument, owned, oldest first */
    GArray *applied_documents;     /* AppliedDocument, oldest first */
    EncodedUpdate *whole_document; /* the document, NULL: not encoded yet */
    uint64_t last_transfer;        /* id of the last document transfer */
    GHashTable *rate_windows;      /* team -> RateWindow, owned, leader only */
    GHashTable *primaries;         /* database -> PrimaryState, owned */
    Evacuations evacuations;
    GHashTable *orders;          /* domain -> DomainOrders, owned */
    uint64_t evacuation_changes; /* effective orders applied */
    uint64_t forwards_refused;   /* forwarded requests of an unknown verb */
    uint64_t replayed_index;     /* last log index at the start */
    uint64_t replayed_term;      /* term at the start */

    /* Server id -> (entry instance -> ServerQuery), owned. */
    GHashTable *queries;
    uint64_t next_query_expiry_us;
    uint64_t queries_received;
    uint64_t queries_answered;

    GHashTable *entries;         /* id -> EntryState, owned */
    GHashTable *changes;         /* database -> PrimaryChange, owned */
    GHashTable *suspect_watches; /* database -> SuspectWatch, owned */
    GrantLists grant_lists;
    uint64_t next_adoption_us; /* of first primaries */
    gboolean primaries_push;   /* they are sent at the end of this event */
    GHashTable *peers;         /* addresses of control instances, owned */
    /* team -> (entry id -> share in millionths), owned */
    GHashTable *shares;
    GQueue requests; /* OperatorRequest, owned */
    uint64_t last_forward_id;
    uint64_t grant_revision; /* of the newest grant that was sent */
    /* This leader has notified entry instances; it has applied what former
     * leaders committed. */
    gboolean announced;
    uint64_t led_since_us; /* zero: this instance does not lead */
    /* When acknowledgements of commits may last have been missed: an entry
     * instance failed before it had reported them, or this instance started
     * or stopped leading. */
    uint64_t evidence_lost_us;
    uint64_t leader_seen_us; /* when the group last had a known leader */
    uint64_t next_join_us;
    uint64_t next_removal_us;
    uint64_t next_server_log_us;
    uint64_t next_expiry_us;  /* of servers that are gone */
    uint64_t logged_revision; /* directory revision proposed to the log */
    uint64_t next_shares_us;
    GPtrArray *reservations;     /* EntryState, see refresh_reservations */
    GHashTable *entries_by_hash; /* the same time: hash -> EntryState */
    uint64_t next_reservations_us;
    uint32_t reported_entries; /* entry instances of the former leader */
    ShareBounds share_bounds;  /* as committed in the replicated log */
    uint64_t bounds_index;     /* of their last proposal, zero: none */
    uint32_t bounds_first;     /* instance at which the next one begins */
    /* Hashes of entry instances with bounds that have not reported to this
     * instance, as uint64_t; see refresh_reservations. */
    GArray *unknown_entries;
    /* Hashes of entry instances whose bounds were set in a later term than
     * that at the start of this process, as uint64_t, owned; and whether one
     * had a grant when it first reported to this process. */
    GHashTable *recent_bounds;
    gboolean former_grant_seen;
    gboolean rates_known; /* kEventRatesKnown was logged in this term */
    RateCounters rate_counters;
    gboolean stopping;
    gboolean no_room;              /* as last logged; see consensus_no_room */
    uint64_t changes_without_room; /* refused for that reason */
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
GPtrArray *servers_since(const Director *d, uint64_t now_us,
                         uint64_t revision);
void servers_tick(Director *d, uint64_t now_us);
void servers_exchange_tick(Director *d, uint64_t now_us);
void servers_expire(Director *d, uint64_t now_us);
void servers_handle_update(Director *d, uint64_t now_us,
                           const Sw__DirectoryUpdate *m);

/* director_queries.c */
void queries_init(Director *d);
void queries_handle(Director *d, uint64_t now_us, const char *from,
                    uint64_t request_id, const Sw__ServerQuery *m);
void queries_reported(Director *d, uint64_t now_us, const char *server);
void queries_tick(Director *d, uint64_t now_us);

/* director_documents.c */
void documents_add_applied(Director *d, uint64_t now_us);
void documents_clear(Director *d);
const Document *documents_current(Director *d);
const Document *documents_decoded(Director *d, uint64_t now_us);
void documents_send(Director *d, uint64_t now_us, EntryState *entry);
void documents_tick(Director *d, uint64_t now_us, EntryState *entry);
void documents_handle_report(Director *d, uint64_t now_us, EntryState *entry,
                             const Sw__EntryReport *m);
void documents_handle_receipt(Director *d, uint64_t now_us, const char *from,
                              const Sw__DocumentReceipt *m);
uint64_t documents_lag_us(const Director *d, uint64_t now_us,
                          const EntryState *entry);
uint32_t documents_outdated_count(const Director *d, uint64_t now_us,
                                  uint64_t *longest_lag_us);

/* director_requests.c */
void requests_tick(Director *d, uint64_t now_us);
void requests_handle_frame(Director *d, uint64_t now_us, const char *from,
                           const Sw__Frame *frame);
void requests_handle_applied(Director *d, uint64_t index, uint64_t term);
gboolean requests_pending(const Director *d);
void operator_request_free(void *request);
OperatorRequest *operator_request_add(Director *d, uint64_t now_us,
                                      RequestKind kind);
void operator_request_reply(Director *d, OperatorRequest *r, uint32_t status,
                            const void *text, size_t bytes);

/* director_evacuations.c */
void director_apply_evacuation(Director *d, uint64_t now_us, uint64_t index,
                               const Sw__EvacuationOrder *order);
GPtrArray *director_grant_evacuations(const Director *d, uint64_t now_us,
                                      uint64_t known_hash, Sw__EntryGrant *m);
void director_send_evacuations(Director *d, uint64_t now_us,
                               EntryState *entry);
void director_evacuations_report(Director *d, uint64_t now_us,
                                 EntryState *entry);
void director_order_advance(Director *d, uint64_t now_us, OperatorRequest *r);
void director_order_applied(Director *d, OperatorRequest *r, uint64_t term);
void director_order_reply_received(Director *d, uint64_t now_us,
                                   OperatorRequest *r,
                                   const Sw__AdminReply *m);
gboolean director_order_handle(Director *d, uint64_t now_us, const char *from,
                               uint64_t id, const Sw__AdminRequest *m);
gboolean director_server_evacuated(const Director *d,
                                   const DirectoryServer *s);

/* director_entries.c */
void entry_state_free(void *state);
void entries_handle_report(Director *d, uint64_t now_us, const char *from,
                           const Sw__EntryReport *m);
void entries_grant_confirmed(Director *d, uint64_t now_us);
void entries_renew_leases(Director *d, uint64_t now_us);
void entries_push_primaries(Director *d);
void entries_event_end(Director *d, uint64_t now_us);
void entries_push_document(Director *d, uint64_t now_us);
void entries_push_evacuations(Director *d, uint64_t now_us);
void entries_directory_changed(Director *d, uint64_t now_us,
                               uint64_t old_revision);
void entries_tick(Director *d, uint64_t now_us);

/* director_rates.c */
void rates_handle_request(Director *d, uint64_t now_us, const char *from,
                          uint64_t request_id, const Sw__TokenRequest *m);
void rates_handle_usage(Director *d, uint64_t now_us, EntryState *entry,
                        const Sw__EntryReport *m);
void lent_share_free(void *lent);
void rates_handle_lent(Director *d, uint64_t now_us, EntryState *entry,
                       const Sw__EntryReport *m);
void rates_apply_bounds(Director *d, uint64_t term,
                        Sw__ShareBoundsRecord *const *records, size_t count);
void rates_leadership_changed(Director *d);
void rates_entry_restarted(EntryState *entry);
void rates_handle_receipt(EntryState *entry);
void rates_tick(Director *d, uint64_t now_us);
void rates_append_shares(const Director *d, uint64_t now_us, EntryState *entry,
                         uint64_t sequence, GPtrArray *list);
gboolean entry_is_active(const EntryState *entry, uint64_t now_us);

/* director_members.c */
void members_reply(Director *d, const EntryState *entry);
void members_send(Director *d, const char *to);
void members_tick(Director *d, uint64_t now_us);
void members_handle_join(Director *d, uint64_t now_us, const char *from,
                         const Sw__JoinRequest *m);

/* handover_choice.c */
uint32_t handover_sync_replicas(Director *d, const char *database);
gboolean handover_is_replica(const PrimaryChange *change,
                             const DirectoryServer *s, const PrimaryState *p);
gboolean handover_has_replica_outside(const Director *d,
                                      const PrimaryState *p);
gboolean handover_replica_is_near(const Director *d,
                                  const PrimaryChange *change);
const char *handover_next_primary(Director *d, uint64_t now_us,
                                  const PrimaryChange *change,
                                  Position *acknowledged);

/* handover.c */
void primary_change_free(void *data);
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
