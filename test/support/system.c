#include "system.h"

#include <sodium.h>
#include <string.h>

#include "core/catalog_defs.h"

enum {
    kStepUs = 1000,       /* resolution of the virtual clock */
    kTickUs = 10000,      /* interval between ticks of an entry core */
    kAnnounceUs = 500000, /* interval between announcements of a member */
    kConnectUs = 10000,   /* duration of a connection attempt */
    kGroupStepUs = 2000,  /* interval between replication steps */
};

/* A connection of an entry core to a member. */
typedef struct {
    uint64_t id;
    SystemEntry *entry;
    FakeMember *member; /* NULL: no member has the address */
    FakeTransaction transaction;
} Connection;

typedef enum {
    kEventFrame,     /* a frame arrives at the entry */
    kEventConnected, /* a connection attempt of the entry ends */
    kEventQuery,     /* a query of the entry arrives at the member */
    kEventResult,    /* a result arrives at the entry */
} EventKind;

/* A scheduled event; which fields are set depends on its kind. */
typedef struct {
    uint64_t run_at_us;
    EventKind kind;
    SystemEntry *to;
    uint64_t incarnation; /* of the entry instance, when it was scheduled */
    char *from;           /* sender of the frame */
    uint8_t *packed;
    size_t size;
    uint64_t connection; /* its id */
    char *sql;
    char **parameters;
    size_t parameter_count;
    BackendResult result;
} Event;

static void
event_free(void *data)
{
    Event *e = data;
    g_free(e->from);
    g_free(e->packed);
    g_free(e->sql);
    for (size_t i = 0; i < e->parameter_count; i++) {
        g_free(e->parameters[i]);
    }
    g_free(e->parameters);
    json_decref(e->result.rows);
    g_free(e);
}

/* Orders events by time. */
static int
event_compare(const void *a, const void *b, void *ctx)
{
    const Event *x = a;
    const Event *y = b;
    (void)ctx;
    return x->run_at_us < y->run_at_us   ? -1
           : x->run_at_us > y->run_at_us ? 1
                                         : 0;
}

/* Schedules an event for an entry instance after a delay of at least 1 us.
 * The caller sets the fields that the kind needs. */
static Event *
enqueue_event(System *s, EventKind kind, SystemEntry *to, uint64_t delay_us)
{
    Event *e = g_new0(Event, 1);
    e->kind = kind;
    e->to = to;
    e->incarnation = to->incarnation;
    e->run_at_us = s->control->now_us + MAX(delay_us, 1);
    g_sequence_insert_sorted(s->events, e, event_compare, NULL);
    return e;
}

/* Returns the entry instance with an id, NULL when there is none. */
static SystemEntry *
find_entry(System *s, const char *id)
{
    for (uint32_t i = 0; i < s->entry_count; i++) {
        if (strcmp(s->entries[i].id, id) == 0) {
            return &s->entries[i];
        }
    }
    return NULL;
}

/* Returns the virtual time in microseconds. */
uint64_t
system_now(const System *s)
{
    return s->control->now_us;
}

/* ---- ports of an entry core ---- */

/* Schedules the arrival of a frame at an entry instance. */
static void
enqueue_frame(System *s, const char *from, SystemEntry *to,
              const Sw__Frame *frame)
{
    uint64_t extra_us =
        s->jitter_us == 0 ? 0 : g_rand_int(s->control->rand) % s->jitter_us;
    Event *e = enqueue_event(s, kEventFrame, to, s->delay_us + extra_us);
    e->from = g_strdup(from);
    e->size = sw__frame__get_packed_size(frame);
    e->packed = g_malloc(e->size + 1);
    sw__frame__pack(frame, e->packed);
}

/* Sends a frame to an entry or a control instance.  Returns FALSE when the
 * entry instance is down. */
static gboolean
port_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    SystemEntry *n = ctx;
    System *s = n->system;
    SystemEntry *peer = find_entry(s, to);

    if (n->partitioned) {
        return TRUE; /* a partition drops frames without an error */
    }
    if (peer != NULL) {
        if (peer->core == NULL) {
            return FALSE;
        }
        enqueue_frame(s, n->id, peer, frame);
        return TRUE;
    }
    for (uint32_t i = 0; i < s->control->count; i++) {
        if (strcmp(s->control->nodes[i].id, to) == 0) {
            control_fleet_frame(s->control, i, n->id, frame);
        }
    }
    return TRUE;
}

/* Schedules the arrival of a control instance's frame at an entry instance,
 * unless a simulated fault drops it. */
