#include "policy/admission_view.h"

/* What a borrower knows of the admission level at an owner.  Designed for a
 * burst whose rejected callers retry: it rejects at once what the owner would
 * reject after a round trip, which in a burst of five times the usual load is
 * most of the work.  A level that is not renewed for a second admits all. */

enum { kValidUs = 1000000 };

/* A team's own admission level. */
typedef struct {
    uint32_t admitted;
    uint64_t updated_us;
} TeamLevel;

/* Releases what the view holds. */
void
admission_view_clear(AdmissionView *v)
{
    g_clear_pointer(&v->teams, g_hash_table_destroy);
}

/* Records the levels of a result for work of a team.  team_admitted is zero if
 * the team has no level of its own. */
void
admission_view_update(AdmissionView *v, uint64_t now_us, const char *team,
                      uint32_t admitted, uint32_t team_admitted)
{
    v->admitted = admitted;
    v->updated_us = now_us;
    if (team_admitted == 0) {
        if (v->teams != NULL) {
            g_hash_table_remove(v->teams, team);
        }
        return;
    }
    if (v->teams == NULL) {
        v->teams =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    TeamLevel *level = g_new(TeamLevel, 1);
    *level = (TeamLevel){team_admitted, now_us};
    g_hash_table_replace(v->teams, g_strdup(team), level);
}

/* Tells whether work of a team and step may be sent to the owner. */
gboolean
admission_view_admits(const AdmissionView *v, uint64_t now_us,
                      const char *team, uint32_t step)
{
    const TeamLevel *level =
        v->teams == NULL ? NULL : g_hash_table_lookup(v->teams, team);

    if (level != NULL && now_us - level->updated_us < kValidUs) {
        return admission_admits(level->admitted, step);
    }
    return v->admitted == 0 || now_us - v->updated_us >= kValidUs ||
           admission_admits(v->admitted, step);
}

/* Records the expected wait of work of a level, in microseconds. */
void
admission_view_set_wait(AdmissionView *v, uint64_t now_us, uint32_t level,
                        uint64_t wait_us)
{
    v->wait_us[level] = wait_us;
    v->wait_updated_us[level] = now_us;
}

/* Returns the expected wait of work of a level as it was reported. */
uint64_t
admission_view_reported_wait_us(const AdmissionView *v, uint64_t now_us,
                                uint32_t level)
{
    uint64_t least_us = UINT64_MAX;

    for (uint32_t i = level; i < kAdmissionLevels; i++) {
        if (v->wait_updated_us[i] != 0 &&
            now_us - v->wait_updated_us[i] < kValidUs) {
            least_us = MIN(least_us, v->wait_us[i]);
        }
    }
    return least_us == UINT64_MAX ? 0 : least_us;
}

/* Returns the expected wait of work of a level, less the time since that was
 * reported.  What was reported of a less urgent level is an upper limit. */
uint64_t
admission_view_wait_us(const AdmissionView *v, uint64_t now_us, uint32_t level)
{
    uint64_t least_us = UINT64_MAX;

    for (uint32_t i = level; i < kAdmissionLevels; i++) {
        uint64_t age_us = now_us - v->wait_updated_us[i];
        if (v->wait_updated_us[i] != 0 && age_us < kValidUs) {
            least_us = MIN(
                least_us, v->wait_us[i] > age_us ? v->wait_us[i] - age_us : 0);
        }
    }
    return least_us == UINT64_MAX ? 0 : least_us;
}
