#ifndef SAPPHIREWEIR_TEST_FLEET_H
#define SAPPHIREWEIR_TEST_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <sys/types.h>

/* The demo fleet as a user starts it, driven over its public interfaces. */

typedef struct {
    char *dir;
    pid_t pid; /* of the demo script */
    json_t *endpoints;
    const char *key;
} Fleet;

typedef struct {
    long status; /* zero: no answer */
    char *body;
    char *session_token;
    char *retry_after;
    char *connection;
} Answer;

Fleet *fleet_start(const char *dir_name, const char *const *arguments);
gboolean fleet_stop(Fleet *f);
uint32_t fleet_interrupt(Fleet *f);
const char *fleet_entry(const Fleet *f, size_t i);
size_t fleet_entry_count(const Fleet *f);
pid_t fleet_pid(const Fleet *f, const char *name);
char *fleet_program(const char *name);

Answer fleet_post(const char *address, const char *path, const char *key,
                  const char *idempotency_key, const char *session_token,
                  const char *body);
Answer fleet_get(const char *address, const char *path, const char *token);
void answer_clear(Answer *a);
gboolean answer_has(const Answer *a, const char *text);

void fleet_fault(const Fleet *f, const char *member, const char *fault);
json_t *fleet_member_state(const Fleet *f, const char *member);
int64_t fleet_metric(const Fleet *f, size_t entry, const char *name);
int fleet_ctl(const Fleet *f, char **output, ...) G_GNUC_NULL_TERMINATED;
gboolean fleet_wait(gboolean (*condition)(void *ctx), void *ctx,
                    uint32_t patience_ms);

#endif
