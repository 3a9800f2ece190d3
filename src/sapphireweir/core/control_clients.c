#include "core/control_clients.h"

#include <string.h>

/* What the HTTP clients of all instances use of their limits, for the status
 * that operators read.  Entry instances report it with their lease requests,
 * control instances to the leader once a second; none of it is replicated. */

/* Copies the numbers of a report, which is freed after the call. */
void
control_clients_copy(Sw__ClientPressure *to, const Sw__ClientPressure *from)
{
    *to = *from;
    to->base.n_unknown_fields = 0;
    to->base.unknown_fields = NULL;
}

/* Sets what the clients of this instance use. */
void
control_core_set_clients(ControlCore *k, const Sw__ClientPressure *clients)
{
    control_clients_copy(&k->clients, clients);
}

/* Reports the clients of this instance to the leader, once in
 * kClientsReportIntervalUs. */
void
control_clients_report(ControlCore *k, uint64_t now_us)
{
    const char *leader = consensus_leader(k->consensus);
    Sw__Frame frame = SW__FRAME__INIT;

    if (leader == NULL || control_core_leads(k) ||
        now_us < k->clients_report_at_us) {
        return;
    }
    k->clients_report_at_us = now_us + kClientsReportIntervalUs;
    frame.body_case = SW__FRAME__BODY_CLIENT_PRESSURE;
    frame.client_pressure = &k->clients;
    k->port.send(k->port.ctx, leader, &frame);
}

/* Records the report of another control instance.  Those of unknown instances
 * are ignored. */
void
control_clients_record(ControlCore *k, uint64_t now_us, const char *from,
                       const Sw__ClientPressure *clients)
{
    const GPtrArray *members = consensus_members(k->consensus);

    for (guint i = 0; i < members->len; i++) {
        const ConsensusMember *m = g_ptr_array_index(members, i);
        if (strcmp(m->id, from) == 0) {
            ControlTracker *t = g_hash_table_lookup(k->controls, from);
            if (t == NULL) {
                t = g_new0(ControlTracker, 1);
                g_hash_table_insert(k->controls, g_strdup(from), t);
            }
            t->last_seen_us = now_us;
            control_clients_copy(&t->clients, clients);
            return;
        }
    }
}

/* Returns a report as JSON, null without one. */
json_t *
control_clients_to_json(const Sw__ClientPressure *c)
{
    if (c == NULL || c->max_connections == 0) {
        return json_null();
    }
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:{s:I, s:I}, s:{s:I, s:I, s:I}}", "connections",
        (json_int_t)c->connections, "max_connections",
        (json_int_t)c->max_connections, "held_bytes",
        (json_int_t)c->held_bytes, "max_bytes", (json_int_t)c->max_bytes,
        "rejected", "connections", (json_int_t)c->rejected_connections,
        "requests", (json_int_t)c->rejected_requests, "closed", "replaced",
        (json_int_t)c->closed_replaced, "too_slow", (json_int_t)c->closed_slow,
        "too_much_memory", (json_int_t)c->closed_memory);
}

/* Returns the last report of a control instance as JSON, null without one in
 * kClientsReportMaxAgeUs. */
json_t *
control_clients_of_control(const ControlCore *k, uint64_t now_us,
                           const char *id)
{
    const ControlTracker *t = g_hash_table_lookup(k->controls, id);

    if (strcmp(id, k->id) == 0) {
        return control_clients_to_json(&k->clients);
    }
    if (t == NULL || now_us - t->last_seen_us > kClientsReportMaxAgeUs) {
        return json_null();
    }
    return control_clients_to_json(&t->clients);
}
