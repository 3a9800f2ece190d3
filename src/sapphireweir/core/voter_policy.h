#ifndef SAPPHIREWEIR_CORE_VOTER_POLICY_H
#define SAPPHIREWEIR_CORE_VOTER_POLICY_H

#include <glib.h>
#include <stdint.h>

gboolean voter_policy_promote(uint32_t voters, uint32_t members,
                              gboolean voter_unresponsive);

#endif
