#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>

#include "adapter/program.h"
#include "replay.h"

/* sapphireweir-replay: feeds recorded traces of entry instances to the entry
 * core and checks that it takes the same decisions again. */

/* Discards all log lines of the entry core. */
static GLogWriterOutput
drop_log(GLogLevelFlags level, const GLogField *fields, gsize count,
         void *data)
{
    (void)level;
    (void)fields;
    (void)count;
    (void)data;
    return G_LOG_WRITER_HANDLED;
}

int
main(int argc, char **argv)
{
    int failed = 0;

    if (sodium_init() < 0 || argc < 2 || argv[1][0] == '-') {
        fprintf(stderr, "usage: sapphireweir-replay TRACE...\n"
                        "Exit code 1: decisions differ from a trace.\n");
        return kExitUsage;
    }
    g_log_set_writer_func(drop_log, NULL, NULL);
    for (int i = 1; i < argc; i++) {
        ReplayResult r;
        GError *error = NULL;
        if (!replay_file(argv[i], &r, &error)) {
            fprintf(stderr, "%s: %s\n", argv[i], error->message);
            g_error_free(error);
            return kExitUsage;
        }
        printf("%s: %" PRIu64 " events, %" PRIu64 " actions, %" PRIu64
               " answers, %s\n",
               argv[i], r.events, r.actions, r.answers,
               r.first_difference == NULL ? "all as recorded"
                                          : r.first_difference);
        failed += r.differences > 0 ? 1 : 0;
        replay_result_clear(&r);
    }
    return failed == 0 ? kExitOk : kExitFailure;
}
