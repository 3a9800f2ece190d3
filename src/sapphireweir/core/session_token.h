#ifndef SAPPHIREWEIR_CORE_SESSION_TOKEN_H
#define SAPPHIREWEIR_CORE_SESSION_TOKEN_H

#include <glib.h>
#include <stdint.h>

enum {
    kSessionTokenKeyBytes = 32,
    kSessionTokenNonceBytes = 24,
    kSessionTokenMaxPositions = 32,
    kSessionTokenMaxChars = 8192,
};

/* A place in a database's history; terms compare before positions. */
typedef struct {
    uint64_t term;
    uint64_t position;
} LogPosition;

typedef struct {
    char *database;
    LogPosition position;
} SessionPosition;

/* Highest position a session has written or read, one for each database. */
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
