/* ZeroMQ sockets on the event loop. */
#include "ks/connection.h"

#include <string.h>
#include <zmq.h>

/* A frame carries at most one request or one fragment of a response. */
#define MAX_FRAME_BYTES (INT64_C(64) << 20)
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000

/* Each broadcast supersedes the previous ones, so few are queued. */
#define BROADCAST_HWM 64

/*
 * Heartbeats of broadcast connections; a connection without a reply for the
 * timeout is replaced.
 */
#define BROADCAST_HEARTBEAT_MS 1000
#define BROADCAST_TIMEOUT_MS 2000

static bool set_int(void *zmq, int option, int value)
{
	return !zmq_setsockopt(zmq, option, &value, sizeof(value));
}

static bool set_text(void *zmq, int option, const char *value)
{
	return value && !zmq_setsockopt(zmq, option, value, strlen(value) + 1);
}

static bool has_input(void *zmq)
{
	int events = 0;
	size_t size = sizeof(events);

	return !zmq_getsockopt(zmq, ZMQ_EVENTS, &events, &size) &&
	       (events & ZMQ_POLLIN);
}

/*
 * Receives one message. Drops a message that does not consist of one ZeroMQ
 * frame, after the peer's identity on a ROUTER.
 */
static bool receive_one(ks_socket_t *sock)
{
	zmq_msg_t parts[2];
	int n_parts = 0, expected = sock->is_router ? 2 : 1;
	bool more = true, received = false;
	ks_str_t peer = { NULL, 0 }, message;

	while (more) {
		zmq_msg_t part;

		zmq_msg_init(&part);
		if (zmq_msg_recv(&part, sock->zmq, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&part);
			break;
		}
		received = true;
		more = zmq_msg_more(&part);
		if (n_parts < expected)
			parts[n_parts] = part;
		else
			zmq_msg_close(&part);
		n_parts++;
	}
	if (n_parts == expected) {
		if (sock->is_router)
			peer = (ks_str_t){ zmq_msg_data(&parts[0]),
					   zmq_msg_size(&parts[0]) };
		message = (ks_str_t){ zmq_msg_data(&parts[expected - 1]),
				      zmq_msg_size(&parts[expected - 1]) };
		sock->receive(sock->ctx, peer, message);
	}
	for (int i = 0; i < MIN(n_parts, expected); i++)
		zmq_msg_close(&parts[i]);
	return received;
}

/*
 * ZeroMQ's file descriptor is edge-triggered, so all messages have to be
 * received each time it becomes readable.
 */
static void drain_socket(void *ctx)
{
	ks_socket_t *sock = ctx;
	bool closed = false;

	if (sock->draining)
		return;
	sock->draining = true;
	sock->closed = &closed;
	/* An empty receive checks for new input, as ZMQ_EVENTS does. */
	while (!closed && receive_one(sock))
		;
	if (closed)
		return;
	sock->closed = NULL;
	sock->draining = false;
}

static void drain_monitor(void *ctx)
{
	ks_socket_t *sock = ctx;
	bool disconnected = false;

	while (has_input(sock->monitor)) {
		zmq_msg_t event, address;
		uint16_t number = 0;

		zmq_msg_init(&event);
		zmq_msg_init(&address);
		zmq_msg_recv(&event, sock->monitor, ZMQ_DONTWAIT);
		zmq_msg_recv(&address, sock->monitor, ZMQ_DONTWAIT);
		if (zmq_msg_size(&event) >= sizeof(number))
			memcpy(&number, zmq_msg_data(&event), sizeof(number));
		zmq_msg_close(&event);
		zmq_msg_close(&address);
		disconnected |= number == ZMQ_EVENT_DISCONNECTED;
	}
	if (disconnected)
		sock->disconnected(sock->ctx);
}

static bool watch_zmq(ks_watch_t *watch, ks_loop_t *loop, void *zmq,
		      ks_watch_func_t func, ks_socket_t *sock, GError **error)
{
	int fd;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(zmq, ZMQ_FD, &fd, &size)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot get the descriptor of a ZeroMQ socket: %s",
			     zmq_strerror(zmq_errno()));
		return false;
	}
	return ks_watch_init(watch, loop, fd, func, sock, error);
}

