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
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    kBeatMs = 200,
    kPromoteMs = 300,
    kAskPatienceMs = 4000,
    kHttpPatienceMs = 3000,
    kSlots = 3,
};

typedef struct {
    Emulator *e;
    uint32_t index;
    char id[16];
    char address[32];
    struct evconnlistener *listener;
    gboolean up;
    gboolean primary;
    gboolean draining;
    uint32_t term;
    uint64_t sequence;
    GPtrArray *log;     /* char *: data of each write */
    GPtrArray *clients; /* Client */
    struct event *beat;
} Member;

typedef struct {
    Member *member;
    struct bufferevent *bev;
    gboolean started;
    gboolean in_transaction;
    gboolean failed;
    GPtrArray *writes;  /* of the open transaction */
    GHashTable *shapes; /* prepared name -> "READ"|"WRITE" */
} Client;

struct EmulatorCaller {
    Emulator *e;
    struct bufferevent *bev;
    GString *answer;
    uint32_t readies;
    gboolean closed;
};

struct Emulator {
    struct event_base *base;
    char *folder;
    Member members[kEmulatorMembers];
    struct evhttp *platform;
    char platform_address[32];
    char controls[kEmulatorControls][32];
    char callers[kEmulatorEntries][32];
    char probes[kEmulatorEntries][32];
    pid_t control_pids[kEmulatorControls];
    pid_t entry_pids[kEmulatorEntries];
    GPtrArray *connections; /* EmulatorCaller, owned */
    gboolean lose_next;
    uint32_t promotions;
    uint32_t after_drain;
};

/* ---- time ---- */

static void
on_pumped(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    event_base_loopbreak(ctx);
}

/* Lets everything go on for a while. */
void
emulator_pump(Emulator *e, uint32_t for_ms)
{
    struct timeval span = {for_ms / 1000, (for_ms % 1000) * 1000};
    struct event *end = evtimer_new(e->base, on_pumped, e->base);

    event_add(end, &span);
    event_base_dispatch(e->base);
    event_free(end);
}

/* ---- members ---- */

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

static void
reply_error(Client *c, const char *code)
{
    evbuffer_add_printf(bufferevent_get_output(c->bev), "ERROR %s %s\r\n",
                        code, c->member->id);
    c->failed = c->in_transaction;
    reply_ready(c);
}

static void
reply_done(Client *c, const char *tag)
{
    evbuffer_add_printf(bufferevent_get_output(c->bev), "COMPLETE %s\r\n",
                        tag);
    reply_ready(c);
}

static void
client_free(Client *c)
{
    g_ptr_array_remove_fast(c->member->clients, c);
    bufferevent_free(c->bev);
    g_ptr_array_unref(c->writes);
    g_hash_table_destroy(c->shapes);
    g_free(c);
}

static void
log_add(Emulator *e, const char *data)
{
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        g_ptr_array_add(e->members[i].log, g_strdup(data));
    }
}

/* Runs a read or write; FALSE when the connection is gone. */
static gboolean
run_data(Client *c, gboolean writes, const char *data)
{
    Emulator *e = c->member->e;

    if (c->member->draining && !c->in_transaction) {
        e->after_drain++;
    }
    if (writes && !c->member->primary) {
        reply_error(c, "READONLY");
        return TRUE;
    }
    if (writes && c->in_transaction) {
        g_ptr_array_add(c->writes, g_strdup(data));
    }
    else if (writes) {
        log_add(e, data);
    }
    if (e->lose_next) {
        e->lose_next = FALSE;
        client_free(c);
        return FALSE;
    }
    if (!writes) {
        evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW value\r\n");
    }
    reply_done(c, "7.proof");
    return TRUE;
}

static void
run_commit(Client *c)
{
    if (c->writes->len > 0 && !c->member->primary) {
        reply_error(c, "READONLY");
        return;
    }
    for (guint i = 0; i < c->writes->len; i++) {
        log_add(c->member->e, g_ptr_array_index(c->writes, i));
    }
    g_ptr_array_set_size(c->writes, 0);
    c->in_transaction = FALSE;
    reply_done(c, "7.proof");
}

