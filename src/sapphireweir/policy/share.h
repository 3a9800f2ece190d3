#ifndef SAPPHIREWEIR_POLICY_SHARE_H
#define SAPPHIREWEIR_POLICY_SHARE_H

#include <stddef.h>
#include <stdint.h>

enum { kShareTotalMicro = 1000000 }; /* the whole limit, in millionths */

void share_divide(const uint64_t *demand, size_t count, uint32_t *shares);

#endif
