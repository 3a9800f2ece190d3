#ifndef SAPPHIREWEIR_FLEET_DIRECTOR_H
#define SAPPHIREWEIR_FLEET_DIRECTOR_H

#include "core/consensus.h"
#include "core/event_log.h"
#include "core/histogram.h"
#include "core/position.h"
#include "fleet/directory.h"
#include "fleet/document.h"

/* The decisions of a control instance of a fleet with a whole-document
 * configuration: the replicated document, who the backend servers are, who
 * leads each database, and the entry instances' leases and rates.  A driver
 * hands it the time and events; nothing in it reads a clock or does I/O. */
typedef struct Director Director;

/* What a backend server says of itself when asked. */
typedef struct {
    gboolean responded; /* it answered, be it that it was too busy */
    gboolean log_valid; /* it told its log */
    gboolean primary;
    Position log;
    uint64_t term;
    uint64_t requested_us; /* when the question was sent */
} DirectorStatus;

typedef struct {
    void *ctx;
    void (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    void (*peer_known)(void *ctx, const char *address);
    uint64_t (*random)(void *ctx);
    /* Answers an operator's request; text may be NULL. */
    void (*operator_reply)(void *ctx, void *request, uint32_t status,
                           const void *text, size_t bytes);
    /* Asks a backend server; director_handle_status brings the answer. */
    void (*request_status)(void *ctx, const char *server, const char *database,
                           const char *address);
    /* Tells a backend server that a primary of this term has followed it;
     * nothing is reported of it. */
    void (*step_down)(void *ctx, const char *server, const char *database,
                      const char *address, uint64_t term);
    /* Asks for a promotion; director_handle_promotion brings the answer. */
    void (*promote)(void *ctx, const char *database, const char *server,
                    uint64_t fence);
    StoragePort storage;
} DirectorPort;

typedef struct {
    const char *id; /* peer address */
    const char *disk;
    const char *failure_domain;
    ConsensusTiming timing;
    uint64_t lease_us;
    uint64_t rate_window_us; /* that a team's rate and burst are stated for */
    /* Turns the operator's text into a document, NULL when it is invalid. */
    Document *(*decode)(const uint8_t *text, size_t bytes);
    EventLog *events; /* NULL: nothing is logged */
    uint32_t losses;  /* control instances that may be lost at once */
} DirectorConfig;

Director *director_new(const DirectorConfig *config, const DirectorPort *port);
void director_free(Director *d);
gboolean director_start(Director *d, uint64_t now_us,
                        const ConsensusSaved *saved,
                        const GPtrArray *bootstrap, GError **error);
void director_add_peer(Director *d, const char *address);
void director_tick(Director *d, uint64_t now_us);
void director_flush(Director *d, uint64_t now_us);
void director_handle_frame(Director *d, uint64_t now_us, const char *from,
                           const Sw__Frame *frame);
void director_stop(Director *d, uint64_t now_us);
gboolean director_is_leader(const Director *d);
gboolean director_failed(const Director *d);
void director_metrics_write(const Director *d, GString *out);

void director_handle_server_report(Director *d, uint64_t now_us,
                                   const Sw__ServerRecord *report);
void director_handle_server_leave(Director *d, uint64_t now_us,
                                  const char *id);
void director_put_document(Director *d, uint64_t now_us, void *request,
                           uint64_t version, const void *text, size_t bytes);
void director_get_document(Director *d, uint64_t now_us, void *request);
void director_cancel_request(Director *d, const void *request);
void director_handle_status(Director *d, uint64_t now_us, const char *server,
                            const DirectorStatus *status);
void director_handle_promotion(Director *d, uint64_t now_us,
                               const char *database, const char *server,
                               uint32_t status);

#endif
