#include <stdio.h>

#include "core/hash.h"
#include "policy/placement.h"
#include "suite.h"

/* Replays reads of many instances against three replicas, in virtual time,
 * with the former choice (lowest cost) and the new one, and prints both.
 * Instances know a replica only from the results of their own reads. */

enum {
    kStepUs = 500,
    kReplicas = 3,
    kInstances = 24,
    kSlots = 4,
    kTeams = 79,
    kWorkUs = 9000,
    kHandshakeUs = 12000,
    kLinkUs = 1400,
    kSecondUs = 1000000,
    kBeginUs = 1000000,
    kEndUs = 11000000,
};

typedef struct {
    double per_s;         /* of all replicas */
    uint32_t connections; /* of each replica */
    uint32_t slowdown;    /* of replica 0 from second 4 to 7 */
    gboolean same_domains;
} Load;

typedef struct {
    uint32_t instance, team, replica;
    uint64_t started_us, arrives_us, sent_us, left_us;
} Read;

typedef struct {
    GQueue queue, running, results;
    uint64_t used_us[kTeams]; /* of the team's connection, zero: none */
    uint64_t service_us;
} Replica;

typedef struct {
    uint64_t service_us, wait_us, updated_us;
    uint32_t open;
} View;

typedef struct {
    uint64_t count, sum_us, handshakes, late;
    uint64_t by_second[12][kReplicas];
} Result;

/* Takes the connection of a team at a replica, if need be instead of that
 * which was unused for longest.  Returns the time that it costs. */
static uint64_t
connect_us(Replica *r, const Load *load, uint32_t team, uint64_t now_us)
{
    uint32_t open = 0, oldest = kTeams;

    for (uint32_t i = 0; i < kTeams; i++) {
        open += r->used_us[i] != 0;
        if (r->used_us[i] != 0 &&
            (oldest == kTeams || r->used_us[i] < r->used_us[oldest])) {
            oldest = i;
        }
    }
    gboolean matching = r->used_us[team] != 0;
    if (!matching && open >= load->connections) {
        r->used_us[oldest] = 0;
    }
    r->used_us[team] = now_us;
    return matching ? 0 : kHandshakeUs;
}

static void
replica_step(Replica *r, const Load *load, uint32_t index, uint64_t now_us,
             Result *out)
{
    gboolean slow =
        index == 0 && now_us >= 4 * kSecondUs && now_us < 7 * kSecondUs;

    while (r->running.length < kSlots && r->queue.length > 0 &&
           ((Read *)r->queue.head->data)->arrives_us <= now_us) {
        Read *q = g_queue_pop_head(&r->queue);
        uint64_t connect = connect_us(r, load, q->team, now_us);
        out->handshakes += connect > 0;
        q->sent_us = now_us + connect;
        q->left_us = connect + kWorkUs * (slow ? load->slowdown : 1);
        g_queue_push_tail(&r->running, q);
    }
    for (GList *l = r->running.head, *next; l != NULL; l = next) {
        Read *q = l->data;
        next = l->next;
        q->left_us -= MIN(q->left_us, (uint64_t)kStepUs);
        if (q->left_us == 0) {
            r->service_us = (r->service_us * 7 + now_us - q->sent_us) / 8;
            q->arrives_us = now_us + kLinkUs;
            g_queue_delete_link(&r->running, l);
            g_queue_push_tail(&r->results, q);
        }
    }
}

static PlacementCandidate
candidate_of(const View *v, uint32_t instance, uint32_t team, uint32_t replica,
             const Load *load, uint64_t now_us)
{
    uint64_t age_us = now_us - v->updated_us;
    char name[2][16];

    g_snprintf(name[0], sizeof(name[0]), "team%u", team);
    g_snprintf(name[1], sizeof(name[1]), "server%u", replica);
    return (PlacementCandidate){
        .usable = TRUE,
        .same_domain = load->same_domains || instance % kReplicas == replica,
        .link_us = 3000,
        .matching_connection = TRUE,
        .open_statements = v->open,
        .slots = kSlots,
        .service_us = v->service_us,
        .service_age_us = age_us,
        .expected_queue_us = v->wait_us > age_us ? v->wait_us - age_us : 0,
        .affinity =
            load->connections < kTeams
                ? hash_number(hash_text(name[1], hash_text(name[0], 1)), 1)
                : 0,
    };
}

