#ifndef SAPPHIREWEIR_LOAD_RUN_H
#define SAPPHIREWEIR_LOAD_RUN_H

#include <event2/event.h>

#include "core/metrics.h"
#include "experiment.h"
#include "sapphireweir/ctl/client.h"

typedef enum {
    kOutcomeDone,
    kOutcomeNotRun,  /* refused, certain not to have run */
    kOutcomeRate,    /* refused as above the rate */
    kOutcomeUnknown, /* said to be unknown, or no answer */
} Outcome;

/* One request as it went. */
typedef struct {
    uint32_t team;
    gboolean write;
    gboolean measured;
    uint64_t sent_us;
    uint64_t answered_us;
    Outcome outcome;
    char *mark; /* unique value of a write */
    const char *service;
} Record;

/* A caller's session; it moves between entry instances. */
typedef struct {
    char *token;
    char *last_mark; /* of its last acknowledged write */
    gboolean busy;
    const char *service; /* one of the experiment's */
} LoadSession;

typedef struct {
    const TeamLoad *load;
    char *key;
    uint64_t next_us;
    GPtrArray *sessions; /* LoadSession */
    Histogram latency;
    uint64_t offered;
    uint64_t done;
    uint64_t not_run;
    uint64_t rate_refused;
    uint64_t unknown;
    uint64_t reads;
    uint64_t broken_reads; /* did not show the session's own write */
    uint64_t foreign_rows; /* rows nobody asked for */
} TeamRun;

/* Answers by the second, for the plot. */
typedef struct {
    uint32_t writes_done;
    uint32_t reads_done;
    uint32_t refused;
} Second;

typedef struct {
    struct event_base *base;
    const Experiment *experiment;
    json_t *endpoints;
    Client client;
    GRand *rand;
    GPtrArray *entries; /* EntryLink */
    GPtrArray *teams;   /* TeamRun */
    GPtrArray *records; /* Record */
    Second *seconds;
    uint32_t second_count;
    uint64_t began_us; /* of the measured part */
    uint64_t end_us;
    uint32_t open;
    uint64_t health_due_us;
    uint64_t marks;
    uint64_t client_full; /* arrivals dropped for want of connections */
    char *run_id;
    GHashTable *reasons; /* problem type -> count, measured part */
    /* results of the checks */
    uint64_t writes_checked;
    uint64_t lost;
    uint64_t doubled;
    uint64_t false_not_run;
    int64_t rate_surplus;
    uint64_t fault_us; /* first fault, zero: none */
} Run;

gboolean run_start(Run *r, GError **error);
void run_loop(Run *r);
void run_speed_up(Run *r);
void run_clear(Run *r);

/* check.c */
void check_writes(Run *r);
void check_rates(Run *r);

/* report.c */
typedef struct {
    uint64_t replica_reads;
    uint64_t eligible_reads;
} RunCounters;

RunCounters report_counters(Run *r);
json_t *report_make(Run *r, const RunCounters *before,
                    const RunCounters *after);
void report_print(const json_t *report);
gboolean report_plot(const Run *r, const char *path);

#endif
