#include <string.h>

#include "core/traffic.h"
#include "fleet/document_transfer.h"
#include "suite.h"

/* Transfers of documents in chunks, and the counters of frames by kind. */

enum {
    kLinkBytesPerS = 250000,
    kTextBytes = 40000, /* random, so that it does not become smaller */
    kStepUs = 10000,
};

/* Returns an encoded update with a text that cannot be compressed. */
static EncodedUpdate *
update_new(uint64_t version, size_t bytes)
{
    Sw__DocumentUpdate m = SW__DOCUMENT_UPDATE__INIT;
    GRand *rand = g_rand_new_with_seed(1);

    m.version = version;
    m.text.len = bytes;
    m.text.data = g_malloc(bytes);
    for (size_t i = 0; i < bytes; i++) {
        m.text.data[i] = (uint8_t)g_rand_int(rand);
    }
    EncodedUpdate *update = encoded_update_new(&m);
    g_free(m.text.data);
    g_rand_free(rand);
    return update;
}

/* A fault between sender and receiver, applied to the chunk with this
 * number. */
typedef enum {
    kChunkIntact,
    kChunkLost,
    kChunkRepeated,
    kChunkShortened,
    kChunkDamaged,
    kChunkOfOtherSender,
} ChunkFault;

/* Sends a whole update with a fault at the third chunk.  Returns the received
 * update or NULL, to be freed by the caller, and sets *took_us. */
static Sw__DocumentUpdate *
transfer_with_fault(ChunkFault fault, uint64_t *took_us)
{
    EncodedUpdate *update = update_new(7, kTextBytes);
    DocumentTransfer t = {0};
    DocumentReceiver r = {0};
    Sw__DocumentChunk chunk;
    Sw__DocumentUpdate *received = NULL;
    uint64_t now_us = kStepUs;
    guint number = 0;

    document_transfer_begin(&t, now_us, 3, update, 0);
    while (t.packed != NULL && received == NULL) {
        while (document_transfer_next(&t, now_us, kLinkBytesPerS, &chunk)) {
            gboolean faulty = ++number == 3;
            if (faulty && fault == kChunkLost) {
                continue;
            }
            if (faulty && fault == kChunkShortened) {
                chunk.data.len /= 2;
            }
            if (faulty && fault == kChunkDamaged) {
                chunk.data.data[100] ^= 1;
            }
            const char *from =
                faulty && fault == kChunkOfOtherSender ? "b" : "a";
            ChunkResult result =
                document_receiver_add(&r, now_us, from, &chunk, &received);
            CU_ASSERT_EQUAL(result == kChunkCompletes, received != NULL);
            if (faulty && fault == kChunkRepeated) {
                CU_ASSERT_EQUAL(
                    document_receiver_add(&r, now_us, from, &chunk, &received),
                    kChunkUnusable);
                CU_ASSERT_PTR_NULL(received);
            }
        }
        now_us += kStepUs;
    }
    *took_us = now_us - kStepUs;
    document_transfer_reset(&t);
    document_receiver_clear(&r);
    encoded_update_free(update);
    return received;
}

