#ifndef SAPPHIREWEIR_POLICY_MEMORY_BUDGET_H
#define SAPPHIREWEIR_POLICY_MEMORY_BUDGET_H

#include <glib.h>
#include <stdint.h>

/* Accounts for the memory that clients make a process hold, and decides whose
 * reading pauses and which connection is closed. */
typedef struct MemoryBudget MemoryBudget;   /* of a process */
typedef struct MemoryAccount MemoryAccount; /* of one connection */

/* A limit of zero does not apply. */
typedef struct {
    uint64_t total_bytes;      /* for all clients together */
    uint64_t connection_bytes; /* for one connection */
    uint64_t source_bytes;     /* for one source address */
    uint32_t max_connections, max_source_connections;
    uint64_t team_bytes; /* for one team; see memory_account_set_team */
} MemoryLimits;

typedef enum { kMemoryOk, kMemoryPause, kMemoryClose } MemoryVerdict;

/* Counters and present values, for metrics. */
typedef struct {
    uint64_t held_bytes; /* of all connections, fixed charges included */
    uint64_t max_held_bytes;
    uint32_t connections;
    gboolean pressure;   /* reading of larger connections pauses */
    uint64_t refused;    /* connections that were not opened */
    uint64_t pauses;     /* verdicts that changed to kMemoryPause */
    uint64_t over_limit; /* verdicts kMemoryClose */
    uint64_t victims;    /* connections returned by memory_budget_victim */
    uint64_t stalled;    /* returned by memory_budget_stalled */
} MemoryStats;

MemoryBudget *memory_budget_new(const MemoryLimits *limits);
void memory_budget_free(MemoryBudget *b);
MemoryAccount *memory_account_open(MemoryBudget *b, uint64_t now_us,
                                   const char *source); /* NULL: refuse */
void memory_account_close(MemoryAccount *a);
/* Sets what the connection holds now; tells what to do with it. */
MemoryVerdict memory_account_set(MemoryAccount *a, uint64_t now_us,
                                 uint64_t held_bytes);
void memory_account_busy(MemoryAccount *a, gboolean busy);
/* Returns the connection to close next under pressure, or NULL. */
MemoryAccount *memory_budget_victim(MemoryBudget *b, uint64_t now_us);

void memory_account_set_owner(MemoryAccount *a, void *owner);
void *memory_account_owner(const MemoryAccount *a);
uint64_t memory_account_held(const MemoryAccount *a);
void memory_account_set_team(MemoryAccount *a, const char *team);
void memory_account_admit(MemoryAccount *a);
void memory_account_set_admitted(MemoryAccount *a, gboolean admitted);
MemoryAccount *memory_budget_stalled(MemoryBudget *b, const char *source);
gboolean memory_budget_source_is_full(const MemoryBudget *b,
                                      const char *source);
const char *memory_account_source(const MemoryAccount *a);
MemoryStats memory_budget_stats(const MemoryBudget *b);
void memory_stats_write(const MemoryStats *s, const char *listener,
                        GString *out);

#endif
