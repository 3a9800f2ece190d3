#include "run.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <math.h>
#include <signal.h>
#include <string.h>

#include "core/schema.h"

/* The open-loop driver: requests are sent at random times that do not depend
 * on earlier responses. */

enum {
    kTickIntervalUs = 1000,
    kHealthIntervalUs = 200000,
    kMaxConnections = 400, /* per entry instance */
    kRequestTimeoutS = 8,
    kMaxDrainS = 9, /* longer than kRequestTimeoutS */
};

/* Connections to one entry instance. */
typedef struct {
    Run *run;
    char *host;
    uint16_t port;
    GQueue idle;      /* evhttp_connection */
    gboolean healthy; /* result of the last health check, at first TRUE */
    uint32_t count;   /* connections, idle and in use */
    char *address;    /* host:port */
} EntryLink;

/* One request that has no response yet. */
typedef struct {
    Run *run;
    TeamRun *team;
    EntryLink *link;
    struct evhttp_connection *connection;
    LoadSession *session;
    const Operation *operation;
    Record *record;
    char *sent_id; /* write id that the request stores or looks up */
} InFlightRequest;

static uint64_t
now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

/* ---- connections ---- */

/* Returns an idle or new connection, or NULL at the limit. */
static struct evhttp_connection *
acquire_connection(EntryLink *l)
{
    struct evhttp_connection *c = g_queue_pop_head(&l->idle);
    if (c != NULL) {
        return c;
    }
    if (l->count >= kMaxConnections) {
        return NULL;
    }
    l->count++;
    c = evhttp_connection_base_new(l->run->base, NULL, l->host, l->port);
    evhttp_connection_set_timeout(c, kRequestTimeoutS);
    evhttp_connection_set_retries(c, 0);
    return c;
}

/* Makes a connection idle again, or closes it when it is not reusable. */
static void
release_connection(EntryLink *l, struct evhttp_connection *c,
                   gboolean reusable)
{
    if (reusable) {
        g_queue_push_head(&l->idle, c);
        return;
    }
    l->count--;
    evhttp_connection_free_on_completion(c);
}

/* ---- health checks of the load balancer ---- */

/* Records whether an entry instance accepts requests. */
static void
on_health(struct evhttp_request *request, void *ctx)
{
    EntryLink *l = ctx;
    l->healthy =
        request != NULL && evhttp_request_get_response_code(request) == 200;
}

/* Sends a health check to every entry instance, as the load balancer of a real
 * platform does. */
static void
check_health(Run *r)
{
    for (guint i = 0; i < r->entries->len; i++) {
        EntryLink *l = g_ptr_array_index(r->entries, i);
        struct evhttp_connection *c =
            evhttp_connection_base_new(r->base, NULL, l->host, l->port);
        struct evhttp_request *request = evhttp_request_new(on_health, l);
        struct evkeyvalq *h = evhttp_request_get_output_headers(request);
        evhttp_connection_set_timeout(c, 1);
        evhttp_connection_free_on_completion(c);
        evhttp_add_header(h, "Host", l->address);
        evhttp_add_header(h, "Connection", "close");
        evhttp_make_request(c, request, EVHTTP_REQ_GET, "/healthz");
    }
}

/* Returns the entry instance for a request: the preferred or a random one, or
 * the next healthy one after it.  When none is healthy, returns the first
 * choice. */
static EntryLink *
pick_entry(Run *r, int32_t preferred)
{
    guint start =
        preferred >= 0
            ? (guint)preferred % r->entries->len
            : (guint)g_rand_int_range(r->rand, 0, (gint)r->entries->len);
    for (guint i = 0; i < r->entries->len; i++) {
        EntryLink *l =
            g_ptr_array_index(r->entries, (start + i) % r->entries->len);
        if (l->healthy) {
            return l;
        }
    }
    return g_ptr_array_index(r->entries, start);
}

/* ---- sessions ---- */

/* Returns a session of the team that has no request in flight, and marks it as
 * busy.  Makes a new session when four random picks are all busy. */
static LoadSession *
acquire_session(Run *r, TeamRun *t)
{
    for (int i = 0; i < 4 && t->sessions->len > 0; i++) {
        guint at = (guint)g_rand_int_range(r->rand, 0, (gint)t->sessions->len);
        LoadSession *s = g_ptr_array_index(t->sessions, at);
        if (!s->busy) {
            s->busy = TRUE;
            return s;
        }
    }
    LoadSession *s = g_new0(LoadSession, 1);
    s->busy = TRUE;
    s->service = r->experiment->services[(guint)g_rand_int_range(
        r->rand, 0, (gint)g_strv_length(r->experiment->services))];
    g_ptr_array_add(t->sessions, s);
    return s;
}

