#include <string.h>

#include "core/message.h"
#include "core/pool_defs.h"
#include "core/schema.h"

/* Monitors one member of a database over a separate connection: its role,
 * timeline and log positions, and whether its replication stream is alive; on
 * the primary also the position that a majority of the declared members has
 * flushed; on a replica also the age of its data.  Also executes the commands
 * that the leader of the control instances sends for the member. */

/* Returns one row, which monitor_record_status reads.  "heard" is the time at
 * which the WAL receiver got its last message. */
const char kStatusSql[] =
    "SELECT pg_is_in_recovery() AS in_recovery,"
    " (SELECT timeline_id FROM pg_control_checkpoint()) AS timeline,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
    " ELSE pg_current_wal_lsn() END AS received,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END AS replayed,"
    " (SELECT count(*) FROM pg_stat_wal_receiver) AS receivers,"
    " (SELECT last_msg_receipt_time FROM pg_stat_wal_receiver) AS heard";

/* Returns a row for each replica, which record_replication reads. */
static const char kReplicationSql[] =
    "SELECT application_name, flush_lsn FROM pg_stat_replication"
    " WHERE state = 'streaming'";
/* Reads the setting that contains the number of the last promotion, see
 * kPromotionPrefix. */
static const char kConninfoSql[] = "SHOW primary_conninfo";
static const char kReloadSql[] = "SELECT pg_reload_conf()";
static const char kPromoteSql[] = "SELECT pg_promote(true, 5)";

/* Prefix of the promotion number in the member's primary_conninfo.  There the
 * number survives a restart of the member. */
static const char kPromotionPrefix[] = "promotion_";

enum {
    kStatusIntervalUs = 150000,
    kStatusActiveIntervalUs = 50000, /* during kStaleReadsActiveUs */
    kReplicationGapUs = 500,
    kSampleMinIntervalUs = 20000,
    kSampleIdleIntervalUs = 1000000, /* after kStaleReadsActiveUs */
    kSamplesPerStaleness = 10, /* samples in the lowest staleness limit */
    /* For this long after a read that accepts stale data, the member and the
     * primary's position are queried more often. */
    kStaleReadsActiveUs = 5000000,
    kStreamTimeoutUs = 300000, /* a stream without messages is lost */
    kCommandPollsMax = 50,     /* status queries until a command fails */
    kPositionRadix = 16,       /* of both parts of a log position */
    kPositionLowBits = 32,     /* bits of the part after the slash */
};

/* Parses a log position in PostgreSQL's format, as "16/B374D848".  Returns
 * FALSE if the text is not a position. */
gboolean
log_position_parse(const char *text, uint64_t *position)
{
    char *end = NULL;
    uint64_t high = g_ascii_strtoull(text, &end, kPositionRadix);
    if (end == text || *end != '/') {
        return FALSE;
    }
    const char *rest = end + 1;
    uint64_t low = g_ascii_strtoull(rest, &end, kPositionRadix);
    if (end == rest || *end != '\0') {
        return FALSE;
    }
    *position = (high << kPositionLowBits) | low;
    return TRUE;
}

/* Returns a log position in a row, zero if it is NULL or malformed. */
static uint64_t
position_of(const json_t *row, const char *name)
{
    uint64_t position = 0;
    const char *text = json_text_or(row, name, NULL);
    if (text != NULL) {
        log_position_parse(text, &position);
    }
    return position;
}

/* Returns a boolean in a row, which may be a JSON boolean, a number or
 * PostgreSQL's "t". */
static gboolean
flag_of(const json_t *row, const char *name)
{
    const json_t *value = json_object_get(row, name);
    return json_is_true(value) || json_integer_value(value) != 0 ||
           strcmp(json_text_or(row, name, ""), "t") == 0;
}

/* ---- status ---- */

/* Removes the samples whose position the replica has replayed, and updates
 * data_as_of_us, the time up to which its data is complete. */
