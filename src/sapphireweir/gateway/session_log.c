#include "gateway/crossing_gate.h"

/* Writes the log line of a statement. */

static const char *
code_name(AnswerCode code)
{
    static const char *const names[] = {
        [kCodeNone] = "done",
        [kCodeBusy] = "busy",
        [kCodeAborted] = "aborted",
        [kCodeLagging] = "lagging",
        [kCodeReadOnly] = "read_only",
        [kCodeMisrouted] = "misrouted",
        [kCodeTooMany] = "too_many",
        [kCodeNoStatement] = "no_statement",
        [kCodeFailed] = "failed",
        [kCodeTimeout] = "timeout",
        [kCodeInDoubt] = "in_doubt",
        [kCodeMalformed] = "malformed",
        [kCodeNoDatabase] = "no_database",
        [kCodeNoAuth] = "no_auth",
        [kCodeOther] = "other",
    };
    return names[code];
}

static uint64_t
lease_left_us(const Gateway *g, uint64_t now_us)
{
    return g->lease_until_us > now_us ? g->lease_until_us - now_us : 0;
}

/* Logs a statement's outcome, together with the state that decided it and how
 * old that state was.  Statements that no backend server ran are logged only
 * when they failed. */
void
session_log(const Session *s, uint64_t now_us, const CallerAnswer *a)
{
    const Gateway *g = s->gateway;
    const Job *job = &s->job;
    const Database *d = s->database;
    EventLine line;

    if (a->code == kCodeNone && a->tag == NULL) {
        return;
    }
    event_begin(&line, g->events, now_us,
                a->code == kCodeNone ? kEventAnswered : kEventRequest);
    event_text(&line, "request", job->id);
    event_number(&line, "session", s->number);
    event_text(&line, "outcome", code_name(a->code));
    event_text(&line, "detail", a->detail);
    event_text(&line, "database", d == NULL ? s->host : d->name);
    event_text(&line, "team", session_team_name(s));
    event_text(&line, "server", job->server == NULL ? "" : job->server->id);
    event_number(&line, "sent", job->sent);
    event_number(&line, "writes", job->writes);
    event_number(&line, "needs_primary", job->needs_primary);
    event_number(&line, "in_transaction", s->begun);
    event_number(&line, "attempts", job->attempts);
    event_number(&line, "lagging", job->lagging);
    if (s->route != NULL && s->gateway->prioritized) {
        event_number(&line, "level", dispatch_level(s));
    }
    crossing_gate_log(s, &line);
    event_number(&line, "took_us",
                 job->arrived_us == 0 ? 0 : now_us - job->arrived_us);
    event_number(&line, "version",
                 s->document == NULL ? gateway_version(g)
                                     : s->document->version);
    event_number(&line, "lease_left_us", lease_left_us(g, now_us));
    if (d != NULL) {
        event_text(&line, "primary", d->primary);
        event_number(&line, "epoch", d->epoch);
        event_number(&line, "closing", d->closing);
        event_number(&line, "queue", d->waiting.length);
        if (freshness_newest_us(&d->freshness) != 0) {
            event_number(&line, "position_age_us",
                         now_us - freshness_newest_us(&d->freshness));
        }
    }
    event_end(&line);
}
