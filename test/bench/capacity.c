#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../support/control_fleet.h"
#include "../support/system.h"
#include "core/catalog.h"
#include "core/entry_core.h"
#include "core/resource.h"
#include "core/schema.h"

/* Runs the decision logic in one process at several sizes and prints, as
 * Markdown rows, the cost of each additional instance, database, team, key or
 * change.  docs/CAPACITY.md quotes the fitted slopes. */

enum { kMaxSizes = 8 };

/* Costs (y) that were measured at several sizes (x). */
typedef struct {
    double x[kMaxSizes];
    double y[kMaxSizes];
    int count;
} Series;

/* Adds a point; a series holds at most kMaxSizes. */
static void
series_add(Series *s, double x, double y)
{
    s->x[s->count] = x;
    s->y[s->count] = y;
    s->count++;
}

/* Fits y = base + slope * x by least squares. */
static void
series_fit(const Series *s, double *base, double *slope)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (int i = 0; i < s->count; i++) {
        sx += s->x[i];
        sy += s->y[i];
        sxx += s->x[i] * s->x[i];
        sxy += s->x[i] * s->y[i];
    }
    double n = s->count;
    *slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    *base = (sy - *slope * sx) / n;
}

/* Prints a row: what was measured, the unit of x, the fitted base and slope,
 * the unit of y, and the points. */
static void
report(const char *name, const char *per, const char *unit, const Series *s)
{
    double base;
    double slope;
    series_fit(s, &base, &slope);
    printf("| %s | %s | %.4g | %.4g | %s |", name, per, base, slope, unit);
    for (int i = 0; i < s->count; i++) {
        printf(" %.0f: %.4g%s", s->x[i], s->y[i],
               i + 1 < s->count ? "," : " |\n");
    }
    fflush(stdout);
}

/* Returns the processor time of this process, in microseconds. */
static double
cpu_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Returns the allocated bytes of the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();
    return (double)m.uordblks + (double)m.hblkhd;
}

/* ---- control instances ---- */

/* Applies resources through the leader and waits until they are committed,
 * with retries.  Aborts after 50 attempts. */
static void
apply_and_wait(ControlFleet *f, const char *operation, const char *body)
{
    static uint64_t id = 1000;
    for (int i = 0; i < 50; i++) {
        uint64_t request = ++id;
        FleetNode *leader = control_fleet_leader(f);
        if (leader != NULL) {
            control_fleet_admin(f, leader->index, request, "apply", operation,
                                body);
        }
        control_fleet_run(f, 100000);
        if (control_fleet_status(f, request) == 200) {
            return;
        }
    }
    g_error("changes not applied: %.200s", body);
}

/* Starts three control instances with failure domains and templates.
 * keep_disks: a restarted instance finds its log again.  The caller frees the
 * fleet. */
static ControlFleet *
start_control_fleet(gboolean keep_disks)
{
    ControlFleet *f = control_fleet_new(3, 1);
    f->discard_disk_writes = !keep_disks;
    f->snapshot_interval_entries = 1000000;
    for (uint32_t i = 0; i < 3; i++) {
        control_fleet_start(f, i, TRUE);
    }
    control_fleet_run(f, 2000000);
    apply_and_wait(f, "fleet",
                   "[{\"key\":\"fleet/main\",\"spec\":{\"failure_domains\":"
                   "[\"d0\",\"d1\",\"d2\",\"d3\",\"d4\",\"d5\"]}},"
                   "{\"key\":\"template/t\",\"spec\":{\"for\":\"team\"}},"
                   "{\"key\":\"template/s\",\"spec\":{\"for\":\"service\","
                   "\"statements\":{\"get\":{\"kind\":\"read\",\"sql\":"
                   "\"SELECT 1\"}}}}]");
    return f;
}

