/* Encoding and decoding of link frames. */
#include "link_frame.h"

#include <string.h>

/**
 * ks_frame_decode() - decode a frame
 * @message: one ZeroMQ message
 *
 * A frame of a kind that this version does not know has no kind after decoding;
 * both sides ignore it.
 *
 * Return: a frame to be freed with ks_frame_free(), or NULL if the message or
 * the request id in it is malformed.
 */
ks_frame_t *ks_frame_decode(ks_str_t message)
{
	ks_frame_t *frame = ks__link__frame__unpack(
		NULL, message.len, (const uint8_t *)message.data);
	ks_attempt_key_t key;

	if (!frame)
		return NULL;
	if (frame->kind_case >= KS__LINK__FRAME__KIND_REQUEST &&
	    frame->kind_case <= KS__LINK__FRAME__KIND_RESUME &&
	    !ks_frame_key(frame, &key)) {
		ks_frame_free(frame);
		return NULL;
	}
	return frame;
}

/**
 * ks_frame_free() - free a decoded frame
 */
void ks_frame_free(ks_frame_t *frame)
{
	ks__link__frame__free_unpacked(frame, NULL);
}

/**
 * ks_frame_encode() - encode a frame
 */
GBytes *ks_frame_encode(const ks_frame_t *frame)
{
	size_t size = ks__link__frame__get_packed_size(frame);
	uint8_t *data = g_malloc(MAX(size, 1));

	ks__link__frame__pack(frame, data);
	return g_bytes_new_take(data, size);
}

/**
 * ks_frame_send() - encode a frame and send it
 *
 * Return: false if it was dropped.
 */
bool ks_frame_send(const ks_transport_t *transport, ks_str_t peer,
		   const ks_frame_t *frame)
{
	GBytes *bytes = ks_frame_encode(frame);
	ks_str_t message;
	bool sent;

	message.data = g_bytes_get_data(bytes, &message.len);
	sent = transport->send(transport->impl, peer, message);
	g_bytes_unref(bytes);
	return sent;
}

/**
 * ks_frame_key() - key of the attempt that a frame belongs to
 *
 * Return: false if the frame belongs to no attempt or its id is malformed.
 */
bool ks_frame_key(const ks_frame_t *frame, ks_attempt_key_t *key)
{
	ProtobufCBinaryData id;

#define TAKE_KEY(field)                               \
	do {                                          \
		id = frame->field->id;                \
		key->attempt = frame->field->attempt; \
	} while (0)

	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_REQUEST:
		TAKE_KEY(request);
		break;
	case KS__LINK__FRAME__KIND_ACCEPTED:
		TAKE_KEY(accepted);
		break;
	case KS__LINK__FRAME__KIND_NOT_STARTED:
		TAKE_KEY(not_started);
		break;
	case KS__LINK__FRAME__KIND_HEAD:
		TAKE_KEY(head);
		break;
	case KS__LINK__FRAME__KIND_BODY:
		TAKE_KEY(body);
		break;
	case KS__LINK__FRAME__KIND_END:
		TAKE_KEY(end);
		break;
	case KS__LINK__FRAME__KIND_ACK:
		TAKE_KEY(ack);
		break;
	case KS__LINK__FRAME__KIND_CANCEL:
		TAKE_KEY(cancel);
		break;
	case KS__LINK__FRAME__KIND_RESUME:
		TAKE_KEY(resume);
		break;
	default:
		return false;
	}
#undef TAKE_KEY
	return ks_id_from_bytes(&key->id, id.data, id.len);
}

/**
 * ks_frame_id() - convert an id to a bytes field; borrows @id
 */
ProtobufCBinaryData ks_frame_id(const ks_id_t *id)
{
	return (ProtobufCBinaryData){ KS_ID_SIZE, (uint8_t *)id->bytes };
}

/**
 * ks_frame_bytes() - convert a string to a bytes field; borrows @data
 */
ProtobufCBinaryData ks_frame_bytes(ks_str_t data)
{
	return (ProtobufCBinaryData){ data.len, (uint8_t *)data.data };
}

/**
 * ks_frame_str() - view of a bytes field
 */
ks_str_t ks_frame_str(ProtobufCBinaryData data)
{
	return (ks_str_t){ (const char *)data.data, data.len };
}

/**
 * ks_frame_headers_init() - copy header fields to protobuf messages
 */
