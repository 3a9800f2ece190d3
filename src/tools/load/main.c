#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "adapter/program.h"
#include "core/schema.h"
#include "plot.h"
#include "run.h"

/* sapphireweir-load: sends open-loop load to a running fleet, injects faults
 * on a schedule and checks the service's guarantees. */

typedef struct {
    char *experiment;
    char *endpoints;
    char *json;
    char *plot;
    char *report;
    char *compare;
} Arguments;

/* Parses the command line.  A run needs both input files; a plot of a report
 * that was written before needs none. */
static gboolean
parse(Arguments *a, int *argc, char ***argv, GError **error)
{
    const GOptionEntry entries[] = {
        {"experiment", 'x', 0, G_OPTION_ARG_FILENAME, &a->experiment,
         "TOML file of the experiment", "FILE"},
        {"endpoints", 'e', 0, G_OPTION_ARG_FILENAME, &a->endpoints,
         "endpoints.json of the running demo", "FILE"},
        {"json", 'j', 0, G_OPTION_ARG_FILENAME, &a->json,
         "Write the report as JSON", "FILE"},
        {"plot", 'p', 0, G_OPTION_ARG_FILENAME, &a->plot,
         "Plot shares served and refused by kind and second (.svg or .png)",
         "FILE"},
        {"compare", 'c', 0, G_OPTION_ARG_FILENAME, &a->compare,
         "JSON report to plot beside this one, as the run before", "FILE"},
        {"report", 'r', 0, G_OPTION_ARG_FILENAME, &a->report,
         "Only plot this JSON report; sends no load", "FILE"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(
        context, "Sends load to a running fleet and checks its guarantees.\n"
                 "Exit code 1: a guarantee was violated, or a file "
                 "was not written.");
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, argc, argv, error);
    g_option_context_free(context);
    if (ok && (a->report != NULL || a->compare != NULL) && a->plot == NULL) {
        g_set_error_literal(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                            "--report and --compare need --plot");
        return FALSE;
    }
    if (ok && a->report == NULL &&
        (a->experiment == NULL || a->endpoints == NULL)) {
        g_set_error_literal(error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                            "--experiment and --endpoints are required");
        return FALSE;
    }
    return ok;
}

/* Reads the endpoints file and the operator token, then starts the run. */
static gboolean
prepare_run(Run *r, const Arguments *a, GError **error)
{
    size_t i;
    json_t *entry;

    r->endpoints = json_load_file(a->endpoints, 0, NULL);
    if (r->endpoints == NULL) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "cannot read %s",
                    a->endpoints);
        return FALSE;
    }
    const json_t *entries = json_object_get(r->endpoints, "entries");
    r->client.entries = g_new0(char *, json_array_size(entries) + 1);
    json_array_foreach((json_t *)entries, i, entry)
    {
        r->client.entries[i] =
            g_strdup_printf("http://%s", json_text_or(entry, "address", ""));
    }
    if (!g_file_get_contents(
            json_text_or(r->endpoints, "operator_token_file", ""),
            &r->client.token, NULL, error)) {
        return FALSE;
    }
    g_strstrip(r->client.token);
    return run_start(r, error);
}

/* Reads a report that an earlier run wrote; the caller owns it. */
static json_t *
read_report(const char *path, GError **error)
{
    json_error_t why;
    json_t *report = json_load_file(path, 0, &why);
    if (report == NULL) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "cannot read report %s: %s", path, why.text);
    }
    return report;
}

/* Plots a report, beside the one of --compare if there is one. */
static gboolean
plot(const json_t *report, const Arguments *a, GError **error)
{
    json_t *before = NULL;
    if (a->compare != NULL) {
        before = read_report(a->compare, error);
        if (before == NULL) {
            return FALSE;
        }
    }
    gboolean ok = plot_write(report, before, a->plot, error);
    json_decref(before);
    return ok;
}

/* Plots the report of an earlier run. */
static gboolean
plot_only(const Arguments *a, GError **error)
{
    json_t *report = read_report(a->report, error);
    gboolean ok = report != NULL && plot(report, a, error);
    json_decref(report);
    return ok;
}

/* Writes the report as JSON and as a plot, where they are wanted. */
static gboolean
write_files(const json_t *report, const Arguments *a, GError **error)
{
    if (a->json != NULL &&
        json_dump_file(report, a->json, JSON_INDENT(2) | JSON_SORT_KEYS) !=
            0) {
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                    "cannot write %s", a->json);
        return FALSE;
    }
    return a->plot == NULL || plot(report, a, error);
}

/* Returns TRUE when every violation count of the report is zero;
 * writes_checked is no such count. */
static gboolean
guarantees_kept(const json_t *report)
{
    const json_t *p = json_object_get(report, "promises");
    const char *name;
    json_t *value;
    gboolean kept = TRUE;

    json_object_foreach((json_t *)p, name, value)
    {
        kept = kept && (strcmp(name, "writes_checked") == 0 ||
                        json_integer_value(value) == 0);
    }
    return kept;
}

int
main(int argc, char **argv)
{
    /* Lets writes in progress finish before the checks. */
    enum { kSettleUs = 3000000 };
    Arguments a = {0};
    Experiment x;
    Run r = {.experiment = &x};
    GError *error = NULL;

    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        fprintf(stderr, "library initialization failed\n");
        return kExitUsage;
    }
    if (!parse(&a, &argc, &argv, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return kExitUsage;
    }
    if (a.report != NULL) {
        if (!plot_only(&a, &error)) {
            fprintf(stderr, "%s\n", error->message);
            return kExitFailure;
        }
        return kExitOk;
    }
    if (!experiment_load(a.experiment, &x, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return kExitUsage;
    }
    if (!prepare_run(&r, &a, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return kExitFailure;
    }
    RunCounters before = report_counters(&r);
    run_loop(&r);
    RunCounters after = report_counters(&r);
    g_usleep(kSettleUs);
    faults_clear_service_time(&r);
    check_writes(&r);
    check_rates(&r);
    json_t *report = report_make(&r, &before, &after);
    classes_add(&r, report);
    report_print(report);
    classes_print(report);
    gboolean written = write_files(report, &a, &error);
    if (!written) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
    ExitCode code =
        written && guarantees_kept(report) ? kExitOk : kExitFailure;
    json_decref(report);
    run_clear(&r);
    experiment_clear(&x);
    return (int)code;
}
