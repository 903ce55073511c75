/* Leases as seen by one process: when it holds one and when it may take one. */
#include "ks/store.h"

#include <jansson.h>
#include <string.h>

/* A renewal has two more tries before the lease ends. */
#define RENEWALS_PER_LIFETIME 3
/* An observer waits longer by this share, as clocks differ in rate. */
#define MARGIN_DIVISOR 10

/**
 * ks_lease_row_encode() - JSON form of a lease row
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
 * ks_lease_row_decode() - read the JSON form of a lease row
 *
 * Return: false if it is damaged.
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
 * ks_lease_init() - set up a lease that is not held
 * @holder: incarnation of this process
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
 * ks_lease_deinit() - free what a lease owns
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
 * ks_lease_remaining() - time left of the lease
 *
 * Return: microseconds, 0 when it is not held.
 */
int64_t ks_lease_remaining(const ks_lease_t *lease, int64_t now_us)
{
	return ks_lease_is_held(lease, now_us) ? lease->held_until_us - now_us
					       : 0;
}

/**
 * ks_lease_fence() - fencing number of the last acquisition
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

/* When another process may take the lease, by what it has itself watched. */
static int64_t free_at(const ks_lease_t *lease)
{
	int64_t lifetime = lease->row.lifetime_us;

	if (!lease->row_exists || is_own_row(lease) ||
	    ks_id_is_zero(&lease->row.holder))
		return lease->seen_since_us;
	return lease->seen_since_us + lifetime + lifetime / MARGIN_DIVISOR;
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

/* A foreign lease is read now and then, so that its release is noticed. */
static ks_lease_step_t next_foreign(const ks_lease_t *lease, int64_t now_us,
				    int64_t *wait_us)
{
	int64_t poll_in = lease->read_us +
			  lease->lifetime_us / RENEWALS_PER_LIFETIME - now_us;
	int64_t free_in = free_at(lease) - now_us;

	if (free_in <= 0)
		return KS_LEASE_STEP_WRITE;
	if (poll_in <= 0)
		return KS_LEASE_STEP_READ;
	*wait_us = MIN(free_in, poll_in);
	return KS_LEASE_STEP_WAIT;
}

/**
 * ks_lease_next() - what to do now for a lease
 * @wanted: acquire or keep it, else release it
 * @wait_us: set for KS_LEASE_STEP_WAIT
 */
ks_lease_step_t ks_lease_next(const ks_lease_t *lease, bool wanted,
			      int64_t now_us, int64_t *wait_us)
{
	if (!wanted) {
		/* A row that this process never wrote is not its to release. */
		if (!lease->writing.serial)
			return KS_LEASE_STEP_IDLE;
		if (!lease->seen)
			return KS_LEASE_STEP_READ;
		return is_own_row(lease) ? KS_LEASE_STEP_WRITE
					 : KS_LEASE_STEP_IDLE;
	}
	if (!lease->seen)
		return KS_LEASE_STEP_READ;
	if (ks_lease_is_held(lease, now_us))
		return next_held(lease, now_us, wait_us);
	return next_foreign(lease, now_us, wait_us);
}

static void set_row(ks_lease_t *lease, const ks_lease_row_t *row, ks_str_t etag,
		    int64_t now_us)
{
	bool changed = !lease->seen || lease->etag->len != etag.len ||
		       (etag.len &&
			memcmp(lease->etag->str, etag.data, etag.len) != 0);

	if (changed)
		lease->seen_since_us = now_us;
	lease->seen = true;
	lease->row_exists = row != NULL;
	if (row)
		lease->row = *row;
	g_string_truncate(lease->etag, 0);
	if (etag.len)
		g_string_append_len(lease->etag, etag.data, (gssize)etag.len);
}

/* The row shows the last write, so the lease counts from before it was sent. */
static void hold(ks_lease_t *lease)
{
	if (ks_id_is_zero(&lease->writing.holder))
		return;
	lease->held = true;
	lease->fence = lease->writing.fence;
	lease->held_until_us = lease->write_sent_us + lease->lifetime_us;
}

/**
 * ks_lease_observe() - the row has been read
 * @row: NULL when there is none
 * @now_us: after the response arrived
 */
void ks_lease_observe(ks_lease_t *lease, const ks_lease_row_t *row,
		      ks_str_t etag, int64_t now_us)
{
	set_row(lease, row, etag, now_us);
	lease->read_us = now_us;
	if (is_own_row(lease) && row->serial == lease->writing.serial)
		hold(lease);
	else
		lease->held = false;
}

/**
 * ks_lease_begin_write() - the row to write with the known etag
 * @wanted: acquire or renew, else release
 * @now_us: before it is sent
 */
const ks_lease_row_t *ks_lease_begin_write(ks_lease_t *lease, bool wanted,
					   int64_t now_us)
{
	uint64_t fence = lease->row_exists ? lease->row.fence : 0;
	bool renews = ks_lease_is_held(lease, now_us);

	lease->writing.fence = wanted && !renews ? fence + 1 : fence;
	lease->writing.serial++;
	lease->writing.lifetime_us = lease->lifetime_us;
	lease->write_sent_us = now_us;
	if (wanted) {
		lease->writing.holder = lease->holder;
	} else {
		memset(&lease->writing.holder, 0, sizeof(ks_id_t));
		lease->held = false;
	}
	return &lease->writing;
}

/**
 * ks_lease_end_write() - the write has ended
 * @etag: of the row after KS_STORE_DONE
 * @now_us: after the response arrived
 */
void ks_lease_end_write(ks_lease_t *lease, ks_store_outcome_t outcome,
			ks_str_t etag, int64_t now_us)
{
	switch (outcome) {
	case KS_STORE_DONE:
		set_row(lease, &lease->writing, etag, now_us);
		hold(lease);
		break;
	case KS_STORE_UNREACHABLE:
		break;
	case KS_STORE_REFUSED:
	case KS_STORE_UNKNOWN:
		/* Not held until the row has been read back. */
		lease->held = false;
		lease->seen = false;
		break;
	}
}
