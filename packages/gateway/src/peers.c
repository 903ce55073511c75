/*
 * Exchanges load and cache state between entries. An entry knows only the
 * requests that it has sent to an upstream itself, and the upstream's own load
 * report is delayed, so several entries could overload the same upstream.
 *
 * Each message holds the full load of its sender, so that the next one makes up
 * for a lost one. No entry depends on the messages: without them, it counts
 * only its own requests.
 */
#include "peers_internal.h"

#include <string.h>
#include <xxhash.h>
#include <zmq.h>

/*
 * Load data is outdated once some prompts have been prefilled, so it is sent
 * this often at most while it changes.
 */
#define MIN_UPDATE_INTERVAL_US (20 * KS_USEC_PER_MSEC)

/*
 * Interval of an entry whose load does not change; it shows that the entry is
 * alive.
 */
#define IDLE_UPDATE_INTERVAL_US (500 * KS_USEC_PER_MSEC)

/*
 * An entry is considered stopped or disconnected after this time without a
 * message.
 */
#define PEER_TIMEOUT_US (1500 * KS_USEC_PER_MSEC)

/*
 * Shortest interval of messages with news that are not held back by the limit
 * on bandwidth, as the others must know of them before they send the next
 * request. The second one is for many entries.
 */
#define URGENT_INTERVAL_US (100 * KS_USEC_PER_MSEC)
#define SHARED_URGENT_INTERVAL_US (500 * KS_USEC_PER_MSEC)

/* Limit for outgoing messages: a node may use 9 KB/s for control traffic. */
#define BYTES_PER_S 9000

/*
 * A part that stays in use is announced again at this interval, so that other
 * entries do not count it as evicted.
 */
#define REANNOUNCE_US (5 * KS_USEC_PER_SEC)

/*
 * Announcements remembered, 24 bytes each. If there are more, the table is
 * cleared and parts may be announced early.
 */
#define MAX_ANNOUNCED 8192

/* Limit on the parts in a message, which keeps it to a few packets. */
#define MAX_PARTS_PER_MESSAGE 200

/**
 * struct load - the load that a peer has placed on one upstream
 * @member: the upstream, with a reference
 * @running: number of requests that the peer has in flight there
 * @occupancy: share of the upstream that their responses take up
 * @prefill_tokens: prompt tokens of these requests still to be prefilled
 * @number: number of the last message that contained it
 */
struct load {
	ks_member_t *member;
	unsigned running;
	unsigned occupancy;
	int64_t prefill_tokens;
	uint64_t number;
};

static void clear_load(struct load *load)
{
	load->member->peer_running -= load->running;
	load->member->peer_occupancy -= load->occupancy;
	load->member->peer_prefill_tokens -= load->prefill_tokens;
	load->running = 0;
	load->occupancy = 0;
	load->prefill_tokens = 0;
}

static void free_load(gpointer data)
{
	struct load *load = data;

	clear_load(load);
	ks_member_unref(load->member);
	g_free(load);
}

static void free_peer(gpointer data)
{
	struct peer *peer = data;

	g_hash_table_destroy(peer->loads);
	g_array_free(peer->speeds, TRUE);
	g_array_free(peer->unanswered, TRUE);
	g_free(peer);
}

