#include <string.h>

#include "fleet/director_internal.h"
#include "fleet/suspect.h"

/* Changes of a database's primary.  The leader asks the replicas first,
 * then withdraws the right to the old primary and logs that it does.  It
 * asks for a promotion only when every entry instance has let go or its
 * lease has run out, so nobody writes at, or reads strictly from, a primary
 * that has been replaced. */

enum {
    kMaxEvidenceAgeUs = 800000, /* older reports say nothing */
    kProbeWaitUs = 150000,      /* for all replicas' answers */
    kProbeTimeoutUs = 2200000,
    kPrimaryWaitUs = 100000,   /* for the suspected primary's own answer */
    kMaxSuspicionUs = 1200000, /* it answers the leader, but few callers */
    kMaxQuiesceUs = 500000,    /* open transactions may end */
    kLeaseMarginUs = 60000,    /* clocks that run apart within a lease */
    kStatusRetryUs = 60000,
    kMaxCatchUpUs = 800000,        /* a planned change's wait for a replica */
    kPromotionTimeoutUs = 3000000, /* a promotion that shows no effect */
    kProposalRetryUs = 500000,     /* a proposal that does not commit */
    kPromotionRetryUs = 150000,    /* one that was refused or not answered */
    kMaxRoleAgeUs = 300000,        /* a report of a role is old after */
    kHttpOk = 200,
    kHttpConflict = 409,
};

/* Frees a change. */
void
primary_change_free(void *change)
{
    PrimaryChange *h = change;
    g_hash_table_destroy(h->candidates);
    g_free(h->refused_server);
    g_free(h->target);
    g_free(h->database);
    g_free(h);
}

/* Tells whether a database's primary must not be used any more. */
gboolean
handover_is_closing(const Director *d, const char *database)
{
    const PrimaryChange *h = g_hash_table_lookup(d->changes, database);
    return h != NULL && h->phase >= kChangeClosing;
}

/* Tells whether no new work may begin at a database's primary. */
gboolean
handover_is_quiescing(const Director *d, const char *database)
{
    const PrimaryChange *h = g_hash_table_lookup(d->changes, database);
    return h != NULL && h->phase == kChangeQuiescing;
}

/* The log names a new primary: a change is over. */
void
handover_finish(Director *d, const char *database)
{
    g_hash_table_remove(d->changes, database);
}

/* Writes a line on a change; the time since it began is part of it. */
static void
log_change(const Director *d, uint64_t now_us, const PrimaryChange *h,
           const char *event, const char *server)
{
    EventLine line;

    event_begin(&line, d->config.events, now_us, kEventChange);
    event_text(&line, "database", h->database);
    event_text(&line, "what", event);
    event_text(&line, "server", server);
    event_number(&line, "epoch", h->epoch);
    event_number(&line, "planned", h->planned);
    event_number(&line, "since_us", now_us - h->started_us);
    event_number(&line, "answered", g_hash_table_size(h->candidates));
    event_end(&line);
}

static void
phase_set(PrimaryChange *h, uint64_t now_us, ChangePhase phase)
{
    h->phase = phase;
    h->phase_started_us = now_us;
}

/* ---- asking backend servers ---- */

/* Asks the replicas for their logs, and the primary as long as it may still
 * be of use. */
static void
request_log_positions(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);
    gboolean include_draining =
        !h->planned || handover_sync_replicas(d, h->database) > 0;
    GHashTableIter it;
    void *value;

    h->status_requested_us = now_us;
    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        gboolean old_primary =
            !s->gone && strcmp(s->id, p->primary) == 0 &&
            (include_draining || h->planned || h->phase == kChangeProbing);
        gboolean replica =
            handover_is_replica(h, s, p) && (!s->draining || include_draining);
        if (replica || old_primary) {
            d->port.request_status(d->port.ctx, s->id, s->database,
                                   s->address);
        }
    }
}

static PrimaryChange *
change_by_server(Director *d, const char *server)
{
    const DirectoryServer *s = directory_find(&d->directory, server);
    return s == NULL ? NULL : g_hash_table_lookup(d->changes, s->database);
}

