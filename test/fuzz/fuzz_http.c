#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sanitizer/allocator_interface.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/http.h"
#include "fuzz.h"

/* Fuzzes the HTTP server with the bytes of one connection.  Property: the
 * connection makes the process hold no more than its account records.
 * libevent rounds buffers up to powers of two, hence the factor. */

enum {
    kHeldFactor = 2,
    /* evhttp's records of a connection and a request, and the smallest part of
     * each of their buffers. */
    kHeldSlackBytes = 24 << 10,
    kMaxBodyBytes = 256 << 10,
    kMaxHeaderBytes = 16 << 10,
    kMaxConnections = 16,
    kMaxTurns = 1000, /* of the event loop, for one step */
    kMaxPieces = 64,
};

static struct event_base *base;
static Http *http;
static struct sockaddr_in server_address;
static gboolean responds; /* at once */
static uint64_t open_id;  /* of the request that waits; zero: none */

static void
respond(uint64_t id)
{
    static const char body[] = "{}";
    CallerResponse r = {.status = 200,
                        .content_type = "application/json",
                        .body = body,
                        .body_bytes = sizeof(body) - 1};
    http_respond(http, id, &r);
}

static void
on_request(void *ctx, const CallerRequest *r)
{
    (void)ctx;
    if (responds) {
        respond(r->id);
        return;
    }
    open_id = r->id;
}

static void
on_abandoned(void *ctx, uint64_t id)
{
    (void)ctx;
    (void)id;
    open_id = 0;
}

/* Starts the server at a port that is free. */
static void
start(void)
{
    static char address[32];
    socklen_t length = sizeof(server_address);
    HttpEvents events = {NULL, on_request, on_abandoned};
    HttpSettings settings = {.address = address,
                             .max_body_bytes = kMaxBodyBytes,
                             .max_header_bytes = kMaxHeaderBytes,
                             .max_requests = kMaxConnections,
                             .memory_bytes = 64 << 20,
                             .max_connections = kMaxConnections,
                             .message_timeout_us = 60000000,
                             .send_timeout_us = 60000000,
                             .min_bytes_per_s = 1};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    signal(SIGPIPE, SIG_IGN);
    server_address.sin_family = AF_INET;
    server_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert(bind(fd, (struct sockaddr *)&server_address, length) == 0);
    g_assert(getsockname(fd, (struct sockaddr *)&server_address, &length) ==
             0);
    close(fd);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               ntohs(server_address.sin_port));
    base = event_base_new();
    http = http_new(base, &settings, &events, NULL);
    g_assert(http != NULL);
}

/* Returns the present account of all connections. */
static Sw__ClientPressure
pressure(void)
{
    Sw__ClientPressure p;
    http_client_pressure(http, &p);
    return p;
}

/* Runs the event loop until a number of connections is open. */
static void
run_until_open(uint32_t connections)
{
    for (int i = 0; i < kMaxTurns && pressure().connections != connections;
         i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

/* The first byte selects whether requests get a response at once, the second
 * one the size of the pieces that the rest arrives in. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (base == NULL) {
        start();
    }
    if (size < 2) {
        return 0;
    }
    size_t before = __sanitizer_get_current_allocated_bytes();
    size_t piece_bytes = MAX((size - 2) / kMaxPieces, (size_t)1 + data[1]);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    responds = (data[0] & 1) != 0;
    open_id = 0;
    g_assert(connect(fd, (struct sockaddr *)&server_address,
                     sizeof(server_address)) == 0);
    run_until_open(1);
    for (size_t at = 2; at < size; at += piece_bytes) {
        if (send(fd, data + at, MIN(piece_bytes, size - at),
                 MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
            break;
        }
        for (int i = 0; i < 4; i++) {
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        size_t held = __sanitizer_get_current_allocated_bytes() - before;
        g_assert(
            (ssize_t)held <=
            (ssize_t)(kHeldFactor * pressure().held_bytes + kHeldSlackBytes));
    }
    if (open_id != 0) {
        respond(open_id);
    }
    close(fd);
    run_until_open(0);
    return 0;
}
