#include "gateway/gateway_internal.h"

/* Each team's rate and burst count over all entry instances.  The control
 * leader keeps one bucket for each team; an instance holds a small stock of
 * its tokens, for as long as its own demand lasts, and asks for more before
 * it runs out.  Callers are few and spread unevenly, so fixed parts of a
 * rate would refuse one instance's callers while another's tokens lie idle.
 * While the leader does not answer, an instance runs on the part of the
 * rate that its demand was worth. */

enum {
    kMicro = 1000000,
    kMilli = 1000,
    kMicrosPerMilliToken = kMicroTokensPerToken / kMilli,
    kAnswerUs = 80000,      /* a token request's answer, then fall back */
    kStockForUs = 250000,   /* demand that a request asks for */
    kLowForUs = 80000,      /* demand below which the next request goes */
    kStockKeptUs = 1500000, /* unused tokens are worth nothing after */
    kUnaskedParts = 2, /* unknown share: one part in so many x instances */
    kDemandEveryUs = 500000,
    kDemandWeight = 2,       /* of the old value in the smoothed demand */
    kFallbackStartParts = 4, /* of its burst, as what was used is not known */
    kFallbackAfterUs = 3300000, /* the leader counts it as silent by then */
    kEarlySharePercent = 25,    /* a twentieth of a limit for a third of all */
    kShareCutPercent = 90,      /* what others use meanwhile is not known */
};

static uint64_t
scaled(uint64_t milli, uint64_t share_micro)
{
    return (uint64_t)((unsigned __int128)milli * kMicrosPerMilliToken *
                      share_micro / kMicro);
}

/* Frees a team's rate. */
void
team_rate_free(void *rate)
{
    TeamRate *r = rate;
    g_queue_clear(&r->waiting);
    g_free(r->team);
    g_free(r);
}

static TeamRate *
rate_of(Gateway *g, uint64_t now_us, const DocumentTeam *team)
{
    TeamRate *r = g_hash_table_lookup(g->rates, team->name);
    if (r == NULL) {
        r = g_new0(TeamRate, 1);
        r->team = g_strdup(team->name);
        r->wanted_since_us = now_us;
        r->share_micro = kMicro / (MAX(g->entry_count, 1) * kUnaskedParts);
        g_queue_init(&r->waiting);
        g_hash_table_insert(g->rates, r->team, r);
    }
    r->rate_milli = team->rate_milli_per_s;
    r->burst_milli = team->burst_milli;
    return r;
}

static uint32_t
demand_within(const TeamRate *r, uint64_t span_us)
{
    return (uint32_t)(r->demand_milli * span_us / kMicro / kMilli);
}

static void
request_tokens(Gateway *g, uint64_t now_us, TeamRate *r)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__TokenRequest m = SW__TOKEN_REQUEST__INIT;

    if (r->asked_us != 0 || g->leader == NULL) {
        return;
    }
    r->asked_us = now_us;
    r->request = ++g->next_request;
    m.team = r->team;
    m.wanted = r->waiting.length + 1 + demand_within(r, kStockForUs);
    frame.request_id = r->request;
    frame.body_case = SW__FRAME__BODY_TOKEN_REQUEST;
    frame.token_request = &m;
    g->port.peer_send(g->port.ctx, g->leader, &frame);
}

/* The part of a rate that this instance may use by itself.  Until the leader
 * is sure to know that it does, others may still get the whole: where they
 * take it, only a little is used. */
static uint64_t
fallback_share(const Gateway *g, const TeamRate *r, uint64_t now_us)
{
    gboolean known = now_us - g->granted_us > kFallbackAfterUs;

    if (g->granted_us == 0) {
        /* Nothing was ever granted: all of it is others'. */
        return 0;
    }
    return r->share_micro *
           (known || !r->crowded ? kShareCutPercent : kEarlySharePercent) /
           100;
}

static void
fall_back(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t share = r->share_micro * kShareCutPercent / 100;
    uint64_t burst =
        MAX(scaled(r->burst_milli, share), (uint64_t)kMicroTokensPerToken);

    r->falling_back = TRUE;
    token_bucket_init(&r->fallback, now_us,
                      scaled(r->rate_milli, fallback_share(g, r, now_us)),
                      burst);
    r->fallback.level_micro =
        MAX(burst / kFallbackStartParts, (uint64_t)kMicroTokensPerToken);
}

static RateResult
take_fallback(TeamRate *r, uint64_t now_us, uint64_t *wait_us)
{
    if (token_bucket_take(&r->fallback, now_us, 1) == 1) {
        return kRateTaken;
    }
    *wait_us = token_bucket_wait_us(&r->fallback, now_us);
    return kRateRefused;
}

/* Takes one operation from the session's team's rate.  Refused: wait_us
 * says when to come back. */
