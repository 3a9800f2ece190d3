#include <string.h>

#include "fleet/director_internal.h"

/* Handover of a database from one primary to the next: the changes of
 * primary.  The leader first requests the replicas' status, then revokes the
 * entry instances' access to the old primary and records in the replicated
 * log that the primary is changing.  It requests the promotion of a replica
 * only when every entry instance has released the old primary or has no valid
 * lease any more, so that no instance writes to a replaced primary or uses it
 * for strictly consistent reads.  suspect.h decides whether a primary has
 * failed, succession.h which replica follows it. */

enum {
    kMaxEvidenceAgeUs = 800000, /* older reports are ignored */
    /* Wait for a second replica's reply, and between status requests. */
    kProbeWaitUs = 150000,
    kProbeTimeoutUs = 2200000, /* wait for any replica's reply */
    kPrimaryWaitUs = 100000,   /* wait for the suspected primary's reply */
    kMaxSuspicionUs = 1200000, /* limit if the primary answers the leader */
    kMaxQuiesceUs = 500000,    /* time for open transactions to end */
    kLeaseMarginUs = 60000,    /* clock drift during a lease */
    kStatusRetryUs = 60000,
    kMaxCatchUpUs = 800000, /* planned change: wait for a replica's log */
    /* A promotion without effect for this long has failed: another server is
     * chosen. */
    kPromotionTimeoutUs = 3000000,
    kProposalRetryUs = 500000, /* after a proposal that was not committed */
    /* After a promotion request got no reply, or an error other than 409. */
    kPromotionRetryUs = 150000,
    kAdoptionIntervalUs = 100000, /* first primaries are proposed together */
    kMaxRoleAgeUs = 300000,       /* older reports of a role are ignored */
    kHttpOk = 200,
    kHttpConflict = 409, /* the platform refuses to promote that server */
};

/* Frees a PrimaryChange; usable as a GDestroyNotify. */
void
primary_change_free(void *data)
{
    PrimaryChange *change = data;
    g_hash_table_destroy(change->candidates);
    g_free(change->refused_server);
    g_free(change->target);
    g_free(change->database);
    g_free(change);
}

/* Returns whether a database's primary must not be used any more, since it is
 * being replaced. */
gboolean
handover_is_closing(const Director *d, const char *database)
{
    const PrimaryChange *change = g_hash_table_lookup(d->changes, database);
    return change != NULL && change->phase >= kChangeClosing;
}

/* Returns whether no new transaction may start at a database's primary, since
 * a planned change waits for the open ones to end. */
gboolean
handover_is_quiescing(const Director *d, const char *database)
{
    const PrimaryChange *change = g_hash_table_lookup(d->changes, database);
    return change != NULL && change->phase == kChangeQuiescing;
}

/* Ends the change of a database's primary, after a new primary was
 * committed. */
void
handover_finish(Director *d, const char *database)
{
    g_hash_table_remove(d->changes, database);
    d->grant_lists.primaries_valid = FALSE;
}

/* Writes an event of a change to the event log, with the time since the change
 * started and the number of candidates that replied. */
static void
log_change(const Director *d, uint64_t now_us, const PrimaryChange *change,
           const char *event, const char *server)
{
    EventLine line;

    event_begin(&line, d->config.events, now_us, kEventChange);
    event_text(&line, "database", change->database);
    event_text(&line, "what", event);
    event_text(&line, "server", server);
    event_number(&line, "epoch", change->epoch);
    event_number(&line, "planned", change->planned);
    event_number(&line, "since_us", now_us - change->started_us);
    event_number(&line, "answered", g_hash_table_size(change->candidates));
    event_end(&line);
}

/* Starts a phase of a change. */
static void
phase_set(Director *d, uint64_t now_us, PrimaryChange *change,
          ChangePhase phase)
{
    d->grant_lists.primaries_valid = FALSE;
    change->phase = phase;
    change->phase_started_us = now_us;
}

/* ---- status of backend servers ---- */

/* Requests the status of the old primary and of the replicas, except servers
 * that are gone.  A planned change leaves out draining replicas unless
 * replicas store commits before they are acknowledged. */
