#ifndef SAPPHIREWEIR_TEST_FUZZ_H
#define SAPPHIREWEIR_TEST_FUZZ_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* The entry point that libFuzzer calls with each input. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
