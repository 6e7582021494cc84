#ifndef PAPAYA_TEST_SUITE_H
#define PAPAYA_TEST_SUITE_H

#include <check.h>

/* Runs a suite and releases it. Returns the program's exit code. */
int suite_run(Suite *suite);

#endif
