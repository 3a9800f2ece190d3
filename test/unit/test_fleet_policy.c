#include <string.h>

#include "core/voter_policy.h"
#include "fleet/directory.h"
#include "fleet/document_delta.h"
#include "fleet/owners.h"
#include "policy/rate_window.h"
#include "policy/share.h"
#include "policy/succession.h"
#include "policy/suspect.h"
#include "suite.h"

/* The functions behind the decisions of control instances, each tested without
 * a director, and the rate window. */

enum { kUsPerMs = 1000 };

/* 66 entry instances and 24 servers in three failure domains.  No instance
 * owns two servers, and the order of the list makes no difference.  The
 * removal of an instance gives at most two servers besides its own another
 * owner. */
static void
owners_are_spread_and_stable(void)
{
    enum { kEntries = 66, kServers = 24 };
    static const char *const domains[] = {"a", "b", "c"};
    OwnedServer servers[kServers];
    OwnedServer reassigned[kServers];
    char server_ids[kServers][16];
    char id[16];
    uint32_t moved = 0;

    EntryList *list = entry_list_new();
    EntryList *reversed = entry_list_new();
    for (int i = 0; i < kEntries; i++) {
        g_snprintf(id, sizeof(id), "e%d", i);
        entry_list_add(list, id, domains[i % 3]);
        g_snprintf(id, sizeof(id), "e%d", kEntries - 1 - i);
        entry_list_add(reversed, id, domains[(kEntries - 1 - i) % 3]);
    }
    CU_ASSERT_EQUAL(list->hash, reversed->hash);
    for (int i = 0; i < kServers; i++) {
        g_snprintf(server_ids[i], sizeof(server_ids[i]), "s%d", i);
        servers[i] = (OwnedServer){server_ids[i], domains[i % 3], NULL};
        reassigned[i] = servers[i];
    }
    owners_assign(list, servers, kServers);
    owners_assign(reversed, reassigned, kServers);
    for (int i = 0; i < kServers; i++) {
        CU_ASSERT_STRING_EQUAL(servers[i].owner, reassigned[i].owner);
        for (int k = 0; k < i; k++) {
            CU_ASSERT_STRING_NOT_EQUAL(servers[i].owner, servers[k].owner);
        }
    }
    EntryList *remaining = entry_list_new();
    for (int i = 0; i < kEntries; i++) {
        g_snprintf(id, sizeof(id), "e%d", i);
        if (strcmp(id, servers[0].owner) != 0) {
            entry_list_add(remaining, id, domains[i % 3]);
        }
    }
    owners_assign(remaining, reassigned, kServers);
    for (int i = 0; i < kServers; i++) {
        moved += strcmp(servers[i].owner, reassigned[i].owner) != 0;
    }
    CU_ASSERT(moved >= 1 && moved <= 3);
    entry_list_free(remaining);
    entry_list_free(reversed);
    entry_list_free(list);
}

/* Returns a document with the given number of objects. */
static GBytes *
random_document(GRand *rand, uint32_t version, uint32_t objects)
{
    GString *s = g_string_new(NULL);

    g_string_append_printf(s, "{\"version\":%u,\"routes\":[", version);
    for (uint32_t i = 0; i < objects; i++) {
        /* One object in 20 carries the version, the others stay equal. */
        uint32_t value = g_rand_int_range(rand, 0, 20) == 0 ? version : 7;
        g_string_append_printf(
            s, "%s{\"name\":\"r-%u\",\"host\":\"h%u.example\",\"ms\":%u}",
            i == 0 ? "" : ",", i, i, value);
    }
    g_string_append(s, "]}");
    return g_string_free_to_bytes(s);
}

