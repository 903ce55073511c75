/*
 * store: state shared by all processes, kept in the platform's table service
 * and object store: rows, leases, published releases, and the configuration
 * that each process follows.
 */
#ifndef KS_STORE_H
#define KS_STORE_H

#include "ks/connection.h"
#include "ks/request.h"
#include "ks/telemetry.h"
#include "ks/version.h"

G_BEGIN_DECLS

/* store.c: interface to the platform's table service and object store */

/**
 * enum ks_store_outcome - result of a store operation
 * @KS_STORE_DONE: a write has taken effect, or a read succeeded
 * @KS_STORE_REFUSED: a precondition failed, so the write has no effect
 * @KS_STORE_UNREACHABLE: a read failed, or a write failed for another reason
 *	than its precondition and will never take effect
 * @KS_STORE_UNKNOWN: no usable response to a write; it may have taken effect or
 *	may still do so
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
 * @key: hierarchical with "/" as separator, e.g. "lease/planner"
 * @etag: version tag, changes whenever the row changes; empty if the row does
 *	not exist
 * @era: how often the store had returned from an older copy of itself, up to
 *	KS_ROW_MAX_ERA; 0 if it does not say. Writes that it acknowledged in one
 *	era may be missing in the next one.
 * @version: number of the write that the row is the result of, which is higher
 *	than those of all earlier writes of the same era; 0 if the row does not
 *	exist, or the store does not say
 */
typedef struct ks_row {
	ks_str_t key;
	ks_str_t etag;
	ks_str_t value;
	uint64_t era;
	uint64_t version;
} ks_row_t;

/*
 * Eras and versions take part in numbers that others may read as floating point
 * numbers, which are exact up to 53 bits.
 */
#define KS_ROW_MAX_ERA ((1 << 20) - 1)
#define KS_ROW_VERSION_BITS 32

/**
 * struct ks_store_write - a write with its precondition
 * @etag: the row must have this etag, or must not exist if it is empty
 * @unconditional: ignore @etag and write without a precondition
 * @check_only: test the precondition without writing
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
 * ks_store_row_func_t - called with the result of a read or a write
 * @row: for a read: the row, with an empty etag if it does not exist; for a
 *	write: the key and the new etag; NULL unless @outcome is DONE
 */
typedef void (*ks_store_row_func_t)(void *ctx, ks_store_outcome_t outcome,
				    const ks_row_t *row);

/**
 * ks_store_rows_func_t - called with the result of a list or a transaction
 * @rows: for a list: the rows; for a transaction: one row with the new etag
 *	for each write
 * @failed: index of the first write whose precondition failed, if a transaction
 *	is REFUSED and the store reports the index; else -1
 */
typedef void (*ks_store_rows_func_t)(void *ctx, ks_store_outcome_t outcome,
				     const ks_row_t *rows, size_t n_rows,
				     int failed);

/**
 * struct ks_store - asynchronous interface to a store
 * @remove_prefix: removes all rows whose key starts with the prefix
 * @object_get: reads an object; the row's value is its body
 * @impl: first argument of each function
 *
 * Each function copies its arguments, returns immediately and calls back
 * exactly once, after it has returned. Pointers passed to a callback are valid
 * only during the callback.
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

/* store_http.c: store driver over HTTP with ETag preconditions */

/**
 * struct ks_store_http - store driver; see docs/platform.md for the protocol
 * @store: interface to pass to users of the store
 * @token: bearer token, or NULL
 * @timeout_us: timeout of each call in microseconds
 * @era: highest era of a response, see struct ks_row
 * @answered: a response was received, so @era is known
 */
typedef struct ks_store_http {
	ks_store_t store;
	ks_http_client_t *client;
	ks_address_t address;
	char *token;
	int64_t timeout_us;
	int64_t era;
	bool answered;
} ks_store_http_t;

void ks_store_http_init(ks_store_http_t *driver, ks_http_client_t *client,
			const ks_address_t *address, const char *token);
void ks_store_http_deinit(ks_store_http_t *driver);

/* write_budget.c: rate limit for the store writes of this process */

/**
 * enum ks_write_priority - priority of a write, highest first
 * @KS_WRITE_LEDGER: claims and answers of requests, for which callers wait
 * @KS_WRITE_LEASE: acquisition, renewal and release of leases
 * @KS_WRITE_OTHER: all other writes
 */
typedef enum ks_write_priority {
	KS_WRITE_LEDGER,
	KS_WRITE_LEASE,
	KS_WRITE_OTHER,
	KS_WRITE_N_PRIORITIES
} ks_write_priority_t;

typedef struct ks_write_budget ks_write_budget_t;

ks_write_budget_t *ks_write_budget_new(ks_loop_t *loop, ks_store_t *store,
				       ks_rng_t *rng, double writes_per_s,
				       unsigned burst);
void ks_write_budget_free(ks_write_budget_t *budget);
ks_store_t *ks_write_budget_store(ks_write_budget_t *budget,
				  ks_write_priority_t priority);

/* release_store.c: published releases and their snapshots in the store */

#define KS_RELEASE_PREFIX "release/"
#define KS_RELEASE_HEAD_KEY "release/head"

