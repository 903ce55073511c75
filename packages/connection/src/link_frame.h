/* Encoding and decoding of link frames. */
#ifndef LINK_FRAME_H
#define LINK_FRAME_H

#include "ks/connection.h"
#include "link.pb-c.h"

#define KS_LINK_PROTOCOL 1

typedef Ks__Link__Frame ks_frame_t;

/**
 * struct ks_frame_headers - header fields as protobuf messages
 */
typedef struct ks_frame_headers {
	Ks__Link__Header **list;
	size_t count;
} ks_frame_headers_t;

ks_frame_t *ks_frame_decode(ks_str_t message);
void ks_frame_free(ks_frame_t *frame);
GBytes *ks_frame_encode(const ks_frame_t *frame);
bool ks_frame_send(const ks_transport_t *transport, ks_str_t peer,
		   const ks_frame_t *frame);
bool ks_frame_key(const ks_frame_t *frame, ks_attempt_key_t *key);

ProtobufCBinaryData ks_frame_id(const ks_id_t *id);
ProtobufCBinaryData ks_frame_bytes(ks_str_t data);
ks_str_t ks_frame_str(ProtobufCBinaryData data);

void ks_frame_headers_init(ks_frame_headers_t *to, const ks_header_t *from,
			   size_t count);
void ks_frame_headers_deinit(ks_frame_headers_t *headers);
ks_header_t *ks_frame_headers_view(Ks__Link__Header **list, size_t count);

void ks_frame_load_fill(Ks__Link__Load *to, const ks_load_t *from);
void ks_frame_load_read(ks_load_t *to, const Ks__Link__Load *from);
Ks__Link__State ks_frame_state(ks_upstream_state_t state);
ks_upstream_state_t ks_frame_state_read(Ks__Link__State state);

unsigned ks_attempt_key_hash(const void *key);
int ks_attempt_key_equal(const void *a, const void *b);

#endif
