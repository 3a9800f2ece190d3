#ifndef SAPPHIREWEIR_LOAD_TALLY_H
#define SAPPHIREWEIR_LOAD_TALLY_H

#include <jansson.h>
#include <stdint.h>

/* Outcome of a request, from the status and body of its response. */
typedef enum {
    kOutcomeDone,
    kOutcomeNotRun,      /* refused, and reported as certainly not run */
    kOutcomeRateLimited, /* refused by the team's rate limit */
    kOutcomeUnknown,     /* reported as unknown, or no response */
    kOutcomeAbandoned,   /* the caller gave up before the response */
    kOutcomeNotSent,     /* all connections of the load program were busy */
} Outcome;

/* Numbers of requests.  offered is the sum of all others. */
typedef struct {
    uint64_t offered;
    uint64_t in_objective; /* done within the latency objective */
    uint64_t late;         /* done, but later */
    uint64_t refused;      /* certainly not run */
    uint64_t failed;       /* may have run, or no response */
    uint64_t abandoned;
    uint64_t not_sent;
} Tally;

void tally_add(Tally *t, Outcome outcome, uint64_t latency_us,
               uint64_t objective_us);
json_t *tally_json(const Tally *t);

#endif
