#include "test_http_listener.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/clock.h"
#include "platform/http_clients.h"

/* The limits of an HTTP listener, with clients and ticks of the test itself in
 * one event loop and no process. */

enum {
    kMiB = 1 << 20,
    kMemoryBytes = 8 * kMiB, /* of all connections */
    kUploadBytes = 128 << 10,
    kMaxConnections = 8,
    kStepMs = 10,
    kMaxSteps = 200,
};

typedef struct {
    struct event_base *base;
    HttpClients *clients;
    uint16_t port;
    struct evhttp_request *waiting; /* its response comes later */
} Listener;

static Listener listener;

/* Keeps a request, as the control interface does until the director
 * answers. */
static void
on_request(struct evhttp_request *request, void *ctx)
{
    Listener *l = ctx;

    http_clients_pending(l->clients, request);
    l->waiting = request;
}

/* Starts a listener for the next test.  The program ends without freeing
 * it. */
static void
start_listener(void)
{
    static const BootLimits limits = {.max_http_connections = kMaxConnections,
                                      .startup_timeout_us = 1000000,
                                      .message_timeout_us = 1000000,
                                      .send_timeout_us = 1000000,
                                      .min_bytes_per_s = 100000};
    struct sockaddr_in at;
    socklen_t length = sizeof(at);

    signal(SIGPIPE, SIG_IGN);
    listener.base = event_base_new();
    struct evhttp *http = evhttp_new(listener.base);
    evhttp_set_gencb(http, on_request, &listener);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    g_assert(bound != NULL);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&at,
                &length);
    listener.port = ntohs(at.sin_port);
    listener.clients = http_clients_new(listener.base, http, &limits,
                                        kMemoryBytes, kMemoryBytes);
    http_clients_set_listener(listener.clients,
                              evhttp_bound_socket_get_listener(bound));
}

static void
run_step(void)
{
    struct timeval step = {0, kStepMs * 1000};
    event_base_loopexit(listener.base, &step);
    event_base_dispatch(listener.base);
}