static void
a_delta_restores_the_document(void)
{
    GRand *rand = g_rand_new_with_seed(5);

    for (uint32_t run = 0; run < 200; run++) {
        uint32_t objects = (uint32_t)g_rand_int_range(rand, 0, 120);
        GBytes *a = random_document(rand, run, objects);
        GBytes *b = random_document(
            rand, run + 1, objects + (uint32_t)g_rand_int_range(rand, 0, 3));
        Sw__DocumentUpdate *m = document_delta(a, run + 1, b, run + 2);
        GBytes *restored = document_delta_apply(a, m);
        CU_ASSERT(restored != NULL && g_bytes_equal(restored, b));
        /* About a tenth of the objects differ; in a delta, their text can take
         * up to twice its size. */
        CU_ASSERT(objects < 40 || sw__document_update__get_packed_size(m) * 2 <
                                      g_bytes_get_size(b));
        g_bytes_unref(restored);
        /* Parts that lie beyond the end of the base are rejected, not read. */
        GBytes *short_base = g_bytes_new("{", 1);
        restored = document_delta_apply(short_base, m);
        CU_ASSERT(restored == NULL || !g_bytes_equal(restored, b) ||
                  objects < 3);
        g_clear_pointer(&restored, g_bytes_unref);
        g_bytes_unref(short_base);
        sw__document_update__free_unpacked(m, NULL);
        g_bytes_unref(a);
        g_bytes_unref(b);
    }
    g_rand_free(rand);
}

static void
the_next_primary_holds_all_acknowledged_commits(void)
{
    enum { kNone = kSuccessionWait }; /* no replica may be promoted yet */
    static const struct {
        const char *name;
        SuccessionReplica replicas[3];
        size_t count;
        SuccessionRequirement required;
        int chosen;
    } cases[] = {
        /* replicas: answered, log_is_final, excluded, log; required:
         * sync_replicas, acknowledged_known, acknowledged,
         * acknowledged_earlier */
        {"no replica answered", {{0}, {0}}, 2, {0}, kNone},
        {"the only one that answered, no synchronous replicas",
         {{TRUE, FALSE, FALSE, {1, 4}}, {0}},
         2,
         {0},
         0},
        {"the longest log",
         {{TRUE, FALSE, FALSE, {1, 4}}, {TRUE, FALSE, FALSE, {1, 9}}},
         2,
         {0},
         1},
        {"a newer term precedes a longer log",
         {{TRUE, FALSE, FALSE, {2, 4}}, {TRUE, FALSE, FALSE, {1, 9}}},
         2,
         {0},
         0},
        {"not an excluded replica",
         {{TRUE, FALSE, FALSE, {1, 4}}, {TRUE, FALSE, TRUE, {1, 9}}},
         2,
         {0},
         0},
        {"the one that answered may lack a commit of the other",
         {{TRUE, TRUE, FALSE, {1, 4}}, {0}},
         2,
         {1, FALSE, {0}, {0}},
         kNone},
        {"both answered",
         {{TRUE, TRUE, FALSE, {1, 4}}, {TRUE, TRUE, FALSE, {1, 9}}},
         2,
         {1, FALSE, {0}, {0}},
         1},
        {"one was queried before the last acknowledgement",
         {{TRUE, TRUE, FALSE, {1, 4}}, {TRUE, FALSE, FALSE, {1, 9}}},
         2,
         {1, FALSE, {0}, {0}},
         kNone},
        {"it holds the newest acknowledged commit",
         {{TRUE, TRUE, FALSE, {1, 9}}, {0}},
         2,
         {1, TRUE, {1, 9}, {0}},
         0},
        {"it lacks acknowledged commits",
         {{TRUE, TRUE, FALSE, {1, 8}}, {0}},
         2,
         {1, TRUE, {1, 9}, {0}},
         kNone},
        {"two of three suffice if two store each commit",
         {{TRUE, TRUE, FALSE, {1, 8}}, {TRUE, TRUE, FALSE, {1, 9}}, {0}},
         3,
         {2, FALSE, {0}, {0}},
         1},
        {"it lacks commits of an earlier epoch, and this one has none",
         {{TRUE, TRUE, FALSE, {1, 4}}, {0}},
         2,
         {1, TRUE, {0}, {1, 9}},
         kNone},
        {"all answered, but all lack commits of an earlier epoch",
         {{TRUE, TRUE, FALSE, {1, 4}}, {TRUE, TRUE, FALSE, {1, 3}}},
         2,
         {1, FALSE, {0}, {1, 9}},
         kNone},
        {"it holds the commits of an earlier epoch, and this one has none",
         {{TRUE, TRUE, FALSE, {1, 9}}, {0}},
         2,
         {1, TRUE, {1, 9}, {1, 9}},
         0},
        {"it has followed the old primary",
         {{TRUE, TRUE, FALSE, {2, 9}}, {TRUE, TRUE, FALSE, {1, 4}}},
         2,
         {1, FALSE, {0}, {1, 9}},
         0},
        {"without synchronous replicas an earlier epoch does not count",
         {{TRUE, FALSE, FALSE, {1, 4}}, {0}},
         2,
         {0, TRUE, {0}, {1, 9}},
         0},
        {"an excluded replica has a longer log",
         {{TRUE, TRUE, FALSE, {1, 8}}, {TRUE, TRUE, TRUE, {1, 9}}},
         2,
         {1, FALSE, {0}, {0}},
         kNone},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int chosen = succession_choose(cases[i].replicas, cases[i].count,
                                       &cases[i].required);
        if (chosen != cases[i].chosen) {
            g_print("\n%s: %d\n", cases[i].name, chosen);
        }
        CU_ASSERT_EQUAL(chosen, cases[i].chosen);
    }
}

