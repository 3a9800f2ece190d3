#include <string.h>

#include "fleet/director_internal.h"

/* The directory of backend servers.  Their status reports reach any control
 * instance, which sends them to the others.  The leader also writes the
 * changes to the replicated log, so that after a power failure the servers
 * are known before they report again.  An outdated address is harmless, since
 * each connection names the server that it expects. */

enum {
    /* Changes of servers within this time share a log entry. */
    kLogIntervalUs = 250000,
    kExpiryIntervalUs = 1000000,
    /* Reports that change nothing within this time share a frame to the other
     * control instances. */
    kCollectUs = 100000,
    /* A record is sent in full for so long after its last change, in case that
     * one was lost, and at least so often, for instances that have none. */
    kRepeatChangeUs = 2000000,
    kExchangeUs = 3000000,
};

/* Returns whether the other control instances need a server's whole record,
 * not only that it has reported it again. */
static gboolean
must_exchange(const DirectoryServer *s, uint64_t now_us)
{
    return now_us - s->changed_us < kRepeatChangeUs ||
           now_us - s->exchanged_us >= kExchangeUs ||
           s->cold_until_us > now_us;
}

/* Adds a server to a frame for the other control instances.  The lists own
 * their elements. */
static void
exchange_add(Director *d, uint64_t now_us, DirectoryServer *s, gboolean whole,
             GPtrArray *records, GPtrArray *seen)
{
    s->collected = FALSE;
    if (!whole) {
        Sw__ServerSeen *each = g_new(Sw__ServerSeen, 1);
        directory_fill_seen(s, now_us, each);
        g_ptr_array_add(seen, each);
        d->server_counters.confirmed++;
        return;
    }
    Sw__ServerRecord *each = g_new(Sw__ServerRecord, 1);
    directory_fill_record(s, now_us, each);
    each->age_ms = directory_age_ms(s, now_us);
    g_ptr_array_add(records, each);
    s->exchanged_us = now_us;
    d->server_counters.records++;
}

/* Sends the collected reports to all known control instances, followed by the
 * record of a server that must be sent at once, or NULL. */
static void
exchange_servers(Director *d, uint64_t now_us, DirectoryServer *urgent)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DirectoryUpdate update = SW__DIRECTORY_UPDATE__INIT;
    GPtrArray *records = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *seen = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *peer;

    for (guint i = 0; i < d->collected->len; i++) {
        DirectoryServer *s =
            directory_find(&d->directory, g_ptr_array_index(d->collected, i));
        if (s != NULL && s != urgent && s->collected) {
            exchange_add(d, now_us, s, must_exchange(s, now_us), records,
                         seen);
        }
    }
    g_ptr_array_set_size(d->collected, 0);
    if (urgent != NULL) {
        exchange_add(d, now_us, urgent, TRUE, records, seen);
    }
    update.n_servers = records->len;
    update.servers = (Sw__ServerRecord **)records->pdata;
    update.n_seen = seen->len;
    update.seen = (Sw__ServerSeen **)seen->pdata;
    frame.body_case = SW__FRAME__BODY_DIRECTORY_UPDATE;
    frame.directory_update = &update;
    g_hash_table_iter_init(&it, d->peers);
    while (g_hash_table_iter_next(&it, &peer, NULL)) {
        d->port.send(d->port.ctx, peer, &frame);
    }
    g_ptr_array_unref(seen);
    g_ptr_array_unref(records);
}

/* Collects a report that changes nothing for the other control instances. */
static void
collect_report(Director *d, uint64_t now_us, DirectoryServer *s)
{
    if (s->collected) {
        return;
    }
    if (d->collected->len == 0) {
        d->collect_until_us = now_us + kCollectUs;
    }
    s->collected = TRUE;
    g_ptr_array_add(d->collected, g_strdup(s->id));
}

/* Sends the collected reports when their time has come; runs on every control
 * instance. */
void
servers_exchange_tick(Director *d, uint64_t now_us)
{
    if (d->collected->len > 0 && now_us >= d->collect_until_us) {
        exchange_servers(d, now_us, NULL);
    }
}

/* Returns whether a server that is committed as primary reports that it is
 * not.  The leader acts on such a report only while it is recent. */
