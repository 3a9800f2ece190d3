/* A member fails a part of its requests for some seconds.  Statements of
 * callers must not run there with other session values than those that were
 * acknowledged to the caller. */

#include "../lib-2/harness.h"

enum {
    kFailPercent = 40, /* srv_grey: x (.4) of the requests */
    kGreyMs = 6000,    /* srv_grey: up to 6.5 s */
    kMembers = 7,      /* of the service */
    kGreyMember = 0,   /* srv_grey: share (.15); one of seven is .143 */
};

/* A caller and what was acknowledged to it; the first letter of the ids of
 * its statements is its name. */
typedef struct {
    char name;
    EmulatorCaller *connection;
    char *zone; /* value of "zone", NULL if it was not set */
} CallerSession;

static CallerSession sessions[] = {
    {'a', NULL, NULL}, {'b', NULL, NULL}, {'c', NULL, NULL}};
static GRand *rand_;
static gboolean grey;
static uint32_t failed;   /* requests that the member failed */
static uint32_t compared; /* statements of callers */
static uint32_t wrong;

/* Compares the values on a connection with those of the caller. */
static void
check_values(const Client *c, const char *id, const char *text)
{
    const char *has =
        c->values == NULL ? NULL : g_hash_table_lookup(c->values, "zone");

    for (size_t i = 0; i < G_N_ELEMENTS(sessions); i++) {
        const CallerSession *s = &sessions[i];
        if (id[0] != s->name) {
            continue;
        }
        compared++;
        if (g_strcmp0(has, s->zone) != 0) {
            wrong++;
            record("PINNED: %s runs \"%s\" of caller %c (id %s) with zone=%s, "
                   "acknowledged was zone=%s",
                   c->member->id, text, s->name, id,
                   has == NULL ? "(not set)" : has,
                   s->zone == NULL ? "(not set)" : s->zone);
        }
    }
}

/* Handles a line "QUERY ID TEXT" at a member. */
static gboolean
on_statement(Client *c, char *line)
{
    char **fields = g_strsplit(line, " ", 5); /* QUERY, id, verb, ... */
    guint count = g_strv_length(fields);
    const char *id = count > 1 ? fields[1] : "";
    const char *verb = count > 2 ? fields[2] : "";
    gboolean connected = TRUE;
    gboolean of_control = strcmp(verb, "STATUS") == 0;

    if (grey && c->member->index == kGreyMember && !of_control &&
        g_rand_int_range(rand_, 0, 100) < kFailPercent) {
        failed++;
        record("%s fails: %s", c->member->id, line);
        reply_error(c, "BUSY");
        g_strfreev(fields);
        return TRUE;
    }
    if (strcmp(verb, "SET") == 0 && count == 5) {
        if (c->values == NULL) {
            c->values =
                g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        }
        g_hash_table_replace(c->values, g_strdup(fields[3]),
                             g_strdup(fields[4]));
    }
    else if (strcmp(verb, "RESET") == 0 && c->values != NULL) {
        g_hash_table_remove_all(c->values);
    }
    else if (strcmp(id, "-") != 0) {
        check_values(c, id, strchr(strchr(line, ' ') + 1, ' ') + 1);
    }
    g_strfreev(fields);
    connected = emulator_receive(c, line);
    return connected;
}

/* Sends SET for a session and notes the value once it is acknowledged. */
static gboolean
session_set(CallerSession *s, const char *zone)
{
    char text[64];

    g_snprintf(text, sizeof(text), "QUERY %cset SET zone %s", s->name, zone);
    if (strstr(request(s->connection, text), "COMPLETE") == NULL) {
        return FALSE;
    }
    s->zone = g_strdup(zone);
    return TRUE;
}

/* Sends one statement of each session; a session that was closed ends. */
static void
round_of_statements(Emulator *e)
{
    static uint32_t number;
    char text[64];

    for (size_t i = 0; i < G_N_ELEMENTS(sessions); i++) {
        CallerSession *s = &sessions[i];
        number++;
        g_snprintf(text, sizeof(text),
                   number % 5 == 0 ? "QUERY %c%u WRITE 1a4 d%u"
                                   : "QUERY %c%u READ 1a4",
                   s->name, number, number);
        if (!caller_is_closed(s->connection)) {
            request(s->connection, text);
        }
        run_whole(e, 15);
    }
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Emulator *e = case_start(argv);

    for (uint32_t i = kMembers; i < kEmulatorMembers; i++) {
        e->members[i].running = FALSE;
    }
    rand_ = g_rand_new();
    e->rate_per_s = 2000;
    HttpResponse put = emulator_put_document(e, 7, TRUE);
    g_free(put.body);
    record("operator: PUT /config version 7 -> %d", put.status);
    if (put.status != 200 || !write_until_done(e, 0, "before", 10000)) {
        return case_end(e, 2);
    }
    statement_hook = on_statement;
    for (size_t i = 0; i < G_N_ELEMENTS(sessions); i++) {
        sessions[i].connection = connect_until_ready(e, 0, 3000);
        if (sessions[i].connection == NULL) {
            return case_end(e, 2);
        }
    }
    if (!session_set(&sessions[0], "north") ||
        !session_set(&sessions[1], "south")) {
        return case_end(e, 2);
    }
    for (int i = 0; i < 20; i++) {
        round_of_statements(e);
    }
    if (trouble) {
        record("member i-%d fails %d percent of its requests from now on",
               kGreyMember, kFailPercent);
        grey = TRUE;
    }
    gint64 end_us = g_get_monotonic_time() + (gint64)kGreyMs * 1000;
    while (g_get_monotonic_time() < end_us) {
        round_of_statements(e);
    }
    grey = FALSE;
    for (int i = 0; i < 20; i++) {
        round_of_statements(e);
    }
    record("%u requests failed by the member, %u statements of callers "
           "compared, %u with wrong values",
           failed, compared, wrong);
    return case_end(e, wrong > 0 ? 1 : compared > 0 ? 0 : 2);
}
