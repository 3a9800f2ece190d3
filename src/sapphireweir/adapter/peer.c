#include "adapter/peer.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>

#include "adapter/clock.h"
#include "core/error.h"
#include "core/histogram.h"
#include "core/message.h"
#include "core/traffic.h"
#include "policy/memory_budget.h"

/* Authenticated and encrypted links between the processes of a cluster.
 *
 * Each side sends a random nonce.  Both derive one key for each direction
 * from the cluster's secret and the two nonces, so that a link needs the
 * secret and recorded traffic cannot be replayed.  Each side then sends a
 * stream header and length-prefixed frames, encrypted and authenticated in
 * order (libsodium secretstream).  The first frame is a hello with the
 * instance id of the sender. */

enum {
    kNonceBytes = 32,
    /* Limits without peer_set_limits. */
    kFrameMaxBytes = 64 << 20,  /* encrypted, without the length prefix */
    kQueueMaxBytes = 128 << 20, /* unsent bytes of one link */
    /* Smallest limit of a frame: a log entry with the largest configuration,
     * 16 MiB, must fit. */
    kFrameMinLimitBytes = 20 << 20,
    kHelloMaxBytes = 4 << 10, /* a frame before the peer's hello */
    kReadAheadBytes = 64 << 10,
    kTimerIntervalMs = 100, /* interval of heartbeat and dial checks */
    kHeartbeatIntervalMs = 300,
    kLinkTimeoutMs = 1100,     /* three heartbeats and a slow response */
    kHandshakeTimeoutMs = 500, /* for connecting and each handshake step */
    kUserTimeoutMs = 800,      /* for sent bytes without acknowledgement */
    kIdleAfterMs = 1000,       /* a link without frames for longer is idle */
    kIdleHeartbeatIntervalMs = 60000, /* a large fleet has many idle links */
    kIdleLinkTimeoutMs = 130000,      /* two heartbeats, a slow response */
    kRedialDelayMs = 150,
    kMicrosPerMilli = 1000,
    kMaxEagerPeers = 48, /* with more known peers, links open on demand */
};

/* Handshake state of a link. */
typedef enum {
    kLinkDialing,
    kLinkNonce,  /* waiting for the peer's nonce */
    kLinkHeader, /* waiting for the peer's stream header */
    kLinkHello,  /* waiting for the peer's hello frame */
    kLinkUp,
} LinkState;

/* One connection to another process, established or in the handshake. */
typedef struct {
    Peer *peer;
    struct bufferevent *bev;
    LinkState state;
    gboolean dialed;            /* FALSE: accepted from the peer */
    gboolean foreign;           /* the peer is in another failure domain */
    MemoryAccount *account;     /* NULL without limits */
    gboolean paused;            /* reading is, by the budget */
    char *id;                   /* of the peer, NULL until known */
    uint8_t nonce[kNonceBytes]; /* sent to the peer */
    /* Key of received frames, kept until the stream header arrives. */
    uint8_t pull_key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
    crypto_secretstream_xchacha20poly1305_state push; /* sent frames */
    crypto_secretstream_xchacha20poly1305_state pull; /* received frames */
    gint64 last_seen_us;   /* last received data; see also peer_send */
    gint64 last_active_us; /* last frame except heartbeats, both directions */
    gint64 last_sent_us;   /* last frame sent, heartbeats included */
} Link;

/* Another instance: its address and the links to it. */
typedef struct {
    char *id;
    char *address;       /* peer port, "IP:PORT"; NULL: unknown */
    Link *dialed;        /* opened from here, also in the handshake, or NULL */
    Link *accepted;      /* opened by the instance and up, or NULL */
    gint64 next_dial_us; /* earliest time of the next connection attempt */
} Remote;

