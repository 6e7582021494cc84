#ifndef PAPAYA_TEST_SUITE_H
#define PAPAYA_TEST_SUITE_H

#include <check.h>

/* Runs a suite and frees it. Returns EXIT_SUCCESS, or EXIT_FAILURE. */
int suite_run(Suite *suite);

#endif
