#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "adapter/peer.h"

/* Clients that are not trusted, at the HTTP ports of sapphireweir-entry and
 * sapphireweir-control.  The tests check that the program runs, that its
 * resident memory and its open descriptors stay under a bound, and that it
 * answers an ordinary request while the clients are still connected.  They
 * guard against a process that exhausts its memory or its descriptors. */

enum {
    kMiB = 1 << 20,
    kMaxResidentBytes = 64 * kMiB, /* the settings give the program 64 MB */
    kMaxConnections = 40,          /* in the settings */
    kMaxSourceConnections = 10,    /* in those that limit a source */
    kSpareDescriptors = 4, /* for requests of the test itself, and the like */
    kCrowdMs = 3000,       /* clients send for this long */
    kQuietMs = 3000,       /* then they send nothing */
    kSlowIntervalMs = 200, /* between the bytes of a slow client */
    kStepUs = 10000,
    kStartWaitMs = 10000,
    kMaxClients = 300,
    kRequestTimeoutMs = 5000,
    kIdleConnections = 700,
    /* Of resident memory, each; a tenth more than before there were limits. */
    kMaxIdleBytes = 2265,
    kPageBytes = 64 << 10, /* the largest page of the processors in use */
};

static const char kLimits[] = "[limits]\n"
                              "memory_mb = 64\n"
                              "connections = 40\n"
                              "message_timeout_ms = 1000\n"
                              "send_timeout_ms = 1000\n"
                              "bytes_per_s = 100000\n";
static const char kSourceLimits[] = "[limits]\n"
                                    "memory_mb = 64\n"
                                    "connections = 40\n"
                                    "connections_per_source = 10\n"
                                    "message_timeout_ms = 60000\n"
                                    "bytes_per_s = 1\n";
static const char kLargeBodies[] = "[limits]\n"
                                   "memory_mb = 64\n"
                                   "body_bytes = 16777216\n";
static const char kManyConnections[] = "[limits]\n"
                                       "connections = 800\n";

typedef enum { kEntry, kControl, kProgramCount } ProgramKind;

static const char *const program_names[] = {"sapphireweir-entry",
                                            "sapphireweir-control"};

typedef struct {
    pid_t pid;
    uint16_t port;
    uint16_t peer_port;
    uint32_t descriptors; /* open ones without clients */
} Program;

static Program programs[kProgramCount];

/* A number of equal clients. */
typedef struct {
    const char *name;
    uint32_t connections;
    const char *first;  /* sent once */
    const char *repeat; /* sent again and again; NULL: nothing */
    size_t max_bytes;   /* that each connection sends */
    gboolean slow;      /* a byte in each kSlowIntervalMs */
    gboolean reads;     /* reads what arrives */
    gboolean answered;  /* each connection gets one complete answer */
} Crowd;

typedef struct {
    const Crowd *crowd;
    int fd; /* -1: closed by the program */
    size_t sent_bytes;
    gint64 next_us; /* of a slow client's next byte */
    size_t received_bytes;
} Client;

/* ---- the programs ---- */

/* Returns a port that is free now, below the range of ephemeral ports. */
static uint16_t
free_port(void)
{
    static uint16_t next;
    struct sockaddr_in at = {.sin_family = AF_INET};

    if (next == 0) {
        next = (uint16_t)(21000 + getpid() % 9000);
    }
    for (;;) {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        at.sin_port = htons(++next);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        gboolean is_free = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
        close(fd);
        if (is_free) {
            return next;
        }
    }
}

/* Returns a connection from a loopback address to a program's HTTP port, -1 if
 * it is refused. */
