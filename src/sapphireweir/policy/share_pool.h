#ifndef SAPPHIREWEIR_POLICY_SHARE_POOL_H
#define SAPPHIREWEIR_POLICY_SHARE_POOL_H

#include <glib.h>
#include <stdint.h>

enum {
    kShareTokenMicro = 1000000, /* micro tokens of one token */
    kShareLoanUs = 2000000,     /* of a loan, from the request on */
    /* The lender waits for longer than the borrower may use the loan, by 5
     * percent, since the clocks of two machines differ in speed. */
    kShareLoanMarginUs = 100000,
    /* Life of a token taken from another instance's pool, from the request
     * on.  See kShareCutPercent. */
    kShareTokenLifeUs = 500000,
    /* Of its share, an instance uses and lends this part.  The rest covers the
     * life of tokens: 0.9 * (5 s + 0.5 s) < 5 s, the window of the rates. */
    kShareCutPercent = 90,
    kShareLoansMax = 96, /* of one team at one instance */
};

/* A share of a team's rate and burst. */
typedef struct {
    uint64_t rate_micro_per_s;
    uint64_t capacity_micro;
} ShareAmount;

/* A share that another instance has lent. */
typedef struct {
    uint64_t lender; /* hash of its id */
    ShareAmount amount;
    uint64_t until_us;
} ShareLoan;

/* What a lender offers; the level is transferred with the share. */
typedef struct {
    ShareAmount amount;
    uint64_t level_micro;
} ShareOffer;

/* What one instance holds of one team's rate while it has no leader. */
typedef struct {
    ShareAmount own;
    uint64_t lent_until_us; /* own share is lent, zero: it is not */
    uint64_t lent_to;       /* hash of the borrower's id */
    GArray *loans;          /* ShareLoan */
    int64_t level_micro;    /* below zero: more was used than the share */
    uint64_t remainder;     /* of the last division */
    uint64_t updated_us;
    uint32_t tokens; /* taken from another instance's pool */
    uint64_t tokens_until_us;
    uint64_t next_free_us; /* time of the last token that was promised */
    /* Until when others may use what they got of the own share: while it is
     * lent, and for the life of granted tokens; zero: never. */
    uint64_t given_until_us;
} SharePool;

void share_pool_init(SharePool *p, uint64_t now_us);
void share_pool_clear(SharePool *p);
void share_pool_begin(SharePool *p, uint64_t now_us, gboolean used_alone);
void share_pool_end(SharePool *p, uint64_t now_us);
void share_pool_set_own(SharePool *p, uint64_t now_us, const ShareAmount *own);
gboolean share_pool_is_lent(SharePool *p, uint64_t now_us);
gboolean share_pool_lend(SharePool *p, uint64_t now_us, uint64_t borrower,
                         ShareOffer *offer);
gboolean share_pool_accept(SharePool *p, uint64_t now_us, uint64_t lender,
                           const ShareOffer *offer, uint64_t requested_us);
void share_pool_receive(SharePool *p, uint64_t now_us, uint32_t tokens,
                        uint64_t requested_us);
gboolean share_pool_take(SharePool *p, uint64_t now_us, gboolean alone);
uint32_t share_pool_grant(SharePool *p, uint64_t now_us, uint32_t wanted);
uint64_t share_pool_wait_us(SharePool *p, uint64_t now_us, gboolean alone);
uint64_t share_pool_promise_us(SharePool *p, uint64_t now_us);
uint64_t share_pool_held_micro_per_s(const SharePool *p);
uint64_t share_pool_counted_us(const SharePool *p, uint64_t now_us);
uint64_t share_pool_score(uint64_t team, uint64_t member);

#endif
