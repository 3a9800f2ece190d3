#include "gateway/concurrency.h"
#include "gateway/connection_share.h"
#include "gateway/freshness.h"
#include "gateway/placement.h"
#include "suite.h"

/* The gateway's pure decisions. */

enum { kMs = 1000 };

static void
a_replica_must_hold_what_the_age_demands(void)
{
    static const struct {
        uint64_t now_ms;
        uint64_t age_ms;
        Position own;
        gboolean known;
        Position needed;
    } cases[] = {
        /* Samples: at 1000 ms 3.10, at 2000 ms 3.20, at 3000 ms 3.30. */
        {3100, 1500, {0, 0}, TRUE, {3, 20}},
        {3100, 2500, {0, 0}, TRUE, {3, 10}},
        {3100, 500, {0, 0}, TRUE, {3, 30}},
        {3100, 50, {0, 0}, FALSE, {0, 0}},
        {6000, 1500, {0, 0}, FALSE, {0, 0}},
        {3100, 2500, {3, 25}, TRUE, {3, 25}},
        /* A position of a term that is over stands for all of that term. */
        {3100, 2500, {2, 99}, TRUE, {3, 10}},
    };
    Freshness f;

    freshness_clear(&f);
    freshness_add(&f, 1000 * kMs, (Position){3, 10});
    freshness_add(&f, 2000 * kMs, (Position){3, 20});
    freshness_add(&f, 3000 * kMs, (Position){3, 30});
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Position needed = {0};
        gboolean known =
            freshness_required(&f, cases[i].now_ms * kMs,
                               cases[i].age_ms * kMs, cases[i].own, &needed);
        CU_ASSERT_EQUAL(known, cases[i].known);
        CU_ASSERT_EQUAL(position_compare(needed, cases[i].needed), 0);
    }
}

static void
a_new_term_ends_the_history(void)
{
    Freshness f;
    Position needed = {0};

    freshness_clear(&f);
    freshness_add(&f, 1000 * kMs, (Position){3, 50});
    freshness_add(&f, 1100 * kMs, (Position){4, 40});
    freshness_add(&f, 1200 * kMs, (Position){3, 60});
    CU_ASSERT(freshness_required(&f, 1300 * kMs, 1000 * kMs, (Position){3, 60},
                                 &needed));
    CU_ASSERT_EQUAL(position_compare(needed, (Position){4, 40}), 0);
}

/* Naive twin: all samples of the newest term, no ring, no spacing. */
static void
history_agrees_with_all_samples(void)
{
    GRand *rand = g_rand_new_with_seed(5);
    uint64_t sent_us[400];
    uint64_t number = 1;
    Freshness f;

    freshness_clear(&f);
    for (uint32_t i = 0; i < 400; i++) {
        sent_us[i] = (i == 0 ? 0 : sent_us[i - 1]) +
                     (uint64_t)g_rand_int_range(rand, 1, 90) * kMs;
        freshness_add(&f, sent_us[i], (Position){1, number + i});
        Position needed = {0};
        uint64_t now_us = sent_us[i] + 1000;
        if (!freshness_required(&f, now_us, 1500 * kMs, (Position){0},
                                &needed)) {
            continue;
        }
        /* It covers every commit acknowledged more than the age before:
         * such commits are within the first sample sent since then. */
        uint32_t k = 0;
        while (sent_us[k] + 1500 * kMs < now_us) {
            k++;
        }
        CU_ASSERT(needed.number >= number + k);
        CU_ASSERT(needed.number <= number + i);
    }
    g_rand_free(rand);
}

