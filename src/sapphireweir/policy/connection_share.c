#include "policy/connection_share.h"

/* Divides the connections that a backend server accepts among instances that
 * do not coordinate.  A fifth is left unused, because for some seconds the
 * server still counts the connections of an instance that lost power.  Each
 * instance gets two where the limit allows, so that an open transaction does
 * not block all its other work.  Where there are fewer connections than
 * instances, an idle connection is closed after a short time. */

enum {
    kPercentUsed = 80, /* of the limit, by all instances together */
    kPercent = 100,
    kOwnerPercent = 70, /* of the limit, for the owner of the server */
    /* Idle time limit where connections are scarce, about two statements; then
     * other instances need the connection. */
    kScarceIdleUs = 40000,
};

/* Returns the share of one instance, where limit is the number of connections
 * that the server accepts and instances the number of entry instances. */
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

/* Returns how many connections the instance that owns a server may hold.  The
 * rest is left to a new owner while the server still counts the connections
 * of the former one, and to instances that cannot reach the owner. */
uint32_t
connection_share_owner(uint32_t limit)
{
    return MAX(limit * kOwnerPercent / kPercent, 1);
}

/* Returns the share of an instance that cannot reach the owner. */
ConnectionShare
connection_share_beside_owner(uint32_t limit, uint32_t instances)
{
    uint32_t remaining = limit - connection_share_owner(limit);
    return (ConnectionShare){MAX(remaining / MAX(instances, 1), 1),
                             kScarceIdleUs};
}