/* Adds the databases from..to - 1, each with a service, in batches. */
static void
add_databases(ControlFleet *f, uint32_t from, uint32_t to)
{
    enum { kBatch = 50 };
    for (uint32_t i = from; i < to; i += kBatch) {
        GString *text = g_string_new("[");
        char operation[32];
        for (uint32_t k = i; k < MIN(i + kBatch, to); k++) {
            g_string_append_printf(
                text,
                "%s{\"key\":\"database/db%u\",\"spec\":{\"members\":["
                "{\"id\":\"m1\",\"failure_domain\":\"d%u\"},"
                "{\"id\":\"m2\",\"failure_domain\":\"d%u\"},"
                "{\"id\":\"m3\",\"failure_domain\":\"d%u\"}],\"primary\":"
                "\"m1\",\"slots\":3,\"connections\":25}},"
                "{\"key\":\"service/s%u\",\"spec\":{\"template\":\"s\","
                "\"database\":\"db%u\"}}",
                k == i ? "" : ",", k, k % 6, (k + 1) % 6, (k + 2) % 6, k, k);
        }
        g_string_append_c(text, ']');
        g_snprintf(operation, sizeof(operation), "db-%u", i);
        apply_and_wait(f, operation, text->str);
        g_string_free(text, TRUE);
    }
}

/* Sends the lease request of an entry instance to a control instance, with the
 * health of its share of the members (64 at most). */
static void
send_lease(ControlFleet *f, uint32_t node, uint32_t instance,
           uint64_t sequence, uint32_t databases, uint32_t instances)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseRequest r = SW__LEASE_REQUEST__INIT;
    Sw__MemberHealth health[64];
    Sw__MemberHealth *list[64];
    char names[64][24];
    char id[24];
    char domain[8];
    uint32_t count = 0;

    g_snprintf(id, sizeof(id), "entry-%u", instance);
    g_snprintf(domain, sizeof(domain), "d%u", instance % 6);
    r.instance_id = id;
    r.failure_domain = domain;
    r.peer_address = (char *)"127.0.0.1:1";
    r.http_address = (char *)"127.0.0.1:2";
    r.incarnation = 1;
    r.sequence = sequence;
    r.applied_index = state_index(control_core_state(f->nodes[node].core));
    for (uint32_t m = instance; m < databases * 3 && count < 64;
         m += instances) {
        sw__member_health__init(&health[count]);
        g_snprintf(names[count], sizeof(names[count]), "db%u", m / 3);
        health[count].database = names[count];
        health[count].member = (char *)(m % 3 == 0   ? "m1"
                                        : m % 3 == 1 ? "m2"
                                                     : "m3");
        health[count].reachable = TRUE;
        health[count].stream_alive = TRUE;
        health[count].in_recovery = m % 3 != 0;
        health[count].timeline = 1;
        health[count].position = 12345678;
        list[count] = &health[count];
        count++;
    }
    r.n_health = count;
    r.health = list;
    frame.request_id = sequence;
    frame.body_case = SW__FRAME__BODY_LEASE_REQUEST;
    frame.lease_request = &r;
    control_fleet_frame(f, node, id, &frame);
}

/* Runs one round: every instance renews its lease once, spread over 300 ms of
 * the fleet's time. */
static void
lease_round(ControlFleet *f, uint32_t instances, uint32_t databases)
{
    static uint64_t sequence = 1;
    uint32_t node = control_fleet_leader(f)->index;
    for (uint32_t ms = 0; ms < 300; ms++) {
        for (uint32_t i = ms; i < instances; i += 300) {
            send_lease(f, node, i, ++sequence, databases, instances);
        }
        control_fleet_run(f, 1000);
    }
}

/* Runs the fleet for a time without requests.  Returns the processor time that
 * this took; both are in microseconds. */
static double
idle_cpu_us(ControlFleet *f, uint64_t us)
{
    double before = cpu_us();
    control_fleet_run(f, us);
    return cpu_us() - before;
}

/* Measures the cost of entry instances to the control group. */
static void
measure_control(void)
{
    static const uint32_t sizes[] = {100, 300, 600, 1200};
    Series lease = {0};
    Series join = {0};
    Series reply_bytes = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        ControlFleet *f = start_control_fleet(FALSE);
        uint32_t n = sizes[i];
        /* 900 ms are three lease rounds; the join takes 600 ms. */
        double base = idle_cpu_us(f, 900000);
        double before = cpu_us();
        lease_round(f, n, 0);
        control_fleet_run(f, 300000);
        series_add(&join, n, cpu_us() - before - base * 2 / 3);
        lease_round(f, n, 0);
        uint64_t bytes = f->bytes_sent;
        before = cpu_us();
        for (int k = 0; k < 3; k++) {
            lease_round(f, n, 0);
        }
        series_add(&lease, n, (cpu_us() - before - base) / 3);
        series_add(&reply_bytes, n, (double)(f->bytes_sent - bytes) / 3);
        control_fleet_free(f);
    }
    report("control group: one lease round of all instances", "instance", "us",
           &lease);
    report("control group: join of all instances", "instance", "us", &join);
    report("control group: bytes sent in a lease round", "instance", "bytes",
           &reply_bytes);
}

