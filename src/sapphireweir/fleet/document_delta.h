#ifndef SAPPHIREWEIR_FLEET_DOCUMENT_DELTA_H
#define SAPPHIREWEIR_FLEET_DOCUMENT_DELTA_H

#include <glib.h>

#include "proto/sapphireweir.pb-c.h"

Sw__DocumentUpdate *document_delta(GBytes *base, uint64_t base_version,
                                   GBytes *text, uint64_t version);
GBytes *document_delta_apply(GBytes *base, const Sw__DocumentUpdate *m);

#endif
