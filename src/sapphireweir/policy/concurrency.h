#ifndef SAPPHIREWEIR_POLICY_CONCURRENCY_H
#define SAPPHIREWEIR_POLICY_CONCURRENCY_H

#include <glib.h>
#include <stdint.h>

/* Limit on the statements that one instance has open at one backend server,
 * adapted to the answers of the server. */
typedef struct {
    uint32_t limit_milli; /* thousandths of a statement */
    uint64_t lowered_us;  /* when the limit was last lowered */
} Concurrency;

void concurrency_init(Concurrency *c);
uint32_t concurrency_limit(const Concurrency *c);
void concurrency_answered(Concurrency *c, uint64_t now_us, uint64_t took_us,
                          uint32_t open, uint32_t max_open);
void concurrency_rejected(Concurrency *c, uint64_t now_us);

#endif