/* Measures the cost of databases to the control group. */
static void
measure_databases(void)
{
    static const uint32_t sizes[] = {100, 400, 1000, 2000};
    Series tick = {0};
    Series health = {0};
    Series memory = {0};
    Series dump = {0};
    Series dump_time = {0};
    double heap_before = heap_bytes();
    ControlFleet *f = start_control_fleet(FALSE);
    uint32_t current = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        add_databases(f, current, sizes[i]);
        current = sizes[i];
        /* Waits until the instances of the previous size have expired. */
        control_fleet_run(f, 6000000);
        /* The heap holds all three control instances. */
        series_add(&memory, current, (heap_bytes() - heap_before) / 3);
        series_add(&tick, current, idle_cpu_us(f, 1000000));
        double base = idle_cpu_us(f, 900000);
        double before = cpu_us();
        for (int k = 0; k < 3; k++) {
            lease_round(f, 300, current);
        }
        series_add(&health, current, (cpu_us() - before - base) / 3);
        FleetNode *leader = control_fleet_leader(f);
        before = cpu_us();
        char *text = state_dump(control_core_state(leader->core));
        series_add(&dump_time, current, cpu_us() - before);
        series_add(&dump, current, (double)strlen(text));
        free(text);
    }
    report("control group: one idle second", "database", "us", &tick);
    report("control group: lease round of 300 instances with health",
           "database", "us", &health);
    report("control instance: heap with the log", "database", "bytes",
           &memory);
    report("snapshot: size", "database and service", "bytes", &dump);
    report("snapshot: time to write out", "database and service", "us",
           &dump_time);
    control_fleet_free(f);
}

/* Sends changes of teams to the leader, one per millisecond. */
static void
make_changes(ControlFleet *f, uint32_t leader, uint32_t count)
{
    for (uint32_t k = 0; k < count; k++) {
        char operation[32];
        char body[128];
        g_snprintf(operation, sizeof(operation), "c-%u", k);
        g_snprintf(body, sizeof(body),
                   "[{\"key\":\"team/t%u\",\"spec\":{\"template\":\"t\","
                   "\"parameters\":{\"rate\":%u}}}]",
                   k, k + 1);
        control_fleet_admin(f, leader, 50000 + k, "apply", operation, body);
        control_fleet_run(f, 1000);
    }
}

/* Measures the cost of committed changes, and of a restart that replays them
 * from the log. */
static void
measure_changes(void)
{
    static const uint32_t sizes[] = {100, 400, 1000, 2000};
    Series commit = {0};
    Series restart = {0};
    Series syncs = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        ControlFleet *f = start_control_fleet(FALSE);
        uint32_t leader = control_fleet_leader(f)->index;
        uint64_t synced = f->nodes[leader].disk.syncs;
        double before = cpu_us();
        make_changes(f, leader, sizes[i]);
        control_fleet_run(f, 100000);
        series_add(&commit, sizes[i], cpu_us() - before);
        series_add(&syncs, sizes[i],
                   (double)(f->nodes[leader].disk.syncs - synced));
        control_fleet_free(f);
        f = start_control_fleet(TRUE);
        leader = control_fleet_leader(f)->index;
        make_changes(f, leader, sizes[i]);
        control_fleet_crash(f, leader);
        before = cpu_us();
        control_fleet_start(f, leader, FALSE);
        control_fleet_run(f, 1500000);
        series_add(&restart, sizes[i], cpu_us() - before);
        control_fleet_free(f);
    }
    report("control group: commit, three instances", "change", "us", &commit);
    report("leader: disk syncs", "change", "syncs", &syncs);
    report("control instance: restart and replay of the log", "change", "us",
           &restart);
}

/* ---- entry instances ---- */

/* An entry core without network: the benchmark counts what the core sends and
 * plays the part of its peers. */
typedef struct {
    EntryCore *core;
    uint64_t now_us;
    uint64_t sent[32]; /* by message kind */
    uint64_t sent_bytes;
    uint64_t lease_request_bytes;
    uint64_t queries;   /* sent to backend servers */
    uint64_t responses; /* sent to callers */
    uint64_t index;     /* of the last change that the core applied */
    Sw__Frame *lease;   /* last lease request without a reply, or NULL */
} SinkEntry;

