#ifndef SAPPHIREWEIR_FLEET_OWNERS_H
#define SAPPHIREWEIR_FLEET_OWNERS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* An entry instance that may own the connections to a backend server. */
typedef struct {
    char *id;
    char *failure_domain;
} EntryPeer;

/* The active entry instances. */
typedef struct {
    GPtrArray *peers; /* EntryPeer, owned */
    uint64_t hash;    /* over all peers, independent of their order */
} EntryList;

/* A backend server and its owner. */
typedef struct {
    const char *id;
    const char *failure_domain;
    /* Set by owners_assign to an id that the list owns, or to NULL if the
     * list is empty. */
    const char *owner;
} OwnedServer;

EntryList *entry_list_new(void);
void entry_list_free(EntryList *list);
void entry_list_add(EntryList *list, const char *id,
                    const char *failure_domain);
void owners_assign(const EntryList *list, OwnedServer *servers, size_t count);

#endif
