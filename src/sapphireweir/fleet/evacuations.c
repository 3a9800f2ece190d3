#include "fleet/evacuations.h"

#include "core/hash.h"

/* The evacuated failure domains, as part of the replicated state.  Orders of
 * operators are compare-and-set operations: an order names the revision of the
 * domain at which it was given, so that one that was delayed or repeated has
 * no effect after a later order was acknowledged. */

enum {
    /* Age of an evacuation whose time is not known, for instance after a
     * restart; longer than any time limit. */
    kUnknownAgeSeconds = 3600,
};

static void
state_free(void *data)
{
    EvacuationState *s = data;
    g_free(s->domain);
    g_free(s);
}

/* Initializes an empty list. */
void
evacuations_init(Evacuations *e)
{
    e->domains =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, state_free);
    e->revision = 0;
}

/* Frees all states, but not the list itself. */
void
evacuations_clear(Evacuations *e)
{
    g_hash_table_destroy(e->domains);
}

/* Returns whether a failure domain is evacuated. */
gboolean
evacuations_contain(const Evacuations *e, const char *domain)
{
    const EvacuationState *s = g_hash_table_lookup(e->domains, domain);
    return s != NULL && s->evacuated;
}

/* Returns the number of effective changes of a failure domain. */
uint64_t
evacuations_domain_revision(const Evacuations *e, const char *domain)
{
    const EvacuationState *s = g_hash_table_lookup(e->domains, domain);
    return s == NULL ? 0 : s->revision;
}

/* Returns the state of a failure domain, creating it if needed. */
static EvacuationState *
state_ensure(Evacuations *e, const char *domain)
{
    EvacuationState *s = g_hash_table_lookup(e->domains, domain);

    if (s == NULL) {
        s = g_new0(EvacuationState, 1);
        s->domain = g_strdup(domain);
        g_hash_table_insert(e->domains, s->domain, s);
    }
    return s;
}

/* Applies the committed order with this log index; now_us is zero for an entry
 * that was in the log before this process started.  Returns FALSE, and changes
 * nothing, if the order was given at another revision of the domain or the
 * domain already is in the wanted state. */
gboolean
evacuations_apply(Evacuations *e, uint64_t now_us, uint64_t index,
                  const Sw__EvacuationOrder *order)
{
    if (evacuations_domain_revision(e, order->domain) !=
            order->base_revision ||
        evacuations_contain(e, order->domain) == (gboolean)order->evacuated) {
        return FALSE;
    }
    EvacuationState *s = state_ensure(e, order->domain);
    s->evacuated = order->evacuated;
    s->revision++;
    s->index = index;
    s->changed_us = now_us;
    e->revision = index;
    return TRUE;
}

/* Applies the records of a snapshot; those that are not newer are ignored. */
void
evacuations_restore(Evacuations *e, Sw__EvacuationRecord *const *records,
                    size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const Sw__EvacuationRecord *r = records[i];
        if (r->revision <= evacuations_domain_revision(e, r->domain)) {
            continue;
        }
        EvacuationState *s = state_ensure(e, r->domain);
        s->evacuated = r->evacuated;
        s->revision = r->revision;
        s->index = r->index;
        s->changed_us = 0;
        e->revision = MAX(e->revision, r->index);
    }
}

/* Returns a record of each domain for a snapshot.  The list owns the records,
 * which borrow the strings; unreference it with g_ptr_array_unref. */
GPtrArray *
evacuations_records(const Evacuations *e)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->domains);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EvacuationState *s = value;
        Sw__EvacuationRecord *r = g_new(Sw__EvacuationRecord, 1);
        sw__evacuation_record__init(r);
        r->domain = s->domain;
        r->evacuated = s->evacuated;
        r->revision = s->revision;
        r->index = s->index;
        g_ptr_array_add(list, r);
    }
    return list;
}

/* Returns the hash of a list in a grant.  It is never zero, and includes the
 * revision: an instance must also learn the revision of a list that equals an
 * earlier one. */
uint64_t
evacuations_list_hash(Sw__EvacuatedDomain *const *list, size_t count,
                      uint64_t revision)
{
    uint64_t hash = hash_number(revision, 1);

    for (size_t i = 0; i < count; i++) {
        hash += hash_text(list[i]->domain, 1);
    }
    return MAX(hash, (uint64_t)1);
}

/* Returns the hash of the current list; see evacuations_list_hash. */
uint64_t
evacuations_hash(const Evacuations *e)
{
    GPtrArray *list = evacuations_list(e, 0);
    uint64_t hash = evacuations_list_hash((Sw__EvacuatedDomain **)list->pdata,
                                          list->len, e->revision);

    g_ptr_array_unref(list);
    return hash;
}

/* Returns the number of evacuated domains. */
uint32_t
evacuations_count(const Evacuations *e)
{
    GHashTableIter it;
    void *value;
    uint32_t count = 0;

    g_hash_table_iter_init(&it, e->domains);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        count += ((const EvacuationState *)value)->evacuated;
    }
    return count;
}

/* Returns the evacuated domains for a grant.  The list owns the records, which
 * borrow the strings; unreference it with g_ptr_array_unref. */
GPtrArray *
evacuations_list(const Evacuations *e, uint64_t now_us)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, e->domains);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EvacuationState *s = value;
        if (!s->evacuated) {
            continue;
        }
        Sw__EvacuatedDomain *out = g_new(Sw__EvacuatedDomain, 1);
        sw__evacuated_domain__init(out);
        out->domain = s->domain;
        out->age_us = s->changed_us == 0
                          ? (uint64_t)kUnknownAgeSeconds * G_USEC_PER_SEC
                          : now_us - s->changed_us;
        g_ptr_array_add(list, out);
    }
    return list;
}
