#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "member.h"

/* Announces the stand-in to the entry instances, as the backend servers of the
 * platform do: at every interval to two of them, in rotation. */

/* State of the announcements of one member. */
typedef struct {
    Member *member;
    struct event *timer;
    uint32_t next_entry; /* counter; modulo their number, an index */
} Announcer;

/* Ignores the response: a lost announcement is not sent again, since the next
 * one follows after the interval. */
static void
on_response(struct evhttp_request *request, void *ctx)
{
    (void)request;
    (void)ctx;
}

/* Sends an announcement to one entry instance. */
static void
post(Announcer *a, const char *entry, const char *text)
{
    Member *m = a->member;
    char **parts = g_strsplit(entry, ":", 2);
    struct evhttp_connection *connection = evhttp_connection_base_new(
        m->base, NULL, parts[0],
        (uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
    struct evhttp_request *request = evhttp_request_new(on_response, a);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char *authorization =
        g_strconcat("Bearer ", m->settings.platform_key, NULL);

    evhttp_connection_set_timeout(connection, 2);
    evhttp_connection_free_on_completion(connection);
    evhttp_add_header(headers, "Host", entry);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Authorization", authorization);
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    evhttp_make_request(connection, request, EVHTTP_REQ_POST,
                        "/v1/announcements");
    g_free(authorization);
    g_strfreev(parts);
}

/* Announces the member, unless a fault prevents it. */
static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    Announcer *a = ctx;
    Member *m = a->member;
    uint32_t count = g_strv_length(m->settings.entries);

    (void)fd;
    (void)what;
    if (count == 0 || m->faults.no_announcements || m->faults.partitioned ||
        m->faults.frozen) {
        return;
    }
    json_t *body =
        json_pack("{s:s, s:s, s:s, s:s, s:b}", "database",
                  m->settings.database, "member", m->settings.name, "address",
                  m->settings.address, "failure_domain",
                  m->settings.failure_domain, "leaving", m->faults.leaving);
    char *text = json_dumps(body, JSON_COMPACT);
    /* Two entry instances, so that the announcement arrives when one is
     * down. */
    for (uint32_t i = 0; i < MIN(count, 2); i++) {
        post(a, m->settings.entries[a->next_entry++ % count], text);
    }
    free(text);
    json_decref(body);
}

/* Sends the first announcement and starts the timer for the others. */
void
announce_start(Member *m)
{
    Announcer *a = g_new0(Announcer, 1);
    struct timeval interval = {
        (time_t)(m->settings.announce_interval_us / 1000000),
        (suseconds_t)(m->settings.announce_interval_us % 1000000)};
    a->member = m;
    a->next_entry = m->settings.ordinal;
    a->timer = event_new(m->base, -1, EV_PERSIST, on_timer, a);
    event_add(a->timer, &interval);
    on_timer(-1, 0, a);
}
