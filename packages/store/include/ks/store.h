/*
 * store: what lasts longer than a process: rows of a store, leases over
 * them, release notes and their spread.
 */
#ifndef KS_STORE_H
#define KS_STORE_H

#include "ks/connection.h"
#include "ks/request.h"
#include "ks/telemetry.h"
#include "ks/version.h"

G_BEGIN_DECLS

/* store.c: the platform's table service and object store */

/**
 * enum ks_store_outcome - how a store operation ended
 * @KS_STORE_DONE: it took effect, or the read succeeded
 * @KS_STORE_REFUSED: a precondition failed; it took no effect
 * @KS_STORE_UNREACHABLE: it took no effect and never will
 * @KS_STORE_UNKNOWN: the answer was lost; it may have taken effect or may do so
 *	later
 */
typedef enum ks_store_outcome {
	KS_STORE_DONE,
	KS_STORE_REFUSED,
	KS_STORE_UNREACHABLE,
	KS_STORE_UNKNOWN,
} ks_store_outcome_t;

const char *ks_store_outcome_name(ks_store_outcome_t outcome);

/**
 * struct ks_row - a row of a table
 * @key: path-like, e.g. "lease/planner"
 * @etag: changes whenever the row does; empty when there is no such row
 */
typedef struct ks_row {
	ks_str_t key;
	ks_str_t etag;
	ks_str_t value;
} ks_row_t;

/**
 * struct ks_store_write - one write with its precondition
 * @etag: the row must have this etag; empty: the row must not exist
 * @unconditional: no precondition
 * @check_only: only test the precondition
 * @remove: remove the row instead of writing @value
 */
typedef struct ks_store_write {
	ks_str_t key;
	ks_str_t etag;
	ks_str_t value;
	bool unconditional;
	bool check_only;
	bool remove;
} ks_store_write_t;

/**
 * ks_store_row_func_t - result of a read, or the new row after a write
 * @row: for DONE of a read: the row, with an empty etag when it does not exist;
 *	for DONE of a write: key and new etag; for REFUSED: NULL
 */
typedef void (*ks_store_row_func_t)(void *ctx, ks_store_outcome_t outcome,
				    const ks_row_t *row);
/**
 * ks_store_rows_func_t - result of a list or a transaction
 * @rows: for a list, the rows; for a transaction, one row with the new etag for
 *	each write
 * @failed: for REFUSED of a transaction, index of the first write whose
 *	precondition failed, else -1
 */
typedef void (*ks_store_rows_func_t)(void *ctx, ks_store_outcome_t outcome,
				     const ks_row_t *rows, size_t n_rows,
				     int failed);

/**
 * struct ks_store - the platform's service behind callbacks
 *
 * Each function returns at once and calls back later, exactly once, with
 * pointers that are valid during the callback only. Arguments are copied.
 */
typedef struct ks_store {
	void (*get)(void *impl, ks_str_t key, ks_store_row_func_t func,
		    void *ctx);
	void (*list)(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
		     void *ctx);
	void (*write)(void *impl, const ks_store_write_t *write,
		      ks_store_row_func_t func, void *ctx);
	void (*transact)(void *impl, const ks_store_write_t *writes,
			 size_t n_writes, ks_store_rows_func_t func, void *ctx);
	void (*remove_prefix)(void *impl, ks_str_t prefix,
			      ks_store_row_func_t func, void *ctx);
	void (*object_get)(void *impl, ks_str_t name, ks_store_row_func_t func,
			   void *ctx);
	void (*object_put)(void *impl, ks_str_t name, ks_str_t body,
			   ks_store_row_func_t func, void *ctx);
	void *impl;
} ks_store_t;

/* store_http.c: driver over HTTP with ETag preconditions */

/**
 * struct ks_store_http - store driver; see docs/platform.md for the protocol
 */
typedef struct ks_store_http {
	ks_store_t store;
	ks_http_client_t *client;
	ks_address_t address;
	char *token;
	int64_t timeout_us;
} ks_store_http_t;

void ks_store_http_init(ks_store_http_t *driver, ks_http_client_t *client,
			const ks_address_t *address, const char *token);