static void
handle_control_frame(void *ctx, const char *from, const char *to,
                     const Sw__Frame *frame)
{
    System *s = ctx;
    SystemEntry *peer = find_entry(s, to);
    if (peer != NULL && peer->drops_state_updates &&
        frame->body_case == SW__FRAME__BODY_STATE_UPDATE) {
        return;
    }
    if (peer != NULL && !peer->partitioned && !peer->drops_control_frames) {
        enqueue_frame(s, from, peer, frame);
    }
}

/* Stores the response to a caller for system_answer. */
static void
port_respond(void *ctx, uint64_t request_id, const CallerResponse *response)
{
    SystemEntry *n = ctx;
    SystemAnswer *a = g_new0(SystemAnswer, 1);
    uint64_t *key = g_new(uint64_t, 1);

    *key = request_id;
    a->status = response->status;
    a->body = g_strndup(response->body, response->body_bytes);
    a->session_token = g_strdup(response->session_token);
    a->answered_us = n->system->control->now_us;
    g_hash_table_replace(n->system->answers, key, a);
}

static void
port_caller_team(void *ctx, uint64_t request_id, const char *team)
{
    SystemEntry *n = ctx;
    (void)request_id;
    g_strlcpy(n->last_team, team == NULL ? "-" : team, sizeof(n->last_team));
}

static void
port_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

static uint64_t
port_random(void *ctx)
{
    SystemEntry *n = ctx;
    GRand *r = n->system->control->rand;
    return ((uint64_t)g_rand_int(r) << 32) | g_rand_int(r);
}

static void
connection_free(void *data)
{
    Connection *c = data;
    fake_transaction_clear(&c->transaction);
    g_free(c);
}

/* Starts a connection attempt, which ends after kConnectUs. */
static void
port_backend_connect(void *ctx, uint64_t connection, const char *address,
                     const char *database)
{
    SystemEntry *n = ctx;
    System *s = n->system;
    Connection *c = g_new0(Connection, 1);

    (void)database;
    c->id = connection;
    c->entry = n;
    fake_transaction_init(&c->transaction);
    for (uint32_t i = 0; i < s->group_count && c->member == NULL; i++) {
        c->member = fake_group_find(s->groups[i], address);
    }
    g_hash_table_insert(n->connections, &c->id, c);
    enqueue_event(s, kEventConnected, n, kConnectUs)->connection = connection;
}

/* Sends a query; the member runs it after service_us. */
static void
port_backend_query(void *ctx, uint64_t connection, const char *sql,
                   size_t count, const char *const *parameters)
{
    SystemEntry *n = ctx;
    Event *e = enqueue_event(n->system, kEventQuery, n, n->system->service_us);
    e->connection = connection;
    e->sql = g_strdup(sql);
    e->parameter_count = count;
    e->parameters = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        e->parameters[i] = g_strdup(parameters[i]);
    }
}

/* Closes a connection and discards its open transaction.  Also serves to
 * cancel a query, whose result is dropped. */
static void
port_backend_close(void *ctx, uint64_t connection)
{
    SystemEntry *n = ctx;
    g_hash_table_remove(n->connections, &connection);
}

/* ---- life cycle ---- */

static void
answer_free(void *data)
{
    SystemAnswer *a = data;
    g_free(a->body);
    g_free(a->session_token);
    g_free(a);
}

/* Starts an entry instance in a new incarnation. */
void
system_entry_start(System *s, uint32_t entry)
{
    SystemEntry *n = &s->entries[entry];
    EntryPort port = {
        .ctx = n,
        .respond = port_respond,
        .send = port_send,
        .peer_address = port_peer_address,
        .backend_connect = port_backend_connect,
        .backend_query = port_backend_query,
        .backend_cancel = port_backend_close,
        .backend_close = port_backend_close,
        .random = port_random,
        .caller_team = port_caller_team,
    };
    EntryConfig config = {
        .id = n->id,
        .failure_domain = n->domain,
        .peer_address = "127.0.0.1:1",
        .http_address = "127.0.0.1:2",
        .incarnation = ++n->incarnation,
        .controls = s->controls,
        .control_count = s->control->count,
        .platform_key = "platform",
        .read_replicas = TRUE,
    };
    memcpy(config.secret, s->secret, sizeof(config.secret));
    if (s->trace_path != NULL) {
        n->trace =
            trace_open(s->trace_path, &config, s->control->now_us, NULL);
        port = trace_port(n->trace, &port);
        s->trace_path = NULL;
    }
    n->core = entry_core_new(&config, &port, s->control->now_us);
}

