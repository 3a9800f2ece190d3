#include <stdio.h>

#include "policy/crossing.h"
#include "policy/link_time.h"
#include "suite.h"

/* Replays reads of many instances in two failure domains, in virtual time,
 * with the previous policy (a fixed cost of 3 ms for a server in another
 * domain) and the present one.  Instances know a server only from the results
 * of their own reads. */

enum {
    kStepUs = 500,
    kDomains = 2,
    kServersMax = 4,
    kInstances = 240, /* at most */
    kUsualInstances = 24,
    kOpenMax = 64, /* reads of an instance at a server */
    kSlots = 4,
    kWorkUs = 9000, /* mean */
    kHopUs = 1400,  /* one way between domains */
    kSlowHopUs = 15000,
    kNearHopUs = 300,
    kSecondUs = 1000000,
    kBeginUs = 1000000,
    kEndUs = 13000000,
    kStopUs = 14000000, /* all reads have ended */
    kInTimeUs = 200000,
    kPatienceUs = 100000, /* longer queues reject */
    kLostUs = 400000,
    kAvoidUs = 1000000,
    kWindowUs = 100000, /* of the measured rates */
    kValidUs = 1000000,
    kUrgentLevel = 1,
    kUsualLevel = 5,
};

enum { kArrivals, kChoices, kWork, kRandoms, kFirstSeed = 3 };

/* A load, and the bounds of what the present policy may do with it. */
typedef struct {
    const char *name;
    uint32_t servers[kDomains];
    /* Of a domain's callers, in percent of what kSlots can do. */
    uint32_t percent[kDomains];
    uint32_t most; /* share of the reads that may cross, in thousandths */
    /* Reads in time that may be missing of what the previous policy has, in
     * thousandths of the reads. */
    uint32_t fewer;
    uint32_t burst[kDomains]; /* percent from second 4 to 8 */
    uint32_t wave_s; /* period of waves in opposite phase, zero: none */
    /* Crossings are worth it: the mean time must become shorter, but more
     * reads than with the previous policy may cross. */
    gboolean gains;
    /* Both domains always have work for their servers, so that these must
     * serve as many reads as with the previous policy while the load lasts. */
    gboolean full;
    uint32_t instances; /* zero: kUsualInstances */
    gboolean slow;      /* link, from second 4 to 8 */
    gboolean cut;       /* from second 4 to 8 */
    uint64_t price_us;  /* of a read between domains */
    gboolean choice;    /* the price may keep reads at home: there is room */
} Load;

/* A read, or a question for a load, and its result. */
typedef struct {
    uint32_t instance, server, level;
    gboolean asks, crossed, lost, rejected;
    uint64_t started_us, arrives_us, arrived_us, run_us, left_us, back_us;
} Read;

/* What results state of a server. */
typedef struct {
    uint64_t service_us, wait_us[kAdmissionLevels], drain_milli, shed_milli;
} Report;

typedef struct {
    GQueue queue, running;
    uint32_t domain, finished, shed;
    uint64_t window_us;
    Report report;
} Server;

/* What an instance knows of a server. */
typedef struct {
    LinkTime link;
    Report report;
    uint64_t updated_us, avoid_us;
    uint32_t open;
    const Read *reads[kOpenMax]; /* those without a result */
} View;

typedef struct {
    uint64_t count, in_time, during_load, crossed, crossed_urgent, urgent,
        sum_us;
    uint64_t kept[kCrossingReasons];
} Result;

typedef struct {
    const Load *load;
    gboolean former; /* policy */
    uint64_t now_us;
    uint32_t n_instances;
    GPtrArray *reads; /* all, owned */
    Server servers[kServersMax];
    uint32_t n_servers;
    View views[kInstances][kServersMax];
    Crossing states[kInstances];
    GQueue sent, results;    /* reads on their way to a server, and back */
    GRand *random[kRandoms]; /* by kArrivals, kChoices, kWork */
    Result out;
} Fleet;

static gboolean
disturbed(const Fleet *f)
{
    return f->now_us >= 4 * (uint64_t)kSecondUs &&
           f->now_us < 8 * (uint64_t)kSecondUs;
}