static uint64_t rank_of(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static struct peer *find_peer(ks_peers_t *peers, const char *name)
{
	struct peer *peer = g_hash_table_lookup(peers->by_name, name);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->loads = g_hash_table_new_full(NULL, NULL, NULL, free_load);
	peer->speeds = peers_new_speeds();
	peer->unanswered = peers_new_unanswered();
	peer->rank = rank_of(name);
	g_hash_table_insert(peers->by_name, g_strdup(name), peer);
	return peer;
}

static void set_load(ks_peers_t *peers, struct peer *peer,
		     const Ks__PeerState *state, size_t i)
{
	uint32_t tag = state->upstream[i];
	ks_member_t *member = ks_fleet_find_tag(peers->fleet, tag);
	struct load *load =
		g_hash_table_lookup(peer->loads, GUINT_TO_POINTER(tag));

	if (load && load->member != member) {
		g_hash_table_remove(peer->loads, GUINT_TO_POINTER(tag));
		load = NULL;
	}
	if (!member)
		return;
	if (!load) {
		load = g_new0(struct load, 1);
		load->member = ks_member_ref(member);
		g_hash_table_insert(peer->loads, GUINT_TO_POINTER(tag), load);
	}
	clear_load(load);
	load->running = state->running[i];
	load->occupancy = state->n_occupancy ? state->occupancy[i] : 0;
	load->prefill_tokens = state->reading_tokens[i];
	load->number = peer->number;
	member->peer_running += load->running;
	member->peer_occupancy += load->occupancy;
	member->peer_prefill_tokens += load->prefill_tokens;
}

static gboolean is_stale(gpointer tag G_GNUC_UNUSED, gpointer value,
			 gpointer data)
{
	const struct load *load = value;
	const struct peer *peer = data;

	return load->number != peer->number;
}

static void record_parts(const ks_peers_t *peers, const Ks__PeerState *state)
{
	for (size_t i = 0; i < state->n_kept_part; i++) {
		ks_member_t *member =
			ks_fleet_find_tag(peers->fleet, state->kept_by[i]);

		if (member)
			ks_member_record_part(member, state->kept_part[i],
					      ks_loop_now(peers->loop));
	}
}

static bool is_usable(const ks_peers_t *peers, const Ks__PeerState *state)
{
	return state && state->incarnation.len == KS_ID_SIZE &&
	       state->n_running == state->n_upstream &&
	       state->n_reading_tokens == state->n_upstream &&
	       (!state->n_occupancy ||
		state->n_occupancy == state->n_upstream) &&
	       state->n_kept_by == state->n_kept_part && *state->name &&
	       strcmp(state->name, peers->name) != 0;
}

/**
 * ks_peers_receive() - process a message from another entry
 *
 * A message that is malformed or older than the last one is dropped.
 */
void ks_peers_receive(ks_peers_t *peers, ks_str_t message)
{
	Ks__PeerState *state;
	struct peer *peer;
	ks_id_t incarnation;

	if (peers_is_about_streams(message)) {
		peers_receive_streams(peers, message);
		return;
	}
	if (peers_is_about_usage(message)) {
		peers_receive_usage(peers, message);
		return;
	}
	state = ks__peer_state__unpack(NULL, message.len,
				       (const uint8_t *)message.data);
	if (!is_usable(peers, state)) {
		if (!state)
			ks_log(KS_LOG_LINK, KS_LOG_WARN,
			       "malformed message from another entry bytes=%zu",
			       message.len);
		ks__peer_state__free_unpacked(state, NULL);
		return;
	}
	peer = find_peer(peers, state->name);
	ks_id_from_bytes(&incarnation, state->incarnation.data,
			 state->incarnation.len);
	if (!ks_id_equal(&incarnation, &peer->incarnation)) {
		peer->incarnation = incarnation;
		peer->number = 0;
		peer->answers = state->answers;
		g_array_set_size(peer->speeds, 0);
	}
	if (state->number > peer->number) {
		peer->number = state->number;
		peer->seen_us = ks_loop_now(peers->loop);
		for (size_t i = 0; i < state->n_upstream; i++)
			set_load(peers, peer, state, i);
		g_hash_table_foreach_remove(peer->loads, is_stale, peer);
		record_parts(peers, state);
		peers_record_views(peers, peer, state);
		peers_record_losses(peers, peer, state);
		peers_record_limits(peers, state);
		peers_record_speeds(peers, peer, state);
		peers_record_unanswered(peers, peer, state);
		peers_record_clock(peers, state);
	}
	ks__peer_state__free_unpacked(state, NULL);
}

static void on_message(void *ctx, ks_str_t sender G_GNUC_UNUSED,
		       ks_str_t message)
{
	ks_peers_receive(ctx, message);
}

static void remove_silent(ks_peers_t *peers)
{
	int64_t now = ks_loop_now(peers->loop);
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct peer *peer = value;

		if (now - peer->seen_us <= PEER_TIMEOUT_US)
			continue;
		ks_log(KS_LOG_LINK, KS_LOG_INFO,
		       "an entry is silent, its load is forgotten entry=%s "
		       "age_ms=%" PRId64,
		       (const char *)name,
		       (now - peer->seen_us) / KS_USEC_PER_MSEC);
		g_hash_table_iter_remove(&iter);
	}
}

/**
 * ks_peers_pack() - build the next message to the other entries
 * @message: the message is appended to it
 */
