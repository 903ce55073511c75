/*
 * Compression of snapshots for the object store and for messages to peers.
 * Snapshots are repetitive JSON, and every process fetches every version.
 */
#include "ks/version.h"

#include <string.h>
#include <zlib.h>

/*
 * Maximum length of a snapshot. Without a limit, a small damaged message could
 * expand until memory is exhausted.
 */
#define MAX_BODY_BYTES ((size_t)64 * 1024 * 1024)
#define CHUNK_BYTES 65536

/**
 * ks_snapshot_compress() - compress the canonical JSON of a snapshot
 *
 * Return: a zlib stream, to be released with g_bytes_unref().
 */
GBytes *ks_snapshot_compress(ks_str_t body)
{
	uLongf len = compressBound((uLong)body.len);
	Bytef *data = g_malloc(len);

	compress2(data, &len, (const Bytef *)body.data, (uLong)body.len,
		  Z_BEST_COMPRESSION);
	return g_bytes_new_take(data, len);
}

static bool inflate_all(z_stream *stream, GByteArray *out)
{
	Bytef chunk[CHUNK_BYTES];
	int status;

	do {
		stream->next_out = chunk;
		stream->avail_out = sizeof(chunk);
		status = inflate(stream, Z_NO_FLUSH);
		if (status != Z_OK && status != Z_STREAM_END)
			return false;
		g_byte_array_append(out, chunk,
				    (guint)(sizeof(chunk) - stream->avail_out));
		if (out->len > MAX_BODY_BYTES)
			return false;
	} while (status != Z_STREAM_END);
	return stream->avail_in == 0;
}

/**
 * ks_snapshot_decompress() - decompress the canonical JSON of a snapshot
 * @compressed: zlib stream; uncompressed JSON is returned unchanged
 *
 * Return: bytes to be released with g_bytes_unref(), or NULL if @compressed is
 * damaged, truncated, or longer than 64 MiB before or after decompression.
 */
GBytes *ks_snapshot_decompress(ks_str_t compressed)
{
	z_stream stream = { .next_in = (Bytef *)compressed.data,
			    .avail_in = (uInt)compressed.len };
	GByteArray *out;
	bool ok;

	if (compressed.len > MAX_BODY_BYTES)
		return NULL;
	if (compressed.len && compressed.data[0] == '{')
		return g_bytes_new(compressed.data, compressed.len);
	if (inflateInit(&stream) != Z_OK)
		return NULL;
	out = g_byte_array_new();
	ok = inflate_all(&stream, out);
	inflateEnd(&stream);
	if (ok)
		return g_byte_array_free_to_bytes(out);
	g_byte_array_unref(out);
	return NULL;
}