static int
connect_from(ProgramKind kind, in_addr_t source)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    struct sockaddr_in from = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    from.sin_addr.s_addr = htonl(source);
    if (bind(fd, (struct sockaddr *)&from, sizeof(from)) != 0) {
        close(fd);
        return -1;
    }
    at.sin_port = htons(programs[kind].port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static int
connect_to(ProgramKind kind)
{
    return connect_from(kind, INADDR_LOOPBACK);
}

/* Sends a whole request, which must ask for the connection to be closed, and
 * returns the answer, "" if there is none.  The caller frees it. */
static char *
request_from(ProgramKind kind, in_addr_t source, const char *text,
             size_t bytes)
{
    GString *answer = g_string_new(NULL);
    gint64 end_us = g_get_monotonic_time() + kRequestTimeoutMs * 1000;
    size_t sent_bytes = 0;
    int fd = connect_from(kind, source);

    while (fd >= 0 && g_get_monotonic_time() < end_us) {
        char buffer[4096];
        short events = sent_bytes < bytes ? POLLIN | POLLOUT : POLLIN;
        struct pollfd p = {fd, events, 0};
        poll(&p, 1, 100);
        if (sent_bytes < bytes) {
            ssize_t sent =
                send(fd, text + sent_bytes, bytes - sent_bytes, MSG_NOSIGNAL);
            sent_bytes += sent > 0 ? (size_t)sent : 0;
        }
        ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
        if (got == 0 || (got < 0 && errno != EAGAIN)) {
            break;
        }
        g_string_append_len(answer, buffer, MAX(got, 0));
    }
    if (fd >= 0) {
        close(fd);
    }
    return g_string_free(answer, FALSE);
}

static char *
request(ProgramKind kind, const char *text, size_t bytes)
{
    return request_from(kind, INADDR_LOOPBACK, text, bytes);
}

/* Returns whether a program answers an ordinary request from an address. */
static gboolean
serves_from(ProgramKind kind, in_addr_t source)
{
    static const char text[] =
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    char *answer = request_from(kind, source, text, sizeof(text) - 1);
    gboolean ok = g_str_has_prefix(answer, "HTTP/1.1 200") &&
                  strstr(answer, "sapphireweir_client_held_bytes") != NULL;
    g_free(answer);
    return ok;
}

static gboolean
serves(ProgramKind kind)
{
    return serves_from(kind, INADDR_LOOPBACK);
}

/* Returns the number of open descriptors of a program. */
static uint32_t
count_descriptors(ProgramKind kind)
{
    char path[64];
    uint32_t count = 0;
    g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)programs[kind].pid);
    GDir *dir = g_dir_open(path, 0, NULL);

    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        count++;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return count;
}