struct Peer {
    struct event_base *base;
    char *id;
    uint64_t incarnation;
    uint8_t secret[crypto_generichash_KEYBYTES];
    PeerEvents events;
    struct evconnlistener *listener;
    struct event *timer;
    GHashTable *remotes;     /* id -> Remote */
    GPtrArray *links;        /* all Link, in any state */
    uint64_t rejected_links; /* closed because of invalid data */
    MemoryBudget *budget;    /* of all links, NULL without limits */
    size_t max_frame_bytes;
    size_t max_queue_bytes;
    uint32_t max_handshakes; /* accepted links that are not up; zero: any */
    uint32_t n_handshakes;
    uint64_t dropped_handshakes; /* closed in favour of newer ones */
    uint64_t unsent_frames;      /* beyond a limit of the queues */
    gboolean accept_paused;      /* no descriptor was left */
    Traffic sent;
    Traffic received;
    char *failure_domain; /* of this process, NULL: not stated */
    DomainTraffic domain_sent;
    DomainTraffic domain_received;
    GQueue loopback; /* frames that this instance sent to itself */
    struct event *loopback_event;
};

static void link_read(struct bufferevent *bev, void *ctx);
static void link_event(struct bufferevent *bev, short events, void *ctx);

static void
remote_free(void *data)
{
    Remote *r = data;
    g_free(r->id);
    g_free(r->address);
    g_free(r);
}

/* Returns the Remote of an instance; creates it if missing. */
static Remote *
remote_get(Peer *p, const char *id)
{
    Remote *r = g_hash_table_lookup(p->remotes, id);
    if (r == NULL) {
        r = g_new0(Remote, 1);
        r->id = g_strdup(id);
        g_hash_table_insert(p->remotes, r->id, r);
    }
    return r;
}

/* ---- links ---- */

/* Sets the socket options of a link: no Nagle delay, and a time limit for
 * unacknowledged data. */
static void
link_set_options(evutil_socket_t fd)
{
    int on = 1;
    int user_timeout_ms = kUserTimeoutMs;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}

