#ifndef SAPPHIREWEIR_ADAPTER_SETTINGS_H
#define SAPPHIREWEIR_ADAPTER_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kSettingsSecretBytes = 32 };

/* The program that a settings file is for. */
typedef enum {
    kSettingsEntry,
    kSettingsControl,
} SettingsProgram;

/* A control instance listed in the settings. */
typedef struct {
    char *id;
    char *failure_domain;
    char *address; /* peer port, "IP:PORT" */
} SettingsControlInstance;

/* The settings of an entry or control instance.  Fields of sections that a
 * program does not have keep their defaults. */
typedef struct {
    char *id;
    char *failure_domain;
    char *http_address; /* to listen at, "IP:PORT"; also peer_address */
    char *peer_address;
    char *advertise_http;  /* for other hosts; http_address by default */
    char *advertise_peer;  /* for other hosts; peer_address by default */
    char *tls_certificate; /* path of a PEM file; NULL: no TLS */
    char *tls_key;         /* path of a PEM file */
    char *cluster;
    uint8_t secret[kSettingsSecretBytes]; /* of the cluster */
    GArray *controls;                     /* of SettingsControlInstance */
    char *operator_token;                 /* NULL: none set */
    char *platform_key;                   /* NULL: none set */
    char *data_folder;                    /* control instances only */
    char *backend_user;                   /* login at the backend servers */
    char *backend_password;               /* NULL: none */
    gboolean log_json;
    gboolean log_debug;
    gboolean read_replicas; /* FALSE: all reads go to the primary */
    gboolean pool_owners;   /* FALSE: every instance has its own pools */
    /* Microseconds of waiting that a kilobyte between domains is worth. */
    uint64_t cross_domain_us_per_kb;
    gboolean shared_rates; /* FALSE: rates are split equally */
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_requests;           /* open at the same time */
    uint64_t client_memory_bytes;    /* that HTTP clients may use */
    uint64_t peer_memory_bytes;      /* that peer links may use */
    uint32_t max_peer_handshakes;    /* accepted peer links that are not up */
    uint32_t max_connections;        /* of HTTP clients */
    uint32_t max_source_connections; /* of one source address, of these */
    uint64_t message_timeout_us;     /* of a request that began to arrive */
    uint64_t send_timeout_us;        /* of a response that is not read */
    uint64_t min_bytes_per_s;        /* of both */
    uint64_t lease_us;               /* control lease of an entry instance */
    uint64_t heartbeat_us;           /* interval of the consensus leader */
    uint64_t election_min_us;        /* range of the random election timeout */
    uint64_t election_max_us;
    uint32_t snapshot_interval_entries; /* log entries between two snapshots */
    /* A backend server without an announcement for longer is missing. */
    uint64_t announcement_timeout_us;
    /* A primary that is unreachable for longer is replaced. */
    uint64_t suspect_after_us;
} Settings;

gboolean settings_load(const char *path, SettingsProgram program, Settings *s,
                       GError **error);
void settings_clear(Settings *s);
void settings_write_reference(SettingsProgram program, GString *out);

#endif
