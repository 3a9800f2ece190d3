#ifndef SAPPHIREWEIR_POLICY_ADMISSION_H
#define SAPPHIREWEIR_POLICY_ADMISSION_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Decides in which order the work that waits for one backend server runs,
 * which of it is rejected, and which work may be sent at all. */

enum {
    kAdmissionLevels = 8,  /* level 0 is the most urgent */
    kAdmissionMiddle = 3,  /* level of a sender that states none */
    kAdmissionSteps = 64,  /* steps of the admission level in each level */
    kAdmissionMinimum = 6, /* steps of each level that are always admitted */
    kAdmissionAll = kAdmissionLevels * kAdmissionSteps,
    kAdmissionNone = -1,
};

/* How much of the work that arrives may be sent at all. */
typedef struct {
    uint32_t arrived[kAdmissionLevels]; /* in the current interval */
    uint32_t shed;                      /* of these */
    /* Smoothed, thousandths of a work unit in an interval: */
    uint64_t arrived_milli;
    uint64_t shed_milli;
    uint32_t admitted; /* steps below are admitted */
} AdmissionGate;

/* What a team has been served at one server. */
typedef struct {
    char *name;
    uint32_t waiting;
    uint64_t tag_us[kAdmissionLevels]; /* start time fair queueing */
    AdmissionGate gate;
    gboolean over_share; /* its gate applies instead of that of all teams */
    uint32_t scratch;
    uint32_t in_time;    /* waiting work that a new connection would serve */
    uint64_t in_time_us; /* its service time */
} AdmissionTeam;

/* Work that waits; the caller keeps it until admission_leave. */
typedef struct {
    uint32_t level;
    AdmissionTeam *team;
    uint64_t objective_us; /* when the answer should be there */
    uint64_t deadline_us;  /* until then it may wait */
    gboolean demoted;      /* the sender knows that it missed its objective */
} AdmissionWork;

/* How the work could be started now. */
typedef enum {
    kAdmissionBlocked,
    kAdmissionConnect, /* after opening a connection */
    kAdmissionMatched, /* a connection of its team is idle */
} AdmissionStart;

/* Tells how the work with the given index could be started. */
typedef AdmissionStart (*AdmissionCheck)(void *ctx, size_t index);

typedef struct {
    GHashTable *teams; /* name -> AdmissionTeam, owned */
    uint32_t parallel; /* statements that run at the same time */
    uint32_t waiting[kAdmissionLevels];
    uint64_t cost_us[kAdmissionLevels];    /* smoothed service time */
    uint64_t credit_us[kAdmissionLevels];  /* of the guaranteed minimum */
    uint64_t virtual_us[kAdmissionLevels]; /* see AdmissionTeam.tag_us */
    uint64_t connect_us;         /* of a slot, for the last connection */
    uint64_t opening_until_us;   /* work waits for added connections */
    uint64_t handshakes_paid_us; /* when their part covers those so far */
    /* Current interval: */
    uint64_t interval_us;                  /* its start */
    uint64_t started_us[kAdmissionLevels]; /* work started */
    uint64_t continued_us;                 /* work of open transactions */
    uint64_t handshakes_us;                /* time of new connections */
    uint32_t shed, finished;               /* numbers of work units */
    /* Last intervals: */
    uint32_t used_permille[kAdmissionLevels]; /* of the capacity, smoothed */
    uint32_t handshakes_permille;
    uint32_t demand_permille;   /* work that arrived, of the capacity */
    uint64_t drain_milli_per_s; /* work finished, smoothed */
    uint64_t shed_milli_per_s;  /* work rejected, smoothed */
    AdmissionGate gate; /* of all teams that are not over their share */
} Admission;

void admission_init(Admission *a, uint64_t now_us, uint64_t service_us);
void admission_clear(Admission *a);
uint32_t admission_level(uint32_t route_priority, uint32_t team_priority);
gboolean admission_admits(uint32_t admitted, uint32_t step);
void admission_enter(Admission *a, AdmissionWork *w, const char *team);
void admission_arrived(Admission *a, const AdmissionWork *w, const char *team);
void admission_continued(Admission *a, const AdmissionWork *w);
uint32_t admission_admitted(const Admission *a, const char *team);
void admission_leave(Admission *a, AdmissionWork *w);
int admission_pick(const Admission *a, uint64_t now_us,
                   AdmissionWork *const *works, size_t count,
                   AdmissionCheck check, void *ctx);
void admission_started(Admission *a, const AdmissionWork *w);
gboolean admission_keeps_late(const Admission *a, uint64_t now_us,
                              uint64_t wait_us, const AdmissionWork *w);
void admission_connecting(Admission *a, uint64_t now_us, uint64_t connect_us,
                          gboolean added);
gboolean admission_may_displace(const Admission *a, uint64_t waited_us,
                                uint32_t team_connections, uint32_t open);
void admission_connecting_ahead(Admission *a, uint64_t connect_us);
void admission_finished(Admission *a, const AdmissionWork *w,
                        uint64_t took_us);
void admission_shed(Admission *a, const char *team);
uint64_t admission_wait_us(const Admission *a, AdmissionWork *const *works,
                           size_t count, const AdmissionWork *w);
int admission_hopeless(const Admission *a, uint64_t now_us,
                       AdmissionWork *const *works, size_t count);
void admission_tick(Admission *a, uint64_t now_us);

#endif
