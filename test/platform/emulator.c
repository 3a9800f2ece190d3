#define _GNU_SOURCE /* prlimit */

#include "emulator.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    kOrderTimeoutUs = 5000000,
    kHeartbeatIntervalMs = 200,
    kPromotionDelayMs = 300,  /* from the request to the change of roles */
    kRequestTimeoutMs = 4000, /* of a caller's request */
    kHttpTimeoutMs = 3000,
    kMemberSlots = 3, /* concurrent statements that a member reports */
    kDefaultRatePerS = 200,
    kBornMs = 1000, /* first run of a member */
};

/* An emulated database server. */
typedef struct {
    Emulator *e;
    uint32_t index;
    char id[16];
    char address[32];
    struct evconnlistener *listener;
    gboolean running;
    gboolean primary;
    gboolean draining;       /* reports the state "draining" */
    uint32_t term;           /* grows with each change of primary */
    uint64_t sequence;       /* of the last heartbeat */
    GPtrArray *log;          /* char *: datum of each committed write */
    GPtrArray *clients;      /* of Client */
    uint32_t statements;     /* reads, writes and commits received */
    uint32_t born;           /* start of its run, as it reports it */
    gint64 cold_until_us;    /* of its run, as it reports it */
    GArray *arrivals_us;     /* gint64: when commands of callers arrived */
    struct event *heartbeat; /* periodic timer */
} Member;

/* A connection from an entry instance to a member. */
typedef struct {
    Member *member;
    struct bufferevent *bev;
    gboolean started; /* STARTUP was received */
    gboolean in_transaction;
    gboolean failed;      /* an error occurred in the open transaction */
    GPtrArray *writes;    /* char *: data the open transaction has written */
    GHashTable *prepared; /* statement name -> "READ" or "WRITE" */
    /* Runs held_text after the statement delay. */
    struct event *delay;
    char *held_text; /* statement that is being delayed, or NULL */
} Client;

struct EmulatorCaller {
    Emulator *e;
    struct bufferevent *bev;
    GString *answer;      /* lines received since the last request */
    uint32_t ready_count; /* READY lines in answer; each ends one answer */
    gboolean closed;      /* by the entry instance */
    gint64 closed_us;     /* when that was noticed */
    void (*handler)(void *ctx); /* called after lines have arrived, or NULL */
    void *handler_ctx;
};

struct Emulator {
    struct event_base *base;
    char *folder;
    const char *limits; /* "limits" in boot files, JSON text; not owned */
    const char *zones;  /* "zones" in boot files, as limits */
    Member members[kEmulatorMembers];
    struct evhttp *platform_http; /* receives promotion requests */
    char platform_address[32];
    char control_addresses[kEmulatorControls][32]; /* serve HTTP */
    char caller_addresses[kEmulatorEntries][32];   /* accept callers */
    char probe_addresses[kEmulatorEntries][32];    /* serve /readyz */
    pid_t control_pids[kEmulatorControls];         /* zero: not running */
    pid_t entry_pids[kEmulatorEntries];            /* zero: not running */
    gboolean disk_full[kEmulatorPrograms];         /* files cannot grow */
    GPtrArray *connections;                        /* EmulatorCaller, owned */
    gboolean lose_next_answer;
    uint32_t promotion_count;
    uint32_t statements_after_drain; /* started while the member drained */
    uint32_t statement_delay_ms;     /* of each read, write and commit */
    uint32_t rate_per_s;             /* of the team, in configurations */
    GHashTable *received_ids;        /* of statements that reached a member */
};

/* ---- time ---- */

/* Ends the event loop when the time of emulator_run_for has elapsed. */
static void
on_run_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

/* Runs the event loop for at most duration_ms; returns earlier when a
 * caller's connection receives data or is closed. */
void
emulator_run_for(Emulator *e, uint32_t duration_ms)
{
    struct timeval span = {duration_ms / 1000, (duration_ms % 1000) * 1000};
    struct event *end = evtimer_new(e->base, on_run_timer, e->base);

    event_add(end, &span);
    event_base_dispatch(e->base);
    event_free(end);
}

/* ---- members ---- */

/* Ends an answer with the transaction state (I idle, T open, E failed) and
 * the member's position as TERM.LENGTH. */
static void
reply_ready(Client *c)
{
    Member *m = c->member;
    evbuffer_add_printf(bufferevent_get_output(c->bev), "READY %s %u.%u\r\n",
                        c->failed           ? "E"
                        : c->in_transaction ? "T"
                                            : "I",
                        m->term, m->log->len);
}

/* Sends an error, which also fails an open transaction. */
static void
reply_error(Client *c, const char *code)
{
    evbuffer_add_printf(bufferevent_get_output(c->bev), "ERROR %s %s\r\n",
                        code, c->member->id);
    c->failed = c->in_transaction;
    reply_ready(c);
}

/* Ends an answer without an error.  Reads, writes and commits use the tag
 * "7.proof", which callers must receive unchanged; others use "-". */
static void
reply_complete(Client *c, const char *tag)
{
    evbuffer_add_printf(bufferevent_get_output(c->bev), "COMPLETE %s\r\n",
                        tag);
    reply_ready(c);
}

/* Closes and frees a connection; an open transaction is lost. */
static void
client_free(Client *c)
{
    g_ptr_array_remove_fast(c->member->clients, c);
    bufferevent_free(c->bev);
    event_free(c->delay);
    g_free(c->held_text);
    g_ptr_array_unref(c->writes);
    g_hash_table_destroy(c->prepared);
    g_free(c);
}

/* Appends a committed write to the logs of all members at once: the
 * emulated replicas never lag. */
static void
log_append(Emulator *e, const char *datum)
{
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        g_ptr_array_add(e->members[i].log, g_strdup(datum));
    }
}

