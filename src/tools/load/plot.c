#include "plot.h"

#include <glib/gstdio.h>
#include <string.h>

#include "core/schema.h"

/* Plots a report with gnuplot, which the load program starts. */

enum {
    kPlotWidth = 900, /* pixels */
    kPanelHeight = 170,
    kTitleHeight = 60,
};

/* Appends a text as a gnuplot string in double quotes.  Every byte with a
 * meaning in one is replaced, since names come from the experiment's file. */
static void
append_text(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (const char *c = text; *c != '\0'; c++) {
        gboolean plain = g_ascii_isalnum(*c) || strchr(" -.,:()%", *c) != NULL;
        g_string_append_c(out, plain ? *c : '-');
    }
    g_string_append_c(out, '"');
}

/* Returns part of whole in percent. */
static double
percent(int64_t part, int64_t whole)
{
    return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}

/* Appends a data block with a line for each second in which a kind was
 * offered: second, share served in the objective, share refused. */
static void
append_data(GString *out, const char *block, size_t index, const json_t *list)
{
    size_t second;
    json_t *tally;

    g_string_append_printf(out, "$%s%zu << EOD\n", block, index);
    json_array_foreach((json_t *)list, second, tally)
    {
        int64_t offered = json_integer_or(tally, "offered", 0);
        if (offered > 0) {
            g_string_append_printf(
                out, "%zu %.1f %.1f\n", second,
                percent(json_integer_or(tally, "in_objective", 0), offered),
                percent(json_integer_or(tally, "refused", 0), offered));
        }
    }
    g_string_append(out, "EOD\n");
}

