/*
 * Authentication of CURVE clients by public key, as a handler of the ZeroMQ
 * Authentication Protocol (ZAP, ZeroMQ RFC 27).
 */
#include "ks/connection.h"

#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define KEY_BYTES 32
#define MAX_PARTS 8

enum zap_part {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
};

struct ks_zap_state {
	void *zmq;
	ks_watch_t watch;
	GHashTable *allowed; /* GBytes of the keys */
};

static bool is_allowed(const struct ks_zap_state *state, zmq_msg_t *parts,
		       int n_parts)
{
	GBytes *key;
	bool found;

	if (n_parts <= ZAP_CREDENTIALS ||
	    zmq_msg_size(&parts[ZAP_MECHANISM]) != 5 ||
	    memcmp(zmq_msg_data(&parts[ZAP_MECHANISM]), "CURVE", 5) ||
	    zmq_msg_size(&parts[ZAP_CREDENTIALS]) != KEY_BYTES)
		return false;
	key = g_bytes_new(zmq_msg_data(&parts[ZAP_CREDENTIALS]), KEY_BYTES);
	found = g_hash_table_contains(state->allowed, key);
	g_bytes_unref(key);
	return found;
}

static void send_reply(void *zmq, zmq_msg_t *parts, int n_parts, bool allowed)
{
	const char *status = allowed ? "200" : "400";
	const char *text = allowed ? "OK" : "unknown public key";

	zmq_send(zmq, "1.0", 3, ZMQ_SNDMORE);
	if (n_parts > ZAP_REQUEST_ID)
		zmq_send(zmq, zmq_msg_data(&parts[ZAP_REQUEST_ID]),
			 zmq_msg_size(&parts[ZAP_REQUEST_ID]), ZMQ_SNDMORE);
	else
		zmq_send(zmq, "", 0, ZMQ_SNDMORE);
	zmq_send(zmq, status, strlen(status), ZMQ_SNDMORE);
	zmq_send(zmq, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(zmq, "", 0, ZMQ_SNDMORE);
	zmq_send(zmq, "", 0, 0);
}

static bool handle_one_request(struct ks_zap_state *state)
{
	zmq_msg_t parts[MAX_PARTS];
	int n_parts = 0;
	bool more = true;

	while (more && n_parts < MAX_PARTS) {
		zmq_msg_init(&parts[n_parts]);
		if (zmq_msg_recv(&parts[n_parts], state->zmq, ZMQ_DONTWAIT) <
		    0) {
			zmq_msg_close(&parts[n_parts]);
			break;
		}
		more = zmq_msg_more(&parts[n_parts]);
		n_parts++;
	}
	if (n_parts > 0)
		send_reply(state->zmq, parts, n_parts,
			   is_allowed(state, parts, n_parts));
	for (int i = 0; i < n_parts; i++)
		zmq_msg_close(&parts[i]);
	return n_parts > 0;
}

static void on_request(void *ctx)
{
	while (handle_one_request(ctx))
		;
}

static bool add_keys(struct ks_zap_state *state,
		     const char *const *allowed_keys, size_t n_allowed_keys,
		     GError **error)
{
	for (size_t i = 0; i < n_allowed_keys; i++) {
		uint8_t key[KEY_BYTES];

		if (strlen(allowed_keys[i]) != 40 ||
		    !zmq_z85_decode(key, allowed_keys[i])) {
			ks_error_set(error, KS_ERROR_BAD_REQUEST,
				     "an allowed public key is not 40 "
				     "characters of Z85");
			return false;
		}
		g_hash_table_add(state->allowed, g_bytes_new(key, KEY_BYTES));
	}
	return true;
}

/**
 * ks_zap_init() - admit only clients with the given public keys
 * @context: ZeroMQ context; the handler applies to all its CURVE servers
 * @allowed_keys: public keys in Z85 encoding
 *
 * Return: false if a key is malformed or the handler cannot be bound.
 */
bool ks_zap_init(ks_zap_t *zap, ks_loop_t *loop, void *context,
		 const char *const *allowed_keys, size_t n_allowed_keys,
		 GError **error)
{
	struct ks_zap_state *state = g_new0(struct ks_zap_state, 1);
	int fd, linger = 0;
	size_t size = sizeof(fd);

	zap->state = state;
	state->allowed =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, NULL);
	if (!add_keys(state, allowed_keys, n_allowed_keys, error))
		goto fail;
	state->zmq = zmq_socket(context, ZMQ_REP);
	if (!state->zmq ||
	    zmq_setsockopt(state->zmq, ZMQ_LINGER, &linger, sizeof(linger)) ||
	    zmq_bind(state->zmq, ZAP_ENDPOINT) ||
	    zmq_getsockopt(state->zmq, ZMQ_FD, &fd, &size)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot set up ZeroMQ authentication: %s",
			     zmq_strerror(zmq_errno()));
		goto fail;
	}
	if (ks_watch_init(&state->watch, loop, fd, on_request, state, error))
		return true;
fail:
	ks_zap_deinit(zap);
	return false;
}

/**
 * ks_zap_deinit() - close the handler; does nothing after a failed init
 */
void ks_zap_deinit(ks_zap_t *zap)
{
	struct ks_zap_state *state = zap->state;

	if (!state)
		return;
	ks_watch_deinit(&state->watch);
	if (state->zmq)
		zmq_close(state->zmq);
	g_hash_table_unref(state->allowed);
	g_free(state);
	zap->state = NULL;
}
