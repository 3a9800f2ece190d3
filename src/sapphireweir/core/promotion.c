#include <string.h>

#include "core/control_defs.h"
#include "core/schema.h"

/* Replaces the primary of a database group.
 *
 * The log holds one resource "primary/DATABASE" with a phase:
 *
 *   stable     member is primary on term
 *   fencing    the other members are told to stop following it
 *   promoting  candidate, the highest of a fenced majority, is promoted
 *
 * A write is acknowledged only when a majority of the declared members, the
 * primary among them, holds it on the primary's term.  The fenced members
 * are a majority that leaves the old primary out, so both sets share a
 * fenced member: every acknowledged write is on the candidate, and the old
 * primary can reach no majority any more.  Each step can be repeated, and
 * the next leader goes on from the phase in the log. */

enum {
    kStepResendUs = 150000,
    kRefollowUs = 500000,
    kHealthFreshUs = 1000000,
    kPrimarySilentUs = 1200000,
    kCandidatePatienceUs = 2000000,
    kUnseenSuspectFactor = 4,
    kMembersMax = 9,
};

/* The members and the present primary of a database, as the log has them. */
typedef struct {
    const char *database;
    const char *members[kMembersMax];
    const char *domains[kMembersMax];
    uint32_t count;
    const char *primary;
    const char *phase;
    const char *candidate;
    uint64_t term;
    uint64_t promotion;
    gboolean recorded; /* primary/DATABASE is in the log */
} Group;

/* Frees a promotion record. */
void
promotion_track_free(void *track)
{
    PromotionTrack *t = track;
    g_hash_table_destroy(t->fenced);
    g_free(t);
}

static PromotionTrack *
promotion_track(ControlCore *k, const char *database)
{
    PromotionTrack *t = g_hash_table_lookup(k->promotions, database);
    if (t == NULL) {
        t = g_new0(PromotionTrack, 1);
        t->fenced =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(k->promotions, g_strdup(database), t);
    }
    return t;
}

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

static void
propose_phase(ControlCore *k, uint64_t now_us, const Group *g,
              const char *member, uint64_t term, uint64_t promotion,
              const char *phase, const char *candidate)
{
    PromotionTrack *t = promotion_track(k, g->database);
    if (t->proposed_us != 0 && now_us - t->proposed_us < kRefollowUs) {
        return;
    }
    t->proposed_us = now_us;
    char *key = g_strdup_printf("primary/%s", g->database);
    json_t *spec =
        json_pack("{s:s, s:I, s:I, s:s, s:s}", "member", member, "term",
                  (json_int_t)term, "promotion", (json_int_t)promotion,
                  "phase", phase, "candidate", candidate);
    control_propose_quiet(k, now_us, k->id, key, spec, TRUE);
    g_free(key);
}

/* ---- suspicion ---- */

static gboolean
failing_long(const ControlCore *k, uint64_t now_us, const MemberTrack *t)
{
    uint64_t patience_us = k->config.suspect_us;
    if (!t->seen_fine) {
        patience_us *= kUnseenSuspectFactor;
    }
    return t->failing_since_us != 0 &&
           now_us - t->failing_since_us >= patience_us;
}

static gboolean
primary_suspected(ControlCore *k, uint64_t now_us, const Group *g)
{
    uint32_t against = 0;
    uint32_t replicas_against = 0;

    for (uint32_t i = 0; i < g->count; i++) {
        MemberTrack *t = control_member_track(k, g->database, g->members[i]);
        gboolean fresh = now_us - t->heard_us < kHealthFreshUs;
        if (strcmp(g->members[i], g->primary) == 0) {
            uint64_t heard_us = MAX(t->heard_us, k->led_since_us);
            gboolean silent = now_us - heard_us > kPrimarySilentUs;
            gboolean bad = !t->reachable || t->in_recovery;
            against +=
                silent || (fresh && bad && failing_long(k, now_us, t)) ? 1 : 0;
            continue;
        }
        gboolean cut = fresh && t->reachable && t->in_recovery &&
                       !t->stream_alive && failing_long(k, now_us, t);
        replicas_against += cut ? 1 : 0;
    }
    against += replicas_against;
    return replicas_against > 0 && against >= g->count / 2 + 1;
}

