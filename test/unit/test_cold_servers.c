#include "../support/fleet_sim.h"
#include "../support/lone_gateway.h"
#include "suite.h"

/* Cold backend servers in the simulated fleet.  Guards against more arrivals
 * at a cold server within any second than operators allow, over its owner and
 * all instances that connect to it directly. */

enum { kColdMs = 6000, kLimitPerS = 20, kBound = kLimitPerS * 3 / 2 + 5 };

typedef void (*Course)(FleetSim *sim);

/* Restarts the servers of a failure domain, one of each database. */
static void
restart_domain(FleetSim *sim, uint32_t domain)
{
    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        fleet_sim_restart_server(sim, d, domain);
    }
}

static void
domain_returns(FleetSim *sim)
{
    restart_domain(sim, 2);
    fleet_sim_run(sim, kColdMs + 3000);
}

/* Stops the servers of a failure domain for a time and starts them again. */
static void
stop_and_restart_domain(FleetSim *sim, uint32_t domain, uint64_t stopped_ms)
{
    for (uint32_t d = 0; d < kFleetSimDatabases; d++) {
        fleet_sim_set_server_running(sim, d, domain, FALSE, TRUE);
    }
    fleet_sim_run(sim, stopped_ms);
    restart_domain(sim, domain);
}

/* Every instance connects directly.  The servers are away for longer than a
 * former answer proves that they have not restarted. */
static void
owners_unreachable(FleetSim *sim)
{
    fleet_sim_partition_entries(sim, TRUE);
    stop_and_restart_domain(sim, 2, 1200);
    fleet_sim_run(sim, kColdMs);
    fleet_sim_partition_entries(sim, FALSE);
    fleet_sim_run(sim, 3000);
}

/* The owner is lost and found while the servers are cold. */
static void
owners_lost_meanwhile(FleetSim *sim)
{
    restart_domain(sim, 2);
    for (int i = 0; i < 6; i++) {
        fleet_sim_run(sim, 700);
        fleet_sim_partition_entries(sim, i % 2 == 0);
    }
    fleet_sim_partition_entries(sim, FALSE);
    fleet_sim_run(sim, 4000);
}

static void
owners_restart(FleetSim *sim)
{
    restart_domain(sim, 2);
    fleet_sim_run(sim, 1500);
    fleet_sim_restart_entry(sim, 2);
    fleet_sim_run(sim, 1500);
    fleet_sim_restart_entry(sim, 5);
    fleet_sim_run(sim, 5000);
}

/* The servers and their owners lose power together. */
static void
domain_loses_power(FleetSim *sim)
{
    fleet_sim_partition_domain(sim, 2, TRUE);
    stop_and_restart_domain(sim, 2, 3000);
    fleet_sim_restart_entry(sim, 2);
    fleet_sim_restart_entry(sim, 5);
    fleet_sim_partition_domain(sim, 2, FALSE);
    fleet_sim_run(sim, kColdMs + 2000);
}

static void
owners_stop(FleetSim *sim)
{
    restart_domain(sim, 2);
    fleet_sim_run(sim, 1500);
    fleet_sim_stop_entry(sim, 2, 4000);
    fleet_sim_run(sim, 6000);
}

/* The owners keep the cold servers and lose everything else. */
static void
domain_partitioned(FleetSim *sim)
{
    restart_domain(sim, 2);
    fleet_sim_run(sim, 1000);
    fleet_sim_partition_domain(sim, 2, TRUE);
    fleet_sim_run(sim, 3500);
    fleet_sim_partition_domain(sim, 2, FALSE);
    fleet_sim_run(sim, 4000);
}

/* The domain of the primary of the first database. */
static void
primary_returns(FleetSim *sim)
{
    restart_domain(sim, (uint32_t)fleet_sim_primary(sim, 0));
    fleet_sim_run(sim, kColdMs + 3000);
}

static void
all_domains_return(FleetSim *sim)
{
    for (uint32_t i = 0; i < kFleetSimDomains; i++) {
        restart_domain(sim, i);
    }
    fleet_sim_run(sim, kColdMs + 3000);
}

static void
reports_get_lost(FleetSim *sim)
{
    restart_domain(sim, 2);
    fleet_sim_run(sim, 800);
    fleet_sim_pause_server_reports(sim, TRUE);
    fleet_sim_run(sim, 3000);
    fleet_sim_pause_server_reports(sim, FALSE);
    fleet_sim_run(sim, 4000);
}

/* The owners become unreachable, and the servers restart without an outage at
 * about that time: instances without a connection of their own got an answer
 * through the owner just before. */
