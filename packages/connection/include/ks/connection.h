/*
 * connection: the event loop, HTTP, and the links between the system's own
 * processes.
 */
#ifndef KS_CONNECTION_H
#define KS_CONNECTION_H

#include "ks/core.h"

G_BEGIN_DECLS

/* loop.c */

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

/**
 * struct ks_loop - the event loop of a process
 * @h2o: loop that carries the sockets
 * @clock: time of the timers
 * @timers: heap of struct ks_timer, earliest first
 * @stopping: set by ks_loop_stop()
 */
typedef struct ks_loop {
	struct st_h2o_evloop_t *h2o;
	const ks_clock_t *clock;
	GPtrArray *timers;
	bool stopping;
} ks_loop_t;

typedef void (*ks_timer_func_t)(void *ctx);
typedef void (*ks_watch_func_t)(void *ctx);

/**
 * struct ks_timer - one-shot timer on memory of its owner
 */
typedef struct ks_timer {
	ks_loop_t *loop;
	ks_timer_func_t func;
	void *ctx;
	int64_t due_us;
	int position;
} ks_timer_t;

/**
 * struct ks_watch - wakes its owner when a descriptor can be read
 */
typedef struct ks_watch {
	struct st_h2o_socket_t *sock;
	ks_watch_func_t func;
	void *ctx;
} ks_watch_t;

void ks_loop_init(ks_loop_t *loop, const ks_clock_t *clock);
void ks_loop_deinit(ks_loop_t *loop);
void ks_loop_run(ks_loop_t *loop);
void ks_loop_run_once(ks_loop_t *loop, int64_t max_wait_us);
void ks_loop_stop(ks_loop_t *loop);
int64_t ks_loop_now(const ks_loop_t *loop);

void ks_timer_init(ks_timer_t *timer, ks_loop_t *loop, ks_timer_func_t func,
		   void *ctx);
void ks_timer_set(ks_timer_t *timer, int64_t delay_us);
void ks_timer_clear(ks_timer_t *timer);
bool ks_timer_is_set(const ks_timer_t *timer);

bool ks_watch_init(ks_watch_t *watch, ks_loop_t *loop, int fd,
		   ks_watch_func_t func, void *ctx, GError **error);
void ks_watch_deinit(ks_watch_t *watch);

/* header.c */

/**
 * struct ks_header - one HTTP header field, with a name in lower case
 */
typedef struct ks_header {
	ks_str_t name;
	ks_str_t value;
} ks_header_t;

const ks_header_t *ks_header_find(const ks_header_t *headers, size_t count,
				  const char *name);
ks_str_t ks_header_value(const ks_header_t *headers, size_t count,
			 const char *name);

/* address.c */

/**
 * struct ks_address - IPv4 or IPv6 address, by number, and port
 * @ip: terminated; an IPv6 address stands without brackets
 * @port: 0 lets the kernel choose when listening
 */
typedef struct ks_address {
	char ip[48];
	uint16_t port;
} ks_address_t;

#define KS_ADDRESS_TEXT_SIZE 64

bool ks_address_parse(ks_address_t *address, ks_str_t text, GError **error);
const char *ks_address_format(const ks_address_t *address,
			      char buf[KS_ADDRESS_TEXT_SIZE]);
bool ks_address_is_loopback(const ks_address_t *address);

G_END_DECLS

#include "ks/http.h"

G_BEGIN_DECLS

/* socket.c */

/**
 * struct ks_socket_security - how a ZeroMQ socket is protected
 * @plain: no protection; accepted on loopback only
 * @server_key: public key of the upstream process, Z85 text; entry side
 * @public_key: own public key, Z85 text
 * @secret_key: own secret key, Z85 text; never logged
 * @allowed_keys: upstream side: public keys of the entries, Z85 text
 * @n_allowed_keys: number of @allowed_keys
 */
typedef struct ks_socket_security {
	bool plain;
	const char *server_key;
	const char *public_key;
	const char *secret_key;
	const char *const *allowed_keys;
	size_t n_allowed_keys;
} ks_socket_security_t;

typedef void (*ks_socket_receive_func_t)(void *ctx, ks_str_t peer,
					 ks_str_t message);
typedef void (*ks_socket_disconnected_func_t)(void *ctx);

/**
 * struct ks_socket - ZeroMQ socket on the loop, one frame for each message
 * @receive: called for each message; @peer is empty on a DEALER
 * @disconnected: called when the connection of a DEALER broke; may be NULL
 */
typedef struct ks_socket {
	void *zmq;
	void *monitor;
	ks_watch_t watch;
	ks_watch_t monitor_watch;
	ks_timer_t drain_timer;
	ks_socket_receive_func_t receive;
	ks_socket_disconnected_func_t disconnected;
	void *ctx;
	bool is_router;
	bool draining;
	bool *closed;
} ks_socket_t;

