#include "gateway/gateway_internal.h"

/* Limits each team's rate and burst over all entry instances together.  The
 * control leader keeps one sliding window for each team.  An instance requests
 * a token for each operation, and a few more where a team is busy; operations
 * wait for tokens that become valid soon.  policy/rate_stock.c decides how
 * many.  Callers are few and unevenly distributed, so a fixed
 * share for each instance would refuse the callers of one instance while
 * another has unused tokens.  While the leader does not answer, an instance
 * falls back to a local bucket with a share of the rate in proportion to its
 * last demand. */

enum {
    kMicro = 1000000,
    kMilli = 1000,
    kMicrosPerMilliToken = kMicroTokensPerToken / kMilli,
    kRequestTimeoutUs = 80000, /* of a token request, then falls back */
    kMinHintUs = 20000,        /* of a refusal without asking the leader */
    kLowSpanUs = 80000,        /* tokens are borrowed for so much demand */
    /* Of the latency objective, for a token without the leader; the rest is
     * for the work itself. */
    kFallbackWaitPercent = 25,
    kMaxFallbackRetryUs = 5000000, /* the window of the rates */
    kReturnsMax = 8,            /* batches of unused tokens in one message */
    kUnknownShareParts = 2,     /* unknown shares: 1 / (parts * instances) */
    kDemandIntervalUs = 500000, /* minimum, between reports of the demand */
    kDemandWeight = 2, /* of the old value; the new one has weight 1 */
    /* The local bucket starts with this part of the burst, 1 / parts, since it
     * is not known how many tokens other instances have used. */
    kFallbackStartParts = 4,
    /* After this time without a grant, the leader counts this instance as
     * unresponsive. */
    kContactLossNoticedUs = 3300000,
    /* Of the share, until kContactLossNoticedUs.  With unknown shares, a third
     * of all instances then uses about a twentieth of the limit. */
    kEarlySharePercent = 25,
    /* Of the share, otherwise; less than all, since the use by others is not
     * known. */
    kShareCutPercent = 90,
};

/* Returns a share of a rate or burst given in thousandths, in micro tokens. */
static uint64_t
share_micro_tokens(uint64_t milli, uint64_t share_micro)
{
    return (uint64_t)((unsigned __int128)milli * kMicrosPerMilliToken *
                      share_micro / kMicro);
}

/* Frees a TeamRate. */
void
team_rate_free(void *rate)
{
    TeamRate *r = rate;
    g_queue_clear(&r->waiting);
    g_free(r->team);
    g_free(r);
}

/* Returns the TeamRate of a team with its current limits, creating it if
 * needed. */
static TeamRate *
rate_of(Gateway *g, uint64_t now_us, const DocumentTeam *team)
{
    TeamRate *r = g_hash_table_lookup(g->rates, team->name);
    if (r == NULL) {
        r = g_new0(TeamRate, 1);
        r->team = g_strdup(team->name);
        r->demand_since_us = now_us;
        r->share_micro =
            kMicro / (MAX(g->entry_count, 1) * kUnknownShareParts);
        g_queue_init(&r->waiting);
        g_hash_table_insert(g->rates, r->team, r);
    }
    r->rate_milli = team->rate_milli_per_s;
    r->burst_milli = team->burst_milli;
    return r;
}

/* Returns when a waiting session must have its token at the latest. */
static uint64_t
latest_token_us(const Session *s)
{
    return s->rate_since_us + rate_wait_budget_us(s->route->target_latency_us,
                                                  s->route->timeout_us);
}

/* Returns the longest useful delay of a token that a waiting session lacks. */
static uint64_t
max_delay_us(TeamRate *r, uint64_t now_us)
{
    const GList *link = g_queue_peek_nth_link(&r->waiting, r->stock.total);
    uint64_t latest_us = now_us;

    for (; link != NULL; link = link->next) {
        latest_us = MAX(latest_us, latest_token_us(link->data));
    }
    return latest_us - now_us;
}

/* Requests tokens from the leader, unless a request is open or no leader is
 * known, and returns those that were not used in time. */
