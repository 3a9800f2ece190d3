#include <string.h>
#include <unistd.h>

#include "adapter/settings.h"
#include "suite.h"

static char *folder; /* temporary folder of the settings files */

/* Writes a file to the folder and returns its path; the caller frees it. */
static char *
write_file(const char *name, const char *text)
{
    char *path = g_build_filename(folder, name, NULL);
    g_file_set_contents(path, text, -1, NULL);
    return path;
}

#define SECRET                                                                \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
/* The sections that every file needs; %s is the path of the secret. */
#define HEAD                                                                  \
    "[instance]\nid = \"a\"\nfailure_domain = \"d\"\n"                        \
    "[cluster]\nname = \"c\"\nsecret_file = \"%s\"\n"                         \
    "[data]\nfolder = \"/x\"\n"
#define LISTEN "[listen]\nhttp = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n"

static void
files_are_checked_as_a_whole(void)
{
    static const struct {
        const char *text;
        const char *expected_error; /* part of its text; NULL: valid */
    } cases[] = {
        {HEAD LISTEN, NULL},
        {HEAD, "[listen]: the section is missing"},
        {HEAD LISTEN "[consensus]\nlease_ms = 5\n", "500 to 60000"},
        {HEAD LISTEN "[consensus]\nlease_ms = \"5\"\n", "must be an integer"},
        {HEAD LISTEN "[consensus]\nelection_min_ms = 900\n", "must be above"},
        {HEAD LISTEN "[colours]\nred = 1\n", "[colours] is not known"},
        {HEAD LISTEN "[log]\nformat = \"xml\"\n", "one of text|json"},
        {HEAD LISTEN "[log]\nshout = true\n", "shout is not known"},
        {HEAD "[listen]\nhttp = \"localhost:1\"\npeer = \"127.0.0.1:2\"\n",
         "must be IP:PORT"},
        {HEAD "[listen]\nhttp = \"127.0.0.1:99999\"\npeer = \"x\"\n",
         "must be IP:PORT"},
        {HEAD LISTEN "tls_key = \"k\"\n", "go together"},
        {HEAD LISTEN "[control]\nid = \"x\"\n", "written [[control]]"},
        {"= nonsense", ":1:"},
    };
    folder = g_dir_make_tmp("sapphireweir-settings-XXXXXX", NULL);
    char *secret = write_file("secret", SECRET "\n");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char **parts = g_strsplit(cases[i].text, "%s", 2);
        char *text = g_strjoinv(secret, parts);
        char *path = write_file("settings.toml", text);
        Settings s;
        GError *error = NULL;
        gboolean ok = settings_load(path, kSettingsControl, &s, &error);
        CU_ASSERT_EQUAL(ok, cases[i].expected_error == NULL);
        if (ok) {
            CU_ASSERT_EQUAL(s.lease_us, 3000000);
            settings_clear(&s);
        }
        else if (cases[i].expected_error != NULL) {
            CU_ASSERT_PTR_NOT_NULL(
                strstr(error->message, cases[i].expected_error));
            CU_ASSERT_PTR_NOT_NULL(strstr(error->message, "settings.toml"));
        }
        g_clear_error(&error);
        unlink(path);
        g_free(path);
        g_free(text);
        g_strfreev(parts);
    }
    unlink(secret);
    rmdir(folder);
    g_free(secret);
    g_free(folder);
}

/* Guards against peer links that use more than a quarter of the memory, and
 * against a largest request body that no peer accepts. */
static void
peer_links_get_a_quarter_of_the_memory(void)
{
    static const struct {
        const char *limits;
        uint64_t peer_bytes;
    } cases[] = {
        {"", 64 << 20},
        {"[limits]\nmemory_mb = 1000\n", 250 << 20},
        {"[limits]\nmemory_mb = 16\n", 4 << 20},
        {"[limits]\nmemory_mb = 16\nbody_bytes = 33554432\n", 33 << 20},
    };
    folder = g_dir_make_tmp("sapphireweir-settings-XXXXXX", NULL);
    char *secret = write_file("secret", SECRET "\n");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text =
            g_strdup_printf(HEAD LISTEN "%s", secret, cases[i].limits);
        char *path = write_file("settings.toml", text);
        Settings s;
        CU_ASSERT_FATAL(settings_load(path, kSettingsControl, &s, NULL));
        CU_ASSERT_EQUAL(s.peer_memory_bytes, cases[i].peer_bytes);
        settings_clear(&s);
        unlink(path);
        g_free(path);
        g_free(text);
    }
    unlink(secret);
    rmdir(folder);
    g_free(secret);
    g_free(folder);
}

void
add_settings_suite(void)
{
    CU_pSuite s = CU_add_suite("settings", NULL, NULL);
    CU_add_test(s, "files are checked as a whole",
                files_are_checked_as_a_whole);
    CU_add_test(s, "peer links get a quarter of the memory",
                peer_links_get_a_quarter_of_the_memory);
}
