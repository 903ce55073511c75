/*
 * version: what lives as long as a version of the configuration: release
 * notes, the snapshots they lead to, and the way snapshots spread.
 */
#ifndef KS_VERSION_H
#define KS_VERSION_H

#include "ks/core.h"

G_BEGIN_DECLS

/* digest.c */

#define KS_DIGEST_SIZE 32
#define KS_DIGEST_HEX_SIZE (2 * KS_DIGEST_SIZE + 1)

/**
 * struct ks_digest - SHA-256 of the canonical JSON of a snapshot
 */
typedef struct ks_digest {
	uint8_t bytes[KS_DIGEST_SIZE];
} ks_digest_t;

void ks_digest_compute(ks_digest_t *digest, ks_str_t data);
bool ks_digest_equal(const ks_digest_t *a, const ks_digest_t *b);
bool ks_digest_from_bytes(ks_digest_t *digest, ks_str_t bytes);
bool ks_digest_parse(ks_digest_t *digest, ks_str_t hex);
const char *ks_digest_format(const ks_digest_t *digest,
			     char buf[KS_DIGEST_HEX_SIZE]);

/* pack.c */

GBytes *ks_snapshot_compress(ks_str_t body);
GBytes *ks_snapshot_decompress(ks_str_t packed);

/* yaml_depth.c */

bool ks_yaml_check_depth(ks_str_t yaml, int *line);

/* snapshot.c */

/**
 * enum ks_engine_role - share of the work that an engine does
 */
typedef enum ks_engine_role {
	KS_ROLE_BOTH,
	KS_ROLE_PREFILL,
	KS_ROLE_DECODE,
} ks_engine_role_t;

const char *ks_engine_role_name(ks_engine_role_t role);
bool ks_engine_role_parse(ks_engine_role_t *role, ks_str_t name);

/**
 * struct ks_model - a model that the fleet serves
 * @name: as callers name it
 * @version: version of the weights
 * @adapters: names of its adapters, an array of char *
 */
typedef struct ks_model {
	char *name;
	char *version;
	GPtrArray *adapters;
} ks_model_t;

/**
 * struct ks_upstream - a model engine or a plain service
 * @id: unique name
 * @process: IP:PORT of the process beside it
 * @endpoint: IP:PORT of the upstream itself, as that process reaches it
 * @host: name of its host on the host list
 * @domain: failure domain
 * @model: model that an engine serves; NULL for a plain service
 * @service: service that it belongs to; NULL for an engine
 * @role: role of an engine until a plan says otherwise
 * @limit: requests accepted at once
 * @checks_fencing: the engine refuses orders with an old fencing number
 * @resumes: the engine resumes a stream from given tokens
 */
typedef struct ks_upstream {
	char *id;
	char *process;
	char *endpoint;
	char *host;
	char *domain;
	char *model;
	char *service;
	ks_engine_role_t role;
	unsigned limit;
	bool checks_fencing;
	bool resumes;
} ks_upstream_t;

/**
 * struct ks_snapshot - one version of the configuration; never changed
 * @refs: see ks_snapshot_ref()
 * @version: 0 is the empty configuration before the first release
 * @models: array of ks_model_t *, by name
 * @upstreams: array of ks_upstream_t *, by id
 * @body: canonical JSON
 * @digest: of @body
 * @packed: see ks_snapshot_compressed()
 */
typedef struct ks_snapshot {
	unsigned refs;
	uint64_t version;
	GPtrArray *models;
	GPtrArray *upstreams;
	char *body;
	size_t body_len;
	ks_digest_t digest;
	GBytes *packed;
} ks_snapshot_t;

ks_snapshot_t *ks_snapshot_new_empty(void);
ks_snapshot_t *ks_snapshot_parse(ks_str_t body, GError **error);
ks_snapshot_t *ks_snapshot_ref(ks_snapshot_t *snapshot);
void ks_snapshot_unref(ks_snapshot_t *snapshot);
ks_str_t ks_snapshot_compressed(ks_snapshot_t *snapshot);
const ks_model_t *ks_snapshot_find_model(const ks_snapshot_t *snapshot,
					 ks_str_t name);
const ks_upstream_t *ks_snapshot_find_upstream(const ks_snapshot_t *snapshot,
					       ks_str_t id);

/* release.c */

typedef struct ks_release ks_release_t;

ks_release_t *ks_release_parse(ks_str_t yaml, const char *file, GError **error);
void ks_release_free(ks_release_t *release);
bool ks_release_has_base(const ks_release_t *release);
uint64_t ks_release_base(const ks_release_t *release);
void ks_release_set_base(ks_release_t *release, uint64_t base);
const char *ks_release_note(const ks_release_t *release);
ks_snapshot_t *ks_release_apply(const ks_release_t *release,
				const ks_snapshot_t *base, GError **error);
char *ks_snapshot_diff(const ks_snapshot_t *from, const ks_snapshot_t *to);

/* spread.c */

/**
 * struct ks_spread - decides which snapshot a process has in force
 * @current: the snapshot in force, or NULL before the first
 * @known: highest version that a peer or the store has named
 */
typedef struct ks_spread {
	ks_snapshot_t *current;
	uint64_t known;
} ks_spread_t;

/**
 * enum ks_spread_result - what became of a snapshot that arrived
 */
typedef enum ks_spread_result {
	KS_SPREAD_APPLIED,
	KS_SPREAD_OLD,
	KS_SPREAD_DAMAGED,
} ks_spread_result_t;

void ks_spread_init(ks_spread_t *spread);
void ks_spread_deinit(ks_spread_t *spread);
uint64_t ks_spread_version(const ks_spread_t *spread);
bool ks_spread_note_version(ks_spread_t *spread, uint64_t version);
ks_spread_result_t ks_spread_offer(ks_spread_t *spread, uint64_t version,
				   ks_str_t digest, ks_str_t body);

G_END_DECLS

#endif
