#include <string.h>

#include "core/entry_defs.h"
#include "core/ownership.h"
#include "suite.h"

/* Adds an entry instance to the view. */
static void
add_instance(InstanceView *v, const char *id, const char *domain,
             gboolean draining)
{
    json_t *spec = json_pack("{s:s, s:s, s:I, s:b}", "failure_domain", domain,
                             "peer_address", "127.0.0.1:1", "incarnation",
                             (json_int_t)1, "draining", draining);
    instance_view_set(v, id, spec);
    json_decref(spec);
}

/* Returns the id of the instance that owns a resource of the failure domain,
 * an empty string if there is none. */
static const char *
owner_of(InstanceView *v, const char *resource, const char *domain)
{
    const InstanceInfo *owners[kOwnerRanksMax];
    return ownership_rank(v, resource, domain, kOwnerRanksMax, owners) == 0
               ? ""
               : owners[0]->id;
}

static void
instances_of_the_same_failure_domain_go_first(void)
{
    InstanceView v;
    instance_view_init(&v);
    add_instance(&v, "a", "suva", FALSE);
    add_instance(&v, "b", "nadi", FALSE);
    add_instance(&v, "c", "nadi", FALSE);
    for (int i = 0; i < 50; i++) {
        char resource[16];
        g_snprintf(resource, sizeof(resource), "r%d", i);
        CU_ASSERT_STRING_EQUAL(owner_of(&v, resource, "suva"), "a");
        CU_ASSERT(strcmp(owner_of(&v, resource, "nadi"), "a") != 0);
        /* Without an instance in the domain, one of another domain owns it. */
        CU_ASSERT(strlen(owner_of(&v, resource, "lautoka")) == 1);
    }
    instance_view_clear(&v);
}

static void
a_removed_instance_moves_only_its_own_resources(void)
{
    InstanceView v;
    char *before[200];
    uint32_t moved = 0;
    instance_view_init(&v);
    for (int i = 0; i < 8; i++) {
        char id[4] = {'i', (char)('0' + i), 0};
        add_instance(&v, id, "d", FALSE);
    }
    for (int i = 0; i < 200; i++) {
        char resource[16];
        g_snprintf(resource, sizeof(resource), "r%d", i);
        before[i] = g_strdup(owner_of(&v, resource, "d"));
    }
    instance_view_set(&v, "i3", NULL);
    for (int i = 0; i < 200; i++) {
        char resource[16];
        g_snprintf(resource, sizeof(resource), "r%d", i);
        const char *owner = owner_of(&v, resource, "d");
        if (strcmp(before[i], owner) != 0) {
            moved++;
            CU_ASSERT_STRING_EQUAL(before[i], "i3");
        }
        g_free(before[i]);
    }
    CU_ASSERT(moved > 5 && moved < 60);
    instance_view_clear(&v);
}

static void
a_draining_instance_owns_nothing_beside_active_ones(void)
{
    InstanceView v;
    instance_view_init(&v);
    add_instance(&v, "a", "d", TRUE);
    CU_ASSERT_STRING_EQUAL(owner_of(&v, "r", "d"), "a");
    add_instance(&v, "b", "far", FALSE);
    CU_ASSERT_STRING_EQUAL(owner_of(&v, "r", "d"), "b");
    instance_view_clear(&v);
}

static uint64_t
no_random(void *ctx)
{
    (void)ctx;
    return 0;
}

/* Guards against a price of the product's programs that has no effect, or that
 * keeps a read at a primary which has refused it, and against work that counts
 * as a choice to leave the domain where there is none. */
static void
a_price_keeps_reads_at_a_primary_at_home(void)
{
    static const struct {
        const char *primary_domain;
        uint64_t us_per_kb, bytes;
        uint32_t tried;
        int32_t member;
        gboolean write;
        CrossingReason crossing; /* kCrossingNotBetter: it stays at home */
    } cases[] = {
        {"a", 0, 100000, 0, 1, FALSE, kCrossingWait},
        {"a", 1000, 1000, 0, 1, FALSE, kCrossingWait},
        {"a", 1000, 20000, 0, 0, FALSE, kCrossingNotBetter},
        {"a", 1000, 20000, 1, 1, FALSE, kCrossingNoServer},
        {"b", 1000, 20000, 0, 1, FALSE, kCrossingNoServer},
        {"a", 20000, 0, 0, 0, FALSE, kCrossingNotBetter},
        {"a", 1000000, 1000, 2, 0, FALSE, kCrossingNotBetter},
        {"b", 0, 0, 2, 0, FALSE, kCrossingNoServer},
        {"a", 0, 0, 0, 0, TRUE, kCrossingNotBetter},
        {"b", 0, 0, 0, 0, TRUE, kCrossingOnlyServer},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EntryCore e = {
            .config = {.failure_domain = "a",
                       .read_replicas = TRUE,
                       .cross_domain_us_per_kb = cases[i].us_per_kb},
            .port = {.random = no_random},
            .avoided = router_cache_new(),
            .service_bytes = router_cache_new()};
        DatabaseInfo d = {
            .name = (char *)"db",
            .members = {{(char *)"m0", (char *)cases[i].primary_domain,
                         (char *)"x", TRUE, 0},
                        {(char *)"m1", (char *)"c", (char *)"y", TRUE, 0}},
            .member_count = 2,
            .stable = TRUE};
        if (cases[i].bytes != 0) {
            router_observe_bytes(&e, "service", cases[i].bytes);
        }
        RouteChoice choice = router_choose(
            &e, 1, &d, "service", cases[i].write, 1000000, cases[i].tried);
        CU_ASSERT_EQUAL(choice.member, cases[i].member);
        router_count_crossed(&e, &d, choice.member, choice.crossing);
        for (uint32_t k = 0; k < kCrossingReasons; k++) {
            CU_ASSERT_EQUAL(e.crossed[k],
                            k != kCrossingNotBetter && k == cases[i].crossing);
        }
        g_hash_table_destroy(e.avoided);
        g_hash_table_destroy(e.service_bytes);
    }
}

void
add_ownership_suite(void)
{
    CU_pSuite s = CU_add_suite("ownership", NULL, NULL);
    CU_add_test(s, "a price keeps reads at a primary at home",
                a_price_keeps_reads_at_a_primary_at_home);
    CU_add_test(s, "instances of the same failure domain go first",
                instances_of_the_same_failure_domain_go_first);
    CU_add_test(s, "a removed instance moves only its own resources",
                a_removed_instance_moves_only_its_own_resources);
    CU_add_test(s, "a draining instance owns nothing beside active ones",
                a_draining_instance_owns_nothing_beside_active_ones);
}
