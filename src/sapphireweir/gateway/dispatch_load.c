#include "gateway/gateway_internal.h"

#include "core/hash.h"
#include "policy/admission.h"
#include "policy/connection_share.h"
#include "policy/retry_hint.h"

/* Carries out, for the callers of this instance, what policy/admission_view.c
 * and policy/retry_hint.c decide about work that a server cannot take.  Does
 * nothing unless the configuration has priorities. */

enum { kMixMultiplier = 0x9e3779b1 };

/* Returns the admission level of the session's work. */
uint32_t
dispatch_level(const Session *s)
{
    return admission_level(s->route->priority,
                           s->team == NULL ? 0 : s->team->priority);
}

/* Returns a number that differs between statements. */
uint32_t
dispatch_random(const Session *s)
{
    uint32_t mixed =
        (uint32_t)(s->number ^ (s->job.arrived_us << 8)) * kMixMultiplier;
    return (mixed ^ (mixed >> 15)) * kMixMultiplier >> 8;
}

/* Assigns the admission step of the open statement: its level, and a random
 * step within it. */
void
dispatch_assign_step(Session *s)
{
    serverpool_team_used(s->gateway, s->job.arrived_us, session_team_name(s));
    s->job.step = dispatch_level(s) * kAdmissionSteps +
                  dispatch_random(s) % (uint32_t)kAdmissionSteps;
}

/* Tells whether the server's owner admits the open statement, as far as its
 * results have told. */
gboolean
dispatch_is_admitted(const Session *s, const Server *server, uint64_t now_us)
{
    return !s->gateway->prioritized ||
           admission_view_admits(&server->admission, now_us,
                                 session_team_name(s), s->job.step);
}

/* Returns the wait that the open statement can expect at the server's owner,
 * as last reported for its level, in microseconds. */
uint64_t
dispatch_wait_us(const Session *s, const Server *server, uint64_t now_us)
{
    return admission_view_wait_us(&server->admission, now_us,
                                  dispatch_level(s));
}

/* Refuses the open statement with a hint computed from the load of the
 * server. */
static void
refuse_for_load(Session *s, uint64_t now_us, const Server *server,
                RefusalReason reason)
{
    RetryLoad load = {
        .wait_us = dispatch_wait_us(s, server, now_us),
        .drain_milli_per_s = server->drain_milli_per_s,
        .shed_milli_per_s = server->shed_milli_per_s,
        .level = dispatch_level(s),
    };

    session_refuse(s, now_us, reason,
                   retry_hint_us(&load, dispatch_random(s)));
}

/* Refuses the open statement since the owner of the server rejected it. */
void
dispatch_refuse_overload(Session *s, uint64_t now_us, const Server *server)
{
    refuse_for_load(s, now_us, server, kRefusedQueue);
}

/* Refuses the open statement, which was not sent because the owner of the
 * server does not admit its level. */
void
dispatch_refuse_level(Session *s, uint64_t now_us, const Server *server)
{
    s->gateway->counters.levels[dispatch_level(s)].not_sent++;
    refuse_for_load(s, now_us, server, kRefusedLevel);
}

/* Returns the score by which a team's work prefers the server (rendezvous
 * hashing), zero if each team can have a connection at every server. */
uint64_t
dispatch_team_affinity(const Document *document, const char *team,
                       const Server *server)
{
    uint32_t connections =
        connection_share_owner(server_connection_limit(server));

    if (g_hash_table_size(document->teams) <= connections) {
        return 0;
    }
    return hash_number(hash_text(server->id, hash_text(team, 1)), 1);
}

/* Returns the score of the server for the session's team. */
uint64_t
dispatch_affinity(const Session *s, const Server *server)
{
    return dispatch_team_affinity(s->gateway->document, session_team_name(s),
                                  server);
}

/* Returns the retry budget of the session's route. */
static RetryBudget *
budget_of(const Session *s)
{
    GHashTable *budgets = s->gateway->retry_budgets;
    RetryBudget *b = g_hash_table_lookup(budgets, s->host);

    if (b == NULL) {
        b = g_new0(RetryBudget, 1);
        g_hash_table_insert(budgets, g_strdup(s->host), b);
    }
    return b;
}

/* Tells whether the open statement could be sent again by this instance if a
 * busy server rejects it. */
gboolean
dispatch_has_repeat(const Session *s)
{
    return !s->gateway->prioritized || !retry_budget_is_empty(budget_of(s));
}

/* Tells whether the open statement, which a busy server rejected, may be sent
 * again by this instance. */
gboolean
dispatch_may_repeat(const Session *s)
{
    return !s->gateway->prioritized || retry_budget_take(budget_of(s));
}

/* Records that a server ran the open statement. */
void
dispatch_succeeded(const Session *s)
{
    if (s->gateway->prioritized) {
        retry_budget_succeeded(budget_of(s));
    }
}
