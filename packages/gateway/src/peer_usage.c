/*
 * Exchanges between entries what each of them has counted for organisations,
 * and their wall clocks. Load pattern: each entry counts some 35 to 600
 * requests per second of up to 970 organisations, and may be killed at any
 * time; its messages may use 9 KB/s together with all others.
 *
 * Only the entries that may report receive the counts: the pollers. A message
 * has the counts that changed since the last one, as totals of a window, and
 * a digest of all of them, by which a receiver notices that a message was lost.
 * It then asks for all counts.
 */
#include "peers_internal.h"

#include "ks/usage.h"

#include <string.h>

/* Counts of an entry that is killed are lost if they are not sent yet. */
#define SEND_INTERVAL_US (500 * KS_USEC_PER_MSEC)

/*
 * Without news, a message is sent this often, as the last one may have been
 * lost and no other one would follow in time.
 */
#define REPEAT_INTERVAL_US (1000 * KS_USEC_PER_MSEC)

/* Counts are sent again at most this often on request. */
#define REQUEST_INTERVAL_US (1000 * KS_USEC_PER_MSEC)

/* The first bytes of a PeerUsage: the tag of its sender. */
#define USAGE_PREFIX "\xc1\x07"

/* Entries that receive the counts when not all do; see views.c. */
#define RECEIVERS 3

/* Windows that the last message calls final, with those that end later. */
#define LAST_FINAL_WINDOWS 100

/* Bound on the counts in a message of another entry. */
#define MAX_COUNTS 8192

/* Tag of a process, which is not KS_USAGE_SELF. */
static uint64_t tag_of(const uint8_t *incarnation)
{
	uint64_t tag;

	memcpy(&tag, incarnation, sizeof(tag));
	return tag | 1;
}

static bool is_active(const ks_peers_t *peers)
{
	return peers->usage && peers->usage->active;
}

static size_t add_missing(const ks_usage_window_t *window, uint64_t *senders,
			  size_t n, size_t max)
{
	GHashTableIter iter;
	gpointer tag, value;

	g_hash_table_iter_init(&iter, window->senders);
	while (n < max && g_hash_table_iter_next(&iter, &tag, &value)) {
		const ks_usage_totals_t *totals = value;
		uint64_t sender = *(const uint64_t *)tag;

		if (sender != KS_USAGE_SELF && totals->digest != totals->stated)
			senders[n++] = sender;
	}
	return n;
}

/**
 * ks_usage_missing() - list processes of which counts are missing here
 * @senders: set to their tags, some of them several times
 *
 * Return: number of elements, at most @max.
 */
size_t ks_usage_missing(ks_usage_t *usage, uint64_t *senders, size_t max,
			int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_window_t *window = value;

		if (ks_usage_is_recent(usage, window->number, now_us))
			n = add_missing(window, senders, n, max);
	}
	return n;
}

/**
 * ks_usage_request() - send all counts of the last windows again
 */
void ks_usage_request(ks_usage_t *usage, int64_t now_us)
{
	uint64_t self = KS_USAGE_SELF;
	GHashTableIter iter;
	gpointer value;

	if (usage->requested_us &&
	    now_us - usage->requested_us < REQUEST_INTERVAL_US)
		return;
	usage->requested_us = now_us;
	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_window_t *window = value;
		ks_usage_totals_t *totals =
			g_hash_table_lookup(window->senders, &self);

		if (totals)
			totals->is_requested = true;
	}
}

/* Notes the wall clock in a message of another entry. */
void peers_record_clock(const ks_peers_t *peers, const Ks__PeerState *state)
{
	ks_usage_t *usage = peers->usage;
	int64_t now = ks_loop_now(peers->loop);

	if (!usage || state->wall_ms <= 0 ||
	    state->wall_ms > INT64_MAX / (2 * KS_USEC_PER_MSEC))
		return;
	ks_usage_hear(usage, tag_of(state->incarnation.data),
		      state->wall_ms * KS_USEC_PER_MSEC, now);
	/* A window that has not ended cannot have been sealed. */
	if (state->usage_sealed > 0 &&
	    state->usage_sealed <= ks_usage_window_at(usage, now) + 1) {
		usage->sealed = MAX(usage->sealed, state->usage_sealed);
		usage->sealed_era =
			MAX(usage->sealed_era, state->usage_sealed_era);
	}
	for (size_t i = 0; i < state->n_usage_missing; i++)
		if (state->usage_missing[i] ==
		    tag_of(peers->incarnation.bytes)) {
			ks_usage_request(usage, now);
			break;
		}
}

/*
 * Adds the wall clock of this host to a message, and the processes whose counts
 * it misses.
 */
