#include <string.h>

#include "core/session_token.h"
#include "suite.h"

static const uint8_t key[kSessionTokenKeyBytes] = {1, 2, 3};
static const uint8_t other_key[kSessionTokenKeyBytes] = {9};
static const uint8_t nonce[kSessionTokenNonceBytes] = {7};

/* Returns a token with the positions of two databases; the caller frees it. */
static char *
sealed_example(void)
{
    Session s;
    session_init(&s);
    session_advance(&s, "rounds1", (LogPosition){3, 500});
    session_advance(&s, "rounds2", (LogPosition){1, 42});
    char *text = session_token_seal(&s, key, nonce);
    session_clear(&s);
    return text;
}

static void
a_token_returns_its_positions(void)
{
    char *text = sealed_example();
    Session s;
    session_init(&s);
    CU_ASSERT(session_token_open(text, key, &s, NULL));
    CU_ASSERT_EQUAL(session_get(&s, "rounds1").position, 500);
    CU_ASSERT_EQUAL(session_get(&s, "rounds1").term, 3);
    CU_ASSERT_EQUAL(session_get(&s, "rounds2").position, 42);
    CU_ASSERT_EQUAL(session_get(&s, "unknown").position, 0);
    session_clear(&s);
    g_free(text);
}

static void
every_changed_character_is_rejected(void)
{
    char *text = sealed_example();
    for (size_t i = 0; i < strlen(text); i++) {
        char *forged = g_strdup(text);
        Session s;
        forged[i] = forged[i] == 'A' ? 'B' : 'A';
        session_init(&s);
        /* The last character may contain unused bits; a change of these bits
         * must be rejected too. */
        gboolean opened = session_token_open(forged, key, &s, NULL);
        CU_ASSERT(!opened);
        session_clear(&s);
        g_free(forged);
    }
    g_free(text);
}

static void
tokens_of_another_key_or_malformed_are_rejected(void)
{
    static const char *const texts[] = {
        "", "x", "!!!", "AAAAAAAA",
        "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
        "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"};
    char *text = sealed_example();
    Session s;
    session_init(&s);
    CU_ASSERT(!session_token_open(text, other_key, &s, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        CU_ASSERT(!session_token_open(texts[i], key, &s, NULL));
    }
    char *huge = g_strnfill(100000, 'A');
    CU_ASSERT(!session_token_open(huge, key, &s, NULL));
    g_free(huge);
    session_clear(&s);
    g_free(text);
}

static void
positions_only_advance_and_terms_take_precedence(void)
{
    static const struct {
        LogPosition a;
        LogPosition b;
        int order;
    } cases[] = {
        {{1, 900}, {2, 1}, -1},
        {{2, 5}, {2, 5}, 0},
        {{2, 6}, {2, 5}, 1},
        {{3, 0}, {2, 99}, 1},
    };
    Session s;
    session_init(&s);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(log_position_compare(cases[i].a, cases[i].b),
                        cases[i].order);
    }
    session_advance(&s, "d", (LogPosition){2, 10});
    session_advance(&s, "d", (LogPosition){1, 99});
    CU_ASSERT_EQUAL(session_get(&s, "d").term, 2);
    CU_ASSERT_EQUAL(session_get(&s, "d").position, 10);
    session_clear(&s);
}

void
add_session_token_suite(void)
{
    CU_pSuite s = CU_add_suite("session_token", NULL, NULL);
    CU_add_test(s, "a token returns its positions",
                a_token_returns_its_positions);
    CU_add_test(s, "every changed character is rejected",
                every_changed_character_is_rejected);
    CU_add_test(s, "tokens of another key or malformed are rejected",
                tokens_of_another_key_or_malformed_are_rejected);
    CU_add_test(s, "positions only advance and terms take precedence",
                positions_only_advance_and_terms_take_precedence);
}
