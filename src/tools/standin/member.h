#ifndef SAPPHIREWEIR_STANDIN_MEMBER_H
#define SAPPHIREWEIR_STANDIN_MEMBER_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "store.h"

/* Faults that a stand-in simulates, set on its command port. */
typedef struct {
    gboolean partitioned;         /* no old or new connection is served */
    gboolean frozen;              /* no input is processed */
    gboolean leaving;             /* announced: will soon leave the group */
    gboolean no_announcements;    /* no announcement is sent */
    uint64_t lag_us;              /* from receipt to replay of a log entry */
    gboolean crash_before_commit; /* exit before the next writing commit */
    gboolean crash_after_commit;  /* exit after it, without a response */
} Faults;

/* Settings from the command line. */
typedef struct {
    char *name; /* member id */
    char *database;
    char *failure_domain;
    char *address;  /* IP:PORT to announce */
    char *folder;   /* holds the member's data */
    char *primary;  /* IP:PORT of the first primary, NULL: this member */
    char *init_sql; /* SQL file that an empty primary runs, or NULL */
    char **entries; /* IP:PORT of the entry instances to announce to */
    char *platform_key;
    uint32_t ordinal;     /* index in the group, makes its timelines unique */
    uint32_t slots;       /* transactions that may run at the same time */
    uint32_t connections; /* client connections that may be open */
    uint64_t connect_us;  /* simulated duration of a client's start-up */
    uint64_t service_us;  /* simulated duration of a statement */
    uint64_t announce_interval_us;
} MemberSettings;

typedef struct Session Session;
typedef struct Follower Follower;

/* The process: one member of a database group. */
typedef struct {
    struct event_base *base;
    MemberSettings settings;
    Faults faults;
    Store *store;
    GPtrArray *sessions; /* Session, of clients and followers */
    Session *writer;     /* holds the lock for writes; NULL: none does */
    GQueue waiting;      /* Session, waiting for a slot or to become writer */
    uint32_t slots_used;
    Follower *follower; /* stream from the primary, NULL before the first */
    gboolean reload_requested;  /* by a statement, applied after it */
    gboolean promote_requested; /* by a statement, applied after it */
    struct event *timer;
    uint64_t statements; /* executed so far */
} Member;

/* session.c */
gboolean sessions_listen(Member *m, const char *address, GError **error);
void sessions_close_all(Member *m);
void sessions_stop_responding(Member *m);
void sessions_resume(Member *m);
void sessions_ship(Member *m);
void sessions_heartbeat(Member *m);
char *sessions_replicas(Member *m);

/* follower.c */
void follower_start(Member *m);
void follower_stop(Member *m);
gboolean follower_receiving(const Member *m);
const char *follower_last_seen(const Member *m);
void follower_tick(Member *m);

/* faults.c */
gboolean faults_listen(Member *m, const char *address, GError **error);

/* announce.c */
void announce_start(Member *m);

/* main.c */
void member_apply_requests(Member *m);

#endif