/* Creates a link on an accepted socket, or for dialing if fd is -1. */
static Link *
link_new(Peer *p, evutil_socket_t fd, gboolean dialed)
{
    Link *l = g_new0(Link, 1);

    l->peer = p;
    l->dialed = dialed;
    l->last_seen_us = (gint64)clock_now_us();
    l->last_active_us = l->last_seen_us;
    l->bev = bufferevent_socket_new(
        p->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(l->bev, link_read, NULL, link_event, l);
    bufferevent_enable(l->bev, EV_READ | EV_WRITE);
    bufferevent_setwatermark(l->bev, EV_READ, 0, kReadAheadBytes);
    if (fd >= 0) {
        link_set_options(fd);
    }
    if (!dialed) {
        p->n_handshakes++;
    }
    if (p->budget != NULL) {
        l->account =
            memory_account_open(p->budget, (uint64_t)l->last_seen_us, "peers");
        if (l->account != NULL) {
            memory_account_set_owner(l->account, l);
        }
    }
    g_ptr_array_add(p->links, l);
    return l;
}

/* Closes and frees a link without reporting it. */
static void
link_free(Link *l)
{
    Peer *p = l->peer;
    Remote *r = l->id == NULL ? NULL : g_hash_table_lookup(p->remotes, l->id);

    if (r != NULL && r->dialed == l) {
        r->dialed = NULL;
    }
    if (r != NULL && r->accepted == l) {
        r->accepted = NULL;
    }
    if (!l->dialed && l->state != kLinkUp) {
        p->n_handshakes--;
    }
    if (l->account != NULL) {
        memory_account_close(l->account);
    }
    g_ptr_array_remove(p->links, l);
    bufferevent_free(l->bev);
    g_free(l->id);
    g_free(l);
}

/* Closes a link and reports it as down if it was up. */
static void
link_close(Link *l)
{
    Peer *p = l->peer;
    gboolean was_up = l->state == kLinkUp;
    char *id = g_strdup(l->id);

    link_free(l);
    if (was_up && id != NULL && p->events.down != NULL) {
        p->events.down(p->events.ctx, id);
    }
    g_free(id);
}

/* Records what the link holds and pauses or resumes its reading.  Returns
 * FALSE if it must be closed. */
static gboolean
link_account(Link *l, uint64_t now_us)
{
    if (l->account == NULL) {
        return TRUE;
    }
    MemoryVerdict verdict = memory_account_set(
        l->account, now_us,
        evbuffer_get_length(bufferevent_get_input(l->bev)) +
            evbuffer_get_length(bufferevent_get_output(l->bev)));

    if (verdict == kMemoryPause && !l->paused) {
        bufferevent_disable(l->bev, EV_READ);
    }
    if (verdict == kMemoryOk && l->paused) {
        bufferevent_enable(l->bev, EV_READ);
    }
    l->paused = verdict == kMemoryPause;
    return verdict != kMemoryClose;
}

/* Closes a link because of invalid data: a frame that is malformed or does not
 * decrypt, or a wrong hello. */
static void
link_reject(Link *l)
{
    Peer *p = l->peer;
    p->rejected_links++;
    if (p->events.link_rejected != NULL) {
        p->events.link_rejected(p->events.ctx);
    }
    link_close(l);
}

static void
link_send_nonce(Link *l)
{
    randombytes_buf(l->nonce, sizeof(l->nonce));
    bufferevent_write(l->bev, l->nonce, sizeof(l->nonce));
}

/* Derives the key for the frames that the dialer sends, if from_dialer is set,
 * or that the acceptor sends. */
static void
derive_direction_key(const Peer *p, const uint8_t *dialer_nonce,
                     const uint8_t *acceptor_nonce, gboolean from_dialer,
                     uint8_t *key)
{
    uint8_t text[2 * kNonceBytes + 1];
    memcpy(text, dialer_nonce, kNonceBytes);
    memcpy(text + kNonceBytes, acceptor_nonce, kNonceBytes);
    text[2 * kNonceBytes] = from_dialer ? 'd' : 'a';
    crypto_generichash(key, crypto_secretstream_xchacha20poly1305_KEYBYTES,
                       text, sizeof(text), p->secret, sizeof(p->secret));
}

/* Returns the largest frame that a link may receive now, encrypted.  A sender
 * that has not shown that it knows the secret gets little memory. */
static size_t
max_frame_bytes(const Link *l)
{
    return l->state == kLinkUp ? l->peer->max_frame_bytes
                               : (size_t)kHelloMaxBytes;
}

/* Returns the memory that an unpacked frame may take: that of the largest
 * frame, and a part for its structures. */
static size_t
max_unpacked_bytes(const Link *l)
{
    size_t bytes = max_frame_bytes(l);
    return bytes + bytes / 4;
}

/* Encrypts a frame and queues it on a link.  Returns FALSE if it is larger
 * than the limit. */
static gboolean
link_write_frame(Link *l, const Sw__Frame *frame)
{
    size_t plain_bytes = sw__frame__get_packed_size(frame);
    size_t sealed_bytes =
        plain_bytes + crypto_secretstream_xchacha20poly1305_ABYTES;

    if (sealed_bytes > l->peer->max_frame_bytes) {
        return FALSE;
    }
    uint8_t *plain = g_malloc(plain_bytes + 1);
    uint8_t *sealed = g_malloc(sealed_bytes + sizeof(uint32_t));
    uint32_t prefix = htonl((uint32_t)sealed_bytes);

    sw__frame__pack(frame, plain);
    memcpy(sealed, &prefix, sizeof(prefix));
    crypto_secretstream_xchacha20poly1305_push(
        &l->push, sealed + sizeof(prefix), NULL, plain, plain_bytes, NULL, 0,
        crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
    bufferevent_write(l->bev, sealed, sealed_bytes + sizeof(prefix));
    l->last_sent_us = (gint64)clock_now_us();
    traffic_count(&l->peer->sent, frame, sealed_bytes + sizeof(prefix));
    if (l->foreign) {
        domain_traffic_count(&l->peer->domain_sent, frame,
                             sealed_bytes + sizeof(prefix));
    }
    g_free(sealed);
    g_free(plain);
    return TRUE;
}

static void
link_send_hello(Link *l)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__Hello hello = SW__HELLO__INIT;

    hello.instance_id = l->peer->id;
    hello.incarnation = l->peer->incarnation;
    if (l->peer->failure_domain != NULL) {
        hello.failure_domain = l->peer->failure_domain;
    }
    frame.body_case = SW__FRAME__BODY_HELLO;
    frame.hello = &hello;
    link_write_frame(l, &frame);
}

/* Reads the peer's nonce, derives the keys and sends stream header and hello
 * frame.  Returns FALSE while the nonce is incomplete. */
static gboolean
link_read_nonce(Link *l, struct evbuffer *in)
{
    uint8_t peer_nonce[kNonceBytes];
    uint8_t push_key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
    uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];

    if (evbuffer_get_length(in) < sizeof(peer_nonce)) {
        return FALSE;
    }
    evbuffer_remove(in, peer_nonce, sizeof(peer_nonce));
    const uint8_t *dialer = l->dialed ? l->nonce : peer_nonce;
    const uint8_t *acceptor = l->dialed ? peer_nonce : l->nonce;
    derive_direction_key(l->peer, dialer, acceptor, l->dialed, push_key);
    derive_direction_key(l->peer, dialer, acceptor, !l->dialed, l->pull_key);
    crypto_secretstream_xchacha20poly1305_init_push(&l->push, header,
                                                    push_key);
    bufferevent_write(l->bev, header, sizeof(header));
    link_send_hello(l);
    l->state = kLinkHeader;
    return TRUE;
}

