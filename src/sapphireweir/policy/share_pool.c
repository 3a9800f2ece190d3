#include "policy/share_pool.h"

/* Shares of a team's rate that are pooled by entry instances without a leader.
 * Addresses a partition that lasts for seconds while the team's callers are
 * unevenly distributed: most of the shares are at instances without callers of
 * the team, and a single share is less than one token in several seconds.
 *
 * Each share has one holder at any time: its owner, or the instance that it
 * was lent to.  A loan ends at the borrower kShareLoanUs after the borrower
 * sent its request, and at the lender kShareLoanUs and a margin after it
 * granted the request, which is later.  Only the holder accrues the share's
 * tokens, up to the share's capacity, and the level moves with the share.
 * Thus all holders together never have more tokens than the shares allow;
 * docs/design/rates-pool.md has the argument in full. */

enum {
    kMicrosPerSecond = 1000000,
    kPercent = 100,
    /* Operations within a window of the rates took their tokens within this
     * time. */
    kWindowUs = 5000000 + kShareTokenLifeUs,
};

/* Initializes the pool of a team without a share. */
void
share_pool_init(SharePool *p, uint64_t now_us)
{
    *p = (SharePool){
        .updated_us = now_us,
        .loans = g_array_new(FALSE, FALSE, sizeof(ShareLoan)),
    };
}

/* Frees what the pool holds. */
void
share_pool_clear(SharePool *p)
{
    g_array_unref(p->loans);
    p->loans = NULL;
}

/* Returns how many micro tokens one token exceeds a capacity by. */
static uint64_t
missing_capacity(uint64_t capacity_micro)
{
    return capacity_micro >= kShareTokenMicro
               ? 0
               : kShareTokenMicro - capacity_micro;
}

/* Returns the sum of the shares held now.  The capacity of a pool with loans
 * is at least one token, or small teams would never get one; the rate is lower
 * by as much as this adds within a window. */
static ShareAmount
held(const SharePool *p)
{
    ShareAmount sum = {0, 0};

    if (p->lent_until_us == 0) {
        sum = p->own;
    }
    for (guint i = 0; i < p->loans->len; i++) {
        const ShareLoan *l = &g_array_index(p->loans, ShareLoan, i);
        sum.rate_micro_per_s += l->amount.rate_micro_per_s;
        sum.capacity_micro += l->amount.capacity_micro;
    }
    uint64_t missing = missing_capacity(sum.capacity_micro);
    if (p->loans->len > 0 && missing > 0) {
        uint64_t less = missing * kMicrosPerSecond / kWindowUs + 1;
        sum.capacity_micro = kShareTokenMicro;
        sum.rate_micro_per_s -= MIN(less, sum.rate_micro_per_s);
    }
    return sum;
}

/* Limits the level to the capacity of the held shares. */
static void
clip_level(SharePool *p)
{
    int64_t capacity = (int64_t)held(p).capacity_micro;

    if (p->level_micro >= capacity) {
        p->level_micro = capacity;
        p->remainder = 0;
    }
}

/* Adds the tokens that the held shares accrue until a time, within which no
 * loan begins or ends. */
static void
accrue(SharePool *p, uint64_t until_us)
{
    if (until_us <= p->updated_us) {
        return;
    }
    unsigned __int128 accrued = (unsigned __int128)(until_us - p->updated_us) *
                                    held(p).rate_micro_per_s +
                                p->remainder;
    p->updated_us = until_us;
    p->remainder = (uint64_t)(accrued % kMicrosPerSecond);
    p->level_micro += (int64_t)MIN(accrued / kMicrosPerSecond,
                                   (unsigned __int128)(INT64_MAX / 4));
    clip_level(p);
}

/* Returns the index of the loan that ends first, or -1 if none ends by
 * until_us. */
static int
first_ending(const SharePool *p, uint64_t until_us)
{
    int first = -1;

    for (guint i = 0; i < p->loans->len; i++) {
        uint64_t ends = g_array_index(p->loans, ShareLoan, i).until_us;
        if (ends <= until_us) {
            until_us = ends;
            first = (int)i;
        }
    }
    return first;
}

/* Brings the pool up to the present.  Loans that have ended meanwhile end in
 * their order, so that an instance which was suspended does not accrue them
 * beyond their end. */
