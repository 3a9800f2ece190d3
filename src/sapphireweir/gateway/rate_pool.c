#include "gateway/rate_pool.h"

#include <string.h>

#include "core/hash.h"
#include "core/token_bucket.h"
#include "policy/share_pool.h"

/* Executes the decisions of policy/share_pool.c: finds the entry instances
 * that have lost the leader too, requests their shares for the teams that this
 * instance pools, and tokens for its own callers from the instances that pool
 * other teams.  See docs/design/rates-pool.md. */

enum {
    kProbeAfterUs = 2000000, /* without a grant, until others are probed */
    /* Without a grant, until shares are used.  By then the leader counts this
     * instance as unresponsive and reserves its shares; see kGrantTimeoutUs in
     * the director. */
    kReservedAfterUs = 3300000,
    kReplyTimeoutUs = 80000,
    kAvoidUs = 1000000, /* after a failed request; doubles with each one */
    kMaxAvoidShift = 2,
    kProbeEveryUs = 1500000, /* of a member, if it has sent nothing */
    kMemberFreshUs = 2500000,
    kCollectEveryUs = 1200000, /* loans are prolonged before their end */
    kCollectRetryUs = 200000,  /* minimum between two for new demand */
    kDemandKeptUs = 1500000,   /* a team without demand is not collected */
    kAskedTeamsMax = 64,       /* in one message */
    kTeamNameMaxBytes = 256,
    /* Members of a pool.  Larger systems form several pools, so that links and
     * messages do not grow with the system. */
    kMembersMax = 96,
    /* Messages of about 100 bytes: requests take at most 6 percent of a link
     * of 1.4 Mbit/s, replies 12 percent. */
    kRequestsPerS = 100,
    kRequestBurst = 100, /* one to each member, 60 ms of a link */
    kProbesPerTick = 8,  /* each may open a link, with a handshake */
    kRequestsKept = 10,  /* of the burst, for requests of tokens */
    kRepliesPerS = 200,
    kMinRetryUs = 20000,   /* one tick */
    kMaxRetryUs = 1000000, /* until a pool is asked again */
    kMicrosPerSecond = 1000000,
    kMicrosPerMilliToken = 1000,
};

/* Another entry instance of the same pool. */
typedef struct {
    char *id;
    uint64_t hash;
    uint64_t heard_us; /* last message that shows that it has no leader */
    uint64_t avoid_until_us;
    uint32_t failures;   /* consecutive */
    uint64_t request_id; /* of the open request, zero: none */
    uint64_t requested_us;
    uint64_t next_probe_us;
    uint64_t next_collect_us;
    uint32_t collected; /* teams that the last requests for shares named */
} Member;

/* A team as this instance pools it or uses it. */
typedef struct {
    char *team;
    uint64_t hash;
    gboolean share_known; /* a leader has granted share_micro */
    uint32_t share_micro;
    SharePool pool;
    /* What others got and still counts: the largest sum of shares that it was
     * taken from, and hashes of the takers (uint64_t). */
    uint64_t given_micro;
    GArray *takers;
    uint64_t begun;          /* RatePool.counters.begun when pool began */
    uint64_t taken_alone_us; /* from the local bucket, zero: never */
    uint64_t demand_us;      /* last time that a token was wanted here */
    uint64_t empty_until_us; /* the pooling instance has none before */
    ShareAmount limit;       /* of the whole team */
} PoolTeam;

struct RatePool {
    char *id;
    uint64_t hash;
    GatewayPort port;
    EventLog *events;
    GHashTable *members; /* id -> Member, owned */
    uint64_t entries_hash;
    GHashTable *teams; /* name -> PoolTeam, owned */
    gboolean active;
    uint32_t min_entries; /* with fewer entry instances it is not used */
    uint32_t entry_count; /* of the system */
    uint64_t started_us;  /* first tick, zero: none yet */
    uint64_t contact_us;  /* of the last grant, zero: none */
    gboolean collect_new;
    uint64_t collected_new_us;
    uint64_t next_request;
    uint64_t lent_version; /* changes with what was given of the own shares */
    uint32_t probes;       /* sent in this tick */
    TokenBucket requests;
    TokenBucket replies;
    RatePoolCounters counters;
};

