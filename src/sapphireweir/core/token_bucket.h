#ifndef SAPPHIREWEIR_CORE_TOKEN_BUCKET_H
#define SAPPHIREWEIR_CORE_TOKEN_BUCKET_H

#include <stdint.h>

enum { kMicroTokensPerToken = 1000000 };

/* A token bucket.  Level and capacity are in millionths of a token, so that
 * integer rates per second accumulate exactly over microseconds. */
typedef struct {
    uint64_t level_micro;
    uint64_t capacity_micro;
    uint64_t rate_micro_per_s;
    uint64_t updated_us; /* time of the last refill */
    uint64_t remainder;  /* of the last refill's division by a second */
} TokenBucket;

void token_bucket_init(TokenBucket *b, uint64_t now_us,
                       uint64_t rate_micro_per_s, uint64_t capacity_micro);
void token_bucket_fill(TokenBucket *b);
void token_bucket_set(TokenBucket *b, uint64_t now_us,
                      uint64_t rate_micro_per_s, uint64_t capacity_micro);
uint32_t token_bucket_take(TokenBucket *b, uint64_t now_us, uint32_t wanted);
uint64_t token_bucket_wait_us(TokenBucket *b, uint64_t now_us);

#endif
