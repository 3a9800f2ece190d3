#ifndef SAPPHIREWEIR_ADAPTER_JOURNAL_H
#define SAPPHIREWEIR_ADAPTER_JOURNAL_H

#include "core/event_log.h"

EventLog *journal_start(const char *program, const char *instance);
void journal_write(EventLog *log);

#endif
