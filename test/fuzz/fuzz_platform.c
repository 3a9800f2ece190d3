#include <string.h>

#include "fuzz.h"
#include "platform/codec.h"
#include "platform/wire.h"

/* Fuzzes the line codec with messages of callers and backend servers, and the
 * JSON codec with configurations and server reports. */

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
    GError *error = NULL;
    Document *d = codec_parse_document(data, size, &error);
    Sw__ServerRecord *r = codec_parse_server_report("i-1", data, size, 1000);

    g_clear_error(&error);
    document_unref(d);
    if (r != NULL) {
        sw__server_record__free_unpacked(r, NULL);
    }
    fuzz_requests(text);
    fuzz_answers(text);
    g_free(text);
    return 0;
}
