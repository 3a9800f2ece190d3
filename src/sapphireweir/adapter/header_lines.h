#ifndef SAPPHIREWEIR_ADAPTER_HEADER_LINES_H
#define SAPPHIREWEIR_ADAPTER_HEADER_LINES_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdint.h>

/* Lines of an HTTP request that may be headers; zero at its start. */
typedef struct {
    uint32_t count;
    uint32_t open : 1;     /* a line has begun */
    uint32_t indented : 1; /* it continues a header, or is of a body */
    uint32_t has_colon : 1;
} HeaderLines;

void header_lines_add(HeaderLines *l, struct evbuffer *buffer, size_t bytes);
uint64_t header_lines_cost(const HeaderLines *l, uint64_t header_bytes);

#endif