static void
request_tokens(Gateway *g, uint64_t now_us, TeamRate *r)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__TokenRequest m = SW__TOKEN_REQUEST__INIT;
    Sw__ReturnedTokens returned[kReturnsMax];
    Sw__ReturnedTokens *list[kReturnsMax];

    if (r->requested_us != 0 || g->leader == NULL) {
        return;
    }
    while (m.n_returned < kReturnsMax) {
        RateBatch b = rate_stock_release(&r->stock, now_us);
        if (b.count == 0) {
            break;
        }
        sw__returned_tokens__init(&returned[m.n_returned]);
        returned[m.n_returned].taken_us = b.taken_us;
        returned[m.n_returned].count = b.count;
        list[m.n_returned] = &returned[m.n_returned];
        m.n_returned++;
        g->counters.tokens_returned += b.count;
    }
    m.team = r->team;
    m.returned = list;
    m.wanted = rate_stock_wanted(&r->stock, r->waiting.length);
    m.spare = rate_stock_spare(&r->stock, r->waiting.length, r->demand_milli);
    m.max_delay_us = max_delay_us(r, now_us);
    if (m.wanted + m.spare > 0) {
        r->requested_us = now_us;
        r->request_id = ++g->next_request;
        r->requested = m.wanted;
    }
    else if (m.n_returned == 0) {
        return;
    }
    frame.request_id = m.wanted + m.spare > 0 ? r->request_id : 0;
    frame.body_case = SW__FRAME__BODY_TOKEN_REQUEST;
    frame.token_request = &m;
    g->port.peer_send(g->port.ctx, g->leader, &frame);
}

/* Returns the share of a rate, in millionths, that this instance may use
 * without the leader.  Until the leader must have noticed the lost contact,
 * it may still grant the whole rate to other instances; if the team was near
 * its limit, only a small part of the share is used until then. */
static uint64_t
fallback_share(const Gateway *g, const TeamRate *r, uint64_t now_us)
{
    gboolean leader_noticed =
        now_us - g->granted_report_us > kContactLossNoticedUs;

    if (g->granted_report_us == 0) {
        /* Nothing was ever granted: others may use the whole rate. */
        return 0;
    }
    return r->share_micro *
           (leader_noticed || !r->near_limit ? kShareCutPercent
                                             : kEarlySharePercent) /
           100;
}

/* Starts to use the local bucket of the team. */
static void
fall_back(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t share = r->share_micro * kShareCutPercent / 100;
    uint64_t burst = MAX(share_micro_tokens(r->burst_milli, share),
                         (uint64_t)kMicroTokensPerToken);

    r->falling_back = TRUE;
    token_bucket_init(
        &r->fallback, now_us,
        share_micro_tokens(r->rate_milli, fallback_share(g, r, now_us)),
        burst);
    r->fallback.level_micro =
        MAX(burst / kFallbackStartParts, (uint64_t)kMicroTokensPerToken);
}

/* Takes a token from the shares pooled with other instances or, until they
 * are, from the local bucket; sets wait_us if there is none. */
static RateResult
take_fallback(Gateway *g, TeamRate *r, uint64_t now_us, uint64_t *wait_us)
{
    DocumentTeam team = {.name = r->team,
                         .rate_milli_per_s = r->rate_milli,
                         .burst_milli = r->burst_milli};
    uint64_t expected = r->demand_milli * kLowSpanUs / kMicro / kMilli;
    uint32_t wanted = MAX(r->waiting.length, 1) + (uint32_t)expected;

    switch (rate_pool_take(g->rate_pool, now_us, &team, wanted, wait_us)) {
    case kRatePoolTaken:
        return kRateTaken;
    case kRatePoolEmpty:
        return kRateRefused;
    case kRatePoolInactive:
        break;
    }
    if (token_bucket_take(&r->fallback, now_us, 1) == 1) {
        rate_pool_taken_alone(g->rate_pool, now_us, r->team);
        return kRateTaken;
    }
    *wait_us = token_bucket_wait_us(&r->fallback, now_us);
    return kRateRefused;
}

/* Takes a token without the leader, and counts it as an operation that the
 * leader does not know of. */