static void
apply_samples(Pool *p)
{
    while (p->primary_samples.length > 0) {
        PrimarySample *s = g_queue_peek_head(&p->primary_samples);
        if (s->position.term != p->status.replayed.term ||
            s->position.position > p->status.replayed.position) {
            return;
        }
        p->data_as_of_us = MAX(p->data_as_of_us, s->as_of_us);
        g_free(g_queue_pop_head(&p->primary_samples));
    }
}

/* Updates whether the replication stream is alive: the time at which the
 * replica received its last message must have changed within
 * kStreamTimeoutUs.  That time is only checked for changes, since it comes
 * from the clock of the member. */
static void
update_stream(Pool *p, uint64_t now_us, const json_t *row)
{
    MemberStatus *s = &p->status;
    const json_t *value = json_object_get(row, "heard");
    char *receipt = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    gboolean changed =
        s->receivers > 0 && g_strcmp0(receipt, s->stream_last_receipt) != 0;

    if (changed) {
        s->stream_last_seen_us = now_us;
        g_free(s->stream_last_receipt);
        s->stream_last_receipt = g_strdup(receipt);
    }
    free(receipt);
    gboolean alive =
        s->receivers > 0 && now_us - s->stream_last_seen_us < kStreamTimeoutUs;
    if (alive != s->stream_alive) {
        s->stream_alive = alive;
        lease_health_changed(p->core);
    }
}

/* Records that the member has answered a query. */
static void
record_reachable(Pool *p)
{
    if (p->unreachable_since_us != 0 || !p->ever_reached) {
        lease_health_changed(p->core);
    }
    p->unreachable_since_us = 0;
    p->ever_reached = TRUE;
}

/* Records the status row of a query that was sent at query_sent_us.  Returns
 * FALSE if the row has no timeline. */
gboolean
monitor_record_status(Pool *p, uint64_t now_us, uint64_t query_sent_us,
                      const json_t *row)
{
    MemberStatus *s = &p->status;
    uint64_t timeline = (uint64_t)json_integer_or(row, "timeline", 0);
    gboolean in_recovery = flag_of(row, "in_recovery");

    if (timeline == 0) {
        metrics_count(&p->core->metrics, kMetricPeerGarbage);
        return FALSE;
    }
    if (s->known &&
        (in_recovery != s->in_recovery || timeline != s->timeline)) {
        p->records_ready = FALSE;
        lease_health_changed(p->core);
    }
    s->known = TRUE;
    s->in_recovery = in_recovery;
    s->timeline = timeline;
    s->received = (LogPosition){timeline, position_of(row, "received")};
    s->replayed = (LogPosition){timeline, position_of(row, "replayed")};
    s->receivers = (uint32_t)json_integer_or(row, "receivers", 0);
    s->query_sent_us = query_sent_us;
    s->last_seen_us = now_us;
    update_stream(p, now_us, row);
    record_reachable(p);
    apply_samples(p);
    return TRUE;
}

/* Sends the status query. */
static void
query_status(Pool *p, uint64_t now_us)
{
    p->monitor_state = kMonitorStatus;
    pool_send(p->monitor, now_us, kQueryTimeoutUs, kStatusSql, 0, NULL);
}

/* ---- majority ---- */

static int
compare_descending(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? 1 : x > y ? -1 : 0;
}

/* Updates the position that a majority of the declared members has flushed,
 * from the rows of the replication query. */
static void
record_replication(Pool *p, uint64_t now_us, const json_t *rows)
{
    const DatabaseInfo *d = pool_database(p);
    uint64_t flushed[kCatalogMembersMax] = {0};
    size_t i;
    json_t *row;

    if (d == NULL || p->status.in_recovery) {
        return;
    }
    /* The primary itself counts as having every position. */
    flushed[catalog_member_index(d, p->member)] = UINT64_MAX;
    json_array_foreach((json_t *)rows, i, row)
    {
        int32_t m =
            catalog_member_index(d, json_text_or(row, "application_name", ""));
        if (m >= 0) {
            flushed[m] = MAX(flushed[m], position_of(row, "flush_lsn"));
        }
    }
    qsort(flushed, d->member_count, sizeof(flushed[0]), compare_descending);
    p->majority_position = flushed[d->member_count / 2];
    p->majority_term = p->status.timeline;
    job_majority_check(p, now_us);
}

