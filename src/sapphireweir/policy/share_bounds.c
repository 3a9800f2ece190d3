#include "policy/share_bounds.h"

/* Bounds of the shares of rates that entry instances hold.  Addresses the loss
 * of the leader and of an instance with most of a team's callers at the same
 * time: the next leader must reserve what that instance still uses, and no
 * message tells it.
 *
 * A leader grants no share above the bound, or kUnboundedShareMicro, and the
 * bounds are committed to the replicated log.  Thus each later leader knows a
 * bound of every share.  A bound is raised before a larger share is granted.
 * It is lowered only when the instance has confirmed a smaller share, and the
 * leader grants none above the lower bound from its proposal on. */

enum {
    /* A share that exceeds its bound by less is cut to it, since each change
     * of a bound is an entry of the log: 1 / parts of the bound. */
    kRaiseParts = 8,
    /* A bound is too high if the share is below this part of it. */
    kLowerNumerator = 3,
    kLowerDenominator = 4,
    /* An instance that was granted no share uses an equal part, divided by
     * this; kUnknownShareParts in the gateway. */
    kUnknownShareParts = 2,
};

/* Initializes a table without bounds. */
void
share_bounds_init(ShareBounds *b)
{
    b->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       (GDestroyNotify)g_hash_table_destroy);
    b->count = 0;
}

/* Frees the table. */
void
share_bounds_clear(ShareBounds *b)
{
    g_clear_pointer(&b->entries, g_hash_table_destroy);
    b->count = 0;
}

/* Returns the bound of an instance's share of a team, in millionths; zero if
 * there is none. */
uint32_t
share_bounds_get(const ShareBounds *b, uint64_t entry, uint64_t team)
{
    GHashTable *teams = g_hash_table_lookup(b->entries, &entry);

    return teams == NULL ? 0
                         : GPOINTER_TO_UINT(g_hash_table_lookup(teams, &team));
}

/* Tells whether there is a bound for an instance. */
gboolean
share_bounds_has_entry(const ShareBounds *b, uint64_t entry)
{
    return g_hash_table_contains(b->entries, &entry);
}

/* Sets the bound of an instance's share of a team; zero removes it. */
void
share_bounds_set(ShareBounds *b, uint64_t entry, uint64_t team,
                 uint32_t bound_micro)
{
    GHashTable *teams = g_hash_table_lookup(b->entries, &entry);

    if (bound_micro == 0) {
        if (teams != NULL && g_hash_table_remove(teams, &team)) {
            b->count--;
            if (g_hash_table_size(teams) == 0) {
                g_hash_table_remove(b->entries, &entry);
            }
        }
        return;
    }
    if (teams == NULL) {
        teams =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        g_hash_table_insert(b->entries, g_memdup2(&entry, sizeof(entry)),
                            teams);
    }
    b->count += g_hash_table_replace(teams, g_memdup2(&team, sizeof(team)),
                                     GUINT_TO_POINTER(bound_micro));
}

/* Returns what a leader knows of a share that it has not granted yet. */
ShareHold
share_hold_new(uint64_t now_us, uint32_t bound_micro)
{
    return (ShareHold){
        .held_micro = MAX(bound_micro, (uint32_t)kUnboundedShareMicro),
        .cap_micro = UINT32_MAX,
        .needed_us = now_us,
    };
}

/* Returns the part of a wanted share that may be granted now. */
uint32_t
share_hold_usable(const ShareHold *h, uint32_t bound_micro,
                  uint32_t wanted_micro)
{
    uint32_t bound = MIN(bound_micro, h->cap_micro);

    return MIN(wanted_micro, MAX(bound, (uint32_t)kUnboundedShareMicro));
}

/* Records that a grant lists all shares; share_hold_confirmed will refer to
 * it. */
void
share_hold_list_begun(ShareHold *h)
{
    h->listed = FALSE;
}

/* Records a share in a grant.  in_list: it is the grant of the newest list. */
void
share_hold_sent(ShareHold *h, uint32_t share_micro, gboolean near_limit,
                gboolean in_list)
{
    h->sent_micro = share_micro;
    h->near_limit = near_limit;
    h->held_micro = MAX(h->held_micro, share_micro);
    h->since_micro = in_list ? share_micro : MAX(h->since_micro, share_micro);
    h->listed = h->listed || in_list;
}

/* Records that the instance has got the newest list; it uses no share that was
 * sent before. */
void
share_hold_confirmed(ShareHold *h)
{
    if (h->listed) {
        h->held_micro = h->since_micro;
        h->confirmed = TRUE;
    }
}

/* Records that the instance has restarted and holds no granted share. */
void
share_hold_restarted(ShareHold *h)
{
    h->listed = FALSE;
    h->confirmed = FALSE;
}

/* Returns what the instance may use without the leader.  h is NULL if this
 * leader has not divided the team's limit; equal_micro is an equal part of it,
 * which counts if nothing else is known, since a former leader may not have
 * set bounds. */
uint32_t
share_hold_reserved(const ShareHold *h, uint32_t bound_micro,
                    uint32_t equal_micro)
{
    uint32_t held = h != NULL
                        ? h->held_micro
                        : MAX(bound_micro, (uint32_t)kUnboundedShareMicro);

    if (h != NULL && h->confirmed) {
        return held;
    }
    return MAX(held, bound_micro != 0 ? equal_micro / kUnknownShareParts
                                      : equal_micro);
}

/* Returns the bound that is to be proposed, or bound_micro if it need not
 * change.  A lower one takes effect for share_hold_usable at once, since its
 * proposal may be committed at any time.  No other change may be under way. */
uint32_t
share_hold_next_bound(ShareHold *h, uint64_t now_us, uint32_t bound_micro,
                      uint32_t wanted_micro)
{
    uint32_t needed = MAX(h->held_micro, wanted_micro);
    uint32_t allowed = share_hold_usable(h, bound_micro, UINT32_MAX);

    if (wanted_micro > allowed + allowed / kRaiseParts) {
        h->cap_micro = needed;
        h->needed_us = now_us;
        return needed;
    }
    if (!h->confirmed || (uint64_t)needed * kLowerDenominator >=
                             (uint64_t)bound_micro * kLowerNumerator) {
        h->needed_us = now_us;
        return bound_micro;
    }
    if (now_us - h->needed_us < kShareBoundKeptUs) {
        return bound_micro;
    }
    h->needed_us = now_us;
    h->cap_micro = needed;
    return needed > kUnboundedShareMicro ? needed : 0;
}
