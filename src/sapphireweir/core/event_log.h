#ifndef SAPPHIREWEIR_CORE_EVENT_LOG_H
#define SAPPHIREWEIR_CORE_EVENT_LOG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* What a line of the log tells; docs/OPERATIONS.md lists the fields. */
typedef enum {
    kEventStart,
    kEventStop,
    kEventReload,
    kEventMessage,
    kEventConfiguration,
    kEventLeaseLost,
    kEventLeaseRegained,
    kEventPrimary,
    kEventPrimaryClosing,
    kEventPartitioned,
    kEventPartitionHealed,
    kEventRequest,  /* one that was not served */
    kEventAnswered, /* one that was, sampled */
    kEventLeads,
    kEventFollows,
    kEventChange,
    kEventMember,
    kEventDocument,
    kEventDropped,
    kEventKinds,
} EventKind;

enum {
    kEventLineBytes = 768,
    kEventRingBytes = 64 << 10, /* between a decision and the descriptor */
};

/* Lines on their way out, in a ring of fixed size.  A line that does not
 * fit, or is over its event's budget, is counted and left out. */
typedef struct {
    char program[24];
    char instance[64];
    char ring[kEventRingBytes];
    size_t start;
    size_t used;
    uint64_t second;
    uint32_t spent[kEventKinds]; /* in this second */
    uint32_t seen[kEventKinds];  /* for sampling */
    uint64_t dropped[kEventKinds];
    uint64_t dropped_total;
    int64_t wall_offset_us; /* time of day minus the caller's time */
    uint64_t lines;
} EventLog;

typedef struct {
    EventLog *log; /* NULL: the line is left out */
    EventKind kind;
    size_t used;
    char text[kEventLineBytes];
} EventLine;

void event_log_init(EventLog *log, const char *program, const char *instance,
                    int64_t wall_offset_us);
const char *event_name(EventKind kind);

void event_begin(EventLine *line, EventLog *log, uint64_t now_us,
                 EventKind kind);
void event_text(EventLine *line, const char *name, const char *value);
void event_number(EventLine *line, const char *name, uint64_t value);
void event_end(EventLine *line);

size_t event_log_peek(const EventLog *log, const char **data);
void event_log_consume(EventLog *log, size_t bytes);

#endif
