/*
 * version: the versioned configuration of models and upstreams. A release note
 * lists changes to one version; applying it to the snapshot of that version
 * gives the snapshot of the next one. Each process keeps the newest snapshot
 * that it has received in force.
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
 *
 * Canonical JSON is compact, with sorted keys and with models, adapters and
 * upstreams sorted by name, so that equal contents have equal digests.
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
GBytes *ks_snapshot_decompress(ks_str_t compressed);

/* yaml_depth.c */

bool ks_yaml_check_depth(ks_str_t yaml, int *line);

/* snapshot.c */

/**
 * enum ks_engine_role - inference phases that an engine runs
 * @KS_ROLE_BOTH: prefill and decode
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
 * @name: value of the "model" field of a request
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
 * @process: IP:PORT of the upstream process in front of it, to which entries
 *	connect
 * @endpoint: IP:PORT of the engine or service itself, to which the upstream
 *	process connects
 * @host: name of its host in the platform's host list
 * @domain: failure domain
 * @model: model that an engine serves; NULL for a plain service
 * @service: service that it belongs to; NULL for an engine
 * @role: role of an engine until the planner assigns it another one
 * @limit: maximum number of concurrent requests
 * @checks_fencing: the engine refuses orders, such as to load a model, that
 *	carry an outdated fencing token
 * @resumes: the engine can continue a stream after given output tokens
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
 * struct ks_snapshot - one version of the configuration; immutable
 * @refs: reference count, see ks_snapshot_ref()
 * @version: 0 for the empty configuration before the first release
 * @models: array of ks_model_t *, sorted by name
 * @upstreams: array of ks_upstream_t *, sorted by id
 * @body: canonical JSON
 * @body_len: length of @body in bytes
 * @digest: digest of @body
 * @compressed: compressed @body; NULL until ks_snapshot_compressed() is called
 */
typedef struct ks_snapshot {
	unsigned refs;
	uint64_t version;
	GPtrArray *models;
	GPtrArray *upstreams;
	char *body;
	size_t body_len;
	ks_digest_t digest;
	GBytes *compressed;
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

/* A release note; its format is described in knapweedstair-release(5). */
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

/* spread.c: snapshot tracker */

/**
 * struct ks_snapshot_tracker - the snapshot that a process has in force
 * @current: the snapshot in force, or NULL before the first one
 * @highest_seen: highest version that a peer or the store has announced
 */
typedef struct ks_snapshot_tracker {
	ks_snapshot_t *current;
	uint64_t highest_seen;
} ks_snapshot_tracker_t;

/**
 * enum ks_snapshot_offer_result - result of ks_snapshot_tracker_offer()
 * @KS_SNAPSHOT_APPLIED: the snapshot is now in force
 * @KS_SNAPSHOT_NOT_NEWER: its version is not above the one in force
 * @KS_SNAPSHOT_DAMAGED: its digest, version or contents are invalid
 */
typedef enum ks_snapshot_offer_result {
	KS_SNAPSHOT_APPLIED,
	KS_SNAPSHOT_NOT_NEWER,
	KS_SNAPSHOT_DAMAGED,
} ks_snapshot_offer_result_t;

void ks_snapshot_tracker_init(ks_snapshot_tracker_t *tracker);
void ks_snapshot_tracker_deinit(ks_snapshot_tracker_t *tracker);
uint64_t ks_snapshot_tracker_version(const ks_snapshot_tracker_t *tracker);
bool ks_snapshot_tracker_observe_version(ks_snapshot_tracker_t *tracker,
					 uint64_t version);
ks_snapshot_offer_result_t
ks_snapshot_tracker_offer(ks_snapshot_tracker_t *tracker, uint64_t version,
			  ks_str_t digest, ks_str_t body);

G_END_DECLS

#endif
