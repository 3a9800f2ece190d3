#include "core/json_bounds.h"

/* Bounds of a JSON text that a client sends, checked before it is parsed: a
 * parsed value takes up to 50 times its text in memory. */

enum {
    /* A document of 5,000 routes has 120,000 values and names, nested 5 deep.
     * 16 MiB of "0," took 400 MB. */
    kMaxValues = 400000,
    kMaxDepth = 64,
};

/* Returns whether a JSON text has few enough values and names, and is nested
 * little enough, to be parsed.  It need not be valid. */
gboolean
json_bounds_hold(const char *text, size_t bytes)
{
    gboolean in_string = FALSE;
    size_t values = 0;
    int depth = 0;

    for (size_t i = 0; i < bytes; i++) {
        if (in_string) {
            if (text[i] == '\\') {
                i++;
            }
            else {
                in_string = text[i] != '"';
            }
            continue;
        }
        in_string = text[i] == '"';
        depth += (text[i] == '[' || text[i] == '{') -
                 (text[i] == ']' || text[i] == '}');
        values += text[i] == ',' || text[i] == ':' || text[i] == '[' ||
                  text[i] == '{';
        if (depth > kMaxDepth || values > kMaxValues) {
            return FALSE;
        }
    }
    return TRUE;
}
