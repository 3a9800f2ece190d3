#include "core/hash.h"
#include "fleet/director_internal.h"
#include "policy/rate_stock.h"
#include "policy/rate_window.h"
#include "policy/share.h"

/* The teams' rate limits at the leader: a sliding window for each team, from
 * which entry instances request tokens, and the shares of each limit that
 * they fall back to while they cannot reach the leader.  Bounds of these are
 * committed before they are granted, so that the next leader knows them; see
 * policy/share_bounds.c. */

enum {
    kPercent = 100,
    /* If a third of the entry instances falls back to its shares, it may use
     * 15 percent of the limit within 2.5 s without requesting tokens. */
    kNearLimitPercent = 75,
    /* An entry instance that has reported no new grant for this long may fall
     * back to its share of each limit.  kFallbackAfterUs in the gateway must
     * be longer. */
    kGrantTimeoutUs = 2500000,
    kSharesRefreshUs = 2000000, /* until all shares are sent again */
    /* Until a new leader grants shares: those of the first instances that
     * report their demand would be too large, and three of six that were cut
     * off then had 87 percent of a limit reserved for them. */
    kSharesSettleUs = 1000000,
    /* Shares are rounded down to this many binary digits, so that small
     * changes of the demand are not sent. */
    kShareDigits = 4,
    /* Between two searches for instances whose tokens are reserved; the
     * margin of kFallbackAfterUs over kGrantTimeoutUs is longer. */
    kReservationsRefreshUs = 50000,
    /* Longest time that a lent share may count: a loan, the life of a token
     * and the window, see share_pool_counted_us; 5 percent for the clocks. */
    kMaxLentUs = 8000000,
    kTakersMax = 400, /* of one share: some reports of a whole pool */
    /* Until a leader forgets the bounds of an instance that has not reported
     * to it, as it does those that have stopped reporting. */
    kUnknownEntryUs = 30000000,
    /* After the last report of an instance that is leaving: its operations
     * have left the window. */
    kLeftEntryUs = 8000000,
};

/* Returns the number of operations that a team may run within a window; each
 * takes one token. */
static uint64_t
window_limit(const Director *d, const DocumentTeam *team)
{
    return document_window_milli(team->rate_milli_per_s, team->burst_milli,
                                 d->config.rate_window_us) /
           1000;
}

/* Tells whether an instance may use its share without requesting tokens, since
 * it has reported no recent grant, or whether this leader does not know what
 * the instance used before. */
static gboolean
has_reservation(const Director *d, uint64_t now_us, const EntryState *entry)
{
    gboolean may_fall_back =
        now_us - MAX(entry->grant_reported_us, d->led_since_us) >=
        kGrantTimeoutUs;
    gboolean usage_unknown =
        entry->usage_term != consensus_term(d->consensus) &&
        now_us - d->led_since_us <= d->config.rate_window_us;

    return (may_fall_back && !entry->leaving) || usage_unknown;
}

/* Tells whether a lent share counts no longer; a GHRFunc. */
static gboolean
lent_has_ended(void *key, void *value, void *ctx)
{
    (void)key;
    return ((const LentShare *)value)->until_us <= *(const uint64_t *)ctx;
}

/* Frees a LentShare; usable as a GDestroyNotify. */
void
lent_share_free(void *lent)
{
    g_array_unref(((LentShare *)lent)->takers);
    g_free(lent);
}

/* Adds the instances in contact that lent shares, while any instance is out of
 * contact; all others have reported what they used. */
static void
add_lenders(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    gboolean unknown_use = d->reservations->len > 0;

    g_hash_table_remove_all(d->entries_by_hash);
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        g_hash_table_insert(d->entries_by_hash, &entry->hash, entry);
        g_hash_table_foreach_remove(entry->lent, lent_has_ended, &now_us);
        if (unknown_use && !entry->reserved &&
            g_hash_table_size(entry->lent) > 0) {
            g_ptr_array_add(d->reservations, entry);
        }
    }
}

/* Applies committed bounds of shares. */
void
rates_apply_bounds(Director *d, uint64_t term,
                   Sw__ShareBoundsRecord *const *records, size_t count)
{
    share_records_apply(&d->share_bounds, records, count);
    for (size_t i = 0; i < count; i++) {
        uint64_t hash = records[i]->entry;
        if (!share_bounds_has_entry(&d->share_bounds, hash)) {
            g_hash_table_remove(d->recent_bounds, &hash);
        }
        else if (term > d->replayed_term) {
            g_hash_table_add(d->recent_bounds, g_memdup2(&hash, sizeof(hash)));
        }
    }
}