void ks_store_http_deinit(ks_store_http_t *driver);

/* write_budget.c: share of the store's writes that this process may use */

/**
 * enum ks_write_priority - which writes go first when the budget is short
 */
typedef enum ks_write_priority {
	KS_WRITE_LEDGER,
	KS_WRITE_LEASE,
	KS_WRITE_REST,
	KS_WRITE_N_PRIORITIES
} ks_write_priority_t;

typedef struct ks_write_budget ks_write_budget_t;

ks_write_budget_t *ks_write_budget_new(ks_loop_t *loop, ks_store_t *store,
				       ks_rng_t *rng, double writes_per_s,
				       unsigned burst);
void ks_write_budget_free(ks_write_budget_t *budget);
ks_store_t *ks_write_budget_store(ks_write_budget_t *budget,
				  ks_write_priority_t priority);

/* release_store.c: releases and snapshots as they are kept in the store */

#define KS_RELEASE_PREFIX "release/"
#define KS_RELEASE_HEAD_KEY "release/head"

/**
 * struct ks_release_record - row release/N, and row release/head
 * @digest: of the snapshot
 * @publisher: drawn for each publishing, so that two operators who publish the
 *	same content can still tell who won
 * @published_us: Unix time in microseconds
 * @note: the operators' text; may be empty
 */
typedef struct ks_release_record {
	uint64_t version;
	ks_digest_t digest;
	ks_id_t publisher;
	int64_t published_us;
	char *note;
} ks_release_record_t;

/**
 * ks_release_fetch_func_t - a release read from the store
 * @outcome: UNREACHABLE also when what was read is damaged
 * @record: NULL when there is no such version, or for version 0
 * @snapshot: valid during the call unless a reference is taken
 */
typedef void (*ks_release_fetch_func_t)(void *ctx, ks_store_outcome_t outcome,
					const ks_release_record_t *record,
					ks_snapshot_t *snapshot);

bool ks_release_record_parse(ks_release_record_t *record, ks_str_t value);
char *ks_release_record_format(const ks_release_record_t *record);
void ks_release_record_deinit(ks_release_record_t *record);
char *ks_release_row_key(uint64_t version);
char *ks_release_object_name(uint64_t version, const ks_digest_t *digest);
void ks_release_fetch(ks_store_t *store, uint64_t version,
		      ks_release_fetch_func_t func, void *ctx);

/* platform_http.c: host list */

/**
 * ks_hosts_func_t - the host list
 * @ok: false when the list could not be read
 * @leaving: names of the leaving hosts
 */
typedef void (*ks_hosts_func_t)(void *ctx, bool ok, const ks_str_t *leaving,
				size_t n_leaving);

typedef struct ks_platform {
	void (*hosts)(void *impl, ks_hosts_func_t func, void *ctx);
	void *impl;
} ks_platform_t;

/**
 * struct ks_platform_http - driver for the host list over HTTP
 */
typedef struct ks_platform_http {
	ks_platform_t platform;
	ks_http_client_t *client;
	ks_address_t address;
	char *token;
} ks_platform_http_t;

void ks_platform_http_init(ks_platform_http_t *driver, ks_http_client_t *client,
			   const ks_address_t *address, const char *token);
void ks_platform_http_deinit(ks_platform_http_t *driver);

/* lease.c */

/**
 * struct ks_lease_row - a lease row
 * @holder: incarnation of the holder; all zero once it has been released
 * @fence: fencing number; each acquisition adds 1, so the row is never removed
 * @serial: number of the write within its holder, to tell writes apart whose
 *	outcome was unknown
 */
typedef struct ks_lease_row {
	ks_id_t holder;
	uint64_t fence;
	uint64_t serial;
	int64_t lifetime_us;
} ks_lease_row_t;

char *ks_lease_row_encode(const ks_lease_row_t *row);
bool ks_lease_row_decode(ks_lease_row_t *row, ks_str_t value);

/**
 * enum ks_lease_step - what the keeper of a lease does next
 */
