#include <string.h>

#include "gateway/gateway.h"
#include "policy/concurrency.h"
#include "policy/connection_share.h"
#include "policy/freshness.h"
#include "policy/placement.h"
#include "suite.h"

/* The functions behind the decisions of entry instances, each tested without a
 * gateway. */

enum { kUsPerMs = 1000 };

static void
the_maximum_age_sets_the_required_position(void)
{
    static const struct {
        uint64_t now_ms;
        uint64_t max_age_ms;
        Position own; /* of the session's last commit */
        gboolean known;
        Position required;
    } cases[] = {
        /* Samples: 3.10 at 1000 ms, 3.20 at 2000 ms, 3.30 at 3000 ms. */
        {3100, 1500, {0, 0}, TRUE, {3, 20}},
        {3100, 2500, {0, 0}, TRUE, {3, 10}},
        {3100, 500, {0, 0}, TRUE, {3, 30}},
        {3100, 50, {0, 0}, FALSE, {0, 0}},
        {6000, 1500, {0, 0}, FALSE, {0, 0}},
        {3100, 2500, {3, 25}, TRUE, {3, 25}},
        /* A position of a former term counts as the oldest known position of
         * the current term. */
        {3100, 2500, {2, 99}, TRUE, {3, 10}},
    };
    Freshness f;

    freshness_clear(&f);
    freshness_add(&f, 1000 * kUsPerMs, (Position){3, 10});
    freshness_add(&f, 2000 * kUsPerMs, (Position){3, 20});
    freshness_add(&f, 3000 * kUsPerMs, (Position){3, 30});
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Position required = {0};
        gboolean known = freshness_required(&f, cases[i].now_ms * kUsPerMs,
                                            cases[i].max_age_ms * kUsPerMs,
                                            cases[i].own, &required);
        CU_ASSERT_EQUAL(known, cases[i].known);
        CU_ASSERT_EQUAL(position_compare(required, cases[i].required), 0);
    }
}

static void
a_new_term_drops_old_samples(void)
{
    Freshness f;
    Position required = {0};

    freshness_clear(&f);
    freshness_add(&f, 1000 * kUsPerMs, (Position){3, 50});
    freshness_add(&f, 1100 * kUsPerMs, (Position){4, 40});
    freshness_add(&f, 1200 * kUsPerMs, (Position){3, 60});
    CU_ASSERT(freshness_required(&f, 1300 * kUsPerMs, 1000 * kUsPerMs,
                                 (Position){3, 60}, &required));
    CU_ASSERT_EQUAL(position_compare(required, (Position){4, 40}), 0);
}

/* Compares the ring buffer, which drops samples that are close together, with
 * a list of all samples of the term. */
static void
the_ring_buffer_agrees_with_all_samples(void)
{
    GRand *rand = g_rand_new_with_seed(5);
    uint64_t sent_us[400];
    uint64_t first = 1; /* number of the first position */
    Freshness f;

    freshness_clear(&f);
    for (uint32_t i = 0; i < 400; i++) {
        sent_us[i] = (i == 0 ? 0 : sent_us[i - 1]) +
                     (uint64_t)g_rand_int_range(rand, 1, 90) * kUsPerMs;
        freshness_add(&f, sent_us[i], (Position){1, first + i});
        Position required = {0};
        uint64_t now_us = sent_us[i] + 1000;
        if (!freshness_required(&f, now_us, 1500 * kUsPerMs, (Position){0},
                                &required)) {
            continue;
        }
        /* The required position covers every commit that was acknowledged
         * longer ago than the maximum age.  The first sample sent after that
         * point in time covers them all. */
        uint32_t k = 0;
        while (sent_us[k] + 1500 * kUsPerMs < now_us) {
            k++;
        }
        CU_ASSERT(required.number >= first + k);
        CU_ASSERT(required.number <= first + i);
    }
    g_rand_free(rand);
}

