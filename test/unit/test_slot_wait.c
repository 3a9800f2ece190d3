#include "../support/system.h"
#include "policy/slot_wait.h"
#include "suite.h"

/* The expected wait for a slot beside interactive transactions. */

/* Guards against held slots that count as free, and against a wait for slots
 * that are not needed. */
static void
held_slots_serve_later(void)
{
    static const struct {
        uint32_t slots;
        uint32_t held;
        uint64_t left_us[4];
        uint64_t queued_us;
        uint64_t wait_us;
    } cases[] = {
        {4, 0, {0}, 0, 0},
        {4, 0, {0}, 400, 100},
        {4, 4, {900, 300, 500, 700}, 0, 300},
        {4, 4, {900, 300, 500, 700}, 100, 400},
        {4, 4, {900, 300, 500, 700}, 200, 500},
        {4, 4, {900, 300, 500, 700}, 400, 600},
        {4, 4, {900, 300, 500, 700}, 600, 700},
        {4, 3, {900, 300, 500}, 100, 100},
        {4, 3, {900, 300, 500}, 500, 400},
        {4, 1, {900}, 300, 100},
        /* More transactions than slots, after the slots were reduced. */
        {2, 4, {900, 300, 500, 700}, 0, 300},
        {0, 0, {0}, 100, 100},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GArray *left_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_array_append_vals(left_us, cases[i].left_us, cases[i].held);
        uint64_t wait_us =
            slot_wait_us(left_us, cases[i].slots, cases[i].queued_us);
        if (wait_us != cases[i].wait_us) {
            printf("\n    case %zu: %lu us\n", i, (unsigned long)wait_us);
        }
        CU_ASSERT_EQUAL(wait_us, cases[i].wait_us);
        g_array_unref(left_us);
    }
}

/* Guards against one transaction that was left idle for long and then makes
 * work be rejected beside short ones. */
static void
the_rest_of_the_average_is_left(void)
{
    SlotHold h = {0};

    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 0, 9000), 0);
    slot_hold_record(&h, 1000);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 0, 9000), 1000);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 400, 9000), 600);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 400, 500), 500);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 1001, 9000), 0);
    slot_hold_record(&h, 1800);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 0, 9000), 1100);
    slot_hold_record(&h, 20000000);
    CU_ASSERT_EQUAL(slot_hold_left_us(&h, 0, 9000), 1237);
}

/* Sends a request of the team and runs the system for a time. */
static const SystemAnswer *
call(System *s, const char *path, const char *body, uint64_t run_us)
{
    uint64_t id =
        system_call(s, 0, path, "key-of-crews-0001", NULL, NULL, body);
    system_run(s, run_us);
    return system_answer(s, id);
}

/* Opens a transaction.  Returns its id, which the caller frees. */
static char *
open_transaction(System *s)
{
    const SystemAnswer *a = call(s, "/v1/s0/transactions/open", "{}", 20000);
    CU_ASSERT_FATAL(a != NULL && a->status == 200);
    json_t *body = json_loads(a->body, 0, NULL);
    char *id =
        g_strdup(json_string_value(json_object_get(body, "transaction")));
    json_decref(body);
    CU_ASSERT_PTR_NOT_NULL_FATAL(id);
    return id;
}

static void
commit_transaction(System *s, char *id)
{
    char *path = g_strdup_printf("/v1/s0/transactions/%s/commit", id);
    const SystemAnswer *a = call(s, path, "{}", 20000);
    CU_ASSERT_FATAL(a != NULL && a->status == 200);
    g_free(path);
    g_free(id);
}

/* Guards against reads that wait until their deadline although transactions
 * hold all slots for longer, and against reads that are rejected although a
 * slot becomes free in time. */
static void
a_read_is_rejected_at_once(void)
{
    enum { kSlots = 3, kHoldUs = 1500000 };
    static const char list[] = "{\"args\":{\"v\":\"x\"}}";
    char *open[kSlots];
    System *s = system_new(1, 1, 5);

    system_add_team(s, "crews", 5000, 10000, "key-of-crews-0001");
    system_run(s, 6000000);
    for (int round = 0; round < 3; round++) {
        for (int i = 0; i < kSlots; i++) {
            open[i] = open_transaction(s);
        }
        if (round == 2) {
            const SystemAnswer *a = call(s, "/v1/s0/get", list, 20000);
            CU_ASSERT(a != NULL && a->status == 503);
            system_run(s, kHoldUs - 500000);
            uint64_t id = system_call(s, 0, "/v1/s0/get", "key-of-crews-0001",
                                      NULL, NULL, list);
            system_run(s, 400000);
            CU_ASSERT_PTR_NULL(system_answer(s, id));
            commit_transaction(s, open[0]);
            a = system_answer(s, id);
            CU_ASSERT(a != NULL && a->status == 200);
            break;
        }
        system_run(s, kHoldUs);
        for (int i = 0; i < kSlots; i++) {
            commit_transaction(s, open[i]);
        }
    }
    g_free(open[1]);
    g_free(open[2]);
    system_free(s);
}

void
add_slot_wait_suite(void)
{
    CU_pSuite s = CU_add_suite("slot wait", NULL, NULL);
    CU_add_test(s, "held slots serve later", held_slots_serve_later);
    CU_add_test(s, "the rest of the average is left",
                the_rest_of_the_average_is_left);
    CU_add_test(s, "a read is rejected at once", a_read_is_rejected_at_once);
}