static RateResult
admit_locally(Gateway *g, TeamRate *r, uint64_t now_us, uint64_t *wait_us)
{
    RateResult result = take_fallback(g, r, now_us, wait_us);

    if (result == kRateTaken) {
        rate_usage_count(&r->usage, now_us, FALSE);
        g->usage_version++;
    }
    return result;
}

/* Takes a token of the leader for a session.  Returns FALSE if none can be
 * used now. */
static gboolean
take_granted(Session *s, TeamRate *r, uint64_t now_us)
{
    if (!rate_stock_take(&r->stock, now_us, &s->job.token_us)) {
        return FALSE;
    }
    s->job.token_term = s->gateway->rates_term;
    rate_usage_count(&r->usage, now_us, TRUE);
    return TRUE;
}

/* Returns the hint for a refusal without asking the leader, each later than
 * the one before by the time of one operation at the team's rate. */
static uint64_t
next_hint_us(TeamRate *r, uint64_t now_us)
{
    r->retry_at_us = MAX(r->retry_at_us, now_us + kMinHintUs);
    uint64_t hint_us = r->retry_at_us - now_us;
    r->retry_at_us += (uint64_t)kMicro * kMilli / MAX(r->rate_milli, 1);
    return hint_us;
}

/* Queues a session behind those of its route's priority. */
static void
wait_for_token(Session *s, TeamRate *r, uint64_t now_us)
{
    GList *link = r->waiting.tail;

    while (link != NULL &&
           ((Session *)link->data)->route->priority > s->route->priority) {
        link = link->prev;
    }
    g_queue_insert_after(&r->waiting, link, s);
    s->rate = r;
    s->rate_since_us = now_us;
}

/* Returns whether a waiting session may wait for a token that comes after
 * wait_us, for the first in the queue, while others wait ahead of it.  Each of
 * those needs a token, too; the team's whole rate tells the least time until
 * then. */
static gboolean
may_wait(const Session *s, uint64_t now_us, const TeamRate *r, uint32_t ahead,
         uint64_t wait_us)
{
    uint64_t waited_us = now_us - s->rate_since_us;
    uint64_t max_us =
        MIN(s->route->target_latency_us, s->route->timeout_us / 2) *
        kFallbackWaitPercent / 100;
    uint64_t ahead_us =
        ahead * ((uint64_t)kMicro * kMilli / MAX(r->rate_milli, 1));

    return wait_us <= max_us && waited_us + wait_us + ahead_us <= max_us;
}

/* Takes a token while the leader does not answer, for the first of those who
 * wait; the session waits for one if it comes in time. */
static RateResult
admit_fallback(Session *s, TeamRate *r, uint64_t now_us, uint64_t *wait_us)
{
    uint32_t ahead = r->waiting.length;

    wait_for_token(s, r, now_us);
    if (admit_locally(s->gateway, r, now_us, wait_us) == kRateTaken) {
        Session *first = g_queue_pop_head(&r->waiting);
        first->rate = NULL;
        if (first == s) {
            return kRateTaken;
        }
        session_admitted(first, now_us);
        return kRateWaiting;
    }
    if (may_wait(s, now_us, r, ahead, *wait_us)) {
        return kRateWaiting;
    }
    team_rates_cancel_wait(s);
    return kRateRefused;
}

/* Takes one operation from the rate of the session's team.  If the result is
 * kRateRefused, wait_us is the time until a retry may succeed. */
RateResult
team_rates_take(Session *s, uint64_t now_us, uint64_t *wait_us)
{
    Gateway *g = s->gateway;
    TeamRate *r = rate_of(g, now_us, s->team);

    r->demand_count++;
    if (r->waiting.length == 0 && take_granted(s, r, now_us)) {
        if (rate_stock_is_low(&r->stock, r->demand_milli)) {
            request_tokens(g, now_us, r);
        }
        return kRateTaken;
    }
    if (now_us < r->exhausted_until_us && !r->falling_back) {
        *wait_us = next_hint_us(r, now_us);
        return kRateRefused;
    }
    wait_for_token(s, r, now_us);
    request_tokens(g, now_us, r);
    if (!r->falling_back && r->requested_us != 0) {
        return kRateWaiting;
    }
    if (!r->falling_back &&
        rate_stock_wanted(&r->stock, r->waiting.length) == 0) {
        return kRateWaiting;
    }
    team_rates_cancel_wait(s);
    if (!r->falling_back) {
        fall_back(g, r, now_us);
    }
    return admit_fallback(s, r, now_us, wait_us);
}