/* Writes N rows of 1,000 bytes for a read of "rows-N", else none. */
static void
write_rows(Client *c, const char *key)
{
    struct evbuffer *out = bufferevent_get_output(c->bev);
    unsigned count = 0;
    char row[1001];

    memset(row, 'r', sizeof(row));
    memcpy(row, "ROW ", 4);
    memcpy(row + sizeof(row) - 3, "\r\n", 3);
    if (sscanf(key, "rows-%u", &count) == 1) {
        while (count-- > 0) {
            evbuffer_add(out, row, sizeof(row) - 1);
        }
    }
}

/* Runs a read or write.  Returns FALSE when the connection was closed and
 * the client freed, which loses the answer. */
static gboolean
run_statement(Client *c, gboolean writes, const char *datum)
{
    Emulator *e = c->member->e;

    c->member->statements++;
    if (c->member->draining && !c->in_transaction) {
        e->statements_after_drain++;
    }
    if (writes && !c->member->primary) {
        reply_error(c, "READONLY");
        return TRUE;
    }
    if (writes && c->in_transaction) {
        g_ptr_array_add(c->writes, g_strdup(datum));
    }
    else if (writes) {
        log_append(e, datum);
    }
    if (e->lose_next_answer) {
        e->lose_next_answer = FALSE;
        client_free(c);
        return FALSE;
    }
    if (!writes) {
        evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW value\r\n");
    }
    reply_complete(c, "7.proof");
    return TRUE;
}

/* Appends the writes of the open transaction to the log and ends the
 * transaction; a member that is no longer the primary refuses the writes. */
static void
run_commit(Client *c)
{
    c->member->statements++;
    if (c->writes->len > 0 && !c->member->primary) {
        reply_error(c, "READONLY");
        return;
    }
    for (guint i = 0; i < c->writes->len; i++) {
        log_append(c->member->e, g_ptr_array_index(c->writes, i));
    }
    g_ptr_array_set_size(c->writes, 0);
    c->in_transaction = FALSE;
    reply_complete(c, "7.proof");
}

/* Runs the statement of a QUERY message.  With the prefix
 * "AFTER TERM.POSITION", a member with a shorter log answers LAGGING instead.
 * Returns FALSE when the client was freed. */
static gboolean
run_query(Client *c, char *text)
{
    char **fields;
    gboolean connected = TRUE;
    Member *m = c->member;

    if (g_str_has_prefix(text, "AFTER ")) {
        char *end;
        g_ascii_strtoull(text + 6, &end, 10);
        if (g_ascii_strtoull(end + 1, &end, 10) > m->log->len) {
            reply_error(c, "LAGGING");
            return TRUE;
        }
        text = end + 1;
    }
    fields = g_strsplit(text, " ", 4);
    const char *verb = fields[0] == NULL ? "" : fields[0];
    if (strcmp(verb, "STATUS") == 0) {
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "ROW %s %u %u.%u %u 0 0 1\r\n",
                            m->primary ? "primary" : "replica", m->term,
                            m->term, m->log->len, m->term);
        reply_complete(c, "-");
    }
    else if (strcmp(verb, "BEGIN") == 0) {
        if (!m->primary && fields[1] == NULL) {
            reply_error(c, "READONLY");
        }
        else {
            c->in_transaction = TRUE;
            reply_complete(c, "-");
        }
    }
    else if (strcmp(verb, "ROLLBACK") == 0) {
        c->in_transaction = FALSE;
        c->failed = FALSE;
        g_ptr_array_set_size(c->writes, 0);
        reply_complete(c, "-");
    }
    else if (strcmp(verb, "COMMIT") == 0) {
        run_commit(c);
    }
    else if (strcmp(verb, "READ") == 0) {
        write_rows(c, fields[1] == NULL ? "" : fields[1]);
        connected = run_statement(c, FALSE, NULL);
    }
    else if (strcmp(verb, "WRITE") == 0 && g_strv_length(fields) >= 3) {
        connected = run_statement(c, TRUE, fields[2]);
    }
    else if (strcmp(verb, "PREPARE") == 0 && g_strv_length(fields) >= 4) {
        g_hash_table_replace(c->prepared, g_strdup(fields[1]),
                             g_strdup(fields[2]));
        reply_complete(c, "-");
    }
    else if (strcmp(verb, "EXECUTE") == 0 && g_strv_length(fields) >= 3) {
        const char *access = g_hash_table_lookup(c->prepared, fields[1]);
        if (access == NULL) {
            reply_error(c, "NOSTMT");
        }
        else {
            connected = run_statement(c, strcmp(access, "WRITE") == 0,
                                      fields[3] == NULL ? "" : fields[3]);
        }
    }
    else {
        if (strcmp(verb, "RESET") == 0) {
            g_hash_table_remove_all(c->prepared);
        }
        reply_complete(c, "-");
    }
    g_strfreev(fields);
    return connected;
}

/* Accepts a connection whose STARTUP message names the emulated service,
 * "orders", and this member; answers MISROUTED otherwise.  Returns TRUE: the
 * client is not freed. */
static gboolean
run_startup(Client *c, const char *line)
{
    char **fields = g_strsplit(line, " ", 4);
    gboolean valid = g_strv_length(fields) == 4 &&
                     strcmp(fields[1], "orders") == 0 &&
                     strcmp(fields[3], c->member->id) == 0;

    g_strfreev(fields);
    c->started = TRUE;
    if (valid) {
        reply_ready(c);
        return TRUE;
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "ERROR MISROUTED x\r\n");
    return TRUE;
}

/* Records the time of a command that counts in the limit of a cold server: all
 * but those of control instances. */
static void
count_arrival(Member *m, const char *text)
{
    gint64 now_us = g_get_monotonic_time();

    if (!g_str_has_prefix(text, "STATUS") &&
        !g_str_has_prefix(text, "STEPDOWN")) {
        g_array_append_val(m->arrivals_us, now_us);
    }
}

