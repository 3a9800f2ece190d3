#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/busy_caller.h"
#include "../platform/emulator.h"

/* Soak test of the platform programs under random faults: processes are
 * killed, paused, terminated and restarted, control instances lose their
 * disks, database servers crash and return, answers are lost, the
 * configuration changes, and failure domains are evacuated and restored.  The
 * seed selects the faults and the operations.  At the end the answer to each
 * write is compared with the log of the emulated servers, and each control
 * instance must serve the configuration.
 *
 * Usage: fault_soak [SEED [SECONDS]] */

enum {
    kCallers = 12,
    kMeanFaultIntervalMs = 350, /* faults last up to 2 s and thus overlap */
    kOperationIntervalMs = 3,   /* gives some 200 operations a second */
    kMaxRecoveryMs = 6000,      /* half the time that users allow */
    kBusyCallers = 3,           /* beside those of the operations */
    kStatementDelayMs = 3,      /* of the members */
    kGraceMs = 6000,            /* as in the emulator's settings */
    kKillAfterStopMs = 500,     /* of a planned stop that is interrupted */
    kBusyRatePerS = 2000,       /* more than the busy callers use */
    kEvacuateMs = 5000,         /* limit of an evacuation, by the settings */
    kEvacuationSlackMs = 300,   /* of this process, beside that limit */
    kCatchUpMs = 6000,          /* of an instance that has lost its disk */
    kReadTries = 20,            /* of the configuration, at the end */
    kReadPauseMs = 250,
};

/* What the answer to a write says about its commit. */
typedef enum {
    kOutcomeAcknowledged, /* committed exactly once */
    kOutcomeRejected,     /* not committed */
    kOutcomeUnknown,      /* committed at most once */
} Outcome;

/* A write that was sent, for the final checks. */
typedef struct {
    char *datum; /* unique among all writes */
    Outcome outcome;
} Write;

/* The scheduled end of a fault. */
typedef struct {
    gint64 at_us;       /* monotonic time */
    uint32_t target;    /* index of the member or program */
    gboolean is_member; /* else a program */
    gboolean resume;    /* continue a paused process; else start it again */
} Repair;

/* Evacuations; their random numbers do not change the other faults. */
typedef struct {
    GRand *rand;
    gboolean active;     /* a domain is evacuated */
    uint32_t domain;     /* also the index of its member */
    gint64 acked_us;     /* when the evacuation was acknowledged */
    gint64 next_us;      /* time of the next order */
    gboolean watched;    /* the limit has passed, statements is set */
    uint32_t statements; /* that the member had received then */
    uint64_t count;      /* evacuations */
} Evacuation;

/* State and results of the run. */
typedef struct {
    Emulator *emulator;
    GRand *rand;
    EmulatorCaller *callers[kCallers]; /* NULL: not connected */
    /* With even seeds, and a higher rate of the team, which they would use up
     * alone. */
    gboolean has_busy_callers;
    BusyCaller *busy[kBusyCallers];    /* NULL: not connected */
    uint32_t busy_entry[kBusyCallers]; /* entry instance of each */
    /* End of the grace of a planned stop, zero: the program does not stop. */
    gint64 stop_deadline_us[kEmulatorPrograms];
    uint64_t stops;                /* planned ones that have ended */
    GPtrArray *writes;             /* Write */
    GPtrArray *repairs;            /* Repair */
    uint32_t version;              /* of the last configuration sent */
    uint32_t acknowledged_version; /* of the last that was accepted */
    uint64_t served;               /* operations that succeeded */
    uint64_t rejected;             /* writes that were not committed */
    uint64_t faults;
    Evacuation evacuation;
    GRand *disk_rand;   /* its numbers do not change the other faults */
    gint64 catch_up_us; /* until then no control instance may fail */
    uint64_t disks_lost;
    uint64_t violations;
} Soak;

/* Counts and prints a broken guarantee. */
static void
report_violation(Soak *s, const char *violation, const char *detail)
{
    s->violations++;
    printf("violation: %s: %s\n", violation, detail);
}

