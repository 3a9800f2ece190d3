#ifndef SAPPHIREWEIR_GATEWAY_GATEWAY_H
#define SAPPHIREWEIR_GATEWAY_GATEWAY_H

#include "core/event_log.h"
#include "core/histogram.h"
#include "fleet/document.h"
#include "gateway/gateway_defs.h"
#include "policy/admission.h"
#include "policy/crossing.h"

/* The decisions of an entry instance whose callers hold sessions: which
 * backend server runs a statement, which statements wait and which are
 * refused.  A driver passes in the time and events and implements the
 * operations of GatewayPort; the gateway itself reads no clock and does no
 * I/O. */
typedef struct Gateway Gateway;
typedef struct Session Session;

typedef struct {
    const char *id; /* address at which peers connect */
    const char *failure_domain;
    const char *region; /* of this instance, NULL: not known */
    /* Failure domain -> region, both char *; NULL: none is known.  The gateway
     * takes a reference. */
    GHashTable *domain_regions;
    uint64_t incarnation;
    /* Operations with a key are refused when the configuration has not been
     * confirmed as current for longer than this; zero: no limit. */
    uint64_t max_unconfirmed_us;
    /* How long a draining backend server may get new work. */
    uint64_t server_drain_us;
    /* Time after which no statement reaches an evacuated failure domain. */
    uint64_t evacuate_us;
    /* Bandwidth of this instance's network link, of which transfers of the
     * configuration may use a part; must not be zero. */
    uint64_t link_bytes_per_s;
    /* Microseconds of waiting that a kilobyte between failure domains is
     * worth; zero: only times decide. */
    uint64_t cross_domain_us_per_kb;
    /* Shares of rates are pooled only where there are so many entry
     * instances, zero: kRatePoolMinEntries. */
    uint32_t rate_pool_min_entries;
    EventLog *events; /* NULL: no event is logged */
    /* Decodes an encoded document; returns NULL when it is invalid. */
    Document *(*decode)(const uint8_t *text, size_t bytes);
} GatewayConfig;

/* Why a statement was refused without having run. */
typedef enum {
    kRefusedOverRate,    /* the team's rate is used up */
    kRefusedQueue,       /* the expected queueing delay is too long */
    kRefusedNoServer,    /* no server is usable or expected to be in time */
    kRefusedAttempts,    /* all attempts were rejected */
    kRefusedDeadline,    /* the deadline passed in the queue */
    kRefusedUnconfirmed, /* the key may have been revoked meanwhile */
    kRefusedDraining,    /* a planned shutdown leaves no time for it */
    kRefusedRegion,      /* no server is in an allowed region */
    kRefusedCold,        /* the limit on a cold server leaves no time for it */
    kRefusedEvacuated,   /* only evacuated servers could run it */
    kRefusedLevel,       /* the servers' owners admit only more urgent work */
    kRefusedSetup,       /* no answer to the session's state in time */
    kRefusalReasons,
} RefusalReason;

/* Work of one admission level. */
typedef struct {
    uint64_t admitted; /* started at a server that this instance owns */
    uint64_t rejected; /* of borrowers, by this owner */
    uint64_t not_sent; /* of callers, as an owner does not admit it */
} LevelCounters;

/* Counters and time histograms (microseconds) since the start. */
typedef struct {
    uint64_t refusals[kRefusalReasons];
    uint64_t answered; /* statements completed without an error */
    uint64_t refused;  /* statements answered with an error */
    uint64_t in_doubt; /* writes that may or may not have taken effect */
    uint64_t replica_reads;
    uint64_t primary_reads;
    uint64_t connections_opened;
    uint64_t connections_lost;
    /* Opened before work asked for them; of these, used, and closed without
     * having been used. */
    uint64_t connections_ahead;
    uint64_t connections_ahead_used;
    uint64_t connections_ahead_unused;
    uint64_t lagging; /* reads rejected by a replica that was behind */
    uint64_t timeouts;
    uint64_t leases_lost; /* times that the right to primaries expired */
    /* Updates of the configuration that were put into force, that were deltas
     * to another version than the one in force, and that contained no newer
     * version. */
    uint64_t documents_applied;
    uint64_t documents_unusable;
    uint64_t documents_repeated;
    /* Directory records of a server older than what was known, ignored. */
    uint64_t server_records_older;
    uint64_t relayed; /* statements sent to the owner of a server */
    /* Times that a connection got a session's state before the statement, and
     * that the server rejected a part of it. */
    uint64_t session_setups;
    uint64_t session_setups_rejected;
    /* Statements of borrowers that this owner rejected before they ran. */
    uint64_t relays_rejected;
    /* Statements of borrowers that this owner kept although they were expected
     * to miss their latency objective, since connections were being opened. */
    uint64_t relays_kept_late;
    uint64_t tokens_delayed;  /* rate tokens that were valid later */
    uint64_t tokens_returned; /* unused, sent back to the leader */
    uint64_t tokens_lost;     /* unused, with no room to keep them */
    uint64_t
        cold_waits; /* statements held in a transaction at a cold server */
    /* Requests for a report of a server to which a first connection was
     * opened, and those that confirmed its run. */
    uint64_t server_queries;
    uint64_t runs_confirmed;
    /* Connections to servers of evacuated domains that were closed at the end
     * of the time for open work, with and without a session. */
    uint64_t evacuation_closed;
    uint64_t evacuation_lists; /* lists of evacuated domains adopted */
    LevelCounters levels[kAdmissionLevels];
    /* Sessions' statements and transactions by the reason why they were sent
     * to another failure domain or stayed. */
    uint64_t crossed[kCrossingReasons];
    uint64_t kept_home[kCrossingReasons];
    uint64_t loads_asked; /* of owners in other domains */
    Histogram operation;  /* completed statements, arrival to answer */
    Histogram refusal;    /* refused statements, arrival to answer */
    Histogram queue;      /* at the owner, arrival to sending */
    Histogram service;    /* at the backend server, sending to answer */
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
uint64_t gateway_domain_restored_us(const Gateway *g, const char *domain);

Session *session_open(Gateway *g, uint64_t now_us, void *caller,
                      const char *host, const char *key, AnswerCode *code);
void session_close(Session *s, uint64_t now_us);
void session_statement(Session *s, uint64_t now_us, const Statement *st);
gboolean session_busy(const Session *s);
uint64_t session_held_bytes(const Session *s);
const char *session_team_name(const Session *s);
gboolean session_in_transaction(const Session *s);

#endif
