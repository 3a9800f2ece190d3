#include <string.h>

#include "../support/system.h"
#include "suite.h"

/* The fleet-wide ceiling against a naive twin: one list of all admissions,
 * checked over every window. */

enum { kRate = 40, kBurst = 24 };

typedef struct {
    System *s;
    uint32_t rate;
    uint32_t burst;
    GArray *admitted;                    /* uint64_t us, in order */
    uint64_t counted[kSystemEntriesMax]; /* admissions seen, by instance */
    GArray *open; /* request ids not yet seen answered */
    uint32_t refused;
    uint32_t asked;
} Load;

/* Notes what the instances admitted since the last look; a restarted one
 * counts from zero. */
static void
note_admissions(Load *l)
{
    uint64_t now_us = system_now(l->s);
    for (uint32_t i = 0; i < l->s->entry_count; i++) {
        EntryCore *core = l->s->entries[i].core;
        uint64_t count =
            core == NULL ? 0
                         : entry_core_metrics(core)->counters[kMetricAdmitted];
        if (count < l->counted[i]) {
            l->counted[i] = 0;
        }
        for (uint64_t k = l->counted[i]; k < count; k++) {
            g_array_append_val(l->admitted, now_us);
        }
        l->counted[i] = count;
    }
}

static void
collect(Load *l)
{
    note_admissions(l);
    for (guint i = l->open->len; i > 0; i--) {
        uint64_t id = g_array_index(l->open, uint64_t, i - 1);
        const SystemAnswer *a = system_answer(l->s, id);
        if (a == NULL) {
            continue;
        }
        if (a->status == 429) {
            l->refused++;
        }
        g_hash_table_remove(l->s->answers, &id);
        g_array_remove_index_fast(l->open, i - 1);
    }
}

/* Returns by how many admissions the worst window is above the ceiling.
 * Admissions are seen at the end of a step of slack_us. */
static int64_t
surplus(const Load *l, uint64_t slack_us)
{
    int64_t worst = -1000;
    for (guint i = 0; i < l->admitted->len; i++) {
        for (guint k = i; k < l->admitted->len; k++) {
            uint64_t from = g_array_index(l->admitted, uint64_t, i);
            uint64_t to = g_array_index(l->admitted, uint64_t, k);
            int64_t allowed = l->burst + (int64_t)((to - from + slack_us) *
                                                   l->rate / 1000000);
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
load_with_rate(uint32_t seed, uint32_t rate, uint32_t burst)
{
    Load l = {.s = system_new(6, 1, seed), .rate = rate, .burst = burst};
    l.admitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    l.open = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    system_add_team(l.s, "crews", rate, burst, "key-of-crews-0001");
    system_run(l.s, 6000000);
    return l;
}

static Load
load_new(uint32_t seed)
{
    return load_with_rate(seed, kRate, kBurst);
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
                    l.s->entries[victim].partitioned =
                        !l.s->entries[victim].partitioned;
                }
            }
            system_run(l.s, 5000);
            collect(&l);
        }
        CU_ASSERT(l.admitted->len > kBurst);
        CU_ASSERT(surplus(&l, 5000) <= 0);
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
                l.s->entries[3].drops_control_frames = TRUE;
                system_entry_start(l.s, 0);
            }
            for (uint32_t i = 1; i < 6; i++) {
                ask(&l, i);
            }
            system_run(l.s, 5000);
            collect(&l);
        }
        CU_ASSERT(surplus(&l, 5000) <= 0);
        load_free(&l);
    }
}

static void
late_tokens_are_not_used(void)
{
    /* Tokens live 30 ms at this rate and burst.  In every 300 ms there is
     * a moment whose messages arrive 80 ms late, together with fresh
     * tokens of shards that have filled again meanwhile. */
    for (uint32_t seed = 40; seed < 44; seed++) {
        Load l = load_with_rate(seed, 400, 24);
        for (uint32_t ms = 0; ms < 6000; ms += 1) {
            l.s->delay_us = ms % 300 < 4 ? 80000 : 200;
            for (uint32_t i = 0; i < 6; i++) {
                ask(&l, i);
            }
            system_run(l.s, 1000);
            collect(&l);
        }
        CU_ASSERT(surplus(&l, 1000) <= 0);
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
    CU_ASSERT_EQUAL(l.asked, l.admitted->len);
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
