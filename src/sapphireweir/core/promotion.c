#include <string.h>

#include "core/control_defs.h"
#include "core/schema.h"
#include "policy/domain_access.h"

/* Replaces the primary of a database group.
 *
 * The replicated state has a resource "primary/DATABASE" with a phase:
 *
 *   stable     "member" is the primary, on timeline "term"
 *   fencing    the other members are commanded to stop following "member"
 *   promoting  "candidate" is promoted: of a majority of fenced members, the
 *              one with the highest position
 *
 * A write is acknowledged only when a majority of the declared members,
 * including the primary, has it on the primary's term.  The fenced members
 * are a majority without the old primary, so every such majority contains a
 * fenced member.  Therefore the candidate has every acknowledged write, and
 * the old primary can no longer reach a majority.  Each step can be repeated,
 * and a new leader continues from the phase in the replicated state. */

enum {
    kCommandResendIntervalUs = 150000, /* of fence and promote commands */
    kFollowCommandIntervalUs = 500000, /* also between proposals of a phase */
    kHealthReportMaxAgeUs = 1000000,   /* older health reports are ignored */
    kPrimaryUnresponsiveUs = 1200000,  /* without any report of the primary */
    kCandidateMaxWaitUs = 2000000,     /* then another promotion starts */
    kNeverHealthyFactor = 4, /* times suspect_after_us; see failed_too_long */
    /* A replica that has not followed a healthy primary for less than this
     * says nothing against the primary.  On a loaded machine replicas took up
     * to 1.5 s to follow a new one. */
    kFollowTimeoutUs = 3000000,
    /* A reachable replica whose stream is lost for less than this can be
     * fenced and promoted in a planned change. */
    kStreamGapMaxUs = 1000000,
    kMembersMax = 9,
};

/* The members and the current primary of a database in the replicated state.
 * The strings belong to the state. */
typedef struct {
    const char *database;
    const char *members[kMembersMax];
    const char *domains[kMembersMax]; /* failure domains of members */
    uint32_t count;
    const char *primary;
    const char *phase;
    const char *candidate;
    uint64_t term;      /* timeline of the primary */
    uint64_t promotion; /* number of the latest promotion */
    gboolean recorded;  /* primary/DATABASE exists */
} Group;

/* Frees a promotion tracker. */
void
promotion_tracker_free(void *tracker)
{
    PromotionTracker *t = tracker;
    g_hash_table_destroy(t->fenced);
    g_free(t);
}

/* Returns the promotion tracker of a database; creates it if missing. */
static PromotionTracker *
promotion_tracker(ControlCore *k, const char *database)
{
    PromotionTracker *t = g_hash_table_lookup(k->promotions, database);
    if (t == NULL) {
        t = g_new0(PromotionTracker, 1);
        t->fenced =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(k->promotions, g_strdup(database), t);
    }
    return t;
}

/* Fills a group from the database's resource and, if it exists, from the
 * resource of its primary. */
