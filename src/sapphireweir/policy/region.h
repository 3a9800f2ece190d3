#ifndef SAPPHIREWEIR_POLICY_REGION_H
#define SAPPHIREWEIR_POLICY_REGION_H

#include <glib.h>

/* The regions in which a statement may run, by its route and by its team.
 * Each list ends with NULL; a list that is NULL allows every region. */
typedef struct {
    const char *const *route;
    const char *const *team;
} RegionLimits;

/* How an instance may use a backend server for a statement. */
typedef enum {
    kRegionNone,   /* not at all */
    kRegionDirect, /* over a connection of its own only */
    kRegionRelay,  /* also through the instance that owns its connections */
} RegionAccess;

gboolean region_is_limited(const RegionLimits *limits);
gboolean region_is_allowed(const RegionLimits *limits, const char *region);
RegionAccess region_access(const RegionLimits *limits,
                           const char *server_region, const char *owner_region,
                           gboolean owns_itself);

#endif