static void
a_primary_is_suspected_by_the_reports_of_instances(void)
{
    static const struct {
        SuspectEvidence evidence[4];
        size_t count;
        SuspectVerdict verdict;
    } cases[] = {
        {{{0, 0, 0, 0}}, 0, kSuspectNone},
        /* One instance gets no answer, but another does. */
        {{{FALSE, 5000 * kUsPerMs, 0, 0}, {TRUE, 0, 0, 0}}, 2, kSuspectNone},
        {{{FALSE, 400 * kUsPerMs, 0, 0}, {FALSE, 500 * kUsPerMs, 0, 0}},
         2,
         kSuspectDead},
        {{{FALSE, 400 * kUsPerMs, 0, 0}, {FALSE, 100 * kUsPerMs, 0, 0}},
         2,
         kSuspectNone},
        /* The report of a single instance counts only after a longer time. */
        {{{FALSE, 500 * kUsPerMs, 0, 0}}, 1, kSuspectNone},
        {{{FALSE, 900 * kUsPerMs, 0, 0}}, 1, kSuspectDead},
        /* More instances get no answer than get one. */
        {{{FALSE, 900 * kUsPerMs, 0, 0},
          {FALSE, 900 * kUsPerMs, 0, 0},
          {TRUE, 0, 0, 0}},
         3,
         kSuspectPartitioned},
        {{{FALSE, 900 * kUsPerMs, 0, 0},
          {FALSE, 900 * kUsPerMs, 0, 0},
          {TRUE, 0, 0, 0},
          {TRUE, 0, 0, 0}},
         4,
         kSuspectNone},
        /* The third instance had its last answer before the others failed. */
        {{{FALSE, 400 * kUsPerMs, 0, 450 * kUsPerMs},
          {FALSE, 360 * kUsPerMs, 0, 500 * kUsPerMs},
          {TRUE, 0, 600 * kUsPerMs, 0}},
         3,
         kSuspectDead},
        /* It had an answer while the others failed. */
        {{{FALSE, 400 * kUsPerMs, 0, 450 * kUsPerMs},
          {FALSE, 360 * kUsPerMs, 0, 500 * kUsPerMs},
          {TRUE, 0, 100 * kUsPerMs, 0}},
         3,
         kSuspectNone},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(suspect_evaluate(cases[i].evidence, cases[i].count),
                        cases[i].verdict);
    }
}

