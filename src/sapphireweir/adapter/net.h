#ifndef SAPPHIREWEIR_ADAPTER_NET_H
#define SAPPHIREWEIR_ADAPTER_NET_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <netinet/in.h>

gboolean net_parse_address(const char *text, struct sockaddr_in *out);
void net_set_options(evutil_socket_t fd);
struct bufferevent *net_connect(struct event_base *base, const char *address,
                                bufferevent_data_cb on_read,
                                bufferevent_event_cb on_event, void *ctx);

#endif
