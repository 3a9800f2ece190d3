#include "policy/region.h"

#include <string.h>

/* Regions that statements may reach.  Addresses work that must stay inside a
 * legal boundary while servers and instances fail: where the nearest server or
 * the owner of its connections is outside, load and failover would otherwise
 * move the work there. */

/* Tells whether a list has a region; NULL has all. */
static gboolean
list_allows(const char *const *list, const char *region)
{
    return list == NULL || (region != NULL && g_strv_contains(list, region));
}

/* Tells whether there is any limit. */
gboolean
region_is_limited(const RegionLimits *limits)
{
    return limits->route != NULL || limits->team != NULL;
}

/* Tells whether a region is in both lists.  An unknown region, NULL, is
 * allowed only where there is no limit. */
gboolean
region_is_allowed(const RegionLimits *limits, const char *region)
{
    return list_allows(limits->route, region) &&
           list_allows(limits->team, region);
}

/* Decides how an instance may use a server.  owns_itself: the instance owns
 * the server's connections; it has the statement already, in whichever region
 * it is.  NULL: the region is not known, or there is no owner. */
RegionAccess
region_access(const RegionLimits *limits, const char *server_region,
              const char *owner_region, gboolean owns_itself)
{
    if (!region_is_allowed(limits, server_region)) {
        return kRegionNone;
    }
    return owns_itself || region_is_allowed(limits, owner_region)
               ? kRegionRelay
               : kRegionDirect;
}
