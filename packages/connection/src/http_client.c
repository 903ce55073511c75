/*
 * HTTP/1.1 calls over h2o's client. A call has a connection of its own, unless
 * its request may be repeated and so may use one that is kept for reuse.
 */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <h2o/http1client.h>

/*
 * h2o wants a timeout for each wait. Waits are bounded by the call's own
 * timers instead, since a healthy stream may be quiet for long.
 */
#define H2O_IO_TIMEOUT_MS (24 * 3600 * 1000)

#define MAX_HEADERS 100

/*
 * Idle connections are closed before a usual server does so itself, as a
 * request sent meanwhile would be lost and repeated.
 */
#define POOL_IDLE_MS 2000

struct ks_http_pool {
	h2o_socketpool_t h2o;
};

struct http_client_state {
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
};

static void free_pool(gpointer data)
{
	struct ks_http_pool *pool = data;

	h2o_socketpool_dispose(&pool->h2o);
	g_free(pool);
}

/* h2o takes the host by number for IPv4 only; others are not pooled. */
static struct ks_http_pool *find_pool(ks_http_client_t *client,
				      const ks_address_t *address)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	struct ks_http_pool *pool;
	struct in_addr v4;

	ks_address_format(address, text);
	pool = g_hash_table_lookup(client->pools, text);
	if (pool || inet_pton(AF_INET, address->ip, &v4) != 1)
		return pool;
	pool = g_new0(struct ks_http_pool, 1);
	h2o_socketpool_init_by_hostport(
		&pool->h2o, h2o_iovec_init(address->ip, strlen(address->ip)),
		address->port, 0, SIZE_MAX);
	h2o_socketpool_set_timeout(&pool->h2o, client->loop->h2o, POOL_IDLE_MS);
	g_hash_table_insert(client->pools, g_strdup(text), pool);
	return pool;
}

/**
 * ks_http_client_init() - set up what the calls of a process share
 */
void ks_http_client_init(ks_http_client_t *client, ks_loop_t *loop)
{
	struct http_client_state *state = g_new0(struct http_client_state, 1);

	h2o_timeout_init(loop->h2o, &state->io_timeout, H2O_IO_TIMEOUT_MS);
	state->ctx.loop = loop->h2o;
	state->ctx.io_timeout = &state->io_timeout;
	client->loop = loop;
	client->h2o = &state->ctx;
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_pool);
	ks_list_init(&client->calls);
}

static void abandon_call(ks_http_call_t *call)
{
	const ks_http_events_t *events = call->events;
	bool sent = call->sent;
	void *ctx = call->ctx;

	ks_http_call_cancel(call);
	events->done(ctx, sent ? KS_HTTP_LOST : KS_HTTP_NOT_SENT);
}

/**
 * ks_http_client_deinit() - end the calls that are active, and free it
 *
 * Their done events come now, so that memory which waits for them is freed.
 * They must not start a call. May not be called from an event of a call.
 */
void ks_http_client_deinit(ks_http_client_t *client)
{
	struct http_client_state *state = H2O_STRUCT_FROM_MEMBER(
		struct http_client_state, ctx, client->h2o);

	while (!ks_list_is_empty(&client->calls))
		abandon_call(KS_CONTAINER_OF(client->calls.next, ks_http_call_t,
					     node));
	g_hash_table_destroy(client->pools);
	client->pools = NULL;
	h2o_timeout_dispose(client->loop->h2o, &state->io_timeout);
	g_free(state);
	client->h2o = NULL;
}

/* Frees what an active call holds. */
static void free_request(ks_http_call_t *call)
{
	ks_list_remove(&call->node);
	g_string_free(call->request, TRUE);
	call->request = NULL;
	g_free(call->reqbuf);
	call->reqbuf = NULL;
}

static void defer(ks_http_call_t *call, void (*next)(ks_http_call_t *call))
{
	call->next = next;
	ks_timer_set(&call->deferred, 0);
}

static void on_deferred(void *ctx)
{
	ks_http_call_t *call = ctx;

	call->next(call);
}

static void report_result(ks_http_call_t *call)
{
	call->active = false;
	free_request(call);
	call->events->done(call->ctx, call->result);
}

