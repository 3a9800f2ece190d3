#ifndef SAPPHIREWEIR_CORE_ERROR_H
#define SAPPHIREWEIR_CORE_ERROR_H

#include <glib.h>

/* GError codes of the core modules; the caller decides how to react to
 * each. */
typedef enum {
    kCoreErrorInvalid,  /* the request or its data is not acceptable */
    kCoreErrorConflict, /* it contradicts the current state */
    kCoreErrorNotFound,
    kCoreErrorCorrupt, /* stored data is damaged */
    kCoreErrorIo,
} CoreErrorCode;

#define CORE_ERROR (core_error_quark())

GQuark core_error_quark(void);

#endif
