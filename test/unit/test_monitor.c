#include "core/pool_defs.h"
#include "suite.h"

static void
log_positions_are_parsed_in_postgresql_format(void)
{
    static const struct {
        const char *text;
        gboolean valid;
        uint64_t position;
    } cases[] = {
        {"0/0", TRUE, 0},
        {"16/B374D848", TRUE, 0x16B374D848},
        {"FFFFFFFF/FFFFFFFF", TRUE, UINT64_MAX},
        {"", FALSE, 0},
        {"/", FALSE, 0},
        {"1/", FALSE, 0},
        {"/1", FALSE, 0},
        {"1/G", FALSE, 0},
        {"1/2x", FALSE, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t position = 0;
        CU_ASSERT_EQUAL(log_position_parse(cases[i].text, &position),
                        cases[i].valid);
        CU_ASSERT_EQUAL(position, cases[i].position);
    }
}

void
add_monitor_suite(void)
{
    CU_pSuite s = CU_add_suite("monitor", NULL, NULL);
    CU_add_test(s, "log positions are parsed in PostgreSQL format",
                log_positions_are_parsed_in_postgresql_format);
}
