#define _GNU_SOURCE /* prlimit */

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter/peer.h"
#include "core/message.h"
#include "emulator.h"
#include "test_http_listener.h"

/* Clients that are not trusted, at each port of the platform programs.  The
 * tests check that the program runs, that its resident memory and its open
 * descriptors stay under a bound, and that it answers an ordinary request
 * afterwards. */

enum {
    kMiB = 1 << 20,
    /* Resident memory of a program whose settings give it 64 MB. */
    kMaxResidentBytes = 64 * kMiB,
    kStepMs = 10,
    kSlowIntervalMs = 200, /* between the bytes of a slow client */
    kMaxMessageBytes = kMiB,
    kPeerPortWaitMs = 3000,
};

static const char kLimits[] =
    "{\"memory-mb\":64,\"max-callers\":80,\"http-connections\":40,"
    "\"peer-connections\":40,\"startup-timeout-ms\":1000,"
    "\"message-timeout-ms\":1000,\"send-timeout-ms\":1000,"
    "\"min-bytes-per-s\":100000}";

typedef enum { kCallerPort, kProbePort, kControlPort, kPeerPort } Port;

/* A number of equal connections. */
typedef struct {
    Port port;
    uint32_t connections;
    const char *first;   /* sent once */
    const char *repeat;  /* sent again and again; %u gets a number */
    size_t max_bytes;    /* that each connection sends */
    gboolean slow;       /* sends a byte in each kSlowIntervalMs */
    gboolean reads;      /* reads what arrives */
    uint32_t during_fds; /* most further descriptors at any time */
    uint32_t after_fds;  /* most further descriptors at the end */
} Crowd;

typedef struct {
    const Crowd *crowd;
    int fd;
    uint32_t number;
    size_t sent_bytes;
    GString *pending; /* to be sent before more is formatted */
    gint64 next_us;   /* of a slow client's next byte */
} Client;

static Emulator *emulator;

/* ---- the programs ---- */

/* Returns the number of the program that listens at a port. */
static uint32_t
program_of(Port port)
{
    return port == kControlPort ? kEmulatorEntries : 0;
}

static size_t
resident_bytes(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
    char *text = NULL;
    unsigned long pages = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        sscanf(text, "%*u %lu", &pages);
    }
    g_free(text);
    g_free(path);
    return pages * (size_t)sysconf(_SC_PAGESIZE);
}

static uint32_t
descriptor_count(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
    GDir *dir = g_dir_open(path, 0, NULL);
    uint32_t count = 0;

    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        count++;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    g_free(path);
    return count;
}

