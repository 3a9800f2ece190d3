#include <string.h>

#include "gateway/serverpool_internal.h"

/* Carries out what policy/admission.c decides about the work that waits at a
 * pool, if the configuration has priorities. */

enum {
    /* Between two looks for work that has to be shed, which compare each
     * waiting job with all others. */
    kShedIntervalUs = 50000,
    /* Part of the connections that transactions may hold while idle. */
    kIdlePercent = 70,
    kLimitedUs = 2000000, /* without a limit, until that is logged */
};

/* Initializes the queue of a new pool. */
void
serverpool_queue_init(ServerPool *pool)
{
    admission_init(&pool->admission, 0, pool->server->service_us);
    pool->admission.parallel = MAX(pool->server->slots, 1);
}

/* Counts the commands of a borrower as work, and sets the level of the job
 * unless they continue its transaction. */
void
serverpool_queue_arrived(PooledJob *j, uint64_t now_us, const Sw__RelayRun *m)
{
    Admission *a = &j->pool->admission;
    uint32_t level =
        m->step == 0 ? kAdmissionMiddle : (m->step - 1) / kAdmissionSteps;

    serverpool_team_used(j->pool->gateway, now_us, j->team);
    if (m->continues) {
        admission_continued(a, &j->work);
        return;
    }
    j->work = (AdmissionWork){
        .level = MIN(level, (uint32_t)kAdmissionLevels - 1),
        .objective_us = now_us + MIN(m->target_us, m->due_us),
        .deadline_us = j->deadline_us,
        .demoted = m->target_us >= m->due_us + kDemotionPenaltyUs,
    };
    admission_arrived(a, &j->work, j->team);
}

/* Returns the work of the waiting jobs, in queue order, to be freed by the
 * caller. */
static AdmissionWork **
waiting_works(const ServerPool *pool)
{
    AdmissionWork **works = g_new(AdmissionWork *, pool->waiting.length + 1);
    size_t count = 0;

    for (GList *l = pool->waiting.head; l != NULL; l = l->next) {
        works[count++] = &((PooledJob *)l->data)->work;
    }
    return works;
}

/* Returns the job of a work. */
static PooledJob *
job_of(AdmissionWork *w)
{
    return (PooledJob *)((char *)w - offsetof(PooledJob, work));
}

/* Tells whether a job that has just arrived is expected to wait for longer
 * than patience_us, and is not kept nevertheless. */
gboolean
serverpool_queue_is_too_long(PooledJob *j, uint64_t patience_us)
{
    ServerPool *pool = j->pool;

    if (!pool->gateway->prioritized) {
        return serverpool_wait_us(pool, j->order_us) > patience_us;
    }
    AdmissionWork **works = waiting_works(pool);
    admission_enter(&pool->admission, &j->work, j->team);
    uint64_t wait_us = admission_wait_us(&pool->admission, works,
                                         pool->waiting.length, &j->work);
    admission_leave(&pool->admission, &j->work);
    g_free(works);
    if (wait_us <= patience_us) {
        return FALSE;
    }
    if (j->arrived_us + wait_us <= j->work.objective_us) {
        return TRUE; /* the borrower only asked if another server is better */
    }
    if (admission_keeps_late(&pool->admission, j->arrived_us, wait_us,
                             &j->work)) {
        pool->gateway->counters.relays_kept_late++;
        return FALSE;
    }
    admission_shed(&pool->admission, j->team);
    return TRUE;
}

/* ---- connections ---- */

/* Returns the number of a team's connections. */
static uint32_t
connections_of(const ServerPool *pool, const char *team)
{
    uint32_t count = 0;

    for (guint i = 0; i < pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(pool->connections, i);
        count += strcmp(c->team, team) == 0;
    }
    return count;
}

/* Tells whether there are more teams than the owner may have connections.
 * Then a team opens one at a time, so that its first statements after a start
 * do not take the connections of several teams. */
static gboolean
has_few_connections(const ServerPool *pool, uint64_t now_us)
{
    const Document *document = pool->gateway->document;

    return document != NULL && g_hash_table_size(document->teams) >
                                   serverpool_max_connections(pool, now_us);
}

/* Returns a connection of a team that is being opened, or NULL. */
static const PooledConnection *
opening_of(const ServerPool *pool, const char *team)
{
    for (guint i = 0; i < pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(pool->connections, i);
        if (c->state == kPooledOpening && strcmp(c->team, team) == 0) {
            return c;
        }
    }
    return NULL;
}

/* Returns the idle connection to be replaced by another team's, or NULL: the
 * one idle for longest of those whose team has another one, since a team
 * without any needs a handshake for its next work; else of all. */
static PooledConnection *
replaceable(const ServerPool *pool)
{
    PooledConnection *found = NULL;

    for (guint i = 0; i < pool->connections->len; i++) {
        PooledConnection *c = g_ptr_array_index(pool->connections, i);
        if (c->state == kPooledIdle &&
            (found == NULL || c->state_since_us < found->state_since_us) &&
            connections_of(pool, c->team) > 1) {
            found = c;
        }
    }
    return found == NULL ? pooled_longest_idle(pool) : found;
}

