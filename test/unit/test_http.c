#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/clock.h"
#include "adapter/http.h"
#include "suite.h"

/* The HTTP server with clients of the test itself, in one event loop. */

enum {
    kMiB = 1 << 20,
    /* Far above what the two sockets take, a few MiB. */
    kResponseBytes = 20 * kMiB,
    kMaxClients = 4,
    kStepMs = 10,
};

typedef struct {
    Http *http;
    uint32_t requests;
    const char *team; /* of the next requests */
    char *body;       /* of all responses */
    size_t response_bytes;
    gboolean waits;      /* requests are not responded to at once */
    uint64_t waiting_id; /* last request without a response */
} Server;

static void
respond(Server *s, uint64_t id)
{
    CallerResponse response = {.status = 200,
                               .content_type = "text/plain",
                               .body = s->body,
                               .body_bytes = s->response_bytes};
    http_respond(s->http, id, &response);
}

/* Responds to a request of the present team, unless the server waits. */
static void
on_request(void *ctx, const CallerRequest *r)
{
    Server *s = ctx;

    s->requests++;
    http_set_team(s->http, r->id, s->team);
    if (s->waits) {
        s->waiting_id = r->id;
        return;
    }
    respond(s, r->id);
}

/* Responds to the request that waits, as work does that an abandoned request
 * made way for; at a later time than the event that found it abandoned. */
static void
on_abandoned(void *ctx, uint64_t request_id)
{
    Server *s = ctx;
    uint64_t now_us = clock_now_us();

    (void)request_id;
    while (clock_now_us() == now_us) {
    }
    respond(s, s->waiting_id);
}

/* Returns a port that is free now. */
static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t length = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert(bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0);
    g_assert(getsockname(fd, (struct sockaddr *)&at, &length) == 0);
    close(fd);
    return ntohs(at.sin_port);
}

static void
run_for(struct event_base *base, uint32_t ms)
{
    struct timeval step = {ms / 1000, ms % 1000 * 1000};
    event_base_loopexit(base, &step);
    event_base_dispatch(base);
}

/* Sends a request whose response is not read, and returns its connection once
 * the server has responded. */
static int
send_request(Server *s, struct event_base *base, uint16_t port)
{
    static const char text[] = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
    struct sockaddr_in at = {.sin_family = AF_INET};
    int receive_bytes = 4096;
    uint32_t before = s->requests;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    CU_ASSERT_EQUAL(send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL),
                    sizeof(text) - 1);
    for (uint32_t i = 0; i < 200 && s->requests == before; i++) {
        run_for(base, kStepMs);
    }
    CU_ASSERT_EQUAL(s->requests, before + 1);
    return fd;
}

