/*
 * In-memory rows and objects with conditional writes. The data model behind
 * both the fake-platform program and memory_store_t.
 */
#ifndef FAKE_TABLES_H
#define FAKE_TABLES_H

#include "ks/control.h"

G_BEGIN_DECLS

/**
 * struct fake_row - row or object
 * @etag: version in quotes, as in the HTTP header field
 * @old_value: value before the last write, returned by stale reads
 * @old_etag: etag of @old_value; empty if the row did not exist
 */
typedef struct fake_row {
	char *key;
	GString *value;
	char *etag;
	GString *old_value;
	char *old_etag;
} fake_row_t;

/**
 * struct fake_tables - rows and objects of a store
 * @rows: fake_row_t by key, sorted
 * @objects: fake_row_t by name, sorted
 * @last_etag: number of the etag assigned last
 */
typedef struct fake_tables {
	GTree *rows;
	GTree *objects;
	uint64_t last_etag;
} fake_tables_t;

void fake_tables_init(fake_tables_t *tables);
void fake_tables_copy(fake_tables_t *copy, const fake_tables_t *tables);
void fake_tables_deinit(fake_tables_t *tables);
const fake_row_t *fake_tables_get(const fake_tables_t *tables, ks_str_t key);
const fake_row_t *fake_tables_get_object(const fake_tables_t *tables,
					 ks_str_t name);
GPtrArray *fake_tables_list(const fake_tables_t *tables, ks_str_t prefix);
int fake_tables_transact(fake_tables_t *tables, const ks_store_write_t *writes,
			 size_t n_writes);
void fake_tables_remove_prefix(fake_tables_t *tables, ks_str_t prefix);
const fake_row_t *fake_tables_put_object(fake_tables_t *tables, ks_str_t name,
					 ks_str_t body);

G_END_DECLS

#endif
