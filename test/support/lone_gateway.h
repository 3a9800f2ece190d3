#ifndef SAPPHIREWEIR_TEST_LONE_GATEWAY_H
#define SAPPHIREWEIR_TEST_LONE_GATEWAY_H

#include "gateway/gateway.h"

/* One entry instance, "e0", in virtual time.  Its control instance, its peers
 * and the backend servers are played by the test, which sees each command and
 * frame that the instance sends. */

typedef struct LoneGateway LoneGateway;
typedef struct LoneLink LoneLink;

/* Replaces what the instance plays by default; ctx is LoneGateway.ctx. */
typedef struct {
    /* Takes a command, to be answered through LoneLink.events. */
    void (*command)(void *ctx, LoneLink *link, const ServerCommand *c);
    void (*closed)(void *ctx, LoneLink *link); /* by the gateway */
    void (*frame)(void *ctx, const char *to, const Sw__Frame *frame);
    void (*answer)(void *ctx, void *caller, const CallerAnswer *a);
    gboolean (*close)(void *ctx, void *caller);
    void (*step)(void *ctx); /* once a millisecond */
} LoneHooks;

/* A connection to a backend server. */
struct LoneLink {
    const ServerEvents *events;
    void *owner; /* passed to events; NULL: closed */
    gboolean accepted;
    uint32_t unanswered; /* commands */
    gboolean in_transaction;
    char *team;
    char *server;
    void *model; /* of LoneHooks */
};

struct LoneGateway {
    Gateway *gateway;
    uint64_t now_us;
    gboolean grants;            /* reports are answered by a grant */
    uint64_t report;            /* sequence of the last report */
    uint64_t revision;          /* of the last grant */
    uint64_t directory;         /* revision of the last directory update */
    const char *const *entries; /* "ID DOMAIN", NULL at the end */
    Document *document;         /* for the decoder, one reference owned */
    GPtrArray *links;           /* LoneLink, owned, also closed ones */
    GArray *sent_us;         /* uint64_t: time of each command to a server */
    uint32_t relayed;        /* RelayRun frames sent */
    uint32_t not_run;        /* RelayResult frames that say so */
    uint32_t answered;       /* those with an answer */
    uint64_t relay;          /* number of the last RelayRun received */
    uint64_t token_request;  /* open one, zero: none */
    uint32_t server_queries; /* ServerQuery frames sent */
    uint64_t server_query;   /* request_id of the last one */
    CallerAnswer answer;     /* to the last statement of a session */
    char *detail;            /* of that answer */
    uint32_t answers;        /* to statements of sessions */
    uint64_t epoch;          /* of the primary that is granted */
    gboolean peers_down;     /* no link to another entry instance */
    const LoneHooks *hooks;  /* NULL: none */
    void *ctx;               /* of the hooks */
};

LoneGateway *lone_gateway_new(const GatewayConfig *config,
                              const char *const *entries, Document *document);
void lone_gateway_free(LoneGateway *l);
void lone_gateway_run(LoneGateway *l, uint64_t for_ms);
void lone_gateway_configure(LoneGateway *l, Document *document);
void lone_gateway_server(LoneGateway *l, const char *id, const char *domain,
                         int64_t born_ms, uint64_t cold_left_ms);
void lone_gateway_server_answer(LoneGateway *l, uint64_t query, const char *id,
                                const char *domain, int64_t born_ms,
                                uint64_t cold_left_ms);
void lone_gateway_primary(LoneGateway *l, const char *database,
                          const char *server, gboolean quiescing);
void lone_gateway_relay(LoneGateway *l, const char *server, uint64_t relay,
                        CommandKind kind, const char *text,
                        gboolean continues);
void lone_gateway_statement(LoneGateway *l, Session *s, StatementKind kind,
                            const char *text);
uint32_t lone_gateway_most_in_a_second(const LoneGateway *l);

#endif
