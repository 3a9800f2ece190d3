#ifndef SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H
#define SAPPHIREWEIR_FLEET_DIRECTOR_INTERNAL_H

#include "fleet/director.h"

/* Internal to the director: shared by its source files. */

/* Who leads a database, by the replicated log. */
typedef struct {
    char *database;
    char *primary;
    uint64_t epoch;
    uint64_t log_term; /* that it was seen to lead, zero: not known */
    gboolean changing;
    uint64_t settled_us; /* when this instance learned of it */
} PrimaryState;

/* What the leader heard of a primary from one entry instance. */
typedef struct {
    uint64_t epoch;
    uint64_t heard_us;
    gboolean answered;
    uint64_t failing_us;
    uint64_t released_epoch;
    uint32_t open_work;
    Position acknowledged;
} EntryEvidence;

typedef struct {
    char *id;
    char *failure_domain;
    uint64_t incarnation;
    uint64_t entries_hash; /* of the list that it works with */
    uint64_t heard_us;
    uint64_t sequence;
    uint64_t granted_sequence; /* newest grant that it has */
    uint64_t granted_us;       /* when it said so */
    uint64_t document_version;
    uint64_t document_sent_us;
    uint64_t document_sent;   /* version that was sent last */
    uint64_t behind_since_us; /* zero: it has the present document */
    uint64_t told_revision;   /* of this run's directory */
    gboolean leaving;
    uint64_t lease_end_us;  /* upper bound of every lease granted to it */
    uint64_t pending_round; /* zero: no report waits for its grant */
    uint64_t pending_us;    /* when that report came */
    GHashTable *evidence;   /* database -> EntryEvidence, owned */
    GHashTable *demand;     /* team -> uint64_t milli a second, owned */
    GHashTable *shares;     /* team -> share that it was granted last */
} EntryTrack;

typedef enum {
    kChangeProbing,   /* asks the replicas before anything is closed */
    kChangeQuiescing, /* planned: no new work, open work may end */
    kChangeClosing,   /* rights are withdrawn or run out */
    kChangePromoting,
} ChangePhase;

typedef struct {
    gboolean answered;
    Position log;
    uint64_t requested_us;
} Candidate;

/* A version that instances may still have. */
typedef struct {
    uint64_t version;
    GBytes *text;
    /* What differs from it in the present version, NULL: not worked out. */
    Sw__DocumentUpdate *delta;
} PastDocument;

/* A change of primary that the leader carries out. */
typedef struct {
    char *database;
    uint64_t epoch; /* that ends */
    ChangePhase phase;
    gboolean planned;
    gboolean intent_proposed;
    uint64_t target_term; /* that the target was seen to lead */
    uint64_t settling_us; /* its end was proposed, zero: not yet */
    gboolean unanswered;  /* the last promotion */
    uint64_t since_us;    /* of the phase */
    uint64_t started_us;
    uint64_t requested_us;
    uint64_t ended_us; /* when all rights had ended, zero: not yet */
    gboolean waits;    /* for a replica that may hold what others lack */
    uint64_t primary_alive_us; /* the old one answered, zero: not yet */
    uint64_t promote_us;       /* last promotion asked for, zero: none */
    char *target;
    Candidate before;       /* the old primary, in a planned change */
    char *refused;          /* a server that could not be promoted */
    GHashTable *candidates; /* server -> Candidate, owned */
} PrimaryChange;

typedef enum {
    kRequestPut,
    kRequestGet,
} RequestKind;

/* An operator's request under way at this instance, or one that another
 * instance passed on to this leader. */
typedef struct {
    RequestKind kind;
    void *request; /* of the driver, NULL: passed on by origin */
    char *origin;
    uint64_t origin_id;
    uint64_t version;
    GBytes *text;
    uint64_t due_us;
    uint64_t index; /* of the proposal that must commit */
    uint64_t term;
    uint64_t round;   /* read: round to be confirmed */
    uint64_t sent_id; /* passed on to a leader under this id */
    char *sent_to;
} OperatorRequest;

