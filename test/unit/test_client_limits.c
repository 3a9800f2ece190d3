#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../support/system.h"
#include "adapter/header_lines.h"
#include "core/json_bounds.h"
#include "core/message.h"
#include "platform/boot.h"
#include "platform/client_log.h"
#include "platform/wire.h"
#include "suite.h"

/* What callers and operators send, before it is parsed. */

/* Guards against messages that end at anything but CR LF, however they are cut
 * into pieces, and against a limit that is off by one. */
static void
messages_end_at_cr_lf_only(void)
{
    static const struct {
        const char *text; /* each '0' stands for NUL */
        gboolean strict;
        WireRead result;
        size_t length; /* of the first line */
    } cases[] = {
        {"ab\r\n", TRUE, kWireLine, 2},
        {"\r\n", TRUE, kWireLine, 0},
        {"ab\r", TRUE, kWireIncomplete, 0},
        {"ab", TRUE, kWireIncomplete, 0},
        {"a\nb\r\n", TRUE, kWireMalformed, 0},
        {"a\rb\r\n", TRUE, kWireMalformed, 0},
        {"a\r\r\n", TRUE, kWireMalformed, 0},
        {"a0b\r\n", TRUE, kWireMalformed, 0},
        {"a\nb\r\n", FALSE, kWireLine, 3},
        {"a\r\r\n", FALSE, kWireLine, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (size_t piece = 1; piece <= 6; piece++) {
            struct evbuffer *in = evbuffer_new();
            WireReader r = {.strict = cases[i].strict};
            WireRead result = kWireIncomplete;
            size_t bytes = strlen(cases[i].text);
            char *text = g_strdup(cases[i].text);
            char *line = NULL;

            for (size_t k = 0; k < bytes; k++) {
                text[k] = text[k] == '0' ? '\0' : text[k];
            }
            for (size_t k = 0; k < bytes && result == kWireIncomplete;
                 k += piece) {
                evbuffer_add(in, text + k, MIN(piece, bytes - k));
                result = wire_read_line(&r, in, &line);
            }
            CU_ASSERT_EQUAL(result, cases[i].result);
            CU_ASSERT(result != kWireLine || strlen(line) == cases[i].length);
            free(line);
            g_free(text);
            evbuffer_free(in);
        }
    }
}

static void
the_longest_message_is_read(void)
{
    for (size_t over = 0; over < 2; over++) {
        struct evbuffer *in = evbuffer_new();
        WireReader r = {.strict = TRUE};
        char *text = g_strnfill(kWireMaxLineBytes + over, 'x');
        char *line;

        evbuffer_add(in, text, strlen(text));
        CU_ASSERT_EQUAL(wire_read_line(&r, in, &line),
                        over == 0 ? kWireIncomplete : kWireTooLong);
        evbuffer_add(in, "\r\n", 2);
        CU_ASSERT_EQUAL(wire_read_line(&r, in, &line),
                        over == 0 ? kWireLine : kWireTooLong);
        free(line);
        g_free(text);
        evbuffer_free(in);
    }
}

/* Guards against JSON that takes far more memory than its text. */
static void
json_is_bounded_before_it_is_parsed(void)
{
    static const struct {
        const char *first;
        const char *repeat;
        uint32_t count;
        gboolean bounded;
    } cases[] = {
        {"[", "0,", 399000, TRUE},
        {"[", "0,", 400001, FALSE},
        {"", "[", 64, TRUE},
        {"", "[", 65, FALSE},
        {"[", "[],", 200001, FALSE},
        {"[\"", "[[,:", 200000, TRUE},
        {"[\"", "\\\"[", 200000, TRUE},
        {"[", "\"\\\\\",[", 70, FALSE},
        {"[", "{\"a\":0},", 200000, FALSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *text = g_string_new(cases[i].first);
        for (uint32_t k = 0; k < cases[i].count; k++) {
            g_string_append(text, cases[i].repeat);
        }
        CU_ASSERT_EQUAL(json_bounds_hold(text->str, text->len),
                        cases[i].bounded);
        g_string_free(text, TRUE);
    }
}

/* Guards against headers that are not counted when they arrive in pieces, and
 * against bodies that count as headers. */
static void
lines_of_headers_are_counted(void)
{
    static const struct {
        const char *text;
        uint32_t lines;
    } cases[] = {
        {"", 0},
        {"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\r\n", 2},
        {"a:\nb:\n:\n", 3},
        {"a: b\r\n c: d\r\n\te: f\r\n", 1},
        {"{\n  \"a\": 1,\n  \"b\": 2\n}\n", 0},
        {"a: b", 0},
        {"a\nb\n", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        size_t bytes = strlen(cases[i].text);
        for (size_t piece = 1; piece <= bytes + 1; piece++) {
            struct evbuffer *in = evbuffer_new();
            HeaderLines l = {0};
            for (size_t at = 0; at < bytes; at += piece) {
                size_t n = MIN(piece, bytes - at);
                /* Each piece is a part of its own in the buffer. */
                evbuffer_add_reference(in, cases[i].text + at, n, NULL, NULL);
                header_lines_add(&l, in, n);
            }
            CU_ASSERT_EQUAL(l.count, cases[i].lines);
            HeaderLines all = {0};
            header_lines_add(&all, in, bytes);
            CU_ASSERT_EQUAL(all.count, cases[i].lines);
            evbuffer_free(in);
        }
    }
    CU_ASSERT_EQUAL(header_lines_cost(&(HeaderLines){.count = 3}, 4), 224);
}

/* Guards against a frame whose parts take far more memory than its bytes, and
 * against a limit that rejects an ordinary frame. */
static void
frames_are_bounded_when_unpacked(void)
{
    static const struct {
        uint32_t changes; /* empty ones, 2 bytes each */
        size_t max_bytes;
        gboolean accepted;
    } cases[] = {
        {10, 64 << 10, TRUE},    {2000, 1 << 20, TRUE},
        {2000, 64 << 10, FALSE}, {100000, 1 << 20, FALSE},
        {0, 16, FALSE},
    };
    Sw__Change change = SW__CHANGE__INIT;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sw__StateUpdate update = SW__STATE_UPDATE__INIT;
        Sw__Change **changes = g_new(Sw__Change *, cases[i].changes + 1);
        for (uint32_t k = 0; k < cases[i].changes; k++) {
            changes[k] = &change;
        }
        update.n_changes = cases[i].changes;
        update.changes = changes;
        size_t bytes = sw__state_update__get_packed_size(&update);
        uint8_t *packed = g_malloc(bytes + 1);
        sw__state_update__pack(&update, packed);
        Sw__StateUpdate *got = message_unpack_bounded(
            &sw__state_update__descriptor, packed, bytes, cases[i].max_bytes);
        CU_ASSERT_EQUAL(got != NULL, cases[i].accepted);
        CU_ASSERT(got == NULL || got->n_changes == cases[i].changes);
        if (got != NULL) {
            sw__state_update__free_unpacked(got, NULL);
        }
        g_free(packed);
        g_free(changes);
    }
}

/* Guards against an entry instance that parses the body of a caller's request
 * whatever it contains. */
static void
bodies_of_callers_are_bounded(void)
{
    static const struct {
        const char *repeat;
        uint32_t count;
        gboolean bounded;
    } cases[] = {
        {"[", 60, TRUE},
        {"[", 64, FALSE},
        {"0,", 399000, TRUE},
        {"0,", 400001, FALSE},
    };
    static const char key[] = "key-of-crews-0001";
    System *s = system_new(1, 1, 1);

    system_add_team(s, "crews", 1000, 1000, key);
    system_run(s, 6000000);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *body = g_string_new("{\"args\":[");
        for (uint32_t k = 0; k < cases[i].count; k++) {
            g_string_append(body, cases[i].repeat);
        }
        uint64_t id =
            system_call(s, 0, "/v1/s0/put", key, "k", NULL, body->str);
        system_run(s, 100000);
        const SystemAnswer *a = system_answer(s, id);
        CU_ASSERT_PTR_NOT_NULL_FATAL(a);
        CU_ASSERT_EQUAL(a->status, 400);
        CU_ASSERT_EQUAL(strstr(a->body, "too many values") == NULL,
                        cases[i].bounded);
        g_string_free(body, TRUE);
    }
    system_free(s);
}

/* Guards against requests whose memory counts for no team or for another. */
static void
requests_count_for_their_team(void)
{
    static const struct {
        const char *path;
        const char *key;
        const char *team;
    } cases[] = {
        {"/v1/s0/put", "key-of-crews-0001", "crews"},
        {"/v1/s0/free", NULL, "-"},
        {"/v1/s0/put", "key-of-others-001", "others"},
        {"/v1/s0/put", "key-of-nobody-001", "others"}, /* no further report */
    };
    System *s = system_new(1, 1, 1);

    system_add_team(s, "crews", 1000, 1000, "key-of-crews-0001");
    system_add_team(s, "others", 1000, 1000, "key-of-others-001");
    system_run(s, 6000000);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        system_call(s, 0, cases[i].path, cases[i].key, "k", NULL,
                    "{\"args\":{\"v\":\"x\"}}");
        CU_ASSERT_STRING_EQUAL(s->entries[0].last_team, cases[i].team);
    }
    system_free(s);
}