/**
 * struct ks_release_record - contents of the rows release/N and release/head
 * @digest: digest of the snapshot
 * @publisher: random identifier of one publish operation. If two operators
 *	publish the same content at the same time, it tells which of them
 *	succeeded.
 * @published_us: Unix time in microseconds
 * @note: free text that describes the release; may be empty
 */
typedef struct ks_release_record {
	uint64_t version;
	ks_digest_t digest;
	ks_id_t publisher;
	int64_t published_us;
	char *note;
} ks_release_record_t;

/**
 * ks_release_fetch_func_t - called with a release read from the store
 * @outcome: UNREACHABLE also if the release or its snapshot is invalid
 * @record: NULL if there is no such version, and for version 0
 * @snapshot: NULL if there is no such version; valid during the call unless a
 *	reference is taken
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

/* platform_http.c: the platform's list of hosts */

/**
 * ks_hosts_func_t - called with the host list
 * @ok: false if the list could not be read
 * @leaving: names of the hosts that the platform is about to take away
 */
typedef void (*ks_hosts_func_t)(void *ctx, bool ok, const ks_str_t *leaving,
				size_t n_leaving);

/**
 * struct ks_platform - asynchronous interface to the platform
 * @hosts: reads the host list; calls back once
 * @impl: first argument of @hosts
 */
typedef struct ks_platform {
	void (*hosts)(void *impl, ks_hosts_func_t func, void *ctx);
	void *impl;
} ks_platform_t;

/**
 * struct ks_platform_http - driver for the host list over HTTP
 * @platform: interface to pass to users of the host list
 * @token: bearer token, or NULL
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
 * struct ks_lease_row - contents of the row of a lease
 * @holder: incarnation of the holding process; all zero after a release
 * @fence: fencing token. Each acquisition increments it, so the row is never
 *	removed.
 * @serial: number of the write by this holder. After a write with an unknown
 *	outcome it shows whether the row is the result of that write.
 * @lifetime_us: time in microseconds after which an unrenewed lease expires
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
 * enum ks_lease_step - next action for a lease, see ks_lease_next()
 * @KS_LEASE_STEP_READ: read the row
 * @KS_LEASE_STEP_WRITE: acquire, renew or release by writing the row
 * @KS_LEASE_STEP_WAIT: wait and ask again
 * @KS_LEASE_STEP_IDLE: nothing to do until the lease is wanted
 */
typedef enum ks_lease_step {
	KS_LEASE_STEP_READ,
	KS_LEASE_STEP_WRITE,
	KS_LEASE_STEP_WAIT,
	KS_LEASE_STEP_IDLE,
} ks_lease_step_t;

/**
 * struct ks_lease - state of a lease from the view of one process
 * @holder: incarnation of this process, an id drawn anew at each start
 * @held: this process holds the lease until @held_until_us; false immediately
 *	after a write that was refused or whose outcome is unknown
 * @held_until_us: end of the lease on this process's clock
 * @fence: fencing token of the last acquisition
 * @era: era of the store in which the row was last read, see struct ks_row
 * @era_since_us: time at which this process learned of that era
 * @version: version of the row, see struct ks_row
 * @row_known: @row_exists, @row and @etag are as last read or written
 * @row_exists: false if there is no row
 * @etag_since_us: time at which this process first saw @etag
 * @read_us: time of the last read of the row
 * @sent_row: contents of the last write
 * @sent_era: value of @era at that time
 * @write_sent_us: time just before the last write was sent
 *
 * This is a state machine without I/O; struct ks_lease_keeper runs it.
 *
 * Times are microseconds on the boot-time clock, which includes suspended time.
 * The holder measures the lifetime from before it sent its write, and other
 * processes measure it from after they read the changed row. Times of different
 * clocks are therefore never compared.
 */
typedef struct ks_lease {
	ks_id_t holder;
	int64_t lifetime_us;
	bool held;
	int64_t held_until_us;
	uint64_t fence;
	uint64_t era;
	int64_t era_since_us;
	uint64_t version;
	bool row_known;
	bool row_exists;
	ks_lease_row_t row;
	GString *etag;
	int64_t etag_since_us;
	int64_t read_us;
	ks_lease_row_t sent_row;
	uint64_t sent_era;
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
void ks_lease_note_era(ks_lease_t *lease, uint64_t era, uint64_t version,
		       int64_t now_us);
void ks_lease_forget(ks_lease_t *lease);
void ks_lease_observe(ks_lease_t *lease, const ks_lease_row_t *row,
		      ks_str_t etag, int64_t now_us);
const ks_lease_row_t *ks_lease_begin_write(ks_lease_t *lease, bool wanted,
					   int64_t now_us);
void ks_lease_end_write(ks_lease_t *lease, ks_store_outcome_t outcome,
			ks_str_t etag, int64_t now_us);

/* lease_keeper.c: acquires, renews and releases a lease in the store */

typedef struct ks_lease_keeper ks_lease_keeper_t;

/* Called when this process starts or stops holding the lease. */
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
void ks_lease_keeper_forget(ks_lease_keeper_t *keeper);
bool ks_lease_keeper_is_idle(const ks_lease_keeper_t *keeper);
ks_store_write_t ks_lease_keeper_precondition(const ks_lease_keeper_t *keeper);

/* config.c: follows the newest release and keeps its snapshot in force */

typedef struct ks_config ks_config_t;

/* Called when a higher version comes into force. */
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
