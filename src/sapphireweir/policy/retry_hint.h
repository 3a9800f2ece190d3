#ifndef SAPPHIREWEIR_POLICY_RETRY_HINT_H
#define SAPPHIREWEIR_POLICY_RETRY_HINT_H

#include <glib.h>
#include <stdint.h>

/* What is known of the server for which work was rejected. */
typedef struct {
    uint64_t wait_us;           /* expected wait of such work */
    uint64_t drain_milli_per_s; /* work that it finishes */
    uint64_t shed_milli_per_s;  /* work that is rejected */
    uint32_t level;             /* of the rejected work, see admission.h */
} RetryLoad;

uint64_t retry_hint_us(const RetryLoad *load, uint32_t random);

/* Limit on the repetitions of a route's work by this instance itself. */
typedef struct {
    uint32_t used_milli; /* thousandths of a repetition, beyond successes */
} RetryBudget;

void retry_budget_succeeded(RetryBudget *b);
gboolean retry_budget_is_empty(const RetryBudget *b);
gboolean retry_budget_take(RetryBudget *b);

#endif