/* Ends a session's wait for a token, if it waits for one. */
void
team_rates_cancel_wait(Session *s)
{
    if (s->rate != NULL) {
        g_queue_remove(&s->rate->waiting, s);
        s->rate = NULL;
    }
}

/* Returns the token of an operation that did not run. */
void
team_rates_return(Session *s)
{
    Gateway *g = s->gateway;
    TeamRate *r = g_hash_table_lookup(g->rates, s->team->name);

    if (r != NULL && s->job.token_us != 0 &&
        s->job.token_term == g->rates_term) {
        g->counters.tokens_lost +=
            rate_stock_give_back(&r->stock, s->job.token_us);
    }
}

/* Returns the rate with a token request of this id that is open or timed out,
 * or NULL. */
static TeamRate *
rate_by_request(Gateway *g, uint64_t request_id)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        if ((r->requested_us != 0 && r->request_id == request_id) ||
            (r->late_request_id != 0 && r->late_request_id == request_id)) {
            return r;
        }
    }
    return NULL;
}

/* Refuses a waiting session; wait_us is the retry hint. */
static void
refuse_waiting(TeamRate *r, Session *s, uint64_t now_us, uint64_t wait_us)
{
    g_queue_remove(&r->waiting, s);
    s->rate = NULL;
    session_refuse(s, now_us, kRefusedOverRate,
                   MAX(wait_us, (uint64_t)kMinHintUs));
}

/* Admits waiting sessions while there are tokens that may be used now. */
static void
serve_waiting(TeamRate *r, uint64_t now_us)
{
    while (r->waiting.length > 0) {
        Session *s = g_queue_peek_head(&r->waiting);
        if (!take_granted(s, r, now_us)) {
            return;
        }
        g_queue_pop_head(&r->waiting);
        s->rate = NULL;
        session_admitted(s, now_us);
    }
}

/* Refuses the waiting sessions whose tokens become valid too late for them;
 * the next ones get these tokens. */
static void
refuse_late(TeamRate *r, uint64_t now_us)
{
    GList *link = r->waiting.head;
    uint32_t index = 0;

    while (link != NULL && index < r->stock.total) {
        Session *s = link->data;
        uint64_t ready_us = rate_stock_ready_us(&r->stock, index);
        if (ready_us <= MAX(latest_token_us(s), now_us)) {
            link = link->next;
            index++;
            continue;
        }
        /* An answer may end other sessions: begins anew. */
        refuse_waiting(r, s, now_us, ready_us - now_us);
        link = r->waiting.head;
        index = 0;
    }
}

/* Refuses the waiting sessions for which there is no token. */
static void
refuse_uncovered(TeamRate *r, uint64_t now_us)
{
    while (r->waiting.length > r->stock.total) {
        Session *s = g_queue_peek_nth(&r->waiting, r->stock.total);
        refuse_waiting(r, s, now_us, next_hint_us(r, now_us));
    }
}

/* Adds the tokens of a reply to the stock. */
static void
add_granted(Gateway *g, TeamRate *r, uint64_t now_us, const Sw__TokenReply *m)
{
    uint32_t spare = MIN(m->spare, m->granted);
    uint32_t wanted = m->granted - spare;
    uint64_t lost = 0;

    if (m->n_delays_us == 0) {
        lost += rate_stock_add(&r->stock, now_us, 0, m->taken_us, wanted);
    }
    for (size_t i = 0; i < m->n_delays_us && i < wanted; i++) {
        lost += rate_stock_add(&r->stock, now_us, m->delays_us[i],
                               m->taken_us + m->delays_us[i], 1);
        g->counters.tokens_delayed += m->delays_us[i] > 0;
    }
    lost += rate_stock_add(&r->stock, now_us, 0, m->spare_taken_us, spare);
    g->counters.tokens_lost += lost;
}