static void
request_statuses(Director *d, uint64_t now_us, PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    gboolean include_draining =
        !change->planned || handover_sync_replicas(d, change->database) > 0;
    GHashTableIter it;
    void *value;

    change->status_requested_us = now_us;
    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        gboolean old_primary = !s->gone && strcmp(s->id, p->primary) == 0 &&
                               (include_draining || change->planned ||
                                change->phase == kChangeProbing);
        gboolean replica = handover_is_replica(change, s, p) &&
                           (!s->draining || include_draining);
        if (replica || old_primary) {
            d->port.request_status(d->port.ctx, s->id, s->database,
                                   s->address);
        }
    }
}

/* Returns the change of the database that a server belongs to, or NULL. */
static PrimaryChange *
change_by_server(Director *d, const char *server)
{
    const DirectoryServer *s = directory_find(&d->directory, server);
    return s == NULL ? NULL : g_hash_table_lookup(d->changes, s->database);
}

/* Requests the old primary to follow the new one.  Without this request the
 * server would learn of the new primary about a second later. */
static void
step_down(const Director *d, const PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    const DirectoryServer *old = directory_find(&d->directory, p->primary);

    if (old != NULL && !old->gone && strcmp(old->id, change->target) != 0) {
        d->port.step_down(d->port.ctx, old->id, old->database, old->address,
                          change->target_term);
    }
}

/* Records the duration of a stage.  Planned changes are left out, since they
 * wait on purpose for open work to end and for a replica's log. */
static void
record_stage_time(Director *d, const PrimaryChange *change,
                  FailoverStage stage, uint64_t elapsed_us)
{
    if (!change->planned) {
        histogram_observe(&d->stage_times[stage], elapsed_us);
    }
}

/* Proposes the target, which leads now, as the new primary.  The change ends
 * when the proposal is committed; until then only the proposal is retried. */
static void
complete_change(Director *d, uint64_t now_us, PrimaryChange *change)
{
    if (change->completion_proposed_us != 0 &&
        now_us - change->completion_proposed_us < kProposalRetryUs) {
        return;
    }
    log_change(d, now_us, change, "settled", change->target);
    if (change->planned) {
        histogram_observe(&d->planned_times, now_us - change->started_us);
    }
    else {
        record_stage_time(d, change, kStagePromotion,
                          now_us - change->phase_started_us);
    }
    PrimaryState next = {.database = change->database,
                         .primary = change->target,
                         .epoch = change->epoch + 1,
                         .log_term = change->target_term,
                         .acknowledged = change->acknowledged};
    if (director_propose_primary(d, now_us, &next)) {
        change->completion_proposed_us = now_us;
    }
    step_down(d, change);
}

/* Handles a backend server's status reply: records it in the change of the
 * server's database, and completes that change if the target reports that it
 * leads. */
void
handover_handle_status(Director *d, uint64_t now_us, const char *server,
                       const DirectorStatus *status)
{
    PrimaryChange *change = change_by_server(d, server);

    if (change == NULL || !status->responded) {
        return;
    }
    const PrimaryState *p = director_primary(d, change->database);
    if (strcmp(server, p->primary) == 0) {
        change->primary_responded_us = now_us;
    }
    if (!status->log_valid) {
        return;
    }
    if (strcmp(server, p->primary) == 0) {
        change->old_primary =
            (Candidate){status->primary, status->log, status->requested_us};
        if (change->probe_log.term == 0) {
            change->probe_log = status->log;
        }
        if (change->phase == kChangePromoting && status->primary &&
            g_strcmp0(server, change->target) == 0) {
            change->target_term = status->term;
            complete_change(d, now_us, change);
        }
        return;
    }
    Candidate *c = g_hash_table_lookup(change->candidates, server);
    if (c == NULL) {
        c = g_new0(Candidate, 1);
        g_hash_table_insert(change->candidates, g_strdup(server), c);
    }
    *c = (Candidate){TRUE, status->log, status->requested_us};
    /* A server that was replaced as primary earlier may still report itself as
     * primary, but with its old term. */
    if (change->phase == kChangePromoting && status->primary &&
        status->term > p->log_term && g_strcmp0(server, change->target) == 0) {
        change->target_term = status->term;
        complete_change(d, now_us, change);
    }
}

/* ---- start of a change ---- */

/* Starts a change of a database's primary.  A change that a former leader
 * committed continues with the closing phase. */
