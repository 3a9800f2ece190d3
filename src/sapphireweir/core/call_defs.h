#ifndef SAPPHIREWEIR_CORE_CALL_DEFS_H
#define SAPPHIREWEIR_CORE_CALL_DEFS_H

#include "core/entry_defs.h"

/* Internal to the handling of caller requests; shared by caller.c and
 * call_parse.c.
 *
 * An interactive transaction stays open between requests, each of which runs
 * one statement in it.  An open route is a call of statements that need no
 * API key. */

typedef enum {
    kCallStatement,   /* runs one statement */
    kCallTransaction, /* runs a list of statements as one transaction */
    kCallOpen,        /* begins an interactive transaction */
    kCallRun,         /* runs one statement in an interactive transaction */
    kCallCommit,      /* commits an interactive transaction */
    kCallRollback,    /* rolls an interactive transaction back */
} CallKind;

typedef enum {
    kCallAdmission, /* waits for a rate token */
    kCallParked,    /* waits until its next routing attempt */
    kCallWorking,   /* sent to a pool owner, waits for the reply */
} CallState;

/* A caller's request that has got no response yet. */
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
    gboolean open_route;       /* no statement needs an API key */
    gboolean repeatable;       /* running it twice does no harm */
    uint32_t priority;         /* in the team's queue; higher first */
    uint64_t max_staleness_us; /* maximum age of the data read */
    Session session; /* from the session token, advanced by the reply */
    uint64_t started_us;
    uint64_t deadline_us;

    uint32_t tried_members; /* bit i is member i of the database */
    uint32_t attempts;
    uint32_t owner_rank;       /* rank to send to first; 0: the pool owner, 1:
                               * its successor, ... */
    gboolean outcome_unknown;  /* a write whose earlier attempt may have run */
    int32_t member;            /* chosen member's index; -1: none */
    gboolean on_primary;       /* member is the primary */
    gboolean kept_by_price;    /* on the primary, as a replica is elsewhere */
    gboolean replica_eligible; /* a replica was allowed to serve the read */
    CrossingReason crossing;   /* see RouteChoice */
    MetricId primary_reason;   /* counter of reads that a primary serves for
                                * the same reason */
    uint64_t frame_id;         /* of the current attempt */
    char *sent_to; /* instance id of the current attempt's pool owner */
    uint64_t attempt_deadline_us;
    uint64_t retry_at_us; /* while parked */
    char *last_reason;    /* why the last attempt failed; NULL: none did */
    char *last_detail;    /* explains last_reason to the caller */
} Call;

/* The refusal of a request that is malformed or not permitted. */
typedef struct {
    uint32_t status;
    const char *type; /* last part of the RFC 9457 problem type */
    char *detail;     /* allocated */
} CallRefusal;

Call *call_parse(EntryCore *e, uint64_t now_us, const CallerRequest *r,
                 CallRefusal *refusal);

#endif