static void
advance(SharePool *p, uint64_t now_us)
{
    for (;;) {
        int ending = first_ending(p, now_us);
        uint64_t at_us =
            ending < 0 ? now_us
                       : g_array_index(p->loans, ShareLoan, ending).until_us;
        if (p->lent_until_us != 0 && p->lent_until_us <= at_us) {
            accrue(p, p->lent_until_us);
            p->lent_until_us = 0;
            continue;
        }
        accrue(p, at_us);
        if (ending < 0) {
            return;
        }
        g_array_remove_index_fast(p->loans, (guint)ending);
        clip_level(p);
    }
}

/* Begins the use of the pool after the leader was lost: it holds no tokens,
 * since the leader may have granted all of the last window.  An instance that
 * served the team alone, with a token although its share's capacity is less,
 * owes the difference. */
void
share_pool_begin(SharePool *p, uint64_t now_us, gboolean used_alone)
{
    int64_t owed =
        used_alone ? (int64_t)missing_capacity(p->own.capacity_micro) : 0;

    advance(p, now_us);
    p->level_micro = MIN(p->level_micro, -owed);
}

/* Ends the use of loans and tokens of others as the leader grants again.  The
 * own share stays lent until its time. */
void
share_pool_end(SharePool *p, uint64_t now_us)
{
    advance(p, now_us);
    g_array_set_size(p->loans, 0);
    p->tokens = 0;
    clip_level(p);
}

/* Sets the own share; a lent one is not changed before its return. */
void
share_pool_set_own(SharePool *p, uint64_t now_us, const ShareAmount *own)
{
    advance(p, now_us);
    if (p->lent_until_us == 0) {
        p->own = *own;
        clip_level(p);
    }
}

/* Tells whether the own share is lent. */
gboolean
share_pool_is_lent(SharePool *p, uint64_t now_us)
{
    advance(p, now_us);
    return p->lent_until_us != 0;
}

/* Lends the own share, or prolongs the loan to the same borrower.  Returns
 * FALSE if it is lent to another one, if it is less than what was used, or if
 * this instance itself pools the team's shares. */
gboolean
share_pool_lend(SharePool *p, uint64_t now_us, uint64_t borrower,
                ShareOffer *offer)
{
    advance(p, now_us);
    if (p->lent_until_us == 0) {
        if (p->loans->len > 0 || p->level_micro < 0 ||
            p->own.rate_micro_per_s == 0) {
            return FALSE;
        }
        offer->level_micro = (uint64_t)p->level_micro;
        p->level_micro = 0;
        p->remainder = 0;
    }
    else if (p->lent_to != borrower) {
        return FALSE;
    }
    else {
        offer->level_micro = 0;
    }
    offer->amount = p->own;
    p->lent_to = borrower;
    p->lent_until_us =
        MAX(p->lent_until_us, now_us + kShareLoanUs + kShareLoanMarginUs);
    p->given_until_us = MAX(p->given_until_us, p->lent_until_us);
    return TRUE;
}

/* Accepts or prolongs a loan that was requested at requested_us.  Returns
 * FALSE if it has ended already or there are too many. */
gboolean
share_pool_accept(SharePool *p, uint64_t now_us, uint64_t lender,
                  const ShareOffer *offer, uint64_t requested_us)
{
    uint64_t until_us = requested_us + kShareLoanUs;
    ShareLoan *loan = NULL;

    advance(p, now_us);
    for (guint i = 0; i < p->loans->len && loan == NULL; i++) {
        ShareLoan *each = &g_array_index(p->loans, ShareLoan, i);
        loan = each->lender == lender ? each : NULL;
    }
    if (until_us <= now_us ||
        (loan == NULL && p->loans->len >= kShareLoansMax)) {
        return FALSE;
    }
    if (loan == NULL) {
        ShareLoan added = {lender, offer->amount, until_us};
        g_array_append_val(p->loans, added);
    }
    else {
        loan->amount = offer->amount;
        loan->until_us = MAX(loan->until_us, until_us);
    }
    p->level_micro +=
        (int64_t)MIN(offer->level_micro, offer->amount.capacity_micro);
    clip_level(p);
    return TRUE;
}

/* Adds tokens that another instance granted to a request of requested_us.
 * Those held already then end at the earlier time. */
void
share_pool_receive(SharePool *p, uint64_t now_us, uint32_t tokens,
                   uint64_t requested_us)
{
    uint64_t until_us = requested_us + kShareTokenLifeUs;

    if (p->tokens == 0 || now_us >= p->tokens_until_us) {
        p->tokens = 0;
        p->tokens_until_us = until_us;
    }
    p->tokens_until_us = MIN(p->tokens_until_us, until_us);
    p->tokens += tokens;
}

