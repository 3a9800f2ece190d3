#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../fuzz/discard_storage.h"
#include "core/traffic.h"
#include "fleet/director.h"
#include "platform/codec.h"

/* Runs one control instance of the platform, which leads alone, with the
 * reports of many entry instances and backend servers, in virtual time, and
 * prints the frames and bytes that it sends:
 *   director_cost CONTROLS ENTRIES DATABASES CONFIRM_MS FULL_EVERY
 * Its instructions are counted by valgrind --tool=callgrind.  An entry
 * instance confirms an update of the directory CONFIRM_MS after it was
 * sent, and reports all evidence with every FULL_EVERYth report; zero: with
 * the first one only, as nothing changes or is lost. */

enum {
    kServersPerDatabase = 3,
    kTickUs = 10000,
    kEntryReportUs = 250000,
    kServerReportUs = 1000000,
    kStartUs = 4000000, /* the servers appear and get primaries */
    kIdleUs = 5000000,
    kFailureUs = 500000, /* all primaries stop at once */
    kNameBytes = 24,
};

/* An entry instance, and the update of the directory that it was sent last. */
typedef struct {
    char id[kNameBytes];
    uint64_t sequence;
    uint64_t run;
    uint64_t revision;
    uint64_t sent_run;
    uint64_t sent_revision;
    uint64_t confirm_us; /* when it has the update, zero: it has all */
    uint64_t granted_sequence;
    uint64_t entries_hash;
    uint64_t controls_hash;
    uint64_t primaries_hash;
    uint64_t evacuations_hash;
} Entry;

typedef struct {
    Director *director;
    Traffic traffic;
    Traffic received; /* reports of entry instances */
    uint32_t full_every;
    uint64_t now_us;
    uint64_t confirm_delay_us;
    uint32_t entry_count;
    uint32_t database_count;
    Entry *entries;
    GPtrArray *requested; /* ids of servers whose status was requested */
} Bench;

/* Records what an entry instance is sent. */
static void
bench_send(void *ctx, const char *to, const Sw__Frame *frame)
{
    Bench *b = ctx;

    traffic_count(&b->traffic, frame, sw__frame__get_packed_size(frame));
    if (to[0] != 'e') {
        return;
    }
    Entry *e = &b->entries[atoi(to + 1)];
    if (frame->body_case == SW__FRAME__BODY_DIRECTORY_UPDATE) {
        const Sw__DirectoryUpdate *m = frame->directory_update;
        e->sent_run = m->run;
        e->sent_revision = m->revision;
        if (e->confirm_us == 0) {
            e->confirm_us = b->now_us + b->confirm_delay_us;
        }
    }
    else if (frame->body_case == SW__FRAME__BODY_ENTRY_GRANT) {
        const Sw__EntryGrant *m = frame->entry_grant;
        e->granted_sequence = MAX(e->granted_sequence, m->sequence);
        e->entries_hash = m->n_entries > 0 ? m->entries_hash : e->entries_hash;
        e->controls_hash =
            m->n_controls > 0 ? m->controls_hash : e->controls_hash;
        e->primaries_hash =
            m->n_primaries > 0 ? m->primaries_hash : e->primaries_hash;
        e->evacuations_hash = m->evacuations_hash;
    }
}

static void
ignore_peer(void *ctx, const char *address)
{
    (void)ctx;
    (void)address;
}

static uint64_t
same_number(void *ctx)
{
    (void)ctx;
    return 7;
}

static void
ignore_reply(void *ctx, void *request, uint32_t status, const void *text,
             size_t bytes)
{
    (void)ctx;
    (void)request;
    (void)status;
    (void)text;
    (void)bytes;
}

static void
record_request(void *ctx, const char *server, const char *database,
               const char *address)
{
    Bench *b = ctx;
    (void)database;
    (void)address;
    g_ptr_array_add(b->requested, g_strdup(server));
}

/* Answers all requests for the status of a server, as replicas with the same
 * log. */
static void
answer_requests(Bench *b)
{
    DirectorStatus status = {.responded = TRUE,
                             .log_valid = TRUE,
                             .log = {1, 10},
                             .term = 1,
                             .requested_us = b->now_us};

    for (guint i = 0; i < b->requested->len; i++) {
        director_handle_status(b->director, b->now_us,
                               g_ptr_array_index(b->requested, i), &status);
    }
    g_ptr_array_set_size(b->requested, 0);
}

