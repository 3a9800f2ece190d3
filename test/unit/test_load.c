#include <glib/gstdio.h>
#include <string.h>

#include "suite.h"
#include "tools/load/experiment.h"
#include "tools/load/offered.h"
#include "tools/load/plot.h"
#include "tools/load/tally.h"

static const char head[] = "[experiment]\nname = \"x\"\nservices = \"s\"\n"
                           "duration_s = 10\n";
static const char kind[] = "[[kind]]\nname = \"k\"\nstatement = \"book\"\n";
static const char team[] =
    "[[team]]\nname = \"t\"\noffered = 60\nrate = 9\nburst = 9\n";

/* Loads an experiment from a text.  The caller clears x. */
static gboolean
load_text(const char *text, Experiment *x, GError **error)
{
    char *path = g_build_filename(g_get_tmp_dir(), "load-XXXXXX", NULL);
    g_close(g_mkstemp(path), NULL);
    g_file_set_contents(path, text, -1, NULL);
    gboolean ok = experiment_load(path, x, error);
    g_unlink(path);
    g_free(path);
    return ok;
}

/* A wrong value must be reported with its field, not run as something else. */
static void
wrong_experiments_are_refused_with_the_field(void)
{
    static const struct {
        const char *more; /* after head, kind and team */
        const char *expected;
    } cases[] = {
        {"mix = { nope = 1 }\n", "team[0]: mix.nope is no kind"},
        {"mix = { k = -1 }\n", "team[0]: mix.k must be a whole weight"},
        {"mix = { k = 0 }\n", "team[0]: mix must have a weight above 0"},
        {"mix = { k = 1 }\nend_s = 3\nbegin_s = 3\n",
         "team[0]: end_s must be after begin_s"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"k\"\nstatement = \"list\"\n",
         "kind[1]: name \"k\" is already taken"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\n",
         "kind[1]: statement is missing"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "worth = 1001\n",
         "kind[1]: worth must be 0 to 1000, found 1001"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "objective_ms = 900\ntimeout_ms = 800\n",
         "kind[1]: objective_ms 900 must not be above timeout_ms 800"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "give_up_percent = 10\n",
         "kind[1]: give_up_percent needs give_up_after_ms"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "give_up_percent = 10\ngive_up_after_ms = 800\ntimeout_ms = 800\n",
         "kind[1]: give_up_after_ms 800 must be below timeout_ms 800"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "idle_ms = 10\n",
         "kind[1]: idle_ms needs idle_percent"},
        {"mix = { k = 1 }\n[[kind]]\nname = \"l\"\nstatement = \"l\"\n"
         "idle_percent = 60\nidle_ms = 9\ngive_up_percent = 50\n"
         "give_up_after_ms = 9\n",
         "are together 110"},
        {"mix = { k = 1 }\n[[wave]]\nfailure_domain = \"a\"\n"
         "amplitude_percent = 101\nperiod_s = 8\n",
         "wave[0]: amplitude_percent must be 0 to 100, found 101"},
        {"mix = { k = 1 }\n[[wave]]\nfailure_domain = \"a\"\n"
         "amplitude_percent = 10\nperiod_s = 0\n",
         "wave[0]: period_s must be 1 to 3600, found 0"},
        {"mix = { k = 1 }\n[[wave]]\nfailure_domain = \"a\"\n"
         "amplitude_percent = 1\nperiod_s = 8\n"
         "[[wave]]\nfailure_domain = \"a\"\n"
         "amplitude_percent = 1\nperiod_s = 8\n",
         "wave[1]: failure_domain \"a\" already has a wave"},
        {"mix = { k = 1 }\n[[surge]]\nteam = \"u\"\nmultiple = 2\n"
         "begin_s = 1\nend_s = 2\n",
         "surge[0]: team \"u\" is no team of this file"},
        {"mix = { k = 1 }\n[[surge]]\nteam = \"t\"\nmultiple = 2\n"
         "begin_s = 2\nend_s = 2\n",
         "surge[0]: end_s must be after begin_s"},
        {"mix = { k = 1 }\n[[wavy]]\nx = 1\n", "wavy is not known here"},
        {"mix = { k = 1 }\n[surge]\nteam = \"t\"\n",
         "surge must be a list of tables"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strconcat(head, kind, team, cases[i].more, NULL);
        Experiment x;
        GError *error = NULL;
        CU_ASSERT_FALSE(load_text(text, &x, &error));
        CU_ASSERT_PTR_NOT_NULL_FATAL(error);
        if (strstr(error->message, cases[i].expected) == NULL) {
            printf("\ncase %zu: %s\n", i, error->message);
            CU_FAIL("another error");
        }
        g_error_free(error);
        experiment_clear(&x);
        g_free(text);
    }
}

/* Every file of experiments/ must load: a run takes minutes to fail. */
static void
stored_experiments_load(void)
{
    char *folder = g_build_filename(SAPPHIREWEIR_SOURCE, "experiments", NULL);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (!g_str_has_suffix(name, ".toml")) {
            continue;
        }
        char *path = g_build_filename(folder, name, NULL);
        Experiment x;
        GError *error = NULL;
        CU_ASSERT(experiment_load(path, &x, &error));
        CU_ASSERT_PTR_NULL(error);
        CU_ASSERT(x.kinds->len > 0);
        g_clear_error(&error);
        experiment_clear(&x);
        g_free(path);
    }
    g_dir_close(dir);
    g_free(folder);
}

/* Waves and surges must change the load as the file says, and never beyond the
 * peak, from which the arrivals are thinned. */
