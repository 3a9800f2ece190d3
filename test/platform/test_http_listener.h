#ifndef SAPPHIREWEIR_TEST_HTTP_LISTENER_H
#define SAPPHIREWEIR_TEST_HTTP_LISTENER_H

/* Registers the suite "HTTP listener" with CUnit, with all tests or the one
 * that is named; NULL: all. */
void add_http_listener_suite(const char *only);

#endif
