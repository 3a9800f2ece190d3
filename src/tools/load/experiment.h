#ifndef SAPPHIREWEIR_LOAD_EXPERIMENT_H
#define SAPPHIREWEIR_LOAD_EXPERIMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kOperationsMax = 12 };

/* One statement of a team's mix. */
typedef struct {
    char *statement;
    gboolean write;
    gboolean unstale; /* read that must show the session's last write */
    double share;
} Operation;

/* The offered load of one team. */
typedef struct {
    char *name;
    double offered_per_s;
    uint32_t rate_per_s; /* as the fleet's resources have it */
    uint32_t burst;
    int32_t entry; /* all requests through one instance; -1: all */
    double begin_s;
    double end_s;
    Operation operations[kOperationsMax];
    uint32_t operation_count;
} TeamLoad;

/* A fault at a time of the run. */
typedef struct {
    double at_s;
    char *kind;   /* "signal" or "member" */
    char *target; /* process, or member id; "primary" for the present one */
    char *database;
    int32_t signal;
    char *body; /* JSON for a member's command port */
    gboolean done;
} Fault;

typedef struct {
    char *name;
    char **services;
    double warmup_s;
    double duration_s;
    uint32_t seed;
    GPtrArray *teams;  /* TeamLoad */
    GPtrArray *faults; /* Fault */
} Experiment;

gboolean experiment_load(const char *path, Experiment *x, GError **error);
void experiment_clear(Experiment *x);

#endif
