#include <string.h>

#include "gateway/region_access.h"
#include "gateway/serverpool_internal.h"
#include "gateway/slow_start_gate.h"
#include "policy/connection_share.h"

/* Carries out what policy/connection_warmup.c decides: opens connections to
 * the servers that this instance owns before work asks for them, if the
 * configuration has priorities. */

/* Records that a team sent work to this instance. */
void
serverpool_team_used(Gateway *g, uint64_t now_us, const char *team)
{
    uint64_t *used_us = g_hash_table_lookup(g->teams_used, team);

    if (used_us == NULL &&
        (g->document == NULL ||
         !g_hash_table_contains(g->document->teams, team))) {
        return;
    }
    if (used_us == NULL) {
        used_us = g_new(uint64_t, 1);
        g_hash_table_insert(g->teams_used, g_strdup(team), used_us);
    }
    *used_us = now_us;
}

static gboolean
is_no_team(void *name, void *used_us, void *document)
{
    (void)used_us;
    return !g_hash_table_contains(((const Document *)document)->teams, name);
}

/* Forgets the teams that a new configuration does not have. */
void
serverpool_forget_teams(Gateway *g)
{
    g_hash_table_foreach_remove(g->teams_used, is_no_team, g->document);
}

/* Returns the names of the teams that have a key, to be unreferenced by the
 * caller. */
static GHashTable *
teams_with_keys(const Document *d)
{
    GHashTable *teams = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    void *team;

    g_hash_table_iter_init(&it, d->keys);
    while (g_hash_table_iter_next(&it, NULL, &team)) {
        g_hash_table_add(teams, ((DocumentTeam *)team)->name);
    }
    return teams;
}

/* Tells whether the team's work goes to the server by preference: all work
 * that may write goes to the primary, other work to the server of the
 * database with the largest affinity. */
static gboolean
team_prefers(const Server *s, const char *team, uint64_t now_us)
{
    const Database *d = s->database;
    const Document *document = d->gateway->document;
    uint64_t own = dispatch_team_affinity(document, team, s);

    if (s == database_primary(d, now_us)) {
        return TRUE;
    }
    for (guint i = 0; i < d->servers->len; i++) {
        const Server *other = g_ptr_array_index(d->servers, i);
        if (other != s && !other->draining &&
            dispatch_team_affinity(document, team, other) > own) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns how many connections a server's pool has for a team. */
static uint32_t
connections_of(const Server *s, const char *team)
{
    uint32_t count = 0;

    for (guint i = 0; s->pool != NULL && i < s->pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(s->pool->connections, i);
        count += strcmp(c->team, team) == 0;
    }
    return count;
}

/* Returns the team that gets the next connection to a server, or NULL. */
static const char *
choose_team(Gateway *g, const Server *s, uint64_t now_us)
{
    guint capacity = g_hash_table_size(g->document->teams);
    ConnectionWarmupTeam *list = g_new0(ConnectionWarmupTeam, capacity + 1);
    const char **names = g_new0(const char *, capacity + 1);
    GHashTable *keyed = teams_with_keys(g->document);
    GHashTableIter it;
    void *value;
    size_t count = 0;

    g_hash_table_iter_init(&it, g->document->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const DocumentTeam *t = value;
        const uint64_t *used_us = g_hash_table_lookup(g->teams_used, t->name);
        names[count] = t->name;
        list[count++] = (ConnectionWarmupTeam){
            .admitted = t->rate_milli_per_s > 0 &&
                        g_hash_table_contains(keyed, t->name) &&
                        region_access_team_relays(g, t, s),
            .used_ago_us = used_us == NULL ? UINT64_MAX : now_us - *used_us,
            .prefers = team_prefers(s, t->name, now_us),
            .affinity = dispatch_team_affinity(g->document, t->name, s),
            .connections = connections_of(s, t->name),
        };
    }
    int best = connection_warmup_choose(&s->warmup, list, count);
    const char *team = best == kConnectionWarmupNone ? NULL : names[best];
    g_hash_table_unref(keyed);
    g_free(names);
    g_free(list);
    return team;
}

/* Returns the use of a server, whose pool may not exist yet. */
static ConnectionWarmupLoad
load_of(const Server *s, uint64_t now_us)
{
    const ServerPool *pool = s->pool;
    ConnectionWarmupLoad load = {
        .usable = !s->gone && !s->draining && s->failing_since_us == 0 &&
                  now_us >= s->avoid_until_us &&
                  now_us >= s->connect_after_us &&
                  now_us >= s->full_until_us &&
                  s->database->gateway->drain_started_us == 0 &&
                  !slow_start_gate_is_limited(s, now_us) &&
                  evacuation_may_start(s, now_us),
        .slots = s->slots,
        .limit = connection_share_owner(server_connection_limit(s)),
    };

    if (pool == NULL) {
        return load;
    }
    load.busy = pool->open;
    load.connections = pool->connections->len;
    for (guint i = 0; i < pool->connections->len; i++) {
        const PooledConnection *c = g_ptr_array_index(pool->connections, i);
        load.ahead += c->ahead && c->state == kPooledOpening;
    }
    return load;
}

/* Opens a connection to a server ahead of work, if it is time for that. */
static void
server_warm_up(Gateway *g, Server *s, uint64_t now_us)
{
    ConnectionWarmupView view = {
        .owner = !s->gone && g_strcmp0(s->owner, g->id) == 0,
        .epoch = s->database->epoch,
        .born = s->born_ms,
    };

    connection_warmup_observe(&s->warmup, now_us, &view,
                              now_us - g->started_us);
    if (!connection_warmup_is_active(&s->warmup, now_us)) {
        return;
    }
    ConnectionWarmupLoad load = load_of(s, now_us);
    if (!connection_warmup_may_open(&s->warmup, now_us, &load)) {
        return;
    }
    const char *team = choose_team(g, s, now_us);
    if (team == NULL) {
        connection_warmup_done(&s->warmup);
        return;
    }
    ServerPool *pool = serverpool_of(g, s->id);
    pooled_open(pool, team, now_us)->ahead = TRUE;
    admission_connecting_ahead(&pool->admission, kHandshakeUs);
    g->counters.connections_ahead++;
}

/* Opens connections ahead of work at the servers that this instance owns. */
void
serverpool_warmup_tick(Gateway *g, uint64_t now_us)
{
    GHashTableIter it;
    void *value;

    if (!g->prioritized || g->document == NULL) {
        return;
    }
    g_hash_table_iter_init(&it, g->servers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        server_warm_up(g, value, now_us);
    }
}

/* Counts a connection that was opened ahead and is now used or closed. */
void
pooled_ahead_ends(PooledConnection *c, gboolean used)
{
    GatewayCounters *n = &c->pool->gateway->counters;

    if (!c->ahead) {
        return;
    }
    c->ahead = FALSE;
    if (used) {
        n->connections_ahead_used++;
    }
    else {
        n->connections_ahead_unused++;
    }
}
