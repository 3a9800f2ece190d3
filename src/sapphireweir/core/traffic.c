#include "core/traffic.h"

/* Counts the frames between own processes by kind, which shows what fills a
 * network link. */

/* Counts a frame that takes this many bytes on the link. */
void
traffic_count(Traffic *t, const Sw__Frame *frame, size_t bytes)
{
    uint32_t kind = (uint32_t)frame->body_case;

    if (kind < kTrafficKinds) {
        t->frames[kind]++;
        t->bytes[kind] += bytes;
    }
}

/* Returns the name of a kind as in the protocol, NULL if there is none. */
const char *
traffic_kind_name(uint32_t kind)
{
    const ProtobufCFieldDescriptor *field =
        kind == 0 ? NULL
                  : protobuf_c_message_descriptor_get_field(
                        &sw__frame__descriptor, kind);
    return field == NULL ? NULL : field->name;
}

/* Returns the bytes of all kinds. */
uint64_t
traffic_bytes(const Traffic *t)
{
    uint64_t total = 0;

    for (uint32_t i = 0; i < kTrafficKinds; i++) {
        total += t->bytes[i];
    }
    return total;
}

/* Appends the counters of the kinds that occurred, in the metrics text
 * format.  direction is "sent" or "received". */
void
traffic_write_text(const Traffic *t, const char *direction, GString *out)
{
    for (uint32_t i = 0; i < kTrafficKinds; i++) {
        const char *name = traffic_kind_name(i);
        if (t->frames[i] == 0 || name == NULL) {
            continue;
        }
        g_string_append_printf(
            out,
            "sapphireweir_peer_%s_frames_total{kind=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n"
            "sapphireweir_peer_%s_bytes_total{kind=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            direction, name, t->frames[i], direction, name, t->bytes[i]);
    }
}

/* ---- between failure domains ---- */

/* Returns why a frame is sent to another failure domain. */
static TrafficReason
reason_of(const Sw__Frame *frame)
{
    switch (frame->body_case) {
    case SW__FRAME__BODY_RELAY_RUN:
        return frame->relay_run->chosen ? kTrafficPlacement : kTrafficOwner;
    case SW__FRAME__BODY_RELAY_RESULT:
        return frame->relay_result->chosen ? kTrafficPlacement : kTrafficOwner;
    case SW__FRAME__BODY_RELAY_PING:
        return frame->relay_ping->load != NULL ? kTrafficPlacement
                                               : kTrafficOwner;
    case SW__FRAME__BODY_WORK_REQUEST:
        return frame->work_request->chosen ? kTrafficPlacement : kTrafficOwner;
    case SW__FRAME__BODY_WORK_REPLY:
        return frame->work_reply->chosen ? kTrafficPlacement : kTrafficOwner;
    case SW__FRAME__BODY_RELAY_END:
    case SW__FRAME__BODY_CANCEL_WORK:
        return kTrafficOwner;
    case SW__FRAME__BODY_ENTRY_REPORT:
    case SW__FRAME__BODY_ENTRY_GRANT:
    case SW__FRAME__BODY_LEASE_REQUEST:
    case SW__FRAME__BODY_LEASE_REPLY:
        return kTrafficReport;
    case SW__FRAME__BODY_DIRECTORY_UPDATE:
    case SW__FRAME__BODY_SERVER_QUERY:
    case SW__FRAME__BODY_SERVER_ANSWER:
        return kTrafficDirectory;
    case SW__FRAME__BODY_STATE_UPDATE:
    case SW__FRAME__BODY_DOCUMENT_UPDATE:
    case SW__FRAME__BODY_DOCUMENT_CHUNK:
    case SW__FRAME__BODY_DOCUMENT_RECEIPT:
        return kTrafficDocument;
    default:
        return kTrafficOther;
    }
}

/* Counts a frame that takes this many bytes on a link to another failure
 * domain. */
void
domain_traffic_count(DomainTraffic *t, const Sw__Frame *frame, size_t bytes)
{
    uint32_t kind = (uint32_t)frame->body_case;

    if (kind < kTrafficKinds) {
        t->bytes[kind][reason_of(frame)] += bytes;
    }
}

/* Appends the counters that are not zero, in the metrics text format.
 * direction is "sent" or "received". */
void
domain_traffic_write_text(const DomainTraffic *t, const char *direction,
                          GString *out)
{
    static const char *const reasons[kTrafficReasons] = {
        "placement", "owner", "report", "directory", "document", "other"};

    for (uint32_t i = 0; i < kTrafficKinds; i++) {
        const char *name = traffic_kind_name(i);
        for (uint32_t k = 0; k < kTrafficReasons && name != NULL; k++) {
            if (t->bytes[i][k] != 0) {
                g_string_append_printf(
                    out,
                    "sapphireweir_cross_domain_%s_bytes_total{kind=\"%s\","
                    "reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
                    direction, name, reasons[k], t->bytes[i][k]);
            }
        }
    }
}
