#ifndef SAPPHIREWEIR_CORE_CALL_DEFS_H
#define SAPPHIREWEIR_CORE_CALL_DEFS_H

#include "core/entry_defs.h"

/* Internal to the callers' interface: shared by caller.c and call_parse.c. */

typedef enum {
    kCallStatement,
    kCallTransaction, /* a list of statements, all or nothing */
    kCallOpen,
    kCallRun,
    kCallCommit,
    kCallRollback,
} CallKind;

typedef enum {
    kCallAdmission, /* waits for a rate token */
    kCallParked,    /* waits for a member that can serve */
    kCallWorking,   /* sent to a pool owner */
} CallState;

/* One caller's request while it is under way. */
typedef struct {
    uint64_t id;
    CallKind kind;
    CallState state;
    char *service;
    char *database;
    char *team; /* of the key; "" on an open route */
    char *key_id;
    char *transaction_id;
    char *idempotency_key;
    char *args_hash;
    GPtrArray *statements; /* Sw__Statement, owned */
    gboolean write;
    gboolean open_route;
    gboolean repeatable;
    uint32_t worth;
    uint64_t max_staleness_us;
    Session session;
    uint64_t started_us;
    uint64_t deadline_us;

    uint32_t tried_members; /* members, bit by bit */
    uint32_t attempts;
    uint32_t owner_rank;
    gboolean outcome_unknown; /* an earlier attempt may have run */
    int32_t member;
    gboolean on_primary;
    gboolean replica_eligible;
    MetricId primary_reason;
    uint64_t frame_id;
    char *sent_to;
    uint64_t attempt_deadline_us;
    uint64_t retry_at_us;
    char *last_reason;
    char *last_detail;
} Call;

/* A refusal of a request that makes no sense or is not allowed. */
typedef struct {
    uint32_t status;
    const char *type;
    char *detail;
} CallRefusal;

Call *call_parse(EntryCore *e, uint64_t now_us, const CallerRequest *r,
                 CallRefusal *refusal);

#endif