static void
an_update_arrives_whole_or_not_at_all(void)
{
    static const struct {
        ChunkFault fault;
        gboolean arrives;
    } cases[] = {
        {kChunkIntact, TRUE},   {kChunkLost, FALSE},
        {kChunkRepeated, TRUE}, {kChunkShortened, FALSE},
        {kChunkDamaged, FALSE}, {kChunkOfOtherSender, FALSE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t took_us;
        Sw__DocumentUpdate *m = transfer_with_fault(cases[i].fault, &took_us);
        CU_ASSERT_EQUAL(m != NULL, cases[i].arrives);
        if (m == NULL) {
            continue;
        }
        CU_ASSERT_EQUAL(m->version, 7);
        CU_ASSERT_EQUAL(m->text.len, kTextBytes);
        /* A quarter of the link. */
        CU_ASSERT(took_us >=
                  (uint64_t)kTextBytes * 9 / 10 * 4000000 / kLinkBytesPerS);
        CU_ASSERT(took_us <=
                  (uint64_t)kTextBytes * 12 / 10 * 4000000 / kLinkBytesPerS);
        sw__document_update__free_unpacked(m, NULL);
    }
}

/* Sends the rest of a transfer. */
static void
send_all(DocumentTransfer *t, uint64_t now_us)
{
    Sw__DocumentChunk chunk;

    while (t->packed != NULL) {
        t->next_due_us = now_us;
        document_transfer_next(t, now_us, kLinkBytesPerS, &chunk);
    }
}

/* A storm of versions: a transfer is not replaced before the receiver has
 * answered it, and the next begins a tenth of a second after it at the
 * earliest. */
static void
transfers_follow_one_another(void)
{
    EncodedUpdate *small = update_new(1, 100);
    EncodedUpdate *large = update_new(2, kTextBytes);
    DocumentTransfer t = {0};
    Sw__DocumentChunk chunk;

    CU_ASSERT(document_transfer_may_begin(&t, 1000));
    document_transfer_begin(&t, 1000, 1, small, 0);
    CU_ASSERT(document_transfer_next(&t, 1000, kLinkBytesPerS, &chunk));
    CU_ASSERT_FALSE(document_transfer_next(&t, 1000, kLinkBytesPerS, &chunk));
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 50000));
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 101000));
    document_transfer_receipt(&t, 1, 1);
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 100999));
    CU_ASSERT(document_transfer_may_begin(&t, 101000));
    document_transfer_begin(&t, 101000, 2, large, kTextBytes);
    CU_ASSERT(document_transfer_next(&t, 101000, kLinkBytesPerS, &chunk));
    document_transfer_receipt(&t, 1, 1);
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 300000));
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 3000000));
    document_transfer_receipt(&t, 2, 1);
    CU_ASSERT_PTR_NULL(t.packed);
    /* A larger document may not be sent again so soon. */
    CU_ASSERT_FALSE(document_transfer_may_begin(&t, 200999 + 2 * kTextBytes));
    CU_ASSERT(document_transfer_may_begin(&t, 201000 + 2 * kTextBytes));
    document_transfer_reset(&t);
    encoded_update_free(small);
    encoded_update_free(large);
}

/* While the receiver's answer is awaited, a report ends a transfer whose
 * version the receiver has, and one whose update it cannot use. */
