#ifndef SAPPHIREWEIR_ADAPTER_TOML_H
#define SAPPHIREWEIR_ADAPTER_TOML_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Reads a TOML file into a JSON object that the caller owns.  On failure
 * returns NULL and sets error to a message, which the caller frees with
 * free(). */
json_t *toml_read_file(const char *path, char **error);

#ifdef __cplusplus
}
#endif

#endif
