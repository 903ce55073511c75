/*
 * State machine of a lease, as seen by one process: whether it holds the lease
 * and when it may acquire it.
 */
#include "ks/store.h"

#include <jansson.h>
#include <string.h>

/* A failed renewal can be retried twice before the lease expires. */
#define RENEWALS_PER_LIFETIME 3
/*
 * Other processes wait a tenth longer than the lifetime before they take over a
 * lease, because clocks run at different rates.
 */
#define MARGIN_DIVISOR 10

/**
 * ks_lease_row_encode() - format a lease row as JSON
 *
 * Return: memory to be freed with g_free().
 */
char *ks_lease_row_encode(const ks_lease_row_t *row)
{
	char hex[KS_ID_HEX_SIZE];
	json_t *object = json_pack("{s:s,s:I,s:I,s:I}", "holder",
				   ks_id_format(&row->holder, hex), "fence",
				   (json_int_t)row->fence, "serial",
				   (json_int_t)row->serial, "lifetime_us",
				   (json_int_t)row->lifetime_us);
	char *dumped = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(object);
	return text;
}

/**
 * ks_lease_row_decode() - parse a lease row from JSON
 *
 * Return: false if @value is not a valid lease row.
 */
bool ks_lease_row_decode(ks_lease_row_t *row, ks_str_t value)
{
	json_t *object =
		json_loadb(value.data ? value.data : "", value.len, 0, NULL);
	json_int_t fence, serial, lifetime;
	const char *holder;
	bool ok;

	ok = object &&
	     !json_unpack(object, "{s:s,s:I,s:I,s:I}", "holder", &holder,
			  "fence", &fence, "serial", &serial, "lifetime_us",
			  &lifetime) &&
	     ks_id_parse(&row->holder, ks_str_from(holder)) && fence >= 0 &&
	     serial >= 0 && lifetime >= 0;
	if (ok) {
		row->fence = (uint64_t)fence;
		row->serial = (uint64_t)serial;
		row->lifetime_us = lifetime;
	}
	json_decref(object);
	return ok;
}

/**
 * ks_lease_init() - initialize a lease that is not held
 * @holder: incarnation of this process
 * @lifetime_us: lifetime of the lease in microseconds
 */
void ks_lease_init(ks_lease_t *lease, const ks_id_t *holder,
		   int64_t lifetime_us)
{
	memset(lease, 0, sizeof(*lease));
	lease->holder = *holder;
	lease->lifetime_us = lifetime_us;
	lease->etag = g_string_new(NULL);
}

/**
 * ks_lease_deinit() - free the memory that a lease owns
 */
void ks_lease_deinit(ks_lease_t *lease)
{
	g_string_free(lease->etag, TRUE);
	lease->etag = NULL;
}

/**
 * ks_lease_is_held() - whether this process holds the lease now
 */
bool ks_lease_is_held(const ks_lease_t *lease, int64_t now_us)
{
	return lease->held && now_us < lease->held_until_us;
}

/**
 * ks_lease_remaining() - time until the lease expires
 *
 * Return: microseconds, or 0 if the lease is not held.
 */
int64_t ks_lease_remaining(const ks_lease_t *lease, int64_t now_us)
{
	return ks_lease_is_held(lease, now_us) ? lease->held_until_us - now_us
					       : 0;
}

/**
 * ks_lease_fence() - fencing token of the last acquisition by this process
 */
uint64_t ks_lease_fence(const ks_lease_t *lease)
{
	return lease->fence;
}

static bool is_own_row(const ks_lease_t *lease)
{
	return lease->row_exists &&
	       ks_id_equal(&lease->row.holder, &lease->holder);
}

static int64_t with_margin(int64_t lifetime_us)
{
	return lifetime_us + lifetime_us / MARGIN_DIVISOR;
}

/*
 * Time from which this process may acquire the lease. A lease of another
 * process counts from when this process first saw its current row. A store that
 * has returned from an older copy may have lost the row of a holder, which
 * holds the lease until it expires. A process that has just started cannot know
 * when that was.
 */
static int64_t available_at(const ks_lease_t *lease)
{
	int64_t at_us = lease->etag_since_us;

	if (lease->row_exists && !is_own_row(lease) &&
	    !ks_id_is_zero(&lease->row.holder))
		at_us += with_margin(lease->row.lifetime_us);
	if (lease->era)
		at_us = MAX(at_us, lease->era_since_us +
					   with_margin(lease->lifetime_us));
	return at_us;
}

static ks_lease_step_t next_held(const ks_lease_t *lease, int64_t now_us,
				 int64_t *wait_us)
{
	int64_t left = lease->held_until_us - now_us;
	int64_t renew_in = left - lease->lifetime_us *
					  (RENEWALS_PER_LIFETIME - 1) /
					  RENEWALS_PER_LIFETIME;

	if (renew_in <= 0)
		return KS_LEASE_STEP_WRITE;
	*wait_us = renew_in;
	return KS_LEASE_STEP_WAIT;
}

/*
 * Polls the row while another process holds the lease, to notice its release.
 */
static ks_lease_step_t next_not_held(const ks_lease_t *lease, int64_t now_us,
				     int64_t *wait_us)
{
	int64_t poll_in = lease->read_us +
			  lease->lifetime_us / RENEWALS_PER_LIFETIME - now_us;
	int64_t available_in = available_at(lease) - now_us;

	if (available_in <= 0)
		return KS_LEASE_STEP_WRITE;
	if (poll_in <= 0)
		return KS_LEASE_STEP_READ;
	*wait_us = MIN(available_in, poll_in);
	return KS_LEASE_STEP_WAIT;
}