/* Returns whether the server has closed a connection. */
static gboolean
is_closed(int fd)
{
    static char buffer[kMiB];
    ssize_t got;
    size_t bytes = 0;

    while ((got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
        bytes += (size_t)got;
    }
    return got == 0 || (got < 0 && errno != EAGAIN);
}

/* Log handler: keeps the last message. */
static char last_message[512];

static void
keep_message(const char *domain, GLogLevelFlags level, const char *message,
             void *data)
{
    (void)domain;
    (void)level;
    (void)data;
    g_strlcpy(last_message, message, sizeof(last_message));
}

/* Returns whether the metrics have a line. */
static gboolean
metrics_have(const Http *http, const char *line)
{
    GString *text = g_string_new("\n");
    char *whole = g_strdup_printf("\n%s\n", line);

    http_write_metrics(http, text);
    gboolean have = strstr(text->str, whole) != NULL;
    g_free(whole);
    g_string_free(text, TRUE);
    return have;
}

/* Guards against a team that uses all the memory that clients may use, and
 * against limits that close more of its connections than needed, or those of
 * another team.  A team may use 48 of 64 MiB. */
static void
a_team_uses_its_part_only(void)
{
    static const struct {
        const char *team;
        uint32_t requests;
        uint32_t closed;
    } cases[] = {
        {"crews", 2, 0}, /* 40 MiB */
        {"crews", 3, 1}, /* 60 MiB */
        {NULL, 3, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        Server s = {.team = "others",
                    .body = g_malloc0(kResponseBytes),
                    .response_bytes = kMiB};
        HttpEvents events = {&s, on_request, on_abandoned};
        uint16_t port = free_port();
        char *address = g_strdup_printf("127.0.0.1:%u", port);
        HttpSettings settings = {.address = address,
                                 .max_body_bytes = kMiB,
                                 .max_header_bytes = 16 << 10,
                                 .max_requests = kMaxClients,
                                 .memory_bytes = 64 * kMiB,
                                 .max_connections = kMaxClients,
                                 .message_timeout_us = 60000000,
                                 .send_timeout_us = 60000000,
                                 .min_bytes_per_s = 1};
        int fds[kMaxClients];
        uint32_t closed = 0;

        s.http = http_new(base, &settings, &events, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s.http);
        last_message[0] = '\0';
        GLogFunc former = g_log_set_default_handler(keep_message, NULL);
        int other = send_request(&s, base, port);
        s.team = cases[i].team;
        s.response_bytes = kResponseBytes;
        for (uint32_t k = 0; k < cases[i].requests; k++) {
            fds[k] = send_request(&s, base, port);
        }
        run_for(base, 300);
        for (uint32_t k = 0; k < cases[i].requests; k++) {
            closed += is_closed(fds[k]);
            close(fds[k]);
        }
        g_log_set_default_handler(former, NULL);
        CU_ASSERT_EQUAL(closed, cases[i].closed);
        char *limit =
            g_strdup_printf("sapphireweir_client_limits_total{"
                            "listener=\"http\",limit=\"over-limit\"} %u",
                            closed);
        CU_ASSERT(metrics_have(s.http, limit));
        g_free(limit);
        CU_ASSERT_EQUAL(
            closed > 0,
            g_str_has_prefix(last_message, "closed a caller's connection: it "
                                           "holds too much memory; ") &&
                strstr(last_message, "; client 127.0.0.1:") != NULL);
        Sw__ClientPressure p;
        http_client_pressure(s.http, &p);
        CU_ASSERT_EQUAL(p.max_connections, kMaxClients);
        CU_ASSERT_EQUAL(p.max_bytes, 64 * kMiB);
        CU_ASSERT_EQUAL(p.connections, 1 + cases[i].requests - closed);
        CU_ASSERT(p.held_bytes > (p.connections - 1) * 16 * kMiB);
        CU_ASSERT_EQUAL(p.closed_memory, closed);
        CU_ASSERT_EQUAL(p.closed_slow + p.closed_replaced, 0);
        CU_ASSERT_EQUAL(p.rejected_connections + p.rejected_requests, 0);
        CU_ASSERT_FALSE(is_closed(other));
        close(other);
        http_free(s.http);
        event_base_free(base);
        g_free(s.body);
        g_free(address);
    }
}

/* Guards against a response that is cut off by the check of the time limits:
 * it began within the check, when a request was found abandoned, after the
 * check had read the clock. */
static void
a_response_that_begins_in_the_sweep_is_sent(void)
{
    struct event_base *base = event_base_new();
    Server s = {.body = g_malloc0(kMiB), .response_bytes = 2, .waits = TRUE};
    HttpEvents events = {&s, on_request, on_abandoned};
    uint16_t port = free_port();
    char *address = g_strdup_printf("127.0.0.1:%u", port);
    HttpSettings settings = {.address = address,
                             .max_body_bytes = kMiB,
                             .max_header_bytes = 16 << 10,
                             .max_requests = kMaxClients,
                             .memory_bytes = 64 * kMiB,
                             .max_connections = kMaxClients,
                             .message_timeout_us = 60000000,
                             .send_timeout_us = 60000000,
                             .min_bytes_per_s = 1};
    char text[256] = "";

    s.http = http_new(base, &settings, &events, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s.http);
    int abandoned = send_request(&s, base, port);
    int waiting = send_request(&s, base, port);
    close(abandoned);
    run_for(base, 300);
    CU_ASSERT(recv(waiting, text, sizeof(text) - 1, MSG_DONTWAIT) > 0);
    CU_ASSERT(g_str_has_prefix(text, "HTTP/1.1 200 "));
    Sw__ClientPressure p;
    http_client_pressure(s.http, &p);
    CU_ASSERT_EQUAL(p.closed_slow, 0);
    CU_ASSERT_FALSE(is_closed(waiting));
    close(waiting);
    http_free(s.http);
    event_base_free(base);
    g_free(s.body);
    g_free(address);
}

void
add_http_suite(void)
{
    CU_pSuite s = CU_add_suite("HTTP server", NULL, NULL);
    CU_add_test(s, "a team uses its part only", a_team_uses_its_part_only);
    CU_add_test(s, "a response that begins in the sweep is sent",
                a_response_that_begins_in_the_sweep_is_sent);
}