/* Returns the tally of a kind in a report, or NULL. */
static const json_t *
find_kind(const json_t *report, const char *kind)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(report, "kinds"), i, item)
    {
        if (strcmp(json_text_or(item, "kind", ""), kind) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Appends the plot commands of the two curves of a report in a panel. */
static void
append_curves(GString *out, const char *block, size_t index,
              const char *suffix, const char *colour)
{
    g_string_append_printf(
        out,
        "$%s%zu using 1:2 with lines lw 2 lc rgb '%s' "
        "title 'in objective%s', "
        "$%s%zu using 1:3 with lines lw 1.5 dt 2 lc rgb '%s' "
        "title 'refused%s'",
        block, index, colour, suffix, block, index, colour, suffix);
}

/* Appends the panel of a kind.  Its title has the kind's objective and the
 * share in the objective over the whole run. */
static void
append_panel(GString *out, size_t index, const json_t *kind,
             const json_t *before_kind)
{
    const char *name = json_text_or(kind, "kind", "");
    GString *title = g_string_new(NULL);

    g_string_printf(title, "%s: in objective", name);
    if (json_integer_or(kind, "objective_ms", 0) > 0) {
        g_string_append_printf(title, " of %" G_GINT64_FORMAT " ms",
                               json_integer_or(kind, "objective_ms", 0));
    }
    if (before_kind != NULL) {
        g_string_append_printf(
            title, " %.1f%% before,",
            percent(json_integer_or(before_kind, "in_objective", 0),
                    json_integer_or(before_kind, "offered", 0)));
    }
    g_string_append_printf(title, " %.1f%%%s",
                           percent(json_integer_or(kind, "in_objective", 0),
                                   json_integer_or(kind, "offered", 0)),
                           before_kind == NULL ? "" : " after");
    g_string_append(out, "set title ");
    append_text(out, title->str);
    g_string_append(out, "\nplot ");
    if (before_kind != NULL) {
        append_curves(out, "before", index, ", before", "#c0392b");
        g_string_append(out, ", ");
    }
    append_curves(out, "after", index, before_kind == NULL ? "" : ", after",
                  "#1f5fa8");
    g_string_append(out, "\n");
    g_string_free(title, TRUE);
}

/* Returns gnuplot commands that plot the share of requests served in their
 * objective and the share refused, by second of sending, with a panel for each
 * kind: as PNG if the path ends in .png, otherwise as SVG.  before is a report
 * of the same experiment that is plotted beside it, or NULL.  The caller frees
 * the text. */
char *
plot_script(const json_t *report, const json_t *before, const char *path)
{
    const json_t *kinds = json_object_get(report, "kinds");
    const json_t *series = json_object_get(report, "series");
    const json_t *before_series = json_object_get(before, "series");
    GString *out = g_string_new(NULL);
    size_t i;
    json_t *kind;

    json_array_foreach((json_t *)kinds, i, kind)
    {
        const char *name = json_text_or(kind, "kind", "");
        append_data(out, "after", i, json_object_get(series, name));
        append_data(out, "before", i, json_object_get(before_series, name));
    }
    /* A path cannot be quoted in every case, so plot_write gives gnuplot one
     * without special characters. */
    g_string_append_printf(
        out,
        "set terminal %s size %d,%zu font 'sans-serif,11' background "
        "'white'\nset output '%s'\n",
        g_str_has_suffix(path, ".png") ? "pngcairo" : "svg", kPlotWidth,
        kTitleHeight + kPanelHeight * json_array_size(kinds), path);
    g_string_append_printf(out, "set multiplot layout %zu,1 title ",
                           json_array_size(kinds));
    append_text(out, json_text_or(report, "experiment", ""));
    g_string_append(out, "\nset yrange [0:105]\nset ytics 50\nset grid y\n"
                         "set ylabel '% of offered'\n"
                         "set lmargin 9\nset rmargin 26\n"
                         "set key outside right\n");
    json_array_foreach((json_t *)kinds, i, kind)
    {
        const char *name = json_text_or(kind, "kind", "");
        if (i == 1) {
            g_string_append(out, "unset key\n"); /* the first has it */
        }
        if (i + 1 == json_array_size(kinds)) {
            g_string_append(out, "set xlabel 'second of sending'\n");
        }
        append_panel(out, i, kind, find_kind(before, name));
    }
    g_string_append(out, "unset multiplot\n");
    return g_string_free(out, FALSE);
}

/* Runs gnuplot in a folder on its file "script". */
static gboolean
run_gnuplot(const char *folder, GError **error)
{
    char *arguments[] = {(char *)"gnuplot", (char *)"script", NULL};
    char *errors = NULL;
    int status = 0;

    if (!g_spawn_sync(folder, arguments, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL,
                      NULL, &errors, &status, error)) {
        g_prefix_error(error, "plots need the package gnuplot-nox: ");
        return FALSE;
    }
    gboolean ok = g_spawn_check_wait_status(status, error);
    if (!ok) {
        g_prefix_error(error, "gnuplot: %s: ", errors);
    }
    g_free(errors);
    return ok;
}

/* Plots a report, and one before it unless that is NULL, to a file; see
 * plot_script.  Returns FALSE and sets error when the report has no kinds,
 * gnuplot fails or the file cannot be written. */
gboolean
plot_write(const json_t *report, const json_t *before, const char *path,
           GError **error)
{
    char *svg = NULL;
    gsize length = 0;

    if (json_array_size(json_object_get(report, "kinds")) == 0) {
        g_set_error_literal(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                            "the report has no kinds of requests");
        return FALSE;
    }
    char *folder = g_dir_make_tmp("sapphireweir-plot-XXXXXX", error);
    if (folder == NULL) {
        return FALSE;
    }
    char *script = g_build_filename(folder, "script", NULL);
    const char *name =
        g_str_has_suffix(path, ".png") ? "plot.png" : "plot.svg";
    char *output = g_build_filename(folder, name, NULL);
    char *text = plot_script(report, before, name);
    gboolean ok = g_file_set_contents(script, text, -1, error) &&
                  run_gnuplot(folder, error) &&
                  g_file_get_contents(output, &svg, &length, error) &&
                  g_file_set_contents(path, svg, (gssize)length, error);

    g_unlink(script);
    g_unlink(output);
    g_rmdir(folder);
    g_free(svg);
    g_free(text);
    g_free(output);
    g_free(script);
    g_free(folder);
    return ok;
}
