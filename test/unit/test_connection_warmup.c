#include <stdio.h>

#include "../support/lone_gateway.h"
#include "policy/connection_warmup.h"
#include "suite.h"

/* Connections that the owner of a backend server opens before work asks for
 * them: which, when, and how many of them are never used. */

enum { kMs = 1000, kSecond = 1000000, kTeams = 85, kStart = 20 * kSecond };

/* Guards against handshakes that take the slots of work, and against a limit
 * that leaves nothing to demand. */
static void
a_quarter_of_the_slots_is_used(void)
{
    static const struct {
        ConnectionWarmupLoad load;
        uint64_t at_ms;     /* since the owner changed */
        uint64_t failed_ms; /* when an opening failed, zero: none did */
        gboolean may;
    } cases[] = {
        /* usable, slots, busy, ahead, connections, limit */
        {{TRUE, 4, 0, 0, 0, 39}, 0, 0, TRUE},
        {{FALSE, 4, 0, 0, 0, 39}, 0, 0, FALSE},
        {{TRUE, 4, 3, 0, 0, 39}, 0, 0, TRUE},
        {{TRUE, 4, 4, 0, 0, 39}, 0, 0, FALSE},
        {{TRUE, 4, 1, 1, 1, 39}, 0, 0, FALSE},
        {{TRUE, 8, 1, 1, 1, 39}, 0, 0, TRUE},
        {{TRUE, 8, 2, 2, 2, 39}, 0, 0, FALSE},
        {{TRUE, 3, 1, 0, 1, 39}, 0, 0, FALSE},
        {{TRUE, 3, 0, 0, 1, 39}, 0, 0, TRUE},
        {{TRUE, 0, 0, 0, 0, 39}, 0, 0, FALSE},
        {{TRUE, 4, 0, 0, 34, 39}, 0, 0, TRUE},
        {{TRUE, 4, 0, 0, 35, 39}, 0, 0, FALSE},
        {{TRUE, 4, 0, 0, 1, 1}, 0, 0, FALSE},
        {{TRUE, 4, 0, 0, 0, 39}, 4999, 0, TRUE},
        {{TRUE, 4, 0, 0, 0, 39}, 5000, 0, FALSE},
        {{TRUE, 4, 0, 0, 0, 39}, 1099, 100, FALSE},
        {{TRUE, 4, 0, 0, 0, 39}, 1100, 100, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ConnectionWarmup w = {0};
        ConnectionWarmupView view = {TRUE, 1, 1};
        connection_warmup_observe(&w, kStart, &view, 0);
        if (cases[i].failed_ms != 0) {
            connection_warmup_failed(&w, kStart + cases[i].failed_ms * kMs);
        }
        CU_ASSERT_EQUAL(connection_warmup_may_open(
                            &w, kStart + cases[i].at_ms * kMs, &cases[i].load),
                        cases[i].may);
    }
}

/* Guards against connections that go on being opened ahead, and against none
 * after a change of the primary or a restart of the server. */
static void
a_change_begins_a_period(void)
{
    static const struct {
        ConnectionWarmupView before, after;
        gboolean may;
    } cases[] = {
        {{TRUE, 1, 1}, {TRUE, 1, 1}, FALSE},
        {{FALSE, 1, 1}, {TRUE, 1, 1}, TRUE},
        {{TRUE, 1, 1}, {TRUE, 2, 1}, TRUE},
        {{TRUE, 1, 1}, {TRUE, 1, 2}, TRUE},
        {{TRUE, 1, 1}, {FALSE, 2, 1}, FALSE},
    };
    static const ConnectionWarmupLoad load = {TRUE, 4, 0, 0, 0, 39};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ConnectionWarmup w = {0};
        connection_warmup_observe(&w, kStart, &cases[i].before, kSecond);
        connection_warmup_observe(&w, kStart + 9 * kSecond, &cases[i].after,
                                  10 * kSecond);
        CU_ASSERT_EQUAL(
            connection_warmup_may_open(&w, kStart + 9 * kSecond, &load),
            cases[i].may);
    }
}