void peers_add_clock(const ks_peers_t *peers, Ks__PeerState *state,
		     uint64_t missing[PEERS_MAX_MISSING])
{
	if (!is_active(peers))
		return;
	state->wall_ms = ks_clock_now(peers->usage->wall) / KS_USEC_PER_MSEC;
	state->usage_sealed = MAX(peers->usage->sealed, 0);
	state->usage_sealed_era = peers->usage->sealed_era;
	state->usage_missing = missing;
	if (peers->hears_usage)
		state->n_usage_missing = ks_usage_missing(
			peers->usage, missing, PEERS_MAX_MISSING,
			ks_loop_now(peers->loop));
}

static void add_count(Ks__PeerUsageWindow *message,
		      const ks_usage_totals_t *totals, gpointer tag)
{
	message->organisation[message->n_organisation++] =
		GPOINTER_TO_UINT(tag);
	message->count[message->n_count++] =
		GPOINTER_TO_UINT(g_hash_table_lookup(totals->counts, tag));
}

/* Returns the counts of a window to send, to be freed with free_message(). */
static Ks__PeerUsageWindow *build_window(int64_t number,
					 ks_usage_totals_t *totals, bool whole)
{
	Ks__PeerUsageWindow *message = g_new(Ks__PeerUsageWindow, 1);
	GHashTable *tags = whole ? totals->counts : totals->changed;
	guint n = g_hash_table_size(tags);
	GHashTableIter iter;
	gpointer tag;

	ks__peer_usage_window__init(message);
	message->number = number;
	message->digest = totals->digest;
	message->whole = whole;
	message->organisation = g_new(uint32_t, n);
	message->count = g_new(uint32_t, n);
	g_hash_table_iter_init(&iter, tags);
	while (g_hash_table_iter_next(&iter, &tag, NULL))
		add_count(message, totals, tag);
	g_hash_table_remove_all(totals->changed);
	return message;
}

static void free_message(gpointer data)
{
	Ks__PeerUsageWindow *message = data;

	g_free(message->organisation);
	g_free(message->count);
	g_free(message);
}

/* Whether counts of a window have to be sent now. */
static bool has_news(const ks_usage_totals_t *totals)
{
	return totals->is_requested || g_hash_table_size(totals->changed);
}

/*
 * Adds a window to a message: all counts, those that have changed, or only the
 * digest of a window whose counts are final.
 */
static void add_window(ks_usage_t *usage, GPtrArray *messages,
		       const ks_usage_window_t *window, bool is_last,
		       int64_t now)
{
	uint64_t self = KS_USAGE_SELF;
	ks_usage_totals_t *totals = g_hash_table_lookup(window->senders, &self);

	if (!totals || !ks_usage_is_recent(usage, window->number, now))
		return;
	if (!is_last && !has_news(totals) && window->number > usage->final)
		return;
	g_ptr_array_add(messages,
			build_window(window->number, totals,
				     is_last || totals->is_requested));
	totals->is_requested = false;
}

/* Whether there is something to send. */
static bool is_due(ks_usage_t *usage, int64_t final, int64_t now)
{
	uint64_t self = KS_USAGE_SELF;
	GHashTableIter iter;
	gpointer value;

	if (final != usage->told_final ||
	    now - usage->told_us >= REPEAT_INTERVAL_US)
		return true;
	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_window_t *window = value;
		const ks_usage_totals_t *totals =
			g_hash_table_lookup(window->senders, &self);

		if (totals && has_news(totals) &&
		    ks_usage_is_recent(usage, window->number, now))
			return true;
	}
	return false;
}

static void pack_windows(ks_usage_t *usage, uint64_t self,
			 const GPtrArray *windows, int64_t final,
			 GByteArray *packed)
{
	Ks__PeerUsage message = KS__PEER_USAGE__INIT;
	guint begin = packed->len;

	message.sender = self;
	message.number = ++usage->messages;
	message.final = MAX(final, 0);
	message.window = (Ks__PeerUsageWindow **)windows->pdata;
	message.n_window = windows->len;
	g_byte_array_set_size(
		packed,
		begin + (guint)ks__peer_usage__get_packed_size(&message));
	ks__peer_usage__pack(&message, packed->data + begin);
}

/**
 * ks_usage_pack() - build the next message with own counts
 * @self: tag of this process
 * @is_last: nothing will be counted after it
 * @message: the message is appended to it
 *
 * Return: false if there is nothing to send.
 */
bool ks_usage_pack(ks_usage_t *usage, uint64_t self, bool is_last,
		   int64_t now_us, GByteArray *message)
{
	GPtrArray *windows;
	GHashTableIter iter;
	gpointer window;
	int64_t final;

	ks_usage_update(usage, now_us);
	final = is_last ? ks_usage_window_at(usage, now_us) + LAST_FINAL_WINDOWS
			: usage->final;
	if (!is_due(usage, final, now_us))
		return false;
	windows = g_ptr_array_new_with_free_func(free_message);
	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &window))
		add_window(usage, windows, window, is_last, now_us);
	pack_windows(usage, self, windows, final, message);
	usage->told_final = final;
	usage->told_us = now_us;
	g_ptr_array_free(windows, TRUE);
	return true;
}