/* Sends the query for the positions that the replicas have flushed. */
static void
query_replication(Pool *p, uint64_t now_us)
{
    p->monitor_state = kMonitorReplication;
    pool_send(p->monitor, now_us, kQueryTimeoutUs, kReplicationSql, 0, NULL);
}

/* Queries the replicas' positions if no query is running.  Must be called when
 * a commit begins to wait for a majority; the query repeats while any commit
 * waits. */
void
monitor_poll_majority(Pool *p, uint64_t now_us)
{
    if (p->monitor != NULL && p->monitor_state == kMonitorIdle) {
        query_replication(p, now_us);
    }
}

/* ---- commands of the leader ---- */

static void
pending_command_free(PendingCommand *c)
{
    sw__member_command__free_unpacked(c->command, NULL);
    g_free(c->from);
    g_free(c);
}

/* Sends the result of a command to the control instance that sent it. */
static void
command_reply(Pool *p, const PendingCommand *c, gboolean ok, const char *error)
{
    Sw__MemberResult r = SW__MEMBER_RESULT__INIT;
    r.database = p->database;
    r.member = p->member;
    r.action = c->command->action;
    r.promotion = c->command->promotion;
    r.ok = ok;
    r.error = (char *)error;
    r.timeline = p->status.timeline;
    r.position = p->status.received.position;
    r.in_recovery = p->status.in_recovery;
    entry_send(p->core, c->from, 0, SW__FRAME__BODY_MEMBER_RESULT, &r);
}

/* Ends the first command of the queue and sends its result. */
static void
command_end(Pool *p, uint64_t now_us, gboolean ok, const char *error)
{
    PendingCommand *c = g_queue_pop_head(&p->commands);
    if (!ok) {
        g_message("command to %s failed: %s", p->name, error);
    }
    command_reply(p, c, ok, error);
    pending_command_free(c);
    p->monitor_state = kMonitorIdle;
    p->monitor_next_us = now_us;
}

/* Returns the primary_conninfo that a command sets; the caller frees it.  A
 * fenced member gets an address at which no server listens, so that it
 * receives nothing more. */
static char *
conninfo_for(const Pool *p, const Sw__MemberCommand *c)
{
    if (c->action == SW__MEMBER_ACTION__MEMBER_FENCE) {
        return g_strdup_printf(
            "host=127.0.0.1 port=1 "
            "fallback_application_name=%s%" G_GUINT64_FORMAT,
            kPromotionPrefix, c->promotion);
    }
    char **parts = g_strsplit(c->target_address, ":", 2);
    char *text = g_strdup_printf(
        "host=%s port=%s application_name=%s "
        "fallback_application_name=%s%" G_GUINT64_FORMAT,
        parts[0], parts[0] == NULL || parts[1] == NULL ? "0" : parts[1],
        p->member, kPromotionPrefix, c->promotion);
    g_strfreev(parts);
    return text;
}

/* Starts a step of a command by sending its query. */
static void
command_run(Pool *p, uint64_t now_us, PendingCommand *c, CommandStep step)
{
    c->step = step;
    p->monitor_state = kMonitorCommand;
    switch (step) {
    case kCommandCheckPromotion:
        pool_send(p->monitor, now_us, kQueryTimeoutUs, kConninfoSql, 0, NULL);
        break;
    case kCommandSetConninfo: {
        char *conninfo = conninfo_for(p, c->command);
        char *sql = g_strdup_printf("ALTER SYSTEM SET primary_conninfo = '%s'",
                                    conninfo);
        pool_send(p->monitor, now_us, kSecondUs, sql, 0, NULL);
        g_free(sql);
        g_free(conninfo);
        break;
    }
    case kCommandReload:
        pool_send(p->monitor, now_us, kSecondUs, kReloadSql, 0, NULL);
        break;
    case kCommandPromote:
        pool_send(p->monitor, now_us, kSecondUs, kPromoteSql, 0, NULL);
        break;
    case kCommandStatus:
        pool_send(p->monitor, now_us, kQueryTimeoutUs, kStatusSql, 0, NULL);
        break;
    }
}

