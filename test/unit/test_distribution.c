#include "../support/control_fleet.h"
#include "suite.h"

/* Distribution of the state from a control instance to an entry instance,
 * which the test plays. */

enum {
    kStepUs = 50000, /* between changes */
    kSteps = 80,
    kRequestSteps = 4, /* between lease requests */
    kLostUpdate = 5,   /* number of the update that is lost */
};

static const char kEntryId[] = "entry-1";

/* An entry instance that applies the updates it gets. */
typedef struct {
    uint64_t index; /* of its copy of the state */
    uint32_t updates;
} EntryCopy;

static void
handle_update(void *ctx, const char *from, const char *to,
              const Sw__Frame *frame)
{
    EntryCopy *e = ctx;
    const Sw__StateUpdate *u = frame->state_update;

    (void)from;
    if (g_strcmp0(to, kEntryId) != 0 ||
        frame->body_case != SW__FRAME__BODY_STATE_UPDATE ||
        ++e->updates == kLostUpdate) {
        return;
    }
    if (u->full || u->from_index <= e->index) {
        e->index = MAX(e->index, u->to_index);
    }
}

static void
request_lease(ControlFleet *f, const EntryCopy *e)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest r = SW__LEASE_REQUEST__INIT;

    r.instance_id = (char *)kEntryId;
    r.failure_domain = (char *)"d";
    r.incarnation = 1;
    r.applied_index = e->index;
    frame.request_id = 1;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &r;
    control_fleet_frame(f, 0, kEntryId, &frame);
}

/* Changes follow each other faster than a lost update is sent again.  The
 * entry instance cannot apply the updates behind the lost one; it must get
 * that again within a second although further changes are made. */
static void
a_lost_update_is_sent_again_while_changes_go_on(void)
{
    ControlFleet *f = control_fleet_new(1, 3);
    EntryCopy e = {0};

    f->external_ctx = &e;
    f->handle_external_frame = handle_update;
    control_fleet_start(f, 0, TRUE);
    control_fleet_run(f, 1000000);
    control_fleet_admin(
        f, 0, 1, "apply", "setup",
        "[{\"key\":\"template/t\",\"spec\":{\"for\":\"team\"}}]");
    control_fleet_run(f, 100000);
    CU_ASSERT_EQUAL(control_fleet_status(f, 1), 200);
    for (uint64_t i = 0; i < kSteps; i++) {
        char operation[32];
        char *body = g_strdup_printf(
            "[{\"key\":\"team/t%u\",\"spec\":{\"template\":\"t\"}}]",
            (unsigned)i);
        g_snprintf(operation, sizeof(operation), "o%u", (unsigned)i);
        control_fleet_admin(f, 0, 100 + i, "apply", operation, body);
        if (i % kRequestSteps == 0) {
            request_lease(f, &e);
        }
        control_fleet_run(f, kStepUs);
        g_free(body);
    }
    CU_ASSERT(e.updates > kLostUpdate);
    uint64_t index = state_index(control_core_state(f->nodes[0].core));
    uint64_t behind_us = (index - MIN(e.index, index)) * kStepUs;
    if (behind_us > 1000000) {
        g_print("\n%lu us behind after %u updates\n", behind_us, e.updates);
    }
    CU_ASSERT(behind_us <= 1000000);
    control_fleet_free(f);
}

void
add_distribution_suite(void)
{
    CU_pSuite s = CU_add_suite("distribution", NULL, NULL);
    CU_add_test(s, "a lost update is sent again while changes go on",
                a_lost_update_is_sent_again_while_changes_go_on);
}
