#ifndef SAPPHIREWEIR_CORE_OWNERSHIP_H
#define SAPPHIREWEIR_CORE_OWNERSHIP_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* A live entry instance, as recorded in the replicated state. */
typedef struct {
    char *id;
    char *failure_domain;
    char *peer_address;
    uint64_t incarnation;
    gboolean draining;
} InstanceInfo;

/* The live entry instances.  Each resource, such as "pool/DATABASE/MEMBER" or
 * "limit/TEAM/SHARD", has one of them as its owner.  Views with equal content
 * yield the same owners in every process. */
typedef struct {
    GHashTable *instances; /* id -> InstanceInfo, owned */
    uint64_t version;      /* incremented on every change */
} InstanceView;

void instance_view_init(InstanceView *v);
void instance_view_clear(InstanceView *v);
void instance_view_set(InstanceView *v, const char *id, const json_t *spec);
const InstanceInfo *instance_view_find(const InstanceView *v, const char *id);
InstanceInfo *instance_info_copy(const InstanceInfo *from);
void instance_info_free(void *info);
gboolean ownership_outranks(const char *resource, const char *failure_domain,
                            const InstanceInfo *a, const InstanceInfo *b);

enum { kOwnerRanksMax = 3 }; /* the owner and two successors */

uint32_t ownership_rank(const InstanceView *v, const char *resource,
                        const char *failure_domain, uint32_t ranks,
                        const InstanceInfo **out);

#endif