RateResult
team_rates_take(Session *s, uint64_t now_us, uint64_t *wait_us)
{
    Gateway *g = s->gateway;
    TeamRate *r = rate_of(g, now_us, s->team);

    r->wanted++;
    if (r->stock > 0) {
        r->stock--;
        if (r->stock <= demand_within(r, kLowForUs)) {
            request_tokens(g, now_us, r);
        }
        return kRateTaken;
    }
    if (r->falling_back) {
        request_tokens(g, now_us, r);
        return take_fallback(r, now_us, wait_us);
    }
    if (now_us < r->dry_until_us) {
        *wait_us = r->dry_until_us - now_us;
        return kRateRefused;
    }
    request_tokens(g, now_us, r);
    if (r->asked_us == 0) {
        fall_back(g, r, now_us);
        return take_fallback(r, now_us, wait_us);
    }
    g_queue_push_tail(&r->waiting, s);
    s->rate = r;
    return kRateWaiting;
}

/* A session does not wait for a token any more. */
void
team_rates_leave(Session *s)
{
    if (s->rate != NULL) {
        g_queue_remove(&s->rate->waiting, s);
        s->rate = NULL;
    }
}

/* Gives back what was taken for an operation that did not run. */
void
team_rates_return(Gateway *g, const DocumentTeam *team)
{
    TeamRate *r = g_hash_table_lookup(g->rates, team->name);
    if (r != NULL && !r->falling_back) {
        r->stock++;
    }
}

static TeamRate *
rate_by_request(Gateway *g, uint64_t request)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        if (r->asked_us != 0 && r->request == request) {
            return r;
        }
    }
    return NULL;
}

static void
serve_waiting(TeamRate *r, uint64_t now_us)
{
    while (r->stock > 0 && r->waiting.length > 0) {
        Session *s = g_queue_pop_head(&r->waiting);
        s->rate = NULL;
        r->stock--;
        session_admitted(s, now_us);
    }
}

static void
refuse_waiting(TeamRate *r, uint64_t now_us, uint64_t wait_us)
{
    while (r->waiting.length > 0) {
        Session *s = g_queue_pop_head(&r->waiting);
        s->rate = NULL;
        session_refuse(s, now_us, kRefusedOverRate, wait_us);
    }
}

/* Takes in the leader's answer to a request for tokens. */
void
team_rates_reply(Gateway *g, uint64_t now_us, uint64_t request,
                 const Sw__TokenReply *m)
{
    TeamRate *r = rate_by_request(g, request);

    if (r == NULL || !m->owner) {
        return;
    }
    r->asked_us = 0;
    r->falling_back = FALSE;
    r->stock += m->granted;
    r->stocked_us = now_us;
    serve_waiting(r, now_us);
    if (r->waiting.length > 0 || m->granted == 0) {
        r->dry_until_us = now_us + m->retry_after_us;
        refuse_waiting(r, now_us, m->retry_after_us);
    }
}

/* Takes in the parts that the leader would deal out by demand. */
void
team_rates_grant(Gateway *g, const Sw__EntryGrant *m)
{
    for (size_t i = 0; i < m->n_shares; i++) {
        TeamRate *r = g_hash_table_lookup(g->rates, m->shares[i]->team);
        if (r != NULL) {
            r->share_micro = m->shares[i]->share_micro;
            r->crowded = m->shares[i]->crowded;
        }
    }
}

/* Goes over to the whole part once that is safe. */
static void
fallback_tick(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t rate = scaled(r->rate_milli, fallback_share(g, r, now_us));

    if (r->falling_back && rate != r->fallback.rate_micro_per_s) {
        token_bucket_set(&r->fallback, now_us, rate,
                         r->fallback.capacity_micro);
    }
}

static void
rate_tick(const Gateway *g, TeamRate *r, uint64_t now_us)
{
    uint64_t wait_us = 0;

    fallback_tick(g, r, now_us);

    if (r->stock > 0 && now_us - r->stocked_us > kStockKeptUs) {
        r->stock = 0;
    }
    if (r->asked_us == 0 || now_us - r->asked_us < kAnswerUs) {
        return;
    }
    r->asked_us = 0;
    if (!r->falling_back) {
        fall_back(g, r, now_us);
    }
    while (r->waiting.length > 0) {
        Session *s = g_queue_pop_head(&r->waiting);
        s->rate = NULL;
        if (take_fallback(r, now_us, &wait_us) == kRateTaken) {
            session_admitted(s, now_us);
        }
        else {
            session_refuse(s, now_us, kRefusedOverRate, wait_us);
        }
    }
}

/* Lets time pass: requests that nobody answers, stocks that grow old. */
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

/* Writes what each team wanted since the last call; returns how many. */
size_t
team_rates_demand(Gateway *g, uint64_t now_us, Sw__TeamDemand *out)
{
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        uint64_t span_us = MAX(now_us - r->wanted_since_us, 1);
        if (span_us < kDemandEveryUs) {
            continue;
        }
        uint64_t wanted = r->wanted * kMilli * kMicro / span_us;
        r->demand_milli =
            (r->demand_milli * kDemandWeight + wanted) / (kDemandWeight + 1);
        sw__team_demand__init(&out[count]);
        out[count].team = r->team;
        out[count++].wanted_milli = wanted;
        r->wanted = 0;
        r->wanted_since_us = now_us;
    }
    return count;
}
