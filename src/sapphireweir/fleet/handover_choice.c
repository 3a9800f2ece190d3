#include <string.h>

#include "fleet/director_internal.h"
#include "policy/succession.h"

/* Collects the input of succession_choose: the replicas' log positions and
 * the newest acknowledged commit. */

/* For how long a stopped replica may be the only one with some commit;
 * several times a server's drain time. */
enum {
    kMaxGoneAgeUs = 30000000,
    /* For how long a planned change for another reason waits for a replica
     * outside the evacuated domains. */
    kOutsideWaitUs = 2200000,
};

/* Returns how many replicas of a database must store a commit before it is
 * acknowledged; zero if the database is not configured. */
uint32_t
handover_sync_replicas(Director *d, const char *database)
{
    const Document *document = documents_current(d);
    const DocumentDatabase *found =
        document == NULL ? NULL : document_database(document, database);
    return found == NULL ? 0 : found->sync_replicas;
}

/* Returns whether a server is a replica of the database whose primary
 * changes. */
gboolean
handover_is_replica(const PrimaryChange *change, const DirectoryServer *s,
                    const PrimaryState *p)
{
    return !s->gone && strcmp(s->database, change->database) == 0 &&
           strcmp(s->id, p->primary) != 0;
}

/* Sets *out to the newest commit that entry instances acknowledged to callers
 * in this or, by the replicated log, in an earlier epoch.  Returns FALSE if an
 * entry instance may have acknowledged a newer one in this epoch without
 * reporting it. */
static gboolean
newest_acknowledged(const Director *d, const PrimaryChange *change,
                    Position *out)
{
    const PrimaryState *p = director_primary(d, change->database);
    GHashTableIter it;
    void *value;

    *out = p->acknowledged;
    if (d->evidence_lost_us >= p->epoch_learned_us) {
        return FALSE;
    }
    g_hash_table_iter_init(&it, d->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const EntryState *entry = value;
        const EntryEvidence *e =
            g_hash_table_lookup(entry->evidence, change->database);
        if (e == NULL || e->released_epoch < change->epoch) {
            return FALSE;
        }
        if (position_compare(e->acknowledged, *out) > 0) {
            *out = e->acknowledged;
        }
    }
    return TRUE;
}

/* Returns whether a replica that has stopped may be the only one that has some
 * acknowledged commit. */
static gboolean
gone_replica_counts(const DirectoryServer *s, uint64_t now_us,
                    const PrimaryChange *change, const PrimaryState *p)
{
    return s->gone && strcmp(s->database, change->database) == 0 &&
           strcmp(s->id, p->primary) != 0 &&
           s->last_seen_us > p->epoch_learned_us &&
           now_us - s->last_seen_us < kMaxGoneAgeUs;
}

/* Returns a position that no commit exceeds that was acknowledged before a
 * server with the given log leads.  The log holds all of them; its position
 * counts where they are not known.  A server that leads already reports its
 * new term, but the acknowledged commits are of the old primary's term at the
 * latest. */
static Position
acknowledged_limit(const PrimaryState *p,
                   const SuccessionRequirement *required, Position log)
{
    if (required->acknowledged_known) {
        return required->acknowledged;
    }
    if (p->log_term != 0 && log.term > p->log_term) {
        log.term = p->log_term;
    }
    return position_compare(log, p->acknowledged) > 0 ? log : p->acknowledged;
}

/* Returns whether a server is a usable replica outside the evacuated failure
 * domains. */
static gboolean
is_replica_outside(const Director *d, const DirectoryServer *s,
                   const PrimaryState *p)
{
    return !s->gone && !s->draining && strcmp(s->database, p->database) == 0 &&
           strcmp(s->id, p->primary) != 0 && !director_server_evacuated(d, s);
}

/* Returns whether a database has a usable replica outside the evacuated
 * failure domains. */
