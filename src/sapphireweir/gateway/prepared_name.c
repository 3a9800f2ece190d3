#include "gateway/prepared_name.h"

#include <sodium.h>
#include <string.h>

/* Names of prepared statements at backend servers.  They follow from what is
 * prepared, so that all sessions that use a connection can share them.  The
 * digest is a cryptographic one: callers choose the texts, and two texts with
 * one name would run as the same statement. */

enum { kDigestHexBytes = crypto_generichash_BYTES * 2 + 1 };

/* Returns the name of the prepared statement with a text, which is a read or
 * a write: its kind and the BLAKE2b-256 digest of the text in hexadecimal.
 * Free it with g_free(). */
char *
prepared_name(const char *text, gboolean writes)
{
    unsigned char digest[crypto_generichash_BYTES];
    char hex[kDigestHexBytes];

    crypto_generichash(digest, sizeof(digest), (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    return g_strdup_printf("%c%s", writes ? 'w' : 'r', hex);
}
