#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* A service with sync-replicas 1.  One replica receives nothing for a while,
 * meanwhile the primary crashes, and so does the next primary.  A member
 * without the acknowledged commits must not be promoted. */

enum {
    kConsumers = 6,
    kCalmMs = 2000,
    kDeafMs = 6500,  /* of the replica */
    kWriteMs = 900,  /* with the replica deaf */
    kCrashMs = 7000, /* until a member that crashed is back */
    kServedMs = 400, /* that the second primary has served */
    kWaitMs = 6000,  /* at the end */
    kMaxWrites = 20000,
    kPollMs = 10,
};

static const char kManifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"rounds\","
    "\"path-prefix\":\"/\",\"kind\":\"primary\",\"timeout-ms\":800,"
    "\"target-latency-ms\":150,\"priority\":1,\"service\":\"svc-rounds\","
    "\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":"
    "\"svc-rounds\",\"health-path\":\"/healthz\",\"max-conns\":23,"
    "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}],\"limits\":"
    "{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
    "\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\",\"api-keys\":"
    "[\"key-crew-1\"],\"priority\":1,\"rate-per-s\":2000,\"burst\":2000}]}";

static char (*acknowledged)[17];
static int n_acknowledged;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool writing = true;
static volatile bool stopping;
static volatile long n_reads;
static int lost;
static int promotions;

static void *
consumer_thread(void *arg)
{
    int number = (int)(intptr_t)arg;
    Consumer *c = calloc(1, sizeof(*c));
    bool open = false;
    while (!stopping) {
        Answer a;
        char id[17];
        if (!open) {
            open = consumer_open(c, number % 3, "rounds", "key-crew-1");
        }
        bool writes = writing;
        new_id(id);
        if (open) {
            consumer_query(c, id, writes ? "WRITE 61 booking" : "READ 61", &a,
                           1500);
        }
        if (!open || !a.whole) {
            consumer_close(c);
            open = false;
            sleep_ms(20);
            continue;
        }
        pthread_mutex_lock(&lock);
        if (writes && a.completed && n_acknowledged < kMaxWrites) {
            strcpy(acknowledged[n_acknowledged++], id);
        }
        n_reads += !writes && a.completed;
        pthread_mutex_unlock(&lock);
        sleep_ms(kPollMs);
    }
    consumer_close(c);
    free(c);
    return NULL;
}

/* Checks the log of a member that is about to lead. */
static void
check_promotion(int member, size_t commits)
{
    int missing = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < n_acknowledged; i++) {
        if (commit_position_locked(acknowledged[i]) > commits) {
            if (missing++ < 3) {
                record("BROKEN: write %s was acknowledged, and is not in the "
                       "log of the member that is promoted",
                       acknowledged[i]);
            }
        }
    }
    record("member %d is promoted with %zu commits; %d writes were "
           "acknowledged so far, %d of them are not in its log",
           member, commits, n_acknowledged, missing);
    lost += missing;
    promotions++;
    pthread_mutex_unlock(&lock);
}

/* Waits until reads are served again; returns false at the time limit. */
static bool
wait_for_reads(long more, int64_t limit_ms)
{
    long target = n_reads + more;
    int64_t end = now_ms() + limit_ms;
    while (n_reads < target && now_ms() < end) {
        sleep_ms(kPollMs);
    }
    return n_reads >= target;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool disrupt = trouble == NULL || strcmp(trouble, "0") != 0;
    pthread_t threads[kConsumers];
    Setup setup = {3, 6, 23, "abc", 1};

    record_open(argc > 1 ? argv[1] : "record.txt");
    acknowledged = calloc(kMaxWrites, sizeof(*acknowledged));
    on_promoted(check_promotion);
    fleet_start(&setup);
    if (put_manifest(kManifest) < 0 ||
        !wait_until_served("rounds", "key-crew-1")) {
        cannot_run("the system does not serve");
    }
    for (int i = 0; i < kConsumers; i++) {
        pthread_create(&threads[i], NULL, consumer_thread,
                       (void *)(intptr_t)i);
    }
    sleep_ms(kCalmMs);
    int64_t deaf = now_ms();
    if (disrupt) {
        member_deaf(2, true);
    }
    sleep_ms(kWriteMs);
    writing = false;
    sleep_ms(200);
    record("%d writes acknowledged; consumers only read from now on",
           n_acknowledged);
    if (n_acknowledged == 0) {
        cannot_run("no write was acknowledged");
    }
    int64_t first = now_ms();
    if (disrupt) {
        member_crash(0);
        while (promotions == 0 && now_ms() < first + 5000) {
            sleep_ms(kPollMs);
        }
        if (promotions == 0 || member_primary() != 1) {
            sleep_ms(100);
        }
        if (!wait_for_reads(20, 3000) || member_primary() != 1) {
            cannot_run("the second primary does not serve");
        }
        sleep_ms(kServedMs);
        int64_t second = now_ms();
        member_crash(1);
        bool back[3] = {false, false, false};
        while (now_ms() < second + kCrashMs + kWaitMs) {
            if (!back[2] && now_ms() >= deaf + kDeafMs) {
                member_deaf(2, false);
                back[2] = true;
            }
            if (!back[0] && now_ms() >= first + kCrashMs) {
                member_restart(0);
                back[0] = true;
            }
            if (!back[1] && now_ms() >= second + kCrashMs) {
                member_restart(1);
                back[1] = true;
            }
            sleep_ms(kPollMs);
        }
    }
    else {
        sleep_ms(kCrashMs + kWaitMs);
    }
    stopping = true;
    for (int i = 0; i < kConsumers; i++) {
        pthread_join(threads[i], NULL);
    }
    record("%d writes acknowledged, %d promotions, %d acknowledged writes "
           "were not in the log of a member that was promoted",
           n_acknowledged, promotions, lost);
    fleet_stop();
    if (disrupt && promotions < 2) {
        record("no second promotion");
    }
    return lost > 0 ? 1 : 0;
}
