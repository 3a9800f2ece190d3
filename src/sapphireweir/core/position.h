#ifndef SAPPHIREWEIR_CORE_POSITION_H
#define SAPPHIREWEIR_CORE_POSITION_H

#include <stdint.h>

/* Position in a database's log, as the gateway and the director use it.  A
 * zero term means that the position is unknown. */
typedef struct {
    uint64_t term;
    uint64_t number;
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
