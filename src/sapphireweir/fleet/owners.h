#ifndef SAPPHIREWEIR_FLEET_OWNERS_H
#define SAPPHIREWEIR_FLEET_OWNERS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* An entry instance that may hold a backend server's connections. */
typedef struct {
    char *id;
    char *failure_domain;
} EntryPeer;

typedef struct {
    GPtrArray *peers; /* EntryPeer, owned */
    uint64_t hash;    /* of all of it, in any order */
} EntryList;

/* A backend server whose owner is to be found. */
typedef struct {
    const char *id;
    const char *failure_domain;
    const char *owner; /* filled in; the list's, NULL: nobody */
} OwnedServer;

EntryList *entry_list_new(void);
void entry_list_free(EntryList *list);
void entry_list_add(EntryList *list, const char *id,
                    const char *failure_domain);
void owners_assign(const EntryList *list, OwnedServer *servers, size_t count);

#endif
