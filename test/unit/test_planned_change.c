#include <string.h>

#include "../support/control_fleet.h"
#include "core/schema.h"
#include "core/state.h"
#include "suite.h"

/* A planned change of a primary as the control leader sees it on a loaded
 * machine.  The test plays the entry instance that owns the connections of all
 * members: it reports their health and answers the leader's commands. */

enum {
    kStepUs = 50000, /* between health reports */
    kMembers = 3,
    kTimeline = 5,
};

static const char kEntryId[] = "entry-1";
static const char *const members[kMembers] = {"m1", "m2", "m3"};

/* The members as their owner sees them. */
typedef struct {
    ControlFleet *fleet;
    int primary;
    uint64_t timeline;
    gboolean stream_alive[kMembers];
    uint64_t failing_since_us[kMembers]; /* zero: healthy */
    uint64_t promotion;
} Owner;

/* Answers a command; a promotion makes the member the primary. */
static void
handle_command(void *ctx, const char *from, const char *to,
               const Sw__Frame *frame)
{
    Owner *o = ctx;
    const Sw__MemberCommand *c = frame->member_command;
    Sw__Frame reply = SW__FRAME__INIT;
    Sw__MemberResult r = SW__MEMBER_RESULT__INIT;

    (void)from;
    if (g_strcmp0(to, kEntryId) != 0 ||
        frame->body_case != SW__FRAME__BODY_MEMBER_COMMAND) {
        return;
    }
    for (int i = 0; i < kMembers; i++) {
        if (c->action == SW__MEMBER_ACTION__MEMBER_PROMOTE &&
            strcmp(members[i], c->member) == 0 && o->primary != i) {
            o->primary = i;
            o->timeline++;
            memset(o->stream_alive, 0, sizeof(o->stream_alive));
        }
    }
    r.database = c->database;
    r.member = c->member;
    r.action = c->action;
    r.promotion = c->promotion;
    r.ok = TRUE;
    r.timeline = o->timeline;
    r.position = 100;
    r.in_recovery = strcmp(members[o->primary], c->member) != 0;
    r.error = (char *)"";
    reply.body_case = SW__FRAME__BODY_MEMBER_RESULT;
    reply.member_result = &r;
    control_fleet_frame(o->fleet, 0, kEntryId, &reply);
}

/* Sends a lease request with the health of all members. */
static void
report_health(Owner *o)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest r = SW__LEASE_REQUEST__INIT;
    Sw__MemberHealth health[kMembers];
    Sw__MemberHealth *list[kMembers];

    for (int i = 0; i < kMembers; i++) {
        Sw__MemberHealth *h = &health[i];
        gboolean healthy = i == o->primary || o->stream_alive[i];
        uint64_t *since_us = &o->failing_since_us[i];
        *since_us = healthy          ? 0
                    : *since_us != 0 ? *since_us
                                     : o->fleet->now_us;
        sw__member_health__init(h);
        h->database = (char *)"db";
        h->member = (char *)members[i];
        h->reachable = TRUE;
        h->in_recovery = i != o->primary;
        h->stream_alive = o->stream_alive[i];
        h->timeline = o->timeline;
        h->position = 100;
        h->failing_us = healthy ? 0 : o->fleet->now_us - *since_us;
        h->promotion = o->promotion;
        list[i] = h;
    }
    r.instance_id = (char *)kEntryId;
    r.failure_domain = (char *)"d0";
    r.peer_address = (char *)"a:1";
    r.http_address = (char *)"a:2";
    r.incarnation = 1;
    r.n_health = kMembers;
    r.health = list;
    frame.request_id = 1;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &r;
    control_fleet_frame(o->fleet, 0, kEntryId, &frame);
    control_fleet_run(o->fleet, kStepUs);
}

/* Returns the number of the latest promotion. */
static uint64_t
promotion_number(const Owner *o)
{
    const Resource *r = state_lookup(
        control_core_state(o->fleet->nodes[0].core), "primary/db");
    return r == NULL ? 0 : (uint64_t)json_integer_or(r->spec, "promotion", 0);
}