static gboolean
role_is_disputed(const Director *d, const DirectoryServer *s)
{
    const PrimaryState *p = director_primary(d, s->database);

    return p != NULL && !s->primary && strcmp(p->primary, s->id) == 0;
}

/* Handles a backend server's status report: sends it to the other control
 * instances and, if it changes the server, to the entry instances.  Outdated
 * reports are ignored. */
void
director_handle_server_report(Director *d, uint64_t now_us,
                              const Sw__ServerRecord *report)
{
    uint64_t old_revision = d->directory.revision;

    if (!directory_apply_report(&d->directory, now_us, report)) {
        return;
    }
    queries_reported(d, now_us, report->id);
    DirectoryServer *s = directory_find(&d->directory, report->id);
    if (d->directory.revision == old_revision && !role_is_disputed(d, s)) {
        collect_report(d, now_us, s);
        return;
    }
    exchange_servers(d, now_us, s);
    entries_directory_changed(d, now_us, old_revision);
}

/* Handles a backend server's message that it has stopped, like a status report
 * that sets gone. */
void
director_handle_server_leave(Director *d, uint64_t now_us, const char *id)
{
    const DirectoryServer *s = directory_find(&d->directory, id);
    Sw__ServerRecord record;

    if (s == NULL || s->gone) {
        return;
    }
    directory_fill_record(s, now_us, &record);
    record.gone = TRUE;
    director_handle_server_report(d, now_us, &record);
}

/* Applies the server records that another control instance sent. */
void
servers_handle_update(Director *d, uint64_t now_us,
                      const Sw__DirectoryUpdate *m)
{
    uint64_t old_revision = d->directory.revision;

    for (size_t i = 0; i < m->n_seen; i++) {
        if (directory_apply_seen(&d->directory, now_us, m->seen[i])) {
            queries_reported(d, now_us, m->seen[i]->id);
        }
    }
    for (size_t i = 0; i < m->n_servers; i++) {
        if (directory_apply_report(&d->directory, now_us, m->servers[i])) {
            queries_reported(d, now_us, m->servers[i]->id);
            directory_find(&d->directory, m->servers[i]->id)->exchanged_us =
                now_us;
        }
    }
    entries_directory_changed(d, now_us, old_revision);
}

/* ---- the replicated log ---- */

/* Applies server records from the replicated log; records that are older than
 * a known report are ignored. */
void
servers_apply(Director *d, Sw__ServerRecord *const *records, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        /* Zero: the server has not reported since this instance started. */
        directory_apply_report(&d->directory, 0, records[i]);
    }
}

/* Returns the records of all servers that changed after a revision.  The
 * caller frees the array with its records, which borrow the directory's
 * strings.  now_us is zero for the replicated log. */
GPtrArray *
servers_since(const Director *d, uint64_t now_us, uint64_t revision)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        if (s->changed_revision > revision) {
            Sw__ServerRecord *r = g_new(Sw__ServerRecord, 1);
            directory_fill_record(s, now_us, r);
            g_ptr_array_add(list, r);
        }
    }
    return list;
}

/* Returns whether a server is the committed primary of a database. */
static gboolean
is_primary(const void *director, const char *id)
{
    const Director *d = director;
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->primaries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (g_strcmp0(((const PrimaryState *)value)->primary, id) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Forgets servers that have been gone for long; runs on every control
 * instance. */
void
servers_expire(Director *d, uint64_t now_us)
{
    if (now_us >= d->next_expiry_us) {
        d->next_expiry_us = now_us + kExpiryIntervalUs;
        directory_expire(&d->directory, now_us, is_primary, d);
    }
}

/* Proposes changed servers to the replicated log.  Called on the leader
 * only. */
void
servers_tick(Director *d, uint64_t now_us)
{
    Sw__FleetCommand command = SW__FLEET_COMMAND__INIT;

    if (now_us < d->next_server_log_us ||
        d->logged_revision == d->directory.revision ||
        !consensus_is_current(d->consensus)) {
        return;
    }
    d->next_server_log_us = now_us + kLogIntervalUs;
    GPtrArray *list = servers_since(d, 0, d->logged_revision);
    command.n_servers = list->len;
    command.servers = (Sw__ServerRecord **)list->pdata;
    if (director_propose(d, now_us, &command, NULL)) {
        d->logged_revision = d->directory.revision;
    }
    g_ptr_array_unref(list);
}