/* Returns the number of the promotion that last set the member's
 * primary_conninfo, which row contains; zero if no promotion did. */
static uint64_t
conninfo_promotion(const json_t *row)
{
    const char *conninfo = json_text_or(row, "primary_conninfo", "");
    const char *prefix = strstr(conninfo, kPromotionPrefix);
    return prefix == NULL
               ? 0
               : g_ascii_strtoull(prefix + strlen(kPromotionPrefix), NULL, 10);
}

/* Continues a command after the query for primary_conninfo.  The command fails
 * if a later promotion has changed the member, or if it is to promote a member
 * that was not fenced for the same promotion. */
static void
on_conninfo(Pool *p, uint64_t now_us, PendingCommand *c, const json_t *row)
{
    uint64_t last = conninfo_promotion(row);
    gboolean promote = c->command->action == SW__MEMBER_ACTION__MEMBER_PROMOTE;

    if (last > c->command->promotion) {
        command_end(p, now_us, FALSE, "a later promotion was here");
        return;
    }
    if (promote && last != c->command->promotion && p->status.in_recovery) {
        command_end(p, now_us, FALSE, "not fenced for this promotion");
        return;
    }
    command_run(p, now_us, c, promote ? kCommandPromote : kCommandSetConninfo);
}

/* Ends a command once the status row shows its effect.  Otherwise repeats the
 * status query, up to kCommandPollsMax times, after which the command
 * fails. */
static void
on_command_status(Pool *p, uint64_t now_us, PendingCommand *c,
                  const json_t *row)
{
    Sw__MemberAction action = c->command->action;
    monitor_record_status(p, now_us, p->monitor->query_sent_us, row);
    gboolean waiting =
        (action == SW__MEMBER_ACTION__MEMBER_FENCE &&
         p->status.receivers > 0) ||
        (action == SW__MEMBER_ACTION__MEMBER_PROMOTE && p->status.in_recovery);
    if (waiting && c->polls++ < kCommandPollsMax) {
        command_run(p, now_us, c, kCommandStatus);
        return;
    }
    command_end(p, now_us, !waiting, waiting ? "took no effect" : "");
}

/* Continues or ends the running command after the result of its query. */
static void
on_command_result(Pool *p, uint64_t now_us, const BackendResult *result)
{
    PendingCommand *c = g_queue_peek_head(&p->commands);
    const json_t *row = json_array_get(result->rows, 0);

    if (result->status != kBackendOk) {
        char *error = g_strdup(result->message);
        command_end(p, now_us, FALSE, error);
        g_free(error);
        return;
    }
    switch (c->step) {
    case kCommandCheckPromotion:
        on_conninfo(p, now_us, c, row);
        break;
    case kCommandSetConninfo:
        command_run(p, now_us, c, kCommandReload);
        break;
    case kCommandReload:
    case kCommandPromote:
        command_run(p, now_us, c, kCommandStatus);
        break;
    case kCommandStatus:
        on_command_status(p, now_us, c, row);
        break;
    }
}

/* Queues a command of the control leader.  Drops a command that is queued
 * already, and a command of an earlier promotion than the current one, which
 * was delayed or comes from a former leader. */
void
pool_member_command(EntryCore *e, uint64_t now_us, const char *from,
                    const Sw__MemberCommand *c)
{
    const DatabaseInfo *d = catalog_database(e->catalog, c->database);
    if (d == NULL || c->promotion < d->promotion ||
        catalog_member_index(d, c->member) < 0) {
        return;
    }
    Pool *p = pool_get(e, now_us, c->database, c->member);
    for (GList *l = p->commands.head; l != NULL; l = l->next) {
        const PendingCommand *known = l->data;
        if (known->command->action == c->action &&
            known->command->promotion == c->promotion) {
            return;
        }
    }
    PendingCommand *added = g_new0(PendingCommand, 1);
    added->from = g_strdup(from);
    added->command = message_copy(c);
    g_queue_push_tail(&p->commands, added);
    if (p->monitor != NULL && p->monitor_state == kMonitorIdle) {
        command_run(p, now_us, added, kCommandCheckPromotion);
    }
}

