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

int
main(void)
{
    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {
        return 1;
    }
    g_log_set_writer_func(write_log_errors, NULL, NULL);
#define X(name) add_##name##_suite();
#include "suites.def"
#undef X
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    printf("%u passed, %u failed\n",
           CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
           CU_get_number_of_tests_failed());
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