bool ks_socket_bind_router(ks_socket_t *sock, ks_loop_t *loop, void *context,
			   const ks_address_t *address,
			   const ks_socket_security_t *security,
			   ks_socket_receive_func_t receive, void *ctx,
			   uint16_t *port, GError **error);
bool ks_socket_connect_dealer(ks_socket_t *sock, ks_loop_t *loop, void *context,
			      const ks_address_t *address,
			      const ks_socket_security_t *security,
			      ks_socket_receive_func_t receive,
			      ks_socket_disconnected_func_t disconnected,
			      void *ctx, GError **error);
bool ks_socket_bind_pub(ks_socket_t *sock, ks_loop_t *loop, void *context,
			const ks_address_t *address, uint16_t *port,
			GError **error);
bool ks_socket_init_sub(ks_socket_t *sock, ks_loop_t *loop, void *context,
			ks_socket_receive_func_t receive, void *ctx,
			GError **error);
bool ks_socket_add_publisher(ks_socket_t *sock, const ks_address_t *address);
bool ks_socket_remove_publisher(ks_socket_t *sock, const ks_address_t *address);
bool ks_socket_send(ks_socket_t *sock, ks_str_t peer, ks_str_t message);
void ks_socket_deinit(ks_socket_t *sock);

/* zap.c */

struct ks_zap_state;

/**
 * struct ks_zap - admits the clients of CURVE sockets by their public keys
 */
typedef struct ks_zap {
	struct ks_zap_state *state;
} ks_zap_t;

bool ks_zap_init(ks_zap_t *zap, ks_loop_t *loop, void *context,
		 const char *const *allowed_keys, size_t n_allowed_keys,
		 GError **error);
void ks_zap_deinit(ks_zap_t *zap);

/* transport: what a link sends its frames through */

/**
 * struct ks_transport - sends the frames of a link
 * @send: never blocks; false if the frame was dropped
 * @reopen: client only: replace the connection by a new one. Frames sent on the
 *	old one may still arrive.
 * @close: free the transport
 */
typedef struct ks_transport {
	bool (*send)(void *impl, ks_str_t peer, ks_str_t message);
	bool (*reopen)(void *impl);
	void (*close)(void *impl);
	void *impl;
} ks_transport_t;

/* link_stream.c: numbered frames of one answer */

/**
 * struct ks_stream_sender - frames kept until they are acknowledged
 * @frames: GBytes of frames @acked + 1 to @last
 * @last: number of the last frame
 * @sent: number of the last frame sent
 * @acked: number of the last frame acknowledged
 * @bytes: size of @frames
 */
typedef struct ks_stream_sender {
	GQueue frames;
	uint64_t last;
	uint64_t sent;
	uint64_t acked;
	size_t bytes;
} ks_stream_sender_t;

#define KS_STREAM_WINDOW 64

void ks_stream_sender_init(ks_stream_sender_t *sender);
void ks_stream_sender_deinit(ks_stream_sender_t *sender);
void ks_stream_sender_push(ks_stream_sender_t *sender, GBytes *frame);
GBytes *ks_stream_sender_next(ks_stream_sender_t *sender);
bool ks_stream_sender_ack(ks_stream_sender_t *sender, uint64_t seq);
bool ks_stream_sender_rewind(ks_stream_sender_t *sender, uint64_t seq);
void ks_stream_sender_drop_unsent(ks_stream_sender_t *sender);

/**
 * enum ks_stream_accept_result - what a receiver does with a frame
 */
typedef enum ks_stream_accept_result {
	KS_STREAM_NEW,
	KS_STREAM_DUPLICATE,
	KS_STREAM_GAP,
} ks_stream_accept_result_t;

/**
 * struct ks_stream_receiver - frames of one answer as they arrive
 * @received: number of the last frame received in order
 * @consumed: number of the last frame whose bytes were all consumed
 * @acked: number of the last frame acknowledged
 * @body_bytes: size of all bodies received
 * @pending: sizes of the frames after @consumed, an array of size_t
 */
typedef struct ks_stream_receiver {
	uint64_t received;
	uint64_t consumed;
	uint64_t acked;
	uint64_t body_bytes;
	GArray *pending;
} ks_stream_receiver_t;

void ks_stream_receiver_init(ks_stream_receiver_t *receiver);
void ks_stream_receiver_deinit(ks_stream_receiver_t *receiver);
ks_stream_accept_result_t
ks_stream_receiver_accept(ks_stream_receiver_t *receiver, uint64_t seq,
			  size_t body_len);
