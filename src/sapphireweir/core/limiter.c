#include "core/entry_defs.h"

#include <string.h>
#include <xxhash.h>

/* Limits the request rates of teams across all entry instances.
 *
 * A team's rate and burst are split into shards, one per failure domain,
 * fewer if the burst is small.  Each shard has one owner, chosen by
 * rendezvous hashing, which alone grants the shard's tokens.  An entry
 * instance requests tokens from the shard of its failure domain first,
 * and from the others when that one is empty, so a team can use its whole
 * rate through one instance.
 *
 * A token expires after a short lifetime, which the requesting instance
 * measures from the time of its request.  Shards withhold rate x lifetime
 * from the burst, so that in any time window at most rate x time + burst
 * requests are admitted.  A new owner starts with an empty bucket, and only
 * after the lease of the previous owner has certainly expired. */

enum {
    kMaxTokenLifetimeUs = 100000, /* also the timeout of token requests */
    kMinTokenLifetimeUs = 2000,
    kBurstPerShard = 4, /* a smaller burst is split into fewer shards */
    kTakeoverDelayUs = 4000000,  /* control lease duration plus a margin */
    kUnreachableSkipUs = 300000, /* how long an unreachable shard is skipped */
    kMaxWaitingCalls = 4096,     /* per team */
};

/* What an entry instance knows about a shard's tokens. */
typedef struct {
    uint64_t skip_until_us; /* the shard is empty or unreachable until then */
} ShardHint;

/* One team's calls that wait for tokens at an entry instance, and the
 * pending token request for them. */
typedef struct {
    char *team;
    GQueue waiting;           /* of allocated uint64_t, the ids of the calls */
    TokenBucket local_bucket; /* only with EntryConfig.per_instance_rates */
    uint64_t request_frame_id; /* of the last token request */
    uint64_t request_sent_us;
    uint32_t requested_shard;
    uint32_t requested_tokens;           /* zero: no request is pending */
    ShardHint hints[kCatalogDomainsMax]; /* by shard */
} TeamWait;

/* A shard that this instance owns. */
typedef struct {
    TokenBucket bucket;
    uint64_t usable_from_us; /* previous owner's lease has expired by then */
    gboolean only_owner;     /* there is no previous owner; usable at once */
    uint32_t shard_count;    /* of the Split that the bucket is for */
} Shard;

struct Limiter {
    EntryCore *core;
    LimiterCallback callback;
    void *ctx;
    GHashTable *waits;       /* team -> TeamWait */
    GHashTable *shards;      /* "team/shard" -> Shard owned by this instance */
    uint64_t shards_version; /* of the instance view that shards is for */
};

/* How a team's rate and burst are split into shards. */
typedef struct {
    uint32_t count;                          /* of shards */
    const char *domains[kCatalogDomainsMax]; /* of the owner, by shard */
    TeamParameters parameters;
} Split;

static void
team_wait_free(void *data)
{
    TeamWait *w = data;
    g_queue_clear_full(&w->waiting, g_free);
    g_free(w->team);
    g_free(w);
}

/* Creates the limiter.  callback receives each admission decision, with ctx
 * as its first argument. */
Limiter *
limiter_new(EntryCore *e, LimiterCallback callback, void *ctx)
{
    Limiter *l = g_new0(Limiter, 1);
    l->core = e;
    l->callback = callback;
    l->ctx = ctx;
    l->waits =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_wait_free);
    l->shards = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

/* Frees the limiter. */
void
limiter_free(Limiter *l)
{
    g_hash_table_destroy(l->waits);
    g_hash_table_destroy(l->shards);
    g_free(l);
}

/* Returns the lifetime of a token in microseconds: half the time in which the
 * team's rate fills its burst, limited to kMinTokenLifetimeUs and
 * kMaxTokenLifetimeUs. */
uint64_t
limiter_token_lifetime_us(const TeamParameters *p)
{
    uint64_t half_burst_us =
        (uint64_t)p->burst * kSecondUs / (2 * (uint64_t)p->rate_per_s);
    return MAX(MIN(half_burst_us, kMaxTokenLifetimeUs), kMinTokenLifetimeUs);
}

