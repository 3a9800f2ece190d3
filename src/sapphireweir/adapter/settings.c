#include "adapter/settings.h"

#include <sodium.h>
#include <string.h>

#include "adapter/toml.h"
#include "core/error.h"
#include "core/schema.h"

/* Settings files (TOML).  A file is validated as a whole against tables of
 * fields; the settings reference for operators is generated from the same
 * tables. */

enum {
    kMicrosPerMilli = 1000,
    kDefaultLeaseMs = 3000,
    kDefaultHeartbeatMs = 60,
    kDefaultElectionMinMs = 250,
    kDefaultElectionMaxMs = 500,
    kDefaultSnapshotIntervalEntries = 1000,
    kDefaultAnnouncementTimeoutMs = 3000,
    kDefaultSuspectMs = 200,
    kDefaultMaxBodyBytes = 1 << 20,
    kDefaultMaxHeaderBytes = 16 << 10,
    kDefaultMaxRequests = 4096,
    kDefaultMemoryMb = 256,
    kMiB = 1 << 20,
    kPeerShare = 4, /* of the memory is for peer links */
    /* Of a log entry beyond the request body that it holds. */
    kEntryOverheadBytes = kMiB,
    /* The processes of a large fleet connect at the same time after the
     * restart of one; more than these take the place of the oldest. */
    kMaxPeerHandshakes = 512,
    kDefaultMaxConnections = 4096,
    kDefaultMessageTimeoutMs = 10000,
    kDefaultSendTimeoutMs = 10000,
    kDefaultMinBytesPerS = 1000,
};

/* The fields of each section, with the members of Field in order: name, type,
 * required, minimum and maximum of an integer, choices of a text, help. */

static const Field instance_fields[] = {
    {"id", kFieldText, TRUE, 0, 0, NULL, "name, unique in the fleet"},
    {"failure_domain", kFieldText, TRUE, 0, 0, NULL, "where it runs"},
};

static const Field listen_fields[] = {
    {"http", kFieldText, TRUE, 0, 0, NULL, "IP:PORT for callers"},
    {"peer", kFieldText, TRUE, 0, 0, NULL, "IP:PORT for own processes"},
    {"advertise_http", kFieldText, FALSE, 0, 0, NULL,
     "IP:PORT others reach http by; default: http"},
    {"advertise_peer", kFieldText, FALSE, 0, 0, NULL,
     "IP:PORT others reach peer by; default: peer"},
    {"tls_certificate", kFieldText, FALSE, 0, 0, NULL, "PEM file"},
    {"tls_key", kFieldText, FALSE, 0, 0, NULL, "PEM file"},
};

static const Field cluster_fields[] = {
    {"name", kFieldText, TRUE, 0, 0, NULL, "name of the cluster"},
    {"secret_file", kFieldText, TRUE, 0, 0, NULL,
     "file with 64 hexadecimal digits"},
};

static const Field control_instance_fields[] = {
    {"id", kFieldText, TRUE, 0, 0, NULL, "name of a control instance"},
    {"failure_domain", kFieldText, TRUE, 0, 0, NULL, "where it runs"},
    {"address", kFieldText, TRUE, 0, 0, NULL, "its peer IP:PORT"},
};

static const Field operator_fields[] = {
    {"token_file", kFieldText, TRUE, 0, 0, NULL, "file with the token"},
};

static const Field platform_fields[] = {
    {"key_file", kFieldText, TRUE, 0, 0, NULL, "file with the key"},
};

static const Field backend_fields[] = {
    {"user", kFieldText, FALSE, 0, 0, NULL, "default \"sapphireweir\""},
    {"password_file", kFieldText, FALSE, 0, 0, NULL, "none by default"},
};

static const Field log_fields[] = {
    {"format", kFieldText, FALSE, 0, 0, "text|json", "default text"},
    {"debug", kFieldBoolean, FALSE, 0, 0, NULL, "default false"},
};