/* Guards against a control instance that closes the connection of each report
 * of a backend server, as there are more servers than connections. */
static void
a_control_instance_keeps_the_connections_of_servers(void)
{
    static const struct {
        const char *listen;
        const char *limits;
        uint32_t connections;
    } cases[] = {
        {"control", "\"max-fds\":1000", 400},
        {"control", "\"max-fds\":300", 128},
        {"control", "\"max-fds\":1000,\"http-connections\":40", 40},
        {"ready", "\"max-fds\":1000", 128},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(
            "{\"node-name\":\"n\",\"ip\":\"127.0.0.1\",\"listen\":"
            "{\"%s\":\"127.0.0.1:1\"},\"limits\":{%s}}",
            cases[i].listen, cases[i].limits);
        char *path = NULL;
        Boot b;
        close(g_file_open_tmp("boot-XXXXXX", &path, NULL));
        g_file_set_contents(path, text, -1, NULL);
        g_setenv("SAPPHIREWEIR_BOOT", path, TRUE);
        CU_ASSERT(boot_load(&b, NULL));
        CU_ASSERT_EQUAL(b.limits.max_http_connections, cases[i].connections);
        boot_clear(&b);
        g_unsetenv("SAPPHIREWEIR_BOOT");
        unlink(path);
        g_free(path);
        g_free(text);
    }
}