static gboolean
run_query(Client *c, char *text)
{
    char **words;
    gboolean alive = TRUE;
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
    words = g_strsplit(text, " ", 4);
    const char *word = words[0] == NULL ? "" : words[0];
    if (strcmp(word, "STATUS") == 0) {
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "ROW %s %u %u.%u %u 0 0 1\r\n",
                            m->primary ? "primary" : "replica", m->term,
                            m->term, m->log->len, m->term);
        reply_done(c, "-");
    }
    else if (strcmp(word, "BEGIN") == 0) {
        if (!m->primary && words[1] == NULL) {
            reply_error(c, "READONLY");
        }
        else {
            c->in_transaction = TRUE;
            reply_done(c, "-");
        }
    }
    else if (strcmp(word, "ROLLBACK") == 0) {
        c->in_transaction = FALSE;
        c->failed = FALSE;
        g_ptr_array_set_size(c->writes, 0);
        reply_done(c, "-");
    }
    else if (strcmp(word, "COMMIT") == 0) {
        run_commit(c);
    }
    else if (strcmp(word, "READ") == 0) {
        alive = run_data(c, FALSE, NULL);
    }
    else if (strcmp(word, "WRITE") == 0 && g_strv_length(words) >= 3) {
        alive = run_data(c, TRUE, words[2]);
    }
    else if (strcmp(word, "PREPARE") == 0 && g_strv_length(words) >= 4) {
        g_hash_table_replace(c->shapes, g_strdup(words[1]),
                             g_strdup(words[2]));
        reply_done(c, "-");
    }
    else if (strcmp(word, "EXECUTE") == 0 && g_strv_length(words) >= 3) {
        const char *access = g_hash_table_lookup(c->shapes, words[1]);
        if (access == NULL) {
            reply_error(c, "NOSTMT");
        }
        else {
            alive = run_data(c, strcmp(access, "WRITE") == 0,
                             words[3] == NULL ? "" : words[3]);
        }
    }
    else {
        if (strcmp(word, "RESET") == 0) {
            g_hash_table_remove_all(c->shapes);
        }
        reply_done(c, "-");
    }
    g_strfreev(words);
    return alive;
}

static gboolean
run_startup(Client *c, const char *line)
{
    char **words = g_strsplit(line, " ", 4);
    gboolean right = g_strv_length(words) == 4 &&
                     strcmp(words[1], "orders") == 0 &&
                     strcmp(words[3], c->member->id) == 0;

    g_strfreev(words);
    c->started = TRUE;
    if (right) {
        reply_ready(c);
        return TRUE;
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "ERROR MISROUTED x\r\n");
    return TRUE;
}

static void
on_client_read(struct bufferevent *bev, void *ctx)
{
    Client *c = ctx;
    struct evbuffer *in = bufferevent_get_input(bev);
    char *line;
    gboolean alive = TRUE;

    while (alive &&
           (line = evbuffer_readln(in, NULL, EVBUFFER_EOL_CRLF)) != NULL) {
        if (!c->started) {
            alive = run_startup(c, line);
        }
        else {
            char *text = strchr(line + strlen("QUERY "), ' ');
            alive = text != NULL && run_query(c, text + 1);
        }
        free(line);
    }
}

static void
on_client_event(struct bufferevent *bev, short what, void *ctx)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        client_free(ctx);
    }
}

