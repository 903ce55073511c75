/*
 * Table of the fields of an upstream. Snapshots, release notes and differences
 * are all read and written by this table, so a new field is added only here.
 */
#ifndef KS_VERSION_FIELDS_H
#define KS_VERSION_FIELDS_H

#include "ks/version.h"

typedef enum ks_field_kind {
	KS_FIELD_TEXT,
	KS_FIELD_ADDRESS,
	KS_FIELD_ROLE,
	KS_FIELD_UINT,
	KS_FIELD_BOOL,
} ks_field_kind_t;

/**
 * struct ks_field - one field of struct ks_upstream
 * @name: key in release notes and snapshots
 * @offset: offset of the field in struct ks_upstream, in bytes
 * @required: a release note that adds an upstream must set this field
 */
typedef struct ks_field {
	const char *name;
	ks_field_kind_t kind;
	size_t offset;
	bool required;
} ks_field_t;

#define KS_UPSTREAM_N_FIELDS 11
#define KS_UPSTREAM_MAX_LIMIT 1000000
/* Names in orders are null-terminated strings in 64-byte fields. */
#define KS_NAME_MAX_LEN 63

extern const ks_field_t ks_upstream_fields[KS_UPSTREAM_N_FIELDS];

int ks_upstream_field_index(const char *name);
char *ks_upstream_field_format(const ks_upstream_t *upstream,
			       const ks_field_t *field);
void ks_upstream_field_copy(ks_upstream_t *to, const ks_upstream_t *from,
			    const ks_field_t *field);
bool ks_address_text_is_valid(const char *text);
bool ks_name_is_valid(const char *text);

#define KS_FIELD_AT(upstream, field, type) \
	((type *)(void *)((char *)(upstream) + (field)->offset))
#define KS_FIELD_CONST_AT(upstream, field, type)                 \
	((const type *)(const void *)((const char *)(upstream) + \
				      (field)->offset))

#endif