static void
reports_end_transfers_that_are_of_no_use(void)
{
    static const struct {
        uint64_t base_version;
        uint64_t reported;
        gboolean ends;
    } cases[] = {
        {5, 5, FALSE}, {5, 6, TRUE},  {5, 4, TRUE}, {5, 9, TRUE},
        {0, 0, FALSE}, {0, 6, FALSE}, {0, 9, TRUE}, {5, 10, TRUE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EncodedUpdate *update = update_new(9, kTextBytes);
        DocumentTransfer t = {0};
        update->base_version = cases[i].base_version;
        document_transfer_begin(&t, kStepUs, 1, update, 0);
        send_all(&t, kStepUs);
        document_transfer_report(&t, cases[i].reported);
        CU_ASSERT_EQUAL(document_transfer_may_begin(&t, 150000),
                        cases[i].ends);
        document_transfer_reset(&t);
        encoded_update_free(update);
    }
}

/* The wait for an answer doubles with each repetition up to 4 s, and is back
 * at its start once the version is confirmed. */
static void
repeated_transfers_wait_longer(void)
{
    static const uint64_t waits_us[] = {500000,  1000000, 2000000,
                                        4000000, 4000000, 500000};
    EncodedUpdate *update = update_new(9, 100);
    DocumentTransfer t = {0};
    uint64_t now_us = kStepUs;

    for (size_t i = 0; i < G_N_ELEMENTS(waits_us); i++) {
        if (i + 1 == G_N_ELEMENTS(waits_us)) {
            document_transfer_report(&t, 9);
            t.version = 8;
        }
        document_transfer_begin(&t, now_us, i + 1, update, 0);
        send_all(&t, now_us);
        CU_ASSERT_FALSE(document_transfer_may_begin(&t, now_us + waits_us[i]));
        CU_ASSERT(document_transfer_may_begin(&t, now_us + waits_us[i] + 1));
        now_us += waits_us[i] + 1;
    }
    document_transfer_reset(&t);
    encoded_update_free(update);
}

/* The first chunk of another transfer arrives while one is in progress: only
 * the same sender may replace it, whatever the versions, until it stalls. */
static void
a_transfer_is_not_replaced_by_another_sender(void)
{
    static uint8_t data[64];
    static const struct {
        const char *from;
        uint64_t version;
        uint64_t after_us;
        uint64_t received; /* version that is received then */
    } cases[] = {
        {"b", 4, 300000, 5},  {"b", 5, 300000, 5},  {"b", 6, 300000, 5},
        {"a", 6, 300000, 6},  {"b", 6, 1000000, 6}, {"b", 4, 1000000, 4},
        {"a", 6, 1000000, 6},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        DocumentReceiver r = {0};
        Sw__DocumentUpdate *update = NULL;
        Sw__DocumentChunk m = SW__DOCUMENT_CHUNK__INIT;
        m.transfer = 1;
        m.version = 5;
        m.total_bytes = 1000;
        m.update_bytes = 1000;
        m.data.data = data;
        m.data.len = sizeof(data);
        CU_ASSERT_EQUAL(document_receiver_add(&r, kStepUs, "a", &m, &update),
                        kChunkAwaitsMore);
        m.transfer = 2;
        m.version = cases[i].version;
        uint64_t now_us = kStepUs + cases[i].after_us;
        document_receiver_add(&r, now_us, cases[i].from, &m, &update);
        CU_ASSERT_EQUAL(document_receiver_version(&r, now_us),
                        cases[i].received);
        document_receiver_clear(&r);
    }
}

/* Chunks that no sender of ours produces name sizes that do not fit. */
static void
invalid_chunks_are_ignored(void)
{
    static uint8_t data[64];
    static const struct {
        uint32_t total_bytes;
        uint32_t update_bytes;
        uint32_t offset;
        size_t bytes;
    } cases[] = {
        {0, 0, 0, 0},
        {0, 10, 0, 64},
        {64, 0, 0, 64},
        {64, 10, 0, 64},
        {10, 10, 0, 64},
        {64, 10, 60, 64},
        {G_MAXUINT32, 1, 0, 64},
        {64, G_MAXUINT32, 0, 64},
    };
    DocumentReceiver r = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sw__DocumentChunk m = SW__DOCUMENT_CHUNK__INIT;
        m.transfer = i + 1;
        m.version = 5;
        m.total_bytes = cases[i].total_bytes;
        m.update_bytes = cases[i].update_bytes;
        m.offset = cases[i].offset;
        m.data.data = data;
        m.data.len = cases[i].bytes;
        Sw__DocumentUpdate *update = NULL;
        CU_ASSERT_NOT_EQUAL(document_receiver_add(&r, 1000, "a", &m, &update),
                            kChunkCompletes);
        CU_ASSERT_PTR_NULL(update);
    }
    document_receiver_clear(&r);
}

static void
frames_are_counted_by_kind(void)
{
    Traffic t = {0};
    Sw__Frame frame = SW__FRAME__INIT;
    GString *out = g_string_new(NULL);

    frame.body_case = SW__FRAME__BODY_DOCUMENT_CHUNK;
    traffic_count(&t, &frame, 100);
    traffic_count(&t, &frame, 50);
    frame.body_case = SW__FRAME__BODY_HELLO;
    traffic_count(&t, &frame, 7);
    traffic_write_text(&t, "sent", out);
    CU_ASSERT_EQUAL(traffic_bytes(&t), 157);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        out->str, "peer_sent_bytes_total{kind=\"document_chunk\"} 150\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "peer_sent_frames_total{kind=\"hello\"} 1\n"));
    /* Every kind of frame has a counter. */
    for (guint i = 0; i < sw__frame__descriptor.n_fields; i++) {
        CU_ASSERT(sw__frame__descriptor.fields[i].id < kTrafficKinds);
    }
    g_string_free(out, TRUE);
}

/* Guards against bytes between failure domains that count for another reason,
 * which would show a wrong cause of the costs. */
