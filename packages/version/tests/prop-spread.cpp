/* Properties of the spread of the configuration. */
#include "ks/version.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

/* Snapshots 1 to N, each built on the one before. */
class Versions
{
      public:
	explicit Versions(int count)
	{
		ks_snapshot_t *last = ks_snapshot_new_empty();

		for (int i = 0; i < count; i++) {
			std::string yaml =
				"base: " + std::to_string(i) +
				"\nupstreams: {add: [{id: s" +
				std::to_string(i) + ", process: '127.0.0.1:" +
				std::to_string(1000 + i) +
				"', endpoint: '127.0.0.1:1', host: h, "
				"domain: d, service: s, limit: 1}]}\n";
			ks_release_t *release = ks_release_parse(
				{ yaml.data(), yaml.size() }, "n", nullptr);
			ks_snapshot_t *next =
				ks_release_apply(release, last, nullptr);

			ks_release_free(release);
			if (last->version)
				all_.push_back(last);
			else
				ks_snapshot_unref(last);
			last = next;
		}
		all_.push_back(last);
	}

	~Versions()
	{
		for (ks_snapshot_t *snapshot : all_)
			ks_snapshot_unref(snapshot);
	}

	Versions(const Versions &) = delete;
	Versions &operator=(const Versions &) = delete;

	const ks_snapshot_t *at(uint64_t version) const
	{
		return all_.at(version - 1);
	}

      private:
	std::vector<ks_snapshot_t *> all_;
};

enum Damage {
	WHOLE,
	TRUNCATED,
	BIT_FLIPPED,
	BIT_FLIPPED_WITH_MATCHING_DIGEST,
	WRONG_DIGEST,
	WRONG_VERSION,
	SHORT_DIGEST,
	N_DAMAGES
};

struct Offer {
	uint64_t version;
	std::string digest;
	std::string body;
};

Offer make_offer(const Versions &versions, uint64_t version, int damage,
		 uint32_t where)
{
	const ks_snapshot_t *snapshot = versions.at(version);
	Offer offer = { version,
			std::string((const char *)snapshot->digest.bytes,
				    KS_DIGEST_SIZE),
			std::string(snapshot->body, snapshot->body_len) };
	ks_digest_t digest;

	switch (damage) {
	case TRUNCATED:
		offer.body.resize(where % offer.body.size());
		break;
	case BIT_FLIPPED:
	case BIT_FLIPPED_WITH_MATCHING_DIGEST:
		offer.body[where % offer.body.size()] ^= 1;
		break;
	case WRONG_DIGEST:
		offer.digest[where % KS_DIGEST_SIZE] ^= 1;
		break;
	case WRONG_VERSION:
		offer.version += 1 + where % 3;
		break;
	case SHORT_DIGEST:
		offer.digest.resize(where % KS_DIGEST_SIZE);
		break;
	default:
		break;
	}
	if (damage == BIT_FLIPPED_WITH_MATCHING_DIGEST) {
		ks_digest_compute(&digest,
				  { offer.body.data(), offer.body.size() });
		offer.digest.assign((const char *)digest.bytes, KS_DIGEST_SIZE);
	}
	return offer;
}

void check_whole(const ks_spread_t *spread)
{
	ks_digest_t digest;

	if (!spread->current)
		return;
	ks_digest_compute(&digest,
			  { spread->current->body, spread->current->body_len });
	RC_ASSERT(ks_digest_equal(&digest, &spread->current->digest));
	RC_ASSERT(spread->current->upstreams->len == spread->current->version);
}

/*
 * Guards against a version that goes down, a snapshot that is applied in part
 * or against its digest, and a good newer one that is turned away.
 */
bool check_interleavings()
{
	static const int count = 8;
	static const Versions versions(count);

	return rc::check("spread never lowers or mixes versions", [] {
		int n = *rc::gen::inRange(1, 40);
		ks_spread_t spread;

		ks_spread_init(&spread);
		for (int i = 0; i < n; i++) {
			uint64_t version =
				*rc::gen::inRange<uint64_t>(1, count + 1);
			int damage = *rc::gen::inRange(0, (int)N_DAMAGES);
			uint32_t where = *rc::gen::arbitrary<uint32_t>();
			uint64_t before = ks_spread_version(&spread);
			Offer offer =
				make_offer(versions, version, damage, where);
			ks_spread_result_t result = ks_spread_offer(
				&spread, offer.version,
				{ offer.digest.data(), offer.digest.size() },
				{ offer.body.data(), offer.body.size() });
			uint64_t after = ks_spread_version(&spread);

			RC_ASSERT(after >= before);
			RC_ASSERT((result == KS_SPREAD_APPLIED) ==
				  (after > before));
			if (damage == WHOLE)
				RC_ASSERT(after == std::max(before, version));
			else if (damage != BIT_FLIPPED_WITH_MATCHING_DIGEST)
				RC_ASSERT(after == before);
			if (damage != BIT_FLIPPED_WITH_MATCHING_DIGEST)
				check_whole(&spread);
			RC_ASSERT(spread.known >= after);
		}
		ks_spread_deinit(&spread);
	});
}

/* Guards against a heartbeat's version that hides a later, higher one. */
bool check_noted_versions()
{
	return rc::check("known is the highest version named",
			 [](const std::vector<uint64_t> &named) {
				 uint64_t highest = 0;
				 ks_spread_t spread;

				 ks_spread_init(&spread);
				 for (uint64_t version : named) {
					 highest = std::max(highest, version);
					 RC_ASSERT(ks_spread_note_version(
							   &spread, version) ==
						   (version > 0));
					 RC_ASSERT(spread.known == highest);
				 }
				 ks_spread_deinit(&spread);
			 });
}

} // namespace

int main()
{
	return check_interleavings() && check_noted_versions() ? 0 : 1;
}