static Result
replay(const Load *load, gboolean former, const char *name)
{
    Replica replicas[kReplicas] = {0};
    View views[kInstances][kReplicas] = {0};
    Result out = {0};
    GRand *rand = g_rand_new_with_seed(3);
    GRand *choices = g_rand_new_with_seed(4);

    for (uint32_t i = 0; i < kInstances * kReplicas; i++) {
        views[i / kReplicas][i % kReplicas].service_us = kWorkUs;
        replicas[i % kReplicas].service_us = kWorkUs;
    }
    for (uint64_t now_us = kBeginUs; now_us < kEndUs; now_us += kStepUs) {
        if (g_rand_double(rand) < load->per_s * kStepUs / kSecondUs) {
            Read *q = g_new0(Read, 1);
            PlacementCandidate c[kReplicas];
            q->instance = (uint32_t)g_rand_int_range(rand, 0, kInstances);
            q->team = (uint32_t)g_rand_int_range(rand, 0, kTeams);
            for (uint32_t i = 0; i < kReplicas; i++) {
                c[i] = candidate_of(&views[q->instance][i], q->instance,
                                    q->team, i, load, now_us);
            }
            q->replica =
                (uint32_t)(former ? placement_choose(c, kReplicas)
                                  : placement_choose_spread(
                                        c, kReplicas, g_rand_int(choices)));
            q->started_us = now_us;
            q->arrives_us = now_us + kLinkUs;
            views[q->instance][q->replica].open++;
            out.by_second[now_us / kSecondUs][q->replica]++;
            g_queue_push_tail(&replicas[q->replica].queue, q);
        }
        for (uint32_t i = 0; i < kReplicas; i++) {
            Replica *r = &replicas[i];
            replica_step(r, load, i, now_us, &out);
            while (r->results.length > 0 &&
                   ((Read *)r->results.head->data)->arrives_us <= now_us) {
                Read *q = g_queue_pop_head(&r->results);
                View *v = &views[q->instance][i];
                v->service_us = r->service_us;
                v->wait_us = r->queue.length * r->service_us / kSlots;
                v->updated_us = now_us;
                v->open--;
                out.count++;
                out.sum_us += now_us - q->started_us;
                out.late += now_us - q->started_us > 200000;
                g_free(q);
            }
        }
    }
    for (uint32_t i = 0; i < kReplicas; i++) {
        g_queue_clear_full(&replicas[i].queue, g_free);
        g_queue_clear_full(&replicas[i].running, g_free);
        g_queue_clear_full(&replicas[i].results, g_free);
    }
    g_rand_free(rand);
    g_rand_free(choices);
    printf("\n    %s, %s choice: mean %.1f ms, late %" G_GUINT64_FORMAT
           " of %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT
           " handshakes, replica 0 in seconds 5 and 9: %" G_GUINT64_FORMAT
           ", %" G_GUINT64_FORMAT,
           name, former ? "former" : "new",
           (double)out.sum_us / MAX(out.count, 1) / 1000, out.late, out.count,
           out.handshakes, out.by_second[5][0], out.by_second[9][0]);
    return out;
}

static double
mean_us(const Result *r)
{
    return (double)r->sum_us / MAX(r->count, 1);
}

/* Guards against instances that all choose the same replica. */
static void
instances_spread_over_equal_replicas(void)
{
    static const Load loads[] = {{300, kTeams, 1, TRUE},
                                 {900, kTeams, 1, TRUE},
                                 {900, kTeams, 1, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        Result was = replay(&loads[i], TRUE, "equal replicas");
        Result is = replay(&loads[i], FALSE, "equal replicas");
        CU_ASSERT(mean_us(&is) <= mean_us(&was) * 1.02);
        CU_ASSERT(is.late <= was.late);
    }
}

/* Guards against connections that change their team with each read. */
static void
a_team_keeps_to_its_replica(void)
{
    static const Load loads[] = {{200, 39, 1, TRUE}, {600, 39, 1, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        Result was = replay(&loads[i], TRUE, "few connections");
        Result is = replay(&loads[i], FALSE, "few connections");
        CU_ASSERT(is.handshakes * 2 < was.handshakes);
        CU_ASSERT(mean_us(&is) < mean_us(&was));
    }
}

/* Guards against a slow replica that keeps its reads, and against one that
 * gets none after it has recovered. */
static void
a_slow_replica_gets_less_until_it_recovers(void)
{
    static const Load load = {700, kTeams, 4, TRUE};
    Result was = replay(&load, TRUE, "one replica slow");
    Result is = replay(&load, FALSE, "one replica slow");

    CU_ASSERT(is.by_second[5][0] < 700 / kReplicas / 2);
    CU_ASSERT(is.by_second[9][0] > 700 / kReplicas / 2);
    CU_ASSERT(is.late <= was.late);
    CU_ASSERT(mean_us(&is) <= mean_us(&was));
}

void
add_placement_replay_suite(void)
{
    CU_pSuite s = CU_add_suite("placement replay", NULL, NULL);
    CU_add_test(s, "instances spread over equal replicas",
                instances_spread_over_equal_replicas);
    CU_add_test(s, "a team keeps to its replica", a_team_keeps_to_its_replica);
    CU_add_test(s, "a slow replica gets less until it recovers",
                a_slow_replica_gets_less_until_it_recovers);
}