static void
an_even_voter_is_not_wanted(void)
{
    static const struct {
        uint32_t voters;
        uint32_t members;
        gboolean voter_unresponsive;
        gboolean promotes;
    } cases[] = {
        {3, 3, FALSE, FALSE},
        {3, 4, FALSE, FALSE},
        {3, 5, FALSE, TRUE},
        {4, 5, FALSE, TRUE},
        {7, 8, FALSE, FALSE},
        {6, 8, FALSE, TRUE},
        {2, 3, FALSE, TRUE},
        {1, 2, FALSE, FALSE},
        {0, 0, FALSE, FALSE},
        /* The replacement of a failed voter comes first. */
        {3, 4, TRUE, TRUE},
        {7, 8, TRUE, TRUE},
        {5, 5, TRUE, FALSE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(voter_policy_promote(cases[i].voters, cases[i].members,
                                             cases[i].voter_unresponsive),
                        cases[i].promotes);
    }
}

static void
shares_never_exceed_the_limit(void)
{
    GRand *rand = g_rand_new_with_seed(3);

    for (uint32_t run = 0; run < 500; run++) {
        uint64_t demand[70];
        uint32_t shares[70];
        size_t count = (size_t)g_rand_int_range(rand, 1, 71);
        uint64_t total = 0;
        for (size_t i = 0; i < count; i++) {
            demand[i] = (uint64_t)g_rand_int_range(rand, 0, 50000);
        }
        share_divide(demand, count, shares);
        for (size_t i = 0; i < count; i++) {
            total += shares[i];
        }
        CU_ASSERT(total <= kShareTotalMicro);
    }
    g_rand_free(rand);
}

/* Compares the window with a list of the times at which tokens were taken. */
static void
a_window_never_grants_more_than_its_limit(void)
{
    enum { kTokens = 4000 };
    GRand *rand = g_rand_new_with_seed(9);
    static uint64_t taken_us[kTokens];
    uint32_t count = 0;
    uint64_t now_us = 1000000;
    RateWindow window;

    rate_window_init(&window, now_us, 5000 * kUsPerMs, 132, 0);
    while (count < kTokens - 8) {
        now_us += (uint64_t)g_rand_int_range(rand, 0, 60000);
        uint32_t granted = rate_window_take(
            &window, now_us, (uint32_t)g_rand_int_range(rand, 1, 8), 0);
        for (uint32_t i = 0; i < granted; i++) {
            taken_us[count++] = now_us;
        }
        /* The window of 5 s less the 0.1 s of a slot: the window does not
         * resolve times within a slot. */
        uint32_t within = 0;
        for (uint32_t i = count; i > 0; i--) {
            if (taken_us[i - 1] + 4900 * kUsPerMs < now_us) {
                break;
            }
            within++;
        }
        CU_ASSERT(within <= 132);
    }
    g_rand_free(rand);
}

/* A team that stays within rate and burst in every window is never refused.  A
 * token bucket of the same rate would refuse a fifth of its requests. */
static void
a_team_within_its_limit_is_not_refused(void)
{
    RateWindow window;
    uint32_t refused = 0;

    rate_window_init(&window, 0, 5000 * kUsPerMs, 132, 0);
    for (uint64_t now_us = 0; now_us < 60000000; now_us += 40000) {
        refused += rate_window_take(&window, now_us, 1, 0) == 0;
    }
    CU_ASSERT_EQUAL(refused, 0);
}

/* When a limit is lowered below the tokens already taken, requests must not
 * all be refused until those tokens have left the window. */
static void
a_lowered_limit_still_grants_tokens(void)
{
    RateWindow window;
    uint32_t granted = 0;

    rate_window_init(&window, 0, 5000 * kUsPerMs, 400, 0);
    for (uint64_t now_us = 0; now_us < 5000000; now_us += 15000) {
        rate_window_take(&window, now_us, 1, 0);
    }
    rate_window_set_limit(&window, 130);
    for (uint64_t now_us = 5000000; now_us < 6000000; now_us += 40000) {
        granted += rate_window_take(&window, now_us, 1, 0);
    }
    CU_ASSERT(granted >= 20);
    CU_ASSERT(rate_window_wait_us(&window, 6000000) <= 5000 * kUsPerMs);
}

/* Returns the report of a server of the database orders. */
static Sw__ServerRecord
report(const char *id, int64_t born_ms, uint64_t sequence, const char *address)
{
    Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
    r.id = (char *)id;
    r.database = (char *)"orders";
    r.address = (char *)address;
    r.failure_domain = (char *)"a";
    r.born_ms = born_ms;
    r.sequence = sequence;
    return r;
}

static void
older_reports_change_nothing(void)
{
    static const struct {
        const char *id;
        int64_t born_ms;
        uint64_t sequence;
        const char *address;
        gboolean gone;
        gboolean applied;
    } steps[] = {
        {"i-1", 100, 5, "10.0.0.1:1", FALSE, TRUE},
        {"i-1", 100, 4, "10.0.0.1:1", FALSE, FALSE}, /* older */
        {"i-1", 100, 5, "10.0.0.1:1", FALSE, FALSE}, /* duplicate */
        {"i-1", 200, 1, "10.0.0.1:1", FALSE, TRUE},  /* restarted */
        {"i-1", 100, 9, "10.0.0.1:1", FALSE, FALSE}, /* before restart */
        {"i-2", 300, 1, "10.0.0.1:1", FALSE, TRUE}, /* took over the address */
        {"i-3", 250, 1, "10.0.0.1:1", FALSE, FALSE}, /* earlier holder */
        {"i-2", 300, 1, "10.0.0.1:1", TRUE, TRUE},
        {"i-2", 300, 1, "10.0.0.1:1", TRUE, FALSE},
    };
    Directory d;

    directory_init(&d);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        Sw__ServerRecord r = report(steps[i].id, steps[i].born_ms,
                                    steps[i].sequence, steps[i].address);
        r.gone = steps[i].gone;
        CU_ASSERT_EQUAL(directory_apply_report(&d, i, &r), steps[i].applied);
    }
    CU_ASSERT(directory_find(&d, "i-1")->gone);
    CU_ASSERT(directory_find(&d, "i-2")->gone);
    CU_ASSERT_PTR_NULL(directory_find(&d, "i-3"));
    directory_clear(&d);
}