static gboolean
primary_leaving(const ControlCore *k, const Group *g)
{
    char *key = g_strdup_printf("server/%s/%s", g->database, g->primary);
    const Resource *r = state_lookup(k->state, key);
    g_free(key);
    return r != NULL && json_flag(r->spec, "leaving");
}

/* ---- commands to members ---- */

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
    /* From the second try on the successor gets it too: the owner may be
     * lost.  A member takes a command twice without harm. */
    uint32_t reached = attempt > 1 ? count : 1;
    for (uint32_t i = 0; i < reached; i++) {
        k->port.send(k->port.ctx, owners[i]->id, &frame);
    }
}

static gboolean
resend_due(PromotionTrack *t, uint64_t now_us)
{
    if (now_us < t->resend_due_us) {
        return FALSE;
    }
    t->resend_due_us = now_us + kStepResendUs;
    t->resends++;
    return TRUE;
}

/* ---- phases ---- */

static void
refollow(ControlCore *k, uint64_t now_us, const Group *g)
{
    char *key = g_strdup_printf("server/%s/%s", g->database, g->primary);
    const Resource *server = state_lookup(k->state, key);
    const char *address =
        server == NULL ? "" : json_text_or(server->spec, "address", "");

    g_free(key);
    for (uint32_t i = 0; i < g->count && address[0] != '\0'; i++) {
        MemberTrack *t = control_member_track(k, g->database, g->members[i]);
        gboolean astray = t->reachable && now_us >= t->refollow_due_us &&
                          (!t->in_recovery || !t->stream_alive);
        if (strcmp(g->members[i], g->primary) == 0 || !astray) {
            continue;
        }
        t->refollow_due_us = now_us + kRefollowUs;
        send_command(k, g, i, SW__MEMBER_ACTION__MEMBER_FOLLOW, address, 0);
    }
}

static void
tick_stable(ControlCore *k, uint64_t now_us, const Group *g)
{
    MemberTrack *p = control_member_track(k, g->database, g->primary);

    if (!g->recorded || g->term == 0) {
        if (p->reachable && !p->in_recovery && p->timeline > 0) {
            propose_phase(k, now_us, g, g->primary, p->timeline, g->promotion,
                          "stable", "");
        }
        return;
    }
    if (primary_suspected(k, now_us, g) || primary_leaving(k, g)) {
        g_message("primary %s of %s is replaced, promotion %" G_GUINT64_FORMAT,
                  g->primary, g->database, g->promotion + 1);
        propose_phase(k, now_us, g, g->primary, g->term, g->promotion + 1,
                      "fencing", "");
        return;
    }
    refollow(k, now_us, g);
}

static const char *
highest_fenced(const PromotionTrack *t)
{
    GHashTableIter it;
    void *member;
    void *value;
    const char *best = NULL;
    FencedAt top = {0, 0};

    g_hash_table_iter_init(&it, t->fenced);
    while (g_hash_table_iter_next(&it, &member, &value)) {
        FencedAt at = *(FencedAt *)value;
        gboolean higher =
            at.timeline > top.timeline ||
            (at.timeline == top.timeline && at.position > top.position);
        gboolean tie = at.timeline == top.timeline &&
                       at.position == top.position && best != NULL &&
                       strcmp(member, best) < 0;
        if (best == NULL || higher || tie) {
            best = member;
            top = at;
        }
    }
    return best;
}