/* ---- connection of the monitor ---- */

/* Frees the queued commands and samples of a monitor. */
void
monitor_clear(Pool *p)
{
    while (p->commands.length > 0) {
        pending_command_free(g_queue_pop_head(&p->commands));
    }
    g_queue_clear_full(&p->primary_samples, g_free);
}

/* Handles the loss of the monitor's connection: the member becomes
 * unreachable and all queued commands fail. */
void
monitor_lost(Pool *p, uint64_t now_us)
{
    if (p->monitor != NULL) {
        pool_connection_drop(p->monitor, now_us);
    }
    p->monitor_state = kMonitorOff;
    p->monitor_next_us = now_us + kReconnectDelayUs;
    while (p->commands.length > 0) {
        PendingCommand *c = g_queue_pop_head(&p->commands);
        command_reply(p, c, FALSE, "connection lost");
        pending_command_free(c);
    }
    if (p->unreachable_since_us == 0) {
        p->unreachable_since_us = now_us;
        lease_health_changed(p->core);
    }
}

/* Handles the end of the monitor's connection attempt; ok is FALSE if it
 * failed. */
void
monitor_connected(Pool *p, uint64_t now_us, gboolean ok)
{
    if (!ok) {
        monitor_lost(p, now_us);
        return;
    }
    p->monitor->state = kConnectionIdle;
    query_status(p, now_us);
}

/* Starts the next command; if there is none, the replication query if a commit
 * waits for a majority. */
static void
start_next_query(Pool *p, uint64_t now_us)
{
    PendingCommand *c = g_queue_peek_head(&p->commands);
    if (c != NULL) {
        command_run(p, now_us, c, kCommandCheckPromotion);
        return;
    }
    p->monitor_state = kMonitorIdle;
    if (p->awaiting_majority->len > 0) {
        query_replication(p, now_us);
    }
}

/* Handles the result of the monitor's query. */
void
monitor_result(Pool *p, uint64_t now_us, const BackendResult *result)
{
    if (p->monitor_state == kMonitorCommand) {
        on_command_result(p, now_us, result);
        if (p->monitor != NULL && p->monitor_state == kMonitorIdle) {
            start_next_query(p, now_us);
        }
        return;
    }
    if (result->status != kBackendOk) {
        monitor_lost(p, now_us);
        return;
    }
    if (p->monitor_state == kMonitorReplication) {
        record_replication(p, now_us, result->rows);
        if (p->awaiting_majority->len > 0 && p->commands.length == 0) {
            query_replication(p, now_us);
            return;
        }
        start_next_query(p, now_us);
        return;
    }
    monitor_record_status(p, now_us, p->monitor->query_sent_us,
                          json_array_get(result->rows, 0));
    start_next_query(p, now_us);
}

/* ---- age of a replica's data ---- */

/* Adds a sample, which says that the primary was at a position at as_of_us.
 * Drops every other sample if there are too many. */
static void
add_sample(Pool *p, LogPosition at, uint64_t as_of_us)
{
    PrimarySample *s = g_new(PrimarySample, 1);
    *s = (PrimarySample){at, as_of_us};
    if (p->primary_samples.length >= kMaxPrimarySamples) {
        /* The replica is far behind.  Drop every other sample but keep the
         * oldest, without which the age of its data would stay unknown for a
         * long time. */
        gboolean drop = FALSE;
        for (GList *l = p->primary_samples.head; l != NULL;) {
            GList *next = l->next;
            if (drop) {
                g_free(l->data);
                g_queue_delete_link(&p->primary_samples, l);
            }
            drop = !drop;
            l = next;
        }
    }
    g_queue_push_tail(&p->primary_samples, s);
    apply_samples(p);
}