/* Guards against a confirmation that makes an instance take an older or
 * another record for the present one, and against a role that counts as more
 * recent than it was reported. */
static void
a_confirmed_record_keeps_its_age(void)
{
    static const struct {
        const char *id;
        int64_t born_ms;
        uint64_t sequence;
        gboolean draining; /* in the confirmed record */
        gboolean applied;
    } cases[] = {
        {"i-1", 100, 6, FALSE, TRUE},  {"i-1", 100, 5, FALSE, FALSE},
        {"i-1", 99, 6, FALSE, FALSE},  {"i-1", 101, 6, FALSE, FALSE},
        {"i-2", 100, 6, FALSE, FALSE}, {"i-1", 100, 6, TRUE, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sw__ServerRecord r = report("i-1", 100, 5, "10.0.0.1:1");
        Sw__ServerRecord sent = report(cases[i].id, cases[i].born_ms,
                                       cases[i].sequence, "10.0.0.1:1");
        Sw__ServerSeen seen;
        Directory from;
        Directory to;

        directory_init(&from);
        directory_init(&to);
        sent.draining = cases[i].draining;
        directory_apply_report(&from, 1000000, &sent);
        directory_fill_seen(directory_find(&from, cases[i].id), 1040000,
                            &seen);
        r.age_ms = 10;
        directory_apply_report(&to, 1000000, &r);
        const DirectoryServer *s = directory_find(&to, "i-1");
        CU_ASSERT_EQUAL(s->last_seen_us, 990000);
        uint64_t revision = to.revision;
        CU_ASSERT_EQUAL(directory_apply_seen(&to, 1050000, &seen),
                        cases[i].applied);
        CU_ASSERT_EQUAL(s->last_seen_us, cases[i].applied ? 1010000 : 990000);
        CU_ASSERT_EQUAL(s->sequence, cases[i].applied ? 6 : 5);
        CU_ASSERT_EQUAL(to.revision, revision);
        r.sequence = 7;
        r.age_ms = UINT64_MAX / 1000 + 1; /* would wrap to a recent time */
        CU_ASSERT(directory_apply_report(&to, 2000000, &r));
        CU_ASSERT_EQUAL(s->last_seen_us, 0);
        directory_clear(&to);
        directory_clear(&from);
    }
}

/* A control instance took over the sequence of a draining server's report
 * without the drain, and then ignored it: what the records state was compared
 * by a hash of 32 bits, which those of this address share. */
static void
a_drain_is_not_taken_for_a_confirmation(void)
{
    for (uint32_t flags = 0; flags < 4; flags++) {
        Sw__ServerRecord known = report("i-1", 100, 5, "a7735596895");
        Sw__ServerRecord sent = report("i-1", 100, 6, "a7735596895");
        Sw__ServerSeen seen;
        Directory from;
        Directory to;

        directory_init(&from);
        directory_init(&to);
        known.database = sent.database = "db";
        known.failure_domain = sent.failure_domain = "0";
        known.slots = sent.slots = 3;
        sent.draining = (flags & 1) != 0;
        sent.primary = (flags & 2) != 0;
        directory_apply_report(&to, 1000000, &known);
        directory_apply_report(&from, 1000000, &sent);
        directory_fill_seen(directory_find(&from, "i-1"), 1000000, &seen);
        CU_ASSERT_EQUAL(directory_apply_seen(&to, 1000000, &seen), flags == 0);
        directory_clear(&to);
        directory_clear(&from);
    }
}

/* Guards against a watch that leaves out evidence which states a failure: the
 * verdict of a scan must be the same with and without the watch, at each tick,
 * on evidence that arrives, is confirmed, gets lost and becomes too old. */
static void
a_watch_changes_no_verdict(void)
{
    enum {
        kInstances = 5,
        kTicks = 200000,
        kTickUs = 10000,
        kMaxAgeUs = 800000,
    };
    struct {
        SuspectEvidence last;
        uint64_t received_us;
        uint64_t silent_until_us;
    } instances[kInstances] = {0};
    GRand *rand = g_rand_new_with_seed(11);
    SuspectWatch watch = {0};
    uint32_t verdicts[kSuspectPartitioned + 1] = {0};
    uint32_t scans = 0;
    uint32_t differences = 0;

    for (uint64_t now_us = kMaxAgeUs * 2; now_us < (uint64_t)kTicks * kTickUs;
         now_us += kTickUs) {
        SuspectEvidence list[kInstances];
        size_t count = 0;
        gboolean outage = now_us / 3000000 % 2 == 0;

        for (size_t i = 0; i < kInstances; i++) {
            if (g_rand_int_range(rand, 0, 500) == 0) {
                instances[i].silent_until_us =
                    now_us + (uint64_t)g_rand_int_range(rand, 0, 2000000);
            }
            if (now_us < instances[i].silent_until_us ||
                g_rand_int_range(rand, 0, 25) != 0) {
                continue;
            }
            if (g_rand_int_range(rand, 0, 3) != 0) {
                gboolean fails = outage && g_rand_int_range(rand, 0, 4) != 0;
                instances[i].last = (SuspectEvidence){
                    .answered = !fails || g_rand_boolean(rand),
                    .failing_us =
                        fails ? (uint64_t)g_rand_int_range(rand, 1, 1200000)
                              : 0,
                    .answered_age_us =
                        (uint64_t)g_rand_int_range(rand, 0, 700000)};
            }
            instances[i].received_us = now_us;
            suspect_watch_record(&watch, now_us, instances[i].last.failing_us);
        }
        for (size_t i = 0; i < kInstances; i++) {
            uint64_t age_us = now_us - instances[i].received_us;
            if (instances[i].received_us != 0 && age_us <= kMaxAgeUs) {
                list[count] = instances[i].last;
                list[count].answered_age_us += age_us;
                list[count].failing_age_us = age_us + list[count].failing_us;
                count++;
            }
        }
        SuspectVerdict full = suspect_evaluate(list, count);
        gboolean due = suspect_watch_due(&watch, now_us, kMaxAgeUs);
        scans += due;
        verdicts[full]++;
        differences += (due ? full : kSuspectNone) != full;
    }
    CU_ASSERT_EQUAL(differences, 0);
    CU_ASSERT(verdicts[kSuspectDead] > 1000);
    CU_ASSERT(verdicts[kSuspectPartitioned] > 1000);
    CU_ASSERT(scans < kTicks * 3 / 4);
    g_rand_free(rand);
}

/* Guards against a delay of the changes that end the use of a server, and
 * against those that end none being sent one by one. */
static void
changes_that_end_a_use_are_told_apart(void)
{
    static const struct {
        const char *id;
        int64_t born_ms;
        const char *address;
        gboolean draining;
        gboolean gone;
        gboolean primary;
        gboolean changes;
        gboolean ends;
    } steps[] = {
        {"i-1", 100, "a:1", FALSE, FALSE, FALSE, TRUE, FALSE}, /* new */
        {"i-1", 100, "a:1", FALSE, FALSE, FALSE, FALSE, FALSE},
        {"i-1", 100, "a:1", FALSE, FALSE, TRUE, TRUE, FALSE},
        {"i-1", 100, "a:1", TRUE, FALSE, TRUE, TRUE, TRUE},
        {"i-1", 100, "a:1", FALSE, FALSE, TRUE, TRUE, FALSE},
        {"i-1", 100, "a:2", FALSE, FALSE, TRUE, TRUE, TRUE},
        {"i-1", 200, "a:2", FALSE, FALSE, TRUE, TRUE, TRUE}, /* new run */
        {"i-1", 200, "a:2", FALSE, TRUE, TRUE, TRUE, TRUE},
        {"i-1", 300, "a:2", FALSE, FALSE, TRUE, TRUE, FALSE}, /* returns */
        {"i-2", 400, "a:2", FALSE, FALSE, FALSE, TRUE, TRUE}, /* replaces */
    };
    Directory d;

    directory_init(&d);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        Sw__ServerRecord r =
            report(steps[i].id, steps[i].born_ms, i + 1, steps[i].address);
        uint64_t revision = d.revision;
        r.draining = steps[i].draining;
        r.gone = steps[i].gone;
        r.primary = steps[i].primary;
        CU_ASSERT(directory_apply_report(&d, i + 1, &r));
        CU_ASSERT_EQUAL(d.revision > revision, steps[i].changes);
        CU_ASSERT_EQUAL(d.ended_revision > revision, steps[i].ends);
    }
    directory_clear(&d);
}