/* Parts of a change of primary. */
typedef enum {
    kGapSuspicion, /* from the first failure to the change's beginning */
    kGapProbing,   /* until rights are withdrawn */
    kGapClosing,   /* until none is left */
    kGapChoosing,  /* until a replica may be promoted */
    kGapPromotion, /* until it leads */
    kGapParts,
} GapPart;

struct Director {
    char *id;
    char *failure_domain;
    DirectorConfig config;
    DirectorPort port;
    Consensus *consensus;
    Directory directory;
    uint64_t run;

    uint64_t document_version;
    GBytes *document;
    Document *decoded;     /* the same, NULL: none */
    GPtrArray *recent;     /* PastDocument, owned, oldest first */
    GHashTable *windows;   /* team -> RateWindow, owned, leader only */
    GHashTable *primaries; /* database -> PrimaryState, owned */

    GHashTable *entries; /* id -> EntryTrack, owned */
    GHashTable *changes; /* database -> PrimaryChange, owned */
    GHashTable *peers;   /* addresses of control instances, owned */
    GHashTable *shares;  /* team -> GHashTable of entry -> share */
    GQueue requests;     /* OperatorRequest, owned */
    uint64_t next_request;
    uint64_t grant_revision;
    gboolean announced;    /* as a leader whose state is whole */
    uint64_t led_since_us; /* zero: does not lead */
    /* When an entry instance was lost whose acknowledgements since its last
     * report nobody knows. */
    uint64_t forgot_us;
    uint64_t leader_heard_us;
    uint64_t join_due_us;
    uint64_t trim_due_us;
    uint64_t servers_due_us;
    uint64_t servers_logged; /* directory revision that the log holds */
    uint64_t shares_due_us;
    gboolean stopping;
    Histogram gaps[kGapParts]; /* of unplanned changes */
    Histogram planned;         /* planned changes as a whole */
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
void servers_frame(Director *d, uint64_t now_us, const Sw__DirectoryUpdate *m);

/* director_documents.c */
void documents_applied(Director *d);
void documents_clear(Director *d);
void documents_send(Director *d, uint64_t now_us, EntryTrack *t);
void documents_report(Director *d, uint64_t now_us, EntryTrack *t);

/* director_requests.c */
void requests_tick(Director *d, uint64_t now_us);
void requests_frame(Director *d, uint64_t now_us, const char *from,
                    const Sw__Frame *frame);
void requests_applied(Director *d, uint64_t index, uint64_t term);
void operator_request_free(void *request);

/* director_entries.c */
void entry_track_free(void *track);
void entries_report(Director *d, uint64_t now_us, const char *from,
                    const Sw__EntryReport *m);
void entries_confirm(Director *d, uint64_t now_us);
void entries_renew(Director *d, uint64_t now_us);
void entries_push(Director *d, uint64_t now_us);
void entries_push_document(Director *d, uint64_t now_us);
void entries_push_directory(Director *d, uint64_t now_us);
void entries_tick(Director *d, uint64_t now_us);
uint32_t entries_count(const Director *d, uint64_t now_us);

/* director_rates.c */
void rates_request(Director *d, uint64_t now_us, const char *from,
                   uint64_t request, const Sw__TokenRequest *m);
void rates_tick(Director *d, uint64_t now_us);
void rates_fill_shares(const Director *d, EntryTrack *t, GPtrArray *list);
gboolean entry_present(const EntryTrack *t, uint64_t now_us);

/* director_members.c */
void members_tell(Director *d, const char *to);
void members_tick(Director *d, uint64_t now_us);
void members_join(Director *d, uint64_t now_us, const char *from,
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
void handover_status(Director *d, uint64_t now_us, const char *server,
                     const DirectorStatus *status);
void handover_promoted(Director *d, uint64_t now_us, const char *database,
                       const char *server, uint32_t status);
gboolean handover_closes(const Director *d, const char *database);
gboolean handover_quiesces(const Director *d, const char *database);
void handover_settled(Director *d, const char *database);

#endif