/* Log handler: keeps the last message, and counts them. */
static char last_message[512];
static uint32_t messages;

static void
keep_message(const char *domain, GLogLevelFlags level, const char *message,
             void *data)
{
    (void)domain;
    (void)level;
    (void)data;
    g_strlcpy(last_message, message, sizeof(last_message));
    messages++;
}

/* Guards against as many lines as clients, and against a line that misses what
 * happened while none could be written. */
static void
lines_on_limits_are_bounded_and_complete(void)
{
    static const struct {
        uint64_t now_us;
        ClientLimit limit; /* that acts before the line */
        uint32_t count;
        const char *address;
        const char *line; /* NULL: none */
    } steps[] = {
        {1000000, kLimitIdle, 0, NULL, NULL},
        {1000000, kLimitAcceptPaused, 1, NULL,
         "x: limits for clients closed or refused 1 connections; 4096 bytes "
         "held by 2; accept paused 1"},
        {10999999, kLimitIdle, 2, "127.0.0.1:7", NULL},
        {11000000, kLimitPressure, 3, "127.0.0.1:8",
         "x: limits for clients closed or refused 5 connections; 4096 bytes "
         "held by 2; under memory pressure 3, idle 2; last client "
         "127.0.0.1:8: under memory pressure"},
        {25000000, kLimitAcceptPaused, 0, NULL, NULL},
        {25000000, kLimitAcceptPaused, 1, NULL,
         "x: limits for clients closed or refused 1 connections; 4096 bytes "
         "held by 2; accept paused 1"},
        {35000000, kLimitOverLimit, 1, "255.255.255.255:65535",
         "x: limits for clients closed or refused 1 connections; 4096 bytes "
         "held by 2; over its limit 1; last client 255.255.255.255:65535: "
         "over its limit"},
    };
    MemoryStats stats = {.held_bytes = 4096, .connections = 2};
    ClientLog l = {0};
    GLogFunc former = g_log_set_default_handler(keep_message, NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        for (uint32_t k = 0; k < steps[i].count; k++) {
            client_log_count(&l, steps[i].limit, steps[i].address);
        }
        messages = 0;
        client_log_write(&l, steps[i].now_us, "x", &stats);
        CU_ASSERT_EQUAL(messages, steps[i].line == NULL ? 0 : 1);
        if (steps[i].line != NULL) {
            CU_ASSERT_STRING_EQUAL(last_message, steps[i].line);
        }
    }
    g_log_set_default_handler(former, NULL);
    CU_ASSERT_EQUAL(client_log_timeouts(&l), 2);
}

void
add_client_limits_suite(void)
{
    CU_pSuite s = CU_add_suite("client limits", NULL, NULL);
    CU_add_test(s, "messages end at CR LF only", messages_end_at_cr_lf_only);
    CU_add_test(s, "the longest message is read", the_longest_message_is_read);
    CU_add_test(s, "JSON is bounded before it is parsed",
                json_is_bounded_before_it_is_parsed);
    CU_add_test(s, "requests count for their team",
                requests_count_for_their_team);
    CU_add_test(s, "lines of headers are counted",
                lines_of_headers_are_counted);
    CU_add_test(s, "frames are bounded when unpacked",
                frames_are_bounded_when_unpacked);
    CU_add_test(s, "a control instance keeps the connections of servers",
                a_control_instance_keeps_the_connections_of_servers);
    CU_add_test(s, "bodies of callers are bounded",
                bodies_of_callers_are_bounded);
    CU_add_test(s, "lines on limits are bounded and complete",
                lines_on_limits_are_bounded_and_complete);
}
