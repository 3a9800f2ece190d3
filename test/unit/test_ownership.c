#include <string.h>

#include "core/ownership.h"
#include "suite.h"

static void
add(InstanceView *v, const char *id, const char *domain, gboolean draining)
{
    json_t *spec = json_pack("{s:s, s:s, s:I, s:b}", "failure_domain", domain,
                             "peer_address", "127.0.0.1:1", "incarnation",
                             (json_int_t)1, "draining", draining);
    instance_view_set(v, id, spec);
    json_decref(spec);
}

static const char *
owner_of(InstanceView *v, const char *resource, const char *domain)
{
    const InstanceInfo *owners[kOwnerRanksMax];
    return ownership_rank(v, resource, domain, kOwnerRanksMax, owners) == 0
               ? ""
               : owners[0]->id;
}

static void
the_own_failure_domain_goes_first(void)
{
    InstanceView v;
    instance_view_init(&v);
    add(&v, "a", "suva", FALSE);
    add(&v, "b", "nadi", FALSE);
    add(&v, "c", "nadi", FALSE);
    for (int i = 0; i < 50; i++) {
        char resource[16];
        g_snprintf(resource, sizeof(resource), "r%d", i);
        CU_ASSERT_STRING_EQUAL(owner_of(&v, resource, "suva"), "a");
        CU_ASSERT(strcmp(owner_of(&v, resource, "nadi"), "a") != 0);
        /* A domain without instances is served from elsewhere. */
        CU_ASSERT(strlen(owner_of(&v, resource, "lautoka")) == 1);
    }
    instance_view_clear(&v);
}

static void
a_departure_moves_only_its_own(void)
{
    InstanceView v;
    char *before[200];
    uint32_t moved = 0;
    instance_view_init(&v);
    for (int i = 0; i < 8; i++) {
        char id[4] = {'i', (char)('0' + i), 0};
        add(&v, id, "d", FALSE);
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
        const char *now = owner_of(&v, resource, "d");
        if (strcmp(before[i], now) != 0) {
            moved++;
            CU_ASSERT_STRING_EQUAL(before[i], "i3");
        }
        g_free(before[i]);
    }
    CU_ASSERT(moved > 5 && moved < 60);
    instance_view_clear(&v);
}

static void
a_draining_instance_owns_nothing_while_others_live(void)
{
    InstanceView v;
    instance_view_init(&v);
    add(&v, "a", "d", TRUE);
    CU_ASSERT_STRING_EQUAL(owner_of(&v, "r", "d"), "a");
    add(&v, "b", "far", FALSE);
    CU_ASSERT_STRING_EQUAL(owner_of(&v, "r", "d"), "b");
    instance_view_clear(&v);
}

void
add_ownership_suite(void)
{
    CU_pSuite s = CU_add_suite("ownership", NULL, NULL);
    CU_add_test(s, "the own failure domain goes first",
                the_own_failure_domain_goes_first);
    CU_add_test(s, "a departure moves only its own",
                a_departure_moves_only_its_own);
    CU_add_test(s, "a draining instance owns nothing while others live",
                a_draining_instance_owns_nothing_while_others_live);
}