static void
bytes_between_domains_are_counted_by_reason(void)
{
    Sw__RelayRun run = SW__RELAY_RUN__INIT;
    Sw__RelayRun chosen = SW__RELAY_RUN__INIT;
    Sw__RelayResult result = SW__RELAY_RESULT__INIT;
    Sw__WorkRequest request = SW__WORK_REQUEST__INIT;
    Sw__WorkRequest chosen_request = SW__WORK_REQUEST__INIT;
    Sw__WorkReply reply = SW__WORK_REPLY__INIT;
    Sw__WorkReply chosen_reply = SW__WORK_REPLY__INIT;
    const struct {
        Sw__Frame__BodyCase kind;
        void *message;
        const char *line;
    } cases[] = {
        {SW__FRAME__BODY_RELAY_RUN, &run,
         "{kind=\"relay_run\",reason=\"owner\"} 100\n"},
        {SW__FRAME__BODY_RELAY_RUN, &chosen,
         "{kind=\"relay_run\",reason=\"placement\"} 100\n"},
        {SW__FRAME__BODY_RELAY_RESULT, &result,
         "{kind=\"relay_result\",reason=\"owner\"} 100\n"},
        {SW__FRAME__BODY_WORK_REQUEST, &request,
         "{kind=\"work_request\",reason=\"owner\"} 100\n"},
        {SW__FRAME__BODY_WORK_REQUEST, &chosen_request,
         "{kind=\"work_request\",reason=\"placement\"} 100\n"},
        {SW__FRAME__BODY_WORK_REPLY, &reply,
         "{kind=\"work_reply\",reason=\"owner\"} 100\n"},
        {SW__FRAME__BODY_WORK_REPLY, &chosen_reply,
         "{kind=\"work_reply\",reason=\"placement\"} 100\n"},
        {SW__FRAME__BODY_LEASE_REQUEST, NULL,
         "{kind=\"lease_request\",reason=\"report\"} 100\n"},
        {SW__FRAME__BODY_STATE_UPDATE, NULL,
         "{kind=\"state_update\",reason=\"document\"} 100\n"},
        {SW__FRAME__BODY_ENTRY_REPORT, NULL, "reason=\"report\"} 100\n"},
        {SW__FRAME__BODY_DIRECTORY_UPDATE, NULL,
         "reason=\"directory\"} 100\n"},
        {SW__FRAME__BODY_DOCUMENT_CHUNK, NULL, "reason=\"document\"} 100\n"},
        {SW__FRAME__BODY_CONSENSUS, NULL, "reason=\"other\"} 100\n"},
    };
    DomainTraffic t = {0};
    GString *out = g_string_new(NULL);

    chosen.chosen = chosen_request.chosen = chosen_reply.chosen = TRUE;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sw__Frame frame = SW__FRAME__INIT;
        frame.body_case = cases[i].kind;
        /* All members of the body are pointers. */
        frame.relay_run = cases[i].message;
        domain_traffic_count(&t, &frame, 100);
    }
    domain_traffic_write_text(&t, "sent", out);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(out->str, cases[i].line));
    }
    g_string_free(out, TRUE);
}

void
add_document_transfer_suite(void)
{
    CU_pSuite s = CU_add_suite("document transfer", NULL, NULL);
    CU_add_test(s, "bytes between domains are counted by reason",
                bytes_between_domains_are_counted_by_reason);
    CU_add_test(s, "an update arrives whole or not at all",
                an_update_arrives_whole_or_not_at_all);
    CU_add_test(s, "transfers follow one another",
                transfers_follow_one_another);
    CU_add_test(s, "reports end transfers that are of no use",
                reports_end_transfers_that_are_of_no_use);
    CU_add_test(s, "repeated transfers wait longer",
                repeated_transfers_wait_longer);
    CU_add_test(s, "a transfer is not replaced by another sender",
                a_transfer_is_not_replaced_by_another_sender);
    CU_add_test(s, "invalid chunks are ignored", invalid_chunks_are_ignored);
    CU_add_test(s, "frames are counted by kind", frames_are_counted_by_kind);
}
