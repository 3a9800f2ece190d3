#ifndef SAPPHIREWEIR_ADAPTER_CLOCK_H
#define SAPPHIREWEIR_ADAPTER_CLOCK_H

#include <stdint.h>

uint64_t clock_now_us(void);
int64_t clock_wall_offset_us(void);

#endif
