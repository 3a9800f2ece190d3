#include <string.h>

#include "../support/system.h"
#include "suite.h"

/* The fleet-wide rate limit of a team.  The tests keep a list of all admitted
 * requests; in the time span between any two of them, no more may be admitted
 * than rate and burst allow. */

enum { kRate = 40 /* requests per second */, kBurst = 24 };

/* The requests of one team. */
typedef struct {
    System *s;
    uint32_t rate;
    uint32_t burst;
    GArray *admitted; /* uint64_t times in microseconds, ascending */
    /* Number of admissions in the list, by index of the entry instance. */
    uint64_t counted[kSystemEntriesMax];
    GArray *open; /* uint64_t ids of requests without an answer */
    uint32_t refused;
    uint32_t requests;
} Load;

/* Adds the admissions of all instances since the last call to the list.  The
 * counter of a restarted instance starts from zero. */
static void
record_admissions(Load *l)
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

/* Records new admissions and removes the answered requests, counting those
 * that were refused. */
static void
collect_answers(Load *l)
{
    record_admissions(l);
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

/* Returns by how many admissions the worst time span exceeds rate and burst;
 * negative: it stays below.  Admissions are recorded up to slack_us late. */
static int64_t
worst_excess(const Load *l, uint64_t slack_us)
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

/* Sends a request of the team to an entry instance. */
static void
send_request(Load *l, uint32_t entry)
{
    uint64_t id = system_call(l->s, entry, "/v1/s0/list", "key-of-crews-0001",
                              NULL, NULL, "{\"args\":{\"v\":\"x\"}}");
    l->requests++;
    g_array_append_val(l->open, id);
}

/* Starts a system with a team; rate is in requests per second. */
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

/* Starts a system with a team of rate kRate and burst kBurst. */
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
failures_admit_no_more_than_rate_and_burst(void)
{
    for (uint32_t seed = 1; seed <= 4; seed++) {
        Load l = load_new(seed);
        GRand *rand = l.s->control->rand;
        for (uint32_t ms = 0; ms < 20000; ms += 5) {
            /* 400 requests/s, ten times the rate, through random instances. */
            for (int i = 0; i < 2; i++) {
                send_request(&l, (uint32_t)g_rand_int_range(rand, 0, 6));
            }
            if (ms % 2500 == 0) {
                uint32_t entry = (uint32_t)g_rand_int_range(rand, 0, 6);
                if (l.s->entries[entry].core == NULL) {
                    system_entry_start(l.s, entry);
                }
                else if (g_rand_boolean(rand)) {
                    system_entry_crash(l.s, entry);
                }
                else {
                    l.s->entries[entry].partitioned =
                        !l.s->entries[entry].partitioned;
                }
            }
            system_run(l.s, 5000);
            collect_answers(&l);
        }
        CU_ASSERT(l.admitted->len > kBurst);
        CU_ASSERT(worst_excess(&l, 5000) <= 0);
        load_free(&l);
    }
}

static void
a_former_shard_owner_does_not_exceed_the_limit(void)
{
    /* Entry instance 3 takes over the shards of the crashed instance 0.
     * Instance 0 returns while instance 3 receives nothing from the control
     * instances, but still holds its lease and counts itself the owner. */
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
                send_request(&l, i);
            }
            system_run(l.s, 5000);
            collect_answers(&l);
        }
        CU_ASSERT(worst_excess(&l, 5000) <= 0);
        load_free(&l);
    }
}

static void
expired_tokens_are_not_used(void)
{
    /* At this rate and burst a token is valid for 30 ms.  The messages of the
     * first 4 ms of every 300 ms are delayed by 80 ms, so expired tokens
     * arrive together with new ones of shards that have refilled meanwhile. */
    for (uint32_t seed = 40; seed < 44; seed++) {
        Load l = load_with_rate(seed, 400, 24);
        for (uint32_t ms = 0; ms < 6000; ms += 1) {
            l.s->delay_us = ms % 300 < 4 ? 80000 : 200;
            for (uint32_t i = 0; i < 6; i++) {
                send_request(&l, i);
            }
            system_run(l.s, 1000);
            collect_answers(&l);
        }
        CU_ASSERT(worst_excess(&l, 1000) <= 0);
        load_free(&l);
    }
}

