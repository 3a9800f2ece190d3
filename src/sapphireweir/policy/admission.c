#include "policy/admission.h"

#include <string.h>

/* Order and admission of the work at the owner of a backend server.  Designed
 * for a load of twice what the server can do, of which a fifth is urgent and
 * most is of a middle level, and for many teams of which one sends several
 * times its usual load.  Queueing by latency objective alone makes all work
 * late at the same time under such a load.
 *
 * Levels are served in order of urgency, each with a guaranteed minimum;
 * within a level, teams get equal shares by start time fair queueing.  The
 * admission level is found as in DAGOR: from how much work arrived at each
 * step and how much of it could be served. */

enum {
    kPermille = 1000,
    kMinimumPart = 10,     /* each level gets a tenth while work waits */
    kCreditStatements = 4, /* upper limit of the credit */
    kSwitchUs = 24000,     /* two handshakes: a team's advantage by reuse */
    /* Part of the capacity that may go to connections for other teams before
     * idle connections are used.  Without a limit, 79 teams on 39 connections
     * spent two of four slots on handshakes. */
    kHandshakeParts = 5,       /* a fifth */
    kHandshakeBurstUs = 60000, /* that may be used ahead of time */
    /* Wait until work may replace another team's idle connection while a
     * connection of its own team is in use. */
    kDisplaceWaitUs = 20000,
    kCostWeight = 16, /* the newest time has 1/16 of the smoothed one */
    kIntervalUs = 100000,
    /* The expected wait varies, and waiting work is looked at many times. */
    kHopelessDivisor = 32,
    kUsedSmoothing = 16,
    kHandshakeSmoothing = 4, /* the start of a load is noticed in 0.3 s */
    kSmoothing = 4,    /* the newest interval has 1/4 of a smoothed value */
    kShedPercent = 10, /* more is overload */
    kRaiseSteps = 32,  /* by interval, while a little work is shed */
    kRaiseFreelySteps = 128,
    kActiveMilli = 50,   /* of a team that counts for the mean */
    kOverShareTimes = 3, /* of the mean */
    kTeamsKept = 512,    /* then entries of teams without work are dropped */
    kTeamPriorities = 2,
    kBusyPermille = 780, /* of the capacity; then no slot is spare */
    /* Connections are scarce from a tenth of the capacity in handshakes on,
     * while four statements wait for each slot. */
    kScarcePermille = 100,
    kScarceWaiting = 4,
    /* By this factor the estimate is too long while connections are scarce and
     * there is too much work: part of the work ahead misses its objective
     * without having run. */
    kScarceWaitDivisor = 2,
    /* Work that arrives, of the capacity; below this it fits.  Service times
     * include a wait for a slot, so that 0.7 of the capacity looks like 0.85.
     */
    kFitsPermille = 950,
    kDemandSmoothing = 8,
    /* Late work counts like other work in the choice of a new connection when
     * so little is left until its deadline. */
    kDeadlineNearUs = 300000,
    /* Time in which the work that waited for added connections is caught up
     * with, as a multiple of the slot time of their handshakes. */
    kOpeningTimes = 10,
    kHandshakesMaxPermille = 800, /* in the expected wait */
    kUrgentLevels = 2, /* work that counts more for a new connection */
    kUrgentWeight = 3,
    kPlainWeight = 2,
    kValueScale = 1000000000,
    kAnswerUs = 4400, /* from the owner to the caller, between domains */
    /* Left until work is too late to start: with 20 ms, 0.4 % less was in time
     * at 79 teams on 39 connections. */
    kRiskUs = 40000,
    kLateGroup = 6, /* behind work that needs a connection: 3 to 5 */
    kConnectLastRank = 3 * kAdmissionLevels,
    kPlainPriorities = kAdmissionLevels / kTeamPriorities,
};

static void
team_free(void *team)
{
    AdmissionTeam *t = team;
    g_free(t->name);
    g_free(t);
}

/* Initializes the state of a server whose statements are expected to take
 * service_us. */
void
admission_init(Admission *a, uint64_t now_us, uint64_t service_us)
{
    *a = (Admission){.parallel = 1,
                     .demand_permille = kPermille,
                     .interval_us = now_us,
                     .gate.admitted = kAdmissionAll};
    a->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        a->cost_us[i] = MAX(service_us, 1);
    }
}

void
admission_clear(Admission *a)
{
    g_clear_pointer(&a->teams, g_hash_table_destroy);
}

