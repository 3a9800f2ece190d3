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
#include "core/message.h"

/* Links between the system's own processes.
 *
 * Each side sends a random nonce.  Both derive one key for each direction
 * from the cluster's secret and the two nonces, so only holders of the
 * secret can talk, and nothing recorded can be played again.  Then follow
 * length-prefixed frames, sealed in order (libsodium secretstream).  The
 * first frame of each side names it. */

enum {
    kNonceBytes = 32,
    kFrameMaxBytes = 64 << 20,
    kQueueMaxBytes = 128 << 20,
    kTimerMs = 100,
    kHeartbeatMs = 300,
    kSilenceMs = 1100,        /* three heartbeats and a slow answer */
    kDialMs = 500,            /* a connection that is not accepted */
    kUserTimeoutMs = 800,     /* sent bytes that nobody acknowledges */
    kActiveMs = 5000,         /* after the last frame a link counts as idle */
    kIdleHeartbeatMs = 60000, /* a large fleet has many idle links */
    kIdleSilenceMs = 130000,
    kRedialMs = 150,
    kMicrosPerMilli = 1000,
    kEagerLinksMax = 48, /* larger fleets connect on demand */
};

typedef enum {
    kLinkDialing,
    kLinkNonce,  /* waits for the other side's nonce */
    kLinkHeader, /* waits for its stream header */
    kLinkHello,  /* waits for its first frame */
    kLinkUp,
} LinkState;

typedef struct {
    Peer *peer;
    struct bufferevent *bev;
    LinkState state;
    gboolean dialed;
    char *id; /* of the other side, NULL before it is known */
    uint8_t nonce[kNonceBytes]; /* the own one */
    uint8_t pull_key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
    crypto_secretstream_xchacha20poly1305_state push;
    crypto_secretstream_xchacha20poly1305_state pull;
    gint64 heard_us;
    gint64 active_us;    /* last frame other than a heartbeat, either way */
    gint64 heartbeat_us; /* last one sent */
} Link;

/* What is known of another instance. */
typedef struct {
    char *id;
    char *address;
    Link *dialed;
    Link *accepted;
    gint64 redial_us;
} Remote;

struct Peer {
    struct event_base *base;
    char *id;
    uint64_t incarnation;
    uint8_t secret[crypto_generichash_KEYBYTES];
    PeerEvents events;
    struct evconnlistener *listener;
    struct event *timer;
    GHashTable *remotes; /* id -> Remote */
    GPtrArray *links;    /* all Link */
    uint64_t garbage;    /* links that were closed for what came on them */
    GQueue own;          /* frames to this instance itself */
    struct event *deliver;
};

static void link_read(struct bufferevent *bev, void *ctx);
static void link_event(struct bufferevent *bev, short what, void *ctx);

static void
remote_free(void *data)
{
    Remote *r = data;
    g_free(r->id);
    g_free(r->address);
    g_free(r);
}

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

static void
link_tune(evutil_socket_t fd)
{
    int on = 1;
    int user_timeout_ms = kUserTimeoutMs;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}

static Link *
link_new(Peer *p, evutil_socket_t fd, gboolean dialed)
{
    Link *l = g_new0(Link, 1);

    l->peer = p;
    l->dialed = dialed;
    l->heard_us = (gint64)clock_now_us();
    l->active_us = l->heard_us;
    l->bev = bufferevent_socket_new(
        p->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(l->bev, link_read, NULL, link_event, l);
    bufferevent_enable(l->bev, EV_READ | EV_WRITE);
    if (fd >= 0) {
        link_tune(fd);
    }
    g_ptr_array_add(p->links, l);
    return l;
}

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
    g_ptr_array_remove(p->links, l);
    bufferevent_free(l->bev);
    g_free(l->id);
    g_free(l);
}

/* Ends a link and tells of it when it was up. */
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

static void
link_reject(Link *l)
{
    Peer *p = l->peer;
    p->garbage++;
    if (p->events.garbage != NULL) {
        p->events.garbage(p->events.ctx);
    }
    link_close(l);
}

