#include "fleet/director_internal.h"

/* Requests of entry instances for the next report of a backend server's run.
 * An entry instance that opens its first connection to a server learns thereby
 * whether the server has restarted.  A report that was known before the
 * request proves nothing, as the server may have restarted since. */

enum {
    /* An entry instance limits an unconfirmed server no longer than this. */
    kQueryKeptUs = 1500000,
    kExpiryIntervalUs = 500000,
    kAgeStepUs = 1000, /* reports state their age in milliseconds */
};

static void
query_free(void *data)
{
    ServerQuery *q = data;
    g_free(q->entry);
    g_free(q);
}

/* Creates the table of requests. */
void
queries_init(Director *d)
{
    d->queries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_hash_table_destroy);
}

/* Returns what this instance knows of a server. */
static SlowStartKnown
known_of(const DirectoryServer *s, uint64_t now_us)
{
    return (SlowStartKnown){s->born_ms, s->sequence,
                            s->reports_cold && s->cold_until_us > now_us,
                            s->gone};
}

/* Sends a server's record as the answer to a request. */
static void
send_answer(Director *d, uint64_t now_us, const DirectoryServer *s,
            const ServerQuery *q)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__ServerAnswer m = SW__SERVER_ANSWER__INIT;
    Sw__ServerRecord record;

    directory_fill_record(s, now_us, &record);
    m.record = &record;
    frame.request_id = q->request_id;
    frame.body_case = SW__FRAME__BODY_SERVER_ANSWER;
    frame.server_answer = &m;
    d->queries_answered++;
    d->port.send(d->port.ctx, q->entry, &frame);
}

/* Adds a request; it replaces an earlier one of the same entry instance for
 * the same server. */
static void
query_add(Director *d, const char *server, ServerQuery *query)
{
    GHashTable *list = g_hash_table_lookup(d->queries, server);

    if (list == NULL) {
        list =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, query_free);
        g_hash_table_insert(d->queries, g_strdup(server), list);
    }
    g_hash_table_replace(list, query->entry, query);
}

/* Handles a request of an entry instance: answers it, or keeps it until a
 * later report arrives.  One for an unknown server is ignored. */
void
queries_handle(Director *d, uint64_t now_us, const char *from,
               uint64_t request_id, const Sw__ServerQuery *m)
{
    const DirectoryServer *s = directory_find(&d->directory, m->server);

    d->queries_received++;
    if (s == NULL) {
        return;
    }
    SlowStartKnown known = known_of(s, now_us);
    SlowStartKnown asked = {.born_ms = m->born_ms, .sequence = m->sequence};
    if (known.born_ms == asked.born_ms) {
        asked.sequence = MAX(asked.sequence, known.sequence);
    }
    ServerQuery *q = g_new(ServerQuery, 1);
    *q = (ServerQuery){g_strdup(from), request_id, asked, now_us};
    if (!slow_start_answers(&known, &asked)) {
        query_add(d, m->server, q);
        return;
    }
    send_answer(d, now_us, s, q);
    query_free(q);
}

/* Returns whether what is known of a server answers a request, which came
 * before its last report reached any control instance.  A report that changes
 * nothing is collected before it is passed on, so that one of a former run may
 * arrive after the request. */
static gboolean
answers_later(const DirectoryServer *s, const SlowStartKnown *known,
              const ServerQuery *q)
{
    gboolean changed =
        known->born_ms != q->asked.born_ms || known->cold || known->gone;

    return slow_start_answers(known, &q->asked) &&
           (changed || s->last_seen_us > q->received_us + kAgeStepUs);
}

/* Answers the requests for which a server's new report suffices. */
void
queries_reported(Director *d, uint64_t now_us, const char *server)
{
    GHashTable *list = g_hash_table_lookup(d->queries, server);
    const DirectoryServer *s = directory_find(&d->directory, server);
    GHashTableIter it;
    void *value;

    if (list == NULL || s == NULL) {
        return;
    }
    SlowStartKnown known = known_of(s, now_us);
    g_hash_table_iter_init(&it, list);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const ServerQuery *q = value;
        if (answers_later(s, &known, q)) {
            send_answer(d, now_us, s, q);
            g_hash_table_iter_remove(&it);
        }
    }
    if (g_hash_table_size(list) == 0) {
        g_hash_table_remove(d->queries, server);
    }
}

/* Tells whether the answer to a request would be of no use any more; a
 * GHRFunc. */
static gboolean
query_has_expired(void *key, void *value, void *ctx)
{
    (void)key;
    return *(const uint64_t *)ctx - ((const ServerQuery *)value)->received_us >
           kQueryKeptUs;
}

/* Forgets requests whose answer would be of no use any more. */
void
queries_tick(Director *d, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (now_us < d->next_query_expiry_us) {
        return;
    }
    d->next_query_expiry_us = now_us + kExpiryIntervalUs;
    g_hash_table_iter_init(&it, d->queries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        GHashTable *list = value;
        g_hash_table_foreach_remove(list, query_has_expired, &now_us);
        if (g_hash_table_size(list) == 0) {
            g_hash_table_iter_remove(&it);
        }
    }
}
