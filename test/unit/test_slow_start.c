#include <stdlib.h>
#include <string.h>

#include "fleet/directory.h"
#include "platform/codec.h"
#include "policy/slow_start.h"
#include "suite.h"

/* Replays of cold servers that return under a burst.  Guards against more
 * arrivals at a cold server within any second than operators allow (limit x
 * 1.5 + 5), also where a link queues requests or a process stalls. */

enum {
    kUsPerMs = 1000,
    kUsPerS = 1000000,
    kReplayMs = 30000,
    kDirectMax = 134,
    kInFlightMax = 256,
    kStallMs = 450, /* of a link, in every three seconds */
};

/* A batch on its way. */
typedef struct {
    uint64_t arrive_us;
    uint64_t answer_us;
    uint32_t cost;
} Batch;

/* An instance that always has work for the server. */
typedef struct {
    SlowStartShare share;
    SlowStartWindow window;
    Batch under_way[kInFlightMax];
    uint32_t count;
    uint64_t start_us; /* sends nothing before */
    uint64_t stop_us;  /* sends nothing from then on */
    uint64_t link_free_us;
    uint64_t stalls_us; /* shifts the stalls of its link and process */
} Sender;

typedef struct {
    GRand *rand;
    GArray *arrivals_us; /* uint64_t */
    gboolean by_sending; /* requests count only from their sending */
} Replay;

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return (x > y) - (x < y);
}

