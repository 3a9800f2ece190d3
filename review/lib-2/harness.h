/* Common parts of the cases of this review.  Includes the project's own
 * emulator of the platform as source, so that a case can reach its internals.
 * The programs are those that the deploy file builds into target/. */

#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#define SAPPHIREWEIR_PLATFORM_BUILD "target"

#include "emulator.c" /* target/review, see build-2.sh */

#include <stdarg.h>

/* Called for each QUERY line that reaches a member, if it is set; returns
 * FALSE when the client was freed. */
static gboolean (*statement_hook)(Client *c, char *line);

static gboolean
receive_statement(Client *c, char *line)
{
    return statement_hook == NULL ? emulator_receive(c, line)
                                  : statement_hook(c, line);
}

static FILE *record_file;
static gint64 record_start_us;
static gboolean trouble = TRUE;

/* Called for each committed write, if it is set; appends it to the members'
 * logs. */
static void (*append_hook)(Emulator *e, const char *datum);

static void
log_append(Emulator *e, const char *datum)
{
    (append_hook == NULL ? emulator_log_append : append_hook)(e, datum);
}

/* Appends a line with the time in milliseconds to record.txt. */
static void __attribute__((format(printf, 1, 2)))
record(const char *format, ...)
{
    va_list args;

    fprintf(record_file, "%9.1f ms  ",
            (double)(g_get_monotonic_time() - record_start_us) / 1000);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
}

/* Runs the event loop for all of duration_ms; emulator_run_for returns early
 * when a caller's connection receives data. */
static void
run_whole(Emulator *e, uint32_t duration_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;

    while (g_get_monotonic_time() < end_us) {
        emulator_run_for(
            e, (uint32_t)((end_us - g_get_monotonic_time()) / 1000 + 1));
    }
}

/* Opens record.txt and starts the programs with their files in a temporary
 * folder.  Arguments: folder of the case, temporary folder. */
static Emulator *
case_start(char **argv)
{
    char *path = g_build_filename(argv[1], "record.txt", NULL);

    record_file = fopen(path, "w");
    g_free(path);
    if (record_file == NULL) {
        exit(2);
    }
    record_start_us = g_get_monotonic_time();
    trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    record("%s", trouble ? "with the disruption" : "without the disruption");
    return emulator_start(argv[2]);
}

/* Ends all programs and returns the exit code of the case. */
static int
case_end(Emulator *e, int code)
{
    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        pid_t pid = emulator_program_pid(e, i);
        if (pid > 0) {
            kill(pid, SIGCONT);
        }
    }
    emulator_free(e);
    record("exit %d: %s", code,
           code == 0   ? "the rule held"
           : code == 1 ? "the rule was broken"
                       : "the case could not run");
    fclose(record_file);
    return code;
}

/* Sends a statement and records it with its answer on one line. */
static const char *
request(EmulatorCaller *c, const char *text)
{
    const char *answer = caller_request(c, text);
    char *line = g_strdup(answer);

    g_strdelimit(line, "\n", '|');
    record("caller: %s -> %.200s%s", text, line,
           caller_is_closed(c) ? " (closed)" : "");
    g_free(line);
    return answer;
}

/* Connects a caller to the service of the emulator; reconnects until READY. */
static EmulatorCaller *
connect_until_ready(Emulator *e, uint32_t entry, uint32_t max_wait_ms)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)max_wait_ms * 1000;

    while (g_get_monotonic_time() < end_us) {
        EmulatorCaller *c = caller_connect(e, entry);
        if (g_str_has_prefix(caller_request(c, "STARTUP shop key-1"),
                             "READY I")) {
            return c;
        }
        caller_close(c);
        run_whole(e, 50);
    }
    return NULL;
}

/* Writes a datum until it is answered with success; a new id for each
 * attempt.  Returns FALSE after max_wait_ms. */
static gboolean
write_until_done(Emulator *e, uint32_t entry, const char *datum,
                 uint32_t max_wait_ms)
{
    static uint32_t number;
    gint64 end_us = g_get_monotonic_time() + (gint64)max_wait_ms * 1000;

    while (g_get_monotonic_time() < end_us) {
        EmulatorCaller *c = connect_until_ready(e, entry, 2000);
        if (c == NULL) {
            continue;
        }
        char *text =
            g_strdup_printf("QUERY w%u WRITE 1a4 %s", ++number, datum);
        gboolean done = strstr(request(c, text), "COMPLETE 7.proof") != NULL;
        g_free(text);
        caller_close(c);
        if (done) {
            return TRUE;
        }
        run_whole(e, 100);
    }
    return FALSE;
}

/* Returns the index of the control instance whose log has a text, or -1. */
static int
control_that_logged(const Emulator *e, const char *text)
{
    for (int i = 0; i < kEmulatorControls; i++) {
        char *path = g_strdup_printf("%s/control-%d.json.log", e->folder, i);
        char *log = NULL;
        gboolean found = g_file_get_contents(path, &log, NULL, NULL) &&
                         strstr(log, text) != NULL;
        g_free(log);
        g_free(path);
        if (found) {
            return i;
        }
    }
    return -1;
}

#endif
