#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "adapter/log.h"
#include "adapter/program.h"
#include "member.h"

/* sapphireweir-standin: emulates a PostgreSQL server, as member of a database
 * group, in tests and the quick start.  It speaks wire protocol 3.0 to libpq,
 * stores its data in SQLite, ships its log to replicas and simulates faults on
 * command. */

enum {
    kTimerMs = 5,
    kHeartbeatTicks = 8,  /* timer ticks between two heartbeats */
    kTimelineStride = 16, /* larger than every member's ordinal */
};

/* ---- the member's role ---- */

/* Returns TRUE while the stream from the primary is open. */
static gboolean
on_receiving(void *ctx)
{
    return follower_receiving(ctx);
}

static const char *
on_last_seen(void *ctx)
{
    return follower_last_seen(ctx);
}

static char *
on_replicas(void *ctx)
{
    return sessions_replicas(ctx);
}

static void
on_reload(void *ctx)
{
    ((Member *)ctx)->reload_requested = TRUE;
}

static void
on_promote(void *ctx)
{
    ((Member *)ctx)->promote_requested = TRUE;
}

static void
on_committed(void *ctx)
{
    sessions_ship(ctx);
}

/* Makes a replica the primary, on a new timeline, after it has replayed its
 * whole log.  Does nothing on a primary. */
static void
promote(Member *m)
{
    if (!store_in_recovery(m->store)) {
        return;
    }
    follower_stop(m);
    while (store_replay_next(m->store)) {
    }
    /* Two members that are promoted from the same timeline must get different
     * ones, as PostgreSQL servers with a shared archive do; so the timeline
     * contains the member's ordinal. */
    uint64_t stride = store_timeline(m->store) / kTimelineStride + 1;
    store_set_role(m->store, FALSE,
                   stride * kTimelineStride + m->settings.ordinal);
    g_message("promoted, timeline %" G_GUINT64_FORMAT,
              store_timeline(m->store));
}

/* Follows the member that primary_conninfo names.  A primary becomes a
 * replica. */
static void
reload(Member *m)
{
    if (!store_in_recovery(m->store)) {
        g_message("now a replica, following %s", store_conninfo(m->store));
        store_set_role(m->store, TRUE, store_timeline(m->store));
    }
    follower_start(m);
}

/* Applies the promotion or reload that a statement requested.  Must be called
 * after the statement has ended. */
void
member_apply_requests(Member *m)
{
    if (m->promote_requested) {
        m->promote_requested = FALSE;
        promote(m);
    }
    if (m->reload_requested) {
        m->reload_requested = FALSE;
        reload(m);
    }
}

/* Runs the follower's periodic work; on a primary, sends a heartbeat to the
 * replicas every kHeartbeatTicks ticks. */
static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    static uint32_t ticks;
    Member *m = ctx;

    (void)fd;
    (void)what;
    follower_tick(m);
    if (++ticks % kHeartbeatTicks == 0 && !store_in_recovery(m->store) &&
        !m->faults.frozen && !m->faults.partitioned) {
        sessions_heartbeat(m);
    }
}

/* ---- start ---- */

/* Runs the SQL file of a new primary and appends it to the log as the first
 * entry.  Does nothing without a file or when the log is not empty. */
static gboolean
run_init_sql(Member *m, GError **error)
{
    char *text = NULL;
    if (m->settings.init_sql == NULL || store_received(m->store) > 0) {
        return TRUE;
    }
    if (!g_file_get_contents(m->settings.init_sql, &text, NULL, error)) {
        return FALSE;
    }
    sqlite3 *db = store_connect(m->store);
    char *why = NULL;
    json_t *statements = json_pack("[s]", text);
    sqlite3_exec(db, "BEGIN IMMEDIATE", NULL, NULL, NULL);
    gboolean ok = sqlite3_exec(db, text, NULL, NULL, &why) == SQLITE_OK &&
                  store_append(m->store, db, statements);
    if (!ok) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: %s",
                    m->settings.init_sql, why == NULL ? "failed" : why);
    }
    sqlite3_free(why);
    json_decref(statements);
    sqlite3_close(db);
    g_free(text);
    return ok;
}

/* Stores the primary to follow, on the first start.  Without one, an empty
 * member becomes the primary and runs its SQL file.  A role that is already
 * stored is kept. */
static gboolean
set_initial_role(Member *m, GError **error)
{
    if (m->settings.primary != NULL) {
        if (store_conninfo(m->store)[0] == '\0') {
            char **parts = g_strsplit(m->settings.primary, ":", 2);
            char *conninfo =
                g_strdup_printf("host=%s port=%s", parts[0], parts[1]);
            store_set_conninfo(m->store, conninfo);
            g_free(conninfo);
            g_strfreev(parts);
        }
        return TRUE;
    }
    if (store_received(m->store) == 0 && store_conninfo(m->store)[0] == '\0') {
        store_set_role(m->store, FALSE, 1);
    }
    return store_in_recovery(m->store) || run_init_sql(m, error);
}

/* Command line options that are not stored in MemberSettings as they are. */
typedef struct {
    char *listen;
    char *faults;
    char *entries;
    int slots;
    int connections;
    int connect_ms;
    int service_us;
    int announce_ms;
    int lag_ms;
    int ordinal;
} Arguments;