/* Sends a read or a result, which arrives later or is lost. */
static void
send_read(Fleet *f, GQueue *queue, Read *q)
{
    uint64_t far_us = f->load->slow && disturbed(f) ? kSlowHopUs : kHopUs;

    q->lost = q->lost || (q->crossed && f->load->cut && disturbed(f));
    q->arrives_us = f->now_us + (q->crossed ? far_us : (uint64_t)kNearHopUs);
    if (q->lost) {
        q->arrives_us = MAX(q->started_us + kLostUs, f->now_us) + 1;
    }
    g_queue_push_tail(q->lost ? &f->results : queue, q);
}

/* Starts the handling of the reads or results that have arrived. */
static void
deliver(Fleet *f, GQueue *queue, void (*arrived)(Fleet *f, Read *q))
{
    for (GList *l = queue->head, *next; l != NULL; l = next) {
        Read *q = l->data;
        next = l->next;
        if (q->arrives_us <= f->now_us) {
            g_queue_delete_link(queue, l);
            arrived(f, q);
        }
    }
}

/* ---- servers ---- */

/* Sets the expected wait of work of each level. */
static void
set_waits(Server *s)
{
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        uint64_t ahead = 0;
        for (GList *l = s->queue.head; l != NULL; l = l->next) {
            ahead += ((Read *)l->data)->level <= i;
        }
        s->report.wait_us[i] = ahead * s->report.service_us / kSlots;
    }
}

/* Sends the result of a read. */
static void
send_result(Fleet *f, Read *q, gboolean rejected)
{
    f->servers[q->server].shed += rejected;
    q->rejected = rejected;
    q->back_us = f->now_us;
    send_read(f, &f->results, q);
}

/* Queues a read that has arrived, the more urgent ones first, or rejects one
 * that cannot be in time. */
static void
read_arrived(Fleet *f, Read *q)
{
    Server *s = &f->servers[q->server];
    GList *after = s->queue.tail;

    set_waits(s);
    q->arrived_us = f->now_us;
    if (q->asks || s->report.wait_us[q->level] > kPatienceUs) {
        send_result(f, q, !q->asks);
        return;
    }
    while (after != NULL && ((Read *)after->data)->level > q->level) {
        after = after->prev;
    }
    g_queue_insert_after(&s->queue, after, q);
}

/* Runs the reads of a server for a step, and measures its rates. */
static void
server_step(Fleet *f, Server *s)
{
    Report *r = &s->report;

    while (s->running.length < kSlots && s->queue.length > 0) {
        Read *q = g_queue_pop_head(&s->queue);
        if (f->now_us - q->started_us > kInTimeUs - 2 * kWorkUs) {
            send_result(f, q, TRUE);
            continue;
        }
        q->run_us = f->now_us;
        q->left_us = (uint64_t)g_rand_int_range(f->random[kWork], kWorkUs / 2,
                                                kWorkUs * 3 / 2);
        g_queue_push_tail(&s->running, q);
    }
    for (GList *l = s->running.head, *next; l != NULL; l = next) {
        Read *q = l->data;
        next = l->next;
        q->left_us -= MIN(q->left_us, (uint64_t)kStepUs);
        if (q->left_us == 0) {
            r->service_us = (r->service_us * 7 + f->now_us - q->run_us) / 8;
            s->finished++;
            g_queue_delete_link(&s->running, l);
            send_result(f, q, FALSE);
        }
    }
    if (f->now_us - s->window_us >= kWindowUs) {
        r->drain_milli = (r->drain_milli * 3 + s->finished * 10000) / 4;
        r->shed_milli = (r->shed_milli * 3 + s->shed * 10000) / 4;
        s->finished = s->shed = 0;
        s->window_us = f->now_us;
    }
    set_waits(s);
}

/* ---- instances ---- */

static void
count_result(Fleet *f, const Read *q, gboolean served)
{
    f->out.count++;
    f->out.during_load += served && f->now_us < kEndUs;
    f->out.in_time += served && f->now_us - q->started_us <= kInTimeUs;
    f->out.sum_us += f->now_us - q->started_us;
}