/* Runs a statement, or holds it back for the statement delay if a caller sent
 * it.  Returns FALSE when the client was freed. */
static gboolean
receive_statement(Client *c, char *line)
{
    Emulator *e = c->member->e;
    char *id = line + strlen("QUERY ");
    char *text = strchr(id, ' ');
    struct timeval delay = {0, (suseconds_t)e->statement_delay_ms * 1000};

    if (text == NULL) {
        return FALSE;
    }
    *text++ = '\0';
    count_arrival(c->member, text);
    g_hash_table_add(e->received_ids, g_strdup(id));
    if (strcmp(id, "-") == 0 || e->statement_delay_ms == 0) {
        return run_query(c, text);
    }
    c->held_text = g_strdup(text);
    event_add(c->delay, &delay);
    return TRUE;
}

/* Handles each complete line: STARTUP first, then "QUERY ID STATEMENT".  Lines
 * behind a statement that is held back wait for it. */
static void
on_client_read(struct bufferevent *bev, void *ctx)
{
    Client *c = ctx;
    struct evbuffer *in = bufferevent_get_input(bev);
    char *line;
    gboolean connected = TRUE;

    while (connected && c->held_text == NULL &&
           (line = evbuffer_readln(in, NULL, EVBUFFER_EOL_CRLF)) != NULL) {
        if (!c->started) {
            connected = run_startup(c, line);
        }
        else {
            connected = receive_statement(c, line);
        }
        free(line);
    }
}

/* Runs the statement that was held back, and the lines behind it. */
static void
on_statement_delay(evutil_socket_t fd, short events, void *ctx)
{
    Client *c = ctx;
    char *text = g_steal_pointer(&c->held_text);

    (void)fd;
    (void)events;
    if (run_query(c, text)) {
        on_client_read(c->bev, c);
    }
    g_free(text);
}

/* Frees a client whose connection was closed. */
static void
on_client_event(struct bufferevent *bev, short events, void *ctx)
{
    (void)bev;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        client_free(ctx);
    }
}

/* Accepts a connection, or closes it when the member does not run. */
static void
on_client_connect(struct evconnlistener *listener, evutil_socket_t fd,
                  struct sockaddr *address, int length, void *ctx)
{
    Member *m = ctx;
    (void)listener;
    (void)address;
    (void)length;
    if (!m->running) {
        evutil_closesocket(fd);
        return;
    }
    Client *c = g_new0(Client, 1);
    c->member = m;
    c->writes = g_ptr_array_new_with_free_func(g_free);
    c->prepared =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->delay = evtimer_new(m->e->base, on_statement_delay, c);
    c->bev = bufferevent_socket_new(m->e->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(c->bev, on_client_read, NULL, on_client_event, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
    g_ptr_array_add(m->clients, c);
}

/* ---- HTTP as a client ---- */

/* A request whose response is awaited. */
struct EmulatorHttpCall {
    HttpResponse response;
    gboolean done;
    struct event_base *base;
    struct evhttp_connection *connection;
};

/* Stores the response, if there is one, and ends the event loop. */
static void
on_http_response(struct evhttp_request *request, void *ctx)
{
    EmulatorHttpCall *call = ctx;

    call->done = TRUE;
    if (request != NULL) {
        struct evbuffer *in = evhttp_request_get_input_buffer(request);
        call->response.status = evhttp_request_get_response_code(request);
        call->response.body = g_strndup((const char *)evbuffer_pullup(in, -1),
                                        evbuffer_get_length(in));
    }
    event_base_loopbreak(call->base);
}

/* Sends an HTTP request (PUT, DELETE or GET) on a new connection; done is
 * called with the response.  Returns the connection, which the caller frees,
 * or NULL when the address is invalid. */
static struct evhttp_connection *
send_http_request(Emulator *e, const char *address, const char *method,
                  const char *path, const char *body,
                  void (*done)(struct evhttp_request *, void *), void *ctx)
{
    char host[32];
    unsigned port = 0;

    if (sscanf(address, "%31[^:]:%u", host, &port) != 2) {
        return NULL;
    }
    struct evhttp_connection *c =
        evhttp_connection_base_new(e->base, NULL, host, (uint16_t)port);
    struct timeval timeout = {kHttpTimeoutMs / 1000, 0};
    evhttp_connection_set_timeout_tv(c, &timeout);
    struct evhttp_request *r = evhttp_request_new(done, ctx);
    evhttp_add_header(evhttp_request_get_output_headers(r), "Host", host);
    if (body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(r), body, strlen(body));
    }
    evhttp_make_request(c, r,
                        strcmp(method, "PUT") == 0      ? EVHTTP_REQ_PUT
                        : strcmp(method, "DELETE") == 0 ? EVHTTP_REQ_DELETE
                        : strcmp(method, "POST") == 0   ? EVHTTP_REQ_POST
                                                        : EVHTTP_REQ_GET,
                        path);
    return c;
}

/* Starts an HTTP request, which is sent while the event loop runs.  The result
 * is passed to emulator_http_finish. */
EmulatorHttpCall *
emulator_http_start(Emulator *e, const char *address, const char *method,
                    const char *path, const char *body)
{
    EmulatorHttpCall *call = g_new0(EmulatorHttpCall, 1);

    call->base = e->base;
    call->connection = send_http_request(e, address, method, path, body,
                                         on_http_response, call);
    return call;
}

/* Runs the event loop until the response arrives, the connection is closed or
 * the request times out, and frees the call.  The caller frees the body. */
HttpResponse
emulator_http_finish(EmulatorHttpCall *call)
{
    while (!call->done) {
        event_base_dispatch(call->base);
    }
    HttpResponse response = call->response;
    evhttp_connection_free(call->connection);
    g_free(call);
    return response;
}

/* Sends an HTTP request and runs the event loop until the response arrives
 * or the request times out.  The caller frees the body. */
HttpResponse
emulator_http_request(Emulator *e, const char *address, const char *method,
                      const char *path, const char *body)
{
    return emulator_http_finish(
        emulator_http_start(e, address, method, path, body));
}

/* Ignores the response: a lost heartbeat is not repeated. */
static void
on_heartbeat_response(struct evhttp_request *request, void *ctx)
{
    (void)request;
    (void)ctx;
}

/* Reports a running member's status to one control instance, the next one at
 * each heartbeat. */
static void
on_heartbeat_timer(evutil_socket_t fd, short events, void *ctx)
{
    Member *m = ctx;
    char path[64];
    char body[400];
    gint64 cold_us = m->cold_until_us - g_get_monotonic_time();

    (void)fd;
    (void)events;
    if (!m->running) {
        return;
    }
    m->sequence++;
    g_snprintf(path, sizeof(path), "/instances/%s", m->id);
    g_snprintf(body, sizeof(body),
               "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z%u\","
               "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
               "\"cold-left-ms\":%ld,\"db-role\":\"%s\",\"sequence\":%lu,"
               "\"born\":%u}",
               m->address, m->index, kMemberSlots,
               m->draining ? "draining" : "ready",
               (long)(MAX(cold_us, 0) / 1000),
               m->primary ? "primary" : "replica", m->sequence, m->born);
    struct evhttp_connection *c = send_http_request(
        m->e, m->e->control_addresses[m->sequence % kEmulatorControls], "PUT",
        path, body, on_heartbeat_response, NULL);
    evhttp_connection_free_on_completion(c);
}

/* ---- promotions ---- */

/* A promotion that was accepted and takes effect when its timer fires. */
typedef struct {
    Emulator *e;
    Member *member;
    struct event *timer;
} Promotion;

/* Makes the requested member the primary under a new term, unless it is the
 * primary already. */
static void
on_promotion_timer(evutil_socket_t fd, short events, void *ctx)
{
    Promotion *p = ctx;
    Emulator *e = p->e;
    uint32_t term = 0;

    (void)fd;
    (void)events;
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        term = MAX(term, e->members[i].term);
    }
    if (!p->member->primary) {
        for (uint32_t i = 0; i < kEmulatorMembers; i++) {
            e->members[i].primary = FALSE;
            e->members[i].term = term + 1;
        }
        p->member->primary = TRUE;
    }
    event_free(p->timer);
    g_free(p);
}