/* Counts a sent frame and keeps a copy of a lease request. */
static gboolean
sink_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    SinkEntry *s = ctx;
    size_t size = sw__frame__get_packed_size(frame);
    (void)to;
    s->sent[frame->body_case]++;
    s->sent_bytes += size;
    if (frame->body_case == SW__FRAME__BODY_LEASE_REQUEST) {
        uint8_t *packed = g_malloc(size);
        sw__frame__pack(frame, packed);
        if (s->lease != NULL) {
            sw__frame__free_unpacked(s->lease, NULL);
        }
        s->lease = sw__frame__unpack(NULL, size, packed);
        s->lease_request_bytes += size;
        g_free(packed);
    }
    return TRUE;
}

static void
sink_respond(void *ctx, uint64_t id, const CallerResponse *r)
{
    SinkEntry *s = ctx;
    (void)id;
    (void)r;
    s->responses++;
}

static void
sink_peer_address(void *ctx, const char *id, const char *address)
{
    (void)ctx;
    (void)id;
    (void)address;
}

/* A connection attempt or a query that has no result yet. */
typedef struct {
    uint64_t connection;
    gboolean query; /* FALSE: a connection attempt */
    gboolean begin;
} Pending;

/* Pending of the current entry core, oldest first. */
static GQueue pending = G_QUEUE_INIT;

/* Queues a connection attempt for complete_backend_calls. */
static void
sink_connect(void *ctx, uint64_t connection, const char *address,
             const char *database)
{
    Pending *p = g_new0(Pending, 1);
    (void)ctx;
    (void)address;
    (void)database;
    p->connection = connection;
    g_queue_push_tail(&pending, p);
}

/* Counts a query and queues it for complete_backend_calls. */
static void
sink_query(void *ctx, uint64_t connection, const char *sql, size_t count,
           const char *const *parameters)
{
    SinkEntry *s = ctx;
    Pending *p = g_new0(Pending, 1);
    (void)sql;
    (void)count;
    (void)parameters;
    s->queries++;
    p->connection = connection;
    p->query = TRUE;
    g_queue_push_tail(&pending, p);
}

/* Ignores a request to cancel a query or close a connection. */
static void
sink_close(void *ctx, uint64_t connection)
{
    (void)ctx;
    (void)connection;
}

/* Returns the next number of a fixed xorshift sequence, so that runs
 * repeat. */
