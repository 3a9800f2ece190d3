#ifndef SAPPHIREWEIR_LOAD_RUN_H
#define SAPPHIREWEIR_LOAD_RUN_H

#include <event2/event.h>

#include "core/metrics.h"
#include "experiment.h"
#include "sapphireweir/ctl/client.h"
#include "tally.h"

/* One request with its result; kept for the checks after the run.  Times are
 * of the monotonic clock. */
typedef struct {
    uint32_t team;  /* index in the run's teams */
    uint32_t kind;  /* index in the experiment's kinds */
    int32_t domain; /* of the caller, index in the run's domains */
    gboolean write;
    gboolean measured; /* sent after the warm-up */
    uint64_t sent_us;
    uint64_t response_us; /* response, timeout or giving up; zero: none so
                           * far */
    uint64_t idle_us;     /* that the caller left its transaction idle */
    Outcome outcome;
    char *write_id;      /* unique value that the write stores; NULL: a read */
    const char *service; /* borrowed from the experiment */
} Record;

/* A caller's session.  Its requests go through any entry instance. */
typedef struct {
    char *token;
    char *last_write_id; /* of its last acknowledged write, or NULL */
    gboolean busy;       /* a request is in flight */
    const char *service; /* borrowed from the experiment */
} LoadSession;

/* Load and results of one team.  The outcomes are counted in the measured part
 * only, the read checks in the whole run. */
typedef struct {
    const TeamLoad *load;
    char *key;                /* API key that the run issued to the team */
    int32_t domain;           /* of all its callers; -1: any */
    double peak_per_s;        /* most that it offers at any time */
    uint64_t next_arrival_us; /* when the next request is sent */
    GPtrArray *sessions;      /* LoadSession */
    Histogram latency;        /* of the requests done, in microseconds */
    uint64_t offered;         /* requests sent or dropped */
    uint64_t done;
    uint64_t not_run;
    uint64_t rate_limited;
    uint64_t unknown;
    uint64_t reads;
    uint64_t stale_reads;  /* lack the session's own last write */
    uint64_t foreign_rows; /* with a write id other than the requested one */
} TeamRun;

/* State and results of one run. */
typedef struct {
    struct event_base *base;
    const Experiment *experiment;
    json_t *endpoints;
    Client client;
    GRand *rand;
    GPtrArray *entries; /* EntryLink */
    GPtrArray *teams;   /* TeamRun */
    GPtrArray *records; /* Record */
    GPtrArray *domains; /* names of the entries' failure domains */
    uint64_t measure_start_us;
    uint64_t end_us;    /* end of the measured part */
    uint32_t in_flight; /* requests without a response so far */
    uint64_t next_health_check_us;
    uint64_t write_count;       /* makes the write ids unique */
    uint64_t dropped_requests;  /* not sent, at the connection limit */
    char *run_id;               /* prefix of the write ids */
    GHashTable *failure_counts; /* status and problem type -> count,
                                * measured part */
    /* results of the checks */
    uint64_t writes_checked;
    uint64_t lost_writes;
    uint64_t duplicate_writes;
    uint64_t false_not_run;  /* reported as not run, but present */
    int64_t rate_surplus;    /* see check_rates */
    uint64_t first_fault_us; /* time of the first fault, zero: none */
} Run;

gboolean run_start(Run *r, GError **error);
void run_loop(Run *r);
void run_clear(Run *r);

/* fleet.c */
gboolean fleet_check(Run *r, GError **error);

/* faults.c */
void faults_inject_due(Run *r, uint64_t at_us);
void faults_clear_service_time(Run *r);

/* check.c */
void check_writes(Run *r);
void check_rates(Run *r);

/* report.c */
/* Read counters, summed over the entry instances. */
typedef struct {
    uint64_t replica_reads;  /* served by a replica */
    uint64_t eligible_reads; /* that a replica may serve */
} RunCounters;

RunCounters report_counters(Run *r);
json_t *report_make(Run *r, const RunCounters *before,
                    const RunCounters *after);
void report_print(const json_t *report);

/* classes.c */
void classes_add(const Run *r, json_t *report);
void classes_print(const json_t *report);

#endif