static void
change_begin(Director *d, uint64_t now_us, const PrimaryState *p,
             gboolean planned, const char *reason)
{
    const DirectoryServer *s = directory_find(&d->directory, p->primary);
    PrimaryChange *change = g_new0(PrimaryChange, 1);

    g_message("database %s: replacing primary %s: %s", p->database, p->primary,
              reason);
    change->database = g_strdup(p->database);
    change->epoch = p->epoch;
    change->planned = planned;
    change->evacuating = planned && s != NULL && !s->draining;
    change->started_us = now_us;
    change->candidates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    phase_set(d, now_us, change,
              p->changing ? kChangeClosing : kChangeProbing);
    change->changing_proposed = p->changing;
    g_hash_table_insert(d->changes, change->database, change);
    d->grant_lists.primaries_valid = FALSE;
    log_change(d, now_us, change, reason, p->primary);
    request_statuses(d, now_us, change);
}

/* Decides from the entry instances' recent evidence whether a primary has
 * failed. */
static SuspectVerdict
evaluate_primary(const Director *d, uint64_t now_us, const PrimaryState *p)
{
    const SuspectWatch *watch =
        g_hash_table_lookup(d->suspect_watches, p->database);

    if (watch == NULL ||
        !suspect_watch_due(watch, now_us, kMaxEvidenceAgeUs)) {
        return kSuspectNone;
    }
    SuspectEvidence *evidence =
        g_new0(SuspectEvidence, g_hash_table_size(d->entries) + 1);
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        const EntryEvidence *e =
            g_hash_table_lookup(entry->evidence, p->database);
        if (e == NULL || e->epoch != p->epoch ||
            now_us - e->received_us > kMaxEvidenceAgeUs ||
            (!e->answered && e->failing_us == 0)) {
            continue;
        }
        /* Time before this instance learned of the primary's epoch does not
         * count as failure. */
        uint64_t failing_us = MIN(e->failing_us, now_us - p->epoch_learned_us);
        evidence[count++] = (SuspectEvidence){
            .answered = e->answered,
            .failing_us = failing_us,
            .answered_age_us = now_us - e->answered_us,
            .failing_age_us = now_us - e->received_us + failing_us};
    }
    SuspectVerdict verdict = suspect_evaluate(evidence, count);
    g_free(evidence);
    return verdict;
}

/* Records how long the primary had failed for the entry instance that noticed
 * it first. */
static void
record_suspicion_time(Director *d, const PrimaryState *p)
{
    GHashTableIter it;
    void *value;
    uint64_t longest_us = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        const EntryEvidence *e =
            g_hash_table_lookup(entry->evidence, p->database);
        if (e != NULL && e->epoch == p->epoch) {
            longest_us = MAX(longest_us, e->failing_us);
        }
    }
    histogram_observe(&d->stage_times[kStageSuspicion], longest_us);
}

/* Returns whether a database has a server other than its primary that is
 * neither gone nor draining. */
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

/* Starts a change of a primary that is draining, gone, a replica by its own
 * report, suspected by the entry instances, or in an evacuated failure domain,
 * and continues a change that a former leader committed. */
static void
check_primary(Director *d, uint64_t now_us, const PrimaryState *p)
{
    const DirectoryServer *s = directory_find(&d->directory, p->primary);

    if (p->changing) {
        change_begin(d, now_us, p, p->planned, "a former leader began it");
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
        if (s != NULL && director_server_evacuated(d, s) &&
            handover_has_replica_outside(d, p)) {
            change_begin(d, now_us, p, TRUE,
                         "its failure domain is evacuated");
        }
        break;
    }
}

/* Proposes the reported primary of each database that has none in the
 * replicated log yet.  Waits while the log has uncommitted entries, since one
 * of them may be such a proposal; the databases without a primary are proposed
 * together, so that a new fleet waits for few commits and its instances get
 * few lists. */
static void
adopt_primaries(Director *d, uint64_t now_us)
{
    GHashTable *proposed = NULL; /* database, borrowed */
    GHashTableIter it;
    void *value;

    if (now_us < d->next_adoption_us ||
        consensus_commit_index(d->consensus) !=
            consensus_last_index(d->consensus)) {
        return;
    }
    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        if (!s->primary || s->gone || s->draining ||
            director_primary(d, s->database) != NULL) {
            continue;
        }
        if (proposed == NULL) {
            proposed = g_hash_table_new(g_str_hash, g_str_equal);
        }
        if (g_hash_table_add(proposed, s->database)) {
            PrimaryState first = {
                .database = s->database, .primary = s->id, .epoch = 1};
            director_propose_primary(d, now_us, &first);
        }
    }
    if (proposed != NULL) {
        d->next_adoption_us = now_us + kAdoptionIntervalUs;
        g_hash_table_destroy(proposed);
    }
}