/* Reads the peer's stream header.  Returns FALSE while it is incomplete. */
static gboolean
link_read_header(Link *l, struct evbuffer *in)
{
    uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];

    if (evbuffer_get_length(in) < sizeof(header)) {
        return FALSE;
    }
    evbuffer_remove(in, header, sizeof(header));
    crypto_secretstream_xchacha20poly1305_init_pull(&l->pull, header,
                                                    l->pull_key);
    l->state = kLinkHello;
    return TRUE;
}

/* Marks a link as up after the peer's hello.  An older link to the same
 * instance in the same direction is closed. */
static void
link_up(Link *l, const Sw__Hello *hello)
{
    Peer *p = l->peer;
    Remote *r;

    g_free(l->id);
    l->id = g_strdup(hello->instance_id);
    r = remote_get(p, l->id);
    Link **slot = l->dialed ? &r->dialed : &r->accepted;
    if (*slot != NULL && *slot != l) {
        link_close(*slot);
    }
    *slot = l;
    if (!l->dialed) {
        p->n_handshakes--;
    }
    l->state = kLinkUp;
    if (p->events.up != NULL) {
        p->events.up(p->events.ctx, l->id);
    }
}

/* Handles one decrypted frame.  Returns FALSE if the link was closed. */
static gboolean
link_handle_frame(Link *l, const Sw__Frame *frame)
{
    Peer *p = l->peer;
    if (l->state == kLinkHello) {
        gboolean valid = frame->body_case == SW__FRAME__BODY_HELLO &&
                         frame->hello->instance_id[0] != '\0' &&
                         (!l->dialed || l->id == NULL ||
                          strcmp(l->id, frame->hello->instance_id) == 0);
        if (!valid) {
            link_reject(l);
            return FALSE;
        }
        const char *domain = frame->hello->failure_domain;
        l->foreign = p->failure_domain != NULL && domain[0] != '\0' &&
                     strcmp(domain, p->failure_domain) != 0;
        link_up(l, frame->hello);
        return TRUE;
    }
    if (frame->body_case == SW__FRAME__BODY_HEARTBEAT) {
        return TRUE;
    }
    l->last_active_us = l->last_seen_us;
    p->events.frame(p->events.ctx, l->id, frame);
    /* The callback may have closed this link. */
    return g_ptr_array_find(p->links, l, NULL);
}

/* Outcome of link_read_frame. */
typedef enum {
    kFrameIncomplete, /* more input is needed */
    kFrameHandled,
    kFrameLinkClosed, /* the link is freed */
} FrameResult;