/* Lets the old primary follow the new one, where it can be reached; it would
 * find out by itself about a second later. */
static void
step_down(const Director *d, const PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);
    const DirectoryServer *old = directory_find(&d->directory, p->primary);

    if (old != NULL && !old->gone && strcmp(old->id, h->target) != 0) {
        d->port.step_down(d->port.ctx, old->id, old->database, old->address,
                          h->target_term);
    }
}

/* The parts of planned changes wait on purpose. */
static void
record_stage_time(Director *d, const PrimaryChange *h, FailoverStage part,
                  uint64_t took_us)
{
    if (!h->planned) {
        histogram_observe(&d->stage_times[part], took_us);
    }
}

/* The target leads: the change ends once the log says so, and nothing else
 * may be asked for meanwhile. */
static void
complete_change(Director *d, uint64_t now_us, PrimaryChange *h)
{
    if (h->completion_proposed_us != 0 &&
        now_us - h->completion_proposed_us < kProposalRetryUs) {
        return;
    }
    log_change(d, now_us, h, "settled", h->target);
    if (h->planned) {
        histogram_observe(&d->planned_times, now_us - h->started_us);
    }
    else {
        record_stage_time(d, h, kStagePromotion, now_us - h->phase_started_us);
    }
    PrimaryState next = {.database = h->database,
                         .primary = h->target,
                         .epoch = h->epoch + 1,
                         .log_term = h->target_term};
    if (director_propose_primary(d, now_us, &next)) {
        h->completion_proposed_us = now_us;
    }
    step_down(d, h);
}

/* Takes in a backend server's answer. */
void
handover_handle_status(Director *d, uint64_t now_us, const char *server,
                       const DirectorStatus *status)
{
    PrimaryChange *h = change_by_server(d, server);

    if (h == NULL || !status->responded) {
        return;
    }
    const PrimaryState *p = director_primary(d, h->database);
    if (strcmp(server, p->primary) == 0) {
        h->primary_responded_us = now_us;
    }
    if (!status->log_valid) {
        return;
    }
    if (strcmp(server, p->primary) == 0) {
        h->old_primary =
            (Candidate){status->primary, status->log, status->requested_us};
        if (h->phase == kChangePromoting && status->primary &&
            g_strcmp0(server, h->target) == 0) {
            h->target_term = status->term;
            complete_change(d, now_us, h);
        }
        return;
    }
    Candidate *c = g_hash_table_lookup(h->candidates, server);
    if (c == NULL) {
        c = g_new0(Candidate, 1);
        g_hash_table_insert(h->candidates, g_strdup(server), c);
    }
    *c = (Candidate){TRUE, status->log, status->requested_us};
    /* A primary that was replaced before goes on calling itself one, in the
     * term that it led. */
    if (h->phase == kChangePromoting && status->primary &&
        status->term > p->log_term && g_strcmp0(server, h->target) == 0) {
        h->target_term = status->term;
        complete_change(d, now_us, h);
    }
}

/* ---- beginning ---- */

static void
change_begin(Director *d, uint64_t now_us, const PrimaryState *p,
             gboolean planned, const char *why)
{
    PrimaryChange *h = g_new0(PrimaryChange, 1);

    g_message("database %s: %s is to be replaced: %s", p->database, p->primary,
              why);
    h->database = g_strdup(p->database);
    h->epoch = p->epoch;
    h->planned = planned;
    h->started_us = now_us;
    h->candidates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    phase_set(h, now_us, p->changing ? kChangeClosing : kChangeProbing);
    h->intent_proposed = p->changing;
    g_hash_table_insert(d->changes, h->database, h);
    log_change(d, now_us, h, why, p->primary);
    request_log_positions(d, now_us, h);
}

