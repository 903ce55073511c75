/* JSON messages of the store protocol; see docs/platform.md. */
#ifndef KS_STORE_JSON_H
#define KS_STORE_JSON_H

#include "ks/store.h"

#include <jansson.h>

/**
 * struct ks_store_rows - rows parsed from JSON
 * @rows: rows whose strings point into @root
 * @root: parsed document
 */
typedef struct ks_store_rows {
	ks_row_t *rows;
	size_t n_rows;
	json_t *root;
} ks_store_rows_t;

char *ks_store_writes_format(const ks_store_write_t *writes, size_t n_writes);
bool ks_store_rows_parse(ks_store_rows_t *rows, ks_str_t body);
void ks_store_rows_deinit(ks_store_rows_t *rows);
int ks_store_failed_index_parse(ks_str_t body, size_t n_writes);

#endif
