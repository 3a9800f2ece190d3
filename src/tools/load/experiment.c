#include "experiment.h"

#include <signal.h>
#include <string.h>

#include "adapter/toml.h"
#include "core/schema.h"

/* Longest time limit that the load program may send; it gives up on a
 * response itself after 8 s. */
enum { kMaxTimeoutMs = 7000, kMaxIdleMs = 60000 };

static const Field experiment_fields[] = {
    {"name", kFieldText, TRUE, 0, 0, NULL, "name of the experiment"},
    {"services", kFieldText, TRUE, 0, 0, NULL, "services to call, a,b,c"},
    {"warmup_s", kFieldInteger, FALSE, 0, 600, NULL,
     "load before the measured part"},
    {"duration_s", kFieldInteger, TRUE, 1, 3600, NULL, "measured part"},
    {"seed", kFieldInteger, FALSE, 0, G_MAXUINT32, NULL,
     "seed of the random numbers"},
};

static const Field kind_fields[] = {
    {"name", kFieldText, TRUE, 0, 0, NULL, "name in the teams' mixes"},
    {"statement", kFieldText, TRUE, 0, 0, NULL, "statement that it calls"},
    {"worth", kFieldInteger, FALSE, 0, 1000, NULL,
     "worth that the fleet must give the statement"},
    {"objective_ms", kFieldInteger, FALSE, 1, kMaxTimeoutMs, NULL,
     "latency objective"},
    {"timeout_ms", kFieldInteger, FALSE, 1, kMaxTimeoutMs, NULL,
     "time limit that is sent with the request"},
    {"give_up_percent", kFieldInteger, FALSE, 0, 100, NULL,
     "share of callers that give up early"},
    {"give_up_after_ms", kFieldInteger, FALSE, 1, kMaxTimeoutMs, NULL,
     "when they give up"},
    {"idle_percent", kFieldInteger, FALSE, 0, 100, NULL,
     "share of requests in a transaction that is left idle"},
    {"idle_ms", kFieldInteger, FALSE, 1, kMaxIdleMs, NULL,
     "how long it is left idle"},
};

static const Field wave_fields[] = {
    {"failure_domain", kFieldText, TRUE, 0, 0, NULL, "of the callers"},
    {"amplitude_percent", kFieldInteger, TRUE, 0, 100, NULL,
     "of the average load"},
    {"period_s", kFieldInteger, TRUE, 1, 3600, NULL, "length of a wave"},
    {"phase_degrees", kFieldInteger, FALSE, 0, 359, NULL,
     "phase at the start of the measured part, default 0"},
};

