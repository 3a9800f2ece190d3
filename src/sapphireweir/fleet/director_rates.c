#include "fleet/director_internal.h"
#include "policy/rate_stock.h"
#include "policy/rate_window.h"
#include "policy/share.h"

/* The teams' rate limits at the leader: a sliding window for each team, from
 * which entry instances request tokens, and the shares of each limit that
 * they fall back to while they cannot reach the leader. */

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
};

/* Flag of a share in EntryState.shares: the team is near its limit. */
static const uint32_t kShareNearLimit = UINT32_C(1) << 31;

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
 * of one instance: the share that it was granted last if it is out of contact,
 * and one that it gave to others. */
static uint64_t
reserved_share(const Director *d, const EntryState *entry, const char *team)
{
    uint32_t entry_count =
        MAX(g_hash_table_size(d->entries), d->reported_entries);
    uint64_t lent_micro = lent_share(d, entry, team);
    void *share = NULL;

    if (!entry->reserved) {
        return lent_micro;
    }
    if (!g_hash_table_lookup_extended(entry->shares, team, NULL, &share)) {
        return MAX(lent_micro, kShareTotalMicro / MAX(entry_count, 1));
    }
    return MAX(lent_micro, GPOINTER_TO_UINT(share) & ~kShareNearLimit);
}

/* Returns the part of a team's limit that may be used, or may have been used
 * lately, without this leader's tokens: the shares that this leader granted
 * last to the instances with a reservation, and those that others have lent.
 * An instance that this leader has granted no share counts with an equal part,
 * since the shares granted by the former leader are not known. */
static uint64_t
reserved_tokens(Director *d, uint64_t now_us, const char *team, uint64_t limit)
{
    uint64_t reserved_micro = 0;

    refresh_reservations(d, now_us);
    for (guint i = 0; i < d->reservations->len; i++) {
        reserved_micro +=
            reserved_share(d, g_ptr_array_index(d->reservations, i), team);
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
 * reach an instance that does not lead, or that name an unknown team, get no
 * reply, and neither do those that only return tokens. */
void
rates_handle_request(Director *d, uint64_t now_us, const char *from,
                     uint64_t request_id, const Sw__TokenRequest *m)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__TokenReply reply = SW__TOKEN_REPLY__INIT;
    uint64_t delays_us[kRateTokensMax];
    const DocumentTeam *team =
        director_is_leader(d) ? find_team(d, now_us, m->team) : NULL;

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

/* Appends an entry instance's shares to a list, as Sw__TeamShare that the list
 * owns, and records them as the last granted ones.  Shares that were granted
 * already are left out, except every kSharesRefreshUs. */
void
rates_append_shares(const Director *d, uint64_t now_us, EntryState *entry,
                    GPtrArray *list)
{
    gboolean all = now_us - entry->shares_sent_us >= kSharesRefreshUs;
    GHashTableIter it;
    void *team;
    void *table;

    if (now_us - d->led_since_us < kSharesSettleUs) {
        return;
    }
    if (all) {
        entry->shares_sent_us = now_us;
    }
    g_hash_table_iter_init(&it, d->shares);
    while (g_hash_table_iter_next(&it, &team, &table)) {
        uint32_t share = round_share(
            GPOINTER_TO_UINT(g_hash_table_lookup(table, entry->id)));
        gboolean near_limit = is_near_limit(d, now_us, team);
        void *granted =
            GUINT_TO_POINTER(share | (near_limit ? kShareNearLimit : 0));
        if (share == 0 ||
            (!all && g_hash_table_lookup(entry->shares, team) == granted)) {
            continue;
        }
        Sw__TeamShare *each = g_new(Sw__TeamShare, 1);
        sw__team_share__init(each);
        each->team = team;
        each->share_micro = share;
        each->crowded = near_limit;
        g_ptr_array_add(list, each);
        g_hash_table_replace(entry->shares, g_strdup(team), granted);
    }
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
}
