#include <string.h>

#include "core/catalog.h"
#include "suite.h"

/* One resource change of a state update. */
typedef struct {
    const char *key;
    const char *spec; /* JSON; NULL: the resource is deleted */
    uint64_t index;   /* of the log entry that makes the change */
} TestChange;

/* Applies a state update: a full state, or a delta after from_index.  Returns
 * whether the catalog accepted it. */
static gboolean
apply_update(Catalog *c, const char *cluster, gboolean full,
             uint64_t from_index, uint64_t to_index,
             const TestChange *test_changes, size_t count)
{
    Sw__StateUpdate u = SW__STATE_UPDATE__INIT;
    Sw__Change changes[8];
    Sw__Change *list[8];

    for (size_t i = 0; i < count; i++) {
        sw__change__init(&changes[i]);
        changes[i].key = (char *)test_changes[i].key;
        changes[i].index = test_changes[i].index;
        changes[i].version = test_changes[i].index;
        if (test_changes[i].spec != NULL) {
            changes[i].spec.data = (uint8_t *)test_changes[i].spec;
            changes[i].spec.len = strlen(test_changes[i].spec);
        }
        list[i] = &changes[i];
    }
    u.cluster = (char *)cluster;
    u.full = full;
    u.from_index = from_index;
    u.to_index = to_index;
    u.n_changes = count;
    u.changes = list;
    return catalog_update(c, 1000, &u, NULL);
}

/* Returns the rate of a team, zero if the catalog has no such team. */
static uint32_t
rate_of(Catalog *c, const char *team)
{
    const TeamInfo *t = catalog_team(c, team);
    return t == NULL ? 0 : t->parameters.rate_per_s;
}

#define TEAM(rate) "{\"template\":\"t\",\"parameters\":{\"rate\":" #rate "}}"

static void
older_updates_change_nothing(void)
{
    static const TestChange full_state[] = {{"team/a", TEAM(5), 3},
                                            {"team/b", TEAM(6), 4}};
    static const TestChange newer_delta[] = {{"team/a", TEAM(9), 7}};
    static const TestChange older_delta[] = {{"team/a", TEAM(1), 5}};
    static const TestChange removal[] = {{"team/b", NULL, 8}};
    Catalog *c = catalog_new();

    CU_ASSERT(apply_update(c, "x", TRUE, 0, 4, full_state, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 5);
    CU_ASSERT(apply_update(c, "x", FALSE, 4, 7, newer_delta, 1));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 9);
    /* Older updates are ignored without an error. */
    CU_ASSERT(apply_update(c, "x", FALSE, 4, 5, older_delta, 1));
    CU_ASSERT(apply_update(c, "x", TRUE, 0, 4, full_state, 2));
    /* A gap and another cluster are errors. */
    CU_ASSERT(!apply_update(c, "x", FALSE, 20, 30, newer_delta, 1));
    CU_ASSERT(!apply_update(c, "y", TRUE, 0, 90, older_delta, 1));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 9);
    CU_ASSERT_EQUAL(catalog_index(c), 7);
    CU_ASSERT(apply_update(c, "x", FALSE, 7, 8, removal, 1));
    CU_ASSERT_PTR_NULL(catalog_team(c, "b"));
    catalog_free(c);
}

