#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sanitizer/allocator_interface.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/peer.h"
#include "fuzz.h"

/* Fuzzes the port for peer links with the bytes of a sender that need not know
 * the secret.  Property: a link makes the process hold no more than its
 * account records.  libevent rounds buffers up to powers of two, hence the
 * factor. */

enum {
    kHeldFactor = 2,
    /* The records of a link, and the smallest part of each of its buffers. */
    kHeldSlackBytes = 16 << 10,
    kMemoryBytes = 64 << 20,
    kMaxHandshakes = 16,
    kMaxTurns = 1000, /* of the event loop, for one step */
    kMaxPieces = 64,
};

static struct event_base *base;
static Peer *peer;
static struct sockaddr_in peer_address;

static void
on_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    (void)ctx;
    (void)from;
    (void)frame;
}

static void
start(void)
{
    static const uint8_t secret[crypto_generichash_KEYBYTES];
    char address[32];
    socklen_t length = sizeof(peer_address);
    PeerEvents events = {.frame = on_frame};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    signal(SIGPIPE, SIG_IGN);
    g_assert(sodium_init() >= 0);
    peer_address.sin_family = AF_INET;
    peer_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert(bind(fd, (struct sockaddr *)&peer_address, length) == 0);
    g_assert(getsockname(fd, (struct sockaddr *)&peer_address, &length) == 0);
    close(fd);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               ntohs(peer_address.sin_port));
    base = event_base_new();
    peer = peer_new(base, "fuzz", 1, secret, address, &events, NULL);
    g_assert(peer != NULL);
    peer_set_limits(peer, kMemoryBytes, kMaxHandshakes);
}

/* Returns a counter of the links. */
static uint64_t
counter(const char *name)
{
    GString *text = g_string_new(NULL);
    char *wanted =
        g_strdup_printf("sapphireweir_%s{listener=\"peers\"} ", name);

    peer_limits_write(peer, text);
    const char *found = strstr(text->str, wanted);
    g_assert(found != NULL);
    uint64_t value = strtoull(found + strlen(wanted), NULL, 10);
    g_free(wanted);
    g_string_free(text, TRUE);
    return value;
}

/* Runs the event loop until a number of links is open. */
static void
run_until_open(uint64_t links)
{
    for (int i = 0; i < kMaxTurns && counter("client_connections") != links;
         i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

/* The first byte selects the size of the pieces that the rest arrives in. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (base == NULL) {
        start();
    }
    if (size < 1) {
        return 0;
    }
    size_t before = __sanitizer_get_current_allocated_bytes();
    size_t piece_bytes = MAX((size - 1) / kMaxPieces, (size_t)1 + data[0]);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert(connect(fd, (struct sockaddr *)&peer_address,
                     sizeof(peer_address)) == 0);
    run_until_open(1);
    for (size_t at = 1; at < size; at += piece_bytes) {
        if (send(fd, data + at, MIN(piece_bytes, size - at),
                 MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
            break;
        }
        for (int i = 0; i < 4; i++) {
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        ssize_t held =
            (ssize_t)(__sanitizer_get_current_allocated_bytes() - before);
        g_assert(held <= (ssize_t)(kHeldFactor * counter("client_held_bytes") +
                                   kHeldSlackBytes));
    }
    close(fd);
    run_until_open(0);
    return 0;
}