/* Takes over what a result states, or its loss. */
static void
result_arrived(Fleet *f, Read *q)
{
    View *v = &f->views[q->instance][q->server];

    if (!q->lost) {
        v->report = f->servers[q->server].report;
        v->updated_us = f->now_us;
        link_time_measured(&v->link, f->now_us, f->now_us - q->started_us,
                           q->back_us - q->arrived_us);
    }
    if (q->asks) {
        return;
    }
    if (q->lost && f->now_us >= v->avoid_us) {
        link_time_lost(&v->link, f->now_us);
    }
    v->avoid_us = q->lost ? f->now_us + kAvoidUs : v->avoid_us;
    for (uint32_t i = 0; i < v->open; i++) {
        if (v->reads[i] == q) {
            v->reads[i] = v->reads[--v->open];
        }
    }
    count_result(f, q, !q->lost && !q->rejected);
}

/* Returns the time since the oldest read of at least the urgency of a level
 * was sent that the last report does not contain. */
static uint64_t
unanswered_us(const Fleet *f, const View *v, uint32_t level)
{
    uint64_t oldest_us = f->now_us;

    for (uint32_t i = 0; i < v->open; i++) {
        const Read *q = v->reads[i];
        if (q->level <= level && q->started_us > v->updated_us) {
            oldest_us = MIN(oldest_us, q->started_us);
        }
    }
    return f->now_us - oldest_us;
}

static PlacementCandidate
candidate_of(const Fleet *f, const Read *q, uint32_t server)
{
    const View *v = &f->views[q->instance][server];
    const Report *r = &v->report;
    uint64_t age_us = f->now_us - v->updated_us;
    gboolean reported = v->updated_us != 0 && age_us < kValidUs;
    uint64_t wait_us = reported ? r->wait_us[q->level] : 0;

    return (PlacementCandidate){
        .usable = f->now_us >= v->avoid_us,
        .same_domain = q->instance % kDomains == f->servers[server].domain,
        .matching_connection = TRUE,
        .open_statements = v->open,
        .slots = kSlots,
        .service_us = r->service_us,
        .service_age_us = age_us,
        .expected_queue_us = wait_us - MIN(wait_us, age_us),
        .link_us =
            f->former ? kLinkTimeDefaultUs : link_time_us(&v->link, f->now_us),
        .price_us = f->former ? 0 : f->load->price_us,
        .reported = reported,
        .report_age_us = age_us,
        .reported_wait_us = wait_us,
        .admits_all = r->shed_milli * 20 <= r->drain_milli,
        .drain_milli_per_s = r->drain_milli,
        .shed_milli_per_s = r->shed_milli,
        .unanswered_us = unanswered_us(f, v, q->level),
    };
}

/* Chooses the server of a new read and sends it. */
static void
start_read(Fleet *f, Read *q)
{
    PlacementCandidate c[kServersMax];
    CrossingDecision d = {.ask = kPlacementNone};
    CrossingWork work = {q->level, kPatienceUs / 4,
                         g_rand_int(f->random[kChoices]) >> 8};
    Result *out = &f->out;

    for (uint32_t i = 0; i < f->n_servers; i++) {
        c[i] = candidate_of(f, q, i);
    }
    int chosen = f->former
                     ? placement_choose_spread(c, f->n_servers, work.random)
                     : crossing_choose(&f->states[q->instance], f->now_us, c,
                                       f->n_servers, &work, &d);
    if (d.ask != kPlacementNone) {
        Read *ask = g_memdup2(q, sizeof(*q));
        g_ptr_array_add(f->reads, ask);
        ask->asks = ask->crossed = TRUE;
        ask->server = (uint32_t)d.ask;
        send_read(f, &f->sent, ask);
    }
    if (chosen == kPlacementNone) {
        count_result(f, q, FALSE);
        return;
    }
    q->server = (uint32_t)chosen;
    q->crossed = !c[chosen].same_domain;
    View *v = &f->views[q->instance][chosen];
    if (v->open < kOpenMax) {
        v->reads[v->open++] = q;
    }
    out->kept[d.reason] += !d.crossed;
    out->crossed += q->crossed;
    out->urgent += q->level == kUrgentLevel;
    out->crossed_urgent += q->crossed && q->level == kUrgentLevel;
    send_read(f, &f->sent, q);
}

