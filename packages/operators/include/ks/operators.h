/*
 * operators: the command line of the system's operators.
 */
#ifndef KS_OPERATORS_H
#define KS_OPERATORS_H

#include "ks/control.h"
#include "ks/settings.h"

G_BEGIN_DECLS

/* cli.c */

int ks_cli_main(int argc, char **argv);

G_END_DECLS

#endif