/* Returns into how many shards a team's rate is split in a fleet of so many
 * failure domains. */
static uint32_t
shard_count(const TeamParameters *p, uint32_t domains)
{
    return CLAMP(p->burst / kBurstPerShard, 1, MAX(domains, 1));
}

/* Returns the burst of one of count shards, in millionths of a token: its part
 * of the burst less the tokens that accrue during a token's lifetime.  A shard
 * grants whole tokens only. */
static uint64_t
shard_burst_micro(const TeamParameters *p, uint32_t count)
{
    uint64_t withheld_micro = limiter_token_lifetime_us(p) * p->rate_per_s;
    uint64_t burst_micro = (uint64_t)p->burst * kMicroTokensPerToken;

    return (burst_micro - MIN(withheld_micro, burst_micro)) / count;
}

/* Returns the least burst with which a team of the given rate is ever granted
 * a token, in a fleet of so many failure domains. */
uint32_t
limiter_least_burst(uint32_t rate_per_s, uint32_t domains)
{
    TeamParameters p = {.rate_per_s = rate_per_s, .burst = 1};

    while (shard_burst_micro(&p, shard_count(&p, domains)) <
           kMicroTokensPerToken) {
        p.burst++;
    }
    return p.burst;
}

/* Computes the split of a team's rate.  Returns FALSE if the team is unknown
 * or no instance is live. */
static gboolean
split_team(EntryCore *e, const char *team, Split *s)
{
    const TeamInfo *t = catalog_team(e->catalog, team);
    const char *domains[kCatalogDomainsMax];
    uint32_t count = catalog_failure_domains(e->catalog, domains);

    if (t == NULL || count == 0) {
        return FALSE;
    }
    s->parameters = t->parameters;
    s->count = shard_count(&t->parameters, count);
    uint32_t first = XXH3_64bits(team, strlen(team)) % count;
    for (uint32_t i = 0; i < s->count; i++) {
        s->domains[i] = domains[(first + i) % count];
    }
    return TRUE;
}

/* Returns the id of the instance that owns a shard, or NULL. */
static const char *
shard_owner(EntryCore *e, const char *team, const Split *s, uint32_t shard)
{
    const InstanceInfo *owner;
    char *resource = g_strdup_printf("limit/%s/%u", team, shard);
    uint32_t found = ownership_rank(catalog_view(e->catalog), resource,
                                    s->domains[shard], 1, &owner);
    g_free(resource);
    return found == 0 ? NULL : owner->id;
}

/* ---- owner of a shard ---- */

/* Computes the rate and burst of one shard, in millionths of a token. */
static void
shard_parameters(const Split *s, uint64_t *rate_micro, uint64_t *burst_micro)
{
    *rate_micro =
        (uint64_t)s->parameters.rate_per_s * kMicroTokensPerToken / s->count;
    *burst_micro = shard_burst_micro(&s->parameters, s->count);
}

/* Drops the shards that this instance no longer owns, if the instance view has
 * changed since the last call. */