/* Tells whether an instance with bounds that has not reported to this control
 * instance may still run.  After a restart of the whole fleet, bounds of the
 * former instances would else take the limits for as long as these are waited
 * for; a fleet that went on shows by the grants that it has. */
static gboolean
may_still_run(const Director *d, const uint64_t *hash)
{
    return d->former_grant_seen ||
           g_hash_table_contains(d->recent_bounds, hash);
}

/* Collects the instances with bounds that have not reported to this control
 * instance, which cannot tell yet whether they have ended. */
static void
add_unknown_entries(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *hash;

    g_array_set_size(d->unknown_entries, 0);
    if (now_us - d->led_since_us >= kUnknownEntryUs) {
        return;
    }
    g_hash_table_iter_init(&it, d->share_bounds.entries);
    while (g_hash_table_iter_next(&it, &hash, NULL)) {
        if (!g_hash_table_contains(d->entries_by_hash, hash) &&
            may_still_run(d, hash)) {
            g_array_append_vals(d->unknown_entries, hash, 1);
        }
    }
}

/* Collects the entry instances for which tokens are reserved, usually none, so
 * that a token request need not walk through all entry instances. */
static void
refresh_reservations(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us < d->next_reservations_us) {
        return;
    }
    d->next_reservations_us = now_us + kReservationsRefreshUs;
    g_ptr_array_set_size(d->reservations, 0);
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        entry->reserved = has_reservation(d, now_us, entry);
        if (entry->reserved) {
            g_ptr_array_add(d->reservations, entry);
        }
    }
    add_lenders(d, now_us);
    add_unknown_entries(d, now_us);
}

/* Tells whether an instance with a hash is out of contact, or not known. */
static gboolean
is_out_of_contact(const Director *d, uint64_t hash)
{
    const EntryState *entry = g_hash_table_lookup(d->entries_by_hash, &hash);

    return entry == NULL || entry->reserved;
}

/* Returns how much of a team's limit, in millionths, others may use of what an
 * instance gave them, without having reported it to this leader. */
static uint64_t
lent_share(const Director *d, const EntryState *entry, const char *team)
{
    const LentShare *lent = g_hash_table_lookup(entry->lent, team);

    if (lent == NULL) {
        return 0;
    }
    for (guint i = 0; i < lent->takers->len; i++) {
        if (is_out_of_contact(d, g_array_index(lent->takers, uint64_t, i))) {
            return lent->share_micro;
        }
    }
    return lent->takers->len == 0 ? lent->share_micro : 0;
}

/* Returns the part of a team's limit, in millionths, that is reserved because
 * of one instance: the share that it may hold if it is out of contact, and one
 * that it gave to others. */
static uint64_t
reserved_share(const Director *d, const EntryState *entry, const char *team)
{
    uint32_t entry_count =
        MAX(g_hash_table_size(d->entries), d->reported_entries);
    uint64_t lent_micro = lent_share(d, entry, team);

    if (!entry->reserved) {
        return lent_micro;
    }
    uint32_t bound =
        share_bounds_get(&d->share_bounds, entry->hash, hash_text(team, 0));
    uint32_t own =
        share_hold_reserved(g_hash_table_lookup(entry->shares, team), bound,
                            kShareTotalMicro / MAX(entry_count, 1));
    return MAX(lent_micro, own);
}

/* Returns the part of a team's limit that may be used, or may have been used
 * lately, without this leader's tokens: the shares that instances with a
 * reservation may hold, whichever leader granted them, and those that others
 * have lent. */
static uint64_t
reserved_tokens(Director *d, uint64_t now_us, const char *team, uint64_t limit)
{
    uint64_t reserved_micro = 0;

    refresh_reservations(d, now_us);
    for (guint i = 0; i < d->reservations->len; i++) {
        reserved_micro +=
            reserved_share(d, g_ptr_array_index(d->reservations, i), team);
    }
    for (guint i = 0; i < d->unknown_entries->len; i++) {
        reserved_micro += share_bounds_get(
            &d->share_bounds, g_array_index(d->unknown_entries, uint64_t, i),
            hash_text(team, 0));
    }
    return limit * MIN(reserved_micro, (uint64_t)kShareTotalMicro) /
           kShareTotalMicro;
}

