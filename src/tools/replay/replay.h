#ifndef SAPPHIREWEIR_REPLAY_REPLAY_H
#define SAPPHIREWEIR_REPLAY_REPLAY_H

#include <glib.h>
#include <stdint.h>

/* Counts of a replay, and the first difference from the trace. */
typedef struct {
    uint64_t events;  /* fed to the core */
    uint64_t actions; /* taken by the core through its port */
    uint64_t answers; /* actions that respond to a caller */
    uint64_t differences;
    char *first_difference; /* description, NULL: none */
} ReplayResult;

gboolean replay_file(const char *path, ReplayResult *out, GError **error);
void replay_result_clear(ReplayResult *r);

#endif
