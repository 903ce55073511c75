/*
 * operators: the command line of the system's operators.
 */
#ifndef KS_OPERATORS_H
#define KS_OPERATORS_H

#include "ks/control.h"
#include "ks/settings.h"

G_BEGIN_DECLS

/* cli.c */

/**
 * struct ks_cli_names - names that the platform defines
 * @authorization: header field with a caller's API key, in lower case
 * @key_scheme: authentication scheme that precedes the key
 */
typedef struct ks_cli_names {
	ks_str_t authorization;
	ks_str_t key_scheme;
} ks_cli_names_t;

int ks_cli_main(int argc, char **argv, const ks_cli_names_t *names);

G_END_DECLS

#endif