/* Decrypts and handles the next frame of the input, if complete. */
static FrameResult
link_read_frame(Link *l, struct evbuffer *in)
{
    uint32_t prefix;
    unsigned char tag;
    unsigned long long plain_bytes;

    if (evbuffer_get_length(in) < sizeof(prefix)) {
        return kFrameIncomplete;
    }
    evbuffer_copyout(in, &prefix, sizeof(prefix));
    size_t sealed_bytes = ntohl(prefix);
    if (sealed_bytes > max_frame_bytes(l) ||
        sealed_bytes < crypto_secretstream_xchacha20poly1305_ABYTES) {
        link_reject(l);
        return kFrameLinkClosed;
    }
    if (evbuffer_get_length(in) < sizeof(prefix) + sealed_bytes) {
        bufferevent_setwatermark(l->bev, EV_READ, 0,
                                 sealed_bytes + kReadAheadBytes);
        return kFrameIncomplete;
    }
    evbuffer_drain(in, sizeof(prefix));
    uint8_t *sealed = evbuffer_pullup(in, (ssize_t)sealed_bytes);
    uint8_t *plain = g_try_malloc(sealed_bytes);
    Sw__Frame *frame = NULL;
    gboolean valid = sealed != NULL && plain != NULL &&
                     crypto_secretstream_xchacha20poly1305_pull(
                         &l->pull, plain, &plain_bytes, &tag, sealed,
                         sealed_bytes, NULL, 0) == 0;
    /* At most two copies of a frame are held at a time. */
    evbuffer_drain(in, sealed_bytes);
    bufferevent_setwatermark(l->bev, EV_READ, 0, kReadAheadBytes);
    if (valid) {
        frame = message_unpack_bounded(&sw__frame__descriptor, plain,
                                       plain_bytes, max_unpacked_bytes(l));
    }
    g_free(plain);
    if (frame == NULL) {
        link_reject(l);
        return kFrameLinkClosed;
    }
    traffic_count(&l->peer->received, frame, sealed_bytes + sizeof(prefix));
    if (l->foreign) {
        domain_traffic_count(&l->peer->domain_received, frame,
                             sealed_bytes + sizeof(prefix));
    }
    gboolean open = link_handle_frame(l, frame);
    sw__frame__free_unpacked(frame, NULL);
    return open ? kFrameHandled : kFrameLinkClosed;
}

/* Read callback of a link: continues the handshake, then handles all
 * complete frames. */
static void
link_read(struct bufferevent *bev, void *ctx)
{
    Link *l = ctx;
    struct evbuffer *in = bufferevent_get_input(bev);

    l->last_seen_us = (gint64)clock_now_us();
    if (l->state == kLinkNonce && !link_read_nonce(l, in)) {
        return;
    }
    if (l->state == kLinkHeader && !link_read_header(l, in)) {
        return;
    }
    FrameResult result;
    do {
        result = link_read_frame(l, in);
    } while (result == kFrameHandled);
    if (result == kFrameIncomplete &&
        !link_account(l, (uint64_t)l->last_seen_us)) {
        link_reject(l);
    }
}

/* Event callback of a link: starts the handshake once connected; on end of
 * file or an error closes the link. */
static void
link_event(struct bufferevent *bev, short events, void *ctx)
{
    Link *l = ctx;

    if ((events & BEV_EVENT_CONNECTED) == 0) {
        link_close(l);
        return;
    }
    link_set_options(bufferevent_getfd(bev));
    l->state = kLinkNonce;
    link_send_nonce(l);
}

/* Closes the accepted link whose handshake began first.  A peer's handshake
 * takes milliseconds, so that many connections which send nothing do not keep
 * peers out. */
static void
drop_oldest_handshake(Peer *p)
{
    for (guint i = 0; i < p->links->len; i++) {
        Link *l = g_ptr_array_index(p->links, i);
        if (!l->dialed && l->state != kLinkUp) {
            p->dropped_handshakes++;
            link_close(l);
            return;
        }
    }
}

/* Handles a failed accept, which would fail again at once; the timer resumes
 * accepting. */
static void
on_accept_error(struct evconnlistener *listener, void *ctx)
{
    Peer *p = ctx;
    p->accept_paused = TRUE;
    evconnlistener_disable(listener);
}

/* Accept callback of the listener: starts the handshake of a new link. */
static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *ctx)
{
    Peer *p = ctx;
    (void)listener;
    (void)address;
    (void)length;
    if (p->max_handshakes != 0 && p->n_handshakes >= p->max_handshakes) {
        drop_oldest_handshake(p);
    }
    Link *l = link_new(p, fd, FALSE);
    if (p->budget != NULL && l->account == NULL) {
        link_close(l);
        return;
    }
    l->state = kLinkNonce;
    link_send_nonce(l);
}

