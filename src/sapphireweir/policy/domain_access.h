#ifndef SAPPHIREWEIR_POLICY_DOMAIN_ACCESS_H
#define SAPPHIREWEIR_POLICY_DOMAIN_ACCESS_H

#include <glib.h>
#include <stdint.h>

/* A member of a database group, as far as evacuations concern it. */
typedef struct {
    /* A replica that could take part in a planned change of the primary; not
     * read for the primary. */
    gboolean usable;
    uint64_t evacuated_us; /* when its failure domain was evacuated; zero: it
                            * is not evacuated */
} DomainMember;

/* What new work may do at a member. */
typedef enum {
    kDomainServed, /* run there */
    kDomainWait,   /* wait for the next primary */
    kDomainClosed, /* not run there at all */
} DomainAccess;

gboolean domain_access_can_move(const DomainMember *members, uint32_t count,
                                int32_t primary);
gboolean domain_access_move_due(const DomainMember *members, uint32_t count,
                                int32_t primary, uint64_t now_us);
DomainAccess domain_access(const DomainMember *members, uint32_t count,
                           int32_t member, int32_t primary, uint64_t now_us);
gboolean domain_access_ends_transactions(uint64_t evacuated_us,
                                         uint64_t now_us);
gboolean domain_access_ends_connections(uint64_t evacuated_us,
                                        uint64_t now_us);

#endif
