#ifndef SAPPHIREWEIR_CORE_FAIR_QUEUE_H
#define SAPPHIREWEIR_CORE_FAIR_QUEUE_H

#include <glib.h>
#include <stdint.h>

/* A queue that serves teams in proportion to their weights. */
typedef struct FairQueue FairQueue;

FairQueue *fair_queue_new(uint32_t team_limit);
void fair_queue_free(FairQueue *q);
gboolean fair_queue_push(FairQueue *q, const char *team, uint32_t weight,
                         uint32_t priority, uint64_t cost_us, void *item);
void *fair_queue_pop(FairQueue *q);
gboolean fair_queue_remove(FairQueue *q, void *item);
void *fair_queue_find(FairQueue *q,
                      gboolean (*matches)(const void *item, const void *ctx),
                      const void *ctx);
uint32_t fair_queue_length(const FairQueue *q);
uint64_t fair_queue_wait_us(const FairQueue *q, const char *team,
                            uint32_t weight, uint32_t priority);

#endif
