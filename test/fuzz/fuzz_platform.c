#include <sanitizer/allocator_interface.h>
#include <stdlib.h>
#include <string.h>

#include "core/json_bounds.h"
#include "fuzz.h"
#include "platform/codec.h"
#include "platform/document_check.h"
#include "platform/wire.h"

/* Fuzzes the line codec with messages of callers and backend servers, and the
 * JSON codec with configurations and server reports.  Second property: a
 * connection makes the process hold no more than its account records.
 * libevent rounds buffers up to powers of two, hence the factor. */

enum {
    kHeldFactor = 2,
    kHeldSlackBytes =
        4096,             /* a buffer's smallest part, and the fixed charge */
    kBytesPerValue = 512, /* of a parsed document, for each JSON value */
    kParsedSlackBytes = 64 << 10,
};

/* Reads lines that arrive in pieces as a caller's connection does. */
static void
fuzz_reader(const uint8_t *data, size_t size)
{
    size_t before = __sanitizer_get_current_allocated_bytes();
    struct evbuffer *in = evbuffer_new();
    WireReader reader = {.strict = TRUE};
    size_t piece_bytes = size == 0 ? 1 : 1 + data[0];
    WireRead result = kWireIncomplete;
    char *line;

    for (size_t at = 0;
         at < size && (result == kWireIncomplete || result == kWireLine);
         at += piece_bytes) {
        evbuffer_add(in, data + at, MIN(piece_bytes, size - at));
        while ((result = wire_read_line(&reader, in, &line)) == kWireLine) {
            g_assert(strlen(line) <= kWireMaxLineBytes);
            g_assert(strchr(line, '\n') == NULL);
            free(line);
        }
        size_t held = __sanitizer_get_current_allocated_bytes() - before;
        g_assert(held <=
                 kHeldFactor * evbuffer_get_length(in) + kHeldSlackBytes);
    }
    evbuffer_free(in);
}

/* Parses a document, which may hold a number of bytes for each value. */
static void
fuzz_document(const uint8_t *data, size_t size)
{
    size_t before = __sanitizer_get_current_allocated_bytes();
    GError *error = NULL;
    size_t values = 0;

    if (!json_bounds_hold((const char *)data, size)) {
        return;
    }
    for (size_t i = 0; i < size; i++) {
        values += strchr(",:[{", data[i]) != NULL && data[i] != 0;
    }
    Document *d = codec_parse_document(data, size, &error);
    size_t held = __sanitizer_get_current_allocated_bytes() - before;
    g_assert(held <=
             kBytesPerValue * values + kHeldFactor * size + kParsedSlackBytes);
    /* What the codec refuses, the check must not call correct. */
    ConfigCheck *c = document_check((const char *)data, size, NULL, 1, 1);
    g_assert(d != NULL || c->findings->len > 0);
    config_check_free(c);
    g_clear_error(&error);
    document_unref(d);
}

/* Parses each line as a message of a caller. */
static void
fuzz_requests(const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l != NULL; l++) {
        WireRequest r;
        wire_parse_request(*l, &r);
    }
    g_strfreev(lines);
}

/* Parses the lines as answers of a backend server; each complete answer is
 * also written as an answer to a caller. */
static void
fuzz_answers(const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);
    WireAnswer a;

    wire_answer_init(&a);
    for (char **l = lines; *l != NULL; l++) {
        if (wire_answer_add_line(&a, *l)) {
            struct evbuffer *out = evbuffer_new();
            ServerAnswer got = wire_answer_get(&a);
            CallerAnswer answer = {.code = got.code,
                                   .code_text = got.code_text,
                                   .detail = got.detail,
                                   .rows = got.rows,
                                   .rows_bytes = got.rows_bytes,
                                   .tag = got.tag,
                                   .state = got.state,
                                   .position_text = got.position_text};
            wire_write_answer(out, &answer);
            evbuffer_free(out);
            wire_answer_reset(&a);
        }
    }
    wire_answer_clear(&a);
    g_strfreev(lines);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    Sw__ServerRecord *r = codec_parse_server_report("i-1", data, size, 1000);

    fuzz_reader(data, size);
    fuzz_document(data, size);
    if (r != NULL) {
        sw__server_record__free_unpacked(r, NULL);
    }
    fuzz_requests(text);
    fuzz_answers(text);
    g_free(text);
    return 0;
}
