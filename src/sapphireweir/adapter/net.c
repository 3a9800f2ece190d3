#include "adapter/net.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <string.h>

/* TCP connections between the processes.  Addresses are numeric, so that no
 * name lookup can block, and timeouts close a connection to a host that became
 * unreachable. */

enum {
    kUserTimeoutMs = 800, /* for sent bytes without acknowledgement */
    kKeepaliveIdleS = 2,  /* idle time before the first probe */
    kKeepaliveIntervalS = 1,
    kKeepaliveProbes = 2, /* without response before the close */
};

/* Parses an IPv4 "IP:PORT".  Returns FALSE if the text is not one. */
gboolean
net_parse_address(const char *text, struct sockaddr_in *out)
{
    int length = sizeof(*out);
    memset(out, 0, sizeof(*out));
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &length) ==
               0 &&
           out->sin_family == AF_INET;
}

/* Sets the options of a TCP socket: no Nagle delay, and timeouts that close
 * the connection to an unreachable peer, within about a second while sent data
 * is unacknowledged and by keepalive probes while the connection is idle. */
void
net_set_options(evutil_socket_t fd)
{
    int on = 1;
    int user_timeout_ms = kUserTimeoutMs;
    int idle_s = kKeepaliveIdleS;
    int interval_s = kKeepaliveIntervalS;
    int probes = kKeepaliveProbes;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/* Starts to open a connection to "IP:PORT".  Returns NULL if that fails at
 * once; a later failure is reported by on_event.  The caller frees the
 * bufferevent. */
struct bufferevent *
net_connect(struct event_base *base, const char *address,
            bufferevent_data_cb on_read, bufferevent_event_cb on_event,
            void *ctx)
{
    struct sockaddr_in remote;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

    if (!net_parse_address(address, &remote)) {
        bufferevent_free(bev);
        return NULL;
    }
    bufferevent_setcb(bev, on_read, NULL, on_event, ctx);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(bev, (struct sockaddr *)&remote,
                                   sizeof(remote)) != 0) {
        bufferevent_free(bev);
        return NULL;
    }
    net_set_options(bufferevent_getfd(bev));
    return bev;
}