static void
session_free(void *data)
{
    LoadSession *s = data;
    g_free(s->token);
    g_free(s->last_write_id);
    g_free(s);
}

/* ---- responses ---- */

/* Counts a read.  For a statement that reads its session's last write, also
 * counts the rows with a write id (column "green") other than the requested
 * one, and a read that lacks the write. */
static void
check_read(InFlightRequest *f, const json_t *body)
{
    const json_t *rows = json_object_get(body, "rows");
    gboolean found = FALSE;
    size_t i;
    json_t *row;

    json_array_foreach((json_t *)rows, i, row)
    {
        const char *green = json_text_or(row, "green", "");
        if (f->operation->reads_own_write && strcmp(green, f->sent_id) != 0) {
            f->team->foreign_rows++;
        }
        found = found || strcmp(green, f->sent_id) == 0;
    }
    f->team->reads++;
    if (f->operation->reads_own_write && f->session->last_write_id != NULL &&
        strcmp(f->session->last_write_id, f->sent_id) == 0 && !found) {
        f->team->stale_reads++;
    }
}

/* Stores the session token of a response, if there is one, for the session's
 * next request. */
static void
store_session_token(InFlightRequest *f, struct evhttp_request *request)
{
    const char *token = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Session-Token");
    if (token != NULL) {
        g_free(f->session->token);
        f->session->token = g_strdup(token);
    }
}

/* Derives the outcome from the HTTP status (zero: no response) and the
 * body. */
static Outcome
outcome_of(int status, const json_t *body)
{
    if (status == 200) {
        return kOutcomeDone;
    }
    if (status == 429) {
        return kOutcomeRateLimited;
    }
    if (strcmp(json_text_or(body, "outcome", ""), "not_run") == 0) {
        return kOutcomeNotRun;
    }
    return kOutcomeUnknown;
}

/* Counts a response in its second of the measured part. */
static void
count_second(Run *r, const Record *record)
{
    if (record->response_us < r->measure_start_us) {
        return;
    }
    uint64_t second = (record->response_us - r->measure_start_us) / 1000000;
    if (second >= r->second_count) {
        return;
    }
    SecondCounts *s = &r->seconds[second];
    if (record->outcome != kOutcomeDone) {
        s->not_done++;
    }
    else if (record->write) {
        s->writes_done++;
    }
    else {
        s->reads_done++;
    }
}

/* Counts a response for its team; requests of the warm-up are left out. */
static void
count_outcome(InFlightRequest *f)
{
    TeamRun *t = f->team;
    Record *record = f->record;

    count_second(f->run, record);
    if (!record->measured) {
        return;
    }
    switch (record->outcome) {
    case kOutcomeDone:
        t->done++;
        histogram_observe(&t->latency, record->response_us - record->sent_us);
        break;
    case kOutcomeNotRun:
        t->not_run++;
        break;
    case kOutcomeRateLimited:
        t->rate_limited++;
        break;
    case kOutcomeUnknown:
        t->unknown++;
        break;
    }
}

/* Counts an unsuccessful request by its status (zero: no response) and problem
 * type. */
static void
count_reason(Run *r, int status, const json_t *body)
{
    const char *type = json_text_or(body, "type", "no-answer");
    const char *last = strrchr(type, ':');
    char *name =
        g_strdup_printf("%d %s", status, last == NULL ? type : last + 1);
    gsize count =
        GPOINTER_TO_SIZE(g_hash_table_lookup(r->failure_counts, name));
    g_hash_table_insert(r->failure_counts, name, GSIZE_TO_POINTER(count + 1));
}

/* Handles the response to a request; request is NULL when there was none.
 * Frees the in-flight request. */
