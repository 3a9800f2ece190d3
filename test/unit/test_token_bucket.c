#include <glib.h>

#include "core/token_bucket.h"
#include "suite.h"

/* Returns the level of a bucket in micro tokens, rounded down once at the end,
 * computed from the numbers of tokens taken and their times.  rate is in micro
 * tokens per second, capacity in micro tokens. */
static uint64_t
exact_level_micro(uint64_t rate, uint64_t capacity, const uint64_t *times_us,
                  const uint32_t *taken, size_t count, uint64_t now_us)
{
    unsigned __int128 level = 0; /* in millionths of a micro token */
    uint64_t last_us = 0;
    for (size_t i = 0; i <= count; i++) {
        uint64_t next_us = i < count ? times_us[i] : now_us;
        level += (unsigned __int128)(next_us - last_us) * rate;
        if (level > (unsigned __int128)capacity * 1000000) {
            level = (unsigned __int128)capacity * 1000000;
        }
        if (i < count) {
            level -=
                (unsigned __int128)taken[i] * kMicroTokensPerToken * 1000000;
        }
        last_us = next_us;
    }
    return (uint64_t)(level / 1000000);
}

static void
agrees_with_exact_arithmetic(void)
{
    static const struct {
        uint32_t seed;
        uint64_t rate;
        uint64_t capacity;
    } cases[] = {
        {1, 7 * kMicroTokensPerToken, 3 * kMicroTokensPerToken},
        {2, 333333, 1 * kMicroTokensPerToken},
        {3, (uint64_t)1000 * kMicroTokensPerToken,
         (uint64_t)50 * kMicroTokensPerToken},
        {4, 1, 2 * kMicroTokensPerToken},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GRand *rand = g_rand_new_with_seed(cases[i].seed);
        uint64_t times_us[200];
        uint32_t taken[200];
        uint64_t now_us = 0;
        TokenBucket b;
        token_bucket_init(&b, 0, cases[i].rate, cases[i].capacity);
        for (size_t k = 0; k < 200; k++) {
            now_us += (uint64_t)g_rand_int_range(rand, 0, 400000);
            uint64_t expected = exact_level_micro(
                cases[i].rate, cases[i].capacity, times_us, taken, k, now_us);
            times_us[k] = now_us;
            taken[k] = token_bucket_take(
                &b, now_us, (uint32_t)g_rand_int_range(rand, 0, 5));
            uint64_t left =
                expected - (uint64_t)taken[k] * kMicroTokensPerToken;
            CU_ASSERT(left - b.level_micro <= 1);
        }
        g_rand_free(rand);
    }
}

static void
never_grants_more_than_rate_and_capacity(void)
{
    GRand *rand = g_rand_new_with_seed(11);
    TokenBucket b;
    uint64_t now_us = 0;
    uint64_t granted = 0;
    token_bucket_init(&b, 0, (uint64_t)10 * kMicroTokensPerToken,
                      (uint64_t)5 * kMicroTokensPerToken);
    for (int i = 0; i < 20000; i++) {
        now_us += (uint64_t)g_rand_int_range(rand, 0, 30000);
        granted += token_bucket_take(&b, now_us, 3);
        CU_ASSERT(granted <= 5 + now_us * 10 / 1000000);
    }
    g_rand_free(rand);
}

static void
the_returned_wait_suffices(void)
{
    TokenBucket b;
    token_bucket_init(&b, 0, 3 * kMicroTokensPerToken,
                      2 * kMicroTokensPerToken);
    for (uint64_t now_us = 0; now_us < 5000000;) {
        uint64_t wait_us = token_bucket_wait_us(&b, now_us);
        now_us += wait_us;
        CU_ASSERT_EQUAL(token_bucket_take(&b, now_us, 1), 1);
    }
    token_bucket_init(&b, 0, 0, kMicroTokensPerToken);
    CU_ASSERT_EQUAL(token_bucket_wait_us(&b, 5), UINT64_MAX);
}

void
add_token_bucket_suite(void)
{
    CU_pSuite s = CU_add_suite("token_bucket", NULL, NULL);
    CU_add_test(s, "agrees with exact arithmetic",
                agrees_with_exact_arithmetic);
    CU_add_test(s, "never grants more than rate and capacity",
                never_grants_more_than_rate_and_capacity);
    CU_add_test(s, "the returned wait suffices", the_returned_wait_suffices);
}
