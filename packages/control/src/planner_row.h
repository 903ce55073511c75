/* Encoding of the rows plan/MODEL in the store; see planner_row.c. */
#ifndef KS_PLANNER_ROW_H
#define KS_PLANNER_ROW_H

#include "ks/control.h"

bool ks_planner_row_parse(ks_str_t value, uint64_t *number, GHashTable *roles);
char *ks_planner_row_format(uint64_t number, uint64_t fence,
			    const ks_plan_engine_t *engines, size_t n_engines,
			    const ks_plan_change_t *change);

#endif