/* Returns whether all programs run. */
static gboolean
all_programs_run(void)
{
    int exit_code;

    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        pid_t pid = emulator_program_pid(emulator, i);
        if (pid == 0 || emulator_reap(emulator, pid, &exit_code)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns whether a caller's request gets the wanted answer within 5 s. */
static gboolean
caller_gets(const char *request, const char *wanted)
{
    gboolean found = FALSE;

    for (int i = 0; i < 50 && !found; i++) {
        EmulatorCaller *c = caller_connect(emulator, 0);
        found = g_str_has_prefix(caller_request(c, "STARTUP shop key-1"),
                                 "READY") &&
                strstr(caller_request(c, request), wanted) != NULL;
        caller_close(c);
        if (!found) {
            emulator_run_for(emulator, 100);
        }
    }
    return found;
}

/* Returns whether an HTTP request is answered with 200 within 5 s. */
static gboolean
http_succeeds(const char *address, const char *path)
{
    int status = 0;

    for (int i = 0; i < 50 && status != 200; i++) {
        HttpResponse r =
            emulator_http_request(emulator, address, "GET", path, NULL);
        status = r.status;
        g_free(r.body);
        if (status != 200) {
            emulator_run_for(emulator, 100);
        }
    }
    return status == 200;
}

/* Returns whether ordinary requests are answered at all ports. */
static gboolean
ordinary_requests_succeed(void)
{
    return caller_gets("QUERY o1 READ 1", "COMPLETE") &&
           http_succeeds(emulator_probe_address(emulator, 0), "/readyz") &&
           http_succeeds(emulator_control_address(emulator, 0), "/config");
}

/* Waits, for at most 10 s, until a program's number of descriptors stays the
 * same for 1.5 s: after its start it opens links to its peers and servers. */
static void
settle(pid_t pid)
{
    uint32_t count = descriptor_count(pid);
    uint32_t same = 0;

    for (uint32_t i = 0; i < 100 && same < 15; i++) {
        gint64 end_us = g_get_monotonic_time() + 100 * 1000;
        while (g_get_monotonic_time() < end_us) {
            emulator_run_for(emulator, kStepMs);
        }
        uint32_t now = descriptor_count(pid);
        /* A status report's connection may be open. */
        same = now <= count + 1 && count <= now + 1 ? same + 1 : 0;
        count = now;
    }
}

/* Starts a program again, so that memory which an earlier test made it hold
 * does not count. */
static void
restart_program(uint32_t program)
{
    emulator_kill_program(emulator, program);
    emulator_start_program(emulator, program);
    emulator_run_for(emulator, 300);
    CU_ASSERT(ordinary_requests_succeed());
    settle(emulator_program_pid(emulator, program));
}

/* ---- crowds ---- */

/* Returns the address of a port of the first entry or control instance; valid
 * until the next call. */
static const char *
port_address(Port port)
{
    static char address[64];
    char *path;
    char *text = NULL;
    unsigned number = 0;

    switch (port) {
    case kCallerPort:
        return emulator_caller_address(emulator, 0);
    case kProbePort:
        return emulator_probe_address(emulator, 0);
    case kControlPort:
        return emulator_control_address(emulator, 0);
    case kPeerPort:
        break;
    }
    path = g_strdup(SAPPHIREWEIR_BUILD "/platform-clients/entry-0.json");
    g_assert(g_file_get_contents(path, &text, NULL, NULL));
    g_assert(sscanf(strstr(text, "\"port-range\":["), "\"port-range\":[%u",
                    &number) == 1);
    g_snprintf(address, sizeof(address), "127.0.2.1:%u", number);
    g_free(text);
    g_free(path);
    return address;
}

static int
connect_to(const char *address)
{
    struct sockaddr_in at;
    int length = sizeof(at);
    int receive_bytes = 64 << 10; /* what is not read must not fit */
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    g_assert(evutil_parse_sockaddr_port(address, (struct sockaddr *)&at,
                                        &length) == 0);
    if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends what the socket takes. */
static void
client_send(Client *c, gint64 now_us)
{
    const Crowd *crowd = c->crowd;

    while (c->fd >= 0 && c->sent_bytes < crowd->max_bytes &&
           (!crowd->slow || now_us >= c->next_us)) {
        while (c->pending->len < 64 << 10 && crowd->repeat != NULL) {
            char text[2048];
            g_snprintf(text, sizeof(text), crowd->repeat, c->number++);
            g_string_append(c->pending, text);
        }
        size_t bytes = MIN(c->pending->len, crowd->max_bytes - c->sent_bytes);
        bytes = crowd->slow ? MIN(bytes, (size_t)1) : bytes;
        ssize_t sent = send(c->fd, c->pending->str, bytes, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        g_string_erase(c->pending, 0, sent);
        c->sent_bytes += (size_t)sent;
        c->next_us = now_us + kSlowIntervalMs * 1000;
    }
}

static void
client_read(Client *c)
{
    static char discard[64 << 10];

    while (c->fd >= 0 && c->crowd->reads &&
           recv(c->fd, discard, sizeof(discard), 0) > 0) {
    }
}

/* Adds the connections of a crowd. */
static void
crowd_connect(GPtrArray *clients, const Crowd *crowd)
{
    for (uint32_t i = 0; i < crowd->connections; i++) {
        Client *c = g_new0(Client, 1);
        c->crowd = crowd;
        c->fd = connect_to(port_address(crowd->port));
        c->pending = g_string_new(crowd->first);
        g_ptr_array_add(clients, c);
    }
}

static void
client_free(void *data)
{
    Client *c = data;
    if (c->fd >= 0) {
        close(c->fd);
    }
    g_string_free(c->pending, TRUE);
    g_free(c);
}

/* Lets crowds connect and send for duration_ms, and checks the bounds.  Ends
 * early once the program holds four times the bound. */
static void
run_crowds(const Crowd *crowds, size_t count, uint32_t duration_ms)
{
    uint32_t program = program_of(crowds[0].port);
    pid_t pid = emulator_program_pid(emulator, program);
    GPtrArray *clients = g_ptr_array_new_with_free_func(client_free);
    uint32_t fds = descriptor_count(pid);
    uint32_t max_fds = fds;
    size_t max_bytes = 0;
    gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;

    for (size_t i = 0; i < count; i++) {
        crowd_connect(clients, &crowds[i]);
    }
    while (g_get_monotonic_time() < end_us &&
           max_bytes < (size_t)4 * kMaxResidentBytes) {
        for (guint i = 0; i < clients->len; i++) {
            client_send(g_ptr_array_index(clients, i), g_get_monotonic_time());
            client_read(g_ptr_array_index(clients, i));
        }
        emulator_run_for(emulator, kStepMs);
        max_bytes = MAX(max_bytes, resident_bytes(pid));
        max_fds = MAX(max_fds, descriptor_count(pid));
    }
    uint32_t after_fds = descriptor_count(pid);
    printf("\n    %zu KB resident at most, descriptors %u, at most %u, in the "
           "end %u ",
           max_bytes >> 10, fds, max_fds, after_fds);
    CU_ASSERT(all_programs_run());
    CU_ASSERT(max_bytes < kMaxResidentBytes);
    CU_ASSERT(max_fds <= fds + crowds[0].during_fds);
    CU_ASSERT(after_fds <= fds + crowds[0].after_fds);
    g_ptr_array_unref(clients);
    CU_ASSERT(ordinary_requests_succeed());
    restart_program(program);
}

#define STARTUP "STARTUP shop key-1\r\n"
#define STATEMENT "QUERY p1 SET name value\r\n"
#define FILL "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: a\r\n\r\n"
#define PUT(bytes) "PUT /config HTTP/1.1\r\nContent-Length: " bytes "\r\n\r\n"
#define CHUNKED "PUT /config HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
/* Nonce, stream header and the length of a frame of 60 MiB. */
#define FRAME FILL "\x03\xc0\x10\x10"

static const Crowd kCrowds[] = {
    /* Messages of legal size, all at once and without their end. */
    {kCallerPort, 75, STARTUP, FILL, 1000000, .during_fds = 90,
     .after_fds = 90},
    /* A message far over the limit. */
    {kCallerPort, 8, STARTUP, FILL, 64 * kMiB, .during_fds = 90,
     .after_fds = 10},
    /* Pipelined statements whose answers are not read. */
    {kCallerPort, 8, STARTUP, STATEMENT, 256 * kMiB, .during_fds = 90,
     .after_fds = 90},
    /* Values that a session keeps. */
    {kCallerPort, 16, STARTUP,
     "QUERY v SET name-%u " FILL FILL FILL FILL "\r\n", 16 * kMiB,
     .reads = TRUE, .during_fds = 90, .after_fds = 90},
    /* Prepared statements that a session keeps. */
    {kCallerPort, 16, STARTUP,
     "QUERY v PREPARE name-%u READ " FILL FILL FILL FILL "\r\n", 16 * kMiB,
     .reads = TRUE, .during_fds = 90, .after_fds = 90},
    /* Connections that send nothing. */
    {kCallerPort, 150, "", NULL, 0, .during_fds = 90, .after_fds = 20},
    /* STARTUP byte by byte. */
    {kCallerPort, 60, STARTUP, NULL, 1000, .slow = TRUE, .during_fds = 90,
     .after_fds = 20},
    /* A message that stops part-way. */
    {kCallerPort, 60, STARTUP "QUERY s1 WRITE 1", NULL, 1000, .during_fds = 90,
     .after_fds = 20},
    /* The same, from many callers: they are closed after a while. */
    {kCallerPort, 30, STARTUP, STATEMENT, 32 * kMiB, .during_fds = 90,
     .after_fds = 20},
    /* Reads with large answers. */
    {kCallerPort, 9, STARTUP "QUERY a1 READ rows-20000\r\n", NULL, 1000,
     .during_fds = 90, .after_fds = 90},
    /* Headers byte by byte. */
    {kProbePort, 30, "GET /readyz HTTP/1.1\r\nHost: abcdefghijklmn", NULL,
     1000, .slow = TRUE, .during_fds = 50, .after_fds = 10},
    {kProbePort, 150, "", NULL, 0, .during_fds = 50, .after_fds = 10},
    {kProbePort, 8, GET("/metrics"), GET("/metrics"), 32 * kMiB,
     .during_fds = 50, .after_fds = 50},
    {kProbePort, 8, "GET /readyz HTTP/1.1\r\n", "X-Name: " FILL "\r\n",
     64 * kMiB, .during_fds = 50, .after_fds = 50},
    {kProbePort, 8, PUT("1000000000"), FILL, 64 * kMiB, .during_fds = 50,
     .after_fds = 50},
    {kControlPort, 30, "GET /config HTTP/1.1\r\nHost: abcdefghijklmn", NULL,
     1000, .slow = TRUE, .during_fds = 50, .after_fds = 10},
    {kControlPort, 150, "", NULL, 0, .during_fds = 50, .after_fds = 10},
    {kControlPort, 8, GET("/config"), GET("/config"), 32 * kMiB,
     .during_fds = 50, .after_fds = 50},
    {kControlPort, 8, "GET /config HTTP/1.1\r\n", "X-Name: " FILL "\r\n",
     64 * kMiB, .during_fds = 50, .after_fds = 50},
    {kControlPort, 20, PUT("15728640"), FILL, 15 * kMiB, .during_fds = 50,
     .after_fds = 50},
    /* Bodies that stop part-way. */
    {kControlPort, 30, PUT("15728640"), NULL, 1000, .during_fds = 50,
     .after_fds = 10},
    {kControlPort, 30,
     "PUT /config HTTP/1.1\r\nExpect: 100-continue\r\n"
     "Content-Length: 15728640\r\n\r\n",
     NULL, 1000, .reads = TRUE, .during_fds = 50, .after_fds = 10},
    {kControlPort, 20, CHUNKED, "40\r\n" FILL "\r\n", 64 * kMiB,
     .during_fds = 50, .after_fds = 50},
    /* JSON of many small values, which take more memory than their text. */
    {kControlPort, 1, PUT("15728640") "[", "0,", 15 * kMiB + 64,
     .during_fds = 50, .after_fds = 50},
    {kPeerPort, 150, "", NULL, 0, .during_fds = 50, .after_fds = 20},
    /* A large frame of a sender that does not know the key. */
    {kPeerPort, 8, FRAME, FILL, 59 * kMiB, .during_fds = 50, .after_fds = 20},
};

/* ---- tests ---- */

/* Runs the single crowds of a port. */
static void
run_crowds_at(Port port)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kCrowds); i++) {
        if (kCrowds[i].port == port) {
            run_crowds(&kCrowds[i], 1, 4000);
        }
    }
}

static void
crowds_of_callers(void)
{
    run_crowds_at(kCallerPort);
}

static void
crowds_at_the_probe_port(void)
{
    run_crowds_at(kProbePort);
}

static void
crowds_at_the_control_port(void)
{
    run_crowds_at(kControlPort);
}

static void
crowds_at_the_peer_port(void)
{
    run_crowds_at(kPeerPort);
}

/* Two kinds of client at once. */
static void
two_crowds_at_once(void)
{
    static const Crowd callers[] = {
        {kCallerPort, 40, STARTUP, FILL, 1000000, .during_fds = 140,
         .after_fds = 140},
        {kCallerPort, 8, STARTUP, STATEMENT, 256 * kMiB, .slow = FALSE},
        {kProbePort, 8, PUT("1000000000"), FILL, 64 * kMiB, .slow = FALSE},
    };
    static const Crowd control[] = {
        {kControlPort, 8, PUT("15728640"), FILL, 15 * kMiB, .during_fds = 50,
         .after_fds = 50},
        {kControlPort, 100, "", NULL, 0, .slow = FALSE},
    };
    run_crowds(callers, G_N_ELEMENTS(callers), 4000);
    run_crowds(control, G_N_ELEMENTS(control), 4000);
}

/* Guards against data that run as a statement, and against messages that run
 * although they are malformed. */
static void
malformed_messages_never_run(void)
{
    static const char nul[] = "QUERY m1 WRITE 1 nul-a\0QUERY m2 WRITE 1 nul-b"
                              "\r\n";
    char *overlong = g_strnfill(70000, 'n');
    char *long_name =
        g_strconcat("QUERY m7 SET ", overlong, " datum\r\n", NULL);
    const struct {
        const char *text;
        size_t bytes; /* zero: of the text */
        const char *datum;
    } cases[] = {
        {"QUERY m3 WRITE 1 lf-a\nQUERY m4 WRITE 1 lf-b\r\n", 0, "lf-b"},
        {"QUERY m5 WRITE 1 lf-c\n", 0, "lf-c"},
        {nul, sizeof(nul) - 1, "nul-a"},
        {"QUERY m6 WRITE 1 cr-a\rb\r\n", 0, "cr-a\rb"},
        {long_name, 0, "datum"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int fd = connect_to(emulator_caller_address(emulator, 0));
        char got[512] = "";
        ssize_t bytes = -1;
        emulator_run_for(emulator, 100);
        CU_ASSERT(send(fd, STARTUP, strlen(STARTUP), MSG_NOSIGNAL) > 0);
        emulator_run_for(emulator, 100);
        CU_ASSERT(recv(fd, got, sizeof(got) - 1, 0) > 0);
        size_t length =
            cases[i].bytes == 0 ? strlen(cases[i].text) : cases[i].bytes;
        CU_ASSERT(send(fd, cases[i].text, length, MSG_NOSIGNAL) > 0);
        memset(got, 0, sizeof(got));
        for (int k = 0; k < 20 && bytes != 0; k++) {
            emulator_run_for(emulator, 50);
            bytes =
                recv(fd, got + strlen(got), sizeof(got) - 1 - strlen(got), 0);
        }
        printf("\n    case %zu: %s", i, got);
        CU_ASSERT(g_str_has_prefix(got, "ERROR MALFORMED"));
        CU_ASSERT_EQUAL(bytes, 0); /* closed */
        CU_ASSERT_EQUAL(emulator_commit_count(emulator, cases[i].datum), 0);
        close(fd);
    }
    g_free(long_name);
    g_free(overlong);
    CU_ASSERT(ordinary_requests_succeed());
}

/* Messages and bodies of the largest legal size are served without
 * pressure. */
static void
largest_messages_are_served(void)
{
    static const char prefix[] = "QUERY big READ ";
    char *fill = g_strnfill(kMaxMessageBytes - sizeof(prefix) + 1, 'x');
    char *message = g_strconcat(prefix, fill, NULL);
    char *over = g_strconcat(message, "y", NULL);
    EmulatorCaller *c = caller_connect(emulator, 0);

    CU_ASSERT_EQUAL(strlen(message), kMaxMessageBytes);
    caller_request(c, "STARTUP shop key-1");
    CU_ASSERT_PTR_NOT_NULL(strstr(caller_request(c, message), "COMPLETE"));
    CU_ASSERT_PTR_NOT_NULL(strstr(caller_request(c, over), "ERROR MALFORMED"));
    caller_close(c);
    g_free(over);
    g_free(message);
    g_free(fill);
    /* A configuration of 5,000 routes. */
    GString *body = g_string_new("{\"version\":50,\"routes\":[");
    for (uint32_t i = 0; i < 5000; i++) {
        g_string_append_printf(
            body,
            "%s{\"name\":\"r%u\",\"host\":\"%s%u\",\"path-prefix\":\"/\","
            "\"kind\":\"read_your_writes\",\"timeout-ms\":800,"
            "\"target-latency-ms\":250,\"priority\":1,\"service\":\"orders\","
            "\"max-staleness-ms\":2500,\"public\":false}",
            i == 0 ? "" : ",", i, i == 0 ? "shop" : "host-", i);
    }
    g_string_append(body,
                    "],\"services\":[{\"name\":\"orders\",\"max-conns\":23,"
                    "\"sync-replicas\":0}],\"limits\":{\"tx-idle-ms\":3000},"
                    "\"tenants\":[{\"name\":\"crew\",\"api-keys\":[\"key-1\"],"
                    "\"rate-per-s\":200,\"burst\":200}]}");
    HttpResponse r = {0};
    for (uint32_t i = 0; i < 20 && r.status != 200; i++) {
        g_free(r.body);
        r = emulator_http_request(emulator,
                                  emulator_control_address(emulator, i % 3),
                                  "PUT", "/config", body->str);
    }
    CU_ASSERT_EQUAL(r.status, 200);
    g_free(r.body);
    g_string_free(body, TRUE);
    CU_ASSERT_EQUAL(emulator_put_document(emulator, 60, TRUE).status, 200);
    CU_ASSERT(ordinary_requests_succeed());
}

/* An idle session stays open longer than all time limits of the test's
 * settings. */
static void
idle_sessions_stay_open(void)
{
    EmulatorCaller *c = caller_connect(emulator, 0);

    caller_request(c, "STARTUP shop key-1");
    emulator_run_for(emulator, 4000);
    CU_ASSERT_FALSE(caller_is_closed(c));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(caller_request(c, "QUERY i1 READ 1"), "COMPLETE"));
    caller_close(c);
}

/* Guards against a closed caller of which the log and the metrics tell neither
 * the limit nor the address. */
static void
a_closed_caller_is_named(void)
{
    static const char limits_line[] =
        "sapphireweir_client_limits_total{listener=\"callers\","
        "limit=\"no-request\"} ";
    struct sockaddr_in at;
    socklen_t length = sizeof(at);
    char *log = NULL;
    gboolean logged = FALSE;
    int fd = connect_to(port_address(kCallerPort));

    getsockname(fd, (struct sockaddr *)&at, &length);
    char *text = g_strdup_printf(
        "; last client 127.0.0.1:%u: no complete request in time",
        ntohs(at.sin_port));
    /* Until the line that may be due for earlier tests, and the next one. */
    for (uint32_t i = 0; i < 250 && !logged; i++) {
        emulator_run_for(emulator, 100);
        g_file_get_contents(SAPPHIREWEIR_BUILD
                            "/platform-clients/entry-0.json.log",
                            &log, NULL, NULL);
        logged = log != NULL && strstr(log, text) != NULL;
        g_free(log);
        log = NULL;
    }
    CU_ASSERT(logged);
    HttpResponse r = emulator_http_request(emulator, port_address(kProbePort),
                                           "GET", "/metrics", "");
    const char *count = r.body == NULL ? NULL : strstr(r.body, limits_line);
    CU_ASSERT(count != NULL &&
              g_ascii_strtoull(count + strlen(limits_line), NULL, 10) > 0);
    g_free(r.body);
    g_free(text);
    close(fd);
}

/* Returns the processor time that a process has used, in seconds. */
static double
cpu_seconds(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        sscanf(strrchr(text, ')'),
               ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
               &system);
    }
    g_free(text);
    g_free(path);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Guards against a program that has no descriptor left for the next caller,
 * and against a loop that does nothing but fail to accept: it used all of the
 * 3 s and wrote 2.5 million warnings. */
static void
descriptors_run_out(void)
{
    static const Crowd crowd = {kCallerPort, 150, "", NULL, 0, .slow = FALSE};
    pid_t pid = emulator_program_pid(emulator, 0);
    struct rlimit limit = {descriptor_count(pid) + 30, 4096};

    prlimit(pid, RLIMIT_NOFILE, &limit, NULL);
    double before_s = cpu_seconds(pid);
    GPtrArray *clients = g_ptr_array_new_with_free_func(client_free);
    crowd_connect(clients, &crowd);
    for (gint64 end_us = g_get_monotonic_time() + 3 * G_USEC_PER_SEC;
         g_get_monotonic_time() < end_us;) {
        emulator_run_for(emulator, kStepMs);
    }
    CU_ASSERT(cpu_seconds(pid) - before_s < 1.0);
    g_ptr_array_unref(clients);
    CU_ASSERT(all_programs_run());
    CU_ASSERT(ordinary_requests_succeed());
    restart_program(0);
}

static void
ignore_frame(void *ctx, const char *from, const Sw__Frame *frame)
{
    (void)ctx;
    (void)from;
    (void)frame;
}

/* Runs the event loops of the test's peer and of the emulator. */
static void
run_peer(struct event_base *base, uint32_t ms)
{
    for (uint32_t i = 0; i < ms / kStepMs; i++) {
        struct timeval step = {0, kStepMs * 1000};
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
    }
}

/* Guards against an authenticated peer that sends frames larger than the
 * receiver's memory, and many at once. */
static void
peer_sends_too_much(void)
{
    static const uint8_t secret[32];
    char *id =
        g_strdup_printf("127.0.3.1%s", strchr(port_address(kPeerPort), ':'));
    PeerEvents events = {.frame = ignore_frame};
    g_assert(sodium_init() >= 0);
    struct event_base *base = event_base_new();
    Peer *peer = peer_new(base, id, 1, secret, id, &events, NULL);
    char *to = g_strdup(port_address(kPeerPort));
    pid_t pid = emulator_program_pid(emulator, 0);
    size_t max_bytes = 0;
    char *text = g_strnfill(48 * kMiB, 'x');
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__RelayRun run = SW__RELAY_RUN__INIT;

    frame.body_case = SW__FRAME__BODY_RELAY_RUN;
    frame.relay_run = &run;
    run.server = text;
    peer_set_address(peer, to, to);
    for (uint32_t i = 0; i < 40; i++) {
        if (peer_ready(peer, to)) {
            peer_send(peer, to, &frame);
        }
        run_peer(base, 50);
        emulator_run_for(emulator, kStepMs);
        max_bytes = MAX(max_bytes, resident_bytes(pid));
    }
    printf("\n    %zu KB resident at most ", max_bytes >> 10);
    CU_ASSERT(all_programs_run());
    CU_ASSERT(max_bytes < kMaxResidentBytes);
    peer_free(peer);
    event_base_free(base);
    g_free(text);
    g_free(to);
    g_free(id);
    restart_program(0);
}

/* Starts the emulator for the suite.  Returns nonzero on failure. */
static int
start_emulator(void)
{
    emulator = emulator_start_with_limits(
        SAPPHIREWEIR_BUILD "/platform-clients", kLimits);
    HttpResponse put = emulator_put_document(emulator, 7, TRUE);
    g_free(put.body);
    gboolean ok = put.status == 200 && ordinary_requests_succeed();
    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        settle(emulator_program_pid(emulator, i));
    }
    return ok ? 0 : 1;
}

