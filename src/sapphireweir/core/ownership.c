#include "core/ownership.h"

#include <string.h>

#include "core/rendezvous.h"
#include "core/schema.h"

/* Frees an InstanceInfo. */
void
instance_info_free(void *info)
{
    InstanceInfo *i = info;
    g_free(i->id);
    g_free(i->failure_domain);
    g_free(i->peer_address);
    g_free(i);
}

/* Returns a copy of an InstanceInfo, which the caller frees with
 * instance_info_free. */
InstanceInfo *
instance_info_copy(const InstanceInfo *from)
{
    InstanceInfo *i = g_new(InstanceInfo, 1);
    *i = *from;
    i->id = g_strdup(from->id);
    i->failure_domain = g_strdup(from->failure_domain);
    i->peer_address = g_strdup(from->peer_address);
    return i;
}

/* Initializes an empty view, to be freed with instance_view_clear. */
void
instance_view_init(InstanceView *v)
{
    v->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         instance_info_free);
    v->version = 0;
}

/* Frees the contents of a view. */
void
instance_view_clear(InstanceView *v)
{
    g_hash_table_destroy(v->instances);
}

/* Adds or replaces an instance; a spec of NULL removes it. */
void
instance_view_set(InstanceView *v, const char *id, const json_t *spec)
{
    v->version++;
    if (spec == NULL) {
        g_hash_table_remove(v->instances, id);
        return;
    }
    InstanceInfo *i = g_new0(InstanceInfo, 1);
    i->id = g_strdup(id);
    i->failure_domain = g_strdup(json_text_or(spec, "failure_domain", ""));
    i->peer_address = g_strdup(json_text_or(spec, "peer_address", ""));
    i->incarnation = (uint64_t)json_integer_or(spec, "incarnation", 0);
    i->draining = json_flag(spec, "draining");
    g_hash_table_replace(v->instances, i->id, i);
}

/* Returns the instance with an id, or NULL.  The view owns it. */
const InstanceInfo *
instance_view_find(const InstanceView *v, const char *id)
{
    return g_hash_table_lookup(v->instances, id);
}

/* An instance with the values that determine its rank for a resource. */
typedef struct {
    const InstanceInfo *instance;
    uint32_t tier;  /* 2: in the resource's failure domain, 1: in another,
                     * 0: draining */
    uint64_t score; /* of rendezvous hashing */
} Ranked;

/* Returns whether a ranks higher than b. */
static gboolean
ranks_before(const Ranked *a, const Ranked *b)
{
    if (a->tier != b->tier) {
        return a->tier > b->tier;
    }
    if (a->score != b->score) {
        return a->score > b->score;
    }
    return strcmp(a->instance->id, b->instance->id) < 0;
}

/* Computes the values that determine an instance's rank for a resource of a
 * failure domain. */
static Ranked
rank_instance(const char *resource, const char *failure_domain,
              const InstanceInfo *i)
{
    gboolean near = strcmp(i->failure_domain, failure_domain) == 0;
    return (Ranked){i,
                    i->draining ? 0
                    : near      ? 2
                                : 1,
                    rendezvous_score(resource, i->id)};
}

/* Returns whether instance a would rank before b as the owner of a resource of
 * the failure domain, if both were live. */
gboolean
ownership_outranks(const char *resource, const char *failure_domain,
                   const InstanceInfo *a, const InstanceInfo *b)
{
    Ranked x = rank_instance(resource, failure_domain, a);
    Ranked y = rank_instance(resource, failure_domain, b);
    return ranks_before(&x, &y);
}

/* Fills out with the owner of a resource and its successors, and returns
 * their number, at most ranks and kOwnerRanksMax.  Instances of the failure
 * domain come first, then all others, then draining ones; each group is
 * ordered by rendezvous hashing.  The view owns the instances. */
uint32_t
ownership_rank(const InstanceView *v, const char *resource,
               const char *failure_domain, uint32_t ranks,
               const InstanceInfo **out)
{
    Ranked best[kOwnerRanksMax];
    uint32_t count = 0;
    GHashTableIter it;
    void *value;

    ranks = MIN(ranks, kOwnerRanksMax);
    g_hash_table_iter_init(&it, v->instances);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Ranked r = rank_instance(resource, failure_domain, value);
        uint32_t at = count;
        while (at > 0 && ranks_before(&r, &best[at - 1])) {
            at--;
        }
        if (at >= ranks) {
            continue;
        }
        count = MIN(count + 1, ranks);
        for (uint32_t j = count - 1; j > at; j--) {
            best[j] = best[j - 1];
        }
        best[at] = r;
    }
    for (uint32_t i = 0; i < count; i++) {
        out[i] = best[i].instance;
    }
    return count;
}
