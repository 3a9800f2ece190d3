#include "adapter/net.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <string.h>

/* Sockets of this machine's programs: no name look-ups, and no connection
 * that hangs behind a partition. */

enum {
    kUserTimeoutMs = 800, /* sent bytes that nobody acknowledges */
    kKeepIdleSeconds = 2,
    kKeepIntervalSeconds = 1,
    kKeepProbes = 2,
};

/* Reads "IP:PORT". */
gboolean
net_parse_address(const char *text, struct sockaddr_in *out)
{
    int length = sizeof(*out);
    memset(out, 0, sizeof(*out));
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &length) ==
               0 &&
           out->sin_family == AF_INET;
}

/* Makes a dead peer show within about a second. */
void
net_tune(evutil_socket_t fd)
{
    int on = 1;
    int user_timeout_ms = kUserTimeoutMs;
    int idle = kKeepIdleSeconds;
    int interval = kKeepIntervalSeconds;
    int probes = kKeepProbes;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/* Opens a connection; NULL when it failed at once. */
struct bufferevent *
net_connect(struct event_base *base, const char *address,
            bufferevent_data_cb on_read, bufferevent_event_cb on_event,
            void *ctx)
{
    struct sockaddr_in to;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

    if (!net_parse_address(address, &to)) {
        bufferevent_free(bev);
        return NULL;
    }
    bufferevent_setcb(bev, on_read, NULL, on_event, ctx);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(bev, (struct sockaddr *)&to, sizeof(to)) !=
        0) {
        bufferevent_free(bev);
        return NULL;
    }
    net_tune(bufferevent_getfd(bev));
    return bev;
}
