#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* A consumer sends a statement whose data has a line feed in it, followed by
 * what looks like another statement.  Only CR LF ends a message, so a member
 * must get this one statement, unchanged, or none. */

enum { kRounds = 4 };

static const char kManifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"rounds\","
    "\"path-prefix\":\"/\",\"kind\":\"primary\",\"timeout-ms\":800,"
    "\"target-latency-ms\":150,\"priority\":1,\"service\":\"svc-rounds\","
    "\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":"
    "\"svc-rounds\",\"health-path\":\"/healthz\",\"max-conns\":23,"
    "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}],\"limits\":"
    "{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
    "\"tx-idle-ms\":3000},\"tenants\":[{\"name\":\"crew\",\"api-keys\":"
    "[\"key-crew-1\"],\"priority\":1,\"rate-per-s\":200,\"burst\":200}]}";

static char sent_ids[kRounds][17];
static char sent_texts[kRounds][160];
static char inner_ids[kRounds][17];
static int n_sent;
static int broken;
static int right;

static void
check(const Run *run, void *arg)
{
    (void)arg;
    for (int i = 0; i < n_sent; i++) {
        if (strcmp(run->id, inner_ids[i]) == 0) {
            record("BROKEN: a member ran %s %s, which was only part of the "
                   "data of %s",
                   run->id, run->text, sent_ids[i]);
            broken++;
        }
        if (strcmp(run->id, sent_ids[i]) != 0) {
            continue;
        }
        if (strcmp(run->text, sent_texts[i]) == 0) {
            right++;
            continue;
        }
        record("BROKEN: a member ran %s with the changed text %s", run->id,
               run->text);
        broken++;
    }
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    char separator =
        trouble != NULL && strcmp(trouble, "0") == 0 ? ' ' : '\n';
    static Consumer c;
    Setup setup = {2, 6, 23, "ab"};
    Answer a;

    record_open(argc > 1 ? argv[1] : "record.txt");
    fleet_start(&setup);
    if (put_manifest(kManifest) < 0 ||
        !wait_until_served("rounds", "key-crew-1")) {
        cannot_run("the system does not serve");
    }
    for (int i = 0; i < kRounds; i++) {
        if (!consumer_open(&c, i % 2, "rounds", "key-crew-1")) {
            cannot_run("no session");
        }
        new_id(sent_ids[i]);
        new_id(inner_ids[i]);
        snprintf(sent_texts[i], sizeof(sent_texts[i]),
                 "WRITE 51 note%cQUERY %s WRITE 52 withdrawn", separator,
                 inner_ids[i]);
        n_sent++;
        consumer_query(&c, sent_ids[i], sent_texts[i], &a, 1500);
        record("consumer: one message, %s WRITE 51 note(%s)QUERY %s WRITE 52 "
               "withdrawn -> %s%s",
               sent_ids[i], separator == '\n' ? "LF" : "blank", inner_ids[i],
               a.completed ? "COMPLETE " : "ERROR ",
               a.completed ? a.mac : a.code);
        sleep_ms(300);
        consumer_close(&c);
    }
    each_run(check, NULL);
    record("%d messages sent, %d run unchanged, %d faults", n_sent, right,
           broken);
    fleet_stop();
    return broken > 0 ? 1 : 0;
}
