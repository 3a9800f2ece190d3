#include <string.h>

#include "core/schema.h"
#include "core/state.h"
#include "suite.h"

/* Applies a command given as JSON; the caller frees the outcome's body. */
static StateOutcome
apply_text(State *s, uint64_t index, const char *text)
{
    json_t *command = json_loads(text, 0, NULL);
    StateOutcome o = state_apply(s, index, command);
    json_decref(command);
    return o;
}

/* Applies a command and returns the status of its outcome. */
static uint32_t
status_of(State *s, uint64_t index, const char *text)
{
    StateOutcome o = apply_text(s, index, text);
    json_decref(o.body);
    return o.status;
}

/* A command with the operation id op that writes template/t if the version of
 * the stored template is match; match 0: if there is none. */
#define TEMPLATE(op, match)                                                   \
    "{\"operation\":\"" op "\",\"actor\":\"x\",\"changes\":[{\"key\":"        \
    "\"template/t\",\"if_match\":" match ",\"spec\":{\"for\":\"team\"}}]}"

static void
versions_resolve_races_and_resends_repeat_the_answer(void)
{
    static const struct {
        const char *command;
        uint32_t status;
    } cases[] = {
        {TEMPLATE("a", "0"), 200},
        {TEMPLATE("a", "0"), 200}, /* a resend gets the first answer */
        {TEMPLATE("b", "0"), 409}, /* operation a came first */
        {TEMPLATE("b", "0"), 409},
        {TEMPLATE("c", "1"), 200},
        {TEMPLATE("d", "1"), 409},
        {"{\"operation\":\"e\",\"changes\":[{\"key\":\"team/x\",\"spec\":"
         "{\"template\":\"t\"}},{\"key\":\"team/y\",\"spec\":{\"template\":"
         "\"none\"}}]}",
         422}, /* one invalid change: none is applied */
        {"{\"operation\":\"f\",\"changes\":[{\"key\":\"team/x\",\"spec\":"
         "{\"template\":\"t\"}}]}",
         200},
        {"{\"operation\":\"g\",\"changes\":[{\"key\":\"template/t\",\"spec\":"
         "null}]}",
         422}, /* team/x uses it */
        {"{\"operation\":\"h\",\"changes\":[{\"key\":\"team/none\",\"spec\":"
         "null}]}",
         404},
    };
    State *s = state_new("c");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(status_of(s, i + 1, cases[i].command),
                        cases[i].status);
    }
    CU_ASSERT_EQUAL(state_lookup(s, "template/t")->version, 5);
    CU_ASSERT_EQUAL(state_lookup(s, "team/x")->version, 8);
    CU_ASSERT_PTR_NULL(state_lookup(s, "team/y"));
    CU_ASSERT_EQUAL(g_queue_get_length((GQueue *)state_audit(s)), 3);
    state_free(s);
}

static void
a_conflict_shows_the_current_version(void)
{
    State *s = state_new("c");
    status_of(s, 1, TEMPLATE("a", "0"));
    StateOutcome o = apply_text(s, 2, TEMPLATE("b", "7"));
    CU_ASSERT_EQUAL(json_integer_or(o.body, "current_version", 0), 1);
    json_decref(o.body);
    state_free(s);
}

static void
a_dump_restores_the_state(void)
{
    State *s = state_new("c");
    State *restored = state_new("c");
    State *other_cluster = state_new("other");
    status_of(s, 1, TEMPLATE("a", "0"));
    status_of(s, 2, TEMPLATE("b", "1"));
    char *text = state_dump(s);
    CU_ASSERT(state_load(restored, text, strlen(text), NULL));
    CU_ASSERT(!state_load(other_cluster, text, strlen(text), NULL));
    CU_ASSERT(!state_load(restored, "nonsense", 8, NULL));
    char *restored_text = state_dump(restored);
    CU_ASSERT_STRING_EQUAL(text, restored_text);
    /* The dump contains operation ids: a resend gets the first answer. */
    CU_ASSERT_EQUAL(status_of(restored, 3, TEMPLATE("a", "0")), 200);
    CU_ASSERT_EQUAL(state_lookup(restored, "template/t")->version, 2);
    free(text);
    free(restored_text);
    state_free(s);
    state_free(restored);
    state_free(other_cluster);
}

static void
changes_since_an_index(void)
{
    State *s = state_new("c");
    GPtrArray *changes = g_ptr_array_new();
    status_of(s, 1, TEMPLATE("a", "0"));
    status_of(s, 2, TEMPLATE("b", "1"));
    CU_ASSERT(state_changes_since(s, 1, changes));
    CU_ASSERT_EQUAL(changes->len, 1);
    g_ptr_array_set_size(changes, 0);
    CU_ASSERT(state_changes_since(s, 0, changes));
    CU_ASSERT_EQUAL(changes->len, 2);
    g_ptr_array_unref(changes);
    state_free(s);
}

void
add_state_suite(void)
{
    CU_pSuite s = CU_add_suite("state", NULL, NULL);
    CU_add_test(s, "versions resolve races and resends repeat the answer",
                versions_resolve_races_and_resends_repeat_the_answer);
    CU_add_test(s, "a conflict shows the current version",
                a_conflict_shows_the_current_version);
    CU_add_test(s, "a dump restores the state", a_dump_restores_the_state);
    CU_add_test(s, "changes since an index", changes_since_an_index);
}
