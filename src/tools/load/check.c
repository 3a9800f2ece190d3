#include <string.h>

#include "core/schema.h"
#include "run.h"

/* Checks of the promises after a run. */

enum {
    kWindowStarts = 400,
    kAttempts = 20,
    kPauseUs = 200000,
    kCheckMostUs = 90000000, /* a fleet that serves little is not waited for */
};

static int64_t
count_rows(Run *r, const TeamRun *t, const Record *record)
{
    char *path = g_strdup_printf("/v1/%s/find", record->service);
    json_t *body = json_pack("{s:{s:s}}", "args", "green", record->mark);
    Client c = {r->client.entries, t->key, NULL};
    int64_t count = -1;

    /* The check itself may meet the team's rate: it tries again. */
    for (int i = 0; i < kAttempts && count < 0; i++) {
        Reply reply = client_post(&c, path, body, NULL);
        if (reply.status == 200) {
            count = json_integer_or(reply.body, "row_count", 0);
        }
        else {
            g_usleep(kPauseUs);
        }
        json_decref(reply.body);
    }
    json_decref(body);
    g_free(path);
    return count;
}

/* Looks every write up on the primary: an acknowledged one must be there
 * once, one refused as not run never, any at most once. */
void
check_writes(Run *r)
{
    gint64 end_us = g_get_monotonic_time() + kCheckMostUs;
    for (guint i = 0; i < r->records->len && g_get_monotonic_time() < end_us;
         i++) {
        const Record *record = g_ptr_array_index(r->records, i);
        if (!record->write || record->outcome == kOutcomeRate) {
            continue;
        }
        const TeamRun *t = g_ptr_array_index(r->teams, record->team);
        int64_t count = count_rows(r, t, record);
        if (count < 0) {
            continue; /* it could not be looked up */
        }
        r->writes_checked++;
        if (count > 1) {
            r->doubled++;
        }
        if (record->outcome == kOutcomeDone && count < 1) {
            r->lost++;
        }
        if (record->outcome == kOutcomeNotRun && count > 0) {
            r->false_not_run++;
        }
    }
}

static int
compare_sent(const void *a, const void *b)
{
    const Record *x = *(const Record *const *)a;
    const Record *y = *(const Record *const *)b;
    return x->sent_us < y->sent_us ? -1 : x->sent_us > y->sent_us ? 1 : 0;
}

static int
compare_answered(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y ? 1 : 0;
}

/* A request admitted within a window is one that was sent after its begin
 * and answered before its end; admission lies between the two. */
static int64_t
worst_window(const GPtrArray *admitted, guint start, const TeamLoad *t)
{
    const Record *first = g_ptr_array_index(admitted, start);
    GArray *answers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    int64_t worst = G_MININT64;

    for (guint i = start; i < admitted->len; i++) {
        const Record *each = g_ptr_array_index(admitted, i);
        g_array_append_val(answers, each->answered_us);
    }
    g_array_sort(answers, compare_answered);
    for (guint i = 0; i < answers->len; i++) {
        double span_s =
            (double)(g_array_index(answers, uint64_t, i) - first->sent_us) /
            1000000;
        double allowed = t->burst + span_s * t->rate_per_s;
        worst = MAX(worst, (int64_t)(i + 1) - (int64_t)allowed);
    }
    g_array_unref(answers);
    return worst;
}

/* Finds by how many requests the worst window of the worst team was above
 * rate x time + burst; below zero there was none. */
void
check_rates(Run *r)
{
    r->rate_surplus = G_MININT32;
    for (guint k = 0; k < r->teams->len; k++) {
        const TeamRun *t = g_ptr_array_index(r->teams, k);
        GPtrArray *admitted = g_ptr_array_new();
        for (guint i = 0; i < r->records->len; i++) {
            Record *each = g_ptr_array_index(r->records, i);
            if (each->team == k && each->outcome == kOutcomeDone) {
                g_ptr_array_add(admitted, each);
            }
        }
        g_ptr_array_sort(admitted, compare_sent);
        guint step = MAX(admitted->len / kWindowStarts, 1);
        for (guint i = 0; i < admitted->len; i += step) {
            r->rate_surplus =
                MAX(r->rate_surplus, worst_window(admitted, i, t->load));
        }
        g_ptr_array_unref(admitted);
    }
}
