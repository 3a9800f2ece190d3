#ifndef SAPPHIREWEIR_CTL_CHECK_H
#define SAPPHIREWEIR_CTL_CHECK_H

#include "core/config_check.h"

/* The version in force that files are checked with. */
typedef struct {
    const json_t *resources; /* objects with "key" and "spec"; NULL: none */
    /* Whether keys are among the resources, as in a fleet's state; resource
     * files have none. */
    gboolean has_keys;
    uint64_t now_ms; /* Unix time, at which keys must be valid */
} CheckBase;

ConfigCheck *check_resources(const json_t *wanted, const CheckBase *base,
                             uint64_t service_us, uint64_t lag_us);

#endif