static void
link_send_nonce(Link *l)
{
    randombytes_buf(l->nonce, sizeof(l->nonce));
    bufferevent_write(l->bev, l->nonce, sizeof(l->nonce));
}

static void
direction_key(const Peer *p, const uint8_t *dialer_nonce,
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

static gboolean
link_write_frame(Link *l, const Sw__Frame *frame)
{
    size_t plain_bytes = sw__frame__get_packed_size(frame);
    size_t sealed_bytes =
        plain_bytes + crypto_secretstream_xchacha20poly1305_ABYTES;

    if (sealed_bytes > kFrameMaxBytes) {
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
    frame.body_case = SW__FRAME__BODY_HELLO;
    frame.hello = &hello;
    link_write_frame(l, &frame);
}

/* Takes the other side's nonce and opens the own direction. */
static gboolean
link_take_nonce(Link *l, struct evbuffer *in)
{
    uint8_t theirs[kNonceBytes];
    uint8_t push_key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
    uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];

    if (evbuffer_get_length(in) < sizeof(theirs)) {
        return FALSE;
    }
    evbuffer_remove(in, theirs, sizeof(theirs));
    const uint8_t *dialer = l->dialed ? l->nonce : theirs;
    const uint8_t *acceptor = l->dialed ? theirs : l->nonce;
    direction_key(l->peer, dialer, acceptor, l->dialed, push_key);
    direction_key(l->peer, dialer, acceptor, !l->dialed, l->pull_key);
    crypto_secretstream_xchacha20poly1305_init_push(&l->push, header,
                                                    push_key);
    bufferevent_write(l->bev, header, sizeof(header));
    link_send_hello(l);
    l->state = kLinkHeader;
    return TRUE;
}

/* Takes the other side's stream header. */
static gboolean
link_take_header(Link *l, struct evbuffer *in)
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
    l->state = kLinkUp;
    if (p->events.up != NULL) {
        p->events.up(p->events.ctx, l->id);
    }
}

/* Handles one opened frame; FALSE when the link is gone. */
static gboolean
link_handle_frame(Link *l, const Sw__Frame *frame)
{
    Peer *p = l->peer;
    if (l->state == kLinkHello) {
        gboolean named = frame->body_case == SW__FRAME__BODY_HELLO &&
                         frame->hello->instance_id[0] != '\0' &&
                         (!l->dialed || l->id == NULL ||
                          strcmp(l->id, frame->hello->instance_id) == 0);
        if (!named) {
            link_reject(l);
            return FALSE;
        }
        link_up(l, frame->hello);
        return TRUE;
    }
    if (frame->body_case == SW__FRAME__BODY_HEARTBEAT) {
        return TRUE;
    }
    l->active_us = l->heard_us;
    p->events.frame(p->events.ctx, l->id, frame);
    /* The receiver may have closed this link. */
    return g_ptr_array_find(p->links, l, NULL);
}

typedef enum {
    kFrameNone,
    kFrameTaken,
    kFrameLinkGone,
} FrameResult;

static FrameResult
link_take_frame(Link *l, struct evbuffer *in)
{
    uint32_t prefix;
    unsigned char tag;
    unsigned long long plain_bytes;

    if (evbuffer_get_length(in) < sizeof(prefix)) {
        return kFrameNone;
    }
    evbuffer_copyout(in, &prefix, sizeof(prefix));
    size_t sealed_bytes = ntohl(prefix);
    if (sealed_bytes > kFrameMaxBytes ||
        sealed_bytes < crypto_secretstream_xchacha20poly1305_ABYTES) {
        link_reject(l);
        return kFrameLinkGone;
    }
    if (evbuffer_get_length(in) < sizeof(prefix) + sealed_bytes) {
        return kFrameNone;
    }
    evbuffer_drain(in, sizeof(prefix));
    uint8_t *sealed = evbuffer_pullup(in, (ssize_t)sealed_bytes);
    uint8_t *plain = g_malloc(sealed_bytes);
    Sw__Frame *frame = NULL;
    if (crypto_secretstream_xchacha20poly1305_pull(
            &l->pull, plain, &plain_bytes, &tag, sealed, sealed_bytes, NULL,
            0) == 0) {
        frame = sw__frame__unpack(NULL, plain_bytes, plain);
    }
    g_free(plain);
    evbuffer_drain(in, sealed_bytes);
    if (frame == NULL) {
        link_reject(l);
        return kFrameLinkGone;
    }
    gboolean alive = link_handle_frame(l, frame);
    sw__frame__free_unpacked(frame, NULL);
    return alive ? kFrameTaken : kFrameLinkGone;
}

