/*
 * Fuzzes the entry's parser of server-sent events without an HTTP connection.
 * The functions of other source files that the parser calls are replaced by
 * test doubles.
 */
#include "../../packages/entry/src/entry_internal.h"
#include "fuzz.h"

struct reading {
	struct entry_request request;
	size_t consumed;
	unsigned tokens;
	uint32_t cached;
	bool ok;
};

void entry_attempt_consume(struct entry_request *request, size_t len)
{
	((struct reading *)(void *)request)->consumed += len;
}

void entry_attempt_record_token(struct entry_request *request)
{
	((struct reading *)(void *)request)->tokens++;
}

void entry_attempt_record_cached(struct entry_request *request, uint32_t tokens)
{
	((struct reading *)(void *)request)->cached = tokens;
}

void entry_response_add_id(h2o_req_t *req G_GNUC_UNUSED,
			   const ks_id_t *id G_GNUC_UNUSED)
{
	g_assert_not_reached();
}

char *entry_response_error_body(ks_error_kind_t kind G_GNUC_UNUSED,
				const char *message G_GNUC_UNUSED,
				const ks_id_t *id G_GNUC_UNUSED)
{
	g_assert_not_reached();
}

void entry_request_complete(struct entry_request *request G_GNUC_UNUSED,
			    const char *result G_GNUC_UNUSED)
{
	g_assert_not_reached();
}

static void feed(struct reading *reading, const uint8_t *data, size_t len)
{
	if (!reading->ok)
		return;
	reading->ok =
		entry_stream_receive(&reading->request, fuzz_str(data, len));
}

/* The link sends more data only for bytes that were consumed, so each byte has
 * to be consumed or accounted for in out_credit. */
static void check_credit(const struct reading *reading, size_t size)
{
	g_assert(!reading->ok ||
		 reading->consumed + reading->request.stream.out_credit ==
			 size);
}

static void start(struct reading *reading)
{
	entry_stream_init(&reading->request.stream);
	reading->ok = true;
}

static void compare(const struct reading *a, const struct reading *b)
{
	const struct entry_stream *x = &a->request.stream;
	const struct entry_stream *y = &b->request.stream;

	g_assert(g_string_equal(x->out, y->out));
	g_assert(g_string_equal(x->partial, y->partial));
	g_assert(a->tokens == b->tokens && a->cached == b->cached);
	g_assert(x->done_seen == y->done_seen);
	g_assert(x->finish_seen == y->finish_seen);
}

/* The result must not depend on how the input is split into pieces. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct reading whole = { .ok = false }, pieces = { .ok = false };

	start(&whole);
	start(&pieces);
	feed(&whole, data, size);
	for (size_t at = 0, len; at < size; at += len) {
		len = MIN(1 + data[at] * 3U, size - at);
		feed(&pieces, data + at, len);
	}
	check_credit(&whole, size);
	check_credit(&pieces, size);
	if (whole.ok && pieces.ok)
		compare(&whole, &pieces);
	entry_stream_deinit(&whole.request.stream);
	entry_stream_deinit(&pieces.request.stream);
	return 0;
}
