#ifndef SAPPHIREWEIR_CTL_EXPLAIN_H
#define SAPPHIREWEIR_CTL_EXPLAIN_H

#include <glib.h>

gboolean explain_files(const char *id, char **files, GString *out,
                       GError **error);

#endif
