#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_H

#include "core/event_log.h"
#include "core/histogram.h"
#include "fleet/document.h"
#include "gateway/gateway_defs.h"

/* The decisions of an entry instance whose callers hold sessions: which
 * backend server runs a statement, who waits, who is refused.  A driver
 * hands it the time and events and carries out what it asks through its
 * GatewayPort; nothing in it reads a clock or does I/O. */
typedef struct Gateway Gateway;
typedef struct Session Session;

typedef struct {
    const char *id; /* peer address */
    const char *failure_domain;
    uint64_t incarnation;
    /* Without a confirmed configuration for so long, no keyed work begins;
     * zero: it goes on with what is known. */
    uint64_t unconfirmed_most_us;
    uint64_t drain_us; /* after which a leaving server may get nothing new */
    EventLog *events;  /* NULL: nothing is logged */
    /* Turns the operator's text into a document, NULL when it is invalid. */
    Document *(*decode)(const uint8_t *text, size_t bytes);
} GatewayConfig;

/* Why a statement was refused without having run. */
typedef enum {
    kRefusedOverRate,    /* the team has used up its part of its rate */
    kRefusedQueue,       /* what waits already does not drain */
    kRefusedNoServer,    /* none can be used, and none is expected in time */
    kRefusedAttempts,    /* every server tried turned it away */
    kRefusedDeadline,    /* no connection came free in time */
    kRefusedUnconfirmed, /* whether the key still holds is not known */
    kRefusalReasons,
} RefusalReason;

typedef struct {
    uint64_t refusals[kRefusalReasons];
    uint64_t answered;
    uint64_t refused;
    uint64_t in_doubt;
    uint64_t replica_reads;
    uint64_t primary_reads;
    uint64_t connections_opened;
    uint64_t connections_lost;
    uint64_t lagging;
    uint64_t timeouts;
    uint64_t relayed;         /* statements sent to a server's owner */
    uint64_t relays_rejected; /* of other instances, refused before they ran */
    Histogram operation;      /* a statement, from arrival to answer */
    Histogram refusal;        /* the same, for those that were refused */
    Histogram queue;          /* at the owner, until the server has it */
    Histogram service;        /* at the server */
} GatewayCounters;

Gateway *gateway_new(const GatewayConfig *config, const GatewayPort *port);
void gateway_free(Gateway *g);
void gateway_tick(Gateway *g, uint64_t now_us);
void gateway_control_add(Gateway *g, uint64_t now_us, const char *address);
void gateway_frame(Gateway *g, uint64_t now_us, const char *from,
                   const Sw__Frame *frame);
void gateway_peer_up(Gateway *g, uint64_t now_us, const char *peer);
void gateway_peer_down(Gateway *g, uint64_t now_us, const char *peer);
gboolean gateway_probe(Gateway *g);
void gateway_drain(Gateway *g, uint64_t now_us, uint64_t grace_us);
gboolean gateway_drained(const Gateway *g, uint64_t now_us);
uint64_t gateway_version(const Gateway *g);
const GatewayCounters *gateway_counters(const Gateway *g);
void gateway_metrics_write(const Gateway *g, GString *out);

Session *session_open(Gateway *g, uint64_t now_us, void *caller,
                      const char *host, const char *key, AnswerCode *code);
void session_close(Session *s, uint64_t now_us);
void session_statement(Session *s, uint64_t now_us, const Statement *st);
gboolean session_busy(const Session *s);

#endif
