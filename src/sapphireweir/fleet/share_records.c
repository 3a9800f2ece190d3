#include "fleet/share_records.h"

/* Bounds of shares of rates in the replicated log and its snapshots. */

/* Frees a record of a list. */
static void
record_free(void *record)
{
    Sw__ShareBoundsRecord *r = record;

    g_free(r->teams);
    g_free(r->bounds_micro);
    g_free(r);
}

/* Returns an empty list of Sw__ShareBoundsRecord. */
GPtrArray *
share_records_new(void)
{
    return g_ptr_array_new_with_free_func(record_free);
}

/* Appends a bound to a list.  Those of one instance that are added one after
 * the other share a record. */
void
share_records_add(GPtrArray *records, uint64_t entry, uint64_t team,
                  uint32_t bound_micro)
{
    Sw__ShareBoundsRecord *r =
        records->len == 0 ? NULL
                          : g_ptr_array_index(records, records->len - 1);

    if (r == NULL || r->entry != entry) {
        r = g_new(Sw__ShareBoundsRecord, 1);
        sw__share_bounds_record__init(r);
        r->entry = entry;
        g_ptr_array_add(records, r);
    }
    r->teams = g_renew(uint64_t, r->teams, r->n_teams + 1);
    r->bounds_micro =
        g_renew(uint32_t, r->bounds_micro, r->n_bounds_micro + 1);
    r->teams[r->n_teams++] = team;
    r->bounds_micro[r->n_bounds_micro++] = bound_micro;
}

/* Returns the list of all bounds. */
GPtrArray *
share_records_of(const ShareBounds *b)
{
    GPtrArray *records = share_records_new();
    GHashTableIter entries;
    GHashTableIter teams;
    void *entry;
    void *team;
    void *value;

    g_hash_table_iter_init(&entries, b->entries);
    while (g_hash_table_iter_next(&entries, &entry, &value)) {
        g_hash_table_iter_init(&teams, value);
        while (g_hash_table_iter_next(&teams, &team, &value)) {
            share_records_add(records, *(const uint64_t *)entry,
                              *(const uint64_t *)team,
                              GPOINTER_TO_UINT(value));
        }
    }
    return records;
}

/* Sets the bounds of a list. */
void
share_records_apply(ShareBounds *b, Sw__ShareBoundsRecord *const *records,
                    size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const Sw__ShareBoundsRecord *r = records[i];
        size_t teams = MIN(r->n_teams, r->n_bounds_micro);
        for (size_t k = 0; k < teams; k++) {
            share_bounds_set(b, r->entry, r->teams[k], r->bounds_micro[k]);
        }
    }
}
