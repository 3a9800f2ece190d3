#ifndef SAPPHIREWEIR_LOAD_EXPERIMENT_H
#define SAPPHIREWEIR_LOAD_EXPERIMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kMaxOperations = 12 };

/* One statement of a team's mix. */
typedef struct {
    char *statement;
    gboolean write;
    gboolean reads_own_write; /* must return the session's last write */
    double weight;            /* relative to the others of the mix */
} Operation;

/* The offered load of one team; times are in seconds from the start of the
 * measured part. */
typedef struct {
    char *name;
    double offered_per_s;
    uint32_t rate_per_s; /* the team's rate limit in the fleet */
    uint32_t burst;
    int32_t entry; /* index of the preferred entry instance; -1: random */
    double begin_s;
    double end_s;
    Operation operations[kMaxOperations];
    uint32_t operation_count;
} TeamLoad;

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
    GPtrArray *teams;  /* TeamLoad */
    GPtrArray *faults; /* Fault */
} Experiment;

gboolean experiment_load(const char *path, Experiment *x, GError **error);
void experiment_clear(Experiment *x);

#endif
