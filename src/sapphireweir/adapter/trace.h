#ifndef SAPPHIREWEIR_ADAPTER_TRACE_H
#define SAPPHIREWEIR_ADAPTER_TRACE_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "core/entry_core.h"
#include "port/entry.h"

/* A file with the events that an entry core received and the actions that it
 * requested, one JSON object per line.  sapphireweir-replay replays it. */
typedef struct Trace Trace;

Trace *trace_open(const char *path, const EntryConfig *config, uint64_t now_us,
                  GError **error);
void trace_close(Trace *t);

/* Returns a port that records each action and forwards it to another port. */
EntryPort trace_port(Trace *t, const EntryPort *target);

/* The functions below record one event each; t may be NULL, then nothing is
 * recorded.  now_us is the time that the core received with the event. */
void trace_request(Trace *t, uint64_t now_us, const CallerRequest *r);
void trace_abandon(Trace *t, uint64_t now_us, uint64_t request_id);
void trace_frame(Trace *t, uint64_t now_us, const char *from,
                 const Sw__Frame *frame);
void trace_peer_down(Trace *t, uint64_t now_us, const char *peer);
void trace_connected(Trace *t, uint64_t now_us, uint64_t connection,
                     gboolean ok);
void trace_result(Trace *t, uint64_t now_us, uint64_t connection,
                  const BackendResult *result);
void trace_tick(Trace *t, uint64_t now_us);
void trace_drain(Trace *t, uint64_t now_us);
void trace_leave(Trace *t, uint64_t now_us);

#endif
