#ifndef SAPPHIREWEIR_POLICY_ADMISSION_VIEW_H
#define SAPPHIREWEIR_POLICY_ADMISSION_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "policy/admission.h"

/* The admission levels of one owner as last reported to a borrower. */
typedef struct {
    uint32_t admitted; /* of all teams */
    uint64_t updated_us;
    GHashTable *teams; /* name -> level of a team that has its own; or NULL */
    /* Expected waits by level, and when they were reported. */
    uint64_t wait_us[kAdmissionLevels];
    uint64_t wait_updated_us[kAdmissionLevels];
} AdmissionView;

void admission_view_clear(AdmissionView *v);
void admission_view_update(AdmissionView *v, uint64_t now_us, const char *team,
                           uint32_t admitted, uint32_t team_admitted);
void admission_view_set_wait(AdmissionView *v, uint64_t now_us, uint32_t level,
                             uint64_t wait_us);
uint64_t admission_view_wait_us(const AdmissionView *v, uint64_t now_us,
                                uint32_t level);
uint64_t admission_view_reported_wait_us(const AdmissionView *v,
                                         uint64_t now_us, uint32_t level);
gboolean admission_view_admits(const AdmissionView *v, uint64_t now_us,
                               const char *team, uint32_t step);

#endif
