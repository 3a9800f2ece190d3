#include "fleet/owners.h"

#include <stdlib.h>
#include <string.h>

#include "core/hash.h"

/* Assignment of backend servers to the entry instances that own their
 * connections.  It is needed when a server accepts fewer connections than
 * there are entry instances: without owners, each instance would open a
 * connection for every statement.  All instances compute the owners
 * independently from the same lists of instances and servers.  While the
 * lists differ, a server may have two owners; the server's own limit then
 * bounds their connections. */

/* Returns a new empty list. */
EntryList *
entry_list_new(void)
{
    EntryList *list = g_new0(EntryList, 1);
    list->peers = g_ptr_array_new();
    return list;
}

/* Frees a list; NULL is allowed. */
void
entry_list_free(EntryList *list)
{
    if (list == NULL) {
        return;
    }
    for (guint i = 0; i < list->peers->len; i++) {
        EntryPeer *p = g_ptr_array_index(list->peers, i);
        g_free(p->id);
        g_free(p->failure_domain);
        g_free(p);
    }
    g_ptr_array_unref(list->peers);
    g_free(list);
}

/* Adds an entry instance; the strings are copied. */
void
entry_list_add(EntryList *list, const char *id, const char *failure_domain)
{
    EntryPeer *p = g_new0(EntryPeer, 1);

    p->id = g_strdup(id);
    p->failure_domain = g_strdup(failure_domain);
    g_ptr_array_add(list->peers, p);
    list->hash += hash_text(id, hash_text(failure_domain, 1));
}

static int
compare_servers(const void *a, const void *b)
{
    return strcmp(((const OwnedServer *)a)->id, ((const OwnedServer *)b)->id);
}

/* Returns whether an entry instance runs in a failure domain. */
static gboolean
domain_has_peer(const EntryList *list, const char *failure_domain)
{
    for (guint i = 0; i < list->peers->len; i++) {
        const EntryPeer *p = g_ptr_array_index(list->peers, i);
        if (strcmp(p->failure_domain, failure_domain) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the index of the instance that owns the fewest servers within the
 * server's failure domain, or within the whole list if that domain has no
 * instance.  Ties are resolved by rendezvous hashing.  Returns the list's
 * length if the list is empty. */
static guint
choose_owner(const EntryList *list, const OwnedServer *server,
             const uint32_t *load)
{
    gboolean same_domain = domain_has_peer(list, server->failure_domain);
    uint64_t seed = hash_text(server->id, 2);
    uint64_t best_score = 0;
    guint best = list->peers->len;

    for (guint i = 0; i < list->peers->len; i++) {
        const EntryPeer *p = g_ptr_array_index(list->peers, i);
        uint64_t score = hash_text(p->id, seed);
        if (same_domain &&
            strcmp(p->failure_domain, server->failure_domain) != 0) {
            continue;
        }
        if (best == list->peers->len || load[i] < load[best] ||
            (load[i] == load[best] && score > best_score)) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

/* Sets the owner of each server, distributing the servers evenly over the
 * instances of their failure domains.  Sorts the servers by id. */
void
owners_assign(const EntryList *list, OwnedServer *servers, size_t count)
{
    uint32_t *load = g_new0(uint32_t, list->peers->len + 1);

    qsort(servers, count, sizeof(*servers), compare_servers);
    for (size_t i = 0; i < count; i++) {
        guint owner = choose_owner(list, &servers[i], load);
        servers[i].owner = NULL;
        if (owner < list->peers->len) {
            load[owner]++;
            servers[i].owner =
                ((EntryPeer *)g_ptr_array_index(list->peers, owner))->id;
        }
    }
    g_free(load);
}