/* Adds what an entry instance reported of its use of a team's rate to the
 * team's window, or takes it out again. */
static void
usage_apply(RateWindow *w, uint64_t now_us, const GArray *list, gboolean add)
{
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const UsedTokens *each = &g_array_index(list, UsedTokens, i);
        if (add) {
            rate_window_add(w, now_us, each->used_us, each->count);
        }
        else {
            rate_window_return(w, now_us, each->used_us, each->count);
        }
    }
}

/* Adds the reports of all entry instances to a team's new window. */
static void
add_reported_usage(const Director *d, uint64_t now_us, RateWindow *w,
                   const char *team)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        if (entry->usage_term == consensus_term(d->consensus)) {
            usage_apply(w, now_us, g_hash_table_lookup(entry->usage, team),
                        TRUE);
        }
    }
}

/* Returns a team's rate window, created if needed, and sets its limit from the
 * team's settings. */
static RateWindow *
window_ensure(Director *d, uint64_t now_us, const DocumentTeam *team)
{
    RateWindow *w = g_hash_table_lookup(d->rate_windows, team->name);
    uint64_t limit = window_limit(d, team);

    if (w == NULL) {
        w = g_new0(RateWindow, 1);
        rate_window_init(w, now_us, d->config.rate_window_us, limit, 0);
        add_reported_usage(d, now_us, w, team->name);
        g_hash_table_insert(d->rate_windows, g_strdup(team->name), w);
    }
    rate_window_set_limit(w, limit);
    return w;
}

/* Returns a team of the configuration, or NULL.  Its settings may be of an
 * earlier version; see documents_decoded. */
static const DocumentTeam *
find_team(Director *d, uint64_t now_us, const char *name)
{
    const Document *document = documents_decoded(d, now_us);
    const DocumentTeam *team =
        document == NULL ? NULL : g_hash_table_lookup(document->teams, name);

    if (team == NULL) {
        document = documents_current(d);
        team = document == NULL ? NULL
                                : g_hash_table_lookup(document->teams, name);
    }
    return team;
}

/* Takes the use that an entry instance reported before out of the teams'
 * windows. */
static void
usage_forget(Director *d, uint64_t now_us, EntryState *entry)
{
    GHashTableIter it;
    void *team;
    void *list;

    g_hash_table_iter_init(&it, entry->usage);
    while (g_hash_table_iter_next(&it, &team, &list)) {
        RateWindow *w = g_hash_table_lookup(d->rate_windows, team);
        if (w != NULL && entry->usage_term == consensus_term(d->consensus)) {
            usage_apply(w, now_us, list, FALSE);
        }
    }
    g_hash_table_remove_all(entry->usage);
}

/* Stores a team's counts of a report as the latest times at which the
 * operations may have run. */
static void
usage_store(Director *d, uint64_t now_us, EntryState *entry,
            const Sw__TeamUsage *m, uint64_t phase_us)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(UsedTokens));
    RateWindow *w = g_hash_table_lookup(d->rate_windows, m->team);

    for (size_t i = 0; i < MIN(m->n_counts, (size_t)kRateUsageBins); i++) {
        uint64_t age_us = rate_usage_age_us(i, phase_us);
        UsedTokens each = {now_us - MIN(age_us, now_us), m->counts[i]};
        if (each.count > 0) {
            g_array_append_val(list, each);
        }
    }
    if (w != NULL) {
        usage_apply(w, now_us, list, TRUE);
    }
    g_hash_table_replace(entry->usage, g_strdup(m->team), list);
}

/* Handles what an entry instance reports of the operations that it admitted
 * without this leader's tokens.  A report to another leader, or one that is
 * known already, changes nothing. */
void
rates_handle_usage(Director *d, uint64_t now_us, EntryState *entry,
                   const Sw__EntryReport *m)
{
    uint64_t term = consensus_term(d->consensus);
    const Sw__RateUsage *usage = m->rate_usage;

    if (usage == NULL || !director_is_leader(d) || usage->term != term ||
        (entry->usage_term == term &&
         entry->usage_version >= m->usage_version)) {
        return;
    }
    usage_forget(d, now_us, entry);
    entry->usage_term = term;
    entry->usage_version = m->usage_version;
    d->reported_entries = MAX(d->reported_entries, usage->entry_count);
    d->next_reservations_us = 0;
    d->rate_counters.usage_reports++;
    for (size_t i = 0; i < usage->n_teams; i++) {
        usage_store(d, now_us, entry, usage->teams[i],
                    MIN(usage->phase_us, d->config.rate_window_us));
    }
}

