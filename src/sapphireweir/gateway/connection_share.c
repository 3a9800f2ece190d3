#include "gateway/connection_share.h"

/* How a server's scarce connections are parted among instances that do not
 * ask each other.  A fifth stays free: after a loss of power the old
 * connections count for seconds more.  Two, where the limit gives them, keep
 * an open transaction from stopping all other work of an instance.  Where
 * there are fewer connections than instances, nobody may rest on one. */

enum {
    kPercentUsed = 80,
    kPercent = 100,
    kOwnerPercent = 70,
    kScarceIdleUs = 40000, /* two statements' time, for the next in line */
};

/* Returns the part of one of so many instances. */
ConnectionShare
connection_share(uint32_t limit, uint32_t instances)
{
    uint32_t parts = MAX(instances, 1);
    uint32_t max_open = limit * kPercentUsed / kPercent / parts;

    if (max_open < 2 && limit / parts >= 2) {
        max_open = 2;
    }
    if (limit < parts) {
        return (ConnectionShare){1, kScarceIdleUs};
    }
    return (ConnectionShare){MAX(max_open, 1), 0};
}

/* Returns the part of the instance that owns a server's connections.  The
 * rest is for a successor while the old ones still count, and for those that
 * cannot reach the owner. */
uint32_t
connection_share_owner(uint32_t limit)
{
    return MAX(limit * kOwnerPercent / kPercent, 1);
}

/* Returns the part of an instance that cannot reach the owner just now. */
ConnectionShare
connection_share_beside_owner(uint32_t limit, uint32_t instances)
{
    uint32_t rest = limit - connection_share_owner(limit);
    return (ConnectionShare){MAX(rest / MAX(instances, 1), 1), kScarceIdleUs};
}
