#ifndef SAPPHIREWEIR_POLICY_SHARE_BOUNDS_H
#define SAPPHIREWEIR_POLICY_SHARE_BOUNDS_H

#include <glib.h>
#include <stdint.h>

enum {
    /* A share up to this one needs no bound, in millionths.  With 64 or more
     * entry instances, those without demand have less. */
    kUnboundedShareMicro = 3900,
    /* A bound is lowered after it was too high for this long: longer than the
     * window of the rates and the life of a token. */
    kShareBoundKeptUs = 6000000,
    /* Changes proposed together, every 0.5 s: with 66 entry instances 3.1 KB,
     * 5 percent of a link of 2 Mbit/s to two other control instances. */
    kShareBoundChangesMax = 192,
};

/* Bounds of the shares that entry instances may hold, as all control instances
 * know them: hash of an instance -> (hash of a team -> millionths). */
typedef struct {
    GHashTable *entries; /* uint64_t -> GHashTable, owned */
    uint32_t count;      /* of all bounds */
} ShareBounds;

/* What the leader knows of an entry instance's share of a team's limit, in
 * millionths. */
typedef struct {
    uint32_t sent_micro; /* in the last grant that had it */
    gboolean near_limit; /* as stated in that grant */
    uint32_t held_micro; /* the largest that the instance may hold */
    /* The largest one in the newest list of all shares or after it. */
    uint32_t since_micro;
    gboolean listed;    /* that list has it */
    gboolean confirmed; /* the instance has got such a list */
    uint32_t cap_micro; /* the bound that was proposed last */
    uint64_t needed_us; /* when the bound was last not too high */
} ShareHold;

void share_bounds_init(ShareBounds *b);
void share_bounds_clear(ShareBounds *b);
uint32_t share_bounds_get(const ShareBounds *b, uint64_t entry, uint64_t team);
gboolean share_bounds_has_entry(const ShareBounds *b, uint64_t entry);
void share_bounds_set(ShareBounds *b, uint64_t entry, uint64_t team,
                      uint32_t bound_micro);

ShareHold share_hold_new(uint64_t now_us, uint32_t bound_micro);
uint32_t share_hold_usable(const ShareHold *h, uint32_t bound_micro,
                           uint32_t wanted_micro);
void share_hold_list_begun(ShareHold *h);
void share_hold_sent(ShareHold *h, uint32_t share_micro, gboolean near_limit,
                     gboolean in_list);
void share_hold_confirmed(ShareHold *h);
void share_hold_restarted(ShareHold *h);
uint32_t share_hold_reserved(const ShareHold *h, uint32_t bound_micro,
                             uint32_t equal_micro);
uint32_t share_hold_next_bound(ShareHold *h, uint64_t now_us,
                               uint32_t bound_micro, uint32_t wanted_micro);

#endif
