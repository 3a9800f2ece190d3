#ifndef SAPPHIREWEIR_TEST_BUSY_CALLER_H
#define SAPPHIREWEIR_TEST_BUSY_CALLER_H

#include "emulator.h"

/* A caller that sends its next statements as soon as the last are answered, so
 * that its session is hardly ever idle. */
typedef struct BusyCaller BusyCaller;

BusyCaller *busy_caller_new(Emulator *e, uint32_t entry,
                            const char *const *script, uint32_t batch);
void busy_caller_free(BusyCaller *b);
gboolean busy_caller_is_closed(const BusyCaller *b);
uint64_t busy_caller_answered(const BusyCaller *b);
uint32_t busy_caller_cut_count(const BusyCaller *b);

#endif
