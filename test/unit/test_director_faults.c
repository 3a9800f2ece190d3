#include <stdlib.h>

#include "../support/director_fleet.h"
#include "suite.h"

/* Control instances under random faults that overlap: processes end, machines
 * lose power or disks, instances are partitioned, freeze and stop in turn.
 * Acknowledged configurations must survive, and once all instances run and
 * reach each other, each answers reads. */

enum {
    kNodes = 6,
    kMaxFailures = 2,
    kCatchUpUs = 6000000, /* an instance counts as failed so long */
    kCalmUs = 5000000,    /* without faults, then all must work */
    kReadUs = 1000000,    /* an operator's patience */
};

/* A run of one seed. */
typedef struct {
    DirectorFleet *fleet;
    GRand *rand;
    uint64_t failed_until_us[kNodes];
    uint64_t version;       /* last one sent */
    uint64_t acked_version; /* highest one acknowledged */
    GPtrArray *puts;        /* DirectorCall, and */
    GArray *versions;       /* uint64_t, the version of each */
} Run;

static uint32_t
below(Run *r, uint32_t limit)
{
    return (uint32_t)g_rand_int_range(r->rand, 0, (gint32)limit);
}

/* Notes which changes were acknowledged. */
static void
collect_acks(Run *r)
{
    for (guint i = r->puts->len; i > 0; i--) {
        const DirectorCall *call = g_ptr_array_index(r->puts, i - 1);
        if (call->status == 200) {
            r->acked_version = MAX(
                r->acked_version, g_array_index(r->versions, uint64_t, i - 1));
        }
        if (call->status != 0) {
            g_ptr_array_remove_index_fast(r->puts, i - 1);
            g_array_remove_index_fast(r->versions, i - 1);
        }
    }
}

/* Runs the fleet while an operator changes the configuration. */
static void
run_for(Run *r, uint64_t us)
{
    uint64_t end_us = r->fleet->now_us + us;

    while (r->fleet->now_us < end_us) {
        uint32_t node = below(r, kNodes);
        if (r->fleet->nodes[node].director != NULL &&
            !r->fleet->nodes[node].frozen) {
            r->version++;
            g_ptr_array_add(r->puts, (void *)director_fleet_put(r->fleet, node,
                                                                r->version));
            g_array_append_val(r->versions, r->version);
        }
        uint64_t step_us = 20000 + below(r, 400) * 1000;
        director_fleet_run(r->fleet, MIN(step_us, end_us - r->fleet->now_us));
        collect_acks(r);
    }
}

static uint32_t
count_failed(const Run *r)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < kNodes; i++) {
        count += r->failed_until_us[i] > r->fleet->now_us;
    }
    return count;
}

/* Picks an instance that may fail now, -1 if none may. */
static int
pick(Run *r)
{
    uint32_t node = below(r, kNodes);

    return count_failed(r) >= kMaxFailures ||
                   r->failed_until_us[node] > r->fleet->now_us
               ? -1
               : (int)node;
}

static uint64_t
outage_us(Run *r)
{
    static const uint64_t lengths_ms[] = {300, 900, 1500, 3000, 5000, 7000};

    return lengths_ms[below(r, G_N_ELEMENTS(lengths_ms))] * 1000;
}

/* Up to two instances end and start again; with their disks, or without. */
static void
lose_some(Run *r, gboolean disks)
{
    int nodes[kMaxFailures];
    uint64_t us = outage_us(r);
    gboolean power = below(r, 2) == 0;

    for (int i = 0; i < kMaxFailures; i++) {
        nodes[i] = i == 0 || below(r, 2) == 0 ? pick(r) : -1;
        if (nodes[i] >= 0) {
            r->failed_until_us[nodes[i]] = r->fleet->now_us + us + kCatchUpUs;
            director_fleet_kill(r->fleet, (uint32_t)nodes[i], power);
            if (disks) {
                director_fleet_lose_disk(r->fleet, (uint32_t)nodes[i]);
            }
        }
    }
    run_for(r, us);
    for (int i = 0; i < kMaxFailures; i++) {
        if (nodes[i] >= 0) {
            director_fleet_start(r->fleet, (uint32_t)nodes[i], FALSE);
        }
    }
}

/* All instances end at once and start within a second or two; as many as may
 * fail lose their disks. */
static void
lose_all(Run *r, gboolean disks)
{
    uint64_t delays_us[kNodes];
    uint64_t start_us = r->fleet->now_us;
    gboolean power = below(r, 2) == 0;

    for (uint32_t i = 0; i < kNodes; i++) {
        director_fleet_kill(r->fleet, i, power);
        delays_us[i] = 200000 + below(r, 1300) * 1000;
    }
    for (int i = 0; disks && i < kMaxFailures; i++) {
        int node = pick(r);
        if (node >= 0) {
            r->failed_until_us[node] = r->fleet->now_us + 1500000 + kCatchUpUs;
            director_fleet_lose_disk(r->fleet, (uint32_t)node);
        }
    }
    while (r->fleet->now_us < start_us + 1600000) {
        for (uint32_t i = 0; i < kNodes; i++) {
            if (r->fleet->nodes[i].director == NULL &&
                r->fleet->now_us >= start_us + delays_us[i]) {
                director_fleet_start(r->fleet, i, FALSE);
            }
        }
        run_for(r, 20000);
    }
}

/* Partitions up to two instances from the others. */
static void
cut_some(Run *r)
{
    uint64_t us = outage_us(r);

    for (uint32_t i = 0; i < kMaxFailures; i++) {
        int node = pick(r);
        if (node >= 0) {
            r->failed_until_us[node] = r->fleet->now_us + us + kCatchUpUs;
            director_fleet_partition(r->fleet, (uint32_t)node, 1);
        }
    }
    run_for(r, us);
    for (uint32_t i = 0; i < kNodes; i++) {
        director_fleet_partition(r->fleet, i, 0);
    }
}