static bool configure_curve(void *zmq, const ks_socket_security_t *security,
			    bool server)
{
	if (security->plain)
		return true;
	if (server)
		return set_int(zmq, ZMQ_CURVE_SERVER, 1) &&
		       set_text(zmq, ZMQ_CURVE_SECRETKEY,
				security->secret_key) &&
		       set_text(zmq, ZMQ_ZAP_DOMAIN, "knapweedstair");
	return set_text(zmq, ZMQ_CURVE_SERVERKEY, security->server_key) &&
	       set_text(zmq, ZMQ_CURVE_PUBLICKEY, security->public_key) &&
	       set_text(zmq, ZMQ_CURVE_SECRETKEY, security->secret_key);
}

static bool open_socket(ks_socket_t *sock, void *context, int type,
			const ks_address_t *address,
			const ks_socket_security_t *security, GError **error)
{
	int64_t max_size = MAX_FRAME_BYTES;

	if (security->plain && !ks_address_is_loopback(address)) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "a link without encryption requires a loopback "
			     "address; %s is not one",
			     address->ip);
		return false;
	}
	sock->zmq = zmq_socket(context, type);
	if (!sock->zmq || !set_int(sock->zmq, ZMQ_LINGER, 0) ||
	    /* The stream window bounds the queue, so it needs no limit here. */
	    !set_int(sock->zmq, ZMQ_SNDHWM, 0) ||
	    !set_int(sock->zmq, ZMQ_RCVHWM, 0) ||
	    !set_int(sock->zmq, ZMQ_IPV6, strchr(address->ip, ':') != NULL) ||
	    zmq_setsockopt(sock->zmq, ZMQ_MAXMSGSIZE, &max_size,
			   sizeof(max_size)) ||
	    !configure_curve(sock->zmq, security, type == ZMQ_ROUTER)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot open a ZeroMQ socket: %s",
			     zmq_strerror(zmq_errno()));
		return false;
	}
	return true;
}

static void init_socket(ks_socket_t *sock, ks_loop_t *loop,
			ks_socket_receive_func_t receive, void *ctx)
{
	memset(sock, 0, sizeof(*sock));
	sock->receive = receive;
	sock->ctx = ctx;
	ks_timer_init(&sock->drain_timer, loop, drain_socket, sock);
}

static bool bind_address(ks_socket_t *sock, const ks_address_t *address,
			 uint16_t *port, GError **error)
{
	char text[KS_ADDRESS_TEXT_SIZE], endpoint[KS_ADDRESS_TEXT_SIZE + 8];
	char bound[128];
	size_t size = sizeof(bound);
	const char *colon;
	int64_t number;

	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		   ks_address_format(address, text));
	if (zmq_bind(sock->zmq, endpoint) ||
	    zmq_getsockopt(sock->zmq, ZMQ_LAST_ENDPOINT, bound, &size)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot listen on %s: %s", text,
			     zmq_strerror(zmq_errno()));
		return false;
	}
	colon = strrchr(bound, ':');
	if (!colon ||
	    !ks_str_parse_int(ks_str_from(colon + 1), 1, UINT16_MAX, &number)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot determine the port of a ZeroMQ socket");
		return false;
	}
	*port = (uint16_t)number;
	return true;
}

/**
 * ks_socket_bind_router() - listen with a ROUTER socket
 * @address: port 0 lets the kernel choose
 * @port: set to the port
 *
 * Return: false if the address is in use, a key is invalid, or @security is
 * plain and the address is not loopback.
 */
bool ks_socket_bind_router(ks_socket_t *sock, ks_loop_t *loop, void *context,
			   const ks_address_t *address,
			   const ks_socket_security_t *security,
			   ks_socket_receive_func_t receive, void *ctx,
			   uint16_t *port, GError **error)
{
	init_socket(sock, loop, receive, ctx);
	sock->is_router = true;
	if (!open_socket(sock, context, ZMQ_ROUTER, address, security, error))
		goto fail;
	set_int(sock->zmq, ZMQ_ROUTER_MANDATORY, 1);
	if (!bind_address(sock, address, port, error) ||
	    !watch_zmq(&sock->watch, loop, sock->zmq, drain_socket, sock,
		       error))
		goto fail;
	ks_timer_set(&sock->drain_timer, 0);
	return true;
fail:
	ks_socket_deinit(sock);
	return false;
}

