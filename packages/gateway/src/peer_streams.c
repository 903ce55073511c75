/*
 * Exchanges between entries at which upstreams streams began. A caller that
 * resumes a stream mostly comes to another entry than before, which may have
 * ended meanwhile.
 *
 * Each stream has a few owners among the entries, which are chosen by a hash
 * of both, so that the number of messages does not grow with that of entries.
 * The entry that begins a stream sends them its origin; one that does not know
 * a stream asks them.
 */
#include "peers_internal.h"

#include <xxhash.h>

/* Entries that record a stream besides the one that begins it. */
#define N_OWNERS 2

/*
 * Entries that are asked. Besides the owners as they are seen here, these are
 * one that may have been passed over as it began the stream itself, and one
 * that has ended and is not known to have.
 */
#define N_ASKED (N_OWNERS + 2)
G_STATIC_ASSERT(N_ASKED <= KS_STREAM_MAX_ASKED);

/* Limit on what one message says; the rest follows in the next one. */
#define MAX_PER_MESSAGE 256

/*
 * The first bytes of a message: of a PeerState, the tag of its name, and of a
 * PeerStreams, that of its receiver, whose 8 bytes follow.
 */
#define STATE_PREFIX "\x0a"
#define STREAMS_PREFIX "\xa1\x06"

enum update_kind {
	UPDATE_BEGUN,
	UPDATE_ASKED,
	UPDATE_UNKNOWN,
};

/**
 * struct stream_update - something about a stream to send to another entry
 * @receiver: hash of its name
 * @origin: of a stream that has begun, 0 if it is not known
 * @process: that may have begun it then, see struct ks_stream_claim
 */
struct stream_update {
	uint64_t receiver;
	enum update_kind kind;
	uint64_t stream;
	uint64_t origin;
	uint64_t process;
};

static gint compare_receivers(gconstpointer a, gconstpointer b)
{
	const struct stream_update *x = a, *y = b;

	return (x->receiver > y->receiver) - (x->receiver < y->receiver);
}

/* Sends @n updates, which are for the same entry. */
static void send_updates(ks_peers_t *peers, const struct stream_update *updates,
			 guint n)
{
	uint64_t streams[MAX_PER_MESSAGE], origins[MAX_PER_MESSAGE];
	uint64_t asked[MAX_PER_MESSAGE], unknown[MAX_PER_MESSAGE];
	uint64_t processes[MAX_PER_MESSAGE];
	bool has_claims = false;
	Ks__PeerStreams message = KS__PEER_STREAMS__INIT;
	GByteArray *packed = g_byte_array_new();

	message.receiver = updates->receiver;
	message.sender = peers->rank;
	message.stream = streams;
	message.origin = origins;
	message.asked = asked;
	message.unknown = unknown;
	message.process = processes;
	for (guint i = 0; i < n; i++) {
		if (updates[i].kind == UPDATE_ASKED) {
			asked[message.n_asked++] = updates[i].stream;
		} else if (updates[i].kind == UPDATE_UNKNOWN) {
			unknown[message.n_unknown++] = updates[i].stream;
		} else {
			processes[message.n_stream] = updates[i].process;
			has_claims |= !updates[i].origin;
			origins[message.n_origin++] = updates[i].origin;
			streams[message.n_stream++] = updates[i].stream;
		}
	}
	message.n_process = has_claims ? message.n_stream : 0;
	g_byte_array_set_size(
		packed, (guint)ks__peer_streams__get_packed_size(&message));
	ks__peer_streams__pack(&message, packed->data);
	ks_socket_send(&peers->pub, (ks_str_t){ NULL, 0 },
		       (ks_str_t){ (const char *)packed->data, packed->len });
	g_byte_array_free(packed, TRUE);
}

/* Sends what has been queued in this iteration of the loop. */
static void on_update_timer(void *ctx)
{
	ks_peers_t *peers = ctx;
	const struct stream_update *updates;
	guint first = 0;

	g_array_sort(peers->stream_updates, compare_receivers);
	updates = (const struct stream_update *)(void *)
			  peers->stream_updates->data;
	for (guint i = 1; i <= peers->stream_updates->len; i++) {
		if (i < peers->stream_updates->len &&
		    i - first < MAX_PER_MESSAGE &&
		    updates[i].receiver == updates[first].receiver)
			continue;
		send_updates(peers, updates + first, i - first);
		first = i;
	}
	g_array_set_size(peers->stream_updates, 0);
}

static void queue_update(ks_peers_t *peers, const struct stream_update *update)
{
	g_array_append_val(peers->stream_updates, *update);
	if (!ks_timer_is_set(&peers->update_timer))
		ks_timer_set(&peers->update_timer, 0);
}

void peers_init_streams(ks_peers_t *peers)
{
	peers->stream_updates =
		g_array_new(FALSE, FALSE, sizeof(struct stream_update));
	ks_timer_init(&peers->update_timer, peers->loop, on_update_timer,
		      peers);
}

void peers_deinit_streams(ks_peers_t *peers)
{
	ks_timer_clear(&peers->update_timer);
	g_array_free(peers->stream_updates, TRUE);
}

/* Subscribes to the messages for all entries and to those for this one. */
bool peers_subscribe(ks_peers_t *peers)
{
	char prefix[sizeof(STREAMS_PREFIX) - 1 + sizeof(uint64_t)] =
		STREAMS_PREFIX;

	for (size_t i = 0; i < sizeof(uint64_t); i++)
		prefix[sizeof(STREAMS_PREFIX) - 1 + i] =
			(char)(peers->rank >> (8 * i));
	return ks_socket_subscribe(&peers->sub, KS_STR(STATE_PREFIX)) &&
	       ks_socket_subscribe(&peers->sub,
				   (ks_str_t){ prefix, sizeof(prefix) });
}

