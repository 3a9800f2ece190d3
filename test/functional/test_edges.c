#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "edges.h"

/* Edge cases of the programs: a terminal interrupt, invalid bytes on the peer
 * port, TLS and the reload of its certificate, invalid settings. */

/* ---- Ctrl-C ---- */

/* A terminal sends SIGINT to the whole process group.  Without requests in
 * progress the demo ends in a few seconds. */
void
ctrl_c_stops_the_demo(void)
{
    /* Entry instances stay up for about two seconds, so that load balancers
     * notice the stop. */
    enum { kMaxMs = 10000 };
    Fleet *f = fleet_start("ctrl-c", NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    CU_ASSERT(fleet_interrupt(f) < kMaxMs);
}

/* ---- invalid bytes on the peer port ---- */

/* Returns the peer address in an instance's settings file, NULL when the
 * file is missing; the caller frees it. */
static char *
read_peer_address(const Fleet *f, const char *instance)
{
    char *name = g_strdup_printf("%s.toml", instance);
    char *path = g_build_filename(f->dir, name, NULL);
    char *text = NULL;
    char *address = NULL;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char *at = strstr(text, "peer = \"");
        at += strlen("peer = \"");
        address = g_strndup(at, strcspn(at, "\""));
    }
    g_free(text);
    g_free(path);
    g_free(name);
    return address;
}

/* Sends bytes on a connection of its own and closes it after 200 ms. */
static void
send_bytes(const char *address, const void *data, size_t size)
{
    char **parts = g_strsplit(address, ":", 2);
    struct sockaddr_in to = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    to.sin_port = htons((uint16_t)atoi(parts[1]));
    inet_pton(AF_INET, parts[0], &to.sin_addr);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0) {
        ssize_t written = write(fd, data, size);
        CU_ASSERT(written > 0);
        usleep(200000);
    }
    close(fd);
    g_strfreev(parts);
}

/* Random bytes, bytes of 0xff (a huge frame length), and an HTTP request on
 * the peer port are counted, and the instance stays healthy. */
void
invalid_peer_bytes_are_counted(const Fleet *f)
{
    char *address = read_peer_address(f, "entry-nadi-1");
    int64_t before = fleet_metric(f, 1, "peer_garbage_total");
    uint8_t data[4096];
    GRand *rand = g_rand_new_with_seed(5);

    CU_ASSERT_PTR_NOT_NULL_FATAL(address);
    for (int round = 0; round < 3; round++) {
        for (size_t i = 0; i < sizeof(data); i++) {
            data[i] = round == 1 ? 0xff : (uint8_t)g_rand_int(rand);
        }
        send_bytes(address, data, sizeof(data));
    }
    send_bytes(address, "GET / HTTP/1.1\r\n\r\n", 18);
    CU_ASSERT(fleet_metric(f, 1, "peer_garbage_total") >= before + 3);
    HttpResponse r = fleet_get(fleet_entry_address(f, 1), "/healthz", NULL);
    CU_ASSERT_EQUAL(r.status, 200);
    response_clear(&r);
    g_rand_free(rand);
    g_free(address);
}

/* ---- TLS ---- */

/* Creates NAME.key and NAME.pem, a self-signed certificate for 127.0.0.1.
 * Returns FALSE when openssl fails. */
static gboolean
make_certificate(const char *folder, const char *name)
{
    char *command = g_strdup_printf(
        "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=%s "
        "-addext subjectAltName=IP:127.0.0.1 -keyout %s/%s.key "
        "-out %s/%s.pem 2>/dev/null",
        name, folder, name, folder, name);
    int status = system(command);
    g_free(command);
    return status == 0;
}

/* Copies a certificate and its key to the files that the settings name. */
static void
install_certificate(const char *folder, const char *name)
{
    char *command =
        g_strdup_printf("cp %s/%s.key %s/tls.key && cp %s/%s.pem %s/tls.pem",
                        folder, name, folder, folder, name, folder);
    CU_ASSERT_EQUAL(system(command), 0);
    g_free(command);
}

/* Returns a port that is free at the moment of the call. */
static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t length = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    getsockname(fd, (struct sockaddr *)&at, &length);
    close(fd);
    return ntohs(at.sin_port);
}

static size_t
discard_body(char *data, size_t size, size_t count, void *ctx)
{
    (void)data;
    (void)ctx;
    return size * count;
}

/* Returns whether the port serves a certificate that NAME.pem, used as the
 * trust anchor, verifies. */
