#ifndef SAPPHIREWEIR_ADAPTER_PROGRAM_H
#define SAPPHIREWEIR_ADAPTER_PROGRAM_H

#include <glib.h>
#include <stdint.h>

#include "adapter/settings.h"

#define SAPPHIREWEIR_VERSION "0.1.0"

/* Exit codes of all programs. */
typedef enum {
    kExitOk = 0,
    kExitFailure = 1,  /* startup, the command or a request failed */
    kExitUsage = 2,    /* invalid command line, settings or input */
    kExitConflict = 3, /* a change conflicts with a newer version */
    kExitStorage = 4,  /* the data folder cannot be opened or written */
} ExitCode;

/* The command line options of the server programs.  The caller frees the
 * paths. */
typedef struct {
    char *settings_path;
    gboolean check;     /* only check the settings */
    gboolean reference; /* only print the settings reference */
    gboolean bootstrap; /* control instance only */
    char *trace_path;   /* entry instance only */
} ProgramOptions;

gboolean program_begin(int *argc, char ***argv, const char *name,
                       const char *summary, SettingsProgram program,
                       ProgramOptions *options, Settings *settings,
                       ExitCode *code);
uint64_t program_random(void *ctx);

#endif