static void finish_call(ks_http_call_t *call, ks_http_result_t result)
{
	call->h2o = NULL;
	call->result = result;
	ks_timer_clear(&call->deadline);
	ks_timer_clear(&call->idle);
	ks_timer_clear(&call->deferred);
	/* Keeps the promise that no event comes before start returns. */
	if (call->starting)
		defer(call, report_result);
	else
		report_result(call);
}

static void stop_waiting(ks_http_call_t *call)
{
	bool sent = call->sent;

	if (call->h2o)
		h2o_http1client_cancel(call->h2o);
	finish_call(call, sent ? KS_HTTP_TIMED_OUT : KS_HTTP_NOT_SENT);
}

static void on_timeout(void *ctx)
{
	ks_http_call_t *call = ctx;

	stop_waiting(call);
}

static void note_progress(ks_http_call_t *call)
{
	if (call->idle_timeout_us > 0)
		ks_timer_set(&call->idle, call->idle_timeout_us);
}

static int on_body(h2o_http1client_t *h2o, const char *errstr)
{
	ks_http_call_t *call = h2o->data;
	h2o_buffer_t *input = h2o->sock->input;
	bool cancelled = false;

	note_progress(call);
	if (input->size > 0) {
		ks_str_t data = { input->bytes, input->size };

		call->cancelled = &cancelled;
		call->events->body(call->ctx, data);
		if (cancelled)
			return 1;
		call->cancelled = NULL;
		h2o_buffer_consume(&h2o->sock->input, h2o->sock->input->size);
	}
	if (errstr)
		finish_call(call, errstr == h2o_http1client_error_is_eos
					  ? KS_HTTP_WHOLE
					  : KS_HTTP_LOST);
	return 0;
}

static size_t copy_headers(ks_header_t *to, const h2o_header_t *from, size_t n)
{
	n = MIN(n, MAX_HEADERS);
	for (size_t i = 0; i < n; i++) {
		to[i].name =
			(ks_str_t){ from[i].name->base, from[i].name->len };
		to[i].value =
			(ks_str_t){ from[i].value.base, from[i].value.len };
	}
	return n;
}

static void connect_new(ks_http_call_t *call);

/* The peer may have closed the connection while it was idle. */
static void repeat_call(ks_http_call_t *call)
{
	call->h2o = NULL;
	call->reused = false;
	defer(call, connect_new);
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *h2o, const char *errstr,
	int minor_version G_GNUC_UNUSED, int status,
	h2o_iovec_t msg G_GNUC_UNUSED, h2o_header_t *headers, size_t n_headers,
	int rlen G_GNUC_UNUSED)
{
	ks_http_call_t *call = h2o->data;
	ks_header_t copies[MAX_HEADERS];
	bool cancelled = false;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		if (call->reused)
			repeat_call(call);
		else
			finish_call(call, KS_HTTP_LOST);
		return NULL;
	}
	note_progress(call);
	call->cancelled = &cancelled;
	call->events->head(call->ctx, status, copies,
			   copy_headers(copies, headers, n_headers));
	if (cancelled)
		return NULL;
	call->cancelled = NULL;
	if (errstr) {
		finish_call(call, KS_HTTP_WHOLE);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *h2o, const char *errstr, h2o_iovec_t **reqbufs,
	   size_t *n_reqbufs, int *method_is_head)
{
	ks_http_call_t *call = h2o->data;
	h2o_iovec_t *buf = call->reqbuf;
	bool cancelled = false;

	if (call->connected) {
		*call->connected = true;
		call->connected = NULL;
		call->reused = !errstr;
	}
	if (errstr) {
		finish_call(call, call->sent ? KS_HTTP_LOST : KS_HTTP_NOT_SENT);
		return NULL;
	}
	call->starting = false;
	if (!call->sent && call->events->sent) {
		call->sent = true;
		call->cancelled = &cancelled;
		call->events->sent(call->ctx);
		if (cancelled)
			return NULL;
		call->cancelled = NULL;
	}
	call->sent = true;
	*buf = h2o_iovec_init(call->request->str, call->request->len);
	*reqbufs = buf;
	*n_reqbufs = 1;
	*method_is_head = 0;
	return on_head;
}

