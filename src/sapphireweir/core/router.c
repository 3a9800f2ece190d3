#include <string.h>

#include "core/entry_defs.h"
#include "policy/link_time.h"
#include "policy/placement.h"

/* Chooses the member of a database group that serves a request, and determines
 * the entry instances that may hold the member's pool. */

/* How long a replica that its pool owner could not reach gets no reads. */
enum { kAvoidMemberUs = 400000 };

enum {
    kBytesPerKb = 1000,
    kBytesWeight = 8, /* the newest value has 1/8 of the smoothed size */
};

/* The times until which the members of a database get no reads, by member
 * index; zero if a member was never avoided. */
typedef struct {
    uint64_t until_us[kCatalogMembersMax];
} Avoidance;

/* Excludes a replica from reads for kAvoidMemberUs.  Must be called when the
 * pool owner of the replica has reported it as unreachable. */
void
router_avoid(EntryCore *e, uint64_t now_us, const char *database,
             int32_t member)
{
    Avoidance *a = g_hash_table_lookup(e->avoided, database);
    if (a == NULL) {
        a = g_new0(Avoidance, 1);
        g_hash_table_insert(e->avoided, g_strdup(database), a);
    }
    a->until_us[member] = now_us + kAvoidMemberUs;
}

/* Returns what new work may do at a member, in view of the evacuated failure
 * domains. */
DomainAccess
router_domain_access(const DatabaseInfo *d, int32_t member, uint64_t now_us)
{
    DomainMember members[kCatalogMembersMax];

    if (d->members[member].evacuated_us == 0) {
        return kDomainServed;
    }
    for (uint32_t i = 0; i < d->member_count; i++) {
        const MemberInfo *m = &d->members[i];
        members[i] =
            (DomainMember){m->usable && m->address != NULL, m->evacuated_us};
    }
    return domain_access(members, d->member_count, member, d->primary, now_us);
}

/* Returns whether a member is a usable replica outside the evacuated failure
 * domains whose bit isn't set in tried_members. */
static gboolean
replica_may_serve(const DatabaseInfo *d, uint32_t i, uint32_t tried_members)
{
    return (int32_t)i != d->primary && d->members[i].usable &&
           d->members[i].evacuated_us == 0 && d->members[i].address != NULL &&
           (tried_members & (1u << i)) == 0;
}

/* Returns whether a member is in another failure domain than this instance. */
static gboolean
is_foreign(const EntryCore *e, const DatabaseInfo *d, int32_t member)
{
    return strcmp(d->members[member].failure_domain,
                  e->config.failure_domain) != 0;
}

/* Returns a usable replica of this instance's failure domain, or a random one
 * if there is none in it, or -1 if there is none at all.  Excludes avoided
 * replicas and those in tried_members. */
static int32_t
choose_replica(EntryCore *e, uint64_t now_us, const DatabaseInfo *d,
               uint32_t tried_members)
{
    const Avoidance *a = g_hash_table_lookup(e->avoided, d->name);
    int32_t others[kCatalogMembersMax];
    uint32_t count = 0;

    for (uint32_t i = 0; i < d->member_count; i++) {
        gboolean avoided = a != NULL && now_us < a->until_us[i];
        if (avoided || !replica_may_serve(d, i, tried_members)) {
            continue;
        }
        if (!is_foreign(e, d, (int32_t)i)) {
            return (int32_t)i;
        }
        others[count++] = (int32_t)i;
    }
    if (count == 0) {
        return -1;
    }
    return others[e->port.random(e->port.ctx) % count];
}

/* Returns the primary, or -1 while it is unknown or being replaced. */
static int32_t
stable_primary(const DatabaseInfo *d)
{
    return d->stable && d->primary >= 0 &&
                   d->members[d->primary].address != NULL
               ? d->primary
               : -1;
}

/* Returns the choice of the primary, if it is known, not being replaced and
 * may serve. */
static RouteChoice
choose_primary(const DatabaseInfo *d, uint64_t now_us)
{
    RouteChoice choice = {stable_primary(d), FALSE, FALSE,
                          kMetricPrimaryStrict, kCrossingOnlyServer};

    if (choice.member >= 0) {
        DomainAccess access = router_domain_access(d, choice.member, now_us);
        choice.evacuated = access == kDomainClosed;
        choice.member = access == kDomainServed ? choice.member : -1;
    }
    return choice;
}

