#include <stdio.h>
#include <string.h>

#include "core/schema.h"
#include "run.h"

/* Report of a run as text and JSON. */

/* ---- counters of the entry instances ---- */

/* Returns the value of a counter in a metrics page, or zero when the page
 * lacks it. */
static uint64_t
parse_counter(const char *text, const char *name)
{
    char *wanted = g_strdup_printf("\nsapphireweir_%s ", name);
    const char *at = strstr(text, wanted);
    uint64_t value =
        at == NULL ? 0 : g_ascii_strtoull(at + strlen(wanted), NULL, 10);
    g_free(wanted);
    return value;
}

/* Sums the read counters of all entry instances; an instance that is
 * unreachable contributes nothing. */
RunCounters
report_counters(Run *r)
{
    RunCounters sum = {0, 0};
    size_t i;
    json_t *entry;

    json_array_foreach(json_object_get(r->endpoints, "entries"), i, entry)
    {
        char *url =
            g_strdup_printf("http://%s", json_text_or(entry, "address", ""));
        char *text = client_get_text(&r->client, url, "/metrics");
        if (text != NULL) {
            sum.replica_reads += parse_counter(text, "reads_replica_total");
            sum.eligible_reads += parse_counter(text, "reads_eligible_total");
        }
        g_free(text);
        g_free(url);
    }
    return sum;
}

/* ---- measurements ---- */

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y ? 1 : 0;
}

/* Returns the times, in ascending order, at which writes of a service were
 * acknowledged.  The caller frees the array. */
static GArray *
write_times(const Run *r, const char *service)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < r->records->len; i++) {
        const Record *record = g_ptr_array_index(r->records, i);
        if (record->write && record->outcome == kOutcomeDone &&
            strcmp(record->service, service) == 0) {
            g_array_append_val(times, record->response_us);
        }
    }
    g_array_sort(times, compare_times);
    return times;
}

/* Returns the longest interval between acknowledged writes of a service.  Only
 * intervals that end in the measured part count; after a fault, only those
 * that end no earlier than 100 ms before the first fault.  The time from the
 * last write to the end of the measured part counts as an interval too. */
static uint64_t
longest_gap_us(const Run *r, const char *service)
{
    uint64_t from_us = r->first_fault_us == 0 ? r->measure_start_us
                                              : r->first_fault_us - 100000;
    GArray *times = write_times(r, service);
    uint64_t last_us = 0;
    uint64_t longest_us = 0;

    for (guint i = 0; i < times->len; i++) {
        uint64_t at_us = g_array_index(times, uint64_t, i);
        if (at_us >= from_us && at_us <= r->end_us && last_us != 0) {
            longest_us = MAX(longest_us, at_us - last_us);
        }
        last_us = at_us;
    }
    if (last_us != 0 && last_us < r->end_us) {
        longest_us = MAX(longest_us, r->end_us - last_us);
    }
    g_array_unref(times);
    return longest_us;
}

/* Returns the largest of the services' longest times without an acknowledged
 * write, in milliseconds; see longest_gap_us. */
static double
longest_write_gap_ms(const Run *r)
{
    uint64_t longest_us = 0;
    for (char **s = r->experiment->services; *s != NULL; s++) {
        longest_us = MAX(longest_us, longest_gap_us(r, *s));
    }
    return (double)longest_us / 1000;
}

/* Returns part / whole, or zero when whole is zero. */
static double
ratio(uint64_t part, uint64_t whole)
{
    return whole == 0 ? 0 : (double)part / (double)whole;
}

/* Returns TRUE when the offered load of a team is within its rate limit at all
 * times. */
static gboolean
within_rate(const TeamRun *t)
{
    return t->peak_per_s <= t->load->rate_per_s;
}

/* Returns the results of one team; the caller owns the object. */
static json_t *
team_report(const TeamRun *t)
{
    return json_pack(
        "{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "team",
        t->load->name, "within_rate", within_rate(t), "offered",
        (json_int_t)t->offered, "done", (json_int_t)t->done, "not_run",
        (json_int_t)t->not_run, "rate_refused", (json_int_t)t->rate_limited,
        "unknown", (json_int_t)t->unknown, "served",
        ratio(t->done, t->offered), "p50_ms",
        (double)histogram_quantile(&t->latency, 0.5) / 1000, "p99_ms",
        (double)histogram_quantile(&t->latency, 0.99) / 1000, "p999_ms",
        (double)histogram_quantile(&t->latency, 0.999) / 1000);
}

/* Returns the number of unsuccessful requests by status and problem type; the
 * caller owns the object. */
