#include "ctl.h"

int
main(int argc, char **argv)
{
	return ctl_main(argc, argv);
}
