#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "member.h"

/* The replica's side of log shipping: follows the member that
 * primary_conninfo names, stores what it receives at once and replays it
 * after the lag. */

enum {
    kFollowRequest = 0x53574652,
    kRetryUs = 50000,
    kSilenceUs = 500000,
};

typedef struct {
    uint64_t position;
    gint64 due_us;
} Replay;

struct Follower {
    Member *member;
    struct bufferevent *bev;
    gboolean streaming;
    char heard[32];
    gint64 heard_us;
    gint64 retry_us;
    GQueue replays; /* Replay */
};

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

static void
disconnect(Follower *f)
{
    if (f->bev != NULL) {
        bufferevent_free(f->bev);
        f->bev = NULL;
    }
    f->streaming = FALSE;
    f->retry_us = g_get_monotonic_time() + kRetryUs;
}

static void
put_line(Follower *f, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);
    bufferevent_write(f->bev, text, strlen(text));
    bufferevent_write(f->bev, "\n", 1);
    free(text);
    json_decref(line);
}

/* The log here is no prefix of the primary's: it is dropped and copied
 * anew, as the platform's rewind would do. */
static void
start_over(Follower *f)
{
    Member *m = f->member;
    GError *error = NULL;

    g_message("the log differs from the primary's and is copied anew");
    sessions_close_all(m);
    g_queue_clear_full(&f->replays, g_free);
    if (!store_reset(m->store, &error)) {
        g_critical("%s", error->message);
        g_error_free(error);
    }
}

static void
take_entry(Follower *f, const json_t *line)
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
    Replay *r = g_new(Replay, 1);
    *r = (Replay){entry.position,
                  g_get_monotonic_time() + (gint64)m->faults.lag_us};
    g_queue_push_tail(&f->replays, r);
    put_line(f, json_pack("{s:I}", "flushed",
                          (json_int_t)store_received(m->store)));
}

static void
take_line(Follower *f, const json_t *line)
{
    Member *m = f->member;
    f->heard_us = g_get_monotonic_time();
    g_snprintf(f->heard, sizeof(f->heard), "%" G_GINT64_FORMAT, f->heard_us);
    if (json_object_get(line, "timeline") != NULL) {
        if (json_is_true(json_object_get(line, "reset"))) {
            start_over(f);
        }
        store_set_role(
            m->store, TRUE,
            (uint64_t)json_integer_value(json_object_get(line, "timeline")));
        f->streaming = TRUE;
        return;
    }
    if (json_object_get(line, "position") != NULL) {
        take_entry(f, line);
    }
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    Follower *f = ctx;
    char *text;

    if (f->member->faults.frozen || f->member->faults.cut) {
        return;
    }
    while (f->bev == bev &&
           (text = evbuffer_readln(bufferevent_get_input(bev), NULL,
                                   EVBUFFER_EOL_LF)) != NULL) {
        json_t *line = json_loads(text, 0, NULL);
        free(text);
        if (line != NULL) {
            take_line(f, line);
        }
        json_decref(line);
    }
    follower_tick(f->member);
}

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
    put_line(f, json_pack("{s:s, s:I, s:I}", "follow",
                          f->member->settings.name, "position",
                          (json_int_t)store_received(f->member->store), "term",
                          (json_int_t)store_last_term(f->member->store)));
}

static void
connect_now(Follower *f)
{
    Member *m = f->member;
    char *host = conninfo_value(store_conninfo(m->store), "host");
    char *port = conninfo_value(store_conninfo(m->store), "port");
    struct sockaddr_storage address;
    int length = sizeof(address);
    char *text = g_strdup_printf("%s:%s", host == NULL ? "" : host,
                                 port == NULL ? "" : port);

    f->retry_us = g_get_monotonic_time() + kRetryUs;
    if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
                                   &length) == 0) {
        f->heard_us = g_get_monotonic_time();
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

/* Follows what primary_conninfo names from now on. */
void
follower_start(Member *m)
{
    Follower *f = follower_get(m);
    disconnect(f);
    f->retry_us = 0;
}

/* Follows nobody. */
void
follower_stop(Member *m)
{
    disconnect(follower_get(m));
}

/* Tells whether a primary's stream is open. */
gboolean
follower_receiving(const Member *m)
{
    return m->follower != NULL && m->follower->streaming;
}

/* Returns a mark that changes with every word of the primary. */
const char *
follower_heard(const Member *m)
{
    return m->follower == NULL ? "" : m->follower->heard;
}

/* Lets time pass: replays what is due, connects again. */
void
follower_tick(Member *m)
{
    Follower *f = follower_get(m);
    gint64 now_us = g_get_monotonic_time();

    if (m->faults.frozen) {
        return;
    }
    while (f->replays.length > 0) {
        Replay *r = g_queue_peek_head(&f->replays);
        if (r->due_us > now_us) {
            break;
        }
        g_free(g_queue_pop_head(&f->replays));
        store_replay_next(m->store);
    }
    if (f->replays.length == 0 && m->faults.lag_us == 0) {
        while (store_replay_next(m->store)) {
        }
    }
    if (!store_in_recovery(m->store) || m->faults.cut) {
        return;
    }
    if (f->bev != NULL && now_us - f->heard_us > kSilenceUs) {
        disconnect(f);
    }
    if (f->bev == NULL && now_us >= f->retry_us) {
        connect_now(f);
    }
}
