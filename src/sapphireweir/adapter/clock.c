#include "adapter/clock.h"

#include <glib.h>

/* Returns the monotonic time in microseconds. */
uint64_t
clock_now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

/* Returns wall clock minus monotonic time, in microseconds. */
int64_t
clock_wall_offset_us(void)
{
    return g_get_real_time() - g_get_monotonic_time();
}
