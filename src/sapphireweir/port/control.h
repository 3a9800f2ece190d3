#ifndef SAPPHIREWEIR_PORT_CONTROL_H
#define SAPPHIREWEIR_PORT_CONTROL_H

#include <stdint.h>

#include "port/storage.h"
#include "proto/sapphireweir.pb-c.h"

/* What a control instance's decisions need of the world. */
typedef struct {
    void *ctx;
    /* Sends a frame to another instance; it may be lost. */
    void (*send)(void *ctx, const char *to, const Sw__Frame *frame);
    /* Says where an instance listens for peers from now on. */
    void (*peer_address)(void *ctx, const char *id, const char *address);
    uint64_t (*random)(void *ctx);
    StoragePort storage;
} ControlPort;

#endif