/* The counts are part of what the limit on bandwidth allows. */
static void charge(ks_peers_t *peers, size_t bytes)
{
	size_t active = ks_peers_n_active(peers);
	size_t receivers =
		ks_peers_share_views(peers) ? MIN(RECEIVERS, active) : active;
	int64_t now = ks_loop_now(peers->loop);

	peers->next_us = MAX(peers->next_us, now) +
			 (int64_t)(bytes * receivers) * KS_USEC_PER_SEC /
				 peers->bytes_per_s;
}

static void send_usage(ks_peers_t *peers, bool is_last)
{
	GByteArray *packed = g_byte_array_new();

	if (ks_usage_pack(peers->usage, tag_of(peers->incarnation.bytes),
			  is_last, ks_loop_now(peers->loop), packed)) {
		ks_socket_send(
			&peers->pub, (ks_str_t){ NULL, 0 },
			(ks_str_t){ (const char *)packed->data, packed->len });
		charge(peers, packed->len);
	}
	g_byte_array_free(packed, TRUE);
}

/* Only entries that may report the counts receive them. */
static void update_subscription(ks_peers_t *peers)
{
	bool wanted = peers->usage->is_reporter || ks_peers_is_poller(peers);

	if (wanted == peers->hears_usage)
		return;
	if (wanted ? ks_socket_subscribe(&peers->sub, KS_STR(USAGE_PREFIX))
		   : ks_socket_unsubscribe(&peers->sub, KS_STR(USAGE_PREFIX)))
		peers->hears_usage = wanted;
}

static void on_timer(void *ctx)
{
	ks_peers_t *peers = ctx;

	if (is_active(peers)) {
		update_subscription(peers);
		send_usage(peers, false);
	}
	ks_timer_set(&peers->usage_timer, SEND_INTERVAL_US);
}

/**
 * ks_peers_set_usage() - exchange counts with the other entries
 * @usage: must outlive the exchange; NULL for none
 *
 * Nothing is sent before @usage is active.
 */
void ks_peers_set_usage(ks_peers_t *peers, ks_usage_t *usage)
{
	if (!peers->context)
		return;
	peers_deinit_usage(peers);
	peers->usage = usage;
	if (!usage)
		return;
	ks_timer_init(&peers->usage_timer, peers->loop, on_timer, peers);
	ks_timer_set(&peers->usage_timer, SEND_INTERVAL_US);
}

/**
 * ks_peers_send_last_usage() - send all counts before the process ends
 */
void ks_peers_send_last_usage(ks_peers_t *peers)
{
	if (is_active(peers))
		send_usage(peers, true);
}

void peers_deinit_usage(ks_peers_t *peers)
{
	if (peers->usage)
		ks_timer_clear(&peers->usage_timer);
	peers->usage = NULL;
}

bool peers_is_about_usage(ks_str_t message)
{
	return ks_str_has_prefix(message, KS_STR(USAGE_PREFIX));
}

static void record_window(ks_usage_t *usage, uint64_t sender,
			  const Ks__PeerUsageWindow *window, int64_t now_us)
{
	ks_usage_totals_t *totals;

	if (window->n_count != window->n_organisation ||
	    window->n_count > MAX_COUNTS)
		return;
	totals = ks_usage_find_totals(usage, window->number, sender, now_us);
	if (!totals)
		return;
	if (window->whole) {
		g_hash_table_remove_all(totals->counts);
		totals->sum = 0;
		totals->digest = 0;
	}
	for (size_t i = 0; i < window->n_count; i++)
		ks_usage_totals_set(totals, window->organisation[i],
				    window->count[i]);
	totals->stated = window->digest;
}

/**
 * ks_usage_receive() - process a message with the counts of another process
 * @self: tag of this process
 *
 * A message that is malformed or older than the last one is dropped.
 */
void ks_usage_receive(ks_usage_t *usage, uint64_t self, ks_str_t message,
		      int64_t now_us)
{
	Ks__PeerUsage *received = ks__peer_usage__unpack(
		NULL, message.len, (const uint8_t *)message.data);
	ks_usage_sender_t *sender;
	uint64_t tag;

	if (!received) {
		ks_log(KS_LOG_LINK, KS_LOG_WARN,
		       "malformed counts of another entry bytes=%zu",
		       message.len);
		return;
	}
	tag = received->sender | 1;
	sender = tag == self ? NULL : ks_usage_find_sender(usage, tag, now_us);
	if (sender && received->number > sender->message) {
		sender->message = received->number;
		if (received->final > 0)
			sender->final = received->final;
		for (size_t i = 0; i < received->n_window; i++)
			record_window(usage, tag, received->window[i], now_us);
	}
	ks__peer_usage__free_unpacked(received, NULL);
}

/* Records the counts in a message of another entry. */
void peers_receive_usage(ks_peers_t *peers, ks_str_t message)
{
	if (is_active(peers))
		ks_usage_receive(peers->usage, tag_of(peers->incarnation.bytes),
				 message, ks_loop_now(peers->loop));
}
