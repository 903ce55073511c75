/*
 * Fuzzes the server side of the link protocol, by which an upstream process
 * receives requests from entries. Each request is a job of the link's owner. An
 * input is a list of steps: frames received from one of three peers, operations
 * of the owner on its jobs, and advances of the clock. step() decodes them.
 */
#include "fuzz_link.h"

#include <string.h>

#define MAX_JOBS 32
#define MAX_STEPS 400
#define MAX_BUFFER 4096

/**
 * struct server - link and its owner
 * @jobs: jobs that the owner has not ended
 * @incarnation: last incarnation announced in a Welcome frame
 */
struct server {
	ks_link_server_t *link;
	ks_test_clock_t *clock;
	ks_loop_t *loop;
	ks_job_t *jobs[MAX_JOBS];
	unsigned n_jobs;
	ks_id_t incarnation;
};

static void remove_job(struct server *server, const ks_job_t *job)
{
	for (unsigned i = 0; i < server->n_jobs; i++)
		if (server->jobs[i] == job)
			server->jobs[i--] = server->jobs[--server->n_jobs];
}

static void on_request(void *ctx, ks_job_t *job,
		       const ks_attempt_request_t *request)
{
	struct server *server = ctx;

	g_assert(request->timeout_us >= 0);
	if (server->n_jobs == MAX_JOBS) {
		ks_job_refuse(job, KS_ERROR_OVERLOADED, KS_USEC_PER_SEC);
		return;
	}
	server->jobs[server->n_jobs++] = job;
}

/* Ends jobs with an even attempt number at once, others in a later step. */
static void on_cancelled(void *ctx, ks_job_t *job)
{
	struct server *server = ctx;

	if (ks_job_key(job)->attempt % 2)
		return;
	remove_job(server, job);
	ks_job_end(job, KS_ERROR_UPSTREAM_FAILED, KS_STR("cancelled"));
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

static void on_leaving_seen(void *ctx G_GNUC_UNUSED)
{
}

static const ks_link_server_events_t events = {
	.request = on_request,
	.cancelled = on_cancelled,
	.config = on_config,
	.config_body = config_body,
	.leaving_seen = on_leaving_seen,
};

/* Remembers the incarnation from Welcome, which requests have to contain. */
static bool on_send(void *impl, ks_str_t peer G_GNUC_UNUSED, ks_str_t message)
{
	struct server *server = impl;
	ks_frame_t *frame = ks_frame_decode(message);

	g_assert(frame);
	if (frame->kind_case == KS__LINK__FRAME__KIND_WELCOME)
		g_assert(ks_id_from_bytes(&server->incarnation,
					  frame->welcome->incarnation.data,
					  frame->welcome->incarnation.len));
	ks_frame_free(frame);
	return true;
}

static bool is_placeholder(ProtobufCBinaryData id)
{
	bool same = id.len == KS_ID_SIZE;

	for (size_t i = 0; same && i < id.len; i++)
		same = id.data[i] == FUZZ_INCARNATION_BYTE;
	return same;
}

/* Replaces a placeholder in requests by the real incarnation, which is random
 * and so cannot be in the corpus. */
static void receive(struct server *server, ks_str_t peer, ks_str_t message)
{
	ks_frame_t *frame = ks_frame_decode(message);
	GBytes *bytes = NULL;

	if (frame && frame->kind_case == KS__LINK__FRAME__KIND_REQUEST &&
	    is_placeholder(frame->request->upstream_incarnation)) {
		memcpy(frame->request->upstream_incarnation.data,
		       server->incarnation.bytes, KS_ID_SIZE);
		bytes = ks_frame_encode(frame);
		message.data = g_bytes_get_data(bytes, &message.len);
	}
	ks_link_server_receive(server->link, peer, message);
	if (bytes)
		g_bytes_unref(bytes);
	if (frame)
		ks_frame_free(frame);
}

static void answer(struct server *server, ks_job_t *job, fuzz_input_t *input)
{
	static const ks_header_t header = { { "a", 1 }, { "b", 1 } };

	switch (fuzz_input_byte(input) % 5) {
	case 0:
		ks_job_accept(job);
		break;
	case 1:
		remove_job(server, job);
		ks_job_refuse(job, KS_ERROR_OVERLOADED, 0);
		break;
	case 2:
		ks_job_head(job, 200, &header, 1);
		break;
	case 3:
		if (!ks_job_body(job, fuzz_input_block(input)))
			remove_job(server, job);
		break;
	default:
		remove_job(server, job);
		ks_job_end(job, KS_ERROR_NONE, KS_STR(""));
		break;
	}
}

static void step(struct server *server, fuzz_input_t *input)
{
	static const char *const peers[] = { "one", "two", "" };
	uint8_t kind = fuzz_input_byte(input);

	switch (kind % 8) {
	case 0:
		fuzz_advance(server->loop, server->clock,
			     fuzz_input_byte(input) * FUZZ_HEARTBEAT_US);
		break;
	case 1:
		if (server->n_jobs)
			answer(server, server->jobs[kind / 8U % server->n_jobs],
			       input);
		break;
	case 2:
		ks_link_server_set_version(server->link,
					   fuzz_input_byte(input));
		break;
	case 3:
		ks_link_server_set_state(
			server->link,
			(ks_upstream_state_t)(fuzz_input_byte(input) % 4));
		break;
	default:
		receive(server, ks_str_from(peers[kind % 3]),
			fuzz_input_block(input));
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const ks_link_server_options_t options = {
		.upstream = "u1",
		.heartbeat_us = FUZZ_HEARTBEAT_US,
		.silence_us = FUZZ_SILENCE_US,
		.max_buffer = MAX_BUFFER,
	};
	struct server server = { .n_jobs = 0 };
	const ks_transport_t transport = { on_send, fuzz_reopen, fuzz_close,
					   &server };
	fuzz_input_t input = { data, size };

	server.loop = fuzz_loop(&server.clock);
	server.link = ks_link_server_new_with_transport(
		server.loop, &transport, &options, &events, &server);
	for (unsigned i = 0; input.left && i < MAX_STEPS; i++)
		step(&server, &input);
	ks_link_server_is_idle(server.link);
	ks_link_server_free(server.link);
	return 0;
}
