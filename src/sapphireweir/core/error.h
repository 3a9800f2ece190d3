#ifndef SAPPHIREWEIR_CORE_ERROR_H
#define SAPPHIREWEIR_CORE_ERROR_H

#include <glib.h>

/* GError codes of the domain CORE_ERROR. */
typedef enum {
    kCoreErrorInvalid,  /* the request or its data is not acceptable */
    kCoreErrorConflict, /* the request contradicts the current state */
    kCoreErrorNotFound,
    kCoreErrorCorrupt, /* stored data is damaged */
    kCoreErrorIo,      /* a file or socket operation failed */
} CoreErrorCode;

#define CORE_ERROR (core_error_quark())

GQuark core_error_quark(void);

#endif
