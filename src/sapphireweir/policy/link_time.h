#ifndef SAPPHIREWEIR_POLICY_LINK_TIME_H
#define SAPPHIREWEIR_POLICY_LINK_TIME_H

#include <stdint.h>

/* A round trip to an instance of another failure domain, until measured. */
enum { kLinkTimeDefaultUs = 3000 };

/* What is known of the link to one instance; all zero: nothing. */
typedef struct {
    uint64_t round_trip_us; /* smoothed */
    uint32_t lost_permille; /* smoothed share of answers that were lost */
    uint64_t updated_us;    /* last measurement or loss, zero: none */
} LinkTime;

void link_time_measured(LinkTime *l, uint64_t now_us, uint64_t took_us,
                        uint64_t spent_us);
void link_time_lost(LinkTime *l, uint64_t now_us);
uint64_t link_time_us(const LinkTime *l, uint64_t now_us);

#endif
