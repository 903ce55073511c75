/*
 * Sequence-numbered frames of one response. The sender keeps each frame until
 * it is acknowledged, so that a new session can continue after the last frame
 * received.
 */
#include "ks/connection.h"

/*
 * Frames consumed before an acknowledgement is sent: one for each frame would
 * double the number of frames.
 */
#define ACK_INTERVAL (KS_STREAM_WINDOW / 4)

/* What a frame takes in memory beside its bytes, in three small blocks. */
#define FRAME_BYTES ((size_t)128)

static size_t held_bytes(GBytes *frame)
{
	return g_bytes_get_size(frame) + FRAME_BYTES;
}

/**
 * ks_stream_sender_init() - initialize a sender without frames
 */
void ks_stream_sender_init(ks_stream_sender_t *sender)
{
	g_queue_init(&sender->frames);
	sender->last = 0;
	sender->sent = 0;
	sender->acked = 0;
	sender->bytes = 0;
}

/**
 * ks_stream_sender_deinit() - drop all frames
 */
void ks_stream_sender_deinit(ks_stream_sender_t *sender)
{
	g_queue_clear_full(&sender->frames, (GDestroyNotify)g_bytes_unref);
	sender->bytes = 0;
}

/**
 * ks_stream_sender_push() - queue the frame with sequence number last + 1
 * @frame: the sender takes ownership of the reference
 */
void ks_stream_sender_push(ks_stream_sender_t *sender, GBytes *frame)
{
	g_queue_push_tail(&sender->frames, frame);
	sender->last++;
	sender->bytes += held_bytes(frame);
}

/**
 * ks_stream_sender_next() - next frame to send within the window
 *
 * Return: a frame borrowed from the sender, now marked as sent; NULL if all
 * frames have been sent or the window is full.
 */
GBytes *ks_stream_sender_next(ks_stream_sender_t *sender)
{
	if (sender->sent == sender->last ||
	    sender->sent - sender->acked >= KS_STREAM_WINDOW)
		return NULL;
	sender->sent++;
	return g_queue_peek_nth(&sender->frames,
				(guint)(sender->sent - sender->acked - 1));
}

/**
 * ks_stream_sender_ack() - free the frames up to and including @seq
 *
 * Return: false if @seq was never sent.
 */
bool ks_stream_sender_ack(ks_stream_sender_t *sender, uint64_t seq)
{
	if (seq > sender->sent)
		return false;
	while (sender->acked < seq) {
		GBytes *frame = g_queue_pop_head(&sender->frames);

		sender->bytes -= held_bytes(frame);
		g_bytes_unref(frame);
		sender->acked++;
	}
	return true;
}

/**
 * ks_stream_sender_rewind() - send again the frames after @seq
 * @seq: last frame that the receiver has
 *
 * Return: false if frames after @seq have been freed or @seq was never sent.
 */
bool ks_stream_sender_rewind(ks_stream_sender_t *sender, uint64_t seq)
{
	if (seq < sender->acked || !ks_stream_sender_ack(sender, seq))
		return false;
	sender->sent = seq;
	return true;
}

/**
 * ks_stream_sender_drop_unsent() - free the frames that have not been sent
 */
void ks_stream_sender_drop_unsent(ks_stream_sender_t *sender)
{
	while (sender->last > sender->sent) {
		GBytes *frame = g_queue_pop_tail(&sender->frames);

		sender->bytes -= held_bytes(frame);
		g_bytes_unref(frame);
		sender->last--;
	}
}

/**
 * ks_stream_receiver_init() - initialize a receiver that expects frame 1
 */
void ks_stream_receiver_init(ks_stream_receiver_t *receiver)
{
	receiver->received = 0;
	receiver->consumed = 0;
	receiver->acked = 0;
	receiver->body_bytes = 0;
	receiver->pending = g_array_new(FALSE, FALSE, sizeof(size_t));
}

/**
 * ks_stream_receiver_deinit() - free what ks_stream_receiver_init() allocated
 */
void ks_stream_receiver_deinit(ks_stream_receiver_t *receiver)
{
	g_array_free(receiver->pending, TRUE);
	receiver->pending = NULL;
}

/* Advances consumed over frames without unconsumed body bytes. */
static void skip_consumed(ks_stream_receiver_t *receiver)
{
	unsigned n = 0;

	while (n < receiver->pending->len &&
	       g_array_index(receiver->pending, size_t, n) == 0)
		n++;
	if (n > 0)
		g_array_remove_range(receiver->pending, 0, n);
	receiver->consumed += n;
}

/**
 * ks_stream_receiver_accept() - record a received frame
 * @seq: sequence number of the frame
 * @body_len: body bytes in the frame
 *
 * Return: whether the frame is the next one, a duplicate, or follows a missing
 * one. Only the next one is recorded.
 */
ks_stream_accept_result_t
ks_stream_receiver_accept(ks_stream_receiver_t *receiver, uint64_t seq,
			  size_t body_len)
{
	if (seq <= receiver->received)
		return KS_STREAM_DUPLICATE;
	if (seq != receiver->received + 1)
		return KS_STREAM_GAP;
	receiver->received = seq;
	receiver->body_bytes += body_len;
	g_array_append_val(receiver->pending, body_len);
	skip_consumed(receiver);
	return KS_STREAM_NEW;
}

/**
 * ks_stream_receiver_consume() - record that body bytes were consumed
 * @len: number of bytes; more than were received consumes them all
 */
void ks_stream_receiver_consume(ks_stream_receiver_t *receiver, size_t len)
{
	for (unsigned i = 0; i < receiver->pending->len && len > 0; i++) {
		size_t *left = &g_array_index(receiver->pending, size_t, i);
		size_t taken = MIN(*left, len);

		*left -= taken;
		len -= taken;
	}
	skip_consumed(receiver);
}

/**
 * ks_stream_receiver_ack_due() - whether an acknowledgement has to be sent
 * @seq: set to the sequence number to acknowledge
 *
 * Assumes that the acknowledgement is sent if it returns true.
 */
bool ks_stream_receiver_ack_due(ks_stream_receiver_t *receiver, uint64_t *seq)
{
	if (receiver->consumed - receiver->acked < ACK_INTERVAL)
		return false;
	receiver->acked = receiver->consumed;
	*seq = receiver->acked;
	return true;
}
