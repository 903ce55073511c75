/* Property tests of claim rows, row keys and request fingerprints. */
#include "ks/request.h"

#include <rapidcheck.h>
#include <cstring>

namespace
{
ks_str_t view(const std::string &s)
{
	return { s.data(), s.size() };
}

/* Guards against a stored response that differs from the original one. */
bool check_encoding()
{
	return rc::check("encoding and decoding a claim preserves it", [] {
		auto body = *rc::gen::container<std::string>(
			rc::gen::arbitrary<char>());
		auto seed = *rc::gen::arbitrary<uint32_t>();
		int state = *rc::gen::inRange(0, 4);
		bool has_type = *rc::gen::arbitrary<bool>();
		ks_claim_t claim = {}, parsed = {};
		ks_rng_t rng;
		char *text;

		ks_rng_init(&rng, seed);
		ks_id_generate_seeded(&claim.holder, &rng);
		ks_id_generate_seeded(&claim.request, &rng);
		ks_rng_deinit(&rng);
		claim.attempt = seed % 1000 + 1;
		claim.state = (ks_claim_state_t)state;
		claim.expires_us = (int64_t)seed * 1000000;
		claim.status = 200;
		claim.answer = g_bytes_new(body.data(), body.size());
		if (has_type)
			claim.content_type = g_strdup("text/plain");
		text = ks_claim_encode(&claim);
		RC_ASSERT(ks_claim_decode(&parsed, ks_str_from(text), nullptr));
		RC_ASSERT(parsed.attempt == claim.attempt);
		RC_ASSERT(parsed.state == claim.state);
		RC_ASSERT(parsed.expires_us == claim.expires_us);
		RC_ASSERT(ks_id_equal(&parsed.holder, &claim.holder));
		RC_ASSERT(ks_id_equal(&parsed.request, &claim.request));
		if (claim.state == KS_CLAIM_DONE) {
			RC_ASSERT(g_bytes_equal(parsed.answer, claim.answer));
			RC_ASSERT(g_strcmp0(parsed.content_type,
					    claim.content_type) == 0);
		}
		ks_claim_deinit(&parsed);
		/* A truncated row must not decode. */
		RC_ASSERT(!ks_claim_decode(&parsed, { text, strlen(text) - 1 },
					   nullptr));
		ks_claim_deinit(&claim);
		g_free(text);
	});
}

/*
 * Guards against two keys that map to the same row, and against a key that
 * escapes its path prefix by "..".
 */
bool check_row_keys()
{
	return rc::check("row keys are unique per key and tenant",
			 [](const std::string &a, const std::string &b,
			    const std::string &c, const std::string &d) {
				 ks_idempotency_key_t one = { view(a), 0 };
				 ks_idempotency_key_t two = { view(c), 0 };
				 char *x = ks_claim_row_key(&one, view(b));
				 char *y = ks_claim_row_key(&two, view(d));

				 RC_ASSERT((a == c && b == d) == !strcmp(x, y));
				 RC_ASSERT(!strstr(x, "/../"));
				 RC_ASSERT(!g_str_has_suffix(x, "/.."));
				 g_free(x);
				 g_free(y);
			 });
}

/* Guards against different requests that are taken for retries of one. */
bool check_fingerprints()
{
	return rc::check(
		"the fingerprint depends on the boundary of path and body",
		[](const std::string &path, const std::string &body) {
			uint8_t a[KS_FINGERPRINT_SIZE];
			uint8_t b[KS_FINGERPRINT_SIZE];

			ks_claim_fingerprint(a, KS_STR("POST"),
					     view(path + "x"), view(body));
			ks_claim_fingerprint(b, KS_STR("POST"), view(path),
					     view("x" + body));
			RC_ASSERT(memcmp(a, b, sizeof(a)) != 0);
			ks_claim_fingerprint(b, KS_STR("POST"),
					     view(path + "x"), view(body));
			RC_ASSERT(!memcmp(a, b, sizeof(a)));
		});
}
} // namespace

int main()
{
	bool ok = check_encoding();

	ok = check_row_keys() && ok;
	ok = check_fingerprints() && ok;
	return ok ? 0 : 1;
}