/* ---- dialing and heartbeats ---- */

/* Parses "IP:PORT" (IPv4 or IPv6).  Returns FALSE if the text is not one. */
static gboolean
parse_address(const char *text, struct sockaddr_storage *out, int *length)
{
    *length = sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, length) ==
           0;
}

/* Starts to open a link to an instance.  Does nothing if it has a dialed link
 * already, its address is unknown or the last attempt was less than
 * kRedialDelayMs ago. */
static void
dial(Peer *p, Remote *r)
{
    struct sockaddr_storage address;
    int length;
    gint64 now_us = (gint64)clock_now_us();

    if (r->address == NULL || r->dialed != NULL || now_us < r->next_dial_us ||
        !parse_address(r->address, &address, &length)) {
        return;
    }
    r->next_dial_us = now_us + kRedialDelayMs * 1000;
    Link *l = link_new(p, -1, TRUE);
    l->id = g_strdup(r->id);
    r->dialed = l;
    if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&address,
                                   length) != 0) {
        link_free(l);
    }
}

/* Returns whether an established link had no frames except heartbeats for
 * more than kIdleAfterMs. */
static gboolean
link_is_idle(const Link *l, gint64 now_us)
{
    return l->state == kLinkUp &&
           now_us - l->last_active_us > (gint64)kIdleAfterMs * kMicrosPerMilli;
}

/* Sends heartbeats on links on which nothing was sent for the interval, and
 * closes links that timed out.  Idle links use the long idle interval and
 * timeout.  The next frame makes a link active again, and the short timeout
 * kLinkTimeoutMs then applies. */
static void
maintain_links(Peer *p, gint64 now_us)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__Heartbeat heartbeat = SW__HEARTBEAT__INIT;

    frame.body_case = SW__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    for (guint i = p->links->len; i > 0; i--) {
        if (i > p->links->len) {
            /* The callback of link_close has closed further links. */
            continue;
        }
        Link *l = g_ptr_array_index(p->links, i - 1);
        gboolean idle = link_is_idle(l, now_us);
        gint64 timeout_ms = idle ? kIdleLinkTimeoutMs : kLinkTimeoutMs;
        gint64 interval_ms =
            idle ? kIdleHeartbeatIntervalMs : kHeartbeatIntervalMs;
        if (l->state != kLinkUp) {
            timeout_ms = kHandshakeTimeoutMs;
        }
        if (now_us - l->last_seen_us > timeout_ms * kMicrosPerMilli) {
            link_close(l);
            continue;
        }
        if (l->state == kLinkUp &&
            now_us - l->last_sent_us >= interval_ms * kMicrosPerMilli) {
            link_write_frame(l, &frame);
        }
    }
}

/* Applies the limits to all links, and accepts again after a failed accept. */
static void
check_limits(Peer *p, uint64_t now_us)
{
    MemoryAccount *victim;

    if (p->accept_paused) {
        p->accept_paused = FALSE;
        evconnlistener_enable(p->listener);
    }
    for (guint i = p->links->len; i > 0; i--) {
        /* The callback of link_close may have closed further links. */
        if (i <= p->links->len) {
            Link *l = g_ptr_array_index(p->links, i - 1);
            if (!link_account(l, now_us)) {
                link_close(l);
            }
        }
    }
    while (p->budget != NULL &&
           (victim = memory_budget_victim(p->budget, now_us)) != NULL) {
        link_close(memory_account_owner(victim));
    }
}

/* Timer callback: maintains the links, and dials all known instances unless
 * there are more than kMaxEagerPeers. */
static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    Peer *p = ctx;
    GHashTableIter it;
    void *value;

    (void)fd;
    (void)events;
    maintain_links(p, (gint64)clock_now_us());
    check_limits(p, clock_now_us());
    if (g_hash_table_size(p->remotes) > kMaxEagerPeers) {
        return;
    }
    g_hash_table_iter_init(&it, p->remotes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        dial(p, value);
    }
}

