#include "adapter/journal.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "adapter/clock.h"

/* The process's event log on standard output.  The descriptor is non-blocking:
 * if the reader is slow, the log drops lines and the process never waits. */

static EventLog process_log;

/* GLib log writer: adds a message to the event log.  Debug and info messages
 * are discarded; critical messages and errors are written to standard output
 * at once, since the process may be about to exit. */
static GLogWriterOutput
write_message(GLogLevelFlags level, const GLogField *fields, gsize count,
              void *data)
{
    EventLine line;

    (void)data;
    if ((level & (G_LOG_LEVEL_DEBUG | G_LOG_LEVEL_INFO)) != 0) {
        return G_LOG_WRITER_HANDLED;
    }
    event_begin(&line, &process_log, clock_now_us(), kEventMessage);
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            event_text(&line, "text", fields[i].value);
        }
    }
    event_end(&line);
    if ((level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR)) != 0) {
        journal_write(&process_log);
    }
    return G_LOG_WRITER_HANDLED;
}

/* Initializes the process's event log and redirects GLib's messages to it.
 * Must be called once per process.  Returns the log, which stays valid until
 * the process exits. */
EventLog *
journal_start(const char *program, const char *instance)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    event_log_init(&process_log, program, instance, clock_wall_offset_us());
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    g_log_set_writer_func(write_message, NULL, NULL);
    return &process_log;
}

/* Writes buffered lines to standard output until a write would block. */
void
journal_write(EventLog *log)
{
    const char *data;
    size_t bytes;

    while ((bytes = event_log_peek(log, &data)) > 0) {
        ssize_t written = write(STDOUT_FILENO, data, bytes);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        event_log_consume(log, (size_t)written);
    }
}
