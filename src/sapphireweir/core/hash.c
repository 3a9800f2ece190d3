#include "core/hash.h"

/* Hashes that are the same in every process, to compare lists without sending
 * them. */

enum { kMixShift = 33 };

static const uint64_t kMixFactor = 0xff51afd7ed558ccdULL;

/* Mixes the low bits of a hash into all others. */
static uint64_t
mix(uint64_t hash)
{
    hash = (hash ^ (hash >> kMixShift)) * kMixFactor;
    return hash ^ (hash >> kMixShift);
}

/* Returns the FNV-1a hash of a text, with its low bits mixed into all
 * others. */
uint64_t
hash_text(const char *text, uint64_t seed)
{
    uint64_t hash = 14695981039346656037ULL ^ seed;

    for (const char *c = text; *c != '\0'; c++) {
        hash = (hash ^ (uint8_t)*c) * 1099511628211ULL;
    }
    return mix(hash);
}

/* Returns the hash of a number. */
uint64_t
hash_number(uint64_t number, uint64_t seed)
{
    return mix(mix(number) ^ seed);
}
