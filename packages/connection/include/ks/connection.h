/*
 * connection: the event loop, HTTP client and servers, and links.
 *
 * A link connects an entry, the process that accepts the requests of callers,
 * to an upstream process, which runs beside one upstream such as an engine and
 * forwards requests to it. Each attempt at a request is sent over one link. The
 * frames of its response are numbered and acknowledged, so that the response
 * continues after the connection has been replaced.
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
 * @h2o: polls the sockets
 * @clock: clock of the timers
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
 * struct ks_timer - one-shot timer; allocated by its owner
 * @due_us: expiry time on the loop's clock, in microseconds
 * @position: index in the loop's heap; negative when the timer is not set
 */
typedef struct ks_timer {
	ks_loop_t *loop;
	ks_timer_func_t func;
	void *ctx;
	int64_t due_us;
	int position;
} ks_timer_t;

/**
 * struct ks_watch - calls its owner when a file descriptor is readable
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
bool ks_header_is_name(ks_str_t bytes);
bool ks_header_is_value(ks_str_t bytes);
bool ks_headers_are_valid(const ks_header_t *headers, size_t count);

/* Range of HTTP status codes (RFC 9110, section 15). */
#define KS_HTTP_MIN_STATUS 100
#define KS_HTTP_MAX_STATUS 599

/* address.c */

/**
 * struct ks_address - numeric IPv4 or IPv6 address, and port
 * @ip: NUL-terminated; IPv6 without brackets
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
 * struct ks_socket_security - CURVE keys of a ZeroMQ socket, in Z85 encoding
 * @plain: no encryption or authentication; accepted on loopback only
 * @server_key: public key of the upstream process; entry only
 * @public_key: own public key
 * @secret_key: own secret key; never logged
 * @allowed_keys: public keys of the admitted entries; upstream process only
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
 * struct ks_socket - ZeroMQ socket on the loop, for single-frame messages
 * @monitor: reports disconnects of a DEALER; NULL on other sockets
 * @drain_timer: receives on the next loop iteration, as ZeroMQ may not signal
 *	the descriptor after a send
 * @receive: called for each message; its peer is empty on a DEALER
 * @disconnected: called when the connection of a DEALER breaks
 * @draining: messages are being received
 * @closed: set to true by ks_socket_deinit(); non-NULL while @draining
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
bool ks_socket_subscribe(ks_socket_t *sock, ks_str_t prefix);
bool ks_socket_unsubscribe(ks_socket_t *sock, ks_str_t prefix);
bool ks_socket_add_publisher(ks_socket_t *sock, const ks_address_t *address);
bool ks_socket_remove_publisher(ks_socket_t *sock, const ks_address_t *address);
bool ks_socket_send(ks_socket_t *sock, ks_str_t peer, ks_str_t message);
void ks_socket_deinit(ks_socket_t *sock);

/* zap.c */

struct ks_zap_state;

/**
 * struct ks_zap - handler that authenticates CURVE clients by public key
 */
typedef struct ks_zap {
	struct ks_zap_state *state;
} ks_zap_t;

bool ks_zap_init(ks_zap_t *zap, ks_loop_t *loop, void *context,
		 const char *const *allowed_keys, size_t n_allowed_keys,
		 GError **error);
void ks_zap_deinit(ks_zap_t *zap);

/* Transport of a link: ZeroMQ (link_zmq.c), or a fake in tests. */

/**
 * struct ks_transport - sends the frames of a link
 * @send: never blocks; returns false if the frame was dropped
 * @reopen: client only: replace the connection with a new one. Frames sent on
 *	the old connection may still arrive.
 * @close: free the transport
 */
typedef struct ks_transport {
	bool (*send)(void *impl, ks_str_t peer, ks_str_t message);
	bool (*reopen)(void *impl);
	void (*close)(void *impl);
	void *impl;
} ks_transport_t;

/* link_stream.c: numbered frames of one response */

/**
 * struct ks_stream_sender - retransmission buffer of one response
 * @frames: GBytes of the frames @acked + 1 to @last
 * @last: sequence number of the last frame queued
 * @sent: sequence number of the last frame sent
 * @acked: sequence number of the last frame acknowledged
 * @bytes: what @frames take in memory
 */
typedef struct ks_stream_sender {
	GQueue frames;
	uint64_t last;
	uint64_t sent;
	uint64_t acked;
	size_t bytes;
} ks_stream_sender_t;

/* Frames that may be sent and not yet acknowledged. */
#define KS_STREAM_WINDOW 64

void ks_stream_sender_init(ks_stream_sender_t *sender);
void ks_stream_sender_deinit(ks_stream_sender_t *sender);
void ks_stream_sender_push(ks_stream_sender_t *sender, GBytes *frame);
GBytes *ks_stream_sender_next(ks_stream_sender_t *sender);
bool ks_stream_sender_ack(ks_stream_sender_t *sender, uint64_t seq);
bool ks_stream_sender_rewind(ks_stream_sender_t *sender, uint64_t seq);
void ks_stream_sender_drop_unsent(ks_stream_sender_t *sender);

/**
 * enum ks_stream_accept_result - position of a received frame in the stream
 * @KS_STREAM_NEW: the next frame; to be processed
 * @KS_STREAM_DUPLICATE: received before; to be ignored
 * @KS_STREAM_GAP: an earlier frame is missing
 */
typedef enum ks_stream_accept_result {
	KS_STREAM_NEW,
	KS_STREAM_DUPLICATE,
	KS_STREAM_GAP,
} ks_stream_accept_result_t;

