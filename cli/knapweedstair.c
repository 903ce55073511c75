/* Program of the operators' command line; see knapweedstair(1). */
#include "ks/operators.h"

int main(int argc, char **argv)
{
	return ks_cli_main(argc, argv);
}
