/* Measurements of bench-links that are defined in links_store.c. */
#ifndef LINKS_H
#define LINKS_H

#include "stats.h"

#include "ks/settings.h"
#include "ks/store.h"

bool links_measure_snapshots(void);
bool links_measure_claims(const ks_address_t *platform, const char *token);

#endif
