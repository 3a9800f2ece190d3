#ifndef SAPPHIREWEIR_CORE_ERROR_H
#define SAPPHIREWEIR_CORE_ERROR_H

#include <glib.h>

/* GError codes of the core; the caller decides what follows from each. */
typedef enum {
    kCoreErrorInvalid,
    kCoreErrorConflict,
    kCoreErrorNotFound,
    kCoreErrorCorrupt,
    kCoreErrorIo,
} CoreErrorCode;

#define CORE_ERROR (core_error_quark())

GQuark core_error_quark(void);

#endif
