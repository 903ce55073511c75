/* Parsed form of a release note. */
#ifndef KS_VERSION_RELEASE_H
#define KS_VERSION_RELEASE_H

#include "fields.h"

typedef enum ks_change_action {
	KS_CHANGE_ADD,
	KS_CHANGE_MODIFY,
	KS_CHANGE_WITHDRAW,
} ks_change_action_t;

/**
 * struct ks_change - one item of a release note
 * @line: line of the file at which it starts, from 1
 * @model: new values for a change to a model, else NULL; its adapters are those
 *	to add
 * @adapters_removed: names of the adapters to remove from a model
 * @upstream: new values for a change to an upstream, else NULL
 * @fields_given: bit i is set if field i of ks_upstream_fields is given
 * @allow_unserved: the change may leave a model without upstreams
 */
typedef struct ks_change {
	ks_change_action_t action;
	int line;
	ks_model_t *model;
	GPtrArray *adapters_removed;
	ks_upstream_t *upstream;
	unsigned fields_given;
	bool allow_unserved;
} ks_change_t;

/**
 * struct ks_release - a release note
 * @file: file name for error messages
 * @note: free text that describes the release, or NULL
 * @base: version that it applies to; valid if @has_base
 * @changes: array of ks_change_t *, in the order of the file
 */
struct ks_release {
	char *file;
	char *note;
	uint64_t base;
	bool has_base;
	GPtrArray *changes;
};

ks_change_t *ks_change_new(ks_change_action_t action, bool is_model, int line);

#endif
