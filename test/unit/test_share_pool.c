#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/message.h"
#include "core/token_bucket.h"
#include "gateway/rate_pool.h"
#include "policy/share.h"
#include "policy/share_pool.h"
#include "suite.h"

/* Replays the partition that pooled shares are for, with real pools and a
 * simulated network in virtual time: 41 of 73 entry instances have lost the
 * leader, and 79 teams of 14 operations a second have their callers at a few
 * of them. */

enum {
    kEntries = 73,
    kLost = 41,
    kTeams = 79,
    kRate = 14, /* of a team; its burst is as much */
    kUsPerMs = 1000,
    kUsPerS = 1000000,
    kStepUs = 2 * kUsPerMs,
    kTickUs = 20 * kUsPerMs,
    kOneWayUs = 1400,
    kStartUs = 10 * kUsPerS,       /* when the leader is lost */
    kReservedUs = 3300 * kUsPerMs, /* until it has noticed */
    kNoticedUs = 2500 * kUsPerMs,  /* as its reports tell the leader */
    kWindowUs = 5 * kUsPerS,
    kFaultSteps = 150, /* one fault every 300 ms */
    kFaultStride = 7,
    kWaitUs = 187 * kUsPerMs, /* of a caller: 75 percent of 250 ms */
    kCallerInstances = 6,     /* of each team */
    kMaxBytesPerS = 43000,    /* a quarter of a link of 1.4 Mbit/s */
    kFrameOverheadBytes = 64,
    kToken = kMicroTokensPerToken,
};

/* What happens to the instances meanwhile. */
typedef struct {
    const char *name;
    gboolean pooled;
    uint32_t run_s;
    uint32_t load_percent;   /* of each team's rate */
    uint32_t lost_percent;   /* of messages */
    uint32_t twice_percent;  /* that arrive twice */
    uint64_t delay_us;       /* maximum further delay of a message */
    gboolean stalls;         /* one instance after the other, for 2.5 s */
    gboolean splits;         /* in two halves, for 3 s of each 6 */
    gboolean restarts;       /* one instance after the other */
    gboolean leader_returns; /* to each third instance, now and then */
    uint32_t min_percent;    /* admitted of what is offered once reserved */
} Faults;

typedef struct {
    uint64_t at_us;
    uint32_t to;
    const char *from;
    Sw__Frame *frame;
} Packet;

typedef struct {
    struct Replay *replay;
    uint32_t index;
    char id[16];
    RatePool *pool;
    uint64_t contact_us;
    uint64_t stalled_until_us;
    uint64_t bytes; /* sent */
    TokenBucket local[kTeams];
    uint32_t share[kTeams];
} Instance;

/* An operation that waits for a token. */
typedef struct {
    uint64_t arrived_us;
    uint32_t team, instance;
} Operation;

typedef struct Replay {
    const Faults *faults;
    uint64_t now_us;
    GRand *rand;
    Instance instances[kLost];
    Document document;
    DocumentTeam teams[kTeams];
    char names[kTeams][16];
    uint32_t callers[kTeams][kCallerInstances];
    GArray *packets;         /* Packet */
    GArray *waiting;         /* Operation */
    GArray *runs[kTeams];    /* uint64_t: times, once shares are reserved */
    GArray *used_by[kTeams]; /* uint32_t: the instances that ran them */
    uint32_t uncounted; /* operations beyond what the leader reserves then */
    uint64_t wanted[kTeams]; /* the same, operations offered */
    uint32_t offered, admitted;
    uint32_t too_early; /* pooled before the leader has reserved it */
} Replay;

/* Tells whether the leader knows an instance to be in contact. */
static gboolean
is_in_contact(const Replay *r, const Instance *e)
{
    return r->now_us - e->contact_us < kNoticedUs;
}

static uint64_t
draw(Replay *r, uint64_t below)
{
    return below == 0 ? 0 : g_rand_int(r->rand) % below;
}

static gboolean
connected(const Replay *r, uint32_t a, uint32_t b)
{
    gboolean split = r->faults->splits && r->now_us / (3 * kUsPerS) % 2 == 1;
    return b < kLost && (!split || a % 2 == b % 2);
}