static const Field limit_fields[] = {
    {"body_bytes", kFieldInteger, FALSE, 1024, 64 << 20, NULL,
     "default 1048576"},
    {"header_bytes", kFieldInteger, FALSE, 1024, 1 << 20, NULL,
     "default 16384"},
    {"requests", kFieldInteger, FALSE, 1, 1000000, NULL,
     "open at once, default 4096"},
    {"memory_mb", kFieldInteger, FALSE, 16, 1 << 20, NULL,
     "MiB of the process; HTTP clients may use half, peer links a quarter; "
     "default 256"},
    {"connections", kFieldInteger, FALSE, 1, 1000000, NULL,
     "of HTTP clients, fewer if descriptors are short; default 4096"},
    {"connections_per_source", kFieldInteger, FALSE, 1, 1000000, NULL,
     "of HTTP clients from one address, which may then use this part of their "
     "memory; default: all"},
    {"message_timeout_ms", kFieldInteger, FALSE, 100, 600000, NULL,
     "without a byte of a request, or without one at the start; default "
     "10000"},
    {"send_timeout_ms", kFieldInteger, FALSE, 100, 600000, NULL,
     "without a byte of a response being read; default 10000"},
    {"bytes_per_s", kFieldInteger, FALSE, 1, 1000000000, NULL,
     "least rate of a request or response beyond these; default 1000"},
};

static const Field routing_fields[] = {
    {"read_replicas", kFieldBoolean, FALSE, 0, 0, NULL,
     "reads may go to replicas; default true"},
    {"pool_owners", kFieldBoolean, FALSE, 0, 0, NULL,
     "one pool for each member; false: one in every instance, for "
     "comparison only; default true"},
    {"shared_rates", kFieldBoolean, FALSE, 0, 0, NULL,
     "rates count across the fleet; false: an equal part for each instance, "
     "for comparison only; default true"},
    {"cross_domain_us_per_kb", kFieldInteger, FALSE, 0, 1000000, NULL,
     "microseconds of waiting that one kilobyte between failure domains is "
     "worth; default 0: only times decide"},
};

static const Field data_fields[] = {
    {"folder", kFieldText, TRUE, 0, 0, NULL, "data folder of this instance"},
};

static const Field consensus_fields[] = {
    {"lease_ms", kFieldInteger, FALSE, 500, 60000, NULL,
     "control lease, default 3000"},
    {"heartbeat_ms", kFieldInteger, FALSE, 5, 5000, NULL, "default 60"},
    {"election_min_ms", kFieldInteger, FALSE, 20, 30000, NULL, "default 250"},
    {"election_max_ms", kFieldInteger, FALSE, 40, 60000, NULL, "default 500"},
    {"snapshot_every", kFieldInteger, FALSE, 10, 1000000, NULL,
     "log entries, default 1000"},
    {"announce_silence_ms", kFieldInteger, FALSE, 500, 600000, NULL,
     "a backend server counts as missing, default 3000"},
    {"suspect_ms", kFieldInteger, FALSE, 50, 60000, NULL,
     "a primary is unreachable before it is replaced, default 200"},
};

/* A section of a settings file. */
typedef struct {
    const char *name;
    const Field *fields;
    size_t count; /* of fields */
    gboolean required;
    gboolean list; /* written [[name]], may occur several times */
} Section;

#define SECTION(name, fields, required, list)                                 \
    {                                                                         \
        name, fields, G_N_ELEMENTS(fields), required, list                    \
    }

static const Section entry_sections[] = {
    SECTION("instance", instance_fields, TRUE, FALSE),
    SECTION("listen", listen_fields, TRUE, FALSE),
    SECTION("cluster", cluster_fields, TRUE, FALSE),
    SECTION("control", control_instance_fields, TRUE, TRUE),
    SECTION("operator", operator_fields, FALSE, FALSE),
    SECTION("platform", platform_fields, FALSE, FALSE),
    SECTION("backend", backend_fields, FALSE, FALSE),
    SECTION("routing", routing_fields, FALSE, FALSE),
    SECTION("limits", limit_fields, FALSE, FALSE),
    SECTION("log", log_fields, FALSE, FALSE),
};

static const Section control_sections[] = {
    SECTION("instance", instance_fields, TRUE, FALSE),
    SECTION("listen", listen_fields, TRUE, FALSE),
    SECTION("cluster", cluster_fields, TRUE, FALSE),
    SECTION("control", control_instance_fields, FALSE, TRUE),
    SECTION("data", data_fields, TRUE, FALSE),
    SECTION("limits", limit_fields, FALSE, FALSE),
    SECTION("consensus", consensus_fields, FALSE, FALSE),
    SECTION("log", log_fields, FALSE, FALSE),
};

/* Returns the sections that a program accepts, and their number. */
static const Section *
program_sections(SettingsProgram program, size_t *count)
{
    if (program == kSettingsEntry) {
        *count = G_N_ELEMENTS(entry_sections);
        return entry_sections;
    }
    *count = G_N_ELEMENTS(control_sections);
    return control_sections;
}

/* ---- checks ---- */