/**
 * struct ks_stream_receiver - receive state of one response
 * @received: sequence number of the last frame received in order
 * @consumed: sequence number of the last frame whose body, and that of every
 *	earlier frame, was consumed
 * @acked: sequence number of the last frame acknowledged
 * @body_bytes: size of all bodies received
 * @pending: unconsumed body bytes of each frame after @consumed; array of
 *	size_t
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

/* Types that both sides of a link use: link_frame.c */

/**
 * struct ks_load - load of one upstream, counted by its upstream process
 * @in_flight: requests being served
 * @limit: requests served at the same time at most
 * @prompt_tokens_pending: prompt tokens of requests without a first token yet
 * @output_tokens_pending: output tokens still expected
 * @kv_blocks_free: free blocks of the engine's KV cache
 * @kv_blocks_total: all blocks of the engine's KV cache
 * @urgent_left_us: time to the deadline of the request that tolerates the least
 *	delay; 0 when no request is in flight
 * @urgent_output_tokens: output tokens still expected of that request
 * @received_us: time on the entry's loop clock when it received the load
 * @role: "prefill", "decode" or "both"; empty unless the upstream is an engine
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
 * enum ks_upstream_state - whether an upstream accepts new requests
 * @KS_UPSTREAM_UNKNOWN: not reported yet, or the link is down
 * @KS_UPSTREAM_READY: accepts requests
 * @KS_UPSTREAM_CHANGING: accepts none while it executes orders, such as loading
 *	a model
 * @KS_UPSTREAM_LEAVING: accepts none and will stop
 */
typedef enum ks_upstream_state {
	KS_UPSTREAM_UNKNOWN,
	KS_UPSTREAM_READY,
	KS_UPSTREAM_CHANGING,
	KS_UPSTREAM_LEAVING,
} ks_upstream_state_t;

/**
 * struct ks_attempt_key - identifies one attempt at a request
 * @id: request id, the same for every attempt
 * @attempt: number of the attempt
 */
typedef struct ks_attempt_key {
	ks_id_t id;
	uint32_t attempt;
} ks_attempt_key_t;

/**
 * struct ks_attempt_request - request of an attempt, sent to an upstream
 * process
 * @timeout_us: time left until the caller's deadline
 * @priority: 0 is served first
 * @idempotent: may be executed again after an unknown outcome
 * @prompt_tokens: estimate
 * @output_tokens: estimate
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

/* link_client.c and link_attempt.c: the entry's side of a link */

typedef struct ks_link_client ks_link_client_t;
typedef struct ks_attempt ks_attempt_t;

/**
 * struct ks_attempt_events - callbacks of an attempt, in this order
 * @accepted: the upstream process forwards the request to its upstream
 * @not_started: last event; the request was never executed and never will be
 * @head: status and headers of the response; valid during the call only
 * @body: next bytes of the body; the owner calls ks_attempt_consume() once they
 *	have been written to the caller's connection
 * @end: last event; its kind is KS_ERROR_NONE when the response is complete,
 *	and KS_ERROR_OUTCOME_UNKNOWN when the request may have been executed
 *
 * The owner must not use the attempt after its last event.
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
 * struct ks_link_client_events - callbacks of a link
 * @changed: state, load or configuration version of the peer changed, or the
 *	link went up or down
 * @config: the peer sent its active configuration
 * @config_body: returns the active configuration of the entry, for a peer with
 *	an older one; empty if there is none
 */
typedef struct ks_link_client_events {
	void (*changed)(void *ctx, ks_link_client_t *link);
	void (*config)(void *ctx, uint64_t version, ks_str_t digest,
		       ks_str_t body);
	ks_str_t (*config_body)(void *ctx, uint64_t *version, ks_str_t *digest);
} ks_link_client_events_t;

/**
 * struct ks_link_client_options - settings of a link
 * @entry: name of the entry
 * @domain: failure domain of the entry
 * @upstream: name of the upstream
 * @incarnation: drawn at each start of the entry
 * @heartbeat_us: with attempts in flight, a heartbeat is sent when one
 *	direction has carried no frame for this time
 * @idle_heartbeat_us: the same with no attempt in flight; 0 for @heartbeat_us
 * @silence_us: the connection is replaced when a frame that expects a reply
 *	gets none for this time
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

/* link_server.c and link_job.c: the upstream process's side of its links */

typedef struct ks_link_server ks_link_server_t;
typedef struct ks_job ks_job_t;

/**
 * struct ks_link_server_events - callbacks of the upstream process
 * @request: an attempt arrived: either refuse it with ks_job_refuse(), or keep
 *	the job and respond through the other ks_job functions. The request is
 *	valid during the call only.
 * @cancelled: the entry cancelled the attempt; the owner ends the job with
 *	ks_job_end() or, if it was never forwarded, ks_job_refuse()
 * @config: an entry sent its active configuration
 * @config_body: returns the active configuration of this process, for an entry
 *	with an older one; empty if there is none
 * @leaving_seen: an entry found this host marked as leaving in the host list
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
 * struct ks_link_server_options - settings of the server
 * @upstream: name of the upstream
 * @heartbeat_us: interval of the check for silent entries
 * @silence_us: as in the options of the entries; after multiples of this time
 *	without frames from an entry, its idempotent jobs are cancelled, and
 *	then its record is dropped
 * @max_buffer: limit in bytes of the unacknowledged response frames of one
 *	attempt; beyond it the attempt ends with KS_ERROR_SLOW_READER
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
