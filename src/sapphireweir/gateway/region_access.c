#include "gateway/region_access.h"

#include <string.h>

/* Applies the regions that a configuration allows a route and a team to
 * statements that no server has yet.  A transaction that a server has begun
 * stays there. */

enum { kRegionRetryUs = 1000000 }; /* hint; only a change helps */

/* Returns the region of a failure domain, NULL if it is not known. */
static const char *
region_of_domain(const Gateway *g, const char *domain)
{
    const char *region = g->domain_regions == NULL
                             ? NULL
                             : g_hash_table_lookup(g->domain_regions, domain);

    if (region == NULL && strcmp(domain, g->failure_domain) == 0) {
        return g->region;
    }
    return region;
}

/* Returns the region of the instance that owns a server's connections, NULL if
 * it is not known. */
static const char *
region_of_owner(const Gateway *g, const Server *server)
{
    if (server->owner == NULL || g->entries == NULL) {
        return NULL;
    }
    for (guint i = 0; i < g->entries->peers->len; i++) {
        const EntryPeer *p = g_ptr_array_index(g->entries->peers, i);
        if (strcmp(p->id, server->owner) == 0) {
            return region_of_domain(g, p->failure_domain);
        }
    }
    return NULL;
}

/* Returns the limits of a session by the configuration in force.  That may be
 * newer than the one with which the open statement began to wait. */
static RegionLimits
limits_of(const Session *s)
{
    const Document *d = s->gateway->document;
    const DocumentRoute *route = document_route(d, s->host);
    const DocumentTeam *team = document_team_by_key(d, s->key);

    route = route == NULL ? s->route : route;
    team = team == NULL ? s->team : team;
    return (RegionLimits){
        (const char *const *)(route == NULL ? NULL : route->regions),
        (const char *const *)(team == NULL ? NULL : team->regions)};
}

/* Returns how the session's open statement may use a server. */
RegionAccess
region_access_of(const Session *s, const Server *server)
{
    const Gateway *g = s->gateway;
    RegionLimits limits = limits_of(s);

    if (!region_is_limited(&limits)) {
        return kRegionRelay;
    }
    return region_access(&limits, region_of_domain(g, server->failure_domain),
                         region_of_owner(g, server),
                         g_strcmp0(server->owner, g->id) == 0);
}

/* Tells whether a team's statements may run on connections that the server's
 * owner lends, as far as the team's own limits go. */
gboolean
region_access_team_relays(const Gateway *g, const DocumentTeam *team,
                          const Server *server)
{
    RegionLimits limits = {.team = (const char *const *)team->regions};

    return region_access(&limits, region_of_domain(g, server->failure_domain),
                         region_of_owner(g, server),
                         g_strcmp0(server->owner, g->id) == 0) == kRegionRelay;
}

/* Tells whether the session's open statement can be sent to the server's owner
 * now. */
gboolean
region_access_relays(const Session *s, const Server *server, uint64_t now_us)
{
    return relay_usable(server, now_us) &&
           region_access_of(s, server) == kRegionRelay;
}

/* Refuses the open statement if no server that could run it is in an allowed
 * region.  Returns whether it did. */
gboolean
region_access_refuse(Session *s, uint64_t now_us)
{
    const Database *d = s->database;
    RegionLimits limits = limits_of(s);
    gboolean outside = FALSE;

    if (!region_is_limited(&limits)) {
        return FALSE;
    }
    for (guint i = 0; i < d->servers->len; i++) {
        const Server *server = g_ptr_array_index(d->servers, i);
        if (server->gone ||
            (s->job.needs_primary && g_strcmp0(server->id, d->primary) != 0)) {
            continue;
        }
        if (region_access_of(s, server) != kRegionNone) {
            return FALSE;
        }
        outside = TRUE;
    }
    if (!outside) {
        return FALSE; /* no server is known at all */
    }
    session_refuse(s, now_us, kRefusedRegion, kRegionRetryUs);
    return TRUE;
}