static void
on_response(struct evhttp_request *request, void *ctx)
{
    InFlightRequest *f = ctx;
    int status =
        request == NULL ? 0 : evhttp_request_get_response_code(request);
    json_t *body = NULL;
    gboolean reusable = status != 0;

    if (status != 0) {
        struct evbuffer *in = evhttp_request_get_input_buffer(request);
        size_t size = evbuffer_get_length(in);
        body =
            json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);
        const char *close = evhttp_find_header(
            evhttp_request_get_input_headers(request), "Connection");
        reusable = close == NULL || g_ascii_strcasecmp(close, "close") != 0;
    }
    f->record->response_us = now_us();
    f->record->outcome = outcome_of(status, body);
    if (f->record->outcome == kOutcomeDone) {
        if (f->operation->write) {
            g_free(f->session->last_write_id);
            f->session->last_write_id = g_strdup(f->record->write_id);
        }
        else {
            check_read(f, body);
        }
        store_session_token(f, request);
    }
    count_outcome(f);
    if (f->record->measured && f->record->outcome != kOutcomeDone) {
        count_reason(f->run, status, body);
    }
    f->session->busy = FALSE;
    release_connection(f->link, f->connection, reusable);
    f->run->in_flight--;
    json_decref(body);
    g_free(f->sent_id);
    g_free(f);
}

/* ---- requests ---- */

/* Picks a statement of the team's mix at random, by weight. */
static const Operation *
pick_operation(Run *r, const TeamLoad *t)
{
    double total = 0;
    for (uint32_t i = 0; i < t->operation_count; i++) {
        total += t->operations[i].weight;
    }
    double at = g_rand_double(r->rand) * total;
    for (uint32_t i = 0; i < t->operation_count; i++) {
        at -= t->operations[i].weight;
        if (at < 0) {
            return &t->operations[i];
        }
    }
    return &t->operations[0];
}

/* Returns the JSON body of a request with the arguments of the demo's
 * statements; the caller frees it. */
static char *
make_body(const Operation *o, const char *write_id)
{
    if (o->write) {
        return g_strdup_printf("{\"args\":{\"green\":\"%s\",\"day\":\"d1\","
                               "\"note\":\"n\"}}",
                               write_id);
    }
    if (o->reads_own_write) {
        return g_strdup_printf("{\"args\":{\"green\":\"%s\"}}", write_id);
    }
    return g_strdup("{\"args\":{\"day\":\"d0\"}}");
}

/* Adds the credentials, the session token, and for a write the idempotency
 * key. */
static void
add_headers(const InFlightRequest *f, struct evhttp_request *request)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(request);
    char *authorization = g_strconcat("Bearer ", f->team->key, NULL);

    evhttp_add_header(h, "Host", f->link->address);
    evhttp_add_header(h, "Authorization", authorization);
    if (f->session->token != NULL) {
        evhttp_add_header(h, "Session-Token", f->session->token);
    }
    if (f->operation->write) {
        evhttp_add_header(h, "Idempotency-Key", f->record->write_id);
    }
    g_free(authorization);
}

/* Sends one request of a team.  At the connection limit the request is dropped
 * and counted in dropped_requests. */
static void
send_request(Run *r, TeamRun *t, uint32_t team)
{
    EntryLink *l = pick_entry(r, t->load->entry);
    struct evhttp_connection *connection = acquire_connection(l);
    uint64_t sent_us = now_us();
    gboolean measured = sent_us >= r->measure_start_us;

    if (measured) {
        t->offered++;
    }
    if (connection == NULL) {
        r->dropped_requests++;
        return;
    }
    InFlightRequest *f = g_new0(InFlightRequest, 1);
    Record *record = g_new0(Record, 1);
    *f = (InFlightRequest){r,
                           t,
                           l,
                           connection,
                           acquire_session(r, t),
                           pick_operation(r, t->load),
                           record,
                           NULL};
    *record = (Record){.team = team,
                       .write = f->operation->write,
                       .measured = measured,
                       .sent_us = sent_us,
                       .outcome = kOutcomeUnknown};
    if (record->write) {
        record->write_id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, r->run_id,
                                           ++r->write_count);
    }
    f->sent_id = g_strdup(record->write ? record->write_id
                          : f->session->last_write_id == NULL
                              ? "none"
                              : f->session->last_write_id);
    record->service = f->session->service;
    g_ptr_array_add(r->records, record);
    struct evhttp_request *request = evhttp_request_new(on_response, f);
    add_headers(f, request);
    char *body = make_body(f->operation, f->sent_id);
    evbuffer_add(evhttp_request_get_output_buffer(request), body,
                 strlen(body));
    g_free(body);
    char *path = g_strdup_printf("/v1/%s/%s", f->session->service,
                                 f->operation->statement);
    r->in_flight++;
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
    g_free(path);
}

/* ---- faults ---- */

/* Sends a command to the command port of a stand-in; errors are ignored. */
static void
post_fault(Run *r, const char *address, const char *body)
{
    char *url = g_strdup_printf("http://%s", address);
    char *entries[] = {url, NULL};
    Client c = {entries, (char *)"", NULL};
    json_t *parsed = json_loads(body, 0, NULL);
    Reply reply = client_post(&c, "/fault", parsed, NULL);
    json_decref(reply.body);
    json_decref(parsed);
    g_free(url);
    (void)r;
}