/* Accepts a promotion request that names a running member and has the headers
 * for lease holder and fencing token; answers 409 otherwise. */
static void
on_promotion_request(struct evhttp_request *request, void *ctx)
{
    Emulator *e = ctx;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    char *body = g_strndup((const char *)evbuffer_pullup(in, -1),
                           evbuffer_get_length(in));
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    struct timeval delay = {0, kPromotionDelayMs * 1000};
    int status = 409;

    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        char quoted[32];
        g_snprintf(quoted, sizeof(quoted), "\"%s\"", e->members[i].id);
        if (strstr(body, quoted) == NULL || !e->members[i].running ||
            evhttp_find_header(headers, "Sapphireweir-Lease-Holder") == NULL ||
            evhttp_find_header(headers, "Sapphireweir-Fencing-Token") ==
                NULL) {
            continue;
        }
        Promotion *p = g_new(Promotion, 1);
        *p = (Promotion){e, &e->members[i], NULL};
        p->timer = evtimer_new(e->base, on_promotion_timer, p);
        event_add(p->timer, &delay);
        e->promotion_count++;
        status = 200;
    }
    g_free(body);
    evhttp_send_reply(request, status, NULL, NULL);
}

/* ---- start ---- */

/* Returns the socket address of an IPv4 address and a port. */
static struct sockaddr_in
socket_address(const char *host, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    evutil_inet_pton(AF_INET, host, &at.sin_addr);
    return at;
}

/* Returns a port that is free on an IPv4 address at the moment of the
 * call. */
static uint16_t
free_port(const char *host)
{
    struct sockaddr_in at = socket_address(host, 0);
    socklen_t length = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        getsockname(fd, (struct sockaddr *)&at, &length) != 0) {
        abort();
    }
    close(fd);
    return ntohs(at.sin_port);
}

/* Returns a port that is free on an IPv4 address and is none of two others.
 * Those are free as well until the programs start, so that free_port may
 * return them: an entry instance once got its peer port for the probes, and
 * ended. */
static uint16_t
other_free_port(const char *host, uint16_t first, uint16_t second)
{
    uint16_t port = free_port(host);

    while (port == first || port == second) {
        port = free_port(host);
    }
    return port;
}

/* Opens a member's port and starts its heartbeat; member 0 is primary. */
static void
start_member(Emulator *e, uint32_t i)
{
    Member *m = &e->members[i];
    struct sockaddr_in at = socket_address("127.0.0.1", 0);
    socklen_t length = sizeof(at);
    struct timeval heartbeat = {0, kHeartbeatIntervalMs * 1000};

    m->e = e;
    m->index = i;
    m->running = TRUE;
    m->primary = i == 0;
    m->term = 1;
    m->born = kBornMs;
    m->arrivals_us = g_array_new(FALSE, FALSE, sizeof(gint64));
    m->log = g_ptr_array_new_with_free_func(g_free);
    m->clients = g_ptr_array_new();
    g_snprintf(m->id, sizeof(m->id), "i-%u", i);
    m->listener = evconnlistener_new_bind(e->base, on_client_connect, m,
                                          LEV_OPT_CLOSE_ON_FREE, -1,
                                          (struct sockaddr *)&at, sizeof(at));
    getsockname(evconnlistener_get_fd(m->listener), (struct sockaddr *)&at,
                &length);
    g_snprintf(m->address, sizeof(m->address), "127.0.0.1:%u",
               ntohs(at.sin_port));
    m->heartbeat = event_new(e->base, -1, EV_PERSIST, on_heartbeat_timer, m);
    event_add(m->heartbeat, &heartbeat);
}