static void
reads_go_where_they_cost_least(void)
{
    static const struct {
        PlacementCandidate candidates[3];
        int chosen;
    } cases[] = {
        /* Nobody can serve. */
        {{{.service_us = 1}, {.service_us = 1}, {.service_us = 1}}, -1},
        /* An idle connection of the team saves a handshake. */
        {{{.usable = TRUE, .service_us = 15000, .may_connect = TRUE},
          {.usable = TRUE, .service_us = 15000, .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* A slow server loses its reads to the primary. */
        {{{.usable = TRUE, .service_us = 90000, .matching_connection = TRUE},
          {.usable = TRUE,
           .primary = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* Primaries are spared while replicas are well. */
        {{{.usable = TRUE,
           .primary = TRUE,
           .same_domain = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE},
          {.usable = TRUE, .service_us = 15000, .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* A replica that is behind waits for others' reads. */
        {{{.usable = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE,
           .expected_lag_us = 200000},
          {.usable = TRUE,
           .primary = TRUE,
           .service_us = 25000,
           .open_statements = 3,
           .slots = 3,
           .matching_connection = TRUE},
          {.service_us = 1}},
         1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(placement_choose(cases[i].candidates, 3),
                        cases[i].chosen);
    }
}

/* Replays the overload of a server with three slots, a queue of 24 and a
 * work time of 18 ms by nine instances whose callers want more than it can
 * do.  Compared with the version before, which kept a connection's worth of
 * statements open: what reaches a full queue is rejected work. */
static uint32_t
rejections(gboolean limited, uint32_t *served)
{
    enum { kInstances = 9, kConnections = 5, kSlots = 3, kQueue = 24 };
    Concurrency limits[kInstances];
    uint32_t open[kInstances] = {0};
    uint32_t queue[kQueue + kSlots] = {0};
    uint64_t entered_us[kQueue + kSlots] = {0};
    uint32_t length = 0;
    uint32_t rejected = 0;

    *served = 0;
    for (uint32_t i = 0; i < kInstances; i++) {
        concurrency_init(&limits[i]);
    }
    for (uint64_t now_us = 0; now_us < 10000000; now_us += 6000) {
        for (uint32_t i = 0; i < kInstances; i++) {
            uint32_t max_open = limited ? MIN(concurrency_limit(&limits[i]),
                                              (uint32_t)kConnections)
                                        : kConnections;
            while (open[i] < max_open) {
                if (length == kQueue + kSlots) {
                    rejected++;
                    concurrency_rejected(&limits[i], now_us);
                    break;
                }
                entered_us[length] = now_us;
                queue[length++] = i;
                open[i]++;
            }
        }
        if (length > 0) {
            uint32_t done = queue[0];
            uint64_t took_us = now_us - entered_us[0];
            length--;
            memmove(queue, queue + 1, length * sizeof(queue[0]));
            memmove(entered_us, entered_us + 1,
                    length * sizeof(entered_us[0]));
            open[done]--;
            concurrency_answered(&limits[done], now_us, took_us, open[done],
                                 kConnections);
            (*served)++;
        }
    }
    return rejected;
}

static void
an_overloaded_server_is_not_flooded(void)
{
    uint32_t served_before;
    uint32_t served_now;
    uint32_t before = rejections(FALSE, &served_before);
    uint32_t now = rejections(TRUE, &served_now);

    CU_ASSERT(now * 10 < before);
    CU_ASSERT(served_now * 100 >= served_before * 95);
}

static void
connections_are_parted(void)
{
    static const struct {
        uint32_t limit;
        uint32_t instances;
        uint32_t max_open;
        gboolean rests; /* an idle connection may stay */
    } cases[] = {
        {23, 8, 2, TRUE},   {46, 9, 4, TRUE},   {46, 12, 3, TRUE},
        {240, 71, 2, TRUE}, {52, 66, 1, FALSE}, {25, 0, 20, TRUE},
        {1, 1, 1, TRUE},    {1, 8, 1, FALSE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ConnectionShare s =
            connection_share(cases[i].limit, cases[i].instances);
        CU_ASSERT_EQUAL(s.max_open, cases[i].max_open);
        CU_ASSERT_EQUAL(s.max_idle_us == 0, cases[i].rests);
        /* All together stay within the limit where it gives one each. */
        CU_ASSERT(cases[i].limit < cases[i].instances ||
                  s.max_open * cases[i].instances <= cases[i].limit);
    }
}

void
add_gateway_policy_suite(void)
{
    CU_pSuite s = CU_add_suite("gateway policy", NULL, NULL);
    CU_add_test(s, "a replica must hold what the age demands",
                a_replica_must_hold_what_the_age_demands);
    CU_add_test(s, "a new term ends the history", a_new_term_ends_the_history);
    CU_add_test(s, "history agrees with all samples",
                history_agrees_with_all_samples);
    CU_add_test(s, "reads go where they cost least",
                reads_go_where_they_cost_least);
    CU_add_test(s, "connections are parted", connections_are_parted);
    CU_add_test(s, "an overloaded server is not flooded",
                an_overloaded_server_is_not_flooded);
}