static void
tick_fencing(ControlCore *k, uint64_t now_us, const Group *g,
             PromotionTrack *t)
{
    if (g_hash_table_size(t->fenced) >= g->count / 2 + 1) {
        propose_phase(k, now_us, g, g->primary, g->term, g->promotion,
                      "promoting", highest_fenced(t));
        return;
    }
    if (!resend_due(t, now_us)) {
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

static void
tick_promoting(ControlCore *k, uint64_t now_us, const Group *g,
               PromotionTrack *t)
{
    if (t->candidate_since_us == 0) {
        t->candidate_since_us = now_us;
    }
    if (now_us - t->candidate_since_us > kCandidatePatienceUs) {
        propose_phase(k, now_us, g, g->primary, g->term, g->promotion + 1,
                      "fencing", "");
        return;
    }
    if (!resend_due(t, now_us)) {
        return;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        if (strcmp(g->members[i], g->candidate) == 0) {
            send_command(k, g, i, SW__MEMBER_ACTION__MEMBER_PROMOTE, "",
                         t->resends);
        }
    }
}

static void
track_follow(PromotionTrack *t, const Group *g)
{
    if (t->number == g->promotion) {
        return;
    }
    t->number = g->promotion;
    t->candidate_since_us = 0;
    t->resend_due_us = 0;
    t->proposed_us = 0;
    g_hash_table_remove_all(t->fenced);
}

static void
group_tick(ControlCore *k, uint64_t now_us, const Group *g)
{
    PromotionTrack *t = promotion_track(k, g->database);

    track_follow(t, g);
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

/* Tells whether a group must be looked at in every tick: its primary is
 * being replaced, or someone reported a fault.  Silence alone is found by
 * the scan. */
static gboolean
group_urgent(ControlCore *k, const Group *g)
{
    if (strcmp(g->phase, "stable") != 0 || primary_leaving(k, g)) {
        return TRUE;
    }
    for (uint32_t i = 0; i < g->count; i++) {
        const MemberTrack *t =
            control_member_track(k, g->database, g->members[i]);
        if (t->failing_since_us != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Has a database looked at in every tick while it is urgent. */
void
promotion_attend(ControlCore *k, const char *database)
{
    if (!g_hash_table_contains(k->attention, database)) {
        g_hash_table_add(k->attention, g_strdup(database));
    }
}

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

/* Looks at a part of all groups, so that each has its turn once in
 * kGroupScanUs: silence shows only by looking. */
static void
scan_some(ControlCore *k, uint64_t now_us)
{
    if (k->databases == NULL) {
        k->databases = list_databases(k);
        k->scan_at = 0;
    }
    uint64_t passed_us = MIN(now_us - k->scanned_us, kGroupScanUs);
    uint64_t share =
        (k->databases->len * passed_us + kGroupScanUs - 1) / kGroupScanUs;
    k->scanned_us = now_us;
    for (uint64_t i = 0; i < share; i++) {
        Group g;
        k->scan_at = (k->scan_at + 1) % k->databases->len;
        const char *name = g_ptr_array_index(k->databases, k->scan_at);
        if (group_find(k, name, &g)) {
            group_tick(k, now_us, &g);
        }
    }
}

/* Lets the leader look at the groups that need it. */
void
promotion_tick(ControlCore *k, uint64_t now_us)
{
    scan_some(k, now_us);
    GList *names = g_hash_table_get_keys(k->attention);
    for (GList *l = names; l != NULL; l = l->next) {
        Group g;
        if (!group_find(k, l->data, &g)) {
            g_hash_table_remove(k->attention, l->data);
            continue;
        }
        group_tick(k, now_us, &g);
        if (!group_urgent(k, &g)) {
            g_hash_table_remove(k->attention, l->data);
        }
    }
    g_list_free(names);
}

static void
forgive_members(ControlCore *k, uint64_t now_us, const Group *g)
{
    for (uint32_t i = 0; i < g->count; i++) {
        MemberTrack *t = control_member_track(k, g->database, g->members[i]);
        t->refollow_due_us = 0;
        if (t->failing_since_us != 0) {
            t->failing_since_us = now_us;
        }
        t->seen_fine = FALSE;
        t->forgiven_us = now_us;
    }
}

/* Takes in what a member answered to a command.  Answers to an earlier
 * promotion change nothing. */
void
promotion_result(ControlCore *k, uint64_t now_us, const Sw__MemberResult *r)
{
    Group g;

    if (!control_core_leads(k) || !group_find(k, r->database, &g) ||
        r->promotion != g.promotion) {
        return;
    }
    if (!r->ok) {
        return;
    }
    PromotionTrack *t = promotion_track(k, g.database);
    track_follow(t, &g);
    if (r->action == SW__MEMBER_ACTION__MEMBER_FENCE &&
        strcmp(g.phase, "fencing") == 0 && strcmp(r->member, g.primary) != 0) {
        FencedAt *at = g_new(FencedAt, 1);
        *at = (FencedAt){r->timeline, r->position};
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
                      "stable", "");
        forgive_members(k, now_us, &g);
    }
}