/* Checks one section, or all items of a list section, against its fields. */
static void
check_section(const json_t *root, const Section *s, const char *path,
              SchemaErrors *e)
{
    const json_t *section = json_object_get(root, s->name);
    char *location = g_strdup_printf("%s: [%s]", path, s->name);
    size_t i;
    json_t *item;

    if (section == NULL && s->required) {
        schema_errors_add(e, location, "the section is missing");
    }
    else if (section != NULL && s->list && !json_is_array(section)) {
        schema_errors_add(e, location, "must be a list, written [[%s]]",
                          s->name);
    }
    else if (section != NULL && s->list) {
        json_array_foreach((json_t *)section, i, item)
        {
            schema_check_object(item, s->fields, s->count, location, e);
        }
    }
    else if (section != NULL) {
        schema_check_object(section, s->fields, s->count, location, e);
    }
    g_free(location);
}

/* Adds an error for each section that is not in the table. */
static void
check_unknown_sections(const json_t *root, const Section *sections,
                       size_t count, const char *path, SchemaErrors *e)
{
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)root, name, value)
    {
        gboolean known = FALSE;
        for (size_t i = 0; i < count; i++) {
            known = known || strcmp(sections[i].name, name) == 0;
        }
        if (!known) {
            schema_errors_add(e, path, "[%s] is not known here", name);
        }
    }
}

/* Checks that a field, if present, holds a numeric IP:PORT. */
static void
check_address(const json_t *table, const char *name, const char *location,
              SchemaErrors *e)
{
    const char *address = json_text_or(table, name, NULL);
    if (address == NULL) {
        return;
    }
    const char *colon = strrchr(address, ':');
    guint64 port = 0;
    gboolean ok =
        colon != NULL &&
        g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port, NULL);
    char *host = ok ? g_strndup(address, (gsize)(colon - address)) : NULL;
    ok = ok && g_hostname_is_ip_address(host);
    g_free(host);
    if (!ok) {
        schema_errors_add(e, location, "%s must be IP:PORT, found \"%.80s\"",
                          name, address);
    }
}

/* Checks all addresses, and that TLS certificate and key are both set or both
 * absent. */
static void
check_addresses(const json_t *root, const char *path, SchemaErrors *e)
{
    const json_t *listen = json_object_get(root, "listen");
    size_t i;
    json_t *control;

    check_address(listen, "http", path, e);
    check_address(listen, "peer", path, e);
    check_address(listen, "advertise_http", path, e);
    check_address(listen, "advertise_peer", path, e);
    json_array_foreach(json_object_get(root, "control"), i, control)
    {
        check_address(control, "address", path, e);
    }
    if ((json_object_get(listen, "tls_certificate") == NULL) !=
        (json_object_get(listen, "tls_key") == NULL)) {
        schema_errors_add(e, path,
                          "[listen]: tls_certificate and tls_key "
                          "go together");
    }
}

/* Reads the file that a field names and strips white space at both ends.
 * Returns NULL if the field is absent or the file cannot be read; the caller
 * frees the text.  Adds an error if the file cannot be read or is empty. */
static char *
read_secret_file(const json_t *table, const char *name, const char *path,
                 SchemaErrors *e)
{
    const char *file = json_text_or(table, name, NULL);
    char *text = NULL;
    GError *error = NULL;

    if (file == NULL) {
        return NULL;
    }
    if (!g_file_get_contents(file, &text, NULL, &error)) {
        schema_errors_add(e, path, "%s: %s", name, error->message);
        g_error_free(error);
        return NULL;
    }
    g_strstrip(text);
    if (text[0] == '\0') {
        schema_errors_add(e, path, "%s: %s is empty", name, file);
    }
    return text;
}

/* Reads the cluster's secret and decodes it into s->secret.  Adds an error
 * unless the file holds exactly kSettingsSecretBytes as hexadecimal digits. */
static void
read_cluster_secret(const json_t *root, const char *path, Settings *s,
                    SchemaErrors *e)
{
    char *text = read_secret_file(json_object_get(root, "cluster"),
                                  "secret_file", path, e);
    size_t bytes = 0;
    if (text == NULL) {
        return;
    }
    if (sodium_hex2bin(s->secret, sizeof(s->secret), text, strlen(text), NULL,
                       &bytes, NULL) != 0 ||
        bytes != sizeof(s->secret)) {
        schema_errors_add(e, path,
                          "secret_file must hold 64 hexadecimal "
                          "digits");
    }
    g_free(text);
}

/* ---- values ---- */

/* Frees the strings of a SettingsControlInstance; the array's clear
 * function. */
