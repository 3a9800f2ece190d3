#ifndef SAPPHIREWEIR_GATEWAY_PREPARED_NAME_H
#define SAPPHIREWEIR_GATEWAY_PREPARED_NAME_H

#include <glib.h>

char *prepared_name(const char *text, gboolean writes);

#endif
