#include "explain.h"

#include <jansson.h>
#include <string.h>

#include "core/error.h"
#include "core/schema.h"

/* Tells the story of one request, or of the changes of one database's
 * primary, from the log files of many processes.  Lines of one instance are
 * in the order of their numbers; what control did is joined by database and
 * epoch.  Clocks are not compared between instances. */

typedef struct {
    GPtrArray *lines; /* json_t, in the order of the files */
    uint32_t unreadable;
} Story;

static const char *
text_of(const json_t *line, const char *name)
{
    return json_text_or(line, name, "");
}

static gboolean
is_event(const json_t *line, const char *event)
{
    return strcmp(text_of(line, "event"), event) == 0;
}

static gboolean
read_file(Story *s, const char *path, GError **error)
{
    char *text = NULL;
    char **lines;

    if (!g_file_get_contents(path, &text, NULL, error)) {
        return FALSE;
    }
    lines = g_strsplit(text, "\n", -1);
    for (char **at = lines; *at != NULL; at++) {
        const char *start = strchr(*at, '{');
        json_t *line = start == NULL ? NULL : json_loads(start, 0, NULL);
        if (json_is_object(line) && json_object_get(line, "event") != NULL) {
            g_ptr_array_add(s->lines, line);
            continue;
        }
        s->unreadable += start != NULL;
        json_decref(line);
    }
    g_strfreev(lines);
    g_free(text);
    return TRUE;
}

static void
print_line(GString *out, const char *indent, const json_t *line)
{
    const char *name;
    json_t *value;

    g_string_append_printf(out, "%s%s #%" G_GINT64_FORMAT " %s", indent,
                           text_of(line, "instance"),
                           json_integer_or(line, "line", 0),
                           text_of(line, "event"));
    json_object_foreach((json_t *)line, name, value)
    {
        if (strcmp(name, "event") == 0 || strcmp(name, "instance") == 0 ||
            strcmp(name, "program") == 0 || strcmp(name, "line") == 0 ||
            strcmp(name, "time_us") == 0) {
            continue;
        }
        if (json_is_string(value)) {
            g_string_append_printf(out, " %s=\"%s\"", name,
                                   json_string_value(value));
        }
        else {
            g_string_append_printf(out, " %s=%" G_GINT64_FORMAT, name,
                                   (gint64)json_integer_value(value));
        }
    }
    g_string_append_c(out, '\n');
}

/* The kinds of belief that a decision about a request rests on. */
static gboolean
is_belief(const json_t *line, const char *event, const char *database)
{
    if (!is_event(line, event)) {
        return FALSE;
    }
    return json_object_get(line, "database") == NULL ||
           strcmp(text_of(line, "database"), database) == 0;
}

/* Prints what an instance believed last before a line of its own. */
static void
print_beliefs(const Story *s, guint at, GString *out)
{
    static const char *const events[] = {
        "start",           "configuration",  "primary",
        "primary_closing", "lease_regained", "lease_lost",
        "cut_healed",      "cut_off",        "dropped"};
    const json_t *line = g_ptr_array_index(s->lines, at);

    for (size_t k = 0; k < G_N_ELEMENTS(events); k++) {
        for (guint i = at; i > 0; i--) {
            const json_t *before = g_ptr_array_index(s->lines, i - 1);
            if (strcmp(text_of(before, "instance"),
                       text_of(line, "instance")) == 0 &&
                is_belief(before, events[k], text_of(line, "database"))) {
                print_line(out, "    before: ", before);
                break;
            }
        }
    }
}

static void
print_changes(const Story *s, const char *database, gint64 epoch, GString *out)
{
    for (guint i = 0; i < s->lines->len; i++) {
        const json_t *line = g_ptr_array_index(s->lines, i);
        if (is_event(line, "change") &&
            strcmp(text_of(line, "database"), database) == 0 &&
            (epoch < 0 || json_integer_or(line, "epoch", 0) == epoch)) {
            print_line(out, "    control: ", line);
        }
    }
}

static guint
print_requests(const Story *s, const char *id, GString *out)
{
    guint found = 0;

    for (guint i = 0; i < s->lines->len; i++) {
        const json_t *line = g_ptr_array_index(s->lines, i);
        if (strcmp(text_of(line, "request"), id) != 0) {
            continue;
        }
        found++;
        print_line(out, "", line);
        print_beliefs(s, i, out);
        print_changes(s, text_of(line, "database"),
                      json_integer_or(line, "epoch", 0), out);
    }
    return found;
}

static void
json_release(void *line)
{
    json_decref(line);
}

/* Writes the story of a request, or of a database, found in log files.
 * Fails with kCoreErrorNotFound when no line names it, or with the error of
 * a file that cannot be read. */
gboolean
explain_files(const char *id, char **files, GString *out, GError **error)
{
    Story s = {g_ptr_array_new_with_free_func(json_release), 0};
    gboolean ok = TRUE;

    for (char **f = files; *f != NULL && ok; f++) {
        ok = read_file(&s, *f, error);
    }
    if (ok && print_requests(&s, id, out) == 0) {
        gsize before = out->len;
        print_changes(&s, id, -1, out);
        if (out->len == before) {
            ok = FALSE;
            g_set_error(error, CORE_ERROR, kCoreErrorNotFound,
                        "no line of these files names %s; served requests "
                        "are sampled",
                        id);
        }
    }
    if (s.unreadable > 0) {
        g_string_append_printf(out, "cut: %u lines cannot be read\n",
                               s.unreadable);
    }
    g_ptr_array_unref(s.lines);
    return ok;
}