static void
member_free(void *data)
{
    Member *m = data;
    g_free(m->id);
    g_free(m);
}

static void
pool_team_free(void *data)
{
    PoolTeam *t = data;
    share_pool_clear(&t->pool);
    g_array_unref(t->takers);
    g_free(t->team);
    g_free(t);
}

/* Returns the pool of the instance with this id, without members.  Its request
 * numbers begin with the incarnation, so that a reply to the former one
 * answers none of them. */
RatePool *
rate_pool_new(const char *id, uint64_t incarnation, const GatewayPort *port,
              EventLog *events)
{
    RatePool *p = g_new0(RatePool, 1);

    p->id = g_strdup(id);
    p->hash = hash_text(id, 0);
    p->next_request = incarnation;
    p->port = *port;
    p->events = events;
    p->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
    p->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_team_free);
    token_bucket_init(&p->requests, 0,
                      (uint64_t)kRequestsPerS * kMicroTokensPerToken,
                      (uint64_t)kRequestBurst * kMicroTokensPerToken);
    token_bucket_init(&p->replies, 0,
                      (uint64_t)kRepliesPerS * kMicroTokensPerToken,
                      (uint64_t)kRepliesPerS * kMicroTokensPerToken);
    return p;
}

/* Sets how many entry instances the system must have for the pool to be used;
 * initially zero. */
void
rate_pool_set_min_entries(RatePool *p, uint32_t min_entries)
{
    p->min_entries = min_entries;
}

/* Frees the pool. */
void
rate_pool_free(RatePool *p)
{
    g_hash_table_destroy(p->members);
    g_hash_table_destroy(p->teams);
    g_free(p->id);
    g_free(p);
}

/* Returns the number of the present state of what others got of this
 * instance's shares, zero if they got nothing. */
uint64_t
rate_pool_lent_version(const RatePool *p)
{
    return p->lent_version;
}

/* Appends the shares of which others got something whose use may still count,
 * as Sw__LentShare that the list owns; names and takers stay the pool's. */
void
rate_pool_append_lent(const RatePool *p, uint64_t now_us, GPtrArray *list)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, p->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const PoolTeam *t = value;
        uint64_t left_us = share_pool_counted_us(&t->pool, now_us);
        if (left_us == 0 || t->given_micro == 0) {
            continue;
        }
        Sw__LentShare *each = g_new(Sw__LentShare, 1);
        sw__lent_share__init(each);
        each->team = t->team;
        each->share_micro =
            (uint32_t)MIN(t->given_micro, (uint64_t)kMicrosPerSecond);
        each->n_takers = t->takers->len;
        each->takers = (uint64_t *)(void *)t->takers->data;
        each->left_us = left_us;
        g_ptr_array_add(list, each);
    }
}

/* Returns the counters since the start, owned by the pool. */
const RatePoolCounters *
rate_pool_counters(const RatePool *p)
{
    return &p->counters;
}

/* Replaces the members by the entry instances of the list that fall into the
 * same pool. */
void
rate_pool_set_entries(RatePool *p, const EntryList *entries)
{
    if (entries == NULL || entries->hash == p->entries_hash) {
        return;
    }
    uint64_t pools = entries->peers->len / kMembersMax + 1;
    p->entries_hash = entries->hash;
    p->entry_count = entries->peers->len;
    g_hash_table_remove_all(p->members);
    for (guint i = 0; i < entries->peers->len; i++) {
        const EntryPeer *e = g_ptr_array_index(entries->peers, i);
        uint64_t hash = hash_text(e->id, 0);
        if (strcmp(e->id, p->id) == 0 || hash % pools != p->hash % pools) {
            continue;
        }
        Member *m = g_new0(Member, 1);
        m->id = g_strdup(e->id);
        m->hash = hash;
        g_hash_table_insert(p->members, m->id, m);
    }
}

