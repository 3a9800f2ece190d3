#include "gateway/server_session.h"

#include <string.h>

/* A statement may be sent only on a connection whose session state is that of
 * its caller.  A server can reject each command that changes the state, or
 * its answer can be lost, so a change counts from its acknowledgement on, and
 * any other answer makes the whole state unknown.  A RESET makes it known
 * again.  It is not sent in a transaction: there the state begins as that of
 * the session, whose values are only added to, so that sending all of them
 * again is enough. */

enum {
    kPreparedMax = 64,       /* per connection; more cause a RESET */
    kIdleBytesMax = 16384,   /* of values and statements while unused */
    kTextOverheadBytes = 64, /* of a kept value or statement */
};

/* A value at the server. */
typedef struct {
    char *text;
    uint64_t mark; /* of the last comparison that needed it */
} SessionValue;

/* A command without an answer; name and value are NULL for a RESET. */
typedef struct {
    CommandKind kind;
    char *name;
    char *value;
} OpenCommand;

static void
value_free(void *data)
{
    SessionValue *v = data;
    g_free(v->text);
    g_free(v);
}

static void
open_command_free(void *data)
{
    OpenCommand *c = data;
    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

/* Removes all values and prepared statements. */
static void
drop_all(ServerSession *s)
{
    g_clear_pointer(&s->values, g_hash_table_destroy);
    g_clear_pointer(&s->prepared, g_hash_table_destroy);
    s->held_bytes = 0;
}

/* ---- comparing ---- */

/* Returns the server's value of a name, NULL if it has none. */
static SessionValue *
value_of(const ServerSession *s, const char *name)
{
    return s->values == NULL ? NULL : g_hash_table_lookup(s->values, name);
}

/* Returns the text that the server has prepared under a name, NULL if there
 * is none. */
static const char *
prepared_text(const ServerSession *s, const char *name)
{
    return s->prepared == NULL ? NULL : g_hash_table_lookup(s->prepared, name);
}

/* Tells whether the server has what a command sets or prepares. */
static gboolean
has(const ServerSession *s, const ServerCommand *c)
{
    if (c->kind == kCommandPrepare) {
        return g_strcmp0(prepared_text(s, c->name), c->value) == 0;
    }
    if (c->kind == kCommandSet) {
        const SessionValue *v = value_of(s, c->name);
        return v != NULL && strcmp(v->text, c->value) == 0;
    }
    return TRUE;
}

/* Tells whether another text is prepared under the name of a needed one. */
static gboolean
has_other_text(const ServerSession *s, const CommandBatch *needed)
{
    for (size_t i = 0; i < needed->count; i++) {
        const ServerCommand *c = &needed->commands[i];
        if (c->kind == kCommandPrepare && prepared_text(s, c->name) != NULL &&
            !has(s, c)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Tells whether the server has a value that is not needed. */
static gboolean
has_other_values(ServerSession *s, const CommandBatch *needed)
{
    guint marked = 0;

    if (s->values == NULL) {
        return FALSE;
    }
    s->mark++;
    for (size_t i = 0; i < needed->count; i++) {
        const ServerCommand *c = &needed->commands[i];
        SessionValue *v = c->kind == kCommandSet ? value_of(s, c->name) : NULL;
        if (v != NULL && v->mark != s->mark) {
            v->mark = s->mark;
            marked++;
        }
    }
    return marked < g_hash_table_size(s->values);
}

/* Tells whether only a RESET can give the connection the needed state. */
static gboolean
needs_reset(ServerSession *s, const CommandBatch *needed)
{
    return s->unknown ||
           (s->prepared != NULL &&
            g_hash_table_size(s->prepared) >= kPreparedMax) ||
           has_other_text(s, needed) || has_other_values(s, needed);
}

/* Tells whether commands of a kind change the session state. */
gboolean
server_session_changes(CommandKind kind)
{
    return kind == kCommandReset || kind == kCommandSet ||
           kind == kCommandPrepare;
}

/* Tells whether the connection has the needed state: all that is needed and,
 * outside of a transaction, no other value. */
gboolean
server_session_matches(ServerSession *s, const CommandBatch *needed,
                       gboolean in_transaction)
{
    return server_session_count(s, needed, in_transaction) == 0;
}

/* Tells whether the connection surely has no value. */
gboolean
server_session_is_clean(const ServerSession *s)
{
    return !s->unknown &&
           (s->values == NULL || g_hash_table_size(s->values) == 0);
}

/* Returns how many commands server_session_add appends. */
uint32_t
server_session_count(ServerSession *s, const CommandBatch *needed,
                     gboolean in_transaction)
{
    gboolean resets = !in_transaction && needs_reset(s, needed);
    uint32_t count = resets;

    for (size_t i = 0; i < needed->count; i++) {
        const ServerCommand *c = &needed->commands[i];
        if (c->kind == kCommandSet || c->kind == kCommandPrepare) {
            count += resets || !has(s, c);
        }
    }
    return count;
}

/* ---- changing ---- */

/* Appends a command and keeps what it changes until its answer. */
static void
add(ServerSession *s, const ServerCommand *c, CommandBatch *batch)
{
    OpenCommand *open = g_new(OpenCommand, 1);

    *open = (OpenCommand){c->kind, g_strdup(c->name), g_strdup(c->value)};
    g_queue_push_tail(&s->open, open);
    command_batch_add(batch, *c);
}

/* Appends the commands that give the connection the needed state; none if it
 * has that.  Returns FALSE, and appends nothing, if that is impossible in the
 * transaction. */
gboolean
server_session_add(ServerSession *s, const CommandBatch *needed,
                   gboolean in_transaction, CommandBatch *batch)
{
    gboolean resets = !in_transaction && needs_reset(s, needed);

    s->rejection = kCodeNone;
    if (in_transaction && has_other_text(s, needed)) {
        return FALSE;
    }
    if (resets) {
        add(s, &(ServerCommand){.kind = kCommandReset}, batch);
    }
    for (size_t i = 0; i < needed->count; i++) {
        const ServerCommand *c = &needed->commands[i];
        if ((c->kind == kCommandSet || c->kind == kCommandPrepare) &&
            (resets || !has(s, c))) {
            add(s, c, batch);
        }
    }
    return TRUE;
}

/* Tells whether a command of server_session_add has no answer yet. */
gboolean
server_session_is_open(const ServerSession *s)
{
    return s->open.length > 0;
}

/* Records a value or prepared statement that the server has acknowledged. */
static void
keep(ServerSession *s, OpenCommand *c)
{
    s->held_bytes += strlen(c->name) + strlen(c->value) + kTextOverheadBytes;
    if (c->kind == kCommandSet) {
        SessionValue *v = g_new0(SessionValue, 1);
        if (s->values == NULL) {
            s->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              value_free);
        }
        v->text = g_steal_pointer(&c->value);
        g_hash_table_replace(s->values, g_steal_pointer(&c->name), v);
        return;
    }
    if (s->prepared == NULL) {
        s->prepared =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_replace(s->prepared, g_steal_pointer(&c->name),
                         g_steal_pointer(&c->value));
}

/* Ends the wait for the answer to the oldest open command; done tells whether
 * the server has acknowledged it. */
static void
command_answered(ServerSession *s, gboolean done)
{
    OpenCommand *c = g_queue_pop_head(&s->open);

    if (!done) {
        server_session_forget(s);
    }
    else if (c->kind == kCommandReset) {
        drop_all(s);
        s->unknown = FALSE;
    }
    else {
        keep(s, c);
    }
    open_command_free(c);
}

/* Handles the answer to the oldest open command.  The server acknowledges the
 * command if it names no error and the expected state: the command must leave
 * the connection inside of the session's transaction, or outside of any.
 * Returns FALSE, and sets s->rejection, if it does not. */
gboolean
server_session_answered(ServerSession *s, const ServerAnswer *a,
                        SessionState expected)
{
    gboolean done = a->code == kCodeNone && a->state == expected;

    command_answered(s, done);
    if (!done && s->rejection == kCodeNone) {
        /* In an unexpected state, the code is no judgement of the command. */
        s->rejection = a->state == expected ? a->code : kCodeOther;
    }
    return done;
}

/* Handles an answer that acknowledges all open commands. */
void
server_session_all_done(ServerSession *s)
{
    while (server_session_is_open(s)) {
        command_answered(s, TRUE);
    }
}

/* Records that the server may have any state. */
void
server_session_forget(ServerSession *s)
{
    drop_all(s);
    s->unknown = TRUE;
}

/* Forgets the state of a connection that is not in use if it takes much
 * memory. */
void
server_session_trim(ServerSession *s)
{
    if (s->held_bytes > kIdleBytesMax) {
        server_session_forget(s);
    }
}

/* Frees all memory. */
void
server_session_clear(ServerSession *s)
{
    drop_all(s);
    g_queue_clear_full(&s->open, open_command_free);
}
