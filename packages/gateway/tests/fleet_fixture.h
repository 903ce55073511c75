/* Builds fleets of engines for tests that need no network. */
#ifndef KS_FLEET_FIXTURE_H
#define KS_FLEET_FIXTURE_H

#include "ks/gateway.h"

#include <string.h>

#define SECOND KS_USEC_PER_SEC

static inline ks_member_t *put_in(ks_fleet_t *fleet, const char *id,
				  const char *domain, ks_stage_t stage,
				  int64_t process_start_ms)
{
	ks_member_spec_t spec = { .id = ks_str_from(id),
				  .service = KS_STR("llm"),
				  .domain = ks_str_from(domain),
				  .address = { "10.0.0.1", 80 },
				  .stage = stage,
				  .process_start_ms = process_start_ms,
				  .accepting = true };

	return ks_fleet_put(fleet, &spec);
}

static inline ks_member_t *put(ks_fleet_t *fleet, const char *id,
			       ks_stage_t stage, int64_t process_start_ms)
{
	return put_in(fleet, id, "d1", stage, process_start_ms);
}

#endif