static int
stop_emulator(void)
{
    emulator_free(emulator);
    return 0;
}

/* Runs all tests, or the one that is named. */
int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        CU_TestFunc test;
    } tests[] = {
        {"the largest messages are served", largest_messages_are_served},
        {"idle sessions stay open", idle_sessions_stay_open},
        {"a closed caller is named", a_closed_caller_is_named},
        {"malformed messages never run", malformed_messages_never_run},
        {"crowds of callers", crowds_of_callers},
        {"crowds at the probe port", crowds_at_the_probe_port},
        {"crowds at the control port", crowds_at_the_control_port},
        {"crowds at the peer port", crowds_at_the_peer_port},
        {"two crowds at once", two_crowds_at_once},
        {"descriptors run out", descriptors_run_out},
        {"a peer sends too much", peer_sends_too_much},
    };

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    add_http_listener_suite(argc < 2 ? NULL : argv[1]);
    CU_pSuite s = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        if (argc < 2 || strcmp(argv[1], tests[i].name) == 0) {
            s = s == NULL ? CU_add_suite("untrusted clients", start_emulator,
                                         stop_emulator)
                          : s;
            CU_add_test(s, tests[i].name, tests[i].test);
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    printf("%u passed, %u failed\n",
           CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
           CU_get_number_of_tests_failed());
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
