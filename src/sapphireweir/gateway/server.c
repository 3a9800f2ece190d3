#include "gateway/gateway_internal.h"

#include <string.h>

/* What an instance learns of a backend server from its answers, whoever of
 * the instance asked: its own statements or those it runs for others. */

enum {
    kAvoidUs = 200000,    /* a server that cannot be connected to */
    kFullPauseUs = 20000, /* a statement's time, after which one may be free */
    kFullUs = 150000,     /* a server with no connection left */
    kServiceWeight = 8,   /* of the old value in the smoothed service time */
    kUnresponsiveUs = 250000,  /* an answer that is overdue */
    kReportSilenceUs = 350000, /* a primary's silence is told at once */
};

/* Returns how many connections a server takes from everybody. */
uint32_t
server_connection_limit(const Server *s)
{
    const Document *document = s->database->gateway->document;
    const DocumentDatabase *d =
        document == NULL ? NULL
                         : document_database(document, s->database->name);
    return d == NULL ? 1 : d->max_connections;
}

/* A server has accepted a connection or answered something. */
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

/* Notes that a server failed.  One that could not be connected to is left
 * alone for a while; one that broke a connection may well take others. */
void
server_failed(Server *s, uint64_t now_us, gboolean opening)
{
    s->last_failure_us = now_us;
    if (s->failing_since_us == 0) {
        s->failing_since_us = now_us;
    }
    if (opening) {
        s->avoid_until_us = now_us + kAvoidUs;
    }
}

/* A server has no connection left: many instances wait for the same one, so
 * each takes a pause of its own. */
void
server_refused_connection(Server *s, uint64_t now_us)
{
    uint64_t mixed =
        (s->database->gateway->incarnation ^ now_us) * 0x9e3779b97f4a7c15ULL;

    s->last_answer_us = now_us;
    s->full_until_us = now_us + kFullUs;
    s->connect_after_us = now_us + kFullPauseUs + (mixed >> 32) % kFullPauseUs;
}

/* Notes an answer that has been awaited for long, and has the control
 * leader told early. */
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
        now_us - s->failing_since_us > kReportSilenceUs) {
        s->failure_reported = TRUE;
        s->database->gateway->report_due_us = now_us;
    }
}

/* A statement took so long at a server. */
void
server_record_service_time(Server *s, uint64_t took_us)
{
    s->completed++;
    histogram_observe(&s->database->gateway->counters.service, took_us);
    s->service_us =
        (s->service_us * (kServiceWeight - 1) + took_us) / kServiceWeight;
}
