#include "fleet/document.h"

/* The parsed configuration: tables of one document version.  The driver's
 * codec fills them in from the operator's text. */

/* Frees a DocumentRoute; usable as a GDestroyNotify. */
void
document_route_free(void *route)
{
    DocumentRoute *r = route;
    g_free(r->host);
    g_free(r->path_prefix);
    g_free(r->database);
    g_strfreev(r->regions);
    g_free(r);
}

static void
database_free(void *database)
{
    DocumentDatabase *d = database;
    g_free(d->name);
    g_free(d);
}

static void
team_free(void *team)
{
    DocumentTeam *t = team;
    g_free(t->name);
    g_strfreev(t->regions);
    g_free(t);
}

/* Returns a new empty document with one reference. */
Document *
document_new(uint64_t version)
{
    Document *d = g_new0(Document, 1);
    d->ref_count = 1;
    d->version = version;
    d->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                      document_route_free);
    d->databases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, database_free);
    d->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
    d->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return d;
}

/* Adds a reference; returns the document. */
Document *
document_ref(Document *d)
{
    d->ref_count++;
    return d;
}

/* Drops a reference and frees the document with the last one; d may be
 * NULL. */
void
document_unref(Document *d)
{
    if (d == NULL || --d->ref_count > 0) {
        return;
    }
    g_hash_table_destroy(d->keys);
    g_hash_table_destroy(d->teams);
    g_hash_table_destroy(d->databases);
    g_hash_table_destroy(d->routes);
    g_free(d);
}

/* Returns the route of a host, or NULL.  The document owns it. */
const DocumentRoute *
document_route(const Document *d, const char *host)
{
    return g_hash_table_lookup(d->routes, host);
}

/* Returns a database by its name, or NULL.  The document owns it. */
const DocumentDatabase *
document_database(const Document *d, const char *name)
{
    return g_hash_table_lookup(d->databases, name);
}

/* Returns the team with an API key, or NULL.  The document owns it. */
const DocumentTeam *
document_team_by_key(const Document *d, const char *key)
{
    return g_hash_table_lookup(d->keys, key);
}

/* Tells whether any route or team has a priority other than 0. */
gboolean
document_has_priorities(const Document *d)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->routes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const DocumentRoute *)value)->priority != 0) {
            return TRUE;
        }
    }
    g_hash_table_iter_init(&it, d->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((const DocumentTeam *)value)->priority != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns how many operations a team may run within a window, in thousandths;
 * only whole ones run. */
uint64_t
document_window_milli(uint64_t rate_milli_per_s, uint64_t burst_milli,
                      uint64_t window_us)
{
    uint64_t window_ms = window_us / 1000;
    return rate_milli_per_s * window_ms / 1000 + burst_milli;
}