static void
on_client(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *ctx)
{
    Member *m = ctx;
    (void)listener;
    (void)address;
    (void)length;
    if (!m->up) {
        evutil_closesocket(fd);
        return;
    }
    Client *c = g_new0(Client, 1);
    c->member = m;
    c->writes = g_ptr_array_new_with_free_func(g_free);
    c->shapes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->bev = bufferevent_socket_new(m->e->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(c->bev, on_client_read, NULL, on_client_event, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
    g_ptr_array_add(m->clients, c);
}

/* ---- HTTP as a client ---- */

typedef struct {
    HttpReply reply;
    gboolean done;
    struct event_base *base;
} HttpCall;

static void
on_http(struct evhttp_request *request, void *ctx)
{
    HttpCall *call = ctx;

    call->done = TRUE;
    if (request != NULL) {
        struct evbuffer *in = evhttp_request_get_input_buffer(request);
        call->reply.status = evhttp_request_get_response_code(request);
        call->reply.body = g_strndup((const char *)evbuffer_pullup(in, -1),
                                     evbuffer_get_length(in));
    }
    event_base_loopbreak(call->base);
}

static struct evhttp_connection *
http_send(Emulator *e, const char *address, const char *method,
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
    struct timeval patience = {kHttpPatienceMs / 1000, 0};
    evhttp_connection_set_timeout_tv(c, &patience);
    struct evhttp_request *r = evhttp_request_new(done, ctx);
    evhttp_add_header(evhttp_request_get_output_headers(r), "Host", host);
    if (body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(r), body, strlen(body));
    }
    evhttp_make_request(c, r,
                        strcmp(method, "PUT") == 0      ? EVHTTP_REQ_PUT
                        : strcmp(method, "DELETE") == 0 ? EVHTTP_REQ_DELETE
                                                        : EVHTTP_REQ_GET,
                        path);
    return c;
}

/* Makes a call and waits for its answer. */
HttpReply
emulator_http(Emulator *e, const char *address, const char *method,
              const char *path, const char *body)
{
    HttpCall call = {.base = e->base};
    struct evhttp_connection *c =
        http_send(e, address, method, path, body, on_http, &call);

    while (!call.done) {
        event_base_dispatch(e->base);
    }
    evhttp_connection_free(c);
    return call.reply;
}

static void
on_beat_answer(struct evhttp_request *request, void *ctx)
{
    (void)request;
    (void)ctx;
}

static void
on_beat(evutil_socket_t fd, short what, void *ctx)
{
    Member *m = ctx;
    char path[64];
    char body[400];

    (void)fd;
    (void)what;
    if (!m->up) {
        return;
    }
    m->sequence++;
    g_snprintf(path, sizeof(path), "/instances/%s", m->id);
    g_snprintf(body, sizeof(body),
               "{\"service\":\"orders\",\"addr\":\"%s\",\"zone\":\"z%u\","
               "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
               "\"cold-left-ms\":0,\"db-role\":\"%s\",\"sequence\":%lu,"
               "\"born\":%u}",
               m->address, m->index, kSlots,
               m->draining ? "draining" : "ready",
               m->primary ? "primary" : "replica", m->sequence, 1000);
    struct evhttp_connection *c =
        http_send(m->e, m->e->controls[m->sequence % kEmulatorControls], "PUT",
                  path, body, on_beat_answer, NULL);
    evhttp_connection_free_on_completion(c);
}

/* ---- the platform's own address ---- */

typedef struct {
    Emulator *e;
    Member *member;
    struct event *timer;
} Promotion;

static void
on_promoted(evutil_socket_t fd, short what, void *ctx)
{
    Promotion *p = ctx;
    Emulator *e = p->e;
    uint32_t term = 0;

    (void)fd;
    (void)what;
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

static void
on_promotion(struct evhttp_request *request, void *ctx)
{
    Emulator *e = ctx;
    struct evbuffer *in = evhttp_request_get_input_buffer(request);
    char *body = g_strndup((const char *)evbuffer_pullup(in, -1),
                           evbuffer_get_length(in));
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    struct timeval later = {0, kPromoteMs * 1000};
    int status = 409;

    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        char quoted[32];
        g_snprintf(quoted, sizeof(quoted), "\"%s\"", e->members[i].id);
        if (strstr(body, quoted) == NULL || !e->members[i].up ||
            evhttp_find_header(headers, "Sapphireweir-Lease-Holder") == NULL ||
            evhttp_find_header(headers, "Sapphireweir-Fencing-Token") ==
                NULL) {
            continue;
        }
        Promotion *p = g_new(Promotion, 1);
        *p = (Promotion){e, &e->members[i], NULL};
        p->timer = evtimer_new(e->base, on_promoted, p);
        event_add(p->timer, &later);
        e->promotions++;
        status = 200;
    }
    g_free(body);
    evhttp_send_reply(request, status, NULL, NULL);
}

/* ---- start ---- */

static struct sockaddr_in
socket_address(const char *host, uint16_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    evutil_inet_pton(AF_INET, host, &at.sin_addr);
    return at;
}

/* Returns a port that is free on a host just now. */
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

static void
member_start(Emulator *e, uint32_t i)
{
    Member *m = &e->members[i];
    struct sockaddr_in at = socket_address("127.0.0.1", 0);
    socklen_t length = sizeof(at);
    struct timeval beat = {0, kBeatMs * 1000};

    m->e = e;
    m->index = i;
    m->up = TRUE;
    m->primary = i == 0;
    m->term = 1;
    m->log = g_ptr_array_new_with_free_func(g_free);
    m->clients = g_ptr_array_new();
    g_snprintf(m->id, sizeof(m->id), "i-%u", i);
    m->listener =
        evconnlistener_new_bind(e->base, on_client, m, LEV_OPT_CLOSE_ON_FREE,
                                -1, (struct sockaddr *)&at, sizeof(at));
    getsockname(evconnlistener_get_fd(m->listener), (struct sockaddr *)&at,
                &length);
    g_snprintf(m->address, sizeof(m->address), "127.0.0.1:%u",
               ntohs(at.sin_port));
    m->beat = event_new(e->base, -1, EV_PERSIST, on_beat, m);
    event_add(m->beat, &beat);
}

static pid_t
launch(const char *program, const char *boot)
{
    char *path = g_build_filename(SAPPHIREWEIR_PLATFORM_BUILD, program, NULL);
    char *log = g_strconcat(boot, ".log", NULL);
    pid_t pid = fork();

    if (pid == 0) {
        setenv("SAPPHIREWEIR_BOOT", boot, 1);
        if (freopen(log, "w", stdout) == NULL) {
            _exit(126);
        }
        execl(path, path, (char *)NULL);
        _exit(127);
    }
    g_free(log);
    g_free(path);
    return pid;
}

static pid_t
program_start(Emulator *e, const char *program, const char *name,
              const char *ip, uint32_t domain, uint16_t peer_port,
              const char *listen, const char *data)
{
    char *boot = g_strdup_printf("%s/%s.json", e->folder, name);
    char *text = g_strdup_printf(
        "{\"node-name\":\"%s\",\"ip\":\"%s\",\"zone\":\"z%u\","
        "\"listen\":{%s},\"port-range\":[%u,%u],"
        "\"seeds\":[\"%s\",\"%s\",\"%s\"],\"bootstrap\":true,"
        "\"fault-tolerance\":{\"machines\":1},"
        "\"bounds\":{\"grace-s\":6,\"quota-window-s\":5},"
        "\"data-dir\":%s,\"cloud\":{\"addr\":\"%s\"}}",
        name, ip, domain, listen, peer_port, peer_port, e->controls[0],
        e->controls[1], e->controls[2], data, e->platform_address);

    g_assert(g_file_set_contents(boot, text, -1, NULL));
    pid_t pid = launch(program, boot);
    g_free(text);
    g_free(boot);
    return pid;
}

static void
programs_start(Emulator *e)
{
    uint16_t peer_port = free_port("0.0.0.0");
    char listen[160];
    char ip[32];
    char name[32];

    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        g_snprintf(ip, sizeof(ip), "127.0.1.%u", i + 1);
        g_snprintf(e->controls[i], sizeof(e->controls[i]), "%s:%u", ip,
                   free_port(ip));
    }
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        char *data = g_strdup_printf("\"%s/data-%u\"", e->folder, i);
        g_snprintf(ip, sizeof(ip), "127.0.1.%u", i + 1);
        g_snprintf(name, sizeof(name), "control-%u", i);
        g_snprintf(listen, sizeof(listen), "\"control\":\"%s\"",
                   e->controls[i]);
        e->control_pids[i] =
            program_start(e, "sapphireweir-platform-control", name, ip, i,
                          peer_port, listen, data);
        g_free(data);
    }
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        g_snprintf(ip, sizeof(ip), "127.0.2.%u", i + 1);
        g_snprintf(name, sizeof(name), "entry-%u", i);
        g_snprintf(e->callers[i], sizeof(e->callers[i]), "%s:%u", ip,
                   free_port(ip));
        g_snprintf(e->probes[i], sizeof(e->probes[i]), "%s:%u", ip,
                   free_port(ip));
        g_snprintf(listen, sizeof(listen),
                   "\"frontend\":\"%s\",\"ready\":\"%s\"", e->callers[i],
                   e->probes[i]);
        e->entry_pids[i] =
            program_start(e, "sapphireweir-platform-entry", name, ip, i,
                          peer_port, listen, "null");
    }
}

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

