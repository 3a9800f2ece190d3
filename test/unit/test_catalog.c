#include <string.h>

#include "core/catalog.h"
#include "suite.h"

/* One change of an update as the table states it. */
typedef struct {
    const char *key;
    const char *spec; /* NULL: deleted */
    uint64_t index;
} Line;

static gboolean
update(Catalog *c, const char *cluster, gboolean full, uint64_t from,
       uint64_t to, const Line *lines, size_t count)
{
    Sw__StateUpdate u = SW__STATE_UPDATE__INIT;
    Sw__Change changes[8];
    Sw__Change *list[8];

    for (size_t i = 0; i < count; i++) {
        sw__change__init(&changes[i]);
        changes[i].key = (char *)lines[i].key;
        changes[i].index = lines[i].index;
        changes[i].version = lines[i].index;
        if (lines[i].spec != NULL) {
            changes[i].spec.data = (uint8_t *)lines[i].spec;
            changes[i].spec.len = strlen(lines[i].spec);
        }
        list[i] = &changes[i];
    }
    u.cluster = (char *)cluster;
    u.full = full;
    u.from_index = from;
    u.to_index = to;
    u.n_changes = count;
    u.changes = list;
    return catalog_update(c, 1000, &u, NULL);
}

static uint32_t
rate_of(Catalog *c, const char *team)
{
    const TeamInfo *t = catalog_team(c, team);
    return t == NULL ? 0 : t->parameters.rate_per_s;
}

#define TEAM(rate) "{\"template\":\"t\",\"parameters\":{\"rate\":" #rate "}}"

static void
updates_never_go_back(void)
{
    static const Line first[] = {{"team/a", TEAM(5), 3},
                                 {"team/b", TEAM(6), 4}};
    static const Line later[] = {{"team/a", TEAM(9), 7}};
    static const Line older[] = {{"team/a", TEAM(1), 5}};
    static const Line removal[] = {{"team/b", NULL, 8}};
    Catalog *c = catalog_new();

    CU_ASSERT(update(c, "x", TRUE, 0, 4, first, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 5);
    CU_ASSERT(update(c, "x", FALSE, 4, 7, later, 1));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 9);
    /* An older delta, an older full state, a gap, another cluster. */
    CU_ASSERT(update(c, "x", FALSE, 4, 5, older, 1));
    CU_ASSERT(update(c, "x", TRUE, 0, 4, first, 2));
    CU_ASSERT(!update(c, "x", FALSE, 20, 30, later, 1));
    CU_ASSERT(!update(c, "y", TRUE, 0, 90, older, 1));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 9);
    CU_ASSERT_EQUAL(catalog_index(c), 7);
    CU_ASSERT(update(c, "x", FALSE, 7, 8, removal, 1));
    CU_ASSERT_PTR_NULL(catalog_team(c, "b"));
    catalog_free(c);
}

static void
a_bad_update_changes_nothing(void)
{
    static const Line good[] = {{"team/a", TEAM(5), 3}};
    static const Line bad[] = {{"team/a", TEAM(8), 6}, {"team/b", "{", 7}};
    static const Line odd[] = {{"team/a", TEAM(8), 6}, {"team/b", "[]", 7}};
    static const Line newer[] = {{"team/a", TEAM(8), 6},
                                 {"planet/mars", "{}", 7}};
    Catalog *c = catalog_new();

    CU_ASSERT(update(c, "x", TRUE, 0, 3, good, 1));
    CU_ASSERT(!update(c, "x", TRUE, 0, 7, bad, 2));
    CU_ASSERT(!update(c, "x", FALSE, 3, 7, odd, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 5);
    CU_ASSERT_EQUAL(catalog_index(c), 3);
    /* A kind that only a newer version knows is passed over. */
    CU_ASSERT(update(c, "x", FALSE, 3, 7, newer, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 8);
    catalog_free(c);
}

void
add_catalog_suite(void)
{
    CU_pSuite s = CU_add_suite("catalog", NULL, NULL);
    CU_add_test(s, "updates never go back", updates_never_go_back);
    CU_add_test(s, "a bad update changes nothing",
                a_bad_update_changes_nothing);
}
