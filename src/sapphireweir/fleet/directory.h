#ifndef SAPPHIREWEIR_FLEET_DIRECTORY_H
#define SAPPHIREWEIR_FLEET_DIRECTORY_H

#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A backend server, as described by its own status reports. */
typedef struct {
    char *id;
    char *database;
    char *address;
    char *failure_domain;
    int64_t born_ms;   /* start time by its own clock; identifies the run */
    uint64_t sequence; /* of its newest report, rises within a run */
    uint32_t slots;    /* connections that it accepts */
    gboolean draining;
    gboolean primary;      /* it reports that it is the primary */
    gboolean gone;         /* it has stopped, or a newer run has its address */
    uint64_t gone_us;      /* when that was first noticed, zero: not yet */
    gboolean reports_cold; /* its reports state how long it is cold */
    uint64_t cold_until_us;    /* as stated last, zero: warm */
    uint64_t last_seen_us;     /* last report, zero: none in this run */
    uint64_t changed_revision; /* directory revision of its last change */
    uint64_t changed_us;       /* when a report last changed it */
    uint64_t exchanged_us;     /* when control instances last exchanged it */
    gboolean collected;        /* its last report is to be exchanged */
} DirectoryServer;

/* All known backend servers; revision grows with each change that entry
 * instances must be notified of. */
typedef struct {
    GHashTable *servers; /* id -> DirectoryServer, owned */
    /* address -> GPtrArray of the servers with it, gone ones included */
    GHashTable *by_address;
    uint64_t revision;
    /* Of the last change that ended the use of a server: it is gone, draining,
     * or another run or address. */
    uint64_t ended_revision;
} Directory;

void directory_init(Directory *d);
void directory_clear(Directory *d);
gboolean directory_apply_report(Directory *d, uint64_t now_us,
                                const Sw__ServerRecord *report);
gboolean directory_apply_seen(Directory *d, uint64_t now_us,
                              const Sw__ServerSeen *seen);
void directory_expire(Directory *d, uint64_t now_us,
                      gboolean (*is_needed)(const void *ctx, const char *id),
                      const void *ctx);
DirectoryServer *directory_find(const Directory *d, const char *id);
void directory_fill_record(const DirectoryServer *s, uint64_t now_us,
                           Sw__ServerRecord *out);
void directory_fill_seen(const DirectoryServer *s, uint64_t now_us,
                         Sw__ServerSeen *out);
uint64_t directory_age_ms(const DirectoryServer *s, uint64_t now_us);

#endif
