#ifndef SAPPHIREWEIR_CORE_SESSION_TOKEN_H
#define SAPPHIREWEIR_CORE_SESSION_TOKEN_H

#include <glib.h>
#include <stdint.h>

enum {
    kSessionTokenKeyBytes = 32,
    kSessionTokenNonceBytes = 24,
    kSessionTokenMaxPositions = 32, /* databases per session */
    kSessionTokenMaxChars = 8192,
};

/* A position in a database's log, as the modules of an EntryCore and the
 * session tokens use it; the gateway and the director use Position
 * (core/position.h) instead.  Positions are ordered by term first. */
typedef struct {
    uint64_t term;     /* timeline of the primary that wrote the log */
    uint64_t position; /* PostgreSQL's log sequence number (LSN) */
} LogPosition;

/* The position of a session in one database. */
typedef struct {
    char *database;
    LogPosition position;
} SessionPosition;

/* The highest position that a session has written or read in each
 * database. */
typedef struct {
    GArray *positions; /* of SessionPosition */
} Session;

int log_position_compare(LogPosition a, LogPosition b);

void session_init(Session *s);
void session_clear(Session *s);
void session_advance(Session *s, const char *database, LogPosition at);
LogPosition session_get(const Session *s, const char *database);

char *session_token_seal(const Session *s, const uint8_t *key,
                         const uint8_t *nonce);
gboolean session_token_open(const char *text, const uint8_t *key, Session *s,
                            GError **error);

#endif
