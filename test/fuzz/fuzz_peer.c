#include <sanitizer/allocator_interface.h>
#include <string.h>

#include "core/message.h"
#include "discard_storage.h"
#include "fleet/director.h"
#include "fuzz.h"
#include "gateway/gateway.h"
#include "platform/codec.h"

/* Fuzzes what the platform's entry and control instances receive from other
 * instances: sequences of valid frames in any order and state.  The entry
 * instance's backend servers accept each connection and answer each command
 * with a code that the input chooses.  Second property: an unpacked frame
 * takes no more memory than it may. */

enum {
    kStepUs = 30000, /* between frames */
    kLinksMax = 64,
    kCodes = kCodeOther + 1,
    kSenders = 3,
    kMaxUnpackedBytes = 64 << 10,
};

static const char *const kSenderNames[kSenders] = {"e1", "c0", "c1"};

/* ---- the entry instance ---- */

/* A link to a backend server. */
typedef struct {
    const ServerEvents *events;
    void *owner; /* NULL: closed */
    gboolean ready;
    uint32_t commands; /* sent and not answered */
    SessionState state;
} FuzzLink;

static FuzzLink links[kLinksMax];
static uint32_t link_count;

static void
sink_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    (void)ctx;
    (void)caller;
    (void)a;
}

static gboolean
sink_caller_close(void *ctx, void *caller)
{
    (void)ctx;
    (void)caller;
    return TRUE;
}

static void *
open_link(void *ctx, const ServerEvents *events, void *owner,
          const char *address, const char *database, const char *team,
          const char *server_id)
{
    (void)ctx;
    (void)address;
    (void)database;
    (void)team;
    (void)server_id;
    FuzzLink *l = &links[link_count % kLinksMax];
    link_count++;
    *l = (FuzzLink){.events = events, .owner = owner};
    return l;
}

static void
send_commands(void *ctx, void *link, const ServerCommand *commands,
              size_t count)
{
    FuzzLink *l = link;
    (void)ctx;
    l->commands += (uint32_t)count;
    l->state = kSessionIdle;
    for (size_t i = 0; i < count; i++) {
        if (commands[i].kind == kCommandBegin ||
            commands[i].kind == kCommandBeginRead) {
            l->state = kSessionInTransaction;
        }
    }
}

static void
close_link(void *ctx, void *link)
{
    (void)ctx;
    ((FuzzLink *)link)->owner = NULL;
}

static void
sink_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)ctx;
    (void)to;
    (void)frame;
}

static void
sink_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

static gboolean
always_ready(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
    return TRUE;
}

/* Lets the backend servers answer what is open. */
static void
answer_links(uint64_t now_us, uint8_t choice)
{
    for (uint32_t i = 0; i < kLinksMax; i++) {
        FuzzLink *l = &links[i];
        if (l->owner == NULL) {
            continue;
        }
        if (!l->ready) {
            l->ready = TRUE;
            l->events->ready(l->owner, now_us);
            continue;
        }
        while (l->owner != NULL && l->commands > 0) {
            ServerAnswer a = {.code = (AnswerCode)(choice % kCodes),
                              .code_text = "",
                              .detail = "",
                              .tag = "1",
                              .state = l->state,
                              .position = {1, choice},
                              .position_text = "1.1"};
            l->commands--;
            l->events->answer(l->owner, now_us, &a);
        }
    }
}

static Gateway *
gateway_for_fuzzing(void)
{
    GatewayPort port = {.caller_answer = sink_answer,
                        .caller_close = sink_caller_close,
                        .server_open = open_link,
                        .server_send = send_commands,
                        .server_close = close_link,
                        .peer_send = sink_send,
                        .add_peer = sink_peer,
                        .peer_ready = always_ready};
    GatewayConfig config = {.id = "e0",
                            .failure_domain = "0",
                            .server_drain_us = 7000000,
                            .link_bytes_per_s = 250000,
                            .decode = codec_decode_document};

    memset(links, 0, sizeof(links));
    link_count = 0;
    Gateway *g = gateway_new(&config, &port);
    gateway_control_add(g, 0, "c0");
    return g;
}

/* ---- the control instance ---- */