/* Starts the programs and what surrounds them; files go into folder. */
Emulator *
emulator_start(const char *folder)
{
    Emulator *e = g_new0(Emulator, 1);
    uint16_t port = free_port("127.0.0.1");

    signal(SIGPIPE, SIG_IGN);
    e->base = event_base_new();
    e->folder = g_strdup(folder);
    g_mkdir_with_parents(folder, 0700);
    remove_old_data(folder);
    e->connections = g_ptr_array_new();
    g_snprintf(e->platform_address, sizeof(e->platform_address),
               "127.0.0.1:%u", port);
    e->platform = evhttp_new(e->base);
    evhttp_set_cb(e->platform, "/promotions", on_promotion, e);
    g_assert(evhttp_bind_socket(e->platform, "127.0.0.1", port) == 0);
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        member_start(e, i);
    }
    programs_start(e);
    return e;
}

static void
end_process(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

/* Ends the programs and frees everything. */
void
emulator_free(Emulator *e)
{
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        end_process(e->entry_pids[i]);
    }
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        end_process(e->control_pids[i]);
    }
    while (e->connections->len > 0) {
        caller_leave(g_ptr_array_index(e->connections, 0));
    }
    for (uint32_t i = 0; i < kEmulatorMembers; i++) {
        Member *m = &e->members[i];
        while (m->clients->len > 0) {
            client_free(g_ptr_array_index(m->clients, 0));
        }
        event_free(m->beat);
        evconnlistener_free(m->listener);
        g_ptr_array_unref(m->clients);
        g_ptr_array_unref(m->log);
    }
    evhttp_free(e->platform);
    event_base_free(e->base);
    g_ptr_array_unref(e->connections);
    g_free(e->folder);
    g_free(e);
}

