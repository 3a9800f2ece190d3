#include <CUnit/Basic.h>
#include <string.h>
#include <sys/wait.h>

#include "edges.h"

/* The programs' checks of a configuration before it is sent. */

/* Runs a shell command in the source folder, in which the programs are found
 * by their names.  Returns its exit code; the caller frees the output. */
static int
run(const char *command, char **output)
{
    char *text =
        g_strdup_printf("PATH=%s:$PATH; %s", SAPPHIREWEIR_BUILD, command);
    char *argv[] = {(char *)"/bin/sh", (char *)"-c", text, NULL};
    int status = -1;

    g_spawn_sync(SAPPHIREWEIR_SOURCE, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL,
                 NULL, NULL, output, NULL, &status, NULL);
    g_free(text);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Replaces the placeholders of a page in a command. */
static char *
command_for(const Fleet *f, const char *line)
{
    GString *command = g_string_new(line);
    char *token = g_build_filename(f->dir, "operator.token", NULL);

    g_string_replace(command, "IP:PORT", fleet_entry_address(f, 0), 0);
    g_string_replace(command, "operator.token", token, 0);
    g_free(token);
    return g_string_free(command, FALSE);
}

/* Each command of docs/OPERATIONS.md ends with the exit code that the page
 * gives, so that the page does not become outdated. */
void
commands_of_the_operations_page_work(const Fleet *f)
{
    static const char mark[] = "# exit code ";
    char *page = NULL;
    guint count = 0;

    CU_ASSERT_FATAL(g_file_get_contents(
        SAPPHIREWEIR_SOURCE "/docs/OPERATIONS.md", &page, NULL, NULL));
    char **blocks = g_strsplit(page, "```", -1);
    for (guint i = 1; blocks[i] != NULL; i += 2) {
        char **lines = g_strsplit(blocks[i], "\n", -1);
        gboolean shell = strcmp(lines[0], "sh") == 0;
        for (guint k = 1; shell && lines[k] != NULL; k++) {
            const char *code = strstr(lines[k], mark);
            char *output = NULL;
            if (lines[k][0] == '\0') {
                continue;
            }
            char *command = command_for(f, lines[k]);
            int got = run(command, &output);
            int expected = code == NULL ? 0 : atoi(code + strlen(mark));
            if (got != expected) {
                printf("\n    %s: exit code %d\n%s", command, got, output);
            }
            CU_ASSERT_EQUAL(got, expected);
            count++;
            g_free(output);
            g_free(command);
        }
        g_strfreev(lines);
    }
    CU_ASSERT(count >= 6);
    g_strfreev(blocks);
    g_free(page);
}

/* Guards against a check that reports unreadable input as clean or as
 * findings, or that starts a control instance. */
void
checks_end_with_their_exit_codes(const Fleet *f)
{
    static const struct {
        const char *command;
        int code;
        const char *output; /* part of it */
    } cases[] = {
        {"sapphireweirctl check no-such-file.toml", 2, ""},
        {"sapphireweirctl check README.md", 2, ""},
        {"sapphireweirctl check", 2, ""},
        {"sapphireweirctl check examples/demo/fleet.toml --against none", 2,
         ""},
        {"sapphireweirctl check examples/demo/fleet.toml "
         "--against examples/platform/document.json",
         2, ""},
        {"sapphireweirctl check examples/demo/fleet.toml --lag-ms=-1", 2, ""},
        {"sapphireweirctl check examples/demo/fleet.toml --service-ms x", 2,
         ""},
        {"sapphireweirctl check examples/demo/fleet.toml --entry "
         "http://127.0.0.1:1 --token-file operator.token",
         2, ""},
        {"sapphireweirctl check examples/demo/fleet.toml --entry "
         "http://127.0.0.1:1 --against examples/demo/fleet.toml",
         2, ""},
        {"sapphireweirctl check examples/demo/fleet.toml --service-ms 50", 1,
         "warning team/parish.rate: 2000"},
        {"sapphireweirctl check examples/vanua/fleet.toml "
         "--against examples/etnaforte/fleet.toml",
         1, "add    team/parishes"},
        {"sapphireweirctl check examples/demo/fleet.toml --entry "
         "http://IP:PORT --token-file operator.token",
         1, "warning team/council: has no valid key"},
        {"sapphireweirctl --entry http://IP:PORT --token-file operator.token "
         "--json get >$DIR/state.json; sapphireweirctl check "
         "examples/demo/fleet.toml --against $DIR/state.json --json",
         1, "\"path\": \"team/council\""},
        {"sapphireweir-platform-control --check no-such-file.json", 2, ""},
        {"sapphireweir-platform-control --check README.md", 2, ""},
        {"sapphireweir-platform-control --check", 2, ""},
        {"sapphireweir-platform-control --check "
         "examples/platform/document.json --no-such-option",
         2, ""},
        {"sapphireweir-platform-control --check "
         "examples/platform/document.json --against README.md",
         2, ""},
        {"sapphireweir-platform-control --check "
         "examples/platform/document.json --service-ms 2000",
         1, "error   routes[0].timeout-ms: 1200 ms"},
        {"sed s/rounds-find/other/g examples/platform/document.json "
         ">$DIR/old.json; sapphireweir-platform-control --check "
         "examples/platform/document.json --against $DIR/old.json",
         0, "add    routes/rounds-find/\nremove routes/other/\n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *output = NULL;
        char *command = command_for(f, cases[i].command);
        char *text = g_strdup_printf("DIR=%s; %s", f->dir, command);
        int code = run(text, &output);
        gboolean ok =
            code == cases[i].code && strstr(output, cases[i].output) != NULL;
        if (!ok) {
            printf("\n    %s: exit code %d\n%s", command, code, output);
        }
        CU_ASSERT(ok);
        g_free(output);
        g_free(text);
        g_free(command);
    }
}
