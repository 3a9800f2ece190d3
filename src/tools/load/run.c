#include "run.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <math.h>
#include <signal.h>
#include <string.h>

#include "core/schema.h"

/* The open-loop driver: arrivals keep their times whatever the answers. */

enum {
    kTickUs = 1000,
    kHealthUs = 200000,
    kConnectionsMax = 400, /* to one entry instance */
    kTimeoutS = 8,
    kDrainS = 9,
};

/* Connections to one entry instance. */
typedef struct {
    Run *run;
    char *host;
    uint16_t port;
    GQueue idle; /* evhttp_connection */
    gboolean healthy;
    uint32_t count;
    char *address;
} EntryLink;

/* One request on its way. */
typedef struct {
    Run *run;
    TeamRun *team;
    EntryLink *link;
    struct evhttp_connection *connection;
    LoadSession *session;
    const Operation *operation;
    Record *record;
    char *asked; /* the mark a read asks for */
} Flight;

static uint64_t
now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

/* ---- connections ---- */

static struct evhttp_connection *
take_connection(EntryLink *l)
{
    struct evhttp_connection *c = g_queue_pop_head(&l->idle);
    if (c != NULL) {
        return c;
    }
    if (l->count >= kConnectionsMax) {
        return NULL;
    }
    l->count++;
    c = evhttp_connection_base_new(l->run->base, NULL, l->host, l->port);
    evhttp_connection_set_timeout(c, kTimeoutS);
    evhttp_connection_set_retries(c, 0);
    return c;
}

static void
give_connection(EntryLink *l, struct evhttp_connection *c, gboolean good)
{
    if (good) {
        g_queue_push_head(&l->idle, c);
        return;
    }
    l->count--;
    evhttp_connection_free_on_completion(c);
}

/* ---- the balancer's health checks ---- */

static void
on_health(struct evhttp_request *request, void *ctx)
{
    EntryLink *l = ctx;
    l->healthy =
        request != NULL && evhttp_request_get_response_code(request) == 200;
}

/* Asks every entry instance whether it takes requests, as the platform's
 * balancer does. */
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

/* Returns the instance for a request: the wanted one, or any that is
 * healthy. */
static EntryLink *
pick_entry(Run *r, int32_t wanted)
{
    guint start = wanted >= 0 ? (guint)wanted % r->entries->len
                              : (guint)g_rand_int_range(r->rand, 0,
                                                        (gint)r->entries->len);
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

static LoadSession *
take_session(Run *r, TeamRun *t)
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
    g_free(s->last_mark);
    g_free(s);
}

/* ---- answers ---- */

static void
check_read(Flight *f, const json_t *body)
{
    const json_t *rows = json_object_get(body, "rows");
    gboolean found = FALSE;
    size_t i;
    json_t *row;

    json_array_foreach((json_t *)rows, i, row)
    {
        const char *green = json_text_or(row, "green", "");
        if (f->operation->unstale && strcmp(green, f->asked) != 0) {
            f->team->foreign_rows++;
        }
        found = found || strcmp(green, f->asked) == 0;
    }
    f->team->reads++;
    if (f->operation->unstale && f->session->last_mark != NULL &&
        strcmp(f->session->last_mark, f->asked) == 0 && !found) {
        f->team->broken_reads++;
    }
}

static void
take_token(Flight *f, struct evhttp_request *request)
{
    const char *token = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Session-Token");
    if (token != NULL) {
        g_free(f->session->token);
        f->session->token = g_strdup(token);
    }
}

static Outcome
outcome_of(int status, const json_t *body)
{
    if (status == 200) {
        return kOutcomeDone;
    }
    if (status == 429) {
        return kOutcomeRate;
    }
    if (strcmp(json_text_or(body, "outcome", ""), "not_run") == 0) {
        return kOutcomeNotRun;
    }
    return kOutcomeUnknown;
}

static void
count_second(Run *r, const Record *record)
{
    if (record->answered_us < r->began_us) {
        return;
    }
    uint64_t second = (record->answered_us - r->began_us) / 1000000;
    if (second >= r->second_count) {
        return;
    }
    Second *s = &r->seconds[second];
    if (record->outcome != kOutcomeDone) {
        s->refused++;
    }
    else if (record->write) {
        s->writes_done++;
    }
    else {
        s->reads_done++;
    }
}

static void
count_outcome(Flight *f)
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
        histogram_observe(&t->latency, record->answered_us - record->sent_us);
        break;
    case kOutcomeNotRun:
        t->not_run++;
        break;
    case kOutcomeRate:
        t->rate_refused++;
        break;
    case kOutcomeUnknown:
        t->unknown++;
        break;
    }
}

static void
count_reason(Run *r, int status, const json_t *body)
{
    const char *type = json_text_or(body, "type", "no-answer");
    const char *last = strrchr(type, ':');
    char *name =
        g_strdup_printf("%d %s", status, last == NULL ? type : last + 1);
    gsize count = GPOINTER_TO_SIZE(g_hash_table_lookup(r->reasons, name));
    g_hash_table_insert(r->reasons, name, GSIZE_TO_POINTER(count + 1));
}