static void
reads_go_to_the_candidate_of_lowest_cost(void)
{
    struct {
        PlacementCandidate candidates[3];
        int chosen;
    } cases[] = {
        /* No candidate is usable. */
        {{{.service_us = 1}, {.service_us = 1}, {.service_us = 1}}, -1},
        /* An idle connection of the team saves a handshake. */
        {{{.usable = TRUE, .service_us = 15000, .may_connect = TRUE},
          {.usable = TRUE, .service_us = 15000, .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* The primary gets the reads of a replica that is much slower. */
        {{{.usable = TRUE, .service_us = 90000, .matching_connection = TRUE},
          {.usable = TRUE,
           .primary = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* A replica is preferred to a primary that is as fast and closer. */
        {{{.usable = TRUE,
           .primary = TRUE,
           .same_domain = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE},
          {.usable = TRUE, .service_us = 15000, .matching_connection = TRUE},
          {.service_us = 1}},
         1},
        /* A slower primary is preferred to a replica that lags far behind. */
        {{{.usable = TRUE,
           .service_us = 15000,
           .matching_connection = TRUE,
           .expected_lag_us = 200000},
          {.usable = TRUE,
           .primary = TRUE,
           .service_us = 25000,
           .open_statements = 3,
           .slots = 3,
           .matching_connection = TRUE},
          {.service_us = 1}},
         1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (size_t k = 0; k < 3; k++) {
            cases[i].candidates[k].link_us = 3000;
        }
        CU_ASSERT_EQUAL(placement_choose(cases[i].candidates, 3),
                        cases[i].chosen);
    }
}

/* Simulates nine instances that overload a server with three slots, a queue of
 * 24 and a service time of 18 ms, so that a statement completes every 6 ms.
 * Without the limit, each instance keeps as
 * many statements open as it has connections.  Returns how many statements
 * were rejected because the queue was full; sets served to the number of
 * completed ones. */
static uint32_t
rejections(gboolean limited, uint32_t *served)
{
    enum { kInstances = 9, kConnections = 5, kSlots = 3, kQueue = 24 };
    Concurrency limits[kInstances];
    uint32_t open[kInstances] = {0};
    uint32_t queue[kQueue + kSlots] = {0};
    uint64_t entered_us[kQueue + kSlots] = {0};
    uint32_t length = 0;
    uint32_t rejected = 0;

    *served = 0;
    for (uint32_t i = 0; i < kInstances; i++) {
        concurrency_init(&limits[i]);
    }
    for (uint64_t now_us = 0; now_us < 10000000; now_us += 6000) {
        for (uint32_t i = 0; i < kInstances; i++) {
            uint32_t max_open = limited ? MIN(concurrency_limit(&limits[i]),
                                              (uint32_t)kConnections)
                                        : kConnections;
            while (open[i] < max_open) {
                if (length == kQueue + kSlots) {
                    rejected++;
                    concurrency_rejected(&limits[i], now_us);
                    break;
                }
                entered_us[length] = now_us;
                queue[length++] = i;
                open[i]++;
            }
        }
        if (length > 0) {
            uint32_t instance = queue[0];
            uint64_t elapsed_us = now_us - entered_us[0];
            length--;
            memmove(queue, queue + 1, length * sizeof(queue[0]));
            memmove(entered_us, entered_us + 1,
                    length * sizeof(entered_us[0]));
            open[instance]--;
            concurrency_answered(&limits[instance], now_us, elapsed_us,
                                 open[instance], kConnections);
            (*served)++;
        }
    }
    return rejected;
}

static void
the_concurrency_limit_prevents_rejections(void)
{
    uint32_t served_unlimited;
    uint32_t served_limited;
    uint32_t unlimited = rejections(FALSE, &served_unlimited);
    uint32_t limited = rejections(TRUE, &served_limited);

    CU_ASSERT(limited * 10 < unlimited);
    CU_ASSERT(served_limited * 100 >= served_unlimited * 95);
}

static void
connections_are_shared_evenly(void)
{
    static const struct {
        uint32_t limit;
        uint32_t instances;
        uint32_t max_open;
        gboolean keeps_idle; /* without a time limit */
    } cases[] = {
        {23, 8, 2, TRUE},   {46, 9, 4, TRUE},   {46, 12, 3, TRUE},
        {240, 71, 2, TRUE}, {52, 66, 1, FALSE}, {25, 0, 20, TRUE},
        {1, 1, 1, TRUE},    {1, 8, 1, FALSE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ConnectionShare s =
            connection_share(cases[i].limit, cases[i].instances);
        CU_ASSERT_EQUAL(s.max_open, cases[i].max_open);
        CU_ASSERT_EQUAL(s.max_idle_us == 0, cases[i].keeps_idle);
        /* The shares add up to at most the limit unless it is below one
         * connection each. */
        CU_ASSERT(cases[i].limit < cases[i].instances ||
                  s.max_open * cases[i].instances <= cases[i].limit);
    }
}

static void
ignore_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

/* Records whether the last report says that the primary was released. */
static void
record_report(void *ctx, const char *to, const Sw__Frame *frame)
{
    gboolean *released = ctx;
    (void)to;

    if (frame->body_case == SW__FRAME__BODY_ENTRY_REPORT &&
        frame->entry_report->n_evidence > 0) {
        *released = frame->entry_report->evidence[0]->released_epoch != 0;
    }
}

/* Delivers a grant for one database's primary. */
static void
deliver_grant(Gateway *g, uint64_t now_us, const char *from, uint64_t term,
              uint64_t revision, gboolean closing)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;
    Sw__PrimaryGrant primary = SW__PRIMARY_GRANT__INIT;
    Sw__PrimaryGrant *list[1] = {&primary};

    primary.database = "orders";
    primary.primary = "p0";
    primary.epoch = 1;
    primary.closing = closing;
    m.term = term;
    m.revision = revision;
    m.n_primaries = 1;
    m.primaries = list;
    m.primaries_hash = closing ? 2 : 1;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    gateway_frame(g, now_us, from, &frame);
}

/* A grant withdraws the right to a primary.  Grants that were sent before it,
 * by a former leader or by the same one, arrive later and must not restore
 * the right. */
static void
an_older_grant_restores_no_right(void)
{
    static const struct {
        const char *from;
        uint64_t term;
        uint64_t revision;
        gboolean restored;
    } cases[] = {
        {"c1", 2, 9, FALSE}, /* a former leader, thawed */
        {"c0", 3, 4, FALSE}, /* the same leader, over an earlier link */
        {"c0", 3, 5, FALSE}, /* the same grant again */
        {"c0", 3, 6, TRUE},  {"c1", 4, 1, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        gboolean released = FALSE;
        GatewayPort port = {.ctx = &released,
                            .peer_send = record_report,
                            .add_peer = ignore_peer};
        GatewayConfig config = {
            .id = "e0", .failure_domain = "0", .link_bytes_per_s = 1};
        Gateway *g = gateway_new(&config, &port);
        gateway_control_add(g, 0, "c0");
        deliver_grant(g, 1000000, "c0", 3, 1, FALSE);
        gateway_tick(g, 1010000);
        CU_ASSERT_FALSE(released);
        deliver_grant(g, 1500000, "c0", 3, 5, TRUE);
        gateway_tick(g, 1510000);
        CU_ASSERT(released);
        deliver_grant(g, 2000000, cases[i].from, cases[i].term,
                      cases[i].revision, FALSE);
        gateway_tick(g, 2500000);
        CU_ASSERT_EQUAL(released, !cases[i].restored);
        gateway_free(g);
    }
}

/* Delivers a lease that answers the first report, for the list of primaries
 * with the given hash; the list itself was delivered before. */
static void
deliver_lease(Gateway *g, uint64_t now_us, const char *from,
              uint64_t primaries_hash)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryGrant m = SW__ENTRY_GRANT__INIT;

    m.term = 3;
    m.revision = 2;
    m.sequence = 1;
    m.lease_us = 1000000;
    m.primaries_hash = primaries_hash;
    frame.body_case = SW__FRAME__BODY_ENTRY_GRANT;
    frame.entry_grant = &m;
    gateway_frame(g, now_us, from, &frame);
}

/* A grant that omits the primaries renews nothing at an instance that has
 * another list: it may not know of a withdrawn right. */
static void
a_grant_for_another_list_is_no_lease(void)
{
    static const struct {
        uint64_t hash;
        gboolean leased;
    } cases[] = {{1, TRUE}, {2, FALSE}, {0, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        gboolean released = FALSE;
        GatewayPort port = {.ctx = &released,
                            .peer_send = record_report,
                            .add_peer = ignore_peer};
        GatewayConfig config = {
            .id = "e0", .failure_domain = "0", .link_bytes_per_s = 1};
        GString *text = g_string_new(NULL);
        Gateway *g = gateway_new(&config, &port);

        gateway_control_add(g, 0, "c0");
        deliver_grant(g, 1000000, "c0", 3, 1, FALSE);
        gateway_tick(g, 1010000);
        deliver_lease(g, 1020000, "c0", cases[i].hash);
        gateway_tick(g, 1030000);
        gateway_metrics_write(g, text);
        CU_ASSERT_EQUAL(strstr(text->str, "_leased 1\n") != NULL,
                        cases[i].leased);
        g_string_free(text, TRUE);
        gateway_free(g);
    }
}

/* A stop without any session waits until the load balancer has seen two
 * probes that were not answered as ready, or for its time limit: until then it
 * sends callers here. */
static void
a_stop_waits_for_the_balancer(void)
{
    enum { kStopUs = 1000000, kGraceUs = 6000000 };
    static const struct {
        uint32_t probes;
        uint64_t after_us;
        gboolean drained;
    } cases[] = {
        {0, 20000, FALSE},   {1, 1000000, FALSE}, {2, 1200000, TRUE},
        {0, 2300000, FALSE}, {0, 2500000, TRUE},
    };
    GatewayPort port = {.add_peer = ignore_peer};
    GatewayConfig config = {
        .id = "e0", .failure_domain = "0", .link_bytes_per_s = 1};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Gateway *g = gateway_new(&config, &port);
        gateway_drain(g, kStopUs, kGraceUs);
        for (uint32_t k = 0; k < cases[i].probes; k++) {
            CU_ASSERT_FALSE(gateway_probe(g));
        }
        CU_ASSERT_EQUAL(gateway_drained(g, kStopUs + cases[i].after_us),
                        cases[i].drained);
        gateway_free(g);
    }
}

/* Decodes a document, whose text is its version, with one open route. */
static Document *
decode_version(const uint8_t *text, size_t bytes)
{
    char *copy = g_strndup((const char *)text, bytes);
    Document *d = document_new(g_ascii_strtoull(copy, NULL, 10));
    DocumentRoute *r = g_new0(DocumentRoute, 1);

    r->host = g_strdup("host");
    r->database = g_strdup("orders");
    r->is_public = TRUE;
    g_hash_table_insert(d->routes, r->host, r);
    g_free(copy);
    return d;
}

/* The document that keep_decoded returned last, with a reference. */
static Document *last_decoded;

/* Decodes a document and keeps a reference to it. */
static Document *
keep_decoded(const uint8_t *text, size_t bytes)
{
    last_decoded = decode_version(text, bytes);
    return document_ref(last_decoded);
}

/* Delivers a document whose text is its version. */
static void
deliver_document(Gateway *g, uint64_t now_us, uint64_t version)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__DocumentUpdate m = SW__DOCUMENT_UPDATE__INIT;
    char text[24];

    m.version = version;
    m.text.len = (size_t)g_snprintf(text, sizeof(text), "%lu", version);
    m.text.data = (uint8_t *)text;
    frame.body_case = SW__FRAME__BODY_DOCUMENT_UPDATE;
    frame.document_update = &m;
    gateway_frame(g, now_us, "c0", &frame);
}

static void
ignore_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    (void)ctx;
    (void)caller;
    (void)a;
}

static void
ignore_report(void *ctx, const char *to, const Sw__Frame *frame)
{
    (void)ctx;
    (void)to;
    (void)frame;
}

/* Decodes a document, whose text is its version.  "key" belongs to the team
 * "crew" in version 1, to nobody in version 2 and to "office" in others. */
static Document *
decode_key_holder(const uint8_t *text, size_t bytes)
{
    static const char *const names[] = {"crew", "office"};
    Document *d = decode_version(text, bytes);
    DocumentRoute *closed = g_new0(DocumentRoute, 1);

    closed->host = g_strdup("closed");
    closed->database = g_strdup("orders");
    g_hash_table_insert(d->routes, closed->host, closed);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        DocumentTeam *t = g_new0(DocumentTeam, 1);
        t->name = g_strdup(names[i]);
        t->rate_milli_per_s = 1000;
        t->burst_milli = 1000;
        g_hash_table_insert(d->teams, t->name, t);
        if (d->version != 2 && i == (d->version == 1 ? 0 : 1)) {
            g_hash_table_insert(d->keys, g_strdup("key"), t);
        }
    }
    return d;
}

/* Keeps a copy of the last answer, without its texts. */
static void
keep_answer(void *ctx, void *caller, const CallerAnswer *a)
{
    (void)caller;
    *(CallerAnswer *)ctx = (CallerAnswer){.code = a->code, .state = a->state};
}

/* Guards against work that goes on for a team whose key another team, or
 * nobody, holds since: statements that wait for a token of the team's rate,
 * and transactions. */
static void
work_ends_when_its_key_moves(void)
{
    static const struct {
        const char *name;
        const char *host;
        uint64_t from;       /* version of the document */
        uint64_t to;         /* that follows it */
        StatementKind first; /* waits, or begins a transaction on "host" */
        gboolean next;       /* a READ follows in the new version */
        AnswerCode code;
        SessionState state;
    } cases[] = {
        {"waiting read, same team", "closed", 1, 1, kStatementRead, FALSE,
         kCodeOther, kSessionIdle},
        {"waiting read, key moved", "closed", 1, 3, kStatementRead, FALSE,
         kCodeBusy, kSessionIdle},
        {"waiting read, key revoked", "closed", 1, 2, kStatementRead, FALSE,
         kCodeNoAuth, kSessionIdle},
        {"waiting BEGIN, key moved", "closed", 1, 3, kStatementBegin, FALSE,
         kCodeBusy, kSessionIdle},
        {"waiting BEGIN, key revoked", "closed", 1, 2, kStatementBegin, FALSE,
         kCodeNoAuth, kSessionIdle},
        {"open route, key issued in a transaction", "host", 2, 3,
         kStatementBegin, TRUE, kCodeAborted, kSessionFailed},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CallerAnswer answer = {.code = kCodeOther};
        GatewayPort port = {.ctx = &answer,
                            .add_peer = ignore_peer,
                            .peer_send = ignore_report,
                            .caller_answer = keep_answer};
        GatewayConfig config = {.id = "e0",
                                .failure_domain = "0",
                                .link_bytes_per_s = 1,
                                .decode = decode_key_holder};
        Gateway *g = gateway_new(&config, &port);
        Statement first = {.kind = cases[i].first, .id = "1", .text = "READ"};
        Statement next = {.kind = kStatementRead, .id = "2", .text = "READ"};
        AnswerCode code;

        deliver_document(g, 1000000, cases[i].from);
        /* The leader that is asked for tokens does not answer. */
        gateway_control_add(g, 1000000, "c0");
        deliver_grant(g, 1000000, "c0", 3, 1, FALSE);
        gateway_tick(g, 1010000);
        deliver_lease(g, 1020000, "c0", 1);
        Session *s = session_open(g, 1030000, g, cases[i].host, "key", &code);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        session_statement(s, 1030000, &first);
        deliver_document(g, 1040000, cases[i].to);
        if (cases[i].next) {
            session_statement(s, 1050000, &next);
        }
        if (answer.code != cases[i].code || answer.state != cases[i].state) {
            g_print("\n%s: code %d, state %d\n", cases[i].name, answer.code,
                    answer.state);
        }
        CU_ASSERT_EQUAL(answer.code, cases[i].code);
        CU_ASSERT_EQUAL(answer.state, cases[i].state);
        session_close(s, 1060000);
        gateway_free(g);
    }
}

/* Decodes a document whose route leaves time to wait and whose team has 24
 * operations a second. */
static Document *
decode_patient(const uint8_t *text, size_t bytes)
{
    Document *d = decode_key_holder(text, bytes);
    DocumentRoute *r = g_hash_table_lookup(d->routes, "closed");
    DocumentTeam *t = g_hash_table_lookup(d->teams, "crew");

    r->timeout_us = 2400 * kUsPerMs;
    r->target_latency_us = 800 * kUsPerMs;
    t->rate_milli_per_s = 24000;
    return d;
}

/* Three callers send a BEGIN while the leader does not answer.  The local
 * bucket has one token and 10.8 more each second.  Guards against the
 * rejection of the second caller although a token comes in time, and against a
 * wait of the third one, for which none does. */
static void
callers_wait_for_the_next_token(void)
{
    enum { kCallers = 3 };
    static const AnswerCode codes[kCallers] = {kCodeNone, kCodeNone,
                                               kCodeBusy};
    CallerAnswer answers = {.code = kCodeOther};
    GatewayPort port = {.ctx = &answers,
                        .add_peer = ignore_peer,
                        .peer_send = ignore_report,
                        .caller_answer = keep_answer};
    GatewayConfig config = {.id = "e0",
                            .failure_domain = "0",
                            .link_bytes_per_s = 1,
                            .decode = decode_patient};
    Statement begin = {.kind = kStatementBegin, .id = "1", .text = "BEGIN"};

    for (uint32_t callers = 1; callers <= kCallers; callers++) {
        Gateway *g = gateway_new(&config, &port);
        Session *s[kCallers];
        AnswerCode code;
        deliver_document(g, 1000000, 1);
        gateway_control_add(g, 1000000, "c0");
        deliver_grant(g, 1000000, "c0", 3, 1, FALSE);
        gateway_tick(g, 1010000);
        deliver_lease(g, 1020000, "c0", 1);
        for (uint32_t i = 0; i < callers; i++) {
            s[i] = session_open(g, 1030000, g, "closed", "key", &code);
            session_statement(s[i], 1030000, &begin);
        }
        answers.code = kCodeOther;
        /* The answer that comes last is that of the caller of interest: a
         * rejection at once, or a token after about 100 ms. */
        uint64_t until_us = 1030000 + (callers == 3 ? 120000 : 240000);
        for (uint64_t at_us = 1050000; at_us <= until_us; at_us += 20000) {
            gateway_tick(g, at_us);
        }
        CU_ASSERT_EQUAL(answers.code, codes[callers - 1]);
        for (uint32_t i = 0; i < callers; i++) {
            session_close(s[i], until_us);
        }
        gateway_free(g);
    }
}

/* Most sessions are idle.  They must not keep the configuration of their last
 * statement in memory: with a thousand routes it takes half a megabyte, and
 * each idle session could keep another version. */
static void
idle_sessions_keep_no_former_configuration(void)
{
    GatewayPort port = {.add_peer = ignore_peer,
                        .peer_send = ignore_report,
                        .caller_answer = ignore_answer};
    GatewayConfig config = {.id = "e0",
                            .failure_domain = "0",
                            .link_bytes_per_s = 1,
                            .decode = keep_decoded};
    Gateway *g = gateway_new(&config, &port);
    Statement begin = {.kind = kStatementBegin, .id = "1", .text = "BEGIN"};
    Statement rollback = {
        .kind = kStatementRollback, .id = "2", .text = "ROLLBACK"};
    AnswerCode code;
    uint64_t now_us = 1000000;

    deliver_document(g, now_us, 1);
    Document *first = last_decoded;
    Session *idle = session_open(g, now_us, g, "host", "", &code);
    Session *busy = session_open(g, now_us, g, "host", "", &code);
    CU_ASSERT_PTR_NOT_NULL_FATAL(idle);
    CU_ASSERT_PTR_NOT_NULL_FATAL(busy);
    session_statement(busy, now_us, &begin);
    deliver_document(g, now_us, 2);
    Document *second = last_decoded;
    gateway_tick(g, now_us + 20000);
    /* The open transaction keeps the version that it began with. */
    CU_ASSERT_EQUAL(first->ref_count, 2);
    session_statement(busy, now_us + 30000, &rollback);
    gateway_tick(g, now_us + 40000);
    CU_ASSERT_EQUAL(first->ref_count, 1);
    session_statement(idle, now_us + 50000, &begin);
    session_statement(idle, now_us + 50000, &rollback);
    deliver_document(g, now_us + 60000, 3);
    gateway_tick(g, now_us + 70000);
    CU_ASSERT_EQUAL(second->ref_count, 1);
    document_unref(last_decoded);
    document_unref(second);
    document_unref(first);
    session_close(idle, now_us + 80000);
    session_close(busy, now_us + 80000);
    gateway_free(g);
}

void
add_gateway_policy_suite(void)
{
    CU_pSuite s = CU_add_suite("gateway policy", NULL, NULL);
    CU_add_test(s, "the maximum age sets the required position",
                the_maximum_age_sets_the_required_position);
    CU_add_test(s, "a new term drops old samples",
                a_new_term_drops_old_samples);
    CU_add_test(s, "the ring buffer agrees with all samples",
                the_ring_buffer_agrees_with_all_samples);
    CU_add_test(s, "reads go to the candidate of lowest cost",
                reads_go_to_the_candidate_of_lowest_cost);
    CU_add_test(s, "connections are shared evenly",
                connections_are_shared_evenly);
    CU_add_test(s, "the concurrency limit prevents rejections",
                the_concurrency_limit_prevents_rejections);
    CU_add_test(s, "an older grant restores no right",
                an_older_grant_restores_no_right);
    CU_add_test(s, "a grant for another list is no lease",
                a_grant_for_another_list_is_no_lease);
    CU_add_test(s, "a stop waits for the balancer",
                a_stop_waits_for_the_balancer);
    CU_add_test(s, "work ends when its key moves",
                work_ends_when_its_key_moves);
    CU_add_test(s, "callers wait for the next token",
                callers_wait_for_the_next_token);
    CU_add_test(s, "idle sessions keep no former configuration",
                idle_sessions_keep_no_former_configuration);
}
