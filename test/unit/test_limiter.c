#include <string.h>

#include "../support/system.h"
#include "suite.h"

/* The fleet-wide ceiling against a naive twin: one list of all admissions,
 * checked over every window. */

enum { kRate = 40, kBurst = 24 };

typedef struct {
    System *s;
    GArray *admitted; /* uint64_t us, in order */
    GArray *open;     /* request ids not yet seen answered */
    uint32_t refused;
    uint32_t asked;
} Load;

static void
collect(Load *l)
{
    for (guint i = l->open->len; i > 0; i--) {
        uint64_t id = g_array_index(l->open, uint64_t, i - 1);
        const SystemAnswer *a = system_answer(l->s, id);
        if (a == NULL) {
            continue;
        }
        if (a->status == 429) {
            l->refused++;
        }
        else if (a->status == 404 || a->status == 200) {
            g_array_append_val(l->admitted, a->answered_us);
        }
        g_hash_table_remove(l->s->answers, &id);
        g_array_remove_index_fast(l->open, i - 1);
    }
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y ? 1 : 0;
}

/* Returns by how many admissions the worst window is above the ceiling.
 * Answers come a little after admissions; slack is that time's worth. */
static int64_t
surplus(const Load *l, uint64_t slack_us)
{
    int64_t worst = -1000;
    g_array_sort(l->admitted, compare_times);
    for (guint i = 0; i < l->admitted->len; i++) {
        for (guint k = i; k < l->admitted->len; k++) {
            uint64_t from = g_array_index(l->admitted, uint64_t, i);
            uint64_t to = g_array_index(l->admitted, uint64_t, k);
            int64_t allowed =
                kBurst + (int64_t)((to - from + slack_us) * kRate / 1000000);
            worst = MAX(worst, (int64_t)(k - i + 1) - allowed);
        }
    }
    return worst;
}

static void
ask(Load *l, uint32_t entry)
{
    uint64_t id = system_call(l->s, entry, "/v1/s0/list", "key-of-crews-0001",
                              NULL, NULL, "{\"args\":{\"v\":\"x\"}}");
    l->asked++;
    g_array_append_val(l->open, id);
}

static Load
load_new(uint32_t seed)
{
    Load l = {.s = system_new(6, 1, seed)};
    l.admitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l.open = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    system_add_team(l.s, "crews", kRate, kBurst, "key-of-crews-0001");
    system_run(l.s, 6000000);
    return l;
}

static void
load_free(Load *l)
{
    g_array_unref(l->admitted);
    g_array_unref(l->open);
    system_free(l->s);
}

static void
no_more_than_rate_and_burst_through_failures(void)
{
    for (uint32_t seed = 1; seed <= 4; seed++) {
        Load l = load_new(seed);
        GRand *rand = l.s->control->rand;
        for (uint32_t ms = 0; ms < 20000; ms += 5) {
            /* Eight times the rate, through all instances. */
            for (int i = 0; i < 2; i++) {
                ask(&l, (uint32_t)g_rand_int_range(rand, 0, 6));
            }
            if (ms % 2500 == 0) {
                uint32_t victim = (uint32_t)g_rand_int_range(rand, 0, 6);
                if (l.s->entries[victim].core == NULL) {
                    system_entry_start(l.s, victim);
                }
                else if (g_rand_boolean(rand)) {
                    system_entry_crash(l.s, victim);
                }
                else {
                    l.s->entries[victim].cut = !l.s->entries[victim].cut;
                }
            }
            system_run(l.s, 5000);
            collect(&l);
        }
        CU_ASSERT(l.admitted->len > kBurst);
        CU_ASSERT(surplus(&l, 20000) <= 0);
        load_free(&l);
    }
}

static void
an_owner_that_has_not_heard_of_its_successor(void)
{
    /* Entry 3 owns what entry 0 owned before; entry 0 comes back while
     * entry 3 hears nothing of control but still holds its lease. */
    for (uint32_t seed = 20; seed < 26; seed++) {
        Load l = load_new(seed);
        system_entry_crash(l.s, 0);
        system_run(l.s, 9000000);
        for (uint32_t ms = 0; ms < 12000; ms += 5) {
            if (ms == 4000) {
                l.s->entries[3].deaf = TRUE;
                system_entry_start(l.s, 0);
            }
            for (uint32_t i = 1; i < 6; i++) {
                ask(&l, i);
            }
            system_run(l.s, 5000);
            collect(&l);
        }
        CU_ASSERT(surplus(&l, 20000) <= 0);
        load_free(&l);
    }
}

static void
late_tokens_are_not_used(void)
{
    /* Answers of shard owners take up to four token lives. */
    for (uint32_t seed = 40; seed < 44; seed++) {
        Load l = load_new(seed);
        l.s->jitter_us = 400000;
        for (uint32_t ms = 0; ms < 15000; ms += 5) {
            for (uint32_t i = 0; i < 6; i++) {
                ask(&l, i);
            }
            system_run(l.s, 5000);
            collect(&l);
        }
        CU_ASSERT(surplus(&l, 0) <= 0);
        load_free(&l);
    }
}

static void
a_team_may_spend_its_whole_rate_through_one_instance(void)
{
    Load l = load_new(9);
    /* Nine tenths of the rate, evenly, all through entry 4. */
    for (uint32_t ms = 0; ms < 10000; ms += 28) {
        ask(&l, 4);
        system_run(l.s, 28000);
        collect(&l);
    }
    CU_ASSERT_EQUAL(l.refused, 0);
    CU_ASSERT(l.asked - l.admitted->len <= 1);
    load_free(&l);
}

static void
the_whole_burst_is_there_at_once(void)
{
    Load l = load_new(10);
    /* What the life of tokens holds back is not there at once. */
    uint32_t held_back = kRate / 10 + 3;
    for (uint32_t i = 0; i < kBurst - held_back; i++) {
        ask(&l, 2);
    }
    system_run(l.s, 200000);
    collect(&l);
    CU_ASSERT_EQUAL(l.refused, 0);
    load_free(&l);
}

static void
a_lost_owner_does_not_refuse_within_the_rate(void)
{
    Load l = load_new(11);
    for (uint32_t ms = 0; ms < 12000; ms += 60) {
        if (ms == 3000) {
            system_entry_crash(l.s, 1);
        }
        if (ms == 6000) {
            system_entry_crash(l.s, 3);
        }
        /* 16 a second of 40: the shards that are left have enough. */
        ask(&l, 5);
        system_run(l.s, 60000);
        collect(&l);
    }
    CU_ASSERT_EQUAL(l.refused, 0);
    load_free(&l);
}

void
add_limiter_suite(void)
{
    CU_pSuite s = CU_add_suite("limiter", NULL, NULL);
    CU_add_test(s, "no more than rate and burst through failures",
                no_more_than_rate_and_burst_through_failures);
    CU_add_test(s, "an owner that has not heard of its successor",
                an_owner_that_has_not_heard_of_its_successor);
    CU_add_test(s, "late tokens are not used", late_tokens_are_not_used);
    CU_add_test(s, "a team may spend its whole rate through one instance",
                a_team_may_spend_its_whole_rate_through_one_instance);
    CU_add_test(s, "the whole burst is there at once",
                the_whole_burst_is_there_at_once);
    CU_add_test(s, "a lost owner does not refuse within the rate",
                a_lost_owner_does_not_refuse_within_the_rate);
}
