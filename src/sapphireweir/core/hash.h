#ifndef SAPPHIREWEIR_CORE_HASH_H
#define SAPPHIREWEIR_CORE_HASH_H

#include <stdint.h>

uint64_t hash_text(const char *text, uint64_t seed);
uint64_t hash_number(uint64_t number, uint64_t seed);

#endif