/* Returns what may be used beyond the level.  An instance that reaches no
 * other one and holds only its own share may use a whole token at once, as
 * without pooling; it owes the difference when it pools its share again. */
static uint64_t
overdraft(const SharePool *p, gboolean alone)
{
    return alone && p->loans->len == 0 && p->lent_until_us == 0 &&
                   p->own.rate_micro_per_s > 0
               ? missing_capacity(p->own.capacity_micro)
               : 0;
}

/* Takes a token for an operation of this instance; returns FALSE if there is
 * none. */
gboolean
share_pool_take(SharePool *p, uint64_t now_us, gboolean alone)
{
    advance(p, now_us);
    if (p->tokens > 0 && now_us < p->tokens_until_us) {
        p->tokens--;
        return TRUE;
    }
    if (p->level_micro + (int64_t)overdraft(p, alone) < kShareTokenMicro) {
        return FALSE;
    }
    p->level_micro -= kShareTokenMicro;
    return TRUE;
}

/* Takes up to the wanted number of tokens for another instance; returns how
 * many. */
uint32_t
share_pool_grant(SharePool *p, uint64_t now_us, uint32_t wanted)
{
    advance(p, now_us);
    uint64_t whole =
        p->level_micro <= 0 ? 0 : (uint64_t)p->level_micro / kShareTokenMicro;
    uint32_t granted = (uint32_t)MIN((uint64_t)wanted, whole);
    p->level_micro -= (int64_t)granted * kShareTokenMicro;
    if (granted > 0) {
        p->given_until_us = MAX(p->given_until_us, now_us);
    }
    return granted;
}

/* Returns the time until the held shares have accrued a token: zero if there
 * is one, UINT64_MAX if they never will.  If nothing is held, it is the time
 * until the own share returns. */
uint64_t
share_pool_wait_us(SharePool *p, uint64_t now_us, gboolean alone)
{
    advance(p, now_us);
    ShareAmount sum = held(p);
    uint64_t extra = overdraft(p, alone);
    int64_t missing = kShareTokenMicro - p->level_micro - (int64_t)extra;
    if (missing <= 0) {
        return 0;
    }
    if (sum.rate_micro_per_s == 0 && p->lent_until_us != 0) {
        return p->lent_until_us - now_us;
    }
    if (sum.rate_micro_per_s == 0 ||
        sum.capacity_micro + extra < kShareTokenMicro) {
        return UINT64_MAX;
    }
    return (uint64_t)missing * kMicrosPerSecond / sum.rate_micro_per_s + 1;
}

/* Returns the time until a further token that was promised to no other
 * instance, and promises it.  Without this, all instances that were granted
 * too few would ask again at the same time, for the same token. */
uint64_t
share_pool_promise_us(SharePool *p, uint64_t now_us)
{
    uint64_t wait_us = share_pool_wait_us(p, now_us, FALSE);
    uint64_t rate = held(p).rate_micro_per_s;

    if (wait_us == UINT64_MAX) {
        return wait_us;
    }
    uint64_t interval_us =
        (uint64_t)kShareTokenMicro * kMicrosPerSecond / MAX(rate, 1);
    p->next_free_us = p->next_free_us <= now_us
                          ? now_us + wait_us
                          : p->next_free_us + interval_us;
    return p->next_free_us - now_us;
}

/* Returns the rate of the own share, lent or not, and of all loans. */
uint64_t
share_pool_held_micro_per_s(const SharePool *p)
{
    uint64_t sum = p->own.rate_micro_per_s;

    for (guint i = 0; i < p->loans->len; i++) {
        sum += g_array_index(p->loans, ShareLoan, i).amount.rate_micro_per_s;
    }
    return sum;
}

/* Returns how long operations of others with the own share may still count in
 * the team's window, zero if none does.  The borrower of a share may grant a
 * token just before the loan ends, which is used within its life. */
uint64_t
share_pool_counted_us(const SharePool *p, uint64_t now_us)
{
    uint64_t until_us = p->given_until_us + kWindowUs;

    return p->given_until_us == 0 || until_us <= now_us ? 0
                                                        : until_us - now_us;
}

/* Returns a member's rendezvous score for a team, from the hashes of both
 * names.  The reachable member with the highest one pools the team's shares,
 * so that the loss of a member moves only the teams that it pooled. */
uint64_t
share_pool_score(uint64_t team, uint64_t member)
{
    /* Finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
    uint64_t x = (team ^ member) + 0x9e3779b97f4a7c15ULL;

    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}
