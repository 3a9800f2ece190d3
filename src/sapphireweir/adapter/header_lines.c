#include "adapter/header_lines.h"

#include <string.h>

/* Counts what evhttp allocates for the headers of a request beyond their text:
 * 16 KiB of headers of 2 bytes take up to 0.9 MB.  evhttp has no callback for
 * a header, and trailers may follow the body, so all lines with a colon count
 * that are not indented.  Formatted JSON is indented. */

enum {
    /* Of a header: a list entry of evhttp and three allocations. */
    kHeaderLineBytes = 112,
    kMinHeaderBytes = 2, /* of the text of a header */
    kMaxSegments = 8,    /* of a buffer, that are read at once */
};

/* Counts the lines of a text, which may continue one and may end within
 * one. */
static void
count_lines(HeaderLines *l, const char *text, size_t bytes)
{
    const char *end = text + bytes;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));
        const char *stop = line_end == NULL ? end : line_end;
        if (!l->open) {
            l->open = 1;
            l->indented = *text == ' ' || *text == '\t';
            l->has_colon = 0;
        }
        if (memchr(text, ':', (size_t)(stop - text)) != NULL) {
            l->has_colon = 1;
        }
        if (line_end == NULL) {
            return;
        }
        l->count += l->has_colon && !l->indented;
        l->open = 0;
        text = line_end + 1;
    }
}

/* Counts the lines of the last bytes of a buffer. */
void
header_lines_add(HeaderLines *l, struct evbuffer *buffer, size_t bytes)
{
    struct evbuffer_iovec parts[kMaxSegments];
    struct evbuffer_ptr at;
    size_t done_bytes = evbuffer_get_length(buffer) - bytes;

    while (bytes > 0 &&
           evbuffer_ptr_set(buffer, &at, done_bytes, EVBUFFER_PTR_SET) == 0) {
        int count =
            evbuffer_peek(buffer, (ev_ssize_t)bytes, &at, parts, kMaxSegments);
        if (count <= 0) {
            return;
        }
        for (int i = 0; i < MIN(count, kMaxSegments) && bytes > 0; i++) {
            size_t part_bytes = MIN(parts[i].iov_len, bytes);
            count_lines(l, parts[i].iov_base, part_bytes);
            bytes -= part_bytes;
            done_bytes += part_bytes;
        }
    }
}

/* Returns the bytes that evhttp may have allocated for the headers, of at most
 * header_bytes of text, beyond that text. */
uint64_t
header_lines_cost(const HeaderLines *l, uint64_t header_bytes)
{
    return MIN((uint64_t)l->count, header_bytes / kMinHeaderBytes) *
           kHeaderLineBytes;
}
