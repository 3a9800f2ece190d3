#include "adapter/log.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* GLib's log messages on standard error, one line each, as text or JSON. */

typedef struct {
    const char *program;
    const char *instance_id;
    gboolean json;  /* FALSE: plain text */
    gboolean debug; /* FALSE: debug messages are discarded */
} LogSettings;

static LogSettings settings;

/* Returns the name of a level as written to the log. */
static const char *
level_name(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
        return "fatal";
    case G_LOG_LEVEL_CRITICAL:
        return "critical";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_MESSAGE:
    case G_LOG_LEVEL_INFO:
        return "info";
    default:
        return "debug";
    }
}

/* Returns the text of a GLib message, or "". */
static const char *
find_message(const GLogField *fields, gsize count)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            return fields[i].value;
        }
    }
    return "";
}

/* Writes a message as one JSON object; invalid UTF-8 in it is replaced. */
static void
write_json(const char *time, const char *level, const char *message)
{
    char *valid = g_utf8_make_valid(message, -1);
    json_t *line = json_pack(
        "{s:s, s:s, s:s, s:s, s:s}", "time", time, "level", level, "program",
        settings.program, "instance", settings.instance_id, "message", valid);
    char *text = json_dumps(line, JSON_COMPACT);
    fprintf(stderr, "%s\n", text);
    free(text);
    json_decref(line);
    g_free(valid);
}

/* GLib log writer: writes one message with its time and level and with the
 * program and instance. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           void *data)
{
    (void)data;
    if ((level & G_LOG_LEVEL_DEBUG) != 0 && !settings.debug) {
        return G_LOG_WRITER_HANDLED;
    }
    const char *message = find_message(fields, count);
    GDateTime *now = g_date_time_new_now_utc();
    char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    if (settings.json) {
        write_json(time, level_name(level), message);
    }
    else {
        fprintf(stderr, "%s %s %s %s: %s\n", time, level_name(level),
                settings.program, settings.instance_id, message);
    }
    g_free(time);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

/* Configures the log of this process and redirects GLib's messages to it.
 * json selects JSON lines instead of text, debug enables debug messages.  The
 * strings are not copied and must stay valid. */
void
log_start(const char *program, const char *instance_id, gboolean json,
          gboolean debug)
{
    settings = (LogSettings){program, instance_id, json, debug};
    g_log_set_writer_func(write_line, NULL, NULL);
}