static void
restart_at_loss_of_owners(FleetSim *sim, int before_ms)
{
    if (before_ms >= 0) {
        fleet_sim_partition_entries(sim, TRUE);
        fleet_sim_run(sim, (uint64_t)before_ms);
        restart_domain(sim, 2);
    }
    else {
        restart_domain(sim, 2);
        fleet_sim_run(sim, (uint64_t)-before_ms);
        fleet_sim_partition_entries(sim, TRUE);
    }
    fleet_sim_run(sim, kColdMs);
    fleet_sim_partition_entries(sim, FALSE);
    fleet_sim_run(sim, 3000);
}

static void
restart_with_the_loss(FleetSim *sim)
{
    restart_at_loss_of_owners(sim, 0);
}

static void
restart_after_the_loss(FleetSim *sim)
{
    restart_at_loss_of_owners(sim, 150);
}

static void
restart_before_the_loss(FleetSim *sim)
{
    restart_at_loss_of_owners(sim, -20);
}

/* Runs a course and checks the bound and the guarantees. */
static void
check_course(const char *name, Course course, gboolean reported, uint32_t seed)
{
    FleetSim *sim = fleet_sim_new(seed);

    fleet_sim_set_slow_start(sim, kColdMs, kLimitPerS, reported);
    fleet_sim_set_caller_pause(sim, 30);
    /* Longer than servers count as cold without a report. */
    fleet_sim_run(sim, kColdMs + 4000);
    course(sim);
    fleet_sim_quiesce(sim);
    uint32_t most = fleet_sim_max_cold_arrivals(sim);
    uint64_t arrivals = fleet_sim_cold_arrivals(sim);
    const FleetSimReport *r = fleet_sim_check(sim);
    gboolean holds = r->lost + r->duplicated + r->false_rejections + r->stale +
                         r->acked_by_old_primary + r->wrong_team +
                         r->wrong_state + r->outside_transaction ==
                     0;
    if (most > kBound || arrivals == 0 || !holds) {
        printf("\n    %s (seed %u, reported %d): %u in a second, %u allowed, "
               "%lu arrivals\n",
               name, seed, reported, most, kBound, arrivals);
    }
    CU_ASSERT(most <= kBound);
    CU_ASSERT(arrivals > 0);
    CU_ASSERT(holds);
    CU_ASSERT(r->served > r->refused);
    fleet_sim_free(sim);
}

static void
cold_servers_get_their_limit_at_most(void)
{
    static const struct {
        const char *name;
        Course course;
    } cases[] = {
        {"domain returns", domain_returns},
        {"owners unreachable", owners_unreachable},
        {"owners lost meanwhile", owners_lost_meanwhile},
        {"owners restart", owners_restart},
        {"owners stop", owners_stop},
        {"domain loses power", domain_loses_power},
        {"domain partitioned", domain_partitioned},
        {"primary returns", primary_returns},
        {"all domains return", all_domains_return},
        {"reports get lost", reports_get_lost},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint32_t seed = 1; seed <= 2; seed++) {
            check_course(cases[i].name, cases[i].course, seed % 2 == 1, seed);
        }
    }
}

/* Guards against instances that learn of a restart only by the next report,
 * after they have sent the new run what they like. */
static void
unnoticed_restarts_are_limited(void)
{
    enum { kSeeds = 10 };

    for (uint32_t seed = 1; seed <= kSeeds; seed++) {
        check_course("restart with the loss", restart_with_the_loss,
                     seed % 2 == 1, seed);
        check_course("restart after the loss", restart_after_the_loss,
                     seed % 2 == 1, seed);
        check_course("restart before the loss", restart_before_the_loss,
                     seed % 2 == 1, seed);
    }
}

/* Guards against a limit where operators set none. */
static void
no_limit_changes_nothing(void)
{
    uint64_t served[2];

    for (uint32_t i = 0; i < 2; i++) {
        FleetSim *sim = fleet_sim_new(7);
        fleet_sim_set_slow_start(sim, i == 0 ? 0 : kColdMs, 0, FALSE);
        fleet_sim_run(sim, 2000);
        domain_returns(sim);
        fleet_sim_quiesce(sim);
        served[i] = fleet_sim_check(sim)->served;
        CU_ASSERT_EQUAL(fleet_sim_refusals(sim, kRefusedCold), 0);
        fleet_sim_free(sim);
    }
    CU_ASSERT_EQUAL(served[0], served[1]);
}

/* Guards against reads that wait for a cold replica while others are warm. */
static void
reads_go_to_warm_servers(void)
{
    FleetSim *sim = fleet_sim_new(4);

    fleet_sim_set_slow_start(sim, kColdMs, 2, TRUE);
    fleet_sim_run(sim, kColdMs + 4000);
    uint64_t refused = fleet_sim_check(sim)->refused;
    domain_returns(sim);
    fleet_sim_quiesce(sim);
    CU_ASSERT(fleet_sim_check(sim)->refused - refused <=
              fleet_sim_check(sim)->served / 100);
    fleet_sim_free(sim);
}

