#ifndef SAPPHIREWEIR_FLEET_EVACUATIONS_H
#define SAPPHIREWEIR_FLEET_EVACUATIONS_H

#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A failure domain that was evacuated at least once. */
typedef struct {
    char *domain;
    gboolean evacuated;
    uint64_t revision; /* number of effective changes */
    uint64_t index;    /* log index of the last one */
    /* When that was applied here; zero: before this process started. */
    uint64_t changed_us;
} EvacuationState;

/* The evacuated failure domains, as committed in the replicated log. */
typedef struct {
    GHashTable *domains; /* name -> EvacuationState, owned */
    uint64_t revision;   /* log index of the newest change, zero: none */
} Evacuations;

void evacuations_init(Evacuations *e);
void evacuations_clear(Evacuations *e);
gboolean evacuations_contain(const Evacuations *e, const char *domain);
uint64_t evacuations_domain_revision(const Evacuations *e, const char *domain);
gboolean evacuations_apply(Evacuations *e, uint64_t now_us, uint64_t index,
                           const Sw__EvacuationOrder *order);
void evacuations_restore(Evacuations *e, Sw__EvacuationRecord *const *records,
                         size_t count);
GPtrArray *evacuations_records(const Evacuations *e);
uint64_t evacuations_hash(const Evacuations *e);
uint32_t evacuations_count(const Evacuations *e);
GPtrArray *evacuations_list(const Evacuations *e, uint64_t now_us);
uint64_t evacuations_list_hash(Sw__EvacuatedDomain *const *list, size_t count,
                               uint64_t revision);

#endif
