#ifndef PAPAYA_FUZZ_ORACLE_H
#define PAPAYA_FUZZ_ORACLE_H

#include <stdio.h>
#include <stdlib.h>

/* Ends the run with the violated condition, which scripts/fuzz.sh looks for. */
#define CHECK(condition)                                               \
	do {                                                           \
		if (!(condition)) {                                    \
			fprintf(stderr, "violated: %s\n", #condition); \
			abort();                                       \
		}                                                      \
	} while (0)

#endif