enum { kModelIds = 12, kModelAddresses = 5 };

/* A server of the model, whose directory is a list without an index. */
typedef struct {
    gboolean known;
    int64_t born_ms;
    uint64_t sequence;
    uint32_t address;
    gboolean gone;
    uint64_t gone_us;
} ModelServer;

/* Applies a report to the model by a scan of all its servers, by the rules of
 * directory_apply_report.  Returns whether the report counts. */
static gboolean
model_apply(ModelServer *all, uint32_t id, int64_t born_ms, uint64_t sequence,
            uint32_t address, gboolean gone)
{
    ModelServer *s = &all[id];

    if (s->known && (born_ms < s->born_ms ||
                     (born_ms == s->born_ms && sequence <= s->sequence &&
                      !(gone && !s->gone)))) {
        return FALSE;
    }
    for (uint32_t i = 0; !s->known && i < kModelIds; i++) {
        if (gone || (all[i].known && !all[i].gone &&
                     all[i].born_ms > born_ms && all[i].address == address)) {
            return FALSE;
        }
    }
    *s = (ModelServer){TRUE, born_ms, sequence, address, gone, s->gone_us};
    for (uint32_t i = 0; !gone && i < kModelIds; i++) {
        if (i != id && all[i].known && all[i].born_ms <= born_ms &&
            all[i].address == address) {
            all[i].gone = TRUE;
        }
    }
    return TRUE;
}