static uint64_t
same_number(void *ctx)
{
    (void)ctx;
    return 3;
}

static void
sink_reply(void *ctx, void *request, uint32_t status, const void *text,
           size_t bytes)
{
    (void)ctx;
    (void)request;
    (void)status;
    (void)text;
    (void)bytes;
}

static void
sink_status(void *ctx, const char *server, const char *database,
            const char *address)
{
    (void)ctx;
    (void)server;
    (void)database;
    (void)address;
}

static void
sink_step_down(void *ctx, const char *server, const char *database,
               const char *address, uint64_t term)
{
    (void)ctx;
    (void)server;
    (void)database;
    (void)address;
    (void)term;
}

static void
sink_promote(void *ctx, const char *database, const char *server,
             uint64_t fence)
{
    (void)ctx;
    (void)database;
    (void)server;
    (void)fence;
}

/* Returns a control instance that leads a group without other members. */
static Director *
director_for_fuzzing(void)
{
    DirectorPort port = {.send = sink_send,
                         .add_peer = sink_peer,
                         .random = same_number,
                         .operator_reply = sink_reply,
                         .request_status = sink_status,
                         .step_down = sink_step_down,
                         .promote = sink_promote,
                         .storage = kDiscardStorage};
    DirectorConfig config = {.id = "c9",
                             .disk = "disk",
                             .failure_domain = "0",
                             .timing = {80000, 300000, 550000, 64},
                             .lease_us = 1000000,
                             .rate_window_us = 5000000,
                             .decode = codec_decode_document,
                             .max_control_failures = 1};
    ConsensusSaved saved = {.entries = g_ptr_array_new()};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);

    g_ptr_array_add(members,
                    consensus_member_new("c9", "disk", "c9", "0", TRUE));
    Director *d = director_new(&config, &port);
    director_start(d, 0, &saved, members, NULL);
    director_tick(d, kStepUs * 30);
    director_flush(d, kStepUs * 30);
    g_ptr_array_unref(members);
    g_ptr_array_unref(saved.entries);
    return d;
}

/* ---- inputs ---- */

/* Delivers one frame to an instance, of which the other is NULL. */
static void
deliver(Gateway *g, Director *d, uint64_t now_us, uint8_t choice,
        const Sw__Frame *frame)
{
    const char *from = kSenderNames[choice % kSenders];

    if (d != NULL) {
        director_handle_frame(d, now_us, from, frame);
        director_flush(d, now_us);
        director_tick(d, now_us + kStepUs / 2);
        return;
    }
    gateway_frame(g, now_us, from, frame);
    answer_links(now_us, choice / kSenders);
    gateway_tick(g, now_us + kStepUs / 2);
}

/* Unpacks a frame as a peer link does, and checks that it takes no more memory
 * than it may. */
static Sw__Frame *
unpack_frame(const uint8_t *data, size_t bytes)
{
    size_t before = __sanitizer_get_current_allocated_bytes();
    Sw__Frame *frame = message_unpack_bounded(&sw__frame__descriptor, data,
                                              bytes, kMaxUnpackedBytes);

    g_assert(__sanitizer_get_current_allocated_bytes() - before <=
             kMaxUnpackedBytes);
    return frame;
}

/* The first byte selects the instance.  Each frame follows two bytes with its
 * length and one that selects its sender and the servers' answers. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    gboolean control = (data[0] & 1) != 0;
    Gateway *g = control ? NULL : gateway_for_fuzzing();
    Director *d = control ? director_for_fuzzing() : NULL;
    uint64_t now_us = (uint64_t)kStepUs * 40;
    size_t at = 1;

    while (at + 3 <= size) {
        size_t bytes =
            MIN(((size_t)data[at] << 8) | data[at + 1], size - at - 3);
        Sw__Frame *frame = unpack_frame(data + at + 3, bytes);
        if (frame != NULL) {
            deliver(g, d, now_us, data[at + 2], frame);
            sw__frame__free_unpacked(frame, NULL);
        }
        now_us += kStepUs;
        at += 3 + bytes;
    }
    if (g != NULL) {
        gateway_free(g);
    }
    if (d != NULL) {
        director_free(d);
    }
    return 0;
}
