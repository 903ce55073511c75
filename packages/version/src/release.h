/* A release note as read, before it is applied to a snapshot. */
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
 * @line: where it starts in the file, from 1
 * @model: set for a change to a model; its adapters are those to add
 * @adapters_removed: names, for a change to a model
 * @upstream: set for a change to an upstream
 * @fields_given: bit i is set when field i of ks_upstream_fields was given
 * @allow_unserved: a model may be left without an upstream
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

struct ks_release {
	char *file;
	char *note;
	uint64_t base;
	bool has_base;
	GPtrArray *changes;
};

ks_change_t *ks_change_new(ks_change_action_t action, bool is_model, int line);

#endif
