#include "core/rendezvous.h"

#include <string.h>
#include <xxhash.h>

/* Returns the score of an instance for a resource (highest random weight
 * hashing, Thaler and Ravishankar 1998).  The instance with the highest score
 * owns the resource, the one with the next highest is its successor. */
uint64_t
rendezvous_score(const char *resource, const char *instance_id)
{
    uint64_t seed = XXH3_64bits(resource, strlen(resource));
    return XXH3_64bits_withSeed(instance_id, strlen(instance_id), seed);
}