static SuspectVerdict
evaluate_primary(const Director *d, uint64_t now_us, const PrimaryState *p)
{
    SuspectEvidence *evidence =
        g_new0(SuspectEvidence, g_hash_table_size(d->entries) + 1);
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *t = value;
        const EntryEvidence *e = g_hash_table_lookup(t->evidence, p->database);
        if (e == NULL || e->epoch != p->epoch ||
            now_us - e->received_us > kMaxEvidenceAgeUs ||
            (!e->answered && e->failing_us == 0)) {
            continue;
        }
        /* A failure from before the primary was settled counts from then. */
        evidence[count++] = (SuspectEvidence){
            e->answered, MIN(e->failing_us, now_us - p->epoch_learned_us)};
    }
    SuspectVerdict verdict = suspect_evaluate(evidence, count);
    g_free(evidence);
    return verdict;
}

/* How long the primary had failed those that saw it first. */
static void
record_suspicion_time(Director *d, const PrimaryState *p)
{
    GHashTableIter it;
    void *value;
    uint64_t longest_us = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *t = value;
        const EntryEvidence *e = g_hash_table_lookup(t->evidence, p->database);
        if (e != NULL && e->epoch == p->epoch) {
            longest_us = MAX(longest_us, e->failing_us);
        }
    }
    histogram_observe(&d->stage_times[kStageSuspicion], longest_us);
}

static gboolean
has_other_server(const Director *d, const PrimaryState *p)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        if (!s->gone && !s->draining &&
            strcmp(s->database, p->database) == 0 &&
            strcmp(s->id, p->primary) != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
check_primary(Director *d, uint64_t now_us, const PrimaryState *p)
{
    const DirectoryServer *s = directory_find(&d->directory, p->primary);

    if (p->changing) {
        change_begin(d, now_us, p, FALSE, "a former leader began it");
        return;
    }
    if (s != NULL && s->draining && !s->gone && has_other_server(d, p)) {
        change_begin(d, now_us, p, TRUE, "it is draining");
        return;
    }
    if (s != NULL && s->gone) {
        change_begin(d, now_us, p, FALSE, "it is gone");
        return;
    }
    if (s != NULL && !s->primary && now_us - s->last_seen_us < kMaxRoleAgeUs &&
        now_us - p->epoch_learned_us > kMaxRoleAgeUs * 2) {
        change_begin(d, now_us, p, FALSE, "it is a replica now");
        return;
    }
    switch (evaluate_primary(d, now_us, p)) {
    case kSuspectDead:
        record_suspicion_time(d, p);
        change_begin(d, now_us, p, FALSE, "nobody is answered");
        break;
    case kSuspectPartitioned:
        record_suspicion_time(d, p);
        change_begin(d, now_us, p, FALSE, "most are not answered");
        break;
    case kSuspectNone:
        break;
    }
}

/* Takes over who leads a database that the log does not know yet. */
static void
adopt_primaries(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        if (s->primary && !s->gone && !s->draining &&
            director_primary(d, s->database) == NULL &&
            consensus_commit_index(d->consensus) ==
                consensus_last_index(d->consensus)) {
            PrimaryState first = {
                .database = s->database, .primary = s->id, .epoch = 1};
            director_propose_primary(d, now_us, &first);
        }
    }
}

/* ---- phases ---- */

/* Tells whether no entry instance can still use the old primary. */
static gboolean
access_has_ended(const Director *d, uint64_t now_us, const PrimaryChange *h)
{
    GHashTableIter it;
    void *value;

    /* Leases of a former leader are not known to this one. */
    if (now_us < d->led_since_us + d->config.lease_us + kLeaseMarginUs) {
        return FALSE;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *t = value;
        const EntryEvidence *e = g_hash_table_lookup(t->evidence, h->database);
        if (e != NULL && e->received_us >= h->phase_started_us &&
            e->released_epoch >= h->epoch) {
            continue;
        }
        if (e != NULL && e->epoch < h->epoch && e->epoch != 0) {
            /* It has not heard of this primary and has no right to it. */
            continue;
        }
        if (now_us < t->lease_end_us + kLeaseMarginUs &&
            now_us <
                h->phase_started_us + d->config.lease_us + kLeaseMarginUs) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
revoke_access(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);

    record_stage_time(d, h, kStageProbing, now_us - h->started_us);
    phase_set(h, now_us, kChangeClosing);
    log_change(d, now_us, h, "rights withdrawn", p->primary);
    if (!h->intent_proposed) {
        PrimaryState changing = *p;
        changing.changing = TRUE;
        h->intent_proposed = director_propose_primary(d, now_us, &changing);
    }
    entries_push_primaries(d, now_us);
    request_log_positions(d, now_us, h);
}

/* A primary that answers the leader is slow rather than dead; it is replaced
 * only if the entry instances go on missing its answers. */
static gboolean
may_keep_primary(const Director *d, uint64_t now_us, const PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);
    const DirectoryServer *s = directory_find(&d->directory, p->primary);

    if (h->planned || s == NULL || s->gone) {
        return FALSE;
    }
    if (h->primary_responded_us == 0) {
        return now_us - h->phase_started_us < kPrimaryWaitUs;
    }
    return now_us - h->phase_started_us < kMaxSuspicionUs;
}