static void
group_load(ControlCore *k, const Resource *database, Group *g)
{
    size_t i;
    json_t *member;

    *g = (Group){.database = resource_name_of(database->key)};
    json_array_foreach(json_object_get(database->spec, "members"), i, member)
    {
        g->members[g->count] = json_text_or(member, "id", "");
        g->domains[g->count] = json_text_or(member, "failure_domain", "");
        g->count++;
    }
    char *key = g_strdup_printf("primary/%s", g->database);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    g->recorded = r != NULL;
    if (r == NULL) {
        g->primary = json_text_or(database->spec, "primary", "");
        g->phase = "stable";
        return;
    }
    g->primary = json_text_or(r->spec, "member", "");
    g->phase = json_text_or(r->spec, "phase", "stable");
    g->candidate = json_text_or(r->spec, "candidate", "");
    g->term = (uint64_t)json_integer_or(r->spec, "term", 0);
    g->promotion = (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

/* Proposes a new phase, unless one was proposed within
 * kFollowCommandIntervalUs.  reason goes into the audit trail; NULL: none.
 * Returns whether it was proposed. */
static gboolean
propose_phase(ControlCore *k, uint64_t now_us, const Group *g,
              const char *member, uint64_t term, uint64_t promotion,
              const char *phase, const char *candidate, const char *reason)
{
    PromotionTracker *t = promotion_tracker(k, g->database);
    if (t->proposed_us != 0 &&
        now_us - t->proposed_us < kFollowCommandIntervalUs) {
        return FALSE;
    }
    t->proposed_us = now_us;
    char *key = g_strdup_printf("primary/%s", g->database);
    json_t *spec =
        json_pack("{s:s, s:I, s:I, s:s, s:s, s:s*}", "member", member, "term",
                  (json_int_t)term, "promotion", (json_int_t)promotion,
                  "phase", phase, "candidate", candidate, "reason", reason);
    gboolean proposed =
        control_propose_change(k, now_us, k->id, key, spec, TRUE);
    g_free(key);
    return proposed;
}

/* ---- suspicion ---- */

/* Returns whether a member has been failing for suspect_after_us.  The limit
 * is kNeverHealthyFactor times higher for a member that has not been healthy
 * since the last promotion. */
static gboolean
failed_too_long(const ControlCore *k, uint64_t now_us, const MemberTracker *t)
{
    uint64_t max_failing_us = k->config.suspect_after_us;
    if (!t->was_healthy) {
        max_failing_us *= kNeverHealthyFactor;
    }
    return t->failing_since_us != 0 &&
           now_us - t->failing_since_us >= max_failing_us;
}

/* Returns whether recent reports say that the primary serves. */
static gboolean
primary_healthy(ControlCore *k, uint64_t now_us, const Group *g)
{
    const MemberTracker *t =
        control_member_tracker(k, g->database, g->primary);
    return now_us - t->last_seen_us < kHealthReportMaxAgeUs && t->reachable &&
           !t->in_recovery;
}

/* Returns whether a replica has been without its replication stream for too
 * long.  It has more time if it has not followed the primary since the last
 * promotion and the primary is healthy. */
static gboolean
stream_lost_too_long(const ControlCore *k, uint64_t now_us,
                     const MemberTracker *t, gboolean healthy_primary)
{
    return failed_too_long(k, now_us, t) &&
           (t->was_healthy || !healthy_primary ||
            now_us - t->failing_since_us >= kFollowTimeoutUs);
}

/* Returns whether the primary is suspected to have failed.  This takes a
 * majority of the members, with at least one replica among them.  The primary
 * counts if there are no reports of it or it has been failing for too long; a
 * replica counts if it is reachable but has been without its replication
 * stream for too long. */
static gboolean
primary_suspected(ControlCore *k, uint64_t now_us, const Group *g)
{
    uint32_t suspecting = 0;
    uint32_t suspecting_replicas = 0;
    gboolean healthy = primary_healthy(k, now_us, g);

    for (uint32_t i = 0; i < g->count; i++) {
        MemberTracker *t =
            control_member_tracker(k, g->database, g->members[i]);
        gboolean recent = now_us - t->last_seen_us < kHealthReportMaxAgeUs;
        if (strcmp(g->members[i], g->primary) == 0) {
            uint64_t last_seen_us = MAX(t->last_seen_us, k->leader_since_us);
            gboolean unresponsive =
                now_us - last_seen_us > kPrimaryUnresponsiveUs;
            gboolean failing = !t->reachable || t->in_recovery;
            suspecting += unresponsive || (recent && failing &&
                                           failed_too_long(k, now_us, t))
                              ? 1
                              : 0;
            continue;
        }
        gboolean stream_lost = recent && t->reachable && t->in_recovery &&
                               !t->stream_alive &&
                               stream_lost_too_long(k, now_us, t, healthy);
        suspecting_replicas += stream_lost ? 1 : 0;
    }
    suspecting += suspecting_replicas;
    return suspecting_replicas > 0 && suspecting >= g->count / 2 + 1;
}

/* Returns whether the primary has announced that it leaves. */
static gboolean
primary_leaving(const ControlCore *k, const Group *g)
{
    char *key = g_strdup_printf("server/%s/%s", g->database, g->primary);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    return r != NULL && json_flag(r->spec, "leaving");
}

/* Returns when the failure domain of a member was evacuated, zero if it is
 * not. */
static uint64_t
member_evacuated_us(const ControlCore *k, const Group *g, uint32_t member)
{
    const uint64_t *us = g_hash_table_lookup(k->evacuated, g->domains[member]);
    return us == NULL ? 0 : *us;
}

/* Returns whether a member can take part in a planned change as a replica.  A
 * short gap in its stream does not matter: on a loaded machine replicas have
 * gaps in turn, and all of them would seldom be usable at once. */
static gboolean
replica_usable(uint64_t now_us, const MemberTracker *t)
{
    return now_us - t->last_seen_us < kHealthReportMaxAgeUs && t->reachable &&
           t->in_recovery &&
           (t->stream_alive ||
            (t->was_healthy && t->failing_since_us != 0 &&
             now_us - t->failing_since_us < kStreamGapMaxUs));
}

/* Returns whether the primary must move out of an evacuated failure domain
 * now. */
static gboolean
primary_must_move(ControlCore *k, uint64_t now_us, const Group *g)
{
    DomainMember members[kMembersMax] = {{0}};
    int32_t primary = -1;

    if (g_hash_table_size(k->evacuated) == 0) {
        return FALSE;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        const MemberTracker *t =
            control_member_tracker(k, g->database, g->members[i]);
        members[i].evacuated_us = member_evacuated_us(k, g, i);
        members[i].usable = replica_usable(now_us, t);
        if (strcmp(g->members[i], g->primary) == 0) {
            primary = (int32_t)i;
        }
    }
    return domain_access_move_due(members, g->count, primary, now_us);
}

/* ---- commands to members ---- */

/* Sends a command for a member to the owner of its connections; if attempt is
 * above 1, also to the instance that is next in rank. */
static void
send_command(ControlCore *k, const Group *g, uint32_t member,
             Sw__MemberAction action, const char *target, uint64_t attempt)
{
    const InstanceInfo *owners[2];
    char *resource =
        g_strdup_printf("pool/%s/%s", g->database, g->members[member]);
    uint32_t count =
        ownership_rank(&k->view, resource, g->domains[member], 2, owners);
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__MemberCommand command = SW__MEMBER_COMMAND__INIT;

    g_free(resource);
    if (count == 0) {
        return;
    }
    command.database = (char *)g->database;
    command.member = (char *)g->members[member];
    command.action = action;
    command.target_address = (char *)target;
    command.promotion = g->promotion;
    frame.body_case = SW__FRAME__BODY_MEMBER_COMMAND;
    frame.member_command = &command;
    /* The owner may have failed if a command must be sent again.  A member can
     * execute a command twice without harm. */
    uint32_t receivers = attempt > 1 ? count : 1;
    for (uint32_t i = 0; i < receivers; i++) {
        k->port.send(k->port.ctx, owners[i]->id, &frame);
    }
}

/* Returns whether the commands of the phase may be sent now.  If so, counts
 * the resend and sets the earliest time of the next one. */
static gboolean
begin_resend(PromotionTracker *t, uint64_t now_us)
{
    if (now_us < t->next_resend_us) {
        return FALSE;
    }
    t->next_resend_us = now_us + kCommandResendIntervalUs;
    t->resends++;
    return TRUE;
}

/* ---- phases ---- */

/* Commands the reachable members that do not follow the primary to follow
 * it.  Does nothing if the address of the primary is unknown. */
static void
command_followers(ControlCore *k, uint64_t now_us, const Group *g)
{
    char *key = g_strdup_printf("server/%s/%s", g->database, g->primary);
    const Resource *server = state_lookup(k->state, key);
    const char *address =
        server == NULL ? "" : json_text_or(server->spec, "address", "");

    g_free(key);
    for (uint32_t i = 0; i < g->count && address[0] != '\0'; i++) {
        MemberTracker *t =
            control_member_tracker(k, g->database, g->members[i]);
        gboolean not_following = t->reachable &&
                                 now_us >= t->next_follow_command_us &&
                                 (!t->in_recovery || !t->stream_alive);
        if (strcmp(g->members[i], g->primary) == 0 || !not_following) {
            continue;
        }
        t->next_follow_command_us = now_us + kFollowCommandIntervalUs;
        send_command(k, g, i, SW__MEMBER_ACTION__MEMBER_FOLLOW, address, 0);
    }
}

/* Runs the phase "stable": records the primary if the state has none, starts
 * a promotion if the primary is suspected or leaves, and otherwise makes the
 * other members follow the primary. */
static void
tick_stable(ControlCore *k, uint64_t now_us, const Group *g)
{
    MemberTracker *p = control_member_tracker(k, g->database, g->primary);

    if (!g->recorded || g->term == 0) {
        if (p->reachable && !p->in_recovery && p->timeline > 0) {
            propose_phase(k, now_us, g, g->primary, p->timeline, g->promotion,
                          "stable", "", NULL);
        }
        return;
    }
    gboolean evacuated = primary_must_move(k, now_us, g);
    if (evacuated || primary_suspected(k, now_us, g) ||
        primary_leaving(k, g)) {
        if (!propose_phase(k, now_us, g, g->primary, g->term, g->promotion + 1,
                           "fencing", "",
                           evacuated ? "failure domain is evacuated" : NULL)) {
            return;
        }
        g_message("replacing primary %s of %s, promotion %" G_GUINT64_FORMAT
                  "%s",
                  g->primary, g->database, g->promotion + 1,
                  evacuated ? ", failure domain is evacuated" : "");
        if (evacuated) {
            metrics_count(&k->metrics, kMetricEvacuationMoves);
        }
        return;
    }
    command_followers(k, now_us, g);
}

/* Returns whether a member is to be promoted rather than another one with the
 * same log: one outside the evacuated failure domains, then the lowest id. */
static gboolean
member_preferred(const ControlCore *k, const Group *g, const char *member,
                 const char *other)
{
    gboolean member_evacuated = FALSE;
    gboolean other_evacuated = FALSE;

    for (uint32_t i = 0; i < g->count; i++) {
        gboolean evacuated = member_evacuated_us(k, g, i) != 0;
        if (strcmp(g->members[i], member) == 0) {
            member_evacuated = evacuated;
        }
        if (strcmp(g->members[i], other) == 0) {
            other_evacuated = evacuated;
        }
    }
    if (member_evacuated != other_evacuated) {
        return other_evacuated;
    }
    return strcmp(member, other) < 0;
}

/* Returns the fenced member with the highest timeline and position; of several
 * equal ones, the preferred one.  A member with a shorter log is not chosen
 * even if the others are evacuated, since it may lack acknowledged writes. */
static const char *
highest_fenced(const ControlCore *k, const Group *g, const PromotionTracker *t)
{
    GHashTableIter it;
    void *member;
    void *value;
    const char *best = NULL;
    FencedPosition top = {0, 0};

    g_hash_table_iter_init(&it, t->fenced);
    while (g_hash_table_iter_next(&it, &member, &value)) {
        FencedPosition at = *(FencedPosition *)value;
        gboolean higher =
            at.timeline > top.timeline ||
            (at.timeline == top.timeline && at.position > top.position);
        gboolean tie = at.timeline == top.timeline &&
                       at.position == top.position && best != NULL &&
                       member_preferred(k, g, member, best);
        if (best == NULL || higher || tie) {
            best = member;
            top = at;
        }
    }
    return best;
}

/* Runs the phase "fencing": sends the fence commands, and chooses the
 * candidate once a majority is fenced. */
static void
tick_fencing(ControlCore *k, uint64_t now_us, const Group *g,
             PromotionTracker *t)
{
    if (g_hash_table_size(t->fenced) >= g->count / 2 + 1) {
        propose_phase(k, now_us, g, g->primary, g->term, g->promotion,
                      "promoting", highest_fenced(k, g, t), NULL);
        return;
    }
    if (!begin_resend(t, now_us)) {
        return;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        if (strcmp(g->members[i], g->primary) != 0 &&
            g_hash_table_lookup(t->fenced, g->members[i]) == NULL) {
            send_command(k, g, i, SW__MEMBER_ACTION__MEMBER_FENCE, "",
                         t->resends);
        }
    }
}

/* Runs the phase "promoting": sends the promote command, and starts a new
 * promotion if the candidate is not the primary within
 * kCandidateMaxWaitUs. */
static void
tick_promoting(ControlCore *k, uint64_t now_us, const Group *g,
               PromotionTracker *t)
{
    if (t->candidate_since_us == 0) {
        t->candidate_since_us = now_us;
    }
    if (now_us - t->candidate_since_us > kCandidateMaxWaitUs) {
        propose_phase(k, now_us, g, g->primary, g->term, g->promotion + 1,
                      "fencing", "", NULL);
        return;
    }
    if (!begin_resend(t, now_us)) {
        return;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        if (strcmp(g->members[i], g->candidate) == 0) {
            send_command(k, g, i, SW__MEMBER_ACTION__MEMBER_PROMOTE, "",
                         t->resends);
        }
    }
}

/* Resets the tracker if the number of the promotion has changed. */
static void
reset_if_new_promotion(PromotionTracker *t, const Group *g)
{
    if (t->number == g->promotion) {
        return;
    }
    t->number = g->promotion;
    t->candidate_since_us = 0;
    t->next_resend_us = 0;
    t->proposed_us = 0;
    g_hash_table_remove_all(t->fenced);
}

/* Runs the step of the current phase of a group. */
static void
group_tick(ControlCore *k, uint64_t now_us, const Group *g)
{
    PromotionTracker *t = promotion_tracker(k, g->database);

    reset_if_new_promotion(t, g);
    if (strcmp(g->phase, "fencing") == 0) {
        tick_fencing(k, now_us, g, t);
    }
    else if (strcmp(g->phase, "promoting") == 0) {
        tick_promoting(k, now_us, g, t);
    }
    else {
        tick_stable(k, now_us, g);
    }
}

/* Fills the group of a database.  Returns FALSE if the database does not
 * exist. */
static gboolean
group_find(ControlCore *k, const char *database, Group *g)
{
    char *key = g_strdup_printf("database/%s", database);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    if (r == NULL) {
        return FALSE;
    }
    group_load(k, r, g);
    return TRUE;
}

/* Returns whether a group must be checked in every tick: its primary is being
 * replaced or leaves, or a member is reported as failing.  The absence of
 * reports is detected by the scan. */
static gboolean
group_urgent(ControlCore *k, const Group *g)
{
    if (strcmp(g->phase, "stable") != 0 || primary_leaving(k, g)) {
        return TRUE;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        const MemberTracker *t =
            control_member_tracker(k, g->database, g->members[i]);
        if (t->failing_since_us != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Makes every tick check a database until group_urgent returns FALSE for
 * it. */
void
promotion_mark_urgent(ControlCore *k, const char *database)
{
    if (!g_hash_table_contains(k->urgent_databases, database)) {
        g_hash_table_add(k->urgent_databases, g_strdup(database));
    }
}

/* Returns the names of all databases; the caller owns the array. */
static GPtrArray *
list_databases(ControlCore *k)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, state_resources(k->state));
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Resource *r = value;
        if (r->kind == kResourceDatabase) {
            g_ptr_array_add(names, g_strdup(resource_name_of(r->key)));
        }
    }
    return names;
}

/* Checks a share of all groups, so that each group is checked about once in
 * kGroupScanIntervalUs.  Only this detects missing reports, which cause no
 * event. */
static void
scan_share(ControlCore *k, uint64_t now_us)
{
    if (k->databases == NULL) {
        k->databases = list_databases(k);
        k->scan_index = 0;
    }
    uint64_t elapsed_us = MIN(now_us - k->last_scan_us, kGroupScanIntervalUs);
    uint64_t share =
        (k->databases->len * elapsed_us + kGroupScanIntervalUs - 1) /
        kGroupScanIntervalUs;
    k->last_scan_us = now_us;
    for (uint64_t i = 0; i < share; i++) {
        Group g;
        k->scan_index = (k->scan_index + 1) % k->databases->len;
        const char *name = g_ptr_array_index(k->databases, k->scan_index);
        if (group_find(k, name, &g)) {
            group_tick(k, now_us, &g);
        }
    }
}

/* Checks all urgent groups and a share of all groups.  Must be called on the
 * leader only. */
void
promotion_tick(ControlCore *k, uint64_t now_us)
{
    scan_share(k, now_us);
    GList *names = g_hash_table_get_keys(k->urgent_databases);
    for (GList *l = names; l != NULL; l = l->next) {
        Group g;
        if (!group_find(k, l->data, &g)) {
            g_hash_table_remove(k->urgent_databases, l->data);
            continue;
        }
        group_tick(k, now_us, &g);
        if (!group_urgent(k, &g)) {
            g_hash_table_remove(k->urgent_databases, l->data);
        }
    }
    g_list_free(names);
}

/* Restarts the failure times of all members after a promotion, because
 * members stop and reconnect while they change to the new primary. */
static void
reset_member_faults(ControlCore *k, uint64_t now_us, const Group *g)
{
    for (uint32_t i = 0; i < g->count; i++) {
        MemberTracker *t =
            control_member_tracker(k, g->database, g->members[i]);
        t->next_follow_command_us = 0;
        if (t->failing_since_us != 0) {
            t->failing_since_us = now_us;
        }
        t->was_healthy = FALSE;
        t->faults_counted_from_us = now_us;
    }
}

/* Handles the result of a command to a member.  Ignores failures, since the
 * command is sent again, and results of another promotion. */
void
promotion_handle_result(ControlCore *k, uint64_t now_us,
                        const Sw__MemberResult *r)
{
    Group g;

    if (!control_core_leads(k) || !group_find(k, r->database, &g) ||
        r->promotion != g.promotion) {
        return;
    }
    if (!r->ok) {
        return;
    }
    PromotionTracker *t = promotion_tracker(k, g.database);
    reset_if_new_promotion(t, &g);
    if (r->action == SW__MEMBER_ACTION__MEMBER_FENCE &&
        strcmp(g.phase, "fencing") == 0 && strcmp(r->member, g.primary) != 0) {
        FencedPosition *at = g_new(FencedPosition, 1);
        *at = (FencedPosition){r->timeline, r->position};
        g_hash_table_replace(t->fenced, g_strdup(r->member), at);
        tick_fencing(k, now_us, &g, t);
        return;
    }
    if (r->action == SW__MEMBER_ACTION__MEMBER_PROMOTE &&
        strcmp(g.phase, "promoting") == 0 && !r->in_recovery &&
        r->timeline > g.term && strcmp(r->member, g.candidate) == 0) {
        metrics_count(&k->metrics, kMetricPromotions);
        t->proposed_us = 0;
        propose_phase(k, now_us, &g, g.candidate, r->timeline, g.promotion,
                      "stable", "", NULL);
        reset_member_faults(k, now_us, &g);
    }
}
