#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/emulator.h"

/* The real programs under faults that a seed draws, on an emulated platform:
 * processes are killed, paused, stopped in order and started again, servers
 * crash and come back, answers are lost, the configuration changes.  Every
 * answer to a caller is held against what the servers' log holds. */

enum {
    kCallers = 12,
    kFaultEveryMs = 350, /* several at a time: they last up to 2 s */
    kPauseMs = 3,        /* between operations: some 200 a second */
    kSettleMs = 6000,    /* the recovery that the users ask for, halved */
};

typedef enum {
    kOutcomeAcknowledged,
    kOutcomeNotKept, /* promised */
    kOutcomeUnknown,
} Outcome;

typedef struct {
    char *datum;
    Outcome outcome;
} Write;

typedef struct {
    gint64 due_us;
    uint32_t what;
    gboolean member;
    gboolean paused; /* to be continued; else to be started */
} Repair;

typedef struct {
    Emulator *emulator;
    GRand *rand;
    EmulatorCaller *callers[kCallers];
    GPtrArray *writes;  /* Write */
    GPtrArray *repairs; /* Repair */
    uint32_t version;
    uint32_t acknowledged_version;
    uint64_t served;
    uint64_t refused;
    uint64_t faults;
    uint64_t broken;
} Soak;

static void
broken(Soak *s, const char *what, const char *which)
{
    s->broken++;
    printf("broken: %s: %s\n", what, which);
}

static uint32_t
draw(Soak *s, uint32_t below)
{
    return (uint32_t)g_rand_int_range(s->rand, 0, (gint32)below);
}

/* ---- callers ---- */

static gboolean
promises(const char *answer)
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

static EmulatorCaller *
caller_of(Soak *s, uint32_t i)
{
    if (s->callers[i] != NULL && caller_closed(s->callers[i])) {
        caller_leave(s->callers[i]);
        s->callers[i] = NULL;
    }
    if (s->callers[i] == NULL) {
        EmulatorCaller *c =
            caller_connect(s->emulator, draw(s, kEmulatorEntries));
        const char *answer = caller_ask(c, "STARTUP shop key-1");
        if (!g_str_has_prefix(answer, "READY I")) {
            caller_leave(c);
            return NULL;
        }
        s->callers[i] = c;
    }
    return s->callers[i];
}

/* Asks; a connection that has no answer in time is given up. */
static const char *
ask(Soak *s, uint32_t i, const char *text)
{
    const char *answer = caller_ask(s->callers[i], text);

    if (strstr(answer, "READY ") == NULL) {
        caller_leave(s->callers[i]);
        s->callers[i] = NULL;
        return "";
    }
    return answer;
}

static void
note_write(Soak *s, const char *datum, const char *answer)
{
    Write *w = g_new(Write, 1);

    w->datum = g_strdup(datum);
    w->outcome = g_str_has_prefix(answer, "COMPLETE 7.proof")
                     ? kOutcomeAcknowledged
                 : promises(answer) ? kOutcomeNotKept
                                    : kOutcomeUnknown;
    s->served += w->outcome == kOutcomeAcknowledged;
    s->refused += w->outcome == kOutcomeNotKept;
    g_ptr_array_add(s->writes, w);
}

static void
write_once(Soak *s, uint32_t i)
{
    char datum[32];
    char text[64];

    g_snprintf(datum, sizeof(datum), "d%u", s->writes->len);
    g_snprintf(text, sizeof(text), "QUERY w%u WRITE item %s", s->writes->len,
               datum);
    note_write(s, datum, ask(s, i, text));
}

