#include "policy/connection_warmup.h"

/* Connections that the owner of a backend server opens before work asks for
 * them.  Designed for the first seconds after a start, a change of the owner
 * or of the primary, or a restart of the server: 85 teams send their usual
 * load, of which 4 slots can do 1.4 times as much, each team needs a
 * connection, and each new connection takes 12 ms of a slot.  Opened on
 * demand, they delay work that would have had a slot before. */

enum {
    /* The teams with the usual load have asked for a connection by then. */
    kWindowUs = 5000000,
    kPauseUs = 1000000, /* after a failed opening */
    /* An instance that has started more recently does not know the teams that
     * use the fleet. */
    kUnknownUs = 10000000,
    /* Teams whose last work is older are not expected to send some within
     * seconds. */
    kUsedUs = 60000000,
    kSlotParts = 4,     /* a quarter of the slots at a time */
    kReserveParts = 10, /* a tenth of the connections is left to demand */
};

static gboolean
is_equal(const ConnectionWarmupView *a, const ConnectionWarmupView *b)
{
    return a->owner == b->owner && a->epoch == b->epoch && a->born == b->born;
}

/* Records who owns the server, its run, and the epoch of the primary.  When
 * one of them has changed and this instance is the owner, connections are
 * opened ahead for kWindowUs.  instance_age_us is the time since the start of
 * this instance. */
void
connection_warmup_observe(ConnectionWarmup *w, uint64_t now_us,
                          const ConnectionWarmupView *view,
                          uint64_t instance_age_us)
{
    if (is_equal(&w->view, view)) {
        return;
    }
    w->view = *view;
    w->until_us = view->owner ? now_us + kWindowUs : 0;
    w->everyone = instance_age_us < kUnknownUs;
}

/* Records that a connection could not be opened: none is opened ahead for a
 * second. */
void
connection_warmup_failed(ConnectionWarmup *w, uint64_t now_us)
{
    w->paused_until_us = now_us + kPauseUs;
}

/* Records that all teams have their connections. */
void
connection_warmup_done(ConnectionWarmup *w)
{
    w->until_us = 0;
}

/* Tells whether connections are opened ahead at present. */
gboolean
connection_warmup_is_active(const ConnectionWarmup *w, uint64_t now_us)
{
    return now_us < w->until_us && now_us >= w->paused_until_us;
}

/* Tells whether a connection may be opened ahead now: below the owner's limit
 * less a reserve, in a free slot, and at most a quarter of the slots at a
 * time; a server with fewer than four slots has to be idle. */
gboolean
connection_warmup_may_open(const ConnectionWarmup *w, uint64_t now_us,
                           const ConnectionWarmupLoad *load)
{
    uint32_t reserve = (load->limit + kReserveParts - 1) / kReserveParts;

    if (!load->usable || !connection_warmup_is_active(w, now_us) ||
        load->connections + reserve >= load->limit ||
        load->busy >= load->slots) {
        return FALSE;
    }
    return load->slots < kSlotParts ? load->busy == 0
                                    : load->ahead < load->slots / kSlotParts;
}

/* Returns the index of the team that gets the next connection, or
 * kConnectionWarmupNone.  It has none yet, its work is expected, and it
 * prefers this server, the one with the largest affinity first. */
int
connection_warmup_choose(const ConnectionWarmup *w,
                         const ConnectionWarmupTeam *teams, size_t count)
{
    int best = kConnectionWarmupNone;

    for (size_t i = 0; i < count; i++) {
        const ConnectionWarmupTeam *t = &teams[i];
        if (!t->admitted || !t->prefers || t->connections > 0 ||
            (!w->everyone && t->used_ago_us >= kUsedUs)) {
            continue;
        }
        if (best == kConnectionWarmupNone ||
            t->affinity > teams[best].affinity) {
            best = (int)i;
        }
    }
    return best;
}
