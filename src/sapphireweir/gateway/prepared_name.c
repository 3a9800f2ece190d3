#include "gateway/prepared_name.h"

#include <sodium.h>
#include <string.h>

/* Names of prepared statements at backend servers.  They follow from what is
 * prepared, so that all sessions that use a connection can share them.  The
 * digest is a cryptographic one: callers choose the texts, and two texts with
 * one name would run as the same statement.  Names are part of each EXECUTE,
 * so that the digest is no longer than needed against collisions; connections
 * compare the texts besides, see server_session.c. */

enum { kDigestBytes = 16 };

/* Returns the name of the prepared statement with a text, which is a read or
 * a write: its kind and the BLAKE2b-128 digest of the text in Base64.  Free it
 * with g_free(). */
char *
prepared_name(const char *text, gboolean writes)
{
    unsigned char digest[kDigestBytes];
    char encoded[sodium_base64_ENCODED_LEN(
        kDigestBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING)];

    crypto_generichash(digest, sizeof(digest), (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_bin2base64(encoded, sizeof(encoded), digest, sizeof(digest),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    return g_strdup_printf("%c%s", writes ? 'w' : 'r', encoded);
}
