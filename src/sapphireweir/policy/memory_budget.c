#include "policy/memory_budget.h"

#include "core/elapsed.h"

/* Load pattern: clients that are not trusted make a process hold memory, with
 * many messages of legal size at once, with requests whose answers they do not
 * read, or with thousands of connections.  An entry process held 1.7 GB after
 * 5.5 s of pipelined statements.
 *
 * Every connection has an account of the bytes that it makes the process hold:
 * received and unparsed, parsed and queued, not yet read by the client, and a
 * fixed charge.  Above the high mark, reading pauses for connections that hold
 * more than a small share, so that ordinary requests are still read.  Above
 * the total, and while pressure lasts although reading pauses, connections are
 * closed: the largest first, those with work in progress last. */

enum {
    /* Charge for a connection without any bytes.  An idle session was measured
     * at 2 KB. */
    kConnectionBytes = 2 << 10,
    /* Marks between which reading stays paused, of a limit. */
    kHighPercent = 75,
    kLowPercent = 50,
    /* Bounds of the bytes that a connection may hold without being paused: an
     * ordinary request must fit, and all connections together too. */
    kMinSmallBytes = 4 << 10,
    kMaxSmallBytes = 32 << 10,
    /* Time after which pressure closes a connection.  Paused clients cannot
     * finish their messages, so the memory would not come free. */
    kPressureUs = 1000000,
};

/* What the connections of one source address or one team hold. */
typedef struct {
    MemoryBudget *budget;
    char *name;
    uint64_t held_bytes;
    uint32_t connections;
    gboolean pressure;
} Group;

struct MemoryBudget {
    MemoryLimits limits;
    uint64_t small_bytes; /* see kMinSmallBytes */
    GHashTable *sources;  /* address -> Group */
    GHashTable *teams;    /* name -> Group */
    /* Ends of the list of accounts, by the time they were opened. */
    MemoryAccount *oldest;
    MemoryAccount *newest;
    uint64_t pressure_since_us; /* when a victim may be chosen, if pressure */
    MemoryStats stats;
};

/* Small, since thousands of idle sessions have one. */
struct MemoryAccount {
    Group *source;
    Group *team; /* or NULL */
    void *owner;
    MemoryAccount *older;
    MemoryAccount *newer;
    uint64_t held_bytes : 60; /* with the fixed charge */
    uint64_t busy : 1;
    uint64_t paused : 1;
    uint64_t admitted : 1;
};

static void
group_free(void *data)
{
    Group *g = data;
    g_free(g->name);
    g_free(g);
}

/* Returns the group of a name; creates it if missing. */
static Group *
group_get(MemoryBudget *b, GHashTable *groups, const char *name)
{
    Group *g = g_hash_table_lookup(groups, name);

    if (g == NULL) {
        g = g_new0(Group, 1);
        g->budget = b;
        g->name = g_strdup(name);
        g_hash_table_insert(groups, g->name, g);
    }
    return g;
}

/* Takes a connection out of its group. */
static void
group_leave(GHashTable *groups, Group *g, uint64_t held_bytes)
{
    g->held_bytes -= held_bytes;
    g->connections--;
    if (g->connections == 0) {
        g_hash_table_remove(groups, g->name);
    }
}

/* Returns whether reading pauses at this use of a limit, with hysteresis. */
static gboolean
under_pressure(gboolean before, uint64_t held_bytes, uint64_t limit_bytes)
{
    uint64_t mark = limit_bytes / 100 * (before ? kLowPercent : kHighPercent);

    return limit_bytes != 0 && held_bytes > mark;
}

/* Returns a budget without accounts; free it with memory_budget_free. */
MemoryBudget *
memory_budget_new(const MemoryLimits *limits)
{
    MemoryBudget *b = g_new0(MemoryBudget, 1);
    uint64_t share =
        limits->total_bytes / (2 * MAX((uint64_t)limits->max_connections, 1));

    b->limits = *limits;
    b->small_bytes =
        kConnectionBytes +
        (limits->max_connections == 0
             ? kMaxSmallBytes
             : CLAMP(share, (uint64_t)kMinSmallBytes, kMaxSmallBytes));
    b->sources =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
    b->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
    return b;
}

/* Frees a budget and the accounts that are still open. */
void
memory_budget_free(MemoryBudget *b)
{
    for (MemoryAccount *a = b->oldest; a != NULL;) {
        MemoryAccount *newer = a->newer;
        g_free(a);
        a = newer;
    }
    g_hash_table_destroy(b->sources);
    g_hash_table_destroy(b->teams);
    g_free(b);
}

/* Returns whether a further connection of a source exceeds a limit. */
static gboolean
is_full(const MemoryBudget *b, const Group *source)
{
    const MemoryLimits *l = &b->limits;

    return (l->max_connections != 0 &&
            b->stats.connections >= l->max_connections) ||
           (l->max_source_connections != 0 &&
            source->connections >= l->max_source_connections) ||
           (l->total_bytes != 0 &&
            b->stats.held_bytes + kConnectionBytes > l->total_bytes);
}

