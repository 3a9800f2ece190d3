#ifndef SAPPHIREWEIR_CORE_METRICS_DEFS_H
#define SAPPHIREWEIR_CORE_METRICS_DEFS_H

#include <stdint.h>

#include "core/histogram.h"

/* All counters: suffix of the enum constant, exposed name, help text.  Exposed
 * names must not change, since operators' tools query them. */
#define METRICS_COUNTERS(X)                                                   \
    X(Requests, "requests_total", "Caller requests received")                 \
    X(Admitted, "admitted_total", "Keyed requests within the rate")           \
    X(Answered, "answers_total", "Requests answered with a result")           \
    X(RefusedNotRun, "refused_not_run_total", "Refusals certain not to run")  \
    X(RefusedUnknown, "refused_unknown_total", "Refusals, outcome unknown")   \
    X(RefusedInput, "refused_input_total", "Requests that were malformed")    \
    X(RefusedKey, "refused_key_total", "Missing, unknown or withdrawn keys")  \
    X(RefusedRate, "refused_rate_total", "Requests above the team's rate")    \
    X(RefusedLease, "refused_lease_total", "Keyed work without a lease")      \
    X(RefusedQueue, "refused_queue_total", "Queue full or deadline unmet")    \
    X(RefusedRoute, "refused_route_total", "No member could serve")           \
    X(RefusedEvacuated, "refused_evacuated_total",                            \
      "Work refused as its failure domain is evacuated")                      \
    X(EvacuationRollbacks, "evacuation_rollbacks_total",                      \
      "Transactions rolled back by an evacuation")                            \
    X(ReadsReplica, "reads_replica_total", "Reads served by replicas")        \
    X(ReadsPrimary, "reads_primary_total", "Reads served by primaries")       \
    X(ReadsEligible, "reads_eligible_total", "Reads a replica may serve")     \
    X(PrimaryNoReplica, "primary_no_replica_total", "No live replica")        \
    X(PrimaryToken, "primary_token_total", "No replica covered the token")    \
    X(PrimaryStale, "primary_stale_total", "No replica was fresh enough")     \
    X(PrimaryStrict, "primary_strict_total", "Read accepts no staleness")     \
    X(PrimaryPrice, "primary_price_total", "Price of a replica elsewhere")    \
    X(Writes, "writes_total", "Writes acknowledged")                          \
    X(Replayed, "replayed_total", "Repeats answered from their record")       \
    X(Retries, "retries_total", "Attempts after the first")                   \
    X(RetryBudgetEmpty, "retry_budget_empty_total", "Retries not allowed")    \
    X(Relayed, "relayed_total", "Work sent to another pool owner")            \
    X(PoolConnects, "pool_connects_total", "Backend connections opened")      \
    X(PoolUnresponsive, "pool_silent_total", "Connections dropped as silent") \
    X(PoolDeadline, "pool_deadline_total",                                    \
      "Statements ended at their request's deadline")                         \
    X(PoolLost, "pool_lost_total", "Backend connections lost")                \
    X(CommitWaits, "commit_waits_total", "Commits that awaited a majority")   \
    X(CommitUnconfirmed, "commit_unheld_total",                               \
      "Commits not held by a majority")                                       \
    X(TokensGranted, "tokens_granted_total", "Rate tokens handed out")        \
    X(TokensExpired, "tokens_expired_total", "Rate tokens discarded as late") \
    X(LeaseRenewals, "lease_renewals_total", "Control lease renewals")        \
    X(LeaseLosses, "lease_losses_total", "Times the control lease ran out")   \
    X(StateUpdates, "state_updates_total", "Configuration updates applied")   \
    X(SessionTokensInvalid, "session_tokens_forged_total",                    \
      "Bad session tokens")                                                   \
    X(PeerGarbage, "peer_garbage_total", "Peer frames that made no sense")    \
    X(Elections, "elections_total", "Elections started")                      \
    X(Commits, "log_commits_total", "Log entries applied")                    \
    X(Snapshots, "snapshots_total", "Snapshots written")                      \
    X(SnapshotsPostponed, "snapshots_postponed_total",                        \
      "Snapshots that did not fit on the disk")                               \
    X(Syncs, "syncs_total", "Disk syncs")                                     \
    X(DiskFull, "disk_full_total", "Times the data folder had no room")       \
    X(Promotions, "promotions_total", "Promotions finished")                  \
    X(EvacuationMoves, "evacuation_moves_total",                              \
      "Changes of a primary begun by an evacuation")                          \
    X(InstancesExpired, "instances_expired_total", "Instances removed")

typedef enum {
#define X(id, name, help) kMetric##id,
    METRICS_COUNTERS(X)
#undef X
        kMetricCount,
} MetricId;

/* All histograms, with the same columns.  Values are in microseconds. */
#define METRICS_HISTOGRAMS(X)                                                 \
    X(RequestTime, "request_time_us", "Caller request time")                  \
    X(QueueTime, "queue_time_us", "Time in a pool owner's queue")             \
    X(ServiceTime, "service_time_us", "Time on a backend server")             \
    X(CommitTime, "commit_wait_us", "Wait for a majority of members")         \
    X(LeaseTime, "lease_time_us", "Control lease round trip")

typedef enum {
#define X(id, name, help) kHistogram##id,
    METRICS_HISTOGRAMS(X)
#undef X
        kHistogramCount,
} HistogramId;

/* The counters and histograms of one process. */
typedef struct {
    uint64_t counters[kMetricCount];
    Histogram histograms[kHistogramCount];
} Metrics;

#endif