static void
control_instance_clear(void *data)
{
    SettingsControlInstance *c = data;
    g_free(c->id);
    g_free(c->failure_domain);
    g_free(c->address);
}

/* Fills s->controls from the [[control]] sections. */
static void
fill_controls(const json_t *root, Settings *s)
{
    size_t i;
    json_t *item;

    s->controls = g_array_new(FALSE, FALSE, sizeof(SettingsControlInstance));
    g_array_set_clear_func(s->controls, control_instance_clear);
    json_array_foreach(json_object_get(root, "control"), i, item)
    {
        SettingsControlInstance c = {
            g_strdup(json_text_or(item, "id", "")),
            g_strdup(json_text_or(item, "failure_domain", "")),
            g_strdup(json_text_or(item, "address", "")),
        };
        g_array_append_val(s->controls, c);
    }
}

/* Returns the value of a field in milliseconds, or the default, converted to
 * microseconds. */
static uint64_t
read_ms_as_us(const json_t *table, const char *name, int64_t default_ms)
{
    return (uint64_t)json_integer_or(table, name, default_ms) *
           kMicrosPerMilli;
}

/* Sets the values of the section [consensus], or their defaults. */
static void
fill_consensus(const json_t *root, Settings *s)
{
    const json_t *consensus = json_object_get(root, "consensus");
    s->lease_us = read_ms_as_us(consensus, "lease_ms", kDefaultLeaseMs);
    s->heartbeat_us =
        read_ms_as_us(consensus, "heartbeat_ms", kDefaultHeartbeatMs);
    s->election_min_us =
        read_ms_as_us(consensus, "election_min_ms", kDefaultElectionMinMs);
    s->election_max_us =
        read_ms_as_us(consensus, "election_max_ms", kDefaultElectionMaxMs);
    s->snapshot_interval_entries = (uint32_t)json_integer_or(
        consensus, "snapshot_every", kDefaultSnapshotIntervalEntries);
    s->announcement_timeout_us = read_ms_as_us(
        consensus, "announce_silence_ms", kDefaultAnnouncementTimeoutMs);
    s->suspect_after_us =
        read_ms_as_us(consensus, "suspect_ms", kDefaultSuspectMs);
}

/* Sets the values and their defaults from a file that is already checked; the
 * secrets are read separately. */
static void
fill_values(const json_t *root, Settings *s)
{
    const json_t *instance = json_object_get(root, "instance");
    const json_t *listen = json_object_get(root, "listen");
    const json_t *limits = json_object_get(root, "limits");
    const json_t *log = json_object_get(root, "log");
    const json_t *routing = json_object_get(root, "routing");
    const json_t *backend = json_object_get(root, "backend");

    s->id = g_strdup(json_text_or(instance, "id", ""));
    s->failure_domain = g_strdup(json_text_or(instance, "failure_domain", ""));
    s->http_address = g_strdup(json_text_or(listen, "http", ""));
    s->peer_address = g_strdup(json_text_or(listen, "peer", ""));
    s->advertise_http =
        g_strdup(json_text_or(listen, "advertise_http", s->http_address));
    s->advertise_peer =
        g_strdup(json_text_or(listen, "advertise_peer", s->peer_address));
    s->tls_certificate =
        g_strdup(json_text_or(listen, "tls_certificate", NULL));
    s->tls_key = g_strdup(json_text_or(listen, "tls_key", NULL));
    s->cluster =
        g_strdup(json_text_or(json_object_get(root, "cluster"), "name", ""));
    s->data_folder =
        g_strdup(json_text_or(json_object_get(root, "data"), "folder", ""));
    s->backend_user = g_strdup(json_text_or(backend, "user", "sapphireweir"));
    s->log_json = strcmp(json_text_or(log, "format", "text"), "json") == 0;
    s->log_debug = json_flag(log, "debug");
    s->read_replicas =
        !json_is_false(json_object_get(routing, "read_replicas"));
    s->pool_owners = !json_is_false(json_object_get(routing, "pool_owners"));
    s->shared_rates = !json_is_false(json_object_get(routing, "shared_rates"));
    s->cross_domain_us_per_kb =
        (uint64_t)json_integer_or(routing, "cross_domain_us_per_kb", 0);
    s->max_body_bytes =
        (uint32_t)json_integer_or(limits, "body_bytes", kDefaultMaxBodyBytes);
    s->max_header_bytes = (uint32_t)json_integer_or(limits, "header_bytes",
                                                    kDefaultMaxHeaderBytes);
    s->max_requests =
        (uint32_t)json_integer_or(limits, "requests", kDefaultMaxRequests);
    s->client_memory_bytes =
        (uint64_t)json_integer_or(limits, "memory_mb", kDefaultMemoryMb) *
        kMiB / 2;
    s->peer_memory_bytes =
        MAX((uint64_t)json_integer_or(limits, "memory_mb", kDefaultMemoryMb) *
                kMiB / kPeerShare,
            (uint64_t)s->max_body_bytes + kEntryOverheadBytes);
    s->max_peer_handshakes = kMaxPeerHandshakes;
    s->max_connections = (uint32_t)json_integer_or(limits, "connections",
                                                   kDefaultMaxConnections);
    s->max_source_connections = (uint32_t)json_integer_or(
        limits, "connections_per_source", s->max_connections);
    s->message_timeout_us =
        read_ms_as_us(limits, "message_timeout_ms", kDefaultMessageTimeoutMs);
    s->send_timeout_us =
        read_ms_as_us(limits, "send_timeout_ms", kDefaultSendTimeoutMs);
    s->min_bytes_per_s =
        (uint64_t)json_integer_or(limits, "bytes_per_s", kDefaultMinBytesPerS);
    fill_controls(root, s);
    fill_consensus(root, s);
}

