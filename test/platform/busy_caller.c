#include "busy_caller.h"

#include <stdio.h>
#include <string.h>

enum {
    kBatchMax = 4,
    /* A statement that was sent so shortly before the end of its connection,
     * and reached no member, may be cut off: the instance may not have read
     * it. */
    kLossSlackUs = 200000,
};

struct BusyCaller {
    Emulator *emulator;
    EmulatorCaller *connection;
    const char *const *script; /* statements, repeated; ends with NULL */
    uint32_t batch;            /* statements sent at once */
    uint32_t next;             /* index into script */
    char ids[kBatchMax][24];   /* of the statements sent last */
    gint64 sent_us;
    uint64_t answered;
};

/* Sends the next statements: those of the script or, in a failed transaction,
 * ROLLBACK. */
static void
send_batch(BusyCaller *b)
{
    static uint32_t last_id;
    gboolean failed = strstr(caller_answers(b->connection), "READY E") != NULL;
    GString *text = g_string_new(NULL);

    caller_discard_answers(b->connection);
    b->sent_us = g_get_monotonic_time();
    for (uint32_t i = 0; i < b->batch; i++) {
        if (failed || b->script[b->next] == NULL) {
            b->next = 0;
        }
        g_snprintf(b->ids[i], sizeof(b->ids[i]), "busy-%u", ++last_id);
        g_string_append_printf(text, "QUERY %s %s\r\n", b->ids[i],
                               failed ? "ROLLBACK" : b->script[b->next++]);
    }
    caller_send(b->connection, text->str);
    g_string_free(text, TRUE);
}

/* Handles answers: sends the next statements once all are answered. */
static void
on_answers(void *ctx)
{
    BusyCaller *b = ctx;

    if (caller_answer_count(b->connection) >= b->batch) {
        b->answered += b->batch;
        send_batch(b);
    }
}

/* Opens a session at an entry instance and sends the first statements of the
 * script, batch of them at once, at most kBatchMax.  Returns NULL if the
 * instance does not accept the session.  Free the result with
 * busy_caller_free. */
BusyCaller *
busy_caller_new(Emulator *e, uint32_t entry, const char *const *script,
                uint32_t batch)
{
    EmulatorCaller *c = caller_connect(e, entry);

    if (!g_str_has_prefix(caller_request(c, "STARTUP shop key-1"),
                          "READY I")) {
        caller_close(c);
        return NULL;
    }
    BusyCaller *b = g_new0(BusyCaller, 1);
    b->emulator = e;
    b->connection = c;
    b->script = script;
    b->batch = MIN(batch, (uint32_t)kBatchMax);
    caller_set_handler(c, on_answers, b);
    send_batch(b);
    return b;
}

/* Closes the connection and frees the caller. */
void
busy_caller_free(BusyCaller *b)
{
    caller_close(b->connection);
    g_free(b);
}

/* Returns whether the entry instance has closed the connection. */
gboolean
busy_caller_is_closed(const BusyCaller *b)
{
    return caller_is_closed(b->connection);
}

/* Returns how many statements were answered. */
uint64_t
busy_caller_answered(const BusyCaller *b)
{
    return b->answered;
}

/* Returns how many statements were cut off when the connection was closed. */
uint32_t
busy_caller_cut_count(const BusyCaller *b)
{
    gint64 open_us = caller_closed_us(b->connection) - b->sent_us;
    uint32_t cut = 0;

    for (uint32_t i = caller_answer_count(b->connection); i < b->batch; i++) {
        if (emulator_received_statement(b->emulator, b->ids[i]) ||
            open_us > kLossSlackUs) {
            printf("\n    %s: no answer after %ld ms\n", b->ids[i],
                   (long)open_us / 1000);
            cut++;
        }
    }
    return cut;
}
