#include "offered.h"

#include <math.h>
#include <string.h>

/* The load that a team offers at a time: its usual load, times its surge,
 * times the average of the failure domains' waves. */

/* Returns the wave of a failure domain, or NULL. */
static const Wave *
wave_of(const Experiment *x, const char *domain)
{
    for (guint i = 0; i < x->waves->len; i++) {
        const Wave *w = g_ptr_array_index(x->waves, i);
        if (strcmp(w->failure_domain, domain) == 0) {
            return w;
        }
    }
    return NULL;
}

/* Returns the load of a failure domain's callers relative to their average. */
static double
domain_factor(const Experiment *x, const char *domain, double at_s)
{
    const Wave *w = wave_of(x, domain);
    if (w == NULL) {
        return 1;
    }
    return 1 + w->amplitude * sin(2 * G_PI * (at_s / w->period_s + w->phase));
}

/* Returns the multiple of its usual load that a team offers.  Of surges that
 * overlap, the largest counts. */
static double
surge_multiple(const Experiment *x, const TeamLoad *t, double at_s)
{
    double multiple = 1;
    for (guint i = 0; i < x->surges->len; i++) {
        const Surge *s = g_ptr_array_index(x->surges, i);
        if (strcmp(s->team, t->name) == 0 && at_s >= s->begin_s &&
            at_s < s->end_s) {
            multiple = MAX(multiple, s->multiple);
        }
    }
    return multiple;
}

/* Returns the requests per second that a team offers at a time after the start
 * of the measured part.  domains are the names of the failure domains; domain
 * is the index of the only one with callers of the team, -1: all have equally
 * many. */
double
offered_per_s(const Experiment *x, const TeamLoad *t, const GPtrArray *domains,
              int32_t domain, double at_s)
{
    double sum = 0;
    if (at_s < t->begin_s || at_s >= t->end_s) {
        return 0;
    }
    double usual = t->offered_per_s * surge_multiple(x, t, at_s);
    if (domain >= 0) {
        return usual * domain_factor(
                           x, g_ptr_array_index(domains, (guint)domain), at_s);
    }
    for (guint i = 0; i < domains->len; i++) {
        sum += domain_factor(x, g_ptr_array_index(domains, i), at_s);
    }
    return domains->len == 0 ? usual : usual * sum / domains->len;
}

/* Returns an upper bound of offered_per_s over all times: the largest surge at
 * the peak of every wave. */
double
offered_peak_per_s(const Experiment *x, const TeamLoad *t,
                   const GPtrArray *domains, int32_t domain)
{
    double multiple = 1;
    double sum = 0;
    guint count = 0;

    for (guint i = 0; i < x->surges->len; i++) {
        const Surge *s = g_ptr_array_index(x->surges, i);
        if (strcmp(s->team, t->name) == 0) {
            multiple = MAX(multiple, s->multiple);
        }
    }
    for (guint i = 0; i < domains->len; i++) {
        if (domain < 0 || (guint)domain == i) {
            const Wave *w = wave_of(x, g_ptr_array_index(domains, i));
            sum += 1 + (w == NULL ? 0 : w->amplitude);
            count++;
        }
    }
    return t->offered_per_s * multiple * (count == 0 ? 1 : sum / count);
}

/* Returns the index of the failure domain whose caller sends the next request,
 * by the domains' load at the time.  draw is a random number from 0 to 1. */
uint32_t
offered_pick_domain(const Experiment *x, const GPtrArray *domains, double at_s,
                    double draw)
{
    double sum = 0;
    for (guint i = 0; i < domains->len; i++) {
        sum += domain_factor(x, g_ptr_array_index(domains, i), at_s);
    }
    double rest = draw * sum;
    for (guint i = 0; i < domains->len; i++) {
        rest -= domain_factor(x, g_ptr_array_index(domains, i), at_s);
        if (rest < 0) {
            return i;
        }
    }
    return domains->len == 0 ? 0 : domains->len - 1;
}
