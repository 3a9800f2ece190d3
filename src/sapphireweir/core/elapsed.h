#ifndef SAPPHIREWEIR_CORE_ELAPSED_H
#define SAPPHIREWEIR_CORE_ELAPSED_H

#include <stdint.h>

/* Returns the time from since_us to now_us, zero if since_us is the later one.
 * That is so when a callback has read the clock after the function that
 * decides took its time: a difference of unsigned numbers would be
 * centuries. */
static inline uint64_t
elapsed_us(uint64_t now_us, uint64_t since_us)
{
    return now_us > since_us ? now_us - since_us : 0;
}

#endif
