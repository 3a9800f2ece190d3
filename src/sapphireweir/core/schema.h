#ifndef SAPPHIREWEIR_CORE_SCHEMA_H
#define SAPPHIREWEIR_CORE_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* Type of a field's value. */
typedef enum {
    kFieldInteger,
    kFieldText,
    kFieldBoolean,
    kFieldObject,
    kFieldArray,
} FieldType;

/* One field of a JSON object or TOML table. */
typedef struct {
    const char *name;
    FieldType type;
    gboolean required;
    int64_t min;         /* lowest value of an integer */
    int64_t max;         /* highest value of an integer */
    const char *choices; /* of a text, as "a|b|c"; NULL: any text */
    const char *help;    /* description for the operator */
} Field;

/* The errors found in a text or object; checks go on after an error. */
typedef struct {
    GString *text; /* one line for each error */
    uint32_t count;
} SchemaErrors;

void schema_errors_init(SchemaErrors *e);
void schema_errors_clear(SchemaErrors *e);
void schema_errors_add(SchemaErrors *e, const char *where, const char *format,
                       ...) G_GNUC_PRINTF(3, 4);
gboolean schema_errors_raise(SchemaErrors *e, GError **error);

void schema_check_object(const json_t *object, const Field *fields,
                         size_t count, const char *where, SchemaErrors *e);
gboolean schema_name_valid(const char *name);

int64_t json_integer_or(const json_t *object, const char *name,
                        int64_t fallback);
const char *json_text_or(const json_t *object, const char *name,
                         const char *fallback);
gboolean json_flag(const json_t *object, const char *name);

#endif