static json_t *
reasons_report(const Run *r)
{
    json_t *reasons = json_object();
    GHashTableIter it;
    void *name;
    void *count;

    g_hash_table_iter_init(&it, r->failure_counts);
    while (g_hash_table_iter_next(&it, &name, &count)) {
        json_object_set_new(reasons, name,
                            json_integer((json_int_t)GPOINTER_TO_SIZE(count)));
    }
    return reasons;
}

/* Returns the violation count of each guarantee, and the number of writes that
 * were checked; the caller owns the object. */
static json_t *
guarantees_report(Run *r)
{
    uint64_t stale = 0;
    uint64_t foreign = 0;
    for (guint i = 0; i < r->teams->len; i++) {
        const TeamRun *t = g_ptr_array_index(r->teams, i);
        stale += t->stale_reads;
        foreign += t->foreign_rows;
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "writes_checked",
                     (json_int_t)r->writes_checked, "writes_lost",
                     (json_int_t)r->lost_writes, "writes_doubled",
                     (json_int_t)r->duplicate_writes, "false_not_run",
                     (json_int_t)r->false_not_run, "own_writes_not_read",
                     (json_int_t)stale, "foreign_rows", (json_int_t)foreign,
                     "rate_surplus", (json_int_t)MAX(r->rate_surplus, 0));
}

/* Returns the report of a run; the caller owns it. before and after are the
 * counters of the entry instances around the run. */
json_t *
report_make(Run *r, const RunCounters *before, const RunCounters *after)
{
    json_t *teams = json_array();
    double worst_served = 1;
    double worst_p99_ms = 0;
    uint64_t refused_within_rate = 0;

    for (guint i = 0; i < r->teams->len; i++) {
        const TeamRun *t = g_ptr_array_index(r->teams, i);
        json_array_append_new(teams, team_report(t));
        if (within_rate(t)) {
            worst_served = MIN(worst_served, ratio(t->done, t->offered));
            worst_p99_ms =
                MAX(worst_p99_ms,
                    (double)histogram_quantile(&t->latency, 0.99) / 1000);
            refused_within_rate += t->rate_limited + t->not_run;
        }
    }
    uint64_t replica = after->replica_reads - before->replica_reads;
    uint64_t eligible = after->eligible_reads - before->eligible_reads;
    return json_pack(
        "{s:s, s:f, s:f, s:f, s:f, s:I, s:I, s:o, s:o, s:o}", "experiment",
        r->experiment->name, "replica_read_share", ratio(replica, eligible),
        "longest_write_gap_ms", longest_write_gap_ms(r), "worst_team_served",
        worst_served, "worst_team_p99_ms", worst_p99_ms, "refused_within_rate",
        (json_int_t)refused_within_rate, "client_full",
        (json_int_t)r->dropped_requests, "promises", guarantees_report(r),
        "reasons", reasons_report(r), "teams", teams);
}

/* Prints a report as text to stdout. */
void
report_print(const json_t *report)
{
    const json_t *p = json_object_get(report, "promises");
    const char *name;
    json_t *value;
    size_t i;
    json_t *t;

    printf("%s\n", json_text_or(report, "experiment", ""));
    printf("  replica reads of eligible %6.1f %%\n",
           100 *
               json_real_value(json_object_get(report, "replica_read_share")));
    printf("  longest write gap         %6.0f ms\n",
           json_real_value(json_object_get(report, "longest_write_gap_ms")));
    printf("  worst team served         %6.2f %%, p99 %.1f ms\n",
           100 * json_real_value(json_object_get(report, "worst_team_served")),
           json_real_value(json_object_get(report, "worst_team_p99_ms")));
    printf("  refused within rate       %6" G_GINT64_FORMAT "\n",
           json_integer_or(report, "refused_within_rate", 0));
    json_object_foreach((json_t *)p, name, value)
    {
        printf("  %-25s %6" G_GINT64_FORMAT "\n", name,
               (gint64)json_integer_value(value));
    }
    json_object_foreach(json_object_get(report, "reasons"), name, value)
    {
        printf("  %-25s %6" G_GINT64_FORMAT "\n", name,
               (gint64)json_integer_value(value));
    }
    printf("  %-14s %8s %8s %8s %8s %8s %8s %8s\n", "team", "offered", "done",
           "not run", "rate", "unknown", "p50 ms", "p99 ms");
    json_array_foreach(json_object_get(report, "teams"), i, t)
    {
        printf("  %-14s %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
               " %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
               " %8" G_GINT64_FORMAT " %8.1f %8.1f\n",
               json_text_or(t, "team", ""), json_integer_or(t, "offered", 0),
               json_integer_or(t, "done", 0), json_integer_or(t, "not_run", 0),
               json_integer_or(t, "rate_refused", 0),
               json_integer_or(t, "unknown", 0),
               json_real_value(json_object_get(t, "p50_ms")),
               json_real_value(json_object_get(t, "p99_ms")));
    }
}
