#ifndef SAPPHIREWEIR_CORE_CATALOG_H
#define SAPPHIREWEIR_CORE_CATALOG_H

#include "core/catalog_defs.h"
#include "core/ownership.h"
#include "proto/sapphireweir.pb-c.h"

typedef struct Catalog Catalog;

Catalog *catalog_new(void);
void catalog_free(Catalog *c);
gboolean catalog_update(Catalog *c, uint64_t now_us,
                        const Sw__StateUpdate *update, GError **error);

uint64_t catalog_index(const Catalog *c);
uint64_t catalog_owner_since_us(const Catalog *c, const char *resource,
                                const char *failure_domain, const char *owner);
gboolean catalog_owner_since_creation(const Catalog *c, const char *team,
                                      const char *resource,
                                      const char *failure_domain,
                                      const char *owner);
const InstanceView *catalog_view(const Catalog *c);
const Resource *catalog_resource(const Catalog *c, const char *key);
uint32_t catalog_evacuation_count(const Catalog *c);
const GHashTable *catalog_databases(Catalog *c);
uint32_t catalog_failure_domains(const Catalog *c, const char **out);

/* The catalog owns the records that the following functions return.  A record
 * is valid until the next call of catalog_update. */
const ServiceInfo *catalog_service(Catalog *c, const char *name);
const StatementInfo *catalog_statement(const ServiceInfo *s, const char *name);
const TeamInfo *catalog_team(Catalog *c, const char *name);
const KeyInfo *catalog_key(Catalog *c, const char *id);
const DatabaseInfo *catalog_database(Catalog *c, const char *name);
int32_t catalog_member_index(const DatabaseInfo *d, const char *member);
gboolean catalog_key_valid(const KeyInfo *k, uint64_t wall_ms);
gboolean catalog_service_serves(const ServiceInfo *s, const char *team);

#endif
