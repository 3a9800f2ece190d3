#include <string.h>

#include "core/session_token.h"
#include "fuzz.h"

/* Fuzzes the parser of session tokens, which come from callers. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const uint8_t key[kSessionTokenKeyBytes] = {4};
    char *text = g_strndup((const char *)data, size);
    Session s;

    session_init(&s);
    session_token_open(text, key, &s, NULL);
    session_clear(&s);
    g_free(text);
    return 0;
}