/* Crashes an entry instance; its peers notice that their connections to it
 * close.  Does nothing when it is down. */
void
system_entry_crash(System *s, uint32_t entry)
{
    SystemEntry *n = &s->entries[entry];
    if (n->core == NULL) {
        return;
    }
    entry_core_free(n->core);
    n->core = NULL;
    if (n->trace != NULL) {
        trace_close(n->trace);
        n->trace = NULL;
    }
    g_hash_table_remove_all(n->connections);
    for (uint32_t i = 0; i < s->entry_count; i++) {
        if (s->entries[i].core != NULL) {
            if (s->entries[i].trace != NULL) {
                trace_peer_down(s->entries[i].trace, s->control->now_us,
                                n->id);
            }
            entry_core_peer_down(s->entries[i].core, s->control->now_us,
                                 n->id);
        }
    }
}

/* Appends the resources of all databases and their services. */
static void
describe_databases(System *s, GString *out)
{
    for (uint32_t i = 0; i < s->group_count; i++) {
        g_string_append_printf(
            out,
            ",{\"key\":\"database/db%u\",\"spec\":{\"members\":["
            "{\"id\":\"m1\",\"failure_domain\":\"d0\"},"
            "{\"id\":\"m2\",\"failure_domain\":\"d1\"},"
            "{\"id\":\"m3\",\"failure_domain\":\"d2\"}],"
            "\"primary\":\"m1\",\"slots\":3,\"connections\":25}},"
            "{\"key\":\"service/s%u\",\"spec\":{\"template\":\"s\","
            "\"database\":\"db%u\"}}",
            i, i, i);
    }
}

/* Applies the initial configuration: failure domains, templates, databases and
 * services. */
static void
setup_resources(System *s)
{
    GString *text = g_string_new(
        "[{\"key\":\"fleet/main\",\"spec\":{\"failure_domains\":"
        "[\"d0\",\"d1\",\"d2\"]}},"
        "{\"key\":\"template/t\",\"spec\":{\"for\":\"team\"}},"
        "{\"key\":\"template/s\",\"spec\":{\"for\":\"service\",\"statements\":"
        "{\"put\":{\"kind\":\"write\",\"sql\":\"put\",\"args\":[\"v\"]},"
        "\"get\":{\"kind\":\"read\",\"sql\":\"get\",\"args\":[\"v\"]},"
        "\"list\":{\"kind\":\"read\",\"sql\":\"get\",\"args\":[\"v\"],"
        "\"max_staleness_ms\":5000},"
        "\"free\":{\"kind\":\"read\",\"sql\":\"get\",\"args\":[\"v\"],"
        "\"max_staleness_ms\":5000,\"open\":true}}}}");
    describe_databases(s, text);
    g_string_append_c(text, ']');
    system_apply(s, text->str);
    g_string_free(text, TRUE);
}

/* Creates a system with three control instances, entry instances in three
 * failure domains in turn, and groups db0, db1, ... with services s0, s1,
 * ...  Runs it for 7 s, after which it serves requests.  All random decisions
 * derive from the seed. */
System *
system_new(uint32_t entries, uint32_t groups, uint32_t seed)
{
    System *s = g_new0(System, 1);

    s->control = control_fleet_new(3, seed);
    s->control->handle_external_frame = handle_control_frame;
    s->control->external_ctx = s;
    s->entry_count = entries;
    s->group_count = groups;
    s->delay_us = 500;
    s->service_us = 300;
    memset(s->secret, 5, sizeof(s->secret));
    s->events = g_sequence_new(event_free);
    s->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       answer_free);
    for (uint32_t i = 0; i < s->control->count; i++) {
        static const char *const domains[] = {"d0", "d1", "d2"};
        s->controls[i] =
            (EntryControl){s->control->nodes[i].id, domains[i % 3]};
        control_fleet_start(s->control, i, TRUE);
    }
    for (uint32_t i = 0; i < groups; i++) {
        s->groups[i] = fake_group_new(i);
    }
    for (uint32_t i = 0; i < entries; i++) {
        SystemEntry *n = &s->entries[i];
        n->system = s;
        n->index = i;
        n->id = g_strdup_printf("entry-%u", i);
        n->domain = g_strdup_printf("d%u", i % 3);
        n->connections = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, connection_free);
        system_entry_start(s, i);
    }
    system_run(s, 1000000);
    setup_resources(s);
    system_run(s, 6000000);
    return s;
}