/* Sets the simulated duration of statements to zero on all stand-ins, so that
 * the checks after the run take less time. */
void
run_clear_service_time(Run *r)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(r->endpoints, "standins"), i, s)
    {
        post_fault(r, json_text_or(s, "faults", ""), "{\"service_us\":0}");
    }
}

/* Returns the address of a member's command port, or NULL when the member is
 * unknown. */
static const char *
member_command_address(Run *r, const char *database, const char *member)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(r->endpoints, "standins"), i, s)
    {
        if (strcmp(json_text_or(s, "database", ""), database) == 0 &&
            strcmp(json_text_or(s, "member", ""), member) == 0) {
            return json_text_or(s, "faults", NULL);
        }
    }
    return NULL;
}

/* Returns the id of a database's current primary, m1 when the lookup fails.
 * The caller frees it. */
static char *
current_primary(Run *r, const char *database)
{
    char *path = g_strdup_printf("/admin/v1/resources/primary/%s", database);
    Reply reply = client_get(&r->client, path);
    char *name = g_strdup(
        json_text_or(json_object_get(reply.body, "spec"), "member", "m1"));
    json_decref(reply.body);
    g_free(path);
    return name;
}

/* Sends a signal to a process of the fleet, by its name in the endpoints file;
 * an unknown name is ignored. */
static void
signal_process(Run *r, const char *name, int number)
{
    const json_t *pids = json_object_get(r->endpoints, "pids");
    pid_t pid = (pid_t)json_integer_value(json_object_get(pids, name));
    if (pid > 1) {
        kill(pid, number);
    }
}

/* Injects a fault and marks it as done.  The target "primary" is resolved at
 * this time. */
static void
inject_fault(Run *r, Fault *f)
{
    gboolean primary = strcmp(f->target, "primary") == 0;
    char *target =
        primary ? current_primary(r, f->database) : g_strdup(f->target);

    if (strcmp(f->kind, "signal") == 0 && primary) {
        char *name = g_strdup_printf("standin-%s-%s", f->database, target);
        signal_process(r, name, f->signal);
        g_free(name);
    }
    else if (strcmp(f->kind, "signal") == 0) {
        signal_process(r, target, f->signal);
    }
    else {
        const char *address = member_command_address(r, f->database, target);
        if (address != NULL) {
            post_fault(r, address, f->body);
        }
    }
    if (r->first_fault_us == 0) {
        r->first_fault_us = now_us();
    }
    f->done = TRUE;
    g_free(target);
}

/* ---- main loop ---- */

/* Sends the requests whose arrival time has come.  The gaps between arrivals
 * are exponentially distributed (a Poisson process per team); arrivals outside
 * the team's time range are skipped. */
static void
send_due_requests(Run *r, uint64_t at_us)
{
    double at_s = at_us < r->measure_start_us
                      ? 0
                      : (double)(at_us - r->measure_start_us) / 1000000;
    for (guint i = 0; i < r->teams->len; i++) {
        TeamRun *t = g_ptr_array_index(r->teams, i);
        while (t->next_arrival_us <= at_us) {
            double gap =
                -log(1 - g_rand_double(r->rand)) / t->load->offered_per_s;
            t->next_arrival_us += (uint64_t)(gap * 1000000) + 1;
            if (at_s >= t->load->begin_s && at_s < t->load->end_s) {
                send_request(r, t, i);
            }
        }
    }
}

/* Injects the faults whose time has come. */
static void
inject_due_faults(Run *r, uint64_t at_us)
{
    for (guint i = 0; i < r->experiment->faults->len; i++) {
        Fault *f = g_ptr_array_index(r->experiment->faults, i);
        if (!f->done &&
            at_us >= r->measure_start_us + (uint64_t)(f->at_s * 1000000)) {
            inject_fault(r, f);
        }
    }
}

/* Runs health checks, requests and faults.  After the end of the measured
 * part, stops the loop once no request is in flight or kMaxDrainS has
 * elapsed. */
static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    Run *r = ctx;
    uint64_t at_us = now_us();
    (void)fd;
    (void)what;
    if (at_us >= r->next_health_check_us) {
        r->next_health_check_us = at_us + kHealthIntervalUs;
        check_health(r);
    }
    if (at_us < r->end_us) {
        send_due_requests(r, at_us);
        inject_due_faults(r, at_us);
        return;
    }
    if (r->in_flight == 0 ||
        at_us > r->end_us + (uint64_t)kMaxDrainS * 1000000) {
        event_base_loopbreak(r->base);
    }
}