/* Returns the number of connections that idle transactions hold. */
static uint32_t
held_by_idle(const ServerPool *pool)
{
    uint32_t count = 0;

    for (guint i = 0; i < pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(pool->connections, i);
        count += c->state == kPooledLent && !c->awaiting;
    }
    return count;
}

/* ---- starting work ---- */

typedef struct {
    ServerPool *pool;
    AdmissionWork **works;
    uint64_t now_us;
    gboolean transactions; /* another one may start */
} StartCheck;

/* Tells how a waiting job could be started; an AdmissionCheck. */
static AdmissionStart
job_start(void *ctx, size_t index)
{
    const StartCheck *check = ctx;
    ServerPool *pool = check->pool;
    const Server *s = pool->server;
    PooledJob *j = job_of(check->works[index]);
    uint64_t now_us = check->now_us;

    if (now_us < j->retry_at_us || (!j->run->single && !check->transactions)) {
        return kAdmissionBlocked;
    }
    PooledConnection *idle = pooled_idle_for(pool, j);
    if (idle != NULL) {
        return pooled_may_send(idle, j, now_us) ? kAdmissionMatched
                                                : kAdmissionBlocked;
    }
    if (j->opening != NULL || now_us < s->avoid_until_us ||
        now_us < s->connect_after_us) {
        return kAdmissionBlocked;
    }
    if (pool->connections->len < serverpool_max_connections(pool, now_us)) {
        const PooledConnection *opening = opening_of(pool, j->team);
        return opening != NULL &&
                       (opening->ahead || has_few_connections(pool, now_us))
                   ? kAdmissionBlocked
                   : kAdmissionConnect;
    }
    return pooled_longest_idle(pool) != NULL &&
                   opening_of(pool, j->team) == NULL &&
                   admission_may_displace(
                       &pool->admission, now_us - j->arrived_us,
                       connections_of(pool, j->team), pool->open)
               ? kAdmissionConnect
               : kAdmissionBlocked;
}

/* Runs a job on an idle connection of its team, or opens one for it. */
static void
job_begin(PooledJob *j, uint64_t now_us)
{
    ServerPool *pool = j->pool;
    Admission *a = &pool->admission;
    PooledConnection *c = pooled_idle_for(pool, j);

    if (c != NULL) {
        admission_started(a, &j->work);
        pool->gateway->counters.levels[j->work.level].admitted++;
        pooled_run(c, j, now_us);
        return;
    }
    gboolean added =
        pool->connections->len < serverpool_max_connections(pool, now_us);
    if (!added) {
        pooled_close(replaceable(pool));
    }
    admission_connecting(a, now_us, kHandshakeUs, added);
    j->opening = pooled_open(pool, j->team, now_us);
}

/* Tells whether a job that was chosen may be started now. */
static gboolean
may_begin(PooledJob *j, uint64_t now_us)
{
    PooledConnection *c = pooled_idle_for(j->pool, j);

    return c == NULL ? serverpool_has_room(j->pool)
                     : pooled_may_start(c, j, now_us);
}

/* Starts waiting jobs as far as the server has room, or their sessions' state
 * may be set up ahead. */
void
serverpool_queue_pump(ServerPool *pool, uint64_t now_us)
{
    while (pool->waiting.length > 0 && (serverpool_has_room(pool) ||
                                        serverpool_may_set_up(pool, now_us))) {
        uint32_t max_held =
            serverpool_max_connections(pool, now_us) * kIdlePercent / 100;
        StartCheck check = {
            .pool = pool,
            .works = waiting_works(pool),
            .now_us = now_us,
            .transactions = held_by_idle(pool) < MAX(max_held, 1),
        };
        int chosen = admission_pick(&pool->admission, now_us, check.works,
                                    pool->waiting.length, job_start, &check);
        PooledJob *j =
            chosen == kAdmissionNone ? NULL : job_of(check.works[chosen]);
        g_free(check.works);
        if (j == NULL || !may_begin(j, now_us)) {
            return;
        }
        job_begin(j, now_us);
    }
}

/* ---- time ---- */

/* Rejects the waiting jobs that can no longer meet their objective. */
static void
shed_hopeless(ServerPool *pool, uint64_t now_us)
{
    for (;;) {
        AdmissionWork **works = waiting_works(pool);
        int found = admission_hopeless(&pool->admission, now_us, works,
                                       pool->waiting.length);
        PooledJob *j = found == kAdmissionNone ? NULL : job_of(works[found]);
        g_free(works);
        if (j == NULL) {
            return;
        }
        admission_shed(&pool->admission, j->team);
        pooled_job_reject(j, now_us);
    }
}

/* Logs that the admission level of a server began or ceased to limit work. */
static void
log_admission(const ServerPool *pool, uint64_t now_us)
{
    const Server *s = pool->server;
    EventLine line;

    event_begin(&line, pool->gateway->events, now_us, kEventAdmission);
    event_text(&line, "server", s->id);
    event_text(&line, "database", s->database->name);
    event_number(&line, "admitted", pool->admission.gate.admitted);
    event_number(&line, "queue", pool->waiting.length);
    event_end(&line);
}