/* Chooses up to @n of the active entries for a stream; returns how many. */
static unsigned choose_entries(const ks_peers_t *peers, uint64_t stream,
			       uint64_t *ranks, unsigned n)
{
	uint64_t weights[N_ASKED];
	unsigned used = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		uint64_t weight = XXH64(&stream, sizeof(stream), peer->rank);
		unsigned at = used;

		while (at && weights[at - 1] < weight)
			at--;
		if (at == n)
			continue;
		used = MIN(used + 1, n);
		for (unsigned i = used - 1; i > at; i--) {
			weights[i] = weights[i - 1];
			ranks[i] = ranks[i - 1];
		}
		weights[at] = weight;
		ranks[at] = peer->rank;
	}
	return used;
}

/**
 * ks_peers_announce_stream() - send the origin of a stream to its owners
 * @origin: 0 if it is not known
 * @process: that may have begun it then, see struct ks_stream_claim
 */
void ks_peers_announce_stream(ks_peers_t *peers, uint64_t stream,
			      uint64_t origin, uint64_t process)
{
	struct stream_update update = {
		.kind = UPDATE_BEGUN,
		.stream = stream,
		.origin = origin,
		.process = origin ? 0 : process,
	};
	uint64_t ranks[N_OWNERS];
	unsigned n;

	if (!peers->context)
		return;
	n = choose_entries(peers, stream, ranks, N_OWNERS);
	for (unsigned i = 0; i < n; i++) {
		update.receiver = ranks[i];
		queue_update(peers, &update);
	}
}

/**
 * ks_peers_ask_stream() - ask other entries where a stream began
 * @asked: set to the hashes of their names, KS_STREAM_MAX_ASKED at most
 *
 * What they know is recorded in @origins, and @answered is called for each
 * answer.
 *
 * Return: the number of entries that are asked.
 */
unsigned ks_peers_ask_stream(ks_peers_t *peers, uint64_t stream,
			     uint64_t *asked)
{
	struct stream_update update = { .kind = UPDATE_ASKED,
					.stream = stream };
	unsigned n;

	if (!peers->context)
		return 0;
	n = choose_entries(peers, stream, asked, N_ASKED);
	for (unsigned i = 0; i < n; i++) {
		update.receiver = asked[i];
		queue_update(peers, &update);
	}
	return n;
}

static void queue_answer(ks_peers_t *peers, uint64_t receiver, uint64_t stream)
{
	struct stream_update update = {
		.receiver = receiver,
		.kind = UPDATE_BEGUN,
		.stream = stream,
		.origin = ks_stream_origins_find(peers->origins, stream,
						 ks_loop_now(peers->loop)),
	};
	const ks_stream_claim_t *claim =
		ks_stream_origins_find_claim(peers->origins, stream);

	if (!update.origin && claim) {
		update.process = claim->process;
	} else if (!update.origin) {
		update.kind = UPDATE_UNKNOWN;
		ks_log(KS_LOG_LINK, KS_LOG_INFO,
		       "asked for a stream that is not known "
		       "stream=%016" PRIx64 " by=%016" PRIx64,
		       stream, receiver);
	}
	queue_update(peers, &update);
}

/* Whether a message is one to a single entry. */
bool peers_is_about_streams(ks_str_t message)
{
	return ks_str_has_prefix(message, KS_STR(STREAMS_PREFIX));
}

/* Records where a stream of a message began. */
static void note_beginning(ks_peers_t *peers, const Ks__PeerStreams *received,
			   size_t i)
{
	int64_t now_us = ks_loop_now(peers->loop);
	ks_stream_claim_t claim = {
		.stream = received->stream[i],
		/* The stream had begun when the message was sent. */
		.since_us = now_us,
	};

	if (received->origin[i]) {
		ks_stream_origins_record(peers->origins, received->stream[i],
					 received->origin[i], now_us);
	} else if (received->n_process && received->process[i]) {
		claim.process = received->process[i];
		ks_stream_origins_claim(peers->origins, &claim, now_us);
	}
}

/* Processes a message to this entry. */
void peers_receive_streams(ks_peers_t *peers, ks_str_t message)
{
	Ks__PeerStreams *received = ks__peer_streams__unpack(
		NULL, message.len, (const uint8_t *)message.data);

	if (!received || received->n_stream != received->n_origin ||
	    (received->n_process &&
	     received->n_process != received->n_stream)) {
		ks_log(KS_LOG_LINK, KS_LOG_WARN,
		       "malformed message about streams bytes=%zu",
		       message.len);
		ks__peer_streams__free_unpacked(received, NULL);
		return;
	}
	if (received->receiver == peers->rank && peers->origins) {
		for (size_t i = 0; i < received->n_stream; i++) {
			note_beginning(peers, received, i);
			peers->answered(peers->answered_ctx,
					received->stream[i], received->sender);
		}
		for (size_t i = 0; i < received->n_asked; i++)
			queue_answer(peers, received->sender,
				     received->asked[i]);
		for (size_t i = 0; i < received->n_unknown; i++)
			peers->answered(peers->answered_ctx,
					received->unknown[i], received->sender);
	}
	ks__peer_streams__free_unpacked(received, NULL);
}
