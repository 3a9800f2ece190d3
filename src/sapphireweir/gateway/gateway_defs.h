#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_DEFS_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_DEFS_H

#include <glib.h>
#include <stdint.h>

#include "core/position.h"
#include "proto/sapphireweir.pb-c.h"

typedef enum {
    kStatementBegin,
    kStatementBeginRead,
    kStatementCommit,
    kStatementRollback,
    kStatementRead,
    kStatementWrite,
    kStatementSet,
    kStatementPrepare,
    kStatementExecute,
    kStatementDeallocate,
    kStatementMalformed,
} StatementKind;

/* A caller's statement; the strings are the driver's, "" where absent. */
typedef struct {
    StatementKind kind;
    const char *id;
    const char *text; /* the whole statement, to be forwarded unchanged */
    const char *name; /* of a value or prepared statement */
    const char *value;
    const char *shape; /* PREPARE: what is prepared */
    const char *rest;  /* EXECUTE: all behind the name */
    gboolean writes;   /* PREPARE: the access that it names */
} Statement;

typedef enum {
    kSessionIdle,
    kSessionInTransaction,
    kSessionFailed,
} SessionState;

typedef enum {
    kCodeNone,
    /* Nothing of the attempt is kept. */
    kCodeBusy,
    kCodeAborted,
    kCodeLagging,
    kCodeReadOnly,
    kCodeMisrouted,
    kCodeTooMany,
    /* The statement did not run at the backend server. */
    kCodeNoStatement,
    /* It ran, or may have run. */
    kCodeFailed,
    kCodeTimeout,
    kCodeInDoubt,
    /* The caller's own mistakes. */
    kCodeMalformed,
    kCodeNoDatabase,
    kCodeNoAuth,
    kCodeOther,
} AnswerCode;

/* What a backend server answers to one command.  Strings are good for the
 * call only. */
typedef struct {
    AnswerCode code; /* kCodeNone: completed */
    const char *code_text;
    const char *detail;
    const char *rows; /* the rows as they came, NULL when there are none */
    size_t rows_bytes;
    const char *tag; /* proof of the run that goes with a completion */
    SessionState state;
    Position position;
    const char *position_text;
} ServerAnswer;

/* What a caller is told; one for each statement. */
typedef struct {
    AnswerCode code;
    const char *code_text; /* for kCodeOther */
    const char *detail;
    const char *rows;
    size_t rows_bytes;
    const char *tag; /* NULL: answered without a backend server */
    SessionState state;
    const char *position_text; /* NULL: none */
} CallerAnswer;

typedef enum {
    kCommandReset,
    kCommandSet,
    kCommandPrepare,
    kCommandBegin,
    kCommandBeginRead,
    kCommandRollback,
    kCommandStatement,
    kCommandStatus,
    kCommandStepDown,
} CommandKind;

/* One command to a backend server. */
typedef struct {
    CommandKind kind;
    const char *id;   /* of the caller's statement */
    const char *text; /* the caller's statement */
    const char *name;
    const char *value;
    gboolean writes;
    Position after; /* a zero term: none */
    uint64_t term;  /* of the primary that kCommandStepDown tells of */
} ServerCommand;

/* What becomes of a link to a backend server, until it is closed. */
typedef struct {
    void (*ready)(void *owner, uint64_t now_us);
    void (*answer)(void *owner, uint64_t now_us, const ServerAnswer *a);
    void (*down)(void *owner, uint64_t now_us, AnswerCode code);
} ServerEvents;

/* What the gateway's decisions need of the world. */
typedef struct {
    void *ctx;
    void (*caller_answer)(void *ctx, void *caller, const CallerAnswer *a);
    void (*caller_close)(void *ctx, void *caller);
    /* Opens a link; the events come later, never from within the call. */
    void *(*server_open)(void *ctx, const ServerEvents *events, void *owner,
                         const char *address, const char *database,
                         const char *team, const char *server_id);
    void (*server_send)(void *ctx, void *link, const ServerCommand *commands,
                        size_t count);
    /* Closes a link; nothing is reported of it any more. */
    void (*server_close)(void *ctx, void *link);
    /* Sends to another instance of the system, or to this one itself. */
    void (*peer_send)(void *ctx, const char *to, const Sw__Frame *frame);
    void (*peer_known)(void *ctx, const char *address);
    /* Whether what is sent now has a link to travel on. */
    gboolean (*peer_ready)(void *ctx, const char *address);
} GatewayPort;

#endif