static bool open_monitor(ks_socket_t *sock, ks_loop_t *loop, void *context,
			 GError **error)
{
	char endpoint[64];

	g_snprintf(endpoint, sizeof(endpoint), "inproc://monitor-%p",
		   (void *)sock->zmq);
	sock->monitor = zmq_socket(context, ZMQ_PAIR);
	if (!sock->monitor || !set_int(sock->monitor, ZMQ_LINGER, 0) ||
	    zmq_socket_monitor(sock->zmq, endpoint, ZMQ_EVENT_DISCONNECTED) ||
	    zmq_connect(sock->monitor, endpoint)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot monitor a ZeroMQ socket: %s",
			     zmq_strerror(zmq_errno()));
		return false;
	}
	if (!watch_zmq(&sock->monitor_watch, loop, sock->monitor, drain_monitor,
		       sock, error))
		return false;
	/* ZeroMQ signals the descriptor only after a first check for input. */
	drain_monitor(sock);
	return true;
}

/**
 * ks_socket_connect_dealer() - connect with a DEALER socket
 * @disconnected: called when an established connection breaks
 *
 * Messages sent before the connection is established are queued.
 *
 * Return: false if a key is invalid, or @security is plain and the address is
 * not loopback.
 */
bool ks_socket_connect_dealer(ks_socket_t *sock, ks_loop_t *loop, void *context,
			      const ks_address_t *address,
			      const ks_socket_security_t *security,
			      ks_socket_receive_func_t receive,
			      ks_socket_disconnected_func_t disconnected,
			      void *ctx, GError **error)
{
	char text[KS_ADDRESS_TEXT_SIZE], endpoint[KS_ADDRESS_TEXT_SIZE + 8];

	init_socket(sock, loop, receive, ctx);
	sock->disconnected = disconnected;
	if (!open_socket(sock, context, ZMQ_DEALER, address, security, error) ||
	    !open_monitor(sock, loop, context, error))
		goto fail;
	set_int(sock->zmq, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(sock->zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		   ks_address_format(address, text));
	if (zmq_connect(sock->zmq, endpoint)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot connect to %s: %s", text,
			     zmq_strerror(zmq_errno()));
		goto fail;
	}
	if (!watch_zmq(&sock->watch, loop, sock->zmq, drain_socket, sock,
		       error))
		goto fail;
	return true;
fail:
	ks_socket_deinit(sock);
	return false;
}