/* Handles the leader's answer to a token request: admits waiting sessions, and
 * refuses those for which no token is left.  For sessions that began to wait
 * after the request was sent, tokens are requested if it got all that it
 * wanted.  An answer of an instance that is not the leader is ignored. */
void
team_rates_reply(Gateway *g, uint64_t now_us, uint64_t request_id,
                 const Sw__TokenReply *m)
{
    TeamRate *r = rate_by_request(g, request_id);

    if (r == NULL || !m->owner) {
        return;
    }
    add_granted(g, r, now_us, m);
    r->falling_back = FALSE;
    if (request_id == r->late_request_id) {
        r->late_request_id = 0;
        serve_waiting(r, now_us);
        return;
    }
    r->requested_us = 0;
    serve_waiting(r, now_us);
    refuse_late(r, now_us);
    if (m->granted < r->requested) {
        r->exhausted_until_us = now_us + m->exhausted_us;
        r->retry_at_us = now_us + m->retry_after_us;
        refuse_uncovered(r, now_us);
    }
    if (rate_stock_wanted(&r->stock, r->waiting.length) > 0) {
        request_tokens(g, now_us, r);
    }
}

/* Discards the tokens of a former leader, which the new one does not know, and
 * reports the operations that ran without the new one's tokens. */
static void
leader_changed(Gateway *g, uint64_t now_us, uint64_t term)
{
    GHashTableIter it;
    void *value;

    g->rates_term = term;
    g->usage_version++;
    g->usage_acked = 0;
    g->lent_acked = 0;
    g->report_due_us = now_us;
    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        r->stock = (RateStock){0};
        r->requested_us = 0;
        r->late_request_id = 0;
        r->exhausted_until_us = 0;
        rate_usage_leader_changed(&r->usage, now_us);
        if (r->waiting.length > 0) {
            request_tokens(g, now_us, r);
        }
    }
}

/* Returns the report of all operations that were admitted without tokens of
 * the present leader, to be freed with team_rates_usage_free. */
Sw__RateUsage *
team_rates_usage(Gateway *g, uint64_t now_us)
{
    Sw__RateUsage *m = g_new(Sw__RateUsage, 1);
    GHashTableIter it;
    void *value;

    sw__rate_usage__init(m);
    m->term = g->rates_term;
    m->phase_us = rate_usage_phase_us(now_us);
    m->entry_count = g->entry_count;
    m->teams = g_new0(Sw__TeamUsage *, g_hash_table_size(g->rates) + 1);
    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        uint32_t bins[kRateUsageBins];
        size_t count = rate_usage_report(&r->usage, now_us, bins);
        if (count == 0) {
            continue;
        }
        Sw__TeamUsage *each = g_new(Sw__TeamUsage, 1);
        sw__team_usage__init(each);
        each->team = r->team;
        each->n_counts = count;
        each->counts = g_memdup2(bins, count * sizeof(bins[0]));
        m->teams[m->n_teams++] = each;
    }
    return m;
}

/* Frees a report of team_rates_usage, or nothing if it is NULL. */
void
team_rates_usage_free(Sw__RateUsage *m)
{
    if (m == NULL) {
        return;
    }
    for (size_t i = 0; i < m->n_teams; i++) {
        g_free(m->teams[i]->counts);
        g_free(m->teams[i]);
    }
    g_free(m->teams);
    g_free(m);
}

/* Records the shares of rates, by demand, from a grant of the leader, and
 * whether it is a new leader. */
void
team_rates_grant(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    if (m->term != g->rates_term) {
        leader_changed(g, now_us, m->term);
    }
    else {
        g->usage_acked = m->usage_version;
        g->lent_acked = m->lent_version;
    }
    for (size_t i = 0; i < m->n_shares; i++) {
        rate_pool_set_share(g->rate_pool, now_us, m->shares[i]->team,
                            m->shares[i]->share_micro);
        TeamRate *r = g_hash_table_lookup(g->rates, m->shares[i]->team);
        if (r != NULL) {
            r->share_micro = m->shares[i]->share_micro;
            r->near_limit = m->shares[i]->crowded;
        }
    }
}

