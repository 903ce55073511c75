/*
 * Tables and objects in memory with conditional writes, shared by the
 * fake-platform program and the memory store.
 */
#ifndef FAKE_TABLES_H
#define FAKE_TABLES_H

#include "ks/control.h"

G_BEGIN_DECLS

/**
 * struct fake_row - a row or an object
 * @etag: quoted, as HTTP has it
 * @old_value: value before the last write, which a stale read returns
 * @old_etag: empty when the row did not exist before
 */
typedef struct fake_row {
	char *key;
	GString *value;
	char *etag;
	GString *old_value;
	char *old_etag;
} fake_row_t;

/**
 * struct fake_tables - the platform's state
 * @rows: fake_row_t by key, in order of the keys
 * @objects: fake_row_t by name
 */
typedef struct fake_tables {
	GTree *rows;
	GTree *objects;
	uint64_t last_etag;
} fake_tables_t;

void fake_tables_init(fake_tables_t *tables);
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