typedef enum ks_lease_step {
	KS_LEASE_STEP_READ,
	KS_LEASE_STEP_WRITE,
	KS_LEASE_STEP_WAIT,
	KS_LEASE_STEP_IDLE,
} ks_lease_step_t;

/**
 * struct ks_lease - a lease in the table, seen by one process
 *
 * Pure. Times are on the boot-time clock, which counts suspended time. The
 * holder counts the lifetime from before its write was sent, an observer from
 * after it saw the row change, so their clocks are never compared.
 * @held_until_us: end of the lease by the holder's own reckoning
 * @held: false at once after a write that was refused or is unknown
 * @seen: @row and @etag show the row as last read or written
 * @row_exists: false when there was no row
 * @seen_since_us: when @etag was first seen
 * @read_us: when the row was last read
 * @writing: the row that was sent last
 * @write_sent_us: before it was sent
 */
typedef struct ks_lease {
	ks_id_t holder;
	int64_t lifetime_us;
	bool held;
	int64_t held_until_us;
	uint64_t fence;
	bool seen;
	bool row_exists;
	ks_lease_row_t row;
	GString *etag;
	int64_t seen_since_us;
	int64_t read_us;
	ks_lease_row_t writing;
	int64_t write_sent_us;
} ks_lease_t;

void ks_lease_init(ks_lease_t *lease, const ks_id_t *holder,
		   int64_t lifetime_us);
void ks_lease_deinit(ks_lease_t *lease);
bool ks_lease_is_held(const ks_lease_t *lease, int64_t now_us);
int64_t ks_lease_remaining(const ks_lease_t *lease, int64_t now_us);
uint64_t ks_lease_fence(const ks_lease_t *lease);
ks_lease_step_t ks_lease_next(const ks_lease_t *lease, bool wanted,
			      int64_t now_us, int64_t *wait_us);
void ks_lease_observe(ks_lease_t *lease, const ks_lease_row_t *row,
		      ks_str_t etag, int64_t now_us);
const ks_lease_row_t *ks_lease_begin_write(ks_lease_t *lease, bool wanted,
					   int64_t now_us);
void ks_lease_end_write(ks_lease_t *lease, ks_store_outcome_t outcome,
			ks_str_t etag, int64_t now_us);

/* lease_keeper.c: keeps a lease in the table for its holder */

typedef struct ks_lease_keeper ks_lease_keeper_t;
typedef void (*ks_lease_func_t)(void *ctx, bool held);

ks_lease_keeper_t *ks_lease_keeper_new(ks_loop_t *loop, ks_store_t *store,
				       const ks_clock_t *boottime,
				       ks_rng_t *rng, const char *key,
				       const ks_id_t *holder,
				       int64_t lifetime_us,
				       ks_lease_func_t func, void *ctx);
void ks_lease_keeper_free(ks_lease_keeper_t *keeper);
void ks_lease_keeper_set_wanted(ks_lease_keeper_t *keeper, bool wanted);
bool ks_lease_keeper_is_held(const ks_lease_keeper_t *keeper);
int64_t ks_lease_keeper_remaining(const ks_lease_keeper_t *keeper);
uint64_t ks_lease_keeper_fence(const ks_lease_keeper_t *keeper);
bool ks_lease_keeper_is_idle(const ks_lease_keeper_t *keeper);
ks_store_write_t ks_lease_keeper_precondition(const ks_lease_keeper_t *keeper);

/* config.c: keeps the snapshot in force up to date */

typedef struct ks_config ks_config_t;
typedef void (*ks_config_func_t)(void *ctx, ks_snapshot_t *snapshot);

ks_config_t *ks_config_new(ks_loop_t *loop, ks_store_t *store, ks_rng_t *rng,
			   int64_t poll_us, ks_config_func_t func, void *ctx);
void ks_config_free(ks_config_t *config);
void ks_config_observe_version(ks_config_t *config, uint64_t version);
ks_snapshot_t *ks_config_current(const ks_config_t *config);
uint64_t ks_config_version(const ks_config_t *config);
void ks_config_offer(ks_config_t *config, uint64_t version, ks_str_t digest,
		     ks_str_t body);

G_END_DECLS

#endif
