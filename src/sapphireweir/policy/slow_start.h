#ifndef SAPPHIREWEIR_POLICY_SLOW_START_H
#define SAPPHIREWEIR_POLICY_SLOW_START_H

#include <glib.h>
#include <stdint.h>

enum {
    kSlowStartSlots = 40,
    /* A new owner sends nothing for so long: a second, in which requests of
     * the former one still count, and the time that these may be under way. */
    kSlowStartOwnerPauseUs = 1500000,
};

/* Rate of a server that is not limited. */
#define SLOW_START_UNLIMITED UINT64_MAX

/* What is known of one run of a backend server. */
typedef struct {
    uint64_t seen_us;           /* when the run was first seen */
    gboolean reported;          /* a status report stated the time left */
    uint64_t reported_us;       /* when the newest such report arrived */
    uint64_t reported_until_us; /* end of the cold period by that report */
    uint64_t broken_us;   /* when a connection to it broke, zero: never */
    uint64_t restored_us; /* end of its domain's evacuation, zero: never */
} SlowStartRun;

/* Contact of this instance with a server over connections of its own. */
typedef struct {
    uint64_t answered_us; /* last answer, zero: never */
    /* When a connection was opened that may lead to a run that has not been
     * reported yet, zero: none. */
    uint64_t unproven_us;
    gboolean asked; /* a report was requested for that connection */
} SlowStartContact;

/* What an instance knows of who owns a server's connections. */
typedef struct {
    uint64_t named_us;       /* when it was named the owner, zero: it is not */
    uint64_t leased_us;      /* since when it has held a lease without a gap */
    uint64_t lease_until_us; /* end of that lease */
} SlowStartOwner;

/* What is known of a server's run at a control instance, or by the entry
 * instance that asks for a later report of it. */
typedef struct {
    int64_t born_ms;   /* identifies the run; a larger one is newer */
    uint64_t sequence; /* of its newest report */
    gboolean cold;     /* by that report */
    gboolean gone;
} SlowStartKnown;

/* How many requests one sender may send. */
typedef struct {
    gboolean limited;
    uint32_t budget;    /* requests in a window */
    uint32_t oversize;  /* by which a single batch may exceed the budget */
    uint64_t window_us; /* at least a second */
    /* The sender may only send in a short slot of each window, which seed
     * chooses; used where senders share less than a request each second. */
    gboolean slotted;
    uint64_t seed;
} SlowStartShare;

/* Requests of one sender to one server that may count in the present second:
 * those without an answer and those answered within the last second. */
typedef struct {
    uint32_t open;
    uint32_t answered[kSlowStartSlots]; /* by time modulo the size */
    uint64_t newest_slot;
    uint64_t blocked_until_us; /* after a batch above the budget */
} SlowStartWindow;

uint64_t slow_start_cold_until_us(const SlowStartRun *run,
                                  uint64_t cold_start_us);
gboolean slow_start_may_be_new(const SlowStartRun *run,
                               const SlowStartContact *contact,
                               uint64_t now_us, uint64_t cold_start_us);
gboolean slow_start_opened(SlowStartContact *contact, uint64_t now_us);
gboolean slow_start_contact(SlowStartContact *contact, uint64_t now_us);
gboolean slow_start_answers(const SlowStartKnown *known,
                            const SlowStartKnown *asked);
uint64_t slow_start_allowed_milli(uint64_t limit_milli, uint64_t cold_until_us,
                                  uint64_t now_us, uint64_t capacity_milli);
uint32_t slow_start_weight_milli(uint64_t allowed_milli,
                                 uint64_t capacity_milli);
SlowStartShare slow_start_owner_share(uint64_t allowed_milli);
SlowStartShare slow_start_direct_share(uint64_t allowed_milli,
                                       uint32_t instances, uint64_t seed);
gboolean slow_start_is_owner(const SlowStartOwner *owner, uint64_t now_us);
uint64_t slow_start_owner_pause_us(const SlowStartOwner *owner,
                                   uint64_t now_us);
uint64_t slow_start_wait_us(const SlowStartWindow *w, uint64_t now_us,
                            const SlowStartShare *share, uint32_t cost);
uint64_t slow_start_queue_wait_us(const SlowStartShare *share,
                                  uint64_t wait_us, uint64_t ahead,
                                  uint64_t cost_milli);
void slow_start_sent(SlowStartWindow *w, uint64_t now_us,
                     const SlowStartShare *share, uint32_t cost);
void slow_start_answered(SlowStartWindow *w, uint64_t now_us,
                         const SlowStartShare *share, uint32_t cost);

#endif
