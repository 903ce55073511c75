/* Program of the operators' command line; see knapweedstair(1). */
#include "ks/operators.h"
#include "platform.h"

int main(int argc, char **argv)
{
	const ks_dialect_t *dialect = ks_platform_dialect();
	ks_cli_names_t names = { dialect->authorization, dialect->key_scheme };

	return ks_cli_main(argc, argv, &names);
}
