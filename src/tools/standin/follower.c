#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "member.h"

/* The replica's side of log shipping: connects to the primary at the address
 * in the setting primary_conninfo, stores received log entries at once and
 * replays them after the lag. */

enum {
    kFollowRequest = 0x53574652, /* "SWFR", as in session.c */
    kReconnectDelayUs = 50000,
    kStreamTimeoutUs = 500000, /* several heartbeats of the primary */
};

/* A received log entry that waits for the end of the replay lag. */
typedef struct {
    uint64_t position;
    gint64 replay_at_us; /* monotonic clock */
} PendingReplay;

/* The stream from the primary; times are of the monotonic clock. */
struct Follower {
    Member *member;
    struct bufferevent *bev; /* NULL: not connected */
    gboolean streaming;      /* the primary has accepted the follower */
    char last_seen[32];      /* arrival of the last message, as text */
    gint64 last_seen_us;     /* last message, or start of the connection */
    gint64 next_connect_us;
    GQueue replays; /* PendingReplay, in log order */
};

/* Returns the value of a name=value pair in a conninfo, or NULL.  The caller
 * frees it. */
static char *
conninfo_value(const char *conninfo, const char *name)
{
    char **words = g_strsplit(conninfo, " ", -1);
    char *found = NULL;
    size_t length = strlen(name);

    for (char **w = words; *w != NULL && found == NULL; w++) {
        if (strncmp(*w, name, length) == 0 && (*w)[length] == '=') {
            found = g_strdup(*w + length + 1);
        }
    }
    g_strfreev(words);
    return found;
}

/* Returns the member's follower, and makes it on the first call. */
static Follower *
follower_get(Member *m)
{
    if (m->follower == NULL) {
        m->follower = g_new0(Follower, 1);
        m->follower->member = m;
        g_queue_init(&m->follower->replays);
    }
    return m->follower;
}

/* Closes the stream, if it is open, and schedules the next connection
 * attempt. */
static void
disconnect(Follower *f)
{
    if (f->bev != NULL) {
        bufferevent_free(f->bev);
        f->bev = NULL;
    }
    f->streaming = FALSE;
    f->next_connect_us = g_get_monotonic_time() + kReconnectDelayUs;
}

/* Sends a JSON line to the primary.  Takes ownership of the line. */
static void
send_line(Follower *f, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);
    bufferevent_write(f->bev, text, strlen(text));
    bufferevent_write(f->bev, "\n", 1);
    free(text);
    json_decref(line);
}

/* Deletes the data, since the local log is no prefix of the primary's; the
 * primary then ships its whole log.  On a real server, the platform runs a
 * rewind instead. */
static void
reset_log(Follower *f)
{
    Member *m = f->member;
    GError *error = NULL;

    g_message("the local log is not a prefix of the primary's; copying the "
              "primary's log from the start");
    sessions_close_all(m);
    g_queue_clear_full(&f->replays, g_free);
    if (!store_reset(m->store, &error)) {
        g_critical("%s", error->message);
        g_error_free(error);
    }
}

/* Stores a log entry, schedules its replay and acknowledges the received
 * position to the primary. */
static void
handle_entry(Follower *f, const json_t *line)
{
    Member *m = f->member;
    StoreEntry entry = {
        (uint64_t)json_integer_value(json_object_get(line, "position")),
        (uint64_t)json_integer_value(json_object_get(line, "term")),
        (char *)json_string_value(json_object_get(line, "sql")),
    };
    if (!store_receive(m->store, &entry)) {
        disconnect(f);
        return;
    }
    PendingReplay *r = g_new(PendingReplay, 1);
    *r = (PendingReplay){entry.position,
                         g_get_monotonic_time() + (gint64)m->faults.lag_us};
    g_queue_push_tail(&f->replays, r);
    send_line(f, json_pack("{s:I}", "flushed",
                           (json_int_t)store_received(m->store)));
}

/* Handles one message of the primary: its acceptance of the follower (with a
 * timeline), a log entry, or a heartbeat. */
static void
handle_line(Follower *f, const json_t *line)
{
    Member *m = f->member;
    f->last_seen_us = g_get_monotonic_time();
    g_snprintf(f->last_seen, sizeof(f->last_seen), "%" G_GINT64_FORMAT,
               f->last_seen_us);
    if (json_object_get(line, "timeline") != NULL) {
        if (json_is_true(json_object_get(line, "reset"))) {
            reset_log(f);
        }
        store_set_role(
            m->store, TRUE,
            (uint64_t)json_integer_value(json_object_get(line, "timeline")));
        f->streaming = TRUE;
        return;
    }
    if (json_object_get(line, "position") != NULL) {
        handle_entry(f, line);
    }
}

