#ifndef SAPPHIREWEIR_PORT_CONTROL_H
#define SAPPHIREWEIR_PORT_CONTROL_H

#include <stdint.h>

#include "port/storage.h"
#include "proto/sapphireweir.pb-c.h"

/* Callbacks by which a control instance's core does I/O.  The driver provides
 * them; all get ctx. */
typedef struct {
    void *ctx;
    /* Sends a frame to another instance.  Delivery is not guaranteed. */
    void (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    /* Sets the address at which an instance accepts peer links. */
    void (*peer_address)(void *ctx, const char *id, const char *address);
    /* Returns a random number. */
    uint64_t (*random)(void *ctx);
    StoragePort storage;
} ControlPort;

#endif
