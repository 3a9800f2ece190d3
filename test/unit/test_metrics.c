#include <string.h>

#include "core/event_log.h"
#include "core/metrics.h"
#include "suite.h"

static void
quantiles_are_at_most_a_quarter_too_high(void)
{
    static const struct {
        uint64_t value;
        double quantile;
    } cases[] = {{1, 0.5}, {3, 0.5}, {10, 0.9}, {999, 0.5}, {123456, 0.99}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Histogram h = {0};
        for (int k = 0; k < 100; k++) {
            histogram_observe(&h, cases[i].value);
        }
        uint64_t actual = histogram_quantile(&h, cases[i].quantile);
        CU_ASSERT(actual >= cases[i].value);
        CU_ASSERT(actual <= cases[i].value + cases[i].value / 4);
    }
}

static void
an_empty_histogram_has_quantile_zero(void)
{
    Histogram h = {0};
    CU_ASSERT_EQUAL(histogram_quantile(&h, 0.99), 0);
}

/* A long text was left out of its line without a trace; later fields of the
 * line must still fit. */
static void
long_texts_of_log_lines_are_cut(void)
{
    static const struct {
        char fill;
        size_t bytes;
        gboolean whole;
    } cases[] = {{'a', 0, TRUE},    {'a', 200, TRUE},  {'a', 5000, FALSE},
                 {'"', 100, TRUE},  {'"', 400, FALSE}, {'\n', 30, TRUE},
                 {'\n', 200, FALSE}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EventLog *log = g_new0(EventLog, 1);
        char *value = g_strnfill(cases[i].bytes, cases[i].fill);
        EventLine line;
        const char *data;

        event_log_init(log, "entry", "e0", 0);
        event_begin(&line, log, 1000000, kEventMessage);
        event_text(&line, "text", value);
        event_number(&line, "after", 7);
        event_end(&line);
        size_t bytes = event_log_peek(log, &data);
        char *text = g_strndup(data, bytes);
        CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"text\":\""));
        CU_ASSERT_EQUAL(strstr(text, "...\"") == NULL, cases[i].whole);
        CU_ASSERT(g_str_has_suffix(text, ",\"after\":7}\n"));
        CU_ASSERT(bytes <= kEventLineBytes);
        g_free(text);
        g_free(value);
        g_free(log);
    }
}

void
add_metrics_suite(void)
{
    CU_pSuite s = CU_add_suite("metrics", NULL, NULL);
    CU_add_test(s, "quantiles are at most a quarter too high",
                quantiles_are_at_most_a_quarter_too_high);
    CU_add_test(s, "an empty histogram has quantile zero",
                an_empty_histogram_has_quantile_zero);
    CU_add_test(s, "long texts of log lines are cut",
                long_texts_of_log_lines_are_cut);
}
