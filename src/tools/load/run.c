#include "run.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <math.h>
#include <string.h>

#include "core/schema.h"
#include "offered.h"

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
    int32_t domain;   /* index in the run's domains */
} EntryLink;

/* What a request in flight is part of. */
typedef enum {
    kStepSingle, /* a request of its own */
    kStepOpen,   /* of a transaction: open, run, left idle, commit */
    kStepRun,
    kStepIdle,
    kStepCommit,
} Step;

/* One request that has no result yet. */
typedef struct {
    Run *run;
    TeamRun *team;
    EntryLink *link;
    struct evhttp_connection *connection;
    LoadSession *session;
    const Kind *kind;
    Record *record;
    char *sent_id; /* write id that the request stores or looks up */
    Step step;
    char *transaction;   /* id, from kStepRun on */
    struct event *timer; /* of giving up, or of the idle time; or NULL */
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

/* Returns a random healthy entry instance of a failure domain, or any other
 * one when the domain has none. */
static EntryLink *
pick_entry_of(Run *r, int32_t domain)
{
    guint start = (guint)g_rand_int_range(r->rand, 0, (gint)r->entries->len);
    for (guint i = 0; i < r->entries->len; i++) {
        EntryLink *l =
            g_ptr_array_index(r->entries, (start + i) % r->entries->len);
        if (l->healthy && l->domain == domain) {
            return l;
        }
    }
    return pick_entry(r, -1);
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
        if (f->kind->reads_own_write && strcmp(green, f->sent_id) != 0) {
            f->team->foreign_rows++;
        }
        found = found || strcmp(green, f->sent_id) == 0;
    }
    f->team->reads++;
    if (f->kind->reads_own_write && f->session->last_write_id != NULL &&
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

/* Counts a response for its team; requests of the warm-up are left out. */
static void
count_outcome(InFlightRequest *f)
{
    TeamRun *t = f->team;
    Record *record = f->record;

    if (!record->measured) {
        return;
    }
    switch (record->outcome) {
    case kOutcomeDone:
        t->done++;
        histogram_observe(&t->latency, record->response_us - record->sent_us -
                                           record->idle_us);
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
    case kOutcomeAbandoned:
    case kOutcomeNotSent:
        break; /* reported by classes.c only */
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

/* Records the outcome of a request and frees it.  status and body are those of
 * the last response; status is zero if there was none. */
static void
finish_request(InFlightRequest *f, Outcome outcome, int status,
               const json_t *body)
{
    f->record->response_us = now_us();
    f->record->outcome = outcome;
    count_outcome(f);
    if (f->record->measured && outcome != kOutcomeDone &&
        outcome != kOutcomeAbandoned) {
        count_reason(f->run, status, body);
    }
    f->session->busy = FALSE;
    f->run->in_flight--;
    if (f->timer != NULL) {
        event_free(f->timer);
    }
    g_free(f->transaction);
    g_free(f->sent_id);
    g_free(f);
}

/* ---- requests ---- */

/* Picks a kind of the team's mix at random, by weight. */
static uint32_t
pick_kind(Run *r, const TeamLoad *t)
{
    double total = 0;
    for (uint32_t i = 0; i < t->mix_count; i++) {
        total += t->mix[i].weight;
    }
    double at = g_rand_double(r->rand) * total;
    for (uint32_t i = 0; i < t->mix_count; i++) {
        at -= t->mix[i].weight;
        if (at < 0) {
            return t->mix[i].kind;
        }
    }
    return t->mix[0].kind;
}

/* Returns the arguments of the demo's statements; the caller owns them. */
static json_t *
make_args(const Kind *k, const char *write_id)
{
    if (k->write) {
        return json_pack("{s:s, s:s, s:s}", "green", write_id, "day", "d1",
                         "note", "n");
    }
    if (k->reads_own_write) {
        return json_pack("{s:s}", "green", write_id);
    }
    return json_pack("{s:s}", "day", "d0");
}

/* Returns the JSON body of a request's present step; the caller frees it. */
static char *
make_body(const InFlightRequest *f)
{
    json_t *body = json_object();
    if (f->step == kStepSingle || f->step == kStepRun) {
        json_object_set_new(body, "args", make_args(f->kind, f->sent_id));
    }
    if (f->step == kStepRun) {
        json_object_set_new(body, "statement",
                            json_string(f->kind->statement));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/* Returns the path of a request's present step; the caller frees it. */
static char *
make_path(const InFlightRequest *f)
{
    const char *service = f->session->service;
    switch (f->step) {
    case kStepOpen:
        return g_strdup_printf("/v1/%s/transactions/open", service);
    case kStepRun:
        return g_strdup_printf("/v1/%s/transactions/%s/run", service,
                               f->transaction);
    case kStepIdle:
    case kStepCommit:
        return g_strdup_printf("/v1/%s/transactions/%s/commit", service,
                               f->transaction);
    case kStepSingle:
        break;
    }
    return g_strdup_printf("/v1/%s/%s", service, f->kind->statement);
}

/* Adds the credentials, the time limit, the session token, and for a write
 * outside of transactions the idempotency key. */
static void
add_headers(const InFlightRequest *f, struct evhttp_request *request)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(request);
    char *authorization = g_strconcat("Bearer ", f->team->key, NULL);

    evhttp_add_header(h, "Host", f->link->address);
    evhttp_add_header(h, "Authorization", authorization);
    if (f->kind->timeout_ms != 0) {
        char *timeout = g_strdup_printf("%u", f->kind->timeout_ms);
        evhttp_add_header(h, "Request-Timeout-Ms", timeout);
        g_free(timeout);
    }
    if (f->session->token != NULL) {
        evhttp_add_header(h, "Session-Token", f->session->token);
    }
    if (f->kind->write && f->step == kStepSingle) {
        evhttp_add_header(h, "Idempotency-Key", f->record->write_id);
    }
    g_free(authorization);
}

static void on_response(struct evhttp_request *request, void *ctx);

/* Sends the present step of a request over its connection. */
static void
send_step(InFlightRequest *f)
{
    struct evhttp_request *request = evhttp_request_new(on_response, f);
    char *body = make_body(f);
    char *path = make_path(f);

    add_headers(f, request);
    evbuffer_add(evhttp_request_get_output_buffer(request), body,
                 strlen(body));
    evhttp_make_request(f->connection, request, EVHTTP_REQ_POST, path);
    g_free(path);
    free(body);
}

/* Commits a transaction after its idle time, through any entry instance of the
 * caller's failure domain. */
static void
on_idle_end(evutil_socket_t fd, short what, void *ctx)
{
    InFlightRequest *f = ctx;
    (void)fd;
    (void)what;
    f->step = kStepCommit;
    f->link = pick_entry_of(f->run, f->record->domain);
    f->connection = acquire_connection(f->link);
    if (f->connection == NULL) {
        finish_request(f, kOutcomeUnknown, 0, NULL);
        return;
    }
    send_step(f);
}

/* Closes the connection of a request whose caller no longer waits. */
static void
on_give_up(evutil_socket_t fd, short what, void *ctx)
{
    InFlightRequest *f = ctx;
    (void)fd;
    (void)what;
    f->link->count--;
    evhttp_connection_free(f->connection);
    finish_request(f, kOutcomeAbandoned, 0, NULL);
}

/* Starts the timer of a request. */
static void
start_timer(InFlightRequest *f, event_callback_fn callback, uint32_t after_ms)
{
    struct timeval after = {(time_t)(after_ms / 1000),
                            (suseconds_t)(after_ms % 1000) * 1000};
    f->timer = evtimer_new(f->run->base, callback, f);
    event_add(f->timer, &after);
}

/* Takes the next step of a transaction after a successful response.  Returns
 * FALSE if there is none. */
static gboolean
continue_transaction(InFlightRequest *f, const json_t *body)
{
    switch (f->step) {
    case kStepOpen:
        f->transaction = g_strdup(json_text_or(body, "transaction", ""));
        f->step = kStepRun;
        f->link = pick_entry_of(f->run, f->record->domain);
        f->connection = acquire_connection(f->link);
        if (f->connection == NULL) {
            finish_request(f, kOutcomeUnknown, 0, NULL);
            return TRUE;
        }
        send_step(f);
        return TRUE;
    case kStepRun:
        f->step = kStepIdle;
        f->record->idle_us = (uint64_t)f->kind->idle_ms * 1000;
        start_timer(f, on_idle_end, f->kind->idle_ms);
        return TRUE;
    case kStepIdle:
    case kStepCommit:
    case kStepSingle:
        break;
    }
    return FALSE;
}

/* Checks the response to a request that is done, and updates its session. */
static void
apply_response(InFlightRequest *f, struct evhttp_request *request,
               const json_t *body)
{
    if (f->kind->write) {
        g_free(f->session->last_write_id);
        f->session->last_write_id = g_strdup(f->record->write_id);
    }
    else if (f->step == kStepSingle) {
        check_read(f, body);
    }
    store_session_token(f, request);
}

/* Handles the response to a request; request is NULL when there was none.
 * Frees the in-flight request unless its transaction goes on. */
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
    release_connection(f->link, f->connection, reusable);
    Outcome outcome = outcome_of(status, body);
    if (outcome != kOutcomeDone || !continue_transaction(f, body)) {
        if (outcome == kOutcomeDone) {
            apply_response(f, request, body);
        }
        finish_request(f, outcome, status, body);
    }
    json_decref(body);
}

/* Returns the entry instance for a team's next request.  Its failure domain is
 * the preferred one's, or follows the waves; without either, any instance gets
 * the request, and its domain is the caller's. */
static EntryLink *
pick_caller(Run *r, const TeamRun *t, double at_s, int32_t *domain)
{
    const Experiment *x = r->experiment;
    EntryLink *l;

    if (t->load->entry >= 0 || x->waves->len == 0) {
        l = pick_entry(r, t->load->entry);
        *domain = t->domain >= 0 ? t->domain : l->domain;
        return l;
    }
    *domain = (int32_t)offered_pick_domain(x, r->domains, at_s,
                                           g_rand_double(r->rand));
    return pick_entry_of(r, *domain);
}

/* Returns TRUE for the given share of calls, at random. */
static gboolean
draw_percent(Run *r, uint32_t percent)
{
    return percent > 0 && g_rand_int_range(r->rand, 0, 100) < (gint32)percent;
}

/* Sends one request of a team.  At the connection limit the request is dropped
 * and counted in dropped_requests. */
static void
send_request(Run *r, TeamRun *t, uint32_t team, double at_s)
{
    int32_t domain;
    EntryLink *l = pick_caller(r, t, at_s, &domain);
    struct evhttp_connection *connection = acquire_connection(l);
    uint32_t kind = pick_kind(r, t->load);
    const Kind *k = g_ptr_array_index(r->experiment->kinds, kind);
    uint64_t sent_us = now_us();
    gboolean measured = sent_us >= r->measure_start_us;
    Record *record = g_new0(Record, 1);

    *record = (Record){.team = team,
                       .kind = kind,
                       .domain = domain,
                       .write = k->write,
                       .measured = measured,
                       .sent_us = sent_us,
                       .outcome = kOutcomeUnknown};
    g_ptr_array_add(r->records, record);
    if (measured) {
        t->offered++;
    }
    if (connection == NULL) {
        record->outcome = kOutcomeNotSent;
        r->dropped_requests++;
        return;
    }
    InFlightRequest *f = g_new0(InFlightRequest, 1);
    *f = (InFlightRequest){.run = r,
                           .team = t,
                           .link = l,
                           .connection = connection,
                           .session = acquire_session(r, t),
                           .kind = k,
                           .record = record,
                           .step = kStepSingle};
    if (record->write) {
        record->write_id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, r->run_id,
                                           ++r->write_count);
    }
    f->sent_id = g_strdup(record->write ? record->write_id
                          : f->session->last_write_id == NULL
                              ? "none"
                              : f->session->last_write_id);
    record->service = f->session->service;
    r->in_flight++;
    if (draw_percent(r, k->idle_percent)) {
        f->step = kStepOpen;
    }
    else if (draw_percent(r, k->give_up_percent)) {
        start_timer(f, on_give_up, k->give_up_after_ms);
    }
    send_step(f);
}

/* ---- main loop ---- */

/* Sends the requests whose arrival time has come.  The arrivals of a team are
 * a Poisson process of its peak rate; each is kept with the probability that
 * makes the rate the offered one (thinning, Lewis and Shedler 1979).  In the
 * warm-up the load is that of the start of the measured part. */
static void
send_due_requests(Run *r, uint64_t at_us)
{
    double at_s = at_us < r->measure_start_us
                      ? 0
                      : (double)(at_us - r->measure_start_us) / 1000000;
    for (guint i = 0; i < r->teams->len; i++) {
        TeamRun *t = g_ptr_array_index(r->teams, i);
        double now_per_s =
            offered_per_s(r->experiment, t->load, r->domains, t->domain, at_s);
        while (t->next_arrival_us <= at_us) {
            double gap = -log(1 - g_rand_double(r->rand)) / t->peak_per_s;
            t->next_arrival_us += (uint64_t)(gap * 1000000) + 1;
            if (now_per_s >= t->peak_per_s ||
                g_rand_double(r->rand) * t->peak_per_s < now_per_s) {
                send_request(r, t, i, at_s);
            }
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
        faults_inject_due(r, at_us);
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

/* Returns the index of a failure domain, which is added if it is new. */
static int32_t
domain_index(Run *r, const char *name)
{
    guint i;
    if (!g_ptr_array_find_with_equal_func(r->domains, name, g_str_equal, &i)) {
        g_ptr_array_add(r->domains, g_strdup(name));
        i = r->domains->len - 1;
    }
    return (int32_t)i;
}

/* Adds an entry instance, given as host:port, and its failure domain. */
static void
add_entry(Run *r, const char *address, const char *domain)
{
    char **parts = g_strsplit(address, ":", 2);
    EntryLink *l = g_new0(EntryLink, 1);
    l->run = r;
    l->host = g_strdup(parts[0]);
    l->port = (uint16_t)g_ascii_strtoull(parts[1], NULL, 10);
    l->address = g_strdup(address);
    l->healthy = TRUE;
    l->domain = domain_index(r, domain);
    g_queue_init(&l->idle);
    g_ptr_array_add(r->entries, l);
    g_strfreev(parts);
}

/* Returns the failure domain of a team's preferred entry instance, -1 if it
 * has none. */
static int32_t
preferred_domain(const Run *r, const TeamLoad *t)
{
    if (t->entry < 0) {
        return -1;
    }
    const EntryLink *l =
        g_ptr_array_index(r->entries, (guint)t->entry % r->entries->len);
    return l->domain;
}

/* Prepares a run: issues a key to every team, waits kKeyPropagationUs for the
 * keys to reach the entry instances, and sets the times of the run and of the
 * first arrivals.  The run must have its experiment, endpoints and client.
 * Returns FALSE and sets error when a key cannot be issued, or when the fleet
 * lacks what the experiment needs. */
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
    r->domains = g_ptr_array_new_with_free_func(g_free);
    json_array_foreach(json_object_get(r->endpoints, "entries"), i, entry)
    {
        add_entry(r, json_text_or(entry, "address", ""),
                  json_text_or(entry, "failure_domain", "unknown"));
    }
    if (!fleet_check(r, error)) {
        return FALSE;
    }
    for (guint k = 0; k < x->teams->len; k++) {
        TeamRun *t = g_new0(TeamRun, 1);
        t->load = g_ptr_array_index(x->teams, k);
        t->sessions = g_ptr_array_new_with_free_func(session_free);
        t->domain = preferred_domain(r, t->load);
        t->peak_per_s = offered_peak_per_s(x, t->load, r->domains, t->domain);
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
    g_ptr_array_unref(r->domains);
    g_free(r->run_id);
    g_rand_free(r->rand);
}
