#ifndef SAPPHIREWEIR_GATEWAY_SERVER_SESSION_H
#define SAPPHIREWEIR_GATEWAY_SERVER_SESSION_H

#include "gateway/command_batch.h"

/* The session state of a connection at its backend server: the values and the
 * prepared statements that the server has acknowledged. */
typedef struct {
    GHashTable *values;   /* name -> SessionValue, NULL: none */
    GHashTable *prepared; /* name -> text, NULL: none */
    uint64_t held_bytes;  /* of the texts in both */
    uint64_t mark;        /* of the last comparison, see SessionValue */
    gboolean unknown;     /* the server may have more than this */
    GQueue open;          /* OpenCommand, sent and not answered */
    AnswerCode rejection; /* of the last change, kCodeNone: none so far */
} ServerSession;

/* What a statement needs on its connection is a list of commands, of which
 * those of other kinds than kCommandSet and kCommandPrepare are ignored. */
gboolean server_session_changes(CommandKind kind);
gboolean server_session_matches(ServerSession *s, const CommandBatch *needed,
                                gboolean in_transaction);
uint32_t server_session_count(ServerSession *s, const CommandBatch *needed,
                              gboolean in_transaction);
gboolean server_session_add(ServerSession *s, const CommandBatch *needed,
                            gboolean in_transaction, CommandBatch *batch);
gboolean server_session_is_clean(const ServerSession *s);
gboolean server_session_is_open(const ServerSession *s);
gboolean server_session_answered(ServerSession *s, const ServerAnswer *a,
                                 SessionState expected);
void server_session_all_done(ServerSession *s);
void server_session_forget(ServerSession *s);
void server_session_trim(ServerSession *s);
void server_session_clear(ServerSession *s);

#endif
