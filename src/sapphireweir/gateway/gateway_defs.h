#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_DEFS_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_DEFS_H

#include <glib.h>
#include <stdint.h>

#include "core/position.h"
#include "proto/sapphireweir.pb-c.h"

typedef enum {
    kStatementBegin,
    kStatementBeginRead, /* of a read-only transaction */
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

/* A caller's statement.  The strings belong to the driver and are "" where
 * absent. */
typedef struct {
    StatementKind kind;
    const char *id;
    const char *text; /* the whole statement, to be forwarded unchanged */
    const char *name; /* of a value or prepared statement */
    const char *value;
    const char *prepared_text; /* PREPARE: text of the statement to prepare */
    const char *arguments; /* EXECUTE: the arguments that follow the name */
    gboolean writes;       /* PREPARE: declared as a write */
} Statement;

typedef enum {
    kSessionIdle,
    kSessionInTransaction,
    kSessionFailed, /* in a failed transaction, which can only be ended */
} SessionState;

typedef enum {
    kCodeNone, /* no error */
    /* The attempt was rejected and had no effect. */
    kCodeBusy,        /* overloaded; a retry may succeed */
    kCodeAborted,     /* the transaction was rolled back */
    kCodeLagging,     /* a replica has not reached the required position */
    kCodeReadOnly,    /* a write was sent to a replica */
    kCodeMisrouted,   /* a different server has this address */
    kCodeTooMany,     /* the server has too many connections */
    kCodeNoStatement, /* the prepared statement is not known */
    /* The statement ran, or may have run. */
    kCodeFailed,  /* the statement failed at the server */
    kCodeTimeout, /* no answer in time */
    kCodeInDoubt, /* whether a write took effect is not known */
    /* Errors in the caller's request. */
    kCodeMalformed,  /* invalid, or not allowed in the session's state */
    kCodeNoDatabase, /* no route for the host */
    kCodeNoAuth,     /* the key is not valid */
    kCodeOther,      /* any other error */
} AnswerCode;

/* A backend server's answer to one command.  Strings are valid only during
 * the call. */
typedef struct {
    AnswerCode code; /* kCodeNone: completed */
    const char *code_text;
    const char *detail;
    const char *rows; /* unparsed, NULL when there are none */
    size_t rows_bytes;
    const char *tag; /* completion tag that the server returned */
    SessionState state;
    Position position;
    const char *position_text;
} ServerAnswer;

/* The answer to a caller; each statement gets exactly one. */
typedef struct {
    AnswerCode code;
    const char *code_text; /* for kCodeOther */
    const char *detail;
    const char *rows;
    size_t rows_bytes;
    const char *tag; /* completion tag, NULL if no backend server ran it */
    SessionState state;
    const char *position_text; /* NULL: none */
    /* The driver closes the connection behind this answer, unless the caller
     * has already sent more. */
    gboolean closes;
} CallerAnswer;

typedef enum {
    kCommandReset, /* discards all values and prepared statements */
    kCommandSet,
    kCommandPrepare,
    kCommandBegin,
    kCommandBeginRead,
    kCommandRollback,
    kCommandStatement,
    kCommandStatus,   /* queries role, term and log position */
    kCommandStepDown, /* makes a former primary follow a newer one */
} CommandKind;

/* One command to a backend server. */
typedef struct {
    CommandKind kind;
    const char *id;    /* the id of the caller's statement */
    const char *text;  /* the caller's statement */
    const char *name;  /* of a value or prepared statement */
    const char *value; /* or the text of the statement to prepare */
    gboolean writes;   /* kCommandPrepare: the statement is a write */
    Position after;    /* minimum position of a read, zero term: none */
    uint64_t term;     /* kCommandStepDown: term of the new primary */
} ServerCommand;

/* Event handlers of a link to a backend server; none is called after the
 * link is closed. */
typedef struct {
    void (*ready)(void *owner, uint64_t now_us);
    void (*answer)(void *owner, uint64_t now_us, const ServerAnswer *a);
    void (*down)(void *owner, uint64_t now_us, AnswerCode code);
} ServerEvents;

/* Operations that the driver provides to the gateway; ctx is passed to each
 * of them. */
typedef struct {
    void *ctx;
    /* Sends the answer to a caller's statement. */
    void (*caller_answer)(void *ctx, void *caller, const CallerAnswer *a);
    /* Closes a caller's connection; the gateway then closes its session.
     * Returns FALSE, and leaves it open, if the caller has sent a statement
     * that the gateway does not know yet. */
    gboolean (*caller_close)(void *ctx, void *caller);
    /* Returns a new link to a backend server.  Events arrive after the call
     * has returned, never during it. */
    void *(*server_open)(void *ctx, const ServerEvents *events, void *owner,
                         const char *address, const char *database,
                         const char *team, const char *server_id);
    /* Sends commands on a link; each of them gets one answer. */
    void (*server_send)(void *ctx, void *link, const ServerCommand *commands,
                        size_t count);
    /* Closes a link; no event is delivered for it afterwards. */
    void (*server_close)(void *ctx, void *link);
    /* Sends a message to an instance, which may be this one. */
    void (*peer_send)(void *ctx, const char *to, const Sw__Frame *frame);
    /* Adds an instance to those that the driver keeps a link to. */
    void (*add_peer)(void *ctx, const char *address);
    /* Tells whether a link to the instance is established. */
    gboolean (*peer_ready)(void *ctx, const char *address);
} GatewayPort;

#endif
