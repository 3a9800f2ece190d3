#include <string.h>

#include "core/schema.h"
#include "run.h"

/* Checks of the service's guarantees after a run, on the records of all
 * requests. */

enum {
    kWindowsPerTeam = 400, /* approximate; bounds the run time */
    kMaxAttempts = 20,     /* per lookup */
    kRetryDelayUs = 200000,
    kMaxCheckUs = 90000000, /* bounds check_writes on a fleet that is down */
};

/* Returns the number of rows on the primary with the write id of a record, or
 * -1 when the lookup failed.  Writes store their id in the column "green". */
static int64_t
count_rows(Run *r, const TeamRun *t, const Record *record)
{
    char *path = g_strdup_printf("/v1/%s/find", record->service);
    json_t *body = json_pack("{s:{s:s}}", "args", "green", record->write_id);
    Client c = {r->client.entries, t->key, NULL};
    int64_t count = -1;

    /* The lookup counts against the team's rate limit and may be refused, so
     * it is retried. */
    for (int i = 0; i < kMaxAttempts && count < 0; i++) {
        Reply reply = client_post(&c, path, body, NULL);
        if (reply.status == 200) {
            count = json_integer_or(reply.body, "row_count", 0);
        }
        else {
            g_usleep(kRetryDelayUs);
        }
        json_decref(reply.body);
    }
    json_decref(body);
    g_free(path);
    return count;
}

/* Looks up every recorded write on the primary: an acknowledged write must be
 * there exactly once, one refused as not run must be absent, and no write may
 * be there more than once.  Stops after kMaxCheckUs; writes that could not be
 * looked up are not counted as checked. */
void
check_writes(Run *r)
{
    gint64 end_us = g_get_monotonic_time() + kMaxCheckUs;
    for (guint i = 0; i < r->records->len && g_get_monotonic_time() < end_us;
         i++) {
        const Record *record = g_ptr_array_index(r->records, i);
        if (record->write_id == NULL ||
            record->outcome == kOutcomeRateLimited) {
            continue;
        }
        const TeamRun *t = g_ptr_array_index(r->teams, record->team);
        int64_t count = count_rows(r, t, record);
        if (count < 0) {
            continue; /* the lookup failed */
        }
        r->writes_checked++;
        if (count > 1) {
            r->duplicate_writes++;
        }
        if (record->outcome == kOutcomeDone && count < 1) {
            r->lost_writes++;
        }
        if (record->outcome == kOutcomeNotRun && count > 0) {
            r->false_not_run++;
        }
    }
}

/* Orders records by the time at which they were sent. */
static int
compare_sent(const void *a, const void *b)
{
    const Record *x = *(const Record *const *)a;
    const Record *y = *(const Record *const *)b;
    return x->sent_us < y->sent_us ? -1 : x->sent_us > y->sent_us ? 1 : 0;
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y ? 1 : 0;
}

/* Returns the largest surplus of admitted requests over rate x time + burst,
 * among the windows that start when the request with index start was sent and
 * end at a later response; below zero when no window exceeds it.  A request
 * counts as admitted in a window when it was sent after the window's start and
 * its response arrived before the window's end, since admission lies between
 * the two. */
static int64_t
max_window_surplus(const GPtrArray *admitted, guint start, const TeamLoad *t)
{
    const Record *first = g_ptr_array_index(admitted, start);
    GArray *response_times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    int64_t max_surplus = G_MININT64;

    for (guint i = start; i < admitted->len; i++) {
        const Record *each = g_ptr_array_index(admitted, i);
        g_array_append_val(response_times, each->response_us);
    }
    g_array_sort(response_times, compare_times);
    for (guint i = 0; i < response_times->len; i++) {
        double span_s = (double)(g_array_index(response_times, uint64_t, i) -
                                 first->sent_us) /
                        1000000;
        double allowed = t->burst + span_s * t->rate_per_s;
        max_surplus = MAX(max_surplus, (int64_t)(i + 1) - (int64_t)allowed);
    }
    g_array_unref(response_times);
    return max_surplus;
}

/* Sets rate_surplus to the largest number of requests by which a team exceeded
 * rate x time + burst in any checked window; below zero when no team exceeded
 * its rate limit.  Checks about kWindowsPerTeam windows of each team. */
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
        guint step = MAX(admitted->len / kWindowsPerTeam, 1);
        for (guint i = 0; i < admitted->len; i += step) {
            r->rate_surplus =
                MAX(r->rate_surplus, max_window_surplus(admitted, i, t->load));
        }
        g_ptr_array_unref(admitted);
    }
}
