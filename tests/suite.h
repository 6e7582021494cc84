#ifndef PAPAYA_TEST_SUITE_H
#define PAPAYA_TEST_SUITE_H

#include <check.h>

/* Runs a suite and frees it. Returns EXIT_SUCCESS, or EXIT_FAILURE. */
int suite_run(Suite *suite);

/*
 * Keeps a pointer until the end of the program, so that an object of the system
 * that is never freed does not count as leaked.
 */
void suite_keep(void *object);

#endif
