#ifndef SAPPHIREWEIR_POLICY_CROSSING_H
#define SAPPHIREWEIR_POLICY_CROSSING_H

#include "policy/admission.h"
#include "policy/placement.h"

/* Why work goes to another failure domain, or stays. */
typedef enum {
    kCrossingNotBetter,  /* stays: nothing elsewhere is expected earlier */
    kCrossingHysteresis, /* stays: the expected gain is too small */
    kCrossingShare,      /* stays: only a share of such work goes */
    kCrossingPrice,      /* stays: the gain is worth less than the price */
    kCrossingWait,       /* goes: it is expected to be served earlier */
    kCrossingConnection, /* goes: its team's connections are there */
    kCrossingNoServer,   /* goes: no server at home can serve it */
    kCrossingOnlyServer, /* goes: no choice, only one server may run it */
    kCrossingReasons,
} CrossingReason;

/* The work that is to be placed. */
typedef struct {
    uint32_t level;    /* admission level */
    uint64_t limit_us; /* the price counts up to this wait at home */
    uint32_t random;   /* any number */
} CrossingWork;

typedef struct {
    gboolean crossed;
    CrossingReason reason;
    /* Expected times to the answer at home and elsewhere, without the price;
     * zero: no server there. */
    uint64_t here_us, there_us;
    /* Candidate whose owner is to be asked for its load, or kPlacementNone. */
    int ask;
} CrossingDecision;

/* The state of the decision for the servers of one database. */
typedef struct {
    uint64_t until_us[kAdmissionLevels]; /* work of the level is crossing */
    /* Share of the work that crosses, in thousandths, and its last change. */
    uint32_t share_permille;
    uint64_t share_us;
    uint64_t asked_us; /* last request for a load */
} Crossing;

int crossing_choose(Crossing *state, uint64_t now_us,
                    const PlacementCandidate *candidates, size_t count,
                    const CrossingWork *work, CrossingDecision *out);
const char *crossing_reason_name(CrossingReason reason);

#endif
