#include "error.h"
#include "json.h"
#include "standin.h"

int
main(int argc, char **argv)
{
	standin_t standin = {.program = "standin-cloud"};

	return standin_run(&standin, argc, argv);
}
