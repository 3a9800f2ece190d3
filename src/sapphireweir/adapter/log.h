#ifndef SAPPHIREWEIR_ADAPTER_LOG_H
#define SAPPHIREWEIR_ADAPTER_LOG_H

#include <glib.h>

void log_start(const char *program, const char *instance_id, gboolean json,
               gboolean debug);

#endif
