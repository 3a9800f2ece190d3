#include "core/schema.h"

#include <stdarg.h>
#include <string.h>

#include "core/error.h"

enum { kMaxNameLength = 63 };

/* How error messages name each FieldType. */
static const char *const type_names[] = {
    "an integer", "text", "true or false", "a table", "a list",
};

/* Initializes an empty collection of errors; free it with schema_errors_clear
 * or schema_errors_raise. */
void
schema_errors_init(SchemaErrors *e)
{
    e->text = g_string_new(NULL);
    e->count = 0;
}

/* Frees the collection. */
void
schema_errors_clear(SchemaErrors *e)
{
    g_string_free(e->text, TRUE);
    e->text = NULL;
}

/* Adds an error: the place where it was found, and a description as a printf
 * format. */
void
schema_errors_add(SchemaErrors *e, const char *where, const char *format, ...)
{
    va_list args;

    if (e->count++ > 0) {
        g_string_append_c(e->text, '\n');
    }
    g_string_append_printf(e->text, "%s: ", where);
    va_start(args, format);
    g_string_append_vprintf(e->text, format, args);
    va_end(args);
}

/* Frees the collection.  Returns TRUE if it is empty; otherwise returns FALSE
 * and sets error to a kCoreErrorInvalid with all collected lines. */
gboolean
schema_errors_raise(SchemaErrors *e, GError **error)
{
    gboolean ok = e->count == 0;
    if (!ok) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            e->text->str);
    }
    schema_errors_clear(e);
    return ok;
}

static gboolean
type_matches(const json_t *value, FieldType type)
{
    switch (type) {
    case kFieldInteger:
        return json_is_integer(value);
    case kFieldText:
        return json_is_string(value);
    case kFieldBoolean:
        return json_is_boolean(value);
    case kFieldObject:
        return json_is_object(value);
    case kFieldArray:
        return json_is_array(value);
    }
    return FALSE;
}

/* Returns whether a text is one of the choices, which are separated by
 * '|'. */
static gboolean
choice_matches(const char *choices, const char *text)
{
    char **list = g_strsplit(choices, "|", -1);
    gboolean found = g_strv_contains((const char *const *)list, text);
    g_strfreev(list);
    return found;
}

/* Adds an error to e if a value does not have the type, range or choice of its
 * field. */
static void
check_value(const json_t *value, const Field *f, const char *where,
            SchemaErrors *e)
{
    if (!type_matches(value, f->type)) {
        char *found = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        schema_errors_add(e, where, "%s must be %s, found %.80s", f->name,
                          type_names[f->type], found);
        free(found);
        return;
    }
    if (f->type == kFieldInteger) {
        int64_t number = json_integer_value(value);
        if (number < f->min || number > f->max) {
            schema_errors_add(e, where,
                              "%s must be %" G_GINT64_FORMAT
                              " to %" G_GINT64_FORMAT
                              ", found %" G_GINT64_FORMAT,
                              f->name, f->min, f->max, number);
        }
    }
    if (f->type == kFieldText && f->choices != NULL &&
        !choice_matches(f->choices, json_string_value(value))) {
        schema_errors_add(e, where, "%s must be one of %s, found \"%.80s\"",
                          f->name, f->choices, json_string_value(value));
    }
}

static gboolean
field_known(const Field *fields, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Checks an object against an array of fields.  Adds an error for each value
 * that does not match its field, for each required field that is missing, and
 * for each unknown field. */
void
schema_check_object(const json_t *object, const Field *fields, size_t count,
                    const char *where, SchemaErrors *e)
{
    const char *name;
    json_t *value;

    if (!json_is_object(object)) {
        schema_errors_add(e, where, "must be a table");
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *found = json_object_get(object, fields[i].name);
        if (found != NULL) {
            check_value(found, &fields[i], where, e);
        }
        else if (fields[i].required) {
            schema_errors_add(e, where, "%s is missing; it is %s",
                              fields[i].name, type_names[fields[i].type]);
        }
    }
    json_object_foreach((json_t *)object, name, value)
    {
        if (!field_known(fields, count, name)) {
            schema_errors_add(e, where, "%s is not known here", name);
        }
    }
}

/* Returns whether a name consists of 1 to 63 letters, digits, '-', '_' or '.',
 * and starts with a letter or digit. */
gboolean
schema_name_valid(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > kMaxNameLength || !g_ascii_isalnum(name[0])) {
        return FALSE;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("-_.", name[i]) == NULL) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns an integer field of an object, or fallback if the field is missing
 * or not an integer. */
int64_t
json_integer_or(const json_t *object, const char *name, int64_t fallback)
{
    const json_t *value = json_object_get(object, name);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

/* Returns a text field of an object, or fallback if the field is missing or
 * not a text.  The object owns the text. */
const char *
json_text_or(const json_t *object, const char *name, const char *fallback)
{
    const json_t *value = json_object_get(object, name);
    return json_is_string(value) ? json_string_value(value) : fallback;
}

/* Returns whether a field of an object exists and is true. */
gboolean
json_flag(const json_t *object, const char *name)
{
    return json_is_true(json_object_get(object, name));
}
