#include <string.h>

#include "adapter/settings.h"
#include "suite.h"

/* Checks the documentation: links lead to existing files, the make targets
 * that it names exist, and the settings reference is complete. */

/* Checks one page; path is that of its file, text its contents. */
typedef void (*PageCheck)(const char *path, const char *text);

/* Runs the check on each Markdown file directly in the folder, which is
 * relative to the root of the source. */
static void
for_each_page_in(const char *folder, PageCheck check)
{
    char *full = g_build_filename(SAPPHIREWEIR_SOURCE, folder, NULL);
    GDir *dir = g_dir_open(full, 0, NULL);
    const char *name;

    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(full, name, NULL);
        char *text = NULL;
        if (g_str_has_suffix(name, ".md") &&
            g_file_get_contents(path, &text, NULL, NULL)) {
            check(path, text);
        }
        g_free(text);
        g_free(path);
    }
    g_dir_close(dir);
    g_free(full);
}

/* Runs the check on all pages of the documentation. */
static void
for_each_page(PageCheck check)
{
    static const char *const folders[] = {".", "docs", "docs/design",
                                          "docs/operators"};
    for (size_t i = 0; i < G_N_ELEMENTS(folders); i++) {
        for_each_page_in(folders[i], check);
    }
}

/* Checks that each relative link of the page leads to an existing file. */
static void
check_links(const char *path, const char *text)
{
    char *folder = g_path_get_dirname(path);
    for (const char *at = strstr(text, "]("); at != NULL;
         at = strstr(at + 2, "](")) {
        char *target = g_strndup(at + 2, strcspn(at + 2, ")#"));
        char *full = g_build_filename(folder, target, NULL);
        gboolean exists = strstr(target, "://") != NULL || target[0] == '\0' ||
                          g_file_test(full, G_FILE_TEST_EXISTS);
        if (!exists) {
            printf("\n    %s: no %s\n", path, target);
        }
        CU_ASSERT(exists);
        g_free(full);
        g_free(target);
    }
    g_free(folder);
}

/* Contents of the Makefile.  A global, since a PageCheck gets no context
 * argument. */
static char *makefile_text;

/* Checks that each `make NAME` of the page has a rule in the Makefile. */
static void
check_targets(const char *path, const char *text)
{
    for (const char *at = strstr(text, "`make "); at != NULL;
         at = strstr(at + 6, "`make ")) {
        char *name = g_strndup(at + 6, strcspn(at + 6, " `"));
        char *rule = g_strdup_printf("\n%s:", name);
        gboolean exists = strstr(makefile_text, rule) != NULL;
        if (!exists) {
            printf("\n    %s: no make %s\n", path, name);
        }
        CU_ASSERT(exists);
        g_free(rule);
        g_free(name);
    }
}

static void
links_lead_to_existing_files(void)
{
    for_each_page(check_links);
}

static void
named_make_targets_exist(void)
{
    char *path = g_build_filename(SAPPHIREWEIR_SOURCE, "Makefile", NULL);
    CU_ASSERT_FATAL(g_file_get_contents(path, &makefile_text, NULL, NULL));
    for_each_page(check_targets);
    g_free(makefile_text);
    g_free(path);
}

static void
the_settings_reference_is_complete(void)
{
    char *path = g_build_filename(SAPPHIREWEIR_SOURCE, "docs", "operators",
                                  "settings.md", NULL);
    char *page = NULL;
    CU_ASSERT_FATAL(g_file_get_contents(path, &page, NULL, NULL));
    for (int program = 0; program < 2; program++) {
        GString *rows = g_string_new(NULL);
        settings_write_reference((SettingsProgram)program, rows);
        CU_ASSERT_PTR_NOT_NULL(strstr(page, rows->str));
        g_string_free(rows, TRUE);
    }
    g_free(page);
    g_free(path);
}

void
add_docs_suite(void)
{
    CU_pSuite s = CU_add_suite("docs", NULL, NULL);
    CU_add_test(s, "links lead to existing files",
                links_lead_to_existing_files);
    CU_add_test(s, "named make targets exist", named_make_targets_exist);
    CU_add_test(s, "the settings reference is complete",
                the_settings_reference_is_complete);
}