/* Adds the takers of a report to a lent share.  If those of either are not
 * known, or if there are too many, the sum counts as not known. */
static void
add_takers(LentShare *kept, const Sw__LentShare *m, gboolean known)
{
    gboolean unknown = m->n_takers == 0 || (known && kept->takers->len == 0) ||
                       m->n_takers + kept->takers->len > kTakersMax;

    if (unknown) {
        g_array_set_size(kept->takers, 0);
        return;
    }
    g_array_append_vals(kept->takers, m->takers, (guint)m->n_takers);
}

/* Handles what an entry instance reports of shares that others may use.  It
 * adds to what the instance, or a former incarnation, has reported before. */
void
rates_handle_lent(Director *d, uint64_t now_us, EntryState *entry,
                  const Sw__EntryReport *m)
{
    if (m->n_lent_shares == 0 || m->lent_version == entry->lent_version) {
        return;
    }
    entry->lent_version = m->lent_version;
    d->next_reservations_us = 0;
    d->rate_counters.lent_reports++;
    for (size_t i = 0; i < m->n_lent_shares; i++) {
        const Sw__LentShare *each = m->lent_shares[i];
        LentShare *kept = g_hash_table_lookup(entry->lent, each->team);
        gboolean known = kept != NULL;
        if (kept == NULL) {
            kept = g_new0(LentShare, 1);
            kept->takers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
            g_hash_table_insert(entry->lent, g_strdup(each->team), kept);
        }
        kept->share_micro =
            MAX(kept->share_micro,
                MIN(each->share_micro, (uint32_t)kShareTotalMicro));
        add_takers(kept, each, known);
        kept->until_us = MAX(
            kept->until_us, now_us + MIN(each->left_us, (uint64_t)kMaxLentUs));
    }
}

/* Credits tokens that an entry instance returns. */
static void
return_tokens(Director *d, uint64_t now_us, RateWindow *w,
              const Sw__TokenRequest *m)
{
    for (size_t i = 0; i < m->n_returned; i++) {
        d->rate_counters.returned += rate_window_return(
            w, now_us, m->returned[i]->taken_us, m->returned[i]->count);
    }
}

/* Takes the requested tokens from a team's window and fills in the reply;
 * delays_us must have room for kRateTokensMax. */
static void
grant_tokens(Director *d, uint64_t now_us, RateWindow *w,
             const Sw__TokenRequest *m, Sw__TokenReply *reply,
             uint64_t *delays_us)
{
    uint32_t wanted = MIN(m->wanted, (uint32_t)kRateTokensMax);
    uint64_t reserved = reserved_tokens(d, now_us, m->team, w->limit);
    RateRequest request = {wanted, MIN(m->spare, kRateTokensMax - wanted),
                           m->max_delay_us, reserved};

    reply->owner = TRUE; /* the leader issues the tokens of every team */
    reply->taken_us = now_us;
    RateGrant grant = rate_window_reserve(w, now_us, &request, delays_us);
    reply->granted = grant.wanted + grant.spare;
    reply->spare = grant.spare;
    reply->spare_taken_us = grant.spare_us;
    d->rate_counters.granted += reply->granted;
    if (grant.wanted > 0 && delays_us[grant.wanted - 1] > 0) {
        reply->n_delays_us = grant.wanted;
        reply->delays_us = delays_us;
        d->rate_counters.delayed += grant.wanted;
    }
    if (grant.wanted < wanted) {
        d->rate_counters.refused += wanted - grant.wanted;
        reply->retry_after_us = rate_window_hint_us(w, now_us, reserved);
        uint64_t free_us =
            MIN(rate_window_wait_us(w, now_us), d->config.rate_window_us);
        reply->exhausted_us =
            free_us > m->max_delay_us ? free_us - m->max_delay_us : 0;
    }
}

/* Handles an entry instance's request for tokens of a team.  Requests that
 * reach an instance that does not lead, or does not know yet what former
 * leaders committed, or that name an unknown team, get no reply, and neither
 * do those that only return tokens. */