/* Starts the reads of a domain's callers for a step. */
static void
start_reads(Fleet *f, uint32_t domain)
{
    const Load *load = f->load;
    gboolean bursts = disturbed(f) && load->burst[domain] != 0;
    uint32_t percent =
        load->wave_s != 0
            ? load->percent[f->now_us / kSecondUs / load->wave_s % 2 != domain]
        : bursts ? load->burst[domain]
                 : load->percent[domain];
    double mean = (double)percent / 100 * kSlots * kStepUs / kWorkUs;

    for (; mean > 0 && g_rand_double(f->random[kArrivals]) < mean; mean -= 1) {
        Read *q = g_new0(Read, 1);
        g_ptr_array_add(f->reads, q);
        q->instance =
            (uint32_t)g_rand_int_range(f->random[kArrivals], 0,
                                       (int32_t)f->n_instances / kDomains) *
                kDomains +
            domain;
        q->level = g_rand_int_range(f->random[kArrivals], 0, 3) == 0
                       ? kUrgentLevel
                       : kUsualLevel;
        q->started_us = f->now_us;
        start_read(f, q);
    }
}

static void
print_result(const Load *load, const char *policy, const Result *r)
{
    printf("\n    %s, %s: in time %.4f, crossed %.4f (urgent %.4f), mean "
           "%.1f ms of %" G_GUINT64_FORMAT,
           load->name, policy, (double)r->in_time / (double)r->count,
           (double)r->crossed / (double)r->count,
           (double)r->crossed_urgent / (double)MAX(r->urgent, 1),
           (double)r->sum_us / (double)r->count / 1000, r->count);
}

static Result
replay(const Load *load, gboolean former, uint32_t seed)
{
    Fleet *f = g_new0(Fleet, 1);

    f->load = load;
    f->former = former;
    f->n_instances =
        load->instances != 0 ? load->instances : (uint32_t)kUsualInstances;
    f->reads = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < kRandoms; i++) {
        f->random[i] = g_rand_new_with_seed(seed + i);
    }
    for (uint32_t d = 0; d < kDomains; d++) {
        for (uint32_t i = 0; i < load->servers[d]; i++) {
            f->servers[f->n_servers++] =
                (Server){.domain = d, .report.service_us = kWorkUs};
        }
    }
    for (uint32_t i = 0; i < kInstances * kServersMax; i++) {
        f->views[i / kServersMax][i % kServersMax].report.service_us = kWorkUs;
    }
    for (f->now_us = kBeginUs; f->now_us < kStopUs; f->now_us += kStepUs) {
        for (uint32_t d = 0; d < kDomains && f->now_us < kEndUs; d++) {
            start_reads(f, d);
        }
        deliver(f, &f->sent, read_arrived);
        for (uint32_t i = 0; i < f->n_servers; i++) {
            server_step(f, &f->servers[i]);
        }
        deliver(f, &f->results, result_arrived);
    }
    Result out = f->out;
    for (uint32_t i = 0; i < f->n_servers; i++) {
        g_queue_clear(&f->servers[i].queue);
        g_queue_clear(&f->servers[i].running);
    }
    g_queue_clear(&f->sent);
    g_queue_clear(&f->results);
    g_ptr_array_unref(f->reads);
    for (uint32_t i = 0; i < kRandoms; i++) {
        g_rand_free(f->random[i]);
    }
    g_free(f);
    return out;
}