/* Returns the state of a team, creating it if needed. */
static PoolTeam *
pool_team(RatePool *p, uint64_t now_us, const char *name)
{
    PoolTeam *t = g_hash_table_lookup(p->teams, name);

    if (t == NULL) {
        t = g_new0(PoolTeam, 1);
        t->team = g_strdup(name);
        t->hash = hash_text(name, 0);
        share_pool_init(&t->pool, now_us);
        t->takers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_hash_table_insert(p->teams, t->team, t);
    }
    return t;
}

/* Records the share of a team's rate that the leader granted, in
 * millionths. */
void
rate_pool_set_share(RatePool *p, uint64_t now_us, const char *team,
                    uint32_t share_micro)
{
    PoolTeam *t = pool_team(p, now_us, team);
    t->share_known = TRUE;
    t->share_micro = share_micro;
}

/* Returns a part, in millionths, of a rate or burst in thousandths; in micro
 * tokens. */
static uint64_t
part_of(uint64_t milli, uint64_t part_micro)
{
    return (uint64_t)((unsigned __int128)milli * kMicrosPerMilliToken *
                      part_micro / kMicrosPerSecond);
}

/* Brings the own share up to date with the team's settings, and begins the use
 * of its pool if this instance has lost the leader anew. */
static void
pool_team_prepare(RatePool *p, uint64_t now_us, PoolTeam *t,
                  const DocumentTeam *team)
{
    uint64_t share =
        t->share_known ? (uint64_t)t->share_micro * kShareCutPercent / 100 : 0;
    ShareAmount own = {part_of(team->rate_milli_per_s, share),
                       part_of(team->burst_milli, share)};

    t->limit = (ShareAmount){part_of(team->rate_milli_per_s, kMicrosPerSecond),
                             part_of(team->burst_milli, kMicrosPerSecond)};
    share_pool_set_own(&t->pool, now_us, &own);
    if (t->begun != p->counters.begun) {
        t->begun = p->counters.begun;
        share_pool_begin(&t->pool, now_us,
                         t->taken_alone_us != 0 &&
                             t->taken_alone_us >= p->contact_us);
    }
}

/* ---- members ---- */

/* Tells whether a member has lost the leader too and answers. */
static gboolean
is_usable(const Member *m, uint64_t now_us)
{
    return m->heard_us != 0 && now_us - m->heard_us < kMemberFreshUs &&
           now_us >= m->avoid_until_us;
}

/* Returns the number of members that can be used now. */
uint32_t
rate_pool_members(const RatePool *p, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += is_usable(value, now_us);
    }
    return count;
}

/* Returns the member that pools a team's shares; NULL for this instance. */
static Member *
pooling_member(const RatePool *p, uint64_t now_us, const PoolTeam *t)
{
    uint64_t best_score = share_pool_score(t->hash, p->hash);
    Member *best = NULL;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Member *m = value;
        uint64_t score = share_pool_score(t->hash, m->hash);
        if (is_usable(m, now_us) && score > best_score) {
            best = m;
            best_score = score;
        }
    }
    return best;
}

/* Records that a request to a member failed. */
static void
member_failed(Member *m, uint64_t now_us)
{
    m->request_id = 0;
    m->avoid_until_us =
        now_us + ((uint64_t)kAvoidUs << MIN(m->failures, kMaxAvoidShift));
    m->failures++;
}

/* ---- requests ---- */

/* Sends a request to a member without an open one, and opens a link to it if
 * there is none.  Returns FALSE if too many have been sent. */
static gboolean
send_request(RatePool *p, uint64_t now_us, Member *m,
             Sw__RateShareRequest *request)
{
    Sw__Frame frame = SW__FRAME__INIT;

    if (token_bucket_take(&p->requests, now_us, 1) == 0) {
        return FALSE;
    }
    if (!p->port.peer_ready(p->port.ctx, m->id)) {
        p->port.add_peer(p->port.ctx, m->id);
    }
    m->request_id = ++p->next_request;
    m->requested_us = now_us;
    m->next_probe_us = now_us + kProbeEveryUs;
    p->counters.requests++;
    frame.request_id = m->request_id;
    frame.body_case = SW__FRAME__BODY_RATE_SHARE_REQUEST;
    frame.rate_share_request = request;
    p->port.peer_send(p->port.ctx, m->id, &frame);
    return TRUE;
}