/* Returns the level of work: the route's priority decides, then the team's. */
uint32_t
admission_level(uint32_t route_priority, uint32_t team_priority)
{
    return MIN(route_priority, (uint32_t)kPlainPriorities - 1) *
               kTeamPriorities +
           MIN(team_priority, (uint32_t)kTeamPriorities - 1);
}

/* Tells whether work of a step is admitted, where steps below admitted are.
 * The first steps of each level always are: they give it its minimum and show
 * when there is room again. */
gboolean
admission_admits(uint32_t admitted, uint32_t step)
{
    return step < admitted || step % kAdmissionSteps < kAdmissionMinimum;
}

/* Returns the entry of a team, creating it if needed. */
static AdmissionTeam *
team_of(Admission *a, const char *team)
{
    AdmissionTeam *t = g_hash_table_lookup(a->teams, team);

    if (t == NULL) {
        t = g_new0(AdmissionTeam, 1);
        t->name = g_strdup(team);
        t->gate.admitted = kAdmissionAll;
        g_hash_table_insert(a->teams, t->name, t);
    }
    return t;
}

/* Adds work to that which waits. */
void
admission_enter(Admission *a, AdmissionWork *w, const char *team)
{
    w->team = team_of(a, team);
    w->team->waiting++;
    a->waiting[w->level]++;
}

/* Counts work that a borrower sent, whether or not it is rejected. */
void
admission_arrived(Admission *a, const AdmissionWork *w, const char *team)
{
    team_of(a, team)->gate.arrived[w->level]++;
}

/* Records that work starts without having waited, since it continues a
 * transaction. */
void
admission_continued(Admission *a, const AdmissionWork *w)
{
    a->started_us[w->level] += a->cost_us[w->level];
    a->continued_us += a->cost_us[w->level];
}

/* Returns the admission level, from which step on work is rejected: for a team
 * its own, zero if it has none; for NULL that of all teams. */
uint32_t
admission_admitted(const Admission *a, const char *team)
{
    if (team == NULL) {
        return a->gate.admitted;
    }
    const AdmissionTeam *t = g_hash_table_lookup(a->teams, team);
    return t != NULL && t->over_share ? t->gate.admitted : 0;
}

/* Removes work from that which waits, before admission_started is called if
 * it runs. */
void
admission_leave(Admission *a, AdmissionWork *w)
{
    w->team->waiting--;
    if (--a->waiting[w->level] == 0) {
        a->credit_us[w->level] = 0;
    }
}

/* Tells whether work waits for connections rather than for slots: handshakes
 * take much of the capacity, and what waits would keep all slots busy. */
static gboolean
is_scarce(const Admission *a)
{
    uint32_t waiting = 0;

    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        waiting += a->waiting[i];
    }
    return a->handshakes_permille >= kScarcePermille &&
           waiting >= kScarceWaiting * a->parallel;
}

/* Tells whether the server could do all work that arrives if no connections
 * had to be opened. */
static gboolean
fits(const Admission *a)
{
    return a->demand_permille < kFitsPermille;
}

/* Tells whether work waits because connections are being opened, and not
 * because there is too much of it: at the start of an owner or after its
 * server was replaced, or because connections are scarce. */
static gboolean
is_opening(const Admission *a, uint64_t now_us)
{
    return fits(a) && (now_us < a->opening_until_us || is_scarce(a));
}

/* Tells whether work that is expected to miss its objective after wait_us is
 * kept nevertheless: while connections are opened, if its deadline can be
 * met. */
gboolean
admission_keeps_late(const Admission *a, uint64_t now_us, uint64_t wait_us,
                     const AdmissionWork *w)
{
    return is_opening(a, now_us) &&
           now_us + wait_us + a->cost_us[w->level] + kAnswerUs <=
               w->deadline_us;
}

/* Returns the start tag of the next work of a team. */
static uint64_t
start_tag_us(const Admission *a, const AdmissionWork *w)
{
    return MAX(w->team->tag_us[w->level], a->virtual_us[w->level]);
}

/* Tells whether the work would miss its objective if it started now. */
static gboolean
is_late(const Admission *a, uint64_t now_us, const AdmissionWork *w)
{
    return w->demoted ||
           now_us + a->cost_us[w->level] + kAnswerUs > w->objective_us;
}