static void
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Instance *from = ctx;
    Replay *r = from->replay;
    Packet p = {.to = (uint32_t)atoi(to + 1), .from = from->id};
    uint64_t chance = draw(r, 100);
    uint32_t lost = r->faults->lost_percent;
    /* A second request is granted twice and answered once; a second reply must
     * not count. */
    uint32_t twice = frame->body_case == SW__FRAME__BODY_RATE_SHARE_REPLY
                         ? r->faults->twice_percent
                         : lost;
    int copies = chance < lost ? 0 : chance < lost + twice ? 2 : 1;

    from->bytes += sw__frame__get_packed_size(frame) + kFrameOverheadBytes;
    while (connected(r, from->index, p.to) && copies-- > 0) {
        p.at_us = r->now_us + kOneWayUs + draw(r, r->faults->delay_us);
        p.frame = message_copy(frame);
        g_array_append_val(r->packets, p);
    }
}

static gboolean
port_ready(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
    return TRUE;
}

/* Starts an instance; after a restart it has no share and no leader. */
static void
start_instance(Replay *r, Instance *e, gboolean granted)
{
    GatewayPort port = {
        .ctx = e, .peer_send = port_send, .peer_ready = port_ready};
    EntryList *list = entry_list_new();

    e->pool = rate_pool_new(e->id, r->now_us, &port, NULL);
    e->contact_us = granted ? kStartUs - e->index * kUsPerMs : 0;
    rate_pool_tick(e->pool, granted ? kUsPerS : r->now_us, 0);
    for (uint32_t k = 0; granted && k < kEntries; k++) {
        char id[16];
        g_snprintf(id, sizeof(id), "e%u", k);
        entry_list_add(list, id, "a");
    }
    rate_pool_set_entries(e->pool, list);
    entry_list_free(list);
    for (uint32_t t = 0; t < kTeams; t++) {
        uint64_t per_s =
            granted ? (uint64_t)kRate * e->share[t] * kShareCutPercent / 100
                    : 0;
        token_bucket_init(&e->local[t], r->now_us, per_s, MAX(per_s, kToken));
        if (granted) {
            e->local[t].level_micro = kToken;
            rate_pool_set_share(e->pool, r->now_us, r->names[t], e->share[t]);
        }
    }
}

/* Sets up the teams, whose callers were at some instances until the leader was
 * lost, by which the shares were divided, and then at others. */
static void
start_replay(Replay *r, const Faults *faults)
{
    r->faults = faults;
    r->now_us = kStartUs;
    r->rand = g_rand_new_with_seed(7);
    r->packets = g_array_new(FALSE, FALSE, sizeof(Packet));
    r->waiting = g_array_new(FALSE, FALSE, sizeof(Operation));
    r->document.teams = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t t = 0; t < kTeams; t++) {
        uint64_t demand[kEntries] = {0};
        uint32_t shares[kEntries];
        g_snprintf(r->names[t], sizeof(r->names[t]), "t%u", t);
        r->teams[t] = (DocumentTeam){.name = r->names[t],
                                     .rate_milli_per_s = kRate * 1000,
                                     .burst_milli = kRate * 1000};
        g_hash_table_insert(r->document.teams, r->names[t], &r->teams[t]);
        r->runs[t] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        r->used_by[t] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        for (uint32_t c = 0; c < kCallerInstances * 2; c++) {
            demand[draw(r, kEntries)] += 1 + c;
        }
        share_divide(demand, kEntries, shares);
        for (uint32_t i = 0; i < kLost; i++) {
            r->instances[i].share[t] = shares[i];
        }
        for (uint32_t c = 0; c < kCallerInstances; c++) {
            r->callers[t][c] = (uint32_t)draw(r, kLost);
        }
    }
    for (uint32_t i = 0; i < kLost; i++) {
        Instance *e = &r->instances[i];
        e->replay = r;
        e->index = i;
        g_snprintf(e->id, sizeof(e->id), "e%u", i);
        start_instance(r, e, TRUE);
    }
}

/* Tells whether an instance that got something of a share is out of
 * contact. */
