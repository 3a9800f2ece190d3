#ifndef SAPPHIREWEIR_STANDIN_MEMBER_H
#define SAPPHIREWEIR_STANDIN_MEMBER_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "store.h"

/* Faults that a stand-in shows on command. */
typedef struct {
    gboolean cut;     /* nothing gets through, old and new connections */
    gboolean frozen;  /* nothing is processed */
    gboolean leaving; /* announced */
    gboolean mute;    /* no announcements */
    uint64_t lag_us;  /* between receiving and replaying */
    gboolean crash_before_commit;
    gboolean crash_after_commit;
} Faults;

typedef struct {
    char *name;
    char *database;
    char *failure_domain;
    char *address; /* IP:PORT it announces */
    char *folder;
    char *primary;  /* IP:PORT to follow at first, NULL: is the primary */
    char *init_sql; /* file the first primary runs */
    char **entries; /* IP:PORT of entry instances to announce to */
    char *platform_key;
    uint32_t ordinal; /* place in the group: makes new timelines unique */
    uint32_t slots;
    uint32_t connections;
    uint64_t connect_us;
    uint64_t service_us;
    uint64_t announce_us;
} MemberSettings;

typedef struct Session Session;
typedef struct Follower Follower;

typedef struct {
    struct event_base *base;
    MemberSettings settings;
    Faults faults;
    Store *store;
    GPtrArray *sessions; /* Session: clients and followers */
    Session *writer;     /* holds the one writer's place */
    GQueue waiting;      /* Session that waits for a slot or the writer */
    uint32_t slots_used;
    Follower *follower; /* the stream this member follows, or NULL */
    gboolean reload_wanted;
    gboolean promote_wanted;
    struct event *timer;
    uint64_t statements;
} Member;

/* session.c */
gboolean sessions_listen(Member *m, const char *address, GError **error);
void sessions_close_all(Member *m);
void sessions_silence(Member *m);
void sessions_thaw(Member *m);
void sessions_ship(Member *m);
void sessions_heartbeat(Member *m);
char *sessions_replicas(Member *m);

/* follower.c */
void follower_start(Member *m);
void follower_stop(Member *m);
gboolean follower_receiving(const Member *m);
const char *follower_heard(const Member *m);
void follower_tick(Member *m);

/* faults.c */
gboolean faults_listen(Member *m, const char *address, GError **error);

/* announce.c */
void announce_start(Member *m);

/* main.c */
void member_act(Member *m);

#endif