void
rates_handle_request(Director *d, uint64_t now_us, const char *from,
                     uint64_t request_id, const Sw__TokenRequest *m)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__TokenReply reply = SW__TOKEN_REPLY__INIT;
    uint64_t delays_us[kRateTokensMax];
    gboolean answers = director_is_leader(d) && d->announced;
    const DocumentTeam *team = answers ? find_team(d, now_us, m->team) : NULL;

    if (team == NULL) {
        return;
    }
    RateWindow *w = window_ensure(d, now_us, team);
    return_tokens(d, now_us, w, m);
    if (m->wanted == 0 && m->spare == 0) {
        return;
    }
    grant_tokens(d, now_us, w, m, &reply, delays_us);
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_TOKEN_REPLY;
    frame.token_reply = &reply;
    d->port.send(d->port.ctx, from, &frame);
}

/* Returns whether a team is so near its limit that entry instances which fall
 * back to their shares could exceed it. */
static gboolean
is_near_limit(const Director *d, uint64_t now_us, const char *team)
{
    RateWindow *w = g_hash_table_lookup(d->rate_windows, team);
    return w != NULL && rate_window_used(w, now_us) * kPercent >
                            w->limit * kNearLimitPercent;
}

/* Rounds a share down to kShareDigits binary digits. */
static uint32_t
round_share(uint32_t share)
{
    uint32_t digits = g_bit_storage(share);
    uint32_t shift = digits > kShareDigits ? digits - kShareDigits : 0;

    return share >> shift << shift;
}

/* Tells whether this leader knows all bounds that former ones committed, and
 * the demand of most entry instances. */
static gboolean
may_grant_shares(const Director *d, uint64_t now_us)
{
    return now_us - d->led_since_us >= kSharesSettleUs && d->announced;
}

/* Returns what this leader knows of an instance's share, created if needed. */
static ShareHold *
hold_ensure(uint64_t now_us, EntryState *entry, const char *team,
            uint32_t bound)
{
    ShareHold *h = g_hash_table_lookup(entry->shares, team);

    if (h == NULL) {
        ShareHold hold = share_hold_new(now_us, bound);
        h = g_memdup2(&hold, sizeof(hold));
        g_hash_table_insert(entry->shares, g_strdup(team), h);
    }
    return h;
}

/* Begins a list of all shares of an entry instance in the answer to a report.
 * Its receipt counts only once the instance has reported to this leader: only
 * then it ignores grants of a former one, which might answer the same
 * report. */
static void
begin_list(const Director *d, uint64_t now_us, EntryState *entry,
           uint64_t sequence)
{
    GHashTableIter it;
    void *hold;

    entry->shares_sent_us = now_us;
    entry->shares_sequence =
        entry->usage_term == consensus_term(d->consensus) ? sequence : 0;
    g_hash_table_iter_init(&it, entry->shares);
    while (g_hash_table_iter_next(&it, NULL, &hold)) {
        share_hold_list_begun(hold);
    }
}

/* Appends an entry instance's shares to a list, as Sw__TeamShare that the list
 * owns, for the answer to the report with a sequence, and records them as the
 * last granted ones.  Shares that were granted already are left out, except
 * every kSharesRefreshUs. */
void
rates_append_shares(const Director *d, uint64_t now_us, EntryState *entry,
                    uint64_t sequence, GPtrArray *list)
{
    gboolean all = now_us - entry->shares_sent_us >= kSharesRefreshUs;
    GHashTableIter it;
    void *team;
    void *table;

    if (!may_grant_shares(d, now_us)) {
        return;
    }
    if (all) {
        begin_list(d, now_us, entry, sequence);
    }
    g_hash_table_iter_init(&it, d->shares);
    while (g_hash_table_iter_next(&it, &team, &table)) {
        uint32_t bound = share_bounds_get(&d->share_bounds, entry->hash,
                                          hash_text(team, 0));
        ShareHold *h = hold_ensure(now_us, entry, team, bound);
        uint32_t share =
            share_hold_usable(h, bound,
                              round_share(GPOINTER_TO_UINT(
                                  g_hash_table_lookup(table, entry->id))));
        gboolean near_limit = is_near_limit(d, now_us, team);
        if (share == 0 ||
            (!all && h->sent_micro == share && h->near_limit == near_limit)) {
            continue;
        }
        Sw__TeamShare *each = g_new(Sw__TeamShare, 1);
        sw__team_share__init(each);
        each->team = team;
        each->share_micro = share;
        each->crowded = near_limit;
        g_ptr_array_add(list, each);
        share_hold_sent(h, share, near_limit, all);
    }
}