/* Handles the complete lines from the primary, then replays what is ready. */
static void
on_read(struct bufferevent *bev, void *ctx)
{
    Follower *f = ctx;
    char *text;

    if (f->member->faults.frozen || f->member->faults.partitioned) {
        return;
    }
    while (f->bev == bev &&
           (text = evbuffer_readln(bufferevent_get_input(bev), NULL,
                                   EVBUFFER_EOL_LF)) != NULL) {
        json_t *line = json_loads(text, 0, NULL);
        free(text);
        if (line != NULL) {
            handle_line(f, line);
        }
        json_decref(line);
    }
    follower_tick(f->member);
}

/* Sends the follow request once connected; closes the stream on an error. */
static void
on_event(struct bufferevent *bev, short what, void *ctx)
{
    Follower *f = ctx;
    (void)bev;
    if ((what & BEV_EVENT_CONNECTED) == 0) {
        disconnect(f);
        return;
    }
    uint32_t request[2] = {htonl(sizeof(request)), htonl(kFollowRequest)};
    bufferevent_write(f->bev, request, sizeof(request));
    send_line(
        f, json_pack("{s:s, s:I, s:I}", "follow", f->member->settings.name,
                     "position", (json_int_t)store_received(f->member->store),
                     "term", (json_int_t)store_last_term(f->member->store)));
}

/* Starts a connection to the address in primary_conninfo. */
static void
connect_to_primary(Follower *f)
{
    Member *m = f->member;
    char *host = conninfo_value(store_conninfo(m->store), "host");
    char *port = conninfo_value(store_conninfo(m->store), "port");
    struct sockaddr_storage address;
    int length = sizeof(address);
    char *text = g_strdup_printf("%s:%s", host == NULL ? "" : host,
                                 port == NULL ? "" : port);

    f->next_connect_us = g_get_monotonic_time() + kReconnectDelayUs;
    if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
                                   &length) == 0) {
        f->last_seen_us = g_get_monotonic_time();
        f->bev = bufferevent_socket_new(
            m->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(f->bev, on_read, NULL, on_event, f);
        bufferevent_enable(f->bev, EV_READ | EV_WRITE);
        if (bufferevent_socket_connect(f->bev, (struct sockaddr *)&address,
                                       length) != 0) {
            disconnect(f);
        }
    }
    g_free(text);
    g_free(host);
    g_free(port);
}

/* Follows the member that primary_conninfo names from now on.  The next
 * follower_tick connects. */
void
follower_start(Member *m)
{
    Follower *f = follower_get(m);
    disconnect(f);
    f->next_connect_us = 0;
}

/* Closes the stream from the primary.  While the member is a replica,
 * follower_tick connects again. */
void
follower_stop(Member *m)
{
    disconnect(follower_get(m));
}

/* Returns TRUE while the stream from the primary is open. */
gboolean
follower_receiving(const Member *m)
{
    return m->follower != NULL && m->follower->streaming;
}

/* Returns the time of the primary's last message as text, in microseconds
 * of the monotonic clock; empty before the first message.  The follower
 * owns it. */
const char *
follower_last_seen(const Member *m)
{
    return m->follower == NULL ? "" : m->follower->last_seen;
}

/* Replays the entries whose lag has elapsed.  On a replica also closes a
 * stream that timed out, and connects when there is none.  Called on every
 * timer tick and after each received batch. */
void
follower_tick(Member *m)
{
    Follower *f = follower_get(m);
    gint64 now_us = g_get_monotonic_time();

    if (m->faults.frozen) {
        return;
    }
    while (f->replays.length > 0) {
        PendingReplay *r = g_queue_peek_head(&f->replays);
        if (r->replay_at_us > now_us) {
            break;
        }
        g_free(g_queue_pop_head(&f->replays));
        store_replay_next(m->store);
    }
    if (f->replays.length == 0 && m->faults.lag_us == 0) {
        while (store_replay_next(m->store)) {
        }
    }
    if (!store_in_recovery(m->store) || m->faults.partitioned) {
        return;
    }
    if (f->bev != NULL && now_us - f->last_seen_us > kStreamTimeoutUs) {
        disconnect(f);
    }
    if (f->bev == NULL && now_us >= f->next_connect_us) {
        connect_to_primary(f);
    }
}
