#ifndef SAPPHIREWEIR_FLEET_SHARE_RECORDS_H
#define SAPPHIREWEIR_FLEET_SHARE_RECORDS_H

#include "policy/share_bounds.h"
#include "proto/sapphireweir.pb-c.h"

GPtrArray *share_records_new(void);
void share_records_add(GPtrArray *records, uint64_t entry, uint64_t team,
                       uint32_t bound_micro);
GPtrArray *share_records_of(const ShareBounds *b);
void share_records_apply(ShareBounds *b, Sw__ShareBoundsRecord *const *records,
                         size_t count);

#endif