/* Forgets the servers of the model that have been gone for 600 s. */
static void
model_expire(ModelServer *all, uint64_t now_us)
{
    for (uint32_t i = 0; i < kModelIds; i++) {
        if (!all[i].known || !all[i].gone) {
            all[i].gone_us = 0;
        }
        else if (all[i].gone_us == 0) {
            all[i].gone_us = now_us;
        }
        else if (now_us - all[i].gone_us >= UINT64_C(600000000)) {
            all[i] = (ModelServer){0};
        }
    }
}

static gboolean
never_needed(const void *ctx, const char *id)
{
    (void)ctx;
    (void)id;
    return FALSE;
}

/* Returns whether the index by address holds each server once, and no
 * others. */
static gboolean
index_is_complete(const Directory *d)
{
    GHashTableIter it;
    void *value;
    guint indexed = 0;

    g_hash_table_iter_init(&it, d->by_address);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        indexed += ((const GPtrArray *)value)->len;
    }
    g_hash_table_iter_init(&it, d->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        GPtrArray *same = g_hash_table_lookup(d->by_address, s->address);
        if (same == NULL || !g_ptr_array_find(same, s, NULL)) {
            return FALSE;
        }
    }
    return indexed == g_hash_table_size(d->servers);
}

/* Guards against an index by address that disagrees with the servers: a server
 * that keeps a taken address, or a lookup of one that was forgotten. */
