#include "experiment.h"

#include <signal.h>
#include <string.h>

#include "adapter/toml.h"
#include "core/schema.h"

static const Field experiment_fields[] = {
    {"name", kFieldText, TRUE, 0, 0, NULL, "name of the experiment"},
    {"services", kFieldText, TRUE, 0, 0, NULL, "services to call, a,b,c"},
    {"warmup_s", kFieldInteger, FALSE, 0, 600, NULL,
     "load before the measured part"},
    {"duration_s", kFieldInteger, TRUE, 1, 3600, NULL, "measured part"},
    {"seed", kFieldInteger, FALSE, 0, G_MAXUINT32, NULL,
     "seed of the random numbers"},
};

static const Field team_fields[] = {
    {"name", kFieldText, TRUE, 0, 0, NULL, "team of the fleet"},
    {"offered", kFieldInteger, TRUE, 1, 100000, NULL, "requests per second"},
    {"rate", kFieldInteger, TRUE, 1, 1000000, NULL, "rate limit per second"},
    {"burst", kFieldInteger, TRUE, 1, 1000000, NULL,
     "burst of the rate limit"},
    {"entry", kFieldInteger, FALSE, 0, 1000, NULL, "preferred entry instance"},
    {"begin_s", kFieldInteger, FALSE, 0, 3600, NULL,
     "start of load, default 0"},
    {"end_s", kFieldInteger, FALSE, 1, 3600, NULL,
     "end of load, default: end"},
    {"mix", kFieldObject, TRUE, 0, 0, NULL, "weight of each statement"},
};

static const Field fault_fields[] = {
    {"at_s", kFieldInteger, TRUE, 0, 3600, NULL, "after the warm-up"},
    {"kind", kFieldText, TRUE, 0, 0, "signal|member", "kind of fault"},
    {"target", kFieldText, TRUE, 0, 0, NULL, "process, member or primary"},
    {"database", kFieldText, FALSE, 0, 0, NULL, "database of the member"},
    {"signal", kFieldText, FALSE, 0, 0, "KILL|TERM|STOP|CONT",
     "for kind signal"},
    {"body", kFieldText, FALSE, 0, 0, NULL, "JSON for kind member"},
};

static void
team_free(void *data)
{
    TeamLoad *t = data;
    for (uint32_t i = 0; i < t->operation_count; i++) {
        g_free(t->operations[i].statement);
    }
    g_free(t->name);
    g_free(t);
}

static void
fault_free(void *data)
{
    Fault *f = data;
    g_free(f->kind);
    g_free(f->target);
    g_free(f->database);
    g_free(f->body);
    g_free(f);
}

/* Adds one statement of a team's mix with its weight.  The kind of the
 * statement follows from its name in the demo's services: "book" and "issue"
 * write, a name that starts with "find" reads the rows of one write id. */
static void
add_operation(TeamLoad *t, const char *name, const json_t *value,
              SchemaErrors *e)
{
    if (t->operation_count >= kMaxOperations || !json_is_integer(value)) {
        schema_errors_add(e, t->name, "mix.%s must be a whole weight", name);
        return;
    }
    Operation *o = &t->operations[t->operation_count++];
    o->statement = g_strdup(name);
    o->weight = (double)json_integer_value(value);
    o->write = strcmp(name, "book") == 0 || strcmp(name, "issue") == 0;
    o->reads_own_write = g_str_has_prefix(name, "find");
}

/* Adds the load of one team, with defaults for the fields that the item
 * lacks. */
static void
add_team(Experiment *x, const json_t *item, SchemaErrors *e)
{
    const char *name;
    json_t *value;
    TeamLoad *t = g_new0(TeamLoad, 1);

    t->name = g_strdup(json_text_or(item, "name", ""));
    t->offered_per_s = (double)json_integer_or(item, "offered", 1);
    t->rate_per_s = (uint32_t)json_integer_or(item, "rate", 1);
    t->burst = (uint32_t)json_integer_or(item, "burst", 1);
    t->entry = (int32_t)json_integer_or(item, "entry", -1);
    t->begin_s = (double)json_integer_or(item, "begin_s", 0);
    t->end_s = (double)json_integer_or(item, "end_s", 1000000);
    json_object_foreach(json_object_get(item, "mix"), name, value)
    {
        add_operation(t, name, value, e);
    }
    g_ptr_array_add(x->teams, t);
}

/* Returns the number of a signal, or zero for an unknown name. */
static int32_t
signal_number(const char *name)
{
    static const struct {
        const char *name;
        int32_t number;
    } signals[] = {{"KILL", SIGKILL},
                   {"TERM", SIGTERM},
                   {"STOP", SIGSTOP},
                   {"CONT", SIGCONT}};
    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        if (strcmp(signals[i].name, name) == 0) {
            return signals[i].number;
        }
    }
    return 0;
}

/* Adds a fault, with defaults for the fields that the item lacks. */
static void
add_fault(Experiment *x, const json_t *item)
{
    Fault *f = g_new0(Fault, 1);
    f->at_s = (double)json_integer_or(item, "at_s", 0);
    f->kind = g_strdup(json_text_or(item, "kind", ""));
    f->target = g_strdup(json_text_or(item, "target", ""));
    f->database = g_strdup(json_text_or(item, "database", ""));
    f->signal = signal_number(json_text_or(item, "signal", "KILL"));
    f->body = g_strdup(json_text_or(item, "body", "{}"));
    g_ptr_array_add(x->faults, f);
}

/* Loads an experiment from a TOML file.  Reports all errors of the file at
 * once and returns FALSE when there is any.  The caller must call
 * experiment_clear in either case. */
gboolean
experiment_load(const char *path, Experiment *x, GError **error)
{
    char *why = NULL;
    json_t *root = toml_read_file(path, &why);
    const json_t *head = json_object_get(root, "experiment");
    SchemaErrors e;
    size_t i;
    json_t *item;

    *x = (Experiment){.teams = g_ptr_array_new_with_free_func(team_free),
                      .faults = g_ptr_array_new_with_free_func(fault_free)};
    schema_errors_init(&e);
    if (root == NULL) {
        schema_errors_add(&e, path, "%s", why);
        free(why);
        return schema_errors_raise(&e, error);
    }
    schema_check_object(head, experiment_fields,
                        G_N_ELEMENTS(experiment_fields), path, &e);
    x->name = g_strdup(json_text_or(head, "name", ""));
    x->services = g_strsplit(json_text_or(head, "services", ""), ",", -1);
    x->warmup_s = (double)json_integer_or(head, "warmup_s", 3);
    x->duration_s = (double)json_integer_or(head, "duration_s", 10);
    x->seed = (uint32_t)json_integer_or(head, "seed", 1);
    json_array_foreach(json_object_get(root, "team"), i, item)
    {
        schema_check_object(item, team_fields, G_N_ELEMENTS(team_fields), path,
                            &e);
        add_team(x, item, &e);
    }
    json_array_foreach(json_object_get(root, "fault"), i, item)
    {
        schema_check_object(item, fault_fields, G_N_ELEMENTS(fault_fields),
                            path, &e);
        add_fault(x, item);
    }
    json_decref(root);
    return schema_errors_raise(&e, error);
}

/* Frees everything that the experiment owns, but not the experiment itself. */
void
experiment_clear(Experiment *x)
{
    g_ptr_array_unref(x->teams);
    g_ptr_array_unref(x->faults);
    g_free(x->name);
    g_strfreev(x->services);
}