static const Load kLoads[] = {
    /* Guards against crossings without gain. */
    {"both under half load", {1, 1}, {45, 45}, .most = 10},
    {"two servers each, half load", {2, 2}, {90, 90}, .most = 10},
    /* Guards against work that waits while the other domain is idle. */
    {"one load doubles", {1, 1}, {65, 40}, .most = 200, .burst = {130}},
    {"a third of the servers", {1, 2}, {110, 110}, .most = 200},
    {"slow link", {1, 1}, {60, 40}, .most = 100, .burst = {120}, .slow = TRUE},
    /* Guards against reads that are sent into a cut again and again, and
     * against an overloaded domain that is not relieved after it. */
    {"cut link", {1, 1}, {115, 50}, .most = 150, .cut = TRUE},
    /* Guards against work that is exchanged without a gain. */
    {"both full", {1, 1}, {120, 120}, .most = 50, .fewer = 1, .full = TRUE},
    /* Guards against shares that follow the waves too late. */
    {"opposite waves", {1, 1}, {130, 40}, .most = 250, .wave_s = 3},
    {"price 5 ms", {1, 1}, {130, 40}, .most = 250, .price_us = 5000},
    /* Guards against a price that lets reads fail. */
    {"price 1 s", {1, 1}, {130, 40}, .most = 250, .price_us = 1000000},
    /* Guards against instances with few reads that learn too late. */
    {"waves 1 s, 240",
     {1, 1},
     {130, 40},
     .most = 200,
     .wave_s = 1,
     .instances = 240,
     .gains = TRUE},
    {"waves 3 s, 240",
     {1, 1},
     {130, 40},
     .most = 200,
     .wave_s = 3,
     .instances = 240,
     .gains = TRUE},
    {"both at 95 %, 240", {1, 1}, {95, 95}, .most = 60, .instances = 240},
    {"price 15 ms",
     {1, 1},
     {105, 40},
     .most = 100,
     .price_us = 15000,
     .choice = TRUE},
};

/* Guards against a price that is not taken into account. */
static void
check_price(const Load *load, const Result *with)
{
    Load free_of_charge = *load;

    free_of_charge.price_us = 0;
    Result without = replay(&free_of_charge, FALSE, kFirstSeed);
    CU_ASSERT(with->crossed < without.crossed);
    CU_ASSERT(with->kept[kCrossingPrice] > 0);
    CU_ASSERT_EQUAL(without.kept[kCrossingPrice], 0);
    CU_ASSERT_EQUAL(with->in_time, without.in_time);
}

/* Guards against servers that idle in one domain while work waits in the
 * other: less than one read in a replay may be missing, as durations are
 * random.  Reads that still wait when the load ends do not count: a policy
 * under which reads wait longer has more of these. */
static void
check_full(const Load *load)
{
    enum { kReplays = 10, kSeedStep = 10 };
    uint64_t was = 0, is = 0;

    for (uint32_t i = 1; i <= kReplays; i++) {
        was += replay(load, TRUE, kFirstSeed + i * kSeedStep).during_load;
        is += replay(load, FALSE, kFirstSeed + i * kSeedStep).during_load;
    }
    printf("\n    in time while the load lasts, %d replays: %" G_GUINT64_FORMAT
           ", %" G_GUINT64_FORMAT,
           kReplays, was, is);
    CU_ASSERT(is + kReplays > was);
}

static void
replays_keep_their_bounds(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kLoads); i++) {
        const Load *load = &kLoads[i];
        Result was = replay(load, TRUE, kFirstSeed);
        Result is = replay(load, FALSE, kFirstSeed);

        print_result(load, "fixed 3 ms", &was);
        print_result(load, "crossing", &is);
        CU_ASSERT_EQUAL(was.count, is.count);
        CU_ASSERT(is.crossed * 1000 <= load->most * is.count);
        CU_ASSERT(load->gains ? is.sum_us < was.sum_us
                              : is.crossed <= was.crossed);
        CU_ASSERT(is.in_time * 1000 + is.count * load->fewer >=
                  was.in_time * 1000);
        /* Urgent work keeps the servers of its domain. */
        CU_ASSERT(is.crossed_urgent * is.count <= is.crossed * is.urgent);
        if (load->choice) {
            check_price(load, &is);
        }
        if (load->full) {
            check_full(load);
        }
    }
}

void
add_crossing_replay_suite(void)
{
    CU_pSuite s = CU_add_suite("crossing replay", NULL, NULL);
    CU_add_test(s, "replays keep their bounds", replays_keep_their_bounds);
}