/* Starts a program with a boot file, which holds its settings; its log goes to
 * a file beside the boot file.  With disk_full, its files cannot grow. */
static pid_t
spawn_program(const char *program, const char *boot_path, gboolean disk_full)
{
    char *path = g_build_filename(SAPPHIREWEIR_PLATFORM_BUILD, program, NULL);
    char *log_path = g_strconcat(boot_path, ".log", NULL);

    /* The child must not write what this process has buffered. */
    fflush(stdout);
    pid_t pid = fork();

    if (pid == 0) {
        struct rlimit limit;
        /* A test that crashes leaves no programs behind. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        /* A write beyond the limit fails instead of ending the process. */
        signal(SIGXFSZ, SIG_IGN);
        if (disk_full && getrlimit(RLIMIT_FSIZE, &limit) == 0) {
            limit.rlim_cur = 0;
            setrlimit(RLIMIT_FSIZE, &limit);
        }
        setenv("SAPPHIREWEIR_BOOT", boot_path, 1);
        if (freopen(log_path, "w", stdout) == NULL) {
            _exit(126);
        }
        execl(path, path, (char *)NULL);
        _exit(127);
    }
    g_free(log_path);
    g_free(path);
    return pid;
}

/* Writes an instance's boot file and starts its program.  The arguments
 * listen and data are JSON texts. */
static pid_t
start_program(Emulator *e, const char *program, const char *name,
              const char *ip, uint32_t domain, uint16_t peer_port,
              const char *listen, const char *data)
{
    char *boot_path = g_strdup_printf("%s/%s.json", e->folder, name);
    char *text =
        g_strdup_printf("{\"node-name\":\"%s\",\"ip\":\"%s\",\"zone\":\"z%u\","
                        "\"listen\":{%s},\"port-range\":[%u,%u],"
                        "\"seeds\":[\"%s\",\"%s\",\"%s\"],\"bootstrap\":true,"
                        "\"fault-tolerance\":{\"machines\":1},"
                        "\"bounds\":{\"grace-s\":6,\"quota-window-s\":5},"
                        "\"zones\":%s,"
                        "\"limits\":%s,"
                        "\"data-dir\":%s,\"cloud\":{\"addr\":\"%s\"}}",
                        name, ip, domain, listen, peer_port, peer_port,
                        e->control_addresses[0], e->control_addresses[1],
                        e->control_addresses[2], e->zones, e->limits, data,
                        e->platform_address);

    g_assert(g_file_set_contents(boot_path, text, -1, NULL));
    pid_t pid = spawn_program(program, boot_path, FALSE);
    g_free(text);
    g_free(boot_path);
    return pid;
}

/* Starts all instances.  Each has its own loopback address, since all use the
 * same peer port. */
static void
start_programs(Emulator *e)
{
    uint16_t peer_port = free_port("0.0.0.0");
    char listen[160];
    char ip[32];
    char name[32];

    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        g_snprintf(ip, sizeof(ip), "127.0.1.%u", i + 1);
        g_snprintf(e->control_addresses[i], sizeof(e->control_addresses[i]),
                   "%s:%u", ip, other_free_port(ip, peer_port, 0));
    }
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        char *data = g_strdup_printf("\"%s/data-%u\"", e->folder, i);
        g_snprintf(ip, sizeof(ip), "127.0.1.%u", i + 1);
        g_snprintf(name, sizeof(name), "control-%u", i);
        g_snprintf(listen, sizeof(listen), "\"control\":\"%s\"",
                   e->control_addresses[i]);
        e->control_pids[i] =
            start_program(e, "sapphireweir-platform-control", name, ip, i,
                          peer_port, listen, data);
        g_free(data);
    }
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        g_snprintf(ip, sizeof(ip), "127.0.2.%u", i + 1);
        g_snprintf(name, sizeof(name), "entry-%u", i);
        uint16_t caller_port = other_free_port(ip, peer_port, 0);
        g_snprintf(e->caller_addresses[i], sizeof(e->caller_addresses[i]),
                   "%s:%u", ip, caller_port);
        g_snprintf(e->probe_addresses[i], sizeof(e->probe_addresses[i]),
                   "%s:%u", ip, other_free_port(ip, peer_port, caller_port));
        g_snprintf(listen, sizeof(listen),
                   "\"frontend\":\"%s\",\"ready\":\"%s\"",
                   e->caller_addresses[i], e->probe_addresses[i]);
        e->entry_pids[i] =
            start_program(e, "sapphireweir-platform-entry", name, ip, i,
                          peer_port, listen, "null");
    }
}

/* Removes what the control instances of an earlier run stored. */
static void
remove_old_data(const char *folder)
{
    static const char *const files[] = {"log", "snapshot", "identity", "lock"};
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(files); k++) {
            char *path = g_strdup_printf("%s/data-%u/%s", folder, i, files[k]);
            unlink(path);
            g_free(path);
        }
    }
}

/* As emulator_start, with the given "zones" (regions by failure domain) and
 * "limits" in the boot files: JSON texts, which must outlive the emulator. */