/* Replies to a request for the position of the primary with the last known
 * one and the age of the status query that returned it. */
void
pool_position_request(EntryCore *e, uint64_t now_us, const char *from,
                      uint64_t frame_id, const Sw__PositionRequest *r)
{
    Sw__PositionReply reply = SW__POSITION_REPLY__INIT;
    const DatabaseInfo *d = catalog_database(e->catalog, r->database);

    if (d != NULL && d->primary >= 0) {
        Pool *p = pool_get(e, now_us, r->database, d->members[d->primary].id);
        p->last_stale_read_us = now_us;
        reply.known = p->status.known && pool_is_primary(p) &&
                      !p->status.in_recovery && p->status.timeline == d->term;
        reply.term = p->status.replayed.term;
        reply.position = p->status.replayed.position;
        reply.age_us = now_us - p->status.query_sent_us;
    }
    entry_send(e, from, frame_id, SW__FRAME__BODY_POSITION_REPLY, &reply);
}

/* A request for the primary's position that has no reply yet. */
typedef struct {
    char *pool; /* name of the pool of the replica */
    uint64_t sent_us;
} PositionQuery;

static void
position_query_free(void *data)
{
    PositionQuery *q = data;
    g_free(q->pool);
    g_free(q);
}

/* Creates the table of position queries without a reply, by frame id. */
GHashTable *
position_queries_new(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                 position_query_free);
}

/* Handles a reply with the primary's position.  The data of a replica that
 * has replayed this position is complete as of the time of the request, minus
 * the age of the position in the reply. */
void
pool_position_reply(EntryCore *e, uint64_t now_us, uint64_t frame_id,
                    const Sw__PositionReply *r)
{
    PositionQuery *q = g_hash_table_lookup(e->position_queries, &frame_id);
    (void)now_us;
    if (q == NULL) {
        return;
    }
    Pool *p = g_hash_table_lookup(e->pools, q->pool);
    if (p != NULL && r->known && r->age_us < q->sent_us) {
        add_sample(p, (LogPosition){r->term, r->position},
                   q->sent_us - r->age_us);
    }
    g_hash_table_remove(e->position_queries, &frame_id);
}

static gboolean
position_query_expired(void *key, void *value, void *ctx)
{
    (void)key;
    return *(uint64_t *)ctx - ((PositionQuery *)value)->sent_us > kSecondUs;
}

/* Returns the interval between queries for the primary's position:
 * kSamplesPerStaleness queries within the lowest staleness limit of recent
 * reads. */
static uint64_t
sample_interval_us(const Pool *p, uint64_t now_us)
{
    if (now_us - p->last_stale_read_us >= kStaleReadsActiveUs) {
        return kSampleIdleIntervalUs;
    }
    return CLAMP(p->min_staleness_us / kSamplesPerStaleness,
                 kSampleMinIntervalUs, kSampleIdleIntervalUs);
}

/* Gets the next sample of the primary's position for a replica once
 * next_primary_sample_us is reached: from the local pool if this instance owns
 * the primary's connections, otherwise by a request to the owner. */
static void
query_primary_position(Pool *p, uint64_t now_us)
{
    EntryCore *e = p->core;
    const DatabaseInfo *d = pool_database(p);
    const InstanceInfo *owners[kOwnerRanksMax];

    if (now_us < p->next_primary_sample_us || !p->status.in_recovery ||
        d == NULL || d->primary < 0 || !d->stable ||
        router_owners(e, d, d->primary, owners) == 0) {
        return;
    }
    p->next_primary_sample_us = now_us + sample_interval_us(p, now_us);
    g_hash_table_foreach_remove(e->position_queries, position_query_expired,
                                &now_us);
    if (strcmp(owners[0]->id, e->config.id) == 0) {
        Pool *primary =
            pool_get(e, now_us, p->database, d->members[d->primary].id);
        primary->last_stale_read_us = now_us;
        if (primary->status.known && !primary->status.in_recovery &&
            primary->status.timeline == d->term) {
            add_sample(p, primary->status.replayed,
                       primary->status.query_sent_us);
        }
        return;
    }
    Sw__PositionRequest r = SW__POSITION_REQUEST__INIT;
    r.database = p->database;
    uint64_t frame_id = entry_next_frame_id(e);
    PositionQuery *q = g_new(PositionQuery, 1);
    *q = (PositionQuery){g_strdup(p->name), now_us};
    uint64_t *key = g_new(uint64_t, 1);
    *key = frame_id;
    g_hash_table_insert(e->position_queries, key, q);
    entry_send(e, owners[0]->id, frame_id, SW__FRAME__BODY_POSITION_REQUEST,
               &r);
}