static void
on_answer(struct evhttp_request *request, void *ctx)
{
    Flight *f = ctx;
    int status =
        request == NULL ? 0 : evhttp_request_get_response_code(request);
    json_t *body = NULL;
    gboolean good = status != 0;

    if (status != 0) {
        struct evbuffer *in = evhttp_request_get_input_buffer(request);
        size_t size = evbuffer_get_length(in);
        body =
            json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);
        const char *close = evhttp_find_header(
            evhttp_request_get_input_headers(request), "Connection");
        good = close == NULL || g_ascii_strcasecmp(close, "close") != 0;
    }
    f->record->answered_us = now_us();
    f->record->outcome = outcome_of(status, body);
    if (f->record->outcome == kOutcomeDone) {
        if (f->operation->write) {
            g_free(f->session->last_mark);
            f->session->last_mark = g_strdup(f->record->mark);
        }
        else {
            check_read(f, body);
        }
        take_token(f, request);
    }
    count_outcome(f);
    if (f->record->measured && f->record->outcome != kOutcomeDone) {
        count_reason(f->run, status, body);
    }
    f->session->busy = FALSE;
    give_connection(f->link, f->connection, good);
    f->run->open--;
    json_decref(body);
    g_free(f->asked);
    g_free(f);
}

/* ---- requests ---- */

static const Operation *
pick_operation(Run *r, const TeamLoad *t)
{
    double total = 0;
    for (uint32_t i = 0; i < t->operation_count; i++) {
        total += t->operations[i].share;
    }
    double at = g_rand_double(r->rand) * total;
    for (uint32_t i = 0; i < t->operation_count; i++) {
        at -= t->operations[i].share;
        if (at < 0) {
            return &t->operations[i];
        }
    }
    return &t->operations[0];
}

static char *
make_body(const Operation *o, const char *mark)
{
    if (o->write) {
        return g_strdup_printf("{\"args\":{\"green\":\"%s\",\"day\":\"d1\","
                               "\"note\":\"n\"}}",
                               mark);
    }
    if (o->unstale) {
        return g_strdup_printf("{\"args\":{\"green\":\"%s\"}}", mark);
    }
    return g_strdup("{\"args\":{\"day\":\"d0\"}}");
}

static void
add_headers(const Flight *f, struct evhttp_request *request)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(request);
    char *authorization = g_strconcat("Bearer ", f->team->key, NULL);

    evhttp_add_header(h, "Host", f->link->address);
    evhttp_add_header(h, "Authorization", authorization);
    if (f->session->token != NULL) {
        evhttp_add_header(h, "Session-Token", f->session->token);
    }
    if (f->operation->write) {
        evhttp_add_header(h, "Idempotency-Key", f->record->mark);
    }
    g_free(authorization);
}

static void
send_request(Run *r, TeamRun *t, uint32_t team)
{
    EntryLink *l = pick_entry(r, t->load->entry);
    struct evhttp_connection *connection = take_connection(l);
    uint64_t sent_us = now_us();
    gboolean measured = sent_us >= r->began_us;

    if (measured) {
        t->offered++;
    }
    if (connection == NULL) {
        r->client_full++;
        return;
    }
    Flight *f = g_new0(Flight, 1);
    Record *record = g_new0(Record, 1);
    *f = (Flight){r,
                  t,
                  l,
                  connection,
                  take_session(r, t),
                  pick_operation(r, t->load),
                  record,
                  NULL};
    *record = (Record){.team = team,
                       .write = f->operation->write,
                       .measured = measured,
                       .sent_us = sent_us,
                       .outcome = kOutcomeUnknown};
    if (record->write) {
        record->mark =
            g_strdup_printf("%s-%" G_GUINT64_FORMAT, r->run_id, ++r->marks);
    }
    f->asked =
        g_strdup(record->write                   ? record->mark
                 : f->session->last_mark == NULL ? "none"
                                                 : f->session->last_mark);
    record->service = f->session->service;
    g_ptr_array_add(r->records, record);
    struct evhttp_request *request = evhttp_request_new(on_answer, f);
    add_headers(f, request);
    char *body = make_body(f->operation, f->asked);
    evbuffer_add(evhttp_request_get_output_buffer(request), body,
                 strlen(body));
    g_free(body);
    char *path = g_strdup_printf("/v1/%s/%s", f->session->service,
                                 f->operation->statement);
    r->open++;
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, path);
    g_free(path);
}

/* ---- faults ---- */

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

/* Has the stand-ins answer at once, for the checks after a run. */
void
run_speed_up(Run *r)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(r->endpoints, "standins"), i, s)
    {
        post_fault(r, json_text_or(s, "faults", ""), "{\"service_us\":0}");
    }
}

static const char *
member_address(Run *r, const char *database, const char *member)
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