/* Event callback: delivers the frames that this instance sent to itself.
 * Frames that are sent during the delivery wait for the next call. */
static void
on_loopback(evutil_socket_t fd, short events, void *ctx)
{
    Peer *p = ctx;
    guint count = p->loopback.length;

    (void)fd;
    (void)events;
    while (count-- > 0) {
        Sw__Frame *frame = g_queue_pop_head(&p->loopback);
        p->events.frame(p->events.ctx, p->id, frame);
        sw__frame__free_unpacked(frame, NULL);
    }
}

/* Queues a copy of a frame, delivered later from the event loop. */
static gboolean
send_loopback(Peer *p, const Sw__Frame *frame)
{
    g_queue_push_tail(&p->loopback, message_copy(frame));
    event_active(p->loopback_event, EV_TIMEOUT, 0);
    return TRUE;
}

/* ---- interface ---- */

/* Opens the peer port at listen_address, "IP:PORT".  secret is the cluster's
 * secret, crypto_generichash_KEYBYTES long.  incarnation is sent to the peers
 * in the hello frame.  Fails with kCoreErrorIo if the port cannot be
 * opened.  The caller frees the peer with peer_free. */
Peer *
peer_new(struct event_base *base, const char *id, uint64_t incarnation,
         const uint8_t *secret, const char *listen_address,
         const PeerEvents *events, GError **error)
{
    struct sockaddr_storage address;
    int length;
    struct timeval interval = {0, kTimerIntervalMs * 1000};
    Peer *p = g_new0(Peer, 1);

    p->base = base;
    p->id = g_strdup(id);
    p->incarnation = incarnation;
    memcpy(p->secret, secret, sizeof(p->secret));
    p->events = *events;
    p->remotes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, remote_free);
    p->links = g_ptr_array_new();
    p->max_frame_bytes = kFrameMaxBytes;
    p->max_queue_bytes = kQueueMaxBytes;
    if (parse_address(listen_address, &address, &length)) {
        p->listener = evconnlistener_new_bind(
            base, on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            (struct sockaddr *)&address, length);
    }
    if (p->listener == NULL) {
        g_set_error(error, CORE_ERROR, kCoreErrorIo,
                    "cannot listen for peers at %s", listen_address);
        peer_free(p);
        return NULL;
    }
    evconnlistener_set_error_cb(p->listener, on_accept_error);
    p->loopback_event = evtimer_new(base, on_loopback, p);
    p->timer = event_new(base, -1, EV_PERSIST, on_timer, p);
    event_add(p->timer, &interval);
    return p;
}

/* Limits the memory that links hold to about memory_bytes, and to as much for
 * the largest frame and for the unsent bytes of one link.  Call it before the
 * first link.  max_handshakes limits the accepted links that are not up. */
void
peer_set_limits(Peer *p, uint64_t memory_bytes, uint32_t max_handshakes)
{
    MemoryLimits limits = {0};

    p->max_frame_bytes = (size_t)CLAMP(
        memory_bytes, (uint64_t)kFrameMinLimitBytes, (uint64_t)kFrameMaxBytes);
    p->max_queue_bytes = p->max_frame_bytes;
    /* A frame must be received while reading of larger links pauses. */
    limits.total_bytes = MAX(memory_bytes, 2 * (uint64_t)p->max_frame_bytes);
    p->max_handshakes = max_handshakes;
    p->budget = memory_budget_new(&limits);
}

/* Appends the counters of the limits in the metrics text format. */
void
peer_limits_write(const Peer *p, GString *out)
{
    if (p->budget != NULL) {
        MemoryStats stats = memory_budget_stats(p->budget);
        memory_stats_write(&stats, "peers", out);
    }
    counter_write_text("peer_dropped_handshakes_total", p->dropped_handshakes,
                       out);
    counter_write_text("peer_unsent_frames_total", p->unsent_frames, out);
}

/* Sets the failure domain of this process, which is told to the peers.  Call
 * it before the first link; without it, no bytes count as between domains. */