void ks_peers_pack(ks_peers_t *peers, GByteArray *message)
{
	guint n = g_hash_table_size(peers->fleet->by_id), used = 0;
	uint32_t *tags = g_new(uint32_t, n + 1);
	uint32_t *running = g_new(uint32_t, n + 1);
	uint32_t *reading = g_new(uint32_t, n + 1);
	uint32_t *occupancy = g_new(uint32_t, n + 1);
	Ks__PeerState state = KS__PEER_STATE__INIT;
	struct peers_view_fields views;
	struct peers_loss_fields losses;
	struct peers_limit_fields limits;
	struct peers_speed_fields speeds;
	struct peers_unanswered_fields unanswered;
	uint64_t missing[PEERS_MAX_MISSING];
	GHashTableIter iter;
	gpointer value;
	guint begin = message->len;

	g_hash_table_iter_init(&iter, peers->fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_member_t *member = value;

		if (!member->running && !member->prefill_tokens)
			continue;
		tags[used] = member->tag;
		running[used] = member->running;
		occupancy[used] = member->occupancy;
		reading[used++] =
			(uint32_t)CLAMP(member->prefill_tokens, 0, G_MAXINT32);
	}
	state.name = peers->name;
	state.incarnation.data = peers->incarnation.bytes;
	state.incarnation.len = KS_ID_SIZE;
	state.number = ++peers->number;
	state.version = peers->version;
	state.upstream = tags;
	state.running = running;
	state.reading_tokens = reading;
	state.occupancy = occupancy;
	state.n_upstream = state.n_running = used;
	state.n_reading_tokens = state.n_occupancy = used;
	state.kept_part = (uint64_t *)(void *)peers->queued_parts->data;
	state.kept_by = (uint32_t *)(void *)peers->queued_tags->data;
	state.n_kept_part = state.n_kept_by = peers->queued_parts->len;
	peers_add_views(peers, &state, &views);
	peers_add_losses(peers, &state, &losses);
	peers_add_limits(peers, &state, &limits);
	peers_add_speeds(peers, &state, &speeds);
	peers_add_unanswered(peers, &state, &unanswered);
	peers_add_clock(peers, &state, missing);
	g_byte_array_set_size(
		message,
		begin + (guint)ks__peer_state__get_packed_size(&state));
	ks__peer_state__pack(&state, message->data + begin);
	g_array_set_size(peers->queued_parts, 0);
	g_array_set_size(peers->queued_tags, 0);
	g_free(tags);
	g_free(running);
	g_free(reading);
	g_free(occupancy);
}

/* Returns the size of the message. */
static size_t send_state(ks_peers_t *peers)
{
	GByteArray *message = g_byte_array_new();
	size_t len;

	ks_peers_pack(peers, message);
	len = message->len;
	ks_socket_send(&peers->pub, (ks_str_t){ NULL, 0 },
		       (ks_str_t){ (const char *)message->data, len });
	g_byte_array_free(message, TRUE);
	return len;
}

static void on_timer(void *ctx)
{
	ks_peers_t *peers = ctx;
	int64_t sent = (int64_t)send_state(peers) *
		       (int64_t)MAX(g_hash_table_size(peers->addresses), 1);
	int64_t period = sent * KS_USEC_PER_SEC / peers->bytes_per_s;

	remove_silent(peers);
	peers->sent_us = ks_loop_now(peers->loop);
	peers->next_us =
		ks_loop_now(peers->loop) + MAX(period, MIN_UPDATE_INTERVAL_US);
	ks_timer_set(&peers->timer, IDLE_UPDATE_INTERVAL_US);
}

/**
 * ks_peers_schedule_update() - send a message as soon as the rate limit allows
 */
void ks_peers_schedule_update(ks_peers_t *peers)
{
	int64_t now, due;

	if (!peers->context)
		return;
	now = ks_loop_now(peers->loop);
	due = MAX(peers->next_us, now);
	if (ks_timer_is_set(&peers->timer) && peers->timer.due_us <= due)
		return;
	ks_timer_set(&peers->timer, due - now);
}

/* Sends a message soon, whatever the limit on bandwidth says. */
void peers_schedule_urgent(ks_peers_t *peers)
{
	int64_t interval = ks_peers_share_views(peers)
				   ? SHARED_URGENT_INTERVAL_US
				   : URGENT_INTERVAL_US;
	int64_t now = ks_loop_now(peers->loop);
	int64_t due = MAX(peers->sent_us + interval, now);

	if (ks_timer_is_set(&peers->timer) && peers->timer.due_us <= due)
		return;
	ks_timer_set(&peers->timer, due - now);
}

static void queue_part(ks_peers_t *peers, const ks_member_t *member,
		       uint64_t part)
{
	int64_t now = ks_loop_now(peers->loop);
	uint64_t key = XXH64(&part, sizeof(part), member->tag);
	int64_t *last = g_hash_table_lookup(peers->announced, &key);

	if (last && now - *last < REANNOUNCE_US)
		return;
	if (peers->queued_parts->len >= MAX_PARTS_PER_MESSAGE)
		return;
	if (g_hash_table_size(peers->announced) >= MAX_ANNOUNCED)
		g_hash_table_remove_all(peers->announced);
	g_hash_table_replace(peers->announced, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&now, sizeof(now)));
	g_array_append_val(peers->queued_parts, part);
	g_array_append_val(peers->queued_tags, member->tag);
}

/**
 * ks_peers_queue_cached() - announce that the shared parts of a prompt are
 * cached
 *
 * The last part is left out, as no other request shares it.
 */