/* Loads and validates a settings file and the secret files that it names.  All
 * errors are reported together, as lines of one kCoreErrorInvalid; each line
 * names the settings file.  On success the caller frees the settings with
 * settings_clear. */
gboolean
settings_load(const char *path, SettingsProgram program, Settings *s,
              GError **error)
{
    size_t count;
    const Section *sections = program_sections(program, &count);
    char *parse_error = NULL;
    json_t *root = toml_read_file(path, &parse_error);
    SchemaErrors e;

    *s = (Settings){0};
    schema_errors_init(&e);
    if (root == NULL) {
        schema_errors_add(&e, path, "%s", parse_error);
        free(parse_error);
        return schema_errors_raise(&e, error);
    }
    for (size_t i = 0; i < count; i++) {
        check_section(root, &sections[i], path, &e);
    }
    check_unknown_sections(root, sections, count, path, &e);
    check_addresses(root, path, &e);
    read_cluster_secret(root, path, s, &e);
    s->operator_token = read_secret_file(json_object_get(root, "operator"),
                                         "token_file", path, &e);
    s->platform_key = read_secret_file(json_object_get(root, "platform"),
                                       "key_file", path, &e);
    s->backend_password = read_secret_file(json_object_get(root, "backend"),
                                           "password_file", path, &e);
    fill_values(root, s);
    if (s->election_max_us <= s->election_min_us) {
        schema_errors_add(&e, path,
                          "[consensus]: election_max_ms must be "
                          "above election_min_ms");
    }
    json_decref(root);
    if (!schema_errors_raise(&e, error)) {
        settings_clear(s);
        return FALSE;
    }
    return TRUE;
}

/* Frees all values of the settings and sets them to zero. */
void
settings_clear(Settings *s)
{
    char *texts[] = {
        s->id,           s->failure_domain,   s->http_address,
        s->peer_address, s->advertise_http,   s->advertise_peer,
        s->tls_key,      s->tls_certificate,  s->cluster,
        s->data_folder,  s->operator_token,   s->platform_key,
        s->backend_user, s->backend_password,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_free(texts[i]);
    }
    if (s->controls != NULL) {
        g_array_unref(s->controls);
    }
    *s = (Settings){0};
}

/* Appends the reference of all settings of a program to out, as rows of a
 * Markdown table. */
void
settings_write_reference(SettingsProgram program, GString *out)
{
    static const char *const types[] = {"integer", "text", "boolean", "table",
                                        "list"};
    size_t count;
    const Section *sections = program_sections(program, &count);

    for (size_t i = 0; i < count; i++) {
        const Section *s = &sections[i];
        for (size_t k = 0; k < s->count; k++) {
            const Field *f = &s->fields[k];
            g_string_append_printf(out, "| `%s.%s` | %s | ", s->name, f->name,
                                   types[f->type]);
            if (f->type == kFieldInteger) {
                g_string_append_printf(
                    out, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, f->min,
                    f->max);
            }
            else if (f->choices != NULL) {
                char **choices = g_strsplit(f->choices, "|", -1);
                char *joined = g_strjoinv(", ", choices);
                g_string_append(out, joined);
                g_free(joined);
                g_strfreev(choices);
            }
            g_string_append_printf(out, " | %s%s |\n", f->help,
                                   f->required && s->required ? "; required"
                                                              : "");
        }
    }
}