/* Guards against connections for teams that send no work to this server. */
static void
teams_that_are_expected_get_connections(void)
{
    static const struct {
        uint64_t instance_age_us;
        ConnectionWarmupTeam teams[2];
        int chosen;
    } cases[] = {
        /* admitted, used ago, prefers, affinity, connections */
        {0, {{1, UINT64_MAX, 1, 5, 0}, {1, UINT64_MAX, 1, 9, 0}}, 1},
        {0, {{1, UINT64_MAX, 1, 5, 0}, {0, UINT64_MAX, 1, 9, 0}}, 0},
        {0, {{1, UINT64_MAX, 1, 5, 0}, {1, UINT64_MAX, 0, 9, 0}}, 0},
        {0, {{1, UINT64_MAX, 1, 5, 0}, {1, UINT64_MAX, 1, 9, 1}}, 0},
        {0, {{1, 0, 1, 5, 1}, {1, 0, 1, 9, 2}}, kConnectionWarmupNone},
        {10 * kSecond, {{1, 0, 1, 5, 0}, {1, UINT64_MAX, 1, 9, 0}}, 0},
        {10 * kSecond, {{1, 0, 1, 5, 0}, {1, 60 * kSecond, 1, 9, 0}}, 0},
        {10 * kSecond, {{1, 0, 1, 5, 0}, {1, 59 * kSecond, 1, 9, 0}}, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ConnectionWarmup w = {0};
        ConnectionWarmupView view = {TRUE, 1, 1};
        connection_warmup_observe(&w, kStart, &view, cases[i].instance_age_us);
        CU_ASSERT_EQUAL(connection_warmup_choose(&w, cases[i].teams, 2),
                        cases[i].chosen);
    }
}

/* An owner whose server gets work from time zero on. */
typedef struct {
    uint32_t connections[kTeams];
    gboolean ahead[kTeams]; /* opened ahead and not used */
    uint64_t ready_us[kTeams];
    uint64_t free_us[4]; /* slots */
    uint32_t open, opened_ahead, asked, on_demand;
} Start;

static uint32_t
busy_slots(const Start *s, uint64_t now_us)
{
    uint32_t busy = 0;

    for (uint32_t i = 0; i < G_N_ELEMENTS(s->free_us); i++) {
        busy += s->free_us[i] > now_us;
    }
    return busy;
}

/* Takes the slot that is free first; returns when its time begins. */
static uint64_t
take_slot(Start *s, uint64_t now_us, uint64_t for_us)
{
    uint32_t first = 0;

    for (uint32_t i = 1; i < G_N_ELEMENTS(s->free_us); i++) {
        first = s->free_us[i] < s->free_us[first] ? i : first;
    }
    uint64_t begin_us = MAX(now_us, s->free_us[first]);
    s->free_us[first] = begin_us + for_us;
    return begin_us;
}

static void
open_connection(Start *s, uint64_t now_us, uint32_t team)
{
    s->connections[team]++;
    s->open++;
    s->ready_us[team] = take_slot(s, now_us, 12 * kMs) + 12 * kMs;
}

static void
open_ahead(Start *s, const ConnectionWarmup *w, uint64_t now_us,
           uint32_t limit)
{
    ConnectionWarmupTeam teams[kTeams];
    ConnectionWarmupLoad load = {TRUE, 4,       busy_slots(s, now_us),
                                 0,    s->open, limit};

    for (uint32_t i = 0; i < kTeams; i++) {
        teams[i] = (ConnectionWarmupTeam){TRUE, UINT64_MAX, TRUE, i,
                                          s->connections[i]};
        load.ahead += s->ahead[i] && s->ready_us[i] > now_us;
    }
    int team = connection_warmup_may_open(w, now_us, &load)
                   ? connection_warmup_choose(w, teams, kTeams)
                   : kConnectionWarmupNone;
    if (team != kConnectionWarmupNone) {
        open_connection(s, now_us, (uint32_t)team);
        s->ahead[team] = TRUE;
        s->opened_ahead++;
    }
}

/* Guards against connections that are opened and never used: with the usual
 * load, a tenth at most within 5 s after the start. */
static void
connections_opened_ahead_are_used(void)
{
    static const struct {
        uint32_t limit;
        uint32_t idle_ms; /* until the load begins */
        uint32_t per_s;   /* requests of 9 ms; 444 fill the slots */
    } cases[] = {{78, 0, 311},
                 {39, 0, 311},
                 {78, 1000, 311},
                 {39, 1000, 311},
                 {78, 0, 100}};

    for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
        Start s = {0};
        ConnectionWarmup w = {0};
        ConnectionWarmupView view = {TRUE, 1, 1};
        GRand *rand = g_rand_new_with_seed((guint32)k + 1);
        uint32_t unused = 0;

        connection_warmup_observe(&w, kStart, &view, 0);
        for (uint64_t ms = 0; ms < 5000; ms++) {
            uint64_t now_us = kStart + ms * kMs;
            if (ms >= cases[k].idle_ms &&
                g_rand_int_range(rand, 0, 1000) < (int)cases[k].per_s) {
                uint32_t team = (uint32_t)g_rand_int_range(rand, 0, kTeams);
                s.asked++;
                s.ahead[team] = FALSE;
                if (s.connections[team] == 0 && s.open < cases[k].limit) {
                    open_connection(&s, now_us, team);
                    s.on_demand++;
                }
                take_slot(&s, now_us, 9 * kMs);
            }
            if (ms % 20 == 0) {
                open_ahead(&s, &w, now_us, cases[k].limit);
            }
        }
        for (uint32_t i = 0; i < kTeams; i++) {
            unused += s.ahead[i];
        }
        printf("\n    limit %u, load after %u ms: %u opened ahead, %u of them "
               "never used, %u on demand",
               cases[k].limit, cases[k].idle_ms, s.opened_ahead, unused,
               s.on_demand);
        CU_ASSERT(s.opened_ahead > 0);
        CU_ASSERT(unused * 10 <= s.opened_ahead);
        CU_ASSERT(s.open <= cases[k].limit);
        g_rand_free(rand);
    }
}

