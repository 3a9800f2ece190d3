#include "adapter/clock.h"

#include <glib.h>
#include <time.h>

/* Returns the time since the machine booted, in microseconds.  The clock
 * includes time in suspend, so that a lease which expired during a suspend
 * counts as expired on resume. */
uint64_t
clock_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * G_USEC_PER_SEC +
           (uint64_t)now.tv_nsec / 1000;
}

/* Returns the wall clock (Unix time) minus clock_now_us, in microseconds. */
int64_t
clock_wall_offset_us(void)
{
    return g_get_real_time() - (int64_t)clock_now_us();
}