Emulator *
emulator_start_with_settings(const char *folder, const char *zones,
                             const char *limits)
{
    Emulator *e = g_new0(Emulator, 1);
    uint16_t port = free_port("127.0.0.1");

    signal(SIGPIPE, SIG_IGN);
    e->base = event_base_new();
    e->rate_per_s = kDefaultRatePerS;
    e->folder = g_strdup(folder);
    e->zones = zones;
    e->limits = limits;
    g_mkdir_with_parents(folder, 0700);
    remove_old_data(folder);
    e->connections = g_ptr_array_new();
    e->received_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_snprintf(e->platform_address, sizeof(e->platform_address),
               "127.0.0.1:%u", port);
    e->platform_http = evhttp_new(e->base);
    evhttp_set_cb(e->platform_http, "/promotions", on_promotion_request, e);
    g_assert(evhttp_bind_socket(e->platform_http, "127.0.0.1", port) == 0);
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        start_member(e, i);
    }
    start_programs(e);
    return e;
}

/* As emulator_start, with the given "limits" in the boot files. */
Emulator *
emulator_start_with_limits(const char *folder, const char *limits)
{
    return emulator_start_with_settings(
        folder, "{\"z0\":\"r\",\"z1\":\"r\",\"z2\":\"r\"}", limits);
}

/* Starts the HTTP server for promotion requests, the members and the programs.
 * Boot files, logs and data go into folder.  The caller calls
 * emulator_free. */
Emulator *
emulator_start(const char *folder)
{
    return emulator_start_with_limits(folder, "{}");
}

/* Kills a process and waits for its end; does nothing for zero. */
static void
kill_process(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

/* Kills the programs and frees all memory; the files stay. */
void
emulator_free(Emulator *e)
{
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        kill_process(e->entry_pids[i]);
    }
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        kill_process(e->control_pids[i]);
    }
    while (e->connections->len > 0) {
        caller_close(g_ptr_array_index(e->connections, 0));
    }
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        Member *m = &e->members[i];
        while (m->clients->len > 0) {
            client_free(g_ptr_array_index(m->clients, 0));
        }
        event_free(m->heartbeat);
        evconnlistener_free(m->listener);
        g_ptr_array_unref(m->clients);
        g_ptr_array_unref(m->log);
        g_array_unref(m->arrivals_us);
    }
    evhttp_free(e->platform_http);
    event_base_free(e->base);
    g_ptr_array_unref(e->connections);
    g_hash_table_destroy(e->received_ids);
    g_free(e->folder);
    g_free(e);
}

/* ---- programs ---- */

/* Returns the HTTP address of a control instance for operators and
 * members. */
const char *
emulator_control_address(const Emulator *e, uint32_t i)
{
    return e->control_addresses[i];
}

/* Returns the HTTP address of an entry instance that serves the load
 * balancer's readiness probe. */
const char *
emulator_probe_address(const Emulator *e, uint32_t i)
{
    return e->probe_addresses[i];
}

/* Returns the address of an entry instance for callers. */
const char *
emulator_caller_address(const Emulator *e, uint32_t i)
{
    return e->caller_addresses[i];
}

/* Returns the process id of an entry instance, zero when it does not run. */
pid_t
emulator_entry_pid(const Emulator *e, uint32_t i)
{
    return e->entry_pids[i];
}

/* Returns where the process id of a program is stored. */
static pid_t *
program_pid(Emulator *e, uint32_t program)
{
    return program < kEmulatorEntries
               ? &e->entry_pids[program]
               : &e->control_pids[program - kEmulatorEntries];
}

/* Returns the process id of a program, zero when it does not run. */
pid_t
emulator_program_pid(const Emulator *e, uint32_t program)
{
    return *program_pid((Emulator *)e, program);
}

/* Kills a program; its files stay. */
void
emulator_kill_program(Emulator *e, uint32_t program)
{
    pid_t *pid = program_pid(e, program);

    kill_process(*pid);
    *pid = 0;
}

/* Starts a program that was killed or has ended, with the files it left.  Its
 * boot file no longer requests a bootstrap of the cluster. */
void
emulator_start_program(Emulator *e, uint32_t program)
{
    gboolean entry = program < kEmulatorEntries;
    char *boot_path = g_strdup_printf(
        "%s/%s-%u.json", e->folder, entry ? "entry" : "control",
        entry ? program : program - kEmulatorEntries);
    char *text = NULL;

    if (g_file_get_contents(boot_path, &text, NULL, NULL)) {
        char *flag = strstr(text, "\"bootstrap\":true");
        if (flag != NULL) {
            memcpy(flag, "\"bootstrap\":null", strlen("\"bootstrap\":true"));
            g_file_set_contents(boot_path, text, -1, NULL);
        }
        g_free(text);
    }
    *program_pid(e, program) =
        spawn_program(entry ? "sapphireweir-platform-entry"
                            : "sapphireweir-platform-control",
                      boot_path, e->disk_full[program]);
    g_free(boot_path);
}

/* Removes the files of a control instance that does not run. */
void
emulator_lose_disk(Emulator *e, uint32_t program)
{
    char *folder =
        g_strdup_printf("%s/data-%u", e->folder, program - kEmulatorEntries);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        g_assert_cmpint(unlink(path), ==, 0);
        g_free(path);
    }
    g_clear_pointer(&dir, g_dir_close);
    g_free(folder);
}

/* Makes the files of a program unable to grow, also after it was started
 * again, or ends this. */
void
emulator_set_disk_full(Emulator *e, uint32_t program, gboolean full)
{
    pid_t pid = *program_pid(e, program);
    struct rlimit limit;

    e->disk_full[program] = full;
    if (pid > 0 && prlimit(pid, RLIMIT_FSIZE, NULL, &limit) == 0) {
        limit.rlim_cur = full ? 0 : limit.rlim_max;
        prlimit(pid, RLIMIT_FSIZE, &limit, NULL);
    }
}

/* Reaps the process of a program if it has ended.  Returns FALSE while it
 * runs.  Otherwise sets exit_code, to -1 when a signal ended the process. */
