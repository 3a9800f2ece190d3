#ifndef SAPPHIREWEIR_ADAPTER_PROGRAM_H
#define SAPPHIREWEIR_ADAPTER_PROGRAM_H

#include <glib.h>
#include <stdint.h>

#include "adapter/settings.h"

#define SAPPHIREWEIR_VERSION "0.1.0"

/* Exit codes of all programs. */
typedef enum {
    kExitOk = 0,
    kExitFailure = 1,  /* it did not work */
    kExitUsage = 2,    /* command line or settings are wrong */
    kExitConflict = 3, /* a change lost against another */
    kExitStorage = 4,  /* the data folder cannot be used */
} ExitCode;

/* The command line that all servers share. */
typedef struct {
    char *settings_path;
    gboolean check;
    gboolean reference;
    gboolean bootstrap; /* control only */
    char *trace_path;   /* entry only */
} ProgramOptions;

gboolean program_begin(int *argc, char ***argv, const char *name,
                       const char *summary, SettingsProgram program,
                       ProgramOptions *options, Settings *settings,
                       ExitCode *code);
uint64_t program_random(void *ctx);

#endif
