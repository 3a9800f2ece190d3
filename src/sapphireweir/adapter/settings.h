#ifndef SAPPHIREWEIR_ADAPTER_SETTINGS_H
#define SAPPHIREWEIR_ADAPTER_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kSettingsSecretBytes = 32 };

typedef enum {
    kSettingsEntry,
    kSettingsControl,
} SettingsProgram;

typedef struct {
    char *id;
    char *failure_domain;
    char *address;
} SettingsControlInstance;

/* The settings of an entry or control instance; what a program does not
 * use stays zero. */
typedef struct {
    char *id;
    char *failure_domain;
    char *http_address;
    char *peer_address;
    char *advertise_http; /* as others reach it; the same by default */
    char *advertise_peer;
    char *tls_certificate;
    char *tls_key;
    char *cluster;
    uint8_t secret[kSettingsSecretBytes];
    GArray *controls; /* of SettingsControlInstance */
    char *operator_token;
    char *platform_key;
    char *data_folder;
    char *backend_user;
    char *backend_password;
    gboolean log_json;
    gboolean log_debug;
    gboolean read_replicas;
    gboolean pool_owners;
    gboolean shared_rates;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_requests;
    uint64_t lease_us;
    uint64_t heartbeat_us;
    uint64_t election_min_us;
    uint64_t election_max_us;
    uint32_t snapshot_interval_entries;
    uint64_t announcement_timeout_us;
    uint64_t suspect_after_us;
} Settings;

gboolean settings_load(const char *path, SettingsProgram program, Settings *s,
                       GError **error);
void settings_clear(Settings *s);
void settings_write_reference(SettingsProgram program, GString *out);

#endif
