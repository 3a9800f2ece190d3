#ifndef SAPPHIREWEIR_TEST_EMULATOR_H
#define SAPPHIREWEIR_TEST_EMULATOR_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

/* The users' platform around the real programs, by its published protocol:
 * members that speak the wire and report their status, the operator, the
 * address that takes promotions, and callers.  Everything runs on loopback
 * in the test's own process and loop; only the programs are processes. */

enum {
    kEmulatorControls = 3,
    kEmulatorEntries = 2,
    kEmulatorMembers = 3,
};

typedef struct Emulator Emulator;

typedef struct {
    int status; /* zero: no answer */
    char *body;
} HttpReply;

/* A caller's connection; answers are kept as lines. */
typedef struct EmulatorCaller EmulatorCaller;

Emulator *emulator_start(const char *folder);
void emulator_free(Emulator *e);
void emulator_pump(Emulator *e, uint32_t for_ms);

HttpReply emulator_http(Emulator *e, const char *address, const char *method,
                        const char *path, const char *body);
HttpReply emulator_put_document(Emulator *e, uint32_t version,
                                gboolean with_key);
const char *emulator_control(const Emulator *e, uint32_t i);
const char *emulator_probe(const Emulator *e, uint32_t i);
/* One of the programs: entry instances first, then control instances. */
enum { kEmulatorPrograms = kEmulatorEntries + kEmulatorControls };
pid_t emulator_pid(const Emulator *e, uint32_t program);
void emulator_program_kill(Emulator *e, uint32_t program);
void emulator_program_start(Emulator *e, uint32_t program);
pid_t emulator_entry_pid(const Emulator *e, uint32_t i);
gboolean emulator_ended(Emulator *e, pid_t pid, int *exit_code);

int emulator_primary(const Emulator *e);
void emulator_member_power(Emulator *e, uint32_t i, gboolean on);
void emulator_member_drain(Emulator *e, uint32_t i);
void emulator_lose_next_answer(Emulator *e);
uint32_t emulator_promotions(const Emulator *e);
gboolean emulator_member_up(const Emulator *e, uint32_t i);
uint32_t emulator_written(const Emulator *e, const char *data);
uint32_t emulator_open_transactions(const Emulator *e);
uint32_t emulator_after_drain(const Emulator *e);

EmulatorCaller *caller_connect(Emulator *e, uint32_t entry);
void caller_send(EmulatorCaller *c, const char *text);
const char *caller_ask(EmulatorCaller *c, const char *text);
gboolean caller_closed(const EmulatorCaller *c);
void caller_leave(EmulatorCaller *c);

#endif
