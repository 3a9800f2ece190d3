#ifndef SAPPHIREWEIR_REPLAY_REPLAY_H
#define SAPPHIREWEIR_REPLAY_REPLAY_H

#include <glib.h>
#include <stdint.h>

/* What a replay found. */
typedef struct {
    uint64_t events;
    uint64_t actions;
    uint64_t answers;
    uint64_t differences;
    char *first_difference; /* NULL: none */
} ReplayResult;

gboolean replay_file(const char *path, ReplayResult *out, GError **error);
void replay_result_clear(ReplayResult *r);

#endif
