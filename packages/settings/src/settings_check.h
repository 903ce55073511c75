/* Checks of settings; internal to this package. */
#ifndef KS_SETTINGS_CHECK_H
#define KS_SETTINGS_CHECK_H

#include "ks/settings.h"

#include <cyaml/cyaml.h>
#include <yaml.h>

/**
 * struct ks_settings_document - YAML nodes, with the line of each
 * @file: file name used in error messages
 * @error: set by ks_settings_fail()
 */
typedef struct ks_settings_document {
	yaml_document_t yaml;
	const char *file;
	GError **error;
} ks_settings_document_t;

bool ks_settings_document_init(ks_settings_document_t *doc, ks_str_t yaml,
			       const char *file, GError **error);
void ks_settings_document_deinit(ks_settings_document_t *doc);
bool ks_settings_document_check_schema(ks_settings_document_t *doc,
				       const cyaml_schema_value_t *schema);
int ks_settings_document_line(ks_settings_document_t *doc, const char *field,
			      int index, const char *subfield);
bool ks_settings_document_has(ks_settings_document_t *doc, const char *list,
			      int index, const char *field);
bool ks_settings_fail(ks_settings_document_t *doc, int line, const char *format,
		      ...) G_GNUC_PRINTF(3, 4);

bool ks_settings_check(ks_settings_document_t *doc,
		       const ks_settings_t *settings);

#endif
