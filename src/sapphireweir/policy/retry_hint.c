#include "policy/retry_hint.h"

#include "policy/admission.h"

/* When rejected callers may try again, and how often an instance tries again
 * itself.  Designed for a burst of some seconds in which callers that were
 * rejected return together, so that most of the attempts are repetitions:
 * with hints of 200 ms, 25,000 attempts were seen for 7,500 requests. */

enum {
    kMinHintUs = 50000,
    kMaxHintUs = 4000000,
    kPlainHintUs = 200000, /* while little is rejected */
    kSecondUs = 1000000,
    /* A level's hint has (level + 2) / 6 of the length: a third for the most
     * urgent one, the whole length for that of a route of priority 2. */
    kLevelOffset = 2,
    kLevelDivisor = 6,
    kMilli = 1000,
    kSuccessMilli = 100,  /* a success pays for a tenth of a repetition */
    kBudgetMilli = 10000, /* repetitions without a success */
};

/* Returns the time after which a rejected caller should try again, in
 * microseconds: the wait at the server, and the time in which it finishes as
 * much work as is rejected in a second.  Callers are spread evenly from half
 * of that time to three halves; random is any number. */
uint64_t
retry_hint_us(const RetryLoad *load, uint32_t random)
{
    uint64_t spread_us = MIN(load->shed_milli_per_s * kSecondUs /
                                 MAX(load->drain_milli_per_s, kMilli),
                             (uint64_t)kMaxHintUs);
    uint64_t mean_us =
        MAX(load->wait_us + spread_us, (uint64_t)kPlainHintUs) *
        (MIN(load->level, (uint32_t)kAdmissionLevels) + kLevelOffset) /
        kLevelDivisor;
    uint64_t hint_us = mean_us / 2 + mean_us * (random % kMilli) / kMilli;

    return CLAMP(hint_us, (uint64_t)kMinHintUs, (uint64_t)kMaxHintUs);
}

/* Records that work of the route was answered. */
void
retry_budget_succeeded(RetryBudget *b)
{
    b->used_milli -= MIN(b->used_milli, (uint32_t)kSuccessMilli);
}

/* Tells whether no repetition is left. */
gboolean
retry_budget_is_empty(const RetryBudget *b)
{
    return b->used_milli + kMilli > kBudgetMilli;
}

/* Takes a repetition from the budget; FALSE if none is left. */
gboolean
retry_budget_take(RetryBudget *b)
{
    if (retry_budget_is_empty(b)) {
        return FALSE;
    }
    b->used_milli += kMilli;
    return TRUE;
}