/* Returns the rank of work, smaller ones go first: levels with an unused
 * minimum, work that would soon miss its objective, other work, late work; in
 * each group by level.  The second group keeps less urgent work from being
 * late because of urgent work that has time. */
static uint32_t
rank_of(const Admission *a, uint64_t now_us, const AdmissionWork *w)
{
    uint64_t cost_us = a->cost_us[w->level];
    uint32_t group = 2;

    if (is_late(a, now_us, w)) {
        group = kLateGroup;
    }
    else if (a->credit_us[w->level] >= cost_us) {
        group = 0;
    }
    else if (now_us + cost_us + kRiskUs > w->objective_us) {
        group = 1;
    }
    return group * kAdmissionLevels + w->level;
}

/* Tells whether work that needs a new connection may go before work that does
 * not. */
static gboolean
may_connect_first(const Admission *a, uint64_t now_us)
{
    return a->handshakes_paid_us < now_us + kHandshakeBurstUs;
}

/* Tells whether the last intervals left no slot to spare. */
static gboolean
is_busy(const Admission *a)
{
    uint32_t used = a->handshakes_permille;

    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        used += a->used_permille[i];
    }
    return used >= kBusyPermille;
}

/* Tells whether work that waited for waited_us may replace an idle connection
 * of another team.  team_connections are those of its own team, all in use,
 * open the statements and handshakes at the server. */
gboolean
admission_may_displace(const Admission *a, uint64_t waited_us,
                       uint32_t team_connections, uint32_t open)
{
    return waited_us >= kDisplaceWaitUs ||
           (team_connections == 0 && open * 2 < a->parallel && !is_busy(a));
}

/* Tells whether late work may use a new connection like work in time, since
 * its deadline is near and the load is not the reason why it waits. */
static gboolean
is_last_chance(const Admission *a, uint64_t now_us, const AdmissionWork *w)
{
    return fits(a) && w->deadline_us < now_us + kDeadlineNearUs;
}

/* Sets for each team what a new connection is worth: the work that would be in
 * time on it, urgent work counting more, and the slot time of this work. */
static void
value_connections(const Admission *a, uint64_t now_us,
                  AdmissionWork *const *works, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        works[i]->team->in_time = 0;
        works[i]->team->in_time_us = 0;
    }
    for (size_t i = 0; i < count; i++) {
        const AdmissionWork *w = works[i];
        gboolean late = is_late(a, now_us + a->connect_us, w);
        if (!late || is_last_chance(a, now_us, w)) {
            w->team->in_time += !late && w->level < kUrgentLevels
                                    ? kUrgentWeight
                                    : kPlainWeight;
            w->team->in_time_us += a->cost_us[w->level];
        }
    }
}

/* Returns the order of a team's work among that which needs a new connection
 * while connections are scarce: by what a new connection serves, for the slot
 * time that it and this work take; the smallest goes first.  One and a half
 * times the time of a handshake counts, since it also waits for a slot; with
 * once its time, 79 teams on 39 connections needed 4 % more handshakes. */
static uint64_t
scarce_tag_us(const Admission *a, const AdmissionTeam *t)
{
    uint64_t took_us = a->connect_us * 3 / 2 + t->in_time_us;

    return UINT32_MAX - kValueScale * (uint64_t)t->in_time / MAX(took_us, 1);
}

/* Changes the rank and the tag of work that needs a new connection, where
 * first tells that it may go before work that needs none. */
static void
rank_connecting(const Admission *a, const AdmissionWork *w, gboolean first,
                uint32_t *rank, uint64_t *tag_us)
{
    if (first) {
        *tag_us += kSwitchUs;
        return;
    }
    if (is_scarce(a)) {
        *rank = *rank < kLateGroup * kAdmissionLevels
                    ? 0
                    : kLateGroup * kAdmissionLevels;
        *tag_us = scarce_tag_us(a, w->team);
    }
    else {
        *tag_us =
            is_busy(a) ? UINT32_MAX - w->team->waiting : *tag_us + kSwitchUs;
    }
    *rank += kConnectLastRank;
}

/* Returns the index of the work to start next, or kAdmissionNone: by rank,
 * then by the team's share.  Work that needs a new connection goes behind work
 * in time that does not, once connections have used up their part of the
 * capacity or are scarce.  While they are scarce, the team whose work makes
 * most of a connection gets it, whatever the level of its first work; while
 * only slots are, the team with most work waiting.  Late work that needs no
 * new connection goes before work that does, if only connections are scarce:
 * it would wait until its deadline otherwise.  works are in the order in
 * which those of one team and level run. */