/* Returns a document with teams of which the first has no key and the second
 * a rate of zero. */
static Document *
teams_document(uint32_t teams, uint32_t priority, const char *region)
{
    Document *d = document_new(1);
    DocumentDatabase *database = g_new0(DocumentDatabase, 1);
    DocumentRoute *route = g_new0(DocumentRoute, 1);

    database->name = g_strdup("db");
    database->max_connections = 56;
    database->cold_start_us = 60 * kSecond;
    database->cold_milli_per_s = 20000;
    d->limits_cold_servers = TRUE;
    g_hash_table_insert(d->databases, database->name, database);
    route->host = g_strdup("host");
    route->database = g_strdup("db");
    route->priority = priority;
    g_hash_table_insert(d->routes, route->host, route);
    for (uint32_t i = 0; i < teams; i++) {
        DocumentTeam *t = g_new0(DocumentTeam, 1);
        t->name = g_strdup_printf("team%u", i);
        t->rate_milli_per_s = i == 1 ? 0 : 1000;
        if (region != NULL) {
            t->regions = g_new0(char *, 2);
            t->regions[0] = g_strdup(region);
        }
        g_hash_table_insert(d->teams, t->name, t);
        if (i != 0) {
            g_hash_table_insert(d->keys, g_strdup_printf("key%u", i), t);
        }
    }
    return d;
}

/* Guards against an owner that opens connections only on demand, or ahead
 * where it must not. */
static void
the_owner_opens_connections(void)
{
    static const char *const own[] = {"e0 d0", NULL};
    static const char *const other[] = {"e0 d1", "e1 d0", NULL};
    static const struct {
        const char *const *entries;
        uint32_t teams, priority;
        uint64_t cold_ms;
        const char *region; /* in which the teams' statements have to stay */
        guint opened;
    } cases[] = {
        {own, 12, 1, 0, NULL, 10},
        /* The owner's 39 without a tenth: */
        {own, 85, 1, 0, NULL, 35},
        {own, 12, 0, 0, NULL, 0},
        {other, 12, 1, 0, NULL, 0},
        {own, 12, 1, 50000, NULL, 0},
        {own, 12, 1, 0, "elsewhere", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const GatewayConfig config = {
            .failure_domain = cases[i].entries == own ? "d0" : "d1"};
        Document *d =
            teams_document(cases[i].teams, cases[i].priority, cases[i].region);
        LoneGateway *l = lone_gateway_new(&config, cases[i].entries, d);
        l->grants = TRUE;
        lone_gateway_run(l, 100);
        lone_gateway_server(l, "s0", "d0", 1, cases[i].cold_ms);
        lone_gateway_run(l, 4000);
        CU_ASSERT_EQUAL(l->links->len, cases[i].opened);
        lone_gateway_free(l);
    }
}

void
add_connection_warmup_suite(void)
{
    CU_pSuite s = CU_add_suite("connection warm-up", NULL, NULL);
    CU_add_test(s, "a quarter of the slots is used",
                a_quarter_of_the_slots_is_used);
    CU_add_test(s, "a change begins a period", a_change_begins_a_period);
    CU_add_test(s, "teams that are expected get connections",
                teams_that_are_expected_get_connections);
    CU_add_test(s, "connections opened ahead are used",
                connections_opened_ahead_are_used);
    CU_add_test(s, "the owner opens connections", the_owner_opens_connections);
}