static void
link_read(struct bufferevent *bev, void *ctx)
{
    Link *l = ctx;
    struct evbuffer *in = bufferevent_get_input(bev);

    l->heard_us = (gint64)clock_now_us();
    if (l->state == kLinkNonce && !link_take_nonce(l, in)) {
        return;
    }
    if (l->state == kLinkHeader && !link_take_header(l, in)) {
        return;
    }
    while (link_take_frame(l, in) == kFrameTaken) {
    }
}

static void
link_event(struct bufferevent *bev, short what, void *ctx)
{
    Link *l = ctx;

    if ((what & BEV_EVENT_CONNECTED) == 0) {
        link_close(l);
        return;
    }
    link_tune(bufferevent_getfd(bev));
    l->state = kLinkNonce;
    link_send_nonce(l);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *ctx)
{
    Peer *p = ctx;
    (void)listener;
    (void)address;
    (void)length;
    Link *l = link_new(p, fd, FALSE);
    l->state = kLinkNonce;
    link_send_nonce(l);
}

/* ---- dialing and heartbeats ---- */

static gboolean
parse_address(const char *text, struct sockaddr_storage *out, int *length)
{
    *length = sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, length) ==
           0;
}

static void
dial(Peer *p, Remote *r)
{
    struct sockaddr_storage address;
    int length;
    gint64 now_us = (gint64)clock_now_us();

    if (r->address == NULL || r->dialed != NULL || now_us < r->redial_us ||
        !parse_address(r->address, &address, &length)) {
        return;
    }
    r->redial_us = now_us + kRedialMs * 1000;
    Link *l = link_new(p, -1, TRUE);
    l->id = g_strdup(r->id);
    r->dialed = l;
    if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&address,
                                   length) != 0) {
        link_free(l);
    }
}

static gboolean
link_is_idle(const Link *l, gint64 now_us)
{
    return l->state == kLinkUp &&
           now_us - l->active_us > (gint64)kActiveMs * kMicrosPerMilli;
}

/* Sends heartbeats where they are due and closes links that went silent.
 * An idle link is heard from seldom; the first frame after that makes it
 * active, and silence then shows within kSilenceMs. */
static void
heartbeat_links(Peer *p, gint64 now_us)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__Heartbeat heartbeat = SW__HEARTBEAT__INIT;

    frame.body_case = SW__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    for (guint i = p->links->len; i > 0; i--) {
        if (i > p->links->len) {
            continue;
        }
        Link *l = g_ptr_array_index(p->links, i - 1);
        gboolean idle = link_is_idle(l, now_us);
        gint64 silence_ms = idle ? kIdleSilenceMs : kSilenceMs;
        gint64 every_ms = idle ? kIdleHeartbeatMs : kHeartbeatMs;
        if (l->state != kLinkUp) {
            silence_ms = kDialMs;
        }
        if (now_us - l->heard_us > silence_ms * kMicrosPerMilli) {
            link_close(l);
            continue;
        }
        if (l->state == kLinkUp &&
            now_us - l->heartbeat_us >= every_ms * kMicrosPerMilli) {
            l->heartbeat_us = now_us;
            link_write_frame(l, &frame);
        }
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    Peer *p = ctx;
    GHashTableIter it;
    void *value;

    (void)fd;
    (void)what;
    heartbeat_links(p, (gint64)clock_now_us());
    if (g_hash_table_size(p->remotes) > kEagerLinksMax) {
        return;
    }
    g_hash_table_iter_init(&it, p->remotes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        dial(p, value);
    }
}