static void
load_follows_waves_and_surges(void)
{
    static const char more[] =
        "mix = { k = 1 }\nend_s = 9\n"
        "[[wave]]\nfailure_domain = \"a\"\namplitude_percent = 50\n"
        "period_s = 8\n"
        "[[wave]]\nfailure_domain = \"b\"\namplitude_percent = 50\n"
        "period_s = 8\nphase_degrees = 180\n"
        "[[surge]]\nteam = \"t\"\nmultiple = 4\nbegin_s = 6\nend_s = 7\n";
    static const struct {
        int32_t domain;
        double at_s;
        double expected_per_s;
    } cases[] = {
        {0, 0, 60},  {0, 2, 90},   {1, 2, 30},     {2, 2, 60},  {-1, 2, 60},
        {0, 6, 120}, {-1, 6, 240}, {-1, 6.9, 240}, {-1, 7, 60}, {-1, 9, 0},
    };
    char *text = g_strconcat(head, kind, team, more, NULL);
    GPtrArray *domains = g_ptr_array_new();
    Experiment x;

    g_ptr_array_add(domains, (char *)"a");
    g_ptr_array_add(domains, (char *)"b");
    g_ptr_array_add(domains, (char *)"c");
    CU_ASSERT_FATAL(load_text(text, &x, NULL));
    const TeamLoad *t = g_ptr_array_index(x.teams, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double found =
            offered_per_s(&x, t, domains, cases[i].domain, cases[i].at_s);
        CU_ASSERT_DOUBLE_EQUAL(found, cases[i].expected_per_s, 0.001);
        CU_ASSERT(found <=
                  offered_peak_per_s(&x, t, domains, cases[i].domain) + 0.001);
    }
    /* At 2 s the domains have 1.5, 0.5 and 1 of 3 parts. */
    CU_ASSERT_EQUAL(offered_pick_domain(&x, domains, 2, 0.49), 0);
    CU_ASSERT_EQUAL(offered_pick_domain(&x, domains, 2, 0.51), 1);
    CU_ASSERT_EQUAL(offered_pick_domain(&x, domains, 2, 0.67), 2);
    experiment_clear(&x);
    g_ptr_array_unref(domains);
    g_free(text);
}

/* Each request must be counted once, also one without an objective. */
static void
requests_are_counted_by_outcome(void)
{
    static const struct {
        Outcome outcome;
        uint64_t latency_us;
        uint64_t objective_us;
        const char *field;
    } cases[] = {
        {kOutcomeDone, 100, 100, "in_objective"},
        {kOutcomeDone, 101, 100, "late"},
        {kOutcomeDone, 5000, 0, "in_objective"},
        {kOutcomeNotRun, 1, 100, "refused"},
        {kOutcomeRateLimited, 1, 100, "refused"},
        {kOutcomeUnknown, 1, 100, "failed"},
        {kOutcomeAbandoned, 1, 100, "abandoned"},
        {kOutcomeNotSent, 0, 100, "not_sent"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Tally t = {0};
        const char *name;
        json_t *value;
        tally_add(&t, cases[i].outcome, cases[i].latency_us,
                  cases[i].objective_us);
        json_t *counts = tally_json(&t);
        json_object_foreach(counts, name, value)
        {
            gboolean counted = strcmp(name, "offered") == 0 ||
                               strcmp(name, cases[i].field) == 0;
            CU_ASSERT_EQUAL(json_integer_value(value), counted ? 1 : 0);
        }
        json_decref(counts);
    }
}

/* A report must plot with a panel for each kind, and names from a file must
 * not become commands of gnuplot. */
static void
plots_have_all_kinds_and_no_foreign_commands(void)
{
    static const char text[] =
        "{\"experiment\":\"x\\\"; system 'false'\",\"kinds\":["
        "{\"kind\":\"k\",\"objective_ms\":90,\"offered\":4,"
        "\"in_objective\":3},"
        "{\"kind\":\"l`ls`\",\"offered\":0,\"in_objective\":0}],"
        "\"series\":{\"k\":[{\"offered\":4,\"in_objective\":3,\"refused\":1},"
        "{\"offered\":0}]}}";
    json_t *report = json_loads(text, 0, NULL);
    char *alone = plot_script(report, NULL, "plot.svg");
    char *both = plot_script(report, report, "plot.svg");

    CU_ASSERT_PTR_NOT_NULL(strstr(alone, "$after0 << EOD\n0 75.0 25.0\nEOD"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(alone, "\"k: in objective of 90 ms 75.0%\"\nplot $after0"));
    CU_ASSERT_PTR_NOT_NULL(strstr(both, "plot $before0"));
    CU_ASSERT_PTR_NOT_NULL(strstr(both, "75.0% before, 75.0% after"));
    CU_ASSERT_PTR_NOT_NULL(strstr(alone, "title \"x-- system -false-\"\n"));
    CU_ASSERT_PTR_NULL(strchr(alone, '`'));
    g_free(alone);
    g_free(both);
    json_decref(report);
}

void
add_load_suite(void)
{
    CU_pSuite s = CU_add_suite("load", NULL, NULL);
    CU_add_test(s, "wrong experiments are refused with the field",
                wrong_experiments_are_refused_with_the_field);
    CU_add_test(s, "stored experiments load", stored_experiments_load);
    CU_add_test(s, "load follows waves and surges",
                load_follows_waves_and_surges);
    CU_add_test(s, "requests are counted by outcome",
                requests_are_counted_by_outcome);
    CU_add_test(s, "plots have all kinds and no foreign commands",
                plots_have_all_kinds_and_no_foreign_commands);
}