/* ---- one owner ---- */

static const char *const kOwner[] = {"e0 a", NULL};

/* Returns a document with a limit on cold servers, of 20 requests a second. */
static Document *
cold_document(void)
{
    Document *d = document_new(3);
    DocumentDatabase *b = g_new0(DocumentDatabase, 1);

    b->name = g_strdup("db");
    b->max_connections = 40;
    b->cold_start_us = 10 * G_USEC_PER_SEC;
    b->cold_milli_per_s = 20000;
    d->limits_cold_servers = TRUE;
    g_hash_table_insert(d->databases, b->name, b);
    return d;
}

/* Sends statements of borrowers every five milliseconds. */
static void
relay_for(LoneGateway *l, uint64_t for_ms)
{
    for (uint64_t ms = 0; ms < for_ms; ms += 5) {
        lone_gateway_relay(l, "s", ++l->relay, kCommandStatement, "READ",
                           FALSE);
        lone_gateway_run(l, 5);
    }
}

/* Guards against two owners that send within the same second. */
static void
a_new_owner_pauses(void)
{
    GatewayConfig config = {.failure_domain = "a"};
    LoneGateway *l = lone_gateway_new(&config, kOwner, cold_document());

    lone_gateway_server(l, "s", "a", 1, 9000);
    lone_gateway_run(l, 50);
    uint64_t owner_since_us = l->now_us;
    relay_for(l, 900);
    CU_ASSERT_EQUAL(l->sent_us->len, 0);
    relay_for(l, 2000);
    CU_ASSERT(l->sent_us->len > 0 && g_array_index(l->sent_us, uint64_t, 0) >=
                                         owner_since_us + 1000000 - 50000);
    CU_ASSERT(lone_gateway_most_in_a_second(l) <= 14);
    lone_gateway_free(l);
}

/* Guards against a former owner without a lease that uses the owner's share
 * beside its successor.  One instance alone has 30 % as its direct share. */
static void
an_owner_without_lease_uses_its_direct_share(void)
{
    GatewayConfig config = {.failure_domain = "a"};
    LoneGateway *l = lone_gateway_new(&config, kOwner, cold_document());

    lone_gateway_server(l, "s", "a", 1, 9000);
    relay_for(l, 2500);
    l->grants = FALSE;
    relay_for(l, 2500);
    g_array_set_size(l->sent_us, 0);
    relay_for(l, 2500);
    CU_ASSERT(l->sent_us->len > 0);
    CU_ASSERT(lone_gateway_most_in_a_second(l) <= 7);
    lone_gateway_free(l);
}

/* Guards against instances that start without a leader and each take the whole
 * direct share, as they know of no other instance. */
static void
nothing_is_sent_before_the_first_grant(void)
{
    GatewayConfig config = {.failure_domain = "a"};
    LoneGateway *l = lone_gateway_new(&config, NULL, cold_document());

    lone_gateway_server(l, "s", "a", 1, 9000);
    relay_for(l, 3000);
    CU_ASSERT_EQUAL(l->sent_us->len, 0);
    CU_ASSERT(l->not_run > 0);
    lone_gateway_free(l);
}

/* Guards against transactions that run at a cold server without a limit, and
 * against commands that wait there for ever. */
static void
statements_of_transactions_wait(void)
{
    enum { kTransactions = 6 };
    GatewayConfig config = {.failure_domain = "a"};
    LoneGateway *l = lone_gateway_new(&config, kOwner, cold_document());
    uint32_t held = 0;

    lone_gateway_server(l, "s", "a", 1, 9000);
    lone_gateway_run(l, 2000);
    for (uint64_t i = 1; i <= kTransactions; i++) {
        lone_gateway_relay(l, "s", i, kCommandBegin, "", FALSE);
        lone_gateway_run(l, 40);
    }
    for (uint32_t round = 0; round < 40; round++) {
        uint32_t done = l->answered + l->not_run;
        uint64_t i = round % kTransactions + 1;
        lone_gateway_relay(l, "s", i, kCommandStatement, "WRITE", TRUE);
        lone_gateway_run(l, 20);
        held += l->answered + l->not_run == done;
        lone_gateway_run(l, 10);
    }
    lone_gateway_run(l, 2000);
    CU_ASSERT(held > 0);
    CU_ASSERT(lone_gateway_most_in_a_second(l) <= 14);
    CU_ASSERT(l->not_run + l->answered > kTransactions);
    CU_ASSERT(gateway_counters(l->gateway)->cold_waits > 0);
    lone_gateway_free(l);
}