/* Returns the resident memory of a program, zero if it has ended. */
static uint64_t
resident_bytes(ProgramKind kind)
{
    char path[64];
    char *text = NULL;
    unsigned long pages = 0;

    g_snprintf(path, sizeof(path), "/proc/%d/statm", (int)programs[kind].pid);
    if (g_file_get_contents(path, &text, NULL, NULL) &&
        sscanf(text, "%*u %lu", &pages) != 1) {
        pages = 0;
    }
    g_free(text);
    return (uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* Returns the most memory that a program ever held, zero if it has ended. */
static uint64_t
peak_bytes(ProgramKind kind)
{
    char path[64];
    char *text = NULL;
    unsigned long kib = 0;

    g_snprintf(path, sizeof(path), "/proc/%d/status", (int)programs[kind].pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *line = strstr(text, "VmHWM:");
        kib = line == NULL ? 0 : strtoul(line + strlen("VmHWM:"), NULL, 10);
    }
    g_free(text);
    return (uint64_t)kib * 1024;
}

/* Starts a program alone, with settings in a folder of the build tree that end
 * with the given [limits], and waits until it serves. */
static gboolean
start_with_limits(ProgramKind kind, const char *limits)
{
    char *dir = g_build_filename(SAPPHIREWEIR_BUILD, "clients",
                                 program_names[kind], NULL);
    char *data = g_build_filename(dir, "data", NULL);
    char *secret = g_build_filename(dir, "secret", NULL);
    char *path = g_build_filename(dir, "settings.toml", NULL);
    char *program =
        g_build_filename(SAPPHIREWEIR_BUILD, program_names[kind], NULL);
    uint16_t peer = free_port();
    programs[kind].port = free_port();
    programs[kind].peer_port = peer;
    char *text = g_strdup_printf(
        "[instance]\nid = \"one\"\nfailure_domain = \"d0\"\n"
        "[listen]\nhttp = \"127.0.0.1:%u\"\npeer = \"127.0.0.1:%u\"\n"
        "[cluster]\nname = \"clients\"\nsecret_file = \"%s\"\n"
        "[[control]]\nid = \"one\"\nfailure_domain = \"d0\"\n"
        "address = \"127.0.0.1:%u\"\n%s%s%s%s%s%s%s",
        programs[kind].port, peer, secret, kind == kControl ? peer : 1, limits,
        kind == kControl ? "[data]\nfolder = \"" : "",
        kind == kControl ? data : "", kind == kControl ? "\"\n" : "",
        kind == kEntry ? "[operator]\ntoken_file = \"" : "",
        kind == kEntry ? secret : "", kind == kEntry ? "\"\n" : "");
    char digits[65];

    memset(digits, '5', 64);
    digits[64] = '\0';
    g_mkdir_with_parents(dir, 0700);
    g_file_set_contents(secret, digits, -1, NULL);
    g_file_set_contents(path, text, -1, NULL);
    programs[kind].pid = fork();
    if (programs[kind].pid == 0) {
        char *log = g_build_filename(dir, "log", NULL);
        if (freopen(log, "w", stderr) != NULL) {
            execl(program, program, "--settings", path,
                  kind == kControl ? "--bootstrap" : NULL, NULL);
        }
        _exit(127);
    }
    gboolean ready = FALSE;
    for (int ms = 0; ms < kStartWaitMs && !ready; ms += 50) {
        usleep(50000);
        ready = serves(kind);
    }
    usleep(200000);
    programs[kind].descriptors = count_descriptors(kind);
    g_free(text);
    g_free(program);
    g_free(path);
    g_free(secret);
    g_free(data);
    g_free(dir);
    return ready;
}

static gboolean
start_program(ProgramKind kind)
{
    return start_with_limits(kind, kLimits);
}

/* Stops a program.  Returns whether it still ran. */
static gboolean
stop_program(ProgramKind kind)
{
    gboolean ran = waitpid(programs[kind].pid, NULL, WNOHANG) == 0;
    if (ran) {
        kill(programs[kind].pid, SIGKILL);
        waitpid(programs[kind].pid, NULL, 0);
    }
    return ran;
}

/* ---- crowds ---- */

/* Sends what the socket takes. */
static void
client_send(Client *c, gint64 now_us)
{
    static char block[64 << 10];
    const Crowd *crowd = c->crowd;

    while (c->sent_bytes < crowd->max_bytes &&
           (!crowd->slow || now_us >= c->next_us)) {
        size_t first_bytes = strlen(crowd->first);
        size_t bytes = first_bytes - MIN(c->sent_bytes, first_bytes);
        const char *text = crowd->first + c->sent_bytes;
        if (bytes == 0 && crowd->repeat == NULL) {
            return;
        }
        if (bytes == 0) {
            /* The block repeats the text, from where the last one ended. */
            size_t period = strlen(crowd->repeat);
            size_t phase = (c->sent_bytes - first_bytes) % period;
            bytes = sizeof(block);
            for (size_t i = 0; i < bytes; i++) {
                block[i] = crowd->repeat[(phase + i) % period];
            }
            text = block;
        }
        bytes = MIN(bytes, crowd->max_bytes - c->sent_bytes);
        bytes = crowd->slow ? 1 : bytes;
        ssize_t sent = send(c->fd, text, bytes, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        c->sent_bytes += (size_t)sent;
        c->next_us = now_us + kSlowIntervalMs * 1000;
    }
}

/* Reads what has arrived; closes the connection when the program did. */
static void
client_receive(Client *c)
{
    char buffer[4096];
    int flags = c->crowd->reads ? 0 : MSG_PEEK;
    ssize_t got = recv(c->fd, buffer, sizeof(buffer), flags);

    if (got == 0 || (got < 0 && errno != EAGAIN)) {
        close(c->fd);
        c->fd = -1;
        return;
    }
    c->received_bytes += c->crowd->reads ? (size_t)MAX(got, 0) : 0;
}

/* Connects the crowds, lets them send and then stay idle, and checks the
 * program, which has the given [limits], all the time and at the end.  It may
 * keep that many connections at a time, and of those that are quiet. */
static void
run_crowds_with_limits(ProgramKind kind, const Crowd *const *crowds,
                       size_t crowd_count, const char *limits,
                       uint32_t max_connections, uint32_t max_quiet)
{
    static Client clients[kMaxClients];
    uint32_t count = 0;
    uint64_t most_bytes = 0;
    uint32_t most_descriptors = 0;
    uint32_t unanswered = 0;

    CU_ASSERT_FATAL(start_with_limits(kind, limits));
    for (size_t i = 0; i < crowd_count; i++) {
        for (uint32_t k = 0; k < crowds[i]->connections; k++) {
            clients[count++] = (Client){crowds[i], connect_to(kind), 0, 0, 0};
        }
    }
    gint64 started_us = g_get_monotonic_time();
    gint64 now_us = started_us;
    while (now_us - started_us < (kCrowdMs + kQuietMs) * 1000) {
        for (uint32_t i = 0; i < count; i++) {
            Client *c = &clients[i];
            if (c->fd >= 0 && now_us - started_us < kCrowdMs * 1000) {
                client_send(c, now_us);
            }
            if (c->fd >= 0) {
                client_receive(c);
            }
        }
        most_bytes = MAX(most_bytes, resident_bytes(kind));
        most_descriptors = MAX(most_descriptors, count_descriptors(kind));
        usleep(kStepUs);
        now_us = g_get_monotonic_time();
    }
    uint32_t after = count_descriptors(kind);
    gboolean serves_after =
        serves(kind) && serves_from(kind, INADDR_LOOPBACK + 1);
    for (uint32_t i = 0; i < count; i++) {
        unanswered +=
            clients[i].crowd->answered && clients[i].received_bytes == 0;
        if (clients[i].fd >= 0) {
            close(clients[i].fd);
        }
    }
    gboolean ran = stop_program(kind);
    printf("\n    %s, %s: %" G_GUINT64_FORMAT " KiB, %u descriptors, %u at "
           "the end ",
           program_names[kind], crowds[0]->name, most_bytes / 1024,
           most_descriptors, after);
    CU_ASSERT(ran);
    CU_ASSERT(serves_after);
    CU_ASSERT(most_bytes <= kMaxResidentBytes);
    CU_ASSERT(most_descriptors <= programs[kind].descriptors +
                                      max_connections + kSpareDescriptors);
    CU_ASSERT(after <=
              programs[kind].descriptors + max_quiet + kSpareDescriptors);
    CU_ASSERT_EQUAL(unanswered, 0);
}

static void
run_crowds(ProgramKind kind, const Crowd *const *crowds, size_t crowd_count)
{
    run_crowds_with_limits(kind, crowds, crowd_count, kLimits, kMaxConnections,
                           0);
}

/* Runs one crowd at each program. */
static void
run_crowd(const Crowd *crowd)
{
    for (int kind = 0; kind < kProgramCount; kind++) {
        run_crowds((ProgramKind)kind, &crowd, 1);
    }
}

/* ---- tests ---- */

static const Crowd pipelining = {"pipelined requests without reading",
                                 30,
                                 "",
                                 "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                                 32 * kMiB,
                                 FALSE,
                                 FALSE,
                                 FALSE};
static const Crowd slow_headers = {
    "slow headers", 60,   "GET /metrics HTTP/1.1\r\nX: ", "aaaa", kMiB, TRUE,
    FALSE,          FALSE};
static const Crowd partial_bodies = {
    "bodies that stop part-way",
    120,
    "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n",
    "{\"args\":{\"v\":\"x\"}}",
    900000,
    FALSE,
    FALSE,
    FALSE};
/* The body of the second request is announced and not sent. */
static const Crowd expecting = {
    "bodies after 100 Continue that stop",
    60,
    "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n"
    "Expect: 100-continue\r\n\r\n",
    NULL,
    1000,
    FALSE,
    TRUE,
    FALSE};
static const Crowd slow_bodies = {
    "slow bodies",
    60,
    "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n",
    "a",
    kMiB,
    TRUE,
    FALSE,
    FALSE};
static const Crowd oversized_bodies = {
    "bodies over the limit",
    30,
    "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
    "a",
    32 * kMiB,
    FALSE,
    TRUE,
    TRUE};
static const Crowd endless_headers = {"headers without an end",
                                      30,
                                      "GET / HTTP/1.1\r\nX: ",
                                      "a",
                                      32 * kMiB,
                                      FALSE,
                                      TRUE,
                                      FALSE};
static const Crowd endless_chunks = {
    "chunks without an end",
    30,
    "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    "10\r\naaaaaaaaaaaaaaaa\r\n",
    32 * kMiB,
    FALSE,
    TRUE,
    FALSE};
static const Crowd silent = {
    "connections that send nothing", 300, "", NULL, 0, FALSE, FALSE, FALSE};

static void
pipelined_requests_without_reading(void)
{
    run_crowd(&pipelining);
}

static void
headers_that_arrive_slowly(void)
{
    run_crowd(&slow_headers);
}

static void
bodies_that_stop_part_way(void)
{
    run_crowd(&partial_bodies);
    run_crowd(&expecting);
}

static void
bodies_that_arrive_slowly(void)
{
    run_crowd(&slow_bodies);
}

static void
messages_over_the_limit(void)
{
    run_crowd(&oversized_bodies);
    run_crowd(&endless_headers);
    run_crowd(&endless_chunks);
}

static void
more_connections_than_allowed(void)
{
    run_crowd(&silent);
}

static void
two_kinds_at_once(void)
{
    static const Crowd *const both[] = {&pipelining, &slow_headers};
    static const Crowd *const large[] = {&partial_bodies, &oversized_bodies};

    run_crowds(kEntry, both, G_N_ELEMENTS(both));
    run_crowds(kControl, large, G_N_ELEMENTS(large));
}

/* Guards against one source address that uses all connections, or all the
 * memory that clients may use.  No time limit ends the crowds. */
static void
a_source_uses_its_part_only(void)
{
    static const Crowd *const crowds[] = {&silent, &partial_bodies};

    for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++) {
        for (int kind = 0; kind < kProgramCount; kind++) {
            run_crowds_with_limits((ProgramKind)kind, &crowds[i], 1,
                                   kSourceLimits, kMaxSourceConnections,
                                   kMaxSourceConnections);
        }
    }
}

/* Guards against a source address that holds all connections for a moment: a
 * program that finds a backlog of connections accepted it as a whole before it
 * looked at their addresses.  The program is suspended while the clients
 * connect; its descriptors are then counted without a pause. */
static void
a_backlog_of_one_source_is_limited(void)
{
    enum { kClients = 60, kWatchMs = 300 };
    int fds[kClients];

    for (int k = 0; k < kProgramCount; k++) {
        ProgramKind kind = (ProgramKind)k;
        uint32_t most = 0;
        CU_ASSERT_FATAL(start_with_limits(kind, kSourceLimits));
        kill(programs[kind].pid, SIGSTOP);
        for (int i = 0; i < kClients; i++) {
            fds[i] = connect_to(kind);
        }
        kill(programs[kind].pid, SIGCONT);
        gint64 end_us = g_get_monotonic_time() + kWatchMs * 1000;
        while (g_get_monotonic_time() < end_us) {
            most = MAX(most, count_descriptors(kind));
        }
        for (int i = 0; i < kClients; i++) {
            close(fds[i]);
        }
        printf("\n    %s: %u descriptors, %u without clients ",
               program_names[kind], most, programs[kind].descriptors);
        CU_ASSERT(most <= programs[kind].descriptors + kMaxSourceConnections +
                              kSpareDescriptors);
        CU_ASSERT(serves_from(kind, INADDR_LOOPBACK + 1));
        CU_ASSERT(stop_program(kind));
    }
}

/* Guards against requests that are kept when their client has gone.  Without
 * control an operator's change waits for 6 s. */
static void
abandoned_requests_are_freed(void)
{
    enum { kRequests = 120, kBodyBytes = 900000, kWaitUs = 20000 };
    GString *text = g_string_new(NULL);
    uint64_t most_bytes = 0;

    g_string_printf(text,
                    "POST /admin/v1/changes HTTP/1.1\r\nHost: x\r\n"
                    "Authorization: Bearer %064d\r\nOperation-Id: a\r\n"
                    "Content-Length: %d\r\n\r\n{\"changes\":[\"",
                    0, kBodyBytes);
    char *zeros = strstr(text->str, "Bearer ") + strlen("Bearer ");
    memset(zeros, '5', 64);
    for (size_t i = strlen("{\"changes\":[\"\"]}"); i < kBodyBytes; i++) {
        g_string_append_c(text, 'a');
    }
    g_string_append(text, "\"]}");
    CU_ASSERT_FATAL(start_program(kEntry));
    for (int i = 0; i < kRequests; i++) {
        int fd = connect_to(kEntry);
        size_t sent_bytes = 0;
        char byte;
        for (int k = 0; k < 200 && sent_bytes < text->len; k++) {
            ssize_t sent = send(fd, text->str + sent_bytes,
                                text->len - sent_bytes, MSG_NOSIGNAL);
            sent_bytes += sent > 0 ? (size_t)sent : 0;
            usleep(1000);
        }
        usleep(kWaitUs);
        /* It must wait for an answer now. */
        CU_ASSERT(recv(fd, &byte, 1, 0) < 0 && errno == EAGAIN);
        CU_ASSERT_EQUAL(sent_bytes, text->len);
        close(fd);
        most_bytes = MAX(most_bytes, resident_bytes(kEntry));
    }
    printf("\n    %" G_GUINT64_FORMAT " KiB ", most_bytes / 1024);
    CU_ASSERT(most_bytes <= kMaxResidentBytes);
    CU_ASSERT(serves(kEntry));
    CU_ASSERT(stop_program(kEntry));
    g_string_free(text, TRUE);
}

/* Guards against limits that reject a legal message. */
static void
a_legal_message_of_the_maximum_size_is_served(void)
{
    GString *text = g_string_new(
        "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: 1048576\r\n\r\n");
    for (int i = 0; i < kMiB; i++) {
        g_string_append_c(text, 'a');
    }
    for (int kind = 0; kind < kProgramCount; kind++) {
        CU_ASSERT_FATAL(start_program((ProgramKind)kind));
        char *answer = request((ProgramKind)kind, text->str, text->len);
        /* A lone instance knows no service: 503 or 404 is an answer of the
         * program itself. */
        CU_ASSERT(g_str_has_prefix(answer, "HTTP/1.1 503") ||
                  g_str_has_prefix(answer, "HTTP/1.1 40"));
        CU_ASSERT_PTR_NULL(strstr(answer, " 413 "));
        g_free(answer);
        CU_ASSERT(stop_program((ProgramKind)kind));
    }
    g_string_free(text, TRUE);
}

/* Opens connections that send one request each and then stay idle, and
 * returns how many got an answer. */
static uint32_t
connect_idle(ProgramKind kind, int *fds, uint32_t count)
{
    static const char text[] = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    uint32_t answered = 0;

    for (uint32_t i = 0; i < count; i++) {
        char buffer[4096];
        fds[i] = connect_to(kind);
        struct pollfd p = {fds[i], POLLOUT, 0};
        poll(&p, 1, kRequestTimeoutMs);
        CU_ASSERT(send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL) > 0);
        p.events = POLLIN;
        poll(&p, 1, kRequestTimeoutMs);
        answered += recv(fds[i], buffer, sizeof(buffer), 0) > 0;
    }
    return answered;
}

/* Guards against accounts that cost more than the connections: idle ones held
 * 2,516 bytes when their records were not freed between requests. */
static void
idle_connections_cost_little(void)
{
    static int fds[kIdleConnections];

    CU_ASSERT_FATAL(start_with_limits(kEntry, kManyConnections));
    uint64_t before_bytes = resident_bytes(kEntry);
    CU_ASSERT_EQUAL(connect_idle(kEntry, fds, kIdleConnections),
                    kIdleConnections);
    usleep(kQuietMs * 1000 / 2);
    uint64_t more_bytes = resident_bytes(kEntry) - before_bytes;
    printf("\n    %" G_GUINT64_FORMAT " bytes each ",
           more_bytes / kIdleConnections);
    CU_ASSERT(more_bytes <= kIdleConnections * kMaxIdleBytes + kPageBytes);
    CU_ASSERT(serves(kEntry));
    for (uint32_t i = 0; i < kIdleConnections; i++) {
        close(fds[i]);
    }
    CU_ASSERT(stop_program(kEntry));
}

/* Guards against JSON that takes far more memory than its text: 15 MiB of
 * "0," made an entry instance hold more than four times its memory. */
static void
json_of_many_small_values(void)
{
    static const struct {
        const char *path;
        const char *repeat;
    } cases[] = {
        {"/admin/v1/changes", "0,"},
        {"/admin/v1/changes", "[],"},
        {"/admin/v1/changes", "{\"a\":"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *body = g_string_new("{\"changes\":[");
        char zeros[65];
        uint64_t most_bytes = 0;

        memset(zeros, '5', 64);
        zeros[64] = '\0';
        while (body->len < 15 * kMiB) {
            g_string_append(body, cases[i].repeat);
        }
        g_string_append(body, "0]}");
        char *text = g_strdup_printf(
            "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
            "Operation-Id: a\r\nConnection: close\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            cases[i].path, zeros, body->len, body->str);
        CU_ASSERT_FATAL(start_with_limits(kEntry, kLargeBodies));
        char *answer = request(kEntry, text, strlen(text));
        most_bytes = peak_bytes(kEntry);
        printf("\n    %s: %" G_GUINT64_FORMAT " KiB, %.12s ", cases[i].repeat,
               most_bytes / 1024, answer);
        CU_ASSERT(most_bytes <= kMaxResidentBytes);
        CU_ASSERT(serves(kEntry));
        CU_ASSERT(stop_program(kEntry));
        g_free(answer);
        g_free(text);
        g_string_free(body, TRUE);
    }
}

static void
ignore_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    (void)ctx;
    (void)from;
    (void)frame;
}

static void
count_lost_link(void *ctx, const char *peer)
{
    (void)peer;
    (*(uint32_t *)ctx)++;
}

/* Lets at most kMaxPeers peers that know the cluster's secret send a frame to
 * a program again and again for kCrowdMs, and returns how often a link was
 * lost.  Sets the most memory that the program held. */
static uint32_t
run_peers(ProgramKind kind, uint32_t count, const Sw__Frame *frame,
          uint64_t *most_bytes)
{
    enum { kMaxPeers = 2 };
    uint8_t secret[32];
    uint32_t lost = 0;
    PeerEvents events = {
        .ctx = &lost, .frame = ignore_frame, .down = count_lost_link};
    struct event_base *base = event_base_new();
    Peer *peers[kMaxPeers];
    char address[64];

    memset(secret, 0x55, sizeof(secret));
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               programs[kind].peer_port);
    *most_bytes = 0;
    for (uint32_t i = 0; i < count; i++) {
        char id[16];
        char listen[32];
        g_snprintf(id, sizeof(id), "peer-%u", i);
        g_snprintf(listen, sizeof(listen), "127.0.0.1:%u", free_port());
        peers[i] = peer_new(base, id, 1, secret, listen, &events, NULL);
        g_assert(peers[i] != NULL);
        peer_set_address(peers[i], "one", address);
    }
    gint64 end_us = g_get_monotonic_time() + kCrowdMs * 1000;
    while (g_get_monotonic_time() < end_us) {
        struct timeval step = {0, kStepUs};
        for (uint32_t i = 0; i < count; i++) {
            if (peer_ready(peers[i], "one")) {
                peer_send(peers[i], "one", frame);
            }
        }
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
        *most_bytes = MAX(*most_bytes, resident_bytes(kind));
    }
    uint32_t lost_before_end = lost;
    for (uint32_t i = 0; i < count; i++) {
        peer_free(peers[i]);
    }
    event_base_free(base);
    return lost_before_end;
}

/* Runs peers that send a frame with one long value. */
static uint32_t
run_peers_with_text(ProgramKind kind, uint32_t count, uint32_t frame_bytes,
                    uint64_t *most_bytes)
{
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayRun run = SW__RELAY_RUN__INIT;

    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &run;
    run.server = g_strnfill(frame_bytes, 'x');
    uint32_t lost = run_peers(kind, count, &frame, most_bytes);
    g_free(run.server);
    return lost;
}

/* Guards against a frame that takes far more memory than its bytes: 2 MiB that
 * hold a million empty messages. */
static void
frames_of_many_small_values(void)
{
    enum { kValues = 1000000 };
    Sw__Change change = SW__CHANGE__INIT;
    Sw__Change **changes = g_new(Sw__Change *, kValues);
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__StateUpdate update = SW__STATE_UPDATE__INIT;

    for (uint32_t i = 0; i < kValues; i++) {
        changes[i] = &change;
    }
    frame.body_case = SW__FRAME__BODY_STATE_UPDATE;
    frame.state_update = &update;
    update.n_changes = kValues;
    update.changes = changes;
    for (int kind = 0; kind < kProgramCount; kind++) {
        uint64_t most_bytes;
        CU_ASSERT_FATAL(start_program((ProgramKind)kind));
        run_peers((ProgramKind)kind, 1, &frame, &most_bytes);
        most_bytes = peak_bytes((ProgramKind)kind);
        printf("\n    %s: %" G_GUINT64_FORMAT " KiB ", program_names[kind],
               most_bytes / 1024);
        CU_ASSERT(most_bytes <= kMaxResidentBytes);
        CU_ASSERT(serves((ProgramKind)kind));
        CU_ASSERT(stop_program((ProgramKind)kind));
    }
    g_free(changes);
}

/* Guards against a peer that knows the secret and sends frames larger than
 * the memory of the settings. */
static void
peers_send_too_much(void)
{
    for (int kind = 0; kind < kProgramCount; kind++) {
        uint64_t most_bytes;
        CU_ASSERT_FATAL(start_program((ProgramKind)kind));
        uint32_t lost =
            run_peers_with_text((ProgramKind)kind, 2, 48 * kMiB, &most_bytes);
        printf("\n    %s: %" G_GUINT64_FORMAT " KiB, %u links lost ",
               program_names[kind], most_bytes / 1024, lost);
        CU_ASSERT(most_bytes <= kMaxResidentBytes);
        CU_ASSERT(serves((ProgramKind)kind));
        CU_ASSERT(stop_program((ProgramKind)kind));
    }
}

/* Guards against limits that reject a legal frame: a log entry with the
 * largest configuration. */
static void
a_legal_frame_of_the_maximum_size_is_received(void)
{
    for (int kind = 0; kind < kProgramCount; kind++) {
        uint64_t most_bytes;
        CU_ASSERT_FATAL(start_program((ProgramKind)kind));
        CU_ASSERT_EQUAL(
            run_peers_with_text((ProgramKind)kind, 1, 17 * kMiB, &most_bytes),
            0);
        CU_ASSERT(serves((ProgramKind)kind));
        CU_ASSERT(stop_program((ProgramKind)kind));
    }
}

/* Runs all tests, or the one that is named. */
int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"pipelined requests without reading",
         pipelined_requests_without_reading},
        {"headers that arrive slowly", headers_that_arrive_slowly},
        {"bodies that stop part-way", bodies_that_stop_part_way},
        {"bodies that arrive slowly", bodies_that_arrive_slowly},
        {"messages over the limit", messages_over_the_limit},
        {"more connections than allowed", more_connections_than_allowed},
        {"two kinds at once", two_kinds_at_once},
        {"a source uses its part only", a_source_uses_its_part_only},
        {"a backlog of one source is limited",
         a_backlog_of_one_source_is_limited},
        {"abandoned requests are freed", abandoned_requests_are_freed},
        {"a legal message of the maximum size is served",
         a_legal_message_of_the_maximum_size_is_served},
        {"idle connections cost little", idle_connections_cost_little},
        {"JSON of many small values", json_of_many_small_values},
        {"peers send too much", peers_send_too_much},
        {"frames of many small values", frames_of_many_small_values},
        {"a legal frame of the maximum size is received",
         a_legal_frame_of_the_maximum_size_is_received},
    };

    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    CU_pSuite s = CU_add_suite("HTTP clients", NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        if (argc < 2 || strcmp(argv[1], tests[i].name) == 0) {
            CU_add_test(s, tests[i].name, tests[i].test);
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_tests_failed();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
