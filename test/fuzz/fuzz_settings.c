#include <stdio.h>
#include <unistd.h>

#include "adapter/settings.h"
#include "fuzz.h"

/* Fuzzes the settings parser with the schemas of both programs, entry and
 * control. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static char path[64];
    Settings s;

    g_snprintf(path, sizeof(path), "/tmp/sapphireweir-fuzz-%d.toml",
               (int)getpid());
    g_file_set_contents(path, (const char *)data, (gssize)size, NULL);
    for (int program = 0; program < 2; program++) {
        GError *error = NULL;
        if (settings_load(path, (SettingsProgram)program, &s, &error)) {
            settings_clear(&s);
        }
        g_clear_error(&error);
    }
    unlink(path);
    return 0;
}