/* Connects a client. */
static int
client_connect(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    at.sin_port = htons(listener.port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    return fd;
}

static void
client_send(int fd, const char *text, size_t bytes)
{
    CU_ASSERT_EQUAL(send(fd, text, bytes, MSG_NOSIGNAL), (ssize_t)bytes);
}

/* Sends a request and returns its connection once the request waits for its
 * response. */
static int
client_request(void)
{
    static const char text[] = "GET /config HTTP/1.1\r\nHost: x\r\n\r\n";
    int fd = client_connect();

    listener.waiting = NULL;
    client_send(fd, text, strlen(text));
    for (uint32_t i = 0; i < kMaxSteps && listener.waiting == NULL; i++) {
        run_step();
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener.waiting);
    return fd;
}

/* Responds to the waiting request with spaces and an empty object. */
static void
respond(size_t spaces)
{
    struct evbuffer *body = evbuffer_new();
    char *text = g_strnfill(spaces, ' ');

    evbuffer_add(body, text, spaces);
    evbuffer_add(body, "{}", 2);
    g_free(text);
    evhttp_send_reply(listener.waiting, HTTP_OK, NULL, body);
    evbuffer_free(body);
}

/* Returns what a client receives until the end of a response's body, until the
 * connection is closed or for some seconds.  The caller frees it. */
static char *
client_read(int fd)
{
    GString *text = g_string_new(NULL);
    char buffer[4096];
    ssize_t got = -1;

    for (uint32_t i = 0;
         i < kMaxSteps && got != 0 && !g_str_has_suffix(text->str, "{}");
         i++) {
        run_step();
        while ((got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
            g_string_append_len(text, buffer, got);
        }
    }
    return g_string_free(text, FALSE);
}

/* Returns whether the metrics have a line. */
static gboolean
metrics_have(const char *line)
{
    GString *text = g_string_new("\n");

    http_clients_metrics_write(listener.clients, text);
    char *whole = g_strdup_printf("\n%s\n", line);
    gboolean have = strstr(text->str, whole) != NULL;
    g_free(whole);
    g_string_free(text, TRUE);
    return have;
}

/* Guards against an answer that is cut off by the check of the time limits: it
 * was written in a tick, after the tick had read the clock, so that its start
 * lay ahead of the time of the check. */
static void
an_answer_given_in_a_tick_reaches_the_operator(void)
{
    int fd = client_request();
    uint64_t now_us = clock_now_us();

    while (clock_now_us() == now_us) {
    }
    respond(0);
    http_clients_tick(listener.clients, now_us);
    char *text = client_read(fd);
    CU_ASSERT(g_str_has_prefix(text, "HTTP/1.1 200 "));
    CU_ASSERT(g_str_has_suffix(text, "{}"));
    CU_ASSERT(metrics_have("sapphireweir_http_timeouts_total 0"));
    g_free(text);
    close(fd);
    run_step();
}

/* Guards against a request that is closed as soon as pressure begins: a large
 * answer to another connection puts the listener under pressure after the time
 * of the tick that asks whether pressure has lasted. */
static void
a_request_is_received_beside_an_answer_of_a_tick(void)
{
    char *body = g_strnfill(kUploadBytes, ' ');
    char *head = g_strdup_printf("PUT /config HTTP/1.1\r\nHost: x\r\n"
                                 "Content-Length: %u\r\n\r\n",
                                 2 * kUploadBytes);
    int reader = client_request();
    int writer = client_connect();

    client_send(writer, head, strlen(head));
    client_send(writer, body, kUploadBytes);
    run_step();
    uint64_t now_us = clock_now_us();
    while (clock_now_us() == now_us) {
    }
    respond(kMemoryBytes / 10 * 9);
    http_clients_tick(listener.clients, now_us);
    char *text = client_read(reader);
    CU_ASSERT(g_str_has_suffix(text, "{}"));
    g_free(text);
    listener.waiting = NULL;
    client_send(writer, body, kUploadBytes);
    for (uint32_t i = 0; i < kMaxSteps && listener.waiting == NULL; i++) {
        run_step();
        http_clients_tick(listener.clients, clock_now_us());
    }
    CU_ASSERT_PTR_NOT_NULL(listener.waiting);
    CU_ASSERT(metrics_have(
        "sapphireweir_client_victims_total{listener=\"http\"} 0"));
    if (listener.waiting != NULL) {
        respond(0);
        run_step();
    }
    close(reader);
    close(writer);
    run_step();
    g_free(head);
    g_free(body);
}

/* ---- log lines ---- */

static GString *log_lines;

/* Log handler: collects the messages. */
static void
collect_message(const char *domain, GLogLevelFlags level, const char *message,
                void *data)
{
    (void)domain;
    (void)level;
    (void)data;
    g_string_append_printf(log_lines, "%s\n", message);
}

/* Connects clients that send a text, and returns the last connection. */
static int
connect_clients(uint32_t count, const char *text)
{
    int fd = -1;

    for (uint32_t i = 0; i < count; i++) {
        fd = client_connect();
        client_send(fd, text, strlen(text));
        run_step();
    }
    return fd;
}

/* Guards against a closed connection of which neither the limit nor the client
 * is known. */
static void
a_limit_that_acts_is_named(void)
{
    static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    static const struct {
        uint32_t clients;
        const char *text;     /* that each sends */
        size_t respond_bytes; /* to the last request; zero: it waits */
        uint64_t advance_us;  /* until the tick */
        const char *limit;
        uint32_t count;
        const char *logged;
        int32_t last; /* client, counted back from the last one */
    } cases[] = {
        {1, "", 0, 1100000, "no-request", 1, "no complete request in time", 0},
        {3, "GET", 0, 1100000, "no-request", 3, "no complete request in time",
         -1},
        {1, request, 1, 121000000, "idle", 1, "idle", 0},
        {1, request, kMemoryBytes / 2, 1100000, "unread-output", 1,
         "output not read in time", 0},
        {kMaxConnections + 1, "", 0, 0, "made-room", 1, "made room", -1},
        {kMaxConnections + 2, request, 0, 0, "refused", 2, "refused", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        start_listener();
        log_lines = g_string_new(NULL);
        GLogFunc former = g_log_set_default_handler(collect_message, NULL);
        int fd = connect_clients(cases[i].clients, cases[i].text);
        if (cases[i].respond_bytes > 0) {
            respond(cases[i].respond_bytes);
            run_step();
        }
        for (uint32_t k = 0; k < 3; k++) {
            http_clients_tick(listener.clients, clock_now_us() +
                                                    cases[i].advance_us +
                                                    k * G_USEC_PER_SEC);
        }
        g_log_set_default_handler(former, NULL);

        char *metric = g_strdup_printf("sapphireweir_client_limits_total{"
                                       "listener=\"http\",limit=\"%s\"} %u",
                                       cases[i].limit, cases[i].count);
        CU_ASSERT(metrics_have(metric));
        char *start = g_strdup_printf(
            "http: limits for clients closed or refused %u connections; ",
            cases[i].count);
        CU_ASSERT(g_str_has_prefix(log_lines->str, start));
        struct sockaddr_in at;
        socklen_t length = sizeof(at);
        getsockname(fd, (struct sockaddr *)&at, &length);
        char *end =
            cases[i].last < 0
                ? g_strdup_printf("; %s %u; last client 127.0.0.1:",
                                  cases[i].logged, cases[i].count)
                : g_strdup_printf("; %s %u; last client 127.0.0.1:%u: %s\n",
                                  cases[i].logged, cases[i].count,
                                  ntohs(at.sin_port), cases[i].logged);
        CU_ASSERT_PTR_NOT_NULL(strstr(log_lines->str, end));
        /* One line, whatever the number of ticks. */
        CU_ASSERT_PTR_EQUAL(strchr(log_lines->str, '\n'),
                            log_lines->str + log_lines->len - 1);
        if (CU_get_number_of_failure_records() > 0) {
            printf("\n    case %zu: %s", i, log_lines->str);
        }
        g_free(metric);
        g_free(start);
        g_free(end);
        g_string_free(log_lines, TRUE);
        close(fd);
    }
}

void
add_http_listener_suite(const char *only)
{
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"an answer given in a tick reaches the operator",
         an_answer_given_in_a_tick_reaches_the_operator},
        {"a request is received beside an answer of a tick",
         a_request_is_received_beside_an_answer_of_a_tick},
        {"a limit that acts is named", a_limit_that_acts_is_named},
    };
    CU_pSuite s = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        if (only == NULL || strcmp(only, tests[i].name) == 0) {
            s = s == NULL
                    ? CU_add_suite_with_setup_and_teardown(
                          "HTTP listener", NULL, NULL, start_listener, NULL)
                    : s;
            CU_add_test(s, tests[i].name, tests[i].test);
        }
    }
}
