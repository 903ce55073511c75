/*
 * Fake service with non-idempotent calls. It counts the executions of each
 * idempotency key, so that tests can detect a call that was executed twice.
 */
#include "fake_main.h"

#include <argtable2.h>
#include <h2o.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define EXIT_USAGE 2
#define EXIT_CRASHED 3

/**
 * struct service - state of the program
 * @delay_us: time between executing a call and responding to it
 * @executions: execution counts by idempotency key and hash of the body
 * @total: number of executed calls
 * @lose_answers: number of further calls to execute without responding
 * @silent: accept connections but answer no calls
 */
struct service {
	ks_loop_t loop;
	ks_http_server_t server;
	ks_address_t listen;
	int64_t delay_us;
	GHashTable *executions;
	unsigned total;
	unsigned lose_answers;
	bool silent;
};

/**
 * struct pending_reply - delayed response to a call; freed with its request
 * @root: response body
 * @lost: close the connection instead of responding
 */
struct pending_reply {
	struct service *service;
	h2o_req_t *req;
	ks_timer_t timer;
	json_t *root;
	bool lost;
};

static void dispose_pending(void *data)
{
	struct pending_reply *pending = data;

	ks_timer_clear(&pending->timer);
	json_decref(pending->root);
}

static void reply_json(h2o_req_t *req, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	ks_http_reply(req, 200, "application/json", ks_str_from(text));
	free(text); /* allocated by jansson with malloc() */
}

/* The client sees the connection close before any byte of the response. */
static void drop_connection(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	if (sock)
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	req->http1_is_persistent = 0;
}

static void on_delay_over(void *ctx)
{
	struct pending_reply *pending = ctx;

	if (pending->service->silent)
		return;
	if (pending->lost)
		drop_connection(pending->req);
	reply_json(pending->req, pending->root);
}

/*
 * Counts one execution of a call and returns the number of its executions.
 * Calls without an idempotency key may be repeated, so they are only counted in
 * total and 1 is returned.
 */
static unsigned count_execution(struct service *service, ks_str_t key,
				ks_str_t body)
{
	unsigned count;
	char *name;

	service->total++;
	if (key.len == 0)
		return 1;
	name = g_strdup_printf("%.*s %016" G_GINT64_MODIFIER "x", (int)key.len,
			       key.data, XXH3_64bits(body.data, body.len));
	count = 1 + GPOINTER_TO_UINT(
			    g_hash_table_lookup(service->executions, name));
	g_hash_table_replace(service->executions, name,
			     GUINT_TO_POINTER(count));
	return count;
}

/* Returns the parameters of the query and the members of the body, so that a
 * test can tell which call a response belongs to. */
static json_t *echo_fields(h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	ks_str_t query = ks_http_req_query(req);
	char *text = ks_str_dup(query);
	GHashTable *params =
		g_uri_parse_params(text, -1, "&", G_URI_PARAMS_NONE, NULL);
	json_t *fields =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_t *root = json_object();
	gpointer name, value;
	GHashTableIter iter;

	if (json_is_object(fields))
		json_object_update(root, fields);
	if (params) {
		g_hash_table_iter_init(&iter, params);
		while (g_hash_table_iter_next(&iter, &name, &value))
			json_object_set_new(root, name, json_string(value));
		g_hash_table_unref(params);
	}
	json_decref(fields);
	g_free(text);
	return root;
}

/* Executes the call immediately; only the response is delayed. */
static void handle_call(struct service *service, h2o_req_t *req)
{
	struct pending_reply *pending = h2o_mem_alloc_shared(
		&req->pool, sizeof(*pending), dispose_pending);
	ks_str_t key = ks_http_req_header(req, "idempotency-key");
	unsigned count = count_execution(service, key, ks_http_req_body(req));

	pending->service = service;
	pending->req = req;
	pending->root = echo_fields(req);
	json_object_set_new(pending->root, "executions",
			    json_integer((json_int_t)count));
	pending->lost = service->lose_answers > 0;
	if (pending->lost)
		service->lose_answers--;
	ks_timer_init(&pending->timer, &service->loop, on_delay_over, pending);
	if (service->delay_us > 0)
		ks_timer_set(&pending->timer, service->delay_us);
	else
		on_delay_over(pending);
}

static void handle_stats(struct service *service, h2o_req_t *req)
{
	json_t *by_key = json_object();
	gpointer name, count;
	GHashTableIter iter;
	int max = 0;
	json_t *root;

	g_hash_table_iter_init(&iter, service->executions);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		json_object_set_new(by_key, name,
				    json_integer(GPOINTER_TO_INT(count)));
		/* Without a key before the space, repetitions cannot be told
		 * from separate calls. */
		if (((const char *)name)[0] != ' ')
			max = MAX(max, GPOINTER_TO_INT(count));
	}
	root = json_pack("{s:o,s:i,s:i}", "executions", by_key, "total",
			 (int)service->total, "max_per_key", max);
	reply_json(req, root);
	json_decref(root);
}

/* Also answered in silent mode, so that a test can turn that mode off. */
static void handle_control(struct service *service, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_t *silent = json_object_get(root, "silent");
	json_t *lose = json_object_get(root, "lose_answers");

	if (json_is_true(json_object_get(root, "crash")))
		_exit(EXIT_CRASHED);
	if (silent)
		service->silent = json_is_true(silent);
	if (lose)
		service->lose_answers = (unsigned)json_integer_value(lose);
	json_decref(root);
	ks_http_reply(req, 200, "application/json", KS_STR("{}"));
}

static void handle(void *ctx, h2o_req_t *req)
{
	struct service *service = ctx;
	ks_str_t path = ks_http_req_path(req);

	fake_echo_call(req);
	if (ks_str_equal(path, KS_STR("/control")))
		handle_control(service, req);
	else if (ks_str_equal(path, KS_STR("/stats")))
		handle_stats(service, req);
	else if (!service->silent)
		handle_call(service, req);
}

static int run_service(struct service *service)
{
	struct fake_signals signals;
	int status = EXIT_FAILURE;

	ks_loop_init(&service->loop, ks_clock_monotonic());
	fake_signals_init(&signals, &service->loop);
	service->executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (fake_listen(&service->server, &service->loop, &service->listen,
			handle, service)) {
		ks_loop_run(&service->loop);
		status = EXIT_SUCCESS;
	}
	/* Open requests refer to the server, so it cannot be freed here. */
	fflush(stderr);
	_exit(status);
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str0(NULL, "listen", "IP:PORT", "listen address");
	struct arg_int *delay =
		arg_int0(NULL, "delay-us", "US", "delay before each response");
	struct arg_end *end = arg_end(10);
	void *table[] = { listen, delay, end };
	struct service service = { .listen = { "127.0.0.1", 0 } };

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake-service");
		return EXIT_USAGE;
	}
	if (listen->count &&
	    !ks_address_parse(&service.listen, ks_str_from(listen->sval[0]),
			      NULL)) {
		fprintf(stderr, "fake-service: --listen: '%s' is not IP:PORT\n",
			listen->sval[0]);
		return EXIT_USAGE;
	}
	service.delay_us = delay->count ? delay->ival[0] : 0;
	return run_service(&service);
}