static char *
present_primary(Run *r, const char *database)
{
    char *path = g_strdup_printf("/admin/v1/resources/primary/%s", database);
    Reply reply = client_get(&r->client, path);
    char *name = g_strdup(
        json_text_or(json_object_get(reply.body, "spec"), "member", "m1"));
    json_decref(reply.body);
    g_free(path);
    return name;
}

static void
signal_process(Run *r, const char *name, int number)
{
    const json_t *pids = json_object_get(r->endpoints, "pids");
    pid_t pid = (pid_t)json_integer_value(json_object_get(pids, name));
    if (pid > 1) {
        kill(pid, number);
    }
}

static void
do_fault(Run *r, Fault *f)
{
    gboolean primary = strcmp(f->target, "primary") == 0;
    char *target =
        primary ? present_primary(r, f->database) : g_strdup(f->target);

    if (strcmp(f->kind, "signal") == 0 && primary) {
        char *name = g_strdup_printf("standin-%s-%s", f->database, target);
        signal_process(r, name, f->signal);
        g_free(name);
    }
    else if (strcmp(f->kind, "signal") == 0) {
        signal_process(r, target, f->signal);
    }
    else {
        const char *address = member_address(r, f->database, target);
        if (address != NULL) {
            post_fault(r, address, f->body);
        }
    }
    if (r->fault_us == 0) {
        r->fault_us = now_us();
    }
    f->done = TRUE;
    g_free(target);
}

/* ---- the loop ---- */

static void
arrivals(Run *r, uint64_t at_us)
{
    double at_s =
        at_us < r->began_us ? 0 : (double)(at_us - r->began_us) / 1000000;
    for (guint i = 0; i < r->teams->len; i++) {
        TeamRun *t = g_ptr_array_index(r->teams, i);
        while (t->next_us <= at_us) {
            double gap =
                -log(1 - g_rand_double(r->rand)) / t->load->offered_per_s;
            t->next_us += (uint64_t)(gap * 1000000) + 1;
            if (at_s >= t->load->begin_s && at_s < t->load->end_s) {
                send_request(r, t, i);
            }
        }
    }
}

static void
faults_due(Run *r, uint64_t at_us)
{
    for (guint i = 0; i < r->experiment->faults->len; i++) {
        Fault *f = g_ptr_array_index(r->experiment->faults, i);
        if (!f->done && at_us >= r->began_us + (uint64_t)(f->at_s * 1000000)) {
            do_fault(r, f);
        }
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *ctx)
{
    Run *r = ctx;
    uint64_t at_us = now_us();
    (void)fd;
    (void)what;
    if (at_us >= r->health_due_us) {
        r->health_due_us = at_us + kHealthUs;
        check_health(r);
    }
    if (at_us < r->end_us) {
        arrivals(r, at_us);
        faults_due(r, at_us);
        return;
    }
    if (r->open == 0 || at_us > r->end_us + (uint64_t)kDrainS * 1000000) {
        event_base_loopbreak(r->base);
    }
}

/* Runs the experiment to its end. */
void
run_loop(Run *r)
{
    struct timeval every = {0, kTickUs};
    struct event *tick = event_new(r->base, -1, EV_PERSIST, on_tick, r);
    event_add(tick, &every);
    event_base_dispatch(r->base);
    event_free(tick);
}

/* ---- start ---- */

static void
record_free(void *data)
{
    Record *r = data;
    g_free(r->mark);
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
                    "no key for team %s: %s", t->load->name,
                    json_text_or(reply.body, "detail", "no answer"));
    }
    json_decref(reply.body);
    json_decref(body);
    g_free(operation);
    g_free(other);
    return ok;
}

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

/* Prepares a run: keys for the teams, the clock, the arrivals. */
gboolean
run_start(Run *r, GError **error)
{
    enum { kSettleUs = 600000 };
    size_t i;
    json_t *entry;
    const Experiment *x = r->experiment;

    r->base = event_base_new();
    r->rand = g_rand_new_with_seed(x->seed);
    r->run_id = client_new_operation_id();
    r->run_id[8] = '\0';
    r->reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->entries = g_ptr_array_new();
    r->teams = g_ptr_array_new_with_free_func(team_run_free);
    r->records = g_ptr_array_new_with_free_func(record_free);
    r->second_count = (uint32_t)x->duration_s + 1;
    r->seconds = g_new0(Second, r->second_count);
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
    g_usleep(kSettleUs);
    uint64_t start_us = now_us();
    r->began_us = start_us + (uint64_t)(x->warmup_s * 1000000);
    r->end_us = r->began_us + (uint64_t)(x->duration_s * 1000000);
    for (guint k = 0; k < r->teams->len; k++) {
        ((TeamRun *)g_ptr_array_index(r->teams, k))->next_us = start_us;
    }
    return TRUE;
}

/* Frees what the run holds. */
void
run_clear(Run *r)
{
    g_hash_table_destroy(r->reasons);
    g_ptr_array_unref(r->teams);
    g_ptr_array_unref(r->records);
    g_free(r->seconds);
    g_free(r->run_id);
    g_rand_free(r->rand);
}
