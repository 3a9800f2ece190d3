#include <string.h>

#include "core/fair_queue.h"
#include "suite.h"

/* Items of the teams a and b; only their addresses matter. */
static char item_a[] = "a";
static char item_b[] = "b";

static void
shares_follow_weights_and_costs(void)
{
    /* Both teams always have queued items.  Their shares of the service time
     * follow the weights, whatever an item of each costs. */
    static const struct {
        uint32_t weight_a;
        uint32_t weight_b;
        uint64_t cost_a;
        uint64_t cost_b;
    } cases[] = {
        {1, 1, 1000, 1000},
        {2, 1, 1000, 1000},
        {1, 1, 5000, 500},
        {1, 4, 2000, 300},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FairQueue *q = fair_queue_new(100);
        uint64_t time_a = 0;
        uint64_t time_b = 0;
        for (int k = 0; k < 20; k++) {
            fair_queue_push(q, "a", cases[i].weight_a, 1, cases[i].cost_a,
                            item_a);
            fair_queue_push(q, "b", cases[i].weight_b, 1, cases[i].cost_b,
                            item_b);
        }
        while (time_a + time_b < 1000000) {
            void *item = fair_queue_pop(q);
            if (item == item_a) {
                time_a += cases[i].cost_a;
                fair_queue_push(q, "a", cases[i].weight_a, 1, cases[i].cost_a,
                                item_a);
            }
            else {
                time_b += cases[i].cost_b;
                fair_queue_push(q, "b", cases[i].weight_b, 1, cases[i].cost_b,
                                item_b);
            }
        }
        double expected = (double)cases[i].weight_a / cases[i].weight_b;
        double actual = (double)time_a / (double)time_b;
        CU_ASSERT(actual > expected * 0.9 && actual < expected * 1.1);
        fair_queue_free(q);
    }
}

static void
a_full_team_queue_does_not_block_other_teams(void)
{
    FairQueue *q = fair_queue_new(3);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT(fair_queue_push(q, "a", 1, 1, 100, item_a));
    }
    CU_ASSERT(!fair_queue_push(q, "a", 1, 1, 100, item_a));
    CU_ASSERT(fair_queue_push(q, "b", 1, 1, 100, item_b));
    CU_ASSERT_EQUAL(fair_queue_length(q), 4);
    fair_queue_free(q);
}

static void
items_of_higher_priority_go_first_in_a_team(void)
{
    FairQueue *q = fair_queue_new(10);
    char items[4];
    fair_queue_push(q, "a", 1, 1, 100, &items[0]);
    fair_queue_push(q, "a", 1, 5, 100, &items[1]);
    fair_queue_push(q, "a", 1, 5, 100, &items[2]);
    fair_queue_push(q, "a", 1, 9, 100, &items[3]);
    CU_ASSERT_PTR_EQUAL(fair_queue_pop(q), &items[3]);
    CU_ASSERT_PTR_EQUAL(fair_queue_pop(q), &items[1]);
    CU_ASSERT_PTR_EQUAL(fair_queue_pop(q), &items[2]);
    CU_ASSERT_PTR_EQUAL(fair_queue_pop(q), &items[0]);
    CU_ASSERT_PTR_NULL(fair_queue_pop(q));
    fair_queue_free(q);
}

static void
a_team_without_queued_items_waits_briefly(void)
{
    FairQueue *q = fair_queue_new(1000);
    for (int i = 0; i < 500; i++) {
        fair_queue_push(q, "loud", 1, 1, 1000, item_a);
    }
    /* A team without queued items waits for about one item of the other team,
     * whose items cost 1000 us each. */
    CU_ASSERT(fair_queue_wait_us(q, "quiet", 1, 1) <= 2000);
    CU_ASSERT(fair_queue_wait_us(q, "loud", 1, 1) >= 500000);
    CU_ASSERT(fair_queue_remove(q, item_a));
    CU_ASSERT_EQUAL(fair_queue_length(q), 499);
    fair_queue_free(q);
}

/* Requests that go before the rest of their team must not be refused for the
 * rest's wait. */
static void
the_wait_leaves_out_items_of_lower_priority(void)
{
    static const struct {
        uint32_t priority;
        uint64_t expected_us;
    } cases[] = {{1, 500000}, {2, 3000}, {3, 3000}, {4, 0}};
    FairQueue *q = fair_queue_new(1000);

    for (int i = 0; i < 497; i++) {
        fair_queue_push(q, "a", 1, 1, 1000, item_a);
    }
    for (int i = 0; i < 3; i++) {
        fair_queue_push(q, "a", 1, 3, 1000, item_b);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(fair_queue_wait_us(q, "a", 1, cases[i].priority),
                        cases[i].expected_us);
    }
    fair_queue_free(q);
}

void
add_fair_queue_suite(void)
{
    CU_pSuite s = CU_add_suite("fair_queue", NULL, NULL);
    CU_add_test(s, "shares follow weights and costs",
                shares_follow_weights_and_costs);
    CU_add_test(s, "a full team queue does not block other teams",
                a_full_team_queue_does_not_block_other_teams);
    CU_add_test(s, "items of higher priority go first in a team",
                items_of_higher_priority_go_first_in_a_team);
    CU_add_test(s, "the wait leaves out items of lower priority",
                the_wait_leaves_out_items_of_lower_priority);
    CU_add_test(s, "a team without queued items waits briefly",
                a_team_without_queued_items_waits_briefly);
}