/* Requests tokens of a team from the member that pools it. */
static void
request_tokens(RatePool *p, uint64_t now_us, Member *m, PoolTeam *t,
               uint32_t wanted)
{
    Sw__RateShareRequest request = SW__RATE_SHARE_REQUEST__INIT;
    Sw__RateShareAsk ask = SW__RATE_SHARE_ASK__INIT;
    Sw__RateShareAsk *asks[] = {&ask};

    ask.team = t->team;
    ask.tokens = wanted;
    request.n_asks = 1;
    request.asks = asks;
    send_request(p, now_us, m, &request);
}

/* Returns until when this instance's share of a team may be lent, now_us if it
 * is not; it must not be used here as well.  An instance that has just started
 * does not know what its former incarnation lent. */
static uint64_t
may_be_lent_until(const RatePool *p, uint64_t now_us, PoolTeam *t)
{
    uint64_t former_us = p->started_us + kShareLoanUs + kShareLoanMarginUs;

    if (share_pool_is_lent(&t->pool, now_us)) {
        return t->pool.lent_until_us;
    }
    return g_hash_table_size(p->members) == 0 ? now_us
                                              : MAX(now_us, former_us);
}

/* Takes a token of a team for an operation of this instance.  If there is none
 * now, wait_us is the time after which to try again; wanted is the number of
 * operations that wait, including this one. */
RatePoolResult
rate_pool_take(RatePool *p, uint64_t now_us, const DocumentTeam *team,
               uint32_t wanted, uint64_t *wait_us)
{
    PoolTeam *t = pool_team(p, now_us, team->name);

    if (!p->active) {
        uint64_t lent_until_us = may_be_lent_until(p, now_us, t);
        *wait_us = lent_until_us - now_us;
        return lent_until_us > now_us ? kRatePoolEmpty : kRatePoolInactive;
    }
    gboolean alone = rate_pool_members(p, now_us) == 0;
    pool_team_prepare(p, now_us, t, team);
    if (alone && !t->share_known) {
        return kRatePoolInactive;
    }
    p->collect_new |= now_us - t->demand_us > kDemandKeptUs;
    t->demand_us = now_us;
    if (share_pool_take(&t->pool, now_us, alone)) {
        p->counters.taken++;
        return kRatePoolTaken;
    }
    Member *m = pooling_member(p, now_us, t);
    if (m == NULL) {
        *wait_us = share_pool_wait_us(&t->pool, now_us, alone);
        if (!alone && p->collect_new) {
            *wait_us = MIN(*wait_us, (uint64_t)kReplyTimeoutUs);
        }
        return kRatePoolEmpty;
    }
    if (now_us < t->empty_until_us) {
        *wait_us = t->empty_until_us - now_us;
        return kRatePoolEmpty;
    }
    if (m->request_id == 0) {
        request_tokens(p, now_us, m, t, wanted);
    }
    *wait_us = kReplyTimeoutUs;
    return kRatePoolEmpty;
}

/* Records that the local bucket of a team gave a token, before its pool was
 * used. */
void
rate_pool_taken_alone(RatePool *p, uint64_t now_us, const char *team)
{
    pool_team(p, now_us, team)->taken_alone_us = now_us;
}

/* Tells whether requests may be sent that are less urgent than those of
 * tokens for callers. */
static gboolean
has_spare_requests(RatePool *p, uint64_t now_us)
{
    token_bucket_set(&p->requests, now_us, p->requests.rate_micro_per_s,
                     p->requests.capacity_micro);
    return p->requests.level_micro >
           (uint64_t)kRequestsKept * kMicroTokensPerToken;
}