/* Handles a report of a new grant by an entry instance. */
void
rates_handle_receipt(EntryState *entry)
{
    GHashTableIter it;
    void *hold;

    if (entry->shares_sequence == 0 ||
        entry->granted_sequence != entry->shares_sequence) {
        return;
    }
    entry->shares_sequence = 0;
    g_hash_table_iter_init(&it, entry->shares);
    while (g_hash_table_iter_next(&it, NULL, &hold)) {
        share_hold_confirmed(hold);
    }
}

/* Records that an entry instance has restarted and has no shares. */
void
rates_entry_restarted(EntryState *entry)
{
    GHashTableIter it;
    void *hold;

    entry->shares_sent_us = 0;
    entry->shares_sequence = 0;
    g_hash_table_iter_init(&it, entry->shares);
    while (g_hash_table_iter_next(&it, NULL, &hold)) {
        share_hold_restarted(hold);
    }
}

/* Resets the state of the rates when this instance starts or stops leading;
 * shares that it granted in a former term may have been replaced since. */
void
rates_leadership_changed(Director *d)
{
    GHashTableIter it;
    void *value;

    g_hash_table_remove_all(d->shares);
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        g_hash_table_remove_all(entry->shares);
        entry->shares_sent_us = 0;
        entry->shares_sequence = 0;
    }
    d->bounds_index = 0;
    d->next_reservations_us = 0;
    d->reported_entries = 0;
    d->rates_known = FALSE;
}

/* Appends the changed bounds of an entry instance's shares to a list, up to a
 * number.  Returns the number of those appended. */
static uint32_t
add_changed_bounds(Director *d, uint64_t now_us, EntryState *entry,
                   uint32_t max_count, GPtrArray *records)
{
    GHashTableIter it;
    void *team;
    void *table;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, d->shares);
    while (count < max_count && g_hash_table_iter_next(&it, &team, &table)) {
        uint64_t team_hash = hash_text(team, 0);
        uint32_t bound =
            share_bounds_get(&d->share_bounds, entry->hash, team_hash);
        ShareHold *h = hold_ensure(now_us, entry, team, bound);
        uint32_t next =
            share_hold_next_bound(h, now_us, bound,
                                  round_share(GPOINTER_TO_UINT(
                                      g_hash_table_lookup(table, entry->id))));
        if (next != bound) {
            share_records_add(records, entry->hash, team_hash, next);
            count++;
        }
    }
    return count;
}

/* Appends the removal of all bounds of an instance that has ended to a list,
 * up to a number.  Returns the number of those appended. */
static uint32_t
add_ended_bounds(const Director *d, uint64_t now_us, uint64_t entry_hash,
                 GHashTable *teams, uint32_t max_count, GPtrArray *records)
{
    const EntryState *entry =
        g_hash_table_lookup(d->entries_by_hash, &entry_hash);
    gboolean ended =
        entry == NULL
            ? now_us - d->led_since_us >= kUnknownEntryUs
            : entry->leaving && now_us - entry->last_seen_us >= kLeftEntryUs;
    GHashTableIter it;
    void *team;
    uint32_t count = 0;

    if (!ended) {
        return 0;
    }
    g_hash_table_iter_init(&it, teams);
    while (count < max_count && g_hash_table_iter_next(&it, &team, NULL)) {
        share_records_add(records, entry_hash, *(const uint64_t *)team, 0);
        count++;
    }
    return count;
}

/* Appends the changed bounds of all active entry instances to a list.  Each
 * call begins at another instance, so that none waits for long while there are
 * too many changes.  Returns the number of changes. */
static uint32_t
add_all_changed_bounds(Director *d, uint64_t now_us, GPtrArray *records)
{
    GPtrArray *active = g_ptr_array_new();
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (entry_is_active(value, now_us)) {
            g_ptr_array_add(active, value);
        }
    }
    d->bounds_first++;
    for (guint i = 0; i < active->len; i++) {
        EntryState *entry =
            g_ptr_array_index(active, (i + d->bounds_first) % active->len);
        count += add_changed_bounds(d, now_us, entry,
                                    kShareBoundChangesMax - count, records);
    }
    g_ptr_array_unref(active);
    return count;
}