gboolean
emulator_reap(Emulator *e, pid_t pid, int *exit_code)
{
    int status = 0;

    if (waitpid(pid, &status, WNOHANG) != pid) {
        return FALSE;
    }
    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        if (*program_pid(e, i) == pid) {
            *program_pid(e, i) = 0;
        }
    }
    *exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return TRUE;
}

/* Puts a configuration, retrying at the next control instance up to 40 times
 * until one answers 200.  Returns the last status. */
int
emulator_put_text(Emulator *e, const char *body)
{
    HttpResponse response = {0};

    for (uint32_t i = 0; i < 40 && response.status != 200; i++) {
        g_free(response.body);
        response = emulator_http_request(
            e, e->control_addresses[i % kEmulatorControls], "PUT", "/config",
            body);
        if (response.status != 200) {
            emulator_run_for(e, 100);
        }
    }
    g_free(response.body);
    return response.status;
}

/* Puts a small configuration, as emulator_put_text.  It accepts "key-1", or
 * "key-2" without with_key.  Returns the last status with the document that
 * was sent as body, which the caller frees. */
HttpResponse
emulator_put_document(Emulator *e, uint32_t version, gboolean with_key)
{
    char *body = g_strdup_printf(
        "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"shop\","
        "\"path-prefix\":\"/\",\"kind\":\"read_your_writes\","
        "\"timeout-ms\":800,\"target-latency-ms\":250,\"priority\":1,"
        "\"service\":\"orders\",\"max-staleness-ms\":2500,"
        "\"public\":false}],\"services\":[{\"name\":\"orders\","
        "\"max-conns\":23,\"sync-replicas\":0}],"
        "\"limits\":{\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\","
        "\"api-keys\":[\"%s\"],\"rate-per-s\":%u,\"burst\":%u}]}",
        version, with_key ? "key-1" : "key-2", e->rate_per_s, e->rate_per_s);

    return (HttpResponse){emulator_put_text(e, body), body};
}

/* Evacuates or restores the failure domain of a member, retrying at the next
 * control instance for the 5 s that operators do.  Returns whether a control
 * instance answered with 200. */
gboolean
emulator_order(Emulator *e, uint32_t domain, gboolean evacuated)
{
    gint64 end_us = g_get_monotonic_time() + kOrderTimeoutUs;
    char path[32];

    g_snprintf(path, sizeof(path), "/evacuations/z%u", domain);
    for (uint32_t i = domain; g_get_monotonic_time() < end_us; i++) {
        HttpResponse r = emulator_http_request(
            e, e->control_addresses[i % kEmulatorControls],
            evacuated ? "POST" : "DELETE", path, NULL);
        g_free(r.body);
        if (r.status == 200) {
            return TRUE;
        }
        emulator_run_for(e, 100);
    }
    return FALSE;
}

/* ---- members, for tests ---- */

/* Returns how many reads, writes and commits a member has received. */
uint32_t
emulator_member_statements(const Emulator *e, uint32_t i)
{
    return e->members[i].statements;
}

/* Returns how many connections entry instances have to a member. */
uint32_t
emulator_open_links(const Emulator *e, uint32_t i)
{
    uint32_t count = 0;

    for (guint k = 0; k < e->members[i].clients->len; k++) {
        count +=
            ((Client *)g_ptr_array_index(e->members[i].clients, k))->started;
    }
    return count;
}

/* Returns the index of the primary, -1 when there is none. */
int
emulator_primary(const Emulator *e)
{
    for (int i = 0; i < kEmulatorMembers; i++) {
        if (e->members[i].primary) {
            return i;
        }
    }
    return -1;
}

/* Stops a member, which closes its connections, or starts it again with its
 * log and its current role. */
void
emulator_set_member_running(Emulator *e, uint32_t i, gboolean running)
{
    Member *m = &e->members[i];

    m->running = running;
    while (!running && m->clients->len > 0) {
        client_free(g_ptr_array_index(m->clients, 0));
    }
}

/* Starts a member again as a new run, which closes its connections and reports
 * that it stays cold for cold_ms. */
void
emulator_restart_member(Emulator *e, uint32_t i, uint32_t cold_ms)
{
    Member *m = &e->members[i];

    emulator_set_member_running(e, i, FALSE);
    m->born++;
    m->cold_until_us = g_get_monotonic_time() + (gint64)cold_ms * 1000;
    g_array_set_size(m->arrivals_us, 0);
    emulator_set_member_running(e, i, TRUE);
}

/* Returns how many commands arrived at a member within any second since it was
 * started, or since emulator_clear_arrivals. */
uint32_t
emulator_max_arrivals(const Emulator *e, uint32_t i)
{
    const GArray *all = e->members[i].arrivals_us;
    guint first = 0;
    guint most = 0;

    for (guint k = 0; k < all->len; k++) {
        while (g_array_index(all, gint64, first) + G_USEC_PER_SEC <=
               g_array_index(all, gint64, k)) {
            first++;
        }
        most = MAX(most, k - first + 1);
    }
    return most;
}

/* Begins the count of emulator_max_arrivals anew. */
void
emulator_clear_arrivals(Emulator *e, uint32_t i)
{
    g_array_set_size(e->members[i].arrivals_us, 0);
}

/* Makes a member report the state "draining" from its next heartbeat on, and
 * resets the counter of emulator_statements_after_drain. */
void
emulator_drain_member(Emulator *e, uint32_t i)
{
    e->members[i].draining = TRUE;
    e->statements_after_drain = 0;
}

/* Makes a member report the state "ready" again. */
void
emulator_undrain_member(Emulator *e, uint32_t i)
{
    e->members[i].draining = FALSE;
}

/* Returns the address of a member for entry instances. */
const char *
emulator_member_address(const Emulator *e, uint32_t i)
{
    return e->members[i].address;
}

/* Makes the member that runs the next read or write close the connection
 * instead of answering; the statement takes effect. */
