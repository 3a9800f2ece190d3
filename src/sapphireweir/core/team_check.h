#ifndef SAPPHIREWEIR_CORE_TEAM_CHECK_H
#define SAPPHIREWEIR_CORE_TEAM_CHECK_H

#include <jansson.h>

#include "core/state.h"

char *team_check_bursts(State *s, const json_t *changes);

#endif
