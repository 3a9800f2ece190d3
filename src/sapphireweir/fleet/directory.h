#ifndef SAPPHIREWEIR_FLEET_DIRECTORY_H
#define SAPPHIREWEIR_FLEET_DIRECTORY_H

#include <glib.h>
#include <stdint.h>

#include "proto/sapphireweir.pb-c.h"

/* A backend server by its own status reports. */
typedef struct {
    char *id;
    char *database;
    char *address;
    char *failure_domain;
    int64_t born_ms;   /* when it started, tells apart two runs of one id */
    uint64_t sequence; /* of its newest report */
    uint32_t slots;
    gboolean draining;
    gboolean primary; /* as it sees itself */
    gboolean gone;
    uint64_t heard_us;
    uint64_t changed; /* revision of the last change worth telling */
} DirectoryServer;

typedef struct {
    GHashTable *servers; /* id -> DirectoryServer, owned */
    uint64_t revision;
} Directory;

void directory_init(Directory *d);
void directory_clear(Directory *d);
gboolean directory_apply_report(Directory *d, uint64_t now_us,
                                const Sw__ServerRecord *report);
DirectoryServer *directory_find(const Directory *d, const char *id);
void directory_fill_record(const DirectoryServer *s, Sw__ServerRecord *out);

#endif
