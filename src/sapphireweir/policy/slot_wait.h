#ifndef SAPPHIREWEIR_POLICY_SLOT_WAIT_H
#define SAPPHIREWEIR_POLICY_SLOT_WAIT_H

#include <glib.h>
#include <stdint.h>

/* How long interactive transactions usually hold a slot. */
typedef struct {
    uint64_t average_us; /* zero: none has ended yet */
} SlotHold;

void slot_hold_record(SlotHold *h, uint64_t held_us);
uint64_t slot_hold_left_us(const SlotHold *h, uint64_t held_us,
                           uint64_t longest_us);
uint64_t slot_wait_us(const GArray *held_left_us, uint32_t slots,
                      uint64_t queued_us);

#endif