/* Starts a control instance with one database, whose primary is m1. */
static Owner *
owner_new(void)
{
    Owner *o = g_new0(Owner, 1);

    o->fleet = control_fleet_new(1, 3);
    o->timeline = kTimeline;
    o->fleet->external_ctx = o;
    o->fleet->handle_external_frame = handle_command;
    o->fleet->suspect_after_us = 200000;
    control_fleet_start(o->fleet, 0, TRUE);
    control_fleet_run(o->fleet, 1000000);
    control_fleet_admin(
        o->fleet, 0, 1, "apply", "setup",
        "[{\"key\":\"fleet/main\",\"spec\":{\"failure_domains\":"
        "[\"d0\",\"d1\",\"d2\"]}},{\"key\":\"database/db\",\"spec\":"
        "{\"members\":[{\"id\":\"m1\",\"failure_domain\":\"d0\"},"
        "{\"id\":\"m2\",\"failure_domain\":\"d1\"},"
        "{\"id\":\"m3\",\"failure_domain\":\"d2\"}],\"primary\":\"m1\","
        "\"slots\":3,\"connections\":25}}]");
    control_fleet_run(o->fleet, 100000);
    CU_ASSERT_EQUAL_FATAL(control_fleet_status(o->fleet, 1), 200);
    o->stream_alive[1] = o->stream_alive[2] = TRUE;
    for (int i = 0; i < 20; i++) {
        report_health(o);
    }
    return o;
}

static void
owner_free(Owner *o)
{
    control_fleet_free(o->fleet);
    g_free(o);
}

/* Reports health for a time.  With gap_steps above zero, m2 and m3 have gaps
 * of so many reports in turn, so that their streams are never alive at
 * once. */
static void
run_owner(Owner *o, uint32_t steps, uint32_t gap_steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        if (gap_steps > 0 && o->primary == 0) {
            o->stream_alive[1] = i / gap_steps % 2 == 0;
            o->stream_alive[2] = !o->stream_alive[1];
        }
        report_health(o);
        o->promotion = promotion_number(o);
    }
}

static void
evacuate(Owner *o)
{
    control_fleet_admin(o->fleet, 0, 2, "apply", "evacuation",
                        "[{\"key\":\"evacuation/d0\",\"spec\":{}}]");
}

/* Guards against a planned change that waits for seconds until the streams of
 * all replicas happen to be alive in the same moment. */
static void
gaps_in_turn_do_not_delay_it(void)
{
    static const uint32_t gaps[] = {1, 2, 3};

    for (size_t i = 0; i < G_N_ELEMENTS(gaps); i++) {
        Owner *o = owner_new();
        evacuate(o);
        run_owner(o, 3600000 / kStepUs, gaps[i]);
        CU_ASSERT_EQUAL(o->promotion, 1);
        CU_ASSERT(o->primary > 0);
        owner_free(o);
    }
}

/* Guards against a second change, perhaps back to the evacuated domain,
 * because the replicas of a machine under load are slow to follow a new
 * primary that serves. */
static void
slow_replicas_cause_no_second_change(void)
{
    Owner *o = owner_new();

    evacuate(o);
    run_owner(o, 4000000 / kStepUs, 0);
    CU_ASSERT_EQUAL(o->promotion, 1);
    /* Neither replica has followed yet. */
    run_owner(o, 1500000 / kStepUs, 0);
    CU_ASSERT_EQUAL(o->promotion, 1);
    /* A primary that its replicas cannot reach for long is replaced. */
    run_owner(o, 2500000 / kStepUs, 0);
    CU_ASSERT(o->promotion > 1);
    owner_free(o);
}

/* Guards against a planned change that begins although a replica has lost its
 * stream for good. */
static void
a_lost_stream_prevents_it(void)
{
    Owner *o = owner_new();

    o->stream_alive[2] = FALSE;
    run_owner(o, 1500000 / kStepUs, 0);
    evacuate(o);
    run_owner(o, 5000000 / kStepUs, 0);
    CU_ASSERT_EQUAL(o->promotion, 0);
    owner_free(o);
}

void
add_planned_change_suite(void)
{
    CU_pSuite s = CU_add_suite("planned change", NULL, NULL);
    CU_add_test(s, "gaps in turn do not delay it",
                gaps_in_turn_do_not_delay_it);
    CU_add_test(s, "slow replicas cause no second change",
                slow_replicas_cause_no_second_change);
    CU_add_test(s, "a lost stream prevents it", a_lost_stream_prevents_it);
}
