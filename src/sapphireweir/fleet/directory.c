#include "fleet/directory.h"

#include <string.h>

#include "core/hash.h"

/* How long a server that is gone is remembered.  A report that a partition
 * delayed may arrive after its server has stopped, and would bring a server
 * back that is not known any more. */
static const uint64_t kGoneKeptUs = UINT64_C(600) * 1000000;

/* The directory of backend servers, built from their status reports alone.
 * Reports reach any control instance and are forwarded to the others, so
 * they may arrive late, twice or out of order.  The report of the newest run
 * of an id wins, and within a run the one with the highest sequence; an
 * address belongs to the newest run that reports it. */

enum {
    kMicrosPerMilli = 1000,
    /* A report changes the end of a server's cold period if it is later or
     * earlier by more than this.  Reports are under way for different times;
     * an end that is too early would end the limit on a cold server. */
    kColdLaterUs = 100000,
    kColdEarlierUs = 500000,
    kStateFlagBits = 4, /* of a state digest */
};

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

/* Initializes an empty directory. */
void
directory_init(Directory *d)
{
    d->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, server_free);
    d->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
    d->revision = 0;
    d->ended_revision = 0;
}

/* Frees all servers of the directory, but not the directory itself. */
void
directory_clear(Directory *d)
{
    g_hash_table_destroy(d->by_address);
    g_hash_table_destroy(d->servers);
}

/* Adds a server to the index by address. */
static void
index_add(Directory *d, DirectoryServer *s)
{
    GPtrArray *same = g_hash_table_lookup(d->by_address, s->address);

    if (same == NULL) {
        same = g_ptr_array_new();
        g_hash_table_insert(d->by_address, g_strdup(s->address), same);
    }
    g_ptr_array_add(same, s);
}

/* Removes a server from the index by address, before its address changes or it
 * is freed. */
static void
index_remove(Directory *d, DirectoryServer *s)
{
    GPtrArray *same = g_hash_table_lookup(d->by_address, s->address);

    if (same == NULL || !g_ptr_array_remove_fast(same, s)) {
        return;
    }
    if (same->len == 0) {
        g_hash_table_remove(d->by_address, s->address);
    }
}

/* Returns a backend server, including one that is gone, or NULL.  The
 * directory owns it. */
DirectoryServer *
directory_find(const Directory *d, const char *id)
{
    return g_hash_table_lookup(d->servers, id);
}

/* Returns the time at which something of an age happened, zero at the
 * earliest. */
static uint64_t
time_before(uint64_t now_us, uint64_t age_ms)
{
    return now_us - MIN(age_ms, now_us / kMicrosPerMilli) * kMicrosPerMilli;
}

/* Returns whether a report is newer than the last one of its server.  A report
 * that the same run has stopped counts as newer even with an old sequence. */
static gboolean
report_is_newer(const DirectoryServer *s, const Sw__ServerRecord *r)
{
    if (s->born_ms != r->born_ms) {
        return r->born_ms > s->born_ms;
    }
    return r->sequence > s->sequence || (r->gone && !s->gone);
}

/* Replaces an owned string; returns whether it changed. */
static gboolean
replace_string(char **field, const char *value)
{
    if (g_strcmp0(*field, value) == 0) {
        return FALSE;
    }
    g_free(*field);
    *field = g_strdup(value);
    return TRUE;
}

/* Marks every other server with the address of a server as gone, unless the
 * other one started later. */
static void
mark_older_servers_gone(Directory *d, const DirectoryServer *newer)
{
    const GPtrArray *same = g_hash_table_lookup(d->by_address, newer->address);

    for (guint i = 0; same != NULL && i < same->len; i++) {
        DirectoryServer *s = g_ptr_array_index(same, i);
        if (s != newer && !s->gone && s->born_ms <= newer->born_ms) {
            s->gone = TRUE;
            s->changed_revision = ++d->revision;
            d->ended_revision = d->revision;
        }
    }
}