/* Adds the size of a service's request and response to the smoothed one. */
void
router_observe_bytes(EntryCore *e, const char *service, uint64_t bytes)
{
    uint64_t *known = g_hash_table_lookup(e->service_bytes, service);

    if (known == NULL) {
        known = g_new(uint64_t, 1);
        *known = bytes;
        g_hash_table_insert(e->service_bytes, g_strdup(service), known);
        return;
    }
    *known = (*known * (kBytesWeight - 1) + bytes) / kBytesWeight;
}

/* Returns whether the price of the bytes keeps a read at the primary of the
 * own failure domain, although a replica in another one may serve it. */
static gboolean
price_keeps_home(const EntryCore *e, const char *service)
{
    PlacementCandidate home = {
        .matching_connection = TRUE, .primary = TRUE, .same_domain = TRUE};
    PlacementCandidate away = {.matching_connection = TRUE,
                               .link_us = kLinkTimeDefaultUs};

    if (e->config.cross_domain_us_per_kb == 0) {
        return FALSE;
    }
    const uint64_t *bytes = g_hash_table_lookup(e->service_bytes, service);
    away.price_us = e->config.cross_domain_us_per_kb *
                    (bytes == NULL ? (uint64_t)kBytesPerKb : *bytes) /
                    kBytesPerKb;
    return placement_cost_us(&home) < placement_cost_us(&away);
}

/* Chooses a member.  A read that accepts stale data goes to a replica whose
 * bit isn't set in tried_members (bit i is member i), if possible of this
 * instance's failure domain.  All other requests go to the primary, and so
 * does such a read if no replica is left, or if the primary alone is in this
 * failure domain, was not tried, and the price of the service's bytes is too
 * high. */
RouteChoice
router_choose(EntryCore *e, uint64_t now_us, const DatabaseInfo *d,
              const char *service, gboolean write, uint64_t max_staleness_us,
              uint32_t tried_members)
{
    RouteChoice choice = choose_primary(d, now_us);

    if (write || max_staleness_us == 0 || !e->config.read_replicas) {
        return choice;
    }
    choice.eligible = TRUE;
    choice.crossing = kCrossingNoServer;
    int32_t replica = choose_replica(e, now_us, d, tried_members);
    if (replica < 0) {
        choice.reason = kMetricPrimaryNoReplica;
        return choice;
    }
    gboolean leaves_home =
        choice.member >= 0 && (tried_members & (1u << choice.member)) == 0 &&
        !is_foreign(e, d, choice.member) && is_foreign(e, d, replica);
    if (leaves_home && price_keeps_home(e, service)) {
        choice.reason = kMetricPrimaryPrice;
        return choice;
    }
    choice.member = replica;
    if (leaves_home) {
        choice.crossing = kCrossingWait;
    }
    return choice;
}

/* Counts work that is sent to a member, if that is in another failure
 * domain. */
void
router_count_crossed(EntryCore *e, const DatabaseInfo *d, int32_t member,
                     CrossingReason reason)
{
    if (is_foreign(e, d, member)) {
        e->crossed[reason]++;
    }
}

/* Owner and successors of one member's pool, as of a version of the instance
 * view. */
typedef struct {
    uint64_t version;
    uint32_t count;
    const InstanceInfo *owners[kOwnerRanksMax];
} OwnerEntry;

/* Creates a table for EntryCore.owners or EntryCore.avoided, which owns its
 * keys and values. */
GHashTable *
router_cache_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Fills out, which has kOwnerRanksMax elements, with the owner of a member's
 * pool and its successors, and returns their number.  Live instances of the
 * member's failure domain come before others.  The result is computed again
 * only after a change of the instance view.  With
 * EntryConfig.per_instance_pools, the only owner is this instance. */
uint32_t
router_owners(EntryCore *e, const DatabaseInfo *d, int32_t member,
              const InstanceInfo **out)
{
    const MemberInfo *m = &d->members[member];
    const InstanceView *view = catalog_view(e->catalog);
    char resource[160];

    if (e->config.per_instance_pools) {
        out[0] = instance_view_find(view, e->config.id);
        return out[0] == NULL ? 0 : 1;
    }
    g_snprintf(resource, sizeof(resource), "pool/%s/%s", d->name, m->id);
    OwnerEntry *known = g_hash_table_lookup(e->owners, resource);
    if (known == NULL) {
        known = g_new0(OwnerEntry, 1);
        g_hash_table_insert(e->owners, g_strdup(resource), known);
        known->version = view->version - 1;
    }
    if (known->version != view->version) {
        known->version = view->version;
        known->count = ownership_rank(view, resource, m->failure_domain,
                                      kOwnerRanksMax, known->owners);
    }
    for (uint32_t i = 0; i < known->count; i++) {
        out[i] = known->owners[i];
    }
    return known->count;
}
