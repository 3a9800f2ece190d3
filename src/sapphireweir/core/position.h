#ifndef SAPPHIREWEIR_CORE_POSITION_H
#define SAPPHIREWEIR_CORE_POSITION_H

#include <stdint.h>

/* Position in a database's log, as the gateway and the director use it; the
 * modules of an EntryCore use LogPosition (core/session_token.h) instead.  A
 * zero term means that the position is unknown. */
typedef struct {
    uint64_t term;   /* of the primary that wrote the log; compared first */
    uint64_t number; /* place in the log; increases within a term */
} Position;

/* Compares two positions, the term first.  Returns a value less than, equal
 * to or greater than zero, as strcmp does. */
static inline int
position_compare(Position a, Position b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    return a.number < b.number ? -1 : a.number > b.number;
}

#endif
