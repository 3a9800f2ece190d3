#include "core/error.h"

/* Returns the GError domain shared by all modules of the core. */
GQuark
core_error_quark(void)
{
    return g_quark_from_static_string("sapphireweir-core");
}