static uint64_t
sink_random(void *ctx)
{
    static uint64_t state = 88172645463325252ULL;
    (void)ctx;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

/* Makes an entry core whose port counts the calls; freed with sink_free. */
static SinkEntry *
sink_new(void)
{
    static const EntryControl control = {"control-0", "d0"};
    SinkEntry *s = g_new0(SinkEntry, 1);
    EntryPort port = {
        s,          sink_respond, sink_send,  sink_peer_address, sink_connect,
        sink_query, sink_close,   sink_close, sink_random,       NULL};
    EntryConfig config = {
        .id = "entry-0",
        .failure_domain = "d0",
        .peer_address = "127.0.0.1:1",
        .http_address = "127.0.0.1:2",
        .incarnation = 1,
        .controls = &control,
        .control_count = 1,
        .read_replicas = TRUE,
    };
    s->now_us = 1000000;
    s->core = entry_core_new(&config, &port, s->now_us);
    return s;
}

static void
sink_free(SinkEntry *s)
{
    entry_core_free(s->core);
    if (s->lease != NULL) {
        sw__frame__free_unpacked(s->lease, NULL);
    }
    g_queue_clear_full(&pending, g_free);
    g_free(s);
}

/* Completes all pending connection attempts and queries with success. */
static void
complete_backend_calls(SinkEntry *s)
{
    json_t *rows =
        json_pack("[{s:b, s:i, s:s, s:s, s:i, s:s}]", "in_recovery", 0,
                  "timeline", 1, "received", "0/1000", "replayed", "0/1000",
                  "receivers", 0, "heard", "x");
    BackendResult ok = {.status = kBackendOk, .rows = rows};
    guint count = pending.length;
    for (guint i = 0; i < count; i++) {
        Pending *p = g_queue_pop_head(&pending);
        if (p->query) {
            entry_core_backend_result(s->core, s->now_us, p->connection, &ok);
        }
        else {
            entry_core_backend_connected(s->core, s->now_us, p->connection,
                                         TRUE);
        }
        g_free(p);
    }
    json_decref(rows);
}

/* Grants the last lease request, if there is one. */
static void
grant_lease(SinkEntry *s)
{
    if (s->lease == NULL) {
        return;
    }
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__LeaseReply reply = SW__LEASE_REPLY__INIT;
    reply.sequence = s->lease->lease_request->sequence;
    reply.granted = TRUE;
    reply.confirmed_index = s->index;
    reply.valid_for_ms = 3000;
    frame.body_case = SW__FRAME__BODY_LEASE_REPLY;
    frame.lease_reply = &reply;
    sw__frame__free_unpacked(s->lease, NULL);
    s->lease = NULL;
    entry_core_frame(s->core, s->now_us, "control-0", &frame);
}

/* Advances the core's time by us, in steps of 10 ms. */
static void
sink_run(SinkEntry *s, uint64_t us)
{
    uint64_t end_us = s->now_us + us;
    while (s->now_us < end_us) {
        s->now_us += 10000;
        entry_core_tick(s->core, s->now_us);
        grant_lease(s);
        complete_backend_calls(s);
    }
}

/* Changes of the state that are collected for one update. */
typedef struct {
    GPtrArray *changes; /* Sw__Change */
    uint64_t index;     /* of the last change */
} Update;

static void update_add(Update *u, const char *key, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Adds a change of one resource; its specification is formatted as by
 * printf. */
static void
update_add(Update *u, const char *key, const char *format, ...)
{
    Sw__Change *c = g_new(Sw__Change, 1);
    va_list args;
    va_start(args, format);
    char *spec = g_strdup_vprintf(format, args);
    va_end(args);
    sw__change__init(c);
    c->index = ++u->index;
    c->version = c->index;
    c->key = g_strdup(key);
    c->spec.data = (uint8_t *)spec;
    c->spec.len = strlen(spec);
    g_ptr_array_add(u->changes, c);
}

/* Sends the changes to the core and frees them.  Returns the processor time in
 * microseconds that the core took to apply them. */
static double
update_send(Update *u, SinkEntry *s)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__StateUpdate update = SW__STATE_UPDATE__INIT;
    update.cluster = (char *)"capacity";
    update.full = s->index == 0;
    update.from_index = s->index;
    update.to_index = u->index;
    update.n_changes = u->changes->len;
    update.changes = (Sw__Change **)u->changes->pdata;
    frame.body_case = SW__FRAME__BODY_STATE_UPDATE;
    frame.state_update = &update;
    double before = cpu_us();
    entry_core_frame(s->core, s->now_us, "control-0", &frame);
    double elapsed_us = cpu_us() - before;
    s->index = u->index;
    for (guint i = 0; i < u->changes->len; i++) {
        Sw__Change *c = g_ptr_array_index(u->changes, i);
        g_free(c->key);
        g_free(c->spec.data);
        g_free(c);
    }
    g_ptr_array_set_size(u->changes, 0);
    return elapsed_us;
}

/* Adds the fleet, the templates and the entry instances. */
static void
fill_fleet(Update *u, uint32_t instances)
{
    char key[64];
    update_add(u, "fleet/main",
               "{\"failure_domains\":[\"d0\",\"d1\",\"d2\","
               "\"d3\",\"d4\",\"d5\"]}");
    update_add(u, "template/t", "{\"for\":\"team\"}");
    update_add(u, "template/s",
               "{\"for\":\"service\",\"statements\":{\"get\":{\"kind\":"
               "\"read\",\"sql\":\"SELECT 1\",\"open\":true}}}");
    for (uint32_t i = 0; i < instances; i++) {
        g_snprintf(key, sizeof(key), "instance/entry-%u", i);
        update_add(u, key,
                   "{\"failure_domain\":\"d%u\",\"peer_address\":"
                   "\"127.0.0.1:1\",\"http_address\":\"127.0.0.1:2\","
                   "\"incarnation\":1,\"draining\":false}",
                   i % 6);
    }
}

/* Adds the databases from..to - 1, each with a service, a primary and three
 * servers. */
static void
fill_databases(Update *u, uint32_t from, uint32_t to)
{
    char key[64];
    for (uint32_t i = from; i < to; i++) {
        g_snprintf(key, sizeof(key), "database/db%u", i);
        update_add(u, key,
                   "{\"members\":[{\"id\":\"m1\",\"failure_domain\":\"d%u\"},"
                   "{\"id\":\"m2\",\"failure_domain\":\"d%u\"},"
                   "{\"id\":\"m3\",\"failure_domain\":\"d%u\"}],\"primary\":"
                   "\"m1\",\"slots\":3,\"connections\":25}",
                   i % 6, (i + 1) % 6, (i + 2) % 6);
        g_snprintf(key, sizeof(key), "service/s%u", i);
        update_add(u, key, "{\"template\":\"s\",\"database\":\"db%u\"}", i);
        g_snprintf(key, sizeof(key), "primary/db%u", i);
        update_add(u, key,
                   "{\"member\":\"m1\",\"term\":1,\"promotion\":0,"
                   "\"phase\":\"stable\",\"candidate\":\"\"}");
        for (uint32_t m = 1; m <= 3; m++) {
            g_snprintf(key, sizeof(key), "server/db%u/m%u", i, m);
            update_add(u, key,
                       "{\"address\":\"127.0.0.1:5432\",\"failure_domain\":"
                       "\"d%u\",\"leaving\":false,\"missing\":false}",
                       (i + m - 1) % 6);
        }
    }
}

/* Measures the cost of databases to one entry instance. */
static void
measure_entry_databases(void)
{
    static const uint32_t sizes[] = {200, 600, 1200, 2400};
    Series memory = {0};
    Series tick = {0};
    Series load = {0};
    Series queries = {0};
    Series lease = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double heap_before = heap_bytes();
        SinkEntry *s = sink_new();
        Update u = {g_ptr_array_new(), 0};
        fill_fleet(&u, 300);
        fill_databases(&u, 0, sizes[i]);
        double elapsed_us = update_send(&u, s);
        sink_run(s, 1000000);
        series_add(&load, sizes[i], elapsed_us);
        series_add(&memory, sizes[i], heap_bytes() - heap_before);
        uint64_t queries_before = s->queries;
        uint64_t lease_bytes_before = s->lease_request_bytes;
        double before = cpu_us();
        sink_run(s, 4000000);
        series_add(&tick, sizes[i], (cpu_us() - before) / 4);
        series_add(&queries, sizes[i],
                   (double)(s->queries - queries_before) / 4);
        series_add(&lease, sizes[i],
                   (double)(s->lease_request_bytes - lease_bytes_before) / 4);
        sink_free(s);
        g_ptr_array_unref(u.changes);
    }
    report("entry, one of 300: heap", "database of the fleet", "bytes",
           &memory);
    report("entry: full state applied", "database of the fleet", "us", &load);
    report("entry, one of 300: one idle second", "database of the fleet", "us",
           &tick);
    report("entry, one of 300: probes in an idle second",
           "database of the fleet", "queries", &queries);
    report("entry, one of 300: bytes of lease requests in a second",
           "database of the fleet", "bytes", &lease);
}