/* Returns whether a server that started later has the report's address. */
static gboolean
newer_server_has_address(const Directory *d, const Sw__ServerRecord *r)
{
    const GPtrArray *same = g_hash_table_lookup(d->by_address, r->address);

    for (guint i = 0; same != NULL && i < same->len; i++) {
        const DirectoryServer *s = g_ptr_array_index(same, i);
        if (!s->gone && s->born_ms > r->born_ms && strcmp(s->id, r->id) != 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Applies what a report states on how long the server is cold; now_us is zero
 * for a record of the replicated log, which states nothing.  Returns whether
 * entry instances must be notified. */
static gboolean
server_apply_cold(DirectoryServer *s, uint64_t now_us,
                  const Sw__ServerRecord *r)
{
    gboolean reports =
        now_us != 0 && r->cold_case == SW__SERVER_RECORD__COLD_COLD_LEFT_MS;
    uint64_t until_us = reports && r->cold_left_ms > 0
                            ? now_us + r->cold_left_ms * kMicrosPerMilli
                            : 0;

    if (s->born_ms == r->born_ms) {
        uint64_t left_us =
            s->cold_until_us > now_us ? s->cold_until_us - now_us : 0;
        uint64_t new_left_us = until_us > now_us ? until_us - now_us : 0;
        if (now_us == 0 || (reports == s->reports_cold &&
                            new_left_us <= left_us + kColdLaterUs &&
                            left_us <= new_left_us + kColdEarlierUs)) {
            return FALSE;
        }
    }
    s->reports_cold = reports;
    s->cold_until_us = until_us;
    return TRUE;
}

/* Applies a report to a server.  Returns TRUE when a value changed that entry
 * instances must be notified of. */
static gboolean
server_apply_report(Directory *d, DirectoryServer *s, uint64_t now_us,
                    const Sw__ServerRecord *r)
{
    gboolean changed = s->born_ms != r->born_ms;

    changed |= server_apply_cold(s, now_us, r);
    changed |= s->draining != r->draining || s->primary != r->primary ||
               s->gone != r->gone || s->slots != r->slots;
    s->born_ms = r->born_ms;
    s->sequence = r->sequence;
    s->gone = r->gone;
    s->draining = r->draining;
    if (r->gone && r->address[0] == '\0') {
        /* The record of a stop may lack all other values. */
        return changed;
    }
    s->primary = r->primary;
    s->slots = r->slots;
    changed |= replace_string(&s->database, r->database);
    if (strcmp(s->address, r->address) != 0) {
        index_remove(d, s);
        replace_string(&s->address, r->address);
        index_add(d, s);
        changed = TRUE;
    }
    changed |= replace_string(&s->failure_domain, r->failure_domain);
    return changed;
}

/* Returns whether a report ends the use of a server as it is known. */
static gboolean
report_ends_use(const DirectoryServer *s, const Sw__ServerRecord *r)
{
    return !s->gone &&
           (r->gone || (r->draining && !s->draining) ||
            s->born_ms != r->born_ms || strcmp(s->address, r->address) != 0 ||
            strcmp(s->database, r->database) != 0);
}

/* Applies a status report.  Returns FALSE when it is outdated or describes an
 * unknown server that is gone or replaced.  If it changes the server, the
 * directory's revision grows. */
gboolean
directory_apply_report(Directory *d, uint64_t now_us,
                       const Sw__ServerRecord *r)
{
    DirectoryServer *s = directory_find(d, r->id);
    gboolean ends_use = s != NULL && report_ends_use(s, r);

    if (s != NULL && !report_is_newer(s, r)) {
        return FALSE;
    }
    if (s == NULL) {
        if (r->gone || newer_server_has_address(d, r)) {
            return FALSE;
        }
        s = g_new0(DirectoryServer, 1);
        s->id = g_strdup(r->id);
        s->database = g_strdup("");
        s->address = g_strdup("");
        s->failure_domain = g_strdup("");
        g_hash_table_insert(d->servers, s->id, s);
        index_add(d, s);
    }
    s->last_seen_us = time_before(now_us, r->age_ms);
    if (server_apply_report(d, s, now_us, r)) {
        s->changed_us = now_us;
        s->changed_revision = ++d->revision;
        if (ends_use) {
            d->ended_revision = d->revision;
        }
    }
    if (!s->gone) {
        mark_older_servers_gone(d, s);
    }
    return TRUE;
}

/* Returns a digest of what a server's record states, without its run, its
 * sequence and the time that it stays cold.  The low bits are the flags, which
 * change during a run, so that no two records of a run that differ in them
 * have one digest; the others are a hash. */
static uint32_t
state_digest(const DirectoryServer *s)
{
    uint32_t flags = (s->draining ? 1 : 0) + (s->primary ? 2 : 0) +
                     (s->gone ? 4 : 0) + (s->reports_cold ? 8 : 0);
    uint32_t hash = (uint32_t)hash_text(
        s->database,
        hash_text(s->address,
                  hash_text(s->failure_domain, hash_number(s->slots, 1))));

    return hash << kStateFlagBits | flags;
}

/* Returns the time since a server's last report, rounded up, so that a report
 * never counts for longer at another instance. */
uint64_t
directory_age_ms(const DirectoryServer *s, uint64_t now_us)
{
    return (now_us - MIN(s->last_seen_us, now_us) + kMicrosPerMilli - 1) /
           kMicrosPerMilli;
}

/* Fills in that a server has reported its record again.  The result borrows
 * the server's id. */
void
directory_fill_seen(const DirectoryServer *s, uint64_t now_us,
                    Sw__ServerSeen *out)
{
    sw__server_seen__init(out);
    out->id = s->id;
    out->born_ms = s->born_ms;
    out->sequence = s->sequence;
    out->age_ms = directory_age_ms(s, now_us);
    out->state = state_digest(s);
}

/* Applies that a server has reported its record again.  Returns FALSE when
 * that is outdated, or this directory has another record of the server. */
gboolean
directory_apply_seen(Directory *d, uint64_t now_us, const Sw__ServerSeen *seen)
{
    DirectoryServer *s = directory_find(d, seen->id);

    if (s == NULL || s->born_ms != seen->born_ms ||
        seen->sequence <= s->sequence || state_digest(s) != seen->state) {
        return FALSE;
    }
    s->sequence = seen->sequence;
    s->last_seen_us = time_before(now_us, seen->age_ms);
    return TRUE;
}

/* Forgets the servers that have been gone for kGoneKeptUs, except those for
 * which is_needed returns TRUE; ctx is passed to it. */
void
directory_expire(Directory *d, uint64_t now_us,
                 gboolean (*is_needed)(const void *ctx, const char *id),
                 const void *ctx)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        DirectoryServer *s = value;
        if (!s->gone) {
            s->gone_us = 0;
        }
        else if (s->gone_us == 0) {
            s->gone_us = MAX(now_us, 1);
        }
        else if (now_us - s->gone_us >= kGoneKeptUs &&
                 !is_needed(ctx, s->id)) {
            index_remove(d, s);
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Fills in a record from a server.  The record borrows the server's strings.
 * With now_us zero it states no time left, as for the replicated log. */
void
directory_fill_record(const DirectoryServer *s, uint64_t now_us,
                      Sw__ServerRecord *out)
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
    if (!s->reports_cold || now_us == 0) {
        return;
    }
    out->cold_case = SW__SERVER_RECORD__COLD_COLD_LEFT_MS;
    if (s->cold_until_us > now_us) {
        out->cold_left_ms = (s->cold_until_us - now_us + kMicrosPerMilli - 1) /
                            kMicrosPerMilli;
    }
}
