#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for everything around the project's platform programs: the
 * members of one service, the platform (readiness probe, promotions), the
 * operator and the consumers.  They run as threads of the test; the entry and
 * control programs are separate processes.  All addresses are on loopback. */

enum {
    kControls = 3,
    kMaxEntries = 8,
    kMembers = 3,
    kAnswerBytes = 8192,
};

typedef struct {
    int entries;       /* entry processes, at most kMaxEntries */
    int work_ms;       /* time that a statement occupies a slot */
    int max_conns;     /* of a member */
    const char *zones; /* one zone letter for each entry, e.g. "ab" */
    int sync_replicas; /* that must have received a commit before its answer */
} Setup;

/* ---- record.txt ---- */

void record_open(const char *path);
/* Writes one line with the milliseconds since the start. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t now_ms(void);
void sleep_ms(int64_t ms);

/* ---- processes and platform ---- */

/* Starts the members, the platform, the control and the entry processes.
 * Exits the test with 2 if that is not possible. */
void fleet_start(const Setup *setup);
/* Kills all processes that were started and removes their folder. */
void fleet_stop(void);
void entry_signal(int entry, int signal_number);
/* Waits until the entry process has ended. */
void entry_wait(int entry);
void entry_start(int entry);
void control_signal(int control, int signal_number);
const char *entry_address(int entry);
/* Returns whether the balancer sends new connections to the entry. */
bool entry_in_rotation(int entry);
const char *service_name(void);
/* Puts a manifest until one control process acknowledges it.  Returns the
 * time of the acknowledgement, or -1. */
int64_t put_manifest(const char *json);
/* Waits until a read as this consumer succeeds at every entry. */
bool wait_until_served(const char *host, const char *key);
/* Ends the test with 2 because the case could not run. */
void cannot_run(const char *why) __attribute__((noreturn));

/* ---- members ---- */

/* A statement that a member has run. */
typedef struct {
    int64_t arrived_ms;
    int member;
    long connection;  /* number of the member's connection */
    long transaction; /* number of the member's transaction, 0: none */
    bool outer;       /* it came while a transaction was open */
    char tenant[64];
    char id[64];
    char text[512];
    char values[64]; /* of the session value "probe" at the connection */
    char mac[64];    /* empty: not completed */
} Run;

/* Calls the function for each statement with a consumer's id that a member
 * has run, in order of arrival. */
void each_run(void (*function)(const Run *run, void *arg), void *arg);
/* Returns whether the newest primary's log has a commit of this statement. */
bool is_committed(const char *id);
int member_primary(void);
void member_crash(int member);
void member_restart(int member);
void member_deaf(int member, bool deaf);
/* Sets a function that is called before a member leads, with the number of
 * commits in its log. */
void on_promoted(void (*function)(int member, size_t n));
size_t commit_position_locked(const char *id);

/* ---- consumers ---- */

typedef struct {
    int fd;
    char buffer[65536];
    size_t filled;
} Consumer;

typedef struct {
    bool whole;     /* ended by READY */
    bool closed;    /* the connection ended */
    bool completed; /* COMPLETE */
    char mac[64];
    char code[64]; /* of ERROR */
    char state;    /* I, T or E */
    char rows[kAnswerBytes];
} Answer;

/* Connects and sends STARTUP.  Returns false if READY did not come. */
bool consumer_open(Consumer *c, int entry, const char *host, const char *key);
/* Fills in a new statement id. */
void new_id(char id[17]);
/* Sends one statement and waits for its answer at most timeout_ms.  Returns
 * the whole answer's arrival as answer->whole. */
void consumer_query(Consumer *c, const char *id, const char *text,
                    Answer *answer, int timeout_ms);
/* Like consumer_query for a text that is not a C string. */
void consumer_query_bytes(Consumer *c, const char *id, const char *text,
                          size_t bytes, Answer *answer, int timeout_ms);
void consumer_close(Consumer *c);

#endif
