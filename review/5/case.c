#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* A manifest gives a key to another tenant while a consumer with that key has
 * a transaction open.  Later statements must not run for the former tenant. */

enum {
    kPauseMs = 1500, /* between statements; tx-idle-ms is 3,000 */
    kStatements = 5, /* after the manifest */
    kApplyMs = 3000, /* config-apply-ms */
};

/* The tenant that holds the key "key-shared" is the argument. */
static const char kManifest[] =
    "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"rounds\","
    "\"path-prefix\":\"/\",\"kind\":\"primary\",\"timeout-ms\":800,"
    "\"target-latency-ms\":150,\"priority\":1,\"service\":\"svc-rounds\","
    "\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":"
    "\"svc-rounds\",\"health-path\":\"/healthz\",\"max-conns\":23,"
    "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}],\"limits\":"
    "{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
    "\"tx-idle-ms\":3000},\"tenants\":["
    "{\"name\":\"crew\",\"api-keys\":[\"key-crew-1\"%s],\"priority\":1,"
    "\"rate-per-s\":200,\"burst\":200},"
    "{\"name\":\"office\",\"api-keys\":[\"key-office-1\"%s],\"priority\":1,"
    "\"rate-per-s\":200,\"burst\":200}]}";

static int64_t moved_ms = -1; /* when the second manifest was acknowledged */
static int broken;
static int later;
static char ids[kStatements + 8][17];
static int n_ids;

static int64_t
put(int version, bool crew_holds)
{
    char text[2048];
    snprintf(text, sizeof(text), kManifest, version,
             crew_holds ? ",\"key-shared\"" : "",
             crew_holds ? "" : ",\"key-shared\"");
    return put_manifest(text);
}

static void
ask(Consumer *c, const char *text, Answer *a)
{
    char *id = ids[n_ids++];
    new_id(id);
    consumer_query(c, id, text, a, 1500);
    record("consumer: %s %s -> %s%s state %c", id, text,
           a->completed ? "COMPLETE " : "ERROR ",
           a->completed ? a->mac : a->code, a->whole ? a->state : '-');
}

static void
check(const Run *run, void *arg)
{
    bool own = false;
    (void)arg;
    for (int i = 0; i < n_ids; i++) {
        own |= strcmp(run->id, ids[i]) == 0;
    }
    if (!own || moved_ms < 0 || run->arrived_ms <= moved_ms + kApplyMs) {
        return;
    }
    later++;
    bool wrong = strcmp(run->tenant, "office") != 0;
    record("%s: %s %s ran for tenant %s, %lld ms after the acknowledgement "
           "of the manifest that gave its key to office",
           wrong ? "BROKEN" : "right", run->id, run->text, run->tenant,
           (long long)(run->arrived_ms - moved_ms));
    broken += wrong;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool move = trouble == NULL || strcmp(trouble, "0") != 0;
    static Consumer c;
    Setup setup = {2, 6, 23, "ab", 0};
    Answer a;

    record_open(argc > 1 ? argv[1] : "record.txt");
    fleet_start(&setup);
    if (put(1, true) < 0 || !wait_until_served("rounds", "key-shared")) {
        cannot_run("the system does not serve");
    }
    if (!consumer_open(&c, 1, "rounds", "key-shared")) {
        cannot_run("no session");
    }
    ask(&c, "BEGIN", &a);
    ask(&c, "WRITE 41 first", &a);
    if (!a.completed) {
        cannot_run("the transaction does not begin");
    }
    if (move) {
        moved_ms = put(2, false);
        if (moved_ms < 0) {
            cannot_run("the second manifest was not acknowledged");
        }
    }
    for (int i = 0; i < kStatements; i++) {
        sleep_ms(kPauseMs);
        ask(&c, "WRITE 42 later", &a);
        if (!a.completed) {
            break;
        }
    }
    if (move) {
        /* For comparison: a new session with the same key. */
        static Consumer other;
        if (consumer_open(&other, 1, "rounds", "key-shared")) {
            Answer second;
            record("the next statement is that of a new session");
            ask(&other, "WRITE 43 new", &second);
        }
        consumer_close(&other);
    }
    ask(&c, "COMMIT", &a);
    bool committed = a.completed;
    consumer_close(&c);
    each_run(check, NULL);
    record("transaction %s; %d statements later than %d ms after the "
           "manifest, %d of them for the wrong tenant",
           committed ? "committed" : "not committed", later, kApplyMs, broken);
    fleet_stop();
    if (!move && !committed) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
