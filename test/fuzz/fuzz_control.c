#include <string.h>

#include "core/consensus.h"
#include "core/control_core.h"
#include "core/state.h"
#include "discard_storage.h"
#include "fuzz.h"

/* Fuzzes what a control instance reads: snapshots of its state, commands of
 * the replicated log, and frames of peers. */

/* ---- ports that discard everything ---- */

static void
sink_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)ctx;
    (void)to;
    (void)frame;
}

static void
sink_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

/* Returns the same number on each call, so that runs are repeatable. */
static uint64_t
sink_random(void *ctx)
{
    (void)ctx;
    return 3;
}

/* ---- inputs ---- */

/* Delivers an input as one frame to a control core that leads a cluster
 * without other members. */
static void
fuzz_frame(const uint8_t *data, size_t size)
{
    const ControlConfig config = {.id = "c",
                                  .disk = "",
                                  .cluster = "fuzz",
                                  .failure_domain = "d",
                                  .timing = {50000, 200000, 400000, 100},
                                  .lease_us = 3000000,
                                  .announcement_timeout_us = 3000000,
                                  .suspect_after_us = 200000};
    const ControlPort port = {NULL, sink_send, sink_peer_address, sink_random,
                              kDiscardStorage};
    ConsensusSaved saved = {.entries = g_ptr_array_new()};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);
    g_ptr_array_add(members, consensus_member_new("c", "", "", "d", TRUE));
    ControlCore *k = control_core_new(&config, &port);

    control_core_start(k, 0, &saved, members, NULL);
    control_core_tick(k, 1000000);
    control_core_flush(k, 1000000);
    Sw__Frame *frame = sw__frame__unpack(NULL, size, data);
    if (frame != NULL) {
        control_core_frame(k, 1000001, "peer", frame);
        control_core_flush(k, 1000002);
        control_core_tick(k, 1100000);
        control_core_flush(k, 1100000);
        sw__frame__free_unpacked(frame, NULL);
    }
    control_core_free(k);
    g_ptr_array_unref(members);
    g_ptr_array_unref(saved.entries);
}

/* The first byte selects between a snapshot, a command and a frame. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    if ((data[0] & 3) == 0) {
        State *s = state_new("fuzz");
        state_load(s, (const char *)data + 1, size - 1, NULL);
        state_free(s);
    }
    else if ((data[0] & 3) == 1) {
        State *s = state_new("fuzz");
        json_t *command =
            json_loadb((const char *)data + 1, size - 1, 0, NULL);
        if (json_is_object(command)) {
            StateOutcome o = state_apply(s, 1, command);
            json_decref(o.body);
        }
        json_decref(command);
        state_free(s);
    }
    else {
        fuzz_frame(data + 1, size - 1);
    }
    return 0;
}