gboolean
handover_has_replica_outside(const Director *d, const PrimaryState *p)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (is_replica_outside(d, value, p)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether a replica outside the evacuated failure domains has all
 * commits that the old primary had when the change began. */
gboolean
handover_replica_is_near(const Director *d, const PrimaryChange *change)
{
    const PrimaryState *p = director_primary(d, change->database);
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, d->directory.servers);
    while (change->probe_log.term != 0 &&
           g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        const Candidate *c = g_hash_table_lookup(change->candidates, s->id);
        if (c != NULL && is_replica_outside(d, s, p) &&
            position_compare(c->log, change->probe_log) >= 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The replicas of a database among which the next primary is chosen. */
typedef struct {
    SuccessionReplica *replicas;
    const DirectoryServer **servers;
    size_t count;
} ReplicaList;

/* Fills in the replicas that count in the choice; free them with
 * replicas_clear. */
static void
replicas_collect(const Director *d, uint64_t now_us,
                 const PrimaryChange *change, ReplicaList *list)
{
    const PrimaryState *p = director_primary(d, change->database);
    guint max_count = g_hash_table_size(d->directory.servers);
    GHashTableIter it;
    void *value;

    list->replicas = g_new0(SuccessionReplica, max_count + 1);
    list->servers = g_new0(const DirectoryServer *, max_count + 1);
    list->count = 0;
    g_hash_table_iter_init(&it, d->directory.servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DirectoryServer *s = value;
        const Candidate *c = g_hash_table_lookup(change->candidates, s->id);
        if (!handover_is_replica(change, s, p) &&
            !gone_replica_counts(s, now_us, change, p)) {
            continue;
        }
        list->servers[list->count] = s;
        list->replicas[list->count++] = (SuccessionReplica){
            .answered = c != NULL && !s->gone,
            .log_is_final = c != NULL && !s->gone &&
                            change->access_ended_us != 0 &&
                            c->requested_us >= change->access_ended_us,
            .excluded = g_strcmp0(s->id, change->refused_server) == 0 ||
                        (change->planned && s->draining),
            .log = c == NULL ? (Position){0} : c->log,
        };
    }
}

static void
replicas_clear(ReplicaList *list)
{
    g_free(list->replicas);
    g_free(list->servers);
}

/* Excludes the replicas in evacuated failure domains. */
static void
exclude_evacuated(const Director *d, ReplicaList *list)
{
    for (size_t i = 0; i < list->count; i++) {
        list->replicas[i].excluded |=
            director_server_evacuated(d, list->servers[i]);
    }
}

/* Returns whether a planned change must choose a replica outside the evacuated
 * failure domains: always if it leaves such a domain, else if there is one and
 * for a limited time. */
static gboolean
must_choose_outside(const Director *d, uint64_t now_us,
                    const PrimaryChange *change, const PrimaryState *p)
{
    if (!change->planned) {
        return FALSE;
    }
    return change->evacuating ||
           (now_us - change->phase_started_us < kOutsideWaitUs &&
            handover_has_replica_outside(d, p));
}

/* Returns the index of the replica to promote, see succession_choose.  An
 * unplanned change prefers one outside the evacuated failure domains, unless
 * it lacks commits that the best one inside has and that may have been
 * acknowledged; the primary inside is replaced by a planned change later. */
static int
choose_replica(const Director *d, uint64_t now_us, const PrimaryChange *change,
               ReplicaList *list, const SuccessionRequirement *required)
{
    const PrimaryState *p = director_primary(d, change->database);

    if (must_choose_outside(d, now_us, change, p)) {
        exclude_evacuated(d, list);
    }
    int best = succession_choose(list->replicas, list->count, required);
    if (best == kSuccessionWait ||
        !director_server_evacuated(d, list->servers[best])) {
        return best;
    }
    exclude_evacuated(d, list);
    int outside = succession_choose(list->replicas, list->count, required);
    if (outside == kSuccessionWait) {
        return best;
    }
    Position log = list->replicas[outside].log;
    gboolean complete = position_compare(log, list->replicas[best].log) >= 0 ||
                        (required->acknowledged_known &&
                         position_compare(log, required->acknowledged) >= 0);
    return complete ? outside : best;
}

/* Returns the server to promote, or NULL while none may be promoted.  The
 * director owns the string.  Sets *acknowledged to a position that no commit
 * exceeds that was acknowledged before it leads.  If replicas store commits
 * before they are acknowledged, an unplanned change chooses the old primary
 * itself when that answers again, since no replica has more commits. */
const char *
handover_next_primary(Director *d, uint64_t now_us,
                      const PrimaryChange *change, Position *acknowledged)
{
    const PrimaryState *p = director_primary(d, change->database);
    SuccessionRequirement required = {
        .sync_replicas = handover_sync_replicas(d, change->database),
        .acknowledged_earlier = p->acknowledged};
    ReplicaList list;

    required.acknowledged_known =
        newest_acknowledged(d, change, &required.acknowledged);
    *acknowledged = p->acknowledged;
    if (required.sync_replicas > 0 && !change->planned &&
        change->old_primary.valid && change->access_ended_us != 0 &&
        change->old_primary.requested_us >= change->access_ended_us) {
        *acknowledged =
            acknowledged_limit(p, &required, change->old_primary.log);
        return p->primary;
    }
    replicas_collect(d, now_us, change, &list);
    int best = choose_replica(d, now_us, change, &list, &required);
    const char *found =
        best == kSuccessionWait ? NULL : list.servers[best]->id;
    if (found != NULL) {
        *acknowledged =
            acknowledged_limit(p, &required, list.replicas[best].log);
    }
    replicas_clear(&list);
    return found;
}
