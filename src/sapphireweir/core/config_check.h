#ifndef SAPPHIREWEIR_CORE_CONFIG_CHECK_H
#define SAPPHIREWEIR_CORE_CONFIG_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum { kConfigCheckMaxTimeMs = 86400000 }; /* usual service time, lag */

typedef enum {
    /* The fleet refuses the configuration, or something in it certainly does
     * not work as it is written. */
    kFindingError,
    /* A part has no effect, or hardly the intended one. */
    kFindingWarning,
} FindingSeverity;

typedef struct {
    FindingSeverity severity;
    char *path;    /* of the field or entry in the configuration */
    char *message; /* with the values that contradict each other */
} ConfigFinding;

/* The names that a format of configurations has for the fields that rules
 * refer to.  A finding's path is that of the entry and such a name. */
typedef struct {
    const char *database;
    const char *timeout;
    const char *staleness;
    const char *priority;
    const char *regions;
    const char *rate;
    const char *burst;
    const char *keys;
    const char *connections;
    const char *slots;
} ConfigNames;

/* What callers name to have work done.  The strings of this and the following
 * descriptions must be valid until the rules have been applied; times of zero
 * are not set. */
typedef struct {
    const char *path;
    /* Requests are routed by it alone: the last route with a selector gets
     * them all.  NULL: unique. */
    const char *selector;
    const char *database;       /* name; NULL: not known, no rule for it */
    const char *const *teams;   /* that it serves; NULL: all */
    const char *const *regions; /* where its work may run; NULL: anywhere */
    uint32_t statements;        /* how many callers can choose from */
    gboolean is_public;         /* a part of it needs no key */
    gboolean needs_primary;     /* no replica may run any of its work */
    uint64_t timeout_us;        /* of a request */
    uint64_t objective_us;      /* for the latency of a request */
    uint32_t priority, level;   /* priorities of a level have one effect */
} CheckedRoute;

/* Reads that replicas may serve. */
typedef struct {
    const char *path;
    guint route;               /* index of the route that they belong to */
    uint64_t max_staleness_us; /* zero: the primary serves them */
} CheckedRead;

typedef struct {
    const char *path;
    const char *name;
    const char *const *regions; /* where its work may run; NULL: anywhere */
    gboolean keys_known;
    const char *const *keys;    /* that its callers may use; NULL: none */
    uint64_t rate_milli_per_s;  /* thousandths of a request */
    uint64_t burst_milli;       /* thousandths of a request */
    uint64_t least_burst_milli; /* below it, no request is ever served */
    uint64_t max_staleness_us;  /* cap for all reads; zero: none */
    uint32_t priority, level;   /* priorities of a level have one effect */
} CheckedTeam;

typedef struct {
    const char *path;
    const char *name; /* the last database with a name counts */
} CheckedDatabase;

/* A backend server; zero stands for a number that is not known. */
typedef struct {
    const char *path;     /* of what sets its numbers */
    const char *database; /* name */
    uint32_t slots;       /* transactions that it runs at once */
    /* Connections: those that it accepts, the least number that its owner
     * opens, and those that its owner uses for work. */
    uint32_t accepted_connections, needed_connections, work_connections;
} CheckedServer;

/* A configuration, described independently of its format, and what was found
 * in it. */
typedef struct {
    ConfigNames names;
    GArray *routes;    /* of CheckedRoute */
    GArray *reads;     /* of CheckedRead */
    GArray *teams;     /* of CheckedTeam */
    GArray *databases; /* of CheckedDatabase */
    GArray *servers;   /* of CheckedServer */
    /* Whether the lists are complete: without that, nothing is concluded from
     * the absence of an entry. */
    gboolean routes_complete, teams_complete;
    GHashTable *regions; /* of all failure domains, a set; NULL: not known */
    uint64_t service_us; /* usual service time; zero: not known */
    uint64_t lag_us;     /* usual lag of replicas; zero: not known */
    GPtrArray *findings; /* of ConfigFinding, owned */
    GHashTable *known;   /* findings as text, a set */
    GStringChunk *strings;
    GPtrArray *lists; /* owned lists of strings */
} ConfigCheck;

ConfigCheck *config_check_new(const ConfigNames *names);
void config_check_free(ConfigCheck *c);
const char *config_check_string(ConfigCheck *c, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
const char *const *config_check_list(ConfigCheck *c, const json_t *list);
void config_check_add(ConfigCheck *c, FindingSeverity severity,
                      const char *path, const char *format, ...)
    G_GNUC_PRINTF(4, 5);
void config_check_run(ConfigCheck *c);
gboolean config_check_time_valid(double ms);

json_t *config_check_differences(const json_t *wanted, const json_t *current,
                                 gboolean whole);
char *config_check_differences_text(const json_t *differences);
char *config_check_report(const ConfigCheck *c, const json_t *differences,
                          gboolean json);

#endif
