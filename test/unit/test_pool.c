#include <string.h>

#include "../support/system.h"
#include "suite.h"

/* The connections of a pool under load. */

/* Returns the sum of a counter over all entry instances. */
static uint64_t
sum_counter(const System *s, int counter)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < s->entry_count; i++) {
        sum += entry_core_metrics(s->entries[i].core)->counters[counter];
    }
    return sum;
}

/* Guards against requests that are told of a lost connection, and against
 * healthy connections that are dropped, because a short statement reaches the
 * deadline of its request. */
static void
a_deadline_is_not_a_lost_connection(void)
{
    enum { kRequests = 60 };
    uint64_t ids[kRequests];
    System *s = system_new(3, 1, 5);

    system_add_team(s, "crews", 5000, 10000, "key-of-crews-0001");
    system_run(s, 6000000);
    /* All are admitted by the service time so far.  Some are still running
     * when they reach the deadline of their attempt, after 0.7 s. */
    s->service_us = 45000;
    for (uint32_t i = 0; i < kRequests; i++) {
        ids[i] = system_call(s, i % 3, "/v1/s0/get", "key-of-crews-0001", NULL,
                             NULL, "{\"args\":{\"v\":\"x\"}}");
    }
    system_run(s, 450000);
    s->service_us = 280000;
    system_run(s, 400000);
    s->service_us = 300;
    system_run(s, 3000000);
    for (uint32_t i = 0; i < kRequests; i++) {
        const SystemAnswer *a = system_answer(s, ids[i]);
        CU_ASSERT_FATAL(a != NULL);
        CU_ASSERT(a->status == 200 || a->status == 503);
        CU_ASSERT(strstr(a->body, "connection-lost") == NULL);
    }
    CU_ASSERT(sum_counter(s, kMetricPoolDeadline) > 0);
    CU_ASSERT_EQUAL(sum_counter(s, kMetricPoolUnresponsive), 0);
    system_free(s);
}

void
add_pool_suite(void)
{
    CU_pSuite s = CU_add_suite("pool", NULL, NULL);
    CU_add_test(s, "a deadline is not a lost connection",
                a_deadline_is_not_a_lost_connection);
}