static void
a_team_can_use_its_whole_rate_through_one_instance(void)
{
    Load l = load_new(9);
    /* Nine tenths of the rate, evenly spaced, through one instance. */
    for (uint32_t ms = 0; ms < 10000; ms += 28) {
        send_request(&l, 4);
        system_run(l.s, 28000);
        collect_answers(&l);
    }
    CU_ASSERT_EQUAL(l.refused, 0);
    CU_ASSERT_EQUAL(l.requests, l.admitted->len);
    load_free(&l);
}

static void
the_whole_burst_is_available_at_once(void)
{
    Load l = load_new(10);
    /* The shards hold back what the rate adds during a token's lifetime. */
    uint32_t held_back = kRate / 10 + 3;
    for (uint32_t i = 0; i < kBurst - held_back; i++) {
        send_request(&l, 2);
    }
    system_run(l.s, 200000);
    collect_answers(&l);
    CU_ASSERT_EQUAL(l.refused, 0);
    load_free(&l);
}

static void
a_crashed_shard_owner_causes_no_refusals_within_the_rate(void)
{
    Load l = load_new(11);
    for (uint32_t ms = 0; ms < 12000; ms += 60) {
        if (ms == 3000) {
            system_entry_crash(l.s, 1);
        }
        if (ms == 6000) {
            system_entry_crash(l.s, 3);
        }
        /* 16 requests/s of 40: the shards with a live owner suffice. */
        send_request(&l, 5);
        system_run(l.s, 60000);
        collect_answers(&l);
    }
    CU_ASSERT_EQUAL(l.refused, 0);
    load_free(&l);
}

/* Guards against a new team that gets nothing of its rate for the 4 s in which
 * a new shard owner waits for a previous one, and against too many admissions
 * if instances leave and join while the team is created. */
static void
a_new_team_is_served_at_once(void)
{
    for (uint32_t seed = 50; seed < 56; seed++) {
        gboolean faults = seed > 50;
        Load l = {.s = system_new(6, 1, seed), .rate = 400, .burst = 24};
        l.admitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        l.open = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        if (faults) {
            system_entry_crash(l.s, seed % 6);
            system_run(l.s, 5000000);
            system_entry_start(l.s, seed % 6);
        }
        /* A change of the failure domains changes owners. */
        system_apply(l.s, "[{\"key\":\"fleet/main\",\"spec\":"
                          "{\"failure_domains\":[\"d0\",\"d1\",\"d2\"]}}]");
        system_add_team(l.s, "crews", 400, 24, "key-of-crews-0001");
        system_run(l.s, 200000);
        for (uint32_t ms = 0; ms < 6000; ms += 5) {
            if (faults && ms == 600) {
                system_entry_crash(l.s, (seed + 1) % 6);
            }
            if (faults && ms == 2000) {
                l.s->entries[(seed + 2) % 6].partitioned = TRUE;
                system_entry_start(l.s, (seed + 1) % 6);
            }
            for (uint32_t i = 0; i < 6 && (faults || ms % 500 == 0); i++) {
                send_request(&l, i);
            }
            system_run(l.s, 5000);
            collect_answers(&l);
        }
        CU_ASSERT(l.admitted->len > 24);
        CU_ASSERT(faults || l.refused == 0);
        CU_ASSERT(worst_excess(&l, 5000) <= 0);
        load_free(&l);
    }
}

void
add_limiter_suite(void)
{
    CU_pSuite s = CU_add_suite("limiter", NULL, NULL);
    CU_add_test(s, "failures admit no more than rate and burst",
                failures_admit_no_more_than_rate_and_burst);
    CU_add_test(s, "a former shard owner does not exceed the limit",
                a_former_shard_owner_does_not_exceed_the_limit);
    CU_add_test(s, "expired tokens are not used", expired_tokens_are_not_used);
    CU_add_test(s, "a team can use its whole rate through one instance",
                a_team_can_use_its_whole_rate_through_one_instance);
    CU_add_test(s, "the whole burst is available at once",
                the_whole_burst_is_available_at_once);
    CU_add_test(s, "a crashed shard owner causes no refusals within the rate",
                a_crashed_shard_owner_causes_no_refusals_within_the_rate);
    CU_add_test(s, "a new team is served at once",
                a_new_team_is_served_at_once);
}