/* Frees the system and all its parts. */
void
system_free(System *s)
{
    for (uint32_t i = 0; i < s->entry_count; i++) {
        SystemEntry *n = &s->entries[i];
        if (n->core != NULL) {
            entry_core_free(n->core);
        }
        if (n->trace != NULL) {
            trace_close(n->trace);
        }
        g_hash_table_destroy(n->connections);
        g_free(n->id);
        g_free(n->domain);
    }
    for (uint32_t i = 0; i < s->group_count; i++) {
        fake_group_free(s->groups[i]);
    }
    g_sequence_free(s->events);
    g_hash_table_destroy(s->answers);
    control_fleet_free(s->control);
    g_free(s);
}

/* ---- time ---- */

/* Returns TRUE when a member has the address of the connection and neither
 * end is partitioned. */
static gboolean
member_is_reachable(const Connection *c)
{
    return c->member != NULL && !c->member->partitioned &&
           !c->entry->partitioned;
}

/* Runs a query that has arrived at its member and schedules the result. */
static void
run_query(System *s, Event *e, Connection *c)
{
    if (!member_is_reachable(c)) {
        return; /* a partition drops the query without an error */
    }
    Event *answer = enqueue_event(s, kEventResult, e->to, 100);
    answer->connection = e->connection;
    if (c->member->down) {
        answer->result =
            (BackendResult){.status = kBackendLost, .rows = json_array()};
        return;
    }
    fake_member_query(c->member, &c->transaction, e->sql, e->parameter_count,
                      e->parameters, &answer->result);
}

/* Passes an event to its entry core.  Events for a past incarnation are
 * dropped. */
static void
deliver_event(System *s, Event *e)
{
    SystemEntry *n = e->to;
    uint64_t now_us = s->control->now_us;
    Connection *c = g_hash_table_lookup(n->connections, &e->connection);

    if (n->core == NULL || n->incarnation != e->incarnation) {
        return;
    }
    switch (e->kind) {
    case kEventFrame:
        if (!n->partitioned) {
            Sw__Frame *frame = sw__frame__unpack(NULL, e->size, e->packed);
            trace_frame(n->trace, now_us, e->from, frame);
            entry_core_frame(n->core, now_us, e->from, frame);
            sw__frame__free_unpacked(frame, NULL);
        }
        break;
    case kEventConnected:
        if (c != NULL && member_is_reachable(c)) {
            trace_connected(n->trace, now_us, e->connection, !c->member->down);
            entry_core_backend_connected(n->core, now_us, e->connection,
                                         !c->member->down);
        }
        break;
    case kEventQuery:
        if (c != NULL) {
            run_query(s, e, c);
        }
        break;
    case kEventResult:
        if (c != NULL && c->member->partitioned) {
            break; /* the partition drops the result */
        }
        if (c != NULL && c->member->down) {
            e->result.status = kBackendLost;
        }
        if (c != NULL) {
            trace_result(n->trace, now_us, e->connection, &e->result);
            entry_core_backend_result(n->core, now_us, e->connection,
                                      &e->result);
        }
        break;
    }
}

/* Delivers all events whose time has come. */
static void
deliver_events(System *s)
{
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(s->events);
        if (g_sequence_iter_is_end(first)) {
            return;
        }
        Event *e = g_sequence_get(first);
        if (e->run_at_us > s->control->now_us) {
            return;
        }
        deliver_event(s, e);
        g_sequence_remove(first);
    }
}

/* Sends the announcement of a member to all control instances. */
static void
announce(System *s, uint32_t group, uint32_t member)
{
    FakeMember *m = &s->groups[group]->members[member];
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__Announcement a = SW__ANNOUNCEMENT__INIT;
    char database[16];
    char name[16];
    char domain[16];

    if (m->down || m->partitioned || s->announcements_paused) {
        return;
    }
    g_snprintf(database, sizeof(database), "db%u", group);
    g_snprintf(name, sizeof(name), "m%u", member + 1);
    g_snprintf(domain, sizeof(domain), "d%u", member);
    a.database = database;
    a.member = name;
    a.address = m->address;
    a.failure_domain = domain;
    frame.body_case = SW__FRAME__BODY_ANNOUNCEMENT;
    frame.announcement = &a;
    for (uint32_t i = 0; i < s->control->count; i++) {
        control_fleet_frame(s->control, i, "platform", &frame);
    }
}

/* Runs everything but the control instances for the current step of the
 * virtual clock. */
