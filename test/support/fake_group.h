#ifndef SAPPHIREWEIR_TEST_FAKE_GROUP_H
#define SAPPHIREWEIR_TEST_FAKE_GROUP_H

#include <glib.h>
#include <stdint.h>

#include "port/entry.h"

/* A database group in memory.  Its only table is the log: the statement
 * "put" appends $1, "get" tells whether $1 is there.  Enough of
 * PostgreSQL's functions is answered for the core to watch, fence, promote
 * and follow. */

enum {
    kFakeMembers = 3,
    kFakeEntryBytes = 100,
    kTimelineStride = 16, /* no two promotions make the same timeline */
};

typedef struct FakeGroup FakeGroup;

typedef struct {
    uint64_t term;
    char *value;
} FakeEntry;

typedef struct {
    FakeGroup *group;
    uint32_t index;
    char *address;
    gboolean in_recovery;
    uint64_t timeline;
    GPtrArray *log; /* FakeEntry */
    uint32_t replayed;
    char *conninfo;
    gboolean reload;
    gboolean streaming;
    uint32_t receipt_count; /* rises with every word of the primary */
    gboolean partitioned;   /* nothing gets through */
    gboolean down;          /* the process is gone, its data stays */
    uint32_t flushed_by[kFakeMembers]; /* as the replicas told it */
} FakeMember;

struct FakeGroup {
    FakeMember members[kFakeMembers];
    uint32_t lag_steps; /* replay once in so many steps */
    uint32_t steps;
    gboolean replication_stopped; /* no replication at all */
    uint32_t prunes;              /* deletions of old request records */
};

FakeGroup *fake_group_new(uint32_t number);
void fake_group_free(FakeGroup *g);
void fake_group_step(FakeGroup *g);
FakeMember *fake_group_find(FakeGroup *g, const char *address);
void fake_member_kill(FakeMember *m);
uint32_t fake_member_count(const FakeMember *m, const char *value);

/* The open transaction of one connection. */
typedef struct {
    GPtrArray *writes; /* char * */
    gboolean open;
    gboolean failed;
} FakeTransaction;

void fake_transaction_init(FakeTransaction *t);
void fake_transaction_clear(FakeTransaction *t);
void fake_member_query(FakeMember *m, FakeTransaction *t, const char *sql,
                       size_t count, char *const *parameters,
                       BackendResult *result);

#endif