/* Returns the highest number of arrivals within one second. */
static uint32_t
max_in_a_second(GArray *times_us)
{
    uint32_t most = 0;
    guint first = 0;

    qsort(times_us->data, times_us->len, sizeof(uint64_t), compare_times);
    for (guint i = 0; i < times_us->len; i++) {
        uint64_t at_us = g_array_index(times_us, uint64_t, i);
        while (g_array_index(times_us, uint64_t, first) + kUsPerS <= at_us) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

/* Sends a batch.  The link passes batches in order and holds all of them up
 * for kStallMs every three seconds. */
static void
replay_send(Replay *r, Sender *s, uint64_t now_us, uint32_t cost)
{
    uint64_t pass_us = MAX(now_us + 1400, s->link_free_us);
    uint64_t in_cycle_us = (pass_us + s->stalls_us) % (3 * kUsPerS);

    if (in_cycle_us < kStallMs * kUsPerMs) {
        pass_us += kStallMs * kUsPerMs - in_cycle_us;
    }
    s->link_free_us = pass_us;
    slow_start_sent(&s->window, now_us, &s->share, cost);
    for (uint32_t i = 0; i < cost; i++) {
        g_array_append_val(r->arrivals_us, pass_us);
    }
    if (r->by_sending) {
        slow_start_answered(&s->window, now_us, &s->share, cost);
        return;
    }
    uint64_t took_us = (uint64_t)g_rand_int_range(r->rand, 5, 60) * kUsPerMs;
    s->under_way[s->count++] = (Batch){pass_us, pass_us + took_us, cost};
}

/* Handles answers, then sends all that the share allows.  The process stands
 * still for 400 ms of every 2.5 s. */
static void
replay_step(Replay *r, Sender *s, uint64_t now_us)
{
    if ((now_us + s->stalls_us) % (2500 * kUsPerMs) < 400 * kUsPerMs) {
        return;
    }
    for (uint32_t i = s->count; i > 0; i--) {
        if (s->under_way[i - 1].answer_us <= now_us) {
            slow_start_answered(&s->window, now_us, &s->share,
                                s->under_way[i - 1].cost);
            s->under_way[i - 1] = s->under_way[--s->count];
        }
    }
    if (now_us < s->start_us || now_us >= s->stop_us) {
        return;
    }
    uint32_t cost = (uint32_t)g_rand_int_range(r->rand, 1, 4);
    while (s->count < kInFlightMax &&
           slow_start_wait_us(&s->window, now_us, &s->share, cost) == 0) {
        replay_send(r, s, now_us, cost);
        cost = (uint32_t)g_rand_int_range(r->rand, 1, 4);
    }
}

/* Replays a server with a limit and direct instances beside two owners, of
 * which the second replaces the first at half time after a pause with a zero
 * budget.  Returns the highest number of arrivals within a second. */
static uint32_t
replay_run(uint32_t limit, uint32_t direct, gboolean by_sending,
           uint32_t *total)
{
    Sender *senders = g_new0(Sender, kDirectMax + 2);
    Replay r = {.rand = g_rand_new_with_seed(limit + direct),
                .arrivals_us = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
                .by_sending = by_sending};
    uint64_t milli = (uint64_t)limit * 1000;
    const uint64_t change_us = (5000 + kReplayMs / 2) * (uint64_t)kUsPerMs;

    for (uint32_t i = 0; i < 2; i++) {
        senders[i].share = slow_start_owner_share(milli);
        senders[i].start_us = i == 0 ? 0 : change_us + kSlowStartOwnerPauseUs;
        senders[i].stop_us = i == 0 ? change_us : UINT64_MAX;
    }
    for (uint32_t i = 0; i < direct; i++) {
        senders[2 + i].share = slow_start_direct_share(
            milli, direct, g_rand_int(r.rand) * 977ULL);
        senders[2 + i].stalls_us = g_rand_int(r.rand);
        senders[2 + i].stop_us = UINT64_MAX;
    }
    for (uint64_t ms = 5000; ms < 5000 + kReplayMs; ms++) {
        for (uint32_t i = 0; i < direct + 2; i++) {
            replay_step(&r, &senders[i], ms * kUsPerMs);
        }
    }
    uint32_t most = max_in_a_second(r.arrivals_us);
    *total = r.arrivals_us->len;
    g_array_unref(r.arrivals_us);
    g_rand_free(r.rand);
    g_free(senders);
    return most;
}

static void
a_cold_server_gets_no_burst(void)
{
    static const struct {
        uint32_t limit;
        uint32_t direct;
    } cases[] = {{1, 0},  {2, 8},    {10, 0},   {10, 8},    {10, 134},
                 {40, 8}, {40, 134}, {100, 24}, {100, 134}, {500, 134}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint32_t total;
        uint32_t most =
            replay_run(cases[i].limit, cases[i].direct, FALSE, &total);
        uint32_t bound = cases[i].limit * 3 / 2 + 5;
        if (most > bound) {
            printf("\n    limit %u, %u direct: %u > %u in a second\n",
                   cases[i].limit, cases[i].direct, most, bound);
        }
        CU_ASSERT(most <= bound);
        CU_ASSERT(total > 0);
    }
}

/* Shows that the replay notices a pace of sending alone. */
static void
a_pace_of_sending_is_not_enough(void)
{
    uint32_t total;
    CU_ASSERT(replay_run(100, 24, TRUE, &total) > 155);
}

/* Guards against a budget that needs no queue on a link to be unused. */
static void
most_of_the_limit_is_used(void)
{
    SlowStartShare share = slow_start_owner_share(100000);
    SlowStartWindow w = {0};
    uint32_t sent = 0;

    for (uint64_t now_us = kUsPerS; now_us < 11ULL * kUsPerS; now_us += 1000) {
        if (slow_start_wait_us(&w, now_us, &share, 1) == 0) {
            slow_start_sent(&w, now_us, &share, 1);
            slow_start_answered(&w, now_us, &share, 1);
            sent++;
        }
    }
    CU_ASSERT(sent >= 10 * 66);
    CU_ASSERT(sent <= 10 * 70);
}

static void
reports_decide_how_long_a_server_is_cold(void)
{
    static const struct {
        SlowStartRun run;
        uint64_t cold_start_ms;
        uint64_t until_ms;
    } cases[] = {
        /* No report states it: from when the run was seen. */
        {{1000, FALSE, 0, 0, 0, 0}, 5000, 6000},
        {{1000, FALSE, 0, 0, 0, 0}, 0, 0},
        /* A report replaces that, with a margin for its delay. */
        {{1000, TRUE, 1500, 3000, 0, 0}, 5000, 3250},
        {{1000, TRUE, 1500, 0, 0, 0}, 5000, 0},
        {{1000, TRUE, 1500, 3000, 0, 0}, 0, 3250},
        /* A restored domain is cold until a later report. */
        {{1000, TRUE, 1500, 0, 0, 9000}, 5000, 14000},
        {{1000, TRUE, 9500, 0, 0, 9000}, 5000, 0},
        {{1000, FALSE, 0, 0, 0, 9000}, 5000, 14000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SlowStartRun run = cases[i].run;
        run.seen_us *= kUsPerMs;
        run.reported_us *= kUsPerMs;
        run.reported_until_us *= kUsPerMs;
        run.restored_us *= kUsPerMs;
        CU_ASSERT_EQUAL(
            slow_start_cold_until_us(&run, cases[i].cold_start_ms * kUsPerMs),
            cases[i].until_ms * kUsPerMs);
    }
}

static void
the_rate_doubles_after_the_cold_period(void)
{
    static const struct {
        uint64_t limit_milli;
        uint64_t cold_until_ms;
        uint64_t now_ms;
        uint64_t allowed_milli;
        uint32_t weight_milli;
    } cases[] = {
        {0, 9000, 1000, SLOW_START_UNLIMITED, 1000},
        {10000, 0, 1000, SLOW_START_UNLIMITED, 1000},
        {10000, 9000, 8999, 10000, 50},
        {10000, 9000, 9000, 10000, 50},
        {10000, 9000, 9500, 15000, 75},
        {10000, 9000, 10000, 20000, 100},
        {10000, 9000, 12000, 80000, 400},
        {10000, 9000, 14000, 320000, 1000},
        {10000, 9000, 15000, SLOW_START_UNLIMITED, 1000},
    };
    const uint64_t capacity_milli = 200000;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t allowed_milli = slow_start_allowed_milli(
            cases[i].limit_milli, cases[i].cold_until_ms * kUsPerMs,
            cases[i].now_ms * kUsPerMs, capacity_milli);
        CU_ASSERT_EQUAL(allowed_milli, cases[i].allowed_milli);
        CU_ASSERT_EQUAL(slow_start_weight_milli(allowed_milli, capacity_milli),
                        cases[i].weight_milli);
    }
}

static void
a_batch_above_the_share_is_never_sent(void)
{
    static const struct {
        uint32_t limit_milli;
        uint32_t instances; /* zero: the owner */
        uint32_t cost;
        gboolean possible;
    } cases[] = {
        {1000, 0, 1, TRUE},    {1000, 0, 4, TRUE},     {1000, 0, 5, FALSE},
        {100000, 0, 73, TRUE}, {100000, 0, 74, FALSE}, {1000, 134, 3, TRUE},
        {1000, 134, 4, FALSE}, {100000, 8, 4, TRUE},   {100000, 8, 5, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SlowStartWindow w = {0};
        SlowStartShare share =
            cases[i].instances == 0
                ? slow_start_owner_share(cases[i].limit_milli)
                : slow_start_direct_share(cases[i].limit_milli,
                                          cases[i].instances, 0);
        CU_ASSERT_EQUAL(slow_start_wait_us(&w, kUsPerS, &share,
                                           cases[i].cost) != UINT64_MAX,
                        cases[i].possible);
    }
}

static void
owners_pause_and_need_a_lease(void)
{
    static const struct {
        SlowStartOwner owner; /* in milliseconds */
        uint64_t now_ms;
        gboolean is_owner;
        uint64_t pause_ms;
    } cases[] = {
        {{0, 1000, 9000}, 5000, FALSE, 0},
        {{4000, 1000, 9000}, 4100, TRUE, 1400},
        {{4000, 1000, 9000}, 5500, TRUE, 0},
        {{4000, 5000, 9000}, 5500, TRUE, 1000},
        {{4000, 1000, 9000}, 9000, FALSE, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SlowStartOwner owner = {cases[i].owner.named_us * kUsPerMs,
                                cases[i].owner.leased_us * kUsPerMs,
                                cases[i].owner.lease_until_us * kUsPerMs};
        uint64_t now_us = cases[i].now_ms * kUsPerMs;
        CU_ASSERT_EQUAL(slow_start_is_owner(&owner, now_us),
                        cases[i].is_owner);
        if (cases[i].is_owner) {
            CU_ASSERT_EQUAL(slow_start_owner_pause_us(&owner, now_us),
                            cases[i].pause_ms * kUsPerMs);
        }
    }
}

/* Guards against values that would keep a server cold for ever or break the
 * server's reports, and against a report without the field read as warm. */
static void
settings_and_reports_are_parsed(void)
{
    static const struct {
        const char *field; /* of a report */
        gboolean valid;
        gboolean stated;
        uint64_t left_ms;
    } reports[] = {
        {"", TRUE, FALSE, 0},
        {",\"cold-left-ms\":null", TRUE, FALSE, 0},
        {",\"cold-left-ms\":0", TRUE, TRUE, 0},
        {",\"cold-left-ms\":4200", TRUE, TRUE, 4200},
        {",\"cold-left-ms\":1.5", TRUE, TRUE, 1},
        {",\"cold-left-ms\":-1", FALSE, FALSE, 0},
        {",\"cold-left-ms\":1e300", FALSE, FALSE, 0},
        {",\"cold-left-ms\":\"4200\"", FALSE, FALSE, 0},
    };
    static const char document[] =
        "{\"version\":1,\"routes\":[],\"services\":["
        "{\"name\":\"a\",\"cold-start-s\":2.5,\"cold-per-s\":0.5},"
        "{\"name\":\"b\"}]}";

    for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
        char *text = g_strdup_printf(
            "{\"service\":\"a\",\"addr\":\"127.0.0.1:80\",\"zone\":\"z\","
            "\"sequence\":1,\"slots\":4,\"state\":\"ready\","
            "\"db-role\":\"primary\"%s}",
            reports[i].field);
        Sw__ServerRecord *r =
            codec_parse_server_report("a-1", text, strlen(text), 1000);
        CU_ASSERT_EQUAL(r != NULL, reports[i].valid);
        if (r != NULL) {
            CU_ASSERT_EQUAL(r->cold_case ==
                                SW__SERVER_RECORD__COLD_COLD_LEFT_MS,
                            reports[i].stated);
            CU_ASSERT_EQUAL(r->cold_left_ms, reports[i].left_ms);
            sw__server_record__free_unpacked(r, NULL);
        }
        g_free(text);
    }
    Document *d = codec_parse_document(document, strlen(document), NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    CU_ASSERT(d->limits_cold_servers);
    CU_ASSERT_EQUAL(document_database(d, "a")->cold_start_us, 2500000);
    CU_ASSERT_EQUAL(document_database(d, "a")->cold_milli_per_s, 500);
    CU_ASSERT_EQUAL(document_database(d, "b")->cold_milli_per_s, 0);
    document_unref(d);
}

/* Guards against a time left that does not pass while the directory holds it,
 * and against one from the replicated log, where it has no reference. */
static void
the_directory_subtracts_the_time_it_held_a_record(void)
{
    static const struct {
        uint64_t now_ms; /* zero: from the replicated log */
        int64_t born_ms;
        gboolean stated;
        uint64_t left_ms;
        gboolean changes; /* entry instances are notified */
        gboolean known;   /* a second later */
        uint64_t left_then_ms;
    } steps[] = {
        {10000, 1, TRUE, 5000, TRUE, TRUE, 4000},
        {11000, 1, TRUE, 4000, FALSE, TRUE, 3000},
        {12000, 1, TRUE, 6000, TRUE, TRUE, 5000},
        {0, 1, FALSE, 0, FALSE, TRUE, 4000},
        {14000, 1, TRUE, 0, TRUE, TRUE, 0},
        {15000, 1, FALSE, 0, TRUE, FALSE, 0},
        {16000, 2, TRUE, 9000, TRUE, TRUE, 8000},
        {0, 3, TRUE, 9000, TRUE, FALSE, 0},
    };
    char id[] = "a-1";
    char address[] = "127.0.0.1:80";
    Directory d;

    directory_init(&d);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
        Sw__ServerRecord out;
        uint64_t old_revision = d.revision;
        uint64_t at_us =
            (i == 3 ? 13000 : MAX(steps[i].now_ms, 10000)) * kUsPerMs;
        r.id = id;
        r.address = address;
        r.born_ms = steps[i].born_ms;
        r.sequence = i + 1;
        r.cold_case = steps[i].stated ? SW__SERVER_RECORD__COLD_COLD_LEFT_MS
                                      : SW__SERVER_RECORD__COLD__NOT_SET;
        r.cold_left_ms = steps[i].left_ms;
        directory_apply_report(&d, steps[i].now_ms * kUsPerMs, &r);
        CU_ASSERT_EQUAL(d.revision != old_revision, steps[i].changes);
        directory_fill_record(directory_find(&d, id), at_us + kUsPerS, &out);
        CU_ASSERT_EQUAL(out.cold_case == SW__SERVER_RECORD__COLD_COLD_LEFT_MS,
                        steps[i].known);
        CU_ASSERT_EQUAL(out.cold_left_ms, steps[i].left_then_ms);
        directory_fill_record(directory_find(&d, id), 0, &out);
        CU_ASSERT_EQUAL(out.cold_case, SW__SERVER_RECORD__COLD__NOT_SET);
    }
    directory_clear(&d);
}

/* Guards against first connections that count as known runs without a report,
 * and against a request for each answer. */
static void
first_connections_need_a_report(void)
{
    static const struct {
        uint64_t answered_ms; /* zero: never */
        uint64_t opened_ms;
        uint64_t ready_ms;
        gboolean may_be_new;
        gboolean asks;
    } cases[] = {
        {0, 5000, 5010, TRUE, TRUE},      {3999, 5000, 5010, TRUE, TRUE},
        {4000, 5000, 5010, FALSE, FALSE}, {0, 5000, 6499, TRUE, TRUE},
        {0, 5000, 6500, FALSE, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SlowStartRun run = {.seen_us = kUsPerMs};
        SlowStartContact contact = {cases[i].answered_ms * kUsPerMs, 0, FALSE};
        uint64_t ready_us = cases[i].ready_ms * kUsPerMs;
        CU_ASSERT_EQUAL(
            slow_start_opened(&contact, cases[i].opened_ms * kUsPerMs),
            cases[i].answered_ms == 0 || cases[i].may_be_new);
        CU_ASSERT_EQUAL(
            slow_start_may_be_new(&run, &contact, ready_us, kUsPerS),
            cases[i].may_be_new);
        CU_ASSERT(!slow_start_may_be_new(&run, &contact, ready_us, 0));
        CU_ASSERT_EQUAL(slow_start_contact(&contact, ready_us), cases[i].asks);
        contact.asked = TRUE;
        CU_ASSERT(!slow_start_contact(&contact, ready_us));
    }
}

/* Guards against a report from before the request that counts as later. */
static void
only_later_reports_answer(void)
{
    static const struct {
        SlowStartKnown known;
        gboolean answers;
    } cases[] = {
        {{7, 20, FALSE, FALSE}, FALSE}, {{7, 21, FALSE, FALSE}, TRUE},
        {{7, 20, TRUE, FALSE}, TRUE},   {{7, 20, FALSE, TRUE}, TRUE},
        {{8, 1, FALSE, FALSE}, TRUE},   {{6, 30, TRUE, TRUE}, FALSE},
    };
    SlowStartKnown asked = {.born_ms = 7, .sequence = 20};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(slow_start_answers(&cases[i].known, &asked),
                        cases[i].answers);
    }
}

void
add_slow_start_suite(void)
{
    CU_pSuite s = CU_add_suite("slow start", NULL, NULL);

    CU_add_test(s, "a cold server gets no burst", a_cold_server_gets_no_burst);
    CU_add_test(s, "a pace of sending is not enough",
                a_pace_of_sending_is_not_enough);
    CU_add_test(s, "most of the limit is used", most_of_the_limit_is_used);
    CU_add_test(s, "reports decide how long a server is cold",
                reports_decide_how_long_a_server_is_cold);
    CU_add_test(s, "the rate doubles after the cold period",
                the_rate_doubles_after_the_cold_period);
    CU_add_test(s, "a batch above the share is never sent",
                a_batch_above_the_share_is_never_sent);
    CU_add_test(s, "owners pause and need a lease",
                owners_pause_and_need_a_lease);
    CU_add_test(s, "first connections need a report",
                first_connections_need_a_report);
    CU_add_test(s, "only later reports answer", only_later_reports_answer);
    CU_add_test(s, "settings and reports are parsed",
                settings_and_reports_are_parsed);
    CU_add_test(s, "the directory subtracts the time it held a record",
                the_directory_subtracts_the_time_it_held_a_record);
}