/* ---- what tests look at and do ---- */

/* Returns a control instance's address for operators and members. */
const char *
emulator_control(const Emulator *e, uint32_t i)
{
    return e->controls[i];
}

/* Returns an entry instance's address for the balancer's probe. */
const char *
emulator_probe(const Emulator *e, uint32_t i)
{
    return e->probes[i];
}

/* Returns an entry instance's process. */
pid_t
emulator_entry_pid(const Emulator *e, uint32_t i)
{
    return e->entry_pids[i];
}

static pid_t *
pid_slot(Emulator *e, uint32_t program)
{
    return program < kEmulatorEntries
               ? &e->entry_pids[program]
               : &e->control_pids[program - kEmulatorEntries];
}

/* Returns a program's process, zero when it does not run. */
pid_t
emulator_pid(const Emulator *e, uint32_t program)
{
    return *pid_slot((Emulator *)e, program);
}

/* Kills a program; what it has on disk stays. */
void
emulator_program_kill(Emulator *e, uint32_t program)
{
    pid_t *pid = pid_slot(e, program);

    end_process(*pid);
    *pid = 0;
}

/* Starts a program that was killed or has ended, with its disk. */
void
emulator_program_start(Emulator *e, uint32_t program)
{
    gboolean entry = program < kEmulatorEntries;
    char *boot = g_strdup_printf("%s/%s-%u.json", e->folder,
                                 entry ? "entry" : "control",
                                 entry ? program : program - kEmulatorEntries);
    char *text = NULL;

    if (g_file_get_contents(boot, &text, NULL, NULL)) {
        char *first = strstr(text, "\"bootstrap\":true");
        if (first != NULL) {
            memcpy(first, "\"bootstrap\":null", strlen("\"bootstrap\":true"));
            g_file_set_contents(boot, text, -1, NULL);
        }
        g_free(text);
    }
    *pid_slot(e, program) = launch(entry ? "sapphireweir-platform-entry"
                                         : "sapphireweir-platform-control",
                                   boot);
    g_free(boot);
}

/* Tells whether a process has ended by itself; it is then forgotten. */
gboolean
emulator_ended(Emulator *e, pid_t pid, int *exit_code)
{
    int status = 0;

    if (waitpid(pid, &status, WNOHANG) != pid) {
        return FALSE;
    }
    for (uint32_t i = 0; i < kEmulatorEntries; i++) {
        if (e->entry_pids[i] == pid) {
            e->entry_pids[i] = 0;
        }
    }
    *exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return TRUE;
}

