/*
 * Fuzzes the client side of the link protocol, by which an entry sends attempts
 * of requests to an upstream process. An input is a list of steps: frames
 * received from the upstream process, operations of the link's owner on its
 * attempts, and advances of the clock. step() decodes them.
 */
#include "fuzz_link.h"

#include <string.h>

#define MAX_ATTEMPTS 16
#define MAX_STEPS 400

/**
 * struct client - link and its owner
 * @slots: attempts by number; @attempt is NULL after the last event or after
 *	the attempt was abandoned
 */
struct client {
	ks_link_client_t *link;
	ks_test_clock_t *clock;
	ks_loop_t *loop;
	struct slot {
		struct client *client;
		ks_attempt_t *attempt;
		bool abandoned;
		size_t unconsumed;
	} slots[MAX_ATTEMPTS];
	unsigned n_slots;
};

static void on_accepted(void *ctx)
{
	g_assert(!((struct slot *)ctx)->abandoned);
}

static void on_not_started(void *ctx, ks_error_kind_t kind,
			   int64_t retry_after_us)
{
	struct slot *slot = ctx;

	g_assert(!slot->abandoned && slot->attempt);
	g_assert(kind != KS_ERROR_NONE && retry_after_us >= 0);
	slot->attempt = NULL;
}

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	g_assert(!((struct slot *)ctx)->abandoned);
	g_assert(status >= 100 && status <= 599);
	ks_header_find(headers, n_headers, "content-type");
}

static void on_body(void *ctx, ks_str_t data)
{
	struct slot *slot = ctx;

	g_assert(!slot->abandoned && slot->attempt);
	slot->unconsumed += data.len;
}

static void on_end(void *ctx, ks_error_kind_t kind, ks_str_t message)
{
	struct slot *slot = ctx;

	g_assert(!slot->abandoned && slot->attempt);
	g_assert(kind < KS_ERROR_N_KINDS && (message.data || !message.len));
	slot->attempt = NULL;
}

static const ks_attempt_events_t attempt_events = {
	.accepted = on_accepted,
	.not_started = on_not_started,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void on_changed(void *ctx G_GNUC_UNUSED, ks_link_client_t *link)
{
	const ks_load_t *load = ks_link_client_load(link);

	g_assert(memchr(load->role, '\0', sizeof(load->role)));
	ks_link_client_state(link);
}

static void on_config(void *ctx G_GNUC_UNUSED, uint64_t version G_GNUC_UNUSED,
		      ks_str_t digest G_GNUC_UNUSED,
		      ks_str_t body G_GNUC_UNUSED)
{
}

static ks_str_t config_body(void *ctx G_GNUC_UNUSED, uint64_t *version,
			    ks_str_t *digest)
{
	*version = 7;
	*digest = KS_STR("digest");
	return KS_STR("snapshot");
}

static const ks_link_client_events_t link_events = {
	.changed = on_changed,
	.config = on_config,
	.config_body = config_body,
};

static bool on_send(void *impl G_GNUC_UNUSED, ks_str_t peer G_GNUC_UNUSED,
		    ks_str_t message)
{
	ks_frame_t *frame = ks_frame_decode(message);

	g_assert(frame);
	ks_frame_free(frame);
	return true;
}

/*
 * All bytes of the id of attempt number N are N, so that frames in the corpus
 * can refer to it. Attempts with an even number are idempotent.
 */
static void send_attempt(struct client *client)
{
	unsigned n = client->n_slots;
	struct slot *slot = &client->slots[n];
	ks_attempt_request_t request = {
		.key.attempt = 1,
		.method = KS_STR("GET"),
		.path = KS_STR("/x"),
		.timeout_us = KS_USEC_PER_SEC,
		.idempotent = n % 2 == 0,
	};

	if (n == MAX_ATTEMPTS)
		return;
	memset(request.key.id.bytes, (int)n, KS_ID_SIZE);
	slot->client = client;
	slot->attempt = ks_link_client_send(client->link, &request,
					    &attempt_events, slot);
	if (slot->attempt)
		client->n_slots++;
}

static void change_attempt(struct slot *slot, uint8_t how)
{
	if (!slot->attempt)
		return;
	switch (how % 3) {
	case 0:
		ks_attempt_consume(slot->attempt, slot->unconsumed);
		slot->unconsumed = 0;
		break;
	case 1:
		ks_attempt_cancel(slot->attempt);
		break;
	default:
		slot->abandoned = true;
		ks_attempt_abandon(slot->attempt);
		slot->attempt = NULL;
		break;
	}
}

static void step(struct client *client, fuzz_input_t *input)
{
	uint8_t kind = fuzz_input_byte(input);

	switch (kind % 8) {
	case 0:
		fuzz_advance(client->loop, client->clock,
			     fuzz_input_byte(input) * FUZZ_HEARTBEAT_US / 4);
		break;
	case 1:
		send_attempt(client);
		break;
	case 2:
		if (client->n_slots)
			change_attempt(
				&client->slots[kind / 8U % client->n_slots],
				fuzz_input_byte(input));
		break;
	case 3:
		ks_link_client_set_version(client->link,
					   fuzz_input_byte(input));
		break;
	case 4:
		ks_link_client_disconnected(client->link);
		break;
	default:
		ks_link_client_receive(client->link, fuzz_input_block(input));
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const ks_link_client_options_t options = {
		.entry = "e1",
		.domain = "d1",
		.upstream = "u1",
		.incarnation = { { 9 } },
		.heartbeat_us = FUZZ_HEARTBEAT_US,
		.silence_us = FUZZ_SILENCE_US,
	};
	struct client client = { .n_slots = 0 };
	const ks_transport_t transport = { on_send, fuzz_reopen, fuzz_close,
					   &client };
	fuzz_input_t input = { data, size };

	client.loop = fuzz_loop(&client.clock);
	client.link = ks_link_client_new_with_transport(
		client.loop, &transport, &options, &link_events, &client);
	for (unsigned i = 0; input.left && i < MAX_STEPS; i++)
		step(&client, &input);
	ks_link_client_free(client.link);
	return 0;
}