/* Requests the shares of all teams with demand that this instance pools from
 * one member.  Teams that do not fit into one request follow in the next, once
 * this one is answered.  A request without teams only finds out whether the
 * member can be used. */
static void
collect_from(RatePool *p, uint64_t now_us, Member *m, gboolean usable)
{
    Sw__RateShareRequest request = SW__RATE_SHARE_REQUEST__INIT;
    Sw__RateShareAsk asks[kAskedTeamsMax];
    Sw__RateShareAsk *list[kAskedTeamsMax];
    GHashTableIter it;
    void *value;
    uint32_t pooled = 0;

    g_hash_table_iter_init(&it, p->teams);
    while (usable && request.n_asks < kAskedTeamsMax &&
           g_hash_table_iter_next(&it, NULL, &value)) {
        PoolTeam *t = value;
        if (t->demand_us == 0 || now_us - t->demand_us > kDemandKeptUs ||
            t->begun != p->counters.begun ||
            pooling_member(p, now_us, t) != NULL || pooled++ < m->collected) {
            continue;
        }
        Sw__RateShareAsk *ask = &asks[request.n_asks];
        sw__rate_share_ask__init(ask);
        ask->team = t->team;
        ask->lend = TRUE;
        list[request.n_asks++] = ask;
    }
    request.asks = list;
    if (request.n_asks == 0 && m->collected > 0) {
        m->collected = 0;
        m->next_collect_us = now_us + kCollectEveryUs;
        return;
    }
    if (request.n_asks == 0) {
        if (now_us < m->next_probe_us || p->probes >= kProbesPerTick) {
            return;
        }
        p->probes++;
    }
    if (!send_request(p, now_us, m, &request)) {
        return;
    }
    gboolean more = request.n_asks == kAskedTeamsMax;
    m->collected = more ? m->collected + kAskedTeamsMax : 0;
    m->next_collect_us = more ? now_us : now_us + kCollectEveryUs;
}

/* ---- messages of other instances ---- */

/* Returns the sum of the shares that a team's pool holds, in millionths and
 * rounded up: all of them may be in the tokens that it grants. */
static uint64_t
held_share(const PoolTeam *t)
{
    uint64_t whole = t->limit.rate_micro_per_s * kShareCutPercent / 100;
    uint64_t held = share_pool_held_micro_per_s(&t->pool);

    return whole == 0 ? kMicrosPerSecond
                      : MAX((uint64_t)((unsigned __int128)held *
                                       kMicrosPerSecond / whole) +
                                1,
                            t->share_micro);
}

/* Records that a member gets the own share of a team, or tokens, for the
 * report to the leader. */
static void
share_given(RatePool *p, uint64_t now_us, PoolTeam *t, const Member *to,
            uint64_t share_micro)
{
    if (share_pool_counted_us(&t->pool, now_us) == 0) {
        t->given_micro = 0;
        g_array_set_size(t->takers, 0);
    }
    t->given_micro = MAX(t->given_micro, share_micro);
    p->lent_version++;
    for (guint i = 0; i < t->takers->len; i++) {
        if (g_array_index(t->takers, uint64_t, i) == to->hash) {
            return;
        }
    }
    g_array_append_val(t->takers, to->hash);
}

/* Fills in the offer for one team that a member asks for. */
static void
offer_fill(RatePool *p, uint64_t now_us, const Member *from,
           const Sw__RateShareAsk *ask, const DocumentTeam *team,
           Sw__RateShareOffer *out)
{
    PoolTeam *t = pool_team(p, now_us, team->name);
    ShareOffer offer;

    sw__rate_share_offer__init(out);
    out->team = ask->team;
    pool_team_prepare(p, now_us, t, team);
    if (ask->lend) {
        gboolean prolonged = share_pool_is_lent(&t->pool, now_us);
        share_given(p, now_us, t, from, t->share_micro);
        if (share_pool_lend(&t->pool, now_us, from->hash, &offer)) {
            p->counters.shares_lent += !prolonged;
            out->rate_micro = offer.amount.rate_micro_per_s;
            out->capacity_micro = offer.amount.capacity_micro;
            out->level_micro = offer.level_micro;
        }
    }
    if (ask->tokens == 0) {
        return;
    }
    p->collect_new |= now_us - t->demand_us > kDemandKeptUs;
    t->demand_us = now_us;
    share_given(p, now_us, t, from, held_share(t));
    out->tokens = share_pool_grant(&t->pool, now_us, ask->tokens);
    p->counters.tokens_granted += out->tokens;
    if (out->tokens < ask->tokens) {
        uint64_t wait_us = p->collect_new
                               ? kReplyTimeoutUs
                               : share_pool_promise_us(&t->pool, now_us);
        out->retry_after_us =
            CLAMP(wait_us, (uint64_t)kMinRetryUs, (uint64_t)kMaxRetryUs);
    }
}