void ks_frame_headers_init(ks_frame_headers_t *to, const ks_header_t *from,
			   size_t count)
{
	to->count = count;
	to->list = g_new0(Ks__Link__Header *, count + 1);
	for (size_t i = 0; i < count; i++) {
		Ks__Link__Header *header = g_new(Ks__Link__Header, 1);

		ks__link__header__init(header);
		header->name = ks_str_dup(from[i].name);
		header->value = ks_str_dup(from[i].value);
		to->list[i] = header;
	}
}

/**
 * ks_frame_headers_deinit() - free what ks_frame_headers_init() allocated
 */
void ks_frame_headers_deinit(ks_frame_headers_t *headers)
{
	for (size_t i = 0; i < headers->count; i++) {
		g_free(headers->list[i]->name);
		g_free(headers->list[i]->value);
		g_free(headers->list[i]);
	}
	g_free(headers->list);
}

/**
 * ks_frame_headers_view() - header fields of a decoded frame
 *
 * Return: array to be freed with g_free(); its strings belong to the frame.
 */
ks_header_t *ks_frame_headers_view(Ks__Link__Header **list, size_t count)
{
	ks_header_t *headers = g_new(ks_header_t, count + 1);

	for (size_t i = 0; i < count; i++) {
		headers[i].name = ks_str_from(list[i]->name);
		headers[i].value = ks_str_from(list[i]->value);
	}
	return headers;
}

/**
 * ks_frame_load_fill() - convert a load to its message; borrows @from
 */
void ks_frame_load_fill(Ks__Link__Load *to, const ks_load_t *from)
{
	ks__link__load__init(to);
	to->in_flight = from->in_flight;
	to->limit = from->limit;
	to->prompt_tokens_pending = from->prompt_tokens_pending;
	to->output_tokens_pending = from->output_tokens_pending;
	to->kv_blocks_free = from->kv_blocks_free;
	to->kv_blocks_total = from->kv_blocks_total;
	to->urgent_left_us = from->urgent_left_us;
	to->urgent_output_tokens = from->urgent_output_tokens;
	to->role = (char *)from->role;
}

/**
 * ks_frame_load_read() - convert a load from its message
 * @from: may be NULL, which leaves @to unchanged
 */
void ks_frame_load_read(ks_load_t *to, const Ks__Link__Load *from)
{
	if (!from)
		return;
	to->in_flight = from->in_flight;
	to->limit = from->limit;
	to->prompt_tokens_pending = from->prompt_tokens_pending;
	to->output_tokens_pending = from->output_tokens_pending;
	to->kv_blocks_free = from->kv_blocks_free;
	to->kv_blocks_total = from->kv_blocks_total;
	to->urgent_left_us = from->urgent_left_us;
	to->urgent_output_tokens = from->urgent_output_tokens;
	g_strlcpy(to->role, from->role, sizeof(to->role));
}

/**
 * ks_frame_state() - convert the state of an upstream to its protobuf value
 */
Ks__Link__State ks_frame_state(ks_upstream_state_t state)
{
	switch (state) {
	case KS_UPSTREAM_READY:
		return KS__LINK__STATE__STATE_READY;
	case KS_UPSTREAM_CHANGING:
		return KS__LINK__STATE__STATE_CHANGING;
	case KS_UPSTREAM_LEAVING:
		return KS__LINK__STATE__STATE_LEAVING;
	default:
		return KS__LINK__STATE__STATE_UNKNOWN;
	}
}

/**
 * ks_frame_state_read() - convert the state of an upstream from protobuf
 */
ks_upstream_state_t ks_frame_state_read(Ks__Link__State state)
{
	switch (state) {
	case KS__LINK__STATE__STATE_READY:
		return KS_UPSTREAM_READY;
	case KS__LINK__STATE__STATE_CHANGING:
		return KS_UPSTREAM_CHANGING;
	case KS__LINK__STATE__STATE_LEAVING:
		return KS_UPSTREAM_LEAVING;
	default:
		return KS_UPSTREAM_UNKNOWN;
	}
}

/**
 * ks_attempt_key_hash() - GHashFunc over attempt keys
 */
unsigned ks_attempt_key_hash(const void *key)
{
	const ks_attempt_key_t *attempt = key;

	return ks_id_hash(&attempt->id) ^ attempt->attempt;
}

/**
 * ks_attempt_key_equal() - GEqualFunc over attempt keys
 */
int ks_attempt_key_equal(const void *a, const void *b)
{
	const ks_attempt_key_t *x = a, *y = b;

	return x->attempt == y->attempt && ks_id_equal(&x->id, &y->id);
}