void ks_stream_receiver_consume(ks_stream_receiver_t *receiver, size_t len);
bool ks_stream_receiver_ack_due(ks_stream_receiver_t *receiver, uint64_t *seq);

/* Link frames, sessions and their two sides: link_*.c; see below. */

/**
 * struct ks_load - load of one upstream, counted by the process beside it
 * @urgent_left_us: time to the deadline of the request that can least be
 *	delayed; 0 when nothing is under way
 * @urgent_output_tokens: still expected of that request
 * @received_us: loop clock of the entry when it received the load
 */
typedef struct ks_load {
	uint32_t in_flight;
	uint32_t limit;
	uint64_t prompt_tokens_pending;
	uint64_t output_tokens_pending;
	uint32_t kv_blocks_free;
	uint32_t kv_blocks_total;
	uint64_t urgent_left_us;
	uint32_t urgent_output_tokens;
	int64_t received_us;
	char role[16];
} ks_load_t;

/**
 * enum ks_upstream_state - whether an upstream takes new requests
 */
typedef enum ks_upstream_state {
	KS_UPSTREAM_UNKNOWN,
	KS_UPSTREAM_READY,
	KS_UPSTREAM_CHANGING,
	KS_UPSTREAM_LEAVING,
} ks_upstream_state_t;

/**
 * struct ks_attempt_key - names one attempt at a request
 */
typedef struct ks_attempt_key {
	ks_id_t id;
	uint32_t attempt;
} ks_attempt_key_t;

/**
 * struct ks_attempt_request - what an attempt carries to the upstream process
 * @timeout_us: time left until the caller's deadline
 * @priority: 0 is served first
 * @idempotent: may be run again after an unknown outcome
 */
typedef struct ks_attempt_request {
	ks_attempt_key_t key;
	ks_str_t method;
	ks_str_t path;
	const ks_header_t *headers;
	size_t n_headers;
	ks_str_t body;
	int64_t timeout_us;
	uint32_t priority;
	bool idempotent;
	ks_str_t model;
	ks_str_t tenant;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
} ks_attempt_request_t;

/* link_client.c and link_attempt.c: entry side */

typedef struct ks_link_client ks_link_client_t;
typedef struct ks_attempt ks_attempt_t;

/**
 * struct ks_attempt_events - what happens to an attempt, in this order
 * @accepted: the upstream process has handed the request on
 * @not_started: last event; it never ran and never will
 * @head: status and headers of the answer; valid during the call only
 * @body: next bytes; the receiver calls ks_attempt_consume() once the caller's
 *	connection has taken them
 * @end: last event; @kind is KS_ERROR_NONE when the answer is whole. An attempt
 *	whose outcome is not known ends with KS_ERROR_OUTCOME_UNKNOWN.
 *
 * After the last event the attempt is gone and must not be used.
 */
typedef struct ks_attempt_events {
	void (*accepted)(void *ctx);
	void (*not_started)(void *ctx, ks_error_kind_t kind,
			    int64_t retry_after_us);
	void (*head)(void *ctx, int status, const ks_header_t *headers,
		     size_t n_headers);
	void (*body)(void *ctx, ks_str_t data);
	void (*end)(void *ctx, ks_error_kind_t kind, ks_str_t message);
} ks_attempt_events_t;

/**
 * struct ks_link_client_events - what happens to a link
 * @changed: state, load or version of the peer changed, or the link went up or
 *	down
 * @config: a snapshot arrived that the peer has in force
 */
typedef struct ks_link_client_events {
	void (*changed)(void *ctx, ks_link_client_t *link);
	void (*config)(void *ctx, uint64_t version, ks_str_t digest,
		       ks_str_t body);
	ks_str_t (*config_body)(void *ctx, uint64_t *version, ks_str_t *digest);
} ks_link_client_events_t;

/**
 * struct ks_link_client_options - what a link is opened with
 * @heartbeat_us: time without frames in either direction after which a link
 *	with attempts in flight sends a heartbeat
 * @idle_heartbeat_us: the same for a link without; 0: as @heartbeat_us
 * @silence_us: a link on which nothing comes back for this long is replaced
 */
typedef struct ks_link_client_options {
	const char *entry;
	const char *domain;
	const char *upstream;
	ks_id_t incarnation;
	ks_address_t address;
	ks_socket_security_t security;
	int64_t heartbeat_us;
	int64_t idle_heartbeat_us;
	int64_t silence_us;
} ks_link_client_options_t;

ks_link_client_t *ks_link_client_new(ks_loop_t *loop, void *zmq_context,
				     const ks_link_client_options_t *options,
				     const ks_link_client_events_t *events,
				     void *ctx);