static const Field surge_fields[] = {
    {"team", kFieldText, TRUE, 0, 0, NULL, "team of this file"},
    {"multiple", kFieldInteger, TRUE, 2, 100, NULL, "of its usual load"},
    {"begin_s", kFieldInteger, TRUE, 0, 3600, NULL, "start of the surge"},
    {"end_s", kFieldInteger, TRUE, 1, 3600, NULL, "end of the surge"},
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
    {"mix", kFieldObject, TRUE, 0, 0, NULL, "weight of each kind"},
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
kind_free(void *data)
{
    Kind *k = data;
    g_free(k->name);
    g_free(k->statement);
    g_free(k);
}

static void
team_free(void *data)
{
    TeamLoad *t = data;
    g_free(t->name);
    g_free(t);
}

static void
wave_free(void *data)
{
    Wave *w = data;
    g_free(w->failure_domain);
    g_free(w);
}

static void
surge_free(void *data)
{
    Surge *s = data;
    g_free(s->team);
    g_free(s);
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

/* Returns the index of a kind, or -1. */
static int32_t
kind_index(const Experiment *x, const char *name)
{
    for (guint i = 0; i < x->kinds->len; i++) {
        const Kind *k = g_ptr_array_index(x->kinds, i);
        if (strcmp(k->name, name) == 0) {
            return (int32_t)i;
        }
    }
    return -1;
}

/* Adds a kind that calls a statement.  What the statement does follows from
 * its name in the demo's services: "book" and "issue" write, a name that
 * starts with "find" reads the rows of one write id. */
static Kind *
new_kind(Experiment *x, const char *name, const char *statement)
{
    Kind *k = g_new0(Kind, 1);
    k->name = g_strdup(name);
    k->statement = g_strdup(statement);
    k->write =
        strcmp(statement, "book") == 0 || strcmp(statement, "issue") == 0;
    k->reads_own_write = g_str_has_prefix(statement, "find");
    k->worth = -1;
    g_ptr_array_add(x->kinds, k);
    return k;
}

/* Adds an error for each pair of a share and a time of which only one is set.
 * Neither has an effect without the other. */
static void
check_pair(const json_t *item, const char *share, const char *time,
           const char *where, SchemaErrors *e)
{
    gboolean has_share = json_object_get(item, share) != NULL;
    if (has_share != (json_object_get(item, time) != NULL)) {
        schema_errors_add(e, where, "%s needs %s", has_share ? share : time,
                          has_share ? time : share);
    }
}

/* Adds a kind, with defaults for the fields that the item lacks.  where names
 * the item in errors. */
static Kind *
add_kind(Experiment *x, const json_t *item, const char *where, SchemaErrors *e)
{
    const char *name = json_text_or(item, "name", "");
    if (kind_index(x, name) >= 0) {
        schema_errors_add(e, where, "name \"%s\" is already taken", name);
    }
    Kind *k = new_kind(x, name, json_text_or(item, "statement", ""));
    k->worth = (int32_t)json_integer_or(item, "worth", -1);
    k->objective_ms = (uint32_t)json_integer_or(item, "objective_ms", 0);
    k->timeout_ms = (uint32_t)json_integer_or(item, "timeout_ms", 0);
    k->give_up_percent = (uint32_t)json_integer_or(item, "give_up_percent", 0);
    k->give_up_after_ms =
        (uint32_t)json_integer_or(item, "give_up_after_ms", 0);
    k->idle_percent = (uint32_t)json_integer_or(item, "idle_percent", 0);
    k->idle_ms = (uint32_t)json_integer_or(item, "idle_ms", 0);
    return k;
}

/* Adds an error for each pair of fields that contradict each other. */
static void
check_kind(const Kind *k, const json_t *item, const char *where,
           SchemaErrors *e)
{
    check_pair(item, "give_up_percent", "give_up_after_ms", where, e);
    check_pair(item, "idle_percent", "idle_ms", where, e);
    if (k->timeout_ms != 0 && k->objective_ms > k->timeout_ms) {
        schema_errors_add(e, where,
                          "objective_ms %u must not be above timeout_ms %u",
                          k->objective_ms, k->timeout_ms);
    }
    if (k->timeout_ms != 0 && k->give_up_after_ms >= k->timeout_ms) {
        schema_errors_add(e, where,
                          "give_up_after_ms %u must be below timeout_ms %u",
                          k->give_up_after_ms, k->timeout_ms);
    }
    if (k->give_up_percent + k->idle_percent > 100) {
        schema_errors_add(e, where,
                          "give_up_percent and idle_percent are together %u, "
                          "at most 100 is possible",
                          k->give_up_percent + k->idle_percent);
    }
}

/* Adds one kind of a team's mix with its weight.  In a file without kinds, the
 * mix names statements, which become kinds of their own. */
static void
add_to_mix(Experiment *x, TeamLoad *t, const char *name, const json_t *value,
           gboolean file_has_kinds, const char *where, SchemaErrors *e)
{
    int32_t kind = kind_index(x, name);
    if (kind < 0 && file_has_kinds) {
        schema_errors_add(e, where, "mix.%s is no kind of this file", name);
        return;
    }
    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        schema_errors_add(e, where, "mix.%s must be a whole weight, 0 or more",
                          name);
        return;
    }
    if (t->mix_count >= kMaxMix) {
        schema_errors_add(e, where, "mix has more than %d kinds", kMaxMix);
        return;
    }
    if (kind < 0) {
        new_kind(x, name, name);
        kind = (int32_t)x->kinds->len - 1;
    }
    t->mix[t->mix_count++] =
        (KindWeight){(uint32_t)kind, (double)json_integer_value(value)};
}

/* Adds the load of one team, with defaults for the fields that the item
 * lacks. */
static void
add_team(Experiment *x, const json_t *item, gboolean file_has_kinds,
         const char *where, SchemaErrors *e)
{
    const char *name;
    json_t *value;
    double weights = 0;
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
        add_to_mix(x, t, name, value, file_has_kinds, where, e);
    }
    for (uint32_t i = 0; i < t->mix_count; i++) {
        weights += t->mix[i].weight;
    }
    if (weights <= 0) {
        schema_errors_add(e, where, "mix must have a weight above 0");
    }
    if (t->end_s <= t->begin_s) {
        schema_errors_add(e, where, "end_s must be after begin_s");
    }
    g_ptr_array_add(x->teams, t);
}

/* Adds the wave of a failure domain. */
static void
add_wave(Experiment *x, const json_t *item, const char *where, SchemaErrors *e)
{
    Wave *w = g_new0(Wave, 1);
    w->failure_domain = g_strdup(json_text_or(item, "failure_domain", ""));
    w->amplitude = (double)json_integer_or(item, "amplitude_percent", 0) / 100;
    w->period_s = (double)json_integer_or(item, "period_s", 1);
    w->phase = (double)json_integer_or(item, "phase_degrees", 0) / 360;
    for (guint i = 0; i < x->waves->len; i++) {
        const Wave *other = g_ptr_array_index(x->waves, i);
        if (strcmp(other->failure_domain, w->failure_domain) == 0) {
            schema_errors_add(e, where,
                              "failure_domain \"%s\" already has a wave",
                              w->failure_domain);
        }
    }
    g_ptr_array_add(x->waves, w);
}

