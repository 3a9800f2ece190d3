#ifndef SAPPHIREWEIR_CORE_RESOURCE_H
#define SAPPHIREWEIR_CORE_RESOURCE_H

#include "core/resource_defs.h"

/* Returns a resource by its key, or NULL if there is none. */
typedef const Resource *(*ResourceLookup)(void *ctx, const char *key);

Resource *resource_new(const char *key, uint64_t version, uint64_t index,
                       json_t *spec);
void resource_free(void *resource);
gboolean resource_kind_of(const char *key, ResourceKind *kind);
const char *resource_kind_name(ResourceKind kind);
const char *resource_name_of(const char *key);
gboolean resource_check(const char *key, const json_t *spec,
                        ResourceLookup lookup, void *ctx, GError **error);
gboolean resource_domain_known(const char *domain, ResourceLookup lookup,
                               void *ctx);
void resource_team_parameters(const json_t *template, const json_t *team,
                              TeamParameters *out);

#endif