static void
invalid_updates_are_rejected(void)
{
    static const TestChange valid[] = {{"team/a", TEAM(5), 3}};
    static const TestChange invalid_json[] = {{"team/a", TEAM(8), 6},
                                              {"team/b", "{", 7}};
    static const TestChange not_an_object[] = {{"team/a", TEAM(8), 6},
                                               {"team/b", "[]", 7}};
    static const TestChange unknown_kind[] = {{"team/a", TEAM(8), 6},
                                              {"planet/mars", "{}", 7}};
    Catalog *c = catalog_new();

    CU_ASSERT(apply_update(c, "x", TRUE, 0, 3, valid, 1));
    CU_ASSERT(!apply_update(c, "x", TRUE, 0, 7, invalid_json, 2));
    CU_ASSERT(!apply_update(c, "x", FALSE, 3, 7, not_an_object, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 5);
    CU_ASSERT_EQUAL(catalog_index(c), 3);
    /* A resource kind that only a newer release has is skipped. */
    CU_ASSERT(apply_update(c, "x", FALSE, 3, 7, unknown_kind, 2));
    CU_ASSERT_EQUAL(rate_of(c, "a"), 8);
    catalog_free(c);
}

#define MEMBER                                                                \
    "{\"failure_domain\":\"d\",\"peer_address\":\"a:1\",\"http_address\":"    \
    "\"a:2\",\"incarnation\":1,\"draining\":false}"

/* Guards against an owner that counts as the only one of a new team although
 * another instance, perhaps without news of its successor, may have granted
 * the team's tokens. */
static void
only_changes_after_the_creation_count(void)
{
    static const TestChange start[] = {
        {"fleet/main", "{\"failure_domains\":[\"d\"]}", 1},
        {"template/t", "{\"for\":\"team\"}", 2},
        {"instance/a", MEMBER, 3},
        {"instance/b", MEMBER, 3}};
    static const TestChange known_team[] = {{"team/x", TEAM(5), 4}};
    static const struct {
        TestChange changes[3]; /* after the start */
        gboolean full;         /* the state arrives again afterwards */
        gboolean only_owner;
    } cases[] = {
        {{{"team/x", TEAM(5), 10}}, FALSE, TRUE},
        {{{"team/x", TEAM(5), 10}}, TRUE, FALSE},
        {{{"team/x", TEAM(5), 10}, {"team/x", TEAM(6), 11}}, FALSE, FALSE},
        {{{"team/x", TEAM(5), 10}, {"team/y", TEAM(6), 11}}, FALSE, TRUE},
        {{{"fleet/main", "{\"failure_domains\":[\"d\"]}", 10},
          {"team/x", TEAM(5), 10}},
         FALSE,
         TRUE},
        {{{"team/x", TEAM(5), 10},
          {"fleet/main", "{\"failure_domains\":[\"d\"]}", 11}},
         FALSE,
         FALSE},
        {{{"team/x", TEAM(5), 10}, {"template/t", "{\"for\":\"team\"}", 11}},
         FALSE,
         FALSE},
        /* The owner joins after the creation, or another one leaves. */
        {{{"team/x", TEAM(5), 10}, {"instance/a", MEMBER, 11}}, FALSE, FALSE},
        {{{"instance/b", NULL, 9}, {"team/x", TEAM(5), 10}}, FALSE, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Catalog *c = catalog_new();
        size_t count = 0;
        while (count < 3 && cases[i].changes[count].key != NULL) {
            count++;
        }
        CU_ASSERT(apply_update(c, "x", TRUE, 0, 3, start, 4));
        CU_ASSERT(apply_update(c, "x", FALSE, 3, 12, cases[i].changes, count));
        if (cases[i].full) {
            CU_ASSERT(apply_update(c, "x", TRUE, 0, 13, start, 4));
            CU_ASSERT(apply_update(c, "x", TRUE, 0, 14, known_team, 1));
        }
        gboolean only =
            catalog_owner_since_creation(c, "x", "limit/x/0", "d", "a");
        if (only != cases[i].only_owner) {
            printf("\n    case %zu: %d\n", i, only);
        }
        CU_ASSERT_EQUAL(only, cases[i].only_owner);
        catalog_free(c);
    }
    /* The departure of the instance that ranks first counts. */
    static const TestChange team[] = {{"team/x", TEAM(5), 10}};
    static const TestChange left[2][1] = {{{"instance/a", NULL, 12}},
                                          {{"instance/b", NULL, 12}}};
    uint32_t sole = 0;
    for (int i = 0; i < 2; i++) {
        Catalog *c = catalog_new();
        CU_ASSERT(apply_update(c, "x", TRUE, 0, 3, start, 4));
        CU_ASSERT(apply_update(c, "x", FALSE, 3, 10, team, 1));
        CU_ASSERT(apply_update(c, "x", FALSE, 10, 12, left[i], 1));
        sole += catalog_owner_since_creation(c, "x", "limit/x/0", "d",
                                             i == 0 ? "b" : "a")
                    ? 1
                    : 0;
        catalog_free(c);
    }
    CU_ASSERT_EQUAL(sole, 1);
}

void
add_catalog_suite(void)
{
    CU_pSuite s = CU_add_suite("catalog", NULL, NULL);
    CU_add_test(s, "older updates change nothing",
                older_updates_change_nothing);
    CU_add_test(s, "invalid updates are rejected",
                invalid_updates_are_rejected);
    CU_add_test(s, "only changes after the creation count",
                only_changes_after_the_creation_count);
}
