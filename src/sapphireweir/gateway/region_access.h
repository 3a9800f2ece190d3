#ifndef SAPPHIREWEIR_GATEWAY_REGION_ACCESS_H
#define SAPPHIREWEIR_GATEWAY_REGION_ACCESS_H

#include "gateway/gateway_internal.h"
#include "policy/region.h"

/* The regions that a session's statements may reach. */

gboolean region_access_team_relays(const Gateway *g, const DocumentTeam *team,
                                   const Server *server);
RegionAccess region_access_of(const Session *s, const Server *server);
gboolean region_access_relays(const Session *s, const Server *server,
                              uint64_t now_us);
gboolean region_access_refuse(Session *s, uint64_t now_us);

#endif