int
admission_pick(const Admission *a, uint64_t now_us,
               AdmissionWork *const *works, size_t count, AdmissionCheck check,
               void *ctx)
{
    int best = kAdmissionNone;
    uint32_t best_rank = 0;
    uint64_t best_tag_us = 0;
    gboolean scarce = is_scarce(a);
    gboolean connect_first = !scarce && may_connect_first(a, now_us);

    if (scarce) {
        value_connections(a, now_us, works, count);
    }

    for (size_t i = 0; i < count; i++) {
        uint32_t rank = rank_of(a, now_us, works[i]);
        uint64_t tag_us = start_tag_us(a, works[i]);
        if (scarce && fits(a)) {
            rank = MIN(rank, (uint32_t)kConnectLastRank - 1);
        }
        if (best != kAdmissionNone &&
            (rank > best_rank ||
             (rank == best_rank && tag_us >= best_tag_us))) {
            continue;
        }
        AdmissionStart start = check(ctx, i);
        if (start == kAdmissionBlocked) {
            continue;
        }
        if (start == kAdmissionConnect) {
            rank_connecting(a, works[i], connect_first, &rank, &tag_us);
        }
        if (best == kAdmissionNone || rank < best_rank ||
            (rank == best_rank && tag_us < best_tag_us)) {
            best = (int)i;
            best_rank = rank;
            best_tag_us = tag_us;
        }
    }
    return best;
}

/* Records that work starts: charges its team and level, and adds to the
 * minimum of the levels that have work waiting. */
void
admission_started(Admission *a, const AdmissionWork *w)
{
    uint32_t level = w->level;
    uint64_t cost_us = a->cost_us[level];
    uint64_t start_us = start_tag_us(a, w);

    /* The chosen tag may exceed the lowest one by kSwitchUs. */
    if (start_us > a->virtual_us[level] + kSwitchUs) {
        a->virtual_us[level] = start_us - kSwitchUs;
    }
    w->team->tag_us[level] = start_us + cost_us;
    a->started_us[level] += cost_us;
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        if (a->waiting[i] > 0 && i != level) {
            a->credit_us[i] = MIN(a->credit_us[i] + cost_us / kMinimumPart,
                                  a->cost_us[i] * kCreditStatements);
        }
    }
    a->credit_us[level] -= MIN(a->credit_us[level], cost_us);
}

/* Records that a connection is opened, which takes connect_us of a slot: one
 * that is added, or else one in place of another. */
void
admission_connecting(Admission *a, uint64_t now_us, uint64_t connect_us,
                     gboolean added)
{
    if (added) {
        a->opening_until_us = MAX(a->opening_until_us, now_us) +
                              connect_us * kOpeningTimes / MAX(a->parallel, 1);
    }
    a->connect_us = connect_us;
    a->handshakes_us += connect_us;
    a->handshakes_paid_us = MAX(a->handshakes_paid_us, now_us) +
                            connect_us * kHandshakeParts / MAX(a->parallel, 1);
}

/* Records that a connection is opened before work asks for it.  Work that
 * needs a connection keeps its part of the capacity. */
void
admission_connecting_ahead(Admission *a, uint64_t connect_us)
{
    a->connect_us = connect_us;
    a->handshakes_us += connect_us;
}

/* Records that work of a level was answered after took_us. */
void
admission_finished(Admission *a, const AdmissionWork *w, uint64_t took_us)
{
    uint64_t *cost_us = &a->cost_us[w->level];

    a->finished++;
    *cost_us = MAX((*cost_us * (kCostWeight - 1) + took_us) / kCostWeight, 1);
}

/* Records that work was rejected because of the load. */
void
admission_shed(Admission *a, const char *team)
{
    a->shed++;
    team_of(a, team)->gate.shed++;
}

/* Returns the number of works of w's team and level that run before it. */
static uint32_t
position_in_team(AdmissionWork *const *works, size_t count,
                 const AdmissionWork *w)
{
    uint32_t ahead = 0;

    for (size_t i = 0; i < count && works[i] != w; i++) {
        ahead += works[i]->team == w->team && works[i]->level == w->level;
    }
    return ahead;
}

