#ifndef SAPPHIREWEIR_STANDIN_STORE_H
#define SAPPHIREWEIR_STANDIN_STORE_H

#include <glib.h>
#include <jansson.h>
#include <sqlite3.h>
#include <stdint.h>

typedef struct Store Store;

/* One committed transaction, as it is shipped to replicas. */
typedef struct {
    uint64_t position; /* log position of the entry's end */
    uint64_t term;     /* timeline of the primary that committed it */
    char *sql;         /* JSON list of statements */
} StoreEntry;

/* Callbacks to the member.  All but committed are called by the SQL functions
 * that emulate PostgreSQL's. */
typedef struct {
    void *ctx;
    gboolean (*receiving)(void *ctx);    /* is the primary's stream open? */
    const char *(*last_seen)(void *ctx); /* see follower_last_seen */
    char *(*replicas)(void *ctx);        /* see sessions_replicas */
    void (*reload)(void *ctx);
    void (*promote)(void *ctx);
    void (*committed)(void *ctx); /* an entry was appended */
} StoreEvents;

Store *store_open(const char *folder, const StoreEvents *events,
                  GError **error);
void store_close(Store *s);
sqlite3 *store_connect(Store *s);

uint64_t store_timeline(const Store *s);
gboolean store_in_recovery(const Store *s);
uint64_t store_received(const Store *s);
uint64_t store_replayed(const Store *s);
const char *store_conninfo(const Store *s);
void store_set_conninfo(Store *s, const char *conninfo);
void store_set_role(Store *s, gboolean in_recovery, uint64_t timeline);

gboolean store_append(Store *s, sqlite3 *db, json_t *statements);
gboolean store_receive(Store *s, const StoreEntry *entry);
gboolean store_replay_next(Store *s);
gboolean store_entry_after(Store *s, uint64_t position, StoreEntry *out);
gboolean store_has(Store *s, uint64_t position, uint64_t term);
uint64_t store_last_term(Store *s);
void store_entry_clear(StoreEntry *entry);
gboolean store_reset(Store *s, GError **error);

char *store_translate(const char *sql);

#endif
