#include "core/token_bucket.h"

#include <glib.h>

enum { kMicrosPerSecond = 1000000 };

/* Adds the tokens that accrued since the last update.  The remainder of the
 * division is carried over, so rounding errors don't accumulate. */
static void
token_bucket_refill(TokenBucket *b, uint64_t now_us)
{
    if (now_us <= b->updated_us) {
        return;
    }
    unsigned __int128 accrued =
        (unsigned __int128)(now_us - b->updated_us) * b->rate_micro_per_s +
        b->remainder;
    b->updated_us = now_us;
    b->remainder = (uint64_t)(accrued % kMicrosPerSecond);
    unsigned __int128 level = b->level_micro + accrued / kMicrosPerSecond;
    if (level >= b->capacity_micro) {
        b->level_micro = b->capacity_micro;
        b->remainder = 0;
        return;
    }
    b->level_micro = (uint64_t)level;
}

/* Initializes an empty bucket.  The bucket isn't filled, since it is unknown
 * how many tokens a previous owner of the shard has granted. */
void
token_bucket_init(TokenBucket *b, uint64_t now_us, uint64_t rate_micro_per_s,
                  uint64_t capacity_micro)
{
    *b = (TokenBucket){
        .capacity_micro = capacity_micro,
        .rate_micro_per_s = rate_micro_per_s,
        .updated_us = now_us,
    };
}

/* Fills the bucket: no tokens of it have been granted before. */
void
token_bucket_fill(TokenBucket *b)
{
    b->level_micro = b->capacity_micro;
    b->remainder = 0;
}

/* Changes the rate and capacity from now_us on, and limits the level to the
 * new capacity. */
void
token_bucket_set(TokenBucket *b, uint64_t now_us, uint64_t rate_micro_per_s,
                 uint64_t capacity_micro)
{
    token_bucket_refill(b, now_us);
    b->rate_micro_per_s = rate_micro_per_s;
    b->capacity_micro = capacity_micro;
    b->level_micro = MIN(b->level_micro, capacity_micro);
}

/* Takes up to the wanted number of whole tokens; returns the number
 * taken. */
uint32_t
token_bucket_take(TokenBucket *b, uint64_t now_us, uint32_t wanted)
{
    token_bucket_refill(b, now_us);
    uint64_t whole = b->level_micro / kMicroTokensPerToken;
    uint32_t taken = (uint32_t)MIN((uint64_t)wanted, whole);
    b->level_micro -= (uint64_t)taken * kMicroTokensPerToken;
    return taken;
}

/* Returns the time in microseconds until one whole token is available: zero
 * if there is one now, UINT64_MAX if there will never be one. */
uint64_t
token_bucket_wait_us(TokenBucket *b, uint64_t now_us)
{
    token_bucket_refill(b, now_us);
    if (b->level_micro >= kMicroTokensPerToken) {
        return 0;
    }
    if (b->rate_micro_per_s == 0 || b->capacity_micro < kMicroTokensPerToken) {
        return UINT64_MAX;
    }
    uint64_t missing = kMicroTokensPerToken - b->level_micro;
    return missing * kMicrosPerSecond / b->rate_micro_per_s + 1;
}
