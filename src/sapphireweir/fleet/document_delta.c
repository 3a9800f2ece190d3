#include "fleet/document_delta.h"

#include <stdlib.h>
#include <string.h>

/* Deltas between two versions of the configuration's JSON text.  They reduce
 * the traffic of frequent changes that go to many instances over slow links:
 * two successive versions usually differ in a few objects only, so the delta
 * refers to all others by their byte range in the older text. */

enum { kPartsGrowth = 16 }; /* parts added at each reallocation */

/* A piece of a text, which is cut at the start of each JSON object. */
typedef struct {
    const char *text;
    size_t bytes;
    size_t offset; /* in the whole text */
} Chunk;

/* Advances c to the next chunk, which ends where an object begins.  Starts
 * with the first chunk if c is zero.  Returns FALSE at the end of the text. */
static gboolean
next_chunk(const char *text, size_t bytes, Chunk *c)
{
    size_t start = c->offset + c->bytes;

    if (start >= bytes) {
        return FALSE;
    }
    const char *end = memchr(text + start + 1, '{', bytes - start - 1);
    c->text = text + start;
    c->bytes = end == NULL ? bytes - start : (size_t)(end - text) - start;
    c->offset = start;
    return TRUE;
}

/* Hashes a chunk's text by the djb2 function. */
static guint
chunk_hash(const void *key)
{
    const Chunk *c = key;
    guint hash = 5381;

    for (size_t i = 0; i < c->bytes; i++) {
        hash = hash * 33 + (guint8)c->text[i];
    }
    return hash;
}

static gboolean
chunk_equal(const void *a, const void *b)
{
    const Chunk *x = a;
    const Chunk *y = b;
    return x->bytes == y->bytes && memcmp(x->text, y->text, x->bytes) == 0;
}

/* Returns the set of a text's chunks, which the caller destroys.  The chunks
 * borrow the text. */
static GHashTable *
chunks_of(const char *text, size_t bytes)
{
    GHashTable *all =
        g_hash_table_new_full(chunk_hash, chunk_equal, g_free, NULL);
    Chunk c = {0};

    while (next_chunk(text, bytes, &c)) {
        Chunk *kept = g_new(Chunk, 1);
        *kept = c;
        g_hash_table_add(all, kept);
    }
    return all;
}

/* Appends an empty part.  Uses malloc since protobuf-c frees the parts. */
static Sw__DocumentPart *
part_add(Sw__DocumentUpdate *m)
{
    if (m->n_parts % kPartsGrowth == 0) {
        m->parts =
            realloc(m->parts, (m->n_parts + kPartsGrowth) * sizeof(void *));
    }
    Sw__DocumentPart *p = malloc(sizeof(*p));
    g_assert(m->parts != NULL && p != NULL);
    sw__document_part__init(p);
    m->parts[m->n_parts++] = p;
    return p;
}

/* Appends a reference to a chunk of the base text, joined with the last part
 * if that ends where the chunk begins. */
static void
add_copy(Sw__DocumentUpdate *m, const Chunk *found)
{
    Sw__DocumentPart *last = m->n_parts == 0 ? NULL : m->parts[m->n_parts - 1];

    if (last != NULL && last->bytes > 0 &&
        last->from + last->bytes == found->offset) {
        last->bytes += (uint32_t)found->bytes;
        return;
    }
    Sw__DocumentPart *p = part_add(m);
    p->from = (uint32_t)found->offset;
    p->bytes = (uint32_t)found->bytes;
}

/* Appends a chunk that the base text does not contain. */
static void
add_literal(Sw__DocumentUpdate *m, const Chunk *c)
{
    Sw__DocumentPart *p = part_add(m);

    p->literal.data = malloc(c->bytes);
    g_assert(p->literal.data != NULL);
    memcpy(p->literal.data, c->text, c->bytes);
    p->literal.len = c->bytes;
}

/* Returns the delta from a base text to a new text.  The caller frees it with
 * sw__document_update__free_unpacked. */
Sw__DocumentUpdate *
document_delta(GBytes *base, uint64_t base_version, GBytes *text,
               uint64_t version)
{
    Sw__DocumentUpdate *m = malloc(sizeof(*m));
    size_t base_bytes;
    size_t bytes;
    const char *old_text = g_bytes_get_data(base, &base_bytes);
    const char *new_text = g_bytes_get_data(text, &bytes);
    GHashTable *known = chunks_of(old_text, base_bytes);
    Chunk c = {0};

    g_assert(m != NULL);
    sw__document_update__init(m);
    m->version = version;
    m->base_version = base_version;
    while (next_chunk(new_text, bytes, &c)) {
        const Chunk *found = g_hash_table_lookup(known, &c);
        if (found != NULL) {
            add_copy(m, found);
        }
        else {
            add_literal(m, &c);
        }
    }
    g_hash_table_destroy(known);
    return m;
}

/* Rebuilds the new text from its base and a delta.  Returns NULL when a part
 * lies outside the base. */
GBytes *
document_delta_apply(GBytes *base, const Sw__DocumentUpdate *m)
{
    GByteArray *out = g_byte_array_new();
    size_t base_bytes;
    const guint8 *old_text = g_bytes_get_data(base, &base_bytes);

    for (size_t i = 0; i < m->n_parts; i++) {
        const Sw__DocumentPart *p = m->parts[i];
        if ((uint64_t)p->from + p->bytes > base_bytes) {
            g_byte_array_unref(out);
            return NULL;
        }
        g_byte_array_append(out, old_text + p->from, p->bytes);
        if (p->literal.len > 0) {
            g_byte_array_append(out, p->literal.data, (guint)p->literal.len);
        }
    }
    return g_byte_array_free_to_bytes(out);
}