/* Work, in microseconds, that runs before other work. */
typedef struct {
    uint64_t urgent_us; /* of more urgent levels */
    uint64_t level_us;  /* of the same level */
} WorkAhead;

/* Returns the work that runs before w: that of more urgent levels, and from
 * each team of its level as much as from its own. */
static WorkAhead
work_ahead(const Admission *a, AdmissionWork *const *works, size_t count,
           const AdmissionWork *w)
{
    uint32_t position = position_in_team(works, count, w);
    WorkAhead ahead = {0};

    for (size_t i = 0; i < count; i++) {
        works[i]->team->scratch = 0;
    }
    for (size_t i = 0; i < count; i++) {
        const AdmissionWork *v = works[i];
        if (v == w || v->level > w->level || (v->demoted && !w->demoted)) {
            continue;
        }
        if (v->level < w->level) {
            ahead.urgent_us += a->cost_us[v->level];
        }
        else if (v->team->scratch < position + (v->team != w->team)) {
            v->team->scratch++;
            ahead.level_us += a->cost_us[v->level];
        }
    }
    return ahead;
}

/* Returns the expected wait of work, in microseconds: the work ahead, divided
 * by the part of the capacity that more urgent levels leave (the waiting time
 * of a priority queue), but no more than with the guaranteed minimum of its
 * level.  If the load fits, the part of the capacity that handshakes take is
 * not there for work.  If it does not, handshakes are not counted, since a
 * longer queue holds more work of a team for each of them, and while
 * connections are scarce half of this is expected.  w may be among works or
 * not, but has been passed to admission_enter. */
uint64_t
admission_wait_us(const Admission *a, AdmissionWork *const *works,
                  size_t count, const AdmissionWork *w)
{
    WorkAhead ahead = work_ahead(a, works, count, w);
    uint32_t used = 0;

    for (uint32_t i = 0; i < w->level; i++) {
        used += a->used_permille[i];
    }
    uint32_t left = used < kPermille ? kPermille - used : 1;
    uint64_t plain_us = (ahead.urgent_us + ahead.level_us) * kPermille / left;
    uint64_t minimum_us =
        (ahead.level_us + a->cost_us[w->level]) * kMinimumPart;
    uint64_t wait_us = MIN(plain_us, minimum_us) / MAX(a->parallel, 1);
    if (!fits(a)) {
        return is_scarce(a) ? wait_us / kScarceWaitDivisor : wait_us;
    }
    return wait_us * kPermille /
           (kPermille -
            MIN(a->handshakes_permille, (uint32_t)kHandshakesMaxPermille));
}

/* Returns the index of work that can no longer meet its objective, the least
 * urgent and last of those, or kAdmissionNone.  Late work is not considered;
 * it runs when nothing else waits.  While connections are opened, all work
 * may wait until its deadline. */
int
admission_hopeless(const Admission *a, uint64_t now_us,
                   AdmissionWork *const *works, size_t count)
{
    int found = kAdmissionNone;

    if (is_opening(a, now_us)) {
        return kAdmissionNone;
    }
    for (size_t i = count; i > 0; i--) {
        const AdmissionWork *w = works[i - 1];
        if (is_late(a, now_us, w) ||
            (found != kAdmissionNone && w->level <= works[found]->level)) {
            continue;
        }
        uint64_t wait_us = admission_wait_us(a, works, count, w);
        if (now_us + wait_us / kHopelessDivisor + a->cost_us[w->level] >
            w->objective_us) {
            found = (int)(i - 1);
        }
    }
    return found;
}

static gboolean
is_unused(void *name, void *team, void *ctx)
{
    (void)name;
    (void)ctx;
    return ((AdmissionTeam *)team)->waiting == 0;
}

static uint64_t
smooth(uint64_t former, uint64_t newest, uint32_t weight)
{
    return (former * (weight - 1) + newest) / weight;
}

static uint32_t
gate_arrived(const AdmissionGate *gate)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        sum += gate->arrived[i];
    }
    return sum;
}

/* Returns the step below which as much work arrived as was served. */
static uint32_t
served_steps(const AdmissionGate *gate)
{
    uint32_t served = gate_arrived(gate);
    uint32_t level = 0;

    served -= MIN(gate->shed, served);
    while (level < kAdmissionLevels && gate->arrived[level] <= served) {
        served -= gate->arrived[level++];
    }
    if (level == kAdmissionLevels) {
        return kAdmissionAll;
    }
    return MAX(level * kAdmissionSteps +
                   kAdmissionSteps * served / gate->arrived[level],
               (uint32_t)kAdmissionSteps);
}