static gboolean
has_taker_without_contact(const Replay *r, const Sw__LentShare *m)
{
    for (uint32_t i = 0; i < kLost; i++) {
        for (size_t k = 0; k < m->n_takers; k++) {
            if (m->takers[k] == hash_text(r->instances[i].id, 0) &&
                !is_in_contact(r, &r->instances[i])) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

/* Returns what the leader reserves of a team's rate, in millionths: shares of
 * the instances without contact and those that others report as lent. */
static uint64_t
reserved_micro(const Replay *r, uint32_t team)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < kLost; i++) {
        const Instance *e = &r->instances[i];
        GPtrArray *lent = g_ptr_array_new_with_free_func(g_free);
        uint64_t share = 0;
        rate_pool_append_lent(e->pool, r->now_us, lent);
        for (guint k = 0; k < lent->len; k++) {
            const Sw__LentShare *each = g_ptr_array_index(lent, k);
            if (strcmp(each->team, r->names[team]) == 0 &&
                has_taker_without_contact(r, each)) {
                share = each->share_micro;
            }
        }
        sum += is_in_contact(r, e) ? share : MAX(share, e->share[team]);
        g_ptr_array_unref(lent);
    }
    return sum;
}

/* Counts operations beyond what the leader reserves.  It does not know those
 * of the last window that instances without contact ran; the others have
 * reported theirs. */
static void
check_reserved(Replay *r, uint32_t team)
{
    const GArray *runs = r->runs[team];
    uint64_t unknown = 0;

    for (guint i = runs->len; i > 0; i--) {
        if (g_array_index(runs, uint64_t, i - 1) + kWindowUs <= r->now_us) {
            break;
        }
        uint32_t by = g_array_index(r->used_by[team], uint32_t, i - 1);
        unknown += !is_in_contact(r, &r->instances[by]);
    }
    uint64_t reserved = reserved_micro(r, team) * kRate * 6 / kShareTotalMicro;
    r->uncounted += unknown > reserved;
}

/* Tries to run an operation; returns FALSE if there is no token. */
static gboolean
try_operation(Replay *r, const Operation *o)
{
    Instance *e = &r->instances[o->instance];
    const DocumentTeam *team = &r->teams[o->team];
    uint64_t wait_us = 0;
    RatePoolResult result = kRatePoolInactive;

    if (e->stalled_until_us > r->now_us) {
        return FALSE;
    }
    if (r->faults->pooled) {
        result = rate_pool_take(e->pool, r->now_us, team, 1, &wait_us);
        r->too_early += result == kRatePoolTaken &&
                        r->now_us <= e->contact_us + kReservedUs;
    }
    if (result == kRatePoolInactive &&
        token_bucket_take(&e->local[o->team], r->now_us, 1) == 1) {
        rate_pool_taken_alone(e->pool, r->now_us, team->name);
        result = kRatePoolTaken;
    }
    if (result != kRatePoolTaken) {
        return FALSE;
    }
    r->admitted++;
    if (r->now_us >= kStartUs + kReservedUs) {
        g_array_append_val(r->runs[o->team], r->now_us);
        g_array_append_val(r->used_by[o->team], o->instance);
        if (r->faults->leader_returns) {
            check_reserved(r, o->team);
        }
    }
    return TRUE;
}

/* Each team offers a part of its rate, and most of that at one instance.  With
 * pooled shares, an operation waits for a token. */
static void
run_operations(Replay *r)
{
    for (guint i = r->waiting->len; i > 0 && r->now_us % kTickUs == 0; i--) {
        const Operation *o = &g_array_index(r->waiting, Operation, i - 1);
        if (r->now_us - o->arrived_us > kWaitUs || try_operation(r, o)) {
            g_array_remove_index(r->waiting, i - 1);
        }
    }
    for (uint32_t t = 0; t < kTeams; t++) {
        if (draw(r, kUsPerS) >=
            kRate * kStepUs * r->faults->load_percent / 100) {
            continue;
        }
        uint64_t c = draw(r, 1 + draw(r, kCallerInstances));
        Operation o = {r->now_us, t, r->callers[t][c]};
        r->offered++;
        r->wanted[t] += r->now_us >= kStartUs + kReservedUs;
        if (!try_operation(r, &o) && r->faults->pooled) {
            g_array_append_val(r->waiting, o);
        }
    }
}

/* Delivers the messages that have arrived; stalled instances get them when
 * they resume. */
static void
deliver(Replay *r)
{
    for (guint i = 0; i < r->packets->len;) {
        Packet p = g_array_index(r->packets, Packet, i);
        const Instance *to = &r->instances[p.to];
        uint64_t id = p.frame->request_id;
        if (p.at_us > r->now_us || to->stalled_until_us > r->now_us) {
            i++;
            continue;
        }
        g_array_remove_index(r->packets, i);
        if (p.frame->body_case == SW__FRAME__BODY_RATE_SHARE_REQUEST) {
            rate_pool_request(to->pool, r->now_us, p.from, id,
                              p.frame->rate_share_request, &r->document);
        }
        else {
            rate_pool_reply(to->pool, r->now_us, p.from, id,
                            p.frame->rate_share_reply);
        }
        sw__frame__free_unpacked(p.frame, NULL);
    }
}

/* Brings about the faults of a step. */
static void
cause_faults(Replay *r)
{
    uint64_t step = (r->now_us - kStartUs) / kStepUs;
    Instance *e = &r->instances[step / kFaultSteps * kFaultStride % kLost];

    if (step % kFaultSteps != 0 || r->now_us < kStartUs + 4 * kUsPerS) {
        return;
    }
    if (r->faults->stalls) {
        e->stalled_until_us = r->now_us + 2500 * kUsPerMs;
    }
    if (r->faults->restarts) {
        rate_pool_free(e->pool);
        start_instance(r, e, FALSE);
    }
    if (r->faults->leader_returns && e->index % 3 == 0) {
        e->contact_us = r->now_us;
        rate_pool_set_contact(e->pool, r->now_us, e->contact_us);
    }
}

static void
run_replay(Replay *r)
{
    uint64_t end_us = kStartUs + (uint64_t)r->faults->run_s * kUsPerS;

    for (; r->now_us < end_us; r->now_us += kStepUs) {
        cause_faults(r);
        deliver(r);
        for (uint32_t i = 0; i < kLost; i++) {
            Instance *e = &r->instances[i];
            if ((r->now_us + i * kStepUs) % kTickUs == 0 &&
                e->stalled_until_us <= r->now_us) {
                rate_pool_tick(e->pool, r->now_us, e->contact_us);
            }
        }
        run_operations(r);
    }
}

/* Returns the most operations of a team that ran within one window. */
static uint64_t
most_in_window(const GArray *runs)
{
    guint first = 0;
    guint worst = 0;

    for (guint i = 0; i < runs->len; i++) {
        while (g_array_index(runs, uint64_t, first) + kWindowUs <=
               g_array_index(runs, uint64_t, i)) {
            first++;
        }
        worst = MAX(worst, i - first + 1);
    }
    return worst;
}

/* Checks and prints the result: no team ran more operations in a window than
 * its shares reserve, and no token was received twice; what part ran of those
 * that one instance with all shares could have admitted; bytes of the instance
 * that sent most. */
static void
check_replay(const Replay *r)
{
    uint64_t after_us = r->now_us - kStartUs - kReservedUs;
    uint64_t beyond = 0;
    uint64_t attainable = 0;
    uint64_t ran = 0;
    uint64_t granted = 0;
    uint64_t received = 0;
    uint64_t bytes = 0;

    for (uint32_t i = 0; i < kLost; i++) {
        granted += rate_pool_counters(r->instances[i].pool)->tokens_granted;
        received += rate_pool_counters(r->instances[i].pool)->tokens_received;
    }
    for (uint32_t t = 0; t < kTeams; t++) {
        uint64_t share = 0;
        for (uint32_t i = 0; i < kLost; i++) {
            share += r->instances[i].share[t];
            bytes = MAX(bytes, r->instances[i].bytes / r->faults->run_s);
        }
        uint64_t reserved = kRate * 6 * share / kShareTotalMicro;
        uint64_t most = most_in_window(r->runs[t]);
        beyond = MAX(beyond, most > reserved ? most - reserved : 0);
        ran += r->runs[t]->len;
        attainable +=
            MIN(r->wanted[t], share * kShareCutPercent / 100 * kRate *
                                  after_us / kUsPerS / kShareTotalMicro);
    }
    g_print("\n    %s: %u%% admitted, %lu%% of what the shares allow, "
            "%lu beyond, %lu bytes/s",
            r->faults->name, r->admitted * 100 / r->offered,
            ran * 100 / attainable, beyond, bytes);
    CU_ASSERT(beyond == 0 || !r->faults->pooled);
    CU_ASSERT_EQUAL(r->too_early, 0);
    if (r->uncounted > 0) {
        g_print(", %u uncounted", r->uncounted);
    }
    CU_ASSERT_EQUAL(r->uncounted, 0);
    /* The counters of former incarnations are lost. */
    CU_ASSERT(received <= granted || r->faults->restarts);
    CU_ASSERT(ran * 100 / attainable >= r->faults->min_percent);
    CU_ASSERT(bytes <= kMaxBytesPerS);
}

static void
free_replay(Replay *r)
{
    for (guint i = 0; i < r->packets->len; i++) {
        sw__frame__free_unpacked(g_array_index(r->packets, Packet, i).frame,
                                 NULL);
    }
    for (uint32_t i = 0; i < kLost; i++) {
        rate_pool_free(r->instances[i].pool);
    }
    for (uint32_t t = 0; t < kTeams; t++) {
        g_array_unref(r->runs[t]);
        g_array_unref(r->used_by[t]);
    }
    g_array_unref(r->packets);
    g_array_unref(r->waiting);
    g_hash_table_destroy(r->document.teams);
    g_rand_free(r->rand);
    g_free(r);
}

/* Guards against shares that stay unused at instances without callers, against
 * shares that are spent twice, and against messages that fill the links. */
static void
shares_are_pooled_and_spent_once(void)
{
    static const Faults cases[] = {
        {.name = "each its own", .run_s = 6, .load_percent = 50},
        {.name = "pooled",
         .pooled = TRUE,
         .run_s = 6,
         .load_percent = 50,
         .min_percent = 80},
        {.name = "long",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 50,
         .min_percent = 90},
        {.name = "overload",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .min_percent = 90},
        {.name = "duplicates",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .twice_percent = 50,
         .delay_us = 30 * kUsPerMs},
        {.name = "loss and delays",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .lost_percent = 5,
         .twice_percent = 5,
         .delay_us = 60 * kUsPerMs},
        {.name = "stalls",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .stalls = TRUE},
        {.name = "splits",
         .pooled = TRUE,
         .run_s = 18,
         .load_percent = 200,
         .splits = TRUE},
        {.name = "restarts",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .restarts = TRUE},
        {.name = "leader returns",
         .pooled = TRUE,
         .run_s = 15,
         .load_percent = 200,
         .leader_returns = TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Replay *r = g_new0(Replay, 1);
        start_replay(r, &cases[i]);
        run_replay(r);
        check_replay(r);
        free_replay(r);
    }
    g_print("\n"); /* mutants.sh looks for the result in a line of its own */
}

/* What both parties of a loan hold at some time. */
typedef struct {
    const char *name;
    uint64_t lent_ms;     /* the lender handles the request of time 0 */
    uint64_t again_ms;    /* and a copy of it, zero: none */
    uint64_t accepted_ms; /* the reply arrives */
    uint64_t ended_ms;    /* the leader grants to the borrower, zero: never */
    uint64_t now_ms;      /* next event of both, which may be suspended */
    uint32_t lender;      /* tokens that it can use then */
    uint32_t borrower;
} LoanCase;

/* Guards against a share of one token a second, and two at once, that lender
 * and borrower spend both.  The lender had one token when the leader was
 * lost. */
static void
a_share_has_one_holder(void)
{
    static const LoanCase cases[] = {
        {"the borrower accrues", 2, 0, 4, 0, 1500, 0, 2},
        {"its end at the borrower", 2, 0, 4, 0, 2000, 0, 0},
        {"its end at the lender", 2, 0, 4, 0, 2102, 0, 0},
        {"accrues at the lender again", 2, 0, 4, 0, 3102, 1, 0},
        {"the borrower is suspended", 2, 0, 4, 0, 60000, 2, 0},
        {"a late request", 1900, 0, 1902, 0, 1999, 0, 2},
        {"a late request, lender waits", 1900, 0, 1902, 0, 3900, 0, 0},
        {"a reply after the end", 2, 0, 2001, 0, 2050, 0, 0},
        {"a request twice", 2, 3, 4, 0, 10, 0, 1},
        {"a request twice, lender waits", 2, 1500, 4, 0, 3500, 0, 0},
        {"the leader returns", 2, 0, 4, 100, 1500, 0, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const LoanCase *c = &cases[i];
        ShareAmount own = {kShareTokenMicro, 2 * kShareTokenMicro};
        ShareOffer offer;
        ShareOffer again;
        SharePool lender;
        SharePool borrower;
        /* The request is sent at 10 s. */
        uint64_t sent_us = kStartUs;
        share_pool_init(&lender, sent_us - kUsPerS);
        share_pool_init(&borrower, sent_us - kUsPerS);
        share_pool_set_own(&lender, sent_us - kUsPerS, &own);
        CU_ASSERT(share_pool_lend(&lender, sent_us + c->lent_ms * kUsPerMs, 1,
                                  &offer));
        CU_ASSERT_FALSE(share_pool_lend(
            &lender, sent_us + c->lent_ms * kUsPerMs, 2, &again));
        if (c->again_ms != 0) {
            CU_ASSERT(share_pool_lend(
                &lender, sent_us + c->again_ms * kUsPerMs, 1, &again));
            CU_ASSERT_EQUAL(again.level_micro, 0);
        }
        share_pool_accept(&borrower, sent_us + c->accepted_ms * kUsPerMs, 3,
                          &offer, sent_us);
        if (c->ended_ms != 0) {
            share_pool_end(&borrower, sent_us + c->ended_ms * kUsPerMs);
        }
        uint64_t now_us = sent_us + c->now_ms * kUsPerMs;
        uint32_t at_lender = share_pool_grant(&lender, now_us, 9);
        uint32_t at_borrower = share_pool_grant(&borrower, now_us, 9);
        if (at_lender != c->lender || at_borrower != c->borrower) {
            g_print("\n%s: %u at the lender, %u at the borrower\n", c->name,
                    at_lender, at_borrower);
        }
        CU_ASSERT_EQUAL(at_lender, c->lender);
        CU_ASSERT_EQUAL(at_borrower, c->borrower);
        share_pool_clear(&lender);
        share_pool_clear(&borrower);
    }
}

/* Guards against a report that ends while others still use what they got of
 * the share: until the end of a loan, a token granted just before that end
 * for 0.5 s, and each operation for a window of 5 s. */
static void
given_shares_count_until_their_last_use(void)
{
    static const struct {
        gboolean lends;    /* at the start */
        uint32_t wanted;   /* tokens, from a level of two */
        uint64_t again_ms; /* the loan is prolonged, zero: it is not */
        uint64_t now_ms;
        uint64_t left_ms;
    } cases[] = {
        {FALSE, 0, 0, 0, 0},         {TRUE, 0, 0, 0, 7600},
        {TRUE, 0, 0, 2500, 5100},    {TRUE, 0, 0, 7600, 0},
        {TRUE, 0, 1500, 2000, 7100}, {FALSE, 1, 0, 0, 5500},
        {FALSE, 1, 0, 5499, 1},      {FALSE, 1, 0, 5500, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ShareAmount own = {kShareTokenMicro, 2 * kShareTokenMicro};
        ShareOffer offer;
        SharePool p;
        share_pool_init(&p, kStartUs - 2 * kUsPerS);
        share_pool_set_own(&p, kStartUs - 2 * kUsPerS, &own);
        if (cases[i].lends) {
            share_pool_lend(&p, kStartUs, 1, &offer);
        }
        if (cases[i].again_ms != 0) {
            share_pool_lend(&p, kStartUs + cases[i].again_ms * kUsPerMs, 1,
                            &offer);
        }
        CU_ASSERT_EQUAL(share_pool_grant(&p, kStartUs, cases[i].wanted),
                        cases[i].wanted);
        CU_ASSERT_EQUAL(
            share_pool_counted_us(&p, kStartUs + cases[i].now_ms * kUsPerMs),
            cases[i].left_ms * kUsPerMs);
        /* The leader's return ends nothing that others hold. */
        share_pool_end(&p, kStartUs + cases[i].now_ms * kUsPerMs);
        CU_ASSERT_EQUAL(
            share_pool_counted_us(&p, kStartUs + cases[i].now_ms * kUsPerMs),
            cases[i].left_ms * kUsPerMs);
        share_pool_clear(&p);
    }
}

/* A token of another pool is debited there; guards against one that is used
 * after its life, when it no longer counts in the lender's window. */
static void
tokens_of_others_expire(void)
{
    static const struct {
        uint64_t received_ms, now_ms; /* after the request */
        gboolean taken;
    } cases[] = {{4, 499, TRUE}, {4, 500, FALSE}, {79, 90000, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SharePool p;
        share_pool_init(&p, kStartUs);
        share_pool_receive(&p, kStartUs + cases[i].received_ms * kUsPerMs, 1,
                           kStartUs);
        CU_ASSERT_EQUAL(
            share_pool_take(&p, kStartUs + cases[i].now_ms * kUsPerMs, TRUE),
            cases[i].taken);
        share_pool_clear(&p);
    }
}

static void
count_frame(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)to;
    (void)frame;
    ++*(uint32_t *)ctx;
}

/* Guards against messages that are answered, or change something, although
 * they are of no member, ask for too much or answer no request. */
static void
unexpected_messages_have_no_effect(void)
{
    static const struct {
        const char *from;
        size_t asks;
        gboolean is_reply;
        uint32_t answers; /* without an offer, as there is no configuration */
    } cases[] = {{"e1", 1, FALSE, 1},
                 {"e9", 1, FALSE, 0},
                 {"e1", 65, FALSE, 0},
                 {"e1", 0, TRUE, 0},
                 {"e9", 0, TRUE, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint32_t sent = 0;
        GatewayPort port = {
            .ctx = &sent, .peer_send = count_frame, .peer_ready = port_ready};
        RatePool *p = rate_pool_new("e0", 1, &port, NULL);
        EntryList *list = entry_list_new();
        Sw__RateShareAsk ask = SW__RATE_SHARE_ASK__INIT;
        Sw__RateShareAsk *asks[65];
        Sw__RateShareRequest request = SW__RATE_SHARE_REQUEST__INIT;
        Sw__RateShareReply reply = SW__RATE_SHARE_REPLY__INIT;
        for (size_t k = 0; k < G_N_ELEMENTS(asks); k++) {
            asks[k] = &ask;
        }
        ask.lend = TRUE;
        request.n_asks = cases[i].asks;
        request.asks = asks;
        reply.without_leader = TRUE;
        entry_list_add(list, "e1", "a");
        rate_pool_set_entries(p, list);
        if (cases[i].is_reply) {
            rate_pool_reply(p, kStartUs, cases[i].from, 0, &reply);
        }
        else {
            rate_pool_request(p, kStartUs, cases[i].from, 7, &request, NULL);
        }
        CU_ASSERT_EQUAL(sent, cases[i].answers);
        CU_ASSERT_EQUAL(rate_pool_counters(p)->ignored, 1 - cases[i].answers);
        CU_ASSERT_EQUAL(rate_pool_members(p, kStartUs), 0);
        entry_list_free(list);
        rate_pool_free(p);
    }
}

/* The requests for shares that a pool has sent to its only other member. */
typedef struct {
    GHashTable *teams;   /* names that were asked for, owned */
    uint64_t request_id; /* of the open request, zero: none */
} Asked;

static void
record_asks(void *ctx, const char *to, const Sw__Frame *frame)
{
    Asked *a = ctx;
    const Sw__RateShareRequest *m = frame->rate_share_request;

    (void)to;
    a->request_id = frame->request_id;
    for (size_t i = 0; i < m->n_asks; i++) {
        if (m->asks[i]->lend) {
            g_hash_table_add(a->teams, g_strdup(m->asks[i]->team));
        }
    }
}

/* A request names at most 64 teams.  The shares of those beyond were never
 * requested, always the same ones. */
static void
shares_of_any_number_of_teams_are_requested(void)
{
    static const uint32_t counts[] = {1, 60, 128, 500};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        Asked asked = {.teams = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                      g_free, NULL)};
        GatewayPort port = {
            .ctx = &asked, .peer_send = record_asks, .peer_ready = port_ready};
        RatePool *p = rate_pool_new("e0", 1, &port, NULL);
        EntryList *list = entry_list_new();
        Sw__RateShareReply reply = SW__RATE_SHARE_REPLY__INIT;
        uint32_t pooled = 0;

        reply.without_leader = TRUE;
        entry_list_add(list, "e0", "a");
        entry_list_add(list, "e1", "a");
        rate_pool_tick(p, kUsPerS, 0);
        rate_pool_set_entries(p, list);
        for (uint64_t now_us = kStartUs; now_us < kStartUs + 6 * kUsPerS;
             now_us += kTickUs) {
            rate_pool_tick(p, now_us, kStartUs);
            for (uint32_t t = 0; t < counts[i]; t++) {
                char name[16];
                DocumentTeam team = {.name = name,
                                     .rate_milli_per_s = kRate * 1000,
                                     .burst_milli = kRate * 1000};
                uint64_t wait_us;
                g_snprintf(name, sizeof(name), "t%u", t);
                rate_pool_take(p, now_us, &team, 1, &wait_us);
            }
            if (asked.request_id != 0) {
                uint64_t id = asked.request_id;
                asked.request_id = 0;
                rate_pool_reply(p, now_us + kUsPerMs, "e1", id, &reply);
            }
        }
        for (uint32_t t = 0; t < counts[i]; t++) {
            char name[16];
            g_snprintf(name, sizeof(name), "t%u", t);
            uint64_t hash = hash_text(name, 0);
            pooled += share_pool_score(hash, hash_text("e0", 0)) >
                      share_pool_score(hash, hash_text("e1", 0));
        }
        if (g_hash_table_size(asked.teams) != pooled) {
            g_print("\n%u teams: %u of %u requested\n", counts[i],
                    g_hash_table_size(asked.teams), pooled);
        }
        CU_ASSERT_EQUAL(g_hash_table_size(asked.teams), pooled);
        entry_list_free(list);
        rate_pool_free(p);
        g_hash_table_destroy(asked.teams);
    }
}

/* Guards against a report that leaves out an instance that got something of a
 * share, or that has less than the shares which its tokens came from. */
static void
takers_of_a_share_are_reported(void)
{
    static const struct {
        const char *from;
        gboolean lends;  /* else it asks for a token */
        uint32_t shares; /* in the report afterwards */
        size_t takers;
        uint32_t share_micro;
    } steps[] = {
        {"e2", FALSE, 0, 0, 0}, /* there is no token: it gets nothing */
        {"e1", TRUE, 1, 1, 200000},
        {"e1", TRUE, 1, 1, 200000},
        {"e3", FALSE, 1, 2, 200000},
    };
    DocumentTeam team = {
        .name = "t0", .rate_milli_per_s = 14000, .burst_milli = 14000};
    Document document = {.teams = g_hash_table_new(g_str_hash, g_str_equal)};
    uint32_t sent = 0;
    GatewayPort port = {
        .ctx = &sent, .peer_send = count_frame, .peer_ready = port_ready};
    RatePool *p = rate_pool_new("e0", 1, &port, NULL);
    EntryList *list = entry_list_new();

    g_hash_table_insert(document.teams, team.name, &team);
    for (uint32_t i = 1; i <= 3; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "e%u", i);
        entry_list_add(list, id, "a");
    }
    rate_pool_set_entries(p, list);
    rate_pool_set_share(p, kStartUs, "t0", 200000);
    rate_pool_set_contact(p, kStartUs, kStartUs - 4 * kUsPerS);
    CU_ASSERT_EQUAL(rate_pool_lent_version(p), 0);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        uint64_t now_us = kStartUs + i * kUsPerMs;
        uint64_t version = rate_pool_lent_version(p);
        Sw__RateShareAsk ask = SW__RATE_SHARE_ASK__INIT;
        Sw__RateShareAsk *asks[] = {&ask};
        Sw__RateShareRequest request = SW__RATE_SHARE_REQUEST__INIT;
        GPtrArray *lent = g_ptr_array_new_with_free_func(g_free);
        ask.team = "t0";
        ask.lend = steps[i].lends;
        ask.tokens = !steps[i].lends;
        request.n_asks = 1;
        request.asks = asks;
        rate_pool_request(p, now_us, steps[i].from, i + 1, &request,
                          &document);
        CU_ASSERT(rate_pool_lent_version(p) > version);
        rate_pool_append_lent(p, now_us, lent);
        CU_ASSERT_EQUAL(lent->len, steps[i].shares);
        for (guint k = 0; k < lent->len; k++) {
            const Sw__LentShare *each = g_ptr_array_index(lent, k);
            CU_ASSERT_EQUAL(each->n_takers, steps[i].takers);
            CU_ASSERT(each->share_micro >= steps[i].share_micro);
            CU_ASSERT(each->share_micro <= steps[i].share_micro + 2);
        }
        g_ptr_array_unref(lent);
    }
    rate_pool_free(p);
    entry_list_free(list);
    g_hash_table_destroy(document.teams);
}

void
add_share_pool_suite(void)
{
    CU_pSuite s = CU_add_suite("share pool", NULL, NULL);
    CU_add_test(s, "a share has one holder", a_share_has_one_holder);
    CU_add_test(s, "given shares count until their last use",
                given_shares_count_until_their_last_use);
    CU_add_test(s, "takers of a share are reported",
                takers_of_a_share_are_reported);
    CU_add_test(s, "shares of any number of teams are requested",
                shares_of_any_number_of_teams_are_requested);
    CU_add_test(s, "tokens of others expire", tokens_of_others_expire);
    CU_add_test(s, "unexpected messages have no effect",
                unexpected_messages_have_no_effect);
    CU_add_test(s, "shares are pooled and spent once",
                shares_are_pooled_and_spent_once);
}