/* Proposes the changes of the bounds of shares to the replicated log, one
 * batch after the other. */
static void
propose_bounds(Director *d, uint64_t now_us)
{
    Sw__FleetCommand command = SW__FLEET_COMMAND__INIT;
    GHashTableIter it;
    void *key;
    void *value;

    if (!may_grant_shares(d, now_us) ||
        d->bounds_index > consensus_commit_index(d->consensus)) {
        return;
    }
    d->next_reservations_us = 0; /* entries_by_hash must be complete */
    refresh_reservations(d, now_us);
    GPtrArray *records = share_records_new();
    uint32_t count = add_all_changed_bounds(d, now_us, records);
    g_hash_table_iter_init(&it, d->share_bounds.entries);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        count += add_ended_bounds(d, now_us, *(const uint64_t *)key, value,
                                  kShareBoundChangesMax - count, records);
    }
    command.n_share_bounds = records->len;
    command.share_bounds = (Sw__ShareBoundsRecord **)records->pdata;
    if (count > 0 && director_propose(d, now_us, &command, &d->bounds_index)) {
        d->rate_counters.bound_changes += count;
    }
    g_ptr_array_unref(records);
}

/* Sets the active entry instances' shares of a team's limit by their
 * demand. */
static void
divide_team_rate(Director *d, uint64_t now_us, const char *team)
{
    guint max_count = g_hash_table_size(d->entries);
    uint64_t *demand = g_new0(uint64_t, max_count + 1);
    uint32_t *shares = g_new0(uint32_t, max_count + 1);
    GPtrArray *active = g_ptr_array_new();
    GHashTable *table =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        EntryState *entry = value;
        if (!entry_is_active(entry, now_us)) {
            continue;
        }
        const uint64_t *wanted = g_hash_table_lookup(entry->demand, team);
        demand[active->len] = wanted == NULL ? 0 : *wanted;
        g_ptr_array_add(active, entry);
    }
    share_divide(demand, active->len, shares);
    for (guint i = 0; i < active->len; i++) {
        const EntryState *entry = g_ptr_array_index(active, i);
        g_hash_table_insert(table, g_strdup(entry->id),
                            GUINT_TO_POINTER(shares[i]));
    }
    g_hash_table_insert(d->shares, g_strdup(team), table);
    g_ptr_array_unref(active);
    g_free(shares);
    g_free(demand);
}

/* Logs once in each term that this leader knows which operations were admitted
 * before it led, or that they have left the windows. */
static void
log_known_use(Director *d, uint64_t now_us)
{
    uint64_t after_us = now_us - d->led_since_us;
    uint64_t term = consensus_term(d->consensus);
    uint32_t active = 0;
    uint32_t unreported = 0;
    GHashTableIter it;
    void *value;
    EventLine line;

    if (d->rates_known) {
        return;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        gboolean counted = entry_is_active(entry, now_us);
        active += counted;
        unreported += counted && entry->usage_term != term;
    }
    if ((active == 0 || unreported > 0) &&
        after_us <= d->config.rate_window_us) {
        return;
    }
    d->rates_known = TRUE;
    event_begin(&line, d->config.events, now_us, kEventRatesKnown);
    event_number(&line, "term", term);
    event_number(&line, "after_us", after_us);
    event_number(&line, "unreported", unreported);
    event_end(&line);
}

/* Recomputes the entry instances' shares of all teams that some instance has
 * reported demand for. */
void
rates_tick(Director *d, uint64_t now_us)
{
    GHashTableIter entries;
    GHashTableIter teams;
    void *value;
    void *team;
    GHashTable *names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    log_known_use(d, now_us);
    g_hash_table_iter_init(&entries, d->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        g_hash_table_iter_init(&teams, ((EntryState *)value)->demand);
        while (g_hash_table_iter_next(&teams, &team, NULL)) {
            g_hash_table_add(names, g_strdup(team));
        }
    }
    g_hash_table_iter_init(&teams, names);
    while (g_hash_table_iter_next(&teams, &team, NULL)) {
        divide_team_rate(d, now_us, team);
    }
    g_hash_table_destroy(names);
    propose_bounds(d, now_us);
}