static gboolean
step_probing(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);
    uint64_t age_us = now_us - h->phase_started_us;
    guint answered = g_hash_table_size(h->candidates);
    gboolean may_stay = may_keep_primary(d, now_us, h);

    if (may_stay && h->primary_responded_us != 0 &&
        evaluate_primary(d, now_us, p) == kSuspectNone) {
        log_change(d, now_us, h, "answers again", p->primary);
        return FALSE;
    }
    if (!may_stay &&
        (answered >= 2 || (answered == 1 && age_us > kProbeWaitUs))) {
        if (h->planned) {
            phase_set(h, now_us, kChangeQuiescing);
            entries_push_primaries(d, now_us);
            return TRUE;
        }
        revoke_access(d, now_us, h);
        return TRUE;
    }
    if (!may_stay && age_us > kProbeTimeoutUs) {
        log_change(d, now_us, h, "no replica answers", p->primary);
        return FALSE;
    }
    if (now_us - h->status_requested_us > kProbeWaitUs) {
        request_log_positions(d, now_us, h);
    }
    return TRUE;
}

static void
promote(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const char *best = handover_next_primary(d, now_us, h);

    if (best == NULL) {
        g_clear_pointer(&h->refused_server, g_free);
        if (!h->waiting_for_replica &&
            now_us - h->phase_started_us > kProbeTimeoutUs) {
            h->waiting_for_replica = TRUE;
            log_change(d, now_us, h, "waits for a replica", "");
        }
        if (now_us - h->status_requested_us > kProbeWaitUs) {
            request_log_positions(d, now_us, h);
        }
        return;
    }
    g_free(h->target);
    h->target = g_strdup(best);
    h->promotion_requested_us = now_us;
    record_stage_time(d, h, kStageChoosing, now_us - h->access_ended_us);
    phase_set(h, now_us, kChangePromoting);
    log_change(d, now_us, h, "promotion asked for", best);
    d->port.promote(d->port.ctx, h->database, best,
                    consensus_term(d->consensus));
}

/* Tells whether a replica has all that the old primary acknowledged; only
 * a planned change can wait for that. */
static gboolean
replica_caught_up(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const char *best = handover_next_primary(d, now_us, h);
    const Candidate *held =
        best == NULL ? NULL : g_hash_table_lookup(h->candidates, best);

    if (!h->planned || now_us - h->phase_started_us > kMaxCatchUpUs) {
        return TRUE;
    }
    if (held != NULL && h->old_primary.answered &&
        h->old_primary.requested_us >= h->access_ended_us &&
        position_compare(held->log, h->old_primary.log) >= 0) {
        return TRUE;
    }
    if (now_us - h->status_requested_us > kStatusRetryUs) {
        request_log_positions(d, now_us, h);
    }
    return FALSE;
}