/* Measures the cost of teams, keys and single changes to one entry
 * instance. */
static void
measure_entry_teams_and_keys(void)
{
    static const uint32_t sizes[] = {500, 2000, 5000, 10000};
    Series teams = {0};
    Series keys = {0};
    Series delta = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        SinkEntry *s = sink_new();
        Update u = {g_ptr_array_new(), 0};
        char key[64];
        fill_fleet(&u, 300);
        update_send(&u, s);
        double before = heap_bytes();
        for (uint32_t k = 0; k < sizes[i]; k++) {
            g_snprintf(key, sizeof(key), "team/t%u", k);
            update_add(&u, key,
                       "{\"template\":\"t\",\"parameters\":{\"rate\":%u}}",
                       k + 1);
        }
        update_send(&u, s);
        series_add(&teams, sizes[i], heap_bytes() - before);
        before = heap_bytes();
        for (uint32_t k = 0; k < sizes[i]; k++) {
            g_snprintf(key, sizeof(key), "key/%016x", k);
            update_add(&u, key,
                       "{\"team\":\"t%u\",\"hash\":\"%064x\",\"expires_ms\":0,"
                       "\"withdrawn\":false}",
                       k, k);
        }
        update_send(&u, s);
        series_add(&keys, sizes[i], heap_bytes() - before);
        double elapsed_us = 0;
        for (uint32_t k = 0; k < sizes[i] / 10; k++) {
            update_add(&u, "team/t1",
                       "{\"template\":\"t\",\"parameters\":{\"rate\":%u}}",
                       k + 1);
            elapsed_us += update_send(&u, s);
        }
        series_add(&delta, sizes[i] / 10, elapsed_us);
        sink_free(s);
        g_ptr_array_unref(u.changes);
    }
    report("entry: heap", "team", "bytes", &teams);
    report("entry: heap", "key", "bytes", &keys);
    report("entry: one change applied", "change", "us", &delta);
}

