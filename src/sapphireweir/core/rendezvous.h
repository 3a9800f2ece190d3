#ifndef SAPPHIREWEIR_CORE_RENDEZVOUS_H
#define SAPPHIREWEIR_CORE_RENDEZVOUS_H

#include <stdint.h>

uint64_t rendezvous_score(const char *resource, const char *instance_id);

#endif