/* Adds a surge; the teams must have been added before. */
static void
add_surge(Experiment *x, const json_t *item, const char *where,
          SchemaErrors *e)
{
    gboolean found = FALSE;
    Surge *s = g_new0(Surge, 1);

    s->team = g_strdup(json_text_or(item, "team", ""));
    s->multiple = (double)json_integer_or(item, "multiple", 1);
    s->begin_s = (double)json_integer_or(item, "begin_s", 0);
    s->end_s = (double)json_integer_or(item, "end_s", 0);
    for (guint i = 0; i < x->teams->len; i++) {
        const TeamLoad *t = g_ptr_array_index(x->teams, i);
        found = found || strcmp(t->name, s->team) == 0;
    }
    if (!found) {
        schema_errors_add(e, where, "team \"%s\" is no team of this file",
                          s->team);
    }
    if (s->end_s <= s->begin_s) {
        schema_errors_add(e, where, "end_s must be after begin_s");
    }
    g_ptr_array_add(x->surges, s);
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

/* Calls add for each table of a list, after the check of its fields.  A list
 * that is absent is empty. */
static void
read_list(const json_t *root, const char *list, const Field *fields,
          size_t count, const char *path, SchemaErrors *e, Experiment *x)
{
    const json_t *items = json_object_get(root, list);
    gboolean file_has_kinds = json_object_get(root, "kind") != NULL;
    size_t i;
    json_t *item;

    if (items != NULL && !json_is_array(items)) {
        schema_errors_add(e, path, "%s must be a list of tables", list);
        return;
    }
    json_array_foreach((json_t *)items, i, item)
    {
        char *where = g_strdup_printf("%s: %s[%zu]", path, list, i);
        uint32_t errors = e->count;
        schema_check_object(item, fields, count, where, e);
        if (fields == kind_fields) {
            Kind *k = add_kind(x, item, where, e);
            if (e->count == errors) {
                check_kind(k, item, where, e);
            }
        }
        else if (fields == team_fields) {
            add_team(x, item, file_has_kinds, where, e);
        }
        else if (fields == wave_fields) {
            add_wave(x, item, where, e);
        }
        else if (fields == surge_fields) {
            add_surge(x, item, where, e);
        }
        else {
            add_fault(x, item);
        }
        g_free(where);
    }
}

/* Adds an error for each table of the file that no experiment has. */
static void
check_tables(const json_t *root, const char *path, SchemaErrors *e)
{
    static const char *const known[] = {"experiment", "kind",  "team", "wave",
                                        "surge",      "fault", NULL};
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)root, name, value)
    {
        if (!g_strv_contains(known, name)) {
            schema_errors_add(e, path, "%s is not known here", name);
        }
    }
}

/* Loads an experiment from a TOML file.  Reports all errors of the file at
 * once, each with the path of its table, and returns FALSE when there is any.
 * The caller must call experiment_clear in either case. */
gboolean
experiment_load(const char *path, Experiment *x, GError **error)
{
    char *why = NULL;
    json_t *root = toml_read_file(path, &why);
    const json_t *head = json_object_get(root, "experiment");
    SchemaErrors e;

    *x = (Experiment){.kinds = g_ptr_array_new_with_free_func(kind_free),
                      .teams = g_ptr_array_new_with_free_func(team_free),
                      .waves = g_ptr_array_new_with_free_func(wave_free),
                      .surges = g_ptr_array_new_with_free_func(surge_free),
                      .faults = g_ptr_array_new_with_free_func(fault_free)};
    schema_errors_init(&e);
    if (root == NULL) {
        schema_errors_add(&e, path, "%s", why);
        free(why);
        return schema_errors_raise(&e, error);
    }
    char *where = g_strdup_printf("%s: experiment", path);
    schema_check_object(head, experiment_fields,
                        G_N_ELEMENTS(experiment_fields), where, &e);
    g_free(where);
    check_tables(root, path, &e);
    x->name = g_strdup(json_text_or(head, "name", ""));
    x->services = g_strsplit(json_text_or(head, "services", ""), ",", -1);
    x->warmup_s = (double)json_integer_or(head, "warmup_s", 3);
    x->duration_s = (double)json_integer_or(head, "duration_s", 10);
    x->seed = (uint32_t)json_integer_or(head, "seed", 1);
    read_list(root, "kind", kind_fields, G_N_ELEMENTS(kind_fields), path, &e,
              x);
    read_list(root, "team", team_fields, G_N_ELEMENTS(team_fields), path, &e,
              x);
    read_list(root, "wave", wave_fields, G_N_ELEMENTS(wave_fields), path, &e,
              x);
    read_list(root, "surge", surge_fields, G_N_ELEMENTS(surge_fields), path,
              &e, x);
    read_list(root, "fault", fault_fields, G_N_ELEMENTS(fault_fields), path,
              &e, x);
    if (x->services[0] == NULL) {
        schema_errors_add(&e, path, "experiment.services names no service");
    }
    json_decref(root);
    return schema_errors_raise(&e, error);
}

/* Frees everything that the experiment owns, but not the experiment itself. */
void
experiment_clear(Experiment *x)
{
    g_ptr_array_unref(x->kinds);
    g_ptr_array_unref(x->teams);
    g_ptr_array_unref(x->waves);
    g_ptr_array_unref(x->surges);
    g_ptr_array_unref(x->faults);
    g_free(x->name);
    g_strfreev(x->services);
}