static void
run_step(System *s)
{
    uint64_t now_us = s->control->now_us;
    deliver_events(s);
    if (now_us % kGroupStepUs == 0) {
        for (uint32_t i = 0; i < s->group_count; i++) {
            fake_group_step(s->groups[i]);
        }
    }
    if (now_us % kAnnounceUs == 0) {
        for (uint32_t i = 0; i < s->group_count; i++) {
            for (uint32_t k = 0; k < kFakeMembers; k++) {
                announce(s, i, k);
            }
        }
    }
    for (uint32_t i = 0; i < s->entry_count && now_us % kTickUs == 0; i++) {
        if (s->entries[i].trace != NULL) {
            trace_tick(s->entries[i].trace, now_us);
        }
        if (s->entries[i].core != NULL) {
            entry_core_tick(s->entries[i].core, now_us);
        }
    }
}

/* Advances the virtual time by us microseconds, running all parts of the
 * system. */
void
system_run(System *s, uint64_t us)
{
    uint64_t end_us = s->control->now_us + us;
    while (s->control->now_us < end_us) {
        control_fleet_run(s->control, kStepUs);
        run_step(s);
    }
}

/* ---- operators and callers ---- */

/* Applies configuration changes (a JSON array) and runs the system until they
 * are accepted; aborts when they are rejected or not accepted in 50 attempts,
 * one every 200 ms. */
void
system_apply(System *s, const char *changes)
{
    char operation[32];
    uint64_t id = 0;

    g_snprintf(operation, sizeof(operation), "op-%u",
               (unsigned)++s->last_request_id);
    for (int i = 0; i < 50; i++) {
        id = ++s->last_request_id + ((uint64_t)1 << 40);
        control_fleet_admin(s->control, 0, id, "apply", operation, changes);
        system_run(s, 200000);
        uint32_t status = control_fleet_status(s->control, id);
        if (status == 200) {
            return;
        }
        if (status != 0 && status != 503 && status != 504) {
            g_error("change refused with %u: %s", status, changes);
        }
    }
    g_error("change not accepted: %s", changes);
}

/* Adds a team with one key; rate and burst are its template parameters. */
void
system_add_team(System *s, const char *team, uint32_t rate, uint32_t burst,
                const char *key)
{
    uint8_t hash[kKeyHashBytes];
    char hex[kKeyHashBytes * 2 + 1];

    entry_key_hash(s->secret, key, hash);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    char *text = g_strdup_printf(
        "[{\"key\":\"team/%s\",\"spec\":{\"template\":\"t\",\"parameters\":"
        "{\"rate\":%u,\"burst\":%u}}},{\"key\":\"key/%.16s\",\"spec\":"
        "{\"team\":\"%s\",\"hash\":\"%s\"}}]",
        team, rate, burst, hex, team, hex);
    system_apply(s, text);
    g_free(text);
}

/* Withdraws a team's key. */
void
system_withdraw_key(System *s, const char *team, const char *key)
{
    uint8_t hash[kKeyHashBytes];
    char hex[kKeyHashBytes * 2 + 1];

    entry_key_hash(s->secret, key, hash);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    char *text = g_strdup_printf(
        "[{\"key\":\"key/%.16s\",\"spec\":{\"team\":\"%s\",\"hash\":\"%s\","
        "\"withdrawn\":true}}]",
        hex, team, hex);
    system_apply(s, text);
    g_free(text);
}

/* Sends a caller's request to an entry instance and returns the request's id
 * for system_answer.  A request to one that is down gets no answer.  key,
 * idempotency_key and session_token may be NULL. */
uint64_t
system_call(System *s, uint32_t entry, const char *path, const char *key,
            const char *idempotency_key, const char *session_token,
            const char *body)
{
    uint64_t id = ++s->last_request_id;
    char *authorization =
        key == NULL ? NULL : g_strconcat("Bearer ", key, NULL);
    CallerRequest r = {
        .id = id,
        .method = "POST",
        .path = path,
        .body = body,
        .body_bytes = strlen(body),
        .authorization = authorization,
        .idempotency_key = idempotency_key,
        .session_token = session_token,
    };
    if (s->entries[entry].trace != NULL) {
        trace_request(s->entries[entry].trace, s->control->now_us, &r);
    }
    if (s->entries[entry].core != NULL) {
        entry_core_request(s->entries[entry].core, s->control->now_us, &r);
    }
    g_free(authorization);
    return id;
}

/* Returns the answer to a request, NULL when none has arrived.  It belongs to
 * the system. */
const SystemAnswer *
system_answer(System *s, uint64_t request)
{
    return g_hash_table_lookup(s->answers, &request);
}