void ks_peers_queue_cached(ks_peers_t *peers, const ks_member_t *member,
			   const ks_prompt_t *prompt)
{
	if (!peers->context)
		return;
	for (size_t i = 0; i + 1 < prompt->n_parts; i++)
		queue_part(peers, member, prompt->ids[i]);
	ks_peers_schedule_update(peers);
}

/**
 * ks_peers_init() - start publishing, without subscriptions
 * @name: of this entry; messages under this name are ignored
 * @address: of this entry's publisher; port 0 lets the kernel choose
 *
 * Return: false if the address cannot be bound or no incarnation id can be
 * generated; call ks_peers_deinit() in this case as well.
 */
bool ks_peers_init(ks_peers_t *peers, ks_loop_t *loop, ks_fleet_t *fleet,
		   const char *name, const ks_address_t *address,
		   GError **error)
{
	memset(peers, 0, sizeof(*peers));
	peers->loop = loop;
	peers->fleet = fleet;
	peers->name = g_strdup(name);
	peers->rank = rank_of(name);
	peers->bytes_per_s = BYTES_PER_S;
	peers->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_peer);
	peers->announced = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	peers->queued_parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	peers->queued_tags = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	peers->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers_init_limits(peers);
	peers_init_streams(peers);
	ks_timer_init(&peers->timer, loop, on_timer, peers);
	if (!ks_id_generate(&peers->incarnation)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot generate an incarnation id");
		return false;
	}
	peers->context = zmq_ctx_new();
	if (!ks_socket_bind_pub(&peers->pub, loop, peers->context, address,
				&peers->port, error) ||
	    !ks_socket_init_sub(&peers->sub, loop, peers->context, on_message,
				peers, error))
		return false;
	if (!peers_subscribe(peers)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot subscribe to messages of other entries");
		return false;
	}
	ks_timer_set(&peers->timer, IDLE_UPDATE_INTERVAL_US);
	return true;
}

/**
 * ks_peers_deinit() - stop publishing and free everything
 *
 * May be called after a failed ks_peers_init(), or without it on zeroed memory.
 */
void ks_peers_deinit(ks_peers_t *peers)
{
	if (!peers->by_name)
		return;
	ks_timer_clear(&peers->timer);
	peers_deinit_usage(peers);
	if (peers->pub.zmq)
		ks_socket_deinit(&peers->pub);
	if (peers->sub.zmq)
		ks_socket_deinit(&peers->sub);
	if (peers->context)
		zmq_ctx_term(peers->context);
	g_hash_table_destroy(peers->by_name);
	g_hash_table_destroy(peers->addresses);
	g_hash_table_destroy(peers->announced);
	peers_deinit_limits(peers);
	peers_deinit_streams(peers);
	g_queue_clear_full(&peers->losses, g_free);
	g_array_free(peers->queued_parts, TRUE);
	g_array_free(peers->queued_tags, TRUE);
	g_free(peers->name);
	memset(peers, 0, sizeof(*peers));
}

/**
 * ks_peers_add() - subscribe to another entry, or update its address
 */
void ks_peers_add(ks_peers_t *peers, const char *name,
		  const ks_address_t *address)
{
	const ks_address_t *known;

	if (!peers->context || !strcmp(name, peers->name))
		return;
	known = g_hash_table_lookup(peers->addresses, name);
	if (known && known->port == address->port &&
	    !strcmp(known->ip, address->ip))
		return;
	ks_peers_remove(peers, name);
	if (!ks_socket_add_publisher(&peers->sub, address)) {
		ks_log(KS_LOG_LINK, KS_LOG_WARN,
		       "cannot subscribe to an entry entry=%s ip=%s", name,
		       address->ip);
		return;
	}
	g_hash_table_insert(peers->addresses, g_strdup(name),
			    g_memdup2(address, sizeof(*address)));
}

/**
 * ks_peers_remove() - unsubscribe from an entry and drop its load
 */
void ks_peers_remove(ks_peers_t *peers, const char *name)
{
	const ks_address_t *known =
		peers->context ? g_hash_table_lookup(peers->addresses, name)
			       : NULL;

	if (!known)
		return;
	ks_socket_remove_publisher(&peers->sub, known);
	g_hash_table_remove(peers->addresses, name);
	g_hash_table_remove(peers->by_name, name);
	g_hash_table_remove(peers->claimants, name);
}

/**
 * ks_peers_n_active() - count the entries heard of within the timeout
 */
size_t ks_peers_n_active(const ks_peers_t *peers)
{
	return peers->by_name ? g_hash_table_size(peers->by_name) : 0;
}

/**
 * ks_peers_n_announced() - count the entries subscribed to, silent ones
 * included
 */
size_t ks_peers_n_announced(const ks_peers_t *peers)
{
	return peers->addresses ? g_hash_table_size(peers->addresses) : 0;
}
