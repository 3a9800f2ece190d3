#include "core/event_log.h"

#include <stdio.h>
#include <string.h>

/* Structured log lines, one JSON object each.  Nothing here blocks: lines go
 * into a ring buffer, from which the driver writes as much as the file
 * descriptor accepts. */

enum { kMicrosPerSecond = 1000000 };

static const char kCutMark[] = "...";

/* Name of each event, its maximum number of lines per second (budget), and
 * its sampling interval: one event in this many is written.  Served requests
 * are sampled.  With the budgets, all other events together take at most 2 %
 * of one core's time on the smallest target machine. */
static const struct {
    const char *name;
    uint32_t budget;
    uint32_t sample_interval;
} kEvents[kEventKinds] = {
    [kEventStart] = {"start", 10, 1},
    [kEventStop] = {"stop", 10, 1},
    [kEventReload] = {"reload", 10, 1},
    [kEventMessage] = {"message", 50, 1},
    [kEventStalled] = {"stalled", 10, 1},
    [kEventConfiguration] = {"configuration", 20, 1},
    [kEventUnusable] = {"configuration_unusable", 20, 1},
    [kEventLeaseLost] = {"lease_lost", 10, 1},
    [kEventLeaseRegained] = {"lease_regained", 10, 1},
    [kEventPrimary] = {"primary", 50, 1},
    [kEventPrimaryClosing] = {"primary_closing", 50, 1},
    [kEventPartitioned] = {"cut_off", 10, 1},
    [kEventPartitionHealed] = {"cut_healed", 10, 1},
    [kEventRatePoolBegun] = {"rate_pool_begun", 10, 1},
    [kEventRatePoolEnded] = {"rate_pool_ended", 10, 1},
    [kEventRequest] = {"request", 40, 1},
    [kEventAnswered] = {"answered", 2, 200},
    [kEventLeads] = {"leads", 10, 1},
    [kEventFollows] = {"follows", 10, 1},
    [kEventLeaderUnknown] = {"leader_unknown", 10, 1},
    [kEventLeaderKnown] = {"leader_known", 10, 1},
    [kEventOperatorRefused] = {"operator_refused", 20, 1},
    [kEventRatesKnown] = {"rates_known", 10, 1},
    [kEventChange] = {"change", 100, 1},
    [kEventMember] = {"member", 20, 1},
    [kEventDocument] = {"document", 20, 1},
    [kEventOutdated] = {"outdated", 20, 1},
    [kEventCurrent] = {"current", 20, 1},
    [kEventServerCold] = {"server_cold", 20, 1},
    [kEventServerWarm] = {"server_warm", 20, 1},
    [kEventEvacuation] = {"evacuation", 20, 1},
    [kEventAdmission] = {"admission", 20, 1},
    [kEventDiskFull] = {"disk_full", 10, 1},
    [kEventDiskRoom] = {"disk_room", 10, 1},
    [kEventDropped] = {"dropped", 20, 1},
};

/* Initializes an empty log; wall_offset_us is the wall clock minus now_us. */
void
event_log_init(EventLog *log, const char *program, const char *instance,
               int64_t wall_offset_us)
{
    memset(log, 0, sizeof(*log));
    g_strlcpy(log->program, program, sizeof(log->program));
    g_strlcpy(log->instance, instance, sizeof(log->instance));
    log->wall_offset_us = wall_offset_us;
}

/* Returns the name of an event as written in the log. */
const char *
event_name(EventKind kind)
{
    return kEvents[kind].name;
}

/* Counts an event and returns whether it is to be written, according to its
 * sampling interval and budget. */
static gboolean
within_budget(EventLog *log, uint64_t now_us, EventKind kind)
{
    uint64_t second = now_us / kMicrosPerSecond;

    if (log->seen[kind]++ % kEvents[kind].sample_interval != 0) {
        return FALSE;
    }
    if (second != log->second) {
        log->second = second;
        memset(log->budget_used, 0, sizeof(log->budget_used));
    }
    if (log->budget_used[kind]++ < kEvents[kind].budget) {
        return TRUE;
    }
    log->dropped[kind]++;
    log->dropped_total++;
    return FALSE;
}

/* Appends text to a line; appends nothing if the text does not fit. */
static void
put(EventLine *line, const char *text, size_t bytes)
{
    /* Two bytes remain free for the closing brace and the line feed. */
    if (line->used + bytes + 2 <= sizeof(line->text)) {
        memcpy(line->text + line->used, text, bytes);
        line->used += bytes;
    }
}

/* Returns the length of a byte in a JSON string. */
static size_t
escaped_bytes(guchar c)
{
    return c == '"' || c == '\\' ? 2 : c < ' ' || c >= 0x7f ? 6 : 1;
}

/* Appends text as a JSON string.  Escapes every byte outside printable ASCII.
 * A text that takes more than max_bytes is cut, which three dots show. */
