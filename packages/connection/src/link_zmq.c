/* ZeroMQ transport of links. */
#include "link_client.h"
#include "link_server.h"

struct client_transport {
	ks_socket_t sock;
	bool open;
	ks_loop_t *loop;
	void *context;
	ks_address_t address;
	ks_socket_security_t security;
	ks_link_client_t *link;
};

static void client_receive(void *ctx, ks_str_t peer G_GNUC_UNUSED,
			   ks_str_t message)
{
	struct client_transport *transport = ctx;

	ks_link_client_receive(transport->link, message);
}

static void client_disconnected(void *ctx)
{
	struct client_transport *transport = ctx;

	ks_link_client_disconnected(transport->link);
}

static bool client_send(void *impl, ks_str_t peer, ks_str_t message)
{
	struct client_transport *transport = impl;

	return transport->open &&
	       ks_socket_send(&transport->sock, peer, message);
}

static void client_close_socket(struct client_transport *transport)
{
	if (transport->open)
		ks_socket_deinit(&transport->sock);
	transport->open = false;
}

static bool client_reopen(void *impl)
{
	struct client_transport *transport = impl;

	client_close_socket(transport);
	transport->open = ks_socket_connect_dealer(
		&transport->sock, transport->loop, transport->context,
		&transport->address, &transport->security, client_receive,
		client_disconnected, transport, NULL);
	return transport->open;
}

static void client_close(void *impl)
{
	client_close_socket(impl);
	g_free(impl);
}

/**
 * ks_link_client_new() - open a link to an upstream process over ZeroMQ
 * @zmq_context: ZeroMQ context of the process
 * @options: strings are copied, except the keys in security, which must outlive
 *	the link
 * @events: must outlive the link
 */
ks_link_client_t *ks_link_client_new(ks_loop_t *loop, void *zmq_context,
				     const ks_link_client_options_t *options,
				     const ks_link_client_events_t *events,
				     void *ctx)
{
	struct client_transport *impl = g_new0(struct client_transport, 1);
	ks_transport_t transport = {
		.send = client_send,
		.reopen = client_reopen,
		.close = client_close,
		.impl = impl,
	};

	impl->loop = loop;
	impl->context = zmq_context;
	impl->address = options->address;
	impl->security = options->security;
	client_reopen(impl);
	impl->link = ks_link_client_new_with_transport(loop, &transport,
						       options, events, ctx);
	return impl->link;
}

struct server_transport {
	ks_socket_t sock;
	ks_zap_t zap;
	ks_link_server_t *server;
};

static void server_receive(void *ctx, ks_str_t peer, ks_str_t message)
{
	struct server_transport *transport = ctx;

	ks_link_server_receive(transport->server, peer, message);
}

static bool server_send(void *impl, ks_str_t peer, ks_str_t message)
{
	struct server_transport *transport = impl;

	return ks_socket_send(&transport->sock, peer, message);
}

static void server_close(void *impl)
{
	struct server_transport *transport = impl;

	ks_socket_deinit(&transport->sock);
	ks_zap_deinit(&transport->zap);
	g_free(transport);
}

/**
 * ks_link_server_new() - listen for entries over ZeroMQ
 * @zmq_context: ZeroMQ context of the process
 * @events: must outlive the server
 *
 * The listening address also serves as a lock: a second upstream process for
 * the same upstream cannot bind it.
 *
 * Return: NULL if the address is in use or a key is invalid.
 */
ks_link_server_t *ks_link_server_new(ks_loop_t *loop, void *zmq_context,
				     const ks_link_server_options_t *options,
				     const ks_link_server_events_t *events,
				     void *ctx, GError **error)
{
	struct server_transport *impl = g_new0(struct server_transport, 1);
	ks_transport_t transport = {
		.send = server_send,
		.close = server_close,
		.impl = impl,
	};
	uint16_t port = 0;

	if (!options->security.plain &&
	    !ks_zap_init(&impl->zap, loop, zmq_context,
			 options->security.allowed_keys,
			 options->security.n_allowed_keys, error)) {
		g_free(impl);
		return NULL;
	}
	if (!ks_socket_bind_router(&impl->sock, loop, zmq_context,
				   &options->address, &options->security,
				   server_receive, impl, &port, error)) {
		ks_zap_deinit(&impl->zap);
		g_free(impl);
		return NULL;
	}
	impl->server = ks_link_server_new_with_transport(loop, &transport,
							 options, events, ctx);
	impl->server->port = port;
	return impl->server;
}