static void connect_new(ks_http_call_t *call)
{
	const ks_address_t *address = &call->address;
	h2o_http1client_t *h2o = NULL;

	call->starting = true;
	h2o_http1client_connect(
		&h2o, call, call->client->h2o,
		h2o_iovec_init(address->ip, strlen(address->ip)), address->port,
		0, on_connect);
	call->starting = false;
	if (!ks_timer_is_set(&call->deferred))
		call->h2o = h2o;
}

/*
 * A pooled connection is ready at once, so that events may come, and the owner
 * may free the call, before h2o returns.
 */
static void connect_pooled(ks_http_call_t *call)
{
	bool connected = false;

	/* on_connect() clears it before this function returns. */
	/* cppcheck-suppress autoVariables */
	call->connected = &connected;
	h2o_http1client_connect_with_pool(&call->h2o, call, call->client->h2o,
					  &call->pool->h2o, on_connect);
	if (!connected)
		call->connected = NULL;
}

static void append_field(GString *out, ks_str_t name, ks_str_t value)
{
	g_string_append_len(out, name.data, (gssize)name.len);
	g_string_append(out, ": ");
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append(out, "\r\n");
}

static GString *format_request(const ks_http_request_t *request)
{
	GString *out = g_string_sized_new(256 + request->body.len);
	char host[KS_ADDRESS_TEXT_SIZE];

	g_string_append_len(out, request->method.data,
			    (gssize)request->method.len);
	g_string_append_c(out, ' ');
	g_string_append_len(out, request->target.data,
			    (gssize)request->target.len);
	g_string_append(out, " HTTP/1.1\r\n");
	append_field(out, KS_STR("host"),
		     ks_str_from(ks_address_format(&request->address, host)));
	for (size_t i = 0; i < request->n_headers; i++)
		append_field(out, request->headers[i].name,
			     request->headers[i].value);
	g_string_append_printf(out,
			       "content-length: %zu\r\n"
			       "connection: %s\r\n\r\n",
			       request->body.len,
			       request->reuse ? "keep-alive" : "close");
	g_string_append_len(out, request->body.data, (gssize)request->body.len);
	return out;
}

/**
 * ks_http_call_start() - send a request
 * @call: memory of the caller's, in use until the done event or a cancel
 * @request: needed during the call only
 * @events: must outlive @call
 */
void ks_http_call_start(ks_http_call_t *call, ks_http_client_t *client,
			const ks_http_request_t *request,
			const ks_http_events_t *events, void *ctx)
{
	memset(call, 0, sizeof(*call));
	call->client = client;
	call->address = request->address;
	call->events = events;
	call->ctx = ctx;
	call->request = format_request(request);
	call->idle_timeout_us = request->idle_timeout_us;
	call->active = true;
	ks_list_append(&client->calls, &call->node);
	call->reqbuf = g_new(h2o_iovec_t, 1);
	ks_timer_init(&call->deadline, client->loop, on_timeout, call);
	ks_timer_init(&call->idle, client->loop, on_timeout, call);
	ks_timer_init(&call->deferred, client->loop, on_deferred, call);
	if (request->timeout_us > 0)
		ks_timer_set(&call->deadline, request->timeout_us);
	note_progress(call);

	if (request->reuse)
		call->pool = find_pool(client, &request->address);
	if (call->pool)
		defer(call, connect_pooled);
	else
		connect_new(call);
}

/**
 * ks_http_call_cancel() - drop the connection; no further event comes
 *
 * Harmless when the call is not active.
 */
void ks_http_call_cancel(ks_http_call_t *call)
{
	h2o_http1client_t *h2o = call->h2o;

	if (!call->active)
		return;
	call->active = false;
	ks_list_remove(&call->node);
	call->h2o = NULL;
	ks_timer_clear(&call->deadline);
	ks_timer_clear(&call->idle);
	ks_timer_clear(&call->deferred);
	free_request(call);
	if (call->cancelled)
		*call->cancelled = true; /* h2o closes it on return */
	else if (h2o)
		h2o_http1client_cancel(h2o);
}

/**
 * ks_http_call_is_active() - whether the done event is yet to come
 */
bool ks_http_call_is_active(const ks_http_call_t *call)
{
	return call->active;
}