/* Divides the instances into two halves. */
static void
split(Run *r)
{
    uint64_t us = outage_us(r);

    for (uint32_t cut = 0; cut < kNodes / 2;) {
        uint32_t node = below(r, kNodes);
        if (r->fleet->nodes[node].group == 0) {
            director_fleet_partition(r->fleet, node, 1);
            cut++;
        }
    }
    run_for(r, us);
    for (uint32_t i = 0; i < kNodes; i++) {
        director_fleet_partition(r->fleet, i, 0);
        r->failed_until_us[i] = r->fleet->now_us + kCatchUpUs;
    }
}

static void
freeze(Run *r)
{
    int node = pick(r);
    uint64_t us = outage_us(r);

    if (node < 0) {
        return;
    }
    r->failed_until_us[node] = r->fleet->now_us + us + kCatchUpUs;
    r->fleet->nodes[node].frozen = TRUE;
    run_for(r, us);
    r->fleet->nodes[node].frozen = FALSE;
}

/* Stops all instances in turn, some at a time. */
static void
roll(Run *r, uint32_t at_once)
{
    for (uint32_t from = 0; from < kNodes; from += at_once) {
        uint64_t end_us = r->fleet->now_us + 1600000;
        uint32_t to = MIN(from + at_once, (uint32_t)kNodes);
        for (uint32_t i = from; i < to; i++) {
            director_stop(r->fleet->nodes[i].director, r->fleet->now_us);
        }
        gboolean runs = TRUE;
        while (runs) {
            run_for(r, 60000);
            runs = FALSE;
            for (uint32_t i = from; i < to; i++) {
                DirectorNode *n = &r->fleet->nodes[i];
                if (n->director != NULL && (director_stopped(n->director) ||
                                            r->fleet->now_us > end_us)) {
                    director_fleet_kill(r->fleet, i, FALSE);
                }
                runs = runs || n->director != NULL;
            }
        }
        run_for(r, 900000);
        for (uint32_t i = from; i < to; i++) {
            director_fleet_start(r->fleet, i, FALSE);
        }
        run_for(r, kCatchUpUs);
    }
}

static void
inject(Run *r)
{
    switch (below(r, 8)) {
    case 0:
    case 1:
        lose_some(r, TRUE);
        break;
    case 2:
        lose_some(r, FALSE);
        break;
    case 3:
        lose_all(r, FALSE);
        break;
    case 4:
        cut_some(r);
        break;
    case 5:
        split(r);
        break;
    case 6:
        freeze(r);
        break;
    default:
        run_for(r, outage_us(r));
        break;
    }
}

/* Reads the configuration at each instance; returns the number of those that
 * do not answer, or with an older version than was acknowledged. */
static uint32_t
count_bad_reads(Run *r, uint32_t seed)
{
    const DirectorCall *calls[kNodes];
    uint32_t bad = 0;

    for (uint32_t i = 0; i < kNodes; i++) {
        calls[i] = director_fleet_get(r->fleet, i);
    }
    director_fleet_run(r->fleet, kReadUs);
    for (uint32_t i = 0; i < kNodes; i++) {
        if (director_fleet_version(calls[i]) < r->acked_version ||
            calls[i]->status != 200) {
            printf(
                "seed %u, instance %u: status %u, version %" G_GUINT64_FORMAT
                " of %" G_GUINT64_FORMAT "\n",
                seed, i, calls[i]->status, director_fleet_version(calls[i]),
                r->acked_version);
            bad++;
        }
    }
    return bad;
}

static uint32_t
play(uint32_t seed)
{
    Run r = {.fleet = director_fleet_new(kNodes, kMaxFailures, seed),
             .rand = g_rand_new_with_seed(seed + 1),
             .puts = g_ptr_array_new(),
             .versions = g_array_new(FALSE, FALSE, sizeof(uint64_t))};

    for (uint32_t i = 0; i < kNodes; i++) {
        director_fleet_start(r.fleet, i, TRUE);
    }
    run_for(&r, 3000000);
    uint32_t faults = 3 + below(&r, 10);
    for (uint32_t i = 0; i < faults; i++) {
        inject(&r);
        run_for(&r, below(&r, 3000) * 1000);
    }
    run_for(&r, kCatchUpUs + 1000000);
    if (below(&r, 2) == 0) {
        lose_all(&r, TRUE);
        run_for(&r, kCatchUpUs + 1000000);
    }
    if (below(&r, 2) == 0) {
        roll(&r, 1 + below(&r, kMaxFailures));
    }
    director_fleet_run(r.fleet, kCalmUs);
    collect_acks(&r);
    uint32_t bad = count_bad_reads(&r, seed);
    bad += r.fleet->two_leaders;
    g_ptr_array_unref(r.puts);
    g_array_unref(r.versions);
    g_rand_free(r.rand);
    director_fleet_free(r.fleet);
    return bad;
}

static void
test_configuration_is_read_back(void)
{
    const char *text = g_getenv("SAPPHIREWEIR_SOAK_SEED");
    uint32_t first = text == NULL ? 1 : (uint32_t)atoi(text);

    for (uint32_t seed = first; seed < first + 40; seed++) {
        CU_ASSERT_EQUAL(play(seed), 0);
    }
}

/* Registers the suite. */
void
add_director_faults_suite(void)
{
    CU_pSuite s = CU_add_suite("director faults", NULL, NULL);
    CU_add_test(s, "the configuration is read back after faults",
                test_configuration_is_read_back);
}