void
peer_set_failure_domain(Peer *p, const char *domain)
{
    g_free(p->failure_domain);
    p->failure_domain = g_strdup(domain);
}

/* Returns the number of links that were closed because of invalid data. */
uint64_t
peer_rejected_links(const Peer *p)
{
    return p->rejected_links;
}

/* Appends the frames and bytes on all links by kind, and the bytes between
 * failure domains also by reason, in the metrics text format. */
void
peer_traffic_write(const Peer *p, GString *out)
{
    traffic_write_text(&p->sent, "sent", out);
    traffic_write_text(&p->received, "received", out);
    domain_traffic_write_text(&p->domain_sent, "sent", out);
    domain_traffic_write_text(&p->domain_received, "received", out);
}

/* Closes all links and the port and frees the peer; no callback is called. */
void
peer_free(Peer *p)
{
    for (guint i = p->links->len; i > 0; i--) {
        link_free(g_ptr_array_index(p->links, i - 1));
    }
    if (p->timer != NULL) {
        event_free(p->timer);
        event_free(p->loopback_event);
    }
    while (p->loopback.length > 0) {
        sw__frame__free_unpacked(g_queue_pop_head(&p->loopback), NULL);
    }
    if (p->listener != NULL) {
        evconnlistener_free(p->listener);
    }
    g_ptr_array_unref(p->links);
    if (p->budget != NULL) {
        memory_budget_free(p->budget);
    }
    g_hash_table_destroy(p->remotes);
    g_free(p->failure_domain);
    g_free(p->id);
    g_free(p);
}

/* Sets the "IP:PORT" at which an instance listens.  If it changes, the link
 * dialed to the old address is closed. */
void
peer_set_address(Peer *p, const char *id, const char *address)
{
    if (strcmp(id, p->id) == 0 || address[0] == '\0') {
        return;
    }
    Remote *r = remote_get(p, id);
    if (g_strcmp0(r->address, address) == 0) {
        return;
    }
    g_free(r->address);
    r->address = g_strdup(address);
    r->next_dial_us = 0;
    if (r->dialed != NULL) {
        link_close(r->dialed);
    }
    if (g_hash_table_size(p->remotes) <= kMaxEagerPeers) {
        dial(p, r);
    }
}

/* Returns the link that frames to an instance use, or NULL. */
static Link *
usable_link(const Remote *r)
{
    if (r->dialed != NULL && r->dialed->state == kLinkUp) {
        return r->dialed;
    }
    if (r->accepted != NULL && r->accepted->state == kLinkUp) {
        return r->accepted;
    }
    return NULL;
}

/* Returns whether a link to the instance is up; if none is, starts to open
 * one. */
gboolean
peer_ready(Peer *p, const char *to)
{
    Remote *r = g_hash_table_lookup(p->remotes, to);

    if (strcmp(to, p->id) == 0) {
        return TRUE;
    }
    if (r == NULL) {
        return FALSE;
    }
    gboolean ready = usable_link(r) != NULL;
    if (!ready) {
        dial(p, r);
    }
    return ready;
}

/* Sends a frame to an instance, or to this instance itself, where it is
 * delivered later from the event loop.  Returns FALSE if nothing was sent: no
 * link is up (one is then being opened), too many bytes are
 * queued on the link, or the frame is larger than the limit. */
gboolean
peer_send(Peer *p, const char *to, const Sw__Frame *frame)
{
    Remote *r = g_hash_table_lookup(p->remotes, to);

    if (strcmp(to, p->id) == 0) {
        return send_loopback(p, frame);
    }
    if (r == NULL) {
        return FALSE;
    }
    Link *l = usable_link(r);
    if (l == NULL) {
        dial(p, r);
        return FALSE;
    }
    gint64 now_us = (gint64)clock_now_us();
    if (link_is_idle(l, now_us)) {
        /* The short timeout of an active link starts now. */
        l->last_seen_us = now_us;
    }
    l->last_active_us = now_us;
    struct evbuffer *out = bufferevent_get_output(l->bev);
    if (evbuffer_get_length(out) > p->max_queue_bytes) {
        p->unsent_frames++;
        return FALSE;
    }
    return link_write_frame(l, frame);
}