static void
ignore_server(void *ctx, const char *server, const char *database,
              const char *address)
{
    (void)ctx;
    (void)server;
    (void)database;
    (void)address;
}

static void
ignore_step_down(void *ctx, const char *server, const char *database,
                 const char *address, uint64_t term)
{
    (void)term;
    ignore_server(ctx, server, database, address);
}

static void
ignore_promotion(void *ctx, const char *database, const char *server,
                 uint64_t fence)
{
    (void)fence;
    ignore_server(ctx, server, database, "");
}

/* Sends an entry instance's report, all evidence with every fourth one. */
static void
report_entry(Bench *b, uint32_t index)
{
    Entry *e = &b->entries[index];
    Sw__Frame frame = SW__FRAME__INIT;
    Sw__EntryReport report = SW__ENTRY_REPORT__INIT;
    Sw__PrimaryEvidence *records =
        g_new(Sw__PrimaryEvidence, b->database_count);
    Sw__PrimaryEvidence **list =
        g_new(Sw__PrimaryEvidence *, b->database_count);
    char(*names)[kNameBytes] = g_malloc_n(b->database_count, kNameBytes);

    if (e->confirm_us != 0 && e->confirm_us <= b->now_us) {
        e->confirm_us = 0;
        e->run = e->sent_run;
        e->revision = e->sent_revision;
    }
    e->sequence++;
    report.failure_domain = (char *)(index % 2 == 0 ? "a" : "b");
    report.incarnation = 1;
    report.sequence = e->sequence;
    report.directory_run = e->run;
    report.directory_revision = e->revision;
    report.granted_sequence = e->granted_sequence;
    report.entries_hash = e->entries_hash;
    report.controls_hash = e->controls_hash;
    report.primaries_hash = e->primaries_hash;
    report.evacuations_hash = e->evacuations_hash;
    report.evidence_partial =
        e->sequence > 1 &&
        (b->full_every == 0 || e->sequence % b->full_every != 0);
    for (uint32_t i = 0; i < b->database_count; i++) {
        sw__primary_evidence__init(&records[i]);
        g_snprintf(names[i], kNameBytes, "db%u", i);
        records[i].database = names[i];
        records[i].epoch = 1;
        records[i].answered = TRUE;
        records[i].answered_ago_us = 1000;
        list[i] = &records[i];
    }
    report.n_evidence = report.evidence_partial ? 0 : b->database_count;
    report.evidence = list;
    frame.body_case = SW__FRAME__BODY_ENTRY_REPORT;
    frame.entry_report = &report;
    traffic_count(&b->received, &frame, sw__frame__get_packed_size(&frame));
    director_handle_frame(b->director, b->now_us, e->id, &frame);
    g_free(names);
    g_free(list);
    g_free(records);
}

/* Sends a backend server's report. */
static void
report_server(Bench *b, uint32_t index, uint64_t sequence)
{
    Sw__ServerRecord r = SW__SERVER_RECORD__INIT;
    char id[kNameBytes];
    char database[kNameBytes];
    char address[kNameBytes];

    g_snprintf(id, sizeof(id), "server-%u", index);
    g_snprintf(database, sizeof(database), "db%u",
               index / kServersPerDatabase);
    g_snprintf(address, sizeof(address), "10.0.%u.%u:5432", index / 200,
               index % 200);
    r.id = id;
    r.database = database;
    r.address = address;
    r.failure_domain = (char *)(index % 2 == 0 ? "a" : "b");
    r.born_ms = 1;
    r.sequence = sequence;
    r.slots = 20;
    r.primary = index % kServersPerDatabase == 0;
    director_handle_server_report(b->director, b->now_us, &r);
}

/* Runs all reports and timers for a time; the reports are spread evenly over
 * their intervals. */
static void
bench_run(Bench *b, uint64_t for_us)
{
    uint32_t servers = b->database_count * kServersPerDatabase;
    uint64_t end_us = b->now_us + for_us;

    for (; b->now_us < end_us; b->now_us += kTickUs) {
        for (uint32_t i = 0; i < b->entry_count; i++) {
            if (b->now_us % kEntryReportUs ==
                (uint64_t)(i % (kEntryReportUs / kTickUs)) * kTickUs) {
                report_entry(b, i);
            }
        }
        for (uint32_t i = 0; i < servers; i++) {
            if (b->now_us % kServerReportUs ==
                (uint64_t)(i % (kServerReportUs / kTickUs)) * kTickUs) {
                report_server(b, i, b->now_us / kServerReportUs + 1);
            }
        }
        answer_requests(b);
        director_flush(b->director, b->now_us);
        director_tick(b->director, b->now_us);
        director_flush(b->director, b->now_us);
    }
}