/* Records that a member has lost the leader too. */
static void
member_heard(Member *m, uint64_t now_us)
{
    if (!is_usable(m, now_us)) {
        m->next_collect_us = now_us;
    }
    m->heard_us = now_us;
    m->avoid_until_us = 0;
    m->failures = 0;
    m->next_probe_us = MAX(m->next_probe_us, now_us + kProbeEveryUs);
}

/* Handles a request of another instance.  Teams that the configuration does
 * not have are left out of the reply; a request over the limit of replies is
 * dropped, and counts as failed at its sender. */
void
rate_pool_request(RatePool *p, uint64_t now_us, const char *from,
                  uint64_t request_id, const Sw__RateShareRequest *m,
                  const Document *document)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RateShareReply reply = SW__RATE_SHARE_REPLY__INIT;
    Sw__RateShareOffer offers[kAskedTeamsMax];
    Sw__RateShareOffer *list[kAskedTeamsMax];
    Member *member = g_hash_table_lookup(p->members, from);

    if (token_bucket_take(&p->replies, now_us, 1) == 0) {
        p->counters.dropped++;
        return;
    }
    if (member == NULL || m->n_asks > kAskedTeamsMax) {
        p->counters.ignored++;
        return;
    }
    reply.without_leader =
        p->contact_us != 0 && now_us - p->contact_us > kProbeAfterUs;
    if (reply.without_leader) {
        member_heard(member, now_us);
    }
    for (size_t i = 0; i < m->n_asks && p->active && document != NULL; i++) {
        const DocumentTeam *team =
            g_hash_table_lookup(document->teams, m->asks[i]->team);
        if (team == NULL) {
            p->counters.ignored++;
            continue;
        }
        list[reply.n_offers] = &offers[reply.n_offers];
        offer_fill(p, now_us, member, m->asks[i], team,
                   &offers[reply.n_offers]);
        reply.n_offers++;
    }
    reply.offers = list;
    frame.request_id = request_id;
    frame.body_case = SW__FRAME__BODY_RATE_SHARE_REPLY;
    frame.rate_share_reply = &reply;
    p->port.peer_send(p->port.ctx, from, &frame);
}

/* Applies one offer of a member.  A share beyond the team's limit is not
 * accepted. */
static void
offer_apply(RatePool *p, uint64_t now_us, const Member *from,
            const Sw__RateShareOffer *o)
{
    PoolTeam *t = g_hash_table_lookup(p->teams, o->team);
    ShareOffer offer = {{o->rate_micro, o->capacity_micro}, o->level_micro};

    if (t == NULL || t->begun != p->counters.begun ||
        offer.amount.rate_micro_per_s > t->limit.rate_micro_per_s ||
        offer.amount.capacity_micro > t->limit.capacity_micro ||
        (uint64_t)o->tokens * kMicroTokensPerToken >
            MAX(t->limit.capacity_micro, (uint64_t)kMicroTokensPerToken)) {
        p->counters.ignored++;
        return;
    }
    if (o->rate_micro > 0 && !share_pool_accept(&t->pool, now_us, from->hash,
                                                &offer, from->requested_us)) {
        p->counters.ignored++;
    }
    if (o->tokens > 0) {
        share_pool_receive(&t->pool, now_us, o->tokens, from->requested_us);
        p->counters.tokens_received += o->tokens;
    }
    if (o->retry_after_us > 0) {
        t->empty_until_us =
            now_us + MIN(o->retry_after_us, (uint64_t)kMaxRetryUs);
    }
}

