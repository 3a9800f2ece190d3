#ifndef SAPPHIREWEIR_FLEET_DIRECTOR_H
#define SAPPHIREWEIR_FLEET_DIRECTOR_H

#include "core/consensus.h"
#include "core/event_log.h"
#include "core/histogram.h"
#include "core/position.h"
#include "fleet/directory.h"
#include "fleet/document.h"

/* The decision logic of a control instance on the platform: the replicated
 * configuration document, the directory of backend servers, the primary of
 * each database, and the leases and rate limits of entry instances.  The
 * driver passes in the current time and all events, and performs the I/O that
 * the director requests through DirectorPort; the director itself reads no
 * clock.  Times are microseconds of the driver's monotonic clock. */
typedef struct Director Director;

/* A backend server's reply to request_status. */
typedef struct {
    gboolean responded;    /* TRUE even if it only replied that it is busy */
    gboolean log_valid;    /* primary, log and term are set */
    gboolean primary;      /* the server reports that it is the primary */
    Position log;          /* newest position of its log */
    uint64_t term;         /* term in which the server leads or follows */
    uint64_t requested_us; /* when the request was sent */
} DirectorStatus;

enum {
    /* Reply to an operator whose change was refused, and had no effect, as the
     * data folder of this instance has no room.  The driver passes it on as
     * 503 with the reason. */
    kDirectorReplyNoRoom = 507,
};

/* Callbacks into the driver; ctx is passed to each as its first argument.
 * Strings and frames are valid only during the call. */
typedef struct {
    void *ctx;
    /* Sends a frame to another instance, which may not receive it. */
    void (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    /* Reports the address of another control instance that was added. */
    void (*add_peer)(void *ctx, const char *address);
    uint64_t (*random)(void *ctx);
    /* Replies to an operator's request with an HTTP status, or with
     * kDirectorReplyNoRoom, and the reply's body; text may be NULL.  request
     * is the handle that was passed to director_put_document,
     * director_get_document or director_evacuate. */
    void (*operator_reply)(void *ctx, void *request, uint32_t status,
                           const void *text, size_t bytes);
    /* Requests a backend server's status; the driver passes the reply to
     * director_handle_status. */
    void (*request_status)(void *ctx, const char *server, const char *database,
                           const char *address);
    /* Requests a former primary to follow the new one, which leads the
     * database in this higher term.  The outcome is not reported back. */
    void (*step_down)(void *ctx, const char *server, const char *database,
                      const char *address, uint64_t term);
    /* Requests the promotion of a server from the platform; the driver passes
     * the reply to director_handle_promotion.  fence is a fencing token: the
     * consensus term of the requesting leader. */
    void (*promote)(void *ctx, const char *database, const char *server,
                    uint64_t fence);
    /* Returns whether the operator that sent a request has not closed its
     * connection; NULL: all of them wait. */
    gboolean (*operator_waits)(void *ctx, void *request);
    StoragePort storage;
} DirectorPort;

typedef struct {
    const char *id;   /* peer address */
    const char *disk; /* identity of the data folder */
    const char *failure_domain;
    ConsensusTiming timing;
    uint64_t lease_us;       /* of an entry instance's access to primaries */
    uint64_t rate_window_us; /* sliding window of the teams' rate limits */
    /* Parses the operator's text; returns a new reference, or NULL when the
     * text is invalid. */
    Document *(*decode)(const uint8_t *text, size_t bytes);
    EventLog *events; /* NULL: events are not logged */
    /* Simultaneous failures of control instances to tolerate. */
    uint32_t max_control_failures;
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
gboolean director_stopped(const Director *d);
gboolean director_is_leader(const Director *d);
gboolean director_failed(const Director *d);
void director_metrics_write(const Director *d, uint64_t now_us, GString *out);

void director_handle_server_report(Director *d, uint64_t now_us,
                                   const Sw__ServerRecord *report);
void director_handle_server_leave(Director *d, uint64_t now_us,
                                  const char *id);
void director_put_document(Director *d, uint64_t now_us, void *request,
                           uint64_t version, const void *text, size_t bytes);
void director_get_document(Director *d, uint64_t now_us, void *request);
void director_evacuate(Director *d, uint64_t now_us, void *request,
                       const char *domain, gboolean evacuated);
gboolean director_knows_domain(const Director *d, const char *domain);
void director_cancel_request(Director *d, const void *request);
void director_handle_status(Director *d, uint64_t now_us, const char *server,
                            const DirectorStatus *status);
void director_handle_promotion(Director *d, uint64_t now_us,
                               const char *database, const char *server,
                               uint32_t status);

#endif