/* Creates and starts the control instance. */
static void
bench_start(Bench *b, uint32_t controls)
{
    DirectorPort port = {.ctx = b,
                         .send = bench_send,
                         .add_peer = ignore_peer,
                         .random = same_number,
                         .operator_reply = ignore_reply,
                         .request_status = record_request,
                         .step_down = ignore_step_down,
                         .promote = ignore_promotion,
                         .storage = kDiscardStorage};
    DirectorConfig config = {.id = "c0",
                             .disk = "disk",
                             .failure_domain = "a",
                             .timing = {80000, 300000, 550000, 64},
                             .lease_us = 1000000,
                             .rate_window_us = 5000000,
                             .decode = codec_decode_document,
                             .max_control_failures = 1};
    ConsensusSaved saved = {.entries = g_ptr_array_new()};
    GPtrArray *members = g_ptr_array_new_with_free_func(consensus_member_free);

    g_ptr_array_add(members,
                    consensus_member_new("c0", "disk", "c0", "a", TRUE));
    b->director = director_new(&config, &port);
    director_start(b->director, 0, &saved, members, NULL);
    for (uint32_t i = 1; i < controls; i++) {
        char name[kNameBytes];
        g_snprintf(name, sizeof(name), "c%u", i);
        director_add_peer(b->director, name);
    }
    director_tick(b->director, kEntryReportUs * 4);
    director_flush(b->director, kEntryReportUs * 4);
    b->now_us = kEntryReportUs * 4;
    g_ptr_array_unref(members);
    g_ptr_array_unref(saved.entries);
}

/* Prints traffic and sets it to zero. */
static void
traffic_print(Traffic *t, const char *phase, const char *direction)
{
    for (uint32_t k = 0; k < kTrafficKinds; k++) {
        if (t->frames[k] > 0) {
            printf("%s, %s %s: %" G_GUINT64_FORMAT
                   " frames, %" G_GUINT64_FORMAT " bytes\n",
                   phase, direction, traffic_kind_name(k), t->frames[k],
                   t->bytes[k]);
        }
    }
    memset(t, 0, sizeof(*t));
}

/* Prints the traffic since the last call. */
static void
bench_print(Bench *b, const char *phase)
{
    traffic_print(&b->traffic, phase, "sent");
    traffic_print(&b->received, phase, "received");
}

/* Discards messages of the log. */
static void
drop_message(const char *domain, GLogLevelFlags level, const char *text,
             void *data)
{
    (void)domain;
    (void)level;
    (void)text;
    (void)data;
}

int
main(int argc, char **argv)
{
    Bench b = {0};

    if (argc != 6) {
        fprintf(stderr,
                "usage: %s CONTROLS ENTRIES DATABASES CONFIRM_MS "
                "FULL_EVERY\n",
                argv[0]);
        return 2;
    }
    b.entry_count = (uint32_t)atoi(argv[2]);
    b.database_count = (uint32_t)atoi(argv[3]);
    b.confirm_delay_us = (uint64_t)atoi(argv[4]) * 1000;
    g_log_set_handler(NULL, G_LOG_LEVEL_MESSAGE, drop_message, NULL);
    b.requested = g_ptr_array_new_with_free_func(g_free);
    b.full_every = (uint32_t)atoi(argv[5]);
    b.entries = g_new0(Entry, b.entry_count + 1);
    for (uint32_t i = 0; i < b.entry_count; i++) {
        g_snprintf(b.entries[i].id, kNameBytes, "e%u", i);
    }
    bench_start(&b, (uint32_t)atoi(argv[1]));
    bench_run(&b, kStartUs);
    bench_print(&b, "start");
    bench_run(&b, kIdleUs);
    bench_print(&b, "idle");
    for (uint32_t i = 0; i < b.database_count; i++) {
        char id[kNameBytes];
        g_snprintf(id, sizeof(id), "server-%u", i * kServersPerDatabase);
        director_handle_server_leave(b.director, b.now_us, id);
    }
    bench_run(&b, kFailureUs);
    bench_print(&b, "failure");
    director_free(b.director);
    g_ptr_array_unref(b.requested);
    g_free(b.entries);
    return 0;
}