/**
 * ks_lease_next() - get the next action for a lease
 * @wanted: acquire or renew the lease, otherwise release it
 * @wait_us: set to the time to wait in microseconds for KS_LEASE_STEP_WAIT
 */
ks_lease_step_t ks_lease_next(const ks_lease_t *lease, bool wanted,
			      int64_t now_us, int64_t *wait_us)
{
	if (!wanted) {
		/* There is nothing to release if this process never wrote. */
		if (!lease->sent_row.serial)
			return KS_LEASE_STEP_IDLE;
		if (!lease->row_known)
			return KS_LEASE_STEP_READ;
		return is_own_row(lease) ? KS_LEASE_STEP_WRITE
					 : KS_LEASE_STEP_IDLE;
	}
	if (!lease->row_known)
		return KS_LEASE_STEP_READ;
	if (ks_lease_is_held(lease, now_us))
		return next_held(lease, now_us, wait_us);
	return next_not_held(lease, now_us, wait_us);
}

static void update_row(ks_lease_t *lease, const ks_lease_row_t *row,
		       ks_str_t etag, int64_t now_us)
{
	bool changed = !lease->row_known || lease->etag->len != etag.len ||
		       (etag.len &&
			memcmp(lease->etag->str, etag.data, etag.len) != 0);

	if (changed)
		lease->etag_since_us = now_us;
	lease->row_known = true;
	lease->row_exists = row != NULL;
	if (row)
		lease->row = *row;
	g_string_truncate(lease->etag, 0);
	if (etag.len)
		g_string_append_len(lease->etag, etag.data, (gssize)etag.len);
}

/*
 * Called when the row is known to be the last one written. The lifetime counts
 * from before the write was sent.
 */
static void set_held(ks_lease_t *lease)
{
	if (ks_id_is_zero(&lease->sent_row.holder))
		return;
	lease->held = true;
	lease->fence = lease->sent_row.fence;
	lease->held_until_us = lease->write_sent_us + lease->lifetime_us;
}

/**
 * ks_lease_note_era() - note the era and the version of a row that was read or
 * written
 * @now_us: time after the response arrived
 *
 * To be called before ks_lease_observe(), and before ks_lease_end_write() for
 * KS_STORE_DONE.
 */
void ks_lease_note_era(ks_lease_t *lease, uint64_t era, uint64_t version,
		       int64_t now_us)
{
	if (era > lease->era) {
		lease->era = era;
		lease->era_since_us = now_us;
		ks_lease_forget(lease);
	}
	lease->version = version;
}

/**
 * ks_lease_forget() - count the lease as not held until its row has been read
 *
 * To be called when the store may have lost writes that it acknowledged.
 */
void ks_lease_forget(ks_lease_t *lease)
{
	lease->held = false;
	lease->row_known = false;
}

/**
 * ks_lease_observe() - process the result of a read of the row
 * @row: the row, or NULL if it does not exist
 * @now_us: time after the response arrived
 */
void ks_lease_observe(ks_lease_t *lease, const ks_lease_row_t *row,
		      ks_str_t etag, int64_t now_us)
{
	update_row(lease, row, etag, now_us);
	lease->read_us = now_us;
	/*
	 * A write that was sent in an earlier era took effect in one in which
	 * its precondition meant another row.
	 */
	if (is_own_row(lease) && row->serial == lease->sent_row.serial &&
	    lease->sent_era == lease->era)
		set_held(lease);
	else
		lease->held = false;
}

/*
 * A number that no acquisition has had as its fencing token before the known
 * row was written. The row itself may be one that an older copy brought back.
 */
static uint64_t lowest_fence(const ks_lease_t *lease)
{
	uint64_t fence = lease->row_exists ? lease->row.fence : 0;

	if (!lease->era)
		return fence;
	return MAX(fence, (lease->era << KS_ROW_VERSION_BITS) + lease->version);
}

/**
 * ks_lease_begin_write() - prepare a write of the row
 * @wanted: acquire or renew the lease, otherwise release it
 * @now_us: time before the write is sent
 *
 * Return: the row to write, with the etag of the lease as precondition.
 */
const ks_lease_row_t *ks_lease_begin_write(ks_lease_t *lease, bool wanted,
					   int64_t now_us)
{
	bool is_renewal = ks_lease_is_held(lease, now_us);

	if (wanted && !is_renewal)
		lease->sent_row.fence = lowest_fence(lease) + 1;
	else
		lease->sent_row.fence =
			lease->row_exists ? lease->row.fence : 0;
	lease->sent_row.serial++;
	lease->sent_era = lease->era;
	lease->sent_row.lifetime_us = lease->lifetime_us;
	lease->write_sent_us = now_us;
	if (wanted) {
		lease->sent_row.holder = lease->holder;
	} else {
		memset(&lease->sent_row.holder, 0, sizeof(ks_id_t));
		lease->held = false;
	}
	return &lease->sent_row;
}

/**
 * ks_lease_end_write() - process the result of a write of the row
 * @etag: new etag of the row for KS_STORE_DONE
 * @now_us: time after the response arrived
 */
void ks_lease_end_write(ks_lease_t *lease, ks_store_outcome_t outcome,
			ks_str_t etag, int64_t now_us)
{
	switch (outcome) {
	case KS_STORE_DONE:
		update_row(lease, &lease->sent_row, etag, now_us);
		set_held(lease);
		break;
	case KS_STORE_UNREACHABLE:
		break;
	case KS_STORE_REFUSED:
	case KS_STORE_UNKNOWN:
		/*
		 * The write may have taken effect, or another process may hold
		 * the lease. Reading the row tells.
		 */
		lease->held = false;
		lease->row_known = false;
		break;
	}
}
