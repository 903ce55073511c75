/*
 * The entry process: the HTTP front end that callers connect to. It
 * authenticates and admits each request, chooses an upstream, sends the request
 * there over a link and relays the response. Its ledger deduplicates requests
 * that carry an idempotency key.
 */
#ifndef KS_ENTRY_H
#define KS_ENTRY_H

#include "ks/control.h"
#include "ks/settings.h"

G_BEGIN_DECLS

/*
 * ledger.c: runs a non-idempotent request with an idempotency key at most once.
 * Each key has a claim, a row of the store that names the request which may run
 * and later holds its outcome. The ledger keeps a record for each request that
 * holds or waits for a claim.
 */

typedef struct ks_ledger ks_ledger_t;
typedef struct ks_ledger_record ks_ledger_record_t;

/**
 * struct ks_ledger_events - decisions of the ledger about a request
 * @dispatch: the claim is held; attempt number @attempt must be sent now, while
 *	the deadline has not passed
 * @replay: last event; an earlier request with the same key ran, and this is
 *	its stored response
 * @fail: last event; this process must not send the request
 */
typedef struct ks_ledger_events {
	void (*dispatch)(void *ctx, uint32_t attempt);
	void (*replay)(void *ctx, int status, ks_str_t content_type,
		       ks_str_t body);
	void (*fail)(void *ctx, ks_error_kind_t kind);
} ks_ledger_events_t;

ks_ledger_t *ks_ledger_new(ks_loop_t *loop, ks_store_t *store,
			   const ks_clock_t *wall, ks_rng_t *rng,
			   const ks_id_t *holder);
void ks_ledger_free(ks_ledger_t *ledger);
ks_ledger_record_t *ks_ledger_begin(ks_ledger_t *ledger,
				    const ks_idempotency_key_t *key,
				    ks_str_t tenant, const uint8_t *fingerprint,
				    const ks_id_t *request, int64_t timeout_us,
				    const ks_ledger_events_t *events,
				    void *ctx);
void ks_ledger_done(ks_ledger_record_t *record, int status,
		    ks_str_t content_type, ks_str_t body);
void ks_ledger_not_run(ks_ledger_record_t *record);
void ks_ledger_unknown(ks_ledger_record_t *record);
void ks_ledger_abandon(ks_ledger_record_t *record);
bool ks_ledger_is_idle(const ks_ledger_t *ledger);

/* claim_sweep.c: deletes claims whose retention period has ended */

typedef struct ks_claim_sweep ks_claim_sweep_t;

ks_claim_sweep_t *ks_claim_sweep_new(ks_loop_t *loop, ks_store_t *store,
				     const ks_clock_t *wall, ks_rng_t *rng);
void ks_claim_sweep_free(ks_claim_sweep_t *sweep);

/* entry.c: start and stop of the process */

typedef struct ks_entry ks_entry_t;

ks_entry_t *ks_entry_new(ks_loop_t *loop, const ks_settings_t *settings,
			 GError **error);
uint16_t ks_entry_port(const ks_entry_t *entry);
void ks_entry_stop(ks_entry_t *entry);
void ks_entry_free(ks_entry_t *entry);

G_END_DECLS

#endif
