#ifndef SAPPHIREWEIR_CORE_CONSENSUS_H
#define SAPPHIREWEIR_CORE_CONSENSUS_H

#include "core/consensus_defs.h"

typedef struct Consensus Consensus;

ConsensusMember *consensus_member_new(const char *id, const char *disk,
                                      const char *peer_address,
                                      const char *failure_domain,
                                      gboolean voter);
void consensus_member_free(void *member);
ConsensusEntry *consensus_entry_new(uint64_t index, uint64_t term,
                                    GBytes *command);
void consensus_entry_free(void *entry);

void consensus_keep_odd_voters(Consensus *c);
Consensus *consensus_new(const char *id, const char *disk,
                         const ConsensusTiming *timing,
                         const ConsensusPort *port);
void consensus_free(Consensus *c);
gboolean consensus_start(Consensus *c, uint64_t now_us,
                         const ConsensusSaved *saved,
                         const GPtrArray *bootstrap, GError **error);

void consensus_tick(Consensus *c, uint64_t now_us);
void consensus_receive(Consensus *c, uint64_t now_us, const char *from,
                       const Sw__ConsensusMessage *m);
void consensus_flush(Consensus *c, uint64_t now_us);

uint64_t consensus_propose(Consensus *c, uint64_t now_us, GBytes *command);
gboolean consensus_member_add(Consensus *c, uint64_t now_us,
                              const ConsensusMember *member, GError **error);
gboolean consensus_member_remove(Consensus *c, uint64_t now_us, const char *id,
                                 GError **error);
void consensus_transfer(Consensus *c, uint64_t now_us);

uint64_t consensus_read_begin(Consensus *c, uint64_t now_us);
gboolean consensus_read_ready(const Consensus *c, uint64_t round);

ConsensusRole consensus_role(const Consensus *c);
const char *consensus_leader(const Consensus *c);
uint64_t consensus_term(const Consensus *c);
uint64_t consensus_commit_index(const Consensus *c);
uint64_t consensus_last_index(const Consensus *c);
uint64_t consensus_elections(const Consensus *c);
const ConsensusDrops *consensus_drops(const Consensus *c);
gboolean consensus_is_current(const Consensus *c);
gboolean consensus_failed(const Consensus *c);
gboolean consensus_no_room(const Consensus *c);
uint64_t consensus_suspensions(const Consensus *c);
uint64_t consensus_snapshots(const Consensus *c);
uint64_t consensus_snapshots_postponed(const Consensus *c);
const GPtrArray *consensus_members(const Consensus *c);
uint64_t consensus_member_last_seen_us(Consensus *c, const char *id);
gboolean consensus_is_member(const Consensus *c);
gboolean consensus_is_voter(const Consensus *c);
uint32_t consensus_voter_count(const Consensus *c);

#endif
