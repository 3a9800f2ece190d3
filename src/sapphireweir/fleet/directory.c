#include "fleet/directory.h"

#include <string.h>

/* Who the backend servers are, from their status reports alone.  Reports
 * reach any control instance and spread from there, so they come late, twice
 * and out of order: the newest run of an id wins, within a run the highest
 * sequence, and an address belongs to the newest run that reports it. */

static void
server_free(void *data)
{
    DirectoryServer *s = data;
    g_free(s->id);
    g_free(s->database);
    g_free(s->address);
    g_free(s->failure_domain);
    g_free(s);
}

/* Makes an empty directory. */
void
directory_init(Directory *d)
{
    d->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, server_free);
    d->revision = 0;
}

/* Frees what the directory holds. */
void
directory_clear(Directory *d)
{
    g_hash_table_destroy(d->servers);
}

/* Returns a backend server, also one that is gone, or NULL. */
DirectoryServer *
directory_find(const Directory *d, const char *id)
{
    return g_hash_table_lookup(d->servers, id);
}

static gboolean
report_is_newer(const DirectoryServer *s, const Sw__ServerRecord *r)
{
    if (s->born_ms != r->born_ms) {
        return r->born_ms > s->born_ms;
    }
    return r->sequence > s->sequence || (r->gone && !s->gone);
}

static gboolean
set_text(char **field, const char *value)
{
    if (g_strcmp0(*field, value) == 0) {
        return FALSE;
    }
    g_free(*field);
    *field = g_strdup(value);
    return TRUE;
}

/* Marks every older run at the address of a server as gone. */
static void
address_claim(Directory *d, const DirectoryServer *owner)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        DirectoryServer *s = value;
        if (s != owner && !s->gone && s->born_ms <= owner->born_ms &&
            strcmp(s->address, owner->address) == 0) {
            s->gone = TRUE;
            s->changed = ++d->revision;
        }
    }
}

static gboolean
address_taken(const Directory *d, const Sw__ServerRecord *r)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        DirectoryServer *s = value;
        if (!s->gone && s->born_ms > r->born_ms && strcmp(s->id, r->id) != 0 &&
            strcmp(s->address, r->address) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Applies a report to a server; TRUE when something worth telling moved. */
static gboolean
server_apply(DirectoryServer *s, const Sw__ServerRecord *r)
{
    gboolean changed = s->born_ms != r->born_ms;

    changed |= s->draining != r->draining || s->primary != r->primary ||
               s->gone != r->gone || s->slots != r->slots;
    s->born_ms = r->born_ms;
    s->sequence = r->sequence;
    s->gone = r->gone;
    s->draining = r->draining;
    if (r->gone && r->address[0] == '\0') {
        return changed;
    }
    s->primary = r->primary;
    s->slots = r->slots;
    changed |= set_text(&s->database, r->database);
    changed |= set_text(&s->address, r->address);
    changed |= set_text(&s->failure_domain, r->failure_domain);
    return changed;
}

/* Takes in a report.  Returns TRUE when it was new; a changed server has
 * the directory's new revision. */
gboolean
directory_apply_report(Directory *d, uint64_t now_us,
                       const Sw__ServerRecord *r)
{
    DirectoryServer *s = directory_find(d, r->id);

    if (s != NULL && !report_is_newer(s, r)) {
        return FALSE;
    }
    if (s == NULL) {
        if (r->gone || address_taken(d, r)) {
            return FALSE;
        }
        s = g_new0(DirectoryServer, 1);
        s->id = g_strdup(r->id);
        s->database = g_strdup("");
        s->address = g_strdup("");
        s->failure_domain = g_strdup("");
        g_hash_table_insert(d->servers, s->id, s);
    }
    s->heard_us = now_us;
    if (server_apply(s, r)) {
        s->changed = ++d->revision;
    }
    if (!s->gone) {
        address_claim(d, s);
    }
    return TRUE;
}

/* Writes a server into a record; its strings stay the directory's. */
void
directory_fill_record(const DirectoryServer *s, Sw__ServerRecord *out)
{
    sw__server_record__init(out);
    out->id = s->id;
    out->database = s->database;
    out->address = s->address;
    out->failure_domain = s->failure_domain;
    out->draining = s->draining;
    out->primary = s->primary;
    out->born_ms = s->born_ms;
    out->sequence = s->sequence;
    out->slots = s->slots;
    out->gone = s->gone;
}