static gboolean
certificate_is_trusted(uint16_t port, const char *folder, const char *name)
{
    char *url = g_strdup_printf("https://127.0.0.1:%u/healthz", port);
    char *ca = g_strdup_printf("%s/%s.pem", folder, name);
    CURL *curl = curl_easy_init();

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CAINFO, ca);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 3000L);
    gboolean ok = curl_easy_perform(curl) == CURLE_OK;
    curl_easy_cleanup(curl);
    g_free(ca);
    g_free(url);
    return ok;
}

/* Waits until certificate_is_trusted holds.  Returns FALSE when it still does
 * not after 100 attempts, 50 ms apart. */
static gboolean
wait_until_trusted(uint16_t port, const char *folder, const char *name)
{
    for (int i = 0; i < 100; i++) {
        if (certificate_is_trusted(port, folder, name)) {
            return TRUE;
        }
        usleep(50000);
    }
    return FALSE;
}

/* Writes the settings of an entry instance with TLS, and its secret file.
 * Returns the path, which the caller frees. */
static char *
write_settings(const char *folder, uint16_t http, uint16_t peer)
{
    char *path = g_build_filename(folder, "entry.toml", NULL);
    char *text = g_strdup_printf(
        "[instance]\nid = \"tls\"\nfailure_domain = \"d\"\n"
        "[listen]\nhttp = \"127.0.0.1:%u\"\npeer = \"127.0.0.1:%u\"\n"
        "tls_certificate = \"%s/tls.pem\"\ntls_key = \"%s/tls.key\"\n"
        "[cluster]\nname = \"c\"\nsecret_file = \"%s/secret\"\n"
        "[[control]]\nid = \"none\"\nfailure_domain = \"d\"\n"
        "address = \"127.0.0.1:1\"\n",
        http, peer, folder, folder, folder);
    char *secret = g_build_filename(folder, "secret", NULL);
    char *digits = g_strnfill(64, 'a');
    g_file_set_contents(secret, digits, -1, NULL);
    g_file_set_contents(path, text, -1, NULL);
    g_free(digits);
    g_free(secret);
    g_free(text);
    return path;
}

/* SIGHUP makes an entry instance load a new certificate; when the new one is
 * unreadable, the old one stays in use. */
void
certificate_is_reloaded(void)
{
    char *folder = g_dir_make_tmp("sapphireweir-tls-XXXXXX", NULL);
    char *program = fleet_program_path("sapphireweir-entry");
    uint16_t http = free_port();
    char *settings = write_settings(folder, http, free_port());

    CU_ASSERT_FATAL(make_certificate(folder, "first"));
    CU_ASSERT_FATAL(make_certificate(folder, "second"));
    install_certificate(folder, "first");
    pid_t pid = fork();
    if (pid == 0) {
        freopen("/dev/null", "w", stderr);
        execl(program, program, "--settings", settings, (char *)NULL);
        _exit(127);
    }
    CU_ASSERT(wait_until_trusted(http, folder, "first"));
    CU_ASSERT(!certificate_is_trusted(http, folder, "second"));
    install_certificate(folder, "second");
    kill(pid, SIGHUP);
    CU_ASSERT(wait_until_trusted(http, folder, "second"));
    char *certificate = g_build_filename(folder, "tls.pem", NULL);
    g_file_set_contents(certificate, "nonsense", -1, NULL);
    kill(pid, SIGHUP);
    usleep(300000);
    CU_ASSERT(certificate_is_trusted(http, folder, "second"));
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
    char *command = g_strdup_printf("rm -rf %s", folder);
    CU_ASSERT_EQUAL(system(command), 0);
    g_free(command);
    g_free(certificate);
    g_free(settings);
    g_free(program);
    g_free(folder);
}

/* ---- settings ---- */

/* Invalid settings end a program with code 2, and all of the errors are
 * reported in one run. */
void
all_setting_errors_are_reported(void)
{
    char *program = fleet_program_path("sapphireweir-control");
    char *path =
        g_build_filename(g_get_tmp_dir(), "sapphireweir-wrong.toml", NULL);
    char *argv[] = {program, (char *)"--settings", path, (char *)"--check",
                    NULL};
    char *output = NULL;
    int status = 0;

    g_file_set_contents(path,
                        "[instance]\nid = 5\n[listen]\nhttp = \"x\"\n"
                        "[wrong]\n",
                        -1, NULL);
    g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL, &output,
                 &status, NULL);
    CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "id must be text, found 5"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "failure_domain is missing"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "[wrong] is not known"));
    CU_ASSERT_PTR_NOT_NULL(strstr(output, "[data]: the section is missing"));
    unlink(path);
    g_free(output);
    g_free(path);
    g_free(program);
}
