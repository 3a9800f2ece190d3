#include "gateway/gateway_internal.h"

/* Each team's rate and burst count over all entry instances.  The control
 * leader deals out parts of them by demand; without news an instance falls
 * back to the part that the leader keeps for the silent. */

enum {
    kMicro = 1000000,
    kMicrosPerMilliToken = kMicroTokens / 1000,
    kShareHeldUs = 2500000, /* a grant holds so long without a new one */
    kUnaskedParts = 2,      /* fallback: one part in so many x instances */
};

static uint64_t
scaled(uint64_t milli, uint64_t share_micro)
{
    return (uint64_t)((unsigned __int128)milli * kMicrosPerMilliToken *
                      share_micro / kMicro);
}

static void
rate_apply(TeamRate *r, uint64_t now_us)
{
    uint64_t burst = MAX(scaled(r->burst_milli, r->share_micro),
                         (uint64_t)kMicroTokens);
    token_bucket_set(&r->bucket, now_us,
                     scaled(r->rate_milli, r->share_micro), burst);
}

static uint64_t
fallback_share(const Gateway *g)
{
    uint32_t instances = MAX(g->entry_count, 1);
    return kMicro / ((uint64_t)instances * kUnaskedParts);
}

static TeamRate *
rate_of(Gateway *g, uint64_t now_us, const DocumentTeam *team)
{
    TeamRate *r = g_hash_table_lookup(g->rates, team->name);
    if (r == NULL) {
        r = g_new0(TeamRate, 1);
        r->wanted_since_us = now_us;
        r->share_micro = fallback_share(g);
        g_hash_table_insert(g->rates, g_strdup(team->name), r);
    }
    if (r->rate_milli != team->rate_milli_per_s ||
        r->burst_milli != team->burst_milli) {
        r->rate_milli = team->rate_milli_per_s;
        r->burst_milli = team->burst_milli;
        rate_apply(r, now_us);
    }
    return r;
}

/* Takes one operation from a team's part of its rate.  FALSE: it has used
 * it up; wait_us says when to come back. */
gboolean
team_rates_take(Gateway *g, uint64_t now_us, const DocumentTeam *team,
                uint64_t *wait_us)
{
    TeamRate *r = rate_of(g, now_us, team);

    r->wanted++;
    if (token_bucket_take(&r->bucket, now_us, 1) == 1) {
        return TRUE;
    }
    *wait_us = token_bucket_wait_us(&r->bucket, now_us);
    return FALSE;
}

/* Gives back what was taken for an operation that did not run. */
void
team_rates_return(Gateway *g, const DocumentTeam *team)
{
    TeamRate *r = g_hash_table_lookup(g->rates, team->name);
    if (r != NULL) {
        r->bucket.level_micro =
            MIN(r->bucket.level_micro + kMicroTokens,
                r->bucket.capacity_micro);
    }
}

/* Takes in the parts that the leader dealt out. */
void
team_rates_grant(Gateway *g, uint64_t now_us, const Sw__EntryGrant *m)
{
    for (size_t i = 0; i < m->n_shares; i++) {
        TeamRate *r = g_hash_table_lookup(g->rates, m->shares[i]->team);
        if (r != NULL) {
            r->share_micro = m->shares[i]->share_micro;
            rate_apply(r, now_us);
        }
    }
}

/* Falls back to the part for the silent when no grant has come for long,
 * and keeps buckets of all teams filling. */
void
team_rates_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;
    uint64_t share = fallback_share(g);

    if (g->document != NULL) {
        g_hash_table_iter_init(&it, g->document->teams);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            rate_of(g, now_us, value);
        }
    }
    if (g->lease_until_us + kShareHeldUs > now_us) {
        return;
    }
    g_hash_table_iter_init(&it, g->rates);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        TeamRate *r = value;
        if (r->share_micro > share) {
            r->share_micro = share;
            rate_apply(r, now_us);
        }
    }
}
