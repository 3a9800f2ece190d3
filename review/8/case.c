/* Two shapes that a caller prepares under two names must be run as they were
 * prepared.  The names at the members are a 64-bit FNV-1a hash of the shape;
 * the two shapes of the disturbed run are a published pair with one hash. */

#include "../lib-2/harness.h"

static const char *const kSameHash[] = {"8yn0iYCKYHlIj4-BwPqk",
                                        "GReLUrM4wMqfg9yzV3KQ"};
static const char *const kOtherHash[] = {"8yn0iYCKYHlIj4-BwPqk",
                                         "GReLUrM4wMqfg9yzV3KR"};

static const char *wanted_shape; /* of the EXECUTE that is open */
static uint32_t executed;
static uint32_t wrong;

/* Keeps the shapes that are prepared on each connection, and compares that of
 * an EXECUTE with what the caller prepared. */
static gboolean
on_statement(Client *c, char *line)
{
    char **fields = g_strsplit(line, " ", 6); /* QUERY id verb name ... */
    guint count = g_strv_length(fields);
    const char *verb = count > 2 ? fields[2] : "";

    if (c->values == NULL) {
        c->values =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    if (strcmp(verb, "PREPARE") == 0 && count == 6) {
        record("member %s: %s", c->member->id, line);
        g_hash_table_replace(c->values, g_strdup(fields[3]),
                             g_strdup(fields[5]));
    }
    else if (strcmp(verb, "RESET") == 0) {
        g_hash_table_remove_all(c->values);
    }
    else if (strcmp(verb, "EXECUTE") == 0 && count > 3) {
        const char *shape = g_hash_table_lookup(c->values, fields[3]);
        record("member %s: %s, which is of shape %s", c->member->id, line,
               shape == NULL ? "(unknown)" : shape);
        executed++;
        if (shape != NULL && strcmp(shape, wanted_shape) != 0) {
            wrong++;
            record("PINNED: the caller prepared the shape %s", wanted_shape);
        }
    }
    g_strfreev(fields);
    return emulator_receive(c, line);
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Emulator *e = case_start(argv);
    const char *const *shapes = trouble ? kSameHash : kOtherHash;
    char text[96];

    for (uint32_t i = 3; i < kEmulatorMembers; i++) {
        e->members[i].running = FALSE;
    }
    HttpResponse put = emulator_put_document(e, 7, TRUE);
    g_free(put.body);
    record("operator: PUT /config version 7 -> %d", put.status);
    if (put.status != 200 || !write_until_done(e, 0, "before", 10000)) {
        return case_end(e, 2);
    }
    statement_hook = on_statement;
    EmulatorCaller *c = connect_until_ready(e, 0, 3000);
    if (c == NULL) {
        return case_end(e, 2);
    }
    for (int i = 0; i < 2; i++) {
        g_snprintf(text, sizeof(text), "QUERY p%d PREPARE s%d WRITE %s", i, i,
                   shapes[i]);
        if (strstr(request(c, text), "COMPLETE") == NULL) {
            return case_end(e, 2);
        }
    }
    request(c, "QUERY t1 BEGIN");
    for (int i = 0; i < 2; i++) {
        wanted_shape = shapes[i];
        g_snprintf(text, sizeof(text), "QUERY t%d EXECUTE s%d 1a4 data%d",
                   i + 2, i, i);
        request(c, text);
    }
    gboolean done = strstr(request(c, "QUERY t4 COMMIT"), "COMPLETE") != NULL;
    return case_end(e, wrong > 0 ? 1 : executed == 2 && done ? 0 : 2);
}