/* Guards against a restart that no connection of this instance noticed. */
static void
a_first_connection_is_limited(void)
{
    GatewayConfig config = {.failure_domain = "a"};
    LoneGateway *l = lone_gateway_new(&config, kOwner, cold_document());

    lone_gateway_server(l, "s", "a", 1, 0);
    lone_gateway_run(l, 2500);
    relay_for(l, 1300);
    CU_ASSERT(l->sent_us->len > 0);
    CU_ASSERT(lone_gateway_most_in_a_second(l) <= 14);
    relay_for(l, 1500);
    CU_ASSERT(lone_gateway_most_in_a_second(l) > 50);
    lone_gateway_free(l);
}

/* Guards against a limit that stays after a report has shown that the first
 * connection leads to a warm run, against answers that end it without showing
 * that, and against requests where no slow start is configured. */
static void
a_later_report_ends_the_limit(void)
{
    static const struct {
        gboolean configured;
        gboolean answered;
        uint64_t other; /* difference of the answered request's number */
        int64_t born_ms;
        uint64_t cold_left_ms;
        gboolean limited;
    } cases[] = {
        {TRUE, FALSE, 0, 1, 0, TRUE},   {TRUE, TRUE, 0, 1, 0, FALSE},
        {TRUE, TRUE, 0, 1, 9000, TRUE}, {TRUE, TRUE, 0, 2, 9000, TRUE},
        {TRUE, TRUE, 1, 1, 0, TRUE},    {FALSE, FALSE, 0, 1, 0, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GatewayConfig config = {.failure_domain = "a"};
        Document *document = cold_document();
        document->limits_cold_servers = cases[i].configured;
        LoneGateway *l = lone_gateway_new(&config, kOwner, document);
        lone_gateway_server(l, "s", "a", 1, 0);
        lone_gateway_run(l, 2500);
        relay_for(l, 200);
        CU_ASSERT_EQUAL(l->server_queries, cases[i].configured);
        if (cases[i].answered) {
            lone_gateway_server_answer(l, l->server_query + cases[i].other,
                                       "s", "a", cases[i].born_ms,
                                       cases[i].cold_left_ms);
        }
        g_array_set_size(l->sent_us, 0);
        relay_for(l, 1000);
        CU_ASSERT_EQUAL(lone_gateway_most_in_a_second(l) <= 14,
                        cases[i].limited);
        CU_ASSERT_EQUAL(l->server_queries, cases[i].configured);
        lone_gateway_free(l);
    }
}

/* Guards against a restart that counts only once the new run reports, and
 * against a first report that is read as warm. */
static void
a_restart_is_cold_at_once(void)
{
    static const struct {
        uint64_t cold_left_ms;
        gboolean cold;
    } cases[] = {{UINT64_MAX, TRUE}, {9000, TRUE}, {0, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GatewayConfig config = {.failure_domain = "a"};
        LoneGateway *l = lone_gateway_new(&config, kOwner, cold_document());
        lone_gateway_server(l, "s", "a", 1, 0);
        relay_for(l, 2500);
        CU_ASSERT(lone_gateway_most_in_a_second(l) > 50);
        lone_gateway_server(l, "s", "a", 2, cases[i].cold_left_ms);
        g_array_set_size(l->sent_us, 0);
        relay_for(l, 2500);
        CU_ASSERT_EQUAL(lone_gateway_most_in_a_second(l) <= 14, cases[i].cold);
        lone_gateway_free(l);
    }
}

void
add_cold_servers_suite(void)
{
    CU_pSuite s = CU_add_suite("cold servers", NULL, NULL);

    CU_add_test(s, "cold servers get their limit at most",
                cold_servers_get_their_limit_at_most);
    CU_add_test(s, "unnoticed restarts are limited",
                unnoticed_restarts_are_limited);
    CU_add_test(s, "no limit changes nothing", no_limit_changes_nothing);
    CU_add_test(s, "a new owner pauses", a_new_owner_pauses);
    CU_add_test(s, "an owner without lease uses its direct share",
                an_owner_without_lease_uses_its_direct_share);
    CU_add_test(s, "nothing is sent before the first grant",
                nothing_is_sent_before_the_first_grant);
    CU_add_test(s, "statements of transactions wait",
                statements_of_transactions_wait);
    CU_add_test(s, "a first connection is limited",
                a_first_connection_is_limited);
    CU_add_test(s, "a later report ends the limit",
                a_later_report_ends_the_limit);
    CU_add_test(s, "a restart is cold at once", a_restart_is_cold_at_once);
    CU_add_test(s, "reads go to warm servers", reads_go_to_warm_servers);
}
