#ifndef SAPPHIREWEIR_CORE_CALL_DEFS_H
#define SAPPHIREWEIR_CORE_CALL_DEFS_H

#include "core/entry_defs.h"

/* Internal to the handling of caller requests; shared by caller.c and
 * call_parse.c. */

typedef enum {
    kCallStatement,   /* one statement */
    kCallTransaction, /* a list of statements, run as one transaction */
    kCallOpen,        /* begins an interactive transaction */
    kCallRun,         /* one statement in an interactive transaction */
    kCallCommit,      /* ends an interactive transaction */
    kCallRollback,    /* ends an interactive transaction */
} CallKind;

typedef enum {
    kCallAdmission, /* waits for a rate token */
    kCallParked,    /* waits until its next routing attempt */
    kCallWorking,   /* sent to a pool owner, waits for the reply */
} CallState;

/* A caller's request that has not been answered yet. */
typedef struct {
    uint64_t id;
    CallKind kind;
    CallState state;
    char *service;
    char *database;
    char *team;            /* team of the API key; "" on an open route */
    char *key_id;          /* "" on an open route */
    char *transaction_id;  /* interactive transaction; NULL: none */
    char *idempotency_key; /* NULL: none */
    char *args_hash;       /* hash of path and body, in hexadecimal */
    GPtrArray *statements; /* Sw__Statement, owned */
    gboolean write;
    gboolean open_route; /* all statements may run without an API key */
    gboolean repeatable; /* running it twice does no harm */
    uint32_t worth;      /* priority in the team's queue; higher first */
    uint64_t max_staleness_us;
    Session session; /* from the session token, advanced by the reply */
    uint64_t started_us;
    uint64_t deadline_us;

    uint32_t tried_members; /* bit i is member i of the database */
    uint32_t attempts;
    uint32_t owner_rank;      /* pool owner or successor to send to first */
    gboolean outcome_unknown; /* a write whose earlier attempt may have run */
    int32_t member;           /* index in the database; -1: none */
    gboolean on_primary;
    gboolean replica_eligible; /* a replica was allowed to serve the read */
    MetricId primary_reason;   /* counter: why a primary served the read */
    uint64_t frame_id;         /* of the current attempt */
    char *sent_to; /* instance id of the current attempt's pool owner */
    uint64_t attempt_deadline_us;
    uint64_t retry_at_us; /* while parked */
    char *last_reason;    /* why the last attempt failed; NULL: none did */
    char *last_detail;
} Call;

/* The refusal of a request that is malformed or not permitted. */
typedef struct {
    uint32_t status;
    const char *type; /* problem type */
    char *detail;     /* allocated */
} CallRefusal;

Call *call_parse(EntryCore *e, uint64_t now_us, const CallerRequest *r,
                 CallRefusal *refusal);

#endif
