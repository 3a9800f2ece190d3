#include "core/session_token.h"

#include <sodium.h>
#include <string.h>

#include "core/error.h"

/* Plaintext of a token: version and database count (a byte each); per database
 * a length byte, the name, term and position (64 bits each, big endian). */
enum {
    kTokenVersion = 1,
    kTokenHeaderBytes = 2,
    kMaxDatabaseNameBytes = 63,
};

/* Compares two positions, the term first.  Returns a value as strcmp does. */
int
log_position_compare(LogPosition a, LogPosition b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.position != b.position) {
        return a.position < b.position ? -1 : 1;
    }
    return 0;
}

static void
session_position_clear(void *item)
{
    g_free(((SessionPosition *)item)->database);
}

/* Initializes an empty session, to be freed with session_clear. */
void
session_init(Session *s)
{
    s->positions = g_array_new(FALSE, FALSE, sizeof(SessionPosition));
    g_array_set_clear_func(s->positions, session_position_clear);
}

/* Frees the contents of a session. */
void
session_clear(Session *s)
{
    if (s->positions != NULL) {
        g_array_unref(s->positions);
        s->positions = NULL;
    }
}

/* Advances the session's position in a database; ignores a lower position.  At
 * kSessionTokenMaxPositions, a new database replaces the one added first. */
void
session_advance(Session *s, const char *database, LogPosition at)
{
    for (guint i = 0; i < s->positions->len; i++) {
        SessionPosition *p = &g_array_index(s->positions, SessionPosition, i);
        if (strcmp(p->database, database) != 0) {
            continue;
        }
        if (log_position_compare(p->position, at) < 0) {
            p->position = at;
        }
        return;
    }
    if (s->positions->len >= kSessionTokenMaxPositions) {
        g_array_remove_index(s->positions, 0);
    }
    SessionPosition added = {g_strdup(database), at};
    g_array_append_val(s->positions, added);
}

/* Returns the session's position in a database, zero if it has none. */
LogPosition
session_get(const Session *s, const char *database)
{
    for (guint i = 0; i < s->positions->len; i++) {
        SessionPosition *p = &g_array_index(s->positions, SessionPosition, i);
        if (strcmp(p->database, database) == 0) {
            return p->position;
        }
    }
    return (LogPosition){0, 0};
}

static void
append_u64(GByteArray *out, uint64_t value)
{
    uint64_t wire = GUINT64_TO_BE(value);
    g_byte_array_append(out, (const guint8 *)&wire, sizeof(wire));
}

static uint64_t
read_u64(const uint8_t *from)
{
    uint64_t wire;
    memcpy(&wire, from, sizeof(wire));
    return GUINT64_FROM_BE(wire);
}

/* Returns a session in the layout described above; the caller frees it. */
static GByteArray *
session_encode(const Session *s)
{
    GByteArray *plain = g_byte_array_new();
    uint8_t header[kTokenHeaderBytes] = {kTokenVersion,
                                         (uint8_t)s->positions->len};

    g_byte_array_append(plain, header, sizeof(header));
    for (guint i = 0; i < s->positions->len; i++) {
        SessionPosition *p = &g_array_index(s->positions, SessionPosition, i);
        uint8_t length = (uint8_t)strlen(p->database);
        g_byte_array_append(plain, &length, 1);
        g_byte_array_append(plain, (const guint8 *)p->database, length);
        append_u64(plain, p->position.term);
        append_u64(plain, p->position.position);
    }
    return plain;
}

/* Encrypts a session (XChaCha20-Poly1305) into URL-safe text that only
 * holders of the key can read or create.  key has kSessionTokenKeyBytes,
 * nonce kSessionTokenNonceBytes; a nonce must not be used twice with a key.
 * The caller frees the text. */
char *
session_token_seal(const Session *s, const uint8_t *key, const uint8_t *nonce)
{
    GByteArray *plain = session_encode(s);
    size_t sealed_bytes = kSessionTokenNonceBytes + plain->len +
                          crypto_aead_xchacha20poly1305_ietf_ABYTES;
    uint8_t *sealed = g_malloc(sealed_bytes);

    memcpy(sealed, nonce, kSessionTokenNonceBytes);
    crypto_aead_xchacha20poly1305_ietf_encrypt(
        sealed + kSessionTokenNonceBytes, NULL, plain->data, plain->len, NULL,
        0, NULL, nonce, key);

    size_t text_bytes = sodium_base64_encoded_len(
        sealed_bytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    char *text = g_malloc(text_bytes);
    sodium_bin2base64(text, text_bytes, sealed, sealed_bytes,
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    g_free(sealed);
    g_byte_array_unref(plain);
    return text;
}

/* Decodes the plaintext of a token into an initialized session.  Returns FALSE
 * if it is malformed. */
static gboolean
session_decode(const uint8_t *plain, size_t length, Session *s)
{
    if (length < kTokenHeaderBytes || plain[0] != kTokenVersion) {
        return FALSE;
    }
    size_t at = kTokenHeaderBytes;
    for (uint8_t i = 0; i < plain[1]; i++) {
        if (at >= length || plain[at] > kMaxDatabaseNameBytes) {
            return FALSE;
        }
        size_t name_bytes = plain[at++];
        if (length - at < name_bytes + 2 * sizeof(uint64_t)) {
            return FALSE;
        }
        char *name = g_strndup((const char *)plain + at, name_bytes);
        at += name_bytes;
        LogPosition p = {read_u64(plain + at),
                         read_u64(plain + at + sizeof(uint64_t))};
        at += 2 * sizeof(uint64_t);
        session_advance(s, name, p);
        g_free(name);
    }
    return at == length;
}

/* Decrypts a token into an initialized session.  Fails with kCoreErrorInvalid
 * if the text was not encrypted with this key. */
gboolean
session_token_open(const char *text, const uint8_t *key, Session *s,
                   GError **error)
{
    size_t text_bytes = strlen(text);
    uint8_t sealed[kSessionTokenMaxChars];
    uint8_t plain[kSessionTokenMaxChars];
    size_t sealed_bytes = 0;
    unsigned long long plain_bytes = 0;

    gboolean ok =
        text_bytes <= kSessionTokenMaxChars &&
        sodium_base642bin(sealed, sizeof(sealed), text, text_bytes, NULL,
                          &sealed_bytes, NULL,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING) == 0 &&
        sealed_bytes >= kSessionTokenNonceBytes +
                            crypto_aead_xchacha20poly1305_ietf_ABYTES &&
        crypto_aead_xchacha20poly1305_ietf_decrypt(
            plain, &plain_bytes, NULL, sealed + kSessionTokenNonceBytes,
            sealed_bytes - kSessionTokenNonceBytes, NULL, 0, sealed,
            key) == 0 &&
        session_decode(plain, plain_bytes, s);
    if (!ok) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            "the session token was not issued here");
    }
    return ok;
}
