#include "suite.h"

#include <glib.h>
#include <stdlib.h>

static GPtrArray *kept_objects;

int
suite_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

void
suite_keep(void *object)
{
	if (kept_objects == NULL)
		kept_objects = g_ptr_array_new();
	g_ptr_array_add(kept_objects, object);
}
