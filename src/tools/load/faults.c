#include <signal.h>
#include <string.h>

#include "core/schema.h"
#include "run.h"

/* Faults of an experiment: signals to processes and commands to stand-ins. */

/* Sends a command to the command port of a stand-in; errors are ignored. */
static void
post_fault(Run *r, const char *address, const char *body)
{
    char *url = g_strdup_printf("http://%s", address);
    char *entries[] = {url, NULL};
    Client c = {entries, (char *)"", NULL};
    json_t *parsed = json_loads(body, 0, NULL);
    Reply reply = client_post(&c, "/fault", parsed, NULL);
    json_decref(reply.body);
    json_decref(parsed);
    g_free(url);
    (void)r;
}

/* Sets the simulated duration of statements to zero on all stand-ins, so that
 * the checks after the run take less time. */
void
faults_clear_service_time(Run *r)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(r->endpoints, "standins"), i, s)
    {
        post_fault(r, json_text_or(s, "faults", ""), "{\"service_us\":0}");
    }
}

/* Returns the address of a member's command port, or NULL when the member is
 * unknown. */
static const char *
member_command_address(Run *r, const char *database, const char *member)
{
    size_t i;
    json_t *s;
    json_array_foreach(json_object_get(r->endpoints, "standins"), i, s)
    {
        if (strcmp(json_text_or(s, "database", ""), database) == 0 &&
            strcmp(json_text_or(s, "member", ""), member) == 0) {
            return json_text_or(s, "faults", NULL);
        }
    }
    return NULL;
}

/* Returns the id of a database's current primary, m1 when the lookup fails.
 * The caller frees it. */
static char *
current_primary(Run *r, const char *database)
{
    char *path = g_strdup_printf("/admin/v1/resources/primary/%s", database);
    Reply reply = client_get(&r->client, path);
    char *name = g_strdup(
        json_text_or(json_object_get(reply.body, "spec"), "member", "m1"));
    json_decref(reply.body);
    g_free(path);
    return name;
}

/* Sends a signal to a process of the fleet, by its name in the endpoints file;
 * an unknown name is ignored. */
static void
signal_process(Run *r, const char *name, int number)
{
    const json_t *pids = json_object_get(r->endpoints, "pids");
    pid_t pid = (pid_t)json_integer_value(json_object_get(pids, name));
    if (pid > 1) {
        kill(pid, number);
    }
}

/* Injects a fault and marks it as done.  The target "primary" is resolved at
 * this time. */
static void
inject_fault(Run *r, Fault *f)
{
    gboolean primary = strcmp(f->target, "primary") == 0;
    char *target =
        primary ? current_primary(r, f->database) : g_strdup(f->target);

    if (strcmp(f->kind, "signal") == 0 && primary) {
        char *name = g_strdup_printf("standin-%s-%s", f->database, target);
        signal_process(r, name, f->signal);
        g_free(name);
    }
    else if (strcmp(f->kind, "signal") == 0) {
        signal_process(r, target, f->signal);
    }
    else {
        const char *address = member_command_address(r, f->database, target);
        if (address != NULL) {
            post_fault(r, address, f->body);
        }
    }
    if (r->first_fault_us == 0) {
        r->first_fault_us = (uint64_t)g_get_monotonic_time();
    }
    f->done = TRUE;
    g_free(target);
}

/* Injects the faults whose time has come.  at_us is the monotonic time. */
void
faults_inject_due(Run *r, uint64_t at_us)
{
    for (guint i = 0; i < r->experiment->faults->len; i++) {
        Fault *f = g_ptr_array_index(r->experiment->faults, i);
        if (!f->done &&
            at_us >= r->measure_start_us + (uint64_t)(f->at_s * 1000000)) {
            inject_fault(r, f);
        }
    }
}
