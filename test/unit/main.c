#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "suite.h"

/* Writes only log messages of error level and discards the others, since tests
 * with faults log many expected warnings. */
static GLogWriterOutput
write_log_errors(GLogLevelFlags level, const GLogField *fields, gsize count,
                 void *data)
{
    (void)fields;
    (void)count;
    (void)data;
    if ((level & G_LOG_LEVEL_ERROR) != 0) {
        return g_log_writer_default(level, fields, count, data);
    }
    return G_LOG_WRITER_HANDLED;
}

/* Runs the tests of one suite, or a single one of them. */
static void
run_selected(const char *suite_name, const char *test_name)
{
    CU_pSuite suite = CU_get_suite(suite_name);
    CU_pTest test = suite == NULL || test_name == NULL
                        ? NULL
                        : CU_get_test(suite, test_name);

    if (test != NULL) {
        CU_basic_run_test(suite, test);
    }
    else if (suite != NULL && test_name == NULL) {
        CU_basic_run_suite(suite);
    }
    else {
        printf("no such test\n");
    }
}

/* unit_tests [SUITE [TEST]]: without arguments, all tests run. */
int
main(int argc, char **argv)
{
    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    g_log_set_writer_func(write_log_errors, NULL, NULL);
#define X(name) add_##name##_suite();
#include "suites.def"
#undef X
    CU_basic_set_mode(CU_BRM_VERBOSE);
    if (argc > 1) {
        run_selected(argv[1], argc > 2 ? argv[2] : NULL);
    }
    else {
        CU_basic_run_tests();
    }
    unsigned failed = CU_get_number_of_failures();
    printf("%u passed, %u failed\n",
           CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
           CU_get_number_of_tests_failed());
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
