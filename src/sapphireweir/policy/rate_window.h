#ifndef SAPPHIREWEIR_POLICY_RATE_WINDOW_H
#define SAPPHIREWEIR_POLICY_RATE_WINDOW_H

#include <stdint.h>

enum {
    kRateWindowSlots = 250,
    /* A token counts for so many slots after its own: the window's length, and
     * two more since operations run up to 40 ms after their tokens become
     * valid (messages, and the ticks of entry instances). */
    kRateCountedSlots = kRateWindowSlots + 2,
    kRateAheadSlots = 100, /* tokens can be reserved for so many slots ahead */
    kRateTokensMax = 256,  /* in one request */
    /* Entry instances use or return a token within this time after it has
     * become valid. */
    kRateTokenKeptUs = 300000,
    kRateRingSlots = kRateCountedSlots + 1 + kRateAheadSlots,
};

/* The tokens that are accounted for one slot. */
typedef struct {
    uint32_t taken;
    uint32_t limit; /* under which they were taken */
} RateSlot;

/* The tokens that were taken within a sliding time window, or reserved for
 * the time after it, counted in slots of equal length. */
typedef struct {
    uint64_t window_us;
    uint64_t limit;                 /* tokens within any window */
    RateSlot slots[kRateRingSlots]; /* a ring */
    uint64_t newest_slot; /* number of the present slot, from time zero */
    uint64_t used_milli;  /* weight of the window that ends with newest_slot */
    uint64_t ahead_milli; /* weight of the slots after newest_slot */
    uint64_t exceeded_us; /* when the team was last above its limit */
    uint64_t hinted_us;   /* time that the last retry hint named */
} RateWindow;

/* Tokens that a request got, the wanted ones first. */
typedef struct {
    uint32_t wanted;
    uint32_t spare;
    uint64_t spare_us; /* time for which the spare ones are accounted */
} RateGrant;

/* A request for tokens. */
typedef struct {
    uint32_t wanted;       /* tokens for operations that wait */
    uint32_t spare;        /* more, if the team is far from its limit */
    uint64_t max_delay_us; /* maximum useful delay of the wanted tokens */
    uint64_t reserved;     /* tokens of instances that cannot request any */
} RateRequest;

void rate_window_init(RateWindow *w, uint64_t now_us, uint64_t window_us,
                      uint64_t limit, uint64_t used);
void rate_window_set_limit(RateWindow *w, uint64_t limit);
uint32_t rate_window_take(RateWindow *w, uint64_t now_us, uint32_t wanted,
                          uint64_t reserved);
RateGrant rate_window_reserve(RateWindow *w, uint64_t now_us,
                              const RateRequest *request, uint64_t *delays_us);
uint32_t rate_window_return(RateWindow *w, uint64_t now_us, uint64_t taken_us,
                            uint32_t count);
void rate_window_add(RateWindow *w, uint64_t now_us, uint64_t used_us,
                     uint32_t count);
uint64_t rate_window_used(RateWindow *w, uint64_t now_us);
uint64_t rate_window_wait_us(RateWindow *w, uint64_t now_us);
uint64_t rate_window_hint_us(RateWindow *w, uint64_t now_us,
                             uint64_t reserved);

#endif
