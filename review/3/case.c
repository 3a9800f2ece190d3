#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* An entry process gets SIGTERM while consumers send one statement after the
 * other.  No request may be cut off. */

enum {
    kSessions = 16,
    kQuietMs = 5000, /* before SIGTERM */
    kAfterMs = 8000, /* until the consumers stop */
    kGraceMs = 6000,
    kExcusedSentMs = 3000, /* a request sent later must get its answer */
    kExcusedCutMs = 5000,  /* last sixth of the grace */
    kMaxCuts = 1024,
};

static const char kManifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"lists\","
    "\"path-prefix\":\"/\",\"kind\":\"read_your_writes\",\"timeout-ms\":800,"
    "\"target-latency-ms\":250,\"priority\":1,\"service\":\"svc-rounds\","
    "\"max-attempts\":2,\"max-staleness-ms\":2500,\"public\":false}],"
    "\"services\":[{\"name\":"
    "\"svc-rounds\",\"health-path\":\"/healthz\",\"max-conns\":46,"
    "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}],\"limits\":"
    "{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
    "\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\",\"api-keys\":"
    "[\"key-crew-1\"],\"priority\":1,\"rate-per-s\":5000,\"burst\":5000}]}";

/* A request whose connection ended before its answer was complete. */
typedef struct {
    char id[17];
    char text[32];
    int64_t sent_ms;
    int64_t cut_ms;
    int64_t arrived_ms; /* at a member, -1: never */
} Cut;

static Cut cuts[kMaxCuts];
static int n_cuts;
static long n_answered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool stopping;
static volatile int64_t term_ms = INT64_MAX;

/* Sends one statement after the other, at entry-1 while the balancer sends
 * new connections there, else at entry-0. */
static void *
session_thread(void *arg)
{
    int number = (int)(intptr_t)arg;
    Consumer *c = calloc(1, sizeof(*c));
    while (!stopping) {
        int entry = entry_in_rotation(1) ? 1 : 0;
        if (!consumer_open(c, entry, "lists", "key-crew-1")) {
            consumer_close(c);
            sleep_ms(50);
            continue;
        }
        for (long i = 0; !stopping; i++) {
            char id[17];
            char text[32];
            Answer a;
            snprintf(text, sizeof(text),
                     i % 8 == 7 ? "WRITE %d done" : "READ %d", number);
            new_id(id);
            int64_t sent = now_ms();
            consumer_query(c, id, text, &a, 1500);
            pthread_mutex_lock(&lock);
            n_answered += a.whole;
            if (!a.whole && n_cuts < kMaxCuts) {
                Cut *cut = &cuts[n_cuts++];
                *cut = (Cut){.sent_ms = sent,
                             .cut_ms = a.closed ? now_ms() : -1,
                             .arrived_ms = -1};
                strcpy(cut->id, id);
                strcpy(cut->text, text);
            }
            pthread_mutex_unlock(&lock);
            if (!a.whole) {
                break;
            }
        }
        consumer_close(c);
    }
    free(c);
    return NULL;
}

static void
find_arrival(const Run *run, void *arg)
{
    (void)arg;
    for (int i = 0; i < n_cuts; i++) {
        if (strcmp(cuts[i].id, run->id) == 0) {
            cuts[i].arrived_ms = run->arrived_ms;
        }
    }
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool stop_entry = trouble == NULL || strcmp(trouble, "0") != 0;
    pthread_t threads[kSessions];
    Setup setup = {2, 18, 46, "ab", 0};
    int broken = 0;

    record_open(argc > 1 ? argv[1] : "record.txt");
    fleet_start(&setup);
    if (put_manifest(kManifest) < 0 ||
        !wait_until_served("lists", "key-crew-1")) {
        cannot_run("the system does not serve");
    }
    for (int i = 0; i < kSessions; i++) {
        pthread_create(&threads[i], NULL, session_thread, (void *)(intptr_t)i);
    }
    sleep_ms(kQuietMs);
    if (stop_entry) {
        term_ms = now_ms();
        entry_signal(1, SIGTERM);
        entry_wait(1);
        record("entry-1 ended %lld ms after SIGTERM",
               (long long)(now_ms() - term_ms));
        sleep_ms(term_ms + kAfterMs - now_ms());
    }
    else {
        sleep_ms(kAfterMs);
    }
    stopping = true;
    for (int i = 0; i < kSessions; i++) {
        pthread_join(threads[i], NULL);
    }
    each_run(find_arrival, NULL);
    for (int i = 0; i < n_cuts; i++) {
        const Cut *c = &cuts[i];
        int64_t sent = c->sent_ms - term_ms;
        int64_t cut = c->cut_ms - term_ms;
        bool planned =
            stop_entry && c->cut_ms >= 0 && cut >= 0 && cut <= kGraceMs + 1000;
        bool excused = sent <= kExcusedSentMs && cut >= kExcusedCutMs;
        bool counts = planned && !excused && c->arrived_ms >= 0;
        record("%s: %s %s sent %lld ms after SIGTERM, at a member after "
               "%lld ms, connection ended after %lld ms without an answer",
               counts ? "BROKEN" : "not counted", c->id, c->text,
               (long long)sent,
               (long long)(c->arrived_ms < 0 ? -1 : c->arrived_ms - term_ms),
               (long long)cut);
        broken += counts;
    }
    record("answered %ld, cut off %d, of these against the rule %d",
           n_answered, n_cuts, broken);
    fleet_stop();
    if (n_answered < 1000) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