static void
shards_drop_if_view_changed(EntryCore *e)
{
    Limiter *l = e->limiter;
    GHashTableIter it;
    void *key;

    if (l->shards_version == catalog_view(e->catalog)->version) {
        return;
    }
    l->shards_version = catalog_view(e->catalog)->version;
    g_hash_table_iter_init(&it, l->shards);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        char *team = g_strndup(key, strcspn(key, "/"));
        uint32_t shard =
            (uint32_t)g_ascii_strtoull(strchr(key, '/') + 1, NULL, 10);
        Split s;
        gboolean keep = split_team(e, team, &s) && shard < s.count;
        keep = keep &&
               g_strcmp0(shard_owner(e, team, &s, shard), e->config.id) == 0;
        g_free(team);
        if (!keep) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Returns an owned shard, creating it if necessary.  A new bucket is empty
 * and isn't used until the lease of the previous owner must have expired.  If
 * there is no previous owner since the team is new, the bucket is full and
 * used at once. */
static Shard *
shard_get(EntryCore *e, uint64_t now_us, const char *team, const Split *s,
          uint32_t shard)
{
    Limiter *l = e->limiter;
    uint64_t rate;
    uint64_t burst;
    char *name = g_strdup_printf("%s/%u", team, shard);
    Shard *found = g_hash_table_lookup(l->shards, name);

    shard_parameters(s, &rate, &burst);
    if (found != NULL && found->shard_count == s->count) {
        g_free(name);
        token_bucket_set(&found->bucket, now_us, rate, burst);
        return found;
    }
    /* After a change of the split the delay starts now, since other
     * instances may still grant tokens by the old split. */
    uint64_t since_us = now_us;
    gboolean only_owner = FALSE;
    if (found == NULL) {
        char *resource = g_strdup_printf("limit/%s", name);
        since_us = catalog_owner_since_us(e->catalog, resource,
                                          s->domains[shard], e->config.id);
        only_owner = catalog_owner_since_creation(
            e->catalog, team, resource, s->domains[shard], e->config.id);
        g_free(resource);
    }
    found = g_new0(Shard, 1);
    found->usable_from_us = since_us + kTakeoverDelayUs;
    found->only_owner = only_owner;
    found->shard_count = s->count;
    token_bucket_init(&found->bucket,
                      only_owner ? now_us : found->usable_from_us, rate,
                      burst);
    if (only_owner) {
        token_bucket_fill(&found->bucket);
    }
    g_hash_table_replace(l->shards, name, found);
    return found;
}

/* Grants tokens of a shard.  The reply's owner is FALSE if this instance
 * isn't the shard's owner or lacks a control lease. */
static Sw__TokenReply
shard_grant(EntryCore *e, uint64_t now_us, const Sw__TokenRequest *r)
{
    Sw__TokenReply reply = SW__TOKEN_REPLY__INIT;
    Split s;

    shards_drop_if_view_changed(e);
    if (!split_team(e, r->team, &s) || r->shard >= s.count ||
        !lease_valid_with_grace(e, now_us, s.parameters.lease_grace_us) ||
        g_strcmp0(shard_owner(e, r->team, &s, r->shard), e->config.id) != 0) {
        return reply;
    }
    reply.owner = TRUE;
    Shard *shard = shard_get(e, now_us, r->team, &s, r->shard);
    if (!shard->only_owner &&
        now_us < shard->usable_from_us + s.parameters.lease_grace_us) {
        reply.retry_after_us =
            shard->usable_from_us + s.parameters.lease_grace_us - now_us;
        return reply;
    }
    reply.granted = token_bucket_take(&shard->bucket, now_us, r->wanted);
    metrics_add(&e->metrics, kMetricTokensGranted, reply.granted);
    if (reply.granted < r->wanted) {
        reply.retry_after_us = token_bucket_wait_us(&shard->bucket, now_us);
    }
    return reply;
}

/* Handles another instance's request for tokens of a shard. */
void
limiter_request(EntryCore *e, uint64_t now_us, const char *from,
                uint64_t frame_id, const Sw__TokenRequest *r)
{
    Sw__TokenReply reply = shard_grant(e, now_us, r);
    entry_send(e, from, frame_id, SW__FRAME__BODY_TOKEN_REPLY, &reply);
}

/* ---- token requests ---- */

/* Returns the TeamWait of a team, creating it if necessary. */
static TeamWait *
team_wait_get(Limiter *l, const char *team)
{
    TeamWait *w = g_hash_table_lookup(l->waits, team);
    if (w == NULL) {
        w = g_new0(TeamWait, 1);
        w->team = g_strdup(team);
        g_queue_init(&w->waiting);
        g_hash_table_insert(l->waits, w->team, w);
    }
    return w;
}

/* Removes the first waiting call and reports the decision on it. */
static void
complete_call(EntryCore *e, uint64_t now_us, TeamWait *w, gboolean admitted,
              uint64_t retry_after_us)
{
    uint64_t *call = g_queue_pop_head(&w->waiting);
    uint64_t id = *call;
    g_free(call);
    e->limiter->callback(e->limiter->ctx, now_us, id, admitted,
                         retry_after_us);
}

/* Returns the shard to request tokens from: one that isn't known to be empty
 * or unreachable, preferably that of this instance's failure domain; -1 if
 * there is none.  The frame id of the last request serves to vary the choice
 * among the other failure domains. */
static int32_t
pick_shard(EntryCore *e, uint64_t now_us, const TeamWait *w, const Split *s)
{
    int32_t other = -1;
    uint64_t turn = w->request_frame_id;

    for (uint32_t i = 0; i < s->count; i++) {
        uint32_t shard = (uint32_t)((turn + i) % s->count);
        if (now_us < w->hints[shard].skip_until_us) {
            continue;
        }
        if (strcmp(s->domains[shard], e->config.failure_domain) == 0) {
            return (int32_t)shard;
        }
        if (other < 0) {
            other = (int32_t)shard;
        }
    }
    return other;
}

/* Returns the time in microseconds until the first shard may have tokens
 * again. */
static uint64_t
earliest_retry_us(const TeamWait *w, const Split *s, uint64_t now_us)
{
    uint64_t earliest_us = UINT64_MAX;
    for (uint32_t i = 0; i < s->count; i++) {
        earliest_us = MIN(earliest_us, w->hints[i].skip_until_us);
    }
    return earliest_us > now_us ? earliest_us - now_us : 0;
}

static void apply_reply(EntryCore *e, uint64_t now_us, TeamWait *w,
                        const Sw__TokenReply *r);

/* Requests tokens for the waiting calls of a team from a shard, unless a
 * request is pending.  Refuses the calls if all shards are known to be empty
 * or unreachable. */
static void
request_tokens(EntryCore *e, uint64_t now_us, TeamWait *w)
{
    Split s;

    while (w->waiting.length > 0 && w->requested_tokens == 0) {
        if (!split_team(e, w->team, &s)) {
            complete_call(e, now_us, w, FALSE, kSecondUs);
            continue;
        }
        int32_t shard = pick_shard(e, now_us, w, &s);
        if (shard < 0) {
            complete_call(e, now_us, w, FALSE,
                          earliest_retry_us(w, &s, now_us));
            continue;
        }
        Sw__TokenRequest r = SW__TOKEN_REQUEST__INIT;
        r.team = w->team;
        r.shard = (uint32_t)shard;
        r.wanted = w->waiting.length;
        w->request_frame_id = entry_next_frame_id(e);
        w->request_sent_us = now_us;
        w->requested_shard = r.shard;
        w->requested_tokens = r.wanted;
        const char *owner = shard_owner(e, w->team, &s, r.shard);
        if (g_strcmp0(owner, e->config.id) == 0) {
            Sw__TokenReply reply = shard_grant(e, now_us, &r);
            apply_reply(e, now_us, w, &reply);
            continue;
        }
        if (owner == NULL || !entry_send(e, owner, w->request_frame_id,
                                         SW__FRAME__BODY_TOKEN_REQUEST, &r)) {
            w->requested_tokens = 0;
            w->hints[shard].skip_until_us = now_us + kUnreachableSkipUs;
        }
    }
}

/* Applies the reply to the pending request: admits as many calls as tokens
 * were granted, unless the tokens have expired. */
static void
apply_reply(EntryCore *e, uint64_t now_us, TeamWait *w,
            const Sw__TokenReply *r)
{
    Split s;
    uint32_t granted = r->granted;
    uint32_t requested = w->requested_tokens;

    w->requested_tokens = 0;
    if (!split_team(e, w->team, &s)) {
        return;
    }
    if (now_us - w->request_sent_us >
        limiter_token_lifetime_us(&s.parameters)) {
        metrics_add(&e->metrics, kMetricTokensExpired, granted);
        granted = 0;
    }
    if (!r->owner) {
        w->hints[w->requested_shard].skip_until_us =
            now_us + kMaxTokenLifetimeUs;
    }
    else if (r->granted < requested) {
        w->hints[w->requested_shard].skip_until_us =
            r->retry_after_us > UINT64_MAX - now_us
                ? UINT64_MAX
                : now_us + r->retry_after_us;
    }
    while (granted > 0 && w->waiting.length > 0) {
        granted--;
        complete_call(e, now_us, w, TRUE, 0);
    }
}

/* Takes a token from this instance's equal part of the team's rate and burst.
 * Returns FALSE if there is none.  Used only with
 * EntryConfig.per_instance_rates. */
static gboolean
take_from_local_bucket(EntryCore *e, uint64_t now_us, TeamWait *w)
{
    const TeamInfo *t = catalog_team(e->catalog, w->team);
    uint64_t instances =
        MAX(g_hash_table_size(catalog_view(e->catalog)->instances), 1);
    if (t == NULL) {
        return FALSE;
    }
    token_bucket_set(
        &w->local_bucket, now_us,
        (uint64_t)t->parameters.rate_per_s * kMicroTokensPerToken / instances,
        (uint64_t)t->parameters.burst * kMicroTokensPerToken / instances);
    return token_bucket_take(&w->local_bucket, now_us, 1) == 1;
}

/* Requests admission of one call of a team.  The limiter's callback receives
 * the decision, possibly within this call. */
void
limiter_admit(EntryCore *e, uint64_t now_us, const char *team, uint64_t call)
{
    Limiter *l = e->limiter;
    TeamWait *w = team_wait_get(l, team);

    if (e->config.per_instance_rates) {
        l->callback(l->ctx, now_us, call, take_from_local_bucket(e, now_us, w),
                    token_bucket_wait_us(&w->local_bucket, now_us));
        return;
    }
    if (w->waiting.length >= kMaxWaitingCalls) {
        l->callback(l->ctx, now_us, call, FALSE, kSecondUs);
        return;
    }
    uint64_t *id = g_new(uint64_t, 1);
    *id = call;
    g_queue_push_tail(&w->waiting, id);
    request_tokens(e, now_us, w);
}

/* Removes a waiting call, whose decision is then not reported. */
void
limiter_cancel(EntryCore *e, uint64_t call)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->limiter->waits);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamWait *w = value;
        for (GList *l = w->waiting.head; l != NULL; l = l->next) {
            if (*(uint64_t *)l->data == call) {
                g_free(l->data);
                g_queue_delete_link(&w->waiting, l);
                return;
            }
        }
    }
}

/* Handles a shard owner's reply.  A reply to another request than the pending
 * one is late; it is dropped, and its tokens are lost. */
void
limiter_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
              const Sw__TokenReply *r)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->limiter->waits);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamWait *w = value;
        if (w->requested_tokens > 0 && w->request_frame_id == frame_id) {
            apply_reply(e, now_us, w, r);
            request_tokens(e, now_us, w);
            return;
        }
    }
    metrics_add(&e->metrics, kMetricTokensExpired, r->granted);
}

/* Repeats token requests that got no reply in time, at another shard. */
void
limiter_tick(EntryCore *e, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    GPtrArray *late = g_ptr_array_new();

    g_hash_table_iter_init(&it, e->limiter->waits);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamWait *w = value;
        if (w->requested_tokens > 0 &&
            now_us - w->request_sent_us > kMaxTokenLifetimeUs) {
            g_ptr_array_add(late, w);
        }
    }
    for (guint i = 0; i < late->len; i++) {
        TeamWait *w = g_ptr_array_index(late, i);
        w->hints[w->requested_shard].skip_until_us =
            now_us + kUnreachableSkipUs;
        w->requested_tokens = 0;
        request_tokens(e, now_us, w);
    }
    g_ptr_array_unref(late);
}