/* Hands over what this instance sent to itself. */
static void
on_deliver(evutil_socket_t fd, short what, void *ctx)
{
    Peer *p = ctx;
    guint count = p->own.length;

    (void)fd;
    (void)what;
    while (count-- > 0) {
        Sw__Frame *frame = g_queue_pop_head(&p->own);
        p->events.frame(p->events.ctx, p->id, frame);
        sw__frame__free_unpacked(frame, NULL);
    }
}

static gboolean
send_to_itself(Peer *p, const Sw__Frame *frame)
{
    g_queue_push_tail(&p->own, message_copy(frame));
    event_active(p->deliver, EV_TIMEOUT, 0);
    return TRUE;
}

/* ---- interface ---- */

/* Opens the peer port, "IP:PORT".  Fails with kCoreErrorIo when it cannot
 * listen there. */
Peer *
peer_new(struct event_base *base, const char *id, uint64_t incarnation,
         const uint8_t *secret, const char *listen_address,
         const PeerEvents *events, GError **error)
{
    struct sockaddr_storage address;
    int length;
    struct timeval every = {0, kTimerMs * 1000};
    Peer *p = g_new0(Peer, 1);

    p->base = base;
    p->id = g_strdup(id);
    p->incarnation = incarnation;
    memcpy(p->secret, secret, sizeof(p->secret));
    p->events = *events;
    p->remotes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, remote_free);
    p->links = g_ptr_array_new();
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
    p->deliver = evtimer_new(base, on_deliver, p);
    p->timer = event_new(base, -1, EV_PERSIST, on_timer, p);
    event_add(p->timer, &every);
    return p;
}

/* Returns how many links were closed because what came on them made no
 * sense. */
uint64_t
peer_rejected_links(const Peer *p)
{
    return p->garbage;
}

/* Closes all links and the port. */
void
peer_free(Peer *p)
{
    for (guint i = p->links->len; i > 0; i--) {
        link_free(g_ptr_array_index(p->links, i - 1));
    }
    if (p->timer != NULL) {
        event_free(p->timer);
        event_free(p->deliver);
    }
    while (p->own.length > 0) {
        sw__frame__free_unpacked(g_queue_pop_head(&p->own), NULL);
    }
    if (p->listener != NULL) {
        evconnlistener_free(p->listener);
    }
    g_ptr_array_unref(p->links);
    g_hash_table_destroy(p->remotes);
    g_free(p->id);
    g_free(p);
}

/* Says where an instance listens; an open link to another address ends. */
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
    r->redial_us = 0;
    if (r->dialed != NULL) {
        link_close(r->dialed);
    }
    if (g_hash_table_size(p->remotes) <= kEagerLinksMax) {
        dial(p, r);
    }
}

static Link *
link_in_use(const Remote *r)
{
    if (r->dialed != NULL && r->dialed->state == kLinkUp) {
        return r->dialed;
    }
    if (r->accepted != NULL && r->accepted->state == kLinkUp) {
        return r->accepted;
    }
    return NULL;
}

/* Tells whether a frame sent now would have a link to travel on; opens one
 * where there is none. */
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
    gboolean ready = link_in_use(r) != NULL;
    if (!ready) {
        dial(p, r);
    }
    return ready;
}

/* Sends a frame over a link that is up, or to this instance itself, which
 * gets it later.  FALSE: there is none, or too much
 * waits on it; nothing was sent then, and a link is being opened. */
gboolean
peer_send(Peer *p, const char *to, const Sw__Frame *frame)
{
    Remote *r = g_hash_table_lookup(p->remotes, to);

    if (strcmp(to, p->id) == 0) {
        return send_to_itself(p, frame);
    }
    if (r == NULL) {
        return FALSE;
    }
    Link *l = link_in_use(r);
    if (l == NULL) {
        dial(p, r);
        return FALSE;
    }
    gint64 now_us = (gint64)clock_now_us();
    if (link_is_idle(l, now_us)) {
        /* Silence counts from here. */
        l->heard_us = now_us;
    }
    l->active_us = now_us;
    struct evbuffer *out = bufferevent_get_output(l->bev);
    if (evbuffer_get_length(out) > kQueueMaxBytes) {
        return FALSE;
    }
    return link_write_frame(l, frame);
}