static void
transaction(Soak *s, uint32_t i)
{
    char datum[32];
    char text[64];
    gboolean commits = draw(s, 4) != 0;
    const char *answer = ask(s, i, "QUERY t1 BEGIN");

    g_snprintf(datum, sizeof(datum), "d%u", s->writes->len);
    if (!g_str_has_prefix(answer, "COMPLETE")) {
        return;
    }
    g_snprintf(text, sizeof(text), "QUERY t%u WRITE item %s", s->writes->len,
               datum);
    answer = ask(s, i, text);
    if (s->callers[i] == NULL) {
        note_write(s, datum, "ERROR ABORTED no commit was asked for");
        return;
    }
    if (!g_str_has_prefix(answer, "COMPLETE 7.proof") || !commits) {
        ask(s, i, "QUERY t2 ROLLBACK");
        note_write(s, datum, "ERROR ABORTED no commit was asked for");
        return;
    }
    note_write(s, datum, ask(s, i, "QUERY t3 COMMIT"));
}

static void
read_once(Soak *s, uint32_t i)
{
    const char *answer = ask(s, i, "QUERY r1 READ item");

    if (g_str_has_prefix(answer, "COMPLETE")) {
        broken(s, "a read without rows", answer);
    }
    s->served += g_str_has_prefix(answer, "ROW value\nCOMPLETE 7.proof");
}

static void
stranger(Soak *s)
{
    EmulatorCaller *c = caller_connect(s->emulator, draw(s, kEmulatorEntries));
    const char *answer = caller_ask(c, "STARTUP shop key-of-nobody");

    if (strstr(answer, "READY ") != NULL) {
        broken(s, "an unknown key was let in", answer);
    }
    caller_leave(c);
}

static void
operation(Soak *s)
{
    uint32_t i = draw(s, kCallers);
    uint32_t dice = draw(s, 100);

    if (dice < 2) {
        stranger(s);
        return;
    }
    if (caller_of(s, i) == NULL) {
        return;
    }
    if (dice < 40) {
        write_once(s, i);
    }
    else if (dice < 65) {
        transaction(s, i);
    }
    else {
        read_once(s, i);
    }
}

/* ---- the operator ---- */

static void
change_configuration(Soak *s)
{
    HttpReply put = emulator_put_document(s->emulator, ++s->version, TRUE);

    if (put.status == 200) {
        s->acknowledged_version = s->version;
    }
    g_free(put.body);
}

static void
read_configuration(Soak *s)
{
    HttpReply got = emulator_http(
        s->emulator, emulator_control(s->emulator, draw(s, kEmulatorControls)),
        "GET", "/config", NULL);
    unsigned version = 0;

    if (got.status == 200 &&
        (sscanf(got.body, "{\"version\":%u", &version) != 1 ||
         version < s->acknowledged_version)) {
        broken(s, "an older configuration was read back", got.body);
    }
    g_free(got.body);
}

/* ---- faults ---- */