/* ---- time ---- */

/* Updates the time since which the member has been failing.  A promotion
 * restarts this time, because members stop and reconnect while they change to
 * the new primary. */
static void
update_health(Pool *p, uint64_t now_us)
{
    const DatabaseInfo *d = pool_database(p);
    gboolean healthy = p->ever_reached && p->unreachable_since_us == 0 &&
                       (p->status.stream_alive || !p->status.in_recovery);

    if (d != NULL && d->promotion != p->promotion) {
        p->promotion = d->promotion;
        p->seen_healthy = FALSE;
        p->failing_since_us = healthy ? 0 : now_us;
    }
    if (healthy) {
        p->seen_healthy = TRUE;
        p->failing_since_us = 0;
    }
    else if (p->failing_since_us == 0) {
        p->failing_since_us = now_us;
    }
}

/* Runs the timers: reconnects, sends the periodic queries, and drops a
 * connection whose query has timed out. */
void
monitor_tick(Pool *p, uint64_t now_us)
{
    gboolean active = now_us - p->last_stale_read_us < kStaleReadsActiveUs;

    update_health(p, now_us);
    if (p->monitor == NULL) {
        if (now_us >= p->monitor_next_us) {
            p->monitor = pool_connection_open(p, now_us, TRUE);
            p->monitor_state = kMonitorConnecting;
            p->monitor_next_us = now_us + kReconnectDelayUs;
        }
        return;
    }
    gboolean waiting =
        p->monitor->in_query || p->monitor->state == kConnectionConnecting;
    if (waiting && now_us >= p->monitor->deadline_us) {
        metrics_count(&p->core->metrics, kMetricPoolUnresponsive);
        p->suspect_before_us =
            MAX(p->suspect_before_us, p->monitor->opened_us + 1);
        monitor_lost(p, now_us);
        p->monitor_next_us = now_us;
        return;
    }
    if (p->monitor_state == kMonitorIdle && now_us >= p->monitor_next_us) {
        p->monitor_next_us =
            now_us + (active ? kStatusActiveIntervalUs : kStatusIntervalUs);
        query_status(p, now_us);
    }
    query_primary_position(p, now_us);
}

/* Appends the health of every monitored member to out, for the control leader.
 * The caller owns each Sw__MemberHealth, but not its strings, which belong to
 * the pools.  Returns the length of out. */
size_t
pool_health(EntryCore *e, uint64_t now_us, GPtrArray *out)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->pools);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Pool *p = value;
        if (p->monitor == NULL && p->unreachable_since_us == 0) {
            continue;
        }
        Sw__MemberHealth *h = g_new(Sw__MemberHealth, 1);
        sw__member_health__init(h);
        h->database = p->database;
        h->member = p->member;
        h->reachable = p->ever_reached && p->unreachable_since_us == 0;
        h->stream_alive = p->status.stream_alive;
        h->in_recovery = p->status.in_recovery;
        h->timeline = p->status.timeline;
        h->position = p->status.received.position;
        h->seen_fine = p->seen_healthy;
        h->promotion = p->promotion;
        h->failing_us =
            p->failing_since_us == 0 ? 0 : now_us - p->failing_since_us;
        g_ptr_array_add(out, h);
    }
    return out->len;
}
