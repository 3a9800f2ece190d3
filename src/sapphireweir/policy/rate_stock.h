#ifndef SAPPHIREWEIR_POLICY_RATE_STOCK_H
#define SAPPHIREWEIR_POLICY_RATE_STOCK_H

#include <glib.h>
#include <stdint.h>

enum {
    /* Tokens for each slot within the longest wait budget, and some that can
     * be used now. */
    kRateStockBatches = 64,
    kRateUsageBins = 11,
};

/* Tokens of one team that the leader granted together. */
typedef struct {
    uint64_t ready_us;  /* usable from then on */
    uint64_t expiry_us; /* and until then */
    uint64_t taken_us;  /* accounted for this time of the leader's clock */
    uint32_t count;
} RateBatch;

/* The unused tokens of one team at an entry instance. */
typedef struct {
    RateBatch batches[kRateStockBatches]; /* by ready_us */
    uint32_t batch_count;
    uint32_t total;
} RateStock;

/* Operations of one team that an entry instance admitted, in bins of half a
 * second that cover the window. */
typedef struct {
    uint64_t newest_bin;
    uint32_t granted[kRateUsageBins]; /* with tokens of the present leader */
    uint32_t other[kRateUsageBins];   /* which the present leader lacks */
} RateUsage;

uint32_t rate_stock_add(RateStock *s, uint64_t now_us, uint64_t delay_us,
                        uint64_t taken_us, uint32_t count);
uint32_t rate_stock_give_back(RateStock *s, uint64_t taken_us);
gboolean rate_stock_take(RateStock *s, uint64_t now_us, uint64_t *taken_us);
uint64_t rate_stock_ready_us(const RateStock *s, uint32_t index);
gboolean rate_stock_has_expired(const RateStock *s, uint64_t now_us);
RateBatch rate_stock_release(RateStock *s, uint64_t now_us);
uint32_t rate_stock_wanted(const RateStock *s, uint32_t waiting);
uint32_t rate_stock_spare(const RateStock *s, uint32_t waiting,
                          uint64_t demand_milli);
gboolean rate_stock_is_low(const RateStock *s, uint64_t demand_milli);
uint64_t rate_wait_budget_us(uint64_t objective_us, uint64_t timeout_us);

void rate_usage_count(RateUsage *u, uint64_t now_us, gboolean granted);
void rate_usage_leader_changed(RateUsage *u, uint64_t now_us);
size_t rate_usage_report(RateUsage *u, uint64_t now_us, uint32_t *bins);
uint64_t rate_usage_phase_us(uint64_t now_us);
uint64_t rate_usage_age_us(size_t bin, uint64_t phase_us);

#endif