static void
the_index_by_address_agrees_with_a_scan(void)
{
    ModelServer model[kModelIds] = {0};
    GRand *rand = g_rand_new_with_seed(7);
    Directory d;
    uint32_t differences = 0;

    directory_init(&d);
    for (uint64_t now_us = 1000000; now_us < UINT64_C(100000000000);
         now_us += g_rand_int_range(rand, 0, 50) == 0 ? 700000000 : 1000000) {
        uint32_t id = (uint32_t)g_rand_int_range(rand, 0, kModelIds);
        uint32_t place = (uint32_t)g_rand_int_range(rand, 0, kModelAddresses);
        int64_t born_ms =
            (int64_t)(now_us / 1000) - g_rand_int_range(rand, 0, 300) * 1000;
        uint64_t sequence = (uint64_t)g_rand_int_range(rand, 1, 50);
        gboolean gone = g_rand_int_range(rand, 0, 5) == 0;
        char name[16];
        char address[16];

        if (model[id].known && g_rand_boolean(rand)) {
            born_ms = model[id].born_ms;
            sequence += model[id].sequence / 2;
        }
        g_snprintf(name, sizeof(name), "i-%u", id);
        g_snprintf(address, sizeof(address), "10.0.0.%u:1", place);
        Sw__ServerRecord r = report(name, born_ms, sequence, address);
        r.gone = gone;
        differences += directory_apply_report(&d, now_us, &r) !=
                       model_apply(model, id, born_ms, sequence, place, gone);
        directory_expire(&d, now_us, never_needed, NULL);
        model_expire(model, now_us);
        differences += !index_is_complete(&d);
        for (uint32_t i = 0; i < kModelIds; i++) {
            g_snprintf(name, sizeof(name), "i-%u", i);
            const DirectoryServer *s = directory_find(&d, name);
            differences += (s != NULL) != model[i].known ||
                           (s != NULL && s->gone != model[i].gone);
        }
    }
    CU_ASSERT_EQUAL(differences, 0);
    directory_clear(&d);
    g_rand_free(rand);
}

void
add_fleet_policy_suite(void)
{
    CU_pSuite s = CU_add_suite("fleet policy", NULL, NULL);
    CU_add_test(s, "a delta restores the document",
                a_delta_restores_the_document);
    CU_add_test(s, "owners are spread and stable",
                owners_are_spread_and_stable);
    CU_add_test(s, "the next primary holds all acknowledged commits",
                the_next_primary_holds_all_acknowledged_commits);
    CU_add_test(s, "a primary is suspected by the reports of instances",
                a_primary_is_suspected_by_the_reports_of_instances);
    CU_add_test(s, "an even voter is not wanted", an_even_voter_is_not_wanted);
    CU_add_test(s, "shares never exceed the limit",
                shares_never_exceed_the_limit);
    CU_add_test(s, "a window never grants more than its limit",
                a_window_never_grants_more_than_its_limit);
    CU_add_test(s, "a team within its limit is not refused",
                a_team_within_its_limit_is_not_refused);
    CU_add_test(s, "a lowered limit still grants tokens",
                a_lowered_limit_still_grants_tokens);
    CU_add_test(s, "a watch changes no verdict", a_watch_changes_no_verdict);
    CU_add_test(s, "changes that end a use are told apart",
                changes_that_end_a_use_are_told_apart);
    CU_add_test(s, "a confirmed record keeps its age",
                a_confirmed_record_keeps_its_age);
    CU_add_test(s, "a drain is not taken for a confirmation",
                a_drain_is_not_taken_for_a_confirmation);
    CU_add_test(s, "the index by address agrees with a scan",
                the_index_by_address_agrees_with_a_scan);
    CU_add_test(s, "older reports change nothing",
                older_reports_change_nothing);
}
