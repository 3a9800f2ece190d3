#ifndef SAPPHIREWEIR_TEST_FLEET_H
#define SAPPHIREWEIR_TEST_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <sys/types.h>

/* Starts the demo fleet (scripts/demo.sh) and drives it over its public
 * interfaces: the callers' HTTP API, sapphireweirctl, metrics, and the command
 * ports of the stand-ins.  A stand-in is a small program that the demo runs in
 * place of each backend server; the backend servers of a database are its
 * members ("m1", "m2", "m3"). */

typedef struct {
    char *dir;         /* holds settings, data and logs */
    pid_t pid;         /* of the demo script */
    json_t *endpoints; /* content of endpoints.json */
    const char *key;   /* API key of the demo's team; owned by endpoints */
} Fleet;

/* A response; the last three fields are NULL when it lacks the header. */
typedef struct {
    long status; /* HTTP status, zero without a response */
    char *body;  /* empty without a response */
    char *session_token;
    char *retry_after;
    char *connection;
} HttpResponse;

Fleet *fleet_start(const char *dir_name, const char *const *arguments);
gboolean fleet_stop(Fleet *f);
uint32_t fleet_interrupt(Fleet *f);
const char *fleet_entry_address(const Fleet *f, size_t i);
size_t fleet_entry_count(const Fleet *f);
pid_t fleet_pid(const Fleet *f, const char *name);
char *fleet_program_path(const char *name);

HttpResponse fleet_post(const char *address, const char *path, const char *key,
                        const char *idempotency_key, const char *session_token,
                        const char *body);
HttpResponse fleet_get(const char *address, const char *path,
                       const char *token);
void response_clear(HttpResponse *r);
gboolean body_has(const HttpResponse *r, const char *text);

void fleet_set_fault(const Fleet *f, const char *member, const char *fault);
json_t *fleet_member_state(const Fleet *f, const char *member);
int64_t fleet_metric(const Fleet *f, size_t entry, const char *name);
int fleet_ctl(const Fleet *f, char **output, ...) G_GNUC_NULL_TERMINATED;
gboolean fleet_wait(gboolean (*condition)(void *ctx), void *ctx,
                    uint32_t max_wait_ms);

#endif
