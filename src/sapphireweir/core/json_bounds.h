#ifndef SAPPHIREWEIR_CORE_JSON_BOUNDS_H
#define SAPPHIREWEIR_CORE_JSON_BOUNDS_H

#include <glib.h>
#include <stddef.h>

gboolean json_bounds_hold(const char *text, size_t bytes);

#endif