static void
put_quoted(EventLine *line, const char *text, size_t max_bytes)
{
    char escaped[8];
    size_t bytes = 0;
    size_t kept = 0; /* bytes of text with room for the dots behind them */

    for (const char *at = text; *at != '\0' && bytes <= max_bytes; at++) {
        bytes += escaped_bytes((guchar)*at);
        if (bytes + strlen(kCutMark) <= max_bytes) {
            kept = (size_t)(at - text) + 1;
        }
    }
    const char *end = bytes <= max_bytes ? NULL : text + kept;
    put(line, "\"", 1);
    for (; *text != '\0' && text != end; text++) {
        guchar c = (guchar)*text;
        if (c == '"' || c == '\\') {
            escaped[0] = '\\';
            escaped[1] = (char)c;
            put(line, escaped, 2);
        }
        else if (c < ' ' || c >= 0x7f) {
            put(line, escaped,
                (size_t)g_snprintf(escaped, sizeof(escaped), "\\u%04x", c));
        }
        else {
            put(line, text, 1);
        }
    }
    if (end != NULL) {
        put(line, kCutMark, strlen(kCutMark));
    }
    put(line, "\"", 1);
}

/* Begins a line with the fields that all events have.  If log is NULL, or the
 * event is not to be written, the other event functions do nothing for this
 * line. */
void
event_begin(EventLine *line, EventLog *log, uint64_t now_us, EventKind kind)
{
    line->log = log;
    line->kind = kind;
    line->used = 0;
    if (log == NULL) {
        return;
    }
    if (!within_budget(log, now_us, kind)) {
        line->log = NULL;
        return;
    }
    put(line, "{\"event\":", strlen("{\"event\":"));
    put_quoted(line, kEvents[kind].name, kEventLineBytes);
    event_text(line, "program", log->program);
    event_text(line, "instance", log->instance);
    event_number(line, "time_us",
                 (uint64_t)((int64_t)now_us + log->wall_offset_us));
    event_number(line, "line", ++log->lines);
}

/* Appends the separator and the name of a field. */
static void
put_name(EventLine *line, const char *name)
{
    put(line, ",", 1);
    put_quoted(line, name, kEventLineBytes);
    put(line, ":", 1);
}

/* Adds a text field; NULL counts as an empty text.  The text gets at most half
 * of the room that is left, so that later fields fit, and is cut if it is
 * longer. */
void
event_text(EventLine *line, const char *name, const char *value)
{
    const char *text = value == NULL ? "" : value;
    /* Quotes, colon, comma, and the end of the line. */
    size_t taken = line->used + strlen(name) + 8;

    if (line->log == NULL ||
        taken + 2 * strlen(kCutMark) > sizeof(line->text)) {
        return;
    }
    put_name(line, name);
    put_quoted(line, text, (sizeof(line->text) - taken) / 2);
}

/* Adds a numeric field.  Omits a field that does not fit. */
void
event_number(EventLine *line, const char *name, uint64_t value)
{
    char text[24];
    int bytes = g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);

    if (line->log == NULL ||
        line->used + strlen(name) + (size_t)bytes + 6 > sizeof(line->text)) {
        return;
    }
    put_name(line, name);
    put(line, text, (size_t)bytes);
}

/* Appends bytes to the ring; returns FALSE if there is no room for all. */
static gboolean
ring_add(EventLog *log, const char *text, size_t bytes)
{
    if (log->used + bytes > sizeof(log->ring)) {
        return FALSE;
    }
    for (size_t done = 0; done < bytes;) {
        size_t at = (log->start + log->used) % sizeof(log->ring);
        size_t part = MIN(bytes - done, sizeof(log->ring) - at);
        memcpy(log->ring + at, text + done, part);
        log->used += part;
        done += part;
    }
    return TRUE;
}

/* Writes a line for each kind of event of which lines were dropped, as far as
 * the ring has room. */
static void
report_dropped(EventLog *log)
{
    for (int k = 0; k < kEventKinds; k++) {
        char text[160];
        if (log->dropped[k] == 0) {
            continue;
        }
        int bytes = g_snprintf(
            text, sizeof(text),
            "{\"event\":\"dropped\",\"instance\":\"%s\",\"of\":\"%s\","
            "\"count\":%" G_GUINT64_FORMAT "}\n",
            log->instance, kEvents[k].name, log->dropped[k]);
        if (!ring_add(log, text, (size_t)bytes)) {
            return;
        }
        log->dropped[k] = 0;
    }
}

/* Ends a line and appends it to the ring, or counts it as dropped if there is
 * no room. */
void
event_end(EventLine *line)
{
    EventLog *log = line->log;

    if (log == NULL) {
        return;
    }
    report_dropped(log);
    line->text[line->used++] = '}';
    line->text[line->used++] = '\n';
    if (!ring_add(log, line->text, line->used)) {
        log->dropped[line->kind]++;
        log->dropped_total++;
    }
}

/* Stores a pointer to the next bytes to write in data, and returns their
 * count.  They are valid until event_log_consume. */
size_t
event_log_peek(const EventLog *log, const char **data)
{
    *data = log->ring + log->start;
    return MIN(log->used, sizeof(log->ring) - log->start);
}

/* Removes bytes that have been written from the ring. */
void
event_log_consume(EventLog *log, size_t bytes)
{
    log->start = (log->start + bytes) % sizeof(log->ring);
    log->used -= bytes;
}
