#include "adapter/program.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "adapter/log.h"
#include "core/error.h"

/* Parses the command line of a server program.  --help and --version exit the
 * process.  Fails with a message for the user. */
static gboolean
parse_options(int *argc, char ***argv, const char *summary,
              gboolean is_control, ProgramOptions *out, GError **error)
{
    gboolean version = FALSE;
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &out->settings_path,
         "TOML file with the settings", "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &out->check,
         "Check the settings and exit", NULL},
        {"settings-reference", 0, 0, G_OPTION_ARG_NONE, &out->reference,
         "Print the reference of all settings and exit", NULL},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &version,
         "Print the version and exit", NULL},
        {"bootstrap", 0, 0, G_OPTION_ARG_NONE, &out->bootstrap,
         "Create a new data folder as one of the initial voters", NULL},
        {"trace", 0, 0, G_OPTION_ARG_FILENAME, &out->trace_path,
         "Record events and decisions; the file holds callers' keys", "FILE"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);

    /* --bootstrap is for control instances, --trace for entry instances. */
    entries[4] = is_control ? entries[4] : entries[5];
    entries[5] = entries[6];
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    gboolean ok = g_option_context_parse(context, argc, argv, error);
    g_option_context_free(context);
    if (ok && version) {
        printf("%s %s\n", g_get_prgname(), SAPPHIREWEIR_VERSION);
        exit(kExitOk);
    }
    if (ok && out->settings_path == NULL && !out->reference) {
        g_set_error_literal(error, CORE_ERROR, kCoreErrorInvalid,
                            "--settings FILE is required; see --help");
        return FALSE;
    }
    return ok;
}

/* Prints the settings reference to standard output. */
static void
print_reference(SettingsProgram program)
{
    GString *text = g_string_new(NULL);
    settings_write_reference(program, text);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
}

/* Starts a server program: initializes libsodium, parses the command line,
 * loads the settings and opens the log.  Returns FALSE if the process has to
 * exit with code; any error was then printed to stderr.  On TRUE the caller
 * frees the settings with settings_clear. */
gboolean
program_begin(int *argc, char ***argv, const char *name, const char *summary,
              SettingsProgram program, ProgramOptions *options,
              Settings *settings, ExitCode *code)
{
    GError *error = NULL;

    *code = kExitUsage;
    if (sodium_init() < 0) {
        fprintf(stderr, "cannot initialize libsodium\n");
        return FALSE;
    }
    if (!parse_options(argc, argv, summary, program == kSettingsControl,
                       options, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return FALSE;
    }
    if (options->reference) {
        print_reference(program);
        *code = kExitOk;
        return FALSE;
    }
    if (!settings_load(options->settings_path, program, settings, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return FALSE;
    }
    *code = kExitOk;
    if (options->check) {
        printf("%s: fine\n", options->settings_path);
        settings_clear(settings);
        return FALSE;
    }
    log_start(name, settings->id, settings->log_json, settings->log_debug);
    return TRUE;
}

/* Returns a random number of 64 bits.  The signature is that of the random
 * callback in EntryPort and ControlPort; ctx is not used. */
uint64_t
program_random(void *ctx)
{
    uint64_t value;
    (void)ctx;
    randombytes_buf(&value, sizeof(value));
    return value;
}
