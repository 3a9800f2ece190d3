#ifndef SAPPHIREWEIR_CORE_STATE_H
#define SAPPHIREWEIR_CORE_STATE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "core/resource.h"

/* The replicated state of the control instances. */
typedef struct State State;

/* A change of a resource. */
typedef struct {
    uint64_t index;   /* log index of the command */
    uint64_t version; /* version of the resource after the change */
    char *key;
    json_t *spec; /* NULL: deleted */
} StateChange;

/* The outcome of a command. */
typedef struct {
    uint32_t status; /* HTTP status: 200, 404, 409 or 422 */
    json_t *body;    /* reply to the operator */
} StateOutcome;

State *state_new(const char *cluster);
void state_free(State *s);

StateOutcome state_apply(State *s, uint64_t index, const json_t *command);
const Resource *state_lookup(const State *s, const char *key);
GHashTable *state_resources(State *s);
uint64_t state_index(const State *s);
const char *state_cluster(const State *s);
const GQueue *state_audit(const State *s);
const json_t *state_operation(const State *s, const char *operation_id);

gboolean state_changes_since(State *s, uint64_t index, GPtrArray *out);

char *state_dump(const State *s);
gboolean state_load(State *s, const char *text, size_t length, GError **error);

#endif
