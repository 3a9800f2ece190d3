#ifndef SAPPHIREWEIR_LOAD_EXPERIMENT_H
#define SAPPHIREWEIR_LOAD_EXPERIMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kMaxMix = 12 };

/* One kind of request: a statement, and how its callers use it. */
typedef struct {
    char *name;
    char *statement;
    gboolean write;
    gboolean reads_own_write; /* must return the session's last write */
    int32_t worth; /* that the fleet must give the statement; -1: any */
    uint32_t objective_ms;     /* latency objective; zero: none */
    uint32_t timeout_ms;       /* sent with each request; zero: none sent */
    uint32_t give_up_percent;  /* of the requests: the caller gives up */
    uint32_t give_up_after_ms; /* below the time limit */
    uint32_t idle_percent;     /* of the requests: in a transaction that is
                                * left idle before its commit */
    uint32_t idle_ms;          /* for this long */
} Kind;

/* A kind in the mix of a team. */
typedef struct {
    uint32_t kind; /* index in the experiment's kinds */
    double weight; /* relative to the others of the mix */
} KindWeight;

/* The offered load of one team; times are in seconds from the start of the
 * measured part. */
typedef struct {
    char *name;
    double offered_per_s; /* outside of surges, averaged over the waves */
    uint32_t rate_per_s;  /* the team's rate limit in the fleet */
    uint32_t burst;
    int32_t entry; /* index of the preferred entry instance; -1: random */
    double begin_s;
    double end_s;
    KindWeight mix[kMaxMix];
    uint32_t mix_count;
} TeamLoad;

/* The load of the callers in a failure domain follows a sine. */
typedef struct {
    char *failure_domain;
    double amplitude; /* 0 to 1, relative to the average */
    double period_s;
    double phase; /* 0 to 1, in periods at the start of the measured part */
} Wave;

/* A team offers a multiple of its usual load for a time. */
typedef struct {
    char *team;
    double multiple;
    double begin_s;
    double end_s;
} Surge;

/* A fault that is injected at a given time of the run. */
typedef struct {
    double at_s;    /* since the start of the measured part */
    char *kind;     /* "signal" or "member" (a command to a stand-in) */
    char *target;   /* process name or member id; "primary": whichever member
                     * is the primary at that time */
    char *database; /* of the member */
    int32_t signal; /* number, for kind "signal" */
    char *body;     /* JSON for the command port, for kind "member" */
    gboolean done;  /* already injected */
} Fault;

/* A load experiment as read from its TOML file. */
typedef struct {
    char *name;
    char **services; /* names; each session uses one of them */
    double warmup_s; /* load before the measured part */
    double duration_s;
    uint32_t seed;     /* of the random numbers */
    GPtrArray *kinds;  /* Kind */
    GPtrArray *teams;  /* TeamLoad */
    GPtrArray *waves;  /* Wave */
    GPtrArray *surges; /* Surge */
    GPtrArray *faults; /* Fault */
} Experiment;

gboolean experiment_load(const char *path, Experiment *x, GError **error);
void experiment_clear(Experiment *x);

#endif