/* Sends a small configuration until it is answered clearly. */
HttpReply
emulator_put_document(Emulator *e, uint32_t version, gboolean with_key)
{
    HttpReply reply = {0};
    char *body = g_strdup_printf(
        "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"shop\","
        "\"path-prefix\":\"/\",\"kind\":\"read_your_writes\","
        "\"timeout-ms\":800,\"target-latency-ms\":250,\"priority\":1,"
        "\"service\":\"orders\",\"max-staleness-ms\":2500,"
        "\"public\":false}],\"services\":[{\"name\":\"orders\","
        "\"max-conns\":23,\"sync-replicas\":0}],"
        "\"limits\":{\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\","
        "\"api-keys\":[\"%s\"],\"rate-per-s\":200,\"burst\":200}]}",
        version, with_key ? "key-1" : "key-2");

    for (uint32_t i = 0; i < 40 && reply.status != 200; i++) {
        g_free(reply.body);
        reply = emulator_http(e, e->controls[i % kEmulatorControls], "PUT",
                              "/config", body);
        if (reply.status != 200) {
            emulator_pump(e, 100);
        }
    }
    g_free(reply.body);
    reply.body = body;
    return reply;
}

/* Returns which member leads. */
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

/* Crashes a member, or brings it back with its log as a replica. */
void
emulator_member_power(Emulator *e, uint32_t i, gboolean on)
{
    Member *m = &e->members[i];

    m->up = on;
    while (!on && m->clients->len > 0) {
        client_free(g_ptr_array_index(m->clients, 0));
    }
}

/* Lets a member say that it will leave. */
void
emulator_member_drain(Emulator *e, uint32_t i)
{
    e->members[i].draining = TRUE;
    e->after_drain = 0;
}

/* Loses the answer to the next read or write, which runs. */
void
emulator_lose_next_answer(Emulator *e)
{
    e->lose_next = TRUE;
}

/* Returns how many promotions were asked for. */
uint32_t
emulator_promotions(const Emulator *e)
{
    return e->promotions;
}

/* Tells whether a member runs. */
gboolean
emulator_member_up(const Emulator *e, uint32_t i)
{
    return e->members[i].up;
}

/* Returns how often a datum was committed. */
uint32_t
emulator_written(const Emulator *e, const char *data)
{
    const GPtrArray *log = e->members[0].log;
    uint32_t count = 0;
    for (guint i = 0; i < log->len; i++) {
        count += strcmp(g_ptr_array_index(log, i), data) == 0;
    }
    return count;
}

/* Returns how many transactions are open at all members. */
uint32_t
emulator_open_transactions(const Emulator *e)
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

/* Returns how many statements a draining member got outside transactions
 * that were open before. */
uint32_t
emulator_after_drain(const Emulator *e)
{
    return e->after_drain;
}

/* ---- callers ---- */

static void
on_caller_read(struct bufferevent *bev, void *ctx)
{
    EmulatorCaller *c = ctx;
    char *line;

    while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL,
                                   EVBUFFER_EOL_CRLF)) != NULL) {
        g_string_append(c->answer, line);
        g_string_append_c(c->answer, '\n');
        c->readies += g_str_has_prefix(line, "READY ");
        free(line);
    }
    event_base_loopbreak(c->e->base);
}

static void
on_caller_event(struct bufferevent *bev, short what, void *ctx)
{
    EmulatorCaller *c = ctx;
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        c->closed = TRUE;
        event_base_loopbreak(c->e->base);
    }
}

/* Connects a caller to an entry instance. */
EmulatorCaller *
caller_connect(Emulator *e, uint32_t entry)
{
    EmulatorCaller *c = g_new0(EmulatorCaller, 1);
    char host[32];
    unsigned port = 0;

    g_assert(sscanf(e->callers[entry], "%31[^:]:%u", host, &port) == 2);
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

/* Sends bytes as they are. */
void
caller_send(EmulatorCaller *c, const char *text)
{
    bufferevent_write(c->bev, text, strlen(text));
}

/* Sends one message and waits for all of its answer, or the connection's
 * end.  The lines are good until the next call. */
const char *
caller_ask(EmulatorCaller *c, const char *text)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)kAskPatienceMs * 1000;

    g_string_truncate(c->answer, 0);
    c->readies = 0;
    caller_send(c, text);
    caller_send(c, "\r\n");
    while (c->readies == 0 && !c->closed &&
           g_get_monotonic_time() < until_us) {
        emulator_pump(c->e, 50);
    }
    return c->answer->str;
}

/* Tells whether the other side has closed. */
gboolean
caller_closed(const EmulatorCaller *c)
{
    return c->closed;
}

/* Closes a caller's connection. */
void
caller_leave(EmulatorCaller *c)
{
    g_ptr_array_remove_fast(c->e->connections, c);
    bufferevent_free(c->bev);
    g_string_free(c->answer, TRUE);
    g_free(c);
}
