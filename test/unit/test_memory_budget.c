#include "policy/memory_budget.h"
#include "suite.h"

/* The account of the memory that clients make a process hold, tested with the
 * loads that it is for. */

enum { kKiB = 1 << 10, kMiB = 1 << 20, kUsPerMs = 1000, kMany = 300 };

static const MemoryLimits kLimits = {.total_bytes = 32 * kMiB,
                                     .connection_bytes = 4 * kMiB,
                                     .source_bytes = 24 * kMiB,
                                     .max_connections = 200,
                                     .max_source_connections = 100};

/* A crowd fills messages of legal size, or never ends them: reading pauses
 * for those, not for an ordinary caller, and the total is never exceeded by
 * more than one step. */
static void
a_crowd_is_paused_and_then_closed(void)
{
    static const struct {
        uint32_t crowd;
        uint32_t step_bytes; /* received between two decisions */
        uint32_t max_bytes;  /* of a message */
    } cases[] = {
        {100, 16 * kKiB, kMiB},
        {40, 64 * kKiB, 3 * kMiB},
        {99, 4 * kKiB, 300 * kKiB},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        MemoryBudget *b = memory_budget_new(&kLimits);
        MemoryAccount *crowd[100] = {0};
        uint64_t held[100] = {0};
        MemoryVerdict verdicts[100] = {kMemoryOk};
        MemoryAccount *ordinary = memory_account_open(b, 0, "ordinary");
        uint64_t now_us = 0;

        for (uint32_t k = 0; k < cases[i].crowd; k++) {
            char *name = g_strdup_printf("s-%u", k % 3);
            crowd[k] = memory_account_open(b, 0, name);
            memory_account_set_owner(crowd[k], &crowd[k]);
            g_free(name);
        }
        for (uint32_t step = 0; step < 400; step++) {
            now_us += 10 * kUsPerMs;
            for (uint32_t k = 0; k < cases[i].crowd; k++) {
                if (crowd[k] == NULL) {
                    continue;
                }
                if (verdicts[k] == kMemoryOk) {
                    held[k] =
                        MIN(held[k] + cases[i].step_bytes, cases[i].max_bytes);
                }
                verdicts[k] = memory_account_set(crowd[k], now_us, held[k]);
                MemoryAccount *victim = verdicts[k] == kMemoryClose
                                            ? crowd[k]
                                            : memory_budget_victim(b, now_us);
                if (victim != NULL) {
                    CU_ASSERT(victim != ordinary);
                    *(MemoryAccount **)memory_account_owner(victim) = NULL;
                    memory_account_close(victim);
                }
                CU_ASSERT(memory_budget_stats(b).held_bytes <=
                          kLimits.total_bytes + cases[i].step_bytes);
            }
            CU_ASSERT_EQUAL(memory_account_set(ordinary, now_us, 4 * kKiB),
                            kMemoryOk);
        }
        CU_ASSERT(memory_budget_stats(b).pauses > 0);
        memory_budget_free(b);
    }
}

/* Without pressure the largest legal message is read; a connection, a source
 * and a team over their own limit are closed. */
static void
single_limits_apply(void)
{
    static const struct {
        uint64_t held_bytes;
        uint64_t other_bytes; /* of another connection of source and team */
        MemoryVerdict verdict;
    } cases[] = {
        {kMiB, 0, kMemoryOk},
        {4 * kMiB, 0, kMemoryOk},
        {4 * kMiB + 1, 0, kMemoryClose},
        {kMiB, 3 * kMiB, kMemoryOk},
        {2 * kMiB, 3 * kMiB, kMemoryPause}, /* 75 % of the team's limit */
        {kKiB, 4 * kMiB, kMemoryOk},        /* little is always read */
        {3 * kMiB, 4 * kMiB, kMemoryClose}, /* over the team's limit */
    };
    MemoryLimits limits = kLimits;
    limits.team_bytes = 6 * kMiB;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        MemoryBudget *b = memory_budget_new(&limits);
        MemoryAccount *a = memory_account_open(b, 0, "s");
        MemoryAccount *other = memory_account_open(b, 0, "s");
        memory_account_set_team(a, "t");
        memory_account_set_team(other, "t");
        memory_account_set(other, 0, cases[i].other_bytes);
        CU_ASSERT_EQUAL(memory_account_set(a, 0, cases[i].held_bytes),
                        cases[i].verdict);
        memory_budget_free(b);
    }
}

/* Connections are refused at the limit of the process and of a source, and
 * accepted again once one closes.  A crowd that sends nothing gives way. */
static void
connections_are_limited(void)
{
    MemoryBudget *b = memory_budget_new(&kLimits);
    MemoryAccount *open[kMany] = {0};
    uint32_t count = 0;

    for (uint32_t i = 0; i < kMany; i++) {
        open[i] = memory_account_open(b, i, i < 150 ? "crowd" : "others");
        count += open[i] != NULL;
    }
    CU_ASSERT_EQUAL(count, 200);
    CU_ASSERT_EQUAL(memory_budget_stats(b).refused, 100);
    memory_account_admit(open[0]);
    CU_ASSERT_PTR_EQUAL(memory_budget_stalled(b, "ordinary"), open[1]);
    memory_account_busy(open[1], TRUE);
    CU_ASSERT_PTR_EQUAL(memory_budget_stalled(b, "ordinary"), open[2]);
    memory_account_close(open[2]);
    CU_ASSERT_PTR_NOT_NULL(memory_account_open(b, kMany, "ordinary"));
    CU_ASSERT_PTR_NULL(memory_account_open(b, kMany, "ordinary"));
    memory_budget_free(b);
}

