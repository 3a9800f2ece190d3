#ifndef SAPPHIREWEIR_CTL_CLIENT_H
#define SAPPHIREWEIR_CTL_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Access to the operators' HTTP interface of a fleet, through any of its entry
 * instances.  The client does not own the strings. */
typedef struct {
    char **entries; /* base URLs, tried in this order; NULL-terminated */
    char *token;    /* of the operators */
    char *ca_file;  /* PEM file; NULL: the system's certificates */
} Client;

/* A response.  status is the HTTP status, or zero if no entry instance
 * responded.  The receiver owns body, which may be NULL. */
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