/* Runs the experiment to its end. run_start must have succeeded before. */
void
run_loop(Run *r)
{
    struct timeval interval = {0, kTickIntervalUs};
    struct event *tick = event_new(r->base, -1, EV_PERSIST, on_tick, r);
    event_add(tick, &interval);
    event_base_dispatch(r->base);
    event_free(tick);
}

/* ---- start ---- */

static void
record_free(void *data)
{
    Record *r = data;
    g_free(r->write_id);
    g_free(r);
}

static void
team_run_free(void *data)
{
    TeamRun *t = data;
    g_ptr_array_unref(t->sessions);
    g_free(t->key);
    g_free(t);
}

/* Registers a new key for a team.  The key is made of two random operation
 * ids. */
static gboolean
issue_key(Run *r, TeamRun *t, GError **error)
{
    char *operation = client_new_operation_id();
    char *other = client_new_operation_id();
    t->key = g_strdup_printf("sw_%s%s", operation, other);
    json_t *body = json_pack("{s:s, s:s, s:s}", "team", t->load->name, "key",
                             t->key, "actor", "load");
    Reply reply = client_post(&r->client, "/admin/v1/keys", body, operation);
    gboolean ok = reply.status == 200;
    if (!ok) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "no key issued to team %s: %s", t->load->name,
                    json_text_or(reply.body, "detail", "no response"));
    }
    json_decref(reply.body);
    json_decref(body);
    g_free(operation);
    g_free(other);
    return ok;
}

/* Adds an entry instance, given as host:port. */
static void
add_entry(Run *r, const char *address)
{
    char **parts = g_strsplit(address, ":", 2);
    EntryLink *l = g_new0(EntryLink, 1);
    l->run = r;
    l->host = g_strdup(parts[0]);
    l->port = (uint16_t)g_ascii_strtoull(parts[1], NULL, 10);
    l->address = g_strdup(address);
    l->healthy = TRUE;
    g_queue_init(&l->idle);
    g_ptr_array_add(r->entries, l);
    g_strfreev(parts);
}

/* Prepares a run: issues a key to every team, waits kKeyPropagationUs for the
 * keys to reach the entry instances, and sets the times of the run and of the
 * first arrivals.  The run must have its experiment, endpoints and client.
 * Returns FALSE and sets error when a key cannot be issued. */
gboolean
run_start(Run *r, GError **error)
{
    enum { kKeyPropagationUs = 600000 };
    size_t i;
    json_t *entry;
    const Experiment *x = r->experiment;

    r->base = event_base_new();
    r->rand = g_rand_new_with_seed(x->seed);
    r->run_id = client_new_operation_id();
    r->run_id[8] = '\0';
    r->failure_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->entries = g_ptr_array_new();
    r->teams = g_ptr_array_new_with_free_func(team_run_free);
    r->records = g_ptr_array_new_with_free_func(record_free);
    r->second_count = (uint32_t)x->duration_s + 1;
    r->seconds = g_new0(SecondCounts, r->second_count);
    json_array_foreach(json_object_get(r->endpoints, "entries"), i, entry)
    {
        add_entry(r, json_text_or(entry, "address", ""));
    }
    for (guint k = 0; k < x->teams->len; k++) {
        TeamRun *t = g_new0(TeamRun, 1);
        t->load = g_ptr_array_index(x->teams, k);
        t->sessions = g_ptr_array_new_with_free_func(session_free);
        g_ptr_array_add(r->teams, t);
        if (!issue_key(r, t, error)) {
            return FALSE;
        }
    }
    g_usleep(kKeyPropagationUs);
    uint64_t start_us = now_us();
    r->measure_start_us = start_us + (uint64_t)(x->warmup_s * 1000000);
    r->end_us = r->measure_start_us + (uint64_t)(x->duration_s * 1000000);
    for (guint k = 0; k < r->teams->len; k++) {
        ((TeamRun *)g_ptr_array_index(r->teams, k))->next_arrival_us =
            start_us;
    }
    return TRUE;
}

/* Frees the records, teams and counters of the run. */
void
run_clear(Run *r)
{
    g_hash_table_destroy(r->failure_counts);
    g_ptr_array_unref(r->teams);
    g_ptr_array_unref(r->records);
    g_free(r->seconds);
    g_free(r->run_id);
    g_rand_free(r->rand);
}