/* Notes whether the admission level limits work. */
static void
note_admission(ServerPool *pool, uint64_t now_us)
{
    gboolean limits = pool->admission.gate.admitted < kAdmissionAll;

    if (limits) {
        if (pool->limited_us == 0) {
            log_admission(pool, now_us);
        }
        pool->limited_us = now_us;
    }
    else if (pool->limited_us != 0 && now_us - pool->limited_us > kLimitedUs) {
        pool->limited_us = 0;
        log_admission(pool, now_us);
    }
}

/* Sheds work and adapts the admission level. */
void
serverpool_queue_tick(ServerPool *pool, uint64_t now_us)
{
    pool->admission.parallel = MAX(pool->server->slots, 1);
    admission_tick(&pool->admission, now_us);
    if (!pool->gateway->prioritized || now_us < pool->shed_due_us) {
        return;
    }
    pool->shed_due_us = now_us + kShedIntervalUs;
    note_admission(pool, now_us);
    shed_hopeless(pool, now_us);
}

/* Returns the expected wait of the next work of a level and team. */
static uint64_t
next_wait_us(ServerPool *pool, uint32_t level, const char *team)
{
    AdmissionWork **works = waiting_works(pool);
    AdmissionWork next = {.level = level};

    admission_enter(&pool->admission, &next, team);
    uint64_t wait_us = admission_wait_us(&pool->admission, works,
                                         pool->waiting.length, &next);
    admission_leave(&pool->admission, &next);
    g_free(works);
    return wait_us;
}

/* Sets the load of a server for work of a level and team that has not been
 * sent yet.  Returns FALSE if this instance has no such server. */
gboolean
serverpool_load(Gateway *g, const char *server, uint32_t level,
                const char *team, Sw__RelayLoad *out)
{
    const Server *s = g_hash_table_lookup(g->servers, server);

    if (s == NULL || s->gone || level >= kAdmissionLevels) {
        return FALSE;
    }
    out->service_us = s->service_us;
    if (s->pool == NULL) {
        return TRUE;
    }
    const Admission *a = &s->pool->admission;
    out->wait_us = next_wait_us(s->pool, level, team);
    out->admitted = admission_admitted(a, NULL);
    out->drain_milli_per_s = a->drain_milli_per_s;
    out->shed_milli_per_s = a->shed_milli_per_s;
    return TRUE;
}

/* Adds the admission level and the load to the result of a job. */
void
serverpool_queue_report(const PooledJob *j, Sw__RelayResult *m)
{
    const Admission *a = &j->pool->admission;

    if (!j->pool->gateway->prioritized) {
        return;
    }
    m->wait_us = next_wait_us(j->pool, j->work.level, j->team);
    m->admitted = admission_admitted(a, NULL);
    m->team_admitted = admission_admitted(a, j->team);
    m->drain_milli_per_s = a->drain_milli_per_s;
    m->shed_milli_per_s = a->shed_milli_per_s;
}

/* ---- metrics ---- */

/* Sums over the servers that this instance owns. */
typedef struct {
    uint64_t waiting[kAdmissionLevels];
    uint64_t opening, idle, busy, idle_transactions; /* connections */
    uint32_t admitted; /* the lowest admission level */
} LoadSums;

static void
add_pool(LoadSums *sums, const ServerPool *pool)
{
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        sums->waiting[i] += pool->admission.waiting[i];
    }
    for (guint i = 0; i < pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(pool->connections, i);
        sums->opening += c->state == kPooledOpening;
        sums->idle += c->state == kPooledIdle;
        sums->busy += c->awaiting;
        sums->idle_transactions += c->state == kPooledLent && !c->awaiting;
    }
    sums->admitted = MIN(sums->admitted, pool->admission.gate.admitted);
}

static void
write_level(const char *name, uint32_t level, uint64_t value, GString *out)
{
    char full[64];

    g_snprintf(full, sizeof(full), "%s{level=\"%u\"}", name, level);
    counter_write_text(full, value, out);
}

/* Appends the work of each level and the use of the connections to out. */
void
serverpool_metrics_write(const Gateway *g, GString *out)
{
    LoadSums sums = {.admitted = kAdmissionAll};
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Server *s = value;
        if (s->pool != NULL) {
            add_pool(&sums, s->pool);
        }
    }
    for (uint32_t i = 0; i < kAdmissionLevels; i++) {
        const LevelCounters *n = &g->counters.levels[i];
        write_level("owner_waiting", i, sums.waiting[i], out);
        write_level("owner_admitted_total", i, n->admitted, out);
        write_level("owner_rejected_total", i, n->rejected, out);
        write_level("not_sent_total", i, n->not_sent, out);
    }
    counter_write_text("admission_step_lowest", sums.admitted, out);
    counter_write_text("owner_connections_opening", sums.opening, out);
    counter_write_text("owner_connections_idle", sums.idle, out);
    counter_write_text("owner_connections_busy", sums.busy, out);
    counter_write_text("owner_connections_idle_transactions",
                       sums.idle_transactions, out);
}