/* Tells whether every entry instance's work at the primary has ended. */
static gboolean
work_has_ended(const Director *d, const PrimaryChange *h)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *t = value;
        const EntryEvidence *e = g_hash_table_lookup(t->evidence, h->database);
        if (e != NULL &&
            (e->received_us < h->phase_started_us || e->open_work > 0)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Nothing more is acknowledged by the old primary from here on.  Where
 * replicas take part in that, or a planned change waits for them, only what
 * they say now is the last word. */
static void
handle_access_ended(Director *d, uint64_t now_us, PrimaryChange *h)
{
    h->access_ended_us = now_us;
    record_stage_time(d, h, kStageClosing, now_us - h->phase_started_us);
    if (h->planned || handover_sync_replicas(d, h->database) > 0) {
        request_log_positions(d, now_us, h);
    }
}

static void
step_closing(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const PrimaryState *p = director_primary(d, h->database);

    if (!h->intent_proposed) {
        revoke_access(d, now_us, h);
        return;
    }
    if (!p->changing || !access_has_ended(d, now_us, h)) {
        return;
    }
    if (h->access_ended_us == 0) {
        handle_access_ended(d, now_us, h);
    }
    if (replica_caught_up(d, now_us, h)) {
        promote(d, now_us, h);
    }
}

static void
step_promoting(Director *d, uint64_t now_us, PrimaryChange *h)
{
    const DirectoryServer *s = directory_find(&d->directory, h->target);

    if (h->completion_proposed_us != 0) {
        complete_change(d, now_us, h);
        return;
    }
    if (h->promotion_unanswered &&
        now_us - h->promotion_requested_us > kPromotionRetryUs) {
        /* Whether it was done is not known: the same server again. */
        h->promotion_unanswered = FALSE;
        h->promotion_requested_us = now_us;
        d->port.promote(d->port.ctx, h->database, h->target,
                        consensus_term(d->consensus));
        return;
    }
    if (now_us - h->promotion_requested_us > kPromotionTimeoutUs) {
        g_free(h->refused_server);
        h->refused_server = g_strdup(h->target);
        g_hash_table_remove_all(h->candidates);
        request_log_positions(d, now_us, h);
        phase_set(h, now_us, kChangeClosing);
        return;
    }
    if (s != NULL && now_us - h->status_requested_us > kStatusRetryUs) {
        h->status_requested_us = now_us;
        d->port.request_status(d->port.ctx, s->id, s->database, s->address);
    }
}

/* Takes in the platform's answer to a promotion. */
void
handover_handle_promotion(Director *d, uint64_t now_us, const char *database,
                          const char *server, uint32_t status)
{
    PrimaryChange *h = g_hash_table_lookup(d->changes, database);

    if (h == NULL || h->phase != kChangePromoting ||
        g_strcmp0(server, h->target) != 0 || status == kHttpOk) {
        return;
    }
    log_change(d, now_us, h, "promotion refused or not answered", server);
    if (status == kHttpConflict) {
        g_free(h->refused_server);
        h->refused_server = g_strdup(server);
        phase_set(h, now_us, kChangeClosing);
        return;
    }
    h->promotion_unanswered = TRUE;
    h->promotion_requested_us = now_us;
}

static gboolean
change_step(Director *d, uint64_t now_us, PrimaryChange *h)
{
    switch (h->phase) {
    case kChangeProbing:
        return step_probing(d, now_us, h);
    case kChangeQuiescing:
        if (now_us - h->phase_started_us > kMaxQuiesceUs ||
            work_has_ended(d, h)) {
            revoke_access(d, now_us, h);
        }
        return TRUE;
    case kChangeClosing:
        step_closing(d, now_us, h);
        return TRUE;
    case kChangePromoting:
        step_promoting(d, now_us, h);
        return TRUE;
    }
    return TRUE;
}

/* Lets time pass for all changes; only the leader calls it. */
void
handover_tick(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    adopt_primaries(d, now_us);
    g_hash_table_iter_init(&it, d->primaries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PrimaryState *p = value;
        if (!g_hash_table_contains(d->changes, p->database)) {
            check_primary(d, now_us, p);
        }
    }
    g_hash_table_iter_init(&it, d->changes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (!change_step(d, now_us, value)) {
            g_hash_table_iter_remove(&it);
        }
    }
}