/* Adapts the admission level to the interval: to what was served after too
 * much was shed, else up.  Then begins the next interval. */
static void
gate_tick(AdmissionGate *gate)
{
    gate->arrived_milli =
        smooth(gate->arrived_milli, (uint64_t)gate_arrived(gate) * kPermille,
               kSmoothing);
    gate->shed_milli =
        smooth(gate->shed_milli, (uint64_t)gate->shed * kPermille, kSmoothing);
    if (gate->shed > 0 &&
        gate->shed_milli * 100 > gate->arrived_milli * kShedPercent) {
        gate->admitted = MIN(gate->admitted, served_steps(gate));
    }
    else {
        gate->admitted += gate->shed > 0 ? kRaiseSteps : kRaiseFreelySteps;
        gate->admitted = MIN(gate->admitted, (uint32_t)kAdmissionAll);
    }
    memset(gate->arrived, 0, sizeof(gate->arrived));
    gate->shed = 0;
}

/* Adds the interval of a team to that of all teams. */
static void
gate_add(AdmissionGate *all, const AdmissionGate *team)
{
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        all->arrived[i] += team->arrived[i];
    }
    all->shed += team->shed;
}

/* Adapts the admission levels.  A team that sends several times the mean has
 * one of its own, so that others are not rejected because of it.  What is shed
 * while connections are opened shows no overload and lowers none. */
static void
gates_tick(Admission *a, gboolean opening)
{
    GHashTableIter it;
    void *value;
    uint64_t sum_milli = 0;
    uint32_t active = 0;

    g_hash_table_iter_init(&it, a->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const AdmissionTeam *t = value;
        sum_milli += t->gate.arrived_milli;
        active += t->gate.arrived_milli >= kActiveMilli;
    }
    g_hash_table_iter_init(&it, a->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        AdmissionTeam *t = value;
        t->gate.shed = opening ? 0 : t->gate.shed;
        t->over_share = active > 1 && t->gate.arrived_milli * active >
                                          sum_milli * kOverShareTimes;
        if (!t->over_share) {
            gate_add(&a->gate, &t->gate);
        }
        gate_tick(&t->gate);
    }
    gate_tick(&a->gate);
}

/* Returns the service time of the work that arrived in the interval, with that
 * of transactions under way. */
static uint64_t
arrived_us(const Admission *a)
{
    GHashTableIter it;
    void *value;
    uint64_t sum_us = a->continued_us;

    g_hash_table_iter_init(&it, a->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const AdmissionTeam *t = value;
        for (uint32_t i = 0; i < kAdmissionLevels; i++) {
            sum_us += t->gate.arrived[i] * a->cost_us[i];
        }
    }
    return sum_us;
}

/* Ends the interval if it is over, and adapts the admission level to it. */
void
admission_tick(Admission *a, uint64_t now_us)
{
    uint64_t span_us = now_us - a->interval_us;
    uint64_t capacity_us = MAX(span_us * a->parallel, 1);

    if (span_us < kIntervalUs) {
        return;
    }
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        a->used_permille[i] = (uint32_t)smooth(
            a->used_permille[i], a->started_us[i] * kPermille / capacity_us,
            kUsedSmoothing);
    }
    a->handshakes_permille = (uint32_t)smooth(
        a->handshakes_permille, a->handshakes_us * kPermille / capacity_us,
        kHandshakeSmoothing);
    a->drain_milli_per_s =
        smooth(a->drain_milli_per_s, a->finished * 1000000000ULL / span_us,
               kSmoothing);
    a->shed_milli_per_s = smooth(
        a->shed_milli_per_s, a->shed * 1000000000ULL / span_us, kSmoothing);
    a->demand_permille = (uint32_t)smooth(
        a->demand_permille, arrived_us(a) * kPermille / capacity_us,
        kDemandSmoothing);
    gates_tick(a, is_opening(a, now_us));
    memset(a->started_us, 0, sizeof(a->started_us));
    a->shed = a->finished = 0;
    a->handshakes_us = 0;
    a->continued_us = 0;
    a->interval_us = now_us;
    if (g_hash_table_size(a->teams) > kTeamsKept) {
        g_hash_table_foreach_remove(a->teams, is_unused, NULL);
    }
}