void
emulator_lose_next_answer(Emulator *e)
{
    e->lose_next_answer = TRUE;
}

/* Makes members take delay_ms for each statement of a caller. */
void
emulator_set_statement_delay(Emulator *e, uint32_t delay_ms)
{
    e->statement_delay_ms = delay_ms;
}

/* Sets the team's rate and burst in later configurations. */
void
emulator_set_rate(Emulator *e, uint32_t rate_per_s)
{
    e->rate_per_s = rate_per_s;
}

/* Returns whether a statement with the id has reached a member. */
gboolean
emulator_received_statement(const Emulator *e, const char *id)
{
    return g_hash_table_contains(e->received_ids, id);
}

/* Returns how many promotion requests were accepted. */
uint32_t
emulator_promotion_count(const Emulator *e)
{
    return e->promotion_count;
}

/* Returns whether a member runs. */
gboolean
emulator_member_running(const Emulator *e, uint32_t i)
{
    return e->members[i].running;
}

/* Returns how many times a datum was committed.  All members have the same
 * log. */
uint32_t
emulator_commit_count(const Emulator *e, const char *datum)
{
    const GPtrArray *log = e->members[0].log;
    uint32_t count = 0;
    for (guint i = 0; i < log->len; i++) {
        count += strcmp(g_ptr_array_index(log, i), datum) == 0;
    }
    return count;
}

/* Returns how many transactions are open at all members. */
uint32_t
emulator_open_transaction_count(const Emulator *e)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        for (guint k = 0; k < e->members[i].clients->len; k++) {
            const Client *c = g_ptr_array_index(e->members[i].clients, k);
            count += c->in_transaction;
        }
    }
    return count;
}

/* Returns how many statements draining members have received outside of
 * transactions since the last call of emulator_drain_member. */
uint32_t
emulator_statements_after_drain(const Emulator *e)
{
    return e->statements_after_drain;
}

/* ---- callers ---- */

/* Appends the received lines to the answer and ends emulator_run_for. */
static void
on_caller_read(struct bufferevent *bev, void *ctx)
{
    EmulatorCaller *c = ctx;
    char *line;

    while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
                                   EVBUFFER_EOL_CRLF)) != NULL) {
        g_string_append(c->answer, line);
        g_string_append_c(c->answer, '\n');
        c->ready_count += g_str_has_prefix(line, "READY ");
        free(line);
    }
    if (c->handler != NULL) {
        c->handler(c->handler_ctx);
        return;
    }
    event_base_loopbreak(c->e->base);
}

/* Marks a closed connection and ends emulator_run_for. */
static void
on_caller_event(struct bufferevent *bev, short events, void *ctx)
{
    EmulatorCaller *c = ctx;
    (void)bev;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        c->closed = TRUE;
        c->closed_us = g_get_monotonic_time();
        event_base_loopbreak(c->e->base);
    }
}

/* Connects a caller to an entry instance.  The connection is freed by
 * caller_close, at the latest by emulator_free. */
EmulatorCaller *
caller_connect(Emulator *e, uint32_t entry)
{
    EmulatorCaller *c = g_new0(EmulatorCaller, 1);
    char host[32];
    unsigned port = 0;

    g_assert(sscanf(e->caller_addresses[entry], "%31[^:]:%u", host, &port) ==
             2);
    struct sockaddr_in at = socket_address(host, (uint16_t)port);
    c->e = e;
    c->answer = g_string_new(NULL);
    c->bev = bufferevent_socket_new(e->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(c->bev, on_caller_read, NULL, on_caller_event, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(c->bev, (struct sockaddr *)&at, sizeof(at));
    g_ptr_array_add(e->connections, c);
    return c;
}

/* Sends a text without appending a line end. */
void
caller_send(EmulatorCaller *c, const char *text)
{
    bufferevent_write(c->bev, text, strlen(text));
}

/* Sends one message and waits for its READY line, for the end of the
 * connection, or for kRequestTimeoutMs.  Returns the lines received, which
 * stay valid until the next call on this connection. */
const char *
caller_request(EmulatorCaller *c, const char *text)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)kRequestTimeoutMs * 1000;

    g_string_truncate(c->answer, 0);
    c->ready_count = 0;
    caller_send(c, text);
    caller_send(c, "\r\n");
    while (c->ready_count == 0 && !c->closed &&
           g_get_monotonic_time() < end_us) {
        emulator_run_for(c->e, 50);
    }
    return c->answer->str;
}

/* Sets a function that is called with ctx after lines have arrived; they do
 * not end emulator_run_for any more. */
void
caller_set_handler(EmulatorCaller *c, void (*handler)(void *ctx), void *ctx)
{
    c->handler = handler;
    c->handler_ctx = ctx;
}

/* Returns when the connection was closed, by g_get_monotonic_time. */
gint64
caller_closed_us(const EmulatorCaller *c)
{
    return c->closed_us;
}

/* Returns how many answers have arrived since caller_request or
 * caller_discard_answers was called. */
uint32_t
caller_answer_count(const EmulatorCaller *c)
{
    return c->ready_count;
}

/* Returns the lines of the answers that caller_answer_count counts. */
const char *
caller_answers(const EmulatorCaller *c)
{
    return c->answer->str;
}

/* Discards the answers that have arrived. */
void
caller_discard_answers(EmulatorCaller *c)
{
    g_string_truncate(c->answer, 0);
    c->ready_count = 0;
}

/* Returns whether the entry instance has closed the connection. */
gboolean
caller_is_closed(const EmulatorCaller *c)
{
    return c->closed;
}

/* Closes and frees a caller's connection. */
void
caller_close(EmulatorCaller *c)
{
    g_ptr_array_remove_fast(c->e->connections, c);
    bufferevent_free(c->bev);
    g_string_free(c->answer, TRUE);
    g_free(c);
}
