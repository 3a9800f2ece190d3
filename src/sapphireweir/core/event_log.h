#ifndef SAPPHIREWEIR_CORE_EVENT_LOG_H
#define SAPPHIREWEIR_CORE_EVENT_LOG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Kind of a log line; docs/OPERATIONS.md lists the fields of each. */
typedef enum {
    kEventStart,
    kEventStop,
    kEventReload,
    kEventMessage,       /* free text from g_log */
    kEventStalled,       /* the event loop stood still */
    kEventConfiguration, /* an entry instance applied a document */
    kEventUnusable,      /* an entry instance could not apply an update */
    kEventLeaseLost,
    kEventLeaseRegained,
    kEventPrimary,         /* the known primary of a database changed */
    kEventPrimaryClosing,  /* a primary accepts no new work */
    kEventPartitioned,     /* the name in the log is "cut_off" */
    kEventPartitionHealed, /* the name in the log is "cut_healed" */
    kEventRatePoolBegun,   /* shares of rates are pooled: no leader */
    kEventRatePoolEnded,   /* the leader grants again */
    kEventRequest,         /* a request that was not served */
    kEventAnswered,        /* a request that was served; sampled */
    kEventLeads,           /* a control instance became the leader */
    kEventFollows,         /* a control instance ceased to lead */
    kEventLeaderUnknown,   /* a control instance hears of no leader */
    kEventLeaderKnown,     /* it does again */
    kEventOperatorRefused, /* an operator's request was not carried out */
    kEventRatesKnown,      /* a leader knows the use before its time */
    kEventChange,          /* a step of the change of a primary */
    kEventMember,          /* a change of the control instances */
    kEventDocument,        /* a new document was committed */
    kEventOutdated,        /* an entry instance lacks an older document */
    kEventCurrent,         /* it no longer does */
    kEventServerCold,      /* a server's requests are limited: slow start */
    kEventServerWarm,      /* they no longer are */
    kEventEvacuation,      /* a failure domain was evacuated or restored */
    kEventAdmission,       /* work at a server began or ceased to be limited */
    kEventDiskFull,        /* a control instance's data folder has no room */
    kEventDiskRoom,        /* it has room again */
    kEventDropped,         /* number of lines that were dropped */
    kEventKinds,           /* number of kinds */
} EventKind;

enum {
    kEventLineBytes = 768,      /* maximum length of a line */
    kEventRingBytes = 64 << 10, /* size of the ring buffer */
};

/* Log lines in a ring buffer of fixed size, from which the driver writes
 * them.  A line that does not fit, or exceeds the budget of its event, is
 * dropped and counted. */
typedef struct {
    char program[24];
    char instance[64];
    char ring[kEventRingBytes];
    size_t start;                      /* offset of the first byte in ring */
    size_t used;                       /* bytes in ring */
    uint64_t second;                   /* second that budget_used refers to */
    uint32_t budget_used[kEventKinds]; /* lines in this second */
    uint32_t seen[kEventKinds];        /* events so far, for sampling */
    uint64_t dropped[kEventKinds];     /* lines not yet reported as dropped */
    uint64_t dropped_total;            /* dropped lines of all kinds */
    int64_t wall_offset_us;            /* wall clock minus now_us */
    uint64_t lines;                    /* number of the last line */
} EventLog;

/* A log line under construction. */
typedef struct {
    EventLog *log; /* NULL: the line is not written */
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
