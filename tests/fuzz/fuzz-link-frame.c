/*
 * Fuzzes the decoding of link frames. An accepted frame has to stay the same
 * when it is encoded and decoded again.
 */
#include "fuzz.h"
#include "link_frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_frame_t *frame = ks_frame_decode(fuzz_str(data, size));
	ks_frame_t *again;
	ks_attempt_key_t key;
	GBytes *first, *second;
	ks_str_t message;

	if (!frame)
		return 0;
	ks_frame_key(frame, &key);
	/* protobuf-c can encode an unknown field with the number 0, which it
	 * then refuses to decode; frames with unknown fields are skipped. */
	if (frame->base.n_unknown_fields) {
		ks_frame_free(frame);
		return 0;
	}
	first = ks_frame_encode(frame);
	message.data = g_bytes_get_data(first, &message.len);
	again = ks_frame_decode(message);
	g_assert(again && again->kind_case == frame->kind_case);
	second = ks_frame_encode(again);
	g_assert(g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	ks_frame_free(again);
	ks_frame_free(frame);
	return 0;
}