/* Measures the processor time of one caller's request, up to its query. */
static void
measure_requests(void)
{
    static const uint32_t instances[] = {30, 300, 900, 1800};
    Series request = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
        enum { kRequests = 20000 };
        SinkEntry *s = sink_new();
        Update u = {g_ptr_array_new(), 0};
        fill_fleet(&u, instances[i]);
        fill_databases(&u, 0, 200);
        update_send(&u, s);
        sink_run(s, 1000000);
        double before = cpu_us();
        for (uint32_t k = 0; k < kRequests; k++) {
            char path[32];
            g_snprintf(path, sizeof(path), "/v1/s%u/get", k % 200);
            CallerRequest r = {.id = 1000000 + k,
                               .method = "POST",
                               .path = path,
                               .body = "{}",
                               .body_bytes = 2};
            entry_core_request(s->core, s->now_us, &r);
            if (k % 10 == 0) {
                s->now_us += 1000;
                complete_backend_calls(s);
            }
        }
        series_add(&request, instances[i], (cpu_us() - before) / kRequests);
        sink_run(s, 5000000);
        sink_free(s);
        g_ptr_array_unref(u.changes);
    }
    report("entry: one request parsed, routed and sent on", "instance", "us",
           &request);
}

/* Measures the time until every database group has a new primary when all
 * primaries fail at once, and the processor time that the whole system uses
 * beyond that of its idle time. */
static void
measure_promotions(void)
{
    static const uint32_t sizes[] = {5, 20, 50, 100};
    Series gap = {0};
    Series cost = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        System *s = system_new(12, sizes[i], 3);
        system_run(s, 3000000);
        double idle = cpu_us();
        system_run(s, 1000000);
        idle = cpu_us() - idle;
        for (uint32_t k = 0; k < sizes[i]; k++) {
            fake_member_kill(&s->groups[k]->members[0]);
        }
        uint64_t started_us = system_now(s);
        double before = cpu_us();
        uint32_t remaining = sizes[i];
        while (remaining > 0 && system_now(s) - started_us < 20000000) {
            system_run(s, 10000);
            State *state =
                control_core_state(control_fleet_leader(s->control)->core);
            remaining = 0;
            for (uint32_t k = 0; k < sizes[i]; k++) {
                char key[32];
                g_snprintf(key, sizeof(key), "primary/db%u", k);
                const Resource *r = state_lookup(state, key);
                remaining +=
                    strcmp(json_text_or(r->spec, "member", ""), "m1") == 0;
            }
        }
        double elapsed_us = (double)(system_now(s) - started_us);
        series_add(&gap, sizes[i], elapsed_us / 1000);
        series_add(&cost, sizes[i],
                   cpu_us() - before - idle * elapsed_us / 1000000);
        system_free(s);
    }
    report("all primaries lost at once: until the last is replaced", "group",
           "ms", &gap);
    report("all primaries lost at once: processor time of the system", "group",
           "us", &cost);
}

/* Discards log lines below the level critical. */
static GLogWriterOutput
drop_log(GLogLevelFlags level, const GLogField *fields, gsize count,
         void *data)
{
    (void)data;
    if ((level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) != 0) {
        return g_log_writer_default(level, fields, count, data);
    }
    return G_LOG_WRITER_HANDLED;
}

int
main(void)
{
    if (sodium_init() < 0) {
        return 1;
    }
    g_log_set_writer_func(drop_log, NULL, NULL);
    printf("| what | per | base | slope | unit | points |\n"
           "|---|---|---|---|---|---|\n");
    measure_control();
    measure_databases();
    measure_changes();
    measure_entry_databases();
    measure_entry_teams_and_keys();
    measure_requests();
    measure_promotions();
    return 0;
}