/* Handles a member's reply.  One that comes after the time-out or a second
 * time answers no open request and is ignored. */
void
rate_pool_reply(RatePool *p, uint64_t now_us, const char *from,
                uint64_t request_id, const Sw__RateShareReply *m)
{
    Member *member = g_hash_table_lookup(p->members, from);

    if (member == NULL || member->request_id == 0 ||
        member->request_id != request_id ||
        now_us - member->requested_us > kReplyTimeoutUs) {
        p->counters.ignored++;
        return;
    }
    if (!m->without_leader) {
        member_failed(member, now_us);
        return;
    }
    member->request_id = 0;
    member_heard(member, now_us);
    for (size_t i = 0; i < m->n_offers && p->active; i++) {
        offer_apply(p, now_us, member, m->offers[i]);
    }
}

/* ---- time ---- */

/* Begins or ends the use of the pool. */
static void
set_active(RatePool *p, uint64_t now_us, gboolean active)
{
    GHashTableIter it;
    void *value;
    EventLine line;

    if (active == p->active) {
        return;
    }
    p->active = active;
    p->counters.begun += active;
    event_begin(&line, p->events, now_us,
                active ? kEventRatePoolBegun : kEventRatePoolEnded);
    event_number(&line, "members", rate_pool_members(p, now_us));
    event_number(&line, "contact_ago_us", now_us - p->contact_us);
    event_end(&line);
    if (active) {
        return;
    }
    g_hash_table_iter_init(&it, p->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        PoolTeam *t = value;
        share_pool_end(&t->pool, now_us);
        t->empty_until_us = 0;
    }
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((Member *)value)->request_id = 0;
        ((Member *)value)->heard_us = 0;
    }
}

/* Handles the timeout of a member's request, and sends it the next one when it
 * is due. */
static void
member_tick(RatePool *p, uint64_t now_us, Member *m)
{
    if (m->request_id != 0 && now_us - m->requested_us > kReplyTimeoutUs) {
        p->counters.timeouts++;
        member_failed(m, now_us);
    }
    if (m->request_id != 0 || now_us < m->avoid_until_us) {
        return;
    }
    gboolean usable = is_usable(m, now_us);
    gboolean due = (usable && p->active && now_us >= m->next_collect_us) ||
                   now_us >= m->next_probe_us;
    if (due && has_spare_requests(p, now_us)) {
        collect_from(p, now_us, m, usable && p->active);
    }
}

/* Sets when this instance sent the report that the leader granted last, zero
 * if none was granted.  Must be called with each grant, since from then on
 * nothing may be lent. */
void
rate_pool_set_contact(RatePool *p, uint64_t now_us, uint64_t contact_us)
{
    p->contact_us = contact_us;
    set_active(p, now_us,
               p->entry_count >= p->min_entries && contact_us != 0 &&
                   now_us - contact_us > kReservedAfterUs);
}

/* Sends due requests and handles timeouts; contact_us as in
 * rate_pool_set_contact.  Must be called every few tens of milliseconds. */
void
rate_pool_tick(RatePool *p, uint64_t now_us, uint64_t contact_us)
{
    GHashTableIter it;
    void *value;

    if (p->started_us == 0) {
        p->started_us = now_us;
    }
    rate_pool_set_contact(p, now_us, contact_us);
    if (contact_us == 0 || now_us - contact_us <= kProbeAfterUs) {
        return;
    }
    gboolean collect_new =
        p->collect_new && now_us - p->collected_new_us > kCollectRetryUs;
    if (collect_new) {
        p->collect_new = FALSE;
        p->collected_new_us = now_us;
    }
    p->probes = 0;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Member *m = value;
        if (collect_new) {
            m->next_collect_us = now_us;
            m->collected = 0;
        }
        member_tick(p, now_us, m);
    }
}
