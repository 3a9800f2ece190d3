#ifndef SAPPHIREWEIR_TEST_EMULATOR_H
#define SAPPHIREWEIR_TEST_EMULATOR_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

/* Emulates the platform that hosts the sapphireweir-platform-* programs, so
 * that tests can run the real programs: database servers ("members"), which
 * speak the line protocol of backend servers and report their status to the
 * control instances; the operator, who puts configurations; the HTTP address
 * that receives promotion requests; and callers.  All of these run on
 * loopback in the event loop of the test; only the entry and control
 * instances are processes of their own. */

enum {
    kEmulatorControls = 3,
    kEmulatorEntries = 2,
    kEmulatorMembers = 3,
};

typedef struct Emulator Emulator;

typedef struct {
    int status; /* HTTP status, zero without a response */
    char *body; /* NULL without a response; the receiver frees it */
} HttpResponse;

/* A caller's connection to an entry instance. */
typedef struct EmulatorCaller EmulatorCaller;

Emulator *emulator_start(const char *folder);
Emulator *emulator_start_with_limits(const char *folder, const char *limits);
Emulator *emulator_start_with_settings(const char *folder, const char *zones,
                                       const char *limits);
void emulator_free(Emulator *e);
void emulator_run_for(Emulator *e, uint32_t duration_ms);

/* A request that was started and whose response is awaited. */
typedef struct EmulatorHttpCall EmulatorHttpCall;

EmulatorHttpCall *emulator_http_start(Emulator *e, const char *address,
                                      const char *method, const char *path,
                                      const char *body);
HttpResponse emulator_http_finish(EmulatorHttpCall *call);
HttpResponse emulator_http_request(Emulator *e, const char *address,
                                   const char *method, const char *path,
                                   const char *body);
int emulator_put_text(Emulator *e, const char *body);
HttpResponse emulator_put_document(Emulator *e, uint32_t version,
                                   gboolean with_key);
const char *emulator_control_address(const Emulator *e, uint32_t i);
const char *emulator_probe_address(const Emulator *e, uint32_t i);
const char *emulator_caller_address(const Emulator *e, uint32_t i);
/* Programs are numbered: entry instances first, then control instances. */
enum { kEmulatorPrograms = kEmulatorEntries + kEmulatorControls };
pid_t emulator_program_pid(const Emulator *e, uint32_t program);
void emulator_kill_program(Emulator *e, uint32_t program);
void emulator_start_program(Emulator *e, uint32_t program);
void emulator_lose_disk(Emulator *e, uint32_t program);
void emulator_set_disk_full(Emulator *e, uint32_t program, gboolean full);
pid_t emulator_entry_pid(const Emulator *e, uint32_t i);
gboolean emulator_reap(Emulator *e, pid_t pid, int *exit_code);

int emulator_primary(const Emulator *e);
void emulator_set_member_running(Emulator *e, uint32_t i, gboolean running);
void emulator_restart_member(Emulator *e, uint32_t i, uint32_t cold_ms);
uint32_t emulator_max_arrivals(const Emulator *e, uint32_t i);
void emulator_clear_arrivals(Emulator *e, uint32_t i);
void emulator_drain_member(Emulator *e, uint32_t i);
void emulator_undrain_member(Emulator *e, uint32_t i);
const char *emulator_member_address(const Emulator *e, uint32_t i);
void emulator_lose_next_answer(Emulator *e);
void emulator_set_rate(Emulator *e, uint32_t rate_per_s);
void emulator_set_statement_delay(Emulator *e, uint32_t delay_ms);
gboolean emulator_received_statement(const Emulator *e, const char *id);
uint32_t emulator_promotion_count(const Emulator *e);
gboolean emulator_member_running(const Emulator *e, uint32_t i);
uint32_t emulator_commit_count(const Emulator *e, const char *datum);
uint32_t emulator_open_transaction_count(const Emulator *e);
uint32_t emulator_statements_after_drain(const Emulator *e);
uint32_t emulator_member_statements(const Emulator *e, uint32_t i);
uint32_t emulator_open_links(const Emulator *e, uint32_t i);
gboolean emulator_order(Emulator *e, uint32_t domain, gboolean evacuated);

EmulatorCaller *caller_connect(Emulator *e, uint32_t entry);
void caller_send(EmulatorCaller *c, const char *text);
const char *caller_request(EmulatorCaller *c, const char *text);
/* Sets a function that is called after lines have arrived. */
void caller_set_handler(EmulatorCaller *c, void (*handler)(void *ctx),
                        void *ctx);
gint64 caller_closed_us(const EmulatorCaller *c);
uint32_t caller_answer_count(const EmulatorCaller *c);
const char *caller_answers(const EmulatorCaller *c);
void caller_discard_answers(EmulatorCaller *c);
gboolean caller_is_closed(const EmulatorCaller *c);
void caller_close(EmulatorCaller *c);

#endif