/* Returns a random number from zero up to, but not including, a limit. */
static uint32_t
random_below(Soak *s, uint32_t limit)
{
    return (uint32_t)g_rand_int_range(s->rand, 0, (gint32)limit);
}

/* Returns whether a repair is scheduled for a member or program with an index
 * in the range from (included) to (excluded). */
static gboolean
has_pending_repair(const Soak *s, gboolean is_member, uint32_t from,
                   uint32_t to)
{
    for (guint i = 0; i < s->repairs->len; i++) {
        const Repair *r = g_ptr_array_index(s->repairs, i);
        if (r->is_member == is_member && r->target >= from && r->target < to) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether a program runs and is not stopping. */
static gboolean
is_undisturbed(const Soak *s, uint32_t program)
{
    return s->stop_deadline_us[program] == 0 &&
           !has_pending_repair(s, FALSE, program, program + 1);
}

/* ---- callers ---- */

/* Returns whether an answer's error code guarantees that a write was not
 * committed. */
static gboolean
is_rejection(const char *answer)
{
    static const char *const codes[] = {"BUSY",     "ABORTED",   "LAGGING",
                                        "READONLY", "MISROUTED", "TOOMANY"};
    for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
        char *line = g_strconcat("ERROR ", codes[i], " ", NULL);
        gboolean found = g_str_has_prefix(answer, line);
        g_free(line);
        if (found) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the caller with index i; connects it to a random entry instance if
 * it has no open connection.  Returns NULL when that instance did not accept
 * it. */
static EmulatorCaller *
connected_caller(Soak *s, uint32_t i)
{
    if (s->callers[i] != NULL && caller_is_closed(s->callers[i])) {
        caller_close(s->callers[i]);
        s->callers[i] = NULL;
    }
    if (s->callers[i] == NULL) {
        EmulatorCaller *c =
            caller_connect(s->emulator, random_below(s, kEmulatorEntries));
        const char *answer = caller_request(c, "STARTUP shop key-1");
        if (!g_str_has_prefix(answer, "READY I")) {
            caller_close(c);
            return NULL;
        }
        s->callers[i] = c;
    }
    return s->callers[i];
}

/* Sends a message and returns its answer.  When no complete answer arrives in
 * time, closes the caller's connection and returns an empty text. */
static const char *
request(Soak *s, uint32_t i, const char *text)
{
    const char *answer = caller_request(s->callers[i], text);

    if (strstr(answer, "READY ") == NULL) {
        caller_close(s->callers[i]);
        s->callers[i] = NULL;
        return "";
    }
    return answer;
}

/* Records the outcome of a write from the answer to it, or to the commit of
 * its transaction.  The emulator tags each successful read, write and commit
 * with "7.proof". */
static void
record_write(Soak *s, const char *datum, const char *answer)
{
    Write *w = g_new(Write, 1);

    w->datum = g_strdup(datum);
    w->outcome = g_str_has_prefix(answer, "COMPLETE 7.proof")
                     ? kOutcomeAcknowledged
                 : is_rejection(answer) ? kOutcomeRejected
                                        : kOutcomeUnknown;
    s->served += w->outcome == kOutcomeAcknowledged;
    s->rejected += w->outcome == kOutcomeRejected;
    g_ptr_array_add(s->writes, w);
}

/* Sends a write outside of a transaction. */
static void
run_write(Soak *s, uint32_t i)
{
    char datum[32];
    char text[64];

    g_snprintf(datum, sizeof(datum), "d%u", s->writes->len);
    g_snprintf(text, sizeof(text), "QUERY w%u WRITE item %s", s->writes->len,
               datum);
    record_write(s, datum, request(s, i, text));
}

/* Runs a transaction with one write; three of four are committed.  A write
 * without a COMMIT is recorded as rejected. */
static void
run_transaction(Soak *s, uint32_t i)
{
    char datum[32];
    char text[64];
    gboolean commit = random_below(s, 4) != 0;
    const char *answer = request(s, i, "QUERY t1 BEGIN");

    g_snprintf(datum, sizeof(datum), "d%u", s->writes->len);
    if (!g_str_has_prefix(answer, "COMPLETE")) {
        return;
    }
    g_snprintf(text, sizeof(text), "QUERY t%u WRITE item %s", s->writes->len,
               datum);
    answer = request(s, i, text);
    if (s->callers[i] == NULL) {
        record_write(s, datum, "ERROR ABORTED no commit was asked for");
        return;
    }
    if (!g_str_has_prefix(answer, "COMPLETE 7.proof") || !commit) {
        request(s, i, "QUERY t2 ROLLBACK");
        record_write(s, datum, "ERROR ABORTED no commit was asked for");
        return;
    }
    record_write(s, datum, request(s, i, "QUERY t3 COMMIT"));
}

/* Sends a read outside of a transaction and checks that it has rows. */
static void
run_read(Soak *s, uint32_t i)
{
    const char *answer = request(s, i, "QUERY r1 READ item");

    if (g_str_has_prefix(answer, "COMPLETE")) {
        report_violation(s, "a read completed without rows", answer);
    }
    s->served += g_str_has_prefix(answer, "ROW value\nCOMPLETE 7.proof");
}

/* Checks that an entry instance refuses a key that no configuration has. */
static void
connect_with_unknown_key(Soak *s)
{
    EmulatorCaller *c =
        caller_connect(s->emulator, random_below(s, kEmulatorEntries));
    const char *answer = caller_request(c, "STARTUP shop key-of-nobody");

    if (strstr(answer, "READY ") != NULL) {
        report_violation(s, "an unknown key was accepted", answer);
    }
    caller_close(c);
}

/* Runs one operation: 2 % connections with an unknown key, 38 % writes, 25 %
 * transactions, 35 % reads. */
static void
run_operation(Soak *s)
{
    uint32_t i = random_below(s, kCallers);
    uint32_t choice = random_below(s, 100);

    if (choice < 2) {
        connect_with_unknown_key(s);
        return;
    }
    if (connected_caller(s, i) == NULL) {
        return;
    }
    if (choice < 40) {
        run_write(s, i);
    }
    else if (choice < 65) {
        run_transaction(s, i);
    }
    else {
        run_read(s, i);
    }
}

/* Connects busy callers to random entry instances, and checks those whose
 * connection was closed: a planned stop cuts off no statement. */
static void
check_busy_callers(Soak *s)
{
    static const char *const reads[] = {"READ item", NULL};
    static const char *const transactions[] = {"BEGIN", "READ item",
                                               "READ item", "COMMIT", NULL};

    for (uint32_t i = 0; s->has_busy_callers && i < kBusyCallers; i++) {
        BusyCaller *b = s->busy[i];
        if (b != NULL && busy_caller_is_closed(b)) {
            if (s->stop_deadline_us[s->busy_entry[i]] != 0 &&
                busy_caller_cut_count(b) > 0) {
                report_violation(s, "a planned stop cut off statements", "");
            }
            busy_caller_free(b);
            s->busy[i] = NULL;
        }
        uint32_t entry = random_below(s, kEmulatorEntries);
        if (s->busy[i] == NULL && is_undisturbed(s, entry)) {
            s->busy_entry[i] = entry;
            s->busy[i] =
                busy_caller_new(s->emulator, entry,
                                i % 2 == 0 ? reads : transactions, 1 + i % 3);
        }
    }
}

/* ---- the operator ---- */

/* Puts the next version of the configuration to the control instances. */
static void
change_configuration(Soak *s)
{
    HttpResponse put = emulator_put_document(s->emulator, ++s->version, TRUE);

    if (put.status == 200) {
        s->acknowledged_version = s->version;
    }
    g_free(put.body);
}

/* Checks that a control instance, if it answers, serves no configuration older
 * than the last accepted one.  Returns whether it answers. */
static gboolean
read_configuration(Soak *s, uint32_t control)
{
    HttpResponse got = emulator_http_request(
        s->emulator, emulator_control_address(s->emulator, control), "GET",
        "/config", NULL);
    unsigned version = 0;

    if (got.status == 200 &&
        (sscanf(got.body, "{\"version\":%u", &version) != 1 ||
         version < s->acknowledged_version)) {
        report_violation(s, "an older configuration was read back", got.body);
    }
    g_free(got.body);
    return got.status == 200;
}

/* Evacuates or restores a domain.  Since one control instance at most is down
 * at a time, an order must be acknowledged. */
static void
send_order(Soak *s, gboolean evacuated)
{
    Evacuation *e = &s->evacuation;
    uint32_t pause_ms =
        (uint32_t)g_rand_int_range(e->rand, 1000, evacuated ? 9000 : 3000);

    if (!emulator_order(s->emulator, e->domain, evacuated)) {
        report_violation(s, "an order was not acknowledged",
                         evacuated ? "evacuate" : "restore");
    }
    e->active = evacuated;
    e->watched = FALSE;
    e->acked_us = g_get_monotonic_time();
    e->next_us = e->acked_us + (gint64)pause_ms * 1000;
    e->count += evacuated;
}

/* Sends the orders that are due, and checks that no statement reaches an
 * evacuated domain after the limit. */
static void
run_evacuations(Soak *s, gint64 now_us)
{
    Evacuation *e = &s->evacuation;
    gint64 limit_us = (gint64)(kEvacuateMs + kEvacuationSlackMs) * 1000;
    uint32_t statements = emulator_member_statements(s->emulator, e->domain);

    if (e->active && e->watched && statements != e->statements) {
        report_violation(s, "a statement reached an evacuated domain", "");
    }
    if (e->active && now_us - e->acked_us > limit_us) {
        e->watched = TRUE;
        e->statements = statements;
    }
    if (now_us < e->next_us) {
        return;
    }
    if (!e->active) {
        e->domain = (uint32_t)g_rand_int_range(e->rand, 0, kEmulatorMembers);
    }
    send_order(s, !e->active);
}

/* ---- faults ---- */

/* Schedules a repair 0.2 to 2 s from now. */
static void
schedule_repair(Soak *s, uint32_t target, gboolean is_member, gboolean resume)
{
    Repair *r = g_new(Repair, 1);
    *r = (Repair){g_get_monotonic_time() + 200000 +
                      random_below(s, 1800) * 1000,
                  target, is_member, resume};
    g_ptr_array_add(s->repairs, r);
}

/* Pauses, terminates or kills a random program, or kills it while it stops.
 * At most one control instance is down at a time, or has not caught up after
 * it lost its disk, which is what users require the system to tolerate; all
 * entry instances may be down. */
static void
inject_program_fault(Soak *s)
{
    uint32_t program = random_below(s, kEmulatorPrograms);
    gboolean control = program >= kEmulatorEntries;
    pid_t pid = emulator_program_pid(s->emulator, program);
    uint32_t choice = random_below(s, 4);

    if (!is_undisturbed(s, program)) {
        return;
    }
    if (control && g_get_monotonic_time() < s->catch_up_us) {
        return;
    }
    for (uint32_t i = kEmulatorEntries; control && i < kEmulatorPrograms;
         i++) {
        if (!is_undisturbed(s, i)) {
            return;
        }
    }
    if (choice == 0) {
        kill(pid, SIGSTOP);
        schedule_repair(s, program, FALSE, TRUE);
        return;
    }
    if (choice == 1) {
        kill(pid, SIGTERM);
        s->stop_deadline_us[program] =
            g_get_monotonic_time() + (gint64)kGraceMs * 1000;
        return;
    }
    if (choice == 2) {
        kill(pid, SIGTERM);
        emulator_run_for(s->emulator, kKillAfterStopMs);
    }
    emulator_kill_program(s->emulator, program);
    if (control && g_rand_boolean(s->disk_rand)) {
        emulator_lose_disk(s->emulator, program);
        s->disks_lost++;
        s->catch_up_us = g_get_monotonic_time() + (gint64)kCatchUpMs * 1000;
    }
    schedule_repair(s, program, FALSE, FALSE);
}

/* Handles the ends of planned stops: a program must end by itself within its
 * grace, and starts again. */
static void
check_stops(Soak *s)
{
    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        pid_t pid = emulator_program_pid(s->emulator, i);
        gboolean late = g_get_monotonic_time() > s->stop_deadline_us[i];
        int exit_code = 0;

        if (s->stop_deadline_us[i] == 0) {
            continue;
        }
        if (!emulator_reap(s->emulator, pid, &exit_code)) {
            if (!late) {
                continue;
            }
            report_violation(s, "a planned stop exceeded its grace", "");
            emulator_kill_program(s->emulator, i);
        }
        if (exit_code != 0) {
            report_violation(s, "a planned stop ended with an error", "");
        }
        /* Callers notice the end of their connections. */
        emulator_run_for(s->emulator, kOperationIntervalMs);
        emulator_run_for(s->emulator, kOperationIntervalMs);
        check_busy_callers(s);
        s->stop_deadline_us[i] = 0;
        s->stops++;
        schedule_repair(s, i, FALSE, FALSE);
    }
}

/* Waits for the ends of all planned stops. */
static void
finish_stops(Soak *s)
{
    for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
        while (s->stop_deadline_us[i] != 0) {
            emulator_run_for(s->emulator, kOperationIntervalMs);
            check_busy_callers(s);
            check_stops(s);
        }
    }
}

/* Crashes a random member, unless one is down already. */
static void
inject_member_fault(Soak *s)
{
    uint32_t member = random_below(s, kEmulatorMembers);

    if (!has_pending_repair(s, TRUE, 0, kEmulatorMembers)) {
        emulator_set_member_running(s->emulator, member, FALSE);
        schedule_repair(s, member, TRUE, FALSE);
    }
}

/* Injects a random fault, or changes or reads the configuration. */
static void
inject_fault(Soak *s)
{
    s->faults++;
    switch (random_below(s, 6)) {
    case 0:
    case 1:
        inject_program_fault(s);
        break;
    case 2:
        inject_member_fault(s);
        break;
    case 3:
        emulator_lose_next_answer(s->emulator);
        break;
    case 4:
        change_configuration(s);
        break;
    default:
        read_configuration(s, random_below(s, kEmulatorControls));
        break;
    }
}

/* Runs and removes the repairs that are scheduled up to now_us. */
static void
run_due_repairs(Soak *s, gint64 now_us)
{
    for (guint i = s->repairs->len; i > 0; i--) {
        Repair *r = g_ptr_array_index(s->repairs, i - 1);
        if (now_us < r->at_us) {
            continue;
        }
        if (r->is_member) {
            emulator_set_member_running(s->emulator, r->target, TRUE);
        }
        else if (r->resume) {
            kill(emulator_program_pid(s->emulator, r->target), SIGCONT);
        }
        else {
            emulator_start_program(s->emulator, r->target);
        }
        g_ptr_array_remove_index(s->repairs, i - 1);
        g_free(r);
    }
}

/* ---- final checks ---- */

/* Checks the outcome of each write against the members' log. */
static void
check_writes(Soak *s)
{
    for (guint i = 0; i < s->writes->len; i++) {
        const Write *w = g_ptr_array_index(s->writes, i);
        uint32_t commit_count = emulator_commit_count(s->emulator, w->datum);

        if (commit_count > 1) {
            report_violation(s, "a write was committed twice", w->datum);
        }
        if (commit_count == 0 && w->outcome == kOutcomeAcknowledged) {
            report_violation(s, "an acknowledged write is lost", w->datum);
        }
        if (commit_count > 0 && w->outcome == kOutcomeRejected) {
            report_violation(s, "a rejected write was committed", w->datum);
        }
    }
}

/* Checks that after all repairs 50 operations succeed within
 * kMaxRecoveryMs. */
static void
check_recovery(Soak *s)
{
    gint64 end_us = g_get_monotonic_time() + (gint64)kMaxRecoveryMs * 1000;
    uint64_t before = s->served;

    while (g_get_monotonic_time() < end_us && s->served < before + 50) {
        run_operation(s);
        emulator_run_for(s->emulator, kOperationIntervalMs);
    }
    if (s->served < before + 50) {
        report_violation(
            s, "fewer than 50 operations served after all repairs", "");
    }
}

/* Checks that each control instance serves the configuration. */
static void
check_configuration(Soak *s)
{
    for (uint32_t i = 0; i < kEmulatorControls; i++) {
        gboolean answered = FALSE;
        for (int k = 0; k < kReadTries && !answered; k++) {
            answered = read_configuration(s, i);
            emulator_run_for(s->emulator, answered ? 0 : kReadPauseMs);
        }
        if (!answered) {
            report_violation(s, "the configuration was not read back",
                             emulator_control_address(s->emulator, i));
        }
    }
}

int
main(int argc, char **argv)
{
    uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
    uint32_t seconds = argc > 2 ? (uint32_t)atoi(argv[2]) : 10;
    char folder[64];
    Soak s = {.rand = g_rand_new_with_seed(seed),
              .writes = g_ptr_array_new(),
              .repairs = g_ptr_array_new(),
              .evacuation = {.rand = g_rand_new_with_seed(seed + 1000000)},
              .disk_rand = g_rand_new_with_seed(seed + 2000000)};

    g_snprintf(folder, sizeof(folder), "build/soak-%u", seed);
    s.emulator = emulator_start(folder);
    s.has_busy_callers = seed % 2 == 0;
    if (s.has_busy_callers) {
        emulator_set_rate(s.emulator, kBusyRatePerS);
        emulator_set_statement_delay(s.emulator, kStatementDelayMs);
    }
    change_configuration(&s);
    emulator_run_for(s.emulator, 1500);
    gint64 end_us = g_get_monotonic_time() + (gint64)seconds * 1000000;
    gint64 next_fault_us = 0;
    s.evacuation.next_us = g_get_monotonic_time() +
                           g_rand_int_range(s.evacuation.rand, 0, 2000) * 1000;
    while (g_get_monotonic_time() < end_us) {
        gint64 now_us = g_get_monotonic_time();
        if (now_us >= next_fault_us) {
            next_fault_us =
                now_us + random_below(&s, 2 * kMeanFaultIntervalMs) * 1000;
            inject_fault(&s);
        }
        run_due_repairs(&s, now_us);
        check_busy_callers(&s);
        check_stops(&s);
        run_evacuations(&s, now_us);
        run_operation(&s);
        emulator_run_for(s.emulator, kOperationIntervalMs);
    }
    finish_stops(&s);
    run_due_repairs(&s, G_MAXINT64);
    if (s.evacuation.active) {
        send_order(&s, FALSE);
    }
    emulator_run_for(s.emulator, 2000);
    check_recovery(&s);
    check_configuration(&s);
    check_writes(&s);
    for (uint32_t i = 0; i < kBusyCallers; i++) {
        if (s.busy[i] != NULL) {
            busy_caller_free(s.busy[i]);
        }
    }
    emulator_free(s.emulator);
    printf("seed %u: %u writes, %" G_GUINT64_FORMAT " served, "
           "%" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT
           " faults, %" G_GUINT64_FORMAT " planned stops, %" G_GUINT64_FORMAT
           " evacuations, %" G_GUINT64_FORMAT " disks lost, %" G_GUINT64_FORMAT
           " violations\n",
           seed, s.writes->len, s.served, s.rejected, s.faults, s.stops,
           s.evacuation.count, s.disks_lost, s.violations);
    g_rand_free(s.disk_rand);
    g_rand_free(s.evacuation.rand);
    return s.violations == 0 ? 0 : 1;
}