/* ---- phases ---- */

/* Returns whether no entry instance can use the old primary any more: each has
 * released it, has not learned of it, or has no valid lease.  Leases renewed
 * in the closing phase are ignored, since their grants revoke the access. */
static gboolean
access_has_ended(const Director *d, uint64_t now_us,
                 const PrimaryChange *change)
{
    GHashTableIter it;
    void *value;

    /* The leases granted by a former leader are not known. */
    if (now_us < d->led_since_us + d->config.lease_us + kLeaseMarginUs) {
        return FALSE;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        const EntryEvidence *e =
            g_hash_table_lookup(entry->evidence, change->database);
        /* Only an explicit record counts: an instance that omits it as
         * unchanged may have released the primary in an earlier change that
         * was dropped, and its report of that may be lost. */
        if (e != NULL && e->recorded_us >= change->phase_started_us &&
            e->released_epoch >= change->epoch) {
            continue;
        }
        if (e != NULL && e->epoch < change->epoch && e->epoch != 0) {
            /* The instance has not learned of this epoch's primary. */
            continue;
        }
        if (now_us < entry->lease_end_us + kLeaseMarginUs &&
            now_us < change->phase_started_us + d->config.lease_us +
                         kLeaseMarginUs) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Revokes the entry instances' access to the old primary and proposes a log
 * entry that marks the primary as changing. */
static void
revoke_access(Director *d, uint64_t now_us, PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);

    record_stage_time(d, change, kStageProbing, now_us - change->started_us);
    phase_set(d, now_us, change, kChangeClosing);
    log_change(d, now_us, change, "rights withdrawn", p->primary);
    if (!change->changing_proposed) {
        PrimaryState changing = *p;
        changing.changing = TRUE;
        changing.planned = change->planned;
        change->changing_proposed =
            director_propose_primary(d, now_us, &changing);
    }
    entries_push_primaries(d);
    request_statuses(d, now_us, change);
}

/* Returns whether the primary may turn out not to need a replacement.  A
 * primary that answers the leader is slow rather than dead, and is replaced
 * only if the entry instances still get no answers after kMaxSuspicionUs. */
static gboolean
may_keep_primary(const Director *d, uint64_t now_us,
                 const PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    const DirectoryServer *s = directory_find(&d->directory, p->primary);

    if (change->planned || s == NULL || s->gone) {
        return FALSE;
    }
    if (change->primary_responded_us == 0) {
        return now_us - change->phase_started_us < kPrimaryWaitUs;
    }
    return now_us - change->phase_started_us < kMaxSuspicionUs;
}

/* Returns whether the change of an evacuated primary is to be dropped: the
 * primary fails, so that an unplanned change must follow, or its domain was
 * restored. */
static gboolean
evacuation_is_void(const Director *d, uint64_t now_us,
                   const PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    const DirectoryServer *s = directory_find(&d->directory, p->primary);

    return change->evacuating &&
           (s == NULL || s->gone || !director_server_evacuated(d, s) ||
            evaluate_primary(d, now_us, p) != kSuspectNone);
}

/* Returns whether enough replicas have replied, and in an evacuation one of
 * them is near the primary, so that the primary need not be out of use for
 * long. */
static gboolean
replicas_are_ready(const Director *d, uint64_t now_us,
                   const PrimaryChange *change)
{
    guint reply_count = g_hash_table_size(change->candidates);

    if (reply_count == 0 ||
        (reply_count == 1 &&
         now_us - change->phase_started_us <= kProbeWaitUs)) {
        return FALSE;
    }
    return !change->evacuating || handover_replica_is_near(d, change);
}

/* Runs the probing phase, which ends when the primary need not be kept and two
 * replicas have replied, or one after kProbeWaitUs.  Returns FALSE when the
 * change is to be dropped: the primary works again, or no replica replies. */
static gboolean
step_probing(Director *d, uint64_t now_us, PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    uint64_t age_us = now_us - change->phase_started_us;
    gboolean may_keep = may_keep_primary(d, now_us, change);

    if (may_keep && change->primary_responded_us != 0 &&
        evaluate_primary(d, now_us, p) == kSuspectNone) {
        log_change(d, now_us, change, "answers again", p->primary);
        return FALSE;
    }
    if (evacuation_is_void(d, now_us, change)) {
        log_change(d, now_us, change, "evacuation ended", p->primary);
        return FALSE;
    }
    if (!may_keep && replicas_are_ready(d, now_us, change)) {
        if (change->planned) {
            phase_set(d, now_us, change, kChangeQuiescing);
            entries_push_primaries(d);
            return TRUE;
        }
        revoke_access(d, now_us, change);
        return TRUE;
    }
    if (!may_keep && age_us > kProbeTimeoutUs) {
        log_change(d, now_us, change, "no replica answers", p->primary);
        return FALSE;
    }
    if (now_us - change->status_requested_us >
        (change->evacuating ? (uint64_t)kStatusRetryUs
                            : (uint64_t)kProbeWaitUs)) {
        request_statuses(d, now_us, change);
    }
    return TRUE;
}

/* Requests the promotion of the best replica, or waits for more replies if
 * none may be promoted yet. */
static void
promote(Director *d, uint64_t now_us, PrimaryChange *change)
{
    Position acknowledged;
    const char *best = handover_next_primary(d, now_us, change, &acknowledged);

    if (best == NULL) {
        g_clear_pointer(&change->refused_server, g_free);
        if (!change->waiting_for_replica &&
            now_us - change->phase_started_us > kProbeTimeoutUs) {
            change->waiting_for_replica = TRUE;
            log_change(d, now_us, change, "waits for a replica", "");
        }
        if (now_us - change->status_requested_us > kProbeWaitUs) {
            request_statuses(d, now_us, change);
        }
        return;
    }
    g_free(change->target);
    change->target = g_strdup(best);
    change->acknowledged = acknowledged;
    change->promotion_requested_us = now_us;
    record_stage_time(d, change, kStageChoosing,
                      now_us - change->access_ended_us);
    phase_set(d, now_us, change, kChangePromoting);
    log_change(d, now_us, change, "promotion asked for", best);
    d->port.promote(d->port.ctx, change->database, best,
                    consensus_term(d->consensus));
}

/* Returns whether the change of an evacuated primary must wait for a replica
 * with all its commits, however long that takes: the primary still works.
 * Otherwise the change becomes an unplanned one. */
static gboolean
must_wait_for_commits(uint64_t now_us, PrimaryChange *change)
{
    uint64_t since_us =
        MAX(change->primary_responded_us, change->access_ended_us);
    gboolean replaced =
        change->primary_responded_us >= change->access_ended_us &&
        !change->old_primary.valid;

    if (change->evacuating && !replaced &&
        now_us - since_us <= kMaxSuspicionUs) {
        return TRUE;
    }
    if (change->evacuating) {
        change->evacuating = FALSE;
        change->planned = FALSE;
    }
    return FALSE;
}

/* Returns whether the change need not wait for a replica any longer: in a
 * planned change a replica must have all commits of the old primary, or
 * kMaxCatchUpUs must have elapsed.  In an evacuation that time has no limit
 * while the old primary works. */
static gboolean
replica_caught_up(Director *d, uint64_t now_us, PrimaryChange *change)
{
    Position acknowledged;
    const char *best = handover_next_primary(d, now_us, change, &acknowledged);
    const Candidate *candidate =
        best == NULL ? NULL : g_hash_table_lookup(change->candidates, best);

    if (!change->planned ||
        (now_us - change->phase_started_us > kMaxCatchUpUs &&
         !must_wait_for_commits(now_us, change))) {
        return TRUE;
    }
    if (candidate != NULL && change->old_primary.valid &&
        change->old_primary.requested_us >= change->access_ended_us &&
        position_compare(candidate->log, change->old_primary.log) >= 0) {
        return TRUE;
    }
    if (now_us - change->status_requested_us > kStatusRetryUs) {
        request_statuses(d, now_us, change);
    }
    return FALSE;
}

/* Returns whether every entry instance has reported in this phase that no
 * session holds a connection to the primary. */
static gboolean
work_has_ended(const Director *d, const PrimaryChange *change)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        const EntryEvidence *e =
            g_hash_table_lookup(entry->evidence, change->database);
        if (e != NULL &&
            (e->received_us < change->phase_started_us || e->open_work > 0)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Handles the end of all access to the old primary, after which no commit of
 * the old primary is acknowledged any more.  Log positions reported from now
 * on are final, so they are requested again where the choice depends on
 * them. */
static void
handle_access_ended(Director *d, uint64_t now_us, PrimaryChange *change)
{
    change->access_ended_us = now_us;
    record_stage_time(d, change, kStageClosing,
                      now_us - change->phase_started_us);
    if (change->planned || handover_sync_replicas(d, change->database) > 0) {
        request_statuses(d, now_us, change);
    }
}

/* Runs the closing phase: waits until access has ended and, in a planned
 * change, a replica has caught up, then requests its promotion. */
static void
step_closing(Director *d, uint64_t now_us, PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);

    if (!change->changing_proposed) {
        revoke_access(d, now_us, change);
        return;
    }
    if (!p->changing || !access_has_ended(d, now_us, change)) {
        return;
    }
    if (change->access_ended_us == 0) {
        handle_access_ended(d, now_us, change);
    }
    if (replica_caught_up(d, now_us, change)) {
        promote(d, now_us, change);
    }
}

/* Runs the promoting phase: requests the target's status until the target
 * reports that it leads, and retries a promotion without reply.  After
 * kPromotionTimeoutUs the change returns to the closing phase, which chooses
 * another server. */
static void
step_promoting(Director *d, uint64_t now_us, PrimaryChange *change)
{
    const DirectoryServer *s = directory_find(&d->directory, change->target);

    if (change->completion_proposed_us != 0) {
        complete_change(d, now_us, change);
        return;
    }
    if (change->promotion_unconfirmed &&
        now_us - change->promotion_requested_us > kPromotionRetryUs) {
        /* The platform may have promoted the server, so retry the same one. */
        change->promotion_unconfirmed = FALSE;
        change->promotion_requested_us = now_us;
        d->port.promote(d->port.ctx, change->database, change->target,
                        consensus_term(d->consensus));
        return;
    }
    if (now_us - change->promotion_requested_us > kPromotionTimeoutUs) {
        g_free(change->refused_server);
        change->refused_server = g_strdup(change->target);
        g_hash_table_remove_all(change->candidates);
        request_statuses(d, now_us, change);
        phase_set(d, now_us, change, kChangeClosing);
        return;
    }
    if (s != NULL && now_us - change->status_requested_us > kStatusRetryUs) {
        change->status_requested_us = now_us;
        d->port.request_status(d->port.ctx, s->id, s->database, s->address);
    }
}

/* Handles the platform's reply to a promotion request; see
 * director_handle_promotion.  A refused server is replaced by another one;
 * after any other error the same promotion is requested again. */
void
handover_handle_promotion(Director *d, uint64_t now_us, const char *database,
                          const char *server, uint32_t status)
{
    PrimaryChange *change = g_hash_table_lookup(d->changes, database);

    if (change == NULL || change->phase != kChangePromoting ||
        g_strcmp0(server, change->target) != 0 || status == kHttpOk) {
        return;
    }
    log_change(d, now_us, change, "promotion refused or not answered", server);
    if (status == kHttpConflict) {
        g_free(change->refused_server);
        change->refused_server = g_strdup(server);
        phase_set(d, now_us, change, kChangeClosing);
        return;
    }
    change->promotion_unconfirmed = TRUE;
    change->promotion_requested_us = now_us;
}

/* Runs the current phase of a change.  Returns FALSE when the change is to be
 * dropped. */
static gboolean
change_step(Director *d, uint64_t now_us, PrimaryChange *change)
{
    switch (change->phase) {
    case kChangeProbing:
        return step_probing(d, now_us, change);
    case kChangeQuiescing:
        if (now_us - change->phase_started_us > kMaxQuiesceUs ||
            work_has_ended(d, change)) {
            revoke_access(d, now_us, change);
        }
        return TRUE;
    case kChangeClosing:
        step_closing(d, now_us, change);
        return TRUE;
    case kChangePromoting:
        step_promoting(d, now_us, change);
        return TRUE;
    }
    return TRUE;
}

/* Starts and advances changes of primaries.  Called on the leader only. */
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
            d->grant_lists.primaries_valid = FALSE;
        }
    }
}