/* Changes what a connection is recorded to hold. */
static void
change_held(MemoryAccount *a, uint64_t now_us, uint64_t held_bytes)
{
    MemoryBudget *b = a->source->budget;
    const MemoryLimits *l = &b->limits;
    gboolean before = b->stats.pressure;

    b->stats.held_bytes += held_bytes - a->held_bytes;
    b->stats.max_held_bytes =
        MAX(b->stats.max_held_bytes, b->stats.held_bytes);
    a->source->held_bytes += held_bytes - a->held_bytes;
    if (a->team != NULL) {
        a->team->held_bytes += held_bytes - a->held_bytes;
        a->team->pressure = under_pressure(a->team->pressure,
                                           a->team->held_bytes, l->team_bytes);
    }
    a->held_bytes = held_bytes;
    b->stats.pressure =
        under_pressure(before, b->stats.held_bytes, l->total_bytes);
    a->source->pressure = under_pressure(
        a->source->pressure, a->source->held_bytes, l->source_bytes);
    if (b->stats.pressure && !before) {
        b->pressure_since_us = now_us;
    }
}

/* Opens the account of a new connection from a source address.  Returns NULL
 * when a limit refuses it.  memory_account_close frees the account. */
MemoryAccount *
memory_account_open(MemoryBudget *b, uint64_t now_us, const char *source)
{
    Group *group = group_get(b, b->sources, source);

    group->connections++;
    if (is_full(b, &(Group){.connections = group->connections - 1})) {
        b->stats.refused++;
        group_leave(b->sources, group, 0);
        return NULL;
    }
    MemoryAccount *a = g_new0(MemoryAccount, 1);
    a->source = group;
    a->older = b->newest;
    if (b->newest != NULL) {
        b->newest->newer = a;
    }
    else {
        b->oldest = a;
    }
    b->newest = a;
    b->stats.connections++;
    change_held(a, now_us, kConnectionBytes);
    return a;
}

/* Releases all that a connection holds and frees its account. */
void
memory_account_close(MemoryAccount *a)
{
    MemoryBudget *b = a->source->budget;

    change_held(a, b->pressure_since_us, 0);
    b->stats.connections--;
    group_leave(b->sources, a->source, 0);
    if (a->team != NULL) {
        group_leave(b->teams, a->team, 0);
    }
    *(a->older == NULL ? &b->oldest : &a->older->newer) = a->newer;
    *(a->newer == NULL ? &b->newest : &a->newer->older) = a->older;
    g_free(a);
}

/* Returns whether an account's group is over its limit. */
static gboolean
group_is_over(const Group *g, uint64_t limit_bytes)
{
    return g != NULL && limit_bytes != 0 && g->held_bytes > limit_bytes;
}

/* Records the bytes that a connection makes the process hold now, without the
 * fixed charge.  kMemoryPause: read nothing from it until a later call returns
 * another verdict.  kMemoryClose: it is over a limit of its own, or the
 * largest part of its source's or team's excess. */
MemoryVerdict
memory_account_set(MemoryAccount *a, uint64_t now_us, uint64_t held_bytes)
{
    MemoryBudget *b = a->source->budget;
    const MemoryLimits *l = &b->limits;
    gboolean was_paused = a->paused;

    change_held(a, now_us, held_bytes + kConnectionBytes);
    gboolean small = a->held_bytes <= b->small_bytes;
    if ((l->connection_bytes != 0 && held_bytes > l->connection_bytes) ||
        (!small && (group_is_over(a->source, l->source_bytes) ||
                    group_is_over(a->team, l->team_bytes)))) {
        b->stats.over_limit++;
        return kMemoryClose;
    }
    gboolean pause = !small && (b->stats.pressure || a->source->pressure ||
                                (a->team != NULL && a->team->pressure));
    a->paused = pause ? 1 : 0;
    if (a->paused && !was_paused) {
        b->stats.pauses++;
    }
    return a->paused ? kMemoryPause : kMemoryOk;
}

/* Sets whether work of the connection is in progress, such as a statement that
 * a server runs or an open transaction: it is then closed last. */
void
memory_account_busy(MemoryAccount *a, gboolean busy)
{
    a->busy = busy ? 1 : 0;
}

/* Returns whether a is closed before b: work in progress last, then the
 * larger, then the newer one. */
static gboolean
closes_before(const MemoryAccount *a, const MemoryAccount *b)
{
    if (a->busy != b->busy) {
        return !a->busy;
    }
    return a->held_bytes >= b->held_bytes;
}

