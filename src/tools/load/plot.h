#ifndef SAPPHIREWEIR_LOAD_PLOT_H
#define SAPPHIREWEIR_LOAD_PLOT_H

#include <glib.h>
#include <jansson.h>

char *plot_script(const json_t *report, const json_t *before,
                  const char *path);
gboolean plot_write(const json_t *report, const json_t *before,
                    const char *path, GError **error);

#endif