ks_link_client_t *ks_link_client_new_with_transport(
	ks_loop_t *loop, const ks_transport_t *transport,
	const ks_link_client_options_t *options,
	const ks_link_client_events_t *events, void *ctx);
void ks_link_client_receive(ks_link_client_t *link, ks_str_t message);
void ks_link_client_disconnected(ks_link_client_t *link);
void ks_link_client_free(ks_link_client_t *link);
bool ks_link_client_is_up(const ks_link_client_t *link);
ks_upstream_state_t ks_link_client_state(const ks_link_client_t *link);
const ks_load_t *ks_link_client_load(const ks_link_client_t *link);
uint64_t ks_link_client_peer_version(const ks_link_client_t *link);
unsigned ks_link_client_in_flight(const ks_link_client_t *link);
void ks_link_client_set_version(ks_link_client_t *link, uint64_t version);
void ks_link_client_set_idle_heartbeat(ks_link_client_t *link,
				       int64_t idle_heartbeat_us);
void ks_link_client_set_leaving_seen(ks_link_client_t *link, bool leaving);
ks_attempt_t *ks_link_client_send(ks_link_client_t *link,
				  const ks_attempt_request_t *request,
				  const ks_attempt_events_t *events, void *ctx);
void ks_attempt_consume(ks_attempt_t *attempt, size_t len);
void ks_attempt_cancel(ks_attempt_t *attempt);
void ks_attempt_abandon(ks_attempt_t *attempt);

/* link_server.c and link_job.c: upstream side */

typedef struct ks_link_server ks_link_server_t;
typedef struct ks_job ks_job_t;

/**
 * struct ks_link_server_events - what the upstream process decides
 * @request: decide on an attempt: either ks_job_refuse() at once, or keep
 *	@job and answer through the other ks_job functions. @request is valid
 *	during the call only.
 * @cancelled: the entry wants no more; the owner ends @job with ks_job_end()
 *	or, when it was never handed on, ks_job_refuse()
 * @config: a snapshot arrived from an entry that has it in force
 * @config_body: the snapshot in force here, for an entry that is behind
 * @leaving_seen: an entry saw this host as leaving on the host list
 */
typedef struct ks_link_server_events {
	void (*request)(void *ctx, ks_job_t *job,
			const ks_attempt_request_t *request);
	void (*cancelled)(void *ctx, ks_job_t *job);
	void (*config)(void *ctx, uint64_t version, ks_str_t digest,
		       ks_str_t body);
	ks_str_t (*config_body)(void *ctx, uint64_t *version, ks_str_t *digest);
	void (*leaving_seen)(void *ctx);
} ks_link_server_events_t;

/**
 * struct ks_link_server_options - what the upstream side listens with
 * @max_buffer: bytes of unacknowledged answer kept for one attempt; beyond it
 *	the attempt ends with KS_ERROR_SLOW_READER
 */
typedef struct ks_link_server_options {
	const char *upstream;
	ks_id_t incarnation;
	ks_address_t address;
	ks_socket_security_t security;
	int64_t heartbeat_us;
	int64_t silence_us;
	size_t max_buffer;
} ks_link_server_options_t;

ks_link_server_t *ks_link_server_new(ks_loop_t *loop, void *zmq_context,
				     const ks_link_server_options_t *options,
				     const ks_link_server_events_t *events,
				     void *ctx, GError **error);
ks_link_server_t *ks_link_server_new_with_transport(
	ks_loop_t *loop, const ks_transport_t *transport,
	const ks_link_server_options_t *options,
	const ks_link_server_events_t *events, void *ctx);
void ks_link_server_receive(ks_link_server_t *server, ks_str_t peer,
			    ks_str_t message);
void ks_link_server_free(ks_link_server_t *server);
uint16_t ks_link_server_port(const ks_link_server_t *server);
void ks_link_server_set_state(ks_link_server_t *server,
			      ks_upstream_state_t state);
void ks_link_server_set_load(ks_link_server_t *server, const ks_load_t *load);
void ks_link_server_set_version(ks_link_server_t *server, uint64_t version);
bool ks_link_server_is_idle(const ks_link_server_t *server);

void ks_job_set_context(ks_job_t *job, void *ctx);
void *ks_job_context(const ks_job_t *job);
const ks_attempt_key_t *ks_job_key(const ks_job_t *job);
void ks_job_accept(ks_job_t *job);
void ks_job_refuse(ks_job_t *job, ks_error_kind_t kind, int64_t retry_after_us);
void ks_job_head(ks_job_t *job, int status, const ks_header_t *headers,
		 size_t n_headers);
bool ks_job_body(ks_job_t *job, ks_str_t data);
void ks_job_end(ks_job_t *job, ks_error_kind_t kind, ks_str_t message);

G_END_DECLS

#endif
