/*
 * Constructors, copies and destructors of models, upstreams and snapshots, for
 * use inside this package.
 */
#ifndef KS_VERSION_BUILD_H
#define KS_VERSION_BUILD_H

#include "ks/version.h"

/* Version of the JSON schema; to be raised with each change of the schema. */
#define KS_SNAPSHOT_FORMAT 1

ks_model_t *ks_model_new(const char *name, const char *version);
ks_model_t *ks_model_copy(const ks_model_t *model);
void ks_model_free(ks_model_t *model);
ks_upstream_t *ks_upstream_copy(const ks_upstream_t *upstream);
void ks_upstream_free(ks_upstream_t *upstream);
ks_snapshot_t *ks_snapshot_build(uint64_t version, GPtrArray *models,
				 GPtrArray *upstreams);

#endif
