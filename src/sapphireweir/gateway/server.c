#include "gateway/gateway_internal.h"

#include <string.h>

/* The state of a backend server as derived from its answers and failures, for
 * statements of this instance and those that it runs for borrowers. */

enum {
    kAvoidUs = 200000, /* after a failure to connect */
    /* After a refused connection: minimum pause before the next one, to which
     * up to as much is added at random (about one statement), and how long
     * the connection limit stays reduced. */
    kFullPauseUs = 20000,
    kFullUs = 150000,
    kServiceWeight = 8, /* the newest value has 1/8 of the smoothed time */
    kUnresponsiveUs = 250000,  /* then an awaited answer is overdue */
    kReportFailureUs = 350000, /* failing so long triggers an early report */
};

/* Returns how many connections a server accepts from all instances. */
uint32_t
server_connection_limit(const Server *s)
{
    const Document *document = s->database->gateway->document;
    const DocumentDatabase *d =
        document == NULL ? NULL
                         : document_database(document, s->database->name);
    return d == NULL ? 1 : d->max_connections;
}

/* Records that a server accepted a connection or sent an answer. */
void
server_answered(Server *s, uint64_t now_us)
{
    Gateway *g = s->database->gateway;

    s->last_answer_us = now_us;
    s->failing_since_us = 0;
    s->failure_reported = FALSE;
    if (strcmp(s->failure_domain, g->failure_domain) != 0) {
        g->foreign_answer_us = now_us;
    }
}

/* Records a failure of a server, of an attempt that began at since_us.  If
 * opening is set, the connection could not be established and the server is
 * avoided for kAvoidUs; a server that broke an established connection may
 * still accept others. */
void
server_failed(Server *s, uint64_t now_us, uint64_t since_us, gboolean opening)
{
    s->last_failure_us = now_us;
    if (s->failing_since_us == 0) {
        s->failing_since_us = MAX(since_us, s->last_answer_us);
    }
    if (opening) {
        s->avoid_until_us = now_us + kAvoidUs;
    }
}

/* Records that a server refused a connection because it has too many.  The
 * pause before the next attempt is randomized, since many instances wait for
 * the same free connection. */
void
server_refused_connection(Server *s, uint64_t now_us)
{
    uint64_t mixed =
        (s->database->gateway->incarnation ^ now_us) * 0x9e3779b97f4a7c15ULL;

    s->last_answer_us = now_us;
    s->full_until_us = now_us + kFullUs;
    s->connect_after_us = now_us + kFullPauseUs + (mixed >> 32) % kFullPauseUs;
}

/* Records that the server rejected a part of a session's state. */
void
server_rejected_setup(const Server *s, const ServerAnswer *a)
{
    s->database->gateway->counters.session_setups_rejected++;
    g_warning("server %s rejected a session value or prepared statement: %s",
              s->id, a->code_text);
}

/* Marks a server as failing when an answer to a command or connection attempt
 * sent at sent_us (zero: none awaited) is overdue, and triggers an early
 * report to the control leader when the failure lasts. */
void
server_check_unresponsive(Server *s, uint64_t now_us, uint64_t sent_us)
{
    if (sent_us != 0 && now_us - sent_us > kUnresponsiveUs &&
        s->last_answer_us < sent_us) {
        s->last_failure_us = now_us;
        if (s->failing_since_us == 0) {
            s->failing_since_us = sent_us;
        }
    }
    if (s->failing_since_us != 0 && !s->failure_reported &&
        now_us - s->failing_since_us > kReportFailureUs) {
        s->failure_reported = TRUE;
        s->database->gateway->report_due_us = now_us;
    }
}

/* Records the service time of a statement that the server completed. */
void
server_record_service_time(Server *s, uint64_t took_us)
{
    s->completed++;
    histogram_observe(&s->database->gateway->counters.service, took_us);
    s->service_us =
        (s->service_us * (kServiceWeight - 1) + took_us) / kServiceWeight;
}
