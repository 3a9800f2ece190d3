#include <math.h>
#include <string.h>

#include "fleet/share_records.h"
#include "policy/share.h"
#include "policy/share_bounds.h"
#include "suite.h"

/* Bounds of the shares of rates: single decisions, and a replay of leaders and
 * entry instances that lose messages and each other. */

enum {
    kUsPerMs = 1000,
    kStepUs = 50 * kUsPerMs,
    kReportUs = 250 * kUsPerMs,
    kDivisionUs = 500 * kUsPerMs,
    kListUs = 2000 * kUsPerMs,
    kNodesMax = 66,
    kTeamsMax = 76,
};

/* Guards against a larger share than the committed bound, a bound that is
 * lowered while the instance may hold more, and a change of the log for each
 * small change of a share. */
static void
bounds_change_when_they_must(void)
{
    static const struct {
        uint32_t bound, held, wanted;
        gboolean confirmed;
        uint64_t after_ms; /* since the bound was needed last */
        uint32_t next, usable;
    } cases[] = {
        /* Small shares need no bound. */
        {0, 0, 3900, TRUE, 0, 0, 3900},
        {0, 0, 500000, FALSE, 0, 500000, 3900},
        /* Raised for more than an eighth. */
        {400000, 400000, 449000, TRUE, 0, 400000, 400000},
        {400000, 400000, 451000, TRUE, 0, 451000, 400000},
        /* Lowered only if less is held, for certain and for long. */
        {400000, 290000, 200000, TRUE, 5990, 400000, 200000},
        {400000, 290000, 200000, TRUE, 6010, 290000, 200000},
        {400000, 290000, 200000, FALSE, 60000, 400000, 200000},
        {400000, 310000, 200000, TRUE, 60000, 400000, 200000},
        {400000, 3000, 2000, TRUE, 60000, 0, 2000},
        {400000, 3000, 4000, TRUE, 60000, 4000, 4000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ShareHold h = share_hold_new(0, cases[i].bound);
        h.held_micro = cases[i].held;
        h.confirmed = cases[i].confirmed;
        uint32_t next = share_hold_next_bound(&h, cases[i].after_ms * kUsPerMs,
                                              cases[i].bound, cases[i].wanted);
        uint32_t usable =
            share_hold_usable(&h, cases[i].bound, cases[i].wanted);
        CU_ASSERT_EQUAL(next, cases[i].next);
        CU_ASSERT_EQUAL(usable, cases[i].usable);
        if (next != cases[i].next || usable != cases[i].usable) {
            g_print("\ncase %zu: next bound %u, usable %u\n", i, next, usable);
        }
    }
}

/* Guards against a reservation below what an instance may hold: of a share
 * that never arrived, of a former leader's, and of one without a bound. */
static void
the_largest_possible_share_is_reserved(void)
{
    ShareHold h = share_hold_new(0, 400000);

    CU_ASSERT_EQUAL(share_hold_reserved(NULL, 400000, 100000), 400000);
    CU_ASSERT_EQUAL(share_hold_reserved(NULL, 0, 100000), 100000);
    CU_ASSERT_EQUAL(share_hold_reserved(NULL, 0, 1000), 3900);
    CU_ASSERT_EQUAL(share_hold_reserved(NULL, 5000, 100000), 50000);
    share_hold_list_begun(&h);
    share_hold_sent(&h, 200000, FALSE, TRUE);
    share_hold_sent(&h, 100000, FALSE, FALSE);
    CU_ASSERT_EQUAL(share_hold_reserved(&h, 400000, 100000), 400000);
    share_hold_confirmed(&h);
    CU_ASSERT_EQUAL(share_hold_reserved(&h, 400000, 100000), 200000);
    /* A list without the share confirms nothing of it. */
    share_hold_sent(&h, 300000, FALSE, FALSE);
    share_hold_list_begun(&h);
    share_hold_sent(&h, 100000, FALSE, TRUE);
    share_hold_list_begun(&h);
    share_hold_confirmed(&h);
    CU_ASSERT_EQUAL(share_hold_reserved(&h, 400000, 100000), 300000);
    share_hold_restarted(&h);
    CU_ASSERT_EQUAL(share_hold_reserved(&h, 400000, 900000), 450000);
}

/* The log and its snapshots restore the table. */
static void
bounds_are_restored_from_records(void)
{
    ShareBounds a;
    ShareBounds b;

    share_bounds_init(&a);
    share_bounds_init(&b);
    for (uint64_t entry = 1; entry <= 3; entry++) {
        for (uint64_t team = 1; team <= 4; team++) {
            share_bounds_set(&a, entry, team, (uint32_t)(entry * team));
        }
    }
    share_bounds_set(&a, 2, 3, 0);
    share_bounds_set(&a, 2, 3, 0);
    GPtrArray *records = share_records_of(&a);
    CU_ASSERT_EQUAL(records->len, 3);
    share_records_apply(&b, (Sw__ShareBoundsRecord **)records->pdata,
                        records->len);
    CU_ASSERT_EQUAL(b.count, 11);
    CU_ASSERT_EQUAL(share_bounds_get(&b, 3, 4), 12);
    CU_ASSERT_EQUAL(share_bounds_get(&b, 2, 3), 0);
    g_ptr_array_unref(records);
    records = share_records_new();
    for (uint64_t team = 1; team <= 4; team++) {
        share_records_add(records, 3, team, 0);
    }
    share_records_apply(&b, (Sw__ShareBoundsRecord **)records->pdata,
                        records->len);
    CU_ASSERT_EQUAL(b.count, 7);
    CU_ASSERT_FALSE(share_bounds_has_entry(&b, 3));
    g_ptr_array_unref(records);
    share_bounds_clear(&a);
    share_bounds_clear(&b);
}

typedef struct {
    const char *name;
    uint32_t nodes, teams;
    uint32_t seconds;
    uint32_t loss_percent; /* of grants and reports */
    uint32_t cut_percent;  /* of the instances, changed every 7 s */
    uint32_t leader_s;     /* between two changes of the leader; 0: none */
    uint32_t busy;         /* instances with callers of a team */
    /* Of the records proposed in 0.5 s; 0: not checked. */
    uint32_t max_bytes;
    uint32_t min_granted_percent; /* of the limit, mean after 10 s */
} ReplayCase;

/* A grant on its way. */
typedef struct {
    uint64_t at_us;
    uint32_t node;
    uint64_t term;
    uint64_t sequence;
    uint32_t shares[kTeamsMax]; /* zero: not in it */
} Grant;

typedef struct {
    gboolean cut;
    uint64_t sequence, granted, term;
    uint32_t shares[kTeamsMax];
    /* What the leader knows. */
    ShareHold holds[kTeamsMax];
    uint64_t reported_term, list_sequence, list_us;
    uint64_t demand[kTeamsMax];
    uint32_t wanted[kTeamsMax];
} Node;

typedef struct {
    const ReplayCase *c;
    GRand *rand;
    Node nodes[kNodesMax];
    GQueue grants;
    ShareBounds bounds;
    GPtrArray *proposed; /* records, or NULL */
    uint64_t commit_us;
    uint64_t term;
    uint64_t most_bytes;
    uint32_t proposals;
    uint64_t granted_micro, samples; /* of all teams together */
    uint32_t violations;
} Replay;

static gboolean
chance(Replay *r, uint32_t percent)
{
    return (uint32_t)g_rand_int_range(r->rand, 0, 100) < percent;
}

static void
apply_proposal(Replay *r)
{
    share_records_apply(&r->bounds,
                        (Sw__ShareBoundsRecord **)r->proposed->pdata,
                        r->proposed->len);
    g_clear_pointer(&r->proposed, g_ptr_array_unref);
}

/* The next leader has the committed bounds, perhaps with the last proposal,
 * and no demand yet. */
static void
start_leader(Replay *r, uint64_t now_us)
{
    r->term++;
    if (r->proposed != NULL && chance(r, 50)) {
        apply_proposal(r);
    }
    g_clear_pointer(&r->proposed, g_ptr_array_unref);
    for (uint32_t i = 0; i < r->c->nodes; i++) {
        Node *n = &r->nodes[i];
        n->list_sequence = n->list_us = 0;
        for (uint32_t t = 0; t < r->c->teams; t++) {
            n->demand[t] = 0;
            n->holds[t] =
                share_hold_new(now_us, share_bounds_get(&r->bounds, i, t));
        }
    }
}

static uint64_t
poisson(Replay *r, double mean)
{
    double product = g_rand_double(r->rand);
    uint64_t count = 0;

    for (; product > exp(-mean); count++) {
        product *= g_rand_double(r->rand);
    }
    return count;
}

/* Each team offers 14 operations a second at its busy instances, which change
 * every 20 s. */
static void
divide(Replay *r, uint64_t now_us)
{
    uint64_t demand[kNodesMax];
    uint32_t shares[kNodesMax];

    for (uint32_t t = 0; t < r->c->teams; t++) {
        uint32_t shift = (uint32_t)(now_us / (20000 * kUsPerMs)) * 13;
        for (uint32_t i = 0; i < r->c->nodes; i++) {
            Node *n = &r->nodes[i];
            uint32_t rank = (i + shift + 7 * t) % r->c->nodes;
            uint64_t seen =
                rank < r->c->busy ? poisson(r, 7.0 / r->c->busy) : 0;
            n->demand[t] = (n->demand[t] * 3 + seen * 2000) / 4;
            demand[i] = n->demand[t];
        }
        share_divide(demand, r->c->nodes, shares);
        for (uint32_t i = 0; i < r->c->nodes; i++) {
            r->nodes[i].wanted[t] = shares[i];
        }
    }
}

static void
propose(Replay *r, uint64_t now_us)
{
    uint32_t changes = 0;
    uint64_t bytes = 0;

    if (r->proposed != NULL) {
        return;
    }
    r->proposed = share_records_new();
    r->proposals++;
    for (uint32_t k = 0; k < r->c->nodes; k++) {
        uint32_t i = (k + r->proposals) % r->c->nodes;
        for (uint32_t t = 0;
             t < r->c->teams && changes < kShareBoundChangesMax; t++) {
            uint32_t bound = share_bounds_get(&r->bounds, i, t);
            uint32_t next = share_hold_next_bound(
                &r->nodes[i].holds[t], now_us, bound, r->nodes[i].wanted[t]);
            if (next != bound) {
                share_records_add(r->proposed, i, t, next);
                changes++;
            }
        }
    }
    r->commit_us =
        now_us + (uint64_t)g_rand_int_range(r->rand, 5, 900) * kUsPerMs;
    for (guint i = 0; i < r->proposed->len; i++) {
        bytes += 2 + sw__share_bounds_record__get_packed_size(
                         g_ptr_array_index(r->proposed, i));
    }
    r->most_bytes = MAX(r->most_bytes, bytes);
}

/* The leader answers a report with a grant, as director_rates.c does. */
static void
handle_report(Replay *r, uint64_t now_us, uint32_t index)
{
    Node *n = &r->nodes[index];
    Grant m = {.at_us = now_us +
                        (uint64_t)g_rand_int_range(r->rand, 0, 400) * kUsPerMs,
               .node = index,
               .term = r->term,
               .sequence = n->sequence};
    gboolean all = now_us - n->list_us >= kListUs;

    n->reported_term = n->term;
    if (n->list_sequence != 0 && n->granted == n->list_sequence) {
        n->list_sequence = 0;
        for (uint32_t t = 0; t < r->c->teams; t++) {
            share_hold_confirmed(&n->holds[t]);
        }
    }
    if (all) {
        n->list_us = now_us;
        n->list_sequence = n->reported_term == r->term ? n->sequence : 0;
    }
    for (uint32_t t = 0; t < r->c->teams; t++) {
        ShareHold *h = &n->holds[t];
        uint32_t share = share_hold_usable(
            h, share_bounds_get(&r->bounds, index, t), n->wanted[t]);
        if (all) {
            share_hold_list_begun(h);
        }
        if (all || share != h->sent_micro) {
            m.shares[t] = share;
            share_hold_sent(h, share, FALSE, all);
        }
    }
    if (!chance(r, r->c->loss_percent)) {
        g_queue_push_tail(&r->grants, g_memdup2(&m, sizeof(m)));
    }
}

static void
handle_grants(Replay *r, uint64_t now_us)
{
    GList *next;

    for (GList *link = r->grants.head; link != NULL; link = next) {
        Grant *m = link->data;
        Node *n = &r->nodes[m->node];
        next = link->next;
        if (m->at_us > now_us) {
            continue;
        }
        if (!n->cut && m->term >= n->term && m->sequence > n->granted) {
            n->term = m->term;
            n->granted = m->sequence;
            for (uint32_t t = 0; t < r->c->teams; t++) {
                n->shares[t] = m->shares[t] != 0 ? m->shares[t] : n->shares[t];
            }
        }
        g_free(m);
        g_queue_delete_link(&r->grants, link);
    }
}

/* Counts the shares that the next leader would not know a bound of, or that
 * the present one would not reserve, if it were lost now. */
static void
check_bounds(Replay *r)
{
    for (uint32_t i = 0; i < r->c->nodes; i++) {
        const Node *n = &r->nodes[i];
        for (uint32_t t = 0; t < r->c->teams; t++) {
            uint32_t bound = share_bounds_get(&r->bounds, i, t);
            r->violations +=
                n->shares[t] > share_hold_reserved(NULL, bound, 0) ||
                n->shares[t] > share_hold_reserved(&n->holds[t], bound, 0);
            r->granted_micro += n->shares[t];
        }
    }
}

/* The former leader answers the same reports as the next one. */
static void
answer_last_reports(Replay *r, uint64_t now_us)
{
    for (uint32_t i = 0; i < r->c->nodes; i++) {
        Node *n = &r->nodes[i];
        n->sequence++;
        if (!n->cut) {
            handle_report(r, now_us, i);
        }
        n->sequence--;
    }
}

static void
replay_step(Replay *r, uint64_t now_us)
{
    const ReplayCase *c = r->c;

    if (c->leader_s != 0 &&
        now_us % (c->leader_s * 1000 * (uint64_t)kUsPerMs) == 0) {
        answer_last_reports(r, now_us);
        start_leader(r, now_us);
    }
    if (r->proposed != NULL && now_us >= r->commit_us) {
        apply_proposal(r);
    }
    if (now_us % kDivisionUs == 0) {
        divide(r, now_us);
        propose(r, now_us);
    }
    for (uint32_t i = 0; i < c->nodes; i++) {
        Node *n = &r->nodes[i];
        if (now_us % (7000 * kUsPerMs) == 0) {
            n->cut = chance(r, c->cut_percent);
        }
        if (now_us % kReportUs == 0) {
            n->sequence++;
            if (!n->cut && !chance(r, c->loss_percent)) {
                handle_report(r, now_us, i);
            }
        }
    }
    handle_grants(r, now_us);
    if (now_us <= 10000 * kUsPerMs) {
        r->granted_micro = 0;
        r->samples = 0;
    }
    r->samples += c->teams;
    check_bounds(r);
}

/* Guards against a share that a leader does not know a bound of, at any time
 * at which the former one may be lost, and against large log entries. */
static void
every_leader_knows_a_bound_of_each_share(void)
{
    static const ReplayCase cases[] = {
        {"calm", 6, 4, 120, 0, 0, 0, 2, 0, 90},
        {"lost messages", 12, 6, 300, 30, 20, 0, 2, 0, 0},
        {"changes of the leader", 12, 6, 300, 30, 20, 9, 2, 0, 0},
        {"frequent changes of the leader", 6, 4, 300, 10, 30, 2, 1, 0, 0},
        /* 5 percent of 2 Mbit/s for two other control instances. */
        {"concentrated", kNodesMax, kTeamsMax, 60, 0, 0, 0, 2, 3125, 90},
        {"spread", kNodesMax, kTeamsMax, 60, 0, 0, 0, 20, 3125, 80},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const ReplayCase *c = &cases[i];
        for (uint32_t seed = 1; seed <= (c->nodes == kNodesMax ? 1 : 5);
             seed++) {
            Replay *r = g_new0(Replay, 1);
            r->c = c;
            r->rand = g_rand_new_with_seed(seed);
            share_bounds_init(&r->bounds);
            start_leader(r, 0);
            for (uint64_t now_us = kStepUs;
                 now_us < c->seconds * 1000 * (uint64_t)kUsPerMs;
                 now_us += kStepUs) {
                replay_step(r, now_us);
            }
            uint64_t granted =
                r->granted_micro * 100 / r->samples / kShareTotalMicro;
            gboolean good =
                r->violations == 0 && granted >= c->min_granted_percent &&
                (c->max_bytes == 0 || r->most_bytes <= c->max_bytes);
            CU_ASSERT(good);
            if (!good) {
                g_print("\n%s, seed %u: %u violations, at most %u bytes in "
                        "0.5 s, %u %% granted, %u bounds\n",
                        c->name, seed, r->violations, (unsigned)r->most_bytes,
                        (unsigned)granted, r->bounds.count);
            }
            g_clear_pointer(&r->proposed, g_ptr_array_unref);
            g_queue_clear_full(&r->grants, g_free);
            share_bounds_clear(&r->bounds);
            g_rand_free(r->rand);
            g_free(r);
        }
    }
}

void
add_share_bounds_suite(void)
{
    CU_pSuite s = CU_add_suite("share bounds", NULL, NULL);
    CU_add_test(s, "bounds change when they must",
                bounds_change_when_they_must);
    CU_add_test(s, "the largest possible share is reserved",
                the_largest_possible_share_is_reserved);
    CU_add_test(s, "bounds are restored from records",
                bounds_are_restored_from_records);
    CU_add_test(s, "every leader knows a bound of each share",
                every_leader_knows_a_bound_of_each_share);
}