/* Guards against a source that uses all of its connections and makes those of
 * others give way. */
static void
a_full_source_gives_way_itself(void)
{
    MemoryLimits limits = kLimits;
    limits.max_source_connections = 2;
    MemoryBudget *b = memory_budget_new(&limits);
    MemoryAccount *other = memory_account_open(b, 0, "other");
    MemoryAccount *first = memory_account_open(b, 0, "crowd");
    MemoryAccount *second = memory_account_open(b, 0, "crowd");

    CU_ASSERT_FALSE(memory_budget_source_is_full(b, "other"));
    CU_ASSERT_FALSE(memory_budget_source_is_full(b, "nobody"));
    CU_ASSERT(memory_budget_source_is_full(b, "crowd"));
    CU_ASSERT_PTR_NULL(memory_account_open(b, 0, "crowd"));
    CU_ASSERT_PTR_EQUAL(memory_budget_stalled(b, "crowd"), first);
    CU_ASSERT_PTR_EQUAL(memory_budget_stalled(b, "other"), other);
    memory_account_admit(first);
    memory_account_admit(second);
    CU_ASSERT_PTR_NULL(memory_budget_stalled(b, "crowd"));
    CU_ASSERT_PTR_EQUAL(memory_budget_stalled(b, "other"), other);
    memory_budget_free(b);
}

/* Work in progress is closed last, and only if it holds much. */
static void
victims_are_idle_first(void)
{
    MemoryLimits limits = kLimits;
    limits.total_bytes = 4 * kMiB;
    MemoryBudget *b = memory_budget_new(&limits);
    MemoryAccount *large = memory_account_open(b, 0, "a");
    MemoryAccount *busy = memory_account_open(b, 0, "b");
    MemoryAccount *small = memory_account_open(b, 0, "c");

    memory_account_busy(busy, TRUE);
    memory_account_busy(small, TRUE);
    memory_account_set(busy, 0, 2 * kMiB);
    CU_ASSERT_PTR_NULL(memory_budget_victim(b, 0));
    memory_account_set(large, 0, 3 * kMiB);
    memory_account_set(small, 0, kKiB);
    CU_ASSERT_PTR_EQUAL(memory_budget_victim(b, 0), large);
    memory_account_close(large);
    CU_ASSERT_PTR_NULL(memory_budget_victim(b, 0));
    /* Pressure below the total: only after a while. */
    memory_account_set(busy, 0, 0);
    large = memory_account_open(b, 0, "a");
    CU_ASSERT_EQUAL(memory_account_set(large, 0, 3500 * kKiB), kMemoryPause);
    CU_ASSERT_PTR_NULL(memory_budget_victim(b, 500 * kUsPerMs));
    CU_ASSERT_PTR_EQUAL(memory_budget_victim(b, 1500 * kUsPerMs), large);
    memory_account_close(large);
    /* Only work in progress is left. */
    memory_account_set(busy, 0, 4 * kMiB);
    CU_ASSERT_PTR_EQUAL(memory_budget_victim(b, 0), busy);
    memory_account_close(busy);
    CU_ASSERT_PTR_NULL(memory_budget_victim(b, 0));
    CU_ASSERT_FALSE(memory_budget_stats(b).pressure);
    memory_budget_free(b);
}

/* Guards against a connection that is closed at once although pressure has
 * just begun: what it holds was recorded within the event that asks for a
 * victim, after the event had read the clock. */
static void
pressure_from_a_later_reading_has_not_lasted(void)
{
    static const struct {
        uint64_t recorded_us; /* when pressure begins */
        uint64_t asked_us;
        gboolean closes;
    } cases[] = {
        {2000 * kUsPerMs, 2000 * kUsPerMs - 1, FALSE},
        {2000 * kUsPerMs, 1000 * kUsPerMs, FALSE},
        {2000 * kUsPerMs, 2000 * kUsPerMs, FALSE},
        {2000 * kUsPerMs, 3000 * kUsPerMs, FALSE},
        {2000 * kUsPerMs, 3000 * kUsPerMs + 1, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        MemoryLimits limits = {.total_bytes = 4 * kMiB, .max_connections = 4};
        MemoryBudget *b = memory_budget_new(&limits);
        MemoryAccount *a = memory_account_open(b, 0, "a");

        CU_ASSERT_EQUAL(
            memory_account_set(a, cases[i].recorded_us, 3500 * kKiB),
            kMemoryPause);
        CU_ASSERT_PTR_EQUAL(memory_budget_victim(b, cases[i].asked_us),
                            cases[i].closes ? a : NULL);
        memory_budget_free(b);
    }
}

void
add_memory_budget_suite(void)
{
    CU_pSuite s = CU_add_suite("memory budget", NULL, NULL);
    CU_add_test(s, "a full source gives way itself",
                a_full_source_gives_way_itself);
    CU_add_test(s, "a crowd is paused and then closed",
                a_crowd_is_paused_and_then_closed);
    CU_add_test(s, "single limits apply", single_limits_apply);
    CU_add_test(s, "connections are limited", connections_are_limited);
    CU_add_test(s, "victims are idle first", victims_are_idle_first);
    CU_add_test(s, "pressure from a later reading has not lasted",
                pressure_from_a_later_reading_has_not_lasted);
}
