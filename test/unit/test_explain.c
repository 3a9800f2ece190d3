#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "core/event_log.h"
#include "ctl/explain.h"
#include "suite.h"

/* The event log, and the search in it for the events that explain the outcome
 * of a request. */

enum { kSecondUs = 1000000 };

/* Removes all lines from the log and returns them; the caller frees them. */
static char *
drain(EventLog *log)
{
    GString *text = g_string_new(NULL);
    const char *data;
    size_t bytes;

    while ((bytes = event_log_peek(log, &data)) > 0) {
        g_string_append_len(text, data, (gssize)bytes);
        event_log_consume(log, bytes);
    }
    return g_string_free(text, FALSE);
}

static void
every_event_is_documented_and_parses(void)
{
    char *page = NULL;
    EventLog *log = g_new0(EventLog, 1);

    CU_ASSERT_FATAL(g_file_get_contents(
        SAPPHIREWEIR_SOURCE "/docs/OPERATIONS.md", &page, NULL, NULL));
    event_log_init(log, "entry", "entry-1", 5);
    for (int k = 0; k < kEventKinds; k++) {
        EventLine line;
        char *quoted = g_strdup_printf("`%s`", event_name((EventKind)k));
        CU_ASSERT_PTR_NOT_NULL(strstr(page, quoted));
        event_begin(&line, log, kSecondUs, (EventKind)k);
        event_text(&line, "database", "a \"quoted\"\n\x01 name \\");
        event_number(&line, "epoch", 7);
        event_end(&line);
        char *text = drain(log);
        json_t *parsed = json_loads(text, 0, NULL);
        CU_ASSERT_PTR_NOT_NULL(parsed);
        CU_ASSERT_EQUAL(json_integer_value(json_object_get(parsed, "epoch")),
                        7);
        json_decref(parsed);
        g_free(text);
        g_free(quoted);
    }
    g_free(log);
    g_free(page);
}

/* While nothing reads the log, its ring buffer fills up and further lines are
 * dropped and counted.  When there is room again, the next event is preceded
 * by a "dropped" line with the number of dropped lines of each kind. */
static void
an_unread_log_drops_and_counts_lines(void)
{
    EventLog *log = g_new0(EventLog, 1);
    EventLine line;

    event_log_init(log, "entry", "entry-1", 0);
    for (uint64_t i = 0; i < 20000; i++) {
        event_begin(&line, log, i * 20000, kEventRequest);
        event_text(&line, "request", "5c0e7a21d94b36f8");
        event_end(&line);
    }
    CU_ASSERT(log->used <= kEventRingBytes);
    CU_ASSERT(log->dropped_total > 10000);
    g_free(drain(log));
    event_begin(&line, log, 401 * (uint64_t)kSecondUs, kEventRequest);
    event_end(&line);
    char *text = drain(log);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"dropped\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"of\":\"request\""));
    g_free(text);
    g_free(log);
}

/* Searches the event logs of an entry and a control instance for a request.
 * The last line of the first log is incomplete and must be counted as cut
 * off. */
static void
log_files_explain_a_request(void)
{
    static const char entry[] =
        "{\"event\":\"primary\",\"instance\":\"e1\",\"line\":1,"
        "\"database\":\"orders\",\"primary\":\"i-1\",\"epoch\":4}\n"
        "{\"event\":\"lease_lost\",\"instance\":\"e1\",\"line\":2}\n"
        "{\"event\":\"request\",\"instance\":\"e1\",\"line\":3,"
        "\"request\":\"r7\",\"database\":\"orders\",\"epoch\":4,"
        "\"outcome\":\"in_doubt\"}\n"
        "{\"event\":\"requ";
    static const char control[] =
        "{\"event\":\"change\",\"instance\":\"c1\",\"line\":9,"
        "\"database\":\"orders\",\"epoch\":4,\"what\":\"settled\"}\n"
        "{\"event\":\"change\",\"instance\":\"c1\",\"line\":8,"
        "\"database\":\"orders\",\"epoch\":3,\"what\":\"settled\"}\n";
    static const struct {
        const char *id;
        gboolean found;
        const char *expected;
        const char *unexpected;
    } cases[] = {
        {"r7", TRUE, "before: e1 #2 lease_lost", "#8 change"},
        {"r7", TRUE, "control: c1 #9 change", "#8 change"},
        {"r7", TRUE, "cut: 1 lines", "#8 change"},
        {"orders", TRUE, "#8 change", "in_doubt"},
        {"r8", FALSE, "", "in_doubt"},
    };
    char *folder = g_dir_make_tmp("explain-XXXXXX", NULL);
    char *files[] = {g_build_filename(folder, "e1", NULL),
                     g_build_filename(folder, "c1", NULL), NULL};

    CU_ASSERT(g_file_set_contents(files[0], entry, -1, NULL));
    CU_ASSERT(g_file_set_contents(files[1], control, -1, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *out = g_string_new(NULL);
        GError *error = NULL;
        CU_ASSERT_EQUAL(explain_files(cases[i].id, files, out, &error),
                        cases[i].found);
        CU_ASSERT_PTR_NOT_NULL(strstr(out->str, cases[i].expected));
        CU_ASSERT_PTR_NULL(strstr(out->str, cases[i].unexpected));
        g_clear_error(&error);
        g_string_free(out, TRUE);
    }
    for (char **f = files; *f != NULL; f++) {
        remove(*f);
        g_free(*f);
    }
    remove(folder);
    g_free(folder);
}

void
add_explain_suite(void)
{
    CU_pSuite s = CU_add_suite("explain", NULL, NULL);
    CU_add_test(s, "every event is documented and parses",
                every_event_is_documented_and_parses);
    CU_add_test(s, "an unread log drops and counts lines",
                an_unread_log_drops_and_counts_lines);
    CU_add_test(s, "log files explain a request", log_files_explain_a_request);
}
