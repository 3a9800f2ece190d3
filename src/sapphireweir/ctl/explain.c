#include "explain.h"

#include <jansson.h>
#include <string.h>

#include "core/error.h"
#include "core/schema.h"

/* Explains one request, or the changes of one database's primary, from the log
 * files of several processes.  The order of an instance's events is the order
 * of the lines in its log.  The changes that control instances logged are
 * matched by database and epoch.  Timestamps are not compared, since the
 * clocks of the instances may differ. */

/* The event lines of all log files. */
typedef struct {
    GPtrArray *lines;    /* json_t, in the order of the files */
    uint32_t unreadable; /* lines that are not a valid event */
} LogLines;

/* Returns a text field of a line, or "" if it is absent. */
static const char *
text_field(const json_t *line, const char *name)
{
    return json_text_or(line, name, "");
}

/* Returns whether a line is of the given event. */
static gboolean
is_event(const json_t *line, const char *event)
{
    return strcmp(text_field(line, "event"), event) == 0;
}

/* Adds the event lines of a log file to l.  Text before the JSON object of a
 * line is skipped, as are lines without one.  Fails with the error of reading
 * the file. */
static gboolean
read_file(LogLines *l, const char *path, GError **error)
{
    char *text = NULL;
    char **lines;

    if (!g_file_get_contents(path, &text, NULL, error)) {
        return FALSE;
    }
    lines = g_strsplit(text, "\n", -1);
    for (char **text_line = lines; *text_line != NULL; text_line++) {
        const char *start = strchr(*text_line, '{');
        json_t *line = start == NULL ? NULL : json_loads(start, 0, NULL);
        if (json_is_object(line) && json_object_get(line, "event") != NULL) {
            g_ptr_array_add(l->lines, line);
            continue;
        }
        l->unreadable += start != NULL;
        json_decref(line);
    }
    g_strfreev(lines);
    g_free(text);
    return TRUE;
}

/* Appends one line to out: instance, line number, event and the remaining
 * fields. */
static void
print_line(GString *out, const char *indent, const json_t *line)
{
    const char *name;
    json_t *value;

    g_string_append_printf(out, "%s%s #%" G_GINT64_FORMAT " %s", indent,
                           text_field(line, "instance"),
                           json_integer_or(line, "line", 0),
                           text_field(line, "event"));
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

/* Returns whether a line is of the given event, and of the given database if
 * it names one. */
static gboolean
is_state_event(const json_t *line, const char *event, const char *database)
{
    if (!is_event(line, event)) {
        return FALSE;
    }
    return json_object_get(line, "database") == NULL ||
           strcmp(text_field(line, "database"), database) == 0;
}

/* Appends to out the state on which an instance based a decision about a
 * request: for each kind of state event, the instance's last such line before
 * the line at index. */
static void
print_state_before(const LogLines *l, guint index, GString *out)
{
    static const char *const events[] = {
        "start",           "configuration",   "primary",    "primary_closing",
        "lease_regained",  "lease_lost",      "cut_healed", "cut_off",
        "server_cold",     "server_warm",     "evacuation", "admission",
        "rate_pool_begun", "rate_pool_ended", "dropped"};
    const json_t *line = g_ptr_array_index(l->lines, index);

    for (size_t k = 0; k < G_N_ELEMENTS(events); k++) {
        for (guint i = index; i > 0; i--) {
            const json_t *before = g_ptr_array_index(l->lines, i - 1);
            if (strcmp(text_field(before, "instance"),
                       text_field(line, "instance")) == 0 &&
                is_state_event(before, events[k],
                               text_field(line, "database"))) {
                print_line(out, "    before: ", before);
                break;
            }
        }
    }
}

/* Appends to out the changes of a database's primary with the given epoch, or
 * all of them if epoch is negative. */
static void
print_changes(const LogLines *l, const char *database, gint64 epoch,
              GString *out)
{
    for (guint i = 0; i < l->lines->len; i++) {
        const json_t *line = g_ptr_array_index(l->lines, i);
        if (is_event(line, "change") &&
            strcmp(text_field(line, "database"), database) == 0 &&
            (epoch < 0 || json_integer_or(line, "epoch", 0) == epoch)) {
            print_line(out, "    control: ", line);
        }
    }
}

/* Appends to out the lines of a request, each with the state before it and the
 * changes of its epoch.  Returns the number of lines. */
static guint
print_requests(const LogLines *l, const char *id, GString *out)
{
    guint found = 0;

    for (guint i = 0; i < l->lines->len; i++) {
        const json_t *line = g_ptr_array_index(l->lines, i);
        if (strcmp(text_field(line, "request"), id) != 0) {
            continue;
        }
        found++;
        print_line(out, "", line);
        print_state_before(l, i, out);
        print_changes(l, text_field(line, "database"),
                      json_integer_or(line, "epoch", 0), out);
    }
    return found;
}

/* Releases a line; the array's free function. */
static void
json_release(void *line)
{
    json_decref(line);
}

/* Appends to out the log lines that explain the request with this id or, if
 * there is none, the primary changes of the database with this name.  files is
 * NULL-terminated.  Fails with kCoreErrorNotFound if no line names the id, or
 * with the error of a file that cannot be read. */
gboolean
explain_files(const char *id, char **files, GString *out, GError **error)
{
    LogLines l = {g_ptr_array_new_with_free_func(json_release), 0};
    gboolean ok = TRUE;

    for (char **f = files; *f != NULL && ok; f++) {
        ok = read_file(&l, *f, error);
    }
    if (ok && print_requests(&l, id, out) == 0) {
        gsize before = out->len;
        print_changes(&l, id, -1, out);
        if (out->len == before) {
            ok = FALSE;
            g_set_error(error, CORE_ERROR, kCoreErrorNotFound,
                        "no line of these files names %s; served requests "
                        "are sampled",
                        id);
        }
    }
    if (l.unreadable > 0) {
        g_string_append_printf(out, "cut: %u lines cannot be read\n",
                               l.unreadable);
    }
    g_ptr_array_unref(l.lines);
    return ok;
}
