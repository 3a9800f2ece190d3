#include "../support/control_fleet.h"
#include "core/state.h"
#include "suite.h"

/* Changes that leave a team with a burst that never holds one token. */

#define TEMPLATE(defaults)                                                    \
    "{\"key\":\"template/t\",\"spec\":{\"for\":\"team\",\"defaults\":"        \
    "{" defaults "}}}"
#define TEAM(name, parameters)                                                \
    "{\"key\":\"team/" name "\",\"spec\":{\"template\":\"t\","                \
    "\"parameters\":{" parameters "}}}"
#define FLEET                                                                 \
    "{\"key\":\"fleet/main\",\"spec\":{\"failure_domains\":[\"a\",\"b\"]}}"

/* Guards against a team that is accepted although none of its requests can
 * ever be served, and against a check that rejects repeats of operations which
 * an older version applied, or changes that don't concern such a team. */
static void
a_burst_without_a_token_is_rejected(void)
{
    static const struct {
        const char *operation;
        const char *changes;
        uint32_t status;
    } cases[] = {
        {"a", "[" TEMPLATE("") "]", 200},
        {"b", "[" TEAM("x", "\"rate\":10,\"burst\":1") "]", 422},
        {"c", "[" TEAM("x", "\"rate\":10,\"burst\":2") "]", 200},
        {"d", "[" TEAM("y", "\"rate\":5000,\"burst\":10") "]", 422},
        {"e", "[" TEAM("y", "\"rate\":5000,\"burst\":11") "]", 200},
        /* A second failure domain needs a larger burst of the team y. */
        {"f", "[" FLEET "]", 422},
        {"g", "[" FLEET "," TEAM("y", "\"rate\":5000,\"burst\":13") "]", 200},
        /* The template decides for a team without own parameters. */
        {"h", "[" TEAM("z", "") "]", 200},
        {"i", "[" TEMPLATE("\"burst\":1") "]", 422},
        {"j", "[" TEMPLATE("\"burst\":1") ",{\"key\":\"team/z\"}]", 200},
        {"k", "[" TEAM("z", "") "]", 422},
        {"l", "[" TEAM("z", "\"burst\":20") "]", 200},
        /* Invalid values have the errors that they had. */
        {"m", "[" TEAM("z", "\"burst\":0") "]", 422},
        {"n", "[" TEAM("z", "\"rate\":\"many\"") "]", 422},
        {"c", "[" TEAM("x", "\"rate\":10,\"burst\":1") "]", 200},
    };
    ControlFleet *f = control_fleet_new(1, 3);

    control_fleet_start(f, 0, TRUE);
    control_fleet_run(f, 1000000);
    for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        control_fleet_admin(f, 0, i + 1, "apply", cases[i].operation,
                            cases[i].changes);
        control_fleet_run(f, 100000);
        uint32_t status = control_fleet_status(f, i + 1);
        if (status != cases[i].status) {
            g_print("\n    case %u: status %u\n", i, status);
        }
        CU_ASSERT_EQUAL(status, cases[i].status);
    }
    control_fleet_free(f);
}

void
add_team_check_suite(void)
{
    CU_pSuite s = CU_add_suite("team check", NULL, NULL);
    CU_add_test(s, "a burst without a token is rejected",
                a_burst_without_a_token_is_rejected);
}
