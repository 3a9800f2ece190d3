/* One team asks for far more than its limit, and all processes are killed and
 * started again at once.  The members must not run more of its requests in any
 * window than the limit with its overshoot and slack allows. */

#include "../lib-2/harness.h"

enum {
    kRatePerS = 40, /* and the burst */
    kWindowS = 5,   /* bounds.quota-window-s */
    kSlack = 20,    /* bounds.quota-slack */
    kBeforeMs = 9000,
    kAfterMs = 9000,
    kDownMs = 500, /* the site's days: down_s 0.52 to 1.5 */
};

/* bounds.quota-overshoot is 0.1. */
static const uint32_t kAllowed =
    (kRatePerS * kWindowS + kRatePerS) * 11 / 10 + kSlack;

static GArray *arrivals_us; /* gint64 */

static gboolean
on_statement(Client *c, char *line)
{
    gint64 now_us = g_get_monotonic_time();

    if (!g_str_has_prefix(line, "QUERY - ")) {
        g_array_append_val(arrivals_us, now_us);
    }
    return emulator_receive(c, line);
}

/* Sends one read after the other for a time. */
static void
press(Emulator *e, uint32_t duration_ms)
{
    static uint32_t number;
    gint64 end_us = g_get_monotonic_time() + (gint64)duration_ms * 1000;
    EmulatorCaller *c = NULL;
    char text[40];

    while (g_get_monotonic_time() < end_us) {
        if (c == NULL || caller_is_closed(c)) {
            g_clear_pointer(&c, caller_close);
            c = connect_until_ready(e, 0, 200);
            continue;
        }
        g_snprintf(text, sizeof(text), "QUERY q%u READ 1a4", ++number);
        caller_request(c, text);
        run_whole(e, 1);
    }
    g_clear_pointer(&c, caller_close);
    record("%u statements sent so far, %u ran", number, arrivals_us->len);
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Emulator *e = case_start(argv);
    guint first = 0;
    guint most = 0;
    gint64 most_us = 0;

    for (uint32_t i = 3; i < kEmulatorMembers; i++) {
        e->members[i].running = FALSE;
    }
    arrivals_us = g_array_new(FALSE, FALSE, sizeof(gint64));
    statement_hook = on_statement;
    e->rate_per_s = kRatePerS;
    HttpResponse put = emulator_put_document(e, 7, TRUE);
    g_free(put.body);
    record("operator: PUT /config version 7 -> %d", put.status);
    EmulatorCaller *c =
        put.status == 200 ? connect_until_ready(e, 0, 10000) : NULL;
    if (c == NULL) {
        return case_end(e, 2);
    }
    caller_close(c);
    /* Config-apply-ms and a window, so that the limit binds. */
    run_whole(e, 8000);
    press(e, kBeforeMs);
    if (trouble) {
        record("all processes are killed");
        for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
            emulator_kill_program(e, i);
        }
        run_whole(e, kDownMs);
        for (uint32_t i = 0; i < kEmulatorPrograms; i++) {
            emulator_start_program(e, i);
        }
        record("all processes are started again");
    }
    press(e, kAfterMs);
    for (guint i = 0; i < arrivals_us->len; i++) {
        gint64 now_us = g_array_index(arrivals_us, gint64, i);
        while (g_array_index(arrivals_us, gint64, first) +
                   kWindowS * G_USEC_PER_SEC <= now_us) {
            first++;
        }
        if (i - first + 1 > most) {
            most = i - first + 1;
            most_us = now_us;
        }
    }
    record("%sat most %u requests ran in %d s, until %.1f ms; allowed %u",
           most > kAllowed ? "QUOTA: " : "", most, kWindowS,
           (double)(most_us - record_start_us) / 1000, kAllowed);
    return case_end(e, most > kAllowed ? 1 : most > 0 ? 0 : 2);
}
