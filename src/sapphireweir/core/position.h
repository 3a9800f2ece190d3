#ifndef SAPPHIREWEIR_CORE_POSITION_H
#define SAPPHIREWEIR_CORE_POSITION_H

#include <stdint.h>

/* Position in a database's log; a zero term means none is known. */
typedef struct {
    uint64_t term;
    uint64_t number;
} Position;

/* Compares two positions as strcmp does. */
static inline int
position_compare(Position a, Position b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    return a.number < b.number ? -1 : a.number > b.number;
}

#endif