/* Updates the rate of the local bucket when the usable share has changed. */
static void
fallback_tick(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t rate =
        share_micro_tokens(r->rate_milli, fallback_share(g, r, now_us));

    if (r->falling_back && rate != r->fallback.rate_micro_per_s) {
        token_bucket_set(&r->fallback, now_us, rate,
                         r->fallback.capacity_micro);
    }
}

/* Refuses the sessions without a token of the leader that cannot get another
 * one in time; wait_us is the time until the first of them may get one. */
static void
refuse_late_fallback(TeamRate *r, uint64_t now_us, uint64_t wait_us)
{
    uint32_t index = r->stock.total;

    while (index < r->waiting.length) {
        Session *s = g_queue_peek_nth(&r->waiting, index);
        if (may_wait(s, now_us, r, index - r->stock.total, wait_us)) {
            index++;
            continue;
        }
        refuse_waiting(r, s, now_us,
                       MIN(wait_us, (uint64_t)kMaxFallbackRetryUs));
        /* An answer may end other sessions: begins anew. */
        index = r->stock.total;
    }
}

/* Admits the sessions that wait while the leader does not answer, as far as
 * there are tokens, and refuses those that cannot get one in time. */
static void
serve_fallback(Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t wait_us = 0;

    while (r->waiting.length > r->stock.total) {
        Session *s = g_queue_peek_nth(&r->waiting, r->stock.total);
        if (admit_locally(g, r, now_us, &wait_us) != kRateTaken) {
            refuse_late_fallback(r, now_us, wait_us);
            return;
        }
        g_queue_remove(&r->waiting, s);
        s->rate = NULL;
        session_admitted(s, now_us);
    }
}

/* Handles a token request that timed out: operations that have no token go on
 * without the leader. */
static void
request_timed_out(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    r->requested_us = 0;
    r->late_request_id = r->request_id;
    if (!r->falling_back) {
        fall_back(g, r, now_us);
    }
}

/* Requests tokens for sessions that have none, and returns expired ones. */
static void
tend_stock(Gateway *g, TeamRate *r, uint64_t now_us)
{
    if (rate_stock_has_expired(&r->stock, now_us) ||
        rate_stock_wanted(&r->stock, r->waiting.length) > 0) {
        request_tokens(g, now_us, r);
    }
}

/* Admits sessions whose tokens have become valid, requests missing tokens and
 * returns unused ones, and falls back when a token request times out. */
static void
rate_tick(Gateway *g, TeamRate *r, uint64_t now_us)
{
    fallback_tick(g, r, now_us);
    serve_waiting(r, now_us);
    refuse_late(r, now_us);
    if (r->requested_us != 0 &&
        now_us - r->requested_us >= kRequestTimeoutUs) {
        request_timed_out(g, r, now_us);
    }
    if (r->falling_back) {
        serve_fallback(g, r, now_us);
    }
    if (r->requested_us != 0) {
        return;
    }
    if (r->stock.total > 0 || r->waiting.length > 0) {
        tend_stock(g, r, now_us);
    }
}

/* Handles expired tokens and timeouts of token requests. */
void
team_rates_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        rate_tick(g, value, now_us);
    }
}

/* Writes the demand of each team to out, which must have room for all teams,
 * and starts to count it anew.  Teams reported less than kDemandIntervalUs ago
 * are skipped, and so are those without any demand for a while.  Returns the
 * number of entries written. */
size_t
team_rates_demand(Gateway *g, uint64_t now_us, Sw__TeamDemand *out)
{
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        uint64_t span_us = MAX(now_us - r->demand_since_us, 1);
        if (span_us < kDemandIntervalUs) {
            continue;
        }
        uint64_t wanted = r->demand_count * kMilli * kMicro / span_us;
        r->demand_milli =
            (r->demand_milli * kDemandWeight + wanted) / (kDemandWeight + 1);
        if (wanted == 0 && r->demand_milli == 0) {
            r->demand_since_us = now_us;
            continue;
        }
        sw__team_demand__init(&out[count]);
        out[count].team = r->team;
        out[count++].wanted_milli = wanted;
        r->demand_count = 0;
        r->demand_since_us = now_us;
    }
    return count;
}