/* Returns the connection to close next, NULL if none is to be closed: all
 * together hold more than the total, or pressure has lasted although reading
 * pauses.  A connection without much memory is chosen only when no larger one
 * is left, and one with work in progress only if it is larger. */
MemoryAccount *
memory_budget_victim(MemoryBudget *b, uint64_t now_us)
{
    MemoryAccount *large = NULL;
    MemoryAccount *newest_idle = NULL;
    gboolean over = b->limits.total_bytes != 0 &&
                    b->stats.held_bytes > b->limits.total_bytes;

    if (!over && !(b->stats.pressure &&
                   elapsed_us(now_us, b->pressure_since_us) > kPressureUs)) {
        return NULL;
    }
    for (MemoryAccount *a = b->oldest; a != NULL; a = a->newer) {
        if (a->held_bytes > b->small_bytes) {
            large = large == NULL || closes_before(a, large) ? a : large;
        }
        else if (!a->busy) {
            newest_idle = a;
        }
    }
    if (!over && (large == NULL || large->busy)) {
        return NULL;
    }
    MemoryAccount *victim = large == NULL ? newest_idle : large;
    if (victim != NULL) {
        b->stats.victims++;
        /* The next one gets as long to finish, unless the total is
         * exceeded. */
        b->pressure_since_us = now_us;
    }
    return victim;
}

/* Sets the connection that an account belongs to. */
void
memory_account_set_owner(MemoryAccount *a, void *owner)
{
    a->owner = owner;
}

/* Returns what memory_account_set_owner has set. */
void *
memory_account_owner(const MemoryAccount *a)
{
    return a->owner;
}

/* Returns the bytes of the connection, with its fixed charge. */
uint64_t
memory_account_held(const MemoryAccount *a)
{
    return a->held_bytes;
}

/* Sets the team whose limit counts for the connection; NULL: none. */
void
memory_account_set_team(MemoryAccount *a, const char *team)
{
    MemoryBudget *b = a->source->budget;

    if (a->team != NULL && g_strcmp0(a->team->name, team) == 0) {
        return;
    }
    if (a->team != NULL) {
        group_leave(b->teams, a->team, a->held_bytes);
        a->team = NULL;
    }
    if (team != NULL) {
        a->team = group_get(b, b->teams, team);
        a->team->connections++;
        a->team->held_bytes += a->held_bytes;
    }
}

/* Marks a connection whose client has shown that it works, with a first
 * complete request. */
void
memory_account_admit(MemoryAccount *a)
{
    a->admitted = 1;
}

/* Sets or removes the mark of memory_account_admit. */
void
memory_account_set_admitted(MemoryAccount *a, gboolean admitted)
{
    a->admitted = admitted ? 1 : 0;
}

/* Returns whether a source address uses all connections that one may. */
gboolean
memory_budget_source_is_full(const MemoryBudget *b, const char *source)
{
    const Group *g = g_hash_table_lookup(b->sources, source);

    return g != NULL && b->limits.max_source_connections != 0 &&
           g->connections >= b->limits.max_source_connections;
}

/* Returns the source address of the connection. */
const char *
memory_account_source(const MemoryAccount *a)
{
    return a->source->name;
}

/* Returns the connection to close in favour of a new one from a source address
 * when all are in use: the one that has waited longest without a complete
 * request, of that source if the source uses all that it may.  An ordinary
 * client sends its request at once, so a crowd that sends nothing does not
 * keep it out.  NULL: all have sent a request. */
MemoryAccount *
memory_budget_stalled(MemoryBudget *b, const char *source)
{
    const Group *only = memory_budget_source_is_full(b, source)
                            ? g_hash_table_lookup(b->sources, source)
                            : NULL;

    for (MemoryAccount *a = b->oldest; a != NULL; a = a->newer) {
        if (!a->admitted && !a->busy && (only == NULL || a->source == only)) {
            b->stats.stalled++;
            return a;
        }
    }
    return NULL;
}

/* Returns the present counters. */
MemoryStats
memory_budget_stats(const MemoryBudget *b)
{
    return b->stats;
}

/* Appends the counters in the metrics text format, with the name of the
 * listener as a label. */
void
memory_stats_write(const MemoryStats *s, const char *listener, GString *out)
{
    const struct {
        const char *name;
        uint64_t value;
    } values[] = {
        {"client_connections", s->connections},
        {"client_held_bytes", s->held_bytes},
        {"client_max_held_bytes", s->max_held_bytes},
        {"client_pressure", s->pressure},
        {"client_refused_total", s->refused},
        {"client_pauses_total", s->pauses},
        {"client_over_limit_total", s->over_limit},
        {"client_victims_total", s->victims},
        {"client_stalled_total", s->stalled},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        g_string_append_printf(
            out, "sapphireweir_%s{listener=\"%s\"} %" G_GUINT64_FORMAT "\n",
            values[i].name, listener, values[i].value);
    }
}
