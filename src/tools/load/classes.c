#include <stdio.h>

#include "core/schema.h"
#include "run.h"

/* Report of what became of the requests, by kind, team and failure domain, and
 * by kind and second of sending. */

/* Counts by kind within one second. */
typedef struct {
    Tally *seconds; /* of each kind, one after another */
    uint32_t count; /* seconds of the measured part */
} Series;

/* Adds a record of the measured part to a tally. */
static void
add_record(Tally *t, const Record *record, const Kind *kind)
{
    uint64_t spent_us = record->response_us - record->sent_us;
    uint64_t latency_us = spent_us - MIN(spent_us, record->idle_us);
    tally_add(t, record->outcome, latency_us,
              (uint64_t)kind->objective_ms * 1000);
}

/* Returns a list with a named tally for each element of names. */
static json_t *
named_tallies(const char *field, const GPtrArray *names, const Tally *tallies)
{
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++) {
        json_t *item = tally_json(&tallies[i]);
        json_object_set_new(item, field,
                            json_string(g_ptr_array_index(names, i)));
        json_array_append_new(list, item);
    }
    return list;
}

/* Returns the tallies of the kinds, with their objectives and worths. */
static json_t *
kinds_json(const Run *r, const Tally *tallies)
{
    json_t *list = json_array();
    for (guint i = 0; i < r->experiment->kinds->len; i++) {
        const Kind *k = g_ptr_array_index(r->experiment->kinds, i);
        json_t *item = tally_json(&tallies[i]);
        json_object_set_new(item, "kind", json_string(k->name));
        json_object_set_new(item, "worth", json_integer(k->worth));
        json_object_set_new(item, "objective_ms",
                            json_integer(k->objective_ms));
        json_array_append_new(list, item);
    }
    return list;
}

/* Returns an object with the tallies of each kind, one for each second. */
static json_t *
series_json(const Run *r, const Series *s)
{
    json_t *series = json_object();
    for (guint i = 0; i < r->experiment->kinds->len; i++) {
        const Kind *k = g_ptr_array_index(r->experiment->kinds, i);
        json_t *list = json_array();
        for (uint32_t second = 0; second < s->count; second++) {
            json_array_append_new(
                list, tally_json(&s->seconds[i * s->count + second]));
        }
        json_object_set_new(series, k->name, list);
    }
    return series;
}

/* Adds the fields of a tally to the reports of the teams, which are in the
 * order of the run's teams. */
static void
add_to_teams(json_t *teams, const Tally *tallies)
{
    size_t i;
    json_t *team;
    json_array_foreach(teams, i, team)
    {
        json_t *tally = tally_json(&tallies[i]);
        json_object_update_missing(team, tally);
        json_decref(tally);
    }
}

/* Adds the lists kinds and failure_domains, the object series, and the counts
 * of each team to a report, from the records of the measured part. */
void
classes_add(const Run *r, json_t *report)
{
    const Experiment *x = r->experiment;
    Series series = {.count = (uint32_t)x->duration_s};
    Tally *kinds = g_new0(Tally, x->kinds->len);
    Tally *teams = g_new0(Tally, r->teams->len);
    Tally *domains = g_new0(Tally, r->domains->len);

    series.seconds = g_new0(Tally, (gsize)x->kinds->len * series.count);
    for (guint i = 0; i < r->records->len; i++) {
        const Record *record = g_ptr_array_index(r->records, i);
        if (!record->measured) {
            continue;
        }
        const Kind *k = g_ptr_array_index(x->kinds, record->kind);
        uint64_t second = (record->sent_us - r->measure_start_us) / 1000000;
        add_record(&kinds[record->kind], record, k);
        add_record(&teams[record->team], record, k);
        add_record(&domains[record->domain], record, k);
        if (second < series.count) {
            add_record(&series.seconds[record->kind * series.count + second],
                       record, k);
        }
    }
    json_object_set_new(report, "kinds", kinds_json(r, kinds));
    json_object_set_new(report, "failure_domains",
                        named_tallies("failure_domain", r->domains, domains));
    json_object_set_new(report, "series", series_json(r, &series));
    add_to_teams(json_object_get(report, "teams"), teams);
    g_free(kinds);
    g_free(teams);
    g_free(domains);
    g_free(series.seconds);
}

/* Prints the tallies of a list of the report, named by a field. */
static void
print_tallies(const json_t *list, const char *field)
{
    static const char *const counts[] = {
        "offered", "in_objective", "late",    "refused",
        "failed",  "abandoned",    "not_sent"};
    size_t i;
    json_t *item;

    printf("  %-14s", field);
    for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
        printf(" %12s", counts[k]);
    }
    printf("\n");
    json_array_foreach((json_t *)list, i, item)
    {
        printf("  %-14s", json_text_or(item, field, ""));
        for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
            printf(" %12" G_GINT64_FORMAT,
                   json_integer_or(item, counts[k], 0));
        }
        printf("\n");
    }
}

/* Prints what classes_add has added, except the series. */
void
classes_print(const json_t *report)
{
    print_tallies(json_object_get(report, "kinds"), "kind");
    print_tallies(json_object_get(report, "teams"), "team");
    print_tallies(json_object_get(report, "failure_domains"),
                  "failure_domain");
}