static bool open_broadcast_socket(ks_socket_t *sock, ks_loop_t *loop,
				  void *context, int type, GError **error)
{
	sock->zmq = zmq_socket(context, type);
	if (sock->zmq && set_int(sock->zmq, ZMQ_LINGER, 0) &&
	    set_int(sock->zmq, ZMQ_SNDHWM, BROADCAST_HWM) &&
	    /*
	     * Unlimited: ZeroMQ 4.3.4 aborts when a connection whose input has
	     * stopped at the limit is closed by its peer.
	     */
	    set_int(sock->zmq, ZMQ_RCVHWM, 0) &&
	    set_int(sock->zmq, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS) &&
	    set_int(sock->zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
	    set_int(sock->zmq, ZMQ_HEARTBEAT_IVL, BROADCAST_HEARTBEAT_MS) &&
	    set_int(sock->zmq, ZMQ_HEARTBEAT_TIMEOUT, BROADCAST_TIMEOUT_MS))
		return watch_zmq(&sock->watch, loop, sock->zmq, drain_socket,
				 sock, error);
	ks_error_set(error, KS_ERROR_INTERNAL,
		     "cannot open a ZeroMQ socket: %s",
		     zmq_strerror(zmq_errno()));
	return false;
}

/**
 * ks_socket_bind_pub() - listen with a PUB socket, without encryption
 *
 * For messages that may be lost: a subscriber that does not keep up misses
 * some.
 *
 * Return: false if the address is in use.
 */
bool ks_socket_bind_pub(ks_socket_t *sock, ks_loop_t *loop, void *context,
			const ks_address_t *address, uint16_t *port,
			GError **error)
{
	init_socket(sock, loop, NULL, NULL);
	if (open_broadcast_socket(sock, loop, context, ZMQ_PUB, error) &&
	    bind_address(sock, address, port, error))
		return true;
	ks_socket_deinit(sock);
	return false;
}

/**
 * ks_socket_init_sub() - open a SUB socket without publishers or subscriptions
 */
bool ks_socket_init_sub(ks_socket_t *sock, ks_loop_t *loop, void *context,
			ks_socket_receive_func_t receive, void *ctx,
			GError **error)
{
	init_socket(sock, loop, receive, ctx);
	if (open_broadcast_socket(sock, loop, context, ZMQ_SUB, error)) {
		ks_timer_set(&sock->drain_timer, 0);
		return true;
	}
	ks_socket_deinit(sock);
	return false;
}

/**
 * ks_socket_subscribe() - receive the messages that begin with a prefix
 *
 * Publishers do not send what is subscribed to by none.
 *
 * Return: false if ZeroMQ rejects the prefix.
 */
bool ks_socket_subscribe(ks_socket_t *sock, ks_str_t prefix)
{
	return !zmq_setsockopt(sock->zmq, ZMQ_SUBSCRIBE, prefix.data,
			       prefix.len);
}

/**
 * ks_socket_unsubscribe() - take back a call of ks_socket_subscribe()
 *
 * Return: false if ZeroMQ rejects the prefix.
 */
bool ks_socket_unsubscribe(ks_socket_t *sock, ks_str_t prefix)
{
	return !zmq_setsockopt(sock->zmq, ZMQ_UNSUBSCRIBE, prefix.data,
			       prefix.len);
}

static bool change_publisher(ks_socket_t *sock, const ks_address_t *address,
			     int (*change)(void *, const char *))
{
	char text[KS_ADDRESS_TEXT_SIZE], endpoint[KS_ADDRESS_TEXT_SIZE + 8];

	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		   ks_address_format(address, text));
	return !change(sock->zmq, endpoint);
}

/**
 * ks_socket_add_publisher() - connect a SUB socket to a publisher
 *
 * Return: false if ZeroMQ rejects the address.
 */
bool ks_socket_add_publisher(ks_socket_t *sock, const ks_address_t *address)
{
	return change_publisher(sock, address, zmq_connect);
}

/**
 * ks_socket_remove_publisher() - disconnect a SUB socket from a publisher
 */
bool ks_socket_remove_publisher(ks_socket_t *sock, const ks_address_t *address)
{
	return change_publisher(sock, address, zmq_disconnect);
}

/**
 * ks_socket_send() - send one message without blocking
 * @peer: identity of the receiver on a ROUTER; ignored on a DEALER
 *
 * Return: false if the message was dropped because the peer is disconnected.
 */
bool ks_socket_send(ks_socket_t *sock, ks_str_t peer, ks_str_t message)
{
	bool sent;

	if (sock->is_router && zmq_send(sock->zmq, peer.data, peer.len,
					ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
		return false;
	sent = zmq_send(sock->zmq, message.data, message.len, ZMQ_DONTWAIT) >=
	       0;
	/*
	 * A send may consume the edge that signals input, so input is checked
	 * on the next iteration. Once for each iteration is enough, as the
	 * check costs a system call.
	 */
	if (!sock->draining && !ks_timer_is_set(&sock->drain_timer))
		ks_timer_set(&sock->drain_timer, 0);
	return sent;
}

/**
 * ks_socket_deinit() - close the socket and drop unsent messages
 *
 * May be called from the receive callback.
 */
void ks_socket_deinit(ks_socket_t *sock)
{
	if (sock->closed)
		*sock->closed = true;
	ks_timer_clear(&sock->drain_timer);
	ks_watch_deinit(&sock->watch);
	ks_watch_deinit(&sock->monitor_watch);
	if (sock->monitor) {
		zmq_socket_monitor(sock->zmq, NULL, 0);
		zmq_close(sock->monitor);
	}
	if (sock->zmq)
		zmq_close(sock->zmq);
	sock->zmq = NULL;
	sock->monitor = NULL;
	sock->closed = NULL;
	sock->draining = false;
}