static gboolean
under_repair(const Soak *s, gboolean member, uint32_t from, uint32_t to)
{
    for (guint i = 0; i < s->repairs->len; i++) {
        const Repair *r = g_ptr_array_index(s->repairs, i);
        if (r->member == member && r->what >= from && r->what < to) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
repair_later(Soak *s, uint32_t what, gboolean member, gboolean paused)
{
    Repair *r = g_new(Repair, 1);
    *r = (Repair){g_get_monotonic_time() + 200000 + draw(s, 1800) * 1000, what,
                  member, paused};
    g_ptr_array_add(s->repairs, r);
}

/* One control instance may be away at a time, as the users ask; the entry
 * instances may all be. */
static void
program_fault(Soak *s)
{
    uint32_t program = draw(s, kEmulatorPrograms);
    gboolean control = program >= kEmulatorEntries;
    pid_t pid = emulator_pid(s->emulator, program);
    uint32_t dice = draw(s, 3);

    if (control ? under_repair(s, FALSE, kEmulatorEntries, kEmulatorPrograms)
                : under_repair(s, FALSE, program, program + 1)) {
        return;
    }
    if (dice == 0) {
        kill(pid, SIGSTOP);
        repair_later(s, program, FALSE, TRUE);
        return;
    }
    if (dice == 1) {
        kill(pid, SIGTERM);
        emulator_pump(s->emulator, 500);
    }
    emulator_program_kill(s->emulator, program);
    repair_later(s, program, FALSE, FALSE);
}

static void
member_fault(Soak *s)
{
    uint32_t member = draw(s, kEmulatorMembers);

    if (!under_repair(s, TRUE, 0, kEmulatorMembers)) {
        emulator_member_power(s->emulator, member, FALSE);
        repair_later(s, member, TRUE, FALSE);
    }
}

static void
fault(Soak *s)
{
    s->faults++;
    switch (draw(s, 6)) {
    case 0:
    case 1:
        program_fault(s);
        break;
    case 2:
        member_fault(s);
        break;
    case 3:
        emulator_lose_next_answer(s->emulator);
        break;
    case 4:
        change_configuration(s);
        break;
    default:
        read_configuration(s);
        break;
    }
}

static void
repair(Soak *s, gint64 now_us)
{
    for (guint i = s->repairs->len; i > 0; i--) {
        Repair *r = g_ptr_array_index(s->repairs, i - 1);
        if (now_us < r->due_us) {
            continue;
        }
        if (r->member) {
            emulator_member_power(s->emulator, r->what, TRUE);
        }
        else if (r->paused) {
            kill(emulator_pid(s->emulator, r->what), SIGCONT);
        }
        else {
            emulator_program_start(s->emulator, r->what);
        }
        g_ptr_array_remove_index(s->repairs, i - 1);
        g_free(r);
    }
}

/* ---- the end ---- */

static void
check_writes(Soak *s)
{
    for (guint i = 0; i < s->writes->len; i++) {
        const Write *w = g_ptr_array_index(s->writes, i);
        uint32_t held = emulator_written(s->emulator, w->datum);

        if (held > 1) {
            broken(s, "a write was doubled", w->datum);
        }
        if (held == 0 && w->outcome == kOutcomeAcknowledged) {
            broken(s, "an acknowledged write is lost", w->datum);
        }
        if (held > 0 && w->outcome == kOutcomeNotKept) {
            broken(s, "a write is kept that was said not to be", w->datum);
        }
    }
}

/* After all repairs everything must be served again. */
static void
check_recovery(Soak *s)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)kSettleMs * 1000;
    uint64_t before = s->served;

    while (g_get_monotonic_time() < until_us && s->served < before + 50) {
        operation(s);
        emulator_pump(s->emulator, kPauseMs);
    }
    if (s->served < before + 50) {
        broken(s, "little is served after the repairs", "");
    }
    read_configuration(s);
}

int
main(int argc, char **argv)
{
    uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
    uint32_t seconds = argc > 2 ? (uint32_t)atoi(argv[2]) : 10;
    char folder[64];
    Soak s = {.rand = g_rand_new_with_seed(seed),
              .writes = g_ptr_array_new(),
              .repairs = g_ptr_array_new()};

    g_snprintf(folder, sizeof(folder), "build/soak-%u", seed);
    s.emulator = emulator_start(folder);
    change_configuration(&s);
    emulator_pump(s.emulator, 1500);
    gint64 end_us = g_get_monotonic_time() + (gint64)seconds * 1000000;
    gint64 fault_us = 0;
    while (g_get_monotonic_time() < end_us) {
        gint64 now_us = g_get_monotonic_time();
        if (now_us >= fault_us) {
            fault_us = now_us + draw(&s, 2 * kFaultEveryMs) * 1000;
            fault(&s);
        }
        repair(&s, now_us);
        operation(&s);
        emulator_pump(s.emulator, kPauseMs);
    }
    repair(&s, G_MAXINT64);
    emulator_pump(s.emulator, 2000);
    check_recovery(&s);
    check_writes(&s);
    emulator_free(s.emulator);
    printf("seed %u: %u writes, %" G_GUINT64_FORMAT " served, "
           "%" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT
           " faults, %" G_GUINT64_FORMAT " broken\n",
           seed, s.writes->len, s.served, s.refused, s.faults, s.broken);
    return s.broken == 0 ? 0 : 1;
}
