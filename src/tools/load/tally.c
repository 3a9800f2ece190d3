#include "tally.h"

/* Counts of requests by what became of them. */

/* Adds one request.  objective_us is the latency objective; zero: none, every
 * request that is done counts as within it. */
void
tally_add(Tally *t, Outcome outcome, uint64_t latency_us,
          uint64_t objective_us)
{
    t->offered++;
    switch (outcome) {
    case kOutcomeDone:
        if (objective_us == 0 || latency_us <= objective_us) {
            t->in_objective++;
        }
        else {
            t->late++;
        }
        break;
    case kOutcomeNotRun:
    case kOutcomeRateLimited:
        t->refused++;
        break;
    case kOutcomeUnknown:
        t->failed++;
        break;
    case kOutcomeAbandoned:
        t->abandoned++;
        break;
    case kOutcomeNotSent:
        t->not_sent++;
        break;
    }
}

/* Returns the counts as an object; the caller owns it. */
json_t *
tally_json(const Tally *t)
{
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "offered",
        (json_int_t)t->offered, "in_objective", (json_int_t)t->in_objective,
        "late", (json_int_t)t->late, "refused", (json_int_t)t->refused,
        "failed", (json_int_t)t->failed, "abandoned", (json_int_t)t->abandoned,
        "not_sent", (json_int_t)t->not_sent);
}
