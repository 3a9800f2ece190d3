#include "gateway/gateway_internal.h"

/* Backend servers that have left.  A server that is gone is in no database's
 * list, so that the servers in use are found however many have been replaced,
 * and it is forgotten after a while. */

enum {
    kExpiryIntervalUs = 1000000,
    /* Work that was sent to the server has ended by then, whatever its
     * timeout, and late directory updates have arrived. */
    kGoneKeptUs = 60000000,
};

/* Removes a server from the list of its database, if it is in it. */
static void
leave_database(Server *s)
{
    if (s->database != NULL) {
        g_ptr_array_remove_fast(s->database->servers, s);
    }
}

/* Assigns a server to a database; server_set_gone must follow, which adds it
 * to the database's list. */
void
server_set_database(Server *s, Database *d)
{
    if (s->database != d) {
        leave_database(s);
        s->database = d;
    }
}

/* Records whether a server is gone, and keeps the list of its database in
 * line with that. */
void
server_set_gone(Server *s, uint64_t now_us, gboolean gone)
{
    GPtrArray *servers = s->database->servers;

    if (gone && !s->gone) {
        s->gone_us = now_us;
    }
    s->gone = gone;
    if (gone) {
        leave_database(s);
    }
    else if (!g_ptr_array_find(servers, s, NULL)) {
        g_ptr_array_add(servers, s);
    }
}

/* Returns whether nothing refers to a server any more: no connection, no loan
 * and no statement that is open. */
static gboolean
is_unused(const Gateway *g, const Server *s)
{
    GHashTableIter it;
    void *value;

    if (s->connections->len > 0 || s->relays->len > 0 || s->pool != NULL) {
        return FALSE;
    }
    for (const GList *l = g->active.head; l != NULL; l = l->next) {
        const Job *job = &((const Session *)l->data)->job;
        if (job->server == s || job->avoid_server == s) {
            return FALSE;
        }
    }
    for (guint i = 0; i < g->closed->len; i++) {
        const Connection *c = g_ptr_array_index(g->closed, i);
        if (c->server == s) {
            return FALSE;
        }
    }
    g_hash_table_iter_init(&it, g->databases);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (g_strcmp0(((const Database *)value)->primary, s->id) == 0) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Frees the pool of a server that is gone, once it has no connection and no
 * waiting job. */
static void
drop_empty_pool(Server *s)
{
    if (s->pool != NULL && serverpool_is_empty(s->pool)) {
        g_clear_pointer(&s->pool, serverpool_free);
    }
}

/* Forgets servers that have been gone for kGoneKeptUs. */
void
servers_tick_gone(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us < g->next_expiry_us) {
        return;
    }
    g->next_expiry_us = now_us + kExpiryIntervalUs;
    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Server *s = value;
        if (!s->gone || now_us - s->gone_us < kGoneKeptUs) {
            continue;
        }
        drop_empty_pool(s);
        if (is_unused(g, s)) {
            g_hash_table_iter_remove(&it);
        }
    }
}