/* Parses the command line and checks that the required options are there. */
static gboolean
parse_arguments(int argc, char **argv, Arguments *a, MemberSettings *s,
                GError **error)
{
    const GOptionEntry entries[] = {
        {"name", 0, 0, G_OPTION_ARG_STRING, &s->name, "Member id", "ID"},
        {"database", 0, 0, G_OPTION_ARG_STRING, &s->database, "Database group",
         "NAME"},
        {"failure-domain", 0, 0, G_OPTION_ARG_STRING, &s->failure_domain,
         "Failure domain of the member", "NAME"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &a->listen, "Port for clients",
         "IP:PORT"},
        {"announce-address", 0, 0, G_OPTION_ARG_STRING, &s->address,
         "Address to announce (that of --listen)", "IP:PORT"},
        {"faults", 0, 0, G_OPTION_ARG_STRING, &a->faults, "Command port",
         "IP:PORT"},
        {"data", 0, 0, G_OPTION_ARG_FILENAME, &s->folder, "Data folder",
         "FOLDER"},
        {"primary", 0, 0, G_OPTION_ARG_STRING, &s->primary,
         "Primary to follow at first", "IP:PORT"},
        {"init-sql", 0, 0, G_OPTION_ARG_FILENAME, &s->init_sql,
         "SQL a new primary runs first", "FILE"},
        {"entries", 0, 0, G_OPTION_ARG_STRING, &a->entries,
         "Entry instances to announce to", "IP:PORT,..."},
        {"platform-key", 0, 0, G_OPTION_ARG_STRING, &s->platform_key,
         "Key for announcements", "KEY"},
        {"ordinal", 0, 0, G_OPTION_ARG_INT, &a->ordinal,
         "Index in the group, from 0", "N"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &a->slots,
         "Concurrent transactions (3)", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &a->connections,
         "Concurrent connections (25)", "N"},
        {"connect-ms", 0, 0, G_OPTION_ARG_INT, &a->connect_ms,
         "Duration of a client's start-up (10)", "MS"},
        {"service-us", 0, 0, G_OPTION_ARG_INT, &a->service_us,
         "Duration of a statement (0)", "US"},
        {"announce-ms", 0, 0, G_OPTION_ARG_INT, &a->announce_ms,
         "Announcement interval (700)", "MS"},
        {"lag-ms", 0, 0, G_OPTION_ARG_INT, &a->lag_ms, "Lag of replay (0)",
         "MS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(context,
                                 "A stand-in for a PostgreSQL group member.");
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, &argc, &argv, error);
    g_option_context_free(context);
    if (ok && (s->name == NULL || s->database == NULL || a->listen == NULL ||
               s->folder == NULL || a->faults == NULL)) {
        g_set_error_literal(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                            "--name, --database, --listen, --faults and "
                            "--data are required");
        return FALSE;
    }
    return ok;
}

/* Fills in the settings that are derived from other options or have a
 * default. */
static void
fill_settings(const Arguments *a, MemberSettings *s)
{
    if (s->address == NULL) {
        s->address = g_strdup(a->listen);
    }
    if (s->failure_domain == NULL) {
        s->failure_domain = g_strdup("");
    }
    if (s->platform_key == NULL) {
        s->platform_key = g_strdup("");
    }
    s->entries = g_strsplit(a->entries == NULL ? "" : a->entries, ",", -1);
    s->ordinal = (uint32_t)a->ordinal;
    s->slots = (uint32_t)a->slots;
    s->connections = (uint32_t)a->connections;
    s->connect_us = (uint64_t)a->connect_ms * 1000;
    s->service_us = (uint64_t)a->service_us;
    s->announce_interval_us = (uint64_t)a->announce_ms * 1000;
}

/* Opens the store, sets the member's role at its first start, and opens the
 * ports.  Returns FALSE and sets error when a step fails. */
static gboolean
start(Member *m, const Arguments *a, GError **error)
{
    StoreEvents events = {m,         on_receiving, on_last_seen, on_replicas,
                          on_reload, on_promote,   on_committed};
    struct event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    m->base = event_base_new_with_config(config);
    event_config_free(config);
    m->sessions = g_ptr_array_new();
    g_queue_init(&m->waiting);
    m->faults.lag_us = (uint64_t)a->lag_ms * 1000;
    m->store = store_open(m->settings.folder, &events, error);
    return m->store != NULL && set_initial_role(m, error) &&
           sessions_listen(m, a->listen, error) &&
           faults_listen(m, a->faults, error);
}

static void
on_stop(evutil_socket_t fd, short what, void *ctx)
{
    Member *m = ctx;
    (void)fd;
    (void)what;
    event_base_loopbreak(m->base);
}

int
main(int argc, char **argv)
{
    Arguments a = {
        .slots = 3, .connections = 25, .connect_ms = 10, .announce_ms = 700};
    Member m = {0};
    GError *error = NULL;
    struct timeval interval = {0, kTimerMs * 1000};

    if (!parse_arguments(argc, argv, &a, &m.settings, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return kExitUsage;
    }
    fill_settings(&a, &m.settings);
    log_start("sapphireweir-standin", m.settings.name, FALSE, FALSE);
    signal(SIGPIPE, SIG_IGN);
    if (!start(&m, &a, &error)) {
        g_critical("%s", error->message);
        return kExitFailure;
    }
    m.timer = event_new(m.base, -1, EV_PERSIST, on_timer, &m);
    event_add(m.timer, &interval);
    event_add(evsignal_new(m.base, SIGTERM, on_stop, &m), NULL);
    event_add(evsignal_new(m.base, SIGINT, on_stop, &m), NULL);
    announce_start(&m);
    event_base_dispatch(m.base);
    sessions_close_all(&m);
    store_close(m.store);
    return kExitOk;
}
