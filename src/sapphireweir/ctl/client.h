#ifndef SAPPHIREWEIR_CTL_CLIENT_H
#define SAPPHIREWEIR_CTL_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* The operators' interface of a fleet, through any of its entry
 * instances. */
typedef struct {
    char **entries; /* base URLs, tried in turn */
    char *token;
    char *ca_file; /* NULL: the system's */
} Client;

/* An answer; status zero means that no entry instance answered. */
typedef struct {
    uint32_t status;
    json_t *body;
} Reply;

Reply client_get(const Client *c, const char *path);
char *client_get_text(const Client *c, const char *entry, const char *path);
Reply client_post(const Client *c, const char *path, const json_t *body,
                  const char *operation_id);
char *client_new_operation_id(void);

#endif
